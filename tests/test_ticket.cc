/* Tickets: sealing, binding to an organisation, expiry and single use.  */

#include <cstring>
#include <gtest/gtest.h>
#include <mq/ticket.h>
#include <string>

namespace
{

constexpr uint64_t LIFETIME = 1000;

struct Tickets : testing::Test
{
  mq_tickets *one = make (1, 11);
  mq_tickets *two = make (2, 22);
  GString *text = g_string_new (NULL);
  mq_ticket ticket;

  ~Tickets () override
  {
    mq_tickets_free (one);
    mq_tickets_free (two);
    g_string_free (text, TRUE);
  }

  static mq_tickets *
  make (uint64_t router, int key, uint32_t limit = 5000)
  {
    mq_tickets_options o = {};

    o.router = router;
    memset (o.key, key, sizeof o.key);
    o.address = MQ_SPAN ("127.0.0.1:8001");
    o.lifetime_us = LIFETIME;
    o.limit = limit;
    return mq_tickets_new (&o);
  }

  mq_ticket_check
  open (mq_tickets *t, uint64_t now = 0, const char *organisation = "tekle")
  {
    return mq_tickets_open (t, now, mq_span_from (organisation),
                            { text->str, text->len }, &ticket);
  }

  void
  mint (uint64_t now = 0)
  {
    ASSERT_EQ (mq_tickets_mint (one, now, MQ_SPAN ("tekle"), text, NULL), 0);
  }
};

} // namespace

TEST_F (Tickets, OpensOnlyForItsOrganisationUntilExpiry)
{
  mint ();
  mint ();
  EXPECT_EQ (open (one), MQ_TICKET_OK);
  EXPECT_EQ (ticket.number, 1U);
  EXPECT_EQ (ticket.expires_us, LIFETIME);
  EXPECT_EQ (open (one, 0, "halvorsen"), MQ_TICKET_FORGED);
  EXPECT_EQ (open (one, LIFETIME), MQ_TICKET_EXPIRED);
  EXPECT_EQ (open (one, LIFETIME - 1), MQ_TICKET_OK);
}

TEST_F (Tickets, OtherRouterReadsOnlyRouterAndAddress)
{
  mint ();
  EXPECT_EQ (open (two), MQ_TICKET_OTHER_ROUTER);
  EXPECT_EQ (ticket.router, 1U);
  EXPECT_STREQ (ticket.address, "127.0.0.1:8001");
}

TEST_F (Tickets, RestartedRouterCannotOpenEarlierTickets)
{
  mq_tickets *again = make (3, 33);

  mint ();
  EXPECT_EQ (open (again), MQ_TICKET_OTHER_ROUTER);
  mq_tickets_free (again);
  /* The key differs even if the same incarnation is reused by mistake.  */
  again = make (1, 33);
  EXPECT_EQ (open (again), MQ_TICKET_FORGED);
  mq_tickets_free (again);
}

TEST_F (Tickets, RejectsEveryChangedCharacter)
{
  mint ();
  std::string good (text->str, text->len);

  for (size_t i = 0; i < good.size (); i++)
    {
      g_string_assign (text, good.c_str ());
      text->str[i] = text->str[i] == 'A' ? 'B' : 'A';
      EXPECT_NE (open (one), MQ_TICKET_OK) << i;
      g_string_truncate (text, i);
      EXPECT_EQ (open (one), MQ_TICKET_FORGED) << i;
    }
  g_string_assign (text, good.c_str ());
  g_string_append (text, "AAAA");
  EXPECT_EQ (open (one), MQ_TICKET_FORGED);
}

TEST_F (Tickets, RunsOnceAndKeepsItsOutcome)
{
  mint ();
  EXPECT_EQ (mq_tickets_begin (one, 0, 0), MQ_TICKET_FRESH);
  EXPECT_EQ (mq_tickets_begin (one, 0, 0), MQ_TICKET_RUNNING);
  mq_tickets_settle (one, 0, MQ_OUTCOME_NOT_RUN);
  EXPECT_EQ (mq_tickets_begin (one, 0, 0), MQ_TICKET_FRESH);
  mq_tickets_settle (one, 0, MQ_OUTCOME_DONE);
  EXPECT_EQ (mq_tickets_begin (one, 0, 0), MQ_TICKET_DONE);
  /* A second settlement changes nothing.  */
  mq_tickets_settle (one, 0, MQ_OUTCOME_NOT_RUN);
  EXPECT_EQ (mq_tickets_begin (one, 0, 0), MQ_TICKET_DONE);
  EXPECT_EQ (mq_tickets_begin (one, 0, 1), MQ_TICKET_NO_RECORD);
}

TEST_F (Tickets, MemoryIsBoundedAndFreedAtExpiry)
{
  mq_tickets *small = make (4, 44, 3000);
  GError *error = NULL;

  for (int i = 0; i < 3000; i++)
    ASSERT_EQ (mq_tickets_mint (small, 0, MQ_SPAN ("o"), text, NULL), 0);
  EXPECT_EQ (mq_tickets_mint (small, 0, MQ_SPAN ("o"), text, &error), -1);
  EXPECT_TRUE (g_error_matches (error, MQ_TICKET_ERROR, MQ_TICKET_ERROR_FULL));
  g_clear_error (&error);
  EXPECT_LT (mq_tickets_memory_bytes (small), 3000U);
  EXPECT_EQ (mq_tickets_begin (small, LIFETIME, 5), MQ_TICKET_NO_RECORD);
  EXPECT_EQ (mq_tickets_outstanding (small, LIFETIME), 0U);
  EXPECT_EQ (mq_tickets_mint (small, LIFETIME, MQ_SPAN ("o"), text, NULL), 0);
  EXPECT_EQ (mq_tickets_outstanding (small, LIFETIME), 1U);
  mq_tickets_free (small);
}

TEST (TicketAnswer, NeverReportsNotRun)
{
  for (int s = MQ_TICKET_RUNNING; s <= MQ_TICKET_NO_RECORD; s++)
    EXPECT_NE (mq_ticket_answer_spent ((mq_ticket_state)s).outcome,
               MQ_OUTCOME_NOT_RUN);
  EXPECT_EQ (mq_ticket_answer_spent (MQ_TICKET_DONE).outcome, MQ_OUTCOME_DONE);
}

TEST (TicketAnswer, RedirectsToLiveRouterAndReportsUnknownForDeadOne)
{
  mq_ticket_answer a
      = mq_ticket_answer_other_router (MQ_TICKET_ROUTER_LIVE, false);

  EXPECT_EQ (a.reason, MQ_REASON_WRONG_ROUTER);
  EXPECT_TRUE (a.redirect);
  a = mq_ticket_answer_other_router (MQ_TICKET_ROUTER_DEAD, true);
  EXPECT_EQ (a.outcome, MQ_OUTCOME_UNKNOWN);
  EXPECT_EQ (a.reason, MQ_REASON_TICKET_SPENT);
  EXPECT_FALSE (a.redirect);
  EXPECT_FALSE (mq_ticket_answer_other_router (MQ_TICKET_ROUTER_UNKNOWN, false)
                    .redirect);
  EXPECT_TRUE (
      mq_ticket_answer_other_router (MQ_TICKET_ROUTER_UNKNOWN, true).redirect);
}
