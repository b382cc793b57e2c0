/* Asks to the owner of a model's planner, and other routers' asks to ours.

   The owner counts exactly what is in flight in the region, so an entry asks
   it in one round trip.  An owner that does not answer in a few milliseconds
   is replaced by this router's own planner, which knows only its own part,
   and is not asked again for a while.  When the owner changes, what is in
   flight is registered with the new one.  Internal to this program.  */

#ifndef MQ_FLEET_PLANS_H
#define MQ_FLEET_PLANS_H

#include <mq/peer_message.h>

#include "router.h"

mq_fleet_plans *mq_fleet_plans_new (mq_router *router);
void mq_fleet_plans_free (mq_fleet_plans *plans);

/* The entry's actions.  */
void mq_fleet_plans_request (mq_fleet_plans *plans,
                             const mq_entry_action *action);
void mq_fleet_plans_release (mq_fleet_plans *plans,
                             const mq_entry_action *action);

/* TOKENS have come so far in an attempt of ours, MEAN_GAP_US apart.  */
void mq_fleet_plans_progress (mq_fleet_plans *plans, mq_request_id id,
                              uint32_t attempt, uint32_t tokens,
                              uint64_t mean_gap_us);

/* What the fleet tells.  */
void mq_fleet_plans_on_message (mq_fleet_plans *plans,
                                const mq_peer_message *message);
void mq_fleet_plans_owners_changed (mq_fleet_plans *plans);
/* Register all that is in flight, whoever owns it.  */
void mq_fleet_plans_register_all (mq_fleet_plans *plans);

/* Put what was counted into the metrics.  */
void mq_fleet_plans_update_metrics (const mq_fleet_plans *plans);

#endif
