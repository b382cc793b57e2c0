/* Routes by host and longest prefix, weights of services, and keys.  */

#include <mq/routing.h>

#include <gtest/gtest.h>

#include <map>
#include <string>

namespace
{

class Routing : public ::testing::Test
{
protected:
  Routing ()
  {
    for (const char *name : { "a", "b" })
      {
        mq_route_service s = {};

        s.name = mq_str_new (mq_span_from (name));
        g_array_append_val (routing->services, s);
      }
  }

  ~Routing () override { mq_routing_unref (routing); }

  void
  route (const char *name, const char *host, const char *prefix,
         std::vector<mq_route_share> shares = { { 0, 1 } })
  {
    mq_route r = {};

    r.name = mq_str_new (mq_span_from (name));
    r.host = mq_str_new (mq_span_from (host));
    r.prefix = mq_str_new (mq_span_from (prefix));
    r.shares = g_array_new (FALSE, FALSE, sizeof (mq_route_share));
    g_array_append_vals (r.shares, shares.data (), shares.size ());
    g_array_append_val (routing->routes, r);
  }

  void
  organisation (const char *name, const char *key)
  {
    mq_route_organisation o = {};

    o.name = mq_str_new (mq_span_from (name));
    o.keys = g_ptr_array_new_with_free_func (
        reinterpret_cast<GDestroyNotify> (mq_str_unref));
    g_ptr_array_add (o.keys, mq_str_new (mq_span_from (key)));
    g_array_append_val (routing->organisations, o);
  }

  std::string
  match (const char *host, const char *path)
  {
    const mq_route *r
        = mq_routing_match (routing, mq_span_from (host), mq_span_from (path));

    return r == nullptr ? "" : r->name->data;
  }

  mq_routing *routing = mq_routing_new (7);
};

} // namespace

TEST_F (Routing, MatchesLongestPrefixOfHost)
{
  route ("short", "x.example", "/a/");
  route ("long", "x.example", "/a/b/");
  route ("other", "y.example", "/a/b/c/");
  mq_routing_seal (routing);
  EXPECT_EQ (match ("x.example", "/a/1"), "short");
  EXPECT_EQ (match ("x.example", "/a/b/c/1"), "long");
  EXPECT_EQ (match ("y.example", "/a/b/c/1"), "other");
  EXPECT_EQ (match ("x.example", "/b/"), "");
  EXPECT_EQ (match ("z.example", "/a/"), "");
  EXPECT_EQ (match ("x.example", "/a"), "") << "a prefix ends with a slash";
}

TEST_F (Routing, IgnoresCaseAndPortOfHost)
{
  route ("r", "x.example", "/");
  mq_routing_seal (routing);
  EXPECT_EQ (match ("X.Example:8080", "/"), "r");
  EXPECT_EQ (match ("", "/"), "");
}

TEST_F (Routing, ServicesAreChosenByWeight)
{
  std::map<std::string, int> n;

  route ("r", "x", "/", { { 0, 90 }, { 1, 10 } });
  mq_routing_seal (routing);
  const mq_route *r = mq_routing_match (routing, MQ_SPAN ("x"), MQ_SPAN ("/"));
  for (uint64_t random = 0; random < 1000; random++)
    n[mq_routing_choose_service (routing, r, random)->name->data]++;
  EXPECT_EQ (n["a"], 900);
  EXPECT_EQ (n["b"], 100);
}

TEST_F (Routing, ReturnsNoServiceWithoutWeight)
{
  route ("r", "x", "/", { { 0, 0 } });
  mq_routing_seal (routing);
  EXPECT_EQ (mq_routing_choose_service (
                 routing,
                 mq_routing_match (routing, MQ_SPAN ("x"), MQ_SPAN ("/")), 3),
             nullptr);
}

TEST_F (Routing, KeysBelongToTheirOrganisations)
{
  EXPECT_FALSE (mq_routing_has_keys (routing));
  organisation ("one", "k1");
  organisation ("two", "k2");
  mq_routing_seal (routing);
  EXPECT_TRUE (mq_routing_has_keys (routing));
  EXPECT_STREQ (
      mq_routing_find_organisation (routing, MQ_SPAN ("k2"))->name->data,
      "two");
  EXPECT_EQ (mq_routing_find_organisation (routing, MQ_SPAN ("k")), nullptr);
  EXPECT_EQ (mq_routing_find_organisation (routing, MQ_SPAN ("")), nullptr);
}
