/* Which requests a router that stops still takes: see mq/drain_rule.h.  */

#include <mq/drain_rule.h>

/* Deviations above the mean that a request is given.  One that may be repeated
   is only late when it is cut.  Of any other, the work is lost.  */
#define REPEATABLE_DEVIATIONS 1
#define UNREPEATABLE_DEVIATIONS 4

#define US_PER_MS 1000

/* The longest time that REQUEST is expected to take; at most its limit.  Half
   of the grace period unless enough such requests are known.  */
static uint64_t
drain_expected_us (const mq_drain_request *request, uint64_t grace_us)
{
  double deviations
      = request->repeatable ? REPEATABLE_DEVIATIONS : UNREPEATABLE_DEVIATIONS;
  uint64_t expected_us = grace_us / 2;

  if (mq_latency_estimate_is_known (request->durations))
    expected_us = (uint64_t)((request->durations->mean_ms
                              + deviations * request->durations->deviation_ms)
                             * US_PER_MS);
  return MIN (expected_us, request->limit_us);
}

bool
mq_drain_takes (const mq_drain_request *request, uint64_t left_us,
                uint64_t grace_us)
{
  return drain_expected_us (request, grace_us) <= left_us;
}
