/* Requests: see mq/internal/request.h.  */

#include <mq/internal/defect.h>
#include <mq/internal/request.h>

/* An attempt is too slow if its gap is at least this multiple of the planned
   one.  */
#define TOO_SLOW_FACTOR 4
/* An attempt is replaced only if the remaining time exceeds this percentage of
   the predicted time of a new attempt.  */
#define REPLACEMENT_TIME_PERCENT 150

/* The percentage of the estimated work that counts when a request is ended
   early, since an estimate that is too high would end a request that can still
   finish.  An estimate from the plan counts less than one from the stream.  */
#define MEASURED_WORK_PERCENT 75
#define PLANNED_WORK_PERCENT 50

static uint64_t
request_deadline_us (const mq_call *call, const mq_service *service)
{
  if (call->deadline_us > 0)
    return call->deadline_us;
  return (uint64_t)service->deadline_ms * 1000;
}

/* Returns the mean of the last gaps without the longest, so that one pause
   does not count as slowness; 0 before there are enough gaps.  */
static uint64_t
request_measured_gap_us (const mq_request *request)
{
  uint64_t sum = 0;
  uint32_t longest = 0;

  if (request->attempt_tokens <= MQ_REQUEST_GAP_SAMPLES)
    return 0;
  for (int i = 0; i < MQ_REQUEST_GAP_SAMPLES; i++)
    {
      sum += request->gaps[i];
      longest = MAX (longest, request->gaps[i]);
    }
  return (sum - longest) / (MQ_REQUEST_GAP_SAMPLES - 1);
}

/* Returns the priority of CALL.  A caller may lower the priority of its
   service, or raise it up to that of its organisation.  */
static int32_t
request_priority (const mq_call *call, const mq_service *service,
                  const mq_organisation *organisation)
{
  if (call->priority < 0)
    return service->priority;
  return MIN (call->priority, MAX (service->priority, organisation->priority));
}

mq_request *
mq_request_new (const mq_call *call, const mq_service *service,
                const mq_organisation *organisation, mq_request_id id,
                uint64_t now_us)
{
  mq_request *r = g_new0 (mq_request, 1);

  r->id = id;
  r->handle = call->handle;
  r->kind = service->kind;
  r->organisation = mq_str_new (call->organisation);
  r->service = mq_str_ref (service->name);
  r->started_us = now_us;
  r->state_since_us = now_us;
  r->deadline_us = now_us + request_deadline_us (call, service);
  r->priority = request_priority (call, service, organisation);
  r->guard = call->guard;
  r->guard_value = mq_str_new (call->guard_value);
  r->body_hash = call->body_hash;
  r->content = call->content;
  r->heap_index = SIZE_MAX;
  switch (service->kind)
    {
    case MQ_SERVICE_MODEL:
      r->prompt_tokens = call->prompt_tokens;
      r->max_tokens = call->max_tokens > 0 ? call->max_tokens
                                           : service->u.model.max_tokens;
      r->prefix_hash = call->prefix_hash;
      break;
    case MQ_SERVICE_PLAIN:
      r->method = mq_str_new (call->method);
      r->path = mq_str_new (call->path);
      break;
    }
  return r;
}

void
mq_request_free (mq_request *request)
{
  if (request == NULL)
    return;
  mq_str_unref (request->organisation);
  mq_str_unref (request->service);
  mq_str_unref (request->guard_value);
  mq_str_unref (request->method);
  mq_str_unref (request->path);
  mq_str_unref (request->instance);
  mq_str_unref (request->suspect_url);
  for (uint32_t i = 0; i < request->n_avoid; i++)
    mq_str_unref (request->avoid[i]);
  mq_plan_finish (&request->plan);
  g_free (request);
}

bool
mq_request_has_open_attempt (const mq_request *request)
{
  return request->state == MQ_REQUEST_OPENING
         || request->state == MQ_REQUEST_STREAMING
         || request->state == MQ_REQUEST_CALLING;
}

mq_outcome
mq_request_outcome (const mq_request *request)
{
  if (mq_defect_enabled (MQ_DEFECT_NOT_RUN_AFTER_SEND))
    return MQ_OUTCOME_NOT_RUN;
  if (request->seen_running)
    return MQ_OUTCOME_FAILED;
  if (request->may_have_run || mq_request_has_open_attempt (request))
    return MQ_OUTCOME_UNKNOWN;
  return MQ_OUTCOME_NOT_RUN;
}

uint64_t
mq_request_remaining_us (const mq_request *request, uint64_t now_us)
{
  if (request->deadline_us <= now_us)
    return 0;
  return request->deadline_us - now_us;
}

bool
mq_request_is_complete (const mq_request *request)
{
  return request->tokens > 0 && request->tokens == request->max_tokens;
}

uint64_t
mq_request_work_us (const mq_request *request)
{
  uint64_t gap_us = request_measured_gap_us (request);
  uint32_t remaining_tokens = 0;

  if (request->expected_tokens > request->tokens)
    remaining_tokens = request->expected_tokens - request->tokens;
  return remaining_tokens * (gap_us > 0 ? gap_us : request->planned_gap_us);
}

int64_t
mq_request_slack_us (const mq_request *request, uint64_t now_us)
{
  int64_t left_us = (int64_t)request->deadline_us - (int64_t)now_us;

  return left_us - (int64_t)mq_request_work_us (request);
}

uint64_t
mq_request_deadline_unreachable_us (const mq_request *request)
{
  unsigned percent = request_measured_gap_us (request) > 0
                         ? MEASURED_WORK_PERCENT
                         : PLANNED_WORK_PERCENT;
  uint64_t min_work_us = mq_request_work_us (request) * percent / 100;

  return min_work_us < request->deadline_us
             ? request->deadline_us - min_work_us
             : 0;
}

bool
mq_request_is_deadline_unreachable (const mq_request *request, uint64_t now_us)
{
  return mq_request_deadline_unreachable_us (request) < now_us;
}

bool
mq_request_is_too_slow (const mq_request *request, uint64_t now_us)
{
  uint64_t gap_us = request_measured_gap_us (request);
  uint64_t remaining_tokens = request->max_tokens - request->tokens;
  uint64_t left_us = mq_request_remaining_us (request, now_us);
  uint64_t restart_us = request->figures.predicted_first_us
                        + remaining_tokens * request->planned_gap_us;

  if (request->planned_gap_us == 0
      || gap_us < TOO_SLOW_FACTOR * request->planned_gap_us)
    return false;
  return remaining_tokens * gap_us > left_us
         && restart_us * REPLACEMENT_TIME_PERCENT / 100 < left_us;
}

void
mq_request_note_plan (mq_request *request, const mq_plan_figures *figures)
{
  uint32_t remaining_tokens = request->max_tokens - request->tokens;

  request->figures = *figures;
  request->planned_gap_us = 0;
  if (remaining_tokens > 1
      && figures->predicted_finish_us > figures->predicted_first_us)
    request->planned_gap_us
        = (figures->predicted_finish_us - figures->predicted_first_us)
          / (remaining_tokens - 1);
}

void
mq_request_note_token (mq_request *request, uint64_t now_us)
{
  if (request->attempt_tokens == 0)
    request->first_token_at_us = now_us;
  else
    {
      uint64_t gap_us = now_us - request->last_token_at_us;

      request->gaps[request->attempt_tokens % MQ_REQUEST_GAP_SAMPLES]
          = (uint32_t)MIN (gap_us, UINT32_MAX);
    }
  request->last_token_at_us = now_us;
  request->state_since_us = now_us;
  request->attempt_tokens++;
  request->tokens++;
}

void
mq_request_set_back_pressure (mq_request *request, bool active,
                              uint64_t now_us)
{
  uint64_t paused_us = now_us - request->back_pressure_since_us;

  if (request->back_pressure == active)
    return;
  request->back_pressure = active;
  if (active)
    {
      request->back_pressure_since_us = now_us;
      return;
    }
  request->opened_us += paused_us;
  if (request->attempt_tokens == 0)
    return;
  request->first_token_at_us += paused_us;
  request->last_token_at_us = now_us;
}

void
mq_request_avoid (mq_request *request, mq_str *engine)
{
  for (uint32_t i = 0; i < request->n_avoid; i++)
    if (mq_span_equal (mq_str_span (request->avoid[i]), mq_str_span (engine)))
      return;
  if (request->n_avoid == MQ_PLAN_MAX_STAGES)
    {
      mq_str_unref (request->avoid[0]);
      request->n_avoid--;
      for (uint32_t i = 0; i < request->n_avoid; i++)
        request->avoid[i] = request->avoid[i + 1];
    }
  request->avoid[request->n_avoid++] = mq_str_ref (engine);
}
