/* Decoders of engines' control replies: see mq/engine_control.h.  */

#include <mq/engine_control.h>

#include <mq/json_message.h>

#define HTTP_OK 200
#define HTTP_ACCEPTED 202
#define HTTP_CONFLICT 409
#define MAX_HEX_DIGITS 16
#define HEX_BASE 16

struct json_object *
mq_engine_control_read (const mq_http_client_event *end)
{
  if (end->result != MQ_HTTP_OK || end->status != HTTP_OK)
    return NULL;
  return mq_json_message_parse (end->data);
}

/* Reads the engine's incarnation, which may be a number or a string; a string
   is hashed.  */
static bool
incarnation_read (struct json_object *message, uint64_t *incarnation)
{
  mq_span text;

  if (!mq_json_message_span (message, "incarnation", &text))
    return mq_json_message_u64 (message, "incarnation", incarnation);
  *incarnation = mq_span_hash (text);
  return true;
}

bool
mq_engine_control_load (struct json_object *message, mq_engine_load *load)
{
  uint32_t age_ms;

  if (!mq_json_message_span (message, "version", &load->version)
      || !mq_json_message_u32 (message, "first", &load->first)
      || !mq_json_message_u32 (message, "end", &load->end)
      || !mq_json_message_u32 (message, "queue", &load->queue)
      || !mq_json_message_u32 (message, "batch", &load->batch)
      || !mq_json_message_u32 (message, "step_us", &load->step_us)
      || !mq_json_message_u64 (message, "kv_used", &load->kv_used)
      || !mq_json_message_u64 (message, "kv_limit", &load->kv_limit)
      || !mq_json_message_u32 (message, "age_ms", &age_ms)
      || !incarnation_read (message, &load->incarnation))
    return false;
  load->age_us = (uint64_t)age_ms * 1000;
  return load->first <= load->end;
}

static bool
cache_event_read (struct json_object *item, uint64_t *prefix, bool *stored)
{
  mq_span hex;
  mq_span kind;

  if (!mq_json_message_span (item, "prefix", &hex)
      || !mq_json_message_span (item, "kind", &kind) || hex.size == 0
      || hex.size > MAX_HEX_DIGITS)
    return false;
  *prefix = 0;
  for (size_t i = 0; i < hex.size; i++)
    {
      if (!g_ascii_isxdigit (hex.data[i]))
        return false;
      *prefix
          = *prefix * HEX_BASE + (uint64_t)g_ascii_xdigit_value (hex.data[i]);
    }
  *stored = mq_span_equal (kind, MQ_SPAN ("stored"));
  return *stored || mq_span_equal (kind, MQ_SPAN ("evicted"));
}

bool
mq_engine_control_cache (struct json_object *message, uint64_t *next,
                         mq_engine_cache_sink sink, void *context)
{
  struct json_object *list;
  uint64_t prefix;
  bool stored;
  size_t n;

  if (!json_object_object_get_ex (message, "events", &list)
      || !json_object_is_type (list, json_type_array))
    return false;
  n = json_object_array_length (list);
  for (size_t i = 0; i < n; i++)
    if (!cache_event_read (json_object_array_get_idx (list, i), &prefix,
                           &stored))
      return false;
  if (!mq_json_message_u64 (message, "next", next))
    return false;
  for (size_t i = 0; i < n; i++)
    {
      (void)cache_event_read (json_object_array_get_idx (list, i), &prefix,
                              &stored);
      sink (context, prefix, stored);
    }
  return true;
}

bool
mq_engine_control_holds (struct json_object *message, mq_order_holds *holds)
{
  return mq_json_message_span (message, "model", &holds->model)
         && mq_json_message_span (message, "version", &holds->version)
         && mq_json_message_u32 (message, "first", &holds->first)
         && mq_json_message_u32 (message, "end", &holds->end)
         && mq_json_message_bool (message, "loading", &holds->loading)
         && mq_json_message_u64 (message, "fencing", &holds->fencing)
         && holds->first <= holds->end;
}

/* Returns true if BODY states a token above FENCING, for which the engine
   rejects an order.  */
static bool
body_is_fenced (mq_span body, uint64_t fencing)
{
  struct json_object *message = mq_json_message_parse (body);
  uint64_t current = 0;
  bool fenced = mq_json_message_u64 (message, "fencing", &current)
                && current > fencing;

  json_object_put (message);
  return fenced;
}

mq_order_reply
mq_engine_control_order (const mq_http_client_event *end, uint64_t fencing)
{
  if (end->result != MQ_HTTP_OK)
    return MQ_ORDER_NO_REPLY;
  if (end->status == HTTP_ACCEPTED)
    return MQ_ORDER_ACCEPTED;
  if (end->status == HTTP_CONFLICT && body_is_fenced (end->data, fencing))
    return MQ_ORDER_FENCED;
  return MQ_ORDER_NO_REPLY;
}
