/* What the planner knows of each engine: see mq/internal/engine_table.h.  */

#include <mq/internal/engine_table.h>

/* Between failure domains for which no file names a link.  */
#define DEFAULT_LINK_US 500.0
/* Inside one failure domain.  */
#define LOCAL_LINK_US 50.0
/* When a file gives no step time.  */
#define DEFAULT_STEP_US 20000.0

static guint
span_key_hash (gconstpointer key)
{
  return (guint)mq_span_hash (*(const mq_span *)key);
}

static gboolean
span_key_equal (gconstpointer a, gconstpointer b)
{
  return mq_span_equal (*(const mq_span *)a, *(const mq_span *)b);
}

static void
state_free (gpointer data)
{
  mq_engine_state *e = data;

  mq_str_unref (e->name);
  mq_str_unref (e->url);
  mq_str_unref (e->model);
  mq_str_unref (e->version);
  mq_str_unref (e->accelerator);
  g_free (e);
}

static void
str_free (gpointer data)
{
  mq_str_unref (data);
}

/* Put a new reference to VALUE in place of what *FIELD held.  */
static void
str_replace (mq_str **field, mq_str *value)
{
  mq_str *old = *field;

  *field = mq_str_ref (value);
  mq_str_unref (old);
}

static uint32_t
table_domain (mq_engine_table *table, mq_str *name)
{
  for (guint i = 0; i < table->domains->len; i++)
    if (mq_span_equal (mq_str_span (table->domains->pdata[i]),
                       mq_str_span (name)))
      return i;
  g_ptr_array_add (table->domains, mq_str_ref (name));
  return table->domains->len - 1;
}

/* The region of a failure domain, or the empty span where no file says.  */
static mq_span
config_region (const mq_config *config, mq_span domain)
{
  for (guint i = 0; i < config->failure_domains->len; i++)
    {
      const mq_failure_domain *d
          = &g_array_index (config->failure_domains, mq_failure_domain, i);

      if (mq_span_equal (mq_str_span (d->name), domain))
        return mq_str_span (d->region);
    }
  return (mq_span){ NULL, 0 };
}

/* Engines of a failure domain without a region count as near.  */
static bool
config_is_near (const mq_config *config, mq_span domain, mq_span own_domain)
{
  mq_span region = config_region (config, domain);
  mq_span own = config_region (config, own_domain);

  return region.size == 0 || own.size == 0 || mq_span_equal (region, own);
}

static mq_engine_state *
table_add (mq_engine_table *table, mq_str *name)
{
  mq_engine_state *e = g_new0 (mq_engine_state, 1);
  mq_span *key = g_new (mq_span, 1);

  e->name = mq_str_ref (name);
  *key = mq_str_span (e->name);
  g_ptr_array_add (table->states, e);
  g_hash_table_insert (table->byname, key, e);
  return e;
}

static void
state_configure (mq_engine_state *e, const mq_engine *engine, uint32_t domain)
{
  bool is_new = e->url == NULL;

  if (is_new || e->first != engine->first || e->end != engine->end)
    e->step_us = engine->step_us > 0 ? engine->step_us : DEFAULT_STEP_US;
  str_replace (&e->url, engine->url);
  str_replace (&e->model, engine->model);
  str_replace (&e->version, engine->version);
  str_replace (&e->accelerator, engine->accelerator);
  e->domain = domain;
  e->first = engine->first;
  e->end = engine->end;
  e->slots = MAX (engine->slots, 1);
  e->configured = true;
}

/* Free the states that nothing refers to any more.  */
static void
table_sweep (mq_engine_table *table)
{
  for (guint i = table->states->len; i-- > 0;)
    {
      mq_engine_state *e = table->states->pdata[i];
      mq_span key = mq_str_span (e->name);

      if (e->configured || e->in_flight > 0)
        continue;
      g_hash_table_remove (table->byname, &key);
      g_ptr_array_remove_index (table->states, i);
    }
}

static void
table_configure_links (mq_engine_table *table, const mq_config *config)
{
  guint n = table->domains->len;

  g_free (table->link_us);
  table->link_us = g_new (double, MAX (n * n, 1));
  for (guint from = 0; from < n; from++)
    for (guint to = 0; to < n; to++)
      {
        const mq_link *link = mq_config_link (
            config, mq_str_span (table->domains->pdata[from]),
            mq_str_span (table->domains->pdata[to]));
        double us = from == to ? LOCAL_LINK_US : DEFAULT_LINK_US;

        if (link != NULL)
          us = link->latency_us;
        table->link_us[from * n + to] = us;
      }
}

void
mq_engine_table_init (mq_engine_table *table)
{
  table->states = g_ptr_array_new_with_free_func (state_free);
  table->byname
      = g_hash_table_new_full (span_key_hash, span_key_equal, g_free, NULL);
  table->domains = g_ptr_array_new_with_free_func (str_free);
  table->link_us = NULL;
}

void
mq_engine_table_finish (mq_engine_table *table)
{
  g_hash_table_unref (table->byname);
  g_ptr_array_unref (table->states);
  g_ptr_array_unref (table->domains);
  g_free (table->link_us);
}

void
mq_engine_table_configure (mq_engine_table *table, const mq_config *config,
                           mq_span own_domain)
{
  for (guint i = 0; i < table->states->len; i++)
    {
      mq_engine_state *e = table->states->pdata[i];

      e->configured = false;
    }
  for (guint i = 0; i < config->engines->len; i++)
    {
      const mq_engine *engine = &g_array_index (config->engines, mq_engine, i);
      mq_engine_state *e;

      if (!config_is_near (config, mq_str_span (engine->failure_domain),
                           own_domain))
        continue;
      e = mq_engine_table_find (table, mq_str_span (engine->name));
      if (e == NULL)
        e = table_add (table, engine->name);
      state_configure (e, engine,
                       table_domain (table, engine->failure_domain));
    }
  table_sweep (table);
  table_configure_links (table, config);
}

mq_engine_state *
mq_engine_table_find (const mq_engine_table *table, mq_span name)
{
  return g_hash_table_lookup (table->byname, &name);
}

double
mq_engine_table_link_us (const mq_engine_table *table, uint32_t from,
                         uint32_t to)
{
  return table->link_us[from * table->domains->len + to];
}

bool
mq_engine_state_usable (const mq_engine_state *state, uint64_t now_us)
{
  return state->configured && !state->down && !state->leaving
         && now_us >= state->back_off_until_us;
}

double
mq_engine_state_load (const mq_engine_state *state, double more_demand)
{
  return (state->demand + more_demand) * state->step_us / state->slots;
}

void
mq_engine_state_hold (mq_engine_state *state, double demand)
{
  state->in_flight++;
  state->demand += demand;
}

void
mq_engine_state_drop (mq_engine_state *state, double demand)
{
  g_return_if_fail (state->in_flight > 0);
  state->in_flight--;
  /* Rounding must not outlive the last attempt.  */
  state->demand = state->in_flight == 0 ? 0.0 : state->demand - demand;
}
