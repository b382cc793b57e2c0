/* The upstream: streams one line of JSON a token, in turn to each stream, at
   a fixed total rate.  Each token carries the time at which it is written.  */

#include "roles.h"

#include <inttypes.h>
#include <stdio.h>

#define TICK_S 0.001

typedef struct upstream
{
  int rate;
  GPtrArray *streams; /* Exchanges, one reference each.  */
  guint next;
  uint64_t position;
  int64_t began_us;
  int64_t written;
} upstream;

static void
upstream_sink (void *context, const mq_http_server_event *event)
{
  upstream *u = context;

  switch (event->kind)
    {
    case MQ_HTTP_SERVER_REQUEST:
      mq_http_exchange_begin (event->exchange, 200, NULL, 0);
      g_ptr_array_add (u->streams, mq_http_exchange_ref (event->exchange));
      break;
    case MQ_HTTP_SERVER_DISCONNECTED:
      g_ptr_array_remove_fast (u->streams, event->exchange);
      break;
    case MQ_HTTP_SERVER_DRAINED:
    case MQ_HTTP_SERVER_BODY_REJECTED:
    case MQ_HTTP_SERVER_EVICTED:
    case MQ_HTTP_SERVER_HEAD_REJECTED:
      break;
    }
}

static void
upstream_write (upstream *u)
{
  char line[LINE_LIMIT];
  int n = snprintf (line, sizeof line,
                    "{\"request\":\"" TOKEN_REQUEST "\",\"attempt\":%d,"
                    "\"p\":%" PRIu64 ",\"t\":\"" TOKEN_MARK "%" PRId64
                    " \",\"s\":[[0,8,\"v1\"],[8,16,\"v1\"],[16,24,\"v1\"]]}\n",
                    TOKEN_ATTEMPT, u->position++, g_get_monotonic_time ());

  u->next = (u->next + 1) % u->streams->len;
  mq_http_exchange_write (g_ptr_array_index (u->streams, u->next),
                          (mq_span){ line, (size_t)n });
}

static void
upstream_tick (struct ev_loop *loop, ev_timer *watcher, int events)
{
  upstream *u = watcher->data;
  int64_t due;

  (void)loop;
  (void)events;
  if (u->streams->len == 0)
    return;
  if (u->began_us == 0)
    u->began_us = g_get_monotonic_time ();
  due = (g_get_monotonic_time () - u->began_us) * u->rate / US_PER_S;
  for (; u->written < due; u->written++)
    upstream_write (u);
}

void
upstream_role (int fd, const bench_options *options)
{
  struct ev_loop *loop = ev_default_loop (0);
  upstream u = { .rate = options->rate,
                 .streams = g_ptr_array_new_with_free_func (
                     (GDestroyNotify)mq_http_exchange_unref) };
  ev_timer tick;

  serve (loop, fd, upstream_sink, &u);
  ev_timer_init (&tick, upstream_tick, TICK_S, TICK_S);
  tick.data = &u;
  ev_timer_start (loop, &tick);
  ev_run (loop, 0);
}
