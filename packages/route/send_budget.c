/* The retry budget of one service: see mq/send_budget.h.

   Time is divided into slices.  Retries are counted over one slice more than
   the window, so that no window of that length holds more than was counted.
   Requests are counted over the same span, although one slice less would be
   the strict bound; the margin of MAX_BUDGET_SHARE covers that.  */

#include <mq/send_budget.h>

#include <math.h>
#include <string.h>

/* Share of the fleet's budget that routers allot themselves.  The margin
   covers that the slices of different routers start at different times.  */
#define MAX_BUDGET_SHARE 0.75
/* Share of the fleet's budget up to which a router may exceed its own share.
 */
#define MAX_EXCESS_SHARE 0.5
/* Up to this many routers may each use all unused budget at a time: their
   counts are fresh, and a crashed engine interrupts streams of each only once.
   With more routers, counts are older and many routers retry at once, so each
   may use less, and together they stay within the bound.  */
#define MAX_FULL_BORROWERS 6.0
/* A new process knows few of the others and would take their shares for its
   own.  So it uses no slack for this share of the window, in which it receives
   gossip from all others.  */
#define LEARN_SHARE 0.2
/* How long a grant can be used: less than the slice that the lender counts
   beyond the window.  */
#define GRANT_LIFETIME_US ((uint64_t)200 * 1000)

static void
budget_advance (mq_send_budget *budget, uint64_t now_us)
{
  uint64_t slice = now_us / budget->slice_us;
  unsigned n = MQ_SEND_BUDGET_SLICES + 1;

  if (slice - budget->slice >= n)
    {
      memset (budget->requests, 0, sizeof budget->requests);
      memset (budget->retries, 0, sizeof budget->retries);
      budget->slice = slice;
      return;
    }
  while (budget->slice < slice)
    {
      budget->slice++;
      budget->requests[budget->slice % n] = 0;
      budget->retries[budget->slice % n] = 0;
    }
}

void
mq_send_budget_init (mq_send_budget *budget, double ratio, double slack,
                     uint64_t window_us, uint64_t now_us)
{
  memset (budget, 0, sizeof *budget);
  budget->slack_start_us = now_us;
  budget->ratio = ratio;
  budget->slack = slack;
  budget->slice_us = MAX (window_us / MQ_SEND_BUDGET_SLICES, 1);
}

mq_send_counts
mq_send_budget_count (mq_send_budget *budget, uint64_t now_us)
{
  mq_send_counts c = { 0, 0, 0 };

  budget_advance (budget, now_us);
  for (unsigned i = 0; i <= MQ_SEND_BUDGET_SLICES; i++)
    {
      c.requests += budget->requests[i];
      c.retries += budget->retries[i];
    }
  return c;
}

void
mq_send_budget_note_request (mq_send_budget *budget, unsigned routers,
                             uint64_t now_us)
{
  /* After a window without requests, they may come to many routers at once, of
     which this one then knows no more than a new process does.  */
  if (routers > 1 && mq_send_budget_count (budget, now_us).requests == 0)
    budget->slack_start_us = now_us;
  budget->requests[budget->slice % (MQ_SEND_BUDGET_SLICES + 1)]++;
}

/* Returns the share of its slack that a process of this age may use.  */
static double
budget_slack_share (const mq_send_budget *budget, uint64_t now_us)
{
  double grown = (double)(now_us - budget->slack_start_us)
                 / (double)(budget->slice_us * MQ_SEND_BUDGET_SLICES);

  return grown < LEARN_SHARE ? 0 : MIN (grown, 1);
}

/* Returns the share of the fleet's requests, and so of the slack, that a
   router with the counts OWN has.  Equal shares would leave slack unused at
   routers without requests.  */
static double
budget_traffic_share (mq_send_counts own, mq_send_counts others,
                      unsigned routers)
{
  double all = (double)own.requests + others.requests;

  return all > 0 ? own.requests / all : 1.0 / MAX (routers, 1);
}

/* Returns a router's own share of the fleet's budget, in retries.  What
   replaced processes sent is deducted from all shares.  */
static double
budget_own_allowance (const mq_send_budget *budget, mq_send_counts own,
                      mq_send_counts others, unsigned routers, uint64_t now_us)
{
  double share = budget_traffic_share (own, others, routers);

  return MAX_BUDGET_SHARE
             * (budget->ratio * own.requests
                + budget->slack * budget_slack_share (budget, now_us) * share)
         - others.replaced * share;
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
  double window_us = (double)budget->slice_us * MQ_SEND_BUDGET_SLICES;
  double passed = MIN ((double)(now_us - budget->others_us) / window_us, 1);

  budget->others_requests
      = MAX (others.requests, budget->others_requests * (1 - passed));
  budget->others_us = now_us;
  return budget->others_requests;
}

double
mq_send_budget_traffic_share (mq_send_budget *budget, unsigned routers,
                              mq_send_counts others, uint64_t now_us)
{
  mq_send_counts own = mq_send_budget_count (budget, now_us);

  others.requests
      = (unsigned)ceil (budget_others_requests (budget, others, now_us));
  if (budget_slack_share (budget, now_us) <= 0)
    return 0;
  return budget_traffic_share (own, others, routers);
}

bool
mq_send_budget_has_room (mq_send_budget *budget, unsigned routers,
                         mq_send_counts others, uint64_t now_us)
{
  mq_send_counts own = mq_send_budget_count (budget, now_us);
  double allowance
      = budget_own_allowance (budget, own, others, routers, now_us);
  double fleet = budget->ratio * (own.requests + others.requests)
                 + budget->slack * budget_slack_share (budget, now_us);
  double left = MAX_EXCESS_SHARE * fleet - others.retries;
  /* A router that has just started has few requests of its own, but streams
     that it took over.  */
  double share = MAX (budget_traffic_share (own, others, routers),
                      1.0 / MAX (routers, 1));
  double excess = MIN (MAX_FULL_BORROWERS * share, 1);

  return budget_granted (budget, now_us) > 0 || own.retries + 1 <= allowance
         || (own.retries + 1 <= left
             && own.retries + 1 <= allowance + left * excess * excess);
}

void
mq_send_budget_note_retry (mq_send_budget *budget, uint64_t now_us)
{
  if (budget_granted (budget, now_us) > 0)
    budget->granted--;
  budget_advance (budget, now_us);
  budget->retries[budget->slice % (MQ_SEND_BUDGET_SLICES + 1)]++;
}

unsigned
mq_send_budget_unused (const mq_send_budget *budget, mq_send_counts own,
                       unsigned routers, mq_send_counts others,
                       uint64_t now_us)
{
  double allowance
      = budget_own_allowance (budget, own, others, routers, now_us);

  return allowance > own.retries ? (unsigned)(allowance - own.retries) : 0;
}

unsigned
mq_send_budget_grant (mq_send_budget *budget, unsigned routers,
                      mq_send_counts others, unsigned wanted, uint64_t now_us)
{
  mq_send_counts own = mq_send_budget_count (budget, now_us);
  unsigned spare
      = mq_send_budget_unused (budget, own, routers, others, now_us);
  unsigned granted = MIN (wanted, (spare + 1) / 2);

  budget->retries[budget->slice % (MQ_SEND_BUDGET_SLICES + 1)] += granted;
  return granted;
}

void
mq_send_budget_add_grant (mq_send_budget *budget, unsigned sends,
                          uint64_t now_us)
{
  budget->granted = budget_granted (budget, now_us) + sends;
  budget->granted_until_us
      = now_us + MIN (GRANT_LIFETIME_US, budget->slice_us / 2);
}
