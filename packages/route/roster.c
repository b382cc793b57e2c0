/* The table of other routers, their ranks, and who is a relay: see
   mq/roster.h.

   Whether a router may be alive is judged in two paths.  One that was heard is
   alive until it has been silent for longer than it promised.  One of which
   others tell may be, until it was sent something and did not answer; it is
   tried again when others go on telling of it.  Ranks count those that may be
   alive, so that nobody becomes a relay while one of higher rank has not been
   tried in vain.  */

#include <mq/roster.h>

#include <string.h>

/* Silence up to which a router lives: so many of the intervals that it
   promised, and this much at least.  */
#define SILENT_INTERVALS 2.5
#define SILENT_US ((uint64_t)1000 * 1000)
/* A router that was named by others is tried again so long after it did not
   answer.  */
#define RETRY_US ((uint64_t)3000 * 1000)
/* One that nobody names and that is not heard is forgotten.  */
#define FORGET_US ((uint64_t)60 * 1000 * 1000)
/* The others known count towards a majority for so long.  */
#define KNOWN_US ((uint64_t)30 * 1000 * 1000)
/* How long a router looks for relays before it becomes one unasked: all
   processes of a fleet start within some tenths of a second, and introductions
   take some more.  */
#define JOIN_US ((uint64_t)1500 * 1000)

static void
router_free (gpointer data)
{
  mq_roster_router *r = data;

  mq_str_unref (r->name);
  mq_str_unref (r->peer);
  mq_str_unref (r->client);
  mq_str_unref (r->domain);
  g_array_unref (r->paths);
  g_array_unref (r->sends);
  g_array_unref (r->serving);
  g_array_unref (r->elsewhere);
  g_string_chunk_free (r->serving_texts);
  g_clear_pointer (&r->past_sends, g_array_unref);
  g_free (r);
}

void
mq_roster_init (mq_roster *roster, const mq_news_router *self,
                uint64_t window_us, uint64_t now_us)
{
  memset (roster, 0, sizeof *roster);
  roster->name = mq_str_new (self->name);
  roster->peer = mq_str_new (self->peer);
  roster->client = mq_str_new (self->client);
  roster->domain = mq_str_new (self->domain);
  roster->incarnation = self->incarnation;
  roster->capacity = self->capacity;
  roster->window_us = window_us;
  roster->join_us = now_us + JOIN_US;
  roster->routers
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, router_free);
  roster->paths = g_array_new (FALSE, FALSE, sizeof (mq_path_tokens));
  roster->sends = g_array_new (FALSE, FALSE, sizeof (mq_service_sends));
  roster->other_paths = g_array_new (FALSE, FALSE, sizeof (mq_path_tokens));
  roster->other_sends = g_array_new (FALSE, FALSE, sizeof (mq_service_sends));
}

void
mq_roster_finish (mq_roster *roster)
{
  g_clear_pointer (&roster->routers, g_hash_table_unref);
  g_clear_pointer (&roster->paths, g_array_unref);
  g_clear_pointer (&roster->sends, g_array_unref);
  g_clear_pointer (&roster->other_paths, g_array_unref);
  g_clear_pointer (&roster->other_sends, g_array_unref);
  mq_str_unref (roster->name);
  mq_str_unref (roster->peer);
  mq_str_unref (roster->client);
  mq_str_unref (roster->domain);
}

/* ---- Entries.  */

mq_roster_router *
mq_roster_find (const mq_roster *roster, mq_span peer)
{
  char *key = g_strndup (peer.size > 0 ? peer.data : "", peer.size);
  mq_roster_router *r = g_hash_table_lookup (roster->routers, key);

  g_free (key);
  return r;
}

/* The entry for PEER, made when it is missing; NULL: it is this router, or no
   address at all.  */
static mq_roster_router *
roster_at (mq_roster *roster, mq_span peer)
{
  mq_roster_router *r = mq_roster_find (roster, peer);

  if (r != NULL || peer.size == 0
      || mq_span_equal (peer, mq_str_span (roster->peer)))
    return r;
  r = g_new0 (mq_roster_router, 1);
  r->peer = mq_str_new (peer);
  r->paths = g_array_new (FALSE, FALSE, sizeof (mq_path_tokens));
  r->sends = g_array_new (FALSE, FALSE, sizeof (mq_service_sends));
  r->serving = g_array_new (FALSE, FALSE, sizeof (mq_news_router));
  r->elsewhere = g_array_new (FALSE, FALSE, sizeof (mq_news_router));
  r->serving_texts = g_string_chunk_new (256);
  g_hash_table_insert (roster->routers, r->peer->data, r);
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
mq_roster_add_address (mq_roster *roster, mq_span address)
{
  (void)roster_at (roster, address);
}

mq_roster_router *
mq_roster_learn (mq_roster *roster, const mq_news_router *router)
{
  mq_roster_router *r = roster_at (roster, router->peer);

  if (r == NULL)
    return NULL;
  set_text (&r->name, router->name);
  set_text (&r->client, router->client);
  set_text (&r->domain, router->domain);
  r->local
      = mq_span_equal (mq_str_span (r->domain), mq_str_span (roster->domain));
  if (router->capacity > 0)
    r->capacity = router->capacity;
  return r;
}

void
mq_roster_add (mq_roster *roster, const mq_news_router *router, bool relays,
               uint64_t now_us)
{
  mq_roster_router *r = mq_roster_learn (roster, router);

  if (r == NULL)
    return;
  r->told_us = now_us;
  if (!mq_roster_lives (r, now_us))
    r->relays = relays;
}

/* ---- Who lives.  */

static uint64_t
router_patience (const mq_roster_router *router)
{
  return MAX (SILENT_US,
              (uint64_t)(router->interval_ms * SILENT_INTERVALS * 1000));
}

bool
mq_roster_lives (const mq_roster_router *router, uint64_t now_us)
{
  return router->heard_us > 0
         && now_us - router->heard_us < router_patience (router);
}

/* Was ROUTER sent something in vain?  */
static bool
router_failed (const mq_roster_router *router, uint64_t now_us)
{
  return router->asked_us > 0
         && now_us - router->asked_us > router_patience (router);
}

/* May ROUTER be alive, as far as is known?  */
static bool
router_may_live (const mq_roster_router *router, uint64_t now_us)
{
  if (mq_roster_lives (router, now_us))
    return true;
  return router->told_us > router->heard_us && !router_failed (router, now_us);
}

bool
mq_roster_is_candidate (const mq_roster_router *router, mq_span domain,
                        uint64_t now_us)
{
  return mq_span_equal (mq_str_span (router->domain), domain)
         && !router->draining && router_may_live (router, now_us);
}

/* The same of this router's own domain.  */
static bool
router_is_candidate (const mq_roster_router *router, uint64_t now_us)
{
  return router->local && !router->draining
         && router_may_live (router, now_us);
}

int
mq_roster_rank (unsigned capacity_a, mq_span name_a, unsigned capacity_b,
                mq_span name_b)
{
  uint64_t a = mq_span_hash (name_a);
  uint64_t b = mq_span_hash (name_b);

  if (capacity_a != capacity_b)
    return capacity_a > capacity_b ? -1 : 1;
  if (a != b)
    return a < b ? -1 : 1;
  return mq_span_compare (name_a, name_b);
}

static bool
router_goes_before (const mq_roster *roster, const mq_roster_router *router)
{
  return mq_roster_rank (router->capacity, mq_str_span (router->name),
                         roster->capacity, mq_str_span (roster->name))
         < 0;
}

unsigned
mq_roster_position (const mq_roster *roster, uint64_t now_us)
{
  GHashTableIter i;
  gpointer value;
  unsigned n = 0;

  g_hash_table_iter_init (&i, roster->routers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    if (router_is_candidate (value, now_us)
        && router_goes_before (roster, value))
      n++;
  return n;
}

/* Is ROUTER a relay that ranks before this one, and does not ask the store in
   vain?  */
static bool
router_hears_before (const mq_roster *roster, const mq_roster_router *router,
                     uint64_t now_us)
{
  return router->relays && !router->draining && !router->store_fails
         && mq_roster_lives (router, now_us)
         && router_goes_before (roster, router);
}

unsigned
mq_roster_followers_before (const mq_roster *roster, uint64_t now_us)
{
  GHashTableIter i;
  gpointer value;
  unsigned n = 0;

  g_hash_table_iter_init (&i, roster->routers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      const mq_roster_router *r = value;

      n += router_hears_before (roster, r, now_us);
    }
  return n;
}

unsigned
mq_roster_watchers_before (const mq_roster *roster, uint64_t now_us)
{
  GHashTableIter i;
  gpointer value;
  unsigned n = 0;

  g_hash_table_iter_init (&i, roster->routers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      const mq_roster_router *r = value;

      n += r->local && router_hears_before (roster, r, now_us);
    }
  return n;
}

bool
mq_roster_store_is_heard (const mq_roster *roster, const mq_roster_router *but,
                          uint64_t now_us)
{
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, roster->routers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      const mq_roster_router *r = value;

      if (r != but && (r->store_reached || r->reached)
          && mq_roster_lives (r, now_us))
        return true;
    }
  return false;
}

uint64_t
mq_roster_newest (const mq_roster *roster, uint64_t now_us)
{
  GHashTableIter i;
  gpointer value;
  uint64_t newest = 0;

  g_hash_table_iter_init (&i, roster->routers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      const mq_roster_router *r = value;

      if (r->relays && mq_roster_lives (r, now_us))
        newest = MAX (newest, r->upstreams_newest);
    }
  return newest;
}

unsigned
mq_roster_alive (const mq_roster *roster, uint64_t now_us)
{
  GHashTableIter i;
  gpointer value;
  unsigned n = 0;

  g_hash_table_iter_init (&i, roster->routers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    n += mq_roster_lives (value, now_us);
  return n;
}

bool
mq_roster_hears_relay (const mq_roster *roster, uint64_t now_us)
{
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, roster->routers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      const mq_roster_router *r = value;

      if (r->local && r->relays && mq_roster_lives (r, now_us))
        return true;
    }
  return false;
}

bool
mq_roster_domain_reaches_store (const mq_roster *roster, mq_span domain,
                                uint64_t now_us)
{
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, roster->routers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      const mq_roster_router *r = value;

      if (r->relays && (r->store_reached || r->reached)
          && mq_roster_lives (r, now_us)
          && mq_span_equal (mq_str_span (r->domain), domain))
        return true;
    }
  return false;
}

/* ---- This router's part.  */

void
mq_roster_listed (mq_roster *roster, bool self, uint64_t now_us)
{
  if (self || g_hash_table_size (roster->routers) == 0)
    roster->join_us = MIN (roster->join_us, now_us);
}

/* Forget ROUTER, which nobody names any more?  What settings name stays.  */
static bool
router_is_stale (const mq_roster_router *router, uint64_t now_us)
{
  uint64_t known = MAX (router->heard_us, router->told_us);

  return known > 0 && now_us - known > FORGET_US;
}

static gboolean
roster_forgets (gpointer key, gpointer value, gpointer data)
{
  (void)key;
  return router_is_stale (value, *(const uint64_t *)data);
}

/* Try those again that others still name.  */
static void
roster_retry (mq_roster *roster, uint64_t now_us)
{
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, roster->routers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      mq_roster_router *r = value;

      if (router_failed (r, now_us) && r->told_us > r->asked_us + RETRY_US)
        r->asked_us = 0;
    }
}

/* Is there any other of this domain that may be alive?  */
static bool
roster_knows_candidate (const mq_roster *roster, uint64_t now_us)
{
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, roster->routers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    if (router_is_candidate (value, now_us))
      return true;
  return false;
}

bool
mq_roster_tick (mq_roster *roster, uint64_t now_us)
{
  bool before = roster->relays;

  g_hash_table_foreach_remove (roster->routers, roster_forgets, &now_us);
  roster_retry (roster, now_us);
  /* One that has lost all whom it knew asks around first, so that not all of
     a domain become relays when those who were are gone.  */
  if (!roster->relays && now_us >= roster->join_us && roster->had_candidate
      && !roster_knows_candidate (roster, now_us))
    roster->join_us = now_us + JOIN_US;
  roster->had_candidate = roster_knows_candidate (roster, now_us);
  roster->relays = !roster->self.draining && now_us >= roster->join_us
                   && mq_roster_position (roster, now_us) < MQ_ROSTER_RELAYS;
  return roster->relays != before;
}

void
mq_roster_note_pause (mq_roster *roster, uint64_t gap_us)
{
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, roster->routers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      mq_roster_router *r = value;

      if (r->heard_us > 0)
        r->heard_us += gap_us;
      if (r->asked_us > 0)
        r->asked_us += gap_us;
    }
}

/* ---- Who gives orders.  */

/* Does this router hear most of the relays that it knew lately?  */
static bool
roster_hears_most (const mq_roster *roster, uint64_t now_us)
{
  GHashTableIter i;
  gpointer value;
  unsigned known = 1;
  unsigned alive = 1;

  g_hash_table_iter_init (&i, roster->routers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      const mq_roster_router *r = value;

      if (!r->relays || r->heard_us == 0 || now_us - r->heard_us > KNOWN_US)
        continue;
      known++;
      alive += mq_roster_lives (r, now_us);
    }
  return alive * 2 > known;
}

bool
mq_roster_leads (const mq_roster *roster, bool store, uint64_t now_us)
{
  GHashTableIter i;
  gpointer value;

  if (!roster->relays || (!store && !roster_hears_most (roster, now_us)))
    return false;
  g_hash_table_iter_init (&i, roster->routers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      const mq_roster_router *r = value;

      if (!r->relays || !r->ready || !mq_roster_lives (r, now_us))
        continue;
      if (r->store_reached != store ? r->store_reached
                                    : router_goes_before (roster, r))
        return false;
    }
  return true;
}
