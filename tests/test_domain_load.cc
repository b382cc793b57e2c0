/* Where a request goes and when it is refused, by what is in flight.  */

#include <mq/domain_load.h>

#include <gtest/gtest.h>

#include <vector>

namespace
{

mq_domain_choice
way (double used, double room = 100000, bool local = false, bool tried = false)
{
  return { MQ_SPAN ("d"), room, used, 10, tried, local, 0, 0 };
}

constexpr double fresh = 250;
constexpr double stale = 1250;

int
choose (const std::vector<mq_domain_choice> &ways,
        const mq_domain_request &request)
{
  return mq_domain_choose (ways.data (), ways.size (), &request);
}

int
choose (const std::vector<mq_domain_choice> &ways, double need = 1000,
        mq_domain_rank rank = MQ_DOMAIN_NEW)
{
  return choose (ways, { need, rank, 500, fresh, 1 });
}

mq_domain_choice
reading (double ms, double used = 10000)
{
  mq_domain_choice w = way (used);

  w.prefill_queue_ms = ms;
  return w;
}

/* How often each of WAYS is chosen of a thousand times.  */
std::vector<unsigned>
spread (const std::vector<mq_domain_choice> &ways, double age_ms)
{
  std::vector<unsigned> n (ways.size ());

  for (uint64_t draw = 0; draw < 1000; draw++)
    n[(size_t)choose (
        ways, { 1000, MQ_DOMAIN_NEW, 500, age_ms, mq_hash_mix (1, draw) })]++;
  return n;
}

} // namespace

TEST (DomainLoad, TheEmptiestByShareIsChosen)
{
  EXPECT_EQ (choose ({ way (50000), way (20000) }), 1);
  EXPECT_EQ (choose ({ way (50000, 200000), way (30000, 50000) }), 0);
}

TEST (DomainLoad, ItsOwnDomainIsPreferredUntilItIsFuller)
{
  EXPECT_EQ (choose ({ way (30000, 100000, true), way (20000) }), 0);
  EXPECT_EQ (choose ({ way (60000, 100000, true), way (20000) }), 1);
}

TEST (DomainLoad, AFailedSendGoesElsewhere)
{
  EXPECT_EQ (choose ({ way (10000, 100000, true, true), way (30000) }), 1);
  EXPECT_EQ (choose ({ way (10000, 100000, true, true) }), 0);
}

TEST (DomainLoad, WhatDoesNotFitIsRefused)
{
  EXPECT_EQ (choose ({ way (91500) }), -1);
  EXPECT_EQ (choose ({}), -1);
  EXPECT_EQ (choose ({ way (0, 500) }), -1);
}

TEST (DomainLoad, ReturnsAreToldToComeBackWithinWhatTheyFollow)
{
  for (uint64_t draw : { (uint64_t)0, UINT64_MAX / 2, UINT64_MAX })
    {
      EXPECT_LE (mq_domain_retry_after_ms (20000, draw), 20000u / 3);
      EXPECT_GE (mq_domain_retry_after_ms (20000, draw), 4000u);
    }
  EXPECT_NE (mq_domain_retry_after_ms (20000, 0),
             mq_domain_retry_after_ms (20000, UINT64_MAX));
  EXPECT_GT (mq_domain_retry_after_ms (0, 0), 0u);
}

TEST (DomainLoad, TheMoreWouldBeLostTheMoreMayBeTaken)
{
  EXPECT_EQ (choose ({ way (90000) }, 1000, MQ_DOMAIN_RETRY), -1);
  EXPECT_EQ (choose ({ way (90000) }, 1000, MQ_DOMAIN_NEW), 0);
  EXPECT_EQ (choose ({ way (99000) }, 1000, MQ_DOMAIN_NEW), -1);
  EXPECT_EQ (choose ({ way (99000) }, 1000, MQ_DOMAIN_STARTED), 0);
  EXPECT_EQ (choose ({ way (102000) }, 1000, MQ_DOMAIN_STARTED), -1);
}

TEST (DomainLoad, TheNeedIsWhatARequestHoldsOnTheAverage)
{
  EXPECT_EQ (mq_domain_expected_tokens (700, 80, 50, 172), 730);
  EXPECT_EQ (mq_domain_expected_tokens (700, 80, 500, 172), 748);
  EXPECT_EQ (mq_domain_expected_tokens (700, 80, 0, 172), 748);
  EXPECT_NEAR (mq_domain_expected_tokens (700, 0, 0, 172), 803.2, 0.01);
}

TEST (DomainLoad, APromptGoesWhereLessIsReadBeforeIt)
{
  EXPECT_EQ (choose ({ reading (400, 10000), reading (100, 80000) }), 1);
}

TEST (DomainLoad, WhereAllReadTooMuchItWaits)
{
  EXPECT_EQ (choose ({ reading (400), reading (350) }),
             MQ_DOMAIN_PREFILL_BACKLOG);
  /* It is not for want of reading that it does not fit.  */
  EXPECT_EQ (choose ({ reading (400, 99000) }), MQ_DOMAIN_NO_MEMORY);
}

TEST (DomainLoad, WhatWouldBeInTimeGoesBeforeWhatIsLateAnyhow)
{
  EXPECT_EQ (choose ({ reading (270) }, 1000, MQ_DOMAIN_RETRY),
             MQ_DOMAIN_PREFILL_BACKLOG);
  EXPECT_EQ (choose ({ reading (270) }, 1000, MQ_DOMAIN_NEW), 0);
  /* Its client waits for the next event.  */
  EXPECT_EQ (choose ({ reading (450) }, 1000, MQ_DOMAIN_STARTED), 0);
}

TEST (DomainLoad, WhatHasWaitedLongEnoughGoesAllTheSame)
{
  EXPECT_EQ (choose ({ reading (5000) }, { 1000, MQ_DOMAIN_NEW, 0, fresh, 1 }),
             0);
}

TEST (DomainLoad, FreshCountsChooseTheFreest)
{
  EXPECT_GE (spread ({ way (50000), way (30000) }, fresh)[1], 999u);
}

TEST (DomainLoad, StaleCountsSpreadByWhatIsFree)
{
  auto n = spread ({ way (70000), way (30000) }, stale);

  EXPECT_NEAR (n[0], 1000 * 21.0 / (21 + 61), 40);
}

/* A lost path sends hundreds of begun streams to the others at once, whose
   prompts are read there before they go on: shared out by memory, those that
   came to slow paths paused for 0.4 to 0.7 s while fast ones had little to
   read (trouble-2 and -3 of the shifted deployment).  */
TEST (DomainLoad, BegunStreamsGoWhereTheirPromptsAreReadSoonest)
{
  mq_domain_choice slow = way (30000);
  mq_domain_choice fast = way (30000);
  mq_domain_choice busy = way (30000);
  std::vector<unsigned> n (3);

  slow.prefill_ms = 40;
  fast.prefill_ms = 10;
  busy.prefill_ms = 10;
  busy.prefill_queue_ms = 30;
  for (uint64_t draw = 0; draw < 1000; draw++)
    n[(size_t)choose (
        { slow, fast, busy },
        { 1000, MQ_DOMAIN_STARTED, 500, stale, mq_hash_mix (1, draw) })]++;
  EXPECT_GT (n[1], 5 * n[0]);
  EXPECT_GT (n[1], 5 * n[2]);
  /* None is left out, since others choose as well.  */
  EXPECT_GT (n[0], 10u);
}

/* Memory still counts: a fast path that is all but full is left to others.  */
TEST (DomainLoad, BegunStreamsLeaveAFullPath)
{
  mq_domain_choice slow = way (10000);
  mq_domain_choice full = way (100500);

  slow.prefill_ms = 20;
  full.prefill_ms = 10;
  for (uint64_t draw = 0; draw < 50; draw++)
    EXPECT_EQ (choose ({ slow, full }, { 2000, MQ_DOMAIN_STARTED, 500, stale,
                                         mq_hash_mix (1, draw) }),
               0);
}
