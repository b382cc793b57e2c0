/* Gateway mode: responses whose end is that of their connection.

   Such a response has neither a length nor chunks.  The connection of a
   process that crashes is closed in order, too, so that a response that a
   crash has cut looks like a whole one.  Before it is passed on, its upstream
   is connected to: if that refuses, its process has ended, and the response
   counts as broken.  */

#ifndef MQ_INTERNAL_GATEWAY_CLOSE_CHECK_H
#define MQ_INTERNAL_GATEWAY_CLOSE_CHECK_H

#include <mq/internal/gateway.h>

G_BEGIN_DECLS

typedef struct mq_close_check mq_close_check;

/* A response of the current send of a forward that waits for its check.  */
typedef struct mq_held_response
{
  unsigned status;
  mq_span head; /* Status line and headers.  */
  mq_span body; /* Empty for a stream.  */
} mq_held_response;

/* The upstream of FORWARD accepts connections, or can't be asked: RESPONSE,
   borrowed, is whole.  May free FORWARD.  */
typedef void (*mq_close_check_sink) (mq_forward *forward,
                                     const mq_held_response *response);

/* Check the upstream of FORWARD's current send, whose call has ended with
   RESPONSE, which is copied.  SINK is called later if it counts as whole;
   otherwise the send ends as broken.  Returns false, and does nothing, if
   there is no need or no way to check it.  */
bool mq_close_check_start (mq_forward *forward,
                           const mq_held_response *response,
                           mq_close_check_sink sink);

/* Cancel the check of FORWARD's current send, if there is one.  */
void mq_close_check_drop (mq_forward *forward);

G_END_DECLS

#endif
