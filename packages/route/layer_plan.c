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

#include <mq/layer_plan.h>

#include <math.h>
#include <string.h>

/* Tokens that each stage should have memory for.  Three chains of this size
   hold about 360,000 tokens; 72 requests a second of 930 tokens that last 3.5
   to 4.5 s need 200,000 to 270,000, so that two chains carry the usual load
   when the third is being repaired.  */
#define TOKENS_WANTED 120000.0
/* A repair goes down to this before it makes neighbours of a gap hold more;
   a third of what is wanted still serves a third of the domain's load.  */
#define TOKENS_FLOOR 40000.0
/* Below this a stage is worth nothing: some ten requests.  */
#define TOKENS_LEAST 8000.0
/* A second copy needs to carry the load only until the repair.  */
#define TOKENS_COPY 60000.0
#define TOKENS_STEP 0.93
/* A new layout moves most engines, which takes some seconds.  */
#define LAY_OUT_GAIN 2.0
/* A holder with less than this part of the wanted tokens is relieved.  */
#define RELIEF_BELOW 0.6

/* Cards whose paces differ by less than this are taken by memory, since a
   larger card makes the chain shorter.  */
#define PACE_ALIKE 1.25

#define BISECTIONS 24

typedef struct plan_range
{
  unsigned first;
  unsigned end;
} plan_range;

/* An engine within a try.  */
typedef struct plan_engine
{
  mq_layer_holder *holder; /* Borrowed.  */
  plan_range range;
  bool moved;   /* To be ordered.  */
  bool spare;   /* Holds nothing that others do not hold.  */
  double place; /* For a new layout: its order among the others.  */
} plan_engine;

typedef struct plan_domain
{
  const mq_layered_model *model;
  GArray *engines; /* plan_engine, fastest first.  */
} plan_domain;

/* ---- Memory.  */

unsigned
mq_layer_plan_room (const mq_layered_model *model, const mq_card *card,
                    double tokens)
{
  double each
      = model->layer_mb + tokens * model->kv_mb_per_token / model->layers;
  double n = floor (card->memory_mb / each);

  return n < 0 ? 0 : (unsigned)MIN (n, (double)model->layers);
}

double
mq_layer_plan_tokens (const mq_layered_model *model, const mq_card *card,
                      unsigned n_layers)
{
  double left = card->memory_mb - n_layers * model->layer_mb;

  if (n_layers == 0 || left <= 0 || model->kv_mb_per_token <= 0)
    return 0;
  return left / (model->kv_mb_per_token / model->layers * n_layers);
}

static unsigned
engine_room (const plan_domain *domain, const plan_engine *engine,
             double tokens)
{
  return mq_layer_plan_room (domain->model, engine->holder->card, tokens);
}

static unsigned
range_size (plan_range range)
{
  return range.end > range.first ? range.end - range.first : 0;
}

static double
engine_tokens (const plan_domain *domain, const plan_engine *engine)
{
  return mq_layer_plan_tokens (domain->model, engine->holder->card,
                               range_size (engine->range));
}

static plan_engine *
domain_engine (const plan_domain *domain, guint i)
{
  return &g_array_index (domain->engines, plan_engine, i);
}

/* ---- Who holds what.  */

static int
engine_compare (gconstpointer a, gconstpointer b)
{
  const mq_card *x = ((const plan_engine *)a)->holder->card;
  const mq_card *y = ((const plan_engine *)b)->holder->card;

  if (x->pace * PACE_ALIKE < y->pace)
    return -1;
  if (y->pace * PACE_ALIKE < x->pace)
    return 1;
  return x->memory_mb > y->memory_mb ? -1 : x->memory_mb < y->memory_mb;
}

/* How many engines hold each layer; free with g_free.  */
static unsigned *
domain_cover (const plan_domain *domain)
{
  unsigned *cover = g_new0 (unsigned, domain->model->layers + 1);

  for (guint i = 0; i < domain->engines->len; i++)
    {
      plan_range r = domain_engine (domain, i)->range;

      for (unsigned l = r.first; l < MIN (r.end, domain->model->layers); l++)
        cover[l]++;
    }
  return cover;
}

/* Does everything in RANGE stand N times in COVER?  */
static bool
cover_reaches (const unsigned *cover, plan_range range, unsigned n)
{
  for (unsigned l = range.first; l < range.end; l++)
    if (cover[l] < n)
      return false;
  return true;
}

/* Mark the spares: those that hold nothing, and then one after the other
   those whose layers stand twice without the spares so far, the smallest
   first.  */
static void
domain_mark_spares (plan_domain *domain)
{
  unsigned *cover = domain_cover (domain);
  plan_engine *next;

  for (guint i = 0; i < domain->engines->len; i++)
    {
      plan_engine *e = domain_engine (domain, i);

      e->spare = range_size (e->range) == 0 && !e->holder->fixed;
    }
  do
    {
      next = NULL;
      for (guint i = 0; i < domain->engines->len; i++)
        {
          plan_engine *e = domain_engine (domain, i);

          if (!e->spare && !e->holder->fixed && range_size (e->range) > 0
              && cover_reaches (cover, e->range, 2)
              && (next == NULL
                  || range_size (e->range) < range_size (next->range)))
            next = e;
        }
      if (next != NULL)
        {
          next->spare = true;
          for (unsigned l = next->range.first; l < next->range.end; l++)
            cover[l]--;
        }
    }
  while (next != NULL);
  g_free (cover);
}

/* Append the runs of layers that nobody holds.  */
static GArray *
domain_gaps (const plan_domain *domain)
{
  GArray *gaps = g_array_new (FALSE, FALSE, sizeof (plan_range));
  unsigned *cover = domain_cover (domain);
  unsigned n = domain->model->layers;

  for (unsigned l = 0; l < n; l++)
    {
      plan_range g = { l, l };

      while (l < n && cover[l] == 0)
        g.end = ++l;
      if (range_size (g) > 0)
        g_array_append_val (gaps, g);
    }
  g_free (cover);
  return gaps;
}

/* ---- Tries.  */

static GArray *
engines_copy (const GArray *engines)
{
  GArray *copy
      = g_array_sized_new (FALSE, FALSE, sizeof (plan_engine), engines->len);

  return g_array_append_vals (copy, engines->data, engines->len);
}

static void
engine_move (plan_engine *engine, plan_range range)
{
  engine->range = range;
  engine->moved = true;
  engine->spare = false;
}

/* The slowest spare that holds N layers with TOKENS tokens, so that a small
   gap does not take the best card; empty ones first.  */
static plan_engine *
domain_one_spare (const plan_domain *domain, unsigned n, double tokens)
{
  plan_engine *best = NULL;

  for (guint i = domain->engines->len; i-- > 0;)
    {
      plan_engine *e = domain_engine (domain, i);
      bool empty = range_size (e->range) == 0;

      if (!e->spare || engine_room (domain, e, tokens) < n)
        continue;
      if (empty)
        return e;
      if (best == NULL)
        best = e;
    }
  return best;
}

/* The fastest spare, empty ones first, that holds anything.  */
static plan_engine *
domain_next_spare (const plan_domain *domain, double tokens)
{
  plan_engine *best = NULL;

  for (guint i = 0; i < domain->engines->len; i++)
    {
      plan_engine *e = domain_engine (domain, i);

      if (!e->spare || engine_room (domain, e, tokens) == 0)
        continue;
      if (range_size (e->range) == 0)
        return e;
      if (best == NULL)
        best = e;
    }
  return best;
}

/* Give GAP to spares with TOKENS tokens each.  False when they don't reach. */
static bool
domain_fill (plan_domain *domain, plan_range gap, double tokens)
{
  while (range_size (gap) > 0)
    {
      plan_engine *e = domain_one_spare (domain, range_size (gap), tokens);
      unsigned n;

      if (e == NULL)
        e = domain_next_spare (domain, tokens);
      if (e == NULL)
        return false;
      n = MIN (engine_room (domain, e, tokens), range_size (gap));
      engine_move (e, (plan_range){ gap.first, gap.first + n });
      gap.first += n;
    }
  return true;
}

/* Have the neighbours of GAP hold as much of it as leaves memory for TOKENS.
   Returns what is left.  */
static plan_range
domain_stretch (plan_domain *domain, plan_range gap, double tokens)
{
  for (guint i = 0; i < domain->engines->len && range_size (gap) > 0; i++)
    {
      plan_engine *e = domain_engine (domain, i);
      unsigned held = range_size (e->range);
      unsigned room = engine_room (domain, e, tokens);
      unsigned more = room > held ? MIN (room - held, range_size (gap)) : 0;

      if (held == 0 || more == 0 || e->spare || e->holder->fixed)
        continue;
      if (e->range.end == gap.first)
        {
          engine_move (e, (plan_range){ e->range.first, e->range.end + more });
          gap.first += more;
        }
      else if (e->range.first == gap.end)
        {
          engine_move (e, (plan_range){ e->range.first - more, e->range.end });
          gap.end -= more;
        }
    }
  return gap;
}

/* Fill all GAPS at TOKENS; false, and nothing changed, when that fails.  */
static bool
domain_try (plan_domain *domain, const GArray *gaps, double tokens,
            bool stretch)
{
  GArray *before = engines_copy (domain->engines);
  bool reached = true;

  for (guint i = 0; i < gaps->len && reached; i++)
    {
      plan_range g = g_array_index (gaps, plan_range, i);

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
domain_holds_nothing (const plan_domain *domain)
{
  for (guint i = 0; i < domain->engines->len; i++)
    if (range_size (domain_engine (domain, i)->range) > 0)
      return false;
  return true;
}

/* How many of the fastest engines reach N layers at TOKENS; 0: not all.  */
static guint
domain_reach (const plan_domain *domain, unsigned n, double tokens)
{
  unsigned sum = 0;

  for (guint i = 0; i < domain->engines->len; i++)
    {
      sum += engine_room (domain, domain_engine (domain, i), tokens);
      if (sum >= n)
        return i + 1;
    }
  return 0;
}

/* Deal all layers to the fastest engines that reach, the memory beside the
   layers even in tokens.  */
static void
domain_deal (plan_domain *domain)
{
  unsigned n = domain->model->layers;
  double low = TOKENS_WANTED;
  double high;
  guint count = 0;
  unsigned at = 0;

  while (low >= TOKENS_LEAST && (count = domain_reach (domain, n, low)) == 0)
    low *= TOKENS_STEP;
  if (count == 0)
    return;
  high = low * 4;
  for (int i = 0; i < BISECTIONS; i++)
    {
      double middle = (low + high) / 2;
      guint reach = domain_reach (domain, n, middle);

      if (reach > 0 && reach <= count)
        low = middle;
      else
        high = middle;
    }
  for (guint i = 0; i < count && at < n; i++)
    {
      plan_engine *e = domain_engine (domain, i);
      unsigned more = MIN (engine_room (domain, e, low), n - at);

      if (more > 0)
        engine_move (e, (plan_range){ at, at + more });
      at += more;
    }
}

/* The highest level at which spares fill all GAPS, which is then done; 0 when
   none down to LEAST does.  */
static double
domain_fill_all (plan_domain *domain, const GArray *gaps, double least,
                 bool stretch)
{
  double level = TOKENS_WANTED;

  while (level >= least)
    {
      if (domain_try (domain, gaps, level, stretch))
        return level;
      level *= TOKENS_STEP;
    }
  return 0;
}

/* ---- A new layout, where spares do not reach.  */

/* Where an engine should stand among the others: at the middle of what it
   holds, so that it keeps most of it; a spare at the first gap.  */
static double
engine_place (const plan_engine *engine, plan_range gap)
{
  plan_range r
      = range_size (engine->range) > 0 && !engine->spare ? engine->range : gap;

  return (r.first + r.end) / 2.0;
}

static int
engine_compare_place (gconstpointer a, gconstpointer b)
{
  double x = ((const plan_engine *)a)->place;
  double y = ((const plan_engine *)b)->place;

  return x < y ? -1 : x > y;
}

/* Lay all layers out anew over all engines, each near to where it was.
   Returns the level, or 0 when memory does not reach or an order is under
   way.  */
static double
domain_lay_out (plan_domain *domain, const GArray *gaps)
{
  double level = TOKENS_WANTED;
  unsigned at = 0;

  for (guint i = 0; i < domain->engines->len; i++)
    {
      plan_engine *e = domain_engine (domain, i);

      if (e->holder->fixed)
        return 0;
      e->place
          = engine_place (e, g_array_index (gaps, plan_range, i % gaps->len));
    }
  while (level >= TOKENS_LEAST
         && domain_reach (domain, domain->model->layers, level) == 0)
    level *= TOKENS_STEP;
  if (level < TOKENS_LEAST)
    return 0;
  g_array_sort (domain->engines, engine_compare_place);
  for (guint i = 0; i < domain->engines->len; i++)
    {
      plan_engine *e = domain_engine (domain, i);
      unsigned n
          = MIN (engine_room (domain, e, level), domain->model->layers - at);
      plan_range r = { at, at + n };

      if (n > 0 && (r.first != e->range.first || r.end != e->range.end))
        engine_move (e, r);
      at += n;
    }
  return level;
}

/* Fill GAPS: by spares; or by spares and neighbours; or, where that leaves
   less than half of what a new layout would, by a new layout.  */
static void
domain_repair (plan_domain *domain, const GArray *gaps)
{
  GArray *before;
  double stretched;
  double laid_out;

  if (domain_fill_all (domain, gaps, TOKENS_FLOOR, false) > 0)
    return;
  before = engines_copy (domain->engines);
  stretched = domain_fill_all (domain, gaps, TOKENS_LEAST, true);
  if (stretched < TOKENS_FLOOR)
    {
      GArray *other = domain->engines;

      domain->engines = engines_copy (before);
      laid_out = domain_lay_out (domain, gaps);
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
domain_relieve (plan_domain *domain)
{
  for (guint i = 0; i < domain->engines->len; i++)
    {
      plan_engine *e = domain_engine (domain, i);
      unsigned room = engine_room (domain, e, TOKENS_WANTED);
      unsigned *cover;
      plan_range over;

      if (e->moved || e->spare || e->holder->fixed
          || range_size (e->range) <= room
          || engine_tokens (domain, e) >= TOKENS_WANTED * RELIEF_BELOW)
        continue;
      cover = domain_cover (domain);
      over = (plan_range){ e->range.first + room, e->range.end };
      if (cover_reaches (cover, over, 2))
        engine_move (e, (plan_range){ e->range.first, over.first });
      else
        {
          GArray *gaps = g_array_new (FALSE, FALSE, sizeof (plan_range));

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
domain_copy (plan_domain *domain)
{
  bool found = true;

  while (found)
    {
      unsigned *cover = domain_cover (domain);
      plan_range best = { 0, 0 };

      found = false;
      for (guint i = 0; i < domain->engines->len; i++)
        {
          plan_range r = domain_engine (domain, i)->range;

          if (range_size (r) > range_size (best)
              && !cover_reaches (cover, r, 2))
            {
              GArray *gaps = g_array_new (FALSE, FALSE, sizeof (plan_range));
              GArray *before = engines_copy (domain->engines);

              g_array_append_val (gaps, r);
              if (domain_try (domain, gaps, TOKENS_COPY, false))
                best = r;
              g_array_unref (domain->engines);
              domain->engines = before;
              g_array_unref (gaps);
            }
        }
      if (range_size (best) > 0)
        {
          GArray *gaps = g_array_new (FALSE, FALSE, sizeof (plan_range));

          g_array_append_val (gaps, best);
          found = domain_try (domain, gaps, TOKENS_COPY, false);
          g_array_unref (gaps);
        }
      g_free (cover);
    }
}

/* Only what holds nothing may take a copy: a copy is not moved for a copy. */
static void
domain_keep_empty_spares (plan_domain *domain)
{
  for (guint i = 0; i < domain->engines->len; i++)
    {
      plan_engine *e = domain_engine (domain, i);

      e->spare = e->spare && range_size (e->range) == 0;
    }
}

static void
domain_work (plan_domain *domain)
{
  GArray *gaps;

  g_array_sort (domain->engines, engine_compare);
  if (domain_holds_nothing (domain))
    domain_deal (domain);
  domain_mark_spares (domain);
  gaps = domain_gaps (domain);
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
domain_write_orders (const plan_domain *domain, GArray *orders)
{
  for (guint i = 0; i < domain->engines->len; i++)
    {
      const plan_engine *e = domain_engine (domain, i);
      mq_layer_order o = { e->holder, e->range.first, e->range.end };

      if (e->moved)
        g_array_append_val (orders, o);
    }
}

/* Was the domain of holder I seen before it?  */
static bool
plan_domain_is_known (const mq_layer_holder *holders, size_t i)
{
  for (size_t k = 0; k < i; k++)
    if (mq_span_equal (holders[k].domain, holders[i].domain))
      return true;
  return false;
}

void
mq_layer_plan_work (const mq_layered_model *model, mq_layer_holder *holders,
                    size_t n, GArray *orders)
{
  for (size_t i = 0; i < n; i++)
    {
      plan_domain d = { model, NULL };

      if (plan_domain_is_known (holders, i))
        continue;
      d.engines = g_array_new (FALSE, FALSE, sizeof (plan_engine));
      for (size_t k = i; k < n; k++)
        {
          plan_engine e = { .holder = &holders[k],
                            .range = { holders[k].first, holders[k].end } };

          if (mq_span_equal (holders[k].domain, holders[i].domain)
              && holders[k].card != NULL)
            g_array_append_val (d.engines, e);
        }
      domain_work (&d);
      domain_write_orders (&d, orders);
      g_array_unref (d.engines);
    }
}
