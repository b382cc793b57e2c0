/* The gateway as a whole: its timers, listeners and life cycle.  See
   mq/gateway.h and mq/internal/gateway.h.

   One timer drives deadlines, membership and orders.  Its interval is a tenth
   of the shortest bound that depends on it: a request ends at most 500 ms
   after its route's timeout.  A faster timer checks for silent streams.  */

#include <mq/internal/gateway.h>

#include <mq/internal/budget_transfer.h>
#include <mq/internal/gateway_detour.h>
#include <mq/internal/gateway_reach.h>
#include <mq/internal/gateway_urgency.h>
#include <mq/internal/path_probe.h>
#include <mq/log.h>
#include <sodium.h>

#define TICK_MS 50
/* Less than the gap between two events of a stream.  */
#define SILENCE_TICK_MS 15
/* A longer interval between two of the timers' runs is a pause of the process:
   more than a share of the processor that is used up takes.  */
#define MIN_PAUSE_US ((uint64_t)150 * 1000)
/* Intervals, in ticks, of the checks for slow engines and of the quarantine,
   of orders to engines, and of the check whether all services are known, which
   searches for paths.  */
#define BACKGROUND_TICKS 5
#define ORDER_TICKS 2
#define VIEW_TICKS 2

/* For a call to the store, in addition to the time for which a watch waits. */
#define STORE_TIMEOUT_MS 1000

/* After this an idle connection is closed.  Clients reuse connections that
   were idle for up to four fifths of the operator's idle limit.  */
#define IDLE_TIMEOUT_S 40

#define MAX_BODY_BYTES ((size_t)8 * 1024 * 1024)

/* Limit of the head of a request that is not forwarded.  */
#define SMALL_HEAD_BYTES ((size_t)8 * 1024)

/* The part of the memory that may be held for clients, and the parts of it for
   the connections of the listeners: clients', those of the directory, and
   those of the readiness check and of the metrics; and the part that bodies of
   responses may take, whose buffers may be twice as large.  */
#define HELD_MEMORY_DIVISOR 2
#define CLIENT_MEMORY_DIVISOR 2
#define DIRECTORY_MEMORY_DIVISOR 8
#define CHECK_MEMORY_DIVISOR 32
#define BODY_MEMORY_DIVISOR 16

G_DEFINE_QUARK (mq - gateway - error, mq_gateway_error)

uint64_t
mq_gateway_now_us (void)
{
  return (uint64_t)g_get_monotonic_time ();
}

uint64_t
mq_gateway_random (mq_gateway *gateway)
{
  gateway->random = mq_hash_mix (gateway->random, 0x9e3779b97f4a7c15ULL);
  return gateway->random;
}

double
mq_gateway_random_unit (mq_gateway *gateway)
{
  return (double)(mq_gateway_random (gateway) >> 11) * 0x1p-53;
}

static void
service_state_free (gpointer data)
{
  mq_service_state *s = data;

  mq_layer_plan_finish (&s->plan);
  mq_load_queue_finish (&s->loads);
  mq_reach_check_free (s->reach_check);
  g_free (s);
}

mq_service_state *
mq_gateway_service_state (mq_gateway *gateway, const mq_route_service *service)
{
  mq_service_state *s
      = g_hash_table_lookup (gateway->services, service->name->data);

  if (s != NULL)
    return s;
  s = g_new0 (mq_service_state, 1);
  mq_send_budget_init (&s->budget, gateway->settings->retry_ratio,
                       gateway->settings->retry_slack,
                       gateway->settings->retry_window_ms * 1000,
                       gateway->started_us);
  /* The same in each incarnation, and spread over the routers.  */
  mq_send_budget_set_rounding (
      &s->budget,
      (double)(mq_span_hash (mq_str_span (gateway->settings->name)) >> 11)
          * 0x1p-53);
  mq_layer_plan_init (&s->plan);
  mq_load_queue_init (&s->loads);
  g_hash_table_insert (gateway->services, g_strdup (service->name->data), s);
  return s;
}

double
mq_gateway_cluster_load_ratio (mq_gateway *gateway,
                               const mq_route_service *service,
                               uint64_t now_us)
{
  uint64_t name = mq_span_hash (mq_str_span (service->name));
  unsigned own
      = mq_send_budget_count (
            &mq_gateway_service_state (gateway, service)->budget, now_us)
            .requests;
  unsigned others
      = mq_cluster_other_sends (&gateway->cluster, name, now_us).requests;
  unsigned busy = mq_cluster_count_busy (&gateway->cluster, now_us);

  return own > 0 ? MIN ((double)busy, 1 + (double)others / own) : busy;
}

bool
mq_gateway_has_budget (mq_gateway *gateway, const mq_route_service *service,
                       uint64_t now_us)
{
  uint64_t name = mq_span_hash (mq_str_span (service->name));

  return mq_send_budget_has_room (
      &mq_gateway_service_state (gateway, service)->budget,
      mq_cluster_count_busy (&gateway->cluster, now_us),
      mq_cluster_other_sends (&gateway->cluster, name, now_us), now_us);
}

bool
mq_gateway_is_ready (const mq_gateway *gateway)
{
  return gateway->mode == MQ_GATEWAY_SERVING && gateway->routing != NULL
         && gateway->upstreams_known;
}

/* Notice that this process did not run for a while.  Timers may run before
   what arrived meanwhile has been read.  */
static void
note_running (mq_gateway *gateway, uint64_t now_us)
{
  if (gateway->looked_us > 0 && now_us - gateway->looked_us > MIN_PAUSE_US)
    gateway->awake_us = now_us;
  gateway->looked_us = now_us;
}

static void
on_tick (struct ev_loop *loop, ev_timer *timer, int revents)
{
  mq_gateway *g = timer->data;
  uint64_t now = mq_gateway_now_us ();

  (void)loop;
  (void)revents;
  note_running (g, now);
  g->ticks++;
  g->prefilling_ranks = 0;
  mq_gateway_urgency_tick (g, now);
  if (g->ticks % BACKGROUND_TICKS == 0 && g->leads)
    mq_stall_tick (g, now);
  mq_crash_tick (g, now);
  mq_gateway_reach_tick (g, now);
  /* Not at each tick: evaluating a large table takes long.  */
  if (g->ticks % BACKGROUND_TICKS == 0)
    mq_gateway_quarantine_tick (g, now);
  mq_members_tick (g, now);
  if (g->ticks % VIEW_TICKS == 0)
    mq_gateway_view_tick (g, now);
  if (g->ticks % ORDER_TICKS == 0 || g->orders_due)
    mq_orders_tick (g, now);
  mq_gateway_drain_tick (g, now);
}

static void
on_silence_timer (struct ev_loop *loop, ev_timer *timer, int revents)
{
  mq_gateway *g = timer->data;
  uint64_t now = mq_gateway_now_us ();

  (void)loop;
  (void)revents;
  note_running (g, now);
  for (GList *l = g->forwards.head; l != NULL; l = l->next)
    mq_forward_check_silence (l->data, now);
  mq_budget_transfer_tick (g, now);
  mq_gateway_route_early_requests (g, now);
}

static size_t
gateway_memory (const mq_gateway *gateway)
{
  return gateway->settings->memory > 0 ? gateway->settings->memory
                                       : mq_http_machine_memory ();
}

/* Listen at AT.  Connections may take 1/MEMORY_DIVISOR of the memory.  Only
   requests of clients have a use for their bodies.  */
static mq_http_server *
gateway_listen (mq_gateway *gateway, const mq_listen *at, size_t head_limit,
                size_t memory_divisor, mq_http_server_sink sink,
                GError **error)
{
  mq_http_server_options o
      = { .address = mq_str_span (at->address),
          .port = at->port,
          .body_limit = MAX_BODY_BYTES,
          .head_limit = head_limit,
          .memory = gateway_memory (gateway) / memory_divisor,
          .account = &gateway->account,
          .ignores_bodies = sink != mq_gateway_on_client,
          .idle_s = IDLE_TIMEOUT_S,
          .connections = gateway->settings->max_connections };
  GError *cause = NULL;
  mq_http_server *s
      = mq_http_server_new (gateway->loop, &o, sink, gateway, &cause);

  if (s == NULL)
    {
      g_set_error (error, MQ_GATEWAY_ERROR, MQ_GATEWAY_ERROR_LISTEN, "%s",
                   cause->message);
      g_error_free (cause);
    }
  return s;
}

static void
server_set_limits (mq_http_server *server, const mq_route_limits *limits)
{
  size_t body = limits->body_bytes > 0
                    ? MIN (limits->body_bytes, MAX_BODY_BYTES)
                    : MAX_BODY_BYTES;

  mq_http_server_set_body_limit (server, body);
  mq_http_server_set_timeouts (server, limits->header_ms, limits->idle_ms);
}

void
mq_gateway_set_limits (mq_gateway *gateway, const mq_route_limits *limits)
{
  server_set_limits (gateway->clients, limits);
  server_set_limits (gateway->readiness, limits);
  server_set_limits (gateway->directory, limits);
  if (gateway->metrics_server != NULL)
    server_set_limits (gateway->metrics_server, limits);
}

static int
gateway_listen_all (mq_gateway *g, GError **error)
{
  const mq_gateway_settings *s = g->settings;
  mq_listen metrics = { s->clients.address, s->metrics_port };

  g->clients
      = gateway_listen (g, &s->clients, MQ_HTTP_DEFAULT_HEAD_BYTES,
                        CLIENT_MEMORY_DIVISOR, mq_gateway_on_client, error);
  if (g->clients == NULL)
    return -1;
  g->readiness
      = gateway_listen (g, &s->readiness, SMALL_HEAD_BYTES,
                        CHECK_MEMORY_DIVISOR, mq_gateway_on_readiness, error);
  if (g->readiness == NULL)
    return -1;
  g->directory = gateway_listen (g, &s->directory, SMALL_HEAD_BYTES,
                                 DIRECTORY_MEMORY_DIVISOR,
                                 mq_gateway_on_directory, error);
  if (g->directory == NULL)
    return -1;
  if (s->metrics_port == 0)
    return 0;
  g->metrics_server
      = gateway_listen (g, &metrics, SMALL_HEAD_BYTES, CHECK_MEMORY_DIVISOR,
                        mq_gateway_on_metrics, error);
  return g->metrics_server == NULL ? -1 : 0;
}

mq_gateway *
mq_gateway_new (struct ev_loop *loop, const mq_dialect *dialect,
                const mq_gateway_settings *settings, GError **error)
{
  mq_gateway *g = g_new0 (mq_gateway, 1);

  g->loop = loop;
  g->dialect = dialect;
  g->settings = settings;
  randombytes_buf (&g->random, sizeof g->random);
  g->started_us = mq_gateway_now_us ();
  mq_registry_init (&g->registry);
  mq_entry_list_init (&g->upstream_list);
  g_queue_init (&g->forwards);
  g_queue_init (&g->early_requests);
  mq_resource_account_init (&g->account,
                            gateway_memory (g) / HELD_MEMORY_DIVISOR,
                            settings->max_connections);
  g->metrics = mq_metrics_new ();
  mq_gateway_metrics_init (g);
  mq_gateway_view_init (g);
  mq_gateway_quarantine_init (g);
  mq_detour_table_init (&g->detours);
  g->services = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                       service_state_free);
  g->paths = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g->path_probes = g_ptr_array_new_with_free_func (mq_path_probe_free);
  g->client_address
      = mq_str_printf ("%s:%u", mq_str_cstr (settings->clients.address),
                       settings->clients.port);
  g->client = mq_http_client_new (loop, MQ_SPAN (""));
  mq_http_client_set_body_room (g->client,
                                gateway_memory (g) / BODY_MEMORY_DIVISOR);
  mq_http_client_set_account (g->client, &g->account);
  g->store = mq_platform_new_dialect (g->client,
                                      mq_str_span (settings->platform_url),
                                      STORE_TIMEOUT_MS, dialect->store);
  ev_timer_init (&g->tick, on_tick, TICK_MS / 1000.0, TICK_MS / 1000.0);
  g->tick.data = g;
  ev_timer_init (&g->silence_timer, on_silence_timer, SILENCE_TICK_MS / 1000.0,
                 SILENCE_TICK_MS / 1000.0);
  g->silence_timer.data = g;
  if (mq_gateway_tunnels_start (g, error) < 0
      || mq_members_start (g, error) < 0 || gateway_listen_all (g, error) < 0)
    {
      mq_gateway_free (g);
      return NULL;
    }
  mq_feed_start (&g->routing_feed, g, dialect->kinds.configuration);
  mq_feed_start (&g->upstream_feed, g, dialect->kinds.upstreams);
  ev_timer_start (loop, &g->tick);
  ev_timer_start (loop, &g->silence_timer);
  mq_log (G_LOG_LEVEL_INFO, "router.start",
          "vm=%s domain=%s clients=%s peers=%s connections=%u",
          mq_str_cstr (settings->name), mq_str_cstr (settings->failure_domain),
          mq_str_cstr (g->client_address), mq_str_cstr (g->cluster.peer),
          mq_http_server_connection_limit (g->clients));
  return g;
}

void
mq_gateway_free (mq_gateway *gateway)
{
  mq_gateway *g = gateway;

  if (g == NULL)
    return;
  ev_timer_stop (g->loop, &g->tick);
  ev_timer_stop (g->loop, &g->silence_timer);
  mq_feed_stop (&g->routing_feed);
  mq_feed_stop (&g->upstream_feed);
  mq_forward_free_all (g);
  mq_gateway_free_early_requests (g);
  mq_gateway_quarantine_finish (g);
  g_ptr_array_unref (g->path_probes);
  mq_tunnel_server_free (g->tunnels);
  mq_http_server_free (g->clients);
  mq_http_server_free (g->readiness);
  mq_http_server_free (g->directory);
  mq_http_server_free (g->metrics_server);
  mq_platform_free (g->store);
  mq_http_client_free (g->client);
  mq_members_stop (g);
  mq_registry_finish (&g->registry);
  mq_entry_list_finish (&g->upstream_list);
  mq_routing_unref (g->routing);
  mq_str_unref (g->routing_text);
  mq_str_unref (g->client_address);
  g_hash_table_unref (g->services);
  g_hash_table_unref (g->paths);
  mq_detour_table_finish (&g->detours);
  mq_metrics_free (g->metrics);
  g_free (g);
}
