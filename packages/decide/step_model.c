/* How long an engine's step takes: see mq/internal/step_model.h.  */

#include <mq/internal/step_model.h>

/* What is left of an observation's weight after the next one.  */
#define FADE 0.95
/* The least spread of batch sizes, squared, that gives the line a slope.  */
#define LEAST_SPREAD 0.5
/* No step is expected to be shorter than this part of the mean.  */
#define LEAST_PART 0.1

void
mq_step_model_init (mq_step_model *model, double guess_us)
{
  *model = (mq_step_model){ .guess_us = guess_us };
}

void
mq_step_model_learn (mq_step_model *model, double batch, double step_us)
{
  model->weight = model->weight * FADE + 1;
  model->batch = model->batch * FADE + batch;
  model->step = model->step * FADE + step_us;
  model->batch_batch = model->batch_batch * FADE + batch * batch;
  model->batch_step = model->batch_step * FADE + batch * step_us;
}

double
mq_step_model_us (const mq_step_model *model, double batch)
{
  double mean_batch, mean_step, spread, slope, us;

  if (model->weight <= 0)
    return model->guess_us;
  mean_batch = model->batch / model->weight;
  mean_step = model->step / model->weight;
  spread = model->batch_batch / model->weight - mean_batch * mean_batch;
  if (spread < LEAST_SPREAD || mean_batch <= 0)
    return mean_step;
  slope
      = (model->batch_step / model->weight - mean_batch * mean_step) / spread;
  /* A fuller batch is never shorter, nor longer than in proportion.  */
  slope = CLAMP (slope, 0, mean_step / mean_batch);
  us = mean_step + slope * (batch - mean_batch);
  return MAX (us, LEAST_PART * mean_step);
}
