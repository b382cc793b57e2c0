/* The routing policy against simulated engines in virtual time.  The bounds do
   not depend on the machine's speed.  mqbench_policy runs the same for
   longer.  */

#include <gtest/gtest.h>

#include <bench/trial.h>

namespace
{

trial_result
run (mq_routing routing, double load, trial_fault fault = TRIAL_NO_FAULT)
{
  trial_options o = {};
  trial_result r;

  o.seed = 7;
  o.routing = routing;
  o.load = load;
  o.seconds = 20;
  o.warm_seconds = 5;
  o.fault = fault;
  o.fault_at_seconds = 10;
  trial_run (&o, &r);
  return r;
}

} // namespace

TEST (Policy, CompletesNearlyAllBelowCapacity)
{
  trial_result r = run (MQ_ROUTING_DEADLINE, 0.8);

  EXPECT_GE (r.goodput, 0.95);
  EXPECT_LE (r.late_share, 0.001);
}

TEST (Policy, DoesNotCollapseUnderOverload)
{
  trial_result r = run (MQ_ROUTING_DEADLINE, 3.0);
  trial_result plain = run (MQ_ROUTING_ROUND_ROBIN, 3.0);

  EXPECT_GE (r.goodput, 0.90);
  EXPECT_LE (r.late_share, 0.001);
  EXPECT_GT (r.goodput, plain.goodput);
  EXPECT_GE (r.small_share, 0.75);
  EXPECT_GT (r.small_share, plain.small_share);
}

TEST (Policy, RecoversFromAFailedStageWithinASecond)
{
  trial_result r = run (MQ_ROUTING_DEADLINE, 1.5, TRIAL_STAGE_DIES);

  EXPECT_GE (r.recovery, 0);
  EXPECT_LE (r.recovery, 1.0);
}

TEST (Policy, SameSeedGivesSameResult)
{
  trial_result a = run (MQ_ROUTING_DEADLINE, 1.5);
  trial_result b = run (MQ_ROUTING_DEADLINE, 1.5);

  EXPECT_EQ (a.arrived, b.arrived);
  EXPECT_EQ (a.accepted, b.accepted);
  EXPECT_EQ (a.done, b.done);
}
