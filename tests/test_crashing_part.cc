/* Requests that crash the upstreams that run them because of one part of their
   prompts.

   No two of them are the same, and they come to any router.  Sound requests
   share their client and their other parts.  The routers must bound the number
   of upstreams that the part crashes, and go on serving the sound requests at
   their first attempt.  */

#include "support/crashing_fleet.h"

using gateway::Answer;
using gateway::Headers;
using gateway::Upstream;

namespace
{

class CrashingPart : public gateway::CrashingFleet
{
protected:
  static constexpr const char *deadly_part = "bad0bad0";
  const std::string target = "/stream/1";

  CrashingPart ()
  {
    is_deadly = [] (mq_http_exchange *x) {
      return gateway::text (
                 mq_http_exchange_header (x, "Marjoramquay-Prompt-Prefix"))
                 .find (deadly_part)
             != std::string::npos;
    };
  }

  /* Headers of a request whose prompt has the SHARED parts, and one of its
     own.  */
  Headers
  with_parts (const std::string &shared)
  {
    Headers h = gateway::key;

    h.push_back ({ "Marjoramquay-Prompt-Prefix",
                   shared + ",0e" + std::to_string (++bodies_) + ":20" });
    return h;
  }

  Answer
  send (Router &router, const std::string &shared)
  {
    Headers h = with_parts (shared);

    return attempt (router, "POST", target,
                    "prompt " + std::to_string (bodies_), h);
  }

  Answer
  send_deadly (Router &router)
  {
    return send (router, std::string ("f1:100,") + deadly_part + ":50");
  }

  /* A request with the same first part.  */
  Answer
  send_sound (Router &router)
  {
    return send (router, "f1:100,5e" + std::to_string (bodies_ % 5) + ":50");
  }

  Router &
  router_in_turn ()
  {
    return *routers[turn_++ % routers.size ()];
  }

  /* Send requests with the part, and a sound one after each unless ALONE,
     until N upstreams have crashed.  */
  void
  crash (unsigned n, bool alone = false)
  {
    for (unsigned i = 0; i < 4 * n && crashes < n; i++)
      {
        send_deadly (router_in_turn ());
        wait_processing_crashes (0.1);
        if (!alone)
          send_sound (router_in_turn ());
      }
  }

  /* Returns how often N more requests with the part reach upstreams.  */
  unsigned
  further_deadly_arrivals (unsigned n)
  {
    unsigned before = arrivals;

    for (unsigned i = 0; i < n; i++)
      {
        send_deadly (router_in_turn ());
        wait_processing_crashes (0.05);
      }
    return arrivals - before;
  }

  /* Sound requests are served at their first attempt at all routers.  */
  void
  expect_sound_served ()
  {
    for (auto &r : routers)
      for (unsigned i = 0; r->gateway != nullptr && i < 5; i++)
        EXPECT_EQ (send_sound (*r).status, 200u);
  }

private:
  unsigned bodies_ = 0, turn_ = 0;
};

} // namespace

TEST_F (CrashingPart, RequestsWithItReachFewUpstreams)
{
  set_up ("model");
  expect_sound_served ();
  crash (5);
  wait_processing_crashes (propagation_s);
  EXPECT_LE (further_deadly_arrivals (12), max_further_arrivals);
  expect_sound_served ();
}

/* No request with the same first part has succeeded before.  */
TEST_F (CrashingPart, OfNewPromptsReachesFewUpstreams)
{
  set_up ("model");
  crash (5, true);
  wait_processing_crashes (propagation_s);
  expect_sound_served ();
  EXPECT_LE (further_deadly_arrivals (12), max_further_arrivals);
  expect_sound_served ();
}

TEST_F (CrashingPart, IsKnownToRouterThatStartsLater)
{
  set_up ("model");
  expect_sound_served ();
  crash (5);
  start_router ();
  wait_processing_crashes (propagation_s);
  EXPECT_LE (further_deadly_arrivals (12), max_further_arrivals);
  expect_sound_served ();
}

/* After all routers were killed, only the store has the refusal.  */
TEST_F (CrashingPart, IsKnownAfterAllRoutersAreKilled)
{
  set_up ("model");
  expect_sound_served ();
  crash (5);
  wait_processing_crashes (propagation_s);
  for (auto &r : routers)
    stop_router (*r);
  routers.clear ();
  start_router ();
  start_router ();
  wait_processing_crashes (propagation_s);
  EXPECT_LE (further_deadly_arrivals (12), max_further_arrivals);
  expect_sound_served ();
}

/* Crashes that no part causes: all requests that had just begun there share
   parts that are sound.  */
TEST_F (CrashingPart, SoundPartsAreServedAfterOtherCrashes)
{
  unsigned running = 0;
  std::vector<std::unique_ptr<Answer> > lost;

  set_up ("model");
  expect_sound_served ();
  is_deadly = [&] (mq_http_exchange *) { return ++running > 0; };
  for (unsigned i = 0; i < 8; i++)
    {
      Router &r = router_in_turn ();

      lost.push_back (std::make_unique<Answer> ());
      start_request (*lost.back (), "POST", target,
                     with_parts ("f1:100,5e1:9"), "prompt", r.base);
      wait_processing_crashes (0.15);
    }
  ASSERT_GE (crashes, 5u);
  is_deadly = [] (mq_http_exchange *) { return false; };
  EXPECT_TRUE (until ([&] {
    process_crashes ();
    return std::all_of (lost.begin (), lost.end (),
                        [] (auto &a) { return a->ended; });
  }));
  wait_processing_crashes (0.5);
  expect_sound_served ();
}

/* The attempts of a route bound the upstreams that one request crashes before
   routers can find the cause.  */
TEST_F (CrashingPart, OneAttemptReachesFewUpstreams)
{
  set_up ("model");
  for (unsigned i = 0; i < 6; i++)
    add_crashing ("model", "two");
  wait (0.3);
  send_deadly (*routers[0]);
  wait_processing_crashes (0.1);
  EXPECT_LE (arrivals, 3u);
}

/* Their responses have begun, so that the runs after the first one resume.  */
TEST_F (CrashingPart, ResumedStreamsReachFewUpstreams)
{
  writes_event = true;
  set_up ("model");
  expect_sound_served ();
  crash (5);
  wait_processing_crashes (propagation_s);
  EXPECT_LE (further_deadly_arrivals (12), max_further_arrivals);
  expect_sound_served ();
}

/* Requests whose first run was lost wait for retry budget, which sound ones
   bring while the part is found.  */
TEST_F (CrashingPart, WaitingRequestsReachFewUpstreams)
{
  std::vector<std::unique_ptr<Answer> > waiting;
  unsigned before;

  sends_slack = 0;
  sends_window_ms = 10000;
  set_up ("model");
  for (unsigned i = 0; i < 6; i++)
    add_crashing ("model", "two");
  wait (0.3);
  for (unsigned i = 0; i < 8; i++)
    {
      Headers h = with_parts (std::string ("f1:100,") + deadly_part + ":50");

      waiting.push_back (std::make_unique<Answer> ());
      start_request (*waiting.back (), "POST", target, h,
                     "waiting " + std::to_string (i), router_in_turn ().base);
      wait_processing_crashes (0.1);
    }
  ASSERT_GE (crashes, 5u);
  wait_processing_crashes (0.6);
  before = arrivals;
  for (unsigned i = 0; i < 40; i++)
    EXPECT_EQ (send_sound (router_in_turn ()).status, 200u);
  EXPECT_TRUE (until ([&] {
    process_crashes ();
    return std::all_of (waiting.begin (), waiting.end (),
                        [] (auto &a) { return a->ended; });
  }));
  EXPECT_EQ (arrivals, before);
}

/* A part was new when upstreams crashed for another reason.  */
TEST_F (CrashingPart, FalseFindingEnds)
{
  unsigned refused = 0;

  set_up ("model");
  is_deadly = [] (mq_http_exchange *) { return true; };
  for (unsigned i = 0; i < 20 && crashes < 5; i++)
    {
      send_sound (router_in_turn ());
      wait_processing_crashes (0.1);
    }
  ASSERT_GE (crashes, 5u);
  is_deadly = [] (mq_http_exchange *) { return false; };
  wait_processing_crashes (0.6);
  for (ev_tstamp end = ev_time () + 14; ev_time () < end;)
    {
      refused += send_sound (router_in_turn ()).status == 503;
      wait_processing_crashes (0.2);
    }
  EXPECT_GT (refused, 0u);
  expect_sound_served ();
}
