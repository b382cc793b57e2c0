/* The decision after a send ended.  The properties cover all states.  */

#include <mq/forward_rule.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace
{

mq_forward_state
state (mq_route_kind kind, bool resumable = true)
{
  mq_forward_state s = {};

  s.kind = kind;
  s.resumable = resumable;
  s.attempts = 2;
  s.sent = 1;
  s.tries = 1;
  s.deadline_us = 1000 * 1000;
  return s;
}

} // namespace

TEST (ForwardRule, DoesNotRetryUnsafeRequestThatMayHaveRun)
{
  mq_forward_state s = state (MQ_ROUTE_UNSAFE);

  s.may_have_run = true;
  mq_forward_verdict v = mq_forward_decide (&s, MQ_SEND_BROKEN, 0, true);
  EXPECT_EQ (v.verb, MQ_FORWARD_REJECT);
  EXPECT_EQ (v.status, 502u);
}

TEST (ForwardRule, RejectsUnrunUnsafeRequestAsUnavailable)
{
  mq_forward_state s = state (MQ_ROUTE_UNSAFE);

  s.attempts = 1;
  mq_forward_verdict v = mq_forward_decide (&s, MQ_SEND_NOT_RUN, 503, true);
  EXPECT_EQ (v.verb, MQ_FORWARD_REJECT);
  EXPECT_EQ (v.status, 503u);
}

TEST (ForwardRule, RetriesSafeRequestAfterTimeout)
{
  mq_forward_state s = state (MQ_ROUTE_SAFE);

  s.may_have_run = true;
  EXPECT_EQ (mq_forward_decide (&s, MQ_SEND_TIMED_OUT, 0, true).verb,
             MQ_FORWARD_RETRY);
  s.sent = 2;
  EXPECT_EQ (mq_forward_decide (&s, MQ_SEND_TIMED_OUT, 0, true).status, 504u);
}

TEST (ForwardRule, RetriesWithoutBudgetOnlyBeforeFirstArrival)
{
  mq_forward_state s = state (MQ_ROUTE_SAFE);

  s.arrived = 1;
  EXPECT_EQ (mq_forward_decide (&s, MQ_SEND_NOT_RUN, 503, false).verb,
             MQ_FORWARD_REJECT);
  s.sent = s.arrived = 0;
  EXPECT_EQ (mq_forward_decide (&s, MQ_SEND_NOT_SENT, 0, false).verb,
             MQ_FORWARD_RETRY);
}

TEST (ForwardRule, AbortsStreamThatIsNotResumable)
{
  mq_forward_state s = state (MQ_ROUTE_STREAM, false);

  s.response_started = s.may_have_run = true;
  EXPECT_EQ (mq_forward_decide (&s, MQ_SEND_BROKEN, 200, true).verb,
             MQ_FORWARD_ABORT);
  s.resumable = true;
  EXPECT_EQ (mq_forward_decide (&s, MQ_SEND_BROKEN, 200, true).verb,
             MQ_FORWARD_RETRY);
}

TEST (ForwardRule, DeliversCompleteResponse)
{
  mq_forward_state s = state (MQ_ROUTE_UNSAFE);

  EXPECT_EQ (mq_forward_decide (&s, MQ_SEND_REPLIED, 500, true).verb,
             MQ_FORWARD_DELIVER);
  s = state (MQ_ROUTE_SAFE);
  EXPECT_EQ (mq_forward_decide (&s, MQ_SEND_REPLIED, 500, true).verb,
             MQ_FORWARD_RETRY);
  s.sent = 2;
  EXPECT_EQ (mq_forward_decide (&s, MQ_SEND_REPLIED, 500, true).verb,
             MQ_FORWARD_DELIVER);
}

/* A stream that was sent to as many upstreams as its route allows must not be
   aborted when one of them is sound.  */
TEST (ForwardRule, ResumableStreamMayReuseUpstream)
{
  mq_forward_state s = state (MQ_ROUTE_STREAM);

  s.response_started = s.may_have_run = true;
  s.sent = s.tries = 2;
  EXPECT_TRUE (mq_forward_must_reuse_upstream (&s));
  EXPECT_EQ (mq_forward_decide (&s, MQ_SEND_TIMED_OUT, 0, true).verb,
             MQ_FORWARD_RETRY);
  s.resumable = false;
  EXPECT_EQ (mq_forward_decide (&s, MQ_SEND_TIMED_OUT, 0, true).verb,
             MQ_FORWARD_ABORT);
}

RC_GTEST_PROP (ForwardRuleProperty, PromisesHoldInEveryState, ())
{
  mq_forward_state s = {};
  auto end
      = *rc::gen::element (MQ_SEND_REPLIED, MQ_SEND_NOT_SENT, MQ_SEND_NOT_RUN,
                           MQ_SEND_BROKEN, MQ_SEND_TIMED_OUT);
  unsigned status = *rc::gen::element (0u, 200u, 404u, 500u, 503u);
  bool budget = *rc::gen::arbitrary<bool> ();

  s.kind = *rc::gen::element (MQ_ROUTE_SAFE, MQ_ROUTE_UNSAFE, MQ_ROUTE_STREAM);
  s.resumable = *rc::gen::arbitrary<bool> ();
  s.attempts = *rc::gen::inRange (1u, 4u);
  s.sent = *rc::gen::inRange (0u, 5u);
  s.tries = s.sent + *rc::gen::inRange (0u, 3u);
  s.response_started = *rc::gen::arbitrary<bool> ();
  s.may_have_run = s.response_started || *rc::gen::arbitrary<bool> ()
                   || end == MQ_SEND_BROKEN || end == MQ_SEND_TIMED_OUT;
  s.now_us = *rc::gen::inRange (0, 1000) * 1000;
  s.deadline_us = 500 * 1000;
  mq_forward_verdict v = mq_forward_decide (&s, end, status, budget);

  if (v.verb == MQ_FORWARD_RETRY)
    {
      /* To another upstream, or a stream to one that it was sent to before. */
      RC_ASSERT (s.sent < s.attempts
                 || (mq_forward_must_reuse_upstream (&s)
                     && s.kind == MQ_ROUTE_STREAM && s.resumable
                     && end != MQ_SEND_REPLIED));
      RC_ASSERT (s.now_us < s.deadline_us);
      RC_ASSERT (mq_forward_may_repeat (&s) || end == MQ_SEND_NOT_SENT
                 || end == MQ_SEND_NOT_RUN);
    }
  if (v.verb == MQ_FORWARD_REJECT)
    {
      RC_ASSERT (!s.response_started);
      RC_ASSERT (v.status != 503 || !s.may_have_run);
    }
  if (v.verb == MQ_FORWARD_DELIVER)
    RC_ASSERT (end == MQ_SEND_REPLIED && !s.response_started);
}

/* The log must state why a request failed after one send.  */
TEST (ForwardRule, NamesTheLimitThatPreventsRetry)
{
  mq_forward_state s = state (MQ_ROUTE_STREAM);

  EXPECT_EQ (mq_forward_limit_of (&s, MQ_SEND_BROKEN, true),
             MQ_FORWARD_LIMIT_NONE);
  EXPECT_EQ (mq_forward_limit_of (&s, MQ_SEND_BROKEN, false),
             MQ_FORWARD_LIMIT_BUDGET);
  /* The first send to arrive needs no budget.  */
  EXPECT_EQ (mq_forward_limit_of (&s, MQ_SEND_NOT_SENT, false),
             MQ_FORWARD_LIMIT_NONE);
  s.now_us = s.deadline_us;
  EXPECT_EQ (mq_forward_limit_of (&s, MQ_SEND_BROKEN, true),
             MQ_FORWARD_LIMIT_TIME);
  s.sent = 2;
  s.resumable = false;
  EXPECT_EQ (mq_forward_limit_of (&s, MQ_SEND_NOT_RUN, true),
             MQ_FORWARD_LIMIT_ATTEMPTS);
  s.kind = MQ_ROUTE_UNSAFE;
  EXPECT_EQ (mq_forward_limit_of (&s, MQ_SEND_TIMED_OUT, true),
             MQ_FORWARD_LIMIT_NOT_REPEATABLE);
}

/* The limit agrees with the verdict in every state.  */
RC_GTEST_PROP (ForwardRule, ASendIsRepeatedJustWhereNoLimitIsNamed, ())
{
  mq_forward_state s = state (
      *rc::gen::element (MQ_ROUTE_SAFE, MQ_ROUTE_UNSAFE, MQ_ROUTE_STREAM));
  auto end = *rc::gen::element (MQ_SEND_NOT_SENT, MQ_SEND_NOT_RUN,
                                MQ_SEND_BROKEN, MQ_SEND_TIMED_OUT);
  bool budget = *rc::gen::arbitrary<bool> ();

  s.resumable = *rc::gen::arbitrary<bool> ();
  s.sent = *rc::gen::inRange (0u, 4u);
  s.tries = s.sent + *rc::gen::inRange (0u, 6u);
  s.arrived = *rc::gen::inRange (0u, 3u);
  s.now_us = *rc::gen::inRange<uint64_t> (0, 1100) * 1000;
  RC_ASSERT (
      (mq_forward_limit_of (&s, end, budget) == MQ_FORWARD_LIMIT_NONE)
      == (mq_forward_decide (&s, end, 0, budget).verb == MQ_FORWARD_RETRY));
}
