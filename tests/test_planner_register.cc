/* Registration of attempts that another planner placed: they are counted
   without a new placement.  */

#include "planner_sim.h"

#include <gtest/gtest.h>

namespace
{

class PlannerRegister : public ::testing::Test, public PlannerSim
{
protected:
  mq_plan plan;

  void
  SetUp () override
  {
    mq_str *name = mq_str_new (MQ_SPAN ("a"));

    add_engine ("a", 0, 8);
    configure ();
    mq_plan_init (&plan);
    plan.layers = 8;
    mq_plan_add (&plan, name, name, 0, 8);
    mq_str_unref (name);
  }

  void
  TearDown () override
  {
    mq_plan_finish (&plan);
  }

  mq_request_id
  register_one (uint64_t router = 7)
  {
    mq_planner_event e = event (MQ_PLANNER_REGISTER);

    e.u.registered.request = make_request ();
    e.u.registered.request.id.router = router;
    e.u.registered.plan = &plan;
    handle (e);
    EXPECT_EQ (actions->len, 0u);
    return e.u.registered.request.id;
  }
};

} // namespace

TEST_F (PlannerRegister, CountsAnAttemptUntilItsRelease)
{
  mq_request_id id = register_one ();

  EXPECT_EQ (mq_planner_in_flight (planner), 1u);
  release (id);
  EXPECT_EQ (mq_planner_in_flight (planner), 0u);
}

TEST_F (PlannerRegister, CountsARepeatedRegistrationOnce)
{
  mq_planner_event e = event (MQ_PLANNER_REGISTER);

  e.u.registered.request = make_request ();
  e.u.registered.plan = &plan;
  handle (e);
  handle (e);
  EXPECT_EQ (mq_planner_in_flight (planner), 1u);
}

TEST_F (PlannerRegister, RefusesWhenRegisteredAttemptsFillTheEngine)
{
  int admitted = 0;

  while (request ().kind == MQ_PLANNER_ADMIT)
    admitted++;
  ASSERT_GT (admitted, 0);
  mq_planner_event removed = event (MQ_PLANNER_ROUTER_REMOVED);
  removed.u.router = 1;
  handle (removed);
  EXPECT_EQ (mq_planner_in_flight (planner), 0u);
  for (int i = 0; i < admitted; i++)
    register_one ();
  EXPECT_EQ (request ().kind, MQ_PLANNER_REFUSE);
}

TEST_F (PlannerRegister, RemovedRouterClosesItsAttempts)
{
  mq_planner_event e = event (MQ_PLANNER_ROUTER_REMOVED);

  register_one (7);
  register_one (8);
  e.u.router = 7;
  handle (e);
  EXPECT_EQ (mq_planner_in_flight (planner), 1u);
}

TEST_F (PlannerRegister, IgnoresAPlanWithAnUnknownEngine)
{
  mq_str *name = mq_str_new (MQ_SPAN ("nobody"));

  mq_plan_finish (&plan);
  plan.layers = 8;
  mq_plan_add (&plan, name, name, 0, 8);
  mq_str_unref (name);
  register_one ();
  EXPECT_EQ (mq_planner_in_flight (planner), 0u);
}
