/* Following the store: the configuration and the upstreams.

   A feed scans its kind once at the start; a router whose part it is
   (mq/follow.h) then follows it, and scans again when the store has forgotten
   the history.  What the store does not tell in time is heard from peers
   (gateway_pass_on.c).

   Invariant: the routing in force never goes back in version within one run
   of the process, and no upstream to an older entry, whoever tells of it.  */

#include <mq/internal/gateway.h>

#include <mq/log.h>

/* How long one follow waits.  A connection that fell silent for good is
   noticed sooner by keep-alive probes (platform.c), and a watch that hangs at
   the store by what others know.  Each call counts.  */
#define FOLLOW_MS 20000
/* The same at whoever watches the configuration, and at the first two routers
   that follow the upstreams: the store may forget its history while all
   watches wait, which then all hang.  What they find, the others hear of,
   within the bound on a change of configuration.  Who asks must not
   hang on who else is thought to: those may just have been cut off.  */
#define FOLLOW_POLL_MS 1500
#define POLLERS 2
/* A follow goes on where it was left for so long; the store may forget its
   history after some more.  */
#define RESUME_US ((uint64_t)5000 * 1000)
/* After events some more are likely (engines that load layers report one
   after another), so the next follow waits a little and takes them at once.
   A tenth of the bound on a change of configuration.  */
#define GATHER_S 0.1
/* The same while many others come up too, all reporting at once, at a router
   that gives no orders: otherwise most calls of a large fleet are made before
   its traffic comes.  */
#define GATHER_CALM_S 0.8
#define STARTING_US ((uint64_t)10 * 1000 * 1000)
#define STARTING_ROUTERS 16
#define AT_ONCE_S 0.
/* After a failure; doubled up to the most.  */
#define AGAIN_FIRST_S 0.1
#define MAX_RETRY_PAUSE_S 1.6

/* A router that leaves off goes on for so long.  Others tell it of changes
   once its news say that it does not follow, a heartbeat later; what changed
   between would come to nobody's mind.  */
#define LEAVE_US ((uint64_t)1000 * 1000)

static void feed_on_reply (void *context, const mq_platform_reply *reply);

static bool
feed_is_routing (const mq_feed *feed)
{
  return feed == &feed->gateway->routing_feed;
}

static mq_store_purpose
feed_purpose (const mq_feed *feed)
{
  switch (feed->state)
    {
    case MQ_FEED_SCANNING:
      return feed_is_routing (feed) ? MQ_STORE_ROUTING_SCAN
                                    : MQ_STORE_UPSTREAM_SCAN;
    case MQ_FEED_FOLLOWING:
      break;
    }
  return feed_is_routing (feed) ? MQ_STORE_ROUTING_FOLLOW
                                : MQ_STORE_UPSTREAM_FOLLOW;
}

static bool
feed_polls (const mq_feed *feed)
{
  return feed_is_routing (feed)
         || mq_cluster_followers_before (&feed->gateway->cluster,
                                         mq_gateway_now_us ())
                < POLLERS;
}

static void
feed_call (mq_feed *feed)
{
  mq_gateway *g = feed->gateway;
  mq_platform_request ask = { .kind = mq_span_from (feed->kind) };

  switch (feed->state)
    {
    case MQ_FEED_SCANNING:
      ask.op = MQ_PLATFORM_SCAN;
      ask.after = mq_str_span (feed->after);
      /* What is some seconds old will do at the start: it costs the store
         little when hundreds start together, and peers tell the rest.  */
      ask.stale = !feed->scanned;
      break;
    case MQ_FEED_FOLLOWING:
      ask.op = MQ_PLATFORM_FOLLOW;
      ask.version = feed->at;
      feed->wait_ms = feed_polls (feed) ? FOLLOW_POLL_MS : FOLLOW_MS;
      ask.wait_ms = feed->wait_ms;
      break;
    }
  mq_gateway_count_store_call (g, feed_purpose (feed));
  feed->call = mq_platform_request_start (g->store, &ask, feed_on_reply, feed);
}

static void
feed_on_again (struct ev_loop *loop, ev_timer *timer, int revents)
{
  mq_feed *feed = timer->data;

  (void)loop;
  (void)revents;
  if (feed->call == NULL)
    feed_call (feed);
}

static void
feed_again (mq_feed *feed, double seconds)
{
  ev_timer_stop (feed->gateway->loop, &feed->again);
  ev_timer_set (&feed->again, seconds, 0.);
  ev_timer_start (feed->gateway->loop, &feed->again);
}

/* Take N ENTRIES of the store's, and tell others of upstreams that are news.
 */
static void
feed_take (mq_feed *feed, const mq_platform_entry *entries, size_t n)
{
  mq_gateway *g = feed->gateway;
  GArray *news = g_array_new (FALSE, TRUE, sizeof (mq_platform_entry));

  for (size_t i = 0; i < n; i++)
    {
      const mq_platform_entry *e = &entries[i];

      if (feed->seen != NULL && !e->deleted)
        g_hash_table_add (feed->seen, g_strndup (e->name.data, e->name.size));
      if (!feed_is_routing (feed))
        {
          if (mq_gateway_take_upstream (g, e))
            g_array_append_val (news, *e);
        }
      else if (!e->deleted
               && mq_span_equal (
                   e->name,
                   mq_span_from (g->dialect->kinds.configuration_name)))
        mq_gateway_take_routing (g, e->value, "store", MQ_SCOPE_FLEET);
    }
  if (news->len > 0)
    mq_gateway_propagate_upstreams (
        g, (const mq_platform_entry *)(void *)news->data, news->len);
  g_array_unref (news);
}

/* Wait SECONDS and go on, if this router follows the store, or did a moment
   ago.  */
static void
feed_go_on (mq_feed *feed, double seconds)
{
  if (feed->follow.follows || feed->leave_us > 0)
    feed_again (feed, seconds);
}

/* What was there when the scan began, and was not seen, is gone.  */
static void
feed_end_scan (mq_feed *feed)
{
  mq_gateway *g = feed->gateway;

  if (!feed_is_routing (feed))
    mq_gateway_end_list (g, feed->seen, feed->at);
  g_clear_pointer (&feed->seen, g_hash_table_unref);
  g_clear_pointer (&feed->after, mq_str_unref);
  feed->scanned = true;
  feed->state = MQ_FEED_FOLLOWING;
  feed_go_on (feed, AT_ONCE_S);
}

static void
feed_take_scan (mq_feed *feed, const mq_platform_reply *reply)
{
  if (feed->seen == NULL)
    {
      feed->seen
          = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
      feed->at = reply->at; /* Changes while further pages come count.  */
    }
  feed_take (feed, reply->entries, reply->n_entries);
  if (!reply->has_more || reply->n_entries == 0)
    {
      feed_end_scan (feed);
      return;
    }
  mq_str_unref (feed->after);
  feed->after = mq_str_new (reply->entries[reply->n_entries - 1].name);
  feed_again (feed, AT_ONCE_S);
}

/* How long FEED waits for more events after some.  */
static double
feed_gather (const mq_feed *feed)
{
  const mq_gateway *g = feed->gateway;
  bool starting = mq_gateway_now_us () < g->started_us + STARTING_US
                  && g_hash_table_size (g->cluster.routers) > STARTING_ROUTERS;

  return starting && !g->leads && !feed_is_routing (feed) ? GATHER_CALM_S
                                                          : GATHER_S;
}

static void
feed_take_events (mq_feed *feed, const mq_platform_reply *reply)
{
  feed->at = MAX (feed->at, reply->at);
  feed_take (feed, reply->entries, reply->n_entries);
  feed_go_on (feed, reply->n_entries > 0 ? feed_gather (feed) : AT_ONCE_S);
}

static void
feed_failed (mq_feed *feed, mq_platform_result result)
{
  double wait = AGAIN_FIRST_S;

  if (feed->failures++ == 0)
    mq_log (G_LOG_LEVEL_WARNING, "store.lost", "kind=%s result=%s", feed->kind,
            mq_platform_result_name (result));
  for (unsigned i = 1; i < feed->failures && wait < MAX_RETRY_PAUSE_S; i++)
    wait *= 2;
  feed_again (feed, MIN (wait, MAX_RETRY_PAUSE_S));
}

static void
feed_rescan (mq_feed *feed)
{
  mq_log (G_LOG_LEVEL_WARNING, "store.history-lost",
          "kind=%s at=%" G_GUINT64_FORMAT, feed->kind, feed->at);
  feed->state = MQ_FEED_SCANNING;
  g_clear_pointer (&feed->seen, g_hash_table_unref);
  g_clear_pointer (&feed->after, mq_str_unref);
  feed_again (feed, AT_ONCE_S);
}

static void
feed_on_reply (void *context, const mq_platform_reply *reply)
{
  mq_feed *feed = context;

  feed->call = NULL;
  if (reply->result == MQ_PLATFORM_FORGOTTEN)
    {
      feed_rescan (feed);
      return;
    }
  if (reply->result != MQ_PLATFORM_OK)
    {
      feed_failed (feed, reply->result);
      return;
    }
  if (feed->failures > 0)
    {
      mq_log (G_LOG_LEVEL_INFO, "store.back", "kind=%s failures=%u",
              feed->kind, feed->failures);
      feed->gateway->store_back_us = mq_gateway_now_us ();
    }
  feed->failures = 0;
  feed->fresh_us = mq_gateway_now_us ();
  if (reply->op == MQ_PLATFORM_SCAN)
    feed_take_scan (feed, reply);
  else
    feed_take_events (feed, reply);
}

void
mq_feed_start (mq_feed *feed, mq_gateway *gateway, const char *kind)
{
  feed->gateway = gateway;
  feed->kind = kind;
  feed->state = MQ_FEED_SCANNING;
  ev_timer_init (&feed->again, feed_on_again, 0., 0.);
  feed->again.data = feed;
  feed_call (feed);
}

uint64_t
mq_feed_age_ms (const mq_feed *feed, uint64_t now_us)
{
  return (now_us - MAX (feed->fresh_us, feed->told_us)) / 1000;
}

void
mq_feed_leave (mq_feed *feed)
{
  feed->leave_us = mq_gateway_now_us () + LEAVE_US;
  /* The next heartbeat says so.  */
  feed->gateway->reported_us = 0;
}

void
mq_feed_tick (mq_feed *feed, uint64_t now_us)
{
  if (feed->leave_us > 0 && now_us >= feed->leave_us)
    mq_feed_stop (feed);
}

void
mq_feed_resume (mq_feed *feed)
{
  bool recent
      = feed->scanned && mq_gateway_now_us () - feed->fresh_us < RESUME_US;

  feed->resumed_us = mq_gateway_now_us ();
  feed->leave_us = 0;
  if (feed->call != NULL)
    return; /* Its first scan; it goes on by itself.  */
  if (!recent)
    feed->state = MQ_FEED_SCANNING;
  feed_call (feed);
}

void
mq_feed_restart (mq_feed *feed)
{
  mq_feed_stop (feed);
  feed_call (feed);
}

void
mq_feed_refresh (mq_feed *feed)
{
  mq_feed_stop (feed);
  feed->state = MQ_FEED_SCANNING;
  feed_call (feed);
}

void
mq_feed_stop (mq_feed *feed)
{
  if (feed->gateway == NULL)
    return;
  ev_timer_stop (feed->gateway->loop, &feed->again);
  if (feed->call != NULL)
    mq_platform_cancel (feed->call);
  feed->call = NULL;
  feed->leave_us = 0;
  g_clear_pointer (&feed->seen, g_hash_table_unref);
  g_clear_pointer (&feed->after, mq_str_unref);
}

void
mq_gateway_take_routing (mq_gateway *gateway, mq_span text, const char *source,
                         mq_propagation_scope scope)
{
  GError *error = NULL;
  mq_routing *r = gateway->dialect->routing_decode (text, &error);
  uint64_t before = gateway->routing ? gateway->routing->version : 0;

  if (r == NULL)
    {
      mq_log (G_LOG_LEVEL_WARNING, "configuration.unusable",
              "source=%s error=%s", source, mq_log_quote (error->message));
      g_error_free (error);
      return;
    }
  if (gateway->routing != NULL && r->version <= before)
    {
      mq_routing_unref (r);
      return;
    }
  mq_routing_unref (gateway->routing);
  gateway->routing = r;
  gateway->own_lag = (mq_lag){ 0, 0 };
  gateway->routing_since_us = mq_gateway_now_us ();
  mq_str_unref (gateway->routing_text);
  gateway->routing_text = mq_str_new (text);
  mq_log (G_LOG_LEVEL_INFO, "configuration.in-force",
          "version=%" G_GUINT64_FORMAT " before=%" G_GUINT64_FORMAT
          " source=%s routes=%u",
          r->version, before, source, r->routes->len);
  /* The next heartbeat says so, lest it be told again.  */
  gateway->reported_us = 0;
  mq_gateway_propagate_routing (gateway, scope);
}

void
mq_gateway_end_list (mq_gateway *gateway, GHashTable *seen, uint64_t at)
{
  GHashTableIter i;
  gpointer id;
  gpointer value;

  g_hash_table_iter_init (&i, gateway->upstream_list.entries);
  while (g_hash_table_iter_next (&i, &id, &value))
    if (((const mq_entry *)value)->version > at)
      g_hash_table_add (seen, g_strdup (id));
  mq_registry_retain (&gateway->registry, seen);
  mq_entry_list_keep (&gateway->upstream_list, seen);
  gateway->upstreams_known = true;
}

/* ENTRY says that its upstream is gone, or names nothing to use.  */
static void
upstream_drop (mq_gateway *gateway, const mq_platform_entry *entry)
{
  mq_entry_list_remove (&gateway->upstream_list, entry->name, entry->version);
  mq_registry_remove (&gateway->registry, entry->name);
}

bool
mq_gateway_take_upstream (mq_gateway *gateway, const mq_platform_entry *entry)
{
  mq_upstream_facts facts;
  GError *error = NULL;

  if (!mq_entry_list_is_newer (&gateway->upstream_list, entry->name,
                               entry->version, entry->deleted))
    return false;
  if (entry->deleted)
    {
      mq_log (G_LOG_LEVEL_INFO, "upstream.left",
              "upstream=%.*s revision=%" G_GUINT64_FORMAT,
              MQ_SPAN_ARG (entry->name), entry->version);
      upstream_drop (gateway, entry);
      return true;
    }
  if (gateway->dialect->upstream_decode (entry->name, entry->value, &facts,
                                         &error)
      < 0)
    {
      mq_log (G_LOG_LEVEL_WARNING, "upstream.unusable",
              "upstream=%.*s error=%s", MQ_SPAN_ARG (entry->name),
              mq_log_quote (error->message));
      g_error_free (error);
      /* Whoever wrote it, it names nothing to use from now on.  */
      upstream_drop (gateway, entry);
      return true;
    }
  mq_entry_list_put (&gateway->upstream_list, entry->name, entry->version,
                     entry->value);
  mq_log (G_LOG_LEVEL_INFO, "upstream.state",
          "upstream=%.*s revision=%" G_GUINT64_FORMAT
          " address=%s domain=%s layers=%u-%u draining=%d",
          MQ_SPAN_ARG (entry->name), entry->version,
          mq_str_cstr (facts.address), mq_str_cstr (facts.domain),
          facts.layer_first, facts.layer_end, facts.draining);
  mq_registry_put (&gateway->registry, &facts, mq_gateway_now_us ());
  return true;
}
