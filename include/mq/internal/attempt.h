/* Internal to packages/decide: the attempts that the planner admitted.

   An attempt holds a place at each of its engines, in its model and in the
   share of its organisation, from its admission until it is released, its
   router has left, or it expires some time after its deadline.  */

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
  mq_planner_action answer; /* The ADMIT, kept for a repeated request.  */
  mq_model_state *model;    /* Borrowed; outlives the attempt.  */
  mq_str *organisation;
  mq_placement placement; /* Its engine states outlive the attempt.  */
  double demand;          /* Inverse of the predicted cycle time.  */
  uint32_t prompt_tokens;
  uint64_t admitted_us;
  uint64_t expiry_us;   /* Closed then if it was not released.  */
  uint64_t progress_us; /* From the first to the last reported token.  */
  uint32_t progress;    /* Tokens reported so far.  */
  double predicted_first_us;
  double predicted_gap_us;
} mq_attempt;

/* Returns a new table that owns attempts, by mq_attempt_key.  */
GHashTable *mq_attempt_table_new (void);

/* Add the attempt of REQUEST, placed by ADMISSION, to ATTEMPTS and take its
   places.  Returns the attempt, borrowed from ATTEMPTS.  */
mq_attempt *mq_attempt_open (GHashTable *attempts, mq_model_state *model,
                             const mq_admission *admission,
                             mq_fair_share *share,
                             const mq_plan_request *request, uint64_t now_us);
/* Returns the attempt, borrowed, or NULL.  */
mq_attempt *mq_attempt_find (GHashTable *attempts, mq_request_id id,
                             uint32_t attempt);
/* Release all places of ATTEMPT and free it.  */
void mq_attempt_close (GHashTable *attempts, mq_attempt *attempt,
                       const mq_config *config, uint64_t now_us);

/* Update the gap estimate from the tokens since the last report; TOKENS and
   MEAN_GAP_US cover the attempt so far.  */
void mq_attempt_learn_progress (mq_attempt *attempt, mq_engine_table *table,
                                uint32_t tokens, uint64_t mean_gap_us);
/* Learn from an attempt that was cancelled by the caller or at its deadline:
   exceeding its prediction before then counts as a misprediction.  */
void mq_attempt_learn_cancelled (mq_attempt *attempt, mq_engine_table *table,
                                 const mq_plan_release *release,
                                 uint64_t now_us);
/* Learn from an attempt that completed without a fault.  */
void mq_attempt_learn_completed (mq_attempt *attempt, mq_engine_table *table,
                                 const mq_plan_release *release);

/* Release what ACTION owns.  */
void mq_planner_action_clear (mq_planner_action *action);

G_END_DECLS

#endif
