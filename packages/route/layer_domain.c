/* Engines of one failure domain and the layers they hold: see
   mq/internal/layer_plan.h.  */

#include <mq/internal/layer_plan.h>

#include <math.h>
#include <mq/domain_load.h>

/* Part of a failure domain's memory that its chains can make use of; the rest
   is lost to layers that do not divide, or holds second copies.  */
#define USABLE_MEMORY_SHARE 0.85
#define MAX_CHAINS 8
/* Chains that stand are kept until memory is down to this part of what their
   number asks for, so that an engine that leaves does not turn the whole plan.
 */
#define RETAIN_MEMORY_SHARE 0.85
/* Part of the memory for a chain that its layers and requests take; the rest
   holds second copies.  */
#define CHAIN_MEMORY_SHARE 0.66

/* Of chains that sustain nearly the same the one of the fewest engines is
   taken: its requests end sooner, so that a fault strikes fewer of them, and
   the other engines hold second copies.  A wider margin would leave a domain
   of many slow cards short of memory when another loses its chain.  */
#define MIN_RATE_SHARE 0.975

/* Cards whose paces differ by less than this are taken by memory, since a
   larger card makes the chain shorter.  */
#define STEP_FACTOR_TOLERANCE 1.25

/* Tokens that COUNT chains over MEMORY_MB can have in flight: their memory
   bounds it, and the places at their heads.  A further chain costs the weights
   once more, and gains the places of its head.  */
static double
chains_tokens (const mq_layered_model *model, double memory_mb, unsigned count)
{
  double weights = model->layers * model->layer_mb;
  double room = (memory_mb * USABLE_MEMORY_SHARE / count - weights)
                / model->kv_mb_per_token;
  double request = mq_domain_expected_tokens (model->mean_prompt_tokens, 0, 0,
                                              model->mean_answer_tokens);

  if (model->head_slots > 0)
    room = MIN (room, model->head_slots * request);
  return MAX (room, 0) * count;
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
  unsigned now = mq_layer_plan_chain_count (model, memory_mb);
  unsigned ample
      = mq_layer_plan_chain_count (model, memory_mb / RETAIN_MEMORY_SHARE);

  return CLAMP (before, now, MAX (now, ample));
}

unsigned
mq_layer_plan_max_layers (const mq_layered_model *model, const mq_card *card,
                          double tokens)
{
  double each
      = model->layer_mb + tokens * model->kv_mb_per_token / model->layers;
  double n = floor (card->memory_mb / each);

  return n < 0 ? 0 : (unsigned)MIN (n, (double)model->layers);
}

double
mq_layer_plan_token_capacity (const mq_layered_model *model,
                              const mq_card *card, unsigned n_layers)
{
  double left = card->memory_mb - n_layers * model->layer_mb;

  if (n_layers == 0 || left <= 0 || model->kv_mb_per_token <= 0)
    return 0;
  return left / (model->kv_mb_per_token / model->layers * n_layers);
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

/* How many engines hold each layer; free with g_free.  */
unsigned *
mq_plan_domain_cover (const mq_plan_domain *domain)
{
  unsigned *cover = g_new0 (unsigned, domain->model->layers + 1);

  for (guint i = 0; i < domain->engines->len; i++)
    cover_add (cover, domain->model, mq_plan_domain_engine (domain, i)->range);
  return cover;
}

/* Does everything in RANGE stand N times in COVER?  */
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

/* Is ENGINE a better spare than OTHER (NULL: none)?  One through which nothing
   passes can take other layers at once; among equals the smallest goes.  */
static bool
engine_is_better_spare (const mq_plan_engine *engine,
                        const mq_plan_engine *other)
{
  if (other == NULL)
    return true;
  if (engine->holder->used != other->holder->used)
    return !engine->holder->used;
  return mq_plan_range_size (engine->range)
         < mq_plan_range_size (other->range);
}

/* Mark the spares: those that hold nothing, and then one after the other
   those whose layers stand once more than there are chains, without the spares
   so far.  */
void
mq_plan_domain_mark_spares (mq_plan_domain *domain)
{
  unsigned *cover = mq_plan_domain_confirmed_cover (domain);
  mq_plan_engine *next;

  for (guint i = 0; i < domain->engines->len; i++)
    {
      mq_plan_engine *e = mq_plan_domain_engine (domain, i);

      e->spare = mq_plan_range_size (e->range) == 0 && !e->holder->fixed;
    }
  do
    {
      next = NULL;
      for (guint i = 0; i < domain->engines->len; i++)
        {
          mq_plan_engine *e = mq_plan_domain_engine (domain, i);

          if (!e->spare && !e->holder->fixed
              && !(domain->settling && e->holder->used)
              && mq_plan_range_size (e->range) > 0
              && mq_plan_cover_is_at_least (cover, e->range,
                                            domain->chains + 1)
              && engine_is_better_spare (e, next))
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

/* Append the runs of layers that stand less than N times in COVER.  */
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

/* The chain that the fastest COUNT engines of PART make, at its level.  */
static mq_chain_rate_input
chain_rate_input_for (const mq_plan_domain *part, guint count)
{
  mq_chain_rate_input f
      = { .engines = count,
          .tokens = mq_plan_domain_token_level (part, count) };
  unsigned left = part->model->layers;

  for (guint i = 0; i < count && left > 0; i++)
    {
      const mq_plan_engine *e = mq_plan_domain_engine (part, i);
      unsigned n = MIN (mq_plan_engine_max_layers (part, e, f.tokens), left);
      double share = (double)n / part->model->layers;

      f.step_factor += share * e->holder->card->step_factor;
      f.prefill_factor += share * e->holder->card->prefill_factor;
      left -= n;
    }
  return f;
}

/* Is the chain of FACTS, of fewer engines, as good as one that sustains BEST?
   It should carry its part of the load of a chain that is being repaired.  */
static bool
chain_rate_is_sufficient (const mq_plan_domain *part,
                          const mq_chain_rate_input *facts, double best)
{
  return facts->tokens >= MQ_PLAN_TARGET_TOKENS
         && mq_chain_rate (part->model, facts) >= best * MIN_RATE_SHARE;
}

/* Tokens that the stages of a chain of PART should have memory for, MOST at
   most.  More engines mean more memory, yet the slow ones among them keep each
   request longer: beyond some number they lower what the chain sustains.
   Where all engines do not reach MOST, it stays the aim.  */
static double
chain_target_tokens (const mq_plan_domain *part, double most)
{
  guint engines = mq_plan_domain_engines_needed (part, most);
  GArray *facts = g_array_new (FALSE, FALSE, sizeof (mq_chain_rate_input));
  double best = 0;
  double target_tokens = most;

  for (guint i = 1; i <= engines; i++)
    {
      mq_chain_rate_input f = chain_rate_input_for (part, i);
      double rate = mq_chain_rate (part->model, &f);

      g_array_append_val (facts, f);
      if (rate <= best)
        continue;
      best = rate;
      target_tokens = f.tokens;
    }
  for (guint i = facts->len; i-- > 0;)
    {
      mq_chain_rate_input *f = &g_array_index (facts, mq_chain_rate_input, i);

      if (chain_rate_is_sufficient (part, f, best))
        target_tokens = MIN (target_tokens, f->tokens);
    }
  g_array_unref (facts);
  return MIN (target_tokens, most);
}

void
mq_plan_domain_size (mq_plan_domain *domain, unsigned before)
{
  double weights = domain->model->layers * domain->model->layer_mb;
  double memory = 0;
  double kv;
  mq_plan_domain part;

  for (guint i = 0; i < domain->engines->len; i++)
    memory += mq_plan_domain_engine (domain, i)->holder->card->memory_mb;
  domain->chains
      = mq_layer_plan_retained_chain_count (domain->model, memory, before);
  domain->target_tokens = MQ_PLAN_TARGET_TOKENS;
  if (domain->model->kv_mb_per_token <= 0)
    return;
  kv = memory / domain->chains * CHAIN_MEMORY_SHARE - weights;
  domain->target_tokens
      = MAX (domain->target_tokens, kv / domain->model->kv_mb_per_token);
  part = mq_plan_domain_chain_subset (domain, 0);
  domain->target_tokens = chain_target_tokens (&part, domain->target_tokens);
  g_array_unref (part.engines);
}

void
mq_plan_engine_move (mq_plan_engine *engine, mq_plan_range range)
{
  engine->range = range;
  engine->moved = true;
  engine->spare = false;
}
