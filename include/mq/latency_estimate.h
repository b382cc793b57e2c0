/* A running estimate of a latency, and the timeout that follows from it.

   Mean and mean deviation are smoothed as in TCP's retransmission timer (RFC
   6298).  The timeout scales with the latency, so that it needs no tuning for
   a deployment.  All times are in milliseconds.  */

#ifndef MQ_LATENCY_ESTIMATE_H
#define MQ_LATENCY_ESTIMATE_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/* Zeroed, it has no sample yet.  */
typedef struct mq_latency_estimate
{
  double mean_ms;
  double deviation_ms;
  unsigned samples; /* Counted only until there are enough for a timeout.  */
} mq_latency_estimate;

/* Add SAMPLE_MS to ESTIMATE.  */
void mq_latency_estimate_add (mq_latency_estimate *estimate, double sample_ms);

/* Returns true if ESTIMATE has enough samples to be relied on.  */
bool mq_latency_estimate_is_known (const mq_latency_estimate *estimate);

/* The time after which a wait is unusually long, between MIN_MS and MAX_MS;
   MAX_MS while there are too few samples.  */
double mq_latency_estimate_timeout_ms (const mq_latency_estimate *estimate,
                                       double min_ms, double max_ms);

G_END_DECLS

#endif
