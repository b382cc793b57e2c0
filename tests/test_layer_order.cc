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

/* Layers that the model does not have: those of another writer's entry, or of
   the model before a change of the configuration.  */
TEST_F (LayerOrder, LayersThatModelDoesNotHaveAreNotHeld)
{
  for (auto &range : std::vector<std::pair<unsigned, unsigned> >{
           { 5, 81 }, { 0, 4000000000 }, { 1280523264, 1280523270 } })
    {
      engine->facts.layer_first = range.first;
      engine->facts.layer_end = range.second;
      EXPECT_EQ (view (s).first, view (s).end) << range.first;
    }
  EXPECT_FALSE (mq_registry_set_layers (&registry, engine, 9, 8, s));
}

TEST_F (LayerOrder, OrderForAnotherModelHoldsNothing)
{
  mq_layer_order_sent (engine, 54, 81, s);
  mq_layer_order_answered (engine, MQ_ORDER_STARTED, s);
  EXPECT_EQ (view (2 * s).first, view (2 * s).end);
  EXPECT_TRUE (view (2 * s).fixed);
}

/* ---- Standing: what an entry says is not what its engine says.  */

class LayerStanding : public LayerOrder
{
protected:
  LayerStanding ()
  {
    engine->facts.layer_end = 8;
    engine->listed_us = 5 * s;
  }

  mq_layer_standing
  standing (uint64_t leads_since_us, uint64_t now_us)
  {
    return mq_layer_order_standing (engine, service.model (), leads_since_us,
                                    now_us);
  }
};

TEST_F (LayerStanding, EngineIsPlannedWithOnceItAnswers)
{
  EXPECT_EQ (standing (s, 5 * s), MQ_LAYER_STANDING_AWAITED_HELD);
  engine->facts.layer_end = 81; /* None of the model's.  */
  EXPECT_EQ (standing (s, 5 * s), MQ_LAYER_STANDING_AWAITED);
  mq_upstream_answered (engine);
  EXPECT_EQ (standing (s, 5 * s), MQ_LAYER_STANDING_PLANNED);
}

/* The plan waits for a query that is never sent, or never ends, for a bounded
   time.  */
TEST_F (LayerStanding, AnswerIsAwaitedForABoundedTime)
{
  EXPECT_EQ (standing (s, 7 * s), MQ_LAYER_STANDING_AWAITED_HELD);
  EXPECT_EQ (standing (s, 8 * s), MQ_LAYER_STANDING_LEFT_OUT);
}

/* A new leader that does not reach an engine must not give its layers to
   others, as other routers may use it.  An engine that is listed later and
   never answers holds nothing.  */
TEST_F (LayerStanding, SilentEngineIsBelievedIfListedBeforeLead)
{
  mq_upstream_unanswered (engine);
  EXPECT_EQ (standing (6 * s, 7 * s), MQ_LAYER_STANDING_PLANNED);
  EXPECT_EQ (standing (4 * s, 7 * s), MQ_LAYER_STANDING_LEFT_OUT);
  engine->facts.layer_end = 0;
  EXPECT_EQ (standing (6 * s, 7 * s), MQ_LAYER_STANDING_LEFT_OUT);
}

/* A process that hangs while its entry is renewed: after its ejection it holds
   nothing for the plan until it answers.  */
TEST_F (LayerStanding, EjectedEngineIsLeftOutUntilItAnswers)
{
  mq_upstream_answered (engine);
  mq_upstream_reported_down (engine, 7 * s, s);
  EXPECT_EQ (standing (6 * s, 20 * s), MQ_LAYER_STANDING_LEFT_OUT);
  mq_upstream_unanswered (engine);
  EXPECT_EQ (standing (6 * s, 20 * s), MQ_LAYER_STANDING_LEFT_OUT);
  mq_upstream_answered (engine);
  EXPECT_EQ (standing (6 * s, 20 * s), MQ_LAYER_STANDING_PLANNED);
}

/* The same where nothing listens at the address, which ejects an engine that
   never answered at once.  */
TEST_F (LayerStanding, RefusedEngineIsLeftOutAndEjected)
{
  mq_upstream_refused (engine, 7 * s);
  EXPECT_FALSE (mq_upstream_is_usable (engine, 7 * s));
  EXPECT_EQ (standing (6 * s, 20 * s), MQ_LAYER_STANDING_LEFT_OUT);
}

/* A request that runs on it is an answer; links of this router that fail say
   nothing about it.  */
TEST_F (LayerStanding, LostEngineReturns)
{
  mq_upstream_reported_down (engine, 7 * s, s);
  mq_upstream_succeeded (engine, 9 * s);
  EXPECT_EQ (standing (6 * s, 9 * s), MQ_LAYER_STANDING_PLANNED);
  mq_upstream_failed (engine, 9 * s);
  mq_upstream_failed (engine, 9 * s);
  EXPECT_EQ (standing (6 * s, 9 * s), MQ_LAYER_STANDING_LEFT_OUT);
  mq_upstream_retract_failures (engine);
  EXPECT_EQ (standing (6 * s, 9 * s), MQ_LAYER_STANDING_PLANNED);
}
