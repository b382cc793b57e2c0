/* Propagation of configurations, upstreams and the layers of engines from
   routers that know them to those that do not.

   A relay sends an update at once to the other routers of its domain and to
   the first relay of each other domain, which propagates it in its own; the
   scope of a message says how far it goes from its receiver.  Changes of
   upstreams go also to routers that follow the store, whose watch may hang.
   A router that follows the store in place of the relays sends its updates to
   them.  Configurations stay within the domain, since each domain has a relay
   that follows them.  When gossip shows that a router still lacks an update,
   one of the routers that have it sends it again (mq/propagation.h).  A
   receiver ignores what is older than what it has.  */

#include <mq/internal/gateway.h>

#include <mq/log.h>

/* A router that lags for this long is assumed not to receive the update from
   the store.  */
#define LAG_US ((uint64_t)300 * 1000)
/* Delay before an update is sent again: by then the receiver's gossip shows
   whether it arrived, since an idle router reports once a second.  */
#define RESEND_US ((uint64_t)1200 * 1000)
/* A complete list of upstreams goes to a router whose digest matched none of
   ours for this long: a small VM takes a while to apply the list, and receives
   each change separately anyway.  */
#define LIST_LAG_US ((uint64_t)2000 * 1000)
/* A router that started just now, whose list is not ours, has missed what was
   propagated before it was first heard.  For LIST_LAG_US it gets the complete
   list without a delay from a router that follows the store.  Such
   lists hold so many entries for each tick on average, about 100 KB: slow VMs
   have 20 Mbit/s, and hundreds of routers may start together.  */
#define MAX_FIRST_ENTRIES_PER_TICK 400
/* Delay before such a list is sent again after it was dropped: the connection
   to a router that was just heard opens within some ms, but one to a router
   that cannot be reached may never open.  */
#define FIRST_LIST_RETRY_US ((uint64_t)200 * 1000)

/* A watch delivers a change within some ms, but may hang when the store
   compacts its history meanwhile.  A follower that lags behind a peer for this
   long reads the store again, and repeats that every OWN_LAG_AGAIN_US.  */
#define OWN_LAG_US ((uint64_t)300 * 1000)
#define OWN_LAG_AGAIN_US ((uint64_t)2000 * 1000)
/* The same for upstreams: longer than a follower waits to gather changes,
   plus the time until gossip shows it.  */
#define UPSTREAMS_LAG_US ((uint64_t)1200 * 1000)
/* The same at a router that does not follow the store: its relays may send the
   update first.  */
#define RECEIVER_LAG_US ((uint64_t)1500 * 1000)
/* A list of upstreams that was older than that of a relay for this long is
   logged.  */
#define LOGGED_LAG_US ((uint64_t)500 * 1000)

/* ---- Sending.  */

/* Returns true when this router propagates updates: as a relay, or as a
   follower in place of the relays.  */
static bool
router_propagates (const mq_gateway *gateway)
{
  return gateway->cluster.relays || gateway->upstream_feed.follow.follows
         || gateway->routing_feed.follow.follows;
}

/* Returns true when this router sends updates to ROUTER: a relay sends them to
   all routers of its domain, another follower to the relays only.  */
static bool
router_is_receiver (const mq_gateway *gateway, const mq_cluster_member *router,
                    uint64_t now_us)
{
  if (!router->local || !mq_cluster_member_is_alive (router, now_us))
    return false;
  return gateway->cluster.relays || router->relays;
}

typedef bool (*router_predicate) (const mq_gateway *gateway,
                                  const mq_cluster_member *router);

/* Returns true if the first message of ROUTER's incarnation came just now.  */
static bool
router_is_new (const mq_cluster_member *router, uint64_t now_us)
{
  return now_us - router->appeared_us < LIST_LAG_US;
}

/* Returns since when every change was sent to ROUTER, if it is new.  */
static uint64_t
router_receives_since (const mq_cluster_member *router)
{
  return MAX (router->appeared_us, router->change_dropped_us);
}

/* Send MESSAGE to the routers of this domain that this one sends updates to
   and that NEEDS holds for.  */
static void
propagate_to_domain (mq_gateway *gateway, mq_cluster_message *message,
                     router_predicate needs)
{
  uint64_t now = mq_gateway_now_us ();
  mq_peers_shared *out;
  GHashTableIter i;
  gpointer value;

  message->scope
      = gateway->cluster.relays ? MQ_SCOPE_RECEIVER : MQ_SCOPE_FLEET;
  out = mq_gateway_encode_message (message);
  g_hash_table_iter_init (&i, gateway->cluster.routers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    if (router_is_receiver (gateway, value, now) && needs (gateway, value)
        && !mq_gateway_gossip_send (gateway, value, message->kind, out)
        && message->kind == MQ_CLUSTER_MESSAGE_ENTRIES
        && router_is_new (value, now))
      ((mq_cluster_member *)value)->change_dropped_us = mq_gateway_now_us ();
  mq_peers_shared_free (out);
}

/* Send MESSAGE to the first relay of each other domain, where NEEDS holds.  */
static void
propagate_to_remote (mq_gateway *gateway, mq_cluster_message *message,
                     router_predicate needs)
{
  GPtrArray *relays = g_ptr_array_new ();

  message->scope = MQ_SCOPE_DOMAIN;
  mq_cluster_first_remote_relays (&gateway->cluster, relays,
                                  mq_gateway_now_us ());
  for (guint i = 0; i < relays->len; i++)
    if (needs (gateway, g_ptr_array_index (relays, i)))
      mq_gateway_send_message (gateway, g_ptr_array_index (relays, i),
                               message);
  g_ptr_array_unref (relays);
}

/* Propagate MESSAGE as far as SCOPE says.  */
static void
propagate_message (mq_gateway *gateway, mq_cluster_message *message,
                   mq_propagation_scope scope, router_predicate needs)
{
  switch (scope)
    {
    case MQ_SCOPE_FLEET:
      propagate_to_domain (gateway, message, needs);
      if (gateway->cluster.relays)
        propagate_to_remote (gateway, message, needs);
      break;
    case MQ_SCOPE_DOMAIN:
      if (router_propagates (gateway))
        propagate_to_domain (gateway, message, needs);
      break;
    case MQ_SCOPE_RECEIVER:
      break;
    }
}

static bool
needs_always (const mq_gateway *gateway, const mq_cluster_member *router)
{
  (void)gateway;
  (void)router;
  return true;
}

/* ---- Layers.  */

void
mq_gateway_propagate_layers (mq_gateway *gateway, const mq_upstream *upstream)
{
  mq_cluster_message p = { .kind = MQ_CLUSTER_MESSAGE_LAYERS,
                           .u = { .layers = { mq_str_span (upstream->facts.id),
                                              upstream->facts.layer_first,
                                              upstream->facts.layer_end } } };

  propagate_message (gateway, &p, MQ_SCOPE_FLEET, needs_always);
}

void
mq_gateway_receive_layers (mq_gateway *gateway,
                           const mq_cluster_message *message)
{
  const mq_cluster_message_layers *l = &message->u.layers;
  mq_upstream *u = mq_registry_find (&gateway->registry, l->upstream);
  mq_cluster_message p = *message;

  if (u != NULL
      && mq_registry_set_layers (&gateway->registry, u, l->first, l->end,
                                 mq_gateway_now_us ()))
    propagate_message (gateway, &p, message->scope, needs_always);
}

/* ---- Configurations.  */

static bool
needs_routing (const mq_gateway *gateway, const mq_cluster_member *router)
{
  return (!router->watches || router->store_fails)
         && router->routing_version < gateway->routing->version;
}

static mq_cluster_message
routing_message (const mq_gateway *gateway)
{
  return (mq_cluster_message){ .kind = MQ_CLUSTER_MESSAGE_ROUTING,
                               .scope = MQ_SCOPE_RECEIVER,
                               .u = { .routing = mq_str_span (
                                          gateway->routing_text) } };
}

void
mq_gateway_propagate_routing (mq_gateway *gateway, mq_propagation_scope scope)
{
  mq_cluster_message p = routing_message (gateway);

  if (router_propagates (gateway))
    propagate_message (gateway, &p, MAX (scope, MQ_SCOPE_DOMAIN),
                       needs_routing);
}

/* ---- Upstreams.  */

void
mq_gateway_propagate_upstreams (mq_gateway *gateway,
                                const mq_platform_entry *entries, size_t n)
{
  mq_cluster_message p = { .kind = MQ_CLUSTER_MESSAGE_ENTRIES,
                           .u = { .entries = { false, 0, entries, n } } };

  mq_digest_log_note (&gateway->digests, gateway->upstream_list.digest,
                      mq_gateway_now_us ());
  if (router_propagates (gateway))
    propagate_message (gateway, &p, MQ_SCOPE_FLEET, needs_always);
}

void
mq_gateway_propagate_confirmed (mq_gateway *gateway,
                                const mq_platform_entry *entries, size_t n)
{
  mq_cluster_message p = { .kind = MQ_CLUSTER_MESSAGE_ENTRIES,
                           .u = { .entries = { false, 0, entries, n } } };

  if (gateway->cluster.relays)
    propagate_to_remote (gateway, &p, needs_always);
}

/* Encode the complete list of upstreams.  Free with mq_peers_shared_free.  */
static mq_peers_shared *
list_encode (const mq_gateway *gateway)
{
  mq_peers_shared *out;
  GArray *entries = g_array_new (FALSE, TRUE, sizeof (mq_platform_entry));
  GHashTableIter i;
  gpointer id;
  gpointer value;
  mq_cluster_message p = { .kind = MQ_CLUSTER_MESSAGE_ENTRIES };

  g_hash_table_iter_init (&i, gateway->upstream_list.entries);
  while (g_hash_table_iter_next (&i, &id, &value))
    {
      const mq_entry *known = value;
      mq_platform_entry e = { .name = mq_span_from (id),
                              .version = known->version,
                              .value = mq_str_span (known->text) };

      g_array_append_val (entries, e);
    }
  p.u.entries = (mq_cluster_message_entries){
    true, gateway->upstream_list.newest,
    (const mq_platform_entry *)(void *)entries->data, entries->len
  };
  out = mq_gateway_encode_message (&p);
  g_array_unref (entries);
  return out;
}

/* Send TO the complete list of upstreams.  *LIST is the encoded list, or NULL
   before it is first needed: hundreds of routers that start together lack it
   at the same tick.  Returns false if it was dropped.  */
static bool
propagate_list (mq_gateway *gateway, mq_cluster_member *to,
                mq_peers_shared **list)
{
  if (*list == NULL)
    *list = list_encode (gateway);
  if (!mq_gateway_gossip_send (gateway, to, MQ_CLUSTER_MESSAGE_ENTRIES, *list))
    return false;
  mq_log (G_LOG_LEVEL_INFO, "upstream.list-passed-on", "vm=%s upstreams=%u",
          mq_str_cstr (to->name),
          g_hash_table_size (gateway->upstream_list.entries));
  return true;
}

/* ---- Sending again.  */

/* Which update a router may lack.  */
typedef enum propagated_update
{
  PROPAGATED_ROUTING,
  PROPAGATED_UPSTREAMS
} propagated_update;

/* Returns true when OTHER has the update WHAT and may send it to TO.  In TO's
   own domain its relays may; in other domains, any live relay.  */
static bool
router_may_send (const mq_gateway *gateway, const mq_cluster_member *other,
                 const mq_cluster_member *to, propagated_update what,
                 uint64_t now_us)
{
  if (other == to || !other->relays
      || !mq_cluster_member_is_alive (other, now_us)
      || (to->local && !other->local))
    return false;
  switch (what)
    {
    case PROPAGATED_ROUTING:
      return gateway->routing != NULL
             && other->routing_version >= gateway->routing->version;
    case PROPAGATED_UPSTREAMS:
      return other->upstreams_digest == gateway->upstream_list.digest;
    }
  return false;
}

/* This router's rank among those that may send WHAT to TO; 0 sends first.  */
static unsigned
resend_rank (const mq_gateway *gateway, const mq_cluster_member *to,
             propagated_update what, uint64_t now_us)
{
  const GHashTable *routers = gateway->cluster.routers;
  mq_span *others = g_new (mq_span, g_hash_table_size ((GHashTable *)routers));
  GHashTableIter i;
  gpointer value;
  size_t n = 0;
  unsigned rank;

  g_hash_table_iter_init (&i, (GHashTable *)routers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    if (router_may_send (gateway, value, to, what, now_us))
      others[n++] = mq_str_span (((mq_cluster_member *)value)->name);
  rank = mq_propagation_rank (mq_str_span (gateway->cluster.name),
                              mq_str_span (to->name), others, n);
  g_free (others);
  return rank;
}

/* Returns true when ROUTER can receive a configuration without this router:
   from the store or within its own domain.  */
static bool
router_has_own_source (const mq_gateway *gateway,
                       const mq_cluster_member *router)
{
  if (router->local)
    return router->watches && router->store_reached && !router->store_fails;
  return mq_cluster_domain_reaches_store (
      &gateway->cluster, mq_str_span (router->domain), mq_gateway_now_us ());
}

static bool
resend_is_due (const mq_gateway *gateway, const mq_cluster_member *to,
               propagated_update what, mq_lag *lag, bool lags,
               uint64_t first_us, uint64_t now_us)
{
  mq_propagation_delays delays
      = { first_us, RESEND_US, gateway->store_recovered_us + LAG_US };

  return mq_propagation_is_due (
      lag, lags, lags ? resend_rank (gateway, to, what, now_us) : 0, delays,
      now_us);
}

/* Returns true if TO started just now, or missed a change just after that, and
   this router is certain that its own list is complete, and that it sends
   every change to TO from now on.  As changes count only while TO is new, this
   ends at twice LIST_LAG_US after its first message.  */
static bool
list_is_first (const mq_gateway *gateway, const mq_cluster_member *to,
               uint64_t now_us)
{
  const mq_feed *feed = &gateway->upstream_feed;

  return now_us - router_receives_since (to) < LIST_LAG_US
         && feed->follow.follows && feed->state == MQ_FEED_FOLLOWING
         && feed->failures == 0;
}

/* Returns true if TO has a list that was never ours, or that was ours only
   before changes were propagated to it, as FIRST says.  */
static bool
lacks_list (const mq_gateway *gateway, const mq_cluster_member *to, bool first,
            uint64_t now_us)
{
  uint64_t since = now_us - MIN (now_us, LIST_LAG_US);

  return !mq_digest_log_contains (
      &gateway->digests, to->upstreams_digest,
      first ? MAX (since, router_receives_since (to)) : since);
}

/* Returns true if the last message of TO shows that it did not have the
   configuration that this router had had for LAG_US by then.  */
static bool
lacks_version (const mq_gateway *gateway, const mq_cluster_member *to)
{
  uint64_t us = to->received_us - MIN (to->received_us, LAG_US);

  return to->routing_version < mq_version_log_get (&gateway->versions, us);
}

/* Returns true if a first list may be sent to TO now.  */
static bool
first_list_may_go (const mq_gateway *gateway, const mq_cluster_member *to,
                   uint64_t now_us)
{
  return gateway->first_list_entries > 0
         && (to->list_dropped_us == 0
             || now_us - to->list_dropped_us >= FIRST_LIST_RETRY_US);
}

/* Send TO again what it lacks.  LIST is as in propagate_list.  */
static void
resend_to (mq_gateway *gateway, mq_cluster_member *to, mq_peers_shared **list,
           uint64_t now_us)
{
  bool first = list_is_first (gateway, to, now_us);
  uint64_t own_delay = router_has_own_source (gateway, to) ? RESEND_US : 0;
  uint64_t list_delay = to->ready ? LIST_LAG_US : LAG_US + own_delay;
  bool alive = mq_cluster_member_is_alive (to, now_us);
  bool lacks_routing = alive && lacks_version (gateway, to);
  bool lacks_upstreams
      = alive && gateway->upstreams_known
        && (!to->follows || !to->store_reached || to->store_fails)
        && lacks_list (gateway, to, first, now_us);

  if (resend_is_due (gateway, to, PROPAGATED_ROUTING, &to->routing_lag,
                     lacks_routing, own_delay, now_us))
    {
      mq_cluster_message p = routing_message (gateway);

      mq_gateway_send_message (gateway, to, &p);
    }
  if (lacks_upstreams && first)
    {
      if (!first_list_may_go (gateway, to, now_us))
        return;
      list_delay = 0;
    }
  if (!resend_is_due (gateway, to, PROPAGATED_UPSTREAMS, &to->upstreams_lag,
                      lacks_upstreams, list_delay, now_us))
    return;
  if (propagate_list (gateway, to, list))
    {
      if (first)
        gateway->first_list_entries
            -= g_hash_table_size (gateway->upstream_list.entries);
    }
  else if (first)
    {
      to->upstreams_lag.sent_us = 0;
      to->list_dropped_us = now_us;
    }
}

void
mq_gateway_propagation_tick (mq_gateway *gateway, uint64_t now_us)
{
  mq_peers_shared *list = NULL;
  GHashTableIter i;
  gpointer value;

  if (!router_propagates (gateway))
    return;
  /* A list that exceeds the rate delays those of later ticks.  */
  gateway->first_list_entries
      = MIN (gateway->first_list_entries + MAX_FIRST_ENTRIES_PER_TICK,
             MAX_FIRST_ENTRIES_PER_TICK);
  g_hash_table_iter_init (&i, gateway->cluster.routers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      const mq_cluster_member *r = value;

      if (r->local ? router_is_receiver (gateway, r, now_us)
                   : r->relays && gateway->cluster.relays)
        resend_to (gateway, value, &list, now_us);
    }
  mq_peers_shared_free (list);
}

/* Read the configuration again when a peer has a newer one.  */
static void
refresh_routing (mq_gateway *gateway, uint64_t now_us)
{
  mq_propagation_delays delays
      = { gateway->routing_feed.follow.follows ? OWN_LAG_US : RECEIVER_LAG_US,
          OWN_LAG_AGAIN_US, 0 };
  uint64_t version = gateway->routing ? gateway->routing->version : 0;
  bool lags = gateway->newest_routing_version > version;

  /* A feed whose calls fail retries by itself.  */
  if (!mq_propagation_is_due (&gateway->own_routing_lag, lags, 0, delays,
                              now_us)
      || gateway->routing_feed.failures > 0)
    return;
  mq_log (G_LOG_LEVEL_WARNING, "configuration.behind",
          "version=%" G_GUINT64_FORMAT " heard=%" G_GUINT64_FORMAT, version,
          gateway->newest_routing_version);
  mq_feed_refresh (&gateway->routing_feed);
}

/* As a relay, restart the watch of the upstreams when another relay knows
   newer ones: its newest change is NEWEST.  A relay that does not follow the
   store begins to (gateway_members.c).  */
static void
refresh_upstreams (mq_gateway *gateway, uint64_t newest, uint64_t now_us)
{
  static const mq_propagation_delays delays
      = { UPSTREAMS_LAG_US, OWN_LAG_AGAIN_US, 0 };
  bool lags
      = gateway->cluster.relays && newest > gateway->upstream_list.newest;

  if (!mq_propagation_is_due (&gateway->upstreams_lag, lags, 0, delays, now_us)
      || gateway->upstream_feed.failures > 0)
    return;
  mq_log (G_LOG_LEVEL_WARNING, "upstream.behind",
          "newest=%" G_GUINT64_FORMAT " heard=%" G_GUINT64_FORMAT,
          gateway->upstream_list.newest, newest);
  if (gateway->upstream_feed.follow.follows)
    mq_feed_restart (&gateway->upstream_feed);
}

/* Log when this router knows all the upstreams that relays did, if that took
   long.  NEWEST is the newest change that any relay knows.  */
static void
upstreams_log_lag (mq_gateway *gateway, uint64_t newest, uint64_t now_us)
{
  uint64_t since = gateway->upstreams_behind_us;

  if (newest > gateway->upstream_list.newest)
    {
      if (since == 0)
        gateway->upstreams_behind_us = now_us;
      return;
    }
  gateway->upstreams_behind_us = 0;
  if (since > 0 && now_us - since >= LOGGED_LAG_US)
    mq_log (G_LOG_LEVEL_WARNING, "upstream.caught-up",
            "behind_ms=%" G_GUINT64_FORMAT " newest=%" G_GUINT64_FORMAT,
            (now_us - since) / 1000, gateway->upstream_list.newest);
}

void
mq_gateway_refresh_stale_feeds (mq_gateway *gateway, uint64_t now_us)
{
  uint64_t newest = mq_cluster_newest_upstreams (
      &gateway->cluster, gateway->upstream_list.digest, now_us);

  upstreams_log_lag (gateway, newest, now_us);
  refresh_routing (gateway, now_us);
  refresh_upstreams (gateway, newest, now_us);
}

/* ---- Receiving.  */

/* Remove the upstreams that the complete list WHOLE does not name.  */
static void
upstreams_prune_missing (mq_gateway *gateway,
                         const mq_cluster_message_entries *whole)
{
  GHashTable *seen
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

  for (size_t k = 0; k < whole->n; k++)
    g_hash_table_add (seen, g_strndup (whole->entries[k].name.data,
                                       whole->entries[k].name.size));
  mq_gateway_prune_upstreams (gateway, seen, whole->at, "list");
  mq_gateway_view_note_list (gateway, MQ_VIEW_SOURCE_PEER);
  mq_log (G_LOG_LEVEL_INFO, "upstream.list-heard",
          "upstreams=%zu at=%" G_GUINT64_FORMAT, whole->n, whole->at);
  g_hash_table_unref (seen);
}

void
mq_gateway_receive_upstreams (mq_gateway *gateway,
                              const mq_cluster_message *message)
{
  const mq_cluster_message_entries *entries = &message->u.entries;
  mq_cluster_message p = { .kind = MQ_CLUSTER_MESSAGE_ENTRIES };
  GArray *changed;

  if (!entries->whole && !gateway->upstreams_known)
    return;
  changed = g_array_new (FALSE, TRUE, sizeof (mq_platform_entry));
  for (size_t i = 0; i < entries->n; i++)
    {
      mq_platform_entry e = entries->entries[i];

      if (mq_gateway_apply_upstream (gateway, &e,
                                     entries->whole ? "list" : "peer"))
        g_array_append_val (changed, e);
    }
  if (entries->whole)
    upstreams_prune_missing (gateway, entries);
  mq_digest_log_note (&gateway->digests, gateway->upstream_list.digest,
                      mq_gateway_now_us ());
  p.u.entries = (mq_cluster_message_entries){
    false, 0, (const mq_platform_entry *)(void *)changed->data, changed->len
  };
  if (changed->len > 0)
    propagate_message (gateway, &p, message->scope, needs_always);
  g_array_unref (changed);
}
