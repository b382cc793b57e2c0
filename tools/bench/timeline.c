/* Virtual time: see timeline.h.  */

#include "timeline.h"

#include <math.h>

static bool
item_before (const timeline_item *a, const timeline_item *b)
{
  if (a->due_us != b->due_us)
    return a->due_us < b->due_us;
  return a->order < b->order;
}

void
timeline_init (timeline *t)
{
  t->heap = g_array_new (FALSE, FALSE, sizeof (timeline_item));
  t->next_order = 0;
}

void
timeline_finish (timeline *t)
{
  g_array_unref (t->heap);
}

void
timeline_add (timeline *t, uint64_t due_us, int kind, void *what, uint64_t arg)
{
  timeline_item item = { due_us, t->next_order++, kind, what, arg };
  timeline_item *heap;
  guint i;

  g_array_append_val (t->heap, item);
  heap = (timeline_item *)t->heap->data;
  i = t->heap->len - 1;
  while (i > 0 && item_before (&item, &heap[(i - 1) / 2]))
    {
      heap[i] = heap[(i - 1) / 2];
      i = (i - 1) / 2;
    }
  heap[i] = item;
}

bool
timeline_next (timeline *t, timeline_item *item)
{
  timeline_item *heap = (timeline_item *)t->heap->data;
  timeline_item last;
  guint n, i = 0;

  if (t->heap->len == 0)
    return false;
  *item = heap[0];
  n = t->heap->len - 1;
  last = heap[n];
  g_array_set_size (t->heap, n);
  if (n == 0)
    return true;
  for (;;)
    {
      guint child = 2 * i + 1;

      if (child >= n)
        break;
      if (child + 1 < n && item_before (&heap[child + 1], &heap[child]))
        child++;
      if (!item_before (&heap[child], &last))
        break;
      heap[i] = heap[child];
      i = child;
    }
  heap[i] = last;
  return true;
}

double
dice_unit (dice *d)
{
  uint64_t z = (d->state += UINT64_C (0x9e3779b97f4a7c15));

  z = (z ^ (z >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  z = (z ^ (z >> 27)) * UINT64_C (0x94d049bb133111eb);
  z ^= z >> 31;
  return (double)(z >> 11) / (double)(UINT64_C (1) << 53);
}

double
dice_range (dice *d, double low, double up)
{
  return low + (up - low) * dice_unit (d);
}

double
dice_wait (dice *d, double mean)
{
  return -mean * log (1.0 - dice_unit (d));
}
