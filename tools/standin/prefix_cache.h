/* An engine's cache of prompt prefixes in limited memory, with the events
   that it publishes late and with gaps.

   Prefixes are evicted in the order in which they were last used.  An event
   shows some time after it happened; some are never shown, though they take
   a number.  No clock or random source inside: the time is passed in and the
   gaps follow from the seed.  */

#ifndef MQ_STANDIN_PREFIX_CACHE_H
#define MQ_STANDIN_PREFIX_CACHE_H

#include <mq/str.h>

G_BEGIN_DECLS

/* Bytes of a prompt that make up its prefix.  */
#define MQ_PREFIX_BYTES 1024

typedef struct mq_prefix_cache mq_prefix_cache;

typedef struct mq_prefix_options
{
  uint32_t limit; /* Positions held at the most.  */
  uint64_t event_lag_us;
  uint32_t gap_percent; /* Of events that are never shown.  */
  uint64_t seed;
} mq_prefix_options;

typedef struct mq_prefix_event
{
  uint64_t number; /* Counts from 1.  */
  uint64_t prefix;
  uint64_t at_us;
  bool stored; /* Else evicted.  */
} mq_prefix_event;

/* The hash that names the prefix of PROMPT.  */
uint64_t mq_prefix_hash (mq_span prompt);

mq_prefix_cache *mq_prefix_cache_new (const mq_prefix_options *options);
void mq_prefix_cache_free (mq_prefix_cache *cache);

/* The positions that PREFIX saves, and mark it as used; 0 when absent.  */
uint32_t mq_prefix_cache_use (mq_prefix_cache *cache, uint64_t prefix);

/* Hold PREFIX with its POSITIONS, evicting others for it.  */
void mq_prefix_cache_store (mq_prefix_cache *cache, uint64_t now_us,
                            uint64_t prefix, uint32_t positions);

/* Evict all; the weights have changed.  */
void mq_prefix_cache_clear (mq_prefix_cache *cache, uint64_t now_us);

/* Positions held.  */
uint32_t mq_prefix_cache_used (const mq_prefix_cache *cache);

/* Evict until at most LIMIT positions are held.  */
void mq_prefix_cache_shrink (mq_prefix_cache *cache, uint64_t now_us,
                             uint32_t limit);

/* The events numbered above AFTER that show at NOW_US: a new array of
   mq_prefix_event.  */
GArray *mq_prefix_cache_events (const mq_prefix_cache *cache, uint64_t now_us,
                                uint64_t after);

G_END_DECLS

#endif
