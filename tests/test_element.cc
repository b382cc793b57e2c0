/* Elements of a request: see mq/element.h.  */

#include <mq/element.h>

#include <gtest/gtest.h>

#include <string>

namespace
{

std::string
formatted (uint64_t element)
{
  char text[MQ_ELEMENT_TEXT_SIZE];

  return mq_element_format (element, text);
}

} // namespace

TEST (Element, ContentIsNoPart)
{
  for (uint64_t hash :
       { uint64_t (0), uint64_t (1), ~uint64_t (0), uint64_t (1) << 63 })
    {
      EXPECT_FALSE (mq_element_is_part (mq_element_of_content (hash)));
      EXPECT_NE (mq_element_of_content (hash), 0u);
    }
  EXPECT_EQ (formatted (mq_element_of_content (~uint64_t (0))),
             "content=7fffffffffffffff");
}

TEST (Element, PartKeepsItsId)
{
  uint64_t part = mq_element_of_part (MQ_SPAN ("91bd3f06"));

  EXPECT_TRUE (mq_element_is_part (part));
  EXPECT_EQ (formatted (part), "part=91bd3f06");
  EXPECT_EQ (mq_element_of_part (MQ_SPAN ("91BD3F06")), part);
  EXPECT_EQ (mq_element_of_part (MQ_SPAN ("0091bd3f06")), part);
  EXPECT_NE (mq_element_of_part (MQ_SPAN ("91bd3f07")), part);
}

TEST (Element, LongOrOtherIdsDiffer)
{
  uint64_t a = mq_element_of_part (MQ_SPAN ("0123456789abcdef01"));
  uint64_t b = mq_element_of_part (MQ_SPAN ("0123456789abcdef02"));
  uint64_t c = mq_element_of_part (MQ_SPAN ("system-prompt"));

  EXPECT_TRUE (mq_element_is_part (a) && mq_element_is_part (c));
  EXPECT_NE (a, b);
  EXPECT_NE (a, c);
}

TEST (Element, SetHasItsElements)
{
  const uint64_t ids[] = { 4, 7 };
  mq_element_set set = { ids, 2 };

  EXPECT_TRUE (mq_element_set_has (set, 7));
  EXPECT_FALSE (mq_element_set_has (set, 5));
  EXPECT_FALSE (mq_element_set_has ({ nullptr, 0 }, 5));
}
