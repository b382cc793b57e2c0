/* Polls engines for their load: see load_poller.h.

   One engine is polled at a time, in turn, for its load and less often for its
   cache events.  Only engines of models that this router owns are polled.  The
   interval between two polls keeps the traffic within the budget for any
   number of engines; with more engines, each is polled less often.  */

#include "load_poller.h"

#include "engine_report.h"
#include "fleet_node.h"

/* Average size of a poll and its response, headers included.  */
#define POLL_BYTES 700
/* Control traffic may use 8 KB/s.  Heartbeats use up to 6,800 bytes of it, and
   at most 4,500 in a small region; polls use the rest.  A router without peers
   sends no heartbeats.  */
#define BUDGET_BYTES_PER_S 1300
#define SMALL_REGION_MAX_MEMBERS 7
#define SMALL_REGION_BUDGET_BYTES_PER_S 3300
#define LONE_BUDGET_BYTES_PER_S 4096
/* Rounds over all engines from one poll for cache events to the next.  */
#define CACHE_EVENTS_ROUNDS 4
/* Shortest interval between two polls of the same engine.  */
#define MIN_ENGINE_INTERVAL_S 0.5
#define POLL_TIMEOUT_MS 1000
#define MAX_CACHE_EVENTS_BYTES ((size_t)64 * 1024)

struct mq_load_poller
{
  mq_router *router; /* Borrowed.  */
  ev_timer timer;
  mq_http_call *call;  /* In flight, or NULL.  */
  mq_config *config;   /* Owned reference, or NULL.  */
  guint next;          /* Index of the engine to poll next.  */
  guint round;         /* Completed rounds over all engines.  */
  mq_str *out_of_turn; /* Name of an engine to poll out of turn, or NULL.  */
  mq_str *engine;      /* Name of the engine being polled.  */
  mq_str *url;         /* Of ENGINE.  */
  GHashTable *after;   /* Engine name to the number of its last cache event. */
};

static double
budget_bytes_per_s (const mq_load_poller *poller)
{
  const mq_fleet *fleet = mq_fleet_node_fleet (poller->router->fleet);

  if (fleet == NULL)
    return LONE_BUDGET_BYTES_PER_S;
  return mq_fleet_live_count (fleet) <= SMALL_REGION_MAX_MEMBERS
             ? SMALL_REGION_BUDGET_BYTES_PER_S
             : BUDGET_BYTES_PER_S;
}

static double
interval_s (const mq_load_poller *poller)
{
  double by_budget = POLL_BYTES / budget_bytes_per_s (poller);
  double by_engines = MIN_ENGINE_INTERVAL_S / poller->config->engines->len;

  return MAX (by_budget, by_engines);
}

static void
engine_call (mq_load_poller *poller, const char *path, size_t limit,
             mq_http_client_sink sink)
{
  char *url = g_strconcat (mq_str_cstr (poller->url), path, NULL);
  mq_http_call_options options = { .url = mq_span_from (url),
                                   .connect_ms = POLL_TIMEOUT_MS,
                                   .timeout_ms = POLL_TIMEOUT_MS,
                                   .body_limit = limit };

  poller->call
      = mq_http_client_start (poller->router->client, &options, sink, poller);
  g_free (url);
}

static void
on_cache_events (void *context, const mq_http_client_event *event)
{
  mq_load_poller *poller = context;
  const char *name = mq_str_cstr (poller->engine);
  json_object *message;
  uint64_t after;

  if (event->kind != MQ_HTTP_CLIENT_END)
    return;
  poller->call = NULL;
  message = mq_engine_control_read (event);
  if (mq_engine_report_cache (poller->router, mq_str_span (poller->engine),
                              message, &after)
      == 0)
    g_hash_table_insert (poller->after, g_strdup (name),
                         g_memdup2 (&after, sizeof after));
  json_object_put (message);
}

static void
cache_events_poll (mq_load_poller *poller)
{
  const uint64_t *after
      = g_hash_table_lookup (poller->after, mq_str_cstr (poller->engine));
  char *path = g_strdup_printf ("/v1/cache-events?after=%" G_GUINT64_FORMAT,
                                after == NULL ? UINT64_C (0) : *after);

  engine_call (poller, path, MAX_CACHE_EVENTS_BYTES, on_cache_events);
  g_free (path);
}

static void
on_load (void *context, const mq_http_client_event *event)
{
  mq_load_poller *poller = context;
  mq_span engine = mq_str_span (poller->engine);
  json_object *message;

  if (event->kind != MQ_HTTP_CLIENT_END)
    return;
  poller->call = NULL;
  message = mq_engine_control_read (event);
  if (mq_engine_report_load (poller->router, engine, message) == 0)
    {
      if (poller->round % CACHE_EVENTS_ROUNDS == 0)
        cache_events_poll (poller);
    }
  else
    mq_engine_report_down (poller->router, engine);
  json_object_put (message);
}

static bool
engine_is_ours (const mq_load_poller *poller, const mq_engine *engine)
{
  return mq_fleet_node_owner (poller->router->fleet, MQ_OWNED_MODEL,
                              mq_str_span (engine->model))
         == NULL;
}

/* Returns the engine whose turn it is, or NULL when this router owns no model
   of any engine.  */
static const mq_engine *
engine_next (mq_load_poller *poller)
{
  const GArray *engines = poller->config->engines;

  for (guint i = 0; i < engines->len; i++)
    {
      const mq_engine *e = &g_array_index (engines, mq_engine, poller->next);

      poller->next = (poller->next + 1) % engines->len;
      if (poller->next == 0)
        poller->round++;
      if (engine_is_ours (poller, e))
        return e;
    }
  return NULL;
}

/* Returns the engine to poll out of turn, or NULL when it is not configured
   any more, and clears the request for it.  */
static const mq_engine *
engine_out_of_turn (mq_load_poller *poller)
{
  const mq_engine *e
      = mq_config_engine (poller->config, mq_str_span (poller->out_of_turn));

  mq_str_unref (poller->out_of_turn);
  poller->out_of_turn = NULL;
  return e;
}

static void
on_timer (struct ev_loop *loop, ev_timer *timer, int revents)
{
  mq_load_poller *poller = timer->data;
  const mq_engine *engine;

  (void)revents;
  /* The budget depends on the number of members.  */
  timer->repeat = interval_s (poller);
  ev_timer_again (loop, timer);
  if (poller->call != NULL)
    return;
  engine = poller->out_of_turn != NULL ? engine_out_of_turn (poller)
                                       : engine_next (poller);
  if (engine == NULL)
    return;
  mq_str_unref (poller->engine);
  mq_str_unref (poller->url);
  poller->engine = mq_str_ref (engine->name);
  poller->url = mq_str_ref (engine->url);
  engine_call (poller, "/v1/load", 0, on_load);
}

mq_load_poller *
mq_load_poller_new (mq_router *router)
{
  mq_load_poller *l = g_new0 (mq_load_poller, 1);

  l->router = router;
  l->after = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  ev_timer_init (&l->timer, on_timer, 0., 0.);
  l->timer.data = l;
  return l;
}

void
mq_load_poller_free (mq_load_poller *poller)
{
  if (poller == NULL)
    return;
  ev_timer_stop (poller->router->loop, &poller->timer);
  if (poller->call != NULL)
    mq_http_call_cancel (poller->call);
  mq_config_unref (poller->config);
  mq_str_unref (poller->engine);
  mq_str_unref (poller->url);
  mq_str_unref (poller->out_of_turn);
  g_hash_table_unref (poller->after);
  g_free (poller);
}

void
mq_load_poller_apply_config (mq_load_poller *poller, mq_config *config)
{
  mq_config_ref (config);
  mq_config_unref (poller->config);
  poller->config = config;
  poller->next = 0;
  ev_timer_stop (poller->router->loop, &poller->timer);
  if (config->engines->len == 0)
    return;
  ev_timer_set (&poller->timer, 0., interval_s (poller));
  ev_timer_start (poller->router->loop, &poller->timer);
}

void
mq_load_poller_poll_next (mq_load_poller *poller, mq_str *engine)
{
  mq_str_ref (engine);
  mq_str_unref (poller->out_of_turn);
  poller->out_of_turn = engine;
}
