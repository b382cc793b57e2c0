/* A test fixture: several routers in gateway mode that serve together.  */

#ifndef MQ_TESTS_ROUTER_FLEET_H
#define MQ_TESTS_ROUTER_FLEET_H

#include "gateway_fixture.h"

namespace gateway
{

class RouterFleet : public Fixture
{
protected:
  ~RouterFleet () override
  {
    for (auto &r : routers)
      stop_router (*r);
  }

  struct Router
  {
    mq_gateway_settings settings = {};
    mq_gateway *gateway = nullptr;
    unsigned base = 0; /* First of its ports; that of its clients.  */
  };

  /* Start one more router and wait until it is ready.  */
  Router &
  start_router ()
  {
    auto r = std::make_unique<Router> ();

    r->base = free_ports ();
    r->gateway = run_router (
        &r->settings,
        settings_text (r->base, "vm-" + std::to_string (++names_),
                       "http://" + store.server.address (),
                       seed_.empty () ? "" : "\"" + seed_ + "\""));
    seed_ = at (r->base + 3);
    unsigned ready = r->base + 1;
    EXPECT_TRUE (until (
        [&] { return fetch ("GET", "/ready", {}, "", ready).status == 200; }));
    routers.push_back (std::move (r));
    return *routers.back ();
  }

  /* Write a configuration and start N routers.  */
  void
  start_routers (unsigned n)
  {
    configure (1);
    for (unsigned i = 0; i < n; i++)
      start_router ();
    wait (0.3);
  }

  /* Add an engine that holds all layers and completes streams.  */
  Upstream &
  add_engine (const std::string &id, const std::string &domain)
  {
    Upstream &u = add (id, "model", domain, "big");

    u.end = 80;
    u.serve = [&u] (mq_http_exchange *x) {
      u.begin (x);
      Upstream::events (x, 1, 3);
      mq_http_exchange_end (x);
    };
    write_entry (u);
    return u;
  }

  /* Stop R as a crash would: it says nothing to the others.  */
  void
  stop_router (Router &r)
  {
    mq_gateway_free (r.gateway);
    if (r.gateway != nullptr)
      mq_gateway_settings_finish (&r.settings);
    r.gateway = nullptr;
  }

  std::vector<std::unique_ptr<Router> > routers;

private:
  std::string seed_; /* Address of the router that started last.  */
  unsigned names_ = 0;
};

} // namespace gateway

#endif
