/* Which routers of a failure domain clients are sent to.

   A fleet may have far more routers than its traffic needs.  When all serve,
   each sees a few requests a second, news of what is in flight grow with the
   square of the fleet, and each upstream gets connections from all.  So a
   domain's relays choose a set for what its routers do just now, with room
   for a burst and for the loss of another domain; all others are ready, hold
   the configuration and the upstreams, and serve at once whoever comes.

   The largest routers come first.  An answer to a client names some of the
   set, drawn so that each router gets traffic by its capacity, though clients
   choose evenly among the addresses of an answer.  Pure.  */

#ifndef MQ_SERVING_SET_H
#define MQ_SERVING_SET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/* The fewest routers of a set, where a domain has so many.  */
#define MQ_SERVING_MIN_ROUTERS 6

/* How many of N routers, whose CAPACITIES stand in the order in which they
   are taken, serve what uses USED; all in thousandths of a processor.  */
size_t mq_serving_count (const unsigned *capacities, size_t n, double used);

/* Draw which of N routers with CAPACITIES an answer of at most MOST names, by
   DRAW, which is even over 64 bits: sets CHOSEN for each.  Returns how many.
 */
size_t mq_serving_sample (const unsigned *capacities, size_t n, size_t most,
                          uint64_t random, bool *chosen);

/* What routers use, kept for a while after it has fallen: the set grows at
   once and shrinks slowly, since clients keep their answers for seconds.  */
typedef struct mq_serving_demand
{
  double used;    /* Thousandths of a processor.  */
  uint64_t at_us; /* When that was noted; 0: never.  */
} mq_serving_demand;

void mq_serving_demand_update (mq_serving_demand *demand, double used,
                               uint64_t now_us);

G_END_DECLS

#endif
