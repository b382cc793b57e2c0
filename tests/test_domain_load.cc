/* The choice of a path and the rejection of requests by load.  */

#include <mq/domain_load.h>

#include <gtest/gtest.h>

#include <vector>

namespace
{

mq_domain_choice
path (double used, double room = 100000, bool local = false,
      bool tried = false)
{
  return { MQ_SPAN ("d"), room, used, 10, tried, local, 0, 0 };
}

constexpr double fresh_ms = 250;
constexpr double stale_ms = 1250;

int
choose (const std::vector<mq_domain_choice> &paths,
        const mq_domain_request &request)
{
  return mq_domain_choose (paths.data (), paths.size (), &request);
}

int
choose (const std::vector<mq_domain_choice> &paths, double need = 1000,
        mq_domain_rank rank = MQ_DOMAIN_NEW)
{
  return choose (paths, { need, rank, 500, fresh_ms, 1, 0 });
}

mq_domain_choice
prefilling (double ms, double used = 10000)
{
  mq_domain_choice c = path (used);

  c.prefill_queue_ms = ms;
  return c;
}

/* How often each of PATHS is chosen in a thousand choices.  */
std::vector<unsigned>
spread (const std::vector<mq_domain_choice> &paths, double age_ms)
{
  std::vector<unsigned> n (paths.size ());

  for (uint64_t random = 0; random < 1000; random++)
    n[(size_t)choose (paths, { 1000, MQ_DOMAIN_NEW, 500, age_ms,
                               mq_hash_mix (1, random), 0 })]++;
  return n;
}

} // namespace

TEST (DomainLoad, ChoosesLargestFreeShare)
{
  EXPECT_EQ (choose ({ path (50000), path (20000) }), 1);
  EXPECT_EQ (choose ({ path (50000, 200000), path (30000, 50000) }), 0);
}

TEST (DomainLoad, PrefersLocalDomainUntilItIsMuchFuller)
{
  EXPECT_EQ (choose ({ path (30000, 100000, true), path (20000) }), 0);
  EXPECT_EQ (choose ({ path (60000, 100000, true), path (20000) }), 1);
}

TEST (DomainLoad, AvoidsPathThatWasTried)
{
  EXPECT_EQ (choose ({ path (10000, 100000, true, true), path (30000) }), 1);
  EXPECT_EQ (choose ({ path (10000, 100000, true, true) }), 0);
}

TEST (DomainLoad, RejectsWhenNoPathHasMemory)
{
  EXPECT_EQ (choose ({ path (91500) }), -1);
  EXPECT_EQ (choose ({}), -1);
  EXPECT_EQ (choose ({ path (0, 500) }), -1);
}

TEST (DomainLoad, RetryAfterStaysWithinWhatClientsFollow)
{
  for (uint64_t random : { (uint64_t)0, UINT64_MAX / 2, UINT64_MAX })
    {
      EXPECT_LE (mq_domain_retry_after_ms (20000, random), 20000u / 3);
      EXPECT_GE (mq_domain_retry_after_ms (20000, random), 4000u);
    }
  EXPECT_NE (mq_domain_retry_after_ms (20000, 0),
             mq_domain_retry_after_ms (20000, UINT64_MAX));
  EXPECT_GT (mq_domain_retry_after_ms (0, 0), 0u);
}

TEST (DomainLoad, HigherRanksMayUseMoreMemory)
{
  EXPECT_EQ (choose ({ path (90000) }, 1000, MQ_DOMAIN_RETRY), -1);
  EXPECT_EQ (choose ({ path (90000) }, 1000, MQ_DOMAIN_NEW), 0);
  EXPECT_EQ (choose ({ path (99000) }, 1000, MQ_DOMAIN_NEW), -1);
  EXPECT_EQ (choose ({ path (99000) }, 1000, MQ_DOMAIN_STARTED), 0);
  EXPECT_EQ (choose ({ path (102000) }, 1000, MQ_DOMAIN_STARTED), -1);
}

TEST (DomainLoad, ExpectedTokensAreTheMeanOverTheLifetime)
{
  EXPECT_EQ (mq_domain_expected_tokens (700, 80, 50, 172), 730);
  EXPECT_EQ (mq_domain_expected_tokens (700, 80, 500, 172), 748);
  EXPECT_EQ (mq_domain_expected_tokens (700, 80, 0, 172), 748);
  EXPECT_NEAR (mq_domain_expected_tokens (700, 0, 0, 172), 803.2, 0.01);
}

TEST (DomainLoad, AvoidsPathWithPrefillBacklog)
{
  EXPECT_EQ (choose ({ prefilling (400, 10000), prefilling (100, 80000) }), 1);
}

TEST (DomainLoad, ReportsPrefillBacklogOnAllPaths)
{
  EXPECT_EQ (choose ({ prefilling (400), prefilling (350) }),
             MQ_DOMAIN_PREFILL_BACKLOG);
  /* Memory is checked before the prefill backlog.  */
  EXPECT_EQ (choose ({ prefilling (400, 99000) }), MQ_DOMAIN_NO_MEMORY);
}

TEST (DomainLoad, NewRequestsMayWaitLongerForPrefillThanRetries)
{
  EXPECT_EQ (choose ({ prefilling (270) }, 1000, MQ_DOMAIN_RETRY),
             MQ_DOMAIN_PREFILL_BACKLOG);
  EXPECT_EQ (choose ({ prefilling (270) }, 1000, MQ_DOMAIN_NEW), 0);
  /* The client of a started stream waits for its next event.  */
  EXPECT_EQ (choose ({ prefilling (450) }, 1000, MQ_DOMAIN_STARTED), 0);
}

TEST (DomainLoad, IgnoresPrefillBacklogWithoutTarget)
{
  EXPECT_EQ (choose ({ prefilling (5000) },
                     { 1000, MQ_DOMAIN_NEW, 0, fresh_ms, 1, 0 }),
             0);
}

TEST (DomainLoad, FreshCountsChooseLargestFreeShare)
{
  EXPECT_GE (spread ({ path (50000), path (30000) }, fresh_ms)[1], 999u);
}

TEST (DomainLoad, StaleCountsSpreadByFreeShare)
{
  auto n = spread ({ path (70000), path (30000) }, stale_ms);

  EXPECT_NEAR (n[0], 1000 * 21.0 / (21 + 61), 40);
}

/* When a path fails, hundreds of started streams move to the others at once
   and are prefilled again.  If they were spread by memory alone, those on slow
   paths would pause for long while fast paths are idle.  */
TEST (DomainLoad, StartedStreamsPreferPathsThatPrefillSoonest)
{
  mq_domain_choice slow = path (30000);
  mq_domain_choice fast = path (30000);
  mq_domain_choice busy = path (30000);
  std::vector<unsigned> n (3);

  slow.prefill_ms = 40;
  fast.prefill_ms = 10;
  busy.prefill_ms = 10;
  busy.prefill_queue_ms = 30;
  for (uint64_t random = 0; random < 1000; random++)
    n[(size_t)choose ({ slow, fast, busy },
                      { 1000, MQ_DOMAIN_STARTED, 500, stale_ms,
                        mq_hash_mix (1, random), 0 })]++;
  EXPECT_GT (n[1], 5 * n[0]);
  EXPECT_GT (n[1], 5 * n[2]);
  /* Every path is chosen at times, as other routers choose too.  */
  EXPECT_GT (n[0], 10u);
}

/* Memory still counts: a fast path that is nearly full is avoided.  */
TEST (DomainLoad, StartedStreamsAvoidFullPath)
{
  mq_domain_choice slow = path (10000);
  mq_domain_choice full = path (100500);

  slow.prefill_ms = 20;
  full.prefill_ms = 10;
  for (uint64_t random = 0; random < 50; random++)
    EXPECT_EQ (
        choose ({ slow, full }, { 2000, MQ_DOMAIN_STARTED, 500, stale_ms,
                                  mq_hash_mix (1, random), 0 }),
        0);
}

/* A limit on the share of memory keeps the rest for other requests, and must
   not interrupt a stream that has started.  */
TEST (DomainLoad, MemoryLimitRejectsAllButStartedStreams)
{
  mq_domain_request limited = { 1000, MQ_DOMAIN_NEW, 500, fresh_ms, 1, 0.5 };

  EXPECT_EQ (choose ({ path (48000) }, limited), 0);
  EXPECT_EQ (choose ({ path (52000) }, limited), MQ_DOMAIN_NO_MEMORY);
  EXPECT_EQ (choose ({ path (52000), path (10000) }, limited), 1);
  limited.rank = MQ_DOMAIN_STARTED;
  EXPECT_EQ (choose ({ path (52000) }, limited), 0);
}

/* Without a limit, or with one of the whole memory, nothing changes.  */
TEST (DomainLoad, NoMemoryLimitLeavesTheLimitOfTheRank)
{
  for (double limit : { 0.0, 1.0 })
    {
      mq_domain_request r = { 1000, MQ_DOMAIN_NEW, 500, fresh_ms, 1, limit };

      EXPECT_EQ (choose ({ path (90000) }, r), 0);
      EXPECT_EQ (choose ({ path (91500) }, r), MQ_DOMAIN_NO_MEMORY);
    }
}
