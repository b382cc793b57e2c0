/* Orders to one engine: see mq/layer_order.h.  */

#include <mq/layer_order.h>

#include <mq/routing.h>

/* Allowance beside the load itself for the delivery of the order, the lag of
   reports and the delay of the store's watch.  */
#define ORDER_SLACK_US ((uint64_t)1500 * 1000)
/* A load takes longer while other engines load too.  */
#define MAX_LOAD_FACTOR 2
#define US_PER_S 1e6
/* An engine is queried this long before its order is overdue, so that its
   report is there by then: requests for reports are 300 ms apart, and one
   takes at most as long.  */
#define ASK_AHEAD_US ((uint64_t)600 * 1000)
/* An engine that has only to load and reports to be busy may take this many
   times as long.  Beyond it, it counts as stuck.  */
#define MAX_BUSY_FACTOR 3

/* How long an engine that refused an order gets no other.  What keeps it busy,
   a load or the wait for requests that pass through it, takes about a second
   or more.  */
#define REFUSED_HOLD_US ((uint64_t)1000 * 1000)

/* How long an engine that reports to be busy gets no order.  It is queried
   again meanwhile.  The limit keeps an engine that no longer responds from
   being waited for.  */
#define BUSY_HOLD_US ((uint64_t)1000 * 1000)

/* An engine whose count of orders stays unknown for this long does not answer
   queries: it counts as fixed, so that others get its layers.  A new leader
   needs about a second to query some thousand engines.  */
#define UNKNOWN_HOLD_US ((uint64_t)3000 * 1000)

/* Requests that pass through an engine nearly always end within this time,
   that of a long stream under full load.  */
#define REQUEST_DRAIN_US ((uint64_t)7000 * 1000)

/* Returns true if ENGINE has not yet reported its last order as done.  */
static bool
order_is_open (const mq_upstream *engine)
{
  const mq_upstream_facts *f = &engine->facts;

  return engine->ordered_us > 0
         && (f->layer_first != engine->ordered_first
             || f->layer_end != engine->ordered_end);
}

/* How long the order to ENGINE may take.  */
static uint64_t
order_limit_us (const mq_upstream *engine, const mq_layered_model *model)
{
  double share
      = (double)(engine->ordered_end - engine->ordered_first) / model->layers;

  return (uint64_t)(model->load_s * share * US_PER_S) * MAX_LOAD_FACTOR
         + ORDER_SLACK_US;
}

/* Returns true if ENGINE only has to load what was ordered, and reported a
   moment ago that it does.  */
static bool
order_is_loading (const mq_upstream *engine, uint64_t now_us)
{
  return engine->facts.layer_first >= engine->facts.layer_end
         && now_us < engine->no_order_until_us;
}

/* Returns true if the order to ENGINE has been open for longer than its load
   should take.  An engine that releases layers first waits for the requests
   that pass through them.  So an overdue engine is queried, and gets no other
   order until it reports that none is open; meanwhile other engines may be
   ordered to hold its layers.  */
static bool
order_is_overdue (const mq_upstream *engine, const mq_layered_model *model,
                  uint64_t now_us)
{
  uint64_t limit_us = order_limit_us (engine, model);

  if (order_is_loading (engine, now_us))
    limit_us *= MAX_BUSY_FACTOR;
  return now_us >= engine->ordered_us + limit_us;
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
mq_layer_order_delay (mq_upstream *engine, uint64_t delay_us)
{
  if (order_is_open (engine))
    engine->ordered_us += delay_us;
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
    return; /* Older than an order that it accepted.  */
  if (busy)
    engine->no_order_until_us = now_us + BUSY_HOLD_US;
  if (orders == engine->orders && !mq_layer_order_may_query (engine, now_us))
    return; /* Possibly older than what made the count uncertain.  */
  /* The last order was not carried out, or is done.  If it still arrives
     later, the engine either refuses it, as the count that it carries is
     outdated, or does what was ordered.  */
  if (engine->orders_unknown && orders == engine->orders && !busy)
    engine->ordered_us = 0;
  engine->orders = orders;
  engine->orders_unknown = false;
  if (!busy)
    engine->no_order_until_us = 0;
}

mq_layer_standing
mq_layer_order_standing (const mq_upstream *engine,
                         const mq_layered_model *model,
                         uint64_t leads_since_us, uint64_t now_us)
{
  mq_layer_range held = mq_layered_model_range (
      model, engine->facts.layer_first, engine->facts.layer_end);
  bool holds = held.first < held.end;
  bool known_before = engine->listed_us <= leads_since_us;

  switch (engine->proof)
    {
    case MQ_PROOF_ANSWERED:
      return MQ_LAYER_STANDING_PLANNED;
    case MQ_PROOF_LOST:
      return MQ_LAYER_STANDING_LEFT_OUT;
    case MQ_PROOF_NONE:
      if (now_us < MAX (engine->listed_us, leads_since_us) + UNKNOWN_HOLD_US)
        return holds ? MQ_LAYER_STANDING_AWAITED_HELD
                     : MQ_LAYER_STANDING_AWAITED;
      break;
    case MQ_PROOF_SILENT:
      break;
    }
  return holds && known_before ? MQ_LAYER_STANDING_PLANNED
                               : MQ_LAYER_STANDING_LEFT_OUT;
}

mq_layer_holder
mq_layer_order_view (mq_upstream *engine, const mq_layered_model *model,
                     uint64_t now_us, bool *ask)
{
  const mq_upstream_facts *f = &engine->facts;
  mq_layer_range held
      = mq_layered_model_range (model, f->layer_first, f->layer_end);
  mq_layer_holder h = {
    .domain = mq_str_span (f->domain),
    .card = mq_layered_model_find_card (model, mq_str_span (f->card)),
    .first = held.first,
    .end = held.end,
    .fixed = now_us<engine->no_order_until_us, .used = engine->last_used_us> 0
             && now_us < engine->last_used_us + REQUEST_DRAIN_US,
    .user = engine,
    .loading = now_us < engine->no_order_until_us && !engine->orders_unknown
  };

  if (h.fixed)
    *ask = true;
  h.unknown = engine->orders_unknown;
  if (h.unknown && engine->ordered_us == 0
      && now_us >= engine->orders_unknown_since_us + UNKNOWN_HOLD_US)
    h.fixed = true;
  if (!order_is_open (engine))
    return h;
  h.fixed = true;
  if (now_us + ASK_AHEAD_US
      >= engine->ordered_us + order_limit_us (engine, model))
    *ask = true;
  if (order_is_overdue (engine, model, now_us))
    {
      engine->orders_unknown = true;
      *ask = true;
      h.loading = false;
    }
  else
    {
      held = mq_layered_model_range (model, engine->ordered_first,
                                     engine->ordered_end);
      h.first = held.first;
      h.end = held.end;
      h.awaited = true;
      h.loading = true;
    }
  return h;
}
