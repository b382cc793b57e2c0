/* Fair shares between organisations: see mq/internal/share.h.  */

#include <mq/internal/share.h>
#include <mq/internal/span_table.h>

#include <math.h>

/* Time constant of the decay of the demand.  */
#define DEMAND_DECAY_US 2000000.0
/* An organisation whose demand is below this many streams is removed.  */
#define MIN_KEPT_STREAMS 1e-3

static void
share_free (gpointer data)
{
  mq_fair_share *s = data;

  mq_str_unref (s->organisation);
  g_free (s);
}

static double
config_weight (const mq_config *config, mq_span organisation)
{
  const mq_organisation *o = mq_config_organisation (config, organisation);

  return o != NULL ? MAX (o->weight, 1) : 1;
}

static void
share_decay (mq_fair_share *s, uint64_t now_us)
{
  if (now_us > s->decayed_us)
    s->demand_us
        *= exp (-((double)(now_us - s->decayed_us)) / DEMAND_DECAY_US);
  s->decayed_us = MAX (s->decayed_us, now_us);
}

/* Returns the streams that it would hold if all its requests were admitted. */
static double
share_demand (const mq_fair_share *s)
{
  return MAX (s->demand_us / DEMAND_DECAY_US, s->held);
}

static gint
share_compare_demand (gconstpointer a, gconstpointer b)
{
  const mq_fair_share *x = *(mq_fair_share *const *)a;
  const mq_fair_share *y = *(mq_fair_share *const *)b;
  double left = share_demand (x) / x->weight;
  double right = share_demand (y) / y->weight;

  if (left != right)
    return left < right ? -1 : 1;
  return mq_span_compare (mq_str_span (x->organisation),
                          mq_str_span (y->organisation));
}

static gboolean
share_is_idle (gpointer key, gpointer value, gpointer data)
{
  const mq_fair_share *s = value;

  (void)key;
  (void)data;
  return s->held == 0 && share_demand (s) < MIN_KEPT_STREAMS;
}

void
mq_share_table_init (mq_share_table *table)
{
  table->shares = mq_span_table_new (share_free);
}

void
mq_share_table_finish (mq_share_table *table)
{
  g_hash_table_unref (table->shares);
}

void
mq_share_table_configure (mq_share_table *table, const mq_config *config)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, table->shares);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      mq_fair_share *s = value;

      s->weight = config_weight (config, mq_str_span (s->organisation));
    }
}

mq_fair_share *
mq_share_table_get (mq_share_table *table, mq_span organisation,
                    const mq_config *config)
{
  mq_fair_share *s = mq_span_table_find (table->shares, organisation);

  if (s != NULL)
    return s;
  s = g_new0 (mq_fair_share, 1);
  s->organisation = mq_str_new (organisation);
  s->weight = config_weight (config, organisation);
  /* Unlimited until the next division.  */
  s->fair_streams = INFINITY;
  mq_span_table_add (table->shares, s->organisation, s);
  return s;
}

void
mq_share_add_demand (mq_fair_share *share, double stream_us, uint64_t now_us)
{
  share_decay (share, now_us);
  share->demand_us += stream_us;
}

void
mq_share_table_divide (mq_share_table *table, double streams, uint64_t now_us)
{
  GPtrArray *all = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;
  double weight = 0;

  g_hash_table_iter_init (&iter, table->shares);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    share_decay (value, now_us);
  g_hash_table_foreach_remove (table->shares, share_is_idle, NULL);
  g_hash_table_iter_init (&iter, table->shares);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      g_ptr_array_add (all, value);
      weight += ((mq_fair_share *)value)->weight;
    }
  /* In ascending order of demand by weight: each gets its demand or its part
     of the rest, whichever is less.  */
  g_ptr_array_sort (all, share_compare_demand);
  for (guint i = 0; i < all->len; i++)
    {
      mq_fair_share *s = all->pdata[i];
      double fair_streams = streams * s->weight / weight;

      s->fair_streams = fair_streams;
      streams -= MIN (share_demand (s), fair_streams);
      weight -= s->weight;
    }
  g_ptr_array_unref (all);
}
