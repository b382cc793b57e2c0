/* Following the store: the configuration and the upstreams.

   A feed scans its kind once and then follows it.  It scans again when the
   store has forgotten the history.  What the store does not tell in time is
   heard from peers (gateway_members.c).

   Invariant: the routing in force never goes back in version within one run
   of the process, whoever tells of an older one.  */

#include <mq/internal/gateway.h>

#include <mq/log.h>

/* How long one follow waits.  A connection that fell silent for good is
   noticed after this and the client's time-out, 3.5 s; a longer wait would
   save calls that cost little, but leave changes unseen.  */
#define FOLLOW_MS 2500
/* The same for the configuration, at a router that others tell of the
   upstreams: these tell it of a newer configuration too, should its own
   connection have fallen silent (mq/pass_on.h).  */
#define FOLLOW_TOLD_MS 10000
/* After events some more are likely (engines that load layers report one
   after another), so the next follow waits a little and takes them at once.
   A tenth of the bound on a change of configuration.  */
#define GATHER_S 0.1
/* The same while many others come up too, all reporting at once, and at a
   router that need not hear sooner, since others that follow come first.  A
   drain leaves two seconds.  At 73 routers three quarters of a calm day's
   calls came before the traffic did (2,970 of 3,990).  */
#define GATHER_CALM_S 0.5
#define STARTING_US ((uint64_t)3000 * 1000)
#define STARTING_ROUTERS 16
#define AT_ONCE_S 0.
/* After a failure; doubled up to the most.  */
#define AGAIN_FIRST_S 0.1
#define AGAIN_MOST_S 0.8

static void feed_on_reply (void *context, const mq_platform_reply *reply);

static void
feed_call (mq_feed *feed)
{
  mq_gateway *g = feed->gateway;
  mq_platform_ask ask = { .kind = mq_span_from (feed->kind) };

  switch (feed->state)
    {
    case MQ_FEED_SCANNING:
      ask.op = MQ_PLATFORM_SCAN;
      ask.after = mq_str_span (feed->after);
      break;
    case MQ_FEED_FOLLOWING:
      ask.op = MQ_PLATFORM_FOLLOW;
      ask.version = feed->at;
      feed->wait_ms = g->follow.told ? FOLLOW_TOLD_MS : FOLLOW_MS;
      ask.wait_ms = feed->wait_ms;
      break;
    }
  ++*g->counters.store_calls;
  feed->call = mq_platform_ask_start (g->store, &ask, feed_on_reply, feed);
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

static bool
feed_is_routing (const mq_feed *feed)
{
  return feed == &feed->gateway->routing_feed;
}

static void
feed_take (mq_feed *feed, const mq_platform_entry *entry)
{
  mq_gateway *g = feed->gateway;

  if (feed->seen != NULL && !entry->deleted)
    g_hash_table_add (feed->seen,
                      g_strndup (entry->name.data, entry->name.size));
  if (!feed_is_routing (feed))
    {
      mq_gateway_take_upstream (g, entry->name, entry->version, entry->value,
                                entry->deleted);
      return;
    }
  if (!entry->deleted
      && mq_span_equal (entry->name,
                        mq_span_from (g->dialect->kinds.configuration_name)))
    mq_gateway_take_routing (g, entry->value, "store");
}

static void
feed_end_scan (mq_feed *feed)
{
  mq_gateway *g = feed->gateway;

  if (!feed_is_routing (feed))
    {
      mq_gateway_keep_upstreams (g, feed->seen);
    }
  g_clear_pointer (&feed->seen, g_hash_table_unref);
  g_clear_pointer (&feed->after, mq_str_unref);
  feed->state = MQ_FEED_FOLLOWING;
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
  for (size_t i = 0; i < reply->n_entries; i++)
    feed_take (feed, &reply->entries[i]);
  if (!reply->has_more || reply->n_entries == 0)
    {
      feed_end_scan (feed);
      feed_again (feed, AT_ONCE_S);
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
  uint64_t now = mq_gateway_now_us ();

  if (feed_is_routing (feed))
    return GATHER_S;
  return (now < g->started_us + STARTING_US
          && g_hash_table_size (g->members) > STARTING_ROUTERS)
                 || !mq_follow_tells (&g->follow,
                                      mq_members_followers_before (g, now))
             ? GATHER_CALM_S
             : GATHER_S;
}

static void
feed_take_events (mq_feed *feed, const mq_platform_reply *reply)
{
  for (size_t i = 0; i < reply->n_entries; i++)
    feed_take (feed, &reply->entries[i]);
  if (!feed_is_routing (feed))
    mq_pass_on_changes (feed->gateway, reply->entries, reply->n_entries);
  feed->at = MAX (feed->at, reply->at);
  feed_again (feed, reply->n_entries > 0 ? feed_gather (feed) : AT_ONCE_S);
}

static void
feed_failed (mq_feed *feed, mq_platform_result result)
{
  double wait = AGAIN_FIRST_S;

  if (feed->failures++ == 0)
    mq_log (G_LOG_LEVEL_WARNING, "store.lost", "kind=%s result=%s", feed->kind,
            mq_platform_result_name (result));
  for (unsigned i = 1; i < feed->failures && wait < AGAIN_MOST_S; i++)
    wait *= 2;
  feed_again (feed, MIN (wait, AGAIN_MOST_S));
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
  if (!feed_is_routing (feed))
    feed->gateway->upstreams_at = feed->at;
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
  g_clear_pointer (&feed->seen, g_hash_table_unref);
  g_clear_pointer (&feed->after, mq_str_unref);
}

void
mq_gateway_take_routing (mq_gateway *gateway, mq_span text, const char *source)
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
}

void
mq_gateway_keep_upstreams (mq_gateway *gateway, GHashTable *seen)
{
  mq_registry_keep (&gateway->registry, seen);
  mq_entry_list_keep (&gateway->upstream_list, seen);
  gateway->upstreams_known = true;
}

void
mq_gateway_take_upstream (mq_gateway *gateway, mq_span id, uint64_t version,
                          mq_span value, bool deleted)
{
  mq_upstream_facts facts;
  GError *error = NULL;

  if (deleted)
    {
      mq_entry_list_remove (&gateway->upstream_list, id, version);
      mq_log (G_LOG_LEVEL_INFO, "upstream.left", "upstream=%.*s",
              MQ_SPAN_ARG (id));
      mq_registry_remove (&gateway->registry, id);
      return;
    }
  if (gateway->dialect->upstream_decode (id, value, &facts, &error) < 0)
    {
      mq_log (G_LOG_LEVEL_WARNING, "upstream.unusable",
              "upstream=%.*s error=%s", MQ_SPAN_ARG (id),
              mq_log_quote (error->message));
      g_error_free (error);
      /* Whoever wrote it, it names nothing to use from now on.  */
      mq_entry_list_remove (&gateway->upstream_list, id, version);
      mq_registry_remove (&gateway->registry, id);
      return;
    }
  mq_entry_list_put (&gateway->upstream_list, id, version, value);
  mq_log (G_LOG_LEVEL_INFO, "upstream.state",
          "upstream=%.*s address=%s domain=%s layers=%u-%u draining=%d",
          MQ_SPAN_ARG (id), mq_str_cstr (facts.address),
          mq_str_cstr (facts.domain), facts.layer_first, facts.layer_end,
          facts.draining);
  mq_registry_put (&gateway->registry, &facts, mq_gateway_now_us ());
}
