/* The parts of the planner by themselves: step times, margin, shares.  */

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <mq/internal/margin.h>
#include <mq/internal/share.h>
#include <mq/internal/step_model.h>
#include <mq/kv_transfer.h>

#include <numeric>
#include <string>
#include <vector>

TEST (StepModel, HoldsTheGuessUntilItLearns)
{
  mq_step_model m;

  mq_step_model_init (&m, 5000);
  EXPECT_DOUBLE_EQ (mq_step_model_us (&m, 7), 5000);
  mq_step_model_learn (&m, 3, 800);
  EXPECT_DOUBLE_EQ (mq_step_model_us (&m, 3), 800);
}

TEST (StepModel, FindsTheLine)
{
  mq_step_model m;

  mq_step_model_init (&m, 1);
  for (int i = 0; i < 100; i++)
    mq_step_model_learn (&m, i % 8, 1000 + 50 * (i % 8));
  EXPECT_NEAR (mq_step_model_us (&m, 16), 1800, 1);
  /* A changed engine is soon known.  */
  for (int i = 0; i < 100; i++)
    mq_step_model_learn (&m, i % 8, 10 * (1000 + 50 * (i % 8)));
  EXPECT_NEAR (mq_step_model_us (&m, 16), 18000, 500);
}

TEST (Margin, StaysAboveNearlyAllRatios)
{
  mq_margin m;

  mq_margin_init (&m, 0.5, 1.02, 1.3);
  for (int i = 0; i < 3000; i++)
    mq_margin_learn (&m, i % 100 == 0 ? 1.8 : 0.9);
  EXPECT_GE (mq_margin_get (&m), 1.8);
  EXPECT_LT (mq_margin_get (&m), 1.9);
  /* Misses are forgotten, slowly.  */
  for (int i = 0; i < 40000; i++)
    mq_margin_learn (&m, 0.9);
  EXPECT_LT (mq_margin_get (&m), 1.1);
}

TEST (Margin, OneFaultDoesNotRule)
{
  mq_margin m;

  mq_margin_init (&m, 0.5, 1.02, 1.3);
  EXPECT_GE (mq_margin_get (&m), 1.3) << "before anything is known";
  for (int i = 0; i < 20; i++)
    mq_margin_learn (&m, 0.9);
  for (int i = 0; i < 3; i++)
    mq_margin_learn (&m, 3.0);
  EXPECT_LT (mq_margin_get (&m), 1.4);
  for (int i = 0; i < 3; i++)
    mq_margin_learn (&m, 3.0);
  EXPECT_GE (mq_margin_get (&m), 3.0) << "six are more than a few";
}

TEST (KvTransfer, CountsBytesOverTheLinkAndSteps)
{
  /* 1000 positions of 8 layers, 4096 bytes each: 32.8 MB.  */
  mq_kv_transfer t = { 1000, 8, 4096, 300, 10000, 2000, 50, 0 };

  EXPECT_NEAR (mq_kv_transfer_move_us (&t), 600 + 2000 + 26214.4, 0.1);
  EXPECT_NEAR (mq_kv_transfer_recompute_us (&t), 50000, 0.1);
  EXPECT_TRUE (mq_kv_transfer_is_worthwhile (&t));
}

TEST (KvTransfer, RunsAnewOverASlowLinkOrFromACachedPrefix)
{
  mq_kv_transfer slow = { 1000, 8, 4096, 300, 1000, 2000, 50, 0 };
  mq_kv_transfer unknown = { 1000, 8, 4096, 300, 0, 2000, 50, 0 };
  mq_kv_transfer cached = { 1000, 8, 4096, 300, 10000, 2000, 50, 900 };
  mq_kv_transfer nothing = {};

  EXPECT_FALSE (mq_kv_transfer_is_worthwhile (&slow));
  EXPECT_FALSE (mq_kv_transfer_is_worthwhile (&unknown));
  EXPECT_FALSE (mq_kv_transfer_is_worthwhile (&cached));
  EXPECT_FALSE (mq_kv_transfer_is_worthwhile (&nothing));
}

RC_GTEST_PROP (KvTransfer, ABetterLinkNeverMakesItPayLess,
               (uint16_t positions, uint16_t cached, uint8_t layers))
{
  mq_kv_transfer t = { positions, layers, 4096, 300, 100, 2000, 50, cached };
  bool paid = false;

  for (t.mbit_per_s = 100; t.mbit_per_s < 1e6; t.mbit_per_s *= 3)
    {
      RC_ASSERT (!paid || mq_kv_transfer_is_worthwhile (&t));
      paid = mq_kv_transfer_is_worthwhile (&t);
    }
}

namespace
{

struct Want
{
  uint32_t weight, streams;
};

std::ostream &
operator<< (std::ostream &out, const Want &w)
{
  return out << "[" << w.weight << " wants " << w.streams << "]";
}

} // namespace

namespace rc
{

template <> struct Arbitrary<Want>
{
  static Gen<Want>
  arbitrary ()
  {
    return gen::build<Want> (
        gen::set (&Want::weight, gen::inRange (1u, 10u)),
        gen::set (&Want::streams, gen::inRange (1u, 100u)));
  }
};

} // namespace rc

RC_GTEST_PROP (Share, IsMaxMinFairAndWorkConserving, (uint8_t capacity))
{
  auto wants = *rc::gen::nonEmpty<std::vector<Want> > ();
  mq_config *config = mq_config_new (1);
  mq_share_table table;
  std::vector<mq_share *> shares;
  double weights = 0, wanted = 0, granted = 0;

  mq_share_table_init (&table);
  for (size_t i = 0; i < wants.size (); i++)
    {
      std::string name = "o" + std::to_string (i);
      mq_span span = { name.data (), name.size () };
      mq_organisation o = {};

      o.name = mq_str_new (span);
      o.weight = wants[i].weight;
      g_array_append_val (config->organisations, o);
      shares.push_back (mq_share_table_get (&table, span, config));
      shares[i]->held = wants[i].streams;
      weights += wants[i].weight;
      wanted += wants[i].streams;
    }
  mq_share_table_divide (&table, capacity, 0);
  for (size_t i = 0; i < wants.size (); i++)
    {
      double equal = capacity * wants[i].weight / weights;
      double grant = std::min<double> (wants[i].streams, shares[i]->part);

      /* Nobody gets less than its weight says, unless it wants less.  */
      RC_ASSERT (grant >= std::min<double> (wants[i].streams, equal) - 1e-6);
      granted += grant;
    }
  RC_ASSERT (std::abs (granted - std::min<double> (capacity, wanted)) < 1e-6);
  mq_share_table_finish (&table);
  mq_config_unref (config);
}
