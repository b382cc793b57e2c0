/* When parts of prompts last ran well: see mq/sound_parts.h.  */

#include <mq/sound_parts.h>

#include <gtest/gtest.h>

TEST (SoundParts, LatestSuccessCounts)
{
  mq_sound_parts p;

  mq_sound_parts_init (&p);
  EXPECT_EQ (mq_sound_parts_find (&p, 7), 0u);
  mq_sound_parts_note (&p, 7, 100);
  mq_sound_parts_note (&p, 7, 50);
  EXPECT_EQ (mq_sound_parts_find (&p, 7), 100u);
  EXPECT_EQ (mq_sound_parts_find (&p, 8), 0u);
  mq_sound_parts_finish (&p);
}

/* The size is bounded, and what is used often stays.  */
TEST (SoundParts, RareOnesAreEvicted)
{
  mq_sound_parts p;
  unsigned known = 0;

  mq_sound_parts_init (&p);
  for (uint64_t i = 1; i <= 100000; i++)
    {
      mq_sound_parts_note (&p, 1000000, i);
      mq_sound_parts_note (&p, i, i);
    }
  EXPECT_EQ (mq_sound_parts_find (&p, 1000000), 100000u);
  for (uint64_t i = 1; i <= 100000; i++)
    known += mq_sound_parts_find (&p, i) != 0;
  EXPECT_LE (known, 4096u);
  EXPECT_GT (known, 2000u);
  mq_sound_parts_finish (&p);
}
