/* Internal to packages/decide: how long a request takes on a pipeline.

   A gap between two tokens is one round of the pipeline: the stay at each
   stage and the links between them.  What was predicted is held against what
   came, and the difference is shared out: what all pipelines have in common
   goes to the model's stretch, the rest to the engines and links on the way,
   most to those whose part is large and least certain.  An engine that is
   slower than its reports say, or a link slower than the files say, so shows
   up by itself.  */

#ifndef MQ_INTERNAL_PREDICTION_H
#define MQ_INTERNAL_PREDICTION_H

#include <mq/internal/model_state.h>

G_BEGIN_DECLS

typedef struct mq_prediction
{
  double cycle_us; /* One round with full batches, before any stretch.  */
  double link_us;  /* The links' part of it.  */
  double load;     /* Of the busiest stage.  */
  double gap_us;   /* Between tokens.  */
  double first_us; /* Until the first token.  */
} mq_prediction;

/* Predict for a prompt of PROMPT_TOKENS on the N STAGES, each with MORE
   demand than it has now.  */
void mq_prediction_make (mq_prediction *prediction,
                         const mq_model_state *model,
                         const mq_engine_table *table,
                         mq_engine_state *const *stages, uint32_t n,
                         double extra_demand, uint32_t prompt_tokens);

/* Until the last of TOKENS tokens.  */
double mq_prediction_finish_us (const mq_prediction *prediction,
                                uint32_t tokens);

/* Tokens came GAP_US apart.  */
void mq_prediction_learn_gap (mq_model_state *model, mq_engine_table *table,
                              mq_engine_state *const *stages, uint32_t n,
                              double gap_us);

/* The first token of a prompt of PROMPT_TOKENS came after FIRST_US.  */
void mq_prediction_learn_first (mq_model_state *model,
                                const mq_engine_table *table,
                                mq_engine_state *const *stages, uint32_t n,
                                uint32_t prompt_tokens, double first_us);

G_END_DECLS

#endif
