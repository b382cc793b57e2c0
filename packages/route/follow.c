/* Which routers follow the store: see mq/follow.h.  */

#include <mq/follow.h>

/* Enough others must have followed for so long: longer than a router that has
   died goes unnoticed at most places, and than a round of restarts takes to
   show.  */
#define ENOUGH_US ((uint64_t)3000 * 1000)
/* A relay steps in after so long, in which news of those before it come: they
   may only just have begun.  */
#define RELAY_US ((uint64_t)250 * 1000)
/* When nobody is known to hear the store, a router that is no relay steps in
   after so long and a part of the spread that its name gives: in a large fleet
   one that the store serves is found well within the bound on a change of
   configuration, and an outage for all costs each router few calls.  */
#define STEP_IN_US ((uint64_t)1000 * 1000)
#define STEP_IN_SPREAD_US ((uint64_t)10 * 1000 * 1000)
#define TRIED_PAUSE_US ((uint64_t)15 * 1000 * 1000)
/* One that hears no relay waits so long, in which it looks for others.  */
#define ALONE_US ((uint64_t)2000 * 1000)

static bool
view_needs (const mq_follow *follow, const mq_follow_view *view,
            uint64_t now_us)
{
  if (view->relays)
    return view->before < view->wanted || view->behind;
  if (!view->hears_relay)
    return true;
  if (follow->follows && view->fails)
    return false;
  return !view->store_heard && now_us >= follow->pause_us;
}

/* How long that must be so before it turns.  */
static uint64_t
view_patience (const mq_follow *follow, const mq_follow_view *view)
{
  if (follow->follows)
    return view->fails && !view->relays ? 0 : ENOUGH_US;
  if (view->relays)
    return view->before > 0 ? RELAY_US : 0;
  if (!view->hears_relay)
    return ALONE_US;
  return STEP_IN_US + mq_span_hash (view->name) % STEP_IN_SPREAD_US;
}

bool
mq_follow_tick (mq_follow *follow, const mq_follow_view *view, uint64_t now_us)
{
  bool needed = view_needs (follow, view, now_us);

  if (needed == follow->follows)
    {
      follow->since_us = 0;
      return false;
    }
  if (follow->since_us == 0)
    follow->since_us = now_us;
  if (now_us < follow->since_us + view_patience (follow, view))
    return false;
  if (follow->follows && view->fails)
    follow->pause_us = now_us + TRIED_PAUSE_US;
  follow->follows = needed;
  follow->since_us = 0;
  return true;
}
