/* Orders: bring engines to the state that a plan wants.

   An order states the wanted end (model, version, layers), so that a repeat
   is harmless.  The executor sends it only under a valid lease (mq/lease.h),
   one at a time for each engine, and no faster than the weight store gives
   weights out.  It reads the engine back before and after.

   Some engines ignore the fencing token.  For those the executor waits,
   after the lease was taken, until no order of an earlier holder can still
   be under way, then reads back; and for as long as the lease is held it
   reads them again now and then and repeats the order when something else
   stands there.  So the last holder's wanted end is what remains.  One that
   checks the number is ordered once by each holder even when it holds what
   is wanted already: that raises its number above all that may still come.

   A wanted end that was reached is forgotten when the lease is lost or given
   back, and one that waits too long for the lease is dropped: the planner
   asks again for what is still missing, and nothing stale is ever ordered.

   Pure: time is passed in, monotonic.  */

#ifndef MQ_ORDER_H
#define MQ_ORDER_H

#include <glib.h>
#include <mq/str.h>

G_BEGIN_DECLS

/* The state that an engine shall come to.  */
typedef struct mq_order_target
{
  mq_span engine; /* Name.  */
  mq_span model;
  mq_span version;
  uint32_t first; /* Layers [first, end).  */
  uint32_t end;
  bool checks_fencing;
  uint64_t weight_bytes; /* To be loaded; 0: not known.  */
} mq_order_target;

/* What an engine says that it holds.  */
typedef struct mq_order_holds
{
  mq_span model;
  mq_span version;
  uint32_t first;
  uint32_t end;
  bool loading;
  uint64_t fencing; /* 0 where it keeps none.  */
} mq_order_holds;

typedef enum mq_orders_event_kind
{
  MQ_ORDERS_SET_TARGET,
  MQ_ORDERS_CANCEL, /* No longer wanted: dropped unless an order has gone
                       out already.  */
  MQ_ORDERS_LEASE,  /* Held; FENCING and UNTIL_US are new.  */
  MQ_ORDERS_LEASE_LOST,
  MQ_ORDERS_SEND_REPLY, /* The reply to an order.  */
  MQ_ORDERS_READ_REPLY, /* The reply to a read.  */
  MQ_ORDERS_TICK
} mq_orders_event_kind;

typedef enum mq_order_reply
{
  MQ_ORDER_ACCEPTED, /* 202 */
  MQ_ORDER_FENCED,   /* 409: a higher fencing token was there.  */
  MQ_ORDER_NO_REPLY  /* Anything else: it may have been taken.  */
} mq_order_reply;

typedef struct mq_orders_event
{
  mq_orders_event_kind kind;
  uint64_t now_us;
  union
  {
    mq_order_target target; /* WANT; copied.  */
    mq_span engine;         /* FORGET.  */
    struct
    {
      uint64_t fencing;
      uint64_t until_us;
      bool taken;       /* Just taken, not renewed.  */
      bool handed_over; /* By the last holder, in order.  */
    } lease;
    struct
    {
      uint64_t order; /* From the action.  */
      mq_order_reply reply;
    } sent;
    struct
    {
      uint64_t order;
      bool known; /* False: the engine did not answer.  */
      mq_order_holds holds;
    } holds;
  } u;
} mq_orders_event;

typedef enum mq_orders_action_kind
{
  MQ_ORDERS_NEED_LEASE, /* There is something to order.  Said once until the
                           lease is held or nothing is left to do.  */
  MQ_ORDERS_SEND,
  MQ_ORDERS_READ,    /* What does the engine hold?  */
  MQ_ORDERS_REACHED, /* The engine holds what is wanted.  */
  MQ_ORDERS_STOPPED, /* A higher fencing token is there: another holder. */
  MQ_ORDERS_IDLE     /* Nothing left to do: the lease may be given up.  */
} mq_orders_action_kind;

typedef struct mq_orders_action
{
  mq_orders_action_kind kind;
  uint64_t order;    /* Names this order; also its id on the wire.  */
  uint64_t fencing;  /* SEND.  */
  uint64_t until_us; /* SEND: the lease's end.  The adapter looks at its
                        clock once more and sends nothing after this.  */
  mq_str *engine;    /* Owned by the action.  */
  mq_str *before;    /* What it held when it was last ordered, as text for
                        the audit trail; NULL before that.  Owned.  */
  mq_str *model;     /* What is wanted; owned.  */
  mq_str *version;
  uint32_t first;
  uint32_t end;
} mq_orders_action;

typedef struct mq_orders_options
{
  uint64_t max_in_flight_us; /* The longest that an order is under way.  */
  uint64_t poll_interval_us; /* Between two reads of an engine that loads.  */
  uint64_t
      verify_interval_us; /* Between two reads of one that ignores fencing. */
  uint64_t bytes_per_s;   /* Weight store's rate; 0: no limit.  */
  uint32_t concurrent;    /* Engines that load at once; 0: no limit.  */
  uint64_t load_timeout_us;   /* A load that takes longer is ordered again.  */
  uint64_t target_timeout_us; /* How long a wanted end waits to be reached.  */
} mq_orders_options;

typedef struct mq_orders mq_orders;

mq_orders *mq_orders_new (const mq_orders_options *options);
void mq_orders_free (mq_orders *orders);

/* An empty list whose elements are cleared when they are removed.  */
GArray *mq_orders_actions_new (void);

/* Give up what ACTION, taken out of such a list, owns.  */
void mq_orders_action_clear (mq_orders_action *action);

void mq_orders_handle (mq_orders *orders, const mq_orders_event *event,
                       GArray *actions);

/* Wanted ends that have not been reached.  */
uint32_t mq_orders_pending (const mq_orders *orders);

/* When the next TICK is due; UINT64_MAX: none.  */
uint64_t mq_orders_next_tick (const mq_orders *orders);

G_END_DECLS

#endif
