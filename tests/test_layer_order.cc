/* Orders to one engine: what is counted on, and when it may be ordered.  */

#include "support/chain_world.h"

#include <mq/layer_order.h>

#include <gtest/gtest.h>

namespace
{

constexpr uint64_t s = 1000 * 1000;

class LayerOrder : public ::testing::Test
{
protected:
  LayerOrder ()
  {
    mq_registry_init (&registry);
    chain::Fleet::put (registry, { "a", "one", "l4", 0, 0 });
    engine = mq_registry_find (&registry, MQ_SPAN ("a"));
  }

  ~LayerOrder () override { mq_registry_finish (&registry); }

  /* What the plan sees; `asks' tells whether the engine should be asked.  */
  mq_layer_holder
  view (uint64_t now_us)
  {
    asks = false;
    return mq_layer_order_view (engine, service.model (), now_us, &asks);
  }

  chain::Service service;
  mq_registry registry;
  mq_upstream *engine;
  bool asks = false;
};

} // namespace

TEST_F (LayerOrder, WhatWasOrderedCountsForAsLongAsItsLoadShouldTake)
{
  mq_layer_order_sent (engine, 0, 8, s);
  mq_layer_order_answered (engine, MQ_ORDER_BEGUN, s);
  EXPECT_EQ (view (2 * s).end, 8u);
  EXPECT_TRUE (view (2 * s).awaited);
  EXPECT_TRUE (view (2 * s).fixed);
  EXPECT_FALSE (asks);
  /* 8 of 80 layers load in 1.4 s; twice that and 1.5 s.  */
  EXPECT_EQ (view (6 * s).end, 0u);
  EXPECT_TRUE (view (6 * s).fixed);
  EXPECT_TRUE (asks);
}

TEST_F (LayerOrder, AnOrderThatCameToNothingFreesTheEngine)
{
  mq_layer_order_sent (engine, 0, 8, s);
  mq_layer_order_answered (engine, MQ_ORDER_UNHEARD, s);
  EXPECT_TRUE (engine->orders_unknown);
  mq_layer_order_reported (engine, 0, false, 2 * s);
  EXPECT_FALSE (view (2 * s).fixed);
}
