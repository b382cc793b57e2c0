/* Latency estimates and timeouts: see mq/latency_estimate.h.  */

#include <mq/latency_estimate.h>

#include <math.h>

/* Weights of a sample and the factor of the deviation, as in RFC 6298.  */
#define MEAN_WEIGHT (1 / 8.0)
#define DEVIATION_WEIGHT (1 / 4.0)
#define TIMEOUT_DEVIATIONS 4

/* Even a very regular latency doubles at times, when a batch grows.  */
#define TIMEOUT_MIN_FACTOR 1.5

#define MIN_SAMPLES 8

void
mq_latency_estimate_add (mq_latency_estimate *estimate, double sample_ms)
{
  mq_latency_estimate *e = estimate;

  if (e->samples == 0)
    {
      e->mean_ms = sample_ms;
      e->deviation_ms = sample_ms / 2;
    }
  else
    {
      e->deviation_ms += (fabs (sample_ms - e->mean_ms) - e->deviation_ms)
                         * DEVIATION_WEIGHT;
      e->mean_ms += (sample_ms - e->mean_ms) * MEAN_WEIGHT;
    }
  if (e->samples < MIN_SAMPLES)
    e->samples++;
}

bool
mq_latency_estimate_is_known (const mq_latency_estimate *estimate)
{
  return estimate->samples >= MIN_SAMPLES;
}

double
mq_latency_estimate_timeout_ms (const mq_latency_estimate *estimate,
                                double min_ms, double max_ms)
{
  double timeout_ms
      = fmax (estimate->mean_ms + estimate->deviation_ms * TIMEOUT_DEVIATIONS,
              estimate->mean_ms * TIMEOUT_MIN_FACTOR);

  if (!mq_latency_estimate_is_known (estimate) || timeout_ms > max_ms)
    return max_ms;
  return fmax (timeout_ms, min_ms);
}
