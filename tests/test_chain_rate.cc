/* The rate of requests that a chain sustains.  */

#include "support/chain_sim.h"

#include <gtest/gtest.h>
#include <mq/internal/layer_plan.h>

using chain::Service;

namespace
{

double
rate (const Service &service, mq_chain_rate_input input)
{
  return mq_chain_rate (service.model (), &input);
}

} // namespace

/* Slow cards among the fast ones add memory but make each step longer.  */
TEST (ChainRate, FastCardsSustainMoreWithLessMemory)
{
  Service s{ chain::Cards::mixed };

  EXPECT_GT (rate (s, { 4, 98000, 3.6, 3.0 }), 30);
  EXPECT_LT (rate (s, { 6, 137000, 5.5, 3.8 }), 28);
}

TEST (ChainRate, MoreMemoryOnTheSameCardsSustainsMore)
{
  Service s;

  EXPECT_GT (rate (s, { 10, 120000, 8, 7 }), rate (s, { 10, 60000, 8, 7 }));
}

TEST (ChainRate, IsBoundedByHeadSlots)
{
  Service s;

  EXPECT_EQ (rate (s, { 10, 1e6, 8, 7 }), rate (s, { 10, 2e6, 8, 7 }));
}

TEST (ChainRate, IsZeroWithoutMemory)
{
  Service s;

  EXPECT_EQ (rate (s, { 10, 0, 8, 7 }), 0);
}

/* Without the mean sizes of prompt and answer no rate can be computed, and the
   plan goes by memory alone.  */
TEST (ChainRate, IsUnknownWithoutMeanRequestSize)
{
  Service s;
  mq_layered_model bare = *s.model ();
  mq_chain_rate_input f = { 10, 120000, 8, 7 };

  bare.mean_answer_tokens = 0;
  bare.mean_prompt_tokens = 0;
  EXPECT_EQ (mq_chain_rate (&bare, &f), 0);
}
