/* News between routers: what this one tells, and what it makes of others'
   (mq/gossip.h, mq/cluster.h).

   At each heartbeat an active router reports to its relays, and a relay sends
   digests and summaries; others report once a second.  News are numbered
   within an incarnation; what was held up on its way and is older than what
   was heard is passed over.  */

#include <mq/internal/gateway.h>

#include <mq/internal/budget_transfer.h>

#include <mq/log.h>

/* Between two reports of a router that is not active.  */
#define IDLE_REPORT_US ((uint64_t)1000 * 1000)
/* A router is loaded with so many requests in flight, and for a while after.
   Fewer make no difference to where others send, and each router has one now
   and then.  */
#define LOADED_REQUESTS 3
#define LOADED_US ((uint64_t)2000 * 1000)
/* A peer's finding about an engine counts no longer than this.  */
#define MAX_TOLD_EJECTION_US ((uint64_t)5000 * 1000)
/* A router that turns to the wrong one is told whom to turn to, so often.  */
#define INTRODUCE_US ((uint64_t)200 * 1000)
/* Timers are late by some ms; a heartbeat that comes this much early is in
   time.  */
#define EARLY_US ((uint64_t)MQ_CLUSTER_HEARTBEAT_MS * 1000 / 2)
#define MILLI 1000
/* From one report that tells all ends to the next: a relay that missed some
   has them within this.  */
#define ENDS_AGAIN_US ((uint64_t)1000 * 1000)

/* ---- Sending.  */

void
mq_gateway_gossip_send (mq_gateway *gateway, mq_cluster_member *router,
                        mq_cluster_message_kind kind, const GString *bytes)
{
  mq_span address = mq_str_span (router->peer);
  int far = !router->local;

  mq_peers_connect (gateway->peers, address);
  mq_cluster_note_sent (router, mq_gateway_now_us ());
  if (mq_peers_send (gateway->peers, address,
                     (mq_span){ bytes->str, bytes->len })
      < 0)
    return; /* Not connected yet; the peers count it.  */
  ++*gateway->counters.peer_messages[kind][far];
  *gateway->counters.peer_bytes[kind][far] += bytes->len;
}

void
mq_gateway_send_message (mq_gateway *gateway, mq_cluster_member *router,
                         const mq_cluster_message *parcel)
{
  GString *out = g_string_new (NULL);

  mq_cluster_message_encode (parcel, out);
  mq_gateway_gossip_send (gateway, router, parcel->kind, out);
  g_string_free (out, TRUE);
}

static GString *
news_encode (const mq_gossip *news)
{
  GString *out = g_string_new (NULL);
  mq_cluster_message parcel
      = { .kind = MQ_CLUSTER_MESSAGE_NEWS, .u = { .news = news } };

  mq_cluster_message_encode (&parcel, out);
  return out;
}

static void
news_send_to_all (mq_gateway *gateway, const GPtrArray *routers,
                  const mq_gossip *news)
{
  GString *out = news_encode (news);

  for (guint i = 0; i < routers->len; i++)
    mq_gateway_gossip_send (gateway, g_ptr_array_index (routers, i),
                            MQ_CLUSTER_MESSAGE_NEWS, out);
  g_string_free (out, TRUE);
}

/* ---- Findings.  */

/* Whose findings a message tells of: a report tells this router's own, a
   summary those of its domain, and a digest all but the receiver's.  */
typedef struct finding_filter
{
  bool domain;  /* Those of this domain's others.  */
  bool remote;  /* Those of other domains.  */
  uint64_t but; /* Hash of the receiver's name.  */
} finding_filter;

static bool
filter_takes (const finding_filter *filter, mq_finding_source by)
{
  if (by.router == 0)
    return true;
  if (by.router == filter->but)
    return false;
  return by.remote ? filter->remote : filter->domain;
}

/* For how long UPSTREAM is to be passed over, as FILTER lets it be told.  */
static uint64_t
upstream_ejected_us (const mq_upstream *upstream, const finding_filter *filter,
                     uint64_t now_us)
{
  uint64_t until = upstream->reported_down_until_us;

  if (filter_takes (filter, upstream->peer_ejection_source))
    until = MAX (until, upstream->peer_ejected_until_us);
  return until > now_us ? until - now_us : 0;
}

/* For how long it gets nothing, the same.  */
static uint64_t
upstream_refuses_us (const mq_upstream *upstream, const finding_filter *filter,
                     uint64_t now_us)
{
  uint64_t own = mq_upstream_rejecting_us (upstream, now_us);
  uint64_t told = 0;

  if (filter_takes (filter, upstream->peer_rejecting_source)
      && upstream->peer_rejecting_until_us > now_us)
    told = upstream->peer_rejecting_until_us - now_us;
  return MAX (own, told);
}

static mq_gossip_finding
finding_of (const mq_upstream *upstream, const finding_filter *filter,
            uint64_t now_us)
{
  mq_gossip_finding f
      = { .upstream = mq_str_span (upstream->facts.id),
          .aside_us = upstream_ejected_us (upstream, filter, now_us),
          .refuses_us = upstream_refuses_us (upstream, filter, now_us) };

  if (now_us < upstream->slowdown_until_us
      && filter_takes (filter, upstream->slowdown_source))
    {
      f.pace = upstream->pace;
      f.pace_us = upstream->slowdown_until_us - now_us;
    }
  return f;
}

/* Who is named as being at fault, and for how long it is to be passed over;
   who refuses all; and how slow each is that was asked, so that the others
   need not find out by themselves.  */
static void
news_add_findings (const mq_gateway *gateway, mq_gossip *news,
                   const finding_filter *filter, uint64_t now_us)
{
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, gateway->registry.by_id);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      mq_gossip_finding f = finding_of (value, filter, now_us);

      if (f.aside_us > 0 || f.pace > 0 || f.refuses_us > 0)
        g_array_append_val (news->findings, f);
    }
}

/* Add what was found out about ends of upstreams; ALL: what may still matter,
   also when it is old.  */
static void
news_add_ends (mq_gateway *gateway, mq_gossip *news, bool all, uint64_t now_us)
{
  mq_quarantine_export (&gateway->quarantine, all, news->ends, now_us);
}

/* ---- The three kinds that are sent at heartbeats.  */

static void
news_report (mq_gateway *gateway, uint64_t now_us)
{
  static const finding_filter own = { false, false, 0 };
  GPtrArray *routers = g_ptr_array_new ();
  mq_gossip news;
  bool all;

  mq_gossip_init (&news, MQ_GOSSIP_REPORT);
  mq_cluster_make_report (&gateway->cluster, &news, now_us);
  news_add_findings (gateway, &news, &own, now_us);
  all = now_us - gateway->crashes_sent_us >= ENDS_AGAIN_US;
  if (all)
    gateway->crashes_sent_us = now_us;
  news_add_ends (gateway, &news, all, now_us);
  mq_cluster_report_targets (&gateway->cluster, routers, now_us);
  news_send_to_all (gateway, routers, &news);
  mq_gossip_finish (&news);
  g_ptr_array_unref (routers);
  gateway->reported_us = now_us;
}

static void
news_digest (mq_gateway *gateway, mq_cluster_member *to, uint64_t now_us)
{
  finding_filter all = { true, true, mq_span_hash (mq_str_span (to->name)) };
  mq_gossip news;
  mq_cluster_message parcel
      = { .kind = MQ_CLUSTER_MESSAGE_NEWS, .u = { .news = &news } };

  mq_gossip_init (&news, MQ_GOSSIP_DIGEST);
  mq_cluster_make_digest (&gateway->cluster, to, &news, now_us);
  news_add_findings (gateway, &news, &all, now_us);
  news_add_ends (gateway, &news, news.listed, now_us);
  mq_gateway_send_message (gateway, to, &parcel);
  mq_gossip_finish (&news);
}

static void
news_digests (mq_gateway *gateway, bool all, uint64_t now_us)
{
  GPtrArray *routers = g_ptr_array_new ();

  mq_cluster_digest_targets (&gateway->cluster, all, routers, now_us);
  for (guint i = 0; i < routers->len; i++)
    news_digest (gateway, g_ptr_array_index (routers, i), now_us);
  g_ptr_array_unref (routers);
}

static void
news_summary (mq_gateway *gateway, bool all, uint64_t now_us)
{
  static const finding_filter domain = { true, false, 0 };
  GPtrArray *routers = g_ptr_array_new ();
  mq_gossip news;

  mq_cluster_summary_targets (&gateway->cluster, all, routers, now_us);
  if (routers->len > 0)
    {
      mq_gossip_init (&news, MQ_GOSSIP_SUMMARY);
      mq_cluster_make_summary (&gateway->cluster, &news, now_us);
      news_add_findings (gateway, &news, &domain, now_us);
      news_add_ends (gateway, &news, news.listed, now_us);
      news_send_to_all (gateway, routers, &news);
      mq_gossip_finish (&news);
    }
  g_ptr_array_unref (routers);
}

static void
news_introduce (mq_gateway *gateway, mq_cluster_member *to, uint64_t now_us)
{
  mq_gossip news;
  mq_cluster_message parcel
      = { .kind = MQ_CLUSTER_MESSAGE_NEWS, .u = { .news = &news } };

  if (now_us - to->sent_us < INTRODUCE_US)
    return;
  mq_gossip_init (&news, MQ_GOSSIP_INTRODUCTION);
  mq_cluster_make_introduction (&gateway->cluster, to, &news, now_us);
  mq_gateway_send_message (gateway, to, &parcel);
  mq_gossip_finish (&news);
}

/* ---- What this router says of itself.  */

static void
self_set_paths (mq_gateway *gateway)
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

/* Requests and further sends of the window, by service.  */
static void
self_set_sends (mq_gateway *gateway, uint64_t now_us)
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

      if (sends.counts.first > 0 || sends.counts.more > 0)
        g_array_append_val (gateway->cluster.sends, sends);
    }
}

static void
self_set (mq_gateway *gateway, uint64_t now_us)
{
  mq_gateway *g = gateway;
  bool loaded;

  mq_processor_meter_read (&g->meter, mq_processor_used_us (), now_us);
  if (g->forwards.length >= LOADED_REQUESTS)
    g->loaded_us = now_us;
  loaded = g->loaded_us > 0 && now_us - g->loaded_us < LOADED_US;
  g->cluster.self = (mq_cluster_self){
    .used = loaded ? (unsigned)(g->meter.part * MILLI) : 0,
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
  self_set_paths (g);
  self_set_sends (g, now_us);
}

/* ---- Heartbeats.  */

/* Send what is due; ALL: to everybody, whenever it was sent last.  */
static void
news_send_due (mq_gateway *gateway, bool all, uint64_t now_us)
{
  mq_gateway *g = gateway;
  bool often;

  self_set (g, now_us);
  /* What may end the next upstream is told to everybody at once.  */
  all = all || mq_quarantine_is_fresh (&g->quarantine, now_us);
  /* One that looks for its relays asks often, too.  */
  often = mq_cluster_is_active (&g->cluster, now_us)
          || !mq_cluster_has_live_relay (&g->cluster, now_us);
  if (all || often || now_us - g->reported_us + EARLY_US >= IDLE_REPORT_US)
    news_report (g, now_us);
  if (!g->cluster.relays)
    return;
  news_digests (g, all, now_us);
  news_summary (g, all, now_us);
}

static void
on_heartbeat (struct ev_loop *loop, ev_timer *timer, int revents)
{
  mq_gateway *g = timer->data;

  (void)loop;
  (void)revents;
  news_send_due (g, false, mq_gateway_now_us ());
}

void
mq_gateway_gossip_broadcast (mq_gateway *gateway)
{
  news_send_due (gateway, true, mq_gateway_now_us ());
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

/* ---- Hearing.  */

/* Findings of a peer's are told on by relays, with how long they still count.
 */
static void
take_findings (mq_gateway *gateway, const mq_cluster_member *from,
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
      if (f->aside_us > 0)
        mq_upstream_apply_peer_ejection (
            u, MIN (f->aside_us, MAX_TOLD_EJECTION_US), by, now_us);
      if (f->refuses_us > 0)
        mq_upstream_apply_peer_rejecting (u, f->refuses_us, by, now_us);
      if (f->pace > 0)
        mq_upstream_apply_peer_slowdown (u, f->pace, f->pace_us, by, now_us);
    }
}

/* A relay of this domain shows whether it knows more of the store.  */
static void
note_told (mq_gateway *gateway, const mq_cluster_member *from, uint64_t now_us)
{
  uint64_t version = gateway->routing ? gateway->routing->version : 0;

  if (!from->local || !from->relays)
    return;
  if (from->routing_version <= version)
    gateway->routing_feed.told_us = now_us;
  if (from->upstreams_newest <= gateway->upstream_list.newest)
    gateway->upstream_feed.told_us = now_us;
}

static void
take_news (mq_gateway *gateway, const mq_gossip *news)
{
  mq_cluster_member *from = NULL;
  bool stranger = false;
  uint64_t now = mq_gateway_now_us ();
  mq_gossip_result h
      = mq_cluster_receive (&gateway->cluster, news, &from, &stranger, now);

  if (h == MQ_GOSSIP_STALE)
    return;
  if (h == MQ_GOSSIP_ACCEPTED_FIRST && !from->known_alive)
    mq_log (G_LOG_LEVEL_INFO, "member.heard", "peer=%s vm=%s relays=%d",
            mq_str_cstr (from->peer), mq_str_cstr (from->name), from->relays);
  from->known_alive = true;
  gateway->routing_heard = MAX (gateway->routing_heard, from->routing_version);
  note_told (gateway, from, now);
  take_findings (gateway, from, news->findings, now);
  mq_gateway_merge_crashes (gateway, news->ends, from, now);
  if (stranger)
    news_introduce (gateway, from, now);
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
  switch (d.parcel.kind)
    {
    case MQ_CLUSTER_MESSAGE_NEWS:
      take_news (g, d.parcel.u.news);
      break;
    case MQ_CLUSTER_MESSAGE_ROUTING:
      mq_gateway_take_routing (g, d.parcel.u.routing, "peer", d.parcel.scope);
      break;
    case MQ_CLUSTER_MESSAGE_ENTRIES:
      mq_gateway_receive_upstreams (g, &d.parcel);
      break;
    case MQ_CLUSTER_MESSAGE_LAYERS:
      mq_gateway_receive_layers (g, &d.parcel);
      break;
    case MQ_CLUSTER_MESSAGE_BUDGET_REQUEST:
      mq_budget_transfer_take_request (g, &d.parcel.u.budget);
      break;
    case MQ_CLUSTER_MESSAGE_BUDGET_GRANT:
      mq_budget_transfer_take_grant (g, &d.parcel.u.budget);
      break;
    case MQ_CLUSTER_MESSAGE_KINDS:
      break;
    }
  mq_cluster_message_decoded_finish (&d);
}
