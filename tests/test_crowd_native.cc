/* Crowds of clients that don't behave before a router in native mode, on a
   small machine.  What is checked doesn't depend on the speed of the machine.
 */

#include "support/deployment_crowd.h"

using crowd::CrowdClient;
using crowd::Sending;

namespace
{

std::string
head (const std::string &target, const std::string &framing)
{
  return "POST " + target + " HTTP/1.1\r\nHost: x\r\n"
         + (framing.empty () ? "" : framing + "\r\n") + "\r\n";
}

class CrowdNative : public deployment::CrowdFixture
{
protected:
  CrowdNative () { start ({}); }

  void
  join (unsigned n, Sending sending)
  {
    const Sending *kept = keep (std::move (sending));

    for (unsigned i = 0; i < n; i++)
      clients_.emplace_back (Socket::connected (port ()), kept);
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
  expect_bounded (unsigned n, Sending sending)
  {
    ASSERT_TRUE (deployment_->ready ());
    join (n, std::move (sending));
    send_all ();
    expect_sound ();
  }

private:
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
