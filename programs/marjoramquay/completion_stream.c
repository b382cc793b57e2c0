/* The engines' side of a completion: see completion_stream.h.  */

#include "completion_stream.h"

#include "fleet_plans.h"

/* Numbers of tokens of an attempt after which its mean gap is reported to the
   planner.  There are only two, so that the reports take fewer bytes than the
   plan request.  */
#define FIRST_PROGRESS_TOKENS 16
#define SECOND_PROGRESS_TOKENS 128

static void
post_failed (mq_active_request *request, mq_send_failure failure)
{
  mq_entry_event event = { .kind = MQ_ENTRY_STREAM_FAILED,
                           .handle = request->handle,
                           .attempt = request->u.completion.attempt };

  ++*request->router->counters.upstream_failures;
  event.u.failure = failure;
  mq_router_post (request->router, &event);
}

static void
post_token (mq_active_request *request, const mq_engine_stream_event *from)
{
  mq_entry_event event = { .kind = MQ_ENTRY_TOKEN,
                           .handle = request->handle,
                           .attempt = request->u.completion.attempt };

  event.u.token.position = from->u.token.position;
  event.u.token.text = from->u.token.text;
  event.u.token.receipts = from->u.token.receipts;
  event.u.token.n_receipts = from->u.token.n_receipts;
  mq_router_post (request->router, &event);
}

static void
post_open (mq_active_request *request)
{
  mq_entry_event event = { .kind = MQ_ENTRY_STREAM_OPEN,
                           .handle = request->handle,
                           .attempt = request->u.completion.attempt };

  mq_router_post (request->router, &event);
}

static void
post_end (mq_active_request *request, const mq_engine_stream_event *from)
{
  mq_entry_event event = { .kind = MQ_ENTRY_STREAM_END,
                           .handle = request->handle,
                           .attempt = request->u.completion.attempt };

  event.u.stream_end.end = from->u.end.end;
  event.u.stream_end.stage = from->u.end.stage;
  mq_router_post (request->router, &event);
}

/* Each post may free the request, so nothing uses it afterwards.  */
static void
completion_on_stream (void *context, const mq_engine_stream_event *event)
{
  mq_active_request *request = context;

  switch (event->kind)
    {
    case MQ_ENGINE_STREAM_OPEN:
      post_open (request);
      break;
    case MQ_ENGINE_STREAM_TOKEN:
      post_token (request, event);
      break;
    case MQ_ENGINE_STREAM_END:
      request->u.completion.stream = NULL;
      post_end (request, event);
      break;
    case MQ_ENGINE_STREAM_FAILED:
      request->u.completion.stream = NULL;
      post_failed (request, event->u.failure);
      break;
    }
}

/* Returns spans over the tokens delivered so far; free the array with g_free.
 */
static mq_span *
sent_spans (const mq_completion *completion)
{
  mq_span *spans = g_new (mq_span, completion->tokens->len + 1);

  for (guint i = 0; i < completion->tokens->len; i++)
    spans[i] = mq_str_span (completion->tokens->pdata[i]);
  return spans;
}

void
mq_completion_stream_open (mq_active_request *request,
                           const mq_entry_action *action)
{
  mq_completion *c = &request->u.completion;
  mq_router *router = request->router;
  mq_span *sent = sent_spans (c);
  mq_engine_stream_options options
      = { .request = mq_span_from (request->id),
          .attempt = action->attempt,
          .router = mq_span_from (router->incarnation_text),
          .plan = action->u.open.plan,
          .prompt = mq_str_span (c->prompt),
          .sent = sent,
          .n_sent = MIN (c->tokens->len, action->u.open.sent_tokens),
          .max_tokens = action->u.open.max_tokens,
          .priority = action->u.open.priority,
          .deadline_us = action->u.open.deadline_us };

  g_assert (c->stream == NULL);
  request->sent = true;
  c->attempt = action->attempt;
  c->paused = false;
  c->attempt_tokens = 0;
  c->stream
      = mq_engine_stream_new (router->client, &options, completion_on_stream,
                              request, router->counters.dropped_lines);
  ++*router->counters.attempts;
  g_free (sent);
}

void
mq_completion_stream_cancel (mq_active_request *request,
                             const mq_entry_action *action)
{
  mq_completion *c = &request->u.completion;

  if (c->stream != NULL && c->attempt == action->attempt)
    g_clear_pointer (&c->stream, mq_engine_stream_cancel);
}

void
mq_completion_stream_set_paused (mq_active_request *request, bool paused)
{
  mq_entry_event event
      = { .kind = MQ_ENTRY_BACK_PRESSURE, .handle = request->handle };

  request->u.completion.paused = paused;
  mq_engine_stream_pause (request->u.completion.stream, paused);
  event.u.held = paused;
  mq_router_post (request->router, &event);
}

void
mq_completion_stream_report_progress (mq_active_request *request,
                                      uint64_t now_us)
{
  mq_completion *c = &request->u.completion;

  if (c->attempt_tokens++ == 0)
    c->attempt_first_token_us = now_us;
  if (c->attempt_tokens != FIRST_PROGRESS_TOKENS
      && c->attempt_tokens != SECOND_PROGRESS_TOKENS)
    return;
  mq_fleet_plans_progress (
      request->router->plans, request->number, c->attempt, c->attempt_tokens,
      (now_us - c->attempt_first_token_us) / (c->attempt_tokens - 1));
}
