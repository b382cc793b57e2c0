/* The table of other routers, their ranks, and which are relays: see
   mq/cluster.h.

   A router that a message came from is alive until its timeout has passed
   since then.  A router that others name may be alive until it leaves a
   message unanswered for its timeout; it is tried again if others still name
   it later.  Ranks count all routers that may be alive, so that a router
   becomes a relay only after those of higher rank have proved unresponsive.
 */

#include <mq/cluster.h>

#include <string.h>

/* Timeout of a router: a multiple of the interval that it announced, and a
   minimum.  */
#define TIMEOUT_INTERVALS 2.5
#define MIN_TIMEOUT_US ((uint64_t)1000 * 1000)
/* An unresponsive router that others still name is tried again after this.  */
#define RETRY_US ((uint64_t)3000 * 1000)
/* A router that is not named and sends nothing for this long is removed.  */
#define MEMBER_EXPIRY_US ((uint64_t)60 * 1000 * 1000)
/* A relay counts towards the majority for this long after its last message.
 */
#define QUORUM_MEMBER_US ((uint64_t)30 * 1000 * 1000)
/* A router looks for relays for this long before it may become one.  It covers
   the spread of the starts of a whole fleet and the time that introductions
   take.  */
#define DISCOVERY_US ((uint64_t)1500 * 1000)
/* A router that has found none of its domain by then reads the member list
   after a part of this that its name gives.  When hundreds find none at once,
   the first that become relays are in the list when the others read it.  */
#define LOOKUP_SPREAD_US ((uint64_t)1000 * 1000)
/* A router leads no earlier than this after it became a relay.  The routers of
   a fleet start within 0.4 s of one another, and the first message over a new
   connection takes a heartbeat (0.125 s).  */
#define LEAD_DELAY_US ((uint64_t)500 * 1000)
/* A router that ranks before it, but is not known to be a live relay, delays a
   lead until this after it became a relay.  Relays of different domains find
   one another within a second; a router that ranks first and starts late may
   take longer.  */
#define MAX_LEAD_DELAY_US ((uint64_t)2000 * 1000)

static void
member_free (gpointer data)
{
  mq_cluster_member *r = data;

  mq_str_unref (r->name);
  mq_str_unref (r->peer);
  mq_str_unref (r->client);
  mq_str_unref (r->domain);
  g_array_unref (r->paths);
  g_array_unref (r->sends);
  g_array_unref (r->isolated);
  g_array_unref (r->serving);
  g_array_unref (r->elsewhere);
  g_string_chunk_free (r->serving_texts);
  g_clear_pointer (&r->previous_sends, g_array_unref);
  g_free (r);
}

void
mq_cluster_init (mq_cluster *cluster, const mq_gossip_router *self,
                 uint64_t window_us, uint64_t now_us)
{
  memset (cluster, 0, sizeof *cluster);
  cluster->name = mq_str_new (self->name);
  cluster->name_hash = mq_span_hash (self->name);
  cluster->peer = mq_str_new (self->peer);
  cluster->client = mq_str_new (self->client);
  cluster->domain = mq_str_new (self->domain);
  cluster->tunnel_port = self->tunnel_port;
  cluster->incarnation = self->incarnation;
  cluster->capacity = self->capacity;
  cluster->window_us = window_us;
  cluster->relay_not_before_us = now_us + DISCOVERY_US;
  cluster->routers
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, member_free);
  cluster->paths = g_array_new (FALSE, FALSE, sizeof (mq_path_tokens));
  cluster->sends = g_array_new (FALSE, FALSE, sizeof (mq_service_sends));
  cluster->isolated = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  cluster->other_paths = g_array_new (FALSE, FALSE, sizeof (mq_path_tokens));
  cluster->other_sends = g_array_new (FALSE, FALSE, sizeof (mq_service_sends));
}

void
mq_cluster_finish (mq_cluster *cluster)
{
  g_clear_pointer (&cluster->rankings, g_hash_table_unref);
  g_clear_pointer (&cluster->routers, g_hash_table_unref);
  g_clear_pointer (&cluster->paths, g_array_unref);
  g_clear_pointer (&cluster->sends, g_array_unref);
  g_clear_pointer (&cluster->isolated, g_array_unref);
  g_clear_pointer (&cluster->other_paths, g_array_unref);
  g_clear_pointer (&cluster->other_sends, g_array_unref);
  mq_str_unref (cluster->name);
  mq_str_unref (cluster->peer);
  mq_str_unref (cluster->client);
  mq_str_unref (cluster->domain);
}

/* ---- Members.  */

mq_cluster_member *
mq_cluster_find (const mq_cluster *cluster, mq_span peer)
{
  char *key = g_strndup (peer.size > 0 ? peer.data : "", peer.size);
  mq_cluster_member *r = g_hash_table_lookup (cluster->routers, key);

  g_free (key);
  return r;
}

/* Returns the member with address PEER, added if it is missing, or NULL if
   PEER is empty or this router's own address.  */
static mq_cluster_member *
cluster_get_or_add_member (mq_cluster *cluster, mq_span peer)
{
  mq_cluster_member *r = mq_cluster_find (cluster, peer);

  if (r != NULL || peer.size == 0
      || mq_span_equal (peer, mq_str_span (cluster->peer)))
    return r;
  r = g_new0 (mq_cluster_member, 1);
  r->peer = mq_str_new (peer);
  r->paths = g_array_new (FALSE, FALSE, sizeof (mq_path_tokens));
  r->sends = g_array_new (FALSE, FALSE, sizeof (mq_service_sends));
  r->isolated = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  r->serving = g_array_new (FALSE, FALSE, sizeof (mq_gossip_router));
  r->elsewhere = g_array_new (FALSE, FALSE, sizeof (mq_gossip_router));
  r->serving_texts = g_string_chunk_new (256);
  g_hash_table_insert (cluster->routers, r->peer->data, r);
  return r;
}

static void
set_text (mq_str **field, mq_span value)
{
  if (value.size == 0 || mq_span_equal (mq_str_span (*field), value))
    return;
  mq_str_unref (*field);
  *field = mq_str_new (value);
}

void
mq_cluster_add_address (mq_cluster *cluster, mq_span address)
{
  (void)cluster_get_or_add_member (cluster, address);
}

mq_cluster_member *
mq_cluster_update_member (mq_cluster *cluster, const mq_gossip_router *router)
{
  mq_cluster_member *r = cluster_get_or_add_member (cluster, router->peer);

  if (r == NULL)
    return NULL;
  set_text (&r->name, router->name);
  r->name_hash = mq_span_hash (mq_str_span (r->name));
  set_text (&r->client, router->client);
  set_text (&r->domain, router->domain);
  r->local
      = mq_span_equal (mq_str_span (r->domain), mq_str_span (cluster->domain));
  if (router->capacity > 0)
    r->capacity = router->capacity;
  if (router->tunnel_port > 0)
    r->tunnel_port = router->tunnel_port;
  return r;
}

void
mq_cluster_add (mq_cluster *cluster, const mq_gossip_router *router,
                bool relays, uint64_t now_us)
{
  mq_cluster_member *r = mq_cluster_update_member (cluster, router);

  if (r == NULL)
    return;
  r->named_us = now_us;
  /* A drain ends with its incarnation.  The member's own message, which would
     show that, may come only after this router sends to it as a relay.  */
  if (router->incarnation != 0 && router->incarnation != r->incarnation)
    r->draining = false;
  if (!mq_cluster_member_is_alive (r, now_us))
    r->relays = relays;
}

/* ---- Liveness and ranks.  */

static uint64_t
member_timeout_us (const mq_cluster_member *router)
{
  return MAX (MIN_TIMEOUT_US,
              (uint64_t)(router->interval_ms * TIMEOUT_INTERVALS * 1000));
}

bool
mq_cluster_member_is_alive (const mq_cluster_member *router, uint64_t now_us)
{
  return router->received_us > 0
         && now_us - router->received_us < member_timeout_us (router);
}

bool
mq_cluster_member_is_isolated (const mq_cluster_member *router)
{
  return router->isolated->len > 0;
}

/* Returns true if ROUTER left a message unanswered for its timeout.  */
static bool
member_is_unresponsive (const mq_cluster_member *router, uint64_t now_us)
{
  return router->unanswered_since_us > 0
         && now_us - router->unanswered_since_us > member_timeout_us (router);
}

/* Returns true if ROUTER is alive, or was named since its last message and is
   not known to be unresponsive.  */
static bool
member_may_be_alive (const mq_cluster_member *router, uint64_t now_us)
{
  if (mq_cluster_member_is_alive (router, now_us))
    return true;
  return router->named_us > router->received_us
         && !member_is_unresponsive (router, now_us);
}

bool
mq_cluster_member_is_candidate (const mq_cluster_member *router,
                                mq_span domain, uint64_t now_us)
{
  return mq_span_equal (mq_str_span (router->domain), domain)
         && !router->draining && member_may_be_alive (router, now_us);
}

/* The same for this router's own domain.  */
static bool
member_is_local_candidate (const mq_cluster_member *router, uint64_t now_us)
{
  return router->local && !router->draining
         && member_may_be_alive (router, now_us);
}

/* What the rank of a router follows from.  */
typedef struct rank_key
{
  unsigned capacity;
  uint64_t name_hash;
  mq_span name;
} rank_key;

static int
rank_key_compare (const rank_key *a, const rank_key *b)
{
  if (a->capacity != b->capacity)
    return a->capacity > b->capacity ? -1 : 1;
  if (a->name_hash != b->name_hash)
    return a->name_hash < b->name_hash ? -1 : 1;
  return mq_span_compare (a->name, b->name);
}

static rank_key
member_rank_key (const mq_cluster_member *router)
{
  return (rank_key){ router->capacity, router->name_hash,
                     mq_str_span (router->name) };
}

int
mq_cluster_compare_rank (unsigned capacity_a, mq_span name_a,
                         unsigned capacity_b, mq_span name_b)
{
  rank_key a = { capacity_a, mq_span_hash (name_a), name_a };
  rank_key b = { capacity_b, mq_span_hash (name_b), name_b };

  return rank_key_compare (&a, &b);
}

int
mq_cluster_member_compare_rank (const mq_cluster_member *a,
                                const mq_cluster_member *b)
{
  rank_key x = member_rank_key (a);
  rank_key y = member_rank_key (b);

  return rank_key_compare (&x, &y);
}

static bool
member_ranks_before_self (const mq_cluster *cluster,
                          const mq_cluster_member *router)
{
  rank_key self
      = { cluster->capacity, cluster->name_hash, mq_str_span (cluster->name) };
  rank_key other = member_rank_key (router);

  return rank_key_compare (&other, &self) < 0;
}

unsigned
mq_cluster_rank_in_domain (const mq_cluster *cluster, uint64_t now_us)
{
  GHashTableIter i;
  gpointer value;
  unsigned n = 0;

  g_hash_table_iter_init (&i, cluster->routers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    if (member_is_local_candidate (value, now_us)
        && member_ranks_before_self (cluster, value))
      n++;
  return n;
}

/* Returns true if ROUTER is a live relay that ranks before this router and is
   able to follow the store.  */
static bool
member_is_relay_before_self (const mq_cluster *cluster,
                             const mq_cluster_member *router, uint64_t now_us)
{
  return router->relays && !router->draining && !router->store_fails
         && mq_cluster_member_is_alive (router, now_us)
         && member_ranks_before_self (cluster, router);
}

static bool
member_is_local_relay_before_self (const mq_cluster *cluster,
                                   const mq_cluster_member *router,
                                   uint64_t now_us)
{
  return router->local
         && member_is_relay_before_self (cluster, router, now_us);
}

/* Returns true if ROUTER is a live relay that is not able to follow the store.
 */
static bool
member_is_failing_relay (const mq_cluster_member *router, uint64_t now_us)
{
  return router->relays && !router->draining && router->store_fails
         && mq_cluster_member_is_alive (router, now_us);
}

static bool
member_is_failing_follower (const mq_cluster *cluster,
                            const mq_cluster_member *router, uint64_t now_us)
{
  (void)cluster;
  return router->follows && member_is_failing_relay (router, now_us);
}

static bool
member_is_failing_watcher (const mq_cluster *cluster,
                           const mq_cluster_member *router, uint64_t now_us)
{
  (void)cluster;
  return router->local && router->watches
         && member_is_failing_relay (router, now_us);
}

typedef bool (*member_predicate) (const mq_cluster *cluster,
                                  const mq_cluster_member *router,
                                  uint64_t now_us);

/* Returns how many routers HOLDS is true for.  */
static unsigned
cluster_count (const mq_cluster *cluster, member_predicate holds,
               uint64_t now_us)
{
  GHashTableIter i;
  gpointer value;
  unsigned n = 0;

  g_hash_table_iter_init (&i, cluster->routers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    n += holds (cluster, value, now_us);
  return n;
}

unsigned
mq_cluster_count_followers_before (const mq_cluster *cluster, uint64_t now_us)
{
  return cluster_count (cluster, member_is_relay_before_self, now_us);
}

unsigned
mq_cluster_count_watchers_before (const mq_cluster *cluster, uint64_t now_us)
{
  return cluster_count (cluster, member_is_local_relay_before_self, now_us);
}

unsigned
mq_cluster_count_failing_followers (const mq_cluster *cluster, uint64_t now_us)
{
  return cluster_count (cluster, member_is_failing_follower, now_us);
}

unsigned
mq_cluster_count_failing_watchers (const mq_cluster *cluster, uint64_t now_us)
{
  return cluster_count (cluster, member_is_failing_watcher, now_us);
}

bool
mq_cluster_store_is_reachable (const mq_cluster *cluster,
                               const mq_cluster_member *except,
                               uint64_t now_us)
{
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, cluster->routers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      const mq_cluster_member *r = value;

      if (r != except && (r->store_reached || r->reached)
          && mq_cluster_member_is_alive (r, now_us))
        return true;
    }
  return false;
}

uint64_t
mq_cluster_newest_upstreams (const mq_cluster *cluster, uint64_t digest,
                             uint64_t now_us)
{
  GHashTableIter i;
  gpointer value;
  uint64_t newest = 0;

  g_hash_table_iter_init (&i, cluster->routers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      const mq_cluster_member *r = value;

      if (r->relays && r->upstreams_digest != digest
          && mq_cluster_member_is_alive (r, now_us))
        newest = MAX (newest, r->upstreams_newest);
    }
  return newest;
}

unsigned
mq_cluster_count_alive (const mq_cluster *cluster, uint64_t now_us)
{
  GHashTableIter i;
  gpointer value;
  unsigned n = 0;

  g_hash_table_iter_init (&i, cluster->routers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    n += mq_cluster_member_is_alive (value, now_us);
  return n;
}

bool
mq_cluster_has_live_relay (const mq_cluster *cluster, uint64_t now_us)
{
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, cluster->routers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      const mq_cluster_member *r = value;

      if (r->local && r->relays && mq_cluster_member_is_alive (r, now_us))
        return true;
    }
  return false;
}

bool
mq_cluster_domain_reaches_store (const mq_cluster *cluster, mq_span domain,
                                 uint64_t now_us)
{
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, cluster->routers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      const mq_cluster_member *r = value;

      if (r->relays && ((r->store_reached && !r->store_fails) || r->reached)
          && mq_cluster_member_is_alive (r, now_us)
          && mq_span_equal (mq_str_span (r->domain), domain))
        return true;
    }
  return false;
}

/* ---- This router's role.  */

void
mq_cluster_note_member_list (mq_cluster *cluster, bool current, bool self,
                             uint64_t now_us)
{
  bool certain = self || g_hash_table_size (cluster->routers) == 0;

  if (current || certain)
    cluster->listed_us = now_us;
  if (certain)
    cluster->relay_not_before_us = MIN (cluster->relay_not_before_us, now_us);
}

void
mq_cluster_note_member_list_unavailable (mq_cluster *cluster, uint64_t now_us)
{
  cluster->listed_us = now_us;
}

/* Returns true if ROUTER has expired.  One that is known from settings only
   does not expire.  */
static bool
member_is_expired (const mq_cluster_member *router, uint64_t now_us)
{
  uint64_t known = MAX (router->received_us, router->named_us);

  return known > 0 && now_us - known > MEMBER_EXPIRY_US;
}

static gboolean
member_expire (gpointer key, gpointer value, gpointer data)
{
  (void)key;
  return member_is_expired (value, *(const uint64_t *)data);
}

/* Give unresponsive members that others still name another try.  */
static void
cluster_retry_members (mq_cluster *cluster, uint64_t now_us)
{
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, cluster->routers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      mq_cluster_member *r = value;

      if (member_is_unresponsive (r, now_us)
          && r->named_us > r->unanswered_since_us + RETRY_US)
        r->unanswered_since_us = 0;
    }
}

/* Returns true if another router of this domain may be alive.  */
static bool
cluster_has_candidate (const mq_cluster *cluster, uint64_t now_us)
{
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, cluster->routers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    if (member_is_local_candidate (value, now_us))
      return true;
  return false;
}

bool
mq_cluster_needs_member_list (const mq_cluster *cluster, uint64_t now_us)
{
  uint64_t spread = cluster->name_hash % LOOKUP_SPREAD_US;

  return !cluster->relays && !cluster->self.draining
         && cluster->listed_us < cluster->relay_not_before_us
         && now_us >= cluster->relay_not_before_us + spread
         && !cluster_has_candidate (cluster, now_us);
}

/* Returns true if this router has looked for relays for long enough to become
   one itself if its rank is high enough.  */
static bool
cluster_may_relay (const mq_cluster *cluster, uint64_t now_us)
{
  if (cluster->self.draining || now_us < cluster->relay_not_before_us)
    return false;
  return cluster->relays || cluster->had_candidate
         || cluster->listed_us >= cluster->relay_not_before_us;
}

bool
mq_cluster_tick (mq_cluster *cluster, uint64_t now_us)
{
  bool was_relay = cluster->relays;

  if (g_hash_table_foreach_remove (cluster->routers, member_expire, &now_us)
      > 0)
    mq_cluster_drop_rankings (cluster);
  cluster_retry_members (cluster, now_us);
  /* When all known candidates have become unresponsive, look for others first,
     so that not all routers of the domain become relays at the same time.  */
  if (!cluster->relays && now_us >= cluster->relay_not_before_us
      && cluster->had_candidate && !cluster_has_candidate (cluster, now_us))
    cluster->relay_not_before_us = now_us + DISCOVERY_US;
  cluster->had_candidate = cluster_has_candidate (cluster, now_us);
  cluster->relays = cluster_may_relay (cluster, now_us)
                    && mq_cluster_rank_in_domain (cluster, now_us)
                           < MQ_CLUSTER_RELAYS_PER_DOMAIN;
  if (cluster->relays && !was_relay)
    cluster->relay_since_us = now_us;
  return cluster->relays != was_relay;
}

void
mq_cluster_note_pause (mq_cluster *cluster, uint64_t gap_us, uint64_t now_us)
{
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, cluster->routers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      mq_cluster_member *r = value;

      /* What came or was sent since the process woke up is not older.  */
      if (r->received_us > 0)
        r->received_us = MIN (r->received_us + gap_us, now_us);
      if (r->unanswered_since_us > 0)
        r->unanswered_since_us = MIN (r->unanswered_since_us + gap_us, now_us);
    }
}

/* ---- Leadership.  */

/* Returns true if most of the relays that were alive lately, counting this
   router, are still alive.  */
static bool
cluster_has_quorum (const mq_cluster *cluster, uint64_t now_us)
{
  GHashTableIter i;
  gpointer value;
  unsigned known = 1;
  unsigned alive = 1;

  g_hash_table_iter_init (&i, cluster->routers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      const mq_cluster_member *r = value;

      if (!r->relays || r->received_us == 0
          || now_us - r->received_us > QUORUM_MEMBER_US)
        continue;
      known++;
      alive += mq_cluster_member_is_alive (r, now_us);
    }
  return alive * 2 > known;
}

/* Returns true if ROUTER ranks before this router and is not known to be a
   live relay, nor unresponsive.  The first by rank of all routers becomes a
   relay, so that it, or another that ranks before this router, is about to
   lead.  At a start it may have been received from once, by an introduction.
 */
static bool
member_is_awaited (const mq_cluster *cluster, const mq_cluster_member *router,
                   uint64_t now_us)
{
  return !router->draining && !member_is_unresponsive (router, now_us)
         && !(router->relays && mq_cluster_member_is_alive (router, now_us))
         && member_ranks_before_self (cluster, router);
}

/* Returns true if this router has been a relay for long enough that it has
   received from those that would lead instead of it.  Where it knows no other
   router, it does not wait.  */
static bool
cluster_lead_is_settled (const mq_cluster *cluster, uint64_t now_us)
{
  uint64_t us = now_us - cluster->relay_since_us;
  GHashTableIter i;
  gpointer value;

  if (us >= MAX_LEAD_DELAY_US || g_hash_table_size (cluster->routers) == 0)
    return true;
  if (us < LEAD_DELAY_US)
    return false;
  g_hash_table_iter_init (&i, cluster->routers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    if (member_is_awaited (cluster, value, now_us))
      return false;
  return true;
}

bool
mq_cluster_is_leader (const mq_cluster *cluster, bool store, uint64_t now_us)
{
  bool self_isolated = cluster->isolated->len > 0;
  GHashTableIter i;
  gpointer value;

  if (!cluster->relays || !cluster_lead_is_settled (cluster, now_us)
      || (!store && !cluster_has_quorum (cluster, now_us)))
    return false;
  g_hash_table_iter_init (&i, cluster->routers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      const mq_cluster_member *r = value;

      if (!r->relays || !r->ready || !mq_cluster_member_is_alive (r, now_us)
          || (mq_cluster_member_is_isolated (r) && !self_isolated))
        continue;
      if (!mq_cluster_member_is_isolated (r) && self_isolated)
        return false;
      if (r->store_reached != store ? r->store_reached
                                    : member_ranks_before_self (cluster, r))
        return false;
    }
  return true;
}
