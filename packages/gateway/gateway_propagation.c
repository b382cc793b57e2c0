/* What one router knows of the store or of an engine, passed on to those that
   do not: configurations, upstreams, and the layers that an engine says it
   holds.

   What is new goes out at once: to the other routers of the domain from a
   relay, and to the first relay of each other domain, which tells its own
   (the scope of a parcel says how far it goes on).  A router that steps in for
   relays that do not hear the store tells the first of these.  Configurations
   go no further than the domain, since each has a relay that follows them.
   What did not arrive, as news show, is sent again by one of all that may
   (mq/propagation.h).  What is older than what the receiver has is passed
   over.
   */

#include <mq/internal/gateway.h>

#include <mq/log.h>

/* A router behind for so long does not get it from the store.  */
#define BEHIND_US ((uint64_t)300 * 1000)
/* So long after it was told, its news show whether that arrived: an idle
   router reports once a second.  */
#define TOLD_AGAIN_US ((uint64_t)1200 * 1000)
/* A whole list of upstreams goes to a router whose digest was none of ours
   for so long: reading it takes a small VM a while, and each change reaches it
   by itself.  */
#define LIST_BEHIND_US ((uint64_t)2000 * 1000)

/* A follow brings a change within some ms; the watch that it is may hang,
   though, when the store forgets its history meanwhile.  After so long behind
   a peer, and again after the longer while, the store is asked anew.  */
#define OWN_LAG_US ((uint64_t)300 * 1000)
#define OWN_LAG_AGAIN_US ((uint64_t)2000 * 1000)
/* The same for upstreams: longer than a follower gathers changes before it
   asks for more, with what updates take to tell of that.  */
#define UPSTREAMS_LAG_US ((uint64_t)1200 * 1000)
/* The same at a router that does not follow the store: its relays come first.
 */
#define TOLD_LAG_US ((uint64_t)1500 * 1000)

/* ---- Sending.  */

/* Does this router know more than it gets from its relays: is it one, or does
   it follow the store in their place?  */
static bool
router_tells (const mq_gateway *gateway)
{
  return gateway->cluster.relays || gateway->upstream_feed.follow.follows
         || gateway->routing_feed.follow.follows;
}

/* Does ROUTER learn from this one, when something is new?  Relays tell the
   domain's routers, and who follows in their place tells the relays.  */
static bool
router_is_told (const mq_gateway *gateway, const mq_cluster_member *router,
                uint64_t now_us)
{
  if (!router->local || !mq_cluster_member_is_alive (router, now_us))
    return false;
  return gateway->cluster.relays || router->relays;
}

typedef bool (*router_wants) (const mq_gateway *gateway,
                              const mq_cluster_member *router);

/* Send PARCEL to those of this domain that learn from this router and that
   WANTS is true of.  */
static void
pass_to_domain (mq_gateway *gateway, mq_cluster_message *parcel,
                router_wants wants)
{
  uint64_t now = mq_gateway_now_us ();
  GString *out = g_string_new (NULL);
  GHashTableIter i;
  gpointer value;

  parcel->scope = gateway->cluster.relays ? MQ_SCOPE_RECEIVER : MQ_SCOPE_FLEET;
  mq_cluster_message_encode (parcel, out);
  g_hash_table_iter_init (&i, gateway->cluster.routers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    if (router_is_told (gateway, value, now) && wants (gateway, value))
      mq_gateway_gossip_send (gateway, value, parcel->kind, out);
  g_string_free (out, TRUE);
}

/* Send PARCEL to the first relay of each other domain.  */
static void
pass_elsewhere (mq_gateway *gateway, mq_cluster_message *parcel,
                router_wants wants)
{
  GPtrArray *relays = g_ptr_array_new ();

  parcel->scope = MQ_SCOPE_DOMAIN;
  mq_cluster_first_remote_relays (&gateway->cluster, relays,
                                  mq_gateway_now_us ());
  for (guint i = 0; i < relays->len; i++)
    if (wants (gateway, g_ptr_array_index (relays, i)))
      mq_gateway_send_message (gateway, g_ptr_array_index (relays, i), parcel);
  g_ptr_array_unref (relays);
}

/* Pass PARCEL on as far as SCOPE says.  */
static void
pass_parcel_on (mq_gateway *gateway, mq_cluster_message *parcel,
                mq_propagation_scope scope, router_wants wants)
{
  switch (scope)
    {
    case MQ_SCOPE_FLEET:
      pass_to_domain (gateway, parcel, wants);
      if (gateway->cluster.relays)
        pass_elsewhere (gateway, parcel, wants);
      break;
    case MQ_SCOPE_DOMAIN:
      if (router_tells (gateway))
        pass_to_domain (gateway, parcel, wants);
      break;
    case MQ_SCOPE_RECEIVER:
      break;
    }
}

/* ---- Layers.  */

static bool
wants_layers (const mq_gateway *gateway, const mq_cluster_member *router)
{
  (void)gateway;
  (void)router;
  return true;
}

void
mq_gateway_propagate_layers (mq_gateway *gateway, const mq_upstream *upstream)
{
  mq_cluster_message p = { .kind = MQ_CLUSTER_MESSAGE_LAYERS,
                           .u = { .layers = { mq_str_span (upstream->facts.id),
                                              upstream->facts.layer_first,
                                              upstream->facts.layer_end } } };

  pass_parcel_on (gateway, &p, MQ_SCOPE_FLEET, wants_layers);
}

void
mq_gateway_receive_layers (mq_gateway *gateway,
                           const mq_cluster_message *parcel)
{
  const mq_cluster_message_layers *l = &parcel->u.layers;
  mq_upstream *u = mq_registry_find (&gateway->registry, l->upstream);
  mq_cluster_message p = *parcel;

  if (u != NULL
      && mq_registry_set_layers (&gateway->registry, u, l->first, l->end,
                                 mq_gateway_now_us ()))
    pass_parcel_on (gateway, &p, parcel->scope, wants_layers);
}

/* ---- Configurations.  */

static bool
wants_routing (const mq_gateway *gateway, const mq_cluster_member *router)
{
  return !router->watches
         && router->routing_version < gateway->routing->version;
}

static mq_cluster_message
routing_parcel (const mq_gateway *gateway)
{
  return (mq_cluster_message){ .kind = MQ_CLUSTER_MESSAGE_ROUTING,
                               .scope = MQ_SCOPE_RECEIVER,
                               .u = { .routing = mq_str_span (
                                          gateway->routing_text) } };
}

void
mq_gateway_propagate_routing (mq_gateway *gateway, mq_propagation_scope scope)
{
  mq_cluster_message p = routing_parcel (gateway);

  if (router_tells (gateway))
    pass_parcel_on (gateway, &p, MAX (scope, MQ_SCOPE_DOMAIN), wants_routing);
}

/* ---- Upstreams.  */

static bool
wants_changes (const mq_gateway *gateway, const mq_cluster_member *router)
{
  (void)gateway;
  return !router->follows || !router->store_reached;
}

void
mq_gateway_propagate_upstreams (mq_gateway *gateway,
                                const mq_platform_entry *entries, size_t n)
{
  mq_cluster_message p = { .kind = MQ_CLUSTER_MESSAGE_ENTRIES,
                           .u = { .entries = { false, 0, entries, n } } };

  mq_digest_log_note (&gateway->digests, gateway->upstream_list.digest,
                      mq_gateway_now_us ());
  if (router_tells (gateway))
    pass_parcel_on (gateway, &p, MQ_SCOPE_FLEET, wants_changes);
}

/* All upstreams as the store told of them.  */
static void
pass_list (mq_gateway *gateway, mq_cluster_member *to)
{
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
  mq_log (G_LOG_LEVEL_INFO, "upstream.list-passed-on", "vm=%s upstreams=%u",
          mq_str_cstr (to->name), entries->len);
  mq_gateway_send_message (gateway, to, &p);
  g_array_unref (entries);
}

/* ---- Who lacks something.  */

/* What a router may lack.  */
typedef enum pass_on_what
{
  PASS_ON_ROUTING,
  PASS_ON_UPSTREAMS
} pass_on_what;

/* May OTHER tell TO of what it lacks?  In TO's own domain its relays may;
   elsewhere, those of whom that domain's relays hear.  */
static bool
router_may_tell (const mq_gateway *gateway, const mq_cluster_member *other,
                 const mq_cluster_member *to, pass_on_what what,
                 uint64_t now_us)
{
  if (other == to || !other->relays
      || !mq_cluster_member_is_alive (other, now_us)
      || (to->local && !other->local))
    return false;
  switch (what)
    {
    case PASS_ON_ROUTING:
      return gateway->routing != NULL
             && other->routing_version >= gateway->routing->version;
    case PASS_ON_UPSTREAMS:
      return other->upstreams_digest == gateway->upstream_list.digest;
    }
  return false;
}

/* Where this router stands among all that may tell TO of WHAT.  */
static unsigned
pass_on_rank (const mq_gateway *gateway, const mq_cluster_member *to,
              pass_on_what what, uint64_t now_us)
{
  const GHashTable *routers = gateway->cluster.routers;
  mq_span *others = g_new (mq_span, g_hash_table_size ((GHashTable *)routers));
  GHashTableIter i;
  gpointer value;
  size_t n = 0;
  unsigned rank;

  g_hash_table_iter_init (&i, (GHashTable *)routers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    if (router_may_tell (gateway, value, to, what, now_us))
      others[n++] = mq_str_span (((mq_cluster_member *)value)->name);
  rank = mq_propagation_rank (mq_str_span (gateway->cluster.name),
                              mq_str_span (to->name), others, n);
  g_free (others);
  return rank;
}

/* Does ROUTER learn by itself or from its own domain?  */
static bool
router_learns (const mq_gateway *gateway, const mq_cluster_member *router)
{
  if (router->local)
    return router->watches && router->store_reached;
  return mq_cluster_domain_reaches_store (
      &gateway->cluster, mq_str_span (router->domain), mq_gateway_now_us ());
}

static bool
pass_on_is_due (const mq_gateway *gateway, const mq_cluster_member *to,
                pass_on_what what, mq_lag *lag, bool behind, uint64_t first_us,
                uint64_t now_us)
{
  uint64_t since = what == PASS_ON_ROUTING ? MAX (gateway->store_back_us,
                                                  gateway->routing_since_us)
                                           : gateway->store_back_us;
  mq_propagation_delays waits
      = { first_us + (router_learns (gateway, to) ? TOLD_AGAIN_US : 0),
          TOLD_AGAIN_US, since + BEHIND_US };

  return mq_propagation_is_due (
      lag, behind, behind ? pass_on_rank (gateway, to, what, now_us) : 0,
      waits, now_us);
}

static void
pass_on_to (mq_gateway *gateway, mq_cluster_member *to, uint64_t now_us)
{
  bool lives = mq_cluster_member_is_alive (to, now_us);
  bool older = lives && gateway->routing != NULL
               && to->routing_version < gateway->routing->version;
  bool lacks
      = lives && gateway->upstreams_known
        && (!to->follows || !to->store_reached)
        && !mq_digest_log_contains (&gateway->digests, to->upstreams_digest,
                                    now_us - MIN (now_us, LIST_BEHIND_US));

  if (pass_on_is_due (gateway, to, PASS_ON_ROUTING, &to->routing_lag, older,
                      BEHIND_US, now_us))
    {
      mq_cluster_message p = routing_parcel (gateway);

      mq_gateway_send_message (gateway, to, &p);
    }
  if (pass_on_is_due (gateway, to, PASS_ON_UPSTREAMS, &to->upstreams_lag,
                      lacks, to->ready ? LIST_BEHIND_US : BEHIND_US, now_us))
    pass_list (gateway, to);
}

void
mq_gateway_propagation_tick (mq_gateway *gateway, uint64_t now_us)
{
  GHashTableIter i;
  gpointer value;

  if (!router_tells (gateway))
    return;
  g_hash_table_iter_init (&i, gateway->cluster.routers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      const mq_cluster_member *r = value;

      if (r->local ? router_is_told (gateway, r, now_us)
                   : r->relays && gateway->cluster.relays)
        pass_on_to (gateway, value, now_us);
    }
}

/* This router's configuration is older than one that a peer has.  */
static void
ask_for_routing (mq_gateway *gateway, uint64_t now_us)
{
  mq_propagation_delays waits
      = { gateway->routing_feed.follow.follows ? OWN_LAG_US : TOLD_LAG_US,
          OWN_LAG_AGAIN_US, 0 };
  uint64_t version = gateway->routing ? gateway->routing->version : 0;
  bool behind = gateway->routing_heard > version;

  /* A feed that fails is tried again by itself.  */
  if (!mq_propagation_is_due (&gateway->own_lag, behind, 0, waits, now_us)
      || gateway->routing_feed.failures > 0)
    return;
  mq_log (G_LOG_LEVEL_WARNING, "configuration.behind",
          "version=%" G_GUINT64_FORMAT " heard=%" G_GUINT64_FORMAT, version,
          gateway->routing_heard);
  mq_feed_refresh (&gateway->routing_feed);
}

/* Its upstreams are older than those that a relay knows.  A relay that does
   not follow the store begins to (gateway_members.c).  */
static void
ask_for_upstreams (mq_gateway *gateway, uint64_t now_us)
{
  static const mq_propagation_delays waits
      = { UPSTREAMS_LAG_US, OWN_LAG_AGAIN_US, 0 };
  uint64_t newest = mq_cluster_newest_upstreams (&gateway->cluster, now_us);
  bool behind
      = gateway->cluster.relays && newest > gateway->upstream_list.newest;

  if (!mq_propagation_is_due (&gateway->upstreams_lag, behind, 0, waits,
                              now_us)
      || gateway->upstream_feed.failures > 0)
    return;
  mq_log (G_LOG_LEVEL_WARNING, "upstream.behind",
          "newest=%" G_GUINT64_FORMAT " heard=%" G_GUINT64_FORMAT,
          gateway->upstream_list.newest, newest);
  if (gateway->upstream_feed.follow.follows)
    mq_feed_restart (&gateway->upstream_feed);
}

void
mq_gateway_refresh_stale_feeds (mq_gateway *gateway, uint64_t now_us)
{
  ask_for_routing (gateway, now_us);
  ask_for_upstreams (gateway, now_us);
}

/* ---- Hearing.  */

/* WHOLE named all upstreams there were as of its revision.  */
static void
hear_list_end (mq_gateway *gateway, const mq_cluster_message_entries *whole)
{
  GHashTable *seen
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

  for (size_t k = 0; k < whole->n; k++)
    g_hash_table_add (seen, g_strndup (whole->entries[k].name.data,
                                       whole->entries[k].name.size));
  mq_gateway_end_list (gateway, seen, whole->at);
  mq_log (G_LOG_LEVEL_INFO, "upstream.list-heard",
          "upstreams=%zu at=%" G_GUINT64_FORMAT, whole->n, whole->at);
  g_hash_table_unref (seen);
}

void
mq_gateway_receive_upstreams (mq_gateway *gateway,
                              const mq_cluster_message *parcel)
{
  const mq_cluster_message_entries *entries = &parcel->u.entries;
  mq_cluster_message p = { .kind = MQ_CLUSTER_MESSAGE_ENTRIES };
  GArray *news;

  if (!entries->whole && !gateway->upstreams_known)
    return;
  news = g_array_new (FALSE, TRUE, sizeof (mq_platform_entry));
  for (size_t i = 0; i < entries->n; i++)
    if (mq_gateway_take_upstream (gateway, &entries->entries[i]))
      g_array_append_val (news, entries->entries[i]);
  if (entries->whole)
    hear_list_end (gateway, entries);
  mq_digest_log_note (&gateway->digests, gateway->upstream_list.digest,
                      mq_gateway_now_us ());
  p.u.entries = (mq_cluster_message_entries){
    false, 0, (const mq_platform_entry *)(void *)news->data, news->len
  };
  if (news->len > 0)
    pass_parcel_on (gateway, &p, parcel->scope, wants_changes);
  g_array_unref (news);
}
