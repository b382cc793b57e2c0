/* Paths through engines that hold layers: each layer is run once and in order.
 */

#include "support/chain_sim.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <set>

using chain::Engine;
using chain::Fleet;
using chain::Service;

namespace
{

class LayerPath : public ::testing::Test
{
protected:
  LayerPath () { mq_registry_init (&registry); }
  ~LayerPath () override
  {
    mq_layer_path_finish (&path);
    mq_registry_finish (&registry);
  }

  void
  put (const char *id, const char *card, unsigned first, unsigned end,
       const char *domain = "one")
  {
    Fleet::put (registry, { id, domain, card, first, end, false });
  }

  mq_upstream *
  at (const char *id)
  {
    return mq_registry_find (&registry, mq_span_from (id));
  }

  bool
  find (const char *domain = "one", uint64_t now_us = 1)
  {
    mq_layer_path_finish (&path);
    return mq_layer_path_find (&path, &registry, service.service (),
                               mq_span_from (domain), now_us, nullptr);
  }

  Service service;
  mq_registry registry;
  mq_layer_path path = {};
};

/* True when PATH runs each layer once and in order, on holders only.  */
bool
is_whole (const mq_layer_path &path)
{
  unsigned at = 0;

  for (unsigned i = 0; i < path.n; i++)
    {
      const mq_layer_stage &p = path.stages[i];

      if (p.first != at || p.end <= p.first
          || p.first < p.upstream->facts.layer_first
          || p.end > p.upstream->facts.layer_end)
        return false;
      for (unsigned k = 0; k < i; k++)
        if (path.stages[k].upstream == p.upstream)
          return false;
      at = p.end;
    }
  return at == chain::layers;
}

} // namespace

/* A path through one engine for each layer has the most memory, but more
   stages than a path can have.  */
TEST_F (LayerPath, FindsPathOfFewerStagesBesideTooLongOne)
{
  for (unsigned l = 0; l < chain::layers; l++)
    put (("one-" + std::to_string (l)).c_str (), "h100", l, l + 1);
  EXPECT_FALSE (find ());
  for (unsigned l = 0; l < chain::layers; l += 8)
    put (("eight-" + std::to_string (l)).c_str (), "l4", l, l + 8);
  ASSERT_TRUE (find ());
  EXPECT_TRUE (is_whole (path));
  EXPECT_EQ (path.n, 10u);
}

TEST_F (LayerPath, RunsEachLayerOnceAndInOrder)
{
  put ("b", "h100", 30, 55);
  put ("a", "h100", 0, 30);
  put ("c", "h100", 55, 80);
  ASSERT_TRUE (find ());
  EXPECT_TRUE (is_whole (path));
  EXPECT_EQ (path.n, 3u);
}

TEST_F (LayerPath, CutsOverlappingRanges)
{
  put ("a", "h100", 0, 30);
  put ("b", "h100", 20, 50);
  put ("c", "h100", 45, 80);
  ASSERT_TRUE (find ());
  EXPECT_TRUE (is_whole (path));
}

TEST_F (LayerPath, FindsNoPathOverGap)
{
  put ("a", "h100", 0, 30);
  put ("c", "h100", 31, 80);
  EXPECT_FALSE (find ());
}

TEST_F (LayerPath, StaysInOneDomain)
{
  put ("a", "h100", 0, 30);
  put ("b", "h100", 30, 80, "two");
  EXPECT_FALSE (find ());
  EXPECT_FALSE (find ("two"));
  EXPECT_TRUE (find (""));
}

TEST_F (LayerPath, ExcludesDrainingAndEjectedEngines)
{
  put ("a", "h100", 0, 80);
  mq_upstream_eject (at ("a"), 1, 100);
  EXPECT_FALSE (find ());
  EXPECT_TRUE (find ("one", 200));
  at ("a")->facts.draining = true;
  EXPECT_FALSE (find ("one", 200));
}

TEST_F (LayerPath, CapacityIsThatOfStageWithLeastMemory)
{
  put ("a", "h100", 0, 40);
  put ("b", "a100s", 40, 60);
  put ("c", "h100", 60, 80);
  ASSERT_TRUE (find ());
  EXPECT_NEAR (path.tokens, (36000 - 20 * 1750) / (0.59 / 80 * 20), 1);
}

/* An engine that releases layers keeps their memory until the requests that
   pass through them ended.  Counted as free, it would attract requests that
   then wait for memory.  */
TEST_F (LayerPath, ReleasedLayersStillTakeMemoryForAWhile)
{
  put ("a", "h100", 0, 40);
  put ("b", "h100", 40, 80);
  ASSERT_TRUE (find ());
  double before = path.tokens;
  put ("b", "h100", 50, 80);
  put ("c", "h100", 40, 50);
  ASSERT_TRUE (find ());
  EXPECT_LT (path.tokens, before * 1.5);
  ASSERT_TRUE (find ("one", 10 * 1000 * 1000));
  EXPECT_GE (path.tokens, before);
}

TEST_F (LayerPath, PrefersFasterCard)
{
  put ("slow", "l4", 0, 10);
  put ("fast", "h100", 0, 10);
  put ("rest", "h100", 10, 80);
  ASSERT_TRUE (find ());
  EXPECT_EQ (path.stages[0].upstream, at ("fast"));
}

/* A path with one stage more is better than one whose capacity is low.  */
TEST_F (LayerPath, PrefersMemoryOverFewerStages)
{
  put ("tight", "l4", 0, 11);
  put ("roomy-1", "l4", 0, 6);
  put ("roomy-2", "l4", 6, 11);
  put ("rest-1", "h100", 11, 34);
  put ("rest-2", "h100", 34, 57);
  put ("rest-3", "h100", 57, 80);
  ASSERT_TRUE (find ());
  EXPECT_TRUE (is_whole (path));
  EXPECT_EQ (path.stages[0].upstream, at ("roomy-1"));
  EXPECT_GT (path.tokens, 100000);
}

/* A slow engine holds each token for longer, so its memory serves fewer
   requests.  */
TEST_F (LayerPath, PrefersFastEngineOverSlowOneWithMoreMemory)
{
  put ("slow", "h100", 0, 10);
  put ("sound", "a100s", 0, 10);
  put ("rest", "h100", 10, 45);
  put ("last", "h100", 45, 80);
  mq_upstream_set_slowdown (at ("slow"), 12, 1);
  ASSERT_TRUE (find ());
  EXPECT_EQ (path.stages[0].upstream, at ("sound"));
}

/* With one path only, the slots of one head would bound the whole domain.  */
TEST_F (LayerPath, FindsTwoPathsWithoutCommonEngine)
{
  mq_layer_path paths[4];

  for (const char *chain : { "a", "b" })
    for (unsigned i = 0; i < 4; i++)
      put ((chain + std::to_string (i)).c_str (), "h100", i * 20, i * 20 + 20);
  ASSERT_EQ (mq_layer_path_find_all (paths, 4, &registry, service.service (),
                                     MQ_SPAN ("one"), 1),
             2u);
  EXPECT_TRUE (is_whole (paths[0]));
  EXPECT_TRUE (is_whole (paths[1]));
  EXPECT_STREQ (paths[0].stages[0].upstream->facts.id->data, "a0");
  EXPECT_STREQ (paths[1].stages[0].upstream->facts.id->data, "b0");
  for (unsigned i = 0; i < paths[0].n; i++)
    EXPECT_FALSE (mq_layer_path_has (&paths[1], paths[0].stages[i].upstream));
  for (mq_layer_path *p : { &paths[0], &paths[1] })
    mq_layer_path_finish (p);
}

TEST_F (LayerPath, TargetCountGrowsWithMemory)
{
  put ("a", "h100", 0, 20);
  EXPECT_EQ (mq_layer_path_target_count (&registry, service.service (),
                                         MQ_SPAN ("one")),
             1u);
  for (unsigned i = 0; i < 6; i++)
    put (("b" + std::to_string (i)).c_str (), "h100", 0, 20);
  EXPECT_EQ (mq_layer_path_target_count (&registry, service.service (),
                                         MQ_SPAN ("one")),
             2u);
}

TEST_F (LayerPath, IsUsableUntilAnEngineReleasesItsStage)
{
  put ("a", "h100", 0, 80);
  ASSERT_TRUE (find ());
  EXPECT_TRUE (mq_layer_path_is_usable (&path, 1));
  put ("a", "h100", 0, 70);
  EXPECT_FALSE (mq_layer_path_is_usable (&path, 1));
}

RC_GTEST_PROP (LayerPathProperty, AnyPathFoundIsWhole, ())
{
  Service service;
  mq_registry registry;
  mq_layer_path path;
  const std::vector<std::string> cards = { "h100", "a100s", "l4", "t4" };

  mq_registry_init (&registry);
  for (unsigned i = *rc::gen::inRange (1, 25); i > 0; i--)
    {
      unsigned first = *rc::gen::inRange (0u, chain::layers);
      unsigned end = *rc::gen::inRange (first, chain::layers + 1);

      Fleet::put (registry,
                  { "e" + std::to_string (i), "one",
                    *rc::gen::elementOf (cards), first, end, false });
    }
  if (mq_layer_path_find (&path, &registry, service.service (),
                          MQ_SPAN ("one"), 1, nullptr))
    RC_ASSERT (is_whole (path));
  else
    {
      /* Then some layer is held by no engine.  */
      bool held[chain::layers] = {};
      GHashTableIter i;
      gpointer value;
      bool all = true;

      g_hash_table_iter_init (&i, registry.by_id);
      while (g_hash_table_iter_next (&i, nullptr, &value))
        {
          const mq_upstream *u = static_cast<mq_upstream *> (value);

          for (unsigned l = u->facts.layer_first; l < u->facts.layer_end; l++)
            held[l] = true;
        }
      for (bool h : held)
        all = all && h;
      RC_ASSERT (!all);
    }
  mq_layer_path_finish (&path);
  mq_registry_finish (&registry);
}

/* If N engines hold each layer, there are N paths without a common engine.  */
RC_GTEST_PROP (LayerPathProperty, AnyCoverGivesAsManyPaths, ())
{
  Service service;
  mq_registry registry;
  std::vector<mq_layer_path> paths (6);
  std::vector<unsigned> cover (chain::layers);
  std::set<const mq_upstream *> seen;
  unsigned chains = *rc::gen::inRange (1, 5);
  unsigned serial = 0;
  size_t n;

  mq_registry_init (&registry);
  for (unsigned c = 0; c < chains; c++)
    for (unsigned at = 0; at < chain::layers;)
      {
        unsigned size = *rc::gen::inRange (3u, 30u);
        /* Ranges overlap in any way.  */
        unsigned first = at - *rc::gen::inRange (0u, std::min (at, 3u) + 1);
        unsigned end = std::min (at + size, chain::layers);

        Fleet::put (registry, { "e" + std::to_string (++serial), "one", "h100",
                                first, end });
        for (unsigned l = first; l < end; l++)
          cover[l]++;
        at = end;
      }
  n = mq_layer_path_find_all (paths.data (), paths.size (), &registry,
                              service.service (), MQ_SPAN ("one"), 1);
  RC_ASSERT (
      n
      == std::min<size_t> (*std::min_element (cover.begin (), cover.end ()),
                           paths.size ()));
  for (size_t i = 0; i < n; i++)
    {
      RC_ASSERT (is_whole (paths[i]));
      for (unsigned k = 0; k < paths[i].n; k++)
        RC_ASSERT (seen.insert (paths[i].stages[k].upstream).second);
      mq_layer_path_finish (&paths[i]);
    }
  mq_registry_finish (&registry);
}
