/* Routers know one another: members in the store, news between them.

   Each router writes one object in the store, so that others find it, and
   sends news to all peers four times a second: that it lives and is ready,
   which versions it knows, what it has in flight.  Who is silent for a second
   counts as gone.  A peer that stays behind in its configuration or its list
   of upstreams gets them passed on: that is how a router learns which the
   store turns away.

   The router that gives the orders is the live one with the lowest name among
   those that reach the store, or, when none does, of all, if most of those
   known are heard.  Two may think so for a moment; the engines' own count of
   orders, which every order names, lets only one through.  */

#include <mq/internal/gateway.h>

#include <mq/json.h>
#include <mq/log.h>

/* Four heartbeats.  */
#define SILENT_US ((uint64_t)1000 * 1000)
/* The store was reached lately: within one follow and so much.  */
#define STORE_FRESH_US ((uint64_t)2000 * 1000)
/* Failures in a row that count as an outage.  */
#define STORE_LOST_FAILURES 2
/* Again after a write or a scan that failed, and between scans.  */
#define MEMBER_RETRY_US ((uint64_t)1000 * 1000)
/* Routers heard within this count as known, for who is most.  */
#define KNOWN_US ((uint64_t)30 * 1000 * 1000)
#define MEMBER_SCAN_US ((uint64_t)15 * 1000 * 1000)
/* With more routers than this each scans less often: they tell one another of
   new ones.  */
#define MEMBER_SCANNERS 16

/* A router that hears the store again gives orders for that reason after so
   long for each heartbeat that news skip: it takes two to hear that others
   hear it too.  Beside the starts of all, 32 routers began to lead on a day
   without it, and 16 with it, of 73.  Where news
   come with each heartbeat the wait gains nothing (mean of 14 days with six
   and seven routers: 0.6552 without, 0.6481 with).  */
#define LEAD_SETTLE_US ((uint64_t)500 * 1000)

static void
member_free (gpointer data)
{
  mq_member *m = data;

  mq_str_unref (m->peer_address);
  mq_str_unref (m->name);
  mq_str_unref (m->client_address);
  mq_str_unref (m->domain);
  g_hash_table_unref (m->tokens);
  g_hash_table_unref (m->sends);
  g_clear_pointer (&m->past_sends, g_hash_table_unref);
  g_free (m);
}

GHashTable *
mq_member_sends_new (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

/* Know the router at ADDRESS from now on.  */
mq_member *
mq_member_at (mq_gateway *gateway, mq_span address)
{
  char *key = g_strndup (address.data, address.size);
  mq_member *m = g_hash_table_lookup (gateway->members, key);

  if (m == NULL && address.size > 0
      && !mq_span_equal (address, mq_str_span (gateway->peer_address)))
    {
      m = g_new0 (mq_member, 1);
      m->peer_address = mq_str_new (address);
      m->tokens
          = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
      m->sends = mq_member_sends_new ();
      g_hash_table_insert (gateway->members, m->peer_address->data, m);
      mq_peers_connect (gateway->peers, address);
    }
  g_free (key);
  return m;
}

bool
mq_member_lives (const mq_member *member, uint64_t now_us)
{
  return member->heard_us > 0
         && now_us - member->heard_us
                < MAX (SILENT_US, member->spacing * SILENT_US);
}

bool
mq_members_store_is_reached (const mq_gateway *gateway, uint64_t now_us)
{
  const mq_feed *f = gateway->follow.told ? &gateway->routing_feed
                                          : &gateway->upstream_feed;

  return f->fresh_us > 0 && f->failures < STORE_LOST_FAILURES
         && now_us - f->fresh_us
                < STORE_FRESH_US + (uint64_t)f->wait_ms * 1000;
}

/* Log once when MEMBER has fallen silent.  */
static void
member_note_silence (mq_member *member, uint64_t now_us)
{
  if (!member->told_alive || mq_member_lives (member, now_us))
    return;
  member->told_alive = false;
  mq_log (G_LOG_LEVEL_WARNING, "member.silent",
          "peer=%s vm=%s silent_ms=%" G_GUINT64_FORMAT,
          mq_str_cstr (member->peer_address), mq_str_cstr (member->name),
          (now_us - member->heard_us) / 1000);
}

/* ---- The store.  */

static void
on_member_written (void *context, const mq_platform_reply *reply)
{
  mq_gateway *g = context;

  g->member_writing = false;
  switch (reply->result)
    {
    case MQ_PLATFORM_OK:
    case MQ_PLATFORM_CONFLICT: /* It is there from an earlier start.  */
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
  GString *value = g_string_new (NULL);
  mq_platform_ask ask
      = { .op = MQ_PLATFORM_CREATE,
          .kind = mq_span_from (gateway->dialect->kinds.members),
          .name = mq_str_span (gateway->settings->name) };

  gateway->dialect->member_encode (mq_str_span (gateway->peer_address), value);
  ask.value = (mq_span){ value->str, value->len };
  gateway->member_writing = true;
  ++*gateway->counters.store_calls;
  (void)mq_platform_ask_start (gateway->store, &ask, on_member_written,
                               gateway);
  g_string_free (value, TRUE);
}

static void
on_members (void *context, const mq_platform_reply *reply)
{
  mq_gateway *g = context;

  if (reply->result != MQ_PLATFORM_OK)
    {
      g->members_scan_us = mq_gateway_now_us () + MEMBER_RETRY_US;
      return;
    }
  for (size_t i = 0; i < reply->n_entries; i++)
    {
      mq_json_doc *doc
          = mq_json_parse (MQ_SPAN ("member"), reply->entries[i].value, NULL);
      mq_json root;

      if (doc == NULL)
        continue;
      root = mq_json_root (doc);
      (void)mq_member_at (g, mq_json_span (&root, "address", MQ_SPAN ("")));
      mq_json_doc_free (doc);
    }
}

static void
members_scan (mq_gateway *gateway, uint64_t now_us)
{
  mq_platform_ask ask
      = { .op = MQ_PLATFORM_SCAN,
          .kind = mq_span_from (gateway->dialect->kinds.members),
          .stale = true };

  gateway->members_scan_us
      = now_us
        + MEMBER_SCAN_US
              * MAX (g_hash_table_size (gateway->members) / MEMBER_SCANNERS,
                     1);
  ++*gateway->counters.store_calls;
  (void)mq_platform_ask_start (gateway->store, &ask, on_members, gateway);
}

/* ---- Public.  */

int
mq_members_start (mq_gateway *gateway, GError **error)
{
  const mq_gateway_settings *s = gateway->settings;
  GError *cause = NULL;

  gateway->members
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, member_free);
  gateway->peers = mq_peers_new (gateway->loop, mq_str_span (s->peers.address),
                                 s->peers.port, NULL, mq_news_on_message,
                                 gateway, &cause);
  if (gateway->peers == NULL)
    {
      g_set_error (error, MQ_GATEWAY_ERROR, MQ_GATEWAY_ERROR_PEERS, "%s",
                   cause->message);
      g_error_free (cause);
      return -1;
    }
  for (guint i = 0; i < s->seeds->len; i++)
    (void)mq_member_at (gateway,
                        mq_span_from (g_ptr_array_index (s->seeds, i)));
  return 0;
}

void
mq_members_stop (mq_gateway *gateway)
{
  g_clear_pointer (&gateway->members, g_hash_table_unref);
  mq_peers_free (gateway->peers);
  gateway->peers = NULL;
}

/* Begin or leave off following the upstreams in the store, as it is this
   router's part.  */
static void
members_share_follows (mq_gateway *gateway, uint64_t now_us)
{
  unsigned before = mq_members_followers_before (gateway, now_us);

  if (!gateway->upstreams_known
      || !mq_follow_tick (&gateway->follow, before,
                          gateway->settings->store_followers, now_us))
    return;
  mq_log (G_LOG_LEVEL_INFO, "store.follow", "follows=%d before=%u",
          !gateway->follow.told, before);
  if (gateway->follow.told)
    mq_feed_stop (&gateway->upstream_feed);
  else
    mq_feed_start (&gateway->upstream_feed, gateway,
                   gateway->dialect->kinds.upstreams);
}

void
mq_members_tick (mq_gateway *gateway, uint64_t now_us)
{
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, gateway->members);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      member_note_silence (value, now_us);
      mq_pass_on_tick (gateway, value, now_us);
    }
  members_share_follows (gateway, now_us);
  mq_pass_on_ask_store (gateway, now_us);
  if (gateway->mode != MQ_GATEWAY_SERVING)
    return;
  if (!gateway->member_written && !gateway->member_writing
      && now_us >= gateway->member_retry_us)
    member_write (gateway);
  if (gateway->member_written && now_us >= gateway->members_scan_us)
    members_scan (gateway, now_us);
}

/* May this router give orders though nobody it hears reaches the store?  Only
   with more than half of the routers that it knows to have lived lately: one
   that is cut off must not undo what the others do.  */
static bool
members_are_most (const mq_gateway *gateway, uint64_t now_us)
{
  GHashTableIter i;
  gpointer value;
  unsigned known = 1;
  unsigned alive = 1;

  g_hash_table_iter_init (&i, gateway->members);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      const mq_member *m = value;

      if (m->heard_us == 0 || now_us - m->heard_us > KNOWN_US)
        continue;
      known++;
      if (mq_member_lives (m, now_us))
        alive++;
    }
  return alive * 2 > known;
}

/* Should MEMBER give the orders rather than this router, given that those
   who reach the store come first?  */
static bool
member_goes_before (const mq_gateway *gateway, const mq_member *member,
                    bool reached)
{
  if (member->store_reached != reached)
    return member->store_reached;
  return mq_span_compare (mq_str_span (member->name),
                          mq_str_span (gateway->settings->name))
         < 0;
}

/* Does this router hear the store, and did for long enough that others who do
   have said so?  */
static bool
members_store_is_settled (const mq_gateway *gateway, uint64_t now_us)
{
  uint64_t settle = LEAD_SETTLE_US * (mq_news_spacing (gateway) - 1);

  return mq_members_store_is_reached (gateway, now_us)
         && (gateway->store_back_us == 0
             || now_us >= gateway->store_back_us + settle);
}

bool
mq_members_we_lead (const mq_gateway *gateway, uint64_t now_us)
{
  bool reached = members_store_is_settled (gateway, now_us);
  GHashTableIter i;
  gpointer value;

  if (gateway->mode != MQ_GATEWAY_SERVING
      || (!reached && !members_are_most (gateway, now_us)))
    return false;
  g_hash_table_iter_init (&i, gateway->members);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      const mq_member *m = value;

      if (mq_member_lives (m, now_us) && m->ready
          && member_goes_before (gateway, m, reached))
        return false;
    }
  return true;
}

unsigned
mq_members_followers_before (const mq_gateway *gateway, uint64_t now_us)
{
  const mq_gateway_settings *s = gateway->settings;
  GHashTableIter i;
  gpointer value;
  unsigned n = 0;

  g_hash_table_iter_init (&i, gateway->members);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      const mq_member *m = value;

      if (mq_member_lives (m, now_us) && m->ready && m->store_reached
          && m->follows
          && mq_span_equal (mq_str_span (m->domain),
                            mq_str_span (s->failure_domain))
          && mq_span_compare (mq_str_span (m->name), mq_str_span (s->name))
                 < 0)
        n++;
    }
  return n;
}

double
mq_members_tokens (const mq_gateway *gateway, const char *key, uint64_t now_us)
{
  GHashTableIter i;
  gpointer value;
  double sum = 0;

  g_hash_table_iter_init (&i, gateway->members);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      const mq_member *m = value;
      const double *n = g_hash_table_lookup (m->tokens, key);

      if (n != NULL && mq_member_lives (m, now_us))
        sum += *n;
    }
  return sum;
}
