/* The search for the best path: see mq/layer_path.h.

   Dynamic programming over the layers finds, for each layer at which some
   engine's range ends, the best path through all layers below it.  Each engine
   is tried once at each layer of its range, so the cost is the sum of the
   lengths of all ranges.

   The search runs twice: first for the path whose stage with the least memory
   has the most, then for the fastest path that has nearly as much.  Memory
   bounds how many requests a domain can serve at a time.  A second copy that
   an engine holds beside other layers has little memory, though a path through
   it may be shorter.  */

#include <mq/internal/layer_path.h>

#include <string.h>

/* A faster path may have this share of the largest token capacity: the fastest
   cards shorten requests by about as much as they may cost memory.  */
#define MIN_TOKEN_SHARE 0.85

#define NO_COST 1e18

typedef struct path_step
{
  double cost;           /* Time of a token so far, in ms.  */
  double tokens;         /* Least capacity of a stage so far.  */
  unsigned from;         /* First layer of the last stage.  */
  unsigned stages;       /* So far.  */
  mq_upstream *upstream; /* Of the last stage, borrowed.  */
} path_step;

static int
edge_compare (gconstpointer a, gconstpointer b)
{
  const mq_path_edge *x = a;
  const mq_path_edge *y = b;

  if (x->upstream->facts.layer_first != y->upstream->facts.layer_first)
    return x->upstream->facts.layer_first < y->upstream->facts.layer_first ? -1
                                                                           : 1;
  return strcmp (x->upstream->facts.id->data, y->upstream->facts.id->data);
}

/* Append the engines of GROUP that accept work, without EXCLUDED.  */
static void
edges_add_group (GArray *edges, const mq_upstream_group *group,
                 const mq_layered_model *model, uint64_t now_us,
                 const mq_upstream *excluded)
{
  for (guint i = 0; i < group->upstreams->len; i++)
    {
      mq_upstream *u = g_ptr_array_index (group->upstreams, i);
      mq_layer_range held = mq_layered_model_range (
          model, u->facts.layer_first, u->facts.layer_end);
      mq_path_edge e = { u, NULL };

      if (u == excluded || held.first == held.end
          || !mq_upstream_accepts_work (u, now_us) || u->facts.card == NULL)
        continue;
      e.card = mq_layered_model_find_card (model, mq_str_span (u->facts.card));
      if (e.card != NULL)
        g_array_append_val (edges, e);
    }
}

GArray *
mq_path_edges (mq_registry *registry, const mq_route_service *service,
               mq_span domain, uint64_t now_us, const mq_upstream *excluded)
{
  GArray *edges = g_array_new (FALSE, FALSE, sizeof (mq_path_edge));
  const GPtrArray *groups
      = mq_registry_groups (registry, mq_str_span (service->name));

  for (guint i = 0; groups != NULL && i < groups->len; i++)
    {
      const mq_upstream_group *g = g_ptr_array_index (groups, i);

      if (domain.size == 0 || mq_span_equal (mq_str_span (g->domain), domain))
        edges_add_group (edges, g, &service->model, now_us, excluded);
    }
  g_array_sort (edges, edge_compare);
  return edges;
}

double
mq_path_stage_tokens (const mq_upstream *upstream, const mq_card *card,
                      const mq_layered_model *model, unsigned first,
                      unsigned end, uint64_t now_us)
{
  double free_mb
      = card->memory_mb
        - mq_upstream_resident_layers (upstream, now_us) * model->layer_mb;
  double mb_per_token = model->kv_mb_per_token / model->layers * (end - first);

  return mb_per_token > 0 ? MAX (free_mb, 0) / mb_per_token : 0;
}

/* What makes one of two paths to the same layer the better one.  */
typedef enum path_objective
{
  PATH_MAX_TOKENS,
  PATH_FASTEST,
  PATH_FEWEST_STAGES
} path_objective;

typedef struct path_search
{
  const mq_layered_model *model; /* Borrowed.  */
  path_objective objective;
  double min_tokens; /* Paths with a lower capacity are ignored.  */
  uint64_t now_us;
  path_step *steps; /* By layer, with one more for the end.  */
} path_search;

static bool
step_is_better (const path_step *step, const path_step *other,
                path_objective objective)
{
  switch (objective)
    {
    case PATH_MAX_TOKENS:
      return step->tokens > other->tokens;
    case PATH_FASTEST:
      return step->cost < other->cost;
    case PATH_FEWEST_STAGES:
      return other->cost >= NO_COST || step->stages < other->stages;
    }
  return false;
}

/* Extend the paths that end within the range of EDGE by EDGE, and keep those
   that are better than the best one to its end.  */
static void
search_relax (path_search *search, const mq_path_edge *edge)
{
  const mq_upstream *u = edge->upstream;
  const mq_layered_model *m = search->model;
  unsigned end = u->facts.layer_end;
  double slowdown = mq_upstream_slowdown (u, search->now_us);
  double ms_per_layer
      = edge->card->step_factor * m->step_ms / m->layers * slowdown;

  for (unsigned l = u->facts.layer_first; l < end; l++)
    {
      const path_step *before = &search->steps[l];
      double tokens;
      path_step s;

      if (before->cost >= NO_COST || before->upstream == u)
        continue;
      tokens = mq_path_stage_tokens (u, edge->card, m, l, end, search->now_us)
               / slowdown;
      s = (path_step){ before->cost + MQ_PATH_HOP_MS
                           + (end - l) * ms_per_layer,
                       MIN (before->tokens, tokens), l, before->stages + 1,
                       edge->upstream };
      if (s.tokens >= search->min_tokens
          && step_is_better (&s, &search->steps[end], search->objective))
        search->steps[end] = s;
    }
}

/* Search over EDGES, which are sorted by first layer.  Returns the last step;
   its cost is NO_COST when there is no path.  */
static const path_step *
search_run (path_search *search, const GArray *edges)
{
  unsigned layers = search->model->layers;

  for (unsigned l = 0; l <= layers; l++)
    search->steps[l] = (path_step){ NO_COST, -1, 0, 0, NULL };
  search->steps[0].cost = 0;
  search->steps[0].tokens = NO_COST;
  /* An edge only improves the step at its end, and edges are sorted by first
     layer, so one pass suffices to find a path if there is any.  It may miss
     a better one that enters a range at a layer which was reached only after
     that range was relaxed.  */
  for (guint i = 0; i < edges->len; i++)
    search_relax (search, &g_array_index (edges, mq_path_edge, i));
  return &search->steps[layers];
}

/* Fill in the stages of PATH from STEPS, the last one first.  PATH stays empty
   when there are too many.  */
static void
path_trace (mq_layer_path *path, const path_step *steps,
            const mq_layered_model *model)
{
  unsigned end = model->layers;

  path->step_ms = steps[end].cost;
  while (end > 0 && path->n < MQ_LAYER_PATH_MAX_STAGES)
    {
      memmove (&path->stages[1], &path->stages[0],
               path->n * sizeof path->stages[0]);
      path->stages[0]
          = (mq_layer_stage){ steps[end].upstream, steps[end].from, end };
      path->n++;
      end = steps[end].from;
    }
  if (end > 0)
    path->n = 0;
}

double
mq_path_min_tokens (const mq_layer_path *path, const mq_layered_model *model,
                    uint64_t now_us)
{
  double min = NO_COST;

  for (unsigned i = 0; i < path->n; i++)
    {
      const mq_layer_stage *p = &path->stages[i];
      const mq_card *c = mq_layered_model_find_card (
          model, mq_str_span (p->upstream->facts.card));

      min = MIN (min, mq_path_stage_tokens (p->upstream, c, model, p->first,
                                            p->end, now_us));
    }
  return min;
}

double
mq_path_prefill_token_ms (const mq_layer_path *path,
                          const mq_layered_model *model, uint64_t now_us)
{
  double max = 0;

  for (unsigned i = 0; i < path->n && model->prefill_tokens_per_ms > 0; i++)
    {
      const mq_layer_stage *p = &path->stages[i];
      const mq_card *c = mq_layered_model_find_card (
          model, mq_str_span (p->upstream->facts.card));

      max = MAX (max, (p->end - p->first) * c->prefill_factor
                          * mq_upstream_slowdown (p->upstream, now_us));
    }
  return max / model->layers / MAX (model->prefill_tokens_per_ms, 1e-9);
}

bool
mq_path_find_best (mq_layer_path *path, const GArray *edges,
                   const mq_layered_model *model, uint64_t now_us)
{
  path_step *steps = g_new (path_step, model->layers + 1);
  path_search search = { model, PATH_MAX_TOKENS, 0, now_us, steps };
  const path_step *last;

  memset (path, 0, sizeof *path);
  last = search_run (&search, edges);
  if (last->cost < NO_COST)
    {
      search.objective = PATH_FASTEST;
      search.min_tokens = last->tokens * MIN_TOKEN_SHARE;
      last = search_run (&search, edges);
    }
  if (last->cost < NO_COST)
    path_trace (path, steps, model);
  if (last->cost < NO_COST && path->n == 0)
    {
      /* In a large fleet the path with the most tokens goes through one engine
         for each layer or two, which is more than a path can have.  */
      search.objective = PATH_FEWEST_STAGES;
      search.min_tokens = 0;
      (void)search_run (&search, edges);
      path_trace (path, steps, model);
    }
  g_free (steps);
  if (path->n == 0)
    return false;
  path->tokens = mq_path_min_tokens (path, model, now_us);
  path->prefill_token_ms = mq_path_prefill_token_ms (path, model, now_us);
  for (unsigned i = 0; i < path->n; i++)
    mq_upstream_ref (path->stages[i].upstream);
  return true;
}

bool
mq_layer_path_find (mq_layer_path *path, mq_registry *registry,
                    const mq_route_service *service, mq_span domain,
                    uint64_t now_us, const mq_upstream *excluded)
{
  GArray *edges = mq_path_edges (registry, service, domain, now_us, excluded);
  bool found = mq_path_find_best (path, edges, &service->model, now_us);

  g_array_unref (edges);
  return found;
}

void
mq_layer_path_finish (mq_layer_path *path)
{
  for (unsigned i = 0; i < path->n; i++)
    mq_upstream_unref (path->stages[i].upstream);
  path->n = 0;
}

void
mq_layer_path_copy (mq_layer_path *into, const mq_layer_path *path)
{
  *into = *path;
  for (unsigned i = 0; i < into->n; i++)
    mq_upstream_ref (into->stages[i].upstream);
}

bool
mq_layer_path_has (const mq_layer_path *path, const mq_upstream *upstream)
{
  for (unsigned i = 0; i < path->n; i++)
    if (path->stages[i].upstream == upstream)
      return true;
  return false;
}

bool
mq_layer_path_is_usable (const mq_layer_path *path, uint64_t now_us)
{
  for (unsigned i = 0; i < path->n; i++)
    {
      const mq_layer_stage *p = &path->stages[i];

      if (!mq_upstream_is_usable (p->upstream, now_us)
          || p->upstream->facts.layer_first > p->first
          || p->upstream->facts.layer_end < p->end)
        return false;
    }
  return path->n > 0;
}
