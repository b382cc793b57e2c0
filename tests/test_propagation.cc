/* Who passes on what a router lacks: one at first, others when that does not
   help.  */

#include <mq/propagation.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace
{

constexpr uint64_t ms = 1000;
constexpr mq_propagation_delays waits = { 300 * ms, 300 * ms, 0 };

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

/* The rank of each of ALL for RECEIVER.  */
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

TEST (PassOn, EachReceiverHasOneFirst)
{
  for (const char *receiver : { "a", "b", "c" })
    {
      std::vector<unsigned> r = ranks (names (72), receiver);

      std::sort (r.begin (), r.end ());
      for (unsigned i = 0; i < r.size (); i++)
        EXPECT_EQ (r[i], i);
    }
}

TEST (PassOn, ReceiversHaveDifferentFirsts)
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

/* halvorsen-fleet-grown trouble-1: 73 routers, a third without the store, and
   a large configuration.  All told each: 72 messages three times a second.  */
TEST (PassOn, AFleetTellsAReceiverAFewTimesUntilItsNewsCome)
{
  unsigned told = 0;

  for (unsigned rank : ranks (names (72), "receiver"))
    {
      mq_lag lag = { 0, 0 };

      for (uint64_t now = ms; now < 1000 * ms; now += 50 * ms)
        told += mq_propagation_is_due (&lag, true, rank, waits, now);
    }
  EXPECT_GE (told, 2u);
  EXPECT_LE (told, 6u);
}

TEST (PassOn, TheNextOneTellsWhenTheFirstDoesNot)
{
  mq_lag lag = { 0, 0 };

  EXPECT_FALSE (mq_propagation_is_due (&lag, true, 1, waits, ms));
  EXPECT_FALSE (mq_propagation_is_due (&lag, true, 1, waits, 599 * ms));
  EXPECT_TRUE (mq_propagation_is_due (&lag, true, 1, waits, 601 * ms));
}

TEST (PassOn, WhoCatchesUpIsNotTold)
{
  mq_lag lag = { 0, 0 };

  EXPECT_FALSE (mq_propagation_is_due (&lag, true, 0, waits, ms));
  EXPECT_FALSE (mq_propagation_is_due (&lag, false, 0, waits, 400 * ms));
  EXPECT_FALSE (mq_propagation_is_due (&lag, true, 0, waits, 500 * ms));
  EXPECT_TRUE (mq_propagation_is_due (&lag, true, 0, waits, 801 * ms));
}

/* halvorsen-fleet-grown trouble-3, 26 to 31 s: the store came back, each of 73
   routers heard a new configuration within a second and seemed the only one
   that did, so that each told all others at once.  */
TEST (PassOn, WhenTheStoreComesBackNobodyTellsBeforeOthersNewsCome)
{
  mq_propagation_delays back = waits;
  mq_lag lag = { 0, 0 };

  back.first_us = 0; /* The receiver seems not to reach the store.  */
  back.not_before_us = 1300 * ms;
  EXPECT_FALSE (mq_propagation_is_due (&lag, true, 0, back, 1010 * ms));
  EXPECT_FALSE (mq_propagation_is_due (&lag, true, 0, back, 1250 * ms));
  /* By now its news say that it knows.  */
  EXPECT_FALSE (mq_propagation_is_due (&lag, false, 0, back, 1290 * ms));
  /* Had they not, it would be told.  */
  EXPECT_TRUE (mq_propagation_is_due (&lag, true, 0, back, 1301 * ms));
}
