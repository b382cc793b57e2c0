/* Reads the request headers that completions and service calls share: the
   organisation's bearer token, the deadline, and the ticket or idempotency key
   that guards against a second execution.

   Internal to this program.  */

#ifndef MQ_CALL_HEADERS_H
#define MQ_CALL_HEADERS_H

#include "router.h"

/* Fills the organisation, deadline and guard of *CALL from the headers of
   EXCHANGE.  The spans are borrowed: they are valid as long as EXCHANGE and
   the configuration in force, and a ticket's until the next ticket is opened.
   Returns 0; or -1 when the request is rejected, and then EXCHANGE has been
   answered.  */
int mq_call_headers_read (mq_router *router, mq_http_exchange *exchange,
                          mq_call *call);

/* Returns the token of the Authorization: Bearer header, borrowed from
   EXCHANGE; the empty span when there is none.  */
mq_span mq_call_headers_bearer_token (const mq_http_exchange *exchange);

#endif
