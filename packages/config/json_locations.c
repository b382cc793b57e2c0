/* Lines of the values in a JSON file: see mq/internal/json_locations.h.

   Invariant: the scan never reads beyond the text, whatever its content; its
   results are only right if json-c has accepted the text.  */

#include <mq/internal/json_locations.h>

#include <string.h>

/* The default nesting limit of json-c.  */
#define MAX_DEPTH 32

/* First characters of values that json-c accepts and JSON does not: strings in
   single quotes, NaN and Infinity.  */
#define JSON_C_EXTENSIONS "'NI"

typedef struct location_level
{
  bool array;
  size_t index;    /* Of the current element, in an array.  */
  size_t path_len; /* Bytes of the path of the container.  */
} location_level;

typedef struct location_walk
{
  mq_span text;
  size_t at;
  unsigned line;
  GString *path;     /* Of the current value.  */
  GHashTable *lines; /* Path to line.  */
  location_level levels[MAX_DEPTH + 1];
  unsigned depth;
  char *fault;
} location_walk;

/* Returns the offset just after the string whose opening quote is at START. */
static size_t
location_string_end (mq_span text, size_t start)
{
  size_t i = start + 1;

  while (i < text.size && text.data[i] != '"')
    i += text.data[i] == '\\' ? 2 : 1;
  return i < text.size ? i + 1 : text.size;
}

static void
location_skip_whitespace (location_walk *w)
{
  while (w->at < w->text.size && strchr (" \t\r\n", w->text.data[w->at]))
    {
      if (w->text.data[w->at] == '\n')
        w->line++;
      w->at++;
    }
}

/* Set the path to that of the current element.  */
static void
location_enter_element (location_walk *w)
{
  location_level *l = &w->levels[w->depth];

  g_string_truncate (w->path, l->path_len);
  g_string_append_printf (w->path, "[%zu]", l->index);
}

/* Set the path to that of the member KEY.  */
static void
location_enter_member (location_walk *w, mq_span key)
{
  location_level *l = &w->levels[w->depth];

  g_string_truncate (w->path, l->path_len);
  if (w->path->len > 0)
    g_string_append_c (w->path, '.');
  g_string_append_len (w->path, key.data, (gssize)key.size);
}

static bool
location_key_is_valid (mq_span key)
{
  for (size_t i = 0; i < key.size; i++)
    if (strchr (".[\\", key.data[i]))
      return false;
  return key.size > 0;
}

/* Record the line of the current value.  */
static void
location_record (location_walk *w)
{
  g_hash_table_insert (w->lines, g_strdup (w->path->str),
                       GUINT_TO_POINTER (w->line));
}

static void
location_read_key (location_walk *w)
{
  size_t end = location_string_end (w->text, w->at);
  mq_span key = { w->text.data + w->at + 1, end - w->at - 2 };

  if (end < w->at + 2)
    key.size = 0;
  w->at = end;
  if (!location_key_is_valid (key))
    {
      w->fault = g_strdup_printf (
          "invalid key \"%.*s\", expected no '.', '[' or escapes",
          MQ_SPAN_ARG (key));
      return;
    }
  location_enter_member (w, key);
  if (g_hash_table_contains (w->lines, w->path->str))
    w->fault = g_strdup_printf ("duplicate key %s", w->path->str);
  location_record (w);
}

static void
location_open (location_walk *w, bool array)
{
  if (w->depth >= MAX_DEPTH)
    {
      w->fault = g_strdup (
          "nested more than " G_STRINGIFY (MAX_DEPTH) " levels deep");
      return;
    }
  w->depth++;
  w->levels[w->depth]
      = (location_level){ .array = array, .path_len = w->path->len };
  if (array)
    location_enter_element (w);
}

static void
location_step (location_walk *w, bool *expects_key)
{
  char c = w->text.data[w->at];

  if (strchr (JSON_C_EXTENSIONS, c))
    {
      w->fault = g_strdup_printf ("unexpected character '%c'", c);
      return;
    }
  if (c == '"' && *expects_key)
    {
      location_read_key (w);
      *expects_key = false;
      return;
    }
  if (w->depth > 0 && w->levels[w->depth].array && !strchr (",]}:", c))
    location_record (w);
  if (c == '"')
    {
      w->at = location_string_end (w->text, w->at);
      return;
    }
  w->at++;
  if (c == '{' || c == '[')
    {
      location_open (w, c == '[');
      *expects_key = c == '{';
    }
  else if ((c == '}' || c == ']') && w->depth > 0)
    {
      g_string_truncate (w->path, w->levels[w->depth].path_len);
      w->depth--;
      *expects_key = false;
    }
  else if (c == ',' && w->depth > 0)
    {
      *expects_key = !w->levels[w->depth].array;
      if (w->levels[w->depth].array)
        {
          w->levels[w->depth].index++;
          location_enter_element (w);
        }
    }
}

size_t
mq_json_blank_comments (char *text, size_t size)
{
  size_t i = 0;

  while (i + 1 < size)
    {
      char *end;
      size_t stop;

      if (text[i] == '"')
        {
          i = location_string_end ((mq_span){ text, size }, i);
          continue;
        }
      if (text[i] != '/' || (text[i + 1] != '/' && text[i + 1] != '*'))
        {
          i++;
          continue;
        }
      if (text[i + 1] == '/')
        {
          end = memchr (text + i, '\n', size - i);
          stop = end ? (size_t)(end - text) : size;
        }
      else
        {
          end = memmem (text + i + 2, size - i - 2, "*/", 2);
          if (end == NULL)
            return i;
          stop = (size_t)(end - text) + 2;
        }
      for (; i < stop; i++)
        if (text[i] != '\n')
          text[i] = ' ';
    }
  return size;
}

unsigned
mq_json_line_at (mq_span text, size_t offset)
{
  unsigned line = 1;

  for (size_t i = 0; i < offset && i < text.size; i++)
    if (text.data[i] == '\n')
      line++;
  return line;
}

GHashTable *
mq_json_locations (mq_span text, char **fault, unsigned *line)
{
  location_walk w = { .text = text, .line = 1 };
  bool expects_key = false;

  w.path = g_string_new (NULL);
  w.lines = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  location_skip_whitespace (&w);
  location_record (&w);
  while (w.at < text.size && w.fault == NULL)
    {
      location_step (&w, &expects_key);
      location_skip_whitespace (&w);
    }
  g_string_free (w.path, TRUE);
  if (w.fault != NULL)
    {
      g_hash_table_unref (w.lines);
      *fault = w.fault;
      *line = w.line;
      return NULL;
    }
  return w.lines;
}
