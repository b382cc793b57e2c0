/* Internal to packages/decide: this router's table of guarded calls.

   A ticket is run only by the router that minted it, so this table alone
   ensures that a ticket number runs at most once.  The key of a caller is
   protected by a claim at the platform; for keys the table only saves repeated
   claims.

   Invariants:
   - a value that began and did not end as not-run never begins again while
     the table holds it;
   - a running value is never evicted; an ended value is kept for the retention
     time, which is no shorter than the lifetime of a ticket;
   - a full table refuses new values and never evicts early.  */

#ifndef MQ_INTERNAL_IDEMPOTENCY_H
#define MQ_INTERNAL_IDEMPOTENCY_H

#include <mq/entry.h>

G_BEGIN_DECLS

typedef enum mq_guard_verdict
{
  MQ_GUARD_RUN,        /* New, or known not to have run.  */
  MQ_GUARD_IN_FLIGHT,  /* The first call still runs.  */
  MQ_GUARD_OTHER_BODY, /* Used before with a different body.  */
  MQ_GUARD_FINISHED,   /* The first call has ended.  */
  MQ_GUARD_FULL        /* The table is full.  */
} mq_guard_verdict;

typedef struct mq_idempotency mq_idempotency;

/* Returns a new table of at most LIMIT values, each kept for RETENTION_US
   after its end.  */
mq_idempotency *mq_idempotency_new (uint32_t limit, uint64_t retention_us);
void mq_idempotency_free (mq_idempotency *guards);

/* Returns the state of VALUE without changing it: RUN if it is unknown.
   FINISHED sets *OUTCOME to the outcome of the first call.  */
mq_guard_verdict mq_idempotency_lookup (mq_idempotency *guards,
                                        mq_guard_kind kind,
                                        mq_span organisation, mq_span value,
                                        uint64_t body_hash, uint64_t now_us,
                                        mq_outcome *outcome);
/* Begin a call with VALUE.  RUN allows it and marks VALUE as running; FINISHED
   sets *OUTCOME to the outcome of the first call.  */
mq_guard_verdict mq_idempotency_begin (mq_idempotency *guards,
                                       mq_guard_kind kind,
                                       mq_span organisation, mq_span value,
                                       uint64_t body_hash, uint64_t now_us,
                                       mq_outcome *outcome);
/* Record that the call that began with VALUE ended with OUTCOME.  NOT_RUN
   removes VALUE.  */
void mq_idempotency_finish (mq_idempotency *guards, mq_guard_kind kind,
                            mq_span organisation, mq_span value,
                            mq_outcome outcome, uint64_t now_us);
/* Returns the number of values kept.  */
uint32_t mq_idempotency_count (const mq_idempotency *guards);

G_END_DECLS

#endif
