/* Upstreams that reject a request and name a time in which they accept nothing
   from that router.  */

#include "support/router_fleet.h"

#include <algorithm>

using gateway::Answer;
using gateway::key;
using gateway::Upstream;

namespace
{

constexpr double rest_s = 2;
/* What was sent before the rejection arrived may still arrive.  */
constexpr double grace_s = 0.5;
/* The rule: from then on at most so many requests arrive during the rest.  */
constexpr size_t max_arrivals = 2;
constexpr double load_per_s = 40;

class UpstreamRest : public gateway::RouterFleet
{
protected:
  /* Let U reject requests and ask for rest.  */
  void
  ask_for_rest (Upstream &u)
  {
    u.notices = { { "Retry-After", std::to_string (rest_s) } };
    u.serve = [this, &u] (mq_http_exchange *x) {
      if (rejected_s == 0)
        rejected_s = ev_time ();
      u.refuse (x);
    };
  }

  /* Send load_per_s requests for TARGET to the routers in turn, from the first
     request on until the first rest of an upstream is over.  */
  void
  load_during_rest (const std::string &target)
  {
    load (target, load_per_s,
          [&] { return rejected_s > 0 && ev_time () >= rejected_s + rest_s; });
  }

  /* Arrivals at U during its rest, after the grace period.  */
  size_t
  arrivals_during_rest (const Upstream &u) const
  {
    return (size_t)std::count_if (
        u.arrivals.begin (), u.arrivals.end (), [&] (ev_tstamp at) {
          return at > rejected_s + grace_s && at < rejected_s + rest_s;
        });
  }

  ev_tstamp rejected_s = 0; /* When the first request was rejected.  */
};

} // namespace

TEST_F (UpstreamRest, InstanceGetsNothingMore)
{
  Upstream &resting = add ("app-a", "app");
  add ("app-b", "app", "two");
  start_routers (1);
  ask_for_rest (resting);
  load_during_rest ("/unsafe/1");
  EXPECT_LE (arrivals_during_rest (resting), max_arrivals);
}

TEST_F (UpstreamRest, HeadOfPathGetsNothingMore)
{
  Upstream &resting = add_engine ("eng-1", "one");
  add_engine ("eng-2", "two");
  start_routers (1);
  ask_for_rest (resting);
  load_during_rest ("/stream/1");
  EXPECT_LE (arrivals_during_rest (resting), max_arrivals);
  EXPECT_EQ (count_answers (200), answers.size ());
}

/* The other instance rejects without asking for rest, so that each request is
   tried at the resting one.  */
TEST_F (UpstreamRest, RetriesDoNotReachIt)
{
  Upstream &resting = add ("app-a", "app");
  Upstream &other = add ("app-b", "app", "two");
  start_routers (1);
  ask_for_rest (resting);
  other.serve = [&] (mq_http_exchange *x) { other.refuse (x); };
  load_during_rest ("/safe/1");
  EXPECT_LE (arrivals_during_rest (resting), max_arrivals);
}

/* Streams that it runs stall, so that the router requests its report.  */
TEST_F (UpstreamRest, ReportRequestsDoNotReachIt)
{
  Upstream &resting = add_engine ("eng-1", "one");
  Answer stalled;

  start_routers (1);
  resting.serve = [&] (mq_http_exchange *x) {
    resting.begin (x);
    Upstream::events (x, 1, 1);
  };
  start_request (stalled, "GET", "/stream/1", key, "", routers[0]->base);
  ASSERT_TRUE (until ([&] { return !stalled.body.empty (); }));
  ask_for_rest (resting);
  load_during_rest ("/stream/1");
  EXPECT_LE (arrivals_during_rest (resting), max_arrivals);
  EXPECT_TRUE (until ([&] { return stalled.ended; }));
}

/* The router's plan needs the layers that the engine has lost.  */
TEST_F (UpstreamRest, OrdersDoNotReachIt)
{
  Upstream &resting = add_engine ("eng-1", "one");

  start_routers (1);
  ask_for_rest (resting);
  EXPECT_EQ (fetch ("GET", "/stream/1", key, "", routers[0]->base).status,
             503u);
  resting.end = 0;
  write_entry (resting);
  wait (rest_s - 0.2);
  EXPECT_LE (arrivals_during_rest (resting), max_arrivals);
  EXPECT_EQ (resting.orders, 0u);
  EXPECT_TRUE (until ([&] { return resting.orders > 0; }));
}

/* The engine rejects the order itself.  */
TEST_F (UpstreamRest, RejectionOfOrderAsksForIt)
{
  Upstream &resting = add ("eng-1", "model", "one", "big");

  resting.notices = { { "Retry-After", std::to_string (rest_s) } };
  resting.order_status = 503;
  start_routers (1);
  ASSERT_TRUE (until ([&] { return !resting.arrivals.empty (); }));
  rejected_s = resting.arrivals[0];
  wait (rest_s);
  EXPECT_LE (arrivals_during_rest (resting), max_arrivals);
  resting.order_status = 202;
  EXPECT_TRUE (until ([&] { return resting.orders > 0; }));
}

/* What no upstream accepts is refused at once, with a time to come back.  */
TEST_F (UpstreamRest, RefusesAtOnceWhileAllRest)
{
  Upstream &resting = add ("app-a", "app");
  start_routers (1);
  ask_for_rest (resting);
  load_during_rest ("/unsafe/1");
  EXPECT_LE (arrivals_during_rest (resting), max_arrivals);
  EXPECT_EQ (count_answers (503), answers.size ());
  for (auto &a : answers)
    EXPECT_NE (a->retry_after, "");
}

/* Each router is asked by itself, and uses the upstream again afterwards.  */
TEST_F (UpstreamRest, EndsAfterItsTimeAtEachRouter)
{
  Upstream &resting = add ("app-a", "app");
  add ("app-b", "app", "two");
  start_routers (2);
  ask_for_rest (resting);
  load_during_rest ("/unsafe/1");
  resting.notices.clear ();
  resting.serve = [&] (mq_http_exchange *x) { resting.answer (x); };
  wait (rest_s);
  size_t before = resting.arrivals.size ();
  for (int i = 0; i < 20; i++)
    fetch ("GET", "/unsafe/1", key, "", routers[i % 2]->base);
  EXPECT_GT (resting.arrivals.size (), before);
}
