/* Organisation limits (mq/limiter.h): the entry's asks, and shares between
   routers.  Internal to this program.  */

#ifndef MQ_FLEET_LIMITS_H
#define MQ_FLEET_LIMITS_H

#include <mq/peer_message.h>

#include "router.h"

mq_fleet_limits *mq_fleet_limits_new (mq_router *router);
void mq_fleet_limits_free (mq_fleet_limits *limits);

void mq_fleet_limits_apply_config (mq_fleet_limits *limits, mq_config *config);

/* The entry's actions.  */
void mq_fleet_limits_request (mq_fleet_limits *limits,
                              const mq_entry_action *action);
void mq_fleet_limits_release (mq_fleet_limits *limits,
                              const mq_entry_action *action);

/* What the fleet tells.  */
void mq_fleet_limits_on_message (mq_fleet_limits *limits,
                                 const mq_peer_message *message);
void mq_fleet_limits_set_members (mq_fleet_limits *limits, uint32_t live,
                                  uint32_t known);
void mq_fleet_limits_remove_holder (mq_fleet_limits *limits, uint64_t router);

#endif
