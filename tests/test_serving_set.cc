/* Which routers clients are sent to, and how evenly.  */

#include <mq/serving_set.h>

#include <mq/str.h>

#include <gtest/gtest.h>

#include <vector>

namespace
{

/* Returns the share of the traffic that each of CAPACITIES gets when clients
   choose evenly among the addresses of a reply.  */
std::vector<double>
traffic_shares (const std::vector<unsigned> &capacities)
{
  size_t n = capacities.size ();
  std::vector<double> share (n);
  bool chosen[64];
  constexpr unsigned replies = 20000;

  for (unsigned k = 0; k < replies; k++)
    {
      size_t n_chosen
          = mq_serving_sample (capacities.data (), n, 64,
                               mq_hash_mix (k, 0x9e3779b97f4a7c15ULL), chosen);

      for (size_t i = 0; i < n; i++)
        share[i] += chosen[i] ? 1. / (double)n_chosen / replies : 0;
    }
  return share;
}

} // namespace

TEST (ServingSet, SmallDomainServesAsAWhole)
{
  unsigned c[] = { 250, 250 };

  EXPECT_EQ (mq_serving_count (c, 2, 2, 0), 2u);
  EXPECT_EQ (mq_serving_count (c, 0, 0, 0), 0u);
}

TEST (ServingSet, MinimumServesWhenDemandIsLow)
{
  std::vector<unsigned> c (58, 120);

  EXPECT_EQ (mq_serving_count (c.data (), c.size (), c.size (), 100),
             (size_t)MQ_SERVING_MIN_ROUTERS);
}

TEST (ServingSet, SetHasReserveForABurst)
{
  std::vector<unsigned> c (58, 120);

  /* 0.6 processors are three tenths of 2, which 17 routers of 0.12 have.  */
  EXPECT_EQ (mq_serving_count (c.data (), c.size (), c.size (), 600), 17u);
  EXPECT_EQ (mq_serving_count (c.data (), c.size (), c.size (), 1e9), 58u);
}

TEST (ServingSet, TrafficIsProportionalToCapacity)
{
  for (const std::vector<unsigned> &c :
       std::vector<std::vector<unsigned> >{ { 500, 500, 500, 120, 120, 120 },
                                            { 500, 500, 120, 120, 120, 120 },
                                            std::vector<unsigned> (20, 120) })
    {
      double sum = 0;
      std::vector<double> share = traffic_shares (c);

      for (unsigned x : c)
        sum += x;
      for (size_t i = 0; i < c.size (); i++)
        EXPECT_NEAR (share[i], c[i] / sum, 0.03) << i << " of " << c.size ();
    }
}

TEST (ServingSet, ReplyNamesSeveralRouters)
{
  std::vector<unsigned> c = { 500, 500, 500, 120, 120, 120 };
  bool chosen[6];

  for (uint64_t k = 0; k < 100; k++)
    EXPECT_GE (
        mq_serving_sample (c.data (), 6, 64, mq_hash_mix (k, 1), chosen), 3u);
  EXPECT_EQ (mq_serving_sample (c.data (), 6, 2, 7, chosen), 2u);
  EXPECT_EQ (mq_serving_sample (c.data (), 0, 64, 7, chosen), 0u);
}

TEST (ServingSet, DemandDecaysSlowly)
{
  mq_serving_demand demand = { 0, 0 };

  mq_serving_demand_update (&demand, 800, 1000000);
  mq_serving_demand_update (&demand, 0, 3000000);
  EXPECT_GT (demand.used, 600);
  mq_serving_demand_update (&demand, 0, 33000000);
  EXPECT_LT (demand.used, 150);
  mq_serving_demand_update (&demand, 900, 33100000);
  EXPECT_EQ (demand.used, 900);
}

/* The routers after the preferred ones are those that serve through others. */
TEST (ServingSet, TakesOthersOnlyForDemandBeyondPreferred)
{
  std::vector<unsigned> c (8, 100);

  EXPECT_EQ (mq_serving_count (c.data (), 8, 2, 0), 2u);
  EXPECT_EQ (mq_serving_count (c.data (), 8, 2, 60), 2u);
  EXPECT_EQ (mq_serving_count (c.data (), 8, 2, 100), 4u);
  EXPECT_EQ (mq_serving_count (c.data (), 8, 8, 0),
             (size_t)MQ_SERVING_MIN_ROUTERS);
}
