/* Prediction of a request's duration: see mq/internal/prediction.h.  */

#include <mq/internal/prediction.h>

/* Round trip between the entry router and the head.  */
#define ENTRY_US 1000.0
/* Weight of one gap in the model's gap_factor, and the limit on its change as
   a share of it.  */
#define GAP_FACTOR_GAIN 0.01
#define GAP_FACTOR_CLIP 0.2
#define MIN_GAP_FACTOR 0.2
#define MAX_GAP_FACTOR 20.0
/* Weight of one gap in the estimates of engines and links.  */
#define CORRECTION_GAIN 0.3
/* Variances of the relative error of an engine's and a link's estimate.  */
#define ENGINE_VARIANCE 0.05
#define LINK_VARIANCE 1.0
/* Variance of the unexplained part of a gap, relative to the cycle.  */
#define GAP_VARIANCE 0.04
#define MIN_SLOWDOWN 0.2
#define MAX_SLOWDOWN 100.0
/* Weights of one first token in the prefill cost and in the head's delay.  */
#define PROMPT_STEPS_GAIN 0.01
#define HEAD_WAIT_GAIN 0.3
#define MAX_STEPS_PER_PROMPT_TOKEN 1.0

static double
link_after (const mq_engine_table *table, mq_engine_state *const *stages,
            uint32_t n, uint32_t i)
{
  return mq_engine_table_link_us (table, stages[i]->domain,
                                  stages[(i + 1) % n]->domain);
}

/* Returns the prefill time of one prompt token at a stage.  */
static double
prompt_token_us (const mq_model_state *m, const mq_engine_state *e)
{
  return m->steps_per_prompt_token * mq_step_model_us (&e->step, e->slots)
         * e->slowdown_factor;
}

void
mq_prediction_make (mq_prediction *prediction, const mq_model_state *model,
                    const mq_engine_table *table,
                    mq_engine_state *const *stages, uint32_t n,
                    double extra_demand, uint32_t prompt_tokens)
{
  double round = 0;
  double prompt = 0;

  *prediction = (mq_prediction){ 0 };
  for (uint32_t i = 0; i < n; i++)
    {
      const mq_engine_state *e = stages[i];
      double load = mq_engine_state_load (e, extra_demand, model->load_scale);

      prediction->load = MAX (prediction->load, load);
      prediction->link_us += link_after (table, stages, n, i);
      prediction->cycle_us += mq_engine_state_residence_us (e, 1);
      round += mq_engine_state_residence_us (e, load);
      prompt += prompt_tokens * prompt_token_us (model, e);
    }
  prediction->cycle_us += prediction->link_us;
  round += prediction->link_us;
  prediction->gap_us = model->gap_factor * MAX (prediction->load, 1) * round;
  prediction->first_us
      = ENTRY_US + prediction->gap_us
        + model->gap_factor * MAX (prediction->load, 1) * prompt;
}

double
mq_prediction_finish_us (const mq_prediction *prediction, uint32_t tokens)
{
  return prediction->first_us
         + prediction->gap_us * (tokens > 0 ? tokens - 1 : 0);
}

static void
model_learn_gap_factor (mq_model_state *m, double ratio)
{
  double max_change = GAP_FACTOR_CLIP * m->gap_factor;
  double target = m->gap_factor * ratio;

  m->gap_factor += GAP_FACTOR_GAIN
                   * CLAMP (target - m->gap_factor, -max_change, max_change);
  m->gap_factor = CLAMP (m->gap_factor, MIN_GAP_FACTOR, MAX_GAP_FACTOR);
}

void
mq_prediction_learn_gap (mq_model_state *model, mq_engine_table *table,
                         mq_engine_state *const *stages, uint32_t n,
                         double gap_us)
{
  mq_prediction p;
  double gap_factor, miss, variance;

  mq_prediction_make (&p, model, table, stages, n, 0, 0);
  if (!(p.gap_us > 0) || !(gap_us > 0))
    return;
  model_learn_gap_factor (model, gap_us / p.gap_us);
  gap_factor = model->gap_factor * MAX (p.load, 1);
  miss = (gap_us - p.gap_us) / gap_factor;
  variance = GAP_VARIANCE * p.cycle_us * p.cycle_us;
  for (uint32_t i = 0; i < n; i++)
    {
      double residence = mq_engine_state_residence_us (stages[i], 1);
      double link = link_after (table, stages, n, i);

      variance += ENGINE_VARIANCE * residence * residence
                  + LINK_VARIANCE * link * link;
    }
  for (uint32_t i = 0; i < n; i++)
    {
      mq_engine_state *e = stages[i];
      double residence = mq_engine_state_residence_us (e, 1);
      double link = link_after (table, stages, n, i);
      double gain = CORRECTION_GAIN * miss / variance;
      double slowdown_factor
          = e->slowdown_factor * (1 + gain * ENGINE_VARIANCE * residence);

      e->slowdown_factor = CLAMP (slowdown_factor, MIN_SLOWDOWN, MAX_SLOWDOWN);
      e->gap_observations++;
      mq_engine_table_adjust_link (table, e->domain,
                                   stages[(i + 1) % n]->domain,
                                   gain * LINK_VARIANCE * link * link);
    }
}

/* The error of a first token can come from a delay at the head or from the
   prefill cost.  Both estimates take a share of it; an error that neither
   causes decays again.  */
void
mq_prediction_learn_first (mq_model_state *model, const mq_engine_table *table,
                           mq_engine_state *const *stages, uint32_t n,
                           uint32_t prompt_tokens, double first_us)
{
  mq_prediction p;
  double step = 0;
  double miss, steps;

  mq_prediction_make (&p, model, table, stages, n, 0, prompt_tokens);
  miss = first_us - p.first_us;
  stages[0]->head_wait_us
      = MAX (stages[0]->head_wait_us + HEAD_WAIT_GAIN * miss, 0);
  for (uint32_t i = 0; i < n; i++)
    step += mq_step_model_us (&stages[i]->step, stages[i]->slots)
            * stages[i]->slowdown_factor;
  step *= model->gap_factor * MAX (p.load, 1) * prompt_tokens;
  if (step <= 0)
    return;
  /* A delay of many steps does not come from the prompt.  */
  miss = CLAMP (miss, -p.gap_us, p.gap_us);
  steps = model->steps_per_prompt_token + PROMPT_STEPS_GAIN * miss / step;
  model->steps_per_prompt_token = CLAMP (steps, 0, MAX_STEPS_PER_PROMPT_TOKEN);
}
