/* The router's side of the configuration: see mq/config_source.h.

   Two activities run side by side: the poll, which looks at the platform's
   manifest, and the fetch, which gets the files of one generation.  At most
   one of each is under way.  A watch that waits says nothing while nothing
   changes; so when no peer is heard either, the platform is asked at once,
   before the silence is taken for being cut off.  Invariant: `texts` holds
   exactly the files of `manifest`, which is the one in force.  */

#include <mq/config_source.h>

#include <inttypes.h>
#include <mq/files.h>
#include <mq/log.h>
#include <mq/manifest.h>
#include <string.h>

#define DEFAULT_WATCH_MS 25000
#define DEFAULT_CHECK_MS 15000
#define DEFAULT_FULL_MS 300000
#define FIRST_BACKOFF_MS 250
#define LONGEST_BACKOFF_MS 8000
#define PEER_TIMEOUT_S 1.0
#define MS_PER_S 1000.0
#define US_PER_MS 1000
#define US_PER_S 1e6
#define JITTER 0.2
/* With more members than this the looks of each are spaced out, so that those
   of all are no more.  */
#define SPACED_ABOVE 15

/* The files of one generation on their way.  */
typedef struct source_fetch
{
  bool open;
  uint64_t peer;
  bool has_manifest;
  mq_manifest manifest;
  GHashTable *texts;      /* Digest to mq_str.  */
  mq_str *name;           /* The object that is awaited.  */
  mq_platform_call *call; /* While one is open.  */
} source_fetch;

struct mq_config_source
{
  mq_config_source_options options;
  mq_config_source_sink sink;
  void *context;
  GRand *rand;
  mq_generation generation;

  mq_config *ready;     /* Loaded and not yet taken.  */
  mq_manifest manifest; /* In force, without its changes.  */
  mq_str *manifest_text;
  GHashTable *texts; /* Digest to mq_str.  */

  bool watching;
  uint32_t live; /* Members of our region, ourselves among them.  */
  mq_platform_call *poll;
  bool poll_waits; /* It is a watch that waits.  */
  ev_timer poll_timer;
  uint64_t version; /* Of the manifest object seen last.  */
  mq_str *offered;  /* Its value.  */
  uint64_t offered_generation;
  uint64_t full_us; /* When the next read whatever the version is due. */
  uint64_t backoff_ms;

  source_fetch fetch;
  ev_timer peer_timer;
  ev_timer tick;
  ev_timer silence;    /* When to ask because nobody is heard.  */
  uint64_t silence_us; /* When that was last done.  */
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
source_tell (mq_config_source *s, const mq_config_source_event *event)
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
  /* Where a peer could not help, see at once what the platform has.  */
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
  mq_config_source_fetched (s, MQ_GENERATION_PLATFORM,
                            mq_str_span (s->fetch.name), value);
  mq_str_unref (value);
}

/* Ask for the object NAME, which is given up.  */
static void
source_fetch_ask (mq_config_source *s, mq_str *name)
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
  source_tell (s, &event);
}

/* Take the manifest TEXT that is to be fetched.  */
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

/* The text of digest HEX, from what is in force or was fetched; borrowed.  */
static mq_str *
source_text (const mq_config_source *s, const char *hex)
{
  mq_str *text = g_hash_table_lookup (s->texts, hex);

  if (text == NULL && s->fetch.texts != NULL)
    text = g_hash_table_lookup (s->fetch.texts, hex);
  return text;
}

/* All files are here: the set of them, new.  */
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

/* Keep what was fetched as what is in force.  */
static void
source_keep (mq_config_source *s)
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

/* What was fetched is in force: keep it and hand it over.  The next fetch may
   begin right after.  */
static void
source_take (mq_config_source *s)
{
  mq_config *config = g_steal_pointer (&s->ready);
  mq_config_source_event event = { .kind = MQ_CONFIG_SOURCE_TAKEN,
                                   .config = config,
                                   .peer = s->fetch.peer };

  /* Without a whole fetch there is nothing to take.  */
  if (config == NULL || !s->fetch.has_manifest)
    return;
  event.generation = config->generation;
  source_keep (s);
  source_fetch_clear (s);
  mq_log (G_LOG_LEVEL_INFO, "config.taken",
          "generation=%" PRIu64 " files=%u from=%s", event.generation,
          s->manifest.files->len, event.peer ? "peer" : "platform");
  source_tell (s, &event);
  mq_config_unref (config);
}

static void
source_fetch_wrong (mq_config_source *s, GError *error)
{
  uint64_t generation = s->fetch.manifest.generation;
  mq_config_source_event event = { .kind = MQ_CONFIG_SOURCE_WRONG,
                                   .generation = generation,
                                   .text = error->message };

  source_tell (s, &event);
  g_error_free (error);
  source_fetch_end (s, MQ_GENERATION_INVALID, generation);
}

/* Build the snapshot from the files, which are all here.  */
static void
source_fetch_load (mq_config_source *s)
{
  uint64_t generation = s->fetch.manifest.generation;
  GArray *files = source_fetch_files (s);
  GError *error = NULL;
  mq_config *config = mq_files_load_accepted (files, generation, &error);
  mq_generation_event limit = { .kind = MQ_GENERATION_SET_CUT_OFF };
  mq_generation_event loaded
      = { .kind = MQ_GENERATION_VALID, .generation = generation };

  g_array_unref (files);
  if (config == NULL)
    {
      source_fetch_wrong (s, error);
      return;
    }
  limit.cut_off_us = (uint64_t)config->policy.cut_off_ms * US_PER_MS;
  source_step (s, &limit);
  s->ready = config;
  source_step (s, &loaded);
  g_clear_pointer (&s->ready, mq_config_unref);
}

/* Ask for the next file that is missing, or load when none is.  */
static void
source_fetch_next (mq_config_source *s)
{
  for (guint i = 0; i < s->fetch.manifest.files->len; i++)
    {
      const mq_manifest_file *f
          = &g_array_index (s->fetch.manifest.files, mq_manifest_file, i);

      if (source_text (s, f->digest.hex) == NULL)
        {
          source_fetch_ask (s, mq_manifest_file_object (&f->digest));
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
  /* The platform offers by its manifest, which is here already.  */
  if (peer == MQ_GENERATION_PLATFORM)
    source_fetch_manifest (s, mq_str_span (s->offered));
  else
    source_fetch_ask (s, mq_str_new (MQ_SPAN (MQ_MANIFEST_OBJECT)));
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
source_do (mq_config_source *s, const mq_generation_action *action)
{
  mq_config_source_event event = { .generation = action->generation };

  switch (action->kind)
    {
    case MQ_GENERATION_FETCH:
      source_fetch_begin (s, action->peer);
      break;
    case MQ_GENERATION_APPLY:
      source_take (s);
      break;
    case MQ_GENERATION_CUT_OFF:
      event.kind = MQ_CONFIG_SOURCE_CUT_OFF;
      source_tell (s, &event);
      break;
    case MQ_GENERATION_REJOIN:
      event.kind = MQ_CONFIG_SOURCE_REJOINED;
      source_tell (s, &event);
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

/* Ask the platform half-way to being cut off.  */
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

/* Hand EVENT to the decisions and do what they say.  Doing may step again,
   so each step has its own list of actions.  */
static void
source_step (mq_config_source *s, mq_generation_event *event)
{
  GArray *actions = g_array_new (FALSE, FALSE, sizeof (mq_generation_action));

  event->now_us = source_now_us ();
  mq_generation_handle (&s->generation, event, actions);
  for (guint i = 0; i < actions->len; i++)
    source_do (s, &g_array_index (actions, mq_generation_action, i));
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

/* MS with some jitter, in seconds.  */
static double
source_jitter (mq_config_source *s, uint64_t ms)
{
  return (double)ms / MS_PER_S
         * g_rand_double_range (s->rand, 1 - JITTER, 1 + JITTER);
}

/* MS between two calls of one router, spaced out in a large fleet.  */
static uint64_t
source_spaced_ms (const mq_config_source *s, uint64_t ms)
{
  return ms * MAX (s->live, (uint32_t)SPACED_ABOVE) / SPACED_ABOVE;
}

static void
source_poll_later (mq_config_source *s, bool answered)
{
  double after = 0;

  if (!answered)
    {
      after = source_jitter (s, s->backoff_ms);
      s->backoff_ms = MIN (s->backoff_ms * 2, (uint64_t)LONGEST_BACKOFF_MS);
    }
  else
    {
      s->backoff_ms = FIRST_BACKOFF_MS;
      if (!s->watching)
        after = source_jitter (s, source_spaced_ms (s, s->options.check_ms));
    }
  source_set_timer (s, &s->poll_timer, after);
}

/* Take in the manifest that the platform holds.  */
static void
source_take_offer (mq_config_source *s, const mq_platform_reply *reply)
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
  bool answered = true;

  s->poll = NULL;
  switch (reply->result)
    {
    case MQ_PLATFORM_OK:
      source_take_offer (s, reply);
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
    case MQ_PLATFORM_FORGOTTEN:
    case MQ_PLATFORM_RESULTS:
      answered = false;
      break;
    }
  /* A missing manifest is answered at once, so a watch of it waits here.  */
  if (reply->result == MQ_PLATFORM_MISSING)
    source_set_timer (s, &s->poll_timer, source_jitter (s, FIRST_BACKOFF_MS));
  else
    source_poll_later (s, answered);
  if (!answered)
    return;
  event.generation = s->offered_generation;
  source_step (s, &event);
}

/* Ask for the manifest; when it has not changed, WAIT until it has.  */
static void
source_poll (mq_config_source *s, bool wait)
{
  mq_span name = MQ_SPAN (MQ_MANIFEST_OBJECT);
  uint64_t full_ms = s->options.full_ms;
  uint64_t now = source_now_us ();

  ev_timer_stop (s->options.loop, &s->poll_timer);
  s->poll_waits = false;
  if (s->version == 0 || now >= s->full_us)
    {
      if (!s->watching)
        full_ms = source_spaced_ms (s, full_ms);
      s->full_us = now + full_ms * US_PER_MS;
      s->poll = mq_platform_get (s->options.platform, name, source_on_poll, s);
      return;
    }
  s->poll_waits = wait;
  s->poll
      = mq_platform_watch (s->options.platform, name, s->version,
                           wait ? s->options.watch_ms : 0, source_on_poll, s);
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
  if (s->options.watch_ms == 0)
    s->options.watch_ms = DEFAULT_WATCH_MS;
  if (s->options.check_ms == 0)
    s->options.check_ms = DEFAULT_CHECK_MS;
  if (s->options.full_ms == 0)
    s->options.full_ms = DEFAULT_FULL_MS;
  s->sink = sink;
  s->context = context;
  s->rand = g_rand_new_with_seed (options->seed);
  s->backoff_ms = FIRST_BACKOFF_MS;
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
  /* A new watcher begins at once; one that stops looks again later.  */
  if (source->poll != NULL)
    mq_platform_cancel (g_steal_pointer (&source->poll));
  if (watching)
    source_set_timer (source, &source->poll_timer, 0);
  else
    source_poll_later (source, true);
}

void
mq_config_source_set_live (mq_config_source *source, uint32_t live)
{
  ev_timer *timer = &source->poll_timer;
  double after;

  source->live = live;
  if (source->watching || !ev_is_active (timer))
    return;
  /* In a smaller fleet the next look may be due sooner.  */
  after = source_jitter (source,
                         source_spaced_ms (source, source->options.check_ms));
  if (after < ev_timer_remaining (source->options.loop, timer))
    source_set_timer (source, timer, after);
}

void
mq_config_source_set_peers (mq_config_source *source, uint32_t peers)
{
  mq_generation_event event = { .kind = MQ_GENERATION_PEERS, .count = peers };

  if (source->generation.peers != peers)
    source_step (source, &event);
}

void
mq_config_source_peer_said (mq_config_source *source, uint64_t peer,
                            uint64_t generation)
{
  mq_generation_event event = { .kind = MQ_GENERATION_OFFER,
                                .peer = peer,
                                .generation = generation };

  source_step (source, &event);
}

void
mq_config_source_fetched (mq_config_source *source, uint64_t peer,
                          mq_span name, mq_str *value)
{
  source_fetch *f = &source->fetch;
  char digest[MQ_DIGEST_SIZE];
  mq_span wanted = mq_str_span (f->name);

  /* An answer to what is not asked any more.  */
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
