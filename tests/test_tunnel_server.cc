/* Tunnels to upstreams (mq/tunnel_server.h) and calls through them.  */

#include "support/gateway_standins.h"
#include "support/loopback_listener.h"
#include "support/run_until.h"

#include <mq/tunnel_server.h>

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using gateway::Server;
using gateway::span;

namespace
{

struct Result
{
  bool ended = false;
  mq_http_client_event event = {};
  std::string body;
};

void
on_event (void *context, const mq_http_client_event *event)
{
  Result *r = static_cast<Result *> (context);

  r->body += gateway::text (event->data);
  r->event = *event;
  r->ended = event->kind == MQ_HTTP_CLIENT_END;
}

/* A listener that the test itself reads and writes.  */
class RawServer
{
public:
  ~RawServer ()
  {
    if (fd >= 0)
      close (fd);
  }

  bool
  accepted ()
  {
    if (fd < 0)
      fd = listener_.accept ();
    return fd >= 0;
  }

  /* Returns true when the bytes received so far contain TEXT.  */
  bool
  received (const std::string &text)
  {
    char buffer[4096];
    ssize_t n = accepted () ? recv (fd, buffer, sizeof buffer, 0) : -1;

    if (n > 0)
      bytes.append (buffer, (size_t)n);
    closed = closed || n == 0;
    return bytes.find (text) != std::string::npos;
  }

  void
  write (const std::string &text)
  {
    EXPECT_EQ (send (fd, text.data (), text.size (), MSG_NOSIGNAL),
               (ssize_t)text.size ());
  }

  /* Close the connection, with a reset if RESETS.  */
  void
  finish (bool resets)
  {
    struct linger l = { resets, 0 };

    setsockopt (fd, SOL_SOCKET, SO_LINGER, &l, sizeof l);
    close (fd);
    fd = -1;
  }

private:
  gateway::LoopbackListener listener_;

public:
  const std::string &address = listener_.address;
  std::string bytes;
  bool closed = false;
  int fd = -1;
};

class Tunnel : public ::testing::Test
{
protected:
  Tunnel ()
  {
    client = mq_http_client_new (loop, MQ_SPAN (""));
    start (16);
  }

  ~Tunnel () override
  {
    mq_http_client_free (client);
    mq_tunnel_server_free (server);
    ev_loop_destroy (loop);
  }

  void
  start (unsigned tunnels)
  {
    mq_tunnel_server_options o = {};

    mq_tunnel_server_free (server);
    o.address = MQ_SPAN ("127.0.0.1");
    o.tunnels = tunnels;
    o.connect_ms = 100;
    o.check = [] (void *context, mq_span) {
      return static_cast<Tunnel *> (context)->refusal;
    };
    o.on_failure = [] (void *context, mq_span) {
      static_cast<Tunnel *> (context)->failures++;
    };
    o.context = this;
    server = mq_tunnel_server_new (loop, &o, nullptr);
    tunnel = "127.0.0.1:" + std::to_string (mq_tunnel_server_port (server));
  }

  bool
  until (const std::function<bool ()> &test)
  {
    return run_until (loop, test, 5, 0.002);
  }

  mq_http_call *
  start_call (Result &r, const std::string &address,
              const std::string &body = "")
  {
    std::string url = "http://" + address + "/x";
    mq_http_header secret = { MQ_SPAN ("X-Key"), MQ_SPAN ("secret") };
    mq_http_call_options o = {};

    o.method = body.empty () ? MQ_SPAN ("GET") : MQ_SPAN ("POST");
    o.url = span (url);
    o.headers = &secret;
    o.n_headers = 1;
    o.body = span (body);
    o.tunnel = span (tunnel);
    o.streamed = true;
    return mq_http_client_start (client, &o, on_event, &r);
  }

  Result
  call (const std::string &address, const std::string &body = "")
  {
    Result r;

    start_call (r, address, body);
    EXPECT_TRUE (until ([&] { return r.ended; }));
    return r;
  }

  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  mq_http_client *client;
  mq_tunnel_server *server = nullptr;
  std::string tunnel;
  unsigned refusal = 0, failures = 0;
};

} // namespace

TEST_F (Tunnel, CopiesRequestsAndResponses)
{
  std::string large (3 << 20, 'a');
  Server upstream (loop, [&] (mq_http_exchange *x) {
    Server::reply (x, 200, gateway::text (mq_http_exchange_body (x)));
  });

  for (int i = 0; i < 3; i++)
    {
      Result r = call (upstream.address (), i == 1 ? "small" : large);
      EXPECT_EQ (r.event.result, MQ_HTTP_OK);
      EXPECT_EQ (r.event.status, i == 1 ? 200u : 413u);
    }
  std::string body (900 << 10, 'b');
  EXPECT_EQ (call (upstream.address (), body).body, body);
}

TEST_F (Tunnel, FailureToOpenIsNotSent)
{
  RawServer upstream;
  struct
  {
    unsigned refusal;
    std::string address;
    unsigned status;
  } cases[] = { { 403, upstream.address, 403 },
                { 503, upstream.address, 503 },
                { 0, "127.0.0.1:1", 502 } };

  for (auto &c : cases)
    {
      refusal = c.refusal;
      Result r = call (c.address);
      EXPECT_EQ (r.event.result, MQ_HTTP_CONNECT_FAILED);
      EXPECT_EQ (r.event.tunnel_status, c.status);
      EXPECT_FALSE (r.event.maybe_sent);
    }
  EXPECT_FALSE (upstream.accepted ());
  EXPECT_EQ (failures, 1u);
}

TEST_F (Tunnel, TunnelsAreLimited)
{
  RawServer a, b;
  Result first;

  start (1);
  mq_http_call *held = start_call (first, a.address);
  ASSERT_TRUE (until ([&] { return a.received ("GET /x"); }));
  EXPECT_EQ (call (b.address).event.tunnel_status, 503u);
  mq_http_call_cancel (held);
}

/* The tunnel server must see nothing of the request but its destination.  */
TEST_F (Tunnel, RequestHeadersStayInside)
{
  RawServer fake;
  Result r;

  tunnel = fake.address;
  mq_http_call *c = start_call (r, "127.0.0.1:9");
  ASSERT_TRUE (until ([&] { return fake.received ("\r\n\r\n"); }));
  EXPECT_EQ (fake.bytes.find ("CONNECT 127.0.0.1:9 HTTP/1.1\r\n"), 0u);
  EXPECT_EQ (fake.bytes.find ("X-Key"), std::string::npos);
  mq_http_call_cancel (c);
}

/* A response without a length is complete only if the upstream closed the
   connection in order.  */
TEST_F (Tunnel, CutResponseDoesNotLookComplete)
{
  enum
  {
    Closed,
    Reset,
    ServerFreed
  };
  for (int how : { Closed, Reset, ServerFreed })
    {
      RawServer upstream;
      Result r;

      start_call (r, upstream.address);
      ASSERT_TRUE (until ([&] { return upstream.received ("GET /x"); }));
      upstream.write ("HTTP/1.1 200 OK\r\n\r\npart");
      ASSERT_TRUE (until ([&] { return r.body == "part"; }));
      if (how == ServerFreed)
        start (16);
      else
        upstream.finish (how == Reset);
      ASSERT_TRUE (until ([&] { return r.ended; }));
      EXPECT_EQ (r.event.result, how == Closed ? MQ_HTTP_OK : MQ_HTTP_BROKEN);
    }
}

TEST_F (Tunnel, CancelledCallClosesConnectionToUpstream)
{
  RawServer upstream;
  Result r;
  mq_http_call *c = start_call (r, upstream.address);

  ASSERT_TRUE (until ([&] { return upstream.received ("GET /x"); }));
  EXPECT_EQ (mq_tunnel_server_count_busy (server, 0), 1u);
  mq_http_call_cancel (c);
  EXPECT_TRUE (until ([&] {
    upstream.received ("-");
    return upstream.closed;
  }));
  EXPECT_TRUE (until ([&] { return mq_tunnel_server_count (server) == 0; }));
}

TEST_F (Tunnel, MalformedRequestIsRejected)
{
  for (const char *text :
       { "GET / HTTP/1.1\r\n\r\n", "CONNECT nowhere HTTP/1.1\r\n\r\n",
         "CONNECT 127.0.0.1:0 HTTP/1.1\r\n\r\n", "CONNECT \r\n\r\n" })
    {
      sockaddr_in at = {};
      char reply[64] = "";
      int fd = socket (AF_INET, SOCK_STREAM, 0);

      at.sin_family = AF_INET;
      at.sin_port = htons (mq_tunnel_server_port (server));
      at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
      ASSERT_EQ (connect (fd, reinterpret_cast<sockaddr *> (&at), sizeof at),
                 0);
      ASSERT_GT (send (fd, text, strlen (text), 0), 0);
      EXPECT_TRUE (until ([&] {
        return reply[0] != 0
               || recv (fd, reply, sizeof reply - 1, MSG_DONTWAIT) > 0;
      })) << text;
      EXPECT_EQ (std::string (reply).find ("HTTP/1.1 400 "), 0u) << reply;
      close (fd);
    }
}

/* A request that is cut at any byte, or malformed, opens no tunnel and sends
   nothing to the upstream.  */
TEST_F (Tunnel, RequestThatIsNotWholeOpensNone)
{
  RawServer upstream;
  const std::string line = "CONNECT " + upstream.address + " HTTP/1.1\r\n";
  const std::string whole = line + "Host: x\r\n\r\n";
  const std::string port
      = upstream.address.substr (upstream.address.find (':') + 1);
  auto ask = [&] (const std::string &bytes) {
    sockaddr_in at = {};
    char buffer[256];
    std::string reply;
    int fd = socket (AF_INET, SOCK_STREAM, 0);

    at.sin_family = AF_INET;
    at.sin_port = htons (mq_tunnel_server_port (server));
    at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
    EXPECT_EQ (connect (fd, reinterpret_cast<sockaddr *> (&at), sizeof at), 0);
    EXPECT_EQ (send (fd, bytes.data (), bytes.size (), 0),
               (ssize_t)bytes.size ());
    shutdown (fd, SHUT_WR);
    EXPECT_TRUE (until ([&] {
      ssize_t n = recv (fd, buffer, sizeof buffer, MSG_DONTWAIT);

      if (n > 0)
        reply.append (buffer, (size_t)n);
      return n == 0 || (n < 0 && errno != EAGAIN);
    }));
    close (fd);
    return reply;
  };

  for (size_t n = 1; n < whole.size (); n++)
    EXPECT_EQ (ask (whole.substr (0, n)), "") << n;
  const std::vector<std::string> malformed
      = { "CONNECT " + upstream.address + "\r\n",
          "CONNECT " + upstream.address + " \r\n",
          "CONNECT " + upstream.address + " HTTP\r\n",
          "CONNECT " + upstream.address + " HTTP/1.\r\n",
          "CONNECT " + upstream.address + " HTTP/1.1x\r\n",
          "CONNECT " + upstream.address + " HTTP/1.1 \r\n",
          "CONNECT " + upstream.address + " x HTTP/1.1\r\n",
          "CONNECT  " + upstream.address + " HTTP/1.1\r\n",
          "CONNECT\t" + upstream.address + " HTTP/1.1\r\n",
          " CONNECT " + upstream.address + " HTTP/1.1\r\n",
          "connect " + upstream.address + " HTTP/1.1\r\n",
          "GET " + upstream.address + " HTTP/1.1\r\n",
          std::string ("CONNECT  HTTP/1.1\r\n"),
          std::string ("\r\n"),
          "CONNECT 127.0.0.1" + std::string (1, '\0') + ":" + port
              + " HTTP/1.1\r\n",
          "CONNECT 127.0.0.1:0" + std::string (1, '\0') + " HTTP/1.1\r\n",
          "CONNECT 127.0.0.1:+" + port + " HTTP/1.1\r\n",
          "CONNECT 127.0.0.1:" + port + "x HTTP/1.1\r\n",
          "CONNECT 127.0.0.1:4295" + port + " HTTP/1.1\r\n",
          "CONNECT localhost:" + port + " HTTP/1.1\r\n",
          "CONNECT [::1]:" + port + " HTTP/1.1\r\n",
          "CONNECT http://" + upstream.address + " HTTP/1.1\r\n",
          "CONNECT 127.0.0.1 HTTP/1.1\r\n",
          "CONNECT :" + port + " HTTP/1.1\r\n",
          line + "no header\r\n",
          line + ": x\r\n",
          line + "X : y\r\n",
          line + " folded: x\r\n",
          line + "X: a\rb\r\n",
          line + "X: a" + std::string (1, '\0') + "\r\n",
          line + "Content-Length: 5\r\n",
          line + "Content-Length: 0\r\n",
          line + "Transfer-Encoding: chunked\r\n" };
  for (const std::string &odd : malformed)
    {
      std::string reply = ask (odd + "\r\n" + "hidden");

      EXPECT_TRUE (reply.empty () || reply.find ("HTTP/1.1 400 ") == 0)
          << odd << reply;
      EXPECT_FALSE (upstream.accepted ()) << odd;
      if (upstream.fd >= 0)
        upstream.finish (true);
    }
  EXPECT_EQ (mq_tunnel_server_total (server), 0u);
  Result r;
  start_call (r, upstream.address);
  ASSERT_TRUE (until ([&] { return upstream.received ("\r\n\r\n"); }));
  upstream.write ("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  EXPECT_TRUE (until ([&] { return r.ended; }));
  EXPECT_EQ (r.event.status, 200u);
}
