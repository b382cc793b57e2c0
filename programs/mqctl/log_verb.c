/* mqctl log: shows the audit trail, who changed what, when and why.

   Changes of the configuration come from the manifest and its archives;
   orders, membership changes and mode changes come from the audit objects that
   routers write (mq/audit.h).  */

#include "ctl.h"

#include "table.h"
#include <inttypes.h>
#include <json-c/json.h>
#include <stdio.h>
#include <mq/audit.h>
#include <string.h>

#define MS_PER_S 1000
#define MS_PER_HOUR 3600000
#define AUDIT_PREFIX "audit/"

/* The records to print.  */
typedef struct log_output
{
  ctl *c;
  uint64_t since_ms; /* Older records are omitted.  */
  GArray *changes;   /* of mq_change_record  */
  GArray *rows;      /* of log_row  */
  guint missing;     /* Objects that could not be read.  */
} log_output;

/* One record of a router's audit object.  */
typedef struct log_row
{
  mq_audit_kind kind;
  uint64_t wall_ms;
  uint64_t router;
  char *who;
  char *what;
  char *why;
  char *before;
  char *after;
} log_row;

static void
log_row_clear (gpointer data)
{
  log_row *r = data;

  g_free (r->who);
  g_free (r->what);
  g_free (r->why);
  g_free (r->before);
  g_free (r->after);
}

static char *
log_copy (mq_span span)
{
  return g_strndup (span.size ? span.data : "", span.size);
}

static void
log_on_record (void *context, const mq_audit_record *record)
{
  log_output *out = context;
  log_row row = { .kind = record->kind,
                  .wall_ms = record->wall_ms,
                  .router = record->router,
                  .who = log_copy (record->who),
                  .what = log_copy (record->what),
                  .why = log_copy (record->why),
                  .before = log_copy (record->before),
                  .after = log_copy (record->after) };

  if (row.wall_ms >= out->since_ms)
    g_array_append_val (out->rows, row);
  else
    log_row_clear (&row);
}

/* Returns true if the audit object NAME, "audit/DAY/MILLISECONDS-...", may
   hold a record that is not older than since_ms.  Names of another form count
   as needed.  */
static bool
log_object_is_needed (const log_output *out, mq_span name)
{
  const char *slash = memrchr (name.data, '/', name.size);
  const char *dash;
  uint64_t ms = 0;
  size_t left;

  if (slash == NULL)
    return true;
  left = name.size - (size_t)(slash + 1 - name.data);
  dash = memchr (slash + 1, '-', left);
  if (dash == NULL)
    return true;
  if (mq_span_to_u64 ((mq_span){ slash + 1, (size_t)(dash - slash - 1) }, &ms)
      < 0)
    return true;
  return ms >= out->since_ms;
}

static void
log_read_audit (log_output *out)
{
  GPtrArray *names = ctl_list (out->c, AUDIT_PREFIX);

  if (names == NULL)
    {
      out->missing++;
      return;
    }
  for (guint i = 0; i < names->len; i++)
    {
      mq_span name = mq_str_span (g_ptr_array_index (names, i));
      mq_str *value = NULL;

      if (!log_object_is_needed (out, name))
        continue;
      if (ctl_get (out->c, name, NULL, &value) != MQ_PLATFORM_OK
          || mq_audit_decode (mq_str_span (value), log_on_record, out, NULL)
                 < 0)
        out->missing++;
      mq_str_unref (value);
    }
  g_ptr_array_unref (names);
}

/* Returns WALL_MS as text in UTC; free with g_free.  */
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

/* Returns "+added.json ~changed.json -removed.json"; free with g_free.  */
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
log_add_change (ctl_table *table, const mq_change_record *r)
{
  char *when = log_time (r->wall_ms);
  char *what = log_effects (r);

  ctl_table_cell (table, "%s", when);
  ctl_table_cell (table, "generation %" PRIu64, r->generation);
  ctl_table_cell (table, "%s", mq_str_cstr (r->who));
  ctl_table_cell (table, "%s %s", mq_change_kind_name (r->kind), what);
  ctl_table_cell (table, "%s", mq_str_cstr (r->why));
  ctl_table_cell (table, "%s", mq_str_cstr (r->id));
  g_free (what);
  g_free (when);
}

static void
log_add_row (ctl_table *table, const log_row *r)
{
  char *when = log_time (r->wall_ms);

  ctl_table_cell (table, "%s", when);
  ctl_table_cell (table, "%s", mq_audit_kind_name (r->kind));
  ctl_table_cell (table, "%s", r->who);
  if (*r->before != '\0' || *r->after != '\0')
    ctl_table_cell (table, "%s: %s -> %s", r->what, r->before, r->after);
  else
    ctl_table_cell (table, "%s", r->what);
  ctl_table_cell (table, "%s", r->why);
  ctl_table_cell (table, "%016" PRIx64, r->router);
  g_free (when);
}

static struct json_object *
log_row_json (const log_row *r)
{
  struct json_object *o = json_object_new_object ();

  json_object_object_add (o, "wall_ms", json_object_new_uint64 (r->wall_ms));
  json_object_object_add (
      o, "kind", json_object_new_string (mq_audit_kind_name (r->kind)));
  json_object_object_add (o, "router", json_object_new_uint64 (r->router));
  json_object_object_add (o, "who", json_object_new_string (r->who));
  json_object_object_add (o, "what", json_object_new_string (r->what));
  json_object_object_add (o, "why", json_object_new_string (r->why));
  json_object_object_add (o, "before", json_object_new_string (r->before));
  json_object_object_add (o, "after", json_object_new_string (r->after));
  return o;
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

struct json_object *
ctl_change_json (const mq_change_record *r)
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

/* Print changes and rows, each sorted by time, merged by time.  */
static void
log_print (const log_output *out)
{
  ctl_table table;
  guint i = 0;
  guint k = 0;

  ctl_table_init (&table, 6, "WHEN", "KIND", "WHO", "WHAT", "WHY", "BY");
  while (i < out->changes->len || k < out->rows->len)
    {
      const mq_change_record *change
          = &g_array_index (out->changes, mq_change_record, i);
      const log_row *row = &g_array_index (out->rows, log_row, k);

      if (k >= out->rows->len
          || (i < out->changes->len && change->wall_ms <= row->wall_ms))
        {
          log_add_change (&table, change);
          i++;
        }
      else
        {
          log_add_row (&table, row);
          k++;
        }
    }
  ctl_table_print (&table);
  ctl_table_finish (&table);
}

static void
log_print_json (const log_output *out)
{
  struct json_object *root = json_object_new_object ();
  struct json_object *changes = json_object_new_array ();
  struct json_object *records = json_object_new_array ();

  for (guint i = 0; i < out->changes->len; i++)
    json_object_array_add (changes, ctl_change_json (&g_array_index (
                                        out->changes, mq_change_record, i)));
  for (guint i = 0; i < out->rows->len; i++)
    json_object_array_add (
        records, log_row_json (&g_array_index (out->rows, log_row, i)));
  json_object_object_add (root, "changes", changes);
  json_object_object_add (root, "records", records);
  puts (json_object_to_json_string_ext (root, JSON_C_TO_STRING_NOSLASHESCAPE));
  json_object_put (root);
}

static gint
log_compare_rows (gconstpointer a, gconstpointer b)
{
  const log_row *x = a;
  const log_row *y = b;

  return (x->wall_ms > y->wall_ms) - (x->wall_ms < y->wall_ms);
}

static void
log_remove_old (const log_output *out)
{
  for (guint i = out->changes->len; i > 0; i--)
    if (g_array_index (out->changes, mq_change_record, i - 1).wall_ms
        < out->since_ms)
      g_array_remove_index (out->changes, i - 1);
}

/* Returns the wall time in ms of the oldest records to show.  */
static uint64_t
log_since (const ctl *c)
{
  double now_ms = (double)g_get_real_time () / MS_PER_S;
  double since = now_ms - c->options.hours * MS_PER_HOUR;

  return c->options.hours > 0 && since > 0 ? (uint64_t)since : 0;
}

int
ctl_log (ctl *c, int argc, char **argv)
{
  log_output out = { .c = c, .since_ms = log_since (c) };
  ctl_exit status;

  (void)argc;
  (void)argv;
  if (ctl_require_platform (c) < 0)
    return CTL_USAGE;
  out.changes = mq_change_records_new ();
  out.rows = g_array_new (FALSE, FALSE, sizeof (log_row));
  g_array_set_clear_func (out.rows, log_row_clear);
  status = ctl_read_history (c, out.changes, &out.missing);
  if (status != CTL_OK)
    goto done;
  log_remove_old (&out);
  log_read_audit (&out);
  g_array_sort (out.rows, log_compare_rows);
  if (c->options.json)
    log_print_json (&out);
  else
    log_print (&out);
  if (out.missing > 0)
    {
      ctl_print_error (
          "incomplete: %u objects of the audit trail could not be read",
          out.missing);
      status = CTL_UNAVAILABLE;
    }
done:
  g_array_unref (out.rows);
  g_array_unref (out.changes);
  return (int)status;
}
