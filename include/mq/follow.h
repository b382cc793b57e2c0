/* Which routers follow the store's list of upstreams themselves.

   In each failure domain the first few by name do, and tell the others of each
   change, so that calls to the store grow with domains and changes, not with
   routers.  A router that is not among them goes on following for a while
   after it has seen so, and begins at once when it may be needed.  Pure.  */

#ifndef MQ_FOLLOW_H
#define MQ_FOLLOW_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

typedef struct mq_follow
{
  bool told;          /* By peers; otherwise it follows itself.  */
  uint64_t enough_us; /* Since when enough others follow; 0: they don't. */
} mq_follow;

/* How many of the others that follow come BEFORE this router, of WANTED in its
   domain.  Returns true when FOLLOW has turned.  */
bool mq_follow_tick (mq_follow *follow, unsigned before, unsigned wanted,
                     uint64_t now_us);

/* Does a router that follows, with so many BEFORE it, tell the others?  Two
   do, so that what one does not tell, the other does.  */
bool mq_follow_tells (const mq_follow *follow, unsigned before);

G_END_DECLS

#endif
