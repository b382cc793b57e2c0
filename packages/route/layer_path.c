/* Paths over engines that hold layers: see mq/layer_path.h.

   The search goes over the layers from the first to the last: for each layer
   the cheapest way to have run all before it.  Ways begin and end only where
   some engine's range does, so its cost is the number of engines times the
   number of such places in one domain.  */

#include <mq/layer_path.h>

#include <string.h>

/* What a further engine on the path costs a token: one transfer inside a
   failure domain (0.1 ms) and its wait for the pass under way, which is half
   a pass; estimated, to prefer short paths among equals.  */
#define HOP_MS 0.4

#define NO_COST 1e18

typedef struct path_step
{
  double cost;
  unsigned from;         /* Layer where the last part begins.  */
  mq_upstream *upstream; /* Of the last part, borrowed.  */
} path_step;

typedef struct path_edge
{
  mq_upstream *upstream; /* Borrowed.  */
  const mq_card *card;
} path_edge;

static int
edge_compare (gconstpointer a, gconstpointer b)
{
  const path_edge *x = a;
  const path_edge *y = b;

  if (x->upstream->facts.layer_first != y->upstream->facts.layer_first)
    return x->upstream->facts.layer_first < y->upstream->facts.layer_first ? -1
                                                                           : 1;
  return strcmp (x->upstream->facts.id->data, y->upstream->facts.id->data);
}

/* Append those of GROUP that may serve.  */
static void
edges_add_group (GArray *edges, const mq_upstream_group *group,
                 const mq_layered_model *model, uint64_t now_us,
                 const mq_upstream *except)
{
  for (guint i = 0; i < group->upstreams->len; i++)
    {
      mq_upstream *u = g_ptr_array_index (group->upstreams, i);
      path_edge e = { u, NULL };

      if (u == except || u->facts.layer_first >= u->facts.layer_end
          || u->facts.layer_end > model->layers
          || !mq_upstream_takes_work (u, now_us) || u->facts.card == NULL)
        continue;
      e.card = mq_layered_model_card (model, mq_str_span (u->facts.card));
      if (e.card != NULL)
        g_array_append_val (edges, e);
    }
}

/* Engines that may serve, in the order of their first layers.  */
static GArray *
path_edges (mq_registry *registry, const mq_route_service *service,
            mq_span domain, uint64_t now_us, const mq_upstream *except)
{
  GArray *edges = g_array_new (FALSE, FALSE, sizeof (path_edge));
  const GPtrArray *groups
      = mq_registry_groups (registry, mq_str_span (service->name));

  for (guint i = 0; groups != NULL && i < groups->len; i++)
    {
      const mq_upstream_group *g = g_ptr_array_index (groups, i);

      if (domain.size == 0 || mq_span_equal (mq_str_span (g->domain), domain))
        edges_add_group (edges, g, &service->model, now_us, except);
    }
  g_array_sort (edges, edge_compare);
  return edges;
}

/* Let EDGE take over at each layer it holds that can be reached.  */
static void
path_relax (path_step *steps, const path_edge *edge,
            const mq_layered_model *model, uint64_t now_us)
{
  unsigned first = edge->upstream->facts.layer_first;
  unsigned end = edge->upstream->facts.layer_end;
  double each = edge->card->pace * model->step_ms / model->layers
                * mq_upstream_slowness (edge->upstream, now_us);

  for (unsigned l = first; l < end; l++)
    {
      double cost;

      if (steps[l].cost >= NO_COST || steps[l].upstream == edge->upstream)
        continue;
      cost = steps[l].cost + HOP_MS + (end - l) * each;
      if (cost < steps[end].cost)
        steps[end] = (path_step){ cost, l, edge->upstream };
    }
}

/* Read the parts back from the last layer.  */
static void
path_trace (mq_layer_path *path, const path_step *steps,
            const mq_layered_model *model)
{
  unsigned at = model->layers;

  path->step_ms = steps[at].cost;
  while (at > 0 && path->n < MQ_LAYER_PATH_PARTS)
    {
      memmove (&path->parts[1], &path->parts[0],
               path->n * sizeof path->parts[0]);
      path->parts[0]
          = (mq_layer_part){ steps[at].upstream, steps[at].from, at };
      path->n++;
      at = steps[at].from;
    }
  if (at > 0)
    path->n = 0;
}

/* The tokens that fit on the tightest stage.  All layers that an engine holds
   take memory, but only those of the path's part take tokens.  */
static double
path_tokens (const mq_layer_path *path, const mq_layered_model *model,
             uint64_t now_us)
{
  double least = NO_COST;

  for (unsigned i = 0; i < path->n; i++)
    {
      const mq_upstream_facts *f = &path->parts[i].upstream->facts;
      const mq_card *c = mq_layered_model_card (model, mq_str_span (f->card));
      double left = c->memory_mb
                    - mq_upstream_layers (path->parts[i].upstream, now_us)
                          * model->layer_mb;
      double each = model->kv_mb_per_token / model->layers
                    * (path->parts[i].end - path->parts[i].first);

      least = MIN (least, each > 0 ? MAX (left, 0) / each : 0);
    }
  return least;
}

bool
mq_layer_path_find (mq_layer_path *path, mq_registry *registry,
                    const mq_route_service *service, mq_span domain,
                    uint64_t now_us, const mq_upstream *except)
{
  const mq_layered_model *m = &service->model;
  GArray *edges = path_edges (registry, service, domain, now_us, except);
  path_step *steps = g_new (path_step, m->layers + 1);

  memset (path, 0, sizeof *path);
  for (unsigned l = 0; l <= m->layers; l++)
    steps[l] = (path_step){ NO_COST, 0, NULL };
  steps[0].cost = 0;
  /* An edge only improves layers above its first, and edges come in that
     order, so that one pass reaches all but ways that begin inside a range
     which was relaxed before; those are found by its neighbours' ends.  */
  for (guint i = 0; i < edges->len; i++)
    path_relax (steps, &g_array_index (edges, path_edge, i), m, now_us);
  if (steps[m->layers].cost < NO_COST)
    path_trace (path, steps, m);
  g_free (steps);
  g_array_unref (edges);
  if (path->n == 0)
    return false;
  path->tokens = path_tokens (path, m, now_us);
  for (unsigned i = 0; i < path->n; i++)
    mq_upstream_ref (path->parts[i].upstream);
  return true;
}

void
mq_layer_path_finish (mq_layer_path *path)
{
  for (unsigned i = 0; i < path->n; i++)
    mq_upstream_unref (path->parts[i].upstream);
  path->n = 0;
}

void
mq_layer_path_copy (mq_layer_path *into, const mq_layer_path *path)
{
  *into = *path;
  for (unsigned i = 0; i < into->n; i++)
    mq_upstream_ref (into->parts[i].upstream);
}

bool
mq_layer_path_has (const mq_layer_path *path, const mq_upstream *upstream)
{
  for (unsigned i = 0; i < path->n; i++)
    if (path->parts[i].upstream == upstream)
      return true;
  return false;
}

bool
mq_layer_path_stands (const mq_layer_path *path, uint64_t now_us)
{
  for (unsigned i = 0; i < path->n; i++)
    {
      const mq_layer_part *p = &path->parts[i];

      if (!mq_upstream_is_usable (p->upstream, now_us)
          || p->upstream->facts.layer_first > p->first
          || p->upstream->facts.layer_end < p->end)
        return false;
    }
  return path->n > 0;
}
