/* One router's decisions over the fake fleet: see fake_router.h.  */

#include "fake_router.h"

#define REPORT_US 100000
#define TICK_US 100000
#define PROGRESS_US 250000
/* Until a head sees that a stage is gone.  */
#define DETECT_US 5000

/* An event for the entry that waits until it has dealt with the last one.  */
typedef struct pending
{
  mq_entry_event event;
  mq_plan plan;
} pending;

static void router_run (fake_router *router);

static pending *
router_push (fake_router *router, mq_entry_event_kind kind, uint64_t handle,
             uint32_t attempt, uint64_t now_us)
{
  pending *p = g_new0 (pending, 1);

  p->event.kind = kind;
  p->event.now_us = now_us;
  p->event.handle = handle;
  p->event.attempt = attempt;
  mq_plan_init (&p->plan);
  g_queue_push_tail (&router->pending, p);
  return p;
}

/* Tell the planner that the request of HANDLE belongs to.  */
static void
planner_tell (fake_router *router, uint64_t handle,
              const mq_planner_event *event)
{
  g_array_set_size (router->answers, 0);
  mq_planner_handle (router->planners[handle % router->n_planners], event,
                     router->answers);
}

static void
planner_tell_all (fake_router *router, const mq_planner_event *event)
{
  for (uint32_t i = 0; i < router->n_planners; i++)
    planner_tell (router, i, event);
}

static void
router_ask (fake_router *router, const mq_entry_action *action,
            uint64_t now_us)
{
  mq_planner_event e = { .kind = MQ_PLANNER_REQUEST, .now_us = now_us };
  const mq_planner_action *answer;
  pending *p;
  int64_t began = g_get_monotonic_time ();

  e.u.request = action->u.request;
  planner_tell (router, action->handle, &e);
  router->ask_us += g_get_monotonic_time () - began;
  router->asks++;
  answer = &g_array_index (router->answers, mq_planner_action, 0);
  p = router_push (router, MQ_ENTRY_PLANNED, action->handle, action->attempt,
                   now_us);
  p->event.u.planned.figures = answer->figures;
  p->event.u.planned.admitted = answer->kind == MQ_PLANNER_ADMIT;
  if (answer->kind == MQ_PLANNER_ADMIT)
    {
      mq_plan_copy (&p->plan, &answer->u.plan);
      p->event.u.planned.plan = &p->plan;
      return;
    }
  p->event.u.planned.reason = answer->u.refuse.reason;
  p->event.u.planned.retry_after_us = answer->u.refuse.retry_after_us;
}

static void
router_open (fake_router *router, const mq_entry_action *action, request *r,
             uint64_t now_us)
{
  const mq_plan *plan = action->u.open.plan;
  fake_stream *s = fake_stream_new (r);

  s->n_stages = plan->n_stages;
  for (uint32_t i = 0; i < plan->n_stages; i++)
    s->stages[i] = fake_fleet_find (router->fleet,
                                    mq_str_cstr (plan->stages[i].engine));
  s->prompt_units = fake_prompt_units (r->prompt + action->u.open.sent_tokens);
  s->priority = (uint32_t)action->u.open.priority;
  r->stream = s;
  r->attempt = action->attempt;
  r->base = action->u.open.sent_tokens;
  r->state = REQUEST_LIVE;
  r->opened++;
  g_ptr_array_add (router->live, r);
  fake_fleet_open (router->fleet, s, now_us);
  router_push (router, MQ_ENTRY_STREAM_OPEN, r->handle, r->attempt, now_us);
}

static void
router_close (fake_router *router, request *r, uint64_t now_us)
{
  if (r->stream == NULL)
    return;
  fake_fleet_close (router->fleet, r->stream, now_us);
  fake_stream_unref (r->stream);
  r->stream = NULL;
  g_ptr_array_remove_fast (router->live, r);
}

static void
router_end (fake_router *router, const mq_entry_action *action, request *r,
            uint64_t now_us)
{
  router_close (router, r, now_us);
  if (action->u.end.outcome == MQ_OUTCOME_DONE)
    r->state = REQUEST_DONE;
  else
    r->state = r->opened > 0 ? REQUEST_FAILED : REQUEST_REFUSED;
}

static void
router_act (fake_router *router, const mq_entry_action *action,
            uint64_t now_us)
{
  request *r;
  mq_planner_event release = { .kind = MQ_PLANNER_RELEASE, .now_us = now_us };
  uint32_t bin = (uint32_t)(now_us / BIN_US);
  pending *p;

  /* Said of the whole router, not of one request.  */
  if (action->kind == MQ_ENTRY_DRAINED)
    return;
  r = router->requests->pdata[action->handle - 1];
  switch (action->kind)
    {
    case MQ_ENTRY_REQUEST_LIMIT:
      p = router_push (router, MQ_ENTRY_LIMITED, action->handle,
                       action->attempt, now_us);
      p->event.u.limited.allowed = true;
      break;
    case MQ_ENTRY_REQUEST_PLAN:
      router_ask (router, action, now_us);
      break;
    case MQ_ENTRY_RELEASE_PLAN:
      release.u.release = action->u.release;
      planner_tell (router, action->handle, &release);
      break;
    case MQ_ENTRY_OPEN_STREAM:
      router_open (router, action, r, now_us);
      break;
    case MQ_ENTRY_CANCEL_STREAM:
      router_close (router, r, now_us);
      break;
    case MQ_ENTRY_DELIVER:
      g_array_append_val (r->bins, bin);
      break;
    case MQ_ENTRY_END:
      router_end (router, action, r, now_us);
      break;
    default:
      break;
    }
}

static void
router_schedule_tick (fake_router *router, uint64_t now_us)
{
  uint64_t due = mq_entry_next_tick (router->entry);

  if (due == UINT64_MAX)
    return;
  due = MAX (due, now_us + 1);
  if (due >= router->entry_tick_us && router->entry_tick_us > now_us)
    return;
  router->entry_tick_us = due;
  timeline_add (router->time, due, ROUTER_ENTRY_TICK, NULL, due);
}

/* Hand the entry what waits for it, and carry out what it says.  */
static void
router_run (fake_router *router)
{
  GArray *actions = g_array_new (FALSE, TRUE, sizeof (mq_entry_action));
  uint64_t now_us = 0;
  pending *p;

  while ((p = g_queue_pop_head (&router->pending)) != NULL)
    {
      now_us = p->event.now_us;
      g_array_set_size (actions, 0);
      mq_entry_handle (router->entry, &p->event, actions);
      for (guint i = 0; i < actions->len; i++)
        router_act (router, &g_array_index (actions, mq_entry_action, i),
                    now_us);
      mq_plan_finish (&p->plan);
      g_free (p);
    }
  g_array_unref (actions);
  router_schedule_tick (router, now_us);
}

static void
router_token (void *context, fake_stream *s, uint64_t now_us)
{
  fake_router *router = context;
  request *r = s->owner;
  mq_receipt receipts[MQ_PLAN_MAX_STAGES];
  uint32_t layers = FAKE_LAYERS / FAKE_RANGES;
  uint32_t made = r->base + s->tokens;
  pending *p;

  for (uint32_t i = 0; i < s->n_stages; i++)
    receipts[i] = (mq_receipt){ i * layers, (i + 1) * layers, MQ_SPAN ("v1") };
  if (s->tokens == 1)
    r->first_us = now_us;
  r->last_us = now_us;
  p = router_push (router, MQ_ENTRY_TOKEN, r->handle, r->attempt, now_us);
  p->event.u.token.position = made - 1;
  p->event.u.token.text = MQ_SPAN ("x");
  p->event.u.token.receipts = receipts;
  p->event.u.token.n_receipts = s->n_stages;
  if (made >= r->tokens)
    {
      p = router_push (router, MQ_ENTRY_STREAM_END, r->handle, r->attempt,
                       now_us);
      p->event.u.stream_end.end = MQ_STREAM_DONE;
      router_close (router, r, now_us);
    }
  router_run (router);
}

static int
stream_stage_at (const fake_stream *s, const fake_engine *e)
{
  for (uint32_t k = 0; k < s->n_stages; k++)
    if (s->stages[k] == e)
      return (int)k;
  return -1;
}

/* Streams through E break: by their connection when it was the head, else by
   the head's last line.  */
static void
router_lost (fake_router *router, const fake_engine *e, uint64_t now_us)
{
  for (guint i = router->live->len; i-- > 0;)
    {
      request *r = router->live->pdata[i];
      int stage = stream_stage_at (r->stream, e);
      pending *p;

      if (stage < 0)
        continue;
      router_close (router, r, now_us);
      p = router_push (
          router, stage == 0 ? MQ_ENTRY_STREAM_FAILED : MQ_ENTRY_STREAM_END,
          r->handle, r->attempt, now_us);
      if (stage == 0)
        p->event.u.failure.maybe_sent = true;
      else
        {
          p->event.u.stream_end.end = MQ_STREAM_STAGE_LOST;
          p->event.u.stream_end.stage = (uint32_t)stage;
        }
    }
  router_run (router);
}

static void
router_report (fake_router *router, uint64_t now_us)
{
  for (uint32_t i = 0; i < FAKE_ENGINES; i++)
    {
      const fake_engine *f = &router->fleet->engines[i];
      uint32_t layers = FAKE_LAYERS / FAKE_RANGES;
      mq_planner_event e = { .kind = MQ_PLANNER_LOAD, .now_us = now_us };

      if (f->dead || f->report.at_us == 0 || router->no_reports)
        continue;
      e.u.load = (mq_engine_load){ .engine = mq_span_from (f->name),
                                   .version = MQ_SPAN ("v1"),
                                   .first = f->range * layers,
                                   .end = (f->range + 1) * layers,
                                   .queue = f->report.queue,
                                   .batch = f->report.batch,
                                   .step_us = f->report.step_us,
                                   .age_us = now_us - f->report.at_us,
                                   .incarnation = 1 };
      planner_tell_all (router, &e);
    }
  fake_fleet_report (router->fleet, now_us);
}

static void
router_progress (fake_router *router, uint64_t now_us)
{
  for (guint i = 0; i < router->live->len && !router->no_progress; i++)
    {
      const request *r = router->live->pdata[i];
      mq_planner_event e = { .kind = MQ_PLANNER_PROGRESS, .now_us = now_us };
      uint32_t tokens = r->stream->tokens;

      if (tokens < 2)
        continue;
      e.u.progress.id = (mq_request_id){ 1, r->handle };
      e.u.progress.attempt = r->attempt;
      e.u.progress.tokens = tokens;
      e.u.progress.mean_gap_us = (r->last_us - r->first_us) / (tokens - 1);
      planner_tell (router, r->handle, &e);
    }
}

static void
router_again (fake_router *router, int kind, uint64_t due_us)
{
  if (due_us < router->until_us)
    timeline_add (router->time, due_us, kind, NULL, 0);
}

void
fake_router_init (fake_router *router, timeline *time, fake_fleet *fleet,
                  mq_config *config, uint32_t n_planners, uint64_t seed,
                  uint64_t until_us)
{
  mq_entry_options options
      = { .router = 1, .seed = seed, .failure_domain = MQ_SPAN ("d0") };
  pending *p;

  *router = (fake_router){
    .time = time, .fleet = fleet, .config = config, .until_us = until_us
  };
  router->entry = mq_entry_new (&options);
  router->n_planners = CLAMP (n_planners, 1, MOST_PLANNERS);
  for (uint32_t i = 0; i < router->n_planners; i++)
    router->planners[i] = mq_planner_new (MQ_SPAN ("d0"), 1);
  router->requests = g_ptr_array_new ();
  router->live = g_ptr_array_new ();
  router->answers = mq_planner_actions_new ();
  g_queue_init (&router->pending);
  fleet->on_token = router_token;
  fleet->context = router;
  planner_tell_all (router, &(mq_planner_event){ .kind = MQ_PLANNER_CONFIG,
                                                 .u.config = config });
  p = router_push (router, MQ_ENTRY_CONFIG, 0, 0, 0);
  p->event.u.config = config;
  router_run (router);
  router_again (router, ROUTER_REPORT, 2);
  router_again (router, ROUTER_PLANNER_TICK, 3);
  router_again (router, ROUTER_PROGRESS, 4);
}

void
fake_router_finish (fake_router *router)
{
  for (guint i = 0; i < router->requests->len; i++)
    {
      request *r = router->requests->pdata[i];

      if (r->stream != NULL)
        fake_stream_unref (r->stream);
      g_array_unref (r->bins);
      g_free (r);
    }
  g_ptr_array_unref (router->requests);
  g_ptr_array_unref (router->live);
  g_array_unref (router->answers);
  mq_entry_free (router->entry);
  for (uint32_t i = 0; i < router->n_planners; i++)
    mq_planner_free (router->planners[i]);
}

void
fake_router_call (fake_router *router, request *r, uint64_t now_us)
{
  char organisation[8];
  pending *p;
  mq_call *call;

  g_ptr_array_add (router->requests, r);
  r->handle = router->requests->len;
  g_snprintf (organisation, sizeof organisation, "o%u", r->organisation);
  p = router_push (router, MQ_ENTRY_CALL, r->handle, 0, now_us);
  call = &p->event.u.call;
  call->handle = r->handle;
  call->organisation = mq_span_from (organisation);
  call->service = MQ_SPAN ("s");
  call->deadline_us = r->deadline_us;
  call->priority = (int32_t)r->priority;
  call->prompt_tokens = r->prompt;
  call->max_tokens = r->max_tokens;
  router_run (router);
}

void
fake_router_kill (fake_router *router, fake_engine *engine, uint64_t now_us)
{
  fake_fleet_kill (router->fleet, engine);
  timeline_add (router->time, now_us + DETECT_US, ROUTER_LOST, engine, 0);
}

void
fake_router_lose_owner (fake_router *router, uint64_t now_us)
{
  mq_planner_event config = { .kind = MQ_PLANNER_CONFIG,
                              .now_us = now_us,
                              .u.config = router->config };

  for (uint32_t i = 0; i < router->n_planners; i++)
    {
      mq_planner_free (router->planners[i]);
      router->planners[i] = mq_planner_new (MQ_SPAN ("d0"), 2);
    }
  planner_tell_all (router, &config);
}

void
fake_router_handle (fake_router *router, const timeline_item *item)
{
  uint64_t now = item->due_us;

  switch (item->kind)
    {
    case ROUTER_ENTRY_TICK:
      /* One that was overtaken by an earlier one is void.  */
      if (item->arg != router->entry_tick_us)
        return;
      router->entry_tick_us = 0;
      router_push (router, MQ_ENTRY_TICK, 0, 0, now);
      router_run (router);
      break;
    case ROUTER_PLANNER_TICK:
      planner_tell_all (router, &(mq_planner_event){ .kind = MQ_PLANNER_TICK,
                                                     .now_us = now });
      router_again (router, ROUTER_PLANNER_TICK, now + TICK_US);
      break;
    case ROUTER_REPORT:
      router_report (router, now);
      router_again (router, ROUTER_REPORT, now + REPORT_US);
      break;
    case ROUTER_PROGRESS:
      router_progress (router, now);
      router_again (router, ROUTER_PROGRESS, now + PROGRESS_US);
      break;
    case ROUTER_LOST:
      router_lost (router, item->what, now);
      break;
    default:
      fake_fleet_handle (router->fleet, item);
    }
}
