/* The typed reader of JSON with comments.  */

#include <gtest/gtest.h>
#include <string>

#include <mq/json.h>

static mq_json_doc *
parse (const char *text, std::string *message = nullptr)
{
  GError *error = nullptr;
  mq_json_doc *doc
      = mq_json_parse (MQ_SPAN ("a.json"), mq_span_from (text), &error);

  if (message && error)
    *message = error->message;
  g_clear_error (&error);
  return doc;
}

static std::string
faults (mq_json_doc *doc)
{
  GError *error = nullptr;
  std::string text;

  if (mq_json_doc_check (doc, &error) < 0)
    text = error->message;
  g_clear_error (&error);
  return text;
}

static std::string
parse_error (const char *text)
{
  std::string message;

  EXPECT_EQ (parse (text, &message), nullptr);
  return message;
}

TEST (Json, ReadsTypedValuesBetweenComments)
{
  mq_json_doc *doc = parse ("// first\n{\"n\": 7, /* in\nside */ \"s\": \"a//b"
                            "\", \"b\": true, \"d\": 1.5,\n\"l\": [\"x\"]}");
  ASSERT_NE (doc, nullptr);
  mq_json root = mq_json_root (doc);
  mq_json list;

  EXPECT_EQ (mq_json_u64 (&root, "n", 1, 10, 0), 7u);
  EXPECT_TRUE (mq_span_equal (mq_json_span (&root, "s", MQ_SPAN ("")),
                              MQ_SPAN ("a//b")));
  EXPECT_TRUE (mq_json_bool (&root, "b", false));
  EXPECT_EQ (mq_json_double (&root, "d", 0, 2, 0), 1.5);
  ASSERT_TRUE (mq_json_array (&root, "l", &list));
  EXPECT_TRUE (mq_span_equal (mq_json_element_span (&list, 0), MQ_SPAN ("x")));
  EXPECT_EQ (mq_json_u64 (&root, "missing", 1, 10, 4), 4u);
  mq_json_reject_unknown (&root);
  EXPECT_EQ (faults (doc), "");
  mq_json_doc_free (doc);
}

TEST (Json, FaultNamesFileLinePathAndExpectation)
{
  static const char *const kinds[] = { "model", "plain", nullptr };
  mq_json_doc *doc = parse ("{\"s\":\n {\"q\": {\"deadline_ms\": -4,\n"
                            "  \"kind\": \"modal\", \"colour\": 1,\n"
                            "  \"list\": [\"a\",\n 3]}}}");
  ASSERT_NE (doc, nullptr);
  mq_json root = mq_json_root (doc);
  mq_json s, q, list;

  ASSERT_TRUE (mq_json_object (&root, "s", &s));
  ASSERT_TRUE (mq_json_object (&s, "q", &q));
  mq_json_u64 (&q, "deadline_ms", 1, 1000, 5);
  mq_json_enum (&q, "kind", kinds, 0);
  ASSERT_TRUE (mq_json_array (&q, "list", &list));
  mq_json_element_span (&list, 1);
  mq_json_require (&q, "model", nullptr);
  mq_json_reject_unknown (&q);
  EXPECT_EQ (
      faults (doc),
      "a.json:2: s.q.deadline_ms: found -4, expected a whole number from 1 to "
      "1000\n"
      "a.json:3: s.q.kind: found \"modal\", expected \"model\" or \"plain\"\n"
      "a.json:5: s.q.list[1]: found 3, expected a non-empty string\n"
      "a.json:2: s.q.model: missing\n"
      "a.json:3: s.q.colour: unknown key, expected one of: deadline_ms, kind, "
      "list, model");
  mq_json_doc_free (doc);
}

TEST (Json, SyntaxErrorNamesLine)
{
  EXPECT_EQ (parse_error ("{\n\"a\": 1,\n}").substr (0, 9), "a.json:3:");
  EXPECT_EQ (parse_error ("{\n\"a\": 1").substr (0, 9), "a.json:2:");
  EXPECT_EQ (parse_error ("{}\n/* no end"), "a.json:2: unterminated comment");
  EXPECT_EQ (parse_error ("{\"a\":1,\n\"a\":2}"), "a.json:2: duplicate key a");
  EXPECT_EQ (parse_error ("{\"x\":{\"a\":1},\"y\":{\"a\":1,\n\"a\":2}}"),
             "a.json:2: duplicate key y.a");
  EXPECT_NE (parse_error ("{\"a.b\":1}").find ("invalid key"),
             std::string::npos);
  EXPECT_NE (parse_error (""), "");
  EXPECT_NE (parse_error ("{} {}"), "");
  EXPECT_NE (parse_error ("null"), "");
  EXPECT_NE (parse_error ("{'a':1}"), "");
  EXPECT_NE (parse_error ("{\"a\":NaN}"), "");
}

TEST (Json, RejectsNulBytesInvalidUtf8AndLargeFiles)
{
  std::string big (MQ_JSON_MAX_FILE_BYTES + 1, ' ');
  GError *error = nullptr;

  EXPECT_EQ (mq_json_parse (MQ_SPAN ("a"), { "{}\0{}", 5 }, nullptr), nullptr);
  EXPECT_EQ (parse ("{\"a\":\"\xff\"}"), nullptr);
  EXPECT_EQ (
      mq_json_parse (MQ_SPAN ("a"), { big.data (), big.size () }, &error),
      nullptr);
  EXPECT_TRUE (g_error_matches (error, MQ_JSON_ERROR, MQ_JSON_ERROR_IO));
  g_clear_error (&error);
}

TEST (Json, ArrayRootIsReportedAsFault)
{
  mq_json_doc *doc = parse ("[1,2]");
  ASSERT_NE (doc, nullptr);
  mq_json root = mq_json_root (doc);

  EXPECT_EQ (mq_json_u64 (&root, "a", 0, 9, 3), 3u);
  mq_json_reject_unknown (&root);
  EXPECT_EQ (faults (doc), "a.json:1: found an array, expected an object");
  mq_json_doc_free (doc);
}

/* Random changes to a valid text give an error or a document but no crash, nor
   a report in builds with sanitizers.  */
TEST (Json, FuzzedTextNeverCrashes)
{
  const std::string seed
      = "{ // c\n \"a\": [1, {\"b\": \"x\\u0041\\\"\"}, "
        "null], /* d */ \"e\": {\"f\": 1.5e3, \"g\": true}}";
  const std::string alphabet = "{}[]\",:/*\\\n 0a.-tn\xc3";
  GRand *rand = g_rand_new_with_seed (20261202);
  unsigned accepted = 0;

  for (int i = 0; i < 20000; i++)
    {
      std::string text = seed;
      int changes = g_rand_int_range (rand, 1, 6);

      while (changes-- > 0 && !text.empty ())
        {
          size_t at = (size_t)g_rand_int_range (rand, 0, (gint)text.size ());
          char c = alphabet[(size_t)g_rand_int_range (rand, 0,
                                                      (gint)alphabet.size ())];

          switch (g_rand_int_range (rand, 0, 4))
            {
            case 0:
              text[at] = c;
              break;
            case 1:
              text.insert (at, 1, c);
              break;
            case 2:
              text.erase (at, 1 + at % 3);
              break;
            default:
              text.resize (at);
              break;
            }
        }
      mq_json_doc *doc = mq_json_parse (
          MQ_SPAN ("f"), { text.data (), text.size () }, nullptr);
      if (doc == nullptr)
        continue;
      accepted++;
      mq_json root = mq_json_root (doc);
      mq_json_u64 (&root, "a", 0, 1, 0);
      mq_json_reject_unknown (&root);
      mq_json_doc_free (doc);
    }
  EXPECT_GT (accepted, 100u);
  EXPECT_LT (accepted, 19000u);
  g_rand_free (rand);
}
