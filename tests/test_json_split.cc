/* Splitting of JSON text (mq/json_split.h).  */

#include <gtest/gtest.h>
#include <mq/json_split.h>

#include <string>
#include <vector>

namespace
{

std::string
text (mq_span s)
{
  return std::string (s.data, s.size);
}

/* The elements of the array TEXT, and "broken" after them if it is.  */
std::vector<std::string>
elements (const std::string &array)
{
  std::vector<std::string> found;
  mq_json_split split;
  mq_span value;

  mq_json_split_array (&split, { array.data (), array.size () });
  while (mq_json_split_element (&split, &value))
    found.push_back (text (value));
  if (split.broken)
    found.push_back ("broken");
  return found;
}

std::vector<std::string>
members (const std::string &object)
{
  std::vector<std::string> found;
  mq_json_split split;
  mq_span key;
  mq_span value;

  mq_json_split_object (&split, { object.data (), object.size () });
  while (mq_json_split_member (&split, &key, &value))
    found.push_back (text (key) + "=" + text (value));
  if (split.broken)
    found.push_back ("broken");
  return found;
}

using List = std::vector<std::string>;

} // namespace

TEST (JsonSplit, FindsValuesOfAllTypes)
{
  EXPECT_EQ (elements (" [ 1 , \"a,]\\\"b\" ,{\"c\":[2,{}]}, null,[ ] ]"),
             (List{ "1", "\"a,]\\\"b\"", "{\"c\":[2,{}]}", "null", "[ ]" }));
  EXPECT_EQ (elements ("[]"), List{});
  EXPECT_EQ (members ("{\"a\" : {\"b\":1}, \"c}\":-2e9,\"a\":\"\"}"),
             (List{ "a={\"b\":1}", "c}=-2e9", "a=\"\"" }));
  EXPECT_EQ (members ("{}"), List{});
}

/* A value that no parser reads does not affect the next one.  */
TEST (JsonSplit, PassesOverWhatIsNoValue)
{
  const std::string deep (200000, '[');
  const std::string deep_end (200000, ']');

  EXPECT_EQ (elements ("[" + deep + deep_end + ",1]"),
             (List{ deep + deep_end, "1" }));
  EXPECT_EQ (elements ("[n\xff\x01,\"\xc3\",1]"),
             (List{ "n\xff\x01", "\"\xc3\"", "1" }));
  /* A NUL, inside a word and in its place.  */
  EXPECT_EQ (elements (std::string ("[t\0r,\0,1]", 10)),
             (List{ std::string ("t\0r", 3), std::string ("\0", 1), "1" }));
}

TEST (JsonSplit, ReportsTextThatEndsEarly)
{
  for (const char *s : { "", "[", "[1", "[1,", "[\"a", "[\"a\\", "[{\"b\":1}",
                         "[{\"b\":1", "[1 2]", "[,]", "[1,]", "{}", "x" })
    {
      List found = elements (s);

      ASSERT_FALSE (found.empty ()) << s;
      EXPECT_EQ (found.back (), "broken") << s;
    }
  for (const char *s : { "{\"a\"}", "{\"a\":}", "{1:2}", "{\"a\":1", "[]" })
    EXPECT_EQ (members (s).back (), "broken") << s;
}

TEST (JsonSplit, TellsWhetherTextGoesOn)
{
  auto is_whole = [] (const std::string &s) {
    mq_json_split split;
    mq_span key;
    mq_span value;

    if (s[0] == '[')
      {
        mq_json_split_array (&split, { s.data (), s.size () });
        while (mq_json_split_element (&split, &value))
          EXPECT_FALSE (mq_json_split_is_whole (&split)) << s;
      }
    else
      {
        mq_json_split_object (&split, { s.data (), s.size () });
        while (mq_json_split_member (&split, &key, &value))
          EXPECT_FALSE (mq_json_split_is_whole (&split)) << s;
      }
    return mq_json_split_is_whole (&split);
  };

  for (const char *s :
       { "[]x", "[1] ]", "[1][1]", "[],", "[1]\n{}", "{}x",
         "{\"a\":1}{\"a\":1}", "{\"a\":1} }", "[1", "{", "[1 2]", "x" })
    EXPECT_FALSE (is_whole (s)) << s;
  EXPECT_FALSE (is_whole (std::string ("[1]\0", 4)));
  for (const char *s : { "[]", "[1] \r\n", "{}", " {\"a\":[1]}\t" })
    EXPECT_TRUE (is_whole (s)) << s;
}
