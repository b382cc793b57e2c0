/* Encoding and decoding of messages between routers (mq/peer_message.h).  */

#include <gtest/gtest.h>
#include <mq/peer_message.h>
#include <cmath>
#include <random>
#include <string>
#include <vector>

namespace
{

std::string
encode (const mq_peer_message &m)
{
  GByteArray *out = g_byte_array_new ();
  std::string bytes;

  mq_peer_message_encode (&m, out);
  bytes.assign ((const char *)out->data, out->len);
  g_byte_array_unref (out);
  return bytes;
}

bool
decodes (const std::string &bytes, int *code = nullptr)
{
  mq_peer_decoded d;
  GError *error = nullptr;

  if (mq_peer_message_decode (&d, { bytes.data (), bytes.size () }, &error)
      == 0)
    {
      mq_peer_decoded_finish (&d);
      return true;
    }
  if (code != nullptr)
    *code = error->code;
  g_error_free (error);
  return false;
}

mq_peer_message
heartbeat (bool introduce)
{
  mq_peer_message m = {};
  mq_heartbeat *h = &m.u.heartbeat;

  m.kind = MQ_PEER_HEARTBEAT;
  m.sender = 0x1234567890abcdef;
  h->sequence = 100000;
  h->generation = 12000;
  h->interval_us = 466666;
  h->members_hash = 0xfedcba9876543210;
  h->receiver_incarnation = 0x1234567890abcdee;
  h->receiver_sequence = 99999;
  h->receiver_state = MQ_MEMBER_LIVE;
  h->load = 730;
  if (!introduce)
    return m;
  h->vm = MQ_SPAN ("kamloops-yard-3");
  h->peer_address = MQ_SPAN ("10.20.30.40:7400");
  h->entry_address = MQ_SPAN ("http://10.20.30.40:8080");
  h->failure_domain = MQ_SPAN ("kamloops-yard");
  h->region = MQ_SPAN ("bc-interior");
  return m;
}

mq_plan
plan ()
{
  mq_plan p;
  mq_str *e = mq_str_new (MQ_SPAN ("engine-1"));
  mq_str *url = mq_str_new (MQ_SPAN ("http://10.0.0.1:9000"));

  mq_plan_init (&p);
  p.model = mq_str_new (MQ_SPAN ("notes"));
  p.version = mq_str_new (MQ_SPAN ("v3"));
  p.layers = 8;
  mq_plan_add (&p, e, url, 0, 4);
  mq_plan_add (&p, e, url, 4, 8);
  mq_str_unref (e);
  mq_str_unref (url);
  return p;
}

mq_plan_request
plan_request ()
{
  mq_plan_request a = {};

  a.id = { 7, 9 };
  a.attempt = 2;
  a.service = MQ_SPAN ("reports");
  a.organisation = MQ_SPAN ("halvorsen");
  a.prompt_tokens = 100;
  a.max_tokens = 64;
  a.priority = -3;
  a.deadline_us = 4000000;
  a.prefix_hash = 77;
  a.avoid[0] = MQ_SPAN ("engine-9");
  a.n_avoid = 1;
  return a;
}

/* Returns a valid message of each kind.  The caller frees the plans with
   finish_plans.  */
std::vector<mq_peer_message>
all_kinds ()
{
  static const mq_member_update items[] = {
    { MQ_SPAN ("a"), MQ_SPAN ("127.0.0.1:1"), 5, 6, MQ_MEMBER_DEAD, false },
    { MQ_SPAN ("b"), MQ_SPAN ("127.0.0.1:2"), 7, 8, MQ_MEMBER_LIVE, true }
  };
  std::vector<mq_peer_message> all;
  mq_peer_message m;

  all.push_back (heartbeat (true));
  all.push_back (heartbeat (false));
  for (int kind = MQ_PEER_MEMBER_UPDATES; kind <= MQ_PEER_CRASHES; kind++)
    {
      m = {};
      m.kind = (mq_peer_message_kind)kind;
      m.sender = 42;
      switch (m.kind)
        {
        case MQ_PEER_MEMBER_UPDATES:
          m.u.member_updates.items = items;
          m.u.member_updates.n = 2;
          break;
        case MQ_PEER_PLAN_REQUEST:
          m.u.plan_request.request = plan_request ();
          m.u.plan_request.generation = 3;
          break;
        case MQ_PEER_PLAN_ANSWER:
          m.u.plan_answer.id = { 7, 9 };
          m.u.plan_answer.admitted = true;
          m.u.plan_answer.plan = plan ();
          m.u.plan_answer.figures.margin_us = 12;
          break;
        case MQ_PEER_PLAN_RELEASE:
          m.u.plan_release.service = MQ_SPAN ("reports");
          m.u.plan_release.release.id = { 7, 9 };
          m.u.plan_release.release.end = MQ_ATTEMPT_STAGE_DIED;
          m.u.plan_release.release.stage = 1;
          break;
        case MQ_PEER_PLAN_PROGRESS:
          m.u.plan_progress.service = MQ_SPAN ("reports");
          m.u.plan_progress.tokens = 12;
          break;
        case MQ_PEER_PLAN_REGISTER:
          m.u.plan_register.request = plan_request ();
          m.u.plan_register.plan = plan ();
          m.u.plan_register.tokens = 5;
          break;
        case MQ_PEER_LIMIT_REQUEST:
          m.u.limit_request.organisation = MQ_SPAN ("halvorsen");
          m.u.limit_request.demand = { 1.5, 200, 3 };
          m.u.limit_request.in_flight = 2;
          break;
        case MQ_PEER_LIMIT_GRANT:
          m.u.limit_grant.organisation = MQ_SPAN ("halvorsen");
          m.u.limit_grant.share = { 2.5, 100, 4 };
          m.u.limit_grant.lifetime_us = MQ_LIMITER_SHORT_LIFETIME_US;
          m.u.limit_grant.contended = true;
          break;
        case MQ_PEER_CONFIG_OFFER:
          m.u.generation = 99;
          break;
        case MQ_PEER_CONFIG_FETCH:
          m.u.name = MQ_SPAN ("config/files/abc");
          break;
        case MQ_PEER_CONFIG_OBJECT:
          m.u.config_object.name = MQ_SPAN ("config/files/abc");
          m.u.config_object.version = 4;
          m.u.config_object.value = MQ_SPAN ("{ \"a\": 1 }");
          break;
        case MQ_PEER_CRASHES:
          m.u.crashes.items[0] = { 5, 6, 700 };
          m.u.crashes.items[1] = { 5, 0, 0 };
          m.u.crashes.n = 2;
          break;
        case MQ_PEER_HEARTBEAT:
          break;
        }
      all.push_back (m);
    }
  return all;
}

void
finish_plans (std::vector<mq_peer_message> &all)
{
  for (mq_peer_message &m : all)
    {
      if (m.kind == MQ_PEER_PLAN_ANSWER)
        mq_plan_finish (&m.u.plan_answer.plan);
      if (m.kind == MQ_PEER_PLAN_REGISTER)
        mq_plan_finish (&m.u.plan_register.plan);
    }
}

} // namespace

/* For each kind, decoding and encoding again must give the same bytes.  */
TEST (PeerMessage, EachKindRoundTrips)
{
  std::vector<mq_peer_message> all = all_kinds ();

  for (const mq_peer_message &m : all)
    {
      std::string bytes = encode (m);
      mq_peer_decoded d;

      ASSERT_EQ (mq_peer_message_decode (&d, { bytes.data (), bytes.size () },
                                         nullptr),
                 0)
          << m.kind;
      EXPECT_EQ (d.message.kind, m.kind);
      EXPECT_EQ (d.message.sender, m.sender);
      EXPECT_EQ (encode (d.message), bytes) << m.kind;
      mq_peer_decoded_finish (&d);
    }
  finish_plans (all);
}

TEST (PeerMessage, HeartbeatFieldsRoundTrip)
{
  std::string bytes = encode (heartbeat (true));
  mq_peer_decoded d;

  ASSERT_EQ (
      mq_peer_message_decode (&d, { bytes.data (), bytes.size () }, nullptr),
      0);
  EXPECT_EQ (d.message.u.heartbeat.incarnation, 0x1234567890abcdefu);
  EXPECT_EQ (d.message.u.heartbeat.load, 730u);
  EXPECT_TRUE (
      mq_span_equal (d.message.u.heartbeat.region, MQ_SPAN ("bc-interior")));
  mq_peer_decoded_finish (&d);
}

/* The heartbeat interval is computed from this size.  */
TEST (PeerMessage, HeartbeatSizeIsBounded)
{
  printf ("heartbeat: %zu bytes, introduced: %zu bytes\n",
          encode (heartbeat (false)).size (),
          encode (heartbeat (true)).size ());
  EXPECT_LE (encode (heartbeat (false)).size (), 64u);
}

TEST (PeerMessage, RejectsUnsupportedVersion)
{
  std::string bytes = encode (heartbeat (false));
  int code = -1;

  ASSERT_EQ (bytes[0], 0x08); /* Tag of field 1: the version.  */
  bytes[1] = MQ_PEER_VERSION + 1;
  EXPECT_FALSE (decodes (bytes, &code));
  EXPECT_EQ (code, MQ_PEER_MESSAGE_ERROR_VERSION);
}

TEST (PeerMessage, RejectsInvalidValues)
{
  mq_peer_message m = {};

  m.sender = 1;
  m.kind = MQ_PEER_LIMIT_GRANT;
  m.u.limit_grant.organisation = MQ_SPAN ("o");
  EXPECT_TRUE (decodes (encode (m)));
  m.u.limit_grant.lifetime_us = MQ_LIMITER_LONG_LIFETIME_US + 1;
  EXPECT_FALSE (decodes (encode (m)));
  m.u.limit_grant.lifetime_us = 1;
  m.u.limit_grant.share.requests_per_s = -1;
  EXPECT_FALSE (decodes (encode (m)));
  m.u.limit_grant.share.requests_per_s = std::nan ("");
  EXPECT_FALSE (decodes (encode (m)));

  m = {};
  m.sender = 1;
  m.kind = MQ_PEER_PLAN_ANSWER;
  m.u.plan_answer.admitted = true;
  EXPECT_FALSE (decodes (encode (m))) << "a plan without stages";
  m.u.plan_answer.admitted = false;
  m.u.plan_answer.reason = MQ_REASON_COUNT;
  EXPECT_FALSE (decodes (encode (m)));

  m = heartbeat (false);
  m.sender = 0;
  EXPECT_FALSE (decodes (encode (m)));
}

/* If the decoder rejected a release without a stage at fault, which is the
   usual one, the owner would never free the places of finished attempts.  */
TEST (PeerMessage, DecodesReleaseWithoutStageAtFault)
{
  mq_peer_message m = {};

  m.sender = 1;
  m.kind = MQ_PEER_PLAN_RELEASE;
  m.u.plan_release.release.stage = MQ_STAGE_NONE;
  EXPECT_TRUE (decodes (encode (m)));
  m.u.plan_release.release.stage = MQ_PLAN_MAX_STAGES;
  EXPECT_FALSE (decodes (encode (m)));
}

/* A plan must cover all layers.  */
TEST (PeerMessage, RejectsPlanWithALayerGap)
{
  mq_peer_message m = {};

  m.sender = 1;
  m.kind = MQ_PEER_PLAN_ANSWER;
  m.u.plan_answer.admitted = true;
  m.u.plan_answer.plan = plan ();
  EXPECT_TRUE (decodes (encode (m)));
  m.u.plan_answer.plan.stages[1].first = 5;
  EXPECT_FALSE (decodes (encode (m)));
  mq_plan_finish (&m.u.plan_answer.plan);
}

/* A message of any kind that is cut at any byte is none, and the process goes
   on.  */
TEST (PeerMessage, CutAtAnyByteIsRejected)
{
  std::vector<mq_peer_message> all = all_kinds ();

  for (const mq_peer_message &m : all)
    {
      std::string bytes = encode (m);

      ASSERT_TRUE (decodes (bytes)) << m.kind;
      for (size_t n = 0; n < bytes.size (); n++)
        EXPECT_FALSE (decodes (bytes.substr (0, n)))
            << "kind " << m.kind << ", " << n << " bytes";
    }
  finish_plans (all);
}

/* Two messages in one, of the same kind or of different ones, contradict each
   other: the last one counted.  */
TEST (PeerMessage, TwoInOneAreRejected)
{
  std::vector<mq_peer_message> all = all_kinds ();

  for (const mq_peer_message &a : all)
    for (const mq_peer_message &b : all)
      EXPECT_FALSE (decodes (encode (a) + encode (b))) << a.kind << b.kind;
  finish_plans (all);
}

/* Decodes mutated messages and random bytes from a fixed seed.  */
TEST (PeerMessage, DecodesMutatedMessagesSafely)
{
  std::mt19937 random (20261202);
  std::vector<mq_peer_message> all = all_kinds ();
  std::vector<std::string> seeds;
  int n_decoded = 0;
  int n_rejected = 0;

  for (const mq_peer_message &m : all)
    seeds.push_back (encode (m));
  finish_plans (all);
  for (int i = 0; i < 40000; i++)
    {
      std::string bytes = seeds[random () % seeds.size ()];
      int changes = 1 + (int)(random () % 4);

      for (int k = 0; k < changes && !bytes.empty (); k++)
        switch (random () % 4)
          {
          case 0:
            bytes[random () % bytes.size ()] = (char)random ();
            break;
          case 1:
            bytes.resize (random () % bytes.size ());
            break;
          case 2:
            bytes.insert (random () % bytes.size (), 1, (char)random ());
            break;
          case 3:
            bytes.erase (random () % bytes.size (), 1);
            break;
          }
      (decodes (bytes) ? n_decoded : n_rejected)++;
    }
  for (int i = 0; i < 10000; i++)
    {
      std::string bytes (random () % 200, 0);

      for (char &c : bytes)
        c = (char)random ();
      (decodes (bytes) ? n_decoded : n_rejected)++;
    }
  EXPECT_GT (n_rejected, 20000);
  EXPECT_GT (n_decoded, 1000);
}
