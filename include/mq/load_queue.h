/* Which of the orders that a layer plan wants are sent now, and in which
   order.

   The weight store serves max_concurrent_loads loads at a time; each further
   one makes all of them slower in proportion.  So the loads that complete a
   chain come first, in the failure domain that is closest to a whole chain,
   and further chains and second copies only after every domain that can hold a
   chain has one.  What is not sent waits, and the next plans count it as
   ordered, so that a layout that was planned as a whole is loaded as planned.
   It is planned again when an engine of the domain joins or leaves.

   No I/O; times are passed in.  Invariants:
   - while there is traffic, no more loads are open than max_concurrent_loads,
     except for the repair of a chain in use;
   - without traffic, the loads that complete a chain are not limited, and if
     all wanted loads fit into a few times that number, all are sent;
   - an order that loads nothing never waits, nor does one to an engine that
     is to be queried first, which does not count as open either;
   - a domain whose loads make no progress does not keep the others waiting.

   A router that has just become the leader counts as open what the engines
   report as such.  A wrong view costs loads that are too many or too late; no
   order depends on it for correctness.  */

#ifndef MQ_LOAD_QUEUE_H
#define MQ_LOAD_QUEUE_H

#include <mq/layer_plan.h>

G_BEGIN_DECLS

/* Why loads wait.  */
typedef enum mq_load_wait
{
  MQ_LOAD_WAIT_NONE,   /* None does.  */
  MQ_LOAD_WAIT_SLOTS,  /* As many are open as the weight store serves.  */
  MQ_LOAD_WAIT_CHAINS, /* Some domain that can hold a chain has none yet.  */
  MQ_LOAD_WAIT_REPORTS /* Loads that an earlier leader ordered are open.  */
} mq_load_wait;

/* The loads of a service after the last selection.  */
typedef struct mq_load_counts
{
  unsigned open;      /* Ordered and not done, with those selected.  */
  unsigned loading;   /* Of these, those that no request delays: an engine that
                         releases layers first waits for its requests.  */
  unsigned sent;      /* Loads among the selected orders.  */
  unsigned waiting;   /* Wanted, and not selected ... */
  mq_load_wait why;   /* ... for this reason, that of the first of them.  */
  unsigned limit;     /* Open loads that are allowed; 0: any number.  */
  unsigned chainless; /* Failure domains without a whole chain.  */
} mq_load_counts;

/* State between selections.  */
typedef struct mq_load_queue
{
  GHashTable *domains;   /* Name -> state, private to load_queue.c.  */
  GHashTable *waiting;   /* User of a holder -> its wanted order, likewise.  */
  mq_load_counts counts; /* Of the last selection.  */
  uint64_t selected_us;  /* When that was; 0: never.  */
  uint64_t waits_since_us; /* First wait for engines to register; 0: none.  */
} mq_load_queue;

void mq_load_queue_init (mq_load_queue *queue);
void mq_load_queue_finish (mq_load_queue *queue);

/* Returns true if the first layers may be assigned.  Engines that start
   together register one after the other; a chain over the first few would
   leave little memory for requests.  LAST_ADDED_US is the last registration;
   ANY_HELD: some engine holds layers, so that there is nothing to wait for.
   The wait is bounded, since a large fleet registers for as long as loads are
   cheap.  */
bool mq_load_queue_may_begin (mq_load_queue *queue, bool any_held,
                              uint64_t last_added_us, uint64_t now_us);

/* Returns for how much of the time since the last selection an open load did
   not advance, in microseconds, because more are open than the weight store
   serves.  See mq_layer_order_delay.  */
uint64_t mq_load_queue_delay_us (const mq_load_queue *queue, uint64_t now_us);

/* Have a plan count what waits as ordered: changes those of the N HOLDERS
   whose orders wait.  Call it before each plan.  */
void mq_load_queue_reserve (mq_load_queue *queue, mq_layer_holder *holders,
                            size_t n);

/* Add to ORDERS (mq_layer_order) those that waited, sort them and
   truncate them to those to send now.  The N HOLDERS are those that
   mq_load_queue_reserve changed, which is undone, and that the orders were
   planned for.
   TRAFFIC: requests have been sent to the fleet.  Sets QUEUE's counts.  */
void mq_load_queue_select (mq_load_queue *queue, const mq_layered_model *model,
                           mq_layer_holder *holders, size_t n, bool traffic,
                           uint64_t now_us, GArray *orders);

/* A word for WAIT in logs.  */
const char *mq_load_wait_name (mq_load_wait wait);

G_END_DECLS

#endif
