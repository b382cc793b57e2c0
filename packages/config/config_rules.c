/* Checks between the entries of a configuration: see
   mq/internal/config_read.h.

   A contradiction is a fault, for which the configuration is rejected.  Layers
   that no engine holds only give a warning: engines are added, reloaded and
   lost while the system runs, and only requests for that model are
   rejected.  */

#include <mq/internal/config_read.h>

#include <string.h>

typedef struct rules_check
{
  mq_json_doc *doc;
  const mq_config *config;
  GPtrArray *warnings;
} rules_check;

static void rules_warn (const rules_check *c, const char *path,
                        const char *format, ...) G_GNUC_PRINTF (3, 4);

static void
rules_warn (const rules_check *c, const char *path, const char *format, ...)
{
  va_list args;
  char *text;
  char *place;

  if (c->warnings == NULL)
    return;
  va_start (args, format);
  text = g_strdup_vprintf (format, args);
  va_end (args);
  place = mq_json_location_string (c->doc, path);
  g_ptr_array_add (c->warnings, g_strdup_printf ("%s: %s", place, text));
  g_free (place);
  g_free (text);
}

/* Returns the path SECTION.NAME.KEY; free with g_free.  */
static char *
rules_path (const char *section, const mq_str *name, const char *key)
{
  return g_strdup_printf ("%s.%s.%s", section, mq_str_cstr (name), key);
}

/* Record a fault at PATH if another owner in SEEN, a table from values to
   owners, has VALUE; else add VALUE and OWNER to SEEN, which borrows them.
   Frees PATH.  */
static void
rules_check_unique (const rules_check *c, GHashTable *seen, const char *value,
                    const char *owner, char *path)
{
  const char *other = g_hash_table_lookup (seen, value);

  if (other != NULL)
    mq_json_fault_at (c->doc, path, "already used by %s", other);
  else
    g_hash_table_insert (seen, (gpointer)value, (gpointer)owner);
  g_free (path);
}

static void
rules_check_organisations (const rules_check *c)
{
  GHashTable *seen = g_hash_table_new_full (
      g_bytes_hash, g_bytes_equal, (GDestroyNotify)g_bytes_unref, NULL);

  for (guint i = 0; i < c->config->organisations->len; i++)
    {
      const mq_organisation *o
          = &g_array_index (c->config->organisations, mq_organisation, i);
      GBytes *key = g_bytes_new (o->token_sha256, MQ_SHA256_SIZE);
      const char *other = g_hash_table_lookup (seen, key);
      char *path = rules_path ("organisations", o->name, "token_sha256");

      if (other != NULL)
        mq_json_fault_at (c->doc, path, "already used by %s", other);
      g_hash_table_insert (seen, key, o->name->data);
      g_free (path);
    }
  g_hash_table_unref (seen);
}

static void
rules_check_engine (const rules_check *c, const mq_engine *e)
{
  const mq_model *m = mq_config_model (c->config, mq_str_span (e->model));
  char *path;

  if (m == NULL && e->model != NULL)
    {
      path = rules_path ("engines", e->name, "model");
      mq_json_fault_at (c->doc, path, "model %s is not defined",
                        mq_str_cstr (e->model));
      g_free (path);
    }
  path = rules_path ("engines", e->name, "end");
  if (e->end <= e->first)
    mq_json_fault_at (c->doc, path,
                      "found %u, expected more than first, which is %u",
                      e->end, e->first);
  else if (m != NULL && e->end > m->layers)
    mq_json_fault_at (
        c->doc, path,
        "found %u, expected at most %u, the number of layers of model %s",
        e->end, m->layers, mq_str_cstr (m->name));
  g_free (path);
}

/* A URL must belong to a single engine or instance.  */
static void
rules_check_urls (const rules_check *c)
{
  GHashTable *seen = g_hash_table_new (g_str_hash, g_str_equal);

  for (guint i = 0; i < c->config->engines->len; i++)
    {
      const mq_engine *e = &g_array_index (c->config->engines, mq_engine, i);

      if (e->url != NULL)
        rules_check_unique (c, seen, e->url->data, e->name->data,
                            rules_path ("engines", e->name, "url"));
    }
  for (guint i = 0; i < c->config->services->len; i++)
    {
      const mq_service *s
          = &g_array_index (c->config->services, mq_service, i);

      if (s->kind != MQ_SERVICE_PLAIN)
        continue;
      for (guint k = 0; k < s->u.plain.instances->len; k++)
        {
          const mq_instance *instance
              = &g_array_index (s->u.plain.instances, mq_instance, k);

          if (instance->url != NULL)
            rules_check_unique (
                c, seen, instance->url->data, s->name->data,
                g_strdup_printf ("services.%s.instances[%u].url",
                                 s->name->data, k));
        }
    }
  g_hash_table_unref (seen);
}

static void
rules_check_links (const rules_check *c)
{
  for (guint i = 0; i < c->config->links->len; i++)
    {
      const mq_link *l = &g_array_index (c->config->links, mq_link, i);
      mq_span from = mq_str_span (l->from);
      mq_span to = mq_str_span (l->to);

      if (mq_span_equal (from, to))
        mq_json_fault_at (c->doc, "links", "a link from %s to itself",
                          mq_str_cstr (l->from));
      else if (mq_config_link (c->config, from, to) != l)
        mq_json_fault_at (c->doc, "links", "two links between %s and %s",
                          mq_str_cstr (l->from), mq_str_cstr (l->to));
    }
}

static void
rules_check_service (const rules_check *c, const mq_service *s)
{
  char *path;

  if (s->deadline_ms > s->max_deadline_ms)
    {
      path = rules_path ("services", s->name, "deadline_ms");
      mq_json_fault_at (
          c->doc, path,
          "found %u, expected at most max_deadline_ms, which is %u",
          s->deadline_ms, s->max_deadline_ms);
      g_free (path);
    }
  if (s->kind != MQ_SERVICE_MODEL || s->u.model.model == NULL
      || mq_config_model (c->config, mq_str_span (s->u.model.model)) != NULL)
    return;
  path = rules_path ("services", s->name, "model");
  mq_json_fault_at (c->doc, path, "model %s is not defined",
                    mq_str_cstr (s->u.model.model));
  g_free (path);
}

/* Mark in HELD the layers of M that engines hold in the version of M.  */
static void
rules_mark_layers (const rules_check *c, const mq_model *m, bool *held)
{
  for (guint i = 0; i < c->config->engines->len; i++)
    {
      const mq_engine *e = &g_array_index (c->config->engines, mq_engine, i);

      if (!mq_span_equal (mq_str_span (e->model), mq_str_span (m->name))
          || !mq_span_equal (mq_str_span (e->version),
                             mq_str_span (m->version)))
        continue;
      for (uint32_t k = e->first; k < e->end && k < m->layers; k++)
        held[k] = true;
    }
}

static void
rules_warn_missing_layers (const rules_check *c, const mq_model *m)
{
  bool *held = g_new0 (bool, m->layers);
  uint32_t k = 0;

  rules_mark_layers (c, m, held);
  while (k < m->layers)
    {
      uint32_t first = k;

      while (k < m->layers && !held[k])
        k++;
      if (k > first)
        {
          char *path = g_strdup_printf ("models.%s", m->name->data);

          rules_warn (c, path, "no engine holds layers %u to %u of version %s",
                      first, k - 1, mq_str_cstr (m->version));
          g_free (path);
        }
      while (k < m->layers && held[k])
        k++;
    }
  g_free (held);
}

void
mq_config_check_references (mq_json_doc *doc, const mq_config *config,
                            GPtrArray *warnings)
{
  rules_check c = { doc, config, warnings };

  rules_check_organisations (&c);
  for (guint i = 0; i < config->engines->len; i++)
    rules_check_engine (&c, &g_array_index (config->engines, mq_engine, i));
  rules_check_urls (&c);
  rules_check_links (&c);
  for (guint i = 0; i < config->services->len; i++)
    rules_check_service (&c, &g_array_index (config->services, mq_service, i));
  for (guint i = 0; i < config->models->len; i++)
    rules_warn_missing_layers (&c,
                               &g_array_index (config->models, mq_model, i));
}
