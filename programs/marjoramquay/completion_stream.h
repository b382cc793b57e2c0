/* The engines' side of a completion: one stream for each attempt, whose events
   go to the entry.  Internal to this program.  */

#ifndef MQ_COMPLETION_STREAM_H
#define MQ_COMPLETION_STREAM_H

#include "active_request.h"

/* The entry's actions.  */
void mq_completion_stream_open (mq_active_request *request,
                                const mq_entry_action *action);
void mq_completion_stream_cancel (mq_active_request *request,
                                  const mq_entry_action *action);

/* Hold the stream back, since the caller reads slowly, or let it go on.  */
void mq_completion_stream_set_paused (mq_active_request *request, bool held);

/* One more token of the attempt was delivered: tell the model's owner now and
   then how fast they come.  */
void mq_completion_stream_report_progress (mq_active_request *request,
                                           uint64_t now_us);

#endif
