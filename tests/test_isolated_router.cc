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
    directory = base + 2;
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

  unsigned port = 0, directory = 0; /* Of the router that is cut off.  */

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
