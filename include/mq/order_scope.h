/* Ordering: the orders of one scope, and the lease that they are given
   under, joined into one decision.

   A scope is what one holder orders about, such as the engines of a region.
   The lease is taken when there is something to order and given back when
   there is nothing left to do or to watch.  Every order goes out with the
   fencing token in force at that moment, or not at all.

   Pure: time is passed in, monotonic.  */

#ifndef MQ_ORDER_SCOPE_H
#define MQ_ORDER_SCOPE_H

#include <glib.h>
#include <mq/lease.h>
#include <mq/order.h>

G_BEGIN_DECLS

typedef enum mq_order_scope_event_kind
{
  MQ_ORDER_SCOPE_LEASE, /* Of the lease: replies and ticks.  */
  MQ_ORDER_SCOPE_ORDERS /* Of the orders: wants, replies and ticks.  */
} mq_order_scope_event_kind;

typedef struct mq_order_scope_event
{
  mq_order_scope_event_kind kind;
  union
  {
    mq_lease_event lease;
    mq_orders_event orders;
  } u;
} mq_order_scope_event;

typedef struct mq_order_scope_options
{
  mq_lease_options lease;
  mq_orders_options orders;
} mq_order_scope_options;

typedef struct mq_order_scope mq_order_scope;

mq_order_scope *mq_order_scope_new (const mq_order_scope_options *options);
void mq_order_scope_free (mq_order_scope *order_scope);

/* Take EVENT.  What is to be done with the lease's object is appended to
   LEASE_ACTIONS: only MQ_LEASE_READ and MQ_LEASE_WRITE call for work, HELD
   and LOST are for the log.  What is to be done with engines is appended to
   ORDER_ACTIONS: only MQ_ORDERS_SEND and MQ_ORDERS_READ call for work,
   REACHED and STOPPED are for the audit trail.  */
void mq_order_scope_handle (mq_order_scope *order_scope,
                            const mq_order_scope_event *event,
                            GArray *lease_actions, GArray *order_actions);

/* Let the clock move both on.  */
void mq_order_scope_tick (mq_order_scope *order_scope, uint64_t now_us,
                          GArray *lease_actions, GArray *order_actions);

uint64_t mq_order_scope_next_tick (const mq_order_scope *order_scope);

/* The fencing token in force at NOW_US, or 0.  */
uint64_t mq_order_scope_fencing (const mq_order_scope *order_scope,
                                 uint64_t now_us);

/* Wanted ends that have not been reached.  */
uint32_t mq_order_scope_pending (const mq_order_scope *order_scope);

G_END_DECLS

#endif
