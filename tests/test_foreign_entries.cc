/* Entries of the list of engines that other writers put there, and engines
   whose entry outlives them.  Guards against orders to what is no engine, and
   against plans that count layers which nobody holds.  */

#include "support/gateway_fixture.h"

#include <algorithm>
#include <set>

using gateway::Answer;
using gateway::engine_members;
using gateway::entry_common;
using gateway::Upstream;

namespace
{

/* Nothing listens there.  */
const std::string dead_address = "127.0.0.1:9";

class ForeignEntry : public gateway::Fixture
{
protected:
  /* Three empty engines, each with memory for 57 of the model's layers.  */
  void
  add_engines ()
  {
    for (const char *id : { "eng-1", "eng-2", "eng-3" })
      {
        Upstream &u = add (id, "model", "one", "half");

        u.on_order = [this, &u] {
          held_.insert ({ u.first, u.end });
          write_entry (u);
        };
        u.serve = [&u] (mq_http_exchange *x) {
          u.begin (x);
          Upstream::events (x, 1, 3);
          mq_http_exchange_end (x);
        };
      }
    configure (1);
  }

  /* Returns true if the engines hold all layers of a model of LAYERS.  */
  bool
  is_covered (unsigned layers) const
  {
    unsigned end = 0;

    for (size_t i = 0; i < upstreams.size (); i++)
      for (auto &u : upstreams)
        if (u->first <= end && u->end <= layers)
          end = std::max (end, u->end);
    return end == layers;
  }

  /* The orders so far.  */
  std::multiset<std::pair<unsigned, unsigned> > held_;

  static std::string
  entry (const std::string &members)
  {
    return "{\"service\":\"model\",\"address\":\"" + dead_address
           + "\",\"zone\":\"one\",\"slots\":8,\"state\":\"ready\"" + members
           + "}";
  }
};

/* What another writer puts, by the member that is wrong.  */
const std::vector<std::pair<std::string, std::string> > foreign = {
  { "real", ",\"kind\":\"half\",\"layers\":{\"from\":70.0e9,"
            "\"target\":71.75e9}" },
  { "missing", ",\"kind\":\"half\",\"layers\":{\"from\":0,\"target\":80}" },
  { "without-layers", ",\"kind\":\"half\"" },
  { "beyond", entry_common + engine_members ("half", 5, 81) },
  { "far-beyond", entry_common + engine_members ("half", 0, 4000000000) },
  { "whole", entry_common + engine_members ("half", 0, 80) },
  { "part", entry_common + engine_members ("half", 0, 40) },
  { "empty", entry_common + engine_members ("half", 0, 0) },
};

class ForeignEntryOf : public ForeignEntry,
                       public ::testing::WithParamInterface<size_t>
{
};

} // namespace

/* One entry cost the whole service: orders went where nobody listens, and
   layers that it names were held by nobody.  The engines get the same orders
   as without it.  */
TEST_P (ForeignEntryOf, CostsNoOrderAndNoCover)
{
  static std::multiset<std::pair<unsigned, unsigned> > expected;

  if (expected.empty ())
    {
      add_engines ();
      start ();
      ASSERT_TRUE (until ([&] { return is_covered (80); }));
      wait (0.7);
      expected = held_;
      stop ();
      upstreams.clear ();
      held_.clear ();
    }
  add_engines ();
  start ();
  wait (0.5);
  store.put ("servers", "other-1", entry (foreign[GetParam ()].second));
  ASSERT_TRUE (until ([&] { return is_covered (80); }));
  wait (0.7);
  EXPECT_EQ (held_, expected);
  EXPECT_EQ (fetch ("POST", "/stream/1").status, 200u);
  std::string metrics = fetch ("GET", "/metrics", {}, "", metrics_port).body;
  EXPECT_NE (metrics.find ("marjoramquay_orders_total "
                           + std::to_string (expected.size ()) + "\n"),
             std::string::npos)
      << metrics;
}

/* The same where the chain is complete already.  */
TEST_P (ForeignEntryOf, CostsACompleteChainNothing)
{
  add_engines ();
  start ();
  ASSERT_TRUE (until ([&] { return is_covered (80); }));
  wait (0.7);
  auto expected = held_;
  store.put ("servers", "other-1", entry (foreign[GetParam ()].second));
  wait (0.7);
  EXPECT_EQ (held_, expected);
  for (unsigned i = 0; i < 5; i++)
    EXPECT_EQ (fetch ("POST", "/stream/1").status, 200u);
}

INSTANTIATE_TEST_SUITE_P (Members, ForeignEntryOf,
                          ::testing::Range<size_t> (0, foreign.size ()),
                          [] (const ::testing::TestParamInfo<size_t> &info) {
                            std::string name = foreign[info.param].first;

                            std::replace (name.begin (), name.end (), '-',
                                          '_');
                            return name;
                          });

/* An entry whose address is that of a sound engine: the engine is the one that
   its own entry names.  */
TEST_F (ForeignEntry, AtAddressOfAnEngineIsNoSecondEngine)
{
  add_engines ();
  for (auto &u : upstreams)
    u->born = 1000;
  for (auto &u : upstreams)
    write_entry (*u);
  std::string other = upstreams[0]->entry ();
  other.replace (other.find ("\"born\":1000"), 11, "\"born\":2000");
  store.put ("servers", "other-1", other);
  start ();
  ASSERT_TRUE (until ([&] { return is_covered (80); }));
  wait (0.7);
  EXPECT_EQ (held_.size (), 3u);
}

/* A configuration with a smaller model: layers that it does not have are not
   held, and the chain is completed with the engines that there are.  */
TEST_F (ForeignEntry, ConfigurationOfSmallerModelIsServed)
{
  add_engines ();
  start ();
  ASSERT_TRUE (until ([&] { return is_covered (80); }));
  wait (0.7);
  layers = 60;
  configure (2);
  ASSERT_TRUE (until ([&] { return is_covered (60); }));
  wait (0.3);
  EXPECT_EQ (fetch ("POST", "/stream/1").status, 200u);
}
