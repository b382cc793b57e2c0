/* HTTP handlers that report on the router: health, readiness, metrics and
   status.

   Internal to this program.  */

#ifndef MQ_STATUS_H
#define MQ_STATUS_H

#include "router.h"

/* Registers the router's metrics.  */
void mq_status_init (mq_router *router);

void mq_status_health (mq_router *router, mq_http_exchange *exchange);
void mq_status_ready (mq_router *router, mq_http_exchange *exchange);
void mq_status_metrics (mq_router *router, mq_http_exchange *exchange);
void mq_status_show (mq_router *router, mq_http_exchange *exchange);

#endif
