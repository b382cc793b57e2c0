/* Clients of routers in native mode whose upstreams' responses are cut, or
   contradict themselves, on connections that are closed in order
   afterwards.  */

#include "support/deployment.h"
#include "support/made_response.h"

using deployment::Answer;
using deployment::Deployment;
using programs::fetch;
using programs::json_text;
using programs::Reply;
using raw_upstream::chunk;
using raw_upstream::send_all;
using raw_upstream::Stream;
using raw_upstream::with_length;

namespace
{

constexpr unsigned tokens = 9;
const std::string not_run = "Marjoramquay-Ran: no\r\n";

class CutService : public testing::Test
{
protected:
  static deployment::Options
  options (const std::string &url)
  {
    deployment::Options o;

    o.plain = url;
    return o;
  }

  /* Returns the router's response to an unsafe call that gets MADE.  */
  Reply
  book (const std::string &made)
  {
    instance.set (made);
    return fetch (
        fleet.booking ("POST", "/book/" + std::to_string (++calls), "b"));
  }

  void
  expect_unknown (const std::string &made, const std::string &what)
  {
    Reply r = book (made);

    EXPECT_TRUE (r.whole) << what;
    EXPECT_EQ (r.status, 502) << what;
    EXPECT_EQ (r.headers["marjoramquay-outcome"], "unknown") << what;
  }

  raw_upstream::MadeResponse instance;
  Deployment fleet{ options (instance.url ()) };

private:
  unsigned calls = 0;
};

/* A router before one engine, whose streams a test serves.  */
Reply
complete (const raw_upstream::Engine::Serve &serve, bool stream,
          unsigned deadline_ms = 60000)
{
  raw_upstream::Engine engine (serve);
  deployment::Options o;

  o.whole_engine = engine.url ();
  o.deadline_ms = deadline_ms;
  Deployment fleet (o);
  EXPECT_TRUE (fleet.ready ());
  return fetch (fleet.completion ("p", tokens, stream));
}

} // namespace

TEST_F (CutService, OfCallIsUnknown)
{
  ASSERT_TRUE (fleet.ready ());
  Reply whole = book (with_length ("200 OK", "", "whole"));
  EXPECT_EQ (whole.status, 200);
  EXPECT_EQ (whole.body, "whole");
  EXPECT_EQ (book (with_length ("503 Full", not_run, "x"))
                 .headers["marjoramquay-outcome"],
             "not-run");
  for (const std::string &made : { with_length ("200 OK", "", "whole"),
                                   with_length ("503 Full", not_run, "x") })
    for (size_t n = 0; n < made.size (); n++)
      expect_unknown (made.substr (0, n), "cut at " + std::to_string (n));
  for (const char *status : { "200 OK", "500 Error" })
    expect_unknown (with_length (status, not_run, "x"), status);
  expect_unknown (
      with_length ("503 Full", not_run + "Marjoramquay-Ran: yes\r\n", "x"),
      "two statements");
}

/* The engine's last line said "done" after a third of the tokens, and its
   response was cut behind it.  */
TEST (CutCompletion, BehindDoneIsContinued)
{
  Reply r = complete (
      [] (const Stream &s) {
        s.begin ();
        if (s.sent == 0)
          {
            s.tokens (0, 3);
            send_all (s.fd, chunk (s.line ("\"end\":\"done\"")));
            return;
          }
        s.tokens (s.sent, tokens);
        s.end ();
      },
      true);
  Answer a = deployment::read_events (r.body);

  EXPECT_TRUE (a.done) << r.body;
  EXPECT_EQ (a.text, raw_upstream::text (tokens));
}

/* An engine went on with tokens behind "done".  */
TEST (CutCompletion, WithTokensAfterDoneIsContinued)
{
  Reply r = complete (
      [] (const Stream &s) {
        s.begin ();
        if (s.sent == 0)
          {
            s.tokens (0, 3);
            send_all (s.fd, chunk (s.line ("\"end\":\"done\"")));
            s.tokens (3, 5);
            send_all (s.fd, "0\r\n\r\n");
            return;
          }
        s.tokens (s.sent, tokens);
        s.end ();
      },
      true);
  Answer a = deployment::read_events (r.body);

  EXPECT_TRUE (a.done) << r.body;
  EXPECT_EQ (a.text, raw_upstream::text (tokens));
}

/* Tokens that skip a position, and "done" behind them.  */
TEST (CutCompletion, WithSkippedPositionIsContinued)
{
  Reply r = complete (
      [] (const Stream &s) {
        s.begin ();
        if (s.sent == 0)
          {
            s.tokens (0, 2);
            s.tokens (3, tokens);
          }
        else
          s.tokens (s.sent, tokens);
        s.end ();
      },
      true);
  Answer a = deployment::read_events (r.body);

  EXPECT_TRUE (a.done) << r.body;
  EXPECT_EQ (a.text, raw_upstream::text (tokens));
}

/* A rejection whose body was cut, or whose status contradicts it.  */
TEST (CutCompletion, OfRejectionIsUnknown)
{
  for (const char *made :
       { "HTTP/1.1 503 Full\r\nContent-Length: 99\r\n\r\n{\"ran\":false}",
         "HTTP/1.1 500 Error\r\nContent-Length: 13\r\n\r\n{\"ran\":false}" })
    {
      Reply r = complete ([made] (const Stream &s) { send_all (s.fd, made); },
                          false, 3000);

      EXPECT_TRUE (r.whole) << made;
      EXPECT_GE (r.status, 400) << made;
      EXPECT_EQ (r.headers["marjoramquay-outcome"], "unknown")
          << made << r.body;
    }
}
