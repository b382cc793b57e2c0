/* A test fixture: several routers in gateway mode that serve together.  */

#ifndef MQ_TESTS_ROUTER_FLEET_H
#define MQ_TESTS_ROUTER_FLEET_H

#include "gateway_fixture.h"

#include <algorithm>

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
    Store::Door *door = nullptr; /* Its way to the store.  */
  };

  /* Start one more router and wait until it is ready.  In DOMAIN those of the
     highest SPEED are the relays.  */
  Router &
  start_router (const std::string &domain = "one", unsigned speed = 1)
  {
    auto r = std::make_unique<Router> ();

    r->base = free_ports ();
    r->door = &store.add_door ();
    std::string text
        = settings_text (r->base, "vm-" + std::to_string (++names_),
                         "http://" + r->door->server.address (),
                         seed_.empty () ? "" : "\"" + seed_ + "\"");
    text.replace (text.find ("\"one\""), 5, "\"" + domain + "\"");
    text.insert (text.find ("\"region\""),
                 "\"processor_speed\":" + std::to_string (speed) + ",");
    r->gateway = run_router (&r->settings, text);
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

  /* Send PER_S requests a second for TARGET to the routers in turn, but to
     none that is stopped, until DONE is true, and wait for the answers, which
     are added to ANSWERS.  */
  void
  load (const std::string &target, double per_s,
        const std::function<bool ()> &done)
  {
    ev_tstamp begin = ev_time ();
    unsigned sent = 0;

    until ([&] {
      for (; sent < (ev_time () - begin) * per_s; sent++)
        {
          Router &r = *routers[sent % routers.size ()];

          if (r.gateway == nullptr)
            continue;
          answers.push_back (std::make_unique<Answer> ());
          start_request (*answers.back (), "GET", target, key, "", r.base);
        }
      return done ();
    });
    until ([&] {
      return std::all_of (answers.begin (), answers.end (),
                          [] (auto &a) { return a->ended; });
    });
  }

  size_t
  count_answers (unsigned status) const
  {
    return (size_t)std::count_if (
        answers.begin (), answers.end (),
        [=] (auto &a) { return a->status == status; });
  }

  std::vector<std::unique_ptr<Router> > routers;
  std::vector<std::unique_ptr<Answer> > answers; /* To load.  */

private:
  std::string seed_; /* Address of the router that started last.  */
  unsigned names_ = 0;
};

} // namespace gateway

#endif
