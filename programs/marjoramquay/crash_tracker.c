/* Upstreams that end under requests: see ends.h.  */

#include "crash_tracker.h"

#include <mq/log.h>
#include <mq/tcp_probe.h>
#include <string.h>

#include "fleet_node.h"

/* As long as on the routing face by default.  */
#define QUARANTINE_US ((uint64_t)600 * 1000 * 1000)
#define REACH_MS 250
/* Upstreams that are tried at a time.  */
#define MAX_CASES 64
/* From one look at what is to be told to the next.  */
#define TICK_S 0.25
/* From one telling of all that may matter to the next, and to how many: a
   router that starts hears of it from each other within some seconds.  */
#define TELL_ALL_US ((uint64_t)1000 * 1000)
#define TELL_ALL_MEMBERS 2
/* Upstreams have no name for one start of theirs.  An end is known by its
   address and this step of the time of day: all that break off by it are
   noticed within, and it takes longer to be back.  */
#define START_US ((gint64)1000 * 1000)

/* An upstream that may have ended.  */
typedef struct ends_case
{
  mq_crash_tracker *ends; /* Borrowed.  */
  mq_str *url;            /* One reference.  */
  mq_tcp_probe *reach;    /* Borrowed until it reports.  */
  uint64_t upstream;      /* Hash of what may have ended.  */
  uint64_t broke_us;
  GArray *requests; /* uint64_t: contents.  */
} ends_case;

struct mq_crash_tracker
{
  mq_router *router; /* Borrowed.  */
  mq_quarantine quarantine;
  GPtrArray *cases; /* ends_case, owned.  */
  ev_timer tick;
  uint64_t told_us; /* When all was last told.  */
  uint64_t ended;   /* Upstreams, as this router saw.  */
};

static void
case_free (gpointer data)
{
  ends_case *c = data;

  if (c->reach != NULL)
    mq_tcp_probe_cancel (c->reach);
  mq_str_unref (c->url);
  g_array_unref (c->requests);
  g_free (c);
}

/* IP:PORT of URL; empty when it has none.  */
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

/* ---- Telling.  */

static void
ends_tell (mq_crash_tracker *ends, bool all, unsigned members, uint64_t now_us)
{
  GArray *records = g_array_new (FALSE, FALSE, sizeof (mq_quarantine_record));
  mq_peer_message m = { .kind = MQ_PEER_CRASHES };

  mq_quarantine_export (&ends->quarantine, all, records, now_us);
  m.u.ends.n = records->len;
  if (records->len > 0)
    {
      memcpy (m.u.ends.items, records->data,
              records->len * sizeof (mq_quarantine_record));
      mq_fleet_node_tell (ends->router->fleet, &m, members);
    }
  g_array_unref (records);
}

static void
changes_log (mq_crash_tracker *ends, uint64_t now_us)
{
  GArray *changes = g_array_new (FALSE, FALSE, sizeof (mq_quarantine_change));

  mq_quarantine_tick (&ends->quarantine, changes, now_us);
  for (guint i = 0; i < changes->len; i++)
    {
      const mq_quarantine_change *c
          = &g_array_index (changes, mq_quarantine_change, i);

      mq_log (G_LOG_LEVEL_WARNING,
              c->refused ? "request.quarantined" : "request.released",
              "content=%016" G_GINT64_MODIFIER "x ends=%u own=%d", c->request,
              c->ends, c->own);
    }
  g_array_unref (changes);
}

static void
on_tick (struct ev_loop *loop, ev_timer *timer, int revents)
{
  mq_crash_tracker *e = timer->data;
  uint64_t now = mq_router_now_us ();

  (void)loop;
  (void)revents;
  if (mq_quarantine_is_empty (&e->quarantine))
    return;
  changes_log (e, now);
  if (mq_quarantine_is_fresh (&e->quarantine, now))
    ends_tell (e, false, G_MAXUINT, now);
  if (now < e->told_us + TELL_ALL_US)
    return;
  e->told_us = now;
  ends_tell (e, true, TELL_ALL_MEMBERS, now);
}

/* ---- Cases.  */

static void
case_confirm (ends_case *c)
{
  mq_crash_tracker *e = c->ends;
  uint64_t now = mq_router_now_us ();

  e->ended++;
  mq_log (G_LOG_LEVEL_WARNING, "upstream.ended",
          "upstream=%s suspects=%u ms=%" G_GUINT64_FORMAT,
          mq_str_cstr (c->url), c->requests->len, (now - c->broke_us) / 1000);
  for (guint i = 0; i < c->requests->len; i++)
    {
      uint64_t request = g_array_index (c->requests, uint64_t, i);

      if (mq_quarantine_add (&e->quarantine, request, c->upstream, c->broke_us,
                             now))
        mq_log (G_LOG_LEVEL_WARNING, "request.suspected",
                "content=%016" G_GINT64_MODIFIER "x upstream=%s", request,
                mq_str_cstr (c->url));
    }
  ends_tell (e, false, G_MAXUINT, now);
}

static void
on_reach (void *context, mq_tcp_probe_result result)
{
  ends_case *c = context;

  c->reach = NULL;
  if (result == MQ_TCP_PROBE_REFUSED)
    case_confirm (c);
  g_ptr_array_remove_fast (c->ends->cases, c);
}

/* The case of the upstream at URL that is being tried, or NULL.  */
static ends_case *
case_find (const mq_crash_tracker *ends, mq_span url, uint64_t now_us)
{
  for (guint i = 0; i < ends->cases->len; i++)
    {
      ends_case *c = g_ptr_array_index (ends->cases, i);

      if (mq_span_equal (mq_str_span (c->url), url)
          && now_us <= c->broke_us + MQ_QUARANTINE_SAME_CRASH_US)
        return c;
    }
  return NULL;
}

static ends_case *
case_open (mq_crash_tracker *ends, mq_span url, uint64_t now_us)
{
  ends_case *c;
  uint64_t start = (uint64_t)(g_get_real_time () / START_US);

  if (ends->cases->len >= MAX_CASES)
    return NULL;
  c = g_new0 (ends_case, 1);
  c->ends = ends;
  c->url = mq_str_new (url);
  c->broke_us = now_us;
  c->upstream = mq_hash_mix (mq_span_hash (url), start) | 1; /* 0 is none.  */
  c->requests = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  c->reach = mq_tcp_probe_start (ends->router->loop, url_address (url),
                                 REACH_MS, on_reach, c);
  if (c->reach != NULL)
    {
      g_ptr_array_add (ends->cases, c);
      return c;
    }
  case_free (c);
  return NULL;
}

/* ---- Public.  */

mq_crash_tracker *
mq_crash_tracker_new (mq_router *router)
{
  mq_crash_tracker *e = g_new0 (mq_crash_tracker, 1);

  e->router = router;
  mq_quarantine_init (&e->quarantine, QUARANTINE_US);
  e->cases = g_ptr_array_new_with_free_func (case_free);
  ev_timer_init (&e->tick, on_tick, TICK_S, TICK_S);
  e->tick.data = e;
  ev_timer_start (router->loop, &e->tick);
  return e;
}

void
mq_crash_tracker_free (mq_crash_tracker *ends)
{
  ev_timer_stop (ends->router->loop, &ends->tick);
  g_ptr_array_unref (ends->cases);
  mq_quarantine_finish (&ends->quarantine);
  g_free (ends);
}

mq_quarantine *
mq_crash_tracker_quarantine (mq_crash_tracker *ends)
{
  return &ends->quarantine;
}

void
mq_crash_tracker_suspect (mq_crash_tracker *ends,
                          const mq_entry_action *action)
{
  uint64_t now = mq_router_now_us ();
  uint64_t request = action->u.suspect.content;
  ends_case *c = case_find (ends, action->u.suspect.url, now);

  if (c == NULL)
    c = case_open (ends, action->u.suspect.url, now);
  if (c == NULL)
    return;
  for (guint i = 0; i < c->requests->len; i++)
    if (g_array_index (c->requests, uint64_t, i) == request)
      return;
  if (c->requests->len < MQ_QUARANTINE_MAX_SUSPECTS_PER_CRASH)
    g_array_append_val (c->requests, request);
}

void
mq_crash_tracker_hear (mq_crash_tracker *ends, const mq_peer_message *message)
{
  uint64_t now = mq_router_now_us ();

  for (size_t i = 0; i < message->u.ends.n; i++)
    (void)mq_quarantine_merge (&ends->quarantine, &message->u.ends.items[i],
                               now);
}

void
mq_crash_tracker_count (const mq_crash_tracker *ends)
{
  mq_metrics *m = ends->router->metrics;
  const char *name = "marjoramquay_quarantine_requests";

  *mq_metrics_counter (m, "marjoramquay_upstream_ends_total", "",
                       "Upstreams that ended under requests of this router.")
      = ends->ended;
  *mq_metrics_gauge (m, name, "state=\"suspected\"",
                     "Requests remembered, as they stood near when upstreams"
                     " ended.")
      = ends->quarantine.suspects->len;
  *mq_metrics_gauge (m, name, "state=\"refused\"", "")
      = ends->quarantine.refused;
}
