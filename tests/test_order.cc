/* Orders under a lease, one reply at a time.  */

#include <gtest/gtest.h>
#include <mq/order.h>
#include <string>

namespace
{

constexpr uint64_t S = 1000000;
constexpr uint64_t MAX_IN_FLIGHT_US = 5 * S;
constexpr uint64_t POLL_INTERVAL_US = 1 * S;

struct Orders : testing::Test
{
  mq_orders *orders = nullptr;
  GArray *actions = mq_orders_actions_new ();
  uint64_t now = 100 * S;

  Orders ()
  {
    mq_orders_options o = {};

    o.max_in_flight_us = MAX_IN_FLIGHT_US;
    o.poll_interval_us = POLL_INTERVAL_US;
    o.verify_interval_us = 30 * S;
    o.bytes_per_s = 1000;
    o.concurrent = 2;
    o.load_timeout_us = 60 * S;
    o.target_timeout_us = 300 * S;
    orders = mq_orders_new (&o);
  }
  ~Orders () override
  {
    mq_orders_free (orders);
    g_array_unref (actions);
  }

  void
  handle (mq_orders_event e)
  {
    e.now_us = now;
    g_array_set_size (actions, 0);
    mq_orders_handle (orders, &e, actions);
  }
  void
  set_target (const char *engine, bool checks, uint64_t bytes = 0)
  {
    mq_orders_event e = {};

    e.kind = MQ_ORDERS_SET_TARGET;
    e.u.target = {
      mq_span_from (engine), MQ_SPAN ("m"), MQ_SPAN ("v2"), 0, 8, checks, bytes
    };
    handle (e);
  }
  void
  lease (uint64_t fencing, bool taken = true, bool handed_over = false)
  {
    mq_orders_event e = {};

    e.kind = MQ_ORDERS_LEASE;
    e.u.lease = { fencing, now + 60 * S, taken, handed_over };
    handle (e);
  }
  void
  lose_lease ()
  {
    mq_orders_event e = {};

    e.kind = MQ_ORDERS_LEASE_LOST;
    handle (e);
  }
  void
  tick (uint64_t later)
  {
    mq_orders_event e = {};

    now += later;
    e.kind = MQ_ORDERS_TICK;
    handle (e);
  }
  mq_orders_action &
  act (guint i = 0)
  {
    return g_array_index (actions, mq_orders_action, i);
  }
  void
  read_reply (uint64_t order, const char *version, bool loading = false,
              uint64_t fencing = 0)
  {
    mq_orders_event e = {};

    e.kind = MQ_ORDERS_READ_REPLY;
    e.u.holds.order = order;
    e.u.holds.known = true;
    e.u.holds.holds
        = { MQ_SPAN ("m"), mq_span_from (version), 0, 8, loading, fencing };
    handle (e);
  }
  void
  send_reply (uint64_t order, mq_order_reply reply)
  {
    mq_orders_event e = {};

    e.kind = MQ_ORDERS_SEND_REPLY;
    e.u.sent = { order, reply };
    handle (e);
  }
  void
  expect (mq_orders_action_kind kind)
  {
    ASSERT_GE (actions->len, 1U);
    EXPECT_EQ (act ().kind, kind);
  }
};

} // namespace

TEST_F (Orders, SendsNothingWithoutALease)
{
  set_target ("e1", true);
  expect (MQ_ORDERS_NEED_LEASE);
  tick (10 * S);
  EXPECT_EQ (actions->len, 0U);
  lease (7);
  expect (MQ_ORDERS_READ);
  now += 60 * S; /* Paused until the lease has expired.  */
  read_reply (1, "v1");
  for (guint i = 0; i < actions->len; i++)
    EXPECT_NE (act (i).kind, MQ_ORDERS_SEND);
}

TEST_F (Orders, ReadsSendsAndVerifies)
{
  set_target ("e1", true);
  lease (7);
  read_reply (1, "v1");
  expect (MQ_ORDERS_SEND);
  EXPECT_EQ (act ().fencing, 7U);
  send_reply (1, MQ_ORDER_ACCEPTED);
  tick (POLL_INTERVAL_US);
  expect (MQ_ORDERS_READ);
  read_reply (1, "v2", true, 7);
  EXPECT_EQ (actions->len, 0U);
  tick (POLL_INTERVAL_US);
  read_reply (1, "v2", false, 7);
  expect (MQ_ORDERS_REACHED);
  EXPECT_EQ (mq_orders_pending (orders), 0U);
  /* The lease is released once no earlier holder's order can arrive.  */
  tick (MAX_IN_FLIGHT_US);
  expect (MQ_ORDERS_IDLE);
}

TEST_F (Orders, OrdersAFencingEngineThatHoldsTheTarget)
{
  set_target ("e1", true);
  lease (7);
  read_reply (1, "v2", false, 5);
  expect (MQ_ORDERS_SEND);
}

TEST_F (Orders, WaitsForEarlierOrdersIfFencingIsIgnored)
{
  set_target ("e1", false);
  lease (7);
  EXPECT_EQ (actions->len, 0U);
  tick (MAX_IN_FLIGHT_US - 1);
  EXPECT_EQ (actions->len, 0U);
  tick (1);
  expect (MQ_ORDERS_READ);
  read_reply (1, "v1");
  expect (MQ_ORDERS_SEND);
}

TEST_F (Orders, DoesNotWaitAfterAHandover)
{
  set_target ("e1", false);
  lease (7, true, true);
  expect (MQ_ORDERS_READ);
}

TEST_F (Orders, IgnoresReadsFromBeforeTheLeaseWasLost)
{
  set_target ("e1", false);
  lease (7, true, true);
  lose_lease ();
  lease (9);
  read_reply (1, "v1");
  EXPECT_EQ (actions->len, 0U);
}

TEST_F (Orders, VerifiesAndRepeatsIfFencingIsIgnored)
{
  set_target ("e1", false);
  lease (7, true, true);
  read_reply (1, "v2");
  expect (MQ_ORDERS_REACHED);
  tick (30 * S);
  expect (MQ_ORDERS_READ);
  read_reply (1, "v0"); /* Effect of a late order of a paused holder.  */
  expect (MQ_ORDERS_SEND);
}

TEST_F (Orders, HigherFencingTokenStopsTheHolder)
{
  set_target ("e1", true);
  lease (7);
  read_reply (1, "v1", false, 8);
  expect (MQ_ORDERS_STOPPED);
  lease (7);
  tick (POLL_INTERVAL_US);
  read_reply (1, "v1", false, 6);
  expect (MQ_ORDERS_SEND);
  send_reply (1, MQ_ORDER_FENCED);
  expect (MQ_ORDERS_STOPPED);
}

TEST_F (Orders, ReadsBackAfterALostReply)
{
  set_target ("e1", true);
  lease (7);
  read_reply (1, "v1");
  expect (MQ_ORDERS_SEND);
  send_reply (1, MQ_ORDER_NO_REPLY);
  tick (POLL_INTERVAL_US);
  expect (MQ_ORDERS_READ);
  read_reply (1, "v2", false, 7);
  expect (MQ_ORDERS_REACHED);
}

TEST_F (Orders, LimitsTheRateOfTheWeightStore)
{
  set_target ("e1", true, 3000);
  set_target ("e2", true, 3000);
  lease (7);
  ASSERT_EQ (actions->len, 2U);
  read_reply (1, "v1");
  expect (MQ_ORDERS_SEND);
  read_reply (2, "v1");
  EXPECT_EQ (actions->len, 0U);
  tick (3 * S - 1);
  for (guint i = 0; i < actions->len; i++)
    EXPECT_NE (act (i).order, 2U);
  tick (1);
  expect (MQ_ORDERS_READ);
  read_reply (2, "v1");
  expect (MQ_ORDERS_SEND);
}

TEST_F (Orders, LimitsConcurrentLoads)
{
  for (const char *e : { "e1", "e2", "e3" })
    set_target (e, true);
  lease (7);
  for (uint64_t i = 1; i <= 2; i++)
    {
      read_reply (i, "v1");
      expect (MQ_ORDERS_SEND);
    }
  read_reply (3, "v1");
  EXPECT_EQ (actions->len, 0U);
}

TEST_F (Orders, CancelRemovesATargetUnlessAnOrderWasSent)
{
  mq_orders_event e = {};

  e.kind = MQ_ORDERS_CANCEL;
  e.u.engine = MQ_SPAN ("e1");
  set_target ("e1", true);
  handle (e);
  expect (MQ_ORDERS_IDLE);
  set_target ("e1", true);
  lease (7);
  read_reply (2, "v1");
  expect (MQ_ORDERS_SEND);
  handle (e);
  EXPECT_EQ (mq_orders_pending (orders), 1U);
}

TEST_F (Orders, RemovesATargetAfterItsTimeout)
{
  set_target ("e1", true);
  tick (300 * S);
  expect (MQ_ORDERS_IDLE);
  EXPECT_EQ (mq_orders_pending (orders), 0U);
}

TEST_F (Orders, ReachedTargetIsNotOrderedUnderALaterLease)
{
  set_target ("e1", true);
  lease (7);
  read_reply (1, "v2", false, 7);
  expect (MQ_ORDERS_REACHED);
  lose_lease ();
  lease (9);
  for (guint i = 0; i < actions->len; i++)
    EXPECT_EQ (act (i).kind, MQ_ORDERS_IDLE);
}
