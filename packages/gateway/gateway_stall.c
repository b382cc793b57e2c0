/* A stream fell silent: which engine of its path is at fault?

   The head of a path knows which engine its requests wait for.  It is asked
   once for all its silent streams; what it names is ejected and every send
   through it ends at once.  A head that does not answer is itself at fault. */

#include <mq/internal/gateway.h>

#include <mq/log.h>

/* An engine found stalled stays ejected so long at least; one that died leaves
   the platform's list after three heartbeats (3.6 s).  */
#define STALLED_EJECTION_US ((uint64_t)4000 * 1000)
/* The same head is asked no sooner again; its report is some hundred ms old.
 */
#define REPORT_PAUSE_US ((uint64_t)150 * 1000)
/* Work that waits at a head means that some stage has no memory left: nothing
   new goes there until the next report would tell.  */
#define CROWDED_US ((uint64_t)400 * 1000)
/* An engine that is slow is asked again this long before what is known of it
   runs out, since nothing may pass through it until then.  */
#define PACE_AGAIN_US ((uint64_t)500 * 1000)

/* UPSTREAM does not do its work.  BLAMED: another engine says so.  */
static void
stall_found (mq_upstream *upstream, bool blamed, const char *why)
{
  uint64_t now = mq_gateway_now_us ();

  mq_log (G_LOG_LEVEL_WARNING, "upstream.stalled", "upstream=%s why=%s",
          mq_str_cstr (upstream->facts.id), why);
  if (blamed)
    mq_upstream_reported_down (upstream, now, STALLED_EJECTION_US);
  else
    mq_upstream_eject (upstream, now, STALLED_EJECTION_US);
}

void
mq_stall_found_down (mq_gateway *gateway, mq_upstream *engine, const char *why)
{
  if (mq_upstream_is_usable (engine, mq_gateway_now_us ()))
    stall_found (engine, true, why);
  mq_forward_fail_all_through (gateway, mq_str_span (engine->facts.address),
                               "stalled");
}

/* A head names the engine at ADDRESS.  That may have left the list; requests
   that pass through it must go on elsewhere all the same.  */
static void
stall_named (mq_gateway *gateway, const mq_upstream *head, mq_span address)
{
  mq_upstream *u = mq_registry_find_address (&gateway->registry, address);

  if (u == head)
    return;
  if (u != NULL)
    mq_stall_found_down (gateway, u, "stalled");
  else
    mq_forward_fail_all_through (gateway, address, "stalled");
}

static void
stall_take_report (mq_gateway *gateway, mq_upstream *head,
                   const mq_engine_report *report)
{
  mq_log (G_LOG_LEVEL_INFO, "upstream.report",
          "upstream=%s running=%u waiting=%u kv=%" G_GUINT64_FORMAT
          "/%" G_GUINT64_FORMAT " pace=%.2f stalled=%u",
          mq_str_cstr (head->facts.id), report->running, report->waiting,
          report->kv_used, report->kv_total, report->pace,
          report->stalled_at->len);
  if (report->waiting > 0 && report->stalled_at->len == 0)
    head->saturated_until_us = mq_gateway_now_us () + CROWDED_US;
  for (guint i = 0; i < report->stalled_at->len; i++)
    stall_named (gateway, head,
                 mq_span_from (g_ptr_array_index (report->stalled_at, i)));
}

static void
stall_on_report (mq_gateway *gateway, mq_upstream *head, mq_http_result result,
                 const mq_engine_report *report)
{
  head->stall_report_pending = false;
  if (report != NULL)
    stall_take_report (gateway, head, report);
  else if (result != MQ_HTTP_OK)
    {
      stall_found (head, false, "no-report");
      mq_forward_fail_all_through (gateway, mq_str_span (head->facts.address),
                                   "no-report");
    }
}

void
mq_stall_ask_head (mq_gateway *gateway, mq_upstream *head)
{
  if (head->stall_report_pending
      || mq_gateway_now_us () - head->reported_us < REPORT_PAUSE_US)
    return;
  head->stall_report_pending = true;
  mq_report_request (gateway, head, stall_on_report);
}

void
mq_stall_ask_paces (mq_gateway *gateway, const mq_layer_path *path)
{
  uint64_t now = mq_gateway_now_us ();

  for (unsigned i = 0; i < path->n; i++)
    if (now >= path->stages[i].upstream->slowdown_until_us)
      mq_stall_ask_head (gateway, path->stages[i].upstream);
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

      if (u->pace >= MQ_UPSTREAM_SLOW_FACTOR
          && now_us + PACE_AGAIN_US > u->slowdown_until_us)
        mq_stall_ask_head (gateway, u);
    }
}
