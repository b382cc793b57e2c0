/* Engines of a pipeline, and a plain service, that stand still for a second or
   two and go on: the response is whole whichever stages the engines hold.  */

#include "support/deployment.h"
#include "support/raw_upstream.h"

#include <atomic>

using deployment::Answer;
using deployment::Deployment;
using deployment::Options;
using programs::fetch;
using programs::Reply;

namespace
{

/* The time in ms, and the stages, a bit each: the first, the middle, all.  */
class StoppedEngines
    : public testing::TestWithParam<std::tuple<unsigned, unsigned> >
{
};

} // namespace

TEST_P (StoppedEngines, AnswerIsWhole)
{
  unsigned ms = std::get<0> (GetParam ());
  unsigned stages = std::get<1> (GetParam ()); /* A bit a stage.  */
  std::atomic<bool> stopped{ false };
  Options o;

  o.step_us = 5000;
  Deployment testbed (o);
  ASSERT_TRUE (testbed.ready ());
  auto signal = [&] (int number) {
    for (unsigned i = 0; i < deployment::stages; i++)
      if (stages & (1u << i))
        testbed.engine (i).kill (number);
  };
  programs::Request q = testbed.completion ("fault on unit 7", 40, true);
  std::thread waker;
  q.progress = [&] (const std::string &body) {
    if (deployment::read_events_so_far (body).tokens < 5
        || stopped.exchange (true))
      return;
    signal (SIGSTOP);
    waker = std::thread ([&] {
      std::this_thread::sleep_for (std::chrono::milliseconds (ms));
      signal (SIGCONT);
    });
  };
  Reply r = fetch (q);
  waker.join ();
  Answer a = deployment::read_events (r.body);

  EXPECT_TRUE (r.whole);
  EXPECT_EQ (a.text, deployment::reference ("fault on unit 7", 40));
  EXPECT_TRUE (a.done);
  EXPECT_EQ (a.error, "");
}

INSTANTIATE_TEST_SUITE_P (All, StoppedEngines,
                          testing::Combine (testing::Values (1000u, 1900u),
                                            testing::Values (1u, 2u, 7u)));

/* A plain service that falls silent after it has begun answers each call, and
   runs a booking once.  */
TEST (StoppedService, CallIsAwaited)
{
  std::atomic<unsigned> runs{ 0 };
  raw_upstream::Upstream service ([&] (int fd, const std::string &) {
    runs++;
    raw_upstream::sleep_ms (1900);
    raw_upstream::send_all (fd, "HTTP/1.1 200 OK\r\nContent-Len");
    raw_upstream::send_all (fd, "gth: 4\r\n\r\ndo");
    raw_upstream::sleep_ms (1900);
    raw_upstream::send_all (fd, "ne");
  });
  Options o;

  o.plain = service.url ();
  Deployment testbed (o);
  ASSERT_TRUE (testbed.ready ());
  Reply r = fetch (testbed.booking ("POST", "/book", "unit 7"));

  EXPECT_EQ (r.status, 200);
  EXPECT_EQ (r.body, "done");
  EXPECT_EQ (runs, 1u);
}
