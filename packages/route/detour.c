/* The choice of a detour: see mq/detour.h.  */

#include <mq/detour.h>

/* How long a detour is avoided after a failure.  By then gossip shows whether
   its router is alive.  */
#define AVOID_US ((uint64_t)1000 * 1000)
/* Cost of a detour outside the upstream's failure domain, whose bytes cross
   between domains twice.  */
#define FAR_COST 1.5

static void
detour_free (gpointer data)
{
  mq_detour *d = data;

  mq_str_unref (d->address);
  g_free (d);
}

void
mq_detour_table_init (mq_detour_table *table)
{
  table->detours
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, detour_free);
}

void
mq_detour_table_finish (mq_detour_table *table)
{
  g_clear_pointer (&table->detours, g_hash_table_unref);
}

/* Returns the detour at ADDRESS, added if it is missing.  */
static mq_detour *
table_get_or_add (mq_detour_table *table, mq_span address)
{
  char *key = g_strndup (address.data, address.size);
  mq_detour *d = g_hash_table_lookup (table->detours, key);

  g_free (key);
  if (d != NULL)
    return d;
  d = g_new0 (mq_detour, 1);
  d->address = mq_str_new (address);
  g_hash_table_insert (table->detours, d->address->data, d);
  return d;
}

static double
candidate_cost (const mq_detour_candidate *candidate, const mq_detour *detour)
{
  return (detour->in_flight + 1.0) / MAX (candidate->capacity, 1)
         * (candidate->near ? 1 : FAR_COST);
}

/* Move the candidates whose detours are not avoided to the front of ORDER,
   their N indices.  Returns how many these are.  */
static size_t
order_put_usable_first (mq_detour_table *table,
                        const mq_detour_candidate *candidates, size_t n,
                        size_t *order, uint64_t now_us)
{
  size_t usable = 0;

  for (size_t i = 0; i < n; i++)
    {
      const mq_detour *d = table_get_or_add (table, candidates[i].address);

      order[i] = i;
      if (now_us < d->avoid_until_us)
        continue;
      order[i] = order[usable];
      order[usable++] = i;
    }
  return usable;
}

mq_detour *
mq_detour_choose (mq_detour_table *table,
                  const mq_detour_candidate *candidates, size_t n,
                  uint64_t random, uint64_t now_us)
{
  size_t *order = g_new (size_t, n + 1);
  size_t usable = order_put_usable_first (table, candidates, n, order, now_us);
  size_t among = usable > 0 ? usable : n;
  mq_detour *chosen = NULL;
  double least = 0;

  for (int i = 0; i < 2 && among > 0; i++)
    {
      size_t at = order[(random >> (32 * i) & UINT32_MAX) % among];
      mq_detour *d = table_get_or_add (table, candidates[at].address);
      double cost = candidate_cost (&candidates[at], d);

      if (chosen != NULL && cost >= least)
        continue;
      chosen = d;
      least = cost;
    }
  g_free (order);
  return chosen;
}

void
mq_detour_failed (mq_detour *detour, uint64_t now_us)
{
  detour->avoid_until_us = now_us + AVOID_US;
}
