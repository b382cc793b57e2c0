/* Changes of upstreams that single routers would miss: one whose own watch is
   silent, a domain whose first relay is gone, and removals.  */

#include "support/draining_fleet.h"

using DrainingUpstream = gateway::DrainingFleet;
using UpstreamChange = gateway::RouterFleet;

/* One that says that it follows the store is not told by it.  */
TEST_F (DrainingUpstream, FollowerWithoutStoreIsToldByOthers)
{
  add_instances ();
  start_fleet ({ "one" });
  expect_drained (
      "/safe/1", [&] { routers[0]->door->silent = true; }, 0);
}

/* The router that was to propagate the change in its domain is gone.  */
TEST_F (DrainingUpstream, DomainIsToldWithoutItsFirstRelay)
{
  add_instances ();
  start_fleet ({ "one" });
  start_router ("three", 4);
  start_router ("three");
  start_router ("three");
  wait (1);
  expect_drained (
      "/safe/1", [&] { stop_router (*routers[4]); }, 0);
}

/* It leaves without having said so before, and is missing when the store is
   read again.  */
TEST_F (DrainingUpstream, RemovalIsToldToOthersAsFollowersLoseStore)
{
  add_instances ();
  start_fleet ({ "one", "three" });
  leave = [this] { store.remove ("servers", leaving->id); };
  expect_drained (
      "/safe/1", [&] { silence_followers (); }, 0.3);
}

TEST_F (DrainingUpstream, RemovalIsToldToOthersAfterHistoryWasLost)
{
  add_instances ();
  start_fleet ({ "one", "three" });
  leave = [this] {
    store.muted = true;
    store.remove ("servers", leaving->id);
    store.drop_events ();
    store.muted = false;
  };
  expect_drained (
      "/safe/1", [] {}, 0);
}

/* Guards against a router that takes its list for older than one that is the
   same, follows the store in addition to the others, and never stops.  */
TEST_F (UpstreamChange, RouterThatStartsAfterRemovalDoesNotFollow)
{
  store_followers = 1;
  configure (1);
  add ("app-a", "app");
  gateway::Upstream &b = add ("app-b", "app");
  start_router ("one", 8);
  store.remove ("servers", b.id);
  wait (0.3);
  Router &r = start_router ("two");
  wait (6);
  EXPECT_EQ (store.watchers ("servers", *r.door), 0u);
  EXPECT_EQ (store.watchers ("servers"), 1u);
}
