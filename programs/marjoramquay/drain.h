/* Leaving: on SIGTERM the router takes no new work, finishes what is in
   flight within its deadlines, and ends.  A second signal ends it at once,
   with truthful outcomes for what it cuts.  Internal to this program.  */

#ifndef MQ_DRAIN_H
#define MQ_DRAIN_H

#include "router.h"

void mq_drain_init (mq_router *router);

/* Take no new work from now on.  WHY is for the log.  Harmless when said
   twice.  */
void mq_drain_begin (mq_router *router, const char *why);

/* The entry has nothing in flight any more: send what is queued and end the
   loop.  */
void mq_drain_on_idle (mq_router *router);

/* Answer every request in flight with what is known of it, and end the loop
   as soon as that is sent.  */
void mq_drain_abort (mq_router *router);

#endif
