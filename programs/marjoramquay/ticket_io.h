/* Idempotency tickets (mq/ticket.h): minted for discovery requests and
   verified when a call uses one.  The entry remembers the outcome of a
   ticket's call.

   Internal to this program.  */

#ifndef MQ_TICKET_IO_H
#define MQ_TICKET_IO_H

#include "router.h"

/* Maximum number of tickets in one discovery reply.  */
#define MQ_TICKETS_PER_DISCOVERY 16

mq_ticket_io *mq_ticket_io_new (mq_router *router);
void mq_ticket_io_free (mq_ticket_io *io);

/* Appends N new tickets for ORGANISATION to OUT as a JSON array; fewer when N
   is above MQ_TICKETS_PER_DISCOVERY or too many tickets are valid already.  */
void mq_ticket_io_mint (mq_ticket_io *io, mq_span organisation, unsigned n,
                        GString *out);

/* Verifies the ticket TEXT, which ORGANISATION sent with EXCHANGE.  Returns
   the ticket's number as text, borrowed from IO until the next call; or the
   empty span when the ticket is rejected, and then EXCHANGE has been answered.
 */
mq_span mq_ticket_io_open (mq_ticket_io *io, mq_http_exchange *exchange,
                           mq_span organisation, mq_span text);

#endif
