/* Tickets: see mq/ticket.h.

   The states of the tickets are kept in batches of consecutive numbers, four
   bits each.  All tickets have the same lifetime, so batches expire in the
   order in which they were begun, and a batch is freed as a whole once its
   youngest ticket has expired.  A number below the first batch has no record
   and never runs.  */

#include <mq/ticket.h>

#include <mq/internal/bytes.h>
#include <mq/internal/defect.h>
#include <sodium.h>
#include <string.h>

#define TICKET_VERSION 1
#define BATCH_TICKETS 1024
#define STATE_BITS 4
#define STATES_PER_BYTE (8 / STATE_BITS)
#define STATE_MASK ((1U << STATE_BITS) - 1)

#define ROUTER_OFFSET 1
#define NUMBER_OFFSET 9
#define SIZE_OFFSET 17
#define HEAD_SIZE 18
#define EXPIRY_SIZE 8
#define SEALED_SIZE (EXPIRY_SIZE + crypto_aead_xchacha20poly1305_ietf_ABYTES)
#define TICKET_MAX_BYTES                                                      \
  (HEAD_SIZE + MQ_TICKET_MAX_ADDRESS_BYTES + SEALED_SIZE)
#define NONCE_SIZE crypto_aead_xchacha20poly1305_ietf_NPUBBYTES
#define BASE64 sodium_base64_VARIANT_URLSAFE_NO_PADDING
#define TEXT_MAX_BYTES sodium_base64_ENCODED_LEN (TICKET_MAX_BYTES, BASE64)

/* Domain separation from other data that may be sealed with the key.  */
#define PURPOSE "marjoramquay.ticket.1"

G_STATIC_ASSERT (MQ_TICKET_KEY_SIZE
                 == crypto_aead_xchacha20poly1305_ietf_KEYBYTES);
G_STATIC_ASSERT (MQ_TICKET_NO_RECORD <= STATE_MASK);

typedef struct batch
{
  uint64_t expires_us; /* Of its youngest ticket.  */
  unsigned char states[BATCH_TICKETS / STATES_PER_BYTE];
} batch;

struct mq_tickets
{
  uint64_t router;
  unsigned char key[MQ_TICKET_KEY_SIZE];
  mq_str *address;
  uint64_t lifetime_us;
  uint32_t limit;
  uint64_t first;     /* Number of the first batch's first ticket.  */
  uint64_t next;      /* Number of the next ticket.  */
  GPtrArray *batches; /* Of batch, owned; oldest first.  */
};

G_DEFINE_QUARK (mq - ticket - error, mq_ticket_error)

/* Returns the additional authenticated data, a new string.  */
static GString *
ticket_context (const unsigned char *head, size_t size, mq_span organisation)
{
  GString *s = g_string_sized_new (128);

  g_string_append_len (s, PURPOSE, sizeof PURPOSE);
  g_string_append_len (s, (const char *)head, (gssize)size);
  g_string_append_len (s, organisation.data, (gssize)organisation.size);
  return s;
}

static void
ticket_nonce (unsigned char nonce[NONCE_SIZE], uint64_t number)
{
  memset (nonce, 0, NONCE_SIZE);
  mq_bytes_put_u64 (nonce, number);
}

static void
tickets_expire (mq_tickets *tickets, uint64_t now_us)
{
  GPtrArray *batches = tickets->batches;
  guint n = 0;

  while (n < batches->len
         && now_us >= ((const batch *)batches->pdata[n])->expires_us)
    n++;
  if (n > 0)
    g_ptr_array_remove_range (batches, 0, n);
  tickets->first += (uint64_t)n * BATCH_TICKETS;
  /* The unused numbers of a last, partly filled batch are skipped.  */
  tickets->next = MAX (tickets->next, tickets->first);
}

/* Returns the batch that holds NUMBER, or NULL.  */
static batch *
tickets_batch (const mq_tickets *tickets, uint64_t number)
{
  if (number < tickets->first || number >= tickets->next)
    return NULL;
  return tickets->batches->pdata[(number - tickets->first) / BATCH_TICKETS];
}

static mq_ticket_state
batch_get (const batch *b, uint64_t number)
{
  unsigned i = (unsigned)(number % BATCH_TICKETS);
  unsigned shift = i % STATES_PER_BYTE * STATE_BITS;

  return (mq_ticket_state)(b->states[i / STATES_PER_BYTE] >> shift
                           & STATE_MASK);
}

static void
batch_set (batch *b, uint64_t number, mq_ticket_state state)
{
  unsigned i = (unsigned)(number % BATCH_TICKETS);
  unsigned shift = i % STATES_PER_BYTE * STATE_BITS;
  unsigned char *byte = &b->states[i / STATES_PER_BYTE];

  *byte = (unsigned char)((*byte & ~(STATE_MASK << shift))
                          | (unsigned)state << shift);
}

static uint64_t
tickets_next_number (mq_tickets *tickets, uint64_t expires_us)
{
  batch *b;

  if ((tickets->next - tickets->first) % BATCH_TICKETS == 0)
    g_ptr_array_add (tickets->batches, g_new0 (batch, 1));
  b = tickets->batches->pdata[tickets->batches->len - 1];
  b->expires_us = expires_us;
  return tickets->next++;
}

static bool
ticket_parse (mq_span text, unsigned char *bytes, size_t *size)
{
  if (text.size == 0 || text.size > TEXT_MAX_BYTES)
    return false;
  if (sodium_base642bin (bytes, TICKET_MAX_BYTES, text.data, text.size, NULL,
                         size, NULL, BASE64)
      != 0)
    return false;
  return *size > HEAD_SIZE && bytes[0] == TICKET_VERSION
         && bytes[SIZE_OFFSET] <= MQ_TICKET_MAX_ADDRESS_BYTES
         && *size == HEAD_SIZE + bytes[SIZE_OFFSET] + SEALED_SIZE;
}

static bool
ticket_unseal (const mq_tickets *tickets, mq_span organisation,
               const unsigned char *bytes, size_t size, mq_ticket *ticket)
{
  size_t head = HEAD_SIZE + bytes[SIZE_OFFSET];
  GString *context = ticket_context (bytes, head, organisation);
  unsigned char nonce[NONCE_SIZE];
  unsigned char expiry[EXPIRY_SIZE];
  int result;

  ticket_nonce (nonce, ticket->number);
  result = crypto_aead_xchacha20poly1305_ietf_decrypt (
      expiry, NULL, NULL, bytes + head, size - head,
      (const unsigned char *)context->str, context->len, nonce, tickets->key);
  g_string_free (context, TRUE);
  if (result != 0)
    return false;
  ticket->expires_us = mq_bytes_get_u64 (expiry);
  return true;
}

mq_tickets *
mq_tickets_new (const mq_tickets_options *options)
{
  mq_tickets *tickets = g_new0 (mq_tickets, 1);
  mq_span address = options->address;

  address.size = MIN (address.size, MQ_TICKET_MAX_ADDRESS_BYTES);
  tickets->router = options->router;
  memcpy (tickets->key, options->key, sizeof tickets->key);
  tickets->address = mq_str_new (address);
  tickets->lifetime_us = options->lifetime_us;
  tickets->limit = options->limit;
  tickets->batches = g_ptr_array_new_with_free_func (g_free);
  return tickets;
}

void
mq_tickets_free (mq_tickets *tickets)
{
  if (tickets == NULL)
    return;
  sodium_memzero (tickets->key, sizeof tickets->key);
  mq_str_unref (tickets->address);
  g_ptr_array_free (tickets->batches, TRUE);
  g_free (tickets);
}

int
mq_tickets_mint (mq_tickets *tickets, uint64_t now_us, mq_span organisation,
                 GString *text, GError **error)
{
  unsigned char bytes[TICKET_MAX_BYTES];
  unsigned char nonce[NONCE_SIZE];
  unsigned char expiry[EXPIRY_SIZE];
  size_t head = HEAD_SIZE + tickets->address->size;
  uint64_t expires_us = now_us + tickets->lifetime_us;
  uint64_t number;
  GString *context;

  if (mq_tickets_outstanding (tickets, now_us) >= tickets->limit)
    {
      g_set_error (
          error, MQ_TICKET_ERROR, MQ_TICKET_ERROR_FULL,
          "ticket not minted: the limit of %u unexpired tickets is reached",
          tickets->limit);
      return -1;
    }
  number = tickets_next_number (tickets, expires_us);
  bytes[0] = TICKET_VERSION;
  mq_bytes_put_u64 (bytes + ROUTER_OFFSET, tickets->router);
  mq_bytes_put_u64 (bytes + NUMBER_OFFSET, number);
  bytes[SIZE_OFFSET] = (unsigned char)tickets->address->size;
  memcpy (bytes + HEAD_SIZE, tickets->address->data, tickets->address->size);
  mq_bytes_put_u64 (expiry, expires_us);
  ticket_nonce (nonce, number);
  context = ticket_context (bytes, head, organisation);
  crypto_aead_xchacha20poly1305_ietf_encrypt (
      bytes + head, NULL, expiry, sizeof expiry,
      (const unsigned char *)context->str, context->len, NULL, nonce,
      tickets->key);
  g_string_free (context, TRUE);
  g_string_set_size (text, TEXT_MAX_BYTES);
  sodium_bin2base64 (text->str, TEXT_MAX_BYTES, bytes, head + SEALED_SIZE,
                     BASE64);
  g_string_set_size (text, strlen (text->str));
  return 0;
}

mq_ticket_check
mq_tickets_open (const mq_tickets *tickets, uint64_t now_us,
                 mq_span organisation, mq_span text, mq_ticket *ticket)
{
  unsigned char bytes[TICKET_MAX_BYTES];
  size_t size = 0;

  memset (ticket, 0, sizeof *ticket);
  if (!ticket_parse (text, bytes, &size))
    return MQ_TICKET_FORGED;
  ticket->router = mq_bytes_get_u64 (bytes + ROUTER_OFFSET);
  ticket->number = mq_bytes_get_u64 (bytes + NUMBER_OFFSET);
  memcpy (ticket->address, bytes + HEAD_SIZE, bytes[SIZE_OFFSET]);
  if (ticket->router != tickets->router)
    {
      if (mq_defect_enabled (MQ_DEFECT_FOREIGN_TICKET))
        return MQ_TICKET_OK;
      return MQ_TICKET_OTHER_ROUTER;
    }
  if (!ticket_unseal (tickets, organisation, bytes, size, ticket))
    return MQ_TICKET_FORGED;
  return now_us < ticket->expires_us ? MQ_TICKET_OK : MQ_TICKET_EXPIRED;
}

mq_ticket_state
mq_tickets_begin (mq_tickets *tickets, uint64_t now_us, uint64_t number)
{
  mq_ticket_state state;
  batch *b;

  tickets_expire (tickets, now_us);
  b = tickets_batch (tickets, number);
  if (b == NULL)
    return MQ_TICKET_NO_RECORD;
  state = batch_get (b, number);
  if (state == MQ_TICKET_FRESH)
    batch_set (b, number, MQ_TICKET_RUNNING);
  return state;
}

void
mq_tickets_settle (mq_tickets *tickets, uint64_t number, mq_outcome outcome)
{
  static const mq_ticket_state states[] = {
    [MQ_OUTCOME_DONE] = MQ_TICKET_DONE,
    [MQ_OUTCOME_NOT_RUN] = MQ_TICKET_FRESH,
    [MQ_OUTCOME_FAILED] = MQ_TICKET_FAILED,
    [MQ_OUTCOME_UNKNOWN] = MQ_TICKET_UNKNOWN,
  };
  batch *b = tickets_batch (tickets, number);

  if (b != NULL && batch_get (b, number) == MQ_TICKET_RUNNING)
    batch_set (b, number, states[outcome]);
}

mq_ticket_answer
mq_ticket_answer_spent (mq_ticket_state state)
{
  switch (state)
    {
    case MQ_TICKET_DONE:
      return (mq_ticket_answer){ MQ_OUTCOME_DONE, MQ_REASON_TICKET_SPENT,
                                 false };
    case MQ_TICKET_FAILED:
      return (mq_ticket_answer){ MQ_OUTCOME_FAILED, MQ_REASON_TICKET_SPENT,
                                 false };
    case MQ_TICKET_RUNNING:
      return (mq_ticket_answer){ MQ_OUTCOME_UNKNOWN, MQ_REASON_KEY_IN_FLIGHT,
                                 false };
    case MQ_TICKET_FRESH:
    case MQ_TICKET_UNKNOWN:
    case MQ_TICKET_NO_RECORD:
      break;
    }
  return (mq_ticket_answer){ MQ_OUTCOME_UNKNOWN, MQ_REASON_TICKET_SPENT,
                             false };
}

mq_ticket_answer
mq_ticket_answer_other_router (mq_ticket_router router, bool address_is_listed)
{
  mq_ticket_answer answer
      = { MQ_OUTCOME_UNKNOWN, MQ_REASON_WRONG_ROUTER, false };

  switch (router)
    {
    case MQ_TICKET_ROUTER_LIVE:
      answer.redirect = true;
      break;
    case MQ_TICKET_ROUTER_UNKNOWN:
      answer.redirect = address_is_listed;
      break;
    case MQ_TICKET_ROUTER_DEAD:
      answer.reason = MQ_REASON_TICKET_SPENT;
      break;
    }
  return answer;
}

uint32_t
mq_tickets_outstanding (mq_tickets *tickets, uint64_t now_us)
{
  tickets_expire (tickets, now_us);
  return (uint32_t)(tickets->next - tickets->first);
}

size_t
mq_tickets_memory_bytes (const mq_tickets *tickets)
{
  return sizeof *tickets
         + tickets->batches->len * (sizeof (batch) + sizeof (batch *));
}
