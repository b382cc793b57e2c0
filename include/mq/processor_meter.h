/* Processor utilization of this process, as an exponentially weighted mean
   over about the last second.  Callers pass the current time in.  */

#ifndef MQ_PROCESSOR_METER_H
#define MQ_PROCESSOR_METER_H

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

typedef struct mq_processor_meter
{
  uint64_t at_us;     /* Time of the last update; 0: none.  */
  uint64_t used_us;   /* Processor time used by then.  */
  double utilization; /* 1.0 is one whole processor.  */
} mq_processor_meter;

/* Update METER, which starts as all zeros: the process has used USED_US of
   processor time, in total, by NOW_US.  An update in which the processor time
   or the clock goes back leaves the mean unchanged.  */
void mq_processor_meter_update (mq_processor_meter *meter, uint64_t used_us,
                                uint64_t now_us);

/* Returns the processor time that this process has used, in microseconds, or 0
   if it can't be read.  */
uint64_t mq_processor_used_us (void);

G_END_DECLS

#endif
