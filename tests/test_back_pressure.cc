/* A client that reads slowly must pause the engine; the router must not buffer
   the response.  */

#include "support/deployment.h"
#include "support/fast_engine.h"

using deployment::Answer;
using deployment::Deployment;
using deployment::Options;
using programs::fetch;
using programs::Reply;
using programs::Request;

namespace
{

constexpr unsigned tokens = 60000;
constexpr size_t response_bytes = (size_t)tokens * 1000;

/* Wait until FAST has stopped writing for a while.  Returns the bytes that it
   has written.  */
size_t
bytes_when_paused (const FastEngine &fast)
{
  size_t last = 0;

  EXPECT_TRUE (programs::eventually ([&] {
    size_t before = fast.written ();

    std::this_thread::sleep_for (std::chrono::milliseconds (500));
    last = fast.written ();
    return before > 0 && before == last;
  }));
  return last;
}

} // namespace

TEST (BackPressure, SlowClientPausesEngine)
{
  FastEngine fast (deployment::layers, tokens);
  Options o;
  o.policy = "{ 'stall_ms': 1000 }";
  o.step_us = 10;
  o.whole_engine = fast.url ();
  Deployment yard (o);
  Request r = yard.completion ("slow", tokens, true);
  size_t paused_bytes = 0;
  size_t chunks = 0;

  ASSERT_TRUE (yard.ready ());
  r.progress = [&] (const std::string &) {
    if (chunks++ == 0)
      paused_bytes = bytes_when_paused (fast);
    /* Longer than stall_ms: a paused engine must not count as stalled.  */
    if (chunks == 1)
      std::this_thread::sleep_for (std::chrono::milliseconds (1500));
  };
  Reply reply = fetch (r);
  ASSERT_EQ (reply.status, 200) << reply.body;
  Answer a = deployment::read_events (reply.body);

  EXPECT_LT (paused_bytes, response_bytes / 2)
      << "the router buffered the response";
  EXPECT_TRUE (reply.whole);
  EXPECT_TRUE (a.done) << a.error;
  EXPECT_EQ (a.tokens, tokens);
  EXPECT_EQ (a.text.compare (0, 1002, FastEngine::token (0)), 0);
  std::string metrics
      = programs::get (yard.router ().url () + "/metrics").body;
  EXPECT_NE (metrics.find ("\nmarjoramquay_stalls_total 0\n"),
             std::string::npos);
}
