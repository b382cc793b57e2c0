/* Internal to packages/decide: estimate of an engine's step time.

   A weighted linear regression of the step time over the batch size, in which
   old observations decay.  Before the first observation the estimate is the
   configured step time.  */

#ifndef MQ_INTERNAL_STEP_MODEL_H
#define MQ_INTERNAL_STEP_MODEL_H

#include <glib.h>

G_BEGIN_DECLS

typedef struct mq_step_model
{
  double initial_us;
  double weight; /* Of the observations; the sums below are weighted.  */
  double batch;
  double step;
  double batch_batch;
  double batch_step;
  /* The fitted line, updated with each observation.  */
  double mean_batch;
  double mean_step;
  double slope;
} mq_step_model;

void mq_step_model_init (mq_step_model *model, double initial_us);
/* Adds the observation that a step with BATCH streams took STEP_US.  */
void mq_step_model_learn (mq_step_model *model, double batch, double step_us);
/* Returns the expected time of a step with BATCH streams.  */
double mq_step_model_us (const mq_step_model *model, double batch);

G_END_DECLS

#endif
