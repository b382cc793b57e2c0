/* News made from the roster, and taken in: see mq/cluster.h and mq/gossip.h.
 */

#include <mq/cluster.h>

/* A relay of another domain that was named by others gets summaries for so
   long, whether it was heard or not.  */
#define TOLD_US ((uint64_t)10000 * 1000)
/* An idle router reports so often, and gets digests so often.  */
#define IDLE_REPORT_MS 1000
#define IDLE_DIGEST_MS 500
/* Summaries of relays but the first of a domain, which stand by.  */
#define STANDBY_SUMMARY_MS 500
#define STANDBY_BEATS 4
/* With more relays elsewhere than this, summaries are sent less often, so that
   what a relay sends a second does not grow with the domains.  */
#define SUMMARY_RELAYS 16
/* News that are so much early are in time, since timers are late.  */
#define EARLY_MS (MQ_CLUSTER_HEARTBEAT_MS / 2)
#define US_PER_MS ((uint64_t)1000)
/* From one naming of routers to the next.  */
#define LISTING_US ((1000 - EARLY_MS) * US_PER_MS)
/* Of the routers that serve, so many are named to other domains.  */
#define SERVING_TOLD 2
/* Relays of each other domain that an introduction names.  */
#define INTRODUCED_EACH 2

/* ---- Whom to send to.  */

static int
rank_compare (gconstpointer a, gconstpointer b)
{
  const mq_cluster_member *x = *(const mq_cluster_member *const *)a;
  const mq_cluster_member *y = *(const mq_cluster_member *const *)b;

  return mq_cluster_rank (x->capacity, mq_str_span (x->name), y->capacity,
                          mq_str_span (y->name));
}

/* The routers of DOMAIN that may be alive, by rank.  Free with
   g_ptr_array_unref.  */
static GPtrArray *
roster_ranked (mq_cluster *cluster, mq_span domain, uint64_t now_us)
{
  GPtrArray *ranked = g_ptr_array_new ();
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, cluster->routers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    if (mq_cluster_member_is_candidate (value, domain, now_us))
      g_ptr_array_add (ranked, value);
  g_ptr_array_sort (ranked, rank_compare);
  return ranked;
}

/* Add those that are known by address only, or, when ALL, all: whoever answers
   may know a relay.  */
static void
report_to_any (mq_cluster *cluster, bool all, GPtrArray *routers)
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
  GPtrArray *ranked
      = roster_ranked (cluster, mq_str_span (cluster->domain), now_us);
  unsigned wanted = MQ_CLUSTER_RELAYS - (cluster->relays ? 1 : 0);
  bool alone = ranked->len == 0;

  for (guint i = 0; i < ranked->len; i++)
    {
      mq_cluster_member *r = g_ptr_array_index (ranked, i);

      if (i < wanted || (r->relays && mq_cluster_member_is_alive (r, now_us)))
        g_ptr_array_add (routers, r);
    }
  if (alone || now_us < cluster->join_us)
    report_to_any (cluster, alone, routers);
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
                     >= (IDLE_DIGEST_MS - EARLY_MS) * US_PER_MS))
        g_ptr_array_add (routers, r);
    }
}

/* Does ROUTER get summaries from here?  */
static bool
router_takes_summary (const mq_cluster_member *router, uint64_t now_us)
{
  if (router->local || !router->relays)
    return false;
  return mq_cluster_member_is_alive (router, now_us)
         || (router->told_us > 0 && now_us - router->told_us < TOLD_US);
}

/* From one summary of this relay to its next.  */
static unsigned
summary_interval_ms (const mq_cluster *cluster, unsigned relays,
                     uint64_t now_us)
{
  unsigned beats = MAX ((relays + SUMMARY_RELAYS - 1) / SUMMARY_RELAYS, 1);
  unsigned ms = beats * MQ_CLUSTER_HEARTBEAT_MS;

  return mq_cluster_position (cluster, now_us) == 0
             ? ms
             : MAX (ms * STANDBY_BEATS, STANDBY_SUMMARY_MS);
}

void
mq_cluster_remote_relays (const mq_cluster *cluster, GPtrArray *routers,
                          uint64_t now_us)
{
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, cluster->routers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    if (router_takes_summary (value, now_us))
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
  uint64_t least_us;

  mq_cluster_remote_relays (cluster, routers, now_us);
  cluster->summary_ms = summary_interval_ms (cluster, routers->len, now_us);
  least_us = (cluster->summary_ms - EARLY_MS) * US_PER_MS;
  if (!all && now_us < cluster->summary_us + least_us)
    g_ptr_array_set_size (routers, 0);
  else
    cluster->summary_us = now_us;
}

void
mq_cluster_note_sent (mq_cluster_member *router, uint64_t now_us)
{
  router->sent_us = now_us;
  if (router->asked_us == 0)
    router->asked_us = now_us;
}

/* ---- Making news.  */

/* What all kinds say of the sender.  */
static void
news_begin (mq_cluster *cluster, mq_gossip *news, unsigned interval_ms)
{
  const mq_cluster_self *s = &cluster->self;

  news->from = (mq_gossip_router){
    mq_str_span (cluster->name),   mq_str_span (cluster->peer),
    mq_str_span (cluster->client), mq_str_span (cluster->domain),
    cluster->incarnation,          cluster->capacity
  };
  news->sequence = ++cluster->sequence;
  news->interval_ms = interval_ms;
  news->used = s->used;
  news->ready = s->ready;
  news->draining = s->draining;
  news->store_reached = s->store_reached;
  news->store_fails = s->store_fails;
  news->follows = s->follows;
  news->watches = s->watches;
  news->relays = cluster->relays;
  news->routing_version = s->routing_version;
  news->upstreams_digest = s->upstreams_digest;
  news->upstreams_newest = s->upstreams_newest;
}

void
mq_cluster_make_report (mq_cluster *cluster, mq_gossip *news, uint64_t now_us)
{
  news_begin (cluster, news,
              mq_cluster_is_active (cluster, now_us) ? MQ_CLUSTER_HEARTBEAT_MS
                                                     : IDLE_REPORT_MS);
  g_array_append_vals (news->paths, cluster->paths->data, cluster->paths->len);
  g_array_append_vals (news->sends, cluster->sends->data, cluster->sends->len);
}

static void
news_add_router (GArray *list, const mq_cluster_member *router)
{
  mq_gossip_router r
      = { mq_str_span (router->name),   mq_str_span (router->peer),
          mq_str_span (router->client), mq_str_span (router->domain),
          router->incarnation,          router->capacity };

  g_array_append_val (list, r);
}

/* Add the first routers of DOMAIN by rank, but not EXCEPT, which may be NULL.
   Only who was heard is named: what others told, passed on, kept relays that
   had died alive for good in the eyes of all.  */
static void
news_add_first (mq_cluster *cluster, GArray *list, mq_span domain,
                const mq_cluster_member *except, guint most, uint64_t now_us)
{
  GPtrArray *ranked = roster_ranked (cluster, domain, now_us);

  for (guint i = 0; i < ranked->len && most > 0; i++)
    {
      if (g_ptr_array_index (ranked, i) == except
          || !mq_cluster_member_is_alive (g_ptr_array_index (ranked, i),
                                          now_us))
        continue;
      news_add_router (list, g_ptr_array_index (ranked, i));
      most--;
    }
  g_ptr_array_unref (ranked);
}

/* Of those that serve, only addresses and capacities are told.  */
static void
trim_serving (GArray *serving)
{
  for (guint i = 0; i < serving->len; i++)
    {
      mq_gossip_router *r = &g_array_index (serving, mq_gossip_router, i);

      *r = (mq_gossip_router){ .client = r->client, .capacity = r->capacity };
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
    }
  return mq_hash_mix (hash, list->len);
}

/* Leave the lists of routers in NEWS when they have changed, or from time to
   time: they are four fifths of a message.  */
static void
news_list (mq_gossip *news, mq_gossip_listing *listing, uint64_t now_us)
{
  uint64_t hash = hash_routers (0, news->routers);

  hash = hash_routers (hash, news->serving);
  hash = hash_routers (hash, news->elsewhere);
  news->listed = listing->at_us == 0 || hash != listing->hash
                 || now_us - listing->at_us >= LISTING_US;
  if (news->listed)
    {
      *listing = (mq_gossip_listing){ now_us, hash };
      return;
    }
  g_array_set_size (news->routers, 0);
  g_array_set_size (news->serving, 0);
  g_array_set_size (news->elsewhere, 0);
  news->from.name = news->from.client = news->from.domain
      = (mq_span){ NULL, 0 };
}

void
mq_cluster_make_digest (mq_cluster *cluster, mq_cluster_member *to,
                        mq_gossip *news, uint64_t now_us)
{
  bool active = mq_cluster_member_is_active (to);

  to->digest_us = now_us;
  news_begin (cluster, news,
              active ? MQ_CLUSTER_HEARTBEAT_MS : IDLE_DIGEST_MS);
  news->age_ms = mq_cluster_counts_age_ms (cluster, now_us);
  news->reached = cluster->self.store_reached
                  || mq_cluster_store_is_reachable (cluster, to, now_us);
  mq_cluster_sum_all_but (cluster, to, news, now_us);
  news_add_first (cluster, news->routers, mq_str_span (cluster->domain), to,
                  MQ_CLUSTER_CANDIDATES, now_us);
  mq_cluster_serving (cluster, news->serving, news->elsewhere, now_us);
  trim_serving (news->serving);
  trim_serving (news->elsewhere);
  news_list (news, &to->listing, now_us);
}

/* Does any router of this domain hear the store?  */
static bool
domain_hears_store (const mq_cluster *cluster, uint64_t now_us)
{
  GHashTableIter i;
  gpointer value;

  if (cluster->self.store_reached)
    return true;
  g_hash_table_iter_init (&i, cluster->routers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      const mq_cluster_member *r = value;

      if (r->local && r->store_reached
          && mq_cluster_member_is_alive (r, now_us))
        return true;
    }
  return false;
}

void
mq_cluster_make_summary (mq_cluster *cluster, mq_gossip *news, uint64_t now_us)
{
  news_begin (cluster, news, cluster->summary_ms);
  news->age_ms = MQ_CLUSTER_HEARTBEAT_MS;
  news->reached = domain_hears_store (cluster, now_us);
  mq_cluster_sum_domain (cluster, news, now_us);
  news_add_first (cluster, news->routers, mq_str_span (cluster->domain), NULL,
                  MQ_CLUSTER_RELAYS - 1, now_us);
  mq_cluster_serving (cluster, news->serving, news->elsewhere, now_us);
  g_array_set_size (news->elsewhere, 0);
  g_array_set_size (news->serving, MIN (news->serving->len, SERVING_TOLD));
  trim_serving (news->serving);
  news_list (news, &cluster->listing, now_us);
}

/* Add the first relays of each domain but that of TO.  */
static void
news_add_elsewhere (mq_cluster *cluster, const mq_cluster_member *to,
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
        news_add_first (cluster, list, mq_str_span (r->domain), NULL,
                        INTRODUCED_EACH, now_us);
    }
  g_hash_table_unref (domains);
}

void
mq_cluster_make_introduction (mq_cluster *cluster, const mq_cluster_member *to,
                              mq_gossip *news, uint64_t now_us)
{
  news_begin (cluster, news, 0);
  news_add_first (cluster, news->routers, mq_str_span (to->domain), to,
                  MQ_CLUSTER_CANDIDATES, now_us);
  news_add_elsewhere (cluster, to, news->elsewhere, now_us);
}

/* ---- Taking news in.  */

static void
take_counts (mq_cluster_member *router, const mq_gossip *news)
{
  router->kind = news->kind;
  router->counts_ms = news->age_ms + news->interval_ms;
  router->busy = news->busy;
  g_array_set_size (router->paths, 0);
  g_array_append_vals (router->paths, news->paths->data, news->paths->len);
  g_array_set_size (router->sends, 0);
  g_array_append_vals (router->sends, news->sends->data, news->sends->len);
}

static void
copy_serving (GArray *into, const GArray *from, GStringChunk *texts)
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
take_serving (mq_cluster_member *router, const mq_gossip *news)
{
  if (!news->listed)
    return;
  g_string_chunk_clear (router->serving_texts);
  copy_serving (router->serving, news->serving, router->serving_texts);
  copy_serving (router->elsewhere, news->elsewhere, router->serving_texts);
}

static void
take_routers (mq_cluster *cluster, const GArray *list, bool relays,
              uint64_t now_us)
{
  for (guint i = 0; i < list->len; i++)
    mq_cluster_add (cluster, &g_array_index (list, mq_gossip_router, i),
                    relays, now_us);
}

/* ROUTER has started again.  What it sent before still counts in the window.
 */
static void
keep_past_sends (mq_cluster_member *router, uint64_t now_us)
{
  if (router->kind != MQ_GOSSIP_REPORT)
    return;
  g_clear_pointer (&router->past_sends, g_array_unref);
  router->past_sends = router->sends;
  router->past_us = now_us;
  router->sends = g_array_new (FALSE, FALSE, sizeof (mq_service_sends));
}

static void
take_sender (mq_cluster_member *router, const mq_gossip *news, uint64_t now_us)
{
  if (router->incarnation != 0
      && router->incarnation != news->from.incarnation)
    keep_past_sends (router, now_us);
  router->incarnation = news->from.incarnation;
  router->sequence = news->sequence;
  router->received_us = now_us;
  router->asked_us = 0;
  if (news->interval_ms > 0)
    router->interval_ms = news->interval_ms;
  router->used = news->used;
  router->ready = news->ready;
  router->draining = news->draining;
  router->store_reached = news->store_reached;
  router->store_fails = news->store_fails;
  router->follows = news->follows;
  router->watches = news->watches;
  router->reached = news->reached;
  router->relays = news->relays;
  router->routing_version = news->routing_version;
  router->upstreams_digest = news->upstreams_digest;
  router->upstreams_newest = news->upstreams_newest;
}

static void
take_body (mq_cluster *cluster, mq_cluster_member *router,
           const mq_gossip *news, uint64_t now_us)
{
  switch (news->kind)
    {
    case MQ_GOSSIP_REPORT:
      take_counts (router, news);
      break;
    case MQ_GOSSIP_DIGEST:
      take_counts (router, news);
      take_serving (router, news);
      take_routers (cluster, news->routers, false, now_us);
      break;
    case MQ_GOSSIP_SUMMARY:
      take_counts (router, news);
      take_serving (router, news);
      take_routers (cluster, news->routers, true, now_us);
      break;
    case MQ_GOSSIP_INTRODUCTION:
      take_routers (cluster, news->routers, false, now_us);
      take_routers (cluster, news->elsewhere, true, now_us);
      break;
    }
}

/* Did ROUTER turn to the wrong one?  A report goes to relays of the sender's
   own domain, and a summary to relays.  */
static bool
router_is_stranger (const mq_cluster *cluster, const mq_cluster_member *router,
                    mq_gossip_kind kind)
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
mq_cluster_receive (mq_cluster *cluster, const mq_gossip *news,
                    mq_cluster_member **from, bool *stranger, uint64_t now_us)
{
  mq_cluster_member *r;
  bool lived;

  r = mq_cluster_update_member (cluster, &news->from);
  /* Who it is comes with the next lists.  */
  if (r == NULL || r->domain == NULL || r->name == NULL
      || (r->incarnation == news->from.incarnation
          && news->sequence <= r->sequence))
    return MQ_GOSSIP_STALE;
  lived = mq_cluster_member_is_alive (r, now_us);
  take_sender (r, news, now_us);
  take_body (cluster, r, news, now_us);
  *from = r;
  *stranger = router_is_stranger (cluster, r, news->kind);
  return lived ? MQ_GOSSIP_ACCEPTED : MQ_GOSSIP_ACCEPTED_FIRST;
}
