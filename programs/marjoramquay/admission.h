/* The planner's side of the entry's actions: asks, progress, releases.
   Internal to this program.  */

#ifndef MQ_ADMISSION_H
#define MQ_ADMISSION_H

#include "router.h"

/* The entry asks for a plan.  */
void mq_admission_ask (mq_router *router, const mq_entry_action *action);
/* An attempt is over.  */
void mq_admission_release (mq_router *router, const mq_entry_action *action);

/* Hand EVENT to this router's own planner; the time is set here.  Answers to
   asks of ours are posted to the entry.  */
void mq_admission_post (mq_router *router, mq_planner_event *event);

#endif
