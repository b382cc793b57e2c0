/* The attempts of a request to a model: planning, streaming and recovery.

   Invariants:
   - a token is accepted only from the awaited attempt, at the awaited
     position, with receipts that state that each layer ran once;
   - an attempt ends early only when it is known to be lost, or when another
     one can take its place: one that is silent goes on until a plan for its
     replacement is there;
   - an abandoned attempt is cancelled and released before the next one is
     opened;
   - at most REPLAN_BURST replacements of lost attempts are requested within
     one window, least slack first, so that a failure does not cause a
     stampede on the remaining engines.  */

#include <mq/internal/defect.h>
#include <mq/internal/entry.h>

/* The length of a replanning window, and the replans that it allows.  */
#define REPLAN_WINDOW_US 5000
#define REPLAN_BURST 16
/* Failed attempts after which a request ends.  */
#define MAX_LOST_ATTEMPTS 8
/* Back-off after a refused replan.  */
#define BACKOFF_BASE_US 10000
#define BACKOFF_MAX_US 1000000
/* An older plan is not opened: a router that was paused would send work to
   engines that have left in the meantime.  */
#define PLAN_LIFETIME_US 1000000
/* Timeout for the first engine's final line after the last token.  */
#define FINAL_LINE_TIMEOUT_US 50000
/* Factor on the predicted time of the first token, added to the stall
   timeout.  */
#define FIRST_TOKEN_TIMEOUT_FACTOR 3
/* Timeout for the plan of a replacement.  */
#define REPLACEMENT_PLAN_TIMEOUT_US 500000
/* Tokens in a row that are not the next one, beyond those that the caller has,
   before the attempt counts as wrong.  */
#define MAX_IGNORED_TOKENS 64
/* Consecutive plan requests without a reply before a request ends.  */
#define MAX_PLAN_TIMEOUTS 2

static bool
stream_is_awaited (mq_entry *entry, const mq_request *request,
                   uint32_t attempt)
{
  bool has_stream = request->state == MQ_REQUEST_OPENING
                    || request->state == MQ_REQUEST_STREAMING;

  if (has_stream
      && (attempt == request->attempt
          || mq_defect_enabled (MQ_DEFECT_ATTEMPT_NOT_COMPARED)))
    return true;
  entry->counters.stale_events++;
  return false;
}

static uint64_t
stream_mean_gap_us (const mq_request *request)
{
  if (request->attempt_tokens < 2)
    return 0;
  return (request->last_token_at_us - request->first_token_at_us)
         / (request->attempt_tokens - 1);
}

/* Report to the planner that the current attempt ended.  */
static void
stream_release (mq_entry *entry, mq_request *request, mq_attempt_end end,
                uint32_t stage)
{
  mq_entry_action *a;
  mq_plan_release *p;

  if (!request->plan_held)
    return;
  request->plan_held = false;
  a = mq_entry_emit (entry, request, MQ_ENTRY_RELEASE_PLAN);
  p = &a->u.release;
  p->id = request->id;
  p->attempt = request->attempt;
  p->end = end;
  p->stage = stage;
  p->tokens = request->attempt_tokens;
  if (request->attempt_tokens > 0)
    p->first_token_us = request->first_token_at_us - request->opened_us;
  p->mean_gap_us = stream_mean_gap_us (request);
}

static void
stream_avoid (mq_request *request, uint32_t stage)
{
  if (stage < request->plan.n_stages)
    mq_request_avoid (request, request->plan.stages[stage].engine);
}

static void
stream_avoid_all (mq_request *request)
{
  for (uint32_t i = 0; i < request->plan.n_stages; i++)
    stream_avoid (request, i);
}

static void
stream_clear_avoided (mq_request *request)
{
  while (request->n_avoid > 0)
    mq_str_unref (request->avoid[--request->n_avoid]);
}

/* Returns true if REQUEST may be replanned in this window.  Otherwise it is
   queued for a later one.  */
static bool
stream_enter_window (mq_entry *entry, mq_request *request)
{
  if (entry->now_us >= entry->replan_window_start_us + REPLAN_WINDOW_US)
    {
      entry->replan_window_start_us = entry->now_us;
      entry->replans = 0;
    }
  if (entry->replans < REPLAN_BURST && entry->queued->len == 0)
    {
      entry->replans++;
      return true;
    }
  entry->counters.queued_replans++;
  g_ptr_array_add (entry->queued, request);
  return false;
}

/* Request the next plan, or queue REQUEST for a later window.  */
static void
stream_replan (mq_entry *entry, mq_request *request)
{
  if (stream_enter_window (entry, request))
    mq_stream_request_plan (entry, request);
  else
    mq_entry_set_state (entry, request, MQ_REQUEST_QUEUED);
}

/* Ask the planner for ATTEMPT of REQUEST.  */
static void
stream_ask_planner (mq_entry *entry, mq_request *request, uint32_t attempt)
{
  mq_entry_action *a;
  mq_plan_request *plan_request;

  request->plan_requested_us = entry->now_us;
  request->expected_tokens = mq_answer_lengths_expect (
      entry->lengths, mq_str_span (request->service), request->max_tokens);
  if (attempt > 1)
    entry->counters.replans++;
  a = mq_entry_emit (entry, request, MQ_ENTRY_REQUEST_PLAN);
  a->attempt = attempt;
  plan_request = &a->u.request;
  plan_request->id = request->id;
  plan_request->attempt = attempt;
  plan_request->service = mq_str_span (request->service);
  plan_request->organisation = mq_str_span (request->organisation);
  plan_request->prompt_tokens = request->prompt_tokens;
  plan_request->sent_tokens = request->tokens;
  plan_request->max_tokens = request->max_tokens - request->tokens;
  plan_request->priority = request->priority;
  plan_request->deadline_us = mq_request_remaining_us (request, entry->now_us);
  plan_request->prefix_hash = request->prefix_hash;
  plan_request->n_avoid = request->n_avoid;
  for (uint32_t i = 0; i < request->n_avoid; i++)
    plan_request->avoid[i] = mq_str_span (request->avoid[i]);
}

static void
stream_release_replacement (mq_entry *entry, const mq_request *request)
{
  mq_entry_action *a = mq_entry_emit (entry, request, MQ_ENTRY_RELEASE_PLAN);

  a->attempt = request->replacement_attempt;
  a->u.release.id = request->id;
  a->u.release.attempt = request->replacement_attempt;
  a->u.release.end = MQ_ATTEMPT_CANCELLED;
  a->u.release.stage = MQ_STAGE_NONE;
}

/* Stop looking for a replacement of the current attempt.  */
static void
stream_withdraw_replacement (mq_entry *entry, mq_request *request)
{
  switch (request->replacement)
    {
    case MQ_REPLACEMENT_QUEUED:
      g_ptr_array_remove_fast (entry->queued, request);
      break;
    case MQ_REPLACEMENT_PLANNING:
      stream_release_replacement (entry, request);
      break;
    case MQ_REPLACEMENT_NONE:
    case MQ_REPLACEMENT_BACKING_OFF:
      break;
    }
  request->replacement = MQ_REPLACEMENT_NONE;
  request->replacing_slow = false;
}

static void
stream_request_replacement (mq_entry *entry, mq_request *request)
{
  request->replacement = MQ_REPLACEMENT_PLANNING;
  request->replacement_attempt = ++request->last_attempt;
  request->replacement_due_us = entry->now_us + REPLACEMENT_PLAN_TIMEOUT_US;
  stream_ask_planner (entry, request, request->replacement_attempt);
}

/* Look for a replacement of the current attempt, which goes on.  */
static void
stream_seek_replacement (mq_entry *entry, mq_request *request)
{
  if (stream_enter_window (entry, request))
    stream_request_replacement (entry, request);
  else
    request->replacement = MQ_REPLACEMENT_QUEUED;
}

/* End REQUEST as done: the caller has the complete answer.  */
static void
stream_finish (mq_entry *entry, mq_request *request)
{
  mq_entry_note_success (entry, request);
  mq_answer_lengths_note (entry->lengths, mq_str_span (request->service),
                          request->tokens, request->max_tokens);
  mq_entry_end (entry, request, MQ_OUTCOME_DONE, MQ_REASON_NONE, 0);
}

static bool
stream_is_deadline_unreachable (const mq_entry *entry,
                                const mq_request *request)
{
  return mq_entry_uses_deadline_routing (entry)
         && mq_request_is_deadline_unreachable (request, entry->now_us);
}

/* Replan after a lost attempt, or end REQUEST if that cannot help.  */
static void
stream_continue (mq_entry *entry, mq_request *request)
{
  if (mq_request_is_complete (request))
    stream_finish (entry, request);
  else if (request->lost_attempts >= MAX_LOST_ATTEMPTS)
    mq_entry_give_up (entry, request, MQ_REASON_UPSTREAM_FAILED, 0);
  else if (mq_entry_quarantine_remaining_us (entry, request->content) > 0)
    mq_entry_give_up (
        entry, request, MQ_REASON_QUARANTINED,
        mq_entry_quarantine_remaining_us (entry, request->content));
  else if (stream_is_deadline_unreachable (entry, request))
    mq_entry_give_up (entry, request, MQ_REASON_DEADLINE_MISSED, 0);
  else
    stream_replan (entry, request);
}

/* How an attempt ended without a complete answer.  */
typedef struct stream_failure
{
  mq_attempt_end end;
  uint32_t stage;  /* At fault, or MQ_STAGE_NONE.  */
  bool still_open; /* The stream did not end by itself.  */
  bool not_run;    /* Proven not to have run.  */
} stream_failure;

/* Suspect REQUEST if the stage of FAILURE may have crashed as it began to run
   it.  */
static void
stream_suspect (mq_entry *entry, mq_request *request, stream_failure failure)
{
  bool ran_past_startup = request->attempt_tokens > 0
                          && entry->now_us >= request->first_token_at_us
                                                  + MQ_QUARANTINE_STARTUP_US;

  if (failure.end == MQ_ATTEMPT_STAGE_DIED && !failure.not_run
      && !ran_past_startup && failure.stage < request->plan.n_stages)
    mq_entry_suspect (entry, request, request->plan.stages[failure.stage].url);
}

/* Returns true if the end of the current attempt counts among the lost ones.
   An engine that does not even accept it is no reason to end a request that
   has begun.  */
static bool
stream_counts_as_lost (const mq_request *request)
{
  return request->state == MQ_REQUEST_STREAMING || !request->seen_running;
}

static void
stream_abandon_attempt (mq_entry *entry, mq_request *request,
                        stream_failure failure)
{
  mq_decision d = mq_entry_decision (entry, request, MQ_DECISION_MOVED);

  d.lost = failure.end;
  d.stage = failure.stage;
  mq_decision_log_add (entry->decisions, &d);
  stream_withdraw_replacement (entry, request);
  if (failure.still_open && !mq_defect_enabled (MQ_DEFECT_STREAM_LEFT_OPEN))
    mq_entry_emit (entry, request, MQ_ENTRY_CANCEL_STREAM);
  if (!failure.not_run)
    request->may_have_run = true;
  if (stream_counts_as_lost (request))
    request->lost_attempts++;
  stream_suspect (entry, request, failure);
  stream_avoid (request, failure.stage);
  stream_release (entry, request, failure.end, failure.stage);
  mq_entry_set_state (entry, request, MQ_REQUEST_IDLE);
  stream_continue (entry, request);
}

/* Returns the first stage whose receipt differs from PLAN, or
   MQ_STAGE_NONE.  */
static uint32_t
stream_wrong_stage (const mq_plan *plan, const mq_receipt *receipts, size_t n)
{
  for (uint32_t i = 0; i < plan->n_stages; i++)
    {
      const mq_stage *s = &plan->stages[i];

      if (i >= n || receipts[i].first != s->first || receipts[i].end != s->end
          || !mq_span_equal (receipts[i].version, mq_str_span (plan->version)))
        return i;
    }
  return MQ_STAGE_NONE;
}

/* Returns how long to wait before the next plan request: at least half of the
   time that the planner named.  */
static uint64_t
stream_back_off_us (mq_entry *entry, mq_request *request,
                    uint64_t retry_after_us)
{
  uint64_t wait_us = mq_backoff_us (&entry->random, request->backoffs++,
                                    BACKOFF_BASE_US, BACKOFF_MAX_US);

  return MAX (wait_us, MIN (retry_after_us, BACKOFF_MAX_US) / 2);
}

static void
stream_back_off (mq_entry *entry, mq_request *request, uint64_t retry_after_us)
{
  request->resume_us
      = entry->now_us + stream_back_off_us (entry, request, retry_after_us);
  stream_clear_avoided (request);
  mq_entry_set_state (entry, request, MQ_REQUEST_BACKING_OFF);
}

/* Handle a refused replan: back off if REASON is temporary, else end
   REQUEST.  */
static void
stream_replan_refused (mq_entry *entry, mq_request *request, mq_reason reason,
                       uint64_t retry_after_us)
{
  switch (reason)
    {
    case MQ_REASON_OVERLOADED:
    case MQ_REASON_NO_PIPELINE:
    case MQ_REASON_NO_CONFIGURATION:
    case MQ_REASON_LEAVING:
      if (stream_is_deadline_unreachable (entry, request))
        mq_entry_give_up (entry, request, MQ_REASON_DEADLINE_MISSED, 0);
      else
        stream_back_off (entry, request, retry_after_us);
      break;
    case MQ_REASON_DEADLINE_UNREACHABLE:
      mq_entry_give_up (entry, request, MQ_REASON_DEADLINE_MISSED, 0);
      break;
    default:
      mq_entry_give_up (entry, request, reason, 0);
      break;
    }
}

static void
stream_refused (mq_entry *entry, mq_request *request,
                const mq_entry_event *event)
{
  request->plan_held = false;
  mq_entry_set_state (entry, request, MQ_REQUEST_IDLE);
  if (request->attempt > 1)
    stream_replan_refused (entry, request, event->u.planned.reason,
                           event->u.planned.retry_after_us);
  else
    mq_entry_give_up (entry, request, event->u.planned.reason,
                      event->u.planned.retry_after_us);
}

/* Returns the model of REQUEST in the configuration in force, or NULL.  */
static const mq_model *
stream_model (const mq_entry *entry, const mq_request *request)
{
  const mq_service *s
      = mq_config_service (entry->config, mq_str_span (request->service));

  if (s == NULL || s->kind != MQ_SERVICE_MODEL)
    return NULL;
  return mq_config_model (entry->config, mq_str_span (s->u.model.model));
}

/* Returns true if VERSION is that of the tokens already delivered, if any.  */
static bool
stream_keeps_version (const mq_request *request, mq_str *version)
{
  return request->tokens == 0
         || mq_span_equal (mq_str_span (version),
                           mq_str_span (request->plan.version));
}

/* Returns true if REQUEST can run by PLAN.  */
static bool
stream_plan_fits (const mq_entry *entry, const mq_request *request,
                  const mq_plan *plan)
{
  const mq_model *m = stream_model (entry, request);

  if (m != NULL && m->layers != plan->layers)
    return false;
  if (!stream_keeps_version (request, plan->version))
    return false;
  return mq_plan_check_coverage (plan) == MQ_PLAN_OK
         || mq_defect_enabled (MQ_DEFECT_LAYER_GAP_ALLOWED);
}

static bool
stream_plan_is_old (const mq_entry *entry, const mq_request *request)
{
  return entry->now_us - request->plan_requested_us > PLAN_LIFETIME_US;
}

/* Reject a plan that does not fit.  The planner of another router may use an
   older or newer configuration, so back off and retry, unless the model no
   longer has the version of the tokens already delivered.  */
static void
stream_reject_plan (mq_entry *entry, mq_request *request)
{
  const mq_model *m = stream_model (entry, request);

  stream_release (entry, request, MQ_ATTEMPT_CANCELLED, MQ_STAGE_NONE);
  mq_entry_set_state (entry, request, MQ_REQUEST_IDLE);
  if (m == NULL || !stream_keeps_version (request, m->version))
    mq_entry_give_up (entry, request, MQ_REASON_NO_PIPELINE, 0);
  else
    stream_replan_refused (entry, request, MQ_REASON_NO_PIPELINE, 0);
}

void
mq_stream_request_plan (mq_entry *entry, mq_request *request)
{
  request->attempt = ++request->last_attempt;
  request->attempt_tokens = 0;
  request->plan_held = true;
  mq_entry_set_state (entry, request, MQ_REQUEST_PLANNING);
  stream_ask_planner (entry, request, request->attempt);
}

/* Keep the current attempt, and ask for a replacement again later if it is
   silent.  */
static void
stream_delay_replacement (mq_entry *entry, mq_request *request,
                          uint64_t retry_after_us)
{
  request->replacement = request->replacing_slow ? MQ_REPLACEMENT_NONE
                                                 : MQ_REPLACEMENT_BACKING_OFF;
  request->replacing_slow = false;
  request->replacement_due_us
      = entry->now_us + stream_back_off_us (entry, request, retry_after_us);
  mq_entry_set_state (entry, request, request->state);
}

/* End the current attempt, which is silent or slow, and open its replacement
   by the plan of EVENT.  */
static void
stream_replace (mq_entry *entry, mq_request *request,
                const mq_entry_event *event)
{
  mq_decision d = mq_entry_decision (entry, request, MQ_DECISION_MOVED);

  d.lost = MQ_ATTEMPT_STAGE_STALLED;
  d.stage = MQ_STAGE_NONE;
  mq_decision_log_add (entry->decisions, &d);
  if (!mq_defect_enabled (MQ_DEFECT_STREAM_LEFT_OPEN))
    mq_entry_emit (entry, request, MQ_ENTRY_CANCEL_STREAM);
  request->may_have_run = true;
  stream_release (entry, request, MQ_ATTEMPT_STAGE_STALLED, MQ_STAGE_NONE);
  request->replacement = MQ_REPLACEMENT_NONE;
  request->replacing_slow = false;
  request->attempt = request->replacement_attempt;
  request->attempt_tokens = 0;
  request->plan_held = true;
  mq_request_note_plan (request, &event->u.planned.figures);
  mq_plan_finish (&request->plan);
  mq_plan_copy (&request->plan, event->u.planned.plan);
  mq_stream_open (entry, request);
}

static void
stream_replacement_planned (mq_entry *entry, mq_request *request,
                            const mq_entry_event *event)
{
  if (!event->u.planned.admitted)
    stream_delay_replacement (entry, request, event->u.planned.retry_after_us);
  else if (!stream_plan_fits (entry, request, event->u.planned.plan)
           || stream_plan_is_old (entry, request))
    {
      stream_release_replacement (entry, request);
      stream_delay_replacement (entry, request, 0);
    }
  else
    stream_replace (entry, request, event);
}

void
mq_stream_planned (mq_entry *entry, mq_request *request,
                   const mq_entry_event *event)
{
  const mq_plan *plan = event->u.planned.plan;

  if (request->replacement == MQ_REPLACEMENT_PLANNING
      && event->attempt == request->replacement_attempt)
    {
      stream_replacement_planned (entry, request, event);
      return;
    }
  if (request->state != MQ_REQUEST_PLANNING
      || event->attempt != request->attempt)
    {
      entry->counters.stale_events++;
      return;
    }
  mq_request_note_plan (request, &event->u.planned.figures);
  if (!event->u.planned.admitted)
    {
      stream_refused (entry, request, event);
      return;
    }
  if (!stream_plan_fits (entry, request, plan))
    {
      stream_reject_plan (entry, request);
      return;
    }
  mq_plan_finish (&request->plan);
  mq_plan_copy (&request->plan, plan);
  if (request->guard == MQ_GUARD_KEY && !request->claimed)
    mq_entry_request_claim (entry, request);
  else
    mq_stream_open (entry, request);
}

void
mq_stream_open (mq_entry *entry, mq_request *request)
{
  mq_entry_action *a;
  mq_decision d;

  if (stream_plan_is_old (entry, request))
    {
      stream_release (entry, request, MQ_ATTEMPT_CANCELLED, MQ_STAGE_NONE);
      mq_stream_request_plan (entry, request);
      return;
    }
  if (!request->may_have_run)
    {
      d = mq_entry_decision (entry, request, MQ_DECISION_ADMITTED);
      mq_decision_log_add (entry->decisions, &d);
    }
  entry->counters.streams++;
  request->opened_us = entry->now_us;
  request->ignored_tokens = 0;
  request->back_pressure = false;
  mq_entry_set_state (entry, request, MQ_REQUEST_OPENING);
  a = mq_entry_emit (entry, request, MQ_ENTRY_OPEN_STREAM);
  a->u.open.plan = &request->plan;
  a->u.open.sent_tokens = request->tokens;
  a->u.open.max_tokens = request->max_tokens;
  a->u.open.priority = request->priority;
  a->u.open.deadline_us = mq_request_remaining_us (request, entry->now_us);
}

void
mq_stream_opened (mq_entry *entry, mq_request *request,
                  const mq_entry_event *event)
{
  if (!stream_is_awaited (entry, request, event->attempt))
    return;
  if (request->state == MQ_REQUEST_OPENING)
    mq_entry_set_state (entry, request, MQ_REQUEST_STREAMING);
}

void
mq_stream_set_back_pressure (mq_entry *entry, mq_request *request, bool active)
{
  if (!mq_request_has_open_attempt (request))
    return;
  stream_withdraw_replacement (entry, request);
  mq_request_set_back_pressure (request, active, entry->now_us);
  mq_entry_set_state (entry, request, request->state);
}

/* Replace an attempt that is too slow, once per request; end REQUEST if its
   deadline is unreachable.  */
static void
stream_check_speed (mq_entry *entry, mq_request *request)
{
  if (mq_entry_uses_deadline_routing (entry) && !request->replaced_as_slow
      && mq_request_is_too_slow (request, entry->now_us))
    {
      request->replaced_as_slow = true;
      entry->counters.slow_attempts++;
      stream_avoid_all (request);
      request->replacing_slow = true;
      stream_seek_replacement (entry, request);
      mq_entry_set_state (entry, request, request->state);
    }
  else if (stream_is_deadline_unreachable (entry, request))
    mq_entry_give_up (entry, request, MQ_REASON_DEADLINE_MISSED, 0);
}

/* Drop a token that the caller has, or that is beyond the last.  */
static void
stream_ignore_token (mq_entry *entry, mq_request *request)
{
  entry->counters.duplicate_tokens++;
  if (++request->ignored_tokens > request->tokens + MAX_IGNORED_TOKENS)
    stream_abandon_attempt (entry, request,
                            (stream_failure){ .end = MQ_ATTEMPT_STAGE_WRONG,
                                              .stage = 0,
                                              .still_open = true });
}

void
mq_stream_token (mq_entry *entry, mq_request *request,
                 const mq_entry_event *event)
{
  uint32_t position = event->u.token.position;
  const mq_receipt *receipts = event->u.token.receipts;
  size_t n = event->u.token.n_receipts;
  uint32_t wrong;
  mq_entry_action *a;

  if (!stream_is_awaited (entry, request, event->attempt))
    return;
  if ((position < request->tokens || position >= request->max_tokens)
      && !mq_defect_enabled (MQ_DEFECT_POSITION_NOT_COMPARED))
    {
      stream_ignore_token (entry, request);
      return;
    }
  request->seen_running = true;
  if (position > request->tokens)
    {
      entry->counters.position_gaps++;
      stream_abandon_attempt (entry, request,
                              (stream_failure){ .end = MQ_ATTEMPT_STAGE_WRONG,
                                                .stage = 0,
                                                .still_open = true });
      return;
    }
  if (mq_plan_check_receipts (&request->plan, receipts, n) != MQ_PLAN_OK
      && !mq_defect_enabled (MQ_DEFECT_RECEIPTS_NOT_CHECKED))
    {
      entry->counters.wrong_receipts++;
      wrong = stream_wrong_stage (&request->plan, receipts, n);
      stream_abandon_attempt (entry, request,
                              (stream_failure){ .end = MQ_ATTEMPT_STAGE_WRONG,
                                                .stage = wrong,
                                                .still_open = true });
      return;
    }
  request->backoffs = 0;
  request->ignored_tokens = 0;
  if (!request->replacing_slow)
    stream_withdraw_replacement (entry, request);
  mq_request_note_token (request, entry->now_us);
  if (request->attempt_tokens == 1)
    mq_entry_set_state (entry, request, MQ_REQUEST_STREAMING);
  if (!request->cleared
      && entry->now_us
             >= request->first_token_at_us + MQ_QUARANTINE_STARTUP_US)
    {
      request->cleared = true;
      mq_entry_note_success (entry, request);
    }
  entry->counters.tokens++;
  a = mq_entry_emit (entry, request, MQ_ENTRY_DELIVER);
  a->u.deliver.position = position;
  a->u.deliver.text = event->u.token.text;
  stream_check_speed (entry, request);
}

void
mq_stream_ended (mq_entry *entry, mq_request *request,
                 const mq_entry_event *event)
{
  uint32_t stage = event->u.stream_end.stage;

  if (!stream_is_awaited (entry, request, event->attempt))
    return;
  switch (event->u.stream_end.end)
    {
    case MQ_STREAM_DONE:
      if (request->tokens > 0)
        {
          request->may_have_run = true;
          stream_release (entry, request, MQ_ATTEMPT_DONE, MQ_STAGE_NONE);
          mq_entry_set_state (entry, request, MQ_REQUEST_IDLE);
          stream_finish (entry, request);
        }
      else
        /* Without a token there is no receipt that any layer ran.  */
        stream_abandon_attempt (
            entry, request,
            (stream_failure){ .end = MQ_ATTEMPT_STAGE_WRONG, .stage = 0 });
      break;
    case MQ_STREAM_CANCELLED:
    case MQ_STREAM_EVICTED:
      stream_abandon_attempt (entry, request,
                              (stream_failure){ .end = MQ_ATTEMPT_CANCELLED,
                                                .stage = MQ_STAGE_NONE });
      break;
    case MQ_STREAM_DEADLINE:
      request->may_have_run = true;
      stream_release (entry, request, MQ_ATTEMPT_CANCELLED, MQ_STAGE_NONE);
      mq_entry_set_state (entry, request, MQ_REQUEST_IDLE);
      mq_entry_give_up (entry, request, MQ_REASON_DEADLINE_MISSED, 0);
      break;
    case MQ_STREAM_STAGE_LOST:
      if (stage >= request->plan.n_stages)
        stage = MQ_STAGE_NONE;
      stream_abandon_attempt (
          entry, request,
          (stream_failure){ .end = MQ_ATTEMPT_STAGE_DIED, .stage = stage });
      break;
    }
}

void
mq_stream_failed (mq_entry *entry, mq_request *request,
                  const mq_entry_event *event)
{
  const mq_send_failure *f = &event->u.failure;
  stream_failure failure = { .end = MQ_ATTEMPT_STAGE_DIED, .stage = 0 };

  if (!stream_is_awaited (entry, request, event->attempt))
    return;
  if (f->said_not_run)
    failure.end = MQ_ATTEMPT_STAGE_REFUSED;
  else if (f->timed_out)
    failure.end = MQ_ATTEMPT_STAGE_STALLED;
  failure.not_run = f->said_not_run || !f->maybe_sent;
  stream_abandon_attempt (entry, request, failure);
}

/* Returns when the stream of REQUEST counts as stalled.  */
static uint64_t
stream_stall_us (const mq_entry *entry, const mq_request *request)
{
  uint64_t stall = (uint64_t)entry->config->policy.stall_ms * 1000;

  if (request->attempt_tokens == 0)
    stall += request->figures.predicted_first_us * FIRST_TOKEN_TIMEOUT_FACTOR;
  return request->state_since_us + stall;
}

/* Returns when the search for a replacement of REQUEST's attempt continues. */
static uint64_t
stream_replacement_due_us (const mq_entry *entry, const mq_request *request)
{
  switch (request->replacement)
    {
    case MQ_REPLACEMENT_NONE:
      return request->back_pressure ? UINT64_MAX
                                    : stream_stall_us (entry, request);
    case MQ_REPLACEMENT_PLANNING:
    case MQ_REPLACEMENT_BACKING_OFF:
      return request->replacement_due_us;
    case MQ_REPLACEMENT_QUEUED:
      break;
    }
  return UINT64_MAX;
}

uint64_t
mq_stream_due_us (const mq_entry *entry, const mq_request *request)
{
  uint64_t due;

  if (mq_request_is_complete (request))
    return request->state_since_us + FINAL_LINE_TIMEOUT_US;
  due = stream_replacement_due_us (entry, request);
  if (mq_entry_uses_deadline_routing (entry))
    due = MIN (due, mq_request_deadline_unreachable_us (request) + 1);
  return due;
}

/* The attempt of REQUEST is silent.  It may still go on, so it is kept until a
   replacement is planned.  */
static void
stream_on_silence (mq_entry *entry, mq_request *request)
{
  switch (request->replacement)
    {
    case MQ_REPLACEMENT_NONE:
      entry->counters.stalls++;
      /* The first engine does not show which stage hangs, so avoid them
         all.  */
      stream_avoid_all (request);
      stream_seek_replacement (entry, request);
      break;
    case MQ_REPLACEMENT_PLANNING:
      stream_release_replacement (entry, request);
      stream_delay_replacement (entry, request, 0);
      break;
    case MQ_REPLACEMENT_BACKING_OFF:
      stream_seek_replacement (entry, request);
      break;
    case MQ_REPLACEMENT_QUEUED:
      break;
    }
}

void
mq_stream_on_timer (mq_entry *entry, mq_request *request)
{
  if (mq_request_is_complete (request))
    stream_finish (entry, request);
  else if (stream_is_deadline_unreachable (entry, request))
    mq_entry_give_up (entry, request, MQ_REASON_DEADLINE_MISSED, 0);
  else
    stream_on_silence (entry, request);
}

void
mq_stream_resume (mq_entry *entry, mq_request *request)
{
  mq_entry_set_state (entry, request, MQ_REQUEST_IDLE);
  stream_replan (entry, request);
}

void
mq_stream_plan_timed_out (mq_entry *entry, mq_request *request)
{
  stream_release (entry, request, MQ_ATTEMPT_CANCELLED, MQ_STAGE_NONE);
  mq_entry_set_state (entry, request, MQ_REQUEST_IDLE);
  if (request->backoffs++ < MAX_PLAN_TIMEOUTS)
    mq_stream_request_plan (entry, request);
  else
    mq_entry_give_up (entry, request, MQ_REASON_OVERLOADED, BACKOFF_MAX_US);
}

void
mq_stream_close (mq_entry *entry, mq_request *request, mq_outcome outcome)
{
  bool has_stream = request->state == MQ_REQUEST_OPENING
                    || request->state == MQ_REQUEST_STREAMING;

  if (has_stream)
    {
      request->may_have_run = true;
      mq_entry_emit (entry, request, MQ_ENTRY_CANCEL_STREAM);
    }
  if (request->state == MQ_REQUEST_QUEUED)
    g_ptr_array_remove_fast (entry->queued, request);
  stream_withdraw_replacement (entry, request);
  stream_release (entry, request,
                  outcome == MQ_OUTCOME_DONE ? MQ_ATTEMPT_DONE
                                             : MQ_ATTEMPT_CANCELLED,
                  MQ_STAGE_NONE);
}

static gint
stream_compare_slack (gconstpointer a, gconstpointer b, gpointer now_us)
{
  const mq_request *x = *(const mq_request *const *)a;
  const mq_request *y = *(const mq_request *const *)b;
  int64_t x_slack = mq_request_slack_us (x, *(uint64_t *)now_us);
  int64_t y_slack = mq_request_slack_us (y, *(uint64_t *)now_us);

  if (x_slack != y_slack)
    return x_slack < y_slack ? -1 : 1;
  return x->id.sequence < y->id.sequence ? -1 : 1;
}

static void
stream_replan_now (mq_entry *entry, mq_request *request)
{
  if (request->state == MQ_REQUEST_QUEUED)
    mq_stream_request_plan (entry, request);
  else
    {
      stream_request_replacement (entry, request);
      mq_entry_set_state (entry, request, request->state);
    }
}

void
mq_stream_replan_queued (mq_entry *entry)
{
  GPtrArray *queued = entry->queued;
  guint n;

  if (queued->len == 0
      || entry->now_us < entry->replan_window_start_us + REPLAN_WINDOW_US)
    return;
  entry->replan_window_start_us = entry->now_us;
  g_ptr_array_sort_with_data (queued, stream_compare_slack, &entry->now_us);
  n = MIN (queued->len, REPLAN_BURST);
  entry->replans = n;
  for (guint i = 0; i < n; i++)
    stream_replan_now (entry, g_ptr_array_index (queued, i));
  g_ptr_array_remove_range (queued, 0, n);
}

uint64_t
mq_stream_replan_due_us (const mq_entry *entry)
{
  if (entry->queued->len == 0)
    return UINT64_MAX;
  return entry->replan_window_start_us + REPLAN_WINDOW_US;
}
