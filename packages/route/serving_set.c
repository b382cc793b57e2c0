/* Which routers clients are sent to: see mq/serving_set.h.  */

#include <mq/serving_set.h>

#include <math.h>

/* Part of a set's capacity that is used at most: what is left carries a burst
   of twice the traffic, or that of a domain which was lost, until clients
   ask again (some seconds).  */
#define MAX_UTILISATION 0.3
/* Addresses of an answer, where there are so many: a client finds another
   router when two are gone.  */
#define MIN_ANSWER_ADDRESSES 3
/* What is used counts for less by a half after so long.  */
#define DEMAND_HALF_LIFE_US 10e6

size_t
mq_serving_count (const unsigned *capacities, size_t n, double used)
{
  double capacity = 0;
  size_t count = 0;

  while (
      count < n
      && (count < MQ_SERVING_MIN_ROUTERS || capacity * MAX_UTILISATION < used))
    capacity += capacities[count++];
  return count;
}

/* Each router is named with a chance in proportion to its capacity: the
   answers' places are spread evenly over the sum of all capacities, from a
   point that is drawn.  One that is larger than the distance of two places is
   always named, but not twice.  */
size_t
mq_serving_sample (const unsigned *capacities, size_t n, size_t most,
                   uint64_t random, bool *chosen)
{
  double sum = 0;
  double largest = 0;
  double offset = (double)(random >> 11) * 0x1p-53;
  double places;
  double at = 0;
  size_t named = 0;

  for (size_t i = 0; i < n; i++)
    {
      sum += MAX (capacities[i], 1);
      largest = MAX (largest, MAX (capacities[i], 1));
    }
  places = MIN (MAX (floor (sum / MAX (largest, 1)), MIN_ANSWER_ADDRESSES),
                (double)MIN (most, n));
  for (size_t i = 0; i < n; i++)
    {
      double before = ceil (at - offset);

      at += MAX (capacities[i], 1) * places / MAX (sum, 1);
      chosen[i] = ceil (at - offset) > before;
      named += chosen[i];
    }
  return named;
}

void
mq_serving_demand_update (mq_serving_demand *demand, double used,
                          uint64_t now_us)
{
  double kept = demand->at_us == 0
                    ? 0
                    : demand->used
                          * exp2 (-(double)(now_us - demand->at_us)
                                  / DEMAND_HALF_LIFE_US);

  demand->used = MAX (used, kept);
  demand->at_us = now_us;
}
