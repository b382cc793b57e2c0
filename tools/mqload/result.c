/* The result of a run: see result.h.  */

#include "result.h"

#include "fetch.h"
#include "restart.h"

#include <string.h>

/* Ticks in which the throughput before a fault is taken, and in which it must
   be back after it.  */
#define BEFORE_TICKS 30
#define AFTER_TICKS 5
/* Ticks after a fault in which its dip is looked for.  */
#define DIP_TICKS 20
#define RECOVERED 0.95
#define TICKS_PER_S (1e6 / (double)LOAD_TICK_US)

/* Sums over some of the requests.  */
typedef struct load_sums
{
  uint32_t offered;
  uint32_t in_time;
  uint32_t late;
  uint32_t ends[LOAD_ENDS];
  double work_offered;
  double work_in_time;
} load_sums;

static void
add_int (json_object *json, const char *key, int64_t value)
{
  json_object_object_add (json, key, json_object_new_int64 (value));
}

/* Four decimals are enough for whatever is measured here.  */
static json_object *
number (double value)
{
  char text[40];

  g_snprintf (text, sizeof text, "%.4f", value);
  return json_object_new_double_s (value, text);
}

static void
add_number (json_object *json, const char *key, double value)
{
  json_object_object_add (json, key, number (value));
}

static void
add_string (json_object *json, const char *key, const char *value)
{
  json_object_object_add (json, key, json_object_new_string (value));
}

static json_object *
add_object (json_object *json, const char *key)
{
  json_object *child = json_object_new_object ();

  json_object_object_add (json, key, child);
  return child;
}

static void
sums_add (load_sums *s, const load_record *r, const load_item *item)
{
  bool in_time = load_record_in_time (r, item);

  s->offered++;
  s->ends[r->end]++;
  s->work_offered += item->work;
  if (in_time)
    {
      s->in_time++;
      s->work_in_time += item->work;
    }
  else if (r->end == LOAD_END_DONE)
    s->late++;
}

static json_object *
sums_json (const load_sums *s)
{
  json_object *json = json_object_new_object ();

  add_int (json, "offered", s->offered);
  add_int (json, "in_time", s->in_time);
  add_int (json, "late", s->late);
  for (int i = 0; i < LOAD_ENDS; i++)
    if (s->ends[i] > 0)
      add_int (json, load_end_name (i), s->ends[i]);
  add_number (json, "work_offered", s->work_offered);
  add_number (json, "work_in_time", s->work_in_time);
  return json;
}

/* Which group a request belongs to: its organisation, its kind, or none.  */
typedef enum sums_group
{
  SUMS_ALL,
  SUMS_ORGANISATION,
  SUMS_KIND
} sums_group;

static load_sums
sums_of (const load_records *records, sums_group group, uint32_t which)
{
  load_sums s = { 0 };

  for (guint i = 0; i < records->items->len; i++)
    {
      const load_item *item = &g_array_index (records->items, load_item, i);

      if ((group == SUMS_ORGANISATION && item->organisation != which)
          || (group == SUMS_KIND && item->kind != which))
        continue;
      sums_add (&s, &g_array_index (records->list, load_record, i), item);
    }
  return s;
}

static gint
float_compare (gconstpointer a, gconstpointer b)
{
  float x = *(const float *)a;
  float y = *(const float *)b;

  return (x > y) - (x < y);
}

/* Quantiles of VALUES, which are in microseconds and get sorted, in
   milliseconds.  */
static json_object *
quantiles_json (GArray *values)
{
  static const struct
  {
    const char *name;
    double part;
  } parts[]
      = { { "p50", 0.5 }, { "p95", 0.95 }, { "p99", 0.99 }, { "max", 1 } };
  json_object *json = json_object_new_object ();

  add_int (json, "count", values->len);
  g_array_sort (values, float_compare);
  for (size_t i = 0; values->len > 0 && i < G_N_ELEMENTS (parts); i++)
    add_number (json, parts[i].name,
                g_array_index (values, float,
                               (guint)(parts[i].part * (values->len - 1)))
                    / 1e3);
  return json;
}

typedef enum latency_kind
{
  LATENCY_FIRST,
  LATENCY_WHOLE,
  LATENCY_PLAIN,
  LATENCY_REFUSAL
} latency_kind;

/* The latency of KIND of request I from its intended start; below 0 when it
   has none.  */
static float
record_latency (const load_records *records, guint i, latency_kind kind)
{
  const load_item *item = &g_array_index (records->items, load_item, i);
  const load_record *r = &g_array_index (records->list, load_record, i);
  bool model = item->tokens > 0;
  float whole = (float)(int64_t)(r->end_us - item->at_us);

  switch (kind)
    {
    case LATENCY_FIRST:
      return r->first_us == 0 ? -1 : (float)(r->first_us - item->at_us);
    case LATENCY_WHOLE:
      return model && r->end == LOAD_END_DONE ? whole : -1;
    case LATENCY_PLAIN:
      return !model && r->end == LOAD_END_DONE ? whole : -1;
    case LATENCY_REFUSAL:
      return r->end == LOAD_END_NOT_RUN ? whole : -1;
    }
  return -1;
}

static json_object *
latency_json (const load_records *records, latency_kind kind)
{
  GArray *values = g_array_new (FALSE, FALSE, sizeof (float));
  json_object *json;

  for (guint i = 0; i < records->items->len; i++)
    {
      float v = record_latency (records, i, kind);

      if (v >= 0)
        g_array_append_val (values, v);
    }
  json = quantiles_json (values);
  g_array_unref (values);
  return json;
}

static void
add_latencies (json_object *json, const load_records *records)
{
  json_object *all = add_object (json, "latency_ms");

  json_object_object_add (all, "first", latency_json (records, LATENCY_FIRST));
  json_object_object_add (all, "whole", latency_json (records, LATENCY_WHOLE));
  json_object_object_add (all, "plain", latency_json (records, LATENCY_PLAIN));
  json_object_object_add (all, "refusal",
                          latency_json (records, LATENCY_REFUSAL));
  json_object_object_add (all, "gap", quantiles_json (records->gaps_us));
}

static void
add_reasons (json_object *json, const load_records *records)
{
  json_object *reasons = add_object (json, "reasons");

  for (guint i = 0; i < records->list->len; i++)
    {
      const load_record *r = &g_array_index (records->list, load_record, i);
      char *key;

      if (r->end == LOAD_END_DONE)
        continue;
      key = g_strdup_printf ("%s %s", load_end_name (r->end),
                             r->reason == NULL ? "" : r->reason);
      add_int (reasons, key,
               (int64_t)load_result_number (reasons, key, 0) + 1);
      g_free (key);
    }
}

/* Tokens a second in TICKS ticks from FROM on.  */
static double
ticks_rate (const GArray *ticks, guint from, guint n)
{
  double sum = 0;

  for (guint i = from; i < from + n && i < ticks->len; i++)
    sum += g_array_index (ticks, uint32_t, i);
  return n == 0 ? 0 : sum / n * TICKS_PER_S;
}

static double
scenario_capacity (const load_scenario *s, uint64_t at_us)
{
  double sum = 0;

  for (guint m = 0; m < s->models->len; m++)
    sum += load_capacity (s, m, at_us);
  return sum;
}

/* The tick within DIP_TICKS of AT from which on the rate is lowest.  */
static guint
lowest_tick (const GArray *ticks, guint at, guint end)
{
  guint lowest = at;

  for (guint t = at; t <= at + DIP_TICKS && t + AFTER_TICKS <= end; t++)
    if (ticks_rate (ticks, t, AFTER_TICKS)
        < ticks_rate (ticks, lowest, AFTER_TICKS))
      lowest = t;
  return lowest;
}

/* Ticks from AT until the rate is at WANTED again after the dip at LOWEST; 0
   when it did not fall below, -1 when it did not come back before END.  */
static int
recovery_ticks (const GArray *ticks, guint at, guint lowest, guint end,
                double wanted)
{
  if (ticks_rate (ticks, lowest, AFTER_TICKS) >= wanted)
    return 0;
  for (guint t = lowest; t + AFTER_TICKS <= end; t++)
    if (ticks_rate (ticks, t, AFTER_TICKS) >= wanted)
      return (int)(t - at);
  return -1;
}

/* How the throughput of tokens came back after fault F.  */
static json_object *
fault_json (const load_records *records, const load_fault *f)
{
  json_object *json = json_object_new_object ();
  const GArray *ticks = records->ticks;
  guint at = (guint)(f->at_us / LOAD_TICK_US);
  guint n = MIN (at, BEFORE_TICKS);
  guint end = (guint)(records->scenario->duration_us / LOAD_TICK_US);
  guint lowest = lowest_tick (ticks, at, end);
  double before = ticks_rate (ticks, at - n, n);
  double after = scenario_capacity (records->scenario, f->at_us + 1);
  int recovery = recovery_ticks (ticks, at, lowest, end,
                                 RECOVERED * MIN (before, after));

  add_number (json, "at_s", (double)f->at_us / 1e6);
  add_string (json, "target", mq_str_cstr (f->target));
  add_string (json, "what",
              f->kind == LOAD_FAULT_POST     ? mq_str_cstr (f->body)
              : f->kind == LOAD_FAULT_SIGNAL ? g_strsignal (f->signal)
              : f->kind == LOAD_FAULT_LEAVE  ? "leaving"
                                             : "restart");
  add_number (json, "before", before);
  add_number (json, "survivors", after);
  add_number (json, "lowest", ticks_rate (ticks, lowest, AFTER_TICKS));
  json_object_object_add (json, "recovery_s",
                          recovery < 0 ? NULL
                                       : number (recovery / TICKS_PER_S));
  return json;
}

static void
add_faults (json_object *json, const load_records *records)
{
  json_object *list = json_object_new_array ();
  const GArray *faults = records->scenario->faults;

  for (guint i = 0; i < faults->len; i++)
    {
      const load_fault *f = &g_array_index (faults, load_fault, i);

      if (f->measured)
        json_object_array_add (list, fault_json (records, f));
    }
  json_object_object_add (json, "faults", list);
}

static void
add_promises (json_object *json, const load_records *records)
{
  json_object *list = json_object_new_array ();

  for (guint i = 0; i < records->breaches->len; i++)
    {
      const load_breach *b
          = &g_array_index (records->breaches, load_breach, i);
      json_object *item = json_object_new_object ();

      add_string (item, "promise", b->promise);
      add_int (item, "request", b->number);
      json_object_array_add (list, item);
    }
  json_object_object_add (json, "broken", list);
}

static void
add_timeline (json_object *json, const load_run *run, const load_bound *bound)
{
  json_object *line = add_object (json, "timeline");
  json_object *tokens = json_object_new_array ();
  json_object *most = json_object_new_array ();
  const GArray *ticks = run->records.ticks;

  add_number (line, "tick_s", 1 / TICKS_PER_S);
  for (guint i = 0; i < ticks->len; i++)
    json_object_array_add (
        tokens,
        json_object_new_int ((int32_t)g_array_index (ticks, uint32_t, i)));
  for (guint i = 0; i < bound->per_tick->len; i++)
    json_object_array_add (most, json_object_new_int ((int32_t)g_array_index (
                                     bound->per_tick, double, i)));
  json_object_object_add (line, "tokens", tokens);
  json_object_object_add (line, "bound", most);
}

static void
add_processes (json_object *json, const load_cluster *cluster)
{
  static const char *const roles[]
      = { "platform", "engine", "plain", "router" };
  json_object *all = add_object (json, "processes");

  for (guint role = 0; role < G_N_ELEMENTS (roles); role++)
    {
      json_object *item = add_object (all, roles[role]);
      double cpu = 0;
      double rss = 0;
      int64_t n = 0;

      for (guint i = 0; i < cluster->processes->len; i++)
        {
          const load_process *p = g_ptr_array_index (cluster->processes, i);

          if (p->role != role)
            continue;
          n++;
          cpu += p->earlier_cpu_s + p->cpu_s;
          rss = MAX (rss, (double)p->rss_bytes);
        }
      add_int (item, "count", n);
      add_number (item, "cpu_s", cpu);
      add_number (item, "max_rss_mb", rss / 1024 / 1024);
    }
}

static void
add_restarts (json_object *json, const load_cluster *cluster)
{
  json_object *list = json_object_new_array ();

  for (guint i = 0; i < cluster->restarts->len; i++)
    {
      const load_restart *r = g_ptr_array_index (cluster->restarts, i);
      json_object *item = json_object_new_object ();

      add_string (item, "process", r->process->name);
      add_int (item, "exit_status", r->exit_status);
      add_number (item, "drain_s", r->drain_s);
      json_object_array_add (list, item);
    }
  json_object_object_add (json, "restarts", list);
}

/* What the platform counted, from its /stats.  */
static void
add_platform (json_object *json, const load_run *run)
{
  const load_process *p = g_ptr_array_index (run->cluster->processes, 0);
  char *url = g_strdup_printf ("http://%s/stats", p->address);
  GString *text = g_string_new (NULL);

  if (load_fetch (run->loop, run->client, "GET", url, NULL, text) == 200)
    json_object_object_add (json, "platform", json_tokener_parse (text->str));
  g_string_free (text, TRUE);
  g_free (url);
}

static void
add_work (json_object *json, const load_sums *all, const load_bound *bound)
{
  json_object *work = add_object (json, "work");
  uint32_t accepted = all->offered - all->ends[LOAD_END_NOT_RUN]
                      - all->ends[LOAD_END_UNREACHABLE];

  add_number (work, "offered", bound->offered);
  add_number (work, "bound", bound->work);
  add_number (work, "in_time", all->work_in_time);
  add_number (work, "ratio",
              bound->work > 0 ? all->work_in_time / bound->work : 0);
  add_int (json, "accepted", accepted);
  add_number (json, "accepted_not_in_time",
              accepted == 0
                  ? 0
                  : (double)(accepted - all->in_time) / (double)accepted);
}

static void
add_groups (json_object *json, const load_records *records)
{
  const load_scenario *s = records->scenario;
  json_object *organisations = add_object (json, "organisations");
  json_object *kinds = add_object (json, "kinds");

  for (guint i = 0; i < s->organisations->len; i++)
    {
      load_sums sums = sums_of (records, SUMS_ORGANISATION, i);

      json_object_object_add (
          organisations,
          mq_str_cstr (
              g_array_index (s->organisations, load_organisation, i).name),
          sums_json (&sums));
    }
  for (guint i = 0; i < s->kinds->len; i++)
    {
      load_sums sums = sums_of (records, SUMS_KIND, i);

      json_object_object_add (
          kinds, mq_str_cstr (g_array_index (s->kinds, load_kind, i).name),
          sums_json (&sums));
    }
}

json_object *
load_result_new (load_run *run)
{
  const load_scenario *s = run->scenario;
  json_object *json = json_object_new_object ();
  load_sums all = sums_of (&run->records, SUMS_ALL, 0);
  load_bound bound;

  load_bound_init (&bound, s, run->items);
  add_string (json, "scenario", mq_str_cstr (s->name));
  add_string (json, "routing", mq_str_cstr (s->routing));
  add_int (json, "seed", (int64_t)s->seed);
  add_number (json, "load", s->factor);
  add_number (json, "duration_s", (double)s->duration_us / 1e6);
  add_int (json, "routers", s->routers);
  add_number (json, "capacity", scenario_capacity (s, 0));
  json_object_object_add (json, "requests", sums_json (&all));
  add_work (json, &all, &bound);
  add_reasons (json, &run->records);
  add_latencies (json, &run->records);
  add_groups (json, &run->records);
  add_faults (json, &run->records);
  add_promises (json, &run->records);
  add_int (json, "tokens", (int64_t)run->records.tokens);
  add_int (json, "asks", (int64_t)run->callers.asked);
  add_int (json, "asks_failed", (int64_t)run->callers.failed);
  add_restarts (json, run->cluster);
  add_processes (json, run->cluster);
  add_platform (json, run);
  add_timeline (json, run, &bound);
  load_bound_finish (&bound);
  return json;
}

json_object *
load_result_read (const char *path, GError **error)
{
  char *text;
  json_object *json;

  if (!g_file_get_contents (path, &text, NULL, error))
    return NULL;
  json = json_tokener_parse (text);
  g_free (text);
  if (json == NULL)
    g_set_error (error, G_FILE_ERROR, G_FILE_ERROR_INVAL, "%s: not JSON",
                 path);
  return json;
}

json_object *
load_result_at (json_object *result, const char *path)
{
  char **keys = g_strsplit (path, ".", -1);

  for (char **k = keys; *k != NULL && result != NULL; k++)
    if (!json_object_object_get_ex (result, *k, &result))
      result = NULL;
  g_strfreev (keys);
  return result;
}

double
load_result_number (json_object *result, const char *path, double fallback)
{
  json_object *v = load_result_at (result, path);

  return v == NULL ? fallback : json_object_get_double (v);
}

const char *
load_result_string (json_object *result, const char *path)
{
  json_object *v = load_result_at (result, path);

  return v == NULL ? "" : json_object_get_string (v);
}
