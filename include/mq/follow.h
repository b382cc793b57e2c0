/* Which routers follow the platform's store themselves.

   A few relays do, the first by rank of those that hear it, and tell the
   others of each change, so that calls to the store grow with changes, not
   with routers.  Others step in when no router is known that hears the store,
   each a little later than the last, so that few ask in vain when it is away
   for all; and so does one that hears no relay.  Pure.  */

#ifndef MQ_FOLLOW_H
#define MQ_FOLLOW_H

#include <glib.h>
#include <mq/str.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

typedef struct mq_follow
{
  bool follows;      /* Itself; otherwise peers tell it.  */
  uint64_t since_us; /* Since when it should do the other; 0: it should not. */
  uint64_t
      paused_until_us; /* It tried in vain, and does not step in before.  */
} mq_follow;

/* How a router stands among the others.  */
typedef struct mq_follow_view
{
  bool relays;          /* It is a relay.  */
  bool has_live_relay;  /* It hears one of its domain.  */
  bool store_reachable; /* Some other router is known to hear the store.  */
  bool fails;           /* It follows, and the store does not answer.  */
  bool behind;     /* Others know more, and whoever follows does not tell: its
                      watch hangs, or it is cut off unnoticed.  */
  unsigned before; /* Relays that rank before and do not ask in vain.  */
  unsigned wanted; /* So many should.  */
  mq_span name;    /* Its own, by which routers step in in turn.  */
} mq_follow_view;

/* Returns true when FOLLOW has turned.  */
bool mq_follow_tick (mq_follow *follow, const mq_follow_view *view,
                     uint64_t now_us);

G_END_DECLS

#endif
