/* Layer plans: see mq/layer_plan.h.

   A failure domain has one chain or, with enough memory, several.  For each
   domain:
   1. Gaps are filled by spares: engines that hold nothing, then engines whose
      layers others hold as well.  All gaps are filled at the same, highest
      possible level.  When no level suffices, the neighbours of a gap take
      more layers than they should, or all layers are reassigned.
   2. An engine that holds too many layers for its memory, after an earlier
      repair, passes the excess to spares, and releases it once they hold it.
   3. The remaining spares hold a second copy of the largest range that has
      none, so that a whole path is left when any one engine fails.

   Step 1 is in layer_repair.c, steps 2 and 3 are in layer_spares.c.  */

#include <mq/internal/layer_plan.h>

/* How long the set of engines must not change before engines in use are moved.
   A successor registers shortly after the engine that it replaces began to
   drain, and the store's watch adds a similar delay.  */
#define SETTLE_US ((uint64_t)500 * 1000)
/* Limit of that wait while layers are missing, since engines may keep joining
   and leaving.  */
#define MAX_SETTLE_US ((uint64_t)3000 * 1000)

/* The state of one failure domain between rounds.  */
typedef struct plan_domain_state
{
  uint64_t engine_set_hash;      /* Hash of the set of engines.  */
  uint64_t changed_us;           /* Last change of that hash.  */
  uint64_t gaps_since_us;        /* When gaps appeared; 0: there are none.  */
  const mq_layered_model *model; /* The model of CHAINS; only compared.  */
  unsigned chains;               /* As in mq_plan_domain; 0: not yet set.  */
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

/* Set the size of DOMAIN from STATE.  It is computed again, which is costly,
   only when the set of engines or the model changed.  */
static void
state_size_domain (plan_domain_state *state, mq_plan_domain *domain,
                   uint64_t now_us)
{
  uint64_t engine_set_hash = domain->engines->len;

  for (guint i = 0; i < domain->engines->len; i++)
    engine_set_hash += mq_hash_mix (
        0, (uintptr_t)mq_plan_domain_engine (domain, i)->holder->user);
  if (engine_set_hash != state->engine_set_hash
      || domain->model != state->model)
    {
      mq_plan_domain_size (domain, state->chains);
      state->chains = domain->chains;
      state->target_tokens = domain->target_tokens;
      state->model = domain->model;
    }
  if (engine_set_hash != state->engine_set_hash)
    state->changed_us = now_us;
  state->engine_set_hash = engine_set_hash;
  domain->chains = state->chains;
  domain->target_tokens = state->target_tokens;
}

/* Returns true if engines in use should not be moved yet.  HAS_GAPS is true if
   there are gaps.  */
static bool
state_is_settling (plan_domain_state *state, bool has_gaps, uint64_t now_us)
{
  if (!has_gaps)
    state->gaps_since_us = 0;
  else if (state->gaps_since_us == 0)
    state->gaps_since_us = now_us;
  return now_us < state->changed_us + SETTLE_US
         && (!has_gaps || now_us < state->gaps_since_us + MAX_SETTLE_US);
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

/* Compares pointers to elements of one array of holders, by domain and then by
   index.  */
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

/* Plan for the domain whose holders are the N HOLDERS.  */
static void
plan_domain (mq_layer_plan *plan, const mq_layered_model *model,
             mq_layer_holder **holders, guint n, uint64_t now_us,
             GArray *orders)
{
  mq_plan_domain d
      = { .model = model,
          .engines = g_array_new (FALSE, FALSE, sizeof (mq_plan_engine)),
          .visits = &plan->visits };

  for (guint i = 0; i < n; i++)
    {
      mq_plan_engine e = { .holder = holders[i],
                           .range = mq_layered_model_range (
                               model, holders[i]->first, holders[i]->end) };

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
  plan->visits = 0;
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
