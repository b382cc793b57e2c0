/* Which requests a router that stops still takes.

   A router has a grace period from the signal to its end.  A request that it
   takes and that is not answered by then is cut: its client learns only that
   the outcome is unknown.  A request that it refuses costs its client a retry
   at another router.  So a request is taken if it ends in time at the latest,
   or is expected to.  No I/O; times are in microseconds.  */

#ifndef MQ_DRAIN_RULE_H
#define MQ_DRAIN_RULE_H

#include <mq/latency_estimate.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

typedef struct mq_drain_request
{
  uint64_t limit_us; /* It ends by then, by its route or its client.  */
  bool repeatable;   /* Its client may repeat it after any outcome.  */
  const mq_latency_estimate *durations; /* Of such requests, in ms.  */
} mq_drain_request;

/* Returns true if REQUEST is taken with LEFT_US until the requests that are
   left are cut, at a router with a grace period of GRACE_US.  */
bool mq_drain_takes (const mq_drain_request *request, uint64_t left_us,
                     uint64_t grace_us);

G_END_DECLS

#endif
