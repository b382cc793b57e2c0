/* A one-shot timer for the next tick of a decision module, set in the
   monotonic time of mq_router_now_us.

   Internal to this program.  */

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

/* Calls the tick function at DUE_US, or in the next loop iteration when that
   is past; never when DUE_US is UINT64_MAX.  Replaces the previous setting. */
void mq_ticker_arm (mq_ticker *ticker, uint64_t due_us);

#endif
