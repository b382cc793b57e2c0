/* Layouts of all layers over a failure domain: the first one, and a new one
   where spares do not suffice: see mq/internal/layer_plan.h.  */

#include <mq/internal/layer_plan.h>

/* The bisection for a level starts at a number of tokens that no engine has
   memory for and ends at less than the tokens of a request.  */
#define MAX_LEVEL_TOKENS 4e6
#define BISECTIONS 24

guint
mq_plan_domain_engines_needed (const mq_plan_domain *domain, double tokens)
{
  unsigned sum = 0;

  for (guint i = 0; i < domain->engines->len; i++)
    {
      sum += mq_plan_engine_max_layers (
          domain, mq_plan_domain_engine (domain, i), tokens);
      if (sum >= domain->model->layers)
        return i + 1;
    }
  return 0;
}

double
mq_plan_domain_token_level (const mq_plan_domain *domain, guint count)
{
  double low = 0;
  double high = MAX_LEVEL_TOKENS;

  for (int i = 0; i < BISECTIONS; i++)
    {
      double middle = (low + high) / 2;
      guint needed = mq_plan_domain_engines_needed (domain, middle);

      if (needed > 0 && needed <= count)
        low = middle;
      else
        high = middle;
    }
  return low;
}

/* Assign the layers of one chain to the fastest engines that suffice, so that
   their memory beside the layers is equal in tokens.  */
static void
domain_assign_chain (mq_plan_domain *domain)
{
  unsigned layers = domain->model->layers;
  double level = domain->target_tokens;
  guint count = 0;
  unsigned next = 0;

  while (level >= MQ_PLAN_MIN_TOKENS
         && (count = mq_plan_domain_engines_needed (domain, level)) == 0)
    level *= MQ_PLAN_LEVEL_FACTOR;
  if (count == 0)
    return;
  level = MAX (level, mq_plan_domain_token_level (domain, count));
  for (guint i = 0; i < count && next < layers; i++)
    {
      mq_plan_engine *e = mq_plan_domain_engine (domain, i);
      unsigned size
          = MIN (mq_plan_engine_max_layers (domain, e, level), layers - next);

      if (size > 0)
        mq_plan_engine_move (e, (mq_plan_range){ next, next + size });
      next += size;
    }
}

mq_plan_domain
mq_plan_domain_chain_subset (const mq_plan_domain *domain, unsigned n)
{
  mq_plan_domain subset = *domain;

  subset.engines = g_array_new (FALSE, FALSE, sizeof (mq_plan_engine));
  for (guint i = n; i < domain->engines->len; i += domain->chains)
    g_array_append_val (subset.engines, *mq_plan_domain_engine (domain, i));
  return subset;
}

/* Assign the layers of the Nth of DOMAIN's chains.  */
static void
domain_assign_nth (mq_plan_domain *domain, unsigned n)
{
  mq_plan_domain subset = mq_plan_domain_chain_subset (domain, n);

  domain_assign_chain (&subset);
  for (guint i = n, k = 0; i < domain->engines->len; i += domain->chains, k++)
    *mq_plan_domain_engine (domain, i) = *mq_plan_domain_engine (&subset, k);
  g_array_unref (subset.engines);
}

void
mq_plan_domain_assign_all (mq_plan_domain *domain)
{
  for (unsigned n = 0; n < domain->chains; n++)
    domain_assign_nth (domain, n);
}

/* The position of ENGINE in a new layout: the middle of its range, so that it
   keeps most of its layers; that of GAP for a spare.  */
static double
engine_position (const mq_plan_engine *engine, mq_plan_range gap)
{
  mq_plan_range r = mq_plan_range_size (engine->range) > 0 && !engine->spare
                        ? engine->range
                        : gap;

  return (r.first + r.end) / 2.0;
}

static int
engine_compare_position (gconstpointer a, gconstpointer b)
{
  double x = ((const mq_plan_engine *)a)->position;
  double y = ((const mq_plan_engine *)b)->position;

  return x < y ? -1 : x > y;
}

double
mq_plan_domain_relayout (mq_plan_domain *domain, const GArray *gaps)
{
  double level = domain->target_tokens;
  unsigned next = 0;

  for (guint i = 0; i < domain->engines->len; i++)
    {
      mq_plan_engine *e = mq_plan_domain_engine (domain, i);

      if (e->holder->fixed)
        return 0;
      e->position = engine_position (
          e, g_array_index (gaps, mq_plan_range, i % gaps->len));
    }
  while (level >= MQ_PLAN_MIN_TOKENS
         && mq_plan_domain_engines_needed (domain, level) == 0)
    level *= MQ_PLAN_LEVEL_FACTOR;
  if (level < MQ_PLAN_MIN_TOKENS)
    return 0;
  g_array_sort (domain->engines, engine_compare_position);
  for (guint i = 0; i < domain->engines->len; i++)
    {
      mq_plan_engine *e = mq_plan_domain_engine (domain, i);
      unsigned n = MIN (mq_plan_engine_max_layers (domain, e, level),
                        domain->model->layers - next);
      mq_plan_range r = { next, next + n };

      if (n > 0 && (r.first != e->range.first || r.end != e->range.end))
        mq_plan_engine_move (e, r);
      next += n;
    }
  return level;
}
