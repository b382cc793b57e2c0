/* Runs an event loop until a condition holds.  */

#ifndef MQ_TESTS_RUN_UNTIL_H
#define MQ_TESTS_RUN_UNTIL_H

#include <ev.h>

#include <functional>

/* Run LOOP until TEST holds, which is asked after each event, every TICK_S at
   least.  Returns false after LIMIT_S.  */
inline bool
run_until (struct ev_loop *loop, const std::function<bool ()> &test,
           double limit_s, double tick_s)
{
  ev_tstamp end = ev_time () + limit_s;
  ev_timer tick;
  bool met;

  ev_now_update (loop);
  ev_timer_init (
      &tick, [] (struct ev_loop *, ev_timer *, int) {}, tick_s, tick_s);
  ev_timer_start (loop, &tick);
  /* TEST may have effects: what it has found true once is not asked again.  */
  while (!(met = test ()) && ev_time () < end)
    ev_run (loop, EVRUN_ONCE);
  ev_timer_stop (loop, &tick);
  return met;
}

#endif
