/* What engines report of themselves, decoded and handed to the planner.
   Internal to this program.  */

#ifndef MQ_ENGINE_REPORT_H
#define MQ_ENGINE_REPORT_H

#include "router.h"

/* Hand BODY, the load report of ENGINE, to the planner.  Returns 0, or -1
   when it is none.  */
int mq_engine_report_load (mq_router *router, mq_span engine, mq_span body);

/* Hand BODY, cache events of ENGINE, to the planner and set *AFTER to the
   last event's number.  Returns 0, or -1 when it is no list of events.  */
int mq_engine_report_cache (mq_router *router, mq_span engine, mq_span body,
                            uint64_t *after);

/* Tell the planner that ENGINE does not answer.  */
void mq_engine_report_down (mq_router *router, mq_span engine);

#endif
