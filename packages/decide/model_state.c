/* The planner's state of each model: see mq/internal/model_state.h.  */

#include <mq/internal/model_state.h>

#include <math.h>

/* Weight of one engine's report in the load scale.  */
#define SCALE_GAIN 0.005
/* Below this load a report carries little information, since most steps are
   not full.  */
#define MIN_SCALE_LOAD 0.3
#define MIN_SCALE 0.05
#define MAX_SCALE 50.0
/* Weight of one report in the external load, and the part of that load that is
   ignored as noise.  */
#define EXTERNAL_LOAD_GAIN 0.1
#define EXTERNAL_LOAD_NOISE 0.15
/* Weight of one placement in the mean cycle.  */
#define CYCLE_GAIN 0.01
/* Weights of one report in the match rate and in the external streams.  */
#define REPORT_MATCH_GAIN 0.2
#define EXTERNAL_STREAMS_GAIN 0.3
/* Factor by which a review decays a head's delay.  */
#define HEAD_WAIT_DECAY 0.97
/* Time constant of the decaying count of releases.  */
#define RELEASE_DECAY_US 2000000.0
/* Margins: the histograms reach up to a factor of 6.6 for gaps, and from 1 ms
   to 9 s for first tokens.  */
#define GAP_MARGIN_STEP 1.02
#define GAP_MARGIN_PRIOR 1.3
#define MIN_FIRST_MARGIN_US 1000.0
#define FIRST_MARGIN_STEP 1.1
#define FIRST_MARGIN_PRIOR_US 50000.0
/* Estimate before the first prompt was measured.  */
#define INITIAL_STEPS_PER_PROMPT_TOKEN 0.002

mq_model_state *
mq_model_state_new (const mq_model *model)
{
  mq_model_state *m = g_new0 (mq_model_state, 1);

  m->name = mq_str_ref (model->name);
  m->engines = g_ptr_array_new ();
  m->load_scale = 1;
  m->gap_factor = 1;
  m->steps_per_prompt_token = INITIAL_STEPS_PER_PROMPT_TOKEN;
  mq_margin_init (&m->gap_margin, 1, GAP_MARGIN_STEP, GAP_MARGIN_PRIOR);
  mq_margin_init (&m->first_margin, MIN_FIRST_MARGIN_US, FIRST_MARGIN_STEP,
                  FIRST_MARGIN_PRIOR_US);
  mq_share_table_init (&m->shares);
  return m;
}

void
mq_model_state_free (mq_model_state *model)
{
  mq_str_unref (model->name);
  mq_str_unref (model->version);
  g_ptr_array_unref (model->engines);
  mq_share_table_finish (&model->shares);
  g_free (model->turns);
  g_free (model);
}

static gint
engine_compare_first (gconstpointer a, gconstpointer b)
{
  const mq_engine_state *x = *(mq_engine_state *const *)a;
  const mq_engine_state *y = *(mq_engine_state *const *)b;

  if (x->first != y->first)
    return x->first < y->first ? -1 : 1;
  return mq_span_compare (mq_str_span (x->name), mq_str_span (y->name));
}

void
mq_model_state_reindex (mq_model_state *model, const mq_engine_table *table)
{
  g_ptr_array_set_size (model->engines, 0);
  for (guint i = 0; i < table->states->len; i++)
    {
      mq_engine_state *e = table->states->pdata[i];

      if (e->configured
          && mq_span_equal (mq_str_span (e->model), mq_str_span (model->name)))
        g_ptr_array_add (model->engines, e);
    }
  g_ptr_array_sort (model->engines, engine_compare_first);
}

void
mq_model_state_configure (mq_model_state *model, const mq_model *entry,
                          const mq_engine_table *table,
                          const mq_config *config)
{
  mq_str_unref (model->version);
  model->version = mq_str_ref (entry->version);
  if (model->layers != entry->layers || model->turns == NULL)
    {
      g_free (model->turns);
      model->turns = g_new0 (uint32_t, (gsize)entry->layers + 1);
      model->layers = entry->layers;
    }
  mq_share_table_configure (&model->shares, config);
  mq_model_state_reindex (model, table);
}

/* Returns the load that an engine's report implies.  */
static double
report_load (const mq_model_state *m, const mq_engine_state *e, uint32_t queue,
             uint32_t batch)
{
  double full = mq_step_model_us (&e->step, e->slots);
  double step = mq_step_model_us (&e->step, batch);
  double load;

  if (batch == 0)
    return 0;
  load = MIN (batch / step * full / e->slots, 1);
  /* Waiting streams lengthen the cycle in proportion.  */
  if (batch >= e->slots && m->cycle_us > 0)
    load += m->load_scale * queue / e->slots * full / m->cycle_us;
  return load;
}

/* Infers whether the engine reports all its streams, and how many places it
   has.  */
static void
engine_learn_places (mq_engine_state *e, uint32_t queue, uint32_t batch,
                     uint32_t sent)
{
  double total = (double)batch + queue;

  if (batch > e->slots)
    e->exceeded_slots = true;
  /* With fewer streams than slots a step may hold them all by chance.  */
  if (sent >= e->slots)
    e->report_match_rate
        += REPORT_MATCH_GAIN
           * ((fabs (total - sent) <= 1) - e->report_match_rate);
  if (!mq_engine_state_reports_all_streams (e))
    return;
  if (queue > 0 && batch > 0)
    e->places = batch;
  else if (e->places > 0)
    e->places = MAX (e->places, batch);
  e->external_streams
      += EXTERNAL_STREAMS_GAIN * (MAX (total - sent, 0) - e->external_streams);
}

/* Updates the load that the engine has from other sources.  */
static void
engine_learn_external_load (mq_engine_state *e, double remainder)
{
  e->external_load_mean
      += EXTERNAL_LOAD_GAIN * (remainder - e->external_load_mean);
  e->external_load = MAX (e->external_load_mean - EXTERNAL_LOAD_NOISE, 0);
}

static void
model_learn_scale (mq_model_state *m, double reported, double expected)
{
  double load_scale;

  if (MAX (reported, expected * m->load_scale) < MIN_SCALE_LOAD
      || expected <= 0)
    return;
  load_scale
      = CLAMP (reported / expected, m->load_scale / 2, m->load_scale * 2);
  m->load_scale += SCALE_GAIN * (load_scale - m->load_scale);
  m->load_scale = CLAMP (m->load_scale, MIN_SCALE, MAX_SCALE);
}

void
mq_model_state_learn_load (mq_model_state *model, mq_engine_state *engine,
                           uint32_t queue, uint32_t batch, uint64_t at_us)
{
  uint32_t sent;
  double demand = mq_engine_state_demand_at (engine, at_us, &sent);
  double expected = demand / mq_engine_state_capacity (engine);
  double reported;

  engine_learn_places (engine, queue, batch, sent);
  if (mq_engine_state_reports_all_streams (engine))
    {
      /* A stream from another source demands as much as one of ours.  */
      engine->external_load = 0;
      if (model->cycle_us > 0)
        engine->external_load = engine->external_streams * model->load_scale
                                / model->cycle_us
                                / mq_engine_state_capacity (engine);
      return;
    }
  reported = report_load (model, engine, queue, batch);
  engine_learn_external_load (engine, reported - expected * model->load_scale);
  model_learn_scale (model, reported - engine->external_load, expected);
}

/* Returns the throughput of an engine, in tokens per microsecond.  */
static double
engine_weight (const mq_model_state *m, const mq_engine_state *e)
{
  if (mq_engine_state_has_places (e) && m->cycle_us > 0)
    return e->places / m->cycle_us;
  return mq_engine_state_capacity (e);
}

static mq_model_load
model_layer_load (const mq_model_state *m, uint32_t layer, uint64_t now_us)
{
  mq_model_load l = { INFINITY, 0 };
  double demand = 0;
  double capacity = 0;
  bool all_places = true;

  for (guint i = 0; i < m->engines->len; i++)
    {
      const mq_engine_state *e = m->engines->pdata[i];
      double weight;

      if (e->first > layer || e->end <= layer
          || !mq_engine_state_is_usable (e, now_us))
        continue;
      weight = engine_weight (m, e);
      capacity += weight;
      demand += weight * mq_engine_state_load (e, 0, m->load_scale);
      all_places = all_places && mq_engine_state_has_places (e);
      l.places += (uint32_t)e->places;
    }
  if (capacity > 0)
    l.load = demand / capacity;
  if (!all_places)
    l.places = 0;
  return l;
}

mq_model_load
mq_model_state_load (const mq_model_state *model, uint64_t now_us)
{
  mq_model_load worst = { 0, 0 };
  uint32_t last = UINT32_MAX;

  /* Only a layer at which an engine begins can be the worst one, or the first
     layer after a gap that no engine covers.  */
  for (guint i = 0; i < model->engines->len; i++)
    {
      const mq_engine_state *e = model->engines->pdata[i];
      mq_model_load l;

      if (e->first == last)
        continue;
      last = e->first;
      l = model_layer_load (model, last, now_us);
      if (l.load > worst.load)
        worst = l;
    }
  return worst;
}

static void
model_decay_releases (mq_model_state *m, uint64_t now_us)
{
  if (now_us > m->releases_decayed_us)
    m->recent_releases *= exp (-((double)(now_us - m->releases_decayed_us))
                               / RELEASE_DECAY_US);
  m->releases_decayed_us = MAX (m->releases_decayed_us, now_us);
}

void
mq_model_state_decay_head_waits (mq_model_state *model)
{
  for (guint i = 0; i < model->engines->len; i++)
    {
      mq_engine_state *e = model->engines->pdata[i];

      e->head_wait_us *= HEAD_WAIT_DECAY;
    }
}

void
mq_model_state_begin_stream (mq_model_state *model, double cycle_us)
{
  model->in_flight++;
  if (model->cycle_us <= 0)
    model->cycle_us = cycle_us;
  model->cycle_us += CYCLE_GAIN * (cycle_us - model->cycle_us);
}

void
mq_model_state_end_stream (mq_model_state *model, uint64_t now_us)
{
  g_return_if_fail (model->in_flight > 0);
  model->in_flight--;
  model_decay_releases (model, now_us);
  model->recent_releases += 1;
}

double
mq_model_state_releases_per_s (const mq_model_state *model, uint64_t now_us)
{
  double faded = model->recent_releases;

  if (now_us > model->releases_decayed_us)
    faded *= exp (-((double)(now_us - model->releases_decayed_us))
                  / RELEASE_DECAY_US);
  return faded / RELEASE_DECAY_US * 1e6;
}
