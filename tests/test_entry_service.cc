/* Calls of plain services: sends, retries, tickets and keys.  */

#include "entry_fixture.h"

using namespace entry_test;

namespace
{

/* Tick until the retry is sent.  */
void
tick_to_send (Driver &d)
{
  while (d.count (MQ_ENTRY_SEND) == 0)
    {
      ASSERT_NE (mq_entry_next_tick (d.entry), UINT64_MAX);
      d.tick ();
      ASSERT_EQ (d.count (MQ_ENTRY_END), 0u);
    }
}

std::string
url (const Driver &d)
{
  mq_span u = d.find (MQ_ENTRY_SEND).u.send.url;
  return std::string (u.data, u.size);
}

} // namespace

TEST (EntryService, DoesNotRetryNonRepeatableCallThatMayHaveRun)
{
  Driver d;

  d.send (1, d.plain_call ());
  d.failed (MQ_ENTRY_SEND_FAILED, 1, 1, true);
  d.expect_end (MQ_OUTCOME_UNKNOWN, MQ_REASON_UPSTREAM_FAILED);
}

TEST (EntryService, RetriesCallProvenNotRunOnAnotherInstance)
{
  Driver d;

  d.send (1, d.plain_call ());
  std::string first = url (d);
  d.failed (MQ_ENTRY_SEND_FAILED, 1, 1, false);
  tick_to_send (d);
  EXPECT_NE (url (d), first);
  d.failed (MQ_ENTRY_SEND_FAILED, 1, 2, true, true);
  tick_to_send (d);
  d.reply (1, 3);
  d.expect_end (MQ_OUTCOME_DONE, MQ_REASON_NONE);
  EXPECT_EQ (d.counters ().retries, 2u);
}

TEST (EntryService, UnreachableServiceIsNotRunWithRetryAfter)
{
  Driver d;

  d.send (1, d.plain_call ());
  for (uint32_t attempt = 1; mq_entry_in_flight (d.entry) > 0; attempt++)
    {
      if (attempt > 1)
        tick_to_send (d);
      d.failed (MQ_ENTRY_SEND_FAILED, 1, attempt, false);
    }
  d.expect_end (MQ_OUTCOME_NOT_RUN, MQ_REASON_UPSTREAM_FAILED);
  EXPECT_GT (d.find (MQ_ENTRY_END).u.end.retry_after_us, 0u);
}

TEST (EntryService, RetriesRepeatableCallAfterLostReply)
{
  Driver d;

  d.send (1, d.plain_call ("GET"));
  d.failed (MQ_ENTRY_SEND_FAILED, 1, 1, true);
  tick_to_send (d);
  d.reply (1, 2, 503);
  EXPECT_EQ (d.count (MQ_ENTRY_FORWARD_REPLY), 0u);
  tick_to_send (d);
  d.reply (1, 3);
  d.expect_end (MQ_OUTCOME_DONE, MQ_REASON_NONE);
}

TEST (EntryService, ForwardsServerErrorWithUnknownOutcome)
{
  Driver d;

  d.send (1, d.plain_call ());
  d.reply (1, 1, 500);
  EXPECT_EQ (d.count (MQ_ENTRY_FORWARD_REPLY), 1u);
  d.expect_end (MQ_OUTCOME_UNKNOWN, MQ_REASON_UPSTREAM_FAILED);
}

TEST (EntryService, DropsLateReplyOfEarlierSend)
{
  Driver d;

  d.send (1, d.plain_call ("GET"));
  d.failed (MQ_ENTRY_SEND_FAILED, 1, 1, true);
  tick_to_send (d);
  d.reply (1, 1);
  EXPECT_EQ (d.actions->len, 0u);
  EXPECT_EQ (d.counters ().stale_events, 1u);
}

TEST (EntryService, RetriesStayWithinBudget)
{
  Driver d;
  uint64_t failed = 0;

  /* All first sends fail.  The budget allows 10 retries at the start and 20
     for each 100 calls.  */
  for (uint64_t id = 1; id <= 200; id++)
    {
      d.now += 100 * MS;
      d.send (id, d.plain_call ("GET"));
      d.failed (MQ_ENTRY_SEND_FAILED, id, 1, true);
      if (d.count (MQ_ENTRY_END) > 0)
        {
          d.expect_end (MQ_OUTCOME_UNKNOWN, MQ_REASON_UPSTREAM_FAILED);
          failed++;
          continue;
        }
      tick_to_send (d);
      d.reply (id, 2);
    }
  EXPECT_LE (d.counters ().retries, 10u + 40u);
  EXPECT_GE (d.counters ().retries, 40u);
  EXPECT_EQ (d.counters ().retries_denied, failed);
}

TEST (EntryService, ExhaustedBudgetDoesNotAffectOtherOrganisation)
{
  Driver d;
  uint64_t id = 1;
  mq_call c = d.plain_call ("GET");

  g_array_index (d.config->services, mq_service, 1).retry_percent = 100;
  d.configure ();
  /* Repeated retries exhaust the budget of the organisation.  */
  for (; d.counters ().retries_denied == 0; id++)
    {
      ASSERT_LT (id, 100u);
      d.now += 10 * SECOND;
      d.send (id, c);
      for (uint32_t attempt = 1; mq_entry_in_flight (d.entry) > 0; attempt++)
        {
          if (attempt > 1)
            tick_to_send (d);
          d.failed (MQ_ENTRY_SEND_FAILED, id, attempt, false);
        }
    }
  c.service = MQ_SPAN ("quotes");
  d.send (++id, c);
  d.failed (MQ_ENTRY_SEND_FAILED, id, 1, false);
  EXPECT_EQ (d.count (MQ_ENTRY_END), 1u) << "same organisation";
  c.organisation = MQ_SPAN ("zeta");
  d.send (++id, c);
  d.failed (MQ_ENTRY_SEND_FAILED, id, 1, false);
  EXPECT_EQ (d.count (MQ_ENTRY_END), 0u) << "another organisation";
}

TEST (EntryService, RefusesCallWhenAllInstancesAreFull)
{
  Driver d;

  /* Two instances with two calls each.  */
  for (uint64_t id = 1; id <= 4; id++)
    {
      d.send (id, d.plain_call ());
      ASSERT_EQ (d.count (MQ_ENTRY_SEND), 1u);
    }
  d.send (5, d.plain_call ());
  d.expect_end (MQ_OUTCOME_NOT_RUN, MQ_REASON_OVERLOADED);
  EXPECT_GT (d.find (MQ_ENTRY_END).u.end.retry_after_us, 0u);
  d.reply (1, 1);
  d.send (6, d.plain_call ());
  EXPECT_EQ (d.count (MQ_ENTRY_SEND), 1u);
}

TEST (EntryService, PrefersInstanceInSameDomainAndSpreadsLoad)
{
  Driver d;

  d.send (1, d.plain_call ());
  EXPECT_EQ (url (d), "http://127.0.0.1:9100");
  d.send (2, d.plain_call ());
  EXPECT_EQ (url (d), "http://127.0.0.1:9101");
}

TEST (EntryService, EndsAtDeadlineWithUnknownOutcome)
{
  Driver d;

  d.send (1, d.plain_call ());
  EXPECT_EQ (d.find (MQ_ENTRY_SEND).u.send.deadline_us, 1 * SECOND);
  d.tick ();
  d.expect_end (MQ_OUTCOME_UNKNOWN, MQ_REASON_DEADLINE_MISSED);
  EXPECT_EQ (d.count (MQ_ENTRY_CANCEL_SEND), 1u);
  d.reply (1, 1);
  EXPECT_EQ (d.actions->len, 0u);
}

TEST (EntryService, TicketRunsOnce)
{
  Driver d;
  mq_call c = d.guarded (d.plain_call (), MQ_GUARD_TICKET, "17");

  d.send (1, c);
  ASSERT_EQ (d.count (MQ_ENTRY_SEND), 1u);
  d.call (2, c);
  d.expect_end (MQ_OUTCOME_UNKNOWN, MQ_REASON_KEY_IN_FLIGHT);
  d.reply (1, 1);
  d.call (3, c);
  d.expect_end (MQ_OUTCOME_DONE, MQ_REASON_TICKET_SPENT);
  d.call (4, d.guarded (d.plain_call (), MQ_GUARD_TICKET, "17", 2));
  d.expect_end (MQ_OUTCOME_NOT_RUN, MQ_REASON_TICKET_SPENT);
  EXPECT_EQ (d.counters ().guard_hits, 3u);
}

TEST (EntryService, TicketOfCallNotRunMayRunAgain)
{
  Driver d;
  mq_call c = d.guarded (d.plain_call (), MQ_GUARD_TICKET, "17");

  d.call (1, c);
  d.limited (1, false);
  d.expect_end (MQ_OUTCOME_NOT_RUN, MQ_REASON_ORGANISATION_LIMIT);
  d.send (2, c);
  EXPECT_EQ (d.count (MQ_ENTRY_SEND), 1u);
}

TEST (EntryService, TicketNumbersAreSeparatePerOrganisation)
{
  Driver d;
  mq_call c = d.guarded (d.plain_call (), MQ_GUARD_TICKET, "17");

  d.send (1, c);
  c.organisation = MQ_SPAN ("zeta");
  d.send (2, c);
  EXPECT_EQ (d.count (MQ_ENTRY_SEND), 1u);
}

TEST (EntryService, GuardedCallContinuesAfterCallerDisconnects)
{
  Driver d;
  mq_call c = d.guarded (d.plain_call (), MQ_GUARD_TICKET, "17");

  d.send (1, c);
  d.send_event (MQ_ENTRY_CALLER_DISCONNECTED, 1);
  EXPECT_EQ (d.actions->len, 0u);
  d.reply (1, 1);
  EXPECT_EQ (d.count (MQ_ENTRY_FORWARD_REPLY), 0u);
  d.expect_end (MQ_OUTCOME_DONE, MQ_REASON_NONE);
  d.call (2, c);
  d.expect_end (MQ_OUTCOME_DONE, MQ_REASON_TICKET_SPENT);
}

TEST (EntryService, UnguardedCallIsCancelledWhenCallerDisconnects)
{
  Driver d;

  d.send (1, d.plain_call ());
  d.send_event (MQ_ENTRY_CALLER_DISCONNECTED, 1);
  EXPECT_EQ (d.count (MQ_ENTRY_CANCEL_SEND), 1u);
  d.expect_end (MQ_OUTCOME_UNKNOWN, MQ_REASON_CALLER_GONE);
}

TEST (EntryService, DrainingRouterReportsOutcomeOfSpentTicket)
{
  Driver d;
  mq_call c = d.guarded (d.plain_call (), MQ_GUARD_TICKET, "17");
  mq_call fresh = d.guarded (d.plain_call (), MQ_GUARD_TICKET, "18");

  d.send (1, c);
  d.reply (1, 1);
  d.send_event (MQ_ENTRY_DRAIN);
  d.call (2, c);
  d.expect_end (MQ_OUTCOME_DONE, MQ_REASON_TICKET_SPENT);
  d.call (3, fresh);
  d.expect_end (MQ_OUTCOME_NOT_RUN, MQ_REASON_LEAVING);
}

TEST (EntryService, ReportsOutcomeOfSpentTicketAfterServiceIsRemoved)
{
  Driver d;
  mq_call c = d.guarded (d.plain_call (), MQ_GUARD_TICKET, "17");
  mq_config *without = make_config (2);

  d.send (1, c);
  d.reply (1, 1);
  g_array_remove_index (without->services, 1);
  mq_config_unref (d.config);
  d.config = without;
  d.configure ();
  d.call (2, c);
  d.expect_end (MQ_OUTCOME_DONE, MQ_REASON_TICKET_SPENT);
}

TEST (EntryService, KeyRunsOnlyAfterClaimIsWon)
{
  Driver d;
  mq_call c = d.guarded (d.plain_call (), MQ_GUARD_KEY, "k");

  d.send (1, c);
  EXPECT_EQ (d.count (MQ_ENTRY_SEND), 0u);
  ASSERT_EQ (d.count (MQ_ENTRY_CLAIM), 1u);
  d.claimed (1, MQ_CLAIM_WON);
  EXPECT_EQ (d.count (MQ_ENTRY_SEND), 1u);
  d.reply (1, 1);
  d.call (2, c);
  d.expect_end (MQ_OUTCOME_DONE, MQ_REASON_KEY_SPENT);
}

TEST (EntryService, LostClaimHasUnknownOutcome)
{
  Driver d;

  d.send (1, d.guarded (d.plain_call (), MQ_GUARD_KEY, "k"));
  d.claimed (1, MQ_CLAIM_LOST);
  d.expect_end (MQ_OUTCOME_UNKNOWN, MQ_REASON_KEY_IN_FLIGHT);
}

/* The winner may have released the key, so this router must not answer from
   its own table.  */
TEST (EntryService, CallAfterLostClaimClaimsAgain)
{
  Driver d;

  d.send (1, d.guarded (d.plain_call (), MQ_GUARD_KEY, "k"));
  d.claimed (1, MQ_CLAIM_LOST);
  d.send (2, d.guarded (d.plain_call (), MQ_GUARD_KEY, "k"));
  ASSERT_EQ (d.count (MQ_ENTRY_CLAIM), 1u);
  d.claimed (2, MQ_CLAIM_WON);
  EXPECT_EQ (d.count (MQ_ENTRY_SEND), 1u);
}

TEST (EntryService, RefusesKeyWithDifferentBody)
{
  Driver d;

  d.send (1, d.guarded (d.plain_call (), MQ_GUARD_KEY, "k", 1));
  d.call (2, d.guarded (d.plain_call (), MQ_GUARD_KEY, "k", 2));
  d.expect_end (MQ_OUTCOME_NOT_RUN, MQ_REASON_KEY_MISMATCH);
  d.send (3, d.guarded (d.plain_call (), MQ_GUARD_KEY, "k2", 1));
  d.claimed (3, MQ_CLAIM_MISMATCH);
  d.expect_end (MQ_OUTCOME_NOT_RUN, MQ_REASON_KEY_MISMATCH);
}

TEST (EntryService, KeyDoesNotRunWhilePlatformIsUnavailable)
{
  Driver d;

  d.send (1, d.guarded (d.plain_call (), MQ_GUARD_KEY, "k"));
  d.claimed (1, MQ_CLAIM_UNAVAILABLE);
  d.expect_end (MQ_OUTCOME_NOT_RUN, MQ_REASON_PLATFORM_UNAVAILABLE);
  d.send (2, d.guarded (d.plain_call (), MQ_GUARD_KEY, "k"));
  d.tick_at (d.now + 999 * MS);
  EXPECT_EQ (d.actions->len, 0u);
  d.tick ();
  d.expect_end (MQ_OUTCOME_NOT_RUN, MQ_REASON_DEADLINE_MISSED);
  d.claimed (2, MQ_CLAIM_WON);
  EXPECT_EQ (d.actions->len, 0u);
}

TEST (EntryService, RepeatableCallNeedsNoClaim)
{
  Driver d;

  d.send (1, d.guarded (d.plain_call ("POST", "quotes"), MQ_GUARD_KEY, "k"));
  EXPECT_EQ (d.count (MQ_ENTRY_CLAIM), 0u);
  EXPECT_EQ (d.count (MQ_ENTRY_SEND), 1u);
  d.failed (MQ_ENTRY_SEND_FAILED, 1, 1, true);
  tick_to_send (d);
  d.send (2, d.guarded (d.plain_call ("GET"), MQ_GUARD_KEY, "k"));
  EXPECT_EQ (d.count (MQ_ENTRY_SEND), 1u);
}

TEST (EntryService, ModelRequestClaimsKeyAfterPlan)
{
  Driver d;
  Plan p;

  d.call (1, d.guarded (d.model_call (), MQ_GUARD_KEY, "k"));
  d.limited (1);
  EXPECT_EQ (d.count (MQ_ENTRY_CLAIM), 0u);
  d.planned (1, 1, &p.plan);
  EXPECT_EQ (d.count (MQ_ENTRY_OPEN_STREAM), 0u);
  d.claimed (1, MQ_CLAIM_WON);
  ASSERT_EQ (d.count (MQ_ENTRY_OPEN_STREAM), 1u);
  /* The second attempt needs no second claim.  */
  d.failed (MQ_ENTRY_STREAM_FAILED, 1, 1, true);
  d.planned (1, 2, &p.plan);
  EXPECT_EQ (d.count (MQ_ENTRY_OPEN_STREAM), 1u);
}

TEST (EntryService, CallIsNotRunIfServiceIsRemovedDuringBackoff)
{
  Driver d;
  mq_config *without = make_config (2);

  g_array_remove_index (without->services, 1);
  d.send (1, d.plain_call ());
  d.failed (MQ_ENTRY_SEND_FAILED, 1, 1, false);
  mq_config_unref (d.config);
  d.config = without;
  d.configure ();
  while (d.count (MQ_ENTRY_END) == 0)
    d.tick ();
  d.expect_end (MQ_OUTCOME_NOT_RUN, MQ_REASON_UNKNOWN_SERVICE);
}

/* A request that crashed three instances is quarantined.  */
TEST (EntryService, RefusesQuarantinedCallAsNotRun)
{
  Driver d;
  mq_call call = d.plain_call ();

  call.content = 99;
  for (uint64_t upstream : { 1, 2, 3 })
    mq_quarantine_add (&d.quarantine, 99, upstream, d.now, d.now);
  d.now += 300 * MS;
  d.call (1, call);
  d.expect_end (MQ_OUTCOME_NOT_RUN, MQ_REASON_QUARANTINED);
  EXPECT_GT (d.find (MQ_ENTRY_END).u.end.retry_after_us, 0u);
  call.content = 98;
  d.call (2, call);
  EXPECT_EQ (d.count (MQ_ENTRY_REQUEST_LIMIT), 1u);
}

TEST (EntryService, BrokenConnectionMakesCallSuspect)
{
  Driver d;
  mq_call call = d.plain_call ();

  call.content = 99;
  d.send (1, call);
  std::string at = url (d);
  d.failed (MQ_ENTRY_SEND_FAILED, 1, 1, true);
  ASSERT_EQ (d.count (MQ_ENTRY_SUSPECT), 1u);
  EXPECT_EQ (d.find (MQ_ENTRY_SUSPECT).u.suspect.content, 99u);
  mq_span u = d.find (MQ_ENTRY_SUSPECT).u.suspect.url;
  EXPECT_EQ (std::string (u.data, u.size), at);
  /* A call that did not run cannot have crashed its instance.  */
  d.send (2, call);
  d.failed (MQ_ENTRY_SEND_FAILED, 2, 1, false);
  EXPECT_EQ (d.count (MQ_ENTRY_SUSPECT), 0u);
}

TEST (EntryService, CompleteReplyClearsSuspect)
{
  Driver d;
  mq_call call = d.plain_call ();

  call.content = 99;
  mq_quarantine_add (&d.quarantine, 99, 1, d.now, d.now);
  d.now += MS;
  d.send (1, call);
  d.reply (1, 1);
  EXPECT_EQ (mq_quarantine_find (&d.quarantine, 99)->n, 0u);
}
