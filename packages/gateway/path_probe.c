/* Connection probes of a silent path: see mq/internal/path_probe.h.

   Ownership: the gateway's list owns the probes; a probe owns references to
   its engines, and its connections until they report.  */

#include <mq/internal/path_probe.h>

#include <mq/internal/gateway_detour.h>
#include <mq/internal/gateway_reach.h>
#include <mq/log.h>

/* A connection within a region takes a few ms.  An unanswered one is tried
   again, since a packet may be lost.  */
#define CONNECT_TIMEOUT_MS 15
#define MAX_TRIES 2

/* Between two probes of paths with the same head.  */
#define PROBE_INTERVAL_US ((uint64_t)250 * 1000)

/* Probes in progress; each may take as many descriptors as its path has
   engines.  */
#define MAX_PROBES 16

typedef struct engine_probe
{
  struct path_probe *probe; /* Borrowed.  */
  mq_upstream *engine;      /* One reference.  */
  mq_tcp_probe *tcp_probe;  /* Borrowed; NULL: no attempt in progress.  */
  unsigned tries;
  mq_tcp_probe_result result;
} engine_probe;

typedef struct path_probe
{
  mq_gateway *gateway; /* Borrowed.  */
  uint64_t started_us;
  unsigned n;
  unsigned pending;
  bool undecided;         /* Waits for a check whether the links are up.  */
  engine_probe engines[]; /* N of them.  */
} path_probe;

void
mq_path_probe_free (gpointer data)
{
  path_probe *p = data;

  for (unsigned i = 0; i < p->n; i++)
    {
      if (p->engines[i].tcp_probe != NULL)
        mq_tcp_probe_cancel (p->engines[i].tcp_probe);
      mq_upstream_unref (p->engines[i].engine);
    }
  g_free (p);
}

static unsigned
probe_count (const path_probe *probe, mq_tcp_probe_result result)
{
  unsigned n = 0;

  for (unsigned i = 0; i < probe->n; i++)
    n += probe->engines[i].result == result;
  return n;
}

static void
probe_log (const path_probe *probe, uint64_t now_us)
{
  mq_log (G_LOG_LEVEL_INFO, "path.probe",
          "head=%s engines=%u refused=%u silent=%u ms=%" G_GUINT64_FORMAT,
          mq_str_cstr (probe->engines[0].engine->facts.id), probe->n,
          probe_count (probe, MQ_TCP_PROBE_REFUSED),
          probe_count (probe, MQ_TCP_PROBE_NO_REPLY),
          (now_us - probe->started_us) / 1000);
}

/* Mark down the engines that PROBE found unreachable, the silent ones only
   with SILENT, and free it.  */
static void
probe_finish (path_probe *probe, bool silent)
{
  mq_gateway *g = probe->gateway;
  guint at;

  /* Removed from the list first: sends that fail may start other probes.  */
  if (g_ptr_array_find (g->path_probes, probe, &at))
    (void)g_ptr_array_steal_index_fast (g->path_probes, at);
  for (unsigned i = 0; i < probe->n; i++)
    {
      const engine_probe *e = &probe->engines[i];

      if (e->result == MQ_TCP_PROBE_OPEN && e->tries > 0)
        {
          mq_stall_refute (e->engine, "refused");
          mq_stall_refute (e->engine, "unanswered");
        }
      if (e->result == MQ_TCP_PROBE_REFUSED)
        mq_stall_mark_down (g, e->engine, probe->started_us, "refused");
      else if (e->result == MQ_TCP_PROBE_NO_REPLY && silent)
        mq_stall_mark_down (g, e->engine, probe->started_us, "unanswered");
    }
  mq_path_probe_free (probe);
}

/* All connection attempts of PROBE have ended.  May free it.  */
static void
probe_conclude (path_probe *probe)
{
  unsigned open = probe_count (probe, MQ_TCP_PROBE_OPEN);

  probe_log (probe, mq_gateway_now_us ());
  if (open * 2 >= probe->n)
    {
      probe_finish (probe, true);
      return;
    }
  probe->undecided = true;
  mq_gateway_reach_suspect (probe->gateway, probe->engines[0].engine);
}

void
mq_path_probe_conclude_undecided (mq_gateway *gateway, const mq_str *service)
{
  /* Concluding one may start others, at the end of the list.  */
  for (guint i = gateway->path_probes->len; i > 0; i--)
    {
      path_probe *p = i <= gateway->path_probes->len
                          ? g_ptr_array_index (gateway->path_probes, i - 1)
                          : NULL;
      const mq_upstream *head = p != NULL ? p->engines[0].engine : NULL;

      if (p == NULL || !p->undecided
          || !mq_span_equal (mq_str_span (head->facts.service),
                             mq_str_span (service)))
        continue;
      if (mq_gateway_reach_confirms (gateway, head, p->started_us))
        probe_finish (p, false);
      else if (mq_gateway_is_isolated (gateway, head))
        g_ptr_array_remove_fast (gateway->path_probes, p);
    }
}

static void engine_connect (engine_probe *engine);

static void
on_reach (void *context, mq_tcp_probe_result result)
{
  engine_probe *e = context;
  path_probe *p = e->probe;

  e->tcp_probe = NULL;
  if (result == MQ_TCP_PROBE_NO_REPLY && e->tries < MAX_TRIES)
    {
      engine_connect (e);
      if (e->tcp_probe != NULL)
        return;
    }
  e->result = result;
  if (--p->pending == 0)
    probe_conclude (p);
}

/* Start a connection attempt.  ENGINE->tcp_probe stays NULL when out of
   descriptors.  */
static void
engine_connect (engine_probe *engine)
{
  engine_probe *e = engine;

  e->tries++;
  e->tcp_probe = mq_tcp_probe_start (e->probe->gateway->loop,
                                     mq_str_span (e->engine->facts.address),
                                     CONNECT_TIMEOUT_MS, on_reach, e);
}

void
mq_path_probe_start (mq_gateway *gateway, const mq_layer_path *path)
{
  uint64_t now = mq_gateway_now_us ();
  path_probe *p;
  mq_upstream *head;

  if (path->n == 0 || gateway->path_probes->len >= MAX_PROBES)
    return;
  head = path->stages[0].upstream;
  if (mq_gateway_has_detour (gateway, head, now))
    return;
  if (now - head->probed_us < PROBE_INTERVAL_US)
    return;
  head->probed_us = now;
  ++*gateway->counters.path_probes;
  p = g_malloc0 (sizeof *p + path->n * sizeof p->engines[0]);
  p->gateway = gateway;
  p->started_us = now;
  p->n = path->n;
  p->pending = path->n;
  g_ptr_array_add (gateway->path_probes, p);
  for (unsigned i = 0; i < path->n; i++)
    {
      p->engines[i].probe = p;
      p->engines[i].engine = mq_upstream_ref (path->stages[i].upstream);
      /* An engine that can't be probed, for example when file descriptors run
         out, counts as reachable.  */
      p->engines[i].result = MQ_TCP_PROBE_OPEN;
      engine_connect (&p->engines[i]);
      p->pending -= p->engines[i].tcp_probe == NULL;
    }
  if (p->pending == 0)
    g_ptr_array_remove_fast (gateway->path_probes, p);
}
