/* What one decision in gateway mode costs: finding a path, and computing a
   plan of layers after an engine loses its layers, at growing numbers of
   engines.

   Prints a line for each size: microseconds a decision, the median of several
   rounds.  Engines are of the users' cards, in failure domains of 13 engines
   at first, and then in five domains that grow.  */

#include <mq/layer_path.h>
#include <mq/layer_plan.h>

#include <stdio.h>
#include <stdlib.h>

#define LAYERS 80
#define DOMAIN_ENGINES 13
#define DOMAINS 5
#define MAX_ENGINES 12000
#define ROUNDS 41
#define PATHS_A_ROUND 20
#define MAX_PATHS 8

static const struct
{
  const char *name;
  double memory_mb;
  double pace;
} cards[] = { { "h100", 72000, 1.4 },
              { "a100s", 36000, 3.1 },
              { "l4", 21600, 16 },
              { "t4", 14400, 15 } };

/* The card of engine I of its domain: 1, 1, 5 and 6 of the kinds.  */
static const char *
engine_card (unsigned i)
{
  if (i == 0)
    return "h100";
  if (i == 1)
    return "a100s";
  return i < 7 ? "l4" : "t4";
}

static mq_routing *
bench_routing (void)
{
  mq_routing *r = mq_routing_new (1);
  mq_route_service s = { .name = mq_str_new (MQ_SPAN ("model")),
                         .model = { .layers = LAYERS,
                                    .layer_mb = 1750,
                                    .kv_mb_per_token = 0.59,
                                    .step_ms = 0.85 } };

  mq_layered_model_init (&s.model);
  for (size_t i = 0; i < G_N_ELEMENTS (cards); i++)
    {
      mq_card c = { mq_str_new (mq_span_from (cards[i].name)),
                    cards[i].memory_mb, cards[i].pace, 1 };

      g_array_append_val (s.model.cards, c);
    }
  g_array_append_val (r->services, s);
  mq_routing_seal (r);
  return r;
}

static void
bench_put (mq_registry *registry, const mq_layer_holder *holder, unsigned i)
{
  mq_upstream_facts f = { 0 };

  f.id = mq_str_printf ("i-%06u", i);
  f.service = mq_str_new (MQ_SPAN ("model"));
  f.address = mq_str_printf ("10.0.0.1:%u", i);
  f.domain = mq_str_new (holder->domain);
  f.card = mq_str_ref (holder->card->name);
  f.layer_first = holder->first;
  f.layer_end = holder->end;
  mq_registry_put (registry, &f, 0);
}

static int
compare_times (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return (x > y) - (x < y);
}

static double
median (double *times)
{
  qsort (times, ROUNDS, sizeof times[0], compare_times);
  return times[ROUNDS / 2];
}

/* Plan HOLDERS and apply the orders.  */
static void
plan_apply (const mq_layered_model *model, mq_layer_holder *holders, size_t n)
{
  GArray *orders = g_array_new (FALSE, FALSE, sizeof (mq_layer_order));
  mq_layer_plan plan;

  mq_layer_plan_init (&plan);
  mq_layer_plan_compute (&plan, model, holders, n, 0, orders);
  mq_layer_plan_finish (&plan);
  for (guint i = 0; i < orders->len; i++)
    {
      mq_layer_order *o = &g_array_index (orders, mq_layer_order, i);

      o->holder->first = o->first;
      o->holder->end = o->end;
    }
  g_array_unref (orders);
}

static double
time_paths (mq_registry *registry, const mq_route_service *service)
{
  double times[ROUNDS];

  for (int r = 0; r < ROUNDS; r++)
    {
      gint64 before = g_get_monotonic_time ();

      for (int i = 0; i < PATHS_A_ROUND; i++)
        {
          mq_layer_path p;

          (void)mq_layer_path_find (&p, registry, service, MQ_SPAN ("d0"), 1,
                                    NULL);
          mq_layer_path_finish (&p);
        }
      times[r] = (double)(g_get_monotonic_time () - before) / PATHS_A_ROUND;
    }
  return median (times);
}

/* The same for all paths of a domain, as for each request.  */
static double
time_all_paths (mq_registry *registry, const mq_route_service *service)
{
  double times[ROUNDS];

  for (int r = 0; r < ROUNDS; r++)
    {
      gint64 before = g_get_monotonic_time ();

      for (int i = 0; i < PATHS_A_ROUND; i++)
        {
          mq_layer_path paths[MAX_PATHS];
          size_t wanted
              = mq_layer_path_target_count (registry, service, MQ_SPAN ("d0"));
          size_t n
              = mq_layer_path_find_all (paths, MIN (wanted, MAX_PATHS),
                                        registry, service, MQ_SPAN ("d0"), 1);

          for (size_t k = 0; k < n; k++)
            mq_layer_path_finish (&paths[k]);
        }
      times[r] = (double)(g_get_monotonic_time () - before) / PATHS_A_ROUND;
    }
  return median (times);
}

static double
time_repairs (const mq_layered_model *model, const mq_layer_holder *holders,
              size_t n)
{
  double times[ROUNDS];
  mq_layer_holder *copy = g_new (mq_layer_holder, n);

  for (int r = 0; r < ROUNDS; r++)
    {
      gint64 before;

      for (size_t i = 0; i < n; i++)
        copy[i] = holders[i];
      copy[2].first = copy[2].end = 0; /* One holder lost its layers.  */
      before = g_get_monotonic_time ();
      plan_apply (model, copy, n);
      times[r] = (double)(g_get_monotonic_time () - before);
    }
  g_free (copy);
  return median (times);
}

/* Time decisions over N engines, of which each domain has DOMAIN_ENGINES.  */
static void
bench_size (const mq_route_service *service, unsigned n,
            unsigned domain_engines)
{
  mq_layer_holder *holders = g_new0 (mq_layer_holder, n);
  GPtrArray *names = g_ptr_array_new_with_free_func (g_free);
  mq_registry registry;

  mq_registry_init (&registry);
  for (unsigned i = 0; i < n; i++)
    {
      char *name = g_strdup_printf ("d%u", i / domain_engines);

      g_ptr_array_add (names, name);
      holders[i].domain = mq_span_from (name);
      holders[i].card = mq_layered_model_find_card (
          &service->model, mq_span_from (engine_card (i % DOMAIN_ENGINES)));
    }
  plan_apply (&service->model, holders, n);
  for (unsigned i = 0; i < n; i++)
    bench_put (&registry, &holders[i], i);
  (void)printf ("engines=%u domains=%u path_us=%.1f paths_us=%.1f "
                "repair_us=%.0f\n",
                n, (n + domain_engines - 1) / domain_engines,
                time_paths (&registry, service),
                time_all_paths (&registry, service),
                time_repairs (&service->model, holders, n));
  mq_registry_finish (&registry);
  g_ptr_array_unref (names);
  g_free (holders);
}

int
main (void)
{
  mq_routing *r = bench_routing ();
  const mq_route_service *s = mq_routing_find_service (r, MQ_SPAN ("model"));

  for (unsigned n = DOMAIN_ENGINES * 3; n <= MAX_ENGINES; n *= 3)
    bench_size (s, n, DOMAIN_ENGINES);
  for (unsigned n = DOMAIN_ENGINES * DOMAINS * 3; n <= MAX_ENGINES; n *= 2)
    bench_size (s, n, n / DOMAINS);
  mq_routing_unref (r);
  return 0;
}
