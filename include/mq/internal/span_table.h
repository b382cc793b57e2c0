/* Internal to packages/: hash tables keyed by name.

   A key is a span that its value owns the bytes of; the table owns a copy of
   the span itself.  */

#ifndef MQ_INTERNAL_SPAN_TABLE_H
#define MQ_INTERNAL_SPAN_TABLE_H

#include <glib.h>
#include <mq/str.h>

G_BEGIN_DECLS

/* A new table that frees its values by FREE_VALUE, which may be NULL.  */
GHashTable *mq_span_table_new (GDestroyNotify free_value);
/* Add VALUE under NAME, whose bytes VALUE keeps alive.  */
void mq_span_table_add (GHashTable *table, const mq_str *name, gpointer value);
/* The value under NAME, borrowed, or NULL.  */
gpointer mq_span_table_find (GHashTable *table, mq_span name);
/* Remove what is under NAME, if anything, and free its value.  The bytes of
   NAME may be that value's own.  */
void mq_span_table_remove (GHashTable *table, mq_span name);

G_END_DECLS

#endif
