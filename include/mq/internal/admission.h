/* Internal to packages/decide: admission control.

   The planner has no queue, so it handles overload by trunk reservation: the
   load limit up to which a stream is admitted depends on its priority and on
   whether its organisation is within its fair share.  Organisations above
   their share are refused first, but may use capacity that no other needs.  An
   admitted stream must also be predicted to finish before its deadline, with a
   margin learned from past mispredictions.  */

#ifndef MQ_INTERNAL_ADMISSION_H
#define MQ_INTERNAL_ADMISSION_H

#include <mq/internal/placement.h>
#include <mq/internal/prediction.h>

G_BEGIN_DECLS

typedef struct mq_admission
{
  bool admitted;
  mq_placement placement;   /* Valid if admitted.  */
  mq_prediction prediction; /* For PLACEMENT, or for the best pipeline if not
                               admitted.  */
  double gap_margin;        /* Factor on the predicted gaps.  */
  double first_margin_us;   /* Added to the predicted first token.  */
  mq_reason reason;         /* If not admitted.  */
  uint64_t retry_after_us;  /* If not admitted; 0: a retry would not help.  */
  mq_plan_figures figures;
} mq_admission;

/* Decide on REQUEST into *ADMISSION; SHARE is that of its organisation.  */
void mq_admission_decide (mq_admission *admission, mq_model_state *model,
                          const mq_engine_table *table, mq_fair_share *share,
                          const mq_plan_request *request, uint64_t now_us);

/* The baseline policy: admit any request for which a pipeline exists, in
   round-robin order.  */
void mq_admission_admit_all (mq_admission *admission, mq_model_state *model,
                             const mq_engine_table *table,
                             const mq_plan_request *request, uint64_t now_us);

/* Admit REQUEST as it already runs by PLAN.  Returns 0, or -1 if PLAN is empty
   or names an engine that TABLE does not hold.  */
int mq_admission_adopt (mq_admission *admission, mq_model_state *model,
                        mq_engine_table *table, const mq_plan *plan,
                        const mq_plan_request *request);

/* Divide the streams that the engines of MODEL can carry into shares of the
   organisations.  */
void mq_admission_divide_shares (mq_model_state *model, uint64_t now_us);

G_END_DECLS

#endif
