/* Orders that operators give by HTTP, under the token that the settings hold
   a digest of.  Internal to this program.  */

#ifndef MQ_OPERATORS_H
#define MQ_OPERATORS_H

#include "router.h"

/* POST /v1/drain: leave as after SIGTERM.  */
void mq_operators_drain (mq_router *router, mq_http_exchange *exchange);

#endif
