/* Whether a request is taken: see mq/internal/admission.h.  */

#include <mq/internal/admission.h>

#include <math.h>

/* The load up to which the lowest priority above its share is taken, ...  */
#define BASE_LIMIT 1.10
/* ... what one step of priority adds, ...  */
#define PRIORITY_ROOM 0.01
/* ... and what being within the share adds.  */
#define SHARE_ROOM 0.06
/* Single engines may have more than the whole by this.  */
#define ENGINE_ROOM 0.10
/* The same where engines have places for streams: so many places are kept for
   those within their share, ...  */
#define RESERVED_PLACES 8.0
#define LEAST_PLACES_ROOM 0.02
#define MOST_PLACES_ROOM 0.10
/* ... and this part for each step of priority.  */
#define PLACES_PRIORITY_ROOM 0.003
/* A stream that lost a stage was promised its answer: it comes before new
   ones.  */
#define REPLACE_LIMIT 1.6
#define HIGHEST_PRIORITY 9
/* Below this load there is nothing to divide.  */
#define SHARES_FROM_LOAD 0.1

/* Bounds of what a refused caller is told.  */
#define LEAST_RETRY_US 50000
#define MOST_RETRY_US 10000000
/* When no pipeline exists, or nothing tells.  */
#define BLIND_RETRY_US 1000000
/* When a stream that lost its stage finds no room.  */
#define REPLACE_RETRY_US 50000

static mq_placement_query
ask_query (const mq_model_state *m, const mq_engine_table *table,
           const mq_plan_request *ask, uint64_t now_us)
{
  return (mq_placement_query){
    .model = m,
    .table = table,
    .now_us = now_us,
    .prompt_tokens = ask->prompt_tokens + ask->sent_tokens,
    .tokens = MAX (ask->max_tokens, 1),
    .prefix_hash = ask->prefix_hash,
    .demand = m->cycle_us > 0 ? 1 / m->cycle_us : 0,
    .limit = INFINITY,
    .avoid = ask->avoid,
    .n_avoid = MIN (ask->n_avoid, MQ_PLAN_STAGES),
    .spread = mq_hash_mix (ask->id.router, ask->id.sequence),
  };
}

static void
admission_predict (mq_admission *a, const mq_placement_query *q,
                   const mq_plan_request *ask)
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
  a->figures.deadline_us = ask->deadline_us;
}

static bool
admission_in_time (const mq_admission *a)
{
  const mq_plan_figures *f = &a->figures;

  return f->predicted_finish_us + f->margin_us <= f->deadline_us;
}

/* Find a pipeline that is in time: first one that spares the fast engines,
   then the fastest.  Returns 0 with the placement, or -1 with the reason.  */
static int
admission_place (mq_admission *a, mq_placement_query *q,
                 const mq_plan_request *ask)
{
  q->is_urgent = false;
  if (mq_placement_find (&a->placement, q) != 0)
    {
      a->reason = MQ_REASON_OVERLOADED;
      return -1;
    }
  admission_predict (a, q, ask);
  if (admission_in_time (a))
    return 0;
  q->is_urgent = true;
  if (mq_placement_find (&a->placement, q) == 0)
    {
      admission_predict (a, q, ask);
      if (admission_in_time (a))
        return 0;
    }
  a->reason = MQ_REASON_DEADLINE_UNREACHABLE;
  return -1;
}

/* Would the request be in time if nothing else ran?  */
static bool
admission_ever_in_time (const mq_admission *a, const mq_placement_query *q)
{
  const mq_prediction *p = &a->prediction;
  double load = MAX (p->load, 1);
  double finish = mq_prediction_finish_us (p, q->tokens) / load;

  return finish <= (double)a->figures.deadline_us;
}

/* The time until a place comes free for one more of those refused: each
   takes the next place in the drain.  */
static uint64_t
admission_retry_after (mq_model_state *m, uint64_t now_us)
{
  double drain = mq_model_state_releases_per_s (m, now_us);
  uint64_t step, wait;

  if (drain <= 0)
    return BLIND_RETRY_US;
  step = (uint64_t)(1e6 / drain);
  m->next_retry_us = MAX (m->next_retry_us, now_us) + step;
  m->next_retry_us = MIN (m->next_retry_us, now_us + MOST_RETRY_US);
  wait = m->next_retry_us - now_us;
  return CLAMP (wait, LEAST_RETRY_US, MOST_RETRY_US);
}

/* What is kept free of N places for those within their share: a few suffice,
   since places come free all the time.  */
static double
places_room (uint32_t n)
{
  return CLAMP (RESERVED_PLACES / n, LEAST_PLACES_ROOM, MOST_PLACES_ROOM);
}

/* The load up to which ASK is taken.  Where steps are shared, a little over 1
   keeps batches full; where places are, there are no more than all.  */
static double
ask_limit (const mq_plan_request *ask, const mq_share *share,
           mq_model_load load)
{
  double above = CLAMP (ask->priority, 0, HIGHEST_PRIORITY);
  double room = SHARE_ROOM;
  double limit = BASE_LIMIT;

  if (load.places > 0)
    {
      room = places_room (load.places);
      limit = 1 - room - PLACES_PRIORITY_ROOM * HIGHEST_PRIORITY;
      limit += PLACES_PRIORITY_ROOM * above;
    }
  else
    limit += PRIORITY_ROOM * above;
  if (share->held + 1 <= share->part)
    limit += room;
  return limit;
}

static uint32_t
streams (double n)
{
  return n < UINT32_MAX ? (uint32_t)MAX (n, 0) : UINT32_MAX;
}

static void
admission_note_figures (mq_admission *a, const mq_model_state *m,
                        const mq_share *share, double load)
{
  a->figures.in_flight = m->in_flight;
  a->figures.capacity = load > 0 ? streams (m->in_flight / load) : 0;
  a->figures.share = streams (share->part);
  a->figures.held = share->held;
}

/* A stream that lost a stage: room is made for it, and only a deadline that
   is out of reach refuses it.  */
static void
admission_replace (mq_admission *a, mq_placement_query *q,
                   const mq_plan_request *ask)
{
  q->limit = REPLACE_LIMIT;
  a->admitted = admission_place (a, q, ask) == 0;
  a->retry_after_us = REPLACE_RETRY_US;
}

static void
admission_take_new (mq_admission *a, mq_placement_query *q, mq_model_state *m,
                    const mq_share *share, const mq_plan_request *ask,
                    mq_model_load load)
{
  double limit = ask_limit (ask, share, load);

  a->gap_margin = mq_margin_get (&m->gap_margin);
  a->first_margin_us = mq_margin_get (&m->first_margin);
  q->limit = limit + ENGINE_ROOM;
  if (load.load > limit)
    a->reason = MQ_REASON_OVERLOADED;
  else if (admission_place (a, q, ask) == 0)
    {
      a->admitted = true;
      return;
    }
  if (a->reason == MQ_REASON_DEADLINE_UNREACHABLE
      && !admission_ever_in_time (a, q))
    return;
  a->retry_after_us = admission_retry_after (m, q->now_us);
}

/* Predict on the best pipeline, however loaded.  False: there is none.  */
static bool
admission_sketch (mq_admission *a, mq_placement_query *q,
                  const mq_plan_request *ask)
{
  q->limit = INFINITY;
  q->is_urgent = false;
  if (mq_placement_find (&a->placement, q) != 0)
    {
      a->reason = MQ_REASON_NO_PIPELINE;
      a->retry_after_us = BLIND_RETRY_US;
      return false;
    }
  admission_predict (a, q, ask);
  return true;
}

void
mq_admission_decide (mq_admission *admission, mq_model_state *model,
                     const mq_engine_table *table, mq_share *share,
                     const mq_plan_request *ask, uint64_t now_us)
{
  mq_placement_query q = ask_query (model, table, ask, now_us);
  mq_model_load load = mq_model_state_load (model, now_us);

  *admission = (mq_admission){ .gap_margin = 1 };
  admission->figures.deadline_us = ask->deadline_us;
  admission_note_figures (admission, model, share, load.load);
  /* The first request ever tells what the next ones will be like.  */
  if (q.demand <= 0)
    {
      if (!admission_sketch (admission, &q, ask))
        return;
      q.demand = 1 / admission->prediction.cycle_us;
    }
  if (ask->attempt > 1)
    admission_replace (admission, &q, ask);
  else
    {
      mq_share_offer (share, q.tokens / q.demand, now_us);
      admission_take_new (admission, &q, model, share, ask, load);
    }
  if (!admission->admitted && admission->reason == MQ_REASON_OVERLOADED)
    admission_sketch (admission, &q, ask);
}

void
mq_admission_take_all (mq_admission *admission, mq_model_state *model,
                       const mq_engine_table *table,
                       const mq_plan_request *ask, uint64_t now_us)
{
  mq_placement_query q = ask_query (model, table, ask, now_us);

  *admission = (mq_admission){ .gap_margin = 1 };
  admission->figures.deadline_us = ask->deadline_us;
  admission->figures.in_flight = model->in_flight;
  if (mq_placement_find_round_robin (&admission->placement, model, &q) != 0)
    {
      admission->reason = MQ_REASON_NO_PIPELINE;
      admission->retry_after_us = BLIND_RETRY_US;
      return;
    }
  admission_predict (admission, &q, ask);
  admission->admitted = true;
}

int
mq_admission_adopt (mq_admission *admission, mq_model_state *model,
                    mq_engine_table *table, const mq_plan *plan,
                    const mq_plan_request *ask)
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
                      p->n_stages, 0, ask->prompt_tokens);
  admission->figures.deadline_us = ask->deadline_us;
  return 0;
}

void
mq_admission_divide_shares (mq_model_state *model, uint64_t now_us)
{
  mq_model_load load = mq_model_state_load (model, now_us);
  double n = INFINITY;

  double limit = load.places > 0 ? 1 : BASE_LIMIT;

  /* What the engines would hold at their limit; above it, what they hold,
     so that what is let in beyond the limit is divided too.  */
  if (load.load > SHARES_FROM_LOAD && load.load < INFINITY)
    n = model->in_flight * MAX (limit / load.load, 1);
  mq_share_table_divide (&model->shares, n, now_us);
}
