/* Transfers of the budget of further sends between routers.

   A router whose streams wait for budget asks a relay of its domain, which
   hands over sends of its own part and passes the request on to routers that
   have some left: those of its domain, and, by a relay there, those of the
   other domains.  Grants go back the same way.  See mq/send_budget.h for why
   the fleet's bound holds.  */

#ifndef MQ_INTERNAL_BUDGET_TRANSFER_H
#define MQ_INTERNAL_BUDGET_TRANSFER_H

#include <mq/internal/gateway.h>

G_BEGIN_DECLS

/* Ask for the sends that streams wait for, where there is no budget left.  */
void mq_budget_transfer_tick (mq_gateway *gateway, uint64_t now_us);

/* Another router asks for sends, or a grant came.  May free forwards.  */
void
mq_budget_transfer_receive_request (mq_gateway *gateway,
                                    const mq_cluster_message_budget *request);
void mq_budget_transfer_receive_grant (mq_gateway *gateway,
                                       const mq_cluster_message_budget *grant);

G_END_DECLS

#endif
