/* Any method on /v1/services/NAME/...: a call of a plain service.
   Internal to this program.  */

#ifndef MQ_SERVICE_ROUTE_H
#define MQ_SERVICE_ROUTE_H

#include "caller.h"

#define MQ_SERVICES_PATH "/v1/services/"

/* A caller asks.  */
void mq_service_route_start (mq_router *router, mq_http_exchange *exchange);

/* The entry's actions.  */
void mq_service_route_send (mq_caller *caller, const mq_entry_action *action);
void mq_service_route_cancel_send (mq_caller *caller,
                                   const mq_entry_action *action);
void mq_service_route_pass_reply (mq_caller *caller);
void mq_service_route_end (mq_caller *caller, const mq_entry_action *action);

#endif
