/* The arrivals of a run: see schedule.h.  */

#include "schedule.h"

#include "bound.h"

#include <math.h>
#include <string.h>

/* When callers must have their answers, as a part of the run.  */
#define CLOSING_PART 0.8
/* What still comes after closing time, against the mean.  */
#define AFTER_CLOSING 0.2
/* How steeply a load piles up towards closing time.  */
#define CLOSING_POWER 3

static uint32_t
draw_range (GRand *rand, load_range range)
{
  if (range.min >= range.max)
    return range.min;
  return range.min
         + (uint32_t)g_rand_int_range (rand, 0,
                                       (gint32)(range.max - range.min + 1));
}

static uint32_t
draw_organisation (GRand *rand, const load_scenario *scenario)
{
  const GArray *list = scenario->organisations;
  double sum = 0;
  double at;

  for (guint i = 0; i < list->len; i++)
    sum += g_array_index (list, load_organisation, i).share;
  at = g_rand_double (rand) * sum;
  for (guint i = 0; i < list->len; i++)
    {
      at -= g_array_index (list, load_organisation, i).share;
      if (at < 0)
        return i;
    }
  return list->len - 1;
}

/* The rate of KIND at PART of the run, against its mean.  */
static double
shape_rate (const load_kind *kind, double part)
{
  double p;

  switch (kind->shape)
    {
    case LOAD_POISSON:
      return 1;
    case LOAD_CLOSING:
      if (part >= CLOSING_PART)
        return AFTER_CLOSING;
      /* From a base to the peak, the base such that the mean is near 1.  */
      p = pow (part / CLOSING_PART, CLOSING_POWER);
      return kind->peak * p
             + (1 - p) * MAX (0.1, (4 / CLOSING_PART - kind->peak) / 3);
    }
  return 1;
}

/* Requests a second of KIND over the run.  */
static double
kind_rate (const load_scenario *scenario, const load_kind *kind)
{
  const load_service *v
      = &g_array_index (scenario->services, load_service, kind->service);
  double capacity;
  double work;

  if (kind->factor <= 0 || v->kind != MQ_SERVICE_MODEL)
    return kind->per_s * scenario->factor;
  capacity = load_capacity (scenario, v->model, 0);
  work = load_work (scenario, v->model,
                    (kind->prompt_bytes.min + kind->prompt_bytes.max) / 2,
                    (kind->tokens.min + kind->tokens.max) / 2);
  return kind->factor * scenario->factor * capacity / work;
}

static load_item
draw_item (GRand *rand, const load_scenario *scenario, uint32_t k)
{
  const load_kind *kind = &g_array_index (scenario->kinds, load_kind, k);
  const load_service *v
      = &g_array_index (scenario->services, load_service, kind->service);
  load_item item = { .kind = k };
  const load_organisation *o;

  item.organisation = draw_organisation (rand, scenario);
  o = &g_array_index (scenario->organisations, load_organisation,
                      item.organisation);
  item.caller = (uint32_t)g_rand_int_range (rand, 0, (gint32)o->callers);
  item.deadline_ms = draw_range (rand, kind->deadline_ms);
  if (v->kind != MQ_SERVICE_MODEL)
    return item;
  item.prompt_bytes = draw_range (rand, kind->prompt_bytes);
  item.tokens = draw_range (rand, kind->tokens);
  item.work = load_work (scenario, v->model, item.prompt_bytes, item.tokens);
  return item;
}

/* Append the arrivals of kind K to ITEMS: a Poisson process at the highest
   rate, thinned to the shape.  */
static void
schedule_kind (GArray *items, const load_scenario *scenario, uint32_t k)
{
  const load_kind *kind = &g_array_index (scenario->kinds, load_kind, k);
  double top = kind->shape == LOAD_CLOSING ? MAX (kind->peak, 2) : 1;
  double rate = kind_rate (scenario, kind) * top;
  double duration = (double)scenario->duration_us / 1e6;
  GRand *rand
      = g_rand_new_with_seed ((guint32)mq_hash_mix (scenario->seed, k + 1));
  double t = 0;

  while (rate > 0)
    {
      load_item item;

      t -= log (1 - g_rand_double (rand)) / rate;
      if (t >= duration)
        break;
      item = draw_item (rand, scenario, k);
      item.at_us = (uint64_t)(t * 1e6);
      if (g_rand_double (rand) * top < shape_rate (kind, t / duration))
        g_array_append_val (items, item);
    }
  g_rand_free (rand);
}

static gint
item_compare (gconstpointer a, gconstpointer b)
{
  const load_item *x = a;
  const load_item *y = b;

  return (x->at_us > y->at_us) - (x->at_us < y->at_us);
}

GArray *
load_schedule_new (const load_scenario *scenario)
{
  GArray *items = g_array_new (FALSE, FALSE, sizeof (load_item));

  for (guint k = 0; k < scenario->kinds->len; k++)
    schedule_kind (items, scenario, k);
  g_array_sort (items, item_compare);
  for (guint i = 0; i < items->len; i++)
    g_array_index (items, load_item, i).number = i;
  return items;
}

GString *
load_prompt_new (const load_scenario *scenario, const load_item *item)
{
  const load_organisation *o = &g_array_index (
      scenario->organisations, load_organisation, item->organisation);
  const load_kind *k = &g_array_index (scenario->kinds, load_kind, item->kind);
  GString *prompt = g_string_sized_new (item->prompt_bytes + 64);
  uint32_t shared = MIN (item->prompt_bytes, 1024);

  while (prompt->len < shared)
    g_string_append_printf (prompt, "Instructions of %s for %s. ",
                            mq_str_cstr (o->name), mq_str_cstr (k->name));
  g_string_truncate (prompt, shared);
  g_string_append_printf (prompt, " Request %u: ", item->number);
  while (prompt->len < item->prompt_bytes)
    g_string_append (prompt, "unit report words ");
  return prompt;
}
