/* Transfers of retry budget between routers.

   A router whose streams wait for budget sends a request to a relay of its
   domain.  The relay grants sends of its own share and forwards the rest of
   the request to routers that have some left: those of its domain and,
   through their relays, those of the other domains.  Grants travel back along
   the same relays.  See mq/send_budget.h for why the fleet's bound holds.  */

#ifndef MQ_INTERNAL_BUDGET_TRANSFER_H
#define MQ_INTERNAL_BUDGET_TRANSFER_H

#include <mq/internal/gateway.h>

G_BEGIN_DECLS

/* Request budget for the services whose streams wait for it.  */
void mq_budget_transfer_tick (mq_gateway *gateway, uint64_t now_us);

/* Handle a request or a grant from another router.  A grant resumes waiting
   streams, which may free forwards.  */
void
mq_budget_transfer_receive_request (mq_gateway *gateway,
                                    const mq_cluster_message_budget *request);
void mq_budget_transfer_receive_grant (mq_gateway *gateway,
                                       const mq_cluster_message_budget *grant);

G_END_DECLS

#endif
