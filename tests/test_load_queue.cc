/* The order and the number of loads at a start, in virtual time: how long it
   takes until the first failure domain has a whole chain, and until all have
   one, with the loads selected by mq_load_queue and as the plan wants them. */

#include "support/repair_sim.h"

#include <gtest/gtest.h>

#include <cstdio>

using repair::Domain;
using repair::Engine;
using repair::s;

namespace
{

/* A deployment that starts.  */
struct Start
{
  unsigned engines;
  unsigned domains;
  unsigned max_concurrent_loads;
  double per_s;     /* Engines that register each second.  */
  double traffic_s; /* When clients' requests begin.  */
  bool shared;      /* The store's rate is limited before that, too.  */
};

const char *
card_of (unsigned i)
{
  static const char *const cards[]
      = { "t4", "l4", "t4", "t4", "a100s", "t4", "l4", "t4", "t4", "h100" };

  return cards[i % G_N_ELEMENTS (cards)];
}

/* Have the engines of START register with D.  */
void
begin (Domain &d, const Start &start, bool queued)
{
  d.queued = queued;
  d.traffic_us = d.now + (uint64_t)(start.traffic_s * s);
  d.shared_before_traffic = start.shared;
  for (unsigned i = 0; i < start.engines; i++)
    d.schedule (d.now + (uint64_t)(i / start.per_s * s), [&d, &start, i] {
      d.add (card_of (i / start.domains),
             "domain-" + std::to_string (i % start.domains));
    });
}

struct Result
{
  double first_s = -1, all_s = -1; /* From the start; -1: not reached.  */
  unsigned orders, peak;
  double tokens;
};

Result
result_of (const Domain &d, const char *name)
{
  Result r;
  bool all = true;

  for (const auto &c : d.first_chain_us)
    {
      double at = c.second > 0 ? (double)(c.second - s) / s : -1;

      all = all && at >= 0;
      if (at >= 0 && (r.first_s < 0 || at < r.first_s))
        r.first_s = at;
      r.all_s = all ? std::max (r.all_s, at) : -1;
    }
  r.orders = d.orders;
  r.peak = d.peak_open;
  r.tokens = d.mean_tokens ();
  printf ("%s: first chain %.1f s, all %.1f s, %u orders, %u loads at a time, "
          "mean tokens %.0f, chainless %.1f s\n",
          name, r.first_s, r.all_s, r.orders, r.peak, d.mean_tokens (),
          (double)d.chainless_us / s);
  return r;
}

/* Every twentieth engine neither carries out orders nor reports any more.  */
void
silence_some (Domain &d)
{
  for (size_t i = 0; i < d.engines.size (); i += 20)
    d.engines[i].silent = true;
}

Result
play (const char *name, const Start &start, bool queued, double run_s)
{
  Domain d (start.max_concurrent_loads);

  begin (d, start, queued);
  d.run ((uint64_t)(run_s * s));
  return result_of (d, name);
}

/* The loads of one selection.  */
class LoadQueue : public ::testing::Test
{
protected:
  LoadQueue ()
  {
    g_array_index (service.routing->services, mq_route_service, 0)
        .model.max_concurrent_loads
        = 2;
    mq_load_queue_init (&queue);
    orders = g_array_new (FALSE, FALSE, sizeof (mq_layer_order));
  }

  ~LoadQueue () override
  {
    mq_load_queue_finish (&queue);
    g_array_unref (orders);
  }

  /* Add an engine of DOMAIN that holds layers [FIRST, END).  */
  mq_layer_holder &
  hold (const char *domain, unsigned first, unsigned end)
  {
    mq_layer_holder h = {};

    h.domain = mq_span_from (domain);
    h.first = first;
    h.end = end;
    h.user = GSIZE_TO_POINTER (holders.size () + 1);
    holders.push_back (h);
    return holders.back ();
  }

  /* Have the plan want an empty engine of DOMAIN to load [FIRST, END).  */
  void
  want (const char *domain, unsigned first, unsigned end)
  {
    mq_layer_order o = { &hold (domain, 0, 0), first, end };

    g_array_append_val (orders, o);
  }

  /* Select, and return the layers that are ordered, in order.  */
  std::string
  select (bool traffic)
  {
    std::string text;

    mq_load_queue_select (&queue, service.model (), &holders[0],
                          holders.size (), traffic, now_us, orders);
    for (guint i = 0; i < orders->len; i++)
      {
        const mq_layer_order &o = g_array_index (orders, mq_layer_order, i);

        text += std::string (o.holder->domain.data, o.holder->domain.size)
                + std::to_string (o.first) + "-" + std::to_string (o.end)
                + " ";
      }
    return text;
  }

  chain::Service service;
  mq_load_queue queue;
  /* Orders borrow the holders, so these must not move.  */
  std::vector<mq_layer_holder> holders = [] {
    std::vector<mq_layer_holder> h;

    h.reserve (128);
    return h;
  }();
  GArray *orders;
  uint64_t now_us = s;
};

} // namespace

/* ---- One selection.  */

TEST_F (LoadQueue, ChainClosestToCompletionComesFirst)
{
  want ("a", 0, 40);
  want ("a", 40, 80);
  hold ("b", 0, 40);
  want ("b", 40, 80);
  want ("b", 0, 40);
  EXPECT_EQ (select (true), "b40-80 a0-40 ");
  EXPECT_EQ (queue.counts.waiting, 2u);
  EXPECT_EQ (queue.counts.why, MQ_LOAD_WAIT_SLOTS);
  EXPECT_EQ (queue.counts.chainless, 2u);
}

/* Copies must not take the store's rate while a domain has no chain, also
   where slots are free.  */
TEST_F (LoadQueue, CopiesWaitUntilEachDomainHasChain)
{
  hold ("a", 0, 80);
  for (unsigned l = 0; l < 80; l += 20)
    want ("a", l, l + 20);
  mq_layer_holder &h = hold ("b", 0, 80);
  h.awaited = h.loading = true;
  EXPECT_EQ (select (true), "");
  EXPECT_EQ (queue.counts.why, MQ_LOAD_WAIT_CHAINS);
  h.awaited = h.loading = false;
  EXPECT_EQ (select (true), "a0-20 a20-40 ");
}

/* A domain that makes no progress must not keep the copies of others back for
   good.  */
TEST_F (LoadQueue, StalledDomainHoldsNothingBack)
{
  hold ("a", 0, 80);
  for (unsigned l = 0; l < 80; l += 20)
    want ("a", l, l + 20);
  mq_layer_holder &h = hold ("b", 0, 80);
  h.awaited = h.loading = true;
  EXPECT_EQ (select (true), "");
  now_us += 14 * s;
  EXPECT_EQ (select (true), "");
  now_us += 2 * s;
  EXPECT_EQ (select (true), "a0-20 ");
}

/* What cannot be a chain is a copy.  */
TEST_F (LoadQueue, DomainThatCannotHoldChainComesLast)
{
  want ("a", 0, 40);
  want ("b", 0, 30);
  want ("b", 30, 60);
  want ("b", 60, 80);
  EXPECT_EQ (select (true), "b0-30 b30-60 ");
}

/* A chain in use lost an engine: the repair does not wait for the copies that
   are being loaded.  */
TEST_F (LoadQueue, RepairOfChainInUseExceedsLimit)
{
  hold ("a", 0, 60).used = true;
  for (unsigned l = 0; l < 60; l += 20)
    {
      mq_layer_holder &h = hold ("a", l, l + 20);
      h.awaited = h.loading = true;
    }
  want ("a", 60, 80);
  EXPECT_EQ (select (true), "a60-80 ");
  EXPECT_EQ (queue.counts.open, 4u);
}

/* A domain that lost most of its layers is loaded as at a start: as a repair
   it would slow down the loads of all others.  */
TEST_F (LoadQueue, RebuildOfDomainKeepsLimit)
{
  hold ("a", 0, 20).used = true;
  for (unsigned l = 20; l < 80; l += 20)
    want ("a", l, l + 20);
  EXPECT_EQ (select (true), "a20-40 a40-60 ");
}

TEST_F (LoadQueue, WithoutTrafficChainsAreNotLimited)
{
  for (unsigned copy = 0; copy < 2; copy++)
    for (unsigned l = 0; l < 80; l += 2)
      want ("a", l, l + 2);
  select (false);
  EXPECT_EQ (orders->len, 40u);
  EXPECT_EQ (queue.counts.why, MQ_LOAD_WAIT_CHAINS);
}

/* An engine that never answers queries must not take a slot each time.  */
TEST_F (LoadQueue, EngineToBeQueriedTakesNoSlot)
{
  for (unsigned l = 0; l < 80; l += 20)
    want ("a", l, l + 20);
  holders[0].unknown = true;
  EXPECT_EQ (select (true), "a0-20 a20-40 a40-60 ");
  EXPECT_EQ (queue.counts.sent, 2u);
  EXPECT_EQ (queue.counts.open, 2u);
}

/* A model that names no number of loads is loaded as planned.  */
TEST_F (LoadQueue, SendsAllWithoutLimit)
{
  g_array_index (service.routing->services, mq_route_service, 0)
      .model.max_concurrent_loads
      = 0;
  for (unsigned l = 0; l < 80; l += 2)
    want ("a", l, l + 2);
  select (true);
  EXPECT_EQ (orders->len, 40u);
  EXPECT_EQ (queue.counts.waiting, 0u);
}

/* What waits counts as ordered by the next plan, until an engine joins.  */
TEST_F (LoadQueue, WaitingOrdersAreReserved)
{
  for (unsigned l = 0; l < 80; l += 20)
    want ("a", l, l + 20);
  mq_load_queue_reserve (&queue, &holders[0], holders.size ());
  EXPECT_EQ (select (true), "a0-20 a20-40 ");
  mq_load_queue_reserve (&queue, &holders[0], holders.size ());
  EXPECT_EQ (holders[2].first, 40u);
  EXPECT_TRUE (holders[2].awaited);
  g_array_set_size (orders, 0);
  EXPECT_EQ (select (true), "a40-60 a60-80 ");
  EXPECT_EQ (holders[2].first, 0u);
  EXPECT_FALSE (holders[2].awaited);
  EXPECT_EQ (g_hash_table_size (queue.waiting), 0u);
}

/* An engine that replaced another, with the same record but another card, must
   not get the order of the other, for which it may lack memory.  */
TEST_F (LoadQueue, ReservationEndsWhenAnotherEngineIsThere)
{
  for (unsigned l = 0; l < 80; l += 20)
    want ("a", l, l + 20);
  mq_load_queue_reserve (&queue, &holders[0], holders.size ());
  select (true);
  holders[2].card = service.card_named ("t4");
  mq_load_queue_reserve (&queue, &holders[0], holders.size ());
  EXPECT_FALSE (holders[2].awaited);
  EXPECT_TRUE (holders[3].awaited);
}

TEST_F (LoadQueue, ReservationsEndWhenAnEngineJoins)
{
  for (unsigned l = 0; l < 80; l += 20)
    want ("a", l, l + 20);
  mq_load_queue_reserve (&queue, &holders[0], holders.size ());
  select (true);
  hold ("a", 0, 0);
  mq_load_queue_reserve (&queue, &holders[0], holders.size ());
  EXPECT_FALSE (holders[2].awaited);
  EXPECT_EQ (g_hash_table_size (queue.waiting), 0u);
}

/* While more loads are open than the store serves, each takes longer.  If they
   counted as overdue, other engines would be ordered to load the same.  */
TEST_F (LoadQueue, OpenLoadsAreDelayedInProportion)
{
  for (unsigned l = 0; l < 80; l += 10)
    {
      mq_layer_holder &h = hold ("a", l, l + 10);
      h.awaited = h.loading = true;
    }
  select (true);
  EXPECT_EQ (mq_load_queue_delay_us (&queue, now_us + s / 10), s * 3 / 40);
  EXPECT_EQ (mq_load_queue_delay_us (&queue, now_us + 5 * s), 0u);
}

TEST_F (LoadQueue, WaitForRegistrationsIsBounded)
{
  EXPECT_FALSE (mq_load_queue_may_begin (&queue, false, s, s));
  EXPECT_TRUE (mq_load_queue_may_begin (&queue, true, s, s));
  EXPECT_FALSE (mq_load_queue_may_begin (&queue, false, s, 2 * s));
  EXPECT_TRUE (mq_load_queue_may_begin (&queue, false, s, 5 * s / 2));
  for (uint64_t t = 10 * s; t < 14 * s; t += s)
    EXPECT_FALSE (mq_load_queue_may_begin (&queue, false, t, t));
  EXPECT_TRUE (mq_load_queue_may_begin (&queue, false, 14 * s, 14 * s));
}

/* ---- Replays of starts.  */

/* Deployments of these sizes load all layers before traffic, and must not
   become slower.  The orders of most fit into the limit and are unchanged.  */
TEST (LoadQueueReplay, SmallStartsAreUnchanged)
{
  const Start starts[] = { { 39, 3, 6, 40, 8, true },
                           { 93, 3, 12, 90, 8, true },
                           { 115, 3, 6, 100, 8, true },
                           { 60, 4, 16, 60, 8, true } };

  for (Start start : starts)
    for (bool shared : { true, false })
      {
        start.shared = shared;
        Result before = play ("small, before", start, false, 12);
        Result after = play ("small, after", start, true, 12);

        EXPECT_GT (after.first_s, 0);
        EXPECT_LE (after.first_s, before.first_s) << start.engines;
        EXPECT_LE (after.all_s, before.all_s) << start.engines;
        EXPECT_EQ (after.orders, before.orders) << start.engines;
        if (before.orders <= start.max_concurrent_loads * 10)
          {
            EXPECT_EQ (after.tokens, before.tokens) << start.engines;
          }
      }
}

/* 3,000 engines register for longer than the time before traffic.  No chain
   was complete during a whole day: all layers and copies were ordered at once,
   counted as overdue while they loaded, and were ordered again.  */
TEST (LoadQueueReplay, LargeStartServes)
{
  const Start start = { 3000, 3, 5, 180, 10, true };
  Result before = play ("large, before", start, false, 30);
  Result after = play ("large, after", start, true, 20);

  EXPECT_LT (before.first_s, 0);
  EXPECT_GT (after.all_s, 0);
  EXPECT_LE (after.all_s, 6);
}

/* 3,000 engines register during traffic, and each one may change the plan: no
   chain that serves may be given up for it.  */
TEST (LoadQueueReplay, ChainsOutlastRegistrations)
{
  const Start start = { 3000, 3, 5, 180, 2, true };
  Domain d (start.max_concurrent_loads);

  begin (d, start, true);
  d.run (25 * s);
  Result r = result_of (d, "large, traffic");
  EXPECT_GT (r.all_s, 0);
  EXPECT_LE (r.all_s, 18);
  EXPECT_LE (r.peak, 5u);
  EXPECT_LE (d.chainless_us, 3 * 18 * s);
  /* None has lost its chain.  */
  uint64_t before = d.chainless_us;
  d.run (3 * s);
  EXPECT_EQ (d.chainless_us, before);
}

/* Engines that register while there is traffic already, as after a failure of
   power.  */
TEST (LoadQueueReplay, StartUnderTrafficKeepsLimit)
{
  const Start start = { 600, 3, 5, 600, 0.1, true };
  Result before = play ("traffic, before", start, false, 40);
  Result after = play ("traffic, after", start, true, 40);

  EXPECT_LT (before.first_s, 0);
  EXPECT_GT (after.all_s, 0);
  EXPECT_LE (after.first_s, 10);
  EXPECT_LE (after.all_s, 15);
  EXPECT_LE (after.peak, 5u);
}

/* Engines that accept an order and neither carry it out nor report: their
   layers are ordered elsewhere, and their slots are freed.  */
TEST (LoadQueueReplay, SilentEnginesFreeTheirSlots)
{
  const Start start = { 600, 3, 5, 600, 0.1, true };
  Domain d (start.max_concurrent_loads);

  begin (d, start, true);
  d.schedule (d.now + s, [&d] { silence_some (d); });
  d.run (60 * s);
  Result r = result_of (d, "silent engines");
  EXPECT_GT (r.all_s, 0);
  EXPECT_LE (r.all_s, 20);
}

/* A new leader cannot learn the order count of a silent engine, so that it
   never sends it an order.  Such engines must not keep slots, nor layers.  */
TEST (LoadQueueReplay, SilentEnginesKeepNoSlotsOfNewLeader)
{
  const Start start = { 600, 3, 5, 600, 0.1, true };
  Domain d (start.max_concurrent_loads);

  begin (d, start, true);
  d.schedule (d.now + s, [&d] { silence_some (d); });
  d.schedule (d.now + 5 * s, [&d] { d.change_leader (); });
  d.run (60 * s);
  Result r = result_of (d, "silent engines, new leader");
  EXPECT_GT (r.all_s, 0);
  EXPECT_LE (r.all_s, 20);
}

/* The new leader does not know which layers are being loaded, but it counts
   the loads, and lets them end before it fills the gaps.  */
TEST (LoadQueueReplay, LeaderChangesMidway)
{
  const Start start = { 600, 3, 5, 600, 0.1, true };
  Domain d (start.max_concurrent_loads);

  begin (d, start, true);
  for (unsigned i = 1; i < 3; i++)
    d.schedule (d.now + (3 + 2 * i) * s, [&d] { d.change_leader (); });
  d.run (40 * s);
  Result r = result_of (d, "leader changes");
  EXPECT_GT (r.all_s, 0);
  EXPECT_LE (r.all_s, 14);
  EXPECT_LE (r.peak, 5u);
}
