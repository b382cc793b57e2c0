/* Upstreams that name, in their responses, the number of requests a second
   that they accept from all routers together.  Every kind of request to such
   an upstream counts, at any router.  */

#include "support/router_fleet.h"

#include <algorithm>

using gateway::Answer;
using gateway::key;
using gateway::Upstream;

namespace
{

constexpr double limit_per_s = 4;
/* The rule: in any window an upstream gets at most this many times what its
   limit allows, and a few more.  */
constexpr double window_s = 4;
constexpr double excess_factor = 1.5;
constexpr double excess_requests = 5;
/* From the first response that names the limit until it binds.  */
constexpr double propagation_s = 1;
constexpr double load_per_s = 60;

class UpstreamLimit : public gateway::RouterFleet
{
protected:
  static constexpr double max_arrivals
      = excess_factor * limit_per_s * window_s + excess_requests;

  UpstreamLimit () { sends_window_ms = 10000; }

  void
  start_routers (unsigned n, const std::string &target = "/safe/1")
  {
    RouterFleet::start_routers (n);
    /* Routers learn one another's shares of the requests.  */
    load (target, sends_window_ms / 4000.);
    EXPECT_EQ (count_answers (200), answers.size ());
    answers.clear ();
  }

  static void
  name_limit (Upstream &u)
  {
    u.notices = { { "Server-Limit", std::to_string (limit_per_s) } };
  }

  /* Send requests for TARGET for SECONDS.  */
  void
  load (const std::string &target, double seconds)
  {
    ev_tstamp end = ev_time () + seconds;

    RouterFleet::load (target, load_per_s, [&] { return ev_time () >= end; });
  }

  /* The largest number of arrivals at U in a window that begins after FROM. */
  static size_t
  busiest_window (const Upstream &u, ev_tstamp from)
  {
    size_t max = 0;

    for (size_t i = 0; i < u.arrivals.size (); i++)
      {
        size_t n = 0;

        if (u.arrivals[i] < from)
          continue;
        while (i + n < u.arrivals.size ()
               && u.arrivals[i + n] <= u.arrivals[i] + window_s)
          n++;
        max = std::max (max, n);
      }
    return max;
  }

  /* Load the routers until the limit of U, which its responses name from now
     on, has been in force for a window.  */
  size_t
  busiest_window_under_load (Upstream &u, const std::string &target)
  {
    name_limit (u);
    ev_tstamp named = ev_time ();
    load (target, propagation_s + window_s + 0.5);
    return busiest_window (u, named + propagation_s);
  }
};

} // namespace

TEST_F (UpstreamLimit, BoundsAllRoutersTogether)
{
  Upstream &limited = add ("app-a", "app");
  add ("app-b", "app", "two");
  start_routers (3);
  EXPECT_LE (busiest_window_under_load (limited, "/unsafe/1"), max_arrivals);
  EXPECT_EQ (count_answers (200), answers.size ());
}

/* The other instance rejects everything, so that each request is retried at
   the limited one.  */
TEST_F (UpstreamLimit, BoundsRetries)
{
  Upstream &limited = add ("app-a", "app");
  Upstream &other = add ("app-b", "app", "two");
  start_routers (3);
  other.serve = [&] (mq_http_exchange *x) { other.refuse (x); };
  EXPECT_LE (busiest_window_under_load (limited, "/safe/1"), max_arrivals);
}

TEST_F (UpstreamLimit, BoundsHeadOfPath)
{
  unsigned n = 0;

  for (const char *domain : { "one", "two" })
    for (unsigned first : { 0u, 40u })
      {
        Upstream &u
            = add ("eng-" + std::to_string (++n), "model", domain, "half");

        u.first = first;
        u.end = first + 40;
        u.serve = [&u] (mq_http_exchange *x) {
          u.begin (x);
          Upstream::events (x, 1, 3);
          mq_http_exchange_end (x);
        };
        write_entry (u);
      }
  start_routers (3, "/stream/1");
  EXPECT_LE (busiest_window_under_load (*upstreams[0], "/stream/1"),
             max_arrivals);
  EXPECT_EQ (count_answers (200), answers.size ());
}

/* Streams of the limited head stall, so that routers request its report.  */
TEST_F (UpstreamLimit, BoundsReportRequests)
{
  Upstream &head = add ("eng-1", "model", "one", "big");

  head.end = 80;
  head.serve = [&head] (mq_http_exchange *x) {
    head.begin (x);
    Upstream::events (x, 1, 3);
    mq_http_exchange_end (x);
  };
  write_entry (head);
  start_routers (3, "/stream/1");
  head.serve = [&head] (mq_http_exchange *x) {
    head.begin (x);
    Upstream::events (x, 1, 1);
  };
  EXPECT_LE (busiest_window_under_load (head, "/stream/1"), max_arrivals);
}

/* A router that starts again learns the limit from the others.  */
TEST_F (UpstreamLimit, BindsRouterAfterRestart)
{
  Upstream &limited = add ("app-a", "app");
  add ("app-b", "app", "two");
  start_routers (2);
  name_limit (limited);
  load ("/unsafe/1", propagation_s);
  stop_router (*routers[0]);
  start_router ();
  load ("/unsafe/1", 0.5);
  ev_tstamp restarted = ev_time ();
  load ("/unsafe/1", window_s + 0.5);
  EXPECT_LE (busiest_window (limited, restarted), max_arrivals);
}

/* What no upstream accepts is refused at once, with a time to come back.  */
TEST_F (UpstreamLimit, RefusesAtOnceWhatExceedsIt)
{
  Upstream &limited = add ("app-a", "app");
  start_routers (1);
  EXPECT_LE (busiest_window_under_load (limited, "/unsafe/1"), max_arrivals);
  ev_tstamp sent = ev_time ();
  Answer refused;

  for (int i = 0; i < 20 && refused.status != 503; i++)
    refused = fetch ("GET", "/unsafe/1", key, "", routers[0]->base);
  EXPECT_EQ (refused.status, 503u);
  EXPECT_NE (refused.retry_after, "");
  EXPECT_LT (ev_time () - sent, 1);
}

TEST_F (UpstreamLimit, EndsWithResponsesThatNameNone)
{
  Upstream &limited = add ("app-a", "app");
  start_routers (2);
  name_limit (limited);
  load ("/unsafe/1", propagation_s);
  limited.notices.clear ();
  load ("/unsafe/1", 2);
  answers.clear ();
  load ("/unsafe/1", 1);
  EXPECT_EQ (count_answers (200), answers.size ());
}
