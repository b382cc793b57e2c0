/* Quarantine of a part of prompts, over fleets of several sizes in virtual
   time.

   Requests with a part that crashes upstreams come to any router, no two
   alike; sound ones share their first part.  Gossip is real.  Checked are how
   many requests with the part reach upstreams after five crashes, and that the
   sound ones are not refused for it.  */

#include "support/cluster_sim.h"

#include <mq/quarantine.h>

#include <gtest/gtest.h>

#include <queue>
#include <random>

using cluster::ms;
using cluster::Router;
using cluster::second;

namespace
{

/* A router is settled when it was neither restarted nor partitioned for this
   long, and may take as long to learn of the fifth crash.  */
constexpr uint64_t settle_us = 3 * second;
constexpr unsigned max_further_arrivals = 3;
/* A crash is known to its router this long after the run began ...  */
constexpr uint64_t detect_us = 150 * ms;
/* ... and a request is cleared after this.  */
constexpr uint64_t run_well_us = 550 * ms;
constexpr unsigned attempts = 2;

const uint64_t first_part = mq_element_of_part (MQ_SPAN ("f1"));
const uint64_t deadly_part = mq_element_of_part (MQ_SPAN ("bad"));

struct Load
{
  double deadly_per_s, sound_per_s;
  unsigned most_beside; /* Sound requests that began beside a deadly one.  */
};

struct Fleet
{
  Fleet (unsigned n, unsigned domains, unsigned seed, Load load)
      : sim (n, domains), random (seed), load (load)
  {
    sim.link = [this] (const Router &a, const Router &b) {
      return partitioned.count (&a) == partitioned.count (&b);
    };
    sim.start_all ();
    run (5 * second, false);
  }

  unsigned
  below (unsigned n)
  {
    return random () % n;
  }

  Router &
  any_router ()
  {
    for (;;)
      {
        Router &r = *sim.routers[below (sim.routers.size ())];

        if (r.up)
          return r;
      }
  }

  /* An action of R, unless it was restarted meanwhile.  */
  void
  later (uint64_t us, Router &r, std::function<void ()> action)
  {
    uint64_t incarnation = r.incarnation;

    due.insert ({ sim.now + us, [=, &r] {
                   if (r.up && r.incarnation == incarnation)
                     action ();
                 } });
  }

  std::vector<uint64_t>
  elements (bool deadly)
  {
    uint64_t own_part = deadly ? deadly_part : PART | (500 + below (200));

    return { ++contents, first_part, own_part };
  }

  static bool
  is_refused (const Router &r, const std::vector<uint64_t> &e, uint64_t now)
  {
    return mq_quarantine_remaining_us (&r.quarantine, { e.data (), e.size () },
                                       now)
           > 0;
  }

  static void
  note_sent (Router &r, const std::vector<uint64_t> &e, uint64_t now)
  {
    mq_quarantine_note_sent (&r.quarantine, { e.data (), e.size () }, now);
  }

  void
  add_crash (Router &r, const std::vector<uint64_t> &e, uint64_t upstream,
             uint64_t at)
  {
    later (detect_us, r, [=, &r] {
      for (uint64_t id : e)
        mq_quarantine_add (&r.quarantine, id, upstream, at, sim.now);
    });
  }

  bool
  is_settled (const Router &r)
  {
    return sim.now >= r.started_us + settle_us && partitioned.count (&r) == 0
           && sim.now >= healed_us[&r] + settle_us;
  }

  /* E runs at an upstream, which crashes; up to MOST_BESIDE sound requests
     had just begun there.  */
  void
  send_deadly (Router &r, const std::vector<uint64_t> &e, unsigned left)
  {
    if (is_refused (r, e, sim.now))
      return;
    note_sent (r, e, sim.now);
    crashes++;
    if (crashes == 5)
      fifth_us = sim.now;
    if (crashes > 5 && is_settled (r) && sim.now > fifth_us + settle_us)
      further++;
    add_crash (r, e, ++upstreams, sim.now);
    for (unsigned i = below (load.most_beside + 1); i > 0; i--)
      add_crash (any_router (), elements (false), upstreams, sim.now);
    if (left > 1)
      later (detect_us + 20 * ms, r,
             [=, &r] { send_deadly (r, e, left - 1); });
  }

  void
  send_sound (Router &r)
  {
    std::vector<uint64_t> e = elements (false);
    bool counts = crashes >= 5 && sim.now > fifth_us + 2 * settle_us;

    sound += counts;
    if (is_refused (r, e, sim.now))
      {
        sound_refused += counts;
        sound_refused_early += !counts;
        return;
      }
    later (run_well_us, r, [=, &r] {
      for (uint64_t id : e)
        mq_quarantine_note_success (&r.quarantine, id, sim.now);
    });
  }

  bool
  happens (double per_s, uint64_t step_us)
  {
    return (double)below (1000000) < per_s * (double)step_us;
  }

  void
  run (uint64_t us, bool deadly)
  {
    const uint64_t step = 10 * ms;
    GArray *changes
        = g_array_new (FALSE, FALSE, sizeof (mq_quarantine_change));

    for (uint64_t end = sim.now + us; sim.now < end;)
      {
        sim.run (step);
        while (!due.empty () && due.begin ()->first <= sim.now)
          {
            auto action = due.begin ()->second;

            due.erase (due.begin ());
            action ();
          }
        if (deadly && happens (load.deadly_per_s, step))
          send_deadly (any_router (), elements (true), attempts);
        if (happens (load.sound_per_s, step))
          send_sound (any_router ());
        for (auto &r : sim.routers)
          if (r->up)
            mq_quarantine_tick (&r->quarantine, changes, sim.now);
      }
    g_array_unref (changes);
  }

  /* Kill a third of the routers, and partition a quarter, for a while.  */
  void
  run_faults (unsigned seconds)
  {
    for (unsigned s = 0; s < seconds; s++)
      {
        if (s % 5 == 2)
          for (size_t i = 0; i < sim.routers.size () / 3; i++)
            sim.stop (any_router ());
        if (s % 7 == 3)
          for (size_t i = 0; i < sim.routers.size () / 4; i++)
            partitioned.insert (&any_router ());
        if (s % 7 == 5)
          {
            for (const Router *r : partitioned)
              healed_us[r] = sim.now;
            partitioned.clear ();
          }
        run (second, true);
        for (auto &r : sim.routers)
          if (!r->up && s % 5 == 3)
            sim.start (*r);
      }
  }

  static constexpr uint64_t PART = (uint64_t)1 << 63;
  cluster::Simulation sim;
  std::mt19937 random;
  Load load;
  std::set<const Router *> partitioned;
  std::map<const Router *, uint64_t> healed_us;
  std::multimap<uint64_t, std::function<void ()> > due;
  uint64_t contents = 1, upstreams = 1000, fifth_us = 0;
  unsigned crashes = 0, further = 0;
  unsigned sound = 0, sound_refused = 0, sound_refused_early = 0;
};

void
expect_bounds (unsigned n, unsigned domains, unsigned seeds, unsigned seconds,
               Load load, bool faults, double warm_s)
{
  unsigned most_crashes = 0, most_further = 0, sound = 0, refused = 0;
  unsigned early = 0;

  for (unsigned seed = 1; seed <= seeds; seed++)
    {
      Fleet f (n, domains, seed, load);

      f.run ((uint64_t)(warm_s * second), false);
      if (faults)
        f.run_faults (seconds);
      else
        f.run (seconds * second, true);
      EXPECT_LE (f.further, max_further_arrivals) << "seed " << seed;
      EXPECT_EQ (f.sound_refused, 0u) << "seed " << seed;
      most_crashes = std::max (most_crashes, f.crashes);
      most_further = std::max (most_further, f.further);
      sound += f.sound;
      refused += f.sound_refused;
      early += f.sound_refused_early;
    }
  printf ("%u routers: at most %u upstreams crashed, %u of them late; %u of "
          "%u sound requests refused, and %u earlier\n",
          n, most_crashes, most_further, refused, sound, early);
}

} // namespace

TEST (QuarantineParts, SixRouters)
{
  expect_bounds (6, 3, 20, 30, { 2, 30, 3 }, false, 3);
}

TEST (QuarantineParts, SixRoutersUnderFaults)
{
  expect_bounds (6, 3, 20, 30, { 2, 30, 3 }, true, 3);
}

/* Single requests are let through to see whether the part still crashes
   upstreams.  */
TEST (QuarantineParts, SixRoutersForLong)
{
  expect_bounds (6, 3, 4, 180, { 2, 30, 3 }, false, 3);
}

/* No request ran well before.  */
TEST (QuarantineParts, SixRoutersOfNewPrompts)
{
  expect_bounds (6, 3, 20, 30, { 2, 1, 3 }, false, 0);
}

TEST (QuarantineParts, NinetyRouters)
{
  expect_bounds (90, 4, 2, 20, { 8, 60, 3 }, false, 3);
}

TEST (QuarantineParts, ThreeHundredRouters)
{
  expect_bounds (300, 5, 1, 20, { 20, 90, 3 }, false, 3);
}

TEST (QuarantineParts, ThreeHundredRoutersUnderFaults)
{
  expect_bounds (300, 5, 1, 20, { 20, 90, 3 }, true, 3);
}

/* Each crash has many suspects, so that the records exceed what messages hold.
 */
TEST (QuarantineParts, SixRoutersWithManySuspects)
{
  expect_bounds (6, 3, 10, 20, { 4, 60, 30 }, false, 3);
}

TEST (QuarantineParts, NinetyRoutersWithManySuspects)
{
  expect_bounds (90, 4, 1, 12, { 8, 60, 60 }, false, 3);
}
