/* The gateway's listeners: clients' requests, readiness checks and discovery
   requests.

   A request that arrives before the configuration waits for it for a bounded
   time.  */

#include <mq/internal/gateway.h>

#include <mq/log.h>
#include <string.h>

#define STATUS_OK 200
#define STATUS_BAD_REQUEST 400
#define STATUS_UNAUTHORISED 401
#define STATUS_NOT_FOUND 404
#define STATUS_TOO_LARGE 413
#define STATUS_HEAD_TOO_LARGE 431

/* Retry-After of a router that drains or names no addresses.  */
#define UNREADY_RETRY_AFTER_MS 500

/* Addresses in one response of the directory.  */
#define MAX_DIRECTORY_ADDRESSES 64
/* A domain with fewer serving routers gives its clients remote ones too.  */
#define MIN_DOMAIN_ROUTERS 3
#define MS_PER_S 1000

void
mq_gateway_reply_text (mq_http_exchange *exchange, unsigned status,
                       const char *type, mq_span body)
{
  mq_http_header h = { MQ_SPAN ("Content-Type"), mq_span_from (type) };

  mq_http_exchange_reply (exchange, status, &h, 1, body);
}

void
mq_gateway_reply_status (mq_http_exchange *exchange, unsigned status,
                         unsigned retry_ms)
{
  char text[32];
  mq_http_header h = { MQ_SPAN ("Retry-After"), { text, 0 } };

  g_snprintf (text, sizeof text, "%u.%03u", retry_ms / MS_PER_S,
              retry_ms % MS_PER_S);
  h.value.size = strlen (text);
  mq_http_exchange_reply (exchange, status, &h, retry_ms > 0 ? 1 : 0,
                          MQ_SPAN (""));
}

void
mq_gateway_reply_unknown (mq_http_exchange *exchange, unsigned status,
                          const char *why)
{
  char *body = g_strdup_printf (
      "{\"error\":{\"code\":\"%s\",\"outcome\":\"unknown\"}}\n", why);

  mq_gateway_reply_text (exchange, status, "application/json",
                         mq_span_from (body));
  g_free (body);
}

/* Returns the value of the credential header, or an empty span when it is
   missing or repeated.  */
static mq_span
request_credential (const mq_gateway *gateway, mq_http_exchange *exchange)
{
  mq_span found = { NULL, 0 };
  size_t n;
  const mq_http_header *h = mq_http_exchange_headers (exchange, &n);
  mq_span name = mq_span_from (gateway->dialect->headers.credential);

  for (size_t i = 0; i < n; i++)
    {
      if (h[i].name.size != name.size
          || g_ascii_strncasecmp (h[i].name.data, name.data, name.size) != 0)
        continue;
      if (found.data != NULL)
        return (mq_span){ NULL, 0 };
      found = h[i].value;
    }
  return found;
}

/* Count and log that EXCHANGE is rejected with STATUS.  */
static void
note_refusal (mq_gateway *gateway, const mq_http_exchange *exchange,
              unsigned status, const char *why)
{
  mq_span id = mq_http_exchange_header (exchange,
                                        gateway->dialect->headers.request_id);
  mq_str *path = mq_str_new (mq_http_exchange_path (exchange));

  ++*gateway->counters.refused;
  mq_gateway_count_end (gateway, NULL, "refused", why, 0);
  mq_log (G_LOG_LEVEL_INFO, "request.refused",
          "request=%.*s status=%u why=%s path=%s version=%" G_GUINT64_FORMAT
          " store_age_ms=%" G_GUINT64_FORMAT,
          MQ_SPAN_ARG (id), status, why, mq_log_quote (mq_str_cstr (path)),
          gateway->routing ? gateway->routing->version : 0,
          mq_feed_age_ms (&gateway->routing_feed, mq_gateway_now_us ()));
  mq_str_unref (path);
}

/* The HTTP server rejects the request of EXCHANGE.  The status that
   libmicrohttpd gives is not known.  */
static void
note_rejected_head (mq_gateway *gateway, const mq_http_exchange *exchange)
{
  ++*gateway->counters.requests;
  if (mq_http_exchange_method (exchange).size == 0)
    note_refusal (gateway, exchange, 0, "head-unreadable");
  else if (mq_http_exchange_is_malformed (exchange))
    note_refusal (gateway, exchange, STATUS_BAD_REQUEST, "head-malformed");
  else
    note_refusal (gateway, exchange, STATUS_HEAD_TOO_LARGE, "head-too-large");
}

/* Reject EXCHANGE with STATUS, and with Retry-After unless RETRY_MS is 0.  */
static void
refuse_request_for (mq_gateway *gateway, mq_http_exchange *exchange,
                    unsigned status, unsigned retry_ms, const char *why)
{
  note_refusal (gateway, exchange, status, why);
  mq_gateway_reply_status (exchange, status, retry_ms);
}

static void
refuse_request (mq_gateway *gateway, mq_http_exchange *exchange,
                unsigned status, const char *why)
{
  refuse_request_for (
      gateway, exchange, status,
      status == MQ_STATUS_UNAVAILABLE ? UNREADY_RETRY_AFTER_MS : 0, why);
}

/* What the configuration in force says of a request.  */
typedef struct request_match
{
  const mq_route *route;
  const mq_route_organisation *organisation; /* NULL: anonymous.  */
  unsigned status; /* 0, or that with which it is refused ...  */
  const char *why; /* ... and why.  */
} request_match;

static request_match
match_request (const mq_gateway *gateway, mq_http_exchange *exchange)
{
  const mq_routing *r = gateway->routing;
  request_match m = { 0 };

  m.route = mq_routing_match (r, mq_http_exchange_header (exchange, "Host"),
                              mq_http_exchange_path (exchange));
  if (m.route == NULL)
    {
      m.status = STATUS_NOT_FOUND;
      m.why = "no-route";
      return m;
    }
  if (!mq_routing_has_keys (r))
    return m;
  m.organisation = mq_routing_find_organisation (
      r, request_credential (gateway, exchange));
  if (m.organisation == NULL && !m.route->anonymous)
    {
      m.status = STATUS_UNAUTHORISED;
      m.why = "unknown-key";
    }
  return m;
}

/* Route EXCHANGE, which arrived at ARRIVED_US, by the configuration in force.
 */
static void
route_request (mq_gateway *gateway, mq_http_exchange *exchange,
               uint64_t arrived_us)
{
  const mq_routing *r = gateway->routing;
  request_match m = match_request (gateway, exchange);

  if (m.status != 0)
    {
      refuse_request (gateway, exchange, m.status, m.why);
      return;
    }
  if (r->limits.body_bytes > 0
      && mq_http_exchange_body (exchange).size > r->limits.body_bytes)
    {
      refuse_request (gateway, exchange, STATUS_TOO_LARGE, "body-too-large");
      return;
    }
  mq_forward_start (gateway, exchange, m.route, m.organisation, arrived_us);
}

/* The HTTP server refuses the request of EXCHANGE, whose body is too large.
   The route and the key are what is wrong with it first.  */
static void
note_rejected_body (mq_gateway *gateway, mq_http_exchange *exchange)
{
  request_match m = { 0 };

  if (gateway->routing != NULL)
    m = match_request (gateway, exchange);
  if (m.status != 0)
    mq_http_exchange_set_rejection (exchange, m.status);
  ++*gateway->counters.requests;
  note_refusal (gateway, exchange, m.status != 0 ? m.status : STATUS_TOO_LARGE,
                m.status != 0 ? m.why : "body-too-large");
}

/* The HTTP server gives up the request of EXCHANGE, which has not arrived as a
   whole, for want of memory.  */
static void
note_evicted_request (mq_gateway *gateway, const mq_http_exchange *exchange)
{
  ++*gateway->counters.requests;
  note_refusal (gateway, exchange, MQ_STATUS_UNAVAILABLE, "no-memory");
}

/* ---- Requests that arrive before the configuration.  */

typedef struct early_request
{
  mq_http_exchange *exchange; /* One reference.  */
  uint64_t arrived_us;
} early_request;

static void
early_request_free (early_request *early)
{
  mq_http_exchange_unref (early->exchange);
  g_free (early);
}

static bool
knows_configuration (const mq_gateway *gateway)
{
  return gateway->routing != NULL && gateway->upstreams_known;
}

/* Returns true if EXCHANGE, which arrived at ARRIVED_US, may wait for the
   configuration at NOW_US.  WAITS: it does already.  None waits in a drain.
 */
static bool
may_wait_for_configuration (const mq_gateway *gateway,
                            const mq_http_exchange *exchange, bool waits,
                            uint64_t arrived_us, uint64_t now_us)
{
  uint64_t left_ms;

  if (gateway->mode != MQ_GATEWAY_SERVING)
    return false;
  if (mq_span_to_u64 (mq_http_exchange_header (
                          exchange, gateway->dialect->headers.time_left_ms),
                      &left_ms)
      != 0)
    left_ms = 0;
  return mq_gateway_view_may_wait_early (gateway, waits, arrived_us, left_ms,
                                         now_us);
}

/* Reject EXCHANGE, since the configuration is not known.  */
static void
refuse_early_request (mq_gateway *gateway, mq_http_exchange *exchange,
                      uint64_t now_us)
{
  bool serves = gateway->mode == MQ_GATEWAY_SERVING;

  refuse_request_for (gateway, exchange, MQ_STATUS_UNAVAILABLE,
                      serves ? mq_gateway_view_early_retry_ms (gateway, now_us)
                             : MQ_DRAIN_RETRY_AFTER_MS,
                      serves ? "no-configuration" : "draining");
}

static void
early_request_add (mq_gateway *gateway, mq_http_exchange *exchange,
                   uint64_t now_us)
{
  early_request *e = g_new (early_request, 1);

  e->exchange = mq_http_exchange_ref (exchange);
  e->arrived_us = now_us;
  g_queue_push_tail (&gateway->early_requests, e);
}

/* Drop the request of EXCHANGE, whose client has disconnected.  */
static void
early_request_remove (mq_gateway *gateway, const mq_http_exchange *exchange)
{
  for (GList *l = gateway->early_requests.head; l != NULL; l = l->next)
    {
      early_request *e = l->data;

      if (e->exchange != exchange)
        continue;
      g_queue_delete_link (&gateway->early_requests, l);
      early_request_free (e);
      return;
    }
}

void
mq_gateway_route_early_requests (mq_gateway *gateway, uint64_t now_us)
{
  GQueue *q = &gateway->early_requests;
  bool known = knows_configuration (gateway);
  GList *next;

  for (GList *l = q->head; l != NULL; l = next)
    {
      early_request *e = l->data;

      next = l->next;
      if (!known
          && may_wait_for_configuration (gateway, e->exchange, true,
                                         e->arrived_us, now_us))
        continue;
      g_queue_delete_link (q, l);
      if (known)
        route_request (gateway, e->exchange, e->arrived_us);
      else
        refuse_early_request (gateway, e->exchange, now_us);
      early_request_free (e);
    }
}

void
mq_gateway_free_early_requests (mq_gateway *gateway)
{
  early_request *e;

  while ((e = g_queue_pop_head (&gateway->early_requests)) != NULL)
    {
      note_refusal (gateway, e->exchange, 0, "stopped");
      early_request_free (e);
    }
}

static void
handle_request (mq_gateway *gateway, mq_http_exchange *exchange)
{
  uint64_t now = mq_gateway_now_us ();

  ++*gateway->counters.requests;
  if (knows_configuration (gateway))
    route_request (gateway, exchange, now);
  else if (may_wait_for_configuration (gateway, exchange, false, now, now))
    early_request_add (gateway, exchange, now);
  else
    refuse_early_request (gateway, exchange, now);
}

void
mq_gateway_on_client (void *context, const mq_http_server_event *event)
{
  mq_forward *f = mq_http_exchange_user (event->exchange);

  switch (event->kind)
    {
    case MQ_HTTP_SERVER_REQUEST:
      handle_request (context, event->exchange);
      break;
    case MQ_HTTP_SERVER_DRAINED:
      if (f != NULL)
        mq_forward_note_drained (f);
      break;
    case MQ_HTTP_SERVER_DISCONNECTED:
      if (f != NULL)
        mq_forward_cancel (f);
      else
        early_request_remove (context, event->exchange);
      break;
    case MQ_HTTP_SERVER_BODY_REJECTED:
      note_rejected_body (context, event->exchange);
      break;
    case MQ_HTTP_SERVER_EVICTED:
      note_evicted_request (context, event->exchange);
      break;
    case MQ_HTTP_SERVER_HEAD_REJECTED:
      note_rejected_head (context, event->exchange);
      break;
    }
}

void
mq_gateway_on_readiness (void *context, const mq_http_server_event *event)
{
  mq_gateway *g = context;
  mq_span path;

  if (event->kind != MQ_HTTP_SERVER_REQUEST)
    return;
  path = mq_http_exchange_path (event->exchange);
  if (!mq_span_equal (path, mq_span_from (g->dialect->ready_path)))
    mq_gateway_reply_status (event->exchange, STATUS_NOT_FOUND, 0);
  else
    mq_gateway_reply_status (
        event->exchange,
        mq_gateway_is_ready (g) ? STATUS_OK : MQ_STATUS_UNAVAILABLE, 0);
}

/* Add to the N ADDRESSES those of ROUTERS (mq_gossip_router) that CHOSEN
   marks. Returns their new number.  */
static size_t
addresses_add (mq_span *addresses, size_t n, const GArray *routers,
               const bool *chosen)
{
  for (guint i = 0; i < routers->len && n < MAX_DIRECTORY_ADDRESSES; i++)
    if (chosen[i])
      addresses[n++] = g_array_index (routers, mq_gossip_router, i).client;
  return n;
}

/* Fill ADDRESSES with a random sample of SERVING (mq_gossip_router), weighted
   by capacity.  Returns their number.  */
static size_t
addresses_sample (mq_gateway *gateway, mq_span *addresses,
                  const GArray *serving)
{
  unsigned *capacities = g_new (unsigned, serving->len + 1);
  bool *chosen = g_new0 (bool, serving->len + 1);
  size_t n;

  for (guint i = 0; i < serving->len; i++)
    capacities[i] = g_array_index (serving, mq_gossip_router, i).capacity;
  (void)mq_serving_sample (capacities, serving->len, MAX_DIRECTORY_ADDRESSES,
                           mq_gateway_random (gateway), chosen);
  n = addresses_add (addresses, 0, serving, chosen);
  g_free (chosen);
  g_free (capacities);
  return n;
}

/* Fill ADDRESSES with those of serving routers of this failure domain, and of
   others when it has too few for a client to fail over.  Returns their number.
 */
static size_t
directory_addresses (mq_gateway *gateway, mq_span *addresses)
{
  GArray *serving = g_array_new (FALSE, FALSE, sizeof (mq_gossip_router));
  GArray *remote = g_array_new (FALSE, FALSE, sizeof (mq_gossip_router));
  size_t n;

  gateway->cluster.self.ready = mq_gateway_is_ready (gateway);
  mq_cluster_list_serving (&gateway->cluster, serving, remote,
                           mq_gateway_now_us ());
  n = addresses_sample (gateway, addresses, serving);
  for (guint i = 0; n < MAX_DIRECTORY_ADDRESSES
                    && serving->len < MIN_DOMAIN_ROUTERS && i < remote->len;
       i++)
    addresses[n++] = g_array_index (remote, mq_gossip_router, i).client;
  g_array_unref (serving);
  g_array_unref (remote);
  return n;
}

void
mq_gateway_on_directory (void *context, const mq_http_server_event *event)
{
  mq_gateway *g = context;
  mq_span addresses[MAX_DIRECTORY_ADDRESSES];
  GString *out;
  size_t n;
  unsigned ttl_s = (unsigned)(g->settings->directory_ttl_ms / MS_PER_S);

  if (event->kind != MQ_HTTP_SERVER_REQUEST)
    return;
  if (!mq_span_equal (mq_http_exchange_path (event->exchange),
                      mq_span_from (g->dialect->resolve_path)))
    {
      mq_gateway_reply_status (event->exchange, STATUS_NOT_FOUND, 0);
      return;
    }
  n = directory_addresses (g, addresses);
  if (n == 0)
    {
      mq_gateway_reply_status (event->exchange, MQ_STATUS_UNAVAILABLE,
                               UNREADY_RETRY_AFTER_MS);
      return;
    }
  out = g_string_new (NULL);
  g->dialect->resolve_encode (addresses, n, MAX (ttl_s, 1), out);
  mq_gateway_reply_text (event->exchange, STATUS_OK, "application/json",
                         (mq_span){ out->str, out->len });
  g_string_free (out, TRUE);
}
