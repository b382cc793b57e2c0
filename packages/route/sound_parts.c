/* When requests with a part of a prompt last ran well: see
   mq/sound_parts.h.  */

#include <mq/sound_parts.h>

#include <mq/str.h>

#define SETS 1024
#define ENTRIES_PER_SET 4
#define HASH_SEED ((uint64_t)0x736f756e64)

/* Returns the entries of PART's set.  */
static mq_sound_part *
parts_set (const mq_sound_parts *parts, uint64_t part)
{
  size_t set = (size_t)(mq_hash_mix (part, HASH_SEED) % SETS);

  return &parts->entries[set * ENTRIES_PER_SET];
}

void
mq_sound_parts_init (mq_sound_parts *parts)
{
  parts->entries = NULL;
}

void
mq_sound_parts_finish (mq_sound_parts *parts)
{
  g_clear_pointer (&parts->entries, g_free);
}

void
mq_sound_parts_note (mq_sound_parts *parts, uint64_t part, uint64_t at_us)
{
  mq_sound_part *set;
  mq_sound_part *oldest;

  if (parts->entries == NULL)
    parts->entries = g_new0 (mq_sound_part, SETS * ENTRIES_PER_SET);
  set = oldest = parts_set (parts, part);
  for (unsigned i = 0; i < ENTRIES_PER_SET; i++)
    {
      if (set[i].part == part)
        {
          set[i].success_us = MAX (set[i].success_us, at_us);
          return;
        }
      if (set[i].success_us < oldest->success_us)
        oldest = &set[i];
    }
  *oldest = (mq_sound_part){ part, at_us };
}

uint64_t
mq_sound_parts_find (const mq_sound_parts *parts, uint64_t part)
{
  const mq_sound_part *set;

  if (parts->entries == NULL)
    return 0;
  set = parts_set (parts, part);
  for (unsigned i = 0; i < ENTRIES_PER_SET; i++)
    if (set[i].part == part)
      return set[i].success_us;
  return 0;
}
