/* Placement on a pipeline of engines: see mq/internal/placement.h.

   The search relaxes engines in the order of their first layers, which is a
   topological order of the graph.  A cell stands for a layer boundary, the
   failure domain of the last engine before it and the failure domain of the
   head.  It holds the cheapest path that leads there.  */

#include <mq/internal/placement.h>

#include <math.h>

/* Relative spread of equal costs, so that requests do not herd on one
   engine.  */
#define TIE_BREAK 1e-3
/* Cost of a full engine over its time.  The cost grows with the fourth power
   of the load, so that it is small at low loads.  */
#define LOAD_COST 4.0
/* Share of the prefill cost that a hinted prefix is assumed to save.  */
#define PREFIX_SAVING 0.7
/* Limit on the streams of an engine on probation, and the factor on its cost
   that makes the search try it soon.  */
#define PROBATION_STREAMS 2
#define PROBATION_COST 0.5

typedef struct search_cell
{
  double cost;
  mq_engine_state *engine; /* Last engine of the path.  */
  uint32_t from;           /* Index of the previous cell.  */
} search_cell;

typedef struct placement_search
{
  const mq_placement_query *query;
  uint32_t layers;
  uint32_t n_domains;
  uint32_t *bounds; /* Number of the boundary at each layer.  */
  uint32_t n_bounds;
  search_cell *cells;
  /* The cheapest paths to layer arrival_layer including the link that follows,
     indexed by the failure domains of the next engine and of the head.  All
     engines that begin at that layer in one domain share them.  */
  search_cell *arrivals;
  uint32_t arrival_layer;
} placement_search;

static uint32_t
search_index (const placement_search *s, uint32_t layer, uint32_t domain,
              uint32_t head)
{
  return (s->bounds[layer] * s->n_domains + domain) * s->n_domains + head;
}

static bool
search_fits (const placement_search *s, const mq_engine_state *e)
{
  return e->first < e->end && e->end <= s->layers;
}

/* Numbers the layers at which an engine begins or ends, from 1.  All other
   layers have the number 0.  */
static void
search_number_bounds (placement_search *s)
{
  const GPtrArray *engines = s->query->model->engines;

  s->bounds = g_new0 (uint32_t, (gsize)s->layers + 1);
  s->bounds[0] = 1;
  s->bounds[s->layers] = 1;
  for (guint i = 0; i < engines->len; i++)
    {
      const mq_engine_state *e = engines->pdata[i];

      if (!search_fits (s, e))
        continue;
      s->bounds[e->first] = 1;
      s->bounds[e->end] = 1;
    }
  s->n_bounds = 1;
  for (uint32_t l = 0; l <= s->layers; l++)
    if (s->bounds[l] != 0)
      s->bounds[l] = s->n_bounds++;
}

static void
search_init (placement_search *s, const mq_placement_query *query)
{
  uint32_t n;

  s->query = query;
  s->layers = query->model->layers;
  s->n_domains = query->table->domains->len;
  search_number_bounds (s);
  n = s->n_bounds * s->n_domains * s->n_domains;
  s->cells = g_new (search_cell, n);
  for (uint32_t i = 0; i < n; i++)
    s->cells[i] = (search_cell){ INFINITY, NULL, 0 };
  s->arrivals = g_new (search_cell, s->n_domains * s->n_domains);
  s->arrival_layer = 0;
}

static void
search_finish (placement_search *s)
{
  g_free (s->bounds);
  g_free (s->cells);
  g_free (s->arrivals);
}

static bool
query_avoids (const mq_placement_query *q, const mq_engine_state *e)
{
  for (uint32_t i = 0; i < q->n_avoid; i++)
    if (mq_span_equal (q->avoid[i], mq_str_span (e->name)))
      return true;
  return false;
}

/* Returns the maximum load of E.  An engine with places is never
   overcommitted.  */
static double
query_limit (const mq_placement_query *q, const mq_engine_state *e)
{
  if (isinf (q->limit) || !mq_engine_state_has_places (e))
    return q->limit;
  return MIN (q->limit, 1);
}

/* Urgent requests are not sent to an engine on probation.  */
static bool
query_has_room (const mq_placement_query *q, const mq_engine_state *e)
{
  if (e->health_state == MQ_ENGINE_PROBATION && !isinf (q->limit)
      && (q->is_urgent || e->in_flight >= PROBATION_STREAMS))
    return false;
  return mq_engine_state_load (e, q->demand, q->model->load_scale)
         <= query_limit (q, e);
}

static bool
query_allows (const mq_placement_query *q, const mq_engine_state *e)
{
  return mq_span_equal (mq_str_span (e->version),
                        mq_str_span (q->model->version))
         && mq_engine_state_is_usable (e, q->now_us) && !query_avoids (q, e)
         && query_has_room (q, e);
}

/* Returns a pseudo-random number in [0, 1) for this query and engine.  */
static double
query_tie_break (const mq_placement_query *q, const mq_engine_state *e)
{
  uint64_t h = mq_hash_mix (q->spread, e->name_hash);

  return (double)(h >> 11) / (double)(UINT64_C (1) << 53);
}

static double
stage_cost (const mq_placement_query *q, const mq_engine_state *e)
{
  double load = mq_engine_state_load (e, q->demand, q->model->load_scale);
  double residence = mq_engine_state_residence_us (e, load) * MAX (load, 1);
  double prompt = q->model->steps_per_prompt_token * q->prompt_tokens;

  if (mq_engine_state_has_prefix (e, q->prefix_hash))
    prompt *= 1 - PREFIX_SAVING;
  if (e->health_state == MQ_ENGINE_PROBATION)
    residence *= PROBATION_COST / e->slowdown_factor;
  if (!q->is_urgent)
    residence *= 1 + LOAD_COST * load * load * load * load;
  return residence * (prompt + q->tokens)
         * (1 + TIE_BREAK * query_tie_break (q, e));
}

static search_cell
search_arrival (const placement_search *s, uint32_t layer, uint32_t domain,
                uint32_t head)
{
  search_cell best = { INFINITY, NULL, UINT32_MAX };

  for (uint32_t d = 0; d < s->n_domains; d++)
    {
      uint32_t from = search_index (s, layer, d, head);
      double link = mq_engine_table_link_us (s->query->table, d, domain);
      double cost = s->cells[from].cost + link * s->query->tokens;

      if (cost < best.cost)
        best = (search_cell){ cost, NULL, from };
    }
  return best;
}

/* Computes the arrivals at LAYER, once all engines that end there have been
   relaxed.  */
static void
search_arrive (placement_search *s, uint32_t layer)
{
  s->arrival_layer = layer;
  for (uint32_t domain = 0; domain < s->n_domains; domain++)
    for (uint32_t head = 0; head < s->n_domains; head++)
      s->arrivals[domain * s->n_domains + head]
          = search_arrival (s, layer, domain, head);
}

/* Extends the paths to E's first layer by E.  */
static void
search_extend (placement_search *s, mq_engine_state *e, double cost)
{
  if (e->first != s->arrival_layer)
    search_arrive (s, e->first);
  for (uint32_t head = 0; head < s->n_domains; head++)
    {
      const search_cell *arrival
          = &s->arrivals[e->domain * s->n_domains + head];
      search_cell *to = &s->cells[search_index (s, e->end, e->domain, head)];

      if (arrival->cost + cost < to->cost)
        *to = (search_cell){ arrival->cost + cost, e, arrival->from };
    }
}

static void
search_begin (placement_search *s, mq_engine_state *e, double cost)
{
  search_cell *to = &s->cells[search_index (s, e->end, e->domain, e->domain)];

  if (cost < to->cost)
    *to = (search_cell){ cost, e, UINT32_MAX };
}

/* Returns the cell of the cheapest complete path, or UINT32_MAX if there is
   none.  */
static uint32_t
search_find_best (const placement_search *s)
{
  uint32_t best = UINT32_MAX;
  double best_cost = INFINITY;

  for (uint32_t d = 0; d < s->n_domains; d++)
    for (uint32_t head = 0; head < s->n_domains; head++)
      {
        uint32_t i = search_index (s, s->layers, d, head);
        double return_link
            = mq_engine_table_link_us (s->query->table, d, head);
        double cost = s->cells[i].cost + return_link * s->query->tokens;

        if (cost < best_cost)
          {
            best_cost = cost;
            best = i;
          }
      }
  return best;
}

/* Stores the path that ends in cell LAST.  Returns 0, or -1 if it has too many
   stages.  */
static int
search_trace (const placement_search *s, uint32_t last, mq_placement *p)
{
  uint32_t n = 0;

  for (uint32_t i = last; i != UINT32_MAX; i = s->cells[i].from)
    if (++n > MQ_PLAN_MAX_STAGES)
      return -1;
  p->n_stages = n;
  for (uint32_t i = last; i != UINT32_MAX; i = s->cells[i].from)
    p->stages[--n] = s->cells[i].engine;
  return 0;
}

int
mq_placement_find (mq_placement *placement, const mq_placement_query *query)
{
  const GPtrArray *engines = query->model->engines;
  placement_search s;
  uint32_t last;
  int result = -1;

  placement->n_stages = 0;
  if (query->model->layers == 0 || engines->len == 0)
    return -1;
  search_init (&s, query);
  for (guint i = 0; i < engines->len; i++)
    {
      mq_engine_state *e = engines->pdata[i];
      double cost;

      if (!search_fits (&s, e) || !query_allows (query, e))
        continue;
      cost = stage_cost (query, e);
      if (e->first == 0)
        search_begin (&s, e, cost + e->head_wait_us);
      else
        search_extend (&s, e, cost);
    }
  last = search_find_best (&s);
  if (last != UINT32_MAX)
    result = search_trace (&s, last, placement);
  search_finish (&s);
  return result;
}

/* Marks the layers from which allowed engines lead to the last layer.  */
static bool *
round_robin_mark_reachable (const mq_placement_query *q)
{
  const mq_model_state *m = q->model;
  bool *reachable = g_new0 (bool, (gsize)m->layers + 1);

  reachable[m->layers] = true;
  for (guint i = m->engines->len; i-- > 0;)
    {
      const mq_engine_state *e = m->engines->pdata[i];

      if (e->first < e->end && e->end <= m->layers && reachable[e->end]
          && query_allows (q, e))
        reachable[e->first] = true;
    }
  return reachable;
}

/* Returns the engine whose turn it is among those that begin at FIRST.  There
   must be one.  */
static mq_engine_state *
round_robin_take (mq_model_state *m, const mq_placement_query *q,
                  const bool *reachable, uint32_t first)
{
  GPtrArray *candidates = g_ptr_array_new ();
  mq_engine_state *taken;

  for (guint i = 0; i < m->engines->len; i++)
    {
      mq_engine_state *e = m->engines->pdata[i];

      if (e->first == first && e->first < e->end && e->end <= m->layers
          && reachable[e->end] && query_allows (q, e))
        g_ptr_array_add (candidates, e);
    }
  taken = candidates->pdata[m->turns[first]++ % candidates->len];
  g_ptr_array_unref (candidates);
  return taken;
}

int
mq_placement_find_round_robin (mq_placement *placement, mq_model_state *model,
                               const mq_placement_query *query)
{
  bool *reachable;
  int result = -1;

  placement->n_stages = 0;
  if (model->layers == 0)
    return -1;
  reachable = round_robin_mark_reachable (query);
  if (!reachable[0])
    goto out;
  for (uint32_t layer = 0; layer < model->layers;)
    {
      mq_engine_state *e = round_robin_take (model, query, reachable, layer);

      if (placement->n_stages == MQ_PLAN_MAX_STAGES)
        goto out;
      placement->stages[placement->n_stages++] = e;
      layer = e->end;
    }
  result = 0;

out:
  g_free (reachable);
  return result;
}
