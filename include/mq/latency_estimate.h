/* A running estimate of a latency, and the timeout that follows from it.

   Mean and mean deviation are smoothed as TCP does for round trips (RFC
   6298).  The timeout adapts to whatever pace the path has, so that it needs
   no tuning for a deployment.

   Pure; all times are milliseconds.  */

#ifndef MQ_LATENCY_ESTIMATE_H
#define MQ_LATENCY_ESTIMATE_H

#include <glib.h>

G_BEGIN_DECLS

/* All zero: no sample yet.  */
typedef struct mq_latency_estimate
{
  double mean_ms;
  double deviation_ms;
  unsigned samples; /* Up to the number from which the estimate counts.  */
} mq_latency_estimate;

/* Take in one SAMPLE_MS.  */
void mq_latency_estimate_add (mq_latency_estimate *estimate, double sample_ms);

/* After how long a wait is unusual: between MIN_MS and MAX_MS, and MAX_MS
   while there are too few samples.  */
double mq_latency_estimate_timeout_ms (const mq_latency_estimate *estimate,
                                       double min_ms, double max_ms);

G_END_DECLS

#endif
