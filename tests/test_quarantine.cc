/* Which requests are refused, since upstreams ended under them: tables of
   ends, in virtual time (mq/quarantine.h).  */

#include <mq/quarantine.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

namespace
{

constexpr uint64_t ms = 1000, second = 1000 * ms, period = 600 * second;
constexpr uint64_t deadly = 77;

class Quarantine : public ::testing::Test
{
protected:
  Quarantine () { mq_quarantine_init (&q, period); }
  ~Quarantine () override { mq_quarantine_finish (&q); }

  /* UPSTREAM ends now with REQUESTS just begun, and the next comes a moment
     later.  */
  void
  end (uint64_t upstream, const std::vector<uint64_t> &requests)
  {
    for (uint64_t r : requests)
      mq_quarantine_add (&q, r, upstream, now, now);
    now += 400 * ms;
  }

  bool
  refused (uint64_t request) const
  {
    return mq_quarantine_remaining_us (&q, request, now) > 0;
  }

  std::vector<mq_quarantine_record>
  told (bool all)
  {
    GArray *a = g_array_new (FALSE, FALSE, sizeof (mq_quarantine_record));

    mq_quarantine_export (&q, all, a, now);
    auto *first = reinterpret_cast<mq_quarantine_record *> (a->data);
    std::vector<mq_quarantine_record> v (first, first + a->len);
    g_array_unref (a);
    return v;
  }

  mq_quarantine q;
  uint64_t now = 5 * second; /* A machine that has just started.  */
};

} // namespace

TEST_F (Quarantine, ThreeEndsMakeACause)
{
  end (1, { deadly });
  end (2, { deadly });
  EXPECT_FALSE (refused (deadly));
  end (3, { deadly });
  EXPECT_TRUE (refused (deadly));
  EXPECT_FALSE (refused (deadly + 1));
}

/* Others that stood there are told of within a moment, and nobody is judged
   before.  */
TEST_F (Quarantine, TheThirdEndIsJudgedAMomentLater)
{
  end (1, { deadly });
  end (2, { deadly });
  mq_quarantine_add (&q, deadly, 3, now, now);
  EXPECT_FALSE (refused (deadly));
  now += 300 * ms;
  EXPECT_TRUE (refused (deadly));
  /* A fourth, of a run that was under way, takes nothing back.  */
  mq_quarantine_add (&q, deadly, 4, now, now);
  EXPECT_TRUE (refused (deadly));
}

TEST_F (Quarantine, TheSameEndCountsOnce)
{
  for (int i = 0; i < 5; i++)
    end (1, { deadly });
  EXPECT_FALSE (refused (deadly));
}

TEST_F (Quarantine, WhoStoodNearIsNotRefused)
{
  end (1, { 10, deadly, 11, 12 });
  end (2, { 10, 11, deadly });
  end (3, { deadly, 20 });
  end (4, { 10, deadly });
  EXPECT_TRUE (refused (deadly));
  for (uint64_t near : { 10, 11, 12, 20 })
    EXPECT_FALSE (refused (near)) << near;
}

/* Requests that are sent on from each dying upstream to the same next one
   stand at the same ends.  */
TEST_F (Quarantine, AFourthEndTellsThoseApartThatStoodTogether)
{
  for (uint64_t u : { 1, 2, 3 })
    end (u, { deadly, 10, 11 });
  EXPECT_FALSE (refused (deadly));
  EXPECT_FALSE (refused (10));
  end (4, { deadly });
  EXPECT_TRUE (refused (deadly));
  EXPECT_FALSE (refused (10));
  EXPECT_FALSE (refused (11));
}

TEST_F (Quarantine, TwoDeadlyRequestsAreBothFound)
{
  end (1, { deadly, 78 });
  end (2, { deadly });
  end (3, { 78, 10 });
  end (4, { deadly });
  EXPECT_TRUE (refused (deadly));
  end (5, { 78 });
  end (6, { 78 });
  EXPECT_TRUE (refused (78));
  EXPECT_FALSE (refused (10));
}

TEST_F (Quarantine, ARequestThatRunsWellEndedNothing)
{
  end (1, { 10 });
  end (2, { 10 });
  EXPECT_TRUE (mq_quarantine_note_success (&q, 10, now));
  now += second;
  end (3, { 10 });
  EXPECT_FALSE (refused (10));
  /* What others still tell of before is void.  */
  mq_quarantine_record old = { 10, 1, 5000 };
  EXPECT_FALSE (mq_quarantine_merge (&q, &old, now));
}

TEST_F (Quarantine, ThatItRanWellIsTold)
{
  end (1, { 10 });
  mq_quarantine_note_success (&q, 10, now);
  auto v = told (false);
  ASSERT_EQ (v.size (), 1u);
  EXPECT_EQ (v[0].upstream, 0u);
}

/* A false message must not let a deadly request out.  */
TEST_F (Quarantine, OthersDoNotTakeBackARefusal)
{
  for (uint64_t u : { 1, 2, 3 })
    end (u, { deadly });
  mq_quarantine_record well = { deadly, 0, 0 };
  EXPECT_FALSE (mq_quarantine_merge (&q, &well, now));
  EXPECT_TRUE (refused (deadly));
}

TEST_F (Quarantine, ARefusalEndsAndOneMoreEndRenewsIt)
{
  for (uint64_t u : { 1, 2, 3 })
    end (u, { deadly });
  uint64_t left = mq_quarantine_remaining_us (&q, deadly, now);
  EXPECT_LE (left, period);
  now += left;
  EXPECT_FALSE (refused (deadly));
  end (4, { deadly });
  EXPECT_TRUE (refused (deadly));
  now += 2 * period;
  GArray *changes = g_array_new (FALSE, FALSE, sizeof (mq_quarantine_change));
  mq_quarantine_tick (&q, changes, now);
  g_array_unref (changes);
  EXPECT_TRUE (mq_quarantine_is_empty (&q));
}

TEST_F (Quarantine, ChangesAreToldOnce)
{
  GArray *changes = g_array_new (FALSE, FALSE, sizeof (mq_quarantine_change));

  for (uint64_t u : { 1, 2, 3 })
    end (u, { deadly });
  mq_quarantine_tick (&q, changes, now);
  mq_quarantine_tick (&q, changes, now);
  ASSERT_EQ (changes->len, 1u);
  auto c = g_array_index (changes, mq_quarantine_change, 0);
  EXPECT_TRUE (c.refused && c.own);
  EXPECT_EQ (c.request, deadly);
  EXPECT_EQ (q.refused, 1u);
  now += period;
  mq_quarantine_tick (&q, changes, now);
  ASSERT_EQ (changes->len, 2u);
  EXPECT_FALSE (g_array_index (changes, mq_quarantine_change, 1).refused);
  g_array_unref (changes);
}

/* What is remembered has a bound, and what stands at more ends stays.  */
TEST_F (Quarantine, AFloodDropsWhatMattersLeast)
{
  for (uint64_t u : { 1, 2, 3 })
    end (u, { deadly });
  for (uint64_t i = 0; i < 5000; i++)
    {
      mq_quarantine_record r = { 1000 + i, 50 + i % 7, 0 };
      mq_quarantine_merge (&q, &r, now);
    }
  EXPECT_EQ (q.suspects->len, (guint)MQ_QUARANTINE_MAX_SUSPECTS);
  EXPECT_TRUE (refused (deadly));
  EXPECT_EQ (mq_quarantine_find (&q, 1000), nullptr);
}

TEST_F (Quarantine, NoRecordIsOlderThanIsKept)
{
  mq_quarantine_record old = { deadly, 1, 2 * period / ms };
  mq_quarantine_record most = { deadly, 1, UINT64_MAX };
  mq_quarantine_record none = { 0, 1, 0 };

  EXPECT_FALSE (mq_quarantine_merge (&q, &old, now));
  EXPECT_FALSE (mq_quarantine_merge (&q, &most, now));
  EXPECT_FALSE (mq_quarantine_merge (&q, &none, now));
  EXPECT_TRUE (mq_quarantine_is_empty (&q));
}

/* A machine that started a moment ago hears of ends before that; they are as
   old there as elsewhere.  */
TEST_F (Quarantine, RecordsMayBeOlderThanTheClock)
{
  for (uint64_t u : { 1, 2, 3 })
    {
      mq_quarantine_record r = { deadly, u, 500 * 1000 };
      EXPECT_TRUE (mq_quarantine_merge (&q, &r, now));
    }
  EXPECT_EQ (mq_quarantine_remaining_us (&q, deadly, now), 100 * second);
  EXPECT_EQ (told (true)[0].age_ms, 500u * 1000);
}

/* Few stand at two ends, and only these are told when they are old.  */
TEST_F (Quarantine, WhatIsOldIsToldWhereItMatters)
{
  end (1, { deadly, 10 });
  end (2, { deadly });
  EXPECT_EQ (told (false).size (), 3u);
  now += 2 * second;
  EXPECT_TRUE (told (false).empty ());
  EXPECT_EQ (told (true).size (), 2u);
}

TEST_F (Quarantine, ManyRecordsAreToldByTurns)
{
  for (uint64_t r = 1; r <= 100; r++)
    {
      mq_quarantine_add (&q, r, 1, now, now);
      mq_quarantine_add (&q, r, 2, now, now);
    }
  now += 2 * second;
  std::vector<bool> seen (101);
  for (int i = 0; i < 5; i++)
    for (auto &r : told (true))
      seen[r.request] = true;
  EXPECT_EQ (std::count (seen.begin (), seen.end (), true), 100);
}

/* Routers that know the same judge alike, in whatever order they heard it.  */
TEST_F (Quarantine, TheOrderOfRecordsDoesNotMatter)
{
  for (unsigned seed = 1; seed <= 200; seed++)
    {
      std::mt19937 random (seed);
      std::vector<mq_quarantine_record> records;
      mq_quarantine other;

      for (unsigned i = 0; i < 60; i++)
        records.push_back ({ 1 + random () % 8, 1 + random () % 12,
                             1000 + random () % 5000 });
      /* One age for each end: routers see it at the same time.  */
      for (auto &r : records)
        r.age_ms = 1000 + r.upstream * 300;
      mq_quarantine_finish (&q);
      mq_quarantine_init (&q, period);
      mq_quarantine_init (&other, period);
      for (auto &r : records)
        mq_quarantine_merge (&q, &r, now);
      std::shuffle (records.begin (), records.end (), random);
      for (auto &r : records)
        mq_quarantine_merge (&other, &r, now);
      for (uint64_t request = 1; request <= 8; request++)
        EXPECT_EQ (mq_quarantine_remaining_us (&q, request, now),
                   mq_quarantine_remaining_us (&other, request, now))
            << "seed " << seed;
      mq_quarantine_finish (&other);
    }
}
