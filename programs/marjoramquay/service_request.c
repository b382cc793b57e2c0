/* Calls of plain services: see service_request.h.  */

#include "service_request.h"

#include "call_headers.h"
#include "reply.h"

#include <mq/content_hash.h>
#include <mq/element.h>
#include <string.h>

/* End-to-end headers that are forwarded to the service.  The client's own
   credentials are not.  */
static const char *const forwarded_headers[]
    = { "Content-Type",    "Accept",   "Accept-Language",
        "Idempotency-Key", "If-Match", "If-None-Match" };

static uint64_t
service_content (const mq_call *call, mq_http_exchange *exchange)
{
  const mq_span texts[] = { call->organisation,
                            call->service,
                            call->method,
                            call->path,
                            mq_http_exchange_query_string (exchange),
                            mq_http_exchange_body (exchange) };

  return mq_element_of_content (mq_content_hash (texts, G_N_ELEMENTS (texts)));
}

/* The path is copied, without the service's prefix; the exchange holds the
   query and the body.  */
void
mq_service_request_start (mq_router *router, mq_http_exchange *exchange)
{
  mq_entry_event event = { .kind = MQ_ENTRY_CALL };
  mq_span path = mq_http_exchange_path (exchange);
  mq_span body = mq_http_exchange_body (exchange);
  const char *slash;
  mq_span name;
  mq_active_request *r;

  if (mq_call_headers_read (router, exchange, &event.u.call) < 0)
    return;
  path.data += strlen (MQ_SERVICES_PATH);
  path.size -= strlen (MQ_SERVICES_PATH);
  slash = path.size == 0 ? NULL : memchr (path.data, '/', path.size);
  name = (mq_span){ path.data,
                    slash == NULL ? path.size : (size_t)(slash - path.data) };
  r = mq_active_request_new (router, MQ_ACTIVE_REQUEST_SERVICE, exchange);
  r->u.service.path
      = slash == NULL ? mq_str_new (MQ_SPAN ("/"))
                      : mq_str_new ((mq_span){ slash, path.size - name.size });
  event.handle = r->handle;
  event.u.call.handle = r->handle;
  event.u.call.service = name;
  event.u.call.priority = -1;
  event.u.call.body_hash = mq_span_hash (body);
  event.u.call.method = mq_http_exchange_method (exchange);
  event.u.call.path = mq_str_span (r->u.service.path);
  event.u.call.content = service_content (&event.u.call, exchange);
  mq_router_post (router, &event);
}

/* Copies the service's reply, which is kept until the entry ends the request.
 */
static void
reply_keep (mq_service_request *service, const mq_plain_call_event *event)
{
  service->status = event->u.reply.status;
  service->body = g_string_new_len (event->u.reply.body.data,
                                    (gssize)event->u.reply.body.size);
  service->n_headers = event->u.reply.n_headers;
  for (size_t i = 0; i < service->n_headers; i++)
    {
      mq_span value = event->u.reply.headers[i].value;

      service->headers[i].name = event->u.reply.headers[i].name;
      service->headers[i].value.data = g_strndup (value.data, value.size);
      service->headers[i].value.size = value.size;
    }
}

/* The post may free the request, so nothing uses it afterwards.  */
static void
service_on_call (void *context, const mq_plain_call_event *from)
{
  mq_active_request *request = context;
  mq_service_request *service = &request->u.service;
  mq_entry_event event
      = { .handle = request->handle, .attempt = service->attempt };

  service->call = NULL;
  switch (from->kind)
    {
    case MQ_PLAIN_CALL_REPLY:
      reply_keep (service, from);
      event.kind = MQ_ENTRY_REPLY;
      event.u.status = from->u.reply.status;
      break;
    case MQ_PLAIN_CALL_FAILED:
      ++*request->router->counters.upstream_failures;
      event.kind = MQ_ENTRY_SEND_FAILED;
      event.u.failure = from->u.failure;
      break;
    }
  mq_router_post (request->router, &event);
}

static size_t
headers_collect (const mq_http_exchange *exchange, mq_http_header *headers)
{
  size_t n = 0;

  for (size_t i = 0; i < G_N_ELEMENTS (forwarded_headers); i++)
    {
      mq_span value = mq_http_exchange_header (exchange, forwarded_headers[i]);

      if (value.data == NULL)
        continue;
      headers[n].name = mq_span_from (forwarded_headers[i]);
      headers[n].value = value;
      n++;
    }
  return n;
}

void
mq_service_request_send (mq_active_request *request,
                         const mq_entry_action *action)
{
  mq_service_request *service = &request->u.service;
  mq_http_header headers[G_N_ELEMENTS (forwarded_headers)];
  mq_plain_call_options options
      = { .method = mq_http_exchange_method (request->exchange),
          .instance = action->u.send.url,
          .path = mq_str_span (service->path),
          .query = mq_http_exchange_query_string (request->exchange),
          .request = mq_span_from (request->id),
          .headers = headers,
          .n_headers = headers_collect (request->exchange, headers),
          .body = mq_http_exchange_body (request->exchange),
          .deadline_us = action->u.send.deadline_us,
          .body_limit = request->router->settings->body_bytes };

  g_assert (service->call == NULL);
  request->sent = true;
  service->attempt = action->attempt;
  service->call = mq_plain_call_new (request->router->client, &options,
                                     service_on_call, request);
  ++*request->router->counters.attempts;
}

void
mq_service_request_cancel_send (mq_active_request *request,
                                const mq_entry_action *action)
{
  mq_service_request *service = &request->u.service;

  if (service->call != NULL && service->attempt == action->attempt)
    g_clear_pointer (&service->call, mq_plain_call_cancel);
}

void
mq_service_request_accept_reply (mq_active_request *request)
{
  request->u.service.reply_accepted = true;
}

static void
reply_forward (mq_active_request *request, mq_outcome outcome)
{
  mq_service_request *service = &request->u.service;
  mq_http_header headers[MQ_PLAIN_CALL_MAX_HEADERS + 2];
  size_t n = service->n_headers;

  memcpy (headers, service->headers, n * sizeof *headers);
  headers[n].name = MQ_SPAN ("Marjoramquay-Outcome");
  headers[n++].value = mq_span_from (mq_outcome_name (outcome));
  headers[n].name = MQ_SPAN ("Marjoramquay-Request");
  headers[n++].value = mq_span_from (request->id);
  mq_http_exchange_reply (request->exchange, service->status, headers, n,
                          (mq_span){ service->body->str, service->body->len });
}

void
mq_service_request_end (mq_active_request *request,
                        const mq_entry_action *action)
{
  mq_reply_error error = { .outcome = action->u.end.outcome,
                           .reason = action->u.end.reason,
                           .request = request->id,
                           .retry_after_us = action->u.end.retry_after_us };

  mq_histogram_observe (request->router->counters.service,
                        mq_router_now_us () - request->started_us);
  if (request->u.service.reply_accepted && request->u.service.body != NULL)
    reply_forward (request, action->u.end.outcome);
  else
    mq_reply_with_error (request->exchange, &error);
}
