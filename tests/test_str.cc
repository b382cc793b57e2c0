/* Length-counted strings.  */

#include <gtest/gtest.h>

#include <string>
#include <mq/str.h>

TEST (Span, ComparesByBytesThenSize)
{
  EXPECT_TRUE (mq_span_equal (MQ_SPAN ("ab"), MQ_SPAN ("ab")));
  EXPECT_LT (mq_span_compare (MQ_SPAN ("ab"), MQ_SPAN ("abc")), 0);
  EXPECT_GT (mq_span_compare (MQ_SPAN ("b"), MQ_SPAN ("abc")), 0);
}

TEST (Span, TrimRemovesSpaceAtBothEnds)
{
  auto trimmed = [] (mq_span s) {
    mq_span t = mq_span_trim (s);

    return std::string (t.size > 0 ? t.data : "", t.size);
  };

  EXPECT_EQ (trimmed (MQ_SPAN (" \ta b\r ")), "a b");
  EXPECT_EQ (trimmed (MQ_SPAN ("  ")), "");
  EXPECT_EQ (trimmed ((mq_span){ nullptr, 0 }), "");
}

TEST (Span, NumberRejectsNonDigitsAndOverflow)
{
  uint64_t v = 0;

  EXPECT_EQ (mq_span_to_u64 (MQ_SPAN ("18446744073709551615"), &v), 0);
  EXPECT_EQ (v, UINT64_MAX);
  EXPECT_EQ (mq_span_to_u64 (MQ_SPAN ("18446744073709551616"), &v), -1);
  EXPECT_EQ (mq_span_to_u64 (MQ_SPAN ("1x"), &v), -1);
  EXPECT_EQ (mq_span_to_u64 (MQ_SPAN (""), &v), -1);
}

TEST (Str, KeepsEmbeddedNulAndEndsInNul)
{
  mq_str *s = mq_str_new ((mq_span){ "a\0b", 3 });

  EXPECT_EQ (s->size, 3u);
  EXPECT_EQ (s->data[3], '\0');
  mq_str_unref (mq_str_ref (s));
  mq_str_unref (s);
}
