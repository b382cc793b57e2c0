/* Encoding and decoding of cluster messages (mq/cluster_message.h).  */

#include <mq/cluster_message.h>

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace
{

std::string
text (mq_span s)
{
  return std::string (s.size > 0 ? s.data : "", s.size);
}

/* Gossip with a value in every field.  */
class ClusterMessage : public ::testing::Test
{
protected:
  ClusterMessage ()
  {
    mq_gossip_router r = { MQ_SPAN ("vm-2"),
                           MQ_SPAN ("10.0.0.2:1"),
                           MQ_SPAN ("10.0.0.2:2"),
                           MQ_SPAN ("one"),
                           12,
                           250,
                           8002 };
    mq_path_tokens w = { 0xfedcba9876543210, 1234 };
    mq_service_sends s = { 77, { 10, 3, 1 } };
    mq_gossip_finding f
        = { MQ_SPAN ("eng-1"), 4000000, 2.5,   2000000, 300, true,
            1234567,           true,    4.125, 70000 };
    mq_quarantine_record e = { 0xf000000000000001, 0xf000000000000003, 70 };

    mq_gossip_init (&gossip, MQ_GOSSIP_SUMMARY);
    gossip.from = { MQ_SPAN ("vm-1"),
                    MQ_SPAN ("10.0.0.1:1"),
                    MQ_SPAN ("10.0.0.1:2"),
                    MQ_SPAN ("one"),
                    11,
                    500,
                    8001 };
    gossip.sequence = 9;
    gossip.interval_ms = 125;
    gossip.used = 33;
    gossip.ready = gossip.follows = gossip.relays = true;
    gossip.store_reached = gossip.watches = gossip.reached = gossip.listed
        = true;
    gossip.routing_version = 41;
    gossip.upstreams_digest = 0x8000000000000001;
    gossip.upstreams_newest = 17;
    gossip.busy = 5;
    uint64_t service = 0xf000000000000004;
    g_array_append_val (gossip.isolated, service);
    g_array_append_val (gossip.paths, w);
    g_array_append_val (gossip.sends, s);
    g_array_append_val (gossip.findings, f);
    g_array_append_val (gossip.crashes, e);
    g_array_append_val (gossip.routers, r);
    g_array_append_val (gossip.serving, r);
    g_array_append_val (gossip.elsewhere, r);
  }

  ~ClusterMessage () override { mq_gossip_finish (&gossip); }

  static std::string
  encode (const mq_cluster_message &p)
  {
    GString *out = g_string_new (nullptr);
    mq_cluster_message_encode (&p, out);
    std::string s (out->str, out->len);

    g_string_free (out, TRUE);
    return s;
  }

  std::string
  encode_gossip ()
  {
    mq_cluster_message p = {};

    p.kind = MQ_CLUSTER_MESSAGE_GOSSIP;
    p.u.gossip = &gossip;
    return encode (p);
  }

  /* A message of each kind.  */
  std::vector<std::string>
  encode_all ()
  {
    const mq_platform_entry list[]
        = { { MQ_SPAN ("a"), 5, MQ_SPAN ("{\"x\":1}"), false },
            { MQ_SPAN ("b"), 6, MQ_SPAN (""), true } };
    std::vector<std::string> all = { encode_gossip () };
    mq_cluster_message p = {};

    p.kind = MQ_CLUSTER_MESSAGE_ROUTING;
    p.scope = MQ_SCOPE_RECEIVER;
    p.u.routing = MQ_SPAN ("{\"version\":3}");
    all.push_back (encode (p));
    p.kind = MQ_CLUSTER_MESSAGE_ENTRIES;
    p.u.entries = { true, 6, list, 2 };
    all.push_back (encode (p));
    p.u.entries = { false, 0, list, 2 };
    all.push_back (encode (p));
    p.kind = MQ_CLUSTER_MESSAGE_LAYERS;
    p.u.layers = { MQ_SPAN ("eng"), 20, 31 };
    all.push_back (encode (p));
    for (mq_cluster_message_kind kind : { MQ_CLUSTER_MESSAGE_BUDGET_REQUEST,
                                          MQ_CLUSTER_MESSAGE_BUDGET_GRANT })
      {
        p.kind = kind;
        p.u.budget = { MQ_SPAN ("10.0.0.1:1"),
                       { MQ_SPAN ("10.0.0.2:1"), MQ_SPAN ("10.0.0.3:1") },
                       2,
                       7,
                       12,
                       9 };
        all.push_back (encode (p));
      }
    return all;
  }

  static int
  decode (mq_cluster_message_decoded *d, const std::string &s,
          GError **error = nullptr)
  {
    return mq_cluster_message_decode (d, { s.data (), s.size () }, error);
  }

  mq_gossip gossip;
};

} // namespace

TEST_F (ClusterMessage, GossipRoundTrips)
{
  mq_cluster_message_decoded d;

  ASSERT_EQ (decode (&d, encode_gossip ()), 0);
  ASSERT_EQ (d.message.kind, MQ_CLUSTER_MESSAGE_GOSSIP);
  const mq_gossip *n = d.message.u.gossip;
  EXPECT_EQ (n->kind, MQ_GOSSIP_SUMMARY);
  EXPECT_EQ (text (n->from.name), "vm-1");
  EXPECT_EQ (text (n->from.client), "10.0.0.1:2");
  EXPECT_EQ (n->from.incarnation, 11u);
  EXPECT_EQ (n->from.capacity, 500u);
  EXPECT_EQ (n->from.tunnel_port, 8001u);
  ASSERT_EQ (n->isolated->len, 1u);
  EXPECT_EQ (g_array_index (n->isolated, uint64_t, 0), 0xf000000000000004);
  EXPECT_EQ (n->sequence, 9u);
  EXPECT_EQ (n->interval_ms, 125u);
  EXPECT_EQ (n->used, 33u);
  EXPECT_TRUE (n->ready && n->follows && n->relays && n->store_reached);
  EXPECT_TRUE (n->watches && n->reached && n->listed);
  EXPECT_FALSE (n->draining);
  ASSERT_EQ (n->crashes->len, 1u);
  auto e = g_array_index (n->crashes, mq_quarantine_record, 0);
  EXPECT_EQ (e.element, 0xf000000000000001);
  EXPECT_EQ (e.upstream, 0xf000000000000003);
  EXPECT_EQ (e.age_ms, 70u);
  EXPECT_EQ (n->routing_version, 41u);
  EXPECT_EQ (n->upstreams_digest, 0x8000000000000001u);
  EXPECT_EQ (n->upstreams_newest, 17u);
  EXPECT_EQ (n->busy, 5u);
  EXPECT_EQ (mq_path_tokens_get (n->paths, 0xfedcba9876543210), 1234);
  EXPECT_EQ (mq_service_sends_get (n->sends, 77).retries, 3u);
  ASSERT_EQ (n->findings->len, 1u);
  EXPECT_EQ (g_array_index (n->findings, mq_gossip_finding, 0).slowdown, 2.5);
  EXPECT_TRUE (g_array_index (n->findings, mq_gossip_finding, 0).leaving);
  EXPECT_EQ (g_array_index (n->findings, mq_gossip_finding, 0).born_ms,
             1234567u);
  EXPECT_TRUE (g_array_index (n->findings, mq_gossip_finding, 0).limit_stated);
  EXPECT_EQ (g_array_index (n->findings, mq_gossip_finding, 0).limit_per_s,
             4.125);
  EXPECT_EQ (g_array_index (n->findings, mq_gossip_finding, 0).limit_age_us,
             70000u);
  EXPECT_EQ (g_array_index (n->findings, mq_gossip_finding, 0).rejecting_us,
             300u);
  ASSERT_EQ (n->routers->len, 1u);
  EXPECT_EQ (g_array_index (n->routers, mq_gossip_router, 0).tunnel_port,
             8002u);
  EXPECT_EQ (text (g_array_index (n->routers, mq_gossip_router, 0).peer),
             "10.0.0.2:1");
  EXPECT_EQ (n->serving->len, 1u);
  EXPECT_EQ (n->elsewhere->len, 1u);
  mq_cluster_message_decoded_finish (&d);
}

TEST_F (ClusterMessage, EntriesRoundTrip)
{
  const mq_platform_entry list[] = {
    { MQ_SPAN ("a"), 5, MQ_SPAN ("{\"x\":1}"), false },
    { MQ_SPAN ("b"), 6, MQ_SPAN (""), true },
  };
  mq_cluster_message_decoded d;
  mq_cluster_message p = {};

  p.kind = MQ_CLUSTER_MESSAGE_ENTRIES;
  p.scope = MQ_SCOPE_DOMAIN;
  p.u.entries = { true, 6, list, 2 };
  ASSERT_EQ (decode (&d, encode (p)), 0);
  EXPECT_EQ (d.message.scope, MQ_SCOPE_DOMAIN);
  EXPECT_TRUE (d.message.u.entries.whole);
  EXPECT_EQ (d.message.u.entries.at, 6u);
  ASSERT_EQ (d.message.u.entries.n, 2u);
  EXPECT_EQ (text (d.message.u.entries.entries[0].value), "{\"x\":1}");
  EXPECT_TRUE (d.message.u.entries.entries[1].deleted);
  mq_cluster_message_decoded_finish (&d);
}

TEST_F (ClusterMessage, RoutingAndLayersRoundTrip)
{
  mq_cluster_message_decoded d;
  mq_cluster_message p = {};

  p.kind = MQ_CLUSTER_MESSAGE_ROUTING;
  p.scope = MQ_SCOPE_RECEIVER;
  p.u.routing = MQ_SPAN ("{\"version\":3}");
  ASSERT_EQ (decode (&d, encode (p)), 0);
  EXPECT_EQ (text (d.message.u.routing), "{\"version\":3}");
  EXPECT_EQ (d.message.scope, MQ_SCOPE_RECEIVER);
  mq_cluster_message_decoded_finish (&d);
  p.kind = MQ_CLUSTER_MESSAGE_LAYERS;
  p.scope = MQ_SCOPE_FLEET;
  p.u.layers = { MQ_SPAN ("eng"), 20, 31 };
  ASSERT_EQ (decode (&d, encode (p)), 0);
  EXPECT_EQ (d.message.u.layers.first, 20u);
  EXPECT_EQ (d.message.u.layers.end, 31u);
  mq_cluster_message_decoded_finish (&d);
}

/* A message truncated at any byte must fail to decode or decode to a valid
   message, without a read beyond its end (checked by the sanitizers).  */
TEST_F (ClusterMessage, DecodesTruncatedMessagesSafely)
{
  std::string whole = encode_gossip ();

  for (size_t n = 0; n < whole.size (); n++)
    {
      std::string cut = whole.substr (0, n);
      mq_cluster_message_decoded d;

      if (decode (&d, cut) == 0)
        mq_cluster_message_decoded_finish (&d);
    }
}

/* A message of any kind that is cut at any byte is none: no list that is cut
   counts as a whole one.  */
TEST_F (ClusterMessage, CutAtAnyByteIsRejected)
{
  for (const std::string &whole : encode_all ())
    {
      mq_cluster_message_decoded d;

      ASSERT_EQ (decode (&d, whole), 0);
      mq_cluster_message_decoded_finish (&d);
      for (size_t n = 0; n < whole.size (); n++)
        EXPECT_EQ (decode (&d, whole.substr (0, n)), -1) << n;
    }
}

/* Two messages in one, of the same kind or of different ones, contradict each
   other: the last one counted.  */
TEST_F (ClusterMessage, TwoInOneAreRejected)
{
  for (const std::string &a : encode_all ())
    for (const std::string &b : encode_all ())
      {
        mq_cluster_message_decoded d;

        EXPECT_EQ (decode (&d, a + b), -1);
      }
}

/* A version that no change of the store has, or that is newer than the list it
   is in, would hide the changes that follow.  */
TEST_F (ClusterMessage, RejectsImpossibleVersions)
{
  mq_cluster_message_decoded d;
  mq_cluster_message p = {};

  p.kind = MQ_CLUSTER_MESSAGE_ENTRIES;
  for (bool whole : { false, true })
    for (uint64_t version : { UINT64_MAX, MQ_CLUSTER_MESSAGE_MAX_VERSION + 1,
                              (uint64_t)0, (uint64_t)7 })
      {
        const mq_platform_entry list[]
            = { { MQ_SPAN ("a"), 5, MQ_SPAN ("{}"), false },
                { MQ_SPAN ("b"), version, MQ_SPAN ("{}"), false } };

        p.u.entries = { whole, whole ? 6u : 0u, list, 2 };
        if (version == 7 && !whole)
          continue;
        EXPECT_EQ (decode (&d, encode (p)), -1) << version;
      }
  p.u.entries = { true, UINT64_MAX, nullptr, 0 };
  EXPECT_EQ (decode (&d, encode (p)), -1);
  gossip.routing_version = MQ_CLUSTER_MESSAGE_MAX_VERSION + 1;
  EXPECT_EQ (decode (&d, encode_gossip ()), -1);
  gossip.routing_version = 41;
  gossip.upstreams_newest = UINT64_MAX;
  EXPECT_EQ (decode (&d, encode_gossip ()), -1);
}

/* What is no address is none of a sender, and costs a record itself alone.  */
TEST_F (ClusterMessage, RejectsInvalidAddresses)
{
  for (const char *odd :
       { "10.0.0.1", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:4294967376",
         "10.0.0.1:80x", "10.0.0.1:-1", "10.0.0.1:+80", "10.0.0.1: 80",
         "router.example:80", "[::1]:80", ":80", "10.0.0.1:" })
    {
      mq_cluster_message_decoded d;
      mq_gossip_router *r
          = &g_array_index (gossip.routers, mq_gossip_router, 0);
      mq_gossip_router sound = *r;

      gossip.from.peer = mq_span_from (odd);
      EXPECT_EQ (decode (&d, encode_gossip ()), -1) << odd;
      gossip.from.peer = MQ_SPAN ("10.0.0.1:1");
      gossip.from.client = mq_span_from (odd);
      EXPECT_EQ (decode (&d, encode_gossip ()), -1) << odd;
      gossip.from.client = MQ_SPAN ("10.0.0.1:2");
      r->client = mq_span_from (odd);
      ASSERT_EQ (decode (&d, encode_gossip ()), 0);
      EXPECT_EQ (d.dropped, 1u) << odd;
      EXPECT_EQ (d.message.u.gossip->serving->len, 1u);
      mq_cluster_message_decoded_finish (&d);
      *r = sound;
    }
}

TEST_F (ClusterMessage, ReportsUnsupportedVersion)
{
  std::string s = encode_gossip ();
  GError *error = nullptr;
  mq_cluster_message_decoded d;

  ASSERT_EQ (s[0], 8); /* Tag of field 1: the version.  */
  s[1] = MQ_CLUSTER_MESSAGE_VERSION + 1;
  EXPECT_EQ (decode (&d, s, &error), -1);
  ASSERT_NE (error, nullptr);
  EXPECT_EQ (error->code, MQ_CLUSTER_MESSAGE_ERROR_VERSION);
  g_error_free (error);
}

/* The JSON text is the format of an earlier version.  */
TEST_F (ClusterMessage, RejectsMalformedMessages)
{
  for (const char *s : { "", "{\"kind\":\"news\"}", "\xff\xff\xff\xff" })
    {
      GError *error = nullptr;
      mq_cluster_message_decoded d;

      EXPECT_EQ (decode (&d, s, &error), -1) << s;
      ASSERT_NE (error, nullptr);
      g_error_free (error);
    }
}

TEST_F (ClusterMessage, RejectsGossipWithoutSender)
{
  mq_cluster_message_decoded d;

  gossip.from.peer = MQ_SPAN ("");
  EXPECT_EQ (decode (&d, encode_gossip ()), -1);
  gossip.from.peer = MQ_SPAN ("10.0.0.1:1");
  gossip.from.incarnation = 0;
  EXPECT_EQ (decode (&d, encode_gossip ()), -1);
}

TEST_F (ClusterMessage, RejectsInvalidValues)
{
  std::string longest (MQ_CLUSTER_MESSAGE_MAX_TEXT_BYTES + 1, 'x');
  mq_cluster_message_decoded d;
  mq_cluster_message p = {};

  gossip.from.domain = { longest.data (), longest.size () };
  EXPECT_EQ (decode (&d, encode_gossip ()), -1);
  p.kind = MQ_CLUSTER_MESSAGE_LAYERS;
  p.u.layers = { MQ_SPAN ("eng"), 31, 20 };
  EXPECT_EQ (decode (&d, encode (p)), -1);
}

TEST_F (ClusterMessage, BudgetTransfersRoundTrip)
{
  mq_cluster_message_decoded d;
  mq_cluster_message p = {};

  for (mq_cluster_message_kind kind :
       { MQ_CLUSTER_MESSAGE_BUDGET_REQUEST, MQ_CLUSTER_MESSAGE_BUDGET_GRANT })
    {
      p.kind = kind;
      p.u.budget = { MQ_SPAN ("10.0.0.1:1"),
                     { MQ_SPAN ("10.0.0.2:1"), MQ_SPAN ("10.0.0.3:1") },
                     2,
                     0xf000000000000007,
                     12,
                     0x8000000000000009 };
      ASSERT_EQ (decode (&d, encode (p)), 0);
      EXPECT_EQ (d.message.kind, kind);
      EXPECT_EQ (text (d.message.u.budget.borrower), "10.0.0.1:1");
      ASSERT_EQ (d.message.u.budget.n_via, 2u);
      EXPECT_EQ (text (d.message.u.budget.via[1]), "10.0.0.3:1");
      EXPECT_EQ (d.message.u.budget.service, 0xf000000000000007);
      EXPECT_EQ (d.message.u.budget.sends, 12u);
      EXPECT_EQ (d.message.u.budget.serial, 0x8000000000000009);
      mq_cluster_message_decoded_finish (&d);
    }
}

/* A transfer without retries, with too many, with an empty relay address or
   without a requester must fail to decode.  */
TEST_F (ClusterMessage, RejectsInvalidBudgetTransfers)
{
  mq_cluster_message_decoded d;
  mq_cluster_message p = {};

  p.kind = MQ_CLUSTER_MESSAGE_BUDGET_GRANT;
  p.u.budget.borrower = MQ_SPAN ("10.0.0.1:1");
  EXPECT_EQ (decode (&d, encode (p)), -1);
  p.u.budget.sends = MQ_CLUSTER_MESSAGE_MAX_RETRIES + 1;
  EXPECT_EQ (decode (&d, encode (p)), -1);
  p.u.budget.sends = 1;
  ASSERT_EQ (decode (&d, encode (p)), 0);
  mq_cluster_message_decoded_finish (&d);
  p.u.budget.n_via = 1;
  EXPECT_EQ (decode (&d, encode (p)), -1);
  p.u.budget.n_via = 0;
  p.u.budget.borrower = MQ_SPAN ("");
  EXPECT_EQ (decode (&d, encode (p)), -1);
}

/* A record of request 0 must be left out, and the others kept; gossip with too
   many records must fail to decode.  */
TEST_F (ClusterMessage, RejectsInvalidCrashRecords)
{
  mq_quarantine_record none = { 0, 5, 0 };
  mq_quarantine_record some = { 4, 5, 0 };
  mq_cluster_message_decoded d;

  g_array_set_size (gossip.crashes, 0);
  g_array_append_val (gossip.crashes, some);
  g_array_append_val (gossip.crashes, none);
  g_array_append_val (gossip.crashes, some);
  ASSERT_EQ (decode (&d, encode_gossip ()), 0);
  EXPECT_EQ (d.dropped, 1u);
  ASSERT_EQ (d.message.u.gossip->crashes->len, 2u);
  for (guint i = 0; i < 2; i++)
    EXPECT_EQ (
        g_array_index (d.message.u.gossip->crashes, mq_quarantine_record, i)
            .element,
        some.element);
  mq_cluster_message_decoded_finish (&d);
  g_array_set_size (gossip.crashes, 0);
  for (int i = 0; i < MQ_QUARANTINE_MAX_RECORDS_PER_MESSAGE; i++)
    g_array_append_val (gossip.crashes, some);
  ASSERT_EQ (decode (&d, encode_gossip ()), 0);
  mq_cluster_message_decoded_finish (&d);
  g_array_append_val (gossip.crashes, some);
  EXPECT_EQ (decode (&d, encode_gossip ()), -1);
}
