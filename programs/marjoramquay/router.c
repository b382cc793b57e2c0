/* The router process: see router.h.  */

#include "router.h"

#include <mq/log.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "admission.h"
#include "audit_io.h"
#include "claim_io.h"
#include "config_feed.h"
#include "drain.h"
#include "crash_tracker.h"
#include "fleet_limits.h"
#include "fleet_node.h"
#include "fleet_plans.h"
#include "load_poller.h"
#include "order_io.h"
#include "active_request.h"
#include "routes.h"
#include "status.h"
#include "ticket_io.h"

/* An incarnation has the wall clock of the start in its high bits, so that a
   later start on the same VM nearly always has a higher one, and random low
   bits, so that routers that start at the same time differ.  */
#define INCARNATION_RANDOM_BITS 22
#define PLATFORM_TIMEOUT_MS 2000
/* The parts of the memory that may be held for callers, and that bodies of
   responses may take.  */
#define HELD_MEMORY_DIVISOR 2
#define BODY_MEMORY_DIVISOR 16

uint64_t
mq_router_now_us (void)
{
  return (uint64_t)g_get_monotonic_time ();
}

static uint64_t
incarnation_new (void)
{
  uint64_t ms = (uint64_t)g_get_real_time () / 1000;

  return (ms << INCARNATION_RANDOM_BITS)
         | randombytes_uniform (1U << INCARNATION_RANDOM_BITS);
}

char *
mq_router_client_address (const mq_router *router)
{
  const char *address = mq_str_cstr (router->settings->advertised);
  bool v6 = strchr (address, ':') != NULL;

  return g_strdup_printf ("%s%s%s:%u", v6 ? "[" : "", address, v6 ? "]" : "",
                          mq_http_server_port (router->server));
}

void
mq_router_format_handle (const mq_router *router, uint64_t handle, char *text)
{
  (void)snprintf (text, MQ_REQUEST_ID_SIZE,
                  "%016" G_GINT64_MODIFIER "x-h%" G_GUINT64_FORMAT,
                  router->incarnation, handle);
}

static int
server_open (mq_router *router, GError **error)
{
  const mq_settings *s = router->settings;
  size_t memory = s->memory > 0 ? s->memory : mq_http_machine_memory ();
  mq_http_server_options options
      = { .address = mq_str_span (s->callers.address),
          .port = s->callers.port,
          .body_limit = s->body_bytes,
          .idle_s = s->idle_s,
          .memory = memory / HELD_MEMORY_DIVISOR,
          .account = &router->account,
          .certificate = mq_str_span (s->tls_certificate),
          .key = mq_str_span (s->tls_key) };

  mq_resource_account_init (&router->account, options.memory, 0);
  mq_http_client_set_body_room (router->client, memory / BODY_MEMORY_DIVISOR);
  mq_http_client_set_account (router->client, &router->account);
  router->server = mq_http_server_new (router->loop, &options,
                                       mq_routes_on_http, router, error);
  if (router->server == NULL)
    {
      g_prefix_error (error, "callers: ");
      return -1;
    }
  return 0;
}

static void
decisions_init (mq_router *router)
{
  mq_span domain = mq_str_span (router->settings->failure_domain);
  mq_entry_options options
      = { .router = router->incarnation,
          .seed = router->incarnation,
          .failure_domain = domain,
          .quarantine = mq_crash_tracker_quarantine (router->crash_tracker) };

  router->entry = mq_entry_new (&options);
  router->planner = mq_planner_new (domain, router->incarnation);
}

mq_router *
mq_router_new (struct ev_loop *loop, const mq_settings *settings,
               GError **error)
{
  mq_router *r = g_new0 (mq_router, 1);

  r->loop = loop;
  r->settings = settings;
  r->incarnation = incarnation_new ();
  (void)snprintf (r->incarnation_text, sizeof r->incarnation_text,
                  "%016" G_GINT64_MODIFIER "x", r->incarnation);
  r->requests = mq_active_requests_new ();
  r->metrics = mq_metrics_new ();
  mq_status_init (r);
  r->crash_tracker = mq_crash_tracker_new (r);
  decisions_init (r);
  mq_router_loop_init (r);
  mq_drain_init (r);
  r->client = mq_http_client_new (loop, mq_str_span (settings->tls_ca));
  r->platform = mq_platform_new (
      r->client, mq_str_span (settings->platform_url), PLATFORM_TIMEOUT_MS);
  r->load_poller = mq_load_poller_new (r);
  r->limits = mq_fleet_limits_new (r);
  r->plans = mq_fleet_plans_new (r);
  r->audit = mq_audit_io_new (r);
  r->claims = mq_claim_io_new (r);
  r->orders = mq_order_io_new (r);
  if (server_open (r, error) < 0)
    goto fail;
  r->tickets = mq_ticket_io_new (r);
  r->config_feed = mq_config_feed_new (r);
  r->fleet = mq_fleet_node_new (r, error);
  if (r->fleet == NULL)
    goto fail;
  mq_log (G_LOG_LEVEL_INFO, "router.start",
          "vm=%s incarnation=%s address=%s port=%u",
          mq_str_cstr (settings->name), r->incarnation_text,
          mq_str_cstr (settings->callers.address),
          mq_http_server_port (r->server));
  (void)printf ("listening=%s:%u\n", mq_str_cstr (settings->callers.address),
                mq_http_server_port (r->server));
  (void)fflush (stdout);
  return r;
fail:
  mq_router_free (r);
  return NULL;
}

void
mq_router_free (mq_router *router)
{
  if (router == NULL)
    return;
  mq_fleet_node_free (router->fleet);
  mq_config_feed_free (router->config_feed);
  mq_load_poller_free (router->load_poller);
  mq_order_io_free (router->orders);
  mq_claim_io_free (router->claims);
  mq_audit_io_free (router->audit);
  mq_ticket_io_free (router->tickets);
  g_hash_table_unref (router->requests);
  mq_http_server_free (router->server);
  mq_platform_free (router->platform);
  mq_http_client_free (router->client);
  mq_router_loop_finish (router);
  mq_fleet_plans_free (router->plans);
  mq_fleet_limits_free (router->limits);
  ev_timer_stop (router->loop, &router->close_timer);
  mq_entry_free (router->entry);
  mq_crash_tracker_free (router->crash_tracker);
  mq_planner_free (router->planner);
  mq_config_unref (router->config);
  mq_metrics_free (router->metrics);
  g_free (router);
}

void
mq_router_apply_config (mq_router *router, mq_config *config)
{
  mq_entry_event entry = { .kind = MQ_ENTRY_CONFIG };
  mq_planner_event planner = { .kind = MQ_PLANNER_CONFIG };

  mq_config_ref (config);
  mq_config_unref (router->config);
  router->config = config;
  mq_log (G_LOG_LEVEL_INFO, "config.in-force",
          "generation=%" G_GUINT64_FORMAT " services=%u engines=%u",
          config->generation, config->services->len, config->engines->len);
  mq_fleet_limits_apply_config (router->limits, config);
  planner.u.config = config;
  mq_admission_post (router, &planner);
  entry.u.config = config;
  mq_router_post (router, &entry);
  mq_load_poller_apply_config (router->load_poller, config);
  mq_fleet_node_announce_config (router->fleet);
}
