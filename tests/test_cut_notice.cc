/* What upstreams state about themselves in heads that are cut at any byte or
   contradict themselves: it is not applied.  */

#include "support/response_text.h"
#include "support/router_fleet.h"
#include "support/scripted_server.h"

#include <mq/internal/gateway.h>

using gateway::ScriptedServer;

namespace
{

bool reported;

void
on_report (mq_gateway *, mq_upstream *, mq_http_result,
           const mq_engine_report *)
{
  reported = true;
}

class CutNotice : public gateway::RouterFleet
{
protected:
  ~CutNotice () override { engine.close (); }

  void
  start ()
  {
    engine.serve = [this] (const std::string &request) {
      return std::optional<std::string> (
          gateway::with_request_id (answer, request));
    };
    store.put ("servers", "eng", engine.entry ());
    configure (1);
    start_router ();
    upstream
        = mq_registry_find (&routers[0]->gateway->registry, MQ_SPAN ("eng"));
    ASSERT_NE (upstream, nullptr);
  }

  /* Request a report, to which the engine answers TEXT.  */
  void
  ask (const std::string &text)
  {
    answer = text;
    reported = false;
    mq_report_request (routers[0]->gateway, upstream, on_report);
    EXPECT_TRUE (until ([] { return reported; }));
  }

  /* Expect that the engine has stated nothing.  */
  void
  expect_nothing (const std::string &what)
  {
    EXPECT_FALSE (upstream->announced_leaving) << what;
    EXPECT_EQ (upstream->limit.per_s, 0) << what;
    EXPECT_EQ (upstream->rest_until_us, 0u) << what;
    upstream->announced_leaving = false;
    upstream->limit.per_s = 0;
    upstream->rest_until_us = 0;
  }

  ScriptedServer engine{ loop };
  std::string answer;
  mq_upstream *upstream = nullptr;
};

const std::string notices = "HTTP/1.1 503 Full\r\nServer-Limit: 40\r\n"
                            "Server-Leaving: 1\r\nRetry-After: 3\r\n"
                            "Content-Length: 0\r\n\r\n";

} // namespace

TEST_F (CutNotice, WholeOneIsApplied)
{
  start ();
  ask (notices);
  EXPECT_TRUE (upstream->announced_leaving);
  EXPECT_GT (upstream->limit.per_s, 0);
  EXPECT_GT (upstream->rest_until_us, 0u);
}

/* Guards against a number that is cut, which makes for another limit.  */
TEST_F (CutNotice, AtAnyByteIsNotApplied)
{
  start ();
  for (size_t n = 0; n < notices.size (); n++)
    {
      ask (notices.substr (0, n));
      expect_nothing (std::to_string (n));
    }
}

TEST_F (CutNotice, InMalformedHeadIsNotApplied)
{
  start ();
  for (const char *more :
       { "Content-Length: 0\r\nContent-Length: 2\r\n\r\n{}",
         "Content-Length: 0x\r\n\r\n", "Content-Length : 0\r\n\r\n",
         "Content-Length: 0\r\n X: y\r\n\r\n",
         "Content-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n" })
    {
      ask ("HTTP/1.1 503 Full\r\nServer-Limit: 40\r\nServer-Leaving: 1\r\n"
           "Retry-After: 3\r\n"
           + std::string (more));
      expect_nothing (more);
    }
}

/* Of two values the first was applied.  */
TEST_F (CutNotice, ThatContradictsItselfIsNotApplied)
{
  start ();
  for (const char *lines :
       { "Server-Limit: 40\r\nServer-Limit: 4\r\n",
         "Server-Limit: 40\r\nserver-limit: none\r\n",
         "Server-Leaving: 1\r\nServer-Leaving: 0\r\n",
         "Server-Leaving: 1\r\nX: y\r\nServer-Leaving:\r\n",
         "Retry-After: 300\r\nRetry-After: 3\r\n",
         "Retry-After: 3\r\nRetry-After: 0\r\n" })
    {
      ask ("HTTP/1.1 503 Full\r\n" + std::string (lines)
           + "Content-Length: 0\r\n\r\n");
      expect_nothing (lines);
    }
  ask ("HTTP/1.1 503 Full\r\nServer-Leaving: 1\r\nServer-Leaving:  1\r\n"
       "Content-Length: 0\r\n\r\n");
  EXPECT_TRUE (upstream->announced_leaving);
}

/* A limit ended with the success of a request whose head was cut before it. */
TEST_F (CutNotice, HeadThatIsCutEndsNoLimit)
{
  const std::string whole
      = "HTTP/1.1 200 OK\r\nMarjoramquay-Attempt-Id: ID\r\n"
        "Marjoramquay-Response-Signature: s\r\n"
        "Content-Length: 2\r\nServer-Limit: 40\r\n\r\n{}";
  const size_t head = whole.find ("{}");
  const std::string sound
      = "HTTP/1.1 200 OK\r\nMarjoramquay-Attempt-Id: ID\r\n"
        "Marjoramquay-Response-Signature: s\r\n"
        "Content-Length: 2\r\n\r\n{}";
  auto post = [this] {
    return fetch ("POST", "/unsafe/1", gateway::key, "x", routers[0]->base);
  };

  start ();
  /* A new router has no share of a limit for the first fifth of the window. */
  wait (0.01);
  /* The share of the limit follows the requests so far.  */
  answer = sound;
  ASSERT_EQ (post ().status, 200u);
  ask ("HTTP/1.1 200 OK\r\nServer-Limit: 40\r\nContent-Length: 0\r\n\r\n");
  ASSERT_GT (upstream->limit.per_s, 0);
  for (size_t n :
       { (size_t)0, whole.find ("ID"), whole.find ("Content"),
         whole.find ("Server-"), whole.find ("Server-") + 8, head - 2, head })
    {
      answer = whole.substr (0, n);
      for (uint64_t &us : upstream->limit.next_us)
        us = 1;
      unsigned before = engine.requests;
      (void)post ();
      EXPECT_GT (engine.requests, before) << n;
      EXPECT_GT (upstream->limit.per_s, 0) << n;
      mq_upstream_succeeded (upstream, 0);
    }
  for (uint64_t &us : upstream->limit.next_us)
    us = 1;
  answer = sound;
  EXPECT_EQ (post ().status, 200u);
  EXPECT_EQ (upstream->limit.per_s, 0);
}
