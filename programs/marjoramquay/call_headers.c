/* Reads the request headers of all calls: see call_headers.h.  */

#include "call_headers.h"

#include "reply.h"
#include "ticket_io.h"

#define MAX_KEY_BYTES 255
/* Retry-After of a router that is at its limit of requests.  */
#define FULL_RETRY_US UINT64_C (1000000)
/* Longer deadlines are reduced to the service's own maximum in any case.  */
#define MAX_DEADLINE_MS (UINT64_C (24) * 3600 * 1000)

mq_span
mq_call_headers_bearer_token (const mq_http_exchange *exchange)
{
  const mq_span scheme = MQ_SPAN ("Bearer ");
  mq_span value = mq_http_exchange_header (exchange, "Authorization");

  if (value.size < scheme.size
      || g_ascii_strncasecmp (value.data, scheme.data, scheme.size) != 0)
    return (mq_span){ NULL, 0 };
  value.data += scheme.size;
  value.size -= scheme.size;
  return value;
}

static int
organisation_read (mq_router *router, mq_http_exchange *exchange,
                   mq_call *call)
{
  const mq_organisation *organisation;

  if (router->config == NULL || router->cut_off)
    {
      mq_reply_bad_request (
          router, exchange, MQ_REASON_NO_CONFIGURATION,
          router->cut_off ? "cut off from the platform and all peers" : NULL);
      return -1;
    }
  organisation = mq_config_organisation_by_token (
      router->config, mq_call_headers_bearer_token (exchange));
  if (organisation == NULL)
    {
      mq_reply_bad_request (router, exchange, MQ_REASON_UNAUTHENTICATED, NULL);
      return -1;
    }
  call->organisation = mq_str_span (organisation->name);
  return 0;
}

static int
deadline_read (mq_router *router, mq_http_exchange *exchange, mq_call *call)
{
  mq_span text
      = mq_http_exchange_header (exchange, "Marjoramquay-Deadline-Ms");
  uint64_t ms;

  if (text.data == NULL)
    return 0;
  if (text.size > 1 && text.data[0] == '-'
      && mq_span_to_u64 ((mq_span){ text.data + 1, text.size - 1 }, &ms) == 0)
    ms = 0;
  else if (mq_span_to_u64 (text, &ms) < 0)
    {
      mq_reply_bad_request (router, exchange, MQ_REASON_BAD_REQUEST,
                            "Marjoramquay-Deadline-Ms: expected milliseconds"
                            " from now as a whole number");
      return -1;
    }
  if (ms == 0)
    {
      mq_reply_bad_request (router, exchange, MQ_REASON_DEADLINE_PAST, NULL);
      return -1;
    }
  call->deadline_us = MIN (ms, MAX_DEADLINE_MS) * UINT64_C (1000);
  return 0;
}

static bool
key_is_valid (mq_span key)
{
  for (size_t i = 0; i < key.size; i++)
    if (key.data[i] <= ' ' || key.data[i] > '~')
      return false;
  return key.size > 0 && key.size <= MAX_KEY_BYTES;
}

static int
ticket_read (mq_router *router, mq_http_exchange *exchange, mq_span text,
             mq_call *call)
{
  call->guard = MQ_GUARD_TICKET;
  call->guard_value = mq_ticket_io_open (router->tickets, exchange,
                                         call->organisation, text);
  return call->guard_value.data == NULL ? -1 : 0;
}

static int
key_read (mq_router *router, mq_http_exchange *exchange, mq_span key,
          mq_call *call)
{
  if (!key_is_valid (key))
    {
      mq_reply_bad_request (router, exchange, MQ_REASON_BAD_REQUEST,
                            "Idempotency-Key: expected 1 to 255 visible ASCII"
                            " characters");
      return -1;
    }
  call->guard = MQ_GUARD_KEY;
  call->guard_value = key;
  return 0;
}

static int
guard_read (mq_router *router, mq_http_exchange *exchange, mq_call *call)
{
  mq_span ticket = mq_http_exchange_header (exchange, "Marjoramquay-Ticket");
  mq_span key = mq_http_exchange_header (exchange, "Idempotency-Key");

  if (ticket.data != NULL && key.data != NULL)
    {
      mq_reply_bad_request (router, exchange, MQ_REASON_BAD_REQUEST,
                            "expected Marjoramquay-Ticket or Idempotency-Key,"
                            " not both");
      return -1;
    }
  if (ticket.data != NULL)
    return ticket_read (router, exchange, ticket, call);
  if (key.data != NULL)
    return key_read (router, exchange, key, call);
  return 0;
}

/* Rejects the request if the router is at its limit of requests in flight.  */
static int
capacity_check (mq_router *router, mq_http_exchange *exchange)
{
  mq_reply_error error = { .outcome = MQ_OUTCOME_NOT_RUN,
                           .reason = MQ_REASON_OVERLOADED,
                           .retry_after_us = FULL_RETRY_US };

  if (g_hash_table_size (router->requests) < router->settings->requests)
    return 0;
  mq_reply_refuse (router, exchange, &error);
  return -1;
}

int
mq_call_headers_read (mq_router *router, mq_http_exchange *exchange,
                      mq_call *call)
{
  if (capacity_check (router, exchange) < 0)
    return -1;
  if (organisation_read (router, exchange, call) < 0)
    return -1;
  if (deadline_read (router, exchange, call) < 0)
    return -1;
  return guard_read (router, exchange, call);
}
