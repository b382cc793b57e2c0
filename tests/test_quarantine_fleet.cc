/* A request that ends upstreams comes again and again to any of 7, 90 or 300
   routers, while those that know are killed or cut off and others start: it
   reaches no more than three upstreams by routers that are in touch, once
   these had their time to hear of the third end.  Real news in virtual time;
   what is written to the platform's store is kept by the world.  */

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

constexpr uint64_t deadly = 4242;
/* A router is in touch when nothing happened to it for so long, and has so
   long to hear of the third end.  */
constexpr uint64_t stable = 3 * second;
constexpr unsigned further_most = 3;

struct Fleet
{
  Fleet (unsigned n, unsigned domains, unsigned seed)
      : world (n, domains), random (seed)
  {
    world.link = [this] (const Router &a, const Router &b) {
      return cut.count (&a) == cut.count (&b);
    };
    world.start_all ();
    run (5 * second);
  }

  unsigned
  draw (unsigned n)
  {
    return random () % n;
  }

  Router &
  any ()
  {
    for (;;)
      {
        Router &r = *world.routers[draw (world.routers.size ())];

        if (r.up)
          return r;
      }
  }

  bool
  refuses (const Router &r, uint64_t request) const
  {
    return mq_quarantine_remaining_us (&r.quarantine, request, world.now) > 0;
  }

  bool
  in_touch (const Router &r)
  {
    return world.now >= r.started_us + stable && cut.count (&r) == 0
           && world.now >= healed_us[&r] + stable;
  }

  /* What a router does at its ticks beside its news.  */
  void
  tick ()
  {
    GArray *changes
        = g_array_new (FALSE, FALSE, sizeof (mq_quarantine_change));

    for (auto &r : world.routers)
      {
        if (!r->up)
          continue;
        g_array_set_size (changes, 0);
        mq_quarantine_tick (&r->quarantine, changes, world.now);
        for (guint i = 0; i < changes->len; i++)
          if (g_array_index (changes, mq_quarantine_change, i).own)
            keep (*r, g_array_index (changes, mq_quarantine_change, i));
        if (r->cluster.relays && read.insert (r->incarnation).second)
          take_kept (*r);
      }
    g_array_unref (changes);
  }

  void
  keep (const Router &r, const mq_quarantine_change &c)
  {
    const mq_suspect *s = mq_quarantine_find (&r.quarantine, c.request);

    for (unsigned i = 0; i < s->n; i++)
      kept[c.request].insert (s->ends[i].upstream);
  }

  void
  take_kept (Router &r)
  {
    for (auto &k : kept)
      for (uint64_t upstream : k.second)
        {
          mq_quarantine_record record = { k.first, upstream, 1000 };

          mq_quarantine_merge (&r.quarantine, &record, world.now);
        }
  }

  void
  run (uint64_t us)
  {
    for (uint64_t end = world.now + us; world.now < end;)
      {
        world.run (50 * ms);
        tick ();
      }
  }

  /* The request comes to R.  Unless it is refused there it ends an upstream,
     at which a few others had just begun, from any router.  */
  void
  arrive (Router &r)
  {
    uint64_t upstream = ++upstreams;

    if (refuses (r, deadly))
      return;
    ends++;
    if (ends > 3 && in_touch (r) && world.now > third_us + stable)
      further++;
    if (ends == 3)
      third_us = world.now;
    mq_quarantine_add (&r.quarantine, deadly, upstream, world.now, world.now);
    for (unsigned i = draw (6); i > 0; i--)
      mq_quarantine_add (&any ().quarantine, 1 + draw (40), upstream,
                         world.now, world.now);
  }

  void
  check_bystanders ()
  {
    for (auto &r : world.routers)
      for (uint64_t b = 1; r->up && b <= 40; b++)
        EXPECT_FALSE (refuses (*r, b))
            << r->name << " " << b << " ends " << ends;
  }

  void
  kill (Router &r)
  {
    world.stop (r);
    down.push_back ({ world.now + second + draw (2000) * ms, &r });
  }

  /* First those that know, as a hostile day would.  */
  void
  kill_some (unsigned n)
  {
    for (auto &r : world.routers)
      if (n > 0 && r->up && refuses (*r, deadly) && world.now > 0)
        {
          kill (*r);
          n--;
        }
  }

  void
  start_due ()
  {
    for (size_t i = down.size (); i > 0; i--)
      if (world.now >= down[i - 1].first)
        {
          world.start (*down[i - 1].second);
          down.erase (down.begin () + (long)i - 1);
        }
  }

  void
  cut_some (unsigned n)
  {
    for (unsigned i = 0; i < n; i++)
      cut.insert (world.routers[draw (world.routers.size ())].get ());
  }

  void
  heal ()
  {
    for (const Router *r : cut)
      healed_us[r] = world.now;
    cut.clear ();
  }

  /* SECONDS in which it comes a few times a second, with faults on the way. */
  void
  day (unsigned seconds)
  {
    unsigned n = (unsigned)world.routers.size ();

    for (unsigned s = 0; s < seconds; s++)
      {
        for (unsigned i = draw (6); i > 0; i--)
          {
            run ((50 + draw (150)) * ms);
            start_due ();
            arrive (any ());
          }
        if (s % 5 == 2)
          kill_some (n / 3);
        if (s % 7 == 3)
          cut_some (n / 4);
        if (s % 7 == 5)
          heal ();
        run (100 * ms);
        start_due ();
      }
  }

  cluster::World world;
  std::mt19937 random;
  std::set<const Router *> cut;
  std::map<const Router *, uint64_t> healed_us;
  std::vector<std::pair<uint64_t, Router *> > down;
  std::map<uint64_t, std::set<uint64_t> > kept; /* In the store.  */
  std::set<uint64_t> read; /* Incarnations that read it.  */
  uint64_t upstreams = 1000, third_us = 0;
  unsigned ends = 0, further = 0;
};

void
expect_bounded (unsigned n, unsigned domains, unsigned seeds, unsigned seconds)
{
  for (unsigned seed = 1; seed <= seeds; seed++)
    {
      Fleet f (n, domains, seed);

      f.day (seconds);
      EXPECT_GE (f.ends, 3u) << "seed " << seed;
      EXPECT_LE (f.further, further_most) << "seed " << seed;
      f.check_bystanders ();
    }
}

} // namespace

TEST (QuarantineFleet, SevenRoutersBoundIt) { expect_bounded (7, 3, 40, 30); }

TEST (QuarantineFleet, NinetyRoutersBoundIt) { expect_bounded (90, 4, 4, 20); }

TEST (QuarantineFleet, ThreeHundredRoutersBoundIt)
{
  expect_bounded (300, 5, 2, 12);
}

/* Nobody is left who knows: relays read what the store keeps.  */
TEST (QuarantineFleet, AllRoutersKilledAtOnceStillKnow)
{
  for (unsigned n : { 7u, 90u })
    for (unsigned seed = 1; seed <= (n > 7 ? 2u : 10u); seed++)
      {
        Fleet f (n, 3, seed);

        f.day (8);
        f.heal ();
        f.world.listed.clear ();
        for (auto &r : f.world.routers)
          {
            if (r->up && r->cluster.relays)
              f.world.listed.push_back (r->peer);
          }
        for (auto &r : f.world.routers)
          if (r->up)
            f.world.stop (*r);
        f.down.clear ();
        f.run (second);
        f.world.start_all ();
        f.run (stable);
        for (int i = 0; i < 20; i++)
          {
            f.arrive (f.any ());
            f.run (100 * ms);
          }
        EXPECT_LE (f.further, further_most) << n << " seed " << seed;
      }
}

/* What it costs: nothing on a day without ends, and little after one.  */
TEST (QuarantineFleet, ItCostsNothingWhereNothingEnds)
{
  Fleet f (90, 3, 1);
  uint64_t before = f.world.traffic.bytes;

  f.run (5 * second);
  uint64_t calm = f.world.traffic.bytes - before;
  for (int i = 0; i < 3; i++)
    f.arrive (f.any ());
  f.run (3 * second);
  before = f.world.traffic.bytes;
  f.run (5 * second);
  uint64_t after = f.world.traffic.bytes - before;
  EXPECT_LT (after, calm + calm / 5);
}
