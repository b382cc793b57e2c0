/* Who relays, what routers hear of one another, and what that costs, for
   fleets of 7 to 1,000 routers in virtual time.  */

#include "support/cluster_sim.h"

#include <set>

using cluster::Router;
using cluster::second;
using cluster::World;

namespace
{

/* Routers and domains of fleets: the users' first ones, their grown and large
   ones, the size to design for, and beyond.  */
struct Size
{
  unsigned routers, domains;
};

const Size sizes[] = { { 7, 3 }, { 30, 3 }, { 90, 4 }, { 295, 5 } };

/* Let COUNT routers of the fleet have TOKENS in flight, COUNT being those that
   the first router's domain and the others send clients to.  */
unsigned
load_serving (World &w, unsigned tokens)
{
  std::set<std::string> serving;
  unsigned n = 0;

  for (auto &r : w.routers)
    for (const std::string &s : w.serving (*r))
      serving.insert (s);
  for (auto &r : w.routers)
    if (serving.count (r->client))
      {
        r->tokens = tokens;
        n++;
      }
  return n;
}

/* What one second of a settled, loaded fleet sends.  */
cluster::Traffic
steady (unsigned routers, unsigned domains)
{
  World w (routers, domains);

  w.start_all ();
  w.run (5 * second);
  load_serving (w, 1000);
  w.run (3 * second);
  w.traffic = {};
  w.run (4 * second);
  w.traffic.messages /= 4;
  w.traffic.bytes /= 4;
  w.traffic.far_bytes /= 4;
  return w.traffic;
}

} // namespace

TEST (Roster, AFleetThatStartsTogetherFindsItsRelays)
{
  for (const Size &s : sizes)
    {
      World w (s.routers, s.domains);

      w.start_all ();
      w.run (4 * second);
      for (unsigned d = 0; d < s.domains; d++)
        {
          std::string domain = "domain-" + std::to_string (d);
          unsigned members = 0;

          for (auto &r : w.routers)
            members += r->domain == domain;
          EXPECT_EQ (w.relays (domain).size (), std::min (members, 3u))
              << s.routers << " routers, " << domain;
        }
      for (auto &r : w.routers)
        {
          EXPECT_TRUE (r->cluster.relays
                       || mq_cluster_has_live_relay (&r->cluster, w.now))
              << r->name;
        }
      EXPECT_EQ (w.leaders (), 1u) << s.routers;
    }
}

/* The seeds may be down when a fleet starts: then the store's list, which is
   empty at first, is all there is, and each finds nobody.  Once some have
   written themselves there, those that read it again find them.  */
TEST (Roster, WithoutSeedsTheListOfMembersBringsThemTogether)
{
  World w (30, 3);

  w.seeds = { "10.9.9.9:1" };
  w.start_all ();
  w.run (3 * second);
  for (auto &r : w.routers)
    w.listed.push_back (r->peer);
  for (auto &r : w.routers)
    {
      w.stop (*r);
      w.start (*r);
    }
  w.run (6 * second);
  EXPECT_EQ (w.relays ().size (), 9u);
  EXPECT_EQ (w.leaders (), 1u);
}

TEST (Roster, CountsOfAllAreHeardByAll)
{
  for (const Size &s : sizes)
    {
      World w (s.routers, s.domains);

      w.start_all ();
      w.run (5 * second);
      unsigned n = load_serving (w, 1000);
      w.run (2 * second);
      for (auto &r : w.routers)
        EXPECT_EQ (mq_cluster_other_tokens (&r->cluster, 1, w.now) + r->tokens,
                   1000. * n)
            << r->name << " of " << s.routers;
    }
}

/* The aim is half a second where decisions are taken.  */
TEST (Roster, CountsAreHalfASecondOldAtMost)
{
  for (const Size &s : sizes)
    {
      World w (s.routers, s.domains);

      w.start_all ();
      w.run (5 * second);
      load_serving (w, 1000);
      w.run (2 * second);
      Router &changed = *w.relays ("domain-0")[0];
      double before
          = mq_cluster_other_tokens (&w.routers.back ()->cluster, 1, w.now);
      changed.tokens += 777;
      w.run (second / 2);
      for (auto &r : w.routers)
        if (r->tokens > 0 && r.get () != &changed)
          {
            EXPECT_EQ (mq_cluster_other_tokens (&r->cluster, 1, w.now)
                           + r->tokens,
                       before + w.routers.back ()->tokens + 777)
                << r->name << " of " << s.routers;
          }
    }
}

/* News from each to each made 19,000 messages a second of 295 routers, and
   0.63 GB between domains on a calm day.  */
TEST (Roster, WhatAFleetSendsGrowsNoFasterThanTheFleet)
{
  cluster::Traffic hundred = steady (100, 5);
  cluster::Traffic three_hundred = steady (300, 5);
  cluster::Traffic thousand = steady (1000, 5);

  EXPECT_LE (three_hundred.messages, 3 * hundred.messages);
  EXPECT_LE (three_hundred.bytes, 3 * hundred.bytes);
  EXPECT_LE (thousand.messages, 10 * hundred.messages);
  /* What goes between domains depends on the domains alone.  */
  EXPECT_LE (three_hundred.far_bytes, hundred.far_bytes * 1.1);
  EXPECT_LE (three_hundred.messages, 19000u / 4);
}

/* The users' budget for control is 8 KB/s a node.  */
TEST (Roster, AtTheSizeToDesignForARouterStaysWithinItsBudget)
{
  cluster::Traffic t = steady (330, 34);

  EXPECT_LE (t.bytes / 330, 8 * 1024u);
}

TEST (Roster, TheNextInRankTakeThePlacesOfRelaysThatDie)
{
  World w (90, 4);

  w.start_all ();
  w.run (5 * second);
  for (Router *r : w.relays ("domain-1"))
    w.stop (*r);
  w.run (4 * second);
  EXPECT_EQ (w.relays ("domain-1").size (), 3u);
  EXPECT_EQ (w.leaders (), 1u);
  for (auto &r : w.routers)
    if (r->up && r->domain == "domain-1")
      {
        EXPECT_TRUE (r->cluster.relays
                     || mq_cluster_has_live_relay (&r->cluster, w.now))
            << r->name;
      }
}

/* All who are named in digests are gone at once: the rest ask the seeds.  */
TEST (Roster, ADomainThatLostAllItsCandidatesFindsOthers)
{
  World w (90, 3);

  w.start_all ();
  w.run (5 * second);
  unsigned stopped = 0;
  for (auto &r : w.routers)
    if (r->domain == "domain-2" && stopped < 12)
      {
        w.stop (*r);
        stopped++;
      }
  w.run (12 * second);
  EXPECT_EQ (w.relays ("domain-2").size (), 3u);
  EXPECT_EQ (w.leaders (), 1u);
}

TEST (Roster, AWholeDomainMayBeLost)
{
  World w (90, 4);

  w.start_all ();
  w.run (5 * second);
  load_serving (w, 1000);
  w.run (second);
  for (auto &r : w.routers)
    if (r->domain == "domain-0")
      {
        w.stop (*r);
        r->tokens = 0;
      }
  w.run (3 * second);
  EXPECT_EQ (w.leaders (), 1u);
  double sum = 0;
  for (auto &r : w.routers)
    sum += r->tokens;
  for (auto &r : w.routers)
    if (r->up)
      {
        EXPECT_EQ (mq_cluster_other_tokens (&r->cluster, 1, w.now) + r->tokens,
                   sum);
      }
}

/* All processes are killed and start again: the store lists the relays, and
   these need not wait.  */
TEST (Roster, AFleetThatStartsAgainKnowsItsRelaysAtOnce)
{
  World w (295, 5);

  w.start_all ();
  w.run (5 * second);
  for (Router *r : w.relays ())
    w.listed.push_back (r->peer);
  for (auto &r : w.routers)
    w.stop (*r);
  w.run (second);
  w.start_all ();
  w.run (second);
  EXPECT_EQ (w.relays ().size (), 15u);
  EXPECT_EQ (w.leaders (), 1u);
  for (auto &r : w.routers)
    EXPECT_TRUE (r->cluster.relays
                 || mq_cluster_has_live_relay (&r->cluster, w.now))
        << r->name;
}

/* Relays are the large ones, so that small routers carry little but their own
   reports.  */
TEST (Roster, LargeRoutersRelay)
{
  World w (295, 5);

  w.start_all ();
  w.run (5 * second);
  for (Router *r : w.relays ())
    EXPECT_EQ (r->capacity, 500u) << r->name;
}

TEST (Roster, ADrainingRouterNeitherRelaysNorServes)
{
  World w (30, 3);

  w.start_all ();
  w.run (5 * second);
  Router &leaves = *w.relays ("domain-0")[0];
  leaves.cluster.self.draining = true;
  mq_cluster_member *seen = nullptr;
  for (auto &r : w.routers)
    if (r.get () != &leaves
        && (seen = mq_cluster_find (&r->cluster, cluster::span (leaves.peer))))
      seen->draining = true;
  EXPECT_TRUE (mq_cluster_tick (&leaves.cluster, w.now));
  EXPECT_FALSE (leaves.cluster.relays);
  for (auto &r : w.routers)
    if (r->domain == "domain-0" && r->cluster.relays)
      {
        for (const std::string &s : w.serving (*r))
          EXPECT_NE (s, leaves.client);
      }
}

/* One relay that is cut off from the others of its domain, both paths: it must
   not take itself for the leader while the rest hear the store.  */
TEST (Roster, WhoIsCutOffFromAllLeadsOnlyWhenItHearsTheStore)
{
  World w (30, 3);

  w.start_all ();
  w.run (5 * second);
  Router *cut = nullptr;
  for (auto &r : w.routers)
    if (mq_cluster_is_leader (&r->cluster, true, w.now))
      cut = r.get ();
  ASSERT_NE (cut, nullptr);
  cut->reaches_store = false;
  w.link = [=] (const Router &a, const Router &b) {
    return &a != cut && &b != cut;
  };
  w.run (3 * second);
  EXPECT_EQ (w.leaders (), 1u);
  EXPECT_FALSE (mq_cluster_is_leader (&cut->cluster, false, w.now));
}

/* With the store away for all, the first of those that hear most others gives
   the orders.  */
TEST (Roster, WithoutTheStoreOneLeads)
{
  World w (90, 4);

  w.start_all ();
  w.run (5 * second);
  for (auto &r : w.routers)
    r->reaches_store = false;
  w.run (3 * second);
  EXPECT_EQ (w.leaders (), 1u);
}

/* A process that was frozen has heard nobody: that is no sign that all others
   are gone.  */
TEST (Roster, AProcessThatSleptJudgesNobodyByIt)
{
  World w (30, 3);

  w.start_all ();
  w.run (5 * second);
  Router *idle = nullptr;
  for (auto &r : w.routers)
    if (!r->cluster.relays)
      idle = r.get ();
  ASSERT_NE (idle, nullptr);
  uint64_t woken = w.now + 20 * second;
  mq_cluster_note_pause (&idle->cluster, 20 * second);
  EXPECT_FALSE (mq_cluster_tick (&idle->cluster, woken));
  EXPECT_TRUE (mq_cluster_has_live_relay (&idle->cluster, woken));
}

TEST (Roster, NewsThatWereHeldUpChangeNothing)
{
  World w (7, 3);

  w.start_all ();
  w.run (4 * second);
  Router &a = *w.routers[0], &b = *w.routers[3];
  mq_gossip news;
  mq_cluster_member *from = nullptr;
  bool stranger = false;

  mq_gossip_init (&news, MQ_GOSSIP_REPORT);
  mq_cluster_make_report (&a.cluster, &news, w.now);
  news.sequence = 1;
  EXPECT_EQ (mq_cluster_receive (&b.cluster, &news, &from, &stranger, w.now),
             MQ_GOSSIP_STALE);
  EXPECT_EQ (from, nullptr);
  mq_gossip_finish (&news);
}

/* What a process sent before it started again still counts in the window.  */
TEST (Roster, SendsOfAProcessThatEndedAreCountedAsGone)
{
  World w (7, 3);

  w.start_all ();
  w.run (4 * second);
  w.routers[3]->tokens = 1000;
  w.run (second);
  w.stop (*w.routers[3]);
  w.routers[3]->tokens = 0;
  w.start (*w.routers[3]);
  w.run (second);
  mq_send_counts c = mq_cluster_other_sends (&w.routers[0]->cluster, 1, w.now);
  EXPECT_EQ (c.first, 10u);
}

TEST (Roster, RoutersThatSendShareTheBudget)
{
  World w (295, 5);

  w.start_all ();
  w.run (5 * second);
  EXPECT_EQ (mq_cluster_count_busy (&w.routers[0]->cluster, w.now), 1u);
  unsigned n = load_serving (w, 1000);
  w.run (second);
  for (auto &r : w.routers)
    {
      EXPECT_GE (mq_cluster_count_busy (&r->cluster, w.now), n);
      EXPECT_LE (mq_cluster_count_busy (&r->cluster, w.now), n + 1);
    }
}

/* Few serve while there is little to do, and more within a second when they
   have much.  */
TEST (Roster, TheSetThatServesGrowsWithWhatItUses)
{
  World w (295, 5);

  w.start_all ();
  w.run (5 * second);
  EXPECT_EQ (w.serving (*w.routers[294]).size (), 6u);
  for (Router *r : w.relays ("domain-4"))
    {
      r->tokens = 1000;
      r->used = 450;
    }
  w.run (second);
  size_t grown = w.serving (*w.routers[294]).size ();
  EXPECT_GT (grown, 6u);
  /* Three tenths of their capacity carry 1.35 processors.  */
  EXPECT_GE (3 * 500 + (grown - 3) * 120, 1350 / 0.3);
}
