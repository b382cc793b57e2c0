/* Decoding of an engine's response lines (mq/engine_line.h).  */

#include <gtest/gtest.h>
#include <mq/engine_line.h>

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

class EngineLine : public testing::Test
{
protected:
  int
  read (const std::string &text)
  {
    text_ = quoted (text);
    return mq_engine_line_read (reader_, { text_.data (), text_.size () },
                                &line);
  }

  void
  TearDown () override
  {
    mq_engine_line_reader_free (reader_);
  }

  mq_engine_line line;

private:
  std::string text_;
  mq_engine_line_reader *reader_ = mq_engine_line_reader_new ();
};

std::string
text_of (mq_span span)
{
  return std::string (span.data, span.size);
}

} // namespace

TEST_F (EngineLine, DecodesTokenWithReceipts)
{
  ASSERT_EQ (read ("{'request':'r-1','attempt':2,'p':7,'t':'wo\\'rd é',"
                   "'s':[[0,8,'v1'],[8,16,'v1']]}"),
             0);
  EXPECT_EQ (line.kind, MQ_ENGINE_LINE_TOKEN);
  EXPECT_EQ (text_of (line.request), "r-1");
  EXPECT_EQ (line.attempt, 2u);
  EXPECT_EQ (line.position, 7u);
  EXPECT_EQ (text_of (line.text), "wo\"rd é");
  ASSERT_EQ (line.n_receipts, 2u);
  EXPECT_EQ (line.receipts[1].first, 8u);
  EXPECT_EQ (line.receipts[1].end, 16u);
  EXPECT_EQ (text_of (line.receipts[1].version), "v1");
}

TEST_F (EngineLine, AcceptsAnyMemberOrderAndUnknownMembers)
{
  ASSERT_EQ (read ("{ 's': [[0, 4, 'v']], 'new': {'a': [1]}, 't': 'x',"
                   "'p': 0, 'attempt': 1, 'request': 'r' }"),
             0);
  EXPECT_EQ (line.kind, MQ_ENGINE_LINE_TOKEN);
  EXPECT_EQ (text_of (line.text), "x");
}

TEST_F (EngineLine, DecodesStreamEnds)
{
  ASSERT_EQ (read ("{'request':'r','attempt':1,'end':'done'}"), 0);
  EXPECT_EQ (line.kind, MQ_ENGINE_LINE_END);
  EXPECT_EQ (line.end, MQ_STREAM_DONE);
  ASSERT_EQ (read ("{'request':'r','attempt':1,'end':'stage-lost','stage':2}"),
             0);
  EXPECT_EQ (line.end, MQ_STREAM_STAGE_LOST);
  EXPECT_EQ (line.stage, 2u);
  EXPECT_EQ (read ("{'request':'r','attempt':1,'end':'stage-lost'}"), -1);
  EXPECT_EQ (read ("{'request':'r','attempt':1,'end':'perhaps'}"), -1);
}

TEST_F (EngineLine, RejectsMalformedLines)
{
  const char *const bad[]
      = { "",
          "{",
          "[]",
          "null",
          "7",
          "\xff\xfe",
          "{'request':'r','attempt':1}",
          "{'request':'r','attempt':-1,'p':0,'t':'x','s':[]}",
          "{'request':'r','attempt':1.5,'p':0,'t':'x','s':[]}",
          "{'request':'r','attempt':4294967296,'p':0,'t':'x','s':[]}",
          "{'request':7,'attempt':1,'p':0,'t':'x','s':[]}",
          "{'request':'r','attempt':1,'p':0,'t':'x'}",
          "{'request':'r','attempt':1,'p':0,'t':'x','s':[[0,8]]}",
          "{'request':'r','attempt':1,'p':0,'t':'x','s':[['0',8,'v']]}",
          "{'request':'r','attempt':1,'p':0,'t':7,'s':[]}" };

  for (const char *text : bad)
    EXPECT_EQ (read (text), -1) << text;
}

TEST_F (EngineLine, RejectsMoreReceiptsThanPlanStages)
{
  std::string s;

  for (int i = 0; i < MQ_PLAN_MAX_STAGES + 1; i++)
    s += std::string (i ? "," : "") + "[0,1,'v']";
  EXPECT_EQ (
      read ("{'request':'r','attempt':1,'p':0,'t':'x','s':[" + s + "]}"), -1);
}

TEST_F (EngineLine, DecodesALineAfterAMalformedOne)
{
  EXPECT_EQ (read ("{'request':'r"), -1);
  EXPECT_EQ (read ("{'request':'r','attempt':1,'end':'evicted'}"), 0);
  EXPECT_EQ (line.end, MQ_STREAM_EVICTED);
}
