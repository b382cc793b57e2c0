/* POST /v1/completions: see completion.h.

   Invariants: a streamed answer that ends in [DONE] is whole; one that can't
   become whole ends in an error event without [DONE].  */

#include "completion.h"

#include <mq/content_hash.h>
#include <mq/json_text.h>

#include "call.h"
#include "completion_body.h"
#include "completion_stream.h"
#include "reply.h"

#define DEFAULT_MAX_TOKENS 256
#define BYTES_PER_TOKEN 4
/* How much of a prompt's beginning names it in the engines' caches
   (docs/UPSTREAMS.md).  */
#define PREFIX_BYTES 1024

#define FRAME_END "\",\"finish_reason\":null}]}\n\n"

static uint32_t
max_tokens_or_default (const mq_router *router, const mq_completion_body *body)
{
  const mq_service *s
      = mq_config_service (router->config, mq_str_span (body->model));

  if (body->max_tokens > 0)
    return body->max_tokens;
  if (s == NULL || s->kind != MQ_SERVICE_MODEL)
    return DEFAULT_MAX_TOKENS;
  return MIN (DEFAULT_MAX_TOKENS, s->u.model.max_tokens);
}

/* Takes BODY's strings.  */
static mq_caller *
completion_new (mq_router *router, mq_http_exchange *exchange,
                const mq_completion_body *body)
{
  mq_caller *r = mq_caller_new (router, MQ_CALLER_COMPLETION, exchange);
  mq_completion *c = &r->u.completion;

  c->service = body->model;
  c->prompt = body->prompt;
  c->prompt_tokens = (uint32_t)((body->prompt->size + BYTES_PER_TOKEN - 1)
                                / BYTES_PER_TOKEN);
  c->max_tokens = max_tokens_or_default (router, body);
  c->streamed = body->stream;
  c->tokens = g_ptr_array_new_with_free_func ((GDestroyNotify)mq_str_unref);
  return r;
}

static uint64_t
prefix_hash (mq_span prompt)
{
  prompt.size = MIN (prompt.size, PREFIX_BYTES);
  return mq_span_hash (prompt);
}

static uint64_t
completion_content (const mq_call *call, mq_span body)
{
  const mq_span texts[] = { call->organisation, MQ_SPAN ("completion"), body };

  return mq_content_hash (texts, G_N_ELEMENTS (texts));
}

void
mq_completion_start (mq_router *router, mq_http_exchange *exchange)
{
  mq_entry_event event = { .kind = MQ_ENTRY_CALL };
  mq_span text = mq_http_exchange_body (exchange);
  mq_completion_body body;
  const char *fault;
  mq_caller *r;

  if (mq_call_read (router, exchange, &event.u.call) < 0)
    return;
  fault = mq_completion_body_read (&body, text);
  if (fault != NULL)
    {
      mq_reply_bad_request (router, exchange, MQ_REASON_BAD_REQUEST, fault);
      return;
    }
  r = completion_new (router, exchange, &body);
  event.handle = r->handle;
  event.u.call.handle = r->handle;
  event.u.call.service = mq_str_span (r->u.completion.service);
  event.u.call.priority = body.priority;
  event.u.call.body_hash = mq_span_hash (text);
  event.u.call.content = completion_content (&event.u.call, text);
  event.u.call.prompt_tokens = r->u.completion.prompt_tokens;
  event.u.call.max_tokens = r->u.completion.max_tokens;
  event.u.call.prefix_hash = prefix_hash (mq_str_span (body.prompt));
  mq_router_post (router, &event);
}

/* Append the part that all events of this answer begin with.  */
static void
frame_head_append (const mq_caller *caller, GString *out)
{
  g_string_append_printf (out,
                          "{\"id\":\"%s\",\"object\":\"text_completion\""
                          ",\"model\":",
                          caller->id);
  mq_json_text_string (out, mq_str_span (caller->u.completion.service));
  g_string_append (out, ",\"choices\":[{\"index\":0,\"text\":\"");
}

static void
stream_begin (mq_caller *caller)
{
  mq_completion *c = &caller->u.completion;
  const mq_http_header headers[]
      = { { MQ_SPAN ("Content-Type"), MQ_SPAN ("text/event-stream") },
          { MQ_SPAN ("Cache-Control"), MQ_SPAN ("no-store") },
          { MQ_SPAN ("Marjoramquay-Request"), mq_span_from (caller->id) } };

  mq_http_exchange_begin (caller->exchange, 200, headers,
                          G_N_ELEMENTS (headers));
  c->begun = true;
  c->frame = g_string_sized_new (512);
  g_string_append (c->frame, "data: ");
  frame_head_append (caller, c->frame);
  c->frame_start = c->frame->len;
}

static void
stream_write (mq_caller *caller, const GString *text)
{
  mq_completion *c = &caller->u.completion;
  size_t queued = mq_http_exchange_write (caller->exchange,
                                          (mq_span){ text->str, text->len });

  if (queued < MQ_HTTP_STREAM_HIGH_WATER_BYTES || c->paused
      || c->stream == NULL)
    return;
  mq_completion_stream_hold (caller, true);
}

static void
stream_write_token (mq_caller *caller, mq_span text)
{
  mq_completion *c = &caller->u.completion;

  if (!c->begun)
    stream_begin (caller);
  g_string_truncate (c->frame, c->frame_start);
  mq_json_text_escape (c->frame, text);
  g_string_append (c->frame, FRAME_END);
  stream_write (caller, c->frame);
}

static const char *
finish_reason (const mq_completion *completion)
{
  return completion->tokens->len >= completion->max_tokens ? "length" : "stop";
}

static void
usage_append (const mq_completion *completion, GString *out)
{
  g_string_append_printf (out,
                          ",\"usage\":{\"prompt_tokens\":%u,"
                          "\"completion_tokens\":%u,\"total_tokens\":%u}",
                          completion->prompt_tokens, completion->tokens->len,
                          completion->prompt_tokens + completion->tokens->len);
}

/* The last event before [DONE]: why it ended, and the outcome.  */
static void
stream_write_done (mq_caller *caller)
{
  mq_completion *c = &caller->u.completion;

  if (!c->begun)
    stream_begin (caller);
  g_string_truncate (c->frame, c->frame_start);
  g_string_append_printf (c->frame, "\",\"finish_reason\":\"%s\"}]",
                          finish_reason (c));
  usage_append (c, c->frame);
  g_string_append (c->frame, ",\"marjoramquay\":{\"outcome\":\"done\"}}\n\n"
                             "data: [DONE]\n\n");
  stream_write (caller, c->frame);
  mq_http_exchange_end (caller->exchange);
}

static void
reply_whole (mq_caller *caller)
{
  mq_completion *c = &caller->u.completion;
  const mq_http_header headers[]
      = { { MQ_SPAN ("Content-Type"), MQ_SPAN ("application/json") },
          { MQ_SPAN ("Marjoramquay-Outcome"), MQ_SPAN ("done") },
          { MQ_SPAN ("Marjoramquay-Request"), mq_span_from (caller->id) } };
  GString *body = g_string_new (NULL);

  frame_head_append (caller, body);
  for (guint i = 0; i < c->tokens->len; i++)
    mq_json_text_escape (body, mq_str_span (c->tokens->pdata[i]));
  g_string_append_printf (body, "\",\"finish_reason\":\"%s\"}]",
                          finish_reason (c));
  usage_append (c, body);
  g_string_append (body, "}\n");
  mq_http_exchange_reply (caller->exchange, 200, headers,
                          G_N_ELEMENTS (headers),
                          (mq_span){ body->str, body->len });
  g_string_free (body, TRUE);
}

void
mq_completion_deliver (mq_caller *caller, const mq_entry_action *action)
{
  mq_completion *c = &caller->u.completion;
  mq_router_counters *counters = &caller->router->counters;
  uint64_t now = mq_router_now_us ();

  g_ptr_array_add (c->tokens, mq_str_new (action->u.deliver.text));
  ++*counters->tokens;
  if (c->last_token_us == 0)
    mq_histogram_observe (counters->first_token, now - caller->started_us);
  else
    mq_histogram_observe (counters->token_gap, now - c->last_token_us);
  c->last_token_us = now;
  mq_completion_stream_progress (caller, now);
  if (c->streamed)
    stream_write_token (caller, action->u.deliver.text);
}

static void
completion_end_with_error (mq_caller *caller, const mq_entry_action *action)
{
  mq_reply_error error = { .outcome = action->u.end.outcome,
                           .reason = action->u.end.reason,
                           .request = caller->id,
                           .retry_after_us = action->u.end.retry_after_us };

  if (caller->u.completion.begun)
    mq_reply_stream_error (caller->exchange, &error);
  else
    mq_reply_with_error (caller->exchange, &error);
}

void
mq_completion_end (mq_caller *caller, const mq_entry_action *action)
{
  mq_histogram_observe (caller->router->counters.completion,
                        mq_router_now_us () - caller->started_us);
  if (action->u.end.outcome != MQ_OUTCOME_DONE)
    completion_end_with_error (caller, action);
  else if (caller->u.completion.streamed)
    stream_write_done (caller);
  else
    reply_whole (caller);
}

void
mq_completion_drained (mq_caller *caller)
{
  mq_completion *c = &caller->u.completion;

  if (c->paused && c->stream != NULL)
    mq_completion_stream_hold (caller, false);
}
