/* Reads JSON objects that other processes send.

   A message that was cut, that another one follows or that gives a key two
   values is no message: none of its statements may be relied on.  For files of
   operators see mq/json.h, which allows comments and names the place of a
   fault.  */

#ifndef MQ_JSON_MESSAGE_H
#define MQ_JSON_MESSAGE_H

#include <glib.h>
#include <json-c/json.h>
#include <mq/str.h>
#include <stdbool.h>

G_BEGIN_DECLS

/* Parses TEXT, which must be one object and white space around it, without a
   key that occurs twice in an object.  Returns a new reference, or NULL if it
   is anything else.  */
struct json_object *mq_json_message_parse (mq_span text);

/* Get the member KEY of MESSAGE.  Returns false and leaves *VALUE as it is if
   KEY is missing or its value is of another type or out of range.  */
bool mq_json_message_u64 (struct json_object *message, const char *key,
                          uint64_t *value);
bool mq_json_message_u32 (struct json_object *message, const char *key,
                          uint32_t *value);
bool mq_json_message_bool (struct json_object *message, const char *key,
                           bool *value);
/* The span is borrowed from MESSAGE.  */
bool mq_json_message_span (struct json_object *message, const char *key,
                           mq_span *value);

G_END_DECLS

#endif
