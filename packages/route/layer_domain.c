/* Engines of one failure domain and the layers that they hold, and the number
   of its chains and their target level: see mq/internal/layer_plan.h.  */

#include <mq/internal/layer_plan.h>

#include <math.h>
#include <mq/domain_load.h>
#include <mq/layer_path.h>

/* Share of a failure domain's memory that its chains can use.  The rest is too
   small for a whole layer, or holds second copies.  */
#define USABLE_MEMORY_SHARE 0.85
#define MAX_CHAINS 8
/* Existing chains are retained until memory falls to this share of what their
   number needs, so that the plan does not change as a whole when one engine
   leaves.  */
#define RETAIN_MEMORY_SHARE 0.85
/* Share of a chain's memory for its layers and requests.  The rest holds
   second copies.  */
#define CHAIN_MEMORY_SHARE 0.66

/* Of chains whose rate is at least this share of the best, the one with the
   fewest engines is chosen: its requests end sooner, so that a fault affects
   fewer of them, and the other engines hold second copies.  A smaller share
   would leave a domain of many slow cards short of memory when another domain
   loses its chain.  */
#define MIN_RATE_SHARE 0.975

/* Cards whose step factors differ by less than this ratio are sorted by
   memory, since a larger card makes the chain shorter.  */
#define STEP_FACTOR_TOLERANCE 1.25

/* The tokens that COUNT chains over MEMORY_MB can have in flight, bounded by
   their memory and by the slots of their heads.  Each further chain takes the
   memory of all layers once more, and adds the slots of its head.  */
static double
chains_tokens (const mq_layered_model *model, double memory_mb, unsigned count)
{
  double weights_mb = model->layers * model->layer_mb;
  double tokens = (memory_mb * USABLE_MEMORY_SHARE / count - weights_mb)
                  / model->kv_mb_per_token;
  double request = mq_domain_expected_tokens (model->mean_prompt_tokens, 0, 0,
                                              model->mean_answer_tokens);

  if (model->head_slots > 0)
    tokens = MIN (tokens, model->head_slots * request);
  return MAX (tokens, 0) * count;
}

unsigned
mq_layer_plan_chain_count (const mq_layered_model *model, double memory_mb)
{
  unsigned best = 1;

  if (model->kv_mb_per_token <= 0)
    return 1;
  for (unsigned n = 2; n <= MAX_CHAINS; n++)
    if (chains_tokens (model, memory_mb, n)
        > chains_tokens (model, memory_mb, best))
      best = n;
  return best;
}

unsigned
mq_layer_plan_retained_chain_count (const mq_layered_model *model,
                                    double memory_mb, unsigned before)
{
  unsigned count = mq_layer_plan_chain_count (model, memory_mb);
  unsigned max_count
      = mq_layer_plan_chain_count (model, memory_mb / RETAIN_MEMORY_SHARE);

  return CLAMP (before, count, MAX (count, max_count));
}

unsigned
mq_layer_plan_max_layers (const mq_layered_model *model, const mq_card *card,
                          double tokens)
{
  double mb_per_layer
      = model->layer_mb + tokens * model->kv_mb_per_token / model->layers;
  double n = floor (card->memory_mb / mb_per_layer);

  return n < 0 ? 0 : (unsigned)MIN (n, (double)model->layers);
}

double
mq_layer_plan_token_capacity (const mq_layered_model *model,
                              const mq_card *card, unsigned n_layers)
{
  double free_mb = card->memory_mb - n_layers * model->layer_mb;

  if (n_layers == 0 || free_mb <= 0 || model->kv_mb_per_token <= 0)
    return 0;
  return free_mb / (model->kv_mb_per_token / model->layers * n_layers);
}

unsigned
mq_plan_engine_max_layers (const mq_plan_domain *domain,
                           const mq_plan_engine *engine, double tokens)
{
  return mq_layer_plan_max_layers (domain->model, engine->holder->card,
                                   tokens);
}

unsigned
mq_plan_range_size (mq_plan_range range)
{
  return range.end > range.first ? range.end - range.first : 0;
}

double
mq_plan_engine_token_capacity (const mq_plan_domain *domain,
                               const mq_plan_engine *engine)
{
  return mq_layer_plan_token_capacity (domain->model, engine->holder->card,
                                       mq_plan_range_size (engine->range));
}

mq_plan_engine *
mq_plan_domain_engine (const mq_plan_domain *domain, guint i)
{
  ++*domain->visits;
  return &g_array_index (domain->engines, mq_plan_engine, i);
}

int
mq_plan_engine_compare (gconstpointer a, gconstpointer b)
{
  const mq_card *x = ((const mq_plan_engine *)a)->holder->card;
  const mq_card *y = ((const mq_plan_engine *)b)->holder->card;

  if (x->step_factor * STEP_FACTOR_TOLERANCE < y->step_factor)
    return -1;
  if (y->step_factor * STEP_FACTOR_TOLERANCE < x->step_factor)
    return 1;
  return x->memory_mb > y->memory_mb ? -1 : x->memory_mb < y->memory_mb;
}

static void
cover_add (unsigned *cover, const mq_layered_model *model, mq_plan_range range)
{
  for (unsigned l = range.first; l < MIN (range.end, model->layers); l++)
    cover[l]++;
}

unsigned *
mq_plan_domain_cover (const mq_plan_domain *domain)
{
  unsigned *cover = g_new0 (unsigned, domain->model->layers + 1);

  for (guint i = 0; i < domain->engines->len; i++)
    cover_add (cover, domain->model, mq_plan_domain_engine (domain, i)->range);
  return cover;
}

bool
mq_plan_cover_is_at_least (const unsigned *cover, mq_plan_range range,
                           unsigned n)
{
  for (unsigned l = range.first; l < range.end; l++)
    if (cover[l] < n)
      return false;
  return true;
}

unsigned *
mq_plan_domain_confirmed_cover (const mq_plan_domain *domain)
{
  unsigned *cover = g_new0 (unsigned, domain->model->layers + 1);

  for (guint i = 0; i < domain->engines->len; i++)
    {
      const mq_plan_engine *e = mq_plan_domain_engine (domain, i);

      if (!e->holder->awaited && !e->moved)
        cover_add (cover, domain->model, e->range);
    }
  return cover;
}

/* Compares pointers to engines of one array, the better spare first.  An
   engine that no request passes through is better, as it can load other layers
   at once; otherwise the one with fewer layers is.  */
static int
spare_compare (gconstpointer a, gconstpointer b)
{
  const mq_plan_engine *x = *(const mq_plan_engine *const *)a;
  const mq_plan_engine *y = *(const mq_plan_engine *const *)b;
  unsigned m = mq_plan_range_size (x->range);
  unsigned n = mq_plan_range_size (y->range);

  if (x->holder->used != y->holder->used)
    return x->holder->used ? 1 : -1;
  if (m != n)
    return m < n ? -1 : 1;
  return x < y ? -1 : x > y;
}

/* Returns the engines that hold layers and may become spares, the best first
   (mq_plan_engine, borrowed).  Free with g_ptr_array_unref.  */
static GPtrArray *
domain_list_movable (const mq_plan_domain *domain)
{
  GPtrArray *list = g_ptr_array_new ();

  for (guint i = 0; i < domain->engines->len; i++)
    {
      mq_plan_engine *e = mq_plan_domain_engine (domain, i);

      if (mq_plan_range_size (e->range) > 0 && !e->holder->fixed
          && !(domain->settling && e->holder->used))
        g_ptr_array_add (list, e);
    }
  g_ptr_array_sort (list, spare_compare);
  return list;
}

/* Mark the spares: first the engines that hold nothing, then one after the
   other the best engine whose layers are all held by more engines than there
   are chains, not counting the spares so far.  The cover only falls, so one
   pass in that order suffices.  */
void
mq_plan_domain_mark_spares (mq_plan_domain *domain)
{
  unsigned *cover = mq_plan_domain_confirmed_cover (domain);
  GPtrArray *movable = domain_list_movable (domain);

  for (guint i = 0; i < domain->engines->len; i++)
    {
      mq_plan_engine *e = mq_plan_domain_engine (domain, i);

      e->spare = mq_plan_range_size (e->range) == 0 && !e->holder->fixed;
    }
  for (guint i = 0; i < movable->len; i++)
    {
      mq_plan_engine *e = g_ptr_array_index (movable, i);

      if (!mq_plan_cover_is_at_least (cover, e->range, domain->chains + 1))
        continue;
      e->spare = true;
      for (unsigned l = e->range.first; l < e->range.end; l++)
        cover[l]--;
    }
  g_ptr_array_unref (movable);
  g_free (cover);
}

/* Append the ranges of layers whose cover is less than N.  */
static void
cover_add_gaps (const unsigned *cover, unsigned layers, unsigned n,
                GArray *gaps)
{
  for (unsigned l = 0; l < layers; l++)
    {
      mq_plan_range g = { l, l };

      while (l < layers && cover[l] < n)
        g.end = ++l;
      if (mq_plan_range_size (g) > 0)
        g_array_append_val (gaps, g);
    }
}

GArray *
mq_plan_domain_gaps (const mq_plan_domain *domain, unsigned chains)
{
  GArray *gaps = g_array_new (FALSE, FALSE, sizeof (mq_plan_range));
  unsigned *cover = mq_plan_domain_cover (domain);

  for (unsigned n = 1; n <= chains; n++)
    cover_add_gaps (cover, domain->model->layers, n, gaps);
  g_free (cover);
  return gaps;
}

/* The chain that the fastest COUNT engines of SUBSET make at their highest
   level.  */
static mq_chain_rate_input
chain_rate_input_for (const mq_plan_domain *subset, guint count)
{
  mq_chain_rate_input input
      = { .engines = count,
          .tokens = mq_plan_domain_token_level (subset, count) };
  unsigned left = subset->model->layers;

  for (guint i = 0; i < count && left > 0; i++)
    {
      const mq_plan_engine *e = mq_plan_domain_engine (subset, i);
      unsigned n
          = MIN (mq_plan_engine_max_layers (subset, e, input.tokens), left);
      double share = (double)n / subset->model->layers;

      input.step_factor += share * e->holder->card->step_factor;
      input.prefill_factor += share * e->holder->card->prefill_factor;
      left -= n;
    }
  return input;
}

/* Returns true if the chain of INPUT is as good as one with the rate BEST: its
   rate is nearly as high, and it has memory for its share of the load of a
   chain that is being repaired.  */
static bool
chain_rate_is_sufficient (const mq_plan_domain *subset,
                          const mq_chain_rate_input *input, double best)
{
  return input->tokens >= MQ_PLAN_TARGET_TOKENS
         && mq_chain_rate (subset->model, input) >= best * MIN_RATE_SHARE;
}

/* Lowers MAX_TOKENS to the level of a chain of as many engines as a path can
   have.  In a domain of a thousand engines a chain of 125 would have a layer
   on each, and no request could be sent through it.  */
static double
chain_limit_tokens (const mq_plan_domain *subset, double max_tokens)
{
  guint engines = mq_plan_domain_engines_needed (subset, max_tokens);
  double level;

  if (subset->engines->len <= MQ_LAYER_PATH_MAX_STAGES
      || (engines > 0 && engines <= MQ_LAYER_PATH_MAX_STAGES))
    return max_tokens;
  level = mq_plan_domain_token_level (subset, MQ_LAYER_PATH_MAX_STAGES);
  return level > 0 ? MIN (max_tokens, level) : max_tokens;
}

/* The target level of a chain of SUBSET, at most MAX_TOKENS.  More engines add
   memory, yet slow ones make each request last longer: beyond some number they
   lower the rate of the chain.  When all engines together do not reach
   MAX_TOKENS, that remains the target.  */
static double
chain_target_tokens (const mq_plan_domain *subset, double max_tokens)
{
  guint engines;
  GArray *inputs = g_array_new (FALSE, FALSE, sizeof (mq_chain_rate_input));
  double best = 0;
  double target_tokens;

  max_tokens = chain_limit_tokens (subset, max_tokens);
  engines = mq_plan_domain_engines_needed (subset, max_tokens);
  target_tokens = max_tokens;
  for (guint i = 1; i <= engines; i++)
    {
      mq_chain_rate_input input = chain_rate_input_for (subset, i);
      double rate = mq_chain_rate (subset->model, &input);

      g_array_append_val (inputs, input);
      if (rate <= best)
        continue;
      best = rate;
      target_tokens = input.tokens;
    }
  for (guint i = inputs->len; i-- > 0;)
    {
      mq_chain_rate_input *input
          = &g_array_index (inputs, mq_chain_rate_input, i);

      if (chain_rate_is_sufficient (subset, input, best))
        target_tokens = MIN (target_tokens, input->tokens);
    }
  g_array_unref (inputs);
  return MIN (target_tokens, max_tokens);
}

void
mq_plan_domain_size (mq_plan_domain *domain, unsigned before)
{
  double weights_mb = domain->model->layers * domain->model->layer_mb;
  double memory_mb = 0;
  double kv_mb;
  mq_plan_domain subset;

  for (guint i = 0; i < domain->engines->len; i++)
    memory_mb += mq_plan_domain_engine (domain, i)->holder->card->memory_mb;
  domain->chains
      = mq_layer_plan_retained_chain_count (domain->model, memory_mb, before);
  domain->target_tokens = MQ_PLAN_TARGET_TOKENS;
  if (domain->model->kv_mb_per_token <= 0)
    return;
  kv_mb = memory_mb / domain->chains * CHAIN_MEMORY_SHARE - weights_mb;
  domain->target_tokens
      = MAX (domain->target_tokens, kv_mb / domain->model->kv_mb_per_token);
  subset = mq_plan_domain_chain_subset (domain, 0);
  domain->target_tokens = chain_target_tokens (&subset, domain->target_tokens);
  g_array_unref (subset.engines);
}

void
mq_plan_engine_move (mq_plan_engine *engine, mq_plan_range range)
{
  engine->range = range;
  engine->moved = true;
  engine->spare = false;
}
