/* Ownership: equal views give equal owners, and a member that joins or leaves
   moves as few names as possible.  */

#include "fleet_sim.h"

#include <gtest/gtest.h>

using namespace fleet_sim;

namespace
{

constexpr int NAMES = 1000;

std::string
name (int i)
{
  return "organisation-" + std::to_string (i);
}

std::vector<std::string>
owners (Sim &sim, int node)
{
  std::vector<std::string> result;

  for (int i = 0; i < NAMES; i++)
    result.push_back (sim.owner (node, MQ_OWNED_ORGANISATION, name (i)));
  return result;
}

void
settle (Sim &sim, int n)
{
  for (int i = 0; i < n; i++)
    sim.add ();
  sim.deliver_list ();
  sim.run (20 * S);
}

} // namespace

TEST (Ownership, AllRoutersComputeTheSameOwners)
{
  Sim sim;
  std::vector<std::string> first;

  settle (sim, 7);
  first = owners (sim, 0);
  for (int i = 1; i < 7; i++)
    EXPECT_EQ (owners (sim, i), first) << i;
}

TEST (Ownership, IsSpreadEvenly)
{
  Sim sim;
  std::map<std::string, int> counts;

  settle (sim, 7);
  for (const std::string &o : owners (sim, 0))
    counts[o]++;
  ASSERT_EQ (counts.size (), 7u);
  for (auto &c : counts)
    {
      EXPECT_GT (c.second, NAMES / 7 * 3 / 4) << c.first;
      EXPECT_LT (c.second, NAMES / 7 * 5 / 4) << c.first;
    }
}

TEST (Ownership, DeathMovesOnlyNamesOfTheDeadOwner)
{
  Sim sim;
  std::vector<std::string> before;
  std::vector<std::string> after;

  settle (sim, 7);
  before = owners (sim, 0);
  sim.kill (3);
  sim.run (5 * S);
  after = owners (sim, 0);
  for (int i = 0; i < NAMES; i++)
    {
      EXPECT_NE (after[i], "vm-003");
      if (before[i] != "vm-003")
        {
          EXPECT_EQ (after[i], before[i]);
        }
    }
}

TEST (Ownership, NewRouterMovesNamesOnlyToItself)
{
  Sim sim;
  std::vector<std::string> before;
  std::vector<std::string> after;

  settle (sim, 6);
  before = owners (sim, 0);
  sim.add ();
  sim.deliver_list ();
  sim.run (10 * S);
  after = owners (sim, 0);
  for (int i = 0; i < NAMES; i++)
    EXPECT_TRUE (after[i] == before[i] || after[i] == "vm-006") << i;
}

TEST (Ownership, LeavingOwnsNothing)
{
  Sim sim;

  settle (sim, 4);
  sim.leave (1);
  sim.run (1 * S);
  for (int i = 0; i < 4; i++)
    for (const std::string &o : owners (sim, i))
      EXPECT_NE (o, "vm-001");
}

TEST (Ownership, KindsAreOwnedIndependently)
{
  Sim sim;
  int same = 0;

  settle (sim, 7);
  for (int i = 0; i < NAMES; i++)
    same += sim.owner (0, MQ_OWNED_MODEL, name (i))
            == sim.owner (0, MQ_OWNED_ORGANISATION, name (i));
  EXPECT_LT (same, NAMES / 4);
}

TEST (Ownership, RefreshReportsEachChangeOnce)
{
  Sim sim;
  mq_ownership *o = mq_ownership_new ();
  GArray *changes = g_array_new (FALSE, FALSE, sizeof (mq_owner_change));
  std::vector<std::string> before;
  guint moved = 0;

  settle (sim, 7);
  before = owners (sim, 0);
  for (int i = 0; i < 100; i++)
    {
      std::string n = name (i);

      mq_ownership_add (o, sim.nodes[0].fleet, MQ_OWNED_ORGANISATION,
                        span (n));
      moved += before[i] == "vm-003";
    }
  sim.kill (3);
  sim.run (5 * S);
  mq_ownership_refresh (o, sim.nodes[0].fleet, changes);
  ASSERT_EQ (changes->len, moved);
  for (guint i = 0; i < changes->len; i++)
    EXPECT_EQ (g_array_index (changes, mq_owner_change, i).from,
               sim.nodes[3].incarnation);
  g_array_set_size (changes, 0);
  mq_ownership_refresh (o, sim.nodes[0].fleet, changes);
  EXPECT_EQ (changes->len, 0u);
  g_array_unref (changes);
  mq_ownership_free (o);
}

/* A new owner must know since when it owns a name, so that it can wait for the
   expiry of its predecessor's grants.  */
TEST (Ownership, OwnerSinceIsTheTimeOfTheTakeover)
{
  Sim sim;
  std::vector<std::string> before;
  uint64_t killed;

  settle (sim, 7);
  before = owners (sim, 0);
  killed = sim.now;
  sim.kill (3);
  sim.run (5 * S);
  for (int i = 0; i < NAMES; i++)
    {
      std::string n = name (i);
      std::string owner = sim.owner (0, MQ_OWNED_ORGANISATION, n);
      int node = atoi (owner.c_str () + 3);
      uint64_t since = mq_fleet_owner_since (sim.nodes[node].fleet,
                                             MQ_OWNED_ORGANISATION, span (n));

      EXPECT_EQ (since > killed, before[i] == "vm-003") << i;
    }
}
