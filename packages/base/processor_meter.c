/* Processor utilization: see mq/processor_meter.h.  */

#include <mq/processor_meter.h>

#include <math.h>
#include <time.h>

/* Time constant of the exponential mean.  */
#define TIME_CONSTANT_US 1e6

void
mq_processor_meter_update (mq_processor_meter *meter, uint64_t used_us,
                           uint64_t now_us)
{
  double span = (double)(now_us - meter->at_us);

  if (meter->at_us > 0 && now_us > meter->at_us && used_us >= meter->used_us)
    meter->utilization
        += ((double)(used_us - meter->used_us) / span - meter->utilization)
           * (1 - exp (-span / TIME_CONSTANT_US));
  meter->at_us = now_us;
  meter->used_us = used_us;
}

uint64_t
mq_processor_used_us (void)
{
  struct timespec t = { 0, 0 };

  if (clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &t) != 0)
    return 0;
  return (uint64_t)t.tv_sec * 1000000 + (uint64_t)t.tv_nsec / 1000;
}
