/* Estimate of an engine's step time: see mq/internal/step_model.h.  */

#include <mq/internal/step_model.h>

/* Factor by which each observation decays the weight of the earlier ones.  */
#define DECAY 0.95
/* Minimum variance of the batch sizes for a line with a slope.  */
#define MIN_BATCH_VARIANCE 0.5
/* Minimum estimate, relative to the mean.  */
#define MIN_STEP_RATIO 0.1

void
mq_step_model_init (mq_step_model *model, double initial_us)
{
  *model
      = (mq_step_model){ .initial_us = initial_us, .mean_step = initial_us };
}

static void
model_fit (mq_step_model *m)
{
  double variance, slope;

  m->mean_batch = m->batch / m->weight;
  m->mean_step = m->step / m->weight;
  m->slope = 0;
  variance = m->batch_batch / m->weight - m->mean_batch * m->mean_batch;
  if (variance < MIN_BATCH_VARIANCE || m->mean_batch <= 0)
    return;
  slope = m->batch_step / m->weight - m->mean_batch * m->mean_step;
  slope /= variance;
  /* A larger batch never takes less time, nor more than in proportion.  */
  m->slope = CLAMP (slope, 0, m->mean_step / m->mean_batch);
}

void
mq_step_model_learn (mq_step_model *model, double batch, double step_us)
{
  model->weight = model->weight * DECAY + 1;
  model->batch = model->batch * DECAY + batch;
  model->step = model->step * DECAY + step_us;
  model->batch_batch = model->batch_batch * DECAY + batch * batch;
  model->batch_step = model->batch_step * DECAY + batch * step_us;
  model_fit (model);
}

double
mq_step_model_us (const mq_step_model *model, double batch)
{
  double us = model->mean_step + model->slope * (batch - model->mean_batch);

  return MAX (us, MIN_STEP_RATIO * model->mean_step);
}
