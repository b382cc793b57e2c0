/* Components of the entry: the table of guarded calls, retry budgets, learned
   answer lengths and the decision log.  */

#include <gtest/gtest.h>
#include <mq/decision_log.h>
#include <mq/internal/answer_length.h>
#include <mq/internal/idempotency.h>
#include <mq/internal/retry_budget.h>

namespace
{

mq_guard_verdict
begin (mq_idempotency *m, const char *value, uint64_t now_us,
       uint64_t body = 1)
{
  mq_outcome ignored;

  return mq_idempotency_begin (m, MQ_GUARD_TICKET, MQ_SPAN ("acme"),
                               mq_span_from (value), body, now_us, &ignored);
}

void
finish (mq_idempotency *m, const char *value, mq_outcome outcome,
        uint64_t now_us)
{
  mq_idempotency_finish (m, MQ_GUARD_TICKET, MQ_SPAN ("acme"),
                         mq_span_from (value), outcome, now_us);
}

} // namespace

TEST (Idempotency, EvictsOnlyAfterRetentionTime)
{
  mq_idempotency *m = mq_idempotency_new (10, 1000);

  EXPECT_EQ (begin (m, "1", 0), MQ_GUARD_RUN);
  EXPECT_EQ (begin (m, "1", 5000), MQ_GUARD_IN_FLIGHT);
  finish (m, "1", MQ_OUTCOME_UNKNOWN, 5000);
  EXPECT_EQ (begin (m, "1", 5999), MQ_GUARD_FINISHED);
  EXPECT_EQ (begin (m, "1", 6000), MQ_GUARD_RUN);
  mq_idempotency_free (m);
}

TEST (Idempotency, FullTableRefusesAndEvictsNothing)
{
  mq_idempotency *m = mq_idempotency_new (2, 1000);

  EXPECT_EQ (begin (m, "1", 0), MQ_GUARD_RUN);
  EXPECT_EQ (begin (m, "2", 0), MQ_GUARD_RUN);
  finish (m, "1", MQ_OUTCOME_DONE, 0);
  EXPECT_EQ (begin (m, "3", 10), MQ_GUARD_FULL);
  EXPECT_EQ (begin (m, "1", 10), MQ_GUARD_FINISHED);
  EXPECT_EQ (begin (m, "3", 1000), MQ_GUARD_RUN);
  EXPECT_EQ (mq_idempotency_count (m), 2u);
  mq_idempotency_free (m);
}

TEST (Idempotency, NamesOfDifferentPairsAreDistinct)
{
  mq_idempotency *m = mq_idempotency_new (10, 1000);
  mq_outcome ignored;

  EXPECT_EQ (mq_idempotency_begin (m, MQ_GUARD_KEY, MQ_SPAN ("a"),
                                   MQ_SPAN ("b:c"), 1, 0, &ignored),
             MQ_GUARD_RUN);
  EXPECT_EQ (mq_idempotency_begin (m, MQ_GUARD_KEY, MQ_SPAN ("a:b"),
                                   MQ_SPAN ("c"), 1, 0, &ignored),
             MQ_GUARD_RUN);
  EXPECT_EQ (mq_idempotency_begin (m, MQ_GUARD_TICKET, MQ_SPAN ("a"),
                                   MQ_SPAN ("b:c"), 1, 0, &ignored),
             MQ_GUARD_RUN);
  mq_idempotency_free (m);
}

TEST (RetryBudget, AllowsPercentageOfFirstTries)
{
  mq_retry_budget *b = mq_retry_budget_new (2);
  mq_span name = MQ_SPAN ("chat");

  for (int i = 0; i < 2; i++)
    {
      ASSERT_TRUE (mq_retry_budget_is_available (b, name));
      mq_retry_budget_withdraw (b, name);
    }
  EXPECT_FALSE (mq_retry_budget_is_available (b, name));
  for (int i = 0; i < 4; i++)
    mq_retry_budget_deposit (b, name, 25);
  EXPECT_TRUE (mq_retry_budget_is_available (b, name));
  for (int i = 0; i < 100; i++)
    mq_retry_budget_deposit (b, name, 25);
  mq_retry_budget_withdraw (b, name);
  mq_retry_budget_withdraw (b, name);
  EXPECT_FALSE (mq_retry_budget_is_available (b, name))
      << "the bucket holds more than its burst";
  mq_retry_budget_free (b);
}

TEST (RetryBudget, BackoffIsSeededAndCapped)
{
  uint64_t a = 1, b = 1, longest = 0;

  for (uint32_t n = 0; n < 200; n++)
    {
      uint64_t wait = mq_backoff_us (&a, n, 10, 1000);
      EXPECT_EQ (wait, mq_backoff_us (&b, n, 10, 1000));
      EXPECT_LE (wait, n == 0 ? 10u : 1000u);
      longest = MAX (longest, wait);
    }
  EXPECT_GT (longest, 900u);
}

TEST (AnswerLengths, ExpectNothingBeforeEnoughAnswers)
{
  mq_answer_lengths *l = mq_answer_lengths_new ();
  mq_span name = MQ_SPAN ("chat");

  for (int i = 0; i < 19; i++)
    mq_answer_lengths_note (l, name, 10, 100);
  EXPECT_EQ (mq_answer_lengths_expect (l, name, 200), 0u);
  mq_answer_lengths_note (l, name, 10, 100);
  EXPECT_NEAR (mq_answer_lengths_expect (l, name, 200), 20, 1);
  EXPECT_EQ (mq_answer_lengths_expect (l, MQ_SPAN ("other"), 200), 0u);
  for (int i = 0; i < 200; i++)
    mq_answer_lengths_note (l, name, 50, 100);
  EXPECT_NEAR (mq_answer_lengths_expect (l, name, 200), 100, 2);
  mq_answer_lengths_free (l);
}

TEST (DecisionLog, OverwritesOldestRecord)
{
  mq_decision_log *log = mq_decision_log_new (3);

  for (uint64_t i = 1; i <= 5; i++)
    {
      mq_decision d = {};
      d.handle = i;
      mq_decision_log_add (log, &d);
    }
  ASSERT_EQ (mq_decision_log_count (log), 3u);
  for (uint32_t i = 0; i < 3; i++)
    EXPECT_EQ (mq_decision_log_at (log, i)->handle, i + 3);
  mq_decision_log_free (log);
}
