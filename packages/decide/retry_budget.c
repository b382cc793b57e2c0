/* Retry budgets and back-off: see mq/internal/retry_budget.h.  */

#include <mq/internal/retry_budget.h>

struct mq_retry_budget
{
  double burst;
  GHashTable *buckets; /* Name (mq_str) to double, both owned.  */
};

static guint
budget_hash (gconstpointer key)
{
  return (guint)mq_span_hash (mq_str_span (key));
}

static gboolean
budget_equal (gconstpointer a, gconstpointer b)
{
  return mq_span_equal (mq_str_span (a), mq_str_span (b));
}

static void
budget_name_free (gpointer name)
{
  mq_str_unref (name);
}

/* Returns the bucket of NAME, borrowed; a new bucket is full.  */
static double *
budget_bucket (mq_retry_budget *budget, mq_span name)
{
  mq_str *key = mq_str_new (name);
  double *bucket = g_hash_table_lookup (budget->buckets, key);

  if (bucket != NULL)
    {
      mq_str_unref (key);
      return bucket;
    }
  bucket = g_new (double, 1);
  *bucket = budget->burst;
  g_hash_table_insert (budget->buckets, key, bucket);
  return bucket;
}

mq_retry_budget *
mq_retry_budget_new (double burst)
{
  mq_retry_budget *b = g_new0 (mq_retry_budget, 1);

  b->burst = burst;
  b->buckets = g_hash_table_new_full (budget_hash, budget_equal,
                                      budget_name_free, g_free);
  return b;
}

void
mq_retry_budget_free (mq_retry_budget *budget)
{
  if (budget == NULL)
    return;
  g_hash_table_unref (budget->buckets);
  g_free (budget);
}

void
mq_retry_budget_deposit (mq_retry_budget *budget, mq_span name,
                         uint32_t percent)
{
  double *bucket = budget_bucket (budget, name);

  *bucket = MIN (*bucket + percent / 100.0, budget->burst);
}

bool
mq_retry_budget_is_available (mq_retry_budget *budget, mq_span name)
{
  return *budget_bucket (budget, name) >= 1;
}

void
mq_retry_budget_withdraw (mq_retry_budget *budget, mq_span name)
{
  double *bucket = budget_bucket (budget, name);

  *bucket = MAX (*bucket - 1, 0);
}

void
mq_retry_budget_prune (mq_retry_budget *budget,
                       bool (*known) (mq_span name, const void *context),
                       const void *context)
{
  GHashTableIter iter;
  gpointer name;

  g_hash_table_iter_init (&iter, budget->buckets);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    if (!known (mq_str_span (name), context))
      g_hash_table_iter_remove (&iter);
}

uint64_t
mq_random_next (uint64_t *state)
{
  *state += 0x9e3779b97f4a7c15U;
  return mq_hash_mix (*state, 0xbf58476d1ce4e5b9U);
}

uint64_t
mq_backoff_us (uint64_t *state, uint32_t n, uint64_t base_us, uint64_t cap_us)
{
  uint64_t max_us = base_us << MIN (n, 20);

  return mq_random_next (state) % (MIN (max_us, cap_us) + 1);
}
