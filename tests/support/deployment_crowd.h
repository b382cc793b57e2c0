/* A test fixture: a router in native mode on a small machine, for crowds of
   clients that don't behave.  What is checked doesn't depend on the speed of
   the machine.  */

#ifndef MQ_TESTS_DEPLOYMENT_CROWD_H
#define MQ_TESTS_DEPLOYMENT_CROWD_H

#include "crowd_client.h"
#include "deployment.h"
#include "process_usage.h"

namespace deployment
{

using crowd::Sending;

class CrowdFixture : public testing::Test
{
protected:
  static constexpr size_t mib = 1024 * 1024;
  static constexpr unsigned memory_mb = 64;
  static constexpr size_t chunk = 65536;
  static constexpr size_t chunks = 62;

  /* Start a router with OPTIONS on a machine with MEMORY_MB.  */
  void
  start (Options options)
  {
    options.settings
        = ", 'limits': { 'memory_mb': " + std::to_string (memory_mb)
          + ", 'body_bytes': 4194304 }" + options.settings;
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

  /* Returns SENDING, which stays as long as the fixture.  */
  const Sending *
  keep (Sending sending)
  {
    sendings_.push_back (std::make_unique<Sending> (std::move (sending)));
    return sendings_.back ().get ();
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

  std::unique_ptr<Deployment> deployment_;
  std::unique_ptr<gateway::ProcessUsage> usage_;

private:
  std::vector<std::unique_ptr<Sending> > sendings_;
};

} // namespace deployment

#endif
