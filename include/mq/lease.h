/* Leases: at most one router at a time may send orders to engines.

   A lease is one object of the platform, acquired and renewed by conditional
   update.  The object's version is the fencing token: it grows with every
   write, so a successor's token is always above its predecessor's.

   Wall clocks are never compared.  The holder counts the lease from the moment
   before it sent the write that acquired or renewed it, and stops a margin
   early.  Another router counts from the moment it saw the object's version,
   and waits a margin longer.  Both use their own monotonic clock; the margin
   covers the difference in rate between the two.

   Invariants:
   - mq_lease_fencing is above 0 only while no other router can have acquired
     the lease, as long as the clocks keep within the margin;
   - after a lost reply the object is read back and recognised by its writer
     id;
   - a late reply (to an earlier step) changes nothing.

   A holder that was paused finds the lease expired when it checks its clock
   before an order.  One that is paused between that check and the order is
   stopped by the fencing token where the engine checks it; for other engines
   mq/order.h waits for late orders and verifies the result.

   The object is JSON: {"holder":"ROUTER","writer":"ROUTER-SEQUENCE",
   "duration_us":N}, with holder "" after a release.  */

#ifndef MQ_LEASE_H
#define MQ_LEASE_H

#include <glib.h>
#include <mq/store.h>

G_BEGIN_DECLS

typedef enum mq_lease_event_kind
{
  MQ_LEASE_REQUEST, /* Acquire the lease and renew it.  */
  MQ_LEASE_RELEASE, /* Release it: no order of this or an earlier holder is in
                       flight any more.  */
  MQ_LEASE_REPLY,
  MQ_LEASE_TICK
} mq_lease_event_kind;

typedef struct mq_lease_event
{
  mq_lease_event_kind kind;
  uint64_t now_us; /* Monotonic.  */
  uint32_t step;   /* REPLY: copied from the action.  */
  mq_store_reply reply;
} mq_lease_event;

typedef enum mq_lease_action_kind
{
  MQ_LEASE_READ,
  MQ_LEASE_WRITE, /* If the object has VERSION; 0: if it is absent.  */
  MQ_LEASE_HELD,  /* Acquired: orders may be sent.  Sent once for each
                     acquisition.  */
  MQ_LEASE_LOST   /* Expired or acquired by another: send no more orders.  */
} mq_lease_action_kind;

typedef struct mq_lease_action
{
  mq_lease_action_kind kind;
  uint32_t step;
  uint64_t version; /* WRITE.  */
  mq_str *value;    /* WRITE; owned by the action.  */
  uint64_t fencing; /* HELD.  */
  bool handed_over; /* HELD: the last holder released it, so none of its orders
                       is in flight.  */
} mq_lease_action;

typedef struct mq_lease_options
{
  uint64_t router;         /* Incarnation of this router.  */
  uint64_t duration_us;    /* Of the lease.  */
  uint64_t retry_us;       /* Between two reads of another's lease.  */
  uint64_t timeout_us;     /* After that a reply is considered lost.  */
  uint32_t margin_percent; /* By how much one clock may run faster than
                              another; 10 is usual.  */
} mq_lease_options;

typedef struct mq_lease mq_lease;

mq_lease *mq_lease_new (const mq_lease_options *options);
void mq_lease_free (mq_lease *lease);

/* Returns an empty array of mq_lease_action whose elements are cleared when
   they are removed.  */
GArray *mq_lease_actions_new (void);

void mq_lease_handle (mq_lease *lease, const mq_lease_event *event,
                      GArray *actions);

/* Returns the fencing token for an order sent at NOW_US, or 0 when none may be
   sent.  Call it before each order, with a fresh clock.  */
uint64_t mq_lease_fencing (const mq_lease *lease, uint64_t now_us);

/* Returns the time at which the lease expires for this holder; 0 when not
 * held.  */
uint64_t mq_lease_until (const mq_lease *lease);

/* Returns the time of the next MQ_LEASE_TICK; UINT64_MAX: none.  */
uint64_t mq_lease_next_tick (const mq_lease *lease);

G_END_DECLS

#endif
