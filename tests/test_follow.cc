/* Which routers follow the store themselves.  */

#include <mq/follow.h>

#include <gtest/gtest.h>

namespace
{

constexpr uint64_t s = 1000 * 1000;

} // namespace

TEST (Follow, TheFirstOfADomainAlwaysFollow)
{
  mq_follow f = {};

  for (uint64_t now = s; now < 20 * s; now += s)
    EXPECT_FALSE (mq_follow_tick (&f, 3, 4, now));
  EXPECT_FALSE (f.told);
}

TEST (Follow, OthersLeaveItToThemAfterAWhile)
{
  mq_follow f = {};

  EXPECT_FALSE (mq_follow_tick (&f, 4, 4, s));
  EXPECT_FALSE (mq_follow_tick (&f, 4, 4, 3 * s));
  EXPECT_TRUE (mq_follow_tick (&f, 4, 4, 4 * s));
  EXPECT_TRUE (f.told);
  EXPECT_FALSE (mq_follow_tick (&f, 4, 4, 5 * s));
}

TEST (Follow, WhoIsNeededBeginsAtOnce)
{
  mq_follow f = { true, s };

  EXPECT_TRUE (mq_follow_tick (&f, 3, 4, 9 * s));
  EXPECT_FALSE (f.told);
  /* And does not leave it again for a flicker.  */
  EXPECT_FALSE (mq_follow_tick (&f, 4, 4, 9 * s + 1));
}

TEST (Follow, TheFirstTwoTellTheOthers)
{
  mq_follow follows = {}, told = { true, s };

  EXPECT_TRUE (mq_follow_tells (&follows, 0));
  EXPECT_TRUE (mq_follow_tells (&follows, 1));
  EXPECT_FALSE (mq_follow_tells (&follows, 2));
  EXPECT_FALSE (mq_follow_tells (&told, 0));
}
