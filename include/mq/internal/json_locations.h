/* Internal to packages/config: where in a file each value stands.

   json-c reads the values but forgets their places and lets a key stand
   twice.  These two functions walk the text a second time to make up for
   that; they rely on json-c having accepted it.  */

#ifndef MQ_INTERNAL_JSON_LOCATIONS_H
#define MQ_INTERNAL_JSON_LOCATIONS_H

#include <glib.h>
#include <mq/str.h>

G_BEGIN_DECLS

/* Overwrite comments in the SIZE bytes at TEXT with blanks, keeping line
   ends, so that offsets stay true.  Returns the offset of a comment that
   never ends, or SIZE.  */
size_t mq_json_blank_comments (char *text, size_t size);

/* The line, from 1, at OFFSET.  */
unsigned mq_json_line_at (mq_span text, size_t offset);

/* A new table from the path of each value in TEXT, which json-c has accepted,
   to its line (GUINT_TO_POINTER).  NULL when a key stands twice in one
   object or holds what a key may not; then *FAULT says so (free it with
   g_free) and *LINE where.  */
GHashTable *mq_json_locations (mq_span text, char **fault, unsigned *line);

G_END_DECLS

#endif
