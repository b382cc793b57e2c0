/* What a relayed token costs the HTTP adapters.

   Three processes on loopback: an upstream that streams one line of JSON a
   token at a fixed total rate, a relay that turns each line into a
   server-sent event as the router does, and callers that read the events.
   Only the relay's processor time is counted.  Each token carries the time at
   which the upstream wrote it, from which the callers tell its delay.

   For each number of open streams it prints what was relayed, the relay's
   processor time a token, tokens a core second, the delay, and the most
   memory it held.  "waits" is the share of the time in which the relay stood
   ready without a processor: with much of it the delays tell more about the
   machine than about the relay.  */

#include <mq/http_client.h>
#include <mq/http_server.h>

#include <errno.h>
#include <json-c/json.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#define TICK_S 0.001
#define WARM_UP_S 1.0
#define US_PER_S 1000000
#define LINE_LIMIT 256
#define MAX_DELAY_US 1000000

static int rate = 12400;
static int seconds = 4;
static int pause_s;
static gboolean direct;

static const GOptionEntry entries[]
    = { { "rate", 'r', 0, G_OPTION_ARG_INT, &rate,
          "Tokens a second over all streams", "N" },
        { "seconds", 's', 0, G_OPTION_ARG_INT, &seconds,
          "Length of each measurement", "N" },
        { "pause", 'p', 0, G_OPTION_ARG_INT, &pause_s,
          "Print the relay's process id and wait before measuring", "N" },
        { "direct", 'd', 0, G_OPTION_ARG_NONE, &direct,
          "Leave the relay out, to see the delay without it", NULL },
        { NULL, 0, 0, 0, NULL, NULL, NULL } };

static int64_t
now_us (void)
{
  return g_get_monotonic_time ();
}

static mq_http_server *
serve (struct ev_loop *loop, mq_http_server_sink sink, void *context)
{
  mq_http_server_options o = { .address = MQ_SPAN ("127.0.0.1"),
                               .body_limit = LINE_LIMIT,
                               .idle_s = 30 };
  GError *error = NULL;
  mq_http_server *s = mq_http_server_new (loop, &o, sink, context, &error);

  if (s == NULL)
    g_error ("%s", error->message);
  return s;
}

static void
tell_port (int fd, const mq_http_server *server)
{
  uint16_t port = mq_http_server_port (server);

  if (write (fd, &port, sizeof port) != sizeof port)
    g_error ("write: %s", g_strerror (errno));
  close (fd);
}

/* The upstream.  */

typedef struct upstream
{
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
    case MQ_HTTP_SERVER_GONE:
      g_ptr_array_remove_fast (u->streams, event->exchange);
      break;
    case MQ_HTTP_SERVER_DRAINED:
      break;
    }
}

static void
upstream_write (upstream *u)
{
  char line[LINE_LIMIT];
  int n = snprintf (line, sizeof line,
                    "{\"request\":\"r-0123456789abcdef\",\"attempt\":1,"
                    "\"p\":%" PRIu64 ",\"t\":\"word%" PRId64
                    " \",\"s\":[[0,8,\"v1\"],[8,16,\"v1\"],[16,24,\"v1\"]]}\n",
                    u->position++, now_us ());

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
    u->began_us = now_us ();
  due = (now_us () - u->began_us) * rate / US_PER_S;
  for (; u->written < due; u->written++)
    upstream_write (u);
}

static void
upstream_main (int fd)
{
  struct ev_loop *loop = ev_default_loop (0);
  upstream u = { .streams = g_ptr_array_new_with_free_func (
                     (GDestroyNotify)mq_http_exchange_unref) };
  ev_timer tick;

  tell_port (fd, serve (loop, upstream_sink, &u));
  ev_timer_init (&tick, upstream_tick, TICK_S, TICK_S);
  tick.data = &u;
  ev_timer_start (loop, &tick);
  ev_run (loop, 0);
}

/* The relay.  */

typedef struct relay
{
  mq_http_client *client;
  json_tokener *tokener;
  char url[64];
  uint64_t tokens;
} relay;

typedef struct relay_stream
{
  relay *relay;
  mq_http_exchange *exchange; /* One reference.  */
  mq_http_call *call;
  GString *line; /* The unfinished line.  */
  GString *event;
} relay_stream;

static void
relay_stream_free (relay_stream *stream)
{
  mq_http_exchange_set_user (stream->exchange, NULL);
  mq_http_exchange_unref (stream->exchange);
  g_string_free (stream->line, TRUE);
  g_string_free (stream->event, TRUE);
  g_free (stream);
}

static void
relay_line (relay_stream *stream, const char *line, size_t size)
{
  struct json_object *o;
  struct json_object *t;

  json_tokener_reset (stream->relay->tokener);
  o = json_tokener_parse_ex (stream->relay->tokener, line, (int)size);
  if (o == NULL || !json_object_object_get_ex (o, "t", &t))
    g_error ("not a token: %.*s", (int)size, line);
  g_string_append (stream->event,
                   "data: {\"choices\":[{\"index\":0,\"text\":");
  g_string_append (stream->event,
                   json_object_to_json_string_ext (t, JSON_C_TO_STRING_PLAIN));
  g_string_append (stream->event, "}]}\n\n");
  stream->relay->tokens++;
  json_object_put (o);
}

static void
relay_data (relay_stream *stream, mq_span data)
{
  const char *at = data.data;
  const char *end = data.data + data.size;
  const char *nl;

  g_string_truncate (stream->event, 0);
  while ((nl = memchr (at, '\n', (size_t)(end - at))) != NULL)
    {
      if (stream->line->len == 0)
        relay_line (stream, at, (size_t)(nl - at));
      else
        {
          g_string_append_len (stream->line, at, nl - at);
          relay_line (stream, stream->line->str, stream->line->len);
          g_string_truncate (stream->line, 0);
        }
      at = nl + 1;
    }
  g_string_append_len (stream->line, at, end - at);
  if (stream->event->len == 0)
    return;
  mq_http_exchange_write (stream->exchange,
                          (mq_span){ stream->event->str, stream->event->len });
}

static void
relay_upstream_sink (void *context, const mq_http_client_event *event)
{
  relay_stream *s = context;

  switch (event->kind)
    {
    case MQ_HTTP_CLIENT_HEADERS:
      break;
    case MQ_HTTP_CLIENT_DATA:
      relay_data (s, event->data);
      break;
    case MQ_HTTP_CLIENT_END:
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
  mq_http_call_options o = { .method = MQ_SPAN ("POST"),
                             .url = mq_span_from (r->url),
                             .body = MQ_SPAN ("{}"),
                             .connect_ms = 10000,
                             .streamed = true };

  s->relay = r;
  s->exchange = mq_http_exchange_ref (exchange);
  s->line = g_string_new (NULL);
  s->event = g_string_new (NULL);
  mq_http_exchange_set_user (exchange, s);
  mq_http_exchange_begin (exchange, 200, &type, 1);
  s->call = mq_http_client_start (r->client, &o, relay_upstream_sink, s);
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
    case MQ_HTTP_SERVER_GONE:
      mq_http_call_cancel (s->call);
      relay_stream_free (s);
      break;
    case MQ_HTTP_SERVER_DRAINED:
      break;
    }
}

static void
relay_main (int fd, uint16_t upstream_port)
{
  struct ev_loop *loop = ev_default_loop (0);
  relay r = { .client = mq_http_client_new (loop, (mq_span){ NULL, 0 }),
              .tokener = json_tokener_new () };

  snprintf (r.url, sizeof r.url, "http://127.0.0.1:%u/", upstream_port);
  tell_port (fd, serve (loop, relay_sink, &r));
  ev_run (loop, 0);
}

/* The callers.  */

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
  int64_t now = now_us ();

  while ((at = memmem (at, (size_t)(end - at), "word", 4)) != NULL)
    {
      int64_t delay;

      at += 4;
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
  c->cost.at_us = now_us ();
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
  callers_run_for (c, seconds);
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
          (double)c->n_delays / seconds, callers_delay (c, 0.5),
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

static void
callers_main (uint16_t relay_port, int streams)
{
  callers c = { .loop = ev_default_loop (0) };
  mq_http_call_options o = { .connect_ms = 10000, .streamed = true };
  cost a;
  cost b;

  c.client = mq_http_client_new (c.loop, (mq_span){ NULL, 0 });
  c.delays = g_new0 (uint32_t, MAX_DELAY_US);
  snprintf (c.url, sizeof c.url, "http://127.0.0.1:%u/", relay_port);
  o.url = mq_span_from (c.url);
  for (int i = 0; i < streams; i++)
    mq_http_client_start (c.client, &o, callers_sink, &c);
  while (c.open < streams)
    ev_run (c.loop, EVRUN_ONCE);
  callers_run_for (&c, WARM_UP_S + pause_s);
  if (direct)
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

/* Run ROLE in a process of its own; its port goes to *PORT.  */
static pid_t
start_role (void (*role) (int fd, uint16_t upstream_port),
            uint16_t upstream_port, uint16_t *port)
{
  int fds[2];
  pid_t pid;

  if (pipe (fds) < 0 || (pid = fork ()) < 0)
    g_error ("%s", g_strerror (errno));
  if (pid == 0)
    {
      close (fds[0]);
      role (fds[1], upstream_port);
      _exit (0);
    }
  close (fds[1]);
  if (read (fds[0], port, sizeof *port) != sizeof *port)
    g_error ("a role did not start");
  close (fds[0]);
  return pid;
}

static void
upstream_role (int fd, uint16_t unused)
{
  (void)unused;
  upstream_main (fd);
}

static void
stop_role (pid_t pid)
{
  kill (pid, SIGTERM);
  waitpid (pid, NULL, 0);
}

static void
run_round (int streams)
{
  uint16_t upstream_port;
  uint16_t relay_port;
  pid_t upstream_pid = start_role (upstream_role, 0, &upstream_port);
  pid_t relay_pid = start_role (relay_main, upstream_port, &relay_port);
  pid_t callers_pid;

  if (pause_s > 0)
    fprintf (stderr, "relay is process %d\n", (int)relay_pid);
  callers_pid = fork ();
  if (callers_pid == 0)
    {
      callers_main (direct ? upstream_port : relay_port, streams);
      _exit (0);
    }
  waitpid (callers_pid, NULL, 0);
  stop_role (relay_pid);
  stop_role (upstream_pid);
}

static void
raise_open_files (void)
{
  struct rlimit l;

  getrlimit (RLIMIT_NOFILE, &l);
  l.rlim_cur = l.rlim_max;
  setrlimit (RLIMIT_NOFILE, &l);
}

int
main (int argc, char **argv)
{
  static char *usual[] = { NULL, "10", "100", "500", "2000", NULL };
  GOptionContext *c = g_option_context_new ("[STREAMS...]");
  GError *error = NULL;
  char **streams = argv;

  g_option_context_add_main_entries (c, entries, NULL);
  if (!g_option_context_parse (c, &argc, &argv, &error))
    {
      fprintf (stderr, "%s\n", error->message);
      return EXIT_FAILURE;
    }
  g_option_context_free (c);
  if (argc == 1)
    streams = usual;
  raise_open_files ();
  printf ("%7s %10s %8s %8s %8s %10s %8s %8s %8s %8s %8s\n", "streams",
          "tokens/s", "us/token", "user", "system", "per core", "busy",
          "waits", "p50 us", "p99 us", "KiB");
  fflush (stdout);
  for (char **s = streams + 1; *s != NULL; s++)
    run_round (atoi (*s));
  return EXIT_SUCCESS;
}
