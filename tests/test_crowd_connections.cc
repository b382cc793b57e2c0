/* Crowds that take what a router has for connections: silent ones, heads
   without an end, bytes behind a request that waits, and descriptors at all
   ports; and clients that don't read their responses.  */

#include "support/crowd.h"

#include <sys/resource.h>

using gateway::crowd_head;
using gateway::crowd_length;
using gateway::Sending;

namespace
{

constexpr size_t mib = 1024 * 1024;
constexpr size_t limit = 4 * mib;
constexpr int small_buffer = 4096;

class CrowdOfConnections : public gateway::CrowdFixture
{
protected:
  void
  serve (mq_http_exchange *x) override
  {
    const std::string path = gateway::text (mq_http_exchange_path (x));

    if (path == "/safe/large")
      gateway::Server::reply (x, 200, std::string (3 * mib, 'x'),
                              a->response_headers (x));
    else if (path.find ("/long/") == 0)
      {
        a->begin (x);
        for (unsigned i = 1; i <= 100; i++)
          mq_http_exchange_write (
              x, gateway::span ("id: " + std::to_string (i) + "\ndata: "
                                + std::string (16384, 'x') + "\n\n"));
        mq_http_exchange_end (x);
      }
    else
      CrowdFixture::serve (x);
  }
};

TEST_F (CrowdOfConnections, ThatAreSilent)
{
  start_small (64, limit);
  join (700, clients_port, {});
  send_all ();
  expect_sound ();
}

TEST_F (CrowdOfConnections, ThatSendOneByte)
{
  start_small (64, limit);
  join (700, clients_port, { "P", "", 0, "" });
  send_all ();
  expect_sound ();
}

TEST_F (CrowdOfConnections, WithHeadsWithoutEnd)
{
  Sending s;

  s.head = "GET /safe/x HTTP/1.1\r\nHost: x.example\r\nX-Filler: "
           + std::string (15000, 'x');
  start_small (64, limit);
  join (700, clients_port, s);
  send_all ();
  expect_sound ();
}

TEST_F (CrowdOfConnections, ThatUseAllDescriptors)
{
  start_small (256, limit, 400);
  for (unsigned port :
       { clients_port, directory_port, readiness_port, metrics_port })
    join (300, port, {});
  send_all ();
  expect_sound ();
}

/* The system gives the process fewer descriptors than its settings say.  */
TEST_F (CrowdOfConnections, ThatLeaveNoDescriptors)
{
  start_small (64, limit);
  usage->sample ();
  rlimit few = { usage->peak_files () + 60, usage->peak_files () + 60 };
  ASSERT_EQ (prlimit (process->pid (), RLIMIT_NOFILE, &few, nullptr), 0);
  join (200, clients_port, {});
  send_all ();
  expect_sound ();
}

TEST_F (CrowdOfConnections, ThatSendOnBehindRequest)
{
  Sending s = crowd_length ("/hold/x", 0, 0);

  s.unit = std::string (65536, 'x');
  s.units = 4;
  start_small (64, limit);
  join (480, clients_port, s);
  for (unsigned i = 0; i < 100; i++)
    {
      for (auto &c : clients)
        c.write (65536);
      usage->sample ();
      wait (0.01);
    }
  expect_sound ();
}

/* The system goes on to receive for a process that gets no processor time,
   whatever an earlier crowd has left of its memory.  */
TEST_F (CrowdOfConnections, ThatSendWhileProcessIsSuspended)
{
  start_small (64, limit);
  join (480, clients_port, crowd_length ("/safe/x", 65536, 60000));
  send_all ();
  clients.clear ();
  settle ();
  join (480, clients_port, crowd_length ("/safe/x", limit, 1024 * 1024));
  settle ();
  process->signal (SIGSTOP);
  for (unsigned i = 0; i < 50; i++)
    {
      for (auto &c : clients)
        c.write (65536);
      usage->sample ();
      wait (0.01);
    }
  process->signal (SIGCONT);
  send_all ();
  expect_sound ();
}

TEST_F (CrowdOfConnections, ThatDoNotReadResponses)
{
  start_small (64, limit);
  for (unsigned i = 0; i < 40; i++)
    {
      join (1, clients_port, crowd_length ("/safe/large", 0, 0), small_buffer);
      send_all (false);
    }
  expect_sound ();
}

TEST_F (CrowdOfConnections, ThatDoNotReadStreams)
{
  start_small (64, limit);
  join (200, clients_port, crowd_length ("/long/x", 0, 0), small_buffer);
  send_all (false);
  wait (1);
  expect_sound ();
}

} // namespace
