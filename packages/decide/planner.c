/* The planner: see mq/planner.h.  It holds the attempts in flight, hands
   events to the parts, and turns what they decide into actions.  */

#include <mq/internal/engine_table.h>
#include <mq/internal/placement.h>
#include <mq/planner.h>

#include <math.h>
#include <string.h>

/* The most load an engine is given; 1 keeps its batches just full.  */
#define LOAD_LIMIT 1.0
/* How long engines are left alone after a fault.  */
#define BACK_OFF_US 1000000
/* When a refused caller may come back.  */
#define RETRY_AFTER_US 250000

typedef struct attempt_key
{
  mq_request_id id;
  uint32_t attempt;
} attempt_key;

/* One attempt in flight.  */
typedef struct attempt
{
  attempt_key key;
  double demand;            /* Its steps for each microsecond.  */
  mq_planner_action answer; /* The ADMIT, kept for a repeated ask.  */
  uint32_t n_stages;
  mq_engine_state *stages[MQ_PLAN_STAGES]; /* Borrowed from the table.  */
} attempt;

struct mq_planner
{
  mq_str *failure_domain;
  uint64_t router;
  mq_config *config; /* NULL before the first CONFIG event.  */
  mq_engine_table table;
  GHashTable *attempts; /* attempt_key to attempt, owned by the value */
  GHashTable *models;   /* mq_span to GPtrArray of mq_engine_state  */
};

static guint
attempt_key_hash (gconstpointer data)
{
  const attempt_key *k = data;
  uint64_t h = mq_hash_mix (k->id.router, k->id.sequence);

  return (guint)mq_hash_mix (h, k->attempt);
}

static gboolean
attempt_key_equal (gconstpointer a, gconstpointer b)
{
  const attempt_key *x = a;
  const attempt_key *y = b;

  return x->id.router == y->id.router && x->id.sequence == y->id.sequence
         && x->attempt == y->attempt;
}

static void
action_clear (gpointer data)
{
  mq_planner_action *a = data;

  switch (a->kind)
    {
    case MQ_PLANNER_ADMIT:
      mq_plan_finish (&a->u.plan);
      break;
    case MQ_PLANNER_REFUSE:
      break;
    case MQ_PLANNER_REPAIR:
      mq_str_unref (a->u.repair.engine);
      mq_str_unref (a->u.repair.model);
      mq_str_unref (a->u.repair.version);
      break;
    }
}

static void
attempt_free (gpointer data)
{
  attempt *a = data;

  for (uint32_t i = 0; i < a->n_stages; i++)
    mq_engine_state_drop (a->stages[i], a->demand);
  action_clear (&a->answer);
  g_free (a);
}

static guint
span_key_hash (gconstpointer key)
{
  return (guint)mq_span_hash (*(const mq_span *)key);
}

static gboolean
span_key_equal (gconstpointer a, gconstpointer b)
{
  return mq_span_equal (*(const mq_span *)a, *(const mq_span *)b);
}

static gint
state_compare_first (gconstpointer a, gconstpointer b)
{
  const mq_engine_state *x = *(mq_engine_state *const *)a;
  const mq_engine_state *y = *(mq_engine_state *const *)b;

  if (x->first != y->first)
    return x->first < y->first ? -1 : 1;
  return mq_span_compare (mq_str_span (x->name), mq_str_span (y->name));
}

static void
planner_index_models (mq_planner *p)
{
  g_hash_table_remove_all (p->models);
  for (guint i = 0; i < p->config->models->len; i++)
    {
      const mq_model *m = &g_array_index (p->config->models, mq_model, i);
      GPtrArray *engines = g_ptr_array_new ();
      mq_span *key = g_new (mq_span, 1);

      *key = mq_str_span (m->name);
      for (guint j = 0; j < p->table.states->len; j++)
        {
          mq_engine_state *e = p->table.states->pdata[j];

          if (mq_span_equal (mq_str_span (e->model), *key))
            g_ptr_array_add (engines, e);
        }
      g_ptr_array_sort (engines, state_compare_first);
      g_hash_table_insert (p->models, key, engines);
    }
}

static void
planner_configure (mq_planner *p, mq_config *config)
{
  mq_config *old = p->config;

  p->config = mq_config_ref (config);
  mq_engine_table_configure (&p->table, config,
                             mq_str_span (p->failure_domain));
  planner_index_models (p);
  mq_config_unref (old);
}

static void
planner_refuse (const mq_plan_ask *ask, mq_reason reason,
                uint64_t retry_after_us, GArray *actions)
{
  mq_planner_action a
      = { .kind = MQ_PLANNER_REFUSE, .id = ask->id, .attempt = ask->attempt };

  a.figures.deadline_us = ask->deadline_us;
  a.u.refuse.reason = reason;
  a.u.refuse.retry_after_us = retry_after_us;
  g_array_append_val (actions, a);
}

/* Append the same admission once more, as a copy.  */
static void
planner_answer (const attempt *at, GArray *actions)
{
  mq_planner_action a = at->answer;

  mq_plan_copy (&a.u.plan, &at->answer.u.plan);
  g_array_append_val (actions, a);
}

static void
planner_admit (mq_planner *p, const mq_plan_ask *ask, const mq_model *model,
               const mq_placement *placement, GArray *actions)
{
  attempt *at = g_new0 (attempt, 1);
  mq_plan *plan = &at->answer.u.plan;

  at->key = (attempt_key){ ask->id, ask->attempt };
  at->demand = 1.0 / placement->cycle_us;
  at->answer.kind = MQ_PLANNER_ADMIT;
  at->answer.id = ask->id;
  at->answer.attempt = ask->attempt;
  at->answer.figures.deadline_us = ask->deadline_us;
  mq_plan_init (plan);
  plan->model = mq_str_ref (model->name);
  plan->version = mq_str_ref (model->version);
  plan->layers = model->layers;
  at->n_stages = placement->n_stages;
  for (uint32_t i = 0; i < placement->n_stages; i++)
    {
      mq_engine_state *e = placement->stages[i];

      at->stages[i] = e;
      mq_plan_add (plan, e->name, e->url, e->first, e->end);
      mq_engine_state_hold (e, at->demand);
    }
  g_hash_table_insert (p->attempts, &at->key, at);
  planner_answer (at, actions);
}

static void
planner_ask (mq_planner *p, const mq_plan_ask *ask, uint64_t now_us,
             GArray *actions)
{
  attempt_key key = { ask->id, ask->attempt };
  const attempt *known = g_hash_table_lookup (p->attempts, &key);
  const mq_service *service;
  const mq_model *model;
  mq_placement_query query;
  mq_placement placement;

  if (known != NULL)
    {
      planner_answer (known, actions);
      return;
    }
  if (p->config == NULL)
    {
      planner_refuse (ask, MQ_REASON_NO_CONFIGURATION, RETRY_AFTER_US,
                      actions);
      return;
    }
  service = mq_config_service (p->config, ask->service);
  if (service == NULL || service->kind != MQ_SERVICE_MODEL)
    {
      planner_refuse (ask, MQ_REASON_UNKNOWN_SERVICE, 0, actions);
      return;
    }
  model = mq_config_model (p->config, mq_str_span (service->u.model.model));
  if (model == NULL)
    {
      planner_refuse (ask, MQ_REASON_NO_PIPELINE, RETRY_AFTER_US, actions);
      return;
    }
  query = (mq_placement_query){
    .layers = model->layers,
    .version = mq_str_span (model->version),
    .now_us = now_us,
    .prompt_tokens = ask->prompt_tokens,
    .tokens = ask->max_tokens,
    .limit = INFINITY,
    .avoid = ask->avoid,
    .n_avoid = ask->n_avoid,
    .spread = mq_hash_mix (ask->id.router, ask->id.sequence),
  };
  {
    mq_span name = mq_str_span (model->name);

    query.engines = g_hash_table_lookup (p->models, &name);
  }
  if (mq_placement_find (&placement, &p->table, &query) != 0)
    {
      planner_refuse (ask, MQ_REASON_NO_PIPELINE, RETRY_AFTER_US, actions);
      return;
    }
  if (p->config->policy.routing != MQ_ROUTING_ROUND_ROBIN)
    {
      query.demand = 1.0 / placement.cycle_us;
      query.limit = LOAD_LIMIT;
      if (mq_placement_find (&placement, &p->table, &query) != 0)
        {
          planner_refuse (ask, MQ_REASON_OVERLOADED, RETRY_AFTER_US, actions);
          return;
        }
    }
  planner_admit (p, ask, model, &placement, actions);
}

static void
planner_release (mq_planner *p, const mq_plan_release *release,
                 uint64_t now_us)
{
  attempt_key key = { release->id, release->attempt };
  attempt *at = g_hash_table_lookup (p->attempts, &key);

  if (at == NULL)
    return;
  switch (release->end)
    {
    case MQ_ATTEMPT_DONE:
    case MQ_ATTEMPT_CANCELLED:
      break;
    case MQ_ATTEMPT_STAGE_DIED:
    case MQ_ATTEMPT_STAGE_STALLED:
    case MQ_ATTEMPT_STAGE_REFUSED:
    case MQ_ATTEMPT_STAGE_WRONG:
      if (release->stage < at->n_stages)
        at->stages[release->stage]->back_off_until_us = now_us + BACK_OFF_US;
      break;
    }
  g_hash_table_remove (p->attempts, &key);
}

static gboolean
attempt_is_of_router (gpointer key, gpointer value, gpointer data)
{
  const attempt_key *k = key;
  const uint64_t *router = data;

  (void)value;
  return k->id.router == *router;
}

mq_planner *
mq_planner_new (mq_span failure_domain, uint64_t router)
{
  mq_planner *p = g_new0 (mq_planner, 1);

  p->failure_domain = mq_str_new (failure_domain);
  p->router = router;
  mq_engine_table_init (&p->table);
  p->attempts = g_hash_table_new_full (attempt_key_hash, attempt_key_equal,
                                       NULL, attempt_free);
  p->models = g_hash_table_new_full (span_key_hash, span_key_equal, g_free,
                                     (GDestroyNotify)g_ptr_array_unref);
  return p;
}

void
mq_planner_free (mq_planner *planner)
{
  if (planner == NULL)
    return;
  g_hash_table_unref (planner->attempts);
  g_hash_table_unref (planner->models);
  mq_engine_table_finish (&planner->table);
  mq_config_unref (planner->config);
  mq_str_unref (planner->failure_domain);
  g_free (planner);
}

void
mq_planner_handle (mq_planner *planner, const mq_planner_event *event,
                   GArray *actions)
{
  mq_engine_state *e;

  switch (event->kind)
    {
    case MQ_PLANNER_CONFIG:
      planner_configure (planner, event->u.config);
      break;
    case MQ_PLANNER_ASK:
      planner_ask (planner, &event->u.ask, event->now_us, actions);
      break;
    case MQ_PLANNER_PROGRESS:
      break;
    case MQ_PLANNER_RELEASE:
      planner_release (planner, &event->u.release, event->now_us);
      break;
    case MQ_PLANNER_LOAD:
      e = mq_engine_table_find (&planner->table, event->u.load.engine);
      if (e != NULL)
        e->down = false;
      break;
    case MQ_PLANNER_ENGINE_DOWN:
      e = mq_engine_table_find (&planner->table, event->u.engine);
      if (e != NULL)
        e->down = true;
      break;
    case MQ_PLANNER_LEAVING:
      e = mq_engine_table_find (&planner->table, event->u.engine);
      if (e != NULL)
        e->leaving = true;
      break;
    case MQ_PLANNER_CACHE:
      break;
    case MQ_PLANNER_ROUTER_GONE:
      g_hash_table_foreach_remove (planner->attempts, attempt_is_of_router,
                                   (gpointer)&event->u.router);
      break;
    case MQ_PLANNER_TICK:
      break;
    }
}

GArray *
mq_planner_actions_new (void)
{
  GArray *a = g_array_new (FALSE, TRUE, sizeof (mq_planner_action));

  g_array_set_clear_func (a, action_clear);
  return a;
}
