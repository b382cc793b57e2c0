/* News between routers: what each tells the others, and what it makes of
   theirs.

   A message is one JSON object with a `kind':
     news      the sender lives; what it knows, has in flight and found out
     peers     addresses of routers, for one that was heard anew
     routing   a configuration that the receiver has not learnt in time
     upstreams all upstreams, for a receiver that does not ask the store
     changes   upstreams that changed, for the same
     layers    what an engine said that it holds
   News are numbered within an incarnation; what was held up on its way and is
   older than what was heard is passed over.  */

#include <mq/internal/gateway.h>

#include <mq/json.h>
#include <mq/json_text.h>
#include <mq/log.h>

/* Addresses of peers are the larger part of news: they go to who is heard for
   the first time, and else along with one in so many.  Sent to all for two
   seconds after each that was heard anew, they made 25 of the first 65 MB of
   news at 73 routers.  */
#define PEERS_EACH 32
/* With more routers than this, each sends its news less often, so that what
   all send grows with their number and not with its square.  At 330 each
   hears 64 a second.  */
#define NEWS_ROUTERS 16
#define NEWS_MOST 20 /* Heartbeats between two of a router's news.  */
/* A peer's finding about an engine counts no longer than this.  */
#define BLAMED_MOST_US ((uint64_t)5000 * 1000)
/* More is taken for a mistake.  */
#define PACE_MOST 1000.0

/* ---- Telling.  */

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

/* Tell MEMBER of all others that live.  */
static void
news_introduce (mq_gateway *gateway, const mq_member *member, uint64_t now_us)
{
  GString *out = g_string_new ("{");

  mq_json_text_member (out, "kind", MQ_SPAN ("peers"));
  news_add_peers (gateway, out, now_us);
  g_string_append_c (out, '}');
  (void)mq_peers_send (gateway->peers, mq_str_span (member->peer_address),
                       (mq_span){ out->str, out->len });
  g_string_free (out, TRUE);
}

static void
news_add_tokens (const mq_gateway *gateway, GString *out)
{
  GHashTableIter i;
  gpointer key;
  gpointer value;

  mq_json_text_key (out, "tokens");
  g_string_append_c (out, '[');
  g_hash_table_iter_init (&i, gateway->ways);
  while (g_hash_table_iter_next (&i, &key, &value))
    {
      const mq_way_load *load = value;

      if (load->tokens <= 0)
        continue;
      if (out->str[out->len - 1] != '[')
        g_string_append_c (out, ',');
      g_string_append_c (out, '{');
      mq_json_text_member (out, "at", mq_span_from (key));
      mq_json_text_number (out, "n", (uint64_t)load->tokens);
      g_string_append_c (out, '}');
    }
  g_string_append_c (out, ']');
}

/* Requests and further sends of the window, by service.  */
static void
news_add_sends (const mq_gateway *gateway, GString *out, uint64_t now_us)
{
  GHashTableIter i;
  gpointer name;
  gpointer value;

  mq_json_text_key (out, "sends");
  g_string_append_c (out, '[');
  g_hash_table_iter_init (&i, gateway->services);
  while (g_hash_table_iter_next (&i, &name, &value))
    {
      mq_service_state *s = value;
      mq_send_counts c = mq_send_budget_count (&s->budget, now_us);

      if (out->str[out->len - 1] != '[')
        g_string_append_c (out, ',');
      g_string_append_c (out, '{');
      mq_json_text_member (out, "service", mq_span_from (name));
      mq_json_text_number (out, "first", c.first);
      mq_json_text_number (out, "more", c.more);
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

unsigned
mq_news_spacing (const mq_gateway *gateway)
{
  unsigned n = g_hash_table_size (gateway->members) + 1;

  return CLAMP (n / NEWS_ROUTERS, 1, NEWS_MOST);
}

static void
news_write (mq_gateway *gateway, GString *out, uint64_t now_us)
{
  g_string_append_c (out, '{');
  mq_json_text_member (out, "kind", MQ_SPAN ("news"));
  mq_json_text_member (out, "name", mq_str_span (gateway->settings->name));
  mq_json_text_number (out, "incarnation", gateway->incarnation);
  mq_json_text_number (out, "sequence", ++gateway->sequence);
  mq_json_text_number (out, "spacing", mq_news_spacing (gateway));
  mq_json_text_member (out, "peer", mq_str_span (gateway->peer_address));
  mq_json_text_member (out, "client", mq_str_span (gateway->client_address));
  mq_json_text_member (out, "domain",
                       mq_str_span (gateway->settings->failure_domain));
  mq_json_text_bool (out, "ready", mq_gateway_is_ready (gateway));
  mq_json_text_bool (out, "store",
                     mq_members_store_is_reached (gateway, now_us));
  mq_json_text_number (out, "routing",
                       gateway->routing ? gateway->routing->version : 0);
  mq_json_text_bool (out, "follows", !gateway->follow.told);
  mq_json_text_number (out, "upstreams", gateway->upstream_list.digest);
  if (gateway->sequence % PEERS_EACH == 0)
    news_add_peers (gateway, out, now_us);
  news_add_tokens (gateway, out);
  news_add_sends (gateway, out, now_us);
  news_add_findings (gateway, out, now_us);
  g_string_append_c (out, '}');
}

void
mq_news_tell_all (mq_gateway *gateway, GString *out)
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
mq_news_heartbeat (mq_gateway *gateway)
{
  if (++gateway->heartbeats % mq_news_spacing (gateway) == 0)
    mq_news_tell (gateway);
}

void
mq_news_tell (mq_gateway *gateway)
{
  GString *out = g_string_new (NULL);

  news_write (gateway, out, mq_gateway_now_us ());
  mq_news_tell_all (gateway, out);
}

/* ---- Hearing.  */

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

static void
take_sends (mq_member *member, const mq_json *root)
{
  mq_json list;

  g_hash_table_remove_all (member->sends);
  if (!mq_json_array (root, "sends", &list))
    return;
  for (size_t i = 0; i < mq_json_size (&list); i++)
    {
      mq_json o;
      mq_span service;
      mq_send_counts *c;

      if (!mq_json_element (&list, i, &o))
        return;
      service = mq_json_span (&o, "service", MQ_SPAN (""));
      c = g_new0 (mq_send_counts, 1);
      c->first = (unsigned)mq_json_u64 (&o, "first", 0, UINT32_MAX, 0);
      c->more = (unsigned)mq_json_u64 (&o, "more", 0, UINT32_MAX, 0);
      g_hash_table_insert (member->sends,
                           g_strndup (service.data, service.size), c);
    }
}

/* MEMBER has started again.  What it sent before still counts in the window.
 */
static void
keep_past_sends (mq_member *member, uint64_t now_us)
{
  g_clear_pointer (&member->past_sends, g_hash_table_unref);
  member->past_sends = member->sends;
  member->past_us = now_us;
  member->sends = mq_member_sends_new ();
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
    (void)mq_member_at (gateway, mq_json_element_span (&list, i));
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
  mq_member *m = mq_member_at (gateway, mq_json_span (root, "peer", empty));
  uint64_t incarnation = mq_json_u64 (root, "incarnation", 0, UINT64_MAX, 0);
  uint64_t sequence = mq_json_u64 (root, "sequence", 0, UINT64_MAX, 0);
  uint64_t now = mq_gateway_now_us ();

  if (m == NULL || news_is_old (m, incarnation, sequence))
    return;
  if (!m->told_alive)
    {
      mq_log (G_LOG_LEVEL_INFO, "member.heard", "peer=%s",
              mq_str_cstr (m->peer_address));
      news_introduce (gateway, m, now);
    }
  m->told_alive = true;
  if (m->incarnation != 0 && m->incarnation != incarnation)
    keep_past_sends (m, now);
  m->incarnation = incarnation;
  m->sequence = sequence;
  m->heard_us = now;
  member_set (&m->name, mq_json_span (root, "name", empty));
  member_set (&m->client_address, mq_json_span (root, "client", empty));
  member_set (&m->domain, mq_json_span (root, "domain", empty));
  m->spacing = (unsigned)mq_json_u64 (root, "spacing", 1, NEWS_MOST, 1);
  m->ready = mq_json_bool (root, "ready", false);
  m->store_reached = mq_json_bool (root, "store", false);
  m->routing_version = mq_json_u64 (root, "routing", 0, UINT64_MAX, 0);
  gateway->routing_heard = MAX (gateway->routing_heard, m->routing_version);
  m->follows = mq_json_bool (root, "follows", true);
  m->upstreams_digest = mq_json_u64 (root, "upstreams", 0, UINT64_MAX, 0);
  if (gateway->follow.told && m->follows && m->store_reached
      && m->upstreams_digest == gateway->upstream_list.digest)
    gateway->upstream_feed.fresh_us = now;
  take_tokens (m, root);
  take_sends (m, root);
  take_findings (gateway, root, now);
  take_peers (gateway, root);
}

void
mq_news_on_message (void *context, mq_span bytes)
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
  else if (mq_span_equal (kind, MQ_SPAN ("peers")))
    take_peers (g, &root);
  else if (mq_span_equal (kind, MQ_SPAN ("layers")))
    mq_pass_on_hear_layers (g, &root);
  else if (mq_span_equal (kind, MQ_SPAN ("changes")))
    mq_pass_on_hear_changes (g, &root);
  else if (mq_span_equal (kind, MQ_SPAN ("upstreams")))
    mq_pass_on_hear_upstreams (g, &root);
  else if (mq_span_equal (kind, MQ_SPAN ("routing")))
    mq_gateway_take_routing (g, mq_json_span (&root, "text", MQ_SPAN ("")),
                             "peer");
  mq_json_doc_free (doc);
}
