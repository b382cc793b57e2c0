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
#include <mq/json_text.h>
#include <mq/log.h>
#include <string.h>

/* Four heartbeats.  */
#define SILENT_US ((uint64_t)1000 * 1000)
/* A peer behind for so long does not get it from the store.  */
#define BEHIND_US ((uint64_t)300 * 1000)
/* The store was reached lately: one follow and a little.  */
#define STORE_FRESH_US ((uint64_t)4500 * 1000)
/* Failures in a row that count as an outage.  */
#define STORE_LOST_FAILURES 2
/* A peer's finding about an engine counts no longer than this.  */
#define BLAMED_MOST_US ((uint64_t)5000 * 1000)
/* More is taken for a mistake.  */
#define PACE_MOST 1000.0
/* Again after a write or a scan that failed, and between scans.  */
#define MEMBER_RETRY_US ((uint64_t)1000 * 1000)
/* Routers heard within this count as known, for who is most.  */
#define KNOWN_US ((uint64_t)30 * 1000 * 1000)
#define MEMBER_SCAN_US ((uint64_t)15 * 1000 * 1000)

static void
member_free (gpointer data)
{
  mq_member *m = data;

  mq_str_unref (m->peer_address);
  mq_str_unref (m->name);
  mq_str_unref (m->client_address);
  mq_str_unref (m->domain);
  g_hash_table_unref (m->tokens);
  g_free (m);
}

/* Know the router at ADDRESS from now on.  */
static mq_member *
member_at (mq_gateway *gateway, mq_span address)
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
      g_hash_table_insert (gateway->members, m->peer_address->data, m);
      mq_peers_connect (gateway->peers, address);
    }
  g_free (key);
  return m;
}

bool
mq_member_lives (const mq_member *member, uint64_t now_us)
{
  return member->heard_us > 0 && now_us - member->heard_us < SILENT_US;
}

/* ---- News.  */

bool
mq_members_store_is_reached (const mq_gateway *gateway, uint64_t now_us)
{
  const mq_feed *f = &gateway->upstream_feed;

  return f->fresh_us > 0 && f->failures < STORE_LOST_FAILURES
         && now_us - f->fresh_us < STORE_FRESH_US;
}

static void
news_add_peers (const mq_gateway *gateway, GString *out, uint64_t now_us)
{
  GHashTableIter i;
  gpointer value;

  mq_json_text_key (out, "peers");
  g_string_append_c (out, '[');
  g_hash_table_iter_init (&i, gateway->members);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      const mq_member *m = value;

      if (!mq_member_lives (m, now_us))
        continue;
      if (out->str[out->len - 1] != '[')
        g_string_append_c (out, ',');
      mq_json_text_string (out, mq_str_span (m->peer_address));
    }
  g_string_append_c (out, ']');
}

static void
news_add_tokens (const mq_gateway *gateway, GString *out)
{
  GHashTableIter i;
  gpointer key;
  gpointer value;

  mq_json_text_key (out, "tokens");
  g_string_append_c (out, '[');
  g_hash_table_iter_init (&i, gateway->tokens);
  while (g_hash_table_iter_next (&i, &key, &value))
    {
      if (*(double *)value <= 0)
        continue;
      if (out->str[out->len - 1] != '[')
        g_string_append_c (out, ',');
      g_string_append_c (out, '{');
      mq_json_text_member (out, "at", mq_span_from (key));
      mq_json_text_number (out, "n", (uint64_t) * (double *)value);
      g_string_append_c (out, '}');
    }
  g_string_append_c (out, ']');
}

/* What was found out about engines: who is named as being at fault, and for
   how long it is to be passed over; and how slow each is that was asked, so
   that the others need not ask.  */
static void
news_add_findings (const mq_gateway *gateway, GString *out, uint64_t now_us)
{
  GHashTableIter i;
  gpointer value;

  mq_json_text_key (out, "findings");
  g_string_append_c (out, '[');
  g_hash_table_iter_init (&i, gateway->registry.by_id);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      const mq_upstream *u = value;
      bool blamed = u->blamed_until_us > now_us;
      bool paced = now_us < u->pace_until_us && !u->pace_heard;

      if (!blamed && !paced)
        continue;
      if (out->str[out->len - 1] != '[')
        g_string_append_c (out, ',');
      g_string_append_c (out, '{');
      mq_json_text_member (out, "upstream", mq_str_span (u->facts.id));
      if (blamed)
        mq_json_text_number (out, "aside_us", u->blamed_until_us - now_us);
      if (paced)
        mq_json_text_number (out, "pace_percent", (uint64_t)(u->pace * 100));
      g_string_append_c (out, '}');
    }
  g_string_append_c (out, ']');
}

static void
news_write (mq_gateway *gateway, GString *out, uint64_t now_us)
{
  g_string_append_c (out, '{');
  mq_json_text_member (out, "kind", MQ_SPAN ("news"));
  mq_json_text_member (out, "name", mq_str_span (gateway->settings->name));
  mq_json_text_number (out, "incarnation", gateway->incarnation);
  mq_json_text_number (out, "sequence", ++gateway->sequence);
  mq_json_text_member (out, "peer", mq_str_span (gateway->peer_address));
  mq_json_text_member (out, "client", mq_str_span (gateway->client_address));
  mq_json_text_member (out, "domain",
                       mq_str_span (gateway->settings->failure_domain));
  mq_json_text_bool (out, "ready", mq_gateway_is_ready (gateway));
  mq_json_text_bool (out, "store",
                     mq_members_store_is_reached (gateway, now_us));
  mq_json_text_number (out, "routing",
                       gateway->routing ? gateway->routing->version : 0);
  mq_json_text_number (out, "upstreams", gateway->upstreams_at);
  news_add_peers (gateway, out, now_us);
  news_add_tokens (gateway, out);
  news_add_findings (gateway, out, now_us);
  g_string_append_c (out, '}');
}

/* Send OUT, which is freed, to all peers.  */
static void
tell_all (mq_gateway *gateway, GString *out)
{
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, gateway->members);
  while (g_hash_table_iter_next (&i, NULL, &value))
    (void)mq_peers_send (gateway->peers,
                         mq_str_span (((mq_member *)value)->peer_address),
                         (mq_span){ out->str, out->len });
  g_string_free (out, TRUE);
}

void
mq_members_tell (mq_gateway *gateway)
{
  GString *out = g_string_new (NULL);

  news_write (gateway, out, mq_gateway_now_us ());
  tell_all (gateway, out);
}

void
mq_members_tell_layers (mq_gateway *gateway, const mq_upstream *upstream)
{
  GString *out = g_string_new ("{");

  mq_json_text_member (out, "kind", MQ_SPAN ("layers"));
  mq_json_text_member (out, "upstream", mq_str_span (upstream->facts.id));
  mq_json_text_number (out, "first", upstream->facts.layer_first);
  mq_json_text_number (out, "end", upstream->facts.layer_end);
  g_string_append_c (out, '}');
  tell_all (gateway, out);
}

/* ---- Passing on.  */

static void
pass_routing (mq_gateway *gateway, const mq_member *member)
{
  GString *out = g_string_new ("{");

  mq_json_text_member (out, "kind", MQ_SPAN ("routing"));
  mq_json_text_member (out, "text", mq_str_span (gateway->routing_text));
  g_string_append_c (out, '}');
  (void)mq_peers_send (gateway->peers, mq_str_span (member->peer_address),
                       (mq_span){ out->str, out->len });
  g_string_free (out, TRUE);
}

/* Pass on what MEMBER has not learnt from the store in time.  */
static void
pass_on (mq_gateway *gateway, mq_member *member, uint64_t now_us)
{
  uint64_t ours = gateway->routing ? gateway->routing->version : 0;

  if (!mq_member_lives (member, now_us) || member->routing_version >= ours)
    {
      member->behind_since_us = 0;
      return;
    }
  if (member->behind_since_us == 0)
    member->behind_since_us = now_us;
  if (now_us - member->behind_since_us < BEHIND_US)
    return;
  member->behind_since_us = now_us;
  pass_routing (gateway, member);
}

/* ---- Hearing.  */

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

static void
take_tokens (mq_member *member, const mq_json *root)
{
  mq_json list;

  g_hash_table_remove_all (member->tokens);
  if (!mq_json_array (root, "tokens", &list))
    return;
  for (size_t i = 0; i < mq_json_size (&list); i++)
    {
      mq_json o;
      mq_span at;
      double *n;

      if (!mq_json_element (&list, i, &o))
        return;
      at = mq_json_span (&o, "at", MQ_SPAN (""));
      n = g_new (double, 1);
      *n = mq_json_double (&o, "n", 0, 1e12, 0);
      g_hash_table_insert (member->tokens, g_strndup (at.data, at.size), n);
    }
}

/* One finding of a peer's.  It is not passed on again by who heard it: it
   lives as long as the router that made it says.  */
static void
take_finding (mq_gateway *gateway, const mq_json *finding, uint64_t now_us)
{
  mq_upstream *u = mq_registry_find (
      &gateway->registry, mq_json_span (finding, "upstream", MQ_SPAN ("")));
  uint64_t aside_us = mq_json_u64 (finding, "aside_us", 0, BLAMED_MOST_US, 0);
  double pace
      = mq_json_double (finding, "pace_percent", 0, PACE_MOST * 100, 0) / 100;

  if (u == NULL)
    return;
  if (aside_us > 0)
    mq_upstream_put_aside (u, now_us, aside_us);
  if (pace > 0 && now_us >= u->pace_until_us)
    {
      mq_upstream_set_pace (u, pace, now_us);
      u->pace_heard = true;
    }
}

static void
take_findings (mq_gateway *gateway, const mq_json *root, uint64_t now_us)
{
  mq_json list;

  if (!mq_json_array (root, "findings", &list))
    return;
  for (size_t i = 0; i < mq_json_size (&list); i++)
    {
      mq_json o;

      if (!mq_json_element (&list, i, &o))
        return;
      take_finding (gateway, &o, now_us);
    }
}

static void
take_peers (mq_gateway *gateway, const mq_json *root)
{
  mq_json list;

  if (!mq_json_array (root, "peers", &list))
    return;
  for (size_t i = 0; i < mq_json_size (&list); i++)
    (void)member_at (gateway, mq_json_element_span (&list, i));
}

static void
member_set (mq_str **field, mq_span value)
{
  if (mq_span_equal (mq_str_span (*field), value))
    return;
  mq_str_unref (*field);
  *field = mq_str_new (value);
}

/* True when the news is older than what was heard: it was held up on its
   way, or is of an incarnation that ended.  */
static bool
news_is_old (const mq_member *member, uint64_t incarnation, uint64_t sequence)
{
  return member->incarnation == incarnation && sequence <= member->sequence;
}

static void
take_news (mq_gateway *gateway, const mq_json *root)
{
  mq_span empty = MQ_SPAN ("");
  mq_member *m = member_at (gateway, mq_json_span (root, "peer", empty));
  uint64_t incarnation = mq_json_u64 (root, "incarnation", 0, UINT64_MAX, 0);
  uint64_t sequence = mq_json_u64 (root, "sequence", 0, UINT64_MAX, 0);
  uint64_t now = mq_gateway_now_us ();

  if (m == NULL || news_is_old (m, incarnation, sequence))
    return;
  if (!m->told_alive)
    mq_log (G_LOG_LEVEL_INFO, "member.heard", "peer=%s",
            mq_str_cstr (m->peer_address));
  m->told_alive = true;
  m->incarnation = incarnation;
  m->sequence = sequence;
  m->heard_us = now;
  member_set (&m->name, mq_json_span (root, "name", empty));
  member_set (&m->client_address, mq_json_span (root, "client", empty));
  member_set (&m->domain, mq_json_span (root, "domain", empty));
  m->ready = mq_json_bool (root, "ready", false);
  m->store_reached = mq_json_bool (root, "store", false);
  m->routing_version = mq_json_u64 (root, "routing", 0, UINT64_MAX, 0);
  m->upstreams_at = mq_json_u64 (root, "upstreams", 0, UINT64_MAX, 0);
  take_tokens (m, root);
  take_findings (gateway, root, now);
  take_peers (gateway, root);
}

/* An engine told a peer what it holds.  */
static void
take_layers (mq_gateway *gateway, const mq_json *root)
{
  mq_upstream *u = mq_registry_find (
      &gateway->registry, mq_json_span (root, "upstream", MQ_SPAN ("")));
  unsigned first = (unsigned)mq_json_u64 (root, "first", 0, UINT32_MAX, 0);
  unsigned end = (unsigned)mq_json_u64 (root, "end", 0, UINT32_MAX, 0);

  if (u != NULL)
    (void)mq_registry_set_layers (&gateway->registry, u, first, end,
                                  mq_gateway_now_us ());
}

static void
on_message (void *context, mq_span bytes)
{
  mq_gateway *g = context;
  mq_json_doc *doc = mq_json_parse (MQ_SPAN ("peer"), bytes, NULL);
  mq_json root;
  mq_span kind;

  if (doc == NULL)
    {
      mq_log (G_LOG_LEVEL_WARNING, "peer.unreadable", "bytes=%zu", bytes.size);
      return;
    }
  root = mq_json_root (doc);
  kind = mq_json_span (&root, "kind", MQ_SPAN (""));
  if (mq_span_equal (kind, MQ_SPAN ("news")))
    take_news (g, &root);
  else if (mq_span_equal (kind, MQ_SPAN ("layers")))
    take_layers (g, &root);
  else if (mq_span_equal (kind, MQ_SPAN ("routing")))
    mq_gateway_take_routing (g, mq_json_span (&root, "text", MQ_SPAN ("")),
                             "peer");
  mq_json_doc_free (doc);
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
      (void)member_at (g, mq_json_span (&root, "address", MQ_SPAN ("")));
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

  gateway->members_scan_us = now_us + MEMBER_SCAN_US;
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
  gateway->peers
      = mq_peers_new (gateway->loop, mq_str_span (s->peers.address),
                      s->peers.port, NULL, on_message, gateway, &cause);
  if (gateway->peers == NULL)
    {
      g_set_error (error, MQ_GATEWAY_ERROR, MQ_GATEWAY_ERROR_PEERS, "%s",
                   cause->message);
      g_error_free (cause);
      return -1;
    }
  for (guint i = 0; i < s->seeds->len; i++)
    (void)member_at (gateway, mq_span_from (g_ptr_array_index (s->seeds, i)));
  return 0;
}

void
mq_members_stop (mq_gateway *gateway)
{
  g_clear_pointer (&gateway->members, g_hash_table_unref);
  mq_peers_free (gateway->peers);
  gateway->peers = NULL;
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
      pass_on (gateway, value, now_us);
    }
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

bool
mq_members_we_lead (const mq_gateway *gateway, uint64_t now_us)
{
  bool reached = mq_members_store_is_reached (gateway, now_us);
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
