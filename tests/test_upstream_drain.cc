/* Upstreams that drain while the routers that follow the store lose it.  */

#include "support/draining_fleet.h"

using DrainingUpstream = gateway::DrainingFleet;

TEST_F (DrainingUpstream, InstanceIsLeftAloneAsFollowersLoseStore)
{
  add_instances ();
  start_fleet ({ "one", "three" });
  expect_drained (
      "/safe/1", [&] { silence_followers (); }, 0);
}

TEST_F (DrainingUpstream, InstanceIsLeftAloneAfterFollowersLostStore)
{
  add_instances ();
  start_fleet ({ "one", "three" });
  expect_drained (
      "/unsafe/1", [&] { silence_followers (); }, 1);
}

TEST_F (DrainingUpstream, HeadIsLeftAloneAsFollowersLoseStore)
{
  add_chains (true);
  start_fleet ({ "one", "three" });
  expect_drained (
      "/stream/1", [&] { silence_followers (); }, 0.3);
}

TEST_F (DrainingUpstream, StageIsLeftAloneAsFollowersLoseStore)
{
  add_chains (false);
  start_fleet ({ "one", "three" });
  expect_drained (
      "/stream/1", [&] { silence_followers (); }, 0.3);
}

/* The routers that would follow next lose it too.  */
TEST_F (DrainingUpstream, InstanceIsLeftAloneAsHalfOfFleetLosesStore)
{
  add_instances ();
  start_fleet ({ "one", "two", "three" });
  auto strike = [&] {
    silence_followers ();
    routers[2]->door->silent = routers[4]->door->silent = true;
  };
  expect_drained ("/safe/1", strike, 0.3);
}
