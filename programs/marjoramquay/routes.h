/* Dispatches HTTP requests to handlers by path and method.

   Internal to this program.  */

#ifndef MQ_ROUTES_H
#define MQ_ROUTES_H

#include "router.h"

/* The sink of the HTTP server for clients.  CONTEXT is the mq_router.  */
void mq_routes_on_http (void *context, const mq_http_server_event *event);

#endif
