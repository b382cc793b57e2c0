/* Streams that have neither a length nor chunks and end with their connection.
   One that ends inside an event was broken off, and so was one that has none.
   The end of an event does not show that the engine is alive.  */

#include "support/raw_engine_fleet.h"

using gateway::Answer;
using gateway::events;

namespace
{

class UnframedResponse : public gateway::RawEngineFleet
{
protected:
  /* Have each engine write the events 1 to 3 and then nothing for SILENCE_S,
     until its response ends; and no event after those.  Returns the answer to
     a request with a limit of 9 s.  */
  Answer
  silent_before_end (double silence_s)
  {
    std::string patient = route ("/patient/", "streaming", "model", 2);
    Answer a;
    ev_tstamp ends = 0;

    patient.replace (patient.find ("1500"), 4, "9000"); /* Its timeoutMs.  */
    start ();
    for (auto &e : raw)
      {
        e->stays_open = true;
        e->serve = [this, &ends, silence_s,
                    engine = e.get ()] (const std::string &request) {
          if (request.find ("Last-Event-Id: 3") != std::string::npos)
            {
              ended_.push_back (engine);
              return gateway::RawEngine::unframed_head (request);
            }
          ends = ev_time () + silence_s;
          first_ = engine;
          return gateway::RawEngine::unframed_head (request) + events (1, 3);
        };
      }
    configure (2, "," + patient);
    wait (0.2);
    start_request (a, "POST", "/patient/1", gateway::key, "p",
                   routers[0]->base, "9000");
    EXPECT_TRUE (until ([&] {
      for (auto &e : raw)
        e->poll ();
      for (gateway::RawEngine *e : ended_)
        e->hang_up ();
      ended_.clear ();
      if (ends > 0 && ev_time () >= ends)
        first_->hang_up ();
      return a.ended;
    }));
    return a;
  }

private:
  std::vector<gateway::RawEngine *> ended_; /* Their responses are.  */
  gateway::RawEngine *first_ = nullptr;
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
  body = events (1, 1);
  start ();
  send_deadly (5, 0.4);
  EXPECT_LE (send_deadly (8, 0.1), 3u);
}

/* An engine falls silent between the last event of a stream and its end.  The
   stream moved to another engine, which had nothing to add, and the end of the
   first was dropped: the client saw a broken stream.  */
TEST_F (UnframedResponse, EndsAfterSilence)
{
  Answer a = silent_before_end (1.5);

  EXPECT_EQ (a.status, 200u);
  EXPECT_EQ (a.result, MQ_HTTP_OK);
  EXPECT_EQ (a.body, events (1, 3));
  EXPECT_LT (ev_time () - a.sent, 2.0);
}

/* The same where the other engine's answer is there before that end.  */
TEST_F (UnframedResponse, EndsAfterLongSilence)
{
  Answer a = silent_before_end (2.5);

  EXPECT_EQ (a.status, 200u);
  EXPECT_EQ (a.result, MQ_HTTP_OK);
  EXPECT_EQ (a.body, events (1, 3));
  EXPECT_LT (ev_time () - a.sent, 3.0);
  EXPECT_EQ (count_runs (), 2u);
}
