/* Of a list of the store, of its events and of a peer's message, one entry is
   replaced by what another writer may put there: each other entry is read as
   it is.  "make check-sanitize" runs the same under the sanitizers.  */

#include "../platform/platform.h"

#include <gtest/gtest.h>
#include <mq/cluster_message.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

namespace
{

std::string
text (mq_span s)
{
  return std::string (s.size > 0 ? s.data : "", s.size);
}

/* Bytes that a JSON string can't hold or that no decoder accepts, without
   those that end the string.  */
rc::Gen<std::string>
gen_bytes ()
{
  return rc::gen::map (rc::gen::arbitrary<std::string> (), [] (std::string s) {
    for (char &c : s)
      if (c == '"' || c == '\\')
        c = '\xff';
    return "\"" + s + "\"";
  });
}

rc::Gen<std::string>
gen_nested ()
{
  return rc::gen::map (
      rc::gen::pair (rc::gen::element (1, 28, 31, 32, 33, 40, 1000, 200000),
                     rc::gen::arbitrary<bool> ()),
      [] (const std::pair<int, bool> &p) {
        std::string open, close;

        for (int i = 0; i < p.first; i++)
          {
            open += p.second ? "{\"a\":" : "[";
            close += p.second ? "}" : "]";
          }
        return open + "1" + close;
      });
}

/* A value of any type, readable or not.  */
rc::Gen<std::string>
gen_value ()
{
  return rc::gen::oneOf (
      gen_bytes (), gen_nested (),
      rc::gen::element<std::string> (
          "null", "true", "-1", "1e999", "-1e999", "18446744073709551616",
          "123456789012345678901234567890", "0.5", "{}", "[]", "\"\"",
          "\"\\u0000\"", "\"a\\u0000b\"", "tru", "nul", "{\"a\":1,\"a\":2}"),
      rc::gen::map (rc::gen::element (10, 100000, 1000000), [] (int n) {
        return "\"" + std::string ((size_t)n, 'x') + "\"";
      }));
}

/* An element of a list whose parts may be missing or of any type.  */
rc::Gen<std::string>
gen_element (const std::string &name)
{
  return rc::gen::exec ([name] {
    auto any = [] (const char *key) {
      return *rc::gen::element (0, 1, 2) == 0
                 ? std::string ()
                 : std::string ("\"") + key + "\":" + *gen_value () + ",";
    };

    switch (*rc::gen::inRange (0, 4))
      {
      case 0:
        return *gen_value ();
      case 1:
        return "{\"metadata\":" + *gen_value () + ",\"spec\":" + *gen_value ()
               + "}";
      case 2:
        return "{\"metadata\":{" + any ("name") + any ("revision")
               + any ("deleting") + "\"x\":1},\"spec\":{}}";
      default:
        return "{" + any ("status") + "\"metadata\":{\"name\":\"" + name
               + "\",\"revision\":7},\"spec\":" + *gen_value () + "}";
      }
  });
}

std::string
sound_element (size_t i)
{
  return "{\"metadata\":{\"name\":\"n" + std::to_string (i)
         + "\",\"revision\":" + std::to_string (i + 1)
         + ",\"deleting\":false},\"spec\":{\"i\":" + std::to_string (i)
         + "},\"status\":null}";
}

/* Expect that ENTRIES has the N sound elements but the one at BAD.  */
void
expect_others (const mq_platform_reply &reply, size_t n, size_t bad)
{
  size_t next = 0;

  for (size_t i = 0; i < reply.n_entries; i++)
    {
      const mq_platform_entry &e = reply.entries[i];

      if (next == bad)
        next++;
      if (next == n || text (e.name) != "n" + std::to_string (next))
        continue;
      RC_ASSERT (e.version == next + 1);
      RC_ASSERT (!e.deleted);
      RC_ASSERT (text (e.value) == "{\"i\":" + std::to_string (next) + "}");
      next++;
    }
  if (next == bad)
    next++;
  RC_ASSERT (next == n);
  RC_ASSERT (reply.n_entries + reply.n_unnamed == n);
}

void
check_reply (mq_platform_op op)
{
  const size_t n = *rc::gen::inRange<size_t> (1, 6);
  const size_t bad = *rc::gen::inRange<size_t> (0, n);
  const bool events = op == MQ_PLATFORM_FOLLOW;
  std::string body = events ? "{\"events\":[" : "{\"items\":[";
  mq_platform_reply reply = {};

  for (size_t i = 0; i < n; i++)
    {
      std::string e = i == bad ? *gen_element ("bad") : sound_element (i);

      if (events && (i != bad || *rc::gen::arbitrary<bool> ()))
        e = "{\"deleted\":" + (i == bad ? *gen_value () : "false")
            + ",\"object\":" + e + "}";
      body += (i > 0 ? "," : "") + e;
    }
  body += "],\"hasMore\":false,\"at\":100}";
  void *decoded = mq_users_store.decode (
      op, 200, { body.data (), body.size () }, &reply);
  RC_ASSERT (reply.result == MQ_PLATFORM_OK);
  RC_ASSERT (reply.at == 100u);
  expect_others (reply, n, bad);
  for (size_t i = 0; i < reply.n_entries; i++)
    {
      mq_upstream_facts facts;
      GError *error = nullptr;

      RC_ASSERT (reply.entries[i].version <= 100u);
      /* Whether it can be used is decided by itself, too.  */
      if (mq_users_upstream_decode (reply.entries[i].name,
                                    reply.entries[i].value, &facts, &error)
          == 0)
        mq_upstream_facts_finish (&facts);
      else
        g_error_free (error);
    }
  mq_users_store.free_decoded (decoded);
}

} // namespace

RC_GTEST_PROP (StoreEntries, UnreadableOneOfListCostsItselfAlone, ())
{
  check_reply (MQ_PLATFORM_SCAN);
}

RC_GTEST_PROP (StoreEntries, UnreadableEventCostsItselfAlone, ())
{
  check_reply (MQ_PLATFORM_FOLLOW);
}

/* Text that ends early, or is no list at all, is told apart from a store that
   does not answer, and what came before is used.  */
RC_GTEST_PROP (StoreEntries, ListThatEndsEarlyIsUnreadable, ())
{
  std::string body = "{\"at\":100,\"items\":[" + sound_element (0) + ","
                     + sound_element (1) + "]}";
  const size_t size = *rc::gen::inRange<size_t> (0, body.size ());
  mq_platform_reply reply = {};

  body.resize (size);
  void *decoded = mq_users_store.decode (
      MQ_PLATFORM_SCAN, 200, { body.data (), body.size () }, &reply);
  RC_ASSERT (reply.result == MQ_PLATFORM_UNREADABLE);
  for (size_t i = 0; i < reply.n_entries; i++)
    RC_ASSERT (text (reply.entries[i].name) == "n" + std::to_string (i));
  mq_users_store.free_decoded (decoded);
}

/* A name that receivers reject costs that record alone.  */
RC_GTEST_PROP (StoreEntries, UnreadableRecordOfPeerCostsItselfAlone, ())
{
  const size_t n = *rc::gen::inRange<size_t> (1, 6);
  const size_t bad = *rc::gen::inRange<size_t> (0, n);
  const std::string name = *rc::gen::element<std::string> (
      std::string (), std::string ("a\0b", 3), std::string (2000, 'x'));
  std::vector<std::string> names;
  std::vector<mq_platform_entry> entries;
  GString *out = g_string_new (nullptr);
  mq_cluster_message m = {};
  mq_cluster_message_decoded d;

  for (size_t i = 0; i < n; i++)
    names.push_back (i == bad ? name : "n" + std::to_string (i));
  for (size_t i = 0; i < n; i++)
    entries.push_back (
        { { names[i].data (), names[i].size () }, i + 1, { "{}", 2 }, false });
  m.kind = MQ_CLUSTER_MESSAGE_ENTRIES;
  m.u.entries = { true, 9, entries.data (), n };
  mq_cluster_message_encode (&m, out);
  RC_ASSERT (mq_cluster_message_decode (&d, { out->str, out->len }, nullptr)
             == 0);
  RC_ASSERT (d.dropped == 1u);
  RC_ASSERT (d.message.u.entries.n == n - 1);
  for (size_t i = 0; i < n - 1; i++)
    RC_ASSERT (text (d.message.u.entries.entries[i].name)
               == names[i < bad ? i : i + 1]);
  mq_cluster_message_decoded_finish (&d);
  g_string_free (out, TRUE);
}

/* An unexpected member of an engine's report costs that member alone.  */
RC_GTEST_PROP (StoreEntries, UnreadableMemberOfReportCostsItselfAlone, ())
{
  const std::string body = "{\"busy\":true,\"extra\":" + *gen_value ()
                           + ",\"sequence\":3,\"waiting\":" + *gen_value ()
                           + ",\"running\":5}";
  mq_engine_report report;

  RC_ASSERT (
      mq_users_report_decode ({ body.data (), body.size () }, &report, nullptr)
      == 0);
  RC_ASSERT (report.orders == 3u);
  RC_ASSERT (report.running == 5u);
  RC_ASSERT (report.busy);
  mq_users_report_finish (&report);
}
