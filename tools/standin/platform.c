/* The platform stand-in: object service, watches, VM list and weight store
   over HTTP.

   Each call, including a watch, is counted once and takes one token from the
   rate limit of reads or writes.  The control calls are exempt: POST /fault
   injects faults, GET /stats replies with the counts, PUT and DELETE of
   /vms/NAME change the VM list.  */

#include <standin/common.h>
#include <standin/objects.h>
#include <standin/vm_list.h>

#include <stdio.h>
#include <string.h>

#define OBJECTS_PATH "/v1/objects"
#define WATCH_PATH "/v1/watch/"
#define VMS_PATH "/v1/vms"
#define SET_VM_PATH "/vms/"
#define MAX_WATCH_MS 60000
#define WATCH_EXPIRY_INTERVAL_S 0.02
#define DEFAULT_WEIGHTS_PER_S 100

typedef enum call_kind
{
  CALL_GET,
  CALL_PUT,
  CALL_DELETE,
  CALL_LIST,
  CALL_WATCH,
  CALL_VMS,
  CALL_WEIGHTS,
  CALL_OTHER,
  CALL_KINDS
} call_kind;

static const char *const call_names[CALL_KINDS]
    = { "get", "put", "delete", "list", "watch", "vms", "weights", "other" };

typedef struct call_counts
{
  uint64_t calls[CALL_KINDS];
} call_counts;

/* Injected faults, set by POST /fault.  A counter is the number of calls that
   still fail this way.  */
typedef struct platform_fault
{
  uint64_t outage_until_us;
  uint64_t slow_us; /* Delay of each call.  */
  uint64_t slow_until_us;
  int64_t lose_replies; /* Writes that take effect without a reply.  */
  int64_t cut;          /* Calls whose connection is cut before any effect.  */
} platform_fault;

typedef struct platform
{
  struct ev_loop *loop;
  mq_http_server *server;
  mq_objects *store;
  mq_vm_list *vms;
  mq_call_rate reads;
  mq_call_rate writes;
  GPtrArray *watches; /* of platform_watch, owned  */
  ev_timer sweep;     /* Ends expired watches.  */
  platform_fault fault;
  call_counts total;
  GHashTable *by_prefix;   /* char * -> call_counts *, both owned  */
  uint64_t limited;        /* Calls above the rate limit.  */
  uint64_t unavailable;    /* Calls during an outage.  */
  uint64_t lost;           /* Writes without a reply.  */
  double weights_per_s;    /* Layers that the weight store serves.  */
  uint64_t weights_due_us; /* When all layers requested so far are served. */
} platform;

/* A call that waits until an object has a version above AFTER.  */
typedef struct platform_watch
{
  mq_http_exchange *exchange; /* Owned reference.  */
  mq_str *name;
  uint64_t after;
  uint64_t until_us; /* Replied with 304 then.  */
} platform_watch;

/* A call delayed by the slow fault.  */
typedef struct slow_call
{
  platform *platform;
  mq_http_exchange *exchange; /* Owned reference.  */
} slow_call;

static void
watch_free (gpointer data)
{
  platform_watch *w = data;

  mq_str_unref (w->name);
  mq_http_exchange_unref (w->exchange);
  g_free (w);
}

static call_kind
call_kind_of (const mq_http_exchange *exchange)
{
  mq_span path = mq_http_exchange_path (exchange);
  mq_span method = mq_http_exchange_method (exchange);

  if (mq_span_equal (path, MQ_SPAN (OBJECTS_PATH)))
    return CALL_LIST;
  if (mq_span_equal (path, MQ_SPAN (VMS_PATH)))
    return CALL_VMS;
  if (mq_span_equal (path, MQ_SPAN ("/v1/weights")))
    return CALL_WEIGHTS;
  if (mq_span_starts_with (path, MQ_SPAN (WATCH_PATH)))
    return CALL_WATCH;
  if (!mq_span_starts_with (path, MQ_SPAN (OBJECTS_PATH "/")))
    return CALL_OTHER;
  if (mq_span_equal (method, MQ_SPAN ("GET")))
    return CALL_GET;
  if (mq_span_equal (method, MQ_SPAN ("PUT")))
    return CALL_PUT;
  if (mq_span_equal (method, MQ_SPAN ("DELETE")))
    return CALL_DELETE;
  return CALL_OTHER;
}

/* Return the object name in the path, the prefix for CALL_LIST, or an empty
   span for calls of other kinds.  */
static mq_span
call_object (const mq_http_exchange *exchange, call_kind kind)
{
  mq_span path = mq_http_exchange_path (exchange);
  size_t skip;

  switch (kind)
    {
    case CALL_LIST:
      return mq_http_exchange_query (exchange, "prefix");
    case CALL_WATCH:
      skip = sizeof WATCH_PATH - 1;
      break;
    case CALL_GET:
    case CALL_PUT:
    case CALL_DELETE:
      skip = sizeof OBJECTS_PATH;
      break;
    default:
      return (mq_span){ NULL, 0 };
    }
  return (mq_span){ path.data + skip, path.size - skip };
}

/* Count one call in the total and under the prefix of NAME up to the first
   slash.  */
static void
platform_count (platform *p, call_kind kind, mq_span name)
{
  const char *slash
      = memchr (name.data == NULL ? "" : name.data, '/', name.size);
  size_t size = slash == NULL ? name.size : (size_t)(slash - name.data) + 1;
  char *prefix = g_strndup (name.data == NULL ? "" : name.data, size);
  call_counts *c = g_hash_table_lookup (p->by_prefix, prefix);

  p->total.calls[kind]++;
  if (c == NULL)
    {
      c = g_new0 (call_counts, 1);
      g_hash_table_insert (p->by_prefix, g_strdup (prefix), c);
    }
  c->calls[kind]++;
  g_free (prefix);
}

/* Return an ETag header for VERSION.  Its value is borrowed from TEXT.  */
static mq_http_header
etag_header (uint64_t version, char text[32])
{
  int n = snprintf (text, 32, "\"%" PRIu64 "\"", version);

  return (mq_http_header){ MQ_SPAN ("ETag"), { text, (size_t)n } };
}

static void
reply_object (mq_http_exchange *exchange, const mq_object *o)
{
  char text[32];
  mq_http_header etag = etag_header (o->version, text);

  mq_http_exchange_reply (exchange, 200, &etag, 1, mq_str_span (o->value));
}

static void
reply_error (mq_http_exchange *exchange, unsigned status, const char *reason)
{
  json_object *json = json_object_new_object ();

  mq_standin_add_string (json, "error", mq_span_from (reason));
  mq_standin_reply_json (exchange, status, json);
}

/* Reply with STATUS and Retry-After.  */
static void
reply_retry_later (mq_http_exchange *exchange, unsigned status)
{
  mq_http_header after = { MQ_SPAN ("Retry-After"), MQ_SPAN ("1") };

  mq_http_exchange_reply (exchange, status, &after, 1, (mq_span){ NULL, 0 });
}

/* Read If-Match and If-None-Match into C.  Returns false when they are
   malformed or contradict each other.  */
static bool
read_condition (const mq_http_exchange *exchange, mq_object_condition *c)
{
  mq_span match = mq_http_exchange_header (exchange, "If-Match");
  mq_span none = mq_http_exchange_header (exchange, "If-None-Match");

  *c = (mq_object_condition){ MQ_OBJECT_ALWAYS, 0 };
  if (none.data != NULL)
    {
      c->kind = MQ_OBJECT_IF_ABSENT;
      return match.data == NULL && mq_span_equal (none, MQ_SPAN ("*"));
    }
  if (match.data == NULL)
    return true;
  c->kind = MQ_OBJECT_IF_VERSION;
  if (match.size < 3 || match.data[0] != '"'
      || match.data[match.size - 1] != '"')
    return false;
  match.data++;
  match.size -= 2;
  return mq_span_to_u64 (match, &c->version) == 0;
}

/* Reply to a write of NAME with RESULT.  OK_STATUS is the status of a write
   that took effect.  */
static void
reply_write (platform *p, mq_http_exchange *exchange, mq_span name,
             mq_object_result result, unsigned ok_status)
{
  const mq_object *o = mq_objects_get (p->store, name);
  char text[32];
  mq_http_header etag = etag_header (o == NULL ? 0 : o->version, text);
  size_t n = o == NULL ? 0 : 1;

  switch (result)
    {
    case MQ_OBJECT_OK:
      mq_http_exchange_reply (exchange, ok_status, &etag, n,
                              (mq_span){ NULL, 0 });
      return;
    case MQ_OBJECT_MISSING:
      reply_error (exchange, 404, "no such object");
      return;
    case MQ_OBJECT_CONFLICT:
      mq_http_exchange_reply (exchange, 412, &etag, n, (mq_span){ NULL, 0 });
      return;
    case MQ_OBJECT_TOO_LARGE:
      reply_error (exchange, 413, "value above 1 MiB");
      return;
    case MQ_OBJECT_BAD_NAME:
      reply_error (exchange, 400, "bad name");
      return;
    }
}

/* Reply to the watches of NAME whose version has been reached.  */
static void
platform_notify_watches (platform *p, mq_span name)
{
  const mq_object *o = mq_objects_get (p->store, name);

  for (guint i = p->watches->len; o != NULL && i-- > 0;)
    {
      platform_watch *w = g_ptr_array_index (p->watches, i);

      if (w->after >= o->version
          || !mq_span_equal (mq_str_span (w->name), name))
        continue;
      reply_object (w->exchange, o);
      g_ptr_array_remove_index_fast (p->watches, i);
    }
}

static void
platform_write (platform *p, mq_http_exchange *exchange, call_kind kind,
                mq_span name)
{
  mq_object_condition condition;
  mq_object_result result;

  if (!read_condition (exchange, &condition))
    {
      reply_error (exchange, 400, "bad condition");
      return;
    }
  if (kind == CALL_PUT)
    result = mq_objects_put (p->store, name, mq_http_exchange_body (exchange),
                             condition);
  else
    result = mq_objects_delete (p->store, name, condition);
  if (p->fault.lose_replies > 0)
    {
      p->fault.lose_replies--;
      p->lost++;
      mq_http_exchange_abort (exchange);
    }
  else
    reply_write (p, exchange, name, result, kind == CALL_PUT ? 200 : 204);
  if (result == MQ_OBJECT_OK)
    platform_notify_watches (p, name);
}

static void
platform_get (platform *p, mq_http_exchange *exchange, mq_span name)
{
  const mq_object *o = mq_objects_get (p->store, name);

  if (o == NULL)
    reply_error (exchange, 404, "no such object");
  else
    reply_object (exchange, o);
}

static void
platform_list (platform *p, mq_http_exchange *exchange, mq_span prefix)
{
  GPtrArray *list = mq_objects_list (p->store, prefix);
  json_object *objects = json_object_new_array ();
  json_object *json = json_object_new_object ();

  for (guint i = 0; i < list->len; i++)
    {
      const mq_object *o = g_ptr_array_index (list, i);
      json_object *item = json_object_new_object ();

      mq_standin_add_string (item, "name", mq_str_span (o->name));
      mq_standin_add_int (item, "version", (int64_t)o->version);
      json_object_array_add (objects, item);
    }
  json_object_object_add (json, "objects", objects);
  mq_standin_reply_json (exchange, 200, json);
  g_ptr_array_free (list, TRUE);
}

static void
platform_watch_start (platform *p, mq_http_exchange *exchange, mq_span name)
{
  const mq_object *o = mq_objects_get (p->store, name);
  uint64_t after = mq_standin_get_query (exchange, "after", 0);
  uint64_t wait_ms = mq_standin_get_query (exchange, "wait_ms", 0);
  platform_watch *w;

  if (o != NULL && o->version > after)
    {
      reply_object (exchange, o);
      return;
    }
  if (wait_ms == 0)
    {
      mq_standin_reply_empty (exchange, 304);
      return;
    }
  w = g_new0 (platform_watch, 1);
  w->exchange = mq_http_exchange_ref (exchange);
  w->name = mq_str_new (name);
  w->after = after;
  w->until_us = mq_standin_now_us () + MIN (wait_ms, MAX_WATCH_MS) * 1000;
  g_ptr_array_add (p->watches, w);
}

static void
platform_reply_vms (platform *p, mq_http_exchange *exchange)
{
  const GArray *vms = mq_vm_list_visible (p->vms, mq_standin_now_us ());
  json_object *list = json_object_new_array ();
  json_object *json = json_object_new_object ();

  for (guint i = 0; i < vms->len; i++)
    {
      const mq_vm *vm = &g_array_index (vms, mq_vm, i);
      json_object *item = json_object_new_object ();

      mq_standin_add_string (item, "name", mq_str_span (vm->name));
      mq_standin_add_string (item, "address", mq_str_span (vm->address));
      mq_standin_add_string (item, "state",
                             vm->state == MQ_VM_LIVE ? MQ_SPAN ("live")
                                                     : MQ_SPAN ("leaving"));
      json_object_array_add (list, item);
    }
  json_object_object_add (json, "vms", list);
  mq_standin_reply_json (exchange, 200, json);
}

/* Reply with the time until the weight store, which serves one layer after
   another at its rate, will have served the requested layers.  */
static void
platform_reply_weights (platform *p, mq_http_exchange *exchange)
{
  uint64_t layers = mq_standin_get_query (exchange, "layers", 1);
  uint64_t now = mq_standin_now_us ();
  json_object *json = json_object_new_object ();

  p->weights_due_us = MAX (p->weights_due_us, now)
                      + (uint64_t)((double)layers / p->weights_per_s * 1e6);
  mq_standin_add_int (json, "wait_ms",
                      (int64_t)((p->weights_due_us - now) / 1000));
  mq_standin_reply_json (exchange, 200, json);
}

static void
platform_serve (platform *p, mq_http_exchange *exchange)
{
  call_kind kind = call_kind_of (exchange);
  mq_span name = call_object (exchange, kind);

  switch (kind)
    {
    case CALL_GET:
      platform_get (p, exchange, name);
      return;
    case CALL_PUT:
    case CALL_DELETE:
      platform_write (p, exchange, kind, name);
      return;
    case CALL_LIST:
      platform_list (p, exchange, name);
      return;
    case CALL_WATCH:
      platform_watch_start (p, exchange, name);
      return;
    case CALL_VMS:
      platform_reply_vms (p, exchange);
      return;
    case CALL_WEIGHTS:
      platform_reply_weights (p, exchange);
      return;
    default:
      reply_error (exchange, 404, "no such call");
      return;
    }
}

static void
slow_call_run (void *context)
{
  slow_call *s = context;

  platform_serve (s->platform, s->exchange);
  mq_http_exchange_unref (s->exchange);
  g_free (s);
}

/* Take a token for a call of KIND.  Returns false when none is left.  */
static bool
platform_rate_take (platform *p, call_kind kind, uint64_t now)
{
  if (kind == CALL_PUT || kind == CALL_DELETE)
    return mq_call_rate_take (&p->writes, now);
  return mq_call_rate_take (&p->reads, now);
}

/* Handle a call of the platform's interface: count it, apply the rate limits
   and faults, and serve it.  */
static void
platform_handle_call (platform *p, mq_http_exchange *exchange)
{
  uint64_t now = mq_standin_now_us ();
  call_kind kind = call_kind_of (exchange);
  slow_call *s;

  platform_count (p, kind, call_object (exchange, kind));
  if (p->fault.cut > 0)
    {
      p->fault.cut--;
      mq_http_exchange_abort (exchange);
      return;
    }
  if (now < p->fault.outage_until_us)
    {
      p->unavailable++;
      reply_retry_later (exchange, 503);
      return;
    }
  if (!platform_rate_take (p, kind, now))
    {
      p->limited++;
      reply_retry_later (exchange, 429);
      return;
    }
  if (now >= p->fault.slow_until_us)
    {
      platform_serve (p, exchange);
      return;
    }
  s = g_new0 (slow_call, 1);
  s->platform = p;
  s->exchange = mq_http_exchange_ref (exchange);
  mq_standin_call_after (p->loop, p->fault.slow_us, slow_call_run, s);
}

/* Reply 503 to all watches at the start of an outage.  */
static void
platform_fail_watches (platform *p)
{
  for (guint i = 0; i < p->watches->len; i++)
    {
      platform_watch *w = g_ptr_array_index (p->watches, i);

      reply_retry_later (w->exchange, 503);
    }
  g_ptr_array_set_size (p->watches, 0);
}

/* Handle POST /fault.  Each member sets the fault of its name; "clear" resets
   all faults first.  */
static void
platform_set_fault (platform *p, mq_http_exchange *exchange)
{
  json_object *json = mq_standin_parse_json (mq_http_exchange_body (exchange));
  platform_fault *f = &p->fault;
  uint64_t now = mq_standin_now_us ();
  int64_t outage_ms;
  int64_t slow_ms;

  if (json == NULL)
    {
      reply_error (exchange, 400, "no JSON object");
      return;
    }
  if (mq_standin_get_bool (json, "clear", false))
    memset (f, 0, sizeof *f);
  outage_ms = mq_standin_get_int (json, "outage_ms", -1);
  if (outage_ms >= 0)
    f->outage_until_us = now + (uint64_t)outage_ms * 1000;
  if (outage_ms > 0)
    platform_fail_watches (p);
  slow_ms = mq_standin_get_int (json, "slow_ms", -1);
  if (slow_ms >= 0)
    {
      f->slow_us = (uint64_t)slow_ms * 1000;
      f->slow_until_us = now
                         + (uint64_t)mq_standin_get_int (
                               json, "slow_for_ms", MQ_STANDIN_DEFAULT_SLOW_MS)
                               * 1000;
    }
  f->lose_replies = mq_standin_get_int (json, "lose_replies", f->lose_replies);
  f->cut = mq_standin_get_int (json, "cut", f->cut);
  json_object_put (json);
  mq_standin_reply_empty (exchange, 204);
}

static json_object *
counts_json (const call_counts *c)
{
  json_object *json = json_object_new_object ();

  for (int i = 0; i < CALL_KINDS; i++)
    if (c->calls[i] > 0)
      mq_standin_add_int (json, call_names[i], (int64_t)c->calls[i]);
  return json;
}

static void
platform_reply_stats (platform *p, mq_http_exchange *exchange)
{
  json_object *json = json_object_new_object ();
  json_object *prefixes = json_object_new_object ();
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  json_object_object_add (json, "calls", counts_json (&p->total));
  g_hash_table_iter_init (&iter, p->by_prefix);
  while (g_hash_table_iter_next (&iter, &key, &value))
    json_object_object_add (prefixes, key, counts_json (value));
  json_object_object_add (json, "prefixes", prefixes);
  mq_standin_add_int (json, "limited", (int64_t)p->limited);
  mq_standin_add_int (json, "unavailable", (int64_t)p->unavailable);
  mq_standin_add_int (json, "lost_replies", (int64_t)p->lost);
  mq_standin_add_int (json, "watching", p->watches->len);
  mq_standin_add_int (json, "version", (int64_t)mq_objects_version (p->store));
  mq_standin_reply_json (exchange, 200, json);
}

/* Handle PUT or DELETE /vms/NAME, which change the VM list.  */
static void
platform_set_vm (platform *p, mq_http_exchange *exchange)
{
  mq_span path = mq_http_exchange_path (exchange);
  size_t skip = sizeof SET_VM_PATH - 1;
  mq_span name = { path.data + skip, path.size - skip };
  json_object *json = mq_standin_parse_json (mq_http_exchange_body (exchange));
  mq_vm_state state = MQ_VM_LIVE;

  if (mq_span_equal (mq_http_exchange_method (exchange), MQ_SPAN ("DELETE")))
    state = MQ_VM_REMOVED;
  else if (mq_span_equal (mq_standin_get_string (json, "state"),
                          MQ_SPAN ("leaving")))
    state = MQ_VM_LEAVING;
  mq_vm_list_set (p->vms, mq_standin_now_us (), name,
                  mq_standin_get_string (json, "address"), state);
  json_object_put (json);
  mq_standin_reply_empty (exchange, 204);
}

static void
platform_handle_request (platform *p, mq_http_exchange *exchange)
{
  mq_span path = mq_http_exchange_path (exchange);

  if (mq_span_equal (path, MQ_SPAN ("/fault")))
    platform_set_fault (p, exchange);
  else if (mq_span_equal (path, MQ_SPAN ("/stats")))
    platform_reply_stats (p, exchange);
  else if (mq_span_starts_with (path, MQ_SPAN (SET_VM_PATH)))
    platform_set_vm (p, exchange);
  else
    platform_handle_call (p, exchange);
}

/* Remove the watches of EXCHANGE, whose client has disconnected.  */
static void
platform_remove_watches (platform *p, const mq_http_exchange *exchange)
{
  for (guint i = p->watches->len; i-- > 0;)
    {
      platform_watch *w = g_ptr_array_index (p->watches, i);

      if (w->exchange == exchange)
        g_ptr_array_remove_index_fast (p->watches, i);
    }
}

static void
platform_sink (void *context, const mq_http_server_event *event)
{
  platform *p = context;

  switch (event->kind)
    {
    case MQ_HTTP_SERVER_REQUEST:
      platform_handle_request (p, event->exchange);
      return;
    case MQ_HTTP_SERVER_DISCONNECTED:
      platform_remove_watches (p, event->exchange);
      return;
    case MQ_HTTP_SERVER_DRAINED:
    case MQ_HTTP_SERVER_BODY_REJECTED:
    case MQ_HTTP_SERVER_EVICTED:
    case MQ_HTTP_SERVER_HEAD_REJECTED:
      return;
    }
}

static void
platform_expire_watches (struct ev_loop *loop, ev_timer *timer, int events)
{
  platform *p = timer->data;
  uint64_t now = mq_standin_now_us ();

  (void)loop;
  (void)events;
  for (guint i = p->watches->len; i-- > 0;)
    {
      platform_watch *w = g_ptr_array_index (p->watches, i);

      if (w->until_us > now)
        continue;
      mq_standin_reply_empty (w->exchange, 304);
      g_ptr_array_remove_index_fast (p->watches, i);
    }
}

int
mq_platform_main (int argc, char **argv)
{
  platform p = { .loop = ev_default_loop (0) };
  char *listen = NULL;
  int reads = 2000;
  int writes = 400;
  int lag_ms = 500;
  double weights = DEFAULT_WEIGHTS_PER_S;
  GError *error = NULL;
  const GOptionEntry entries[] = {
    { "listen", 0, 0, G_OPTION_ARG_STRING, &listen, "Where to listen",
      "IP:PORT" },
    { "reads", 0, 0, G_OPTION_ARG_INT, &reads,
      "Reads and watches a second; 0: no limit", "N" },
    { "writes", 0, 0, G_OPTION_ARG_INT, &writes,
      "Writes a second; 0: no limit", "N" },
    { "vm-lag-ms", 0, 0, G_OPTION_ARG_INT, &lag_ms, "How far the VM list lags",
      "MS" },
    { "weights", 0, 0, G_OPTION_ARG_DOUBLE, &weights,
      "Layers a second that the weight store gives out", "N" },
    { NULL, 0, 0, 0, NULL, NULL, NULL },
  };

  if (mq_standin_parse_options (&argc, &argv, "platform", entries) != 0)
    return 2;
  if (weights <= 0)
    weights = DEFAULT_WEIGHTS_PER_S;
  p.store = mq_objects_new ();
  p.vms = mq_vm_list_new ((uint64_t)lag_ms * 1000);
  mq_call_rate_init (&p.reads, reads, mq_standin_now_us ());
  mq_call_rate_init (&p.writes, writes, mq_standin_now_us ());
  p.weights_per_s = weights;
  p.watches = g_ptr_array_new_with_free_func (watch_free);
  p.by_prefix
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  p.server = mq_standin_listen (p.loop, listen, platform_sink, &p, &error);
  if (p.server == NULL)
    {
      fprintf (stderr, "mqstand: %s\n", error->message);
      g_error_free (error);
      return 1;
    }
  ev_timer_init (&p.sweep, platform_expire_watches, WATCH_EXPIRY_INTERVAL_S,
                 WATCH_EXPIRY_INTERVAL_S);
  p.sweep.data = &p;
  ev_timer_start (p.loop, &p.sweep);
  mq_standin_run (p.loop);
  g_ptr_array_unref (p.watches);
  mq_http_server_free (p.server);
  g_hash_table_destroy (p.by_prefix);
  mq_vm_list_free (p.vms);
  mq_objects_free (p.store);
  g_free (listen);
  return 0;
}
