/* Internal to packages/decide: how many retries are allowed.

   One bucket a name (a service, or an organisation).  A first try puts in a
   part of a retry, a retry takes a whole one out, so that retries stay within
   a percentage of first tries and cannot multiply an overload.  Invariant: a
   bucket holds between 0 and its burst.  */

#ifndef MQ_INTERNAL_RETRY_BUDGET_H
#define MQ_INTERNAL_RETRY_BUDGET_H

#include <glib.h>
#include <mq/str.h>

G_BEGIN_DECLS

typedef struct mq_retry_budget mq_retry_budget;

/* A new bucket holds BURST retries, and never more.  */
mq_retry_budget *mq_retry_budget_new (double burst);
void mq_retry_budget_free (mq_retry_budget *budget);

/* Count a first try for NAME, of which PERCENT may be retried.  */
void mq_retry_budget_deposit (mq_retry_budget *budget, mq_span name,
                              uint32_t percent);
/* Is a retry left for NAME?  */
bool mq_retry_budget_is_available (mq_retry_budget *budget, mq_span name);
/* Take one retry of NAME; only after mq_retry_budget_is_available said so.  */
void mq_retry_budget_withdraw (mq_retry_budget *budget, mq_span name);
/* Forget the names that are not KNOWN, so that the table stays bounded by the
   configuration.  */
void mq_retry_budget_prune (mq_retry_budget *budget,
                            bool (*known) (mq_span name, const void *context),
                            const void *context);

/* The next value of a seeded generator whose state is *STATE.  */
uint64_t mq_random_next (uint64_t *state);
/* How long to wait before retry N (from 0): a random part of BASE_US doubled
   N times, at most CAP_US ("full jitter").  */
uint64_t mq_backoff_us (uint64_t *state, uint32_t n, uint64_t base_us,
                        uint64_t cap_us);

G_END_DECLS

#endif
