/* The callers: open all streams, read their events, and tell what each token
   cost the relay and how late it came.  */

#include "roles.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define WARM_UP_S 1.0
#define MAX_DELAY_US 1000000

typedef struct cost
{
  int64_t at_us;
  uint64_t tokens;
  long user_us;
  long system_us;
  long memory_kb;   /* The most it has held.  */
  uint64_t wait_us; /* Ready, but without a processor.  */
} cost;

typedef struct callers
{
  const bench_options *options;
  struct ev_loop *loop;
  mq_http_client *client;
  char url[64];
  int open;
  bool counting;
  cost cost;
  uint32_t *delays; /* How many tokens had a delay of so many us.  */
  uint64_t n_delays;
} callers;

static void
callers_data (callers *c, mq_span data)
{
  const char *end = data.data + data.size;
  const char *at = data.data;
  int64_t now = g_get_monotonic_time ();

  while (
      (at = memmem (at, (size_t)(end - at), TOKEN_MARK, strlen (TOKEN_MARK)))
      != NULL)
    {
      int64_t delay;

      at += strlen (TOKEN_MARK);
      delay = now - g_ascii_strtoll (at, NULL, 10);
      if (delay < 0 || delay >= MAX_DELAY_US)
        delay = MAX_DELAY_US - 1;
      c->delays[delay]++;
      c->n_delays++;
    }
}

static void
callers_sink (void *context, const mq_http_client_event *event)
{
  callers *c = context;

  switch (event->kind)
    {
    case MQ_HTTP_CLIENT_HEADERS:
      c->open++;
      break;
    case MQ_HTTP_CLIENT_DATA:
      if (c->counting)
        callers_data (c, event->data);
      break;
    case MQ_HTTP_CLIENT_END:
      g_error ("a stream ended: result %d status %u", event->result,
               event->status);
    }
}

static void
cost_sink (void *context, const mq_http_client_event *event)
{
  callers *c = context;

  if (event->kind != MQ_HTTP_CLIENT_END)
    return;
  if (sscanf (event->data.data, "%" SCNu64 " %ld %ld %ld %" SCNu64,
              &c->cost.tokens, &c->cost.user_us, &c->cost.system_us,
              &c->cost.memory_kb, &c->cost.wait_us)
      != 5)
    g_error ("no cost");
  c->cost.at_us = g_get_monotonic_time ();
  ev_break (c->loop, EVBREAK_ONE);
}

static cost
callers_ask_cost (callers *c)
{
  char *url = g_strconcat (c->url, "cost", NULL);
  mq_http_call_options o = { .url = mq_span_from (url) };

  mq_http_client_start (c->client, &o, cost_sink, c);
  ev_run (c->loop, 0);
  g_free (url);
  return c->cost;
}

static void
stop_loop (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)watcher;
  (void)events;
  ev_break (loop, EVBREAK_ONE);
}

static void
callers_run_for (callers *c, double duration_s)
{
  ev_timer t;

  ev_timer_init (&t, stop_loop, duration_s, 0.);
  ev_now_update (c->loop);
  ev_timer_start (c->loop, &t);
  ev_run (c->loop, 0);
  ev_timer_stop (c->loop, &t);
}

/* Note the delays for as long as asked.  */
static void
callers_count (callers *c)
{
  c->counting = true;
  callers_run_for (c, c->options->seconds);
  c->counting = false;
}

static int
callers_delay (const callers *c, double share)
{
  uint64_t left = (uint64_t)((double)c->n_delays * share);

  for (int us = 0; us < MAX_DELAY_US; us++)
    {
      if (c->delays[us] > left)
        return us;
      left -= c->delays[us];
    }
  return MAX_DELAY_US;
}

static void
callers_print_delay (const callers *c, int streams)
{
  printf ("%7d %10.0f p50 %d us, p99 %d us without the relay\n", streams,
          (double)c->n_delays / c->options->seconds, callers_delay (c, 0.5),
          callers_delay (c, 0.99));
  fflush (stdout);
}

static void
callers_print (const callers *c, int streams, cost a, cost b)
{
  double wall_s = (double)(b.at_us - a.at_us) / US_PER_S;
  double tokens = (double)(b.tokens - a.tokens);
  double user = (double)(b.user_us - a.user_us);
  double sys = (double)(b.system_us - a.system_us);

  printf ("%7d %10.0f %8.2f %8.2f %8.2f %10.0f %7.1f%% %7.1f%% %8d %8d %8ld\n",
          streams, tokens / wall_s, (user + sys) / tokens, user / tokens,
          sys / tokens, tokens / (user + sys) * US_PER_S,
          (user + sys) / wall_s / US_PER_S * 100,
          (double)(b.wait_us - a.wait_us) / wall_s / US_PER_S * 100,
          callers_delay (c, 0.5), callers_delay (c, 0.99), b.memory_kb);
  fflush (stdout);
}

void
callers_role (uint16_t port, int streams, const bench_options *options)
{
  callers c = { .loop = ev_default_loop (0), .options = options };
  mq_http_call_options o = { .connect_ms = 10000, .streamed = true };
  cost a;
  cost b;

  c.client = mq_http_client_new (c.loop, (mq_span){ NULL, 0 });
  c.delays = g_new0 (uint32_t, MAX_DELAY_US);
  snprintf (c.url, sizeof c.url, "http://127.0.0.1:%u/", port);
  o.url = mq_span_from (c.url);
  for (int i = 0; i < streams; i++)
    mq_http_client_start (c.client, &o, callers_sink, &c);
  while (c.open < streams)
    ev_run (c.loop, EVRUN_ONCE);
  callers_run_for (&c, WARM_UP_S + options->pause_s);
  if (options->direct)
    {
      callers_count (&c);
      callers_print_delay (&c, streams);
    }
  else
    {
      a = callers_ask_cost (&c);
      callers_count (&c);
      b = callers_ask_cost (&c);
      callers_print (&c, streams, a, b);
    }
  mq_http_client_free (c.client);
  g_free (c.delays);
}

void
callers_print_titles (void)
{
  printf ("%7s %10s %8s %8s %8s %10s %8s %8s %8s %8s %8s\n", "streams",
          "tokens/s", "us/token", "user", "system", "per core", "busy",
          "waits", "p50 us", "p99 us", "KiB");
  fflush (stdout);
}
