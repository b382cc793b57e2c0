/* How long a request takes: see mq/internal/prediction.h.  */

#include <mq/internal/prediction.h>

/* From the entry to the head and back to the caller's router.  */
#define ENTRY_US 1000.0
/* How much one gap moves the stretch, and by what part of it at most.  */
#define STRETCH_GAIN 0.01
#define STRETCH_CLIP 0.2
#define LEAST_STRETCH 0.2
#define MOST_STRETCH 20.0
/* How much one gap moves engines and links.  */
#define PART_GAIN 0.3
/* How uncertain they are: the variance of an engine's drag and a link's.  */
#define ENGINE_VARIANCE 0.05
#define LINK_VARIANCE 1.0
/* Of a gap that nothing explains: its part of the whole, squared.  */
#define GAP_VARIANCE 0.04
#define LEAST_DRAG 0.2
#define MOST_DRAG 100.0
/* How much one first token moves the cost of prompts, and its head's wait. */
#define PROMPT_GAIN 0.01
#define WAIT_GAIN 0.3
#define MOST_PROMPT_STEPS 1.0

static double
link_after (const mq_engine_table *table, mq_engine_state *const *stages,
            uint32_t n, uint32_t i)
{
  return mq_engine_table_link_us (table, stages[i]->domain,
                                  stages[(i + 1) % n]->domain);
}

/* The time that a stage takes for one prompt token.  */
static double
prompt_token_us (const mq_model_state *m, const mq_engine_state *e)
{
  return m->prompt_steps * mq_step_model_us (&e->step, e->slots) * e->drag;
}

void
mq_prediction_make (mq_prediction *prediction, const mq_model_state *model,
                    const mq_engine_table *table,
                    mq_engine_state *const *stages, uint32_t n, double more,
                    uint32_t prompt_tokens)
{
  double round = 0;
  double prompt = 0;

  *prediction = (mq_prediction){ 0 };
  for (uint32_t i = 0; i < n; i++)
    {
      const mq_engine_state *e = stages[i];
      double load = mq_engine_state_load (e, more, model->scale);

      prediction->load = MAX (prediction->load, load);
      prediction->link_us += link_after (table, stages, n, i);
      prediction->cycle_us += mq_engine_state_stay_us (e, 1);
      round += mq_engine_state_stay_us (e, load);
      prompt += prompt_tokens * prompt_token_us (model, e);
    }
  prediction->cycle_us += prediction->link_us;
  round += prediction->link_us;
  prediction->gap_us = model->stretch * MAX (prediction->load, 1) * round;
  prediction->first_us = ENTRY_US + prediction->gap_us
                         + model->stretch * MAX (prediction->load, 1) * prompt;
}

double
mq_prediction_finish_us (const mq_prediction *prediction, uint32_t tokens)
{
  return prediction->first_us
         + prediction->gap_us * (tokens > 0 ? tokens - 1 : 0);
}

static void
model_learn_stretch (mq_model_state *m, double ratio)
{
  double most = STRETCH_CLIP * m->stretch;
  double wanted = m->stretch * ratio;

  m->stretch += STRETCH_GAIN * CLAMP (wanted - m->stretch, -most, most);
  m->stretch = CLAMP (m->stretch, LEAST_STRETCH, MOST_STRETCH);
}

void
mq_prediction_learn_gap (mq_model_state *model, mq_engine_table *table,
                         mq_engine_state *const *stages, uint32_t n,
                         double gap_us)
{
  mq_prediction p;
  double stretch, miss, certain;

  mq_prediction_make (&p, model, table, stages, n, 0, 0);
  if (!(p.gap_us > 0) || !(gap_us > 0))
    return;
  model_learn_stretch (model, gap_us / p.gap_us);
  stretch = model->stretch * MAX (p.load, 1);
  miss = (gap_us - p.gap_us) / stretch;
  certain = GAP_VARIANCE * p.cycle_us * p.cycle_us;
  for (uint32_t i = 0; i < n; i++)
    {
      double stay = mq_engine_state_stay_us (stages[i], 1);
      double link = link_after (table, stages, n, i);

      certain += ENGINE_VARIANCE * stay * stay + LINK_VARIANCE * link * link;
    }
  for (uint32_t i = 0; i < n; i++)
    {
      mq_engine_state *e = stages[i];
      double stay = mq_engine_state_stay_us (e, 1);
      double link = link_after (table, stages, n, i);
      double part = PART_GAIN * miss / certain;
      double drag = e->drag * (1 + part * ENGINE_VARIANCE * stay);

      e->drag = CLAMP (drag, LEAST_DRAG, MOST_DRAG);
      e->observations++;
      mq_engine_table_adjust_link (table, e->domain,
                                   stages[(i + 1) % n]->domain,
                                   part * LINK_VARIANCE * link * link);
    }
}

/* A late first token is the head's doing, or the prompt was long: both take
   their part of the miss, and what neither explains fades.  */
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
  stages[0]->wait_us = MAX (stages[0]->wait_us + WAIT_GAIN * miss, 0);
  for (uint32_t i = 0; i < n; i++)
    step += mq_step_model_us (&stages[i]->step, stages[i]->slots)
            * stages[i]->drag;
  step *= model->stretch * MAX (p.load, 1) * prompt_tokens;
  if (step <= 0)
    return;
  /* A wait of many steps is no matter of the prompt.  */
  miss = CLAMP (miss, -p.gap_us, p.gap_us);
  steps = model->prompt_steps + PROMPT_GAIN * miss / step;
  model->prompt_steps = CLAMP (steps, 0, MOST_PROMPT_STEPS);
}
