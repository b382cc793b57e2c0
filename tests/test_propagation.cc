/* Which router propagates to one that lags: the first in rank, then the next
   ones.  */

#include <mq/propagation.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace
{

constexpr uint64_t ms = 1000;
constexpr mq_propagation_delays delays = { 300 * ms, 300 * ms, 0 };

std::vector<std::string>
names (unsigned n)
{
  std::vector<std::string> all;

  for (unsigned i = 0; i < n; i++)
    all.push_back ("vm-" + std::to_string (i));
  return all;
}

mq_span
span (const std::string &s)
{
  return { s.data (), s.size () };
}

/* Returns the rank of each of ALL as a sender to RECEIVER.  */
std::vector<unsigned>
ranks (const std::vector<std::string> &all, const std::string &receiver)
{
  std::vector<unsigned> r;

  for (const std::string &own : all)
    {
      std::vector<mq_span> others;

      for (const std::string &o : all)
        if (o != own)
          others.push_back (span (o));
      r.push_back (mq_propagation_rank (span (own), span (receiver),
                                        others.data (), others.size ()));
    }
  return r;
}

} // namespace

TEST (Propagation, EachReceiverHasDistinctRanks)
{
  for (const char *receiver : { "a", "b", "c" })
    {
      std::vector<unsigned> r = ranks (names (72), receiver);

      std::sort (r.begin (), r.end ());
      for (unsigned i = 0; i < r.size (); i++)
        EXPECT_EQ (r[i], i);
    }
}

TEST (Propagation, FirstRankIsSpreadOverSenders)
{
  std::vector<unsigned> firsts (6);

  for (const std::string &receiver : names (60))
    {
      std::vector<unsigned> r = ranks (names (6), receiver);

      for (size_t i = 0; i < r.size (); i++)
        firsts[i] += r[i] == 0;
    }
  for (unsigned n : firsts)
    EXPECT_GE (n, 3u);
}

/* Guards against all routers sending a large configuration to each one that
   lags.  */
TEST (Propagation, FewRoutersSendBeforeReceiverCatchesUp)
{
  unsigned sent = 0;

  for (unsigned rank : ranks (names (72), "receiver"))
    {
      mq_lag lag = { 0, 0 };

      for (uint64_t now = ms; now < 1000 * ms; now += 50 * ms)
        sent += mq_propagation_is_due (&lag, true, rank, delays, now);
    }
  EXPECT_GE (sent, 2u);
  EXPECT_LE (sent, 6u);
}

TEST (Propagation, NextRankSendsAfterDelay)
{
  mq_lag lag = { 0, 0 };

  EXPECT_FALSE (mq_propagation_is_due (&lag, true, 1, delays, ms));
  EXPECT_FALSE (mq_propagation_is_due (&lag, true, 1, delays, 599 * ms));
  EXPECT_TRUE (mq_propagation_is_due (&lag, true, 1, delays, 601 * ms));
}

TEST (Propagation, ReceiverThatCatchesUpIsNotSentTo)
{
  mq_lag lag = { 0, 0 };

  EXPECT_FALSE (mq_propagation_is_due (&lag, true, 0, delays, ms));
  EXPECT_FALSE (mq_propagation_is_due (&lag, false, 0, delays, 400 * ms));
  EXPECT_FALSE (mq_propagation_is_due (&lag, true, 0, delays, 500 * ms));
  EXPECT_TRUE (mq_propagation_is_due (&lag, true, 0, delays, 801 * ms));
}

/* When the store recovers for all at once, each router appears to be the only
   one with the new configuration.  Guards against each sending it to all.  */
TEST (Propagation, NobodySendsRightAfterStoreRecovers)
{
  mq_propagation_delays recovered = delays;
  mq_lag lag = { 0, 0 };

  recovered.first_us = 0; /* The receiver does not seem to reach the store.  */
  recovered.not_before_us = 1300 * ms;
  EXPECT_FALSE (mq_propagation_is_due (&lag, true, 0, recovered, 1010 * ms));
  EXPECT_FALSE (mq_propagation_is_due (&lag, true, 0, recovered, 1250 * ms));
  /* Its gossip shows that it caught up.  */
  EXPECT_FALSE (mq_propagation_is_due (&lag, false, 0, recovered, 1290 * ms));
  /* If it still lagged, this router would send.  */
  EXPECT_TRUE (mq_propagation_is_due (&lag, true, 0, recovered, 1301 * ms));
}

/* A receiver that lacks a configuration must be found out also while each one
   is soon followed by another.  */
TEST (Propagation, VersionLogKnowsWhichVersionWasInForce)
{
  mq_version_log log = {};

  EXPECT_EQ (mq_version_log_get (&log, 100), 0u);
  for (unsigned i = 1; i <= 3 * MQ_VERSION_LOG_SIZE; i++)
    mq_version_log_note (&log, 10 + i, i * 100);
  uint64_t last = 3 * MQ_VERSION_LOG_SIZE;
  EXPECT_EQ (mq_version_log_get (&log, last * 100 + 50), 10 + last);
  EXPECT_EQ (mq_version_log_get (&log, last * 100 - 1), 9 + last);
  EXPECT_EQ (mq_version_log_get (&log, (last - 3) * 100), 7 + last);
  EXPECT_EQ (mq_version_log_get (&log, 100), 0u);
}
