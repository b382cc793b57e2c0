/* Report requests to engines.

   A report is charged and describes the engine 0.2 s ago.  It is requested
   only to find the engine at fault on a path, the slowdown of an engine, or
   the outcome of an order.  */

#include <mq/internal/gateway.h>

#include <mq/internal/gateway_detour.h>
#include <mq/internal/gateway_reach.h>
#include <mq/log.h>

#define REPORT_TIMEOUT_MS 400
#define REPORT_CONNECT_MS 250
#define STATUS_OK 200

typedef struct report_call
{
  mq_gateway *gateway;   /* Borrowed.  */
  mq_upstream *upstream; /* One reference.  */
  mq_detour *detour;     /* Borrowed; NULL: a direct call.  */
  uint64_t sent_us;
  mq_report_sink sink;
} report_call;

/* Decode BODY for CALL.  Returns 0, or -1 after logging the error.  */
static int
report_decode (const report_call *call, mq_span body, mq_engine_report *report)
{
  GError *error = NULL;

  if (call->gateway->dialect->report_decode (body, report, &error) == 0)
    {
      if (report->left_out != NULL)
        mq_log (G_LOG_LEVEL_WARNING, "upstream.report-incomplete",
                "upstream=%s error=%s", mq_str_cstr (call->upstream->facts.id),
                mq_log_quote (report->left_out));
      return 0;
    }
  mq_log (G_LOG_LEVEL_WARNING, "upstream.report-unusable",
          "upstream=%s error=%s", mq_str_cstr (call->upstream->facts.id),
          mq_log_quote (error->message));
  g_error_free (error);
  return -1;
}

/* Returns the result of CALL, whose end is EVENT, for its sink.  A failure of
   the way to the upstream says nothing about that.  */
static mq_http_result
report_failure (const report_call *call, const mq_http_client_event *event)
{
  if (event->result == MQ_HTTP_OK)
    return MQ_HTTP_OK;
  if (call->detour != NULL)
    return mq_gateway_note_detour_failure (call->detour, event) ? event->result
                                                                : MQ_HTTP_OK;
  mq_gateway_reach_suspect (call->gateway, call->upstream);
  return mq_gateway_has_detour (call->gateway, call->upstream,
                                mq_gateway_now_us ())
             ? MQ_HTTP_OK
             : event->result;
}

/* Returns true if REPORT is of the incarnation of UPSTREAM that is listed: its
   address may be that of another engine.  */
static bool
report_is_of (const mq_engine_report *report, const mq_upstream *upstream)
{
  uint64_t born = upstream->facts.born_ms;

  return report->born_ms == 0 || born == 0 || report->born_ms == born;
}

/* Hand REPORT to the sink of CALL.  */
static void
report_receive (const report_call *call, const mq_engine_report *report)
{
  mq_upstream *u = call->upstream;

  if (!report_is_of (report, u))
    {
      mq_log (G_LOG_LEVEL_WARNING, "upstream.report-of-other",
              "upstream=%s born=%" G_GUINT64_FORMAT
              " reported=%" G_GUINT64_FORMAT,
              mq_str_cstr (u->facts.id), u->facts.born_ms, report->born_ms);
      mq_upstream_unanswered (u);
      call->sink (call->gateway, u, MQ_HTTP_OK, NULL);
      return;
    }
  mq_gateway_note_answered (u);
  /* Without all of its members it does not show that the upstream is fast. */
  if (report->left_out == NULL)
    mq_upstream_set_slowdown (u, report->slowdown, mq_gateway_now_us ());
  call->sink (call->gateway, u, MQ_HTTP_OK, report);
}

static void
report_on_call (void *context, const mq_http_client_event *event)
{
  report_call *c = context;
  mq_engine_report r;

  if (event->kind != MQ_HTTP_CLIENT_END)
    return;
  if (event->result == MQ_HTTP_OK)
    mq_gateway_note_response (c->gateway, c->upstream, event->call, c->sent_us,
                              false);
  if (event->result == MQ_HTTP_OK && event->status == STATUS_OK
      && report_decode (c, event->data, &r) == 0)
    {
      report_receive (c, &r);
      c->gateway->dialect->report_finish (&r);
    }
  else
    {
      mq_gateway_note_unanswered (c->gateway, c->upstream, event, c->detour,
                                  c->sent_us);
      c->sink (c->gateway, c->upstream, report_failure (c, event), NULL);
    }
  mq_upstream_unref (c->upstream);
  g_free (c);
}

void
mq_report_request (mq_gateway *gateway, mq_upstream *upstream,
                   mq_report_sink sink)
{
  report_call *c = g_new0 (report_call, 1);
  char *url
      = g_strdup_printf ("http://%s%s", mq_str_cstr (upstream->facts.address),
                         gateway->dialect->report_path);
  mq_http_header expected
      = { mq_span_from (gateway->dialect->headers.expect_incarnation),
          mq_str_span (upstream->facts.id) };
  mq_http_call_options options
      = { .url = mq_span_from (url),
          .headers = &expected,
          .n_headers = 1,
          .connect_ms = REPORT_CONNECT_MS,
          .timeout_ms = REPORT_TIMEOUT_MS,
          .single = gateway->dialect->single_headers,
          .not_run = gateway->dialect->headers.not_run,
          .shares_room = true };

  c->gateway = gateway;
  c->upstream = mq_upstream_ref (upstream);
  c->sink = sink;
  c->sent_us = mq_gateway_now_us ();
  upstream->reported_us = c->sent_us;
  c->detour = mq_gateway_choose_detour (gateway, upstream, c->sent_us);
  if (c->detour != NULL)
    options.tunnel = mq_str_span (c->detour->address);
  ++*gateway->counters.reports;
  (void)mq_http_client_start (gateway->client, &options, report_on_call, c);
  g_free (url);
}

void
mq_gateway_note_unanswered (mq_gateway *gateway, mq_upstream *upstream,
                            const mq_http_client_event *event,
                            const mq_detour *detour, uint64_t sent_us)
{
  uint64_t now = mq_gateway_now_us ();
  mq_upstream_proof before = upstream->proof;

  if (event->result == MQ_HTTP_CONNECT_FAILED && detour == NULL
      && now - sent_us < MQ_CONNECT_REFUSED_US
      && !mq_gateway_has_detour (gateway, upstream, now))
    mq_upstream_refused (upstream, now);
  else
    mq_upstream_unanswered (upstream);
  if (upstream->proof != before)
    mq_log (G_LOG_LEVEL_INFO, "upstream.unanswered",
            "upstream=%s refused=%d result=%d",
            mq_str_cstr (upstream->facts.id), upstream->proof == MQ_PROOF_LOST,
            event->result);
}

void
mq_gateway_note_answered (mq_upstream *upstream)
{
  if (upstream->proof == MQ_PROOF_SILENT || upstream->proof == MQ_PROOF_LOST)
    mq_log (G_LOG_LEVEL_INFO, "upstream.answers", "upstream=%s",
            mq_str_cstr (upstream->facts.id));
  mq_upstream_answered (upstream);
}
