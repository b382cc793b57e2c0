/* The relay: for each caller it opens a stream at the upstream through the
   engine adapter and passes each token on as a server-sent event, as the
   router does but without its decisions.  */

#include "roles.h"

#include <inttypes.h>
#include <json-c/json.h>
#include <mq/engine_stream.h>
#include <stdio.h>
#include <sys/resource.h>

#define DEADLINE_US (UINT64_C (3600) * US_PER_S)

typedef struct relay
{
  mq_http_client *client;
  mq_plan plan;
  uint64_t tokens;
} relay;

typedef struct relay_stream
{
  relay *relay;
  mq_http_exchange *exchange; /* One reference.  */
  mq_engine_stream *upstream;
  GString *event;
} relay_stream;

static void
relay_stream_free (relay_stream *stream)
{
  mq_http_exchange_set_user (stream->exchange, NULL);
  mq_http_exchange_unref (stream->exchange);
  g_string_free (stream->event, TRUE);
  g_free (stream);
}

static void
relay_token (relay_stream *stream, mq_span text)
{
  json_object *t = json_object_new_string_len (text.data, (int)text.size);

  g_string_assign (stream->event,
                   "data: {\"choices\":[{\"index\":0,\"text\":");
  g_string_append (stream->event,
                   json_object_to_json_string_ext (t, JSON_C_TO_STRING_PLAIN));
  g_string_append (stream->event, "}]}\n\n");
  json_object_put (t);
  stream->relay->tokens++;
  mq_http_exchange_write (stream->exchange,
                          (mq_span){ stream->event->str, stream->event->len });
}

static void
relay_upstream_sink (void *context, const mq_engine_stream_event *event)
{
  relay_stream *s = context;

  switch (event->kind)
    {
    case MQ_ENGINE_STREAM_OPEN:
      break;
    case MQ_ENGINE_STREAM_TOKEN:
      relay_token (s, event->u.token.text);
      break;
    case MQ_ENGINE_STREAM_END:
    case MQ_ENGINE_STREAM_FAILED:
      mq_http_exchange_abort (s->exchange);
      relay_stream_free (s);
      break;
    }
}

/* How long this process has stood ready without a processor.  */
static uint64_t
run_queue_wait_us (void)
{
  uint64_t run_ns = 0;
  uint64_t wait_ns = 0;
  FILE *f = fopen ("/proc/self/schedstat", "r");

  if (f == NULL)
    return 0;
  if (fscanf (f, "%" SCNu64 " %" SCNu64, &run_ns, &wait_ns) != 2)
    wait_ns = 0;
  fclose (f);
  return wait_ns / 1000;
}

/* Answer with the tokens relayed and the processor time in microseconds.  */
static void
relay_answer_cost (const relay *r, mq_http_exchange *exchange)
{
  struct rusage u;
  char text[LINE_LIMIT];
  int n;

  getrusage (RUSAGE_SELF, &u);
  n = snprintf (text, sizeof text, "%" PRIu64 " %ld %ld %ld %" PRIu64,
                r->tokens, u.ru_utime.tv_sec * US_PER_S + u.ru_utime.tv_usec,
                u.ru_stime.tv_sec * US_PER_S + u.ru_stime.tv_usec, u.ru_maxrss,
                run_queue_wait_us ());
  mq_http_exchange_reply (exchange, 200, NULL, 0,
                          (mq_span){ text, (size_t)n });
}

static void
relay_start (relay *r, mq_http_exchange *exchange)
{
  mq_http_header type
      = { MQ_SPAN ("Content-Type"), MQ_SPAN ("text/event-stream") };
  relay_stream *s = g_new0 (relay_stream, 1);
  mq_engine_stream_options o = { .request = MQ_SPAN (TOKEN_REQUEST),
                                 .attempt = TOKEN_ATTEMPT,
                                 .router = MQ_SPAN ("bench"),
                                 .plan = &r->plan,
                                 .prompt = MQ_SPAN ("prompt"),
                                 .max_tokens = UINT32_MAX,
                                 .deadline_us = DEADLINE_US };

  s->relay = r;
  s->exchange = mq_http_exchange_ref (exchange);
  s->event = g_string_new (NULL);
  mq_http_exchange_set_user (exchange, s);
  mq_http_exchange_begin (exchange, 200, &type, 1);
  s->upstream
      = mq_engine_stream_new (r->client, &o, relay_upstream_sink, s, NULL);
}

static void
relay_sink (void *context, const mq_http_server_event *event)
{
  relay *r = context;
  relay_stream *s = mq_http_exchange_user (event->exchange);

  switch (event->kind)
    {
    case MQ_HTTP_SERVER_REQUEST:
      if (mq_span_equal (mq_http_exchange_path (event->exchange),
                         MQ_SPAN ("/cost")))
        relay_answer_cost (r, event->exchange);
      else
        relay_start (r, event->exchange);
      break;
    case MQ_HTTP_SERVER_DISCONNECTED:
      mq_engine_stream_cancel (s->upstream);
      relay_stream_free (s);
      break;
    case MQ_HTTP_SERVER_DRAINED:
    case MQ_HTTP_SERVER_BODY_REJECTED:
    case MQ_HTTP_SERVER_EVICTED:
    case MQ_HTTP_SERVER_HEAD_REJECTED:
      break;
    }
}

static void
relay_plan (mq_plan *plan, uint16_t upstream_port)
{
  mq_str *name = mq_str_new (MQ_SPAN ("e1"));
  mq_str *url = mq_str_printf ("http://127.0.0.1:%u", upstream_port);

  mq_plan_init (plan);
  plan->model = mq_str_new (MQ_SPAN ("m"));
  plan->version = mq_str_new (MQ_SPAN ("v1"));
  plan->layers = 24;
  mq_plan_add (plan, name, url, 0, plan->layers);
  mq_str_unref (name);
  mq_str_unref (url);
}

void
relay_role (int fd, uint16_t upstream_port)
{
  struct ev_loop *loop = ev_default_loop (0);
  relay r = { .client = mq_http_client_new (loop, (mq_span){ NULL, 0 }) };

  relay_plan (&r.plan, upstream_port);
  serve (loop, fd, relay_sink, &r);
  ev_run (loop, 0);
}
