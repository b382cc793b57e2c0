/* Upstreams that send bytes which are no response, without end, until the
   router closes the connection, in native mode and with real sockets: memory
   is bounded, the request is served elsewhere or ends truthfully, and other
   requests go on.  */

#include "support/deployment.h"
#include "support/raw_upstream.h"

using deployment::Answer;
using deployment::Deployment;
using deployment::Options;
using programs::fetch;
using programs::json_text;
using programs::Reply;
using raw_upstream::chunk;
using raw_upstream::Engine;
using raw_upstream::flood_until_closed;
using raw_upstream::send_all;
using raw_upstream::Stream;
using raw_upstream::Upstream;

namespace
{

/* An upstream sends this much and is silent afterwards.  A router that stores
   it fails the bound on memory below.  */
constexpr size_t offered_bytes = (size_t)256 * 1024 * 1024;
/* The limits of a body, a head and the buffers of sockets are far below.  */
constexpr size_t memory_kib = (size_t)32 * 1024;

const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n";
const std::string filler (16384, 'x');

std::string
repeated (const std::string &unit)
{
  std::string all;

  while (all.size () < 16384)
    all += unit;
  return all;
}

/* What is sent once, and what follows it without end.  */
struct Flood
{
  const char *name;
  std::string start;
  std::string unit;
  unsigned pause_ms = 0;
};

void
PrintTo (const Flood &flood, std::ostream *out)
{
  *out << flood.name;
}

std::string
flood_name (const testing::TestParamInfo<Flood> &info)
{
  return info.param.name;
}

/* Floods that a router can tell from a response by their size.  */
const Flood sized[] = {
  { "HeaderLines", head, repeated ("X-Filler: 0123456789\r\n") },
  { "HeaderLine", head + "X-Filler: ", filler },
  { "Interim", "", repeated ("HTTP/1.1 103 Early Hints\r\n\r\n") },
  { "StatusLine", "HTTP/1.1 200 ", filler },
  { "NoHttp", "", filler },
};

const Flood bodies[] = {
  { "Body", head + "\r\n", chunk (filler) },
  { "ErrorBody", "HTTP/1.1 500 Oops\r\nTransfer-Encoding: chunked\r\n\r\n",
    chunk (filler) },
  { "ErrorBodyWithoutLength", "HTTP/1.1 500 Oops\r\n\r\n", filler },
  { "BlankLines", head + "\r\n", chunk (repeated ("\n")) },
  { "Trailers", head + "\r\n0\r\n", repeated ("X-Filler: 0123456789\r\n") },
};

/* Floods that last: those that the HTTP library does not show, and those of a
   few bytes a second.  */
const Flood lasting[] = {
  { "ChunkExtension", head + "\r\n5;", filler },
  { "SlowHeader", head, "X-Filler: 0123456789\r\n", 50 },
  { "SlowBody", head + "\r\n", chunk ("x"), 50 },
  { "SlowErrorBody", "HTTP/1.1 500 Oops\r\nTransfer-Encoding: chunked\r\n\r\n",
    chunk ("x"), 50 },
};

/* Two engines of which the one that gets the first stream floods the router.
 */
class FloodingEngine
{
public:
  explicit FloodingEngine (Flood flood, unsigned stall_ms)
      : flood_ (std::move (flood))
  {
    options_.whole_engine = one_.url ();
    options_.other_engines = { two_.url () };
    options_.deadline_ms = 10000;
    options_.policy = "{ \"stall_ms\": " + std::to_string (stall_ms) + " }";
    testbed_.reset (new Deployment (options_));
  }

  void
  expect_served_elsewhere (unsigned limit_ms)
  {
    int64_t start = g_get_monotonic_time ();
    size_t before = testbed_->router ().peak_kib ();
    Reply r;

    ASSERT_TRUE (testbed_->ready ());
    std::thread other ([&] {
      for (int i = 0; i < 20; i++)
        EXPECT_EQ (fetch (testbed_->booking ("GET", "/units/7")).status, 200);
    });
    r = fetch (testbed_->completion ("a", 20, true));
    EXPECT_LT (g_get_monotonic_time () - start, (int64_t)limit_ms * 1000);
    other.join ();
    Answer a = deployment::read_events (r.body);
    EXPECT_EQ (a.text, raw_upstream::text (20));
    EXPECT_TRUE (a.done);
    EXPECT_EQ (a.error, "");
    EXPECT_LT (testbed_->router ().peak_kib (), before + memory_kib);
  }

private:
  void
  serve (const Stream &s)
  {
    if (first_++ == 0)
      {
        send_all (s.fd, flood_.start);
        flood_until_closed (
            s.fd, flood_.unit.empty () ? flood_of_lines (s) : flood_.unit,
            offered_bytes, flood_.pause_ms);
        return;
      }
    s.begin ();
    s.tokens (s.sent, 20);
    s.end ();
  }

  /* The name of a flood that depends on the stream tells its lines.  */
  std::string
  flood_of_lines (Stream s) const
  {
    if (std::string (flood_.name) == "OtherRequest")
      s.id = "another";
    return chunk (repeated (s.token (
        std::string (flood_.name) == "TokensBeyondTheLast" ? 1000 : 0)));
  }

  Flood flood_;
  std::atomic<unsigned> first_{ 0 };
  Engine one_{ [this] (const Stream &s) { serve (s); } };
  Engine two_{ [this] (const Stream &s) { serve (s); } };
  Options options_;
  std::unique_ptr<Deployment> testbed_;
};

class EndlessStream : public testing::TestWithParam<Flood>
{
};

class LastingStream : public testing::TestWithParam<Flood>
{
};

/* Lines for streams: of another request, and tokens that the caller has
   already or that are beyond the last.  */
const Flood lines[] = {
  { "OtherRequest", head + "\r\n", "" },
  { "DoubledToken", head + "\r\n", "" },
  { "TokensBeyondTheLast", head + "\r\n", "" },
};

} // namespace

/* The stall timeout is far longer than the test: only the size of what the
   engine sends tells that it is no response.  */
TEST_P (EndlessStream, IsServedElsewhere)
{
  FloodingEngine (GetParam (), 60000).expect_served_elsewhere (5000);
}

INSTANTIATE_TEST_SUITE_P (Heads, EndlessStream, testing::ValuesIn (sized),
                          flood_name);
INSTANTIATE_TEST_SUITE_P (Bodies, EndlessStream, testing::ValuesIn (bodies),
                          flood_name);
INSTANTIATE_TEST_SUITE_P (Lines, EndlessStream, testing::ValuesIn (lines),
                          flood_name);

TEST_P (LastingStream, IsServedElsewhere)
{
  FloodingEngine (GetParam (), 300).expect_served_elsewhere (5000);
}

INSTANTIATE_TEST_SUITE_P (All, LastingStream, testing::ValuesIn (lasting),
                          flood_name);

namespace
{

/* A plain service that floods the router.  */
class EndlessCall : public testing::TestWithParam<Flood>
{
protected:
  /* Books a unit with a deadline of DEADLINE_MS.  */
  void
  expect_unknown (const std::string &deadline_ms)
  {
    std::atomic<unsigned> runs{ 0 };
    Flood flood = GetParam ();
    Upstream service ([&] (int fd, const std::string &) {
      runs++;
      send_all (fd, flood.start);
      flood_until_closed (fd, flood.unit, offered_bytes, flood.pause_ms);
    });
    Options o;

    o.plain = service.url ();
    Deployment testbed (o);
    ASSERT_TRUE (testbed.ready ());
    size_t before = testbed.router ().peak_kib ();
    int64_t start = g_get_monotonic_time ();
    programs::Request q = testbed.booking ("POST", "/book", "unit 7");
    q.headers.push_back ("Marjoramquay-Deadline-Ms: " + deadline_ms);
    Reply r = fetch (q);
    EXPECT_LT (g_get_monotonic_time () - start, 5000000);
    EXPECT_TRUE (r.status == 502 || r.status == 504) << r.status;
    EXPECT_EQ (json_text (r.body, "error.outcome"), "unknown") << r.body;
    EXPECT_EQ (runs, 1u);
    EXPECT_LT (testbed.router ().peak_kib (), before + memory_kib);
  }
};

class LastingCall : public EndlessCall
{
};

} // namespace

TEST_P (EndlessCall, EndsEarlyAsUnknown) { expect_unknown ("30000"); }

INSTANTIATE_TEST_SUITE_P (Heads, EndlessCall, testing::ValuesIn (sized),
                          flood_name);
INSTANTIATE_TEST_SUITE_P (Bodies, EndlessCall, testing::ValuesIn (bodies),
                          flood_name);

TEST_P (LastingCall, EndsAtDeadlineAsUnknown) { expect_unknown ("1000"); }

INSTANTIATE_TEST_SUITE_P (All, LastingCall, testing::ValuesIn (lasting),
                          flood_name);

namespace
{

class EndlessReport : public testing::TestWithParam<Flood>
{
};

} // namespace

/* One engine floods the router in place of its reports; the other's are read
   and requests are served by it.  */
TEST_P (EndlessReport, OtherEngineServes)
{
  Flood flood = GetParam ();
  std::atomic<unsigned> floods{ 0 };
  Upstream flooding ([&] (int fd, const std::string &) {
    floods++;
    send_all (fd, flood.start);
    flood_until_closed (fd, flood.unit, offered_bytes, flood.pause_ms);
  });
  Engine engine ([] (const Stream &s) {
    s.begin ();
    s.tokens (s.sent, 20);
    s.end ();
  });
  Options o;

  o.whole_engine = flooding.url ();
  o.other_engines = { engine.url () };
  Deployment testbed (o);
  ASSERT_TRUE (testbed.ready ());
  size_t before = testbed.router ().peak_kib ();
  ASSERT_TRUE (programs::eventually ([&] { return floods >= 2; }));
  for (int i = 0; i < 5; i++)
    {
      Reply r = fetch (testbed.completion ("a", 20, true));

      EXPECT_EQ (deployment::read_events (r.body).text,
                 raw_upstream::text (20));
    }
  EXPECT_LT (testbed.router ().peak_kib (), before + memory_kib);
}

INSTANTIATE_TEST_SUITE_P (Bodies, EndlessReport,
                          testing::Values (bodies[0], lasting[0], lasting[1]),
                          flood_name);
