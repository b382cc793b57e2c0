/* The limit of an upstream: see mq/upstream_limit.h.

   The schedule of a purpose is the time of its next send and, from that time
   on, one send in each interval.  A send may be made late by SEND_LIFETIME_US,
   then it expires.  So at most as many sends as belong to that time can be
   made at once, or one where the interval is longer.  */

#include <mq/upstream_limit.h>

#include <math.h>

#define US_PER_S 1e6

/* Share of the limit that each purpose gets.  The rest covers that routers'
   counts of one another's requests differ, so that their shares add up to
   more.  */
static const double purpose_share[MQ_SEND_PURPOSES]
    = { [MQ_SEND_FOR_REQUEST] = 0.8, [MQ_SEND_FOR_CONTROL] = 0.1 };

/* For how long a send may be made late.  */
#define SEND_LIFETIME_US ((uint64_t)750 * 1000)

/* That a limit has ended is reported to other routers for this long.  */
#define END_REPORT_US ((uint64_t)10000 * 1000)

/* A longer interval counts as this: no sends at all.  */
#define MAX_INTERVAL_US 1e12

bool
mq_upstream_limit_set (mq_upstream_limit *limit, double per_s, uint64_t at_us,
                       double phase)
{
  bool limited = limit->per_s > 0;

  if (at_us < limit->observed_us)
    return false;
  limit->observed_us = at_us;
  if (per_s <= 0 && limited)
    limit->ended_us = at_us;
  if (!limited)
    {
      limit->phase = phase;
      for (int i = 0; i < MQ_SEND_PURPOSES; i++)
        limit->next_us[i] = 0;
    }
  limit->per_s = per_s > 0 ? MAX (per_s, MQ_UPSTREAM_LIMIT_MIN_PER_S) : 0;
  return true;
}

bool
mq_upstream_limit_is_news (const mq_upstream_limit *limit, uint64_t now_us)
{
  return limit->per_s > 0
         || (limit->ended_us > 0 && now_us - limit->ended_us < END_REPORT_US);
}

/* The interval of this router's sends for PURPOSE.  Only one router makes
   those of MQ_SEND_FOR_CONTROL.  */
static double
limit_interval_us (const mq_upstream_limit *limit, mq_send_purpose purpose,
                   double share)
{
  double per_s = limit->per_s * purpose_share[purpose]
                 * (purpose == MQ_SEND_FOR_REQUEST ? share : 1);

  return per_s * MAX_INTERVAL_US > US_PER_S ? US_PER_S / per_s
                                            : MAX_INTERVAL_US;
}

/* Bring the schedule for PURPOSE up to date: drop the sends that have expired.
   Returns the interval.  */
static double
limit_advance (mq_upstream_limit *limit, mq_send_purpose purpose, double share,
               uint64_t now_us)
{
  double interval_us = limit_interval_us (limit, purpose, share);
  uint64_t *next = &limit->next_us[purpose];

  if (interval_us >= MAX_INTERVAL_US)
    return interval_us;
  if (*next == 0)
    *next = now_us + (uint64_t)(limit->phase * interval_us);
  /* The interval was longer when this send was scheduled.  */
  *next = MIN (*next, now_us + (uint64_t)interval_us);
  if (now_us > *next + SEND_LIFETIME_US)
    *next += (uint64_t)(ceil ((double)(now_us - SEND_LIFETIME_US - *next)
                              / interval_us)
                        * interval_us);
  return interval_us;
}

bool
mq_upstream_limit_allows (mq_upstream_limit *limit, mq_send_purpose purpose,
                          double share, uint64_t now_us)
{
  if (limit->per_s <= 0)
    return true;
  return limit_advance (limit, purpose, share, now_us) < MAX_INTERVAL_US
         && now_us >= limit->next_us[purpose];
}

void
mq_upstream_limit_note_send (mq_upstream_limit *limit, mq_send_purpose purpose,
                             double share, uint64_t now_us)
{
  if (limit->per_s <= 0)
    return;
  limit->next_us[purpose]
      += (uint64_t)limit_advance (limit, purpose, share, now_us);
}
