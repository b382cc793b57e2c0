/* Making gossip from the state of a cluster, and merging what is received: see
   mq/cluster.h and mq/gossip.h.  */

#include <mq/cluster.h>

/* A relay of another domain gets summaries for this long after it was named,
   even if no message has come from it.  */
#define NAMED_RELAY_US ((uint64_t)10000 * 1000)
/* Intervals of the reports of an idle router and of the digests to it.  */
#define IDLE_REPORT_MS 1000
#define IDLE_DIGEST_MS 500
/* A relay that is not the first of its domain is a standby.  Its summaries are
   sent at the interval of the first times a factor, with a minimum.  */
#define STANDBY_MIN_SUMMARY_MS 500
#define STANDBY_FACTOR 4
/* Remote relays up to which summaries are sent at each heartbeat.  With more,
   the interval grows in proportion, so that the rate at which a relay sends
   does not grow with the number of domains.  */
#define SUMMARY_RELAYS_PER_HEARTBEAT 16
/* A message may be sent this much before its interval has passed, since timers
   fire late.  */
#define TIMER_SLACK_MS (MQ_CLUSTER_HEARTBEAT_MS / 2)
#define US_PER_MS ((uint64_t)1000)
/* Unchanged lists of routers are sent again after this.  */
#define LISTS_INTERVAL_US ((1000 - TIMER_SLACK_MS) * US_PER_MS)
/* Serving routers that a summary names.  */
#define SUMMARY_MAX_SERVING 2
#define INTRODUCTION_RELAYS_PER_DOMAIN 2
/* A ranking of candidates is computed again when it is this old.  */
#define RANKING_MAX_AGE_US ((uint64_t)50 * 1000)

/* ---- Targets.  */

static int
rank_compare (gconstpointer a, gconstpointer b)
{
  const mq_cluster_member *x = *(const mq_cluster_member *const *)a;
  const mq_cluster_member *y = *(const mq_cluster_member *const *)b;

  return mq_cluster_member_compare_rank (x, y);
}

/* The candidates of a domain by rank.  */
typedef struct domain_ranking
{
  GPtrArray *routers; /* mq_cluster_member, borrowed.  */
  uint64_t at_us;     /* When it was computed.  */
} domain_ranking;

static void
ranking_free (gpointer data)
{
  domain_ranking *r = data;

  g_ptr_array_unref (r->routers);
  g_free (r);
}

void
mq_cluster_drop_rankings (mq_cluster *cluster)
{
  if (cluster->rankings != NULL)
    g_hash_table_remove_all (cluster->rankings);
}

/* Returns the ranking of DOMAIN, borrowed; it is empty and of time 0 if it is
   new.  */
static domain_ranking *
cluster_ranking (mq_cluster *cluster, mq_span domain)
{
  char *name = g_strndup (domain.size > 0 ? domain.data : "", domain.size);
  domain_ranking *r;

  if (cluster->rankings == NULL)
    cluster->rankings = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                               ranking_free);
  r = g_hash_table_lookup (cluster->rankings, name);
  if (r != NULL)
    {
      g_free (name);
      return r;
    }
  r = g_new0 (domain_ranking, 1);
  r->routers = g_ptr_array_new ();
  g_hash_table_insert (cluster->rankings, name, r);
  return r;
}

/* Returns the routers of DOMAIN that may be alive, by rank
   (mq_cluster_member, borrowed).  Free with g_ptr_array_unref.

   The ranking is kept for a moment: a relay names the first routers of its
   domain to each of the others, and a seed those of all domains to each router
   of a fleet that starts.  */
static GPtrArray *
cluster_rank_candidates (mq_cluster *cluster, mq_span domain, uint64_t now_us)
{
  domain_ranking *ranking = cluster_ranking (cluster, domain);
  GPtrArray *ranked = ranking->routers;
  GHashTableIter i;
  gpointer value;

  if (ranking->at_us > 0 && now_us - ranking->at_us < RANKING_MAX_AGE_US)
    return g_ptr_array_ref (ranked);
  ranking->at_us = now_us;
  cluster->ranked++;
  g_ptr_array_set_size (ranked, 0);
  g_hash_table_iter_init (&i, cluster->routers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    if (mq_cluster_member_is_candidate (value, domain, now_us))
      g_ptr_array_add (ranked, value);
  g_ptr_array_sort (ranked, rank_compare);
  return g_ptr_array_ref (ranked);
}

/* Add the members of which only the address is known, or with ALL all members:
   any that replies may know a relay.  */
static void
targets_add_unknown (mq_cluster *cluster, bool all, GPtrArray *routers)
{
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, cluster->routers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    if (all || ((const mq_cluster_member *)value)->domain == NULL)
      g_ptr_array_add (routers, value);
}

void
mq_cluster_report_targets (mq_cluster *cluster, GPtrArray *routers,
                           uint64_t now_us)
{
  GPtrArray *ranked = cluster_rank_candidates (
      cluster, mq_str_span (cluster->domain), now_us);
  unsigned wanted = MQ_CLUSTER_RELAYS_PER_DOMAIN - (cluster->relays ? 1 : 0);
  bool alone = ranked->len == 0;

  for (guint i = 0; i < ranked->len; i++)
    {
      mq_cluster_member *r = g_ptr_array_index (ranked, i);

      if (i < wanted || (r->relays && mq_cluster_member_is_alive (r, now_us)))
        g_ptr_array_add (routers, r);
    }
  if (alone || now_us < cluster->relay_not_before_us)
    targets_add_unknown (cluster, alone, routers);
  g_ptr_array_unref (ranked);
}

void
mq_cluster_digest_targets (mq_cluster *cluster, bool all, GPtrArray *routers,
                           uint64_t now_us)
{
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, cluster->routers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      mq_cluster_member *r = value;

      if (r->local && !r->relays && mq_cluster_member_is_alive (r, now_us)
          && (all || mq_cluster_member_is_active (r)
              || now_us - r->digest_us
                     >= (IDLE_DIGEST_MS - TIMER_SLACK_MS) * US_PER_MS))
        g_ptr_array_add (routers, r);
    }
}

/* Returns true if ROUTER is a remote relay that gets summaries.  */
static bool
member_takes_summary (const mq_cluster_member *router, uint64_t now_us)
{
  if (router->local || !router->relays)
    return false;
  return mq_cluster_member_is_alive (router, now_us)
         || (router->named_us > 0
             && now_us - router->named_us < NAMED_RELAY_US);
}

/* Returns the interval of this relay's summaries, in ms, for RELAYS remote
   relays.  */
static unsigned
summary_interval_ms (const mq_cluster *cluster, unsigned relays,
                     uint64_t now_us)
{
  unsigned heartbeats = MAX ((relays + SUMMARY_RELAYS_PER_HEARTBEAT - 1)
                                 / SUMMARY_RELAYS_PER_HEARTBEAT,
                             1);
  unsigned ms = heartbeats * MQ_CLUSTER_HEARTBEAT_MS;

  return mq_cluster_rank_in_domain (cluster, now_us) == 0
             ? ms
             : MAX (ms * STANDBY_FACTOR, STANDBY_MIN_SUMMARY_MS);
}

void
mq_cluster_remote_relays (const mq_cluster *cluster, GPtrArray *routers,
                          uint64_t now_us)
{
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, cluster->routers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    if (member_takes_summary (value, now_us))
      g_ptr_array_add (routers, value);
}

void
mq_cluster_first_remote_relays (mq_cluster *cluster, GPtrArray *routers,
                                uint64_t now_us)
{
  GHashTable *domains = g_hash_table_new (g_str_hash, g_str_equal);
  GPtrArray *relays = g_ptr_array_new ();

  mq_cluster_remote_relays (cluster, relays, now_us);
  g_ptr_array_sort (relays, rank_compare);
  for (guint i = 0; i < relays->len; i++)
    {
      mq_cluster_member *r = g_ptr_array_index (relays, i);

      if (mq_cluster_member_is_alive (r, now_us)
          && g_hash_table_add (domains, r->domain->data))
        g_ptr_array_add (routers, r);
    }
  g_ptr_array_unref (relays);
  g_hash_table_unref (domains);
}

void
mq_cluster_summary_targets (mq_cluster *cluster, bool all, GPtrArray *routers,
                            uint64_t now_us)
{
  uint64_t min_us;

  mq_cluster_remote_relays (cluster, routers, now_us);
  cluster->summary_ms = summary_interval_ms (cluster, routers->len, now_us);
  min_us = (cluster->summary_ms - TIMER_SLACK_MS) * US_PER_MS;
  if (!all && now_us < cluster->summary_us + min_us)
    g_ptr_array_set_size (routers, 0);
  else
    cluster->summary_us = now_us;
}

void
mq_cluster_note_sent (mq_cluster_member *router, uint64_t now_us)
{
  router->sent_us = now_us;
  if (router->unanswered_since_us == 0)
    router->unanswered_since_us = now_us;
}

/* ---- Making gossip.  */

/* Fill in what all kinds say about the sender.  */
static void
gossip_fill_sender (mq_cluster *cluster, mq_gossip *gossip,
                    unsigned interval_ms)
{
  const mq_cluster_self *s = &cluster->self;

  gossip->from = (mq_gossip_router){
    mq_str_span (cluster->name),   mq_str_span (cluster->peer),
    mq_str_span (cluster->client), mq_str_span (cluster->domain),
    cluster->incarnation,          cluster->capacity,
    cluster->tunnel_port
  };
  gossip->sequence = ++cluster->sequence;
  gossip->interval_ms = interval_ms;
  gossip->used = s->used;
  gossip->ready = s->ready;
  gossip->draining = s->draining;
  gossip->store_reached = s->store_reached;
  gossip->store_fails = s->store_fails;
  gossip->follows = s->follows;
  gossip->watches = s->watches;
  gossip->relays = cluster->relays;
  g_array_append_vals (gossip->isolated, cluster->isolated->data,
                       cluster->isolated->len);
  gossip->routing_version = s->routing_version;
  gossip->upstreams_digest = s->upstreams_digest;
  gossip->upstreams_newest = s->upstreams_newest;
}

void
mq_cluster_make_report (mq_cluster *cluster, mq_gossip *gossip,
                        uint64_t now_us)
{
  gossip_fill_sender (cluster, gossip,
                      mq_cluster_is_active (cluster, now_us)
                          ? MQ_CLUSTER_HEARTBEAT_MS
                          : IDLE_REPORT_MS);
  g_array_append_vals (gossip->paths, cluster->paths->data,
                       cluster->paths->len);
  g_array_append_vals (gossip->sends, cluster->sends->data,
                       cluster->sends->len);
}

static void
gossip_add_router (GArray *list, const mq_cluster_member *router)
{
  mq_gossip_router r = { mq_str_span (router->name),
                         mq_str_span (router->peer),
                         mq_str_span (router->client),
                         mq_str_span (router->domain),
                         router->incarnation,
                         router->capacity,
                         0 };

  g_array_append_val (list, r);
}

/* Add to LIST the first MAX routers of DOMAIN by rank, without EXCEPT, which
   may be NULL.  Only routers that are alive are named: if routers also named
   those that they know from others alone, a crashed relay would never
   expire.  */
static void
gossip_add_candidates (mq_cluster *cluster, GArray *list, mq_span domain,
                       const mq_cluster_member *except, guint max,
                       uint64_t now_us)
{
  GPtrArray *ranked = cluster_rank_candidates (cluster, domain, now_us);

  for (guint i = 0; i < ranked->len && max > 0; i++)
    {
      if (g_ptr_array_index (ranked, i) == except
          || !mq_cluster_member_is_alive (g_ptr_array_index (ranked, i),
                                          now_us))
        continue;
      gossip_add_router (list, g_ptr_array_index (ranked, i));
      max--;
    }
  g_ptr_array_unref (ranked);
}

/* Reduce SERVING to client addresses, capacities and tunnels.  */
static void
gossip_trim_serving (GArray *serving)
{
  for (guint i = 0; i < serving->len; i++)
    {
      mq_gossip_router *r = &g_array_index (serving, mq_gossip_router, i);

      *r = (mq_gossip_router){ .client = r->client,
                               .capacity = r->capacity,
                               .tunnel_port = r->tunnel_port };
    }
}

static uint64_t
hash_routers (uint64_t hash, const GArray *list)
{
  for (guint i = 0; i < list->len; i++)
    {
      const mq_gossip_router *r = &g_array_index (list, mq_gossip_router, i);

      hash = mq_hash_mix (hash, mq_span_hash (r->peer));
      hash = mq_hash_mix (hash, mq_span_hash (r->client));
      hash = mq_hash_mix (hash, r->tunnel_port);
    }
  return mq_hash_mix (hash, list->len);
}

/* Remove the lists of routers from GOSSIP if they are unchanged and were sent
   lately, since they make up most of a message.  */
static void
gossip_trim_lists (mq_gossip *gossip, mq_gossip_sent_lists *sent_lists,
                   uint64_t now_us)
{
  uint64_t hash = hash_routers (0, gossip->routers);

  hash = hash_routers (hash, gossip->serving);
  hash = hash_routers (hash, gossip->elsewhere);
  gossip->listed = sent_lists->at_us == 0 || hash != sent_lists->hash
                   || now_us - sent_lists->at_us >= LISTS_INTERVAL_US;
  if (gossip->listed)
    {
      *sent_lists = (mq_gossip_sent_lists){ now_us, hash };
      return;
    }
  g_array_set_size (gossip->routers, 0);
  g_array_set_size (gossip->serving, 0);
  g_array_set_size (gossip->elsewhere, 0);
  gossip->from.name = gossip->from.client = gossip->from.domain
      = (mq_span){ NULL, 0 };
  gossip->from.tunnel_port = 0;
}

void
mq_cluster_make_digest (mq_cluster *cluster, mq_cluster_member *to,
                        mq_gossip *gossip, uint64_t now_us)
{
  bool active = mq_cluster_member_is_active (to);

  to->digest_us = now_us;
  gossip_fill_sender (cluster, gossip,
                      active ? MQ_CLUSTER_HEARTBEAT_MS : IDLE_DIGEST_MS);
  gossip->age_ms = mq_cluster_counts_age_ms (cluster, now_us);
  gossip->reached = cluster->self.store_reached
                    || mq_cluster_store_is_reachable (cluster, to, now_us);
  mq_cluster_add_sums_except (cluster, to, gossip, now_us);
  gossip_add_candidates (cluster, gossip->routers,
                         mq_str_span (cluster->domain), to,
                         MQ_CLUSTER_MAX_CANDIDATES, now_us);
  mq_cluster_list_serving (cluster, gossip->serving, gossip->elsewhere,
                           now_us);
  gossip_trim_serving (gossip->serving);
  gossip_trim_serving (gossip->elsewhere);
  gossip_trim_lists (gossip, &to->sent_lists, now_us);
}

/* Returns true if any live router of this domain reaches the store.  */
static bool
cluster_domain_has_store (const mq_cluster *cluster, uint64_t now_us)
{
  GHashTableIter i;
  gpointer value;

  if (cluster->self.store_reached && !cluster->self.store_fails)
    return true;
  g_hash_table_iter_init (&i, cluster->routers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      const mq_cluster_member *r = value;

      if (r->local && r->store_reached && !r->store_fails
          && mq_cluster_member_is_alive (r, now_us))
        return true;
    }
  return false;
}

void
mq_cluster_make_summary (mq_cluster *cluster, mq_gossip *gossip,
                         uint64_t now_us)
{
  gossip_fill_sender (cluster, gossip, cluster->summary_ms);
  gossip->age_ms = MQ_CLUSTER_HEARTBEAT_MS;
  gossip->reached = cluster_domain_has_store (cluster, now_us);
  mq_cluster_add_domain_sums (cluster, gossip, now_us);
  gossip_add_candidates (cluster, gossip->routers,
                         mq_str_span (cluster->domain), NULL,
                         MQ_CLUSTER_RELAYS_PER_DOMAIN - 1, now_us);
  mq_cluster_list_serving (cluster, gossip->serving, gossip->elsewhere,
                           now_us);
  g_array_set_size (gossip->elsewhere, 0);
  g_array_set_size (gossip->serving,
                    MIN (gossip->serving->len, SUMMARY_MAX_SERVING));
  gossip_trim_serving (gossip->serving);
  gossip_trim_lists (gossip, &cluster->sent_lists, now_us);
}

/* Add the first candidates of each domain other than that of TO.  */
static void
gossip_add_remote_relays (mq_cluster *cluster, const mq_cluster_member *to,
                          GArray *list, uint64_t now_us)
{
  GHashTable *domains = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, cluster->routers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      const mq_cluster_member *r = value;

      if (r->domain != NULL && r != to
          && !mq_span_equal (mq_str_span (r->domain), mq_str_span (to->domain))
          && g_hash_table_add (domains, r->domain->data))
        gossip_add_candidates (cluster, list, mq_str_span (r->domain), NULL,
                               INTRODUCTION_RELAYS_PER_DOMAIN, now_us);
    }
  g_hash_table_unref (domains);
}

void
mq_cluster_make_introduction (mq_cluster *cluster, const mq_cluster_member *to,
                              mq_gossip *gossip, uint64_t now_us)
{
  gossip_fill_sender (cluster, gossip, 0);
  gossip_add_candidates (cluster, gossip->routers, mq_str_span (to->domain),
                         to, MQ_CLUSTER_MAX_CANDIDATES, now_us);
  gossip_add_remote_relays (cluster, to, gossip->elsewhere, now_us);
}

/* ---- Merging received gossip.  */

static void
member_take_counts (mq_cluster_member *router, const mq_gossip *gossip)
{
  router->kind = gossip->kind;
  router->counts_max_age_ms = gossip->age_ms + gossip->interval_ms;
  router->busy = gossip->busy;
  g_array_set_size (router->paths, 0);
  g_array_append_vals (router->paths, gossip->paths->data, gossip->paths->len);
  g_array_set_size (router->sends, 0);
  g_array_append_vals (router->sends, gossip->sends->data, gossip->sends->len);
}

static void
serving_copy (GArray *into, const GArray *from, GStringChunk *texts)
{
  g_array_set_size (into, 0);
  for (guint i = 0; i < from->len; i++)
    {
      mq_gossip_router r = g_array_index (from, mq_gossip_router, i);

      r.client.data = g_string_chunk_insert_len (texts, r.client.data,
                                                 (gssize)r.client.size);
      r.name = r.peer = r.domain = (mq_span){ NULL, 0 };
      g_array_append_val (into, r);
    }
}

static void
member_take_serving (mq_cluster_member *router, const mq_gossip *gossip)
{
  if (!gossip->listed)
    return;
  g_string_chunk_clear (router->serving_texts);
  serving_copy (router->serving, gossip->serving, router->serving_texts);
  serving_copy (router->elsewhere, gossip->elsewhere, router->serving_texts);
}

static void
cluster_add_routers (mq_cluster *cluster, const GArray *list, bool relays,
                     uint64_t now_us)
{
  for (guint i = 0; i < list->len; i++)
    mq_cluster_add (cluster, &g_array_index (list, mq_gossip_router, i),
                    relays, now_us);
}

/* Keep the sends of the previous incarnation of ROUTER, which count until the
   window has passed.  */
static void
member_keep_previous_sends (mq_cluster_member *router, uint64_t now_us)
{
  if (router->kind != MQ_GOSSIP_REPORT)
    return;
  g_clear_pointer (&router->previous_sends, g_array_unref);
  router->previous_sends = router->sends;
  router->replaced_us = now_us;
  router->sends = g_array_new (FALSE, FALSE, sizeof (mq_service_sends));
}

static void
member_take_sender (mq_cluster_member *router, const mq_gossip *gossip,
                    uint64_t now_us)
{
  if (router->incarnation != 0
      && router->incarnation != gossip->from.incarnation)
    member_keep_previous_sends (router, now_us);
  if (router->incarnation != gossip->from.incarnation)
    {
      router->appeared_us = now_us;
      router->tunnel_port = gossip->from.tunnel_port;
      router->change_dropped_us = 0;
      router->list_dropped_us = 0;
    }
  router->incarnation = gossip->from.incarnation;
  router->sequence = gossip->sequence;
  router->received_us = now_us;
  router->unanswered_since_us = 0;
  if (gossip->interval_ms > 0)
    router->interval_ms = gossip->interval_ms;
  router->used = gossip->used;
  router->ready = gossip->ready;
  router->draining = gossip->draining;
  router->store_reached = gossip->store_reached;
  router->store_fails = gossip->store_fails;
  router->follows = gossip->follows;
  router->watches = gossip->watches;
  router->reached = gossip->reached;
  router->relays = gossip->relays;
  g_array_set_size (router->isolated, 0);
  g_array_append_vals (router->isolated, gossip->isolated->data,
                       gossip->isolated->len);
  router->routing_version = gossip->routing_version;
  router->upstreams_digest = gossip->upstreams_digest;
  router->upstreams_newest = gossip->upstreams_newest;
}

static void
member_take_body (mq_cluster *cluster, mq_cluster_member *router,
                  const mq_gossip *gossip, uint64_t now_us)
{
  switch (gossip->kind)
    {
    case MQ_GOSSIP_REPORT:
      member_take_counts (router, gossip);
      break;
    case MQ_GOSSIP_DIGEST:
      member_take_counts (router, gossip);
      member_take_serving (router, gossip);
      cluster_add_routers (cluster, gossip->routers, false, now_us);
      break;
    case MQ_GOSSIP_SUMMARY:
      member_take_counts (router, gossip);
      member_take_serving (router, gossip);
      cluster_add_routers (cluster, gossip->routers, true, now_us);
      break;
    case MQ_GOSSIP_INTRODUCTION:
      cluster_add_routers (cluster, gossip->routers, false, now_us);
      cluster_add_routers (cluster, gossip->elsewhere, true, now_us);
      break;
    }
}

/* Returns true if ROUTER addressed the wrong router.  A report belongs to a
   relay of the sender's own domain, and a summary to a relay.  */
static bool
member_is_misdirected (const mq_cluster *cluster,
                       const mq_cluster_member *router, mq_gossip_kind kind)
{
  switch (kind)
    {
    case MQ_GOSSIP_REPORT:
      return !router->local || !cluster->relays;
    case MQ_GOSSIP_SUMMARY:
      return !cluster->relays;
    case MQ_GOSSIP_DIGEST:
    case MQ_GOSSIP_INTRODUCTION:
      return false;
    }
  return false;
}

mq_gossip_result
mq_cluster_receive (mq_cluster *cluster, const mq_gossip *gossip,
                    mq_cluster_member **from, bool *misdirected,
                    uint64_t now_us)
{
  mq_cluster_member *r;
  bool was_alive;

  r = mq_cluster_update_member (cluster, &gossip->from);
  /* The name and the domain of a new sender come with its next lists.  */
  if (r == NULL || r->domain == NULL || r->name == NULL
      || (r->incarnation == gossip->from.incarnation
          && gossip->sequence <= r->sequence))
    return MQ_GOSSIP_STALE;
  was_alive = mq_cluster_member_is_alive (r, now_us);
  member_take_sender (r, gossip, now_us);
  member_take_body (cluster, r, gossip, now_us);
  *from = r;
  *misdirected = member_is_misdirected (cluster, r, gossip->kind);
  return was_alive ? MQ_GOSSIP_ACCEPTED : MQ_GOSSIP_ACCEPTED_FIRST;
}
