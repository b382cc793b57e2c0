/* Asks engines how they are: see loads.h.

   One engine is asked at a time, in turn: for its load, and now and then for
   its cache events.  Only engines of models that this router owns are asked.
   The pause between two engines keeps the bytes within the budget, whatever
   the number of engines, so that more engines mean older figures and not more
   traffic.  */

#include "loads.h"

#include "engine_report.h"
#include "fleet_node.h"

/* What a turn costs on average, headers included.  */
#define TURN_BYTES 700
/* Of 8 KB a second for control, heartbeats may take 6,800 bytes
   (packages/decide/heartbeat_interval.c).  In a small region they take at most
   4,500, as mqbench_fleet measures.  A router without peers has none.  */
#define BUDGET_BYTES_PER_S 1300
#define SMALL_REGION 7
#define SMALL_REGION_BUDGET_BYTES_PER_S 3300
#define LONE_BUDGET_BYTES_PER_S 4096
/* Rounds over all engines between two asks for cache events.  */
#define EVENTS_ROUNDS 4
/* No engine is asked more often than this.  */
#define ENGINE_INTERVAL_S 0.5
#define TIMEOUT_MS 1000
#define EVENTS_LIMIT ((size_t)64 * 1024)

struct mq_loads
{
  mq_router *router; /* Borrowed.  */
  ev_timer timer;
  mq_http_call *call; /* In flight, or NULL.  */
  mq_config *config;  /* Owned reference, or NULL.  */
  guint next;         /* Engine to be asked next.  */
  guint round;        /* Times that all engines were gone through.  */
  mq_str *soon;       /* Engine to be asked before its turn, or NULL.  */
  mq_str *engine;     /* The one being asked.  */
  mq_str *url;        /* Its own.  */
  GHashTable *after;  /* Engine name to the number of its last cache event. */
};

static double
budget_bytes_per_s (const mq_loads *loads)
{
  const mq_fleet *fleet = mq_fleet_node_fleet (loads->router->fleet);

  if (fleet == NULL)
    return LONE_BUDGET_BYTES_PER_S;
  return mq_fleet_live_count (fleet) <= SMALL_REGION
             ? SMALL_REGION_BUDGET_BYTES_PER_S
             : BUDGET_BYTES_PER_S;
}

static double
interval_s (const mq_loads *loads)
{
  double by_budget = TURN_BYTES / budget_bytes_per_s (loads);
  double by_engines = ENGINE_INTERVAL_S / loads->config->engines->len;

  return MAX (by_budget, by_engines);
}

static void
engine_call (mq_loads *loads, const char *path, size_t limit,
             mq_http_client_sink sink)
{
  char *url = g_strconcat (mq_str_cstr (loads->url), path, NULL);
  mq_http_call_options options = { .url = mq_span_from (url),
                                   .connect_ms = TIMEOUT_MS,
                                   .timeout_ms = TIMEOUT_MS,
                                   .body_limit = limit };

  loads->call
      = mq_http_client_start (loads->router->client, &options, sink, loads);
  g_free (url);
}

static bool
answered (const mq_http_client_event *event)
{
  return event->result == MQ_HTTP_OK && event->status == 200;
}

static void
on_events (void *context, const mq_http_client_event *event)
{
  mq_loads *loads = context;
  const char *name = mq_str_cstr (loads->engine);
  uint64_t after;

  if (event->kind != MQ_HTTP_CLIENT_END)
    return;
  loads->call = NULL;
  if (answered (event)
      && mq_engine_report_cache (loads->router, mq_str_span (loads->engine),
                                 event->data, &after)
             == 0)
    g_hash_table_insert (loads->after, g_strdup (name),
                         g_memdup2 (&after, sizeof after));
}

static void
events_ask (mq_loads *loads)
{
  const uint64_t *after
      = g_hash_table_lookup (loads->after, mq_str_cstr (loads->engine));
  char *path = g_strdup_printf ("/v1/cache-events?after=%" G_GUINT64_FORMAT,
                                after == NULL ? UINT64_C (0) : *after);

  engine_call (loads, path, EVENTS_LIMIT, on_events);
  g_free (path);
}

static void
on_load (void *context, const mq_http_client_event *event)
{
  mq_loads *loads = context;
  mq_span engine = mq_str_span (loads->engine);

  if (event->kind != MQ_HTTP_CLIENT_END)
    return;
  loads->call = NULL;
  if (answered (event)
      && mq_engine_report_load (loads->router, engine, event->data) == 0)
    {
      if (loads->round % EVENTS_ROUNDS == 0)
        events_ask (loads);
    }
  else
    mq_engine_report_down (loads->router, engine);
}

static bool
is_ours (const mq_loads *loads, const mq_engine *engine)
{
  return mq_fleet_node_owner (loads->router->fleet, MQ_OWNED_MODEL,
                              mq_str_span (engine->model))
         == NULL;
}

/* The engine whose turn it is, or NULL when none is ours.  */
static const mq_engine *
engine_next (mq_loads *loads)
{
  const GArray *engines = loads->config->engines;

  for (guint i = 0; i < engines->len; i++)
    {
      const mq_engine *e = &g_array_index (engines, mq_engine, loads->next);

      loads->next = (loads->next + 1) % engines->len;
      if (loads->next == 0)
        loads->round++;
      if (is_ours (loads, e))
        return e;
    }
  return NULL;
}

/* The engine that is to be asked out of turn, or NULL.  */
static const mq_engine *
engine_soon (mq_loads *loads)
{
  const mq_engine *e
      = mq_config_engine (loads->config, mq_str_span (loads->soon));

  mq_str_unref (loads->soon);
  loads->soon = NULL;
  return e;
}

static void
on_timer (struct ev_loop *loop, ev_timer *timer, int revents)
{
  mq_loads *loads = timer->data;
  const mq_engine *engine;

  (void)revents;
  /* The region may have grown or shrunk.  */
  timer->repeat = interval_s (loads);
  ev_timer_again (loop, timer);
  if (loads->call != NULL)
    return;
  engine = loads->soon != NULL ? engine_soon (loads) : engine_next (loads);
  if (engine == NULL)
    return;
  mq_str_unref (loads->engine);
  mq_str_unref (loads->url);
  loads->engine = mq_str_ref (engine->name);
  loads->url = mq_str_ref (engine->url);
  engine_call (loads, "/v1/load", 0, on_load);
}

mq_loads *
mq_loads_new (mq_router *router)
{
  mq_loads *l = g_new0 (mq_loads, 1);

  l->router = router;
  l->after = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  ev_timer_init (&l->timer, on_timer, 0., 0.);
  l->timer.data = l;
  return l;
}

void
mq_loads_free (mq_loads *loads)
{
  if (loads == NULL)
    return;
  ev_timer_stop (loads->router->loop, &loads->timer);
  if (loads->call != NULL)
    mq_http_call_cancel (loads->call);
  mq_config_unref (loads->config);
  mq_str_unref (loads->engine);
  mq_str_unref (loads->url);
  mq_str_unref (loads->soon);
  g_hash_table_unref (loads->after);
  g_free (loads);
}

void
mq_loads_take_config (mq_loads *loads, mq_config *config)
{
  mq_config_ref (config);
  mq_config_unref (loads->config);
  loads->config = config;
  loads->next = 0;
  ev_timer_stop (loads->router->loop, &loads->timer);
  if (config->engines->len == 0)
    return;
  ev_timer_set (&loads->timer, 0., interval_s (loads));
  ev_timer_start (loads->router->loop, &loads->timer);
}

void
mq_loads_ask_soon (mq_loads *loads, mq_str *engine)
{
  mq_str_ref (engine);
  mq_str_unref (loads->soon);
  loads->soon = engine;
}
