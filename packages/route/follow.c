/* Which routers follow the store: see mq/follow.h.  */

#include <mq/follow.h>

/* A router stops following after enough others have followed for this long,
   which exceeds the time in which a crashed router is detected and in which a
   rolling restart shows.  */
#define STOP_DELAY_US ((uint64_t)3000 * 1000)
/* A relay starts after this, in which it receives gossip from the relays that
   rank before it, which may have started only just now.  */
#define RELAY_START_DELAY_US ((uint64_t)250 * 1000)
/* When no router is known to reach the store, one that is not a relay starts
   after a minimum plus a part of the spread that its name gives.  In a large
   fleet a router that the store serves is thus found well within the time in
   which a change of configuration must arrive, while an outage for all costs
   each router few requests.  */
#define MIN_START_DELAY_US ((uint64_t)1000 * 1000)
#define START_SPREAD_US ((uint64_t)10 * 1000 * 1000)
/* After a failed attempt, the next one waits this long.  */
#define RETRY_PAUSE_US ((uint64_t)15 * 1000 * 1000)
/* A router without a live relay waits this long, in which it looks for one. */
#define NO_RELAY_DELAY_US ((uint64_t)2000 * 1000)

static bool
view_should_follow (const mq_follow *follow, const mq_follow_view *view,
                    uint64_t now_us)
{
  if (view->relays)
    return view->relays_before < view->relays_wanted + view->relays_failing
           || view->lags;
  if (!view->has_live_relay)
    return true;
  if (follow->follows && view->fails)
    return false;
  return !view->store_reachable && now_us >= follow->paused_until_us;
}

/* Returns for how long FOLLOW must have needed a change before it is made.  */
static uint64_t
view_delay_us (const mq_follow *follow, const mq_follow_view *view)
{
  if (follow->follows)
    return view->fails && !view->relays ? 0 : STOP_DELAY_US;
  if (view->relays)
    return view->relays_before > 0 && view->relays_failing == 0
               ? RELAY_START_DELAY_US
               : 0;
  if (!view->has_live_relay)
    return NO_RELAY_DELAY_US;
  return MIN_START_DELAY_US + mq_span_hash (view->name) % START_SPREAD_US;
}

bool
mq_follow_tick (mq_follow *follow, const mq_follow_view *view, uint64_t now_us)
{
  bool should_follow = view_should_follow (follow, view, now_us);

  if (should_follow == follow->follows)
    {
      follow->since_us = 0;
      return false;
    }
  if (follow->since_us == 0)
    follow->since_us = now_us;
  if (now_us < follow->since_us + view_delay_us (follow, view))
    return false;
  if (follow->follows && view->fails)
    follow->paused_until_us = now_us + RETRY_PAUSE_US;
  follow->follows = should_follow;
  follow->since_us = 0;
  return true;
}
