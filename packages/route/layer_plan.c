/* Which engine should hold which layers: see mq/layer_plan.h.

   For each failure domain, which has one chain or, with much memory, several:
   1. Layers that a chain lacks are gaps.  They are filled by spares: engines
      that hold nothing, and then those whose layers others hold as well.  All
      gaps are filled at one level, the most tokens that every stage keeps
      memory for; only where no level reaches do neighbours of a gap hold more
      than they should, or are all layers laid out anew.
   2. An engine that holds too many layers for its memory, from an earlier
      repair, gives the excess to spares, and lets go of it once they hold it.
   3. Spares that are left hold a second copy of the range whose loss would
      cost most, so that the loss of any one engine finds a whole path.

   1 is layer_repair.c, 2 and 3 are layer_spares.c.  */

#include <mq/internal/layer_plan.h>

/* A successor registers a moment after the engine that it replaces began to
   drain, and the store takes as long to tell of it.  */
#define SETTLE_US ((uint64_t)500 * 1000)
/* Engines may come and go for long.  */
#define MAX_SETTLE_US ((uint64_t)3000 * 1000)

/* What is remembered of a failure domain.  */
typedef struct plan_domain_state
{
  uint64_t members;       /* Hash of the engines that were there.  */
  uint64_t changed_us;    /* Since when just these.  */
  uint64_t gaps_since_us; /* Since when layers are missing; 0: none are.  */
  const mq_layered_model *model; /* Of which it was sized; never read.  */
  unsigned chains;               /* That it is to hold; 0: not known yet.  */
  double target_tokens;          /* As in mq_plan_domain.  */
} plan_domain_state;

static bool
domain_holds_nothing (const mq_plan_domain *domain)
{
  for (guint i = 0; i < domain->engines->len; i++)
    if (mq_plan_range_size (mq_plan_domain_engine (domain, i)->range) > 0)
      return false;
  return true;
}

/* Size DOMAIN, which costs a look at each number of its engines, or recall its
   size as long as the same engines hold the same model.  */
static void
state_size_domain (plan_domain_state *state, mq_plan_domain *domain,
                   uint64_t now_us)
{
  uint64_t members = domain->engines->len;

  for (guint i = 0; i < domain->engines->len; i++)
    members += mq_hash_mix (
        0, (uintptr_t)mq_plan_domain_engine (domain, i)->holder->user);
  if (members != state->members || domain->model != state->model)
    {
      mq_plan_domain_size (domain, state->chains);
      state->chains = domain->chains;
      state->target_tokens = domain->target_tokens;
      state->model = domain->model;
    }
  if (members != state->members)
    state->changed_us = now_us;
  state->members = members;
  domain->chains = state->chains;
  domain->target_tokens = state->target_tokens;
}

/* MISSING: layers are.  Is it time to wait and see?  */
static bool
state_is_settling (plan_domain_state *state, bool missing, uint64_t now_us)
{
  if (!missing)
    state->gaps_since_us = 0;
  else if (state->gaps_since_us == 0)
    state->gaps_since_us = now_us;
  return now_us < state->changed_us + SETTLE_US
         && (!missing || now_us < state->gaps_since_us + MAX_SETTLE_US);
}

static void
domain_plan_layers (mq_plan_domain *domain, plan_domain_state *state,
                    uint64_t now_us)
{
  GArray *gaps;

  g_array_sort (domain->engines, mq_plan_engine_compare);
  state_size_domain (state, domain, now_us);
  if (domain_holds_nothing (domain))
    mq_plan_domain_assign_all (domain);
  gaps = mq_plan_domain_gaps (domain, domain->chains);
  domain->settling = state_is_settling (state, gaps->len > 0, now_us);
  mq_plan_domain_mark_spares (domain);
  if (gaps->len > 0)
    mq_plan_domain_repair (domain, gaps);
  else
    mq_plan_domain_use_spares (domain);
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

static plan_domain_state *
plan_domain_state_of (mq_layer_plan *plan, mq_span domain)
{
  char *name = g_strndup (domain.size > 0 ? domain.data : "", domain.size);
  plan_domain_state *m = g_hash_table_lookup (plan->domains, name);

  if (m != NULL)
    {
      g_free (name);
      return m;
    }
  m = g_new0 (plan_domain_state, 1);
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
      = { .model = model,
          .engines = g_array_new (FALSE, FALSE, sizeof (mq_plan_engine)) };

  for (guint i = 0; i < n; i++)
    {
      mq_plan_engine e = { .holder = holders[i],
                           .range = { holders[i]->first, holders[i]->end } };

      if (holders[i]->card != NULL)
        g_array_append_val (d.engines, e);
    }
  domain_plan_layers (&d, plan_domain_state_of (plan, holders[0]->domain),
                      now_us);
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
mq_layer_plan_compute (mq_layer_plan *plan, const mq_layered_model *model,
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
