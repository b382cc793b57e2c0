/* Posts engines' reports: see engine_report.h.  */

#include "engine_report.h"

#include "admission.h"

/* The engine whose cache events are posted.  */
typedef struct cache_report
{
  mq_router *router; /* Borrowed.  */
  mq_span engine;
} cache_report;

int
mq_engine_report_load (mq_router *router, mq_span engine, json_object *message)
{
  mq_planner_event event = { .kind = MQ_PLANNER_LOAD };

  event.u.load.engine = engine;
  if (!mq_engine_control_load (message, &event.u.load))
    return -1;
  mq_admission_post (router, &event);
  return 0;
}

static void
on_cache_event (void *context, uint64_t prefix, bool stored)
{
  const cache_report *report = context;
  mq_planner_event event = { .kind = MQ_PLANNER_CACHE };

  event.u.cache.engine = report->engine;
  event.u.cache.prefix_hash = prefix;
  event.u.cache.stored = stored;
  mq_admission_post (report->router, &event);
}

int
mq_engine_report_cache (mq_router *router, mq_span engine,
                        json_object *message, uint64_t *after)
{
  cache_report report = { router, engine };

  return mq_engine_control_cache (message, after, on_cache_event, &report)
             ? 0
             : -1;
}

void
mq_engine_report_down (mq_router *router, mq_span engine)
{
  mq_planner_event event = { .kind = MQ_PLANNER_ENGINE_DOWN };

  event.u.engine = engine;
  mq_admission_post (router, &event);
}
