/* Detection of the stalled engine on the path of a silent stream.

   The head of a path knows which engine its requests wait for.  One report is
   requested for all its silent streams; the engine that it names is ejected,
   and silent requests leave the paths through it.  A head that does not reply
   may itself be at fault.  Neither shows that a run is lost, so that no
   request is ended, and what a run through an engine has received since
   refutes both.  */

#include <mq/internal/gateway.h>

#include <mq/log.h>
#include <string.h>

/* Shortest ejection of a stalled engine.  A crashed one leaves the platform's
   list after three heartbeats (3.6 s).  */
#define STALLED_EJECTION_US ((uint64_t)4000 * 1000)
/* Between two report requests to the same engine, whose reports are some
   hundred ms old.  */
#define REPORT_INTERVAL_US ((uint64_t)150 * 1000)
/* Requests that wait at a head mean that some stage has no memory left.  The
   head counts as saturated, and gets no new requests, for this long: until the
   next report would show a change.  */
#define SATURATED_US ((uint64_t)400 * 1000)
/* A report of a slow engine is requested this long before its known slowdown
   expires, since no request may pass through it that would show one.  */
#define SLOWDOWN_RENEWAL_US ((uint64_t)500 * 1000)

/* Eject UPSTREAM.  BLAMED: another engine or a probe named it, rather than its
   own missing report.  */
static void
stall_eject (mq_upstream *upstream, bool blamed, const char *why)
{
  uint64_t now = mq_gateway_now_us ();

  mq_log (G_LOG_LEVEL_WARNING, "upstream.stalled", "upstream=%s why=%s",
          mq_str_cstr (upstream->facts.id), why);
  upstream->stalled_why = why;
  if (blamed)
    mq_upstream_reported_down (upstream, now, STALLED_EJECTION_US);
  else
    mq_upstream_eject (upstream, now, STALLED_EJECTION_US);
}

void
mq_stall_refute (mq_upstream *upstream, const char *why)
{
  if (upstream->stalled_why == NULL
      || strcmp (upstream->stalled_why, why) != 0)
    return;
  upstream->stalled_why = NULL;
  mq_log (G_LOG_LEVEL_INFO, "upstream.goes-on", "upstream=%s was=%s",
          mq_str_cstr (upstream->facts.id), why);
  mq_upstream_succeeded (upstream, 0);
}

void
mq_stall_mark_down (mq_gateway *gateway, mq_upstream *engine,
                    uint64_t since_us, const char *why)
{
  if (engine->progress_us > since_us)
    return;
  if (mq_upstream_is_usable (engine, mq_gateway_now_us ()))
    stall_eject (engine, true, why);
  mq_forward_leave_all_through (gateway, mq_str_span (engine->facts.address),
                                why);
}

/* HEAD, asked for a report at ASKED_US, named the engine at ADDRESS as
   stalled.  That may have left the list; requests through it are to move to
   other paths all the same.  */
static void
stall_mark_named (mq_gateway *gateway, const mq_upstream *head,
                  uint64_t asked_us, mq_span address)
{
  mq_upstream *u = mq_registry_find_address (&gateway->registry, address);

  if (u == head)
    return;
  if (u != NULL)
    mq_stall_mark_down (gateway, u, asked_us, "stalled");
  else
    mq_forward_leave_all_through (gateway, address, "stalled");
}

/* Returns true if REPORT names UPSTREAM as stalled.  */
static bool
report_names (const mq_engine_report *report, const mq_upstream *upstream)
{
  for (guint i = 0; i < report->stalled_addresses->len; i++)
    if (mq_span_equal (
            mq_span_from (g_ptr_array_index (report->stalled_addresses, i)),
            mq_str_span (upstream->facts.address)))
      return true;
  return false;
}

/* HEAD replied with REPORT: it works, and so do the engines of its requests'
   paths that it no longer names, if the report could be read whole.  */
static void
stall_refute_by_report (const mq_gateway *gateway, mq_upstream *head,
                        const mq_engine_report *report)
{
  mq_stall_refute (head, "no-report");
  if (report->left_out != NULL)
    return;
  for (GList *l = gateway->forwards.head; l != NULL; l = l->next)
    {
      const mq_forward *f = l->data;

      if (f->upstream != head)
        continue;
      for (unsigned i = 0; i < f->path.n; i++)
        if (!report_names (report, f->path.stages[i].upstream))
          mq_stall_refute (f->path.stages[i].upstream, "stalled");
    }
}

static void
stall_apply_report (mq_gateway *gateway, mq_upstream *head,
                    const mq_engine_report *report)
{
  stall_refute_by_report (gateway, head, report);
  mq_log (G_LOG_LEVEL_INFO, "upstream.report",
          "upstream=%s running=%u waiting=%u kv=%" G_GUINT64_FORMAT
          "/%" G_GUINT64_FORMAT " pace=%.2f stalled=%u",
          mq_str_cstr (head->facts.id), report->running, report->waiting,
          report->kv_used, report->kv_total, report->slowdown,
          report->stalled_addresses->len);
  if (report->waiting > 0 && report->stalled_addresses->len == 0)
    head->saturated_until_us = mq_gateway_now_us () + SATURATED_US;
  for (guint i = 0; i < report->stalled_addresses->len; i++)
    stall_mark_named (
        gateway, head, head->reported_us,
        mq_span_from (g_ptr_array_index (report->stalled_addresses, i)));
}

static void
stall_on_report (mq_gateway *gateway, mq_upstream *head, mq_http_result result,
                 const mq_engine_report *report)
{
  mq_span address = mq_str_span (head->facts.address);

  head->stall_report_pending = false;
  if (report != NULL)
    stall_apply_report (gateway, head, report);
  else if (result != MQ_HTTP_OK && head->progress_us <= head->reported_us)
    {
      stall_eject (head, false, "no-report");
      mq_forward_leave_all_through (gateway, address, "no-report");
    }
}

void
mq_stall_request_report (mq_gateway *gateway, mq_upstream *head)
{
  uint64_t now = mq_gateway_now_us ();

  if (head->stall_report_pending
      || now - head->reported_us < REPORT_INTERVAL_US
      || !mq_gateway_may_send (gateway, head, MQ_SEND_FOR_REQUEST, now))
    return;
  head->stall_report_pending = true;
  mq_gateway_note_send (gateway, head, MQ_SEND_FOR_REQUEST, now);
  mq_report_request (gateway, head, stall_on_report);
}

void
mq_stall_request_slowdowns (mq_gateway *gateway, const mq_layer_path *path)
{
  uint64_t now = mq_gateway_now_us ();

  for (unsigned i = 0; i < path->n; i++)
    if (now >= path->stages[i].upstream->slowdown_until_us)
      mq_stall_request_report (gateway, path->stages[i].upstream);
}

void
mq_stall_tick (mq_gateway *gateway, uint64_t now_us)
{
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, gateway->registry.by_id);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      mq_upstream *u = value;

      if (u->slowdown >= MQ_UPSTREAM_SLOW_FACTOR
          && now_us + SLOWDOWN_RENEWAL_US > u->slowdown_until_us)
        mq_stall_request_report (gateway, u);
    }
}
