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
  *model = (mq_step_model){ .guess_us = guess_us, .mean_step = guess_us };
}

static void
model_fit (mq_step_model *m)
{
  double spread, slope;

  m->mean_batch = m->batch / m->weight;
  m->mean_step = m->step / m->weight;
  m->slope = 0;
  spread = m->batch_batch / m->weight - m->mean_batch * m->mean_batch;
  if (spread < LEAST_SPREAD || m->mean_batch <= 0)
    return;
  slope = m->batch_step / m->weight - m->mean_batch * m->mean_step;
  slope /= spread;
  /* A fuller batch is never shorter, nor longer than in proportion.  */
  m->slope = CLAMP (slope, 0, m->mean_step / m->mean_batch);
}

void
mq_step_model_learn (mq_step_model *model, double batch, double step_us)
{
  model->weight = model->weight * FADE + 1;
  model->batch = model->batch * FADE + batch;
  model->step = model->step * FADE + step_us;
  model->batch_batch = model->batch_batch * FADE + batch * batch;
  model->batch_step = model->batch_step * FADE + batch * step_us;
  model_fit (model);
}

double
mq_step_model_us (const mq_step_model *model, double batch)
{
  double us = model->mean_step + model->slope * (batch - model->mean_batch);

  return MAX (us, LEAST_PART * model->mean_step);
}
