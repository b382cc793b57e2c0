/* Headroom for more urgent requests: see mq/urgency_reserve.h.  */

#include <mq/urgency_reserve.h>

#include <math.h>
#include <string.h>

/* The slices cover the 10 s over which admission rates count.  A slice is
   short against the bursts that headroom has to follow, some seconds.  */
#define SLICE_US ((uint64_t)500 * 1000)

/* Spans, in slices, over which the rate of arrivals is taken; the largest is
   used.  The shorter ones find a burst within two seconds or four.  The last
   one is the whole window, whose mean needs no discount.  */
static const unsigned rate_spans[] = { 4, 8, MQ_URGENCY_SLICES };

/* A rate is not extrapolated from less than this, so that the first requests
   of a new router do not count as a burst.  */
#define MIN_SPAN_US ((uint64_t)2000 * 1000)

/* Weight of the latest request in the average stay.  */
#define STAY_WEIGHT 0.1

/* No headroom is withheld from a level whose admission rate is below this
   share of that of all requests.  The bound is a quarter; a third leaves room
   for what is rejected before the rate recovers.  */
#define STARVED_SHARE (1.0 / 3)

/* Headroom is at least what arrives at the more urgent levels in the first
   time, which is about the age of the other routers' counts: in this time less
   urgent requests could take all memory unseen.  A router of a large fleet
   holds few requests, and would otherwise often find by chance that it holds
   enough.

   Headroom is at most what arrives in the second time.  Memory is released all
   the time, and more urgent requests get all of it once the less urgent ones
   are limited, so they need no memory in advance for a longer time.  Without
   this bound much memory stayed unused in the replay of
   tests/test_urgency_replay.cc, and more credit was lost than without levels.
 */
#define MIN_COVER_US 250e3
#define MAX_COVER_US 500e3

/* Headroom takes at most this share of the usable memory, whatever a router
   extrapolates from its few requests.  */
#define MAX_HEADROOM_SHARE 0.25

/* A rejected request does not return sooner than this: the other routers'
   counts of memory in use are up to half as old, and a client has few
   attempts.  */
#define MIN_RETRY_MS 500

static void
reserve_advance (mq_urgency_reserve *reserve, uint64_t now_us)
{
  uint64_t slice = now_us / SLICE_US;
  uint64_t passed = MIN (slice - reserve->slice, MQ_URGENCY_SLICES);

  if (slice <= reserve->slice)
    return;
  for (uint64_t s = slice - passed + 1; s <= slice; s++)
    for (unsigned l = 0; l < MQ_URGENCY_LEVELS; l++)
      memset (&reserve->levels[l].slices[s % MQ_URGENCY_SLICES], 0,
              sizeof (mq_urgency_slice));
  reserve->slice = slice;
}

/* The sum of the last N slices of USE.  */
static mq_urgency_slice
use_sum (const mq_urgency_reserve *reserve, const mq_urgency_use *use,
         unsigned n)
{
  mq_urgency_slice sum = { 0, 0, 0 };

  for (unsigned i = 0; i < n; i++)
    {
      const mq_urgency_slice *s
          = &use->slices[(reserve->slice + MQ_URGENCY_SLICES - i)
                         % MQ_URGENCY_SLICES];

      sum.requested += s->requested;
      sum.admitted += s->admitted;
      sum.tokens += s->tokens;
    }
  return sum;
}

/* The recent peak of the tokens that arrive per microsecond.  A count of n
   requests has a standard deviation of sqrt (n), which is deducted from the
   short spans: a router of a large fleet sees few requests in them.  */
static double
use_rate (const mq_urgency_reserve *reserve, const mq_urgency_use *use,
          uint64_t now_us)
{
  uint64_t known_us = now_us - reserve->since_us;
  double rate = 0;

  for (unsigned i = 0; i < G_N_ELEMENTS (rate_spans); i++)
    {
      unsigned n = rate_spans[i];
      mq_urgency_slice sum = use_sum (reserve, use, n);
      uint64_t span_us = (n - 1) * SLICE_US + now_us % SLICE_US;

      if (sum.requested == 0)
        continue;
      if (n < MQ_URGENCY_SLICES)
        sum.tokens *= 1 - 1 / sqrt (sum.requested);
      else
        span_us = MAX (MIN (span_us, known_us), MIN_SPAN_US);
      rate = MAX (rate, sum.tokens / (double)span_us);
    }
  return rate;
}

/* The share of the requests of the levels from FIRST to LAST that were
   admitted.  */
static double
reserve_admission (const mq_urgency_reserve *reserve, int first, int last)
{
  unsigned requested = 0;
  unsigned admitted = 0;

  for (int l = first; l <= last; l++)
    {
      mq_urgency_slice s
          = use_sum (reserve, &reserve->levels[l], MQ_URGENCY_SLICES);

      requested += s.requested;
      admitted += s.admitted;
    }
  return requested > 0 ? MIN ((double)admitted / requested, 1) : 1;
}

/* Set the inputs of LIMIT for requests less urgent than those of the first N
   levels.  Returns the tokens that these lack at this router.  A more urgent
   level's lack also counts for all less urgent ones, even if the levels
   between hold more than they need.  */
static double
reserve_lack (const mq_urgency_reserve *reserve, int n,
              mq_urgency_limit *limit, uint64_t now_us)
{
  double lack = 0;
  double rates = 0;

  for (int l = 0; l < n; l++)
    {
      const mq_urgency_use *u = &reserve->levels[l];
      double rate = use_rate (reserve, u, now_us);

      rates += rate;
      limit->demand += rate * u->stay_us;
      limit->held += u->held;
      lack = MAX (lack, CLAMP (limit->demand - limit->held,
                               rates * MIN_COVER_US, rates * MAX_COVER_US));
    }
  return lack;
}

void
mq_urgency_reserve_note_request (mq_urgency_reserve *reserve, int level,
                                 double tokens, uint64_t now_us)
{
  mq_urgency_slice *s;

  reserve_advance (reserve, now_us);
  if (reserve->since_us == 0)
    reserve->since_us = now_us;
  s = &reserve->levels[level].slices[reserve->slice % MQ_URGENCY_SLICES];
  s->requested++;
  s->tokens += tokens;
}

void
mq_urgency_reserve_note_admitted (mq_urgency_reserve *reserve, int level,
                                  uint64_t now_us)
{
  reserve_advance (reserve, now_us);
  reserve->levels[level].slices[reserve->slice % MQ_URGENCY_SLICES].admitted++;
}

void
mq_urgency_reserve_note_held (mq_urgency_reserve *reserve, int level,
                              double tokens)
{
  reserve->levels[level].held += tokens;
}

void
mq_urgency_reserve_note_stay (mq_urgency_reserve *reserve, int level,
                              uint64_t stay_us)
{
  double *mean = &reserve->levels[level].stay_us;

  *mean = *mean > 0 ? *mean + STAY_WEIGHT * ((double)stay_us - *mean)
                    : (double)stay_us;
}

mq_urgency_limit
mq_urgency_reserve_limit (mq_urgency_reserve *reserve, int level,
                          const mq_urgency_memory *memory, uint64_t now_us)
{
  mq_urgency_limit l = { .limit = 1 };
  double max = MAX_HEADROOM_SHARE * memory->usable * memory->capacity;
  double lack;

  reserve_advance (reserve, now_us);
  lack = reserve_lack (reserve, level, &l, now_us);
  l.headroom = MIN (lack * memory->ratio, max);
  l.admission = reserve_admission (reserve, level, level);
  l.admission_all = reserve_admission (reserve, 0, MQ_URGENCY_LEVELS - 1);
  l.starved = l.admission < STARVED_SHARE * l.admission_all;
  if (l.starved)
    l.headroom = 0;
  if (l.headroom > 0 && memory->capacity > 0)
    l.limit = memory->usable - l.headroom / memory->capacity;
  return l;
}

unsigned
mq_urgency_retry_ms (int level, unsigned levels, unsigned usual_ms)
{
  unsigned ms = usual_ms * ((unsigned)level + 1) / MAX (levels, 1);

  return MIN (MAX (ms, MIN_RETRY_MS), usual_ms);
}
