/* When a path counts as silent.  The gaps are those that routers of
   halvorsen-fleet saw on scale-1 --seed 323915425886.  */

#include <mq/path_silence.h>

#include <gtest/gtest.h>

namespace
{

constexpr uint64_t ms = 1000;
constexpr uint64_t every = 10 * ms;

/* A path with events each GAP, and another one that always has some.  */
class PathSilence : public ::testing::Test
{
protected:
  /* Events each GAP for SPAN, and checks.  */
  void
  run (uint64_t gap, uint64_t span)
  {
    for (uint64_t end = now + span; now < end; now += gap)
      {
        mq_path_activity_note (&activity, now);
        silent_after (gap);
      }
  }

  /* Checks over SPAN without an event; when the path counted as silent.  */
  uint64_t
  silent_after (uint64_t span)
  {
    for (uint64_t t = now; t < now + span; t += every)
      {
        mq_path_monitor_check (&monitor, every, t);
        if (mq_path_is_silent (&activity, running, elsewhere ? t : 0, &monitor,
                               t))
          return t - now;
      }
    return 0;
  }

  mq_path_activity activity = {};
  mq_path_monitor monitor = {};
  uint64_t now = 1000 * ms;
  unsigned running = 12;
  bool elsewhere = true;
};

} // namespace

TEST_F (PathSilence, AnEngineThatDiesIsSeenWithinATenthOfASecond)
{
  run (20 * ms, 2000 * ms);
  mq_path_activity_note (&activity, now);
  uint64_t seen = silent_after (500 * ms);
  EXPECT_GE (seen, 70 * ms);
  EXPECT_LE (seen, 80 * ms);
}

TEST_F (PathSilence, UsualGapsAreNoSilence)
{
  run (20 * ms, 2000 * ms);
  for (uint64_t gap : { 57, 53, 66, 50, 60 })
    {
      mq_path_activity_note (&activity, now);
      EXPECT_EQ (silent_after (gap * ms), 0u);
      now += gap * ms;
    }
}

/* halvorsen trouble-2 --seed 492791450403: engines that turned slow made gaps
   of 100 ms, and streams were moved to and fro.  */
TEST_F (PathSilence, ASlowPathIsJudgedByItsOwnGaps)
{
  run (100 * ms, 1000 * ms);
  mq_path_activity_note (&activity, now);
  EXPECT_EQ (silent_after (130 * ms), 0u);
  EXPECT_GT (silent_after (300 * ms), 130 * ms);
  /* It is fast again.  */
  mq_path_activity_note (&activity, now);
  run (20 * ms, 10000 * ms);
  mq_path_activity_note (&activity, now);
  EXPECT_LE (silent_after (500 * ms), 80 * ms);
}

/* A head that was dead for long goes on by another path.  */
TEST_F (PathSilence, TheTimeWithoutAnEngineIsNoGap)
{
  run (20 * ms, 1000 * ms);
  now += 600 * ms;
  run (20 * ms, 1000 * ms);
  mq_path_activity_note (&activity, now);
  EXPECT_LE (silent_after (500 * ms), 80 * ms);
}

/* tekle-entries-grown quiet-1, 6.01 s: silent for 72 ms after a gap of 51. */
TEST_F (PathSilence, FewerStreamsHaveLongerGaps)
{
  running = 5;
  run (51 * ms, 1000 * ms);
  mq_path_activity_note (&activity, now);
  EXPECT_EQ (silent_after (100 * ms), 0u);
  EXPECT_LE (silent_after (500 * ms), 120 * ms);
}

TEST_F (PathSilence, AFewStreamsAreSilentByChance)
{
  running = 3;
  run (20 * ms, 1000 * ms);
  mq_path_activity_note (&activity, now);
  EXPECT_EQ (silent_after (500 * ms), 0u);
}

TEST_F (PathSilence, WhoHearsNobodyBlamesNobody)
{
  elsewhere = false;
  run (20 * ms, 1000 * ms);
  mq_path_activity_note (&activity, now);
  EXPECT_EQ (silent_after (500 * ms), 0u);
}

/* A router may stand still for a tenth of a second when its share of the
   processor is used up.  */
TEST_F (PathSilence, ARouterThatStoodStillWaitsAnew)
{
  run (20 * ms, 1000 * ms);
  mq_path_activity_note (&activity, now);
  now += 100 * ms;
  uint64_t seen = silent_after (500 * ms);
  EXPECT_GE (seen, 70 * ms);
}

TEST_F (PathSilence, MovedStreamsSlowThePathTheyWentTo)
{
  run (20 * ms, 1000 * ms);
  mq_path_activity_note (&activity, now);
  monitor.moved_us = now;
  uint64_t seen = silent_after (500 * ms);
  EXPECT_GE (seen, 140 * ms);
}
