/* Invalid requests of clients get a JSON error, and the router continues to
   serve.  */

#include "support/deployment.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

using deployment::Deployment;
using deployment::quoted;
using deployment::reference;
using programs::fetch;
using programs::json_text;
using programs::Reply;
using programs::Request;

class BadRequests : public testing::Test
{
protected:
  static void
  SetUpTestSuite ()
  {
    testbed = new Deployment ();
  }

  static void
  TearDownTestSuite ()
  {
    delete testbed;
    testbed = nullptr;
  }

  void
  SetUp () override
  {
    ASSERT_TRUE (testbed->ready ());
  }

  /* Checks that the router still serves requests.  */
  void
  TearDown () override
  {
    Reply r = fetch (testbed->completion ("still here", 2, true));

    EXPECT_EQ (deployment::read_events (r.body).text,
               reference ("still here", 2));
  }

  static Reply
  post (const std::string &body)
  {
    Request r = testbed->completion ("", 1, false);

    r.body = body;
    return fetch (r);
  }

  static Reply
  post_with (const std::string &header)
  {
    Request r = testbed->completion ("a prompt", 2, false);

    r.headers.push_back (header);
    return fetch (r);
  }

  static void
  expect_error (const Reply &r, long status, const std::string &code)
  {
    EXPECT_EQ (r.status, status) << r.body;
    EXPECT_EQ (json_text (r.body, "error.code"), code) << r.body;
    EXPECT_EQ (json_text (r.body, "error.outcome"), "not-run") << r.body;
    EXPECT_FALSE (json_text (r.body, "error.reason").empty ()) << r.body;
  }

  static Deployment *testbed;
};

Deployment *BadRequests::testbed;

TEST_F (BadRequests, RejectsMalformedBodies)
{
  const char *const bad[] = { "",
                              "{",
                              "[]",
                              "null",
                              "{'model':'reports'}",
                              "{'model':7,'prompt':'a'}",
                              "{'model':'reports','prompt':''}",
                              "{'model':'reports','prompt':['a']}",
                              "{'model':'reports','prompt':'a'} more",
                              "{'model':'reports','prompt':'a','n':2}",
                              "{'model':'reports','prompt':'a','stream':1}",
                              "{'model':'reports','prompt':'a',"
                              "'max_tokens':0}",
                              "{'model':'reports','prompt':'a',"
                              "'max_tokens':1.5}",
                              "{'model':'reports','prompt':'a',"
                              "'priority':10}",
                              "{'model':'reports','prompt':'\xff\xfe'}" };

  for (const char *text : bad)
    {
      SCOPED_TRACE (text);
      expect_error (post (quoted (text)), 400, "bad-request");
    }
}

TEST_F (BadRequests, RejectsDeeplyNestedBody)
{
  std::string deep = quoted ("{'model':'reports','prompt':'a','x':");

  deep += std::string (5000, '[') + std::string (5000, ']') + "}";
  expect_error (post (deep), 400, "bad-request");
}

TEST_F (BadRequests, RejectsTenMegabyteBody)
{
  Reply r = post (std::string (10 * 1024 * 1024, 'x'));

  EXPECT_EQ (r.status, 413);
  EXPECT_EQ (json_text (r.body, "error.outcome"), "not-run") << r.body;
}

TEST_F (BadRequests, RejectsUnknownModelAndService)
{
  Request r = testbed->booking ("GET", "/units");

  expect_error (post (quoted ("{'model':'no','prompt':'a'}")), 404,
                "unknown-service");
  r.url = testbed->router ().url () + "/v1/services/no/units";
  expect_error (fetch (r), 404, "unknown-service");
}

TEST_F (BadRequests, RejectsUnknownOrganisation)
{
  Request r = testbed->completion ("a", 1, false);

  r.headers = { "Authorization: Bearer wrong" };
  expect_error (fetch (r), 401, "unauthenticated");
  r.headers = { "Authorization: Basic eWFyZC10b2tlbg==" };
  expect_error (fetch (r), 401, "unauthenticated");
  r.headers = {};
  expect_error (fetch (r), 401, "unauthenticated");
}

TEST_F (BadRequests, RejectsMalformedDeadlines)
{
  expect_error (post_with ("Marjoramquay-Deadline-Ms: 0"), 400,
                "deadline-past");
  expect_error (post_with ("Marjoramquay-Deadline-Ms: -5"), 400,
                "deadline-past");
  expect_error (post_with ("Marjoramquay-Deadline-Ms: soon"), 400,
                "bad-request");
  expect_error (post_with ("Marjoramquay-Deadline-Ms: 1.5"), 400,
                "bad-request");
  expect_error (
      post_with ("Marjoramquay-Deadline-Ms: 99999999999999999999999"), 400,
      "bad-request");
}

TEST_F (BadRequests, RejectsMalformedIdempotencyKeys)
{
  Request r = testbed->booking ("POST", "/bookings", "unit 7");

  r.headers.push_back ("Idempotency-Key: " + std::string (300, 'k'));
  expect_error (fetch (r), 400, "bad-request");
  r.headers.back () = "Idempotency-Key: with blank";
  expect_error (fetch (r), 400, "bad-request");
}

TEST_F (BadRequests, RejectsUnknownPathsAndMethods)
{
  Request r;

  r.url = testbed->router ().url () + "/v1/nothing";
  EXPECT_EQ (fetch (r).status, 404);
  r.url = testbed->router ().url () + "/v1/completions";
  EXPECT_EQ (fetch (r).status, 405);
  EXPECT_EQ (fetch (r).headers["allow"], "POST");
  r.method = "POST";
  r.url = testbed->router ().url () + "/v1/drain";
  expect_error (fetch (r), 401, "unauthenticated");
}

TEST_F (BadRequests, SurvivesPartialRequestsAndGarbage)
{
  const std::string pieces[]
      = { "POST /v1/completions HTTP/1.1\r\nHost: a\r\nContent-Le",
          "POST /v1/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 100"
          "\r\n\r\n{\"model\":",
          "\x16\x03\x01\x02garbage\r\n\r\n", std::string (70000, 'G') };
  std::string address = testbed->router ().address ();
  struct sockaddr_in a = {};

  a.sin_family = AF_INET;
  a.sin_port
      = htons ((uint16_t)atoi (address.c_str () + address.find (':') + 1));
  a.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  for (const std::string &piece : pieces)
    {
      int fd = socket (AF_INET, SOCK_STREAM, 0);

      ASSERT_EQ (connect (fd, (struct sockaddr *)&a, sizeof a), 0);
      EXPECT_GE (send (fd, piece.data (), piece.size (), MSG_NOSIGNAL), 0);
      close (fd);
    }
}

TEST (ClientDisconnect, FreesTheEngines)
{
  deployment::Options o;
  o.deadline_ms = 600000;
  Deployment testbed (o);
  ASSERT_TRUE (testbed.ready ());

  /* The stream would take ten times as long as the wait below.  */
  Request r = testbed.completion ("hang up", 100000, true);
  r.hang_up = [] (const std::string &body) {
    return deployment::read_events_so_far (body).tokens >= 3;
  };
  EXPECT_FALSE (fetch (r).whole);
  EXPECT_TRUE (programs::eventually ([&] {
    return json_text (
               programs::get (testbed.router ().url () + "/v1/status").body,
               "in_flight")
           == "0";
  }));
  for (unsigned stage = 0; stage < deployment::stages; stage++)
    EXPECT_TRUE (programs::eventually ([&] {
      return json_text (
                 programs::get (testbed.engine (stage).url () + "/v1/load")
                     .body,
                 "batch")
             == "0";
    })) << stage;
}

TEST (RequestLimit, RejectsWhenRouterIsFull)
{
  deployment::Options o;
  o.settings = ", 'limits': { 'requests': 1 }";
  o.policy = "{ 'stall_ms': 60000 }";
  Deployment testbed (o);
  ASSERT_TRUE (testbed.ready ());

  Request r = testbed.completion ("the only one", 20, true);
  bool sent = false;
  r.progress = [&] (const std::string &) {
    if (sent)
      return;
    sent = true;
    testbed.engine (0).kill (SIGSTOP);
    Reply more = fetch (testbed.completion ("one more", 1, false));
    testbed.engine (0).kill (SIGCONT);
    EXPECT_EQ (more.status, 503);
    EXPECT_EQ (json_text (more.body, "error.code"), "overloaded");
    EXPECT_EQ (json_text (more.body, "error.outcome"), "not-run");
    EXPECT_FALSE (more.headers["retry-after"].empty ());
  };
  EXPECT_EQ (deployment::read_events (fetch (r).body).text,
             reference ("the only one", 20));
  EXPECT_TRUE (sent);
}
