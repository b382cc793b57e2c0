/* A test fixture: routers, of which two follow the upstreams in the store, and
   an upstream that leaves under load while routers lose their way to the store
   or to one another.  Judged by what the upstreams see.  */

#ifndef MQ_TESTS_DRAINING_FLEET_H
#define MQ_TESTS_DRAINING_FLEET_H

#include "router_fleet.h"

#include <algorithm>

namespace gateway
{

class DrainingFleet : public RouterFleet
{
protected:
  /* Nothing reaches an upstream later than this after the store has
     acknowledged that it drains.  */
  static constexpr double bound_s = 2;
  static constexpr double requests_per_s = 150;
  static constexpr double load_before_s = 0.5;

  /* Start two routers that follow the upstreams, in the domains "one" and
     "two", and two others in each of DOMAINS.  */
  void
  start_fleet (const std::vector<std::string> &domains)
  {
    store_followers = 2;
    configure (1);
    start_router ("one", 8);
    start_router ("two", 8);
    for (auto &d : domains)
      for (int i = 0; i < 2; i++)
        start_router (d);
    ASSERT_TRUE (until ([&] {
      return store.watchers ("servers", *routers[0]->door) == 1
             && store.watchers ("servers", *routers[1]->door) == 1
             && store.watchers ("servers") == 2;
    }));
    wait (0.5);
  }

  void
  add_instances ()
  {
    leaving = &add ("app-a", "app");
    Upstream &other = add ("app-b", "app");
    /* Some of its requests are sent again, elsewhere.  */
    other.serve = [this, &other] (mq_http_exchange *x) {
      if (++served_ % 3 == 0)
        other.refuse (x);
      else
        other.answer (x);
    };
  }

  /* Two chains, of which the engine that leaves is a part: the head if HEAD.
     Some streams break off and are resumed.  */
  void
  add_chains (bool head)
  {
    for (const char *domain : { "one", "two" })
      for (unsigned first : { 0u, 40u })
        {
          Upstream &u = add (std::string (domain) + std::to_string (first),
                             "model", domain, "half");

          u.first = first;
          u.end = first + 40;
          u.serve = [this, &u] (mq_http_exchange *x) {
            u.begin (x);
            Upstream::events (x, 1, 2);
            if (++served_ % 5 == 0)
              {
                mq_http_exchange_abort (x);
                return;
              }
            Upstream::events (x, 3, 3);
            mq_http_exchange_end (x);
          };
          write_entry (u);
          if (leaving == nullptr && (first == 0) == head)
            leaving = &u;
        }
  }

  /* The time of the last request that reached the leaving upstream, or another
     one with a path that names it.  */
  ev_tstamp
  last_use () const
  {
    std::string address = leaving->server.address ();
    ev_tstamp last = 0;

    for (auto &u : upstreams)
      for (auto &r : u->received_requests)
        {
          auto path = r.headers.find ("Marjoramquay-Hop-Count");

          if (u.get () == leaving
              || (path != r.headers.end ()
                  && path->second.find (address) != std::string::npos))
            last = std::max (last, r.at);
        }
    return last;
  }

  /* Under load for TARGET, let STRIKE happen and the upstream leave AFTER
     seconds later, and expect that nothing reaches it later than the bound. */
  void
  expect_drained (const std::string &target,
                  const std::function<void ()> &strike, double after)
  {
    ev_tstamp begin = ev_time (), struck = 0, drained = 0;

    load (target, requests_per_s, [&] {
      if (struck == 0 && ev_time () - begin >= load_before_s)
        {
          struck = ev_time ();
          strike ();
        }
      if (struck > 0 && drained == 0 && ev_time () - struck >= after)
        {
          drained = ev_time ();
          leave ();
        }
      return drained > 0 && ev_time () > drained + bound_s + 1;
    });
    EXPECT_GT (last_use (), begin);
    EXPECT_LE (last_use () - drained, bound_s);
  }

  void
  silence_followers ()
  {
    routers[0]->door->silent = routers[1]->door->silent = true;
  }

  Upstream *leaving = nullptr;
  /* Has the store say that it leaves.  */
  std::function<void ()> leave = [this] { write_entry (*leaving, true); };

private:
  unsigned served_ = 0;
};

} // namespace gateway

#endif
