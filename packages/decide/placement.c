/* Which engines run which layers: see mq/internal/placement.h.

   The search goes over engines in the order of their first layers, which is
   a topological order of the graph.  A cell stands for "the layers before
   this bound are placed, the last of them in this failure domain, and the
   head is in that one"; it keeps the cheapest way to get there.  */

#include <mq/internal/placement.h>

#include <math.h>
#include <string.h>

/* How far equal costs are parted, so that ties do not pile up.  */
#define SPREAD 1e-3
/* How sharply the cost of a stage grows with its load.  */
#define LOAD_COST 0.5

typedef struct cell
{
  double cost;
  mq_engine_state *engine; /* The last one on the way.  */
  uint32_t from;           /* Index of the cell before it.  */
} cell;

typedef struct search
{
  const mq_engine_table *table;
  const mq_placement_query *query;
  uint32_t n_domains;
  uint32_t *bounds; /* Number of the bound at each layer.  */
  uint32_t n_bounds;
  cell *cells;
} search;

static uint32_t
search_index (const search *s, uint32_t layer, uint32_t domain, uint32_t head)
{
  return (s->bounds[layer] * s->n_domains + domain) * s->n_domains + head;
}

/* Number the layers at which an engine begins or ends, from 1; the others
   share the number 0.  */
static void
search_number_bounds (search *s)
{
  const mq_placement_query *q = s->query;

  s->bounds = g_new0 (uint32_t, q->layers + 1);
  s->bounds[0] = 1;
  s->bounds[q->layers] = 1;
  for (guint i = 0; i < q->engines->len; i++)
    {
      const mq_engine_state *e = q->engines->pdata[i];

      if (e->end > q->layers || e->first >= e->end)
        continue;
      s->bounds[e->first] = 1;
      s->bounds[e->end] = 1;
    }
  s->n_bounds = 1;
  for (uint32_t l = 0; l <= q->layers; l++)
    if (s->bounds[l] != 0)
      s->bounds[l] = s->n_bounds++;
}

static void
search_init (search *s, const mq_engine_table *table,
             const mq_placement_query *query)
{
  uint32_t n;

  s->table = table;
  s->query = query;
  s->n_domains = table->domains->len;
  search_number_bounds (s);
  n = s->n_bounds * s->n_domains * s->n_domains;
  s->cells = g_new (cell, n);
  for (uint32_t i = 0; i < n; i++)
    s->cells[i] = (cell){ INFINITY, NULL, 0 };
}

static void
search_finish (search *s)
{
  g_free (s->bounds);
  g_free (s->cells);
}

static bool
query_avoids (const mq_placement_query *q, const mq_engine_state *e)
{
  for (uint32_t i = 0; i < q->n_avoid; i++)
    if (mq_span_equal (q->avoid[i], mq_str_span (e->name)))
      return true;
  return false;
}

static bool
query_allows (const mq_placement_query *q, const mq_engine_state *e)
{
  return e->end <= q->layers && e->first < e->end
         && mq_span_equal (mq_str_span (e->version), q->version)
         && mq_engine_state_usable (e, q->now_us)
         && mq_engine_state_load (e, q->demand) <= q->limit
         && !query_avoids (q, e);
}

/* A number in [0, 1) that is the engine's own for this query.  */
static double
query_spread (const mq_placement_query *q, const mq_engine_state *e)
{
  uint64_t h = mq_hash_mix (q->spread, mq_span_hash (mq_str_span (e->name)));

  return (double)(h >> 11) / (double)(UINT64_C (1) << 53);
}

static double
stage_cost (const mq_placement_query *q, const mq_engine_state *e)
{
  double load = mq_engine_state_load (e, q->demand);
  double wait = LOAD_COST * load * load;

  return e->step_us * (1.0 + wait) * (q->tokens + 1)
         * (1.0 + SPREAD * query_spread (q, e));
}

/* Extend the ways to E's first layer by E, for one failure domain of the
   head.  */
static void
search_extend (search *s, mq_engine_state *e, double cost, uint32_t head)
{
  cell *to = &s->cells[search_index (s, e->end, e->domain, head)];

  for (uint32_t d = 0; d < s->n_domains; d++)
    {
      uint32_t from = search_index (s, e->first, d, head);
      double link = mq_engine_table_link_us (s->table, d, e->domain);
      double sum = s->cells[from].cost + cost + link * (s->query->tokens + 1);

      if (sum < to->cost)
        *to = (cell){ sum, e, from };
    }
}

static void
search_begin (search *s, mq_engine_state *e, double cost)
{
  cell *to = &s->cells[search_index (s, e->end, e->domain, e->domain)];

  if (cost < to->cost)
    *to = (cell){ cost, e, UINT32_MAX };
}

/* The cell of the cheapest whole way, or UINT32_MAX.  */
static uint32_t
search_best (const search *s)
{
  uint32_t best = UINT32_MAX;
  double best_cost = INFINITY;

  for (uint32_t d = 0; d < s->n_domains; d++)
    for (uint32_t head = 0; head < s->n_domains; head++)
      {
        uint32_t i = search_index (s, s->query->layers, d, head);
        double back = mq_engine_table_link_us (s->table, d, head);
        double cost = s->cells[i].cost + back * s->query->tokens;

        if (cost < best_cost)
          {
            best_cost = cost;
            best = i;
          }
      }
  return best;
}

/* Write the way that ends in cell LAST.  Returns 0, or -1 when it has too
   many stages.  */
static int
search_trace (const search *s, uint32_t last, mq_placement *p)
{
  uint32_t n = 0;

  for (uint32_t i = last; i != UINT32_MAX; i = s->cells[i].from)
    if (++n > MQ_PLAN_STAGES)
      return -1;
  p->n_stages = n;
  for (uint32_t i = last; i != UINT32_MAX; i = s->cells[i].from)
    p->stages[--n] = s->cells[i].engine;
  return 0;
}

static void
placement_measure (mq_placement *p, const mq_engine_table *table,
                   double demand)
{
  p->link_us = 0;
  p->cycle_us = 0;
  p->load = 0;
  for (uint32_t i = 0; i < p->n_stages; i++)
    {
      const mq_engine_state *e = p->stages[i];
      const mq_engine_state *next = p->stages[(i + 1) % p->n_stages];

      p->cycle_us += e->step_us;
      p->link_us += mq_engine_table_link_us (table, e->domain, next->domain);
      p->load = MAX (p->load, mq_engine_state_load (e, demand));
    }
  p->cycle_us += p->link_us;
}

int
mq_placement_find (mq_placement *placement, const mq_engine_table *table,
                   const mq_placement_query *query)
{
  search s;
  uint32_t last;
  int result = -1;

  memset (placement, 0, sizeof *placement);
  if (query->layers == 0 || table->domains->len == 0)
    return -1;
  search_init (&s, table, query);
  for (guint i = 0; i < query->engines->len; i++)
    {
      mq_engine_state *e = query->engines->pdata[i];
      double cost;

      if (!query_allows (query, e))
        continue;
      cost = stage_cost (query, e);
      if (e->first == 0)
        search_begin (&s, e, cost);
      else
        for (uint32_t head = 0; head < s.n_domains; head++)
          search_extend (&s, e, cost, head);
    }
  last = search_best (&s);
  if (last != UINT32_MAX)
    result = search_trace (&s, last, placement);
  if (result == 0)
    placement_measure (placement, table, query->demand);
  search_finish (&s);
  return result;
}
