/* What one router knows of the store or of an engine, passed on to those that
   do not: configurations, lists of upstreams, and the layers that an engine
   says it holds.

   Who passes on is for mq/pass_on.h to say.  A list that is older than what
   the receiver has, and any list while it reaches the store itself, is passed
   over.  */

#include <mq/internal/gateway.h>

#include <mq/json.h>
#include <mq/json_text.h>
#include <mq/log.h>

/* A peer behind for so long, times the heartbeats between its news, does not
   get it from the store.  */
#define BEHIND_US ((uint64_t)300 * 1000)

/* What a peer may lack.  */
typedef enum pass_on_what
{
  PASS_ON_ROUTING,
  PASS_ON_UPSTREAMS
} pass_on_what;

/* A follow brings a change within some ms; the watch that it is may hang,
   though, when the store forgets its history meanwhile (8 of
   90 routers had an old configuration for 5 s).  After so long behind
   a peer, and again after the longer while, the store is asked anew.  */
#define OWN_LAG_US ((uint64_t)300 * 1000)
#define OWN_LAG_AGAIN_US ((uint64_t)2000 * 1000)

/* ---- Telling.  */

void
mq_pass_on_layers (mq_gateway *gateway, const mq_upstream *upstream)
{
  GString *out = g_string_new ("{");

  mq_json_text_member (out, "kind", MQ_SPAN ("layers"));
  mq_json_text_member (out, "upstream", mq_str_span (upstream->facts.id));
  mq_json_text_number (out, "first", upstream->facts.layer_first);
  mq_json_text_number (out, "end", upstream->facts.layer_end);
  g_string_append_c (out, '}');
  mq_news_tell_all (gateway, out);
}

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

static void
text_add_entry (GString *out, mq_span id, uint64_t version, mq_span value,
                bool gone)
{
  if (out->str[out->len - 1] != '[')
    g_string_append_c (out, ',');
  g_string_append_c (out, '{');
  mq_json_text_member (out, "id", id);
  mq_json_text_number (out, "version", version);
  if (gone)
    mq_json_text_bool (out, "gone", true);
  else
    mq_json_text_member (out, "value", value);
  g_string_append_c (out, '}');
}

/* Begin a message of that KIND about entries as of revision AT.  */
static GString *
text_begin_entries (const char *kind, uint64_t at)
{
  GString *out = g_string_new ("{");

  mq_json_text_member (out, "kind", mq_span_from (kind));
  mq_json_text_number (out, "at", at);
  mq_json_text_key (out, "entries");
  g_string_append_c (out, '[');
  return out;
}

/* All upstreams as the store told of them.  */
static void
pass_upstreams (mq_gateway *gateway, const mq_member *member)
{
  GString *out = text_begin_entries ("upstreams", gateway->upstreams_at);
  GHashTableIter i;
  gpointer id;
  gpointer value;

  g_hash_table_iter_init (&i, gateway->upstream_list.entries);
  while (g_hash_table_iter_next (&i, &id, &value))
    {
      const mq_entry *e = value;

      text_add_entry (out, mq_span_from (id), e->version,
                      mq_str_span (e->text), false);
    }
  g_string_append (out, "]}");
  (void)mq_peers_send (gateway->peers, mq_str_span (member->peer_address),
                       (mq_span){ out->str, out->len });
  g_string_free (out, TRUE);
}

/* Does MEMBER learn of upstreams from this router's failure domain?  */
static bool
member_is_told (const mq_gateway *gateway, const mq_member *member,
                uint64_t now_us)
{
  return mq_member_lives (member, now_us)
         && (!member->follows || !member->store_reached)
         && mq_span_equal (mq_str_span (member->domain),
                           mq_str_span (gateway->settings->failure_domain));
}

void
mq_pass_on_changes (mq_gateway *gateway, const mq_platform_entry *entries,
                    size_t n)
{
  uint64_t now = mq_gateway_now_us ();
  GHashTableIter i;
  gpointer value;
  GString *out;

  if (n == 0
      || !mq_follow_tells (&gateway->follow,
                           mq_members_followers_before (gateway, now)))
    return;
  out = text_begin_entries ("changes", 0);
  for (size_t k = 0; k < n; k++)
    text_add_entry (out, entries[k].name, entries[k].version, entries[k].value,
                    entries[k].deleted);
  g_string_append (out, "]}");
  g_hash_table_iter_init (&i, gateway->members);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      const mq_member *m = value;

      if (member_is_told (gateway, m, now))
        (void)mq_peers_send (gateway->peers, mq_str_span (m->peer_address),
                             (mq_span){ out->str, out->len });
    }
  g_string_free (out, TRUE);
}

/* May OTHER tell peers of what is lacked?  Of configurations whoever knows
   this router's or hears the store; of upstreams whoever follows them there.
 */
static bool
member_may_tell (const mq_gateway *gateway, const mq_member *other,
                 pass_on_what what)
{
  switch (what)
    {
    case PASS_ON_ROUTING:
      return other->store_reached
             || (gateway->routing != NULL
                 && other->routing_version >= gateway->routing->version);
    case PASS_ON_UPSTREAMS:
      return other->store_reached && other->follows;
    }
  return false;
}

/* Where this router stands among all that may tell MEMBER of WHAT.  */
static unsigned
pass_on_rank (const mq_gateway *gateway, const mq_member *member,
              pass_on_what what, uint64_t now_us)
{
  guint size = g_hash_table_size (gateway->members);
  mq_span *others = g_new (mq_span, size);
  GHashTableIter i;
  gpointer value;
  size_t n = 0;
  unsigned rank;

  g_hash_table_iter_init (&i, gateway->members);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      const mq_member *m = value;

      if (m != member && m->ready && mq_member_lives (m, now_us)
          && member_may_tell (gateway, m, what))
        others[n++] = mq_str_span (m->name);
    }
  rank = mq_pass_on_rank (mq_str_span (gateway->settings->name),
                          mq_str_span (member->name), others, n);
  g_free (others);
  return rank;
}

static bool
pass_on_is_due (const mq_gateway *gateway, const mq_member *member,
                pass_on_what what, mq_lag *lag, bool behind, uint64_t now_us)
{
  uint64_t next = BEHIND_US * MAX (member->spacing, 1);
  uint64_t able = what == PASS_ON_ROUTING
                      ? MAX (gateway->store_back_us, gateway->routing_since_us)
                      : gateway->store_back_us;
  mq_pass_on_waits waits = { member->store_reached ? next : 0, next, able };

  return mq_pass_on_is_due (
      lag, behind, behind ? pass_on_rank (gateway, member, what, now_us) : 0,
      waits, now_us);
}

void
mq_pass_on_ask_store (mq_gateway *gateway, uint64_t now_us)
{
  mq_pass_on_waits waits = { OWN_LAG_US, OWN_LAG_AGAIN_US, 0 };
  uint64_t version = gateway->routing ? gateway->routing->version : 0;
  bool behind = gateway->routing_heard > version;

  /* A feed that fails is tried again by itself.  */
  if (!mq_pass_on_is_due (&gateway->own_lag, behind, 0, waits, now_us)
      || gateway->routing_feed.failures > 0)
    return;
  mq_log (G_LOG_LEVEL_WARNING, "configuration.behind",
          "version=%" G_GUINT64_FORMAT " heard=%" G_GUINT64_FORMAT, version,
          gateway->routing_heard);
  mq_feed_refresh (&gateway->routing_feed);
}

void
mq_pass_on_tick (mq_gateway *gateway, mq_member *member, uint64_t now_us)
{
  bool lives = mq_member_lives (member, now_us);
  uint64_t version = gateway->routing ? gateway->routing->version : 0;
  bool older = lives && member->routing_version < version;
  bool without = lives && (!member->store_reached || !member->follows)
                 && gateway->upstreams_known && !gateway->follow.told
                 && mq_members_store_is_reached (gateway, now_us)
                 && member->upstreams_digest != gateway->upstream_list.digest;

  if (pass_on_is_due (gateway, member, PASS_ON_ROUTING, &member->routing_lag,
                      older, now_us))
    pass_routing (gateway, member);
  if (pass_on_is_due (gateway, member, PASS_ON_UPSTREAMS,
                      &member->upstreams_lag, without, now_us))
    pass_upstreams (gateway, member);
}

/* ---- Hearing.  */

void
mq_pass_on_hear_layers (mq_gateway *gateway, const mq_json *root)
{
  mq_upstream *u = mq_registry_find (
      &gateway->registry, mq_json_span (root, "upstream", MQ_SPAN ("")));
  unsigned first = (unsigned)mq_json_u64 (root, "first", 0, UINT32_MAX, 0);
  unsigned end = (unsigned)mq_json_u64 (root, "end", 0, UINT32_MAX, 0);

  if (u != NULL)
    (void)mq_registry_set_layers (&gateway->registry, u, first, end,
                                  mq_gateway_now_us ());
}

/* Does this router learn of upstreams from its peers?  */
static bool
pass_on_is_told (const mq_gateway *gateway)
{
  return gateway->follow.told
         || !mq_members_store_is_reached (gateway, mq_gateway_now_us ());
}

void
mq_pass_on_hear_changes (mq_gateway *gateway, const mq_json *root)
{
  mq_json list;

  if (!pass_on_is_told (gateway) || !gateway->upstreams_known
      || !mq_json_array (root, "entries", &list))
    return;
  for (size_t i = 0; i < mq_json_size (&list); i++)
    {
      mq_json o;
      mq_span id;
      uint64_t version;
      bool gone;

      if (!mq_json_element (&list, i, &o))
        return;
      id = mq_json_span (&o, "id", MQ_SPAN (""));
      version = mq_json_u64 (&o, "version", 0, UINT64_MAX, 0);
      gone = mq_json_bool (&o, "gone", false);
      if (mq_entry_list_is_news (&gateway->upstream_list, id, version, gone))
        mq_gateway_take_upstream (gateway, id, version,
                                  mq_json_span (&o, "value", MQ_SPAN ("")),
                                  gone);
    }
}

/* A peer's whole list of upstreams.  */
void
mq_pass_on_hear_upstreams (mq_gateway *gateway, const mq_json *root)
{
  uint64_t at = mq_json_u64 (root, "at", 0, UINT64_MAX, 0);
  GHashTable *seen;
  mq_json list;

  if (!pass_on_is_told (gateway) || at < gateway->upstreams_at
      || !mq_json_array (root, "entries", &list))
    return;
  seen = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (size_t i = 0; i < mq_json_size (&list); i++)
    {
      mq_json o;
      mq_span id;

      if (!mq_json_element (&list, i, &o))
        break;
      id = mq_json_span (&o, "id", MQ_SPAN (""));
      mq_gateway_take_upstream (
          gateway, id, mq_json_u64 (&o, "version", 0, UINT64_MAX, 0),
          mq_json_span (&o, "value", MQ_SPAN ("")), false);
      g_hash_table_add (seen, g_strndup (id.data, id.size));
    }
  mq_gateway_keep_upstreams (gateway, seen);
  gateway->upstreams_at = at;
  mq_log (G_LOG_LEVEL_INFO, "upstream.list-heard",
          "upstreams=%u at=%" G_GUINT64_FORMAT, g_hash_table_size (seen), at);
  g_hash_table_unref (seen);
}
