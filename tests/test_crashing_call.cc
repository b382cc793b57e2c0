/* A call under which a plain service ends each time, at routers that speak to
   callers themselves.  Its caller sends it again as a new call, and each call
   was judged by itself: the service ended as often as it came.  */

#include "support/deployment.h"
#include "support/crashing_service.h"

using crashing::crash_body;
using deployment::Deployment;
using deployment::Options;

TEST (CrashingCall, ReachesItsServiceFewTimes)
{
  crashing::Service service;
  Options o;

  o.plain = service.url ();
  Deployment d (o);
  ASSERT_TRUE (d.ready ());
  for (int i = 0; i < 10; i++)
    {
      programs::fetch (d.booking ("POST", "/units", crash_body));
      std::this_thread::sleep_for (std::chrono::milliseconds (1500));
    }
  /* Three, and as many more until that is known.  */
  EXPECT_LE (service.arrivals, 6u);
  auto r = programs::fetch (d.booking ("POST", "/units", crash_body));
  EXPECT_EQ (r.status, 503);
  EXPECT_NE (r.body.find ("quarantined"), std::string::npos) << r.body;
  EXPECT_EQ (
      programs::fetch (d.booking ("POST", "/units", "another call")).status,
      200);
}
