/* Checks whether a router reaches the upstreams of a service over its own
   links: see mq/reach.h.  */

#ifndef MQ_INTERNAL_GATEWAY_REACH_H
#define MQ_INTERNAL_GATEWAY_REACH_H

#include <mq/internal/gateway.h>

G_BEGIN_DECLS

/* A connection to UPSTREAM failed.  A check of its service begins at once
   unless one began a moment ago.  */
void mq_gateway_reach_suspect (mq_gateway *gateway,
                               const mq_upstream *upstream);
/* A request has received nothing from UPSTREAM for longer than usual, which is
   common under load.  Does nothing if a check began lately.  */
void mq_gateway_reach_note_silence (mq_gateway *gateway,
                                    const mq_upstream *upstream);
/* Begin the checks that are due.  */
void mq_gateway_reach_tick (mq_gateway *gateway, uint64_t now_us);
/* Cancel CHECK, which may be NULL, and free it.  */
void mq_reach_check_free (mq_reach_check *check);

/* Returns true if this router does not reach the service of UPSTREAM itself.
 */
bool mq_gateway_is_isolated (const mq_gateway *gateway,
                             const mq_upstream *upstream);
/* Returns true if a failure of a connection to UPSTREAM at AT_US is known not
   to be due to this router's links, so that it holds for other routers too. */
bool mq_gateway_reach_confirms (const mq_gateway *gateway,
                                const mq_upstream *upstream, uint64_t at_us);
/* Returns true while it is not known whether this router reaches the service
   of UPSTREAM.  */
bool mq_gateway_reach_is_in_doubt (const mq_gateway *gateway,
                                   const mq_upstream *upstream);

G_END_DECLS

#endif
