/* Does anything listen at an address (mq/reach.h)?  */

#include "support/gateway_standins.h"

#include <mq/reach.h>

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

namespace
{

struct Seen
{
  struct ev_loop *loop;
  int results = 0;
  mq_reach_result result = MQ_REACH_SILENT;
};

void
on_result (void *context, mq_reach_result result)
{
  Seen *s = static_cast<Seen *> (context);

  s->results++;
  s->result = result;
  ev_break (s->loop, EVBREAK_ONE);
}

class Reach : public ::testing::Test
{
protected:
  ~Reach () override { ev_loop_destroy (loop); }

  mq_reach_result
  reach (const std::string &address, uint64_t timeout_ms = 2000)
  {
    Seen s = { loop };

    EXPECT_NE (mq_reach_start (loop, gateway::span (address), timeout_ms,
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

/* A router that is held up past the timeout finds both the answer and the
   timeout due: the answer counts.  */
TEST_F (Reach, AnAnswerCountsThoughTheProcessWasHeldUp)
{
  gateway::Server server (loop, [] (mq_http_exchange *) {});
  Seen s = { loop };

  ASSERT_NE (mq_reach_start (loop, gateway::span (server.address ()), 10,
                             on_result, &s),
             nullptr);
  usleep (50 * 1000);
  ev_run (loop, 0);
  EXPECT_EQ (s.result, MQ_REACH_OPEN);
}

TEST_F (Reach, SomethingListensUntilItEnds)
{
  gateway::Server server (loop, [] (mq_http_exchange *) {});
  std::string address = server.address ();

  EXPECT_EQ (reach (address), MQ_REACH_OPEN);
  server.close ();
  EXPECT_EQ (reach (address), MQ_REACH_REFUSED);
}

/* A queue of new connections that is full answers nothing.  */
TEST_F (Reach, SilenceIsNoRefusal)
{
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  sockaddr_in a = {};
  socklen_t size = sizeof a;
  int held[4];

  a.sin_family = AF_INET;
  a.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  ASSERT_EQ (bind (fd, reinterpret_cast<sockaddr *> (&a), size), 0);
  ASSERT_EQ (listen (fd, 0), 0);
  getsockname (fd, reinterpret_cast<sockaddr *> (&a), &size);
  for (int &h : held)
    {
      h = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      (void)connect (h, reinterpret_cast<sockaddr *> (&a), size);
    }
  EXPECT_EQ (reach ("127.0.0.1:" + std::to_string (ntohs (a.sin_port)), 100),
             MQ_REACH_SILENT);
  for (int h : held)
    close (h);
  close (fd);
}

TEST_F (Reach, WhatIsNoAddressIsNotTried)
{
  for (const char *address :
       { "", "x", "127.0.0.1", "127.0.0.1:", ":80", "127.0.0.1:0",
         "127.0.0.1:70000", "1.2.3.4.5.6.7.8.9.10:80", "host:80" })
    EXPECT_EQ (
        mq_reach_start (loop, mq_span_from (address), 100, on_result, nullptr),
        nullptr)
        << address;
}

TEST_F (Reach, OneThatIsGivenUpSaysNothing)
{
  gateway::Server server (loop, [] (mq_http_exchange *) {});
  std::string address = server.address ();
  Seen s = { loop };

  mq_reach_cancel (
      mq_reach_start (loop, gateway::span (address), 100, on_result, &s));
  ev_run (loop, EVRUN_NOWAIT);
  EXPECT_EQ (s.results, 0);
}
