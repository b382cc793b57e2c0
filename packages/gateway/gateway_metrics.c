/* The gateway's counters, gauges and latency histograms, and the listener that
   exposes them.

   Ended requests are counted by kind of route, outcome and reason.  The
   reasons are the fixed words of the log (docs/OPERATIONS.md), so the number
   of series is bounded.  */

#include <mq/internal/gateway.h>

#include <mq/log.h>
#include <mq/resource_metrics.h>

#define STATUS_OK 200

static const char *
purpose_name (mq_store_purpose purpose)
{
  switch (purpose)
    {
    case MQ_STORE_MEMBER_WRITE:
      return "member-write";
    case MQ_STORE_MEMBER_SCAN:
      return "member-scan";
    case MQ_STORE_ROUTING_SCAN:
      return "configuration-scan";
    case MQ_STORE_ROUTING_FOLLOW:
      return "configuration-follow";
    case MQ_STORE_UPSTREAM_SCAN:
      return "upstreams-scan";
    case MQ_STORE_UPSTREAM_FOLLOW:
      return "upstreams-follow";
    case MQ_STORE_REFUSAL_WRITE:
      return "refusal-write";
    case MQ_STORE_REFUSAL_SCAN:
      return "refusal-scan";
    case MQ_STORE_PURPOSES:
      break;
    }
  return "none";
}

static const char *
entry_kind_name (mq_entry_kind kind)
{
  switch (kind)
    {
    case MQ_ENTRY_ROUTING:
      return "configuration";
    case MQ_ENTRY_UPSTREAM:
      return "upstream";
    case MQ_ENTRY_MEMBER:
      return "member";
    case MQ_ENTRY_REFUSAL:
      return "refusal";
    case MQ_ENTRY_UNNAMED:
      return "unnamed";
    case MQ_ENTRY_KINDS:
      break;
    }
  return "none";
}

static void
metrics_init_store (mq_gateway *gateway)
{
  mq_gateway_counters *c = &gateway->counters;
  char labels[64];

  for (int i = 0; i < MQ_STORE_PURPOSES; i++)
    {
      g_snprintf (labels, sizeof labels, "purpose=\"%s\"", purpose_name (i));
      gateway->counters.store_calls[i] = mq_metrics_counter (
          gateway->metrics, "marjoramquay_store_calls_total", labels,
          "Calls to the platform's store by purpose.");
    }
  for (int i = 0; i < MQ_ENTRY_KINDS; i++)
    {
      g_snprintf (labels, sizeof labels, "kind=\"%s\"", entry_kind_name (i));
      c->unreadable_entries[i] = mq_metrics_counter (
          gateway->metrics, "marjoramquay_unreadable_entries_total", labels,
          "Entries of the store that could not be read.");
    }
  c->unreadable_replies = mq_metrics_counter (
      gateway->metrics, "marjoramquay_unreadable_replies_total", "",
      "Replies of the store that could not be read as a whole.");
}

void
mq_gateway_count_store_call (mq_gateway *gateway, mq_store_purpose purpose)
{
  ++*gateway->counters.store_calls[purpose];
  mq_log (G_LOG_LEVEL_INFO, "store.ask", "purpose=%s", purpose_name (purpose));
}

/* Create the counters of messages to other routers, by kind and by whether the
   receiver is in the own failure domain.  */
static void
metrics_init_peers (mq_gateway *gateway)
{
  static const char *const scopes[] = { "own", "other" };
  mq_gateway_counters *c = &gateway->counters;
  char labels[64];

  for (int k = 0; k < MQ_CLUSTER_MESSAGE_KINDS; k++)
    for (int remote = 0; remote < 2; remote++)
      {
        g_snprintf (labels, sizeof labels, "kind=\"%s\",domain=\"%s\"",
                    mq_cluster_message_kind_name (k), scopes[remote]);
        c->peer_messages[k][remote] = mq_metrics_counter (
            gateway->metrics, "marjoramquay_peer_messages_total", labels,
            "Messages sent to other routers.");
        c->peer_bytes[k][remote] = mq_metrics_counter (
            gateway->metrics, "marjoramquay_peer_bytes_total", labels,
            "Bytes of these.");
      }
  c->peer_unreadable = mq_metrics_counter (
      gateway->metrics, "marjoramquay_peer_unreadable_total", "",
      "Messages of other routers that were dropped.");
  c->peer_unreadable_records = mq_metrics_counter (
      gateway->metrics, "marjoramquay_peer_unreadable_records_total", "",
      "Records of other routers' messages that were dropped.");
}

/* Create the counters of responses by framing and by fault.  */
static void
metrics_init_responses (mq_gateway *gateway)
{
  mq_gateway_counters *c = &gateway->counters;
  char labels[64];

  for (int i = 0; i < MQ_RESPONSE_FRAMINGS; i++)
    {
      g_snprintf (labels, sizeof labels, "framing=\"%s\"",
                  mq_response_framing_name (i));
      c->responses[i] = mq_metrics_counter (
          gateway->metrics, "marjoramquay_responses_total", labels,
          "Responses of upstreams and the store by how their end is found.");
    }
  c->stray_responses = mq_metrics_counter (
      gateway->metrics, "marjoramquay_stray_responses_total", "",
      "Connections closed as bytes arrived though no response was due.");
  for (int refused = 0; refused < 2; refused++)
    c->close_checks[refused] = mq_metrics_counter (
        gateway->metrics, "marjoramquay_close_checks_total",
        refused ? "result=\"refused\"" : "result=\"passed\"",
        "Checks whether the upstream of a response that ended with its "
        "connection has crashed.");
  for (int i = MQ_RESPONSE_SOUND + 1; i < MQ_RESPONSE_FAULTS; i++)
    {
      g_snprintf (labels, sizeof labels, "fault=\"%s\"",
                  mq_response_fault_name (i));
      c->response_faults[i] = mq_metrics_counter (
          gateway->metrics, "marjoramquay_response_faults_total", labels,
          "Of these, responses that are cut, contradictory or malformed.");
    }
}

void
mq_gateway_metrics_init (mq_gateway *gateway)
{
  mq_metrics *m = gateway->metrics;
  mq_gateway_counters *c = &gateway->counters;
  const char *name = "marjoramquay_requests_total";

  c->requests = mq_metrics_counter (m, name, "outcome=\"taken\"",
                                    "Clients' requests by outcome.");
  c->answered = mq_metrics_counter (m, name, "outcome=\"answered\"", "");
  c->refused = mq_metrics_counter (m, name, "outcome=\"refused\"", "");
  c->failed = mq_metrics_counter (m, name, "outcome=\"failed\"", "");
  c->disconnected = mq_metrics_counter (m, name, "outcome=\"gone\"", "");
  c->sends = mq_metrics_counter (m, "marjoramquay_sends_total", "",
                                 "Sends to upstreams.");
  c->retries = mq_metrics_counter (m, "marjoramquay_further_sends_total", "",
                                   "Sends beyond the first of a request.");
  c->resumed_streams
      = mq_metrics_counter (m, "marjoramquay_resumed_streams_total", "",
                            "Streams that went on in a new run.");
  c->answers_too_large = mq_metrics_counter (
      m, "marjoramquay_answers_too_large_total", "",
      "Responses to calls that were given up as too large.");
  c->orders = mq_metrics_counter (m, "marjoramquay_orders_total", "",
                                  "Orders to engines.");
  c->loads_open = mq_metrics_gauge (m, "marjoramquay_loads", "state=\"open\"",
                                    "Loads at engines, at the leader.");
  c->loads_waiting
      = mq_metrics_gauge (m, "marjoramquay_loads", "state=\"waiting\"", "");
  metrics_init_responses (gateway);
  mq_resource_metrics_update (m, &gateway->account);
  metrics_init_store (gateway);
  c->budget_granted
      = mq_metrics_counter (m, "marjoramquay_budget_lent_total", "",
                            "further sends handed over to other routers");
  c->budget_received
      = mq_metrics_counter (m, "marjoramquay_budget_borrowed_total", "",
                            "further sends that others handed over");
  c->path_probes
      = mq_metrics_counter (m, "marjoramquay_path_probes_total", "",
                            "silent paths whose engines were connected to");
  c->reach_checks = mq_metrics_counter (
      m, "marjoramquay_reach_checks_total", "",
      "Checks whether this router reaches the upstreams.");
  c->isolated
      = mq_metrics_gauge (m, "marjoramquay_isolated_services", "",
                          "Services that this router does not reach itself.");
  c->detours
      = mq_metrics_counter (m, "marjoramquay_detours_total", "",
                            "Sends to upstreams through another router.");
  c->tunnels = mq_metrics_counter (m, "marjoramquay_tunnels_total", "",
                                   "Tunnels opened for other routers.");
  c->tunnels_open = mq_metrics_gauge (m, "marjoramquay_tunnels", "",
                                      "Tunnels of other routers.");
  c->reports = mq_metrics_counter (m, "marjoramquay_reports_total", "",
                                   "Reports asked of engines.");
  c->routing_version = mq_metrics_gauge (
      m, "marjoramquay_configuration_version", "", "In force here.");
  c->routing_age_ms = mq_metrics_gauge (
      m, "marjoramquay_belief_age_ms", "of=\"configuration\"",
      "Since the store last answered about it.");
  c->upstreams_age_ms = mq_metrics_gauge (m, "marjoramquay_belief_age_ms",
                                          "of=\"upstreams\"", "");
  c->connections = mq_metrics_gauge (m, "marjoramquay_connections", "",
                                     "Open connections of clients.");
  c->connection_limit
      = mq_metrics_gauge (m, "marjoramquay_connection_limit", "",
                          "How many of these there may be.");
  c->refused_connections = mq_metrics_counter (
      m, "marjoramquay_connections_refused_total", "",
      "Connections of clients that were closed unread at the limit.");
  c->upstreams
      = mq_metrics_gauge (m, "marjoramquay_upstreams", "state=\"listed\"",
                          "Upstreams by what is believed of them.");
  c->upstreams_ejected = mq_metrics_gauge (m, "marjoramquay_upstreams",
                                           "state=\"unusable\"", "");
  c->upstreams_rejecting = mq_metrics_gauge (m, "marjoramquay_upstreams",
                                             "state=\"turning-away\"", "");
  c->upstreams_slow
      = mq_metrics_gauge (m, "marjoramquay_upstreams", "state=\"slow\"", "");
  c->upstreams_limited = mq_metrics_gauge (m, "marjoramquay_upstreams",
                                           "state=\"limited\"", "");
  c->upstreams_resting = mq_metrics_gauge (m, "marjoramquay_upstreams",
                                           "state=\"resting\"", "");
  c->routers = mq_metrics_gauge (m, "marjoramquay_routers", "",
                                 "Heard lately, with this one.");
  c->relays = mq_metrics_gauge (m, "marjoramquay_relay", "",
                                "1 at a relay of its failure domain.");
  c->leader = mq_metrics_gauge (m, "marjoramquay_leader", "",
                                "1 at the router that gives the orders.");
  c->behind_routing = mq_metrics_gauge (
      m, "marjoramquay_routers_behind", "of=\"configuration\"",
      "Routers that lack what this one is to send them.");
  c->behind_upstreams = mq_metrics_gauge (m, "marjoramquay_routers_behind",
                                          "of=\"upstreams\"", "");
  c->behind_ms = mq_metrics_gauge (m, "marjoramquay_routers_behind_ms", "",
                                   "Since when the first of these lacks it.");
  c->own_behind_ms
      = mq_metrics_gauge (m, "marjoramquay_upstreams_behind_ms", "",
                          "Since when a relay has known newer upstreams.");
  c->store_overdue = mq_metrics_gauge (m, "marjoramquay_store_overdue", "",
                                       "Calls that the store owes a reply.");
  c->serving = mq_metrics_gauge (m, "marjoramquay_serving_routers", "",
                                 "Of this domain, to whom clients are sent.");
  c->counts_age_ms = mq_metrics_gauge (m, "marjoramquay_belief_age_ms",
                                       "of=\"counts\"", "");
  metrics_init_peers (gateway);
  c->crashes = mq_metrics_counter (
      m, "marjoramquay_upstream_ends_total", "",
      "Upstreams that ended under requests of this router.");
  c->suspects = mq_metrics_gauge (
      m, "marjoramquay_quarantine_requests", "state=\"suspected\"",
      "Requests remembered, as they stood near when upstreams ended.");
  c->quarantined = mq_metrics_gauge (m, "marjoramquay_quarantine_requests",
                                     "state=\"refused\"", "");
  c->log_lines = mq_metrics_counter (m, "marjoramquay_log_lines_total", "",
                                     "Lines written.");
  c->log_dropped = mq_metrics_counter (m, "marjoramquay_log_left_out_total",
                                       "", "Lines that had no room.");
}

static const char *
kind_name (const mq_route *route)
{
  if (route == NULL)
    return "none";
  switch (route->kind)
    {
    case MQ_ROUTE_SAFE:
      return "safe";
    case MQ_ROUTE_UNSAFE:
      return "unsafe";
    case MQ_ROUTE_STREAM:
      return "stream";
    }
  return "none";
}

void
mq_gateway_count_end (mq_gateway *gateway, const mq_route *route,
                      const char *outcome, const char *reason, uint64_t us)
{
  char labels[128];

  g_snprintf (labels, sizeof labels,
              "kind=\"%s\",outcome=\"%s\",reason=\"%s\"", kind_name (route),
              outcome, reason);
  ++*mq_metrics_counter (gateway->metrics, "marjoramquay_requests_ended_total",
                         labels, "Ends of requests by kind of route.");
  g_snprintf (labels, sizeof labels, "kind=\"%s\",outcome=\"%s\"",
              kind_name (route), outcome);
  mq_histogram_observe (
      mq_metrics_histogram (gateway->metrics, "marjoramquay_request_seconds",
                            labels, "From a request to its end."),
      us);
}

void
mq_gateway_count_left_run (mq_gateway *gateway, const char *reason)
{
  char labels[64];

  g_snprintf (labels, sizeof labels, "reason=\"%s\"", reason);
  ++*mq_metrics_counter (
      gateway->metrics, "marjoramquay_runs_left_total", labels,
      "Runs that this router ended while their connections were open.");
}

void
mq_gateway_count_resumed_run (mq_gateway *gateway, const char *reason)
{
  char labels[64];

  g_snprintf (labels, sizeof labels, "reason=\"%s\"", reason);
  ++*mq_metrics_counter (gateway->metrics, "marjoramquay_runs_resumed_total",
                         labels, "Silent runs that requests returned to.");
}

void
mq_gateway_count_first_event (mq_gateway *gateway, uint64_t us)
{
  mq_histogram_observe (
      mq_metrics_histogram (gateway->metrics,
                            "marjoramquay_first_event_seconds", "",
                            "From a request to its first event."),
      us);
}

/* Count a router that lags as LAG says in GAUGE.  */
static void
metrics_add_lag (mq_gateway *gateway, const mq_lag *lag, uint64_t *gauge,
                 uint64_t now_us)
{
  mq_gateway_counters *c = &gateway->counters;

  if (lag->since_us == 0)
    return;
  ++*gauge;
  *c->behind_ms = MAX (*c->behind_ms, (now_us - lag->since_us) / 1000);
}

/* Count the routers that lag behind this one.  Only a router that propagates
   updates keeps track of that.  */
static void
metrics_refresh_lags (mq_gateway *gateway, uint64_t now_us)
{
  mq_gateway_counters *c = &gateway->counters;
  GHashTableIter i;
  gpointer value;

  *c->behind_routing = 0;
  *c->behind_upstreams = 0;
  *c->behind_ms = 0;
  g_hash_table_iter_init (&i, gateway->cluster.routers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      const mq_cluster_member *r = value;

      if (!mq_cluster_member_is_alive (r, now_us))
        continue;
      metrics_add_lag (gateway, &r->routing_lag, c->behind_routing, now_us);
      metrics_add_lag (gateway, &r->upstreams_lag, c->behind_upstreams,
                       now_us);
    }
}

static void
metrics_refresh_cluster (mq_gateway *gateway, uint64_t now_us)
{
  mq_gateway_counters *c = &gateway->counters;
  GArray *serving = g_array_new (FALSE, FALSE, sizeof (mq_gossip_router));
  GArray *remote = g_array_new (FALSE, FALSE, sizeof (mq_gossip_router));

  mq_cluster_list_serving (&gateway->cluster, serving, remote, now_us);
  *c->serving = serving->len;
  *c->routers = mq_cluster_count_alive (&gateway->cluster, now_us) + 1;
  *c->relays = gateway->cluster.relays;
  *c->leader = gateway->leads;
  metrics_refresh_lags (gateway, now_us);
  *c->counts_age_ms = mq_cluster_counts_age_ms (&gateway->cluster, now_us);
  g_array_unref (serving);
  g_array_unref (remote);
}

static void
metrics_refresh_responses (mq_gateway *gateway)
{
  const mq_http_client_counters *from
      = mq_http_client_get_counters (gateway->client);
  mq_gateway_counters *c = &gateway->counters;

  for (int i = 0; i < MQ_RESPONSE_FRAMINGS; i++)
    *c->responses[i] = from->framings[i];
  for (int i = MQ_RESPONSE_SOUND + 1; i < MQ_RESPONSE_FAULTS; i++)
    *c->response_faults[i] = from->faults[i];
  *c->stray_responses = from->stray;
}

/* Update the gauges.  This runs on each scrape, which is rare.  */
static void
metrics_refresh (mq_gateway *gateway)
{
  mq_gateway_counters *c = &gateway->counters;
  uint64_t now = mq_gateway_now_us ();
  GHashTableIter i;
  gpointer value;

  *c->routing_version = gateway->routing ? gateway->routing->version : 0;
  *c->routing_age_ms = mq_feed_age_ms (&gateway->routing_feed, now);
  *c->upstreams_age_ms = mq_feed_age_ms (&gateway->upstream_feed, now);
  *c->own_behind_ms = gateway->upstreams_behind_us > 0
                          ? (now - gateway->upstreams_behind_us) / 1000
                          : 0;
  *c->store_overdue = mq_feed_is_overdue (&gateway->routing_feed, now)
                      + mq_feed_is_overdue (&gateway->upstream_feed, now);
  *c->connections = mq_http_server_connections (gateway->clients);
  *c->connection_limit = mq_http_server_connection_limit (gateway->clients);
  *c->refused_connections
      = mq_http_server_refused_connections (gateway->clients);
  mq_resource_metrics_update (gateway->metrics, &gateway->account);
  *c->upstreams = g_hash_table_size (gateway->registry.by_id);
  *c->upstreams_ejected = 0;
  *c->upstreams_rejecting = 0;
  *c->upstreams_slow = 0;
  *c->upstreams_limited = 0;
  *c->upstreams_resting = 0;
  *c->isolated = gateway->isolated_services;
  *c->tunnels = mq_tunnel_server_total (gateway->tunnels);
  *c->tunnels_open = mq_tunnel_server_count (gateway->tunnels);
  *c->suspects = gateway->quarantine.suspects->len;
  *c->quarantined = gateway->quarantine.refused;
  g_hash_table_iter_init (&i, gateway->registry.by_id);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      if (!mq_upstream_is_usable (value, now))
        ++*c->upstreams_ejected;
      else if (!mq_upstream_accepts_work (value, now))
        ++*c->upstreams_rejecting;
      if (mq_upstream_slowdown (value, now) >= MQ_UPSTREAM_SLOW_FACTOR)
        ++*c->upstreams_slow;
      if (((const mq_upstream *)value)->limit.per_s > 0)
        ++*c->upstreams_limited;
      if (mq_upstream_is_resting (value, now))
        ++*c->upstreams_resting;
    }
  metrics_refresh_cluster (gateway, now);
  metrics_refresh_responses (gateway);
  *c->log_lines = mq_log_get_counters ()->lines;
  *c->log_dropped = mq_log_get_counters ()->lines_dropped;
}

void
mq_gateway_on_metrics (void *context, const mq_http_server_event *event)
{
  mq_gateway *g = context;
  GString *out;

  if (event->kind != MQ_HTTP_SERVER_REQUEST)
    return;
  out = g_string_new (NULL);
  metrics_refresh (g);
  mq_metrics_render (g->metrics, out);
  mq_gateway_reply_text (event->exchange, STATUS_OK,
                         "text/plain; version=0.0.4",
                         (mq_span){ out->str, out->len });
  g_string_free (out, TRUE);
}
