/* Tickets: how a caller makes a call run at most once without a write.

   A router hands tickets out in the answer to its ask.  Each is sealed by
   XChaCha20-Poly1305 under a key that only this incarnation of this router
   holds, and bound to the organisation that asked and to an expiry.  Only
   the router that minted a ticket runs it, from its own memory, whatever
   the state of the platform.  Nothing is handed over: when that router is
   gone its tickets are answered with "unknown" for ever, so a paused or
   lapsed router can do no harm.

   Invariants:
   - a number is minted once; numbers grow by one;
   - a ticket moves from fresh to running once, and back only when its call
     is known not to have run;
   - memory is bounded by the options' limit, at four bits a ticket.

   Pure: time is the router's own monotonic clock, passed in; the key and
   the incarnation come from the caller.  The nonce is the number, which is
   unique under the key, so no random source is needed.

   A ticket as text is base64url without padding of
     version:u8 | router:u64 | number:u64 | size:u8 | address[size]
     | sealed (expiry:u64) | tag[16]
   with integers in little-endian order.  All that stands in the clear is
   authenticated too, but only by the router that minted it: another router
   uses it as a hint and never as a fact.  */

#ifndef MQ_TICKET_H
#define MQ_TICKET_H

#include <glib.h>
#include <mq/outcome.h>
#include <mq/str.h>

G_BEGIN_DECLS

#define MQ_TICKET_KEY_SIZE 32
/* The longest address in a ticket, in bytes.  */
#define MQ_TICKET_MAX_ADDRESS_BYTES 64

#define MQ_TICKET_ERROR (mq_ticket_error_quark ())
GQuark mq_ticket_error_quark (void);

typedef enum mq_ticket_error
{
  MQ_TICKET_ERROR_FULL /* As many tickets are out as the limit allows.  */
} mq_ticket_error;

typedef enum mq_ticket_check
{
  MQ_TICKET_OK,
  MQ_TICKET_EXPIRED,     /* Ours, but too old: whether it ran is forgotten.  */
  MQ_TICKET_FORGED,      /* Malformed, changed, or another organisation's.  */
  MQ_TICKET_OTHER_ROUTER /* Names another incarnation or router.  Not checked:
                         only that router could.  */
} mq_ticket_check;

/* What stands in a ticket.  Plain data.  */
typedef struct mq_ticket
{
  uint64_t router; /* Incarnation that minted it.  */
  uint64_t number;
  uint64_t expires_us; /* OK only; on the minting router's clock.  */
  char
      address[MQ_TICKET_MAX_ADDRESS_BYTES + 1]; /* Where it listens: a hint. */
} mq_ticket;

/* How far a ticket has come.  */
typedef enum mq_ticket_state
{
  MQ_TICKET_FRESH,
  MQ_TICKET_RUNNING, /* Its call is in flight.  */
  MQ_TICKET_DONE,
  MQ_TICKET_FAILED,
  MQ_TICKET_UNKNOWN,
  MQ_TICKET_NO_RECORD /* Expired, or never minted.  */
} mq_ticket_state;

/* What this router knows of the incarnation that a ticket names.  */
typedef enum mq_ticket_router
{
  MQ_TICKET_ROUTER_LIVE,   /* A member now.  */
  MQ_TICKET_ROUTER_DEAD,   /* Known to be gone, or replaced at its address. */
  MQ_TICKET_ROUTER_UNKNOWN /* Never heard of; the address is only a hint. */
} mq_ticket_router;

/* What to answer for a ticket that is another router's.  */
typedef struct mq_ticket_answer
{
  mq_outcome outcome;
  mq_reason reason;
  bool redirect; /* Tell the caller where to go.  */
} mq_ticket_answer;

typedef struct mq_tickets_options
{
  uint64_t router;                       /* Incarnation of this process.  */
  unsigned char key[MQ_TICKET_KEY_SIZE]; /* Random, new in each process.  */
  mq_span address;                       /* IP:PORT for callers; copied.  */
  uint64_t lifetime_us;                  /* Of each ticket.  */
  uint32_t limit; /* Tickets whose lifetime is not over.  */
} mq_tickets_options;

/* All tickets of this incarnation.  */
typedef struct mq_tickets mq_tickets;

mq_tickets *mq_tickets_new (const mq_tickets_options *options);
/* Wipe the key and free.  */
void mq_tickets_free (mq_tickets *tickets);

/* Mint one ticket for ORGANISATION and put its text in place of what TEXT
   held.  Returns 0, or -1 with MQ_TICKET_ERROR_FULL.  */
int mq_tickets_mint (mq_tickets *tickets, uint64_t now_us,
                     mq_span organisation, GString *text, GError **error);

/* Read TEXT, sent by ORGANISATION, into *TICKET.  Tells nothing of whether
   it is spent.  */
mq_ticket_check mq_tickets_open (const mq_tickets *tickets, uint64_t now_us,
                                 mq_span organisation, mq_span text,
                                 mq_ticket *ticket);

/* Take ticket NUMBER to run its call.  Returns the state it was in: only for
   MQ_TICKET_FRESH may the call run, and the ticket is now running.  */
mq_ticket_state mq_tickets_begin (mq_tickets *tickets, uint64_t now_us,
                                  uint64_t number);

/* The call of ticket NUMBER has ended.  MQ_OUTCOME_NOT_RUN makes the ticket
   fresh again.  Does nothing for one that is not running.  */
void mq_tickets_settle (mq_tickets *tickets, uint64_t number,
                        mq_outcome outcome);

/* What to say of a ticket that is in STATE when it comes again.  */
mq_ticket_answer mq_ticket_answer_spent (mq_ticket_state state);

/* What to say of a ticket of another incarnation.  A router that was never
   heard of may be dead, so whether the ticket ran is unknown; the caller is
   told where to go all the same when HINT_LISTED says that the platform's VM
   list or the members hold the ticket's address.  */
mq_ticket_answer mq_ticket_answer_other_router (mq_ticket_router router,
                                                bool address_is_listed);

/* Tickets whose lifetime is not over at NOW_US, rounded up to whole batches,
   and the bytes held for them.  */
uint32_t mq_tickets_outstanding (mq_tickets *tickets, uint64_t now_us);
size_t mq_tickets_memory_bytes (const mq_tickets *tickets);

G_END_DECLS

#endif
