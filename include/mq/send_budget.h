/* The budget of sends beyond the first of each request, for one service.

   The whole fleet may send RATIO times the requests of a sliding window, plus
   a fixed SLACK.  Each router keeps to its part: the ratio of its own
   requests, and of the slack its share of all requests, as others' counts
   tell.

   A stage that dies hits the streams of some routers more than of others, so
   what is left unused is lent.  A router that runs short asks others, who hand
   over sends of their parts and count them as made.  The borrower counts them
   too: so they are known of whichever of the two ends, and whatever is lost on
   the way.

   Besides, beyond its part a router may send while the fleet's sum, as its
   peers last told, is below half of the bound.  The other half covers what all
   send before they hear of one another, and the counts of routers that started
   anew.  */

#ifndef MQ_SEND_BUDGET_H
#define MQ_SEND_BUDGET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

#define MQ_SEND_BUDGET_SLICES 20

typedef struct mq_send_budget
{
  uint64_t slice_us;
  double ratio;
  double slack;
  uint64_t slack_start_us;
  uint64_t slice; /* Number of the present slice of time.  */
  unsigned first[MQ_SEND_BUDGET_SLICES + 1]; /* Requests.  */
  unsigned more[MQ_SEND_BUDGET_SLICES + 1];  /* Sends beyond the first.  */
  unsigned granted;          /* Sends that others handed over, left ...  */
  uint64_t granted_until_us; /* ... and usable up to then.  */
} mq_send_budget;

/* NOW_US: when this process began.  What an earlier process of the same VM
   sent in the window is not known, so the slack grows over the first one.  */
void mq_send_budget_init (mq_send_budget *budget, double ratio, double slack,
                          uint64_t window_us, uint64_t now_us);

/* A request for the service came to one of ROUTERS.  After a window without
   any the slack grows anew, unless there is no other.  */
void mq_send_budget_note_request (mq_send_budget *budget, unsigned routers,
                                  uint64_t now_us);

/* Counts over the last window.  */
typedef struct mq_send_counts
{
  unsigned first; /* Requests.  */
  unsigned more;  /* Sends beyond the first.  */
  unsigned gone;  /* Of these, by processes that have ended.  */
} mq_send_counts;

/* This router's, to be told to peers.  */
mq_send_counts mq_send_budget_count (mq_send_budget *budget, uint64_t now_us);

/* Is there room for one more send, among ROUTERS that had requests?  OTHERS:
   the sum of what the others told last.  */
bool mq_send_budget_has_room (mq_send_budget *budget, unsigned routers,
                              mq_send_counts others, uint64_t now_us);

/* One more send was made.  */
void mq_send_budget_note_retry (mq_send_budget *budget, uint64_t now_us);

/* How many of its part a router with the counts OWN has left, as BUDGET, which
   may be another router's, tells.  */
unsigned mq_send_budget_unused (const mq_send_budget *budget,
                                mq_send_counts own, unsigned routers,
                                mq_send_counts others, uint64_t now_us);

/* Hand over up to WANTED sends of this router's part; they count as made.
   Returns how many.  */
unsigned mq_send_budget_grant (mq_send_budget *budget, unsigned routers,
                               mq_send_counts others, unsigned wanted,
                               uint64_t now_us);

/* Another router handed over SENDS.  They go before this router's own part,
   though they are counted in it, and lapse after a moment, since the lender
   counts them for one window from when it lent them.  */
void mq_send_budget_add_grant (mq_send_budget *budget, unsigned sends,
                               uint64_t now_us);

G_END_DECLS

#endif
