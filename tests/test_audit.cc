/* The audit trail: batched, bounded, written once.  */

#include <gtest/gtest.h>
#include <mq/audit.h>
#include <string>
#include <vector>

namespace
{

constexpr uint64_t S = 1000000;

struct DecodedRecord
{
  mq_audit_kind kind;
  uint64_t router;
  std::string who, what, why, before, after;
};

std::string
copy (mq_span s)
{
  return std::string (s.data == nullptr ? "" : s.data, s.size);
}

void
collect (void *context, const mq_audit_record *r)
{
  auto *list = static_cast<std::vector<DecodedRecord> *> (context);

  list->push_back ({ r->kind, r->router, copy (r->who), copy (r->what),
                     copy (r->why), copy (r->before), copy (r->after) });
}

struct Audit : testing::Test
{
  mq_audit *audit = nullptr;
  GArray *actions = mq_audit_actions_new ();
  uint64_t now = 100 * S;

  Audit ()
  {
    mq_audit_options o = {};

    o.router = 0xa;
    o.linger_us = 5 * S;
    o.retry_us = 1 * S;
    o.batch_bytes = 1000;
    o.limit_bytes = 3000;
    audit = mq_audit_new (&o);
  }
  ~Audit () override
  {
    mq_audit_free (audit);
    g_array_unref (actions);
  }

  void
  handle (mq_audit_event e)
  {
    e.now_us = now;
    e.wall_ms = UINT64_C (1796233177000) + now / 1000;
    g_array_set_size (actions, 0);
    mq_audit_handle (audit, &e, actions);
  }
  void
  add (const std::string &what)
  {
    mq_audit_event e = {};

    e.kind = MQ_AUDIT_ADD;
    e.record.kind = MQ_AUDIT_ORDER;
    e.record.who = MQ_SPAN ("kamloops-1");
    e.record.what = { what.data (), what.size () };
    e.record.why = MQ_SPAN ("layers 0-8 had \"no\" engine\n");
    e.record.before = MQ_SPAN ("m v1");
    e.record.after = MQ_SPAN ("m v2");
    handle (e);
  }
  void
  event (mq_audit_event_kind kind, mq_store_result result = MQ_STORE_OK)
  {
    mq_audit_event e = {};

    e.kind = kind;
    e.result = result;
    handle (e);
  }
  mq_audit_action &
  act ()
  {
    return g_array_index (actions, mq_audit_action, 0);
  }
  std::vector<DecodedRecord>
  decode_batch ()
  {
    std::vector<DecodedRecord> list;

    EXPECT_EQ (
        mq_audit_decode (mq_str_span (act ().value), collect, &list, NULL), 0);
    return list;
  }
};

} // namespace

TEST_F (Audit, BatchWaitsAndHoldsAllRecords)
{
  add ("e1");
  now += 4 * S;
  add ("e2");
  EXPECT_EQ (actions->len, 0U);
  now += 1 * S;
  event (MQ_AUDIT_TICK);
  ASSERT_EQ (actions->len, 1U);
  EXPECT_STREQ (mq_str_cstr (act ().name),
                "audit/2026-12-02/1796233282000-000000000000000a-1");
  std::vector<DecodedRecord> list = decode_batch ();
  ASSERT_EQ (list.size (), 2U);
  EXPECT_EQ (list[0].kind, MQ_AUDIT_ORDER);
  EXPECT_EQ (list[0].router, 0xaU);
  EXPECT_EQ (list[0].who, "kamloops-1");
  EXPECT_EQ (list[1].what, "e2");
  EXPECT_EQ (list[1].why, "layers 0-8 had \"no\" engine\n");
  EXPECT_EQ (list[1].before, "m v1");
  EXPECT_EQ (list[1].after, "m v2");
  event (MQ_AUDIT_REPLY);
  EXPECT_EQ (mq_audit_pending (audit), 0U);
}

TEST_F (Audit, LostReplyRepeatsTheSameWrite)
{
  add ("e1");
  event (MQ_AUDIT_FLUSH);
  std::string name = mq_str_cstr (act ().name);
  std::string value = mq_str_cstr (act ().value);
  event (MQ_AUDIT_REPLY, MQ_STORE_UNKNOWN);
  add ("e2");
  now += 1 * S;
  event (MQ_AUDIT_TICK);
  ASSERT_EQ (actions->len, 1U);
  EXPECT_EQ (name, mq_str_cstr (act ().name));
  EXPECT_EQ (value, mq_str_cstr (act ().value));
  /* The first write had taken effect.  */
  event (MQ_AUDIT_REPLY, MQ_STORE_CONFLICT);
  EXPECT_EQ (mq_audit_pending (audit), 1U);
  event (MQ_AUDIT_FLUSH);
  EXPECT_EQ (decode_batch ()[0].what, "e2");
}

TEST_F (Audit, DropsOldRecordsAndReportsTheNumber)
{
  add ("first");
  event (MQ_AUDIT_FLUSH);
  for (int i = 0; i < 100; i++)
    add ("e" + std::to_string (i));
  EXPECT_LT (mq_audit_pending (audit), 30U);
  EXPECT_GT (mq_audit_dropped (audit), 70U);
  event (MQ_AUDIT_REPLY);
  event (MQ_AUDIT_FLUSH);
  std::vector<DecodedRecord> list = decode_batch ();
  EXPECT_EQ (list[0].kind, MQ_AUDIT_LOST);
  EXPECT_EQ (list[0].what,
             std::to_string (mq_audit_dropped (audit)) + " records");
  EXPECT_LE (mq_str_span (act ().value).size, 1000U);
}

TEST_F (Audit, CutsLongTextsAndRepairsUtf8)
{
  add (std::string (400, 'x') + "\xff" + std::string (108, 'x') + "\xc3\xa9"
       + std::string (300, 'x'));
  event (MQ_AUDIT_FLUSH);
  std::vector<DecodedRecord> list = decode_batch ();
  ASSERT_EQ (list.size (), 1U);
  EXPECT_LE (list[0].what.size (), (size_t)MQ_AUDIT_MAX_TEXT_BYTES);
  EXPECT_GT (list[0].what.size (), (size_t)MQ_AUDIT_MAX_TEXT_BYTES - 4);
  EXPECT_TRUE (g_utf8_validate (list[0].what.data (), -1, NULL));
}

TEST (AuditDay, CountsBackAcrossTheYear)
{
  GString *p = g_string_new (NULL);

  mq_audit_day_prefix (UINT64_C (1796233177000), 0, p);
  EXPECT_STREQ (p->str, "audit/2026-12-02/");
  mq_audit_day_prefix (UINT64_C (1796233177000), 336, p);
  EXPECT_STREQ (p->str, "audit/2025-12-31/");
  g_string_free (p, TRUE);
}

TEST (AuditDecode, ReportsTheLineThatIsNotARecord)
{
  std::vector<DecodedRecord> list;
  GError *error = NULL;
  const char *text = "{\"kind\":\"mode\",\"who\":\"a\"}\n{\"kind\":\"?\"}\n";

  EXPECT_EQ (mq_audit_decode (mq_span_from (text), collect, &list, &error),
             -1);
  EXPECT_EQ (list.size (), 1U);
  EXPECT_TRUE (g_error_matches (error, MQ_AUDIT_ERROR, MQ_AUDIT_ERROR_FORM));
  EXPECT_STREQ (error->message, "line 2 is not an audit record");
  g_clear_error (&error);
  for (const char *bad : { "x", "[]", "{}", "{\"kind\":5}", "nul" })
    EXPECT_EQ (mq_audit_decode (mq_span_from (bad), collect, &list, NULL), -1)
        << bad;
}

/* A trail that was cut behind a record's text, or has a key twice.  */
TEST (AuditDecode, RejectsRecordThatIsCutOrContradictsItself)
{
  const std::string whole = "{\"kind\":\"mode\",\"who\":\"a\"}\n";
  std::vector<DecodedRecord> list;

  EXPECT_EQ (
      mq_audit_decode ({ whole.data (), whole.size () }, collect, &list, NULL),
      0);
  for (size_t n = 1; n < whole.size (); n++)
    EXPECT_EQ (mq_audit_decode ({ whole.data (), n }, collect, &list, NULL),
               -1)
        << n;
  for (const char *bad :
       { "{\"kind\":\"mode\",\"kind\":\"order\"}\n", "{\"kind\":\"mode\"}x\n",
         "{\"kind\":\"mode\"}{\"kind\":\"mode\"}\n" })
    EXPECT_EQ (mq_audit_decode (mq_span_from (bad), collect, &list, NULL), -1)
        << bad;
  EXPECT_EQ (list.size (), 1U);
}
