/* Where in a file each value stands: see mq/internal/json_places.h.

   Invariant: the walk never leaves the text, whatever it holds; it only
   finds the right places when json-c has accepted the text.  */

#include <mq/internal/json_places.h>

#include <string.h>

/* json-c refuses what is nested deeper than this by default.  */
#define DEPTH_LIMIT 32

/* What json-c takes outside strings and JSON does not: strings in single
   quotes, NaN, Infinity.  */
#define NOT_JSON "'NI"

typedef struct places_level
{
  bool array;
  size_t index;    /* Of the element now read.  */
  size_t path_len; /* Of the path of the container itself.  */
} places_level;

typedef struct places_walk
{
  mq_span text;
  size_t at;
  unsigned line;
  GString *path; /* Of the value now read.  */
  GHashTable *places;
  places_level levels[DEPTH_LIMIT + 1];
  unsigned depth;
  char *fault;
} places_walk;

/* The offset just past the string that opens at START.  */
static size_t
places_string_end (mq_span text, size_t start)
{
  size_t i = start + 1;

  while (i < text.size && text.data[i] != '"')
    i += text.data[i] == '\\' ? 2 : 1;
  return i < text.size ? i + 1 : text.size;
}

static void
places_skip_blanks (places_walk *w)
{
  while (w->at < w->text.size && strchr (" \t\r\n", w->text.data[w->at]))
    {
      if (w->text.data[w->at] == '\n')
        w->line++;
      w->at++;
    }
}

/* Set the path to that of the element now read.  */
static void
places_enter_element (places_walk *w)
{
  places_level *l = &w->levels[w->depth];

  g_string_truncate (w->path, l->path_len);
  g_string_append_printf (w->path, "[%zu]", l->index);
}

/* Set the path to that of the member whose key is KEY.  */
static void
places_enter_member (places_walk *w, mq_span key)
{
  places_level *l = &w->levels[w->depth];

  g_string_truncate (w->path, l->path_len);
  if (w->path->len > 0)
    g_string_append_c (w->path, '.');
  g_string_append_len (w->path, key.data, (gssize)key.size);
}

static bool
places_key_allowed (mq_span key)
{
  for (size_t i = 0; i < key.size; i++)
    if (strchr (".[\\", key.data[i]))
      return false;
  return key.size > 0;
}

/* Note the place of the value now read.  */
static void
places_note (places_walk *w)
{
  g_hash_table_insert (w->places, g_strdup (w->path->str),
                       GUINT_TO_POINTER (w->line));
}

static void
places_read_key (places_walk *w)
{
  size_t end = places_string_end (w->text, w->at);
  mq_span key = { w->text.data + w->at + 1, end - w->at - 2 };

  if (end < w->at + 2)
    key.size = 0;
  w->at = end;
  if (!places_key_allowed (key))
    {
      w->fault = g_strdup_printf (
          "bad key \"%.*s\", expected one without '.', '[' and escapes",
          MQ_SPAN_ARG (key));
      return;
    }
  places_enter_member (w, key);
  if (g_hash_table_contains (w->places, w->path->str))
    w->fault = g_strdup_printf ("%s stands twice", w->path->str);
  places_note (w);
}

static void
places_open (places_walk *w, bool array)
{
  if (w->depth >= DEPTH_LIMIT)
    {
      w->fault = g_strdup ("nested too deep");
      return;
    }
  w->depth++;
  w->levels[w->depth]
      = (places_level){ .array = array, .path_len = w->path->len };
  if (array)
    places_enter_element (w);
}

static void
places_step (places_walk *w, bool *want_key)
{
  char c = w->text.data[w->at];

  if (strchr (NOT_JSON, c))
    {
      w->fault = g_strdup_printf ("unexpected %c", c);
      return;
    }
  if (c == '"' && *want_key)
    {
      places_read_key (w);
      *want_key = false;
      return;
    }
  if (w->depth > 0 && w->levels[w->depth].array && !strchr (",]}:", c))
    places_note (w);
  if (c == '"')
    {
      w->at = places_string_end (w->text, w->at);
      return;
    }
  w->at++;
  if (c == '{' || c == '[')
    {
      places_open (w, c == '[');
      *want_key = c == '{';
    }
  else if ((c == '}' || c == ']') && w->depth > 0)
    {
      g_string_truncate (w->path, w->levels[w->depth].path_len);
      w->depth--;
      *want_key = false;
    }
  else if (c == ',' && w->depth > 0)
    {
      *want_key = !w->levels[w->depth].array;
      if (w->levels[w->depth].array)
        {
          w->levels[w->depth].index++;
          places_enter_element (w);
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
          i = places_string_end ((mq_span){ text, size }, i);
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
mq_json_places (mq_span text, char **fault, unsigned *line)
{
  places_walk w = { .text = text, .line = 1 };
  bool want_key = false;

  w.path = g_string_new (NULL);
  w.places = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  places_skip_blanks (&w);
  places_note (&w);
  while (w.at < text.size && w.fault == NULL)
    {
      places_step (&w, &want_key);
      places_skip_blanks (&w);
    }
  g_string_free (w.path, TRUE);
  if (w.fault != NULL)
    {
      g_hash_table_unref (w.places);
      *fault = w.fault;
      *line = w.line;
      return NULL;
    }
  return w.places;
}
