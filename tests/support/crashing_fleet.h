/* A test fixture: a router fleet whose upstreams crash on some requests.  */

#ifndef MQ_TESTS_CRASHING_FLEET_H
#define MQ_TESTS_CRASHING_FLEET_H

#include "router_fleet.h"

#include <algorithm>
#include <deque>
#include <map>
#include <set>

namespace gateway
{

inline const std::string crash_body = "the request that ends engines";

/* Routers, and upstreams that crash on a request for which is_deadly is true;
   by default that is crash_body.  Each crashed upstream is replaced by a new
   one at another address.  */
class CrashingFleet : public RouterFleet
{
protected:
  /* Sends of the request that are allowed after its third crash.  */
  static constexpr unsigned max_further_arrivals = 3;
  /* Within this time all routers know of the third crash.  */
  static constexpr double propagation_s = 2.5;

  ~CrashingFleet () override
  {
    for (Delayed &l : delayed_)
      mq_http_exchange_unref (l.exchange);
  }

  /* Add an upstream of SERVICE in DOMAIN that crashes when it begins to run
     such a request.  */
  void
  add_crashing (const std::string &service, const std::string &domain)
  {
    Upstream &u = add (service + "-" + std::to_string (++names_), service,
                       domain, service == "model" ? "big" : "");

    if (service == "model")
      {
        u.end = 80;
        write_entry (u);
      }
    u.serve = [this, &u] (mq_http_exchange *x) {
      if (!is_deadly (x))
        {
          answer_later (u, x);
          return;
        }
      arrivals++;
      if (u.service == "model")
        u.begin (x);
      if (writes_event)
        write_next_event (x);
      /* What was written is to arrive before the crash.  */
      crashing_.insert ({ &u, ev_time () + (writes_event ? 0.05 : 0) });
    };
  }

  /* Write the event after which the client resumes the stream.  */
  static void
  write_next_event (mq_http_exchange *x)
  {
    std::string last = text (mq_http_exchange_header (x, "Last-Event-Id"));
    unsigned next = last.empty () ? 1 : (unsigned)std::stoul (last) + 1;

    Upstream::events (x, next, next);
  }

  /* Answer after delay_s, unless the upstream has crashed by then.  */
  void
  answer_later (Upstream &u, mq_http_exchange *x)
  {
    if (delay_s == 0)
      answer (u, x);
    else
      delayed_.push_back (
          { ev_time () + delay_s, &u, mq_http_exchange_ref (x) });
  }

  void
  answer_due ()
  {
    while (!delayed_.empty () && ev_time () >= delayed_.front ().at)
      {
        Delayed l = delayed_.front ();

        delayed_.pop_front ();
        if (crashed_.count (l.upstream) == 0)
          answer (*l.upstream, l.exchange);
        mq_http_exchange_unref (l.exchange);
      }
  }

  void
  answer (Upstream &u, mq_http_exchange *x)
  {
    if (u.service != "model")
      {
        u.answer (x);
        return;
      }
    u.begin (x);
    Upstream::events (x, 1, 3);
    mq_http_exchange_end (x);
  }

  /* Drop the delayed answers of U.  */
  void
  drop_delayed (const Upstream *u)
  {
    for (auto i = delayed_.begin (); i != delayed_.end ();)
      if (i->upstream == u)
        {
          mq_http_exchange_unref (i->exchange);
          i = delayed_.erase (i);
        }
      else
        ++i;
  }

  /* Crash the upstreams that run crash_body and add replacements.  The list
     drops a crashed upstream 0.3 s later.  */
  void
  process_crashes ()
  {
    answer_due ();
    for (auto &[u, due] : std::map<Upstream *, ev_tstamp> (crashing_))
      {
        if (ev_time () < due)
          continue;
        crashing_.erase (u);
        drop_delayed (u);
        u->server.close ();
        crashed_.insert (u);
        crashes++;
        add_crashing (u->service, u->domain);
        removals_.push_back ({ ev_time () + 0.3, u->id });
      }
    while (!removals_.empty () && ev_time () >= removals_.front ().first)
      {
        store.remove ("servers", removals_.front ().second);
        removals_.pop_front ();
      }
  }

  /* Send one request to ROUTER and wait for the answer.  */
  Answer
  attempt (Router &router, const std::string &method,
           const std::string &target, const std::string &body,
           const Headers &headers = key)
  {
    Answer a;

    start_request (a, method, target, headers, body, router.base);
    EXPECT_TRUE (until ([&] {
      process_crashes ();
      return a.ended;
    }));
    return a;
  }

  void
  wait_processing_crashes (double seconds)
  {
    ev_tstamp end = ev_time () + seconds;

    until ([&] {
      process_crashes ();
      return ev_time () >= end;
    });
  }

  /* Send crash_body to the routers in turn until it has crashed three
     upstreams.  */
  void
  crash_three (const std::string &target)
  {
    for (unsigned i = 0; i < 12 && crashes < 3; i++)
      {
        attempt (*routers[i % routers.size ()], "POST", target, crash_body);
        wait_processing_crashes (0.1);
      }
    ASSERT_GE (crashes, 3u);
    wait_processing_crashes (propagation_s);
  }

  /* Sends crash_body N more times.  Returns how often it reached upstreams. */
  unsigned
  further_arrivals (const std::string &target, unsigned n)
  {
    unsigned before = arrivals;

    for (unsigned i = 0; i < n; i++)
      {
        attempt (*routers[i % routers.size ()], "POST", target, crash_body);
        wait_processing_crashes (0.05);
      }
    return arrivals - before;
  }

  void
  set_up (const std::string &service)
  {
    for (const char *domain : { "one", "two", "three", "one" })
      add_crashing (service, domain);
    configure (1);
    start_router ();
    start_router ();
    wait (0.2);
  }

  /* After three crashes the request reaches few upstreams, and other requests
     of the same client are served.  */
  void
  expect_bounded (const std::string &service, const std::string &target)
  {
    set_up (service);
    crash_three (target);
    EXPECT_LE (further_arrivals (target, 10), max_further_arrivals);
    for (auto &r : routers)
      EXPECT_EQ (attempt (*r, "POST", target, "another body").status, 200u);
  }

  /* Returns true if a request crashes the upstream that runs it.  */
  std::function<bool (mq_http_exchange *)> is_deadly
      = [] (mq_http_exchange *x) {
          return text (mq_http_exchange_body (x)) == crash_body;
        };
  bool writes_event = false; /* Upstreams write an event before they crash.  */
  double delay_s = 0;        /* Delay of answers to other requests.  */
  unsigned arrivals = 0;     /* Of deadly requests at upstreams.  */
  unsigned crashes = 0;      /* Of upstreams.  */

private:
  struct Delayed
  {
    ev_tstamp at;
    Upstream *upstream;
    mq_http_exchange *exchange;
  };

  std::map<Upstream *, ev_tstamp> crashing_; /* Upstream -> when.  */
  std::set<Upstream *> crashed_;
  std::deque<Delayed> delayed_;
  std::deque<std::pair<ev_tstamp, std::string> > removals_;
  unsigned names_ = 0;
};

} // namespace gateway

#endif
