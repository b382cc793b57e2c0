/* Which engine should hold which layers: see mq/layer_plan.h.

   A gap is a run of layers that no holder of the domain has.  It is filled
   from the empty engines, the fastest first, each with as many layers as
   leave memory for the wanted number of tokens.  When the engines that are
   left do not reach, the number of tokens is lowered in steps; when no
   number reaches, the neighbours of the gap are made to hold more.  */

#include <mq/layer_plan.h>

#include <math.h>
#include <string.h>

/* Tokens that each stage should have memory for.  Three chains of this size
   hold about 360,000 tokens; 72 requests a second of 930 tokens that last 3.5
   to 4.5 s need 200,000 to 270,000, so that two chains carry the usual load
   when the third is being repaired.  */
#define TOKENS_WANTED 120000.0
/* Below this a stage is worth nothing: some ten requests.  */
#define TOKENS_LEAST 10000.0
#define TOKENS_STEP 0.9

/* Cards whose paces differ by less than this are taken by memory, since a
   larger card makes the chain shorter.  */
#define PACE_ALIKE 1.25

#define BISECTIONS 24

typedef struct plan_gap
{
  unsigned first;
  unsigned end;
} plan_gap;

typedef struct plan_domain
{
  const mq_layered_model *model;
  GPtrArray *empty; /* mq_layer_holder, fastest first, borrowed.  */
  GPtrArray *full;  /* Those that hold layers.  */
  GArray *orders;   /* Borrowed.  */
} plan_domain;

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

static int
holder_compare (gconstpointer a, gconstpointer b)
{
  const mq_layer_holder *x = *(const mq_layer_holder *const *)a;
  const mq_layer_holder *y = *(const mq_layer_holder *const *)b;
  double px = x->card->pace;
  double py = y->card->pace;

  if (px * PACE_ALIKE < py)
    return -1;
  if (py * PACE_ALIKE < px)
    return 1;
  return x->card->memory_mb > y->card->memory_mb   ? -1
         : x->card->memory_mb < y->card->memory_mb ? 1
                                                   : 0;
}

/* How many of the first engines of EMPTY hold N layers with TOKENS tokens
   each; 0 when all together do not.  */
static unsigned
domain_reach (const plan_domain *domain, unsigned n, double tokens)
{
  unsigned sum = 0;

  for (guint i = 0; i < domain->empty->len; i++)
    {
      const mq_layer_holder *h = g_ptr_array_index (domain->empty, i);

      sum += mq_layer_plan_room (domain->model, h->card, tokens);
      if (sum >= n)
        return i + 1;
    }
  return 0;
}

static unsigned
domain_sum (const plan_domain *domain, unsigned count, double tokens)
{
  unsigned sum = 0;

  for (unsigned i = 0; i < count; i++)
    {
      const mq_layer_holder *h = g_ptr_array_index (domain->empty, i);

      sum += mq_layer_plan_room (domain->model, h->card, tokens);
    }
  return sum;
}

/* The most tokens with which the first COUNT engines still hold N layers,
   given that TOKENS do.  */
static double
domain_level (const plan_domain *domain, unsigned count, unsigned n,
              double tokens)
{
  double low = tokens;
  double high = tokens * 8;

  for (int i = 0; i < BISECTIONS; i++)
    {
      double middle = (low + high) / 2;

      if (domain_sum (domain, count, middle) >= n)
        low = middle;
      else
        high = middle;
    }
  return low;
}

static void
domain_order (plan_domain *domain, mq_layer_holder *holder, unsigned first,
              unsigned end)
{
  mq_layer_order o = { holder, first, end };

  holder->first = first;
  holder->end = end;
  g_array_append_val (domain->orders, o);
}

/* Deal GAP to the first COUNT empty engines.  */
static void
domain_deal (plan_domain *domain, plan_gap gap, unsigned count, double tokens)
{
  unsigned at = gap.first;

  for (unsigned i = 0; i < count && at < gap.end; i++)
    {
      mq_layer_holder *h = g_ptr_array_index (domain->empty, 0);
      unsigned n = mq_layer_plan_room (domain->model, h->card, tokens);

      n = MIN (n, gap.end - at);
      g_ptr_array_remove_index (domain->empty, 0);
      if (n == 0)
        continue;
      domain_order (domain, h, at, at + n);
      g_ptr_array_add (domain->full, h);
      at += n;
    }
}

/* One engine that holds N layers, the slowest that does, so that a small gap
   does not take the best card.  Moves it to the front; false when none.  */
static bool
domain_pick_one (plan_domain *domain, unsigned n)
{
  for (guint i = domain->empty->len; i-- > 0;)
    {
      mq_layer_holder *h = g_ptr_array_index (domain->empty, i);

      if (mq_layer_plan_room (domain->model, h->card, TOKENS_WANTED) < n)
        continue;
      g_ptr_array_remove_index (domain->empty, i);
      g_ptr_array_insert (domain->empty, 0, h);
      return true;
    }
  return false;
}

/* Give GAP to empty engines.  False when they do not reach.  */
static bool
domain_fill (plan_domain *domain, plan_gap gap)
{
  unsigned n = gap.end - gap.first;

  if (domain_pick_one (domain, n))
    {
      domain_deal (domain, gap, 1, TOKENS_WANTED);
      return true;
    }
  for (double t = TOKENS_WANTED; t >= TOKENS_LEAST; t *= TOKENS_STEP)
    {
      unsigned count = domain_reach (domain, n, t);

      if (count == 0)
        continue;
      domain_deal (domain, gap, count, domain_level (domain, count, n, t));
      return true;
    }
  return false;
}

/* Have the holder that ends where GAP begins, or begins where it ends, hold
   as much of it as leaves room for the fewest tokens.  */
static void
domain_stretch (plan_domain *domain, plan_gap gap)
{
  for (guint i = 0; i < domain->full->len && gap.first < gap.end; i++)
    {
      mq_layer_holder *h = g_ptr_array_index (domain->full, i);
      unsigned held = h->end - h->first;
      unsigned room
          = mq_layer_plan_room (domain->model, h->card, TOKENS_LEAST);
      unsigned more = room > held ? MIN (room - held, gap.end - gap.first) : 0;

      if (more == 0)
        continue;
      if (h->end == gap.first)
        {
          domain_order (domain, h, h->first, h->end + more);
          gap.first += more;
        }
      else if (h->first == gap.end)
        {
          domain_order (domain, h, h->first - more, h->end);
          gap.end -= more;
        }
    }
}

/* Append the runs of layers that nobody holds.  */
static void
domain_gaps (const plan_domain *domain, GArray *gaps)
{
  bool *held = g_new0 (bool, domain->model->layers);

  for (guint i = 0; i < domain->full->len; i++)
    {
      const mq_layer_holder *h = g_ptr_array_index (domain->full, i);

      for (unsigned l = h->first; l < MIN (h->end, domain->model->layers); l++)
        held[l] = true;
    }
  for (unsigned l = 0; l < domain->model->layers; l++)
    {
      plan_gap g = { l, l };

      while (l < domain->model->layers && !held[l])
        g.end = ++l;
      if (g.end > g.first)
        g_array_append_val (gaps, g);
    }
  g_free (held);
}

static void
domain_work (plan_domain *domain)
{
  GArray *gaps = g_array_new (FALSE, FALSE, sizeof (plan_gap));

  domain_gaps (domain, gaps);
  g_ptr_array_sort (domain->empty, holder_compare);
  for (guint i = 0; i < gaps->len; i++)
    {
      plan_gap g = g_array_index (gaps, plan_gap, i);

      if (!domain_fill (domain, g))
        domain_stretch (domain, g);
    }
  g_array_unref (gaps);
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
      plan_domain d = { model, NULL, NULL, orders };

      if (plan_domain_is_known (holders, i))
        continue;
      d.empty = g_ptr_array_new ();
      d.full = g_ptr_array_new ();
      for (size_t k = i; k < n; k++)
        if (mq_span_equal (holders[k].domain, holders[i].domain)
            && holders[k].card != NULL)
          g_ptr_array_add (holders[k].first < holders[k].end ? d.full
                                                             : d.empty,
                           &holders[k]);
      domain_work (&d);
      g_ptr_array_unref (d.empty);
      g_ptr_array_unref (d.full);
    }
}
