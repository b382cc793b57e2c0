/* Plan requests to the owners of models: see fleet_plans.h.

   A plan_use is kept for each attempt of this router from the plan request to
   its release.  It holds copies, since a reply may be received after the
   request has ended.  A plan that is no longer needed when it is received is
   released at its owner, so that it does not occupy capacity.  */

#include "fleet_plans.h"

#include <mq/log.h>

#include "admission.h"
#include "fleet_node.h"

/* For the owner's reply.  Several times a round trip within a region.  */
#define REPLY_TIMEOUT_US 10000
/* How long an owner that did not reply gets no plan requests.  */
#define UNRESPONSIVE_US 1000000

typedef enum plan_use_state
{
  PLAN_REQUESTED,
  PLAN_ADMITTED
} plan_use_state;

/* An attempt of this router.  */
typedef struct plan_use
{
  mq_request_id id; /* The key, together with ATTEMPT.  */
  uint32_t attempt;
  uint64_t handle;
  plan_use_state state;
  uint64_t owner; /* Incarnation of the router that counts it.  */
  uint64_t requested_us;
  mq_plan_request request; /* Its spans are borrowed from TEXTS.  */
  mq_str *texts[2 + MQ_PLAN_MAX_STAGES];
  mq_str *model;
  mq_plan plan; /* ADMITTED.  */
} plan_use;

struct mq_fleet_plans
{
  mq_router *router; /* Borrowed.  */
  GHashTable *uses;  /* Set of plan_use, owned.  */
  GQueue waits;      /* of plan_wait, owned, oldest first  */
  mq_ticker tick;
  uint64_t unresponsive_owner; /* Gets no requests until then.  */
  uint64_t unresponsive_until_us;
  uint64_t remote_requests;
  uint64_t fallbacks;
  uint64_t registered;
};

/* A plan request that waits for a reply until UNTIL_US.  */
typedef struct plan_wait
{
  mq_request_id id;
  uint32_t attempt;
  uint64_t until_us;
} plan_wait;

static guint
use_hash (gconstpointer data)
{
  const plan_use *u = data;

  return (guint)mq_hash_mix (u->id.sequence, u->attempt);
}

static gboolean
use_equal (gconstpointer a, gconstpointer b)
{
  const plan_use *x = a;
  const plan_use *y = b;

  return x->id.sequence == y->id.sequence && x->attempt == y->attempt;
}

static void
use_free (gpointer data)
{
  plan_use *u = data;

  for (size_t i = 0; i < G_N_ELEMENTS (u->texts); i++)
    mq_str_unref (u->texts[i]);
  mq_str_unref (u->model);
  mq_plan_finish (&u->plan);
  g_free (u);
}

static plan_use *
use_find (const mq_fleet_plans *plans, mq_request_id id, uint32_t attempt)
{
  const plan_use key = { .id = id, .attempt = attempt };

  return g_hash_table_lookup (plans->uses, &key);
}

static mq_span
use_copy_text (plan_use *use, size_t index, mq_span text)
{
  use->texts[index] = mq_str_new (text);
  return mq_str_span (use->texts[index]);
}

/* Returns a new plan_use, borrowed from the table.  */
static plan_use *
use_new (mq_fleet_plans *plans, const mq_entry_action *action, mq_span model)
{
  plan_use *u = g_new0 (plan_use, 1);

  u->id = action->id;
  u->attempt = action->attempt;
  u->handle = action->handle;
  u->requested_us = mq_router_now_us ();
  u->model = mq_str_new (model);
  u->request = action->u.request;
  u->request.service = use_copy_text (u, 0, action->u.request.service);
  u->request.organisation
      = use_copy_text (u, 1, action->u.request.organisation);
  for (uint32_t i = 0; i < u->request.n_avoid; i++)
    u->request.avoid[i] = use_copy_text (u, 2 + i, action->u.request.avoid[i]);
  g_hash_table_replace (plans->uses, u, u);
  return u;
}

/* Returns the plan request with the time that is left until its deadline.  */
static mq_plan_request
use_remaining_request (const plan_use *use)
{
  uint64_t elapsed_us = mq_router_now_us () - use->requested_us;
  mq_plan_request request = use->request;

  request.deadline_us -= MIN (elapsed_us, request.deadline_us);
  return request;
}

/* ---- This router's own planner.  */

static void
local_answer (void *context, mq_planner_action *action)
{
  mq_fleet_plans *plans = context;
  plan_use *use = use_find (plans, action->id, action->attempt);
  uint64_t handle;

  if (use == NULL)
    return;
  handle = use->handle;
  if (action->kind == MQ_PLANNER_ADMIT)
    {
      use->state = PLAN_ADMITTED;
      use->owner = plans->router->incarnation;
      mq_plan_copy (&use->plan, &action->u.plan);
    }
  else
    g_hash_table_remove (plans->uses, use);
  mq_admission_answer (plans->router, handle, action);
}

static void
local_request (mq_fleet_plans *plans, const plan_use *use)
{
  mq_plan_request request = use_remaining_request (use);

  mq_admission_plan (plans->router, &request, local_answer, plans);
}

static void
local_release (mq_fleet_plans *plans, const mq_plan_release *release)
{
  mq_planner_event event = { .kind = MQ_PLANNER_RELEASE };

  event.u.release = *release;
  mq_admission_post (plans->router, &event);
}

static void
local_register (mq_fleet_plans *plans, const mq_plan_request *request,
                const mq_plan *plan)
{
  mq_planner_event event = { .kind = MQ_PLANNER_REGISTER };

  event.u.registered.request = *request;
  event.u.registered.plan = plan;
  mq_admission_post (plans->router, &event);
}

/* ---- Owners.  */

static void
release_at (mq_fleet_plans *plans, uint64_t owner, mq_span service,
            const mq_plan_release *release)
{
  mq_peer_message m = { .kind = MQ_PEER_PLAN_RELEASE };

  if (owner == plans->router->incarnation)
    {
      local_release (plans, release);
      return;
    }
  m.u.plan_release.service = service;
  m.u.plan_release.release = *release;
  (void)mq_fleet_node_send (plans->router->fleet, owner, &m);
}

/* Releases a plan that OWNER has admitted and that will not run.  */
static void
cancel_at (mq_fleet_plans *plans, uint64_t owner, mq_span service,
           mq_request_id id, uint32_t attempt)
{
  mq_plan_release release = { .id = id,
                              .attempt = attempt,
                              .end = MQ_ATTEMPT_CANCELLED,
                              .stage = MQ_STAGE_NONE };

  release_at (plans, owner, service, &release);
}

static int
request_send (mq_fleet_plans *plans, const plan_use *use)
{
  mq_peer_message m = { .kind = MQ_PEER_PLAN_REQUEST };

  m.u.plan_request.request = use->request;
  m.u.plan_request.generation = plans->router->config->generation;
  return mq_fleet_node_send (plans->router->fleet, use->owner, &m);
}

static bool
owner_is_unresponsive (const mq_fleet_plans *plans, uint64_t owner)
{
  return owner == plans->unresponsive_owner
         && mq_router_now_us () < plans->unresponsive_until_us;
}

static void
tick_arm (mq_fleet_plans *plans)
{
  const plan_wait *w = g_queue_peek_head (&plans->waits);

  mq_ticker_arm (&plans->tick, w == NULL ? UINT64_MAX : w->until_us);
}

static void
wait_add (mq_fleet_plans *plans, const plan_use *use)
{
  plan_wait *w = g_new (plan_wait, 1);

  *w = (plan_wait){ .id = use->id,
                    .attempt = use->attempt,
                    .until_us = use->requested_us + REPLY_TIMEOUT_US };
  g_queue_push_tail (&plans->waits, w);
  if (g_queue_get_length (&plans->waits) == 1)
    tick_arm (plans);
}

/* Has this router's own planner decide, since the owner did not reply.  */
static void
use_decide_locally (mq_fleet_plans *plans, plan_use *use)
{
  plans->fallbacks++;
  plans->unresponsive_owner = use->owner;
  plans->unresponsive_until_us = mq_router_now_us () + UNRESPONSIVE_US;
  mq_log (G_LOG_LEVEL_INFO, "plan.fallback",
          "owner=%016" G_GINT64_MODIFIER "x model=%s", use->owner,
          mq_str_cstr (use->model));
  /* A late reply of the previous owner is not used.  */
  use->owner = plans->router->incarnation;
  local_request (plans, use);
}

static void
on_tick (void *context)
{
  mq_fleet_plans *plans = context;
  uint64_t now = mq_router_now_us ();
  plan_wait *w;

  while ((w = g_queue_peek_head (&plans->waits)) != NULL && w->until_us <= now)
    {
      plan_use *use = use_find (plans, w->id, w->attempt);

      g_free (g_queue_pop_head (&plans->waits));
      if (use != NULL && use->state == PLAN_REQUESTED
          && use->owner != plans->router->incarnation)
        use_decide_locally (plans, use);
    }
  tick_arm (plans);
}

/* ---- Registering.  */

static void
use_register (mq_fleet_plans *plans, plan_use *use, uint64_t owner)
{
  mq_plan_request request = use_remaining_request (use);
  mq_peer_message m = { .kind = MQ_PEER_PLAN_REGISTER };

  plans->registered++;
  use->owner = owner;
  if (owner == plans->router->incarnation)
    {
      local_register (plans, &request, &use->plan);
      return;
    }
  m.u.plan_register.request = request;
  m.u.plan_register.plan = use->plan;
  (void)mq_fleet_node_send (plans->router->fleet, owner, &m);
}

static uint64_t
owner_of (const mq_fleet_plans *plans, mq_span model)
{
  const mq_member *m
      = mq_fleet_node_owner (plans->router->fleet, MQ_OWNED_MODEL, model);

  return m == NULL ? plans->router->incarnation : m->incarnation;
}

static void
uses_register (mq_fleet_plans *plans, bool all)
{
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, plans->uses);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      plan_use *use = value;
      uint64_t owner = owner_of (plans, mq_str_span (use->model));
      uint64_t before = use->owner;

      if (use->state != PLAN_ADMITTED || (!all && owner == before))
        continue;
      if (owner != before)
        cancel_at (plans, before, use->request.service, use->id, use->attempt);
      use_register (plans, use, owner);
    }
}

/* ---- Messages.  */

static void
remote_answer (void *context, mq_planner_action *action)
{
  const mq_peer_message *request = ((void **)context)[1];
  mq_fleet_plans *plans = ((void **)context)[0];
  mq_peer_message m = { .kind = MQ_PEER_PLAN_ANSWER };

  m.u.plan_answer.id = action->id;
  m.u.plan_answer.attempt = action->attempt;
  m.u.plan_answer.figures = action->figures;
  m.u.plan_answer.admitted = action->kind == MQ_PLANNER_ADMIT;
  if (m.u.plan_answer.admitted)
    m.u.plan_answer.plan = action->u.plan; /* Borrowed.  */
  else
    {
      m.u.plan_answer.reason = action->u.refuse.reason;
      m.u.plan_answer.retry_after_us = action->u.refuse.retry_after_us;
    }
  if (mq_fleet_node_send (plans->router->fleet, request->sender, &m) < 0
      && m.u.plan_answer.admitted)
    cancel_at (plans, plans->router->incarnation,
               request->u.plan_request.request.service, action->id,
               action->attempt);
}

/* Handles another router's plan request.  A router whose configuration is
   older than the sender's would reject a service that it does not know yet; so
   it does not reply, and the sender's own planner decides.  */
static void
on_request (mq_fleet_plans *plans, const mq_peer_message *message)
{
  void *context[2] = { plans, (void *)message };
  const mq_config *config = plans->router->config;

  if (message->u.plan_request.request.id.router != message->sender
      || !mq_fleet_node_may_own (plans->router->fleet) || config == NULL
      || config->generation < message->u.plan_request.generation)
    return;
  mq_admission_plan (plans->router, &message->u.plan_request.request,
                     remote_answer, context);
}

static void
on_answer (mq_fleet_plans *plans, const mq_peer_message *message)
{
  plan_use *use = use_find (plans, message->u.plan_answer.id,
                            message->u.plan_answer.attempt);
  mq_planner_action action = { .kind = MQ_PLANNER_REFUSE };
  uint64_t handle;

  if (use == NULL || use->state != PLAN_REQUESTED
      || use->owner != message->sender)
    {
      if (message->u.plan_answer.admitted
          && (use == NULL || use->owner != message->sender))
        cancel_at (plans, message->sender, (mq_span){ NULL, 0 },
                   message->u.plan_answer.id, message->u.plan_answer.attempt);
      return;
    }
  handle = use->handle;
  action.id = use->id;
  action.attempt = use->attempt;
  action.figures = message->u.plan_answer.figures;
  if (message->u.plan_answer.admitted)
    {
      action.kind = MQ_PLANNER_ADMIT;
      mq_plan_copy (&action.u.plan, &message->u.plan_answer.plan);
      mq_plan_copy (&use->plan, &message->u.plan_answer.plan);
      use->state = PLAN_ADMITTED;
    }
  else
    {
      action.u.refuse.reason = message->u.plan_answer.reason;
      action.u.refuse.retry_after_us = message->u.plan_answer.retry_after_us;
      g_hash_table_remove (plans->uses, use);
    }
  mq_admission_answer (plans->router, handle, &action);
  if (action.kind == MQ_PLANNER_ADMIT)
    mq_plan_finish (&action.u.plan);
}

static void
on_release (mq_fleet_plans *plans, const mq_peer_message *message)
{
  if (message->u.plan_release.release.id.router == message->sender)
    local_release (plans, &message->u.plan_release.release);
}

static void
on_progress (mq_fleet_plans *plans, const mq_peer_message *message)
{
  mq_planner_event event = { .kind = MQ_PLANNER_PROGRESS };

  if (message->u.plan_progress.id.router != message->sender)
    return;
  event.u.progress.id = message->u.plan_progress.id;
  event.u.progress.attempt = message->u.plan_progress.attempt;
  event.u.progress.tokens = message->u.plan_progress.tokens;
  event.u.progress.mean_gap_us = message->u.plan_progress.mean_gap_us;
  mq_admission_post (plans->router, &event);
}

static void
on_register (mq_fleet_plans *plans, const mq_peer_message *message)
{
  if (message->u.plan_register.request.id.router == message->sender)
    local_register (plans, &message->u.plan_register.request,
                    &message->u.plan_register.plan);
}

/* ---- Functions declared in fleet_plans.h.  */

mq_fleet_plans *
mq_fleet_plans_new (mq_router *router)
{
  mq_fleet_plans *p = g_new0 (mq_fleet_plans, 1);

  p->router = router;
  p->uses = g_hash_table_new_full (use_hash, use_equal, NULL, use_free);
  g_queue_init (&p->waits);
  mq_ticker_init (&p->tick, router->loop, on_tick, p);
  return p;
}

void
mq_fleet_plans_free (mq_fleet_plans *plans)
{
  if (plans == NULL)
    return;
  mq_ticker_finish (&plans->tick);
  g_queue_clear_full (&plans->waits, g_free);
  g_hash_table_unref (plans->uses);
  g_free (plans);
}

/* Returns the model of SERVICE.  Empty when there is none; this router's own
   planner then rejects the plan request.  */
static mq_span
model_of (const mq_router *router, mq_span service)
{
  const mq_service *s = router->config == NULL
                            ? NULL
                            : mq_config_service (router->config, service);

  if (s == NULL || s->kind != MQ_SERVICE_MODEL)
    return (mq_span){ NULL, 0 };
  return mq_str_span (s->u.model.model);
}

void
mq_fleet_plans_request (mq_fleet_plans *plans, const mq_entry_action *action)
{
  mq_span model = model_of (plans->router, action->u.request.service);
  plan_use *use = use_new (plans, action, model);

  use->owner
      = model.size == 0 ? plans->router->incarnation : owner_of (plans, model);
  if (use->owner != plans->router->incarnation
      && !owner_is_unresponsive (plans, use->owner)
      && request_send (plans, use) == 0)
    {
      plans->remote_requests++;
      wait_add (plans, use);
      return;
    }
  use->owner = plans->router->incarnation;
  local_request (plans, use);
}

void
mq_fleet_plans_release (mq_fleet_plans *plans, const mq_entry_action *action)
{
  const mq_plan_release *release = &action->u.release;
  plan_use *use = use_find (plans, release->id, release->attempt);

  if (use == NULL)
    return;
  /* Messages to the owner keep their order, so it receives the release after
     the plan request, also while its reply is outstanding.  */
  release_at (plans, use->owner, use->request.service, release);
  g_hash_table_remove (plans->uses, use);
}

void
mq_fleet_plans_progress (mq_fleet_plans *plans, mq_request_id id,
                         uint32_t attempt, uint32_t tokens,
                         uint64_t mean_gap_us)
{
  plan_use *use = use_find (plans, id, attempt);
  mq_planner_event event = { .kind = MQ_PLANNER_PROGRESS };
  mq_peer_message m = { .kind = MQ_PEER_PLAN_PROGRESS };

  if (use == NULL)
    return;
  if (use->owner != plans->router->incarnation)
    {
      m.u.plan_progress.service = use->request.service;
      m.u.plan_progress.id = id;
      m.u.plan_progress.attempt = attempt;
      m.u.plan_progress.tokens = tokens;
      m.u.plan_progress.mean_gap_us = mean_gap_us;
      (void)mq_fleet_node_send (plans->router->fleet, use->owner, &m);
      return;
    }
  event.u.progress.id = id;
  event.u.progress.attempt = attempt;
  event.u.progress.tokens = tokens;
  event.u.progress.mean_gap_us = mean_gap_us;
  mq_admission_post (plans->router, &event);
}

void
mq_fleet_plans_on_message (mq_fleet_plans *plans,
                           const mq_peer_message *message)
{
  switch (message->kind)
    {
    case MQ_PEER_PLAN_REQUEST:
      on_request (plans, message);
      break;
    case MQ_PEER_PLAN_ANSWER:
      on_answer (plans, message);
      break;
    case MQ_PEER_PLAN_RELEASE:
      on_release (plans, message);
      break;
    case MQ_PEER_PLAN_PROGRESS:
      on_progress (plans, message);
      break;
    case MQ_PEER_PLAN_REGISTER:
      on_register (plans, message);
      break;
    default:
      break;
    }
}

void
mq_fleet_plans_owners_changed (mq_fleet_plans *plans)
{
  uses_register (plans, false);
}

void
mq_fleet_plans_register_all (mq_fleet_plans *plans)
{
  uses_register (plans, true);
}

void
mq_fleet_plans_update_metrics (const mq_fleet_plans *plans)
{
  mq_metrics *m = plans->router->metrics;

  *mq_metrics_counter (m, "marjoramquay_plan_asks_total", "to=\"owner\"",
                       "Asks for a plan to another router.")
      = plans->remote_requests;
  *mq_metrics_counter (
      m, "marjoramquay_plan_fallbacks_total", "",
      "Asks that were decided here because the owner was silent.")
      = plans->fallbacks;
  *mq_metrics_counter (m, "marjoramquay_plan_registrations_total", "",
                       "Attempts registered with a new owner.")
      = plans->registered;
}
