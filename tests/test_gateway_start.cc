/* A router in gateway mode that has just started and does not know all
   upstreams yet: requests that wait, the list that it gets, and failures
   meanwhile.  */

#include "support/gateway_fixture.h"

#include <mq/cluster_message.h>
#include <mq/peers.h>

#include <algorithm>

using gateway::Answer;
using gateway::events;
using gateway::key;
using gateway::span;
using gateway::text;
using gateway::Upstream;

namespace
{

class GatewayStart : public gateway::Fixture
{
protected:
  /* Add an engine with layers FIRST to END that answers streams.  It is not in
     the store before write_entry.  */
  Upstream &
  engine (const std::string &id, unsigned first, unsigned end,
          const std::string &domain = "one")
  {
    upstreams.push_back (
        std::make_unique<Upstream> (loop, id, "model", domain, "half"));
    Upstream *u = upstreams.back ().get ();

    u->first = first;
    u->end = end;
    u->order_status = 409;
    u->serve = [u] (mq_http_exchange *x) {
      u->begin (x);
      Upstream::events (x, 1, 3);
      mq_http_exchange_end (x);
    };
    return *u;
  }

  /* Start a router that knows the address of a seed, which does not exist: it
     looks for relays for 1.5 s before it watches the store.  */
  void
  start_with_seed (const std::string &seeds = "\"127.0.0.1:1\"")
  {
    unsigned base = free_ports ();

    clients_port = base;
    readiness_port = base + 1;
    peers_port = base + 3;
    metrics_port = base + 4;
    router = run_router (
        &settings, settings_text (base, "vm-1",
                                  "http://" + store.server.address (), seeds));
    ASSERT_NE (router, nullptr);
  }

  /* The value of the metric NAME, with its labels.  */
  double
  metric (const std::string &name)
  {
    std::string all = fetch ("GET", "/metrics", {}, "", metrics_port).body;
    size_t at = all.find ("\n" + name + " ");

    return at == std::string::npos
               ? -1
               : std::stod (all.substr (at + name.size () + 1));
  }
};

/* A router made of messages: it sends reports and notes what it receives.  */
struct FakeRouter
{
  std::string address, to;
  mq_peers *peers = nullptr;
  uint64_t digest = 0;  /* Of the real router's list, as last heard.  */
  size_t list_size = 0; /* Entries of the last complete list.  */
  unsigned lists = 0;
  ev_tstamp listed = 0; /* When the last one came.  */
  unsigned changes = 0;
  unsigned capacity = 0;
  bool relays = false;  /* It is a relay that watches the upstreams.  */
  bool watches = false; /* It watches the configuration.  */

  FakeRouter (struct ev_loop *loop, unsigned port, std::string to)
      : address ("127.0.0.1:" + std::to_string (port)), to (std::move (to))
  {
    peers = mq_peers_new (loop, MQ_SPAN ("127.0.0.1"), (uint16_t)port, nullptr,
                          on_message, this, nullptr);
    mq_peers_connect (peers, span (this->to));
  }

  ~FakeRouter () { mq_peers_free (peers); }

  void
  report (const std::string &name, uint64_t with_digest)
  {
    EXPECT_TRUE (try_report (name, with_digest));
  }

  /* Report that its list of upstreams has DIGEST.  Returns false if there is
     no connection to the router yet.  */
  bool
  try_report (const std::string &name, uint64_t with_digest)
  {
    bool sent;
    GString *out = g_string_new (nullptr);
    mq_cluster_message p = {};
    mq_gossip gossip;

    mq_gossip_init (&gossip, MQ_GOSSIP_REPORT);
    gossip.from.name = span (name);
    gossip.from.domain = MQ_SPAN ("one");
    gossip.from.peer = gossip.from.client = span (address);
    gossip.from.incarnation = 1;
    gossip.sequence = ++sequence_;
    gossip.from.capacity = capacity;
    gossip.ready = true;
    gossip.relays = gossip.follows = relays;
    gossip.watches = gossip.store_reached = relays || watches;
    gossip.routing_version = 1;
    gossip.upstreams_digest = with_digest;
    p.kind = MQ_CLUSTER_MESSAGE_GOSSIP;
    p.u.gossip = &gossip;
    mq_cluster_message_encode (&p, out);
    sent = mq_peers_send (peers, span (to), { out->str, out->len }) == 0;
    g_string_free (out, TRUE);
    mq_gossip_finish (&gossip);
    return sent;
  }

  /* Send a complete list that holds ENTRY under NAME only.  */
  void
  send_list (const std::string &name, const std::string &entry)
  {
    GString *out = g_string_new (nullptr);
    mq_cluster_message p = {};
    mq_platform_entry e = {};

    e.name = span (name);
    e.version = 5;
    e.value = span (entry);
    p.kind = MQ_CLUSTER_MESSAGE_ENTRIES;
    p.u.entries = { true, 5, &e, 1 };
    mq_cluster_message_encode (&p, out);
    EXPECT_EQ (mq_peers_send (peers, span (to), { out->str, out->len }), 0);
    g_string_free (out, TRUE);
  }

private:
  static void
  on_message (void *context, mq_span bytes)
  {
    FakeRouter *f = static_cast<FakeRouter *> (context);
    mq_cluster_message_decoded d;

    ASSERT_EQ (mq_cluster_message_decode (&d, bytes, nullptr), 0);
    if (d.message.kind == MQ_CLUSTER_MESSAGE_GOSSIP)
      f->digest = d.message.u.gossip->upstreams_digest;
    if (d.message.kind == MQ_CLUSTER_MESSAGE_ENTRIES
        && d.message.u.entries.whole)
      {
        f->lists++;
        f->listed = ev_time ();
        f->list_size = d.message.u.entries.n;
      }
    else if (d.message.kind == MQ_CLUSTER_MESSAGE_ENTRIES)
      f->changes++;
    mq_cluster_message_decoded_finish (&d);
  }

  uint64_t sequence_ = 0;
};

class GatewayRelay : public GatewayStart
{
protected:
  /* Returns the digest of the router's list, as it tells ROUTER once it
     watches the store.  */
  uint64_t
  list_digest (FakeRouter &router)
  {
    EXPECT_TRUE (until ([&] { return store.watchers ("servers") == 1; }));
    router.digest = 0;
    EXPECT_TRUE (until ([&] { return router.try_report ("vm-old", 1); }));
    EXPECT_TRUE (until ([&] { return router.digest != 0; }));
    return router.digest;
  }

  /* Start a router whose list holds N instances of the plain service.  */
  void
  start_with_entries (unsigned n)
  {
    const Upstream &u = add ("app-0", "app");

    for (unsigned i = 1; i < n; i++)
      store.put ("servers", "app-" + std::to_string (i), u.entry ());
    configure (1);
    start ();
    ASSERT_TRUE (ready ());
  }
};

} // namespace

/* Guards against rejecting streams after a power failure because the first
   list holds only some engines of a chain.  */
TEST_F (GatewayStart, StreamWaitsForRestOfChain)
{
  Upstream &one = engine ("eng-1", 0, 40), &two = engine ("eng-2", 40, 80);
  Answer x;

  configure (1);
  write_entry (one);
  start ();
  ASSERT_TRUE (ready ());
  start_request (x, "POST", "/stream/1", key);
  wait (0.5);
  EXPECT_FALSE (x.ended);
  EXPECT_EQ (metric ("marjoramquay_view_waiting"), 1);
  ev_tstamp before = ev_time ();
  write_entry (two);
  ASSERT_TRUE (until ([&] { return x.ended; }));
  EXPECT_EQ (x.status, 200u);
  EXPECT_EQ (x.body, events (1, 3));
  /* The watch takes 100 ms at most, and a tick 50 ms.  */
  EXPECT_LT (ev_time () - before, 0.3);
  EXPECT_EQ (metric ("marjoramquay_view_waiting"), 0);
  EXPECT_GT (metric ("marjoramquay_view_known_ms"), 400);
}

/* A request that waited is rejected within the bound and with the time until
   the view is expected to be complete, not that of full memory.  */
TEST_F (GatewayStart, StreamWithoutChainIsRejectedWithinBound)
{
  configure (1);
  write_entry (engine ("eng-1", 0, 40));
  start ();
  ASSERT_TRUE (ready ());
  ev_tstamp before = ev_time ();
  Answer x = fetch ("POST", "/stream/1");
  EXPECT_EQ (x.status, 503u);
  EXPECT_GT (ev_time () - before, 1.0);
  EXPECT_LT (ev_time () - before, 1.25);
  EXPECT_GT (std::stod (x.retry_after), 0.9);
  EXPECT_LT (std::stod (x.retry_after), 1.9);
  /* The client has no time left to wait.  */
  before = ev_time ();
  EXPECT_EQ (fetch ("POST", "/stream/1", key, "", 0, "250").status, 503u);
  EXPECT_LT (ev_time () - before, 0.15);
}

/* Guards against keeping a request that its client has given up.  */
TEST_F (GatewayStart, DisconnectedClientNoLongerWaits)
{
  Answer x;

  configure (1);
  write_entry (engine ("eng-1", 0, 40));
  start ();
  ASSERT_TRUE (ready ());
  mq_http_call *call = start_request (x, "POST", "/stream/1", key);
  wait (0.2);
  EXPECT_EQ (metric ("marjoramquay_view_waiting"), 1);
  mq_http_call_cancel (call);
  wait (0.2);
  EXPECT_EQ (metric ("marjoramquay_view_waiting"), 0);
}

/* Guards against a change for a router that is not starting: a chain that was
   lost is a fact.  */
TEST_F (GatewayStart, LossOfChainAfterTheFirstViewIsRejectedAtOnce)
{
  Upstream &one = engine ("eng-1", 0, 40), &two = engine ("eng-2", 40, 80);

  configure (1);
  write_entry (one);
  write_entry (two);
  start ();
  ASSERT_TRUE (ready ());
  EXPECT_EQ (fetch ("POST", "/stream/1").status, 200u);
  store.remove ("servers", "eng-2");
  wait (0.3);
  ev_tstamp before = ev_time ();
  EXPECT_EQ (fetch ("POST", "/stream/1").status, 503u);
  EXPECT_LT (ev_time () - before, 0.15);
}

/* A plain service without an instance is known with the list.  */
TEST_F (GatewayStart, PlainServiceWithoutInstanceIsRejectedAtOnce)
{
  configure (1);
  start ();
  ASSERT_TRUE (ready ());
  ev_tstamp before = ev_time ();
  EXPECT_EQ (fetch ("POST", "/unsafe/1").status, 503u);
  EXPECT_LT (ev_time () - before, 0.15);
}

/* After an outage of the store it is not: the entries of its instances may
   have expired.  An unsafe request waits too, and runs once.  */
TEST_F (GatewayStart, UnsafeRequestWaitsForInstanceAfterOutage)
{
  Answer x;

  configure (1);
  store.down = true;
  start ();
  wait (0.3);
  store.down = false;
  ASSERT_TRUE (ready ());
  start_request (x, "POST", "/unsafe/1", key);
  wait (0.3);
  EXPECT_FALSE (x.ended);
  add ("app-a", "app");
  ASSERT_TRUE (until ([&] { return x.ended; }));
  EXPECT_EQ (x.status, 200u);
  EXPECT_EQ (upstreams[0]->received_requests.size (), 1u);
}

/* The store stays down: requests wait within their bounds at any age of the
   process, and Retry-After is that of an outage.  */
TEST_F (GatewayStart, StoreThatStaysDownCostsBoundedWait)
{
  configure (1);
  add ("app-a", "app");
  store.down = true;
  start ();
  for (int i = 0; i < 3; i++)
    {
      ev_tstamp before = ev_time ();
      Answer x = fetch ("POST", "/unsafe/1");

      EXPECT_EQ (x.status, 503u);
      EXPECT_GT (ev_time () - before, 1.0);
      EXPECT_LT (ev_time () - before, 1.25);
      EXPECT_GE (std::stod (x.retry_after), 1.0);
      EXPECT_LE (std::stod (x.retry_after), 1.25);
    }
  EXPECT_TRUE (upstreams[0]->received_requests.empty ());
  EXPECT_EQ (metric ("marjoramquay_view_store_calls_total"), 0);
}

/* All routers start while the store is down, and the entries of the engines
   come back one after another: no stream is lost, and each router sends within
   0.6 s of the last engine, though relays do not exist for 1.5 s.  */
TEST_F (GatewayStart, RoutersThatStartInOutageLoseNoStream)
{
  constexpr unsigned routers = 3;
  mq_gateway_settings all[routers] = {};
  mq_gateway *started[routers];
  unsigned base[routers];
  Answer answers[routers * 4];
  unsigned n = 0;
  ev_tstamp last = 0;

  store_followers = 1;
  configure (1);
  store.down = true;
  for (unsigned &b : base)
    b = free_ports ();
  for (unsigned i = 0; i < routers; i++)
    started[i] = run_router (
        &all[i], settings_text (base[i], "vm-" + std::to_string (i),
                                "http://" + store.server.address (),
                                "\"" + at (base[0] + 3) + "\",\""
                                    + at (base[1] + 3) + "\""));
  wait (0.6);
  store.down = false;
  for (unsigned i = 0; i < 4; i++)
    {
      wait (0.15);
      for (unsigned b : base)
        start_request (answers[n++], "POST", "/stream/1", key, "", b);
      write_entry (engine ("eng-" + std::to_string (i), i * 20, i * 20 + 20));
      last = ev_time ();
    }
  EXPECT_TRUE (until ([&] {
    return std::all_of (std::begin (answers), std::end (answers),
                        [] (const Answer &a) { return a.ended; });
  }));
  EXPECT_LT (ev_time () - last, 0.6);
  for (const Answer &a : answers)
    EXPECT_EQ (a.status, 200u);
  for (unsigned i = 0; i < routers; i++)
    {
      mq_gateway_free (started[i]);
      mq_gateway_settings_finish (&all[i]);
    }
}

/* Relays are gone: a router that does not watch the store reads the list
   again, at most three times.  */
TEST_F (GatewayStart, ReadsListAgainWithoutRelays)
{
  Upstream &one = engine ("eng-1", 0, 40), &two = engine ("eng-2", 40, 80);

  configure (1);
  write_entry (one);
  start_with_seed ();
  ASSERT_TRUE (ready ());
  wait (0.1);
  write_entry (two);
  ev_tstamp before = ev_time ();
  EXPECT_EQ (fetch ("POST", "/stream/1").status, 200u);
  EXPECT_LT (ev_time () - before, 0.7);
  EXPECT_EQ (store.watchers ("servers"), 0u);
  EXPECT_EQ (metric ("marjoramquay_view_store_calls_total"), 1);
}

TEST_F (GatewayStart, ReadsListAtMostThreeTimesMore)
{
  configure (1);
  write_entry (engine ("eng-1", 0, 40));
  start_with_seed ();
  ASSERT_TRUE (ready ());
  wait (1.4);
  EXPECT_EQ (metric ("marjoramquay_view_store_calls_total"), 2);
  wait (2);
  EXPECT_LE (metric ("marjoramquay_view_store_calls_total"), 3);
}

/* Guards against waits and calls that serve no purpose: in a deployment that
   starts for the first time no engine holds layers.  */
TEST_F (GatewayStart, NeitherWaitsNorReadsAgainWhenEnginesAreEmpty)
{
  configure (1);
  write_entry (engine ("eng-1", 0, 0));
  start_with_seed ();
  ASSERT_TRUE (ready ());
  ev_tstamp before = ev_time ();
  EXPECT_EQ (fetch ("POST", "/stream/1").status, 503u);
  EXPECT_LT (ev_time () - before, 0.15);
  wait (2);
  EXPECT_EQ (metric ("marjoramquay_view_store_calls_total"), 0);
}

/* A stale view: engines that the list names but that no longer exist are found
   by the failed connection, and the request is served elsewhere.  */
TEST_F (GatewayStart, ListedEnginesThatAreGoneAreFoundByConnection)
{
  Upstream &gone = engine ("eng-1", 0, 40, "one");

  write_entry (gone);
  write_entry (engine ("eng-2", 40, 80, "one"));
  write_entry (engine ("eng-3", 0, 40, "two"));
  write_entry (engine ("eng-4", 40, 80, "two"));
  gone.server.close ();
  configure (1);
  start ();
  ASSERT_TRUE (ready ());
  wait (0.05);
  for (int i = 0; i < 4; i++)
    EXPECT_EQ (fetch ("POST", "/stream/1").status, 200u);
}

/* Guards against a starting router that lacks a change made just before its
   relay first heard it: it got the complete list not before LIST_LAG_US, for
   its digest had been the relay's own a moment before.  */
TEST_F (GatewayRelay, NewRouterThatMissedAChangeGetsListAtOnce)
{
  start_plain_service ();
  FakeRouter old (loop, free_ports (), at (peers_port));
  FakeRouter starting (loop, free_ports (), at (peers_port));

  uint64_t digest = list_digest (old);
  add ("app-c", "app");
  wait (0.3);
  ASSERT_EQ (starting.lists, 0u);
  ev_tstamp before = ev_time ();
  starting.report ("vm-new", digest);
  ASSERT_TRUE (until ([&] { return starting.lists > 0; }));
  EXPECT_LT (ev_time () - before, 0.3);
  EXPECT_EQ (starting.list_size, 3u);
}

/* The same for a router that watches the configuration, but not the upstreams:
   its list was delayed by another RESEND_US.  */
TEST_F (GatewayRelay, NewRouterThatWatchesConfigurationGetsListAtOnce)
{
  start_plain_service ();
  FakeRouter old (loop, free_ports (), at (peers_port));
  FakeRouter starting (loop, free_ports (), at (peers_port));
  uint64_t digest = list_digest (old);

  starting.watches = true;
  add ("app-c", "app");
  wait (0.3);
  starting.report ("vm-new", digest);
  wait (0.4);
  EXPECT_EQ (starting.lists, 1u);
}

/* The same for one that is back after it was suspended: the rules bind it a
   while later, when it has to know what it missed.  */
TEST_F (GatewayRelay, RouterThatIsBackGetsListBeforeItIsBound)
{
  const double bound_after_s = 3;

  start_plain_service ();
  FakeRouter back (loop, free_ports (), at (peers_port));
  uint64_t digest = list_digest (back);
  auto report_until = [&] (const std::function<bool ()> &done) {
    for (; !done (); wait (0.1))
      back.report ("vm-old", digest);
  };

  back.watches = true;
  ev_tstamp begin = ev_time ();
  report_until ([&] { return ev_time () > begin + 5; });
  add ("app-c", "app");
  wait (2);
  back.lists = 0;
  ev_tstamp before = ev_time ();
  report_until (
      [&] { return back.lists > 0 || ev_time () > before + bound_after_s; });
  EXPECT_EQ (back.lists, 1u);
}

/* Guards against sending lists to a router that has all: the digest that it
   reports is the one that ours had since it was first heard.  */
TEST_F (GatewayRelay, NewRouterWithOurListGetsNone)
{
  start_plain_service ();
  FakeRouter old (loop, free_ports (), at (peers_port));
  FakeRouter starting (loop, free_ports (), at (peers_port));

  uint64_t digest = list_digest (old);
  for (int i = 0; i < 10; i++)
    {
      starting.report ("vm-new", digest);
      wait (0.1);
    }
  EXPECT_EQ (starting.lists, 0u);
}

/* The same when the change is made before the connection to the new router is
   open: it was dropped, and the complete list followed not before LIST_LAG_US.
 */
TEST_F (GatewayRelay, ChangeThatWasDroppedIsFollowedByListAtOnce)
{
  start_plain_service ();
  FakeRouter old (loop, free_ports (), at (peers_port));

  for (unsigned i = 0; i < 4; i++)
    {
      FakeRouter starting (loop, free_ports (), at (peers_port));
      std::string name = "vm-" + std::to_string (i);

      uint64_t digest = list_digest (old);

      wait (0.15);
      starting.report (name, digest);
      wait (0.02);
      add ("app-" + name, "app");
      ev_tstamp before = ev_time ();
      EXPECT_TRUE (
          until ([&] { return starting.changes + starting.lists > 0; }));
      EXPECT_LT (ev_time () - before, 0.4);
    }
}

/* A router that watches the store among more than 16 that start, and is not
   the leader, gathered changes for 0.8 s.  Guards against that delay while it
   knows no chain.  */
TEST_F (GatewayStart, GathersChangesForShortTimeWhileUnknown)
{
  Upstream &one = engine ("eng-1", 0, 40), &two = engine ("eng-2", 40, 80);
  unsigned port = free_ports ();
  std::string seeds = "\"" + at (port) + "\"";

  for (unsigned i = 1; i <= 16; i++)
    seeds += ",\"127.0.0.1:" + std::to_string (i) + "\"";
  configure (1);
  store.down = true;
  start_with_seed (seeds);
  FakeRouter relay (loop, port, at (peers_port));
  relay.relays = true;
  relay.capacity = 100000;
  for (int i = 0; i < 50 && store.watchers ("servers") == 0; i++)
    {
      wait (0.1);
      relay.report ("vm-relay", 1);
      store.down = i < 11;
    }
  ASSERT_EQ (store.watchers ("servers"), 1u);
  write_entry (one);
  wait (0.05);
  ev_tstamp before = ev_time ();
  write_entry (two);
  EXPECT_EQ (fetch ("POST", "/stream/1").status, 200u);
  EXPECT_LT (ev_time () - before, 0.4);
  EXPECT_GE (metric ("marjoramquay_view_store_calls_total"), 1);
  EXPECT_LE (metric ("marjoramquay_view_store_calls_total"), 3);
  EXPECT_EQ (metric ("marjoramquay_leader"), 0);
}

/* Guards against a reread that takes the place of the router's own first scan,
   which fails while a peer sends a list: the scan was not tried again.  */
TEST_F (GatewayStart, DoesNotReadAgainWhileItsFirstScanFails)
{
  unsigned port = free_ports ();
  const Upstream &one = engine ("eng-1", 0, 40),
                 &two = engine ("eng-2", 40, 80);

  configure (1);
  store.failing = "servers";
  start_with_seed ("\"" + at (port) + "\"");
  FakeRouter peer (loop, port, at (peers_port));
  wait (0.3);
  peer.report ("vm-peer", 1);
  peer.send_list ("eng-1", one.entry ());
  ASSERT_TRUE (ready ());
  wait (1);
  EXPECT_EQ (metric ("marjoramquay_view_store_calls_total"), 0);
  write_entry (one);
  write_entry (two);
  store.failing.clear ();
  EXPECT_EQ (fetch ("POST", "/stream/1").status, 200u);
  EXPECT_EQ (store.kind_scans["servers"], 1u);
}

/* Guards against more than three additional calls by a list of several pages,
   and against missing a change since the last complete one after that.  */
TEST_F (GatewayStart, CountsPagesOfListThatIsReadAgain)
{
  for (unsigned i = 1; i <= 5; i++)
    write_entry (engine ("eng-" + std::to_string (i), 0, 40));
  store.page = 1;
  configure (1);
  start_with_seed ();
  ASSERT_TRUE (ready ());
  unsigned first = store.kind_scans["servers"];
  wait (0.2);
  write_entry (engine ("eng-9", 40, 80));
  wait (1);
  EXPECT_EQ (store.kind_scans["servers"] - first, 3u);
  EXPECT_EQ (metric ("marjoramquay_view_store_calls_total"), 3);
  ASSERT_TRUE (until ([&] { return store.watchers ("servers") == 1; }));
  wait (0.1);
  EXPECT_EQ (fetch ("POST", "/stream/1").status, 200u);
}

/* Guards against an overflow: the client's time, in microseconds, was taken
   modulo 2^64, so that the request was rejected at once.  */
TEST_F (GatewayStart, EarlyRequestWithHugeTimeWaits)
{
  configure (1);
  store.down = true;
  start ();
  ev_tstamp before = ev_time ();
  Answer x = fetch ("POST", "/unsafe/1", key, "", 0, "18446744073709552");
  EXPECT_EQ (x.status, 503u);
  EXPECT_GT (ev_time () - before, 1.4);
}

/* A request waits until the list is believed, and is then rejected for lack of
   room.  Guards against rejecting it uncounted and without the reason.  */
TEST_F (GatewayStart, RequestRejectedForLackOfRoomAfterWaitIsCountedAndLogged)
{
  std::string log;

  configure (1);
  write_entry (engine ("eng-1", 0, 40));
  start ();
  ASSERT_TRUE (ready ());
  wait (1.6);
  mq_log_init ("info");
  testing::internal::CaptureStderr ();
  Answer x = fetch ("POST", "/stream/1");
  log = testing::internal::GetCapturedStderr ();
  EXPECT_EQ (x.status, 503u);
  EXPECT_NE (log.find ("event=request.waits-for-view"), std::string::npos);
  EXPECT_NE (log.find ("event=request.no-room"), std::string::npos);
  EXPECT_EQ (metric ("marjoramquay_view_waits_total{end=\"any\"}"), 1);
  EXPECT_EQ (metric ("marjoramquay_view_waits_total{end=\"rejected\"}"), 1);
}

/* Guards against lists to routers that cannot be reached using up the rate of
   first lists, and against logging what was not sent.  */
TEST_F (GatewayRelay, UnreachableRoutersDoNotDelayListsOfOthers)
{
  std::string log;

  start_with_entries (400);
  FakeRouter old (loop, free_ports (), at (peers_port));
  FakeRouter starting (loop, free_ports (), at (peers_port));
  uint64_t digest = list_digest (old);

  add ("app-c", "app");
  wait (0.3);
  mq_log_init ("info");
  testing::internal::CaptureStderr ();
  {
    FakeRouter gone (loop, free_ports (), at (peers_port));

    wait (0.1);
    for (unsigned i = 1; i <= 30; i++)
      {
        gone.address = "127.0.0.1:" + std::to_string (i);
        gone.report ("vm-gone-" + std::to_string (i), digest);
      }
    starting.report ("vm-new", digest);
    wait (0.6);
  }
  log = testing::internal::GetCapturedStderr ();
  EXPECT_EQ (starting.lists, 1u);
  EXPECT_EQ (log.find ("event=upstream.list-passed-on vm=vm-gone"),
             std::string::npos);
  EXPECT_NE (log.find ("event=upstream.list-passed-on vm=vm-new"),
             std::string::npos);
}

/* Guards against exceeding the rate of 400 entries a tick of 50 ms with lists
   that are longer.  */
TEST_F (GatewayRelay, FirstListsLongerThanTheRateGoOutLater)
{
  start_with_entries (1200);
  FakeRouter old (loop, free_ports (), at (peers_port));
  std::vector<std::unique_ptr<FakeRouter> > starting;
  uint64_t digest = list_digest (old);
  ev_tstamp first = 0, last = 0;

  for (unsigned i = 0; i < 4; i++)
    starting.push_back (
        std::make_unique<FakeRouter> (loop, free_ports (), at (peers_port)));
  add ("app-c", "app");
  wait (0.3);
  for (unsigned i = 0; i < 4; i++)
    starting[i]->report ("vm-new-" + std::to_string (i), digest);
  EXPECT_TRUE (until ([&] {
    return std::all_of (starting.begin (), starting.end (),
                        [] (const auto &s) { return s->lists > 0; });
  }));
  for (const auto &s : starting)
    {
      first = first > 0 ? std::min (first, s->listed) : s->listed;
      last = std::max (last, s->listed);
    }
  EXPECT_GT (last - first, 0.35);
  EXPECT_LT (last - first, 1.0);
}

/* Guards against treating a request of a plain service that waits for its view
   as one that waits for prefill, while streams do: it was no longer placed. */
TEST_F (GatewayStart, RequestThatWaitsForViewIsPlacedWhileStreamsPrefill)
{
  constexpr unsigned streams = 200;
  Answer answers[streams], x;
  Upstream &one = engine ("eng-1", 0, 40), &two = engine ("eng-2", 40, 80);

  one.serve = two.serve = [] (mq_http_exchange *) {};
  write_entry (one);
  write_entry (two);
  configure (1);
  store.down = true;
  start ();
  wait (0.3);
  store.down = false;
  ASSERT_TRUE (ready ());
  for (Answer &a : answers)
    start_request (a, "POST", "/stream/1", key);
  wait (0.1);
  start_request (x, "POST", "/unsafe/1", key);
  wait (0.12);
  EXPECT_FALSE (x.ended);
  EXPECT_EQ (metric ("marjoramquay_view_waiting"), 1);
  /* Some streams wait for prefill.  */
  EXPECT_LT (one.received_requests.size (), streams);
  add ("app-a", "app");
  ev_tstamp before = ev_time ();
  ASSERT_TRUE (until ([&] { return x.ended; }));
  EXPECT_EQ (x.status, 200u);
  /* The list is read again 0.4 to 0.5 s after the first one.  */
  EXPECT_LT (ev_time () - before, 0.55);
}
