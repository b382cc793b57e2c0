/* The planner: admission, placement, health and repair in virtual time.  */

#include "planner_sim.h"

#include <gtest/gtest.h>

#include <map>

namespace
{

using Names = std::vector<std::string>;

class PlannerTest : public ::testing::Test, public PlannerSim
{
protected:
  /* Runs N streams one after another, each followed by a tick.  GAP returns
     the gap between tokens, in microseconds, for a stream's engines.  */
  template <typename Gap>
  void
  run_streams (int n, Gap gap)
  {
    for (int i = 0; i < n; i++)
      {
        auto [id, names] = admit ();
        uint64_t us = gap (names);

        now += 20000;
        release (id, MQ_ATTEMPT_DONE, 0, 20, 2 * us, us);
        tick ();
      }
  }
};

} // namespace

TEST_F (PlannerTest, RefusesBeforeConfiguration)
{
  const mq_planner_action &a = request ();

  ASSERT_EQ (a.kind, MQ_PLANNER_REFUSE);
  EXPECT_EQ (a.u.refuse.reason, MQ_REASON_NO_CONFIGURATION);
  EXPECT_GT (a.u.refuse.retry_after_us, 0u);
}

TEST_F (PlannerTest, RefusesAnUnknownService)
{
  configure ();
  mq_plan_request a = make_request ();
  a.service = MQ_SPAN ("other");
  EXPECT_EQ (request (a).u.refuse.reason, MQ_REASON_UNKNOWN_SERVICE);
}

TEST_F (PlannerTest, PlanCoversAllLayersInOrder)
{
  add_engine ("a", 0, 4);
  add_engine ("b", 4, 8);
  add_engine ("c", 3, 8); /* Part of no pipeline.  */
  configure ();
  const mq_planner_action &a = request ();

  ASSERT_EQ (a.kind, MQ_PLANNER_ADMIT);
  EXPECT_EQ (mq_plan_check_coverage (&a.u.plan), MQ_PLAN_OK);
  EXPECT_EQ (engines (a), (Names{ "a", "b" }));
}

TEST_F (PlannerTest, RefusesWhenALayerHasNoEngine)
{
  add_engine ("a", 0, 4);
  add_engine ("b", 5, 8);
  configure ();
  const mq_planner_action &a = request ();

  ASSERT_EQ (a.kind, MQ_PLANNER_REFUSE);
  EXPECT_EQ (a.u.refuse.reason, MQ_REASON_NO_PIPELINE);
  EXPECT_GT (a.u.refuse.retry_after_us, 0u);
}

TEST_F (PlannerTest, EnginesOfOtherRegionsAreNotUsed)
{
  mq_failure_domain near = { text ("d1"), text ("r1") };
  mq_failure_domain far = { text ("d9"), text ("r2") };

  g_array_append_val (config->failure_domains, near);
  g_array_append_val (config->failure_domains, far);
  add_engine ("far", 0, 8, "d9");
  configure ();
  EXPECT_EQ (request ().u.refuse.reason, MQ_REASON_NO_PIPELINE);
}

TEST_F (PlannerTest, SpreadsOverEqualEngines)
{
  add_engine ("a", 0, 8);
  add_engine ("b", 0, 8);
  configure ();
  Names first = admit ().second;

  EXPECT_NE (first, admit ().second);
}

TEST_F (PlannerTest, StaysInOneFailureDomainWhenLinksAreSlow)
{
  add_engine ("a1", 0, 4, "d1");
  add_engine ("a2", 0, 4, "d2");
  add_engine ("b2", 4, 8, "d2");
  add_link ("d1", "d2", 50000);
  configure ();
  EXPECT_EQ (admit ().second, (Names{ "a2", "b2" }));
}

TEST_F (PlannerTest, RefusesOverCapacityUntilARelease)
{
  std::vector<mq_request_id> held;

  add_engine ("a", 0, 8);
  configure ();
  for (int i = 0; i < 100; i++)
    {
      const mq_planner_action &a = request ();

      if (a.kind == MQ_PLANNER_REFUSE)
        break;
      held.push_back (a.id);
    }
  ASSERT_GT (held.size (), 0u);
  ASSERT_LT (held.size (), 100u);
  const mq_planner_action &full = request ();
  ASSERT_EQ (full.kind, MQ_PLANNER_REFUSE);
  EXPECT_EQ (full.u.refuse.reason, MQ_REASON_OVERLOADED);
  EXPECT_GT (full.u.refuse.retry_after_us, 0u);
  release (held[0]);
  EXPECT_EQ (request ().kind, MQ_PLANNER_ADMIT);
}

TEST_F (PlannerTest, RetryAfterGrowsWithEachRefusal)
{
  add_engine ("a", 0, 8);
  configure ();
  for (int i = 0; i < 20; i++)
    {
      now += 100000;
      release (admit ().first);
    }
  while (request ().kind == MQ_PLANNER_ADMIT)
    ;
  uint64_t first = request ().u.refuse.retry_after_us;
  uint64_t second = request ().u.refuse.retry_after_us;
  EXPECT_GT (second, first);
}

TEST_F (PlannerTest, RefusesAnUnreachableDeadline)
{
  add_engine ("a", 0, 8);
  configure ();
  mq_plan_request a = make_request ();
  a.deadline_us = 1000;
  const mq_planner_action &r = request (a);

  ASSERT_EQ (r.kind, MQ_PLANNER_REFUSE);
  EXPECT_EQ (r.u.refuse.reason, MQ_REASON_DEADLINE_UNREACHABLE);
  EXPECT_EQ (r.u.refuse.retry_after_us, 0u) << "a retry would fail as well";
  EXPECT_GT (r.figures.predicted_finish_us, r.figures.deadline_us);
}

TEST_F (PlannerTest, KeepsTheFastEngineForUrgentRequests)
{
  add_engine ("fast", 0, 8, "d1", 5000, 16);
  add_engine ("slow", 0, 8, "d1", 15000, 64);
  configure ();
  for (int i = 0; i < 60; i++)
    request ();
  EXPECT_GT (view ("slow").in_flight, 0u);
  uint32_t fast = view ("fast").in_flight;
  mq_plan_request a = make_request ();
  a.deadline_us = 300000; /* Only the fast engine meets it.  */
  EXPECT_EQ (engines (request (a)), Names{ "fast" });
  EXPECT_EQ (view ("fast").in_flight, fast + 1);
}

TEST_F (PlannerTest, MarginGrowsWithPredictionErrors)
{
  add_engine ("a", 0, 8);
  configure ();
  uint64_t margin_before = request ().figures.margin_us;

  release ({ 1, sequence });
  run_streams (200, [i = 0] (const Names &) mutable {
    return ++i % 10 == 0 ? 60000 : 15000;
  });
  EXPECT_GT (request ().figures.margin_us, margin_before);
}

TEST_F (PlannerTest, PredictionFollowsMeasuredStepTime)
{
  add_engine ("a", 0, 8);
  configure ();
  uint64_t guessed = request ().figures.predicted_finish_us;

  for (int i = 0; i < 50; i++)
    {
      now += 100000;
      load ("a", 4, 40000);
    }
  EXPECT_GT (request ().figures.predicted_finish_us, 2 * guessed);
}

TEST_F (PlannerTest, MarginGrowsWithCancelledRequests)
{
  add_engine ("a", 0, 8);
  configure ();
  uint64_t margin_before = request ().figures.margin_us;

  release ({ 1, sequence });
  for (int i = 0; i < 30; i++)
    {
      mq_request_id id = admit ().first;

      now += 5000000;
      release (id, MQ_ATTEMPT_CANCELLED);
    }
  EXPECT_GT (request ().figures.margin_us, 2 * margin_before);
}

TEST_F (PlannerTest, IgnoresTimesThatIncludeItsOwnPause)
{
  add_engine ("a", 0, 8);
  configure ();
  uint64_t margin_before = request ().figures.margin_us;

  release ({ 1, sequence });
  for (int i = 0; i < 30; i++)
    {
      tick ();
      mq_request_id id = admit ().first;
      now += 5000000;
      release (id, MQ_ATTEMPT_CANCELLED);
    }
  EXPECT_LE (request ().figures.margin_us, margin_before);
}

TEST_F (PlannerTest, NeverExceedsTheKnownPlacesOfAnEngine)
{
  add_engine ("a", 0, 4, "d1", 10000, 4);
  add_engine ("b", 4, 8, "d1", 10000, 64);
  configure ();
  for (int i = 0; i < 200; i++)
    {
      now += 20000;
      request ();
      uint32_t given = view ("a").in_flight;
      load ("a", std::min (given, 4u), 10000, given > 4 ? given - 4 : 0);
      if (i % 10 == 9)
        release ({ 1, sequence - 9 });
    }
  ASSERT_GT (view ("a").in_flight, 4u)
      << "the limit is only known after it was exceeded";
  for (uint64_t s = 1; s <= sequence; s++)
    release ({ 1, s });
  for (int i = 0; i < 10; i++)
    request ();
  EXPECT_EQ (view ("a").in_flight, 4u);
  EXPECT_EQ (request ().u.refuse.reason, MQ_REASON_OVERLOADED);
}

TEST_F (PlannerTest, DoesNotLimitAnEngineThatReportsAllStreamsAndNoQueue)
{
  add_engine ("a", 0, 4, "d1", 10000, 4);
  add_engine ("b", 4, 8, "d1", 10000, 64);
  configure ();
  for (int i = 0; i < 100; i++)
    {
      now += 20000;
      request ();
      load ("a", view ("a").in_flight, 10000);
    }
  EXPECT_GT (view ("a").in_flight, 5u);
}

TEST_F (PlannerTest, AdmitsASmallOrganisationNextToALargeOne)
{
  add_organisation ("large", 1);
  add_organisation ("small", 1);
  add_engine ("a", 0, 8, "d1", 10000, 64);
  configure ();
  for (int i = 0; i < 400; i++)
    {
      now += 2000;
      request (make_request ("large"));
      tick ();
    }
  ASSERT_EQ (request (make_request ("large")).kind, MQ_PLANNER_REFUSE);
  EXPECT_EQ (request (make_request ("small")).kind, MQ_PLANNER_ADMIT);
}

TEST_F (PlannerTest, FailedEngineGetsNoNewWorkDuringBackOff)
{
  add_engine ("a", 0, 8);
  configure ();
  release (admit ().first, MQ_ATTEMPT_STAGE_DIED);
  EXPECT_EQ (request ().kind, MQ_PLANNER_REFUSE);
  now += 60000000;
  EXPECT_EQ (request ().kind, MQ_PLANNER_ADMIT);
}

TEST_F (PlannerTest, AFailedEngineThatReportsMustReportAgain)
{
  add_engine ("a", 0, 8);
  configure ();
  load ("a", 0, 0);
  release (admit ().first, MQ_ATTEMPT_STAGE_DIED);
  now += 60000000;
  EXPECT_EQ (request ().kind, MQ_PLANNER_REFUSE);
  load ("a", 0, 0);
  EXPECT_EQ (request ().kind, MQ_PLANNER_ADMIT);
}

TEST_F (PlannerTest, ARestartedEngineIsUsedAtOnce)
{
  add_engine ("a", 0, 8);
  configure ();
  load ("a", 0, 0, 0, 1);
  release (admit ().first, MQ_ATTEMPT_STAGE_WRONG);
  now += 1000;
  load ("a", 0, 0, 0, 2);
  EXPECT_EQ (request ().kind, MQ_PLANNER_ADMIT);
}

TEST_F (PlannerTest, AnEngineOfAnotherVersionIsNotUsed)
{
  add_engine ("a", 0, 8);
  configure ();
  mq_planner_event e = event (MQ_PLANNER_LOAD);
  e.u.load.engine = MQ_SPAN ("a");
  e.u.load.version = MQ_SPAN ("v0");
  e.u.load.incarnation = 1;
  handle (e);
  EXPECT_EQ (request ().u.refuse.reason, MQ_REASON_NO_PIPELINE);
  e.u.load.version = MQ_SPAN ("v1");
  handle (e);
  EXPECT_EQ (request ().kind, MQ_PLANNER_ADMIT);
}

TEST_F (PlannerTest, LeavingAndDownEnginesGetNoNewWork)
{
  add_engine ("a", 0, 8);
  add_engine ("b", 0, 8);
  configure ();
  load ("a", 0, 0, 0, 1);
  report_engine (MQ_PLANNER_LEAVING, "a");
  report_engine (MQ_PLANNER_ENGINE_DOWN, "b");
  EXPECT_EQ (request ().u.refuse.reason, MQ_REASON_NO_PIPELINE);
  load ("b", 0, 0);
  EXPECT_EQ (admit ().second, Names{ "b" });
}

TEST_F (PlannerTest, AvoidsTheEnginesThatTheRequestNames)
{
  add_engine ("a", 0, 8);
  add_engine ("b", 0, 8);
  configure ();
  for (int i = 0; i < 4; i++)
    {
      mq_plan_request a = make_request ();

      a.avoid[0] = MQ_SPAN ("a");
      a.n_avoid = 1;
      EXPECT_EQ (engines (request (a)), Names{ "b" });
    }
}

TEST_F (PlannerTest, RepeatedRequestGetsTheSamePlan)
{
  add_engine ("a", 0, 8);
  add_engine ("b", 0, 8);
  configure ();
  mq_plan_request a = make_request ();
  Names first = engines (request (a));

  EXPECT_EQ (engines (request (a)), first);
  EXPECT_EQ (mq_planner_in_flight (planner), 1u);
}

TEST_F (PlannerTest, AttemptWithoutReleaseExpires)
{
  add_engine ("a", 0, 8);
  configure ();
  admit ();
  now += 120000000;
  tick ();
  EXPECT_EQ (mq_planner_in_flight (planner), 0u);
}

TEST_F (PlannerTest, StateSurvivesANewGeneration)
{
  add_engine ("a", 0, 8);
  configure ();
  auto held = admit ();
  mq_config *next = new_config (2);

  std::swap (config, next);
  mq_config_unref (next);
  configure (); /* Without the engine.  */
  EXPECT_EQ (request ().kind, MQ_PLANNER_REFUSE);
  next = new_config (3);
  std::swap (config, next);
  mq_config_unref (next);
  add_engine ("a", 0, 8);
  configure ();
  EXPECT_EQ (view ("a").in_flight, 1u);
  release (held.first);
  EXPECT_EQ (view ("a").in_flight, 0u);
}

TEST_F (PlannerTest, PrefersAnEngineWithACachedPrefix)
{
  add_engine ("a", 0, 8);
  add_engine ("b", 0, 8);
  configure ();
  mq_planner_event e = event (MQ_PLANNER_CACHE);
  e.u.cache.engine = MQ_SPAN ("b");
  e.u.cache.prefix_hash = 77;
  e.u.cache.stored = true;
  handle (e);
  for (int i = 0; i < 2; i++)
    {
      mq_plan_request a = make_request ();

      a.prompt_tokens = 20000;
      a.prefix_hash = 77;
      EXPECT_EQ (engines (request (a)), Names{ "b" });
    }
}

TEST_F (PlannerTest, SlowEngineIsEjectedAndRestored)
{
  auto slow = [] (const Names &n) { return n[0] == "e0" ? 150000 : 15000; };
  auto normal = [] (const Names &) { return 15000; };

  for (int i = 0; i < 6; i++)
    add_engine ("e" + std::to_string (i), 0, 8);
  configure ();
  run_streams (100, slow);
  EXPECT_TRUE (view ("e0").ejected);
  EXPECT_FALSE (view ("e0").usable);
  /* It fails its probation and is ejected again, for longer.  */
  run_streams (300, slow);
  EXPECT_TRUE (view ("e0").ejected);
  run_streams (1000, normal);
  EXPECT_FALSE (view ("e0").ejected);
  EXPECT_TRUE (view ("e0").usable);
}

TEST_F (PlannerTest, EjectsNoMoreThanTheConfiguredPercentage)
{
  for (int i = 0; i < 10; i++)
    add_engine ("e" + std::to_string (i), 0, 8);
  config->policy.put_aside_percent = 20;
  configure ();
  int max_ejected = 0;

  run_streams (2000, [&] (const Names &n) {
    int ejected_now = 0;

    for (int i = 0; i < 10; i++)
      ejected_now += view ("e" + std::to_string (i)).ejected;
    max_ejected = std::max (max_ejected, ejected_now);
    return n[0] < "e4" ? 400000 : 15000;
  });
  EXPECT_EQ (max_ejected, 2);
}

TEST_F (PlannerTest, ShortRangeIsRepairedOnceByASpareEngine)
{
  add_engine ("a", 0, 4);
  for (int i = 0; i < 3; i++)
    add_engine ("b" + std::to_string (i), 4, 8);
  configure ();
  report_engine (MQ_PLANNER_ENGINE_DOWN, "a");
  std::map<std::string, int> ordered;

  for (int i = 0; i < 100; i++)
    {
      now += 100000;
      tick ();
      for (guint k = 0; k < actions->len; k++)
        {
          const mq_planner_action &r
              = g_array_index (actions, mq_planner_action, k);

          ASSERT_EQ (r.kind, MQ_PLANNER_REPAIR);
          EXPECT_EQ (r.u.repair.first, 0u);
          EXPECT_EQ (r.u.repair.end, 4u);
          ordered[mq_str_cstr (r.u.repair.engine)]++;
        }
    }
  ASSERT_EQ (ordered.size (), 1u);
  std::string spare = ordered.begin ()->first;
  EXPECT_EQ (ordered[spare], 1);
  EXPECT_FALSE (view (spare).usable) << "it loads other layers";
  EXPECT_EQ (request ().u.refuse.reason, MQ_REASON_NO_PIPELINE);
  load (spare, 0, 0, 0, 1, 0, 4);
  EXPECT_EQ (admit ().second[0], spare);
}

/* An ordered engine that goes down must not delay the repair until the order
   times out.  */
TEST_F (PlannerTest, UnreachableSpareIsReplacedAtOnceAndItsOrderCancelled)
{
  add_engine ("a", 0, 4);
  for (int i = 0; i < 4; i++)
    add_engine ("b" + std::to_string (i), 4, 8);
  configure ();
  report_engine (MQ_PLANNER_ENGINE_DOWN, "a");
  std::vector<std::pair<mq_planner_action_kind, std::string> > repairs;
  auto run_ticks = [&] (int ticks) {
    repairs.clear ();
    for (int i = 0; i < ticks; i++)
      {
        now += 100000;
        tick ();
        for (guint k = 0; k < actions->len; k++)
          {
            const mq_planner_action &r
                = g_array_index (actions, mq_planner_action, k);
            repairs.push_back ({ r.kind, mq_str_cstr (r.u.repair.engine) });
          }
      }
  };

  run_ticks (50);
  ASSERT_EQ (repairs.size (), 1u);
  std::string spare = repairs[0].second;
  report_engine (MQ_PLANNER_ENGINE_DOWN, spare.c_str ());
  run_ticks (10);
  ASSERT_EQ (repairs.size (), 2u);
  EXPECT_EQ (repairs[0], std::make_pair (MQ_PLANNER_CANCEL_REPAIR, spare));
  EXPECT_EQ (repairs[1].first, MQ_PLANNER_REPAIR);
  EXPECT_NE (repairs[1].second, spare);
  spare = repairs[1].second;
  load (spare, 0, 0, 0, 1, 0, 4);
  run_ticks (10);
  ASSERT_EQ (repairs.size (), 1u);
  EXPECT_EQ (repairs[0], std::make_pair (MQ_PLANNER_CANCEL_REPAIR, spare));
}

TEST_F (PlannerTest, RoundRobinTakesTurnsAndRefusesNothing)
{
  add_engine ("a", 0, 8, "d1", 1000);
  add_engine ("b", 0, 8, "d1", 90000);
  config->policy.routing = MQ_ROUTING_ROUND_ROBIN;
  configure ();
  Names last = admit ().second;

  for (int i = 0; i < 200; i++)
    {
      Names next = admit ().second;

      ASSERT_NE (next, last);
      last = next;
    }
}
