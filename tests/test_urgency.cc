/* Urgency levels from the configuration.  */

#include <mq/routing.h>

#include <gtest/gtest.h>

namespace
{

class Urgency : public ::testing::Test
{
protected:
  Urgency ()
  {
    for (const char *name : { "model", "other" })
      {
        mq_route_service s = {};

        s.name = mq_str_new (mq_span_from (name));
        g_array_append_val (routing->services, s);
      }
  }

  ~Urgency () override { mq_routing_unref (routing); }

  void
  route (unsigned priority, unsigned service = 0, bool anonymous = false,
         unsigned weight = 1)
  {
    mq_route r = {};
    mq_route_share share = { service, weight };

    r.host = mq_str_new (MQ_SPAN ("x"));
    r.prefix = mq_str_new (MQ_SPAN ("/"));
    r.priority = priority;
    r.anonymous = anonymous;
    r.shares = g_array_new (FALSE, FALSE, sizeof (mq_route_share));
    g_array_append_val (r.shares, share);
    g_array_append_val (routing->routes, r);
  }

  void
  organisation (int priority)
  {
    mq_route_organisation o = {};

    o.keys = g_ptr_array_new ();
    o.has_priority = priority >= 0;
    o.priority = priority >= 0 ? (unsigned)priority : 0;
    g_array_append_val (routing->organisations, o);
  }

  const mq_urgency &
  urgency (unsigned service = 0)
  {
    return g_array_index (routing->services, mq_route_service, service)
        .urgency;
  }

  /* The level of the route with index R for the organisation with index O, or
     for an anonymous client.  */
  int
  level (unsigned r, int o = -1)
  {
    return mq_urgency_level (
        &urgency (), &g_array_index (routing->routes, mq_route, r),
        o < 0 ? nullptr
              : &g_array_index (routing->organisations, mq_route_organisation,
                                (unsigned)o));
  }

  mq_routing *routing = mq_routing_new (7);
};

} // namespace

/* Guards against a change for deployments whose organisations alone have
   different priorities.  */
TEST_F (Urgency, NotInForceWhereRoutesOfServiceHaveEqualPriorities)
{
  route (3);
  route (3);
  route (5, 1); /* Another service's.  */
  route (7, 0, false, 0);
  organisation (0);
  organisation (1);
  mq_routing_seal (routing);
  EXPECT_EQ (urgency (0).n, 0u);
  EXPECT_EQ (urgency (1).n, 0u);
  EXPECT_EQ (level (0, 1), MQ_URGENCY_NONE);
}

TEST_F (Urgency, LevelsFollowRoutesWithoutOrganisations)
{
  for (unsigned p : { 20u, 0u, 1000u, 20u })
    route (p);
  mq_routing_seal (routing);
  EXPECT_EQ (urgency ().n, 3u);
  EXPECT_EQ (level (1), 0);
  EXPECT_EQ (level (0), 1);
  EXPECT_EQ (level (3), 1);
  EXPECT_EQ (level (2), 2);
}

TEST_F (Urgency, OrganisationsPriorityPrecedesThatOfRoute)
{
  route (0);
  route (2);
  organisation (1);
  organisation (0);
  organisation (-1);
  mq_routing_seal (routing);
  /* (0,0), (0,2), (1,0), (1,2), (2,2).  */
  EXPECT_EQ (urgency ().n, 5u);
  EXPECT_EQ (level (0, 1), 0);
  EXPECT_EQ (level (0, 2), 0) << "the priority of its route";
  EXPECT_EQ (level (1, 1), 1);
  EXPECT_EQ (level (0, 0), 2);
  EXPECT_EQ (level (1, 0), 3);
  EXPECT_EQ (level (1, 2), 4);
}

/* Only pairs that can occur count: with keys, anonymous clients are served
   only by routes that allow them.  */
TEST_F (Urgency, AnonymousClientsCountWhereTheyAreServed)
{
  route (1);
  route (2, 0, true);
  organisation (0);
  mq_routing_seal (routing);
  EXPECT_EQ (urgency ().n, 3u); /* (0,1), (0,2), (2,2).  */
  EXPECT_EQ (level (1), 2);
}

TEST_F (Urgency, TenthAndLaterPairsShareLastLevel)
{
  for (unsigned p = 14; p > 0; p--)
    route (p);
  mq_routing_seal (routing);
  EXPECT_EQ (urgency ().n, (unsigned)MQ_URGENCY_LEVELS);
  EXPECT_EQ (level (13), 0);
  EXPECT_EQ (level (5), 8);
  for (unsigned r = 0; r <= 4; r++)
    EXPECT_EQ (level (r), 9);
}
