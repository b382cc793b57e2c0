/* The engines' side of a completion: one stream for each attempt, whose events
   are posted to the entry.

   Internal to this program.  */

#ifndef MQ_COMPLETION_STREAM_H
#define MQ_COMPLETION_STREAM_H

#include "active_request.h"

/* Carry out the entry's OPEN_STREAM and CANCEL_STREAM actions.  */
void mq_completion_stream_open (mq_active_request *request,
                                const mq_entry_action *action);
void mq_completion_stream_cancel (mq_active_request *request,
                                  const mq_entry_action *action);

/* Pauses reading from the engines because the client reads too slowly, or
   resumes it.  The request must have a stream.  */
void mq_completion_stream_set_paused (mq_active_request *request, bool paused);

/* Counts one more token of the attempt, delivered at NOW_US, and after certain
   counts reports the mean gap between tokens to the model's owner.  */
void mq_completion_stream_report_progress (mq_active_request *request,
                                           uint64_t now_us);

#endif
