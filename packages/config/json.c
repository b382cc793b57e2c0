/* Typed reader of JSON with comments: see mq/json.h.

   Invariants: the root of a document is never NULL; its sources are in the
   order of their merging, so that the last source that holds a path gave its
   value.  */

#include <mq/json.h>

#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <math.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <mq/internal/json_locations.h>

#define EXPECTED_TEXT_BYTES 96

typedef struct json_source
{
  mq_str *file;
  mq_str *text;      /* Includes the comments.  */
  GHashTable *lines; /* Path to line; NULL until it is needed.  */
} json_source;

struct mq_json_doc
{
  struct json_object *root; /* Owned.  */
  GArray *sources;          /* of json_source  */
  GHashTable *known_keys;   /* Object to a GPtrArray of borrowed keys.  */
  GPtrArray *faults;        /* of char *  */
  unsigned fault_count;     /* Includes faults that are not in FAULTS.  */
  bool partial;
};

G_DEFINE_QUARK (mq - json - error - quark, mq_json_error)

static void
json_source_clear (gpointer data)
{
  json_source *s = data;

  mq_str_unref (s->file);
  mq_str_unref (s->text);
  g_clear_pointer (&s->lines, g_hash_table_unref);
}

static mq_json_doc *
json_doc_new (struct json_object *root)
{
  mq_json_doc *doc = g_new0 (mq_json_doc, 1);

  doc->root = root;
  doc->sources = g_array_new (FALSE, FALSE, sizeof (json_source));
  g_array_set_clear_func (doc->sources, json_source_clear);
  doc->known_keys = g_hash_table_new_full (NULL, NULL, NULL,
                                           (GDestroyNotify)g_ptr_array_unref);
  doc->faults = g_ptr_array_new_with_free_func (g_free);
  return doc;
}

/* Returns a copy of TEXT with blanks in place of comments; free with g_free.
   Sets *OFFSET to the offset of an unterminated comment, or to the size of
   TEXT.  */
static char *
json_strip (mq_span text, size_t *offset)
{
  char *copy = g_strndup (text.size ? text.data : "", text.size);

  *offset = mq_json_blank_comments (copy, text.size);
  return copy;
}

/* Returns the table from paths to lines of SOURCE, made at the first call.  */
static GHashTable *
json_source_lines (json_source *source)
{
  mq_span text = mq_str_span (source->text);
  char *copy;
  char *fault = NULL;
  unsigned line;
  size_t offset;

  if (source->lines != NULL)
    return source->lines;
  copy = json_strip (text, &offset);
  source->lines
      = mq_json_locations ((mq_span){ copy, text.size }, &fault, &line);
  /* A validated text has no fault.  For any other text the table is empty.  */
  if (source->lines == NULL)
    source->lines
        = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_free (fault);
  g_free (copy);
  return source->lines;
}

/* Parse TEXT, whose comments are blanked, into *ROOT, which is NULL for the
   value null.  Returns 0, or -1 with *OFFSET and *MESSAGE set.  */
static int
json_parse_text (mq_span text, struct json_object **root, size_t *offset,
                 const char **message)
{
  struct json_tokener *t = json_tokener_new ();
  enum json_tokener_error e;

  json_tokener_set_flags (t, JSON_TOKENER_STRICT | JSON_TOKENER_VALIDATE_UTF8);
  *root = json_tokener_parse_ex (t, text.data, (int)text.size + 1);
  e = json_tokener_get_error (t);
  *offset = json_tokener_get_parse_end (t);
  *message = json_tokener_error_desc (e);
  json_tokener_free (t);
  if (e == json_tokener_success)
    return 0;
  if (*root != NULL)
    json_object_put (*root);
  return -1;
}

static struct json_object *
json_lookup (const mq_json *object, const char *key)
{
  struct json_object *v = NULL;

  if (!json_object_is_type (object->value, json_type_object))
    return NULL;
  json_object_object_get_ex (object->value, key, &v);
  return v;
}

/* Record that KEY is a known key of OBJECT.  KEY is borrowed.  */
static void
json_add_known_key (const mq_json *object, const char *key)
{
  GPtrArray *keys
      = g_hash_table_lookup (object->doc->known_keys, object->value);

  if (keys == NULL)
    {
      keys = g_ptr_array_new ();
      g_hash_table_insert (object->doc->known_keys, object->value, keys);
    }
  if (!g_ptr_array_find_with_equal_func (keys, key, g_str_equal, NULL))
    g_ptr_array_add (keys, (gpointer)key);
}

static struct json_object *
json_lookup_known (const mq_json *object, const char *key)
{
  json_add_known_key (object, key);
  return json_lookup (object, key);
}

static void
json_append_path (GString *path, const mq_json *json)
{
  if (json->parent == NULL)
    return;
  json_append_path (path, json->parent);
  if (json_object_is_type (json->parent->value, json_type_array))
    {
      g_string_append_printf (path, "[%zu]", json->index);
      return;
    }
  if (path->len > 0)
    g_string_append_c (path, '.');
  g_string_append_len (path, json->key.data, (gssize)json->key.size);
}

/* Shorten PATH to that of the object or array that holds its value.  */
static void
json_truncate_path (char *path)
{
  size_t n = strlen (path);

  while (n > 0 && path[n - 1] != '.' && path[n - 1] != '[')
    n--;
  path[n > 0 ? n - 1 : 0] = '\0';
}

/* Returns the last source that holds PATH or else its closest ancestor, and
   sets *LINE; NULL if there is none.  */
static const json_source *
json_find_source (const mq_json_doc *doc, const char *path, unsigned *line)
{
  char *p = g_strdup (path);
  const json_source *found = NULL;

  for (;;)
    {
      for (guint i = doc->sources->len; i > 0 && found == NULL; i--)
        {
          json_source *s = &g_array_index (doc->sources, json_source, i - 1);
          gpointer at = g_hash_table_lookup (json_source_lines (s), p);

          if (at != NULL)
            {
              *line = GPOINTER_TO_UINT (at);
              found = s;
            }
        }
      if (found != NULL || *p == '\0')
        break;
      json_truncate_path (p);
    }
  g_free (p);
  return found;
}

/* Returns the dotted path of KEY in OBJECT, or of OBJECT if KEY is NULL; free
   with g_free.  */
static char *
json_path_of (const mq_json *object, const char *key)
{
  GString *path = g_string_new (NULL);

  json_append_path (path, object);
  if (key != NULL && path->len > 0)
    g_string_append_c (path, '.');
  g_string_append (path, key ? key : "");
  return g_string_free (path, FALSE);
}

static void
json_fault_text (mq_json_doc *doc, const char *path, const char *text)
{
  char *place;

  if (doc->fault_count++ >= MQ_JSON_MAX_FAULTS)
    return;
  place = mq_json_location_string (doc, path);
  g_ptr_array_add (doc->faults, g_strdup_printf ("%s: %s", place, text));
  g_free (place);
}

/* Returns the text for VALUE in a message.  */
static const char *
json_describe (struct json_object *value)
{
  switch (json_object_get_type (value))
    {
    case json_type_object:
      return "an object";
    case json_type_array:
      return "an array";
    case json_type_null:
    case json_type_boolean:
    case json_type_double:
    case json_type_int:
    case json_type_string:
      break;
    }
  return json_object_to_json_string_ext (value, JSON_C_TO_STRING_PLAIN);
}

static void
json_fault_type (const mq_json *object, const char *key,
                 struct json_object *value, const char *expected)
{
  mq_json_fault (object, key, "found %s, expected %s", json_describe (value),
                 expected);
}

static bool
json_get_child (const mq_json *object, const char *key, json_type type,
                const char *expected, mq_json *child)
{
  struct json_object *v = json_lookup_known (object, key);

  if (v == NULL)
    return false;
  if (!json_object_is_type (v, type))
    {
      json_fault_type (object, key, v, expected);
      return false;
    }
  *child = (mq_json){
    .doc = object->doc, .parent = object, .key = mq_span_from (key), .value = v
  };
  return true;
}

/* Remove all null members of OBJECT, at any depth.  */
static void
json_remove_nulls (struct json_object *object)
{
  json_object_object_foreach (object, key, value)
  {
    if (value == NULL)
      json_object_object_del (object, key);
    else if (json_object_is_type (value, json_type_object))
      json_remove_nulls (value);
  }
}

/* Merge the members of FROM over those of INTO.  INTO shares the values of
   FROM afterwards, so FROM must only be freed.  */
static void
json_merge_object (struct json_object *into, struct json_object *from)
{
  json_object_object_foreach (from, key, value)
  {
    struct json_object *old = NULL;

    if (value == NULL)
      {
        json_object_object_del (into, key);
        continue;
      }
    json_object_object_get_ex (into, key, &old);
    if (json_object_is_type (value, json_type_object))
      {
        if (json_object_is_type (old, json_type_object))
          {
            json_merge_object (old, value);
            continue;
          }
        json_remove_nulls (value);
      }
    json_object_object_add (into, key, json_object_get (value));
  }
}

static void
json_set_syntax_error (GError **error, const mq_str *file, mq_span text,
                       size_t offset, const char *message)
{
  g_set_error (error, MQ_JSON_ERROR, MQ_JSON_ERROR_SYNTAX, "%s:%u: %s",
               file->data, mq_json_line_at (text, offset), message);
}

/* Parse CONTENT, with the name FILE, into a document without locations.  */
static mq_json_doc *
json_parse (mq_str *file, mq_str *content, GError **error)
{
  json_source source = { .file = file, .text = content };
  mq_span text = mq_str_span (content);
  struct json_object *root = NULL;
  mq_json_doc *doc;
  const char *message = NULL;
  size_t offset;
  char *copy;

  if (text.size > MQ_JSON_MAX_FILE_BYTES)
    {
      g_set_error (error, MQ_JSON_ERROR, MQ_JSON_ERROR_IO,
                   "%s: file has %zu bytes, expected at most %zu", file->data,
                   text.size, MQ_JSON_MAX_FILE_BYTES);
      return NULL;
    }
  copy = json_strip (text, &offset);
  if (strlen (copy) < text.size)
    {
      offset = strlen (copy);
      message = "unexpected NUL byte";
    }
  else if (offset < text.size)
    message = "unterminated comment";
  else if (json_parse_text ((mq_span){ copy, text.size }, &root, &offset,
                            &message)
               == 0
           && root == NULL)
    message = "found null, expected a value";
  g_free (copy);
  if (root == NULL)
    {
      json_set_syntax_error (error, file, text, offset, message);
      return NULL;
    }
  doc = json_doc_new (root);
  mq_str_ref (source.file);
  mq_str_ref (source.text);
  g_array_append_val (doc->sources, source);
  return doc;
}

/* Record the locations of the values of DOC, which has one source, and reject
   what json-c accepts but mq/json.h does not.  */
static int
json_check_keys (mq_json_doc *doc, GError **error)
{
  json_source *source = &g_array_index (doc->sources, json_source, 0);
  mq_span text = mq_str_span (source->text);
  char *fault = NULL;
  unsigned line = 0;
  size_t offset;
  char *copy = json_strip (text, &offset);

  source->lines
      = mq_json_locations ((mq_span){ copy, text.size }, &fault, &line);
  g_free (copy);
  if (source->lines != NULL)
    return 0;
  g_set_error (error, MQ_JSON_ERROR, MQ_JSON_ERROR_SYNTAX, "%s:%u: %s",
               source->file->data, line, fault);
  g_free (fault);
  return -1;
}

mq_json_doc *
mq_json_parse (mq_span file, mq_span text, GError **error)
{
  mq_str *name = mq_str_new (file);
  mq_str *copy = mq_str_new (text);
  mq_json_doc *doc = json_parse (name, copy, error);

  if (doc != NULL && json_check_keys (doc, error) < 0)
    g_clear_pointer (&doc, mq_json_doc_free);
  mq_str_unref (copy);
  mq_str_unref (name);
  return doc;
}

mq_json_doc *
mq_json_parse_validated (mq_str *file, mq_str *text, GError **error)
{
  return json_parse (file, text, error);
}

mq_json_doc *
mq_json_read (const char *path, GError **error)
{
  char *text = NULL;
  gsize size = 0;
  GError *io = NULL;
  mq_json_doc *doc;

  if (!g_file_get_contents (path, &text, &size, &io))
    {
      g_set_error (error, MQ_JSON_ERROR, MQ_JSON_ERROR_IO, "%s", io->message);
      g_error_free (io);
      return NULL;
    }
  doc = mq_json_parse (mq_span_from (path), (mq_span){ text, size }, error);
  g_free (text);
  return doc;
}

mq_json_doc *
mq_json_doc_new (void)
{
  return json_doc_new (json_object_new_object ());
}

void
mq_json_doc_free (mq_json_doc *doc)
{
  if (doc == NULL)
    return;
  json_object_put (doc->root);
  g_array_unref (doc->sources);
  g_hash_table_unref (doc->known_keys);
  g_ptr_array_unref (doc->faults);
  g_free (doc);
}

void
mq_json_merge (mq_json_doc *into, mq_json_doc *from)
{
  for (guint i = 0; i < from->sources->len; i++)
    {
      json_source *s = &g_array_index (from->sources, json_source, i);
      json_source moved = { .file = g_steal_pointer (&s->file),
                            .text = g_steal_pointer (&s->text),
                            .lines = g_steal_pointer (&s->lines) };

      g_array_append_val (into->sources, moved);
    }
  if (json_object_is_type (from->root, json_type_object))
    json_merge_object (into->root, from->root);
  mq_json_doc_free (from);
}

mq_str *
mq_json_find_location (const mq_json_doc *doc, const char *path,
                       unsigned *line)
{
  const json_source *s = json_find_source (doc, path, line);

  return s ? mq_str_ref (s->file) : NULL;
}

void
mq_json_doc_set_partial (mq_json_doc *doc, bool partial)
{
  doc->partial = partial;
}

int
mq_json_doc_check (mq_json_doc *doc, GError **error)
{
  GString *all;

  if (doc->fault_count == 0)
    return 0;
  all = g_string_new (NULL);
  for (guint i = 0; i < doc->faults->len; i++)
    g_string_append_printf (all, "%s%s", i > 0 ? "\n" : "",
                            (char *)g_ptr_array_index (doc->faults, i));
  if (doc->fault_count > doc->faults->len)
    g_string_append_printf (all, "\n... and %u more",
                            doc->fault_count - doc->faults->len);
  g_set_error (error, MQ_JSON_ERROR, MQ_JSON_ERROR_VALUE, "%s", all->str);
  g_string_free (all, TRUE);
  return -1;
}

mq_json
mq_json_root (mq_json_doc *doc)
{
  mq_json root = { .doc = doc, .value = doc->root };

  if (!json_object_is_type (doc->root, json_type_object))
    json_fault_type (&root, NULL, doc->root, "an object");
  return root;
}

void
mq_json_require (const mq_json *object, const char *key, ...)
{
  va_list keys;

  va_start (keys, key);
  for (; key != NULL; key = va_arg (keys, const char *))
    {
      json_add_known_key (object, key);
      if (!object->doc->partial && json_lookup (object, key) == NULL)
        mq_json_fault (object, key, "missing");
    }
  va_end (keys);
}

bool
mq_json_has (const mq_json *object, const char *key)
{
  return json_lookup_known (object, key) != NULL;
}

uint64_t
mq_json_u64 (const mq_json *object, const char *key, uint64_t min,
             uint64_t max, uint64_t fallback)
{
  struct json_object *v = json_lookup_known (object, key);
  char expected[EXPECTED_TEXT_BYTES];

  if (v == NULL)
    return fallback;
  if (json_object_is_type (v, json_type_int) && json_object_get_int64 (v) >= 0
      && json_object_get_uint64 (v) >= min
      && json_object_get_uint64 (v) <= max)
    return json_object_get_uint64 (v);
  snprintf (expected, sizeof expected,
            "a whole number from %" PRIu64 " to %" PRIu64, min, max);
  json_fault_type (object, key, v, expected);
  return fallback;
}

double
mq_json_double (const mq_json *object, const char *key, double min, double max,
                double fallback)
{
  struct json_object *v = json_lookup_known (object, key);
  char expected[EXPECTED_TEXT_BYTES];
  double d;

  if (v == NULL)
    return fallback;
  d = json_object_get_double (v);
  if ((json_object_is_type (v, json_type_int)
       || json_object_is_type (v, json_type_double))
      && isfinite (d) && d >= min && d <= max)
    return d;
  snprintf (expected, sizeof expected, "a number from %g to %g", min, max);
  json_fault_type (object, key, v, expected);
  return fallback;
}

bool
mq_json_bool (const mq_json *object, const char *key, bool fallback)
{
  struct json_object *v = json_lookup_known (object, key);

  if (v == NULL)
    return fallback;
  if (json_object_is_type (v, json_type_boolean))
    return json_object_get_boolean (v);
  json_fault_type (object, key, v, "true or false");
  return fallback;
}

mq_span
mq_json_span (const mq_json *object, const char *key, mq_span fallback)
{
  struct json_object *v = json_lookup_known (object, key);

  if (v == NULL)
    return fallback;
  if (json_object_is_type (v, json_type_string)
      && json_object_get_string_len (v) > 0)
    return (mq_span){ json_object_get_string (v),
                      (size_t)json_object_get_string_len (v) };
  json_fault_type (object, key, v, "a non-empty string");
  return fallback;
}

mq_str *
mq_json_str (const mq_json *object, const char *key)
{
  mq_span s = mq_json_span (object, key, (mq_span){ NULL, 0 });

  return s.data ? mq_str_new (s) : NULL;
}

int
mq_json_enum (const mq_json *object, const char *key, const char *const *names,
              int fallback)
{
  struct json_object *v = json_lookup_known (object, key);
  GString *expected;

  if (v == NULL)
    return fallback;
  if (json_object_is_type (v, json_type_string))
    for (int i = 0; names[i] != NULL; i++)
      if (strcmp (names[i], json_object_get_string (v)) == 0)
        return i;
  expected = g_string_new (NULL);
  for (int i = 0; names[i] != NULL; i++)
    g_string_append_printf (expected, "%s\"%s\"", i > 0 ? " or " : "",
                            names[i]);
  json_fault_type (object, key, v, expected->str);
  g_string_free (expected, TRUE);
  return fallback;
}

bool
mq_json_object (const mq_json *object, const char *key, mq_json *child)
{
  return json_get_child (object, key, json_type_object, "an object", child);
}

bool
mq_json_array (const mq_json *object, const char *key, mq_json *child)
{
  return json_get_child (object, key, json_type_array, "an array", child);
}

size_t
mq_json_size (const mq_json *json)
{
  if (json_object_is_type (json->value, json_type_array))
    return json_object_array_length (json->value);
  if (json_object_is_type (json->value, json_type_object))
    return (size_t)json_object_object_length (json->value);
  return 0;
}

bool
mq_json_element (const mq_json *array, size_t i, mq_json *child)
{
  struct json_object *v = json_object_array_get_idx (array->value, i);

  *child = (mq_json){
    .doc = array->doc, .parent = array, .index = i, .value = v
  };
  if (json_object_is_type (v, json_type_object))
    return true;
  json_fault_type (child, NULL, v, "an object");
  return false;
}

mq_span
mq_json_element_span (const mq_json *array, size_t i)
{
  struct json_object *v = json_object_array_get_idx (array->value, i);
  mq_json child
      = { .doc = array->doc, .parent = array, .index = i, .value = v };

  if (json_object_is_type (v, json_type_string)
      && json_object_get_string_len (v) > 0)
    return (mq_span){ json_object_get_string (v),
                      (size_t)json_object_get_string_len (v) };
  json_fault_type (&child, NULL, v, "a non-empty string");
  return (mq_span){ NULL, 0 };
}

void
mq_json_iter_init (mq_json_iter *iter, const mq_json *object)
{
  iter->object = object;
  iter->at = json_object_iter_begin (object->value);
  iter->end = json_object_iter_end (object->value);
}

bool
mq_json_iter_next (mq_json_iter *iter, mq_json *child)
{
  while (!json_object_iter_equal (&iter->at, &iter->end))
    {
      const char *key = json_object_iter_peek_name (&iter->at);
      struct json_object *v = json_object_iter_peek_value (&iter->at);

      json_object_iter_next (&iter->at);
      if (v == NULL)
        continue;
      *child = (mq_json){ .doc = iter->object->doc,
                          .parent = iter->object,
                          .key = mq_span_from (key),
                          .value = v };
      if (json_object_is_type (v, json_type_object))
        return true;
      json_fault_type (child, NULL, v, "an object");
    }
  return false;
}

void
mq_json_reject_unknown (const mq_json *object)
{
  GPtrArray *known
      = g_hash_table_lookup (object->doc->known_keys, object->value);

  if (!json_object_is_type (object->value, json_type_object))
    return;
  json_object_object_foreach (object->value, key, value)
  {
    GString *expected;

    (void)value;
    if (known != NULL
        && g_ptr_array_find_with_equal_func (known, key, g_str_equal, NULL))
      continue;
    expected = g_string_new (NULL);
    for (guint i = 0; known != NULL && i < known->len; i++)
      g_string_append_printf (expected, "%s%s", i > 0 ? ", " : "",
                              (char *)g_ptr_array_index (known, i));
    mq_json_fault (object, key, "unknown key, expected one of: %s",
                   expected->str);
    g_string_free (expected, TRUE);
  }
  g_hash_table_remove (object->doc->known_keys, object->value);
}

void
mq_json_fault (const mq_json *object, const char *key, const char *format, ...)
{
  char *path = json_path_of (object, key);
  va_list args;
  char *text;

  va_start (args, format);
  text = g_strdup_vprintf (format, args);
  va_end (args);
  json_fault_text (object->doc, path, text);
  g_free (text);
  g_free (path);
}

void
mq_json_fault_at (mq_json_doc *doc, const char *path, const char *format, ...)
{
  va_list args;
  char *text;

  va_start (args, format);
  text = g_strdup_vprintf (format, args);
  va_end (args);
  json_fault_text (doc, path, text);
  g_free (text);
}

char *
mq_json_location_string (const mq_json_doc *doc, const char *path)
{
  unsigned line = 0;
  const json_source *s = json_find_source (doc, path, &line);

  return g_strdup_printf ("%s:%u%s%s", s ? mq_str_cstr (s->file) : "?", line,
                          *path ? ": " : "", path);
}

char *
mq_json_path (const mq_json *json)
{
  return json_path_of (json, NULL);
}
