/* The registry of upstreams, ejection, and the pause after rejections.  */

#include <mq/upstream.h>

#include <gtest/gtest.h>

namespace
{

constexpr uint64_t s = 1000 * 1000;

class Registry : public ::testing::Test
{
protected:
  Registry () { mq_registry_init (&r); }
  ~Registry () override { mq_registry_finish (&r); }

  mq_upstream *
  put (const char *id, const char *address, unsigned first = 0,
       unsigned end = 0, uint64_t now_us = 0, uint64_t born_ms = 0)
  {
    mq_upstream_facts f = {};

    f.id = mq_str_new (mq_span_from (id));
    f.service = mq_str_new (MQ_SPAN ("s"));
    f.address = mq_str_new (mq_span_from (address));
    f.layer_first = first;
    f.layer_end = end;
    f.born_ms = born_ms;
    mq_registry_put (&r, &f, now_us);
    return mq_registry_find (&r, mq_span_from (id));
  }

  mq_registry r;
};

} // namespace

TEST_F (Registry, RestartUnderTheSameIdEndsLimit)
{
  const mq_finding_source peer = { 7, false };
  mq_upstream *u = put ("a", "1:1", 0, 20, s, 1000);

  mq_upstream_apply_limit (u, 4, 2 * s, peer, 0.5);
  put ("a", "1:1", 0, 0, 3 * s, 2000);
  EXPECT_EQ (u->limit.per_s, 0);
  mq_upstream_apply_limit (u, 4, 2 * s, peer, 0.5);
  EXPECT_EQ (u->limit.per_s, 0);
}

TEST_F (Registry, RestartUnderTheSameIdEndsLeaving)
{
  const mq_finding_source peer = { 7, false };
  mq_upstream *u = put ("a", "1:1", 0, 20, s, 1000);

  mq_registry_note_leaving (&r, u, peer);
  EXPECT_FALSE (mq_upstream_is_usable (u, 2 * s));
  /* Its entry may go on to say that it is ready.  */
  put ("a", "1:1", 0, 20, 2 * s, 1000);
  EXPECT_TRUE (mq_upstream_is_draining (u));
  put ("a", "1:1", 0, 0, 3 * s, 2000);
  EXPECT_TRUE (mq_upstream_is_usable (u, 3 * s));
  EXPECT_EQ (u->restarted_us, 3 * s);
}

TEST_F (Registry, RestartUnderTheSameIdEndsRest)
{
  mq_upstream *u = put ("a", "1:1", 0, 20, s, 1000);

  mq_upstream_apply_rest (u, 3 * s, 2 * s);
  /* A shorter rest does not end a longer one.  */
  mq_upstream_apply_rest (u, s, 2 * s);
  EXPECT_TRUE (mq_upstream_is_resting (u, 5 * s - 1));
  EXPECT_FALSE (mq_upstream_is_resting (u, 5 * s));
  put ("a", "1:1", 0, 0, 3 * s, 2000);
  EXPECT_FALSE (mq_upstream_is_resting (u, 3 * s));
}

TEST_F (Registry, KeepsObservationsWhenFactsChange)
{
  mq_upstream *u = put ("a", "1:1");

  u->in_flight = 3;
  EXPECT_EQ (put ("a", "1:1", 0, 8), u);
  EXPECT_EQ (u->in_flight, 3u);
  EXPECT_EQ (u->facts.layer_end, 8u);
  EXPECT_EQ (mq_registry_find_address (&r, MQ_SPAN ("1:1")), u);
}

/* When an engine restarts under its id, its count of orders starts at 0, and
   its layers and failures were those of another run.  Requests in flight still
   refer to the record.  */
TEST_F (Registry, DiscardsObservationsOnRestartUnderTheSameId)
{
  mq_upstream *u = put ("a", "1:1", 0, 20, s, 1000);

  u->in_flight = 2;
  u->orders = 7;
  mq_upstream_reported_down (u, 2 * s, 60 * s);
  EXPECT_EQ (put ("a", "1:1", 0, 0, 3 * s, 2000), u);
  EXPECT_EQ (u->in_flight, 2u);
  EXPECT_EQ (u->orders, 0u);
  EXPECT_TRUE (mq_upstream_is_usable (u, 3 * s));
  EXPECT_EQ (mq_upstream_resident_layers (u, 3 * s), 0u);
}

/* An entry without a start time does not count as a restart.  */
TEST_F (Registry, KeepsObservationsWithoutRestart)
{
  mq_upstream *u = put ("a", "1:1", 0, 20, s, 1000);

  u->orders = 7;
  put ("a", "1:1", 0, 20, 2 * s, 1000);
  put ("a", "1:1", 0, 20, 3 * s);
  EXPECT_EQ (u->orders, 7u);
}

TEST_F (Registry, KeepsReferencedRecordAfterRemoval)
{
  mq_upstream *u = mq_upstream_ref (put ("a", "1:1"));

  mq_registry_remove (&r, MQ_SPAN ("a"));
  EXPECT_EQ (mq_registry_find (&r, MQ_SPAN ("a")), nullptr);
  EXPECT_FALSE (mq_upstream_is_usable (u, 1));
  mq_upstream_unref (u);
}

TEST_F (Registry, RemovesUpstreamsMissingFromScan)
{
  GHashTable *keep = g_hash_table_new (g_str_hash, g_str_equal);

  put ("a", "1:1");
  put ("b", "1:2");
  g_hash_table_add (keep, const_cast<char *> ("b"));
  mq_registry_retain (&r, keep);
  EXPECT_EQ (mq_registry_find (&r, MQ_SPAN ("a")), nullptr);
  EXPECT_NE (mq_registry_find (&r, MQ_SPAN ("b")), nullptr);
  g_hash_table_unref (keep);
}

TEST_F (Registry, EjectsAfterTwoConsecutiveFailures)
{
  mq_upstream *u = put ("a", "1:1");

  mq_upstream_failed (u, 10 * s);
  EXPECT_TRUE (mq_upstream_is_usable (u, 10 * s));
  mq_upstream_failed (u, 10 * s);
  EXPECT_FALSE (mq_upstream_is_usable (u, 10 * s));
  EXPECT_TRUE (mq_upstream_is_usable (u, 12 * s));
}

TEST_F (Registry, LengthensEjectionUntilSuccess)
{
  mq_upstream *u = put ("a", "1:1");

  for (int i = 0; i < 5; i++)
    mq_upstream_failed (u, 10 * s);
  EXPECT_FALSE (mq_upstream_is_usable (u, 13 * s));
  EXPECT_TRUE (mq_upstream_is_usable (u, 14 * s + 1));
  mq_upstream_succeeded (u, 10 * s);
  mq_upstream_failed (u, 15 * s);
  EXPECT_TRUE (mq_upstream_is_usable (u, 15 * s));
}

/* An engine that is short of memory rejects at once, and must not be
   treated as crashed.  */
TEST_F (Registry, PausesButDoesNotEjectAfterRejection)
{
  mq_upstream *u = put ("a", "1:1");

  mq_upstream_rejected (u, 10 * s);
  EXPECT_TRUE (mq_upstream_is_usable (u, 10 * s));
  EXPECT_FALSE (mq_upstream_accepts_work (u, 10 * s));
  EXPECT_TRUE (mq_upstream_accepts_work (u, 10 * s + s / 4));
}

TEST_F (Registry, LengthensPauseOnRepeatedRejections)
{
  mq_upstream *u = put ("a", "1:1");

  mq_upstream_rejected (u, 10 * s);
  mq_upstream_rejected (u, 10 * s); /* The same cause.  */
  EXPECT_TRUE (mq_upstream_accepts_work (u, 10 * s + s / 4));
  mq_upstream_rejected (u, 10 * s + s / 4);
  EXPECT_FALSE (mq_upstream_accepts_work (u, 10 * s + s / 2));
  EXPECT_TRUE (mq_upstream_accepts_work (u, 11 * s));
  for (int i = 11; i < 16; i++)
    mq_upstream_rejected (u, i * s);
  EXPECT_TRUE (mq_upstream_accepts_work (u, 17 * s));
  mq_upstream_rejected (u, 30 * s); /* Another cause.  */
  EXPECT_TRUE (mq_upstream_accepts_work (u, 30 * s + s / 4));
}

/* The success of a stream that was sent before the rejection does not show
   that there is memory for more.  */
TEST_F (Registry, EndsPauseOnlyOnSuccessOfLaterRequest)
{
  mq_upstream *u = put ("a", "1:1");

  mq_upstream_rejected (u, 10 * s);
  mq_upstream_succeeded (u, 9 * s);
  EXPECT_FALSE (mq_upstream_accepts_work (u, 10 * s + 1));
  mq_upstream_succeeded (u, 10 * s + 1);
  EXPECT_TRUE (mq_upstream_accepts_work (u, 10 * s + 1));
}

/* While the store is unreachable, routers are not notified that an engine
   drains.  */
TEST_F (Registry, IsLeavingAfterRejectingAllForASecond)
{
  mq_upstream *u = put ("a", "1:1");
  uint64_t t = 10 * s;

  for (; t < 11 * s; t += s / 10)
    {
      mq_upstream_rejected (u, t);
      EXPECT_FALSE (mq_upstream_is_leaving (u, t));
    }
  for (; t < 12 * s; t += s / 10)
    mq_upstream_rejected (u, t);
  EXPECT_TRUE (mq_upstream_is_leaving (u, t));
  EXPECT_FALSE (mq_upstream_is_leaving (u, t + 10 * s)); /* No sends.  */
  mq_upstream_accepted (u, 9 * s);                       /* Sent before.  */
  EXPECT_TRUE (mq_upstream_is_leaving (u, t));
  mq_upstream_accepted (u, t);
  EXPECT_FALSE (mq_upstream_is_leaving (u, t));
}

TEST_F (Registry, CountsReleasedLayersForAWhile)
{
  mq_upstream *u = put ("a", "1:1", 0, 19, s);

  put ("a", "1:1", 0, 13, 2 * s);
  EXPECT_EQ (mq_upstream_resident_layers (u, 3 * s), 19u);
  EXPECT_EQ (mq_upstream_resident_layers (u, 9 * s), 13u);
  EXPECT_TRUE (mq_registry_set_layers (&r, u, 0, 15, 9 * s));
  EXPECT_FALSE (mq_registry_set_layers (&r, u, 0, 15, 9 * s));
  EXPECT_EQ (mq_upstream_resident_layers (u, 9 * s), 15u);
}

TEST_F (Registry, GroupsReflectEachChange)
{
  auto put_in = [&] (const char *id, const char *domain) {
    mq_upstream_facts f = {};

    f.id = mq_str_new (mq_span_from (id));
    f.service = mq_str_new (MQ_SPAN ("s"));
    f.address = mq_str_new (MQ_SPAN ("1:1"));
    f.domain = mq_str_new (mq_span_from (domain));
    mq_registry_put (&r, &f, 0);
  };

  EXPECT_EQ (mq_registry_groups (&r, MQ_SPAN ("s")), nullptr);
  put_in ("b", "y");
  put_in ("a", "y");
  put_in ("c", "x");
  const GPtrArray *groups = mq_registry_groups (&r, MQ_SPAN ("s"));
  ASSERT_EQ (groups->len, 2u);
  const mq_upstream_group *y
      = mq_registry_group (&r, MQ_SPAN ("s"), MQ_SPAN ("y"));
  ASSERT_EQ (y->upstreams->len, 2u);
  EXPECT_STREQ (
      ((mq_upstream *)g_ptr_array_index (y->upstreams, 0))->facts.id->data,
      "a");
  mq_registry_remove (&r, MQ_SPAN ("a"));
  EXPECT_EQ (
      mq_registry_group (&r, MQ_SPAN ("s"), MQ_SPAN ("y"))->upstreams->len,
      1u);
  EXPECT_EQ (mq_registry_group (&r, MQ_SPAN ("s"), MQ_SPAN ("z")), nullptr);
}

/* Relays repeat a finding until it expires.  Their messages must not restore
   one that a request through the engine refuted.  */
TEST (Upstream, IgnoresRefutedPeerEjection)
{
  const mq_finding_source by = { 7, false };
  mq_upstream u = {};

  u.listed = true;
  mq_upstream_apply_peer_ejection (&u, 4000000, by, 1000000);
  EXPECT_FALSE (mq_upstream_is_usable (&u, 1100000));
  mq_upstream_succeeded (&u, 1100000);
  EXPECT_TRUE (mq_upstream_is_usable (&u, 1200000));
  mq_upstream_apply_peer_ejection (&u, 3800000, by, 1201000);
  EXPECT_TRUE (mq_upstream_is_usable (&u, 1201000));
  /* A new finding counts.  */
  mq_upstream_apply_peer_ejection (&u, 4000000, by, 1500000);
  EXPECT_FALSE (mq_upstream_is_usable (&u, 1500000));
}

/* Routers hear of a limit and of its end in any order.  */
TEST (Upstream, NewestStatementOfLimitHolds)
{
  const mq_finding_source self = { 0, false };
  const mq_finding_source peer = { 7, false };
  mq_upstream u = {};

  mq_upstream_apply_limit (&u, 4, 10 * s, self, 0.5);
  mq_upstream_apply_limit (&u, 0, 9 * s, peer, 0.5);
  EXPECT_EQ (u.limit.per_s, 4);
  EXPECT_EQ (u.limit_source.router, 0u);
  mq_upstream_apply_limit (&u, 0, 11 * s, peer, 0.5);
  EXPECT_EQ (u.limit.per_s, 0);
  EXPECT_TRUE (mq_upstream_limit_is_news (&u.limit, 12 * s));
  mq_upstream_apply_limit (&u, 4, 10 * s, peer, 0.5);
  EXPECT_EQ (u.limit.per_s, 0);
  EXPECT_FALSE (mq_upstream_limit_is_news (&u.limit, 60 * s));
}

/* A leader that requests the reports of all engines would otherwise have each
   relay tell all routers of its domain that thousands of engines are sound. */
TEST (Upstream, ReportOfASoundEngineIsNoNews)
{
  mq_upstream u = {};

  EXPECT_FALSE (mq_upstream_slowdown_is_news (&u, 1000000));
  mq_upstream_set_slowdown (&u, 1, 1000000);
  EXPECT_FALSE (mq_upstream_slowdown_is_news (&u, 1500000));
  mq_upstream_set_slowdown (&u, 4, 2000000);
  EXPECT_TRUE (mq_upstream_slowdown_is_news (&u, 2500000));
  EXPECT_FALSE (mq_upstream_slowdown_is_news (&u, 9000000));
}

/* A slowdown that is propagated must not outlive the original report.  */
TEST (Upstream, PeerSlowdownDoesNotOutliveItsReport)
{
  const mq_finding_source by = { 7, false };
  mq_upstream u = {};

  mq_upstream_apply_peer_slowdown (&u, 4, 500000, by, 1000000);
  EXPECT_EQ (mq_upstream_slowdown (&u, 1400000), 4);
  EXPECT_EQ (mq_upstream_slowdown (&u, 1600000), 1);
}

/* Failed connections of a router that turns out to be isolated say nothing
   against an upstream; what a peer reported holds on.  */
TEST_F (Registry, RetractedFailuresEndEjection)
{
  const mq_finding_source peer = { 7, false };
  mq_upstream *u = put ("a", "1:1");

  mq_upstream_unreachable (u, 1 * s);
  mq_upstream_unreachable (u, 2 * s);
  EXPECT_FALSE (mq_upstream_is_usable (u, 2 * s));
  EXPECT_EQ (u->unreachable_us, 2 * s);
  mq_upstream_retract_failures (u);
  EXPECT_TRUE (mq_upstream_is_usable (u, 2 * s));
  EXPECT_EQ (u->reported_down_until_us, 0u);
  mq_upstream_apply_peer_ejection (u, 4 * s, peer, 3 * s);
  mq_upstream_unreachable (u, 3 * s);
  mq_upstream_retract_failures (u);
  EXPECT_FALSE (mq_upstream_is_usable (u, 4 * s));
  EXPECT_TRUE (mq_upstream_is_usable (u, 7 * s));
}

/* What another engine reported needs no check of this router's links.  */
TEST_F (Registry, ReportOfAnotherEngineNeedsNoConfirmation)
{
  mq_upstream *u = put ("a", "1:1");

  mq_upstream_unreachable (u, 1 * s);
  mq_upstream_unreachable (u, 1 * s);
  EXPECT_EQ (u->unreachable_us, 1 * s);
  mq_upstream_reported_down (u, 1 * s, 4 * s);
  EXPECT_EQ (u->unreachable_us, 0u);
}
