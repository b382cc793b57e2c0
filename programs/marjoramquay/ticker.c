/* Timers of decision modules: see ticker.h.  */

#include "ticker.h"

#include "router.h"

static void
on_timer (struct ev_loop *loop, ev_timer *timer, int revents)
{
  mq_ticker *ticker = timer->data;

  (void)loop;
  (void)revents;
  ticker->tick (ticker->context);
}

void
mq_ticker_init (mq_ticker *ticker, struct ev_loop *loop,
                void (*tick) (void *context), void *context)
{
  ticker->loop = loop;
  ticker->tick = tick;
  ticker->context = context;
  ev_timer_init (&ticker->timer, on_timer, 0., 0.);
  ticker->timer.data = ticker;
}

void
mq_ticker_finish (mq_ticker *ticker)
{
  ev_timer_stop (ticker->loop, &ticker->timer);
}

void
mq_ticker_arm (mq_ticker *ticker, uint64_t due_us)
{
  uint64_t now = mq_router_now_us ();

  ev_timer_stop (ticker->loop, &ticker->timer);
  if (due_us == UINT64_MAX)
    return;
  ev_now_update (ticker->loop);
  ev_timer_set (&ticker->timer,
                due_us <= now ? 0. : (double)(due_us - now) / 1e6, 0.);
  ev_timer_start (ticker->loop, &ticker->timer);
}
