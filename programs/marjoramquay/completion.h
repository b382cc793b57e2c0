/* POST /v1/completions: an answer made by a pipeline of model engines.

   This is the caller's side: the body is read, tokens are written as
   server-sent events or gathered into one answer.  The engines' side is
   completion_stream.h.  Internal to this program.  */

#ifndef MQ_COMPLETION_H
#define MQ_COMPLETION_H

#include "active_request.h"

/* A caller asks.  */
void mq_completion_start (mq_router *router, mq_http_exchange *exchange);

/* The entry's actions.  */
void mq_completion_deliver (mq_active_request *request,
                            const mq_entry_action *action);
void mq_completion_end (mq_active_request *request,
                        const mq_entry_action *action);

/* The caller has read what was queued.  */
void mq_completion_on_drained (mq_active_request *request);

#endif
