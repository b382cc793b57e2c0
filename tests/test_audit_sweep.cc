/* The audit sweep deletes records older than the retention period, and only
   these.  */

#include "support/deployment.h"

#include <mq/audit.h>

using deployment::Deployment;
using programs::fetch;
using programs::Request;

namespace
{

/* Returns the name of an audit record's object from DAYS_AGO days ago.  */
std::string
record_name (unsigned days_ago)
{
  GString *p = g_string_new (nullptr);

  mq_audit_day_prefix ((uint64_t)g_get_real_time () / 1000, days_ago, p);
  std::string name = std::string (p->str) + "1-a-1";
  g_string_free (p, TRUE);
  return name;
}

} // namespace

TEST (AuditSweep, DeletesOnlyDaysPastRetention)
{
  Deployment testbed;
  ASSERT_TRUE (testbed.ready ());
  std::string objects = testbed.platform ().url () + "/v1/objects/";
  auto exists = [&] (unsigned days_ago) {
    return programs::get (objects + record_name (days_ago)).status == 200;
  };

  for (unsigned days : { 1u, 29u, 31u, 32u, 36u })
    {
      Request r;

      r.method = "PUT";
      r.url = objects + record_name (days);
      r.headers = { "If-None-Match: *" };
      r.body = "{\"kind\":\"mode\"}\n";
      ASSERT_EQ (fetch (r).status, 200);
    }
  /* A router sweeps soon after it starts.  */
  ASSERT_TRUE (testbed.add_router ());
  EXPECT_TRUE (programs::eventually (
      [&] { return !exists (31) && !exists (32) && !exists (36); }));
  EXPECT_TRUE (exists (1));
  EXPECT_TRUE (exists (29));
}
