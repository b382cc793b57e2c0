/* How much of a processor this process uses, as a mean over about the last
   second.  The clock's reading comes in with the calls.  */

#ifndef MQ_PROCESSOR_METER_H
#define MQ_PROCESSOR_METER_H

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

typedef struct mq_processor_meter
{
  uint64_t at_us;     /* Of the last reading; 0: none.  */
  uint64_t used_us;   /* What the process had used by then.  */
  double utilization; /* Of one processor.  */
} mq_processor_meter;

/* The process has used USED_US of processor time by NOW_US.  */
void mq_processor_meter_update (mq_processor_meter *meter, uint64_t used_us,
                                uint64_t now_us);

/* Processor time of this process, in microseconds.  */
uint64_t mq_processor_used_us (void);

G_END_DECLS

#endif
