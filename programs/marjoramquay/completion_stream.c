/* The engines' side of a completion: see completion_stream.h.  */

#include "completion_stream.h"

#include "fleet_plans.h"

/* After how many tokens of an attempt the planner hears of its pace.  Two
   messages a request, so that their bytes stay below those of its ask.  */
#define PROGRESS_EARLY 16
#define PROGRESS_LATE 128

static void
post_failed (mq_caller *caller, mq_send_failure failure)
{
  mq_entry_event event = { .kind = MQ_ENTRY_STREAM_FAILED,
                           .handle = caller->handle,
                           .attempt = caller->u.completion.attempt };

  ++*caller->router->counters.upstream_failures;
  event.u.failure = failure;
  mq_router_post (caller->router, &event);
}

static void
post_token (mq_caller *caller, const mq_engine_stream_event *from)
{
  mq_entry_event event = { .kind = MQ_ENTRY_TOKEN,
                           .handle = caller->handle,
                           .attempt = caller->u.completion.attempt };

  event.u.token.position = from->u.token.position;
  event.u.token.text = from->u.token.text;
  event.u.token.receipts = from->u.token.receipts;
  event.u.token.n_receipts = from->u.token.n_receipts;
  mq_router_post (caller->router, &event);
}

static void
post_open (mq_caller *caller)
{
  mq_entry_event event = { .kind = MQ_ENTRY_STREAM_OPEN,
                           .handle = caller->handle,
                           .attempt = caller->u.completion.attempt };

  mq_router_post (caller->router, &event);
}

static void
post_end (mq_caller *caller, const mq_engine_stream_event *from)
{
  mq_entry_event event = { .kind = MQ_ENTRY_STREAM_END,
                           .handle = caller->handle,
                           .attempt = caller->u.completion.attempt };

  event.u.stream_end.end = from->u.end.end;
  event.u.stream_end.stage = from->u.end.stage;
  mq_router_post (caller->router, &event);
}

/* The request may be gone when a post returns.  */
static void
completion_on_stream (void *context, const mq_engine_stream_event *event)
{
  mq_caller *caller = context;

  switch (event->kind)
    {
    case MQ_ENGINE_STREAM_OPEN:
      post_open (caller);
      break;
    case MQ_ENGINE_STREAM_TOKEN:
      post_token (caller, event);
      break;
    case MQ_ENGINE_STREAM_END:
      caller->u.completion.stream = NULL;
      post_end (caller, event);
      break;
    case MQ_ENGINE_STREAM_FAILED:
      caller->u.completion.stream = NULL;
      post_failed (caller, event->u.failure);
      break;
    }
}

/* Spans over the tokens that the caller has; free with g_free.  */
static mq_span *
sent_spans (const mq_completion *completion)
{
  mq_span *spans = g_new (mq_span, completion->tokens->len + 1);

  for (guint i = 0; i < completion->tokens->len; i++)
    spans[i] = mq_str_span (completion->tokens->pdata[i]);
  return spans;
}

void
mq_completion_stream_open (mq_caller *caller, const mq_entry_action *action)
{
  mq_completion *c = &caller->u.completion;
  mq_router *router = caller->router;
  mq_span *sent = sent_spans (c);
  mq_engine_stream_options options
      = { .request = mq_span_from (caller->id),
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
  caller->sent = true;
  c->attempt = action->attempt;
  c->paused = false;
  c->attempt_tokens = 0;
  c->stream
      = mq_engine_stream_new (router->client, &options, completion_on_stream,
                              caller, router->counters.dropped_lines);
  ++*router->counters.attempts;
  g_free (sent);
}

void
mq_completion_stream_cancel (mq_caller *caller, const mq_entry_action *action)
{
  mq_completion *c = &caller->u.completion;

  if (c->stream != NULL && c->attempt == action->attempt)
    g_clear_pointer (&c->stream, mq_engine_stream_cancel);
}

void
mq_completion_stream_hold (mq_caller *caller, bool held)
{
  mq_entry_event event
      = { .kind = MQ_ENTRY_BACK_PRESSURE, .handle = caller->handle };

  caller->u.completion.paused = held;
  mq_engine_stream_pause (caller->u.completion.stream, held);
  event.u.held = held;
  mq_router_post (caller->router, &event);
}

void
mq_completion_stream_progress (mq_caller *caller, uint64_t now_us)
{
  mq_completion *c = &caller->u.completion;

  if (c->attempt_tokens++ == 0)
    c->attempt_first_us = now_us;
  if (c->attempt_tokens != PROGRESS_EARLY
      && c->attempt_tokens != PROGRESS_LATE)
    return;
  mq_fleet_plans_progress (
      caller->router->plans, caller->number, c->attempt, c->attempt_tokens,
      (now_us - c->attempt_first_us) / (c->attempt_tokens - 1));
}
