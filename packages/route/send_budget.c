/* The retry budget of one service: see mq/send_budget.h.

   Time is divided into slices.  Requests are counted over the slices of one
   window, the present one included, so over no more than a window.  Retries
   are counted over EXTRA_SLICES more: a grant may be used some time after it
   was charged, and a send arrives at its upstream some time after the
   decision, so two sends that were decided more than a window apart may arrive
   within one.  */

#include <mq/send_budget.h>

#include <math.h>
#include <string.h>

/* Share of the fleet's budget that routers allot themselves.  The rest covers
   the rounding of shares, bursts of requests that no window of the bound holds
   in full, and routers that are cut off in the window after a start.  */
#define MAX_BUDGET_SHARE 0.80
/* The same for a process that has run for less than a window, and for one that
   lost the counts of others: they may have restarted, and with them what is
   known of their sends.  When all start at once, nobody knows what was sent
   before; half of the bound is left for that.  */
#define YOUNG_BUDGET_SHARE 0.5
/* A new process knows few of the others and would take their shares for its
   own.  So it uses no slack for this share of the window, in which it receives
   gossip from all others.  */
#define LEARN_SHARE 0.2
/* Half a second, for a window of 10 s: GRANT_LIFETIME_US, and 300 ms for the
   way to the upstream, which includes the setup of a connection.  */
#define EXTRA_SLICES 5
/* How long a grant can be used.  */
#define GRANT_LIFETIME_US ((uint64_t)200 * 1000)
/* Age that others' counts reach in a fleet of up to five failure domains; in
   use until the caller states another one.  */
#define DEFAULT_COUNTS_AGE_US ((uint64_t)375 * 1000)
/* If others' counts fall by this share and what passes of the window from one
   report to the next, reports of some routers are lost.  The smallest fleet
   has seven routers; a burst of requests leaves the window over several
   reports.
 */
#define LOST_COUNTS_SHARE 0.1
/* After this many windows a router that sees less than half of the fleet takes
   the rest for gone for good.  Partitions of a platform's networks are
   shorter.
 */
#define LOST_COUNTS_WINDOWS 6
/* Reported overdrafts are this much larger than they are.  What is deducted
   from the share of a router without room saves nothing, so that with smaller
   factors large fleets exceed their bound.  */
#define OVERDRAFT_FACTOR 3
/* Share of the unused sends that is granted to one request.  The rest is kept
   for own streams, which may be lost some ms after those of others.  */
#define MAX_GRANT_SHARE 0.75

/* Returns the time since SINCE_US.  Callers take the time at different points
   of one event, so NOW_US may be a little before the time of an earlier call.
 */
static uint64_t
elapsed_us (uint64_t now_us, uint64_t since_us)
{
  return now_us > since_us ? now_us - since_us : 0;
}

static void
budget_advance (mq_send_budget *budget, uint64_t now_us)
{
  uint64_t slice = now_us / budget->slice_us;
  unsigned n = MQ_SEND_BUDGET_KEPT_SLICES;

  if (slice <= budget->slice)
    return;
  if (slice - budget->slice >= n)
    {
      memset (budget->requests, 0, sizeof budget->requests);
      memset (budget->retries, 0, sizeof budget->retries);
      memset (budget->borrowed, 0, sizeof budget->borrowed);
      budget->slice = slice;
      return;
    }
  while (budget->slice < slice)
    {
      budget->slice++;
      budget->requests[budget->slice % n] = 0;
      budget->retries[budget->slice % n] = 0;
      budget->borrowed[budget->slice % n] = 0;
    }
}

static unsigned
counts_sum (const unsigned *counts, unsigned n)
{
  unsigned sum = 0;

  for (unsigned i = 0; i < n; i++)
    sum += counts[i];
  return sum;
}

/* The sum of N of COUNTS, by slice, of which the last is LAG slices ago.  At
   most MQ_SEND_BUDGET_KEPT_SLICES in all.  */
static unsigned
budget_sum (const mq_send_budget *budget, const unsigned *counts, unsigned lag,
            unsigned n)
{
  unsigned kept = MQ_SEND_BUDGET_KEPT_SLICES;
  unsigned last = (unsigned)((budget->slice + kept - lag) % kept);
  unsigned recent = MIN (n, last + 1);

  return counts_sum (counts + last + 1 - recent, recent)
         + counts_sum (counts + kept - (n - recent), n - recent);
}

static uint64_t
budget_window_us (const mq_send_budget *budget)
{
  return budget->slice_us * MQ_SEND_BUDGET_SLICES;
}

void
mq_send_budget_init (mq_send_budget *budget, double ratio, double slack,
                     uint64_t window_us, uint64_t now_us)
{
  memset (budget, 0, sizeof *budget);
  budget->started_us = now_us;
  budget->slack_start_us = now_us;
  budget->counts_age_us = DEFAULT_COUNTS_AGE_US;
  budget->ratio = ratio;
  budget->slack = slack;
  budget->slice_us = MAX (window_us / MQ_SEND_BUDGET_SLICES, 1);
}

void
mq_send_budget_set_rounding (mq_send_budget *budget, double rounding)
{
  budget->rounding = rounding;
}

void
mq_send_budget_set_counts_age (mq_send_budget *budget, uint64_t age_us)
{
  budget->counts_age_us = age_us;
}

mq_send_counts
mq_send_budget_count (mq_send_budget *budget, uint64_t now_us)
{
  mq_send_counts c = { 0, 0, 0 };

  budget_advance (budget, now_us);
  c.requests = budget_sum (budget, budget->requests, 0, MQ_SEND_BUDGET_SLICES);
  c.retries = budget_sum (budget, budget->retries, 0,
                          MQ_SEND_BUDGET_SLICES + EXTRA_SLICES);
  c.replaced = (unsigned)ceil (OVERDRAFT_FACTOR * budget->overdraft);
  return c;
}

void
mq_send_budget_note_request (mq_send_budget *budget, unsigned routers,
                             uint64_t now_us)
{
  /* After a window without requests, they may come to many routers at once, of
     which this one then knows no more than a new process does.  */
  budget_advance (budget, now_us);
  if (routers > 1
      && budget_sum (budget, budget->requests, 0, MQ_SEND_BUDGET_SLICES) == 0)
    budget->slack_start_us = now_us;
  budget->requests[budget->slice % MQ_SEND_BUDGET_KEPT_SLICES]++;
}

/* Returns the share of its slack that a process of this age may use.  */
static double
budget_slack_share (const mq_send_budget *budget, uint64_t now_us)
{
  double grown = (double)elapsed_us (now_us, budget->slack_start_us)
                 / (double)budget_window_us (budget);

  if (grown < LEARN_SHARE
      || budget->counts_age_us == MQ_SEND_BUDGET_AGE_UNKNOWN)
    return 0;
  return MIN (grown, 1);
}

/* Returns the share of the budget that may be allotted.  */
static double
budget_max_share (const mq_send_budget *budget, uint64_t now_us)
{
  return elapsed_us (now_us, budget->started_us) < budget_window_us (budget)
                 || budget->lost_requests > 0
             ? YOUNG_BUDGET_SHARE
             : MAX_BUDGET_SHARE;
}

/* Returns the share of the fleet's requests, and so of the slack, that a
   router with OWN requests has.  Equal shares would leave slack unused at
   routers without requests.  */
static double
traffic_share (double own, double others, unsigned routers)
{
  return own + others > 0 ? own / (own + others) : 1.0 / MAX (routers, 1);
}

/* Returns a router's own share of the fleet's budget, in retries, before
   overdrafts are deducted.  SHARE: its share of the requests.  */
static double
budget_allowance (const mq_send_budget *budget, unsigned requests,
                  double share, uint64_t now_us)
{
  return budget_max_share (budget, now_us)
         * (budget->ratio * requests
            + budget->slack * budget_slack_share (budget, now_us) * share);
}

/* Returns what a router with the counts OWN has to deduct from its share: what
   no share covers, as far as reported; and in addition as many of the retries
   of all as can have lost their cover while the counts were under way.  Those
   were covered by requests, of which that part left the window.  */
static double
budget_deduction (const mq_send_budget *budget, mq_send_counts own,
                  mq_send_counts others, unsigned routers)
{
  double all = budget->ratio * ((double)own.requests + others.requests)
               + budget->slack;
  double unreported
      = MIN ((double)budget->counts_age_us / (double)budget_window_us (budget),
             1)
        * MIN ((double)own.retries + others.retries, all);

  return (others.replaced + unreported)
         * traffic_share (own.requests, others.requests, routers);
}

/* Returns how many granted sends are left.  */
static unsigned
budget_granted (const mq_send_budget *budget, uint64_t now_us)
{
  return now_us < budget->granted_until_us ? budget->granted : 0;
}

/* Returns the requests of other routers in the window.  When the relay that
   reported OTHERS is lost, they seem to have had none for a while.  But counts
   over a window can't fall faster than the window passes.  */
static double
budget_others_requests (mq_send_budget *budget, mq_send_counts others,
                        uint64_t now_us)
{
  double window_us = (double)budget_window_us (budget);
  double passed
      = MIN ((double)elapsed_us (now_us, budget->others_us) / window_us, 1);

  budget->others_requests
      = MAX (others.requests, budget->others_requests * (1 - passed));
  budget->others_us = now_us;
  return budget->others_requests;
}

/* Returns true while this router sees less than half of the requests that it
   saw before some were lost.  */
static bool
budget_is_in_minority (const mq_send_budget *budget)
{
  return 2 * budget->last_requests < budget->lost_requests;
}

/* Notice that counts of others were lost, or are there again.  PASSED_US:
   since the last call.  */
static void
budget_note_others (mq_send_budget *budget, mq_send_counts others,
                    uint64_t passed_us, uint64_t now_us)
{
  uint64_t window_us = budget_window_us (budget);
  double passed = MIN ((double)passed_us / (double)window_us, 1);
  uint64_t reserved_us;

  if (others.requests
      < budget->last_requests * (1 - LOST_COUNTS_SHARE - 2 * passed))
    {
      budget->lost_requests
          = MAX (budget->lost_requests, budget->last_requests);
      budget->lost_us = now_us;
    }
  budget->last_requests = others.requests;
  reserved_us
      = window_us * (budget_is_in_minority (budget) ? LOST_COUNTS_WINDOWS : 1);
  if (others.requests >= budget->lost_requests * (1 - LOST_COUNTS_SHARE)
      || elapsed_us (now_us, budget->lost_us) > reserved_us)
    budget->lost_requests = 0;
}

/* Returns this router's share of the requests.  Its own are taken from before
   those that the others may not know of yet, so that the shares of all add up
   to no more than 1 while requests move between routers.  */
static double
budget_own_share (mq_send_budget *budget, unsigned routers,
                  mq_send_counts others, uint64_t now_us)
{
  unsigned lag
      = (unsigned)MIN (budget->counts_age_us / budget->slice_us,
                       MQ_SEND_BUDGET_KEPT_SLICES - MQ_SEND_BUDGET_SLICES - 1)
        + 1;
  uint64_t passed_us = elapsed_us (now_us, budget->others_us);
  double known = budget_others_requests (budget, others, now_us);
  unsigned own
      = budget_sum (budget, budget->requests, 0, MQ_SEND_BUDGET_SLICES);
  unsigned before
      = budget_sum (budget, budget->requests, lag, MQ_SEND_BUDGET_SLICES);
  double share;

  budget_note_others (budget, others, passed_us, now_us);
  share = traffic_share (own, MAX (known, budget->lost_requests), routers);
  if (budget_is_in_minority (budget))
    share *= 1
             - MIN ((double)elapsed_us (now_us, budget->lost_us)
                        / (double)budget_window_us (budget),
                    1);
  return own > before ? share * before / own : share;
}

/* Returns what is left of this router's own share, in sends; negative if it
   has sent more.  */
static double
budget_left (mq_send_budget *budget, unsigned routers, mq_send_counts others,
             uint64_t now_us)
{
  mq_send_counts own = mq_send_budget_count (budget, now_us);
  unsigned borrowed = budget_sum (budget, budget->borrowed, 0,
                                  MQ_SEND_BUDGET_SLICES + EXTRA_SLICES);
  double allowance = budget_allowance (
      budget, own.requests, budget_own_share (budget, routers, others, now_us),
      now_us);
  double left = allowance + borrowed - own.retries;

  budget->overdraft = MAX (-left - budget->rounding, 0);
  return left + budget->rounding
         - budget_deduction (budget, own, others, routers);
}

double
mq_send_budget_traffic_share (mq_send_budget *budget, unsigned routers,
                              mq_send_counts others, uint64_t now_us)
{
  mq_send_counts own = mq_send_budget_count (budget, now_us);
  double known = budget_others_requests (budget, others, now_us);

  if (budget_slack_share (budget, now_us) <= 0)
    return 0;
  return traffic_share (own.requests, ceil (known), routers);
}

void
mq_send_budget_update (mq_send_budget *budget, unsigned routers,
                       mq_send_counts others, uint64_t now_us)
{
  (void)budget_left (budget, routers, others, now_us);
}

bool
mq_send_budget_has_room (mq_send_budget *budget, unsigned routers,
                         mq_send_counts others, uint64_t now_us)
{
  return budget_granted (budget, now_us) > 0
         || budget_left (budget, routers, others, now_us) >= 1;
}

void
mq_send_budget_note_retry (mq_send_budget *budget, uint64_t now_us)
{
  budget_advance (budget, now_us);
  if (budget_granted (budget, now_us) > 0)
    {
      budget->granted--;
      budget->borrowed[budget->slice % MQ_SEND_BUDGET_KEPT_SLICES]++;
    }
  budget->retries[budget->slice % MQ_SEND_BUDGET_KEPT_SLICES]++;
}

unsigned
mq_send_budget_unused (const mq_send_budget *budget, mq_send_counts own,
                       unsigned routers, mq_send_counts others)
{
  double share = traffic_share (own.requests, others.requests, routers);
  double left = MAX_BUDGET_SHARE
                    * (budget->ratio * own.requests + budget->slack * share)
                - budget_deduction (budget, own, others, routers)
                - own.retries;

  /* The router's own rounding is not known.  */
  return left > 0 ? (unsigned)(left + 0.5) : 0;
}

unsigned
mq_send_budget_grant (mq_send_budget *budget, unsigned routers,
                      mq_send_counts others, unsigned wanted, uint64_t now_us)
{
  double left = budget_left (budget, routers, others, now_us);
  unsigned spare = left > 0 ? (unsigned)left : 0;
  unsigned granted = MIN (wanted, (unsigned)ceil (spare * MAX_GRANT_SHARE));

  budget->retries[budget->slice % MQ_SEND_BUDGET_KEPT_SLICES] += granted;
  return granted;
}

void
mq_send_budget_add_grant (mq_send_budget *budget, unsigned sends,
                          uint64_t now_us)
{
  budget->granted = budget_granted (budget, now_us) + sends;
  budget->granted_until_us
      = now_us + MIN (GRANT_LIFETIME_US, budget->slice_us * 2);
}
