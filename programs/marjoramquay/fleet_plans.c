/* Asks to the owner of a model's planner: see fleet_plans.h.

   One `plan_use` is kept for each attempt of ours from the ask to its
   release.  It holds copies, since an answer may come after the request has
   ended.  An answer that nobody waits for any more is released at its owner,
   so that no place stays taken.  */

#include "fleet_plans.h"

#include <mq/log.h>

#include "admission.h"
#include "fleet_node.h"

/* How long an owner may take; a round trip in a region is about one
   millisecond.  */
#define WAIT_US 10000
/* How long an owner that was silent is not asked.  */
#define SHUN_US 1000000

typedef enum plan_use_state
{
  PLAN_ASKED,
  PLAN_PLACED
} plan_use_state;

/* One attempt of ours.  */
typedef struct plan_use
{
  mq_request_id id; /* With ATTEMPT the key.  */
  uint32_t attempt;
  uint64_t handle;
  plan_use_state state;
  uint64_t owner; /* Incarnation of who counts it.  */
  uint64_t asked_us;
  mq_plan_request ask; /* Its spans are those of the next.  */
  mq_str *texts[2 + MQ_PLAN_STAGES];
  mq_str *model;
  mq_plan plan; /* PLACED.  */
} plan_use;

struct mq_fleet_plans
{
  mq_router *router; /* Borrowed.  */
  GHashTable *uses;  /* plan_use to itself, owned  */
  GQueue asked;      /* of plan_wait, oldest first  */
  mq_ticker tick;
  uint64_t shunned; /* An owner that was silent, ...  */
  uint64_t shun_until_us;
  uint64_t remote_asks;
  uint64_t fallbacks;
  uint64_t registered;
};

/* What waits for an answer, and until when.  */
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
use_keep (plan_use *use, size_t index, mq_span text)
{
  use->texts[index] = mq_str_new (text);
  return mq_str_span (use->texts[index]);
}

/* Owned by the table.  */
static plan_use *
use_new (mq_fleet_plans *plans, const mq_entry_action *action, mq_span model)
{
  plan_use *u = g_new0 (plan_use, 1);

  u->id = action->id;
  u->attempt = action->attempt;
  u->handle = action->handle;
  u->asked_us = mq_router_now_us ();
  u->model = mq_str_new (model);
  u->ask = action->u.ask;
  u->ask.service = use_keep (u, 0, action->u.ask.service);
  u->ask.organisation = use_keep (u, 1, action->u.ask.organisation);
  for (uint32_t i = 0; i < u->ask.n_avoid; i++)
    u->ask.avoid[i] = use_keep (u, 2 + i, action->u.ask.avoid[i]);
  g_hash_table_replace (plans->uses, u, u);
  return u;
}

/* The ask with the deadline that is left now.  */
static mq_plan_request
use_ask_now (const plan_use *use)
{
  uint64_t gone = mq_router_now_us () - use->asked_us;
  mq_plan_request ask = use->ask;

  ask.deadline_us -= MIN (gone, ask.deadline_us);
  return ask;
}

/* ---- Our own planner.  */

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
      use->state = PLAN_PLACED;
      use->owner = plans->router->incarnation;
      mq_plan_copy (&use->plan, &action->u.plan);
    }
  else
    g_hash_table_remove (plans->uses, use);
  mq_admission_answer (plans->router, handle, action);
}

static void
local_ask (mq_fleet_plans *plans, const plan_use *use)
{
  mq_plan_request ask = use_ask_now (use);

  mq_admission_plan (plans->router, &ask, local_answer, plans);
}

static void
local_release (mq_fleet_plans *plans, const mq_plan_release *release)
{
  mq_planner_event event = { .kind = MQ_PLANNER_RELEASE };

  event.u.release = *release;
  mq_admission_post (plans->router, &event);
}

static void
local_register (mq_fleet_plans *plans, const mq_plan_request *ask,
                const mq_plan *plan)
{
  mq_planner_event event = { .kind = MQ_PLANNER_REGISTER };

  event.u.registered.ask = *ask;
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

/* Nobody will run what OWNER has placed.  */
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
ask_send (mq_fleet_plans *plans, const plan_use *use)
{
  mq_peer_message m = { .kind = MQ_PEER_PLAN_REQUEST };

  m.u.plan_ask.ask = use->ask;
  m.u.plan_ask.generation = plans->router->config->generation;
  return mq_fleet_node_send (plans->router->fleet, use->owner, &m);
}

static bool
owner_is_shunned (const mq_fleet_plans *plans, uint64_t owner)
{
  return owner == plans->shunned && mq_router_now_us () < plans->shun_until_us;
}

static void
tick_arm (mq_fleet_plans *plans)
{
  const plan_wait *w = g_queue_peek_head (&plans->asked);

  mq_ticker_arm (&plans->tick, w == NULL ? UINT64_MAX : w->until_us);
}

static void
wait_for_answer (mq_fleet_plans *plans, const plan_use *use)
{
  plan_wait *w = g_new (plan_wait, 1);

  *w = (plan_wait){ .id = use->id,
                    .attempt = use->attempt,
                    .until_us = use->asked_us + WAIT_US };
  g_queue_push_tail (&plans->asked, w);
  if (g_queue_get_length (&plans->asked) == 1)
    tick_arm (plans);
}

/* The owner was silent: decide here.  */
static void
use_fall_back (mq_fleet_plans *plans, plan_use *use)
{
  plans->fallbacks++;
  plans->shunned = use->owner;
  plans->shun_until_us = mq_router_now_us () + SHUN_US;
  mq_log (G_LOG_LEVEL_INFO, "plan.fallback",
          "owner=%016" G_GINT64_MODIFIER "x model=%s", use->owner,
          mq_str_cstr (use->model));
  /* Should it answer after all, nobody waits for that.  */
  use->owner = plans->router->incarnation;
  local_ask (plans, use);
}

static void
on_tick (void *context)
{
  mq_fleet_plans *plans = context;
  uint64_t now = mq_router_now_us ();
  plan_wait *w;

  while ((w = g_queue_peek_head (&plans->asked)) != NULL && w->until_us <= now)
    {
      plan_use *use = use_find (plans, w->id, w->attempt);

      g_free (g_queue_pop_head (&plans->asked));
      if (use != NULL && use->state == PLAN_ASKED
          && use->owner != plans->router->incarnation)
        use_fall_back (plans, use);
    }
  tick_arm (plans);
}

/* ---- Registering.  */

static void
use_register (mq_fleet_plans *plans, plan_use *use, uint64_t owner)
{
  mq_plan_request ask = use_ask_now (use);
  mq_peer_message m = { .kind = MQ_PEER_PLAN_REGISTER };

  plans->registered++;
  use->owner = owner;
  if (owner == plans->router->incarnation)
    {
      local_register (plans, &ask, &use->plan);
      return;
    }
  m.u.plan_register.ask = ask;
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

      if (use->state != PLAN_PLACED || (!all && owner == before))
        continue;
      if (owner != before)
        cancel_at (plans, before, use->ask.service, use->id, use->attempt);
      use_register (plans, use, owner);
    }
}

/* ---- Messages.  */

static void
remote_answer (void *context, mq_planner_action *action)
{
  const mq_peer_message *ask = ((void **)context)[1];
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
  if (mq_fleet_node_send (plans->router->fleet, ask->sender, &m) < 0
      && m.u.plan_answer.admitted)
    cancel_at (plans, plans->router->incarnation, ask->u.plan_ask.ask.service,
               action->id, action->attempt);
}

/* An owner whose configuration is older than the asker's would refuse what it
   does not know yet; it leaves the answer to the asker's own planner.  */
static void
on_ask (mq_fleet_plans *plans, const mq_peer_message *message)
{
  void *context[2] = { plans, (void *)message };
  const mq_config *config = plans->router->config;

  if (message->u.plan_ask.ask.id.router != message->sender
      || !mq_fleet_node_may_own (plans->router->fleet) || config == NULL
      || config->generation < message->u.plan_ask.generation)
    return;
  mq_admission_plan (plans->router, &message->u.plan_ask.ask, remote_answer,
                     context);
}

static void
on_answer (mq_fleet_plans *plans, const mq_peer_message *message)
{
  plan_use *use = use_find (plans, message->u.plan_answer.id,
                            message->u.plan_answer.attempt);
  mq_planner_action action = { .kind = MQ_PLANNER_REFUSE };
  uint64_t handle;

  if (use == NULL || use->state != PLAN_ASKED || use->owner != message->sender)
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
      use->state = PLAN_PLACED;
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
  if (message->u.plan_register.ask.id.router == message->sender)
    local_register (plans, &message->u.plan_register.ask,
                    &message->u.plan_register.plan);
}

/* ---- For this program.  */

mq_fleet_plans *
mq_fleet_plans_new (mq_router *router)
{
  mq_fleet_plans *p = g_new0 (mq_fleet_plans, 1);

  p->router = router;
  p->uses = g_hash_table_new_full (use_hash, use_equal, NULL, use_free);
  g_queue_init (&p->asked);
  mq_ticker_init (&p->tick, router->loop, on_tick, p);
  return p;
}

void
mq_fleet_plans_free (mq_fleet_plans *plans)
{
  if (plans == NULL)
    return;
  mq_ticker_finish (&plans->tick);
  g_queue_clear_full (&plans->asked, g_free);
  g_hash_table_unref (plans->uses);
  g_free (plans);
}

/* The model behind a service; empty where there is none, and then our own
   planner says so.  */
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
  mq_span model = model_of (plans->router, action->u.ask.service);
  plan_use *use = use_new (plans, action, model);

  use->owner
      = model.size == 0 ? plans->router->incarnation : owner_of (plans, model);
  if (use->owner != plans->router->incarnation
      && !owner_is_shunned (plans, use->owner) && ask_send (plans, use) == 0)
    {
      plans->remote_asks++;
      wait_for_answer (plans, use);
      return;
    }
  use->owner = plans->router->incarnation;
  local_ask (plans, use);
}

void
mq_fleet_plans_release (mq_fleet_plans *plans, const mq_entry_action *action)
{
  const mq_plan_release *release = &action->u.release;
  plan_use *use = use_find (plans, release->id, release->attempt);

  if (use == NULL)
    return;
  /* Without an answer yet the owner gets the release after the ask.  */
  release_at (plans, use->owner, use->ask.service, release);
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
      m.u.plan_progress.service = use->ask.service;
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
      on_ask (plans, message);
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
      = plans->remote_asks;
  *mq_metrics_counter (m, "marjoramquay_plan_fallbacks_total", "",
                       "Asks that were decided here because the owner was "
                       "silent.")
      = plans->fallbacks;
  *mq_metrics_counter (m, "marjoramquay_plan_registrations_total", "",
                       "Attempts registered with a new owner.")
      = plans->registered;
}
