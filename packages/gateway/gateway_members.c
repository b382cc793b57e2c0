/* Membership: the routers that this one knows, from the store's list and from
   gossip (gateway_gossip.c), and the roles that follow from it.

   Each relay writes a member object to the store, so that starting routers
   find it.  mq/follow.h decides which routers follow the store, and
   mq/cluster.h which one is the leader that gives orders.  Two routers may
   consider themselves leader for a moment; every order names the engine's
   count of accepted orders, so the engine accepts only one of them.  */

#include <mq/internal/gateway.h>

#include <mq/internal/socket_address.h>
#include <mq/json.h>
#include <mq/json_text.h>
#include <mq/log.h>
#include <sodium.h>

/* The store counts as reached for the duration of one follow call and this. */
#define STORE_FRESH_US ((uint64_t)2000 * 1000)
/* Consecutive failures that count as an outage.  */
#define STORE_LOST_FAILURES 2
/* Between two messages to all others that it may be lost: a slow store may be
   in doubt at each call.  */
#define DOUBT_ANNOUNCED_INTERVAL_US ((uint64_t)1000 * 1000)
/* Delay after a failed write or scan.  */
#define MEMBER_RETRY_US ((uint64_t)1000 * 1000)
/* Between two scans of a relay, which find routers that it no longer receives
   gossip from.  */
#define MEMBER_SCAN_INTERVAL_US ((uint64_t)15 * 1000 * 1000)
/* How many relays of a domain follow the configuration.  */
#define DOMAIN_WATCHERS 1
/* A connection to another router is closed when nothing was sent over it for
   this long: in a fleet that starts, a seed sends to each of the others once.
 */
#define PEER_IDLE_S 30.0
/* Between two looks for such connections.  */
#define PEER_IDLE_INTERVAL_US ((uint64_t)5000 * 1000)
/* A process that was not running for this long does not take the silence of
   others as failure.  */
#define MIN_PAUSE_US ((uint64_t)500 * 1000)

/* When the store recovers, a router becomes leader for that reason only after
   this long, until the gossip of the others says whether they reach it too.
   It does not wait where gossip arrives with each heartbeat.  */
#define LEAD_SETTLE_US ((uint64_t)500 * 1000)
#define COUNTS_FRESH_MS (2 * MQ_CLUSTER_HEARTBEAT_MS)

/* Returns true when FEED follows the store, and a recent reply since it began
   to do so shows that the store is reached.  */
static bool
feed_is_fresh (const mq_feed *feed, uint64_t now_us)
{
  return feed->follow.follows && feed->failures < STORE_LOST_FAILURES
         && feed->last_reply_us > 0 && feed->last_reply_us >= feed->resumed_us
         && now_us - feed->last_reply_us
                < STORE_FRESH_US + (uint64_t)feed->wait_ms * 1000;
}

bool
mq_members_store_is_reached (const mq_gateway *gateway, uint64_t now_us)
{
  return feed_is_fresh (&gateway->routing_feed, now_us)
         || feed_is_fresh (&gateway->upstream_feed, now_us);
}

bool
mq_members_store_fails (const mq_gateway *gateway)
{
  return mq_feed_is_in_doubt (&gateway->routing_feed)
         || mq_feed_is_in_doubt (&gateway->upstream_feed);
}

/* ---- Member objects in the store.  */

static void
member_on_written (void *context, const mq_platform_reply *reply)
{
  mq_gateway *g = context;

  g->member_writing = false;
  switch (reply->result)
    {
    case MQ_PLATFORM_OK:
    case MQ_PLATFORM_CONFLICT: /* It exists from an earlier start.  */
      g->member_written = true;
      break;
    default:
      g->member_retry_us = mq_gateway_now_us () + MEMBER_RETRY_US;
      break;
    }
}

static void
member_write (mq_gateway *gateway)
{
  const mq_cluster *r = &gateway->cluster;
  GString *value = g_string_new ("{");
  mq_platform_request ask
      = { .op = MQ_PLATFORM_CREATE,
          .kind = mq_span_from (gateway->dialect->kinds.members),
          .name = mq_str_span (gateway->settings->name) };

  mq_json_text_member (value, "address", mq_str_span (r->peer));
  mq_json_text_member (value, "clients", mq_str_span (r->client));
  mq_json_text_member (value, "domain", mq_str_span (r->domain));
  mq_json_text_number (value, "capacity", r->capacity);
  g_string_append_c (value, '}');
  ask.value = (mq_span){ value->str, value->len };
  gateway->member_writing = true;
  mq_gateway_count_store_call (gateway, MQ_STORE_MEMBER_WRITE);
  (void)mq_platform_request_start (gateway->store, &ask, member_on_written,
                                   gateway);
  g_string_free (value, TRUE);
}

/* Returns true if routers can connect to ADDRESS.  */
static bool
member_address_is_valid (mq_span address)
{
  struct sockaddr_in to;

  return mq_socket_address_parse (address, &to) == 0;
}

/* Add the router that the member object ENTRY names.  Returns 0, or -1 when
   the object lacks a failure domain, or an address is missing or invalid.  */
static int
member_add (mq_gateway *gateway, const mq_platform_entry *entry,
            mq_json_doc *doc)
{
  mq_span none = MQ_SPAN ("");
  mq_json root = mq_json_root (doc);
  mq_gossip_router r = { .name = entry->name,
                         .peer = mq_json_span (&root, "address", none),
                         .client = mq_json_span (&root, "clients", none),
                         .domain = mq_json_span (&root, "domain", none),
                         .capacity = (unsigned)mq_json_u64 (
                             &root, "capacity", 0, UINT32_MAX, 0) };

  if (!member_address_is_valid (r.peer) || r.domain.size == 0
      || (r.client.size > 0 && !member_address_is_valid (r.client)))
    return -1;
  if (mq_span_equal (r.peer, mq_str_span (gateway->cluster.peer)))
    gateway->member_written = true;
  else
    mq_cluster_add (&gateway->cluster, &r, true, mq_gateway_now_us ());
  return 0;
}

static void
member_add_entry (mq_gateway *gateway, const mq_platform_entry *entry)
{
  mq_json_doc *doc = mq_json_parse (MQ_SPAN ("member"), entry->value, NULL);

  if (doc == NULL || member_add (gateway, entry, doc) < 0)
    {
      ++*gateway->counters.unreadable_entries[MQ_ENTRY_MEMBER];
      mq_log (G_LOG_LEVEL_WARNING, "member.unusable", "vm=%.*s",
              MQ_SPAN_ARG (entry->name));
    }
  if (doc != NULL)
    mq_json_doc_free (doc);
}

static void
members_on_scan (void *context, const mq_platform_reply *reply)
{
  mq_gateway *g = context;
  uint64_t now = mq_gateway_now_us ();

  g->members_scanning = false;
  for (size_t i = 0; i < reply->n_entries; i++)
    member_add_entry (g, &reply->entries[i]);
  mq_gateway_note_unnamed (g, g->dialect->kinds.members, reply);
  if (reply->result == MQ_PLATFORM_UNREADABLE)
    mq_gateway_note_unreadable (g, g->dialect->kinds.members, reply, 1);
  if (reply->result != MQ_PLATFORM_OK)
    {
      g->members_scan_us = now + MEMBER_RETRY_US;
      mq_cluster_note_member_list_unavailable (&g->cluster, now);
      return;
    }
  g->members_scan_us = now + MEMBER_SCAN_INTERVAL_US;
  mq_cluster_note_member_list (&g->cluster, !g->members_scan_stale,
                               g->member_written, now);
}

/* Scan the members.  With STALE, entries of the last seconds may be missing,
   which is cheaper for the store.  */
static void
members_scan (mq_gateway *gateway, bool stale)
{
  mq_platform_request ask
      = { .op = MQ_PLATFORM_SCAN,
          .kind = mq_span_from (gateway->dialect->kinds.members),
          .stale = stale };

  gateway->members_scanning = true;
  gateway->members_scan_stale = stale;
  mq_gateway_count_store_call (gateway, MQ_STORE_MEMBER_SCAN);
  (void)mq_platform_request_start (gateway->store, &ask, members_on_scan,
                                   gateway);
}

/* Write our own member object as a relay.  Scan the members as a relay at
   intervals, as any router without a live relay, and before a router that
   knows no other of its domain may become a relay.  */
static void
members_tick_store (mq_gateway *gateway, uint64_t now_us)
{
  bool alone = !mq_cluster_has_live_relay (&gateway->cluster, now_us);
  bool needed = mq_cluster_needs_member_list (&gateway->cluster, now_us);

  if (gateway->mode != MQ_GATEWAY_SERVING)
    return;
  if (gateway->cluster.relays && !gateway->member_written
      && !gateway->member_writing && now_us >= gateway->member_retry_us)
    member_write (gateway);
  if (!gateway->members_scanning
      && (needed
          || ((gateway->cluster.relays || alone)
              && now_us >= gateway->members_scan_us)))
    members_scan (gateway, !needed);
}

/* ---- Roles.  */

/* Start or stop following FEED as mq_follow_tick decides by VIEW.  */
static void
feed_update_role (mq_feed *feed, const mq_follow_view *view, uint64_t now_us)
{
  mq_feed_tick (feed, now_us);
  if (!mq_follow_tick (&feed->follow, view, now_us))
    return;
  mq_log (G_LOG_LEVEL_INFO, "store.follow",
          "kind=%s follows=%d relays=%d before=%u behind=%d heard=%d",
          feed->kind, feed->follow.follows, view->relays, view->relays_before,
          view->lags, view->store_reachable);
  if (feed->follow.follows)
    mq_feed_resume (feed);
  else
    mq_feed_stop_later (feed);
}

/* Decide which feeds this router follows.  One relay of each domain follows
   the configuration, since sending that to another domain costs more than a
   call; a few relays of the whole fleet follow the upstreams.  */
static void
members_update_roles (mq_gateway *gateway, uint64_t now_us)
{
  const mq_cluster *r = &gateway->cluster;
  mq_follow_view view
      = { .relays = r->relays,
          .has_live_relay = mq_cluster_has_live_relay (r, now_us),
          .store_reachable = mq_cluster_store_is_reachable (r, NULL, now_us),
          .name = mq_str_span (r->name) };

  if (now_us < r->relay_not_before_us)
    return;
  view.fails = gateway->routing_feed.failures > 0;
  view.relays_before = mq_cluster_count_watchers_before (r, now_us);
  view.relays_failing = mq_cluster_count_failing_watchers (r, now_us);
  view.relays_wanted = DOMAIN_WATCHERS;
  feed_update_role (&gateway->routing_feed, &view, now_us);
  view.fails = gateway->upstream_feed.failures > 0;
  view.lags = gateway->upstreams_lag.sent_us > 0;
  view.relays_before = mq_cluster_count_followers_before (r, now_us);
  view.relays_failing = mq_cluster_count_failing_followers (r, now_us);
  view.relays_wanted = gateway->settings->store_followers;
  feed_update_role (&gateway->upstream_feed, &view, now_us);
}

/* Tell the others at once when this router may have lost the store, so that
   they follow it in its place.  */
static void
members_announce_doubt (mq_gateway *gateway, uint64_t now_us)
{
  bool doubted = mq_members_store_fails (gateway);
  bool is_news = doubted && !gateway->store_doubted;

  gateway->store_doubted = doubted;
  if (!is_news
      || now_us < gateway->doubt_announced_us + DOUBT_ANNOUNCED_INTERVAL_US)
    return;
  gateway->doubt_announced_us = now_us;
  mq_gateway_gossip_broadcast (gateway);
}

/* Log once when ROUTER is no longer alive.  */
static void
member_note_silence (mq_cluster_member *router, uint64_t now_us)
{
  if (!router->logged_alive || mq_cluster_member_is_alive (router, now_us))
    return;
  router->logged_alive = false;
  mq_log (G_LOG_LEVEL_WARNING, "member.silent",
          "peer=%s vm=%s silent_ms=%" G_GUINT64_FORMAT,
          mq_str_cstr (router->peer), mq_str_cstr (router->name),
          (now_us - router->received_us) / 1000);
}

static void
members_note_silence (mq_gateway *gateway, uint64_t now_us)
{
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, gateway->cluster.routers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    member_note_silence (value, now_us);
}

/* Detect a pause of this process, in which it received nothing.  */
static void
members_note_pause (mq_gateway *gateway, uint64_t now_us)
{
  uint64_t gap = now_us - gateway->ticked_us;

  if (gateway->ticked_us > 0 && gap > MIN_PAUSE_US)
    {
      mq_log (G_LOG_LEVEL_WARNING, "router.paused", "ms=%" G_GUINT64_FORMAT,
              gap / 1000);
      mq_cluster_note_pause (&gateway->cluster, gap, now_us);
    }
  gateway->ticked_us = now_us;
}

static void
members_disconnect_idle (mq_gateway *gateway, uint64_t now_us)
{
  unsigned n;

  if (now_us < gateway->peers_idle_us + PEER_IDLE_INTERVAL_US)
    return;
  gateway->peers_idle_us = now_us;
  n = mq_peers_disconnect_idle (gateway->peers, PEER_IDLE_S);
  if (n > 0)
    mq_log (G_LOG_LEVEL_INFO, "peer.idle", "connections=%u", n);
}

void
mq_members_tick (mq_gateway *gateway, uint64_t now_us)
{
  members_note_pause (gateway, now_us);
  members_note_silence (gateway, now_us);
  if (mq_cluster_tick (&gateway->cluster, now_us))
    {
      mq_log (G_LOG_LEVEL_INFO, "member.relay", "relays=%d position=%u",
              gateway->cluster.relays,
              mq_cluster_rank_in_domain (&gateway->cluster, now_us));
      gateway->members_scan_us = 0;
    }
  members_update_roles (gateway, now_us);
  members_announce_doubt (gateway, now_us);
  members_tick_store (gateway, now_us);
  mq_gateway_propagation_tick (gateway, now_us);
  mq_gateway_refresh_stale_feeds (gateway, now_us);
  members_disconnect_idle (gateway, now_us);
}

/* Returns true when this router has reached the store for long enough that the
   gossip of others says whether they reach it.  */
static bool
members_store_is_settled (const mq_gateway *gateway, uint64_t now_us)
{
  bool outdated
      = mq_cluster_counts_age_ms (&gateway->cluster, now_us) > COUNTS_FRESH_MS;
  uint64_t settle = outdated ? LEAD_SETTLE_US : 0;

  return mq_members_store_is_reached (gateway, now_us)
         && (gateway->store_recovered_us == 0
             || now_us >= gateway->store_recovered_us + settle);
}

bool
mq_members_is_leader (const mq_gateway *gateway, uint64_t now_us)
{
  return gateway->mode == MQ_GATEWAY_SERVING
         && mq_cluster_is_leader (&gateway->cluster,
                                  members_store_is_settled (gateway, now_us),
                                  now_us);
}

/* ---- Start and stop.  */

int
mq_members_start (mq_gateway *gateway, GError **error)
{
  const mq_gateway_settings *s = gateway->settings;
  GError *cause = NULL;
  mq_str *peer
      = mq_str_printf ("%s:%u", mq_str_cstr (s->peers.address), s->peers.port);
  mq_gossip_router self
      = { .name = mq_str_span (s->name),
          .peer = mq_str_span (peer),
          .client = mq_str_span (gateway->client_address),
          .domain = mq_str_span (s->failure_domain),
          .capacity = s->processor_milli,
          .tunnel_port = mq_tunnel_server_port (gateway->tunnels) };

  randombytes_buf (&self.incarnation, sizeof self.incarnation);
  self.incarnation |= 1; /* 0 is none.  */
  mq_cluster_init (&gateway->cluster, &self, s->retry_window_ms * 1000,
                   gateway->started_us);
  mq_str_unref (peer);
  gateway->peers = mq_peers_new (
      gateway->loop, mq_str_span (s->peers.address), s->peers.port, NULL,
      mq_gateway_gossip_on_message, gateway, &cause);
  if (gateway->peers == NULL)
    {
      g_set_error (error, MQ_GATEWAY_ERROR, MQ_GATEWAY_ERROR_PEERS, "%s",
                   cause->message);
      g_error_free (cause);
      return -1;
    }
  for (guint i = 0; i < s->seeds->len; i++)
    mq_cluster_add_address (&gateway->cluster,
                            mq_span_from (g_ptr_array_index (s->seeds, i)));
  members_scan (gateway, true);
  mq_gateway_gossip_start (gateway);
  return 0;
}

void
mq_members_stop (mq_gateway *gateway)
{
  mq_gateway_gossip_stop (gateway);
  mq_cluster_finish (&gateway->cluster);
  mq_peers_free (gateway->peers);
  gateway->peers = NULL;
}
