/* The budget of further sends: see mq/send_budget.h.

   Time is cut into slices.  Sends are counted over one slice more than the
   window, so that any window of that length holds no more than was counted;
   requests over one slice less would be the strict match, which the margin on
   the ratio covers.  */

#include <mq/send_budget.h>

#include <string.h>

/* Part of the fleet's budget that is used, so that the counts of different
   routers, whose slices begin at different moments, stay below it.  */
#define MAX_BUDGET_SHARE 0.75
/* Part of it up to which what others leave is used as well.  */
#define MAX_LENT_SHARE 0.5
/* So many routers may each take all that is left at a time: their counts are
   fresh, and a stage that dies takes streams from each once.  With more,
   counts are older and many take at once: each may take so much less that
   together they stay within the bound.  */
#define MAX_FULL_BORROWERS 6.0
/* A process knows few of the others at first, and takes their parts for its
   own.  So it counts on no slack for this part of the window, in which updates
   of all others come.  */
#define LEARN_SHARE 0.2
/* How long a transfer can be used: less than the slice that the lender counts
   beyond the window.  */
#define GRANT_LIFETIME_US ((uint64_t)200 * 1000)

static void
budget_advance (mq_send_budget *budget, uint64_t now_us)
{
  uint64_t slice = now_us / budget->slice_us;
  unsigned n = MQ_SEND_BUDGET_SLICES + 1;

  if (slice - budget->slice >= n)
    {
      memset (budget->first, 0, sizeof budget->first);
      memset (budget->more, 0, sizeof budget->more);
      budget->slice = slice;
      return;
    }
  while (budget->slice < slice)
    {
      budget->slice++;
      budget->first[budget->slice % n] = 0;
      budget->more[budget->slice % n] = 0;
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
      c.first += budget->first[i];
      c.more += budget->more[i];
    }
  return c;
}

void
mq_send_budget_note_request (mq_send_budget *budget, unsigned routers,
                             uint64_t now_us)
{
  /* Requests that come after none for a window may come to many routers at
     once, of whom this one has heard as little as a new process has.  */
  if (routers > 1 && mq_send_budget_count (budget, now_us).first == 0)
    budget->slack_start_us = now_us;
  budget->first[budget->slice % (MQ_SEND_BUDGET_SLICES + 1)]++;
}

/* The part of the slack that a process of this age may use.  */
static double
budget_slack_share (const mq_send_budget *budget, uint64_t now_us)
{
  double grown = (double)(now_us - budget->slack_start_us)
                 / (double)(budget->slice_us * MQ_SEND_BUDGET_SLICES);

  return grown < LEARN_SHARE ? 0 : MIN (grown, 1);
}

/* This router's share of the fleet's requests, and so of the slack, which
   would lie idle at routers without requests if all had the same.  */
static double
budget_traffic_share (mq_send_counts own, mq_send_counts others,
                      unsigned routers)
{
  double all = (double)own.first + others.first;

  return all > 0 ? own.first / all : 1.0 / MAX (routers, 1);
}

/* Its part of the fleet's budget.  What processes sent that have ended is
   taken off all parts.  */
static double
budget_own_allowance (const mq_send_budget *budget, mq_send_counts own,
                      mq_send_counts others, unsigned routers, uint64_t now_us)
{
  double share = budget_traffic_share (own, others, routers);

  return MAX_BUDGET_SHARE
             * (budget->ratio * own.first
                + budget->slack * budget_slack_share (budget, now_us) * share)
         - others.gone * share;
}

/* What others handed over, and is left.  */
static unsigned
budget_granted (const mq_send_budget *budget, uint64_t now_us)
{
  return now_us < budget->granted_until_us ? budget->granted : 0;
}

bool
mq_send_budget_has_room (mq_send_budget *budget, unsigned routers,
                         mq_send_counts others, uint64_t now_us)
{
  mq_send_counts own = mq_send_budget_count (budget, now_us);
  double allowance
      = budget_own_allowance (budget, own, others, routers, now_us);
  double fleet = budget->ratio * (own.first + others.first)
                 + budget->slack * budget_slack_share (budget, now_us);
  double left = MAX_LENT_SHARE * fleet - others.more;
  /* One that has just started has few requests, and streams that were taken
     over.  */
  double share = MAX (budget_traffic_share (own, others, routers),
                      1.0 / MAX (routers, 1));
  double excess = MIN (MAX_FULL_BORROWERS * share, 1);

  return budget_granted (budget, now_us) > 0 || own.more + 1 <= allowance
         || (own.more + 1 <= left
             && own.more + 1 <= allowance + left * excess * excess);
}

void
mq_send_budget_note_retry (mq_send_budget *budget, uint64_t now_us)
{
  if (budget_granted (budget, now_us) > 0)
    budget->granted--;
  budget_advance (budget, now_us);
  budget->more[budget->slice % (MQ_SEND_BUDGET_SLICES + 1)]++;
}

unsigned
mq_send_budget_unused (const mq_send_budget *budget, mq_send_counts own,
                       unsigned routers, mq_send_counts others,
                       uint64_t now_us)
{
  double allowance
      = budget_own_allowance (budget, own, others, routers, now_us);

  return allowance > own.more ? (unsigned)(allowance - own.more) : 0;
}

unsigned
mq_send_budget_grant (mq_send_budget *budget, unsigned routers,
                      mq_send_counts others, unsigned wanted, uint64_t now_us)
{
  mq_send_counts own = mq_send_budget_count (budget, now_us);
  unsigned spare
      = mq_send_budget_unused (budget, own, routers, others, now_us);
  unsigned lent = MIN (wanted, (spare + 1) / 2);

  budget->more[budget->slice % (MQ_SEND_BUDGET_SLICES + 1)] += lent;
  return lent;
}

void
mq_send_budget_add_grant (mq_send_budget *budget, unsigned sends,
                          uint64_t now_us)
{
  budget->granted = budget_granted (budget, now_us) + sends;
  budget->granted_until_us
      = now_us + MIN (GRANT_LIFETIME_US, budget->slice_us / 2);
}
