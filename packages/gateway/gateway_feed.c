/* Feeds: the configuration and the upstreams, read from the store.

   A feed scans its kind once at the start.  A router that is a follower
   (mq/follow.h) then watches it for changes, and scans again when the store
   has compacted its history.  What the store does not deliver in time arrives
   from peers (gateway_propagation.c).

   A follower whose reply is overdue, or whose calls fail, says so to the
   others at once, and they follow in its place (mq/follow.h).  One follower of
   the upstreams polls, so that it notices soon; the others take its place with
   a call that the store answers at once.

   Invariant: within one run of the process, neither the configuration in force
   nor the entry of an upstream is replaced by an older version, whatever its
   source.  */

#include <mq/internal/gateway.h>

#include <mq/internal/gateway_urgency.h>
#include <mq/log.h>

/* How long the store may hold one follow call.  Calls are charged, so this is
   long.  Keep-alive probes (platform.c) detect a dead connection sooner, and
   newer versions in gossip reveal a watch that hangs in the store.  */
#define FOLLOW_WAIT_MS 20000
/* The same for configuration feeds.  When the store compacts its history, all
   waiting watches may hang; these routers notice and notify the others within
   the bound on a change of configuration.  All poll, since other pollers may
   just have been cut off.  */
#define ROUTING_POLL_WAIT_MS 1500
/* The same for the first follower of the upstreams, on which the others rely
   to find out that the store no longer answers.  */
#define UPSTREAM_POLL_WAIT_MS 800
/* The same to find out at once whether the store answers.  */
#define VERIFY_WAIT_MS 1
/* Consecutive failures after which the store counts as lost.  One may only
   mean that the store ended its watches.  */
#define FAILURES_TO_DOUBT 2
/* A feed that stopped less than this ago resumes from its last revision; the
   store keeps its history for somewhat longer.  */
#define RESUME_WINDOW_US ((uint64_t)5000 * 1000)
/* Delay before the next follow after one that returned changes.  More are
   likely, since engines that load layers report one after another, and one
   call then returns them together.  A tenth of the bound on a change of
   configuration.  */
#define GATHER_DELAY_S 0.1
/* The same for the upstreams at a router that is not the leader, while a
   large fleet starts: all engines report then, and shorter delays would cost
   most of the fleet's calls before traffic begins.  */
#define GATHER_STARTING_DELAY_S 0.8
/* The same while a service is not known yet that was probably served before:
   its first send should follow the return of its engines within 0.3 s.  */
#define GATHER_UNKNOWN_DELAY_S 0.2
#define STARTING_PERIOD_US ((uint64_t)10 * 1000 * 1000)
#define STARTING_MIN_ROUTERS 16
#define NO_DELAY_S 0.
/* Between two scans because of entries without a name.  */
#define UNNAMED_SCAN_INTERVAL_US ((uint64_t)5000 * 1000)
/* Of an entry, in the log.  */
#define MAX_EXCERPT_BYTES 64
/* Delay after a failed call, doubled at each further failure up to
   MAX_RETRY_DELAY_S.  */
#define MIN_RETRY_DELAY_S 0.1
#define MAX_RETRY_DELAY_S 1.6

/* A router that ceases to be a follower keeps its watch for this long.  Others
   send it changes only once its gossip says that it no longer follows, a
   heartbeat later; it would miss changes between.  */
#define LINGER_US ((uint64_t)1000 * 1000)

/* A reply is overdue when it comes this much later than the store may hold the
   call.  It exceeds the reply time of a store that is slow.  */
#define REPLY_MARGIN_US ((uint64_t)250 * 1000)

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

/* Returns how long the store may hold a follow call of FEED, in ms.  */
static unsigned
feed_wait_ms (const mq_feed *feed)
{
  const mq_cluster *cluster = &feed->gateway->cluster;

  if (feed_is_routing (feed))
    return ROUTING_POLL_WAIT_MS;
  return mq_cluster_count_followers_before (cluster, mq_gateway_now_us ()) == 0
             ? UPSTREAM_POLL_WAIT_MS
             : FOLLOW_WAIT_MS;
}

static void
feed_call (mq_feed *feed)
{
  mq_gateway *g = feed->gateway;
  mq_platform_request request = { .kind = mq_span_from (feed->kind) };

  switch (feed->state)
    {
    case MQ_FEED_SCANNING:
      request.op = MQ_PLATFORM_SCAN;
      request.after = mq_str_span (feed->after);
      /* A stale read suffices at the start: it is cheap for the store when
         hundreds of routers start together, and peers send newer versions. */
      request.stale = !feed->scanned || feed->rereads;
      break;
    case MQ_FEED_FOLLOWING:
      request.op = MQ_PLATFORM_FOLLOW;
      request.version = feed->revision;
      feed->wait_ms = feed->verifies ? VERIFY_WAIT_MS : feed_wait_ms (feed);
      request.wait_ms = feed->wait_ms;
      break;
    }
  mq_gateway_count_store_call (g, feed_purpose (feed));
  feed->called_us = mq_gateway_now_us ();
  feed->logged_overdue = false;
  feed->call
      = mq_platform_request_start (g->store, &request, feed_on_reply, feed);
}

static void
feed_on_call_timer (struct ev_loop *loop, ev_timer *timer, int revents)
{
  mq_feed *feed = timer->data;

  (void)loop;
  (void)revents;
  if (feed->call == NULL)
    feed_call (feed);
}

static void
feed_schedule_call (mq_feed *feed, double seconds)
{
  ev_timer_stop (feed->gateway->loop, &feed->call_timer);
  ev_timer_set (&feed->call_timer, seconds, 0.);
  ev_timer_start (feed->gateway->loop, &feed->call_timer);
}

/* Upstreams that the store sent in one reply (mq_platform_entry, borrowed) and
   that are to be propagated.  */
typedef struct feed_changes
{
  GArray *new_here;
  GArray *confirmed; /* Another router sent them before, and may have reached
                        few others.  */
} feed_changes;

static void
feed_apply_upstream (mq_feed *feed, const mq_platform_entry *entry,
                     feed_changes *changes)
{
  mq_gateway *g = feed->gateway;
  mq_platform_entry e = *entry;
  bool is_new = mq_gateway_apply_upstream (g, &e, "store");
  bool confirmed = mq_entry_list_confirm (&g->upstream_list, e.name, e.version,
                                          e.deleted);

  if (is_new)
    g_array_append_val (changes->new_here, e);
  else if (confirmed && feed->state == MQ_FEED_FOLLOWING)
    g_array_append_val (changes->confirmed, e);
}

static const mq_platform_entry *
entries_data (const GArray *entries)
{
  return (const mq_platform_entry *)(void *)entries->data;
}

/* Apply N ENTRIES from the store and propagate the upstreams that changed.  */
static void
feed_apply (mq_feed *feed, const mq_platform_entry *entries, size_t n)
{
  mq_gateway *g = feed->gateway;
  feed_changes changes
      = { g_array_new (FALSE, TRUE, sizeof (mq_platform_entry)),
          g_array_new (FALSE, TRUE, sizeof (mq_platform_entry)) };

  for (size_t i = 0; i < n; i++)
    {
      const mq_platform_entry *e = &entries[i];

      if (feed->seen != NULL && !e->deleted)
        g_hash_table_add (feed->seen, g_strndup (e->name.data, e->name.size));
      if (!feed_is_routing (feed))
        feed_apply_upstream (feed, e, &changes);
      else if (!e->deleted
               && mq_span_equal (
                   e->name,
                   mq_span_from (g->dialect->kinds.configuration_name)))
        mq_gateway_apply_routing (g, e->value, "store", MQ_SCOPE_FLEET);
    }
  if (changes.new_here->len > 0)
    mq_gateway_propagate_upstreams (g, entries_data (changes.new_here),
                                    changes.new_here->len);
  if (changes.confirmed->len > 0)
    mq_gateway_propagate_confirmed (g, entries_data (changes.confirmed),
                                    changes.confirmed->len);
  g_array_unref (changes.new_here);
  g_array_unref (changes.confirmed);
}

/* Make the next call after SECONDS if this router follows the store or lingers
   after doing so.  */
static void
feed_continue (mq_feed *feed, double seconds)
{
  if (feed->follow.follows || feed->linger_until_us > 0)
    feed_schedule_call (feed, seconds);
}

/* Remove the upstreams that the scan of FEED did not name, and propagate that.
   The version of a removal is not known; that of the entry suffices to remove
   it elsewhere, and makes no other list appear older than this one.  */
static void
feed_remove_missing (mq_feed *feed)
{
  mq_gateway *g = feed->gateway;
  GStringChunk *names = g_string_chunk_new (256);
  GArray *removed = g_array_new (FALSE, TRUE, sizeof (mq_platform_entry));
  GHashTableIter i;
  gpointer id;
  gpointer value;

  g_hash_table_iter_init (&i, g->upstream_list.entries);
  while (g_hash_table_iter_next (&i, &id, &value))
    {
      const mq_entry *known = value;
      mq_platform_entry e = { .version = known->version, .deleted = true };

      if (known->version > feed->revision
          || g_hash_table_contains (feed->seen, id))
        continue;
      e.name = mq_span_from (g_string_chunk_insert (names, id));
      g_array_append_val (removed, e);
    }
  if (removed->len > 0)
    feed_apply (feed, (const mq_platform_entry *)(void *)removed->data,
                removed->len);
  g_array_unref (removed);
  g_string_chunk_free (names);
}

/* Complete a scan: remove what it did not name.  */
static void
feed_finish_scan (mq_feed *feed)
{
  mq_gateway *g = feed->gateway;

  if (!feed_is_routing (feed))
    {
      feed_remove_missing (feed);
      mq_gateway_prune_upstreams (g, feed->seen, feed->revision, "store");
      mq_gateway_view_note_list (g, MQ_VIEW_SOURCE_STORE);
    }
  g_clear_pointer (&feed->seen, g_hash_table_unref);
  g_clear_pointer (&feed->after, mq_str_unref);
  feed->scanned = true;
  feed->rereads = false;
  feed->state = MQ_FEED_FOLLOWING;
  feed_continue (feed, NO_DELAY_S);
}

/* End a scan of mq_feed_reread that is incomplete.  A follow call has to begin
   where the last complete scan did, since this one pruned nothing and may not
   have named all changes since.  */
static void
feed_abandon_reread (mq_feed *feed)
{
  feed->rereads = false;
  feed->state = MQ_FEED_FOLLOWING;
  feed->revision = feed->reread_from;
  g_clear_pointer (&feed->seen, g_hash_table_unref);
  g_clear_pointer (&feed->after, mq_str_unref);
}

/* Returns true if the reply to a scan says that more entries follow, but not
   after which name.  */
static bool
feed_is_stuck (const mq_feed *feed, const mq_platform_reply *reply)
{
  return reply->has_more
         && (reply->n_entries == 0
             || mq_span_equal (reply->entries[reply->n_entries - 1].name,
                               mq_str_span (feed->after)));
}

static void
feed_receive_scan (mq_feed *feed, const mq_platform_reply *reply)
{
  if (feed->seen == NULL)
    {
      feed->seen
          = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
      feed->revision = reply->at; /* Follow changes made during the scan.  */
    }
  feed_apply (feed, reply->entries, reply->n_entries);
  if (!reply->has_more)
    {
      feed_finish_scan (feed);
      return;
    }
  if (feed->rereads && !feed->follow.follows
      && !mq_gateway_view_may_read_page (feed->gateway))
    {
      feed_abandon_reread (feed);
      return;
    }
  mq_str_unref (feed->after);
  feed->after = mq_str_new (reply->entries[reply->n_entries - 1].name);
  feed_schedule_call (feed, NO_DELAY_S);
}

/* Delay in seconds before the next follow after one that returned changes.  */
static double
feed_gather_delay (const mq_feed *feed)
{
  mq_gateway *g = feed->gateway;
  bool starting
      = mq_gateway_now_us () < g->started_us + STARTING_PERIOD_US
        && g_hash_table_size (g->cluster.routers) > STARTING_MIN_ROUTERS;

  if (!starting || g->leads || feed_is_routing (feed))
    return GATHER_DELAY_S;
  return mq_gateway_view_gather_is_short (g, mq_gateway_now_us ())
             ? GATHER_UNKNOWN_DELAY_S
             : GATHER_STARTING_DELAY_S;
}

static void
feed_receive_changes (mq_feed *feed, const mq_platform_reply *reply)
{
  feed->revision = MAX (feed->revision, reply->at);
  feed_apply (feed, reply->entries, reply->n_entries);
  feed_continue (feed,
                 reply->n_entries > 0 ? feed_gather_delay (feed) : NO_DELAY_S);
}

static void
feed_note_failure (mq_feed *feed, mq_platform_result result)
{
  double delay = MIN_RETRY_DELAY_S;

  feed->verifies = true;
  if (feed->failures++ == 0 && result != MQ_PLATFORM_UNREADABLE)
    mq_log (G_LOG_LEVEL_WARNING, "store.lost", "kind=%s result=%s", feed->kind,
            mq_platform_result_name (result));
  if (feed->failures >= FAILURES_TO_DOUBT)
    feed->in_doubt = true;
  for (unsigned i = 1; i < feed->failures && delay < MAX_RETRY_DELAY_S; i++)
    delay *= 2;
  feed_schedule_call (feed, MIN (delay, MAX_RETRY_DELAY_S));
}

/* Begin a scan with the next call.  */
static void
feed_begin_scan (mq_feed *feed)
{
  feed->state = MQ_FEED_SCANNING;
  g_clear_pointer (&feed->seen, g_hash_table_unref);
  g_clear_pointer (&feed->after, mq_str_unref);
}

static void
feed_rescan (mq_feed *feed)
{
  mq_log (G_LOG_LEVEL_WARNING, "store.history-lost",
          "kind=%s at=%" G_GUINT64_FORMAT, feed->kind, feed->revision);
  feed_begin_scan (feed);
  feed_schedule_call (feed, NO_DELAY_S);
}

/* Returns true if ENTRY takes an upstream of FEED away from new requests.  */
static bool
feed_entry_withdraws (const mq_feed *feed, const mq_platform_entry *entry)
{
  mq_upstream_facts facts;
  bool draining;

  if (entry->deleted)
    return true;
  if (feed_is_routing (feed))
    return false;
  if (feed->gateway->dialect->upstream_decode (entry->name, entry->value,
                                               &facts, NULL)
      < 0)
    return true;
  draining = facts.draining;
  mq_upstream_facts_finish (&facts);
  return draining;
}

/* Apply those entries of REPLY, which is unreadable as a whole, that withdraw
   nothing.  */
static void
feed_apply_additions (mq_feed *feed, const mq_platform_reply *reply)
{
  GArray *added = g_array_new (FALSE, TRUE, sizeof (mq_platform_entry));

  for (size_t i = 0; i < reply->n_entries; i++)
    if (!feed_entry_withdraws (feed, &reply->entries[i]))
      g_array_append_val (added, reply->entries[i]);
  feed_apply (feed, entries_data (added), added->len);
  g_array_unref (added);
}

/* The store has answered, but its reply can't be read as a whole.  What could
   be read is used, but withdraws nothing.  The same call may give the same
   reply again, so that a follower scans, and goes on from there.  */
static void
feed_receive_unreadable (mq_feed *feed, const mq_platform_reply *reply)
{
  feed->unreadable_replies++;
  mq_gateway_note_unreadable (feed->gateway, feed->kind, reply,
                              feed->unreadable_replies);
  feed_apply_additions (feed, reply);
  feed_begin_scan (feed);
  /* The scans between such replies succeed.  */
  feed->failures = MAX (feed->failures, feed->unreadable_replies - 1);
  feed_note_failure (feed, reply->result);
}

/* Handle the entries of REPLY that have no name.  After a change of one a
   follower scans, but not at each: it may have been an upstream, which the
   scan removes.  */
static void
feed_handle_unnamed (mq_feed *feed, const mq_platform_reply *reply)
{
  uint64_t now = mq_gateway_now_us ();

  mq_gateway_note_unnamed (feed->gateway, feed->kind, reply);
  if (reply->n_unnamed == 0 || reply->op != MQ_PLATFORM_FOLLOW
      || now < feed->unnamed_us + UNNAMED_SCAN_INTERVAL_US)
    return;
  feed->unnamed_us = now;
  feed_begin_scan (feed);
}

static void
feed_on_reply (void *context, const mq_platform_reply *reply)
{
  mq_feed *feed = context;
  bool unreadable
      = reply->result == MQ_PLATFORM_UNREADABLE
        || (reply->op == MQ_PLATFORM_SCAN && feed_is_stuck (feed, reply));

  feed->call = NULL;
  if ((unreadable || reply->result != MQ_PLATFORM_OK) && feed->rereads
      && !feed->follow.follows)
    {
      feed_abandon_reread (feed);
      return;
    }
  if (reply->result == MQ_PLATFORM_HISTORY_EXPIRED)
    {
      feed_rescan (feed);
      return;
    }
  if (unreadable)
    {
      feed_receive_unreadable (feed, reply);
      return;
    }
  if (reply->result != MQ_PLATFORM_OK)
    {
      feed_note_failure (feed, reply->result);
      return;
    }
  if (feed->failures > 0)
    {
      mq_log (G_LOG_LEVEL_INFO, "store.back", "kind=%s failures=%u",
              feed->kind, feed->failures);
      feed->gateway->store_recovered_us = mq_gateway_now_us ();
    }
  feed->failures = 0;
  feed->in_doubt = false;
  feed->verifies = false;
  feed->last_reply_us = mq_gateway_now_us ();
  feed_handle_unnamed (feed, reply);
  if (reply->op == MQ_PLATFORM_SCAN)
    {
      feed_receive_scan (feed, reply);
      return;
    }
  feed->unreadable_replies = 0;
  feed_receive_changes (feed, reply);
}

void
mq_feed_start (mq_feed *feed, mq_gateway *gateway, const char *kind)
{
  feed->gateway = gateway;
  feed->kind = kind;
  feed->state = MQ_FEED_SCANNING;
  ev_timer_init (&feed->call_timer, feed_on_call_timer, 0., 0.);
  feed->call_timer.data = feed;
  feed_call (feed);
}

uint64_t
mq_feed_age_ms (const mq_feed *feed, uint64_t now_us)
{
  return (now_us - MAX (feed->last_reply_us, feed->confirmed_us)) / 1000;
}

void
mq_feed_stop_later (mq_feed *feed)
{
  feed->linger_until_us = mq_gateway_now_us () + LINGER_US;
  /* Announce it at the next heartbeat.  */
  feed->gateway->reported_us = 0;
}

bool
mq_feed_is_overdue (const mq_feed *feed, uint64_t now_us)
{
  uint64_t held_us
      = feed->state == MQ_FEED_FOLLOWING ? (uint64_t)feed->wait_ms * 1000 : 0;

  return feed->call != NULL
         && now_us > feed->called_us + held_us + REPLY_MARGIN_US;
}

bool
mq_feed_is_in_doubt (const mq_feed *feed)
{
  return feed->follow.follows && feed->in_doubt;
}

static void
feed_note_overdue (mq_feed *feed, uint64_t now_us)
{
  if (feed->logged_overdue || !mq_feed_is_overdue (feed, now_us))
    return;
  feed->logged_overdue = true;
  feed->in_doubt = true;
  mq_log (G_LOG_LEVEL_WARNING, "store.overdue",
          "kind=%s waited_ms=%" G_GUINT64_FORMAT, feed->kind,
          (now_us - feed->called_us) / 1000);
}

/* Returns true if the call of FEED waits for longer than one would that began
   now, as the router that polled in its place is gone or has lost the store.
 */
static bool
feed_takes_over (const mq_feed *feed)
{
  return feed->follow.follows && feed->state == MQ_FEED_FOLLOWING
         && feed->call != NULL && feed->wait_ms > feed_wait_ms (feed);
}

void
mq_feed_tick (mq_feed *feed, uint64_t now_us)
{
  feed_note_overdue (feed, now_us);
  if (feed_takes_over (feed))
    {
      feed->verifies = true;
      mq_feed_restart (feed);
    }
  if (feed->linger_until_us > 0 && now_us >= feed->linger_until_us)
    mq_feed_stop (feed);
}

void
mq_feed_resume (mq_feed *feed)
{
  bool recent
      = feed->scanned
        && mq_gateway_now_us () - feed->last_reply_us < RESUME_WINDOW_US;

  feed->resumed_us = mq_gateway_now_us ();
  feed->linger_until_us = 0;
  feed->in_doubt = false;
  if (feed->call != NULL)
    return; /* A scan or a lingering watch continues by itself.  */
  if (!recent)
    feed->state = MQ_FEED_SCANNING;
  feed->verifies = true;
  feed_call (feed);
}

void
mq_feed_restart (mq_feed *feed)
{
  mq_feed_stop (feed);
  feed_call (feed);
}

bool
mq_feed_may_reread (const mq_feed *feed)
{
  return feed->scanned && feed->state == MQ_FEED_FOLLOWING
         && !feed->follow.follows && feed->linger_until_us == 0
         && feed->call == NULL && !ev_is_active (&feed->call_timer);
}

void
mq_feed_reread (mq_feed *feed)
{
  feed->rereads = true;
  feed->reread_from = feed->revision;
  feed->state = MQ_FEED_SCANNING;
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
  ev_timer_stop (feed->gateway->loop, &feed->call_timer);
  if (feed->call != NULL)
    mq_platform_cancel (feed->call);
  feed->call = NULL;
  feed->rereads = false;
  feed->linger_until_us = 0;
  g_clear_pointer (&feed->seen, g_hash_table_unref);
  g_clear_pointer (&feed->after, mq_str_unref);
}

void
mq_gateway_note_unreadable (mq_gateway *gateway, const char *kind,
                            const mq_platform_reply *reply, unsigned in_a_row)
{
  ++*gateway->counters.unreadable_replies;
  mq_log (G_LOG_LEVEL_WARNING, "store.unreadable",
          "kind=%s op=%s entries=%zu in_a_row=%u", kind,
          mq_platform_op_name (reply->op), reply->n_entries, in_a_row);
}

void
mq_gateway_note_unnamed (mq_gateway *gateway, const char *kind,
                         const mq_platform_reply *reply)
{
  mq_span text = reply->unnamed;
  char *excerpt;

  if (reply->n_unnamed == 0)
    return;
  *gateway->counters.unreadable_entries[MQ_ENTRY_UNNAMED] += reply->n_unnamed;
  excerpt = g_strndup (text.data, MIN (text.size, MAX_EXCERPT_BYTES));
  mq_log (G_LOG_LEVEL_WARNING, "store.entry-unnamed",
          "kind=%s entries=%zu first=%s", kind, reply->n_unnamed,
          mq_log_quote (excerpt));
  g_free (excerpt);
}

void
mq_gateway_apply_routing (mq_gateway *gateway, mq_span text,
                          const char *source, mq_propagation_scope scope)
{
  GError *error = NULL;
  mq_routing *r = gateway->dialect->routing_decode (text, &error);
  uint64_t before = gateway->routing ? gateway->routing->version : 0;

  if (r == NULL)
    {
      ++*gateway->counters.unreadable_entries[MQ_ENTRY_ROUTING];
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
  gateway->own_routing_lag = (mq_lag){ 0, 0 };
  mq_version_log_note (&gateway->versions, r->version, mq_gateway_now_us ());
  mq_str_unref (gateway->routing_text);
  gateway->routing_text = mq_str_new (text);
  mq_log (G_LOG_LEVEL_INFO, "configuration.in-force",
          "version=%" G_GUINT64_FORMAT " before=%" G_GUINT64_FORMAT
          " source=%s routes=%u",
          r->version, before, source, r->routes->len);
  mq_http_server_set_head_limit (gateway->clients,
                                 r->limits.header_bytes > 0
                                     ? r->limits.header_bytes
                                     : MQ_HTTP_DEFAULT_HEAD_BYTES);
  mq_gateway_set_limits (gateway, &r->limits);
  mq_gateway_urgency_log_levels (gateway);
  /* Announce it at the next heartbeat, so that peers do not send it again.  */
  gateway->reported_us = 0;
  mq_gateway_propagate_routing (gateway, scope);
}

/* Log the upstreams that a list received from SOURCE removes, as SEEN does not
   name them.  */
static void
feed_log_pruned (const mq_gateway *gateway, GHashTable *seen, uint64_t at,
                 const char *source)
{
  GHashTableIter i;
  gpointer id;

  g_hash_table_iter_init (&i, gateway->upstream_list.entries);
  while (g_hash_table_iter_next (&i, &id, NULL))
    if (!g_hash_table_contains (seen, id))
      mq_log (G_LOG_LEVEL_INFO, "upstream.left",
              "upstream=%s revision=%" G_GUINT64_FORMAT " source=%s",
              (const char *)id, at, source);
}

void
mq_gateway_prune_upstreams (mq_gateway *gateway, GHashTable *seen, uint64_t at,
                            const char *source)
{
  GHashTableIter i;
  gpointer id;
  gpointer value;

  g_hash_table_iter_init (&i, gateway->upstream_list.entries);
  while (g_hash_table_iter_next (&i, &id, &value))
    if (((const mq_entry *)value)->version > at)
      g_hash_table_add (seen, g_strdup (id));
  feed_log_pruned (gateway, seen, at, source);
  mq_registry_retain (&gateway->registry, seen);
  mq_entry_list_keep (&gateway->upstream_list, seen);
  gateway->upstreams_known = true;
}

/* Remove the upstream of ENTRY, which is deleted or unusable.  */
static void
feed_remove_upstream (mq_gateway *gateway, const mq_platform_entry *entry)
{
  mq_entry_list_remove (&gateway->upstream_list, entry->name, entry->version);
  mq_registry_remove (&gateway->registry, entry->name);
}

bool
mq_gateway_apply_upstream (mq_gateway *gateway, mq_platform_entry *entry,
                           const char *source)
{
  mq_upstream_facts facts;
  GError *error = NULL;

  if (!mq_entry_list_is_newer (&gateway->upstream_list, entry->name,
                               entry->version, entry->deleted))
    return false;
  if (entry->deleted)
    {
      mq_log (G_LOG_LEVEL_INFO, "upstream.left",
              "upstream=%.*s revision=%" G_GUINT64_FORMAT " source=%s",
              MQ_SPAN_ARG (entry->name), entry->version, source);
      feed_remove_upstream (gateway, entry);
      return true;
    }
  if (gateway->dialect->upstream_decode (entry->name, entry->value, &facts,
                                         &error)
      < 0)
    {
      ++*gateway->counters.unreadable_entries[MQ_ENTRY_UPSTREAM];
      mq_log (G_LOG_LEVEL_WARNING, "upstream.unusable",
              "upstream=%.*s revision=%" G_GUINT64_FORMAT
              " bytes=%zu source=%s error=%s",
              MQ_SPAN_ARG (entry->name), entry->version, entry->value.size,
              source, mq_log_quote (error->message));
      g_error_free (error);
      /* The newer entry replaces the old one even though it is unusable.  */
      feed_remove_upstream (gateway, entry);
      entry->value.size = 0;
      return true;
    }
  mq_entry_list_put (&gateway->upstream_list, entry->name, entry->version,
                     entry->value);
  mq_log (G_LOG_LEVEL_INFO, "upstream.state",
          "upstream=%.*s revision=%" G_GUINT64_FORMAT
          " address=%s domain=%s layers=%u-%u draining=%d source=%s",
          MQ_SPAN_ARG (entry->name), entry->version,
          mq_str_cstr (facts.address), mq_str_cstr (facts.domain),
          facts.layer_first, facts.layer_end, facts.draining, source);
  mq_registry_put (&gateway->registry, &facts, mq_gateway_now_us ());
  return true;
}
