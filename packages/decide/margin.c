/* Safety margin for prediction errors: see mq/internal/margin.h.  */

#include <mq/internal/margin.h>

#include <math.h>
#include <string.h>

/* Share of the errors that lie below the margin.  */
#define QUANTILE 0.995
/* Weight of errors that may always lie above the margin.  One fault affects
   several streams at once and must not determine the margin while there are
   few samples.  */
#define MIN_OUTLIERS 3.0
/* Weight of the prior; more than MIN_OUTLIERS, so that it counts.  */
#define PRIOR_WEIGHT 4.0
/* Total weight at which all weights are halved.  */
#define HALVE_AT_TOTAL 1000.0

static int
margin_bucket (const mq_margin *margin, double miss)
{
  int i = miss <= margin->min
              ? 0
              : (int)floor (log (miss / margin->min) / log (margin->step));

  return CLAMP (i, 0, MQ_MARGIN_BUCKETS - 1);
}

static void
margin_add (mq_margin *margin, double miss, double weight)
{
  margin->buckets[margin_bucket (margin, miss)] += weight;
  margin->total += weight;
}

void
mq_margin_init (mq_margin *margin, double min, double step, double prior)
{
  memset (margin, 0, sizeof *margin);
  margin->min = min;
  margin->step = step;
  margin_add (margin, prior, PRIOR_WEIGHT);
}

void
mq_margin_learn (mq_margin *margin, double miss)
{
  margin_add (margin, miss, 1);
  if (margin->total < HALVE_AT_TOTAL)
    return;
  for (int i = 0; i < MQ_MARGIN_BUCKETS; i++)
    margin->buckets[i] /= 2;
  margin->total /= 2;
}

double
mq_margin_get (const mq_margin *margin)
{
  double allowed = MAX ((1 - QUANTILE) * margin->total, MIN_OUTLIERS);
  double above = 0;
  int i = MQ_MARGIN_BUCKETS;

  while (i > 0 && above + margin->buckets[i - 1] <= allowed)
    above += margin->buckets[--i];
  return margin->min * pow (margin->step, i);
}
