/* A router in gateway mode whose model service has routes of different
   priorities.  */

#include "support/gateway_fixture.h"

#include <map>

using gateway::Answer;
using gateway::events;
using gateway::Headers;
using gateway::key;
using gateway::Upstream;

namespace
{

class GatewayUrgency : public gateway::Fixture
{
protected:
  /* Put VERSION of the configuration in force, in which the route /low/ of the
     model has PRIORITY; that of the others is 0.  */
  void
  configure_low (unsigned version, const std::string &priority)
  {
    std::string low = route ("/low/", "streaming", "model", 2);

    low.insert (low.size () - 1, ",\"priority\":" + priority);
    configure (version, "," + low);
  }

  /* Let all engines send complete streams.  */
  void
  serve_streams ()
  {
    for (auto &p : upstreams)
      {
        Upstream *u = p.get ();

        u->serve = [this, u] (mq_http_exchange *x) {
          size_t n;
          const mq_http_header *h = mq_http_exchange_headers (x, &n);

          sent.clear ();
          for (size_t i = 0; i < n; i++)
            if (gateway::text (h[i].name) == header)
              sent += "[" + gateway::text (h[i].value) + "]";
          u->begin (x);
          Upstream::events (x, 1, 2);
          mq_http_exchange_end (x);
        };
      }
  }

  /* Let all engines send two events and then wait, and resumed streams end.
   */
  void
  hold_streams ()
  {
    for (auto &p : upstreams)
      {
        Upstream *u = p.get ();

        u->serve = [this, u] (mq_http_exchange *x) {
          auto &r = u->received_requests.back ();

          u->begin (x);
          if (r.headers.count ("Last-Event-Id") != 0)
            {
              Upstream::events (x, 3, 4);
              mq_http_exchange_end (x);
              return;
            }
          Upstream::events (x, 1, 2);
          open[r.target] = mq_http_exchange_ref (x);
        };
      }
  }

  /* Start a stream of each level, the less urgent one first.  */
  void
  start_streams ()
  {
    start_request (low, "POST", "/low/1", key);
    ASSERT_TRUE (until ([&] { return open.size () == 1; }));
    start_request (urgent, "POST", "/stream/1", key);
    ASSERT_TRUE (until ([&] { return open.size () == 2; }));
  }

  /* Break both, the less urgent one first.  */
  void
  break_streams ()
  {
    for (const char *target : { "/low/1", "/stream/1" })
      {
        mq_http_exchange *x = open.at (target);

        mq_http_exchange_write (x, MQ_SPAN ("id: 3\ndata: ha"));
        mq_http_exchange_end (x);
        mq_http_exchange_unref (x);
      }
  }

  bool
  in_force (unsigned version)
  {
    std::string line
        = "marjoramquay_configuration_version " + std::to_string (version);

    return until ([&] { return metrics ().find (line) != std::string::npos; });
  }

  std::string
  metrics ()
  {
    return fetch ("GET", "/metrics", {}, "", metrics_port).body;
  }

  /* The values of the urgency header that the engine gets for a request of
     TARGET, whose client sends one too.  */
  std::string
  sent_urgency (const std::string &target)
  {
    Headers more = key;

    more.push_back ({ header, "7" });
    EXPECT_EQ (fetch ("POST", target, more).status, 200u);
    return sent;
  }

  const std::string header = "Marjoramquay-Request-Urgency";
  std::string sent; /* Its values in the last request that an engine got.  */
  std::map<std::string, mq_http_exchange *> open; /* By target.  */
  Answer low, urgent;
};

} // namespace

/* Guards against clients that choose their own urgency, and against a change
   for services whose routes have equal priorities.  */
TEST_F (GatewayUrgency, EnginesGetLevelWhereLevelsAreInForce)
{
  start_chains ();
  serve_streams ();
  configure_low (2, "0");
  ASSERT_TRUE (in_force (2));
  EXPECT_EQ (sent_urgency ("/stream/1"), "[7]");
  EXPECT_EQ (sent_urgency ("/low/1"), "[7]");
  EXPECT_EQ (metrics ().find ("marjoramquay_urgency"), std::string::npos);
  configure_low (3, "2");
  ASSERT_TRUE (in_force (3));
  EXPECT_EQ (sent_urgency ("/stream/1"), "[0]");
  EXPECT_EQ (sent_urgency ("/low/1"), "[1]");
  std::string m = metrics ();
  for (const char *line :
       { "marjoramquay_urgency_requests_total{level=\"0\",outcome=\"admitted\""
         "} 1",
         "marjoramquay_urgency_requests_total{level=\"1\",outcome=\"admitted\""
         "} 1",
         "marjoramquay_urgency_headroom_tokens{level=\"1\"}" })
    EXPECT_NE (m.find (line), std::string::npos) << line << "\n" << m;
}

TEST_F (GatewayUrgency, InvalidPriorityLeavesPresentConfigurationInForce)
{
  start_chains ();
  serve_streams ();
  configure_low (2, "-1");
  wait (0.2);
  EXPECT_EQ (fetch ("POST", "/low/1").status, 404u);
  EXPECT_EQ (fetch ("POST", "/stream/1").status, 200u);
  configure_low (3, "1000");
  ASSERT_TRUE (in_force (3));
  EXPECT_EQ (fetch ("POST", "/low/1").status, 200u);
}

/* Two streams break when the retry budget allows one retry before the clients
   disconnect.  Guards against granting it to the stream that came first.  */
TEST_F (GatewayUrgency, MoreUrgentStreamGetsLastRetryOfBudget)
{
  sends_slack = 10;
  sends_window_ms = 6000; /* The first fifth of it has no budget.  */
  start_chains ();
  hold_streams ();
  configure_low (2, "2");
  ASSERT_TRUE (in_force (2));
  start_streams ();
  break_streams ();
  ASSERT_TRUE (until ([&] { return urgent.ended; }));
  wait (0.2);
  EXPECT_EQ (urgent.body, events (1, 4));
  EXPECT_EQ (low.body, events (1, 2));
}

/* The same for streams that wait for room: there is budget for the first one
   that is tried.  */
TEST_F (GatewayUrgency, MoreUrgentStreamIsTriedFirstWhenThereIsRoom)
{
  sends_slack = 1;
  sends_window_ms = 2000;
  start_chains ();
  hold_streams ();
  configure_low (2, "2");
  ASSERT_TRUE (in_force (2));
  wait (2.1); /* The slack grows over the first window.  */
  start_streams ();
  for (auto &u : upstreams)
    write_entry (*u, true);
  wait (0.3); /* The router reads changes ten times a second.  */
  break_streams ();
  wait (0.2);
  EXPECT_FALSE (low.ended || urgent.ended);
  for (auto &u : upstreams)
    write_entry (*u);
  ASSERT_TRUE (until ([&] { return urgent.ended; }));
  wait (0.2);
  EXPECT_EQ (urgent.body, events (1, 4));
  EXPECT_EQ (low.body, events (1, 2));
}

/* An engine that both streams pass through fails when the budget allows one
   retry.  Guards against granting it to the stream that came first.  */
TEST_F (GatewayUrgency, MoreUrgentStreamOfFailedEngineIsResumedFirst)
{
  sends_slack = 1;
  sends_window_ms = 2000;
  start_chains ();
  hold_streams ();
  configure_low (2, "2");
  ASSERT_TRUE (in_force (2));
  wait (2.1); /* The slack grows over the first window.  */
  start_streams ();
  upstreams[1]->server.close ();
  ASSERT_TRUE (until ([&] { return urgent.ended; }));
  wait (0.2);
  EXPECT_EQ (urgent.body, events (1, 4));
  EXPECT_EQ (low.body, events (1, 2));
  for (auto &stream : open)
    mq_http_exchange_unref (stream.second);
}
