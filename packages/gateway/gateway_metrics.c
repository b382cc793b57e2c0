/* The routing face's counters, gauges and latency histograms, and the answer
   to who asks for them.

   How requests ended is counted by kind of route, outcome and reason; the
   reasons are those of the log (docs/OPERATIONS.md), some twenty, so that the
   number of series stays bounded.  */

#include <mq/internal/gateway.h>

#include <mq/log.h>

#define STATUS_OK 200

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
  c->gone = mq_metrics_counter (m, name, "outcome=\"gone\"", "");
  c->sends = mq_metrics_counter (m, "marjoramquay_sends_total", "",
                                 "Sends to upstreams.");
  c->further_sends
      = mq_metrics_counter (m, "marjoramquay_further_sends_total", "",
                            "Sends beyond the first of a request.");
  c->resumed = mq_metrics_counter (m, "marjoramquay_resumed_streams_total", "",
                                   "Streams that went on in a new run.");
  c->orders = mq_metrics_counter (m, "marjoramquay_orders_total", "",
                                  "Orders to engines.");
  c->store_calls = mq_metrics_counter (m, "marjoramquay_store_calls_total", "",
                                       "Calls to the platform's store.");
  c->reports = mq_metrics_counter (m, "marjoramquay_reports_total", "",
                                   "Reports asked of engines.");
  c->routing_version = mq_metrics_gauge (
      m, "marjoramquay_configuration_version", "", "In force here.");
  c->routing_age_ms = mq_metrics_gauge (
      m, "marjoramquay_belief_age_ms", "of=\"configuration\"",
      "Since the store last answered about it.");
  c->upstreams_age_ms = mq_metrics_gauge (m, "marjoramquay_belief_age_ms",
                                          "of=\"upstreams\"", "");
  c->upstreams
      = mq_metrics_gauge (m, "marjoramquay_upstreams", "state=\"listed\"",
                          "Upstreams by what is believed of them.");
  c->upstreams_aside = mq_metrics_gauge (m, "marjoramquay_upstreams",
                                         "state=\"unusable\"", "");
  c->upstreams_turning_away = mq_metrics_gauge (m, "marjoramquay_upstreams",
                                                "state=\"turning-away\"", "");
  c->upstreams_slow
      = mq_metrics_gauge (m, "marjoramquay_upstreams", "state=\"slow\"", "");
  c->routers = mq_metrics_gauge (m, "marjoramquay_routers", "",
                                 "Heard lately, with this one.");
  c->log_lines = mq_metrics_counter (m, "marjoramquay_log_lines_total", "",
                                     "Lines written.");
  c->log_left_out = mq_metrics_counter (m, "marjoramquay_log_left_out_total",
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
mq_gateway_count_first_event (mq_gateway *gateway, uint64_t us)
{
  mq_histogram_observe (
      mq_metrics_histogram (gateway->metrics,
                            "marjoramquay_first_event_seconds", "",
                            "From a request to its first event."),
      us);
}

/* Bring the gauges up to date: they are read seldom.  */
static void
metrics_refresh (mq_gateway *gateway)
{
  mq_gateway_counters *c = &gateway->counters;
  uint64_t now = mq_gateway_now_us ();
  GHashTableIter i;
  gpointer value;

  *c->routing_version = gateway->routing ? gateway->routing->version : 0;
  *c->routing_age_ms = (now - gateway->routing_feed.fresh_us) / 1000;
  *c->upstreams_age_ms = (now - gateway->upstream_feed.fresh_us) / 1000;
  *c->upstreams = g_hash_table_size (gateway->registry.by_id);
  *c->upstreams_aside = 0;
  *c->upstreams_turning_away = 0;
  *c->upstreams_slow = 0;
  g_hash_table_iter_init (&i, gateway->registry.by_id);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      if (!mq_upstream_is_usable (value, now))
        ++*c->upstreams_aside;
      else if (!mq_upstream_takes_work (value, now))
        ++*c->upstreams_turning_away;
      if (mq_upstream_slowness (value, now) >= MQ_UPSTREAM_SLOW)
        ++*c->upstreams_slow;
    }
  *c->routers = mq_gateway_routers (gateway);
  *c->log_lines = mq_log_count ()->lines;
  *c->log_left_out = mq_log_count ()->left_out;
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
  mq_gateway_answer_text (event->exchange, STATUS_OK,
                          "text/plain; version=0.0.4",
                          (mq_span){ out->str, out->len });
  g_string_free (out, TRUE);
}
