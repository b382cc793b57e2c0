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
   no whole path would be left when the engine that it backs up fails, and 18
   requests in 1,000 instead of 16 were rejected.  */
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

/* The number of layers that all spares together can hold as copies.  */
static unsigned
domain_copy_room (const mq_plan_domain *domain)
{
  unsigned sum = 0;

  for (guint i = 0; i < domain->engines->len; i++)
    {
      const mq_plan_engine *e = mq_plan_domain_engine (domain, i);

      if (e->spare)
        sum += mq_plan_engine_max_layers (domain, e,
                                          domain->target_tokens * COPY_SHARE);
    }
  return sum;
}

/* The largest range of an engine that has no second copy and at most ROOM
   layers.  Empty if there is none.  */
static mq_plan_range
domain_find_uncopied_range (const mq_plan_domain *domain, unsigned room)
{
  unsigned *cover = mq_plan_domain_cover (domain);
  mq_plan_range best = { 0, 0 };

  for (guint i = 0; i < domain->engines->len; i++)
    {
      mq_plan_range r = mq_plan_domain_engine (domain, i)->range;

      if (mq_plan_range_size (r) > mq_plan_range_size (best)
          && mq_plan_range_size (r) <= room
          && !mq_plan_cover_is_at_least (cover, r, domain->chains + 1))
        best = r;
    }
  g_free (cover);
  return best;
}

/* Have spares hold second copies, each time of the largest range of an engine
   that has none and that they have memory for.  */
static void
domain_add_copies (mq_plan_domain *domain)
{
  bool found = true;

  while (found)
    {
      GArray *gaps = g_array_new (FALSE, FALSE, sizeof (mq_plan_range));
      mq_plan_range best
          = domain_find_uncopied_range (domain, domain_copy_room (domain));

      g_array_append_val (gaps, best);
      found = mq_plan_range_size (best) > 0
              && mq_plan_domain_try_fill (
                  domain, gaps, domain->target_tokens * COPY_SHARE, false);
      g_array_unref (gaps);
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

/* For all ranges of layers at once, the sum of the values of the engines whose
   ranges lie within.  */
typedef struct range_values
{
  unsigned layers;
  unsigned *sums; /* Of [first, end): at first * (layers + 1) + end, owned.  */
} range_values;

static unsigned *
values_at (const range_values *values, unsigned first, unsigned end)
{
  return &values->sums[(size_t)first * (values->layers + 1) + end];
}

/* Set VALUES for DOMAIN.  Visits each engine once.  */
static void
values_init (range_values *values, const mq_plan_domain *domain)
{
  unsigned layers = domain->model->layers;
  unsigned *cover = mq_plan_domain_cover (domain);

  values->layers = layers;
  values->sums = g_new0 (unsigned, (size_t)(layers + 1) * (layers + 1));
  for (guint i = 0; i < domain->engines->len; i++)
    {
      const mq_plan_engine *e = mq_plan_domain_engine (domain, i);

      if (e->range.first < e->range.end && e->range.end <= layers)
        *values_at (values, e->range.first, e->range.end)
            += engine_copy_value (domain, cover, e);
    }
  for (unsigned first = layers; first-- > 0;)
    {
      unsigned sum = 0; /* Of the engines that begin at FIRST.  */

      for (unsigned end = first + 1; end <= layers; end++)
        {
          sum += *values_at (values, first, end);
          *values_at (values, first, end)
              = sum + *values_at (values, first + 1, end);
        }
    }
  g_free (cover);
}

static void
values_finish (range_values *values)
{
  g_clear_pointer (&values->sums, g_free);
}

/* The best range for an empty engine that has memory for MAX_LAYERS: the one
   with the highest sum of the values of the engines whose ranges lie within
   it.  Empty unless that sum exceeds the number of layers, as it does with a
   tight engine.  */
static mq_plan_range
values_find_best_range (const range_values *values, unsigned max_layers)
{
  mq_plan_range best = { 0, 0 };
  unsigned best_value = values->layers;

  for (unsigned first = 0; first < values->layers; first++)
    for (unsigned end = first + 1;
         end <= MIN (values->layers, first + max_layers); end++)
      {
        unsigned value = *values_at (values, first, end);

        if (value < best_value
            || (value == best_value
                && end - first >= mq_plan_range_size (best)))
          continue;
        best_value = value;
        best = (mq_plan_range){ first, end };
      }
  return best;
}

/* Have spares, the fastest first, hold all layers of engines that bound the
   chain, and of others next to them where memory allows.  The engines that are
   taken over from release nothing, as that would take until the requests that
   pass through them ended.

   The values change only when a spare is moved, and a spare with memory for no
   more layers than one that found no range finds none either.  */
static void
domain_take_over (mq_plan_domain *domain)
{
  range_values values = { 0, NULL };
  unsigned futile = 0; /* Layers for which no range was found.  */

  for (guint i = 0; i < domain->engines->len; i++)
    {
      mq_plan_engine *e = mq_plan_domain_engine (domain, i);
      unsigned max_layers
          = mq_plan_engine_max_layers (domain, e, domain->target_tokens);
      mq_plan_range range;

      if (!e->spare || max_layers <= futile)
        continue;
      if (values.sums == NULL)
        values_init (&values, domain);
      range = values_find_best_range (&values, max_layers);
      if (mq_plan_range_size (range) == 0)
        {
          futile = max_layers;
          continue;
        }
      mq_plan_engine_move (e, range);
      values_finish (&values);
      futile = 0;
    }
  values_finish (&values);
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
