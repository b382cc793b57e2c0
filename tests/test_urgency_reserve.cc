/* The memory that is kept for more urgent requests.  */

#include <mq/urgency_reserve.h>

#include <gtest/gtest.h>

#include <random>

namespace
{

constexpr uint64_t s = 1000 * 1000;
constexpr uint64_t start = 1000 * s;
constexpr double tokens = 1000;
constexpr mq_urgency_memory memory = { 100 * tokens, 0.92, 1 };

class UrgencyReserve : public ::testing::Test
{
protected:
  /* RATE requests of LEVEL arrive each second from FROM to TO; all are
     admitted and stay for STAY seconds.  */
  void
  arrive (int level, unsigned rate, uint64_t from, uint64_t to,
          uint64_t stay = 2)
  {
    for (uint64_t t = from; t < to; t += s / rate)
      {
        mq_urgency_reserve_note_request (&r, level, tokens, t);
        mq_urgency_reserve_note_admitted (&r, level, t);
        mq_urgency_reserve_note_stay (&r, level, stay * s);
      }
  }

  mq_urgency_limit
  limit (int level, uint64_t at, const mq_urgency_memory &m = memory)
  {
    return mq_urgency_reserve_limit (&r, level, &m, at);
  }

  mq_urgency_reserve r = {};
};

} // namespace

TEST_F (UrgencyReserve, NewRouterKeepsNoHeadroom)
{
  for (int l = 0; l < MQ_URGENCY_LEVELS; l++)
    EXPECT_EQ (limit (l, start).limit, 1);
}

TEST_F (UrgencyReserve, NothingIsWithheldFromMostUrgentLevel)
{
  arrive (0, 20, start, start + 10 * s);
  arrive (2, 20, start, start + 10 * s);
  EXPECT_EQ (limit (0, start + 10 * s).limit, 1);
}

/* 20 a second that stay 2 s need 40,000 tokens.  */
TEST_F (UrgencyReserve, HeadroomIsDemandLessWhatIsHeldWithinBounds)
{
  mq_urgency_limit l;

  arrive (0, 20, start, start + 20 * s);
  mq_urgency_reserve_note_held (&r, 0, 32 * tokens);
  l = limit (1, start + 20 * s);
  EXPECT_NEAR (l.demand, 40 * tokens, 3 * tokens);
  EXPECT_EQ (l.held, 32 * tokens);
  EXPECT_NEAR (l.headroom, 8 * tokens, 3 * tokens);
  EXPECT_DOUBLE_EQ (l.limit, 0.92 - l.headroom / memory.capacity);
  /* At least what arrives in 0.25 s, ...  */
  mq_urgency_reserve_note_held (&r, 0, 20 * tokens);
  EXPECT_NEAR (limit (1, start + 20 * s).headroom, 5 * tokens, tokens);
  /* ... and at most what arrives in 0.5 s.  */
  mq_urgency_reserve_note_held (&r, 0, -52 * tokens);
  EXPECT_NEAR (limit (1, start + 20 * s).headroom, 10 * tokens, tokens);
}

TEST_F (UrgencyReserve, HeadroomIsExtrapolatedToFleetAndBounded)
{
  double one;

  arrive (0, 4, start, start + 20 * s);
  one = limit (1, start + 20 * s).headroom;
  EXPECT_NEAR (limit (1, start + 20 * s, { 100 * tokens, 0.92, 5 }).headroom,
               5 * one, 1);
  EXPECT_DOUBLE_EQ (
      limit (1, start + 20 * s, { 100 * tokens, 0.92, 1000 }).headroom,
      0.25 * 0.92 * 100 * tokens);
  EXPECT_EQ (limit (1, start + 20 * s, { 0, 0.92, 1 }).limit, 1);
}

TEST_F (UrgencyReserve, FollowsBurstAndItsEnd)
{
  double before;
  double during;

  arrive (0, 20, start, start + 10 * s);
  before = limit (1, start + 10 * s).headroom;
  arrive (0, 40, start + 10 * s, start + 12 * s);
  during = limit (1, start + 12 * s).headroom;
  EXPECT_GT (during, 1.4 * before);
  EXPECT_EQ (limit (1, start + 23 * s).headroom, 0) << "nothing arrives";
}

/* Guards against a headroom that shrinks for a less urgent level, because a
   level between holds more than it needs.  */
TEST_F (UrgencyReserve, LessUrgentLevelsNeverGetMore)
{
  std::mt19937 random (1);

  for (int run = 0; run < 200; run++)
    {
      r = {};
      for (int l = 0; l < MQ_URGENCY_LEVELS; l++)
        {
          arrive (l, 1 + random () % 20, start, start + 5 * s,
                  1 + random () % 6);
          mq_urgency_reserve_note_held (&r, l, random () % 100 * tokens);
        }
      for (int l = 1; l < MQ_URGENCY_LEVELS; l++)
        EXPECT_LE (limit (l, start + 5 * s).limit,
                   limit (l - 1, start + 5 * s).limit);
    }
}

/* A level whose requests fit only without a limit: it is admitted at a quarter
   of the rate of all at least, in each window after the first requests.  */
TEST_F (UrgencyReserve, LevelIsNeverStarved)
{
  unsigned requested = 0;
  unsigned admitted = 0;

  for (uint64_t t = start; t < start + 60 * s; t += s / 10)
    {
      mq_urgency_limit l;

      arrive (0, 10, t, t + 1);
      l = limit (2, t);
      mq_urgency_reserve_note_request (&r, 2, tokens, t);
      requested++;
      if (l.limit < 1)
        continue;
      admitted++;
      mq_urgency_reserve_note_admitted (&r, 2, t);
      if (requested > 100)
        {
          l = limit (2, t);
          EXPECT_GE (l.admission, l.admission_all / 4);
        }
    }
  EXPECT_GE (admitted, requested / 6) << "two levels, so all have about 0.6";
  EXPECT_LE (admitted, requested / 2);
}

TEST (UrgencyRetry, UrgentClientsReturnSooner)
{
  EXPECT_EQ (mq_urgency_retry_ms (0, 3, 6000), 2000u);
  EXPECT_EQ (mq_urgency_retry_ms (1, 3, 6000), 4000u);
  EXPECT_EQ (mq_urgency_retry_ms (2, 3, 6000), 6000u);
  EXPECT_EQ (mq_urgency_retry_ms (0, 10, 2000), 500u) << "not at once";
  EXPECT_EQ (mq_urgency_retry_ms (0, 10, 300), 300u) << "never later";
}
