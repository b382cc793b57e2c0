/* Repair of layer ranges: see mq/internal/repair.h.  */

#include <mq/internal/repair.h>

/* A range is short if fewer than one in SHORT_DIVISOR of its configured
   engines is usable.  */
#define SHORT_DIVISOR 3
/* Minimum duration of a shortage before a repair: most engines restart by
   themselves.  */
#define SHORTAGE_SETTLE_US 2000000
/* Time for an ordered engine to report the range.  */
#define ORDER_TIMEOUT_US 60000000
/* Limit on pending orders over all ranges.  */
#define MAX_ORDERS 2

static void
shortage_clear (gpointer data)
{
  mq_shortage *s = data;

  mq_str_unref (s->model);
  mq_str_unref (s->engine);
}

void
mq_repairs_init (mq_repairs *repairs)
{
  repairs->shortages = g_array_new (FALSE, TRUE, sizeof (mq_shortage));
  g_array_set_clear_func (repairs->shortages, shortage_clear);
}

void
mq_repairs_finish (mq_repairs *repairs)
{
  g_array_unref (repairs->shortages);
}

/* A layer range that an engine holds or is configured to hold.  */
typedef struct layer_range
{
  uint32_t first;
  uint32_t end;
  uint32_t usable;     /* Usable engines that hold exactly this range.  */
  uint32_t configured; /* Engines that are configured for it.  */
} layer_range;

static layer_range *
ranges_get (GArray *ranges, uint32_t first, uint32_t end)
{
  layer_range r = { first, end, 0, 0 };

  for (guint i = 0; i < ranges->len; i++)
    {
      layer_range *known = &g_array_index (ranges, layer_range, i);

      if (known->first == first && known->end == end)
        return known;
    }
  g_array_append_val (ranges, r);
  return &g_array_index (ranges, layer_range, ranges->len - 1);
}

static GArray *
model_ranges (const mq_model_state *m, uint64_t now_us)
{
  GArray *ranges = g_array_new (FALSE, FALSE, sizeof (layer_range));

  for (guint i = 0; i < m->engines->len; i++)
    {
      const mq_engine_state *e = m->engines->pdata[i];

      ranges_get (ranges, e->config_first, e->config_end)->configured++;
      if (mq_engine_state_is_usable (e, now_us))
        ranges_get (ranges, e->first, e->end)->usable++;
    }
  return ranges;
}

static bool
range_is_short (const layer_range *r)
{
  return r->usable * SHORT_DIVISOR < r->configured;
}

/* Returns the engine that can be spared most easily: one of the range with the
   most usable engines, and among those the one with the fewest attempts in
   flight.  Returns NULL if no engine can be spared.  TRIED is not
   considered.  */
static mq_engine_state *
range_find_spare (const layer_range *wanted, GArray *ranges,
                  const mq_model_state *m, const mq_str *tried,
                  uint64_t now_us)
{
  uint32_t usable_here = wanted->usable;
  mq_engine_state *best = NULL;
  uint32_t best_usable = 0;

  for (guint i = 0; i < m->engines->len; i++)
    {
      mq_engine_state *e = m->engines->pdata[i];
      uint32_t usable_there;

      if (!mq_engine_state_is_usable (e, now_us)
          || (tried != NULL
              && mq_span_equal (mq_str_span (tried), mq_str_span (e->name))))
        continue;
      usable_there = ranges_get (ranges, e->first, e->end)->usable;
      /* The move must leave the spare engine's range better off than WANTED.
         This also excludes WANTED's own engines.  */
      if (usable_there < usable_here + 2)
        continue;
      if (best == NULL || usable_there > best_usable
          || (usable_there == best_usable && e->in_flight < best->in_flight))
        {
          best = e;
          best_usable = usable_there;
        }
    }
  return best;
}

static mq_shortage *
repairs_find (mq_repairs *r, const mq_model_state *m, uint32_t first,
              uint32_t end)
{
  for (guint i = 0; i < r->shortages->len; i++)
    {
      mq_shortage *s = &g_array_index (r->shortages, mq_shortage, i);

      if (s->first == first && s->end == end
          && mq_span_equal (mq_str_span (s->model), mq_str_span (m->name)))
        return s;
    }
  return NULL;
}

static mq_shortage *
repairs_add (mq_repairs *r, const mq_model_state *m, uint32_t first,
             uint32_t end, uint64_t now_us)
{
  mq_shortage s = { .model = mq_str_ref (m->name),
                    .first = first,
                    .end = end,
                    .since_us = now_us };

  g_array_append_val (r->shortages, s);
  return &g_array_index (r->shortages, mq_shortage, r->shortages->len - 1);
}

static uint32_t
repairs_count_orders (const mq_repairs *r, uint64_t now_us)
{
  uint32_t n = 0;

  for (guint i = 0; i < r->shortages->len; i++)
    {
      const mq_shortage *s = &g_array_index (r->shortages, mq_shortage, i);

      n += s->engine != NULL && now_us < s->until_us;
    }
  return n;
}

static void
shortage_append_action (const mq_shortage *s, const mq_model_state *m,
                        mq_planner_action_kind kind, GArray *actions)
{
  mq_planner_action a = { .kind = kind };

  a.u.repair.engine = mq_str_ref (s->engine);
  a.u.repair.model = mq_str_ref (m->name);
  a.u.repair.version = mq_str_ref (m->version);
  a.u.repair.first = s->first;
  a.u.repair.end = s->end;
  g_array_append_val (actions, a);
}

/* Returns true if the ordered engine may still report the range.  An engine
   that is down may not, so that another is ordered at once.  */
static bool
shortage_is_pending (const mq_shortage *s, const mq_model_state *m,
                     uint64_t now_us)
{
  if (s->engine == NULL || now_us >= s->until_us)
    return false;
  for (guint i = 0; i < m->engines->len; i++)
    {
      const mq_engine_state *e = m->engines->pdata[i];

      if (mq_span_equal (mq_str_span (e->name), mq_str_span (s->engine)))
        return !e->down;
    }
  return false;
}

static void
shortage_order (mq_shortage *s, mq_engine_state *e, const mq_model_state *m,
                uint64_t now_us, GArray *actions)
{
  if (s->engine != NULL)
    shortage_append_action (s, m, MQ_PLANNER_CANCEL_REPAIR, actions);
  mq_str_unref (s->engine);
  s->engine = mq_str_ref (e->name);
  s->until_us = now_us + ORDER_TIMEOUT_US;
  e->reserved_until_us = s->until_us;
  shortage_append_action (s, m, MQ_PLANNER_REPAIR, actions);
}

/* Removes the shortages of MODEL that have ended.  */
static void
repairs_remove_ended (mq_repairs *r, const mq_model_state *m, GArray *actions)
{
  for (guint i = r->shortages->len; i-- > 0;)
    {
      mq_shortage *s = &g_array_index (r->shortages, mq_shortage, i);

      if (!s->is_short
          && mq_span_equal (mq_str_span (s->model), mq_str_span (m->name)))
        {
          if (s->engine != NULL)
            shortage_append_action (s, m, MQ_PLANNER_CANCEL_REPAIR, actions);
          g_array_remove_index (r->shortages, i);
        }
      else
        s->is_short = false;
    }
}

static void
repairs_review_range (mq_repairs *r, const mq_model_state *m,
                      const layer_range *wanted, GArray *ranges,
                      uint64_t now_us, GArray *actions)
{
  mq_shortage *s = repairs_find (r, m, wanted->first, wanted->end);
  mq_engine_state *spare;

  if (s == NULL)
    s = repairs_add (r, m, wanted->first, wanted->end, now_us);
  s->is_short = true;
  if (now_us < s->since_us + SHORTAGE_SETTLE_US
      || shortage_is_pending (s, m, now_us)
      || repairs_count_orders (r, now_us) >= MAX_ORDERS)
    return;
  spare = range_find_spare (wanted, ranges, m, s->engine, now_us);
  if (spare != NULL)
    shortage_order (s, spare, m, now_us, actions);
}

void
mq_repairs_review (mq_repairs *repairs, const mq_model_state *model,
                   uint64_t now_us, GArray *actions)
{
  GArray *ranges = model_ranges (model, now_us);

  for (guint i = 0; i < ranges->len; i++)
    {
      layer_range wanted = g_array_index (ranges, layer_range, i);

      if (range_is_short (&wanted))
        repairs_review_range (repairs, model, &wanted, ranges, now_us,
                              actions);
    }
  repairs_remove_ended (repairs, model, actions);
  g_array_unref (ranges);
}
