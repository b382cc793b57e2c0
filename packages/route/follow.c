/* Which routers follow the store: see mq/follow.h.  */

#include <mq/follow.h>

/* Enough others must have followed for so long: longer than a router that has
   died goes unnoticed at most places, and than a round of restarts takes to
   show.  */
#define STOP_DELAY_US ((uint64_t)3000 * 1000)
/* A relay steps in after so long, in which news of those before it come: they
   may only just have begun.  */
#define RELAY_START_DELAY_US ((uint64_t)250 * 1000)
/* When nobody is known to hear the store, a router that is no relay steps in
   after so long and a part of the spread that its name gives: in a large fleet
   one that the store serves is found well within the bound on a change of
   configuration, and an outage for all costs each router few calls.  */
#define MIN_START_DELAY_US ((uint64_t)1000 * 1000)
#define START_SPREAD_US ((uint64_t)10 * 1000 * 1000)
#define RETRY_PAUSE_US ((uint64_t)15 * 1000 * 1000)
/* One that hears no relay waits so long, in which it looks for others.  */
#define NO_RELAY_DELAY_US ((uint64_t)2000 * 1000)

static bool
view_should_follow (const mq_follow *follow, const mq_follow_view *view,
                    uint64_t now_us)
{
  if (view->relays)
    return view->before < view->wanted || view->behind;
  if (!view->has_live_relay)
    return true;
  if (follow->follows && view->fails)
    return false;
  return !view->store_reachable && now_us >= follow->paused_until_us;
}

/* How long that must be so before it turns.  */
static uint64_t
view_delay_us (const mq_follow *follow, const mq_follow_view *view)
{
  if (follow->follows)
    return view->fails && !view->relays ? 0 : STOP_DELAY_US;
  if (view->relays)
    return view->before > 0 ? RELAY_START_DELAY_US : 0;
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
