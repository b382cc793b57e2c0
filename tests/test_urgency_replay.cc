/* Deployment A's load in virtual time: three routes with priorities 0, 1 and
   2, a burst of the least urgent one (2.1 times its rate for 5.5 s), 3 s later
   one of the most urgent (1.7 times for 3.5 s), and too little memory.  The
   table that the tests print shows, for each route and by number, the shares
   that were served in time and that were lost, of the requests that arrived
   during the bursts, and for the whole run the share in time and the credit.
 */

#include "support/urgency_sim.h"

#include <gtest/gtest.h>

#include <cstdio>

using namespace urgency_sim;

namespace
{

constexpr unsigned seeds = 4;

/* The levels of three routes with PRIORITIES, for organisations of which some
   have a priority as in earlier deployments if WITH_ORGANISATIONS.  */
std::array<int, 3>
levels_of (std::array<unsigned, 3> priorities, bool with_organisations = false)
{
  mq_routing *routing = mq_routing_new (1);
  mq_route_service service = {};
  std::array<int, 3> levels;

  service.name = mq_str_new (MQ_SPAN ("model"));
  g_array_append_val (routing->services, service);
  for (unsigned p : priorities)
    {
      mq_route r = {};
      mq_route_share share = { 0, 1 };

      r.host = mq_str_new (MQ_SPAN ("x"));
      r.prefix = mq_str_new (MQ_SPAN ("/"));
      r.priority = p;
      r.shares = g_array_new (FALSE, FALSE, sizeof (mq_route_share));
      g_array_append_val (r.shares, share);
      g_array_append_val (routing->routes, r);
    }
  for (unsigned p = 0; with_organisations && p < 2; p++)
    {
      mq_route_organisation o = {};

      o.keys = g_ptr_array_new ();
      o.has_priority = true;
      o.priority = p;
      g_array_append_val (routing->organisations, o);
    }
  mq_routing_seal (routing);
  for (unsigned i = 0; i < 3; i++)
    levels[i] = mq_urgency_level (
        &g_array_index (routing->services, mq_route_service, 0).urgency,
        &g_array_index (routing->routes, mq_route, i),
        with_organisations ? &g_array_index (routing->organisations,
                                             mq_route_organisation, i % 2)
                           : nullptr);
  mq_routing_unref (routing);
  return levels;
}

const std::array<int, 3> none
    = { MQ_URGENCY_NONE, MQ_URGENCY_NONE, MQ_URGENCY_NONE };

Load
load (unsigned routers, double fill)
{
  return {
    routers, 253, fill, { { 2, 10, 15.5, 2.1 }, { 0, 18.5, 22, 1.7 } }, 30
  };
}

Result
mean (const Load &load, const Policy &policy)
{
  Result sum;

  for (unsigned seed = 1; seed <= seeds; seed++)
    {
      Result r = Sim (load, policy, seed).run ();

      for (size_t i = 0; i < 3; i++)
        {
          sum.all[i].add (r.all[i]);
          sum.burst[i].add (r.burst[i]);
        }
      sum.cancelled += r.cancelled;
    }
  return sum;
}

/* The credit of all routes, where the value of a request is 4, 2 and 1.  */
double
credit (const Result &r)
{
  double got = 0, all = 0;
  double value = 4;

  for (auto &c : r.all)
    {
      got += value * c.credit () * c.requests;
      all += value * c.requests;
      value /= 2;
    }
  return got / all;
}

void
print (const char *name, const Load &load, const Result &r)
{
  printf ("%2u routers, fill %.2f, %-16s", load.routers, load.fill, name);
  for (auto &c : r.burst)
    printf (" %.3f/%.3f", c.in_time_share (), c.lost / c.requests);
  double in_time = 0, requests = 0;
  for (auto &c : r.all)
    {
      in_time += c.in_time;
      requests += c.requests;
    }
  printf (" all in time %.3f credit %.3f cancelled %u\n", in_time / requests,
          credit (r), r.cancelled / seeds);
}

} // namespace

TEST (UrgencyReplay, NoLevelIsServedWorseThanLessUrgentOne)
{
  Policy with = { levels_of ({ 0, 1, 2 }) };

  for (unsigned routers : { 1u, 7u, 82u })
    for (double fill : { 0.8, 0.95, 1.1 })
      {
        Load l = load (routers, fill);
        Result before = mean (l, { none });
        Result after = mean (l, with);

        print ("without levels", l, before);
        print ("with levels", l, after);
        for (size_t i = 0; i < 2; i++)
          EXPECT_GE (after.burst[i].in_time_share (),
                     after.burst[i + 1].in_time_share () * 0.95);
        EXPECT_GT (after.burst[0].in_time_share (), 0.9);
        EXPECT_GE (credit (after), credit (before));
      }
}

/* Guards against levels that starve the least urgent route.  */
TEST (UrgencyReplay, LeastUrgentLevelIsServedInLongShortage)
{
  Result r = mean ({ 82, 253, 1.3, {}, 60 }, { levels_of ({ 0, 1, 2 }) });

  EXPECT_GT (r.all[2].in_time_share () + r.all[2].late / r.all[2].requests,
             0.25);
}

TEST (UrgencyReplay, EqualPrioritiesGetSameDecisionsAsBefore)
{
  Policy equal = { levels_of ({ 1, 1, 1 }, true) };

  EXPECT_EQ (equal.levels, none);
  for (unsigned routers : { 1u, 82u })
    for (unsigned seed = 1; seed <= seeds; seed++)
      {
        Load l = load (routers, 0.95);
        uint64_t before = Sim (l, { none }, seed).run ().decisions;

        EXPECT_EQ (Sim (l, equal, seed).run ().decisions, before);
        EXPECT_NE (Sim (l, { levels_of ({ 0, 1, 2 }) }, seed).run ().decisions,
                   before)
            << "the replay must be sensitive to levels";
      }
}

/* The decision not to cancel streams of the least urgent level for urgent
   requests (docs/design/hard-load-urgency.md): with levels it does not raise
   the credit, although each cancelled stream costs a retry.  */
TEST (UrgencyReplay, CancellingLeastUrgentStreamsDoesNotPay)
{
  for (unsigned routers : { 1u, 7u, 82u })
    for (double fill : { 0.95, 1.1 })
      {
        Load l = load (routers, fill);
        Result with = mean (l, { levels_of ({ 0, 1, 2 }) });
        Result cancel = mean (l, { levels_of ({ 0, 1, 2 }), true, true });

        print ("with levels", l, with);
        print ("and cancelling", l, cancel);
        EXPECT_LT (credit (cancel), credit (with) + 0.005);
      }
}
