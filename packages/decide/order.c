/* Orders: see mq/order.h.

   Each engine with a target goes through
     WAITING -> READING -> (SENDING -> WAITING -> READING)* -> REACHED
   where WAITING ends at a due time.  An order is sent only directly after a
   read that showed that it is needed, never on the basis of an old read.  */

#include <mq/order.h>

#include <mq/internal/defect.h>
#include <mq/internal/span_table.h>
#include <string.h>

#define US_PER_S 1000000

typedef enum order_state
{
  ORDER_WAITING,
  ORDER_READING,
  ORDER_SENDING,
  ORDER_REACHED
} order_state;

/* One engine and its target.  */
typedef struct order
{
  uint64_t id;
  mq_str *engine;
  mq_str *before; /* Content before the last order; NULL: none was sent.  */
  mq_str *model;
  mq_str *version;
  uint32_t first;
  uint32_t end;
  bool checks_fencing;
  uint64_t weight_bytes;
  order_state state;
  bool loading;  /* An order was sent and its target is not reached.  */
  bool reported; /* REACHED was pushed since the last order.  */
  uint64_t load_until_us; /* After that a load is ordered again.  */
  uint64_t due_us;
  uint64_t expires_us;       /* Removed then if it is not reached.  */
  uint64_t sent_fencing;     /* Fencing token of the last order sent.  */
  uint64_t accepted_fencing; /* Fencing token of the last order accepted.  */
} order;

struct mq_orders
{
  mq_orders_options options;
  uint64_t sequence;
  GHashTable *by_engine;     /* name -> order, owned  */
  GHashTable *by_id;         /* id -> order  */
  uint64_t fencing;          /* 0: no lease.  */
  uint64_t acquired_fencing; /* Token with which the lease was acquired.  */
  uint64_t until_us;
  uint64_t prior_orders_until_us; /* End of the time in which orders of earlier
                                     holders may arrive.  */
  uint64_t weight_store_free_us;  /* When the weight store has served the loads
                                     ordered so far.  */
  bool lease_requested;           /* NEED_LEASE was pushed.  */
};

static void
order_free (gpointer data)
{
  order *o = data;

  mq_str_unref (o->engine);
  mq_str_unref (o->before);
  mq_str_unref (o->model);
  mq_str_unref (o->version);
  g_free (o);
}

static order *
orders_find (const mq_orders *orders, mq_span engine)
{
  return mq_span_table_find (orders->by_engine, engine);
}

static void
orders_push (GArray *actions, mq_orders_action_kind kind, const order *o,
             const mq_orders *orders)
{
  mq_orders_action a = { .kind = kind };

  if (o != NULL)
    {
      a.order = o->id;
      a.engine = mq_str_ref (o->engine);
      a.before = mq_str_ref (o->before);
      a.model = mq_str_ref (o->model);
      a.version = mq_str_ref (o->version);
      a.first = o->first;
      a.end = o->end;
    }
  if (kind == MQ_ORDERS_SEND)
    {
      a.fencing = orders->fencing;
      a.until_us = orders->until_us;
    }
  g_array_append_val (actions, a);
}

static bool
orders_hold_lease (const mq_orders *orders, uint64_t now_us)
{
  if (mq_defect_enabled (MQ_DEFECT_LEASE_CLOCK_IGNORED))
    return orders->fencing != 0;
  return orders->fencing != 0 && now_us < orders->until_us;
}

static bool
order_matches (const order *o, const mq_order_holds *holds)
{
  return mq_span_equal (mq_str_span (o->model), holds->model)
         && mq_span_equal (mq_str_span (o->version), holds->version)
         && o->first == holds->first && o->end == holds->end;
}

/* Returns true if the engine rejects orders of earlier holders, or checks no
   tokens.  */
static bool
order_is_fenced (const mq_orders *orders, const order *o,
                 const mq_order_holds *holds)
{
  return !o->checks_fencing
         || MAX (o->accepted_fencing, holds->fencing)
                >= orders->acquired_fencing;
}

static void
order_wait (order *o, uint64_t due_us)
{
  o->state = ORDER_WAITING;
  o->due_us = due_us;
}

static uint32_t
orders_loading (const mq_orders *orders)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t n = 0;

  g_hash_table_iter_init (&iter, orders->by_engine);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const order *o = value;

      if (o->loading)
        n++;
    }
  return n;
}

/* Returns when an order may be sent; 0: now.  */
static uint64_t
orders_earliest_send_us (const mq_orders *orders, const order *o,
                         uint64_t now_us)
{
  uint32_t limit = orders->options.concurrent;

  if (!o->checks_fencing && orders->prior_orders_until_us > now_us)
    return orders->prior_orders_until_us;
  if (orders->weight_store_free_us > now_us)
    return orders->weight_store_free_us;
  if (limit > 0 && !o->loading && orders_loading (orders) >= limit)
    return now_us + orders->options.poll_interval_us;
  return 0;
}

static void
order_record_before (order *o, const mq_order_holds *holds)
{
  mq_str_unref (o->before);
  o->before
      = mq_str_printf ("%.*s %.*s [%u, %u)", MQ_SPAN_ARG (holds->model),
                       MQ_SPAN_ARG (holds->version), holds->first, holds->end);
}

static void
order_send (mq_orders *orders, order *o, const mq_order_holds *holds,
            uint64_t now_us, GArray *actions)
{
  uint64_t earliest_us = orders_earliest_send_us (orders, o, now_us);
  uint64_t rate = orders->options.bytes_per_s;

  if (earliest_us > 0)
    {
      order_wait (o, earliest_us);
      return;
    }
  if (rate > 0)
    orders->weight_store_free_us
        = now_us
          + (uint64_t)((double)o->weight_bytes / (double)rate * US_PER_S);
  o->state = ORDER_SENDING;
  o->due_us = now_us + orders->options.max_in_flight_us;
  order_record_before (o, holds);
  o->sent_fencing = orders->fencing;
  o->loading = true;
  if (o->reported)
    o->expires_us = now_us + orders->options.target_timeout_us;
  o->reported = false;
  o->load_until_us = now_us + orders->options.load_timeout_us;
  orders_push (actions, MQ_ORDERS_SEND, o, orders);
}

static void
order_read (const mq_orders *orders, order *o, uint64_t now_us,
            GArray *actions)
{
  o->state = ORDER_READING;
  o->due_us = now_us + orders->options.max_in_flight_us;
  orders_push (actions, MQ_ORDERS_READ, o, orders);
}

/* Handles the due time of O.  */
static void
order_on_due (const mq_orders *orders, order *o, uint64_t now_us,
              GArray *actions)
{
  if (o->state == ORDER_SENDING || o->state == ORDER_READING)
    {
      /* The reply timed out.  */
      order_wait (o, now_us + orders->options.poll_interval_us);
      return;
    }
  if (!o->checks_fencing && now_us < orders->prior_orders_until_us)
    o->due_us = orders->prior_orders_until_us;
  else
    order_read (orders, o, now_us, actions);
}

static void
order_reach (const mq_orders *orders, order *o, uint64_t now_us,
             GArray *actions)
{
  if (!o->reported)
    orders_push (actions, MQ_ORDERS_REACHED, o, orders);
  o->reported = true;
  o->loading = false;
  o->state = ORDER_REACHED;
  o->due_us = o->checks_fencing ? UINT64_MAX
                                : now_us + orders->options.verify_interval_us;
}

/* Removes the reached targets if REACHED, and those that expired by NOW_US. */
static void
orders_remove (mq_orders *orders, bool reached, uint64_t now_us)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, orders->by_engine);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const order *o = value;

      if (o->reported ? !reached : now_us < o->expires_us)
        continue;
      g_hash_table_remove (orders->by_id, &o->id);
      g_hash_table_iter_remove (&iter);
    }
}

static void
orders_lose_lease (mq_orders *orders)
{
  orders->fencing = 0;
  orders->until_us = 0;
  orders->lease_requested = false;
}

static void
order_on_read_reply (mq_orders *orders, order *o, const mq_orders_event *event,
                     GArray *actions)
{
  const mq_order_holds *holds = &event->u.holds.holds;
  uint64_t now_us = event->now_us;
  uint64_t next_poll_us = now_us + orders->options.poll_interval_us;

  if (!event->u.holds.known || !orders_hold_lease (orders, now_us))
    {
      order_wait (o, next_poll_us);
      return;
    }
  if (o->checks_fencing && holds->fencing > orders->fencing)
    {
      orders_lose_lease (orders);
      order_wait (o, next_poll_us);
      orders_push (actions, MQ_ORDERS_STOPPED, o, orders);
      return;
    }
  if (!order_matches (o, holds) || !order_is_fenced (orders, o, holds))
    order_send (orders, o, holds, now_us, actions);
  else if (!holds->loading)
    order_reach (orders, o, now_us, actions);
  else if (o->loading && now_us >= o->load_until_us)
    order_send (orders, o, holds, now_us, actions);
  else
    order_wait (o, next_poll_us);
}

static void
order_on_send_reply (mq_orders *orders, order *o, const mq_orders_event *event,
                     GArray *actions)
{
  order_wait (o, event->now_us + orders->options.poll_interval_us);
  if (event->u.sent.reply == MQ_ORDER_ACCEPTED)
    o->accepted_fencing = o->sent_fencing;
  if (event->u.sent.reply != MQ_ORDER_FENCED)
    return;
  o->loading = false;
  orders_lose_lease (orders);
  orders_push (actions, MQ_ORDERS_STOPPED, o, orders);
}

static void
orders_on_target (mq_orders *orders, const mq_orders_event *event)
{
  const mq_order_target *target = &event->u.target;
  order *o = orders_find (orders, target->engine);
  mq_order_holds same = { .model = target->model,
                          .version = target->version,
                          .first = target->first,
                          .end = target->end };

  if (o != NULL && o->state != ORDER_REACHED && order_matches (o, &same))
    return;
  if (o != NULL)
    {
      g_hash_table_remove (orders->by_id, &o->id);
      mq_span_table_remove (orders->by_engine, mq_str_span (o->engine));
    }
  o = g_new0 (order, 1);
  o->id = ++orders->sequence;
  o->engine = mq_str_new (target->engine);
  o->model = mq_str_new (target->model);
  o->version = mq_str_new (target->version);
  o->first = target->first;
  o->end = target->end;
  o->checks_fencing = target->checks_fencing;
  o->weight_bytes = target->weight_bytes;
  o->expires_us = event->now_us + orders->options.target_timeout_us;
  order_wait (o, event->now_us);
  mq_span_table_add (orders->by_engine, o->engine, o);
  g_hash_table_insert (orders->by_id, &o->id, o);
}

static void
orders_on_cancel (mq_orders *orders, mq_span engine)
{
  order *o = orders_find (orders, engine);

  if (o == NULL || o->sent_fencing != 0)
    return;
  g_hash_table_remove (orders->by_id, &o->id);
  mq_span_table_remove (orders->by_engine, mq_str_span (o->engine));
}

static void
orders_on_lease (mq_orders *orders, const mq_orders_event *event)
{
  orders->fencing = event->u.lease.fencing;
  orders->until_us = event->u.lease.until_us;
  orders->lease_requested = false;
  if (!event->u.lease.taken)
    return;
  orders->acquired_fencing = event->u.lease.fencing;
  orders->prior_orders_until_us
      = event->u.lease.handed_over
            ? event->now_us
            : event->now_us + orders->options.max_in_flight_us;
}

/* Returns true if the lease can be released: no target is left to reach or to
   verify, and no order of an earlier holder is in flight.  */
static bool
orders_is_idle (const mq_orders *orders, uint64_t now_us)
{
  GHashTableIter iter;
  gpointer value;

  if (now_us < orders->prior_orders_until_us)
    return false;
  g_hash_table_iter_init (&iter, orders->by_engine);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const order *o = value;

      if (o->state != ORDER_REACHED || !o->checks_fencing)
        return false;
    }
  return true;
}

/* Without a lease: requests one while there are targets, else withdraws the
   request.  */
static void
orders_request_lease (mq_orders *orders, GArray *actions)
{
  bool needed = g_hash_table_size (orders->by_engine) > 0;

  if (needed == orders->lease_requested)
    return;
  orders->lease_requested = needed;
  orders_push (actions, needed ? MQ_ORDERS_NEED_LEASE : MQ_ORDERS_IDLE, NULL,
               orders);
}

static void
orders_run (mq_orders *orders, uint64_t now_us, GArray *actions)
{
  GHashTableIter iter;
  gpointer value;

  orders_remove (orders, false, now_us);
  if (!orders_hold_lease (orders, now_us))
    {
      orders_request_lease (orders, actions);
      return;
    }
  g_hash_table_iter_init (&iter, orders->by_engine);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      order *o = value;

      if (now_us >= o->due_us)
        order_on_due (orders, o, now_us, actions);
    }
  if (orders_is_idle (orders, now_us))
    {
      orders_remove (orders, true, now_us);
      orders_lose_lease (orders);
      orders_push (actions, MQ_ORDERS_IDLE, NULL, orders);
    }
}

static void
action_clear (gpointer data)
{
  mq_orders_action_clear (data);
}

void
mq_orders_action_clear (mq_orders_action *action)
{
  mq_str_unref (action->engine);
  mq_str_unref (action->before);
  mq_str_unref (action->model);
  mq_str_unref (action->version);
}

mq_orders *
mq_orders_new (const mq_orders_options *options)
{
  mq_orders *orders = g_new0 (mq_orders, 1);

  orders->options = *options;
  orders->by_engine = mq_span_table_new (order_free);
  orders->by_id = g_hash_table_new (g_int64_hash, g_int64_equal);
  return orders;
}

void
mq_orders_free (mq_orders *orders)
{
  if (orders == NULL)
    return;
  g_hash_table_destroy (orders->by_id);
  g_hash_table_destroy (orders->by_engine);
  g_free (orders);
}

GArray *
mq_orders_actions_new (void)
{
  GArray *actions = g_array_new (FALSE, FALSE, sizeof (mq_orders_action));

  g_array_set_clear_func (actions, action_clear);
  return actions;
}

void
mq_orders_handle (mq_orders *orders, const mq_orders_event *event,
                  GArray *actions)
{
  order *o;

  switch (event->kind)
    {
    case MQ_ORDERS_SET_TARGET:
      orders_on_target (orders, event);
      break;
    case MQ_ORDERS_CANCEL:
      orders_on_cancel (orders, event->u.engine);
      break;
    case MQ_ORDERS_LEASE:
      orders_on_lease (orders, event);
      break;
    case MQ_ORDERS_LEASE_LOST:
      orders_remove (orders, true, event->now_us);
      orders_lose_lease (orders);
      break;
    case MQ_ORDERS_SEND_REPLY:
      o = g_hash_table_lookup (orders->by_id, &event->u.sent.order);
      if (o != NULL && o->state == ORDER_SENDING)
        order_on_send_reply (orders, o, event, actions);
      break;
    case MQ_ORDERS_READ_REPLY:
      o = g_hash_table_lookup (orders->by_id, &event->u.holds.order);
      if (o != NULL && o->state == ORDER_READING)
        order_on_read_reply (orders, o, event, actions);
      break;
    case MQ_ORDERS_TICK:
      break;
    }
  orders_run (orders, event->now_us, actions);
}

uint32_t
mq_orders_pending (const mq_orders *orders)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t n = 0;

  g_hash_table_iter_init (&iter, orders->by_engine);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const order *o = value;

      if (o->state != ORDER_REACHED)
        n++;
    }
  return n;
}

uint64_t
mq_orders_next_tick (const mq_orders *orders)
{
  GHashTableIter iter;
  gpointer value;
  uint64_t due = UINT64_MAX;

  g_hash_table_iter_init (&iter, orders->by_engine);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const order *o = value;

      if (!o->reported)
        due = MIN (due, o->expires_us);
      if (orders->fencing != 0)
        due = MIN (due, o->due_us);
    }
  if (orders->fencing != 0 && due == UINT64_MAX)
    due = orders->prior_orders_until_us;
  return due;
}
