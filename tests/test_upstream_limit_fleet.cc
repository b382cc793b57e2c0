/* Many routers that share the limit of an upstream, simulated in virtual time.
   They know one another's counts of requests half a second late.  In no window
   may the upstream receive more than the rule allows, however the requests are
   spread over the routers.  */

#include <mq/send_budget.h>
#include <mq/upstream_limit.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <random>
#include <vector>

namespace
{

constexpr double tick_s = 0.01;
constexpr double report_s = 0.25; /* Between two reports of counts.  */
constexpr unsigned reports_late = 2;
constexpr double budget_window_s = 10;
constexpr double limited_from_s = 12;
constexpr double checked_from_s = limited_from_s + 3;
constexpr double end_s = 45;
constexpr double window_s = 4;

uint64_t
us (double s)
{
  return (uint64_t)(s * 1e6);
}

struct Load
{
  unsigned routers;
  double limit_per_s;
  double requests_per_s;
  double burst = 1;        /* Factor on it from 20 to 30 s.  */
  bool restarts = false;   /* A third of the routers start again at 22 s.  */
  bool relays_die = false; /* From 24 to 25 s no counts of others arrive.  */
  bool uneven = false;     /* Few routers have most of the requests.  */
};

class Simulation
{
public:
  Simulation (const Load &load, unsigned seed) : load_ (load), random_ (seed)
  {
    routers_.resize (load.routers);
    for (size_t i = 0; i < routers_.size (); i++)
      {
        start (routers_[i], 0);
        weights_.push_back (load.uneven ? 1. / (double)(1 + i) : 1);
      }
  }

  void
  run ()
  {
    std::discrete_distribution<size_t> choose (weights_.begin (),
                                               weights_.end ());

    for (double now = 0; now < end_s; now += tick_s)
      {
        bool burst = now >= 20 && now < 30;
        std::poisson_distribution<unsigned> arrivals (
            load_.requests_per_s * tick_s * (burst ? load_.burst : 1));

        events (now);
        for (unsigned n = arrivals (random_); n > 0; n--)
          request (routers_[choose (random_)], now);
      }
  }

  size_t
  busiest_window () const
  {
    size_t max = 0;

    for (size_t i = 0, end = 0; i < sends_.size (); i++)
      {
        while (end < sends_.size () && sends_[end] <= sends_[i] + window_s)
          end++;
        max = std::max (max, end - i);
      }
    return max;
  }

  double
  sends_per_s () const
  {
    return (double)sends_.size () / (end_s - checked_from_s);
  }

private:
  struct Router
  {
    mq_send_budget budget;
    mq_upstream_limit limit;
    std::deque<unsigned> reported; /* Requests in the window, newest first.  */
  };

  void
  start (Router &r, double now)
  {
    mq_send_budget_init (&r.budget, 0.2, 100, us (budget_window_s), us (now));
    r.limit = {};
    if (now > limited_from_s)
      mq_upstream_limit_set (&r.limit, load_.limit_per_s, us (now), phase ());
  }

  double
  phase ()
  {
    return std::uniform_real_distribution<> (0, 1) (random_);
  }

  static bool
  passes (double now, double at)
  {
    return now < at && now + tick_s >= at;
  }

  void
  events (double now)
  {
    if (std::fmod (now, report_s) < tick_s)
      report (now);
    if (passes (now, limited_from_s))
      for (Router &r : routers_)
        mq_upstream_limit_set (&r.limit, load_.limit_per_s, us (now),
                               phase ());
    if (load_.restarts && passes (now, 22))
      for (size_t i = 0; i < routers_.size (); i += 3)
        start (routers_[i], now);
  }

  void
  report (double now)
  {
    totals_.push_front (0);
    for (Router &r : routers_)
      {
        r.reported.push_front (
            mq_send_budget_count (&r.budget, us (now)).requests);
        totals_.front () += r.reported.front ();
        if (r.reported.size () > reports_late + 1)
          r.reported.pop_back ();
      }
    if (totals_.size () > reports_late + 1)
      totals_.pop_back ();
  }

  unsigned
  others (const Router &r, double now) const
  {
    if ((load_.relays_die && now >= 24 && now < 25) || totals_.empty ())
      return 0;
    return totals_.back () - r.reported.back ();
  }

  void
  request (Router &r, double now)
  {
    mq_send_counts o = { others (r, now), 0, 0 };
    unsigned n = (unsigned)routers_.size ();
    double share;

    mq_send_budget_note_request (&r.budget, n, us (now));
    share = mq_send_budget_traffic_share (&r.budget, n, o, us (now));
    if (!mq_upstream_limit_allows (&r.limit, MQ_SEND_FOR_REQUEST, share,
                                   us (now)))
      return;
    mq_upstream_limit_note_send (&r.limit, MQ_SEND_FOR_REQUEST, share,
                                 us (now));
    if (now >= checked_from_s)
      sends_.push_back (now);
  }

  Load load_;
  std::mt19937 random_;
  std::vector<Router> routers_;
  std::vector<double> weights_;
  std::deque<unsigned> totals_; /* Of the reports, newest first.  */
  std::vector<double> sends_;
};

void
expect_kept (const Load &load)
{
  double allowed = 1.5 * window_s * load.limit_per_s + 5;

  for (unsigned seed = 1; seed <= 12; seed++)
    {
      Simulation s (load, seed);

      s.run ();
      EXPECT_LE (s.busiest_window (), allowed)
          << load.routers << " routers, limit " << load.limit_per_s
          << " a second, " << load.requests_per_s
          << " requests a second, seed " << seed;
    }
}

} // namespace

TEST (UpstreamLimitFleet, KeepsLimitAtAnySize)
{
  for (unsigned routers : { 1u, 6u, 86u, 300u })
    for (double limit : { 0.5, 2., 3.5, 10., 50. })
      for (double excess : { 0.8, 3., 20. })
        expect_kept ({ routers, limit, limit * excess });
}

TEST (UpstreamLimitFleet, KeepsLimitWhenLoadJumps)
{
  for (unsigned routers : { 1u, 6u, 86u, 300u })
    for (double limit : { 2., 3.5, 10. })
      {
        Load load = { routers, limit, limit * 0.9 };

        load.burst = 8;
        expect_kept (load);
        load.uneven = true;
        expect_kept (load);
      }
}

TEST (UpstreamLimitFleet, KeepsLimitWhileRoutersRestart)
{
  for (unsigned routers : { 6u, 86u, 300u })
    for (double limit : { 2., 10. })
      {
        Load load = { routers, limit, limit * 10 };

        load.restarts = true;
        expect_kept (load);
      }
}

/* While relays are replaced, other routers seem to have no requests.  */
TEST (UpstreamLimitFleet, KeepsLimitWhileRelaysAreReplaced)
{
  for (unsigned routers : { 6u, 86u, 300u })
    for (double limit : { 2., 10. })
      {
        Load load = { routers, limit, limit * 10 };

        load.relays_die = true;
        expect_kept (load);
      }
}

TEST (UpstreamLimitFleet, UsesHalfOfLimit)
{
  for (unsigned routers : { 1u, 6u, 86u })
    {
      Simulation s ({ routers, 10, 200 }, 1);

      s.run ();
      EXPECT_GT (s.sends_per_s (), 5) << routers;
    }
}
