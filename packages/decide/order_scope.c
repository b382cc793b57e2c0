/* Order scopes: see mq/order_scope.h.

   Actions of the lease are handled as events by the orders and the other way
   round, until neither has actions left.  The two queues hold the actions that
   were not handled yet.  */

#include <mq/order_scope.h>

#include <string.h>

struct mq_order_scope
{
  mq_lease *lease;
  mq_orders *orders;
  uint64_t fencing; /* As last passed to the orders; 0: none.  */
  uint64_t until_us;
  GArray *lease_queue; /* of mq_lease_action, not yet handled  */
  GArray *order_queue; /* of mq_orders_action, not yet handled  */
};

static void
order_scope_feed_orders (mq_order_scope *order_scope,
                         const mq_orders_event *event)
{
  mq_orders_handle (order_scope->orders, event, order_scope->order_queue);
}

static void
order_scope_feed_lease (mq_order_scope *order_scope, mq_lease_event_kind kind,
                        uint64_t now_us)
{
  mq_lease_event event = { .kind = kind, .now_us = now_us };

  mq_lease_handle (order_scope->lease, &event, order_scope->lease_queue);
}

/* Passes the current lease to the orders.  */
static void
order_scope_pass_lease (mq_order_scope *order_scope, uint64_t now_us,
                        bool taken, bool handed_over)
{
  mq_orders_event event = { .kind = MQ_ORDERS_LEASE, .now_us = now_us };

  order_scope->fencing = mq_lease_fencing (order_scope->lease, now_us);
  order_scope->until_us = mq_lease_until (order_scope->lease);
  if (order_scope->fencing == 0)
    return;
  event.u.lease.fencing = order_scope->fencing;
  event.u.lease.until_us = order_scope->until_us;
  event.u.lease.taken = taken;
  event.u.lease.handed_over = handed_over;
  order_scope_feed_orders (order_scope, &event);
}

static void
order_scope_on_lease_action (mq_order_scope *order_scope,
                             const mq_lease_action *action, uint64_t now_us)
{
  mq_orders_event lost = { .kind = MQ_ORDERS_LEASE_LOST, .now_us = now_us };

  switch (action->kind)
    {
    case MQ_LEASE_HELD:
      order_scope_pass_lease (order_scope, now_us, true, action->handed_over);
      break;
    case MQ_LEASE_LOST:
      order_scope->fencing = 0;
      order_scope_feed_orders (order_scope, &lost);
      break;
    case MQ_LEASE_READ:
    case MQ_LEASE_WRITE:
      break;
    }
}

/* Returns true if the caller is to execute the action.  */
static bool
order_scope_on_orders_action (mq_order_scope *order_scope,
                              const mq_orders_action *action, uint64_t now_us)
{
  switch (action->kind)
    {
    case MQ_ORDERS_NEED_LEASE:
      if (mq_lease_fencing (order_scope->lease, now_us) != 0)
        order_scope_pass_lease (order_scope, now_us, false, false);
      else
        order_scope_feed_lease (order_scope, MQ_LEASE_REQUEST, now_us);
      return false;
    case MQ_ORDERS_IDLE:
      order_scope->fencing = 0;
      order_scope_feed_lease (order_scope, MQ_LEASE_RELEASE, now_us);
      return false;
    case MQ_ORDERS_SEND:
      return mq_lease_fencing (order_scope->lease, now_us) != 0;
    case MQ_ORDERS_READ:
    case MQ_ORDERS_REACHED:
    case MQ_ORDERS_STOPPED:
      break;
    }
  return true;
}

/* Moves the first element of LIST, with its strings, into *ACTION.  */
static void
queue_pop (GArray *list, gpointer action)
{
  guint size = g_array_get_element_size (list);

  memcpy (action, list->data, size);
  memset (list->data, 0, size);
  g_array_remove_index (list, 0);
}

static void
order_scope_run_queues (mq_order_scope *order_scope, uint64_t now_us,
                        GArray *lease_actions, GArray *order_actions)
{
  mq_lease_action la;
  mq_orders_action oa;

  while (order_scope->lease_queue->len > 0
         || order_scope->order_queue->len > 0)
    if (order_scope->lease_queue->len > 0)
      {
        queue_pop (order_scope->lease_queue, &la);
        order_scope_on_lease_action (order_scope, &la, now_us);
        g_array_append_val (lease_actions, la);
      }
    else
      {
        queue_pop (order_scope->order_queue, &oa);
        if (order_scope_on_orders_action (order_scope, &oa, now_us))
          g_array_append_val (order_actions, oa);
        else
          mq_orders_action_clear (&oa);
      }
}

mq_order_scope *
mq_order_scope_new (const mq_order_scope_options *options)
{
  mq_order_scope *order_scope = g_new0 (mq_order_scope, 1);

  order_scope->lease = mq_lease_new (&options->lease);
  order_scope->orders = mq_orders_new (&options->orders);
  order_scope->lease_queue = mq_lease_actions_new ();
  order_scope->order_queue = mq_orders_actions_new ();
  return order_scope;
}

void
mq_order_scope_free (mq_order_scope *order_scope)
{
  if (order_scope == NULL)
    return;
  mq_lease_free (order_scope->lease);
  mq_orders_free (order_scope->orders);
  g_array_unref (order_scope->lease_queue);
  g_array_unref (order_scope->order_queue);
  g_free (order_scope);
}

void
mq_order_scope_handle (mq_order_scope *order_scope,
                       const mq_order_scope_event *event,
                       GArray *lease_actions, GArray *order_actions)
{
  uint64_t now_us = 0;

  switch (event->kind)
    {
    case MQ_ORDER_SCOPE_LEASE:
      now_us = event->u.lease.now_us;
      mq_lease_handle (order_scope->lease, &event->u.lease,
                       order_scope->lease_queue);
      break;
    case MQ_ORDER_SCOPE_ORDERS:
      now_us = event->u.orders.now_us;
      order_scope_feed_orders (order_scope, &event->u.orders);
      break;
    }
  order_scope_run_queues (order_scope, now_us, lease_actions, order_actions);
  if (order_scope->fencing != 0
      && mq_lease_until (order_scope->lease) != order_scope->until_us)
    {
      order_scope_pass_lease (order_scope, now_us, false, false);
      order_scope_run_queues (order_scope, now_us, lease_actions,
                              order_actions);
    }
}

void
mq_order_scope_tick (mq_order_scope *order_scope, uint64_t now_us,
                     GArray *lease_actions, GArray *order_actions)
{
  mq_order_scope_event event = { .kind = MQ_ORDER_SCOPE_LEASE };

  event.u.lease.kind = MQ_LEASE_TICK;
  event.u.lease.now_us = now_us;
  mq_order_scope_handle (order_scope, &event, lease_actions, order_actions);
  event = (mq_order_scope_event){ .kind = MQ_ORDER_SCOPE_ORDERS };
  event.u.orders.kind = MQ_ORDERS_TICK;
  event.u.orders.now_us = now_us;
  mq_order_scope_handle (order_scope, &event, lease_actions, order_actions);
}

uint64_t
mq_order_scope_next_tick (const mq_order_scope *order_scope)
{
  return MIN (mq_lease_next_tick (order_scope->lease),
              mq_orders_next_tick (order_scope->orders));
}

uint64_t
mq_order_scope_fencing (const mq_order_scope *order_scope, uint64_t now_us)
{
  return mq_lease_fencing (order_scope->lease, now_us);
}

uint32_t
mq_order_scope_pending (const mq_order_scope *order_scope)
{
  return mq_orders_pending (order_scope->orders);
}
