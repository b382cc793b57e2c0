/* Orders to one engine: which layers count as held, and when it may get an
   order.  */

#include "support/chain_sim.h"

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

  /* The view for the plan; sets `asks' if the engine should be queried.  */
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

TEST_F (LayerOrder, OrderedLayersCountWhileTheirLoadMayTake)
{
  mq_layer_order_sent (engine, 0, 8, s);
  mq_layer_order_answered (engine, MQ_ORDER_STARTED, s);
  EXPECT_EQ (view (2 * s).end, 8u);
  EXPECT_TRUE (view (2 * s).awaited);
  EXPECT_TRUE (view (2 * s).fixed);
  EXPECT_FALSE (asks);
  /* The limit is twice the load time of 8 of 80 layers, 1.4 s, plus 1.5 s.  */
  EXPECT_EQ (view (6 * s).end, 0u);
  EXPECT_TRUE (view (6 * s).fixed);
  EXPECT_TRUE (asks);
}

TEST_F (LayerOrder, FailedOrderFreesEngine)
{
  mq_layer_order_sent (engine, 0, 8, s);
  mq_layer_order_answered (engine, MQ_ORDER_UNANSWERED, s);
  EXPECT_TRUE (engine->orders_unknown);
  EXPECT_TRUE (mq_layer_order_may_query (engine, 2 * s));
  mq_layer_order_reported (engine, 0, false, 2 * s);
  EXPECT_FALSE (view (2 * s).fixed);
}

/* A report from before a refused order states that none is open.  If it
   counted, the next order would be sent and refused at once.  */
TEST_F (LayerOrder, IgnoresReportOlderThanRefusal)
{
  mq_layer_order_sent (engine, 0, 8, s);
  mq_layer_order_answered (engine, MQ_ORDER_REFUSED, s);
  EXPECT_FALSE (mq_layer_order_may_query (engine, s + s / 10));
  mq_layer_order_reported (engine, 0, false, s + s / 20);
  EXPECT_TRUE (engine->orders_unknown);
  EXPECT_TRUE (view (s + s / 10).fixed);
  EXPECT_TRUE (mq_layer_order_may_query (engine, s + s / 2));
  mq_layer_order_reported (engine, 2, false, s + s / 2);
  EXPECT_FALSE (engine->orders_unknown);
  EXPECT_FALSE (view (s + s / 2).fixed);
}

TEST_F (LayerOrder, IgnoresReportOlderThanStartedOrder)
{
  mq_layer_order_sent (engine, 0, 8, s);
  mq_layer_order_answered (engine, MQ_ORDER_STARTED, s);
  EXPECT_EQ (engine->orders, 1u);
  mq_layer_order_reported (engine, 0, false, s + s / 20);
  EXPECT_EQ (engine->orders, 1u);
  EXPECT_EQ (view (s + s / 10).end, 8u);
}

/* A router that has just become the leader and gets no report of an engine
   must not plan with it for ever: its layers would never be ordered.  */
TEST_F (LayerOrder, EngineThatAnswersNoQueryIsLeftOut)
{
  mq_layer_order_mark_unknown (engine, s);
  EXPECT_TRUE (view (3 * s).unknown);
  EXPECT_FALSE (view (3 * s).fixed);
  EXPECT_TRUE (view (4 * s).fixed);
  mq_layer_order_reported (engine, 0, false, 5 * s);
  EXPECT_FALSE (view (5 * s).fixed);
  EXPECT_FALSE (view (5 * s).unknown);
}

/* While the weight store serves others, a load does not become overdue.  */
TEST_F (LayerOrder, TimeOfOtherLoadsDoesNotCount)
{
  mq_layer_order_sent (engine, 0, 8, s);
  mq_layer_order_answered (engine, MQ_ORDER_STARTED, s);
  mq_layer_order_delay (engine, 4 * s);
  EXPECT_TRUE (view (6 * s).awaited);
  EXPECT_TRUE (view (6 * s).loading);
  EXPECT_FALSE (view (10 * s).awaited);
  EXPECT_FALSE (view (10 * s).loading);
}

/* An engine without layers that reports to be busy is loading what was
   ordered, so that its layers are not ordered elsewhere; but not for ever.  */
TEST_F (LayerOrder, BusyEngineWithoutLayersMayTakeLonger)
{
  mq_layer_order_sent (engine, 0, 8, s);
  mq_layer_order_answered (engine, MQ_ORDER_STARTED, s);
  for (uint64_t t = 5 * s; t < 13 * s; t += s / 2)
    {
      mq_layer_order_reported (engine, 1, true, t);
      EXPECT_TRUE (view (t).awaited) << t;
      EXPECT_TRUE (asks);
    }
  mq_layer_order_reported (engine, 1, true, 14 * s);
  EXPECT_FALSE (view (14 * s).awaited);
}

/* If an older report replaced the layers that the platform published, a
   neighbour would be ordered to hold them too and be short of memory.  */
TEST_F (LayerOrder, IgnoresLayerReportOlderThanPlatformUpdate)
{
  chain::Fleet::put (registry, { "a", "one", "l4", 7, 13 }, 2 * s);
  engine = mq_registry_find (&registry, MQ_SPAN ("a"));
  EXPECT_FALSE (
      mq_registry_set_layers (&registry, engine, 0, 0, 2 * s + s / 10));
  EXPECT_EQ (view (2 * s + s / 10).end, 13u);
  EXPECT_TRUE (mq_registry_set_layers (&registry, engine, 0, 0, 3 * s));
}
