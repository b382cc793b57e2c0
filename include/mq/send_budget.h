/* The retry budget of one service.  A retry is each send of a request after
   its first.

   The whole fleet may send RATIO times the requests of a sliding window, plus
   a fixed SLACK.  Each router keeps to its own share: the ratio of its own
   requests, and of the slack a share that corresponds to its share of all
   requests, according to the counts that the others reported.

   An upstream that crashes interrupts the streams of some routers more than of
   others, so unused budget can be transferred.  A router whose budget is
   exhausted requests some from others.  These grant sends of their own share
   and count them as made.  The borrower reports them as well, so that they
   stay known if either process crashes or a message is lost.

   When counts of many requests disappear at once, the routers that had them
   may be cut off and still send.  Their share stays reserved for one window,
   in which those that see less than half of the fleet give up their slack.

   Shares follow the requests of the last window, but what was sent stays in
   the window until it has passed.  A router whose share falls below what it
   has sent (its overdraft) reports the difference, which the others deduct
   from their shares.  Counts are late by some time; a part of the bound that
   corresponds to this time stays unused.  Of a process that has run for less
   than a window nobody may know what its VM sent before, so its share is
   smaller.

   The module is pure: times come in with the calls, in microseconds.  */

#ifndef MQ_SEND_BUDGET_H
#define MQ_SEND_BUDGET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/* Slices of time that a window is divided into.  */
#define MQ_SEND_BUDGET_SLICES 100
/* Slices that are kept: those of a window that ended up to 2 s ago, for a
   window of 10 s.  */
#define MQ_SEND_BUDGET_KEPT_SLICES 120

typedef struct mq_send_budget
{
  uint64_t slice_us;
  double ratio;
  double slack;
  double rounding;         /* In [0, 1): see mq_send_budget_set_rounding.  */
  uint64_t started_us;     /* When the process started.  */
  uint64_t slack_start_us; /* From here the slack grows over one window.  */
  uint64_t counts_age_us;  /* Age that the others' counts may reach.  */
  uint64_t slice;          /* Number of the present slice of time.  */
  unsigned requests[MQ_SEND_BUDGET_KEPT_SLICES]; /* By slice.  */
  unsigned retries[MQ_SEND_BUDGET_KEPT_SLICES];  /* By slice.  */
  unsigned borrowed[MQ_SEND_BUDGET_KEPT_SLICES]; /* Retries that their lenders
                                                    count, too.  */
  double others_requests; /* Of the others, as far as counts are known ... */
  uint64_t others_us;     /* ... then.  */
  unsigned last_requests; /* Of the others, as last reported.  */
  unsigned lost_requests; /* The same before many counts were lost at once; 0:
                             none were ...  */
  uint64_t lost_us;       /* ... then.  */
  double overdraft;       /* Sends beyond the share, as of the last call.  */
  unsigned granted;       /* Sends granted by others and not used yet.  */
  uint64_t granted_until_us; /* These expire then.  */
} mq_send_budget;

/* NOW_US: when this process started.  What an earlier process on the same VM
   sent in the window is not known, so the slack grows from 0 over the first
   window.  */
void mq_send_budget_init (mq_send_budget *budget, double ratio, double slack,
                          uint64_t window_us, uint64_t now_us);

/* Shares are rounded down to whole sends after ROUNDING, in [0, 1), was added.
   If the values of the routers are spread evenly, the sum of their rounded
   shares remains near the sum of their shares.  0 after init.  */
void mq_send_budget_set_rounding (mq_send_budget *budget, double rounding);

/* The counts of others that are passed in may be AGE_US old.  With
   MQ_SEND_BUDGET_AGE_UNKNOWN the router uses no slack.  */
#define MQ_SEND_BUDGET_AGE_UNKNOWN UINT64_MAX
void mq_send_budget_set_counts_age (mq_send_budget *budget, uint64_t age_us);

/* A request for the service came, and ROUTERS had requests in the window.  If
   it is the first in a window, the slack grows from 0 again, unless this is
   the only router.  */
void mq_send_budget_note_request (mq_send_budget *budget, unsigned routers,
                                  uint64_t now_us);

/* Counts over the last window.  */
typedef struct mq_send_counts
{
  unsigned requests;
  unsigned retries;
  unsigned replaced; /* Those retries that no share covers any more: sent by
                        processes which have since been replaced, or before
                        the sender's share fell.  The others deduct them from
                        their shares.  */
} mq_send_counts;

/* Returns this router's share of the requests that all routers had in the
   window, in [0, 1]; 0 while it may not know the others' yet.  ROUTERS and
   OTHERS are as in mq_send_budget_has_room.  */
double mq_send_budget_traffic_share (mq_send_budget *budget, unsigned routers,
                                     mq_send_counts others, uint64_t now_us);

/* Returns this router's own counts, to be reported to others.  */
mq_send_counts mq_send_budget_count (mq_send_budget *budget, uint64_t now_us);

/* Compare this router's sends with its share again, for the next report.  To
   be called several times a second.  ROUTERS and OTHERS are as in
   mq_send_budget_has_room.  */
void mq_send_budget_update (mq_send_budget *budget, unsigned routers,
                            mq_send_counts others, uint64_t now_us);

/* Returns true if one more retry is within the budget.  ROUTERS had requests
   in the window; OTHERS is the sum of what all but this router last reported.
 */
bool mq_send_budget_has_room (mq_send_budget *budget, unsigned routers,
                              mq_send_counts others, uint64_t now_us);

/* One retry was sent.  */
void mq_send_budget_note_retry (mq_send_budget *budget, uint64_t now_us);

/* Returns an estimate of how many sends of its own share a router with the
   reported counts OWN has left, if it has run for a window.  BUDGET, from
   which the ratio and the slack are taken, may be another router's.  ROUTERS
   and OTHERS are as above.  */
unsigned mq_send_budget_unused (const mq_send_budget *budget,
                                mq_send_counts own, unsigned routers,
                                mq_send_counts others);

/* Grant up to WANTED sends of this router's own share to another router, and
   count them as made.  Returns how many were granted.  */
unsigned mq_send_budget_grant (mq_send_budget *budget, unsigned routers,
                               mq_send_counts others, unsigned wanted,
                               uint64_t now_us);

/* Another router granted SENDS.  They are used before this router's own share,
   to which they do not count.  They expire after a short time, since the
   lender counts them for one window from when it granted them.  */
void mq_send_budget_add_grant (mq_send_budget *budget, unsigned sends,
                               uint64_t now_us);

G_END_DECLS

#endif
