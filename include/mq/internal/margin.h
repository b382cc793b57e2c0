/* Internal to packages/decide: how far predictions miss.

   A histogram of misses, in which old ones fade.  The margin is the miss that
   all but a very few stayed below.  A miss is whatever its user counts: a
   factor, or a time.  */

#ifndef MQ_INTERNAL_MARGIN_H
#define MQ_INTERNAL_MARGIN_H

#include <glib.h>

G_BEGIN_DECLS

#define MQ_MARGIN_BUCKETS 96

typedef struct mq_margin
{
  double min; /* Bucket I holds misses from LEAST * STEP^I on.  */
  double step;
  double buckets[MQ_MARGIN_BUCKETS];
  double total;
} mq_margin;

/* A margin for misses from LEAST on, told apart by a factor of STEP, that
   starts as if a few misses of PRIOR had been seen.  */
void mq_margin_init (mq_margin *margin, double min, double step, double prior);
/* A prediction missed by MISS.  */
void mq_margin_learn (mq_margin *margin, double miss);
/* What to allow for; LEAST when all stayed below.  */
double mq_margin_get (const mq_margin *margin);

G_END_DECLS

#endif
