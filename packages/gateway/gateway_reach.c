/* Checks whether this router reaches the upstreams (mq/reach.h).

   A check opens one connection to each of a few upstreams, spread over
   services and failure domains, and closes it again.  It runs only after a
   connection failed, and repeatedly while the router is isolated.  */

#include <mq/internal/gateway_reach.h>

#include <mq/log.h>

/* Upstreams in a check: one of each service and failure domain, and where
   there are few of these, several.  */
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
  g_free (check);
}

/* The check of GATEWAY has ended.  Frees it.  */
static void
reach_conclude (mq_gateway *gateway)
{
  mq_reach_check *c = gateway->reach_check;
  mq_reach_sample s = c->sample;
  uint64_t now = mq_gateway_now_us ();
  uint64_t ms = (now - c->began_us) / 1000;
  bool changed = mq_reach_check_ended (&gateway->reach, &s, now);
  const char *event = gateway->reach.isolated ? "reach.isolated" : "reach.up";

  gateway->reach_check = NULL;
  mq_reach_check_free (c);
  mq_log (changed ? G_LOG_LEVEL_WARNING : G_LOG_LEVEL_INFO,
          changed ? event : "reach.check",
          "isolated=%d open=%u refused=%u silent=%u ms=%" G_GUINT64_FORMAT,
          gateway->reach.isolated, s.open, s.refused, s.silent, ms);
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
    reach_conclude (c->gateway);
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

/* Append to SAMPLE one upstream of each service and failure domain.  */
static void
sample_add_all (mq_gateway *gateway, GPtrArray *sample, uint64_t now_us)
{
  const GArray *services = gateway->routing->services;

  for (guint i = 0; i < services->len; i++)
    {
      const mq_route_service *s
          = &g_array_index (services, mq_route_service, i);
      const GPtrArray *groups
          = mq_registry_groups (&gateway->registry, mq_str_span (s->name));

      for (guint k = 0; groups != NULL && k < groups->len; k++)
        sample_add (gateway, g_ptr_array_index (groups, k), sample, now_us);
    }
}

/* Returns the upstreams that a check may connect to (mq_upstream, borrowed).
   Free with g_ptr_array_unref.  */
static GPtrArray *
sample_list (mq_gateway *gateway, uint64_t now_us)
{
  GPtrArray *sample = g_ptr_array_new ();
  guint before;

  if (gateway->routing == NULL)
    return sample;
  do
    {
      before = sample->len;
      sample_add_all (gateway, sample, now_us);
    }
  while (sample->len > before && sample->len < MIN_SAMPLE);
  return sample;
}

static void
check_start (mq_gateway *gateway, uint64_t now_us)
{
  GPtrArray *sample = sample_list (gateway, now_us);
  mq_reach_check *c = g_new0 (mq_reach_check, 1);

  c->gateway = gateway;
  c->began_us = now_us;
  gateway->reach_check = c;
  ++*gateway->counters.reach_checks;
  mq_reach_check_began (&gateway->reach, now_us);
  while (sample->len > 0 && c->n < MAX_SAMPLE)
    {
      guint i = (guint)(mq_gateway_random (gateway) % sample->len);

      check_add (c, g_ptr_array_remove_index_fast (sample, i));
    }
  g_ptr_array_unref (sample);
  if (c->pending == 0)
    reach_conclude (gateway);
}

void
mq_gateway_reach_suspect (mq_gateway *gateway)
{
  mq_reach_suspect (&gateway->reach);
  mq_gateway_reach_tick (gateway, mq_gateway_now_us ());
}

void
mq_gateway_reach_note_silence (mq_gateway *gateway)
{
  if (mq_gateway_now_us () - gateway->reach.check_began_us
      >= SILENCE_CHECK_INTERVAL_US)
    mq_gateway_reach_suspect (gateway);
}

void
mq_gateway_reach_tick (mq_gateway *gateway, uint64_t now_us)
{
  if (mq_reach_check_is_due (&gateway->reach, now_us))
    check_start (gateway, now_us);
}
