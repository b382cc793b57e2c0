/* The generation that a router has in force, and when it is cut off.  */

#include <gtest/gtest.h>
#include <string>

#include <mq/generation.h>

namespace
{

constexpr uint64_t second = 1000000;
constexpr uint64_t cut_off = 10 * second;
constexpr uint64_t peer_a = 7;
constexpr uint64_t peer_b = 8;

class Generation : public ::testing::Test
{
protected:
  Generation () { mq_generation_init (&g, now, cut_off); }
  ~Generation () override { g_array_unref (actions); }

  /* Handles EVENT; returns the actions as text such as "fetch 3 from 7; take
   * 3".  */
  std::string
  handle (mq_generation_event event)
  {
    std::string text;

    g_array_set_size (actions, 0);
    event.now_us = now;
    mq_generation_handle (&g, &event, actions);
    for (guint i = 0; i < actions->len; i++)
      text += (i > 0 ? "; " : "")
              + shown (g_array_index (actions, mq_generation_action, i));
    return text;
  }

  std::string
  offer (uint64_t peer, uint64_t generation)
  {
    mq_generation_event e = {};

    e.kind = MQ_GENERATION_OFFER;
    e.peer = peer;
    e.generation = generation;
    return handle (e);
  }

  std::string
  end_fetch (mq_generation_event_kind kind, uint64_t generation)
  {
    mq_generation_event e = {};

    e.kind = kind;
    e.generation = generation;
    return handle (e);
  }

  std::string
  tick (uint64_t after)
  {
    mq_generation_event e = {};

    now += after;
    e.kind = MQ_GENERATION_TICK;
    return handle (e);
  }

  std::string
  peers (uint32_t count)
  {
    mq_generation_event e = {};

    e.kind = MQ_GENERATION_PEERS;
    e.count = count;
    return handle (e);
  }

  static std::string
  shown (const mq_generation_action &a)
  {
    switch (a.kind)
      {
      case MQ_GENERATION_FETCH:
        return "fetch " + std::to_string (a.generation) + " from "
               + std::to_string (a.peer);
      case MQ_GENERATION_APPLY:
        return "take " + std::to_string (a.generation);
      case MQ_GENERATION_CUT_OFF:
        return "cut off";
      case MQ_GENERATION_REJOIN:
        return "rejoin";
      }
    return "?";
  }

  mq_generation g;
  uint64_t now = 5 * second;
  GArray *actions = g_array_new (FALSE, FALSE, sizeof (mq_generation_action));
};

} // namespace

TEST_F (Generation, AppliesThePlatformsOffer)
{
  EXPECT_EQ (offer (MQ_GENERATION_PLATFORM, 3), "fetch 3 from 0");
  EXPECT_EQ (end_fetch (MQ_GENERATION_VALID, 3), "take 3");
  EXPECT_EQ (g.in_force, 3u);
}

TEST_F (Generation, NeverAppliesALowerGeneration)
{
  offer (MQ_GENERATION_PLATFORM, 5);
  end_fetch (MQ_GENERATION_VALID, 5);
  EXPECT_EQ (offer (MQ_GENERATION_PLATFORM, 4), "");
  EXPECT_EQ (offer (peer_a, 5), "");
  EXPECT_EQ (g.lower_offers, 1u);
  /* Even if a fetch returns a lower one than was offered.  */
  EXPECT_EQ (offer (peer_a, 6), "fetch 6 from 7");
  EXPECT_EQ (end_fetch (MQ_GENERATION_VALID, 4), "fetch 6 from 7");
  EXPECT_EQ (g.in_force, 5u);
}

TEST_F (Generation, AppliesTheHighestOfferOfItsPeers)
{
  EXPECT_EQ (offer (peer_a, 2), "fetch 2 from 7");
  EXPECT_EQ (offer (peer_b, 4), "");
  EXPECT_EQ (end_fetch (MQ_GENERATION_VALID, 2), "take 2; fetch 4 from 8");
}

TEST_F (Generation, RetriesFromOtherSourcesWithBackoff)
{
  offer (peer_a, 2);
  EXPECT_EQ (end_fetch (MQ_GENERATION_FETCH_FAILED, 0), "");
  EXPECT_EQ (offer (MQ_GENERATION_PLATFORM, 2), "");
  uint64_t first = mq_generation_next_tick (&g) - now;
  EXPECT_EQ (tick (first), "fetch 2 from 0");
  end_fetch (MQ_GENERATION_FETCH_FAILED, 0);
  EXPECT_GT (mq_generation_next_tick (&g) - now, first);
  EXPECT_EQ (tick (mq_generation_next_tick (&g) - now), "fetch 2 from 0");
}

TEST_F (Generation, DoesNotRefetchAnInvalidGeneration)
{
  offer (MQ_GENERATION_PLATFORM, 2);
  end_fetch (MQ_GENERATION_VALID, 2);
  offer (MQ_GENERATION_PLATFORM, 3);
  EXPECT_EQ (end_fetch (MQ_GENERATION_INVALID, 3), "");
  EXPECT_EQ (offer (peer_a, 3), "");
  EXPECT_EQ (g.in_force, 2u);
  EXPECT_EQ (offer (peer_a, 4), "fetch 4 from 7");
}

TEST_F (Generation, IsCutOffWithoutOffers)
{
  peers (6);
  offer (MQ_GENERATION_PLATFORM, 1);
  end_fetch (MQ_GENERATION_VALID, 1);
  EXPECT_EQ (mq_generation_next_tick (&g), now + cut_off);
  EXPECT_EQ (tick (cut_off - 1), "");
  EXPECT_EQ (tick (1), "cut off");
  EXPECT_EQ (tick (cut_off), "");
  EXPECT_EQ (offer (peer_a, 1), "rejoin");
}

TEST_F (Generation, RejoinsOnlyWithTheHighestKnownGeneration)
{
  peers (6);
  offer (MQ_GENERATION_PLATFORM, 1);
  end_fetch (MQ_GENERATION_VALID, 1);
  tick (cut_off);
  EXPECT_TRUE (g.cut_off);
  EXPECT_EQ (offer (peer_a, 2), "fetch 2 from 7");
  EXPECT_TRUE (g.cut_off);
  EXPECT_EQ (end_fetch (MQ_GENERATION_VALID, 2), "take 2; rejoin");
}

TEST_F (Generation, IsNeverCutOffWithoutPeersOrWithCutOffDisabled)
{
  offer (MQ_GENERATION_PLATFORM, 1);
  end_fetch (MQ_GENERATION_VALID, 1);
  EXPECT_EQ (tick (100 * cut_off), "");
  EXPECT_EQ (mq_generation_next_tick (&g), UINT64_MAX);
  mq_generation_event limit = {};
  limit.kind = MQ_GENERATION_SET_CUT_OFF;
  handle (limit);
  EXPECT_EQ (peers (6), "");
  EXPECT_EQ (tick (100 * cut_off), "");
}
