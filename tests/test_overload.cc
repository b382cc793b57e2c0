/* Load at its worst, in virtual time: requests of 1,000 tokens that hold
   their memory for 4 s on the average, of which 300 fit, that is 75 a second.
   Refused clients come back once.  A request in time counts 1, a late one a
   quarter, and one that is refused twice costs 0.3, as for the users.

   The loads: a burst of three times 56 a second for 5 s (own day x-burst on
   halvorsen-fleet), and 100 a second for a minute (tekle-entries trouble-2,
   where engines are lost for long).  Arrivals and times are drawn from fixed
   seeds.  */

#include <mq/domain_load.h>

#include <gtest/gtest.h>

#include <functional>
#include <queue>
#include <random>

namespace
{

struct Load
{
  double base;
  double burst; /* Times the base from 5 to 10 s.  */
};

struct Policy
{
  mq_domain_rank returned; /* The rank of those who come back.  */
  std::function<unsigned (uint64_t draw)> return_ms;
};

struct Result
{
  double value = 0; /* A request.  */
  double lost = 0;  /* Of all.  */
};

constexpr double room = 300 * 1000 / 0.92; /* So that 300 new ones fit.  */

Result
replay (const Load &load, const Policy &policy, unsigned seed)
{
  using Arrival = std::pair<double, bool>;
  std::priority_queue<Arrival, std::vector<Arrival>, std::greater<Arrival> >
      arrivals;
  std::priority_queue<double, std::vector<double>, std::greater<double> > ends;
  std::mt19937_64 random (seed);
  std::uniform_real_distribution<double> hold (0.8, 7.2);
  double n = 0, value = 0, lost = 0;

  for (double t = 0; t < 60; n++)
    {
      double rate = load.base * (t >= 5 && t < 10 ? load.burst : 1);

      t += std::exponential_distribution<double> (rate) (random);
      arrivals.push ({ t, false });
    }
  while (!arrivals.empty ())
    {
      auto [now, returned] = arrivals.top ();
      mq_domain_choice way = { MQ_SPAN ("d"), room, 0, 10, false, true, 0, 0 };
      mq_domain_request request
          = { 1000, returned ? policy.returned : MQ_DOMAIN_NEW, 500, 250, 1 };

      arrivals.pop ();
      while (!ends.empty () && ends.top () <= now)
        ends.pop ();
      way.used = (double)ends.size () * 1000;
      if (mq_domain_choose (&way, 1, &request) >= 0)
        {
          ends.push (now + hold (random));
          value += returned ? 0.25 : 1;
        }
      else if (returned)
        {
          lost++;
          value -= 0.3;
        }
      else
        arrivals.push ({ now + policy.return_ms (random ()) / 1000.0, true });
    }
  return { value / n, lost / n };
}

Result
mean (const Load &load, const Policy &policy)
{
  Result sum;

  for (unsigned seed = 1; seed <= 8; seed++)
    {
      Result r = replay (load, policy, seed);

      sum.value += r.value / 8;
      sum.lost += r.lost / 8;
    }
  return sum;
}

const Policy ours = { MQ_DOMAIN_RETRY, [] (uint64_t draw) {
                       return mq_domain_retry_after_ms (20000, draw);
                     } };
/* What came before: a short wait, and no difference between the two.  */
const Policy hurried = { MQ_DOMAIN_NEW, [] (uint64_t draw) {
                          return (unsigned)(500 + draw % 500);
                        } };

} // namespace

TEST (Overload, ABurstLosesFewerWhenReturnsComeLate)
{
  Load burst = { 56, 3 };
  Result now = mean (burst, ours), before = mean (burst, hurried);

  EXPECT_GT (now.value, before.value + 0.02);
  EXPECT_LT (now.lost, before.lost * 0.9);
}

TEST (Overload, InLastingOverloadNewRequestsKeepTheirPlaces)
{
  Load lasting = { 100, 1 };
  Result now = mean (lasting, ours), before = mean (lasting, hurried);

  EXPECT_GT (now.value, before.value + 0.08);
  EXPECT_LT (now.lost, before.lost * 1.05);
}

TEST (Overload, BelowWhatFitsNothingIsLost)
{
  Result now = mean ({ 45, 1 }, ours);

  EXPECT_EQ (now.lost, 0);
  EXPECT_GT (now.value, 0.99);
}
