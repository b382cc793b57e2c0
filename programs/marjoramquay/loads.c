/* Load reports of engines: see loads.h.

   One engine is asked at a time, in turn.  The pause between two asks keeps
   the bytes within the budget, whatever the number of engines, so that more
   engines mean older figures and not more traffic.  */

#include "loads.h"

#include <json-c/json.h>

#include "admission.h"

/* An ask and its answer, headers included.  */
#define POLL_BYTES 700
#define BUDGET_BYTES_PER_S 4096
/* No engine is asked more often than this.  */
#define ENGINE_INTERVAL_S 0.5
#define POLL_TIMEOUT_MS 1000

struct mq_loads
{
  mq_router *router; /* Borrowed.  */
  ev_timer timer;
  mq_http_call *call; /* In flight, or NULL.  */
  mq_config *config;  /* Owned reference, or NULL.  */
  guint next;         /* Engine to be asked next.  */
  mq_str *engine;     /* The one being asked.  */
};

static double
interval_s (const mq_loads *loads)
{
  double by_budget = (double)POLL_BYTES / BUDGET_BYTES_PER_S;
  double by_engines = ENGINE_INTERVAL_S / loads->config->engines->len;

  return MAX (by_budget, by_engines);
}

static uint64_t
member_u64 (json_object *root, const char *key)
{
  json_object *m;
  int64_t n;

  if (!json_object_object_get_ex (root, key, &m)
      || !json_object_is_type (m, json_type_int))
    return 0;
  n = json_object_get_int64 (m);
  return n < 0 ? 0 : (uint64_t)n;
}

static uint32_t
member_u32 (json_object *root, const char *key)
{
  uint64_t n = member_u64 (root, key);

  return n > UINT32_MAX ? UINT32_MAX : (uint32_t)n;
}

/* An incarnation may be a number or a word.  */
static uint64_t
member_id (json_object *root, const char *key)
{
  json_object *m;

  if (!json_object_object_get_ex (root, key, &m))
    return 0;
  if (json_object_is_type (m, json_type_string))
    return mq_span_hash (mq_span_from (json_object_get_string (m)));
  return member_u64 (root, key);
}

/* Hand ROOT, ENGINE's report, to the planner.  Returns -1 if it is none.  */
static int
report_post (mq_router *router, mq_span engine, json_object *root)
{
  mq_planner_event event = { .kind = MQ_PLANNER_LOAD };
  mq_engine_load *load = &event.u.load;
  json_object *version;

  if (!json_object_object_get_ex (root, "version", &version)
      || !json_object_is_type (version, json_type_string))
    return -1;
  load->engine = engine;
  load->version.data = json_object_get_string (version);
  load->version.size = (size_t)json_object_get_string_len (version);
  load->first = member_u32 (root, "first");
  load->end = member_u32 (root, "end");
  load->queue = member_u32 (root, "queue");
  load->batch = member_u32 (root, "batch");
  load->step_us = member_u32 (root, "step_us");
  load->kv_used = member_u64 (root, "kv_used");
  load->kv_limit = member_u64 (root, "kv_limit");
  load->age_us = member_u64 (root, "age_ms") * 1000;
  load->incarnation = member_id (root, "incarnation");
  mq_admission_post (router, &event);
  return 0;
}

static json_object *
body_parse (mq_span body)
{
  struct json_tokener *tokener = json_tokener_new ();
  json_object *root
      = json_tokener_parse_ex (tokener, body.data, (int)body.size);

  json_tokener_free (tokener);
  return root;
}

static void
down_post (mq_router *router, mq_span engine)
{
  mq_planner_event event = { .kind = MQ_PLANNER_ENGINE_DOWN };

  event.u.engine = engine;
  mq_admission_post (router, &event);
}

static void
on_report (void *context, const mq_http_client_event *event)
{
  mq_loads *loads = context;
  mq_span engine = mq_str_span (loads->engine);
  json_object *root = NULL;

  if (event->kind != MQ_HTTP_CLIENT_END)
    return;
  loads->call = NULL;
  if (event->result == MQ_HTTP_OK && event->status == 200
      && event->data.size > 0)
    root = body_parse (event->data);
  if (root == NULL || report_post (loads->router, engine, root) < 0)
    down_post (loads->router, engine);
  json_object_put (root);
}

static void
engine_ask (mq_loads *loads, const mq_engine *engine)
{
  char *url = g_strconcat (mq_str_cstr (engine->url), "/v1/load", NULL);
  mq_http_call_options options = { .url = mq_span_from (url),
                                   .connect_ms = POLL_TIMEOUT_MS,
                                   .timeout_ms = POLL_TIMEOUT_MS };

  mq_str_unref (loads->engine);
  loads->engine = mq_str_ref (engine->name);
  loads->call = mq_http_client_start (loads->router->client, &options,
                                      on_report, loads);
  g_free (url);
}

static void
on_timer (struct ev_loop *loop, ev_timer *timer, int revents)
{
  mq_loads *loads = timer->data;
  const GArray *engines = loads->config->engines;

  (void)loop;
  (void)revents;
  if (loads->call != NULL)
    return;
  loads->next = loads->next % engines->len;
  engine_ask (loads, &g_array_index (engines, mq_engine, loads->next));
  loads->next++;
}

mq_loads *
mq_loads_new (mq_router *router)
{
  mq_loads *l = g_new0 (mq_loads, 1);

  l->router = router;
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
  g_free (loads);
}

void
mq_loads_take_config (mq_loads *loads, mq_config *config)
{
  mq_config_unref (loads->config);
  loads->config = mq_config_ref (config);
  ev_timer_stop (loads->router->loop, &loads->timer);
  if (config->engines->len == 0)
    return;
  ev_timer_set (&loads->timer, 0., interval_s (loads));
  ev_timer_start (loads->router->loop, &loads->timer);
}
