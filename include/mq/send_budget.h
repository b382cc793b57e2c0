/* The retry budget of one service.  A retry is each send of a request after
   its first.

   The whole fleet may send RATIO times the requests of a sliding window, plus
   a fixed SLACK.  Each router keeps to its own share: the ratio of its own
   requests, and of the slack a share that corresponds to its share of all
   requests, according to the counts that the others reported.

   An upstream that crashes interrupts the streams of some routers more than of
   others, so unused budget can be transferred.  A router whose budget is
   exhausted requests some from others.  These grant sends of their own share
   and count them as made.  The borrower counts them as well, so that they stay
   known if either process crashes or a message is lost.

   In addition, a router may exceed its own share while the fleet's sum, as
   last reported, is below half of the bound.  The other half covers what all
   send before they receive one another's counts, and the counts of routers
   that have restarted.

   The module is pure: times come in with the calls, in microseconds.  */

#ifndef MQ_SEND_BUDGET_H
#define MQ_SEND_BUDGET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/* Slices of time that a window is divided into.  */
#define MQ_SEND_BUDGET_SLICES 20

typedef struct mq_send_budget
{
  uint64_t slice_us;
  double ratio;
  double slack;
  uint64_t slack_start_us; /* From here the slack grows over one window.  */
  uint64_t slice;          /* Number of the present slice of time.  */
  unsigned requests[MQ_SEND_BUDGET_SLICES + 1]; /* By slice.  */
  unsigned retries[MQ_SEND_BUDGET_SLICES + 1];  /* By slice.  */
  double others_requests; /* Of the others, as far as counts are known ... */
  uint64_t others_us;     /* ... then.  */
  unsigned granted;       /* Sends granted by others and not used yet.  */
  uint64_t granted_until_us; /* These expire then.  */
} mq_send_budget;

/* NOW_US: when this process started.  What an earlier process on the same VM
   sent in the window is not known, so the slack grows from 0 over the first
   window.  */
void mq_send_budget_init (mq_send_budget *budget, double ratio, double slack,
                          uint64_t window_us, uint64_t now_us);

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
  unsigned replaced; /* Those retries that were sent by processes which have
                        since been replaced.  */
} mq_send_counts;

/* Returns this router's share of the requests that all routers had in the
   window, in [0, 1]; 0 while it may not know the others' yet.  ROUTERS and
   OTHERS are as in mq_send_budget_has_room.  */
double mq_send_budget_traffic_share (mq_send_budget *budget, unsigned routers,
                                     mq_send_counts others, uint64_t now_us);

/* Returns this router's own counts, to be reported to others.  */
mq_send_counts mq_send_budget_count (mq_send_budget *budget, uint64_t now_us);

/* Returns true if one more retry is within the budget.  ROUTERS had requests
   in the window; OTHERS is the sum of what all but this router last reported.
 */
bool mq_send_budget_has_room (mq_send_budget *budget, unsigned routers,
                              mq_send_counts others, uint64_t now_us);

/* One retry was sent.  */
void mq_send_budget_note_retry (mq_send_budget *budget, uint64_t now_us);

/* Returns how many sends of its own share a router with the counts OWN has
   left.  BUDGET, from which the ratio and the slack are taken, may be another
   router's.  ROUTERS and OTHERS are as above.  */
unsigned mq_send_budget_unused (const mq_send_budget *budget,
                                mq_send_counts own, unsigned routers,
                                mq_send_counts others, uint64_t now_us);

/* Grant up to WANTED sends of this router's own share to another router, and
   count them as made.  Returns how many were granted.  */
unsigned mq_send_budget_grant (mq_send_budget *budget, unsigned routers,
                               mq_send_counts others, unsigned wanted,
                               uint64_t now_us);

/* Another router granted SENDS.  They are used before this router's own share,
   although they count towards it.  They expire after a short time, since the
   lender counts them for one window from when it granted them.  */
void mq_send_budget_add_grant (mq_send_budget *budget, unsigned sends,
                               uint64_t now_us);

G_END_DECLS

#endif
