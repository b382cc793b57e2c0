/* Internal to packages/decide: prediction of a request's duration on a
   pipeline.

   The gap between two tokens is one cycle of the pipeline: the residence time
   at each stage plus the links between stages.  Each observed gap is compared
   with its prediction and the error is distributed.  The part that all
   pipelines share adjusts the model's gap_factor.  The rest adjusts the
   engines and links of the pipeline, in proportion to their share of the time
   and to the uncertainty of their estimate.  This detects engines that are
   slower than they report, and links that are slower than configured.  */

#ifndef MQ_INTERNAL_PREDICTION_H
#define MQ_INTERNAL_PREDICTION_H

#include <mq/internal/model_state.h>

G_BEGIN_DECLS

typedef struct mq_prediction
{
  double cycle_us; /* One cycle with full batches, without gap_factor.  */
  double link_us;  /* The links' share of it.  */
  double load;     /* Of the busiest stage.  */
  double gap_us;   /* Between tokens.  */
  double first_us; /* Until the first token.  */
} mq_prediction;

/* Predicts the times of a request with PROMPT_TOKENS on the N engines STAGES,
   each with EXTRA_DEMAND added to its present demand.  */
void mq_prediction_make (mq_prediction *prediction,
                         const mq_model_state *model,
                         const mq_engine_table *table,
                         mq_engine_state *const *stages, uint32_t n,
                         double extra_demand, uint32_t prompt_tokens);

/* Returns the predicted time until the last of TOKENS tokens.  */
double mq_prediction_finish_us (const mq_prediction *prediction,
                                uint32_t tokens);

/* Updates the estimates from GAP_US, an observed gap between tokens.  */
void mq_prediction_learn_gap (mq_model_state *model, mq_engine_table *table,
                              mq_engine_state *const *stages, uint32_t n,
                              double gap_us);

/* Updates the estimates from FIRST_US, the observed time until the first token
   of a prompt of PROMPT_TOKENS.  */
void mq_prediction_learn_first (mq_model_state *model,
                                const mq_engine_table *table,
                                mq_engine_state *const *stages, uint32_t n,
                                uint32_t prompt_tokens, double first_us);

G_END_DECLS

#endif
