/* Invariants of the planner under random events.  */

#include "planner_sim.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>

namespace
{

/* One random step, as plain numbers that can be printed and shrunk.  */
struct Step
{
  uint32_t kind;
  uint32_t a, b, c;
};

std::ostream &
operator<< (std::ostream &out, const Step &s)
{
  return out << "{" << s.kind << "," << s.a << "," << s.b << "," << s.c << "}";
}

struct EngineSpec
{
  uint32_t first, length, domain, step_ms, slots;
};

std::ostream &
operator<< (std::ostream &out, const EngineSpec &e)
{
  return out << "[" << e.first << "+" << e.length << " d" << e.domain << " "
             << e.step_ms << "ms x" << e.slots << "]";
}

} // namespace

namespace rc
{

template <> struct Arbitrary<Step>
{
  static Gen<Step>
  arbitrary ()
  {
    return gen::build<Step> (gen::set (&Step::kind, gen::inRange (0u, 12u)),
                             gen::set (&Step::a, gen::inRange (0u, 1000u)),
                             gen::set (&Step::b, gen::inRange (0u, 1000u)),
                             gen::set (&Step::c, gen::inRange (0u, 1000u)));
  }
};

template <> struct Arbitrary<EngineSpec>
{
  static Gen<EngineSpec>
  arbitrary ()
  {
    return gen::build<EngineSpec> (
        /* Layer ranges that mostly join, and a few that do not.  */
        gen::set (&EngineSpec::first, gen::element (0u, 0u, 2u, 3u, 4u, 6u)),
        gen::set (&EngineSpec::length, gen::element (2u, 4u, 4u, 5u, 8u)),
        gen::set (&EngineSpec::domain, gen::inRange (0u, 3u)),
        gen::set (&EngineSpec::step_ms, gen::inRange (1u, 50u)),
        gen::set (&EngineSpec::slots, gen::inRange (0u, 8u)));
  }
};

} // namespace rc

namespace
{

/* Drives a planner by steps and checks each action against a model of the
   usable engines and the open attempts.  */
class Driver : public PlannerSim
{
public:
  struct Attempt
  {
    uint64_t router;
    uint64_t expiry_us;
    std::vector<std::string> engines;
  };

  std::map<std::pair<uint64_t, uint32_t>, Attempt>
      open; /* sequence, attempt  */
  std::set<std::string> down, leaving;
  std::vector<EngineSpec> specs;
  std::string transcript;
  uint64_t admitted = 0;
  uint32_t max_ejected_percent;

  Driver (const std::vector<EngineSpec> &engines, uint32_t percent)
      : specs (engines), max_ejected_percent (percent)
  {
    config->policy.put_aside_percent = percent;
    for (size_t i = 0; i < specs.size (); i++)
      {
        const EngineSpec &e = specs[i];
        uint32_t end = std::min (e.first + e.length, layers);

        add_engine (name (i), e.first, end, "d" + std::to_string (e.domain),
                    e.step_ms * 1000, e.slots);
      }
    configure ();
  }

  static std::string
  name (size_t i)
  {
    return "e" + std::to_string (i);
  }

  std::string
  pick_engine (uint32_t n) const
  {
    return specs.empty () ? "none" : name (n % specs.size ());
  }

  void
  check_admission (const mq_planner_action &a, const mq_plan_request &request)
  {
    RC_ASSERT (mq_plan_check_coverage (&a.u.plan) == MQ_PLAN_OK);
    RC_ASSERT (std::string (mq_str_cstr (a.u.plan.version)) == "v1");
    for (const std::string &e : engines (a))
      {
        RC_ASSERT (!down.count (e));
        RC_ASSERT (!leaving.count (e));
        for (uint32_t i = 0; i < request.n_avoid; i++)
          RC_ASSERT (!mq_span_equal (request.avoid[i], span (e)));
      }
  }

  void
  do_request (const Step &s)
  {
    std::string avoid = pick_engine (s.c);
    mq_plan_request q = make_request (s.a % 3 ? "small" : "large");

    q.id.router = 1 + s.a % 2;
    q.attempt = 1 + s.b % 2;
    q.max_tokens = s.b;
    q.prompt_tokens = s.c;
    q.priority = static_cast<int32_t> (s.c % 10);
    q.deadline_us = 1 + uint64_t{ s.a } * s.b * 100;
    q.avoid[0] = span (avoid);
    q.n_avoid = s.c % 2;
    const mq_planner_action &a = PlannerSim::request (q);
    RC_ASSERT (a.id.sequence == q.id.sequence);
    RC_ASSERT (a.attempt == q.attempt);
    RC_ASSERT (a.kind == MQ_PLANNER_ADMIT || a.kind == MQ_PLANNER_REFUSE);
    record (a);
    if (a.kind == MQ_PLANNER_REFUSE)
      {
        RC_ASSERT (a.u.refuse.reason != MQ_REASON_NONE);
        return;
      }
    admitted++;
    check_admission (a, q);
    open[{ q.id.sequence, q.attempt }]
        = { q.id.router, now + q.deadline_us, engines (a) };
  }

  void
  do_release (const Step &s)
  {
    if (open.empty ())
      return;
    auto it = std::next (open.begin (), s.a % open.size ());

    release ({ it->second.router, it->first.first },
             static_cast<mq_attempt_end> (s.b % 6), s.c % 5, s.c, s.a * 1000,
             s.b * 100, it->first.second);
    open.erase (it);
  }

  void
  do_progress (const Step &s)
  {
    if (open.empty ())
      return;
    auto it = std::next (open.begin (), s.a % open.size ());
    mq_planner_event e = event (MQ_PLANNER_PROGRESS);

    e.u.progress.id = { it->second.router, it->first.first };
    e.u.progress.attempt = it->first.second;
    e.u.progress.tokens = s.b;
    e.u.progress.mean_gap_us = s.c * 500;
    handle (e);
  }

  void
  do_load (const Step &s)
  {
    std::string e = pick_engine (s.a);

    load (e, s.b % 12, s.c * 100, s.b % 5, 1);
    down.erase (e);
  }

  void
  do_router_removed (const Step &s)
  {
    mq_planner_event e = event (MQ_PLANNER_ROUTER_REMOVED);

    e.u.router = 1 + s.a % 2;
    handle (e);
    for (auto it = open.begin (); it != open.end ();)
      it = it->second.router == e.u.router ? open.erase (it) : std::next (it);
  }

  void
  step (const Step &s)
  {
    now += uint64_t{ s.c } * 300;
    switch (s.kind)
      {
      default:
        do_request (s);
        break;
      case 5:
      case 6:
        do_release (s);
        break;
      case 7:
        do_progress (s);
        break;
      case 8:
        do_load (s);
        break;
      case 9:
        tick ();
        for (guint i = 0; i < actions->len; i++)
          record (g_array_index (actions, mq_planner_action, i));
        break;
      case 10:
        if (s.b % 4 == 0)
          do_router_removed (s);
        else if (s.b % 4 == 1)
          configure ();
        break;
      case 11:
        if (s.b % 2)
          {
            report_engine (MQ_PLANNER_ENGINE_DOWN, pick_engine (s.a));
            down.insert (pick_engine (s.a));
          }
        else if (s.b % 5 == 0)
          {
            report_engine (MQ_PLANNER_LEAVING, pick_engine (s.a));
            leaving.insert (pick_engine (s.a));
          }
        break;
      }
    check ();
  }

  /* Checks the invariants.  */
  void
  check ()
  {
    size_t ejected = 0;
    std::map<std::string, uint32_t> held;

    for (const auto &a : open)
      for (const std::string &e : a.second.engines)
        held[e]++;
    for (size_t i = 0; i < specs.size (); i++)
      {
        mq_engine_view v = view (name (i));

        ejected += v.ejected;
        RC_ASSERT (v.step_us > 0);
        RC_ASSERT (v.slowdown_factor > 0);
        /* The planner may have expired an open attempt already.  */
        RC_ASSERT (v.in_flight <= held[name (i)]);
      }
    RC_ASSERT (ejected * 100 <= specs.size () * max_ejected_percent);
    RC_ASSERT (mq_planner_in_flight (planner) <= open.size ());
  }

  void
  record (const mq_planner_action &a)
  {
    transcript += std::to_string (a.kind) + ":"
                  + std::to_string (a.id.sequence) + ":";
    if (a.kind == MQ_PLANNER_ADMIT)
      for (const std::string &e : engines (a))
        transcript += e + ",";
    if (a.kind == MQ_PLANNER_REFUSE)
      transcript += std::to_string (a.u.refuse.retry_after_us);
    if (a.kind == MQ_PLANNER_REPAIR)
      transcript += mq_str_cstr (a.u.repair.engine);
    transcript += ";";
  }

  void
  run (const std::vector<Step> &steps)
  {
    for (const Step &s : steps)
      step (s);
  }

  /* Releases all open attempts.  */
  void
  finish ()
  {
    while (!open.empty ())
      do_release ({ 0, 0, 0, 0 });
  }
};

/* Returns a random vector of up to SIZE elements.  The elements are generated
   at full size, since they would otherwise be small numbers in small
   cases.  */
template <typename T>
rc::Gen<std::vector<T> >
random_vector (int size)
{
  auto element = rc::gen::resize (rc::kNominalSize, rc::gen::arbitrary<T> ());

  return rc::gen::resize (size, rc::gen::container<std::vector<T> > (element));
}

rc::Gen<std::vector<Step> >
random_steps ()
{
  return random_vector<Step> (300);
}

rc::Gen<std::vector<EngineSpec> >
random_engines ()
{
  return random_vector<EngineSpec> (20);
}

} // namespace

RC_GTEST_PROP (PlannerProp, PlansCoverAndCountsReturnToZero, ())
{
  auto engines = *random_engines ();
  Driver d (engines, *rc::gen::inRange (0u, 100u));

  d.run (*random_steps ());
  RC_TAG (d.admitted > 0 ? "some admitted" : "none admitted");
  d.finish ();
  RC_ASSERT (mq_planner_in_flight (d.planner) == 0u);
  for (size_t i = 0; i < engines.size (); i++)
    {
      RC_ASSERT (d.view (Driver::name (i)).in_flight == 0u);
    }
}

RC_GTEST_PROP (PlannerProp, SameEventsSameAnswers, ())
{
  auto engines = *random_engines ();
  auto steps = *random_steps ();
  Driver one (engines, 30), other (engines, 30);

  one.run (steps);
  other.run (steps);
  RC_ASSERT (one.transcript == other.transcript);
}

RC_GTEST_PROP (PlannerProp, APipelineIsFoundWhereOneExists, ())
{
  auto engines = *random_engines ();
  Driver d (engines, 30);
  std::set<uint32_t> reach{ 0 };

  for (size_t round = 0; round < engines.size (); round++)
    for (const EngineSpec &e : engines)
      if (reach.count (e.first))
        reach.insert (std::min (e.first + e.length, PlannerSim::layers));
  bool has_pipeline = reach.count (PlannerSim::layers) > 0;
  RC_TAG (has_pipeline ? "a pipeline" : "no pipeline");
  RC_ASSERT ((d.request ().kind == MQ_PLANNER_ADMIT) == has_pipeline);
}
