/* Streams that have neither a length nor chunks and end with their connection.
   One that ends inside an event was broken off, and so was one that has none.
   The end of an event does not show that the engine is alive.  */

#include "support/raw_engine.h"
#include "support/router_fleet.h"

using gateway::Answer;
using gateway::events;
using gateway::Headers;
using gateway::RawEngine;

namespace
{

class UnframedResponse : public gateway::RouterFleet
{
protected:
  static constexpr const char *deadly_part = "bad0bad0";

  RawEngine &
  add_raw (const std::string &domain)
  {
    raw.push_back (std::make_unique<RawEngine> (
        "raw-" + std::to_string (raw.size ()), domain));
    RawEngine *engine = raw.back ().get ();
    engine->serve = [this, engine] (const std::string &request) {
      engine->crash_due = request.find (deadly_part) != std::string::npos;
      return RawEngine::unframed_head (request) + body;
    };
    store.put ("servers", raw.back ()->id, raw.back ()->entry ());
    return *raw.back ();
  }

  void
  start ()
  {
    add_raw ("one");
    add_raw ("two");
    configure (1);
    start_router ();
    wait (0.2);
  }

  Answer
  attempt (const Headers &headers = gateway::key)
  {
    Answer a;

    start_request (a, "POST", "/stream/1", headers,
                   "prompt " + std::to_string (++sent_), routers[0]->base);
    EXPECT_TRUE (until ([&] {
      for (auto &e : raw)
        e->poll ();
      return a.ended;
    }));
    return a;
  }

  unsigned
  count_runs () const
  {
    unsigned n = 0;

    for (auto &e : raw)
      n += e->runs;
    return n;
  }

  std::vector<std::unique_ptr<RawEngine> > raw;
  std::string body; /* Of their responses.  */

private:
  unsigned sent_ = 0;
};

} // namespace

TEST_F (UnframedResponse, OfWholeEventsIsPassedOn)
{
  body = events (1, 3);
  start ();
  Answer a = attempt ();
  EXPECT_EQ (a.status, 200u);
  EXPECT_EQ (a.result, MQ_HTTP_OK);
  EXPECT_EQ (a.body, events (1, 3));
  EXPECT_EQ (count_runs (), 1u);
}

TEST_F (UnframedResponse, ThatEndsInsideEventDoesNotLookComplete)
{
  body = events (1, 2) + "id: 3\ndata:";
  start ();
  Answer a = attempt ();
  EXPECT_NE (a.result, MQ_HTTP_OK);
  EXPECT_GE (count_runs (), 2u);
}

TEST_F (UnframedResponse, WithoutEventIsNoSuccess)
{
  start ();
  Answer a = attempt ();
  EXPECT_EQ (a.status, 502u);
  EXPECT_GE (count_runs (), 2u);
}

/* The engine crashes at the end of an event, because of a part of the prompt.
 */
TEST_F (UnframedResponse, BeforeCrashIsNoSuccess)
{
  Headers h = gateway::key;
  unsigned before;

  h.push_back ({ "Marjoramquay-Prompt-Prefix",
                 std::string ("f1:9,") + deadly_part + ":9,0e:9" });
  body = events (1, 1);
  start ();
  for (unsigned i = 0; i < 5; i++)
    {
      attempt (h);
      add_raw ("one");
      wait (0.4);
    }
  before = count_runs ();
  for (unsigned i = 0; i < 8; i++)
    {
      attempt (h);
      add_raw ("one");
      wait (0.1);
    }
  EXPECT_LE (count_runs () - before, 3u);
}
