/* Which routers follow the platform's store themselves.

   A few relays do: the first by rank of those that reach the store.  They
   propagate each change to the other routers, so that the number of requests
   to the store grows with changes rather than with routers.  For each one that
   may have lost the store, two more follow at once: they may have lost it as
   well, and their number thus doubles until one reaches it.  Another router
   starts to follow when no router is known to reach the store.  Each such
   router waits a delay that its name gives, so that few requests are made when
   the store is unavailable to all.  A router without a live relay in its
   domain follows as well.

   The module is pure: it does no I/O, and times come in with the calls.  All
   times are in microseconds.  */

#ifndef MQ_FOLLOW_H
#define MQ_FOLLOW_H

#include <glib.h>
#include <mq/str.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

typedef struct mq_follow
{
  bool follows;      /* This router follows the store itself; otherwise it
                        receives updates from others.  */
  uint64_t since_us; /* Since when FOLLOWS should change; 0: it should not.  */
  uint64_t paused_until_us; /* Its last attempt failed, and it does not start
                               again earlier.  */
} mq_follow;

/* What a router knows of the others.  */
typedef struct mq_follow_view
{
  bool relays;             /* It is a relay.  */
  bool has_live_relay;     /* A relay of its domain is alive.  */
  bool store_reachable;    /* Another router is known to reach the store.  */
  bool fails;              /* It follows, and the store does not answer.  */
  bool lags;               /* Others have a newer version, and those that
                              follow did not send it.  The watch of these may be
                              stalled, or they are partitioned from it.  */
  unsigned relays_before;  /* Relays that rank before it and do not fail.  */
  unsigned relays_wanted;  /* How many relays should follow.  */
  unsigned relays_failing; /* Relays that follow, and may have lost the
                              store.  */
  mq_span name;            /* Its own; determines its delay.  */
} mq_follow_view;

/* Update FOLLOW by VIEW.  Returns true if FOLLOWS has changed.  */
bool mq_follow_tick (mq_follow *follow, const mq_follow_view *view,
                     uint64_t now_us);

G_END_DECLS

#endif
