/* Reports of engines, and replies of the store, that have no end.  The router
   must bound its memory and close the connections, go on serving by what it
   knows, and learn what changed when they are sound again.  */

#include "support/endless_fixture.h"
#include "support/switched_link.h"

using namespace gateway;

namespace
{

/* Bodies without end, which begin as a reply does.  */
const std::vector<Pattern> replies = {
  { "WithLength", "HTTP/1.1 200 OK\r\nContent-Length: 999999999\r\n\r\n[",
    "{}, " },
  { "InChunks", "HTTP/1.1 200 OK\r\n" + chunked, chunk ("[[[[") },
  { "Unframed", "HTTP/1.1 200 OK\r\n\r\n", "\"a reply " },
  { "Error", "HTTP/1.1 500 Error\r\n\r\n", "an error " },
};

class EndlessControl : public EndlessBytes,
                       public testing::WithParamInterface<Pattern>
{
protected:
  ~EndlessControl () override { router_process.reset (); }

  /* Send N streams, one after the other.  All must be served.  */
  void
  expect_streams (unsigned n)
  {
    for (unsigned i = 0; i < n; i++)
      for (auto &a : attempts ("/long-stream/1", 1))
        {
          EXPECT_EQ (a->status, 200u);
          EXPECT_TRUE (a->body == events (1, 3)) << a->body.substr (0, 200);
        }
  }

  /* Engines' reports are the pattern, PER_S bytes a second.  */
  void
  run_reports (double per_s)
  {
    std::atomic<unsigned> reports{ 0 }, sound_reports{ 0 };
    std::atomic<bool> sound{ false };
    const EndlessScript script = { GetParam ().head, GetParam ().unit, per_s };
    auto serve = [&] (const std::string &request) {
      if (request.find ("GET /report") != 0)
        return serve_soundly (request);
      reports++;
      if (!sound)
        return script;
      sound_reports++;
      return EndlessEngine::sound_report ();
    };

    for (unsigned i = 0; i < 8; i++)
      add_engine ("model", serve);
    start_process ();
    EXPECT_TRUE (until ([&] { return reports > 8; }));
    expect_streams (4);
    sound = true;
    for (auto &e : engines)
      expect_sound (*e);
    /* They are asked until as many sound reports have come.  */
    EXPECT_TRUE (until ([&] { return sound_reports >= engines.size (); }));
    expect_streams (4);
    engines.clear (); /* SERVE's variables end here.  */
  }

  /* The store's replies are the pattern, PER_S bytes a second, for a while. */
  void
  run_store (double per_s)
  {
    std::atomic<unsigned> calls{ 0 };
    EndlessEngine bad ([&] (const std::string &) -> EndlessScript {
      calls++;
      return { GetParam ().head, GetParam ().unit, per_s };
    });
    SwitchedLink link (store.server.address ());

    store_address = link.address;
    EndlessEngine &first = add_engine ("app");
    start_process ();
    link.set_target (bad.address);
    EXPECT_TRUE (until ([&] { return calls > 2; }));
    for (auto &a : attempts ("/long-safe/1", 5))
      EXPECT_EQ (a->status, 200u);
    EXPECT_GT (first.count_runs (), 0u);
    /* What changed meanwhile is learnt.  */
    EndlessEngine &second = add_engine ("app");
    link.set_target (store.server.address ());
    expect_sound (bad);
    EXPECT_TRUE (until ([&] {
      for (auto &a : attempts ("/long-safe/1", 5))
        EXPECT_EQ (a->status, 200u);
      return second.count_runs () > 0;
    }));
    router_process.reset ();
  }
};

} // namespace

INSTANTIATE_TEST_SUITE_P (Head, EndlessControl, testing::ValuesIn (heads),
                          test_name<Pattern>);
INSTANTIATE_TEST_SUITE_P (Body, EndlessControl, testing::ValuesIn (replies),
                          test_name<Pattern>);

TEST_P (EndlessControl, ReportsDoNotStopStreams) { run_reports (0); }

TEST_P (EndlessControl, SlowReportsDoNotStopStreams) { run_reports (100); }

TEST_P (EndlessControl, StoreDoesNotStopCalls) { run_store (0); }

TEST_P (EndlessControl, SlowStoreDoesNotStopCalls) { run_store (100); }
