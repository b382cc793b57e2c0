/* The order in which waiting requests of a service are sent, where urgency
   levels (mq/urgency.h) are in force.

   Requests wait for prefill, for retry budget or for room, and are tried again
   at each tick and when budget arrives; those that come first get what there
   is.  Streams that have begun come first, since they are lost otherwise, and
   then requests whose send was lost.  Within these classes the more urgent
   level comes first, then the organisation that uses less of its share, then
   the client that has waited longest for an event, which disconnects first.
   Equal ones keep the order in which they arrived.  */

#ifndef MQ_SEND_ORDER_H
#define MQ_SEND_ORDER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

typedef enum mq_send_class
{
  MQ_SEND_CLASS_BEGUN, /* The client has received part of the response.  */
  MQ_SEND_CLASS_LOST,  /* A send was lost without a response.  */
  MQ_SEND_CLASS_NEW    /* Not sent yet.  */
} mq_send_class;

typedef struct mq_send_waiter
{
  mq_send_class kind;
  int level;
  double share_use; /* What its organisation holds, divided by its share; 0
                       where shares are not in force.  */
  uint64_t silent_since_us; /* Last event to the client, or its request.  */
  size_t arrival;           /* Position in the order of arrival.  */
  void *user;               /* The caller's.  */
} mq_send_waiter;

/* Sort the N WAITERS, the first to be sent first.  */
void mq_send_order_sort (mq_send_waiter *waiters, size_t n);

/* Returns true if a retry of WAITER has to leave the budget to OTHER, which
   waits for budget at the same router: OTHER belongs to an earlier class, or
   to a more urgent level of the same class.  */
bool mq_send_order_yields (const mq_send_waiter *waiter,
                           const mq_send_waiter *other);

G_END_DECLS

#endif
