/* Requests in progress while the configuration changes: their routes,
   services, keys and limits go or are replaced.  Guards against a change that
   takes a request with it: each one that was read whole gets a complete
   response or a truthful refusal, streams go on to their last event, and
   nothing that runs at most once runs twice.  */

#include "raw_socket.hh"
#include "support/router_fleet.h"

#include <algorithm>
#include <deque>
#include <set>

using gateway::events;
using gateway::Server;
using gateway::Upstream;

namespace
{

/* What a configuration of the tests may vary.  */
struct Variant
{
  std::string plain = "\"service\":\"app\""; /* Of the plain routes.  */
  std::string model = "model";
  bool has_routes = true;
  bool has_model = true;
  bool has_key = true;
  unsigned timeout_ms = 1500;
  unsigned header_bytes = 16384;
  unsigned body_bytes = 65536;
  unsigned more_routes = 0;
};

constexpr unsigned kEvents = 8; /* Of a stream.  */

/* Returns the headers and the body of the first response in RECEIVED, and
   takes it off; empty if it is incomplete.  */
std::pair<std::string, std::string>
take_response (std::string &received)
{
  size_t head = received.find ("\r\n\r\n");
  std::string body;

  if (head == std::string::npos)
    return {};
  std::string h = received.substr (0, head + 2);
  size_t at = head + 4;
  size_t length = h.find ("Content-Length: ");
  if (length != std::string::npos)
    {
      size_t n = std::stoul (h.substr (length + 16));

      if (received.size () < at + n)
        return {};
      body = received.substr (at, n);
      at += n;
    }
  else
    for (size_t n = 1; n > 0;)
      {
        size_t line = received.find ("\r\n", at);

        if (line == std::string::npos)
          return {};
        n = std::stoul (received.substr (at), nullptr, 16);
        if (received.size () < line + 4 + n)
          return {};
        body += received.substr (line + 2, n);
        at = line + 4 + n;
      }
  received.erase (0, at);
  return { h, body };
}

class RequestsAcrossChanges : public gateway::RouterFleet
{
protected:
  static constexpr unsigned kClients = 24;
  struct Request
  {
    std::string id, target;
    ev_tstamp sent;
  };

  /* A client that keeps its connection.  Depending on its number it sends its
     requests whole, in two halves, or two at a time.  */
  struct Client
  {
    std::unique_ptr<Socket> socket;
    unsigned number = 0, sent = 0;
    std::string received, second_half;
    std::deque<Request> waiting; /* For their responses.  */
    bool told_to_close = false, closed = false;
  };

  void
  SetUp () override
  {
    for (const char *id : { "app-a", "app-b" })
      serve_late (add (id, "app"));
    serve_late (add ("new-a", "new"));
    serve_streams (add_engine ("eng-1", "one"));
    serve_streams (add_engine ("eng-2", "two"));
    put (Variant ());
    start_router ();
    wait (0.3);
    for (unsigned i = 0; i < kClients; i++)
      {
        clients_.emplace_back ();
        clients_.back ().number = i;
      }
  }

  ~RequestsAcrossChanges () override
  {
    for (auto &w : work_)
      mq_http_exchange_unref (w.exchange);
  }

  void
  put (const Variant &v)
  {
    store.put ("config", "main", text_of (v));
  }

  void
  put_text (const std::string &text)
  {
    store.put ("config", "main", text);
  }

  /* Send requests for SECONDS.  STEP is called with the time since the start
     in each round.  Then wait for all responses and check them.  */
  void
  play (double seconds, const std::function<void (double)> &step)
  {
    ev_tstamp begin = ev_time ();
    bool idle = true;

    EXPECT_TRUE (until ([&] {
      double t = ev_time () - begin;

      do_work ();
      idle = true;
      if (t < seconds)
        step (t);
      for (Client &c : clients_)
        {
          turn (c, t < seconds);
          idle = idle && c.waiting.empty ();
        }
      return t >= seconds && idle;
    }));
    wait (0.1);
    check ();
  }

  /* The same with a single change of the configuration to V, after 0.3 s.  */
  void
  play_change (const Variant &v)
  {
    bool changed = false;

    play (0.9, [&] (double t) {
      if (changed || t < 0.3)
        return;
      changed = true;
      put (v);
    });
  }

  std::string
  text_of (const Variant &v)
  {
    std::string routes, tenants;

    if (v.has_routes)
      routes = timed_route ("/safe/", "safe", v.plain, v) + ","
               + timed_route ("/unsafe/", "unsafe", v.plain, v);
    if (v.has_routes && v.has_model)
      routes += ","
                + timed_route ("/stream/", "streaming",
                               "\"service\":\"" + v.model + "\"", v);
    for (unsigned i = 0; i < v.more_routes; i++)
      routes += (routes.empty () ? "" : ",")
                + timed_route ("/more-" + std::to_string (i) + "/", "safe",
                               v.plain, v);
    return "{\"version\":" + std::to_string (++version_) + ",\"routes\":["
           + routes + "],\"services\":[{\"name\":\"app\"},{\"name\":\"new\"}"
           + (v.has_model ? "," + model_text ("model") : "")
           + "],\"limits\":{\"maxBodyBytes\":" + std::to_string (v.body_bytes)
           + ",\"maxHeaderBytes\":" + std::to_string (v.header_bytes)
           + "},\"tenants\":[{\"name\":\"org\",\"apiKeys\":[\""
           + (v.has_key ? "key-1" : "key-2") + "\"]}]}";
  }

  /* Statuses that are right in the test besides 200, with the number of their
     responses.  None of them may have run.  */
  std::map<unsigned, unsigned> statuses;

private:
  ev_tstamp slowest_s_ = 0; /* Response.  */

  struct Work
  {
    mq_http_exchange *exchange; /* One reference.  */
    Upstream *upstream;
    ev_tstamp due;
    unsigned next; /* Event of a stream; 0: a plain response.  */
  };

  static std::string
  timed_route (const std::string &prefix, const std::string &kind,
               const std::string &service, const Variant &v)
  {
    std::string r = route (prefix, kind, "X", kind == "unsafe" ? 1 : 2);

    r.replace (r.find ("\"service\":\"X\""), 13, service);
    r.replace (r.find ("1500"), 4, std::to_string (v.timeout_ms));
    return r;
  }

  static std::string
  model_text (const std::string &name)
  {
    return "{\"name\":\"" + name
           + "\",\"engine\":{\"slots\":64,\"kvTokenBytes\":590000,"
             "\"step_ms\":0.85,\"read_per_s\":196000,\"layers\":80,"
             "\"layerMb\":1750,\"loads_at_once\":6,\"models\":[{\"name\":"
             "\"m\",\"loadS\":14}],\"usual\":{\"prompt\":700,\"answer\":170},"
             "\"kinds\":[{\"name\":\"big\",\"mb\":300000,\"pace\":1,"
             "\"readX\":1}]}}";
  }

  void
  note_run (mq_http_exchange *x)
  {
    runs_[gateway::text (
        mq_http_exchange_header (x, "Marjoramquay-Attempt-Id"))]++;
  }

  void
  serve_late (Upstream &u)
  {
    u.serve = [this, &u] (mq_http_exchange *x) {
      note_run (x);
      work_.push_back ({ mq_http_exchange_ref (x), &u, ev_time () + 0.04, 0 });
    };
  }

  void
  serve_streams (Upstream &u)
  {
    u.serve = [this, &u] (mq_http_exchange *x) {
      note_run (x);
      u.begin (x);
      work_.push_back ({ mq_http_exchange_ref (x), &u, ev_time () + 0.02, 1 });
    };
  }

  /* Send the responses and events that are due.  */
  void
  do_work ()
  {
    ev_tstamp now = ev_time ();

    for (size_t i = 0; i < work_.size ();)
      {
        Work &w = work_[i];

        if (now < w.due)
          {
            i++;
            continue;
          }
        if (w.next > 0)
          Upstream::events (w.exchange, w.next, w.next);
        else
          w.upstream->answer (w.exchange);
        w.due = now + 0.03;
        if (w.next > 0 && w.next++ < kEvents)
          {
            i++;
            continue;
          }
        if (w.next > 0)
          mq_http_exchange_end (w.exchange);
        mq_http_exchange_unref (w.exchange);
        work_.erase (work_.begin () + (ptrdiff_t)i);
      }
  }

  std::string
  next_request (Client &c)
  {
    static const char *const targets[] = { "/safe/", "/unsafe/", "/stream/" };
    std::string target = targets[(c.number + c.sent) % 3];
    std::string id
        = std::to_string (c.number) + "-" + std::to_string (c.sent++);

    c.waiting.push_back ({ id, target, ev_time () });
    return "POST " + target
           + "1 HTTP/1.1\r\nHost: x.example\r\n"
             "Marjoramquay-Credential: key-1\r\n"
             "Marjoramquay-Time-Budget-Ms: 5000\r\n"
             "Marjoramquay-Token-Counts: 100,20\r\n"
             "Marjoramquay-Attempt-Id: "
           + id + "\r\nContent-Length: 3000\r\n\r\n" + std::string (3000, 'b');
  }

  /* Connect C and send its next request, unless one is in progress.  */
  void
  send_next (Client &c)
  {
    if (c.socket == nullptr)
      {
        c.socket
            = std::make_unique<Socket> (Socket::connected (routers[0]->base));
        c.told_to_close = c.closed = false;
        c.received.clear ();
      }
    std::string r = next_request (c);
    if (c.number % 3 == 2)
      r += next_request (c);
    /* In the head of the request, or in its body.  */
    size_t first = c.number % 3 != 1 ? r.size () : c.number % 2 ? 150 : 1800;
    c.socket->write (r.substr (0, first));
    c.second_half = r.substr (first);
  }

  void
  turn (Client &c, bool may_send)
  {
    if (c.socket != nullptr)
      {
        c.received += c.socket->read (&c.closed);
        take_responses (c);
      }
    if (c.closed || (c.told_to_close && c.waiting.empty ()))
      close (c);
    if (!c.second_half.empty () && c.socket != nullptr)
      {
        c.socket->write (c.second_half);
        c.second_half.clear ();
      }
    else if (may_send && c.waiting.empty ())
      send_next (c);
  }

  /* The connection of C has ended.  A request after the last response, which
     says so, was not read; neither was one whose second half is unsent.  */
  void
  close (Client &c)
  {
    for (const Request &r : c.waiting)
      {
        if (c.told_to_close || !c.second_half.empty ())
          crossed_.insert (r.id);
        else
          {
            ADD_FAILURE () << r.target << r.id << " got no response; ran "
                           << runs_[r.id] << " times; " << c.received;
          }
      }
    c.waiting.clear ();
    c.second_half.clear ();
    c.socket.reset ();
    c.closed = c.told_to_close = false;
  }

  void
  take_responses (Client &c)
  {
    for (;;)
      {
        auto [head, body] = take_response (c.received);

        if (head.empty ())
          return;
        if (c.waiting.empty ())
          {
            ADD_FAILURE () << "response to no request: " << head;
            return;
          }
        c.told_to_close = head.find ("Connection: close") != std::string::npos;
        note_response (c.waiting.front (),
                       (unsigned)std::stoi (head.substr (9)), head, body);
        c.waiting.pop_front ();
      }
  }

  void
  note_response (const Request &r, unsigned status, const std::string &head,
                 const std::string &body)
  {
    slowest_s_ = std::max (slowest_s_, ev_time () - r.sent);
    statuses[status]++;
    if (status != 200)
      {
        refused_.insert (r.id);
        return;
      }
    EXPECT_EQ (runs_.count (r.id), 1u) << r.id;
    EXPECT_NE (head.find ("Marjoramquay-Attempt-Id: " + r.id + "\r\n"),
               std::string::npos);
    EXPECT_NE (head.find ("Marjoramquay-Response-Signature"),
               std::string::npos);
    if (r.target == "/stream/")
      EXPECT_EQ (body, events (1, kEvents));
    else
      EXPECT_EQ (body.rfind ("answer of ", 0), 0u) << body;
  }

  void
  check ()
  {
    for (auto &r : runs_)
      EXPECT_EQ (r.second, 1u) << r.first; /* No engine failed.  */
    for (auto &id : refused_)
      EXPECT_EQ (runs_.count (id), 0u) << id;
    for (auto &id : crossed_)
      EXPECT_EQ (runs_.count (id), 0u) << id;
    EXPECT_GT (statuses[200], 0u);
    for (auto &s : statuses)
      GTEST_LOG_ (INFO) << s.first << ": " << s.second;
    GTEST_LOG_ (INFO) << "crossed: " << crossed_.size () << ", slowest "
                      << slowest_s_ << " s";
  }

  std::vector<Client> clients_;
  std::vector<Work> work_;
  std::map<std::string, unsigned> runs_; /* Id of a request -> runs.  */
  std::set<std::string> refused_, crossed_;
  unsigned version_ = 0;
};

/* Requests that wait for the first view of their service.  */
class WaitingAcrossChanges : public gateway::Fixture
{
protected:
  static constexpr size_t kRequests = 8; /* That one engine runs at once.  */

  void
  SetUp () override
  {
    configure (1);
    start ();
    wait (0.1);
    answers.resize (kRequests);
    for (gateway::Answer &a : answers)
      start_request (a, "POST", "/stream/1", gateway::key, "body");
    wait (0.1);
  }

  /* An engine of the service shows up.  */
  void
  add_engine ()
  {
    upstreams.push_back (
        std::make_unique<Upstream> (loop, "eng", "model", "one", "big"));
    Upstream &u = *upstreams.back ();

    u.end = 80;
    u.serve = [&u] (mq_http_exchange *x) {
      u.begin (x);
      Upstream::events (x, 1, 3);
      mq_http_exchange_end (x);
    };
    write_entry (u);
  }

  void
  expect_served ()
  {
    EXPECT_TRUE (until ([&] {
      return std::all_of (answers.begin (), answers.end (),
                          [] (auto &a) { return a.ended; });
    }));
    for (gateway::Answer &a : answers)
      {
        EXPECT_EQ (a.status, 200u);
        EXPECT_EQ (a.body, events (1, 3));
      }
    EXPECT_EQ (upstreams[0]->received_requests.size (), kRequests);
  }

  std::vector<gateway::Answer> answers;
};

} // namespace

/* They keep the configuration under which they were accepted.  */
TEST_F (WaitingAcrossChanges, ThatDropTheirRouteServiceAndKey)
{
  store.put ("config", "main",
             "{\"version\":2,\"routes\":[],\"services\":[{\"name\":\"app\"}],"
             "\"limits\":{\"maxBodyBytes\":1},\"tenants\":[{\"name\":\"org\","
             "\"apiKeys\":[\"key-2\"]}]}");
  ASSERT_TRUE (until ([&] {
    return fetch ("POST", "/stream/1", gateway::key, "body").status == 404;
  }));
  add_engine ();
  expect_served ();
}

TEST_F (WaitingAcrossChanges, ThatComeInABurst)
{
  for (unsigned i = 2; i < 40; i++)
    {
      configure (i);
      wait (0.01);
    }
  add_engine ();
  expect_served ();
}

TEST_F (RequestsAcrossChanges, ThatDropRoutes)
{
  Variant v;

  v.has_routes = false;
  v.more_routes = 1;
  play_change (v);
  EXPECT_GT (statuses[404], 0u);
  EXPECT_EQ (statuses.size (), 2u);
}

TEST_F (RequestsAcrossChanges, ThatDropAService)
{
  Variant v;

  v.has_model = false;
  play_change (v);
  EXPECT_GT (statuses[404], 0u);
  EXPECT_EQ (statuses.size (), 2u);
}

TEST_F (RequestsAcrossChanges, ThatMoveRoutesToAnotherService)
{
  Variant v;

  v.plain = "\"service\":\"new\"";
  play_change (v);
  EXPECT_EQ (statuses.size (), 1u);
}

TEST_F (RequestsAcrossChanges, ThatMoveWeights)
{
  int step = 0;

  play (0.9, [&] (double t) {
    if (t < 0.2 * (step + 1))
      return;
    Variant v;
    step++;
    v.plain = "\"weightedServices\":[{\"service\":\"app\",\"weight\":"
              + std::to_string (std::max (0, 100 - 20 * step))
              + "},{\"service\":\"new\",\"weight\":"
              + std::to_string (std::min (100, 20 * step)) + "}]";
    put (v);
  });
  EXPECT_EQ (statuses.size (), 1u);
}

TEST_F (RequestsAcrossChanges, ThatShrinkTimeLimits)
{
  Variant v;

  v.timeout_ms = 700;
  play_change (v);
  EXPECT_EQ (statuses.size (), 1u);
}

TEST_F (RequestsAcrossChanges, ThatTakeKeysAway)
{
  Variant v;

  v.has_key = false;
  play_change (v);
  EXPECT_GT (statuses[401], 0u);
  EXPECT_EQ (statuses.size (), 2u);
}

TEST_F (RequestsAcrossChanges, ThatLowerTheBodyLimit)
{
  Variant v;

  v.body_bytes = 2000;
  play_change (v);
  EXPECT_GT (statuses[413], 0u);
  EXPECT_EQ (statuses.size (), 2u);
}

TEST_F (RequestsAcrossChanges, ThatChangeTheHeadLimit)
{
  int step = 0;

  play (1.2, [&] (double t) {
    static const unsigned sizes[] = { 32768, 8192, 65536, 16384, 131072 };

    if (t < 0.2 * (step + 1) || step == 5)
      return;
    Variant v;
    v.header_bytes = sizes[step++];
    put (v);
  });
  EXPECT_EQ (statuses.size (), 1u);
}

TEST_F (RequestsAcrossChanges, ThatComeInABurst)
{
  unsigned n = 0;

  play (2, [&] (double t) {
    Variant v;

    if (t < n * 0.01)
      return;
    v.plain = n % 2 ? "\"service\":\"new\"" : "\"service\":\"app\"";
    v.timeout_ms = 1400 + n % 7;
    v.header_bytes = 16384 + n / 50 * 4096;
    n++;
    put (v);
  });
  EXPECT_GT (n, 100u);
  EXPECT_EQ (statuses.size (), 1u);
}

TEST_F (RequestsAcrossChanges, ThatAddManyRoutes)
{
  int step = 0;
  Variant many;

  many.more_routes = 400;
  play (0.9, [&] (double t) {
    if (t < 0.2 * (step + 1))
      return;
    put (step++ % 2 ? Variant () : many);
  });
  EXPECT_EQ (statuses.size (), 1u);
}

TEST_F (RequestsAcrossChanges, ThatCantBeReadBetweenTwoGoodOnes)
{
  int step = 0;

  play (0.9, [&] (double t) {
    Variant v;

    if (t < 0.1 * (step + 1))
      return;
    v.timeout_ms = 1400 + (unsigned)step;
    std::string s = text_of (v);
    switch (step++ % 4)
      {
      case 1:
        put_text ("{\"version\":\"none\",\"routes\":{\"a\":1}}");
        break;
      case 3:
        put_text ("[]");
        break;
      default:
        put_text (s);
      }
  });
  EXPECT_EQ (statuses.size (), 1u);
}

/* The services' upstreams leave and are replaced by others.  */
TEST_F (RequestsAcrossChanges, ThatReplaceUpstreams)
{
  int step = 0;

  play (0.9, [&] (double t) {
    if (t < 0.2 * (step + 1))
      return;
    if (step == 0)
      store.remove ("servers", "app-a");
    else if (step == 1)
      store.put ("servers", "app-c",
                 upstreams[2]->entry ().replace (12, 3, "app"));
    else if (step == 2)
      write_entry (*upstreams[3], true);
    else if (step == 3)
      store.remove ("servers", "eng-1");
    step++;
  });
  EXPECT_EQ (statuses.size (), 1u);
}
