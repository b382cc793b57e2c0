/* Writes JSON text directly, where building a tree of values would cost too
   much.

   The caller writes the brackets and braces.  OUT is owned by the caller.  */

#ifndef MQ_JSON_TEXT_H
#define MQ_JSON_TEXT_H

#include <glib.h>
#include <mq/str.h>

G_BEGIN_DECLS

/* Append TEXT, which must be UTF-8, to OUT as a quoted JSON string.  */
void mq_json_text_string (GString *out, mq_span text);

/* Append TEXT, which must be UTF-8, to OUT with JSON escapes and without the
   quotes.  */
void mq_json_text_escape (GString *out, mq_span text);

/* Append "KEY": to OUT, with a comma before it unless OUT is empty or ends in
   '{' or '['.  KEY is written as it is and must not need escapes.  */
void mq_json_text_key (GString *out, const char *key);

/* Append the member KEY of an object with VALUE to OUT.  KEY must not need
   escapes.  */
void mq_json_text_member (GString *out, const char *key, mq_span value);
void mq_json_text_number (GString *out, const char *key, uint64_t value);
void mq_json_text_bool (GString *out, const char *key, bool value);

G_END_DECLS

#endif
