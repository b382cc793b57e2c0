/* Reads small JSON bodies of upstreams' responses.

   Every getter returns 0, false or the empty span when the key is missing or
   its value has another type.  Internal to this program.  */

#ifndef MQ_JSON_BODY_H
#define MQ_JSON_BODY_H

#include <json-c/json.h>
#include <mq/str.h>

/* Parses BODY.  Returns a new reference, or NULL when BODY is not JSON.  */
json_object *mq_json_body_parse (mq_span body);

uint64_t mq_json_body_u64 (json_object *root, const char *key);
uint32_t mq_json_body_u32 (json_object *root, const char *key);
bool mq_json_body_bool (json_object *root, const char *key);
/* The span is borrowed from ROOT.  */
mq_span mq_json_body_span (json_object *root, const char *key);

#endif
