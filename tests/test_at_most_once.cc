/* Tickets and idempotency keys, with real processes: a call runs at most once,
   as counted by the plain service's record of effects.  */

#include "support/deployment.h"

using deployment::Deployment;
using deployment::Options;
using programs::fetch;
using programs::json_text;
using programs::Reply;
using programs::Request;

class AtMostOnce : public testing::Test
{
protected:
  static Options
  two_routers ()
  {
    Options o;

    o.routers = 2;
    return o;
  }

  void
  SetUp () override
  {
    ASSERT_TRUE (testbed.ready ());
  }

  /* Returns how many times the booking of UNIT took effect.  */
  size_t
  effects (const std::string &unit)
  {
    std::string all
        = programs::get (testbed.plain ().url () + "/effects").body;
    size_t n = 0;

    for (size_t at = 0; (at = all.find (unit, at)) != std::string::npos; at++)
      n++;
    return n;
  }

  Reply
  book (const std::string &unit, const std::string &header, size_t router = 0)
  {
    Request r = testbed.booking ("POST", "/book", unit, router);

    r.headers.push_back (header);
    return fetch (r);
  }

  /* Returns a new ticket of a router.  */
  std::string
  ticket (size_t router = 0)
  {
    Request r;

    r.url = testbed.router (router).url () + "/v1/entries?tickets=1";
    r.headers = { std::string ("Authorization: Bearer ") + deployment::token };
    std::string list = json_text (fetch (r).body, "tickets");
    size_t from = list.find ('"');
    EXPECT_NE (from, std::string::npos) << list;
    return list.substr (from + 1, list.rfind ('"') - from - 1);
  }

  static void
  expect_error (const Reply &r, long status, const std::string &code,
                const std::string &outcome)
  {
    EXPECT_EQ (r.status, status) << r.body;
    EXPECT_EQ (json_text (r.body, "error.code"), code) << r.body;
    EXPECT_EQ (json_text (r.body, "error.outcome"), outcome) << r.body;
  }

  Deployment testbed{ two_routers () };
};

TEST_F (AtMostOnce, TicketRunsOnce)
{
  std::string t = "Marjoramquay-Ticket: " + ticket ();
  Reply first = book ("unit-a", t);

  EXPECT_EQ (first.status, 200);
  EXPECT_EQ (first.headers["marjoramquay-outcome"], "done");
  expect_error (book ("unit-a", t), 409, "ticket-spent", "done");
  EXPECT_EQ (effects ("unit-a"), 1u);
}

TEST_F (AtMostOnce, ExplainShowsRejection)
{
  std::string t = "Marjoramquay-Ticket: " + ticket ();
  book ("unit-j", t);
  std::string id = json_text (book ("unit-j", t).body, "error.request");
  Reply e = programs::get (testbed.router ().url () + "/v1/explain/" + id);

  EXPECT_EQ (e.status, 200) << id;
  EXPECT_NE (e.body.find ("ticket-spent"), std::string::npos) << e.body;
}

TEST_F (AtMostOnce, TicketRunsOnlyAtRouterThatMintedIt)
{
  std::string t = "Marjoramquay-Ticket: " + ticket (1);
  Reply r = book ("unit-b", t, 0);

  EXPECT_EQ (json_text (r.body, "error.code"), "wrong-router") << r.body;
  EXPECT_EQ (effects ("unit-b"), 0u);
  EXPECT_EQ (book ("unit-b", t, 1).status, 200);
  EXPECT_EQ (effects ("unit-b"), 1u);
}

TEST_F (AtMostOnce, RejectsForgedTicket)
{
  std::string t = ticket ();

  expect_error (book ("unit-c", "Marjoramquay-Ticket: garbage"), 400,
                "ticket-invalid", "not-run");
  t[t.size () - 2] = t[t.size () - 2] == 'A' ? 'B' : 'A';
  expect_error (book ("unit-c", "Marjoramquay-Ticket: " + t), 400,
                "ticket-invalid", "not-run");
  EXPECT_EQ (effects ("unit-c"), 0u);
}

TEST_F (AtMostOnce, TicketRunsWhilePlatformIsDown)
{
  std::string t = "Marjoramquay-Ticket: " + ticket ();

  testbed.platform ().kill (SIGKILL);
  EXPECT_EQ (book ("unit-d", t).status, 200);
  expect_error (book ("unit-d", t), 409, "ticket-spent", "done");
  EXPECT_EQ (effects ("unit-d"), 1u);
}

TEST_F (AtMostOnce, KeyRunsOnceAcrossRouters)
{
  const std::string key = "Idempotency-Key: quote-17";

  EXPECT_EQ (book ("unit-e", key, 0).status, 200);
  expect_error (book ("unit-e", key, 0), 409, "key-spent", "done");
  Reply other = book ("unit-e", key, 1);
  EXPECT_EQ (other.status, 409) << other.body;
  EXPECT_EQ (effects ("unit-e"), 1u);
}

TEST_F (AtMostOnce, RejectsKeyWithDifferentBody)
{
  const std::string key = "Idempotency-Key: quote-18";

  EXPECT_EQ (book ("unit-f", key, 0).status, 200);
  expect_error (book ("unit-g", key, 0), 422, "key-mismatch", "not-run");
  expect_error (book ("unit-g", key, 1), 422, "key-mismatch", "not-run");
  EXPECT_EQ (effects ("unit-g"), 0u);
}

TEST_F (AtMostOnce, KeyDoesNotRunWhilePlatformIsDown)
{
  testbed.platform ().kill (SIGKILL);
  expect_error (book ("unit-h", "Idempotency-Key: quote-19"), 503,
                "platform-unavailable", "not-run");
  EXPECT_EQ (effects ("unit-h"), 0u);
}

TEST_F (AtMostOnce, RejectsTicketTogetherWithKey)
{
  Request r = testbed.booking ("POST", "/book", "unit-i");

  r.headers.push_back ("Marjoramquay-Ticket: " + ticket ());
  r.headers.push_back ("Idempotency-Key: quote-20");
  expect_error (fetch (r), 400, "bad-request", "not-run");
  EXPECT_EQ (effects ("unit-i"), 0u);
}
