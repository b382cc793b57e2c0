/* JSON objects from other processes: see mq/json_message.h.

   json-c keeps the last of several values of a key.  Each member of an object
   has one colon outside strings, so a text with more colons than its objects
   have members has a key twice.  */

#include <mq/json_message.h>

#include <limits.h>
#include <string.h>

/* Sets *N to the number of colons outside strings in TEXT, which json-c
   accepts.  Returns false if it has strings in single quotes, which json-c
   accepts, too.  */
static bool
text_count_members (mq_span text, size_t *n)
{
  bool in_string = false;

  *n = 0;
  for (size_t i = 0; i < text.size; i++)
    switch (text.data[i])
      {
      case '"':
        in_string = !in_string;
        break;
      case '\\':
        i++;
        break;
      case ':':
        *n += !in_string;
        break;
      case '\'':
        if (!in_string)
          return false;
        break;
      default:
        break;
      }
  return true;
}

/* Returns the number of members of all objects in VALUE.  The parser limits
   its depth.  */
static size_t
value_count_members (struct json_object *value)
{
  size_t n = 0;

  if (json_object_is_type (value, json_type_object))
    {
      json_object_object_foreach (value, key, member)
      {
        (void)key;
        n += 1 + value_count_members (member);
      }
    }
  else if (json_object_is_type (value, json_type_array))
    for (size_t i = 0; i < json_object_array_length (value); i++)
      n += value_count_members (json_object_array_get_idx (value, i));
  return n;
}

struct json_object *
mq_json_message_parse (mq_span text)
{
  struct json_tokener *tokener;
  struct json_object *root;
  size_t n;

  /* json-c takes a null character for the end of the text.  */
  if (text.size == 0 || text.size > INT_MAX
      || memchr (text.data, '\0', text.size) != NULL)
    return NULL;
  tokener = json_tokener_new ();
  json_tokener_set_flags (tokener,
                          JSON_TOKENER_STRICT | JSON_TOKENER_VALIDATE_UTF8);
  root = json_tokener_parse_ex (tokener, text.data, (int)text.size);
  json_tokener_free (tokener);
  if (json_object_is_type (root, json_type_object)
      && text_count_members (text, &n) && n == value_count_members (root))
    return root;
  json_object_put (root);
  return NULL;
}

bool
mq_json_message_u64 (struct json_object *message, const char *key,
                     uint64_t *value)
{
  struct json_object *m;

  if (!json_object_object_get_ex (message, key, &m)
      || !json_object_is_type (m, json_type_int)
      || json_object_get_int64 (m) < 0)
    return false;
  *value = json_object_get_uint64 (m);
  return true;
}

bool
mq_json_message_u32 (struct json_object *message, const char *key,
                     uint32_t *value)
{
  uint64_t n;

  if (!mq_json_message_u64 (message, key, &n) || n > UINT32_MAX)
    return false;
  *value = (uint32_t)n;
  return true;
}

bool
mq_json_message_bool (struct json_object *message, const char *key,
                      bool *value)
{
  struct json_object *m;

  if (!json_object_object_get_ex (message, key, &m)
      || !json_object_is_type (m, json_type_boolean))
    return false;
  *value = json_object_get_boolean (m);
  return true;
}

bool
mq_json_message_span (struct json_object *message, const char *key,
                      mq_span *value)
{
  struct json_object *m;

  if (!json_object_object_get_ex (message, key, &m)
      || !json_object_is_type (m, json_type_string))
    return false;
  *value = (mq_span){ json_object_get_string (m),
                      (size_t)json_object_get_string_len (m) };
  return true;
}
