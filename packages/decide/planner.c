/* The planner: see mq/planner.h.  This file finds the objects that an event
   refers to, calls the module that decides, and turns the decision into
   actions.  */

#include <mq/internal/admission.h>
#include <mq/internal/attempt.h>
#include <mq/internal/engine_table.h>
#include <mq/internal/health.h>
#include <mq/internal/model_state.h>
#include <mq/internal/repair.h>
#include <mq/internal/span_table.h>
#include <mq/planner.h>

/* Retry-After before the first configuration.  */
#define UNCONFIGURED_RETRY_US 500000
/* Ticks arrive several times a second.  A longer interval without one means
   that this process was paused.  */
#define PAUSE_US 1000000
/* Interval of the reviews of shares, health and repairs.  */
#define REVIEW_US 100000

struct mq_planner
{
  mq_str *failure_domain;
  uint64_t router;
  mq_config *config; /* NULL before the first CONFIG event.  */
  mq_engine_table table;
  GHashTable *models;   /* mq_span to mq_model_state, which owns the key.  A
                           model that the configuration no longer names stays,
                           since attempts may point to it.  */
  GHashTable *attempts; /* mq_attempt_key to mq_attempt  */
  mq_repairs repairs;
  uint64_t next_review_us;
  uint64_t ticked_us;  /* Time of the last TICK; 0: none.  */
  uint64_t resumed_us; /* End of the last pause of this process.  */
};

static void
planner_configure_models (mq_planner *p)
{
  const mq_config *c = p->config;

  for (guint i = 0; i < c->models->len; i++)
    {
      const mq_model *entry = &g_array_index (c->models, mq_model, i);
      mq_model_state *m
          = mq_span_table_find (p->models, mq_str_span (entry->name));

      if (m == NULL)
        {
          m = mq_model_state_new (entry);
          mq_span_table_add (p->models, m->name, m);
        }
      mq_model_state_configure (m, entry, &p->table, c);
    }
}

/* Rebuilds the models' lists of engines.  */
static void
planner_index_models (mq_planner *p)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, p->models);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    mq_model_state_reindex (value, &p->table);
}

static void
planner_configure (mq_planner *p, mq_config *config)
{
  mq_config *old = p->config;

  p->config = mq_config_ref (config);
  mq_engine_table_configure (&p->table, config,
                             mq_str_span (p->failure_domain));
  planner_index_models (p);
  planner_configure_models (p);
  mq_config_unref (old);
}

static void
planner_refuse (const mq_plan_request *request, mq_reason reason,
                uint64_t retry_after_us, const mq_plan_figures *figures,
                GArray *actions)
{
  mq_planner_action a = { .kind = MQ_PLANNER_REFUSE,
                          .id = request->id,
                          .attempt = request->attempt };

  if (figures != NULL)
    a.figures = *figures;
  a.figures.deadline_us = request->deadline_us;
  a.u.refuse.reason = reason;
  a.u.refuse.retry_after_us = retry_after_us;
  g_array_append_val (actions, a);
}

/* Appends a copy of the attempt's admission.  */
static void
planner_append_admission (const mq_attempt *attempt, GArray *actions)
{
  mq_planner_action a = attempt->answer;

  mq_plan_copy (&a.u.plan, &attempt->answer.u.plan);
  g_array_append_val (actions, a);
}

/* Returns the model that REQUEST is for, or NULL with *REASON set.  */
static mq_model_state *
planner_model (const mq_planner *p, const mq_plan_request *request,
               mq_reason *reason)
{
  const mq_service *service;
  mq_span name;

  *reason = MQ_REASON_NO_CONFIGURATION;
  if (p->config == NULL)
    return NULL;
  *reason = MQ_REASON_UNKNOWN_SERVICE;
  service = mq_config_service (p->config, request->service);
  if (service == NULL || service->kind != MQ_SERVICE_MODEL)
    return NULL;
  *reason = MQ_REASON_NO_PIPELINE;
  name = mq_str_span (service->u.model.model);
  if (mq_config_model (p->config, name) == NULL)
    return NULL;
  return mq_span_table_find (p->models, name);
}

static void
planner_decide (mq_planner *p, mq_model_state *model,
                const mq_plan_request *request, uint64_t now_us,
                GArray *actions)
{
  mq_fair_share *share
      = mq_share_table_get (&model->shares, request->organisation, p->config);
  mq_admission admission;

  switch (p->config->policy.routing)
    {
    case MQ_ROUTING_DEADLINE:
      mq_admission_decide (&admission, model, &p->table, share, request,
                           now_us);
      break;
    case MQ_ROUTING_ROUND_ROBIN:
      mq_admission_admit_all (&admission, model, &p->table, request, now_us);
      break;
    }
  if (admission.admitted)
    planner_append_admission (mq_attempt_open (p->attempts, model, &admission,
                                               share, request, now_us),
                              actions);
  else
    planner_refuse (request, admission.reason, admission.retry_after_us,
                    &admission.figures, actions);
}

static void
planner_request (mq_planner *p, const mq_plan_request *request,
                 uint64_t now_us, GArray *actions)
{
  const mq_attempt *known
      = mq_attempt_find (p->attempts, request->id, request->attempt);
  mq_model_state *model;
  mq_reason reason;

  if (known != NULL)
    {
      planner_append_admission (known, actions);
      return;
    }
  model = planner_model (p, request, &reason);
  if (model != NULL)
    planner_decide (p, model, request, now_us, actions);
  else
    planner_refuse (
        request, reason,
        reason == MQ_REASON_NO_CONFIGURATION ? UNCONFIGURED_RETRY_US : 0, NULL,
        actions);
}

/* Counts an attempt that another planner placed, so that a new owner knows
   what is in flight.  */
static void
planner_register (mq_planner *p, const mq_plan_request *request,
                  const mq_plan *plan, uint64_t now_us)
{
  mq_admission admission;
  mq_model_state *model;
  mq_reason reason;
  mq_fair_share *share;

  if (mq_attempt_find (p->attempts, request->id, request->attempt) != NULL)
    return;
  model = planner_model (p, request, &reason);
  if (model == NULL
      || mq_admission_adopt (&admission, model, &p->table, plan, request) < 0)
    return;
  share
      = mq_share_table_get (&model->shares, request->organisation, p->config);
  mq_attempt_open (p->attempts, model, &admission, share, request, now_us);
}

static void
planner_release (mq_planner *p, const mq_plan_release *release,
                 uint64_t now_us)
{
  mq_attempt *a = mq_attempt_find (p->attempts, release->id, release->attempt);
  const mq_placement *placement;

  if (a == NULL)
    return;
  placement = &a->placement;
  /* Times that include a pause of this process say nothing about the
     engines.  */
  if (a->admitted_us < p->resumed_us)
    goto out;
  switch (release->end)
    {
    case MQ_ATTEMPT_DONE:
      mq_attempt_learn_completed (a, &p->table, release);
      for (uint32_t i = 0; i < placement->n_stages; i++)
        mq_health_note_success (placement->stages[i], now_us);
      break;
    case MQ_ATTEMPT_CANCELLED:
      mq_attempt_learn_cancelled (a, &p->table, release, now_us);
      break;
    case MQ_ATTEMPT_STAGE_DIED:
    case MQ_ATTEMPT_STAGE_STALLED:
    case MQ_ATTEMPT_STAGE_REFUSED:
    case MQ_ATTEMPT_STAGE_WRONG:
      if (release->stage < placement->n_stages)
        mq_health_note_fault (placement->stages[release->stage], release->end,
                              now_us);
      break;
    }

out:
  mq_attempt_close (p->attempts, a, p->config, now_us);
}

static void
planner_progress (mq_planner *p, const mq_planner_event *event)
{
  mq_attempt *a = mq_attempt_find (p->attempts, event->u.progress.id,
                                   event->u.progress.attempt);

  if (a != NULL && a->admitted_us >= p->resumed_us)
    mq_attempt_learn_progress (a, &p->table, event->u.progress.tokens,
                               event->u.progress.mean_gap_us);
}

static void
planner_load (mq_planner *p, const mq_engine_load *load, uint64_t now_us)
{
  mq_engine_state *e = mq_engine_table_find (&p->table, load->engine);
  uint64_t at_us = now_us - MIN (load->age_us, now_us);
  mq_model_state *m;

  if (e == NULL || (e->reported_us > 0 && at_us < e->reported_us))
    return;
  if (mq_engine_state_report (e, load, at_us))
    planner_index_models (p);
  m = mq_span_table_find (p->models, mq_str_span (e->model));
  if (m != NULL)
    mq_model_state_learn_load (m, e, load->queue, load->batch, at_us);
}

static void
planner_remove_router (mq_planner *p, uint64_t router, uint64_t now_us)
{
  GPtrArray *attempts = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, p->attempts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((mq_attempt *)value)->key.id.router == router)
      g_ptr_array_add (attempts, value);
  for (guint i = 0; i < attempts->len; i++)
    mq_attempt_close (p->attempts, attempts->pdata[i], p->config, now_us);
  g_ptr_array_unref (attempts);
}

/* Closes the attempts whose release is overdue.  */
static void
planner_expire (mq_planner *p, uint64_t now_us)
{
  GPtrArray *attempts = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, p->attempts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((mq_attempt *)value)->expiry_us <= now_us)
      g_ptr_array_add (attempts, value);
  for (guint i = 0; i < attempts->len; i++)
    mq_attempt_close (p->attempts, attempts->pdata[i], p->config, now_us);
  g_ptr_array_unref (attempts);
}

static void
planner_detect_pause (mq_planner *p, const mq_planner_event *event)
{
  if (p->ticked_us > 0 && event->now_us > p->ticked_us + PAUSE_US)
    {
      p->resumed_us = event->now_us;
      p->ticked_us = event->now_us;
    }
  if (event->kind == MQ_PLANNER_TICK)
    p->ticked_us = event->now_us;
}

static void
planner_tick (mq_planner *p, uint64_t now_us, GArray *actions)
{
  GHashTableIter iter;
  gpointer value;

  if (p->config == NULL || now_us < p->next_review_us)
    return;
  p->next_review_us = now_us + REVIEW_US;
  planner_expire (p, now_us);
  if (p->config->policy.routing == MQ_ROUTING_ROUND_ROBIN)
    return;
  mq_health_review (&p->table, p->config->policy.put_aside_percent, now_us);
  g_hash_table_iter_init (&iter, p->models);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      mq_model_state_decay_head_waits (value);
      mq_admission_divide_shares (value, now_us);
      mq_repairs_review (&p->repairs, value, now_us, actions);
    }
}

static void
action_clear (gpointer data)
{
  mq_planner_action_clear (data);
}

static void
model_free (gpointer data)
{
  mq_model_state_free (data);
}

mq_planner *
mq_planner_new (mq_span failure_domain, uint64_t router)
{
  mq_planner *p = g_new0 (mq_planner, 1);

  p->failure_domain = mq_str_new (failure_domain);
  p->router = router;
  mq_engine_table_init (&p->table);
  p->models = mq_span_table_new (model_free);
  p->attempts = mq_attempt_table_new ();
  mq_repairs_init (&p->repairs);
  return p;
}

void
mq_planner_free (mq_planner *planner)
{
  if (planner == NULL)
    return;
  g_hash_table_unref (planner->attempts);
  mq_repairs_finish (&planner->repairs);
  g_hash_table_unref (planner->models);
  mq_engine_table_finish (&planner->table);
  mq_config_unref (planner->config);
  mq_str_unref (planner->failure_domain);
  g_free (planner);
}

void
mq_planner_handle (mq_planner *planner, const mq_planner_event *event,
                   GArray *actions)
{
  uint64_t now_us = event->now_us;
  mq_engine_state *e;

  planner_detect_pause (planner, event);
  switch (event->kind)
    {
    case MQ_PLANNER_CONFIG:
      planner_configure (planner, event->u.config);
      break;
    case MQ_PLANNER_REQUEST:
      planner_request (planner, &event->u.request, now_us, actions);
      break;
    case MQ_PLANNER_REGISTER:
      planner_register (planner, &event->u.registered.request,
                        event->u.registered.plan, now_us);
      break;
    case MQ_PLANNER_PROGRESS:
      planner_progress (planner, event);
      break;
    case MQ_PLANNER_RELEASE:
      planner_release (planner, &event->u.release, now_us);
      break;
    case MQ_PLANNER_LOAD:
      planner_load (planner, &event->u.load, now_us);
      break;
    case MQ_PLANNER_ENGINE_DOWN:
      e = mq_engine_table_find (&planner->table, event->u.engine);
      if (e != NULL)
        e->down = true;
      break;
    case MQ_PLANNER_LEAVING:
      e = mq_engine_table_find (&planner->table, event->u.engine);
      if (e != NULL)
        e->leaving = true;
      break;
    case MQ_PLANNER_CACHE:
      e = mq_engine_table_find (&planner->table, event->u.cache.engine);
      if (e != NULL)
        mq_engine_state_note_prefix (e, event->u.cache.prefix_hash,
                                     event->u.cache.stored);
      break;
    case MQ_PLANNER_ROUTER_REMOVED:
      planner_remove_router (planner, event->u.router, now_us);
      break;
    case MQ_PLANNER_TICK:
      planner_tick (planner, now_us, actions);
      break;
    }
}

GArray *
mq_planner_actions_new (void)
{
  GArray *a = g_array_new (FALSE, TRUE, sizeof (mq_planner_action));

  g_array_set_clear_func (a, action_clear);
  return a;
}

uint32_t
mq_planner_in_flight (const mq_planner *planner)
{
  return g_hash_table_size (planner->attempts);
}

int
mq_planner_engine (const mq_planner *planner, mq_span engine, uint64_t now_us,
                   mq_engine_view *view)
{
  const mq_engine_state *e = mq_engine_table_find (&planner->table, engine);
  const mq_model_state *m;

  if (e == NULL || !e->configured)
    return -1;
  m = mq_span_table_find (planner->models, mq_str_span (e->model));
  *view = (mq_engine_view){
    .first = e->first,
    .end = e->end,
    .in_flight = e->in_flight,
    .load = mq_engine_state_load (e, 0, m != NULL ? m->load_scale : 1),
    .step_us = mq_step_model_us (&e->step, e->slots),
    .slowdown_factor = e->slowdown_factor,
    .usable = mq_engine_state_is_usable (e, now_us),
    .ejected = e->health_state == MQ_ENGINE_EJECTED,
  };
  return 0;
}
