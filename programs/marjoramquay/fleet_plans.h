/* Exchanges plan requests with the routers that own the models.

   The owner of a model counts the attempts in flight in the whole region, so
   the entry requests each plan from it, in one round trip.  If an owner does
   not reply within a few milliseconds, this router's own planner decides
   instead, which knows only this router's attempts, and the owner gets no
   requests for a while.  When the owner changes, the attempts in flight are
   registered with the new one.

   Internal to this program.  */

#ifndef MQ_FLEET_PLANS_H
#define MQ_FLEET_PLANS_H

#include <mq/peer_message.h>

#include "router.h"

mq_fleet_plans *mq_fleet_plans_new (mq_router *router);
void mq_fleet_plans_free (mq_fleet_plans *plans);

/* Carry out the entry's REQUEST_PLAN and RELEASE_PLAN actions.  */
void mq_fleet_plans_request (mq_fleet_plans *plans,
                             const mq_entry_action *action);
void mq_fleet_plans_release (mq_fleet_plans *plans,
                             const mq_entry_action *action);

/* Reports to the owner that an attempt of this router has received TOKENS
   tokens, with a mean gap of MEAN_GAP_US.  */
void mq_fleet_plans_progress (mq_fleet_plans *plans, mq_request_id id,
                              uint32_t attempt, uint32_t tokens,
                              uint64_t mean_gap_us);

/* Handles a MESSAGE about plans from another router.  */
void mq_fleet_plans_on_message (mq_fleet_plans *plans,
                                const mq_peer_message *message);
/* Registers the attempts whose model has a new owner with that owner.  */
void mq_fleet_plans_owners_changed (mq_fleet_plans *plans);
/* Registers every attempt in flight with the owner of its model, also where
   the owner has not changed.  */
void mq_fleet_plans_register_all (mq_fleet_plans *plans);

/* Copies the counts into the router's metrics.  */
void mq_fleet_plans_update_metrics (const mq_fleet_plans *plans);

#endif
