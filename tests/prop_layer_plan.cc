/* Properties of layer plans for any engines that join, leave and hold layers:
   no engine is ordered to hold more than its memory, a domain with enough
   memory gets a whole chain, and the plan settles.  */

#include "support/chain_sim.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using chain::Engine;
using chain::Fleet;
using chain::Service;

namespace
{

/* The number of layers that the engines of DOMAIN can hold together beside
   memory for TOKENS tokens on each.  */
unsigned
max_layers (const Service &service, const Fleet &fleet,
            const std::string &domain, double tokens)
{
  unsigned n = 0;

  for (const Engine &e : fleet.engines)
    if (e.domain == domain)
      n += mq_layer_plan_max_layers (service.model (),
                                     service.card_named (e.card), tokens);
  return n;
}

} // namespace

RC_GTEST_PROP (LayerPlanProperty,
               LossesAndReturnsLeaveChainsWhereMemoryReaches, ())
{
  Service service;
  Fleet fleet (service);
  const std::vector<std::string> cards = { "h100", "a100s", "l4", "t4" };

  fleet.add_all ();
  fleet.settle ();
  for (unsigned step = *rc::gen::inRange (1, 10); step > 0; step--)
    {
      if (*rc::gen::inRange (0, 4) == 0)
        fleet.add (*rc::gen::element<std::string> ("one", "two", "three"),
                   *rc::gen::elementOf (cards), 1);
      else if (!fleet.engines.empty ())
        fleet.remove (&fleet.engines[*rc::gen::inRange<size_t> (
            0, fleet.engines.size ())]);
      if (*rc::gen::inRange (0, 2) == 0)
        fleet.plan ();
      RC_ASSERT (fleet.fits ());
    }
  RC_ASSERT (fleet.settle () < 50);
  RC_ASSERT (fleet.fits ());
  for (const char *d : { "one", "two", "three" })
    if (max_layers (service, fleet, d, 20000) >= chain::layers)
      RC_ASSERT (fleet.tokens (d) > 0);
}

RC_GTEST_PROP (LayerPlanProperty, AnyStartComesToRest, ())
{
  Service service;
  Fleet fleet (service);

  fleet.add_all ();
  for (Engine &e : fleet.engines)
    {
      unsigned max_layers = mq_layer_plan_max_layers (
          service.model (), service.card_named (e.card), 8000);
      unsigned n = *rc::gen::inRange (0u, max_layers + 1);

      e.first = *rc::gen::inRange (0u, chain::layers - n + 1);
      e.end = e.first + n;
    }
  RC_ASSERT (fleet.settle () < 50);
  RC_ASSERT (fleet.fits ());
  for (const char *d : { "one", "two", "three" })
    RC_ASSERT (fleet.tokens (d) > 0);
}

/* Engines that state any layers, as entries of other writers may, or as they
   are after a configuration of another model.  The plan read and wrote past
   the end of its arrays.  */
RC_GTEST_PROP (LayerPlanProperty, LayersThatModelDoesNotHaveCountAsNone, ())
{
  Service service;
  std::vector<mq_layer_holder> holders;
  mq_layer_plan plan;
  GArray *orders = g_array_new (FALSE, FALSE, sizeof (mq_layer_order));
  auto any = rc::gen::oneOf (rc::gen::inRange (0u, chain::layers + 2),
                             rc::gen::arbitrary<unsigned> ());

  for (unsigned n = *rc::gen::inRange (1u, 12u); n > 0; n--)
    {
      mq_layer_holder h = {};

      h.domain = MQ_SPAN ("one");
      h.card = service.card_named (
          *rc::gen::element<std::string> ("h100", "a100s", "l4"));
      h.first = *any;
      h.end = *any;
      h.fixed = *rc::gen::arbitrary<bool> ();
      holders.push_back (h);
    }
  mq_layer_plan_init (&plan);
  for (uint64_t now_us : { 1000000, 9000000 })
    mq_layer_plan_compute (&plan, service.model (), holders.data (),
                           holders.size (), now_us, orders);
  for (guint i = 0; i < orders->len; i++)
    {
      const mq_layer_order &o = g_array_index (orders, mq_layer_order, i);

      RC_ASSERT (o.first < o.end);
      RC_ASSERT (o.end <= chain::layers);
    }
  g_array_unref (orders);
  mq_layer_plan_finish (&plan);
}
