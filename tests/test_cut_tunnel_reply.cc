/* Replies of tunnel servers that are cut at any byte, contradict themselves or
   are malformed: none says that an upstream refused a connection or did not
   reply, and none opens a tunnel.  Responses that are cut on their way through
   a tunnel arrive as such.  */

#include "support/gateway_standins.h"
#include "support/open_tunnel_server.h"
#include "support/scripted_server.h"

#include <mq/tunnel_server.h>

#include <gtest/gtest.h>

using gateway::ScriptedServer;
using gateway::span;

namespace
{

struct Result
{
  bool ended = false;
  bool had_head = false;
  mq_http_client_event event = {};
};

void
on_event (void *context, const mq_http_client_event *event)
{
  Result *r = static_cast<Result *> (context);

  r->event = *event;
  r->had_head = r->had_head || event->kind == MQ_HTTP_CLIENT_HEADERS;
  r->ended = event->kind == MQ_HTTP_CLIENT_END;
}

class CutTunnelReply : public ::testing::Test
{
protected:
  CutTunnelReply ()
  {
    client = mq_http_client_new (loop, MQ_SPAN (""));
    peer.serve = [this] (const std::string &) { return answer; };
    upstream.serve = [this] (const std::string &) { return answer; };
    server = gateway::start_open_tunnel_server (loop);
  }

  ~CutTunnelReply () override
  {
    mq_http_client_free (client);
    mq_tunnel_server_free (server);
    peer.close ();
    upstream.close ();
    ev_loop_destroy (loop);
  }

  /* Make a call to UPSTREAM through TUNNEL.  */
  Result
  call (const std::string &tunnel, const std::string &made,
        bool no_resend = true)
  {
    std::string url = "http://" + upstream.address + "/x";
    mq_http_call_options o = {};
    Result r;

    answer = made;
    o.url = span (url);
    o.tunnel = span (tunnel);
    o.timeout_ms = 3000;
    o.no_resend = no_resend;
    mq_http_client_start (client, &o, on_event, &r);
    for (ev_tstamp limit = ev_time () + 5; !r.ended && ev_time () < limit;)
      ev_run (loop, EVRUN_ONCE);
    EXPECT_TRUE (r.ended);
    return r;
  }

  /* The reply MADE to CONNECT is none.  */
  void
  expect_no_reply (const std::string &made, const std::string &what)
  {
    Result r = call (peer.address, made);

    EXPECT_EQ (r.event.result, MQ_HTTP_CONNECT_FAILED) << what;
    EXPECT_EQ (r.event.tunnel_status, 0u) << what;
    EXPECT_EQ (r.event.status, 0u) << what;
    EXPECT_FALSE (r.event.maybe_sent) << what;
    EXPECT_FALSE (r.had_head) << what;
  }

  std::string
  own () const
  {
    return "127.0.0.1:" + std::to_string (mq_tunnel_server_port (server));
  }

  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  mq_http_client *client;
  mq_tunnel_server *server;
  /* Takes the place of another router's tunnel server.  */
  ScriptedServer peer{ loop };
  ScriptedServer upstream{ loop };
  std::string answer;
};

} // namespace

TEST_F (CutTunnelReply, WholeOneIsRead)
{
  for (unsigned status : { 403u, 502u, 503u, 504u })
    for (const char *more :
         { "Content-Length: 0\r\n\r\n", "Content-Length: 2\r\n\r\n{}",
           "Connection: close\r\n\r\n",
           "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" })
      {
        Result r = call (peer.address, "HTTP/1.1 " + std::to_string (status)
                                           + " No\r\n" + more);

        EXPECT_EQ (r.event.result, MQ_HTTP_CONNECT_FAILED) << more;
        EXPECT_EQ (r.event.tunnel_status, status) << more;
        EXPECT_EQ (r.event.status, 0u) << more;
        EXPECT_FALSE (r.event.maybe_sent) << more;
        EXPECT_FALSE (r.had_head) << more;
      }
  Result r = call (own (), ScriptedServer::response ("200 OK", "body"));
  EXPECT_EQ (r.event.result, MQ_HTTP_OK);
  EXPECT_EQ (r.event.status, 200u);
  EXPECT_EQ (r.event.tunnel_status, 200u);
}

/* A router held an upstream for unreachable because of a tunnel server that
   closed its connection in the middle of its reply.  */
TEST_F (CutTunnelReply, AtAnyByteOfHeadIsNone)
{
  for (const char *status :
       { "502 Bad Gateway", "504 Late", "403 No", "503 Later", "200 OK" })
    {
      const std::string whole
          = "HTTP/1.1 " + std::string (status)
            + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

      for (size_t n = 0; n < whole.size (); n++)
        expect_no_reply (whole.substr (0, n),
                         status + std::string (" ") + std::to_string (n));
    }
}

TEST_F (CutTunnelReply, ThatContradictsItselfIsNone)
{
  for (const char *made :
       { "HTTP/1.1 502 No\r\nContent-Length: 0\r\nContent-Length: 2\r\n\r\n{}",
         "HTTP/1.1 502 No\r\nContent-Length: 0x\r\n\r\n",
         "HTTP/1.1 502 No\r\nContent-Length: -1\r\n\r\n",
         "HTTP/1.1 502 No\r\nContent-Length : 0\r\n\r\n",
         "HTTP/1.1 502 No\r\nno header\r\n\r\n",
         "HTTP/1.1 502 No\r\nContent-Length: 2\r\n"
         "Transfer-Encoding: chunked\r\n\r\n{}",
         "HTTP/1.1 5020 No\r\n\r\n", "HTTP/1.1 50 No\r\n\r\n",
         "HTTP/1.1 502 No\r\nHTTP/1.1 200 OK\r\n\r\n",
         "HTTP/1.1 200 OK\r\nHTTP/1.1 502 No\r\n\r\n", "502\r\n\r\n",
         "HTTP/1.1 101 Other\r\n\r\n", "\r\n\r\n" })
    expect_no_reply (made, made);
}

/* What follows the head that opens a tunnel is the beginning of a response,
   which is judged as any other.  */
TEST_F (CutTunnelReply, WithBytesAfterHeadIsNoResponse)
{
  for (const char *more :
       { "x", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 502 No\r\n",
         "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{", "\r\n", "{}" })
    {
      Result r = call (peer.address,
                       "HTTP/1.1 200 OK\r\n\r\n" + std::string (more));

      EXPECT_NE (r.event.result, MQ_HTTP_OK) << more;
      EXPECT_NE (r.event.tunnel_status, 502u) << more;
    }
}

/* The responses that an engine cuts arrive through a tunnel as cut, with the
   end that the engine gave them.  */
TEST_F (CutTunnelReply, ResponseThatIsCutBehindItIsBroken)
{
  const std::string framed = ScriptedServer::response ("200 OK", "body");
  const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked"
                              "\r\n\r\n4\r\nbody\r\n0\r\n\r\n";

  for (bool resets : { false, true })
    {
      upstream.resets = resets;
      for (const std::string &whole : { framed, chunked })
        for (size_t n = 0; n < whole.size (); n++)
          {
            Result r = call (own (), whole.substr (0, n));

            EXPECT_EQ (r.event.result, MQ_HTTP_BROKEN) << resets << " " << n;
            EXPECT_TRUE (r.event.maybe_sent);
            EXPECT_EQ (r.event.tunnel_status, 200u);
          }
    }
}

/* Without a length nothing but the kind of the end tells.  */
TEST_F (CutTunnelReply, ResetBehindItIsNoEndOfResponse)
{
  for (bool resets : { false, true })
    {
      upstream.resets = resets;
      Result r = call (own (), "HTTP/1.1 200 OK\r\n\r\npart");
      EXPECT_EQ (r.event.result, resets ? MQ_HTTP_BROKEN : MQ_HTTP_OK);
    }
}

/* A kept tunnel breaks under a request, and libcurl opens another one to
   resend it: guards against taking the reply to that for the response.  */
TEST_F (CutTunnelReply, OfSecondTunnelIsNoResponse)
{
  for (bool no_resend : { false, true })
    {
      unsigned gets = 0;

      peer.serve = [&] (const std::string &request) {
        bool connects = request.find ("CONNECT ") == 0;

        gets += !connects;
        peer.stays_open = connects || gets == 1;
        return std::optional<std::string> (
            connects    ? "HTTP/1.1 200 OK\r\nX: y\r\n\r\n"
            : gets == 2 ? ""
                        : ScriptedServer::response ("203 Other", "body"));
      };
      Result r = call (peer.address, "", no_resend);
      EXPECT_EQ (r.event.status, 203u);
      r = call (peer.address, "", no_resend);
      EXPECT_EQ (gets, no_resend ? 2u : 3u);
      EXPECT_EQ (r.event.result, no_resend ? MQ_HTTP_BROKEN : MQ_HTTP_OK);
      EXPECT_EQ (r.event.status, no_resend ? 0u : 203u);
      EXPECT_EQ (r.had_head, !no_resend);
      EXPECT_TRUE (r.event.maybe_sent);
    }
}
