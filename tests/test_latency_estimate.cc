/* The timeout that follows from the mean and deviation of a latency.  */

#include <mq/latency_estimate.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace
{

constexpr double min_ms = 1;
constexpr double max_ms = 100000;

mq_latency_estimate
estimate_of (const std::vector<double> &samples)
{
  mq_latency_estimate e = {};

  for (double s : samples)
    mq_latency_estimate_add (&e, s);
  return e;
}

} // namespace

TEST (LatencyEstimate, FewSamplesGiveMaximumTimeout)
{
  mq_latency_estimate e = estimate_of ({ 40, 41, 39 });

  EXPECT_EQ (mq_latency_estimate_timeout_ms (&e, 50, 300), 300);
}

TEST (LatencyEstimate, SteadyLatencyTimesOutAfterOneAndAHalfTimes)
{
  for (double ms : { 16.0, 48.0, 144.0 })
    {
      mq_latency_estimate e = estimate_of (std::vector<double> (100, ms));
      double timeout = mq_latency_estimate_timeout_ms (&e, min_ms, max_ms);

      EXPECT_GE (timeout, ms * 1.4);
      EXPECT_LE (timeout, ms * 1.6);
    }
}

/* The timeout depends on no constant of a deployment: a latency N times as
   high has N times the timeout.  */
RC_GTEST_PROP (LatencyEstimate, TheTimeoutScalesWithTheLatency, ())
{
  auto samples = *rc::gen::container<std::vector<double> > (
      50, rc::gen::map (rc::gen::inRange (1, 1000),
                        [] (int n) { return n * 0.1; }));
  double factor = *rc::gen::elementOf (std::vector<double>{ 1 / 3.0, 2, 3 });
  std::vector<double> scaled;

  for (double s : samples)
    scaled.push_back (s * factor);
  mq_latency_estimate a = estimate_of (samples);
  mq_latency_estimate b = estimate_of (scaled);
  double x = mq_latency_estimate_timeout_ms (&a, 1e-9, max_ms);
  double y = mq_latency_estimate_timeout_ms (&b, 1e-9, max_ms);
  RC_ASSERT (std::abs (y - x * factor) < 1e-6 * y);
}

/* The timeout stays within its limits and above the mean.  */
RC_GTEST_PROP (LatencyEstimate, TheTimeoutKeepsItsLimits, ())
{
  auto samples = *rc::gen::container<std::vector<double> > (
      50, rc::gen::map (rc::gen::inRange (0, 5000),
                        [] (int n) { return n * 1.0; }));
  mq_latency_estimate e = estimate_of (samples);
  double timeout = mq_latency_estimate_timeout_ms (&e, 50, 300);

  RC_ASSERT (timeout >= 50 && timeout <= 300);
  RC_ASSERT (timeout == 300 || timeout >= e.mean_ms);
}
