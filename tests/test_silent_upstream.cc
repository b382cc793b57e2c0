/* Upstreams that fall silent for a second or two and go on, with routers in
   native mode and real sockets: a run that an upstream has begun is ended for
   what shows that it is lost, and not for silence.  */

#include "support/deployment.h"
#include "support/raw_upstream.h"

using deployment::Answer;
using deployment::Deployment;
using deployment::Options;
using programs::fetch;
using programs::Reply;
using raw_upstream::Engine;
using raw_upstream::sleep_ms;
using raw_upstream::Stream;

namespace
{

void
expect_whole (const Reply &r, unsigned tokens)
{
  Answer a = deployment::read_events (r.body);

  EXPECT_EQ (r.status, 200);
  EXPECT_TRUE (r.whole);
  EXPECT_EQ (a.text, raw_upstream::text (tokens));
  EXPECT_TRUE (a.done);
  EXPECT_EQ (a.error, "");
}

/* What an engine does with new connections while it is silent.  */
enum Connections
{
  ANSWERED,
  RESET
};

class SilentEngine
    : public testing::TestWithParam<std::tuple<unsigned, Connections> >
{
};

} // namespace

/* Guards against ending the run of the only engine for its silence, or for new
   connections that it resets meanwhile.  */
TEST_P (SilentEngine, RunGoesOn)
{
  unsigned silent_ms = std::get<0> (GetParam ());
  bool answers = std::get<1> (GetParam ()) == ANSWERED;
  Engine *self = nullptr;
  Engine engine ([&] (const Stream &s) {
    s.begin ();
    if (s.sent == 0)
      {
        s.tokens (0, 10);
        self->reports = answers;
        sleep_ms (silent_ms);
        self->reports = true;
      }
    s.tokens (10, 20);
    s.end ();
  });
  Options o;

  self = &engine;
  o.whole_engine = engine.url ();
  Deployment testbed (o);
  ASSERT_TRUE (testbed.ready ());
  expect_whole (fetch (testbed.completion ("a", 20, true)), 20);
  EXPECT_EQ (engine.streams, 1u);
}

INSTANTIATE_TEST_SUITE_P (All, SilentEngine,
                          testing::Values (std::make_tuple (1000u, RESET),
                                           std::make_tuple (1900u, RESET),
                                           std::make_tuple (1900u, ANSWERED)));

/* Guards against a run that would have met its deadline after a silence, and
   was started again from the prompt instead.  */
TEST (SilentUpstream, SilenceOfOnlyEngineDoesNotMissDeadline)
{
  Engine engine ([] (const Stream &s) {
    s.begin ();
    sleep_ms (1500);
    if (s.sent == 0)
      {
        s.tokens (0, 10);
        sleep_ms (1900);
      }
    s.tokens (10, 20);
    s.end ();
  });
  Options o;

  o.whole_engine = engine.url ();
  o.deadline_ms = 4500;
  o.policy = deployment::quoted ("{ 'stall_ms': 1700 }");
  Deployment testbed (o);
  ASSERT_TRUE (testbed.ready ());
  expect_whole (fetch (testbed.completion ("a", 20, true)), 20);
}

/* Guards against counting silences as lost attempts, of which a request may
   have only a few.  */
TEST (SilentUpstream, ManySilencesDoNotEndRequest)
{
  Engine engine ([] (const Stream &s) {
    s.begin ();
    for (unsigned p = s.sent; p < 12; p++)
      {
        s.tokens (p, p + 1);
        sleep_ms (220);
      }
    s.end ();
  });
  Options o;

  o.whole_engine = engine.url ();
  o.policy = deployment::quoted ("{ 'stall_ms': 100 }");
  Deployment testbed (o);
  ASSERT_TRUE (testbed.ready ());
  expect_whole (fetch (testbed.completion ("a", 12, true)), 12);
}

/* Guards against ending requests when all engines are silent at once, until
   the deadline is reached.  */
TEST (SilentUpstream, SilenceOfAllEnginesDoesNotEndRequest)
{
  std::atomic<int64_t> until_us{ 0 };
  auto serve = [&] (const Stream &s) {
    auto now = [] { return g_get_monotonic_time (); };
    int64_t none = 0;

    if (s.sent == 0)
      {
        s.begin ();
        s.tokens (0, 10);
        until_us.compare_exchange_strong (none, now () + 1900000);
      }
    while (now () < until_us)
      sleep_ms (5);
    if (s.sent > 0)
      s.begin ();
    s.tokens (10, 20);
    s.end ();
  };
  Engine engine (serve);
  Engine second (serve);
  Engine third (serve);
  Options o;

  o.whole_engine = engine.url ();
  o.other_engines = { second.url (), third.url () };
  o.policy = deployment::quoted ("{ 'stall_ms': 100 }");
  Deployment testbed (o);
  ASSERT_TRUE (testbed.ready ());
  expect_whole (fetch (testbed.completion ("a", 20, true)), 20);
}

/* Guards against ending a request that has begun for the connections that
   other engines reset while its own engine is silent.  */
TEST (SilentUpstream, ResetReplacementsDoNotEndRequest)
{
  std::atomic<int64_t> until_us{ 0 };
  auto serve = [&] (const Stream &s) {
    bool silent = g_get_monotonic_time () < until_us;

    if (silent)
      {
        raw_upstream::reset_on_close (s.fd);
        return;
      }
    s.begin ();
    if (s.sent == 0)
      {
        s.tokens (0, 10);
        until_us = g_get_monotonic_time () + 1900000;
        sleep_ms (1900);
      }
    s.tokens (10, 20);
    s.end ();
  };
  std::vector<std::unique_ptr<Engine> > engines;
  Options o;

  for (int i = 0; i < 12; i++)
    engines.emplace_back (new Engine (serve));
  o.whole_engine = engines[0]->url ();
  for (int i = 1; i < 12; i++)
    o.other_engines.push_back (engines[i]->url ());
  o.policy = deployment::quoted ("{ 'stall_ms': 100 }");
  Deployment testbed (o);
  ASSERT_TRUE (testbed.ready ());
  expect_whole (fetch (testbed.completion ("a", 20, true)), 20);
}

/* A silent engine is replaced where another one can take the stream.  */
TEST (SilentUpstream, AnotherEngineTakesOverFromSilentOne)
{
  std::atomic<unsigned> first{ 0 };
  auto serve = [&] (const Stream &s) {
    s.begin ();
    if (first++ == 0)
      {
        s.tokens (0, 10);
        raw_upstream::flood_until_closed (s.fd, "", 0, 0);
        return;
      }
    s.tokens (s.sent, 20);
    s.end ();
  };
  Engine engine (serve);
  Engine second (serve);
  Options o;

  o.whole_engine = engine.url ();
  o.other_engines = { second.url () };
  o.policy = deployment::quoted ("{ 'stall_ms': 300 }");
  Deployment testbed (o);
  ASSERT_TRUE (testbed.ready ());
  int64_t start = g_get_monotonic_time ();
  expect_whole (fetch (testbed.completion ("a", 20, true)), 20);
  EXPECT_LT (g_get_monotonic_time () - start, 3000000);
  EXPECT_EQ (engine.streams, 1u);
  EXPECT_EQ (second.streams, 1u);
}

/* Runs go on while reports fail; only new requests go elsewhere or wait.  */
TEST (SilentUpstream, FailedReportsDoNotEndRuns)
{
  Engine *self = nullptr;
  Engine engine ([&] (const Stream &s) {
    s.begin ();
    self->reports = false;
    for (unsigned p = s.sent; p < 20; p++)
      {
        s.tokens (p, p + 1);
        sleep_ms (75);
      }
    self->reports = true;
    s.end ();
  });
  Options o;

  self = &engine;
  o.whole_engine = engine.url ();
  Deployment testbed (o);
  ASSERT_TRUE (testbed.ready ());
  expect_whole (fetch (testbed.completion ("a", 20, true)), 20);
  EXPECT_EQ (engine.streams, 1u);
}
