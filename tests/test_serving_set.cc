/* Which routers clients are sent to, and how evenly.  */

#include <mq/serving_set.h>

#include <mq/str.h>

#include <gtest/gtest.h>

#include <vector>

namespace
{

/* Parts of the traffic that each of CAPACITIES gets when clients choose evenly
   among the addresses of an answer.  */
std::vector<double>
parts (const std::vector<unsigned> &capacities)
{
  size_t n = capacities.size ();
  std::vector<double> part (n);
  bool chosen[64];
  constexpr unsigned answers = 20000;

  for (unsigned k = 0; k < answers; k++)
    {
      size_t named
          = mq_serving_sample (capacities.data (), n, 64,
                               mq_hash_mix (k, 0x9e3779b97f4a7c15ULL), chosen);

      for (size_t i = 0; i < n; i++)
        part[i] += chosen[i] ? 1. / (double)named / answers : 0;
    }
  return part;
}

} // namespace

TEST (ServingSet, ASmallDomainServesWhole)
{
  unsigned c[] = { 250, 250 };

  EXPECT_EQ (mq_serving_count (c, 2, 0), 2u);
  EXPECT_EQ (mq_serving_count (c, 0, 0), 0u);
}

TEST (ServingSet, AFewServeWhereThereIsLittleToDo)
{
  std::vector<unsigned> c (58, 120);

  EXPECT_EQ (mq_serving_count (c.data (), c.size (), 100),
             (size_t)MQ_SERVING_MIN_ROUTERS);
}

TEST (ServingSet, AsManyServeAsCarryABurst)
{
  std::vector<unsigned> c (58, 120);

  /* 0.6 of a processor is three tenths of 2, which 17 of 0.12 have.  */
  EXPECT_EQ (mq_serving_count (c.data (), c.size (), 600), 17u);
  EXPECT_EQ (mq_serving_count (c.data (), c.size (), 1e9), 58u);
}

TEST (ServingSet, TrafficGoesByCapacity)
{
  for (const std::vector<unsigned> &c :
       std::vector<std::vector<unsigned> >{ { 500, 500, 500, 120, 120, 120 },
                                            { 500, 500, 120, 120, 120, 120 },
                                            std::vector<unsigned> (20, 120) })
    {
      double sum = 0;
      std::vector<double> part = parts (c);

      for (unsigned x : c)
        sum += x;
      for (size_t i = 0; i < c.size (); i++)
        EXPECT_NEAR (part[i], c[i] / sum, 0.03) << i << " of " << c.size ();
    }
}

TEST (ServingSet, AnAnswerNamesSeveral)
{
  std::vector<unsigned> c = { 500, 500, 500, 120, 120, 120 };
  bool chosen[6];

  for (uint64_t k = 0; k < 100; k++)
    EXPECT_GE (
        mq_serving_sample (c.data (), 6, 64, mq_hash_mix (k, 1), chosen), 3u);
  EXPECT_EQ (mq_serving_sample (c.data (), 6, 2, 7, chosen), 2u);
  EXPECT_EQ (mq_serving_sample (c.data (), 0, 64, 7, chosen), 0u);
}

TEST (ServingSet, WhatIsUsedIsForgottenSlowly)
{
  mq_serving_demand need = { 0, 0 };

  mq_serving_demand_update (&need, 800, 1000000);
  mq_serving_demand_update (&need, 0, 3000000);
  EXPECT_GT (need.used, 600);
  mq_serving_demand_update (&need, 0, 33000000);
  EXPECT_LT (need.used, 150);
  mq_serving_demand_update (&need, 900, 33100000);
  EXPECT_EQ (need.used, 900);
}
