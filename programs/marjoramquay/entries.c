/* Discovery requests: see entries.h.  */

#include "entries.h"

#include <mq/json_text.h>

#include "call_headers.h"
#include "fleet_node.h"
#include "reply.h"
#include "ticket_io.h"

#define DEFAULT_TTL_MS 5000
#define MAX_WEIGHT 1000

static const mq_organisation *
organisation_find (const mq_router *router, const mq_http_exchange *exchange)
{
  if (router->config == NULL)
    return NULL;
  return mq_config_organisation_by_token (
      router->config, mq_call_headers_bearer_token (exchange));
}

static void
entry_append (GString *out, mq_span vm, mq_span address, mq_span domain,
              uint32_t weight)
{
  g_string_append (out, out->str[out->len - 1] == '[' ? "{" : ",{");
  mq_json_text_member (out, "vm", vm);
  mq_json_text_member (out, "address", address);
  mq_json_text_member (out, "failure_domain", domain);
  mq_json_text_number (out, "weight", weight);
  g_string_append_c (out, '}');
}

static void
self_append (const mq_router *router, GString *out)
{
  const mq_settings *s = router->settings;
  char *address = mq_router_client_address (router);

  entry_append (out, mq_str_span (s->name), mq_span_from (address),
                mq_str_span (s->failure_domain), MAX_WEIGHT);
  g_free (address);
}

/* Returns ORGANISATION's share of the sum of all organisations' weights.  */
static double
organisation_share (const mq_config *config,
                    const mq_organisation *organisation)
{
  double sum = 0;

  for (guint i = 0; i < config->organisations->len; i++)
    sum += g_array_index (config->organisations, mq_organisation, i).weight;
  return sum > 0 ? organisation->weight / sum : 1;
}

/* Returns the hash that determines the order of routers for this client.  It
   is the same each time for a client that gives its name, else random.  */
static uint64_t
client_hash (const mq_http_exchange *exchange)
{
  mq_span name = mq_http_exchange_query (exchange, "caller");

  if (name.size > 0)
    return mq_hash_mix (mq_span_hash (name),
                        mq_span_hash (mq_http_exchange_peer (exchange)));
  return ((uint64_t)g_random_int () << 32) | g_random_int ();
}

static void
discovery_read (const mq_router *router, const mq_http_exchange *exchange,
                mq_discovery *discovery)
{
  const mq_organisation *o = organisation_find (router, exchange);

  *discovery
      = (mq_discovery){ .organisation_share = 1, .ttl_ms = DEFAULT_TTL_MS };
  if (o != NULL)
    {
      discovery->organisation = mq_str_span (o->name);
      discovery->organisation_share = organisation_share (router->config, o);
    }
  if (router->config != NULL)
    discovery->ttl_ms = router->config->policy.discovery_ttl_ms;
  discovery->failure_domain = mq_http_exchange_query (exchange, "near");
  discovery->caller = client_hash (exchange);
}

/* Appends the routers of REPLY.  Only the router that mints a ticket accepts
   it, so a reply with tickets lists this router first.  */
static void
entries_append (const mq_router *router, const mq_http_exchange *exchange,
                const mq_discovery_reply *reply, GString *out)
{
  bool serving = router->mode == MQ_ROUTER_SERVING;
  bool first
      = serving && mq_http_exchange_query (exchange, "tickets").size > 0;
  mq_span self = mq_str_span (router->settings->name);

  mq_json_text_key (out, "entries");
  g_string_append_c (out, '[');
  if (first || (serving && mq_fleet_node_fleet (router->fleet) == NULL))
    self_append (router, out);
  for (uint32_t i = 0; i < reply->n; i++)
    {
      const mq_discovery_entry *e = &reply->entries[i];

      if (first && mq_span_equal (mq_str_span (e->vm), self))
        continue;
      entry_append (out, mq_str_span (e->vm), mq_str_span (e->address),
                    mq_str_span (e->failure_domain), e->weight);
    }
  g_string_append_c (out, ']');
}

/* Appends as many tickets as the client requests, up to the maximum, if its
   organisation is known and this router accepts work.  */
static void
tickets_append (const mq_router *router, const mq_http_exchange *exchange,
                GString *out)
{
  const mq_organisation *o = organisation_find (router, exchange);
  uint64_t n;

  if (o == NULL || router->mode != MQ_ROUTER_SERVING
      || mq_span_to_u64 (mq_http_exchange_query (exchange, "tickets"), &n) < 0)
    return;
  mq_json_text_key (out, "tickets");
  mq_ticket_io_mint (router->tickets, mq_str_span (o->name),
                     (unsigned)MIN (n, MQ_TICKETS_PER_DISCOVERY), out);
}

void
mq_entries_show (mq_router *router, mq_http_exchange *exchange)
{
  const mq_fleet *fleet = mq_fleet_node_fleet (router->fleet);
  GString *out = g_string_new ("{");
  mq_discovery_reply reply = { .n = 0 };
  mq_discovery discovery;

  discovery_read (router, exchange, &discovery);
  if (fleet != NULL)
    mq_discovery_reply_fill (&reply, fleet, &discovery);
  entries_append (router, exchange, &reply, out);
  mq_json_text_number (out, "ttl_ms",
                       fleet != NULL ? reply.ttl_ms : discovery.ttl_ms);
  tickets_append (router, exchange, out);
  g_string_append (out, "}\n");
  mq_reply_json (exchange, 200, out);
  g_string_free (out, TRUE);
}
