/* Herding of many routers that choose paths by stale counts of load, simulated
   in virtual time.  When stale counts are treated as fresh, nearly all routers
   choose the same path.  The load uses 0.7 of the memory of all paths.  */

#include <mq/domain_load.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <queue>
#include <random>

namespace
{

constexpr unsigned routers = 90;
constexpr unsigned paths = 10;
constexpr double path_tokens = 120000;
constexpr double request_tokens = 880;
constexpr double requests_per_s = 300;
constexpr double mean_duration_s = 3.2;
constexpr double report_interval_s = 1.25;
constexpr double duration_s = 30;
constexpr double warm_up_s = 8;

using Counts = std::array<double, paths>;

struct Result
{
  double error = 0;   /* Of the token counts, as a share of the capacity: the
                           95th percentile.  */
  double refused = 0; /* Share of requests that met full memory.  */
};

class Simulation
{
public:
  explicit Simulation (double age_ms) : age_ms_ (age_ms) {}

  Result
  run ()
  {
    for (double t = 0; t < duration_s;)
      {
        double next = t
                      + std::exponential_distribution<double> (
                          requests_per_s) (random_);

        report (t, next);
        t = next;
        end_until (t);
        arrive (t);
      }
    std::sort (errors_.begin (), errors_.end ());
    return { errors_[errors_.size () * 95 / 100], refused_ / arrived_ };
  }

private:
  struct End
  {
    double at;
    unsigned router, path;
    bool
    operator> (const End &other) const
    {
      return at > other.at;
    }
  };

  /* Have the routers report their tokens in flight, each in its own phase.  */
  void
  report (double from, double to)
  {
    for (unsigned r = 0; r < routers; r++)
      {
        double phase = report_interval_s * r / routers;

        if (std::floor ((to - phase) / report_interval_s)
            > std::floor ((from - phase) / report_interval_s))
          reported_[r] = own_[r];
      }
  }

  void
  end_until (double now)
  {
    while (!ends_.empty () && ends_.top ().at <= now)
      {
        own_[ends_.top ().router][ends_.top ().path] -= request_tokens;
        ends_.pop ();
      }
  }

  double
  actual_tokens (unsigned path) const
  {
    double sum = 0;

    for (const Counts &c : own_)
      sum += c[path];
    return sum;
  }

  void
  arrive (double now)
  {
    unsigned r = (unsigned)(random_ () % routers);
    std::array<mq_domain_choice, paths> choices;
    mq_domain_request request
        = { request_tokens, MQ_DOMAIN_NEW, 500, age_ms_, random_ (), 0 };

    for (unsigned w = 0; w < paths; w++)
      {
        double used = own_[r][w];

        for (unsigned o = 0; o < routers; o++)
          used += o == r ? 0 : reported_[o][w];
        choices[w]
            = { MQ_SPAN ("d"), path_tokens, used, 10, false, false, 0, 0 };
        if (now > warm_up_s)
          errors_.push_back (std::abs (used - actual_tokens (w))
                             / path_tokens);
      }
    int chosen = mq_domain_choose (choices.data (), paths, &request);
    arrived_ += now > warm_up_s;
    if (chosen < 0
        || actual_tokens ((unsigned)chosen) + request_tokens > path_tokens)
      {
        refused_ += now > warm_up_s;
        return;
      }
    own_[r][(unsigned)chosen] += request_tokens;
    ends_.push ({ now
                      + std::uniform_real_distribution<double> (
                          0, 2 * mean_duration_s) (random_),
                  r, (unsigned)chosen });
  }

  double age_ms_;
  std::mt19937_64 random_{ 7 };
  std::array<Counts, routers> own_{}, reported_{};
  std::priority_queue<End, std::vector<End>, std::greater<End> > ends_;
  std::vector<double> errors_;
  double arrived_ = 0, refused_ = 0;
};

} // namespace

TEST (Herding, StaleCountsDoNotCauseHerding)
{
  Result as_fresh = Simulation (250).run ();
  Result as_stale = Simulation (report_interval_s * 1000).run ();

  printf ("treated as fresh: error %.2f, refused %.3f; as stale as they are: "
          "error %.2f, refused %.3f\n",
          as_fresh.error, as_fresh.refused, as_stale.error, as_stale.refused);
  EXPECT_GT (as_fresh.error, 0.3);
  EXPECT_GT (as_fresh.refused, 0.05);
  EXPECT_LT (as_stale.error, 0.15);
  EXPECT_EQ (as_stale.refused, 0);
}
