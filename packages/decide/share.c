/* Fair shares between organisations: see mq/internal/share.h.  */

#include <mq/internal/share.h>
#include <mq/internal/span_table.h>

#include <math.h>

/* How long an ask counts.  */
#define OFFER_FADE_US 2000000.0
/* An organisation that wants less than this, in streams, is forgotten.  */
#define FORGET_BELOW 1e-3

static void
share_free (gpointer data)
{
  mq_share *s = data;

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
share_fade (mq_share *s, uint64_t now_us)
{
  if (now_us > s->offered_us)
    s->offered *= exp (-((double)(now_us - s->offered_us)) / OFFER_FADE_US);
  s->offered_us = MAX (s->offered_us, now_us);
}

/* The streams that it would hold if all its asks were admitted.  */
static double
share_wanted (const mq_share *s)
{
  return MAX (s->offered / OFFER_FADE_US, s->held);
}

static gint
share_compare_wanted (gconstpointer a, gconstpointer b)
{
  const mq_share *x = *(mq_share *const *)a;
  const mq_share *y = *(mq_share *const *)b;
  double left = share_wanted (x) / x->weight;
  double right = share_wanted (y) / y->weight;

  if (left != right)
    return left < right ? -1 : 1;
  return mq_span_compare (mq_str_span (x->organisation),
                          mq_str_span (y->organisation));
}

static gboolean
share_is_idle (gpointer key, gpointer value, gpointer data)
{
  const mq_share *s = value;

  (void)key;
  (void)data;
  return s->held == 0 && share_wanted (s) < FORGET_BELOW;
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
      mq_share *s = value;

      s->weight = config_weight (config, mq_str_span (s->organisation));
    }
}

mq_share *
mq_share_table_get (mq_share_table *table, mq_span organisation,
                    const mq_config *config)
{
  mq_share *s = mq_span_table_find (table->shares, organisation);

  if (s != NULL)
    return s;
  s = g_new0 (mq_share, 1);
  s->organisation = mq_str_new (organisation);
  s->weight = config_weight (config, organisation);
  /* Until the next division, as much as it likes.  */
  s->part = INFINITY;
  mq_span_table_add (table->shares, s->organisation, s);
  return s;
}

void
mq_share_offer (mq_share *share, double stream_us, uint64_t now_us)
{
  share_fade (share, now_us);
  share->offered += stream_us;
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
    share_fade (value, now_us);
  g_hash_table_foreach_remove (table->shares, share_is_idle, NULL);
  g_hash_table_iter_init (&iter, table->shares);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      g_ptr_array_add (all, value);
      weight += ((mq_share *)value)->weight;
    }
  /* Serve those who want least for their weight first: each gets what it
     wants or its part of what is left, whichever is less.  */
  g_ptr_array_sort (all, share_compare_wanted);
  for (guint i = 0; i < all->len; i++)
    {
      mq_share *s = all->pdata[i];
      double part = streams * s->weight / weight;

      s->part = part;
      streams -= MIN (share_wanted (s), part);
      weight -= s->weight;
    }
  g_ptr_array_unref (all);
}
