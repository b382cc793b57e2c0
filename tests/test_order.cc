/* Orders under a lease, reply by reply.  */

#include <gtest/gtest.h>
#include <mq/order.h>
#include <string>

namespace
{

constexpr uint64_t S = 1000000;
constexpr uint64_t FLIGHT = 5 * S;
constexpr uint64_t POLL = 1 * S;

struct Orders : testing::Test
{
  mq_orders *orders = nullptr;
  GArray *actions = mq_orders_actions_new ();
  uint64_t now = 100 * S;

  Orders ()
  {
    mq_orders_options o = {};

    o.max_in_flight_us = FLIGHT;
    o.poll_interval_us = POLL;
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
  target (const char *engine, bool checks, uint64_t bytes = 0)
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
  lose ()
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
  holds (uint64_t order, const char *version, bool loading = false,
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
  sent (uint64_t order, mq_order_reply reply)
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

TEST_F (Orders, NothingIsSentWithoutALease)
{
  target ("e1", true);
  expect (MQ_ORDERS_NEED_LEASE);
  tick (10 * S);
  EXPECT_EQ (actions->len, 0U);
  lease (7);
  expect (MQ_ORDERS_READ);
  now += 60 * S; /* Paused until the lease is over.  */
  holds (1, "v1");
  for (guint i = 0; i < actions->len; i++)
    EXPECT_NE (act (i).kind, MQ_ORDERS_SEND);
}

TEST_F (Orders, ReadsOrdersAndReadsBack)
{
  target ("e1", true);
  lease (7);
  holds (1, "v1");
  expect (MQ_ORDERS_SEND);
  EXPECT_EQ (act ().fencing, 7U);
  sent (1, MQ_ORDER_ACCEPTED);
  tick (POLL);
  expect (MQ_ORDERS_READ);
  holds (1, "v2", true, 7);
  EXPECT_EQ (actions->len, 0U);
  tick (POLL);
  holds (1, "v2", false, 7);
  expect (MQ_ORDERS_REACHED);
  EXPECT_EQ (mq_orders_pending (orders), 0U);
  /* The lease is given back once earlier holders' orders can't come.  */
  tick (FLIGHT);
  expect (MQ_ORDERS_IDLE);
}

TEST_F (Orders, OneThatHoldsTheEndAlreadyIsFencedAllTheSame)
{
  target ("e1", true);
  lease (7);
  holds (1, "v2", false, 5);
  expect (MQ_ORDERS_SEND);
}

TEST_F (Orders, WaitsOutTheFlightForAnEngineThatIgnoresFencing)
{
  target ("e1", false);
  lease (7);
  EXPECT_EQ (actions->len, 0U);
  tick (FLIGHT - 1);
  EXPECT_EQ (actions->len, 0U);
  tick (1);
  expect (MQ_ORDERS_READ);
  holds (1, "v1");
  expect (MQ_ORDERS_SEND);
}

TEST_F (Orders, ALeaseHandedOverNeedsNoWait)
{
  target ("e1", false);
  lease (7, true, true);
  expect (MQ_ORDERS_READ);
}

TEST_F (Orders, ReadFromBeforeTheLeaseLapsedDoesNotOrderEarly)
{
  target ("e1", false);
  lease (7, true, true);
  lose ();
  lease (9);
  holds (1, "v1");
  EXPECT_EQ (actions->len, 0U);
}

TEST_F (Orders, VerifiesAndRepeatsWhereFencingIsIgnored)
{
  target ("e1", false);
  lease (7, true, true);
  holds (1, "v2");
  expect (MQ_ORDERS_REACHED);
  tick (30 * S);
  expect (MQ_ORDERS_READ);
  holds (1, "v0"); /* A late order of a holder that had been asleep.  */
  expect (MQ_ORDERS_SEND);
}

TEST_F (Orders, AHigherNumberStopsTheHolder)
{
  target ("e1", true);
  lease (7);
  holds (1, "v1", false, 8);
  expect (MQ_ORDERS_STOPPED);
  lease (7);
  tick (POLL);
  holds (1, "v1", false, 6);
  expect (MQ_ORDERS_SEND);
  sent (1, MQ_ORDER_FENCED);
  expect (MQ_ORDERS_STOPPED);
}

TEST_F (Orders, LostReplyIsReadBackBeforeARepeat)
{
  target ("e1", true);
  lease (7);
  holds (1, "v1");
  expect (MQ_ORDERS_SEND);
  sent (1, MQ_ORDER_NO_REPLY);
  tick (POLL);
  expect (MQ_ORDERS_READ);
  holds (1, "v2", false, 7);
  expect (MQ_ORDERS_REACHED);
}

TEST_F (Orders, KeepsToTheWeightStoresRate)
{
  target ("e1", true, 3000);
  target ("e2", true, 3000);
  lease (7);
  ASSERT_EQ (actions->len, 2U);
  holds (1, "v1");
  expect (MQ_ORDERS_SEND);
  holds (2, "v1");
  EXPECT_EQ (actions->len, 0U);
  tick (3 * S - 1);
  for (guint i = 0; i < actions->len; i++)
    EXPECT_NE (act (i).order, 2U);
  tick (1);
  expect (MQ_ORDERS_READ);
  holds (2, "v1");
  expect (MQ_ORDERS_SEND);
}

TEST_F (Orders, LoadsNoMoreEnginesAtOnceThanAllowed)
{
  for (const char *e : { "e1", "e2", "e3" })
    target (e, true);
  lease (7);
  for (uint64_t i = 1; i <= 2; i++)
    {
      holds (i, "v1");
      expect (MQ_ORDERS_SEND);
    }
  holds (3, "v1");
  EXPECT_EQ (actions->len, 0U);
}

TEST_F (Orders, WhatIsNoLongerWantedIsDroppedUnlessItWasSent)
{
  mq_orders_event e = {};

  e.kind = MQ_ORDERS_CANCEL;
  e.u.engine = MQ_SPAN ("e1");
  target ("e1", true);
  handle (e);
  expect (MQ_ORDERS_IDLE);
  target ("e1", true);
  lease (7);
  holds (2, "v1");
  expect (MQ_ORDERS_SEND);
  handle (e);
  EXPECT_EQ (mq_orders_pending (orders), 1U);
}

TEST_F (Orders, WhatWaitsTooLongIsDropped)
{
  target ("e1", true);
  tick (300 * S);
  expect (MQ_ORDERS_IDLE);
  EXPECT_EQ (mq_orders_pending (orders), 0U);
}

TEST_F (Orders, WhatWasReachedIsNotOrderedAgainUnderALaterLease)
{
  target ("e1", true);
  lease (7);
  holds (1, "v2", false, 7);
  expect (MQ_ORDERS_REACHED);
  lose ();
  lease (9);
  for (guint i = 0; i < actions->len; i++)
    EXPECT_EQ (act (i).kind, MQ_ORDERS_IDLE);
}
