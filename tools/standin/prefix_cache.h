/* An engine's cache of prompt prefixes, bounded in size, and the events that
   it publishes late and with gaps.

   The least recently used prefix is evicted first.  An event becomes visible
   some time after it happened.  Some events take a number but never become
   visible.  The cache reads no clock and no random source: the time is passed
   in, and the gaps follow from the seed.  */

#ifndef MQ_STANDIN_PREFIX_CACHE_H
#define MQ_STANDIN_PREFIX_CACHE_H

#include <mq/str.h>

G_BEGIN_DECLS

/* The prefix of a prompt is its first bytes, up to this many.  */
#define MQ_PREFIX_BYTES 1024

typedef struct mq_prefix_cache mq_prefix_cache;

typedef struct mq_prefix_options
{
  uint32_t limit;        /* Maximum number of positions held.  */
  uint64_t event_lag_us; /* From an event until it is visible.  */
  uint32_t gap_percent;  /* Share of events that never become visible.  */
  uint64_t seed;
} mq_prefix_options;

typedef struct mq_prefix_event
{
  uint64_t number; /* Counts from 1.  */
  uint64_t prefix;
  uint64_t at_us;
  bool stored; /* False: evicted.  */
} mq_prefix_event;

/* Return the hash that identifies the prefix of PROMPT.  */
uint64_t mq_prefix_hash (mq_span prompt);

mq_prefix_cache *mq_prefix_cache_new (const mq_prefix_options *options);
void mq_prefix_cache_free (mq_prefix_cache *cache);

/* Return the positions held for PREFIX and mark it as the most recently used;
   0 when it is not cached.  */
uint32_t mq_prefix_cache_use (mq_prefix_cache *cache, uint64_t prefix);

/* Cache PREFIX, which takes POSITIONS, and evict others to make room.  A
   prefix that is cached already is only marked as used.  Without effect when
   POSITIONS is 0 or above the limit.  */
void mq_prefix_cache_store (mq_prefix_cache *cache, uint64_t now_us,
                            uint64_t prefix, uint32_t positions);

/* Evict everything.  */
void mq_prefix_cache_clear (mq_prefix_cache *cache, uint64_t now_us);

/* Return the number of positions held.  */
uint32_t mq_prefix_cache_used (const mq_prefix_cache *cache);

/* Evict until at most LIMIT positions are held.  */
void mq_prefix_cache_shrink (mq_prefix_cache *cache, uint64_t now_us,
                             uint32_t limit);

/* Return the events numbered above AFTER that are visible at NOW_US, oldest
   first: a new array of mq_prefix_event.  */
GArray *mq_prefix_cache_events (const mq_prefix_cache *cache, uint64_t now_us,
                                uint64_t after);

G_END_DECLS

#endif
