/* Claims: the state machine with single replies.  */

#include <gtest/gtest.h>
#include <mq/claim.h>
#include <string>
#include <vector>

namespace
{

constexpr uint64_t MS = 1000;
constexpr uint64_t S = 1000 * MS;
constexpr uint64_t HOUR = 3600 * S;

struct Claims : testing::Test
{
  mq_claims *claims = nullptr;
  GArray *actions = mq_claims_actions_new ();
  uint64_t now = 100 * S;

  Claims () { restart (); }
  /* Begin without claims.  */
  void
  restart ()
  {
    mq_claims_options o = {};

    mq_claims_free (claims);
    o.router = 0xabc;
    o.give_up_us = 2 * S;
    o.retry_us = 100 * MS;
    o.late_us = 60 * S;
    o.skew_ms = 1000;
    o.limit = 3;
    claims = mq_claims_new (&o);
  }
  ~Claims () override
  {
    mq_claims_free (claims);
    g_array_unref (actions);
  }

  void
  handle (mq_claims_event e)
  {
    e.now_us = now;
    e.wall_ms = 1000000 + now / MS;
    g_array_set_size (actions, 0);
    mq_claims_handle (claims, &e, actions);
  }
  void
  start (uint64_t handle_ = 1, uint64_t body = 7)
  {
    mq_claims_event e = {};

    e.kind = MQ_CLAIMS_START;
    e.u.start = { handle_, MQ_SPAN ("tekle"), MQ_SPAN ("k"), body, HOUR };
    handle (e);
  }
  /* Reply to the only action.  */
  void
  reply (mq_store_result result, uint64_t version = 0,
         const std::string &value = "")
  {
    mq_claims_event e = {};

    ASSERT_EQ (actions->len, 1U);
    e.kind = MQ_CLAIMS_REPLY;
    e.u.reply.claim = act ().claim;
    e.u.reply.step = act ().step;
    e.u.reply.reply = { result, version, { value.data (), value.size () } };
    handle (e);
  }
  void
  settle (mq_outcome outcome)
  {
    mq_claims_event e = {};

    e.kind = MQ_CLAIMS_SETTLED;
    e.u.settled = { 1, outcome };
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
  mq_claims_action &
  act (guint i = 0)
  {
    return g_array_index (actions, mq_claims_action, i);
  }
  void
  expect (mq_claims_action_kind kind)
  {
    ASSERT_EQ (actions->len, 1U);
    EXPECT_EQ (act ().kind, kind);
  }
  void
  expect_result (mq_claim_result result)
  {
    ASSERT_GE (actions->len, 1U);
    EXPECT_EQ (act ().kind, MQ_CLAIMS_RESULT);
    EXPECT_EQ (act ().result, result);
  }
  static std::string
  other (const char *body = "0000000000000007",
         const char *expires = "9999999999")
  {
    return std::string ("{\"writer\":\"x-1\",\"body\":\"") + body
           + "\",\"expires_ms\":" + expires + "}";
  }
};

} // namespace

TEST (ClaimName, HidesAndDistinguishesOrganisationAndKey)
{
  GString *a = g_string_new (NULL);
  GString *b = g_string_new (NULL);

  mq_claim_name (MQ_SPAN ("ab"), MQ_SPAN ("c"), a);
  mq_claim_name (MQ_SPAN ("a"), MQ_SPAN ("bc"), b);
  EXPECT_STRNE (a->str, b->str);
  EXPECT_EQ (strlen (a->str), strlen ("claims/") + 64);
  mq_claim_name (MQ_SPAN ("ab"), MQ_SPAN ("c"), b);
  EXPECT_STREQ (a->str, b->str);
  g_string_free (a, TRUE);
  g_string_free (b, TRUE);
}

TEST_F (Claims, CreatedObjectIsWon)
{
  start ();
  expect (MQ_CLAIMS_CREATE);
  reply (MQ_STORE_OK, 5);
  expect_result (MQ_CLAIM_WON);
}

TEST_F (Claims, ReadsObjectBackAfterLostReply)
{
  start ();
  std::string mine = mq_str_cstr (act ().value);
  reply (MQ_STORE_UNKNOWN);
  expect (MQ_CLAIMS_READ);
  reply (MQ_STORE_OK, 5, mine);
  expect_result (MQ_CLAIM_WON);
}

TEST_F (Claims, WritesAgainWhenObjectIsAbsentAfterLostReply)
{
  start ();
  reply (MQ_STORE_UNKNOWN);
  reply (MQ_STORE_ABSENT);
  expect (MQ_CLAIMS_CREATE);
  std::string mine = mq_str_cstr (act ().value);
  /* The first write took effect late; the object is still ours.  */
  reply (MQ_STORE_CONFLICT);
  reply (MQ_STORE_OK, 5, mine);
  expect_result (MQ_CLAIM_WON);
}

TEST_F (Claims, ClaimOfAnotherWriterIsLostOrMismatch)
{
  start ();
  reply (MQ_STORE_CONFLICT);
  reply (MQ_STORE_OK, 5, other ());
  expect_result (MQ_CLAIM_LOST);
  start (2, 8);
  reply (MQ_STORE_CONFLICT);
  reply (MQ_STORE_OK, 5, other ());
  expect_result (MQ_CLAIM_MISMATCH);
  start (3);
  reply (MQ_STORE_CONFLICT);
  reply (MQ_STORE_OK, 5, "garbage");
  expect_result (MQ_CLAIM_LOST);
}

TEST_F (Claims, ReplacesExpiredClaimAtItsVersion)
{
  start ();
  reply (MQ_STORE_CONFLICT);
  reply (MQ_STORE_OK, 5, other ("00", "1000"));
  expect (MQ_CLAIMS_UPDATE);
  EXPECT_EQ (act ().version, 5U);
  reply (MQ_STORE_OK, 6);
  expect_result (MQ_CLAIM_WON);
}

TEST_F (Claims, TimesOutWithoutPlatformAndRemovesLateWrite)
{
  start ();
  std::string mine = mq_str_cstr (act ().value);
  reply (MQ_STORE_UNKNOWN);
  reply (MQ_STORE_UNKNOWN);
  EXPECT_EQ (actions->len, 0U);
  tick (2 * S);
  expect_result (MQ_CLAIM_UNAVAILABLE);
  ASSERT_EQ (actions->len, 2U);
  /* The write took effect late and must be removed, to free the key.  */
  g_array_remove_index (actions, 0);
  reply (MQ_STORE_OK, 5, mine);
  expect (MQ_CLAIMS_DELETE);
  EXPECT_EQ (act ().version, 5U);
  reply (MQ_STORE_OK);
  EXPECT_EQ (actions->len, 0U);
  tick (60 * S);
  reply (MQ_STORE_ABSENT);
  EXPECT_EQ (mq_claims_count (claims), 0U);
}

TEST_F (Claims, ReplyAfterTimeoutDoesNotWin)
{
  start ();
  now += 3 * S;
  reply (MQ_STORE_OK, 5);
  expect_result (MQ_CLAIM_UNAVAILABLE);
}

TEST_F (Claims, DropsRepliesToOlderSteps)
{
  mq_claims_event e = {};

  start ();
  e.kind = MQ_CLAIMS_REPLY;
  e.u.reply.claim = act ().claim;
  e.u.reply.step = act ().step;
  e.u.reply.reply.result = MQ_STORE_OK;
  reply (MQ_STORE_CONFLICT);
  handle (e);
  EXPECT_EQ (actions->len, 0U);
}

TEST_F (Claims, NotRunReleasesKeyAndDoneHoldsItForLifetime)
{
  start ();
  reply (MQ_STORE_OK, 5);
  settle (MQ_OUTCOME_NOT_RUN);
  expect (MQ_CLAIMS_DELETE);
  reply (MQ_STORE_OK);
  start ();
  reply (MQ_STORE_OK, 6);
  settle (MQ_OUTCOME_DONE);
  EXPECT_EQ (actions->len, 0U);
  tick (60 * S);
  reply (MQ_STORE_ABSENT); /* The last read for the first claim.  */
  tick (HOUR - 61 * S);
  EXPECT_EQ (actions->len, 0U);
  tick (2 * S);
  expect (MQ_CLAIMS_DELETE);
  EXPECT_EQ (act ().version, 6U);
}

TEST_F (Claims, RefusesWhenLimitIsReached)
{
  for (uint64_t i = 1; i <= 3; i++)
    start (i);
  start (4);
  expect_result (MQ_CLAIM_UNAVAILABLE);
  EXPECT_EQ (act ().handle, 4U);
}

/* A claim without a number for its expiry counted as expired, so that its call
   could run twice.  */
TEST_F (Claims, MalformedClaimIsNotExpired)
{
  const std::string whole = other ();
  std::vector<std::string> malformed
      = { other ("0000000000000007", "\"9999999999\""),
          other ("0000000000000007", "null"), other ("0000000000000007", "-1"),
          other ("0000000000000007", "9999999999,\"expires_ms\":0"),
          other ("0000000000000007", "0") + "x" };

  for (size_t n = 0; n < whole.size (); n++)
    malformed.push_back (whole.substr (0, n));
  for (const std::string &value : malformed)
    {
      restart ();
      start ();
      expect (MQ_CLAIMS_CREATE);
      reply (MQ_STORE_CONFLICT);
      expect (MQ_CLAIMS_READ);
      reply (MQ_STORE_OK, 5, value);
      expect_result (MQ_CLAIM_LOST);
    }
}
