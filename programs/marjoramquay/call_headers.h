/* What all calls have in common: who calls, until when, and how the call
   guards itself.  Internal to this program.  */

#ifndef MQ_CALL_HEADERS_H
#define MQ_CALL_HEADERS_H

#include "router.h"

/* Read the headers that both kinds of calls have into *CALL: organisation,
   deadline and guard.  The spans live as long as EXCHANGE and the
   configuration in force.  On a fault the exchange is answered and -1
   returned.  */
int mq_call_headers_read (mq_router *router, mq_http_exchange *exchange,
                          mq_call *call);

/* The token of an Authorization: Bearer header; empty when there is none.  */
mq_span mq_call_headers_bearer_token (const mq_http_exchange *exchange);

#endif
