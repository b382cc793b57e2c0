#include "crowd.h"

#include <cstdio>

namespace soak
{

static const char *const names[] = { "silent",
                                     "head-without-end",
                                     "chunks-without-last",
                                     "length-without-last-byte",
                                     "length-over-limit",
                                     "chunks-over-limit",
                                     "chunks-of-one-byte",
                                     "chunk-line-without-end",
                                     "bytes-behind-request" };
static constexpr unsigned n_forms = sizeof names / sizeof *names;
static_assert (n_forms == (unsigned)CrowdPlan::Form::Count);

/* The limit of bodies in the configurations of the soak.  */
static constexpr size_t limit = 65536;
static constexpr size_t mib = 1024 * 1024;
static constexpr unsigned clients_max = 600;
static constexpr unsigned connects_per_tick = 32;
static constexpr size_t bytes_per_tick = 64 * 1024;

std::vector<CrowdPlan>
draw_crowds (uint64_t seed, double end_s, unsigned routers)
{
  Random random (digest ("crowds", seed));
  std::vector<CrowdPlan> plans;

  for (double at = 1 + random.between (0, 2); at < end_s;
       at += random.between (0.5, 5))
    {
      CrowdPlan p = {};

      p.at = at;
      p.seconds = random.between (0.5, 4);
      p.form = (CrowdPlan::Form)random.below (n_forms);
      p.router = (unsigned)random.below (routers);
      p.clients = 20 + (unsigned)random.below (clients_max - 20);
      p.port = random.chance (0.7) ? 0 : 1 + (unsigned)random.below (2);
      plans.push_back (p);
    }
  return plans;
}

std::string
crowd_text (const CrowdPlan &p)
{
  char s[128];

  snprintf (s, sizeof s, "%8.3f crowd %s of %u at port %u of %u for %.2f s",
            p.at, names[(int)p.form], p.clients, p.port, p.router, p.seconds);
  return s;
}

static std::string
head (const std::string &framing)
{
  return "POST /nowhere/x HTTP/1.1\r\nHost: x.example\r\n" + framing + "\r\n";
}

static crowd::Sending
sending_of (CrowdPlan::Form form)
{
  const std::string chunked = head ("Transfer-Encoding: chunked\r\n");
  auto length = [] (size_t n) {
    return head ("Content-Length: " + std::to_string (n) + "\r\n");
  };

  switch (form)
    {
    case CrowdPlan::Form::Silent:
    case CrowdPlan::Form::Count:
      break;
    case CrowdPlan::Form::HeadWithoutEnd:
      return { "GET /x HTTP/1.1\r\nX-Filler: " + std::string (15000, 'x'), "",
               0, "" };
    case CrowdPlan::Form::ChunksWithoutLast:
      return crowd::chunked (chunked, 4096, limit / 4096);
    case CrowdPlan::Form::LengthWithoutLastByte:
      return crowd::plain (length (limit), limit - 1);
    case CrowdPlan::Form::LengthOverLimit:
      return crowd::plain (length (1024 * mib), 4 * mib);
    case CrowdPlan::Form::ChunksOverLimit:
      return crowd::chunked (chunked, limit, 64);
    case CrowdPlan::Form::ChunksOfOneByte:
      return crowd::chunked (chunked, 1, 60000);
    case CrowdPlan::Form::ChunkLineWithoutEnd:
      return { chunked + "1;", std::string (4096, 'x'), 64, "" };
    case CrowdPlan::Form::BytesBehindRequest:
      return { length (0), std::string (4096, 'x'), 64, "" };
    }
  return {};
}

Crowd::Crowd (const CrowdPlan &plan, unsigned port)
    : sending_ (sending_of (plan.form)), port_ (port), missing_ (plan.clients)
{
}

void
Crowd::connect_one ()
{
  Socket s = Socket::connecting ((uint16_t)port_);

  missing_--;
  if (s.fd >= 0)
    clients_.emplace_back (std::move (s), &sending_);
}

void
Crowd::tick ()
{
  for (unsigned i = 0; i < connects_per_tick && missing_ > 0; i++)
    connect_one ();
  for (crowd::CrowdClient &c : clients_)
    {
      c.write (bytes_per_tick);
      c.read ();
      c.received.clear ();
    }
}

} // namespace soak
