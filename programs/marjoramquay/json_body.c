/* Reads small JSON bodies: see json_body.h.  */

#include "json_body.h"

#include <limits.h>

json_object *
mq_json_body_parse (mq_span body)
{
  struct json_tokener *tokener;
  json_object *root;

  if (body.size == 0 || body.size > INT_MAX)
    return NULL;
  tokener = json_tokener_new ();
  root = json_tokener_parse_ex (tokener, body.data, (int)body.size);
  json_tokener_free (tokener);
  return root;
}

uint64_t
mq_json_body_u64 (json_object *root, const char *key)
{
  json_object *m;
  int64_t n;

  if (!json_object_object_get_ex (root, key, &m)
      || !json_object_is_type (m, json_type_int))
    return 0;
  n = json_object_get_int64 (m);
  return n < 0 ? 0 : (uint64_t)n;
}

uint32_t
mq_json_body_u32 (json_object *root, const char *key)
{
  uint64_t n = mq_json_body_u64 (root, key);

  return n > UINT32_MAX ? UINT32_MAX : (uint32_t)n;
}

bool
mq_json_body_bool (json_object *root, const char *key)
{
  json_object *m;

  return json_object_object_get_ex (root, key, &m)
         && json_object_is_type (m, json_type_boolean)
         && json_object_get_boolean (m);
}

mq_span
mq_json_body_span (json_object *root, const char *key)
{
  json_object *m;

  if (!json_object_object_get_ex (root, key, &m)
      || !json_object_is_type (m, json_type_string))
    return (mq_span){ NULL, 0 };
  return (mq_span){ json_object_get_string (m),
                    (size_t)json_object_get_string_len (m) };
}
