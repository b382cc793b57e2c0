/* Orders to one engine: see mq/layer_order.h.  */

#include <mq/layer_order.h>

/* Beside the load itself: the order's delivery, a report's lag and the store's
   notice of it.  */
#define ORDER_SLACK_US ((uint64_t)1500 * 1000)
/* Loads take longer while others load too.  */
#define MAX_LOAD_FACTOR 2
#define US_PER_S 1e6

/* An engine that refused an order gets none for so long: what it does just
   now, a load or the wait for requests that pass, takes a second or some.  */
#define REFUSED_HOLD_US ((uint64_t)1000 * 1000)

/* One that says that it is busy gets none for so long, and is asked again
   meanwhile; so one that can't be asked any more is not waited for.  */
#define BUSY_HOLD_US ((uint64_t)1000 * 1000)

/* What passes through an engine ends within this, nearly always: a long stream
   under full load.  */
#define REQUEST_DRAIN_US ((uint64_t)7000 * 1000)

/* Has an order to ENGINE not been reported as done yet?  */
static bool
order_is_open (const mq_upstream *engine)
{
  const mq_upstream_facts *f = &engine->facts;

  return engine->ordered_us > 0
         && (f->layer_first != engine->ordered_first
             || f->layer_end != engine->ordered_end);
}

/* Is the order to ENGINE open for longer than its load should take?  An
   engine that gives up layers first waits for what passes through them.  So it
   is asked, and gets no other order until it
   says that nothing is under way; meanwhile others may get those layers.  */
static bool
order_is_overdue (const mq_upstream *engine, const mq_layered_model *model,
                  uint64_t now_us)
{
  double share
      = (double)(engine->ordered_end - engine->ordered_first) / model->layers;
  uint64_t load
      = (uint64_t)(model->load_s * share * US_PER_S) * MAX_LOAD_FACTOR
        + ORDER_SLACK_US;

  return now_us >= engine->ordered_us + load;
}

void
mq_layer_order_sent (mq_upstream *engine, unsigned first, unsigned end,
                     uint64_t now_us)
{
  engine->ordered_us = now_us;
  engine->ordered_first = first;
  engine->ordered_end = end;
}

void
mq_layer_order_mark_unknown (mq_upstream *engine, uint64_t now_us)
{
  engine->orders_unknown = true;
  engine->orders_unknown_since_us = now_us;
}

bool
mq_layer_order_may_query (const mq_upstream *engine, uint64_t now_us)
{
  return engine->orders_unknown_since_us == 0
         || now_us >= engine->orders_unknown_since_us
                          + MQ_UPSTREAM_MAX_REPORT_LAG_US;
}

void
mq_layer_order_answered (mq_upstream *engine, mq_order_answer answer,
                         uint64_t now_us)
{
  switch (answer)
    {
    case MQ_ORDER_STARTED:
      engine->orders++;
      break;
    case MQ_ORDER_ALREADY_HELD:
      break;
    case MQ_ORDER_REFUSED:
      mq_layer_order_mark_unknown (engine, now_us);
      engine->ordered_us = 0;
      engine->no_order_until_us = now_us + REFUSED_HOLD_US;
      break;
    case MQ_ORDER_UNANSWERED:
      mq_layer_order_mark_unknown (engine, now_us);
      break;
    }
}

void
mq_layer_order_reported (mq_upstream *engine, uint64_t orders, bool busy,
                         uint64_t now_us)
{
  if (orders < engine->orders)
    return; /* Of before an order that it accepted.  */
  if (busy)
    engine->no_order_until_us = now_us + BUSY_HOLD_US;
  if (orders == engine->orders && !mq_layer_order_may_query (engine, now_us))
    return; /* Of before what put the count in doubt.  */
  /* The last order did not begin, or is over.  Should it still be carried out
     later, the count that it names is wrong by then or the engine does what
     was meant.  */
  if (engine->orders_unknown && orders == engine->orders && !busy)
    engine->ordered_us = 0;
  engine->orders = orders;
  engine->orders_unknown = false;
  if (!busy)
    engine->no_order_until_us = 0;
}

mq_layer_holder
mq_layer_order_view (mq_upstream *engine, const mq_layered_model *model,
                     uint64_t now_us, bool *ask)
{
  const mq_upstream_facts *f = &engine->facts;
  mq_layer_holder h
      = { .domain = mq_str_span (f->domain),
          .card = mq_layered_model_find_card (model, mq_str_span (f->card)),
          .first = f->layer_first,
          .end = f->layer_end,
          .fixed
          = now_us<engine->no_order_until_us, .used = engine->last_used_us> 0
            && now_us < engine->last_used_us + REQUEST_DRAIN_US,
          .user = engine };

  if (h.fixed)
    *ask = true;
  if (!order_is_open (engine))
    return h;
  h.fixed = true;
  if (order_is_overdue (engine, model, now_us))
    {
      engine->orders_unknown = true;
      *ask = true;
    }
  else
    {
      h.first = engine->ordered_first;
      h.end = engine->ordered_end;
      h.awaited = true;
    }
  return h;
}
