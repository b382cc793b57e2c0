/* Load by way to serve, and the choice of one: see mq/domain_load.h.

   The load that the limits answer is more requests than all memory holds, as
   a burst or for long (tests/test_overload.cc replays both).  Refused clients
   come back once.  When they take the places of new requests, these are
   refused and come back in turn: each place then serves a late request, and
   the overload outlives its cause.  So those who return get a little less of
   the memory than new ones, and are told to come back late, when the cause is
   likely to be over.  */

#include <mq/domain_load.h>

#include <math.h>

/* Part of a domain's memory that is given out, by rank.  The rest covers what
   other routers admitted since their last heartbeat (0.25 s, at 72 requests a
   second some 17,000 tokens over three domains).  Returns stay 3 in 100 below
   new requests, which costs them nothing once there is room; streams that
   have begun may take all, since they would be lost.  */
static const double share_given[] = {
  [MQ_DOMAIN_RETURNED] = 0.89, [MQ_DOMAIN_NEW] = 0.92, [MQ_DOMAIN_BEGUN] = 1.02
};

/* Part of the aim for the first event that may go to prompts which are read
   before its own, by rank.  After all routers were killed, or when a chain is
   lost, hundreds come at once; most are late already, and those that are not
   would be if they had to wait for all of these.  First events that came after
   0.5 s: 1,980 to 1,248 of 94,000 requests, with 7 routers.  */
static const double reading_most[] = {
  [MQ_DOMAIN_RETURNED] = 0.5, [MQ_DOMAIN_NEW] = 0.6, [MQ_DOMAIN_BEGUN] = 1.0
};

/* A domain where a send of the same request failed comes after others that
   are fuller by this: an engine there may be failing unnoticed.  */
#define TRIED_LAG 0.4

/* How much fuller its own domain may be before a router sends elsewhere: an
   answer to another domain costs about a hundredth of its credit.  */
#define LOCAL_LEAD 0.15

/* A path that is so many times slower than the fastest, since an engine of it
   is slow, comes later by so much for each time; still before a refusal.  */
#define SLOW_FROM 1.8
#define SLOW_LAG 0.25
#define SLOW_LAG_MOST 1.0

/* Clients follow what they are told up to a third of the time that they have;
   a little less, for the way there and back.  */
#define RETURN_OF_LEFT 0.32
/* Over how much of that the returns are spread.  */
#define RETURN_SPREAD 0.3
#define RETURN_LEAST_MS 100

/* A way is drawn with a weight: its room times a power of the part of it that
   is free.  Counts of 7 routers are 0.25 s old, and the freest way is as good
   as certain.  90 routers hear each other every 1.25 s: when all take the way
   that seemed freest, 300 requests a second go to the same one until the next
   news.  What was in flight on a way then swung between 0.2 and 1.1 of its
   memory (two chains, each second of a calm day), and engines refused 1,080 of
   10,000 requests; drawn by what is free, none.  */
#define FRESH_MS 250.0
#define FREE_POWER_FRESH 64.0
#define FREE_POWER_STALE 1.0
/* One that is all but full, or was tried or is slow, keeps this weight.  */
#define FREE_LEAST 0.02

/* The weight of a path for a stream that has begun falls with this power of
   the time until its prompt would be read.  */
#define PREFILL_POWER 2.0
#define PREFILL_UNIT_MS 10.0

/* A request grows into its memory: on the average over its life it holds its
   prompt and half its answer.  A little more is counted, as answers are often
   longer than estimated.  */
#define ANSWER_HELD 0.6

/* How much later CHOICE comes since its path is slower than the BEST.  */
static double
domain_slow_lag (const mq_domain_choice *choice, double best)
{
  double times = best > 0 ? choice->step_ms / best : 1;

  return times < SLOW_FROM ? 0 : MIN ((times - 1) * SLOW_LAG, SLOW_LAG_MOST);
}

/* The time of a token on the fastest of N CHOICES.  */
static double
choices_fastest (const mq_domain_choice *choices, size_t n)
{
  double fastest = 0;

  for (size_t i = 0; i < n; i++)
    if (fastest == 0 || choices[i].step_ms < fastest)
      fastest = choices[i].step_ms;
  return fastest;
}

static bool
choice_reads_too_much (const mq_domain_choice *choice,
                       const mq_domain_request *request)
{
  return request->target_ms > 0
         && choice->reading_ms
                > request->target_ms * reading_most[request->rank];
}

/* The power that belongs to counts of AGE_MS: that of fresh ones falls with
   the third power of the age, to that of stale ones at a second.  */
static double
free_power (double age_ms)
{
  double times = FRESH_MS / MAX (age_ms, FRESH_MS);

  return MAX (FREE_POWER_FRESH * times * times * times, FREE_POWER_STALE);
}

/* When CHOICE would have read the request's prompt.  */
static double
choice_prefilled_ms (const mq_domain_choice *choice)
{
  return choice->reading_ms + choice->prefill_ms;
}

/* The factor by which CHOICE is preferred for a stream that has begun: its
   prompt is to be read again within one pause, and a path that is lost sends
   many such streams to the others at once.  */
static double
choice_prefill_factor (const mq_domain_choice *choice)
{
  double ms = choice_prefilled_ms (choice);

  return ms > 0 ? pow (PREFILL_UNIT_MS / ms, PREFILL_POWER) : 1;
}

/* How much CHOICE is wanted for REQUEST; 0: not at all.  FASTEST is the time
   of a token on the fastest.  */
static double
choice_weight (const mq_domain_choice *choice,
               const mq_domain_request *request, double fastest)
{
  double given = choice->room * share_given[request->rank];
  double free = 1 - (choice->used + request->need) / given;

  free += (choice->local ? LOCAL_LEAD : 0) - (choice->tried ? TRIED_LAG : 0)
          - domain_slow_lag (choice, fastest);
  if (request->rank == MQ_DOMAIN_BEGUN)
    return choice->room * MAX (free, FREE_LEAST)
           * choice_prefill_factor (choice);
  return choice->room
         * pow (MAX (free, FREE_LEAST), free_power (request->age_ms));
}

int
mq_domain_choose (const mq_domain_choice *choices, size_t n,
                  const mq_domain_request *request)
{
  int chosen = MQ_DOMAIN_NO_ROOM;
  double fastest = choices_fastest (choices, n);
  double sum = 0;
  uint64_t draw = request->draw;

  for (size_t i = 0; i < n; i++)
    {
      double weight;

      if (choices[i].used + request->need
          > choices[i].room * share_given[request->rank])
        continue;
      if (choice_reads_too_much (&choices[i], request))
        {
          if (chosen < 0)
            chosen = MQ_DOMAIN_READING;
          continue;
        }
      weight = choice_weight (&choices[i], request, fastest);
      sum += weight;
      /* Each so far stays with its part of the sum.  */
      draw = mq_hash_mix (draw, i);
      if (chosen < 0 || (double)(draw >> 11) * sum < weight * 0x1p53)
        chosen = (int)i;
    }
  return chosen;
}

unsigned
mq_domain_return_ms (uint64_t left_ms, uint64_t draw)
{
  double even = (double)(draw >> 11) / (double)(UINT64_MAX >> 11);
  double ms = (double)left_ms * RETURN_OF_LEFT * (1 - RETURN_SPREAD * even);

  return (unsigned)MAX (ms, RETURN_LEAST_MS);
}

double
mq_domain_need (unsigned prompt, unsigned most, unsigned estimate,
                unsigned usual)
{
  unsigned answer = estimate > 0 ? estimate : usual;

  if (most > 0)
    answer = answer == 0 ? most : MIN (answer, most);
  return (double)prompt + answer * ANSWER_HELD;
}
