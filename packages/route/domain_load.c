/* The choice of a path by load: see mq/domain_load.h.

   The limits guard against overload that outlives its cause
   (tests/test_overload.cc).  Rejected clients retry once.  If retries
   displaced new requests, these would be rejected and retry in turn, so that
   all memory would serve requests that are late.  So retries may use a little
   less of the memory than new requests, and Retry-After is long enough for the
   cause to be over in most cases.  */

#include <mq/domain_load.h>

#include <math.h>

/* Share of a path's memory that requests may use, by rank.  The rest covers
   what other routers admitted since they last reported.  Streams that have
   started may use all of it, since otherwise they would be lost.  */
static const double memory_share[] = {
  [MQ_DOMAIN_RETRY] = 0.89, [MQ_DOMAIN_NEW] = 0.92, [MQ_DOMAIN_STARTED] = 1.02
};

/* Share of the target latency of the first event that may pass before the
   request's own prefill begins, by rank.  When a chain fails, hundreds of
   requests retry at once.  Most of them are late already, and all others would
   be if they had to wait for these.  */
static const double max_prefill_share[] = {
  [MQ_DOMAIN_RETRY] = 0.5, [MQ_DOMAIN_NEW] = 0.6, [MQ_DOMAIN_STARTED] = 1.0
};

/* Penalty, as a share of its memory, of a path where a send of the same
   request failed: it may have an engine whose failure is not detected yet.  */
#define TRIED_PENALTY 0.4

/* Bonus, as a share of its memory, of a path in the router's own domain: a
   response from another domain takes longer and incurs transfer costs.  */
#define LOCAL_BONUS 0.15

/* Penalty of a path that is at least MIN_SLOW_RATIO times as slow as the
   fastest one, since one of its engines is slow, for each multiple beyond the
   first.  It is never a reason to reject a request.  */
#define MIN_SLOW_RATIO 1.8
#define SLOW_PENALTY 0.25
#define MAX_SLOW_PENALTY 1.0

/* Clients follow Retry-After up to a third of the time to their deadline.
   This is a little less, to allow for the round trip.  */
#define RETRY_SHARE_OF_LEFT 0.32
/* Share of that time over which retries are spread.  */
#define RETRY_SPREAD 0.3
#define MIN_RETRY_AFTER_MS 100

/* The weight of a path in the random choice is its capacity times a power of
   the share of it that is free.  Fresh counts get a large exponent, so that
   nearly always the path with the largest free share is chosen.  With stale
   counts all routers would then choose the same one, so these get a small
   exponent.  */
#define FRESH_COUNTS_MS 250.0
#define MAX_WEIGHT_EXPONENT 64.0
#define MIN_WEIGHT_EXPONENT 1.0
/* Lower bound of the free share in the weight, for paths that are nearly full
   or have penalties.  */
#define MIN_FREE_SHARE 0.02

/* The weight of a path for a stream that has started falls with this power of
   the time until its prompt would be prefilled.  */
#define PREFILL_EXPONENT 2.0
#define PREFILL_UNIT_MS 10.0

/* Share of its answer that a request holds on the average over its life: half,
   and a little more since answers are often longer than estimated.  */
#define MEAN_ANSWER_SHARE 0.6

/* The penalty of CHOICE, given the least step_ms of all choices.  */
static double
choice_slow_penalty (const mq_domain_choice *choice, double min_step_ms)
{
  double ratio = min_step_ms > 0 ? choice->step_ms / min_step_ms : 1;

  return ratio < MIN_SLOW_RATIO
             ? 0
             : MIN ((ratio - 1) * SLOW_PENALTY, MAX_SLOW_PENALTY);
}

/* The least step_ms of the N CHOICES.  */
static double
choices_min_step_ms (const mq_domain_choice *choices, size_t n)
{
  double min_step_ms = 0;

  for (size_t i = 0; i < n; i++)
    if (min_step_ms == 0 || choices[i].step_ms < min_step_ms)
      min_step_ms = choices[i].step_ms;
  return min_step_ms;
}

/* The tokens of CHOICE that may be in use with REQUEST.  A stream that has
   started is not limited further: it would be lost.  */
static double
choice_usable (const mq_domain_choice *choice,
               const mq_domain_request *request)
{
  double share = memory_share[request->rank];

  if (request->rank != MQ_DOMAIN_STARTED && request->memory_limit > 0)
    share = MIN (share, request->memory_limit);
  return choice->capacity * share;
}

static bool
choice_exceeds_prefill_limit (const mq_domain_choice *choice,
                              const mq_domain_request *request)
{
  return request->target_ms > 0
         && choice->prefill_queue_ms
                > request->target_ms * max_prefill_share[request->rank];
}

/* The exponent of the weights for counts of AGE_MS.  It falls with the third
   power of the age, from that of fresh counts to that of stale ones.  */
static double
weight_exponent (double age_ms)
{
  double ratio = FRESH_COUNTS_MS / MAX (age_ms, FRESH_COUNTS_MS);

  return MAX (MAX_WEIGHT_EXPONENT * ratio * ratio * ratio,
              MIN_WEIGHT_EXPONENT);
}

/* The time until CHOICE would have prefilled the request's prompt.  */
static double
choice_prefilled_ms (const mq_domain_choice *choice)
{
  return choice->prefill_queue_ms + choice->prefill_ms;
}

/* The factor on the weight of CHOICE for a stream that has started.  Its
   prompt must be prefilled again while the client waits for the next event,
   and a path that fails sends many such streams to the others at once.  */
static double
choice_prefill_factor (const mq_domain_choice *choice)
{
  double ms = choice_prefilled_ms (choice);

  return ms > 0 ? pow (PREFILL_UNIT_MS / ms, PREFILL_EXPONENT) : 1;
}

/* The weight of CHOICE for REQUEST, given the least step_ms of all choices. */
static double
choice_weight (const mq_domain_choice *choice,
               const mq_domain_request *request, double min_step_ms)
{
  double usable = choice->capacity * memory_share[request->rank];
  double free = 1 - (choice->used + request->need) / usable;

  free += (choice->local ? LOCAL_BONUS : 0)
          - (choice->tried ? TRIED_PENALTY : 0)
          - choice_slow_penalty (choice, min_step_ms);
  if (request->rank == MQ_DOMAIN_STARTED)
    return choice->capacity * MAX (free, MIN_FREE_SHARE)
           * choice_prefill_factor (choice);
  return choice->capacity
         * pow (MAX (free, MIN_FREE_SHARE), weight_exponent (request->age_ms));
}

int
mq_domain_choose (const mq_domain_choice *choices, size_t n,
                  const mq_domain_request *request)
{
  int chosen = MQ_DOMAIN_NO_MEMORY;
  double min_step_ms = choices_min_step_ms (choices, n);
  double sum = 0;
  uint64_t random = request->random;

  for (size_t i = 0; i < n; i++)
    {
      double weight;

      if (choices[i].used + request->need
          > choice_usable (&choices[i], request))
        continue;
      if (choice_exceeds_prefill_limit (&choices[i], request))
        {
          if (chosen < 0)
            chosen = MQ_DOMAIN_PREFILL_BACKLOG;
          continue;
        }
      weight = choice_weight (&choices[i], request, min_step_ms);
      sum += weight;
      /* Reservoir sampling: each choice so far is kept with a probability in
         proportion to its weight.  */
      random = mq_hash_mix (random, i);
      if (chosen < 0 || (double)(random >> 11) * sum < weight * 0x1p53)
        chosen = (int)i;
    }
  return chosen;
}

double
mq_domain_memory_share (mq_domain_rank rank)
{
  return memory_share[rank];
}

unsigned
mq_domain_retry_after_ms (uint64_t left_ms, uint64_t random)
{
  double even = (double)(random >> 11) / (double)(UINT64_MAX >> 11);
  double ms
      = (double)left_ms * RETRY_SHARE_OF_LEFT * (1 - RETRY_SPREAD * even);

  return (unsigned)MAX (ms, MIN_RETRY_AFTER_MS);
}

double
mq_domain_expected_tokens (unsigned prompt, unsigned max_answer,
                           unsigned estimate, unsigned mean_answer)
{
  unsigned answer = estimate > 0 ? estimate : mean_answer;

  if (max_answer > 0)
    answer = answer == 0 ? max_answer : MIN (answer, max_answer);
  return (double)prompt + answer * MEAN_ANSWER_SHARE;
}
