/* The TCP connect probe (mq/tcp_probe.h).  */

#include "support/gateway_standins.h"

#include <mq/tcp_probe.h>

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

namespace
{

struct Result
{
  struct ev_loop *loop;
  int results = 0;
  mq_tcp_probe_result result = MQ_TCP_PROBE_NO_REPLY;
};

void
on_result (void *context, mq_tcp_probe_result result)
{
  Result *s = static_cast<Result *> (context);

  s->results++;
  s->result = result;
  ev_break (s->loop, EVBREAK_ONE);
}

class TcpProbe : public ::testing::Test
{
protected:
  ~TcpProbe () override { ev_loop_destroy (loop); }

  mq_tcp_probe_result
  probe (const std::string &address, uint64_t timeout_ms = 2000)
  {
    Result s = { loop };

    EXPECT_NE (mq_tcp_probe_start (loop, gateway::span (address), timeout_ms,
                                   on_result, &s),
               nullptr);
    EXPECT_EQ (s.results, 0);
    ev_run (loop, 0);
    EXPECT_EQ (s.results, 1);
    return s.result;
  }

  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
};

} // namespace

/* In a process that is stalled beyond the timeout, both the connection and the
   timeout are due; the connection must take precedence.  */
TEST_F (TcpProbe, ConnectResultOverridesAnExpiredTimeout)
{
  gateway::Server server (loop, [] (mq_http_exchange *) {});
  Result s = { loop };

  ASSERT_NE (mq_tcp_probe_start (loop, gateway::span (server.address ()), 10,
                                 on_result, &s),
             nullptr);
  usleep (50 * 1000);
  ev_run (loop, 0);
  EXPECT_EQ (s.result, MQ_TCP_PROBE_OPEN);
}

TEST_F (TcpProbe, ReportsOpenThenRefused)
{
  gateway::Server server (loop, [] (mq_http_exchange *) {});
  std::string address = server.address ();

  EXPECT_EQ (probe (address), MQ_TCP_PROBE_OPEN);
  server.close ();
  EXPECT_EQ (probe (address), MQ_TCP_PROBE_REFUSED);
}

/* A listener with a full backlog does not reply, which must not be reported as
   refused.  */
TEST_F (TcpProbe, ReportsNoReplyWhenBacklogIsFull)
{
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  sockaddr_in a = {};
  socklen_t size = sizeof a;
  int clients[4];

  a.sin_family = AF_INET;
  a.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  ASSERT_EQ (bind (fd, reinterpret_cast<sockaddr *> (&a), size), 0);
  ASSERT_EQ (listen (fd, 0), 0);
  getsockname (fd, reinterpret_cast<sockaddr *> (&a), &size);
  for (int &h : clients)
    {
      h = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      (void)connect (h, reinterpret_cast<sockaddr *> (&a), size);
    }
  EXPECT_EQ (probe ("127.0.0.1:" + std::to_string (ntohs (a.sin_port)), 100),
             MQ_TCP_PROBE_NO_REPLY);
  for (int h : clients)
    close (h);
  close (fd);
}

TEST_F (TcpProbe, RejectsInvalidAddresses)
{
  for (const char *address :
       { "", "x", "127.0.0.1", "127.0.0.1:", ":80", "127.0.0.1:0",
         "127.0.0.1:70000", "1.2.3.4.5.6.7.8.9.10:80", "host:80" })
    EXPECT_EQ (mq_tcp_probe_start (loop, mq_span_from (address), 100,
                                   on_result, nullptr),
               nullptr)
        << address;
}

TEST_F (TcpProbe, CancelledProbeReportsNothing)
{
  gateway::Server server (loop, [] (mq_http_exchange *) {});
  std::string address = server.address ();
  Result s = { loop };

  mq_tcp_probe_cancel (
      mq_tcp_probe_start (loop, gateway::span (address), 100, on_result, &s));
  ev_run (loop, EVRUN_NOWAIT);
  EXPECT_EQ (s.results, 0);
}
