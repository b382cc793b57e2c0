/* Internal to packages/decide: retry budgets and back-off.

   A budget has one token bucket for each name (a service or an organisation).
   A first try deposits a fraction of a retry and a retry withdraws a whole
   one, so that retries stay within a percentage of first tries and cannot
   amplify an overload.  Invariant: a bucket holds between 0 and the burst.  */

#ifndef MQ_INTERNAL_RETRY_BUDGET_H
#define MQ_INTERNAL_RETRY_BUDGET_H

#include <glib.h>
#include <mq/str.h>

G_BEGIN_DECLS

typedef struct mq_retry_budget mq_retry_budget;

/* Returns a new budget, whose buckets begin with BURST retries and never hold
   more.  */
mq_retry_budget *mq_retry_budget_new (double burst);
void mq_retry_budget_free (mq_retry_budget *budget);

/* Deposit PERCENT of a retry for a first try of NAME.  */
void mq_retry_budget_deposit (mq_retry_budget *budget, mq_span name,
                              uint32_t percent);
/* Returns true if a retry is left for NAME.  */
bool mq_retry_budget_is_available (mq_retry_budget *budget, mq_span name);
/* Withdraw one retry of NAME.  Call only if mq_retry_budget_is_available
   returns true.  */
void mq_retry_budget_withdraw (mq_retry_budget *budget, mq_span name);
/* Remove the buckets of names for which KNOWN, called with CONTEXT, returns
   false, so that the configuration bounds the table.  */
void mq_retry_budget_prune (mq_retry_budget *budget,
                            bool (*known) (mq_span name, const void *context),
                            const void *context);

/* Returns the next value of the seeded generator with state *STATE.  */
uint64_t mq_random_next (uint64_t *state);
/* Returns the back-off before retry N (from 0) with full jitter: a random time
   up to BASE_US doubled N times, at most CAP_US.  */
uint64_t mq_backoff_us (uint64_t *state, uint32_t n, uint64_t base_us,
                        uint64_t cap_us);

G_END_DECLS

#endif
