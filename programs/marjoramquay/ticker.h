/* A timer that is set to a decision's next tick, given in the monotonic time
   of the events.  Internal to this program.  */

#ifndef MQ_TICKER_H
#define MQ_TICKER_H

#include <ev.h>
#include <stdint.h>

typedef struct mq_ticker
{
  struct ev_loop *loop; /* Borrowed.  */
  ev_timer timer;
  void (*tick) (void *context);
  void *context;
} mq_ticker;

void mq_ticker_init (mq_ticker *ticker, struct ev_loop *loop,
                     void (*tick) (void *context), void *context);
void mq_ticker_finish (mq_ticker *ticker);

/* Tick at DUE_US, or as soon as may be when that is past; UINT64_MAX: not at
   all.  Replaces what was set before.  */
void mq_ticker_arm (mq_ticker *ticker, uint64_t due_us);

#endif
