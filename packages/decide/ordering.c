/* Ordering: see mq/ordering.h.

   The lease's news are fed to the orders and the orders' needs to the lease
   until neither has anything more to say; each round takes from one of two
   work lists, which hold what was not passed on yet.  */

#include <mq/ordering.h>

#include <string.h>

struct mq_ordering
{
  mq_lease *lease;
  mq_orders *orders;
  uint64_t fencing; /* As last told to the orders; 0: none.  */
  uint64_t until_us;
  GArray *lease_work; /* of mq_lease_action, not yet passed on  */
  GArray *order_work; /* of mq_orders_action, not yet passed on  */
};

static void
ordering_feed_orders (mq_ordering *ordering, const mq_orders_event *event)
{
  mq_orders_handle (ordering->orders, event, ordering->order_work);
}

static void
ordering_feed_lease (mq_ordering *ordering, mq_lease_event_kind kind,
                     uint64_t now_us)
{
  mq_lease_event event = { .kind = kind, .now_us = now_us };

  mq_lease_handle (ordering->lease, &event, ordering->lease_work);
}

/* Tell the orders of the lease as it stands.  */
static void
ordering_tell_lease (mq_ordering *ordering, uint64_t now_us, bool taken,
                     bool handed_over)
{
  mq_orders_event event = { .kind = MQ_ORDERS_LEASE, .now_us = now_us };

  ordering->fencing = mq_lease_fencing (ordering->lease, now_us);
  ordering->until_us = mq_lease_until (ordering->lease);
  if (ordering->fencing == 0)
    return;
  event.u.lease.fencing = ordering->fencing;
  event.u.lease.until_us = ordering->until_us;
  event.u.lease.taken = taken;
  event.u.lease.handed_over = handed_over;
  ordering_feed_orders (ordering, &event);
}

static void
ordering_lease_acted (mq_ordering *ordering, const mq_lease_action *action,
                      uint64_t now_us)
{
  mq_orders_event lost = { .kind = MQ_ORDERS_LEASE_LOST, .now_us = now_us };

  switch (action->kind)
    {
    case MQ_LEASE_HELD:
      ordering_tell_lease (ordering, now_us, true, action->handed_over);
      break;
    case MQ_LEASE_LOST:
      ordering->fencing = 0;
      ordering_feed_orders (ordering, &lost);
      break;
    case MQ_LEASE_READ:
    case MQ_LEASE_WRITE:
      break;
    }
}

/* Returns whether the action is for the outside.  */
static bool
ordering_orders_acted (mq_ordering *ordering, const mq_orders_action *action,
                       uint64_t now_us)
{
  switch (action->kind)
    {
    case MQ_ORDERS_NEED_LEASE:
      if (mq_lease_fencing (ordering->lease, now_us) != 0)
        ordering_tell_lease (ordering, now_us, false, false);
      else
        ordering_feed_lease (ordering, MQ_LEASE_WANT, now_us);
      return false;
    case MQ_ORDERS_IDLE:
      ordering->fencing = 0;
      ordering_feed_lease (ordering, MQ_LEASE_RELEASE, now_us);
      return false;
    case MQ_ORDERS_SEND:
      return mq_lease_fencing (ordering->lease, now_us) != 0;
    case MQ_ORDERS_READ:
    case MQ_ORDERS_REACHED:
    case MQ_ORDERS_STOPPED:
      break;
    }
  return true;
}

/* Take the first element of LIST into *ACTION; its strings come along.  */
static void
work_take (GArray *list, gpointer action)
{
  guint size = g_array_get_element_size (list);

  memcpy (action, list->data, size);
  memset (list->data, 0, size);
  g_array_remove_index (list, 0);
}

static void
ordering_settle (mq_ordering *ordering, uint64_t now_us, GArray *lease_actions,
                 GArray *order_actions)
{
  mq_lease_action la;
  mq_orders_action oa;

  while (ordering->lease_work->len > 0 || ordering->order_work->len > 0)
    if (ordering->lease_work->len > 0)
      {
        work_take (ordering->lease_work, &la);
        ordering_lease_acted (ordering, &la, now_us);
        g_array_append_val (lease_actions, la);
      }
    else
      {
        work_take (ordering->order_work, &oa);
        if (ordering_orders_acted (ordering, &oa, now_us))
          g_array_append_val (order_actions, oa);
        else
          mq_orders_action_clear (&oa);
      }
}

mq_ordering *
mq_ordering_new (const mq_ordering_options *options)
{
  mq_ordering *ordering = g_new0 (mq_ordering, 1);

  ordering->lease = mq_lease_new (&options->lease);
  ordering->orders = mq_orders_new (&options->orders);
  ordering->lease_work = mq_lease_actions_new ();
  ordering->order_work = mq_orders_actions_new ();
  return ordering;
}

void
mq_ordering_free (mq_ordering *ordering)
{
  if (ordering == NULL)
    return;
  mq_lease_free (ordering->lease);
  mq_orders_free (ordering->orders);
  g_array_unref (ordering->lease_work);
  g_array_unref (ordering->order_work);
  g_free (ordering);
}

void
mq_ordering_handle (mq_ordering *ordering, const mq_ordering_event *event,
                    GArray *lease_actions, GArray *order_actions)
{
  uint64_t now_us = 0;

  switch (event->kind)
    {
    case MQ_ORDERING_LEASE:
      now_us = event->u.lease.now_us;
      mq_lease_handle (ordering->lease, &event->u.lease, ordering->lease_work);
      break;
    case MQ_ORDERING_ORDERS:
      now_us = event->u.orders.now_us;
      ordering_feed_orders (ordering, &event->u.orders);
      break;
    }
  ordering_settle (ordering, now_us, lease_actions, order_actions);
  if (ordering->fencing != 0
      && mq_lease_until (ordering->lease) != ordering->until_us)
    {
      ordering_tell_lease (ordering, now_us, false, false);
      ordering_settle (ordering, now_us, lease_actions, order_actions);
    }
}

void
mq_ordering_tick (mq_ordering *ordering, uint64_t now_us,
                  GArray *lease_actions, GArray *order_actions)
{
  mq_ordering_event event = { .kind = MQ_ORDERING_LEASE };

  event.u.lease.kind = MQ_LEASE_TICK;
  event.u.lease.now_us = now_us;
  mq_ordering_handle (ordering, &event, lease_actions, order_actions);
  event = (mq_ordering_event){ .kind = MQ_ORDERING_ORDERS };
  event.u.orders.kind = MQ_ORDERS_TICK;
  event.u.orders.now_us = now_us;
  mq_ordering_handle (ordering, &event, lease_actions, order_actions);
}

uint64_t
mq_ordering_next_tick (const mq_ordering *ordering)
{
  return MIN (mq_lease_next_tick (ordering->lease),
              mq_orders_next_tick (ordering->orders));
}

uint64_t
mq_ordering_fencing (const mq_ordering *ordering, uint64_t now_us)
{
  return mq_lease_fencing (ordering->lease, now_us);
}

uint32_t
mq_ordering_pending (const mq_ordering *ordering)
{
  return mq_orders_pending (ordering->orders);
}
