/* The plain service stand-in.

   Each call that runs records one effect, so that GET /effects reveals calls
   that ran twice or not at all.  All paths other than /effects and /fault run
   alike; callers treat /lookup as repeatable and /book as not.  With
   --honours-keys a call whose Idempotency-Key has an effect already runs
   nothing and gets the response of the first.  */

#include <standin/common.h>

#include <stdio.h>
#include <string.h>

/* Injected faults, set by POST /fault.  A counter is the number of calls that
   still fail this way.  */
typedef struct plain_fault
{
  int64_t fail_before; /* Connection cut before the effect.  */
  int64_t fail_after;  /* Connection cut after the effect.  */
  int64_t not_run;     /* 503 with Marjoramquay-Ran: no.  */
  int64_t error;       /* 500 after the effect.  */
  uint64_t slow_us;    /* Delay of each call until slow_until_us.  */
  uint64_t slow_until_us;
} plain_fault;

typedef struct plain_effect
{
  uint64_t number;
  mq_str *method;
  mq_str *path;
  mq_str *request; /* Marjoramquay-Request, or NULL.  */
  mq_str *key;     /* Idempotency-Key, or NULL.  */
  mq_str *body;
  bool replied; /* The response was handed to the HTTP server.  */
} plain_effect;

typedef struct plain
{
  struct ev_loop *loop;
  mq_http_server *server;
  GPtrArray *effects; /* of plain_effect, owned  */
  GHashTable *keys;   /* mq_str data -> plain_effect, both borrowed  */
  bool honours_keys;
  uint64_t work_us;
  plain_fault fault;
} plain;

/* A call that runs after its delay.  */
typedef struct plain_call
{
  plain *plain;
  mq_http_exchange *exchange; /* Owned reference.  */
} plain_call;

static void
effect_free (gpointer data)
{
  plain_effect *e = data;

  mq_str_unref (e->method);
  mq_str_unref (e->path);
  mq_str_unref (e->request);
  mq_str_unref (e->key);
  mq_str_unref (e->body);
  g_free (e);
}

static plain_effect *
effect_record (plain *p, const mq_http_exchange *exchange)
{
  plain_effect *e = g_new0 (plain_effect, 1);
  mq_span key = mq_http_exchange_header (exchange, "Idempotency-Key");

  e->number = p->effects->len + 1;
  e->method = mq_str_new (mq_http_exchange_method (exchange));
  e->path = mq_str_new (mq_http_exchange_path (exchange));
  e->request = mq_str_new (
      mq_http_exchange_header (exchange, "Marjoramquay-Request"));
  e->key = mq_str_new (key);
  e->body = mq_str_new (mq_http_exchange_body (exchange));
  g_ptr_array_add (p->effects, e);
  if (key.size > 0)
    g_hash_table_insert (p->keys, e->key->data, e);
  return e;
}

static json_object *
effect_json (const plain_effect *e)
{
  json_object *json = json_object_new_object ();

  mq_standin_add_int (json, "effect", (int64_t)e->number);
  mq_standin_add_string (json, "method", mq_str_span (e->method));
  mq_standin_add_string (json, "path", mq_str_span (e->path));
  mq_standin_add_string (json, "request", mq_str_span (e->request));
  mq_standin_add_string (json, "key", mq_str_span (e->key));
  mq_standin_add_string (json, "body", mq_str_span (e->body));
  json_object_object_add (json, "replied",
                          json_object_new_boolean (e->replied));
  return json;
}

/* Return true and decrement *REMAINING if the fault that it counts occurs now,
   that is, if it is above 0.  */
static bool
fault_consume (int64_t *remaining)
{
  if (*remaining <= 0)
    return false;
  (*remaining)--;
  return true;
}

static void
plain_reply_effect (mq_http_exchange *exchange, const plain_effect *e)
{
  json_object *json = json_object_new_object ();

  mq_standin_add_int (json, "effect", (int64_t)e->number);
  mq_standin_add_string (json, "path", mq_str_span (e->path));
  mq_standin_add_string (json, "body", mq_str_span (e->body));
  mq_standin_reply_json (exchange, 200, json);
}

/* Return the effect recorded under the key of EXCHANGE, or NULL.  Always NULL
   without --honours-keys.  */
static plain_effect *
plain_find_effect (plain *p, const mq_http_exchange *exchange)
{
  mq_span key = mq_http_exchange_header (exchange, "Idempotency-Key");
  plain_effect *e;
  char *text;

  if (!p->honours_keys || key.size == 0)
    return NULL;
  text = g_strndup (key.data, key.size);
  e = g_hash_table_lookup (p->keys, text);
  g_free (text);
  return e;
}

static void
plain_reply_not_run (mq_http_exchange *exchange)
{
  mq_http_header ran = { MQ_SPAN ("Marjoramquay-Ran"), MQ_SPAN ("no") };

  mq_http_exchange_reply (exchange, 503, &ran, 1, (mq_span){ NULL, 0 });
}

static void
plain_run (void *context)
{
  plain_call *c = context;
  plain *p = c->plain;
  plain_effect *e = plain_find_effect (p, c->exchange);

  if (e == NULL)
    e = effect_record (p, c->exchange);
  if (fault_consume (&p->fault.fail_after))
    mq_http_exchange_abort (c->exchange);
  else if (fault_consume (&p->fault.error))
    mq_standin_reply_empty (c->exchange, 500);
  else
    {
      plain_reply_effect (c->exchange, e);
      e->replied = true;
    }
  mq_http_exchange_unref (c->exchange);
  g_free (c);
}

static void
plain_handle_call (plain *p, mq_http_exchange *exchange)
{
  uint64_t now = mq_standin_now_us ();
  uint64_t delay = p->work_us;
  plain_call *c;

  if (fault_consume (&p->fault.fail_before))
    {
      mq_http_exchange_abort (exchange);
      return;
    }
  if (fault_consume (&p->fault.not_run))
    {
      plain_reply_not_run (exchange);
      return;
    }
  if (now < p->fault.slow_until_us)
    delay += p->fault.slow_us;
  c = g_new0 (plain_call, 1);
  c->plain = p;
  c->exchange = mq_http_exchange_ref (exchange);
  mq_standin_call_after (p->loop, delay, plain_run, c);
}

/* Handle POST /fault.  Each member sets the fault of its name; "clear" resets
   all faults first.  */
static void
plain_set_fault (plain *p, mq_http_exchange *exchange)
{
  json_object *json = mq_standin_parse_json (mq_http_exchange_body (exchange));
  plain_fault *f = &p->fault;
  int64_t slow_ms;

  if (json == NULL)
    {
      mq_standin_reply_empty (exchange, 400);
      return;
    }
  if (mq_standin_get_bool (json, "clear", false))
    memset (f, 0, sizeof *f);
  f->fail_before = mq_standin_get_int (json, "fail_before", f->fail_before);
  f->fail_after = mq_standin_get_int (json, "fail_after", f->fail_after);
  f->not_run = mq_standin_get_int (json, "not_run", f->not_run);
  f->error = mq_standin_get_int (json, "error", f->error);
  slow_ms = mq_standin_get_int (json, "slow_ms", -1);
  if (slow_ms >= 0)
    {
      f->slow_us = (uint64_t)slow_ms * 1000;
      f->slow_until_us = mq_standin_now_us ()
                         + (uint64_t)mq_standin_get_int (
                               json, "slow_for_ms", MQ_STANDIN_DEFAULT_SLOW_MS)
                               * 1000;
    }
  json_object_put (json);
  mq_standin_reply_empty (exchange, 204);
}

/* Handle GET /effects?after=N: reply with the effects numbered above N.  */
static void
plain_list_effects (plain *p, mq_http_exchange *exchange)
{
  json_object *json = json_object_new_object ();
  json_object *list = json_object_new_array ();

  for (guint i = (guint)mq_standin_get_query (exchange, "after", 0);
       i < p->effects->len; i++)
    json_object_array_add (list,
                           effect_json (g_ptr_array_index (p->effects, i)));
  json_object_object_add (json, "effects", list);
  mq_standin_reply_json (exchange, 200, json);
}

static void
plain_sink (void *context, const mq_http_server_event *event)
{
  plain *p = context;
  mq_span path;

  if (event->kind != MQ_HTTP_SERVER_REQUEST)
    return;
  path = mq_http_exchange_path (event->exchange);
  if (mq_span_equal (path, MQ_SPAN ("/fault")))
    plain_set_fault (p, event->exchange);
  else if (mq_span_equal (path, MQ_SPAN ("/effects")))
    plain_list_effects (p, event->exchange);
  else
    plain_handle_call (p, event->exchange);
}

int
mq_plain_main (int argc, char **argv)
{
  plain p = { .loop = ev_default_loop (0) };
  char *listen = NULL;
  gboolean honours_keys = FALSE;
  int work_us = 1000;
  GError *error = NULL;
  const GOptionEntry entries[] = {
    { "listen", 0, 0, G_OPTION_ARG_STRING, &listen, "Address to listen on",
      "IP:PORT" },
    { "honours-keys", 0, 0, G_OPTION_ARG_NONE, &honours_keys,
      "Run calls with the same Idempotency-Key only once", NULL },
    { "work-us", 0, 0, G_OPTION_ARG_INT, &work_us, "Duration of a call",
      "US" },
    { NULL, 0, 0, 0, NULL, NULL, NULL },
  };

  if (mq_standin_parse_options (&argc, &argv, "plain", entries) != 0)
    return 2;
  p.honours_keys = honours_keys;
  p.work_us = (uint64_t)MAX (work_us, 0);
  p.effects = g_ptr_array_new_with_free_func (effect_free);
  p.keys = g_hash_table_new (g_str_hash, g_str_equal);
  p.server = mq_standin_listen (p.loop, listen, plain_sink, &p, &error);
  if (p.server == NULL)
    {
      fprintf (stderr, "mqstand: %s\n", error->message);
      g_error_free (error);
      return 1;
    }
  mq_standin_run (p.loop);
  mq_http_server_free (p.server);
  g_hash_table_destroy (p.keys);
  g_ptr_array_unref (p.effects);
  g_free (listen);
  return 0;
}
