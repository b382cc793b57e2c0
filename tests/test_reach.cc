/* Whether a router reaches the upstreams over its own links.  */

#include <mq/reach.h>

#include <gtest/gtest.h>

namespace
{

const uint64_t ms = 1000;

bool
check (mq_reach &r, mq_reach_sample sample, uint64_t now_us)
{
  mq_reach_check_began (&r, now_us);
  return mq_reach_check_ended (&r, &sample);
}

} // namespace

TEST (Reach, IsSureUntilConnectionFails)
{
  mq_reach r = {};

  EXPECT_TRUE (mq_reach_is_sure (&r));
  EXPECT_FALSE (mq_reach_check_is_due (&r, 1000 * ms));
  mq_reach_suspect (&r);
  EXPECT_FALSE (mq_reach_is_sure (&r));
  EXPECT_TRUE (mq_reach_check_is_due (&r, 1000 * ms));
}

TEST (Reach, OneUpstreamDownLeavesRouterSure)
{
  mq_reach r = {};

  mq_reach_suspect (&r);
  EXPECT_FALSE (check (r, { 5, 1, 0 }, 1000 * ms));
  EXPECT_FALSE (r.isolated);
  EXPECT_TRUE (mq_reach_is_sure (&r));
}

TEST (Reach, RouterThatReachesNoneIsIsolated)
{
  for (mq_reach_sample s :
       { mq_reach_sample{ 0, 6, 0 }, mq_reach_sample{ 0, 0, 6 },
         mq_reach_sample{ 0, 0, 1 }, mq_reach_sample{ 1, 2, 3 } })
    {
      mq_reach r = {};

      mq_reach_suspect (&r);
      EXPECT_TRUE (check (r, s, 1000 * ms));
      EXPECT_TRUE (r.isolated);
      EXPECT_FALSE (mq_reach_is_sure (&r));
    }
}

TEST (Reach, FailureDuringCheckKeepsDoubt)
{
  mq_reach r = {};
  mq_reach_sample up = { 6, 0, 0 };

  mq_reach_suspect (&r);
  mq_reach_check_began (&r, 1000 * ms);
  mq_reach_suspect (&r);
  EXPECT_FALSE (mq_reach_check_ended (&r, &up));
  EXPECT_FALSE (mq_reach_is_sure (&r));
  EXPECT_FALSE (mq_reach_check_is_due (&r, 1005 * ms));
  EXPECT_TRUE (mq_reach_check_is_due (&r, 1050 * ms));
  EXPECT_FALSE (mq_reach_confirms (&r, 1001 * ms));
  EXPECT_FALSE (check (r, { 6, 0, 0 }, 1050 * ms));
  EXPECT_TRUE (mq_reach_confirms (&r, 1001 * ms));
}

TEST (Reach, IsolatedRouterChecksUntilLinksAreUpTwice)
{
  mq_reach r = {};

  mq_reach_suspect (&r);
  EXPECT_TRUE (check (r, { 0, 0, 6 }, 1000 * ms));
  EXPECT_FALSE (mq_reach_check_is_due (&r, 1199 * ms));
  EXPECT_TRUE (mq_reach_check_is_due (&r, 1200 * ms));
  EXPECT_FALSE (check (r, { 6, 0, 0 }, 1200 * ms));
  EXPECT_FALSE (mq_reach_confirms (&r, 1100 * ms));
  EXPECT_FALSE (check (r, { 0, 6, 0 }, 1400 * ms));
  EXPECT_FALSE (check (r, { 6, 0, 0 }, 1600 * ms));
  EXPECT_TRUE (r.isolated);
  EXPECT_TRUE (check (r, { 3, 0, 3 }, 1800 * ms));
  EXPECT_TRUE (mq_reach_is_sure (&r));
  EXPECT_FALSE (mq_reach_check_is_due (&r, 9000 * ms));
}

TEST (Reach, CheckWithoutUpstreamsChangesNothing)
{
  mq_reach r = {};

  mq_reach_suspect (&r);
  EXPECT_FALSE (check (r, { 0, 0, 0 }, 1000 * ms));
  EXPECT_FALSE (r.isolated);
}
