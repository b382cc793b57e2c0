/* The state of a router's orders to one engine to load layers, and the view of
   the engine that a layer plan is computed from.

   No I/O; times are passed in.  Invariants:
   - an engine with an open order gets no other: it would refuse that, and the
     record of the open one would be lost;
   - ordered layers count as held for as long as their load should take, and
     no longer: so two orders do not fill the same gap, and a failed order does
     not leave it open.  Time in which the weight store served other loads does
     not count, and an engine without layers that reports to be busy may take a
     few times as long: it has nothing to wait for, so it does load;
   - no order is sent while the count of orders that the engine accepted is
     uncertain, or before the engine ever answered: it is queried first;
   - a report describes the engine a few tenths of a second ago: it overrides
     nothing that the engine or the platform stated since.  */

#ifndef MQ_LAYER_ORDER_H
#define MQ_LAYER_ORDER_H

#include <mq/layer_plan.h>
#include <mq/upstream.h>

G_BEGIN_DECLS

/* What an engine answered to an order.  */
typedef enum mq_order_answer
{
  MQ_ORDER_STARTED,      /* It carries the order out.  */
  MQ_ORDER_ALREADY_HELD, /* It holds just these layers.  */
  MQ_ORDER_REFUSED,      /* Another is open, or the count is outdated.  */
  MQ_ORDER_UNANSWERED    /* No response; it may be carried out, also later.  */
} mq_order_answer;

/* How a layer plan regards an engine, by what the engine itself has said.  */
typedef enum mq_layer_standing
{
  MQ_LAYER_STANDING_PLANNED,     /* It is part of the plan.  */
  MQ_LAYER_STANDING_LEFT_OUT,    /* It gets no order, and holds nothing for the
                                    plan, until it answers.  */
  MQ_LAYER_STANDING_AWAITED,     /* Left out, and its answer is due.  */
  MQ_LAYER_STANDING_AWAITED_HELD /* The same, and by its entry it holds layers.
                                  */
} mq_layer_standing;

/* The standing of ENGINE in the plans for MODEL of a router that leads since
   LEADS_SINCE_US.  An engine that never answered is believed to hold what its
   entry says only if the entry is older than that: then other routers may use
   it, though this one does not reach it.  */
mq_layer_standing mq_layer_order_standing (const mq_upstream *engine,
                                           const mq_layered_model *model,
                                           uint64_t leads_since_us,
                                           uint64_t now_us);

/* Note that ENGINE was sent an order to hold layers [FIRST, END).  */
void mq_layer_order_sent (mq_upstream *engine, unsigned first, unsigned end,
                          uint64_t now_us);
/* Note that the open order to ENGINE, if there is one, did not advance for
   DELAY_US, as more loads were open than the weight store serves.  It may take
   longer by that much.  */
void mq_layer_order_delay (mq_upstream *engine, uint64_t delay_us);
/* Note the ANSWER of ENGINE.  Sets orders_unknown when the answer leaves the
   count of orders uncertain.  */
void mq_layer_order_answered (mq_upstream *engine, mq_order_answer answer,
                              uint64_t now_us);
/* Mark the count of orders of ENGINE as unknown: another router may have sent
   it orders until now.  */
void mq_layer_order_mark_unknown (mq_upstream *engine, uint64_t now_us);
/* Returns true if a report requested now is recent enough to settle the count
   of orders.  */
bool mq_layer_order_may_query (const mq_upstream *engine, uint64_t now_us);
/* Note the report of ENGINE that it accepted ORDERS orders so far, and with
   BUSY that one is open.  Ignored when it is outdated.  */
void mq_layer_order_reported (mq_upstream *engine, uint64_t orders, bool busy,
                              uint64_t now_us);

/* The view of ENGINE for a layer plan of MODEL; its user is ENGINE.  It holds
   nothing if the layers that it states are none of MODEL.  Sets *ASK when
   ENGINE should be queried for a report, and does not clear it.  */
mq_layer_holder mq_layer_order_view (mq_upstream *engine,
                                     const mq_layered_model *model,
                                     uint64_t now_us, bool *ask);

G_END_DECLS

#endif
