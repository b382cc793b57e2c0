/* Requests from call to end: outcomes, priorities, refusals and drain.  */

#include "entry_fixture.h"

using namespace entry_test;

TEST (Entry, StreamsCompleteAnswer)
{
  Driver d;
  Plan p;

  d.call (1, d.model_call ());
  ASSERT_EQ (d.count (MQ_ENTRY_REQUEST_LIMIT), 1u);
  d.limited (1);
  ASSERT_EQ (d.count (MQ_ENTRY_REQUEST_PLAN), 1u);
  EXPECT_EQ (d.find (MQ_ENTRY_REQUEST_PLAN).u.request.max_tokens, MAX_TOKENS);
  EXPECT_EQ (d.find (MQ_ENTRY_REQUEST_PLAN).u.request.deadline_us, 4 * SECOND);
  d.planned (1, 1, &p.plan);
  ASSERT_EQ (d.count (MQ_ENTRY_OPEN_STREAM), 1u);
  d.send_event (MQ_ENTRY_STREAM_OPEN, 1, 1);
  for (uint32_t i = 0; i < MAX_TOKENS; i++)
    {
      d.now += 10 * MS;
      d.token (1, 1, i);
      ASSERT_EQ (d.count (MQ_ENTRY_DELIVER), 1u);
      EXPECT_EQ (d.find (MQ_ENTRY_DELIVER).u.deliver.position, i);
    }
  d.stream_end (1, 1, MQ_STREAM_DONE);
  d.expect_end (MQ_OUTCOME_DONE, MQ_REASON_NONE);
  EXPECT_EQ (d.count (MQ_ENTRY_RELEASE_LIMIT), 1u);
  ASSERT_EQ (d.count (MQ_ENTRY_RELEASE_PLAN), 1u);
  EXPECT_EQ (d.find (MQ_ENTRY_RELEASE_PLAN).u.release.mean_gap_us, 10 * MS);
  EXPECT_EQ (d.count (MQ_ENTRY_CANCEL_STREAM), 0u);
  EXPECT_EQ (mq_entry_in_flight (d.entry), 0u);
}

/* Returns the priority of the plan request for a call with priority REQUESTED,
   if its service has priority 5 and its organisation has
   ORGANISATION_PRIORITY.  */
static int32_t
planned_priority (int32_t requested, int32_t organisation_priority)
{
  Driver d;
  mq_call c = d.model_call ();

  g_array_index (d.config->organisations, mq_organisation, 0).priority
      = organisation_priority;
  c.priority = requested;
  d.call (1, c);
  d.limited (1);
  return d.find (MQ_ENTRY_REQUEST_PLAN).u.request.priority;
}

TEST (Entry, CallerCannotRaiseItsPriorityAboveItsOrganisations)
{
  EXPECT_EQ (planned_priority (-1, 7), 5);
  EXPECT_EQ (planned_priority (9, 7), 7);
  EXPECT_EQ (planned_priority (9, 0), 5);
  EXPECT_EQ (planned_priority (6, 7), 6);
  EXPECT_EQ (planned_priority (1, 7), 1);
}

TEST (Entry, ForwardsPlainReply)
{
  Driver d;

  d.call (1, d.plain_call ());
  d.limited (1);
  ASSERT_EQ (d.count (MQ_ENTRY_SEND), 1u);
  d.reply (1, 1);
  EXPECT_EQ (d.count (MQ_ENTRY_FORWARD_REPLY), 1u);
  d.expect_end (MQ_OUTCOME_DONE, MQ_REASON_NONE);
  EXPECT_EQ (d.count (MQ_ENTRY_RELEASE_LIMIT), 1u);
}

TEST (Entry, ReportsReasonOfRefusal)
{
  Driver d;
  mq_call c = d.model_call ();

  c.organisation = MQ_SPAN ("nobody");
  d.call (1, c);
  d.expect_end (MQ_OUTCOME_NOT_RUN, MQ_REASON_UNAUTHENTICATED);
  c = d.model_call ();
  c.service = MQ_SPAN ("none");
  d.call (2, c);
  d.expect_end (MQ_OUTCOME_NOT_RUN, MQ_REASON_UNKNOWN_SERVICE);
  c = d.model_call ();
  c.max_tokens = SERVICE_TOKENS + 1;
  d.call (3, c);
  d.expect_end (MQ_OUTCOME_NOT_RUN, MQ_REASON_BAD_REQUEST);
  c = d.model_call ();
  c.deadline_us = 61 * SECOND;
  d.call (4, c);
  d.expect_end (MQ_OUTCOME_NOT_RUN, MQ_REASON_BAD_REQUEST);
  d.call (5, d.model_call ());
  d.limited (5, false);
  d.expect_end (MQ_OUTCOME_NOT_RUN, MQ_REASON_ORGANISATION_LIMIT);
  EXPECT_EQ (d.find (MQ_ENTRY_END).u.end.retry_after_us, 300 * MS);
  EXPECT_EQ (d.count (MQ_ENTRY_RELEASE_LIMIT), 0u);
  d.call (6, d.model_call ());
  d.limited (6);
  d.refused (6, 1, MQ_REASON_DEADLINE_UNREACHABLE, 700 * MS);
  d.expect_end (MQ_OUTCOME_NOT_RUN, MQ_REASON_DEADLINE_UNREACHABLE);
  EXPECT_EQ (d.find (MQ_ENTRY_END).u.end.retry_after_us, 700 * MS);
  EXPECT_EQ (d.count (MQ_ENTRY_RELEASE_LIMIT), 1u);
  EXPECT_EQ (d.count (MQ_ENTRY_RELEASE_PLAN), 0u);
  EXPECT_EQ (d.counters ().refused, 6u);
}

TEST (Entry, RefusesCallsWithoutConfiguration)
{
  Driver d (false);

  d.call (1, d.model_call ());
  d.expect_end (MQ_OUTCOME_NOT_RUN, MQ_REASON_NO_CONFIGURATION);
}

TEST (Entry, DrainFinishesRequestsInFlight)
{
  Driver d;

  d.open (1, d.model_call ());
  d.send_event (MQ_ENTRY_DRAIN);
  EXPECT_EQ (d.count (MQ_ENTRY_DRAINED), 0u);
  d.call (2, d.model_call ());
  d.expect_end (MQ_OUTCOME_NOT_RUN, MQ_REASON_LEAVING);
  d.token (1, 1, 0);
  EXPECT_EQ (d.count (MQ_ENTRY_DELIVER), 1u);
  d.stream_end (1, 1, MQ_STREAM_DONE);
  d.expect_end (MQ_OUTCOME_DONE, MQ_REASON_NONE);
  EXPECT_EQ (d.count (MQ_ENTRY_DRAINED), 1u);
  d.send_event (MQ_ENTRY_DRAIN);
  EXPECT_EQ (d.count (MQ_ENTRY_DRAINED), 0u);
}
