/* Sends to upstreams through other routers, and tunnels for them: see
   mq/detour.h and mq/tunnel_server.h.  */

#ifndef MQ_INTERNAL_GATEWAY_DETOUR_H
#define MQ_INTERNAL_GATEWAY_DETOUR_H

#include <mq/internal/gateway.h>

G_BEGIN_DECLS

/* Start to open tunnels for other routers.  Returns 0, or -1 with ERROR set.
 */
int mq_gateway_tunnels_start (mq_gateway *gateway, GError **error);

/* Returns the detour that the next call to UPSTREAM is to go through, borrowed
   from the gateway, or NULL if that is to be direct: UPSTREAM's service is
   reached, or no other router opens tunnels.  */
mq_detour *mq_gateway_choose_detour (mq_gateway *gateway,
                                     const mq_upstream *upstream,
                                     uint64_t now_us);
/* Returns true if a direct call to UPSTREAM that fails says nothing about it,
   as its service is not reached but others reach it.  */
bool mq_gateway_has_detour (const mq_gateway *gateway,
                            const mq_upstream *upstream, uint64_t now_us);
/* Returns true if STATUS, a tunnel server's reply, says that the upstream
   could not be connected to, rather than that there is no tunnel.  */
bool mq_gateway_tunnel_blames_upstream (unsigned status);
/* A call through DETOUR failed with EVENT, its last.  Returns true if the
   upstream may be at fault, false if the detour is.  */
bool mq_gateway_note_detour_failure (mq_detour *detour,
                                     const mq_http_client_event *event);
/* Returns true if the router of DETOUR no longer opens tunnels to UPSTREAM. */
bool mq_gateway_detour_is_lost (const mq_gateway *gateway,
                                const mq_detour *detour,
                                const mq_upstream *upstream, uint64_t now_us);

G_END_DECLS

#endif
