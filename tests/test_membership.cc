/* Membership in virtual time: joining, leaving, death, pauses, restarts,
   partitions, and heartbeat intervals against the byte budget.  */

#include "fleet_sim.h"

#include <gtest/gtest.h>

using namespace fleet_sim;

namespace
{

/* Starts N routers and runs until they are live to one another.  */
void
settle (Sim &sim, int n, const char *region = "r1")
{
  for (int i = 0; i < n; i++)
    sim.add (region);
  sim.deliver_list ();
  sim.run (20 * S);
}

void
expect_all_live (Sim &sim, int n)
{
  for (int i = 0; i < n; i++)
    for (int k = 0; k < n; k++)
      {
        if (i == k)
          continue;
        EXPECT_EQ (sim.state (i, k), MQ_MEMBER_LIVE) << i << " sees " << k;
      }
}

/* Returns the time until no router but VM itself lists VM; at most LIMIT.  */
uint64_t
time_until_unlisted (Sim &sim, int vm, uint64_t limit)
{
  uint64_t since = sim.now;

  while (sim.now - since < limit)
    {
      bool listed = false;

      for (size_t i = 0; i < sim.nodes.size (); i++)
        listed
            |= (int)i != vm && sim.nodes[i].running && sim.lists ((int)i, vm);
      if (!listed)
        return sim.now - since;
      sim.run (50 * MS);
    }
  return limit;
}

/* Returns the bytes a second that node I sends in steady state.  */
double
bytes_per_s (Sim &sim, int i)
{
  uint64_t before = sim.nodes[i].sent;

  sim.run (120 * S);
  return (double)(sim.nodes[i].sent - before) * MQ_HEARTBEAT_WIRE_BYTES / 120;
}

} // namespace

TEST (Membership, RoutersOfTheListBecomeLive)
{
  Sim sim;

  settle (sim, 7);
  expect_all_live (sim, 7);
  EXPECT_EQ (mq_fleet_live_count (sim.nodes[0].fleet), 7u);
}

TEST (Membership, ListedMemberWithoutHeartbeatIsNotLive)
{
  Sim sim;

  settle (sim, 3);
  sim.list["vm-ghost"] = false;
  sim.deliver_list ();
  sim.run (10 * S);
  EXPECT_EQ (mq_fleet_find (sim.nodes[0].fleet, MQ_SPAN ("vm-ghost"))->state,
             MQ_MEMBER_LISTED);
  EXPECT_EQ (mq_fleet_live_count (sim.nodes[0].fleet), 3u);
}

TEST (Membership, LeavingRouterIsUnlistedWithinTwoSeconds)
{
  for (int n : { 7, 33 })
    {
      Sim sim;

      settle (sim, n);
      sim.leave (2);
      EXPECT_LE (time_until_unlisted (sim, 2, 10 * S), 2 * S) << n;
      EXPECT_EQ (sim.state (0, 2), MQ_MEMBER_LIVE);
    }
}

TEST (Membership, LeavingIsPropagatedWhenADirectMessageIsLost)
{
  Sim sim;

  settle (sim, 7);
  sim.link_is_up = [] (int from, int to) { return !(from == 2 && to == 0); };
  sim.leave (2);
  EXPECT_LE (time_until_unlisted (sim, 2, 10 * S), 2 * S);
}

TEST (Membership, PlatformListRequestsLeave)
{
  Sim sim;

  settle (sim, 3);
  sim.list["vm-001"] = true;
  sim.deliver_list ();
  EXPECT_TRUE (sim.nodes[1].leave_requested);
  EXPECT_FALSE (sim.lists (0, 1));
}

TEST (Membership, DeadRouterIsUnlistedWithinThreeSeconds)
{
  for (int n : { 7, 33, 60 })
    {
      Sim sim;

      settle (sim, n);
      sim.kill (3);
      EXPECT_LE (time_until_unlisted (sim, 3, 30 * S), 3 * S) << n;
      sim.run (3 * S);
      EXPECT_EQ (sim.state (0, 3), MQ_MEMBER_DEAD) << n;
      EXPECT_EQ (sim.nodes[0].ended.size (), 1u) << n;
    }
}

TEST (Membership, OneBrokenLinkDoesNotMakeAMemberDeadForOthers)
{
  Sim sim;

  settle (sim, 7);
  sim.link_is_up = [] (int from, int to) { return !(from == 3 && to == 0); };
  sim.run (30 * S);
  EXPECT_EQ (sim.state (0, 3), MQ_MEMBER_DEAD);
  for (int i : { 1, 2, 4, 5, 6 })
    EXPECT_EQ (sim.state (i, 3), MQ_MEMBER_LIVE) << i;
  /* Nor did the others change its state temporarily.  */
  for (const Change &c : sim.changes)
    EXPECT_FALSE (c.vm == "vm-003" && c.node != 0 && c.to != MQ_MEMBER_LIVE)
        << c.node << ": " << c.why;
}

TEST (Membership, RestartEndsTheFormerIncarnation)
{
  Sim sim;
  uint64_t old;

  settle (sim, 7);
  old = sim.nodes[4].incarnation;
  sim.run (100 * MS);
  sim.start (4);
  sim.deliver_list (4);
  sim.run (5 * S);
  expect_all_live (sim, 7);
  for (int i : { 0, 1, 2, 3, 5, 6 })
    {
      ASSERT_EQ (sim.nodes[i].ended.size (), 1u) << i;
      EXPECT_EQ (sim.nodes[i].ended[0], old);
    }
}

TEST (Membership, LeavingEndsWithTheIncarnation)
{
  Sim sim;

  settle (sim, 3);
  sim.leave (1);
  sim.run (2 * S);
  sim.kill (1);
  sim.run (1 * S);
  sim.start (1);
  sim.deliver_list (1);
  sim.run (5 * S);
  EXPECT_TRUE (sim.lists (0, 1));
}

TEST (Membership, DropsHeartbeatOfAnOlderIncarnation)
{
  Sim sim;
  mq_fleet_event e = {};
  GArray *actions = mq_fleet_actions_new ();
  uint64_t dropped;

  settle (sim, 2);
  dropped = mq_fleet_dropped (sim.nodes[0].fleet);
  e.kind = MQ_FLEET_HEARTBEAT;
  e.now_us = sim.now;
  e.u.heartbeat.vm = MQ_SPAN ("vm-001");
  e.u.heartbeat.peer_address = MQ_SPAN ("vm-001");
  e.u.heartbeat.incarnation = sim.nodes[1].incarnation - 1;
  e.u.heartbeat.sequence = 1000000;
  e.u.heartbeat.leaving = true;
  mq_fleet_handle (sim.nodes[0].fleet, &e, actions);
  EXPECT_EQ (mq_fleet_dropped (sim.nodes[0].fleet), dropped + 1);
  EXPECT_TRUE (sim.lists (0, 1));
  g_array_unref (actions);
}

/* A paused router must not decide on its view from before the pause, nor on
   messages buffered during it.  */
TEST (Membership, PausedRouterMayNotOwnUntilPeersReply)
{
  Sim sim;

  settle (sim, 7);
  sim.pause (5);
  sim.run (10 * S);
  EXPECT_EQ (sim.state (0, 5), MQ_MEMBER_DEAD);
  sim.resume (5);
  EXPECT_EQ (sim.nodes[5].pauses, 1);
  EXPECT_FALSE (mq_fleet_may_own (sim.nodes[5].fleet));
  EXPECT_FALSE (sim.lists (5, 5));
  sim.run (1 * S);
  EXPECT_TRUE (mq_fleet_may_own (sim.nodes[5].fleet));
  EXPECT_EQ (sim.nodes[5].rejoins, 1);
  expect_all_live (sim, 7);
}

TEST (Membership, IsolatedRouterRejoinsAfterTheTimeout)
{
  Sim sim;

  settle (sim, 3);
  sim.pause (0);
  sim.run (10 * S);
  sim.link_is_up = [] (int from, int to) { return from != 0 && to != 0; };
  sim.resume (0);
  sim.run (10 * S);
  EXPECT_TRUE (mq_fleet_may_own (sim.nodes[0].fleet));
  EXPECT_EQ (mq_fleet_live_count (sim.nodes[0].fleet), 1u);
  EXPECT_TRUE (sim.lists (0, 0));
}

TEST (Membership, PartitionedRegionServesOnBothSidesAndMerges)
{
  Sim sim;

  settle (sim, 7);
  sim.link_is_up = [] (int from, int to) { return (from < 3) == (to < 3); };
  sim.run (60 * S);
  EXPECT_EQ (mq_fleet_live_count (sim.nodes[0].fleet), 3u);
  EXPECT_EQ (mq_fleet_live_count (sim.nodes[6].fleet), 4u);
  EXPECT_EQ (mq_fleet_known_count (sim.nodes[0].fleet), 7u);
  sim.link_is_up = [] (int, int) { return true; };
  sim.run (10 * S);
  expect_all_live (sim, 7);
}

TEST (Membership, RegionsServeWhenPartitionedFromEachOther)
{
  Sim sim;

  for (int i = 0; i < 8; i++)
    sim.add (i < 4 ? "r1" : "r2");
  sim.deliver_list ();
  sim.run (30 * S);
  EXPECT_EQ (mq_fleet_live_count (sim.nodes[0].fleet), 4u);
  EXPECT_FALSE (sim.lists (0, 5));
  sim.link_is_up = [] (int from, int to) { return (from < 4) == (to < 4); };
  sim.run (300 * S);
  EXPECT_EQ (mq_fleet_live_count (sim.nodes[0].fleet), 4u);
  EXPECT_EQ (mq_fleet_live_count (sim.nodes[7].fleet), 4u);
  EXPECT_EQ (sim.owner (0, MQ_OWNED_MODEL, "m"),
             sim.owner (3, MQ_OWNED_MODEL, "m"));
}

TEST (Membership, UnlistedNewRouterBecomesLive)
{
  Sim sim;

  settle (sim, 7);
  sim.add ("r1", false);
  sim.deliver_list (7);
  sim.run (10 * S);
  expect_all_live (sim, 8);
}

/* A restarted router learned another's incarnation from a third, so that the
   other never introduced itself.  */
TEST (Membership, MemberKnownByUpdatesOnlyIsAskedForItsIntroduction)
{
  Sim sim;
  bool cut = true;

  settle (sim, 6);
  sim.link_is_up = [&cut] (int from, int to) {
    return !cut || std::min (from, to) != 1 || std::max (from, to) != 2;
  };
  sim.kill (1);
  sim.pause (2);
  sim.run (140 * MS);
  sim.start (1);
  sim.deliver_list (1);
  sim.run (1060 * MS);
  cut = false;
  sim.resume (2);
  sim.run (10 * S);
  expect_all_live (sim, 6);
}

TEST (Membership, RouterWithoutConfigurationIsNotListed)
{
  Sim sim;

  settle (sim, 3);
  sim.generation = 0;
  sim.add ();
  sim.deliver_list ();
  sim.run (5 * S);
  EXPECT_EQ (sim.state (0, 3), MQ_MEMBER_LIVE);
  EXPECT_FALSE (sim.lists (0, 3));
  sim.set_self (3, 0, 1);
  sim.run (2 * S);
  EXPECT_TRUE (sim.lists (0, 3));
}

/* The platform is unavailable, so the new process has no list; peers that know
   its address introduce themselves.  */
TEST (Membership, RestartedRouterWithoutListBecomesLive)
{
  Sim sim;

  settle (sim, 3);
  sim.start (1);
  sim.run (10 * S);
  expect_all_live (sim, 3);
  sim.kill (1);
  sim.run (10 * S);
  sim.start (1);
  sim.run (10 * S);
  expect_all_live (sim, 3);
}

TEST (Membership, RemovesDeadUnlistedMember)
{
  Sim sim;

  settle (sim, 3);
  sim.kill (1);
  sim.run (30 * S);
  sim.list.erase ("vm-001");
  sim.deliver_list ();
  EXPECT_NE (mq_fleet_find (sim.nodes[0].fleet, MQ_SPAN ("vm-001")), nullptr);
  sim.run (60 * S);
  sim.deliver_list ();
  EXPECT_EQ (mq_fleet_find (sim.nodes[0].fleet, MQ_SPAN ("vm-001")), nullptr);
}

TEST (Membership, HeartbeatIntervalsKeepTheByteBudget)
{
  for (uint32_t members : { 2u, 7u, 20u, 33u, 60u })
    for (uint32_t regions : { 1u, 10u })
      {
        mq_heartbeat_intervals p = mq_heartbeat_intervals_for (
            members, regions, MQ_HEARTBEAT_WIRE_BYTES);
        double watchers
            = std::min (members - 1, (uint32_t)MQ_FLEET_MAX_WATCHERS);
        double sent = watchers * 1e6 / p.watcher_us
                      + (members - 1 - watchers) * 1e6 / p.other_us
                      + 2 * (regions - 1) * 1e6 / p.region_relay_us;

        EXPECT_LE (2 * sent * MQ_HEARTBEAT_WIRE_BYTES, 7000)
            << members << " in " << regions;
        EXPECT_LE (p.watcher_us, 600 * MS);
      }
}

TEST (Membership, SteadyStateKeepsTheByteBudget)
{
  for (int n : { 7, 33, 60 })
    {
      Sim sim;

      settle (sim, n);
      EXPECT_LE (2 * bytes_per_s (sim, 0), 7000) << n;
    }
}
