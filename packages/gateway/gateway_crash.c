/* Did an upstream end under a request?

   A run that breaks off may mean that its upstream ended, that the connection
   did, or that the answer was lost.  What had just begun to run there is kept
   as suspects of a *case*, until a sign tells: a connection that is refused
   or the platform's list, which names the upstream no more or as a new start,
   say that it ended; a run that goes on or begins later says that it lives.
   The suspects of an upstream that ended go into the quarantine
   (mq/quarantine.h).

   What ran on an upstream that was to leave is no suspect: it cuts what still
   runs when its time is over.  */

#include <mq/internal/gateway.h>

#include <mq/log.h>

/* The platform's list tells of an end after three heartbeats (3.6 s), and the
   change takes a while to come here.  */
#define CASE_US ((uint64_t)8000 * 1000)
/* A connection is refused within this by a machine that is there.  */
#define REACH_MS 250
/* Cases at a time: one for each upstream that may have ended lately.  */
#define MAX_CASES 64

struct mq_crash_case
{
  mq_gateway *gateway;   /* Borrowed.  */
  mq_upstream *upstream; /* One reference.  */
  uint64_t started_ms;   /* The start that may have ended.  */
  uint64_t broke_us;
  bool asked;
  bool answers;     /* Something listens at its address.  */
  mq_reach *reach;  /* Borrowed until it reports; NULL: none.  */
  GArray *requests; /* uint64_t: what the suspects ask.  */
};

void
mq_crash_case_free (gpointer data)
{
  mq_crash_case *c = data;

  if (c->reach != NULL)
    mq_reach_cancel (c->reach);
  mq_upstream_unref (c->upstream);
  g_array_unref (c->requests);
  g_free (c);
}

/* ---- Cases.  */

static mq_crash_case *
case_of (const mq_gateway *gateway, const mq_upstream *upstream)
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
  c->requests = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  g_ptr_array_add (gateway->crash_cases, c);
  return c;
}

static void
case_add (mq_crash_case *c, uint64_t request)
{
  for (guint i = 0; i < c->requests->len; i++)
    if (g_array_index (c->requests, uint64_t, i) == request)
      return;
  if (c->requests->len < MQ_QUARANTINE_MAX_SUSPECTS_PER_CRASH)
    g_array_append_val (c->requests, request);
}

/* The start of C's upstream, the same number at each router.  */
static uint64_t
case_upstream_hash (const mq_crash_case *c)
{
  return mq_hash_mix (mq_span_hash (mq_str_span (c->upstream->facts.id)),
                      c->started_ms)
         | 1; /* 0 is none.  */
}

/* The upstream of C has ended, as HOW tells.  Frees C.  */
static void
case_confirm (mq_crash_case *c, const char *how)
{
  mq_gateway *g = c->gateway;
  uint64_t now = mq_gateway_now_us ();
  uint64_t upstream = case_upstream_hash (c);

  if (!c->answers && c->upstream->facts.born_ms == c->started_ms)
    c->upstream->crashed = true;
  ++*g->counters.crashes;
  mq_log (G_LOG_LEVEL_WARNING, "upstream.ended",
          "upstream=%s how=%s suspects=%u ms=%" G_GUINT64_FORMAT,
          mq_str_cstr (c->upstream->facts.id), how, c->requests->len,
          (now - c->broke_us) / 1000);
  for (guint i = 0; i < c->requests->len; i++)
    mq_gateway_note_crash (g, g_array_index (c->requests, uint64_t, i),
                           c->upstream, upstream, c->broke_us);
  g_ptr_array_remove_fast (g->crash_cases, c);
}

/* ---- Signs.  */

/* Has C's upstream said anything since the break to a request sent before?
   What ends takes all with it, though what had come by then may be read a
   moment later.  */
static bool
case_runs_on (const mq_crash_case *c)
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

static void
case_on_reach (void *context, mq_reach_result result)
{
  mq_crash_case *c = context;

  c->reach = NULL;
  c->answers = result == MQ_REACH_OPEN;
  if (result == MQ_REACH_REFUSED)
    case_confirm (c, "refused");
}

/* Look for a sign.  May free C.  */
static void
case_tick (mq_crash_case *c, uint64_t now_us)
{
  const mq_upstream *u = c->upstream;
  bool lives = u->accepted_us > c->broke_us || case_runs_on (c);

  if (!c->asked && !lives)
    {
      c->asked = true;
      c->reach
          = mq_reach_start (c->gateway->loop, mq_str_span (u->facts.address),
                            REACH_MS, case_on_reach, c);
      return;
    }
  if (c->reach != NULL)
    return;
  /* What says that it leaves lives, and is off the list later.  */
  if (lives || u->facts.draining || now_us >= c->broke_us + CASE_US)
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

  if (f->passed_us < f->sent_us)
    f->run_began_us = now_us;
  if (f->innocent || now_us < f->run_began_us + MQ_QUARANTINE_STARTUP_US)
    return;
  f->innocent = true;
  mq_gateway_note_success (f);
}

/* Had FORWARD's run just begun, as far as that is known here?  */
static bool
forward_just_began (const mq_forward *forward, uint64_t now_us)
{
  return !forward->innocent
         && (forward->passed_us < forward->sent_us
             || now_us < forward->run_began_us + MQ_QUARANTINE_STARTUP_US);
}

/* May UPSTREAM have ended under a request, rather than by plan?  */
static bool
upstream_may_crash (const mq_upstream *upstream, uint64_t now_us)
{
  return upstream->listed && !upstream->facts.draining
         && !mq_upstream_is_leaving (upstream, now_us);
}

void
mq_crash_run_broke (mq_forward *forward, mq_upstream *upstream,
                    uint64_t now_us)
{
  mq_gateway *g = forward->gateway;
  mq_crash_case *c;

  if (upstream == NULL)
    return;
  c = case_of (g, upstream);
  if (c != NULL && now_us > c->broke_us + MQ_QUARANTINE_SAME_CRASH_US)
    {
      /* That was something else: its upstream was still there.  */
      g_ptr_array_remove_fast (g->crash_cases, c);
      c = NULL;
    }
  if (c == NULL)
    c = case_open (g, upstream, now_us);
  if (upstream_may_crash (upstream, now_us)
      && forward_just_began (forward, now_us))
    case_add (c, mq_forward_content (forward));
}
