/* Elements of a request: see mq/element.h.  */

#include <mq/element.h>

#include <mq/content_hash.h>

#define PART_BIT ((uint64_t)1 << 63)
/* Digits of an id that fit below PART_BIT.  */
#define MAX_ID_DIGITS 15

uint64_t
mq_element_of_content (uint64_t hash)
{
  return MAX (hash & ~PART_BIT, 1);
}

uint64_t
mq_element_of_part (mq_span id)
{
  uint64_t n = 0;

  for (size_t i = 0; i < id.size; i++)
    {
      int digit = g_ascii_xdigit_value (id.data[i]);

      if (digit < 0 || id.size > MAX_ID_DIGITS)
        return mq_content_hash (&id, 1) | PART_BIT;
      n = n << 4 | (uint64_t)digit;
    }
  return n | PART_BIT;
}

bool
mq_element_is_part (uint64_t element)
{
  return (element & PART_BIT) != 0;
}

bool
mq_element_set_has (mq_element_set set, uint64_t element)
{
  for (size_t i = 0; i < set.n; i++)
    if (set.ids[i] == element)
      return true;
  return false;
}

const char *
mq_element_format (uint64_t element, char text[MQ_ELEMENT_TEXT_SIZE])
{
  if (mq_element_is_part (element))
    g_snprintf (text, MQ_ELEMENT_TEXT_SIZE, "part=%" G_GINT64_MODIFIER "x",
                element & ~PART_BIT);
  else
    g_snprintf (text, MQ_ELEMENT_TEXT_SIZE,
                "content=%016" G_GINT64_MODIFIER "x", element);
  return text;
}
