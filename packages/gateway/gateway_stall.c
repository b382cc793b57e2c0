/* A stream fell silent: which engine of its path is at fault?

   The head of a path knows which engine its requests wait for.  It is asked
   once for all its silent streams; what it names is put aside and every send
   through it ends at once.  A head that does not answer is itself at fault. */

#include <mq/internal/gateway.h>

#include <mq/log.h>

#define REPORT_TIMEOUT_MS 400
#define REPORT_CONNECT_MS 250
/* An engine found stalled stays aside so long at least; one that died leaves
   the platform's list after three heartbeats (3.6 s).  */
#define STALLED_ASIDE_US ((uint64_t)4000 * 1000)
/* The same head is asked no sooner again; its report is 0.2 s old anyhow.  */
#define REPORT_PAUSE_US ((uint64_t)300 * 1000)
/* Work that waits at a head means that some stage has no memory left: nothing
   new goes there until the next report would tell.  */
#define CROWDED_US ((uint64_t)400 * 1000)
/* An engine that is slow is asked again this long before what is known of it
   runs out, since nothing may pass through it until then.  */
#define PACE_AGAIN_US ((uint64_t)500 * 1000)
#define STATUS_OK 200

typedef struct stall_call
{
  mq_gateway *gateway; /* Borrowed.  */
  mq_upstream *head;   /* One reference.  */
} stall_call;

/* UPSTREAM does not do its work.  BLAMED: another engine says so.  */
static void
stall_found (mq_upstream *upstream, bool blamed, const char *why)
{
  uint64_t now = mq_gateway_now_us ();

  mq_log (G_LOG_LEVEL_WARNING, "upstream.stalled", "upstream=%s why=%s",
          mq_str_cstr (upstream->facts.id), why);
  if (blamed)
    mq_upstream_blamed (upstream, now, STALLED_ASIDE_US);
  else
    mq_upstream_put_aside (upstream, now, STALLED_ASIDE_US);
}

/* A head names the engine at ADDRESS.  That may have left the list, or be put
   aside already; requests that pass through it must go on elsewhere all the
   same.  */
static void
stall_named (mq_gateway *gateway, const mq_upstream *head, mq_span address)
{
  mq_upstream *u = mq_registry_at (&gateway->registry, address);

  if (u == head)
    return;
  if (u != NULL && mq_upstream_is_usable (u, mq_gateway_now_us ()))
    stall_found (u, true, "stalled");
  mq_forward_fail_through (gateway, address, "stalled");
}

static void
stall_take_report (stall_call *call, mq_span body)
{
  mq_gateway *g = call->gateway;
  mq_engine_report r;
  GError *error = NULL;

  if (g->dialect->report_decode (body, &r, &error) < 0)
    {
      mq_log (G_LOG_LEVEL_WARNING, "upstream.report-unusable",
              "upstream=%s error=%s", mq_str_cstr (call->head->facts.id),
              mq_log_quote (error->message));
      g_error_free (error);
      return;
    }
  mq_log (G_LOG_LEVEL_INFO, "upstream.report",
          "upstream=%s running=%u waiting=%u kv=%" G_GUINT64_FORMAT
          "/%" G_GUINT64_FORMAT " pace=%.2f stalled=%u",
          mq_str_cstr (call->head->facts.id), r.running, r.waiting, r.kv_used,
          r.kv_total, r.pace, r.stalled_at->len);
  mq_upstream_set_pace (call->head, r.pace, mq_gateway_now_us ());
  if (r.waiting > 0 && r.stalled_at->len == 0)
    call->head->crowded_until_us = mq_gateway_now_us () + CROWDED_US;
  for (guint i = 0; i < r.stalled_at->len; i++)
    stall_named (g, call->head,
                 mq_span_from (g_ptr_array_index (r.stalled_at, i)));
  g->dialect->report_finish (&r);
}

static void
stall_on_call (void *context, const mq_http_client_event *event)
{
  stall_call *c = context;

  if (event->kind != MQ_HTTP_CLIENT_END)
    return;
  g_hash_table_remove (c->gateway->reports, c->head);
  if (event->result == MQ_HTTP_OK && event->status == STATUS_OK)
    stall_take_report (c, event->data);
  else if (event->result != MQ_HTTP_OK)
    {
      stall_found (c->head, false, "no-report");
      mq_forward_fail_through (
          c->gateway, mq_str_span (c->head->facts.address), "no-report");
    }
  mq_upstream_unref (c->head);
  g_free (c);
}

void
mq_stall_ask (mq_gateway *gateway, mq_upstream *head)
{
  stall_call *c;
  char *url;
  uint64_t now = mq_gateway_now_us ();
  mq_http_call_options options
      = { .connect_ms = REPORT_CONNECT_MS, .timeout_ms = REPORT_TIMEOUT_MS };

  if (g_hash_table_contains (gateway->reports, head)
      || now - head->reported_us < REPORT_PAUSE_US)
    return;
  head->reported_us = now;
  g_hash_table_add (gateway->reports, head);
  c = g_new0 (stall_call, 1);
  c->gateway = gateway;
  c->head = mq_upstream_ref (head);
  url = g_strdup_printf ("http://%s%s", mq_str_cstr (head->facts.address),
                         gateway->dialect->report_path);
  options.url = mq_span_from (url);
  ++*gateway->counters.reports;
  (void)mq_http_client_start (gateway->client, &options, stall_on_call, c);
  g_free (url);
}

void
mq_stall_ask_paces (mq_gateway *gateway, const mq_layer_path *path)
{
  uint64_t now = mq_gateway_now_us ();

  for (unsigned i = 0; i < path->n; i++)
    if (now >= path->parts[i].upstream->pace_until_us)
      mq_stall_ask (gateway, path->parts[i].upstream);
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

      if (u->pace >= MQ_UPSTREAM_SLOW
          && now_us + PACE_AGAIN_US > u->pace_until_us)
        mq_stall_ask (gateway, u);
    }
}
