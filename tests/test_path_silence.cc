/* When a path counts as silent.  The gaps are those that routers of
   halvorsen-fleet saw on scale-1 --seed 323915425886.  */

#include <mq/path_silence.h>

#include <gtest/gtest.h>

namespace
{

constexpr uint64_t ms = 1000;
constexpr uint64_t look = 10 * ms;

/* A path with events each GAP, and another one that always has some.  */
class PathSilence : public ::testing::Test
{
protected:
  /* Events each GAP for SPAN, and looks.  */
  void
  run (uint64_t gap, uint64_t span)
  {
    for (uint64_t end = now + span; now < end; now += gap)
      {
        mq_path_ear_hear (&ear, now);
        looks (gap);
      }
  }

  /* Looks over SPAN without an event; when the path counted as silent.  */
  uint64_t
  looks (uint64_t span)
  {
    for (uint64_t t = now; t < now + span; t += look)
      {
        mq_path_listener_look (&listener, look, t);
        if (mq_path_is_silent (&ear, running, elsewhere ? t : 0, &listener, t))
          return t - now;
      }
    return 0;
  }

  mq_path_ear ear = {};
  mq_path_listener listener = {};
  uint64_t now = 1000 * ms;
  unsigned running = 12;
  bool elsewhere = true;
};

} // namespace

TEST_F (PathSilence, AnEngineThatDiesIsSeenWithinATenthOfASecond)
{
  run (20 * ms, 2000 * ms);
  mq_path_ear_hear (&ear, now);
  uint64_t seen = looks (500 * ms);
  EXPECT_GE (seen, 70 * ms);
  EXPECT_LE (seen, 80 * ms);
}

TEST_F (PathSilence, UsualLullsAreNoSilence)
{
  run (20 * ms, 2000 * ms);
  for (uint64_t gap : { 57, 53, 66, 50, 60 })
    {
      mq_path_ear_hear (&ear, now);
      EXPECT_EQ (looks (gap * ms), 0u);
      now += gap * ms;
    }
}

/* halvorsen trouble-2 --seed 492791450403: engines that turned slow made lulls
   of 100 ms, and streams were moved to and fro.  */
TEST_F (PathSilence, ASlowPathIsJudgedByItsOwnLulls)
{
  run (100 * ms, 1000 * ms);
  mq_path_ear_hear (&ear, now);
  EXPECT_EQ (looks (130 * ms), 0u);
  EXPECT_GT (looks (300 * ms), 130 * ms);
  /* It is fast again.  */
  mq_path_ear_hear (&ear, now);
  run (20 * ms, 10000 * ms);
  mq_path_ear_hear (&ear, now);
  EXPECT_LE (looks (500 * ms), 80 * ms);
}

/* A head that was dead for long goes on by another path.  */
TEST_F (PathSilence, TheTimeWithoutAnEngineIsNoLull)
{
  run (20 * ms, 1000 * ms);
  now += 600 * ms;
  run (20 * ms, 1000 * ms);
  mq_path_ear_hear (&ear, now);
  EXPECT_LE (looks (500 * ms), 80 * ms);
}

/* tekle-entries-grown quiet-1, 6.01 s: silent for 72 ms after a lull of 51. */
TEST_F (PathSilence, FewerStreamsHaveLongerLulls)
{
  running = 5;
  run (51 * ms, 1000 * ms);
  mq_path_ear_hear (&ear, now);
  EXPECT_EQ (looks (100 * ms), 0u);
  EXPECT_LE (looks (500 * ms), 120 * ms);
}

TEST_F (PathSilence, AFewStreamsAreSilentByChance)
{
  running = 3;
  run (20 * ms, 1000 * ms);
  mq_path_ear_hear (&ear, now);
  EXPECT_EQ (looks (500 * ms), 0u);
}

TEST_F (PathSilence, WhoHearsNobodyBlamesNobody)
{
  elsewhere = false;
  run (20 * ms, 1000 * ms);
  mq_path_ear_hear (&ear, now);
  EXPECT_EQ (looks (500 * ms), 0u);
}

/* A router may stand still for a tenth of a second when its share of the
   processor is used up.  */
TEST_F (PathSilence, ARouterThatStoodStillWaitsAnew)
{
  run (20 * ms, 1000 * ms);
  mq_path_ear_hear (&ear, now);
  now += 100 * ms;
  uint64_t seen = looks (500 * ms);
  EXPECT_GE (seen, 70 * ms);
}

TEST_F (PathSilence, MovedStreamsSlowThePathTheyWentTo)
{
  run (20 * ms, 1000 * ms);
  mq_path_ear_hear (&ear, now);
  listener.moved_us = now;
  uint64_t seen = looks (500 * ms);
  EXPECT_GE (seen, 140 * ms);
}
