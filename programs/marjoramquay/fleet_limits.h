/* Connects the limiter of organisations' rates (mq/limiter.h) with the entry
   and with the other routers, which exchange requests for shares of a limit
   and grants.

   Internal to this program.  */

#ifndef MQ_FLEET_LIMITS_H
#define MQ_FLEET_LIMITS_H

#include <mq/peer_message.h>

#include "router.h"

mq_fleet_limits *mq_fleet_limits_new (mq_router *router);
void mq_fleet_limits_free (mq_fleet_limits *limits);

void mq_fleet_limits_apply_config (mq_fleet_limits *limits, mq_config *config);

/* Carry out the entry's REQUEST_LIMIT and RELEASE_LIMIT actions.  */
void mq_fleet_limits_request (mq_fleet_limits *limits,
                              const mq_entry_action *action);
void mq_fleet_limits_release (mq_fleet_limits *limits,
                              const mq_entry_action *action);

/* Handles MESSAGE, a MQ_PEER_LIMIT_REQUEST or MQ_PEER_LIMIT_GRANT.  */
void mq_fleet_limits_on_message (mq_fleet_limits *limits,
                                 const mq_peer_message *message);
/* Passes the numbers of members that are alive and that may exist to the
   limiter.  */
void mq_fleet_limits_set_members (mq_fleet_limits *limits, uint32_t live,
                                  uint32_t known);
/* Frees the shares held by ROUTER, an incarnation that has left or died.  */
void mq_fleet_limits_remove_holder (mq_fleet_limits *limits, uint64_t router);

#endif
