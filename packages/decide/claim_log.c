/* Claim logs: see mq/claim_log.h.

   At most one read or write of the object is in flight.  ENTRIES is the
   object as of VERSION, with the additions of the write in flight; if that
   write is not acknowledged, the object is read again.  TEXT holds the same
   entries encoded, so that a write costs one copy and no encoding; an entry
   that was replaced occurs in it twice until the next sweep, and the later one
   counts.  Claims wait in order of arrival until their result is reported.  */

#include <mq/claim_log.h>

#include <mq/internal/bytes.h>
#include <string.h>

#define MAGIC "mqclaim1"
#define MAGIC_SIZE 8
#define DIGEST_SIZE 16
#define ENTRY_SIZE 48
/* Interval at which expired entries are removed.  */
#define SWEEP_INTERVAL_US (UINT64_C (10) * 1000000)

typedef enum log_phase
{
  LOG_IDLE,
  LOG_READING,
  LOG_WRITING
} log_phase;

typedef struct entry
{
  unsigned char digest[DIGEST_SIZE];
  uint64_t router;
  uint64_t sequence;
  uint64_t body_hash;
  uint64_t expires_ms;
} entry;

/* A claim whose result was not reported yet.  */
typedef struct waiter
{
  entry entry; /* The entry to add to the object.  */
  uint64_t handle;
  uint64_t give_up_us;
  bool in_read; /* Waited when the read in flight began.  */
  bool checked; /* The object was read since it arrived.  */
  bool sent;    /* Its entry is in the write in flight.  */
} waiter;

struct mq_claim_log
{
  mq_claim_log_options options;
  uint64_t sequence;
  log_phase phase;
  uint32_t step;
  bool loaded;         /* ENTRIES and VERSION match the object.  */
  bool stale;          /* A waiter needs a read begun after its arrival.  */
  bool dirty;          /* An entry must be removed from the object.  */
  uint64_t version;    /* 0: no object.  */
  GHashTable *entries; /* Set of entry by digest, owned.  */
  GString *text;
  GQueue waiting;             /* Of waiter, owned.  */
  GHashTable *held_sequences; /* Sequences of this router's claims that were
                        won and neither released nor expired.  */
  GHashTable *won;            /* Handle to sequence, of calls not settled.  */
  uint64_t due_us;            /* Earliest next read or write.  */
  uint64_t write_us;          /* Earliest next write.  */
  uint64_t sweep_us;          /* Time of the next sweep.  */
};

static guint
entry_hash (gconstpointer key)
{
  const entry *e = key;
  guint h;

  memcpy (&h, e->digest, sizeof h);
  return h;
}

static gboolean
entry_equal (gconstpointer a, gconstpointer b)
{
  return memcmp (((const entry *)a)->digest, ((const entry *)b)->digest,
                 DIGEST_SIZE)
         == 0;
}

static GHashTable *
entries_new (void)
{
  return g_hash_table_new_full (entry_hash, entry_equal, g_free, NULL);
}

static void
entries_add (GHashTable *entries, const entry *e)
{
  g_hash_table_replace (entries, g_memdup2 (e, sizeof *e), NULL);
}

static void
entry_encode (const entry *e, GString *out)
{
  unsigned char bytes[ENTRY_SIZE];

  memcpy (bytes, e->digest, DIGEST_SIZE);
  mq_bytes_put_u64 (bytes + 16, e->router);
  mq_bytes_put_u64 (bytes + 24, e->sequence);
  mq_bytes_put_u64 (bytes + 32, e->body_hash);
  mq_bytes_put_u64 (bytes + 40, e->expires_ms);
  g_string_append_len (out, (const char *)bytes, sizeof bytes);
}

static void
entry_decode (const unsigned char *bytes, entry *e)
{
  memcpy (e->digest, bytes, DIGEST_SIZE);
  e->router = mq_bytes_get_u64 (bytes + 16);
  e->sequence = mq_bytes_get_u64 (bytes + 24);
  e->body_hash = mq_bytes_get_u64 (bytes + 32);
  e->expires_ms = mq_bytes_get_u64 (bytes + 40);
}

/* Returns a new table of the entries in TEXT, or NULL if TEXT is invalid.  */
static GHashTable *
entries_decode (mq_span text)
{
  GHashTable *entries;

  if (!mq_span_starts_with (text, MQ_SPAN (MAGIC))
      || (text.size - MAGIC_SIZE) % ENTRY_SIZE != 0)
    return NULL;
  entries = entries_new ();
  for (size_t at = MAGIC_SIZE; at < text.size; at += ENTRY_SIZE)
    {
      entry e;

      entry_decode ((const unsigned char *)text.data + at, &e);
      entries_add (entries, &e);
    }
  return entries;
}

static mq_claim_log_action *
log_add_action (GArray *actions, mq_claim_log_action_kind kind)
{
  mq_claim_log_action a = { .kind = kind };

  g_array_append_val (actions, a);
  return &g_array_index (actions, mq_claim_log_action, actions->len - 1);
}

static void
log_report (GArray *actions, uint64_t handle, mq_claim_result result)
{
  mq_claim_log_action *a = log_add_action (actions, MQ_CLAIM_LOG_RESULT);

  a->handle = handle;
  a->result = result;
}

/* Report RESULT of waiter LINK and remove it from the queue.  */
static void
waiter_finish (mq_claim_log *log, GList *link, mq_claim_result result,
               GArray *actions)
{
  waiter *w = link->data;
  uint64_t *handle;

  log_report (actions, w->handle, result);
  if (result == MQ_CLAIM_WON)
    {
      handle = g_memdup2 (&w->handle, sizeof w->handle);
      g_hash_table_add (log->held_sequences,
                        g_memdup2 (&w->entry.sequence, sizeof (uint64_t)));
      g_hash_table_replace (log->won, handle,
                            g_memdup2 (&w->entry.sequence, sizeof (uint64_t)));
    }
  else if (w->sent)
    log->dirty = true;
  g_queue_delete_link (&log->waiting, link);
  g_free (w);
}

static bool
entry_is_expired (const mq_claim_log *log, const entry *e, uint64_t wall_ms)
{
  return wall_ms > e->expires_ms + log->options.skew_ms;
}

/* Returns true for an entry of this router that no held claim refers to.  */
static bool
entry_is_abandoned (const mq_claim_log *log, const entry *e)
{
  return e->router == log->options.router
         && !g_hash_table_contains (log->held_sequences, &e->sequence);
}

/* Remove expired and abandoned entries, and encode the others.  */
static void
log_sweep (mq_claim_log *log, const mq_claims_event *event)
{
  GHashTableIter iter;
  gpointer key;

  log->sweep_us = event->now_us + SWEEP_INTERVAL_US;
  g_string_assign (log->text, MAGIC);
  g_hash_table_iter_init (&iter, log->entries);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      const entry *e = key;
      bool expired = entry_is_expired (log, e, event->wall_ms);

      if (expired && e->router == log->options.router)
        g_hash_table_remove (log->held_sequences, &e->sequence);
      if (expired || entry_is_abandoned (log, e))
        g_hash_table_iter_remove (&iter);
      else
        entry_encode (e, log->text);
    }
}

static void
log_read (mq_claim_log *log, GArray *actions)
{
  mq_claim_log_action *a = log_add_action (actions, MQ_CLAIM_LOG_READ);

  log->phase = LOG_READING;
  a->step = ++log->step;
  for (GList *l = log->waiting.head; l != NULL; l = l->next)
    ((waiter *)l->data)->in_read = true;
}

/* Decide waiter LINK, or add its entry to the next write.  Returns true if it
   was added.  */
static bool
waiter_decide (mq_claim_log *log, GList *link, uint64_t wall_ms,
               GArray *actions)
{
  waiter *w = link->data;
  gpointer found = NULL;
  const entry *e;

  g_hash_table_lookup_extended (log->entries, &w->entry, &found, NULL);
  e = found;
  if (e == NULL || entry_is_expired (log, e, wall_ms))
    {
      if (log->text->len + ENTRY_SIZE > log->options.limit_bytes)
        {
          waiter_finish (log, link, MQ_CLAIM_UNAVAILABLE, actions);
          return false;
        }
      entries_add (log->entries, &w->entry);
      entry_encode (&w->entry, log->text);
      w->sent = true;
      return true;
    }
  if (e->router != log->options.router && !w->checked)
    log->stale = true;
  else
    waiter_finish (log, link,
                   e->body_hash == w->entry.body_hash ? MQ_CLAIM_LOST
                                                      : MQ_CLAIM_MISMATCH,
                   actions);
  return false;
}

/* Write the entries of all waiters, if that changes the object.  */
static void
log_write (mq_claim_log *log, const mq_claims_event *event, GArray *actions)
{
  bool is_needed = log->dirty;
  GList *next_link;
  mq_claim_log_action *a;

  if (log->dirty || event->now_us >= log->sweep_us)
    log_sweep (log, event);
  for (GList *l = log->waiting.head; l != NULL; l = next_link)
    {
      next_link = l->next;
      is_needed |= waiter_decide (log, l, event->wall_ms, actions);
    }
  if (!is_needed)
    return;
  log->dirty = false;
  log->phase = LOG_WRITING;
  log->write_us = event->now_us + log->options.linger_us;
  a = log_add_action (actions, MQ_CLAIM_LOG_WRITE);
  a->step = ++log->step;
  a->version = log->version;
  a->value = mq_str_new ((mq_span){ log->text->str, log->text->len });
}

/* Report the waiters whose entries are in the object as won, or as unavailable
   if they timed out.  */
static void
log_report_won (mq_claim_log *log, uint64_t now_us, GArray *actions)
{
  GList *next_link;

  for (GList *l = log->waiting.head; l != NULL; l = next_link)
    {
      waiter *w = l->data;
      gpointer found;

      next_link = l->next;
      if (!g_hash_table_lookup_extended (log->entries, &w->entry, &found,
                                         NULL))
        continue;
      if (((const entry *)found)->router != log->options.router
          || ((const entry *)found)->sequence != w->entry.sequence)
        continue;
      w->sent = true;
      waiter_finish (
          log, l, now_us < w->give_up_us ? MQ_CLAIM_WON : MQ_CLAIM_UNAVAILABLE,
          actions);
    }
}

/* Set the contents of the object to ENTRIES, of which it takes ownership, at
   VERSION.  */
static void
log_set_entries (mq_claim_log *log, GHashTable *entries, uint64_t version)
{
  GHashTableIter iter;
  gpointer key;

  g_hash_table_destroy (log->entries);
  log->entries = entries;
  log->version = version;
  log->loaded = true;
  log->stale = false;
  g_string_assign (log->text, MAGIC);
  g_hash_table_iter_init (&iter, entries);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    entry_encode (key, log->text);
}

/* Returns true if the object holds an abandoned entry of this router.  */
static bool
log_has_abandoned (const mq_claim_log *log)
{
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, log->entries);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (entry_is_abandoned (log, key))
      return true;
  return false;
}

static void
log_on_read_reply (mq_claim_log *log, const mq_claims_event *event,
                   GArray *actions)
{
  const mq_store_reply *reply = &event->u.reply.reply;
  GHashTable *entries = NULL;

  if (reply->result == MQ_STORE_ABSENT)
    entries = entries_new ();
  else if (reply->result == MQ_STORE_OK)
    entries = entries_decode (reply->value);
  if (entries == NULL)
    {
      log->due_us = event->now_us + log->options.retry_us;
      return;
    }
  log_set_entries (log, entries,
                   reply->result == MQ_STORE_OK ? reply->version : 0);
  for (GList *l = log->waiting.head; l != NULL; l = l->next)
    {
      waiter *w = l->data;

      w->checked |= w->in_read;
    }
  log_report_won (log, event->now_us, actions);
  log->dirty |= log_has_abandoned (log);
}

static void
log_on_write_reply (mq_claim_log *log, const mq_claims_event *event,
                    GArray *actions)
{
  const mq_store_reply *reply = &event->u.reply.reply;

  if (reply->result == MQ_STORE_OK)
    {
      log->version = reply->version;
      log_report_won (log, event->now_us, actions);
      return;
    }
  /* The result is not known: read the object, and remove again what this write
     was to remove.  */
  for (GList *l = log->waiting.head; l != NULL; l = l->next)
    ((waiter *)l->data)->sent = false;
  log->dirty = true;
  log->loaded = false;
  if (reply->result == MQ_STORE_REFUSED)
    log->due_us = event->now_us + log->options.retry_us;
}

static void
log_start (mq_claim_log *log, const mq_claims_event *event, GArray *actions)
{
  unsigned char digest[MQ_CLAIM_DIGEST_SIZE];
  waiter *w;

  if (log->waiting.length >= log->options.waiting)
    {
      log_report (actions, event->u.start.handle, MQ_CLAIM_UNAVAILABLE);
      return;
    }
  mq_claim_digest (event->u.start.organisation, event->u.start.key, digest);
  w = g_new0 (waiter, 1);
  memcpy (w->entry.digest, digest, DIGEST_SIZE);
  w->entry.router = log->options.router;
  w->entry.sequence = ++log->sequence;
  w->entry.body_hash = event->u.start.body_hash;
  w->entry.expires_ms = event->wall_ms + event->u.start.lifetime_us / 1000;
  w->handle = event->u.start.handle;
  w->give_up_us = event->now_us + log->options.give_up_us;
  g_queue_push_tail (&log->waiting, w);
}

static void
log_reply (mq_claim_log *log, const mq_claims_event *event, GArray *actions)
{
  log_phase phase = log->phase;

  if (event->u.reply.step != log->step || phase == LOG_IDLE)
    return;
  log->phase = LOG_IDLE;
  log->due_us = 0;
  if (phase == LOG_READING)
    log_on_read_reply (log, event, actions);
  else
    log_on_write_reply (log, event, actions);
}

static void
log_settled (mq_claim_log *log, const mq_claims_event *event, GArray *actions)
{
  uint64_t handle = event->u.settled.handle;
  const uint64_t *sequence = g_hash_table_lookup (log->won, &handle);

  if (sequence != NULL)
    {
      if (event->u.settled.outcome == MQ_OUTCOME_NOT_RUN)
        {
          g_hash_table_remove (log->held_sequences, sequence);
          log->dirty = true;
        }
      g_hash_table_remove (log->won, &handle);
      return;
    }
  for (GList *l = log->waiting.head; l != NULL; l = l->next)
    if (((waiter *)l->data)->handle == handle)
      {
        waiter_finish (log, l, MQ_CLAIM_UNAVAILABLE, actions);
        return;
      }
}

/* Report waiters that timed out as unavailable.  Waiters are in order of their
   timeouts.  */
static void
log_give_up (mq_claim_log *log, uint64_t now_us, GArray *actions)
{
  GList *l = log->waiting.head;

  while (l != NULL && now_us >= ((waiter *)l->data)->give_up_us)
    {
      waiter_finish (log, l, MQ_CLAIM_UNAVAILABLE, actions);
      l = log->waiting.head;
    }
}

static bool
log_has_work (const mq_claim_log *log)
{
  return log->waiting.length > 0 || log->dirty;
}

/* Begin the next read or write if one is due.  */
static void
log_begin_io (mq_claim_log *log, const mq_claims_event *event, GArray *actions)
{
  log_give_up (log, event->now_us, actions);
  if (log->phase != LOG_IDLE || !log_has_work (log)
      || event->now_us < log->due_us)
    return;
  if (!log->loaded || log->stale)
    log_read (log, actions);
  else if (event->now_us >= log->write_us)
    log_write (log, event, actions);
  if (log->phase == LOG_IDLE && log->stale)
    log_read (log, actions);
}

static void
action_clear (gpointer data)
{
  mq_claim_log_action *a = data;

  mq_str_unref (a->value);
}

uint32_t
mq_claim_log_shard (mq_span organisation, mq_span key, uint32_t n)
{
  unsigned char digest[MQ_CLAIM_DIGEST_SIZE];

  /* Entries are identified by the first part of the digest, so take the shard
     from another part.  */
  mq_claim_digest (organisation, key, digest);
  return (uint32_t)(mq_bytes_get_u64 (digest + DIGEST_SIZE) % n);
}

mq_claim_log *
mq_claim_log_new (const mq_claim_log_options *options)
{
  mq_claim_log *log = g_new0 (mq_claim_log, 1);

  log->options = *options;
  log->entries = entries_new ();
  log->text = g_string_new (MAGIC);
  log->held_sequences
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  log->won
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  g_queue_init (&log->waiting);
  return log;
}

void
mq_claim_log_free (mq_claim_log *log)
{
  if (log == NULL)
    return;
  g_hash_table_destroy (log->entries);
  g_string_free (log->text, TRUE);
  g_hash_table_destroy (log->held_sequences);
  g_hash_table_destroy (log->won);
  g_queue_clear_full (&log->waiting, g_free);
  g_free (log);
}

GArray *
mq_claim_log_actions_new (void)
{
  GArray *actions = g_array_new (FALSE, FALSE, sizeof (mq_claim_log_action));

  g_array_set_clear_func (actions, action_clear);
  return actions;
}

void
mq_claim_log_handle (mq_claim_log *log, const mq_claims_event *event,
                     GArray *actions)
{
  switch (event->kind)
    {
    case MQ_CLAIMS_START:
      log_start (log, event, actions);
      break;
    case MQ_CLAIMS_REPLY:
      log_reply (log, event, actions);
      break;
    case MQ_CLAIMS_SETTLED:
      log_settled (log, event, actions);
      break;
    case MQ_CLAIMS_TICK:
      break;
    }
  log_begin_io (log, event, actions);
}

uint64_t
mq_claim_log_next_tick (const mq_claim_log *log)
{
  const waiter *first = g_queue_peek_head ((GQueue *)&log->waiting);
  uint64_t due = first == NULL ? UINT64_MAX : first->give_up_us;

  if (log->phase != LOG_IDLE || !log_has_work (log))
    return due;
  if (!log->loaded || log->stale)
    return MIN (due, log->due_us);
  return MIN (due, MAX (log->due_us, log->write_us));
}

uint32_t
mq_claim_log_count (const mq_claim_log *log)
{
  return g_hash_table_size (log->entries);
}
