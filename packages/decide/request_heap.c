/* The heap of requests by due time: see mq/internal/request_heap.h.  */

#include <mq/internal/request_heap.h>

#define NOT_IN_HEAP SIZE_MAX

static mq_request *
heap_at (const GPtrArray *heap, size_t i)
{
  return g_ptr_array_index (heap, i);
}

static void
heap_set (GPtrArray *heap, size_t i, mq_request *request)
{
  g_ptr_array_index (heap, i) = request;
  request->heap_index = i;
}

static void
heap_sift_up (GPtrArray *heap, size_t i)
{
  mq_request *r = heap_at (heap, i);

  while (i > 0)
    {
      size_t parent = (i - 1) / 2;

      if (heap_at (heap, parent)->heap_us <= r->heap_us)
        break;
      heap_set (heap, i, heap_at (heap, parent));
      i = parent;
    }
  heap_set (heap, i, r);
}

static void
heap_sift_down (GPtrArray *heap, size_t i)
{
  mq_request *r = heap_at (heap, i);

  for (;;)
    {
      size_t child = 2 * i + 1;

      if (child >= heap->len)
        break;
      if (child + 1 < heap->len
          && heap_at (heap, child + 1)->heap_us
                 < heap_at (heap, child)->heap_us)
        child++;
      if (r->heap_us <= heap_at (heap, child)->heap_us)
        break;
      heap_set (heap, i, heap_at (heap, child));
      i = child;
    }
  heap_set (heap, i, r);
}

void
mq_request_heap_put (GPtrArray *heap, mq_request *request, uint64_t due_us)
{
  if (request->heap_index == NOT_IN_HEAP)
    {
      g_ptr_array_add (heap, request);
      request->heap_index = heap->len - 1;
    }
  request->heap_us = due_us;
  heap_sift_up (heap, request->heap_index);
  heap_sift_down (heap, request->heap_index);
}

void
mq_request_heap_remove (GPtrArray *heap, mq_request *request)
{
  size_t i = request->heap_index;
  mq_request *last;

  if (i == NOT_IN_HEAP)
    return;
  request->heap_index = NOT_IN_HEAP;
  last = heap_at (heap, heap->len - 1);
  g_ptr_array_set_size (heap, (gint)heap->len - 1);
  if (last == request)
    return;
  heap_set (heap, i, last);
  heap_sift_up (heap, i);
  heap_sift_down (heap, last->heap_index);
}

mq_request *
mq_request_heap_first (const GPtrArray *heap)
{
  return heap->len > 0 ? heap_at (heap, 0) : NULL;
}
