/* What becomes of a failure domain while engines leave it, in virtual time:
   how long it is without a whole chain, and how many tokens its chain holds.
   The cases are named for the day on which they were seen.  */

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
      name, (double)d.without_us / s, d.mean_tokens (), d.orders);
}

/* The first failure domain of the users' deployments, and the third.  */
void
fill_one (Domain &d)
{
  d.add ("a100s", 2);
  d.add ("l4", 4);
  d.add ("t4", 7);
  d.settle ();
}

void
fill_three (Domain &d)
{
  d.add ("a100s", 1);
  d.add ("l4", 8);
  d.add ("t4", 3);
  d.settle ();
}

/* Replace the engines of D that are numbered so, one a second.  */
void
release (Domain &d, const std::vector<unsigned> &numbers)
{
  uint64_t at = d.now;

  for (unsigned n : numbers)
    {
      d.at (at, [&d, n] { d.replace (d.number (n)); });
      at += s;
    }
}

} // namespace

/* halvorsen mix --seed 148490134079, 11 to 34 s: a planned release replaces
   seven engines of a domain, one a second.  What was only ordered counted as
   held, so that the engines in use let go of the last copies; and each gap was
   filled at once by engines in use, 0.1 s before the successor came.  Without
   a chain for 8.3 s, and 30,000 tokens on the average.  */
TEST (LayerRepair, AReleaseOfOneEngineASecond)
{
  Domain d;

  fill_one (d);
  release (d, { 7, 1, 3, 5, 9, 2, 4 });
  d.run (30 * s);
  print ("release", d);
  EXPECT_LE (d.without_us, 7.5 * s);
  EXPECT_GE (d.mean_tokens (), 60000);
}

TEST (LayerRepair, AReleaseOfOneEngineASecondInAPoorerDomain)
{
  Domain d;

  fill_three (d);
  release (d, { 7, 1, 3, 6, 9, 2, 5 });
  d.run (30 * s);
  print ("release", d);
  EXPECT_LE (d.without_us, 7 * s);
  EXPECT_GE (d.mean_tokens (), 95000);
}

/* The same day, 4 to 33 s: the fastest card leaves for good, small ones take
   its place, and larger ones come later.  They became second copies while the
   small ones bounded the chain at 88,000 tokens.  */
TEST (LayerRepair, LargeCardsThatComeTakeOverFromSmallOnes)
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
  EXPECT_EQ (d.without_us, 0u);
}

/* The same day, 2 to 30 s: one engine of the domain leaves for good, then one
   is replaced.  All layers were laid out anew 0.1 s before the successor came:
   without a chain for 8.1 s.  */
TEST (LayerRepair, ALossAndThenARelease)
{
  Domain d;

  fill_three (d);
  d.at (d.now, [&d] { d.drain (d.holder (5)); });
  d.at (d.now + 12 * s, [&d] { d.replace (d.holder (50)); });
  d.run (30 * s);
  print ("loss and release", d);
  EXPECT_LE (d.without_us, 3 * s);
}

/* tekle trouble-2: three engines drain at once, and none comes.  */
TEST (LayerRepair, ThreeLeaveAtOnce)
{
  for (auto fill : { fill_one, fill_three })
    {
      Domain d;

      fill (d);
      for (unsigned l : { 15, 40, 66 })
        d.at (d.now, [&d, l] { d.drain (d.holder (l)); });
      d.run (30 * s);
      print ("three leave", d);
      EXPECT_LE (d.without_us, 8 * s);
      EXPECT_GE (d.mean_tokens (), 40000);
    }
}

/* halvorsen scale-2: the fastest card is lost for good, then others in
   turn.  */
TEST (LayerRepair, LossesInTurn)
{
  for (auto fill : { fill_one, fill_three })
    {
      Domain d;

      fill (d);
      d.at (d.now, [&d] { d.lose (d.holder (5)); });
      d.at (d.now + 5 * s, [&d] { d.replace (d.holder (30)); });
      d.at (d.now + 6 * s, [&d] { d.replace (d.holder (45)); });
      d.at (d.now + 9 * s, [&d] { d.lose (d.holder (70)); });
      d.run (30 * s);
      print ("in turn", d);
      EXPECT_LE (d.without_us, 11 * s);
      EXPECT_GE (d.mean_tokens (), 45000);
    }
}
