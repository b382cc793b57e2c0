/* Health, readiness, metrics and status: see status.h.  */

#include "status.h"

#include <mq/json_text.h>
#include <mq/resource_metrics.h>
#include <stdio.h>
#include <sys/resource.h>

#include "crash_tracker.h"
#include "fleet_node.h"
#include "fleet_plans.h"
#include "reply.h"

static uint64_t *
outcome_counter (mq_metrics *metrics, mq_outcome outcome)
{
  char labels[48];

  (void)snprintf (labels, sizeof labels, "outcome=\"%s\"",
                  mq_outcome_name (outcome));
  return mq_metrics_counter (metrics, "marjoramquay_requests_total", labels,
                             "Requests that ended, by outcome.");
}

void
mq_status_init (mq_router *router)
{
  mq_metrics *m = router->metrics;
  mq_router_counters *c = &router->counters;

  for (int i = MQ_OUTCOME_DONE; i <= MQ_OUTCOME_UNKNOWN; i++)
    c->requests_by_outcome[i] = outcome_counter (m, (mq_outcome)i);
  c->bad_requests = mq_metrics_counter (
      m, "marjoramquay_bad_requests_total", "",
      "Requests refused before they were looked at as work.");
  c->tokens = mq_metrics_counter (m, "marjoramquay_tokens_total", "",
                                  "Tokens handed to callers.");
  c->attempts = mq_metrics_counter (m, "marjoramquay_attempts_total", "",
                                    "Streams and calls sent to upstreams.");
  c->dropped_lines = mq_metrics_counter (
      m, "marjoramquay_dropped_lines_total", "",
      "Lines from engines that matched no request and attempt.");
  c->upstream_failures
      = mq_metrics_counter (m, "marjoramquay_upstream_failures_total", "",
                            "Streams and calls that broke.");
  c->first_token
      = mq_metrics_histogram (m, "marjoramquay_first_token_seconds", "",
                              "From the request to its first token.");
  c->token_gap = mq_metrics_histogram (m, "marjoramquay_token_gap_seconds", "",
                                       "Between two tokens of one request.");
  c->completion = mq_metrics_histogram (m, "marjoramquay_request_seconds",
                                        "kind=\"completion\"",
                                        "From the request to its end.");
  c->service = mq_metrics_histogram (m, "marjoramquay_request_seconds",
                                     "kind=\"service\"",
                                     "From the request to its end.");
}

void
mq_status_health (mq_router *router, mq_http_exchange *exchange)
{
  (void)router;
  mq_reply_text (exchange, 200, MQ_SPAN ("ok\n"));
}

void
mq_status_ready (mq_router *router, mq_http_exchange *exchange)
{
  if (router->config == NULL)
    mq_reply_text (exchange, 503, MQ_SPAN ("no configuration yet\n"));
  else if (router->cut_off)
    mq_reply_text (exchange, 503,
                   MQ_SPAN ("cut off from the platform and all peers\n"));
  else if (router->mode != MQ_ROUTER_SERVING)
    mq_reply_text (exchange, 503, MQ_SPAN ("leaving\n"));
  else
    mq_reply_text (exchange, 200, MQ_SPAN ("ready\n"));
}

static uint64_t
cpu_ms (void)
{
  struct rusage u;

  if (getrusage (RUSAGE_SELF, &u) < 0)
    return 0;
  return (uint64_t)(u.ru_utime.tv_sec + u.ru_stime.tv_sec) * 1000
         + (uint64_t)(u.ru_utime.tv_usec + u.ru_stime.tv_usec) / 1000;
}

static void
gauge_set (mq_router *router, const char *name, const char *help,
           uint64_t value)
{
  *mq_metrics_gauge (router->metrics, name, "", help) = value;
}

static void
counter_set (mq_router *router, const char *name, const char *labels,
             const char *help, uint64_t value)
{
  *mq_metrics_counter (router->metrics, name, labels, help) = value;
}

/* Copies the entry's counters into the metrics.  Called for each scrape.  */
static void
entry_counters_copy (mq_router *router)
{
  const mq_entry_counters *c = mq_entry_read_counters (router->entry);
  char labels[64];

  for (int i = MQ_REASON_NONE + 1; i < MQ_REASON_COUNT; i++)
    {
      (void)snprintf (labels, sizeof labels, "reason=\"%s\"",
                      mq_reason_code ((mq_reason)i));
      counter_set (router, "marjoramquay_ends_total", labels,
                   "Requests that did not end as done, by reason.",
                   c->reasons[i]);
    }
  counter_set (router, "marjoramquay_late_total", "",
               "Requests that were accepted and missed their deadline.",
               c->late);
  counter_set (router, "marjoramquay_stalls_total", "",
               "Streams that sent no token in time.", c->stalls);
  counter_set (router, "marjoramquay_replans_total", "",
               "Plans asked for after a stage was lost.", c->replans);
  counter_set (router, "marjoramquay_retries_total", "",
               "Calls of plain services sent again.", c->retries);
  counter_set (router, "marjoramquay_retries_denied_total", "",
               "Retries that the budget did not allow.", c->retries_denied);
  counter_set (router, "marjoramquay_dropped_events_total", "why=\"attempt\"",
               "Late, crossed or doubled answers.", c->stale_events);
  counter_set (router, "marjoramquay_dropped_events_total", "why=\"position\"",
               "Late, crossed or doubled answers.", c->duplicate_tokens);
  counter_set (router, "marjoramquay_wrong_receipts_total", "",
               "Tokens refused for the layers or versions that made them.",
               c->wrong_receipts);
}

static uint64_t
generation (const mq_router *router)
{
  return router->config == NULL ? 0 : router->config->generation;
}

void
mq_status_metrics (mq_router *router, mq_http_exchange *exchange)
{
  GString *out = g_string_sized_new (8192);

  gauge_set (router, "marjoramquay_generation",
             "Generation of the configuration in force, 0 for none.",
             generation (router));
  gauge_set (router, "marjoramquay_in_flight", "Requests that have not ended.",
             mq_entry_in_flight (router->entry));
  gauge_set (router, "marjoramquay_draining", "1 once the router is leaving.",
             router->mode != MQ_ROUTER_SERVING);
  gauge_set (router, "marjoramquay_cpu_milliseconds",
             "Processor time used by this process.", cpu_ms ());
  entry_counters_copy (router);
  mq_fleet_node_update_metrics (router->fleet);
  mq_resource_metrics_update (router->metrics, &router->account);
  mq_crash_tracker_update_metrics (router->crash_tracker);
  mq_fleet_plans_update_metrics (router->plans);
  mq_metrics_render (router->metrics, out);
  mq_reply_text (exchange, 200, (mq_span){ out->str, out->len });
  g_string_free (out, TRUE);
}

void
mq_status_show (mq_router *router, mq_http_exchange *exchange)
{
  const mq_settings *s = router->settings;
  GString *out = g_string_new ("{");

  mq_json_text_member (out, "name", mq_str_span (s->name));
  mq_json_text_member (out, "region", mq_str_span (s->region));
  mq_json_text_member (out, "failure_domain", mq_str_span (s->failure_domain));
  mq_json_text_member (out, "incarnation",
                       mq_span_from (router->incarnation_text));
  mq_json_text_member (out, "version", MQ_SPAN (MQ_VERSION));
  mq_json_text_number (out, "generation", generation (router));
  mq_json_text_bool (out, "draining", router->mode != MQ_ROUTER_SERVING);
  mq_json_text_bool (out, "cut_off", router->cut_off);
  mq_json_text_number (out, "in_flight", mq_entry_in_flight (router->entry));
  mq_fleet_node_append_status (router->fleet, out);
  g_string_append (out, "}\n");
  mq_reply_json (exchange, 200, out);
  g_string_free (out, TRUE);
}
