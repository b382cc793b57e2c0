/* This router's part in the fleet: who the others are, and what is told to
   and by them.

   Owns the fleet on the loop (mq/fleet_io.h) and hands each message to the
   module whose matter it is: plans (fleet_plans.h), limits (fleet_limits.h),
   configuration (config_feed.h).  A router without peers in its settings has
   a node all the same, which owns everything.  Internal to this program.  */

#ifndef MQ_FLEET_NODE_H
#define MQ_FLEET_NODE_H

#include <mq/fleet_io.h>

#include "router.h"

/* NULL with ERROR set when the peers' address can't be bound or the keys
   can't be read.  */
mq_fleet_node *mq_fleet_node_new (mq_router *router, GError **error);
void mq_fleet_node_free (mq_fleet_node *node);

/* The fleet as this router sees it, borrowed; NULL without peers.  */
const mq_fleet *mq_fleet_node_fleet (const mq_fleet_node *node);
/* Borrowed; NULL without peers.  */
mq_fleet_io *mq_fleet_node_io (const mq_fleet_node *node);

/* Who owns the thing in our region: another router, borrowed until the
   fleet's next event, or NULL when it is this one.  */
const mq_member *mq_fleet_node_owner (const mq_fleet_node *node,
                                      mq_owned_kind kind, mq_span name);
/* May we decide as an owner?  */
bool mq_fleet_node_may_own (const mq_fleet_node *node);
/* Is this one of the few that read the platform for the region?  */
bool mq_fleet_node_reads_platform (const mq_fleet_node *node);

/* Send to the router of that incarnation.  Returns 0, or -1 when it is not
   known or can't be reached.  */
/* Send MESSAGE to MOST live members, each time to the next ones.  */
void mq_fleet_node_broadcast (mq_fleet_node *node, mq_peer_message *message,
                              unsigned most);
int mq_fleet_node_send (mq_fleet_node *node, uint64_t router,
                        mq_peer_message *message);

/* A generation is in force here.  */
void mq_fleet_node_announce_config (mq_fleet_node *node);
/* This router leaves: tell all.  */
void mq_fleet_node_leave (mq_fleet_node *node);
/* Read the keys again, for SIGHUP.  */
void mq_fleet_node_reload_keys (mq_fleet_node *node);
/* The platform's list of VMs.  */
void mq_fleet_node_set_listed_vms (mq_fleet_node *node,
                                   const mq_listed_vm *vms, size_t n);

/* Append what is known of the fleet to a JSON object, and to the metrics.  */
void mq_fleet_node_append_status (const mq_fleet_node *node, GString *out);
void mq_fleet_node_update_metrics (const mq_fleet_node *node);

#endif
