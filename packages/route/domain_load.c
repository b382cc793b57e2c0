/* Load by path, and the choice of one: see mq/domain_load.h.

   The load that the limits answer is more requests than all memory holds, in a
   burst or for long (tests/test_overload.cc replays both).  Rejected clients
   retry once.  When they take the places of new requests, these are rejected
   and retry in turn: each place then serves a late request, and the overload
   outlives its cause.  So retries get a little less of the memory than new
   requests, and are told to come late, when the cause is likely to be over. */

#include <mq/domain_load.h>

#include <math.h>

/* Part of a path's memory that is given out, by rank.  The rest covers what
   other routers admitted since they last reported.  Streams that have begun
   may take all, since they would be lost.  */
static const double memory_share[] = {
  [MQ_DOMAIN_RETRY] = 0.89, [MQ_DOMAIN_NEW] = 0.92, [MQ_DOMAIN_STARTED] = 1.02
};

/* Part of the target latency of the first event that may pass before the
   request's own prefill begins, by rank.  When a chain is lost hundreds come
   at once; most are late already, and the others would be if they had to wait
   for all of these.  */
static const double max_prefill_share[] = {
  [MQ_DOMAIN_RETRY] = 0.5, [MQ_DOMAIN_NEW] = 0.6, [MQ_DOMAIN_STARTED] = 1.0
};

/* A path where a send of the same request failed comes after others that are
   fuller by this: an engine there may be failing unnoticed.  */
#define TRIED_PENALTY 0.4

/* How much fuller its own domain may be before a router sends elsewhere, since
   an answer to another domain takes longer and is priced.  */
#define LOCAL_BONUS 0.15

/* A path that is so many times slower than the fastest, since an engine of it
   is slow, comes later by so much for each time; still before a rejection.  */
#define MIN_SLOW_RATIO 1.8
#define SLOW_PENALTY 0.25
#define MAX_SLOW_PENALTY 1.0

/* Clients follow Retry-After up to a third of the time that they have; a
   little less, for the way there and back.  */
#define RETRY_SHARE_OF_LEFT 0.32
/* Over how much of that retries are spread.  */
#define RETRY_SPREAD 0.3
#define MIN_RETRY_AFTER_MS 100

/* The weight of a path in the draw is its room times a power of the part of
   it that is free.  With fresh counts the freest path is as good as certain;
   with stale ones all routers would take the same, so it is drawn by what is
   free.  */
#define FRESH_COUNTS_MS 250.0
#define MAX_WEIGHT_EXPONENT 64.0
#define MIN_WEIGHT_EXPONENT 1.0
/* A path that is all but full, or was tried or is slow, keeps this weight.  */
#define MIN_FREE_SHARE 0.02

/* The weight of a path for a stream that has begun falls with this power of
   the time until its prompt would be read.  */
#define PREFILL_EXPONENT 2.0
#define PREFILL_UNIT_MS 10.0

/* A request grows into its memory: on the average over its life it holds its
   prompt and half its answer.  A little more is counted, as answers are often
   longer than estimated.  */
#define MEAN_ANSWER_SHARE 0.6

/* How much later CHOICE comes since its path is slower than the BEST.  */
static double
choice_slow_penalty (const mq_domain_choice *choice, double best)
{
  double times = best > 0 ? choice->step_ms / best : 1;

  return times < MIN_SLOW_RATIO
             ? 0
             : MIN ((times - 1) * SLOW_PENALTY, MAX_SLOW_PENALTY);
}

/* The time of a token on the fastest of N CHOICES.  */
static double
choices_min_step_ms (const mq_domain_choice *choices, size_t n)
{
  double fastest = 0;

  for (size_t i = 0; i < n; i++)
    if (fastest == 0 || choices[i].step_ms < fastest)
      fastest = choices[i].step_ms;
  return fastest;
}

static bool
choice_exceeds_prefill_limit (const mq_domain_choice *choice,
                              const mq_domain_request *request)
{
  return request->target_ms > 0
         && choice->prefill_queue_ms
                > request->target_ms * max_prefill_share[request->rank];
}

/* The exponent for counts of AGE_MS: that of fresh ones falls with the third
   power of the age, to that of stale ones at a second.  */
static double
weight_exponent (double age_ms)
{
  double times = FRESH_COUNTS_MS / MAX (age_ms, FRESH_COUNTS_MS);

  return MAX (MAX_WEIGHT_EXPONENT * times * times * times,
              MIN_WEIGHT_EXPONENT);
}

/* When CHOICE would have read the request's prompt.  */
static double
choice_prefilled_ms (const mq_domain_choice *choice)
{
  return choice->prefill_queue_ms + choice->prefill_ms;
}

/* The factor by which CHOICE is preferred for a stream that has begun: its
   prompt is to be read again within one pause, and a path that is lost sends
   many such streams to the others at once.  */
static double
choice_prefill_factor (const mq_domain_choice *choice)
{
  double ms = choice_prefilled_ms (choice);

  return ms > 0 ? pow (PREFILL_UNIT_MS / ms, PREFILL_EXPONENT) : 1;
}

/* The weight of CHOICE for REQUEST; 0: it is out of the question.  FASTEST is
   the time of a token on the fastest.  */
static double
choice_weight (const mq_domain_choice *choice,
               const mq_domain_request *request, double fastest)
{
  double given = choice->room * memory_share[request->rank];
  double free = 1 - (choice->used + request->need) / given;

  free += (choice->local ? LOCAL_BONUS : 0)
          - (choice->tried ? TRIED_PENALTY : 0)
          - choice_slow_penalty (choice, fastest);
  if (request->rank == MQ_DOMAIN_STARTED)
    return choice->room * MAX (free, MIN_FREE_SHARE)
           * choice_prefill_factor (choice);
  return choice->room
         * pow (MAX (free, MIN_FREE_SHARE), weight_exponent (request->age_ms));
}

int
mq_domain_choose (const mq_domain_choice *choices, size_t n,
                  const mq_domain_request *request)
{
  int chosen = MQ_DOMAIN_NO_MEMORY;
  double fastest = choices_min_step_ms (choices, n);
  double sum = 0;
  uint64_t random = request->random;

  for (size_t i = 0; i < n; i++)
    {
      double weight;

      if (choices[i].used + request->need
          > choices[i].room * memory_share[request->rank])
        continue;
      if (choice_exceeds_prefill_limit (&choices[i], request))
        {
          if (chosen < 0)
            chosen = MQ_DOMAIN_PREFILL_BACKLOG;
          continue;
        }
      weight = choice_weight (&choices[i], request, fastest);
      sum += weight;
      /* Each so far stays with its part of the sum.  */
      random = mq_hash_mix (random, i);
      if (chosen < 0 || (double)(random >> 11) * sum < weight * 0x1p53)
        chosen = (int)i;
    }
  return chosen;
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
mq_domain_expected_tokens (unsigned prompt, unsigned most, unsigned estimate,
                           unsigned usual)
{
  unsigned answer = estimate > 0 ? estimate : usual;

  if (most > 0)
    answer = answer == 0 ? most : MIN (answer, most);
  return (double)prompt + answer * MEAN_ANSWER_SHARE;
}
