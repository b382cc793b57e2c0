/* Which routers follow the store themselves.  */

#include <mq/follow.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include <string>

namespace
{

constexpr uint64_t s = 1000 * 1000;

mq_follow_view
relay (unsigned before, unsigned wanted)
{
  mq_follow_view v = {};

  v.relays = true;
  v.has_live_relay = true;
  v.store_reachable = true;
  v.relays_before = before;
  v.relays_wanted = wanted;
  return v;
}

mq_follow_view
non_relay (const std::string &name, bool store_reachable)
{
  mq_follow_view v = {};

  v.has_live_relay = true;
  v.store_reachable = store_reachable;
  v.relays_before = 3;
  v.relays_wanted = 1;
  v.name = { name.data (), name.size () };
  return v;
}

/* Runs FOLLOW from FROM to TO in ticks of 50 ms.  Returns when it changed, or
   0.  */
uint64_t
change_time (mq_follow *follow, const mq_follow_view &view, uint64_t from,
             uint64_t to)
{
  for (uint64_t now = from; now < to; now += s / 20)
    if (mq_follow_tick (follow, &view, now))
      return now;
  return 0;
}

} // namespace

TEST (Follow, FirstRelaysFollowAtOnce)
{
  mq_follow f = {};

  EXPECT_LE (change_time (&f, relay (1, 2), s, 2 * s), s + s / 2);
  EXPECT_TRUE (f.follows);
}

TEST (Follow, OtherRoutersDoNotFollow)
{
  mq_follow f = {};

  EXPECT_EQ (change_time (&f, relay (2, 2), s, 60 * s), 0u);
  EXPECT_EQ (change_time (&f, non_relay ("vm", true), s, 60 * s), 0u);
  EXPECT_FALSE (f.follows);
}

TEST (Follow, StopsOnlyAfterDelay)
{
  mq_follow f = { true, 0, 0 };
  mq_follow_view flicker = relay (2, 2), needed = relay (1, 2);

  EXPECT_EQ (change_time (&f, flicker, s, 3 * s), 0u);
  EXPECT_FALSE (mq_follow_tick (&f, &needed, 3 * s));
  EXPECT_EQ (change_time (&f, flicker, 3 * s, 5 * s), 0u);
  EXPECT_GT (change_time (&f, flicker, 5 * s, 9 * s), 0u);
}

/* The watch of a relay that follows may stall, which only the lag shows.  */
TEST (Follow, LaggingRelayFollows)
{
  mq_follow f = {};
  mq_follow_view v = relay (2, 2);

  v.lags = true;
  EXPECT_GT (change_time (&f, v, s, 2 * s), 0u);
}

/* The store may reject all relays but serve other routers.  One of these must
   be found soon, without a stampede.  */
TEST (Follow, OthersTryInTurnWhenNobodyReachesStore)
{
  unsigned soon = 0, all = 0;

  for (unsigned i = 0; i < 280; i++)
    {
      mq_follow f = {};
      std::string name = "front-" + std::to_string (i);
      uint64_t at = change_time (&f, non_relay (name, false), s, 60 * s);

      soon += at > 0 && at < s + 1500 * 1000;
      all += at > 0;
    }
  EXPECT_GE (soon, 5u);
  EXPECT_LE (soon, 40u);
  EXPECT_EQ (all, 280u);
}

TEST (Follow, PausesAfterFailedAttempt)
{
  mq_follow f = { true, 0, 0 };
  mq_follow_view v = non_relay ("vm", false);

  v.fails = true;
  EXPECT_TRUE (mq_follow_tick (&f, &v, 20 * s));
  EXPECT_FALSE (f.follows);
  v.fails = false;
  EXPECT_EQ (change_time (&f, v, 20 * s, 34 * s), 0u);
  EXPECT_GT (change_time (&f, v, 34 * s, 60 * s), 0u);
}

TEST (Follow, FollowsWithoutLiveRelay)
{
  mq_follow f = {};
  mq_follow_view v = non_relay ("vm", false);

  v.has_live_relay = false;
  uint64_t at = change_time (&f, v, s, 10 * s);
  EXPECT_GT (at, 2 * s);
  EXPECT_LE (at, 4 * s);
}

/* The relays that follow next may have lost the store as well, and each of
   them takes a while to notice: their number has to grow faster than one by
   one.  */
TEST (Follow, TwoRelaysFollowAtOnceForEachThatFails)
{
  std::vector<mq_follow> relays (100);
  std::vector<bool> failed (relays.size ());
  unsigned waves = 0;

  for (unsigned i = 0; i < 2; i++)
    relays[i].follows = failed[i] = true;
  /* All but the last lose the store.  */
  for (uint64_t now = s; !relays.back ().follows; now += 300 * 1000, waves++)
    {
      unsigned before = 0;
      auto failing
          = (unsigned)std::count (failed.begin (), failed.end (), true);

      ASSERT_LT (waves, 8u);
      for (unsigned i = 0; i < relays.size (); i++)
        {
          mq_follow_view v = relay (before, 2);

          v.relays_failing = failing - failed[i];
          mq_follow_tick (&relays[i], &v, now);
          before += !failed[i];
        }
      for (unsigned i = 0; i + 1 < relays.size (); i++)
        failed[i] = relays[i].follows;
    }
}
