/* Writing JSON text by hand where a tree would cost too much.  */

#ifndef MQ_JSON_TEXT_H
#define MQ_JSON_TEXT_H

#include <glib.h>
#include <mq/str.h>

G_BEGIN_DECLS

/* Append TEXT, which is UTF-8, to OUT as a JSON string with its quotes.  */
void mq_json_text_string (GString *out, mq_span text);

/* The same without the quotes.  */
void mq_json_text_escape (GString *out, mq_span text);

/* Append "KEY": with a comma before it unless OUT ends in '{' or '['.  KEY
   needs no escape.  */
void mq_json_text_key (GString *out, const char *key);

/* Append a member of an object.  */
void mq_json_text_member (GString *out, const char *key, mq_span value);
void mq_json_text_number (GString *out, const char *key, uint64_t value);
void mq_json_text_bool (GString *out, const char *key, bool value);

G_END_DECLS

#endif
