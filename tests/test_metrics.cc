/* Metrics in the Prometheus text format.  */

#include <gtest/gtest.h>
#include <mq/metrics.h>

#include <string>

namespace
{

std::string
render (const mq_metrics *m)
{
  GString *out = g_string_new (nullptr);
  std::string text;

  mq_metrics_render (m, out);
  text = out->str;
  g_string_free (out, TRUE);
  return text;
}

bool
has_line (const std::string &text, const std::string &line)
{
  return ("\n" + text).find ("\n" + line + "\n") != std::string::npos;
}

} // namespace

TEST (Metrics, SeriesOfOneNameShareOneTypeLine)
{
  mq_metrics *m = mq_metrics_new ();
  uint64_t *done = mq_metrics_counter (m, "ends", "outcome=\"done\"", "Ends.");
  std::string text;

  *mq_metrics_gauge (m, "open", "", "Open.") = 7;
  *mq_metrics_counter (m, "ends", "outcome=\"failed\"", "Ends.") += 2;
  *done += 1;
  EXPECT_EQ (mq_metrics_counter (m, "ends", "outcome=\"done\"", ""), done);
  text = render (m);
  EXPECT_TRUE (has_line (text, "ends{outcome=\"done\"} 1")) << text;
  EXPECT_TRUE (has_line (text, "ends{outcome=\"failed\"} 2")) << text;
  EXPECT_TRUE (has_line (text, "open 7")) << text;
  EXPECT_TRUE (has_line (text, "# TYPE open gauge")) << text;
  EXPECT_EQ (text.find ("# TYPE ends"), text.rfind ("# TYPE ends"));
  mq_metrics_free (m);
}

TEST (Metrics, HistogramBucketsAreCumulative)
{
  mq_metrics *m = mq_metrics_new ();
  mq_histogram *h = mq_metrics_histogram (m, "wait_seconds", "", "Waits.");
  std::string text;

  mq_histogram_observe (h, 100);       /* Bounds are inclusive.  */
  mq_histogram_observe (h, 2000);      /* 2 ms  */
  mq_histogram_observe (h, 120000000); /* Beyond the last bound.  */
  text = render (m);
  EXPECT_TRUE (has_line (text, "wait_seconds_bucket{le=\"0.0001\"} 1"))
      << text;
  EXPECT_TRUE (has_line (text, "wait_seconds_bucket{le=\"0.001\"} 1"));
  EXPECT_TRUE (has_line (text, "wait_seconds_bucket{le=\"0.0025\"} 2"));
  EXPECT_TRUE (has_line (text, "wait_seconds_bucket{le=\"60\"} 2"));
  EXPECT_TRUE (has_line (text, "wait_seconds_bucket{le=\"+Inf\"} 3"));
  EXPECT_TRUE (has_line (text, "wait_seconds_sum 120.002100"));
  EXPECT_TRUE (has_line (text, "wait_seconds_count 3"));
  EXPECT_EQ (mq_histogram_count (h), 3u);
  mq_metrics_free (m);
}
