/* The table of guarded calls: see mq/internal/idempotency.h.

   Values that ended are in a queue in the order in which they ended, which is
   also the order of their eviction.  */

#include <mq/internal/defect.h>
#include <mq/internal/idempotency.h>

typedef struct guard_entry
{
  mq_str *name; /* Also the key in the table, which borrows it.  */
  uint64_t body_hash;
  bool running;
  mq_outcome outcome;
  uint64_t evict_us;
} guard_entry;

struct mq_idempotency
{
  uint32_t limit;
  uint64_t retention_us;
  GHashTable *entries; /* Name (mq_str) to guard_entry, owned.  */
  GQueue finished;     /* Of guard_entry, borrowed, first ended first.  */
};

static guint
guard_hash (gconstpointer key)
{
  return (guint)mq_span_hash (mq_str_span (key));
}

static gboolean
guard_equal (gconstpointer a, gconstpointer b)
{
  return mq_span_equal (mq_str_span (a), mq_str_span (b));
}

static void
guard_entry_free (gpointer data)
{
  guard_entry *g = data;

  mq_str_unref (g->name);
  g_free (g);
}

/* Returns a new name.  It contains the length of the organisation, so that no
   two pairs of organisation and value have the same name.  */
static mq_str *
guard_name (mq_guard_kind kind, mq_span organisation, mq_span value)
{
  return mq_str_printf ("%d:%zu:%.*s:%.*s", (int)kind, organisation.size,
                        MQ_SPAN_ARG (organisation), MQ_SPAN_ARG (value));
}

static void
idempotency_expire (mq_idempotency *guards, uint64_t now_us)
{
  guard_entry *g;

  while ((g = g_queue_peek_head (&guards->finished)) != NULL
         && g->evict_us <= now_us)
    {
      g_queue_pop_head (&guards->finished);
      g_hash_table_remove (guards->entries, g->name);
    }
}

mq_idempotency *
mq_idempotency_new (uint32_t limit, uint64_t retention_us)
{
  mq_idempotency *m = g_new0 (mq_idempotency, 1);

  m->limit = limit;
  m->retention_us = retention_us;
  m->entries = g_hash_table_new_full (guard_hash, guard_equal, NULL,
                                      guard_entry_free);
  g_queue_init (&m->finished);
  return m;
}

void
mq_idempotency_free (mq_idempotency *guards)
{
  if (guards == NULL)
    return;
  g_queue_clear (&guards->finished);
  g_hash_table_unref (guards->entries);
  g_free (guards);
}

static mq_guard_verdict
guard_check (const guard_entry *g, uint64_t body_hash, mq_outcome *outcome)
{
  if (g == NULL || mq_defect_enabled (MQ_DEFECT_TICKET_RUN_TWICE))
    return MQ_GUARD_RUN;
  if (g->body_hash != body_hash)
    return MQ_GUARD_OTHER_BODY;
  if (g->running)
    return MQ_GUARD_IN_FLIGHT;
  *outcome = g->outcome;
  return MQ_GUARD_FINISHED;
}

mq_guard_verdict
mq_idempotency_lookup (mq_idempotency *guards, mq_guard_kind kind,
                       mq_span organisation, mq_span value, uint64_t body_hash,
                       uint64_t now_us, mq_outcome *outcome)
{
  mq_str *name = guard_name (kind, organisation, value);
  mq_guard_verdict verdict;

  idempotency_expire (guards, now_us);
  verdict = guard_check (g_hash_table_lookup (guards->entries, name),
                         body_hash, outcome);
  mq_str_unref (name);
  return verdict;
}

mq_guard_verdict
mq_idempotency_begin (mq_idempotency *guards, mq_guard_kind kind,
                      mq_span organisation, mq_span value, uint64_t body_hash,
                      uint64_t now_us, mq_outcome *outcome)
{
  mq_str *name = guard_name (kind, organisation, value);
  guard_entry *g;
  mq_guard_verdict verdict = MQ_GUARD_RUN;

  idempotency_expire (guards, now_us);
  g = g_hash_table_lookup (guards->entries, name);
  if (g != NULL)
    verdict = guard_check (g, body_hash, outcome);
  else if (g_hash_table_size (guards->entries) >= guards->limit)
    verdict = MQ_GUARD_FULL;
  else
    {
      g = g_new0 (guard_entry, 1);
      g->name = mq_str_ref (name);
      g->body_hash = body_hash;
      g->running = true;
      g_hash_table_insert (guards->entries, g->name, g);
    }
  mq_str_unref (name);
  return verdict;
}

void
mq_idempotency_finish (mq_idempotency *guards, mq_guard_kind kind,
                       mq_span organisation, mq_span value, mq_outcome outcome,
                       uint64_t now_us)
{
  mq_str *name = guard_name (kind, organisation, value);
  guard_entry *g = g_hash_table_lookup (guards->entries, name);

  if (g != NULL && g->running)
    {
      if (outcome == MQ_OUTCOME_NOT_RUN)
        g_hash_table_remove (guards->entries, name);
      else
        {
          g->running = false;
          g->outcome = outcome;
          g->evict_us = now_us + guards->retention_us;
          g_queue_push_tail (&guards->finished, g);
        }
    }
  mq_str_unref (name);
}

uint32_t
mq_idempotency_count (const mq_idempotency *guards)
{
  return g_hash_table_size (guards->entries);
}
