/* Quarantine over fleets of several sizes in virtual time.  A request that
   crashes upstreams comes repeatedly to any router, while routers that have
   its crash records are killed or partitioned and others start.  Once settled
   routers have had time to learn of the third crash, they send the request to
   a bounded number of further upstreams.  Gossip is real; the platform's store
   is a map of this test.  */

#include "support/cluster_sim.h"

#include <mq/quarantine.h>

#include <gtest/gtest.h>

#include <random>
#include <set>

using cluster::ms;
using cluster::Router;
using cluster::second;

namespace
{

constexpr uint64_t crasher = 4242; /* A request that crashes upstreams.  */
/* A router is settled when it was neither restarted nor partitioned for this
   long.  It may take as long to learn of the third crash.  */
constexpr uint64_t settle_us = 3 * second;
/* Crashes after these times that settled routers may cause.  */
constexpr unsigned max_extra_crashes = 3;

struct Fleet
{
  Fleet (unsigned n, unsigned domains, unsigned seed)
      : sim (n, domains), random (seed)
  {
    sim.link = [this] (const Router &a, const Router &b) {
      return partitioned.count (&a) == partitioned.count (&b);
    };
    sim.start_all ();
    run (5 * second);
  }

  unsigned
  random_below (unsigned n)
  {
    return random () % n;
  }

  Router &
  random_router ()
  {
    for (;;)
      {
        Router &r = *sim.routers[random_below (sim.routers.size ())];

        if (r.up)
          return r;
      }
  }

  bool
  is_refused (const Router &r, uint64_t request) const
  {
    return mq_quarantine_remaining_us (&r.quarantine, { &request, 1 }, sim.now)
           > 0;
  }

  bool
  is_settled (const Router &r)
  {
    return sim.now >= r.started_us + settle_us && partitioned.count (&r) == 0
           && sim.now >= healed_us[&r] + settle_us;
  }

  /* Do what a gateway does for quarantine at its ticks, besides gossip.  */
  void
  tick ()
  {
    GArray *changes
        = g_array_new (FALSE, FALSE, sizeof (mq_quarantine_change));

    for (auto &r : sim.routers)
      {
        if (!r->up)
          continue;
        g_array_set_size (changes, 0);
        mq_quarantine_tick (&r->quarantine, changes, sim.now);
        for (guint i = 0; i < changes->len; i++)
          if (g_array_index (changes, mq_quarantine_change, i).own)
            store_records (*r,
                           g_array_index (changes, mq_quarantine_change, i));
        if (r->cluster.relays && readers.insert (r->incarnation).second)
          load_stored_records (*r);
      }
    g_array_unref (changes);
  }

  void
  store_records (const Router &r, const mq_quarantine_change &c)
  {
    const mq_suspect *s = mq_quarantine_find (&r.quarantine, c.element);

    for (unsigned i = 0; i < s->n; i++)
      stored[c.element].insert (s->crashes[i].upstream);
  }

  void
  load_stored_records (Router &r)
  {
    for (auto &k : stored)
      for (uint64_t upstream : k.second)
        {
          mq_quarantine_record record = { k.first, upstream, 1000 };

          mq_quarantine_merge (&r.quarantine, &record, sim.now);
        }
  }

  void
  run (uint64_t us)
  {
    for (uint64_t end = sim.now + us; sim.now < end;)
      {
        sim.run (50 * ms);
        tick ();
      }
  }

  /* The request comes to R.  Unless it is refused there, it crashes an
     upstream on which a few other requests, from any routers, had just
     started.  */
  void
  arrive (Router &r)
  {
    uint64_t upstream = ++upstreams;

    if (is_refused (r, crasher))
      return;
    crashes++;
    if (crashes > 3 && is_settled (r) && sim.now > third_crash_us + settle_us)
      extra_crashes++;
    if (crashes == 3)
      third_crash_us = sim.now;
    mq_quarantine_add (&r.quarantine, crasher, upstream, sim.now, sim.now);
    for (unsigned i = random_below (6); i > 0; i--)
      mq_quarantine_add (&random_router ().quarantine, 1 + random_below (40),
                         upstream, sim.now, sim.now);
  }

  void
  check_bystanders ()
  {
    for (auto &r : sim.routers)
      for (uint64_t b = 1; r->up && b <= 40; b++)
        EXPECT_FALSE (is_refused (*r, b))
            << r->name << " " << b << " crashes " << crashes;
  }

  void
  kill (Router &r)
  {
    sim.stop (r);
    restarts.push_back ({ sim.now + second + random_below (2000) * ms, &r });
  }

  /* Stop up to N routers that refuse the request: the worst case.  */
  void
  kill_some (unsigned n)
  {
    for (auto &r : sim.routers)
      if (n > 0 && r->up && is_refused (*r, crasher) && sim.now > 0)
        {
          kill (*r);
          n--;
        }
  }

  void
  start_due_routers ()
  {
    for (size_t i = restarts.size (); i > 0; i--)
      if (sim.now >= restarts[i - 1].first)
        {
          sim.start (*restarts[i - 1].second);
          restarts.erase (restarts.begin () + (long)i - 1);
        }
  }

  void
  partition_some (unsigned n)
  {
    for (unsigned i = 0; i < n; i++)
      partitioned.insert (
          sim.routers[random_below (sim.routers.size ())].get ());
  }

  void
  heal ()
  {
    for (const Router *r : partitioned)
      healed_us[r] = sim.now;
    partitioned.clear ();
  }

  /* Let the request come several times a second for SECONDS, under restarts
     and partitions.  */
  void
  run_faults (unsigned seconds)
  {
    unsigned n = (unsigned)sim.routers.size ();

    for (unsigned s = 0; s < seconds; s++)
      {
        for (unsigned i = random_below (6); i > 0; i--)
          {
            run ((50 + random_below (150)) * ms);
            start_due_routers ();
            arrive (random_router ());
          }
        if (s % 5 == 2)
          kill_some (n / 3);
        if (s % 7 == 3)
          partition_some (n / 4);
        if (s % 7 == 5)
          heal ();
        run (100 * ms);
        start_due_routers ();
      }
  }

  cluster::Simulation sim;
  std::mt19937 random;
  std::set<const Router *> partitioned;
  std::map<const Router *, uint64_t> healed_us;
  std::vector<std::pair<uint64_t, Router *> > restarts;
  std::map<uint64_t, std::set<uint64_t> >
      stored;                 /* In the store: request -> upstreams.  */
  std::set<uint64_t> readers; /* Incarnations that read the store.  */
  uint64_t upstreams = 1000, third_crash_us = 0;
  unsigned crashes = 0, extra_crashes = 0;
};

void
expect_bounded (unsigned n, unsigned domains, unsigned seeds, unsigned seconds)
{
  for (unsigned seed = 1; seed <= seeds; seed++)
    {
      Fleet f (n, domains, seed);

      f.run_faults (seconds);
      EXPECT_GE (f.crashes, 3u) << "seed " << seed;
      EXPECT_LE (f.extra_crashes, max_extra_crashes) << "seed " << seed;
      f.check_bystanders ();
    }
}

} // namespace

TEST (QuarantineFleet, SevenRoutersBoundCrashes)
{
  expect_bounded (7, 3, 40, 30);
}

TEST (QuarantineFleet, NinetyRoutersBoundCrashes)
{
  expect_bounded (90, 4, 4, 20);
}

TEST (QuarantineFleet, ThreeHundredRoutersBoundCrashes)
{
  expect_bounded (300, 5, 2, 12);
}

/* When no process with the records is left, relays read them from the store.
 */
TEST (QuarantineFleet, RecordsSurviveRestartOfAllRouters)
{
  for (unsigned n : { 7u, 90u })
    for (unsigned seed = 1; seed <= (n > 7 ? 2u : 10u); seed++)
      {
        Fleet f (n, 3, seed);

        f.run_faults (8);
        f.heal ();
        f.sim.member_list.clear ();
        for (auto &r : f.sim.routers)
          {
            if (r->up && r->cluster.relays)
              f.sim.member_list.push_back (r->peer);
          }
        for (auto &r : f.sim.routers)
          if (r->up)
            f.sim.stop (*r);
        f.restarts.clear ();
        f.run (second);
        f.sim.start_all ();
        f.run (settle_us);
        for (int i = 0; i < 20; i++)
          {
            f.arrive (f.random_router ());
            f.run (100 * ms);
          }
        EXPECT_LE (f.extra_crashes, max_extra_crashes)
            << n << " seed " << seed;
      }
}

/* Compares the traffic with crash records to that without any.  */
TEST (QuarantineFleet, TrafficStaysLowAfterCrashes)
{
  Fleet f (90, 3, 1);
  uint64_t before = f.sim.traffic.bytes;

  f.run (5 * second);
  uint64_t bytes_without = f.sim.traffic.bytes - before;
  for (int i = 0; i < 3; i++)
    f.arrive (f.random_router ());
  f.run (3 * second);
  before = f.sim.traffic.bytes;
  f.run (5 * second);
  uint64_t bytes_after = f.sim.traffic.bytes - before;
  EXPECT_LT (bytes_after, bytes_without + bytes_without / 5);
}
