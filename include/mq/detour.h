/* Detours: the other routers through which a router sends to upstreams that it
   does not reach over its own links.

   Of two candidates chosen at random the one with less in flight for its
   capacity is taken, so that routers that lost their links together do not all
   choose the same one.  A detour that failed is avoided for a while.

   The module is pure; times come in with the calls, in monotonic
   microseconds.  */

#ifndef MQ_DETOUR_H
#define MQ_DETOUR_H

#include <glib.h>
#include <mq/str.h>

G_BEGIN_DECLS

typedef struct mq_detour
{
  mq_str *address;         /* IP:PORT where the router opens tunnels.  */
  unsigned in_flight;      /* Requests of this router that go through it.  */
  uint64_t avoid_until_us; /* 0: it has not failed.  */
} mq_detour;

/* A router that may serve as a detour.  */
typedef struct mq_detour_candidate
{
  mq_span address;   /* As in mq_detour.  */
  unsigned capacity; /* Thousandths of a processor.  */
  bool near;         /* It is in the upstream's failure domain.  */
} mq_detour_candidate;

/* All detours that were ever chosen.  */
typedef struct mq_detour_table
{
  GHashTable *detours; /* Address -> mq_detour, owned; none is removed.  */
} mq_detour_table;

void mq_detour_table_init (mq_detour_table *table);
void mq_detour_table_finish (mq_detour_table *table);

/* Choose one of the N CANDIDATES.  RANDOM is uniform over 64 bits.  Returns
   the detour, borrowed until the table is finished, or NULL if N is 0.  */
mq_detour *mq_detour_choose (mq_detour_table *table,
                             const mq_detour_candidate *candidates, size_t n,
                             uint64_t random, uint64_t now_us);
/* DETOUR did not open a tunnel, or a tunnel through it broke.  */
void mq_detour_failed (mq_detour *detour, uint64_t now_us);

G_END_DECLS

#endif
