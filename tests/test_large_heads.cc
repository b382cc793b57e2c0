/* Requests whose heads come near the limit of the configuration, and responses
   with large heads, from a client's socket to an engine's.  Guards against
   connections that are closed without a response after the request has run. */

#include "raw_socket.hh"
#include "support/raw_engine_fleet.h"

namespace
{

using gateway::RawEngine;

constexpr size_t kHeadLimit = 16384;

/* A client that keeps its connection.  */
class Client
{
public:
  explicit Client (unsigned port) : socket_ (Socket::connected (port)) {}

  void
  send (const std::string &bytes)
  {
    received.clear ();
    for (size_t at = 0; at < bytes.size ();)
      {
        ssize_t n = ::send (socket_.fd, bytes.data () + at, bytes.size () - at,
                            MSG_NOSIGNAL);

        if (n > 0)
          at += (size_t)n;
        else if (errno != EAGAIN)
          break;
      }
  }

  /* Returns true once a complete response or the end of the connection has
     arrived.  */
  bool
  has_ended ()
  {
    received += socket_.read (&closed);
    return closed || is_complete_response (received);
  }

  int
  status () const
  {
    return is_complete_response (received) ? std::stoi (received.substr (9))
                                           : 0;
  }

  std::string received;
  bool closed = false;

private:
  Socket socket_;
};

class LargeHeads : public gateway::RawEngineFleet
{
protected:
  void
  start_heads ()
  {
    RawEngine &e = add_raw ("one");
    std::string entry = e.entry ();

    e.serve = [this] (const std::string &request) { return serve (request); };
    /* The same engine also serves plain calls.  */
    entry.replace (entry.find ("model"), 5, "app");
    store.put ("servers", "plain", entry);
    configure (1);
    start_router ();
    wait (0.2);
  }

  /* A request of SIZE bytes, without its body of three bytes, that has FIELDS
     and ends with a long header NAME.  */
  std::string
  request (const std::string &target, size_t size, const std::string &name,
           const std::string &fields = "")
  {
    std::string head = "POST " + target
                       + " HTTP/1.1\r\nHost: x.example\r\n"
                         "Marjoramquay-Credential: key-1\r\n"
                         "Marjoramquay-Time-Budget-Ms: 1500\r\n"
                         "Marjoramquay-Token-Counts: 100,20\r\n"
                         "Marjoramquay-Attempt-Id: h"
                       + std::to_string (++serial)
                       + "\r\nContent-Length: 3\r\n" + fields;
    const std::string start = name + ": ";
    const std::string end = "\r\n\r\n";

    EXPECT_GE (size, head.size () + start.size () + end.size ());
    head += start;
    for (size_t n = 0; head.size () + end.size () < size; n++)
      head += "5c1e07a2:8,"[n % 11];
    return head + end + "abc";
  }

  /* Send BYTES over C.  Returns the status of the response, 0 if the
     connection ended without one.  */
  int
  ask (Client &c, const std::string &bytes)
  {
    c.send (bytes);
    EXPECT_TRUE (until ([&] {
      for (auto &e : raw)
        e->poll ();
      return c.has_ended ();
    }));
    return c.status ();
  }

  /* The same over a new connection that has had one small request answered.
   */
  int
  ask_on_kept (const std::string &bytes)
  {
    Client c (port ());

    EXPECT_EQ (ask (c, request ("/unsafe/1", 300, "X-Pad")), 200);
    return ask (c, bytes);
  }

  unsigned
  port () const
  {
    return routers[0]->base;
  }

  std::string
  metrics ()
  {
    return fetch ("GET", "/metrics", {}, "", routers[0]->base + 4).body;
  }

  std::string answer_fields; /* Of each response of the engine.  */

private:
  std::string
  serve (const std::string &request) const
  {
    const std::string name = "Marjoramquay-Attempt-Id: ";
    size_t at = request.find (name);
    bool stream = request.find (" /stream/") < request.find ("\r\n");
    std::string body = stream ? gateway::events (1, 3) : "whole";

    return "HTTP/1.1 200 OK\r\nContent-Type: "
           + std::string (stream ? "text/event-stream" : "text/plain")
           + "\r\nMarjoramquay-Response-Signature: s\r\n"
           + request.substr (at, request.find ("\r\n", at) + 2 - at)
           + answer_fields + "Connection: close\r\nContent-Length: "
           + std::to_string (body.size ()) + "\r\n\r\n" + body;
  }
};

} // namespace

/* Requests ran, and their connections were closed without a response.  */
TEST_F (LargeHeads, NearLimitAreAnswered)
{
  start_heads ();
  for (size_t size = kHeadLimit - 560; size <= kHeadLimit; size += 40)
    {
      EXPECT_EQ (ask_on_kept (request ("/unsafe/1", size, "X-Form-State")),
                 200)
          << size;
      EXPECT_EQ (ask_on_kept (request ("/stream/1", size,
                                       "Marjoramquay-Prompt-Prefix")),
                 200)
          << size;
    }
}

/* Heads with many fields or cookies were rejected from 8,000 bytes on.  */
TEST_F (LargeHeads, WithManyFieldsAreAnswered)
{
  std::string fields;
  std::string cookies = "Cookie: a=b";

  start_heads ();
  for (int i = 0; i < 300; i++)
    fields += "X-" + std::to_string (i) + ": y\r\n";
  EXPECT_EQ (ask_on_kept (request ("/unsafe/1", kHeadLimit, "X-Pad", fields)),
             200);
  for (int i = 0; i < 150; i++)
    cookies += "; name-" + std::to_string (i) + "=" + std::string (50, 'v');
  EXPECT_EQ (ask_on_kept (
                 request ("/stream/1", kHeadLimit, "X-Pad", cookies + "\r\n")),
             200);
}

TEST_F (LargeHeads, AreAnsweredAfterContinue)
{
  start_heads ();
  std::string r
      = request ("/unsafe/1", kHeadLimit, "X-Pad", "Expect: 100-continue\r\n");
  Client c (port ());

  EXPECT_EQ (ask (c, request ("/unsafe/1", 300, "X-Pad")), 200);
  c.send (r.substr (0, r.size () - 3));
  ASSERT_TRUE (until ([&] {
    return c.has_ended () || c.received.find ("\r\n\r\n") != std::string::npos;
  }));
  EXPECT_EQ (c.received, "HTTP/1.1 100 Continue\r\n\r\n");
  EXPECT_EQ (ask (c, "abc"), 200);
}

/* Too large a head is rejected before the request is sent on, and counted.  */
TEST_F (LargeHeads, BeyondLimitAreRejectedUnsent)
{
  std::string fields;

  start_heads ();
  EXPECT_EQ (ask_on_kept (request ("/unsafe/1", kHeadLimit + 1, "X-Pad")),
             431);
  EXPECT_EQ (ask_on_kept (request ("/stream/1", 80000, "X-Pad")), 431);
  for (int i = 0; i < 2000; i++)
    fields += "a:b\r\n";
  EXPECT_EQ (ask_on_kept (request ("/unsafe/1", kHeadLimit, "X-Pad", fields)),
             431);
  EXPECT_EQ (raw[0]->runs, 3u); /* The small ones.  */
  std::string m = metrics ();
  const std::string ended = "marjoramquay_requests_ended_total{kind=\"none\","
                            "outcome=\"refused\",reason=\"";
  EXPECT_NE (m.find (ended + "head-too-large\"} 1"), std::string::npos);
  EXPECT_NE (m.find (ended + "head-unreadable\"} 2"), std::string::npos);
}

/* A head that states the end of its body in two ways is rejected before the
   request is sent on, its connection is closed, and it is counted.  */
TEST_F (LargeHeads, ThatContradictThemselvesAreRejectedUnsent)
{
  start_heads ();
  Client c (port ());

  c.send (request ("/unsafe/1", 300, "X-Pad",
                   "Content-Length: 0\r\nTransfer-Encoding: chunked\r\n"));
  ASSERT_TRUE (until ([&] { return c.has_ended (); }));
  EXPECT_EQ (c.received.find ("HTTP/1.1 400 "), 0u) << c.received;
  EXPECT_NE (c.received.find ("\"outcome\":\"not-run\""), std::string::npos);
  EXPECT_EQ (raw[0]->runs, 0u);
  EXPECT_NE (
      metrics ().find ("marjoramquay_requests_ended_total{kind=\"none\","
                       "outcome=\"refused\",reason=\"head-malformed\"}"
                       " 1"),
      std::string::npos);
}

/* A response whose head exceeds what the connection has room for is replaced
   by a failure that says so.  */
TEST_F (LargeHeads, OfResponsesAreAnswered)
{
  start_heads ();
  for (const char *target : { "/unsafe/1", "/stream/1" })
    {
      answer_fields = "X-Large: " + std::string (7000, 'v') + "\r\n";
      EXPECT_EQ (ask_on_kept (request (target, kHeadLimit, "X-Pad")), 200);
      answer_fields = "X-Large: " + std::string (60000, 'v') + "\r\n";
      Client c (port ());
      EXPECT_EQ (ask (c, request (target, kHeadLimit, "X-Pad")), 502);
      EXPECT_NE (c.received.find ("response-head-too-large"),
                 std::string::npos);
      EXPECT_EQ (c.received.find ("Marjoramquay-Response-Signature"),
                 std::string::npos);
      answer_fields = "";
      EXPECT_EQ (ask (c, request (target, 300, "X-Pad")), 200);
    }
  EXPECT_NE (metrics ().find ("reason=\"response-head-too-large\"} 1"),
             std::string::npos);
}

/* The limit of the configuration holds from its version on.  */
TEST_F (LargeHeads, FollowConfiguredLimit)
{
  more_limits = ",\"maxHeaderBytes\":8192";
  start_heads ();
  EXPECT_EQ (ask_on_kept (request ("/unsafe/1", 8192, "X-Pad")), 200);
  EXPECT_EQ (ask_on_kept (request ("/unsafe/1", 8193, "X-Pad")), 431);
  Client kept (port ());
  EXPECT_EQ (ask (kept, request ("/unsafe/1", 300, "X-Pad")), 200);
  more_limits = ",\"maxHeaderBytes\":65536";
  configure (2);
  ASSERT_TRUE (until ([&] { return kept.has_ended () && kept.closed; }));
  EXPECT_EQ (ask_on_kept (request ("/unsafe/1", 65536, "X-Pad")), 200);
  EXPECT_EQ (ask_on_kept (request ("/stream/1", 65536, "X-Pad")), 200);
}
