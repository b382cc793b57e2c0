/* The load tool's own arithmetic: arrivals from a seed, the bound.  */

#include <gtest/gtest.h>
#include <mqload/bound.h>
#include <mqload/callers.h>

#include <cstdlib>
#include <set>
#include <string>

namespace
{

/* The scenario NAME that comes with the project.  */
load_scenario *
read_scenario (const char *name, GError **error)
{
  std::string path = std::string (std::getenv ("MQ_SOURCE"))
                     + "/examples/scenarios/" + name + ".json";

  return load_scenario_read (path.c_str (), error);
}

/* Two pipelines of two stages; the second one is twice as slow.  */
class Scenario : public ::testing::Test
{
protected:
  void
  SetUp () override
  {
    GError *error = nullptr;

    s = read_scenario ("small", &error);
    ASSERT_NE (s, nullptr) << error->message;
  }

  void
  TearDown () override
  {
    load_scenario_free (s);
  }

  /* The bound's part of what arrives at FACTOR of capacity.  */
  load_bound
  bound_at (double factor)
  {
    load_bound b;

    s->factor = factor;
    GArray *items = load_schedule_new (s);
    load_bound_init (&b, s, items);
    g_array_unref (items);
    return b;
  }

  load_scenario *s = nullptr;
};

} // namespace

TEST_F (Scenario, EnginesShareTheLayers)
{
  auto *group = &g_array_index (s->engines, load_engines, 0);
  uint32_t first;
  uint32_t end;

  load_engine_layers (s, group, 0, &first, &end);
  EXPECT_EQ (first, 0u);
  EXPECT_EQ (end, 4u);
  load_engine_layers (s, group, 1, &first, &end);
  EXPECT_EQ (first, 4u);
  EXPECT_EQ (end, 9u);
}

TEST_F (Scenario, CapacityPairsBySpeedAndLosesWhatDied)
{
  /* Fast: 10 slots / 5 ms; standard: 10 slots / 10 ms.  */
  EXPECT_DOUBLE_EQ (load_capacity (s, 0, 0), 2000 + 1000);
  /* Without the fast second stage one pipeline is left, and its slower
     engine limits it.  */
  EXPECT_DOUBLE_EQ (load_capacity (s, 0, 10000000), 1000);
  EXPECT_DOUBLE_EQ (load_least_us (s, 0, 100, 7), 7 * 10000);
}

TEST_F (Scenario, ArrivalsFollowFromTheSeed)
{
  GArray *a = load_schedule_new (s);
  GArray *b = load_schedule_new (s);
  double work = 0;

  ASSERT_EQ (a->len, b->len);
  for (guint i = 0; i < a->len; i++)
    {
      auto *x = &g_array_index (a, load_item, i);
      auto *y = &g_array_index (b, load_item, i);

      ASSERT_EQ (x->at_us, y->at_us);
      ASSERT_EQ (x->organisation, y->organisation);
      ASSERT_GE (x->tokens, 10u);
      ASSERT_LE (x->tokens, 30u);
      work += x->work;
    }
  /* Load 1 of 3000 tokens a second over 20 s.  */
  EXPECT_NEAR (work, 60000, 6000);
  s->seed = 6;
  GArray *c = load_schedule_new (s);
  EXPECT_TRUE (c->len != a->len
               || g_array_index (c, load_item, 0).at_us
                      != g_array_index (a, load_item, 0).at_us);
  g_array_unref (a);
  g_array_unref (b);
  g_array_unref (c);
}

TEST_F (Scenario, BoundIsAllOfALightLoadAndCapacityOfAHeavyOne)
{
  g_array_set_size (s->faults, 0);
  load_bound light = bound_at (0.5);
  EXPECT_NEAR (light.work / light.offered, 1, 1e-6);
  load_bound_finish (&light);

  load_bound heavy = bound_at (4);
  /* 20 s of arrivals and what their last deadlines, 5 s later, leave.  */
  EXPECT_GT (heavy.work, 3000 * 20 * 0.97);
  EXPECT_LE (heavy.work, 3000 * 25);
  EXPECT_LT (heavy.work, heavy.offered);
  load_bound_finish (&heavy);
}

TEST_F (Scenario, BoundKnowsOfFaults)
{
  load_bound with = bound_at (2);
  g_array_set_size (s->faults, 0);
  load_bound without = bound_at (2);

  EXPECT_LT (with.work, without.work * 0.85);
  load_bound_finish (&with);
  load_bound_finish (&without);
}

/* A ticket of a router that has gone is worth nothing, and a request that
   takes one after the other uses up its tries.  */
TEST (Callers, ThrowAwayTheTicketsOfARouterThatIsGone)
{
  load_caller c = {};
  load_ticket *left;

  g_queue_init (&c.tickets);
  for (const char *address : { "gone:1", "other:1", "gone:1" })
    {
      load_ticket *t = g_new0 (load_ticket, 1);

      t->address = g_strdup (address);
      g_queue_push_tail (&c.tickets, t);
    }
  c.asking = true; /* No second ask beside the first.  */
  c.expires_us = 1;
  load_caller_disappointed (&c, "gone:1");
  EXPECT_EQ (c.expires_us, 0u);
  ASSERT_EQ (g_queue_get_length (&c.tickets), 1u);
  left = load_caller_ticket (&c);
  EXPECT_STREQ (left->address, "other:1");
  load_ticket_free (left);
}

TEST (ScenarioFiles, RollingRestartsEachRouterOnce)
{
  GError *error = nullptr;
  load_scenario *s = read_scenario ("rolling", &error);
  std::set<std::string> restarted;

  ASSERT_NE (s, nullptr) << error->message;
  EXPECT_TRUE (s->cuts_nothing);
  for (guint i = 0; i < s->faults->len; i++)
    {
      auto *f = &g_array_index (s->faults, load_fault, i);

      if (f->kind != LOAD_FAULT_RESTART)
        continue;
      EXPECT_TRUE (restarted.insert (mq_str_cstr (f->target)).second);
    }
  EXPECT_EQ (s->routers, 7u);
  EXPECT_EQ (restarted.size (), 7u);
  load_scenario_free (s);
}

TEST (ScenarioFiles, ThoseThatComeWithTheProjectAreRead)
{
  for (const char *name : { "halvorsen", "tekle" })
    {
      GError *error = nullptr;
      load_scenario *s = read_scenario (name, &error);

      ASSERT_NE (s, nullptr) << error->message;
      EXPECT_EQ (s->organisations->len, 10u);
      EXPECT_EQ (s->failure_domains->len, 3u);
      load_scenario_free (s);
    }
}
