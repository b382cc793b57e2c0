/* The verbs that show the configuration in force: files and show.  */

#include "ctl.h"

#include "table.h"
#include <inttypes.h>
#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

#define SHORT_DIGEST_CHARS 12
/* Longer values are truncated in the table; --json prints them in full.  */
#define MAX_VALUE_BYTES 48

/* Called with the path and the value of each leaf of a document.  */
typedef void (*show_leaf) (void *context, const char *path,
                           struct json_object *value);

typedef struct show_output
{
  const mq_json_doc *doc;
  ctl_table table;
  struct json_object *locations;
} show_output;

/* Call LEAF for each value in VALUE that is not an object.  PATH is the path
   of VALUE; it is unchanged after the call.  */
static void
show_walk (struct json_object *value, GString *path, show_leaf leaf,
           void *context)
{
  if (!json_object_is_type (value, json_type_object))
    {
      leaf (context, path->str, value);
      return;
    }
  json_object_object_foreach (value, key, child)
  {
    gsize length = path->len;

    g_string_append_printf (path, "%s%s", length > 0 ? "." : "", key);
    show_walk (child, path, leaf, context);
    g_string_truncate (path, length);
  }
}

static void
show_add_row (void *context, const char *path, struct json_object *value)
{
  show_output *out = context;
  unsigned line = 0;
  mq_str *file = mq_json_find_location (out->doc, path, &line);
  const char *text
      = json_object_to_json_string_ext (value, JSON_C_TO_STRING_NOSLASHESCAPE);

  ctl_table_cell (&out->table, "%s", path);
  ctl_table_cell (&out->table, "%.*s%s", MAX_VALUE_BYTES, text,
                  strlen (text) > MAX_VALUE_BYTES ? "..." : "");
  ctl_table_cell (&out->table, "%s:%u", mq_str_cstr (file), line);
  mq_str_unref (file);
}

static void
show_add_location (void *context, const char *path, struct json_object *value)
{
  show_output *out = context;
  unsigned line = 0;
  mq_str *file = mq_json_find_location (out->doc, path, &line);
  struct json_object *location = json_object_new_object ();

  (void)value;
  json_object_object_add (location, "file",
                          json_object_new_string (mq_str_cstr (file)));
  json_object_object_add (location, "line",
                          json_object_new_int64 ((int64_t)line));
  json_object_object_add (out->locations, path, location);
  mq_str_unref (file);
}

static void
show_print_json (uint64_t generation, mq_json_doc *doc)
{
  show_output out = { .doc = doc, .locations = json_object_new_object () };
  struct json_object *root = json_object_new_object ();
  struct json_object *merged = mq_json_root (doc).value;
  GString *path = g_string_new (NULL);

  show_walk (merged, path, show_add_location, &out);
  json_object_object_add (root, "generation",
                          json_object_new_uint64 (generation));
  json_object_object_add (root, "merged", json_object_get (merged));
  json_object_object_add (root, "from", out.locations);
  puts (json_object_to_json_string_ext (
      root, JSON_C_TO_STRING_PRETTY | JSON_C_TO_STRING_NOSLASHESCAPE));
  g_string_free (path, TRUE);
  json_object_put (root);
}

static void
show_print (uint64_t generation, mq_json_doc *doc)
{
  show_output out = { .doc = doc };
  GString *path = g_string_new (NULL);

  printf ("generation %" PRIu64 "\n", generation);
  ctl_table_init (&out.table, 3, "VALUE OF", "IS", "FROM");
  show_walk (mq_json_root (doc).value, path, show_add_row, &out);
  ctl_table_print (&out.table);
  ctl_table_finish (&out.table);
  g_string_free (path, TRUE);
}

static void
files_print_json (const mq_manifest *m)
{
  struct json_object *root = json_object_new_object ();
  struct json_object *list = json_object_new_array ();

  for (guint i = 0; i < m->files->len; i++)
    {
      const mq_manifest_file *f
          = &g_array_index (m->files, mq_manifest_file, i);
      struct json_object *o = json_object_new_object ();

      json_object_object_add (o, "name",
                              json_object_new_string (mq_str_cstr (f->name)));
      json_object_object_add (o, "digest",
                              json_object_new_string (f->digest.hex));
      json_object_object_add (o, "size", json_object_new_uint64 (f->size));
      json_object_array_add (list, o);
    }
  json_object_object_add (root, "generation",
                          json_object_new_uint64 (m->generation));
  json_object_object_add (root, "files", list);
  puts (json_object_to_json_string_ext (root, JSON_C_TO_STRING_NOSLASHESCAPE));
  json_object_put (root);
}

static void
files_print (const mq_manifest *m)
{
  ctl_table table;

  printf ("generation %" PRIu64 "\n", m->generation);
  ctl_table_init (&table, 5, "NAME", "BYTES", "DIGEST", "GENERATION", "WHO");
  for (guint i = 0; i < m->files->len; i++)
    {
      const mq_manifest_file *f
          = &g_array_index (m->files, mq_manifest_file, i);
      const mq_change_record *r
          = mq_manifest_find_last_change (m, mq_str_span (f->name));

      ctl_table_cell (&table, "%s", mq_str_cstr (f->name));
      ctl_table_cell (&table, "%" PRIu64, f->size);
      ctl_table_cell (&table, "%.*s", SHORT_DIGEST_CHARS, f->digest.hex);
      if (r != NULL)
        ctl_table_cell (&table, "%" PRIu64, r->generation);
      else
        ctl_table_cell (&table, "older");
      ctl_table_cell (&table, "%s", r ? mq_str_cstr (r->who) : "");
    }
  ctl_table_print (&table);
  ctl_table_finish (&table);
}

int
ctl_files (ctl *c, int argc, char **argv)
{
  mq_manifest m;
  ctl_exit status;

  (void)argc;
  (void)argv;
  if (ctl_require_platform (c) < 0)
    return CTL_USAGE;
  status = ctl_read_manifest (c, &m);
  if (status != CTL_OK)
    return (int)status;
  if (c->options.json)
    files_print_json (&m);
  else
    files_print (&m);
  mq_manifest_finish (&m);
  return CTL_OK;
}

int
ctl_show (ctl *c, int argc, char **argv)
{
  mq_manifest m;
  GArray *files;
  mq_json_doc *doc = NULL;
  GError *error = NULL;
  ctl_exit status;

  (void)argc;
  (void)argv;
  if (ctl_require_platform (c) < 0)
    return CTL_USAGE;
  status = ctl_read_manifest (c, &m);
  if (status != CTL_OK)
    return (int)status;
  status = CTL_UNAVAILABLE;
  files = ctl_fetch_files (c, &m, NULL);
  if (files == NULL)
    ctl_print_error ("can't read a configuration file from the platform");
  else if ((doc = mq_files_merge (files, &error)) == NULL)
    {
      ctl_print_error ("%s", error->message);
      g_error_free (error);
      status = CTL_INVALID;
    }
  else
    {
      if (c->options.json)
        show_print_json (m.generation, doc);
      else
        show_print (m.generation, doc);
      status = CTL_OK;
    }
  mq_json_doc_free (doc);
  if (files != NULL)
    g_array_unref (files);
  mq_manifest_finish (&m);
  return (int)status;
}
