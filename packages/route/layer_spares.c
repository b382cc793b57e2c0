/* The use of spares while there is no gap: see mq/internal/layer_plan.h.

   Spares take over from stages that bound the whole chain, or relieve them,
   and hold second copies, so that a whole path is left when any one engine
   fails.  */

#include <mq/internal/layer_plan.h>

#include <string.h>

/* Level of second copies as a share of the target.  They carry the load only
   until the repair.  */
#define COPY_SHARE 0.5
/* An engine whose token capacity is below this share of the target bounds its
   chain enough for a spare to take over its layers.  */
#define TAKE_OVER_BELOW 0.8
/* An engine whose token capacity is below this share releases layers.  */
#define RELIEVE_BELOW 0.6

/* Relieve the first engine that holds too many layers: it releases the excess
   if enough other engines hold it; otherwise spares load it first.  Copies are
   left alone, as they are meant to have less memory: if one released layers,
   no whole path would be left when the engine that it backs up fails.  */
static void
domain_relieve (mq_plan_domain *domain)
{
  for (guint i = 0; i < domain->engines->len; i++)
    {
      mq_plan_engine *e = mq_plan_domain_engine (domain, i);
      unsigned max_layers
          = mq_plan_engine_max_layers (domain, e, domain->target_tokens);
      unsigned *cover;
      mq_plan_range excess;

      if (e->moved || e->spare || e->copy || e->holder->fixed
          || mq_plan_range_size (e->range) <= max_layers
          || mq_plan_engine_token_capacity (domain, e)
                 >= domain->target_tokens * RELIEVE_BELOW)
        continue;
      cover = mq_plan_domain_confirmed_cover (domain);
      excess = (mq_plan_range){ e->range.first + max_layers, e->range.end };
      if (mq_plan_cover_is_at_least (cover, excess, domain->chains + 1))
        mq_plan_engine_move (e,
                             (mq_plan_range){ e->range.first, excess.first });
      else
        {
          GArray *gaps = g_array_new (FALSE, FALSE, sizeof (mq_plan_range));

          g_array_append_val (gaps, excess);
          (void)mq_plan_domain_try_fill (
              domain, gaps, domain->target_tokens * COPY_SHARE, false);
          g_array_unref (gaps);
        }
      g_free (cover);
      return;
    }
}

/* Have spares hold second copies, each time of the largest range of an engine
   that has none and that they have memory for.  */
static void
domain_add_copies (mq_plan_domain *domain)
{
  bool found = true;

  while (found)
    {
      unsigned *cover = mq_plan_domain_cover (domain);
      mq_plan_range best = { 0, 0 };

      found = false;
      for (guint i = 0; i < domain->engines->len; i++)
        {
          mq_plan_range r = mq_plan_domain_engine (domain, i)->range;

          if (mq_plan_range_size (r) > mq_plan_range_size (best)
              && !mq_plan_cover_is_at_least (cover, r, domain->chains + 1))
            {
              GArray *gaps
                  = g_array_new (FALSE, FALSE, sizeof (mq_plan_range));
              GArray *before = mq_plan_engines_copy (domain->engines);

              g_array_append_val (gaps, r);
              if (mq_plan_domain_try_fill (
                      domain, gaps, domain->target_tokens * COPY_SHARE, false))
                best = r;
              g_array_unref (domain->engines);
              domain->engines = before;
              g_array_unref (gaps);
            }
        }
      if (mq_plan_range_size (best) > 0)
        {
          GArray *gaps = g_array_new (FALSE, FALSE, sizeof (mq_plan_range));

          g_array_append_val (gaps, best);
          found = mq_plan_domain_try_fill (
              domain, gaps, domain->target_tokens * COPY_SHARE, false);
          g_array_unref (gaps);
        }
      g_free (cover);
    }
}

/* Returns true if ENGINE is needed for a chain and has so little memory that
   it bounds it.  */
static bool
engine_is_tight (const mq_plan_domain *domain, const mq_plan_engine *engine)
{
  return !engine->spare && mq_plan_range_size (engine->range) > 0
         && mq_plan_engine_token_capacity (domain, engine)
                < domain->target_tokens * TAKE_OVER_BELOW;
}

/* The value of one more copy of the layers of ENGINE; 0 when there is one.  It
   is also 0 while ENGINE still loads them, since the plan has only just chosen
   it for them.  */
static unsigned
engine_copy_value (const mq_plan_domain *domain, const unsigned *cover,
                   const mq_plan_engine *engine)
{
  unsigned size = mq_plan_range_size (engine->range);

  if (size == 0 || engine->moved || engine->holder->awaited
      || mq_plan_cover_is_at_least (cover, engine->range, domain->chains + 1))
    return 0;
  return size + (engine_is_tight (domain, engine) ? domain->model->layers : 0);
}

/* Set VALUES[END], for each layer END, to the sum of the values of the engines
   whose ranges begin at FIRST or later and end at END.  */
static void
domain_sum_values (const mq_plan_domain *domain, const unsigned *cover,
                   unsigned first, unsigned *values)
{
  memset (values, 0, (domain->model->layers + 1) * sizeof *values);
  for (guint i = 0; i < domain->engines->len; i++)
    {
      const mq_plan_engine *e = mq_plan_domain_engine (domain, i);

      if (e->range.first >= first && e->range.end <= domain->model->layers)
        values[e->range.end] += engine_copy_value (domain, cover, e);
    }
}

/* The best range for ENGINE, which is empty: of those that it has memory for,
   the one with the highest sum of the values of the engines whose ranges lie
   within it.  Empty unless that sum exceeds the number of layers, as it does
   with a tight engine.  Visits all engines once for each layer.  */
static mq_plan_range
domain_find_best_range (const mq_plan_domain *domain,
                        const mq_plan_engine *engine)
{
  unsigned max_layers
      = mq_plan_engine_max_layers (domain, engine, domain->target_tokens);
  unsigned layers = domain->model->layers;
  unsigned *cover = mq_plan_domain_cover (domain);
  unsigned *values = g_new (unsigned, layers + 1);
  mq_plan_range best = { 0, 0 };
  unsigned best_value = layers;

  for (unsigned first = 0; first < layers; first++)
    {
      unsigned value = 0;

      domain_sum_values (domain, cover, first, values);
      for (unsigned end = first + 1; end <= MIN (layers, first + max_layers);
           end++)
        {
          value += values[end];
          if (value < best_value
              || (value == best_value
                  && end - first >= mq_plan_range_size (best)))
            continue;
          best_value = value;
          best = (mq_plan_range){ first, end };
        }
    }
  g_free (values);
  g_free (cover);
  return best;
}

/* Have spares, the fastest first, hold all layers of engines that bound the
   chain, and of others next to them where memory allows.  The engines that are
   taken over from release nothing, as that would take until the requests that
   pass through them ended.  */
static void
domain_take_over (mq_plan_domain *domain)
{
  for (guint i = 0; i < domain->engines->len; i++)
    {
      mq_plan_engine *e = mq_plan_domain_engine (domain, i);
      mq_plan_range range;

      if (!e->spare)
        continue;
      range = domain_find_best_range (domain, e);
      if (mq_plan_range_size (range) > 0)
        mq_plan_engine_move (e, range);
    }
}

/* Mark the spares that hold layers as copies.  They are no spares any more, as
   a copy is not moved to become another copy.  */
static void
domain_mark_copies (mq_plan_domain *domain)
{
  for (guint i = 0; i < domain->engines->len; i++)
    {
      mq_plan_engine *e = mq_plan_domain_engine (domain, i);

      e->copy = e->spare && mq_plan_range_size (e->range) > 0;
      e->spare = e->spare && !e->copy;
    }
}

void
mq_plan_domain_use_spares (mq_plan_domain *domain)
{
  domain_mark_copies (domain);
  domain_take_over (domain);
  domain_relieve (domain);
  domain_add_copies (domain);
}
