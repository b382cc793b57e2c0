/* The ask: see entries.h.  */

#include "entries.h"

#include <mq/json_text.h>

#include "call.h"
#include "reply.h"
#include "ticket_io.h"

#define DEFAULT_TTL_MS 5000

static const mq_organisation *
organisation_of (const mq_router *router, const mq_http_exchange *exchange)
{
  if (router->config == NULL)
    return NULL;
  return mq_config_organisation_by_token (router->config,
                                          mq_call_bearer_token (exchange));
}

static void
entry_append (GString *out, mq_span vm, mq_span address, mq_span domain)
{
  g_string_append_c (out, '{');
  mq_json_text_member (out, "vm", vm);
  mq_json_text_member (out, "address", address);
  mq_json_text_member (out, "failure_domain", domain);
  g_string_append_c (out, '}');
}

static void
entries_append (const mq_router *router, GString *out)
{
  const mq_settings *s = router->settings;

  mq_json_text_key (out, "entries");
  g_string_append_c (out, '[');
  if (router->mode == MQ_ROUTER_SERVING)
    {
      char *address = mq_router_caller_address (router);

      entry_append (out, mq_str_span (s->name), mq_span_from (address),
                    mq_str_span (s->failure_domain));
      g_free (address);
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
                     (unsigned)MIN (n, MQ_TICKETS_PER_ASK), out);
}

void
mq_entries_show (mq_router *router, mq_http_exchange *exchange)
{
  GString *out = g_string_new ("{");

  entries_append (router, out);
  mq_json_text_number (out, "ttl_ms",
                       router->config == NULL
                           ? DEFAULT_TTL_MS
                           : router->config->policy.ask_ttl_ms);
  tickets_append (router, exchange, out);
  g_string_append (out, "}\n");
  mq_reply_json (exchange, 200, out);
  g_string_free (out, TRUE);
}
