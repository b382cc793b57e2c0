/* Which engine should hold which layers: see mq/layer_plan.h.

   For each failure domain:
   1. Layers that nobody holds are gaps.  They are filled by spares: engines
      that hold nothing, and then those whose layers others hold as well.  All
      gaps are filled at one level, the most tokens that every stage keeps
      memory for; only where no level reaches do neighbours of a gap hold more
      than they should, or are all layers laid out anew.
   2. An engine that holds too many layers for its memory, from an earlier
      repair, gives the excess to spares, and lets go of it once they hold it.
   3. Spares that are left hold a second copy of the range whose loss would
      cost most, so that the loss of any one engine finds a whole path.

   Each try works on a copy of who holds what; a try that does not reach
   leaves nothing behind.  */

#include <mq/internal/layer_plan.h>

/* A repair goes down to this before it makes neighbours of a gap hold more;
   a third of what is wanted still serves a third of the domain's load.  */
#define TOKENS_FLOOR 40000.0
/* A second copy needs to carry the load only until the repair.  */
#define TOKENS_COPY 60000.0
/* A new layout moves most engines, which takes some seconds.  */
#define LAY_OUT_GAIN 2.0
/* A successor registers 0.1 s after the engine that it replaces began to
   drain, in the users' deployments; and the store's news take as long.  */
#define SETTLE_US ((uint64_t)500 * 1000)
/* Engines may come and go for long.  */
#define PATIENT_MOST_US ((uint64_t)3000 * 1000)
/* A holder with less than this part of the wanted tokens is relieved.  */
#define RELIEF_BELOW 0.6

/* What is remembered of a failure domain.  */
typedef struct plan_memory
{
  uint64_t members;    /* Hash of the engines that were there.  */
  uint64_t changed_us; /* Since when just these.  */
  uint64_t missing_us; /* Since when layers are missing; 0: none are.  */
} plan_memory;

/* ---- Tries.  */

static GArray *
engines_copy (const GArray *engines)
{
  GArray *copy = g_array_sized_new (FALSE, FALSE, sizeof (mq_plan_engine),
                                    engines->len);

  return g_array_append_vals (copy, engines->data, engines->len);
}

/* The slowest spare that holds N layers with TOKENS tokens, so that a small
   gap does not take the best card; empty ones first.  */
static mq_plan_engine *
domain_one_spare (const mq_plan_domain *domain, unsigned n, double tokens)
{
  mq_plan_engine *best = NULL;

  for (guint i = domain->engines->len; i-- > 0;)
    {
      mq_plan_engine *e = mq_plan_domain_engine (domain, i);
      bool empty = mq_plan_range_size (e->range) == 0;

      if (!e->spare || mq_plan_engine_room (domain, e, tokens) < n)
        continue;
      if (empty)
        return e;
      if (best == NULL)
        best = e;
    }
  return best;
}

/* The fastest spare, empty ones first, that holds anything.  */
static mq_plan_engine *
domain_next_spare (const mq_plan_domain *domain, double tokens)
{
  mq_plan_engine *best = NULL;

  for (guint i = 0; i < domain->engines->len; i++)
    {
      mq_plan_engine *e = mq_plan_domain_engine (domain, i);

      if (!e->spare || mq_plan_engine_room (domain, e, tokens) == 0)
        continue;
      if (mq_plan_range_size (e->range) == 0)
        return e;
      if (best == NULL)
        best = e;
    }
  return best;
}

/* Give GAP to spares with TOKENS tokens each.  False when they don't reach. */
static bool
domain_fill (mq_plan_domain *domain, mq_plan_range gap, double tokens)
{
  while (mq_plan_range_size (gap) > 0)
    {
      mq_plan_engine *e
          = domain_one_spare (domain, mq_plan_range_size (gap), tokens);
      unsigned n;

      if (e == NULL)
        e = domain_next_spare (domain, tokens);
      if (e == NULL)
        return false;
      n = MIN (mq_plan_engine_room (domain, e, tokens),
               mq_plan_range_size (gap));
      mq_plan_engine_move (e, (mq_plan_range){ gap.first, gap.first + n });
      gap.first += n;
    }
  return true;
}

/* Have the neighbours of GAP hold as much of it as leaves memory for TOKENS.
   Returns what is left.  */
static mq_plan_range
domain_stretch (mq_plan_domain *domain, mq_plan_range gap, double tokens)
{
  for (guint i = 0; i < domain->engines->len && mq_plan_range_size (gap) > 0;
       i++)
    {
      mq_plan_engine *e = mq_plan_domain_engine (domain, i);
      unsigned held = mq_plan_range_size (e->range);
      unsigned room = mq_plan_engine_room (domain, e, tokens);
      unsigned more
          = room > held ? MIN (room - held, mq_plan_range_size (gap)) : 0;

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

/* Fill all GAPS at TOKENS; false, and nothing changed, when that fails.  */
static bool
domain_try (mq_plan_domain *domain, const GArray *gaps, double tokens,
            bool stretch)
{
  GArray *before = engines_copy (domain->engines);
  bool reached = true;

  for (guint i = 0; i < gaps->len && reached; i++)
    {
      mq_plan_range g = g_array_index (gaps, mq_plan_range, i);

      if (stretch)
        g = domain_stretch (domain, g, tokens);
      reached = domain_fill (domain, g, tokens);
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

/* ---- The steps.  */

static bool
domain_holds_nothing (const mq_plan_domain *domain)
{
  for (guint i = 0; i < domain->engines->len; i++)
    if (mq_plan_range_size (mq_plan_domain_engine (domain, i)->range) > 0)
      return false;
  return true;
}

/* The highest level at which spares fill all GAPS, which is then done; 0 when
   none down to LEAST does.  */
static double
domain_fill_all (mq_plan_domain *domain, const GArray *gaps, double least,
                 bool stretch)
{
  double level = MQ_PLAN_TOKENS_WANTED;

  while (level >= least)
    {
      if (domain_try (domain, gaps, level, stretch))
        return level;
      level *= MQ_PLAN_TOKENS_STEP;
    }
  return 0;
}

/* Fill what can be filled of GAPS by spares, one by one.  */
static void
domain_fill_some (mq_plan_domain *domain, const GArray *gaps)
{
  for (guint i = 0; i < gaps->len; i++)
    {
      GArray *one = g_array_new (FALSE, FALSE, sizeof (mq_plan_range));

      g_array_append_val (one, g_array_index (gaps, mq_plan_range, i));
      (void)domain_fill_all (domain, one, TOKENS_FLOOR, false);
      g_array_unref (one);
    }
}

/* Fill GAPS: by spares; or by spares and neighbours; or, where that leaves
   less than half of what a new layout would, by a new layout.  */
static void
domain_repair (mq_plan_domain *domain, const GArray *gaps)
{
  GArray *before;
  double stretched;
  double laid_out;

  if (domain_fill_all (domain, gaps, TOKENS_FLOOR, false) > 0)
    return;
  if (domain->patient)
    {
      domain_fill_some (domain, gaps);
      return;
    }
  before = engines_copy (domain->engines);
  stretched = domain_fill_all (domain, gaps, MQ_PLAN_TOKENS_LEAST, true);
  if (stretched < TOKENS_FLOOR)
    {
      GArray *other = domain->engines;

      domain->engines = engines_copy (before);
      laid_out = mq_plan_domain_lay_out (domain, gaps);
      if (laid_out > stretched * LAY_OUT_GAIN)
        g_array_unref (other);
      else
        {
          g_array_unref (domain->engines);
          domain->engines = other;
        }
    }
  g_array_unref (before);
}

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
          (void)domain_try (domain, gaps, TOKENS_COPY, false);
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
              GArray *before = engines_copy (domain->engines);

              g_array_append_val (gaps, r);
              if (domain_try (domain, gaps, TOKENS_COPY, false))
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
          found = domain_try (domain, gaps, TOKENS_COPY, false);
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

/* Note in MEMORY what there is of DOMAIN at NOW_US; MISSING: layers are.  Is
   it time to wait and see?  */
static bool
memory_is_patient (plan_memory *memory, const mq_plan_domain *domain,
                   bool missing, uint64_t now_us)
{
  uint64_t members = domain->engines->len;

  for (guint i = 0; i < domain->engines->len; i++)
    members += mq_hash_mix (
        0, (uintptr_t)mq_plan_domain_engine (domain, i)->holder->user);
  if (members != memory->members)
    {
      memory->members = members;
      memory->changed_us = now_us;
    }
  if (!missing)
    memory->missing_us = 0;
  else if (memory->missing_us == 0)
    memory->missing_us = now_us;
  return now_us < memory->changed_us + SETTLE_US
         && (!missing || now_us < memory->missing_us + PATIENT_MOST_US);
}

static void
domain_work (mq_plan_domain *domain, plan_memory *memory, uint64_t now_us)
{
  GArray *gaps;

  g_array_sort (domain->engines, mq_plan_engine_compare);
  if (domain_holds_nothing (domain))
    mq_plan_domain_deal (domain);
  gaps = mq_plan_domain_gaps (domain);
  domain->patient = memory_is_patient (memory, domain, gaps->len > 0, now_us);
  mq_plan_domain_mark_spares (domain);
  if (gaps->len > 0)
    domain_repair (domain, gaps);
  else
    {
      domain_keep_empty_spares (domain);
      domain_relieve (domain);
      domain_copy (domain);
    }
  g_array_unref (gaps);
}

static void
domain_write_orders (const mq_plan_domain *domain, GArray *orders)
{
  for (guint i = 0; i < domain->engines->len; i++)
    {
      const mq_plan_engine *e = mq_plan_domain_engine (domain, i);
      mq_layer_order o = { e->holder, e->range.first, e->range.end };

      if (e->moved)
        g_array_append_val (orders, o);
    }
}

/* Orders holders by domain; within one in the order of the caller's.  */
static int
holder_compare (gconstpointer a, gconstpointer b)
{
  const mq_layer_holder *x = *(const mq_layer_holder *const *)a;
  const mq_layer_holder *y = *(const mq_layer_holder *const *)b;
  int c = mq_span_compare (x->domain, y->domain);

  if (c != 0)
    return c;
  return x < y ? -1 : x > y;
}

static plan_memory *
plan_memory_of (mq_layer_plan *plan, mq_span domain)
{
  char *name = g_strndup (domain.size > 0 ? domain.data : "", domain.size);
  plan_memory *m = g_hash_table_lookup (plan->domains, name);

  if (m != NULL)
    {
      g_free (name);
      return m;
    }
  m = g_new0 (plan_memory, 1);
  g_hash_table_insert (plan->domains, name, m);
  return m;
}

/* Plan for the domain whose holders are the N from HOLDERS on.  */
static void
plan_domain (mq_layer_plan *plan, const mq_layered_model *model,
             mq_layer_holder **holders, guint n, uint64_t now_us,
             GArray *orders)
{
  mq_plan_domain d
      = { model, g_array_new (FALSE, FALSE, sizeof (mq_plan_engine)), false };

  for (guint i = 0; i < n; i++)
    {
      mq_plan_engine e = { .holder = holders[i],
                           .range = { holders[i]->first, holders[i]->end } };

      if (holders[i]->card != NULL)
        g_array_append_val (d.engines, e);
    }
  domain_work (&d, plan_memory_of (plan, holders[0]->domain), now_us);
  domain_write_orders (&d, orders);
  g_array_unref (d.engines);
}

void
mq_layer_plan_init (mq_layer_plan *plan)
{
  plan->domains
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
mq_layer_plan_finish (mq_layer_plan *plan)
{
  g_clear_pointer (&plan->domains, g_hash_table_unref);
}

void
mq_layer_plan_work (mq_layer_plan *plan, const mq_layered_model *model,
                    mq_layer_holder *holders, size_t n, uint64_t now_us,
                    GArray *orders)
{
  GPtrArray *sorted = g_ptr_array_new ();
  guint first = 0;

  for (size_t i = 0; i < n; i++)
    g_ptr_array_add (sorted, &holders[i]);
  g_ptr_array_sort (sorted, holder_compare);
  while (first < sorted->len)
    {
      mq_layer_holder **group
          = (mq_layer_holder **)(void *)&sorted->pdata[first];
      guint count = 1;

      while (first + count < sorted->len
             && mq_span_equal (group[0]->domain, group[count]->domain))
        count++;
      plan_domain (plan, model, group, count, now_us, orders);
      first += count;
    }
  g_ptr_array_unref (sorted);
}
