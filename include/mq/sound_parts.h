/* When requests with a part of a prompt last ran well.

   A cache of bounded size: of the parts that share a set of entries, those
   that ran least recently are evicted.  It knows nothing of the clock; times
   are those of the caller, and the latest counts.  */

#ifndef MQ_SOUND_PARTS_H
#define MQ_SOUND_PARTS_H

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

typedef struct mq_sound_part
{
  uint64_t part;       /* 0: the entry is free.  */
  uint64_t success_us; /* Of the last run.  */
} mq_sound_part;

typedef struct mq_sound_parts
{
  mq_sound_part *entries; /* Owned; NULL before the first success.  */
} mq_sound_parts;

void mq_sound_parts_init (mq_sound_parts *parts);
void mq_sound_parts_finish (mq_sound_parts *parts);
/* A request with PART ran well at AT_US.  */
void mq_sound_parts_note (mq_sound_parts *parts, uint64_t part,
                          uint64_t at_us);
/* Returns when a request with PART last ran well, or 0 if that is not known.
 */
uint64_t mq_sound_parts_find (const mq_sound_parts *parts, uint64_t part);

G_END_DECLS

#endif
