/* Virtual time: a queue of things to come, soonest first.

   Things due at the same microsecond come in the order in which they were
   put in, so that a run depends on its seed alone.  */

#ifndef BENCH_TIMELINE_H
#define BENCH_TIMELINE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

typedef struct timeline_item
{
  uint64_t due_us;
  uint64_t order;
  int kind;     /* The user's own.  */
  void *what;   /* The user's own.  */
  uint64_t arg; /* The user's own.  */
} timeline_item;

typedef struct timeline
{
  GArray *heap; /* of timeline_item  */
  uint64_t next_order;
} timeline;

void timeline_init (timeline *t);
void timeline_finish (timeline *t);
void timeline_add (timeline *t, uint64_t due_us, int kind, void *what,
                   uint64_t arg);
/* Take out the soonest into *ITEM; false when none is left.  */
bool timeline_next (timeline *t, timeline_item *item);

/* A seeded source of randomness.  */
typedef struct dice
{
  uint64_t state;
} dice;

double dice_unit (dice *d);                         /* In [0, 1).  */
double dice_range (dice *d, double low, double up); /* In [LOW, UP).  */
double dice_wait (dice *d, double mean);            /* Exponential.  */

G_END_DECLS

#endif
