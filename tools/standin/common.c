/* Helpers shared by the roles of mqstand: see common.h.  */

#include <standin/common.h>

#include <signal.h>
#include <stdio.h>
#include <string.h>

/* A body holds a batch of activations or an object of up to 1 MiB.  */
#define MAX_BODY_BYTES ((size_t)4 * 1024 * 1024)
#define IDLE_TIMEOUT_S 120

typedef struct delayed_call
{
  ev_timer timer; /* First member: the callback casts it to delayed_call.  */
  mq_standin_callback callback;
  void *context;
} delayed_call;

static void
delayed_call_run (struct ev_loop *loop, ev_timer *timer, int events)
{
  delayed_call *d = (delayed_call *)timer;

  (void)loop;
  (void)events;
  d->callback (d->context);
  g_free (d);
}

void
mq_standin_call_after (struct ev_loop *loop, uint64_t delay_us,
                       mq_standin_callback callback, void *context)
{
  delayed_call *d = g_new0 (delayed_call, 1);

  d->callback = callback;
  d->context = context;
  ev_now_update (loop);
  ev_timer_init (&d->timer, delayed_call_run, (double)delay_us / 1e6, 0.);
  ev_timer_start (loop, &d->timer);
}

uint64_t
mq_standin_now_us (void)
{
  return (uint64_t)g_get_monotonic_time ();
}

mq_http_server *
mq_standin_listen (struct ev_loop *loop, const char *listen,
                   mq_http_server_sink sink, void *context, GError **error)
{
  mq_span text = mq_span_from (listen);
  const char *colon = listen == NULL ? NULL : strrchr (listen, ':');
  mq_http_server_options o
      = { .body_limit = MAX_BODY_BYTES, .idle_s = IDLE_TIMEOUT_S };
  mq_http_server *server;
  uint64_t port;

  if (colon == NULL || mq_span_to_u64 (mq_span_from (colon + 1), &port) != 0
      || port > G_MAXUINT16)
    {
      g_set_error (error, G_OPTION_ERROR, G_OPTION_ERROR_BAD_VALUE,
                   "--listen: expected IP:PORT with a port up to 65535");
      return NULL;
    }
  o.address = (mq_span){ text.data, (size_t)(colon - listen) };
  o.port = (uint16_t)port;
  server = mq_http_server_new (loop, &o, sink, context, error);
  if (server == NULL)
    return NULL;
  printf ("listening=%.*s:%u\n", MQ_SPAN_ARG (o.address),
          mq_http_server_port (server));
  fflush (stdout);
  return server;
}

void
mq_standin_reply_json (mq_http_exchange *exchange, unsigned status,
                       json_object *json)
{
  mq_http_header type
      = { MQ_SPAN ("Content-Type"), MQ_SPAN ("application/json") };
  size_t size;
  const char *text = json_object_to_json_string_length (
      json, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE, &size);

  mq_http_exchange_reply (exchange, status, &type, 1, (mq_span){ text, size });
  json_object_put (json);
}

void
mq_standin_reply_empty (mq_http_exchange *exchange, unsigned status)
{
  mq_http_exchange_reply (exchange, status, NULL, 0, (mq_span){ NULL, 0 });
}

json_object *
mq_standin_parse_json (mq_span text)
{
  json_tokener *t = json_tokener_new ();
  json_object *json = NULL;

  if (text.size > 0 && text.size < G_MAXINT)
    json = json_tokener_parse_ex (t, text.data, (int)text.size);
  /* The parser reports a bare number at the end of TEXT as incomplete, which
     is harmless: only objects are accepted.  */
  if (json != NULL && !json_object_is_type (json, json_type_object))
    {
      json_object_put (json);
      json = NULL;
    }
  json_tokener_free (t);
  return json;
}

int64_t
mq_standin_get_int (json_object *json, const char *key, int64_t fallback)
{
  json_object *v;

  if (!json_object_object_get_ex (json, key, &v)
      || !json_object_is_type (v, json_type_int))
    return fallback;
  return json_object_get_int64 (v);
}

double
mq_standin_get_double (json_object *json, const char *key, double fallback)
{
  json_object *v;

  if (!json_object_object_get_ex (json, key, &v))
    return fallback;
  return json_object_get_double (v);
}

bool
mq_standin_get_bool (json_object *json, const char *key, bool fallback)
{
  json_object *v;

  if (!json_object_object_get_ex (json, key, &v))
    return fallback;
  return json_object_get_boolean (v);
}

mq_span
mq_standin_get_string (json_object *json, const char *key)
{
  json_object *v;

  if (!json_object_object_get_ex (json, key, &v)
      || !json_object_is_type (v, json_type_string))
    return (mq_span){ NULL, 0 };
  return (mq_span){ json_object_get_string (v),
                    (size_t)json_object_get_string_len (v) };
}

void
mq_standin_add_int (json_object *json, const char *key, int64_t value)
{
  json_object_object_add (json, key, json_object_new_int64 (value));
}

void
mq_standin_add_string (json_object *json, const char *key, mq_span value)
{
  json_object_object_add (
      json, key,
      json_object_new_string_len (value.data == NULL ? "" : value.data,
                                  (int)value.size));
}

uint64_t
mq_standin_get_query (const mq_http_exchange *exchange, const char *name,
                      uint64_t fallback)
{
  uint64_t value;

  if (mq_span_to_u64 (mq_http_exchange_query (exchange, name), &value) != 0)
    return fallback;
  return value;
}

int
mq_standin_parse_options (int *argc, char ***argv, const char *role,
                          const GOptionEntry *entries)
{
  GOptionContext *context = g_option_context_new (role);
  GError *error = NULL;
  int status = 0;

  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, argc, argv, &error))
    {
      fprintf (stderr, "mqstand: %s\n", error->message);
      g_error_free (error);
      status = -1;
    }
  g_option_context_free (context);
  return status;
}

static void
signal_stop (struct ev_loop *loop, ev_signal *watcher, int events)
{
  (void)watcher;
  (void)events;
  ev_break (loop, EVBREAK_ALL);
}

void
mq_standin_run (struct ev_loop *loop)
{
  ev_signal term;
  ev_signal interrupt;

  signal (SIGPIPE, SIG_IGN);
  ev_signal_init (&term, signal_stop, SIGTERM);
  ev_signal_start (loop, &term);
  ev_signal_init (&interrupt, signal_stop, SIGINT);
  ev_signal_start (loop, &interrupt);
  ev_run (loop, 0);
}
