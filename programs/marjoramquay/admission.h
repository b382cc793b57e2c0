/* This router's own planner, and its answers to the entry.  Internal to this
   program.  */

#ifndef MQ_ADMISSION_H
#define MQ_ADMISSION_H

#include "router.h"

/* The answer to ASK, once, at once.  What ACTION owns may be moved.  */
typedef void (*mq_admission_sink) (void *context, mq_planner_action *action);

/* Have this router's own planner decide on ASK.  */
void mq_admission_plan (mq_router *router, const mq_plan_request *ask,
                        mq_admission_sink sink, void *context);
/* Post ACTION, an ADMIT or REFUSE, to the entry as the answer to the request
   of that HANDLE.  The plan of an ADMIT is moved out.  */
void mq_admission_answer (mq_router *router, uint64_t handle,
                          mq_planner_action *action);

/* Hand EVENT, which is no ASK, to this router's own planner; the time is set
   here.  */
void mq_admission_post (mq_router *router, mq_planner_event *event);

#endif
