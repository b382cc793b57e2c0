/* The ask: see entries.h.  */

#include "entries.h"

#include <mq/json_text.h>

#include "call.h"
#include "fleet_node.h"
#include "reply.h"
#include "ticket_io.h"

#define DEFAULT_TTL_MS 5000
#define FULL_WEIGHT 1000

static const mq_organisation *
organisation_of (const mq_router *router, const mq_http_exchange *exchange)
{
  if (router->config == NULL)
    return NULL;
  return mq_config_organisation_by_token (router->config,
                                          mq_call_bearer_token (exchange));
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
  char *address = mq_router_caller_address (router);

  entry_append (out, mq_str_span (s->name), mq_span_from (address),
                mq_str_span (s->failure_domain), FULL_WEIGHT);
  g_free (address);
}

/* ORGANISATION's part of all weights.  */
static double
organisation_share (const mq_config *config,
                    const mq_organisation *organisation)
{
  double sum = 0;

  for (guint i = 0; i < config->organisations->len; i++)
    sum += g_array_index (config->organisations, mq_organisation, i).weight;
  return sum > 0 ? organisation->weight / sum : 1;
}

/* A caller that names itself keeps its order; any other gets one by lot.  */
static uint64_t
caller_hash (const mq_http_exchange *exchange)
{
  mq_span name = mq_http_exchange_query (exchange, "caller");

  if (name.size > 0)
    return mq_hash_mix (mq_span_hash (name),
                        mq_span_hash (mq_http_exchange_peer (exchange)));
  return ((uint64_t)g_random_int () << 32) | g_random_int ();
}

static void
ask_read (const mq_router *router, const mq_http_exchange *exchange,
          mq_discovery *ask)
{
  const mq_organisation *o = organisation_of (router, exchange);

  *ask = (mq_discovery){ .organisation_share = 1, .ttl_ms = DEFAULT_TTL_MS };
  if (o != NULL)
    {
      ask->organisation = mq_str_span (o->name);
      ask->organisation_share = organisation_share (router->config, o);
    }
  if (router->config != NULL)
    ask->ttl_ms = router->config->policy.discovery_ttl_ms;
  ask->failure_domain = mq_http_exchange_query (exchange, "near");
  ask->caller = caller_hash (exchange);
}

/* Tickets are this router's, so an ask for them names it first.  */
static void
entries_append (const mq_router *router, const mq_http_exchange *exchange,
                const mq_discovery_reply *answer, GString *out)
{
  bool serving = router->mode == MQ_ROUTER_SERVING;
  bool first
      = serving && mq_http_exchange_query (exchange, "tickets").size > 0;
  mq_span self = mq_str_span (router->settings->name);

  mq_json_text_key (out, "entries");
  g_string_append_c (out, '[');
  if (first || (serving && mq_fleet_node_fleet (router->fleet) == NULL))
    self_append (router, out);
  for (uint32_t i = 0; i < answer->n; i++)
    {
      const mq_discovery_entry *e = &answer->entries[i];

      if (first && mq_span_equal (mq_str_span (e->vm), self))
        continue;
      entry_append (out, mq_str_span (e->vm), mq_str_span (e->address),
                    mq_str_span (e->failure_domain), e->weight);
    }
  g_string_append_c (out, ']');
}

/* A known organisation gets as many tickets as it asks for.  They are of this
   router, which is told with them.  */
static void
tickets_append (const mq_router *router, const mq_http_exchange *exchange,
                GString *out)
{
  const mq_organisation *o = organisation_of (router, exchange);
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
  mq_discovery_reply answer = { .n = 0 };
  mq_discovery ask;

  ask_read (router, exchange, &ask);
  if (fleet != NULL)
    mq_discovery_reply_fill (&answer, fleet, &ask);
  entries_append (router, exchange, &answer, out);
  mq_json_text_number (out, "ttl_ms",
                       fleet != NULL ? answer.ttl_ms : ask.ttl_ms);
  tickets_append (router, exchange, out);
  g_string_append (out, "}\n");
  mq_reply_json (exchange, 200, out);
  g_string_free (out, TRUE);
}
