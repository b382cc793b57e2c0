/* Checks whether a router reaches the upstreams over its own links: see
   mq/reach.h.  */

#ifndef MQ_INTERNAL_GATEWAY_REACH_H
#define MQ_INTERNAL_GATEWAY_REACH_H

#include <mq/internal/gateway.h>

G_BEGIN_DECLS

/* A connection to an upstream failed, or fell silent.  A check begins at once
   unless one began a moment ago.  */
void mq_gateway_reach_suspect (mq_gateway *gateway);
/* A request has received nothing for longer than usual, which under load is
   common.  Does nothing if a check began lately.  */
void mq_gateway_reach_note_silence (mq_gateway *gateway);
/* Begin a check if one is due.  */
void mq_gateway_reach_tick (mq_gateway *gateway, uint64_t now_us);
/* Cancel CHECK, which may be NULL, and free it.  */
void mq_reach_check_free (mq_reach_check *check);

G_END_DECLS

#endif
