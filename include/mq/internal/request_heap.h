/* Internal to packages/decide: a heap of requests by due time.

   A binary heap in which each request stores its own index.  A request may be
   due later than the heap records, since each token postpones its stall
   timeout; the entry then finds it early and reinserts it at its actual due
   time.  Invariant: no request is due before the time stored in the heap.  */

#ifndef MQ_INTERNAL_REQUEST_HEAP_H
#define MQ_INTERNAL_REQUEST_HEAP_H

#include <mq/internal/request.h>

G_BEGIN_DECLS

/* Insert REQUEST (borrowed) with DUE_US, or change its due time to DUE_US.  */
void mq_request_heap_put (GPtrArray *heap, mq_request *request,
                          uint64_t due_us);
/* Remove REQUEST if the heap contains it.  */
void mq_request_heap_remove (GPtrArray *heap, mq_request *request);
/* Returns the request with the earliest due time, or NULL.  */
mq_request *mq_request_heap_first (const GPtrArray *heap);

G_END_DECLS

#endif
