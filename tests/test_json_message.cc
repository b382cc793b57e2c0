/* JSON objects from other processes (mq/json_message.h).  */

#include <gtest/gtest.h>
#include <mq/json_message.h>

#include <string>

namespace
{

/* TEXT with double quotes in place of single ones.  */
std::string
quoted (std::string text)
{
  for (char &c : text)
    if (c == '\'')
      c = '"';
  return text;
}

bool
is_message (const std::string &text)
{
  struct json_object *m
      = mq_json_message_parse ({ text.data (), text.size () });

  json_object_put (m);
  return m != nullptr;
}

const std::string whole = quoted (
    "{'a':1,'b':{'a':'x:\\'y\\':','c':[{'a':null},{'a':{}}]},'d':false}");

} // namespace

TEST (JsonMessage, WholeOneIsRead)
{
  struct json_object *m
      = mq_json_message_parse ({ whole.data (), whole.size () });
  uint64_t number = 0;
  bool flag = true;
  mq_span text;

  ASSERT_NE (m, nullptr);
  EXPECT_TRUE (mq_json_message_u64 (m, "a", &number));
  EXPECT_EQ (number, 1u);
  EXPECT_TRUE (mq_json_message_bool (m, "d", &flag));
  EXPECT_FALSE (flag);
  EXPECT_FALSE (mq_json_message_u64 (m, "d", &number));
  EXPECT_FALSE (mq_json_message_bool (m, "a", &flag));
  EXPECT_FALSE (mq_json_message_span (m, "a", &text));
  EXPECT_FALSE (mq_json_message_u64 (m, "missing", &number));
  json_object_put (m);
  EXPECT_TRUE (is_message (" {} \r\n"));
}

TEST (JsonMessage, CutAtAnyByteIsNone)
{
  for (size_t n = 0; n < whole.size (); n++)
    EXPECT_FALSE (is_message (whole.substr (0, n))) << n;
}

TEST (JsonMessage, FollowedByMoreIsNone)
{
  for (const std::string &more :
       { std::string ("x"), whole, std::string ("\0", 1),
         std::string ("\0{}", 3), std::string ("}"), std::string (",") })
    EXPECT_FALSE (is_message (whole + more)) << more;
}

TEST (JsonMessage, WithTwoValuesOfKeyIsNone)
{
  for (const std::string &text :
       { quoted ("{'ran':true,'ran':false}"),
         quoted ("{'ran':false,'ran':false}"),
         quoted ("{'ran':false,'r\\u0061n':true}"),
         quoted ("{'a':[{'b':1,'b':2}]}"),
         quoted ("{'a':{'b':1},'a':{'b':1,'c':2}}") })
    EXPECT_FALSE (is_message (text)) << text;
}

TEST (JsonMessage, OfOtherFormIsNone)
{
  for (const char *text :
       { "", " ", "null", "[]", "1", "\"a\"", "{'a':1}", "{\"a\":1,}",
         "{\"a\":01}", "{a:1}", "{\"a\":\"\xff\"}", "{\"a\":tru}" })
    EXPECT_FALSE (is_message (text)) << text;
}

TEST (JsonMessage, NumberOutOfRangeIsNotGiven)
{
  const std::string text
      = quoted ("{'n':-1,'w':4294967296,'f':1.5,'x':18446744073709551615}");
  struct json_object *m
      = mq_json_message_parse ({ text.data (), text.size () });
  uint64_t wide = 7;
  uint32_t narrow = 7;

  ASSERT_NE (m, nullptr);
  EXPECT_FALSE (mq_json_message_u64 (m, "n", &wide));
  EXPECT_FALSE (mq_json_message_u32 (m, "w", &narrow));
  EXPECT_FALSE (mq_json_message_u64 (m, "f", &wide));
  EXPECT_EQ (wide, 7u);
  EXPECT_EQ (narrow, 7u);
  EXPECT_TRUE (mq_json_message_u64 (m, "x", &wide));
  EXPECT_EQ (wide, UINT64_MAX);
  json_object_put (m);
}
