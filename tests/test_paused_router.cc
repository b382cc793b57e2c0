/* A router that does not run for a while reads late what arrived meanwhile. */

#include "support/raw_engine_fleet.h"

using gateway::Answer;
using gateway::events;
using gateway::RawEngine;

namespace
{

class PausedRouter : public gateway::RawEngineFleet
{
protected:
  /* Let a request with deadly_part run: its engine writes two events at once
     and crashes, but the router reads the second one PAUSE_S later.  */
  void
  crash_in_pause (double pause_s)
  {
    Answer a;
    RawEngine *running = nullptr;

    for (auto &e : raw)
      e->serve = [&, engine = e.get ()] (const std::string &request) {
        engine->stays_open = true;
        running = engine;
        return RawEngine::unframed_head (request) + events (1, 1);
      };
    start_request (a, "POST", "/stream/1", with_deadly_part (), "paused",
                   routers[0]->base);
    EXPECT_TRUE (until ([&] {
      for (auto &e : raw)
        e->poll ();
      return !a.body.empty ();
    }));
    ASSERT_NE (running, nullptr);
    running->write (events (2, 2));
    running->crash ();
    usleep ((useconds_t)(pause_s * 1e6));
    for (auto &e : raw)
      make_crashing (*e);
    EXPECT_TRUE (until ([&] {
      for (auto &e : raw)
        e->poll ();
      return a.ended;
    }));
  }
};

} // namespace

/* Such a run did not outlast its start.  */
TEST_F (PausedRouter, DoesNotTakeCrashingRunForSound)
{
  start ();
  send_deadly (1, 0.4);
  crash_in_pause (0.7);
  replace_crashed ();
  send_deadly (3, 0.4);
  EXPECT_LE (send_deadly (8, 0.1), 3u);
}
