/* Which requests a router that stops still takes.  Guards against requests
   that are cut by its end, and against refusals of those that would end in
   time.  */

#include <mq/drain_rule.h>

#include <gtest/gtest.h>

namespace
{

constexpr uint64_t ms = 1000;
constexpr uint64_t s = 1000 * ms;
constexpr uint64_t grace = 8 * s;

mq_latency_estimate
known (double mean_ms, double deviation_ms)
{
  return { mean_ms, deviation_ms, 8 };
}

bool
takes (uint64_t limit_us, bool repeatable, const mq_latency_estimate &e,
       uint64_t left_us)
{
  mq_drain_request r = { limit_us, repeatable, &e };

  return mq_drain_takes (&r, left_us, grace);
}

} // namespace

TEST (DrainRule, TakesWhatEndsInTimeAtTheLatest)
{
  for (bool repeatable : { false, true })
    {
      EXPECT_TRUE (takes (2 * s, repeatable, known (3000, 500), 2 * s));
      EXPECT_TRUE (takes (2 * s, repeatable, {}, 2 * s));
      EXPECT_FALSE (takes (2 * s, repeatable, {}, 2 * s - 1));
    }
}

/* A route with a long limit whose requests are short is served almost to the
   end.  */
TEST (DrainRule, TakesWhatIsExpectedToEndInTime)
{
  EXPECT_TRUE (takes (20 * s, false, known (60, 30), 180 * ms));
  EXPECT_FALSE (takes (20 * s, false, known (60, 30), 179 * ms));
}

/* The work of a request that must not be repeated is lost when it is cut.  */
TEST (DrainRule, LeavesMoreTimeToWhatMustNotBeRepeated)
{
  EXPECT_TRUE (takes (20 * s, true, known (3000, 1000), 4 * s));
  EXPECT_FALSE (takes (20 * s, false, known (3000, 1000), 4 * s));
  EXPECT_TRUE (takes (20 * s, false, known (3000, 1000), 7 * s));
}

/* Nothing is known of a route: it is neither refused from the start nor taken
   to the end.  */
TEST (DrainRule, TakesUnknownInFirstHalf)
{
  mq_latency_estimate few = { 60, 30, 7 };

  EXPECT_TRUE (takes (20 * s, false, few, 4 * s));
  EXPECT_FALSE (takes (20 * s, false, few, 4 * s - 1));
}
