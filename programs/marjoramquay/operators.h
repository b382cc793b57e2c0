/* HTTP requests of operators, authenticated by the token whose digest is in
   the settings.

   Internal to this program.  */

#ifndef MQ_OPERATORS_H
#define MQ_OPERATORS_H

#include "router.h"

/* Handles POST /v1/drain: drains the router as SIGTERM does.  */
void mq_operators_drain (mq_router *router, mq_http_exchange *exchange);

#endif
