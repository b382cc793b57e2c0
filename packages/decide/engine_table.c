/* What the planner knows of each engine: see mq/internal/engine_table.h.  */

#include <mq/internal/engine_table.h>
#include <mq/internal/span_table.h>

#include <string.h>

/* Between failure domains for which no file names a link.  */
#define DEFAULT_LINK_US 500.0
/* Inside one failure domain.  */
#define LOCAL_LINK_US 50.0
/* When a file gives no step time.  */
#define DEFAULT_STEP_US 20000.0
/* The least time between two samples of an engine's demand.  */
#define HISTORY_STEP_US 25000
/* An engine counts all when more than this part of its reports show just what
   it was given.  */
#define COUNTS_ALL_FROM 0.75
/* A token that arrives while a step runs waits for half of it.  */
#define RESIDUAL_STEP 0.5
/* Bounds of what the estimates for a link may become.  */
#define LEAST_LINK_DRAG 0.1
#define MOST_LINK_DRAG 1000.0

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

  e->name = mq_str_ref (name);
  e->name_hash = mq_span_hash (mq_str_span (name));
  g_ptr_array_add (table->states, e);
  mq_span_table_add (table->byname, e->name, e);
  return e;
}

/* What the files say of the layers counts when it changes; between changes
   the engine's own reports do, since it may have been ordered to load
   others.  */
static void
state_configure_layers (mq_engine_state *e, const mq_engine *engine)
{
  if (e->config_first == engine->first && e->config_end == engine->end)
    return;
  e->config_first = engine->first;
  e->config_end = engine->end;
  e->first = engine->first;
  e->end = engine->end;
}

static void
state_configure (mq_engine_state *e, const mq_engine *engine, uint32_t domain)
{
  double guess = engine->step_us > 0 ? engine->step_us : DEFAULT_STEP_US;

  if (e->url == NULL)
    e->drag = 1;
  /* A new guess replaces the old one, not what was measured.  */
  if (e->step.weight <= 0)
    mq_step_model_init (&e->step, guess);
  state_configure_layers (e, engine);
  str_replace (&e->url, engine->url);
  str_replace (&e->model, engine->model);
  str_replace (&e->version, engine->version);
  str_replace (&e->accelerator, engine->accelerator);
  e->domain = domain;
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

/* By the files, or a default where they name no link.  */
static double
config_link_us (const mq_config *config, mq_span from, mq_span to)
{
  const mq_link *link = mq_config_link (config, from, to);

  if (link != NULL)
    return MAX (link->latency_us, 1);
  return mq_span_equal (from, to) ? LOCAL_LINK_US : DEFAULT_LINK_US;
}

/* Domains are only ever added, so what was learned of a link stays with it. */
static void
table_configure_links (mq_engine_table *table, const mq_config *config,
                       uint32_t n_before)
{
  guint n = table->domains->len;
  double *drag = g_new (double, MAX (n * n, 1));

  g_free (table->link_us);
  table->link_us = g_new (double, MAX (n * n, 1));
  for (guint from = 0; from < n; from++)
    for (guint to = 0; to < n; to++)
      {
        mq_span a = mq_str_span (table->domains->pdata[from]);
        mq_span b = mq_str_span (table->domains->pdata[to]);
        bool known = from < n_before && to < n_before;

        table->link_us[from * n + to] = config_link_us (config, a, b);
        drag[from * n + to]
            = known ? table->link_drag[from * n_before + to] : 1.0;
      }
  g_free (table->link_drag);
  table->link_drag = drag;
  table->n_links = n * n;
}

void
mq_engine_table_init (mq_engine_table *table)
{
  table->states = g_ptr_array_new_with_free_func (state_free);
  table->byname = mq_span_table_new (NULL);
  table->domains = g_ptr_array_new_with_free_func (str_free);
  table->link_us = NULL;
  table->link_drag = NULL;
  table->n_links = 0;
}

void
mq_engine_table_finish (mq_engine_table *table)
{
  g_hash_table_unref (table->byname);
  g_ptr_array_unref (table->states);
  g_ptr_array_unref (table->domains);
  g_free (table->link_us);
  g_free (table->link_drag);
}

void
mq_engine_table_configure (mq_engine_table *table, const mq_config *config,
                           mq_span own_domain)
{
  uint32_t n_domains = table->domains->len;

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
  table_configure_links (table, config, n_domains);
}

mq_engine_state *
mq_engine_table_find (const mq_engine_table *table, mq_span name)
{
  return mq_span_table_find (table->byname, name);
}

double
mq_engine_table_link_us (const mq_engine_table *table, uint32_t from,
                         uint32_t to)
{
  uint32_t i = from * table->domains->len + to;

  return table->link_us[i] * table->link_drag[i];
}

void
mq_engine_table_adjust_link (mq_engine_table *table, uint32_t from,
                             uint32_t to, double change_us)
{
  uint32_t n = table->domains->len;
  uint32_t there = from * n + to;
  uint32_t back = to * n + from;
  double drag = table->link_drag[there] + change_us / table->link_us[there];

  drag = CLAMP (drag, LEAST_LINK_DRAG, MOST_LINK_DRAG);
  table->link_drag[there] = drag;
  table->link_drag[back] = drag;
}

/* After a fault an engine that reports at all must have reported since.  */
static bool
state_is_over_fault (const mq_engine_state *e, uint64_t now_us)
{
  if (e->faults == 0)
    return true;
  return now_us >= e->back_off_us
         && (e->reported_us == 0 || e->reported_us > e->faulted_us);
}

bool
mq_engine_state_usable (const mq_engine_state *state, uint64_t now_us)
{
  return state->configured && !state->down && !state->leaving
         && now_us >= state->reserved_until_us
         && state->standing != MQ_ENGINE_ASIDE
         && state_is_over_fault (state, now_us);
}

/* The engine restarted: what was known of the old process is void.  */
static void
state_restart (mq_engine_state *e)
{
  e->faults = 0;
  e->back_off_us = 0;
  e->leaving = false;
  e->standing = MQ_ENGINE_GOOD;
  e->times_aside = 0;
  e->slow_checks = 0;
  e->reserved_until_us = 0;
  e->drag = 1;
  e->wait_us = 0;
  e->counted = 0;
  e->over_slots = false;
  e->places = 0;
  e->foreign_streams = 0;
  e->foreign_mean = 0;
  e->foreign = 0;
  memset (e->prefixes, 0, sizeof e->prefixes);
}

bool
mq_engine_state_report (mq_engine_state *state, const mq_engine_load *load,
                        uint64_t at_us)
{
  bool other_layers
      = load->first < load->end
        && (load->first != state->first || load->end != state->end);
  bool other_version
      = load->version.size > 0
        && !mq_span_equal (load->version, mq_str_span (state->version));

  if (state->incarnation != 0 && load->incarnation != state->incarnation)
    state_restart (state);
  state->incarnation = load->incarnation;
  state->reported_us = at_us;
  state->down = false;
  if (load->batch > 0 && load->step_us > 0)
    mq_step_model_learn (&state->step, load->batch, load->step_us);
  if (other_layers)
    {
      state->first = load->first;
      state->end = load->end;
      state->reserved_until_us = 0;
    }
  if (other_version)
    {
      mq_str_unref (state->version);
      state->version = mq_str_new (load->version);
    }
  return other_layers || other_version;
}

bool
mq_engine_state_counts_all (const mq_engine_state *state)
{
  return state->over_slots || state->counted > COUNTS_ALL_FROM;
}

bool
mq_engine_state_has_places (const mq_engine_state *state)
{
  return mq_engine_state_counts_all (state) && state->places > 0;
}

double
mq_engine_state_capacity (const mq_engine_state *state)
{
  double step = mq_step_model_us (&state->step, state->slots);

  /* Without reports only its gaps tell how slow it is.  */
  if (state->reported_us == 0)
    step *= state->drag;
  return state->slots / step;
}

double
mq_engine_state_load (const mq_engine_state *state, double more, double scale)
{
  double steps
      = (state->demand + more) * scale / mq_engine_state_capacity (state)
        + state->foreign;
  double held;

  if (!mq_engine_state_has_places (state))
    return steps;
  held = state->in_flight + (more > 0) + state->foreign_streams;
  return MAX (steps, held / state->places);
}

double
mq_engine_state_stay_us (const mq_engine_state *state, double load)
{
  double fill = CLAMP (load, 0, 1);
  double batch = MAX (fill * state->slots, 1);
  double step = mq_step_model_us (&state->step, batch);
  /* Low loads make many short steps, so the engine is soon always busy.  */
  double busy = MIN (fill * state->slots, 1);

  return step * (1 + RESIDUAL_STEP * busy) * state->drag;
}

static void
state_remember (mq_engine_state *e, uint64_t now_us)
{
  uint32_t last = (e->history_start + e->history_used + MQ_ENGINE_HISTORY - 1)
                  % MQ_ENGINE_HISTORY;

  if (e->history_used > 0 && now_us < e->history[last].at_us + HISTORY_STEP_US)
    return;
  if (e->history_used < MQ_ENGINE_HISTORY)
    e->history_used++;
  else
    e->history_start = (e->history_start + 1) % MQ_ENGINE_HISTORY;
  last = (e->history_start + e->history_used - 1) % MQ_ENGINE_HISTORY;
  e->history[last].at_us = now_us;
  e->history[last].demand = e->demand;
  e->history[last].in_flight = e->in_flight;
}

void
mq_engine_state_hold (mq_engine_state *state, double demand, uint64_t now_us)
{
  state_remember (state, now_us);
  state->in_flight++;
  state->demand += demand;
}

void
mq_engine_state_drop (mq_engine_state *state, double demand, uint64_t now_us)
{
  g_return_if_fail (state->in_flight > 0);
  state_remember (state, now_us);
  state->in_flight--;
  /* Rounding must not outlive the last attempt.  */
  state->demand = state->in_flight == 0 ? 0.0 : state->demand - demand;
}

/* A sample holds what was there up to its time, so the first one that is not
   older tells.  */
double
mq_engine_state_demand_at (const mq_engine_state *state, uint64_t at_us,
                           uint32_t *in_flight)
{
  for (uint32_t i = 0; i < state->history_used; i++)
    {
      uint32_t k = (state->history_start + i) % MQ_ENGINE_HISTORY;

      if (state->history[k].at_us >= at_us)
        {
          *in_flight = state->history[k].in_flight;
          return state->history[k].demand;
        }
    }
  *in_flight = state->in_flight;
  return state->demand;
}

void
mq_engine_state_note_prefix (mq_engine_state *state, uint64_t hash,
                             bool stored)
{
  uint64_t *place = &state->prefixes[hash % MQ_ENGINE_PREFIXES];

  if (stored)
    *place = hash;
  else if (*place == hash)
    *place = 0;
}

bool
mq_engine_state_has_prefix (const mq_engine_state *state, uint64_t hash)
{
  return hash != 0 && state->prefixes[hash % MQ_ENGINE_PREFIXES] == hash;
}
