/* Responses of upstreams that are cut at any byte, contradict themselves or
   are malformed, on connections that are closed in order afterwards.  None is
   a success, a promise that the request did not run, or the response to
   another request.  */

#include "support/raw_engine.h"
#include "support/router_fleet.h"

#include <utility>

using gateway::Answer;
using gateway::RawEngine;

namespace
{

const std::string body (200, 'b');

class CutResponse : public gateway::RouterFleet
{
protected:
  /* Start a router before two instances of a plain service and an engine.  */
  void
  start ()
  {
    for (const char *domain : { "one", "two" })
      engines.push_back (std::make_unique<RawEngine> (
          std::string ("raw-") + domain, domain, "app"));
    engines.push_back (std::make_unique<RawEngine> ("raw-model", "one"));
    for (auto &e : engines)
      {
        e->serve = [this, &e = *e] (const std::string &request) {
          std::string text = make (request);
          int lost = std::exchange (crash_bytes, -1);

          if (on_serve)
            on_serve (e);
          e.crash_due = lost >= 0;
          return text.substr (0, text.size () - (size_t)std::max (lost, 0));
        };
        store.put ("servers", e->id, e->entry ());
      }
    configure (1);
    start_router ();
    wait (0.1);
  }

  /* Returns the answer to a request for TARGET; MADE is the response to it,
     where ID stands for its id.  */
  Answer
  ask (const std::string &target, const std::string &made,
       const std::string &left_ms = "1500")
  {
    Answer a;

    make = [&made] (const std::string &request) {
      return gateway::with_request_id (made, request);
    };
    start_request (a, "POST", target, gateway::key,
                   "call " + std::to_string (++sent_), routers[0]->base,
                   left_ms);
    EXPECT_TRUE (until ([&] {
      for (auto &e : engines)
        e->poll ();
      return a.ended;
    }));
    return a;
  }

  /* Expect that the response MADE to a call is neither passed on as a success
     nor taken for a promise, and that an unsafe call reaches one upstream.  */
  void
  expect_broken (const std::string &made, const std::string &what)
  {
    for (const char *target : { "/safe/", "/unsafe/" })
      {
        unsigned before = runs ();
        Answer a = ask (target, made);

        EXPECT_GT (runs (), before) << target << " " << what;
        EXPECT_EQ (a.status, 502u) << target << " " << what;
        EXPECT_EQ (a.result, MQ_HTTP_OK) << target << " " << what;
        EXPECT_EQ (a.signature, "") << target << " " << what;
        if (target == std::string ("/unsafe/"))
          {
            EXPECT_EQ (runs (), before + 1) << what;
          }
      }
  }

  unsigned
  runs () const
  {
    unsigned n = 0;

    for (auto &e : engines)
      n += e->runs;
    return n;
  }

  /* The head of a signed response with STATUS and MORE headers, without its
     empty line.  */
  static std::string
  head (const std::string &status, const std::string &more)
  {
    return "HTTP/1.1 " + status
           + "\r\nMarjoramquay-Attempt-Id: ID\r\n"
             "Marjoramquay-Response-Signature: s\r\n"
           + more;
  }

  std::vector<std::unique_ptr<RawEngine> > engines;
  std::function<void (const RawEngine &)> on_serve;
  int crash_bytes = -1; /* If not negative, the next engine that responds
                           crashes so many bytes before the end of its
                           response.  */

private:
  std::function<std::string (const std::string &)> make;
  unsigned sent_ = 0;
};

} // namespace

TEST_F (CutResponse, WholeOneIsPassedOn)
{
  start ();
  for (const char *target : { "/safe/", "/unsafe/" })
    for (const std::string &made :
         { head ("200 OK", "Content-Length: 200\r\n\r\n") + body,
           head ("200 OK", "Transfer-Encoding: chunked\r\n\r\nc8\r\n") + body
               + "\r\n0\r\n\r\n",
           head ("200 OK", "\r\n") + body })
      {
        Answer a = ask (target, made);

        EXPECT_EQ (a.status, 200u) << made;
        EXPECT_EQ (a.body, body) << made;
        EXPECT_EQ (a.signature, "s") << made;
      }
}

/* An engine closed its connection in the middle of the head of its response:
   clients got a success with an empty body.  */
TEST_F (CutResponse, InsideHeadIsNoSuccess)
{
  const std::string text = head ("200 OK", "Content-Length: 200\r\n\r\n");

  start ();
  for (size_t n = 0; n < text.size (); n++)
    expect_broken (text.substr (0, n), std::to_string (n));
}

/* The same behind an order of headers in which the id comes last.  */
TEST_F (CutResponse, InsideHeadWithLateIdIsNoSuccess)
{
  const std::string text
      = "HTTP/1.1 200 OK\r\nMarjoramquay-Response-Signature: s\r\n"
        "Content-Length: 200\r\nMarjoramquay-Attempt-Id: ID\r\n\r\n";

  start ();
  for (size_t n = 0; n < text.size (); n++)
    expect_broken (text.substr (0, n), std::to_string (n));
}

TEST_F (CutResponse, InsideBodyIsNoSuccess)
{
  const std::string plain
      = head ("200 OK", "Content-Length: 200\r\n\r\n") + body;
  const std::string chunked
      = head ("200 OK", "Transfer-Encoding: chunked\r\n\r\nc8\r\n") + body
        + "\r\n0\r\n\r\n";

  start ();
  for (size_t cut : { 1, 2, 3, 4, 5, 6, 7, 8, 100 })
    {
      expect_broken (plain.substr (0, plain.size () - cut),
                     "length " + std::to_string (cut));
      expect_broken (chunked.substr (0, chunked.size () - cut),
                     "chunks " + std::to_string (cut));
    }
}

/* A router told a client "not run" because of a head that was cut, or of a
   body that was.  */
TEST_F (CutResponse, WithRejectionIsNoPromise)
{
  const std::string text
      = "HTTP/1.1 503 Full\r\nMarjoramquay-Attempt-Id: ID\r\n"
        "Marjoramquay-Not-Executed: 1\r\n"
        "Content-Length: 4\r\n\r\nfull";

  start ();
  for (size_t n = 0; n < text.size (); n++)
    expect_broken (text.substr (0, n), std::to_string (n));
}

/* A head was believed before its body was there: the engine got no requests
   any more.  */
TEST_F (CutResponse, StatesNothingOfItsEngine)
{
  const std::string states = "Server-Leaving: 1\r\nServer-Limit: 0.1\r\n"
                             "Retry-After: 60\r\n";
  const std::string cut (50, 'b');

  start ();
  for (int i = 0; i < 2; i++)
    for (const char *status : { "200 OK", "503 Full" })
      expect_broken (
          head (status, states + "Content-Length: 200\r\n\r\n") + cut, status);
  Answer a = ask ("/unsafe/",
                  head ("200 OK", "Content-Length: 200\r\n\r\n") + body);
  EXPECT_EQ (a.status, 200u);
}

TEST_F (CutResponse, ThatContradictsItselfIsNoSuccess)
{
  start ();
  for (const char *more :
       { "Content-Length: 200\r\nContent-Length: 20\r\n\r\n",
         "Content-Length: 2x00\r\n\r\n", "Content-Length: +200\r\n\r\n",
         "Content-Length: -1\r\n\r\n",
         "Content-Length: 99999999999999999999\r\n\r\n",
         "Content-Length : 200\r\n\r\n",
         "Content-Length: 200\r\nTransfer-Encoding: chunked\r\n\r\n"
         "c8\r\n",
         "Transfer-Encoding: identity\r\n\r\n",
         "Content-Length: 200\r\nMarjoramquay-Attempt-Id: other\r\n\r\n",
         "Content-Length: 200\r\nMarjoramquay-Response-Signature: t\r\n\r\n",
         "Content-Length: 200\r\nMarjoramquay-Not-Executed: 1\r\n\r\n",
         "Content-Length: 200\r\nX-A: a\r\n b\r\n\r\n",
         "Content-Length: 200\r\nHTTP/1.1 200 OK\r\n\r\n" })
    expect_broken (head ("200 OK", more) + body, more);
}

/* An error of the run itself is none that promises.  */
TEST_F (CutResponse, OfRunThatDeniesItIsNoPromise)
{
  start ();
  for (const char *status : { "500 Error", "504 Late" })
    expect_broken (head (status, "Marjoramquay-Not-Executed: 1\r\n"
                                 "Content-Length: 0\r\n\r\n"),
                   status);
}

TEST_F (CutResponse, WithMalformedChunksIsNoSuccess)
{
  start ();
  for (const char *chunks :
       { "c8x\r\n%\r\n0\r\n\r\n", "c8\n%\n0\n\n", "c8\r\n%\r\n0x5\r\n\r\n",
         "c8\r\n%\r\r\n0\r\n\r\n", "c7\r\n%\r\n0\r\n\r\n",
         "-c8\r\n%\r\n0\r\n\r\n", "c8\r\n%\r\n\r\n" })
    {
      std::string text = chunks;

      text.replace (text.find ('%'), 1, body);
      expect_broken (head ("200 OK", "Transfer-Encoding: chunked\r\n\r\n")
                         + text,
                     chunks);
    }
}

/* The process of an engine that is killed closes its connections in order,
   which ends a response without a length.  */
TEST_F (CutResponse, ByCrashWithoutLengthIsNoSuccess)
{
  start ();
  crash_bytes = 110;
  Answer safe = ask ("/safe/", head ("200 OK", "\r\n") + body);
  EXPECT_EQ (safe.status, 200u);
  EXPECT_EQ (safe.body, body);
  EXPECT_EQ (runs (), 2u);
  crash_bytes = 110;
  Answer unsafe = ask ("/unsafe/", head ("200 OK", "\r\n") + body);
  EXPECT_EQ (unsafe.status, 502u);
  EXPECT_EQ (unsafe.signature, "");
  EXPECT_EQ (runs (), 3u);
}

TEST_F (CutResponse, ByCrashNearDeadlineIsNoSuccess)
{
  start ();
  crash_bytes = 110;
  Answer a = ask ("/unsafe/", head ("200 OK", "\r\n") + body, "140");
  EXPECT_TRUE (a.status == 502 || a.status == 504) << a.status;
  EXPECT_EQ (a.signature, "");
}

/* An engine that has left the list without draining ends after its last
   response, whose end this is.  */
TEST_F (CutResponse, WholeOneOfUnlistedEngineIsPassedOn)
{
  start ();
  on_serve = [this] (const RawEngine &e) {
    store.remove ("servers", e.id);
    wait (0.3);
  };
  crash_bytes = 0;
  Answer a = ask ("/unsafe/", head ("200 OK", "\r\n") + body);
  EXPECT_EQ (a.status, 200u);
  EXPECT_EQ (a.body, body);
}

/* An engine that leaves ends after its last response, whose end this is.  */
TEST_F (CutResponse, WholeOneOfLeavingEngineIsPassedOn)
{
  start ();
  crash_bytes = 0;
  Answer a
      = ask ("/unsafe/", head ("200 OK", "Server-Leaving: 1\r\n\r\n") + body);
  EXPECT_EQ (a.status, 200u);
  EXPECT_EQ (a.body, body);
}

TEST_F (CutResponse, ByCrashBetweenEventsIsNotComplete)
{
  start ();
  crash_bytes = (int)gateway::events (3, 3).size ();
  Answer a
      = ask ("/stream/", head ("200 OK", "\r\n") + gateway::events (1, 3));
  EXPECT_FALSE (a.status == 200u && a.result == MQ_HTTP_OK);
}

TEST_F (CutResponse, OfStreamIsNotComplete)
{
  std::string events = gateway::events (1, 2);
  char size[16];

  snprintf (size, sizeof size, "%zx\r\n", events.size ());
  const std::string text
      = head ("200 OK", "Content-Type: text/event-stream\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n")
        + size + events + "\r\n0\r\n\r\n";

  start ();
  Answer whole = ask ("/stream/", text);
  EXPECT_EQ (whole.status, 200u);
  EXPECT_EQ (whole.result, MQ_HTTP_OK);
  EXPECT_EQ (whole.body, events);
  for (size_t n = 0; n < text.size (); n++)
    {
      Answer a = ask ("/stream/", text.substr (0, n));

      EXPECT_FALSE (a.status == 200u && a.result == MQ_HTTP_OK) << n;
    }
}

/* An engine that answers twice: what follows a whole response on its
   connection belongs to no request, and the next one gets a connection of its
   own.  */
TEST_F (CutResponse, IsNotThatOfNextRequest)
{
  const std::string plain
      = head ("200 OK", "Content-Length: 200\r\n\r\n") + body;
  const std::string chunked
      = head ("200 OK", "Transfer-Encoding: chunked\r\n\r\nc8\r\n") + body
        + "\r\n0\r\n\r\n";
  const std::string empty = head ("200 OK", "Content-Length: 0\r\n\r\n");

  start ();
  for (auto &e : engines)
    e->stays_open = true;
  for (const std::string &first : { plain, chunked, empty })
    for (const std::string &second : { plain, chunked, empty })
      for (size_t n : { (size_t)1, (size_t)9, (size_t)40, (size_t)100,
                        second.size () - 1, second.size () })
        {
          unsigned before = runs ();
          Answer a = ask ("/safe/", first + second.substr (0, n));

          EXPECT_EQ (a.status, 200u) << n;
          EXPECT_EQ (a.body, first == empty ? "" : body) << n;
          /* The rest of the second response, if the connection is open.  */
          for (auto &e : engines)
            e->write (second.substr (n));
          wait (0.005);
          Answer b = ask ("/safe/", plain);
          EXPECT_EQ (b.status, 200u) << n;
          EXPECT_EQ (b.body, body) << n;
          EXPECT_EQ (runs (), before + 2) << n;
        }
}

/* The second response comes late, whole or cut, when the connection is kept
   for the next request.  */
TEST_F (CutResponse, ThatIsLateIsNotThatOfNextRequest)
{
  const std::string plain
      = head ("200 OK", "Content-Length: 200\r\n\r\n") + body;
  std::string late = plain;

  late.replace (late.find ("ID\r\n"), 2, "a1");
  std::replace (late.begin (), late.end (), 'b', 'x');
  start ();
  for (auto &e : engines)
    e->stays_open = true;
  for (size_t n = 1; n <= late.size (); n += 7)
    {
      ask ("/safe/", plain);
      for (auto &e : engines)
        e->write (late.substr (0, n));
      wait (0.002);
      unsigned before = runs ();
      Answer b = ask ("/safe/", plain);
      EXPECT_EQ (b.status, 200u) << n;
      EXPECT_EQ (b.body, body) << n;
      EXPECT_EQ (runs (), before + 1) << n;
    }
}
