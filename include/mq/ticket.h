/* Tickets: run a call at most once without a write to the platform.

   A router issues tickets in its discovery replies.  Each ticket is sealed
   with XChaCha20-Poly1305 under a key that only this incarnation of this
   router holds, and is bound to the requesting organisation and to an expiry.
   Only the router that minted a ticket runs it, based on its own memory and
   independently of the platform.  Tickets are never transferred: after that
   router has stopped, its tickets are answered with "unknown" for ever, so a
   router that was paused cannot cause a second run.

   Invariants:
   - a number is minted once; numbers increase by one;
   - a ticket changes from fresh to running once, and back only if its call
     is known not to have run;
   - memory is bounded by the limit in the options, at four bits a ticket.

   The module is pure: the caller passes in the time of the router's monotonic
   clock, the key and the incarnation.  The nonce is the number, which is
   unique under the key, so no random source is needed.

   The text of a ticket is unpadded base64url of
     version:u8 | router:u64 | number:u64 | size:u8 | address[size]
     | sealed (expiry:u64) | tag[16]
   with integers in little-endian order.  The clear part is authenticated too,
   but only the minting router can verify it; another router must treat it as
   a hint.  */

#ifndef MQ_TICKET_H
#define MQ_TICKET_H

#include <glib.h>
#include <mq/outcome.h>
#include <mq/str.h>

G_BEGIN_DECLS

#define MQ_TICKET_KEY_SIZE 32
/* Maximum length of the address in a ticket.  */
#define MQ_TICKET_MAX_ADDRESS_BYTES 64

#define MQ_TICKET_ERROR (mq_ticket_error_quark ())
GQuark mq_ticket_error_quark (void);

typedef enum mq_ticket_error
{
  MQ_TICKET_ERROR_FULL /* The limit of unexpired tickets is reached.  */
} mq_ticket_error;

typedef enum mq_ticket_check
{
  MQ_TICKET_OK,
  MQ_TICKET_EXPIRED, /* Ours, but too old: no record is kept of its run.  */
  MQ_TICKET_FORGED,  /* Malformed, changed, or of another organisation.  */
  MQ_TICKET_OTHER_ROUTER /* Names another incarnation or router, which alone
                            could verify it.  */
} mq_ticket_check;

/* The contents of a ticket.  Plain data.  */
typedef struct mq_ticket
{
  uint64_t router; /* Incarnation that minted it.  */
  uint64_t number;
  uint64_t expires_us; /* Set for OK and EXPIRED; monotonic clock of the
                          minting router.  */
  /* Address of ROUTER: a hint.  */
  char address[MQ_TICKET_MAX_ADDRESS_BYTES + 1];
} mq_ticket;

/* The state of a ticket.  */
typedef enum mq_ticket_state
{
  MQ_TICKET_FRESH,
  MQ_TICKET_RUNNING, /* Its call is in flight.  */
  MQ_TICKET_DONE,
  MQ_TICKET_FAILED,
  MQ_TICKET_UNKNOWN,
  MQ_TICKET_NO_RECORD /* Expired or never minted.  */
} mq_ticket_state;

/* What this router knows about the incarnation that a ticket names.  */
typedef enum mq_ticket_router
{
  MQ_TICKET_ROUTER_LIVE,   /* Currently a member.  */
  MQ_TICKET_ROUTER_DEAD,   /* Known to have stopped or been replaced.  */
  MQ_TICKET_ROUTER_UNKNOWN /* Never seen; the address is only a hint.  */
} mq_ticket_router;

/* The response for a ticket that does not run here.  */
typedef struct mq_ticket_answer
{
  mq_outcome outcome;
  mq_reason reason;
  bool redirect; /* Redirect the caller to the address.  */
} mq_ticket_answer;

typedef struct mq_tickets_options
{
  uint64_t router;                       /* Incarnation of this process.  */
  unsigned char key[MQ_TICKET_KEY_SIZE]; /* Random, new in each process.  */
  mq_span address;                       /* IP:PORT for callers; copied, cut to
                                            MQ_TICKET_MAX_ADDRESS_BYTES.  */
  uint64_t lifetime_us;                  /* Of each ticket.  */
  uint32_t limit;                        /* Maximum unexpired tickets.  */
} mq_tickets_options;

/* The tickets of this incarnation.  */
typedef struct mq_tickets mq_tickets;

mq_tickets *mq_tickets_new (const mq_tickets_options *options);
/* Erase the key and free TICKETS, which may be NULL.  */
void mq_tickets_free (mq_tickets *tickets);

/* Mint one ticket for ORGANISATION and set TEXT to it.  Returns 0, or -1 with
   MQ_TICKET_ERROR_FULL.  */
int mq_tickets_mint (mq_tickets *tickets, uint64_t now_us,
                     mq_span organisation, GString *text, GError **error);

/* Parse and verify TEXT, sent by ORGANISATION, into *TICKET.  Does not check
   whether the ticket is spent.  */
mq_ticket_check mq_tickets_open (const mq_tickets *tickets, uint64_t now_us,
                                 mq_span organisation, mq_span text,
                                 mq_ticket *ticket);

/* Begin to run the call of ticket NUMBER.  Returns the previous state.  Only
   for MQ_TICKET_FRESH may the call run; the ticket is then running.  */
mq_ticket_state mq_tickets_begin (mq_tickets *tickets, uint64_t now_us,
                                  uint64_t number);

/* Record that the call of ticket NUMBER ended with OUTCOME.
   MQ_OUTCOME_NOT_RUN makes the ticket fresh again.  Does nothing for a ticket
   that is not running.  */
void mq_tickets_settle (mq_tickets *tickets, uint64_t number,
                        mq_outcome outcome);

/* Returns the response for a repeated ticket in STATE.  */
mq_ticket_answer mq_ticket_answer_spent (mq_ticket_state state);

/* Returns the response for a ticket of another incarnation.  A router that
   was never seen may be dead, so whether the ticket ran is unknown; the caller
   is redirected all the same if ADDRESS_IS_LISTED says that the platform's VM
   list or the member list contains the address of the ticket.  */
mq_ticket_answer mq_ticket_answer_other_router (mq_ticket_router router,
                                                bool address_is_listed);

/* Returns the number of tickets that are unexpired at NOW_US, with those that
   expire only with their batch.  */
uint32_t mq_tickets_outstanding (mq_tickets *tickets, uint64_t now_us);
/* Returns the memory held for TICKETS.  */
size_t mq_tickets_memory_bytes (const mq_tickets *tickets);

G_END_DECLS

#endif
