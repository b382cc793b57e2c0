/* Splitting of JSON text: see mq/json_split.h.  */

#include <mq/json_split.h>

static bool
is_space (char c)
{
  return c == ' ' || c == '\t' || c == '\n' || c == '\r';
}

static void
split_skip_space (mq_json_split *split)
{
  while (split->at < split->end && is_space (*split->at))
    split->at++;
}

/* Skip the string that begins at AT.  Returns its end, or NULL if it has
   none.  */
static const char *
string_end (const char *at, const char *end)
{
  for (at++; at < end; at++)
    {
      if (*at == '"')
        return at + 1;
      if (*at == '\\')
        at++;
    }
  return NULL;
}

/* Skip the object or array that begins at AT.  */
static const char *
nested_end (const char *at, const char *end)
{
  size_t depth = 0;

  while (at != NULL && at < end)
    switch (*at)
      {
      case '"':
        at = string_end (at, end);
        break;
      case '{':
      case '[':
        depth++;
        at++;
        break;
      case '}':
      case ']':
        at++;
        if (--depth == 0)
          return at;
        break;
      default:
        at++;
        break;
      }
  return NULL;
}

static bool
ends_scalar (char c)
{
  return is_space (c) || c == ',' || c == ']' || c == '}';
}

/* Skip the number or word that begins at AT.  */
static const char *
scalar_end (const char *at, const char *end)
{
  const char *start = at;

  while (at < end && !ends_scalar (*at))
    at++;
  return at == start || at == end ? NULL : at;
}

/* Returns the value at the present place in VALUE, and goes on to its end.  */
static bool
split_take_value (mq_json_split *split, mq_span *value)
{
  const char *start;
  const char *end = NULL;

  split_skip_space (split);
  start = split->at;
  if (start < split->end)
    switch (*start)
      {
      case '"':
        end = string_end (start, split->end);
        break;
      case '{':
      case '[':
        end = nested_end (start, split->end);
        break;
      default:
        end = scalar_end (start, split->end);
        break;
      }
  if (end == NULL || end > split->end)
    {
      split->broken = true;
      return false;
    }
  *value = (mq_span){ start, (size_t)(end - start) };
  split->at = end;
  return true;
}

static bool
split_take_char (mq_json_split *split, char c)
{
  split_skip_space (split);
  if (split->at >= split->end || *split->at != c)
    return false;
  split->at++;
  return true;
}

/* Go on to the next value.  Returns false at the end.  */
static bool
split_next (mq_json_split *split)
{
  if (split->broken || split->at == NULL)
    return false;
  if (split_take_char (split, split->close))
    {
      split_skip_space (split);
      split->goes_on = split->at < split->end;
      split->at = NULL;
      return false;
    }
  if (!split->first && !split_take_char (split, ','))
    {
      split->broken = true;
      return false;
    }
  split->first = false;
  return true;
}

static void
split_begin (mq_json_split *split, mq_span text, char open, char close)
{
  *split = (mq_json_split){ .at = text.data,
                            .end = text.data + text.size,
                            .close = close,
                            .first = true };
  split->broken = text.size == 0 || !split_take_char (split, open);
}

void
mq_json_split_object (mq_json_split *split, mq_span text)
{
  split_begin (split, text, '{', '}');
}

void
mq_json_split_array (mq_json_split *split, mq_span text)
{
  split_begin (split, text, '[', ']');
}

bool
mq_json_split_member (mq_json_split *split, mq_span *key, mq_span *value)
{
  if (!split_next (split) || !split_take_value (split, key))
    return false;
  if (key->data[0] != '"' || !split_take_char (split, ':'))
    {
      split->broken = true;
      return false;
    }
  *key = (mq_span){ key->data + 1, key->size - 2 };
  return split_take_value (split, value);
}

bool
mq_json_split_element (mq_json_split *split, mq_span *value)
{
  return split_next (split) && split_take_value (split, value);
}

bool
mq_json_split_is_whole (const mq_json_split *split)
{
  return !split->broken && !split->goes_on && split->at == NULL;
}
