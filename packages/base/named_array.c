/* Arrays sorted by name: see mq/internal/named_array.h.  */

#include <mq/internal/named_array.h>

/* Returns the name of element INDEX, which is its first member.  */
static mq_span
array_name (const GArray *array, gsize element_size, guint index)
{
  const void *element = array->data + index * element_size;

  return mq_str_span (*(mq_str *const *)element);
}

guint
mq_named_array_position (const GArray *array, gsize element_size, mq_span name,
                         bool *found)
{
  guint low = 0;
  guint high = array->len;

  *found = false;
  while (low < high)
    {
      guint mid = (low + high) / 2;
      int order
          = mq_span_compare (array_name (array, element_size, mid), name);

      if (order == 0)
        {
          *found = true;
          return mid;
        }
      if (order < 0)
        low = mid + 1;
      else
        high = mid;
    }
  return low;
}
