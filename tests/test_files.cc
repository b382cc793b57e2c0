/* Configuration files: merge order, source locations and validation.  */

#include <algorithm>
#include <gtest/gtest.h>
#include <string>
#include <utility>
#include <vector>

#include <mq/files.h>

using Set = std::vector<std::pair<std::string, std::string> >;

/* Replaces each ' in TEXT by ".  */
static std::string
quoted (std::string text)
{
  std::replace (text.begin (), text.end (), '\'', '"');
  return text;
}

/* A complete configuration of two services.  */
static const std::string complete = quoted (
    "{ // organisations\n"
    "'organisations': {'halvorsen': {'token_sha256':\n"
    "  '2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b',\n"
    "  'weight': 3, 'limits': {'concurrent': 4, 'tokens_per_s': 12.5}}},\n"
    "'models': {'drafts': {'version': 'v1', 'layers': 8}},\n"
    "'engines': {\n"
    "  'e2': {'url': 'http://127.0.0.1:9002', 'model': 'drafts',\n"
    "    'version': 'v1', 'first': 4, 'end': 8, 'accelerator': 'b',\n"
    "    'failure_domain': 'y'},\n"
    "  'e1': {'url': 'http://127.0.0.1:9001', 'model': 'drafts',\n"
    "    'version': 'v1', 'first': 0, 'end': 4, 'accelerator': 'a',\n"
    "    'failure_domain': 'y', 'checks_fencing': true}},\n"
    "'services': {\n"
    "  'quotes': {'kind': 'model', 'model': 'drafts', 'deadline_ms': 2000},\n"
    "  'booking': {'kind': 'plain', 'deadline_ms': 500, 'instances': [\n"
    "    {'url': 'http://127.0.0.1:9101', 'failure_domain': 'y'}],\n"
    "    'repeatable': [{'method': 'GET', 'path_prefix': '/'}]}}}");

static GArray *
files_of (const Set &set)
{
  GArray *files = mq_files_new ();

  for (const auto &[name, text] : set)
    {
      mq_str *n = mq_str_new (mq_span_from (name.c_str ()));
      mq_str *t = mq_str_new ({ text.data (), text.size () });

      mq_files_put (files, n, t);
      mq_str_unref (n);
      mq_str_unref (t);
    }
  return files;
}

static std::string
load_error (const Set &set)
{
  GArray *files = files_of (set);
  GError *error = nullptr;
  mq_config *config = mq_files_load (files, 1, nullptr, &error);
  std::string message = error ? error->message : "";

  EXPECT_EQ (config == nullptr, error != nullptr);
  mq_config_unref (config);
  g_clear_error (&error);
  g_array_unref (files);
  return message;
}

TEST (Files, ReadsAllSections)
{
  GArray *files = files_of ({ { "10-all.json", complete } });
  GPtrArray *warnings = g_ptr_array_new_with_free_func (g_free);
  mq_config *c = mq_files_load (files, 7, warnings, nullptr);

  ASSERT_NE (c, nullptr);
  EXPECT_EQ (c->generation, 7u);
  EXPECT_EQ (warnings->len, 0u);
  const mq_organisation *o
      = mq_config_organisation_by_token (c, MQ_SPAN ("secret"));
  ASSERT_NE (o, nullptr);
  EXPECT_EQ (o->weight, 3u);
  EXPECT_EQ (o->limits.concurrent, 4u);
  EXPECT_EQ (o->limits.tokens_per_s, 12.5);
  EXPECT_STREQ (g_array_index (c->engines, mq_engine, 0).name->data, "e1");
  EXPECT_TRUE (g_array_index (c->engines, mq_engine, 0).checks_fencing);
  const mq_service *s = mq_config_service (c, MQ_SPAN ("booking"));
  ASSERT_NE (s, nullptr);
  EXPECT_EQ (s->kind, MQ_SERVICE_PLAIN);
  EXPECT_EQ (s->u.plain.instances->len, 1u);
  EXPECT_EQ (s->u.plain.repeatable->len, 1u);
  mq_config_unref (c);
  g_ptr_array_unref (warnings);
  g_array_unref (files);
}

TEST (Files, LaterFileOverridesAndNullRemoves)
{
  GArray *files
      = files_of ({ { "20-later.json", quoted ("{'services':{'quotes':"
                                               "{'deadline_ms':3000},"
                                               "'booking':null}}") },
                    { "10-all.json", complete } });
  mq_config *c = mq_files_load (files, 1, nullptr, nullptr);

  ASSERT_NE (c, nullptr);
  EXPECT_EQ (mq_config_service (c, MQ_SPAN ("booking")), nullptr);
  EXPECT_EQ (mq_config_service (c, MQ_SPAN ("quotes"))->deadline_ms, 3000u);
  mq_config_unref (c);

  mq_json_doc *doc = mq_files_merge (files, nullptr);
  unsigned line = 0;
  mq_str *file
      = mq_json_find_location (doc, "services.quotes.deadline_ms", &line);
  EXPECT_STREQ (mq_str_cstr (file), "20-later.json");
  EXPECT_EQ (line, 1u);
  mq_str_unref (file);
  file = mq_json_find_location (doc, "services.quotes.kind", &line);
  EXPECT_STREQ (mq_str_cstr (file), "10-all.json");
  EXPECT_EQ (line, 14u);
  mq_str_unref (file);
  mq_json_doc_free (doc);
  g_array_unref (files);
}

/* Routers load files that were validated before: the result and the error must
   be those of a complete load.  */
TEST (Files, LoadValidatedMatchesLoad)
{
  const Set sets[] = {
    { { "a.json", complete },
      { "b.json", quoted ("{'services':{'quotes':{'deadline_ms':3000,"
                          "'priority':null},'booking':null},"
                          "'engines':{'e1':null}}") },
      { "c.json", quoted ("{'services':{'quotes':{'priority':7}},"
                          "'policy':{'stall_ms':50}}") } },
    { { "a.json", complete },
      { "b.json", quoted ("{'services':{'quotes':{'model':'gone'}}}") } },
    { { "a.json", quoted ("{'policy':{'colour':1}}") } },
    { { "a.json", "{" } }
  };

  for (const Set &set : sets)
    {
      GArray *files = files_of (set);
      GError *checked_error = nullptr;
      GError *error = nullptr;
      mq_config *checked = mq_files_load (files, 3, nullptr, &checked_error);
      mq_config *c = mq_files_load_validated (files, 3, &error);

      ASSERT_EQ (checked == nullptr, c == nullptr);
      EXPECT_STREQ (checked_error ? checked_error->message : "",
                    error ? error->message : "");
      if (c != nullptr)
        {
          const mq_service *s = mq_config_service (c, MQ_SPAN ("quotes"));

          EXPECT_EQ (s->deadline_ms, 3000u);
          EXPECT_EQ (s->priority, 7);
          EXPECT_EQ (c->policy.stall_ms, 50u);
          EXPECT_EQ (c->engines->len, 1u);
          EXPECT_EQ (c->services->len, checked->services->len);
          EXPECT_EQ (c->organisations->len, checked->organisations->len);
        }
      mq_config_unref (checked);
      mq_config_unref (c);
      g_clear_error (&checked_error);
      g_clear_error (&error);
      g_array_unref (files);
    }
}

TEST (Files, FaultNamesFileThatGaveValue)
{
  EXPECT_EQ (load_error ({ { "a.json", complete },
                           { "b.json", quoted ("{'services':\n{'quotes':\n"
                                               "{'model':'gone'}}}") } }),
             "b.json:3: services.quotes.model: model gone is not defined");
  EXPECT_EQ (
      load_error (
          { { "a.json", complete },
            { "b.json",
              quoted ("{'engines':{'e3':\n"
                      "{'url':'http://127.0.0.1:9001','model':'drafts',"
                      "'version':'v1','first':0,'end':9,"
                      "'accelerator':'a','failure_domain':'y'}}}") } }),
      "b.json:2: engines.e3.end: found 9, expected at most 8, the number of "
      "layers of model drafts\n"
      "b.json:2: engines.e3.url: already used by e1");
}

TEST (Files, EachFileIsValidatedAlone)
{
  /* The second file overrides the wrong value of the first.  */
  EXPECT_EQ (
      load_error ({ { "a.json",
                      quoted ("{'services':{'quotes':{'deadline_ms':'x'}}}") },
                    { "b.json", complete } }),
      "a.json:1: services.quotes.deadline_ms: found \"x\", expected a "
      "whole number from 1 to 3600000");
  EXPECT_NE (load_error ({ { "a.json", quoted ("{'colour':{}}") } })
                 .find ("unknown key"),
             std::string::npos);
  EXPECT_NE (load_error ({ { "a.json", quoted ("{'models':{'a b':{}}}") } })
                 .find ("invalid name"),
             std::string::npos);
}

TEST (Files, RejectsInvalidValues)
{
  static const struct
  {
    const char *text;
    const char *expected;
  } cases[] = {
    { "{'engines':{'e1':{'url':'http://example.com:1'}}}", "IP" },
    { "{'engines':{'e1':{'url':'http://127.0.0.1'}}}", "PORT" },
    { "{'engines':{'e1':{'url':'http://127.0.0.1:1/x'}}}", "no path" },
    { "{'engines':{'e1':{'end':0}}}", "from 1 to" },
    { "{'organisations':{'halvorsen':{'token_sha256':'ab'}}}",
      "64 hex digits" },
    { "{'organisations':{'halvorsen':{'priority':10}}}", "from 0 to 9" },
    { "{'organisations':{'b':{'token_sha256':'2bb80d537b1da3e38bd30361aa855686"
      "bde0eacd7162fef6a25fe97bf527a25b'}}}",
      "already used by b" },
    { "{'services':{'quotes':{'deadline_ms':700000}}}",
      "at most max_deadline_ms" },
    { "{'services':{'booking':{'instances':[]}}}", "at least one instance" },
    { "{'services':{'booking':{'instances':[{'url':'http://127.0.0.1:1'}]}}}",
      "instances[0].failure_domain: missing" },
    { "{'services':{'booking':{'repeatable':[{'method':'get',"
      "'path_prefix':'/'}]}}}",
      "upper-case method" },
    { "{'services':{'booking':{'model':'drafts'}}}", "unknown key" },
    { "{'services':{'new':{'kind':'plain'}}}", "deadline_ms: missing" },
    { "{'links':{'l':{'from':'y','to':'y','latency_us':1,'mbit_per_s':1}}}",
      "to itself" },
    { "{'links':{'l':{'from':'y','to':'z','latency_us':1,'mbit_per_s':1},"
      "'m':{'from':'z','to':'y','latency_us':1,'mbit_per_s':1}}}",
      "two links" },
    { "{'policy':{'routing':'fast'}}", "\"deadline\" or \"round-robin\"" },
  };

  for (const auto &c : cases)
    {
      std::string message = load_error (
          { { "a.json", complete }, { "b.json", quoted (c.text) } });

      EXPECT_NE (message.find (c.expected), std::string::npos)
          << c.text << "\n"
          << message;
    }
}

TEST (Files, WarnsOfLayersThatNoEngineHolds)
{
  GArray *files
      = files_of ({ { "a.json", complete },
                    { "b.json", quoted ("{'engines':{'e2':null}}") } });
  GPtrArray *warnings = g_ptr_array_new_with_free_func (g_free);
  mq_config *c = mq_files_load (files, 1, warnings, nullptr);

  ASSERT_NE (c, nullptr);
  ASSERT_EQ (warnings->len, 1u);
  EXPECT_STREQ ((const char *)g_ptr_array_index (warnings, 0),
                "a.json:5: models.drafts: no engine holds layers 4 to 7 of "
                "version v1");
  mq_config_unref (c);
  g_ptr_array_unref (warnings);
  g_array_unref (files);
}

TEST (Files, ValidatesNamesAndComputesDigests)
{
  char digest[MQ_DIGEST_SIZE];

  EXPECT_TRUE (mq_file_name_is_valid (MQ_SPAN ("10-a_b.json")));
  EXPECT_FALSE (mq_file_name_is_valid (MQ_SPAN (".json")));
  EXPECT_FALSE (mq_file_name_is_valid (MQ_SPAN (".a.json")));
  EXPECT_FALSE (mq_file_name_is_valid (MQ_SPAN ("a/b.json")));
  EXPECT_FALSE (mq_file_name_is_valid (MQ_SPAN ("a.jsonc")));
  mq_file_digest (MQ_SPAN ("secret"), digest);
  EXPECT_STREQ (
      digest,
      "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b");
}

/* A file that is cut at any byte is an error that names it and the line, also
   beside a sound one.  */
TEST (Files, CutAtAnyByteIsRejected)
{
  ASSERT_EQ (load_error ({ { "a.json", complete } }), "");
  for (size_t n = 0; n < complete.size (); n++)
    {
      std::string cut = complete.substr (0, n);

      EXPECT_EQ (load_error ({ { "a.json", cut } }).find ("a.json:"), 0u)
          << n << " bytes: " << load_error ({ { "a.json", cut } });
      EXPECT_EQ (load_error ({ { "a.json", complete }, { "b.json", cut } })
                     .find ("b.json:"),
                 0u)
          << n;
    }
}
