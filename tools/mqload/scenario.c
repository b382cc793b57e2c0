/* Scenarios: see scenario.h.  */

#include "scenario.h"

#include <mq/json.h>
#include <signal.h>
#include <string.h>

#define MANY 1000000
#define MINUTE_MS 60000

static const char *const shape_names[] = { "poisson", "closing", NULL };
static const char *const guard_names[] = { "none", "key", "ticket", NULL };
static const char *const kind_names[] = { "model", "plain", NULL };

static const struct
{
  const char *name;
  int number;
} signal_names[] = { { "kill", SIGKILL },
                     { "stop", SIGSTOP },
                     { "continue", SIGCONT },
                     { "terminate", SIGTERM } };

static void
model_clear (gpointer data)
{
  load_model *m = data;

  mq_str_unref (m->name);
  mq_str_unref (m->version);
}

static void
engines_clear (gpointer data)
{
  load_engines *e = data;

  mq_str_unref (e->name);
  g_ptr_array_unref (e->accelerators);
}

static void
service_clear (gpointer data)
{
  mq_str_unref (((load_service *)data)->name);
}

static void
organisation_clear (gpointer data)
{
  mq_str_unref (((load_organisation *)data)->name);
}

static void
kind_clear (gpointer data)
{
  load_kind *k = data;

  mq_str_unref (k->name);
  mq_str_unref (k->method);
  mq_str_unref (k->path);
}

static void
fault_clear (gpointer data)
{
  load_fault *f = data;

  mq_str_unref (f->target);
  mq_str_unref (f->body);
}

static GArray *
array_new (size_t size, GDestroyNotify clear)
{
  GArray *a = g_array_new (FALSE, TRUE, (guint)size);

  g_array_set_clear_func (a, clear);
  return a;
}

static uint32_t
read_u32 (const mq_json *json, const char *key, uint32_t min, uint32_t max,
          uint32_t fallback)
{
  return (uint32_t)mq_json_u64 (json, key, min, max, fallback);
}

/* A pair [MIN, MAX], or one number for both.  */
static load_range
read_range (const mq_json *json, const char *key, uint32_t fallback)
{
  load_range r = { fallback, fallback };
  struct json_object *v;

  if (!mq_json_has (json, key))
    return r;
  json_object_object_get_ex (json->value, key, &v);
  if (json_object_is_type (v, json_type_int))
    r.min = r.max = (uint32_t)json_object_get_int64 (v);
  else if (json_object_is_type (v, json_type_array)
           && json_object_array_length (v) == 2)
    {
      r.min
          = (uint32_t)json_object_get_int64 (json_object_array_get_idx (v, 0));
      r.max
          = (uint32_t)json_object_get_int64 (json_object_array_get_idx (v, 1));
    }
  else
    mq_json_fault (json, key, "expected a number or [MIN, MAX]");
  if (r.min > r.max)
    mq_json_fault (json, key, "expected MIN at most MAX");
  return r;
}

/* The index in ARRAY, whose elements begin with their names, of the name at
   KEY; 0 with a fault noted when there is none.  */
static uint32_t
read_reference (const mq_json *json, const char *key, const GArray *array)
{
  mq_span name = mq_json_span (json, key, (mq_span){ NULL, 0 });
  guint size = g_array_get_element_size ((GArray *)array);

  for (guint i = 0; i < array->len; i++)
    {
      mq_str *const *at = (const void *)(array->data + (size_t)i * size);

      if (mq_span_equal (mq_str_span (*at), name))
        return i;
    }
  mq_json_fault (json, key, "no such entry: \"%.*s\"", MQ_SPAN_ARG (name));
  return 0;
}

static GPtrArray *
read_names (const mq_json *json, const char *key)
{
  GPtrArray *names
      = g_ptr_array_new_with_free_func ((GDestroyNotify)mq_str_unref);
  mq_json list;

  if (!mq_json_array (json, key, &list))
    return names;
  for (size_t i = 0; i < mq_json_size (&list); i++)
    g_ptr_array_add (names, mq_str_new (mq_json_element_span (&list, i)));
  return names;
}

static void
read_model (const mq_json *json, load_scenario *s)
{
  load_model m = { .name = mq_str_new (json->key) };

  mq_json_require (json, "version", "layers", NULL);
  m.version = mq_json_str (json, "version");
  m.layers = read_u32 (json, "layers", 1, MANY, 1);
  g_array_append_val (s->models, m);
}

static void
read_engines (const mq_json *json, load_scenario *s)
{
  load_engines e = { .name = mq_str_new (json->key) };

  mq_json_require (json, "model", NULL);
  e.model = read_reference (json, "model", s->models);
  e.pipelines = read_u32 (json, "pipelines", 1, 100, 1);
  e.stages = read_u32 (json, "stages", 1, 16, 1);
  e.accelerators = read_names (json, "accelerators");
  e.slots = read_u32 (json, "slots", 1, 4096, 16);
  e.step_us = read_u32 (json, "step_us", 100, 10000000, 10000);
  e.stream_us = read_u32 (json, "stream_us", 0, 1000000, 50);
  e.prefill_us = read_u32 (json, "prefill_us", 0, 1000000, 10);
  e.link_us = read_u32 (json, "link_us", 0, 1000000, 0);
  e.checks_fencing = mq_json_bool (json, "checks_fencing", false);
  if (s->models->len > 0
      && e.stages > g_array_index (s->models, load_model, e.model).layers)
    mq_json_fault (json, "stages", "more than the model has layers");
  g_array_append_val (s->engines, e);
}

static void
read_service (const mq_json *json, load_scenario *s)
{
  load_service v = { .name = mq_str_new (json->key) };

  mq_json_require (json, "kind", "deadline_ms", NULL);
  v.kind = (mq_service_kind)mq_json_enum (json, "kind", kind_names, 0);
  v.deadline_ms = read_u32 (json, "deadline_ms", 1, 60 * MINUTE_MS, 1000);
  switch (v.kind)
    {
    case MQ_SERVICE_MODEL:
      v.model = read_reference (json, "model", s->models);
      break;
    case MQ_SERVICE_PLAIN:
      v.instances = read_u32 (json, "instances", 1, 100, 1);
      v.work_us = read_u32 (json, "work_us", 0, 10000000, 1000);
      v.honours_keys = mq_json_bool (json, "honours_keys", false);
      break;
    }
  g_array_append_val (s->services, v);
}

static void
read_organisation (const mq_json *json, load_scenario *s)
{
  load_organisation o = { .name = mq_str_new (json->key) };

  o.share = mq_json_double (json, "share", 0, MANY, 1);
  o.weight = read_u32 (json, "weight", 1, 10000, 1);
  o.callers = read_u32 (json, "callers", 1, 1000, 4);
  g_array_append_val (s->organisations, o);
}

static void
read_kind (const mq_json *json, load_scenario *s)
{
  load_kind k = { .name = mq_str_new (json->key) };
  const load_service *v;

  mq_json_require (json, "service", NULL);
  k.service = read_reference (json, "service", s->services);
  k.factor = mq_json_double (json, "load", 0, 100, 0);
  k.per_s = mq_json_double (json, "per_s", 0, MANY, 0);
  k.peak = mq_json_double (json, "peak", 1, 100, 3);
  k.shape = (load_shape)mq_json_enum (json, "shape", shape_names, 0);
  k.deadline_ms = read_range (json, "deadline_ms", 0);
  k.prompt_bytes = read_range (json, "prompt_bytes", 200);
  k.tokens = read_range (json, "tokens", 16);
  k.method = mq_str_new (mq_json_span (json, "method", MQ_SPAN ("POST")));
  k.path = mq_str_new (mq_json_span (json, "path", MQ_SPAN ("/")));
  k.repeatable = mq_json_bool (json, "repeatable", false);
  k.guard = (load_guard)mq_json_enum (json, "guard", guard_names, 0);
  if (s->services->len > 0)
    {
      v = &g_array_index (s->services, load_service, k.service);
      if (k.deadline_ms.max == 0)
        k.deadline_ms = (load_range){ v->deadline_ms, v->deadline_ms };
    }
  g_array_append_val (s->kinds, k);
}

static int
read_signal (const mq_json *json)
{
  mq_span name = mq_json_span (json, "signal", (mq_span){ NULL, 0 });

  for (size_t i = 0; i < G_N_ELEMENTS (signal_names); i++)
    if (mq_span_equal (name, mq_span_from (signal_names[i].name)))
      return signal_names[i].number;
  mq_json_fault (json, "signal",
                 "expected \"kill\", \"stop\", \"continue\" or "
                 "\"terminate\"");
  return 0;
}

static int64_t
body_int (struct json_object *body, const char *key, int64_t fallback)
{
  struct json_object *v;

  if (!json_object_object_get_ex (body, key, &v))
    return fallback;
  return json_object_get_int64 (v);
}

/* What a fault switched on at an engine does to its capacity.  */
static void
fault_read_effect (load_fault *f, struct json_object *body)
{
  struct json_object *v;
  int64_t slow_ms = body_int (body, "slow_for_ms", -1);
  int64_t hang_ms = body_int (body, "hang_ms", -1);

  f->slowdown = 1;
  f->lasts_us = UINT64_MAX;
  if (json_object_object_get_ex (body, "die", NULL))
    f->slowdown = 0;
  if (json_object_object_get_ex (body, "slow_factor", &v))
    {
      f->slowdown = 1 / MAX (json_object_get_double (v), 1);
      if (slow_ms >= 0)
        f->lasts_us = (uint64_t)slow_ms * 1000;
    }
  if (hang_ms >= 0)
    {
      f->slowdown = 0;
      f->lasts_us = (uint64_t)hang_ms * 1000;
    }
}

static void
read_fault (const mq_json *json, load_scenario *s)
{
  load_fault f = { .slowdown = 1, .lasts_us = UINT64_MAX };
  mq_json body;

  mq_json_require (json, "at_s", "target", NULL);
  f.at_us = (uint64_t)(mq_json_double (json, "at_s", 0, 3600, 0) * 1e6);
  f.target = mq_json_str (json, "target");
  f.measured = mq_json_bool (json, "measured", true);
  if (mq_json_object (json, "fault", &body))
    {
      f.kind = LOAD_FAULT_POST;
      f.body = mq_str_new (
          mq_span_from (json_object_to_json_string_ext (body.value, 0)));
      fault_read_effect (&f, body.value);
    }
  else if (mq_json_has (json, "signal"))
    {
      f.kind = LOAD_FAULT_SIGNAL;
      f.signal = read_signal (json);
      if (f.signal == SIGKILL || f.signal == SIGSTOP)
        f.slowdown = 0;
    }
  else if (mq_json_bool (json, "leave", false))
    f.kind = LOAD_FAULT_LEAVE;
  else if (mq_json_bool (json, "restart", false))
    f.kind = LOAD_FAULT_RESTART;
  else
    mq_json_fault (json, NULL, "expected fault, signal, leave or restart");
  g_array_append_val (s->faults, f);
}

typedef void (*read_entry) (const mq_json *json, load_scenario *s);

static void
read_section (const mq_json *root, const char *key, read_entry read,
              load_scenario *s)
{
  mq_json section;
  mq_json entry;
  mq_json_iter iter;

  if (!mq_json_object (root, key, &section))
    return;
  mq_json_iter_init (&iter, &section);
  while (mq_json_iter_next (&iter, &entry))
    {
      read (&entry, s);
      mq_json_reject_unknown (&entry);
    }
}

static gint
fault_compare (gconstpointer a, gconstpointer b)
{
  const load_fault *x = a;
  const load_fault *y = b;

  return (x->at_us > y->at_us) - (x->at_us < y->at_us);
}

/* A stopped engine gives capacity again when it is let go on.  */
static void
faults_join (GArray *faults)
{
  for (guint i = 0; i < faults->len; i++)
    {
      load_fault *f = &g_array_index (faults, load_fault, i);

      for (guint j = i + 1; f->signal == SIGSTOP && j < faults->len; j++)
        {
          const load_fault *g = &g_array_index (faults, load_fault, j);

          if (g->signal != SIGCONT
              || !mq_span_equal (mq_str_span (f->target),
                                 mq_str_span (g->target)))
            continue;
          f->lasts_us = g->at_us - f->at_us;
          break;
        }
    }
}

static void
read_faults (const mq_json *root, load_scenario *s)
{
  mq_json list;
  mq_json entry;

  if (!mq_json_array (root, "faults", &list))
    return;
  for (size_t i = 0; i < mq_json_size (&list); i++)
    if (mq_json_element (&list, i, &entry))
      {
        read_fault (&entry, s);
        mq_json_reject_unknown (&entry);
      }
  g_array_sort (s->faults, fault_compare);
  faults_join (s->faults);
}

static void
read_root (const mq_json *root, load_scenario *s)
{
  mq_json_require (root, "name", "region", "failure_domains", "models",
                   "engines", "services", "organisations", "loads", NULL);
  s->name = mq_json_str (root, "name");
  s->region = mq_json_str (root, "region");
  s->failure_domains = read_names (root, "failure_domains");
  if (s->failure_domains->len == 0)
    mq_json_fault (root, "failure_domains", "expected one at least");
  s->routers = read_u32 (root, "routers", 1, 60, 3);
  s->duration_us
      = (uint64_t)(mq_json_double (root, "duration_s", 1, 600, 20) * 1e6);
  s->seed = mq_json_u64 (root, "seed", 0, G_MAXINT64, 1);
  s->routing
      = mq_str_new (mq_json_span (root, "routing", MQ_SPAN ("deadline")));
  s->factor = 1;
  s->cuts_nothing = mq_json_bool (root, "cuts_nothing", false);
  read_section (root, "models", read_model, s);
  read_section (root, "engines", read_engines, s);
  read_section (root, "services", read_service, s);
  read_section (root, "organisations", read_organisation, s);
  read_section (root, "loads", read_kind, s);
  read_faults (root, s);
  mq_json_reject_unknown (root);
}

load_scenario *
load_scenario_read (const char *path, GError **error)
{
  mq_json_doc *doc = mq_json_read (path, error);
  load_scenario *s;
  mq_json root;

  if (doc == NULL)
    return NULL;
  s = g_new0 (load_scenario, 1);
  s->models = array_new (sizeof (load_model), model_clear);
  s->engines = array_new (sizeof (load_engines), engines_clear);
  s->services = array_new (sizeof (load_service), service_clear);
  s->organisations
      = array_new (sizeof (load_organisation), organisation_clear);
  s->kinds = array_new (sizeof (load_kind), kind_clear);
  s->faults = array_new (sizeof (load_fault), fault_clear);
  root = mq_json_root (doc);
  read_root (&root, s);
  if (mq_json_doc_check (doc, error) != 0)
    {
      load_scenario_free (s);
      s = NULL;
    }
  mq_json_doc_free (doc);
  return s;
}

void
load_scenario_free (load_scenario *scenario)
{
  mq_str_unref (scenario->name);
  mq_str_unref (scenario->region);
  mq_str_unref (scenario->routing);
  g_ptr_array_unref (scenario->failure_domains);
  g_array_unref (scenario->models);
  g_array_unref (scenario->engines);
  g_array_unref (scenario->services);
  g_array_unref (scenario->organisations);
  g_array_unref (scenario->kinds);
  g_array_unref (scenario->faults);
  g_free (scenario);
}

char *
load_engine_name (const load_engines *group, uint32_t p, uint32_t k)
{
  return g_strdup_printf ("%s-%u-%u", mq_str_cstr (group->name), p + 1, k + 1);
}

void
load_engine_layers (const load_scenario *scenario, const load_engines *group,
                    uint32_t k, uint32_t *first, uint32_t *end)
{
  uint32_t layers
      = g_array_index (scenario->models, load_model, group->model).layers;

  *first = layers * k / group->stages;
  *end = layers * (k + 1) / group->stages;
}

const char *
load_engine_accelerator (const load_engines *group, uint32_t p)
{
  if (group->accelerators->len == 0)
    return "fast";
  return mq_str_cstr (
      g_ptr_array_index (group->accelerators, p % group->accelerators->len));
}

double
load_engine_slowness (const load_engines *group, uint32_t p)
{
  const char *kind = load_engine_accelerator (group, p);

  if (strcmp (kind, "standard") == 0)
    return 2;
  return strcmp (kind, "slow") == 0 ? 4 : 1;
}
