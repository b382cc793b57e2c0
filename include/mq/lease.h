/* Leases: one holder at a time may order engines about.

   A lease is one object of the platform, taken and renewed by conditional
   update.  The object's version is the fencing token: it grows with every
   write, so a successor's is always above its predecessor's.

   Nobody compares wall clocks.  The holder counts the lease from the moment
   before it sent the write that took or renewed it, and stops a margin
   early.  Another router counts from the moment it saw the object's version,
   and waits a margin longer.  Both use their own monotonic clock; the margin
   covers how much faster one runs than the other.

   Invariants:
   - mq_lease_fencing is above 0 only while nobody else can have taken the
     lease, as far as the clocks keep within the margin;
   - a reply that was lost is made up for by reading back the writer id;
   - an old reply (of an earlier step) changes nothing.

   A holder that was paused finds out by its clock before each order.  One
   that is paused between that check and the order itself is stopped by the
   fencing token, where the engine checks it, and by mq/order.h's settling
   and verifying, where it does not.

   The object is JSON: {"holder":"ROUTER","writer":"ROUTER-SEQUENCE",
   "duration_us":N}, with holder "" after a release.  */

#ifndef MQ_LEASE_H
#define MQ_LEASE_H

#include <glib.h>
#include <mq/store.h>

G_BEGIN_DECLS

typedef enum mq_lease_event_kind
{
  MQ_LEASE_REQUEST, /* Take it, and keep it.  */
  MQ_LEASE_RELEASE, /* Give it up: no order of this or an earlier holder is
                       under way any more.  */
  MQ_LEASE_REPLY,
  MQ_LEASE_TICK
} mq_lease_event_kind;

typedef struct mq_lease_event
{
  mq_lease_event_kind kind;
  uint64_t now_us; /* Monotonic.  */
  uint32_t step;   /* REPLY: from the action.  */
  mq_store_reply reply;
} mq_lease_event;

typedef enum mq_lease_action_kind
{
  MQ_LEASE_READ,
  MQ_LEASE_WRITE, /* If the object has VERSION; 0: if there is none.  */
  MQ_LEASE_HELD,  /* Taken: orders may go out.  Said once each time.  */
  MQ_LEASE_LOST   /* Ran out or was taken: send nothing more.  */
} mq_lease_action_kind;

typedef struct mq_lease_action
{
  mq_lease_action_kind kind;
  uint32_t step;
  uint64_t version; /* WRITE.  */
  mq_str *value;    /* WRITE; owned by the action.  */
  uint64_t fencing; /* HELD.  */
  bool handed_over; /* HELD: the last holder gave it up in order, so that
                       none of its orders is still under way.  */
} mq_lease_action;

typedef struct mq_lease_options
{
  uint64_t router;         /* Incarnation of this process.  */
  uint64_t duration_us;    /* Of the lease.  */
  uint64_t retry_us;       /* Between two looks at another's lease.  */
  uint64_t timeout_us;     /* Until a reply counts as lost.  */
  uint32_t margin_percent; /* How much faster one clock may run; 10.  */
} mq_lease_options;

typedef struct mq_lease mq_lease;

mq_lease *mq_lease_new (const mq_lease_options *options);
void mq_lease_free (mq_lease *lease);

/* An empty list whose elements are cleared when they are removed.  */
GArray *mq_lease_actions_new (void);

void mq_lease_handle (mq_lease *lease, const mq_lease_event *event,
                      GArray *actions);

/* The fencing token for an order that is sent at NOW_US, or 0 when none may
   be sent.  To be asked before each order, with a fresh clock.  */
uint64_t mq_lease_fencing (const mq_lease *lease, uint64_t now_us);

/* When it runs out for its holder; 0 when not held.  */
uint64_t mq_lease_until (const mq_lease *lease);

/* When the next TICK is due; UINT64_MAX: none.  */
uint64_t mq_lease_next_tick (const mq_lease *lease);

G_END_DECLS

#endif
