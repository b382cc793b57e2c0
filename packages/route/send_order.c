/* The order of waiting requests: see mq/send_order.h.  */

#include <mq/send_order.h>

#include <stdlib.h>

/* Compares by class and level.  */
static int
waiter_compare_urgency (const mq_send_waiter *a, const mq_send_waiter *b)
{
  if (a->kind != b->kind)
    return a->kind < b->kind ? -1 : 1;
  if (a->level != b->level)
    return a->level < b->level ? -1 : 1;
  return 0;
}

static int
waiter_compare (const void *a, const void *b)
{
  const mq_send_waiter *x = a;
  const mq_send_waiter *y = b;
  int urgency = waiter_compare_urgency (x, y);

  if (urgency != 0)
    return urgency;
  if (x->share_use < y->share_use || x->share_use > y->share_use)
    return x->share_use < y->share_use ? -1 : 1;
  if (x->silent_since_us != y->silent_since_us)
    return x->silent_since_us < y->silent_since_us ? -1 : 1;
  return x->arrival < y->arrival ? -1 : x->arrival > y->arrival;
}

void
mq_send_order_sort (mq_send_waiter *waiters, size_t n)
{
  if (n > 1)
    qsort (waiters, n, sizeof *waiters, waiter_compare);
}

bool
mq_send_order_yields (const mq_send_waiter *waiter,
                      const mq_send_waiter *other)
{
  return waiter_compare_urgency (other, waiter) < 0;
}
