/* Internal to packages/decide: the requests of an entry by due time.

   A binary heap in which each request knows its place.  A request may be due
   later than the heap knows (each token puts off its stall): it is then found
   early, and put back at its true time.  Invariant: no request is due before
   the time under which it lies here.  */

#ifndef MQ_INTERNAL_REQUEST_HEAP_H
#define MQ_INTERNAL_REQUEST_HEAP_H

#include <mq/internal/request.h>

G_BEGIN_DECLS

/* Put REQUEST (borrowed) under DUE_US, or move it there.  */
void mq_request_heap_put (GPtrArray *heap, mq_request *request,
                          uint64_t due_us);
/* Take REQUEST out, if it is in.  */
void mq_request_heap_remove (GPtrArray *heap, mq_request *request);
/* The request with the earliest time, or NULL.  */
mq_request *mq_request_heap_first (const GPtrArray *heap);

G_END_DECLS

#endif
