/* Any method on /v1/services/NAME/...: a call of a plain service.

   Internal to this program.  */

#ifndef MQ_SERVICE_REQUEST_H
#define MQ_SERVICE_REQUEST_H

#include "active_request.h"

#define MQ_SERVICES_PATH "/v1/services/"

/* Handles a new request on EXCHANGE.  */
void mq_service_request_start (mq_router *router, mq_http_exchange *exchange);

/* Carry out the entry's SEND, CANCEL_SEND, FORWARD_REPLY and END actions.  */
void mq_service_request_send (mq_active_request *request,
                              const mq_entry_action *action);
void mq_service_request_cancel_send (mq_active_request *request,
                                     const mq_entry_action *action);
void mq_service_request_accept_reply (mq_active_request *request);
void mq_service_request_end (mq_active_request *request,
                             const mq_entry_action *action);

#endif
