/* Internal to packages/: hash tables keyed by name.

   A key is a span whose bytes belong to its value; the table owns only the
   span.  */

#ifndef MQ_INTERNAL_SPAN_TABLE_H
#define MQ_INTERNAL_SPAN_TABLE_H

#include <glib.h>
#include <mq/str.h>

G_BEGIN_DECLS

/* Returns a new table that frees its values with FREE_VALUE, which may be
   NULL.  */
GHashTable *mq_span_table_new (GDestroyNotify free_value);
/* Add VALUE under NAME and free the value that was there, if any.  VALUE must
   keep the bytes of NAME alive.  */
void mq_span_table_add (GHashTable *table, const mq_str *name, gpointer value);
/* Returns the value under NAME, borrowed, or NULL.  */
gpointer mq_span_table_find (GHashTable *table, mq_span name);
/* Remove the value under NAME, if any, and free it.  The bytes of NAME may
   belong to that value.  */
void mq_span_table_remove (GHashTable *table, mq_span name);

G_END_DECLS

#endif
