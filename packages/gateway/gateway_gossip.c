/* Gossip between routers: sending this router's state and applying that of
   others (mq/gossip.h, mq/cluster.h).

   At each heartbeat an active router reports to its relays, and a relay sends
   digests and summaries; an inactive router reports once a second.  Gossip is
   numbered within an incarnation; a message older than the last one received
   from the same router is ignored.  */

#include <mq/internal/gateway.h>

#include <mq/internal/budget_transfer.h>
#include <mq/internal/gateway_reach.h>

#include <mq/log.h>

/* Between two reports of an inactive router.  */
#define IDLE_REPORT_INTERVAL_US ((uint64_t)1000 * 1000)
/* A router counts as loaded with this many requests in flight, and for
   LOADED_HOLD_US after.  Fewer don't affect where others send, and each router
   has one now and then.  */
#define LOADED_REQUESTS 3
#define LOADED_HOLD_US ((uint64_t)2000 * 1000)
/* Longest ejection of an upstream that a peer's finding may cause.  */
#define MAX_REPORTED_EJECTION_US ((uint64_t)5000 * 1000)
/* Between two introductions to the same router.  */
#define INTRODUCTION_INTERVAL_US ((uint64_t)200 * 1000)
/* Timers are late by some ms, so an idle report may be sent at a heartbeat
   that is this much early.  */
#define REPORT_EARLY_US ((uint64_t)MQ_CLUSTER_HEARTBEAT_MS * 1000 / 2)
#define MILLI_PER_PROCESSOR 1000
/* Between two reports of all crash records: a relay that missed some receives
   them within this.  */
#define ALL_CRASHES_INTERVAL_US ((uint64_t)1000 * 1000)

/* ---- Sending.  */

bool
mq_gateway_gossip_send (mq_gateway *gateway, mq_cluster_member *router,
                        mq_cluster_message_kind kind,
                        const mq_peers_shared *bytes)
{
  mq_span address = mq_str_span (router->peer);
  int far = !router->local;

  mq_peers_connect (gateway->peers, address);
  mq_cluster_note_sent (router, mq_gateway_now_us ());
  if (mq_peers_send_shared (gateway->peers, address, bytes) < 0)
    return false; /* Not connected yet; mq_peers counts the drop.  */
  ++*gateway->counters.peer_messages[kind][far];
  *gateway->counters.peer_bytes[kind][far] += mq_peers_shared_size (bytes);
  return true;
}

mq_peers_shared *
mq_gateway_encode_message (const mq_cluster_message *message)
{
  GString *out = g_string_new (NULL);

  mq_cluster_message_encode (message, out);
  return mq_peers_shared_new (out);
}

void
mq_gateway_send_message (mq_gateway *gateway, mq_cluster_member *router,
                         const mq_cluster_message *message)
{
  mq_peers_shared *out = mq_gateway_encode_message (message);

  mq_gateway_gossip_send (gateway, router, message->kind, out);
  mq_peers_shared_free (out);
}

static void
gossip_send_to (mq_gateway *gateway, const GPtrArray *routers,
                const mq_gossip *gossip)
{
  mq_cluster_message message
      = { .kind = MQ_CLUSTER_MESSAGE_GOSSIP, .u = { .gossip = gossip } };
  mq_peers_shared *out = mq_gateway_encode_message (&message);

  for (guint i = 0; i < routers->len; i++)
    mq_gateway_gossip_send (gateway, g_ptr_array_index (routers, i),
                            MQ_CLUSTER_MESSAGE_GOSSIP, out);
  mq_peers_shared_free (out);
}

/* ---- Findings.  */

/* Whose findings a message contains besides this router's own: a report has
   no others, a summary those of this domain, and a digest all but the
   receiver's.  */
typedef struct finding_filter
{
  bool domain;     /* Those of other routers of this domain.  */
  bool remote;     /* Those of other domains.  */
  uint64_t except; /* Hash of the receiver's name, or 0.  */
} finding_filter;

static bool
filter_includes (const finding_filter *filter, mq_finding_source by)
{
  if (by.router == 0)
    return true;
  if (by.router == filter->except)
    return false;
  return by.remote ? filter->remote : filter->domain;
}

/* How long UPSTREAM stays ejected, by the findings that FILTER includes.  */
static uint64_t
upstream_ejected_us (const mq_gateway *gateway, const mq_upstream *upstream,
                     const finding_filter *filter, uint64_t now_us)
{
  uint64_t until
      = mq_gateway_reach_confirms (gateway, upstream, upstream->unreachable_us)
            ? upstream->reported_down_until_us
            : 0;

  if (filter_includes (filter, upstream->peer_ejection_source))
    until = MAX (until, upstream->peer_ejected_until_us);
  return until > now_us ? until - now_us : 0;
}

/* How long UPSTREAM rejects all requests, by the findings that FILTER
   includes.  */
static uint64_t
upstream_rejecting_us (const mq_upstream *upstream,
                       const finding_filter *filter, uint64_t now_us)
{
  uint64_t own = mq_upstream_rejecting_us (upstream, now_us);
  uint64_t reported = 0;

  if (filter_includes (filter, upstream->peer_rejecting_source)
      && upstream->peer_rejecting_until_us > now_us)
    reported = upstream->peer_rejecting_until_us - now_us;
  return MAX (own, reported);
}

static mq_gossip_finding
finding_make (const mq_gateway *gateway, const mq_upstream *upstream,
              const finding_filter *filter, uint64_t now_us)
{
  mq_gossip_finding f
      = { .upstream = mq_str_span (upstream->facts.id),
          .ejected_us
          = upstream_ejected_us (gateway, upstream, filter, now_us),
          .rejecting_us = upstream_rejecting_us (upstream, filter, now_us) };

  if (mq_upstream_slowdown_is_news (upstream, now_us)
      && filter_includes (filter, upstream->slowdown_source))
    {
      f.slowdown = upstream->slowdown;
      f.slowdown_us = upstream->slowdown_until_us - now_us;
    }
  if (mq_upstream_limit_is_news (&upstream->limit, now_us)
      && filter_includes (filter, upstream->limit_source))
    {
      f.limit_stated = true;
      f.limit_per_s = upstream->limit.per_s;
      f.limit_age_us = now_us - upstream->limit.observed_us;
    }
  if (upstream->announced_leaving
      && filter_includes (filter, upstream->announced_leaving_source))
    {
      f.leaving = true;
      f.born_ms = upstream->facts.born_ms;
    }
  return f;
}

static bool
finding_is_empty (const mq_gossip_finding *finding)
{
  return finding->ejected_us == 0 && finding->slowdown <= 0
         && finding->rejecting_us == 0 && !finding->limit_stated
         && !finding->leaving;
}

/* Returns the upstreams of which there is any finding (mq_upstream, borrowed).
   Free with g_ptr_array_unref.  Few have one, and a relay sends a digest to
   each router of its domain, so that it looks at all of them only once.  */
static GPtrArray *
gossip_list_findings (const mq_gateway *gateway, uint64_t now_us)
{
  static const finding_filter all = { true, true, 0 };
  GPtrArray *list = g_ptr_array_new ();
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, gateway->registry.by_id);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      mq_gossip_finding f = finding_make (gateway, value, &all, now_us);

      if (!finding_is_empty (&f))
        g_ptr_array_add (list, value);
    }
  return list;
}

/* Add the ejections, rejections, slowdowns, limits and departures of
   UPSTREAMS, so that receivers need not detect them by themselves.  */
static void
gossip_add_findings (const mq_gateway *gateway, const GPtrArray *upstreams,
                     mq_gossip *gossip, const finding_filter *filter,
                     uint64_t now_us)
{
  for (guint i = 0; i < upstreams->len; i++)
    {
      mq_gossip_finding f = finding_make (
          gateway, g_ptr_array_index (upstreams, i), filter, now_us);

      if (!finding_is_empty (&f))
        g_array_append_val (gossip->findings, f);
    }
}

/* Add the recent crash records or, with ALL, every record that may still lead
   to a refusal.  */
static void
gossip_add_crashes (mq_gateway *gateway, mq_gossip *gossip, bool all,
                    uint64_t now_us)
{
  mq_quarantine_export (&gateway->quarantine, all, gossip->crashes, now_us);
}

/* ---- Reports, digests, summaries and introductions.  */

static void
gossip_send_report (mq_gateway *gateway, const GPtrArray *findings,
                    uint64_t now_us)
{
  static const finding_filter own = { false, false, 0 };
  GPtrArray *routers = g_ptr_array_new ();
  mq_gossip gossip;
  bool all;

  mq_gossip_init (&gossip, MQ_GOSSIP_REPORT);
  mq_cluster_make_report (&gateway->cluster, &gossip, now_us);
  gossip_add_findings (gateway, findings, &gossip, &own, now_us);
  all = now_us - gateway->crashes_reported_us >= ALL_CRASHES_INTERVAL_US;
  if (all)
    gateway->crashes_reported_us = now_us;
  gossip_add_crashes (gateway, &gossip, all, now_us);
  mq_cluster_report_targets (&gateway->cluster, routers, now_us);
  gossip_send_to (gateway, routers, &gossip);
  mq_gossip_finish (&gossip);
  g_ptr_array_unref (routers);
  gateway->reported_us = now_us;
}

static void
gossip_send_digest (mq_gateway *gateway, mq_cluster_member *to,
                    const GPtrArray *findings, uint64_t now_us)
{
  finding_filter all = { true, true, mq_span_hash (mq_str_span (to->name)) };
  mq_gossip gossip;
  mq_cluster_message message
      = { .kind = MQ_CLUSTER_MESSAGE_GOSSIP, .u = { .gossip = &gossip } };

  mq_gossip_init (&gossip, MQ_GOSSIP_DIGEST);
  mq_cluster_make_digest (&gateway->cluster, to, &gossip, now_us);
  gossip_add_findings (gateway, findings, &gossip, &all, now_us);
  gossip_add_crashes (gateway, &gossip, gossip.listed, now_us);
  mq_gateway_send_message (gateway, to, &message);
  mq_gossip_finish (&gossip);
}

static void
gossip_send_digests (mq_gateway *gateway, bool all, const GPtrArray *findings,
                     uint64_t now_us)
{
  GPtrArray *routers = g_ptr_array_new ();

  mq_cluster_digest_targets (&gateway->cluster, all, routers, now_us);
  for (guint i = 0; i < routers->len; i++)
    gossip_send_digest (gateway, g_ptr_array_index (routers, i), findings,
                        now_us);
  g_ptr_array_unref (routers);
}

static void
gossip_send_summary (mq_gateway *gateway, bool all, const GPtrArray *findings,
                     uint64_t now_us)
{
  static const finding_filter domain = { true, false, 0 };
  GPtrArray *routers = g_ptr_array_new ();
  mq_gossip gossip;

  mq_cluster_summary_targets (&gateway->cluster, all, routers, now_us);
  if (routers->len > 0)
    {
      mq_gossip_init (&gossip, MQ_GOSSIP_SUMMARY);
      mq_cluster_make_summary (&gateway->cluster, &gossip, now_us);
      gossip_add_findings (gateway, findings, &gossip, &domain, now_us);
      gossip_add_crashes (gateway, &gossip, gossip.listed, now_us);
      gossip_send_to (gateway, routers, &gossip);
      mq_gossip_finish (&gossip);
    }
  g_ptr_array_unref (routers);
}

static void
gossip_send_introduction (mq_gateway *gateway, mq_cluster_member *to,
                          uint64_t now_us)
{
  mq_gossip gossip;
  mq_cluster_message message
      = { .kind = MQ_CLUSTER_MESSAGE_GOSSIP, .u = { .gossip = &gossip } };

  if (now_us - to->sent_us < INTRODUCTION_INTERVAL_US)
    return;
  mq_gossip_init (&gossip, MQ_GOSSIP_INTRODUCTION);
  mq_cluster_make_introduction (&gateway->cluster, to, &gossip, now_us);
  mq_gateway_send_message (gateway, to, &message);
  mq_gossip_finish (&gossip);
}

/* ---- This router's own state.  */

static void
self_update_paths (mq_gateway *gateway)
{
  GHashTableIter i;
  gpointer key;
  gpointer value;

  g_array_set_size (gateway->cluster.paths, 0);
  g_hash_table_iter_init (&i, gateway->paths);
  while (g_hash_table_iter_next (&i, &key, &value))
    {
      const mq_path_load *load = value;
      mq_path_tokens w = { mq_span_hash (mq_span_from (key)), load->tokens };

      if (load->tokens > 0)
        g_array_append_val (gateway->cluster.paths, w);
    }
}

/* Requests and retries of the window, by service.  */
static void
self_update_sends (mq_gateway *gateway, uint64_t now_us)
{
  GHashTableIter i;
  gpointer name;
  gpointer value;

  g_array_set_size (gateway->cluster.sends, 0);
  g_hash_table_iter_init (&i, gateway->services);
  while (g_hash_table_iter_next (&i, &name, &value))
    {
      mq_service_state *s = value;
      mq_service_sends sends = { mq_span_hash (mq_span_from (name)),
                                 mq_send_budget_count (&s->budget, now_us) };

      if (sends.counts.requests > 0 || sends.counts.retries > 0)
        g_array_append_val (gateway->cluster.sends, sends);
    }
}

/* The services that this router does not reach.  */
static void
self_update_isolated (mq_gateway *gateway)
{
  GHashTableIter i;
  gpointer name;
  gpointer value;

  g_array_set_size (gateway->cluster.isolated, 0);
  g_hash_table_iter_init (&i, gateway->services);
  while (g_hash_table_iter_next (&i, &name, &value))
    {
      uint64_t service = mq_span_hash (mq_span_from (name));

      if (((const mq_service_state *)value)->reach.isolated)
        g_array_append_val (gateway->cluster.isolated, service);
    }
}

static void
self_update (mq_gateway *gateway, uint64_t now_us)
{
  mq_gateway *g = gateway;
  bool loaded;

  mq_processor_meter_update (&g->meter, mq_processor_used_us (), now_us);
  if (g->forwards.length >= LOADED_REQUESTS)
    g->loaded_us = now_us;
  loaded = g->loaded_us > 0 && now_us - g->loaded_us < LOADED_HOLD_US;
  g->cluster.self = (mq_cluster_self){
    .used
    = loaded ? (unsigned)(g->meter.utilization * MILLI_PER_PROCESSOR) : 0,
    .ready = mq_gateway_is_ready (g),
    .draining = g->mode != MQ_GATEWAY_SERVING,
    .store_reached = mq_members_store_is_reached (g, now_us),
    .store_fails = mq_members_store_fails (g),
    .follows = g->upstream_feed.follow.follows,
    .watches = g->routing_feed.follow.follows,
    .routing_version = g->routing ? g->routing->version : 0,
    .upstreams_digest = g->upstream_list.digest,
    .upstreams_newest = g->upstream_list.newest,
    .loaded = loaded,
  };
  self_update_isolated (g);
  self_update_paths (g);
  self_update_sends (g, now_us);
}

/* ---- Heartbeats.  */

/* Returns true if this router's report is due.  A router without a live relay
   reports at each heartbeat, as an active one does, until one replies.  */
static bool
gossip_report_is_due (mq_gateway *gateway, uint64_t now_us)
{
  return mq_cluster_is_active (&gateway->cluster, now_us)
         || !mq_cluster_has_live_relay (&gateway->cluster, now_us)
         || now_us - gateway->reported_us + REPORT_EARLY_US
                >= IDLE_REPORT_INTERVAL_US;
}

/* Send what is due or, with ALL, everything to all its receivers.  */
static void
gossip_send_due (mq_gateway *gateway, bool all, uint64_t now_us)
{
  mq_gateway *g = gateway;
  GPtrArray *findings;

  self_update (g, now_us);
  /* New crash records go to all receivers at once: the suspect may crash the
     next upstream.  */
  all = all || mq_quarantine_is_fresh (&g->quarantine, now_us);
  /* A relay is always active.  */
  if (!all && !gossip_report_is_due (g, now_us))
    return;
  findings = gossip_list_findings (g, now_us);
  gossip_send_report (g, findings, now_us);
  if (g->cluster.relays)
    {
      gossip_send_digests (g, all, findings, now_us);
      gossip_send_summary (g, all, findings, now_us);
    }
  g_ptr_array_unref (findings);
}

static void
on_heartbeat (struct ev_loop *loop, ev_timer *timer, int revents)
{
  mq_gateway *g = timer->data;

  (void)loop;
  (void)revents;
  gossip_send_due (g, false, mq_gateway_now_us ());
}

void
mq_gateway_gossip_broadcast (mq_gateway *gateway)
{
  gossip_send_due (gateway, true, mq_gateway_now_us ());
}

void
mq_gateway_gossip_start (mq_gateway *gateway)
{
  double s = MQ_CLUSTER_HEARTBEAT_MS / 1000.0;

  ev_timer_init (&gateway->heartbeat, on_heartbeat, 0., s);
  gateway->heartbeat.data = gateway;
  ev_timer_start (gateway->loop, &gateway->heartbeat);
}

void
mq_gateway_gossip_stop (mq_gateway *gateway)
{
  if (gateway->heartbeat.data != NULL)
    ev_timer_stop (gateway->loop, &gateway->heartbeat);
}

/* ---- Receiving.  */

/* Apply the FINDINGS of FROM.  Their durations are what was left of them when
   they were sent.  */
static void
gossip_apply_findings (mq_gateway *gateway, const mq_cluster_member *from,
                       const GArray *findings, uint64_t now_us)
{
  mq_finding_source by
      = { mq_span_hash (mq_str_span (from->name)), !from->local };

  for (guint i = 0; i < findings->len; i++)
    {
      const mq_gossip_finding *f
          = &g_array_index (findings, mq_gossip_finding, i);
      mq_upstream *u = mq_registry_find (&gateway->registry, f->upstream);

      if (u == NULL)
        continue;
      if (f->ejected_us > 0)
        mq_upstream_apply_peer_ejection (
            u, MIN (f->ejected_us, MAX_REPORTED_EJECTION_US), by, now_us);
      if (f->rejecting_us > 0)
        mq_upstream_apply_peer_rejecting (u, f->rejecting_us, by, now_us);
      if (f->slowdown > 0)
        mq_upstream_apply_peer_slowdown (u, f->slowdown, f->slowdown_us, by,
                                         now_us);
      if (f->limit_stated && f->limit_age_us <= now_us)
        mq_gateway_apply_limit (gateway, u, f->limit_per_s,
                                now_us - f->limit_age_us, by);
      if (f->leaving && f->born_ms == u->facts.born_ms)
        mq_gateway_apply_leaving (gateway, u, by);
    }
}

/* Note when FROM, a relay of this domain, has nothing newer than our feeds. */
static void
gossip_note_confirmation (mq_gateway *gateway, const mq_cluster_member *from,
                          uint64_t now_us)
{
  uint64_t version = gateway->routing ? gateway->routing->version : 0;

  if (!from->local || !from->relays)
    return;
  if (from->routing_version <= version)
    gateway->routing_feed.confirmed_us = now_us;
  if (from->upstreams_newest <= gateway->upstream_list.newest)
    gateway->upstream_feed.confirmed_us = now_us;
}

static void
gossip_receive (mq_gateway *gateway, const mq_gossip *gossip)
{
  mq_cluster_member *from = NULL;
  bool introduce = false;
  uint64_t now = mq_gateway_now_us ();
  mq_gossip_result h
      = mq_cluster_receive (&gateway->cluster, gossip, &from, &introduce, now);

  if (h == MQ_GOSSIP_STALE)
    return;
  if (h == MQ_GOSSIP_ACCEPTED_FIRST && !from->logged_alive)
    mq_log (G_LOG_LEVEL_INFO, "member.heard", "peer=%s vm=%s relays=%d",
            mq_str_cstr (from->peer), mq_str_cstr (from->name), from->relays);
  from->logged_alive = true;
  gateway->newest_routing_version
      = MAX (gateway->newest_routing_version, from->routing_version);
  gossip_note_confirmation (gateway, from, now);
  gossip_apply_findings (gateway, from, gossip->findings, now);
  mq_gateway_merge_crashes (gateway, gossip->crashes, from, now);
  if (introduce)
    gossip_send_introduction (gateway, from, now);
}

void
mq_gateway_gossip_on_message (void *context, mq_span bytes)
{
  mq_gateway *g = context;
  GError *error = NULL;
  mq_cluster_message_decoded d;

  if (mq_cluster_message_decode (&d, bytes, &error) < 0)
    {
      ++*g->counters.peer_unreadable;
      mq_log (G_LOG_LEVEL_WARNING, "peer.unreadable", "bytes=%zu error=%s",
              bytes.size, mq_log_quote (error->message));
      g_error_free (error);
      return;
    }
  if (d.dropped > 0)
    {
      *g->counters.peer_unreadable_records += d.dropped;
      mq_log (G_LOG_LEVEL_WARNING, "peer.records-unreadable",
              "kind=%s records=%zu",
              mq_cluster_message_kind_name (d.message.kind), d.dropped);
    }
  switch (d.message.kind)
    {
    case MQ_CLUSTER_MESSAGE_GOSSIP:
      gossip_receive (g, d.message.u.gossip);
      break;
    case MQ_CLUSTER_MESSAGE_ROUTING:
      mq_gateway_apply_routing (g, d.message.u.routing, "peer",
                                d.message.scope);
      break;
    case MQ_CLUSTER_MESSAGE_ENTRIES:
      mq_gateway_receive_upstreams (g, &d.message);
      break;
    case MQ_CLUSTER_MESSAGE_LAYERS:
      mq_gateway_receive_layers (g, &d.message);
      break;
    case MQ_CLUSTER_MESSAGE_BUDGET_REQUEST:
      mq_budget_transfer_receive_request (g, &d.message.u.budget);
      break;
    case MQ_CLUSTER_MESSAGE_BUDGET_GRANT:
      mq_budget_transfer_receive_grant (g, &d.message.u.budget);
      break;
    case MQ_CLUSTER_MESSAGE_KINDS:
      break;
    }
  mq_cluster_message_decoded_finish (&d);
}
