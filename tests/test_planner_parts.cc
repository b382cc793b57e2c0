/* Unit tests of the planner's modules: step model, margin, KV transfer and
   shares.  */

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <mq/internal/margin.h>
#include <mq/internal/share.h>
#include <mq/internal/step_model.h>
#include <mq/kv_transfer.h>

#include <numeric>
#include <string>
#include <vector>

TEST (StepModel, ReturnsTheInitialTimeUntilItLearns)
{
  mq_step_model m;

  mq_step_model_init (&m, 5000);
  EXPECT_DOUBLE_EQ (mq_step_model_us (&m, 7), 5000);
  mq_step_model_learn (&m, 3, 800);
  EXPECT_DOUBLE_EQ (mq_step_model_us (&m, 3), 800);
}

TEST (StepModel, FitsALine)
{
  mq_step_model m;

  mq_step_model_init (&m, 1);
  for (int i = 0; i < 100; i++)
    mq_step_model_learn (&m, i % 8, 1000 + 50 * (i % 8));
  EXPECT_NEAR (mq_step_model_us (&m, 16), 1800, 1);
  /* The line follows an engine that changes its speed.  */
  for (int i = 0; i < 100; i++)
    mq_step_model_learn (&m, i % 8, 10 * (1000 + 50 * (i % 8)));
  EXPECT_NEAR (mq_step_model_us (&m, 16), 18000, 500);
}

TEST (Margin, ExceedsNearlyAllErrors)
{
  mq_margin m;

  mq_margin_init (&m, 0.5, 1.02, 1.3);
  for (int i = 0; i < 3000; i++)
    mq_margin_learn (&m, i % 100 == 0 ? 1.8 : 0.9);
  EXPECT_GE (mq_margin_get (&m), 1.8);
  EXPECT_LT (mq_margin_get (&m), 1.9);
  /* Old errors decay slowly.  */
  for (int i = 0; i < 40000; i++)
    mq_margin_learn (&m, 0.9);
  EXPECT_LT (mq_margin_get (&m), 1.1);
}

TEST (Margin, FewOutliersDoNotRaiseIt)
{
  mq_margin m;

  mq_margin_init (&m, 0.5, 1.02, 1.3);
  EXPECT_GE (mq_margin_get (&m), 1.3) << "the prior applies before any error";
  for (int i = 0; i < 20; i++)
    mq_margin_learn (&m, 0.9);
  for (int i = 0; i < 3; i++)
    mq_margin_learn (&m, 3.0);
  EXPECT_LT (mq_margin_get (&m), 1.4);
  for (int i = 0; i < 3; i++)
    mq_margin_learn (&m, 3.0);
  EXPECT_GE (mq_margin_get (&m), 3.0)
      << "six errors exceed the tolerated outliers";
}

TEST (KvTransfer, EstimatesTransferAndRecomputation)
{
  /* 1000 positions of 8 layers at 4096 bytes: 32.8 MB.  */
  mq_kv_transfer t = { 1000, 8, 4096, 300, 10000, 2000, 50, 0 };

  EXPECT_NEAR (mq_kv_transfer_move_us (&t), 600 + 2000 + 26214.4, 0.1);
  EXPECT_NEAR (mq_kv_transfer_recompute_us (&t), 50000, 0.1);
  EXPECT_TRUE (mq_kv_transfer_is_worthwhile (&t));
}

TEST (KvTransfer, PrefersRecomputationOverASlowLinkOrWithACachedPrefix)
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
  bool was_worthwhile = false;

  for (t.mbit_per_s = 100; t.mbit_per_s < 1e6; t.mbit_per_s *= 3)
    {
      RC_ASSERT (!was_worthwhile || mq_kv_transfer_is_worthwhile (&t));
      was_worthwhile = mq_kv_transfer_is_worthwhile (&t);
    }
}

namespace
{

struct Demand
{
  uint32_t weight, streams;
};

std::ostream &
operator<< (std::ostream &out, const Demand &w)
{
  return out << "[" << w.weight << " demands " << w.streams << "]";
}

} // namespace

namespace rc
{

template <> struct Arbitrary<Demand>
{
  static Gen<Demand>
  arbitrary ()
  {
    return gen::build<Demand> (
        gen::set (&Demand::weight, gen::inRange (1u, 10u)),
        gen::set (&Demand::streams, gen::inRange (1u, 100u)));
  }
};

} // namespace rc

RC_GTEST_PROP (Share, IsMaxMinFairAndWorkConserving, (uint8_t capacity))
{
  auto demands = *rc::gen::nonEmpty<std::vector<Demand> > ();
  mq_config *config = mq_config_new (1);
  mq_share_table table;
  std::vector<mq_fair_share *> shares;
  double weights = 0, wanted = 0, granted = 0;

  mq_share_table_init (&table);
  for (size_t i = 0; i < demands.size (); i++)
    {
      std::string name = "o" + std::to_string (i);
      mq_span span = { name.data (), name.size () };
      mq_organisation o = {};

      o.name = mq_str_new (span);
      o.weight = demands[i].weight;
      g_array_append_val (config->organisations, o);
      shares.push_back (mq_share_table_get (&table, span, config));
      shares[i]->held = demands[i].streams;
      weights += demands[i].weight;
      wanted += demands[i].streams;
    }
  mq_share_table_divide (&table, capacity, 0);
  for (size_t i = 0; i < demands.size (); i++)
    {
      double equal = capacity * demands[i].weight / weights;
      double grant
          = std::min<double> (demands[i].streams, shares[i]->fair_streams);

      /* No organisation gets less than its weighted share, unless it needs
         less.  */
      RC_ASSERT (grant >= std::min<double> (demands[i].streams, equal) - 1e-6);
      granted += grant;
    }
  RC_ASSERT (std::abs (granted - std::min<double> (capacity, wanted)) < 1e-6);
  mq_share_table_finish (&table);
  mq_config_unref (config);
}
