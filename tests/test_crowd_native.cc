/* Crowds of clients that don't behave before a router in native mode, on a
   small machine.  What is checked doesn't depend on the speed of the machine.
 */

#include "support/crowd_client.h"
#include "support/deployment.h"
#include "support/process_usage.h"

using crowd::CrowdClient;
using crowd::Sending;
using deployment::Deployment;
using deployment::Options;

namespace
{

constexpr size_t mib = 1024 * 1024;
constexpr unsigned memory_mb = 64;
constexpr size_t chunk = 65536;
constexpr size_t chunks = 62;

std::string
head (const std::string &target, const std::string &framing)
{
  return "POST " + target + " HTTP/1.1\r\nHost: x\r\n"
         + (framing.empty () ? "" : framing + "\r\n") + "\r\n";
}

class CrowdNative : public testing::Test
{
protected:
  CrowdNative ()
  {
    Options options;

    options.settings
        = ", 'limits': { 'memory_mb': " + std::to_string (memory_mb)
          + ", 'body_bytes': 4194304 }";
    deployment_ = std::make_unique<Deployment> (options);
    usage_ = std::make_unique<gateway::ProcessUsage> (
        deployment_->router ().pid (), std::vector<unsigned>{ port () });
  }

  uint16_t
  port ()
  {
    const std::string address = deployment_->router ().address ();

    return (uint16_t)std::stoul (address.substr (address.rfind (':') + 1));
  }

  void
  join (unsigned n, Sending sending)
  {
    sendings_.push_back (std::make_unique<Sending> (std::move (sending)));
    for (unsigned i = 0; i < n; i++)
      clients_.emplace_back (Socket::connected (port ()),
                             sendings_.back ().get ());
  }

  void
  send_all ()
  {
    EXPECT_TRUE (programs::eventually ([&] {
      bool all = true;

      for (CrowdClient &c : clients_)
        {
          c.write (mib);
          c.read ();
          all = all && c.is_done ();
        }
      usage_->sample ();
      return all;
    }));
    for (unsigned i = 0; i < 40; i++)
      {
        std::this_thread::sleep_for (std::chrono::milliseconds (10));
        usage_->sample ();
      }
  }

  void
  expect_sound ()
  {
    EXPECT_EQ (
        programs::fetch (deployment_->booking ("GET", "/units/7")).status,
        200);
    usage_->sample ();
    RecordProperty ("peak_mib", std::to_string (usage_->peak_bytes () / mib));
    EXPECT_GT (usage_->peak_bytes (), 0u);
    EXPECT_LT (usage_->peak_bytes (), memory_mb * mib);
  }

  void
  expect_bounded (unsigned n, Sending sending)
  {
    ASSERT_TRUE (deployment_->ready ());
    join (n, std::move (sending));
    send_all ();
    expect_sound ();
  }

  std::unique_ptr<Deployment> deployment_;

private:
  std::unique_ptr<gateway::ProcessUsage> usage_;
  std::vector<std::unique_ptr<Sending> > sendings_;
  std::vector<CrowdClient> clients_;
};

TEST_F (CrowdNative, SendsChunksWithoutLastOne)
{
  expect_bounded (60, crowd::chunked (head ("/v1/completions",
                                            "Transfer-Encoding: chunked"),
                                      chunk, chunks));
}

TEST_F (CrowdNative, SendsBodiesFarOverLimit)
{
  expect_bounded (20, crowd::plain (head ("/v1/services/booking/units/7",
                                          "Content-Length: 1073741824"),
                                    16 * mib));
}

TEST_F (CrowdNative, SendsWholeBodies)
{
  expect_bounded (40, crowd::plain (head ("/v1/services/booking/units/7",
                                          "Content-Length: 3145728"),
                                    3 * mib));
}

/* Prompts are held by the router as long as engines work on them.  */
TEST_F (CrowdNative, SendsWholePrompts)
{
  Sending s = crowd::plain (
      head ("/v1/completions",
            std::string ("Authorization: Bearer ") + deployment::token
                + "\r\nContent-Type: application/json\r\nContent-Length: "
                + std::to_string (3 * mib)),
      0);
  const std::string begin = deployment::quoted (
      "{'model':'reports','max_tokens':1000,'stream':true,'prompt':'");

  s.head += begin;
  s.unit = std::string (65536, 'x');
  s.units = (3 * mib - begin.size () - 2) / s.unit.size ();
  s.tail = std::string (3 * mib - begin.size () - 2 - s.unit.size () * s.units,
                        'x')
           + "\"}";
  expect_bounded (40, s);
}

TEST_F (CrowdNative, SendsBodiesToPathThatIsNone)
{
  expect_bounded (
      60, crowd::chunked (head ("/nowhere", "Transfer-Encoding: chunked"),
                          chunk, chunks));
}

TEST_F (CrowdNative, IsSilent) { expect_bounded (700, {}); }

/* What was closed for it is counted.  */
TEST_F (CrowdNative, ShowsInMetrics)
{
  expect_bounded (700, {});
  const std::string metrics
      = programs::get (deployment_->router ().url () + "/metrics").body;
  const std::string idle = "\nmarjoramquay_evictions_total{state=\"idle\"} ";
  const size_t at = metrics.find (idle);

  ASSERT_NE (at, std::string::npos) << metrics;
  EXPECT_GT (std::stoul (metrics.substr (at + idle.size ())), 0u);
  EXPECT_NE (metrics.find ("\nmarjoramquay_held_bytes "), std::string::npos);
}

} // namespace
