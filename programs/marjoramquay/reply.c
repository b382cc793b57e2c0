/* Responses of the router itself: see reply.h.  */

#include "reply.h"

#include <mq/json_text.h>
#include <stdio.h>

#define MAX_HEADERS 6

static const char *const reason_texts[] = {
  [MQ_REASON_NONE] = "no reason",
  [MQ_REASON_BAD_REQUEST] = "the request is malformed",
  [MQ_REASON_UNAUTHENTICATED] = "no organisation has this bearer token",
  [MQ_REASON_UNKNOWN_SERVICE] = "there is no such model or service",
  [MQ_REASON_KEY_MISMATCH] = "this Idempotency-Key came with another body",
  [MQ_REASON_KEY_IN_FLIGHT]
  = "the first call with this Idempotency-Key still runs",
  [MQ_REASON_KEY_SPENT] = "the call with this Idempotency-Key has ended",
  [MQ_REASON_WRONG_ROUTER] = "the ticket belongs to another router",
  [MQ_REASON_TICKET_SPENT] = "the ticket was used before",
  [MQ_REASON_TICKET_INVALID] = "the ticket is not valid",
  [MQ_REASON_DEADLINE_PAST] = "the deadline has passed already",
  [MQ_REASON_DEADLINE_UNREACHABLE]
  = "the answer could not be whole before the deadline",
  [MQ_REASON_DEADLINE_MISSED]
  = "the answer did not become whole before the deadline",
  [MQ_REASON_OVERLOADED] = "there is too much work already",
  [MQ_REASON_ORGANISATION_LIMIT] = "the organisation is at its limit",
  [MQ_REASON_NO_PIPELINE] = "no engine holds some layers of the model",
  [MQ_REASON_NO_CONFIGURATION] = "this router has no configuration yet",
  [MQ_REASON_LEAVING] = "this router is leaving and takes no new work",
  [MQ_REASON_PLATFORM_UNAVAILABLE]
  = "the platform did not confirm the Idempotency-Key",
  [MQ_REASON_QUARANTINED] = "upstreams ended under this request",
  [MQ_REASON_UPSTREAM_FAILED] = "the upstream failed",
  [MQ_REASON_UPSTREAM_REFUSED] = "the upstream refused",
  [MQ_REASON_CALLER_GONE] = "the caller went away",
};

const char *
mq_reply_reason_text (mq_reason reason)
{
  if ((size_t)reason >= G_N_ELEMENTS (reason_texts)
      || reason_texts[reason] == NULL)
    return mq_reason_code (reason);
  return reason_texts[reason];
}

void
mq_reply_error_append (GString *out, const mq_reply_error *error)
{
  g_string_append (out, "{\"error\":{");
  mq_json_text_member (out, "code",
                       mq_span_from (mq_reason_code (error->reason)));
  mq_json_text_member (out, "reason",
                       mq_span_from (mq_reply_reason_text (error->reason)));
  if (error->detail != NULL)
    mq_json_text_member (out, "detail", mq_span_from (error->detail));
  mq_json_text_member (out, "outcome",
                       mq_span_from (mq_outcome_name (error->outcome)));
  mq_json_text_member (out, "request", mq_span_from (error->request));
  if (error->retry_after_us > 0)
    mq_json_text_number (out, "retry_after_ms",
                         (error->retry_after_us + 999) / 1000);
  if (error->redirect_address != NULL)
    mq_json_text_member (out, "router",
                         mq_span_from (error->redirect_address));
  g_string_append (out, "}}");
}

void
mq_reply_with_error (mq_http_exchange *exchange, const mq_reply_error *error)
{
  GString *body = g_string_new (NULL);
  mq_http_header headers[MAX_HEADERS];
  size_t n = 0;
  char retry[24];

  mq_reply_error_append (body, error);
  g_string_append_c (body, '\n');
  headers[n++] = (mq_http_header){ MQ_SPAN ("Content-Type"),
                                   MQ_SPAN ("application/json") };
  headers[n++]
      = (mq_http_header){ MQ_SPAN ("Marjoramquay-Outcome"),
                          mq_span_from (mq_outcome_name (error->outcome)) };
  if (error->request != NULL && *error->request != '\0')
    headers[n++] = (mq_http_header){ MQ_SPAN ("Marjoramquay-Request"),
                                     mq_span_from (error->request) };
  if (error->retry_after_us > 0)
    {
      uint64_t seconds
          = (error->retry_after_us + G_USEC_PER_SEC - 1) / G_USEC_PER_SEC;

      (void)snprintf (retry, sizeof retry, "%" G_GUINT64_FORMAT, seconds);
      headers[n++]
          = (mq_http_header){ MQ_SPAN ("Retry-After"), mq_span_from (retry) };
    }
  if (error->redirect_address != NULL)
    headers[n++] = (mq_http_header){ MQ_SPAN ("Marjoramquay-Router"),
                                     mq_span_from (error->redirect_address) };
  if (error->reason == MQ_REASON_UNAUTHENTICATED)
    headers[n++]
        = (mq_http_header){ MQ_SPAN ("WWW-Authenticate"), MQ_SPAN ("Bearer") };
  mq_http_exchange_reply (exchange, mq_reason_status (error->reason), headers,
                          n, (mq_span){ body->str, body->len });
  g_string_free (body, TRUE);
}

void
mq_reply_stream_error (mq_http_exchange *exchange, const mq_reply_error *error)
{
  GString *event = g_string_new ("data: ");

  mq_reply_error_append (event, error);
  g_string_append (event, "\n\n");
  mq_http_exchange_write (exchange, (mq_span){ event->str, event->len });
  g_string_free (event, TRUE);
  mq_http_exchange_end (exchange);
}

void
mq_reply_refuse (mq_router *router, mq_http_exchange *exchange,
                 const mq_reply_error *error)
{
  mq_reply_error e = *error;
  char id[MQ_REQUEST_ID_SIZE];

  mq_router_format_handle (router, ++router->last_handle, id);
  e.request = id;
  ++*router->counters.bad_requests;
  mq_reply_with_error (exchange, &e);
}

void
mq_reply_bad_request (mq_router *router, mq_http_exchange *exchange,
                      mq_reason reason, const char *detail)
{
  mq_reply_error error
      = { .outcome = MQ_OUTCOME_NOT_RUN, .reason = reason, .detail = detail };

  mq_reply_refuse (router, exchange, &error);
}

void
mq_reply_json (mq_http_exchange *exchange, unsigned status,
               const GString *json)
{
  mq_http_header type
      = { MQ_SPAN ("Content-Type"), MQ_SPAN ("application/json") };

  mq_http_exchange_reply (exchange, status, &type, 1,
                          (mq_span){ json->str, json->len });
}

void
mq_reply_text (mq_http_exchange *exchange, unsigned status, mq_span text)
{
  mq_http_header type
      = { MQ_SPAN ("Content-Type"), MQ_SPAN ("text/plain; version=0.0.4") };

  mq_http_exchange_reply (exchange, status, &type, 1, text);
}
