/* Upstreams that say in their responses that they are leaving, before or
   without their entry in the store saying so.  */

#include "support/router_fleet.h"

#include <algorithm>

using gateway::key;
using gateway::Upstream;

namespace
{

class UpstreamLeaving : public gateway::RouterFleet
{
protected:
  /* Within this time a router sends nothing more to an upstream whose response
     said that it leaves; the rule allows 2 s.  */
  static constexpr double grace_s = 0.2;
  /* Within this time the other routers know, too.  */
  static constexpr double propagation_s = 1;

  /* Let U announce that it leaves, and send requests for TARGET by ROUTER
     until one has reached it.  */
  void
  announce (Upstream &u, const std::string &target, Router &router)
  {
    size_t before = u.arrivals.size ();

    u.notices = { { "Server-Leaving", "1" } };
    for (int i = 0; i < 50 && u.arrivals.size () == before; i++)
      EXPECT_EQ (fetch ("GET", target, key, "", router.base).status, 200u);
    ASSERT_GT (u.arrivals.size (), before);
  }

  /* The number of requests that reach U when ROUTER gets 20 for TARGET.  */
  size_t
  arrivals_of_requests (Upstream &u, const std::string &target, Router &router)
  {
    size_t before = u.arrivals.size ();

    for (int i = 0; i < 20; i++)
      EXPECT_EQ (fetch ("GET", target, key, "", router.base).status, 200u);
    return u.arrivals.size () - before;
  }
};

} // namespace

TEST_F (UpstreamLeaving, InstanceGetsNothingMore)
{
  Upstream &leaving = add ("app-a", "app");
  add ("app-b", "app");
  start_routers (1);
  announce (leaving, "/unsafe/1", *routers[0]);
  wait (grace_s);
  EXPECT_EQ (arrivals_of_requests (leaving, "/unsafe/1", *routers[0]), 0u);
}

TEST_F (UpstreamLeaving, HeadOfPathGetsNothingMore)
{
  Upstream &leaving = add_engine ("eng-1", "one");
  add_engine ("eng-2", "two");
  start_routers (1);
  announce (leaving, "/stream/1", *routers[0]);
  wait (grace_s);
  EXPECT_EQ (arrivals_of_requests (leaving, "/stream/1", *routers[0]), 0u);
}

/* The store can't say it.  */
TEST_F (UpstreamLeaving, IsLeftAloneWhileStoreIsDown)
{
  Upstream &leaving = add ("app-a", "app");
  add ("app-b", "app");
  start_routers (1);
  store.down = true;
  store.drop_events ();
  announce (leaving, "/unsafe/1", *routers[0]);
  wait (2.5);
  EXPECT_EQ (arrivals_of_requests (leaving, "/unsafe/1", *routers[0]), 0u);
}

TEST_F (UpstreamLeaving, IsReportedToOtherRouters)
{
  Upstream &leaving = add ("app-a", "app");
  add ("app-b", "app");
  start_routers (2);
  announce (leaving, "/unsafe/1", *routers[0]);
  wait (propagation_s);
  EXPECT_EQ (arrivals_of_requests (leaving, "/unsafe/1", *routers[1]), 0u);
  /* A router that starts now has never had a response from it.  */
  Router &late = start_router ();
  wait (propagation_s);
  EXPECT_EQ (arrivals_of_requests (leaving, "/unsafe/1", late), 0u);
}
