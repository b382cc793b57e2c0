/* Discovery: which entries are listed, in which order, for how long.  */

#include "fleet_sim.h"

#include <gtest/gtest.h>

using namespace fleet_sim;

namespace
{

void
settle (Sim &sim, int n)
{
  for (int i = 0; i < n; i++)
    sim.add ();
  sim.deliver_list ();
  sim.run (20 * S);
}

/* Returns the names of the VMs in the order of the reply.  */
std::vector<std::string>
entry_names (Sim &sim, uint64_t caller,
             const std::string &organisation = "any", double share = 1,
             const std::string &domain = "")
{
  mq_discovery a = {};
  mq_discovery_reply reply;
  std::vector<std::string> names;

  a.organisation = span (organisation);
  a.organisation_share = share;
  a.failure_domain = span (domain);
  a.caller = caller;
  a.ttl_ms = 5000;
  mq_discovery_reply_fill (&reply, sim.nodes[0].fleet, &a);
  for (uint32_t i = 0; i < reply.n; i++)
    names.push_back (text (mq_str_span (reply.entries[i].vm)));
  return names;
}

std::map<std::string, int>
first_choices (Sim &sim, int callers)
{
  std::map<std::string, int> counts;

  for (int c = 0; c < callers; c++)
    counts[entry_names (sim, mq_hash_mix (7, c))[0]]++;
  return counts;
}

} // namespace

TEST (Discovery, SpreadsClientsEvenly)
{
  Sim sim;

  settle (sim, 7);
  for (auto &c : first_choices (sim, 7000))
    {
      EXPECT_GT (c.second, 850) << c.first;
      EXPECT_LT (c.second, 1150) << c.first;
    }
}

TEST (Discovery, LoadedEntryComesFirstLessOften)
{
  Sim sim;
  std::map<std::string, int> counts;

  settle (sim, 4);
  sim.set_self (1, 900, 1);
  sim.run (5 * S);
  counts = first_choices (sim, 3100);
  EXPECT_LT (counts["vm-001"], 150);
  EXPECT_GT (counts["vm-001"], 50);
  EXPECT_GT (counts["vm-002"], 850);
}

TEST (Discovery, PrefersTheClientsFailureDomain)
{
  Sim sim;
  int near = 0;

  settle (sim, 6);
  for (int c = 0; c < 1000; c++)
    {
      std::string first
          = entry_names (sim, mq_hash_mix (3, c), "any", 1, "r1-d1")[0];

      near += first == "vm-001" || first == "vm-004";
    }
  EXPECT_GT (near, 600);
  EXPECT_LT (near, 750);
}

TEST (Discovery, OrderIsStableForOneClient)
{
  Sim sim;

  settle (sim, 7);
  EXPECT_EQ (entry_names (sim, 42), entry_names (sim, 42));
}

/* The clients of a dead VM must not herd on one other.  */
TEST (Discovery, ClientsOfADeadVmSpreadOverTheOthers)
{
  Sim sim;
  std::vector<uint64_t> moved;
  std::map<std::string, int> counts;

  settle (sim, 7);
  for (uint64_t c = 0; moved.size () < 100; c++)
    if (entry_names (sim, mq_hash_mix (11, c))[0] == "vm-003")
      moved.push_back (mq_hash_mix (11, c));
  /* Before the death is detected, each uses its second entry.  */
  for (uint64_t c : moved)
    counts[entry_names (sim, c)[1]]++;
  EXPECT_EQ (counts.size (), 6u);
  for (auto &c : counts)
    EXPECT_LE (c.second, 34) << c.first;
  /* The same with new replies after the detection.  */
  sim.kill (3);
  sim.run (5 * S);
  counts.clear ();
  for (uint64_t c : moved)
    counts[entry_names (sim, c)[0]]++;
  EXPECT_EQ (counts.size (), 6u);
  for (auto &c : counts)
    EXPECT_LE (c.second, 34) << c.first;
}

TEST (Discovery, SmallOrganisationsUseDifferentSubsets)
{
  Sim sim;
  std::map<std::string, int> counts;

  settle (sim, 33);
  for (int o = 0; o < 300; o++)
    {
      std::string organisation = "small-" + std::to_string (o);
      std::map<std::string, int> used;

      for (uint64_t c = 0; c < 10; c++)
        for (const std::string &vm :
             entry_names (sim, mq_hash_mix (c, o), organisation, 0.001))
          used[vm]++;
      EXPECT_EQ (used.size (), 8u);
      counts[entry_names (sim, mq_hash_mix (1, o), organisation, 0.001)[0]]++;
    }
  EXPECT_EQ (counts.size (), 33u);
  for (auto &c : counts)
    EXPECT_LT (c.second, 30) << c.first;
}

TEST (Discovery, LargeOrganisationUsesMoreEntries)
{
  Sim sim;
  std::map<std::string, int> used;

  settle (sim, 33);
  for (uint64_t c = 0; c < 400; c++)
    used[entry_names (sim, mq_hash_mix (c, 5), "large", 0.4)[0]]++;
  EXPECT_EQ (used.size (), 27u);
}

TEST (Discovery, TimeToLiveHasJitter)
{
  Sim sim;
  uint32_t low = UINT32_MAX;
  uint32_t high = 0;

  settle (sim, 2);
  for (uint64_t c = 0; c < 200; c++)
    {
      mq_discovery a = {};
      mq_discovery_reply reply;

      a.caller = c;
      a.ttl_ms = 5000;
      mq_discovery_reply_fill (&reply, sim.nodes[0].fleet, &a);
      low = std::min (low, reply.ttl_ms);
      high = std::max (high, reply.ttl_ms);
    }
  EXPECT_GE (low, 4000u);
  EXPECT_LT (low, 4200u);
  EXPECT_LE (high, 5000u);
  EXPECT_GT (high, 4800u);
}

TEST (Discovery, LeavingRouterListsTheOthersOnly)
{
  Sim sim;

  settle (sim, 3);
  sim.leave (0);
  for (uint64_t c = 0; c < 50; c++)
    for (const std::string &vm : entry_names (sim, c))
      EXPECT_NE (vm, "vm-000");
  EXPECT_EQ (entry_names (sim, 1).size (), 2u);
}
