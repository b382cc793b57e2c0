/* The planner: admission, placement, release and refusal in virtual time. */

#include <gtest/gtest.h>
#include <mq/planner.h>

#include <string>
#include <vector>

namespace
{

mq_str *
text (const std::string &s)
{
  return mq_str_new (mq_span{ s.data (), s.size () });
}

/* A configuration with one service "s" over a model "m" of eight layers.  */
class Fixture : public ::testing::Test
{
protected:
  mq_config *config = mq_config_new (1);
  mq_planner *planner = mq_planner_new (MQ_SPAN ("d1"), 1);
  GArray *actions = mq_planner_actions_new ();
  uint64_t now = 1000000;
  uint64_t sequence = 0;

  void
  SetUp () override
  {
    mq_model m = { text ("m"), text ("v1"), 8, 100, 1000 };
    mq_service s = {};

    g_array_append_val (config->models, m);
    s.name = text ("s");
    s.kind = MQ_SERVICE_MODEL;
    s.u.model.model = text ("m");
    s.u.model.max_tokens = 1000;
    g_array_append_val (config->services, s);
  }

  void
  TearDown () override
  {
    g_array_unref (actions);
    mq_planner_free (planner);
    mq_config_unref (config);
  }

  void
  add_engine (const std::string &name, uint32_t first, uint32_t end,
              const std::string &domain = "d1", uint32_t step_us = 10000,
              uint32_t slots = 4)
  {
    mq_engine e = {};

    e.name = text (name);
    e.url = text ("http://127.0.0.1:1/" + name);
    e.model = text ("m");
    e.version = text ("v1");
    e.first = first;
    e.end = end;
    e.accelerator = text ("a");
    e.failure_domain = text (domain);
    e.slots = slots;
    e.step_us = step_us;
    g_array_append_val (config->engines, e);
  }

  void
  handle (const mq_planner_event &event)
  {
    g_array_set_size (actions, 0);
    mq_planner_handle (planner, &event, actions);
  }

  void
  configure ()
  {
    mq_planner_event e = {};

    e.kind = MQ_PLANNER_CONFIG;
    e.now_us = now;
    e.u.config = config;
    handle (e);
  }

  mq_plan_ask
  make_ask ()
  {
    mq_plan_ask a = {};

    a.id = { 1, ++sequence };
    a.attempt = 1;
    a.service = MQ_SPAN ("s");
    a.organisation = MQ_SPAN ("o");
    a.prompt_tokens = 10;
    a.max_tokens = 20;
    a.deadline_us = 60000000;
    return a;
  }

  const mq_planner_action &
  ask (const mq_plan_ask &a)
  {
    mq_planner_event e = {};

    e.kind = MQ_PLANNER_ASK;
    e.now_us = now;
    e.u.ask = a;
    handle (e);
    EXPECT_EQ (actions->len, 1u);
    return g_array_index (actions, mq_planner_action, 0);
  }

  const mq_planner_action &
  ask ()
  {
    return ask (make_ask ());
  }

  void
  release (mq_request_id id, mq_attempt_end end = MQ_ATTEMPT_DONE,
           uint32_t stage = 0)
  {
    mq_planner_event e = {};

    e.kind = MQ_PLANNER_RELEASE;
    e.now_us = now;
    e.u.release.id = id;
    e.u.release.attempt = 1;
    e.u.release.end = end;
    e.u.release.stage = stage;
    handle (e);
  }

  static std::vector<std::string>
  engines (const mq_planner_action &a)
  {
    std::vector<std::string> names;

    for (uint32_t i = 0; i < a.u.plan.n_stages; i++)
      names.push_back (mq_str_cstr (a.u.plan.stages[i].engine));
    return names;
  }
};

using PlannerTest = Fixture;

} // namespace

TEST_F (PlannerTest, RefusesBeforeConfiguration)
{
  const mq_planner_action &a = ask ();

  ASSERT_EQ (a.kind, MQ_PLANNER_REFUSE);
  EXPECT_EQ (a.u.refuse.reason, MQ_REASON_NO_CONFIGURATION);
  EXPECT_GT (a.u.refuse.retry_after_us, 0u);
}

TEST_F (PlannerTest, PlanCoversAllLayersInOrder)
{
  add_engine ("a", 0, 4);
  add_engine ("b", 4, 8);
  add_engine ("c", 3, 8); /* Fits no path.  */
  configure ();
  const mq_planner_action &a = ask ();

  ASSERT_EQ (a.kind, MQ_PLANNER_ADMIT);
  EXPECT_EQ (mq_plan_check_cover (&a.u.plan), MQ_PLAN_OK);
  EXPECT_EQ (engines (a), (std::vector<std::string>{ "a", "b" }));
}

TEST_F (PlannerTest, RefusesWhereALayerHasNoEngine)
{
  add_engine ("a", 0, 4);
  add_engine ("b", 5, 8);
  configure ();
  const mq_planner_action &a = ask ();

  ASSERT_EQ (a.kind, MQ_PLANNER_REFUSE);
  EXPECT_EQ (a.u.refuse.reason, MQ_REASON_NO_PIPELINE);
}

TEST_F (PlannerTest, SpreadsOverEqualEngines)
{
  add_engine ("a", 0, 8);
  add_engine ("b", 0, 8);
  configure ();
  std::string first = engines (ask ())[0];
  std::string second = engines (ask ())[0];

  EXPECT_NE (first, second);
}

TEST_F (PlannerTest, RefusesOverCapacityUntilARelease)
{
  std::vector<mq_request_id> held;

  add_engine ("a", 0, 8);
  configure ();
  for (int i = 0; i < 100; i++)
    {
      const mq_planner_action &a = ask ();

      if (a.kind == MQ_PLANNER_REFUSE)
        break;
      held.push_back (a.id);
    }
  ASSERT_GT (held.size (), 0u);
  ASSERT_LT (held.size (), 100u);
  const mq_planner_action &full = ask ();
  ASSERT_EQ (full.kind, MQ_PLANNER_REFUSE);
  EXPECT_EQ (full.u.refuse.reason, MQ_REASON_OVERLOADED);
  EXPECT_GT (full.u.refuse.retry_after_us, 0u);
  release (held[0]);
  EXPECT_EQ (ask ().kind, MQ_PLANNER_ADMIT);
}

TEST_F (PlannerTest, LeavesAFailedEngineAlone)
{
  add_engine ("a", 0, 8);
  configure ();
  mq_request_id id = ask ().id;
  release (id, MQ_ATTEMPT_STAGE_DIED);
  EXPECT_EQ (ask ().kind, MQ_PLANNER_REFUSE);
  now += 60000000;
  EXPECT_EQ (ask ().kind, MQ_PLANNER_ADMIT);
}

TEST_F (PlannerTest, AvoidsWhatTheAskNames)
{
  add_engine ("a", 0, 8);
  add_engine ("b", 0, 8);
  configure ();
  for (int i = 0; i < 4; i++)
    {
      mq_plan_ask a = make_ask ();

      a.avoid[0] = MQ_SPAN ("a");
      a.n_avoid = 1;
      EXPECT_EQ (engines (ask (a))[0], "b");
    }
}

TEST_F (PlannerTest, ARepeatedAskGetsTheSamePlan)
{
  add_engine ("a", 0, 8);
  add_engine ("b", 0, 8);
  configure ();
  mq_plan_ask a = make_ask ();
  std::string first = engines (ask (a))[0];

  EXPECT_EQ (engines (ask (a))[0], first);
}
