/* Which routers clients are sent to: see mq/serving_set.h.  */

#include <mq/serving_set.h>

#include <math.h>

/* Share of a set's capacity that its demand may take.  The rest absorbs a
   burst to twice the traffic, or that of a failed domain until clients repeat
   their discovery requests, which takes some seconds.  */
#define MAX_UTILISATION 0.3
/* Addresses in a reply at least, if the set has as many, so that a client can
   reach a router when two are unreachable.  */
#define MIN_ANSWER_ADDRESSES 3
/* Half-life of past demand.  */
#define DEMAND_HALF_LIFE_US 10e6

size_t
mq_serving_count (const unsigned *capacities, size_t n, size_t preferred,
                  double used)
{
  size_t least = MIN (preferred, MQ_SERVING_MIN_ROUTERS);
  double capacity = 0;
  size_t count = 0;

  while (count < n && (count < least || capacity * MAX_UTILISATION < used))
    capacity += capacities[count++];
  return count;
}

/* Systematic sampling: each router is chosen with a probability in proportion
   to its capacity.  The places of the reply are spread evenly over the sum of
   all capacities, from a random offset.  A router whose capacity exceeds the
   distance of two places is always chosen, and only once.  */
size_t
mq_serving_sample (const unsigned *capacities, size_t n, size_t max,
                   uint64_t random, bool *chosen)
{
  double sum = 0;
  double largest = 0;
  double offset = (double)(random >> 11) * 0x1p-53;
  double places;
  double at = 0;
  size_t n_chosen = 0;

  for (size_t i = 0; i < n; i++)
    {
      sum += MAX (capacities[i], 1);
      largest = MAX (largest, MAX (capacities[i], 1));
    }
  places = MIN (MAX (floor (sum / MAX (largest, 1)), MIN_ANSWER_ADDRESSES),
                (double)MIN (max, n));
  for (size_t i = 0; i < n; i++)
    {
      double before = ceil (at - offset);

      at += MAX (capacities[i], 1) * places / MAX (sum, 1);
      chosen[i] = ceil (at - offset) > before;
      n_chosen += chosen[i];
    }
  return n_chosen;
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
