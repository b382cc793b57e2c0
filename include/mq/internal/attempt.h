/* Internal to packages/decide: the attempts that the planner gave plans to.

   An attempt holds a place at each of its engines, in its model and in its
   organisation's share, from its admission until it is released, its router
   is gone, or its deadline is long past.  */

#ifndef MQ_INTERNAL_ATTEMPT_H
#define MQ_INTERNAL_ATTEMPT_H

#include <mq/internal/admission.h>

G_BEGIN_DECLS

typedef struct mq_attempt_key
{
  mq_request_id id;
  uint32_t attempt;
} mq_attempt_key;

typedef struct mq_attempt
{
  mq_attempt_key key;
  mq_planner_action answer; /* The ADMIT, kept for a repeated ask.  */
  mq_model_state *model;    /* Borrowed; outlives it.  */
  mq_str *organisation;
  mq_placement placement; /* Its states outlive it.  */
  double demand;
  uint32_t prompt_tokens;
  uint64_t begun_us;
  uint64_t lapses_us;   /* Forgotten then, if never released.  */
  uint64_t progress_us; /* Time from the first to the last token told of... */
  uint32_t progress;    /* ... and how many tokens that were.  */
  double predicted_first_us;
  double predicted_gap_us;
} mq_attempt;

/* Attempts by their key.  */
GHashTable *mq_attempt_table_new (void);

/* Admit ASK as ADMISSION says; the table owns the attempt, which is
   returned borrowed.  */
mq_attempt *mq_attempt_open (GHashTable *attempts, mq_model_state *model,
                             const mq_admission *admission,
                             mq_fair_share *share, const mq_plan_request *ask,
                             uint64_t now_us);
mq_attempt *mq_attempt_find (GHashTable *attempts, mq_request_id id,
                             uint32_t attempt);
/* Give back all places of ATTEMPT and free it.  */
void mq_attempt_close (GHashTable *attempts, mq_attempt *attempt,
                       const mq_config *config, uint64_t now_us);

/* Tokens came: learn from those since the last time.  */
void mq_attempt_learn_progress (mq_attempt *attempt, mq_engine_table *table,
                                uint32_t tokens, uint64_t mean_gap_us);
/* It was given up, by the caller or at its deadline: when it had already
   taken longer than was predicted, that is a miss too.  */
void mq_attempt_learn_cut (mq_attempt *attempt, mq_engine_table *table,
                           const mq_plan_release *release, uint64_t now_us);
/* It is over without a fault: learn from the whole.  */
void mq_attempt_learn_whole (mq_attempt *attempt, mq_engine_table *table,
                             const mq_plan_release *release);

/* Clear what an action owns.  */
void mq_planner_action_clear (mq_planner_action *action);

G_END_DECLS

#endif
