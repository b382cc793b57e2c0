/* The router's source of configuration: see mq/config_source.h.

   Two activities run concurrently: the poll, which reads the platform's
   manifest, and the fetch, which gets the files of one generation.  At most
   one of each is in progress.  A waiting watch gives no reply while nothing
   changes.  If nothing is received from any peer either, the silence timer
   polls the platform before this router counts as cut off.  Invariant: TEXTS
   holds exactly the files of MANIFEST, which is the one in force.  */

#include <mq/config_source.h>

#include <inttypes.h>
#include <mq/files.h>
#include <mq/log.h>
#include <mq/manifest.h>
#include <string.h>

#define DEFAULT_WATCH_TIMEOUT_MS 25000
#define DEFAULT_CHECK_INTERVAL_MS 15000
#define DEFAULT_FULL_READ_INTERVAL_MS 300000
#define MIN_BACKOFF_MS 250
#define MAX_BACKOFF_MS 8000
#define PEER_TIMEOUT_S 1.0
#define MS_PER_S 1000.0
#define US_PER_MS 1000
#define US_PER_S 1e6
#define JITTER_RATIO 0.2
/* With more members than this, the poll interval of each grows, so that their
   total rate stays constant.  */
#define MAX_UNSCALED_MEMBERS 15

/* The fetch of one generation.  */
typedef struct source_fetch
{
  bool open;
  uint64_t peer;
  bool has_manifest;
  mq_manifest manifest;
  GHashTable *texts;      /* Digest to mq_str.  */
  mq_str *name;           /* The object requested last.  */
  mq_platform_call *call; /* In progress, or NULL.  */
} source_fetch;

struct mq_config_source
{
  mq_config_source_options options;
  mq_config_source_sink sink;
  void *context;
  GRand *rand;
  mq_generation generation;

  mq_config *ready;     /* Loaded but not yet in force.  */
  mq_manifest manifest; /* In force, without its list of changes.  */
  mq_str *manifest_text;
  GHashTable *texts; /* Digest to mq_str.  */

  bool watching;
  uint32_t live; /* Live members of the region, this one included.  */
  mq_platform_call *poll;
  bool poll_waits; /* POLL is a waiting watch.  */
  ev_timer poll_timer;
  uint64_t version; /* Of the manifest read last.  */
  mq_str *offered;  /* Text of the manifest read last.  */
  uint64_t offered_generation;
  uint64_t full_us; /* When the next unconditional read is due.  */
  uint64_t backoff_ms;

  source_fetch fetch;
  ev_timer peer_timer;
  ev_timer tick;
  ev_timer silence;    /* Polls the platform while no offers arrive.  */
  uint64_t silence_us; /* When the silence timer last expired.  */
};

static void source_step (mq_config_source *s, mq_generation_event *event);
static void source_fetch_next (mq_config_source *s);

static uint64_t
source_now_us (void)
{
  return (uint64_t)g_get_monotonic_time ();
}

static void
source_str_free (gpointer data)
{
  mq_str_unref (data);
}

static GHashTable *
source_texts_new (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                source_str_free);
}

static void
source_report (mq_config_source *s, const mq_config_source_event *event)
{
  s->sink (s->context, event);
}

static void
source_set_timer (mq_config_source *s, ev_timer *timer, double after_s)
{
  ev_timer_stop (s->options.loop, timer);
  ev_timer_set (timer, after_s, 0);
  ev_timer_start (s->options.loop, timer);
}

/* --- The fetch.  --- */

static void
source_fetch_clear (mq_config_source *s)
{
  source_fetch *f = &s->fetch;

  ev_timer_stop (s->options.loop, &s->peer_timer);
  if (f->call != NULL)
    mq_platform_cancel (f->call);
  if (f->has_manifest)
    mq_manifest_finish (&f->manifest);
  if (f->texts != NULL)
    g_hash_table_unref (f->texts);
  mq_str_unref (f->name);
  *f = (source_fetch){ 0 };
}

static void
source_fetch_end (mq_config_source *s, mq_generation_event_kind kind,
                  uint64_t generation)
{
  mq_generation_event event = { .kind = kind, .generation = generation };
  bool from_peer = s->fetch.peer != MQ_GENERATION_PLATFORM;

  source_fetch_clear (s);
  /* After a failed fetch from a peer, poll the platform at once.  */
  if (kind == MQ_GENERATION_FETCH_FAILED && from_peer && s->poll == NULL)
    source_set_timer (s, &s->poll_timer, 0);
  source_step (s, &event);
}

static void
source_on_object (void *context, const mq_platform_reply *reply)
{
  mq_config_source *s = context;
  mq_str *value = NULL;

  s->fetch.call = NULL;
  if (reply->result == MQ_PLATFORM_OK)
    value = mq_str_new (reply->value);
  mq_config_source_finish_fetch (s, MQ_GENERATION_PLATFORM,
                                 mq_str_span (s->fetch.name), value);
  mq_str_unref (value);
}

/* Request the object NAME; takes ownership of NAME.  */
static void
source_fetch_request (mq_config_source *s, mq_str *name)
{
  source_fetch *f = &s->fetch;
  mq_config_source_event event = { .kind = MQ_CONFIG_SOURCE_FETCH,
                                   .peer = f->peer,
                                   .name = mq_str_span (name) };

  mq_str_unref (f->name);
  f->name = name;
  if (f->peer == MQ_GENERATION_PLATFORM)
    {
      f->call = mq_platform_get (s->options.platform, mq_str_span (name),
                                 source_on_object, s);
      return;
    }
  source_set_timer (s, &s->peer_timer, PEER_TIMEOUT_S);
  source_report (s, &event);
}

/* Begin to fetch the files of the manifest TEXT.  */
static void
source_fetch_manifest (mq_config_source *s, mq_span text)
{
  source_fetch *f = &s->fetch;
  GError *error = NULL;

  if (mq_manifest_decode (text, &f->manifest, &error) < 0)
    {
      mq_log (G_LOG_LEVEL_WARNING, "config.manifest.nonsense", "reason=%s",
              mq_log_quote (error->message));
      g_error_free (error);
      source_fetch_end (s, MQ_GENERATION_FETCH_FAILED, 0);
      return;
    }
  f->has_manifest = true;
  if (f->manifest.generation <= s->generation.in_force)
    source_fetch_end (s, MQ_GENERATION_FETCH_FAILED, 0);
  else
    source_fetch_next (s);
}

/* Returns the file with digest HEX, from those in force or fetched, or NULL.
   Borrowed.  */
static mq_str *
source_text (const mq_config_source *s, const char *hex)
{
  mq_str *text = g_hash_table_lookup (s->texts, hex);

  if (text == NULL && s->fetch.texts != NULL)
    text = g_hash_table_lookup (s->fetch.texts, hex);
  return text;
}

/* Returns a new set of the files of the fetched manifest, all of which must be
   present.  */
static GArray *
source_fetch_files (const mq_config_source *s)
{
  GArray *files = mq_files_new ();

  for (guint i = 0; i < s->fetch.manifest.files->len; i++)
    {
      const mq_manifest_file *f
          = &g_array_index (s->fetch.manifest.files, mq_manifest_file, i);

      mq_files_put (files, f->name, source_text (s, f->digest.hex));
    }
  return files;
}

/* Make the fetched manifest and files those in force.  */
static void
source_save_fetched (mq_config_source *s)
{
  GHashTable *texts = source_texts_new ();
  mq_manifest *m = &s->fetch.manifest;

  for (guint i = 0; i < m->files->len; i++)
    {
      const char *hex
          = g_array_index (m->files, mq_manifest_file, i).digest.hex;

      g_hash_table_insert (texts, g_strdup (hex),
                           mq_str_ref (source_text (s, hex)));
    }
  g_hash_table_unref (s->texts);
  s->texts = texts;
  mq_manifest_finish (&s->manifest);
  s->manifest = *m;
  s->fetch.has_manifest = false;
  g_array_set_size (s->manifest.changes, 0);
  mq_str_unref (s->manifest_text);
  s->manifest_text = mq_manifest_encode (&s->manifest);
}

/* Put the fetched generation in force and report it.  The sink may start the
   next fetch.  */
static void
source_apply (mq_config_source *s)
{
  mq_config *config = g_steal_pointer (&s->ready);
  mq_config_source_event event = { .kind = MQ_CONFIG_SOURCE_APPLIED,
                                   .config = config,
                                   .peer = s->fetch.peer };

  /* Without a complete fetch there is nothing to apply.  */
  if (config == NULL || !s->fetch.has_manifest)
    return;
  event.generation = config->generation;
  source_save_fetched (s);
  source_fetch_clear (s);
  mq_log (G_LOG_LEVEL_INFO, "config.taken",
          "generation=%" PRIu64 " files=%u from=%s", event.generation,
          s->manifest.files->len, event.peer ? "peer" : "platform");
  source_report (s, &event);
  mq_config_unref (config);
}

static void
source_fetch_reject (mq_config_source *s, GError *error)
{
  uint64_t generation = s->fetch.manifest.generation;
  mq_config_source_event event = { .kind = MQ_CONFIG_SOURCE_REJECTED,
                                   .generation = generation,
                                   .text = error->message };

  source_report (s, &event);
  g_error_free (error);
  source_fetch_end (s, MQ_GENERATION_INVALID, generation);
}

/* Build the snapshot from the files, all of which must be present.  */
static void
source_fetch_load (mq_config_source *s)
{
  uint64_t generation = s->fetch.manifest.generation;
  GArray *files = source_fetch_files (s);
  GError *error = NULL;
  mq_config *config = mq_files_load_validated (files, generation, &error);
  mq_generation_event limit = { .kind = MQ_GENERATION_SET_CUT_OFF };
  mq_generation_event loaded
      = { .kind = MQ_GENERATION_VALID, .generation = generation };

  g_array_unref (files);
  if (config == NULL)
    {
      source_fetch_reject (s, error);
      return;
    }
  limit.cut_off_us = (uint64_t)config->policy.cut_off_ms * US_PER_MS;
  source_step (s, &limit);
  s->ready = config;
  source_step (s, &loaded);
  g_clear_pointer (&s->ready, mq_config_unref);
}

/* Request the next missing file, or load the configuration if none is.  */
static void
source_fetch_next (mq_config_source *s)
{
  for (guint i = 0; i < s->fetch.manifest.files->len; i++)
    {
      const mq_manifest_file *f
          = &g_array_index (s->fetch.manifest.files, mq_manifest_file, i);

      if (source_text (s, f->digest.hex) == NULL)
        {
          source_fetch_request (s, mq_manifest_file_object (&f->digest));
          return;
        }
    }
  source_fetch_load (s);
}

static void
source_fetch_begin (mq_config_source *s, uint64_t peer)
{
  source_fetch_clear (s);
  s->fetch.open = true;
  s->fetch.peer = peer;
  s->fetch.texts = source_texts_new ();
  /* The platform's manifest has been read already.  */
  if (peer == MQ_GENERATION_PLATFORM)
    source_fetch_manifest (s, mq_str_span (s->offered));
  else
    source_fetch_request (s, mq_str_new (MQ_SPAN (MQ_MANIFEST_OBJECT)));
}

static void
source_on_peer_timeout (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  source_fetch_end (timer->data, MQ_GENERATION_FETCH_FAILED, 0);
}

/* --- The decisions.  --- */

static void
source_run_action (mq_config_source *s, const mq_generation_action *action)
{
  mq_config_source_event event = { .generation = action->generation };

  switch (action->kind)
    {
    case MQ_GENERATION_FETCH:
      source_fetch_begin (s, action->peer);
      break;
    case MQ_GENERATION_APPLY:
      source_apply (s);
      break;
    case MQ_GENERATION_CUT_OFF:
      event.kind = MQ_CONFIG_SOURCE_CUT_OFF;
      source_report (s, &event);
      break;
    case MQ_GENERATION_REJOIN:
      event.kind = MQ_CONFIG_SOURCE_REJOINED;
      source_report (s, &event);
      break;
    }
}

static void
source_set_tick (mq_config_source *s)
{
  uint64_t next = mq_generation_next_tick (&s->generation);
  uint64_t now = source_now_us ();

  ev_timer_stop (s->options.loop, &s->tick);
  if (next != UINT64_MAX)
    source_set_timer (s, &s->tick,
                      next > now ? (double)(next - now) / US_PER_S : 0);
}

/* Arm the silence timer for half of the time until the router is cut off.  */
static void
source_set_silence (mq_config_source *s)
{
  const mq_generation *g = &s->generation;
  uint64_t at = MAX (g->received_us, s->silence_us) + g->cut_off_us / 2;
  uint64_t now = source_now_us ();

  ev_timer_stop (s->options.loop, &s->silence);
  if (g->peers > 0 && g->cut_off_us > 0)
    source_set_timer (s, &s->silence,
                      at > now ? (double)(at - now) / US_PER_S : 0);
}

/* Handle EVENT and run the resulting actions.  An action may call this
   function again, so each call has its own list.  */
static void
source_step (mq_config_source *s, mq_generation_event *event)
{
  GArray *actions = g_array_new (FALSE, FALSE, sizeof (mq_generation_action));

  event->now_us = source_now_us ();
  mq_generation_handle (&s->generation, event, actions);
  for (guint i = 0; i < actions->len; i++)
    source_run_action (s, &g_array_index (actions, mq_generation_action, i));
  g_array_unref (actions);
  source_set_tick (s);
  source_set_silence (s);
}

static void
source_on_tick (struct ev_loop *loop, ev_timer *timer, int events)
{
  mq_generation_event event = { .kind = MQ_GENERATION_TICK };

  (void)loop;
  (void)events;
  source_step (timer->data, &event);
}

/* --- The poll.  --- */

/* Returns MS with jitter, in seconds.  */
static double
source_jittered_s (mq_config_source *s, uint64_t ms)
{
  return (double)ms / MS_PER_S
         * g_rand_double_range (s->rand, 1 - JITTER_RATIO, 1 + JITTER_RATIO);
}

/* Returns the interval MS, scaled up in a large fleet.  */
static uint64_t
source_scaled_ms (const mq_config_source *s, uint64_t ms)
{
  return ms * MAX (s->live, (uint32_t)MAX_UNSCALED_MEMBERS)
         / MAX_UNSCALED_MEMBERS;
}

static void
source_schedule_poll (mq_config_source *s, bool replied)
{
  double after = 0;

  if (!replied)
    {
      after = source_jittered_s (s, s->backoff_ms);
      s->backoff_ms = MIN (s->backoff_ms * 2, (uint64_t)MAX_BACKOFF_MS);
    }
  else
    {
      s->backoff_ms = MIN_BACKOFF_MS;
      if (!s->watching)
        after = source_jittered_s (
            s, source_scaled_ms (s, s->options.check_interval_ms));
    }
  source_set_timer (s, &s->poll_timer, after);
}

/* Read the platform's manifest from REPLY.  */
static void
source_read_offer (mq_config_source *s, const mq_platform_reply *reply)
{
  mq_manifest m;
  GError *error = NULL;

  s->version = reply->version;
  if (mq_manifest_decode (reply->value, &m, &error) < 0)
    {
      mq_log (G_LOG_LEVEL_WARNING, "config.manifest.nonsense", "reason=%s",
              mq_log_quote (error->message));
      g_error_free (error);
      return;
    }
  if (m.generation < s->generation.in_force)
    mq_log (G_LOG_LEVEL_WARNING, "config.lower",
            "offered=%" PRIu64 " in_force=%" PRIu64, m.generation,
            s->generation.in_force);
  s->offered_generation = m.generation;
  mq_str_unref (s->offered);
  s->offered = mq_str_new (reply->value);
  mq_manifest_finish (&m);
}

static void
source_on_poll (void *context, const mq_platform_reply *reply)
{
  mq_config_source *s = context;
  mq_generation_event event = { .kind = MQ_GENERATION_OFFER };
  bool replied = true;

  s->poll = NULL;
  switch (reply->result)
    {
    case MQ_PLATFORM_OK:
      source_read_offer (s, reply);
      break;
    case MQ_PLATFORM_UNCHANGED:
      break;
    case MQ_PLATFORM_MISSING:
      s->version = 0;
      s->offered_generation = 0;
      break;
    case MQ_PLATFORM_CONFLICT:
    case MQ_PLATFORM_REFUSED:
    case MQ_PLATFORM_BUSY:
    case MQ_PLATFORM_UNAVAILABLE:
    case MQ_PLATFORM_UNKNOWN:
    case MQ_PLATFORM_UNREADABLE:
    case MQ_PLATFORM_HISTORY_EXPIRED:
    case MQ_PLATFORM_RESULTS:
      replied = false;
      break;
    }
  /* The reply for a missing manifest is immediate even for a watch; wait
     before the next poll.  */
  if (reply->result == MQ_PLATFORM_MISSING)
    source_set_timer (s, &s->poll_timer,
                      source_jittered_s (s, MIN_BACKOFF_MS));
  else
    source_schedule_poll (s, replied);
  if (!replied)
    return;
  event.generation = s->offered_generation;
  source_step (s, &event);
}

/* Poll the manifest.  If WAIT is true and it has not changed, the call waits
   for a change.  */
static void
source_poll (mq_config_source *s, bool wait)
{
  mq_span name = MQ_SPAN (MQ_MANIFEST_OBJECT);
  uint64_t full_read_interval_ms = s->options.full_read_interval_ms;
  uint64_t now = source_now_us ();

  ev_timer_stop (s->options.loop, &s->poll_timer);
  s->poll_waits = false;
  if (s->version == 0 || now >= s->full_us)
    {
      if (!s->watching)
        full_read_interval_ms = source_scaled_ms (s, full_read_interval_ms);
      s->full_us = now + full_read_interval_ms * US_PER_MS;
      s->poll = mq_platform_get (s->options.platform, name, source_on_poll, s);
      return;
    }
  s->poll_waits = wait;
  s->poll = mq_platform_watch (s->options.platform, name, s->version,
                               wait ? s->options.watch_timeout_ms : 0,
                               source_on_poll, s);
}

static void
source_on_poll_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  mq_config_source *s = timer->data;

  (void)loop;
  (void)events;
  source_poll (s, s->watching);
}

static void
source_on_silence (struct ev_loop *loop, ev_timer *timer, int events)
{
  mq_config_source *s = timer->data;

  (void)loop;
  (void)events;
  s->silence_us = source_now_us ();
  if (s->poll != NULL && s->poll_waits)
    mq_platform_cancel (g_steal_pointer (&s->poll));
  if (s->poll == NULL)
    source_poll (s, false);
  source_set_silence (s);
}

mq_config_source *
mq_config_source_new (const mq_config_source_options *options,
                      mq_config_source_sink sink, void *context)
{
  mq_config_source *s = g_new0 (mq_config_source, 1);
  mq_policy defaults;
  mq_config *empty = mq_config_new (0);

  defaults = empty->policy;
  mq_config_unref (empty);
  s->options = *options;
  if (s->options.watch_timeout_ms == 0)
    s->options.watch_timeout_ms = DEFAULT_WATCH_TIMEOUT_MS;
  if (s->options.check_interval_ms == 0)
    s->options.check_interval_ms = DEFAULT_CHECK_INTERVAL_MS;
  if (s->options.full_read_interval_ms == 0)
    s->options.full_read_interval_ms = DEFAULT_FULL_READ_INTERVAL_MS;
  s->sink = sink;
  s->context = context;
  s->rand = g_rand_new_with_seed (options->seed);
  s->backoff_ms = MIN_BACKOFF_MS;
  s->texts = source_texts_new ();
  mq_manifest_init (&s->manifest);
  mq_generation_init (&s->generation, source_now_us (),
                      (uint64_t)defaults.cut_off_ms * US_PER_MS);
  ev_init (&s->poll_timer, source_on_poll_timer);
  ev_init (&s->peer_timer, source_on_peer_timeout);
  ev_init (&s->tick, source_on_tick);
  ev_init (&s->silence, source_on_silence);
  s->poll_timer.data = s;
  s->peer_timer.data = s;
  s->tick.data = s;
  s->silence.data = s;
  source_set_timer (s, &s->poll_timer, 0);
  return s;
}

void
mq_config_source_free (mq_config_source *source)
{
  if (source == NULL)
    return;
  if (source->poll != NULL)
    mq_platform_cancel (source->poll);
  source_fetch_clear (source);
  ev_timer_stop (source->options.loop, &source->poll_timer);
  ev_timer_stop (source->options.loop, &source->tick);
  ev_timer_stop (source->options.loop, &source->silence);
  mq_manifest_finish (&source->manifest);
  mq_str_unref (source->manifest_text);
  mq_str_unref (source->offered);
  g_hash_table_unref (source->texts);
  g_rand_free (source->rand);
  g_free (source);
}

void
mq_config_source_set_watching (mq_config_source *source, bool watching)
{
  if (source->watching == watching)
    return;
  source->watching = watching;
  if (source->poll != NULL && !source->poll_waits)
    return;
  /* A new watcher starts at once; one that stops watching polls later.  */
  if (source->poll != NULL)
    mq_platform_cancel (g_steal_pointer (&source->poll));
  if (watching)
    source_set_timer (source, &source->poll_timer, 0);
  else
    source_schedule_poll (source, true);
}

void
mq_config_source_set_live_count (mq_config_source *source, uint32_t live)
{
  ev_timer *timer = &source->poll_timer;
  double after;

  source->live = live;
  if (source->watching || !ev_is_active (timer))
    return;
  /* In a smaller fleet the next poll may be due sooner.  */
  after = source_jittered_s (
      source, source_scaled_ms (source, source->options.check_interval_ms));
  if (after < ev_timer_remaining (source->options.loop, timer))
    source_set_timer (source, timer, after);
}

void
mq_config_source_set_peer_count (mq_config_source *source, uint32_t peers)
{
  mq_generation_event event = { .kind = MQ_GENERATION_PEERS, .count = peers };

  if (source->generation.peers != peers)
    source_step (source, &event);
}

void
mq_config_source_set_peer_generation (mq_config_source *source, uint64_t peer,
                                      uint64_t generation)
{
  mq_generation_event event = { .kind = MQ_GENERATION_OFFER,
                                .peer = peer,
                                .generation = generation };

  source_step (source, &event);
}

void
mq_config_source_finish_fetch (mq_config_source *source, uint64_t peer,
                               mq_span name, mq_str *value)
{
  source_fetch *f = &source->fetch;
  char digest[MQ_DIGEST_SIZE];
  mq_span wanted = mq_str_span (f->name);

  /* The reply to an earlier request.  */
  if (!f->open || f->peer != peer || !mq_span_equal (wanted, name))
    return;
  ev_timer_stop (source->options.loop, &source->peer_timer);
  if (value == NULL)
    {
      source_fetch_end (source, MQ_GENERATION_FETCH_FAILED, 0);
      return;
    }
  if (!f->has_manifest)
    {
      source_fetch_manifest (source, mq_str_span (value));
      return;
    }
  mq_file_digest (mq_str_span (value), digest);
  wanted.data += strlen (MQ_MANIFEST_FILE_PREFIX);
  wanted.size -= strlen (MQ_MANIFEST_FILE_PREFIX);
  if (!mq_span_equal (wanted, mq_span_from (digest)))
    {
      mq_log (G_LOG_LEVEL_WARNING, "config.file.wrong-digest",
              "wanted=%.*s found=%s", MQ_SPAN_ARG (wanted), digest);
      source_fetch_end (source, MQ_GENERATION_FETCH_FAILED, 0);
      return;
    }
  g_hash_table_insert (f->texts, g_strdup (digest), mq_str_ref (value));
  source_fetch_next (source);
}

mq_str *
mq_config_source_object (const mq_config_source *source, mq_span name)
{
  mq_span prefix = MQ_SPAN (MQ_MANIFEST_FILE_PREFIX);
  char *hex;
  mq_str *text;

  if (mq_span_equal (name, MQ_SPAN (MQ_MANIFEST_OBJECT)))
    return source->manifest_text;
  if (!mq_span_starts_with (name, prefix))
    return NULL;
  hex = g_strndup (name.data + prefix.size, name.size - prefix.size);
  text = g_hash_table_lookup (source->texts, hex);
  g_free (hex);
  return text;
}

const mq_generation *
mq_config_source_state (const mq_config_source *source)
{
  return &source->generation;
}
