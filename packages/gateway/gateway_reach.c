/* Checks whether this router reaches the upstreams of a service (mq/reach.h).

   A check opens one connection to each of a few upstreams, spread over failure
   domains, and closes it again.  It runs only after a connection failed, and
   repeatedly while the service is not reached.  */

#include <mq/internal/gateway_reach.h>

#include <mq/internal/path_probe.h>
#include <mq/log.h>

/* Upstreams in a check: one of each failure domain, and where there are few of
   these, several.  */
#define MIN_SAMPLE 4
#define MAX_SAMPLE 8
/* A connection within a region takes a few ms.  An unanswered one is tried
   again, since a packet may be lost.  */
#define CONNECT_TIMEOUT_MS 40
#define MAX_TRIES 2
/* Between two checks for no other reason than silence.  */
#define SILENCE_CHECK_INTERVAL_US ((uint64_t)1000 * 1000)

typedef struct reach_connection
{
  struct mq_reach_check *check; /* Borrowed.  */
  mq_upstream *upstream;        /* One reference.  */
  mq_tcp_probe *tcp_probe;      /* Borrowed; NULL: it has ended.  */
  unsigned tries;
} reach_connection;

struct mq_reach_check
{
  mq_gateway *gateway; /* Borrowed.  */
  mq_str *service;     /* Its name, one reference.  */
  uint64_t began_us;
  mq_reach_sample sample;
  unsigned pending;
  unsigned n;
  reach_connection connections[MAX_SAMPLE];
};

void
mq_reach_check_free (mq_reach_check *check)
{
  if (check == NULL)
    return;
  for (unsigned i = 0; i < check->n; i++)
    {
      if (check->connections[i].tcp_probe != NULL)
        mq_tcp_probe_cancel (check->connections[i].tcp_probe);
      mq_upstream_unref (check->connections[i].upstream);
    }
  mq_str_unref (check->service);
  g_free (check);
}

/* Returns the state of the service called NAME, or NULL.  Borrowed.  */
static mq_service_state *
reach_find_service (const mq_gateway *gateway, const mq_str *name)
{
  return name != NULL ? g_hash_table_lookup (gateway->services, name->data)
                      : NULL;
}

/* ---- Checks.  */

static void
reach_log (const mq_reach_check *check, bool changed, bool isolated)
{
  const mq_reach_sample *s = &check->sample;

  mq_log (changed ? G_LOG_LEVEL_WARNING : G_LOG_LEVEL_INFO, "reach.check",
          "service=%s isolated=%d changed=%d open=%u refused=%u silent=%u"
          " ms=%" G_GUINT64_FORMAT,
          mq_str_cstr (check->service), isolated, changed, s->open, s->refused,
          s->silent, (mq_gateway_now_us () - check->began_us) / 1000);
}

/* This router no longer reaches SERVICE.  What it said against the upstreams
   was due to its own links.  */
static void
reach_lost (mq_gateway *gateway, const mq_str *service)
{
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, gateway->registry.by_id);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      mq_upstream *u = value;

      if (mq_span_equal (mq_str_span (u->facts.service),
                         mq_str_span (service)))
        mq_upstream_retract_failures (u);
    }
}

/* The reach of SERVICE, whose state is S, has changed.  */
static void
reach_changed (mq_gateway *gateway, const mq_service_state *s,
               const mq_str *service)
{
  if (s->reach.isolated)
    {
      gateway->isolated_services++;
      reach_lost (gateway, service);
    }
  else
    gateway->isolated_services--;
  mq_gateway_gossip_broadcast (gateway);
}

/* CHECK has ended.  Frees it.  */
static void
check_conclude (mq_reach_check *check)
{
  mq_gateway *g = check->gateway;
  mq_str *service = mq_str_ref (check->service);
  mq_service_state *s = reach_find_service (g, service);
  bool changed = mq_reach_check_ended (&s->reach, &check->sample);

  reach_log (check, changed, s->reach.isolated);
  s->reach_check = NULL;
  mq_reach_check_free (check);
  if (changed)
    reach_changed (g, s, service);
  mq_path_probe_conclude_undecided (g, service);
  mq_forward_note_reach (g, service);
  mq_str_unref (service);
}

static void connection_start (reach_connection *connection);

static void
on_connected (void *context, mq_tcp_probe_result result)
{
  reach_connection *connection = context;
  mq_reach_check *c = connection->check;

  connection->tcp_probe = NULL;
  switch (result)
    {
    case MQ_TCP_PROBE_OPEN:
      c->sample.open++;
      break;
    case MQ_TCP_PROBE_REFUSED:
      c->sample.refused++;
      break;
    case MQ_TCP_PROBE_NO_REPLY:
      if (connection->tries < MAX_TRIES)
        {
          connection_start (connection);
          if (connection->tcp_probe != NULL)
            return;
        }
      c->sample.silent++;
      break;
    }
  if (--c->pending == 0)
    check_conclude (c);
}

/* Start a connection attempt.  CONNECTION->tcp_probe stays NULL when out of
   descriptors.  */
static void
connection_start (reach_connection *connection)
{
  connection->tries++;
  connection->tcp_probe
      = mq_tcp_probe_start (connection->check->gateway->loop,
                            mq_str_span (connection->upstream->facts.address),
                            CONNECT_TIMEOUT_MS, on_connected, connection);
}

static void
check_add (mq_reach_check *check, mq_upstream *upstream)
{
  reach_connection *connection = &check->connections[check->n];

  connection->check = check;
  connection->upstream = upstream;
  connection_start (connection);
  if (connection->tcp_probe == NULL)
    return;
  mq_upstream_ref (upstream);
  check->n++;
  check->pending++;
}

/* Append to SAMPLE a random upstream of GROUP that is not draining and not in
   SAMPLE yet, rather one that is usable.  */
static void
sample_add (mq_gateway *gateway, const mq_upstream_group *group,
            GPtrArray *sample, uint64_t now_us)
{
  mq_upstream *found = NULL;
  guint n = group->upstreams->len;
  guint from = n > 0 ? (guint)(mq_gateway_random (gateway) % n) : 0;

  for (guint i = 0; i < n; i++)
    {
      mq_upstream *u = g_ptr_array_index (group->upstreams, (from + i) % n);

      if (mq_upstream_is_draining (u) || g_ptr_array_find (sample, u, NULL))
        continue;
      if (found == NULL || mq_upstream_is_usable (u, now_us))
        found = u;
      if (mq_upstream_is_usable (u, now_us))
        break;
    }
  if (found != NULL)
    g_ptr_array_add (sample, found);
}

/* Returns the upstreams of SERVICE that a check may connect to (mq_upstream,
   borrowed).  Free with g_ptr_array_unref.  */
static GPtrArray *
sample_list (mq_gateway *gateway, const mq_str *service, uint64_t now_us)
{
  GPtrArray *sample = g_ptr_array_new ();
  const GPtrArray *groups
      = mq_registry_groups (&gateway->registry, mq_str_span (service));
  guint before;

  do
    {
      before = sample->len;
      for (guint i = 0; groups != NULL && i < groups->len; i++)
        sample_add (gateway, g_ptr_array_index (groups, i), sample, now_us);
    }
  while (sample->len > before && sample->len < MIN_SAMPLE);
  return sample;
}

static void
check_start (mq_gateway *gateway, mq_service_state *state, mq_str *service,
             uint64_t now_us)
{
  GPtrArray *sample = sample_list (gateway, service, now_us);
  mq_reach_check *c = g_new0 (mq_reach_check, 1);

  c->gateway = gateway;
  c->service = mq_str_ref (service);
  c->began_us = now_us;
  state->reach_check = c;
  ++*gateway->counters.reach_checks;
  mq_reach_check_began (&state->reach, now_us);
  while (sample->len > 0 && c->n < MAX_SAMPLE)
    {
      guint i = (guint)(mq_gateway_random (gateway) % sample->len);

      check_add (c, g_ptr_array_remove_index_fast (sample, i));
    }
  g_ptr_array_unref (sample);
  if (c->pending > 0)
    return;
  /* No upstream, or no descriptors.  */
  (void)mq_reach_check_ended (&state->reach, &c->sample);
  state->reach_check = NULL;
  mq_reach_check_free (c);
}

/* ---- Suspicions.  */

void
mq_gateway_reach_suspect (mq_gateway *gateway, const mq_upstream *upstream)
{
  mq_service_state *s = reach_find_service (gateway, upstream->facts.service);
  uint64_t now = mq_gateway_now_us ();

  if (s == NULL)
    return;
  mq_reach_suspect (&s->reach);
  if (mq_reach_check_is_due (&s->reach, now))
    check_start (gateway, s, upstream->facts.service, now);
}

void
mq_gateway_reach_note_silence (mq_gateway *gateway,
                               const mq_upstream *upstream)
{
  const mq_service_state *s
      = reach_find_service (gateway, upstream->facts.service);

  if (s != NULL
      && mq_gateway_now_us () - s->reach.check_began_us
             >= SILENCE_CHECK_INTERVAL_US)
    mq_gateway_reach_suspect (gateway, upstream);
}

void
mq_gateway_reach_tick (mq_gateway *gateway, uint64_t now_us)
{
  GHashTableIter i;
  gpointer name;
  gpointer value;

  g_hash_table_iter_init (&i, gateway->services);
  while (g_hash_table_iter_next (&i, &name, &value))
    {
      mq_service_state *s = value;
      mq_str *service;

      if (!mq_reach_check_is_due (&s->reach, now_us))
        continue;
      service = mq_str_new (mq_span_from (name));
      check_start (gateway, s, service, now_us);
      mq_str_unref (service);
    }
}

bool
mq_gateway_is_isolated (const mq_gateway *gateway, const mq_upstream *upstream)
{
  const mq_service_state *s
      = reach_find_service (gateway, upstream->facts.service);

  return s != NULL && s->reach.isolated;
}

bool
mq_gateway_reach_confirms (const mq_gateway *gateway,
                           const mq_upstream *upstream, uint64_t at_us)
{
  const mq_service_state *s
      = reach_find_service (gateway, upstream->facts.service);

  return s == NULL || mq_reach_confirms (&s->reach, at_us);
}

bool
mq_gateway_reach_is_in_doubt (const mq_gateway *gateway,
                              const mq_upstream *upstream)
{
  const mq_service_state *s
      = reach_find_service (gateway, upstream->facts.service);

  return s != NULL && !s->reach.isolated && !mq_reach_is_sure (&s->reach);
}
