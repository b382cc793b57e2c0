/* Which requests are refused because upstreams crashed while they started
   there, in virtual time: see mq/quarantine.h.  */

#include <mq/quarantine.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <set>
#include <vector>

namespace
{

constexpr uint64_t ms = 1000, second = 1000 * ms, period = 600 * second;
constexpr uint64_t crasher = 77; /* A request that crashes upstreams.  */

/* Parts of prompts.  */
const uint64_t first_part = mq_element_of_part (MQ_SPAN ("f1"));
const uint64_t deadly_part = mq_element_of_part (MQ_SPAN ("bad"));
const uint64_t other_part = mq_element_of_part (MQ_SPAN ("5e"));

class Quarantine : public ::testing::Test
{
protected:
  Quarantine () { mq_quarantine_init (&q, period); }
  ~Quarantine () override { mq_quarantine_finish (&q); }

  /* Crash N upstreams, 400 ms apart, each by another request with PARTS.  */
  void
  crash_by_parts (unsigned n, const std::vector<uint64_t> &parts)
  {
    for (unsigned i = 0; i < n; i++)
      {
        std::vector<uint64_t> elements = parts;

        elements.push_back (++contents_);
        crash (++upstreams_, elements);
      }
  }

  /* Returns true if a new request with PARTS is refused.  */
  bool
  refused_with (const std::vector<uint64_t> &parts)
  {
    std::vector<uint64_t> elements = parts;

    elements.push_back (++contents_);
    return mq_quarantine_remaining_us (
               &q, { elements.data (), elements.size () }, now)
           > 0;
  }

  /* UPSTREAM crashes now with REQUESTS as its suspects; then some time passes.
   */
  void
  crash (uint64_t upstream, const std::vector<uint64_t> &requests)
  {
    for (uint64_t r : requests)
      mq_quarantine_add (&q, r, upstream, now, now);
    now += 400 * ms;
  }

  uint64_t
  remaining (const mq_quarantine &in, uint64_t request) const
  {
    return mq_quarantine_remaining_us (&in, { &request, 1 }, now);
  }

  bool
  may_run_at (uint64_t request, uint64_t upstream, bool pending = false) const
  {
    return mq_quarantine_may_run_at (&q, { &request, 1 }, upstream, pending,
                                     now);
  }

  bool
  refused (uint64_t request) const
  {
    return remaining (q, request) > 0;
  }

  std::vector<mq_quarantine_record>
  exported (bool all)
  {
    GArray *a = g_array_new (FALSE, FALSE, sizeof (mq_quarantine_record));

    mq_quarantine_export (&q, all, a, now);
    auto *first = reinterpret_cast<mq_quarantine_record *> (a->data);
    std::vector<mq_quarantine_record> v (first, first + a->len);
    g_array_unref (a);
    return v;
  }

  uint64_t contents_ = 1000, upstreams_ = 1000;
  mq_quarantine q;
  uint64_t now = 5 * second; /* A machine that has just started.  */
};

} // namespace

TEST_F (Quarantine, RefusesAfterThreeCrashes)
{
  crash (1, { crasher });
  crash (2, { crasher });
  EXPECT_FALSE (refused (crasher));
  crash (3, { crasher });
  EXPECT_TRUE (refused (crasher));
  EXPECT_FALSE (refused (crasher + 1));
}

/* Until then other routers may report more suspects of the crash.  */
TEST_F (Quarantine, ThirdCrashTakesEffectAfterSettleTime)
{
  crash (1, { crasher });
  crash (2, { crasher });
  mq_quarantine_add (&q, crasher, 3, now, now);
  EXPECT_FALSE (refused (crasher));
  now += 300 * ms;
  EXPECT_TRUE (refused (crasher));
  /* A fourth crash, of a send that was under way, does not cancel it.  */
  mq_quarantine_add (&q, crasher, 4, now, now);
  EXPECT_TRUE (refused (crasher));
}

TEST_F (Quarantine, SameCrashCountsOnce)
{
  for (int i = 0; i < 5; i++)
    crash (1, { crasher });
  EXPECT_FALSE (refused (crasher));
}

TEST_F (Quarantine, OtherSuspectsAreNotRefused)
{
  crash (1, { 10, crasher, 11, 12 });
  crash (2, { 10, 11, crasher });
  crash (3, { crasher, 20 });
  crash (4, { 10, crasher });
  EXPECT_TRUE (refused (crasher));
  for (uint64_t bystander : { 10, 11, 12, 20 })
    EXPECT_FALSE (refused (bystander)) << bystander;
}

/* Requests that are retried together are suspects of the same crashes.  */
TEST_F (Quarantine, FourthCrashSeparatesSuspectsOfTheSameCrashes)
{
  for (uint64_t u : { 1, 2, 3 })
    crash (u, { crasher, 10, 11 });
  EXPECT_FALSE (refused (crasher));
  EXPECT_FALSE (refused (10));
  crash (4, { crasher });
  EXPECT_TRUE (refused (crasher));
  EXPECT_FALSE (refused (10));
  EXPECT_FALSE (refused (11));
}

TEST_F (Quarantine, TwoCrashingRequestsAreBothRefused)
{
  crash (1, { crasher, 78 });
  crash (2, { crasher });
  crash (3, { 78, 10 });
  crash (4, { crasher });
  EXPECT_TRUE (refused (crasher));
  crash (5, { 78 });
  crash (6, { 78 });
  EXPECT_TRUE (refused (78));
  EXPECT_FALSE (refused (10));
}

TEST_F (Quarantine, SuccessVoidsEarlierCrashes)
{
  crash (1, { 10 });
  crash (2, { 10 });
  EXPECT_TRUE (mq_quarantine_note_success (&q, 10, now));
  now += second;
  crash (3, { 10 });
  EXPECT_FALSE (refused (10));
  /* A record of an earlier crash that still arrives is void.  */
  mq_quarantine_record old = { 10, 1, 5000 };
  EXPECT_FALSE (mq_quarantine_merge (&q, &old, now));
}

TEST_F (Quarantine, SuccessIsExported)
{
  crash (1, { 10 });
  mq_quarantine_note_success (&q, 10, now);
  auto v = exported (false);
  ASSERT_EQ (v.size (), 1u);
  EXPECT_EQ (v[0].upstream, 0u);
}

/* A forged message must not release a request that crashes upstreams.  */
TEST_F (Quarantine, SuccessFromOthersDoesNotCancelRefusal)
{
  for (uint64_t u : { 1, 2, 3 })
    crash (u, { crasher });
  mq_quarantine_record success = { crasher, 0, 0 };
  EXPECT_FALSE (mq_quarantine_merge (&q, &success, now));
  EXPECT_TRUE (refused (crasher));
}

TEST_F (Quarantine, RefusalExpiresAndOneCrashRenewsIt)
{
  for (uint64_t u : { 1, 2, 3 })
    crash (u, { crasher });
  uint64_t left = remaining (q, crasher);
  EXPECT_LE (left, period);
  now += left;
  EXPECT_FALSE (refused (crasher));
  crash (4, { crasher });
  EXPECT_TRUE (refused (crasher));
  now += 2 * period;
  GArray *changes = g_array_new (FALSE, FALSE, sizeof (mq_quarantine_change));
  mq_quarantine_tick (&q, changes, now);
  g_array_unref (changes);
  EXPECT_TRUE (mq_quarantine_is_empty (&q));
}

TEST_F (Quarantine, ChangesAreReportedOnce)
{
  GArray *changes = g_array_new (FALSE, FALSE, sizeof (mq_quarantine_change));

  for (uint64_t u : { 1, 2, 3 })
    crash (u, { crasher });
  mq_quarantine_tick (&q, changes, now);
  mq_quarantine_tick (&q, changes, now);
  ASSERT_EQ (changes->len, 1u);
  auto c = g_array_index (changes, mq_quarantine_change, 0);
  EXPECT_TRUE (c.refused && c.own);
  EXPECT_EQ (c.element, crasher);
  EXPECT_EQ (q.refused, 1u);
  now += period;
  mq_quarantine_tick (&q, changes, now);
  ASSERT_EQ (changes->len, 2u);
  EXPECT_FALSE (g_array_index (changes, mq_quarantine_change, 1).refused);
  g_array_unref (changes);
}

/* The number of suspects is bounded, and those with more crashes are kept.  */
TEST_F (Quarantine, FloodEvictsLeastImportantSuspects)
{
  for (uint64_t u : { 1, 2, 3 })
    crash (u, { crasher });
  for (uint64_t i = 0; i < 5000; i++)
    {
      mq_quarantine_record r = { 1000 + i, 50 + i % 7, 0 };
      mq_quarantine_merge (&q, &r, now);
    }
  EXPECT_EQ (q.suspects->len, (guint)MQ_QUARANTINE_MAX_SUSPECTS);
  EXPECT_TRUE (refused (crasher));
  EXPECT_EQ (mq_quarantine_find (&q, 1000), nullptr);
}

TEST_F (Quarantine, RejectsExpiredAndInvalidRecords)
{
  mq_quarantine_record old = { crasher, 1, 2 * period / ms };
  mq_quarantine_record oldest = { crasher, 1, UINT64_MAX };
  mq_quarantine_record none = { 0, 1, 0 };

  EXPECT_FALSE (mq_quarantine_merge (&q, &old, now));
  EXPECT_FALSE (mq_quarantine_merge (&q, &oldest, now));
  EXPECT_FALSE (mq_quarantine_merge (&q, &none, now));
  EXPECT_TRUE (mq_quarantine_is_empty (&q));
}

/* A machine that has just booted receives records of earlier crashes, whose
   times are before the start of its clock.  */
TEST_F (Quarantine, RecordsMayBeOlderThanTheClock)
{
  for (uint64_t u : { 1, 2, 3 })
    {
      mq_quarantine_record r = { crasher, u, 500 * 1000 };
      EXPECT_TRUE (mq_quarantine_merge (&q, &r, now));
    }
  EXPECT_EQ (remaining (q, crasher), 100 * second);
  EXPECT_EQ (exported (true)[0].age_ms, 500u * 1000);
}

TEST_F (Quarantine, OldRecordsAreExportedFromTwoCrashesOn)
{
  crash (1, { crasher, 10 });
  crash (2, { crasher });
  EXPECT_EQ (exported (false).size (), 3u);
  now += 2 * second;
  EXPECT_TRUE (exported (false).empty ());
  EXPECT_EQ (exported (true).size (), 2u);
}

TEST_F (Quarantine, ManyRecordsAreExportedInTurns)
{
  for (uint64_t r = 1; r <= 100; r++)
    {
      mq_quarantine_add (&q, r, 1, now, now);
      mq_quarantine_add (&q, r, 2, now, now);
    }
  now += 2 * second;
  std::vector<bool> seen (101);
  for (int i = 0; i < 5; i++)
    for (auto &r : exported (true))
      seen[r.element] = true;
  EXPECT_EQ (std::count (seen.begin (), seen.end (), true), 100);
}

/* Routers with the same records refuse the same requests.  */
TEST_F (Quarantine, OrderOfRecordsDoesNotMatter)
{
  for (unsigned seed = 1; seed <= 200; seed++)
    {
      std::mt19937 random (seed);
      std::vector<mq_quarantine_record> records;
      mq_quarantine other;

      for (unsigned i = 0; i < 60; i++)
        records.push_back ({ 1 + random () % 8, 1 + random () % 12,
                             1000 + random () % 5000 });
      /* One age for each crash: all routers see it at the same time.  */
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
        EXPECT_EQ (remaining (q, request), remaining (other, request))
            << "seed " << seed;
      mq_quarantine_finish (&other);
    }
}

/* Suspects with equal records are sent to the same upstream one at a time, and
   each of them gets its turn.  */
TEST_F (Quarantine, TiedSuspectsAreKeptApart)
{
  const std::vector<uint64_t> tied = { crasher, 10, 11, 12 };

  for (uint64_t u : { 1, 2, 3 })
    crash (u, tied);
  std::set<uint64_t> served;
  for (unsigned step = 0; step < 40; step++, now += 100 * ms)
    for (uint64_t upstream = 100; upstream < 104; upstream++)
      {
        unsigned allowed = 0;

        EXPECT_TRUE (may_run_at (13, upstream));
        for (uint64_t r : tied)
          if (may_run_at (r, upstream))
            {
              allowed++;
              served.insert (r);
            }
        EXPECT_EQ (allowed, 1u);
      }
  EXPECT_EQ (served.size (), tied.size ());
  /* The next crash tells them apart.  */
  crash (4, { crasher });
  EXPECT_TRUE (refused (crasher));
  for (uint64_t r : { 10, 11, 12 })
    {
      EXPECT_FALSE (refused (r));
      EXPECT_TRUE (may_run_at (r, 100, true));
    }
}

/* Routers learn of crashes one after the other, and some requests run for
   long: four crashes within a moment tell nothing.  */
TEST_F (Quarantine, TiedSuspectsOfCrashesInAMomentAreNotRefused)
{
  for (uint64_t u : { 1, 2, 3, 4, 5 })
    {
      for (uint64_t r : { crasher, uint64_t (10) })
        mq_quarantine_add (&q, r, u, now, now);
      now += 100 * ms;
    }
  now += 5 * second;
  EXPECT_FALSE (refused (crasher));
  EXPECT_FALSE (refused (10));
  crash (6, { crasher });
  EXPECT_TRUE (refused (crasher));
  EXPECT_FALSE (refused (10));
}

/* A bound for requests that can't be told apart, whatever the reason.  */
TEST_F (Quarantine, SuspectsThatCrashUpstreamsWhileKeptApartAreRefused)
{
  for (uint64_t u : { 1, 2, 3 })
    crash (u, { crasher, 10 });
  now += 2 * second;
  crash (4, { crasher, 10 });
  EXPECT_FALSE (refused (crasher));
  crash (5, { crasher, 10 });
  EXPECT_TRUE (refused (crasher));
  EXPECT_TRUE (refused (10));
}

/* No two requests are alike, and the first part is that of sound ones too.  */
TEST_F (Quarantine, PartIsRefusedInAllRequestsThatHaveIt)
{
  mq_quarantine_note_success (&q, first_part, now);
  crash_by_parts (3, { first_part, deadly_part });
  EXPECT_TRUE (refused_with ({ first_part, deadly_part }));
  EXPECT_TRUE (refused_with ({ deadly_part }));
  EXPECT_FALSE (refused_with ({ first_part, other_part }));
  EXPECT_FALSE (refused_with ({}));
}

/* Nothing shows yet which of two new parts is the cause.  */
TEST_F (Quarantine, OnlyRequestsWithAllTiedPartsAreRefused)
{
  crash_by_parts (3, { first_part, deadly_part });
  EXPECT_TRUE (refused_with ({ first_part, deadly_part }));
  EXPECT_FALSE (refused_with ({ first_part, other_part }));
  EXPECT_FALSE (refused_with ({ deadly_part, other_part }));
  mq_quarantine_note_success (&q, first_part, now);
  EXPECT_TRUE (refused_with ({ deadly_part, other_part }));
  EXPECT_FALSE (refused_with ({ first_part, other_part }));
}

TEST_F (Quarantine, PartIsNoSuspectSoonAfterItRanWell)
{
  mq_quarantine_note_success (&q, first_part, now);
  now += 4 * second;
  crash_by_parts (2, { first_part });
  EXPECT_EQ (mq_quarantine_find (&q, first_part), nullptr);
  /* It may crash upstreams from then on, for instance of a new version.  */
  now += second;
  crash_by_parts (3, { first_part });
  EXPECT_TRUE (refused_with ({ first_part }));
}

/* Another router knows that requests with the part run well.  */
TEST_F (Quarantine, CrashesReportedOfSoundPartAreAnswered)
{
  mq_quarantine_note_success (&q, first_part, now);
  now += second;
  mq_quarantine_record r = { first_part, 1, 0 };
  EXPECT_FALSE (mq_quarantine_merge (&q, &r, now));
  auto v = exported (false);
  ASSERT_EQ (v.size (), 1u);
  EXPECT_EQ (v[0].upstream, 0u);
  EXPECT_EQ (v[0].age_ms, 1000u);

  mq_quarantine other;
  mq_quarantine_init (&other, period);
  EXPECT_TRUE (mq_quarantine_merge (&other, &r, now));
  EXPECT_TRUE (mq_quarantine_merge (&other, &v[0], now));
  EXPECT_EQ (mq_quarantine_find (&other, first_part)->n, 0u);
  mq_quarantine_finish (&other);
}

/* Upstreams that fail together are no evidence against a part that many
   requests have; five such crashes are.  */
TEST_F (Quarantine, ThreeCrashesAtOnceDoNotRefusePart)
{
  for (uint64_t u : { 1, 2, 3, 4 })
    mq_quarantine_add (&q, first_part, u, now, now);
  now += second;
  EXPECT_FALSE (refused_with ({ first_part }));
  crash (5, { first_part });
  EXPECT_TRUE (refused_with ({ first_part }));
}

TEST_F (Quarantine, ContentIsBlamedBeforePartsThatItHas)
{
  for (uint64_t u : { 1, 2, 3 })
    crash (u, { crasher, first_part });
  EXPECT_TRUE (refused (crasher));
  EXPECT_FALSE (refused_with ({ first_part }));
}

/* A false finding ends with the first request that runs well.  */
TEST_F (Quarantine, RefusedPartIsTriedBySingleRequests)
{
  const mq_element_set set = { &deadly_part, 1 };
  auto left = [&] { return mq_quarantine_remaining_us (&q, set, now); };
  unsigned trials = 0;

  crash_by_parts (3, { deadly_part });
  for (uint64_t end = now + 100 * second; now < end; now += 100 * ms)
    {
      if (left () > 0)
        continue;
      trials++;
      mq_quarantine_note_sent (&q, set, now);
      EXPECT_GT (left (), 0u);
      crash_by_parts (1, { deadly_part });
      EXPECT_GT (left (), 0u);
    }
  EXPECT_EQ (trials, 2u);
  now += 600 * second;
  EXPECT_EQ (left (), 0u);
  mq_quarantine_note_sent (&q, set, now);
  EXPECT_TRUE (mq_quarantine_note_success (&q, deadly_part, now + second));
  now += second;
  EXPECT_EQ (left (), 0u);
  EXPECT_EQ (mq_quarantine_find (&q, deadly_part)->n, 0u);
}

/* Only routers that saw the last crash try: the others wait for their word. */
TEST_F (Quarantine, OtherRoutersDoNotTryRefusedPart)
{
  for (uint64_t u : { 1, 2, 3 })
    {
      mq_quarantine_record r = { deadly_part, u, 0 };

      mq_quarantine_merge (&q, &r, now);
      now += 400 * ms;
    }
  mq_quarantine_record success = { deadly_part, 0, 0 };
  EXPECT_FALSE (mq_quarantine_merge (&q, &success, now));
  now += 60 * second;
  EXPECT_TRUE (refused_with ({ deadly_part }));
  EXPECT_TRUE (mq_quarantine_merge (&q, &success, now));
  EXPECT_FALSE (refused_with ({ deadly_part }));
}

/* Many parts are suspects of a crash by chance.  */
TEST_F (Quarantine, PartsAreEvictedAfterContents)
{
  mq_quarantine_add (&q, deadly_part, 1, now, now);
  for (uint64_t i = 0; i < 5000; i++)
    mq_quarantine_add (&q, 1000 + i, 50 + i % 7, now + 1, now + 1);
  EXPECT_NE (mq_quarantine_find (&q, deadly_part), nullptr);
}

/* Each crash has many suspects, and each of them many parts.  */
TEST_F (Quarantine, ManyPartsOfManySuspectsAreBounded)
{
  for (uint64_t u = 1; u <= 4; u++)
    {
      mq_quarantine_add (&q, deadly_part, u, now, now);
      for (uint64_t i = 0; i < 16 * 32; i++)
        mq_quarantine_add (&q, deadly_part + u * 1000 + i, u, now, now);
      EXPECT_LE (exported (true).size (),
                 (size_t)MQ_QUARANTINE_MAX_RECORDS_PER_MESSAGE);
      now += 400 * ms;
    }
  EXPECT_EQ (q.suspects->len, (guint)MQ_QUARANTINE_MAX_SUSPECTS);
  EXPECT_TRUE (refused_with ({ deadly_part }));
}
