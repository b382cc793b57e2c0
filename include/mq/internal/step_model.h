/* Internal to packages/decide: how long an engine's step takes.

   A line through the step times that were seen at each batch size, with the
   old ones fading.  Before anything was seen it holds the guess of the
   configuration.  */

#ifndef MQ_INTERNAL_STEP_MODEL_H
#define MQ_INTERNAL_STEP_MODEL_H

#include <glib.h>

G_BEGIN_DECLS

typedef struct mq_step_model
{
  double initial_us;
  double weight; /* Of what was seen; the sums below are weighted.  */
  double batch;
  double step;
  double batch_batch;
  double batch_step;
  /* The line through them, kept ready.  */
  double mean_batch;
  double mean_step;
  double slope;
} mq_step_model;

void mq_step_model_init (mq_step_model *model, double initial_us);
/* A step with BATCH streams took STEP_US.  */
void mq_step_model_learn (mq_step_model *model, double batch, double step_us);
/* Expected time of a step with BATCH streams.  */
double mq_step_model_us (const mq_step_model *model, double batch);

G_END_DECLS

#endif
