/* Layer plans: first assignment, repair, second copies and new layouts.  Token
   counts are bounds, not exact results.  */

#include "support/chain_sim.h"

#include <cmath>
#include <gtest/gtest.h>

using chain::Engine;
using chain::Fleet;
using chain::Service;

namespace
{

class LayerPlan : public ::testing::Test
{
protected:
  Service service;
  Fleet fleet{ service };
};

} // namespace

TEST_F (LayerPlan, EmptyEnginesGetWholeChainInEachDomain)
{
  fleet.add_all ();
  EXPECT_LE (fleet.settle (), 1u);
  for (const char *d : { "one", "two", "three" })
    EXPECT_GT (fleet.tokens (d), 100000) << d;
  EXPECT_TRUE (fleet.fits ());
}

TEST_F (LayerPlan, SendsNoOrdersOnceSettled)
{
  fleet.add_all ();
  fleet.settle ();
  EXPECT_EQ (fleet.plan (), 0u);
}

TEST_F (LayerPlan, LargestRangeHasSecondCopy)
{
  fleet.add_all ();
  fleet.settle ();
  Engine *h100 = fleet.find ("two", "h100");
  EXPECT_GE (h100->end - h100->first, 20u);
  EXPECT_GT (fleet.tokens ("two", h100), 50000);
}

TEST_F (LayerPlan, ReplacesFailedEngineBySparesOnly)
{
  fleet.add_all ();
  fleet.settle ();
  auto before = fleet.engines;
  Engine *only_holder = nullptr;
  for (Engine &e : fleet.engines)
    {
      if (e.domain == "one" && e.card == "l4" && fleet.tokens ("one", &e) == 0)
        only_holder = &e;
    }
  ASSERT_NE (only_holder, nullptr);
  fleet.remove (only_holder);
  EXPECT_GT (fleet.plan (), 0u);
  EXPECT_GT (fleet.tokens ("one"), 40000);
  /* Engines that alone hold layers of the chain keep them.  */
  Engine *a100 = fleet.find ("one", "a100s");
  for (const Engine &e : before)
    {
      if (e.id != a100->id)
        continue;
      EXPECT_EQ (e.first, a100->first);
    }
  EXPECT_TRUE (fleet.fits ());
}

/* The largest card crashes while another engine of its domain drains.  If the
   gaps were filled one after the other, the last would get an engine with
   memory for a few requests only, which bounds the chain.  */
TEST_F (LayerPlan, FillsTwoGapsAtOneLevel)
{
  fleet.add_all ();
  fleet.settle ();
  fleet.remove (fleet.find ("two", "h100"));
  fleet.remove (fleet.find ("two", "l4"));
  fleet.settle ();
  EXPECT_GT (fleet.tokens ("two"), 40000);
  EXPECT_TRUE (fleet.fits ());
}

/* Two engines drain where two small spares are left.  Spares and neighbours do
   not have the memory for the gaps.  */
TEST_F (LayerPlan, RelayoutWhenSparesDoNotSuffice)
{
  fleet.add_all ();
  fleet.settle ();
  fleet.remove (fleet.find ("three", "a100s"));
  fleet.remove (fleet.find ("three", "l4"));
  fleet.settle ();
  EXPECT_GT (fleet.tokens ("three"), 40000);
  EXPECT_TRUE (fleet.fits ());
}

TEST_F (LayerPlan, RelievesEngineWithTooManyLayers)
{
  fleet.add_all ();
  fleet.settle ();
  Engine *l4 = fleet.find ("three", "l4");
  unsigned end = l4->end;
  l4->end += 3; /* As after an earlier repair.  */
  double before = fleet.tokens ("three");
  fleet.add ("three", "t4", 1);
  fleet.settle ();
  EXPECT_GT (fleet.tokens ("three"), before);
  EXPECT_LE (fleet.find ("three", "l4")->end, end + 3);
}

TEST_F (LayerPlan, LeavesEngineWithOpenOrderAlone)
{
  fleet.add_all ();
  fleet.settle ();
  Engine *spare = nullptr;
  for (Engine &e : fleet.engines)
    if (e.domain == "one" && e.card == "t4")
      {
        spare = &e;
        e.fixed = true;
      }
  auto before = *spare;
  fleet.remove (fleet.find ("one", "l4"));
  fleet.plan ();
  EXPECT_EQ (spare->first, before.first);
  EXPECT_EQ (spare->end, before.end);
}

/* An order that is not confirmed may fail; the last engine that holds a layer
   must not release it for such an order.  */
TEST_F (LayerPlan, ReleasesNoLayersForUnconfirmedOrder)
{
  unsigned at = 13;

  fleet.add ("one", "a100s", 2);
  fleet.add ("one", "l4", 8);
  for (Engine &e : fleet.engines)
    {
      if (e.card == "a100s")
        {
          e.end = 13;
          continue;
        }
      e.first = at;
      e.end = std::min (at += 8, 74u); /* The last six layers are missing.  */
    }
  Engine &holder = fleet.engines[0], &copy = fleet.engines[1];
  copy.awaited = copy.fixed = true;
  EXPECT_GT (fleet.settle (), 0u);
  EXPECT_EQ (holder.first, 0u);
  EXPECT_EQ (holder.end, 13u);
  copy.awaited = copy.fixed = false;
  fleet.engines.back ().end = 74;
  fleet.settle ();
  EXPECT_TRUE (holder.first != 0 || copy.first != 0);
}

/* Domains with memory for two chains each.  */
TEST_F (LayerPlan, EnoughMemoryHoldsSeveralChains)
{
  fleet.add ("one", "a100s", 4);
  fleet.add ("one", "l4", 11);
  fleet.add ("one", "t4", 18);
  fleet.add ("two", "h100", 1);
  fleet.add ("two", "a100s", 2);
  fleet.add ("two", "l4", 13);
  fleet.add ("two", "t4", 17);
  EXPECT_LE (fleet.settle (), 2u);
  EXPECT_TRUE (fleet.fits ());
  EXPECT_EQ (fleet.all_tokens ("one").size (), 2u);
  EXPECT_EQ (fleet.all_tokens ("two").size (), 2u);
  for (const char *domain : { "one", "two" })
    for (double t : fleet.all_tokens (domain))
      EXPECT_GT (t, 110000) << domain;
  EXPECT_EQ (fleet.plan (), 0u);
}

/* With one chain in a domain of much memory, the head's slots would bound the
   requests in flight.  */
/* In a domain of a thousand engines the layers of a chain were divided over
   more engines than a path can have, so that no request could be sent.  */
TEST_F (LayerPlan, ChainsOfLargeDomainFitIntoPaths)
{
  fleet.add ("large", "h100", 100);
  fleet.add ("large", "a100s", 100);
  fleet.add ("large", "l4", 200);
  fleet.add ("large", "t4", 600);
  for (unsigned round = 0; round < 5; round++)
    {
      fleet.plan ();
      EXPECT_GE (fleet.all_tokens ("large").size (), 2u) << round;
      EXPECT_GT (fleet.tokens ("large"), 0) << round;
    }
}

TEST_F (LayerPlan, ChainCountFollowsMemoryAndSlots)
{
  auto chains = [&] (double gb) {
    return mq_layer_plan_chain_count (service.model (), gb * 1000);
  };

  for (double gb : { 130, 250, 252, 317, 389 })
    EXPECT_EQ (chains (gb), 1u) << gb;
  for (double gb : { 475, 489, 511, 540, 640, 669, 705 })
    EXPECT_EQ (chains (gb), 2u) << gb;
}

TEST_F (LayerPlan, RetainsChainCountWhenOneEngineLeaves)
{
  auto kept = [&] (double gb, unsigned before) {
    return mq_layer_plan_retained_chain_count (service.model (), gb * 1000,
                                               before);
  };

  EXPECT_EQ (kept (475, 0), 2u);
  EXPECT_EQ (kept (440, 2), 2u);
  EXPECT_EQ (kept (440, 1), 1u);
  EXPECT_EQ (kept (300, 2), 1u);
}

TEST_F (LayerPlan, RepairsBrokenChainBesideWholeOne)
{
  fleet.add ("one", "a100s", 4);
  fleet.add ("one", "l4", 11);
  fleet.add ("one", "t4", 18);
  fleet.settle ();
  fleet.remove (fleet.find ("one", "a100s"));
  EXPECT_GE (fleet.all_tokens ("one").size (), 1u);
  fleet.settle ();
  EXPECT_EQ (fleet.all_tokens ("one").size (), 2u);
  for (double t : fleet.all_tokens ("one"))
    EXPECT_GT (t, 40000);
  EXPECT_TRUE (fleet.fits ());
}

TEST_F (LayerPlan, MaxLayersAndTokenCapacityAgree)
{
  const mq_card *c = service.card_named ("l4");
  unsigned n = mq_layer_plan_max_layers (service.model (), c, 100000);

  EXPECT_GE (mq_layer_plan_token_capacity (service.model (), c, n), 100000);
  EXPECT_LT (mq_layer_plan_token_capacity (service.model (), c, n + 1),
             100000);
  EXPECT_EQ (mq_layer_plan_token_capacity (service.model (), c, 0), 0);
  EXPECT_EQ (mq_layer_plan_token_capacity (service.model (), c, 80), 0);
}

/* With the slow cards the chain would have more memory, but requests would
   last even longer in proportion, and each fault would affect more of them. */
TEST (LayerPlanMixed, ExcludesSlowCardsThatLowerTheRate)
{
  Service service{ chain::Cards::mixed };
  Fleet fleet{ service };
  unsigned fast = 0;

  fleet.add ("one", "a100", 1);
  fleet.add ("one", "l40s", 3);
  fleet.add ("one", "l4", 8);
  fleet.settle ();
  for (const Engine &e : fleet.engines)
    fast += e.card != "l4" ? e.end - e.first : 0;
  EXPECT_EQ (fast, chain::layers);
  EXPECT_GT (fleet.tokens ("one"), 60000);
}

/* When all cards are needed to hold all layers and memory for requests, the
   slow ones are used too.  */
TEST_F (LayerPlan, UsesSlowCardsThatAreNeeded)
{
  fleet.add ("one", "a100s", 2);
  fleet.add ("one", "l4", 4);
  fleet.add ("one", "t4", 7);
  fleet.settle ();
  EXPECT_GT (fleet.tokens ("one"), 100000);
}

/* The plan runs several times a second, so its size is computed again only
   when engines join or leave.  */
TEST_F (LayerPlan, RecomputesSizeWhenEnginesChange)
{
  fleet.add_all ();
  fleet.settle ();
  double before = fleet.tokens ("two");
  fleet.add ("two", "a100s", 1);
  fleet.settle ();
  EXPECT_GE (fleet.tokens ("two"), before);
  EXPECT_EQ (fleet.plan (), 0u);
}

/* Copies have less memory than the engines that they back up.  If they
   released layers for that, no whole path would be left when an engine in use
   fails.  */
TEST (LayerPlanMixed, CopiesKeepTheirLayers)
{
  Service service{ chain::Cards::mixed };
  Fleet fleet{ service };

  fleet.add ("one", "a100", 1);
  fleet.add ("one", "l40s", 3);
  fleet.add ("one", "l4", 8);
  fleet.settle ();
  for (const Engine &e : fleet.engines)
    {
      /* The l4 cards have memory for copies of all but some layers.  */
      if (e.card == "a100" || (e.card == "l40s" && e.first < 60))
        {
          EXPECT_GT (fleet.tokens ("one", &e), 20000) << e.first;
        }
    }
  EXPECT_EQ (fleet.plan (), 0u);
}

namespace
{

/* The engines that a round looks at in a settled domain of ENGINES engines,
   most of them spares and copies.  */
uint64_t
settled_visits (unsigned engines)
{
  Service service;
  Fleet fleet (service);
  uint64_t before;

  fleet.add ("one", "h100", engines / 40);
  fleet.add ("one", "a100s", engines / 10);
  fleet.add ("one", "l4", engines / 2);
  fleet.add ("one", "t4", engines * 3 / 8);
  fleet.settle ();
  before = fleet.visits ();
  EXPECT_EQ (fleet.plan (), 0u);
  return fleet.visits () - before;
}

} // namespace

/* A plan that looked at all engines for each spare would take most of a
   leader's processor in domains of hundreds of engines.  */
TEST (LayerPlanCost, GrowsInProportionToTheEngines)
{
  double growth = (double)settled_visits (800) / (double)settled_visits (200);

  EXPECT_LT (growth, pow (4, 1.1));
}
