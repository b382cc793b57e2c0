/* GET /v1/entries, the discovery request: which routers a client should use,
   and tickets for calls that must not run twice.

   Internal to this program.  */

#ifndef MQ_ENTRIES_H
#define MQ_ENTRIES_H

#include "router.h"

void mq_entries_show (mq_router *router, mq_http_exchange *exchange);

#endif
