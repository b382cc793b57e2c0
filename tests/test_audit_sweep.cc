/* Old days of the audit trail go; what is kept stays.  */

#include "support/deployment.h"

#include <mq/audit.h>

using deployment::Deployment;
using programs::fetch;
using programs::Request;

namespace
{

/* The name of a record's object of DAYS_AGO.  */
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

TEST (AuditSweep, DaysPastTheLastKeptAreDeleted)
{
  Deployment yard;
  ASSERT_TRUE (yard.ready ());
  std::string objects = yard.platform ().url () + "/v1/objects/";
  auto there = [&] (unsigned days_ago) {
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
  /* A router that starts looks soon.  */
  ASSERT_TRUE (yard.add_router ());
  EXPECT_TRUE (programs::eventually (
      [&] { return !there (31) && !there (32) && !there (36); }));
  EXPECT_TRUE (there (1));
  EXPECT_TRUE (there (29));
}
