/* What a starting router knows of a service, in virtual time.  */

#include <mq/service_view.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace
{

constexpr uint64_t ms = 1000;

/* A router that started at 1 s and read a list at 2 s, after an outage of the
   store.  */
constexpr mq_view_facts after_outage
    = { 1000 * ms, 2000 * ms, MQ_VIEW_SOURCE_STORE, 2000 * ms, false };
/* The same without an outage.  */
constexpr mq_view_facts after_restart
    = { 1000 * ms, 2000 * ms, MQ_VIEW_SOURCE_STORE, 0, false };

mq_service_view
decide (const mq_view_facts &view, const mq_service_facts &service,
        uint64_t now_ms)
{
  return mq_service_view_decide (&view, &service, now_ms * ms);
}

constexpr mq_service_facts chain = { true, false, true, true };
constexpr mq_service_facts part = { true, false, false, false };
constexpr mq_service_facts empty_engines = { true, true, false, false };
constexpr mq_service_facts lost = { true, false, false, true };
constexpr mq_service_facts no_instance = { false, false, false, false };

} // namespace

/* Guards against rejecting requests because the first list after a power
   failure holds only some engines.  */
TEST (ServiceView, ListWithoutChainIsUnknownUntilItSettles)
{
  mq_service_view v = decide (after_outage, part, 2100);

  EXPECT_EQ (v.state, MQ_SERVICE_VIEW_UNKNOWN);
  EXPECT_EQ (v.age_us, 100 * ms);
  EXPECT_EQ (v.expected_us, 2400 * ms);
  EXPECT_EQ (decide (after_outage, part, 4499).state, MQ_SERVICE_VIEW_UNKNOWN);
  v = decide (after_outage, part, 4500);
  EXPECT_EQ (v.state, MQ_SERVICE_VIEW_UNAVAILABLE);
  EXPECT_EQ (v.expected_us, 0u);
  EXPECT_EQ (decide (after_outage, chain, 2100).state, MQ_SERVICE_VIEW_KNOWN);
}

/* Guards against a change for routers that are not starting: a service that
   was served before, and a later outage of the store.  */
TEST (ServiceView, SettledRouterBelievesItsList)
{
  mq_view_facts later = after_restart;

  later.store_recovered_us = 60000 * ms;
  EXPECT_EQ (decide (after_outage, lost, 2100).state,
             MQ_SERVICE_VIEW_UNAVAILABLE);
  EXPECT_EQ (decide (later, part, 60001).state, MQ_SERVICE_VIEW_UNAVAILABLE);
  EXPECT_EQ (decide (later, no_instance, 60001).state,
             MQ_SERVICE_VIEW_UNAVAILABLE);
  EXPECT_EQ (decide (later, chain, 60001).state, MQ_SERVICE_VIEW_KNOWN);
}

/* Guards against holding requests for a plain service that has no instance,
   and against rejecting them when its entries expired in an outage.  */
TEST (ServiceView, PlainServiceIsKnownWithTheList)
{
  EXPECT_EQ (decide (after_restart, no_instance, 2001).state,
             MQ_SERVICE_VIEW_UNAVAILABLE);
  EXPECT_EQ (decide (after_outage, no_instance, 2001).state,
             MQ_SERVICE_VIEW_UNKNOWN);
}

/* Guards against holding requests while a deployment starts for the first
   time, which takes longer than they may wait.  */
TEST (ServiceView, ModelThatNoEngineHoldsIsKnownWithTheList)
{
  EXPECT_EQ (decide (after_restart, empty_engines, 2001).state,
             MQ_SERVICE_VIEW_UNAVAILABLE);
  EXPECT_EQ (decide (after_outage, empty_engines, 2001).state,
             MQ_SERVICE_VIEW_UNKNOWN);
}

TEST (ServiceView, WithoutListIsUnknownHoweverLongTheStoreIsDown)
{
  mq_view_facts none = { 1000 * ms, 0, MQ_VIEW_SOURCE_NONE, 0, true };
  mq_service_view v = decide (none, part, 60000);

  EXPECT_EQ (v.state, MQ_SERVICE_VIEW_UNKNOWN);
  EXPECT_EQ (v.age_us, 0u);
  EXPECT_GT (v.expected_us, 0u);
}

/* A list of a peer may precede the recovery of the store, when entries are
   still missing.  */
TEST (ServiceView, RecoveryOfStoreSoonAfterTheListExtendsTheWait)
{
  mq_view_facts view = after_restart;

  view.source = MQ_VIEW_SOURCE_PEER;
  view.store_recovered_us = 3500 * ms;
  EXPECT_EQ (decide (view, part, 5900).state, MQ_SERVICE_VIEW_UNKNOWN);
  EXPECT_EQ (decide (view, part, 6000).state, MQ_SERVICE_VIEW_UNAVAILABLE);
}

/* Guards against holding a request until its client disconnects or until
   shortly before its deadline.  */
TEST (ServiceView, WaitIsBoundedByArrivalAndDeadline)
{
  EXPECT_EQ (mq_service_view_wait_until_us (5000 * ms, 0), 6600 * ms);
  EXPECT_EQ (mq_service_view_wait_until_us (5000 * ms, 15000 * ms), 6600 * ms);
  EXPECT_EQ (mq_service_view_wait_until_us (5000 * ms, 6600 * ms), 6200 * ms);
  EXPECT_EQ (mq_service_view_wait_until_us (5000 * ms, 5800 * ms), 5500 * ms);
  EXPECT_EQ (mq_service_view_wait_until_us (5000 * ms, 5200 * ms), 5000 * ms);
  EXPECT_EQ (mq_service_view_wait_until_us (5000 * ms, 4000 * ms), 5000 * ms);
}

/* Guards against memory that grows with the requests at a router that learns
   nothing.  */
TEST (ServiceView, NumberOfWaitingRequestsIsBounded)
{
  constexpr unsigned most = MQ_SERVICE_VIEW_MAX_WAITING;

  EXPECT_TRUE (mq_service_view_may_wait (10, most - 1, false, 9));
  EXPECT_FALSE (mq_service_view_may_wait (10, most, false, 9));
  EXPECT_TRUE (mq_service_view_may_wait (10, most, true, 9));
  EXPECT_FALSE (mq_service_view_may_wait (10, 1, true, 10));
}

TEST (ServiceView, RetryAfterFollowsTheExpectedTime)
{
  mq_service_view v = { MQ_SERVICE_VIEW_UNKNOWN, 0, 1000 * ms };

  EXPECT_EQ (mq_service_view_retry_after_ms (&v, 0), 1000u);
  EXPECT_EQ (mq_service_view_retry_after_ms (&v, UINT64_MAX), 1250u);
  v.expected_us = 1;
  EXPECT_EQ (mq_service_view_retry_after_ms (&v, 0), 200u);
}

/* Guards against unbounded calls to a store that is charged for, and against
   calls in a deployment whose engines hold nothing yet.  */
TEST (ServiceView, ReadsAgainAtMostThreeTimes)
{
  mq_service_view_reads reads = { 0 }, none = { 0 };
  std::vector<uint64_t> at;

  for (uint64_t now = 2000; now < 9000; now += 50)
    {
      if (mq_service_view_read_is_due (&reads, &after_outage, true, true, 0.,
                                       now * ms))
        at.push_back (now);
      EXPECT_FALSE (mq_service_view_read_is_due (&none, &after_outage, false,
                                                 true, 0., now * ms));
      EXPECT_FALSE (mq_service_view_read_is_due (&none, &after_outage, true,
                                                 false, 0., now * ms));
    }
  EXPECT_EQ (at, (std::vector<uint64_t>{ 2400, 2900, 3600 }));
  EXPECT_FALSE (mq_service_view_gather_is_short (&reads, &after_outage, true,
                                                 true, 3700 * ms));
}

TEST (ServiceView, GathersShortlyAtMostThreeTimesWhileUnknown)
{
  mq_service_view_reads reads = { 0 };
  unsigned n = 0;

  EXPECT_FALSE (mq_service_view_gather_is_short (&reads, &after_outage, false,
                                                 true, 2100 * ms));
  EXPECT_FALSE (mq_service_view_gather_is_short (&reads, &after_outage, true,
                                                 true, 4500 * ms));
  for (uint64_t now = 2100; now < 4000; now += 100)
    n += mq_service_view_gather_is_short (&reads, &after_outage, true, true,
                                          now * ms);
  EXPECT_EQ (n, 3u);
}

namespace
{

/* A replay of a power failure, without a network: ROUTERS read a first list
   100 to 300 ms after the store is back, engines register again until
   700 ms, and each router learns of the last one LEARNED_MS later.  A stream
   arrives at each router every 20 ms.  */
struct Replay
{
  unsigned sent = 0, rejected = 0, at_once = 0;
  uint64_t longest_ms = 0;

  /* SERVED_BEFORE: the routers were not restarted.  */
  explicit Replay (bool served_before, uint64_t learned_ms = 300,
                   unsigned routers = 32)
  {
    constexpr uint64_t back = 10000;

    for (uint64_t router = 0; router < routers; router++)
      {
        uint64_t list = back + 100 + router * 200 / routers;
        mq_view_facts view
            = { 9000 * ms, list * ms, MQ_VIEW_SOURCE_STORE, list * ms, false };

        for (uint64_t at = list; at < back + 3000; at += 20)
          arrive (view, served_before, at, back + 700 + learned_ms);
      }
  }

private:
  void
  arrive (const mq_view_facts &view, bool served_before, uint64_t at,
          uint64_t complete)
  {
    uint64_t until = mq_service_view_wait_until_us (at * ms, (at + 4000) * ms);

    for (uint64_t now = at;; now += 50)
      {
        mq_service_facts f = { true, false, now >= complete, served_before };
        mq_service_view v = mq_service_view_decide (&view, &f, now * ms);

        longest_ms = std::max (longest_ms, now - at);
        if (v.state == MQ_SERVICE_VIEW_KNOWN)
          {
            sent++;
            return;
          }
        if (v.state == MQ_SERVICE_VIEW_UNAVAILABLE
            || !mq_service_view_may_wait (until, 1, true, now * ms))
          {
            rejected++;
            at_once += now == at;
            return;
          }
      }
  }
};

} // namespace

TEST (ServiceView, ReplayOfPowerFailureLosesNoStream)
{
  for (unsigned routers : { 7u, 32u, 90u, 300u })
    {
      Replay starting (false, 300, routers);

      EXPECT_EQ (starting.rejected, 0u) << routers;
      EXPECT_GT (starting.sent, routers * 130u);
      EXPECT_LE (starting.longest_ms, 950u);
    }
}

/* Guards against a change for routers that do not start: the same replay is
   decided as it was without views, at once and for each request alike.  */
TEST (ServiceView, ReplayAtRoutersThatDoNotStartIsDecidedAtOnce)
{
  Replay settled (true);

  EXPECT_EQ (settled.longest_ms, 0u);
  EXPECT_EQ (settled.rejected, settled.at_once);
  EXPECT_GT (settled.rejected, 1000u);
}

/* Engines that come too late cost the streams that arrived first, each of them
   within the bound on the wait.  */
TEST (ServiceView, ReplayWithLateEnginesRejectsWithinBound)
{
  Replay late (false, 5000);

  EXPECT_EQ (late.sent, 0u);
  EXPECT_LE (late.longest_ms, MQ_SERVICE_VIEW_MAX_WAIT_US / ms);
}
