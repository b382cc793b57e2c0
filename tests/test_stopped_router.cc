/* What a router process that is told to stop has taken, and what it still
   takes.  Guards against requests that its end cuts: each ends with a response
   that its client sees.  */

#include "raw_socket.hh"
#include "support/gateway_fixture.h"
#include "support/router_process.h"

using gateway::Answer;
using gateway::key;
using gateway::RouterProcess;
using gateway::Upstream;

namespace
{

class StoppedRouter : public gateway::Fixture
{
protected:
  ~StoppedRouter () override
  {
    for (mq_http_exchange *x : held_)
      mq_http_exchange_unref (x);
  }

  /* Start a router with GRACE_MS, a plain service that holds what it is sent,
     and routes to it with a limit of 9 s.  */
  void
  start_process (unsigned grace_ms = 3000)
  {
    unsigned base = free_ports ();
    std::string text
        = settings_text (base, "vm-1", "http://" + store.server.address ());

    text.replace (text.find (":3000"), 5, ":" + std::to_string (grace_ms));
    add ("app-a", "app").serve = [this] (mq_http_exchange *x) { hold (x); };
    configure (1, "," + slow ("/slow/", "unsafe") + ","
                      + slow ("/stream-slow/", "streaming"));
    process_ = std::make_unique<RouterProcess> (text);
    clients_port = base;
    readiness_port = base + 1;
    ASSERT_TRUE (ready ());
  }

  void
  hold (mq_http_exchange *x)
  {
    held_.push_back (mq_http_exchange_ref (x));
  }

  /* Have the engine answer the request that it has held for longest.  */
  void
  answer_first ()
  {
    upstreams[0]->answer (held_[0]);
    mq_http_exchange_unref (held_[0]);
    held_.erase (held_.begin ());
  }

  /* Tell the router to stop while it holds a request, which keeps it running.
     Returns when it has noticed.  */
  void
  stop_busy (Answer &busy)
  {
    start_request (busy, "POST", "/slow/busy", key, "", 0, "9000");
    ASSERT_TRUE (until ([&] { return held_.size () == 1; }));
    process_->signal (SIGTERM);
    stopped_ = ev_time ();
    ASSERT_TRUE (until ([&] { return has_logged ("router.drain "); }));
  }

  bool
  has_logged (const std::string &event) const
  {
    return process_->log ().find ("event=" + event) != std::string::npos;
  }

  /* The line of the log that tells of the end of the request ID.  */
  std::string
  end_of (const std::string &id) const
  {
    std::string log = process_->log ();
    size_t at = log.find ("event=request.end request=" + id + " ");

    return at == std::string::npos ? ""
                                   : log.substr (at, log.find ('\n', at) - at);
  }

  std::unique_ptr<RouterProcess> process_;
  std::vector<mq_http_exchange *> held_; /* By the engine.  */
  ev_tstamp stopped_ = 0;                /* When the router was told to.  */

private:
  static std::string
  slow (const std::string &prefix, const std::string &kind)
  {
    std::string r = route (prefix, kind, "app", 1);

    r.replace (r.find ("1500"), 4, "9000"); /* Its timeoutMs.  */
    r.replace (r.find ("\"resumable\":true"), 16, "\"resumable\":false");
    return r;
  }
};

} // namespace

/* The connection was closed without a status, and the log had no line.  */
TEST_F (StoppedRouter, AnswersWhatIsLeftBeforeItEnds)
{
  Answer busy, late;

  start_process ();
  ASSERT_NO_FATAL_FAILURE (stop_busy (busy));
  wait (0.4);
  start_request (late, "POST", "/slow/late", key, "", 0, "9000");
  ASSERT_TRUE (until ([&] { return held_.size () == 2; }));
  ASSERT_TRUE (until ([&] { return process_->has_ended (); }));
  EXPECT_LT (ev_time () - stopped_, 3.0);
  wait (0.05);
  for (Answer *a : { &busy, &late })
    {
      EXPECT_EQ (a->status, 504u);
      EXPECT_TRUE (a->retry_after.empty ());
      EXPECT_NE (a->body.find ("\"outcome\":\"unknown\""), std::string::npos)
          << a->body;
    }
  for (unsigned i = serial - 1; i <= serial; i++)
    EXPECT_NE (end_of ("a" + std::to_string (i)).find ("why=drain-ended"),
               std::string::npos)
        << process_->log ();
}

/* Calls with a limit that exceeds the rest of the grace period, which nothing
   else is known of, were taken up to 1.5 s before the end.  */
TEST_F (StoppedRouter, RefusesWhatMayNotEndInTime)
{
  Answer busy, late;

  start_process (5000);
  ASSERT_NO_FATAL_FAILURE (stop_busy (busy));
  wait (2.0);
  start_request (late, "POST", "/slow/late", key, "", 0, "9000");
  ASSERT_TRUE (until ([&] { return late.ended; }));
  EXPECT_EQ (late.status, 503u);
  EXPECT_FALSE (late.retry_after.empty ());
  EXPECT_EQ (held_.size (), 1u);
}

/* A refusal costs the client a retry: the limit of a route alone, longer than
   the whole grace period, is no reason.  */
TEST_F (StoppedRouter, TakesShortCallsOfRouteWithLongLimit)
{
  Answer busy;

  start_process ();
  upstreams[0]->serve
      = [this] (mq_http_exchange *x) { upstreams[0]->answer (x); };
  for (unsigned i = 0; i < 10; i++)
    ASSERT_EQ (fetch ("POST", "/slow/1", key, "", 0, "9000").status, 200u);
  upstreams[0]->serve = [this] (mq_http_exchange *x) {
    if (mq_span_equal (mq_http_exchange_path (x), MQ_SPAN ("/slow/busy")))
      hold (x);
    else
      upstreams[0]->answer (x);
  };
  ASSERT_NO_FATAL_FAILURE (stop_busy (busy));
  while (ev_time () - stopped_ < 1.8)
    {
      EXPECT_EQ (fetch ("POST", "/slow/1", key, "", 0, "9000").status, 200u);
      wait (0.2);
    }
}

/* The second signal ended the process at once.  */
TEST_F (StoppedRouter, FurtherSignalsCutNothing)
{
  Answer busy;

  start_process ();
  ASSERT_NO_FATAL_FAILURE (stop_busy (busy));
  for (int signal : { SIGTERM, SIGHUP, SIGTERM, SIGTERM })
    {
      wait (0.2);
      process_->signal (signal);
    }
  wait (0.2);
  answer_first ();
  ASSERT_TRUE (until ([&] { return busy.ended; }));
  EXPECT_EQ (busy.status, 200u);
  EXPECT_TRUE (until ([&] { return process_->has_ended (); }));
  EXPECT_LT (ev_time () - stopped_, 3.0);
}

/* From a terminal, the second one does not wait.  It answers as well.  */
TEST_F (StoppedRouter, SecondInterruptAnswersAtOnce)
{
  Answer busy;

  start_process (8000);
  start_request (busy, "POST", "/slow/busy", key, "", 0, "9000");
  ASSERT_TRUE (until ([&] { return held_.size () == 1; }));
  process_->signal (SIGINT);
  ASSERT_TRUE (until ([&] { return has_logged ("router.drain "); }));
  ev_tstamp at = ev_time ();
  process_->signal (SIGINT);
  ASSERT_TRUE (until ([&] { return busy.ended; }));
  EXPECT_EQ (busy.status, 504u);
  EXPECT_TRUE (until ([&] { return process_->has_ended (); }));
  EXPECT_LT (ev_time () - at, 1.5);
}

/* A stream that has begun can only be broken off; its client must see that,
   and the log must have its end.  */
TEST_F (StoppedRouter, BreaksOffStreamAtItsEnd)
{
  Answer stream;

  start_process ();
  upstreams[0]->serve = [this] (mq_http_exchange *x) {
    upstreams[0]->begin (x);
    Upstream::events (x, 1, 2);
    hold (x);
  };
  start_request (stream, "POST", "/stream-slow/1", key, "", 0, "9000");
  ASSERT_TRUE (until ([&] { return !stream.body.empty (); }));
  std::string id = "a" + std::to_string (serial);
  process_->signal (SIGTERM);
  ASSERT_TRUE (until ([&] { return process_->has_ended (); }));
  wait (0.05);
  EXPECT_EQ (stream.status, 200u);
  EXPECT_EQ (stream.result, MQ_HTTP_BROKEN);
  EXPECT_NE (end_of (id).find ("outcome=aborted"), std::string::npos)
      << process_->log ();
}

/* The router ended when its engines had answered, and clients that read slowly
   got a part.  */
TEST_F (StoppedRouter, WaitsForResponsesThatAreBeingWritten)
{
  const size_t size = 8 * 1000 * 1000;
  const std::string body (size, 'x');
  std::string received;
  bool closed = false;

  start_process (6000);
  upstreams[0]->serve = [&] (mq_http_exchange *x) {
    gateway::Server::reply (x, 200, body, upstreams[0]->response_headers (x));
  };
  Socket client = Socket::connected ((uint16_t)clients_port, 64 * 1024);
  client.write ("POST /slow/1 HTTP/1.1\r\nHost: x.example\r\n"
                "Marjoramquay-Credential: key-1\r\n"
                "Marjoramquay-Attempt-Id: large\r\n"
                "Marjoramquay-Time-Budget-Ms: 9000\r\n"
                "Content-Length: 0\r\n\r\n");
  ASSERT_TRUE (until ([&] { return !end_of ("large").empty (); }));
  process_->signal (SIGTERM);
  wait (3.2);
  EXPECT_FALSE (process_->has_ended ());
  EXPECT_TRUE (until ([&] {
    received += client.read (&closed);
    return closed;
  }));
  EXPECT_GT (received.size (), size);
}

/* What even the end of the grace period cuts leaves a line.  */
TEST_F (StoppedRouter, LogsResponsesThatItsEndCuts)
{
  const std::string body (8 * 1000 * 1000, 'x');

  start_process ();
  Socket client = Socket::connected ((uint16_t)clients_port, 64 * 1024);
  upstreams[0]->serve = [&] (mq_http_exchange *x) {
    gateway::Server::reply (x, 200, body, upstreams[0]->response_headers (x));
  };
  client.write ("POST /slow/1 HTTP/1.1\r\nHost: x.example\r\n"
                "Marjoramquay-Credential: key-1\r\n"
                "Marjoramquay-Attempt-Id: unread\r\n"
                "Marjoramquay-Time-Budget-Ms: 9000\r\n"
                "Content-Length: 0\r\n\r\n");
  ASSERT_TRUE (until ([&] { return !end_of ("unread").empty (); }));
  process_->signal (SIGTERM);
  ASSERT_TRUE (until ([&] { return process_->has_ended (); }));
  EXPECT_TRUE (has_logged ("request.cut request=unread answered=1"))
      << process_->log ();
}

/* A stream that has begun can only be broken off, so that one which arrives
   late is refused although streams are short as a rule.  */
TEST_F (StoppedRouter, RefusesLateStreams)
{
  Answer busy;
  bool closed = false;
  std::string received;

  start_process (8000);
  upstreams[0]->serve = [this] (mq_http_exchange *x) {
    if (mq_span_equal (mq_http_exchange_path (x), MQ_SPAN ("/slow/busy")))
      return hold (x);
    upstreams[0]->begin (x);
    Upstream::events (x, 1, 2);
    mq_http_exchange_end (x);
  };
  for (unsigned i = 0; i < 10; i++)
    ASSERT_EQ (fetch ("POST", "/stream-slow/1", key, "", 0, "9000").status,
               200u);
  Socket client = Socket::connected ((uint16_t)clients_port);
  ASSERT_NO_FATAL_FAILURE (stop_busy (busy));
  wait (2.6);
  client.write ("POST /stream-slow/1 HTTP/1.1\r\nHost: x.example\r\n"
                "Marjoramquay-Credential: key-1\r\n"
                "Marjoramquay-Attempt-Id: late\r\n"
                "Marjoramquay-Time-Budget-Ms: 9000\r\n"
                "Content-Length: 0\r\n\r\n");
  EXPECT_TRUE (until ([&] {
    received += client.read (&closed);
    return closed || received.find ("\r\n\r\n") != std::string::npos;
  }));
  EXPECT_EQ (received.rfind ("HTTP/1.1 503 ", 0), 0u) << received;
}
