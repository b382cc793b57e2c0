/* Dispatches HTTP requests: see routes.h.  */

#include "routes.h"

#include "completion.h"
#include "entries.h"
#include "explain.h"
#include "operators.h"
#include "reply.h"
#include "service_request.h"
#include "status.h"

#include <mq/log.h>

typedef void (*route_handler) (mq_router *router, mq_http_exchange *exchange);

typedef struct route
{
  const char *method; /* NULL: any.  */
  const char *path;   /* A prefix if it ends in '/'.  */
  route_handler handler;
} route;

static const route routes[] = {
  { "POST", "/v1/completions", mq_completion_start },
  { NULL, MQ_SERVICES_PATH, mq_service_request_start },
  { "GET", "/v1/entries", mq_entries_show },
  { "GET", "/v1/status", mq_status_show },
  { "GET", MQ_EXPLAIN_PATH, mq_explain_show },
  { "POST", "/v1/drain", mq_operators_drain },
  { "GET", "/healthz", mq_status_health },
  { "GET", "/readyz", mq_status_ready },
  { "GET", "/metrics", mq_status_metrics },
};

static bool
path_matches (const route *r, mq_span path)
{
  mq_span own = mq_span_from (r->path);

  if (own.data[own.size - 1] == '/')
    return path.size > own.size && mq_span_starts_with (path, own);
  return mq_span_equal (path, own);
}

static void
reply_not_found (mq_http_exchange *exchange)
{
  mq_reply_error error = { .outcome = MQ_OUTCOME_NOT_RUN,
                           .reason = MQ_REASON_UNKNOWN_SERVICE,
                           .detail = "no such path" };

  mq_reply_with_error (exchange, &error);
}

static void
reply_wrong_method (mq_http_exchange *exchange, const char *allowed)
{
  const mq_http_header headers[]
      = { { MQ_SPAN ("Content-Type"), MQ_SPAN ("application/json") },
          { MQ_SPAN ("Allow"), mq_span_from (allowed) } };
  mq_reply_error error = { .outcome = MQ_OUTCOME_NOT_RUN,
                           .reason = MQ_REASON_BAD_REQUEST,
                           .detail = "this path does not take this method" };
  GString *body = g_string_new (NULL);

  mq_reply_error_append (body, &error);
  mq_http_exchange_reply (exchange, 405, headers, G_N_ELEMENTS (headers),
                          (mq_span){ body->str, body->len });
  g_string_free (body, TRUE);
}

static void
route_request (mq_router *router, mq_http_exchange *exchange)
{
  mq_span path = mq_http_exchange_path (exchange);
  mq_span method = mq_http_exchange_method (exchange);

  for (size_t i = 0; i < G_N_ELEMENTS (routes); i++)
    {
      const route *r = &routes[i];

      if (!path_matches (r, path))
        continue;
      if (r->method == NULL
          || mq_span_equal (method, mq_span_from (r->method)))
        r->handler (router, exchange);
      else
        reply_wrong_method (exchange, r->method);
      return;
    }
  reply_not_found (exchange);
}

static void
client_disconnected (mq_active_request *request)
{
  mq_entry_event event
      = { .kind = MQ_ENTRY_CALLER_DISCONNECTED, .handle = request->handle };

  mq_router_post (request->router, &event);
}

static void
log_rejected_head (const mq_http_exchange *exchange)
{
  mq_log (G_LOG_LEVEL_INFO, "http.head-rejected", "peer=%.*s",
          MQ_SPAN_ARG (mq_http_exchange_peer (exchange)));
}

/* The HTTP server refuses a request before it is complete.  */
static void
log_refused_body (const mq_http_exchange *exchange, const char *why)
{
  mq_log (G_LOG_LEVEL_INFO, "http.refused", "peer=%.*s why=%s",
          MQ_SPAN_ARG (mq_http_exchange_peer (exchange)), why);
}

void
mq_routes_on_http (void *context, const mq_http_server_event *event)
{
  mq_router *router = context;
  mq_active_request *request = mq_http_exchange_user (event->exchange);

  switch (event->kind)
    {
    case MQ_HTTP_SERVER_REQUEST:
      route_request (router, event->exchange);
      break;
    case MQ_HTTP_SERVER_DRAINED:
      if (request != NULL && request->kind == MQ_ACTIVE_REQUEST_COMPLETION)
        mq_completion_on_drained (request);
      break;
    case MQ_HTTP_SERVER_DISCONNECTED:
      if (request != NULL)
        client_disconnected (request);
      break;
    case MQ_HTTP_SERVER_BODY_REJECTED:
      log_refused_body (event->exchange, "body-too-large");
      break;
    case MQ_HTTP_SERVER_EVICTED:
      log_refused_body (event->exchange, "no-memory");
      break;
    case MQ_HTTP_SERVER_HEAD_REJECTED:
      log_rejected_head (event->exchange);
      break;
    }
}
