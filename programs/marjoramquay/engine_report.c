/* Decodes engines' reports: see engine_report.h.  */

#include "engine_report.h"

#include "admission.h"
#include "json_body.h"

#include <string.h>

#define MAX_HEX_DIGITS 16
#define HEX_BASE 16

/* Returns the engine's incarnation, which may be a number or a string; a
   string is hashed.  */
static uint64_t
incarnation_read (json_object *root)
{
  mq_span text = mq_json_body_span (root, "incarnation");

  return text.data != NULL ? mq_span_hash (text)
                           : mq_json_body_u64 (root, "incarnation");
}

int
mq_engine_report_load (mq_router *router, mq_span engine, mq_span body)
{
  mq_planner_event event = { .kind = MQ_PLANNER_LOAD };
  mq_engine_load *load = &event.u.load;
  json_object *root = mq_json_body_parse (body);
  int result = -1;

  load->engine = engine;
  load->version = mq_json_body_span (root, "version");
  if (load->version.data == NULL)
    goto out;
  load->first = mq_json_body_u32 (root, "first");
  load->end = mq_json_body_u32 (root, "end");
  load->queue = mq_json_body_u32 (root, "queue");
  load->batch = mq_json_body_u32 (root, "batch");
  load->step_us = mq_json_body_u32 (root, "step_us");
  load->kv_used = mq_json_body_u64 (root, "kv_used");
  load->kv_limit = mq_json_body_u64 (root, "kv_limit");
  load->age_us = mq_json_body_u64 (root, "age_ms") * 1000;
  load->incarnation = incarnation_read (root);
  mq_admission_post (router, &event);
  result = 0;
out:
  json_object_put (root);
  return result;
}

static void
cache_event_post (mq_router *router, mq_span engine, json_object *item)
{
  mq_planner_event event = { .kind = MQ_PLANNER_CACHE };
  mq_span prefix = mq_json_body_span (item, "prefix");
  mq_span kind = mq_json_body_span (item, "kind");
  char hex[MAX_HEX_DIGITS + 1];

  if (prefix.size == 0 || prefix.size > MAX_HEX_DIGITS)
    return;
  memcpy (hex, prefix.data, prefix.size);
  hex[prefix.size] = '\0';
  event.u.cache.engine = engine;
  event.u.cache.prefix_hash = g_ascii_strtoull (hex, NULL, HEX_BASE);
  event.u.cache.stored = mq_span_equal (kind, MQ_SPAN ("stored"));
  mq_admission_post (router, &event);
}

int
mq_engine_report_cache (mq_router *router, mq_span engine, mq_span body,
                        uint64_t *after)
{
  json_object *root = mq_json_body_parse (body);
  json_object *list;
  int result = -1;

  if (!json_object_object_get_ex (root, "events", &list)
      || !json_object_is_type (list, json_type_array))
    goto out;
  for (size_t i = 0; i < json_object_array_length (list); i++)
    cache_event_post (router, engine, json_object_array_get_idx (list, i));
  *after = mq_json_body_u64 (root, "next");
  result = 0;
out:
  json_object_put (root);
  return result;
}

void
mq_engine_report_down (mq_router *router, mq_span engine)
{
  mq_planner_event event = { .kind = MQ_PLANNER_ENGINE_DOWN };

  event.u.engine = engine;
  mq_admission_post (router, &event);
}
