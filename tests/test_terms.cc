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
  { "\\b[A-Z][A-Z0-9_]*_(MOST|LEAST)(_[A-Z]+)?\\b", "MAX_ or MIN_" },
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

/* TEXT with all but its comments, or these, made blank.  */
std::string
blank (const std::string &text, bool comments)
{
  std::string out = text;
  bool inside = false;

  for (size_t i = 0; i < text.size (); i++)
    {
      bool opens = !inside && text.compare (i, 2, "/*") == 0;
      bool closes = inside && text.compare (i, 2, "*/") == 0;

      inside = inside || opens;
      if (text[i] != '\n' && inside == comments)
        out[i] = ' ';
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
  for (const char *line :
       { "/* As halvorsen has it.  */", "/* Found on trouble-2.  */",
         "/* 1,980 to 1,248 of 94,000 requests.  */",
         "/* Gaps that were measured against steps.  */",
         "/* On a calm day.  */", "mq_forward_turn_away (f);",
         "#define WAYS_MOST 64", "#define PARK_MOST_US 3",
         "x = free_power (1);", "MQ_DOMAIN_RETURNED,",
         "mq_upstream_put_aside (u);" })
    EXPECT_FALSE (check (line).empty ()) << line;
}

TEST (Terms, LinesThatMustPass)
{
  for (const char *line :
       { "/* A scale of 2.  */", "/* Most of 30 routers.  */",
         "/* The least of all; at most 3.  */", "mq_forward_reject (f);",
         "#define MAX_PATHS 64", "g_log (\"upstream.blamed\");",
         "/* Up to 65,536 in one message.  */", "options.seed = 1;" })
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
