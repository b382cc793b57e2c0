/* Crashes of upstreams and their suspects: see crash_tracker.h.  */

#include "crash_tracker.h"

#include <mq/log.h>
#include <mq/tcp_probe.h>
#include <string.h>

#include "fleet_node.h"

/* The same as the gateway's default.  */
#define QUARANTINE_US ((uint64_t)600 * 1000 * 1000)
#define PROBE_TIMEOUT_MS 250
/* Upstreams that are probed at the same time.  */
#define MAX_PROBES 64
#define TICK_INTERVAL_S 0.25
/* All current records are resent at this interval to the next few members, so
   that a router that starts receives them within some seconds.  */
#define RESEND_INTERVAL_US ((uint64_t)1000 * 1000)
#define RESEND_MEMBERS 2
/* Upstreams do not identify their starts.  A crash is identified by the
   upstream's URL and the wall clock in steps of this size: all calls that
   break off notice the crash within a step, and a restart takes longer.  */
#define CRASH_TIME_STEP_US ((gint64)1000 * 1000)

/* The probe of an upstream that may have crashed.  */
typedef struct crash_probe
{
  mq_crash_tracker *tracker; /* Borrowed.  */
  mq_str *url;               /* Owned reference.  */
  mq_tcp_probe *tcp_probe;   /* Borrowed until it reports.  */
  uint64_t upstream;         /* Hash of the start that may have crashed.  */
  uint64_t broke_us;
  GArray *requests; /* of uint64_t: hashes of the requests' contents  */
} crash_probe;

struct mq_crash_tracker
{
  mq_router *router; /* Borrowed.  */
  mq_quarantine quarantine;
  GPtrArray *probes; /* of crash_probe, owned  */
  ev_timer tick;
  uint64_t resent_us; /* When all records were last sent.  */
  uint64_t crashes;   /* Crashes that this router detected.  */
};

static void
probe_free (gpointer data)
{
  crash_probe *p = data;

  if (p->tcp_probe != NULL)
    mq_tcp_probe_cancel (p->tcp_probe);
  mq_str_unref (p->url);
  g_array_unref (p->requests);
  g_free (p);
}

/* Returns the IP:PORT of URL, or the empty span when it has none.  */
static mq_span
url_address (mq_span url)
{
  const char *end = url.data + url.size;
  const char *at = g_strstr_len (url.data, (gssize)url.size, "://");
  const char *slash;

  if (at == NULL)
    return (mq_span){ NULL, 0 };
  at += strlen ("://");
  slash = memchr (at, '/', (size_t)(end - at));
  return (mq_span){ at, (size_t)((slash != NULL ? slash : end) - at) };
}

/* ---- Crash records.  */

static void
records_send (mq_crash_tracker *tracker, bool all, unsigned members,
              uint64_t now_us)
{
  GArray *records = g_array_new (FALSE, FALSE, sizeof (mq_quarantine_record));
  mq_peer_message m = { .kind = MQ_PEER_CRASHES };

  mq_quarantine_export (&tracker->quarantine, all, records, now_us);
  m.u.crashes.n = records->len;
  if (records->len > 0)
    {
      memcpy (m.u.crashes.items, records->data,
              records->len * sizeof (mq_quarantine_record));
      mq_fleet_node_broadcast (tracker->router->fleet, &m, members);
    }
  g_array_unref (records);
}

static void
changes_log (mq_crash_tracker *tracker, uint64_t now_us)
{
  GArray *changes = g_array_new (FALSE, FALSE, sizeof (mq_quarantine_change));

  mq_quarantine_tick (&tracker->quarantine, changes, now_us);
  for (guint i = 0; i < changes->len; i++)
    {
      const mq_quarantine_change *c
          = &g_array_index (changes, mq_quarantine_change, i);

      mq_log (G_LOG_LEVEL_WARNING,
              c->refused ? "request.quarantined" : "request.released",
              "content=%016" G_GINT64_MODIFIER "x ends=%u own=%d", c->element,
              c->crashes, c->own);
    }
  g_array_unref (changes);
}

static void
on_tick (struct ev_loop *loop, ev_timer *timer, int revents)
{
  mq_crash_tracker *t = timer->data;
  uint64_t now = mq_router_now_us ();

  (void)loop;
  (void)revents;
  if (mq_quarantine_is_empty (&t->quarantine))
    return;
  changes_log (t, now);
  if (mq_quarantine_is_fresh (&t->quarantine, now))
    records_send (t, false, G_MAXUINT, now);
  if (now < t->resent_us + RESEND_INTERVAL_US)
    return;
  t->resent_us = now;
  records_send (t, true, RESEND_MEMBERS, now);
}

/* ---- Probes.  */

static void
probe_confirm (crash_probe *p)
{
  mq_crash_tracker *t = p->tracker;
  uint64_t now = mq_router_now_us ();

  t->crashes++;
  mq_log (G_LOG_LEVEL_WARNING, "upstream.ended",
          "upstream=%s suspects=%u ms=%" G_GUINT64_FORMAT,
          mq_str_cstr (p->url), p->requests->len, (now - p->broke_us) / 1000);
  for (guint i = 0; i < p->requests->len; i++)
    {
      uint64_t request = g_array_index (p->requests, uint64_t, i);

      if (mq_quarantine_add (&t->quarantine, request, p->upstream, p->broke_us,
                             now))
        mq_log (G_LOG_LEVEL_WARNING, "request.suspected",
                "content=%016" G_GINT64_MODIFIER "x upstream=%s", request,
                mq_str_cstr (p->url));
    }
  records_send (t, false, G_MAXUINT, now);
}

static void
on_reach (void *context, mq_tcp_probe_result result)
{
  crash_probe *p = context;

  p->tcp_probe = NULL;
  if (result == MQ_TCP_PROBE_REFUSED)
    probe_confirm (p);
  g_ptr_array_remove_fast (p->tracker->probes, p);
}

/* Returns the open probe of the upstream at URL, or NULL.  */
static crash_probe *
probe_find (const mq_crash_tracker *tracker, mq_span url, uint64_t now_us)
{
  for (guint i = 0; i < tracker->probes->len; i++)
    {
      crash_probe *p = g_ptr_array_index (tracker->probes, i);

      if (mq_span_equal (mq_str_span (p->url), url)
          && now_us <= p->broke_us + MQ_QUARANTINE_SAME_CRASH_US)
        return p;
    }
  return NULL;
}

static crash_probe *
probe_open (mq_crash_tracker *tracker, mq_span url, uint64_t now_us)
{
  crash_probe *p;
  uint64_t start = (uint64_t)(g_get_real_time () / CRASH_TIME_STEP_US);

  if (tracker->probes->len >= MAX_PROBES)
    return NULL;
  p = g_new0 (crash_probe, 1);
  p->tracker = tracker;
  p->url = mq_str_new (url);
  p->broke_us = now_us;
  p->upstream
      = mq_hash_mix (mq_span_hash (url), start) | 1; /* 0 means success.  */
  p->requests = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  p->tcp_probe = mq_tcp_probe_start (tracker->router->loop, url_address (url),
                                     PROBE_TIMEOUT_MS, on_reach, p);
  if (p->tcp_probe != NULL)
    {
      g_ptr_array_add (tracker->probes, p);
      return p;
    }
  probe_free (p);
  return NULL;
}

/* ---- Functions declared in crash_tracker.h.  */

mq_crash_tracker *
mq_crash_tracker_new (mq_router *router)
{
  mq_crash_tracker *t = g_new0 (mq_crash_tracker, 1);

  t->router = router;
  mq_quarantine_init (&t->quarantine, QUARANTINE_US);
  t->probes = g_ptr_array_new_with_free_func (probe_free);
  ev_timer_init (&t->tick, on_tick, TICK_INTERVAL_S, TICK_INTERVAL_S);
  t->tick.data = t;
  ev_timer_start (router->loop, &t->tick);
  return t;
}

void
mq_crash_tracker_free (mq_crash_tracker *tracker)
{
  ev_timer_stop (tracker->router->loop, &tracker->tick);
  g_ptr_array_unref (tracker->probes);
  mq_quarantine_finish (&tracker->quarantine);
  g_free (tracker);
}

mq_quarantine *
mq_crash_tracker_quarantine (mq_crash_tracker *tracker)
{
  return &tracker->quarantine;
}

void
mq_crash_tracker_suspect (mq_crash_tracker *tracker,
                          const mq_entry_action *action)
{
  uint64_t now = mq_router_now_us ();
  uint64_t request = action->u.suspect.content;
  crash_probe *p = probe_find (tracker, action->u.suspect.url, now);

  if (p == NULL)
    p = probe_open (tracker, action->u.suspect.url, now);
  if (p == NULL)
    return;
  for (guint i = 0; i < p->requests->len; i++)
    if (g_array_index (p->requests, uint64_t, i) == request)
      return;
  if (p->requests->len < MQ_QUARANTINE_MAX_SUSPECTS_PER_CRASH)
    g_array_append_val (p->requests, request);
}

void
mq_crash_tracker_receive (mq_crash_tracker *tracker,
                          const mq_peer_message *message)
{
  uint64_t now = mq_router_now_us ();

  for (size_t i = 0; i < message->u.crashes.n; i++)
    (void)mq_quarantine_merge (&tracker->quarantine,
                               &message->u.crashes.items[i], now);
}

void
mq_crash_tracker_update_metrics (const mq_crash_tracker *tracker)
{
  mq_metrics *m = tracker->router->metrics;
  const char *name = "marjoramquay_quarantine_requests";

  *mq_metrics_counter (m, "marjoramquay_upstream_ends_total", "",
                       "Upstreams that ended under requests of this router.")
      = tracker->crashes;
  *mq_metrics_gauge (
      m, name, "state=\"suspected\"",
      "Requests remembered, as they stood near when upstreams ended.")
      = tracker->quarantine.suspects->len;
  *mq_metrics_gauge (m, name, "state=\"refused\"", "")
      = tracker->quarantine.refused;
}
