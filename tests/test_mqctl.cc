/* mqctl with real processes: verbs, exit codes, races and outages.  */

#include <mq/audit.h>

#include "support/programs.h"

using programs::binary;
using programs::Folder;
using programs::Program;

namespace
{

const char organisation[]
    = "{\"organisations\":{\"a\":{\"token_sha256\":"
      "\"2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b\"}},"
      "\"models\":{\"m\":{\"version\":\"v1\",\"layers\":4}}}";

std::string
service (int deadline_ms)
{
  return "{\"services\":{\"s\":{\"kind\":\"model\",\"model\":\"m\","
         "\"deadline_ms\":"
         + std::to_string (deadline_ms) + "}}}";
}

class Mqctl : public ::testing::Test
{
protected:
  Mqctl ()
  {
    folder.write ("10-base.json", organisation);
    folder.write ("20-service.json", service (2000));
  }

  std::vector<std::string>
  command (std::vector<std::string> arguments)
  {
    arguments.insert (arguments.begin (), binary ("mqctl"));
    arguments.push_back ("--platform=" + platform.url ());
    return arguments;
  }

  int
  ctl (const std::vector<std::string> &arguments)
  {
    return programs::run (command (arguments), &output);
  }

  void
  fault (const std::string &body)
  {
    programs::Request r;

    r.method = "POST";
    r.url = platform.url () + "/fault";
    r.body = body;
    programs::fetch (r);
  }

  bool
  output_has (const std::string &text) const
  {
    return output.find (text) != std::string::npos;
  }

  Program platform{ { binary ("mqstand"), "platform",
                      "--listen=127.0.0.1:0" } };
  Folder folder;
  std::string output;
};

} // namespace

TEST_F (Mqctl, CheckWorksOfflineAndReportsLocation)
{
  EXPECT_EQ (
      programs::run ({ binary ("mqctl"), "check", folder.path () }, &output),
      0);
  EXPECT_TRUE (output_has ("2 files are valid")) << output;
  folder.write ("30-bad.json", "{\"services\":{\"s\":\n{\"model\":\"x\"}}}");
  EXPECT_EQ (
      programs::run ({ binary ("mqctl"), "check", folder.path (), "--json" },
                     &output),
      1);
  EXPECT_TRUE (
      output_has ("30-bad.json:2: services.s.model: model x is not defined"))
      << output;
}

/* docs/CONFIGURATION.md refers to this folder.  */
TEST_F (Mqctl, ExampleConfigurationIsValid)
{
  EXPECT_EQ (programs::run ({ binary ("mqctl"), "check", "--json",
                              std::string (std::getenv ("MQ_SOURCE"))
                                  + "/examples/config" },
                            &output),
             0);
  EXPECT_TRUE (output_has ("\"warnings\":[]")
               || output_has ("\"warnings\": [ ]"))
      << output;
}

TEST_F (Mqctl, ApplyDropAndTakeAreShownAndLogged)
{
  EXPECT_EQ (ctl ({ "apply", folder.path (), "--who=ann", "--why=first" }), 0);
  EXPECT_TRUE (output_has ("generation 1")) << output;
  EXPECT_EQ (ctl ({ "apply", folder.path () }), 0);
  EXPECT_TRUE (output_has ("nothing to change")) << output;

  std::string quick = folder.write ("30-quick.json", service (3000));
  EXPECT_EQ (ctl ({ "drop", quick, "--who=bob" }), 0);
  EXPECT_EQ (ctl ({ "files" }), 0);
  EXPECT_TRUE (output_has ("30-quick.json") && output_has ("bob")) << output;
  EXPECT_EQ (ctl ({ "show" }), 0);
  EXPECT_TRUE (output_has ("services.s.deadline_ms") && output_has ("3000")
               && output_has ("30-quick.json:1"))
      << output;
  EXPECT_EQ (ctl ({ "take", "30-quick.json", "--why=done" }), 0);
  EXPECT_EQ (ctl ({ "take", "30-quick.json" }), 3);
  EXPECT_EQ (ctl ({ "log" }), 0);
  EXPECT_TRUE (output_has ("first") && output_has ("+30-quick.json")
               && output_has ("-30-quick.json") && output_has ("done"))
      << output;
  EXPECT_EQ (ctl ({ "log", "--json" }), 0);
  EXPECT_TRUE (output_has ("\"generation\":3")) << output;
}

TEST_F (Mqctl, PruneRemovesFilesMissingInFolder)
{
  EXPECT_EQ (ctl ({ "apply", folder.path () }), 0);
  Folder other;
  other.write ("10-base.json", organisation);
  EXPECT_EQ (ctl ({ "apply", other.path () }), 0);
  EXPECT_EQ (ctl ({ "files" }), 0);
  EXPECT_TRUE (output_has ("20-service.json")) << output;
  EXPECT_EQ (ctl ({ "apply", other.path (), "--prune" }), 0);
  EXPECT_EQ (ctl ({ "files" }), 0);
  EXPECT_FALSE (output_has ("20-service.json")) << output;
}

TEST_F (Mqctl, RejectsChangeThatMakesConfigurationInvalid)
{
  EXPECT_EQ (ctl ({ "apply", folder.path () }), 0);
  EXPECT_EQ (ctl ({ "take", "10-base.json" }), 1);
  EXPECT_EQ (ctl ({ "files" }), 0);
  EXPECT_TRUE (output_has ("generation 1") && output_has ("10-base.json"))
      << output;
}

TEST_F (Mqctl, StaleBaseIsConflict)
{
  EXPECT_EQ (ctl ({ "apply", folder.path () }), 0);
  EXPECT_EQ (ctl ({ "drop", folder.write ("30-a.json", service (10)) }), 0);
  EXPECT_EQ (
      ctl ({ "drop", folder.write ("30-a.json", service (20)), "--base=1" }),
      3);
  EXPECT_EQ (
      ctl ({ "drop", folder.write ("30-a.json", service (20)), "--base=2" }),
      0);
}

TEST_F (Mqctl, LostRepliesAreResolvedByReadingBack)
{
  EXPECT_EQ (ctl ({ "apply", folder.path () }), 0);
  fault ("{\"lose_replies\":2}");
  EXPECT_EQ (ctl ({ "drop", folder.write ("30-a.json", service (10)) }), 0);
  EXPECT_EQ (ctl ({ "log", "--json" }), 0);
  EXPECT_TRUE (output_has ("\"generation\":2")
               && !output_has ("\"generation\":3"))
      << output;
}

TEST_F (Mqctl, OutageIsReportedAsUnavailable)
{
  fault ("{\"outage_ms\":60000}");
  EXPECT_EQ (ctl ({ "apply", folder.path (), "--timeout=0.3" }), 4);
  fault ("{\"clear\":true}");
  EXPECT_EQ (ctl ({ "files" }), 0);
  EXPECT_TRUE (output_has ("generation 0")) << output;
}

TEST_F (Mqctl, ConcurrentChangesAreAllCommitted)
{
  constexpr int n = 12;
  std::vector<std::unique_ptr<Program> > operators;

  EXPECT_EQ (ctl ({ "apply", folder.path () }), 0);
  for (int i = 0; i < n; i++)
    {
      std::string name = "40-" + std::to_string (i) + ".json";
      std::string path = folder.write (name, service (100 + i));

      operators.push_back (std::make_unique<Program> (
          command ({ "drop", path, "--timeout=60" })));
    }
  for (auto &o : operators)
    EXPECT_EQ (o->wait (), 0);
  EXPECT_EQ (ctl ({ "files" }), 0);
  EXPECT_TRUE (output_has ("generation " + std::to_string (n + 1))) << output;
  for (int i = 0; i < n; i++)
    EXPECT_TRUE (output_has ("40-" + std::to_string (i) + ".json")) << output;
}

TEST_F (Mqctl, ArchivedChangesStayInLog)
{
  EXPECT_EQ (ctl ({ "apply", folder.path () }), 0);
  for (int i = 0; i < 70; i++)
    ASSERT_EQ (ctl ({ "drop", folder.write ("30-a.json", service (10 + i)) }),
               0);
  EXPECT_EQ (ctl ({ "log", "--json" }), 0);
  for (int g : { 1, 2, 31, 32, 33, 64, 65, 71 })
    EXPECT_TRUE (output_has ("\"generation\":" + std::to_string (g) + ","))
        << g;
}

TEST_F (Mqctl, LogShowsAuditRecordsOfRouters)
{
  uint64_t now_ms = (uint64_t)g_get_real_time () / 1000;
  GString *text = g_string_new (nullptr);
  mq_audit_record r = {};
  programs::Request put;

  r.kind = MQ_AUDIT_ORDER;
  r.wall_ms = now_ms;
  r.who = MQ_SPAN ("yard-vm");
  r.what = MQ_SPAN ("engine e1");
  r.why = MQ_SPAN ("layers 4 to 7 are missing");
  r.after = MQ_SPAN ("m v1 [4, 8)");
  mq_audit_encode (&r, text);
  put.method = "PUT";
  put.url = platform.url () + "/v1/objects/audit/2026-12-02/"
            + std::to_string (now_ms) + "-0000000000000001-1";
  put.headers = { "If-None-Match: *" };
  put.body = text->str;
  EXPECT_EQ (programs::fetch (put).status, 200);
  g_string_free (text, TRUE);

  EXPECT_EQ (ctl ({ "apply", folder.path (), "--why=first" }), 0);
  EXPECT_EQ (ctl ({ "log" }), 0);
  EXPECT_TRUE (output_has ("engine e1")
               && output_has ("layers 4 to 7 are missing")
               && output_has ("first"))
      << output;
  EXPECT_EQ (ctl ({ "log", "--json", "--hours=0.0000001" }), 0);
  EXPECT_FALSE (output_has ("engine e1")) << output;
}

TEST_F (Mqctl, InvalidUsageHasItsOwnExitCode)
{
  EXPECT_EQ (programs::run ({ binary ("mqctl") }), 2);
  EXPECT_EQ (programs::run ({ binary ("mqctl"), "frob" }), 2);
  EXPECT_EQ (programs::run ({ binary ("mqctl"), "apply" }), 2);
  EXPECT_EQ (programs::run ({ binary ("mqctl"), "status" }), 2);
  EXPECT_EQ (ctl ({ "apply", "/nowhere" }), 1);
  EXPECT_EQ (ctl ({ "files", "--timeout=-1" }), 2);
}
