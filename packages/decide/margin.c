/* How far predictions miss: see mq/internal/margin.h.  */

#include <mq/internal/margin.h>

#include <math.h>
#include <string.h>

/* Bucket I holds ratios from LEAST_RATIO * STEP^I on.  */
#define LEAST_RATIO 0.5
#define STEP 1.02
/* Of the ratios, so many stay below the margin.  */
#define QUANTILE 0.995
/* With fewer observations, as if so many had been seen at PRIOR.  */
#define PRIOR_WEIGHT 2.0
#define PRIOR 1.3
/* When so many were seen, all weigh half.  */
#define HALVE_AT 4000.0
#define LEAST_FACTOR 1.0

static int
ratio_bucket (double ratio)
{
  int i = (int)floor (log (ratio / LEAST_RATIO) / log (STEP));

  return CLAMP (i, 0, MQ_MARGIN_BUCKETS - 1);
}

static void
margin_add (mq_margin *margin, double ratio, double weight)
{
  margin->buckets[ratio_bucket (ratio)] += weight;
  margin->total += weight;
}

void
mq_margin_init (mq_margin *margin)
{
  memset (margin, 0, sizeof *margin);
  margin_add (margin, PRIOR, PRIOR_WEIGHT);
}

void
mq_margin_learn (mq_margin *margin, double ratio)
{
  if (!(ratio > 0))
    return;
  margin_add (margin, ratio, 1);
  if (margin->total < HALVE_AT)
    return;
  for (int i = 0; i < MQ_MARGIN_BUCKETS; i++)
    margin->buckets[i] /= 2;
  margin->total /= 2;
}

double
mq_margin_factor (const mq_margin *margin)
{
  double above = 0;
  int i = MQ_MARGIN_BUCKETS;

  while (i > 0
         && above + margin->buckets[i - 1] <= (1 - QUANTILE) * margin->total)
    above += margin->buckets[--i];
  return MAX (LEAST_RATIO * pow (STEP, i), LEAST_FACTOR);
}
