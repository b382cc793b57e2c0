/* POST /v1/completions: see completion.h.

   Invariant: a streamed response ends in [DONE] only if it is complete.  One
   that can't be completed ends in an error event without [DONE].  */

#include "completion.h"

#include <mq/content_hash.h>
#include <mq/element.h>
#include <mq/json_text.h>

#include "call_headers.h"
#include "completion_body.h"
#include "completion_stream.h"
#include "reply.h"

#define DEFAULT_MAX_TOKENS 256
/* To estimate the number of tokens of a prompt.  */
#define BYTES_PER_TOKEN 4
/* Engines' caches identify a prompt by the hash of its first bytes
   (docs/UPSTREAMS.md).  */
#define PREFIX_BYTES 1024

/* A prompt is held once for the request and once in what is sent on.  */
#define PROMPT_COPIES 2
#define NO_MEMORY_RETRY_US ((uint64_t)500 * 1000)

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

/* Takes over the references to BODY's strings.  */
static mq_active_request *
completion_new (mq_router *router, mq_http_exchange *exchange,
                const mq_completion_body *body)
{
  mq_active_request *r
      = mq_active_request_new (router, MQ_ACTIVE_REQUEST_COMPLETION, exchange);
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
completion_content_hash (const mq_call *call, mq_span body)
{
  const mq_span texts[] = { call->organisation, MQ_SPAN ("completion"), body };

  return mq_element_of_content (mq_content_hash (texts, G_N_ELEMENTS (texts)));
}

/* Hold BODY in place of the text that it was read from.  Rejects the request
   if there is no memory for it.  */
static int
completion_hold (mq_router *router, mq_http_exchange *exchange,
                 const mq_completion_body *body)
{
  mq_reply_error error = { .outcome = MQ_OUTCOME_NOT_RUN,
                           .reason = MQ_REASON_OVERLOADED,
                           .detail = "no memory for the prompt",
                           .retry_after_us = NO_MEMORY_RETRY_US };

  if (mq_http_exchange_replace_body (exchange,
                                     PROMPT_COPIES * body->prompt->size))
    return 0;
  mq_reply_refuse (router, exchange, &error);
  return -1;
}

void
mq_completion_start (mq_router *router, mq_http_exchange *exchange)
{
  mq_entry_event event = { .kind = MQ_ENTRY_CALL };
  mq_span text = mq_http_exchange_body (exchange);
  mq_completion_body body;
  const char *error;
  mq_active_request *r;

  if (mq_call_headers_read (router, exchange, &event.u.call) < 0)
    return;
  error = mq_completion_body_read (&body, text);
  if (error != NULL)
    {
      mq_reply_bad_request (router, exchange, MQ_REASON_BAD_REQUEST, error);
      return;
    }
  event.u.call.body_hash = mq_span_hash (text);
  event.u.call.content = completion_content_hash (&event.u.call, text);
  if (completion_hold (router, exchange, &body) < 0)
    {
      mq_completion_body_finish (&body);
      return;
    }
  r = completion_new (router, exchange, &body);
  event.handle = r->handle;
  event.u.call.handle = r->handle;
  event.u.call.service = mq_str_span (r->u.completion.service);
  event.u.call.priority = body.priority;
  event.u.call.prompt_tokens = r->u.completion.prompt_tokens;
  event.u.call.max_tokens = r->u.completion.max_tokens;
  event.u.call.prefix_hash = prefix_hash (mq_str_span (body.prompt));
  mq_router_post (router, &event);
}

/* Appends the beginning that all events of this response have in common.  */
static void
frame_prefix_append (const mq_active_request *request, GString *out)
{
  g_string_append_printf (out,
                          "{\"id\":\"%s\",\"object\":\"text_completion\""
                          ",\"model\":",
                          request->id);
  mq_json_text_string (out, mq_str_span (request->u.completion.service));
  g_string_append (out, ",\"choices\":[{\"index\":0,\"text\":\"");
}

static void
stream_begin (mq_active_request *request)
{
  mq_completion *c = &request->u.completion;
  const mq_http_header headers[]
      = { { MQ_SPAN ("Content-Type"), MQ_SPAN ("text/event-stream") },
          { MQ_SPAN ("Cache-Control"), MQ_SPAN ("no-store") },
          { MQ_SPAN ("Marjoramquay-Request"), mq_span_from (request->id) } };

  mq_http_exchange_begin (request->exchange, 200, headers,
                          G_N_ELEMENTS (headers));
  c->head_sent = true;
  c->frame = g_string_sized_new (512);
  g_string_append (c->frame, "data: ");
  frame_prefix_append (request, c->frame);
  c->frame_prefix_bytes = c->frame->len;
}

static void
stream_write (mq_active_request *request, const GString *text)
{
  mq_completion *c = &request->u.completion;
  size_t queued = mq_http_exchange_write (request->exchange,
                                          (mq_span){ text->str, text->len });

  if (queued < MQ_HTTP_STREAM_HIGH_WATER_BYTES || c->paused
      || c->stream == NULL)
    return;
  mq_completion_stream_set_paused (request, true);
}

static void
stream_write_token (mq_active_request *request, mq_span text)
{
  mq_completion *c = &request->u.completion;

  if (!c->head_sent)
    stream_begin (request);
  g_string_truncate (c->frame, c->frame_prefix_bytes);
  mq_json_text_escape (c->frame, text);
  g_string_append (c->frame, FRAME_END);
  stream_write (request, c->frame);
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

/* Writes the finish reason and the outcome, then [DONE].  */
static void
stream_write_done (mq_active_request *request)
{
  mq_completion *c = &request->u.completion;

  if (!c->head_sent)
    stream_begin (request);
  g_string_truncate (c->frame, c->frame_prefix_bytes);
  g_string_append_printf (c->frame, "\",\"finish_reason\":\"%s\"}]",
                          finish_reason (c));
  usage_append (c, c->frame);
  g_string_append (c->frame, ",\"marjoramquay\":{\"outcome\":\"done\"}}\n\n"
                             "data: [DONE]\n\n");
  stream_write (request, c->frame);
  mq_http_exchange_end (request->exchange);
}

static void
reply_unstreamed (mq_active_request *request)
{
  mq_completion *c = &request->u.completion;
  const mq_http_header headers[]
      = { { MQ_SPAN ("Content-Type"), MQ_SPAN ("application/json") },
          { MQ_SPAN ("Marjoramquay-Outcome"), MQ_SPAN ("done") },
          { MQ_SPAN ("Marjoramquay-Request"), mq_span_from (request->id) } };
  GString *body = g_string_new (NULL);

  frame_prefix_append (request, body);
  for (guint i = 0; i < c->tokens->len; i++)
    mq_json_text_escape (body, mq_str_span (c->tokens->pdata[i]));
  g_string_append_printf (body, "\",\"finish_reason\":\"%s\"}]",
                          finish_reason (c));
  usage_append (c, body);
  g_string_append (body, "}\n");
  mq_http_exchange_reply (request->exchange, 200, headers,
                          G_N_ELEMENTS (headers),
                          (mq_span){ body->str, body->len });
  g_string_free (body, TRUE);
}

void
mq_completion_deliver (mq_active_request *request,
                       const mq_entry_action *action)
{
  mq_completion *c = &request->u.completion;
  mq_router_counters *counters = &request->router->counters;
  uint64_t now = mq_router_now_us ();

  g_ptr_array_add (c->tokens, mq_str_new (action->u.deliver.text));
  ++*counters->tokens;
  if (c->last_token_us == 0)
    mq_histogram_observe (counters->first_token, now - request->started_us);
  else
    mq_histogram_observe (counters->token_gap, now - c->last_token_us);
  c->last_token_us = now;
  mq_completion_stream_report_progress (request, now);
  if (c->streamed)
    stream_write_token (request, action->u.deliver.text);
}

static void
completion_end_with_error (mq_active_request *request,
                           const mq_entry_action *action)
{
  mq_reply_error error = { .outcome = action->u.end.outcome,
                           .reason = action->u.end.reason,
                           .request = request->id,
                           .retry_after_us = action->u.end.retry_after_us };

  if (request->u.completion.head_sent)
    mq_reply_stream_error (request->exchange, &error);
  else
    mq_reply_with_error (request->exchange, &error);
}

void
mq_completion_end (mq_active_request *request, const mq_entry_action *action)
{
  mq_histogram_observe (request->router->counters.completion,
                        mq_router_now_us () - request->started_us);
  if (action->u.end.outcome != MQ_OUTCOME_DONE)
    completion_end_with_error (request, action);
  else if (request->u.completion.streamed)
    stream_write_done (request);
  else
    reply_unstreamed (request);
}

void
mq_completion_on_drained (mq_active_request *request)
{
  mq_completion *c = &request->u.completion;

  if (c->paused && c->stream != NULL)
    mq_completion_stream_set_paused (request, false);
}
