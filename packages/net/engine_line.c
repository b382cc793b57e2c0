/* Decoder for the lines of an engine's response stream: see mq/engine_line.h.

   Invariant: an accepted line has every field that its kind requires, of the
   right type and in range, and none of the other kind.  */

#include <mq/engine_line.h>

#include <json-c/json.h>
#include <mq/json_message.h>
#include <string.h>

struct mq_engine_line_reader
{
  json_object *root; /* The last line; owns the memory of its spans.  */
};

static int
int_u32 (json_object *number, uint32_t *value)
{
  int64_t n;

  if (!json_object_is_type (number, json_type_int))
    return -1;
  n = json_object_get_int64 (number);
  if (n < 0 || n > UINT32_MAX)
    return -1;
  *value = (uint32_t)n;
  return 0;
}

static int
string_span (json_object *string, mq_span *value)
{
  if (!json_object_is_type (string, json_type_string))
    return -1;
  value->data = json_object_get_string (string);
  value->size = (size_t)json_object_get_string_len (string);
  return 0;
}

/* A receipt is [first, end, "version"].  */
static int
receipt_read (json_object *item, mq_receipt *receipt)
{
  if (!json_object_is_type (item, json_type_array)
      || json_object_array_length (item) != 3)
    return -1;
  if (int_u32 (json_object_array_get_idx (item, 0), &receipt->first) < 0)
    return -1;
  if (int_u32 (json_object_array_get_idx (item, 1), &receipt->end) < 0)
    return -1;
  return string_span (json_object_array_get_idx (item, 2), &receipt->version);
}

static int
receipts_read (json_object *root, mq_engine_line *line)
{
  json_object *list;
  size_t n;

  if (!json_object_object_get_ex (root, "s", &list)
      || !json_object_is_type (list, json_type_array))
    return -1;
  n = json_object_array_length (list);
  if (n > MQ_PLAN_MAX_STAGES)
    return -1;
  for (size_t i = 0; i < n; i++)
    if (receipt_read (json_object_array_get_idx (list, i), &line->receipts[i])
        < 0)
      return -1;
  line->n_receipts = n;
  return 0;
}

static int
token_read (json_object *root, mq_engine_line *line)
{
  line->kind = MQ_ENGINE_LINE_TOKEN;
  if (!mq_json_message_u32 (root, "p", &line->position)
      || !mq_json_message_span (root, "t", &line->text))
    return -1;
  return receipts_read (root, line);
}

static int
end_read (json_object *root, mq_span word, mq_engine_line *line)
{
  static const struct
  {
    const char *word;
    mq_stream_end end;
  } ends[] = { { "done", MQ_STREAM_DONE },
               { "cancelled", MQ_STREAM_CANCELLED },
               { "deadline", MQ_STREAM_DEADLINE },
               { "stage-lost", MQ_STREAM_STAGE_LOST },
               { "evicted", MQ_STREAM_EVICTED } };

  line->kind = MQ_ENGINE_LINE_END;
  for (size_t i = 0; i < G_N_ELEMENTS (ends); i++)
    if (mq_span_equal (word, mq_span_from (ends[i].word)))
      {
        line->end = ends[i].end;
        if (line->end == MQ_STREAM_STAGE_LOST)
          return mq_json_message_u32 (root, "stage", &line->stage) ? 0 : -1;
        return 0;
      }
  return -1;
}

static bool
has_member (json_object *object, const char *key)
{
  return json_object_object_get_ex (object, key, NULL);
}

static int
root_read (json_object *root, mq_engine_line *line)
{
  mq_span word;

  if (!mq_json_message_span (root, "request", &line->request)
      || !mq_json_message_u32 (root, "attempt", &line->attempt))
    return -1;
  if (!has_member (root, "end"))
    return token_read (root, line);
  if (!mq_json_message_span (root, "end", &word) || has_member (root, "p")
      || has_member (root, "t"))
    return -1;
  return end_read (root, word, line);
}

mq_engine_line_reader *
mq_engine_line_reader_new (void)
{
  return g_new0 (mq_engine_line_reader, 1);
}

void
mq_engine_line_reader_free (mq_engine_line_reader *reader)
{
  if (reader == NULL)
    return;
  json_object_put (reader->root);
  g_free (reader);
}

int
mq_engine_line_read (mq_engine_line_reader *reader, mq_span text,
                     mq_engine_line *line)
{
  memset (line, 0, sizeof *line);
  json_object_put (reader->root);
  reader->root = NULL;
  reader->root = mq_json_message_parse (text);
  return reader->root != NULL ? root_read (reader->root, line) : -1;
}
