/* The planner's table of engine states: see mq/internal/engine_table.h.  */

#include <mq/internal/engine_table.h>
#include <mq/internal/span_table.h>

#include <string.h>

/* Latency between failure domains without a configured link.  */
#define DEFAULT_LINK_US 500.0
/* Latency inside a failure domain.  */
#define LOCAL_LINK_US 50.0
/* Step time where none is configured.  */
#define DEFAULT_STEP_US 20000.0
/* Minimum time between two samples of an engine's demand.  */
#define HISTORY_INTERVAL_US 25000
/* An engine reports all its streams if more than this share of its reports
   match what it was sent.  */
#define ALL_STREAMS_MATCH_RATE 0.75
/* A token that arrives during a step waits for half a step on average.  */
#define RESIDUAL_STEP 0.5
/* Bounds of a link's slowdown.  */
#define MIN_LINK_SLOWDOWN 0.1
#define MAX_LINK_SLOWDOWN 1000.0

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

/* Replaces the reference in *FIELD by a new reference to VALUE.  */
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

/* Returns the region of a failure domain, or the empty span if none is
   configured.  */
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

/* A failure domain without a region counts as in the same region.  */
static bool
config_is_same_region (const mq_config *config, mq_span domain,
                       mq_span own_domain)
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
  mq_span_table_add (table->states_by_name, e->name, e);
  return e;
}

/* Configured layers take effect when the configuration changes them.
   Otherwise the engine's reports prevail, since it may have been ordered to
   load other layers.  */
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
  double config_step_us
      = engine->step_us > 0 ? engine->step_us : DEFAULT_STEP_US;

  if (e->url == NULL)
    e->slowdown_factor = 1;
  /* A new step time does not replace measurements.  */
  if (e->step.weight <= 0)
    mq_step_model_init (&e->step, config_step_us);
  state_configure_layers (e, engine);
  str_replace (&e->url, engine->url);
  str_replace (&e->model, engine->model);
  str_replace (&e->version, engine->version);
  str_replace (&e->accelerator, engine->accelerator);
  e->domain = domain;
  e->slots = MAX (engine->slots, 1);
  e->configured = true;
}

/* Frees the states that are neither configured nor held.  */
static void
table_free_unused (mq_engine_table *table)
{
  for (guint i = table->states->len; i-- > 0;)
    {
      mq_engine_state *e = table->states->pdata[i];
      mq_span key = mq_str_span (e->name);

      if (e->configured || e->in_flight > 0)
        continue;
      g_hash_table_remove (table->states_by_name, &key);
      g_ptr_array_remove_index (table->states, i);
    }
}

/* Returns the configured latency of a link, or a default.  */
static double
config_link_us (const mq_config *config, mq_span from, mq_span to)
{
  const mq_link *link = mq_config_link (config, from, to);

  if (link != NULL)
    return MAX (link->latency_us, 1);
  return mq_span_equal (from, to) ? LOCAL_LINK_US : DEFAULT_LINK_US;
}

/* Domains are never removed, so each link keeps its measured slowdown.  */
static void
table_configure_links (mq_engine_table *table, const mq_config *config,
                       uint32_t n_before)
{
  guint n = table->domains->len;
  double *slowdown_factor = g_new (double, MAX (n * n, 1));

  g_free (table->link_us);
  table->link_us = g_new (double, MAX (n * n, 1));
  for (guint from = 0; from < n; from++)
    for (guint to = 0; to < n; to++)
      {
        mq_span a = mq_str_span (table->domains->pdata[from]);
        mq_span b = mq_str_span (table->domains->pdata[to]);
        bool known = from < n_before && to < n_before;

        table->link_us[from * n + to] = config_link_us (config, a, b);
        slowdown_factor[from * n + to]
            = known ? table->link_slowdown[from * n_before + to] : 1.0;
      }
  g_free (table->link_slowdown);
  table->link_slowdown = slowdown_factor;
  table->n_links = n * n;
}

void
mq_engine_table_init (mq_engine_table *table)
{
  table->states = g_ptr_array_new_with_free_func (state_free);
  table->states_by_name = mq_span_table_new (NULL);
  table->domains = g_ptr_array_new_with_free_func (str_free);
  table->link_us = NULL;
  table->link_slowdown = NULL;
  table->n_links = 0;
}

void
mq_engine_table_finish (mq_engine_table *table)
{
  g_hash_table_unref (table->states_by_name);
  g_ptr_array_unref (table->states);
  g_ptr_array_unref (table->domains);
  g_free (table->link_us);
  g_free (table->link_slowdown);
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

      if (!config_is_same_region (config, mq_str_span (engine->failure_domain),
                                  own_domain))
        continue;
      e = mq_engine_table_find (table, mq_str_span (engine->name));
      if (e == NULL)
        e = table_add (table, engine->name);
      state_configure (e, engine,
                       table_domain (table, engine->failure_domain));
    }
  table_free_unused (table);
  table_configure_links (table, config, n_domains);
}

mq_engine_state *
mq_engine_table_find (const mq_engine_table *table, mq_span name)
{
  return mq_span_table_find (table->states_by_name, name);
}

double
mq_engine_table_link_us (const mq_engine_table *table, uint32_t from,
                         uint32_t to)
{
  uint32_t i = from * table->domains->len + to;

  return table->link_us[i] * table->link_slowdown[i];
}

void
mq_engine_table_adjust_link (mq_engine_table *table, uint32_t from,
                             uint32_t to, double change_us)
{
  uint32_t n = table->domains->len;
  uint32_t forward = from * n + to;
  uint32_t reverse = to * n + from;
  double slowdown_factor
      = table->link_slowdown[forward] + change_us / table->link_us[forward];

  slowdown_factor
      = CLAMP (slowdown_factor, MIN_LINK_SLOWDOWN, MAX_LINK_SLOWDOWN);
  table->link_slowdown[forward] = slowdown_factor;
  table->link_slowdown[reverse] = slowdown_factor;
}

/* After a fault an engine that sends reports must have reported again.  */
static bool
state_has_recovered (const mq_engine_state *e, uint64_t now_us)
{
  if (e->faults == 0)
    return true;
  return now_us >= e->backoff_until_us
         && (e->reported_us == 0 || e->reported_us > e->last_fault_us);
}

bool
mq_engine_state_is_usable (const mq_engine_state *state, uint64_t now_us)
{
  return state->configured && !state->down && !state->leaving
         && now_us >= state->reserved_until_us
         && state->health_state != MQ_ENGINE_EJECTED
         && state_has_recovered (state, now_us);
}

/* Discards what was learned of an engine's previous incarnation.  */
static void
state_reset (mq_engine_state *e)
{
  e->faults = 0;
  e->backoff_until_us = 0;
  e->leaving = false;
  e->health_state = MQ_ENGINE_HEALTHY;
  e->consecutive_ejections = 0;
  e->consecutive_slow_reviews = 0;
  e->reserved_until_us = 0;
  e->slowdown_factor = 1;
  e->head_wait_us = 0;
  e->report_match_rate = 0;
  e->exceeded_slots = false;
  e->places = 0;
  e->external_streams = 0;
  e->external_load_mean = 0;
  e->external_load = 0;
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
    state_reset (state);
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
mq_engine_state_reports_all_streams (const mq_engine_state *state)
{
  return state->exceeded_slots
         || state->report_match_rate > ALL_STREAMS_MATCH_RATE;
}

bool
mq_engine_state_has_places (const mq_engine_state *state)
{
  return mq_engine_state_reports_all_streams (state) && state->places > 0;
}

double
mq_engine_state_capacity (const mq_engine_state *state)
{
  double step = mq_step_model_us (&state->step, state->slots);

  /* Without reports the gaps alone show the engine's speed.  */
  if (state->reported_us == 0)
    step *= state->slowdown_factor;
  return state->slots / step;
}

double
mq_engine_state_load (const mq_engine_state *state, double extra_demand,
                      double load_scale)
{
  double steps = (state->demand + extra_demand) * load_scale
                     / mq_engine_state_capacity (state)
                 + state->external_load;
  double held;

  if (!mq_engine_state_has_places (state))
    return steps;
  held = state->in_flight + (extra_demand > 0) + state->external_streams;
  return MAX (steps, held / state->places);
}

double
mq_engine_state_residence_us (const mq_engine_state *state, double load)
{
  double fill = CLAMP (load, 0, 1);
  double batch = MAX (fill * state->slots, 1);
  double step = mq_step_model_us (&state->step, batch);
  /* At low load an engine runs many short steps, so it is nearly always
     busy.  */
  double busy = MIN (fill * state->slots, 1);

  return step * (1 + RESIDUAL_STEP * busy) * state->slowdown_factor;
}

static void
state_sample_demand (mq_engine_state *e, uint64_t now_us)
{
  uint32_t last
      = (e->history_start + e->history_used + MQ_ENGINE_HISTORY_SAMPLES - 1)
        % MQ_ENGINE_HISTORY_SAMPLES;

  if (e->history_used > 0
      && now_us < e->history[last].at_us + HISTORY_INTERVAL_US)
    return;
  if (e->history_used < MQ_ENGINE_HISTORY_SAMPLES)
    e->history_used++;
  else
    e->history_start = (e->history_start + 1) % MQ_ENGINE_HISTORY_SAMPLES;
  last = (e->history_start + e->history_used - 1) % MQ_ENGINE_HISTORY_SAMPLES;
  e->history[last].at_us = now_us;
  e->history[last].demand = e->demand;
  e->history[last].in_flight = e->in_flight;
}

void
mq_engine_state_add_attempt (mq_engine_state *state, double demand,
                             uint64_t now_us)
{
  state_sample_demand (state, now_us);
  state->in_flight++;
  state->demand += demand;
}

void
mq_engine_state_remove_attempt (mq_engine_state *state, double demand,
                                uint64_t now_us)
{
  g_return_if_fail (state->in_flight > 0);
  state_sample_demand (state, now_us);
  state->in_flight--;
  /* Rounding errors must not outlive the last attempt.  */
  state->demand = state->in_flight == 0 ? 0.0 : state->demand - demand;
}

/* A sample holds the values up to its time, so the first sample that is not
   older than AT_US applies.  */
double
mq_engine_state_demand_at (const mq_engine_state *state, uint64_t at_us,
                           uint32_t *in_flight)
{
  for (uint32_t i = 0; i < state->history_used; i++)
    {
      uint32_t k = (state->history_start + i) % MQ_ENGINE_HISTORY_SAMPLES;

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
  uint64_t *hint = &state->prefixes[hash % MQ_ENGINE_PREFIX_HINTS];

  if (stored)
    *hint = hash;
  else if (*hint == hash)
    *hint = 0;
}

bool
mq_engine_state_has_prefix (const mq_engine_state *state, uint64_t hash)
{
  return hash != 0 && state->prefixes[hash % MQ_ENGINE_PREFIX_HINTS] == hash;
}
