/* The meter of processor utilization.  */

#include <mq/processor_meter.h>

#include <gtest/gtest.h>

TEST (ProcessorMeter, ConvergesToUtilization)
{
  mq_processor_meter m = {};

  for (uint64_t i = 0; i <= 40; i++)
    mq_processor_meter_update (&m, i * 25000, 1 + i * 125000);
  EXPECT_NEAR (m.utilization, 0.2, 0.01);
  for (uint64_t i = 41; i <= 49; i++)
    mq_processor_meter_update (&m, 40 * 25000, 1 + i * 125000);
  EXPECT_LT (m.utilization, 0.08);
}

TEST (ProcessorMeter, IgnoresProcessorTimeThatGoesBack)
{
  mq_processor_meter m = {};

  mq_processor_meter_update (&m, 500, 1000);
  mq_processor_meter_update (&m, 400, 2000);
  EXPECT_EQ (m.utilization, 0);
}

TEST (ProcessorMeter, ProcessorTimeGrowsWithWork)
{
  uint64_t before = mq_processor_used_us ();
  volatile double x = 1;

  for (int i = 0; i < 3000000; i++)
    x = x * 1.0000001;
  EXPECT_GT (mq_processor_used_us (), before);
}
