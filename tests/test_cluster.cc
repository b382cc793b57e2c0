/* Choice of relays, propagation of counts and the traffic that these cost, for
   fleets of several sizes in virtual time.  */

#include "support/cluster_sim.h"

#include <set>

using cluster::ms;
using cluster::Router;
using cluster::second;
using cluster::Simulation;

namespace
{

/* Sizes of the fleets under test.  */
struct Size
{
  unsigned routers, domains;
};

const Size sizes[] = { { 7, 3 }, { 30, 3 }, { 90, 4 }, { 295, 5 } };

/* Give TOKENS in flight to each router that any router sends clients to.
   Returns how many these are.  */
unsigned
load_serving (Simulation &sim, unsigned tokens)
{
  std::set<std::string> serving;
  unsigned n = 0;

  for (auto &r : sim.routers)
    for (const std::string &s : sim.serving (*r))
      serving.insert (s);
  for (auto &r : sim.routers)
    if (serving.count (r->client))
      {
        r->tokens = tokens;
        n++;
      }
  return n;
}

/* Returns a router that is not a relay, or null.  */
Router *
find_idle (Simulation &sim)
{
  for (auto &r : sim.routers)
    if (!r->cluster.relays)
      return r.get ();
  return nullptr;
}

/* Returns the traffic per second of a fleet in a steady state under load.  */
cluster::Traffic
steady_traffic (unsigned routers, unsigned domains)
{
  Simulation sim (routers, domains);

  sim.start_all ();
  sim.run (5 * second);
  load_serving (sim, 1000);
  sim.run (3 * second);
  sim.traffic = {};
  sim.run (4 * second);
  sim.traffic.messages /= 4;
  sim.traffic.bytes /= 4;
  sim.traffic.remote_bytes /= 4;
  return sim.traffic;
}

/* Who led while a fleet started.  */
struct Leads
{
  std::set<const Router *> routers;
  unsigned peak = 0;          /* Leaders at one time.  */
  uint64_t shared_us = 0;     /* Time with more than one.  */
  uint64_t first_us = 0;      /* Until the first one.  */
  uint64_t leaderless_us = 0; /* Time without one after that.  */
};

/* Run SIM for US, calling STEP at each step, and note the leaders.  */
Leads
watch_leads (Simulation &sim, uint64_t us, const std::function<void ()> &step)
{
  const uint64_t began = sim.now;
  Leads l;

  while (sim.now < began + us)
    {
      unsigned n = 0;

      step ();
      sim.run (5 * ms);
      for (auto &r : sim.routers)
        if (r->up
            && mq_cluster_is_leader (&r->cluster, r->reaches_store, sim.now))
          {
            l.routers.insert (r.get ());
            n++;
          }
      l.peak = std::max (l.peak, n);
      if (n > 1)
        l.shared_us += 5 * ms;
      if (n > 0 && l.first_us == 0)
        l.first_us = sim.now - began;
      if (n == 0 && l.first_us > 0)
        l.leaderless_us += 5 * ms;
    }
  return l;
}

/* Start the routers of SIM that are down within SPREAD_US.  */
void
start_in_turn (Simulation &sim, uint64_t began, uint64_t spread_us)
{
  for (size_t i = 0; i < sim.routers.size (); i++)
    {
      /* Not in the order of ranks.  */
      uint64_t at
          = (i * 7919 % sim.routers.size ()) * spread_us / sim.routers.size ();

      if (!sim.routers[i]->up && sim.now >= began + at)
        sim.start (*sim.routers[i]);
    }
}

const Size start_sizes[] = { { 7, 3 }, { 32, 3 }, { 90, 4 }, { 300, 5 } };

} // namespace

/* Five routers of deployment B took the lead within 80 ms when all started,
   and sent the same orders.  */
TEST (Cluster, OneRouterLeadsWhenAllRoutersStartTogether)
{
  for (const Size &s : start_sizes)
    {
      Simulation sim (s.routers, s.domains);
      uint64_t began = sim.now;
      Leads l = watch_leads (sim, 6 * second,
                             [&] { start_in_turn (sim, began, 400 * ms); });

      printf ("%u routers start: %zu led, %u at a time, %.3f s shared, first "
              "after %.2f s\n",
              s.routers, l.routers.size (), l.peak,
              (double)l.shared_us / second, (double)l.first_us / second);
      EXPECT_EQ (l.peak, 1u) << s.routers;
      EXPECT_LE (l.first_us, 4 * second) << s.routers;
      EXPECT_EQ (sim.leaders (), 1u);
    }
}

/* As on deployment B: all routers restart while the store is down, and read a
   member list that names the relays of before a second later.  */
TEST (Cluster, OneRouterLeadsAfterPowerFailure)
{
  for (const Size &s : start_sizes)
    {
      Simulation sim (s.routers, s.domains);
      std::vector<std::string> list;
      std::set<const Router *> listed;
      uint64_t began;
      Leads l;

      sim.start_all ();
      sim.run (5 * second);
      for (Router *r : sim.relays ())
        list.push_back (r->peer);
      for (auto &r : sim.routers)
        sim.stop (*r);
      sim.run (2 * second);
      began = sim.now;
      l = watch_leads (sim, 6 * second, [&] {
        start_in_turn (sim, began, 400 * ms);
        if (sim.now < began + second)
          return;
        sim.member_list = list;
        for (auto &r : sim.routers)
          if (sim.now >= r->started_us + 1050 * ms
              && listed.insert (r.get ()).second)
            sim.read_member_list (*r);
      });
      printf (
          "%u routers restart: %zu led, %u at a time, %.3f s shared, first "
          "after %.2f s\n",
          s.routers, l.routers.size (), l.peak, (double)l.shared_us / second,
          (double)l.first_us / second);
      EXPECT_EQ (l.peak, 1u) << s.routers;
      EXPECT_LE (l.first_us, 4 * second) << s.routers;
      EXPECT_EQ (sim.leaders (), 1u);
    }
}

/* The wait at a start must not delay the successor of a leader that fails.  */
TEST (Cluster, LeadPassesOnWithoutDelayInSettledFleet)
{
  for (const Size &s : start_sizes)
    {
      Simulation sim (s.routers, s.domains);
      Leads l;

      sim.start_all ();
      sim.run (6 * second);
      for (auto &r : sim.routers)
        if (mq_cluster_is_leader (&r->cluster, true, sim.now))
          {
            sim.stop (*r);
            break;
          }
      l = watch_leads (sim, 4 * second, [] {});
      printf ("%u routers, leader fails: next after %.2f s, %u at a time\n",
              s.routers, (double)l.first_us / second, l.peak);
      EXPECT_LE (l.first_us, 1100 * ms + 2 * cluster::heartbeat) << s.routers;
      EXPECT_EQ (l.peak, 1u);
    }
}

TEST (Cluster, RelaysAreFoundWhenAllRoutersStartTogether)
{
  for (const Size &s : sizes)
    {
      Simulation sim (s.routers, s.domains);

      sim.start_all ();
      sim.run (4 * second);
      for (unsigned d = 0; d < s.domains; d++)
        {
          std::string domain = "domain-" + std::to_string (d);
          unsigned members = 0;

          for (auto &r : sim.routers)
            members += r->domain == domain;
          EXPECT_EQ (sim.relays (domain).size (), std::min (members, 3u))
              << s.routers << " routers, " << domain;
        }
      for (auto &r : sim.routers)
        {
          EXPECT_TRUE (r->cluster.relays
                       || mq_cluster_has_live_relay (&r->cluster, sim.now))
              << r->name;
        }
      EXPECT_EQ (sim.leaders (), 1u) << s.routers;
    }
}

/* When the seeds are unreachable and the member list is empty, each router
   stays alone.  Routers that restart after the list was written find the
   others.  */
TEST (Cluster, MemberListConnectsRoutersWithoutSeeds)
{
  Simulation sim (30, 3);

  sim.seeds = { "10.9.9.9:1" };
  sim.start_all ();
  sim.run (3 * second);
  for (auto &r : sim.routers)
    sim.member_list.push_back (r->peer);
  for (auto &r : sim.routers)
    {
      sim.stop (*r);
      sim.start (*r);
    }
  sim.run (6 * second);
  EXPECT_EQ (sim.relays ().size (), 9u);
  EXPECT_EQ (sim.leaders (), 1u);
}

/* Seeds that all routers of a large fleet connect to at once accept some of
   them late.  Each of these would take itself for the first of its domain,
   write to the store and follow it.  */
TEST (Cluster, RoutersThatSeedsAcceptLateBecomeNoRelays)
{
  Simulation sim (295, 5);
  std::set<Router *> late;

  for (size_t i = 3; i < sim.routers.size (); i += 3)
    late.insert (sim.routers[i].get ());
  sim.link = [&] (const Router &from, const Router &to) {
    bool seed = std::count (sim.seeds.begin (), sim.seeds.end (), to.peer) > 0;

    return !seed || sim.now > 3 * second
           || late.count (const_cast<Router *> (&from)) == 0;
  };
  sim.start_all ();
  sim.run (6 * second);
  EXPECT_EQ (sim.relays ().size (), 15u);
  EXPECT_LE (sim.registered.size (), 2u * 15);
}

/* Without seeds and before any relay is registered, only the first routers to
   look each other up become relays.  */
TEST (Cluster, FewRoutersBecomeRelaysWhenNoSeedAnswers)
{
  Simulation sim (295, 5);

  sim.seeds = { "10.9.9.9:1" };
  sim.start_all ();
  sim.run (8 * second);
  EXPECT_EQ (sim.relays ().size (), 15u);
  EXPECT_LT (sim.registered.size (), sim.routers.size () / 3);
}

/* A list that may lack the entries of the last seconds, as a slow store
   returns one that was asked for at the start, does not show that the domain
   has no relay.  */
TEST (Cluster, LoneRouterNeedsTheCurrentListToBecomeRelay)
{
  Simulation sim (3, 3);
  Router &lone = *sim.routers[0];

  sim.start (lone);
  mq_cluster &c = lone.cluster;
  uint64_t late = sim.now + 4 * second;
  mq_cluster_note_member_list (&c, false, false, late);
  EXPECT_FALSE (mq_cluster_tick (&c, late));
  EXPECT_TRUE (mq_cluster_needs_member_list (&c, late));
  mq_cluster_note_member_list (&c, true, false, late);
  EXPECT_FALSE (mq_cluster_needs_member_list (&c, late));
  EXPECT_TRUE (mq_cluster_tick (&c, late));
  EXPECT_TRUE (c.relays);
}

/* A seed introduces each router of a fleet that starts to the others.  If it
   ranked all of them each time, it would be busy for longer than they wait. */
TEST (Cluster, SeedRanksRoutersOnceForAllThatStart)
{
  Simulation sim (986, 5);
  Router &seed = *sim.routers[0];

  sim.start (seed);
  for (auto &r : sim.routers)
    sim.name (seed, *r);
  for (auto &r : sim.routers)
    {
      mq_cluster_member *m
          = mq_cluster_find (&seed.cluster, cluster::span (r->peer));
      mq_gossip gossip;

      if (m == nullptr)
        continue;
      mq_gossip_init (&gossip, MQ_GOSSIP_INTRODUCTION);
      mq_cluster_make_introduction (&seed.cluster, m, &gossip, sim.now);
      mq_gossip_finish (&gossip);
    }
  EXPECT_EQ (seed.cluster.ranked, 5u);
}

TEST (Cluster, CountsReachAllRouters)
{
  for (const Size &s : sizes)
    {
      Simulation sim (s.routers, s.domains);

      sim.start_all ();
      sim.run (5 * second);
      unsigned n = load_serving (sim, 1000);
      sim.run (2 * second);
      for (auto &r : sim.routers)
        EXPECT_EQ (mq_cluster_other_tokens (&r->cluster, 1, sim.now)
                       + r->tokens,
                   1000. * n)
            << r->name << " of " << s.routers;
    }
}

TEST (Cluster, CountsReachAllRoutersWithinHalfASecond)
{
  for (const Size &s : sizes)
    {
      Simulation sim (s.routers, s.domains);

      sim.start_all ();
      sim.run (5 * second);
      load_serving (sim, 1000);
      sim.run (2 * second);
      Router &changed = *sim.relays ("domain-0")[0];
      double before = mq_cluster_other_tokens (&sim.routers.back ()->cluster,
                                               1, sim.now);
      changed.tokens += 777;
      sim.run (second / 2);
      for (auto &r : sim.routers)
        if (r->tokens > 0 && r.get () != &changed)
          {
            EXPECT_EQ (mq_cluster_other_tokens (&r->cluster, 1, sim.now)
                           + r->tokens,
                       before + sim.routers.back ()->tokens + 777)
                << r->name << " of " << s.routers;
          }
    }
}

/* Guards against gossip from each router to each other one.  */
TEST (Cluster, TrafficGrowsAtMostLinearlyWithFleetSize)
{
  cluster::Traffic hundred = steady_traffic (100, 5);
  cluster::Traffic three_hundred = steady_traffic (300, 5);
  cluster::Traffic thousand = steady_traffic (1000, 5);

  EXPECT_LE (three_hundred.messages, 3 * hundred.messages);
  EXPECT_LE (three_hundred.bytes, 3 * hundred.bytes);
  EXPECT_LE (thousand.messages, 10 * hundred.messages);
  /* Traffic between domains depends on the number of domains alone.  */
  EXPECT_LE (three_hundred.remote_bytes, hundred.remote_bytes * 1.1);
  EXPECT_LE (three_hundred.messages, 19000u / 4);
}

/* The budget for control traffic is 8 KiB/s per router.  */
TEST (Cluster, TrafficPerRouterIsWithinBudgetAtDesignSize)
{
  cluster::Traffic t = steady_traffic (330, 34);

  EXPECT_LE (t.bytes / 330, 8 * 1024u);
}

TEST (Cluster, NextInRankReplaceCrashedRelays)
{
  Simulation sim (90, 4);

  sim.start_all ();
  sim.run (5 * second);
  for (Router *r : sim.relays ("domain-1"))
    sim.stop (*r);
  sim.run (4 * second);
  EXPECT_EQ (sim.relays ("domain-1").size (), 3u);
  EXPECT_EQ (sim.leaders (), 1u);
  for (auto &r : sim.routers)
    if (r->up && r->domain == "domain-1")
      {
        EXPECT_TRUE (r->cluster.relays
                     || mq_cluster_has_live_relay (&r->cluster, sim.now))
            << r->name;
      }
}

/* When all routers that digests name crash at once, the rest finds others by
   the seeds.  */
TEST (Cluster, DomainFindsRelaysAfterAllCandidatesCrash)
{
  Simulation sim (90, 3);

  sim.start_all ();
  sim.run (5 * second);
  unsigned stopped = 0;
  for (auto &r : sim.routers)
    if (r->domain == "domain-2" && stopped < 12)
      {
        sim.stop (*r);
        stopped++;
      }
  sim.run (12 * second);
  EXPECT_EQ (sim.relays ("domain-2").size (), 3u);
  EXPECT_EQ (sim.leaders (), 1u);
}

TEST (Cluster, LeaderAndCountsAreCorrectAfterADomainCrashes)
{
  Simulation sim (90, 4);

  sim.start_all ();
  sim.run (5 * second);
  load_serving (sim, 1000);
  sim.run (second);
  for (auto &r : sim.routers)
    if (r->domain == "domain-0")
      {
        sim.stop (*r);
        r->tokens = 0;
      }
  sim.run (3 * second);
  EXPECT_EQ (sim.leaders (), 1u);
  double sum = 0;
  for (auto &r : sim.routers)
    sum += r->tokens;
  for (auto &r : sim.routers)
    if (r->up)
      {
        EXPECT_EQ (mq_cluster_other_tokens (&r->cluster, 1, sim.now)
                       + r->tokens,
                   sum);
      }
}

/* Routers that the member list names as relays do not wait before they become
   relays again.  */
TEST (Cluster, RestartedFleetFindsRelaysFromMemberList)
{
  Simulation sim (295, 5);

  sim.start_all ();
  sim.run (5 * second);
  for (Router *r : sim.relays ())
    sim.member_list.push_back (r->peer);
  for (auto &r : sim.routers)
    sim.stop (*r);
  sim.run (second);
  sim.start_all ();
  sim.run (second);
  EXPECT_EQ (sim.relays ().size (), 15u);
  EXPECT_EQ (sim.leaders (), 1u);
  for (auto &r : sim.routers)
    EXPECT_TRUE (r->cluster.relays
                 || mq_cluster_has_live_relay (&r->cluster, sim.now))
        << r->name;
}

/* Small routers are thus spared all gossip but their own reports and digests.
 */
TEST (Cluster, RelaysAreLargestRouters)
{
  Simulation sim (295, 5);

  sim.start_all ();
  sim.run (5 * second);
  for (Router *r : sim.relays ())
    EXPECT_EQ (r->capacity, 500u) << r->name;
}

TEST (Cluster, DrainingRouterIsNeitherRelayNorServing)
{
  Simulation sim (30, 3);

  sim.start_all ();
  sim.run (5 * second);
  Router &draining = *sim.relays ("domain-0")[0];
  draining.cluster.self.draining = true;
  mq_cluster_member *seen = nullptr;
  for (auto &r : sim.routers)
    if (r.get () != &draining
        && (seen
            = mq_cluster_find (&r->cluster, cluster::span (draining.peer))))
      seen->draining = true;
  EXPECT_TRUE (mq_cluster_tick (&draining.cluster, sim.now));
  EXPECT_FALSE (draining.cluster.relays);
  for (auto &r : sim.routers)
    if (r->domain == "domain-0" && r->cluster.relays)
      {
        for (const std::string &s : sim.serving (*r))
          EXPECT_NE (s, draining.client);
      }
}

/* A leader that loses its links to all others and to the store must not stay
   leader while the others reach the store.  */
/* A relay that drained and started again must receive the reports of all
   routers of its domain; otherwise it propagates nothing to them.  */
TEST (Cluster, RelayThatRestartedAfterDrainHearsItsDomain)
{
  Simulation sim (24, 2);

  sim.start_all ();
  sim.run (10 * second);
  Router &relay = *sim.relays ("domain-0").front ();
  relay.draining = true;
  sim.run (second);
  sim.stop (relay);
  sim.run (2 * second);
  relay.draining = false;
  sim.start (relay);
  sim.run (10 * second);
  EXPECT_TRUE (relay.cluster.relays);
  for (auto &r : sim.routers)
    {
      mq_cluster_member *m
          = mq_cluster_find (&relay.cluster, cluster::span (r->peer));

      if (r.get () == &relay || r->domain != relay.domain)
        continue;
      EXPECT_TRUE (m != nullptr && mq_cluster_member_is_alive (m, sim.now))
          << r->name;
    }
}

TEST (Cluster, PartitionedRouterWithoutStoreDoesNotLead)
{
  Simulation sim (30, 3);

  sim.start_all ();
  sim.run (5 * second);
  Router *partitioned = nullptr;
  for (auto &r : sim.routers)
    if (mq_cluster_is_leader (&r->cluster, true, sim.now))
      partitioned = r.get ();
  ASSERT_NE (partitioned, nullptr);
  partitioned->reaches_store = false;
  sim.link = [=] (const Router &a, const Router &b) {
    return &a != partitioned && &b != partitioned;
  };
  sim.run (3 * second);
  EXPECT_EQ (sim.leaders (), 1u);
  EXPECT_FALSE (mq_cluster_is_leader (&partitioned->cluster, false, sim.now));
}

TEST (Cluster, OneRouterLeadsWhenStoreIsUnavailable)
{
  Simulation sim (90, 4);

  sim.start_all ();
  sim.run (5 * second);
  for (auto &r : sim.routers)
    r->reaches_store = false;
  sim.run (3 * second);
  EXPECT_EQ (sim.leaders (), 1u);
}

/* A process that was suspended received nothing, which must not make the
   others time out.  */
TEST (Cluster, SuspendedProcessKeepsMembersAlive)
{
  Simulation sim (30, 3);

  sim.start_all ();
  sim.run (5 * second);
  Router *idle = find_idle (sim);
  ASSERT_NE (idle, nullptr);
  uint64_t resumed_us = sim.now + 20 * second;
  mq_cluster_note_pause (&idle->cluster, 20 * second, resumed_us);
  EXPECT_FALSE (mq_cluster_tick (&idle->cluster, resumed_us));
  EXPECT_TRUE (mq_cluster_has_live_relay (&idle->cluster, resumed_us));
}

/* A message that is read after a pause, before the pause is noticed, would
   count as received in the future, and its sender as silent.  */
TEST (Cluster, MessageReadBeforePauseIsNoticedKeepsSenderAlive)
{
  Simulation sim (30, 3);

  sim.start_all ();
  sim.run (5 * second);
  Router *idle = find_idle (sim);
  ASSERT_NE (idle, nullptr);
  Router *relay = sim.relays (idle->domain).front ();
  mq_cluster_member *member
      = mq_cluster_find (&idle->cluster, cluster::span (relay->peer));
  sim.now += 3 * second;
  member->received_us = sim.now;
  mq_cluster_note_pause (&idle->cluster, 3 * second, sim.now + 10 * ms);
  EXPECT_TRUE (mq_cluster_member_is_alive (member, sim.now + 10 * ms));
}

TEST (Cluster, DelayedGossipIsIgnored)
{
  Simulation sim (7, 3);

  sim.start_all ();
  sim.run (4 * second);
  Router &a = *sim.routers[0], &b = *sim.routers[3];
  mq_gossip gossip;
  mq_cluster_member *from = nullptr;
  bool misdirected = false;

  mq_gossip_init (&gossip, MQ_GOSSIP_REPORT);
  mq_cluster_make_report (&a.cluster, &gossip, sim.now);
  gossip.sequence = 1;
  EXPECT_EQ (
      mq_cluster_receive (&b.cluster, &gossip, &from, &misdirected, sim.now),
      MQ_GOSSIP_STALE);
  EXPECT_EQ (from, nullptr);
  mq_gossip_finish (&gossip);
}

TEST (Cluster, SendsOfReplacedProcessStillCount)
{
  Simulation sim (7, 3);

  sim.start_all ();
  sim.run (4 * second);
  sim.routers[3]->tokens = 1000;
  sim.run (second);
  sim.stop (*sim.routers[3]);
  sim.routers[3]->tokens = 0;
  sim.start (*sim.routers[3]);
  sim.run (second);
  mq_send_counts c
      = mq_cluster_other_sends (&sim.routers[0]->cluster, 1, sim.now);
  EXPECT_EQ (c.requests, 10u);
}

TEST (Cluster, BusyCountIncludesRoutersWithRequests)
{
  Simulation sim (295, 5);

  sim.start_all ();
  sim.run (5 * second);
  EXPECT_EQ (mq_cluster_count_busy (&sim.routers[0]->cluster, sim.now), 1u);
  unsigned n = load_serving (sim, 1000);
  sim.run (second);
  for (auto &r : sim.routers)
    {
      EXPECT_GE (mq_cluster_count_busy (&r->cluster, sim.now), n);
      EXPECT_LE (mq_cluster_count_busy (&r->cluster, sim.now), n + 1);
    }
}

/* The set is minimal without load and grows within a second.  */
TEST (Cluster, ServingSetGrowsWithDemand)
{
  Simulation sim (295, 5);

  sim.start_all ();
  sim.run (5 * second);
  EXPECT_EQ (sim.serving (*sim.routers[294]).size (), 6u);
  for (Router *r : sim.relays ("domain-4"))
    {
      r->tokens = 1000;
      r->used = 450;
    }
  sim.run (second);
  size_t grown = sim.serving (*sim.routers[294]).size ();
  EXPECT_GT (grown, 6u);
  /* The demand is at most three tenths of the capacity of the set.  */
  EXPECT_GE (3 * 500 + (grown - 3) * 120, 1350 / 0.3);
}
