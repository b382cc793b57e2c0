/* A router in gateway mode with layered models: orders to engines, and streams
   over chains of engines.  */

#include "support/gateway_fixture.h"

#include <arpa/inet.h>
#include <array>
#include <sys/socket.h>
#include <unistd.h>

using gateway::Answer;
using gateway::events;
using gateway::Headers;
using gateway::key;
using gateway::ReceivedRequest;
using gateway::Upstream;

using Gateway = gateway::Fixture;

TEST_F (Gateway, OrdersCompleteChainOntoEmptyEngines)
{
  Upstream &one = add ("eng-1", "model", "one", "half");
  Upstream &two = add ("eng-2", "model", "one", "half");

  for (Upstream *u : { &one, &two })
    u->on_order = [this, u] { write_entry (*u); };
  configure (1);
  start ();
  ASSERT_TRUE (
      until ([&] { return one.end - one.first + two.end - two.first >= 80; }));
  for (Upstream *u : { &one, &two })
    u->serve = [u] (mq_http_exchange *x) {
      u->begin (x);
      Upstream::events (x, 1, 3);
      mq_http_exchange_end (x);
    };
  wait (0.3);
  Answer x = fetch ("POST", "/stream/1");
  EXPECT_EQ (x.status, 200u);
  EXPECT_EQ (x.body, events (1, 3));
  const Upstream &head = one.received_requests.empty () ? two : one;
  EXPECT_EQ (head.first, 0u);
  std::string path
      = head.received_requests.at (0).headers.at ("Marjoramquay-Hop-Count");
  EXPECT_EQ (path.find (head.server.address () + "=0-"), 0u);
  EXPECT_NE (path.find ("-80"), std::string::npos);
}

TEST_F (Gateway, RefusedOrderIsNotRepeatedAtOnce)
{
  Upstream &one = add ("eng-1", "model", "one", "big");
  unsigned tries = 0;

  one.order_status = 409;
  configure (1);
  start ();
  /* There is no order until 1.5 s after the last new engine.  Then the router
     sends one order, requests a report and pauses.  */
  wait (2.4);
  tries = one.orders;
  EXPECT_EQ (tries, 0u);
  one.order_status = 202;
  one.on_order = [&] { write_entry (one); };
  EXPECT_TRUE (until ([&] { return one.orders == 1; }));
  wait (0.5);
  EXPECT_EQ (one.orders, 1u);
}

/* A router that becomes the leader does not know the order counts of the
   engines.  Requests for reports of all of them at once would take all its
   processor in a large fleet.  */
TEST_F (Gateway, NewLeaderRequestsReportsOfManyEnginesInTurn)
{
  const unsigned engines = 150;
  ev_tstamp begin = 0;
  auto requested = [&] {
    unsigned n = 0;

    for (auto &u : upstreams)
      n += !u->arrivals.empty ();
    return n;
  };

  for (unsigned i = 0; i < engines; i++)
    {
      Upstream &u = add ("eng-" + std::to_string (i), "model", "one", "half");

      u.first = i % 2 * 40;
      u.end = u.first + 40;
      u.silent = true;
      write_entry (u);
    }
  configure (1);
  start ();
  ASSERT_TRUE (until ([&] { return requested () > 0; }));
  begin = ev_time ();
  wait (0.2); /* Less than a request for a report waits.  */
  EXPECT_LT (ev_time () - begin, 0.4);
  EXPECT_LE (requested (), 64u);
  EXPECT_TRUE (until ([&] { return requested () == engines; }));
}

/* An engine that drops layers first waits for the requests that pass through
   them, which may take much longer than loading.  Guards against ordering it
   again, or others in its place, meanwhile.  */
TEST_F (Gateway, BusyEngineIsNotOrderedAgain)
{
  Upstream &one = add ("eng-1", "model", "one", "big");

  load_s = 0.1; /* The load is overdue 1.7 s after the order.  */
  one.on_order = [&] { one.busy = true; };
  configure (1);
  start ();
  ASSERT_TRUE (until ([&] { return one.orders == 1; }));
  wait (4);
  EXPECT_EQ (one.orders, 1u);
  /* The engine is no longer busy and holds nothing: the order is repeated.  */
  one.busy = false;
  one.first = one.end = 0;
  EXPECT_TRUE (until ([&] { return one.orders == 2; }));
}

/* The leader's metrics show how many loads are open.  */
TEST_F (Gateway, CountsOpenLoads)
{
  Upstream &one = add ("eng-1", "model", "one", "big");

  one.on_order = [&] { one.busy = true; };
  configure (1);
  start ();
  ASSERT_TRUE (until ([&] { return one.orders == 1; }));
  wait (0.3);
  Answer metrics = fetch ("GET", "/metrics", {}, "", metrics_port);
  EXPECT_NE (metrics.body.find ("marjoramquay_loads{state=\"open\"} 1\n"),
             std::string::npos);
  EXPECT_NE (metrics.body.find ("marjoramquay_loads{state=\"waiting\"} 0\n"),
             std::string::npos);
}

TEST_F (Gateway, BrokenStreamResumesInSameResponse)
{
  unsigned runs = 0;

  start_chains ();
  for (auto &p : upstreams)
    {
      Upstream *u = p.get ();

      u->serve = [u, &runs] (mq_http_exchange *x) {
        u->begin (x);
        if (++runs == 1)
          {
            Upstream::events (x, 1, 4);
            mq_http_exchange_write (x, MQ_SPAN ("id: 5\ndata: ha"));
            mq_http_exchange_end (x);
            return;
          }
        Upstream::events (
            x,
            (unsigned)std::stoul (
                u->received_requests.back ().headers.at ("Last-Event-Id"))
                + 1,
            8);
        mq_http_exchange_end (x);
      };
    }
  Answer x = fetch ("POST", "/stream/1");
  EXPECT_EQ (x.status, 200u);
  EXPECT_EQ (x.result, MQ_HTTP_OK);
  EXPECT_EQ (x.body, events (1, 8));
  EXPECT_EQ (runs, 2u);
}

/* Guards against checking the retry budget only before the wait for room:
   streams that wait together would then all be sent when there is room.  */
TEST_F (Gateway, StreamsThatWaitForRoomStayWithinRetryBudget)
{
  constexpr unsigned streams = 6;
  std::vector<mq_http_exchange *> open_streams;
  std::array<Answer, streams> answers;
  unsigned resumed = 0;
  size_t sends;

  sends_slack = 3;
  sends_window_ms = 2000;
  start_chains ();
  for (auto &p : upstreams)
    {
      Upstream *u = p.get ();

      u->serve = [u, &open_streams, &resumed] (mq_http_exchange *x) {
        u->begin (x);
        if (u->received_requests.back ().headers.count ("Last-Event-Id"))
          {
            resumed++;
            Upstream::events (x, 3, 4);
            mq_http_exchange_end (x);
            return;
          }
        Upstream::events (x, 1, 2);
        open_streams.push_back (mq_http_exchange_ref (x));
      };
    }
  wait (2.1); /* The slack grows over the first window.  */
  for (Answer &a : answers)
    start_request (a, "POST", "/stream/1", key);
  ASSERT_TRUE (until ([&] { return open_streams.size () == streams; }));
  for (auto &u : upstreams)
    write_entry (*u, true);
  wait (0.2);
  for (mq_http_exchange *x : open_streams)
    {
      mq_http_exchange_write (x, MQ_SPAN ("id: 3\ndata: ha"));
      mq_http_exchange_end (x);
      mq_http_exchange_unref (x);
    }
  wait (0.3);
  EXPECT_EQ (resumed, 0u);
  for (auto &u : upstreams)
    write_entry (*u);
  wait (0.5);
  /* A fifth of six requests and the slack, 4.2, less the reserve.  */
  EXPECT_GE (resumed, 2u);
  EXPECT_LE (resumed, 4u);
  sends = 0;
  for (auto &u : upstreams)
    sends += u->received_requests.size ();
  EXPECT_EQ (sends, streams + resumed);
}

TEST_F (Gateway, DuplicateEventIsNotForwarded)
{
  start_chains ();
  for (auto &p : upstreams)
    {
      Upstream *u = p.get ();

      u->serve = [u] (mq_http_exchange *x) {
        u->begin (x);
        Upstream::events (x, 1, 2);
        Upstream::events (x, 2, 3);
        mq_http_exchange_end (x);
      };
    }
  Answer x = fetch ("POST", "/stream/1");
  EXPECT_NE (x.result, MQ_HTTP_OK);
  EXPECT_EQ (x.body, events (1, 2));
}

/* An engine in the middle of a path falls silent and the head reports it.  The
   stream must resume on another path well before its client disconnects (2 s).
 */
TEST_F (Gateway, ReportOfHeadFindsSilentStage)
{
  start_chains ();
  for (auto &p : upstreams)
    {
      Upstream *u = p.get ();

      u->serve = [u, this] (mq_http_exchange *x) {
        u->begin (x);
        if (u->domain == "one")
          {
            Upstream::events (x, 1, 2);
            u->stalled = { upstreams[1]->server.address () };
            return;
          }
        Upstream::events (x, 3, 6);
        mq_http_exchange_end (x);
      };
    }
  ev_tstamp before = ev_time ();
  Answer x = fetch ("POST", "/stream/1");
  EXPECT_EQ (x.body, events (1, 6));
  EXPECT_LT (ev_time () - before, 1.2);
}

namespace
{

/* An address at which connections neither succeed nor fail: the queue of its
   listener is full.  */
class SilentPort
{
public:
  explicit SilentPort (const std::string &address)
  {
    unsigned port = (unsigned)std::stoul (address.substr (10));
    int on = 1;

    at_.sin_family = AF_INET;
    at_.sin_port = htons ((uint16_t)port);
    at_.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
    listener_ = socket (AF_INET, SOCK_STREAM, 0);
    setsockopt (listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    EXPECT_EQ (bind (listener_, (sockaddr *)&at_, sizeof at_), 0);
    EXPECT_EQ (listen (listener_, 0), 0);
    for (int &f : fillers_)
      {
        f = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        (void)connect (f, (sockaddr *)&at_, sizeof at_);
      }
  }

  ~SilentPort ()
  {
    for (int f : fillers_)
      close (f);
    close (listener_);
  }

private:
  sockaddr_in at_ = {};
  int listener_;
  std::array<int, 4> fillers_;
};

constexpr double gap_s = 0.02;

} // namespace

/* An engine in the middle of a path is closed or falls silent, and the head's
   report does not name it yet.  The stream must resume on another path within
   a few gaps between events.  */
class GatewayStage : public Gateway
{
protected:
  /* Serve one stream whose events are GAP_S apart.  After event BREAK_AT on
     the first path, run AT_BREAK with the address of the path's second engine.
     A resumed run sends the rest at once.  Returns the seconds from the break
     to the resumed run, or -1 when there was none.  */
  double
  resume_delay_s (const std::function<void (const std::string &)> &at_break)
  {
    constexpr unsigned break_at = 20;
    mq_http_exchange *open_stream = nullptr;
    std::string second;
    Answer answer;
    double resumed = 0;

    start_chains ();
    for (auto &p : upstreams)
      {
        Upstream *u = p.get ();

        u->serve = [&, u] (mq_http_exchange *x) {
          u->begin (x);
          if (open_stream == nullptr)
            {
              std::string hops = gateway::text (
                  mq_http_exchange_header (x, "Marjoramquay-Hop-Count"));

              hops = hops.substr (hops.find (',') + 1);
              second = hops.substr (0, hops.find ('='));
              open_stream = mq_http_exchange_ref (x);
              return;
            }
          resumed = ev_time ();
          Upstream::events (x, break_at + 1, break_at + 4);
          mq_http_exchange_end (x);
        };
      }
    start_request (answer, "POST", "/stream/1", key);
    EXPECT_TRUE (until ([&] { return open_stream != nullptr; }));
    for (unsigned i = 1; i <= break_at; i++)
      {
        Upstream::events (open_stream, i, i);
        wait (gap_s);
      }
    double broken = ev_time ();
    at_break (second);
    until ([&] { return answer.ended || ev_time () > broken + 1; });
    EXPECT_EQ (answer.body,
               resumed > 0 ? events (1, break_at + 4) : events (1, break_at));
    mq_http_exchange_unref (open_stream);
    return resumed > 0 ? resumed - broken : -1;
  }

  void
  close_engine (const std::string &address)
  {
    for (auto &u : upstreams)
      if (u->server.address () == address)
        {
          u->server.close ();
          return;
        }
  }
};

TEST_F (GatewayStage, ClosedPortIsFoundWithinAFewGaps)
{
  double s
      = resume_delay_s ([this] (const std::string &at) { close_engine (at); });

  EXPECT_GT (s, 0);
  EXPECT_LT (s, 0.25);
}

TEST_F (GatewayStage, SilentPortIsFoundWithinAFewGaps)
{
  std::unique_ptr<SilentPort> silent;
  double s = resume_delay_s ([&] (const std::string &at) {
    close_engine (at);
    silent = std::make_unique<SilentPort> (at);
  });

  EXPECT_GT (s, 0);
  EXPECT_LT (s, 0.25);
}

/* An engine that accepts connections is not down, however slow it is.  */
TEST_F (GatewayStage, SlowEngineKeepsItsStreams)
{
  double s = resume_delay_s ([] (const std::string &) {});

  EXPECT_LT (s, 0);
}

/* The streams of a path pause together while it prefills prompts.  Guards
   against moving them: each move prefills a prompt on another path and so
   lengthens the pauses there.  */
TEST_F (Gateway, StreamsStayOnPathWhenAllOfThemPause)
{
  constexpr unsigned streams = 6;
  constexpr unsigned last = 24;
  std::vector<mq_http_exchange *> pausing;
  std::vector<mq_http_exchange *> steady;
  std::array<Answer, streams> answers;
  Answer other;
  bool refuses = true;
  unsigned moved = 0;
  unsigned id = 1;
  unsigned steady_id = 1;

  start_chains ();
  for (auto &p : upstreams)
    {
      Upstream *u = p.get ();

      u->serve = [&, u] (mq_http_exchange *x) {
        if (refuses && u->domain == "one")
          {
            u->refuse (x);
            return;
          }
        u->begin (x);
        moved += (unsigned)u->received_requests.back ().headers.count (
            "Last-Event-Id");
        Upstream::events (x, 1, 1);
        (u->domain == "one" ? pausing : steady)
            .push_back (mq_http_exchange_ref (x));
      };
    }
  wait (2.1); /* The retry budget grows over the first window.  */
  auto event = [] (std::vector<mq_http_exchange *> &list, unsigned &at) {
    at++;
    for (mq_http_exchange *x : list)
      Upstream::events (x, at, at);
  };
  start_request (other, "POST", "/stream/1", key);
  ASSERT_TRUE (until ([&] { return steady.size () == 1; }));
  refuses = false;
  wait (0.3);
  for (Answer &a : answers)
    start_request (a, "POST", "/stream/1", key);
  ASSERT_TRUE (until ([&] { return pausing.size () == streams; }));
  while (id < last)
    {
      event (pausing, id);
      /* Every eighth event is late for all streams of the path.  */
      for (unsigned i = 0; i < (id % 8 == 0 ? 8 : 1); i++)
        {
          event (steady, steady_id);
          wait (0.02);
        }
    }
  EXPECT_EQ (moved, 0u);
  for (std::vector<mq_http_exchange *> *v : { &pausing, &steady })
    for (mq_http_exchange *x : *v)
      {
        mq_http_exchange_end (x);
        mq_http_exchange_unref (x);
      }
  for (Answer &a : answers)
    {
      ASSERT_TRUE (until ([&] { return a.ended; }));
      EXPECT_EQ (a.body, events (1, last));
    }
}

/* A crashed chain breaks many streams at once, which uses up a router's retry
   budget.  Guards against aborting the rest at once: budget becomes available
   again while their clients still wait.  */
TEST_F (Gateway, BegunStreamWaitsForRetryBudget)
{
  sends_window_ms = 6000; /* The first fifth of it has no budget.  */
  start_chains ();
  for (auto &p : upstreams)
    {
      Upstream *u = p.get ();

      u->serve = [u] (mq_http_exchange *x) {
        u->begin (x);
        if (u->received_requests.back ().headers.count ("Last-Event-Id") != 0)
          Upstream::events (x, 3, 4);
        else
          {
            Upstream::events (x, 1, 2);
            mq_http_exchange_write (x, MQ_SPAN ("id: 3\ndata: ha"));
          }
        mq_http_exchange_end (x);
      };
    }
  Answer x = fetch ("POST", "/stream/1");
  EXPECT_EQ (x.result, MQ_HTTP_OK);
  EXPECT_EQ (x.body, events (1, 4));
}

/* Guards against ending the stream of an engine that is silent for a second,
   and answers no request for a report meanwhile, but is sound: there is no
   budget to send it to another one.  */
TEST_F (Gateway, StreamStaysAtSilentEngineThatGoesOn)
{
  mq_http_exchange *open_stream = nullptr;
  Answer answer;

  sends_window_ms = 60000; /* The first fifth of it has no budget.  */
  start_chains ();
  for (auto &p : upstreams)
    {
      Upstream *u = p.get ();

      u->silent = true;
      u->serve = [u, &open_stream] (mq_http_exchange *x) {
        u->begin (x);
        Upstream::events (x, 1, 2);
        open_stream = mq_http_exchange_ref (x);
      };
    }
  start_request (answer, "POST", "/stream/1", key);
  ASSERT_TRUE (until ([&] { return !answer.body.empty (); }));
  wait (1.1);
  Upstream::events (open_stream, 3, 4);
  mq_http_exchange_end (open_stream);
  mq_http_exchange_unref (open_stream);
  EXPECT_TRUE (until ([&] { return answer.ended; }));
  EXPECT_EQ (answer.result, MQ_HTTP_OK);
  EXPECT_EQ (answer.body, events (1, 4));
}

/* Of two streams that break, the budget allows one to resume.  Guards against
   an abort that the other's client does not notice: it would wait until it
   times out, and could have resumed elsewhere.  */
TEST_F (Gateway, ClientOfAbortedStreamIsDisconnectedAtOnce)
{
  std::vector<mq_http_exchange *> open;
  Answer a;
  Answer b;

  sends_slack = 10;
  sends_window_ms = 6000; /* The first fifth of it has no budget.  */
  start_chains ();
  for (auto &p : upstreams)
    {
      Upstream *u = p.get ();

      u->serve = [u, &open] (mq_http_exchange *x) {
        bool resumed
            = u->received_requests.back ().headers.count ("Last-Event-Id");

        u->begin (x);
        Upstream::events (x, resumed ? 3 : 1, resumed ? 4 : 2);
        if (resumed)
          mq_http_exchange_end (x);
        else
          open.push_back (mq_http_exchange_ref (x));
      };
    }
  start_request (a, "POST", "/stream/1", key);
  start_request (b, "POST", "/stream/2", key);
  ASSERT_TRUE (until ([&] { return open.size () == 2; }));
  for (mq_http_exchange *x : open)
    {
      mq_http_exchange_write (x, MQ_SPAN ("id: 3\ndata: ha"));
      mq_http_exchange_end (x);
      mq_http_exchange_unref (x);
    }
  ASSERT_TRUE (until ([&] { return a.ended || b.ended; }));
  /* The router gives up 1.6 s after the last event.  */
  wait (1);
  EXPECT_TRUE (a.ended && b.ended);
  EXPECT_NE (a.result, b.result);
}

TEST_F (Gateway, WaitingStreamIsNotSentToDrainingEngine)
{
  mq_http_exchange *open = nullptr;
  Answer x;

  start_chains ();
  for (auto &u : upstreams)
    u->serve = [&u, &open] (mq_http_exchange *x) {
      bool resumed
          = u->received_requests.back ().headers.count ("Last-Event-Id") != 0;

      u->begin (x);
      Upstream::events (x, resumed ? 3 : 1, resumed ? 4 : 2);
      if (resumed)
        mq_http_exchange_end (x);
      else
        open = mq_http_exchange_ref (x);
    };
  start_request (x, "POST", "/stream/1", key);
  ASSERT_TRUE (until ([&] { return open != nullptr; }));
  for (auto &u : upstreams)
    write_entry (*u, true);
  wait (0.3); /* The router reads changes ten times a second.  */
  mq_http_exchange_abort (open);
  mq_http_exchange_unref (open);
  wait (0.2);
  EXPECT_FALSE (x.ended);
  for (auto &u : upstreams)
    u->received_requests.clear ();
  write_entry (*upstreams[2]);
  write_entry (*upstreams[3]);
  ASSERT_TRUE (until ([&] { return x.ended; }));
  EXPECT_EQ (x.body, events (1, 4));
  EXPECT_TRUE (upstreams[0]->received_requests.empty ());
  EXPECT_TRUE (upstreams[1]->received_requests.empty ());
}

/* Guards against answering a resumable stream whose send broke off before the
   first event with 502 at once, while budget becomes available soon.  */
TEST_F (Gateway, LostStreamWaitsForRetryBudgetBeforeItsResponse)
{
  unsigned sends = 0;

  sends_window_ms = 6000; /* The first fifth of it has no budget.  */
  start_chains ();
  for (auto &p : upstreams)
    {
      Upstream *u = p.get ();

      u->serve = [u, &sends] (mq_http_exchange *x) {
        u->begin (x);
        if (++sends == 1)
          {
            mq_http_exchange_abort (x);
            return;
          }
        Upstream::events (x, 1, 4);
        mq_http_exchange_end (x);
      };
    }
  Answer x = fetch ("POST", "/stream/1");
  EXPECT_EQ (x.status, 200u);
  EXPECT_EQ (x.body, events (1, 4));
  EXPECT_EQ (sends, 2u);
}

/* Guards against a request that waits for budget beyond its deadline, which is
   1.5 s here, and against sending it without budget.  */
TEST_F (Gateway, LostStreamWaitsForRetryBudgetUntilItsDeadline)
{
  unsigned sends = 0;

  sends_window_ms = 60000;
  start_chains ();
  for (auto &p : upstreams)
    {
      Upstream *u = p.get ();

      u->serve = [u, &sends] (mq_http_exchange *x) {
        sends++;
        u->begin (x);
        mq_http_exchange_abort (x);
      };
    }
  Answer x = fetch ("POST", "/stream/1");
  EXPECT_EQ (x.status, 504u);
  EXPECT_EQ (sends, 1u);
  EXPECT_NE (fetch ("GET", "/metrics", {}, "", metrics_port)
                 .body.find ("marjoramquay_further_sends_total 0\n"),
             std::string::npos);
}

/* A stage without memory for one more request refuses at once.  Guards against
   treating it as down and ordering its layers onto other engines.  */
TEST_F (Gateway, StageWithoutMemoryIsNotReplaced)
{
  std::string at;
  unsigned orders = 0;

  start_chains ();
  Upstream &spare = add ("eng-9", "model", "one", "half");
  for (auto &p : upstreams)
    p->on_order = [this, u = p.get ()] { write_entry (*u); };
  ASSERT_TRUE (until ([&] { return spare.end > spare.first; }));
  wait (0.3);
  /* The stage of which the spare engine holds no copy.  */
  at = upstreams[spare.first == 0 ? 1 : 0]->server.address ();
  for (auto &p : upstreams)
    {
      Upstream *u = p.get ();

      orders += u->orders;
      u->serve = [u, at] (mq_http_exchange *x) {
        if (u->domain == "one")
          {
            u->refuse (x, 503, at);
            return;
          }
        u->begin (x);
        Upstream::events (x, 1, 3);
        mq_http_exchange_end (x);
      };
    }
  for (unsigned i = 0; i < 4; i++)
    {
      EXPECT_EQ (fetch ("POST", "/stream/1").body, events (1, 3));
      wait (0.2);
    }
  for (auto &p : upstreams)
    orders -= p->orders;
  EXPECT_EQ (orders, 0u);
}

/* A head that serves as many requests as it can refuses without naming an
   engine.  Guards against sending to it again at once, beyond the retry
   budget.
 */
TEST_F (Gateway, FullHeadGetsNoRequestsForAWhile)
{
  start_chains ();
  for (auto &p : upstreams)
    {
      Upstream *u = p.get ();

      u->serve = [u] (mq_http_exchange *x) {
        if (u->domain == "one")
          {
            u->refuse (x);
            return;
          }
        u->begin (x);
        Upstream::events (x, 1, 3);
        mq_http_exchange_end (x);
      };
    }
  for (unsigned i = 0; i < 3; i++)
    EXPECT_EQ (fetch ("POST", "/stream/1").body, events (1, 3));
  EXPECT_EQ (upstreams[0]->received_requests.size (), 1u);
}

/* Engines that drain while the store is unreachable refuse all requests.
   Guards against leaving their chains unrepaired until the store recovers.  */
TEST_F (Gateway, StageThatRefusesAllIsReplacedWhileStoreIsDown)
{
  std::string at;
  Upstream *stage;

  start_chains ();
  Upstream &spare = add ("eng-9", "model", "one", "half");
  ASSERT_TRUE (until ([&] { return spare.end > spare.first; }));
  write_entry (spare);
  wait (0.3);
  /* The stage of which the spare engine holds no copy.  */
  stage = upstreams[spare.first == 0 ? 1 : 0].get ();
  store.down = true;
  store.drop_events ();
  at = stage->server.address ();
  for (auto &p : upstreams)
    {
      Upstream *u = p.get ();

      u->serve = [u, at] (mq_http_exchange *x) { u->refuse (x, 503, at); };
    }
  EXPECT_TRUE (until ([&] {
    (void)fetch ("POST", "/stream/1");
    wait (0.05);
    return spare.orders == 2;
  }));
  EXPECT_EQ (spare.first, stage->first);
  EXPECT_EQ (spare.end, stage->end);
}

/* A router that has just started waits first (test_gateway_start.cc).  */
TEST_F (Gateway, RefusesAtOnceWithoutCompleteChain)
{
  Upstream &u = add ("eng-1", "model", "one", "half");

  u.first = 0;
  u.end = 40;
  u.order_status = 409;
  write_entry (u);
  configure (1);
  start ();
  ASSERT_TRUE (ready ());
  wait (2.6);
  ev_tstamp before = ev_time ();
  Answer x = fetch ("POST", "/stream/1");
  EXPECT_EQ (x.status, 503u);
  EXPECT_FALSE (x.retry_after.empty ());
  EXPECT_LT (ev_time () - before, 0.2);
  EXPECT_TRUE (u.received_requests.empty ());
}

/* An engine whose entry is removed may still serve for a while.  Guards
   against exempting it from the route's limit of attempts.  */
TEST_F (Gateway, UnlistedEngineThatStillServesCountsAsAttempt)
{
  std::vector<std::string> ran;

  for (const char *domain : { "one", "two", "three" })
    {
      Upstream &u
          = add (std::string ("eng-") + domain, "model", domain, "big");

      u.end = 80;
      write_entry (u);
      u.serve = [&, id = u.id] (mq_http_exchange *x) {
        ran.push_back (id);
        u.begin (x);
        if (ran.size () < 3)
          {
            /* Its response breaks off.  It still serves, but is not listed. */
            store.remove ("servers", id);
            ev_once (
                loop, -1, 0, 0.3,
                [] (int, void *exchange) {
                  mq_http_exchange_abort (
                      static_cast<mq_http_exchange *> (exchange));
                },
                x);
          }
      };
    }
  configure (1);
  start ();
  ASSERT_TRUE (ready ());
  wait (0.05);
  Answer a;
  start_request (a, "POST", "/stream/1", gateway::key);
  EXPECT_TRUE (until ([&] { return a.ended; }));
  EXPECT_LE (ran.size (), 2u);
}

/* One router has all streams that break and half of all requests.  The other
   must grant it what is left of its own budget.  */
TEST_F (Gateway, RouterOverItsRetryBudgetGetsBudgetFromAnother)
{
  constexpr unsigned streams = 8;
  std::vector<mq_http_exchange *> open_streams;
  std::array<Answer, streams> answers;
  mq_gateway_settings other = {};
  unsigned base = free_ports ();
  unsigned resumed = 0;
  bool hold = false;

  sends_slack = streams;
  sends_window_ms = 4000;
  start_chains ();
  mq_gateway *second = run_router (
      &other, settings_text (base, "vm-2", "http://" + store.server.address (),
                             "\"" + at (peers_port) + "\""));
  for (auto &p : upstreams)
    {
      Upstream *u = p.get ();

      u->serve = [u, &open_streams, &hold, &resumed] (mq_http_exchange *x) {
        bool again
            = u->received_requests.back ().headers.count ("Last-Event-Id") > 0;

        u->begin (x);
        resumed += again;
        Upstream::events (x, again ? 3 : 1, again ? 4 : 2);
        if (hold && !again)
          open_streams.push_back (mq_http_exchange_ref (x));
        else
          mq_http_exchange_end (x);
      };
    }
  ASSERT_TRUE (until ([&] {
    return fetch ("GET", "/ready", {}, "", base + 1).status == 200;
  }));
  /* In their first window processes use half of their shares.  */
  wait (2.9);
  for (unsigned i = 0; i < streams; i++)
    fetch ("POST", "/stream/1", key, "", base);
  hold = true;
  for (Answer &a : answers)
    start_request (a, "POST", "/stream/1", key);
  ASSERT_TRUE (until ([&] { return open_streams.size () == streams; }));
  /* The slack has grown, and the clients' time budget is not over.  */
  wait (1.1);
  for (mq_http_exchange *x : open_streams)
    {
      mq_http_exchange_write (x, MQ_SPAN ("id: 3\ndata: ha"));
      mq_http_exchange_end (x);
      mq_http_exchange_unref (x);
    }
  wait (0.35);
  /* Without a grant only its own part and a few sends would be allowed.  */
  unsigned resumed_early = resumed;
  EXPECT_GT (resumed_early, 2u);
  /* A fifth of sixteen requests, and the slack.  */
  EXPECT_LE (resumed_early, 11u);
  Answer metrics = fetch ("GET", "/metrics", {}, "", base + 4);
  EXPECT_EQ (metrics.body.find ("marjoramquay_budget_lent_total 0\n"),
             std::string::npos);
  EXPECT_NE (metrics.body.find ("marjoramquay_budget_lent_total "),
             std::string::npos);
  mq_gateway_free (second);
  mq_gateway_settings_finish (&other);
}
