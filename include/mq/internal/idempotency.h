/* Internal to packages/decide: what this router remembers of guarded calls.

   A ticket is run by the router that minted it alone, so its memory decides
   that a ticket number runs at most once.  A caller's own key is guarded by
   a claim in the platform; the memory only spares asking for it again.

   Invariants:
   - a value that began and did not end as not-run is never begun again while
     it is remembered;
   - what runs is never forgotten; what ended is remembered for the memory's
     time, which is no shorter than the life of a ticket;
   - full memory refuses; it never makes room by forgetting early.  */

#ifndef MQ_INTERNAL_IDEMPOTENCY_H
#define MQ_INTERNAL_IDEMPOTENCY_H

#include <mq/entry.h>

G_BEGIN_DECLS

typedef enum mq_guard_verdict
{
  MQ_GUARD_RUN,        /* New, or known not to have run.  */
  MQ_GUARD_IN_FLIGHT,  /* The first call runs.  */
  MQ_GUARD_OTHER_BODY, /* Used for another body.  */
  MQ_GUARD_FINISHED,   /* The first call has ended.  */
  MQ_GUARD_FULL        /* No room to remember one more.  */
} mq_guard_verdict;

typedef struct mq_idempotency mq_idempotency;

/* Remember at most LIMIT values, each for MEMORY_US after its end.  */
mq_idempotency *mq_idempotency_new (uint32_t limit, uint64_t retention_us);
void mq_idempotency_free (mq_idempotency *guards);

/* What is known of this value: RUN when nothing is.  FINISHED sets
 *OUTCOME.  */
mq_guard_verdict mq_idempotency_lookup (mq_idempotency *guards,
                                        mq_guard_kind kind,
                                        mq_span organisation, mq_span value,
                                        uint64_t body_hash, uint64_t now_us,
                                        mq_outcome *outcome);
/* May this value run now?  RUN marks it as running; FINISHED sets *OUTCOME
   to what came of it.  */
mq_guard_verdict mq_idempotency_begin (mq_idempotency *guards,
                                       mq_guard_kind kind,
                                       mq_span organisation, mq_span value,
                                       uint64_t body_hash, uint64_t now_us,
                                       mq_outcome *outcome);
/* The call that began with this value has ended.  */
void mq_idempotency_finish (mq_idempotency *guards, mq_guard_kind kind,
                            mq_span organisation, mq_span value,
                            mq_outcome outcome, uint64_t now_us);
uint32_t mq_idempotency_count (const mq_idempotency *guards);

G_END_DECLS

#endif
