/* What spares do while no layer is missing: see mq/internal/layer_plan.h.

   They take over from stages that bound the whole chain, or relieve them, and
   hold second copies, so that the loss of any one engine finds a whole path.
 */

#include <mq/internal/layer_plan.h>

#include <string.h>

/* A second copy needs to carry the load only until the repair: it has memory
   for this part of what is wanted.  */
#define COPY_SHARE 0.5
/* A holder with less than this part of the wanted tokens bounds its chain
   enough for a spare to take its place.  */
#define TAKE_OVER_BELOW 0.8
/* A holder with less than this gives up layers.  */
#define RELIEVE_BELOW 0.6

/* Give what overloaded engines hold too much of to spares, one engine a
   time.  A copy is meant to be tighter: one that gave layers up left the loss
   of the engine that it stands for without a whole path (requests refused 18
   to 16 in 1,000).  */
static void
domain_relieve (mq_plan_domain *domain)
{
  for (guint i = 0; i < domain->engines->len; i++)
    {
      mq_plan_engine *e = mq_plan_domain_engine (domain, i);
      unsigned room
          = mq_plan_engine_max_layers (domain, e, domain->target_tokens);
      unsigned *cover;
      mq_plan_range over;

      if (e->moved || e->spare || e->copy || e->holder->fixed
          || mq_plan_range_size (e->range) <= room
          || mq_plan_engine_token_capacity (domain, e)
                 >= domain->target_tokens * RELIEVE_BELOW)
        continue;
      cover = mq_plan_domain_confirmed_cover (domain);
      over = (mq_plan_range){ e->range.first + room, e->range.end };
      if (mq_plan_cover_is_at_least (cover, over, domain->chains + 1))
        mq_plan_engine_move (e, (mq_plan_range){ e->range.first, over.first });
      else
        {
          GArray *gaps = g_array_new (FALSE, FALSE, sizeof (mq_plan_range));

          g_array_append_val (gaps, over);
          (void)mq_plan_domain_try_fill (
              domain, gaps, domain->target_tokens * COPY_SHARE, false);
          g_array_unref (gaps);
        }
      g_free (cover);
      return;
    }
}

/* Let empty engines hold a second copy of the largest range that stands only
   once, as long as they reach.  */
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

/* Is ENGINE alone in what it holds, and so tight that it bounds the chain?  */
static bool
engine_is_tight (const mq_plan_domain *domain, const mq_plan_engine *engine)
{
  return !engine->spare && mq_plan_range_size (engine->range) > 0
         && mq_plan_engine_token_capacity (domain, engine)
                < domain->target_tokens * TAKE_OVER_BELOW;
}

/* What is gained when the layers of ENGINE stand once more; 0 when they do
   already.  One that loads them just now has only been chosen for them.  */
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

/* VALUES, by the layer at which an engine's range ends: the sums over those
   that begin at FIRST or after.  */
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

/* The run of whole ranges that ENGINE, which is empty, would best hold; empty
   when there is none that relieves a tight engine.  Looks at all engines once
   for each layer.  */
static mq_plan_range
domain_best_run (const mq_plan_domain *domain, const mq_plan_engine *engine)
{
  unsigned room
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
      for (unsigned end = first + 1; end <= MIN (layers, first + room); end++)
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

/* Let empty engines, the fastest first, hold all layers of those that bound
   the chain, and of others beside them where they have the memory.  These need
   give nothing up, which would take as long as what passes through them.  */
static void
domain_take_over (mq_plan_domain *domain)
{
  for (guint i = 0; i < domain->engines->len; i++)
    {
      mq_plan_engine *e = mq_plan_domain_engine (domain, i);
      mq_plan_range run;

      if (!e->spare)
        continue;
      run = domain_best_run (domain, e);
      if (mq_plan_range_size (run) > 0)
        mq_plan_engine_move (e, run);
    }
}

/* Only what holds nothing may take a copy: a copy is not moved for a copy.
   The others are the copies.  */
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
