/* Several paths through one failure domain without a common engine: see
   mq/layer_path.h.

   If N engines hold each layer, N such paths exist.  The search repeatedly
   extends the path that ends at the lowest layer, by any free engine that
   holds the next layer.  There always is one, since each of the other paths,
   which end at the same or a higher layer, uses at most one of the N engines
   that hold it.  So any free engine will do, and the choice goes by memory,
   then by the last layer held.  */

#include <mq/internal/layer_path.h>

#include <mq/layer_plan.h>
#include <string.h>

/* An engine whose range ends later may have this share of the largest token
   capacity.  */
#define MIN_TOKEN_SHARE 0.85

typedef struct chain_sweep
{
  const mq_layered_model *model; /* Borrowed.  */
  const GArray *edges;           /* mq_path_edge, borrowed.  */
  bool *taken;                   /* By edge.  */
  unsigned *ends;                /* By path: the first layer that it lacks.  */
  uint64_t now_us;
} chain_sweep;

/* The least number of EDGES that hold a layer.  */
static unsigned
edges_min_cover (const GArray *edges, const mq_layered_model *model)
{
  unsigned *cover = g_new0 (unsigned, model->layers + 1);
  unsigned min = G_MAXUINT;

  for (guint i = 0; i < edges->len; i++)
    {
      const mq_upstream_facts *f
          = &g_array_index (edges, mq_path_edge, i).upstream->facts;

      for (unsigned l = f->layer_first; l < f->layer_end; l++)
        cover[l]++;
    }
  for (unsigned l = 0; l < model->layers; l++)
    min = MIN (min, cover[l]);
  g_free (cover);
  return min;
}

/* The tokens that EDGE has memory for in a stage that begins at layer FIRST,
   divided by its slowdown; 0 when it is taken or does not hold that layer.  */
static double
sweep_tokens (const chain_sweep *sweep, guint edge, unsigned first)
{
  const mq_path_edge *e = &g_array_index (sweep->edges, mq_path_edge, edge);
  const mq_upstream_facts *f = &e->upstream->facts;

  if (sweep->taken[edge] || first < f->layer_first || first >= f->layer_end)
    return 0;
  return mq_path_stage_tokens (e->upstream, e->card, sweep->model, first,
                               f->layer_end, sweep->now_us)
         / mq_upstream_slowdown (e->upstream, sweep->now_us);
}

/* The index of the edge that extends a path of the layers below FIRST, or -1.
 */
static int
sweep_choose (const chain_sweep *sweep, unsigned first)
{
  double max_tokens = 0;
  unsigned max_end = 0;
  int chosen = -1;

  for (guint i = 0; i < sweep->edges->len; i++)
    max_tokens = MAX (max_tokens, sweep_tokens (sweep, i, first));
  for (guint i = 0; i < sweep->edges->len; i++)
    {
      double tokens = sweep_tokens (sweep, i, first);
      unsigned end = g_array_index (sweep->edges, mq_path_edge, i)
                         .upstream->facts.layer_end;

      if (tokens <= 0 || tokens < max_tokens * MIN_TOKEN_SHARE
          || end <= max_end)
        continue;
      max_end = end;
      chosen = (int)i;
    }
  return chosen;
}

/* Extend PATH, which ends at *END, by one stage and update *END.  Returns
   false when that is not possible.  */
static bool
sweep_step (chain_sweep *sweep, mq_layer_path *path, unsigned *end)
{
  int chosen = sweep_choose (sweep, *end);
  const mq_path_edge *e;

  if (chosen < 0 || path->n == MQ_LAYER_PATH_MAX_STAGES)
    return false;
  e = &g_array_index (sweep->edges, mq_path_edge, chosen);
  sweep->taken[chosen] = true;
  path->stages[path->n++]
      = (mq_layer_stage){ mq_upstream_ref (e->upstream), *end,
                          e->upstream->facts.layer_end };
  path->step_ms += MQ_PATH_HOP_MS
                   + (e->upstream->facts.layer_end - *end)
                         * e->card->step_factor * sweep->model->step_ms
                         / sweep->model->layers
                         * mq_upstream_slowdown (e->upstream, sweep->now_us);
  *end = e->upstream->facts.layer_end;
  return true;
}

/* Extend the N PATHS to the last layer.  Returns false when one of them could
   not be.  */
static bool
sweep_run (chain_sweep *sweep, mq_layer_path *paths, unsigned n)
{
  while (true)
    {
      unsigned min = 0;

      for (unsigned i = 1; i < n; i++)
        if (sweep->ends[i] < sweep->ends[min])
          min = i;
      if (sweep->ends[min] >= sweep->model->layers)
        return true;
      if (!sweep_step (sweep, &paths[min], &sweep->ends[min]))
        return false;
    }
}

static int
path_compare (const void *a, const void *b)
{
  const mq_layer_path *x = a;
  const mq_layer_path *y = b;

  return strcmp (x->stages[0].upstream->facts.id->data,
                 y->stages[0].upstream->facts.id->data);
}

/* Find N paths over EDGES into PATHS.  Returns false, with nothing to finish,
   when there are fewer.  */
static bool
sweep_find_paths (mq_layer_path *paths, unsigned n, const GArray *edges,
                  const mq_layered_model *model, uint64_t now_us)
{
  chain_sweep s = { model, edges, g_new0 (bool, edges->len),
                    g_new0 (unsigned, n), now_us };
  bool found;

  memset (paths, 0, n * sizeof *paths);
  found = sweep_run (&s, paths, n);
  for (unsigned i = 0; i < n; i++)
    if (found)
      {
        paths[i].tokens = mq_path_min_tokens (&paths[i], model, now_us);
        paths[i].prefill_token_ms
            = mq_path_prefill_token_ms (&paths[i], model, now_us);
      }
    else
      mq_layer_path_finish (&paths[i]);
  if (found)
    qsort (paths, n, sizeof *paths, path_compare);
  g_free (s.taken);
  g_free (s.ends);
  return found;
}

unsigned
mq_layer_path_target_count (mq_registry *registry,
                            const mq_route_service *service, mq_span domain)
{
  const mq_upstream_group *g
      = mq_registry_group (registry, mq_str_span (service->name), domain);
  double memory_mb = 0;

  for (guint i = 0; g != NULL && i < g->upstreams->len; i++)
    {
      const mq_upstream *u = g_ptr_array_index (g->upstreams, i);
      const mq_card *c = u->facts.card == NULL
                             ? NULL
                             : mq_layered_model_find_card (
                                 &service->model, mq_str_span (u->facts.card));

      if (c != NULL && !mq_upstream_is_draining (u))
        memory_mb += c->memory_mb;
    }
  /* The largest number that the plan may still retain.  */
  return mq_layer_plan_retained_chain_count (&service->model, memory_mb,
                                             UINT_MAX);
}

size_t
mq_layer_path_find_all (mq_layer_path *paths, size_t max_paths,
                        mq_registry *registry, const mq_route_service *service,
                        mq_span domain, uint64_t now_us)
{
  GArray *edges = mq_path_edges (registry, service, domain, now_us, NULL);
  const mq_layered_model *m = &service->model;
  unsigned n = (unsigned)MIN (edges_min_cover (edges, m), max_paths);

  if (n < 2 || !sweep_find_paths (paths, n, edges, m, now_us))
    n = max_paths > 0 && mq_path_find_best (&paths[0], edges, m, now_us);
  g_array_unref (edges);
  return n;
}
