/* Internal to packages/decide: safety margin for prediction errors.

   The margin is a high quantile of past errors, taken from a histogram with
   geometric buckets in which old samples decay.  The caller defines the error:
   a ratio or a time.  */

#ifndef MQ_INTERNAL_MARGIN_H
#define MQ_INTERNAL_MARGIN_H

#include <glib.h>

G_BEGIN_DECLS

#define MQ_MARGIN_BUCKETS 96

typedef struct mq_margin
{
  double min; /* Bucket I holds errors from MIN * STEP^I on.  */
  double step;
  double buckets[MQ_MARGIN_BUCKETS];
  double total;
} mq_margin;

/* Initialises MARGIN for errors from MIN on, in buckets that grow by the
   factor STEP.  A few samples of PRIOR are added in advance.  */
void mq_margin_init (mq_margin *margin, double min, double step, double prior);
/* Adds the prediction error MISS.  */
void mq_margin_learn (mq_margin *margin, double miss);
/* Returns the error to allow for, or MIN if nearly all errors lie below it. */
double mq_margin_get (const mq_margin *margin);

G_END_DECLS

#endif
