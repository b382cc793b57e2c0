/* Runs the entry and carries out its actions: see router.h.

   Invariant: data borrowed by an action is used before the entry is called
   again.  Events posted while actions are being carried out are therefore
   queued until all actions of the step are done.  */

#include <mq/log.h>

#include "admission.h"
#include "claim_io.h"
#include "completion.h"
#include "completion_stream.h"
#include "drain.h"
#include "crash_tracker.h"
#include "fleet_limits.h"
#include "fleet_plans.h"
#include "router.h"
#include "service_request.h"

#define PLANNER_TICK_S 0.1

typedef struct pending_event
{
  mq_entry_event event;
  mq_plan plan; /* The plan of a PLANNED event, if HAS_PLAN.  */
  bool has_plan;
} pending_event;

static void
pending_free (pending_event *pending)
{
  if (pending->has_plan)
    mq_plan_finish (&pending->plan);
  g_free (pending);
}

static void
claim_start (mq_router *router, const mq_entry_action *action)
{
  mq_active_request *request = mq_active_request_find (router, action->handle);

  if (request != NULL)
    request->claimed = true;
  mq_claim_io_start (router->claims, action);
}

static void
end_log (const mq_active_request *request, const mq_entry_action *action)
{
  mq_log (G_LOG_LEVEL_INFO, "request.end",
          "request=%s outcome=%s reason=%s tokens=%u ms=%" G_GUINT64_FORMAT,
          request->id, mq_outcome_name (action->u.end.outcome),
          mq_reason_code (action->u.end.reason), action->u.end.tokens,
          (mq_router_now_us () - request->started_us) / 1000);
}

static void
request_end (mq_active_request *request, const mq_entry_action *action)
{
  if (request->id[0] == '\0')
    mq_router_format_handle (request->router, request->handle, request->id);
  ++*request->router->counters.requests_by_outcome[action->u.end.outcome];
  end_log (request, action);
  switch (request->kind)
    {
    case MQ_ACTIVE_REQUEST_COMPLETION:
      mq_completion_end (request, action);
      break;
    case MQ_ACTIVE_REQUEST_SERVICE:
      mq_service_request_end (request, action);
      break;
    }
  if (request->claimed)
    mq_claim_io_settle (request->router->claims, request->handle,
                        action->u.end.outcome);
  mq_active_request_remove (request);
}

/* Carries out an action on a request; ignored when the request has ended.  */
static void
request_action (mq_router *router, const mq_entry_action *action)
{
  mq_active_request *request = mq_active_request_find (router, action->handle);

  if (request == NULL)
    return;
  mq_active_request_set_id (request, action->id);
  switch (action->kind)
    {
    case MQ_ENTRY_OPEN_STREAM:
      mq_completion_stream_open (request, action);
      break;
    case MQ_ENTRY_CANCEL_STREAM:
      mq_completion_stream_cancel (request, action);
      break;
    case MQ_ENTRY_DELIVER:
      mq_completion_deliver (request, action);
      break;
    case MQ_ENTRY_SEND:
      mq_service_request_send (request, action);
      break;
    case MQ_ENTRY_CANCEL_SEND:
      mq_service_request_cancel_send (request, action);
      break;
    case MQ_ENTRY_FORWARD_REPLY:
      mq_service_request_accept_reply (request);
      break;
    case MQ_ENTRY_END:
      request_end (request, action);
      break;
    default:
      break;
    }
}

static void
action_carry_out (mq_router *router, const mq_entry_action *action)
{
  switch (action->kind)
    {
    case MQ_ENTRY_REQUEST_LIMIT:
      mq_fleet_limits_request (router->limits, action);
      break;
    case MQ_ENTRY_RELEASE_LIMIT:
      mq_fleet_limits_release (router->limits, action);
      break;
    case MQ_ENTRY_REQUEST_PLAN:
      mq_fleet_plans_request (router->plans, action);
      break;
    case MQ_ENTRY_RELEASE_PLAN:
      mq_fleet_plans_release (router->plans, action);
      break;
    case MQ_ENTRY_CLAIM:
      claim_start (router, action);
      break;
    case MQ_ENTRY_SUSPECT:
      mq_crash_tracker_suspect (router->crash_tracker, action);
      break;
    case MQ_ENTRY_DRAINED:
      mq_drain_on_idle (router);
      break;
    default:
      request_action (router, action);
      break;
    }
}

static void
entry_step (mq_router *router, mq_entry_event *event)
{
  GArray *actions = router->entry_actions;

  g_array_set_size (actions, 0);
  event->now_us = mq_router_now_us ();
  mq_entry_handle (router->entry, event, actions);
  for (guint i = 0; i < actions->len; i++)
    action_carry_out (router, &g_array_index (actions, mq_entry_action, i));
}

static void
pending_run (mq_router *router)
{
  pending_event *p;

  while ((p = g_queue_pop_head (&router->pending_events)) != NULL)
    {
      if (p->has_plan)
        p->event.u.planned.plan = &p->plan;
      entry_step (router, &p->event);
      pending_free (p);
    }
}

static void
entry_tick_arm (mq_router *router)
{
  mq_ticker_arm (&router->entry_tick, mq_entry_next_tick (router->entry));
}

void
mq_router_post_planned (mq_router *router, mq_entry_event *event,
                        mq_plan *plan)
{
  pending_event *p = g_new0 (pending_event, 1);

  p->event = *event;
  if (plan != NULL)
    {
      p->plan = *plan;
      p->has_plan = true;
      mq_plan_init (plan);
    }
  g_queue_push_tail (&router->pending_events, p);
  if (!router->in_step)
    {
      router->in_step = true;
      pending_run (router);
      router->in_step = false;
      entry_tick_arm (router);
    }
}

void
mq_router_post (mq_router *router, mq_entry_event *event)
{
  if (router->in_step)
    {
      mq_router_post_planned (router, event, NULL);
      return;
    }
  router->in_step = true;
  entry_step (router, event);
  pending_run (router);
  router->in_step = false;
  entry_tick_arm (router);
}

static void
on_entry_tick (void *context)
{
  mq_entry_event event = { .kind = MQ_ENTRY_TICK };

  mq_router_post (context, &event);
}

static void
on_planner_tick (struct ev_loop *loop, ev_timer *timer, int revents)
{
  mq_router *router = timer->data;
  mq_planner_event event = { .kind = MQ_PLANNER_TICK };

  (void)loop;
  (void)revents;
  mq_admission_post (router, &event);
}

void
mq_router_loop_init (mq_router *router)
{
  g_queue_init (&router->pending_events);
  router->entry_actions = g_array_new (FALSE, TRUE, sizeof (mq_entry_action));
  mq_ticker_init (&router->entry_tick, router->loop, on_entry_tick, router);
  ev_timer_init (&router->planner_tick, on_planner_tick, PLANNER_TICK_S,
                 PLANNER_TICK_S);
  router->planner_tick.data = router;
  ev_timer_start (router->loop, &router->planner_tick);
}

void
mq_router_loop_finish (mq_router *router)
{
  pending_event *p;

  while ((p = g_queue_pop_head (&router->pending_events)) != NULL)
    pending_free (p);
  mq_ticker_finish (&router->entry_tick);
  ev_timer_stop (router->loop, &router->planner_tick);
  g_clear_pointer (&router->entry_actions, g_array_unref);
}
