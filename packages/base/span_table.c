/* Hash tables keyed by name: see mq/internal/span_table.h.  */

#include <mq/internal/span_table.h>

static guint
span_key_hash (gconstpointer key)
{
  return (guint)mq_span_hash (*(const mq_span *)key);
}

static gboolean
span_key_equal (gconstpointer a, gconstpointer b)
{
  return mq_span_equal (*(const mq_span *)a, *(const mq_span *)b);
}

GHashTable *
mq_span_table_new (GDestroyNotify free_value)
{
  return g_hash_table_new_full (span_key_hash, span_key_equal, g_free,
                                free_value);
}

void
mq_span_table_add (GHashTable *table, const mq_str *name, gpointer value)
{
  mq_span *key = g_new (mq_span, 1);

  *key = mq_str_span (name);
  g_hash_table_replace (table, key, value);
}

gpointer
mq_span_table_find (GHashTable *table, mq_span name)
{
  return g_hash_table_lookup (table, &name);
}

void
mq_span_table_remove (GHashTable *table, mq_span name)
{
  g_hash_table_remove (table, &name);
}
