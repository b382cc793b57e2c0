/* mqctl's verbs that ask routers, against real ones.  */

#include "support/deployment.h"

using deployment::Deployment;
using programs::binary;
using programs::fetch;
using programs::Reply;

namespace
{

constexpr char operators_token[] = "yard-operators";

deployment::Options
options ()
{
  deployment::Options o;

  o.routers = 2;
  o.settings = ", 'operators': { 'token_sha256': '"
               + deployment::digest (operators_token) + "' }";
  return o;
}

class MqctlRouters : public ::testing::Test
{
protected:
  /* What goes to standard error is in the output too.  */
  int
  ctl (std::vector<std::string> arguments)
  {
    arguments.insert (arguments.begin (), binary ("mqctl"));
    arguments.push_back ("--platform=" + yard.platform ().url ());
    for (size_t i = 0; i < 2; i++)
      arguments.push_back ("--router=" + yard.router (i).url ());
    std::string line;
    for (const std::string &a : arguments)
      line += "'" + a + "' ";
    return programs::run ({ "/bin/sh", "-c", line + "2>&1" }, &output);
  }

  bool
  says (const std::string &text) const
  {
    return output.find (text) != std::string::npos;
  }

  Deployment yard{ options () };
  programs::Folder folder;
  std::string output;
};

} // namespace

TEST_F (MqctlRouters, StatusEntriesAndExplain)
{
  ASSERT_TRUE (yard.ready ());
  EXPECT_EQ (ctl ({ "status" }), 0);
  EXPECT_TRUE (says ("vm0") && says ("vm1") && says ("serving")) << output;
  EXPECT_EQ (ctl ({ "entries" }), 0);
  EXPECT_TRUE (says ("\"entries\"")) << output;

  Reply r = fetch (yard.completion ("fault on unit 7", 5, false, 1));
  std::string id = r.headers["marjoramquay-request"];
  EXPECT_EQ (r.status, 200);
  EXPECT_EQ (ctl ({ "explain", id }), 0);
  EXPECT_TRUE (says ("done")) << output;
  EXPECT_EQ (ctl ({ "explain", "1" }), 0);
  EXPECT_TRUE (says ("10-yard.json")) << output;
  EXPECT_EQ (ctl ({ "explain", "no-such-thing" }), 3);
}

TEST_F (MqctlRouters, WaitTellsWhenAllFollowAndWhoLags)
{
  ASSERT_TRUE (yard.ready ());
  std::string path
      = folder.write ("30-a.json", "{\"policy\":{\"stall_ms\":900}}");
  EXPECT_EQ (ctl ({ "drop", path, "--wait" }), 0);
  EXPECT_TRUE (says ("in force on 2 routers")) << output;

  yard.router (1).kill (SIGSTOP);
  path = folder.write ("30-a.json", "{\"policy\":{\"stall_ms\":901}}");
  EXPECT_EQ (ctl ({ "drop", path, "--wait", "--timeout=0.5" }), 6);
  EXPECT_TRUE (says (yard.router (1).url () + " does not answer")
               && !says (yard.router (0).url ()))
      << output;
  yard.router (1).kill (SIGCONT);
  EXPECT_EQ (ctl ({ "drop", path, "--wait" }), 0);
}

TEST_F (MqctlRouters, DrainEndsTheRouterThatIsNamed)
{
  ASSERT_TRUE (yard.ready ());
  EXPECT_EQ (ctl ({ "drain", "vm9" }), 3);
  EXPECT_EQ (ctl ({ "drain", "vm1" }), 4);
  EXPECT_EQ (
      ctl ({ "drain", "vm1", std::string ("--token=") + operators_token }), 0);
  EXPECT_EQ (yard.router (1).wait (), 0);
  EXPECT_EQ (ctl ({ "status" }), 4);
  EXPECT_TRUE (says ("vm0") && says ("no answer")) << output;
}
