/* GET /v1/explain/ID: the decisions about one request, from the entry's log of
   recent decisions.

   Internal to this program.  */

#ifndef MQ_EXPLAIN_H
#define MQ_EXPLAIN_H

#include "router.h"

#define MQ_EXPLAIN_PATH "/v1/explain/"

void mq_explain_show (mq_router *router, mq_http_exchange *exchange);

#endif
