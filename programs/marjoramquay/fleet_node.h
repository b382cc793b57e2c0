/* This router as a node of the fleet: membership and messages between routers.

   The node owns the fleet's I/O (mq/fleet_io.h) and dispatches each message to
   its module: plans (fleet_plans.h), limits (fleet_limits.h), crash records
   (crash_tracker.h) or configuration (config_feed.h).  A router without peers
   in its settings has a node too, which owns all models and organisations.

   Internal to this program.  */

#ifndef MQ_FLEET_NODE_H
#define MQ_FLEET_NODE_H

#include <mq/fleet_io.h>

#include "router.h"

/* Returns a new node; or NULL with ERROR set when the peers' address can't be
   bound or the keys can't be read.  */
mq_fleet_node *mq_fleet_node_new (mq_router *router, GError **error);
void mq_fleet_node_free (mq_fleet_node *node);

/* Returns the fleet as this router sees it, borrowed; NULL without peers.  */
const mq_fleet *mq_fleet_node_fleet (const mq_fleet_node *node);
/* Returns the fleet's I/O, borrowed; NULL without peers.  */
mq_fleet_io *mq_fleet_node_io (const mq_fleet_node *node);

/* Returns the router of this region that owns the model or organisation NAME,
   borrowed until the fleet's next event; NULL when it is this router.  */
const mq_member *mq_fleet_node_owner (const mq_fleet_node *node,
                                      mq_owned_kind kind, mq_span name);
/* Returns true if this router may decide as an owner now.  */
bool mq_fleet_node_may_own (const mq_fleet_node *node);
/* Returns true if this router is one of the few that read the platform for the
   region.  */
bool mq_fleet_node_reads_platform (const mq_fleet_node *node);

/* Sends MESSAGE to at most MAX_MEMBERS live members, starting after the last
   one of the previous call.  */
void mq_fleet_node_broadcast (mq_fleet_node *node, mq_peer_message *message,
                              unsigned max_members);
/* Sends MESSAGE to the router with the incarnation ROUTER.  Returns 0, or -1
   when that is not known or can't be reached.  */
int mq_fleet_node_send (mq_fleet_node *node, uint64_t router,
                        mq_peer_message *message);

/* Announces the generation that has come into force here to the fleet.  */
void mq_fleet_node_announce_config (mq_fleet_node *node);
/* Announces to all members that this router is leaving.  */
void mq_fleet_node_leave (mq_fleet_node *node);
/* Reads the peers' keys again, after SIGHUP.  On an error the old keys stay in
   use.  */
void mq_fleet_node_reload_keys (mq_fleet_node *node);
/* Passes the N routers VMS of the platform's list to the fleet.  */
void mq_fleet_node_set_listed_vms (mq_fleet_node *node,
                                   const mq_listed_vm *vms, size_t n);

/* Appends the fleet's status as members to OUT, an open JSON object.  */
void mq_fleet_node_append_status (const mq_fleet_node *node, GString *out);
/* Copies the fleet's counts into the router's metrics.  */
void mq_fleet_node_update_metrics (const mq_fleet_node *node);

#endif
