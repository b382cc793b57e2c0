/* Which routers clients are sent to: see mq/serving_set.h.  */

#include <mq/serving_set.h>

#include <math.h>

/* Part of a set's capacity that is used at most: what is left carries a burst
   of twice the traffic, or that of a domain which was lost, until clients
   ask again (some seconds).  */
#define MAX_USED_SHARE 0.3
/* Addresses of an answer, where there are so many: a client finds another
   router when two are gone.  */
#define MIN_ANSWER 3
/* What is used counts for less by a half after so long.  */
#define NEED_HALF_US 10e6

size_t
mq_serving_count (const unsigned *capacities, size_t n, double used)
{
  double capacity = 0;
  size_t count = 0;

  while (count < n
         && (count < MQ_SERVING_MIN || capacity * MAX_USED_SHARE < used))
    capacity += capacities[count++];
  return count;
}

/* Each router is named with a chance in proportion to its capacity: the
   answers' places are spread evenly over the sum of all capacities, from a
   point that is drawn.  One that is larger than the distance of two places is
   always named, but not twice.  */
size_t
mq_serving_draw (const unsigned *capacities, size_t n, size_t most,
                 uint64_t draw, bool *chosen)
{
  double sum = 0;
  double largest = 0;
  double even = (double)(draw >> 11) * 0x1p-53;
  double places;
  double at = 0;
  size_t named = 0;

  for (size_t i = 0; i < n; i++)
    {
      sum += MAX (capacities[i], 1);
      largest = MAX (largest, MAX (capacities[i], 1));
    }
  places = MIN (MAX (floor (sum / MAX (largest, 1)), MIN_ANSWER),
                (double)MIN (most, n));
  for (size_t i = 0; i < n; i++)
    {
      double before = ceil (at - even);

      at += MAX (capacities[i], 1) * places / MAX (sum, 1);
      chosen[i] = ceil (at - even) > before;
      named += chosen[i];
    }
  return named;
}

void
mq_serving_note_used (mq_serving_need *need, double used, uint64_t now_us)
{
  double kept
      = need->at_us == 0
            ? 0
            : need->used
                  * exp2 (-(double)(now_us - need->at_us) / NEED_HALF_US);

  need->used = MAX (used, kept);
  need->at_us = now_us;
}
