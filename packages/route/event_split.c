/* Splitting of a stream of events: see mq/event_split.h.  */

#include <mq/event_split.h>

#include <string.h>

#define ID_FIELD "id:"
/* A buffer with no more memory than this keeps it.  */
#define MAX_KEPT_BYTES ((size_t)16 * 1024)

void
mq_event_split_init (mq_event_split *split, uint64_t last_id)
{
  split->bytes = g_string_new (NULL);
  split->taken = 0;
  split->last_id = last_id;
  split->events = 0;
}

void
mq_event_split_finish (mq_event_split *split)
{
  g_string_free (split->bytes, TRUE);
  split->bytes = NULL;
}

void
mq_event_split_restart (mq_event_split *split)
{
  g_string_truncate (split->bytes, 0);
  split->taken = 0;
}

void
mq_event_split_feed (mq_event_split *split, mq_span bytes)
{
  if (split->taken > 0)
    {
      g_string_erase (split->bytes, 0, (gssize)split->taken);
      split->taken = 0;
    }
  g_string_append_len (split->bytes, bytes.data, (gssize)bytes.size);
}

/* The size of the first complete event of TEXT including its empty line, or 0.
 */
static size_t
event_size (mq_span text)
{
  const char *at = text.data;
  const char *end = text.data + text.size;

  while (at < end)
    {
      const char *line = memchr (at, '\n', (size_t)(end - at));
      size_t n;

      if (line == NULL)
        return 0;
      n = (size_t)(line - at);
      if (n == 0 || (n == 1 && at[0] == '\r'))
        return (size_t)(line + 1 - text.data);
      at = line + 1;
    }
  return 0;
}

/* Store the id of EVENT in *ID.  Returns false if it has no valid one.  */
static bool
event_id (mq_span event, uint64_t *id)
{
  const char *at = event.data;
  const char *end = event.data + event.size;
  size_t field = sizeof ID_FIELD - 1;

  while (at < end)
    {
      const char *line = memchr (at, '\n', (size_t)(end - at));
      size_t n = (size_t)((line ? line : end) - at);

      if (n > field && memcmp (at, ID_FIELD, field) == 0)
        {
          mq_span value = { at + field, n - field };

          while (value.size > 0 && value.data[0] == ' ')
            value = (mq_span){ value.data + 1, value.size - 1 };
          while (value.size > 0 && value.data[value.size - 1] == '\r')
            value.size--;
          return mq_span_to_u64 (value, id) == 0;
        }
      at += n + 1;
    }
  return false;
}

mq_span
mq_event_split_rest (const mq_event_split *split)
{
  return (mq_span){ split->bytes->str + split->taken,
                    split->bytes->len - split->taken };
}

/* Free the memory that the buffer has for more than what is left in it.  */
static void
split_compact (mq_event_split *split)
{
  GString *bytes = split->bytes;
  mq_span rest = mq_event_split_rest (split);

  if (bytes->allocated_len <= MAX_KEPT_BYTES
      || rest.size > bytes->allocated_len / 2)
    return;
  split->bytes = g_string_new_len (rest.data, (gssize)rest.size);
  split->taken = 0;
  g_string_free (bytes, TRUE);
}

mq_event_result
mq_event_split_next (mq_event_split *split, mq_span *event)
{
  mq_span rest = mq_event_split_rest (split);
  size_t n = event_size (rest);
  uint64_t id;

  if (n == 0 && rest.size > MQ_EVENT_MAX_BYTES)
    return MQ_EVENT_FAULT;
  if (n == 0)
    {
      split_compact (split);
      return MQ_EVENT_NONE;
    }
  *event = (mq_span){ rest.data, n };
  if (event_id (*event, &id))
    {
      if (id != split->last_id + 1)
        return MQ_EVENT_FAULT;
      split->last_id = id;
      split->events++;
    }
  split->taken += n;
  return MQ_EVENT_WHOLE;
}

bool
mq_event_split_has_partial (const mq_event_split *split)
{
  return mq_event_split_rest (split).size > 0;
}
