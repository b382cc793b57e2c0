/* Drain and shutdown.  After SIGTERM the router rejects new work, finishes
   requests in flight within their deadlines, and exits.  A second signal
   aborts the requests that are left; each gets a response with its actual
   outcome, not-run or unknown.

   Internal to this program.  */

#ifndef MQ_DRAIN_H
#define MQ_DRAIN_H

#include "router.h"

void mq_drain_init (mq_router *router);

/* Starts the drain.  WHY is logged and recorded in the audit trail.  Does
   nothing when a drain has begun already.  */
void mq_drain_begin (mq_router *router, const char *why);

/* Handles the entry's report that no request is in flight: during a drain,
   sends the queued responses and stops the loop.  */
void mq_drain_on_idle (mq_router *router);

/* Answers every request in flight with its outcome so far, and stops the loop
   once the responses are sent.  Sets the exit status to 1.  */
void mq_drain_abort (mq_router *router);

#endif
