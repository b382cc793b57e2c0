/* A caller that reads slowly holds the engines back, not the router's
   memory.  */

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

constexpr unsigned tokens = 60000; /* 60 MB.  */
constexpr size_t whole = (size_t)tokens * 1000;

/* Wait until FAST has written nothing more for a while; returns how much it
   had written.  */
size_t
written_when_held (const FastEngine &fast)
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
  size_t held = 0;
  size_t seen = 0;

  ASSERT_TRUE (yard.ready ());
  r.progress = [&] (const std::string &) {
    if (seen++ == 0)
      held = written_when_held (fast);
    /* Longer than the stall: being held back is nobody's fault.  */
    if (seen == 1)
      std::this_thread::sleep_for (std::chrono::milliseconds (1500));
  };
  Reply reply = fetch (r);
  ASSERT_EQ (reply.status, 200) << reply.body;
  Answer a = deployment::read_events (reply.body);

  EXPECT_LT (held, whole / 2) << "the router took it all";
  EXPECT_TRUE (reply.whole);
  EXPECT_TRUE (a.done) << a.error;
  EXPECT_EQ (a.tokens, tokens);
  EXPECT_EQ (a.text.compare (0, 1002, FastEngine::token (0)), 0);
  std::string metrics
      = programs::get (yard.router ().url () + "/metrics").body;
  EXPECT_NE (metrics.find ("\nmarjoramquay_stalls_total 0\n"),
             std::string::npos);
}
