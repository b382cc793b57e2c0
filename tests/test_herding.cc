/* Many routers that choose by counts which are old, in virtual time: 90
   routers that hear each other every 1.25 s, 300 requests a second of 880
   tokens that last 3.2 s, and ten ways with memory for 120,000 tokens each, of
   which 0.7 are used on the average: the calm day of a large deployment.  With
   counts that are taken for fresh the freest way is as good as certain.  */

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
constexpr unsigned ways = 10;
constexpr double room = 120000;
constexpr double need = 880;
constexpr double rate = 300;
constexpr double stay_s = 3.2;
constexpr double news_s = 1.25;
constexpr double run_s = 30;
constexpr double warm_s = 8;

using Counts = std::array<double, ways>;

struct Result
{
  double error = 0;   /* Of the tokens believed, in parts of the room: the 95th
                         percentile.  */
  double refused = 0; /* By ways whose memory was full, of all.  */
};

class Fleet
{
public:
  explicit Fleet (double age_ms) : age_ms_ (age_ms) {}

  Result
  run ()
  {
    for (double t = 0; t < run_s;)
      {
        double next
            = t + std::exponential_distribution<double> (rate) (random_);

        tell (t, next);
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
    unsigned router, way;
    bool
    operator> (const End &other) const
    {
      return at > other.at;
    }
  };

  /* Routers tell what they have in flight, each at its own moment.  */
  void
  tell (double from, double to)
  {
    for (unsigned r = 0; r < routers; r++)
      {
        double phase = news_s * r / routers;

        if (std::floor ((to - phase) / news_s)
            > std::floor ((from - phase) / news_s))
          told_[r] = own_[r];
      }
  }

  void
  end_until (double now)
  {
    while (!ends_.empty () && ends_.top ().at <= now)
      {
        own_[ends_.top ().router][ends_.top ().way] -= need;
        ends_.pop ();
      }
  }

  double
  real (unsigned way) const
  {
    double sum = 0;

    for (const Counts &c : own_)
      sum += c[way];
    return sum;
  }

  void
  arrive (double now)
  {
    unsigned r = (unsigned)(random_ () % routers);
    std::array<mq_domain_choice, ways> choices;
    mq_domain_request request
        = { need, MQ_DOMAIN_NEW, 500, age_ms_, random_ () };

    for (unsigned w = 0; w < ways; w++)
      {
        double used = own_[r][w];

        for (unsigned o = 0; o < routers; o++)
          used += o == r ? 0 : told_[o][w];
        choices[w] = { MQ_SPAN ("d"), room, used, 10, false, false, 0, 0 };
        if (now > warm_s)
          errors_.push_back (std::abs (used - real (w)) / room);
      }
    int chosen = mq_domain_choose (choices.data (), ways, &request);
    arrived_ += now > warm_s;
    if (chosen < 0 || real ((unsigned)chosen) + need > room)
      {
        refused_ += now > warm_s;
        return;
      }
    own_[r][(unsigned)chosen] += need;
    ends_.push ({ now
                      + std::uniform_real_distribution<double> (
                          0, 2 * stay_s) (random_),
                  r, (unsigned)chosen });
  }

  double age_ms_;
  std::mt19937_64 random_{ 7 };
  std::array<Counts, routers> own_{}, told_{};
  std::priority_queue<End, std::vector<End>, std::greater<End> > ends_;
  std::vector<double> errors_;
  double arrived_ = 0, refused_ = 0;
};

} // namespace

TEST (Herd, StaleCountsThatAreKnownToBeStaleDoNotHerd)
{
  Result before = Fleet (250).run ();
  Result now = Fleet (news_s * 1000).run ();

  printf ("taken for fresh: error %.2f, refused %.3f; as old as they are: "
          "error %.2f, refused %.3f\n",
          before.error, before.refused, now.error, now.refused);
  EXPECT_GT (before.error, 0.3);
  EXPECT_GT (before.refused, 0.05);
  EXPECT_LT (now.error, 0.15);
  EXPECT_EQ (now.refused, 0);
}
