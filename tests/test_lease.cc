/* Leases, one reply at a time.  */

#include <gtest/gtest.h>
#include <mq/lease.h>
#include <string>

namespace
{

constexpr uint64_t S = 1000000;
constexpr uint64_t DURATION_US = 10 * S;

struct Lease : testing::Test
{
  mq_lease *lease;
  GArray *actions = mq_lease_actions_new ();
  uint64_t now = 100 * S;

  Lease () : lease (make ()) {}
  static mq_lease *
  make ()
  {
    mq_lease_options o = {};

    o.router = 0xa;
    o.duration_us = DURATION_US;
    o.retry_us = 1 * S;
    o.timeout_us = 2 * S;
    o.margin_percent = 10;
    return mq_lease_new (&o);
  }
  ~Lease () override
  {
    mq_lease_free (lease);
    g_array_unref (actions);
  }

  void
  handle (mq_lease_event_kind kind, mq_store_reply reply = {},
          uint32_t step = 0)
  {
    mq_lease_event e = { kind, now, step, reply };

    g_array_set_size (actions, 0);
    mq_lease_handle (lease, &e, actions);
  }
  void
  tick (uint64_t later)
  {
    now += later;
    handle (MQ_LEASE_TICK);
  }
  mq_lease_action &
  act (guint i = 0)
  {
    return g_array_index (actions, mq_lease_action, i);
  }
  /* Answers the last action.  */
  void
  reply (mq_store_result result, uint64_t version = 0,
         const std::string &value = "")
  {
    ASSERT_GE (actions->len, 1U);
    handle (MQ_LEASE_REPLY,
            { result, version, { value.data (), value.size () } },
            act (actions->len - 1).step);
  }
  void
  expect (mq_lease_action_kind kind)
  {
    ASSERT_GE (actions->len, 1U);
    EXPECT_EQ (act ().kind, kind);
  }
  std::string
  written ()
  {
    return mq_str_cstr (act (actions->len - 1).value);
  }
  static std::string
  held_by (const char *holder)
  {
    return std::string ("{\"holder\":\"") + holder
           + "\",\"writer\":\"b-1\",\"duration_us\":10000000}";
  }
  void
  acquire ()
  {
    handle (MQ_LEASE_REQUEST);
    reply (MQ_STORE_ABSENT);
    reply (MQ_STORE_OK, 5);
    expect (MQ_LEASE_HELD);
  }
};

} // namespace

TEST_F (Lease, DurationCountsFromBeforeTheWrite)
{
  handle (MQ_LEASE_REQUEST);
  reply (MQ_STORE_ABSENT);
  expect (MQ_LEASE_WRITE);
  EXPECT_EQ (act ().version, 0U);
  now += 3 * S;
  reply (MQ_STORE_OK, 5);
  expect (MQ_LEASE_HELD);
  EXPECT_EQ (mq_lease_fencing (lease, now), 5U);
  /* 9 s after the write was sent, not after its reply.  */
  EXPECT_EQ (mq_lease_until (lease), 109 * S);
  EXPECT_EQ (mq_lease_fencing (lease, 109 * S - 1), 5U);
  EXPECT_EQ (mq_lease_fencing (lease, 109 * S), 0U);
}

TEST_F (Lease, ReplyAfterExpiryDoesNotHoldTheLease)
{
  handle (MQ_LEASE_REQUEST);
  reply (MQ_STORE_ABSENT);
  now += DURATION_US;
  reply (MQ_STORE_OK, 5);
  expect (MQ_LEASE_WRITE);
  EXPECT_EQ (mq_lease_fencing (lease, now), 0U);
}

TEST_F (Lease, ExpiresDuringAPauseAndIsReadAgain)
{
  acquire ();
  tick (DURATION_US);
  expect (MQ_LEASE_LOST);
  EXPECT_EQ (mq_lease_fencing (lease, now), 0U);
  ASSERT_EQ (actions->len, 2U);
  EXPECT_EQ (act (1).kind, MQ_LEASE_READ);
}

TEST_F (Lease, ReadsBackARenewalWithALostReply)
{
  acquire ();
  tick (DURATION_US / 3);
  expect (MQ_LEASE_WRITE);
  EXPECT_EQ (act ().version, 5U);
  std::string own_value = written ();
  uint64_t sent = now;
  now += 1 * S;
  reply (MQ_STORE_UNKNOWN);
  expect (MQ_LEASE_READ);
  reply (MQ_STORE_OK, 6, own_value);
  EXPECT_EQ (mq_lease_fencing (lease, now), 6U);
  EXPECT_EQ (mq_lease_until (lease), sent + 9 * S);
}

TEST_F (Lease, TimeoutCountsAsALostReply)
{
  acquire ();
  tick (DURATION_US / 3);
  tick (2 * S);
  expect (MQ_LEASE_READ);
}

TEST_F (Lease, WaitsForAnotherLeasePlusTheMargin)
{
  handle (MQ_LEASE_REQUEST);
  reply (MQ_STORE_OK, 7, held_by ("b"));
  EXPECT_EQ (actions->len, 0U);
  uint64_t seen = now;
  while (now + 1 * S < seen + 11 * S)
    {
      tick (1 * S);
      expect (MQ_LEASE_READ);
      reply (MQ_STORE_OK, 7, held_by ("b"));
      ASSERT_EQ (actions->len, 0U) << now - seen;
    }
  tick (1 * S);
  reply (MQ_STORE_OK, 7, held_by ("b"));
  expect (MQ_LEASE_WRITE);
  EXPECT_EQ (act ().version, 7U);
  reply (MQ_STORE_OK, 8);
  expect (MQ_LEASE_HELD);
  EXPECT_FALSE (act ().handed_over);
}

TEST_F (Lease, ObservedRenewalRestartsTheWait)
{
  handle (MQ_LEASE_REQUEST);
  reply (MQ_STORE_OK, 7, held_by ("b"));
  tick (10 * S);
  reply (MQ_STORE_OK, 8, held_by ("b"));
  tick (2 * S);
  reply (MQ_STORE_OK, 8, held_by ("b"));
  EXPECT_EQ (actions->len, 0U);
}

TEST_F (Lease, LosesALeaseAcquiredByAnother)
{
  acquire ();
  tick (DURATION_US / 3);
  reply (MQ_STORE_CONFLICT);
  reply (MQ_STORE_OK, 9, held_by ("b"));
  expect (MQ_LEASE_LOST);
  EXPECT_EQ (mq_lease_fencing (lease, now), 0U);
}

TEST_F (Lease, ReleaseHandsOverImmediately)
{
  acquire ();
  handle (MQ_LEASE_RELEASE);
  expect (MQ_LEASE_WRITE);
  EXPECT_NE (written ().find ("\"holder\":\"\""), std::string::npos);
  EXPECT_EQ (mq_lease_fencing (lease, now), 0U);
  reply (MQ_STORE_OK, 6);
  handle (MQ_LEASE_REQUEST);
  reply (MQ_STORE_OK, 6, held_by (""));
  expect (MQ_LEASE_WRITE);
  reply (MQ_STORE_OK, 7);
  expect (MQ_LEASE_HELD);
  EXPECT_TRUE (act ().handed_over);
}

/* The router must not mistake its own release for its lease.  */
TEST_F (Lease, OwnReleaseReadBackDoesNotHoldTheLease)
{
  acquire ();
  handle (MQ_LEASE_RELEASE);
  std::string release = written ();
  reply (MQ_STORE_OK, 6);
  handle (MQ_LEASE_REQUEST);
  reply (MQ_STORE_OK, 6, release);
  expect (MQ_LEASE_WRITE);
  EXPECT_EQ (mq_lease_fencing (lease, now), 0U);
}

TEST_F (Lease, OpenAcquisitionIsNotReleased)
{
  handle (MQ_LEASE_REQUEST);
  reply (MQ_STORE_ABSENT);
  uint32_t step = act ().step;
  handle (MQ_LEASE_RELEASE);
  handle (MQ_LEASE_REPLY, { MQ_STORE_OK, 5, {} }, step);
  EXPECT_EQ (actions->len, 0U);
}

TEST_F (Lease, IgnoresRepliesToEarlierSteps)
{
  handle (MQ_LEASE_REQUEST);
  uint32_t step = act ().step;
  reply (MQ_STORE_ABSENT);
  handle (MQ_LEASE_REPLY, { MQ_STORE_OK, 5, {} }, step);
  EXPECT_EQ (actions->len, 0U);
  EXPECT_EQ (mq_lease_fencing (lease, now), 0U);
}

/* A lease without a number for its duration counted as expired.  */
TEST_F (Lease, MalformedLeaseIsNotExpired)
{
  for (const char *duration :
       { "\"10000000\"", "null", "-1", "10000000,\"duration_us\":0" })
    {
      const std::string value
          = std::string ("{\"holder\":\"b\",\"writer\":\"b-1\","
                         "\"duration_us\":")
            + duration + "}";

      mq_lease_free (lease);
      lease = make ();
      handle (MQ_LEASE_REQUEST);
      reply (MQ_STORE_OK, 7, value);
      EXPECT_EQ (actions->len, 0U) << value;
      for (unsigned i = 0; i < 9; i++)
        {
          tick (1 * S);
          expect (MQ_LEASE_READ);
          reply (MQ_STORE_OK, 7, value);
          ASSERT_EQ (actions->len, 0U) << value;
        }
    }
}
