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
