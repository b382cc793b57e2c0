/* Tickets: minted with the ask's answer, opened when a call comes with one
   (mq/ticket.h).  What a ticket's call came to is in the entry's memory.
   Internal to this program.  */

#ifndef MQ_TICKET_IO_H
#define MQ_TICKET_IO_H

#include "router.h"

/* The most tickets that one ask gives.  */
#define MQ_TICKETS_PER_DISCOVERY 16

mq_ticket_io *mq_ticket_io_new (mq_router *router);
void mq_ticket_io_free (mq_ticket_io *io);

/* Append N new tickets for ORGANISATION to OUT as a JSON array; fewer when
   too many are out already.  */
void mq_ticket_io_mint (mq_ticket_io *io, mq_span organisation, unsigned n,
                        GString *out);

/* Open TEXT, sent by ORGANISATION with EXCHANGE.  Returns the ticket's number
   as text, borrowed until the next call; or an empty span, and EXCHANGE was
   answered.  */
mq_span mq_ticket_io_open (mq_ticket_io *io, mq_http_exchange *exchange,
                           mq_span organisation, mq_span text);

#endif
