/* News made from the roster, and taken in: see mq/roster.h and mq/news.h.  */

#include <mq/roster.h>

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
#define EARLY_MS (MQ_ROSTER_HEARTBEAT_MS / 2)
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
  const mq_roster_router *x = *(const mq_roster_router *const *)a;
  const mq_roster_router *y = *(const mq_roster_router *const *)b;

  return mq_roster_rank (x->capacity, mq_str_span (x->name), y->capacity,
                         mq_str_span (y->name));
}

/* The routers of DOMAIN that may be alive, by rank.  Free with
   g_ptr_array_unref.  */
static GPtrArray *
roster_ranked (mq_roster *roster, mq_span domain, uint64_t now_us)
{
  GPtrArray *ranked = g_ptr_array_new ();
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, roster->routers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    if (mq_roster_is_candidate (value, domain, now_us))
      g_ptr_array_add (ranked, value);
  g_ptr_array_sort (ranked, rank_compare);
  return ranked;
}

/* Add those that are known by address only, or, when ALL, all: whoever answers
   may know a relay.  */
static void
report_to_any (mq_roster *roster, bool all, GPtrArray *routers)
{
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, roster->routers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    if (all || ((const mq_roster_router *)value)->domain == NULL)
      g_ptr_array_add (routers, value);
}

void
mq_roster_report_to (mq_roster *roster, GPtrArray *routers, uint64_t now_us)
{
  GPtrArray *ranked
      = roster_ranked (roster, mq_str_span (roster->domain), now_us);
  unsigned wanted = MQ_ROSTER_RELAYS - (roster->relays ? 1 : 0);
  bool alone = ranked->len == 0;

  for (guint i = 0; i < ranked->len; i++)
    {
      mq_roster_router *r = g_ptr_array_index (ranked, i);

      if (i < wanted || (r->relays && mq_roster_lives (r, now_us)))
        g_ptr_array_add (routers, r);
    }
  if (alone || now_us < roster->join_us)
    report_to_any (roster, alone, routers);
  g_ptr_array_unref (ranked);
}

void
mq_roster_digest_to (mq_roster *roster, bool all, GPtrArray *routers,
                     uint64_t now_us)
{
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, roster->routers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      mq_roster_router *r = value;

      if (r->local && !r->relays && mq_roster_lives (r, now_us)
          && (all || mq_roster_router_is_active (r)
              || now_us - r->digest_us
                     >= (IDLE_DIGEST_MS - EARLY_MS) * US_PER_MS))
        g_ptr_array_add (routers, r);
    }
}

/* Does ROUTER get summaries from here?  */
static bool
router_takes_summary (const mq_roster_router *router, uint64_t now_us)
{
  if (router->local || !router->relays)
    return false;
  return mq_roster_lives (router, now_us)
         || (router->told_us > 0 && now_us - router->told_us < TOLD_US);
}

/* From one summary of this relay to its next.  */
static unsigned
summary_interval_ms (const mq_roster *roster, unsigned relays, uint64_t now_us)
{
  unsigned beats = MAX ((relays + SUMMARY_RELAYS - 1) / SUMMARY_RELAYS, 1);
  unsigned ms = beats * MQ_ROSTER_HEARTBEAT_MS;

  return mq_roster_position (roster, now_us) == 0
             ? ms
             : MAX (ms * STANDBY_BEATS, STANDBY_SUMMARY_MS);
}

void
mq_roster_relays_elsewhere (const mq_roster *roster, GPtrArray *routers,
                            uint64_t now_us)
{
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, roster->routers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    if (router_takes_summary (value, now_us))
      g_ptr_array_add (routers, value);
}

void
mq_roster_first_elsewhere (mq_roster *roster, GPtrArray *routers,
                           uint64_t now_us)
{
  GHashTable *domains = g_hash_table_new (g_str_hash, g_str_equal);
  GPtrArray *relays = g_ptr_array_new ();

  mq_roster_relays_elsewhere (roster, relays, now_us);
  g_ptr_array_sort (relays, rank_compare);
  for (guint i = 0; i < relays->len; i++)
    {
      mq_roster_router *r = g_ptr_array_index (relays, i);

      if (mq_roster_lives (r, now_us)
          && g_hash_table_add (domains, r->domain->data))
        g_ptr_array_add (routers, r);
    }
  g_ptr_array_unref (relays);
  g_hash_table_unref (domains);
}

void
mq_roster_summary_to (mq_roster *roster, bool all, GPtrArray *routers,
                      uint64_t now_us)
{
  uint64_t least_us;

  mq_roster_relays_elsewhere (roster, routers, now_us);
  roster->summary_ms = summary_interval_ms (roster, routers->len, now_us);
  least_us = (roster->summary_ms - EARLY_MS) * US_PER_MS;
  if (!all && now_us < roster->summary_us + least_us)
    g_ptr_array_set_size (routers, 0);
  else
    roster->summary_us = now_us;
}

void
mq_roster_note_sent (mq_roster_router *router, uint64_t now_us)
{
  router->sent_us = now_us;
  if (router->asked_us == 0)
    router->asked_us = now_us;
}

/* ---- Making news.  */

/* What all kinds say of the sender.  */
static void
news_begin (mq_roster *roster, mq_news *news, unsigned interval_ms)
{
  const mq_roster_self *s = &roster->self;

  news->from = (mq_news_router){
    mq_str_span (roster->name),   mq_str_span (roster->peer),
    mq_str_span (roster->client), mq_str_span (roster->domain),
    roster->incarnation,          roster->capacity
  };
  news->sequence = ++roster->sequence;
  news->interval_ms = interval_ms;
  news->used = s->used;
  news->ready = s->ready;
  news->draining = s->draining;
  news->store_reached = s->store_reached;
  news->store_fails = s->store_fails;
  news->follows = s->follows;
  news->watches = s->watches;
  news->relays = roster->relays;
  news->routing_version = s->routing_version;
  news->upstreams_digest = s->upstreams_digest;
  news->upstreams_newest = s->upstreams_newest;
}

void
mq_roster_make_report (mq_roster *roster, mq_news *news, uint64_t now_us)
{
  news_begin (roster, news,
              mq_roster_is_active (roster, now_us) ? MQ_ROSTER_HEARTBEAT_MS
                                                   : IDLE_REPORT_MS);
  g_array_append_vals (news->paths, roster->paths->data, roster->paths->len);
  g_array_append_vals (news->sends, roster->sends->data, roster->sends->len);
}

static void
news_add_router (GArray *list, const mq_roster_router *router)
{
  mq_news_router r
      = { mq_str_span (router->name),   mq_str_span (router->peer),
          mq_str_span (router->client), mq_str_span (router->domain),
          router->incarnation,          router->capacity };

  g_array_append_val (list, r);
}

/* Add the first routers of DOMAIN by rank, but not EXCEPT, which may be NULL.
   Only who was heard is named: what others told, passed on, kept relays that
   had died alive for good in the eyes of all.  */
static void
news_add_first (mq_roster *roster, GArray *list, mq_span domain,
                const mq_roster_router *except, guint most, uint64_t now_us)
{
  GPtrArray *ranked = roster_ranked (roster, domain, now_us);

  for (guint i = 0; i < ranked->len && most > 0; i++)
    {
      if (g_ptr_array_index (ranked, i) == except
          || !mq_roster_lives (g_ptr_array_index (ranked, i), now_us))
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
      mq_news_router *r = &g_array_index (serving, mq_news_router, i);

      *r = (mq_news_router){ .client = r->client, .capacity = r->capacity };
    }
}

static uint64_t
hash_routers (uint64_t hash, const GArray *list)
{
  for (guint i = 0; i < list->len; i++)
    {
      const mq_news_router *r = &g_array_index (list, mq_news_router, i);

      hash = mq_hash_mix (hash, mq_span_hash (r->peer));
      hash = mq_hash_mix (hash, mq_span_hash (r->client));
    }
  return mq_hash_mix (hash, list->len);
}

/* Leave the lists of routers in NEWS when they have changed, or from time to
   time: they are four fifths of a message.  */
static void
news_list (mq_news *news, mq_roster_listing *listing, uint64_t now_us)
{
  uint64_t hash = hash_routers (0, news->routers);

  hash = hash_routers (hash, news->serving);
  hash = hash_routers (hash, news->elsewhere);
  news->listed = listing->at_us == 0 || hash != listing->hash
                 || now_us - listing->at_us >= LISTING_US;
  if (news->listed)
    {
      *listing = (mq_roster_listing){ now_us, hash };
      return;
    }
  g_array_set_size (news->routers, 0);
  g_array_set_size (news->serving, 0);
  g_array_set_size (news->elsewhere, 0);
  news->from.name = news->from.client = news->from.domain
      = (mq_span){ NULL, 0 };
}

void
mq_roster_make_digest (mq_roster *roster, mq_roster_router *to, mq_news *news,
                       uint64_t now_us)
{
  bool active = mq_roster_router_is_active (to);

  to->digest_us = now_us;
  news_begin (roster, news, active ? MQ_ROSTER_HEARTBEAT_MS : IDLE_DIGEST_MS);
  news->age_ms = mq_roster_counts_age_ms (roster, now_us);
  news->reached = roster->self.store_reached
                  || mq_roster_store_is_heard (roster, to, now_us);
  mq_roster_sum_all_but (roster, to, news, now_us);
  news_add_first (roster, news->routers, mq_str_span (roster->domain), to,
                  MQ_ROSTER_CANDIDATES, now_us);
  mq_roster_serving (roster, news->serving, news->elsewhere, now_us);
  trim_serving (news->serving);
  trim_serving (news->elsewhere);
  news_list (news, &to->listing, now_us);
}

/* Does any router of this domain hear the store?  */
static bool
domain_hears_store (const mq_roster *roster, uint64_t now_us)
{
  GHashTableIter i;
  gpointer value;

  if (roster->self.store_reached)
    return true;
  g_hash_table_iter_init (&i, roster->routers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      const mq_roster_router *r = value;

      if (r->local && r->store_reached && mq_roster_lives (r, now_us))
        return true;
    }
  return false;
}

void
mq_roster_make_summary (mq_roster *roster, mq_news *news, uint64_t now_us)
{
  news_begin (roster, news, roster->summary_ms);
  news->age_ms = MQ_ROSTER_HEARTBEAT_MS;
  news->reached = domain_hears_store (roster, now_us);
  mq_roster_sum_domain (roster, news, now_us);
  news_add_first (roster, news->routers, mq_str_span (roster->domain), NULL,
                  MQ_ROSTER_RELAYS - 1, now_us);
  mq_roster_serving (roster, news->serving, news->elsewhere, now_us);
  g_array_set_size (news->elsewhere, 0);
  g_array_set_size (news->serving, MIN (news->serving->len, SERVING_TOLD));
  trim_serving (news->serving);
  news_list (news, &roster->listing, now_us);
}

/* Add the first relays of each domain but that of TO.  */
static void
news_add_elsewhere (mq_roster *roster, const mq_roster_router *to,
                    GArray *list, uint64_t now_us)
{
  GHashTable *domains = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, roster->routers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      const mq_roster_router *r = value;

      if (r->domain != NULL && r != to
          && !mq_span_equal (mq_str_span (r->domain), mq_str_span (to->domain))
          && g_hash_table_add (domains, r->domain->data))
        news_add_first (roster, list, mq_str_span (r->domain), NULL,
                        INTRODUCED_EACH, now_us);
    }
  g_hash_table_unref (domains);
}

void
mq_roster_make_introduction (mq_roster *roster, const mq_roster_router *to,
                             mq_news *news, uint64_t now_us)
{
  news_begin (roster, news, 0);
  news_add_first (roster, news->routers, mq_str_span (to->domain), to,
                  MQ_ROSTER_CANDIDATES, now_us);
  news_add_elsewhere (roster, to, news->elsewhere, now_us);
}

/* ---- Taking news in.  */

static void
take_counts (mq_roster_router *router, const mq_news *news)
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
      mq_news_router r = g_array_index (from, mq_news_router, i);

      r.client.data = g_string_chunk_insert_len (texts, r.client.data,
                                                 (gssize)r.client.size);
      r.name = r.peer = r.domain = (mq_span){ NULL, 0 };
      g_array_append_val (into, r);
    }
}

static void
take_serving (mq_roster_router *router, const mq_news *news)
{
  if (!news->listed)
    return;
  g_string_chunk_clear (router->serving_texts);
  copy_serving (router->serving, news->serving, router->serving_texts);
  copy_serving (router->elsewhere, news->elsewhere, router->serving_texts);
}

static void
take_routers (mq_roster *roster, const GArray *list, bool relays,
              uint64_t now_us)
{
  for (guint i = 0; i < list->len; i++)
    mq_roster_add (roster, &g_array_index (list, mq_news_router, i), relays,
                   now_us);
}

/* ROUTER has started again.  What it sent before still counts in the window.
 */
static void
keep_past_sends (mq_roster_router *router, uint64_t now_us)
{
  if (router->kind != MQ_NEWS_REPORT)
    return;
  g_clear_pointer (&router->past_sends, g_array_unref);
  router->past_sends = router->sends;
  router->past_us = now_us;
  router->sends = g_array_new (FALSE, FALSE, sizeof (mq_service_sends));
}

static void
take_sender (mq_roster_router *router, const mq_news *news, uint64_t now_us)
{
  if (router->incarnation != 0
      && router->incarnation != news->from.incarnation)
    keep_past_sends (router, now_us);
  router->incarnation = news->from.incarnation;
  router->sequence = news->sequence;
  router->heard_us = now_us;
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
take_body (mq_roster *roster, mq_roster_router *router, const mq_news *news,
           uint64_t now_us)
{
  switch (news->kind)
    {
    case MQ_NEWS_REPORT:
      take_counts (router, news);
      break;
    case MQ_NEWS_DIGEST:
      take_counts (router, news);
      take_serving (router, news);
      take_routers (roster, news->routers, false, now_us);
      break;
    case MQ_NEWS_SUMMARY:
      take_counts (router, news);
      take_serving (router, news);
      take_routers (roster, news->routers, true, now_us);
      break;
    case MQ_NEWS_INTRODUCTION:
      take_routers (roster, news->routers, false, now_us);
      take_routers (roster, news->elsewhere, true, now_us);
      break;
    }
}

/* Did ROUTER turn to the wrong one?  A report goes to relays of the sender's
   own domain, and a summary to relays.  */
static bool
router_is_stranger (const mq_roster *roster, const mq_roster_router *router,
                    mq_news_kind kind)
{
  switch (kind)
    {
    case MQ_NEWS_REPORT:
      return !router->local || !roster->relays;
    case MQ_NEWS_SUMMARY:
      return !roster->relays;
    case MQ_NEWS_DIGEST:
    case MQ_NEWS_INTRODUCTION:
      return false;
    }
  return false;
}

mq_hearing
mq_roster_hear (mq_roster *roster, const mq_news *news,
                mq_roster_router **from, bool *stranger, uint64_t now_us)
{
  mq_roster_router *r;
  bool lived;

  r = mq_roster_learn (roster, &news->from);
  /* Who it is comes with the next lists.  */
  if (r == NULL || r->domain == NULL || r->name == NULL
      || (r->incarnation == news->from.incarnation
          && news->sequence <= r->sequence))
    return MQ_HEARD_OLD;
  lived = mq_roster_lives (r, now_us);
  take_sender (r, news, now_us);
  take_body (roster, r, news, now_us);
  *from = r;
  *stranger = router_is_stranger (roster, r, news->kind);
  return lived ? MQ_HEARD : MQ_HEARD_FIRST;
}
