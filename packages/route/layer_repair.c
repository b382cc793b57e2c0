/* Repair of gaps by spares, by the neighbours of a gap, or by a new layout:
   see mq/internal/layer_plan.h.

   Each attempt can be undone: one that does not fill all gaps leaves the
   engines as they were.  */

#include <mq/internal/layer_plan.h>

/* A repair by spares alone may have this share of the target level, as a third
   still serves a third of the load.  Below it, the neighbours of a gap take
   more layers.  */
#define MIN_LEVEL_SHARE (1 / 3.0)
/* A new layout must raise the level by this factor, as it moves most engines,
   which takes some seconds.  */
#define MIN_RELAYOUT_GAIN 2.0

GArray *
mq_plan_engines_copy (const GArray *engines)
{
  GArray *copy = g_array_sized_new (FALSE, FALSE, sizeof (mq_plan_engine),
                                    engines->len);

  return g_array_append_vals (copy, engines->data, engines->len);
}

/* The slowest spare that can hold N layers at the level TOKENS, so that a
   small gap does not take the best card.  Engines without layers are
   preferred.  NULL when there is none.  */
static mq_plan_engine *
domain_find_single_spare (const mq_plan_domain *domain, unsigned n,
                          double tokens)
{
  mq_plan_engine *best = NULL;

  for (guint i = domain->engines->len; i-- > 0;)
    {
      mq_plan_engine *e = mq_plan_domain_engine (domain, i);
      bool empty = mq_plan_range_size (e->range) == 0;

      if (!e->spare || mq_plan_engine_max_layers (domain, e, tokens) < n)
        continue;
      if (empty)
        return e;
      if (best == NULL)
        best = e;
    }
  return best;
}

/* The fastest spare that can hold any layer at the level TOKENS.  Engines
   without layers are preferred.  NULL when there is none.  */
static mq_plan_engine *
domain_find_fastest_spare (const mq_plan_domain *domain, double tokens)
{
  mq_plan_engine *best = NULL;

  for (guint i = 0; i < domain->engines->len; i++)
    {
      mq_plan_engine *e = mq_plan_domain_engine (domain, i);

      if (!e->spare || mq_plan_engine_max_layers (domain, e, tokens) == 0)
        continue;
      if (mq_plan_range_size (e->range) == 0)
        return e;
      if (best == NULL)
        best = e;
    }
  return best;
}

/* Assign GAP to spares at the level TOKENS.  Returns false when they do not
   suffice; some may have been moved then.  */
static bool
domain_fill_gap (mq_plan_domain *domain, mq_plan_range gap, double tokens)
{
  while (mq_plan_range_size (gap) > 0)
    {
      mq_plan_engine *e = domain_find_single_spare (
          domain, mq_plan_range_size (gap), tokens);
      unsigned n;

      if (e == NULL)
        e = domain_find_fastest_spare (domain, tokens);
      if (e == NULL)
        return false;
      n = MIN (mq_plan_engine_max_layers (domain, e, tokens),
               mq_plan_range_size (gap));
      mq_plan_engine_move (e, (mq_plan_range){ gap.first, gap.first + n });
      gap.first += n;
    }
  return true;
}

/* Extend the ranges of the neighbours of GAP as far as the level TOKENS
   allows.  Returns the rest of the gap.  */
static mq_plan_range
domain_extend_neighbours (mq_plan_domain *domain, mq_plan_range gap,
                          double tokens)
{
  for (guint i = 0; i < domain->engines->len && mq_plan_range_size (gap) > 0;
       i++)
    {
      mq_plan_engine *e = mq_plan_domain_engine (domain, i);
      unsigned held = mq_plan_range_size (e->range);
      unsigned max_layers = mq_plan_engine_max_layers (domain, e, tokens);
      unsigned more = max_layers > held
                          ? MIN (max_layers - held, mq_plan_range_size (gap))
                          : 0;

      if (held == 0 || more == 0 || e->spare || e->holder->fixed)
        continue;
      if (e->range.end == gap.first)
        {
          mq_plan_engine_move (
              e, (mq_plan_range){ e->range.first, e->range.end + more });
          gap.first += more;
        }
      else if (e->range.first == gap.end)
        {
          mq_plan_engine_move (
              e, (mq_plan_range){ e->range.first - more, e->range.end });
          gap.end -= more;
        }
    }
  return gap;
}

bool
mq_plan_domain_try_fill (mq_plan_domain *domain, const GArray *gaps,
                         double tokens, bool stretch)
{
  GArray *before = mq_plan_engines_copy (domain->engines);
  bool reached = true;

  for (guint i = 0; i < gaps->len && reached; i++)
    {
      mq_plan_range g = g_array_index (gaps, mq_plan_range, i);

      if (stretch)
        g = domain_extend_neighbours (domain, g, tokens);
      reached = domain_fill_gap (domain, g, tokens);
    }
  if (reached)
    {
      g_array_unref (before);
      return true;
    }
  g_array_unref (domain->engines);
  domain->engines = before;
  return false;
}

/* Fill all GAPS at the highest possible level of at least MIN_LEVEL.  Returns
   the level, or 0 when there is none.  */
static double
domain_fill_all (mq_plan_domain *domain, const GArray *gaps, double min_level,
                 bool stretch)
{
  double level = domain->target_tokens;

  while (level >= min_level)
    {
      if (mq_plan_domain_try_fill (domain, gaps, level, stretch))
        return level;
      level *= MQ_PLAN_LEVEL_FACTOR;
    }
  return 0;
}

static double
domain_min_level (const mq_plan_domain *domain)
{
  return domain->target_tokens * MIN_LEVEL_SHARE;
}

/* Fill those of GAPS that spares can fill, each by itself.  */
static void
domain_fill_each (mq_plan_domain *domain, const GArray *gaps)
{
  for (guint i = 0; i < gaps->len; i++)
    {
      GArray *one = g_array_new (FALSE, FALSE, sizeof (mq_plan_range));

      g_array_append_val (one, g_array_index (gaps, mq_plan_range, i));
      (void)domain_fill_all (domain, one, domain_min_level (domain), false);
      g_array_unref (one);
    }
}

/* Fill GAPS, without which there is no whole chain, by spares and neighbours,
   or by a new layout if its level is sufficiently higher.  A new layout moves
   all engines, so it is not considered in a domain of several chains.  */
static void
domain_rebuild (mq_plan_domain *domain, const GArray *gaps)
{
  GArray *before = mq_plan_engines_copy (domain->engines);
  double min_level = domain_min_level (domain);
  double stretched_level = domain_fill_all (
      domain, gaps, domain->chains > 1 ? min_level : MQ_PLAN_MIN_TOKENS, true);

  if (stretched_level < min_level && domain->chains == 1)
    {
      GArray *stretched_engines = domain->engines;
      double relayout_level;

      domain->engines = mq_plan_engines_copy (before);
      relayout_level = mq_plan_domain_relayout (domain, gaps);
      if (relayout_level > stretched_level * MIN_RELAYOUT_GAIN)
        g_array_unref (stretched_engines);
      else
        {
          g_array_unref (domain->engines);
          domain->engines = stretched_engines;
        }
    }
  g_array_unref (before);
}

void
mq_plan_domain_repair (mq_plan_domain *domain, const GArray *gaps)
{
  GArray *rest;

  if (domain_fill_all (domain, gaps, domain_min_level (domain), false) > 0)
    return;
  if (domain->settling || domain->chains > 1)
    domain_fill_each (domain, gaps);
  if (domain->settling)
    return;
  rest = mq_plan_domain_gaps (domain, 1);
  if (rest->len > 0)
    domain_rebuild (domain, rest);
  g_array_unref (rest);
}
