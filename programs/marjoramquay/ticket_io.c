/* Idempotency tickets: see ticket_io.h.  */

#include "ticket_io.h"

#include <mq/json_text.h>
#include <mq/log.h>
#include <mq/ticket.h>
#include <sodium.h>
#include <stdio.h>

#include <string.h>

#include "fleet_node.h"
#include "reply.h"

/* Shorter than MQ_ENTRY_GUARD_RETENTION_US, so that a ticket expires before
   the entry evicts the outcome of its call.  */
#define TICKET_LIFETIME_US (UINT64_C (10) * 60 * 1000000)
#define MAX_TICKETS (1024 * 1024)

struct mq_ticket_io
{
  mq_router *router; /* Borrowed.  */
  mq_tickets *tickets;
  GString *text;   /* Scratch.  */
  char number[24]; /* Of the last ticket that was verified.  */
};

static mq_tickets *
tickets_new (const mq_router *router)
{
  char *address = mq_router_client_address (router);
  mq_tickets_options options = { .router = router->incarnation,
                                 .address = mq_span_from (address),
                                 .lifetime_us = TICKET_LIFETIME_US,
                                 .limit = MAX_TICKETS };
  mq_tickets *tickets;

  randombytes_buf (options.key, sizeof options.key);
  tickets = mq_tickets_new (&options);
  sodium_memzero (options.key, sizeof options.key);
  g_free (address);
  return tickets;
}

mq_ticket_io *
mq_ticket_io_new (mq_router *router)
{
  mq_ticket_io *io = g_new0 (mq_ticket_io, 1);

  io->router = router;
  io->text = g_string_new (NULL);
  io->tickets = tickets_new (router);
  return io;
}

void
mq_ticket_io_free (mq_ticket_io *io)
{
  if (io == NULL)
    return;
  mq_tickets_free (io->tickets);
  g_string_free (io->text, TRUE);
  g_free (io);
}

void
mq_ticket_io_mint (mq_ticket_io *io, mq_span organisation, unsigned n,
                   GString *out)
{
  uint64_t now = mq_router_now_us ();

  g_string_append_c (out, '[');
  for (unsigned i = 0; i < MIN (n, MQ_TICKETS_PER_DISCOVERY); i++)
    {
      if (mq_tickets_mint (io->tickets, now, organisation, io->text, NULL) < 0)
        break;
      if (i > 0)
        g_string_append_c (out, ',');
      mq_json_text_string (out, (mq_span){ io->text->str, io->text->len });
    }
  g_string_append_c (out, ']');
}

static void
reject_spent (mq_ticket_io *io, mq_http_exchange *exchange,
              mq_ticket_state state)
{
  mq_ticket_answer answer = mq_ticket_answer_spent (state);
  mq_reply_error error
      = { .outcome = answer.outcome, .reason = answer.reason };

  mq_reply_refuse (io->router, exchange, &error);
}

/* Returns true if clients reach MEMBER, of any incarnation, at ADDRESS.  */
static bool
member_is_at (const mq_member *member, const char *address)
{
  const char *url = mq_str_cstr (member->entry_address);

  return g_str_has_suffix (url, address)
         && (strlen (url) == strlen (address)
             || url[strlen (url) - strlen (address) - 1] == '/');
}

/* Returns what this router knows of the router that minted TICKET.  */
static mq_ticket_router
router_judge (const mq_ticket_io *io, const mq_ticket *ticket)
{
  const mq_fleet *fleet = mq_fleet_node_fleet (io->router->fleet);
  char *own = mq_router_client_address (io->router);
  bool replaced = strcmp (own, ticket->address) == 0;
  const mq_member *m;

  g_free (own);
  if (replaced)
    return MQ_TICKET_ROUTER_DEAD;
  if (fleet == NULL)
    return MQ_TICKET_ROUTER_UNKNOWN;
  m = mq_fleet_find_incarnation (fleet, ticket->router);
  if (m != NULL)
    return m->state == MQ_MEMBER_DEAD ? MQ_TICKET_ROUTER_DEAD
                                      : MQ_TICKET_ROUTER_LIVE;
  for (size_t i = 0; i < mq_fleet_size (fleet); i++)
    if (member_is_at (mq_fleet_member (fleet, i), ticket->address))
      return MQ_TICKET_ROUTER_DEAD;
  return MQ_TICKET_ROUTER_UNKNOWN;
}

/* Rejects a ticket that another router minted.  Redirects the client to that
   router if it is a live member.  */
static void
reject_remote (mq_ticket_io *io, mq_http_exchange *exchange,
               const mq_ticket *ticket)
{
  mq_ticket_answer answer
      = mq_ticket_answer_other_router (router_judge (io, ticket), false);
  mq_reply_error error
      = { .outcome = answer.outcome, .reason = answer.reason };

  if (answer.redirect)
    error.redirect_address = ticket->address;
  mq_reply_refuse (io->router, exchange, &error);
}

mq_span
mq_ticket_io_open (mq_ticket_io *io, mq_http_exchange *exchange,
                   mq_span organisation, mq_span text)
{
  mq_ticket ticket;

  switch (mq_tickets_open (io->tickets, mq_router_now_us (), organisation,
                           text, &ticket))
    {
    case MQ_TICKET_OK:
      (void)snprintf (io->number, sizeof io->number, "%" G_GUINT64_FORMAT,
                      ticket.number);
      return mq_span_from (io->number);
    case MQ_TICKET_EXPIRED:
      reject_spent (io, exchange, MQ_TICKET_NO_RECORD);
      break;
    case MQ_TICKET_FORGED:
      mq_reply_bad_request (io->router, exchange, MQ_REASON_TICKET_INVALID,
                            NULL);
      break;
    case MQ_TICKET_OTHER_ROUTER:
      reject_remote (io, exchange, &ticket);
      break;
    }
  return (mq_span){ NULL, 0 };
}
