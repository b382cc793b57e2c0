/* Properties of the fleet under any sequence of faults: which members are
   listed, which own, and that limits hold.  */

#include "fleet_sim.h"
#include "limiter_sim.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace
{

constexpr int ROUTERS = 6;
constexpr uint64_t BOUND = 3 * fleet_sim::S;

/* A fault of one router, or of the link between two.  */
struct Fault
{
  enum Kind
  {
    KILL,
    START,
    PAUSE,
    RESUME,
    LEAVE,
    CUT,
    HEAL,
    DELIVER_LIST,
    REST
  } kind;
  int node;
  int other;
  uint64_t after;
};

void
showValue (const Fault &f, std::ostream &os)
{
  static const char *const names[]
      = { "KILL", "START", "PAUSE",        "RESUME", "LEAVE",
          "CUT",  "HEAL",  "DELIVER_LIST", "REST" };

  os << names[f.kind] << " " << f.node << "," << f.other << " then " << f.after
     << " us";
}

rc::Gen<Fault>
fault ()
{
  using Kind = Fault::Kind;

  return rc::gen::build<Fault> (
      rc::gen::set (&Fault::kind,
                    rc::gen::element (Kind::KILL, Kind::START, Kind::PAUSE,
                                      Kind::RESUME, Kind::LEAVE, Kind::CUT,
                                      Kind::HEAL, Kind::DELIVER_LIST,
                                      Kind::REST)),
      rc::gen::set (&Fault::node, rc::gen::inRange (0, ROUTERS)),
      rc::gen::set (&Fault::other, rc::gen::inRange (0, ROUTERS)),
      rc::gen::set (&Fault::after,
                    rc::gen::inRange<uint64_t> (0, 4 * fleet_sim::S)));
}

/* The simulation and the true state of its routers.  */
struct Fixture
{
  fleet_sim::Sim sim;
  std::vector<uint64_t>
      unavailable_since; /* Leaving, dead or paused since; 0: up.  */
  std::vector<bool> leaving;
  std::set<std::pair<int, int> > cut;

  Fixture () : unavailable_since (ROUTERS, 0), leaving (ROUTERS, false)
  {
    for (int i = 0; i < ROUTERS; i++)
      sim.add ();
    sim.link_is_up = [this] (int a, int b) {
      return cut.count ({ std::min (a, b), std::max (a, b) }) == 0;
    };
    sim.deliver_list ();
    sim.run (10 * fleet_sim::S);
  }

  void
  mark_unavailable (int i)
  {
    if (unavailable_since[i] == 0)
      unavailable_since[i] = sim.now;
  }

  void
  start (int i)
  {
    if (sim.nodes[i].running)
      return;
    sim.start (i);
    sim.deliver_list (i);
    unavailable_since[i] = 0;
    leaving[i] = false;
  }

  void
  resume (int i)
  {
    if (!sim.nodes[i].paused)
      return;
    sim.resume (i);
    if (!leaving[i])
      unavailable_since[i] = 0;
  }

  void
  apply (const Fault &f)
  {
    fleet_sim::Node &n = sim.nodes[f.node];
    std::pair<int, int> link
        = { std::min (f.node, f.other), std::max (f.node, f.other) };

    switch (f.kind)
      {
      case Fault::KILL:
        sim.kill (f.node);
        mark_unavailable (f.node);
        break;
      case Fault::START:
        start (f.node);
        break;
      case Fault::PAUSE:
        if (!n.running)
          break;
        sim.pause (f.node);
        mark_unavailable (f.node);
        break;
      case Fault::RESUME:
        resume (f.node);
        break;
      case Fault::LEAVE:
        if (!n.running || n.paused)
          break;
        sim.leave (f.node);
        leaving[f.node] = true;
        mark_unavailable (f.node);
        break;
      case Fault::CUT:
        cut.insert (link);
        break;
      case Fault::HEAL:
        cut.erase (link);
        break;
      case Fault::DELIVER_LIST:
        if (n.running && !n.paused)
          sim.deliver_list (f.node);
        break;
      case Fault::REST:
        break;
      }
    sim.run (f.after);
  }

  bool
  up (int i)
  {
    return sim.nodes[i].running && !sim.nodes[i].paused;
  }

  /* No running router lists one that is unavailable for longer than BOUND.  */
  void
  check_lists ()
  {
    for (int i = 0; i < ROUTERS; i++)
      for (int k = 0; k < ROUTERS; k++)
        {
          if (i == k || !up (i) || unavailable_since[k] == 0
              || sim.now - unavailable_since[k] <= BOUND)
            continue;
          RC_ASSERT (!sim.lists (i, k));
        }
    for (int i = 0; i < ROUTERS; i++)
      {
        if (up (i) && leaving[i])
          RC_ASSERT (!sim.lists (i, i));
      }
  }

  std::set<std::string>
  view (int i)
  {
    std::set<std::string> live;

    for (int k = 0; k < ROUTERS; k++)
      {
        const mq_member *m = mq_fleet_find (
            sim.nodes[i].fleet, fleet_sim::span (sim.nodes[k].name));

        if (k == i && mq_fleet_may_own (sim.nodes[i].fleet) && !leaving[i])
          live.insert (sim.nodes[k].name);
        if (m != nullptr && m->state == MQ_MEMBER_LIVE && !m->leaving)
          live.insert (sim.nodes[k].name);
      }
    return live;
  }

  /* Equal views give equal owners.  */
  void
  check_owners ()
  {
    for (int i = 0; i < ROUTERS; i++)
      for (int k = 0; k < i; k++)
        {
          if (!up (i) || !up (k) || view (i) != view (k) || view (i).empty ())
            continue;
          for (const char *name : { "a", "b", "c", "d", "e" })
            RC_ASSERT (sim.owner (i, MQ_OWNED_MODEL, name)
                       == sim.owner (k, MQ_OWNED_MODEL, name));
        }
  }

  /* Once all faults are repaired, all running routers see one another live. */
  void
  check_convergence ()
  {
    cut.clear ();
    for (int i = 0; i < ROUTERS; i++)
      resume (i);
    sim.deliver_list ();
    sim.run (20 * fleet_sim::S);
    for (int i = 0; i < ROUTERS; i++)
      for (int k = 0; k < ROUTERS; k++)
        {
          if (i == k || !up (i) || !up (k))
            continue;
          RC_LOG () << i << " sees " << k << " at " << sim.now;
          RC_ASSERT (sim.state (i, k) == MQ_MEMBER_LIVE);
          RC_ASSERT (sim.lists (i, k) == !leaving[k]);
        }
  }
};

} // namespace

namespace rc
{
template <> struct Arbitrary<Fault>
{
  static Gen<Fault>
  arbitrary ()
  {
    return fault ();
  }
};
} // namespace rc

RC_GTEST_PROP (FleetProperty, NobodyGoneIsListedAndViewsAgree,
               (const std::vector<Fault> &faults))
{
  Fixture fixture;

  for (const Fault &f : faults)
    {
      fixture.apply (f);
      fixture.check_lists ();
      fixture.check_owners ();
    }
  fixture.check_convergence ();
}

/* Owners change, fail to reply, and demand moves: the limit holds within the
   error bound of mq/limiter.h.  */
RC_GTEST_PROP (FleetProperty, LimitsHoldWithinTheStatedError, ())
{
  using namespace limiter_sim;
  const int n = 5;
  Sim sim (n, { 50, 0, 10 });
  uint64_t last_move = 0;
  int steps = *rc::gen::inRange (1, 12);

  for (int i = 0; i < n; i++)
    sim.loads[i].requests_per_s = 20;
  sim.run (5 * S);
  for (int step = 0; step < steps; step++)
    {
      int i = *rc::gen::inRange (0, n);

      switch (*rc::gen::inRange (0, 4))
        {
        case 0:
          sim.loads[i].requests_per_s = *rc::gen::inRange (0, 120);
          break;
        case 1:
          sim.loads[i].duration_us
              = *rc::gen::inRange<uint64_t> (10, 800) * MS;
          break;
        case 2:
          sim.owner_replies = !sim.owner_replies;
          break;
        case 3:
          /* Changes of owner are at least this far apart.  */
          if (sim.now - last_move < MQ_LIMITER_SETTLE_US)
            break;
          sim.move_owner (i);
          last_move = sim.now;
          break;
        }
      sim.run (*rc::gen::inRange<uint64_t> (1, 6000) * MS);
    }
  for (uint64_t w : { 1 * S, 5 * S, 20 * S })
    RC_ASSERT ((double)sim.max_allowed_within (w)
               <= 50 * ((double)w / 1e6 + 1) + n);
  RC_ASSERT (sim.max_in_flight <= 10u + n);
}
