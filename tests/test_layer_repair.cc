/* Repair of a failure domain while engines leave it, simulated in virtual
   time: for how long it has no whole chain, and how many tokens its chain
   holds.  */

#include "support/repair_sim.h"

#include <gtest/gtest.h>

#include <cstdio>

using repair::Domain;
using repair::Engine;
using repair::s;

namespace
{

void
print (const char *name, const Domain &d)
{
  printf (
      "%s: %.1f s without a chain, %.0f tokens on the average, %u orders\n",
      name, (double)d.chainless_us / s, d.mean_tokens (), d.orders);
}

/* Domains with much and with little memory on fast cards.  */
void
fill_large (Domain &d)
{
  d.add ("a100s", 2);
  d.add ("l4", 4);
  d.add ("t4", 7);
  d.settle ();
}

void
fill_small (Domain &d)
{
  d.add ("a100s", 1);
  d.add ("l4", 8);
  d.add ("t4", 3);
  d.settle ();
}

/* Replace the engines of D with these NUMBERS, one a second.  */
void
replace_in_turn (Domain &d, const std::vector<unsigned> &numbers)
{
  uint64_t at = d.now;

  for (unsigned n : numbers)
    {
      d.schedule (at, [&d, n] { d.replace (d.number (n)); });
      at += s;
    }
}

} // namespace

/* A planned release replaces seven engines, one a second.  Engines in use must
   not release the last copies of layers for orders that are not confirmed, nor
   fill a gap shortly before the successor joins.  */
TEST (LayerRepair, RollingReplacementOfOneEnginePerSecond)
{
  Domain d;

  fill_large (d);
  replace_in_turn (d, { 7, 1, 3, 5, 9, 2, 4 });
  d.run (30 * s);
  print ("release", d);
  EXPECT_LE (d.chainless_us, 7.5 * s);
  EXPECT_GE (d.mean_tokens (), 60000);
}

TEST (LayerRepair, RollingReplacementInDomainWithLessMemory)
{
  Domain d;

  fill_small (d);
  replace_in_turn (d, { 7, 1, 3, 6, 9, 2, 5 });
  d.run (30 * s);
  print ("release", d);
  EXPECT_LE (d.chainless_us, 7 * s);
  EXPECT_GE (d.mean_tokens (), 95000);
}

/* The fastest card leaves, small ones replace it, and larger ones join later.
   These must not become mere second copies while the small ones bound the
   chain.  */
TEST (LayerRepair, LargeCardsTakeOverFromSmallOnes)
{
  Domain d;

  d.add ("h100", 1);
  d.add ("a100s", 1);
  d.add ("l4", 5);
  d.add ("t4", 7);
  d.settle ();
  d.drain (d.number (1));
  d.run (6 * s);
  d.add ("a100s", 3);
  d.run (6 * s);
  d.tokens_sum = 0;
  d.ticks = 0;
  d.run (s);
  print ("large cards", d);
  EXPECT_GE (d.mean_tokens (), 120000);
  EXPECT_EQ (d.chainless_us, 0u);
}

/* One engine leaves, then one is replaced.  The layers must not all be
   reassigned shortly before the successor joins.  */
TEST (LayerRepair, DrainFollowedByReplacement)
{
  Domain d;

  fill_small (d);
  d.schedule (d.now, [&d] { d.drain (d.holder (5)); });
  d.schedule (d.now + 12 * s, [&d] { d.replace (d.holder (50)); });
  d.run (30 * s);
  print ("loss and release", d);
  EXPECT_LE (d.chainless_us, 3 * s);
}

/* Three engines drain at once and none joins.  */
TEST (LayerRepair, ThreeEnginesDrainAtOnce)
{
  for (auto fill : { fill_large, fill_small })
    {
      Domain d;

      fill (d);
      for (unsigned l : { 15, 40, 66 })
        d.schedule (d.now, [&d, l] { d.drain (d.holder (l)); });
      d.run (30 * s);
      print ("three leave", d);
      EXPECT_LE (d.chainless_us, 8 * s);
      EXPECT_GE (d.mean_tokens (), 40000);
    }
}

/* Engines crash or are replaced one after the other.  */
TEST (LayerRepair, CrashesAndReplacementsInTurn)
{
  for (auto fill : { fill_large, fill_small })
    {
      Domain d;

      fill (d);
      d.schedule (d.now, [&d] { d.crash (d.holder (5)); });
      d.schedule (d.now + 5 * s, [&d] { d.replace (d.holder (30)); });
      d.schedule (d.now + 6 * s, [&d] { d.replace (d.holder (45)); });
      d.schedule (d.now + 9 * s, [&d] { d.crash (d.holder (70)); });
      d.run (30 * s);
      print ("in turn", d);
      EXPECT_LE (d.chainless_us, 11 * s);
      EXPECT_GE (d.mean_tokens (), 45000);
    }
}
