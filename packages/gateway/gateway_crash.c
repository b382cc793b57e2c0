/* Detection of upstream crashes and of the requests that may have caused them.

   A run that breaks off may mean that its upstream crashed, that the
   connection broke, or that the response was lost.  A *case* holds the
   requests that had just begun to run there, as suspects with their elements
   (mq/element.h), until the outcome is known.  A refused connection confirms
   the crash, and so does the platform's list when it no longer names the
   upstream or names a new instance.  A refusal counts only once this router is
   known to reach the service (mq/reach.h).  A run that continues, or begins
   later, dismisses the case.  The suspects of a confirmed crash go into the
   quarantine (mq/quarantine.h).

   A request on an upstream that is draining is no suspect: such an upstream
   cuts the remaining runs at the end of its drain.  */

#include <mq/internal/gateway.h>

#include <mq/internal/gateway_reach.h>
#include <mq/log.h>

/* The platform's list shows a crash after three heartbeats (3.6 s), and the
   change takes a while to arrive here.  */
#define CASE_TIMEOUT_US ((uint64_t)8000 * 1000)
/* A machine that is up refuses a connection within this.  */
#define CONNECT_TIMEOUT_MS 250
/* A longer gap between two events counts as this towards the time that a run
   lasted: this router may have been paused, and the second event may have been
   sent right after the first.  */
#define MAX_COUNTED_GAP_US ((uint64_t)200 * 1000)
/* Open cases: one for each upstream that may have crashed recently.  */
#define MAX_CASES 64
/* Parts of prompts recorded for one case.  */
#define MAX_CASE_PARTS 128

struct mq_crash_case
{
  mq_gateway *gateway;   /* Borrowed.  */
  mq_upstream *upstream; /* One reference.  */
  uint64_t started_ms;   /* Start time of the instance: facts.born_ms.  */
  uint64_t broke_us;     /* When the first run broke off.  */
  bool probed;
  bool refused;            /* The probe was.  */
  bool listening;          /* Something accepts connections at its address.  */
  mq_tcp_probe *tcp_probe; /* Probe in progress, borrowed; NULL: none.  */
  GArray *contents;        /* uint64_t: contents of the requests that may be
                              the cause ...  */
  GArray *parts;           /* ... and the parts of their prompts.  */
};

void
mq_crash_case_free (gpointer data)
{
  mq_crash_case *c = data;

  if (c->tcp_probe != NULL)
    mq_tcp_probe_cancel (c->tcp_probe);
  mq_upstream_unref (c->upstream);
  g_array_unref (c->contents);
  g_array_unref (c->parts);
  g_free (c);
}

/* ---- Cases.  */

static mq_crash_case *
case_find (const mq_gateway *gateway, const mq_upstream *upstream)
{
  for (guint i = 0; i < gateway->crash_cases->len; i++)
    {
      mq_crash_case *c = g_ptr_array_index (gateway->crash_cases, i);

      if (c->upstream == upstream && c->started_ms == upstream->facts.born_ms)
        return c;
    }
  return NULL;
}

static mq_crash_case *
case_open (mq_gateway *gateway, mq_upstream *upstream, uint64_t now_us)
{
  mq_crash_case *c;

  if (gateway->crash_cases->len >= MAX_CASES)
    g_ptr_array_remove_index (gateway->crash_cases, 0);
  c = g_new0 (mq_crash_case, 1);
  c->gateway = gateway;
  c->upstream = mq_upstream_ref (upstream);
  c->started_ms = upstream->facts.born_ms;
  c->broke_us = now_us;
  c->contents = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  c->parts = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  g_ptr_array_add (gateway->crash_cases, c);
  return c;
}

static mq_element_set
elements_of (const GArray *ids)
{
  return (mq_element_set){ (const uint64_t *)(void *)ids->data, ids->len };
}

/* Add FORWARD to the requests that may be the cause of C.  */
static void
case_add (mq_crash_case *c, mq_forward *forward)
{
  uint64_t content = mq_forward_content (forward);
  mq_element_set parts = mq_forward_parts (forward);

  if (c->contents->len < MQ_QUARANTINE_MAX_SUSPECTS_PER_CRASH
      && !mq_element_set_has (elements_of (c->contents), content))
    g_array_append_val (c->contents, content);
  for (size_t i = 0; i < parts.n && c->parts->len < MAX_CASE_PARTS; i++)
    if (!mq_element_set_has (elements_of (c->parts), parts.ids[i]))
      g_array_append_val (c->parts, parts.ids[i]);
}

/* Hash of C's upstream instance, the same at each router.  */
static uint64_t
case_upstream_hash (const mq_crash_case *c)
{
  return mq_hash_mix (mq_span_hash (mq_str_span (c->upstream->facts.id)),
                      c->started_ms)
         | 1; /* 0 is none.  */
}

/* The upstream of C has crashed; HOW is how that was detected, for the log.
   Frees C.  */
static void
case_confirm (mq_crash_case *c, const char *how)
{
  mq_gateway *g = c->gateway;
  uint64_t now = mq_gateway_now_us ();
  uint64_t upstream = case_upstream_hash (c);

  if (!c->listening && c->upstream->facts.born_ms == c->started_ms)
    c->upstream->crashed = true;
  ++*g->counters.crashes;
  mq_log (
      G_LOG_LEVEL_WARNING, "upstream.ended",
      "upstream=%s how=%s suspects=%u prompt_parts=%u ms=%" G_GUINT64_FORMAT,
      mq_str_cstr (c->upstream->facts.id), how, c->contents->len,
      c->parts->len, (now - c->broke_us) / 1000);
  for (guint i = 0; i < c->contents->len; i++)
    mq_gateway_note_suspect (g, g_array_index (c->contents, uint64_t, i),
                             c->upstream, upstream, c->broke_us);
  for (guint i = 0; i < c->parts->len; i++)
    mq_gateway_note_suspect (g, g_array_index (c->parts, uint64_t, i),
                             c->upstream, upstream, c->broke_us);
  g_ptr_array_remove_fast (g->crash_cases, c);
}

bool
mq_crash_is_pending (const mq_gateway *gateway, uint64_t content)
{
  for (guint i = 0; i < gateway->crash_cases->len; i++)
    {
      const mq_crash_case *c = g_ptr_array_index (gateway->crash_cases, i);

      if (mq_element_set_has (elements_of (c->contents), content))
        return true;
    }
  return false;
}

/* ---- Confirming and dismissing cases.  */

/* Returns true when a request in flight has received something from C's
   upstream since the break.  A crash ends all its runs, but data received
   before may be read up to MQ_QUARANTINE_SAME_CRASH_US later.  */
static bool
case_has_progress (const mq_crash_case *c)
{
  for (GList *l = c->gateway->forwards.head; l != NULL; l = l->next)
    {
      const mq_forward *f = l->data;

      if (f->call != NULL && f->upstream == c->upstream
          && f->received_us > c->broke_us + MQ_QUARANTINE_SAME_CRASH_US)
        return true;
    }
  return false;
}

/* Returns true if the connection of a run at C's upstream is open, which the
   end of its process would have closed.  */
static bool
case_has_open_run (const mq_crash_case *c)
{
  for (GList *l = c->gateway->forwards.head; l != NULL; l = l->next)
    {
      const mq_forward *f = l->data;

      if (f->call != NULL && f->upstream == c->upstream && f->detour == NULL
          && f->sent_us < c->broke_us && mq_http_call_maybe_sent (f->call))
        return true;
    }
  return false;
}

static void
case_on_reach (void *context, mq_tcp_probe_result result)
{
  mq_crash_case *c = context;

  c->tcp_probe = NULL;
  c->listening = result == MQ_TCP_PROBE_OPEN;
  c->refused = result == MQ_TCP_PROBE_REFUSED;
  if (c->refused)
    mq_gateway_reach_suspect (c->gateway, c->upstream);
}

/* Probe C's upstream, or close C when its outcome is known.  May free C.  */
static void
case_tick (mq_crash_case *c, uint64_t now_us)
{
  const mq_upstream *u = c->upstream;
  bool alive = u->accepted_us > c->broke_us || case_has_progress (c);
  bool isolated = mq_gateway_is_isolated (c->gateway, u);

  /* What this router's own links refused says nothing; probe again when they
     are back.  */
  if (isolated && c->tcp_probe == NULL)
    c->probed = c->refused = false;
  if (!c->probed && !alive && !isolated)
    {
      c->probed = true;
      c->tcp_probe = mq_tcp_probe_start (c->gateway->loop,
                                         mq_str_span (u->facts.address),
                                         CONNECT_TIMEOUT_MS, case_on_reach, c);
      return;
    }
  if (c->tcp_probe != NULL)
    return;
  if (c->refused && !case_has_open_run (c)
      && mq_gateway_reach_confirms (c->gateway, u, c->broke_us))
    {
      case_confirm (c, "refused");
      return;
    }
  /* A draining upstream has not crashed; it leaves the list later.  */
  if (alive || mq_upstream_is_draining (u)
      || now_us >= c->broke_us + CASE_TIMEOUT_US)
    g_ptr_array_remove_fast (c->gateway->crash_cases, c);
  else if (!u->listed || u->facts.born_ms != c->started_ms)
    case_confirm (c, u->listed ? "started-again" : "left-the-list");
}

void
mq_crash_tick (mq_gateway *gateway, uint64_t now_us)
{
  for (guint i = gateway->crash_cases->len; i > 0; i--)
    if (i <= gateway->crash_cases->len)
      case_tick (g_ptr_array_index (gateway->crash_cases, i - 1), now_us);
}

/* ---- Suspects.  */

void
mq_crash_note_event (mq_forward *forward, uint64_t now_us)
{
  mq_forward *f = forward;

  if (!mq_forward_run_has_begun (f))
    {
      f->run_began_us = now_us;
      f->run_us = 0;
    }
  else
    f->run_us += MIN (now_us - f->last_event_us, MAX_COUNTED_GAP_US);
  if (f->cleared || f->run_us < MQ_QUARANTINE_STARTUP_US)
    return;
  f->cleared = true;
  mq_gateway_note_success (f);
}

/* Returns true unless FORWARD has received events for long enough to be
   cleared of suspicion.  */
static bool
forward_is_suspect (const mq_forward *forward, uint64_t now_us)
{
  return !forward->cleared
         && (!mq_forward_run_has_begun (forward)
             || now_us < forward->run_began_us + MQ_QUARANTINE_STARTUP_US);
}

/* Returns false when UPSTREAM was about to leave, so that its end is no
   crash.  */
static bool
upstream_may_crash (const mq_upstream *upstream, uint64_t now_us)
{
  return upstream->listed && !mq_upstream_is_draining (upstream)
         && !mq_upstream_is_leaving (upstream, now_us);
}

void
mq_crash_note_broken_run (mq_forward *forward, mq_upstream *upstream,
                          uint64_t now_us)
{
  mq_gateway *g = forward->gateway;
  mq_crash_case *c;

  if (upstream == NULL)
    return;
  c = case_find (g, upstream);
  if (c != NULL && now_us > c->broke_us + MQ_QUARANTINE_SAME_CRASH_US)
    {
      /* The upstream was still running, so the earlier break was no crash.  */
      g_ptr_array_remove_fast (g->crash_cases, c);
      c = NULL;
    }
  if (c == NULL)
    c = case_open (g, upstream, now_us);
  if (upstream_may_crash (upstream, now_us)
      && forward_is_suspect (forward, now_us))
    case_add (c, forward);
}

void
mq_crash_note_unframed_end (mq_forward *forward, uint64_t now_us)
{
  if (forward_is_suspect (forward, now_us))
    mq_crash_note_broken_run (forward, forward->upstream, now_us);
}
