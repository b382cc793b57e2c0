/* Gateway mode as a whole: configuration and upstreams from the store and from
   peers, the directory, metrics, and drains.  */

#include "support/gateway_fixture.h"

#include <mq/cluster_message.h>
#include <mq/peers.h>

using gateway::Answer;
using gateway::events;
using gateway::Headers;
using gateway::key;
using gateway::ReceivedRequest;
using gateway::span;
using gateway::Upstream;

using Gateway = gateway::Fixture;

namespace
{

/* An encoded report of another router, modified by CHANGE.  */
std::string
encode_report (const std::function<void (mq_gossip *)> &change)
{
  GString *out = g_string_new (nullptr);
  mq_cluster_message p = {};
  mq_gossip gossip;

  mq_gossip_init (&gossip, MQ_GOSSIP_REPORT);
  gossip.from.name = MQ_SPAN ("vm-other");
  gossip.from.domain = MQ_SPAN ("one");
  gossip.from.incarnation = gossip.sequence = 1;
  change (&gossip);
  p.kind = MQ_CLUSTER_MESSAGE_GOSSIP;
  p.u.gossip = &gossip;
  mq_cluster_message_encode (&p, out);
  std::string bytes (out->str, out->len);
  g_string_free (out, TRUE);
  mq_gossip_finish (&gossip);
  return bytes;
}

} // namespace

TEST_F (Gateway, DrainingUpstreamGetsNoNewRequests)
{
  start_plain_service ();
  write_entry (*a, true);
  wait (0.3);
  a->received_requests.clear ();
  for (int i = 0; i < 5; i++)
    EXPECT_EQ (fetch ("POST", "/unsafe/1").status, 200u);
  EXPECT_TRUE (a->received_requests.empty ());
  store.remove ("servers", b->id);
  wait (0.3);
  EXPECT_EQ (fetch ("POST", "/unsafe/1").status, 503u);
}

TEST_F (Gateway, AppliesNewerConfigurationAndIgnoresOlder)
{
  start_plain_service ();
  EXPECT_EQ (fetch ("GET", "/new/1").status, 404u);
  configure (5, "," + route ("/new/", "safe", "app", 1));
  EXPECT_TRUE (until ([&] { return fetch ("GET", "/new/1").status == 200; }));
  configure (3);
  wait (0.3);
  EXPECT_EQ (fetch ("GET", "/new/1").status, 200u);
}

TEST_F (Gateway, RescansWhenStoreHistoryIsCompacted)
{
  start_plain_service ();
  unsigned before = store.scans;
  store.drop_events ();
  configure (2, "," + route ("/new/", "safe", "app", 1));
  EXPECT_TRUE (until ([&] { return fetch ("GET", "/new/1").status == 200; }));
  EXPECT_GT (store.scans, before);
}

TEST_F (Gateway, ServesWhileStoreIsUnreachable)
{
  start_plain_service ();
  store.down = true;
  store.drop_events ();
  wait (0.4);
  EXPECT_EQ (fetch ("POST", "/unsafe/1").status, 200u);
  EXPECT_TRUE (ready ());
}

TEST_F (Gateway, RouterWithoutStoreReceivesStateFromPeers)
{
  mq_gateway_settings other = {};
  unsigned base = free_ports ();

  start_plain_service ();
  mq_gateway *second
      = run_router (&other, settings_text (base, "vm-2", "http://127.0.0.1:1",
                                           "\"" + at (peers_port) + "\""));
  EXPECT_TRUE (until ([&] {
    return fetch ("GET", "/ready", {}, "", base + 1).status == 200;
  }));
  EXPECT_EQ (fetch ("GET", "/safe/1", key, "", base).status, 200u);
  configure (9, "," + route ("/new/", "safe", "app", 1));
  EXPECT_TRUE (until (
      [&] { return fetch ("GET", "/new/1", key, "", base).status == 200; }));
  /* Each router names the other in discovery responses one heartbeat after it
     becomes ready.  */
  wait (0.2);
  EXPECT_NE (fetch ("GET", "/resolve?name=x", {}, "", directory_port)
                 .body.find (at (base)),
             std::string::npos);
  mq_gateway_free (second);
  mq_gateway_settings_finish (&other);
}

/* A watch hangs when the store compacts its history as a configuration
   changes.  Gossip that names a newer version must make the router read the
   store.  */
TEST_F (Gateway, RescansWhenWatchHangsAndPeerIsNewer)
{
  unsigned port = free_ports ();
  auto nothing = [] (void *, mq_span) {};

  start_plain_service ();
  mq_peers *peer = mq_peers_new (loop, MQ_SPAN ("127.0.0.1"), (uint16_t)port,
                                 nullptr, nothing, nullptr, nullptr);
  ASSERT_NE (peer, nullptr);
  std::string to = at (peers_port);
  mq_peers_connect (peer, span (to));
  ASSERT_TRUE (until ([&] { return store.watchers ("config") == 1; }));
  wait (0.2);
  unsigned scans = store.scans;
  store.muted = true;
  configure (9, "," + route ("/new/", "safe", "app", 1));
  wait (0.2);
  EXPECT_EQ (fetch ("GET", "/new/1").status, 404u);
  std::string own = at (port);
  std::string bytes = encode_report ([&] (mq_gossip *n) {
    n->from.peer = n->from.client = span (own);
    n->routing_version = 9;
  });
  ASSERT_EQ (mq_peers_send (peer, span (to), span (bytes)), 0);
  /* The watch itself would end 1.5 s after it began, without a scan.  */
  ev_tstamp before = ev_time ();
  EXPECT_TRUE (until ([&] { return fetch ("GET", "/new/1").status == 200; }));
  EXPECT_LT (ev_time () - before, 0.8);
  EXPECT_GT (store.scans, scans);
  mq_peers_free (peer);
}

/* Guards against calls to the store that grow with the number of routers.  */
TEST_F (Gateway, OneRouterOfDomainFollowsUpstreams)
{
  mq_gateway_settings other = {};
  unsigned base = free_ports ();

  store_followers = 1;
  start_plain_service ();
  mq_gateway *second = run_router (
      &other, settings_text (base, "vm-2", "http://" + store.server.address (),
                             "\"" + at (peers_port) + "\""));
  ASSERT_TRUE (until ([&] {
    return fetch ("GET", "/ready", {}, "", base + 1).status == 200;
  }));
  for (int i = 0; i < 10; i++)
    {
      write_entry (*a); /* Ends all watches; followers watch again.  */
      wait (0.3);
      EXPECT_EQ (store.watchers ("servers"), 1u) << i;
    }
  /* The second router receives the changes from the first at once.  */
  for (Upstream *u : { a, b })
    write_entry (*u, true);
  Upstream &c = add ("app-c", "app");
  wait (0.2);
  EXPECT_EQ (fetch ("GET", "/safe/1", key, "", base).status, 200u);
  EXPECT_EQ (c.received_requests.size (), 1u);
  store.remove ("servers", "app-c");
  wait (0.2);
  EXPECT_EQ (fetch ("GET", "/safe/1", key, "", base).status, 503u);
  /* After the first router has stopped, the second follows.  */
  stop ();
  EXPECT_TRUE (until ([&] { return store.watchers ("servers") == 1; }));
  write_entry (*a);
  EXPECT_TRUE (until (
      [&] { return fetch ("GET", "/safe/1", key, "", base).status == 200; }));
  mq_gateway_free (second);
  mq_gateway_settings_finish (&other);
}

TEST_F (Gateway, DirectoryNamesReadyRouters)
{
  start_plain_service ();
  Answer x = fetch ("GET", "/resolve?name=x.example&zone=one", {}, "",
                    directory_port);
  EXPECT_EQ (x.status, 200u);
  EXPECT_NE (x.body.find (at (clients_port)), std::string::npos);
}

TEST_F (Gateway, MetricsReportCountersAndState)
{
  start_plain_service ();
  fetch ("GET", "/safe/1");
  std::string m = fetch ("GET", "/metrics", {}, "", metrics_port).body;
  for (const char *line :
       { "marjoramquay_requests_total{outcome=\"taken\"} 1",
         "marjoramquay_requests_ended_total{kind=\"safe\","
         "outcome=\"answered\",reason=\"whole\"} 1",
         "marjoramquay_request_seconds_count{kind=\"safe\","
         "outcome=\"answered\"} 1",
         "marjoramquay_upstreams{state=\"slow\"} 0",
         "marjoramquay_configuration_version 1",
         "marjoramquay_upstreams{state=\"listed\"} 2",
         "marjoramquay_routers_behind_ms 0", "marjoramquay_routers 1" })
    EXPECT_NE (m.find (line), std::string::npos) << line << "\n" << m;
  EXPECT_TRUE (until ([&] {
    m = fetch ("GET", "/metrics", {}, "", metrics_port).body;
    return m.find ("marjoramquay_leader 1") != std::string::npos;
  })) << m;
}

TEST_F (Gateway, DrainFailsReadinessAtOnceAndCutsNoRequest)
{
  Answer x;
  mq_http_exchange *held = nullptr;

  start_plain_service ();
  for (Upstream *u : { a, b })
    u->serve = [&] (mq_http_exchange *e) { held = mq_http_exchange_ref (e); };
  start_request (x, "GET", "/safe/1", key);
  ASSERT_TRUE (until ([&] { return held != nullptr; }));
  mq_gateway_drain (router);
  EXPECT_EQ (fetch ("GET", "/ready", {}, "", readiness_port).status, 503u);
  (a->received_requests.empty () ? b : a)->answer (held);
  EXPECT_TRUE (until ([&] { return x.ended; }));
  EXPECT_EQ (x.status, 200u);
  mq_http_exchange_unref (held);
}

/* Guards against cutting a request that arrives on an open connection shortly
   before the drain ends.  */
TEST_F (Gateway, RejectsLateRequestsDuringDrain)
{
  start_plain_service ();
  mq_gateway_drain (router); /* 3 s of grace.  */
  EXPECT_EQ (fetch ("GET", "/safe/1").status, 200u);
  wait (1.0);
  Answer x = fetch ("GET", "/safe/1");
  EXPECT_EQ (x.status, 503u);
  EXPECT_FALSE (x.retry_after.empty ());
}

/* When the routers that poll the store are cut off and its watches hang,
   another router must not keep waiting for its own watch (20 s) on an old
   configuration.  */
TEST_F (Gateway, RenewsHungWatchWhenPollersStop)
{
  mq_gateway_settings others[2] = { {}, {} };
  mq_gateway *routers[2];
  mq_gateway_settings last = {};
  std::string url = "http://" + store.server.address ();
  unsigned base[3] = { free_ports (), free_ports (), free_ports () };
  std::string seeds = "\"" + at (base[0] + 3) + "\"";

  /* A higher processor speed ranks these two first.  */
  a = &add ("app-a", "app");
  configure (1);
  for (int i = 0; i < 2; i++)
    {
      std::string text
          = settings_text (base[i], "vm-" + std::to_string (i), url, seeds);

      text.insert (text.find ("\"region\""), "\"processor_speed\":4,");
      routers[i] = run_router (&others[i], text);
    }
  std::string text = settings_text (base[2], "vm-last", url, seeds);
  text.replace (text.find ("\"one\""), 5, "\"two\"");
  mq_gateway *router_last = run_router (&last, text);
  auto status = [&] (const char *path) {
    return fetch ("GET", path, key, "", base[2]).status;
  };
  ASSERT_TRUE (until ([&] { return status ("/safe/1") == 200; }));
  /* The last router knows both others and has begun another watch.  */
  wait (3);
  configure (2, "," + route ("/second/", "safe", "app", 1));
  ASSERT_TRUE (until ([&] { return status ("/second/1") == 200; }));
  wait (0.5);
  store.muted = true;
  for (int i = 0; i < 2; i++)
    {
      mq_gateway_free (routers[i]);
      mq_gateway_settings_finish (&others[i]);
    }
  configure (3, "," + route ("/third/", "safe", "app", 1));
  ev_tstamp before = ev_time ();
  EXPECT_TRUE (until ([&] { return status ("/third/1") == 200; }));
  EXPECT_LT (ev_time () - before, 4);
  mq_gateway_free (router_last);
  mq_gateway_settings_finish (&last);
}

/* A router that ceases to follow the upstreams must not miss a change made
   before the followers know that they have to notify it.  */
TEST_F (Gateway, ReceivesChangesWhileItStopsFollowing)
{
  mq_gateway_settings other = {};
  unsigned base = free_ports ();

  store_followers = 1;
  start_plain_service ();
  /* A higher processor speed makes the second router follow instead of the
     first.  */
  std::string text
      = settings_text (base, "vm-2", "http://" + store.server.address (),
                       "\"" + at (peers_port) + "\"");
  text.insert (text.find ("\"region\""), "\"processor_speed\":4,");
  mq_gateway *second = run_router (&other, text);
  ASSERT_TRUE (until ([&] { return store.watchers ("servers") == 2; }));
  ASSERT_TRUE (until ([&] { return store.cancelled_waits["servers"] > 0; }));
  write_entry (*a, true);
  write_entry (*b, true);
  wait (0.5);
  EXPECT_EQ (fetch ("GET", "/safe/1", key, "", base).status, 503u);
  EXPECT_EQ (fetch ("GET", "/safe/1").status, 503u);
  mq_gateway_free (second);
  mq_gateway_settings_finish (&other);
}
