/* Which module answers which path.  Internal to this program.  */

#ifndef MQ_ROUTES_H
#define MQ_ROUTES_H

#include "router.h"

/* The sink of the callers' server; CONTEXT is the router.  */
void mq_routes_on_http (void *context, const mq_http_server_event *event);

#endif
