/* The order of waiting requests.  */

#include <mq/send_order.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <numeric>
#include <random>
#include <vector>

namespace
{

mq_send_waiter
waiter (mq_send_class kind, int level, uint64_t since = 0, double use = 0)
{
  return { kind, level, use, since, 0, nullptr };
}

/* Returns true if WAITERS, which arrive in any order, are sent in the order
   given.  */
bool
keeps (const std::vector<mq_send_waiter> &waiters)
{
  std::vector<size_t> order (waiters.size ());

  std::iota (order.begin (), order.end (), 0);
  do
    {
      std::vector<mq_send_waiter> sorted;

      for (size_t i : order)
        {
          sorted.push_back (waiters[i]);
          sorted.back ().arrival = sorted.size ();
          sorted.back ().user = const_cast<mq_send_waiter *> (&waiters[i]);
        }
      mq_send_order_sort (sorted.data (), sorted.size ());
      for (size_t i = 0; i < sorted.size (); i++)
        if (sorted[i].user != &waiters[i])
          return false;
    }
  while (std::next_permutation (order.begin (), order.end ()));
  return true;
}

} // namespace

TEST (SendOrder, BegunStreamsComeFirstThenLostSends)
{
  EXPECT_TRUE (keeps (
      { waiter (MQ_SEND_CLASS_BEGUN, 0), waiter (MQ_SEND_CLASS_BEGUN, 2),
        waiter (MQ_SEND_CLASS_LOST, 0), waiter (MQ_SEND_CLASS_LOST, 1),
        waiter (MQ_SEND_CLASS_NEW, 0), waiter (MQ_SEND_CLASS_NEW, 9) }));
}

TEST (SendOrder, ThenLevelShareAndTimeUntilDisconnect)
{
  EXPECT_TRUE (keeps ({ waiter (MQ_SEND_CLASS_NEW, 0, 90, 2),
                        waiter (MQ_SEND_CLASS_NEW, 1, 80, 0.5),
                        waiter (MQ_SEND_CLASS_NEW, 1, 10, 0.9),
                        waiter (MQ_SEND_CLASS_NEW, 1, 20, 0.9),
                        waiter (MQ_SEND_CLASS_NEW, 2, 5) }));
}

TEST (SendOrder, EqualRequestsKeepOrderOfArrival)
{
  std::vector<mq_send_waiter> w (50, waiter (MQ_SEND_CLASS_NEW, 1));

  for (size_t i = 0; i < w.size (); i++)
    w[i].arrival = i;
  std::shuffle (w.begin (), w.end (), std::mt19937 (1));
  mq_send_order_sort (w.data (), w.size ());
  for (size_t i = 0; i < w.size (); i++)
    EXPECT_EQ (w[i].arrival, i);
  mq_send_order_sort (nullptr, 0);
}

/* Guards against requests of equal urgency that wait for one another.  */
TEST (SendOrder, YieldsOnlyToMoreUrgentRetries)
{
  mq_send_waiter urgent = waiter (MQ_SEND_CLASS_BEGUN, 0, 50);
  mq_send_waiter same = waiter (MQ_SEND_CLASS_BEGUN, 0, 10);
  mq_send_waiter less = waiter (MQ_SEND_CLASS_BEGUN, 1);
  mq_send_waiter lost = waiter (MQ_SEND_CLASS_LOST, 0);

  EXPECT_TRUE (mq_send_order_yields (&less, &urgent));
  EXPECT_FALSE (mq_send_order_yields (&urgent, &less));
  EXPECT_FALSE (mq_send_order_yields (&urgent, &same));
  EXPECT_FALSE (mq_send_order_yields (&same, &urgent));
  EXPECT_TRUE (mq_send_order_yields (&lost, &less));
}
