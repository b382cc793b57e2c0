/* The model engine stand-in: options, HTTP calls, orders and faults.  See
   engine.h for its other modules and docs/UPSTREAMS.md for the protocol.  */

#include <standin/engine.h>
#include <standin/reference.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Bytes of prompt text that count as one token.  */
#define BYTES_PER_TOKEN 4
#define DEADLINE_CHECK_INTERVAL_S 0.01
#define MIN_LOAD_SAMPLE_INTERVAL_S 0.01
#define DEFAULT_DEADLINE_MS 60000
#define DEFAULT_MAX_TOKENS 16
#define IMPORTED_KV_LIFETIME_US ((uint64_t)5 * G_USEC_PER_SEC)
#define WEIGHT_STORE_TIMEOUT_MS 2000
#define MAX_REQUEST_BYTES 128
/* Size of the text of an exported KV cache: two hexadecimal numbers of 16
   digits and a colon.  */
#define KV_TEXT_BYTES 33
#define DEFAULT_FAULT_MS ((int64_t)24 * 3600 * 1000)

/* The factor on the time of a step for each kind of accelerator.  */
static const struct
{
  const char *kind;
  double factor;
} accelerators[] = { { "fast", 1 }, { "standard", 2 }, { "slow", 4 } };

/* A load of weights in progress, as an order requested it.  */
typedef struct weight_load
{
  engine *engine;
  uint64_t sequence; /* A load with an outdated number is ignored.  */
  mq_str *model;
  mq_str *version;
  uint32_t first;
  uint32_t end;
} weight_load;

static void
weight_load_free (weight_load *load)
{
  mq_str_unref (load->model);
  mq_str_unref (load->version);
  g_free (load);
}

/* Reply that nothing ran, with REASON.  */
static void
reply_not_run (engine *e, mq_http_exchange *exchange, unsigned status,
               const char *reason)
{
  json_object *json = json_object_new_object ();

  e->stats.refused++;
  json_object_object_add (json, "ran", json_object_new_boolean (0));
  mq_standin_add_string (json, "reason", mq_span_from (reason));
  mq_standin_reply_json (exchange, status, json);
}

/* Return true if REQUEST is short enough and can be written to lines of text
   and JSON without escapes.  */
static bool
request_is_valid (mq_span request)
{
  for (size_t i = 0; i < request.size; i++)
    if (!g_ascii_isalnum (request.data[i])
        && (request.data[i] == '\0'
            || strchr (".-_:/", request.data[i]) == NULL))
      return false;
  return request.size > 0 && request.size <= MAX_REQUEST_BYTES;
}

/* Read the prompt and the tokens sent by earlier attempts from JSON and
   compute the context after them.  A kept KV cache at the same position takes
   precedence.  */
static void
stream_read_sent (engine *e, stream *s, json_object *json)
{
  const kept_kv *kept
      = g_hash_table_lookup (e->kept, mq_str_cstr (s->request));
  json_object *sent;

  s->context = mq_reference_context (mq_standin_get_string (json, "prompt"));
  if (!json_object_object_get_ex (json, "sent", &sent)
      || !json_object_is_type (sent, json_type_array))
    return;
  s->sent_tokens = (uint32_t)json_object_array_length (sent);
  for (uint32_t i = 0; i < s->sent_tokens; i++)
    {
      json_object *t = json_object_array_get_idx (sent, i);

      s->context = mq_reference_extend (
          s->context, mq_span_from (json_object_get_string (t)));
    }
  if (kept != NULL && kept->context != 0 && kept->positions == s->sent_tokens)
    s->context = kept->context;
}

/* Return 0 if the stream S can start here, or else the HTTP status of the
   refusal, with *REASON set.  */
static unsigned
engine_refusal (const engine *e, const stream *s, const char **reason)
{
  *reason = "refusing";
  if (mq_standin_now_us () < e->fault.refuse_until_us)
    return 503;
  *reason = "loading";
  if (e->loading)
    return 503;
  *reason = "wrong layers or version";
  if (!engine_holds_stage (e, &s->plan, 0))
    return 409;
  *reason = "queue full";
  if (e->waiting.length >= (uint32_t)e->options.queue)
    return 429;
  return 0;
}

static void
engine_open_stream (engine *e, mq_http_exchange *exchange)
{
  json_object *json = mq_standin_parse_json (mq_http_exchange_body (exchange));
  mq_span request = mq_standin_get_string (json, "request");
  mq_span prompt = mq_standin_get_string (json, "prompt");
  mq_http_header type
      = { MQ_SPAN ("Content-Type"), MQ_SPAN ("application/x-ndjson") };
  stream *s = stream_new (request,
                          (uint32_t)mq_standin_get_int (json, "attempt", 0));
  const char *reason;
  unsigned status;

  if (json == NULL || !request_is_valid (request)
      || engine_read_plan (json, &s->plan) != 0)
    {
      reply_not_run (e, exchange, 400, "malformed");
      goto out;
    }
  if (g_hash_table_contains (e->streams, s->key))
    {
      reply_not_run (e, exchange, 409, "stream exists");
      goto out;
    }
  status = engine_refusal (e, s, &reason);
  if (status != 0)
    {
      reply_not_run (e, exchange, status, reason);
      goto out;
    }
  s->exchange = mq_http_exchange_ref (exchange);
  s->priority = (int)mq_standin_get_int (json, "priority", 0);
  s->deadline_us = mq_standin_now_us ()
                   + (uint64_t)mq_standin_get_int (json, "deadline_ms",
                                                   DEFAULT_DEADLINE_MS)
                         * 1000;
  s->prefix = mq_prefix_hash (prompt);
  s->prompt_tokens = (uint32_t)(prompt.size / BYTES_PER_TOKEN) + 1;
  s->max_tokens
      = (uint32_t)mq_standin_get_int (json, "max_tokens", DEFAULT_MAX_TOKENS);
  stream_read_sent (e, s, json);
  s->position = s->sent_tokens;
  mq_http_exchange_set_user (exchange, s);
  mq_http_exchange_begin (exchange, 200, &type, 1);
  engine_add_stream (e, stream_ref (s));
  if (!s->ended && s->position >= s->max_tokens)
    engine_end_stream (e, s, END_DONE, 0);
  if (!s->ended)
    engine_admit (e, s);
  engine_flush (e);
  engine_start_step (e);
out:
  stream_unref (s);
  json_object_put (json);
}

static void
engine_cancel_stream (engine *e, mq_http_exchange *exchange)
{
  json_object *json = mq_standin_parse_json (mq_http_exchange_body (exchange));
  stream *s
      = engine_find_stream (e, mq_standin_get_string (json, "request"),
                            (uint32_t)mq_standin_get_int (json, "attempt", 0));

  if (s != NULL && s->exchange != NULL)
    engine_end_stream (e, s, END_CANCELLED, 0);
  else if (s != NULL)
    engine_drop_stream (e, s, true);
  json_object_put (json);
  mq_standin_reply_empty (exchange, 204);
  engine_flush (e);
  engine_start_step (e);
}

/* Return a new object with the model, version and layers that are loaded.  */
static json_object *
holds_json (const engine *e)
{
  json_object *json = json_object_new_object ();

  mq_standin_add_string (json, "model", mq_str_span (e->model));
  mq_standin_add_string (json, "version", mq_str_span (e->version));
  mq_standin_add_int (json, "first", e->first);
  mq_standin_add_int (json, "end", e->end);
  return json;
}

static void
engine_reply_load (engine *e, mq_http_exchange *exchange)
{
  json_object *json = holds_json (e);
  uint64_t age = mq_standin_now_us () - e->load.at_us;

  mq_standin_add_string (json, "engine", mq_span_from (e->options.name));
  mq_standin_add_int (json, "queue", e->load.queue);
  mq_standin_add_int (json, "batch", e->load.batch);
  mq_standin_add_int (json, "slots", e->options.slots);
  mq_standin_add_int (json, "step_us", (int64_t)e->step_us);
  mq_standin_add_int (json, "kv_used", e->load.kv_used);
  mq_standin_add_int (json, "kv_limit", e->options.kv_limit);
  mq_standin_add_int (json, "age_ms", (int64_t)(age / 1000));
  mq_standin_add_int (json, "incarnation", (int64_t)e->incarnation);
  mq_standin_reply_json (exchange, 200, json);
}

static void
engine_reply_holds (engine *e, mq_http_exchange *exchange)
{
  json_object *json = holds_json (e);

  json_object_object_add (json, "loading",
                          json_object_new_boolean (e->loading));
  mq_standin_add_int (json, "fencing", (int64_t)e->fencing);
  mq_standin_reply_json (exchange, 200, json);
}

static void
engine_reply_cache_events (engine *e, mq_http_exchange *exchange)
{
  GArray *events
      = mq_prefix_cache_events (e->cache, mq_standin_now_us (),
                                mq_standin_get_query (exchange, "after", 0));
  json_object *json = json_object_new_object ();
  json_object *list = json_object_new_array ();
  uint64_t next = mq_standin_get_query (exchange, "after", 0);

  for (guint i = 0; i < events->len; i++)
    {
      const mq_prefix_event *v = &g_array_index (events, mq_prefix_event, i);
      json_object *item = json_object_new_object ();
      char prefix[17];

      g_snprintf (prefix, sizeof prefix, "%016" PRIx64, v->prefix);
      mq_standin_add_int (item, "n", (int64_t)v->number);
      mq_standin_add_string (item, "prefix", mq_span_from (prefix));
      mq_standin_add_string (
          item, "kind", v->stored ? MQ_SPAN ("stored") : MQ_SPAN ("evicted"));
      json_object_array_add (list, item);
      next = v->number;
    }
  json_object_object_add (json, "events", list);
  mq_standin_add_int (json, "next", (int64_t)next);
  mq_standin_reply_json (exchange, 200, json);
  g_array_unref (events);
}

/* Handle POST /v1/kv/export: reply with the KV cache of a request as text. The
   text consists of the context and of a number for the weights and the first
   layer, which must be equal at the importer.  */
static void
engine_kv_export (engine *e, mq_http_exchange *exchange)
{
  json_object *json = mq_standin_parse_json (mq_http_exchange_body (exchange));
  mq_span request = mq_standin_get_string (json, "request");
  char *name = g_strndup (request.data, request.size);
  const stream *s = engine_find_stream (
      e, request, (uint32_t)mq_standin_get_int (json, "attempt", 0));
  const kept_kv *kept = g_hash_table_lookup (e->kept, name);
  uint64_t context = s != NULL ? s->context : 0;
  uint32_t positions = 0;
  json_object *answer;
  char kv[64];

  if (s != NULL)
    positions = s->positions - MIN (s->positions, s->prompt_tokens);
  else if (kept != NULL)
    {
      context = kept->context;
      positions = kept->positions;
    }
  g_free (name);
  json_object_put (json);
  if (s == NULL && kept == NULL)
    {
      mq_standin_reply_empty (exchange, 404);
      return;
    }
  g_snprintf (kv, sizeof kv, "%016" PRIx64 ":%016" PRIx64, context,
              e->weights + e->first);
  answer = json_object_new_object ();
  mq_standin_add_string (answer, "kv", mq_span_from (kv));
  mq_standin_add_int (answer, "positions", positions);
  mq_standin_reply_json (exchange, 200, answer);
}

/* Handle POST /v1/kv/import: keep a KV cache that another engine exported.  */
static void
engine_kv_import (engine *e, mq_http_exchange *exchange)
{
  json_object *json = mq_standin_parse_json (mq_http_exchange_body (exchange));
  mq_span request = mq_standin_get_string (json, "request");
  mq_span kv = mq_standin_get_string (json, "kv");
  char *colon;
  kept_kv *k;

  if (request.size == 0 || kv.size != KV_TEXT_BYTES)
    {
      json_object_put (json);
      mq_standin_reply_empty (exchange, 400);
      return;
    }
  k = g_new0 (kept_kv, 1);
  k->context = strtoull (kv.data, &colon, 16);
  k->positions = (uint32_t)mq_standin_get_int (json, "positions", 0);
  k->until_us = mq_standin_now_us () + IMPORTED_KV_LIFETIME_US;
  if (*colon != ':' || strtoull (colon + 1, NULL, 16) != e->weights + e->first)
    {
      g_free (k);
      mq_standin_reply_empty (exchange, 409);
    }
  else
    {
      g_hash_table_replace (e->kept, g_strndup (request.data, request.size),
                            k);
      mq_standin_reply_empty (exchange, 204);
    }
  json_object_put (json);
}

/* Drop all streams, kept KV caches and prefixes, because the weights are about
   to change or the engine stops.  */
static void
engine_drop_all (engine *e)
{
  GHashTableIter iter;
  gpointer value;
  GPtrArray *all
      = g_ptr_array_new_with_free_func ((GDestroyNotify)stream_unref);

  g_hash_table_iter_init (&iter, e->streams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_ptr_array_add (all, stream_ref (value));
  for (guint i = 0; i < all->len; i++)
    {
      stream *s = g_ptr_array_index (all, i);

      if (s->exchange != NULL)
        engine_end_stream (e, s, END_EVICTED, 0);
      else
        {
          engine_queue_stage_lost (e, s, s->stage);
          engine_drop_stream (e, s, false);
        }
    }
  g_ptr_array_free (all, TRUE);
  g_hash_table_remove_all (e->kept);
  mq_prefix_cache_clear (e->cache, mq_standin_now_us ());
}

/* Make the loaded weights current, unless a later order replaced LOAD.  */
static void
weight_load_done (void *context)
{
  weight_load *load = context;
  engine *e = load->engine;

  if (load->sequence == e->load_sequence)
    {
      mq_str_unref (e->model);
      mq_str_unref (e->version);
      e->model = mq_str_ref (load->model);
      e->version = mq_str_ref (load->version);
      e->first = load->first;
      e->end = load->end;
      e->weights = mq_reference_weights (mq_str_span (e->model),
                                         mq_str_span (e->version));
      e->loading = false;
    }
  weight_load_free (load);
}

/* Schedule the end of a load when the weight store has replied how long it
   takes.  Without a reply, the engine's own rate applies.  */
static void
weight_store_sink (void *context, const mq_http_client_event *event)
{
  weight_load *load = context;
  engine *e = load->engine;
  json_object *json;
  uint64_t own_ms;
  int64_t wait_ms;

  if (event->kind != MQ_HTTP_CLIENT_END)
    return;
  json = mq_standin_parse_json (event->data);
  own_ms = (uint64_t)(load->end - load->first)
           * (uint64_t)e->options.layer_load_ms;
  wait_ms = mq_standin_get_int (json, "wait_ms", (int64_t)own_ms);
  json_object_put (json);
  mq_standin_call_after (e->loop, (uint64_t)wait_ms * 1000, weight_load_done,
                         load);
}

/* Start LOAD from the weight store if one is set, or else at this engine's own
   rate.  Takes over LOAD.  */
static void
engine_start_load (engine *e, weight_load *load)
{
  uint32_t layers = load->end - load->first;
  mq_http_call_options o = { .timeout_ms = WEIGHT_STORE_TIMEOUT_MS };
  char *url;

  e->loading = true;
  engine_drop_all (e);
  if (e->options.weights_url == NULL)
    {
      mq_standin_call_after (e->loop,
                             (uint64_t)layers
                                 * (uint64_t)e->options.layer_load_ms * 1000,
                             weight_load_done, load);
      return;
    }
  url = g_strdup_printf ("%s/v1/weights?layers=%u", e->options.weights_url,
                         layers);
  o.url = mq_span_from (url);
  mq_http_client_start (e->client, &o, weight_store_sink, load);
  g_free (url);
}

/* Read the member "want" of an order.  Returns a new load; its model is empty
   when the member is missing.  */
static weight_load *
engine_read_order (engine *e, json_object *json)
{
  json_object *want;
  weight_load *load = g_new0 (weight_load, 1);

  if (!json_object_object_get_ex (json, "want", &want))
    want = NULL;
  load->engine = e;
  load->model = mq_str_new (mq_standin_get_string (want, "model"));
  load->version = mq_str_new (mq_standin_get_string (want, "version"));
  load->first = (uint32_t)mq_standin_get_int (want, "first", 0);
  load->end = (uint32_t)mq_standin_get_int (want, "end", 0);
  return load;
}

/* Return true if E has loaded the weights and layers of LOAD already.  */
static bool
engine_has_loaded (const engine *e, const weight_load *load)
{
  return !e->loading && load->first == e->first && load->end == e->end
         && mq_span_equal (mq_str_span (load->model), mq_str_span (e->model))
         && mq_span_equal (mq_str_span (load->version),
                           mq_str_span (e->version));
}

static void
engine_handle_order (engine *e, mq_http_exchange *exchange)
{
  json_object *json = mq_standin_parse_json (mq_http_exchange_body (exchange));
  uint64_t fencing = (uint64_t)mq_standin_get_int (json, "fencing", 0);
  weight_load *load = engine_read_order (e, json);

  json_object_put (json);
  if (load->model->size == 0 || load->first >= load->end)
    {
      weight_load_free (load);
      mq_standin_reply_empty (exchange, 400);
      return;
    }
  if (e->options.fencing && fencing < e->fencing)
    {
      json = json_object_new_object ();
      mq_standin_add_int (json, "fencing", (int64_t)e->fencing);
      mq_standin_reply_json (exchange, 409, json);
      weight_load_free (load);
      return;
    }
  e->fencing = MAX (e->fencing, fencing);
  mq_standin_reply_empty (exchange, 202);
  if (engine_has_loaded (e, load))
    {
      weight_load_free (load);
      return;
    }
  load->sequence = ++e->load_sequence;
  engine_start_load (e, load);
  engine_flush (e);
}

/* Return now plus the member KEY, which is in milliseconds, or OLD when it is
   missing.  */
static uint64_t
fault_until (json_object *json, const char *key, uint64_t old)
{
  int64_t ms = mq_standin_get_int (json, key, -1);

  if (ms < 0)
    return old;
  return mq_standin_now_us () + (uint64_t)ms * 1000;
}

/* Handle POST /fault.  Each member sets the fault of its name; "clear" resets
   all faults first; "die" ends the process at once.  */
static void
engine_set_fault (engine *e, mq_http_exchange *exchange)
{
  json_object *json = mq_standin_parse_json (mq_http_exchange_body (exchange));
  engine_fault *f = &e->fault;
  uint64_t now = mq_standin_now_us ();

  if (json == NULL)
    {
      mq_standin_reply_empty (exchange, 400);
      return;
    }
  if (mq_standin_get_bool (json, "die", false))
    _exit (1);
  if (mq_standin_get_bool (json, "clear", false))
    memset (f, 0, sizeof *f);
  f->hang_until_us = fault_until (json, "hang_ms", f->hang_until_us);
  f->refuse_until_us = fault_until (json, "refuse_ms", f->refuse_until_us);
  if (json_object_object_get_ex (json, "slow_factor", NULL))
    {
      f->slow_factor = mq_standin_get_double (json, "slow_factor", 1);
      f->slow_until_us = now
                         + (uint64_t)mq_standin_get_int (json, "slow_for_ms",
                                                         DEFAULT_FAULT_MS)
                               * 1000;
    }
  if (json_object_object_get_ex (json, "link_ms", NULL))
    {
      f->link_us = (uint64_t)mq_standin_get_int (json, "link_ms", 0) * 1000;
      f->link_until_us = now
                         + (uint64_t)mq_standin_get_int (json, "link_for_ms",
                                                         DEFAULT_FAULT_MS)
                               * 1000;
    }
  f->wrong_layers = mq_standin_get_int (json, "wrong_layers", f->wrong_layers);
  f->wrong_version
      = mq_standin_get_int (json, "wrong_version", f->wrong_version);
  f->doubled = mq_standin_get_int (json, "doubled", f->doubled);
  f->late = mq_standin_get_int (json, "late", f->late);
  f->crossed = mq_standin_get_int (json, "crossed", f->crossed);
  f->cut = mq_standin_get_int (json, "cut", f->cut);
  json_object_put (json);
  mq_standin_reply_empty (exchange, 204);
}

static void
engine_reply_stats (engine *e, mq_http_exchange *exchange)
{
  json_object *json = json_object_new_object ();
  const engine_stats *t = &e->stats;

  mq_standin_add_int (json, "streams", g_hash_table_size (e->streams));
  mq_standin_add_int (json, "tokens", (int64_t)t->tokens);
  mq_standin_add_int (json, "steps", (int64_t)t->steps);
  mq_standin_add_int (json, "items", (int64_t)t->items);
  mq_standin_add_int (json, "opened", (int64_t)t->opened);
  mq_standin_add_int (json, "refused", (int64_t)t->refused);
  mq_standin_add_int (json, "lost", (int64_t)t->lost);
  mq_standin_add_int (json, "dropped", (int64_t)t->dropped);
  mq_standin_add_int (json, "posts", (int64_t)t->posts);
  mq_standin_add_int (json, "unmatched", (int64_t)t->unmatched);
  mq_standin_reply_json (exchange, 200, json);
}

static const struct
{
  mq_span path;
  void (*take) (engine *e, mq_http_exchange *exchange);
} engine_routes[] = {
  { MQ_SPAN ("/v1/activations"), engine_handle_activations },
  { MQ_SPAN ("/v1/streams"), engine_open_stream },
  { MQ_SPAN ("/v1/cancel"), engine_cancel_stream },
  { MQ_SPAN ("/v1/load"), engine_reply_load },
  { MQ_SPAN ("/v1/holds"), engine_reply_holds },
  { MQ_SPAN ("/v1/cache-events"), engine_reply_cache_events },
  { MQ_SPAN ("/v1/kv/export"), engine_kv_export },
  { MQ_SPAN ("/v1/kv/import"), engine_kv_import },
  { MQ_SPAN ("/v1/orders"), engine_handle_order },
  { MQ_SPAN ("/fault"), engine_set_fault },
  { MQ_SPAN ("/stats"), engine_reply_stats },
};

static void
engine_handle_request (engine *e, mq_http_exchange *exchange)
{
  mq_span path = mq_http_exchange_path (exchange);

  for (size_t i = 0; i < G_N_ELEMENTS (engine_routes); i++)
    if (mq_span_equal (path, engine_routes[i].path))
      {
        engine_routes[i].take (e, exchange);
        return;
      }
  mq_standin_reply_empty (exchange, 404);
}

/* The router has disconnected: drop its stream at all stages.  */
static void
engine_handle_disconnect (engine *e, mq_http_exchange *exchange)
{
  stream *s = mq_http_exchange_user (exchange);

  if (s == NULL)
    return;
  e->stats.dropped++;
  engine_queue_drop (e, s);
  engine_drop_stream (e, s, true);
  engine_flush (e);
  engine_start_step (e);
}

static void
engine_sink (void *context, const mq_http_server_event *event)
{
  engine *e = context;

  switch (event->kind)
    {
    case MQ_HTTP_SERVER_REQUEST:
      engine_handle_request (e, event->exchange);
      return;
    case MQ_HTTP_SERVER_DISCONNECTED:
      engine_handle_disconnect (e, event->exchange);
      return;
    case MQ_HTTP_SERVER_DRAINED:
    case MQ_HTTP_SERVER_BODY_REJECTED:
    case MQ_HTTP_SERVER_EVICTED:
    case MQ_HTTP_SERVER_HEAD_REJECTED:
      return;
    }
}

static void
engine_deadline_tick (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  engine_drop_expired (timer->data);
  engine_start_step (timer->data);
}

static void
engine_load_tick (struct ev_loop *loop, ev_timer *timer, int events)
{
  engine *e = timer->data;

  (void)loop;
  (void)events;
  e->load.at_us = mq_standin_now_us ();
  e->load.queue = e->waiting.length;
  e->load.batch = g_hash_table_size (e->streams) - e->waiting.length;
  e->load.kv_used = engine_kv_used (e);
}

/* Read "A-B" into the layers [A, B) of E.  Returns 0, or -1 when TEXT is
   missing or malformed or the range is empty.  */
static int
engine_read_layers (engine *e, const char *text)
{
  if (text == NULL || sscanf (text, "%u-%u", &e->first, &e->end) != 2)
    return -1;
  return e->first < e->end ? 0 : -1;
}

static double
accelerator_factor (const char *kind)
{
  for (size_t i = 0; kind != NULL && i < G_N_ELEMENTS (accelerators); i++)
    if (strcmp (kind, accelerators[i].kind) == 0)
      return accelerators[i].factor;
  return 1;
}

static void
engine_start_timers (engine *e)
{
  double lag = e->options.load_lag_ms / 1e3;

  ev_timer_init (&e->deadline_timer, engine_deadline_tick,
                 DEADLINE_CHECK_INTERVAL_S, DEADLINE_CHECK_INTERVAL_S);
  e->deadline_timer.data = e;
  ev_timer_start (e->loop, &e->deadline_timer);
  ev_timer_init (&e->load_timer, engine_load_tick, 0.,
                 MAX (lag, MIN_LOAD_SAMPLE_INTERVAL_S));
  e->load_timer.data = e;
  ev_timer_start (e->loop, &e->load_timer);
}

/* Parse the command line into E's options.  Returns 0, or -1 after printing an
   error.  */
static int
engine_parse_options (engine *e, int argc, char **argv)
{
  engine_options *o = &e->options;
  const GOptionEntry entries[] = {
    { "listen", 0, 0, G_OPTION_ARG_STRING, &o->listen, "Address to listen on",
      "IP:PORT" },
    { "name", 0, 0, G_OPTION_ARG_STRING, &o->name, "Name of the engine",
      "NAME" },
    { "model", 0, 0, G_OPTION_ARG_STRING, &o->model,
      "Name of the loaded model", "NAME" },
    { "version", 0, 0, G_OPTION_ARG_STRING, &o->version,
      "Version of the model", "V" },
    { "layers", 0, 0, G_OPTION_ARG_STRING, &o->layers,
      "Loaded layers, from A up to but excluding B", "A-B" },
    { "accelerator", 0, 0, G_OPTION_ARG_STRING, &o->accelerator,
      "fast, standard (steps take twice as long) or slow (four times as long)",
      "KIND" },
    { "slots", 0, 0, G_OPTION_ARG_INT, &o->slots,
      "Maximum number of streams in one step", "N" },
    { "queue", 0, 0, G_OPTION_ARG_INT, &o->queue,
      "Maximum number of streams that wait for room", "N" },
    { "step-us", 0, 0, G_OPTION_ARG_INT, &o->step_us,
      "Base duration of a step", "US" },
    { "stream-us", 0, 0, G_OPTION_ARG_INT, &o->stream_us,
      "Additional duration for each stream in the step", "US" },
    { "prefill-us", 0, 0, G_OPTION_ARG_INT, &o->prefill_us,
      "Additional duration for each uncached position", "US" },
    { "kv-limit", 0, 0, G_OPTION_ARG_INT, &o->kv_limit,
      "Maximum number of positions in memory", "N" },
    { "cache-limit", 0, 0, G_OPTION_ARG_INT, &o->cache_limit,
      "Maximum number of positions that prefixes take of these", "N" },
    { "load-lag-ms", 0, 0, G_OPTION_ARG_INT, &o->load_lag_ms,
      "Maximum age of load reports", "MS" },
    { "event-lag-ms", 0, 0, G_OPTION_ARG_INT, &o->event_lag_ms,
      "Delay until a cache event is visible", "MS" },
    { "event-gap-percent", 0, 0, G_OPTION_ARG_INT, &o->event_gap_percent,
      "Percentage of cache events that are never visible", "N" },
    { "weights", 0, 0, G_OPTION_ARG_STRING, &o->weights_url,
      "Weight store: address of the platform stand-in", "URL" },
    { "layer-load-ms", 0, 0, G_OPTION_ARG_INT, &o->layer_load_ms,
      "Time to load a layer without a weight store", "MS" },
    { "peer-timeout-ms", 0, 0, G_OPTION_ARG_INT, &o->peer_timeout_ms,
      "Time without a reply after which the next stage counts as lost", "MS" },
    { "link-us", 0, 0, G_OPTION_ARG_INT, &o->link_us,
      "Delay of each message to another engine", "US" },
    { "seed", 0, 0, G_OPTION_ARG_INT, &o->seed,
      "Seed of the gaps in cache events", "N" },
    { "fencing", 0, 0, G_OPTION_ARG_NONE, &o->fencing,
      "Refuse orders whose fencing token is lower than a previous one", NULL },
    { NULL, 0, 0, 0, NULL, NULL, NULL },
  };

  if (mq_standin_parse_options (&argc, &argv, "engine", entries) != 0)
    return -1;
  if (engine_read_layers (e, o->layers) != 0 || o->slots < 1)
    {
      fprintf (stderr, "mqstand: --layers must be A-B with A below B, --slots "
                       "must be at least 1\n");
      return -1;
    }
  return 0;
}

static void
engine_init (engine *e)
{
  const engine_options *o = &e->options;
  mq_prefix_options cache
      = { .limit = (uint32_t)MAX (o->cache_limit, 0),
          .event_lag_us = (uint64_t)MAX (o->event_lag_ms, 0) * 1000,
          .gap_percent = (uint32_t)MAX (o->event_gap_percent, 0),
          .seed = (uint64_t)o->seed };

  e->loop = ev_default_loop (0);
  e->model = mq_str_new (mq_span_from (o->model));
  e->version = mq_str_new (mq_span_from (o->version));
  e->weights = mq_reference_weights (mq_str_span (e->model),
                                     mq_str_span (e->version));
  e->accelerator = accelerator_factor (o->accelerator);
  e->incarnation = (uint64_t)g_get_real_time ();
  e->streams = g_hash_table_new (g_str_hash, g_str_equal);
  e->kept = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  e->outboxes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_queue_init (&e->waiting);
  e->cache = mq_prefix_cache_new (&cache);
  e->client = mq_http_client_new (e->loop, (mq_span){ NULL, 0 });
  engine_step_init (e);
}

static void
engine_finish (engine *e)
{
  ev_timer_stop (e->loop, &e->deadline_timer);
  ev_timer_stop (e->loop, &e->load_timer);
  engine_drop_all (e);
  engine_step_finish (e);
  mq_http_client_free (e->client);
  if (e->server != NULL)
    mq_http_server_free (e->server);
  mq_prefix_cache_free (e->cache);
  g_hash_table_destroy (e->streams);
  g_hash_table_destroy (e->kept);
  mq_str_unref (e->model);
  mq_str_unref (e->version);
}

int
mq_engine_main (int argc, char **argv)
{
  engine e = { .options = { .slots = 16,
                            .queue = 64,
                            .step_us = 10000,
                            .stream_us = 50,
                            .prefill_us = 20,
                            .kv_limit = 200000,
                            .cache_limit = 20000,
                            .load_lag_ms = 200,
                            .event_lag_ms = 500,
                            .event_gap_percent = 5,
                            .layer_load_ms = 100,
                            .peer_timeout_ms = 1000 } };
  GError *error = NULL;
  int status = 0;

  if (engine_parse_options (&e, argc, argv) != 0)
    return 2;
  engine_init (&e);
  e.server
      = mq_standin_listen (e.loop, e.options.listen, engine_sink, &e, &error);
  if (e.server == NULL)
    {
      fprintf (stderr, "mqstand: %s\n", error->message);
      g_error_free (error);
      status = 1;
    }
  else
    {
      engine_start_timers (&e);
      mq_standin_run (e.loop);
    }
  engine_finish (&e);
  return status;
}
