/* Plan requests to this router's planner: see admission.h.  */

#include "admission.h"

#include <mq/log.h>

#include "order_io.h"

void
mq_admission_answer (mq_router *router, uint64_t handle,
                     mq_planner_action *action)
{
  mq_entry_event event = { .kind = MQ_ENTRY_PLANNED,
                           .handle = handle,
                           .attempt = action->attempt };

  event.u.planned.figures = action->figures;
  event.u.planned.admitted = action->kind == MQ_PLANNER_ADMIT;
  if (action->kind == MQ_PLANNER_ADMIT)
    {
      mq_router_post_planned (router, &event, &action->u.plan);
      return;
    }
  event.u.planned.reason = action->u.refuse.reason;
  event.u.planned.retry_after_us = action->u.refuse.retry_after_us;
  mq_router_post_planned (router, &event, NULL);
}

static void
repair_log (const mq_planner_action *action)
{
  mq_log (G_LOG_LEVEL_WARNING, "planner.repair",
          "engine=%s model=%s version=%s first=%u end=%u",
          mq_log_quote (mq_str_cstr (action->u.repair.engine)),
          mq_log_quote (mq_str_cstr (action->u.repair.model)),
          mq_log_quote (mq_str_cstr (action->u.repair.version)),
          action->u.repair.first, action->u.repair.end);
}

/* Passes EVENT to the planner and carries out its actions.  SINK receives the
   result of a MQ_PLANNER_REQUEST; it is NULL for other events.  */
static void
planner_step (mq_router *router, mq_planner_event *event,
              mq_admission_sink sink, void *context)
{
  GArray *actions = mq_planner_actions_new ();

  event->now_us = mq_router_now_us ();
  mq_planner_handle (router->planner, event, actions);
  for (guint i = 0; i < actions->len; i++)
    {
      mq_planner_action *a = &g_array_index (actions, mq_planner_action, i);

      switch (a->kind)
        {
        case MQ_PLANNER_ADMIT:
        case MQ_PLANNER_REFUSE:
          if (sink != NULL)
            sink (context, a);
          break;
        case MQ_PLANNER_REPAIR:
          repair_log (a);
          mq_order_io_request_repair (router->orders, a);
          break;
        case MQ_PLANNER_CANCEL_REPAIR:
          mq_order_io_cancel_repair (router->orders, a);
          break;
        }
    }
  g_array_unref (actions);
}

void
mq_admission_plan (mq_router *router, const mq_plan_request *request,
                   mq_admission_sink sink, void *context)
{
  mq_planner_event event = { .kind = MQ_PLANNER_REQUEST };

  event.u.request = *request;
  planner_step (router, &event, sink, context);
}

void
mq_admission_post (mq_router *router, mq_planner_event *event)
{
  planner_step (router, event, NULL, NULL);
}
