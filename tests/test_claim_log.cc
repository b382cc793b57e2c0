/* Claim logs: the state machine with single replies.  */

#include <gtest/gtest.h>
#include <mq/claim_log.h>
#include <string>
#include <vector>

namespace
{

constexpr uint64_t S = 1000000;
constexpr uint64_t LINGER = S / 10;
constexpr uint64_t LIFETIME = 100 * S;

/* The claim log of one router for a shard.  */
struct Log
{
  mq_claim_log *log;
  GArray *actions = mq_claim_log_actions_new ();
  uint64_t now = 100 * S;

  explicit Log (uint64_t router)
  {
    mq_claim_log_options o = {};

    o.router = router;
    o.give_up_us = 2 * S;
    o.retry_us = S;
    o.linger_us = LINGER;
    o.limit_bytes = 8 + 48 * 10;
    o.waiting = 20;
    log = mq_claim_log_new (&o);
  }
  ~Log ()
  {
    mq_claim_log_free (log);
    g_array_unref (actions);
  }

  void
  handle (mq_claims_event e)
  {
    e.now_us = now;
    e.wall_ms = now / 1000;
    g_array_set_size (actions, 0);
    mq_claim_log_handle (log, &e, actions);
  }
  void
  start (uint64_t handle_, uint64_t key, uint64_t body = 7)
  {
    mq_claims_event e = {};

    e.kind = MQ_CLAIMS_START;
    e.u.start = { handle_,
                  MQ_SPAN ("tekle"),
                  { (const char *)&key, sizeof key },
                  body,
                  LIFETIME };
    handle (e);
  }
  void
  reply (mq_store_result result, uint64_t version = 0,
         const std::string &value = "")
  {
    mq_claims_event e = {};

    ASSERT_GE (actions->len, 1U);
    e.kind = MQ_CLAIMS_REPLY;
    e.u.reply.step = act (actions->len - 1).step;
    e.u.reply.reply = { result, version, { value.data (), value.size () } };
    handle (e);
  }
  void
  tick (uint64_t later)
  {
    mq_claims_event e = {};

    now += later;
    e.kind = MQ_CLAIMS_TICK;
    handle (e);
  }
  void
  settle (uint64_t handle_, mq_outcome outcome)
  {
    mq_claims_event e = {};

    e.kind = MQ_CLAIMS_SETTLED;
    e.u.settled = { handle_, outcome };
    handle (e);
  }
  mq_claim_log_action &
  act (guint i)
  {
    return g_array_index (actions, mq_claim_log_action, i);
  }
  std::string
  value ()
  {
    mq_span v = mq_str_span (act (actions->len - 1).value);

    return std::string (v.data, v.size);
  }
  /* The results reported after the last event, in order.  */
  std::vector<mq_claim_result>
  results ()
  {
    std::vector<mq_claim_result> list;

    for (guint i = 0; i < actions->len; i++)
      if (act (i).kind == MQ_CLAIM_LOG_RESULT)
        list.push_back (act (i).result);
    return list;
  }
  /* Read an empty shard, win claim 1 of key 1 at version 1, and return the
     object.  */
  std::string
  win_first ()
  {
    start (1, 1);
    reply (MQ_STORE_ABSENT);
    std::string v = value ();
    reply (MQ_STORE_OK, 1);
    EXPECT_EQ (results (), std::vector<mq_claim_result>{ MQ_CLAIM_WON });
    return v;
  }
};

using Results = std::vector<mq_claim_result>;

} // namespace

TEST (ClaimLog, OneWriteCarriesAllWaitingClaims)
{
  Log a (1);

  a.win_first ();
  for (uint64_t i = 2; i <= 6; i++)
    {
      a.start (i, i);
      EXPECT_EQ (a.actions->len, 0U);
    }
  a.tick (LINGER);
  ASSERT_EQ (a.actions->len, 1U);
  EXPECT_EQ (a.act (0).version, 1U);
  EXPECT_EQ (a.value ().size (), 8 + 48 * 6U);
  a.reply (MQ_STORE_OK, 2);
  EXPECT_EQ (a.results (), Results (5, MQ_CLAIM_WON));
}

TEST (ClaimLog, KeyIsWonOnceInOneBatch)
{
  Log a (1);

  a.win_first ();
  a.start (2, 5);
  a.start (3, 5);
  a.start (4, 5, 8);
  a.tick (LINGER);
  EXPECT_EQ (a.results (), (Results{ MQ_CLAIM_LOST, MQ_CLAIM_MISMATCH }));
  a.reply (MQ_STORE_OK, 2);
  EXPECT_EQ (a.results (), Results{ MQ_CLAIM_WON });
}

TEST (ClaimLog, ReadsObjectAgainAfterConflict)
{
  Log a (1);
  Log b (2);
  std::string shard = a.win_first ();

  b.start (1, 1);
  b.reply (MQ_STORE_ABSENT);
  b.reply (MQ_STORE_CONFLICT);
  ASSERT_EQ (b.act (0).kind, MQ_CLAIM_LOG_READ);
  b.reply (MQ_STORE_OK, 1, shard);
  b.tick (LINGER);
  EXPECT_EQ (b.results (), Results{ MQ_CLAIM_LOST });
}

TEST (ClaimLog, EntryOfAnotherRouterNeedsReadAfterArrival)
{
  Log a (1);
  Log b (2);
  std::string shard = a.win_first ();

  b.start (1, 2);
  b.reply (MQ_STORE_OK, 1, shard);
  b.reply (MQ_STORE_OK, 2);
  b.now += LINGER;
  b.start (2, 1);
  ASSERT_EQ (b.actions->len, 1U);
  EXPECT_EQ (b.act (0).kind, MQ_CLAIM_LOG_READ);
  /* The other router released it in the meantime, so this claim wins.  */
  b.reply (MQ_STORE_OK, 3, "mqclaim1");
  ASSERT_EQ (b.actions->len, 1U);
  EXPECT_EQ (b.act (0).version, 3U);
  b.reply (MQ_STORE_OK, 4);
  EXPECT_EQ (b.results (), Results{ MQ_CLAIM_WON });
}

TEST (ClaimLog, ReadsObjectBackAfterLostReply)
{
  Log a (1);

  a.start (1, 1);
  a.reply (MQ_STORE_ABSENT);
  std::string v = a.value ();
  a.reply (MQ_STORE_UNKNOWN);
  ASSERT_EQ (a.act (0).kind, MQ_CLAIM_LOG_READ);
  a.reply (MQ_STORE_OK, 9, v);
  EXPECT_EQ (a.results (), Results{ MQ_CLAIM_WON });
}

TEST (ClaimLog, NextWriteOmitsReleasedAndExpiredEntries)
{
  Log a (1);

  a.win_first ();
  a.settle (1, MQ_OUTCOME_NOT_RUN);
  a.tick (LINGER);
  EXPECT_EQ (a.value (), "mqclaim1");
  a.reply (MQ_STORE_OK, 2);
  a.start (2, 2);
  a.tick (LINGER);
  a.reply (MQ_STORE_OK, 3);
  a.settle (2, MQ_OUTCOME_DONE);
  a.start (3, 2);
  a.tick (LINGER);
  EXPECT_EQ (a.results (), Results{ MQ_CLAIM_LOST });
  a.now += LIFETIME;
  a.start (4, 3);
  EXPECT_EQ (a.value ().size (), 8 + 48U);
}

TEST (ClaimLog, FullObjectAndTimeoutAreUnavailable)
{
  Log a (1);

  a.win_first ();
  for (uint64_t i = 2; i <= 12; i++)
    a.start (i, i);
  a.tick (LINGER);
  EXPECT_EQ (a.results (), Results (2, MQ_CLAIM_UNAVAILABLE));
  a.tick (2 * S);
  EXPECT_EQ (a.results (), Results (9, MQ_CLAIM_UNAVAILABLE));
  /* The write took effect too late; the next write omits its entries.  */
  mq_claims_event e = {};
  e.kind = MQ_CLAIMS_REPLY;
  e.u.reply.step = 3;
  e.u.reply.reply = { MQ_STORE_OK, 2, {} };
  a.handle (e);
  EXPECT_TRUE (a.results ().empty ());
  EXPECT_EQ (a.value ().size (), 8 + 48U);
}

TEST (ClaimLog, DoesNotOverwriteUnknownContent)
{
  Log a (1);

  a.start (1, 1);
  a.reply (MQ_STORE_OK, 5, "something else");
  EXPECT_EQ (a.actions->len, 0U);
  a.tick (2 * S);
  EXPECT_EQ (a.results (), Results{ MQ_CLAIM_UNAVAILABLE });
}
