/* A router in gateway mode: requests to plain services and their responses. */

#include "support/gateway_fixture.h"

using gateway::Answer;
using gateway::events;
using gateway::Headers;
using gateway::key;
using gateway::ReceivedRequest;
using gateway::Upstream;

using Gateway = gateway::Fixture;

TEST_F (Gateway, IsNotReadyAndReplies503WithoutConfiguration)
{
  start ();
  EXPECT_EQ (fetch ("GET", "/ready", {}, "", readiness_port).status, 503u);
  Answer x = fetch ("GET", "/safe/1");
  EXPECT_EQ (x.status, 503u);
  EXPECT_FALSE (x.retry_after.empty ());
  EXPECT_EQ (
      fetch ("GET", "/resolve?name=x&zone=one", {}, "", directory_port).status,
      503u);
}

/* Guards against refusing requests just after a restart, which would use up
   their clients' attempts.  */
TEST_F (Gateway, RequestBeforeConfigurationWaitsForIt)
{
  Answer early, other;

  add ("app-a", "app");
  start ();
  start_request (early, "GET", "/safe/1", key);
  start_request (other, "GET", "/nowhere/1", key);
  wait (0.2);
  EXPECT_FALSE (early.ended);
  configure (1);
  ASSERT_TRUE (until ([&] { return early.ended && other.ended; }));
  EXPECT_EQ (early.status, 200u);
  EXPECT_EQ (other.status, 404u);
  /* The engine's time budget is no longer than what the client has left.  */
  EXPECT_LT (std::stoul (upstreams[0]->received_requests.at (0).headers.at (
                 "Marjoramquay-Time-Budget-Ms")),
             1500u - 190u);
}

/* Guards against holding requests in a router that gets no configuration: at
   any age of the process a request waits for at most three quarters of the
   1.5 s that its client gives it, and one with no time to wait is refused at
   once.  */
TEST_F (Gateway, RefusesWithoutConfigurationWithinBoundOfEachRequest)
{
  start ();
  for (int i = 0; i < 2; i++)
    {
      Answer x;
      ev_tstamp before = ev_time ();

      start_request (x, "GET", "/safe/1", key);
      wait (0.9);
      EXPECT_FALSE (x.ended);
      ASSERT_TRUE (until ([&] { return x.ended; }));
      EXPECT_EQ (x.status, 503u);
      EXPECT_FALSE (x.retry_after.empty ());
      EXPECT_LT (ev_time () - before, 1.25);
    }
  ev_tstamp before = ev_time ();
  Answer x = fetch ("GET", "/safe/1", {}, "", 0, "200");
  EXPECT_EQ (x.status, 503u);
  EXPECT_LT (ev_time () - before, 0.1);
}

/* Guards against rejecting clients on their last try because the store came
   back only a moment after the router's first second.  */
TEST_F (Gateway, LateConfigurationServesRequestsThatWait)
{
  Answer x;

  add ("app-a", "app");
  store.down = true;
  start ();
  wait (1.2);
  start_request (x, "POST", "/unsafe/1", key);
  configure (1);
  store.down = false;
  ASSERT_TRUE (until ([&] { return x.ended; }));
  EXPECT_EQ (x.status, 200u);
  EXPECT_EQ (upstreams[0]->received_requests.size (), 1u);
}

/* Guards against running an unsafe request for a client that disconnected
   before the configuration arrived.  */
TEST_F (Gateway, EarlyRequestOfDisconnectedClientIsNotSent)
{
  Answer early;

  add ("app-a", "app");
  start ();
  mq_http_call *call = start_request (early, "POST", "/unsafe/1", key);
  wait (0.1);
  mq_http_call_cancel (call);
  wait (0.1);
  configure (1);
  ASSERT_TRUE (ready ());
  wait (0.1);
  EXPECT_TRUE (upstreams[0]->received_requests.empty ());
}

TEST_F (Gateway, RequestReachesInstanceUnchanged)
{
  start_plain_service ();
  Answer x = fetch ("POST", "/unsafe/a%20b/../c?q=%41&r", key, "the body");
  ASSERT_EQ (a->received_requests.size () + b->received_requests.size (), 1u);
  Upstream *u = a->received_requests.empty () ? b : a;
  const ReceivedRequest &s = u->received_requests[0];
  EXPECT_EQ (x.status, 200u);
  EXPECT_EQ (x.body, "answer of " + u->id);
  EXPECT_EQ (x.signature, "signed-by-" + u->id);
  EXPECT_EQ (s.method, "POST");
  EXPECT_EQ (s.target, "/unsafe/a%20b/../c?q=%41&r");
  EXPECT_EQ (s.body, "the body");
  EXPECT_EQ (s.headers.at ("Marjoramquay-Expect-Instance"), u->id);
  EXPECT_EQ (s.headers.at ("Marjoramquay-Tenant"), "org");
  EXPECT_EQ (s.headers.count ("Marjoramquay-Credential"), 0u);
  EXPECT_LT (std::stoul (s.headers.at ("Marjoramquay-Time-Budget-Ms")), 1500u);
}

TEST_F (Gateway, RefusesUnknownRoutesAndKeys)
{
  start_plain_service ();
  EXPECT_EQ (fetch ("GET", "/nowhere/1").status, 404u);
  EXPECT_EQ (fetch ("GET", "/safe/1", {}).status, 401u);
  EXPECT_EQ (
      fetch ("GET", "/safe/1", { { "Marjoramquay-Credential", "other" } })
          .status,
      401u);
  EXPECT_EQ (fetch ("GET", "/safe/1",
                    { { "Marjoramquay-Credential", "key-1" },
                      { "Marjoramquay-Credential", "key-1" } })
                 .status,
             401u);
  EXPECT_EQ (fetch ("POST", "/safe/1", key, std::string (5000, 'x')).status,
             413u);
  EXPECT_TRUE (a->received_requests.empty () && b->received_requests.empty ());
}

TEST_F (Gateway, DropsInternalHeadersOfClients)
{
  start_plain_service ();
  fetch ("GET", "/safe/1",
         { { "Marjoramquay-Credential", "key-1" },
           { "Marjoramquay-Tenant", "somebody" },
           { "Marjoramquay-Expect-Instance", "no-one" },
           { "Marjoramquay-Hop-Count", "1.2.3.4:5=0-80" } });
  const ReceivedRequest &s
      = (a->received_requests.empty () ? b : a)->received_requests.at (0);
  EXPECT_EQ (s.headers.at ("Marjoramquay-Tenant"), "org");
  EXPECT_NE (s.headers.at ("Marjoramquay-Expect-Instance"), "no-one");
  EXPECT_EQ (s.headers.count ("Marjoramquay-Hop-Count"), 0u);
}

TEST_F (Gateway, UnsafeRequestWithLostResponseRunsOnce)
{
  start_plain_service ();
  for (Upstream *u : { a, b })
    u->serve = [u] (mq_http_exchange *x) {
      u->begin (x);
      mq_http_exchange_abort (x);
    };
  EXPECT_EQ (fetch ("POST", "/unsafe/1").status, 502u);
  EXPECT_EQ (a->received_requests.size () + b->received_requests.size (), 1u);
}

TEST_F (Gateway, UnsafeRequestThatDidNotRunGets503WithRetryAfter)
{
  start_plain_service ();
  for (Upstream *u : { a, b })
    u->serve = [u] (mq_http_exchange *x) { u->refuse (x); };
  Answer x = fetch ("POST", "/unsafe/1");
  EXPECT_EQ (x.status, 503u);
  EXPECT_FALSE (x.retry_after.empty ());
}

TEST_F (Gateway, SafeRequestIsRetriedAtAnotherInstance)
{
  start_plain_service ();
  a->serve = [] (mq_http_exchange *) {};
  for (int i = 0; i < 4; i++)
    EXPECT_EQ (fetch ("GET", "/safe/1").status, 200u);
}

TEST_F (Gateway, ResponseToAnotherRequestIsNotForwarded)
{
  start_plain_service ();
  for (Upstream *u : { a, b })
    u->serve = [u] (mq_http_exchange *x) {
      gateway::Server::reply (x, 200, "stale",
                              { { "Marjoramquay-Attempt-Id", "another" },
                                { "Marjoramquay-Response-Signature", "s" } });
    };
  Answer x = fetch ("POST", "/unsafe/1");
  EXPECT_EQ (x.status, 502u);
  EXPECT_EQ (x.body.find ("stale"), std::string::npos);
}

TEST_F (Gateway, UnsignedSuccessIsAnError)
{
  start_plain_service ();
  for (Upstream *u : { a, b })
    u->serve = [u] (mq_http_exchange *x) {
      Headers h = u->response_headers (x);

      h.pop_back ();
      gateway::Server::reply (x, 200, "unsigned", h);
    };
  EXPECT_EQ (fetch ("POST", "/unsafe/1").status, 502u);
}

TEST_F (Gateway, ForwardsErrorStatusOfUpstream)
{
  start_plain_service ();
  for (Upstream *u : { a, b })
    u->serve = [u] (mq_http_exchange *x) { u->answer (x, 500); };
  Answer x = fetch ("POST", "/unsafe/1");
  EXPECT_EQ (x.status, 500u);
  EXPECT_EQ (x.signature.substr (0, 10), "signed-by-");
}

TEST_F (Gateway, Replies504WhenRouteTimeoutExpires)
{
  start_plain_service ();
  for (Upstream *u : { a, b })
    u->serve = [] (mq_http_exchange *) {};
  ev_tstamp before = ev_time ();
  Answer x = fetch ("POST", "/unsafe/1",
                    { { "Marjoramquay-Credential", "key-1" } });
  EXPECT_EQ (x.status, 504u);
  EXPECT_LT (ev_time () - before, 1.9);
}

TEST_F (Gateway, ClientDisconnectCancelsUpstreamCall)
{
  Answer x;

  start_plain_service ();
  for (Upstream *u : { a, b })
    u->serve = [] (mq_http_exchange *) {};
  mq_http_call *call = start_request (x, "GET", "/safe/1", key);
  ASSERT_TRUE (until ([&] {
    return a->received_requests.size () + b->received_requests.size () == 1;
  }));
  mq_http_call_cancel (call);
  EXPECT_TRUE (until (
      [&] { return a->server.disconnects + b->server.disconnects == 1; }));
}
