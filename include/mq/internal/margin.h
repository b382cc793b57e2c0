/* Internal to packages/decide: how far predictions miss.

   A histogram of (what it took / what was predicted), in which old misses
   fade.  The margin is the factor that all but a very few stayed below.  */

#ifndef MQ_INTERNAL_MARGIN_H
#define MQ_INTERNAL_MARGIN_H

#include <glib.h>

G_BEGIN_DECLS

#define MQ_MARGIN_BUCKETS 96

typedef struct mq_margin
{
  double buckets[MQ_MARGIN_BUCKETS];
  double total;
} mq_margin;

void mq_margin_init (mq_margin *margin);
/* A prediction turned out RATIO times too short.  */
void mq_margin_learn (mq_margin *margin, double ratio);
/* The factor to put on a prediction that is to be kept.  */
double mq_margin_factor (const mq_margin *margin);

G_END_DECLS

#endif
