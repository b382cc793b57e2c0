/* Small JSON bodies that upstreams answer with.  Every getter gives 0, false
   or the empty span for what is missing or of another type.  Internal to this
   program.  */

#ifndef MQ_JSON_BODY_H
#define MQ_JSON_BODY_H

#include <json-c/json.h>
#include <mq/str.h>

/* BODY as JSON: a new reference, or NULL.  */
json_object *mq_json_body_parse (mq_span body);

uint64_t mq_json_body_u64 (json_object *root, const char *key);
uint32_t mq_json_body_u32 (json_object *root, const char *key);
bool mq_json_body_bool (json_object *root, const char *key);
/* Borrowed from ROOT.  */
mq_span mq_json_body_span (json_object *root, const char *key);

#endif
