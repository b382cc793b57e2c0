/* Comments tell no story of measurements, and identifiers use the terms of
   docs/GLOSSARY.md.  */

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <regex>
#include <sstream>
#include <string>
#include <vector>

namespace
{

namespace fs = std::filesystem;

struct Rule
{
  const char *pattern;
  const char *advice;
};

/* In comments: what belongs into a commit or docs/MEASURES.md.  */
const Rule comment_rules[] = {
  { "\\b(halvorsen|tekle|vlmcha|kamloops|surrey-office|prince-george)\\b",
    "no name of a deployment" },
  { "\\b(trouble|scale|quiet|fresh|mix|hunt)-[0-9a-f]+\\b", "no day" },
  { "--seed\\b|\\bhunted\\b|\\bfleetbench\\b|\\bthe bench\\b", "no bench" },
  { "\\bcalm days?\\b|\\busers' deployments\\b", "no deployment" },
  { "\\b[0-9]{1,3},[0-9]{3} (of|to|requests|messages|further)\\b",
    "no figures of a measurement" },
  { "\\b(runs?|days?) (was|were) measured\\b|\\bmeasured against\\b",
    "no account of a measurement" },
  { "\\brosters?\\b", "cluster" },
  { "\\bparcels?\\b", "cluster message" },
  { "\\bin vain\\b", "without a reply, unsuccessfully" },
  { "\\b(stands|stood) at\\b|\\bended under\\b", "crash, suspected of" },
  { "\\b([Nn]ative|[Rr]outing) face\\b", "native mode, gateway mode" },
  { "\\b[Tt]urn(s|ed|ing)? away\\b|\\bsent off\\b", "reject" },
  { "\\b[Pp]ut aside\\b|\\b[Pp]assed over\\b", "eject" },
  { "\\b[Ff]urther sends?\\b", "retry" },
  { "\\b[Ll]ooked into\\b", "probe, report pending" },
  { "\\bcrowded\\b", "saturated" },
  { "\\bpatience\\b", "try timeout" },
  { "\\bstor(y|ies)\\b", "log buffer, trace" },
  { "\\binnocent\\b", "cleared" },
  { "\\bwork(s|ed)? out\\b", "compute" },
};

/* In identifiers.  */
const Rule identifier_rules[] = {
  { "\\b\\w*turn(ed)?_away\\w*", "reject" },
  { "\\b\\w*put_aside(?!_percent)\\w*|\\b\\w*hear_aside\\w*", "eject" },
  { "\\b\\w*looked_into\\w*", "probe, report pending" },
  { "\\b\\w*way_load\\w*|\\bplace_way\\b|\\bmq_way_\\w+", "path" },
  { "\\b\\w*RETURNED(_MS)?\\b|\\b\\w*return_ms\\b", "retry, retry_after" },
  { "\\b\\w*(free_power|FREE_POWER)\\w*", "weight exponent" },
  { "\\b(MIN_|MAX_)?PATIENCE\\w*", "try timeout" },
  { "\\b[A-Z][A-Z0-9_]*_(MOST|LEAST)\\w*", "MAX_ or MIN_" },
  { "\\bmq_roster\\w*|\\broster\\w*|\\bMQ_ROSTER\\w*", "cluster" },
  { "\\bmq_(news|parcel)\\w*|\\bMQ_(NEWS|PARCEL)\\w*",
    "gossip, member update, cluster message" },
  { "pass(es|ed)?_on(_|\\b)", "propagate" },
  { "\\bmq_log_story\\w*", "log buffer" },
  { "\\bmq_ends_\\w*|\\bMQ_ENDS\\w*|_stood", "crash, suspected" },
  { "(routing|native)_face", "gateway mode, native mode" },
  { "\\bmq_(plan|limit|platform)_ask\\w*", "request" },
  { "\\binnocent\\w*", "cleared" },
  { "\\bheard_us\\b", "received_us" },
  { "crowded|CROWDED", "saturated" },
  { "_anew\\b", "again, restart, recompute" },
};

struct Finding
{
  size_t line;
  std::string text, advice;
};

size_t
line_of (const std::string &text, size_t at)
{
  return 1
         + (size_t)std::count (text.begin (), text.begin () + (long)at, '\n');
}

template <size_t N>
void
search (const std::string &text, const Rule (&rules)[N],
        std::vector<Finding> &found)
{
  for (const Rule &r : rules)
    {
      std::regex pattern (r.pattern);

      for (std::sregex_iterator i (text.begin (), text.end (), pattern), end;
           i != end; ++i)
        found.push_back (
            { line_of (text, (size_t)i->position ()), i->str (), r.advice });
    }
}

/* TEXT with all but its comments, or these, made blank.  Runs of blanks become
   one, which keeps the search fast.  */
std::string
blank (const std::string &text, bool comments)
{
  std::string out;
  bool inside = false;

  for (size_t i = 0; i < text.size (); i++)
    {
      bool opens = !inside && text.compare (i, 2, "/*") == 0;
      bool closes = inside && text.compare (i, 2, "*/") == 0;
      char c = text[i];

      inside = inside || opens;
      if (c != '\n' && inside == comments)
        c = ' ';
      if (c != ' ' || out.empty () || out.back () != ' ')
        out += c;
      if (closes)
        inside = false;
    }
  return out;
}

std::vector<Finding>
check (const std::string &text)
{
  std::vector<Finding> found;

  search (blank (text, false), comment_rules, found);
  search (blank (text, true), identifier_rules, found);
  return found;
}

} // namespace

TEST (Terms, LinesThatMustFail)
{
  for (const char *line : { "/* As halvorsen has it.  */",
                            "/* Found on trouble-2.  */",
                            "/* 1,980 to 1,248 of 94,000 requests.  */",
                            "/* Gaps that were measured against steps.  */",
                            "/* On a calm day.  */",
                            "mq_forward_turn_away (f);",
                            "#define WAYS_MOST 64",
                            "#define PARK_MOST_US 3",
                            "x = free_power (1);",
                            "MQ_DOMAIN_RETURNED,",
                            "mq_upstream_put_aside (u);",
                            "/* Adds it to the roster.  */",
                            "/* One parcel each.  */",
                            "/* The search was in vain.  */",
                            "/* It stood at a crash.  */",
                            "/* Two upstreams ended under it.  */",
                            "/* The native face.  */",
                            "/* The routing face.  */",
                            "/* A request turned away.  */",
                            "/* Clients are sent off.  */",
                            "/* The engine is put aside.  */",
                            "/* One that is passed over.  */",
                            "/* Counts further sends.  */",
                            "/* A path that is looked into.  */",
                            "/* A crowded engine.  */",
                            "/* Our patience.  */",
                            "/* A request's story.  */",
                            "/* It is innocent.  */",
                            "/* Works out: work out the sum.  */",
                            "PATH_MOST_ROUTES_HELD,",
                            "PATH_MOST2,",
                            "mq_roster_find (r);",
                            "x = roster_size;",
                            "MQ_ROSTER_SIZE,",
                            "mq_news news;",
                            "mq_parcel *p;",
                            "MQ_NEWS_ROUTER,",
                            "mq_pass_on_due (p);",
                            "gateway_pass_on (g);",
                            "mq_log_story_flush (s);",
                            "mq_ends_add (e);",
                            "MQ_ENDS_MAX,",
                            "who_stood (e);",
                            "run_routing_face (o);",
                            "native_face (o);",
                            "mq_plan_ask ask;",
                            "mq_limit_ask ask;",
                            "mq_platform_ask_send (a);",
                            "bool innocent;",
                            "now - m->heard_us;",
                            "is_crowded (u);",
                            "#define CROWDED_US 3",
                            "chains_anew (d);" })
    EXPECT_FALSE (check (line).empty ()) << line;
}

TEST (Terms, LinesThatMustPass)
{
  for (const char *line : { "/* A scale of 2.  */",
                            "/* Most of 30 routers.  */",
                            "/* The least of all; at most 3.  */",
                            "mq_forward_reject (f);",
                            "#define MAX_PATHS 64",
                            "g_log (\"upstream.blamed\");",
                            "/* Up to 65,536 in one message.  */",
                            "options.seed = 1;",
                            "/* A cluster message in cluster order.  */",
                            "/* In vanilla form.  */",
                            "/* It understood at once; stand at rest.  */",
                            "/* The native mode, facing clients.  */",
                            "/* Turns the key; away from it.  */",
                            "/* Put it aside_percent.  */",
                            "/* Its history.  */",
                            "/* Passed overlapping ranges.  */",
                            "/* A further sender.  */",
                            "/* The layout works.  */",
                            "MAX_PATH_BYTES,",
                            "mq_cluster_find (c);",
                            "mq__news__router__init (to);",
                            "mq__news__parcel__pack (m, p);",
                            "mq_span news;",
                            "bypass_once ();",
                            "mq_log (l, \"member.heard\", \"heard=%d\", 1);",
                            "e->history_used++;",
                            "mq_blends_at (e);",
                            "is_understood (x);",
                            "mq__peer__plan_ask__init (to);",
                            "out.heard_ms = 3;",
                            "surface (x);" })
    EXPECT_TRUE (check (line).empty ()) << line;
}

TEST (Terms, TheCodeUsesThoseOfTheGlossary)
{
  const char *source = getenv ("MQ_SOURCE");
  fs::path root = source ? source : ".";
  unsigned files = 0;

  for (const char *folder : { "packages", "programs", "platform", "include" })
    for (auto &f : fs::recursive_directory_iterator (root / folder))
      {
        std::ifstream in (f.path ());
        std::stringstream s;

        if (f.path ().extension () != ".c" && f.path ().extension () != ".h")
          continue;
        files++;
        s << in.rdbuf ();
        for (const Finding &x : check (s.str ()))
          ADD_FAILURE () << f.path ().string () << ":" << x.line << ": \""
                         << x.text << "\": " << x.advice;
      }
  EXPECT_GT (files, 200u);
}
