/* Admission control: see mq/internal/admission.h.  */

#include <mq/internal/admission.h>

#include <math.h>

/* The load limit of a model for priority 0 above the organisation's share.  */
#define BASE_LOAD_LIMIT 1.10
/* Added to the limit for each step of priority.  */
#define PRIORITY_HEADROOM 0.01
/* Added to the limit within the share.  */
#define SHARE_HEADROOM 0.06
/* Added to the limit of the model for the load of a single engine.  */
#define ENGINE_HEADROOM 0.10
/* For engines with a fixed number of places for streams: the number of places
   kept free for organisations within their share, and its bounds as a fraction
   of all places.  */
#define RESERVED_PLACES 8.0
#define MIN_PLACES_HEADROOM 0.02
#define MAX_PLACES_HEADROOM 0.10
/* The fraction of places kept free for each step of priority.  */
#define PLACES_PRIORITY_HEADROOM 0.003
/* The engine load limit for a stream that lost a stage.  It was admitted
   already, so it has precedence over new ones.  */
#define REPLACEMENT_LOAD_LIMIT 1.6
#define MAX_PRIORITY 9
/* Below this load the capacity is unknown, and shares are unlimited.  */
#define MIN_SHARED_LOAD 0.1

/* Bounds of the Retry-After time.  */
#define MIN_RETRY_AFTER_US 50000
#define MAX_RETRY_AFTER_US 10000000
/* Used if no pipeline exists or the rate of completions is unknown.  */
#define DEFAULT_RETRY_AFTER_US 1000000
/* Used if there is no capacity for a stream that lost a stage.  */
#define REPLACEMENT_RETRY_AFTER_US 50000

static mq_placement_query
admission_make_query (const mq_model_state *m, const mq_engine_table *table,
                      const mq_plan_request *request, uint64_t now_us)
{
  return (mq_placement_query){
    .model = m,
    .table = table,
    .now_us = now_us,
    .prompt_tokens = request->prompt_tokens + request->sent_tokens,
    .tokens = MAX (request->max_tokens, 1),
    .prefix_hash = request->prefix_hash,
    .demand = m->cycle_us > 0 ? 1 / m->cycle_us : 0,
    .limit = INFINITY,
    .avoid = request->avoid,
    .n_avoid = MIN (request->n_avoid, MQ_PLAN_MAX_STAGES),
    .spread = mq_hash_mix (request->id.router, request->id.sequence),
  };
}

static void
admission_predict (mq_admission *a, const mq_placement_query *q,
                   const mq_plan_request *request)
{
  double finish, gaps;

  mq_prediction_make (&a->prediction, q->model, q->table, a->placement.stages,
                      a->placement.n_stages, q->demand, q->prompt_tokens);
  finish = mq_prediction_finish_us (&a->prediction, q->tokens);
  a->figures.predicted_first_us = (uint64_t)a->prediction.first_us;
  a->figures.predicted_finish_us = (uint64_t)finish;
  gaps = finish - a->prediction.first_us;
  a->figures.margin_us
      = (uint64_t)(gaps * (a->gap_margin - 1) + a->first_margin_us);
  a->figures.deadline_us = request->deadline_us;
}

static bool
admission_is_in_time (const mq_admission *a)
{
  const mq_plan_figures *f = &a->figures;

  return f->predicted_finish_us + f->margin_us <= f->deadline_us;
}

/* Find a pipeline that is predicted to finish in time: first one that spares
   the fast engines, then the fastest.  Returns 0 and sets the placement, or
   returns -1 and sets the reason.  */
static int
admission_place (mq_admission *a, mq_placement_query *q,
                 const mq_plan_request *request)
{
  q->is_urgent = false;
  if (mq_placement_find (&a->placement, q) != 0)
    {
      a->reason = MQ_REASON_OVERLOADED;
      return -1;
    }
  admission_predict (a, q, request);
  if (admission_is_in_time (a))
    return 0;
  q->is_urgent = true;
  if (mq_placement_find (&a->placement, q) == 0)
    {
      admission_predict (a, q, request);
      if (admission_is_in_time (a))
        return 0;
    }
  a->reason = MQ_REASON_DEADLINE_UNREACHABLE;
  return -1;
}

/* Returns true if the request could finish in time on unloaded engines.  */
static bool
admission_is_feasible_unloaded (const mq_admission *a,
                                const mq_placement_query *q)
{
  const mq_prediction *p = &a->prediction;
  double load = MAX (p->load, 1);
  double finish = mq_prediction_finish_us (p, q->tokens) / load;

  return finish <= (double)a->figures.deadline_us;
}

/* Returns the time until a place becomes free for this refused request.  Each
   refused request is assigned the next completion, so that retries are
   spread.  */
static uint64_t
admission_retry_after_us (mq_model_state *m, uint64_t now_us)
{
  double drain_per_s = mq_model_state_releases_per_s (m, now_us);
  uint64_t step_us, wait_us;

  if (drain_per_s <= 0)
    return DEFAULT_RETRY_AFTER_US;
  step_us = (uint64_t)(1e6 / drain_per_s);
  m->next_retry_us = MAX (m->next_retry_us, now_us) + step_us;
  m->next_retry_us = MIN (m->next_retry_us, now_us + MAX_RETRY_AFTER_US);
  wait_us = m->next_retry_us - now_us;
  return CLAMP (wait_us, MIN_RETRY_AFTER_US, MAX_RETRY_AFTER_US);
}

/* Returns the fraction of N places to keep free for organisations within their
   share.  A few places suffice, since streams complete all the time.  */
static double
places_headroom (uint32_t n)
{
  return CLAMP (RESERVED_PLACES / n, MIN_PLACES_HEADROOM, MAX_PLACES_HEADROOM);
}

/* Returns the load limit up to which REQUEST is admitted.  Engines that share
   steps may exceed 1, which keeps batches full; those with places
   cannot.  */
static double
admission_load_limit (const mq_plan_request *request,
                      const mq_fair_share *share, mq_model_load load)
{
  double priority = CLAMP (request->priority, 0, MAX_PRIORITY);
  double headroom = SHARE_HEADROOM;
  double limit = BASE_LOAD_LIMIT;

  if (load.places > 0)
    {
      headroom = places_headroom (load.places);
      limit = 1 - headroom - PLACES_PRIORITY_HEADROOM * MAX_PRIORITY;
      limit += PLACES_PRIORITY_HEADROOM * priority;
    }
  else
    limit += PRIORITY_HEADROOM * priority;
  if (share->held + 1 <= share->fair_streams)
    limit += headroom;
  return limit;
}

static uint32_t
stream_count (double n)
{
  return n < UINT32_MAX ? (uint32_t)MAX (n, 0) : UINT32_MAX;
}

static void
admission_note_figures (mq_admission *a, const mq_model_state *m,
                        const mq_fair_share *share, double load)
{
  a->figures.in_flight = m->in_flight;
  a->figures.capacity = load > 0 ? stream_count (m->in_flight / load) : 0;
  a->figures.share = stream_count (share->fair_streams);
  a->figures.held = share->held;
}

/* Decide on a stream that lost a stage, with the replacement limit and without
   regard to shares.  */
static void
admission_replace (mq_admission *a, mq_placement_query *q,
                   const mq_plan_request *request)
{
  q->limit = REPLACEMENT_LOAD_LIMIT;
  a->admitted = admission_place (a, q, request) == 0;
  a->retry_after_us = REPLACEMENT_RETRY_AFTER_US;
}

static void
admission_admit_new (mq_admission *a, mq_placement_query *q, mq_model_state *m,
                     const mq_fair_share *share,
                     const mq_plan_request *request, mq_model_load load)
{
  double limit = admission_load_limit (request, share, load);

  a->gap_margin = mq_margin_get (&m->gap_margin);
  a->first_margin_us = mq_margin_get (&m->first_margin);
  q->limit = limit + ENGINE_HEADROOM;
  if (load.load > limit)
    a->reason = MQ_REASON_OVERLOADED;
  else if (admission_place (a, q, request) == 0)
    {
      a->admitted = true;
      return;
    }
  if (a->reason == MQ_REASON_DEADLINE_UNREACHABLE
      && !admission_is_feasible_unloaded (a, q))
    return;
  a->retry_after_us = admission_retry_after_us (m, q->now_us);
}

/* Make the prediction for the best pipeline, whatever its load.  Returns false
   if there is none.  */
static bool
admission_predict_best (mq_admission *a, mq_placement_query *q,
                        const mq_plan_request *request)
{
  q->limit = INFINITY;
  q->is_urgent = false;
  if (mq_placement_find (&a->placement, q) != 0)
    {
      a->reason = MQ_REASON_NO_PIPELINE;
      a->retry_after_us = DEFAULT_RETRY_AFTER_US;
      return false;
    }
  admission_predict (a, q, request);
  return true;
}

void
mq_admission_decide (mq_admission *admission, mq_model_state *model,
                     const mq_engine_table *table, mq_fair_share *share,
                     const mq_plan_request *request, uint64_t now_us)
{
  mq_placement_query q = admission_make_query (model, table, request, now_us);
  mq_model_load load = mq_model_state_load (model, now_us);

  *admission = (mq_admission){ .gap_margin = 1 };
  admission->figures.deadline_us = request->deadline_us;
  admission_note_figures (admission, model, share, load.load);
  /* Without an estimate of the cycle time yet, predict it.  */
  if (q.demand <= 0)
    {
      if (!admission_predict_best (admission, &q, request))
        return;
      q.demand = 1 / admission->prediction.cycle_us;
    }
  if (request->attempt > 1)
    admission_replace (admission, &q, request);
  else
    {
      mq_share_add_demand (share, q.tokens / q.demand, now_us);
      admission_admit_new (admission, &q, model, share, request, load);
    }
  if (!admission->admitted && admission->reason == MQ_REASON_OVERLOADED)
    admission_predict_best (admission, &q, request);
}

void
mq_admission_admit_all (mq_admission *admission, mq_model_state *model,
                        const mq_engine_table *table,
                        const mq_plan_request *request, uint64_t now_us)
{
  mq_placement_query q = admission_make_query (model, table, request, now_us);

  *admission = (mq_admission){ .gap_margin = 1 };
  admission->figures.deadline_us = request->deadline_us;
  admission->figures.in_flight = model->in_flight;
  if (mq_placement_find_round_robin (&admission->placement, model, &q) != 0)
    {
      admission->reason = MQ_REASON_NO_PIPELINE;
      admission->retry_after_us = DEFAULT_RETRY_AFTER_US;
      return;
    }
  admission_predict (admission, &q, request);
  admission->admitted = true;
}

int
mq_admission_adopt (mq_admission *admission, mq_model_state *model,
                    mq_engine_table *table, const mq_plan *plan,
                    const mq_plan_request *request)
{
  mq_placement *p = &admission->placement;

  *admission = (mq_admission){ .admitted = true, .gap_margin = 1 };
  for (uint32_t i = 0; i < plan->n_stages; i++)
    {
      mq_engine_state *e
          = mq_engine_table_find (table, mq_str_span (plan->stages[i].engine));

      if (e == NULL)
        return -1;
      p->stages[p->n_stages++] = e;
    }
  if (p->n_stages == 0)
    return -1;
  mq_prediction_make (&admission->prediction, model, table, p->stages,
                      p->n_stages, 0, request->prompt_tokens);
  admission->figures.deadline_us = request->deadline_us;
  return 0;
}

void
mq_admission_divide_shares (mq_model_state *model, uint64_t now_us)
{
  mq_model_load load = mq_model_state_load (model, now_us);
  double n = INFINITY;

  double limit = load.places > 0 ? 1 : BASE_LOAD_LIMIT;

  /* Divide the streams that the engines hold at their limit or, if they exceed
     it, all streams that they hold.  */
  if (load.load > MIN_SHARED_LOAD && load.load < INFINITY)
    n = model->in_flight * MAX (limit / load.load, 1);
  mq_share_table_divide (&model->shares, n, now_us);
}
