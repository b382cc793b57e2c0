/* Requests of other routers for a tunnel that are cut at any byte or
   malformed: none opens a connection to an upstream.  */

#include "support/open_tunnel_server.h"
#include "support/scripted_server.h"

#include <mq/tunnel_server.h>

#include <gtest/gtest.h>
#include <netinet/in.h>

using gateway::ScriptedServer;

namespace
{

class CutTunnelRequest : public ::testing::Test
{
protected:
  CutTunnelRequest ()
  {
    upstream.serve = [] (const std::string &) { return std::nullopt; };
    server = gateway::start_open_tunnel_server (loop);
  }

  ~CutTunnelRequest () override
  {
    mq_tunnel_server_free (server);
    upstream.close ();
    ev_loop_destroy (loop);
  }

  /* Send TEXT on a connection of its own and no more.  Returns the reply up to
     the end of the connection, or to that of its head.  */
  std::string
  request (const std::string &text)
  {
    int fd = socket (AF_INET, SOCK_STREAM, 0);
    sockaddr_in at = {};
    std::string reply;
    ssize_t n = -1;

    at.sin_family = AF_INET;
    at.sin_port = htons (mq_tunnel_server_port (server));
    at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
    EXPECT_EQ (connect (fd, reinterpret_cast<sockaddr *> (&at), sizeof at), 0);
    send (fd, text.data (), text.size (), MSG_NOSIGNAL);
    shutdown (fd, SHUT_WR);
    for (ev_tstamp limit = ev_time () + 5; n != 0 && ev_time () < limit;)
      {
        char buffer[256];

        ev_run (loop, EVRUN_ONCE);
        n = recv (fd, buffer, sizeof buffer, MSG_DONTWAIT);
        if (n > 0)
          reply.append (buffer, (size_t)n);
        if ((n < 0 && errno != EAGAIN)
            || reply.find ("\r\n\r\n") != std::string::npos)
          break;
      }
    close (fd);
    return reply;
  }

  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  mq_tunnel_server *server;
  ScriptedServer upstream{ loop };
};

} // namespace

TEST_F (CutTunnelRequest, AtAnyByteOpensNoConnection)
{
  const std::string whole = "CONNECT " + upstream.address
                            + " HTTP/1.1\r\nHost: " + upstream.address
                            + "\r\n\r\n";

  for (size_t n = 0; n < whole.size (); n++)
    EXPECT_EQ (request (whole.substr (0, n)), "") << n;
  EXPECT_EQ (upstream.connections, 0u);
  EXPECT_EQ (request (whole).find ("HTTP/1.1 200 "), 0u);
  for (ev_tstamp limit = ev_time () + 5;
       upstream.connections == 0 && ev_time () < limit;)
    ev_run (loop, EVRUN_ONCE);
  EXPECT_EQ (upstream.connections, 1u);
}

TEST_F (CutTunnelRequest, ThatIsMalformedOpensNoConnection)
{
  const std::string to = upstream.address;

  for (const std::string &line : std::vector<std::string>{
           "CONNECT " + to, "CONNECT " + to + " ",
           "CONNECT " + to + " FTP/1.1", "CONNECT " + to + " HTTP/1.1x",
           "CONNECT " + to + " HTTP/1.1 HTTP/1.1",
           "CONNECT " + to + " " + to + " HTTP/1.1",
           "CONNECT  " + to + " HTTP/1.1", "CONNECT " + to + "0000 HTTP/1.1",
           "CONNECT " + to + "x HTTP/1.1",
           "CONNECT " + to + "," + to + " HTTP/1.1",
           "CONNECT\t" + to + " HTTP/1.1", "connect " + to + " HTTP/1.1",
           "GET http://" + to + "/ HTTP/1.1" })
    EXPECT_EQ (request (line + "\r\nHost: x\r\n\r\n").find ("HTTP/1.1 400 "),
               0u)
        << line;
  EXPECT_EQ (upstream.connections, 0u);
}
