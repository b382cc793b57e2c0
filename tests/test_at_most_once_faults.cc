/* Tickets and idempotency keys, with real processes, while routers are killed
   or paused and the platform loses replies: a call runs at most once, as
   counted by the plain service's record of effects.  */

#include "support/deployment.h"

#include <thread>

using deployment::Deployment;
using deployment::Options;
using programs::fetch;
using programs::json_text;
using programs::Reply;
using programs::Request;

namespace
{

class AtMostOnceFaults : public testing::Test
{
protected:
  static Options
  options ()
  {
    Options o;

    o.routers = 2;
    o.work_us = 1500000;
    return o;
  }

  void
  SetUp () override
  {
    ASSERT_TRUE (testbed.ready ());
  }

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
  book (const std::string &unit, const std::string &header, size_t router)
  {
    Request r = testbed.booking ("POST", "/book", unit, router);

    r.headers.push_back (header);
    return fetch (r);
  }

  std::string
  ticket (size_t router)
  {
    Request r;

    r.url = testbed.router (router).url () + "/v1/entries?tickets=1";
    r.headers = { std::string ("Authorization: Bearer ") + deployment::token };
    std::string list = json_text (fetch (r).body, "tickets");
    size_t from = list.find ('"');

    EXPECT_NE (from, std::string::npos) << list;
    return list.substr (from + 1, list.rfind ('"') - from - 1);
  }

  /* Kills router 0 while the plain service processes UNIT's booking.  */
  void
  kill_while_booking (const std::string &unit, const std::string &header)
  {
    std::string status = testbed.router (0).url () + "/v1/status";
    std::thread client ([&] {
      Reply r = book (unit, header, 0);
      EXPECT_FALSE (r.whole);
    });

    EXPECT_TRUE (programs::eventually ([&] {
      return json_text (programs::get (status).body, "in_flight") == "1";
    }));
    /* Lets the call reach the plain service, which takes much longer.  */
    std::this_thread::sleep_for (std::chrono::milliseconds (300));
    testbed.router (0).kill (SIGKILL);
    client.join ();
    EXPECT_TRUE (programs::eventually ([&] { return effects (unit) == 1; }));
  }

  void
  fault (const std::string &members)
  {
    Request r;

    r.method = "POST";
    r.url = testbed.platform ().url () + "/fault";
    r.body = "{" + members + "}";
    EXPECT_EQ (fetch (r).status, 204);
  }

  static std::string
  outcome (const Reply &r)
  {
    return json_text (r.body, "error.outcome");
  }

  Deployment testbed{ options () };
};

} // namespace

TEST_F (AtMostOnceFaults, TicketOfKilledRouterIsUnknownAndNotRunAgain)
{
  std::string t = "Marjoramquay-Ticket: " + ticket (0);

  kill_while_booking ("unit-a", t);
  for (int i = 0; i < 3; i++)
    {
      Reply r = book ("unit-a", t, 1);

      EXPECT_GE (r.status, 400) << r.body;
      EXPECT_EQ (outcome (r), "unknown") << r.body;
    }
  EXPECT_EQ (effects ("unit-a"), 1u);
}

TEST_F (AtMostOnceFaults, KeyOfKilledRouterIsUnknownAndNotRunAgain)
{
  const std::string key = "Idempotency-Key: quote-1";

  kill_while_booking ("unit-b", key);
  for (int i = 0; i < 3; i++)
    {
      Reply r = book ("unit-b", key, 1);

      EXPECT_EQ (r.status, 409) << r.body;
      EXPECT_EQ (outcome (r), "unknown") << r.body;
    }
  EXPECT_EQ (effects ("unit-b"), 1u);
}

TEST_F (AtMostOnceFaults, KeyRunsOnceWhenSentToBothRouters)
{
  constexpr int clients = 8;
  std::vector<std::thread> threads;
  std::vector<Reply> replies (clients);
  int done = 0;

  for (int i = 0; i < clients; i++)
    threads.emplace_back ([&, i] {
      replies[i] = book ("unit-c", "Idempotency-Key: quote-2", i % 2);
    });
  for (auto &t : threads)
    t.join ();
  for (const Reply &r : replies)
    {
      done += r.status == 200;
      if (r.status != 200)
        {
          EXPECT_EQ (r.status, 409) << r.body;
          EXPECT_NE (outcome (r), "not-run") << r.body;
        }
    }
  EXPECT_EQ (done, 1);
  EXPECT_EQ (effects ("unit-c"), 1u);
}

TEST_F (AtMostOnceFaults, ReadsClaimBackAfterLostReply)
{
  fault ("\"lose_replies\":1");
  Reply r = book ("unit-d", "Idempotency-Key: quote-3", 0);

  EXPECT_EQ (r.status, 200) << r.body;
  EXPECT_EQ (effects ("unit-d"), 1u);
  EXPECT_EQ (book ("unit-d", "Idempotency-Key: quote-3", 1).status, 409);
  EXPECT_EQ (effects ("unit-d"), 1u);
}

/* A router that is paused until its claim has timed out must not run the call
   and must not block the key forever.  On a slow machine the booking may be
   complete before the router is paused; then it must have run once.  */
TEST_F (AtMostOnceFaults, PausedRouterDoesNotRunTimedOutClaim)
{
  const std::string key = "Idempotency-Key: quote-4";
  const std::string prefix = "prefixes.claims/";
  Reply first;

  fault ("\"slow_ms\":500,\"slow_for_ms\":60000");
  std::thread client ([&] { first = book ("unit-e", key, 0); });
  EXPECT_TRUE (programs::eventually ([&] {
    return !json_text (
                programs::get (testbed.platform ().url () + "/stats").body,
                prefix)
                .empty ();
  }));
  testbed.router (0).kill (SIGSTOP);
  std::this_thread::sleep_for (std::chrono::milliseconds (2500));
  testbed.router (0).kill (SIGCONT);
  client.join ();
  fault ("\"clear\":true");
  if (first.status == 200)
    {
      EXPECT_EQ (effects ("unit-e"), 1u);
      return;
    }
  EXPECT_EQ (outcome (first), "not-run") << first.body;
  EXPECT_EQ (effects ("unit-e"), 0u);
  EXPECT_TRUE (programs::eventually (
      [&] { return book ("unit-e", key, 1).status == 200; }));
  EXPECT_EQ (effects ("unit-e"), 1u);
}

/* After the router that holds the region's lease is killed, another takes the
   lease over when it expires and orders the missing layers to be loaded.  */
TEST (OrderFaults, AnotherRouterTakesLeaseOverAndRepairs)
{
  Options o;
  o.copies = 2;
  o.routers = 2;
  o.step_us = 2000;
  Deployment testbed (o);
  ASSERT_TRUE (testbed.ready ());
  std::string lease
      = testbed.platform ().url () + "/v1/objects/leases/orders/bc-interior";
  auto whole = [&] (size_t router) {
    Reply r = fetch (testbed.completion ("again", 5, false, router));
    return r.status == 200;
  };

  testbed.engine (1, 0).kill (SIGKILL);
  testbed.engine (1, 1).kill (SIGKILL);
  EXPECT_TRUE (programs::eventually ([&] { return whole (0); }));
  EXPECT_NE (json_text (programs::get (lease).body, "holder"), "");
  testbed.router (0).kill (SIGKILL);
  /* The engine that loaded the middle layers is killed, too.  */
  for (unsigned stage : { 0u, 2u })
    {
      std::string holds
          = programs::get (testbed.engine (stage, 0).url () + "/v1/holds")
                .body;
      if (json_text (holds, "first") == "4")
        testbed.engine (stage, 0).kill (SIGKILL);
      holds = programs::get (testbed.engine (stage, 1).url () + "/v1/holds")
                  .body;
      if (json_text (holds, "first") == "4")
        testbed.engine (stage, 1).kill (SIGKILL);
    }
  EXPECT_TRUE (programs::eventually ([&] { return whole (1); }));
}
