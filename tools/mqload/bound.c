/* The bound: see bound.h.  */

#include "bound.h"

#include <standin/prefix_cache.h>

#include <string.h>

/* Positions of a prompt that its prefix saves when it is cached.  */
#define PREFIX_POSITIONS (MQ_PREFIX_BYTES / 4)
/* The step of the fluid server.  */
#define FLUID_US ((uint64_t)10 * 1000)

/* An engine as the bound sees it.  */
typedef struct bound_engine
{
  double step_us; /* UINT64_MAX's double where it does no work.  */
  uint32_t slots;
} bound_engine;

/* A request in the fluid server.  */
typedef struct fluid_request
{
  uint64_t at_us;
  uint64_t deadline_us;
  double left;
} fluid_request;

static gint
engine_compare (gconstpointer a, gconstpointer b)
{
  const bound_engine *x = a;
  const bound_engine *y = b;

  return (x->step_us > y->step_us) - (x->step_us < y->step_us);
}

/* The share of its speed that NAME still has at AT_US.  */
static double
engine_speed (const load_scenario *scenario, const char *name, uint64_t at_us)
{
  double speed = 1;

  for (guint i = 0; i < scenario->faults->len; i++)
    {
      const load_fault *f = &g_array_index (scenario->faults, load_fault, i);

      if (at_us >= f->at_us
          && (f->lasts_us == UINT64_MAX || at_us < f->at_us + f->lasts_us)
          && g_pattern_match_simple (mq_str_cstr (f->target), name))
        speed *= f->slowdown;
    }
  return speed;
}

/* The time of a full step of the fastest engines of GROUP.  */
static double
group_full_step_us (const load_engines *group)
{
  return group->step_us + (double)group->stream_us * group->slots;
}

/* The engines of stage K of GROUP that work at AT_US, fastest first.  */
static GArray *
stage_engines (const load_scenario *scenario, const load_engines *group,
               uint32_t k, uint64_t at_us)
{
  GArray *list = g_array_new (FALSE, FALSE, sizeof (bound_engine));

  for (uint32_t p = 0; p < group->pipelines; p++)
    {
      char *name = load_engine_name (group, p, k);
      double speed = engine_speed (scenario, name, at_us);
      bound_engine e = { .slots = group->slots };

      g_free (name);
      if (speed <= 0)
        continue;
      e.step_us = group_full_step_us (group) * load_engine_slowness (group, p)
                  / speed;
      g_array_append_val (list, e);
    }
  g_array_sort (list, engine_compare);
  return list;
}

/* Tokens a second of GROUP: the I-th fastest engines of all stages make the
   I-th pipeline.  */
static double
group_capacity (const load_scenario *scenario, const load_engines *group,
                uint64_t at_us)
{
  GArray **stages = g_new0 (GArray *, group->stages);
  guint pipelines = group->pipelines;
  double capacity = 0;

  for (uint32_t k = 0; k < group->stages; k++)
    {
      stages[k] = stage_engines (scenario, group, k, at_us);
      pipelines = MIN (pipelines, stages[k]->len);
    }
  for (guint i = 0; i < pipelines; i++)
    {
      double sum = 0;
      double slowest = 0;

      for (uint32_t k = 0; k < group->stages; k++)
        {
          double us = g_array_index (stages[k], bound_engine, i).step_us;

          sum += us + group->link_us;
          slowest = MAX (slowest, us);
        }
      capacity += group->slots * 1e6 / MAX (slowest, sum / group->stages);
    }
  for (uint32_t k = 0; k < group->stages; k++)
    g_array_unref (stages[k]);
  g_free (stages);
  return capacity;
}

double
load_capacity (const load_scenario *scenario, uint32_t model, uint64_t at_us)
{
  double capacity = 0;

  for (guint i = 0; i < scenario->engines->len; i++)
    {
      const load_engines *g
          = &g_array_index (scenario->engines, load_engines, i);

      if (g->model == model)
        capacity += group_capacity (scenario, g, at_us);
    }
  return capacity;
}

/* The positions of a prompt that no cached prefix saves.  */
static uint32_t
prompt_positions (uint32_t prompt_bytes)
{
  uint32_t positions = prompt_bytes / 4 + 1;

  return positions - MIN (positions, PREFIX_POSITIONS);
}

double
load_least_us (const load_scenario *scenario, uint32_t model,
               uint32_t prompt_bytes, uint32_t tokens)
{
  uint32_t positions = prompt_positions (prompt_bytes);
  double best = G_MAXDOUBLE;

  for (guint i = 0; i < scenario->engines->len; i++)
    {
      const load_engines *g
          = &g_array_index (scenario->engines, load_engines, i);
      double token = (double)g->step_us + g->stream_us;
      double prefill = (double)g->prefill_us * positions;

      for (uint32_t p = 0; g->model == model && p < g->pipelines; p++)
        best = MIN (best, g->stages
                              * ((tokens * token + prefill)
                                     * load_engine_slowness (g, p)
                                 + (double)tokens * g->link_us));
    }
  return best;
}

double
load_work (const load_scenario *scenario, uint32_t model,
           uint32_t prompt_bytes, uint32_t tokens)
{
  uint32_t positions = prompt_positions (prompt_bytes);
  double least = G_MAXDOUBLE;

  for (guint i = 0; i < scenario->engines->len; i++)
    {
      const load_engines *g
          = &g_array_index (scenario->engines, load_engines, i);

      if (g->model == model)
        least = MIN (least, (double)g->prefill_us * positions * g->slots
                                / group_full_step_us (g));
    }
  return tokens + (least == G_MAXDOUBLE ? 0 : least);
}

static gint
fluid_compare (gconstpointer a, gconstpointer b, gpointer unused)
{
  const fluid_request *x = a;
  const fluid_request *y = b;

  (void)unused;
  return (x->deadline_us > y->deadline_us) - (x->deadline_us < y->deadline_us);
}

/* The items for MODEL that can be met at all, by arrival: a new queue of
   fluid_request.  */
static GQueue *
fluid_arrivals (const load_scenario *scenario, uint32_t model,
                const GArray *items)
{
  GQueue *q = g_queue_new ();

  for (guint i = 0; i < items->len; i++)
    {
      const load_item *item = &g_array_index (items, load_item, i);
      const load_kind *k
          = &g_array_index (scenario->kinds, load_kind, item->kind);
      const load_service *v
          = &g_array_index (scenario->services, load_service, k->service);
      fluid_request *r;

      if (v->kind != MQ_SERVICE_MODEL || v->model != model
          || load_least_us (scenario, model, item->prompt_bytes, item->tokens)
                 > item->deadline_ms * 1e3)
        continue;
      r = g_new0 (fluid_request, 1);
      r->at_us = item->at_us;
      r->deadline_us = item->at_us + (uint64_t)item->deadline_ms * 1000;
      r->left = item->work;
      g_queue_push_tail (q, r);
    }
  return q;
}

/* Serve ACTIVE, which is sorted by deadline, with BUDGET; returns what was
   used.  */
static double
fluid_serve (GQueue *active, uint64_t now_us, double budget)
{
  double used = 0;
  fluid_request *r;

  while (used < budget && (r = g_queue_peek_head (active)) != NULL)
    {
      double part = MIN (r->left, budget - used);

      if (r->deadline_us > now_us)
        {
          used += part;
          r->left -= part;
        }
      if (r->deadline_us <= now_us || r->left <= 1e-9)
        g_free (g_queue_pop_head (active));
    }
  return used;
}

/* Run the fluid server of MODEL and add to BOUND.  */
static void
bound_run (load_bound *bound, const load_scenario *scenario, uint32_t model,
           const GArray *items)
{
  GQueue *arrivals = fluid_arrivals (scenario, model, items);
  GQueue active = G_QUEUE_INIT;
  uint64_t now = 0;
  fluid_request *r;

  while (!g_queue_is_empty (arrivals) || !g_queue_is_empty (&active))
    {
      guint tick = (guint)(now / LOAD_TICK_US);
      double used;

      while ((r = g_queue_peek_head (arrivals)) != NULL && r->at_us <= now)
        g_queue_insert_sorted (&active, g_queue_pop_head (arrivals),
                               fluid_compare, NULL);
      used = fluid_serve (
          &active, now, load_capacity (scenario, model, now) * FLUID_US / 1e6);
      bound->work += used;
      if (bound->per_tick->len <= tick)
        g_array_set_size (bound->per_tick, tick + 1);
      g_array_index (bound->per_tick, double, tick) += used;
      now += FLUID_US;
    }
  g_queue_free (arrivals);
}

void
load_bound_init (load_bound *bound, const load_scenario *scenario,
                 const GArray *items)
{
  memset (bound, 0, sizeof *bound);
  bound->per_tick = g_array_new (FALSE, TRUE, sizeof (double));
  for (guint i = 0; i < items->len; i++)
    bound->offered += g_array_index (items, load_item, i).work;
  for (guint m = 0; m < scenario->models->len; m++)
    bound_run (bound, scenario, m, items);
}

void
load_bound_finish (load_bound *bound)
{
  g_array_unref (bound->per_tick);
}
