/* Decodes the body of POST /v1/completions: see completion_body.h.

   Other fields that clients of model services send, such as temperature and
   user, are ignored.  */

#include "completion_body.h"

#include <json-c/json.h>
#include <limits.h>
#include <string.h>

#define MAX_DEPTH 32
#define MAX_TOKENS_LIMIT INT64_C (1048576)
#define MAX_PRIORITY 9

static json_object *
text_parse (mq_span text)
{
  struct json_tokener *tokener = json_tokener_new_ex (MAX_DEPTH);
  json_object *root = NULL;

  if (text.size == 0 || text.size > INT_MAX)
    goto out;
  json_tokener_set_flags (tokener,
                          JSON_TOKENER_STRICT | JSON_TOKENER_VALIDATE_UTF8);
  root = json_tokener_parse_ex (tokener, text.data, (int)text.size);
  if (root != NULL && json_tokener_get_parse_end (tokener) < text.size)
    {
      /* Only white space may follow the document.  */
      size_t end = json_tokener_get_parse_end (tokener);

      while (end < text.size && g_ascii_isspace (text.data[end]))
        end++;
      if (end < text.size)
        g_clear_pointer (&root, json_object_put);
    }
out:
  json_tokener_free (tokener);
  return root;
}

/* Returns true and sets *MEMBER if KEY is present and not null.  */
static bool
member_get (json_object *root, const char *key, json_object **member)
{
  return json_object_object_get_ex (root, key, member) && *member != NULL;
}

static mq_str *
member_str (json_object *root, const char *key)
{
  json_object *m;

  if (!member_get (root, key, &m)
      || !json_object_is_type (m, json_type_string))
    return NULL;
  return mq_str_new ((mq_span){ json_object_get_string (m),
                                (size_t)json_object_get_string_len (m) });
}

/* Sets *VALUE if KEY is a whole number in [MIN, MAX].  Returns 0, also when
   KEY is missing; or -1 for any other value.  */
static int
member_int (json_object *root, const char *key, int64_t min, int64_t max,
            int64_t *value)
{
  json_object *m;

  if (!member_get (root, key, &m))
    return 0;
  if (!json_object_is_type (m, json_type_int))
    return -1;
  *value = json_object_get_int64 (m);
  return *value < min || *value > max ? -1 : 0;
}

static int
member_bool (json_object *root, const char *key, bool *value)
{
  json_object *m;

  if (!member_get (root, key, &m))
    return 0;
  if (!json_object_is_type (m, json_type_boolean))
    return -1;
  *value = json_object_get_boolean (m);
  return 0;
}

static const char *
root_read (json_object *root, mq_completion_body *body)
{
  int64_t max_tokens = 0;
  int64_t priority = -1;
  int64_t choices = 1;

  if (!json_object_is_type (root, json_type_object))
    return "body: expected a JSON object";
  body->model = member_str (root, "model");
  if (body->model == NULL || body->model->size == 0)
    return "model: expected a string that is not empty";
  body->prompt = member_str (root, "prompt");
  if (body->prompt == NULL || body->prompt->size == 0)
    return "prompt: expected a string that is not empty";
  if (member_int (root, "max_tokens", 1, MAX_TOKENS_LIMIT, &max_tokens) < 0)
    return "max_tokens: expected a whole number of at least 1";
  if (member_int (root, "priority", 0, MAX_PRIORITY, &priority) < 0)
    return "priority: expected a whole number from 0 to 9";
  if (member_int (root, "n", 1, 1, &choices) < 0)
    return "n: expected 1";
  if (member_bool (root, "stream", &body->stream) < 0)
    return "stream: expected true or false";
  body->max_tokens = (uint32_t)max_tokens;
  body->priority = (int32_t)priority;
  return NULL;
}

const char *
mq_completion_body_read (mq_completion_body *body, mq_span text)
{
  json_object *root = text_parse (text);
  const char *error;

  memset (body, 0, sizeof *body);
  if (root == NULL)
    return "body: expected one JSON document in UTF-8";
  error = root_read (root, body);
  json_object_put (root);
  if (error != NULL)
    mq_completion_body_finish (body);
  return error;
}

void
mq_completion_body_finish (mq_completion_body *body)
{
  mq_str_unref (body->model);
  mq_str_unref (body->prompt);
  memset (body, 0, sizeof *body);
}
