/* Internal to packages/decide: whether a request is taken.

   Nothing waits in the planner, so overload is met by trunk reservation: the
   load up to which a stream is taken depends on its priority and on whether
   its organisation is within its fair share.  Those above their share are
   stopped first and leave room for the others, and what nobody else uses goes
   to them.  A stream that is taken must also be predicted to finish before
   its deadline, with the margin that the misses so far call for.  */

#ifndef MQ_INTERNAL_ADMISSION_H
#define MQ_INTERNAL_ADMISSION_H

#include <mq/internal/placement.h>
#include <mq/internal/prediction.h>

G_BEGIN_DECLS

typedef struct mq_admission
{
  bool admitted;
  mq_placement placement;   /* When admitted.  */
  mq_prediction prediction; /* Of PLACEMENT, or of the best that there was. */
  double gap_margin;        /* A factor.  */
  double first_margin_us;
  mq_reason reason; /* When not admitted, ...  */
  uint64_t retry_after_us;
  mq_plan_figures figures;
} mq_admission;

/* Decide on ASK; SHARE is its organisation's.  */
void mq_admission_decide (mq_admission *admission, mq_model_state *model,
                          const mq_engine_table *table, mq_fair_share *share,
                          const mq_plan_request *ask, uint64_t now_us);

/* The baseline: take whatever a pipeline exists for, next in turn.  */
void mq_admission_take_all (mq_admission *admission, mq_model_state *model,
                            const mq_engine_table *table,
                            const mq_plan_request *ask, uint64_t now_us);

/* Take ASK as it runs already, by PLAN.  Returns 0, or -1 when an engine of
   PLAN is not known here.  */
int mq_admission_adopt (mq_admission *admission, mq_model_state *model,
                        mq_engine_table *table, const mq_plan *plan,
                        const mq_plan_request *ask);

/* Divide the streams that the engines carry among the organisations.  */
void mq_admission_divide_shares (mq_model_state *model, uint64_t now_us);

G_END_DECLS

#endif
