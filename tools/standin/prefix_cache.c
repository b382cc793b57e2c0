/* An engine's cache of prompt prefixes: see prefix_cache.h.  */

#include <standin/prefix_cache.h>

/* Older events are discarded, visible or not.  */
#define MAX_EVENTS 4096

typedef struct prefix_entry
{
  uint64_t prefix;
  uint32_t positions;
  GList link; /* In mq_prefix_cache.used; its data is the entry.  */
} prefix_entry;

struct mq_prefix_cache
{
  mq_prefix_options options;
  GHashTable *entries; /* &prefix -> prefix_entry, owned  */
  GQueue used;         /* Least recently used first.  */
  uint32_t positions;
  GQueue events; /* of mq_prefix_event, owned  */
  uint64_t last_number;
};

/* Record an event.  Every event takes a number, also one that falls into a
   gap.  */
static void
cache_publish (mq_prefix_cache *cache, uint64_t now_us, uint64_t prefix,
               bool stored)
{
  uint64_t n = ++cache->last_number;
  mq_prefix_event *e;

  if (mq_hash_mix (cache->options.seed, n) % 100 < cache->options.gap_percent)
    return;
  e = g_new0 (mq_prefix_event, 1);
  e->number = n;
  e->prefix = prefix;
  e->at_us = now_us;
  e->stored = stored;
  g_queue_push_tail (&cache->events, e);
  if (cache->events.length > MAX_EVENTS)
    g_free (g_queue_pop_head (&cache->events));
}

static void
cache_evict (mq_prefix_cache *cache, uint64_t now_us, prefix_entry *e)
{
  cache->positions -= e->positions;
  g_queue_unlink (&cache->used, &e->link);
  cache_publish (cache, now_us, e->prefix, false);
  g_hash_table_remove (cache->entries, &e->prefix);
}

uint64_t
mq_prefix_hash (mq_span prompt)
{
  prompt.size = MIN (prompt.size, MQ_PREFIX_BYTES);
  return mq_span_hash (prompt);
}

mq_prefix_cache *
mq_prefix_cache_new (const mq_prefix_options *options)
{
  mq_prefix_cache *c = g_new0 (mq_prefix_cache, 1);

  c->options = *options;
  c->entries
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  g_queue_init (&c->used);
  g_queue_init (&c->events);
  return c;
}

void
mq_prefix_cache_free (mq_prefix_cache *cache)
{
  if (cache == NULL)
    return;
  g_hash_table_destroy (cache->entries);
  g_queue_clear_full (&cache->events, g_free);
  g_free (cache);
}

uint32_t
mq_prefix_cache_use (mq_prefix_cache *cache, uint64_t prefix)
{
  prefix_entry *e = g_hash_table_lookup (cache->entries, &prefix);

  if (e == NULL)
    return 0;
  g_queue_unlink (&cache->used, &e->link);
  g_queue_push_tail_link (&cache->used, &e->link);
  return e->positions;
}

void
mq_prefix_cache_store (mq_prefix_cache *cache, uint64_t now_us,
                       uint64_t prefix, uint32_t positions)
{
  prefix_entry *e;

  if (positions == 0 || positions > cache->options.limit
      || mq_prefix_cache_use (cache, prefix) > 0)
    return;
  mq_prefix_cache_shrink (cache, now_us, cache->options.limit - positions);
  e = g_new0 (prefix_entry, 1);
  e->prefix = prefix;
  e->positions = positions;
  e->link.data = e;
  g_queue_push_tail_link (&cache->used, &e->link);
  g_hash_table_insert (cache->entries, &e->prefix, e);
  cache->positions += positions;
  cache_publish (cache, now_us, prefix, true);
}

void
mq_prefix_cache_clear (mq_prefix_cache *cache, uint64_t now_us)
{
  mq_prefix_cache_shrink (cache, now_us, 0);
}

uint32_t
mq_prefix_cache_used (const mq_prefix_cache *cache)
{
  return cache->positions;
}

void
mq_prefix_cache_shrink (mq_prefix_cache *cache, uint64_t now_us,
                        uint32_t limit)
{
  prefix_entry *e;

  while (cache->positions > limit
         && (e = g_queue_peek_head (&cache->used)) != NULL)
    cache_evict (cache, now_us, e);
}

GArray *
mq_prefix_cache_events (const mq_prefix_cache *cache, uint64_t now_us,
                        uint64_t after)
{
  GArray *list = g_array_new (FALSE, FALSE, sizeof (mq_prefix_event));

  for (GList *l = cache->events.head; l != NULL; l = l->next)
    {
      const mq_prefix_event *e = l->data;

      if (e->number > after
          && e->at_us + cache->options.event_lag_us <= now_us)
        g_array_append_vals (list, e, 1);
    }
  return list;
}
