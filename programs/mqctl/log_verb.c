/* mqctl log: who changed what, when and why.  */

#include "ctl.h"

#include "table.h"
#include <inttypes.h>
#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

#define MS_PER_S 1000

/* WALL_MS as text in UTC; free with g_free.  */
static char *
log_time (uint64_t wall_ms)
{
  GDateTime *t = g_date_time_new_from_unix_utc ((gint64)(wall_ms / MS_PER_S));
  char *text
      = t ? g_date_time_format (t, "%Y-%m-%dT%H:%M:%SZ") : g_strdup ("?");

  if (t != NULL)
    g_date_time_unref (t);
  return text;
}

/* "+new.json ~changed.json -gone.json"; free with g_free.  */
static char *
log_effects (const mq_change_record *r)
{
  GString *text = g_string_new (NULL);

  for (guint i = 0; i < r->effects->len; i++)
    {
      const mq_change_effect *e
          = &g_array_index (r->effects, mq_change_effect, i);
      char sign = '~';

      if (*e->before.hex == '\0')
        sign = '+';
      else if (*e->after.hex == '\0')
        sign = '-';
      g_string_append_printf (text, "%s%c%s", i > 0 ? " " : "", sign,
                              mq_str_cstr (e->name));
    }
  if (r->n_effects > r->effects->len)
    g_string_append_printf (text, " and %u more",
                            r->n_effects - r->effects->len);
  return g_string_free (text, FALSE);
}

static void
log_add_row (ctl_table *table, const mq_change_record *r)
{
  char *when = log_time (r->wall_ms);
  char *what = log_effects (r);

  ctl_table_cell (table, "%s", when);
  ctl_table_cell (table, "%" PRIu64, r->generation);
  ctl_table_cell (table, "%s", mq_str_cstr (r->who));
  ctl_table_cell (table, "%s %s", mq_change_kind_name (r->kind), what);
  ctl_table_cell (table, "%s", mq_str_cstr (r->why));
  ctl_table_cell (table, "%s", mq_str_cstr (r->id));
  g_free (what);
  g_free (when);
}

static struct json_object *
log_effect_json (const mq_change_effect *e)
{
  struct json_object *o = json_object_new_object ();

  json_object_object_add (o, "name",
                          json_object_new_string (mq_str_cstr (e->name)));
  json_object_object_add (o, "before", json_object_new_string (e->before.hex));
  json_object_object_add (o, "after", json_object_new_string (e->after.hex));
  return o;
}

static struct json_object *
log_record_json (const mq_change_record *r)
{
  struct json_object *o = json_object_new_object ();
  struct json_object *effects = json_object_new_array ();

  json_object_object_add (o, "wall_ms", json_object_new_uint64 (r->wall_ms));
  json_object_object_add (o, "generation",
                          json_object_new_uint64 (r->generation));
  json_object_object_add (
      o, "kind", json_object_new_string (mq_change_kind_name (r->kind)));
  json_object_object_add (o, "who",
                          json_object_new_string (mq_str_cstr (r->who)));
  json_object_object_add (o, "why",
                          json_object_new_string (mq_str_cstr (r->why)));
  json_object_object_add (o, "id",
                          json_object_new_string (mq_str_cstr (r->id)));
  for (guint i = 0; i < r->effects->len; i++)
    json_object_array_add (effects, log_effect_json (&g_array_index (
                                        r->effects, mq_change_effect, i)));
  json_object_object_add (o, "effects", effects);
  json_object_object_add (o, "n_effects",
                          json_object_new_int64 ((int64_t)r->n_effects));
  return o;
}

static void
log_print (const GArray *changes)
{
  ctl_table table;

  ctl_table_init (&table, 6, "WHEN", "GENERATION", "WHO", "WHAT", "WHY",
                  "CHANGE");
  for (guint i = 0; i < changes->len; i++)
    log_add_row (&table, &g_array_index (changes, mq_change_record, i));
  ctl_table_print (&table);
  ctl_table_finish (&table);
}

static void
log_print_json (const GArray *changes)
{
  struct json_object *root = json_object_new_object ();
  struct json_object *list = json_object_new_array ();

  for (guint i = 0; i < changes->len; i++)
    json_object_array_add (
        list, log_record_json (&g_array_index (changes, mq_change_record, i)));
  json_object_object_add (root, "changes", list);
  puts (json_object_to_json_string_ext (root, JSON_C_TO_STRING_NOSLASHESCAPE));
  json_object_put (root);
}

/* Append to CHANGES what the archives hold.  Returns how many did not come. */
static guint
log_read_archives (ctl *c, GArray *changes)
{
  GPtrArray *names = ctl_list (c, MQ_MANIFEST_ARCHIVE_PREFIX);
  guint missing = 0;

  if (names == NULL)
    return 1;
  for (guint i = 0; i < names->len; i++)
    {
      mq_str *value = NULL;

      if (ctl_get (c, mq_str_span (g_ptr_array_index (names, i)), NULL, &value)
              != MQ_PLATFORM_OK
          || mq_manifest_decode_archive (mq_str_span (value), changes, NULL)
                 < 0)
        missing++;
      mq_str_unref (value);
    }
  g_ptr_array_unref (names);
  return missing;
}

static gint
log_compare (gconstpointer a, gconstpointer b)
{
  const mq_change_record *x = a;
  const mq_change_record *y = b;

  return (x->generation > y->generation) - (x->generation < y->generation);
}

/* Drop records that stand twice: a change may be in the manifest and, since
   an archive is written before the manifest, in an archive too.  */
static void
log_drop_doubles (GArray *changes)
{
  g_array_sort (changes, log_compare);
  for (guint i = changes->len; i > 1; i--)
    if (g_array_index (changes, mq_change_record, i - 1).generation
        == g_array_index (changes, mq_change_record, i - 2).generation)
      g_array_remove_index (changes, i - 1);
}

int
ctl_log (ctl *c, int argc, char **argv)
{
  mq_manifest m;
  ctl_exit status;
  guint missing;

  (void)argc;
  (void)argv;
  if (ctl_need_platform (c) < 0)
    return CTL_USAGE;
  status = ctl_read_manifest (c, &m);
  if (status != CTL_OK)
    return (int)status;
  missing = log_read_archives (c, m.changes);
  log_drop_doubles (m.changes);
  if (c->options.json)
    log_print_json (m.changes);
  else
    log_print (m.changes);
  if (missing > 0)
    ctl_complain ("%u archives of older changes did not come", missing);
  mq_manifest_finish (&m);
  return missing > 0 ? CTL_UNAVAILABLE : CTL_OK;
}
