/* Internal to packages/: arrays sorted by name.

   An element is a struct whose first member is its name, an mq_str *.  Each
   name stands once.  */

#ifndef MQ_INTERNAL_NAMED_ARRAY_H
#define MQ_INTERNAL_NAMED_ARRAY_H

#include <glib.h>
#include <mq/str.h>

G_BEGIN_DECLS

/* The index of NAME in ARRAY, with *FOUND true, or where it would stand.
   ELEMENT_SIZE is the sizeof of its elements.  */
guint mq_named_array_position (const GArray *array, gsize element_size,
                               mq_span name, bool *found);

G_END_DECLS

#endif
