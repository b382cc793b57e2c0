/* What is known of the orders of layers to one engine, and what the plan of
   layers makes of it.

   Pure; times come in with the calls.  Invariants:
   - an engine with an order under way gets no other: it would refuse, and
     what it was ordered would be forgotten;
   - what was ordered counts as held for as long as its load should take, and
     no longer, so that a gap is filled once, and not left to an order that
     came to nothing;
   - no order is given on a count of orders that is in doubt: the engine is
     asked first;
   - a report tells of what was some tenths of a second ago: it takes back
     nothing that the engine or the platform said since.  */

#ifndef MQ_LAYER_ORDER_H
#define MQ_LAYER_ORDER_H

#include <mq/layer_plan.h>
#include <mq/upstream.h>

G_BEGIN_DECLS

/* What an engine answered to an order.  */
typedef enum mq_order_answer
{
  MQ_ORDER_STARTED,      /* It carries the order out.  */
  MQ_ORDER_ALREADY_HELD, /* It holds just that.  */
  MQ_ORDER_REFUSED,      /* Another is under way, or the count is old.  */
  MQ_ORDER_UNANSWERED /* No answer came; it may be carried out, also late.  */
} mq_order_answer;

/* The engine is sent an order to hold [FIRST, END).  */
void mq_layer_order_sent (mq_upstream *engine, unsigned first, unsigned end,
                          uint64_t now_us);
/* It answered.  Where its count of orders is in doubt by now, orders_unknown
   is set.  */
void mq_layer_order_answered (mq_upstream *engine, mq_order_answer answer,
                              uint64_t now_us);
/* Another router may have ordered it until now.  */
void mq_layer_order_mark_unknown (mq_upstream *engine, uint64_t now_us);
/* Would a report asked for now settle the count?  */
bool mq_layer_order_may_query (const mq_upstream *engine, uint64_t now_us);
/* It said, being asked, how many orders it had accepted, and whether one is
   under way.  */
void mq_layer_order_reported (mq_upstream *engine, uint64_t orders, bool busy,
                              uint64_t now_us);

/* What the plan sees of ENGINE.  *ASK is set when it should be asked how it
   does, and left alone otherwise.  */
mq_layer_holder mq_layer_order_view (mq_upstream *engine,
                                     const mq_layered_model *model,
                                     uint64_t now_us, bool *ask);

G_END_DECLS

#endif
