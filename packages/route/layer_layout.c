/* Layouts of all layers over a failure domain: the first deal, and a new one
   where spares do not reach: see mq/internal/layer_plan.h.  */

#include <mq/internal/layer_plan.h>

/* Tokens that no engine has memory for, and how often they are halved: to
   less than the tokens of a request.  */
#define MAX_SLACK_LEVEL 4e6
#define BISECTIONS 24

guint
mq_plan_domain_reach (const mq_plan_domain *domain, double tokens)
{
  unsigned sum = 0;

  for (guint i = 0; i < domain->engines->len; i++)
    {
      sum += mq_plan_engine_room (domain, mq_plan_domain_engine (domain, i),
                                  tokens);
      if (sum >= domain->model->layers)
        return i + 1;
    }
  return 0;
}

double
mq_plan_domain_level (const mq_plan_domain *domain, guint count)
{
  double low = 0;
  double high = MAX_SLACK_LEVEL;

  for (int i = 0; i < BISECTIONS; i++)
    {
      double middle = (low + high) / 2;
      guint reach = mq_plan_domain_reach (domain, middle);

      if (reach > 0 && reach <= count)
        low = middle;
      else
        high = middle;
    }
  return low;
}

/* Deal one chain to the fastest engines that reach, the memory beside the
   layers even in tokens.  */
static void
domain_deal_chain (mq_plan_domain *domain)
{
  unsigned n = domain->model->layers;
  double level = domain->wanted;
  guint count = 0;
  unsigned at = 0;

  while (level >= MQ_PLAN_MIN_TOKENS
         && (count = mq_plan_domain_reach (domain, level)) == 0)
    level *= MQ_PLAN_TOKENS_STEP;
  if (count == 0)
    return;
  level = MAX (level, mq_plan_domain_level (domain, count));
  for (guint i = 0; i < count && at < n; i++)
    {
      mq_plan_engine *e = mq_plan_domain_engine (domain, i);
      unsigned more = MIN (mq_plan_engine_room (domain, e, level), n - at);

      if (more > 0)
        mq_plan_engine_move (e, (mq_plan_range){ at, at + more });
      at += more;
    }
}

mq_plan_domain
mq_plan_domain_part (const mq_plan_domain *domain, unsigned n)
{
  mq_plan_domain part = *domain;

  part.engines = g_array_new (FALSE, FALSE, sizeof (mq_plan_engine));
  for (guint i = n; i < domain->engines->len; i += domain->chains)
    g_array_append_val (part.engines, *mq_plan_domain_engine (domain, i));
  return part;
}

/* Deal the Nth of DOMAIN's chains.  */
static void
domain_deal_nth (mq_plan_domain *domain, unsigned n)
{
  mq_plan_domain part = mq_plan_domain_part (domain, n);

  domain_deal_chain (&part);
  for (guint i = n, k = 0; i < domain->engines->len; i += domain->chains, k++)
    *mq_plan_domain_engine (domain, i) = *mq_plan_domain_engine (&part, k);
  g_array_unref (part.engines);
}

void
mq_plan_domain_deal (mq_plan_domain *domain)
{
  for (unsigned n = 0; n < domain->chains; n++)
    domain_deal_nth (domain, n);
}

/* Where an engine should stand among the others: at the middle of what it
   holds, so that it keeps most of it; a spare at the first gap.  */
static double
engine_place (const mq_plan_engine *engine, mq_plan_range gap)
{
  mq_plan_range r = mq_plan_range_size (engine->range) > 0 && !engine->spare
                        ? engine->range
                        : gap;

  return (r.first + r.end) / 2.0;
}

static int
engine_compare_place (gconstpointer a, gconstpointer b)
{
  double x = ((const mq_plan_engine *)a)->place;
  double y = ((const mq_plan_engine *)b)->place;

  return x < y ? -1 : x > y;
}

/* Lay all layers out anew over all engines, each near to where it was.
   Returns the level, or 0 when memory does not reach or an order is under
   way.  */
double
mq_plan_domain_lay_out (mq_plan_domain *domain, const GArray *gaps)
{
  double level = domain->wanted;
  unsigned at = 0;

  for (guint i = 0; i < domain->engines->len; i++)
    {
      mq_plan_engine *e = mq_plan_domain_engine (domain, i);

      if (e->holder->fixed)
        return 0;
      e->place = engine_place (
          e, g_array_index (gaps, mq_plan_range, i % gaps->len));
    }
  while (level >= MQ_PLAN_MIN_TOKENS
         && mq_plan_domain_reach (domain, level) == 0)
    level *= MQ_PLAN_TOKENS_STEP;
  if (level < MQ_PLAN_MIN_TOKENS)
    return 0;
  g_array_sort (domain->engines, engine_compare_place);
  for (guint i = 0; i < domain->engines->len; i++)
    {
      mq_plan_engine *e = mq_plan_domain_engine (domain, i);
      unsigned n = MIN (mq_plan_engine_room (domain, e, level),
                        domain->model->layers - at);
      mq_plan_range r = { at, at + n };

      if (n > 0 && (r.first != e->range.first || r.end != e->range.end))
        mq_plan_engine_move (e, r);
      at += n;
    }
  return level;
}
