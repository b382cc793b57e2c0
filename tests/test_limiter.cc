/* The limiter in virtual time: limits hold within the error bound of
   mq/limiter.h, and shares follow demand.  The bound: in any time w at most
   r * (w + 1 s) requests, plus one for each router.  */

#include "limiter_sim.h"

#include <cmath>
#include <gtest/gtest.h>

using namespace limiter_sim;

namespace
{

void
expect_within_error (Sim &sim, double rate, int routers)
{
  for (uint64_t w : { 1 * S, 2 * S, 5 * S, 10 * S })
    {
      double most = rate * ((double)w / 1e6 + 1) + routers;

      EXPECT_LE ((double)sim.max_allowed_within (w), most) << w;
    }
}

} // namespace

TEST (Limiter, SendsNoMessageWithoutLimits)
{
  Sim sim (7, { 0, 0, 0 });

  for (Load &l : sim.loads)
    l.requests_per_s = 100;
  sim.run (10 * S);
  EXPECT_EQ (sim.messages, 0u);
  EXPECT_EQ (sim.refused[0], 0u);
  EXPECT_GT (sim.allowed[0], 900u);
}

TEST (Limiter, AdmitsTheFirstRequest)
{
  Sim sim (7, { 1, 0, 1 });

  sim.loads[3].requests_per_s = 0.2;
  sim.run (30 * S);
  EXPECT_GT (sim.allowed[3], 0u);
  EXPECT_EQ (sim.refused[3], 0u);
}

TEST (Limiter, KeepsTheRateUnderEvenDemand)
{
  Sim sim (7, { 100, 0, 0 });

  for (Load &l : sim.loads)
    l.requests_per_s = 40;
  sim.run (60 * S);
  expect_within_error (sim, 100, 7);
  EXPECT_GE (sim.allowed_at.size (), 95u * 60);
}

TEST (Limiter, GrantsTheRateByDemand)
{
  Sim sim (7, { 100, 0, 0 });

  sim.loads[5].requests_per_s = 150;
  sim.loads[2].requests_per_s = 10;
  sim.run (60 * S);
  expect_within_error (sim, 100, 7);
  EXPECT_GE (sim.allowed_at.size (), 95u * 60);
  /* Small demands are granted first; only their own bursts are refused.  */
  EXPECT_LE (sim.refused[2], sim.allowed[2] / 4);
}

TEST (Limiter, SharesFollowAShiftOfDemand)
{
  Sim sim (7, { 100, 0, 0 });
  uint64_t shifted;
  uint64_t steady;

  sim.loads[1].requests_per_s = 150;
  sim.run (20 * S);
  sim.loads[1].requests_per_s = 0;
  sim.loads[6].requests_per_s = 150;
  shifted = sim.now;
  sim.run (3 * S);
  steady = sim.now;
  sim.run (10 * S);
  EXPECT_GE (sim.allowed_since (steady), 950u);
  expect_within_error (sim, 100, 7);
  for (uint64_t t = shifted; t < steady; t += 250 * MS)
    {
      uint64_t n = sim.allowed_since (t) - sim.allowed_since (t + 250 * MS);

      printf ("%4llu ms after the shift: %5.1f requests/s of 100\n",
              (unsigned long long)((t - shifted) / MS), (double)n * 4);
    }
}

TEST (Limiter, KeepsTheConcurrencyLimit)
{
  Sim sim (7, { 0, 0, 20 });

  for (Load &l : sim.loads)
    {
      l.requests_per_s = 30;
      l.duration_us = 500 * MS;
    }
  sim.run (60 * S);
  EXPECT_LE (sim.max_in_flight, 20u);
  EXPECT_GE (sim.allowed_at.size (), 20u * 2 * 60 * 8 / 10);
}

TEST (Limiter, GrantsPermitsByDemand)
{
  Sim sim (7, { 0, 0, 20 });

  sim.loads[4].requests_per_s = 100;
  sim.loads[4].duration_us = 500 * MS;
  sim.loads[2].requests_per_s = 2;
  sim.run (60 * S);
  EXPECT_LE (sim.max_in_flight, 20u);
  EXPECT_GE (sim.allowed[4], 17u * 2 * 60 * 9 / 10);
  EXPECT_LE (sim.refused[2], sim.allowed[2] / 4);
}

TEST (Limiter, KeepsTheTokenRate)
{
  Sim sim (4, { 0, 10000, 0 });

  for (Load &l : sim.loads)
    {
      l.requests_per_s = 50;
      l.tokens = 100;
    }
  sim.run (30 * S);
  /* In tokens: rate * (w + 1 s) and one request for each router.  */
  EXPECT_LE (sim.max_allowed_within (10 * S) * 100, 10000u * 11 + 4 * 100);
  EXPECT_GE (sim.allowed_at.size () * 100, 10000u * 30 * 95 / 100);
}

TEST (Limiter, AdmitsHalfTheLimitWithoutAnOwner)
{
  Sim sim (7, { 70, 0, 0 });
  uint64_t lost;

  for (Load &l : sim.loads)
    l.requests_per_s = 20;
  sim.run (10 * S);
  sim.owner_replies = false;
  sim.run (MQ_LIMITER_LONG_LIFETIME_US);
  lost = sim.now;
  sim.run (20 * S);
  EXPECT_LE (sim.allowed_since (lost), 20u * 35 + 7);
  EXPECT_GE (sim.allowed_since (lost), 20u * 35 * 9 / 10);
  expect_within_error (sim, 70, 7);
}

TEST (Limiter, ChangeOfOwnerKeepsTheLimit)
{
  Sim sim (7, { 100, 0, 20 });

  for (Load &l : sim.loads)
    {
      l.requests_per_s = 40;
      l.duration_us = 100 * MS;
    }
  for (int i = 0; i < 6; i++)
    {
      sim.run (7 * S);
      sim.move_owner (i + 1);
    }
  sim.run (10 * S);
  expect_within_error (sim, 100, 7);
  EXPECT_LE (sim.max_in_flight, 20u + 7);
}

/* A new owner must not grant again what its predecessor granted to others, not
   even to a new holder.  */
TEST (Limiter, LimitsNewHoldersAfterAChangeOfOwner)
{
  Sim sim (7, { 100, 0, 0 });
  uint64_t moved;

  for (int i : { 1, 3, 4 })
    sim.loads[i].requests_per_s = 100;
  sim.run (10 * S);
  sim.move_owner (2);
  for (int i : { 0, 5, 6 })
    sim.loads[i].requests_per_s = 200;
  moved = sim.now;
  sim.run (500 * MS);
  EXPECT_LE (sim.allowed_since (moved), 50u + 7 + 5);
  sim.run (3500 * MS);
  EXPECT_LE (sim.allowed_since (moved), 100u * 5 + 7);
  sim.run (10 * S);
  expect_within_error (sim, 100, 7);
  EXPECT_GT (sim.allowed[5], 200u);
}

/* Two sides of a partition, each with an owner.  */
TEST (Limiter, PartitionKeepsTheLimitOnBothSidesTogether)
{
  Sim sim (7, { 100, 0, 0 });

  for (Load &l : sim.loads)
    l.requests_per_s = 60;
  sim.run (10 * S);
  for (int i = 0; i < 7; i++)
    {
      sim.owner[i] = i < 3 ? 0 : 6;
      sim.members (i, i < 3 ? 3 : 4);
    }
  sim.owner_since[6] = sim.now;
  sim.run (60 * S);
  expect_within_error (sim, 100, 7);
  EXPECT_GE (sim.allowed_at.size (), 85u * 70);
}

TEST (Limiter, ReusesTheShareOfADeadHolder)
{
  Sim sim (3, { 100, 0, 0 });
  uint64_t steady;

  sim.loads[1].requests_per_s = 100;
  sim.loads[2].requests_per_s = 100;
  sim.run (10 * S);
  sim.running[1] = false;
  sim.run (4 * S);
  steady = sim.now;
  sim.run (10 * S);
  EXPECT_GE (sim.allowed_since (steady), 900u);
}

TEST (Limiter, MessagesDoNotGrowWithRequests)
{
  uint64_t few;
  uint64_t many;

  {
    Sim sim (7, { 100, 0, 0 });

    for (Load &l : sim.loads)
      l.requests_per_s = 5;
    sim.run (60 * S);
    few = sim.messages;
  }
  {
    Sim sim (7, { 20000, 0, 0 });

    for (Load &l : sim.loads)
      l.requests_per_s = 1000;
    sim.run (60 * S);
    many = sim.messages;
  }
  printf ("messages/s and holder: %.2f at 5 requests/s, %.2f at 1000\n",
          (double)few / 60 / 6, (double)many / 60 / 6);
  EXPECT_LE (many, few * 2);
  EXPECT_LE ((double)few / 60 / 6, 2 * 2.0);
}

/* After a change of owner, a holder's second request must not let it grow into
   what others still hold of the former owner's grants.  */
TEST (Limiter, LimitsGrowthAtASecondRequestToANewOwner)
{
  Sim sim (5, { 50, 0, 10 });

  for (auto &l : sim.loads)
    l.requests_per_s = 20;
  sim.run (5 * S);
  sim.move_owner (1);
  sim.run (303 * MS);
  sim.loads[0].duration_us = 10 * MS;
  sim.run (3932 * MS);
  sim.owner_replies = false;
  sim.run (4105 * MS);
  sim.loads[2].duration_us = 191 * MS;
  sim.run (2034 * MS);
  sim.loads[0].duration_us = 129 * MS;
  sim.run (4009 * MS);
  sim.owner_replies = true;
  sim.run (5219 * MS);
  sim.loads[4].requests_per_s = 14;
  sim.run (3237 * MS);
  sim.loads[0].requests_per_s = 67;
  sim.run (3229 * MS);
  sim.move_owner (2);
  sim.run (514 * MS);
  EXPECT_LE (sim.max_in_flight, 10u + 5);
}
