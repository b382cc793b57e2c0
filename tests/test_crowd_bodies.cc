/* Crowds whose bodies a router could collect until it has no memory: bodies
   that stop short of their end, bodies over the limit, and whole ones, at each
   port that clients reach.  */

#include "support/crowd.h"

using gateway::crowd_chunks;
using gateway::crowd_head;
using gateway::crowd_length;
using gateway::Sending;

namespace
{

constexpr size_t mib = 1024 * 1024;
constexpr size_t limit = 4 * mib;
/* Just under the limit, in chunks of 64 KiB.  */
constexpr size_t chunk = 65536;
constexpr size_t chunks = 62;

class CrowdOfBodies : public gateway::CrowdFixture
{
protected:
  void
  expect_bounded (unsigned n, const Sending &sending, size_t body = limit,
                  unsigned port = 0)
  {
    start_small (64, body);
    join (n, port ? port : clients_port, sending);
    send_all ();
    expect_sound ();
  }
};

TEST_F (CrowdOfBodies, InChunksWithoutLastOne)
{
  expect_bounded (60, crowd_chunks ("/safe/x", chunk, chunks));
}

TEST_F (CrowdOfBodies, InChunksUnderSmallLimit)
{
  expect_bounded (60, crowd_chunks ("/safe/x", chunk, chunks), 4096);
}

TEST_F (CrowdOfBodies, InChunksOfOneByte)
{
  Sending s = crowd_chunks ("/safe/x", 1, 10000);
  const std::string one = s.unit;

  for (unsigned i = 1; i < 1000; i++)
    s.unit += one;
  s.units = 3000;
  expect_bounded (20, s);
}

TEST_F (CrowdOfBodies, WithLengthWithoutLastByte)
{
  expect_bounded (30, crowd_length ("/safe/x", limit, limit - 1));
}

TEST_F (CrowdOfBodies, WithLengthFarOverLimit)
{
  expect_bounded (20, crowd_length ("/safe/x", 1024 * mib, 16 * mib));
}

TEST_F (CrowdOfBodies, InChunksFarOverLimit)
{
  expect_bounded (20, crowd_chunks ("/safe/x", chunk, 256));
}

TEST_F (CrowdOfBodies, ToPathWithoutRoute)
{
  expect_bounded (60, crowd_chunks ("/nowhere/x", chunk, chunks));
}

TEST_F (CrowdOfBodies, WithoutKey)
{
  Sending s = crowd_chunks ("/safe/x", chunk, chunks);
  const std::string old = "Marjoramquay-Credential: key-1\r\n";

  s.head.erase (s.head.find (old), old.size ());
  expect_bounded (60, s);
}

TEST_F (CrowdOfBodies, WholeToSlowUpstream)
{
  start_small (64, limit);
  join (40, clients_port, crowd_length ("/hold/x", 3 * mib, 3 * mib));
  send_all ();
  expect_sound ();
}

TEST_F (CrowdOfBodies, WholeOneAfterTheOtherToSlowUpstream)
{
  start_small (64, limit);
  for (unsigned i = 0; i < 40; i++)
    {
      join (1, clients_port, crowd_length ("/hold/x", 3 * mib, 3 * mib));
      send_all ();
    }
  expect_sound ();
}

/* As many requests as there can be connections, each of which is sent on.  */
TEST_F (CrowdOfBodies, SmallWholeToSlowUpstream)
{
  constexpr size_t small = 60000;

  start_small (64, limit);
  join (480, clients_port, crowd_length ("/hold/x", small, small));
  send_all ();
  expect_sound ();
}

TEST_F (CrowdOfBodies, EmptyToSlowUpstream)
{
  start_small (64, limit);
  join (480, clients_port, crowd_length ("/hold/x", 0, 0));
  send_all ();
  expect_sound ();
}

TEST_F (CrowdOfBodies, EmptyWithLargeHeadsToSlowUpstream)
{
  Sending s = crowd_length ("/hold/x", 0, 0);

  s.head.insert (s.head.find ("Content-Length"),
                 "X-Filler: " + std::string (15500, 'x') + "\r\n");
  start_small (64, limit);
  join (480, clients_port, s);
  send_all ();
  expect_sound ();
}

TEST_F (CrowdOfBodies, BeforeConfiguration)
{
  start_unconfigured (64);
  ASSERT_TRUE (until ([&] {
    return fetch ("GET", "/ready", {}, "", readiness_port).status == 503;
  }));
  join (40, clients_port, crowd_length ("/safe/x", 3 * mib, 3 * mib));
  join (40, clients_port, crowd_chunks ("/safe/x", chunk, chunks));
  send_all ();
  write_configuration (limit);
  ASSERT_TRUE (ready ());
  expect_sound ();
}

/* A drain ends although a crowd doesn't finish its requests.  */
TEST_F (CrowdOfBodies, WhileRouterDrains)
{
  start_small (64, limit);
  join (30, clients_port, crowd_chunks ("/safe/x", chunk, 8));
  send_all ();
  process->signal (SIGTERM);
  join (30, clients_port, crowd_chunks ("/safe/x", chunk, chunks));
  send_all ();
  EXPECT_TRUE (until ([&] {
    usage->sample ();
    return process->has_ended ();
  }));
  EXPECT_LT (usage->peak_bytes (), memory_mb * mib);
}

TEST_F (CrowdOfBodies, InAllFormsAtOnce)
{
  start_small (64, limit);
  join (15, clients_port, crowd_chunks ("/safe/x", chunk, chunks));
  join (15, clients_port, crowd_length ("/safe/x", limit, limit - 1));
  join (10, clients_port, crowd_length ("/hold/x", 3 * mib, 3 * mib));
  join (10, clients_port, crowd_length ("/safe/x", 1024 * mib, 16 * mib));
  join (20, directory_port, crowd_chunks ("/resolve", chunk, chunks));
  join (10, clients_port, { crowd_head ("/safe/x", ""), "x", 2, "" });
  send_all ();
  expect_sound ();
}

/* The ports that take no bodies.  */
class CrowdAtPort : public CrowdOfBodies,
                    public testing::WithParamInterface<const char *>
{
protected:
  unsigned
  port () const
  {
    const std::string name = GetParam ();

    return name == "Directory" ? directory_port
           : name == "Check"   ? readiness_port
                               : metrics_port;
  }
};

TEST_P (CrowdAtPort, SendsBodies)
{
  start_small (64, limit);
  join (40, port (), crowd_chunks ("/resolve", chunk, chunks));
  send_all ();
  expect_sound ();
}

INSTANTIATE_TEST_SUITE_P (All, CrowdAtPort,
                          testing::Values ("Directory", "Check", "Metrics"),
                          [] (auto &info) {
                            return std::string (info.param);
                          });

} // namespace
