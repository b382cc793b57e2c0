/* The routing face as a whole: configuration and upstreams from the store and
   from peers, the directory, metrics, and drains.  */

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

/* A report of a router as another would send it, changed by CHANGE.  */
std::string
news_of (const std::function<void (mq_gossip *)> &change)
{
  GString *out = g_string_new (nullptr);
  mq_cluster_message p = {};
  mq_gossip news;

  mq_gossip_init (&news, MQ_GOSSIP_REPORT);
  news.from.name = MQ_SPAN ("vm-other");
  news.from.domain = MQ_SPAN ("one");
  news.from.incarnation = news.sequence = 1;
  change (&news);
  p.kind = MQ_CLUSTER_MESSAGE_NEWS;
  p.u.news = &news;
  mq_cluster_message_encode (&p, out);
  std::string bytes (out->str, out->len);
  g_string_free (out, TRUE);
  mq_gossip_finish (&news);
  return bytes;
}

} // namespace

TEST_F (Gateway, ADrainingInstanceGetsNoNewWork)
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

TEST_F (Gateway, ANewerConfigurationIsInForceAndAnOlderNever)
{
  start_plain_service ();
  EXPECT_EQ (fetch ("GET", "/new/1").status, 404u);
  configure (5, "," + route ("/new/", "safe", "app", 1));
  EXPECT_TRUE (until ([&] { return fetch ("GET", "/new/1").status == 200; }));
  configure (3);
  wait (0.3);
  EXPECT_EQ (fetch ("GET", "/new/1").status, 200u);
}

TEST_F (Gateway, AForgottenHistoryIsReadAnew)
{
  start_plain_service ();
  unsigned before = store.scans;
  store.drop_events ();
  configure (2, "," + route ("/new/", "safe", "app", 1));
  EXPECT_TRUE (until ([&] { return fetch ("GET", "/new/1").status == 200; }));
  EXPECT_GT (store.scans, before);
}

TEST_F (Gateway, WithoutTheStoreItServesOn)
{
  start_plain_service ();
  store.down = true;
  store.drop_events ();
  wait (0.4);
  EXPECT_EQ (fetch ("POST", "/unsafe/1").status, 200u);
  EXPECT_TRUE (ready ());
}

TEST_F (Gateway, ARouterThatTheStoreTurnsAwayLearnsFromItsPeers)
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
  /* Each names the other to clients that ask, a heartbeat after that is
     ready.  */
  wait (0.2);
  EXPECT_NE (fetch ("GET", "/resolve?name=x", {}, "", directory_port)
                 .body.find (at (base)),
             std::string::npos);
  mq_gateway_free (second);
  mq_gateway_settings_finish (&other);
}

/* The store forgot its history just when a configuration came: the watches of
   eight routers hung, and they kept the old one for 5 s (tekle-entries-grown
   scale-2, CONFIG).  Their peers' news told of the newer one all the while. */
TEST_F (Gateway, ARouterWhoseWatchHangsAsksTheStoreWhenPeersKnowMore)
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
  std::string bytes = news_of ([&] (mq_gossip *n) {
    n->from.peer = n->from.client = span (own);
    n->routing_version = 9;
  });
  ASSERT_EQ (mq_peers_send (peer, span (to), span (bytes)), 0);
  /* The watch itself ends 1.5 s after it began, and is no scan.  */
  ev_tstamp before = ev_time ();
  EXPECT_TRUE (until ([&] { return fetch ("GET", "/new/1").status == 200; }));
  EXPECT_LT (ev_time () - before, 0.8);
  EXPECT_GT (store.scans, scans);
  mq_peers_free (peer);
}

/* Each of 73 routers followed the store by itself: 6,614 calls on a calm day
   (halvorsen-fleet-grown quiet-1).  */
TEST_F (Gateway, OneRouterFollowsTheUpstreamsForItsDomain)
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
      write_entry (*a); /* Ends all waits; who follows waits again.  */
      wait (0.3);
      EXPECT_EQ (store.watchers ("servers"), 1u) << i;
    }
  /* What the first learns, the second knows at once.  */
  for (Upstream *u : { a, b })
    write_entry (*u, true);
  Upstream &c = add ("app-c", "app");
  wait (0.2);
  EXPECT_EQ (fetch ("GET", "/safe/1", key, "", base).status, 200u);
  EXPECT_EQ (c.received_requests.size (), 1u);
  store.remove ("servers", "app-c");
  wait (0.2);
  EXPECT_EQ (fetch ("GET", "/safe/1", key, "", base).status, 503u);
  /* Without the first it follows again.  */
  stop ();
  EXPECT_TRUE (until ([&] { return store.watchers ("servers") == 1; }));
  write_entry (*a);
  EXPECT_TRUE (until (
      [&] { return fetch ("GET", "/safe/1", key, "", base).status == 200; }));
  mq_gateway_free (second);
  mq_gateway_settings_finish (&other);
}

TEST_F (Gateway, TheDirectoryNamesReadyRouters)
{
  start_plain_service ();
  Answer x = fetch ("GET", "/resolve?name=x.example&zone=one", {}, "",
                    directory_port);
  EXPECT_EQ (x.status, 200u);
  EXPECT_NE (x.body.find (at (clients_port)), std::string::npos);
}

TEST_F (Gateway, MetricsTellWhatIsCountedAndBelieved)
{
  start_plain_service ();
  fetch ("GET", "/safe/1");
  std::string m = fetch ("GET", "/metrics", {}, "", metrics_port).body;
  for (const char *line : { "marjoramquay_requests_total{outcome=\"taken\"} 1",
                            "marjoramquay_requests_ended_total{kind=\"safe\","
                            "outcome=\"answered\",reason=\"whole\"} 1",
                            "marjoramquay_request_seconds_count{kind=\"safe\","
                            "outcome=\"answered\"} 1",
                            "marjoramquay_upstreams{state=\"slow\"} 0",
                            "marjoramquay_configuration_version 1",
                            "marjoramquay_upstreams{state=\"listed\"} 2",
                            "marjoramquay_routers 1" })
    EXPECT_NE (m.find (line), std::string::npos) << line << "\n" << m;
}

TEST_F (Gateway, ADrainTakesItOutAtOnceAndCutsNothing)
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

/* A hunt found a plain call that came 7.3 s after the signal, on a connection
   that was open, and was cut by the end of the drain (halvorsen mix --seed
   119009043896).  */
TEST_F (Gateway, WhatComesLastInADrainIsRefusedAndNotCut)
{
  start_plain_service ();
  mq_gateway_drain (router); /* 3 s of grace.  */
  EXPECT_EQ (fetch ("GET", "/safe/1").status, 200u);
  wait (1.0);
  Answer x = fetch ("GET", "/safe/1");
  EXPECT_EQ (x.status, 503u);
  EXPECT_FALSE (x.retry_after.empty ());
}

/* Two routers that asked the store for changes every 1.5 s were cut off.  The
   third waited 20 s for the answer to its own question, heard nothing of a
   change since the store's watches had fallen silent just then, and served by
   the old configuration for the rest of that time:

     store.ask purpose=configuration-follow       (2.92 s, the last one)
     configuration.in-force version=10 before=8   (2.83 s, the last one)
     store.history-lost kind=servers              (8.56 s, of the upstreams)

   Version 14 was there from 7.2 s on.  */
TEST_F (Gateway, AWatchThatFallsSilentIsAskedAnewThoughOthersAskOften)
{
  mq_gateway_settings others[2] = { {}, {} };
  mq_gateway *routers[2];
  mq_gateway_settings last = {};
  std::string url = "http://" + store.server.address ();
  unsigned base[3] = { free_ports (), free_ports (), free_ports () };
  std::string seeds = "\"" + at (base[0] + 3) + "\"";

  /* Those two rank first, by what they have of a processor.  */
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
  /* It knows them both, and asks once more.  */
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

/* A router left off following the upstreams, since enough others did, while
   an upstream said that it leaves.  They did not tell it, since its last news
   said that it follows, and it sent requests there for 2.4 s:

     store.follow kind=servers follows=0 before=2   (28.508 s)
     upstream.left upstream=... revision=120        (31.299 s)

   The upstream's word was in the store from 28.505 s on.  */
TEST_F (Gateway, ARouterThatLeavesOffFollowingMissesNothing)
{
  mq_gateway_settings other = {};
  unsigned base = free_ports ();

  store_followers = 1;
  start_plain_service ();
  /* The second has more of a processor, so it follows in place of the first.
   */
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
