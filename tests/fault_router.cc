/* The simulated routers: serving of callers.  See fault_sim.h.  */

#include "fault_sim.h"

#include <cstring>

namespace fault_test
{

Router::Router (Simulation &simulation, const std::string &vm_name,
                uint64_t router_incarnation)
    : sim (simulation), name (vm_name), incarnation (router_incarnation)
{
  mq_entry_options e
      = { incarnation, incarnation, MQ_SPAN ("kamloops-yard"), nullptr };
  mq_claims_options c = {};
  mq_tickets_options t = {};
  mq_order_scope_options o = {};

  o.lease.router = incarnation;
  o.lease.duration_us = 3 * SECOND;
  o.lease.retry_us = 500 * MS;
  o.lease.timeout_us = 600 * MS;
  o.lease.margin_percent = 10;
  o.orders.max_in_flight_us = 2 * SECOND;
  o.orders.poll_interval_us = 100 * MS;
  o.orders.verify_interval_us = 1 * SECOND;
  o.orders.concurrent = 1;
  o.orders.load_timeout_us = 2 * SECOND;
  o.orders.target_timeout_us = 20 * SECOND;
  c.router = incarnation;
  c.give_up_us = 1500 * MS;
  c.retry_us = 100 * MS;
  c.late_us = 2 * SECOND;
  c.skew_ms = 1000;
  c.limit = 1000;
  t.router = incarnation;
  memset (t.key, (int)incarnation, sizeof t.key);
  t.address = MQ_SPAN ("127.0.0.1:8000");
  t.lifetime_us = 60 * SECOND;
  t.limit = 1000;
  entry = mq_entry_new (&e);
  planner = mq_planner_new (MQ_SPAN ("kamloops-yard"), incarnation);
  claims = mq_claims_new (&c);
  tickets = mq_tickets_new (&t);
  planner_actions = mq_planner_actions_new ();
  order_scope = mq_order_scope_new (&o);
  start_fleet ();
  mq_generation_init (&generation, sim.clock.now_us, 10 * SECOND);
}

Router::~Router ()
{
  mq_entry_free (entry);
  mq_planner_free (planner);
  mq_claims_free (claims);
  mq_tickets_free (tickets);
  mq_order_scope_free (order_scope);
  mq_fleet_free (fleet);
  g_array_unref (planner_actions);
}

void
Router::post (uint64_t delay_us, std::function<void ()> callback)
{
  sim.clock.at (delay_us, [this, callback] () {
    if (!alive || exited)
      return;
    if (paused)
      deferred.push_back (callback);
    else
      callback ();
  });
}

void
Router::pause (uint64_t for_us)
{
  paused = has_paused = true;
  sim.clock.at (for_us, [this] () {
    std::vector<std::function<void ()> > late = std::move (deferred);
    paused = false;
    deferred.clear ();
    for (auto &callback : late)
      if (alive && !exited)
        callback ();
  });
}

void
Router::kill ()
{
  alive = false;
  sim.router_ended (this);
}

Client
Router::client ()
{
  return { this,
           [this] (uint64_t delay_us, std::function<void ()> callback) {
             post (delay_us, std::move (callback));
           },
           partitioned };
}

std::string
Router::mint (const std::string &organisation)
{
  GString *out = g_string_new (NULL);
  std::string ticket;

  if (mq_tickets_mint (tickets, sim.clock.now_us, span (organisation), out,
                       NULL)
      == 0)
    ticket = out->str;
  g_string_free (out, TRUE);
  return ticket;
}

void
Router::call (Exchange *x)
{
  mq_entry_event e = {};
  mq_call *c = &e.u.call;
  mq_ticket ticket;
  std::string number;

  x->handle = ++sim.next_handle;
  x->at = this;
  open[x->handle] = x;
  e.kind = MQ_ENTRY_CALL;
  e.handle = c->handle = x->handle;
  c->organisation = MQ_SPAN ("acme");
  c->service = x->model ? MQ_SPAN ("chat") : MQ_SPAN ("booking");
  c->priority = -1;
  c->guard = x->guard;
  c->guard_value = span (x->guard_value);
  c->body_hash = mq_span_hash (span (x->work));
  c->prompt_tokens = 10;
  c->max_tokens = x->max_tokens;
  c->method = x->post ? MQ_SPAN ("POST") : MQ_SPAN ("GET");
  c->path = MQ_SPAN ("/units");
  if (x->guard == MQ_GUARD_TICKET)
    {
      mq_ticket_check check
          = mq_tickets_open (tickets, sim.clock.now_us, MQ_SPAN ("acme"),
                             span (x->guard_value), &ticket);
      if (check != MQ_TICKET_OK)
        {
          mq_ticket_answer a
              = mq_ticket_answer_other_router (MQ_TICKET_ROUTER_DEAD, false);
          open.erase (x->handle);
          x->outcome = a.outcome;
          x->reason = a.reason;
          x->ended = true;
          sim.receive_outcome (x);
          return;
        }
      number = std::to_string (ticket.number);
      c->guard_value = span (number);
    }
  entry_event (e);
}

void
Router::entry_event (mq_entry_event event)
{
  GArray *actions = g_array_new (FALSE, TRUE, sizeof (mq_entry_action));

  event.now_us = sim.clock.now_us;
  mq_entry_handle (entry, &event, actions);
  for (guint i = 0; i < actions->len; i++)
    act (g_array_index (actions, mq_entry_action, i));
  g_array_unref (actions);
  schedule_tick ();
}

void
Router::planner_event (mq_planner_event event)
{
  event.now_us = sim.clock.now_us;
  mq_planner_handle (planner, &event, planner_actions);
  if (event.kind != MQ_PLANNER_REQUEST)
    g_array_set_size (planner_actions, 0);
}

void
Router::schedule_tick ()
{
  uint64_t next = mq_entry_next_tick (entry);
  uint64_t now = sim.clock.now_us;

  if (next == UINT64_MAX || next >= tick_us)
    return;
  tick_us = next;
  post (next > now ? next - now : 0, [this, next] () {
    mq_entry_event e = {};
    if (tick_us == next)
      tick_us = UINT64_MAX;
    e.kind = MQ_ENTRY_TICK;
    entry_event (e);
  });
}

void
Router::answer_plan (uint64_t handle, uint32_t attempt,
                     const mq_planner_action &answer, bool from_own_planner)
{
  mq_entry_event e = {};
  bool &answered = plan_answered[{ handle, attempt }];

  if (answered || open.count (handle) == 0)
    {
      /* The answer is late or a duplicate: release the plan at the planner
         that granted it.  */
      Router *granter = from_own_planner ? this : model_owner ();
      mq_planner_event r = {};
      r.kind = MQ_PLANNER_RELEASE;
      r.u.release.id = answer.id;
      r.u.release.attempt = attempt;
      r.u.release.end = MQ_ATTEMPT_CANCELLED;
      r.u.release.stage = MQ_STAGE_NONE;
      if (answer.kind == MQ_PLANNER_ADMIT && granter != nullptr)
        granter->post (ROUTER_LATENCY_US,
                       [granter, r] () { granter->planner_event (r); });
      return;
    }
  answered = true;
  e.kind = MQ_ENTRY_PLANNED;
  e.handle = handle;
  e.attempt = attempt;
  e.u.planned.figures = answer.figures;
  e.u.planned.admitted = answer.kind == MQ_PLANNER_ADMIT;
  if (e.u.planned.admitted)
    e.u.planned.plan = &answer.u.plan;
  else
    {
      e.u.planned.reason = answer.u.refuse.reason;
      e.u.planned.retry_after_us = answer.u.refuse.retry_after_us;
    }
  entry_event (e);
}

/* Sends REQUEST to GRANTER's planner and calls REPLY with each answer.  */
static void
plan_at (Router *granter, GArray *actions, mq_plan_request request,
         const std::function<void (const mq_planner_action &)> &reply)
{
  mq_planner_event e = {};

  e.kind = MQ_PLANNER_REQUEST;
  e.u.request = request;
  granter->planner_event (e);
  for (guint i = 0; i < actions->len; i++)
    {
      const mq_planner_action *a
          = &g_array_index (actions, mq_planner_action, i);
      if (a->kind != MQ_PLANNER_REPAIR)
        reply (*a);
    }
  g_array_set_size (actions, 0);
}

/* Returns a copy of ANSWER that outlives the planner's list of actions.  */
static std::shared_ptr<mq_planner_action>
copy_answer (const mq_planner_action &answer)
{
  auto copy = std::shared_ptr<mq_planner_action> (
      new mq_planner_action (answer), [] (mq_planner_action *a) {
        if (a->kind == MQ_PLANNER_ADMIT)
          mq_plan_finish (&a->u.plan);
        delete a;
      });
  if (answer.kind == MQ_PLANNER_ADMIT)
    mq_plan_copy (&copy->u.plan, &answer.u.plan);
  return copy;
}

void
Router::request_plan (const mq_entry_action &action)
{
  uint64_t handle = action.handle;
  uint32_t attempt = action.attempt;
  mq_plan_request request = action.u.request;
  Router *owner = model_owner ();
  auto avoid = std::make_shared<std::vector<std::string> > ();
  Delivery delivery = owner == this
                          ? Delivery::Normal
                          : sim.inject (Step::Admit, owner ? owner : this);

  for (uint32_t i = 0; i < request.n_avoid; i++)
    avoid->push_back (text (request.avoid[i]));
  request.service = MQ_SPAN ("chat");
  request.organisation = MQ_SPAN ("acme");
  plan_answered[{ handle, attempt }] = false;
  auto request_at = [this, request, avoid, handle,
                     attempt] (Router *granter, uint64_t reply_delay_us,
                               unsigned times) mutable {
    for (size_t i = 0; i < avoid->size (); i++)
      request.avoid[i] = span ((*avoid)[i]);
    plan_at (granter, granter->planner_actions, request,
             [&] (const mq_planner_action &answer) {
               auto copy = copy_answer (answer);
               bool from_own_planner = granter == this;
               for (unsigned i = 0; i < times; i++)
                 post (reply_delay_us, [this, copy, handle, attempt,
                                        from_own_planner] () {
                   answer_plan (handle, attempt, *copy, from_own_planner);
                 });
             });
  };
  if (owner != this && owner != nullptr)
    {
      uint64_t reply_delay_us
          = delivery == Delivery::Late ? LATE_DELAY_US : ROUTER_LATENCY_US;
      unsigned times = delivery == Delivery::Lost      ? 0
                       : delivery == Delivery::Doubled ? 2
                                                       : 1;
      owner->post (ROUTER_LATENCY_US,
                   [request_at, owner, reply_delay_us, times] () mutable {
                     request_at (owner, reply_delay_us, times);
                   });
    }
  post (owner == this ? 0 : OWNER_TIMEOUT_US,
        [this, request_at, handle, attempt] () mutable {
          if (!plan_answered[{ handle, attempt }] && open.count (handle) > 0)
            request_at (this, 0, 1);
        });
}

/* Releases the attempt at both planners, since either may count it.  A planner
   ignores a release of an attempt that it does not know.  */
void
Router::release_plan (const mq_entry_action &action)
{
  mq_planner_event r = {};
  Router *owner = model_owner ();

  r.kind = MQ_PLANNER_RELEASE;
  r.u.release = action.u.release;
  plan_answered[{ action.handle, action.attempt }] = true;
  planner_event (r);
  if (owner != this && owner != nullptr)
    owner->post (ROUTER_LATENCY_US,
                 [owner, r] () { owner->planner_event (r); });
  if (action.u.release.end != MQ_ATTEMPT_DONE
      && action.u.release.end != MQ_ATTEMPT_CANCELLED)
    recoveries++;
}

void
Router::end (const mq_entry_action &action)
{
  Exchange *x = open[action.handle];
  mq_claims_event settle = {};

  open.erase (action.handle);
  if (x == nullptr)
    return;
  x->outcome = action.u.end.outcome;
  x->reason = action.u.end.reason;
  settle.kind = MQ_CLAIMS_SETTLED;
  settle.u.settled.handle = action.handle;
  settle.u.settled.outcome = action.u.end.outcome;
  if (x->guard == MQ_GUARD_KEY)
    claims_event (settle);
  sim.clock.at (CALLER_LATENCY_US, [this, x] () {
    if (x->broken)
      return;
    x->ended = true;
    sim.receive_outcome (x);
  });
}

void
Router::claims_event (mq_claims_event event)
{
  GArray *actions = mq_claims_actions_new ();

  event.now_us = sim.clock.now_us;
  event.wall_ms = sim.clock.now_us / 1000;
  mq_claims_handle (claims, &event, actions);
  act_claims (actions);
  g_array_unref (actions);
  uint64_t next = mq_claims_next_tick (claims);
  if (next != UINT64_MAX && next < claims_tick_us)
    {
      claims_tick_us = next;
      post (next > event.now_us ? next - event.now_us : 0, [this, next] () {
        mq_claims_event tick = {};
        if (claims_tick_us == next)
          claims_tick_us = UINT64_MAX;
        tick.kind = MQ_CLAIMS_TICK;
        claims_event (tick);
      });
    }
}

void
Router::act_claims (GArray *actions)
{
  for (guint i = 0; i < actions->len; i++)
    {
      const mq_claims_action *a
          = &g_array_index (actions, mq_claims_action, i);
      uint64_t claim = a->claim;
      uint32_t step = a->step;

      if (a->kind == MQ_CLAIMS_RESULT)
        {
          mq_entry_event e = {};
          e.kind = MQ_ENTRY_CLAIMED;
          e.handle = a->handle;
          e.u.claim = a->result;
          post (0, [this, e] () { entry_event (e); });
          continue;
        }
      StoreOp op = a->kind == MQ_CLAIMS_CREATE   ? StoreOp::Create
                   : a->kind == MQ_CLAIMS_UPDATE ? StoreOp::Update
                   : a->kind == MQ_CLAIMS_DELETE ? StoreOp::Delete
                                                 : StoreOp::Read;
      sim.store (client (), Step::Claim,
                 { op, text (mq_str_span (a->name)),
                   text (mq_str_span (a->value)), a->version },
                 [this, claim, step] (mq_store_reply reply) {
                   mq_claims_event e = {};
                   e.kind = MQ_CLAIMS_REPLY;
                   e.u.reply.claim = claim;
                   e.u.reply.step = step;
                   e.u.reply.reply = reply;
                   claims_event (e);
                 });
    }
}

void
Router::act (const mq_entry_action &a)
{
  Exchange *x = open.count (a.handle) ? open[a.handle] : nullptr;
  mq_entry_event e = {};
  mq_claims_event c = {};

  e.handle = a.handle;
  switch (a.kind)
    {
    case MQ_ENTRY_REQUEST_LIMIT:
      e.kind = MQ_ENTRY_LIMITED;
      e.u.limited.allowed = true;
      post (0, [this, e] () { entry_event (e); });
      break;
    case MQ_ENTRY_RELEASE_LIMIT:
      break;
    case MQ_ENTRY_REQUEST_PLAN:
      request_plan (a);
      break;
    case MQ_ENTRY_RELEASE_PLAN:
      release_plan (a);
      break;
    case MQ_ENTRY_CLAIM:
      c.kind = MQ_CLAIMS_START;
      c.u.start.handle = a.handle;
      c.u.start.organisation = a.u.claim.organisation;
      c.u.start.key = a.u.claim.key;
      c.u.start.body_hash = a.u.claim.body_hash;
      c.u.start.lifetime_us = a.u.claim.lifetime_us;
      claims_event (c);
      break;
    case MQ_ENTRY_OPEN_STREAM:
      sim.open_stream (this, a);
      break;
    case MQ_ENTRY_CANCEL_STREAM:
      sim.cancel_stream (this, a.handle, a.attempt);
      break;
    case MQ_ENTRY_SEND:
      sim.send (this, a);
      break;
    case MQ_ENTRY_CANCEL_SEND:
      break;
    case MQ_ENTRY_DELIVER:
      if (x != nullptr && !x->broken)
        x->tokens.push_back (text (a.u.deliver.text));
      break;
    case MQ_ENTRY_SUSPECT:
      break;
    case MQ_ENTRY_FORWARD_REPLY:
      if (x != nullptr && !x->broken)
        x->reply = true;
      break;
    case MQ_ENTRY_END:
      end (a);
      break;
    case MQ_ENTRY_DRAINED:
      if (!open.empty ())
        sim.add_finding (Promise::ShutdownCutsNothing,
                         name + " exits with requests open");
      exited = true;
      sim.router_ended (this);
      break;
    }
}

} // namespace fault_test
