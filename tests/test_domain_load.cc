/* Where a request goes and when it is refused, by what is in flight.  */

#include <mq/domain_load.h>

#include <gtest/gtest.h>

#include <vector>

namespace
{

mq_domain_choice
way (double used, double room = 100000, bool local = false, bool tried = false)
{
  return { MQ_SPAN ("d"), room, used, 10, tried, local };
}

mq_domain_verdict
choose (const std::vector<mq_domain_choice> &ways, double need = 1000,
        bool begun = false, uint64_t draw = 0)
{
  return mq_domain_choose (ways.data (), ways.size (), need, begun, draw);
}

} // namespace

TEST (DomainLoad, TheEmptiestByShareIsChosen)
{
  EXPECT_EQ (choose ({ way (50000), way (20000) }).chosen, 1);
  EXPECT_EQ (choose ({ way (50000, 200000), way (30000, 50000) }).chosen, 0);
}

TEST (DomainLoad, ItsOwnDomainIsPreferredUntilItIsFuller)
{
  EXPECT_EQ (choose ({ way (30000, 100000, true), way (20000) }).chosen, 0);
  EXPECT_EQ (choose ({ way (60000, 100000, true), way (20000) }).chosen, 1);
}

TEST (DomainLoad, AFailedSendGoesElsewhere)
{
  EXPECT_EQ (
      choose ({ way (10000, 100000, true, true), way (30000) }).chosen, 1);
  EXPECT_EQ (choose ({ way (10000, 100000, true, true) }).chosen, 0);
}

TEST (DomainLoad, WhatDoesNotFitIsRefusedAtOnceWithATimeToComeBack)
{
  mq_domain_verdict v = choose ({ way (95000), way (99000) });

  EXPECT_EQ (v.chosen, -1);
  EXPECT_GE (v.retry_ms, 200u);
  EXPECT_LE (v.retry_ms, 4500u);
}

TEST (DomainLoad, TheReturnIsLaterTheFullerAndIsSpread)
{
  unsigned little = choose ({ way (91500) }).retry_ms;
  unsigned much = choose ({ way (160000) }).retry_ms;

  EXPECT_LT (little, much);
  EXPECT_NE (choose ({ way (160000) }, 1000, false, 0).retry_ms,
             choose ({ way (160000) }, 1000, false, UINT64_MAX).retry_ms);
}

TEST (DomainLoad, AStreamThatHasBegunMayTakeTheReserve)
{
  EXPECT_EQ (choose ({ way (95000) }, 1000, false).chosen, -1);
  EXPECT_EQ (choose ({ way (95000) }, 1000, true).chosen, 0);
  EXPECT_EQ (choose ({ way (99900) }, 1000, true).chosen, -1);
}

TEST (DomainLoad, TheNeedFollowsTheEstimateWithinTheMost)
{
  EXPECT_EQ (mq_domain_need (700, 80, 50, 172), 750);
  EXPECT_EQ (mq_domain_need (700, 80, 500, 172), 780);
  EXPECT_EQ (mq_domain_need (700, 80, 0, 172), 780);
  EXPECT_EQ (mq_domain_need (700, 0, 0, 172), 872);
}
