/* A call that crashes its plain service each time, in native mode.  The client
   sends it again as a new call each time; the router must quarantine it after
   a few crashes.  */

#include "support/deployment.h"
#include "support/crashing_service.h"

using crashing::crash_body;
using deployment::Deployment;
using deployment::Options;

TEST (CrashingCall, IsQuarantinedAfterFewCrashes)
{
  crashing::Service service;
  Options o;

  o.plain = service.url ();
  Deployment testbed (o);
  ASSERT_TRUE (testbed.ready ());
  for (int i = 0; i < 10; i++)
    {
      programs::fetch (testbed.booking ("POST", "/units", crash_body));
      std::this_thread::sleep_for (std::chrono::milliseconds (1500));
    }
  /* Three crashes, and at most as many until they are detected.  */
  EXPECT_LE (service.arrivals, 6u);
  auto r = programs::fetch (testbed.booking ("POST", "/units", crash_body));
  EXPECT_EQ (r.status, 503);
  EXPECT_NE (r.body.find ("quarantined"), std::string::npos) << r.body;
  EXPECT_EQ (
      programs::fetch (testbed.booking ("POST", "/units", "another call"))
          .status,
      200);
}
