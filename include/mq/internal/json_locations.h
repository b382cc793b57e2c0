/* Internal to packages/config: the line of each value in a JSON file.

   json-c parses the values but does not keep their lines and accepts duplicate
   keys.  These functions scan the text a second time for that purpose and rely
   on json-c having accepted it.  */

#ifndef MQ_INTERNAL_JSON_LOCATIONS_H
#define MQ_INTERNAL_JSON_LOCATIONS_H

#include <glib.h>
#include <mq/str.h>

G_BEGIN_DECLS

/* Overwrite the comments in the SIZE bytes at TEXT with blanks and keep line
   ends, so that offsets and lines stay valid.  Returns the offset of an
   unterminated comment, or SIZE if there is none.  */
size_t mq_json_blank_comments (char *text, size_t size);

/* Returns the line, counted from 1, of the byte at OFFSET.  */
unsigned mq_json_line_at (mq_span text, size_t offset);

/* Returns a new table from the path of each value in TEXT, which json-c has
   accepted, to its line (GUINT_TO_POINTER).  Returns NULL if a key is
   duplicate or invalid, if TEXT is nested too deep, or if it uses an extension
   of json-c to JSON; *FAULT is then the message, to be freed with g_free, and
   *LINE its line.  */
GHashTable *mq_json_locations (mq_span text, char **fault, unsigned *line);

G_END_DECLS

#endif
