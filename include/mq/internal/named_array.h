/* Internal to packages/: arrays sorted by name.

   An element is a struct whose first member is its name, an mq_str *.
   Invariant: names are unique within an array.  */

#ifndef MQ_INTERNAL_NAMED_ARRAY_H
#define MQ_INTERNAL_NAMED_ARRAY_H

#include <glib.h>
#include <mq/str.h>

G_BEGIN_DECLS

/* Returns the index of NAME in ARRAY and sets *FOUND to true; if NAME is not
   there, returns the index at which to insert it and sets *FOUND to false.
   ELEMENT_SIZE is the size of an element in bytes.  */
guint mq_named_array_position (const GArray *array, gsize element_size,
                               mq_span name, bool *found);

G_END_DECLS

#endif
