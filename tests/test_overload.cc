/* Overload, simulated in virtual time.  Requests of 1,000 tokens duration_s
   their memory for 4 s on the average.  300 of them fit, so the capacity is 75
   a second.  Rejected clients retry once.  The value of a request is 1 in
   time, a quarter when it is late, and -0.3 when it is rejected twice.

   The loads are a burst of three times 56 requests a second for 5 s, and 100 a
   second for a minute.  Arrivals and durations come from fixed seeds.  */

#include <mq/domain_load.h>

#include <gtest/gtest.h>

#include <functional>
#include <queue>
#include <random>

namespace
{

struct Load
{
  double base;  /* Requests per second.  */
  double burst; /* Factor on the base from 5 to 10 s.  */
};

struct Policy
{
  mq_domain_rank retry_rank;
  std::function<unsigned (uint64_t random)> retry_after_ms;
};

struct Result
{
  double value = 0; /* Mean per request.  */
  double lost = 0;  /* Share of requests that are rejected twice.  */
};

constexpr double capacity_tokens
    = 300 * 1000 / 0.92; /* 300 new requests fit.  */

Result
replay (const Load &load, const Policy &policy, unsigned seed)
{
  using Arrival = std::pair<double, bool>;
  std::priority_queue<Arrival, std::vector<Arrival>, std::greater<Arrival> >
      arrivals;
  std::priority_queue<double, std::vector<double>, std::greater<double> > ends;
  std::mt19937_64 random (seed);
  std::uniform_real_distribution<double> duration_s (0.8, 7.2);
  double n = 0, value = 0, lost = 0;

  for (double t = 0; t < 60; n++)
    {
      double rate = load.base * (t >= 5 && t < 10 ? load.burst : 1);

      t += std::exponential_distribution<double> (rate) (random);
      arrivals.push ({ t, false });
    }
  while (!arrivals.empty ())
    {
      auto [now, is_retry] = arrivals.top ();
      mq_domain_choice path
          = { MQ_SPAN ("d"), capacity_tokens, 0, 10, false, true, 0, 0 };
      mq_domain_request request
          = { 1000, is_retry ? policy.retry_rank : MQ_DOMAIN_NEW, 500, 250, 1,
              0 };

      arrivals.pop ();
      while (!ends.empty () && ends.top () <= now)
        ends.pop ();
      path.used = (double)ends.size () * 1000;
      if (mq_domain_choose (&path, 1, &request) >= 0)
        {
          ends.push (now + duration_s (random));
          value += is_retry ? 0.25 : 1;
        }
      else if (is_retry)
        {
          lost++;
          value -= 0.3;
        }
      else
        arrivals.push (
            { now + policy.retry_after_ms (random ()) / 1000.0, true });
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

const Policy late_retries = { MQ_DOMAIN_RETRY, [] (uint64_t random) {
                               return mq_domain_retry_after_ms (20000, random);
                             } };
/* A short Retry-After, and the same rank for retries and new requests.  */
const Policy early_retries = { MQ_DOMAIN_NEW, [] (uint64_t random) {
                                return (unsigned)(500 + random % 500);
                              } };

} // namespace

TEST (Overload, LateRetriesLoseFewerRequestsInBurst)
{
  Load burst = { 56, 3 };
  Result late = mean (burst, late_retries),
         early = mean (burst, early_retries);

  EXPECT_GT (late.value, early.value + 0.02);
  EXPECT_LT (late.lost, early.lost * 0.9);
}

TEST (Overload, NewRequestsAreServedInLastingOverload)
{
  Load lasting = { 100, 1 };
  Result late = mean (lasting, late_retries),
         early = mean (lasting, early_retries);

  EXPECT_GT (late.value, early.value + 0.08);
  EXPECT_LT (late.lost, early.lost * 1.05);
}

TEST (Overload, LosesNothingBelowCapacity)
{
  Result late = mean ({ 45, 1 }, late_retries);

  EXPECT_EQ (late.lost, 0);
  EXPECT_GT (late.value, 0.99);
}
