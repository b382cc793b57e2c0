/* Gateway mode: runs that a request has left because they were silent.

   An upstream that is silent may be sound and go on, so the connection of such
   a run stays open while the request is sent elsewhere.  The run that responds
   first serves the request.  When the other one can't, the request returns to
   the run that it left, instead of being ended.

   A forward has at most one such run, its standby, and only until its current
   send has passed on an event or a response.  A standby does not count in the
   load of its path.  */

#ifndef MQ_INTERNAL_GATEWAY_STANDBY_H
#define MQ_INTERNAL_GATEWAY_STANDBY_H

#include <mq/internal/gateway.h>

G_BEGIN_DECLS

/* Make the current send of FORWARD, whose run is in progress, its standby in
   place of an earlier one, which is cancelled.  HEAD_IS_SILENT: nothing says
   which engine of its path is silent, so that FORWARD must not be sent to the
   same head.  */
void mq_standby_park (mq_forward *forward, bool head_is_silent);

/* Returns true if FORWARD must not be sent to HEAD because of its standby.  */
bool mq_standby_excludes (const mq_forward *forward, const mq_upstream *head);

/* Make the standby of FORWARD its current send again, for the reason WHY, and
   cancel the send in progress, if there is one.  Returns false, and changes
   nothing, if FORWARD has no standby.  */
bool mq_standby_resume (mq_forward *forward, const char *why);

/* Cancel the standby of FORWARD, if it has one.  */
void mq_standby_drop (mq_forward *forward);

/* Returns true if CALL is that of FORWARD's standby.  */
bool mq_standby_has_call (const mq_forward *forward, const mq_http_call *call);

/* Handle EVENT of the standby's call.  Returns true if the standby has become
   the current send, which EVENT is to be handled for; of data, what the
   standby has kept is part of the send already, and EVENT has none left.  */
bool mq_standby_on_call (mq_forward *forward, mq_http_client_event *event);

G_END_DECLS

#endif
