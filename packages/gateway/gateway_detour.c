/* Sends through other routers, and tunnels for them.

   While this router does not reach a service (mq/reach.h), its calls to the
   upstreams of the service go through tunnels of other routers.  Only the
   connection is theirs: this router still decides about each request, so that
   its attempts, time and retry budget are counted in one place.  */

#include <mq/internal/gateway_detour.h>

#include <mq/internal/gateway_reach.h>
#include <string.h>

/* For a connection from here to an upstream on behalf of another router, which
   waits somewhat longer.  */
#define CONNECT_TIMEOUT_MS 150
/* Tunnels at a time, as a share of the client connections: each takes two
   descriptors.  */
#define TUNNEL_SHARE 4
#define DEFAULT_MAX_TUNNELS 1024

/* ---- Tunnels for others.  */

/* Of type mq_tunnel_check.  */
static unsigned
tunnel_check (void *context, mq_span address)
{
  const mq_gateway *g = context;
  const mq_upstream *u = mq_registry_find_address (&g->registry, address);

  if (u == NULL)
    return MQ_TUNNEL_FORBIDDEN;
  if (!mq_gateway_drain_takes_unknown (g, mq_gateway_now_us ())
      || mq_gateway_is_isolated (g, u))
    return MQ_TUNNEL_UNAVAILABLE;
  return 0;
}

/* Of type mq_tunnel_failure_sink.  */
static void
on_tunnel_failure (void *context, mq_span address)
{
  mq_gateway *g = context;
  const mq_upstream *u = mq_registry_find_address (&g->registry, address);

  if (u != NULL)
    mq_gateway_reach_suspect (g, u);
}

int
mq_gateway_tunnels_start (mq_gateway *gateway, GError **error)
{
  const mq_gateway_settings *s = gateway->settings;
  GError *cause = NULL;
  mq_tunnel_server_options o
      = { .address = mq_str_span (s->tunnels.address),
          .port = s->tunnels.port,
          .tunnels = s->max_connections > 0
                         ? MAX (s->max_connections / TUNNEL_SHARE, 1)
                         : DEFAULT_MAX_TUNNELS,
          .connect_ms = CONNECT_TIMEOUT_MS,
          .check = tunnel_check,
          .on_failure = on_tunnel_failure,
          .context = gateway };

  gateway->tunnels = mq_tunnel_server_new (gateway->loop, &o, &cause);
  if (gateway->tunnels != NULL)
    return 0;
  g_set_error_literal (error, MQ_GATEWAY_ERROR, MQ_GATEWAY_ERROR_LISTEN,
                       cause->message);
  g_error_free (cause);
  return -1;
}

/* ---- Detours of this router.  */

/* Returns the routers that open tunnels to UPSTREAM (mq_gossip_router).  Free
   with g_array_unref.  */
static GArray *
detour_routers (const mq_gateway *gateway, const mq_upstream *upstream,
                uint64_t now_us)
{
  GArray *routers = g_array_new (FALSE, FALSE, sizeof (mq_gossip_router));

  mq_cluster_list_tunnels (
      &gateway->cluster, mq_span_hash (mq_str_span (upstream->facts.service)),
      routers, now_us);
  return routers;
}

/* Returns the address at which ROUTER opens tunnels.  Free with mq_str_unref.
 */
static mq_str *
detour_address (const mq_gossip_router *router)
{
  mq_span client = router->client;
  const char *colon
      = client.size > 0 ? memrchr (client.data, ':', client.size) : NULL;
  mq_span host = { client.data, colon != NULL ? (size_t)(colon - client.data)
                                              : client.size };

  return mq_str_printf ("%.*s:%u", MQ_SPAN_ARG (host), router->tunnel_port);
}

/* Append to CANDIDATES (mq_detour_candidate) the routers through which
   UPSTREAM can be reached.  Their addresses are added to ADDRESSES (mq_str).
 */
static void
detour_list (const mq_gateway *gateway, const mq_upstream *upstream,
             GArray *candidates, GPtrArray *addresses, uint64_t now_us)
{
  GArray *routers = detour_routers (gateway, upstream, now_us);

  for (guint i = 0; i < routers->len; i++)
    {
      const mq_gossip_router *r
          = &g_array_index (routers, mq_gossip_router, i);
      mq_detour_candidate c
          = { .capacity = r->capacity,
              .near = mq_span_equal (r->domain,
                                     mq_str_span (upstream->facts.domain)) };
      mq_str *address = detour_address (r);

      c.address = mq_str_span (address);
      g_ptr_array_add (addresses, address);
      g_array_append_val (candidates, c);
    }
  g_array_unref (routers);
}

mq_detour *
mq_gateway_choose_detour (mq_gateway *gateway, const mq_upstream *upstream,
                          uint64_t now_us)
{
  GArray *c;
  GPtrArray *addresses;
  mq_detour *chosen;

  if (!mq_gateway_is_isolated (gateway, upstream))
    return NULL;
  c = g_array_new (FALSE, FALSE, sizeof (mq_detour_candidate));
  addresses = g_ptr_array_new_with_free_func ((GDestroyNotify)mq_str_unref);
  detour_list (gateway, upstream, c, addresses, now_us);
  chosen = mq_detour_choose (&gateway->detours,
                             (const mq_detour_candidate *)(void *)c->data,
                             c->len, mq_gateway_random (gateway), now_us);
  if (chosen != NULL)
    ++*gateway->counters.detours;
  g_ptr_array_unref (addresses);
  g_array_unref (c);
  return chosen;
}

bool
mq_gateway_has_detour (const mq_gateway *gateway, const mq_upstream *upstream,
                       uint64_t now_us)
{
  GArray *routers;
  bool found;

  if (!mq_gateway_is_isolated (gateway, upstream))
    return false;
  routers = detour_routers (gateway, upstream, now_us);
  found = routers->len > 0;
  g_array_unref (routers);
  return found;
}

bool
mq_gateway_tunnel_blames_upstream (unsigned status)
{
  return status == MQ_TUNNEL_UNREACHABLE || status == MQ_TUNNEL_NO_REPLY;
}

bool
mq_gateway_note_detour_failure (mq_detour *detour,
                                const mq_http_client_event *event)
{
  if (mq_gateway_tunnel_blames_upstream (event->tunnel_status))
    return true;
  /* A call that timed out had a tunnel, and so had one that broke later.  Of
     these, only the second shows that its router may be gone.  */
  if (event->result != MQ_HTTP_TIMEOUT)
    mq_detour_failed (detour, mq_gateway_now_us ());
  return false;
}

bool
mq_gateway_detour_is_lost (const mq_gateway *gateway, const mq_detour *detour,
                           const mq_upstream *upstream, uint64_t now_us)
{
  GArray *routers = detour_routers (gateway, upstream, now_us);
  bool found = false;

  for (guint i = 0; i < routers->len && !found; i++)
    {
      mq_str *address
          = detour_address (&g_array_index (routers, mq_gossip_router, i));

      found = mq_span_equal (mq_str_span (address),
                             mq_str_span (detour->address));
      mq_str_unref (address);
    }
  g_array_unref (routers);
  return !found;
}
