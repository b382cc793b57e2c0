/* The entry: event dispatch, the table of requests and their ends.

   See mq/entry.h for the contract and mq/internal/entry.h for the division
   into source files.  */

#include <mq/internal/defect.h>
#include <mq/internal/entry.h>
#include <mq/internal/request_heap.h>

#define MAX_DECISIONS 4096
/* Maximum guarded calls remembered.  A ticket must not outlive its call here:
   see MQ_ENTRY_GUARD_RETENTION_US.  */
#define MAX_GUARDS 65536
#define RETRY_BURST 10
/* Timeout for replies of the limiter and the planner.  */
#define REPLY_TIMEOUT_US 500000
/* A safety net: the claim module has a timeout of its own.  */
#define CLAIM_TIMEOUT_US 2000000
/* Retry-After times for refused callers.  */
#define SHORT_RETRY_AFTER_US 200000
#define LONG_RETRY_AFTER_US 1000000

mq_entry_action *
mq_entry_emit (mq_entry *entry, const mq_request *request,
               mq_entry_action_kind kind)
{
  mq_entry_action *a;

  g_array_set_size (entry->actions, entry->actions->len + 1);
  a = &g_array_index (entry->actions, mq_entry_action,
                      entry->actions->len - 1);
  *a = (mq_entry_action){ .kind = kind };
  if (request != NULL)
    {
      a->handle = request->handle;
      a->attempt = request->attempt;
      a->id = request->id;
    }
  return a;
}

/* Returns when the timer of REQUEST is due.  */
static uint64_t
entry_due_us (const mq_entry *entry, const mq_request *request)
{
  uint64_t due = request->deadline_us;

  if (mq_defect_enabled (MQ_DEFECT_DEADLINE_IGNORED))
    due = UINT64_MAX;
  switch (request->state)
    {
    case MQ_REQUEST_LIMITING:
    case MQ_REQUEST_PLANNING:
      return MIN (due, request->state_since_us + REPLY_TIMEOUT_US);
    case MQ_REQUEST_CLAIMING:
      return MIN (due, request->state_since_us + CLAIM_TIMEOUT_US);
    case MQ_REQUEST_OPENING:
    case MQ_REQUEST_STREAMING:
      return MIN (due, mq_stream_due_us (entry, request));
    case MQ_REQUEST_BACKING_OFF:
      return MIN (due, request->resume_us);
    case MQ_REQUEST_CALLING:
    case MQ_REQUEST_IDLE:
    case MQ_REQUEST_QUEUED:
    case MQ_REQUEST_ENDED:
      break;
    }
  return due;
}

void
mq_entry_set_state (mq_entry *entry, mq_request *request,
                    mq_request_state state)
{
  request->state = state;
  request->state_since_us = entry->now_us;
  mq_request_heap_put (entry->timers, request, entry_due_us (entry, request));
}

bool
mq_entry_uses_deadline_routing (const mq_entry *entry)
{
  return entry->config->policy.routing == MQ_ROUTING_DEADLINE;
}

mq_decision
mq_entry_decision (const mq_entry *entry, const mq_request *request,
                   mq_decision_kind kind)
{
  return (mq_decision){ .kind = kind,
                        .at_us = entry->now_us,
                        .id = request->id,
                        .handle = request->handle,
                        .attempt = request->attempt,
                        .tokens = request->tokens,
                        .left_us
                        = mq_request_remaining_us (request, entry->now_us),
                        .work_us = mq_request_work_us (request),
                        .figures = request->figures };
}

static void
entry_count_end (mq_entry *entry, mq_outcome outcome, mq_reason reason,
                 bool sent)
{
  entry->counters.ended[outcome]++;
  entry->counters.reasons[reason]++;
  if (!sent)
    entry->counters.refused++;
}

static void
entry_count_late (mq_entry *entry, const mq_request *request)
{
  entry->counters.late++;
  if (mq_request_remaining_us (request, entry->now_us) > 0)
    entry->counters.ended_early++;
}

static void
entry_record_end (mq_entry *entry, const mq_request *request,
                  mq_outcome outcome, mq_reason reason,
                  uint64_t retry_after_us)
{
  bool sent = request->may_have_run;
  mq_decision d = mq_entry_decision (
      entry, request, sent ? MQ_DECISION_ENDED : MQ_DECISION_REFUSED);

  d.outcome = outcome;
  d.reason = reason;
  d.retry_after_us = retry_after_us;
  mq_decision_log_add (entry->decisions, &d);
}

/* Emit DRAINED once, when nothing is in flight.  */
static void
entry_check_drained (mq_entry *entry)
{
  if (!entry->draining || entry->drained_reported
      || g_hash_table_size (entry->requests) > 0)
    return;
  entry->drained_reported = true;
  mq_entry_emit (entry, NULL, MQ_ENTRY_DRAINED);
}

static void
entry_release_limit (mq_entry *entry, mq_request *request)
{
  mq_entry_action *a;

  if (!request->limit_held || mq_defect_enabled (MQ_DEFECT_LIMIT_KEPT))
    return;
  request->limit_held = false;
  a = mq_entry_emit (entry, request, MQ_ENTRY_RELEASE_LIMIT);
  a->u.limit.organisation = mq_str_span (request->organisation);
  a->u.limit.tokens = request->tokens;
}

static void
entry_finish_guard (mq_entry *entry, const mq_request *request,
                    mq_outcome outcome)
{
  if (request->guarded)
    mq_idempotency_finish (
        entry->guards, request->guard, mq_str_span (request->organisation),
        mq_str_span (request->guard_value), outcome, entry->now_us);
}

void
mq_entry_end (mq_entry *entry, mq_request *request, mq_outcome outcome,
              mq_reason reason, uint64_t retry_after_us)
{
  mq_entry_action *a;

  switch (request->kind)
    {
    case MQ_SERVICE_MODEL:
      mq_stream_close (entry, request, outcome);
      break;
    case MQ_SERVICE_PLAIN:
      mq_service_call_close (entry, request);
      break;
    }
  entry_release_limit (entry, request);
  entry_finish_guard (entry, request, outcome);
  entry_count_end (entry, outcome, reason, request->may_have_run);
  if (reason == MQ_REASON_DEADLINE_MISSED)
    entry_count_late (entry, request);
  entry_record_end (entry, request, outcome, reason, retry_after_us);
  a = mq_entry_emit (entry, request, MQ_ENTRY_END);
  a->u.end.outcome = outcome;
  a->u.end.reason = reason;
  a->u.end.retry_after_us = retry_after_us;
  a->u.end.tokens = request->tokens;
  if (mq_defect_enabled (MQ_DEFECT_ENDS_TWICE))
    mq_entry_emit (entry, request, MQ_ENTRY_END);
  request->state = MQ_REQUEST_ENDED;
  mq_request_heap_remove (entry->timers, request);
  g_ptr_array_add (entry->ended, request);
  g_hash_table_steal (entry->requests, &request->handle);
  entry_check_drained (entry);
}

void
mq_entry_give_up (mq_entry *entry, mq_request *request, mq_reason reason,
                  uint64_t retry_after_us)
{
  mq_entry_end (entry, request, mq_request_outcome (request), reason,
                retry_after_us);
}

void
mq_entry_suspect (mq_entry *entry, mq_request *request, mq_str *url)
{
  mq_entry_action *a;

  if (entry->quarantine == NULL || request->content == 0 || request->cleared)
    return;
  mq_str_ref (url);
  mq_str_unref (request->suspect_url);
  request->suspect_url = url;
  a = mq_entry_emit (entry, request, MQ_ENTRY_SUSPECT);
  a->u.suspect.content = request->content;
  a->u.suspect.url = mq_str_span (url);
}

void
mq_entry_note_success (mq_entry *entry, const mq_request *request)
{
  if (entry->quarantine != NULL && request->content != 0)
    (void)mq_quarantine_note_success (entry->quarantine, request->content,
                                      entry->now_us);
}

uint64_t
mq_entry_quarantine_remaining_us (const mq_entry *entry, uint64_t content)
{
  mq_element_set set = { &content, 1 };

  if (entry->quarantine == NULL || content == 0)
    return 0;
  return mq_quarantine_remaining_us (entry->quarantine, set, entry->now_us);
}

void
mq_entry_request_claim (mq_entry *entry, mq_request *request)
{
  mq_entry_action *a;

  mq_entry_set_state (entry, request, MQ_REQUEST_CLAIMING);
  a = mq_entry_emit (entry, request, MQ_ENTRY_CLAIM);
  a->u.claim.organisation = mq_str_span (request->organisation);
  a->u.claim.key = mq_str_span (request->guard_value);
  a->u.claim.body_hash = request->body_hash;
  a->u.claim.lifetime_us = MQ_ENTRY_CLAIM_LIFETIME_US;
}

/* Refuse a call for which no request was created.  */
static void
entry_refuse (mq_entry *entry, uint64_t handle, mq_outcome outcome,
              mq_reason reason, uint64_t retry_after_us)
{
  mq_decision d = { .kind = MQ_DECISION_REFUSED,
                    .at_us = entry->now_us,
                    .handle = handle,
                    .outcome = outcome,
                    .reason = reason,
                    .retry_after_us = retry_after_us };
  mq_entry_action *a = mq_entry_emit (entry, NULL, MQ_ENTRY_END);

  a->handle = handle;
  a->u.end.outcome = outcome;
  a->u.end.reason = reason;
  a->u.end.retry_after_us = retry_after_us;
  mq_decision_log_add (entry->decisions, &d);
  entry_count_end (entry, outcome, reason, false);
}

static bool
call_deadline_is_valid (const mq_call *call, const mq_service *service)
{
  uint64_t max_us = (uint64_t)service->max_deadline_ms * 1000;

  if (call->deadline_us == 0)
    return service->deadline_ms > 0;
  return max_us == 0 || call->deadline_us <= max_us;
}

static bool
call_size_is_valid (const mq_call *call, const mq_service *service)
{
  uint32_t max_tokens;

  if (service->kind != MQ_SERVICE_MODEL)
    return true;
  max_tokens = service->u.model.max_tokens;
  return call->max_tokens > 0
             ? max_tokens == 0 || call->max_tokens <= max_tokens
             : max_tokens > 0;
}

/* Returns why CALL cannot be accepted, or MQ_REASON_NONE.  */
static mq_reason
entry_check_call (const mq_entry *entry, const mq_call *call)
{
  const mq_service *service;

  if (entry->config == NULL)
    return MQ_REASON_NO_CONFIGURATION;
  if (mq_config_organisation (entry->config, call->organisation) == NULL)
    return MQ_REASON_UNAUTHENTICATED;
  service = mq_config_service (entry->config, call->service);
  if (service == NULL)
    return MQ_REASON_UNKNOWN_SERVICE;
  if (!call_deadline_is_valid (call, service)
      || !call_size_is_valid (call, service) || call->priority > 9)
    return MQ_REASON_BAD_REQUEST;
  if (call->guard != MQ_GUARD_NONE && call->guard_value.size == 0)
    return MQ_REASON_BAD_REQUEST;
  if (entry->draining && !mq_defect_enabled (MQ_DEFECT_DRAIN_TAKES_WORK))
    return MQ_REASON_LEAVING;
  if (mq_entry_quarantine_remaining_us (entry, call->content) > 0)
    return MQ_REASON_QUARANTINED;
  return MQ_REASON_NONE;
}

/* Returns the Retry-After time of CALL, refused for REASON; 0 if a retry would
   not help.  */
static uint64_t
reason_retry_after_us (const mq_entry *entry, const mq_call *call,
                       mq_reason reason)
{
  if (reason == MQ_REASON_QUARANTINED)
    return mq_entry_quarantine_remaining_us (entry, call->content);
  if (reason == MQ_REASON_NO_CONFIGURATION)
    return LONG_RETRY_AFTER_US;
  return reason == MQ_REASON_LEAVING ? SHORT_RETRY_AFTER_US : 0;
}

/* Refuse a call by VERDICT on its guard; FIRST is the outcome of the first
   call.  */
static void
entry_refuse_guarded (mq_entry *entry, const mq_entry_event *event,
                      mq_guard_verdict verdict, mq_outcome first)
{
  bool ticket = event->u.call.guard == MQ_GUARD_TICKET;

  if (verdict != MQ_GUARD_FULL)
    entry->counters.guard_hits++;
  switch (verdict)
    {
    case MQ_GUARD_RUN:
      break;
    case MQ_GUARD_IN_FLIGHT:
      entry_refuse (entry, event->handle, MQ_OUTCOME_UNKNOWN,
                    MQ_REASON_KEY_IN_FLIGHT, SHORT_RETRY_AFTER_US);
      break;
    case MQ_GUARD_OTHER_BODY:
      entry_refuse (entry, event->handle, MQ_OUTCOME_NOT_RUN,
                    ticket ? MQ_REASON_TICKET_SPENT : MQ_REASON_KEY_MISMATCH,
                    0);
      break;
    case MQ_GUARD_FINISHED:
      entry_refuse (entry, event->handle, first,
                    ticket ? MQ_REASON_TICKET_SPENT : MQ_REASON_KEY_SPENT, 0);
      break;
    case MQ_GUARD_FULL:
      entry_refuse (entry, event->handle, MQ_OUTCOME_NOT_RUN,
                    MQ_REASON_OVERLOADED, LONG_RETRY_AFTER_US);
      break;
    }
}

/* A call that may be repeated needs no guard by key.  */
static mq_guard_kind
entry_guard_needed (const mq_call *call, bool repeatable)
{
  if (repeatable && call->guard == MQ_GUARD_KEY)
    return MQ_GUARD_NONE;
  return call->guard;
}

static void
entry_request_limit (mq_entry *entry, mq_request *request)
{
  mq_entry_action *a;

  request->limit_held = true;
  mq_entry_set_state (entry, request, MQ_REQUEST_LIMITING);
  a = mq_entry_emit (entry, request, MQ_ENTRY_REQUEST_LIMIT);
  a->u.limit.organisation = mq_str_span (request->organisation);
  a->u.limit.tokens = request->max_tokens;
}

static void
entry_create_request (mq_entry *entry, const mq_entry_event *event,
                      const mq_service *service, mq_guard_kind guard,
                      bool repeatable)
{
  mq_request_id id = { entry->router, ++entry->sequence };
  const mq_organisation *organisation
      = mq_config_organisation (entry->config, event->u.call.organisation);
  mq_request *r = mq_request_new (&event->u.call, service, organisation, id,
                                  entry->now_us);

  r->handle = event->handle;
  r->guard = guard;
  r->guarded = guard != MQ_GUARD_NONE;
  r->repeatable = repeatable;
  g_hash_table_insert (entry->requests, &r->handle, r);
  entry_request_limit (entry, r);
}

/* Refuse a repeated ticket or key with the outcome of the first call, even if
   this VM is draining or the service was removed.  Returns false if the guard
   of the call is not known.  */
static bool
entry_refuse_repeated (mq_entry *entry, const mq_entry_event *event)
{
  const mq_call *call = &event->u.call;
  mq_outcome first = MQ_OUTCOME_UNKNOWN;
  mq_guard_verdict verdict = MQ_GUARD_RUN;

  if (call->guard != MQ_GUARD_NONE)
    verdict = mq_idempotency_lookup (entry->guards, call->guard,
                                     call->organisation, call->guard_value,
                                     call->body_hash, entry->now_us, &first);
  if (verdict == MQ_GUARD_RUN)
    return false;
  entry_refuse_guarded (entry, event, verdict, first);
  return true;
}

static void
entry_accept (mq_entry *entry, const mq_entry_event *event)
{
  const mq_call *call = &event->u.call;
  const mq_service *service = mq_config_service (entry->config, call->service);
  bool repeatable = mq_service_call_is_repeatable (service, call);
  mq_guard_kind guard = entry_guard_needed (call, repeatable);
  mq_guard_verdict verdict = MQ_GUARD_RUN;
  mq_outcome first = MQ_OUTCOME_UNKNOWN;

  if (guard != MQ_GUARD_NONE)
    verdict = mq_idempotency_begin (entry->guards, guard, call->organisation,
                                    call->guard_value, call->body_hash,
                                    entry->now_us, &first);
  if (verdict != MQ_GUARD_RUN)
    entry_refuse_guarded (entry, event, verdict, first);
  else
    entry_create_request (entry, event, service, guard, repeatable);
}

static void
entry_call (mq_entry *entry, const mq_entry_event *event)
{
  mq_reason reason;

  entry->counters.calls++;
  if (entry_refuse_repeated (entry, event))
    return;
  reason = entry_check_call (entry, &event->u.call);
  if (reason == MQ_REASON_NONE)
    entry_accept (entry, event);
  else
    entry_refuse (entry, event->handle, MQ_OUTCOME_NOT_RUN, reason,
                  reason_retry_after_us (entry, &event->u.call, reason));
}

static void
entry_on_caller_disconnected (mq_entry *entry, mq_request *request)
{
  if (request->state == MQ_REQUEST_CALLING && request->guarded)
    {
      /* The call continues, so that its outcome is recorded.  */
      request->caller_disconnected = true;
      return;
    }
  mq_entry_give_up (entry, request, MQ_REASON_CALLER_GONE, 0);
}

static void
entry_on_limit_reply (mq_entry *entry, mq_request *request,
                      const mq_entry_event *event)
{
  if (request->state != MQ_REQUEST_LIMITING)
    {
      entry->counters.stale_events++;
      return;
    }
  if (!event->u.limited.allowed)
    {
      request->limit_held = false;
      mq_entry_give_up (entry, request, MQ_REASON_ORGANISATION_LIMIT,
                        event->u.limited.retry_after_us);
      return;
    }
  switch (request->kind)
    {
    case MQ_SERVICE_MODEL:
      mq_stream_request_plan (entry, request);
      break;
    case MQ_SERVICE_PLAIN:
      if (request->guard == MQ_GUARD_KEY)
        mq_entry_request_claim (entry, request);
      else
        mq_service_call_send (entry, request);
      break;
    }
}

static void
entry_claim_won (mq_entry *entry, mq_request *request)
{
  request->claimed = true;
  switch (request->kind)
    {
    case MQ_SERVICE_MODEL:
      mq_stream_open (entry, request);
      break;
    case MQ_SERVICE_PLAIN:
      mq_service_call_send (entry, request);
      break;
    }
}

static void
entry_on_claim_result (mq_entry *entry, mq_request *request,
                       mq_claim_result result)
{
  if (request->state != MQ_REQUEST_CLAIMING)
    {
      entry->counters.stale_events++;
      return;
    }
  switch (result)
    {
    case MQ_CLAIM_WON:
      entry_claim_won (entry, request);
      break;
    case MQ_CLAIM_LOST:
      /* The first call, on any router, may run or have run.  It may also
         release the key, so the next call must claim again: record here only
         that this call did not run.  */
      entry_finish_guard (entry, request, MQ_OUTCOME_NOT_RUN);
      request->guarded = false;
      mq_entry_end (entry, request, MQ_OUTCOME_UNKNOWN,
                    MQ_REASON_KEY_IN_FLIGHT, LONG_RETRY_AFTER_US);
      break;
    case MQ_CLAIM_MISMATCH:
      mq_entry_end (entry, request, MQ_OUTCOME_NOT_RUN, MQ_REASON_KEY_MISMATCH,
                    0);
      break;
    case MQ_CLAIM_UNAVAILABLE:
      if (mq_defect_enabled (MQ_DEFECT_CLAIM_NOT_AWAITED))
        {
          entry_claim_won (entry, request);
          break;
        }
      mq_entry_end (entry, request, MQ_OUTCOME_NOT_RUN,
                    MQ_REASON_PLATFORM_UNAVAILABLE, LONG_RETRY_AFTER_US);
      break;
    }
}

static bool
entry_has_service (mq_span name, const void *entry)
{
  const mq_entry *e = entry;

  return mq_config_service (e->config, name) != NULL;
}

static bool
entry_has_organisation (mq_span name, const void *entry)
{
  const mq_entry *e = entry;

  return mq_config_organisation (e->config, name) != NULL;
}

static void
entry_configure (mq_entry *entry, mq_config *config)
{
  GHashTableIter iter;
  gpointer request;

  mq_config_ref (config);
  mq_config_unref (entry->config);
  entry->config = config;
  mq_retry_budget_prune (entry->service_budget, entry_has_service, entry);
  mq_retry_budget_prune (entry->organisation_budget, entry_has_organisation,
                         entry);
  mq_service_call_configure (entry);
  /* The timeouts of the policy may have changed.  */
  g_hash_table_iter_init (&iter, entry->requests);
  while (g_hash_table_iter_next (&iter, NULL, &request))
    mq_request_heap_put (entry->timers, request,
                         entry_due_us (entry, request));
}

static void
entry_resume (mq_entry *entry, mq_request *request)
{
  switch (request->kind)
    {
    case MQ_SERVICE_MODEL:
      mq_stream_resume (entry, request);
      break;
    case MQ_SERVICE_PLAIN:
      mq_service_call_send (entry, request);
      break;
    }
}

/* Handle the timer of REQUEST, which is due.  */
static void
entry_on_timer (mq_entry *entry, mq_request *request)
{
  if (request->deadline_us <= entry->now_us
      && !mq_request_is_complete (request))
    {
      mq_entry_give_up (entry, request, MQ_REASON_DEADLINE_MISSED, 0);
      return;
    }
  switch (request->state)
    {
    case MQ_REQUEST_LIMITING:
      mq_entry_give_up (entry, request, MQ_REASON_OVERLOADED,
                        SHORT_RETRY_AFTER_US);
      break;
    case MQ_REQUEST_PLANNING:
      mq_stream_plan_timed_out (entry, request);
      break;
    case MQ_REQUEST_CLAIMING:
      entry_on_claim_result (entry, request, MQ_CLAIM_UNAVAILABLE);
      break;
    case MQ_REQUEST_OPENING:
    case MQ_REQUEST_STREAMING:
      mq_stream_on_timer (entry, request);
      break;
    case MQ_REQUEST_BACKING_OFF:
      entry_resume (entry, request);
      break;
    case MQ_REQUEST_CALLING:
    case MQ_REQUEST_IDLE:
    case MQ_REQUEST_QUEUED:
    case MQ_REQUEST_ENDED:
      break;
    }
}

static void
entry_tick (mq_entry *entry)
{
  mq_request *r;

  while ((r = mq_request_heap_first (entry->timers)) != NULL
         && r->heap_us <= entry->now_us)
    {
      uint64_t due = entry_due_us (entry, r);

      if (due > entry->now_us)
        mq_request_heap_put (entry->timers, r, due);
      else
        entry_on_timer (entry, r);
    }
  mq_stream_replan_queued (entry);
}

/* Handle an event of one request.  */
static void
entry_dispatch (mq_entry *entry, mq_request *request,
                const mq_entry_event *event)
{
  switch (event->kind)
    {
    case MQ_ENTRY_CALLER_DISCONNECTED:
      entry_on_caller_disconnected (entry, request);
      break;
    case MQ_ENTRY_PLANNED:
      mq_stream_planned (entry, request, event);
      break;
    case MQ_ENTRY_LIMITED:
      entry_on_limit_reply (entry, request, event);
      break;
    case MQ_ENTRY_CLAIMED:
      entry_on_claim_result (entry, request, event->u.claim);
      break;
    case MQ_ENTRY_STREAM_OPEN:
      mq_stream_opened (entry, request, event);
      break;
    case MQ_ENTRY_TOKEN:
      mq_stream_token (entry, request, event);
      break;
    case MQ_ENTRY_BACK_PRESSURE:
      mq_stream_set_back_pressure (entry, request, event->u.held);
      break;
    case MQ_ENTRY_STREAM_END:
      mq_stream_ended (entry, request, event);
      break;
    case MQ_ENTRY_STREAM_FAILED:
      mq_stream_failed (entry, request, event);
      break;
    case MQ_ENTRY_REPLY:
      mq_service_call_reply (entry, request, event);
      break;
    case MQ_ENTRY_SEND_FAILED:
      mq_service_call_failed (entry, request, event);
      break;
    case MQ_ENTRY_CONFIG:
    case MQ_ENTRY_CALL:
    case MQ_ENTRY_DRAIN:
    case MQ_ENTRY_TICK:
      break;
    }
}

static void
entry_request_free (gpointer request)
{
  mq_request_free (request);
}

mq_entry *
mq_entry_new (const mq_entry_options *options)
{
  mq_entry *e = g_new0 (mq_entry, 1);

  e->router = options->router;
  e->failure_domain = mq_str_new (options->failure_domain);
  e->random = options->seed;
  e->quarantine = options->quarantine;
  e->requests = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                       entry_request_free);
  e->timers = g_ptr_array_new ();
  e->queued = g_ptr_array_new ();
  e->ended = g_ptr_array_new_with_free_func (entry_request_free);
  e->guards = mq_idempotency_new (MAX_GUARDS, MQ_ENTRY_GUARD_RETENTION_US);
  e->service_budget = mq_retry_budget_new (RETRY_BURST);
  e->organisation_budget = mq_retry_budget_new (RETRY_BURST);
  e->lengths = mq_answer_lengths_new ();
  e->instances = mq_service_call_instances_new ();
  e->decisions = mq_decision_log_new (MAX_DECISIONS);
  return e;
}

void
mq_entry_free (mq_entry *entry)
{
  if (entry == NULL)
    return;
  g_hash_table_unref (entry->requests);
  g_ptr_array_unref (entry->timers);
  g_ptr_array_unref (entry->queued);
  g_ptr_array_unref (entry->ended);
  mq_idempotency_free (entry->guards);
  mq_retry_budget_free (entry->service_budget);
  mq_retry_budget_free (entry->organisation_budget);
  g_hash_table_unref (entry->instances);
  mq_answer_lengths_free (entry->lengths);
  mq_decision_log_free (entry->decisions);
  mq_str_unref (entry->failure_domain);
  mq_config_unref (entry->config);
  g_free (entry);
}

void
mq_entry_handle (mq_entry *entry, const mq_entry_event *event, GArray *actions)
{
  mq_request *r;

  g_ptr_array_set_size (entry->ended, 0);
  entry->now_us = event->now_us;
  entry->actions = actions;
  switch (event->kind)
    {
    case MQ_ENTRY_CONFIG:
      entry_configure (entry, event->u.config);
      return;
    case MQ_ENTRY_DRAIN:
      entry->draining = true;
      entry_check_drained (entry);
      return;
    case MQ_ENTRY_TICK:
      entry_tick (entry);
      return;
    default:
      break;
    }
  r = g_hash_table_lookup (entry->requests, &event->handle);
  if (event->kind == MQ_ENTRY_CALL && r == NULL)
    entry_call (entry, event);
  else if (r != NULL)
    entry_dispatch (entry, r, event);
  else
    entry->counters.stale_events++;
}

uint32_t
mq_entry_in_flight (const mq_entry *entry)
{
  return g_hash_table_size (entry->requests);
}

uint64_t
mq_entry_next_tick (const mq_entry *entry)
{
  const mq_request *r = mq_request_heap_first (entry->timers);
  uint64_t due = mq_stream_replan_due_us (entry);

  return r != NULL ? MIN (due, r->heap_us) : due;
}

const mq_entry_counters *
mq_entry_read_counters (const mq_entry *entry)
{
  return &entry->counters;
}

const mq_decision_log *
mq_entry_decisions (const mq_entry *entry)
{
  return entry->decisions;
}
