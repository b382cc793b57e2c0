/* The verbs of mqctl that query routers, with real routers.  */

#include "support/deployment.h"

using deployment::Deployment;
using programs::binary;
using programs::fetch;
using programs::Reply;

namespace
{

constexpr char operator_token[] = "yard-operators";

deployment::Options
options ()
{
  deployment::Options o;

  o.routers = 2;
  o.settings = ", 'operators': { 'token_sha256': '"
               + deployment::digest (operator_token) + "' }";
  return o;
}

class MqctlRouters : public ::testing::Test
{
protected:
  /* The output includes standard error.  */
  int
  ctl (std::vector<std::string> arguments)
  {
    arguments.insert (arguments.begin (), binary ("mqctl"));
    arguments.push_back ("--platform=" + fleet.platform ().url ());
    for (size_t i = 0; i < 2; i++)
      arguments.push_back ("--router=" + fleet.router (i).url ());
    std::string line;
    for (const std::string &a : arguments)
      line += "'" + a + "' ";
    return programs::run ({ "/bin/sh", "-c", line + "2>&1" }, &output);
  }

  bool
  output_has (const std::string &text) const
  {
    return output.find (text) != std::string::npos;
  }

  Deployment fleet{ options () };
  programs::Folder folder;
  std::string output;
};

} // namespace

TEST_F (MqctlRouters, StatusEntriesAndExplainPrintRouterState)
{
  ASSERT_TRUE (fleet.ready ());
  EXPECT_EQ (ctl ({ "status" }), 0);
  EXPECT_TRUE (output_has ("vm0") && output_has ("vm1")
               && output_has ("serving"))
      << output;
  EXPECT_EQ (ctl ({ "entries" }), 0);
  EXPECT_TRUE (output_has ("\"entries\"")) << output;

  Reply r = fetch (fleet.completion ("fault on unit 7", 5, false, 1));
  std::string id = r.headers["marjoramquay-request"];
  EXPECT_EQ (r.status, 200);
  EXPECT_EQ (ctl ({ "explain", id }), 0);
  EXPECT_TRUE (output_has ("done")) << output;
  EXPECT_EQ (ctl ({ "explain", "1" }), 0);
  EXPECT_TRUE (output_has ("10-yard.json")) << output;
  EXPECT_EQ (ctl ({ "explain", "no-such-thing" }), 3);
}

TEST_F (MqctlRouters, WaitReportsSuccessOrLaggingRouters)
{
  ASSERT_TRUE (fleet.ready ());
  std::string path
      = folder.write ("30-a.json", "{\"policy\":{\"stall_ms\":900}}");
  EXPECT_EQ (ctl ({ "drop", path, "--wait" }), 0);
  EXPECT_TRUE (output_has ("in force on 2 routers")) << output;

  fleet.router (1).kill (SIGSTOP);
  path = folder.write ("30-a.json", "{\"policy\":{\"stall_ms\":901}}");
  EXPECT_EQ (ctl ({ "drop", path, "--wait", "--timeout=0.5" }), 6);
  EXPECT_TRUE (output_has (fleet.router (1).url () + " does not answer")
               && !output_has (fleet.router (0).url ()))
      << output;
  fleet.router (1).kill (SIGCONT);
  EXPECT_EQ (ctl ({ "drop", path, "--wait" }), 0);
}

TEST_F (MqctlRouters, DrainStopsNamedRouter)
{
  ASSERT_TRUE (fleet.ready ());
  EXPECT_EQ (ctl ({ "drain", "vm9" }), 3);
  EXPECT_EQ (ctl ({ "drain", "vm1" }), 4);
  EXPECT_EQ (
      ctl ({ "drain", "vm1", std::string ("--token=") + operator_token }), 0);
  EXPECT_EQ (fleet.router (1).wait (), 0);
  EXPECT_EQ (ctl ({ "status" }), 4);
  EXPECT_TRUE (output_has ("vm0") && output_has ("no answer")) << output;
}
