/* What spares do while no layer is missing: see mq/internal/layer_plan.h.

   They relieve stages that bound the whole chain, take over the work of
   several engines where one can, and hold second copies, so that the loss of
   any one engine finds a whole path.  */

#include <mq/internal/layer_plan.h>

/* A second copy needs to carry the load only until the repair.  */
#define TOKENS_COPY 60000.0
/* A holder with less than this part of the wanted tokens is relieved.  */
#define RELIEF_BELOW 0.6

/* Give what overloaded engines hold too much of to spares, one engine a
   time.  */
static void
domain_relieve (mq_plan_domain *domain)
{
  for (guint i = 0; i < domain->engines->len; i++)
    {
      mq_plan_engine *e = mq_plan_domain_engine (domain, i);
      unsigned room = mq_plan_engine_room (domain, e, MQ_PLAN_TOKENS_WANTED);
      unsigned *cover;
      mq_plan_range over;

      if (e->moved || e->spare || e->holder->fixed
          || mq_plan_range_size (e->range) <= room
          || mq_plan_engine_tokens (domain, e)
                 >= MQ_PLAN_TOKENS_WANTED * RELIEF_BELOW)
        continue;
      cover = mq_plan_domain_sure_cover (domain);
      over = (mq_plan_range){ e->range.first + room, e->range.end };
      if (mq_plan_cover_reaches (cover, over, 2))
        mq_plan_engine_move (e, (mq_plan_range){ e->range.first, over.first });
      else
        {
          GArray *gaps = g_array_new (FALSE, FALSE, sizeof (mq_plan_range));

          g_array_append_val (gaps, over);
          (void)mq_plan_domain_try (domain, gaps, TOKENS_COPY, false);
          g_array_unref (gaps);
        }
      g_free (cover);
      return;
    }
}

/* Let empty engines hold a second copy of the largest range that stands only
   once, as long as they reach.  */
static void
domain_copy (mq_plan_domain *domain)
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
              && !mq_plan_cover_reaches (cover, r, 2))
            {
              GArray *gaps
                  = g_array_new (FALSE, FALSE, sizeof (mq_plan_range));
              GArray *before = mq_plan_engines_copy (domain->engines);

              g_array_append_val (gaps, r);
              if (mq_plan_domain_try (domain, gaps, TOKENS_COPY, false))
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
          found = mq_plan_domain_try (domain, gaps, TOKENS_COPY, false);
          g_array_unref (gaps);
        }
      g_free (cover);
    }
}

/* Only what holds nothing may take a copy: a copy is not moved for a copy. */
static void
domain_keep_empty_spares (mq_plan_domain *domain)
{
  for (guint i = 0; i < domain->engines->len; i++)
    {
      mq_plan_engine *e = mq_plan_domain_engine (domain, i);

      e->spare = e->spare && mq_plan_range_size (e->range) == 0;
    }
}

void
mq_plan_domain_use_spares (mq_plan_domain *domain)
{
  domain_keep_empty_spares (domain);
  domain_relieve (domain);
  domain_copy (domain);
}
