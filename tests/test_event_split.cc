/* Splitting of a byte stream into complete events with consecutive ids.  */

#include <mq/event_split.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

namespace
{

class Split
{
public:
  explicit Split (uint64_t last = 0) { mq_event_split_init (&s, last); }
  Split (const Split &) = delete;
  Split &operator= (const Split &) = delete;
  ~Split () { mq_event_split_finish (&s); }

  void
  feed (const std::string &bytes)
  {
    mq_event_split_feed (&s, { bytes.data (), bytes.size () });
  }

  mq_event_result
  next (std::string *event = nullptr)
  {
    mq_span e = {};
    mq_event_result r = mq_event_split_next (&s, &e);

    if (event != nullptr)
      event->assign (e.size > 0 ? e.data : "", e.size);
    return r;
  }

  mq_event_split s;
};

std::string
event (unsigned id)
{
  return "id: " + std::to_string (id) + "\ndata: x" + std::to_string (id)
         + "\n\n";
}

} // namespace

TEST (EventSplit, ReturnsOnlyCompleteEvents)
{
  Split s;
  std::string e;

  s.feed ("id: 1\nda");
  EXPECT_EQ (s.next (), MQ_EVENT_NONE);
  EXPECT_TRUE (mq_event_split_has_partial (&s.s));
  s.feed ("ta: x1\n\n");
  EXPECT_EQ (s.next (&e), MQ_EVENT_WHOLE);
  EXPECT_EQ (e, event (1));
  EXPECT_FALSE (mq_event_split_has_partial (&s.s));
  EXPECT_EQ (s.s.last_id, 1u);
}

TEST (EventSplit, RejectsRepeatedOrSkippedId)
{
  Split twice (4), skipped (4);

  twice.feed (event (4));
  EXPECT_EQ (twice.next (), MQ_EVENT_FAULT);
  skipped.feed (event (6));
  EXPECT_EQ (skipped.next (), MQ_EVENT_FAULT);
}

TEST (EventSplit, NewRunContinuesAfterLastCompleteEvent)
{
  Split s;

  s.feed (event (1) + "id: 2\nhalf");
  EXPECT_EQ (s.next (), MQ_EVENT_WHOLE);
  EXPECT_EQ (s.next (), MQ_EVENT_NONE);
  mq_event_split_restart (&s.s);
  s.feed (event (2));
  EXPECT_EQ (s.next (), MQ_EVENT_WHOLE);
  EXPECT_EQ (s.s.last_id, 2u);
  EXPECT_EQ (s.s.events, 2u);
}

TEST (EventSplit, AcceptsCarriageReturnLineFeed)
{
  Split s;

  s.feed ("id: 1\r\ndata: x\r\n\r\n");
  EXPECT_EQ (s.next (), MQ_EVENT_WHOLE);
  EXPECT_EQ (s.s.last_id, 1u);
}

TEST (EventSplit, PassesEventWithoutIdUncounted)
{
  Split s;

  s.feed (": comment\n\n" + event (1));
  EXPECT_EQ (s.next (), MQ_EVENT_WHOLE);
  EXPECT_EQ (s.next (), MQ_EVENT_WHOLE);
  EXPECT_EQ (s.s.events, 1u);
}

TEST (EventSplit, RejectsTooLongEvent)
{
  Split s;

  s.feed (std::string (MQ_EVENT_MAX_BYTES + 1, 'x'));
  EXPECT_EQ (s.next (), MQ_EVENT_FAULT);
}

RC_GTEST_PROP (EventSplitProperty, PiecesMakeNoDifference, ())
{
  unsigned n = *rc::gen::inRange (1u, 20u);
  std::string all, out, e;
  Split s;

  for (unsigned i = 1; i <= n; i++)
    all += event (i);
  for (size_t at = 0; at < all.size ();)
    {
      size_t size = *rc::gen::inRange<size_t> (1, 40);

      s.feed (all.substr (at, size));
      at += size;
      while (s.next (&e) == MQ_EVENT_WHOLE)
        out += e;
    }
  RC_ASSERT (out == all);
  RC_ASSERT (s.s.last_id == n);
}

RC_GTEST_PROP (EventSplitProperty, AnyBytesAreTakenWithoutHarm, ())
{
  auto bytes = *rc::gen::container<std::string> (
      rc::gen::element ('i', 'd', ':', ' ', '1', '2', '\n', '\r', 'x', '\0'));
  Split s;
  std::string e;
  size_t taken = 0;

  s.feed (bytes);
  while (s.next (&e) == MQ_EVENT_WHOLE)
    taken += e.size ();
  RC_ASSERT (taken <= bytes.size ());
}
