/* Attempts of requests to models: accepted and dropped tokens, replanning
   after a failure, and early ends.  */

#include "entry_fixture.h"

using namespace entry_test;

namespace
{

std::string
avoided (const mq_plan_request &request)
{
  std::string all;

  for (uint32_t i = 0; i < request.n_avoid; i++)
    all += std::string (request.avoid[i].data, request.avoid[i].size) + " ";
  return all;
}

/* Opens a stream with a deadline far beyond the stall timeout, which has sent
   two tokens.  */
void
open_long (Driver &d)
{
  mq_call c = d.model_call ();

  c.deadline_us = 60 * SECOND;
  d.open (1, c);
  d.tokens (1, 1, 0, 2);
}

/* Tick until a plan is requested.  */
void
tick_until_plan_request (Driver &d)
{
  for (int i = 0; i < 100 && d.count (MQ_ENTRY_REQUEST_PLAN) == 0
                  && mq_entry_in_flight (d.entry) > 0;
       i++)
    d.tick ();
}

/* Complete enough answers for the entry to learn their length.  */
void
learn_answer_length (Driver &d, uint32_t tokens)
{
  for (uint64_t id = 1000; id < 1020; id++)
    {
      mq_call c = d.model_call ();
      c.max_tokens = tokens;
      d.open (id, c);
      d.tokens (id, 1, 0, tokens, 1 * MS);
      d.stream_end (id, 1, MQ_STREAM_DONE);
    }
}

} // namespace

TEST (EntryStream, ResumesAfterDeliveredTokensWhenStageIsLost)
{
  Driver d;
  Plan other (3);

  d.open (1, d.model_call ());
  d.tokens (1, 1, 0, 3);
  d.stream_end (1, 1, MQ_STREAM_STAGE_LOST, 1);
  EXPECT_EQ (d.count (MQ_ENTRY_CANCEL_STREAM), 0u);
  EXPECT_EQ (d.find (MQ_ENTRY_RELEASE_PLAN).u.release.end,
             MQ_ATTEMPT_STAGE_DIED);
  EXPECT_EQ (d.find (MQ_ENTRY_RELEASE_PLAN).u.release.stage, 1u);
  ASSERT_EQ (d.count (MQ_ENTRY_REQUEST_PLAN), 1u);
  EXPECT_EQ (d.find (MQ_ENTRY_REQUEST_PLAN).u.request.attempt, 2u);
  EXPECT_EQ (d.find (MQ_ENTRY_REQUEST_PLAN).u.request.sent_tokens, 3u);
  EXPECT_EQ (d.find (MQ_ENTRY_REQUEST_PLAN).u.request.max_tokens,
             MAX_TOKENS - 3);
  EXPECT_EQ (avoided (d.find (MQ_ENTRY_REQUEST_PLAN).u.request), "e1 ");
  d.planned (1, 2, &other.plan);
  EXPECT_EQ (d.find (MQ_ENTRY_OPEN_STREAM).u.open.sent_tokens, 3u);
  d.tokens (1, 2, 3, MAX_TOKENS);
  d.stream_end (1, 2, MQ_STREAM_DONE);
  d.expect_end (MQ_OUTCOME_DONE, MQ_REASON_NONE);
  EXPECT_EQ (d.find (MQ_ENTRY_END).u.end.tokens, MAX_TOKENS);
}

TEST (EntryStream, DropsTokensOfEarlierAttempt)
{
  Driver d;
  Plan other (3);

  d.open (1, d.model_call ());
  d.tokens (1, 1, 0, 2);
  d.failed (MQ_ENTRY_STREAM_FAILED, 1, 1, true);
  d.token (1, 1, 2);
  EXPECT_EQ (d.actions->len, 0u);
  d.planned (1, 2, &other.plan);
  d.token (1, 1, 2);
  EXPECT_EQ (d.actions->len, 0u);
  EXPECT_EQ (d.counters ().stale_events, 2u);
  d.token (1, 2, 2);
  EXPECT_EQ (d.count (MQ_ENTRY_DELIVER), 1u);
}

TEST (EntryStream, DropsDuplicateToken)
{
  Driver d;

  d.open (1, d.model_call ());
  d.tokens (1, 1, 0, 2);
  d.token (1, 1, 1);
  EXPECT_EQ (d.actions->len, 0u);
  EXPECT_EQ (d.counters ().duplicate_tokens, 1u);
}

/* Guards against a stream of tokens without end that the caller has already,
   while some may come from the attempt before.  */
TEST (EntryStream, ReplansAfterDoubledTokensWithoutEnd)
{
  Driver d;

  open_long (d);
  for (int i = 0; i < 3; i++)
    for (uint32_t p = 0; p < 2; p++)
      d.token (1, 1, p);
  EXPECT_EQ (d.actions->len, 0u);
  d.token (1, 1, 2);
  for (int i = 0; i < 1000 && d.count (MQ_ENTRY_REQUEST_PLAN) == 0; i++)
    d.token (1, 1, i % 2 ? 0 : MAX_TOKENS);
  EXPECT_EQ (d.count (MQ_ENTRY_CANCEL_STREAM), 1u);
  EXPECT_EQ (d.find (MQ_ENTRY_RELEASE_PLAN).u.release.end,
             MQ_ATTEMPT_STAGE_WRONG);
  EXPECT_EQ (d.count (MQ_ENTRY_REQUEST_PLAN), 1u);
}

TEST (EntryStream, ReplansWhenPositionIsSkipped)
{
  Driver d;

  d.open (1, d.model_call ());
  d.tokens (1, 1, 0, 2);
  d.token (1, 1, 3);
  EXPECT_EQ (d.count (MQ_ENTRY_DELIVER), 0u);
  EXPECT_EQ (d.count (MQ_ENTRY_CANCEL_STREAM), 1u);
  EXPECT_EQ (d.count (MQ_ENTRY_REQUEST_PLAN), 1u);
  EXPECT_EQ (d.counters ().position_gaps, 1u);
}

TEST (EntryStream, ReplansWithoutDeliveryOnWrongLayers)
{
  Driver d;

  d.open (1, d.model_call ());
  d.token (1, 1, 0, "v1", 5);
  EXPECT_EQ (d.count (MQ_ENTRY_DELIVER), 0u);
  EXPECT_EQ (d.count (MQ_ENTRY_CANCEL_STREAM), 1u);
  EXPECT_EQ (d.find (MQ_ENTRY_RELEASE_PLAN).u.release.end,
             MQ_ATTEMPT_STAGE_WRONG);
  EXPECT_EQ (d.find (MQ_ENTRY_RELEASE_PLAN).u.release.stage, 1u);
  EXPECT_EQ (avoided (d.find (MQ_ENTRY_REQUEST_PLAN).u.request), "e1 ");
}

TEST (EntryStream, ReplansWithoutDeliveryOnWrongVersion)
{
  Driver d;

  d.open (1, d.model_call ());
  d.token (1, 1, 0, "v0");
  EXPECT_EQ (d.count (MQ_ENTRY_DELIVER), 0u);
  EXPECT_EQ (d.count (MQ_ENTRY_REQUEST_PLAN), 1u);
  EXPECT_EQ (d.counters ().wrong_receipts, 1u);
}

TEST (EntryStream, RejectsPlanWithLayerGap)
{
  Driver d;
  Plan gap (0, "v1", 5);

  d.call (1, d.model_call ());
  d.limited (1);
  d.planned (1, 1, &gap.plan);
  EXPECT_EQ (d.count (MQ_ENTRY_OPEN_STREAM), 0u);
  EXPECT_EQ (d.count (MQ_ENTRY_RELEASE_PLAN), 1u);
}

TEST (EntryStream, RejectsReplanWithDifferentVersion)
{
  Driver d;
  Plan newer (3, "v2");
  Plan same (3);

  d.open (1, d.model_call ());
  d.tokens (1, 1, 0, 2);
  d.failed (MQ_ENTRY_STREAM_FAILED, 1, 1, true);
  d.planned (1, 2, &newer.plan);
  EXPECT_EQ (d.count (MQ_ENTRY_OPEN_STREAM), 0u);
  d.tick ();
  ASSERT_EQ (d.count (MQ_ENTRY_REQUEST_PLAN), 1u);
  d.planned (1, 3, &same.plan);
  EXPECT_EQ (d.count (MQ_ENTRY_OPEN_STREAM), 1u);
}

TEST (EntryStream, EndsWhenModelNoLongerHasVersionOfAnswer)
{
  Driver d;
  Plan newer (3, "v2");
  mq_model *m = &g_array_index (d.config->models, mq_model, 0);

  d.open (1, d.model_call ());
  d.tokens (1, 1, 0, 2);
  mq_str_unref (m->version);
  m->version = str ("v2");
  d.configure ();
  d.failed (MQ_ENTRY_STREAM_FAILED, 1, 1, true);
  d.planned (1, 2, &newer.plan);
  d.expect_end (MQ_OUTCOME_FAILED, MQ_REASON_NO_PIPELINE);
}

/* A silent attempt goes on until a plan for its replacement is there.  */
TEST (EntryStream, ReplacesSilentAttemptOncePlanned)
{
  Driver d;
  Plan other (3);

  open_long (d);
  d.tick_at (d.now + 1000 * MS - 1);
  EXPECT_EQ (d.actions->len, 0u);
  d.tick_at (d.now + 1);
  EXPECT_EQ (d.actions->len, 1u);
  EXPECT_EQ (avoided (d.find (MQ_ENTRY_REQUEST_PLAN).u.request), "e0 e1 e2 ");
  EXPECT_EQ (d.counters ().stalls, 1u);
  d.planned (1, 2, &other.plan);
  EXPECT_EQ (d.count (MQ_ENTRY_CANCEL_STREAM), 1u);
  EXPECT_EQ (d.find (MQ_ENTRY_CANCEL_STREAM).attempt, 1u);
  EXPECT_EQ (d.find (MQ_ENTRY_RELEASE_PLAN).u.release.stage, MQ_STAGE_NONE);
  EXPECT_EQ (d.find (MQ_ENTRY_RELEASE_PLAN).u.release.end,
             MQ_ATTEMPT_STAGE_STALLED);
  EXPECT_EQ (d.find (MQ_ENTRY_OPEN_STREAM).attempt, 2u);
  EXPECT_EQ (d.find (MQ_ENTRY_OPEN_STREAM).u.open.sent_tokens, 2u);
  d.tokens (1, 2, 2, MAX_TOKENS);
  d.stream_end (1, 2, MQ_STREAM_DONE);
  d.expect_end (MQ_OUTCOME_DONE, MQ_REASON_NONE);
}

/* Guards against ending the run of an engine that is only silent, when there
   is no replacement for it.  */
TEST (EntryStream, SilentAttemptOutlivesRefusedReplacement)
{
  for (mq_reason reason :
       { MQ_REASON_OVERLOADED, MQ_REASON_NO_PIPELINE,
         MQ_REASON_DEADLINE_UNREACHABLE, MQ_REASON_UNKNOWN_SERVICE })
    {
      Driver d;

      open_long (d);
      for (uint32_t attempt = 2; attempt < 30; attempt++)
        {
          tick_until_plan_request (d);
          EXPECT_EQ (avoided (d.find (MQ_ENTRY_REQUEST_PLAN).u.request),
                     "e0 e1 e2 ");
          d.refused (1, attempt, reason);
          EXPECT_EQ (d.actions->len, 0u);
        }
      d.tokens (1, 1, 2, MAX_TOKENS);
      d.stream_end (1, 1, MQ_STREAM_DONE);
      d.expect_end (MQ_OUTCOME_DONE, MQ_REASON_NONE);
      EXPECT_EQ (d.counters ().stalls, 1u);
    }
}

TEST (EntryStream, TokenWithdrawsReplacementOfSilentAttempt)
{
  Driver d;
  Plan other (3);

  open_long (d);
  tick_until_plan_request (d);
  EXPECT_EQ (d.count (MQ_ENTRY_REQUEST_PLAN), 1u);
  d.token (1, 1, 2);
  EXPECT_EQ (d.find (MQ_ENTRY_RELEASE_PLAN).u.release.attempt, 2u);
  EXPECT_EQ (d.find (MQ_ENTRY_RELEASE_PLAN).u.release.end,
             MQ_ATTEMPT_CANCELLED);
  EXPECT_EQ (d.count (MQ_ENTRY_DELIVER), 1u);
  d.planned (1, 2, &other.plan);
  EXPECT_EQ (d.actions->len, 0u);
  tick_until_plan_request (d);
  EXPECT_EQ (d.find (MQ_ENTRY_REQUEST_PLAN).u.request.attempt, 3u);
}

TEST (EntryStream, UnansweredReplacementIsRequestedAgain)
{
  Driver d;

  open_long (d);
  tick_until_plan_request (d);
  EXPECT_EQ (d.count (MQ_ENTRY_REQUEST_PLAN), 1u);
  d.tick ();
  EXPECT_EQ (d.find (MQ_ENTRY_RELEASE_PLAN).u.release.attempt, 2u);
  EXPECT_EQ (d.count (MQ_ENTRY_CANCEL_STREAM), 0u);
  tick_until_plan_request (d);
  EXPECT_EQ (d.find (MQ_ENTRY_REQUEST_PLAN).u.request.attempt, 3u);
}

TEST (EntryStream, LostSilentAttemptIsReplannedAtOnce)
{
  Driver d;
  Plan other (3);

  open_long (d);
  tick_until_plan_request (d);
  d.failed (MQ_ENTRY_STREAM_FAILED, 1, 1, true);
  EXPECT_EQ (d.count (MQ_ENTRY_RELEASE_PLAN), 2u);
  EXPECT_EQ (d.find (MQ_ENTRY_REQUEST_PLAN).u.request.attempt, 3u);
  d.planned (1, 2, &other.plan);
  EXPECT_EQ (d.actions->len, 0u);
  d.planned (1, 3, &other.plan);
  EXPECT_EQ (d.count (MQ_ENTRY_OPEN_STREAM), 1u);
}

TEST (EntryStream, DisconnectedCallerReleasesReplacement)
{
  Driver d;

  open_long (d);
  tick_until_plan_request (d);
  d.send_event (MQ_ENTRY_CALLER_DISCONNECTED, 1);
  EXPECT_EQ (d.count (MQ_ENTRY_CANCEL_STREAM), 1u);
  EXPECT_EQ (d.count (MQ_ENTRY_RELEASE_PLAN), 2u);
}

/* Guards against counting silence as a lost attempt.  */
TEST (EntryStream, SilentAttemptsDoNotEndRequest)
{
  Driver d;

  open_long (d);
  for (uint32_t attempt = 2; attempt < 20; attempt++)
    {
      Plan p (attempt % 2 * 3);

      tick_until_plan_request (d);
      d.planned (1, attempt, &p.plan);
      ASSERT_EQ (d.count (MQ_ENTRY_OPEN_STREAM), 1u);
    }
  d.tokens (1, 19, 2, MAX_TOKENS);
  d.stream_end (1, 19, MQ_STREAM_DONE);
  d.expect_end (MQ_OUTCOME_DONE, MQ_REASON_NONE);
}

TEST (EntryStream, EachTokenPostponesStallTimeout)
{
  Driver d;

  d.open (1, d.model_call ());
  for (uint32_t i = 0; i < 3; i++)
    {
      d.tick_at (d.now + 900 * MS);
      EXPECT_EQ (d.actions->len, 0u);
      d.token (1, 1, i);
    }
  EXPECT_EQ (d.counters ().stalls, 0u);
}

TEST (EntryStream, BackPressureSuspendsStallTimeout)
{
  Driver d;

  d.open (1, d.model_call ());
  d.tokens (1, 1, 0, 2);
  d.back_pressure (1, true);
  d.tick_at (d.now + 1200 * MS);
  EXPECT_EQ (d.actions->len, 0u);
  d.back_pressure (1, false);
  d.tick_at (d.now + 1000 * MS - 1);
  EXPECT_EQ (d.actions->len, 0u);
  d.tick_at (d.now + 1);
  EXPECT_EQ (d.counters ().stalls, 1u);
}

TEST (EntryStream, BackPressureDoesNotExtendDeadline)
{
  Driver d;

  d.open (1, d.model_call ());
  d.tokens (1, 1, 0, 2);
  d.back_pressure (1, true);
  d.tick_at (d.now + 3600 * SECOND);
  d.expect_end (MQ_OUTCOME_FAILED, MQ_REASON_DEADLINE_MISSED);
}

TEST (EntryStream, NewAttemptStartsWithoutBackPressure)
{
  Driver d;

  d.open (1, d.model_call ());
  d.tokens (1, 1, 0, 2);
  d.back_pressure (1, true);
  d.failed (MQ_ENTRY_STREAM_FAILED, 1, 1, true, false);
  Plan p;
  d.planned (1, 2, &p.plan);
  ASSERT_EQ (d.count (MQ_ENTRY_OPEN_STREAM), 1u);
  d.tick_at (d.now + 1500 * MS);
  EXPECT_EQ (d.counters ().stalls, 1u);
}

TEST (EntryStream, RequestRefusedByAllStagesIsNotRun)
{
  Driver d;
  Plan p;

  d.call (1, d.model_call ());
  d.limited (1);
  d.planned (1, 1, &p.plan);
  d.failed (MQ_ENTRY_STREAM_FAILED, 1, 1, true, true);
  EXPECT_EQ (d.find (MQ_ENTRY_RELEASE_PLAN).u.release.end,
             MQ_ATTEMPT_STAGE_REFUSED);
  d.refused (1, 2, MQ_REASON_DEADLINE_UNREACHABLE);
  d.expect_end (MQ_OUTCOME_NOT_RUN, MQ_REASON_DEADLINE_MISSED);
}

TEST (EntryStream, OpenedStreamIsNeverReportedNotRun)
{
  Driver d;

  d.open (1, d.model_call ());
  d.failed (MQ_ENTRY_STREAM_FAILED, 1, 1, true);
  d.refused (1, 2, MQ_REASON_DEADLINE_UNREACHABLE);
  d.expect_end (MQ_OUTCOME_UNKNOWN, MQ_REASON_DEADLINE_MISSED);
}

TEST (EntryStream, BacksOffAndClearsAvoidedEnginesWithoutPipeline)
{
  Driver d;

  d.open (1, d.model_call ());
  d.tokens (1, 1, 0, 2);
  d.stream_end (1, 1, MQ_STREAM_STAGE_LOST, 2);
  for (uint32_t attempt = 2; attempt < 6; attempt++)
    {
      d.refused (1, attempt, MQ_REASON_NO_PIPELINE);
      EXPECT_EQ (d.count (MQ_ENTRY_END), 0u);
      while (d.count (MQ_ENTRY_REQUEST_PLAN) == 0)
        d.tick ();
      EXPECT_EQ (d.find (MQ_ENTRY_REQUEST_PLAN).u.request.n_avoid, 0u);
    }
}

TEST (EntryStream, EndsAfterTooManyLostAttempts)
{
  Driver d;
  Plan p;

  d.open (1, d.model_call ());
  for (uint32_t attempt = 1; mq_entry_in_flight (d.entry) > 0; attempt++)
    {
      ASSERT_LT (attempt, 20u);
      if (attempt > 1)
        d.planned (1, attempt, &p.plan);
      d.failed (MQ_ENTRY_STREAM_FAILED, 1, attempt, true);
    }
  d.expect_end (MQ_OUTCOME_UNKNOWN, MQ_REASON_UPSTREAM_FAILED);
}

/* Guards against ending a request that has begun for attempts that no engine
   accepted.  */
TEST (EntryStream, UnacceptedAttemptsDoNotEndRequestThatHasBegun)
{
  Driver d;
  Plan p;

  open_long (d);
  d.failed (MQ_ENTRY_STREAM_FAILED, 1, 1, true);
  for (uint32_t attempt = 2; attempt < 13; attempt++)
    {
      d.planned (1, attempt, &p.plan);
      d.failed (MQ_ENTRY_STREAM_FAILED, 1, attempt, true);
      ASSERT_EQ (d.count (MQ_ENTRY_REQUEST_PLAN), 1u);
    }
  d.planned (1, 13, &p.plan);
  d.send_event (MQ_ENTRY_STREAM_OPEN, 1, 13);
  d.tokens (1, 13, 2, MAX_TOKENS);
  d.stream_end (1, 13, MQ_STREAM_DONE);
  d.expect_end (MQ_OUTCOME_DONE, MQ_REASON_NONE);
}

TEST (EntryStream, OutcomeAtDeadlineTellsWhetherRequestRan)
{
  Driver d;

  d.open (1, d.model_call ());
  d.open (2, d.model_call ());
  d.tokens (1, 1, 0, 2, 100);
  g_array_index (d.config->services, mq_service, 0).deadline_ms = 1;
  d.config->policy.stall_ms = 100000;
  d.configure ();
  d.tick_at (d.now + 4 * SECOND);
  ASSERT_EQ (d.count (MQ_ENTRY_END), 2u);
  EXPECT_EQ (d.count (MQ_ENTRY_CANCEL_STREAM), 2u);
  for (guint i = 0; i < d.actions->len; i++)
    if (d.at (i).kind == MQ_ENTRY_END)
      {
        EXPECT_EQ (d.at (i).u.end.reason, MQ_REASON_DEADLINE_MISSED);
        EXPECT_EQ (d.at (i).u.end.outcome, d.at (i).handle == 1
                                               ? MQ_OUTCOME_FAILED
                                               : MQ_OUTCOME_UNKNOWN);
      }
  EXPECT_EQ (d.counters ().late, 2u);
  EXPECT_EQ (d.counters ().ended_early, 0u);
}

TEST (EntryStream, EndsEarlyWhenDeadlineIsUnreachable)
{
  Driver d;
  mq_call c = d.model_call ();

  learn_answer_length (d, 100);
  c.max_tokens = 100;
  d.open (1, c);
  /* 100 tokens at 80 ms take 8 s; the deadline is in 4 s.  */
  d.tokens (1, 1, 0, 100, 80 * MS);
  d.expect_end (MQ_OUTCOME_FAILED, MQ_REASON_DEADLINE_MISSED);
  EXPECT_EQ (d.count (MQ_ENTRY_CANCEL_STREAM), 1u);
  EXPECT_EQ (d.find (MQ_ENTRY_END).u.end.tokens, 9u);
  EXPECT_EQ (d.counters ().ended_early, 1u);
}

TEST (EntryStream, SinglePauseDoesNotCountAsSlowness)
{
  Driver d;
  mq_call c = d.model_call ();

  learn_answer_length (d, 100);
  c.max_tokens = 100;
  d.open (1, c);
  d.tokens (1, 1, 0, 20, 10 * MS);
  d.now += 900 * MS;
  d.tokens (1, 1, 20, 100, 10 * MS);
  d.stream_end (1, 1, MQ_STREAM_DONE);
  d.expect_end (MQ_OUTCOME_DONE, MQ_REASON_NONE);
}

TEST (EntryStream, ShortAnswersAreNotEndedEarlyForTheirMaximumLength)
{
  Driver d;

  for (uint64_t id = 1; id <= 30; id++)
    {
      mq_call c = d.model_call ();
      c.max_tokens = SERVICE_TOKENS;
      d.open (id, c);
      /* 200 tokens at 50 ms would take 10 s; the answer has 20 tokens.  */
      d.tokens (id, 1, 0, 20, 50 * MS);
      d.stream_end (id, 1, MQ_STREAM_DONE);
      d.expect_end (MQ_OUTCOME_DONE, MQ_REASON_NONE);
    }
}

TEST (EntryStream, RoundRobinRoutingEndsNothingEarly)
{
  Driver d;
  mq_call c = d.model_call ();

  d.config->policy.routing = MQ_ROUTING_ROUND_ROBIN;
  d.configure ();
  learn_answer_length (d, 100);
  c.max_tokens = 100;
  d.open (1, c);
  d.tokens (1, 1, 0, 49, 80 * MS);
  EXPECT_EQ (mq_entry_in_flight (d.entry), 1u);
  d.tick_at (d.now + 80 * MS);
  d.expect_end (MQ_OUTCOME_FAILED, MQ_REASON_DEADLINE_MISSED);
  EXPECT_EQ (d.counters ().ended_early, 0u);
}

TEST (EntryStream, ReplacesSlowAttemptOnce)
{
  Driver d;
  Plan p;
  Plan other (3);
  mq_call c = d.model_call ();

  /* The plan predicts 100 tokens at 10 ms; later tokens take 100 ms.  */
  c.max_tokens = 100;
  c.deadline_us = 4 * SECOND;
  d.call (1, c);
  d.limited (1);
  d.planned_with (1, 1, &p.plan, 20 * MS, 10 * MS, 100);
  d.tokens (1, 1, 0, 10, 10 * MS);
  while (d.count (MQ_ENTRY_REQUEST_PLAN) == 0)
    {
      ASSERT_EQ (mq_entry_in_flight (d.entry), 1u);
      d.now += 100 * MS;
      d.token (1, 1, (uint32_t)d.counters ().tokens);
    }
  EXPECT_EQ (d.count (MQ_ENTRY_CANCEL_STREAM), 0u);
  EXPECT_EQ (avoided (d.find (MQ_ENTRY_REQUEST_PLAN).u.request), "e0 e1 e2 ");
  EXPECT_LT (d.counters ().tokens, 22u);
  d.token (1, 1, (uint32_t)d.counters ().tokens);
  EXPECT_EQ (d.count (MQ_ENTRY_DELIVER), 1u);
  uint32_t sent = (uint32_t)d.counters ().tokens;
  d.planned_with (1, 2, &other.plan, 20 * MS, 10 * MS, 100 - sent);
  EXPECT_EQ (d.count (MQ_ENTRY_CANCEL_STREAM), 1u);
  EXPECT_EQ (d.find (MQ_ENTRY_OPEN_STREAM).u.open.sent_tokens, sent);
  d.tokens (1, 2, sent, 100, 10 * MS);
  d.stream_end (1, 2, MQ_STREAM_DONE);
  d.expect_end (MQ_OUTCOME_DONE, MQ_REASON_NONE);
  EXPECT_EQ (d.counters ().slow_attempts, 1u);
}

/* Guards against ending a run as too slow without anything better.  */
TEST (EntryStream, SlowAttemptOutlivesRefusedReplacement)
{
  Driver d;
  Plan p;
  mq_call c = d.model_call ();

  c.max_tokens = 100;
  c.deadline_us = 4 * SECOND;
  d.call (1, c);
  d.limited (1);
  d.planned_with (1, 1, &p.plan, 20 * MS, 10 * MS, 100);
  d.tokens (1, 1, 0, 10, 10 * MS);
  for (int i = 0; i < 20 && d.count (MQ_ENTRY_REQUEST_PLAN) == 0; i++)
    d.tokens (1, 1, 10 + i, 11 + i, 100 * MS);
  ASSERT_EQ (d.count (MQ_ENTRY_REQUEST_PLAN), 1u);
  d.refused (1, 2, MQ_REASON_DEADLINE_UNREACHABLE);
  EXPECT_EQ (d.actions->len, 0u);
  uint32_t sent = (uint32_t)d.counters ().tokens;
  d.tokens (1, 1, sent, sent + 2, 10 * MS);
  d.stream_end (1, 1, MQ_STREAM_DONE);
  d.expect_end (MQ_OUTCOME_DONE, MQ_REASON_NONE);
}

TEST (EntryStream, DoesNotOpenPlanThatArrivesTooLate)
{
  Driver d;
  Plan p;

  /* The router was paused between the plan request and the reply.  */
  d.call (1, d.model_call ());
  d.limited (1);
  d.now += 2 * SECOND;
  d.planned (1, 1, &p.plan);
  EXPECT_EQ (d.count (MQ_ENTRY_OPEN_STREAM), 0u);
  EXPECT_EQ (d.count (MQ_ENTRY_RELEASE_PLAN), 1u);
  ASSERT_EQ (d.count (MQ_ENTRY_REQUEST_PLAN), 1u);
  d.planned (1, 2, &p.plan);
  EXPECT_EQ (d.count (MQ_ENTRY_OPEN_STREAM), 1u);
}

TEST (EntryStream, DoesNotOpenPlanThatExpiredDuringClaim)
{
  Driver d;
  Plan p;

  d.call (1, d.guarded (d.model_call (), MQ_GUARD_KEY, "k"));
  d.limited (1);
  d.planned (1, 1, &p.plan);
  d.now += 1500 * MS;
  d.claimed (1, MQ_CLAIM_WON);
  ASSERT_EQ (d.count (MQ_ENTRY_REQUEST_PLAN), 1u);
  d.planned (1, 2, &p.plan);
  EXPECT_EQ (d.count (MQ_ENTRY_OPEN_STREAM), 1u)
      << "the claim must remain valid";
}

TEST (EntryStream, CompleteAnswerEndsWithoutFinalLine)
{
  Driver d;

  d.open (1, d.model_call ());
  d.tokens (1, 1, 0, MAX_TOKENS);
  d.tick ();
  d.expect_end (MQ_OUTCOME_DONE, MQ_REASON_NONE);
  EXPECT_EQ (d.count (MQ_ENTRY_CANCEL_STREAM), 1u);
}

TEST (EntryStream, ReplansWhenStreamEndsWithoutToken)
{
  Driver d;

  d.open (1, d.model_call ());
  d.stream_end (1, 1, MQ_STREAM_DONE);
  EXPECT_EQ (d.count (MQ_ENTRY_END), 0u);
  EXPECT_EQ (d.count (MQ_ENTRY_REQUEST_PLAN), 1u);
}

TEST (EntryStream, LimitsReplansPerWindowLeastSlackFirst)
{
  Driver d;
  constexpr uint64_t N = 60;
  std::vector<uint64_t> requested;
  std::vector<size_t> bursts;

  for (uint64_t id = 1; id <= N; id++)
    {
      mq_call c = d.model_call ();
      /* Later calls have less time.  */
      c.deadline_us = (40 - id / 2) * SECOND;
      d.open (id, c);
    }
  auto note = [&] () {
    for (guint i = 0; i < d.actions->len; i++)
      if (d.at (i).kind == MQ_ENTRY_REQUEST_PLAN)
        requested.push_back (d.at (i).handle);
    bursts.push_back (d.count (MQ_ENTRY_REQUEST_PLAN));
  };
  for (uint64_t id = 1; id <= N; id++)
    {
      d.failed (MQ_ENTRY_STREAM_FAILED, id, 1, true);
      note ();
    }
  size_t first_burst = requested.size ();
  EXPECT_EQ (first_burst, 16u);
  while (requested.size () < N)
    {
      d.tick ();
      note ();
      EXPECT_LE (bursts.back (), 16u);
    }
  for (size_t i = first_burst + 1; i < N; i++)
    EXPECT_GE (requested[i - 1] / 2, requested[i] / 2);
  EXPECT_EQ (d.counters ().queued_replans, N - 16);
}

TEST (EntryStream, DisconnectedCallerReleasesEverything)
{
  Driver d;

  d.open (1, d.model_call ());
  d.token (1, 1, 0);
  d.send_event (MQ_ENTRY_CALLER_DISCONNECTED, 1);
  d.expect_end (MQ_OUTCOME_FAILED, MQ_REASON_CALLER_GONE);
  EXPECT_EQ (d.count (MQ_ENTRY_CANCEL_STREAM), 1u);
  EXPECT_EQ (d.count (MQ_ENTRY_RELEASE_PLAN), 1u);
  EXPECT_EQ (d.count (MQ_ENTRY_RELEASE_LIMIT), 1u);
}

TEST (EntryStream, RepeatsUnansweredPlanRequestThenEnds)
{
  Driver d;

  d.call (1, d.model_call ());
  d.limited (1);
  d.tick ();
  EXPECT_EQ (d.count (MQ_ENTRY_RELEASE_PLAN), 1u);
  EXPECT_EQ (d.count (MQ_ENTRY_REQUEST_PLAN), 1u);
  d.tick ();
  EXPECT_EQ (d.count (MQ_ENTRY_REQUEST_PLAN), 1u);
  d.tick ();
  d.expect_end (MQ_OUTCOME_NOT_RUN, MQ_REASON_OVERLOADED);
}

TEST (EntryStream, LogsDecisionsToReplanAndEnd)
{
  Driver d;
  const mq_decision_log *log = mq_entry_decisions (d.entry);

  d.open (1, d.model_call ());
  d.tokens (1, 1, 0, 2);
  d.stream_end (1, 1, MQ_STREAM_STAGE_LOST, 2);
  d.refused (1, 2, MQ_REASON_DEADLINE_UNREACHABLE);
  ASSERT_EQ (mq_decision_log_count (log), 3u);
  EXPECT_STREQ (mq_decision_kind_name (mq_decision_log_at (log, 0)->kind),
                "admitted");
  EXPECT_EQ (mq_decision_log_at (log, 1)->kind, MQ_DECISION_MOVED);
  EXPECT_EQ (mq_decision_log_at (log, 1)->stage, 2u);
  EXPECT_EQ (mq_decision_log_at (log, 1)->tokens, 2u);
  EXPECT_EQ (mq_decision_log_at (log, 2)->kind, MQ_DECISION_ENDED);
  EXPECT_EQ (mq_decision_log_at (log, 2)->reason, MQ_REASON_DEADLINE_MISSED);
  EXPECT_EQ (mq_decision_log_at (log, 2)->left_us, 4 * SECOND - 20 * MS);
}

/* A request may have crashed a stage that fails before the first token, but
   not one that has sent tokens for MQ_QUARANTINE_STARTUP_US.  */
TEST (EntryStream, SuspectsRequestWhenStageFailsAtStart)
{
  Driver d;
  mq_call call = d.model_call ();

  call.content = 99;
  d.open (1, call);
  d.failed (MQ_ENTRY_STREAM_FAILED, 1, 1, true);
  EXPECT_EQ (d.count (MQ_ENTRY_SUSPECT), 1u);
  d.open (2, call);
  d.tokens (2, 1, 0, 1);
  d.now += 600 * MS;
  d.token (2, 1, 1);
  d.failed (MQ_ENTRY_STREAM_FAILED, 2, 1, true);
  EXPECT_EQ (d.count (MQ_ENTRY_SUSPECT), 0u);
}

TEST (EntryStream, QuarantinedRequestIsNotReplanned)
{
  Driver d;
  mq_call call = d.model_call ();

  call.content = 99;
  d.open (1, call);
  for (uint64_t upstream : { 1, 2, 3 })
    mq_quarantine_add (&d.quarantine, 99, upstream, d.now, d.now);
  d.now += 300 * MS;
  d.failed (MQ_ENTRY_STREAM_FAILED, 1, 1, true);
  EXPECT_EQ (d.count (MQ_ENTRY_REQUEST_PLAN), 0u);
  EXPECT_EQ (d.find (MQ_ENTRY_END).u.end.reason, MQ_REASON_QUARANTINED);
  EXPECT_NE (d.find (MQ_ENTRY_END).u.end.outcome, MQ_OUTCOME_NOT_RUN);
}
