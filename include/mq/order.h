/* Orders: bring engines to the state that a plan needs.

   An order states the target (model, version, layers), so that a repeat is
   harmless.  The executor sends it only under a valid lease (mq/lease.h), one
   at a time for each engine, and within the rate of the weight store.  It
   reads the engine before and after each order.

   Some engines ignore the fencing token.  For those the executor waits, after
   the lease was acquired, until no order of an earlier holder can still be in
   flight, and then reads the engine.  While the lease is held it reads such
   engines periodically and repeats the order when they hold something else,
   so the last holder's target prevails.  An engine that checks the token is
   ordered once by each holder even if it holds the target already: the order
   raises the engine's token above that of every late order.

   A target that was reached is removed when the lease is lost or released.  A
   target that is not reached in time is removed too: the planner sends it
   again if it is still needed, and no stale target is ever ordered.

   Pure: time is passed in, monotonic.  */

#ifndef MQ_ORDER_H
#define MQ_ORDER_H

#include <glib.h>
#include <mq/str.h>

G_BEGIN_DECLS

/* The state that an engine shall reach.  */
typedef struct mq_order_target
{
  mq_span engine; /* Name.  */
  mq_span model;
  mq_span version;
  uint32_t first; /* Layers [first, end).  */
  uint32_t end;
  bool checks_fencing;
  uint64_t weight_bytes; /* To be loaded; 0: unknown.  */
} mq_order_target;

/* What an engine reports that it holds.  */
typedef struct mq_order_holds
{
  mq_span model;
  mq_span version;
  uint32_t first;
  uint32_t end;
  bool loading;
  uint64_t fencing; /* Highest token that it accepted; 0: it keeps none.  */
} mq_order_holds;

typedef enum mq_orders_event_kind
{
  MQ_ORDERS_SET_TARGET,
  MQ_ORDERS_CANCEL, /* The target of ENGINE is no longer needed: removed unless
                       an order was already sent.  */
  MQ_ORDERS_LEASE,  /* The lease is held, with this FENCING and UNTIL_US.  */
  MQ_ORDERS_LEASE_LOST,
  MQ_ORDERS_SEND_REPLY, /* The reply to an order.  */
  MQ_ORDERS_READ_REPLY, /* The reply to a read.  */
  MQ_ORDERS_TICK
} mq_orders_event_kind;

typedef enum mq_order_reply
{
  MQ_ORDER_ACCEPTED, /* 202 */
  MQ_ORDER_FENCED,  /* 409: the engine has accepted a higher fencing token.  */
  MQ_ORDER_NO_REPLY /* Any other result: the engine may have accepted the
                       order.  */
} mq_order_reply;

typedef struct mq_orders_event
{
  mq_orders_event_kind kind;
  uint64_t now_us;
  union
  {
    mq_order_target target; /* SET_TARGET; copied.  */
    mq_span engine;         /* CANCEL.  */
    struct
    {
      uint64_t fencing;
      uint64_t until_us;
      bool taken;       /* Just acquired, not renewed.  */
      bool handed_over; /* The last holder released it.  */
    } lease;
    struct
    {
      uint64_t order; /* Copied from the action.  */
      mq_order_reply reply;
    } sent;
    struct
    {
      uint64_t order;
      bool known; /* False: the engine did not reply.  */
      mq_order_holds holds;
    } holds;
  } u;
} mq_orders_event;

typedef enum mq_orders_action_kind
{
  MQ_ORDERS_NEED_LEASE, /* The lease is needed to send orders.  Sent once until
                           the lease is held or no target is left.  */
  MQ_ORDERS_SEND,
  MQ_ORDERS_READ,    /* Read what the engine holds.  */
  MQ_ORDERS_REACHED, /* The engine holds the target.  */
  MQ_ORDERS_STOPPED, /* The engine has a higher fencing token: another router
                        holds the lease.  */
  MQ_ORDERS_IDLE     /* No work is left: the lease may be released.  */
} mq_orders_action_kind;

typedef struct mq_orders_action
{
  mq_orders_action_kind kind;
  uint64_t order;    /* Id of the order, also on the wire.  */
  uint64_t fencing;  /* SEND.  */
  uint64_t until_us; /* SEND: end of the lease.  The adapter checks its clock
                        again and sends nothing after this time.  */
  mq_str *engine;    /* Owned by the action.  */
  mq_str *before;    /* What the engine held before the last order, as text for
                        the audit trail; NULL before the first.  Owned.  */
  mq_str *model;     /* The target, as are the fields below; owned.  */
  mq_str *version;
  uint32_t first;
  uint32_t end;
} mq_orders_action;

typedef struct mq_orders_options
{
  uint64_t max_in_flight_us;   /* Longest time that an order is in flight.  */
  uint64_t poll_interval_us;   /* Between two reads of a loading engine.  */
  uint64_t verify_interval_us; /* Between two reads of an engine that ignores
                                  fencing.  */
  uint64_t bytes_per_s;        /* Rate of the weight store; 0: no limit.  */
  uint32_t concurrent;        /* Maximum of engines that load at the same time;
                                 0: no limit.  */
  uint64_t load_timeout_us;   /* After that a load is ordered again.  */
  uint64_t target_timeout_us; /* After that a target that was not reached is
                                 removed.  */
} mq_orders_options;

typedef struct mq_orders mq_orders;

mq_orders *mq_orders_new (const mq_orders_options *options);
void mq_orders_free (mq_orders *orders);

/* Returns an empty array of mq_orders_action whose elements are cleared when
   they are removed.  */
GArray *mq_orders_actions_new (void);

/* Releases what ACTION, moved out of such an array, owns.  */
void mq_orders_action_clear (mq_orders_action *action);

void mq_orders_handle (mq_orders *orders, const mq_orders_event *event,
                       GArray *actions);

/* Number of targets that have not been reached.  */
uint32_t mq_orders_pending (const mq_orders *orders);

/* Returns the time of the next MQ_ORDERS_TICK; UINT64_MAX: none.  */
uint64_t mq_orders_next_tick (const mq_orders *orders);

G_END_DECLS

#endif
