/* Posts the load reports and cache events of engines to the planner.

   Internal to this program.  */

#ifndef MQ_ENGINE_REPORT_H
#define MQ_ENGINE_REPORT_H

#include <mq/engine_control.h>

#include "router.h"

/* Posts MESSAGE, the load report of ENGINE, to the planner.  Returns 0, or -1
   when MESSAGE, which may be NULL, is not a load report.  */
int mq_engine_report_load (mq_router *router, mq_span engine,
                           json_object *message);

/* Posts MESSAGE, a list of cache events of ENGINE, to the planner and sets
   *AFTER to the number of the last event.  Returns 0, or -1 when MESSAGE,
   which may be NULL, is not a list of events.  */
int mq_engine_report_cache (mq_router *router, mq_span engine,
                            json_object *message, uint64_t *after);

/* Reports to the planner that ENGINE does not respond.  */
void mq_engine_report_down (mq_router *router, mq_span engine);

#endif
