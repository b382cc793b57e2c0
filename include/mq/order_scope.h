/* Order scopes: the orders to one set of engines, combined with the lease
   under which they are sent.

   A scope is the set of engines that one lease covers, such as those of a
   region.  The lease is requested when there is something to order and
   released when no order and no verification is left.  Every order is sent
   with the fencing token in force at that moment, or not at all.

   Pure: time is passed in, monotonic.  */

#ifndef MQ_ORDER_SCOPE_H
#define MQ_ORDER_SCOPE_H

#include <glib.h>
#include <mq/lease.h>
#include <mq/order.h>

G_BEGIN_DECLS

typedef enum mq_order_scope_event_kind
{
  MQ_ORDER_SCOPE_LEASE, /* For the lease: replies and ticks.  */
  MQ_ORDER_SCOPE_ORDERS /* For the orders: targets, replies and ticks.  */
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

/* Handles EVENT.  Actions on the lease's object are appended to LEASE_ACTIONS:
   the caller executes MQ_LEASE_READ and MQ_LEASE_WRITE and may log HELD and
   LOST.  Actions on engines are appended to ORDER_ACTIONS: the caller executes
   MQ_ORDERS_SEND and MQ_ORDERS_READ; REACHED and STOPPED are for the audit
   trail.  */
void mq_order_scope_handle (mq_order_scope *order_scope,
                            const mq_order_scope_event *event,
                            GArray *lease_actions, GArray *order_actions);

/* Sends a tick to the lease and to the orders.  */
void mq_order_scope_tick (mq_order_scope *order_scope, uint64_t now_us,
                          GArray *lease_actions, GArray *order_actions);

uint64_t mq_order_scope_next_tick (const mq_order_scope *order_scope);

/* Returns the fencing token in force at NOW_US, or 0.  */
uint64_t mq_order_scope_fencing (const mq_order_scope *order_scope,
                                 uint64_t now_us);

/* Number of targets that have not been reached.  */
uint32_t mq_order_scope_pending (const mq_order_scope *order_scope);

G_END_DECLS

#endif
