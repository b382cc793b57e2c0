/* Runs this router's own planner and reports its results to the entry.

   Internal to this program.  */

#ifndef MQ_ADMISSION_H
#define MQ_ADMISSION_H

#include "router.h"

/* Receives the planner's ADMIT or REFUSE action.  It is called exactly once,
   before mq_admission_plan returns, and may move what ACTION owns.  */
typedef void (*mq_admission_sink) (void *context, mq_planner_action *action);

/* Has this router's own planner decide on REQUEST and passes the result to
   SINK.  */
void mq_admission_plan (mq_router *router, const mq_plan_request *request,
                        mq_admission_sink sink, void *context);
/* Posts ACTION, which must be an ADMIT or REFUSE, to the entry as the result
   for the request with HANDLE.  The plan of an ADMIT is moved out of
   ACTION.  */
void mq_admission_answer (mq_router *router, uint64_t handle,
                          mq_planner_action *action);

/* Passes EVENT to this router's own planner and sets its time.  EVENT must not
   be a MQ_PLANNER_REQUEST, which mq_admission_plan posts.  */
void mq_admission_post (mq_router *router, mq_planner_event *event);

#endif
