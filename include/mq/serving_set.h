/* Which routers of a failure domain clients are sent to.

   A fleet may have far more routers than its traffic needs.  If all served,
   each would see a few requests a second, gossip about load would grow with
   the square of the number of routers, and each upstream would get connections
   from all.  So the relays of a domain choose a set that is sufficient for the
   domain's present demand, with a reserve for a burst and for the loss of
   another domain.  The other routers hold the same configuration and
   upstreams, and serve any client that connects.

   The routers with the largest capacity come first.  A discovery reply names
   some of the set, sampled so that each router gets traffic in proportion to
   its capacity although clients choose evenly among the addresses of a reply.

   The module is pure; times come in with the calls, in microseconds.  */

#ifndef MQ_SERVING_SET_H
#define MQ_SERVING_SET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/* Routers in a set at least, if the domain has as many.  */
#define MQ_SERVING_MIN_ROUTERS 6

/* Returns how many of N routers are needed to serve a demand of USED.
   CAPACITIES are in the order in which routers are taken.  All are thousandths
   of a processor.  Those after the first PREFERRED are taken only for as much
   of the demand as these can't serve.  */
size_t mq_serving_count (const unsigned *capacities, size_t n,
                         size_t preferred, double used);

/* Choose which of N routers with CAPACITIES a reply of at most MAX addresses
   names.  RANDOM is uniform over 64 bits.  Sets CHOSEN[I] for each router, and
   returns how many were chosen.  */
size_t mq_serving_sample (const unsigned *capacities, size_t n, size_t max,
                          uint64_t random, bool *chosen);

/* The processor time that routers use, as a maximum that decays.  The set
   grows at once and shrinks slowly, since clients keep a reply for seconds. */
typedef struct mq_serving_demand
{
  double used;    /* Thousandths of a processor.  */
  uint64_t at_us; /* When that was noted; 0: never.  */
} mq_serving_demand;

/* Raise DEMAND to USED, or let it decay towards USED.  */
void mq_serving_demand_update (mq_serving_demand *demand, double used,
                               uint64_t now_us);

G_END_DECLS

#endif
