/* A router that has lost its links to all upstreams, while clients, the store
   and the other routers still reach it.  */

#include "support/gateway_fixture.h"

#include "support/cut_links.h"

using gateway::Answer;
using gateway::events;
using gateway::key;
using gateway::Upstream;

namespace
{

const double stable_s = 3; /* After this a cut off router must serve.  */

class IsolatedRouter : public gateway::Fixture
{
protected:
  IsolatedRouter () { cut::open_black_hole (); }

  ~IsolatedRouter () override
  {
    cut::mode = cut::Mode::Up;
    mq_gateway_free (cut_off_);
    mq_gateway_settings_finish (&settings_);
    stop ();
    cut_loop_.reset ();
    cut::open_connections.clear ();
    cut::ports.clear ();
  }

  /* Start a second router, which `cut::set` cuts off from all upstreams.  */
  void
  start_second ()
  {
    struct ev_loop *shared = loop;
    unsigned base = free_ports ();

    for (auto &u : upstreams)
      cut::ports.insert (port_of (*u));
    cut_loop_ = std::make_unique<cut::Loop> (shared);
    loop = cut_loop_->loop;
    cut_off_ = run_router (&settings_,
                           settings_text (base, "vm-2",
                                          "http://" + store.server.address (),
                                          "\"" + at (peers_port) + "\""));
    loop = shared;
    port = base;
    ASSERT_TRUE (until ([&] {
      return fetch ("GET", "/ready", {}, "", base + 1).status == 200;
    }));
    wait (0.5); /* Until both know each other.  */
  }

  static unsigned
  port_of (const Upstream &u)
  {
    std::string a = u.server.address ();

    return (unsigned)std::stoul (a.substr (a.rfind (':') + 1));
  }

  /* Send N requests to the router that is cut off, one after the other.
     Returns how many were served.  */
  unsigned
  serve (unsigned n, const std::string &method, const std::string &target)
  {
    unsigned served = 0;

    for (unsigned i = 0; i < n; i++)
      served += fetch (method, target, key, "", port).status == 200;
    return served;
  }

  /* A run of a stream at an upstream that the test drives.  */
  struct Run
  {
    mq_http_exchange *exchange;
    unsigned sent; /* Its last event.  */
  };

  /* Have each run send its next event, and end after LAST.  */
  void
  step_runs (unsigned last)
  {
    for (Run &r : runs_)
      {
        if (r.sent >= last)
          continue;
        Upstream::events (r.exchange, r.sent + 1, r.sent + 1);
        if (++r.sent == last)
          mq_http_exchange_end (r.exchange);
      }
  }

  void
  end_runs ()
  {
    for (Run &r : runs_)
      {
        if (r.sent < UINT32_MAX)
          mq_http_exchange_abort (r.exchange);
        mq_http_exchange_unref (r.exchange);
      }
    runs_.clear ();
  }

  unsigned port = 0; /* Of the router that is cut off.  */
  std::vector<Run> runs_;

private:
  std::unique_ptr<cut::Loop> cut_loop_;
  mq_gateway *cut_off_ = nullptr;
  mq_gateway_settings settings_ = {};
};

const cut::Mode modes[]
    = { cut::Mode::Hang, cut::Mode::Reset, cut::Mode::Refuse };

} // namespace

/* Guards against refusing all requests because this router's own links to the
   upstreams have failed.  */
TEST_F (IsolatedRouter, ServesThroughPeerThatReachesUpstreams)
{
  start_plain_service ();
  start_second ();
  for (cut::Mode mode : modes)
    {
      cut::set (cut::Mode::Up);
      EXPECT_TRUE (until ([&] { return serve (1, "GET", "/safe/1") == 1; }));
      EXPECT_EQ (serve (2, "POST", "/unsafe/1"), 2u);
      cut::set (mode);
      for (ev_tstamp end = ev_time () + stable_s; ev_time () < end;)
        {
          serve (1, "GET", "/safe/1");
          wait (0.1);
        }
      EXPECT_EQ (serve (10, "GET", "/safe/1"), 10u) << (int)mode;
      EXPECT_EQ (serve (10, "POST", "/unsafe/1"), 10u) << (int)mode;
    }
}

TEST_F (IsolatedRouter, ServesStreamsThroughPeer)
{
  start_chains ();
  for (auto &u : upstreams)
    u->serve = [&u] (mq_http_exchange *x) {
      u->begin (x);
      Upstream::events (x, 1, 3);
      mq_http_exchange_end (x);
    };
  start_second ();
  for (cut::Mode mode : modes)
    {
      cut::set (cut::Mode::Up);
      EXPECT_TRUE (
          until ([&] { return serve (1, "POST", "/stream/1") == 1; }));
      cut::set (mode);
      for (ev_tstamp end = ev_time () + stable_s; ev_time () < end;)
        {
          serve (1, "POST", "/stream/1");
          wait (0.1);
        }
      for (int i = 0; i < 10; i++)
        {
          Answer x = fetch ("POST", "/stream/1", key, "", port);

          EXPECT_EQ (x.status, 200u) << (int)mode;
          EXPECT_EQ (x.body, events (1, 3)) << (int)mode;
        }
    }
}

/* Neither requests through a peer nor probes of lost links reach it.  */
TEST_F (IsolatedRouter, DrainingUpstreamGetsNothingThroughPeer)
{
  start_plain_service ();
  start_second ();
  for (cut::Mode mode : modes)
    {
      cut::set (mode);
      for (ev_tstamp end = ev_time () + stable_s; ev_time () < end;)
        {
          serve (1, "GET", "/safe/1");
          wait (0.1);
        }
      write_entry (*a, true);
      wait (0.3);
      a->received_requests.clear ();
      EXPECT_EQ (serve (10, "GET", "/safe/1"), 10u) << (int)mode;
      EXPECT_EQ (serve (10, "POST", "/unsafe/1"), 10u) << (int)mode;
      wait (1);
      cut::set (cut::Mode::Up);
      wait (1);
      EXPECT_EQ (serve (10, "GET", "/safe/1"), 10u) << (int)mode;
      EXPECT_TRUE (a->received_requests.empty ()) << (int)mode;
      write_entry (*a);
      EXPECT_TRUE (until ([&] {
        return serve (1, "GET", "/safe/1") == 1
               && !a->received_requests.empty ();
      }));
    }
}

/* Guards against ejections that a router reports because of its own links.  */
TEST_F (IsolatedRouter, TakesNoUpstreamsFromOthers)
{
  start_chains ();
  a = &add ("app-a", "app");
  wait (0.3);
  start_second ();
  for (cut::Mode mode : modes)
    {
      cut::set (cut::Mode::Up);
      wait (2);
      cut::set (mode);
      for (ev_tstamp end = ev_time () + 2; ev_time () < end;)
        {
          serve (1, "GET", "/safe/1");
          serve (1, "POST", "/stream/1");
          std::string m = fetch ("GET", "/metrics", {}, "", metrics_port).body;
          EXPECT_NE (m.find ("marjoramquay_upstreams{state=\"unusable\"} 0"),
                     std::string::npos)
              << (int)mode;
        }
    }
}

/* A stream under way when the links fail goes on through the other router,
   with each event once.  */
TEST_F (IsolatedRouter, StreamGoesOnThroughPeer)
{
  constexpr unsigned last = 60;

  start_chains ();
  for (auto &p : upstreams)
    {
      Upstream *u = p.get ();

      u->serve = [this, u] (mq_http_exchange *x) {
        std::string from
            = gateway::text (mq_http_exchange_header (x, "Last-Event-Id"));
        Run run = { mq_http_exchange_ref (x),
                    from.empty () ? 0 : (unsigned)std::stoul (from) };

        u->begin (x);
        runs_.push_back (run);
      };
    }
  start_second ();
  for (cut::Mode mode : modes)
    {
      Answer x;

      cut::set (cut::Mode::Up);
      wait (1.5); /* Until the router has found its links up.  */
      start_request (x, "POST", "/stream/1", key, "", port, "9000");
      for (unsigned tick = 0; !x.ended && tick < 200; tick++)
        {
          if (tick == 10)
            cut::set (mode);
          step_runs (last);
          wait (0.01);
        }
      EXPECT_TRUE (x.ended);
      EXPECT_EQ (x.result, MQ_HTTP_OK) << (int)mode;
      EXPECT_EQ (x.body, events (1, last)) << (int)mode;
      end_runs ();
    }
}

/* An unsafe request under way when the links fail runs once, and its client is
   not told that it did not run.  */
TEST_F (IsolatedRouter, UnsafeRequestUnderWayRunsOnce)
{
  start_plain_service ();
  std::vector<mq_http_exchange *> held;
  for (Upstream *u : { a, b })
    u->serve = [&] (mq_http_exchange *x) {
      held.push_back (mq_http_exchange_ref (x));
    };
  start_second ();
  for (cut::Mode mode : { cut::Mode::Hang, cut::Mode::Reset })
    {
      Answer x;

      cut::set (cut::Mode::Up);
      wait (1.5);
      size_t before = held.size ();
      start_request (x, "POST", "/unsafe/1", key, "", port);
      ASSERT_TRUE (until ([&] { return held.size () > before; }));
      cut::set (mode);
      EXPECT_TRUE (until ([&] { return x.ended; }));
      EXPECT_TRUE (x.status == 502 || x.status == 504) << x.status;
      wait (0.5);
      EXPECT_EQ (held.size (), before + 1) << (int)mode;
    }
  for (mq_http_exchange *x : held)
    mq_http_exchange_unref (x);
}

/* What an upstream receives through the other router is what it would receive
   directly; when the client leaves, its work ends.  */
TEST_F (IsolatedRouter, RequestThroughPeerIsUnchanged)
{
  bool left = false;

  start_plain_service ();
  start_second ();
  cut::set (cut::Mode::Hang);
  ASSERT_TRUE (until ([&] { return serve (1, "GET", "/safe/1") == 1; }));
  for (Upstream *u : { a, b })
    {
      u->received_requests.clear ();
      u->server.on_gone = [&] (mq_http_exchange *) { left = true; };
      u->serve = [] (mq_http_exchange *) {};
    }
  Answer x;
  mq_http_call *call
      = start_request (x, "POST", "/unsafe/2?q=1", key, "body", port, "900");
  auto received = [&] {
    return a->received_requests.size () + b->received_requests.size ();
  };
  ASSERT_TRUE (until ([&] { return received () == 1; }));
  gateway::ReceivedRequest r = a->received_requests.empty ()
                                   ? b->received_requests[0]
                                   : a->received_requests[0];
  EXPECT_EQ (r.method, "POST");
  EXPECT_EQ (r.target, "/unsafe/2?q=1");
  EXPECT_EQ (r.body, "body");
  EXPECT_EQ (r.headers["Marjoramquay-Tenant"], "org");
  EXPECT_EQ (r.headers.count ("Marjoramquay-Credential"), 0u);
  EXPECT_LE (std::stoul (r.headers["Marjoramquay-Time-Budget-Ms"]), 900u);
  mq_http_call_cancel (call);
  EXPECT_TRUE (until ([&] { return left; }));
}

/* A router that drains does not cut the requests that go through it.  */
TEST_F (IsolatedRouter, DrainOfPeerCutsNoRequest)
{
  std::vector<mq_http_exchange *> held;
  std::vector<Upstream *> at;
  std::string slow = route ("/slow/", "unsafe", "app", 1);
  Answer x;

  slow.replace (slow.find ("1500"), 4, "9000");
  start_plain_service ();
  configure (2, "," + slow);
  start_second ();
  cut::set (cut::Mode::Hang);
  ASSERT_TRUE (until ([&] { return serve (1, "GET", "/safe/1") == 1; }));
  for (Upstream *u : { a, b })
    u->serve = [&held, &at, u] (mq_http_exchange *x) {
      held.push_back (mq_http_exchange_ref (x));
      at.push_back (u);
    };
  start_request (x, "POST", "/slow/1", key, "", port, "9000");
  ASSERT_TRUE (until ([&] { return held.size () == 1; }));
  mq_gateway_drain (router);
  wait (1.2);
  at[0]->answer (held[0]);
  EXPECT_TRUE (until ([&] { return x.ended; }));
  EXPECT_EQ (x.status, 200u);
  mq_http_exchange_unref (held[0]);
}

TEST_F (IsolatedRouter, IsDirectAgainWhenLinksAreBack)
{
  start_plain_service ();
  start_second ();
  auto metric = [&] (unsigned at, const std::string &line) {
    return fetch ("GET", "/metrics", {}, "", at).body.find (line)
           != std::string::npos;
  };
  for (cut::Mode mode : modes)
    {
      cut::set (mode);
      ASSERT_TRUE (until ([&] {
        serve (1, "POST", "/unsafe/1");
        return metric (port + 4, "marjoramquay_isolated_services 1");
      }));
      cut::set (cut::Mode::Up);
      ASSERT_TRUE (until ([&] {
        return metric (port + 4, "marjoramquay_isolated_services 0");
      }));
    }
  std::string m = fetch ("GET", "/metrics", {}, "", metrics_port).body;
  std::string tunnels = m.substr (m.find ("\nmarjoramquay_tunnels_total"), 40);
  EXPECT_EQ (serve (5, "POST", "/unsafe/1"), 5u);
  EXPECT_TRUE (
      metric (metrics_port, tunnels.substr (0, tunnels.find ('\n', 1))));
}

/* A connection that is refused because the links failed is no sign of a crash,
   also when they are back soon.  */
TEST_F (IsolatedRouter, ResetConnectionsAreNoCrash)
{
  std::vector<mq_http_exchange *> held;
  std::vector<std::unique_ptr<Answer> > answers;

  start_plain_service ();
  start_second ();
  for (Upstream *u : { a, b })
    u->serve = [&held] (mq_http_exchange *x) {
      held.push_back (mq_http_exchange_ref (x));
    };
  for (int i = 0; i < 4; i++)
    {
      answers.push_back (std::make_unique<Answer> ());
      start_request (*answers.back (), "POST", "/unsafe/1", key, "", port);
    }
  ASSERT_TRUE (until ([&] { return held.size () == 4; }));
  cut::set (cut::Mode::Reset);
  wait (0.6);
  cut::set (cut::Mode::Up);
  wait (2);
  for (unsigned at : { port + 4, metrics_port })
    EXPECT_NE (fetch ("GET", "/metrics", {}, "", at)
                   .body.find ("marjoramquay_upstream_ends_total 0"),
               std::string::npos);
  for (mq_http_exchange *x : held)
    mq_http_exchange_unref (x);
}
