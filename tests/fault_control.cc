/* The simulated routers and operators: configuration, lease and orders.  See
   fault_sim.h.  */

#include "fault_sim.h"

namespace fault_test
{

namespace
{

constexpr uint64_t WATCH_INTERVAL_US = 300 * MS;
constexpr uint64_t GOSSIP_INTERVAL_US = 200 * MS;
constexpr uint64_t LOAD_WEIGHTS_US = 300 * MS;
constexpr uint64_t CHANGE_TIMEOUT_US = 8 * SECOND;
/* Time until a change is in force at every router, unless a fault delays
   it.  */
constexpr uint64_t MAX_PROPAGATION_US = 2 * SECOND;
const char LEASE_OBJECT[] = "lease/region";

uint64_t
manifest_generation (mq_span value)
{
  mq_manifest m;
  uint64_t generation = 0;

  if (mq_manifest_decode (value, &m, NULL) != 0)
    return 0;
  generation = m.generation;
  mq_manifest_finish (&m);
  return generation;
}

} // namespace

/* ---- Configuration.  */

void
Router::start ()
{
  read_vm_list ();
  watch ();
  gossip ();
}

/* Reads the manifest periodically.  Only the latest read schedules the next
   one, so that a duplicated reply does not double the loop.  */
void
Router::watch ()
{
  unsigned watch_number = ++last_watch_number;
  auto seen = [this, watch_number] (mq_store_reply reply) {
    mq_generation_event e = {};
    e.kind = MQ_GENERATION_OFFER;
    e.peer = MQ_GENERATION_PLATFORM;
    if (reply.result == MQ_STORE_OK && reply.version != seen_version)
      {
        seen_version = reply.version;
        seen_generation = manifest_generation (reply.value);
      }
    if (reply.result == MQ_STORE_OK)
      e.generation = seen_generation;
    if (reply.result == MQ_STORE_OK || reply.result == MQ_STORE_ABSENT)
      generation_event (e);
    if (watch_number == last_watch_number)
      post (WATCH_INTERVAL_US, [this, watch_number] () {
        if (watch_number == last_watch_number)
          watch ();
      });
  };

  sim.store (client (), Step::Watch,
             { StoreOp::Read, MQ_MANIFEST_OBJECT, "", 0 }, seen, false);
}

/* Announces the generation in force to the other routers.  */
void
Router::gossip ()
{
  for (auto &each : sim.routers)
    {
      Router *to = each.get ();
      mq_generation_event e = {};
      if (to == this || !to->alive || to->exited || partitioned
          || to->partitioned)
        continue;
      e.kind = MQ_GENERATION_OFFER;
      e.peer = incarnation;
      e.generation = generation.in_force;
      to->post (ROUTER_LATENCY_US, [to, e] () { to->generation_event (e); });
    }
  post (GOSSIP_INTERVAL_US, [this] () { gossip (); });
}

void
Router::generation_event (mq_generation_event event)
{
  GArray *actions = g_array_new (FALSE, TRUE, sizeof (mq_generation_action));

  event.now_us = sim.clock.now_us;
  event.count = 1;
  mq_generation_handle (&generation, &event, actions);
  for (guint i = 0; i < actions->len; i++)
    {
      const mq_generation_action a
          = g_array_index (actions, mq_generation_action, i);
      mq_entry_event configure = {};
      mq_planner_event plan_configure = {};
      switch (a.kind)
        {
        case MQ_GENERATION_FETCH:
          fetch (a);
          break;
        case MQ_GENERATION_APPLY:
          if (!generation_taken_us.empty ()
              && generation_taken_us.rbegin ()->first >= a.generation)
            sim.add_finding (Promise::ConfigurationHolds,
                             name + " went back to a lower generation");
          generation_taken_us[a.generation] = event.now_us;
          configure.kind = MQ_ENTRY_CONFIG;
          configure.u.config = sim.config;
          entry_event (configure);
          plan_configure.kind = MQ_PLANNER_CONFIG;
          plan_configure.u.config = sim.config;
          planner_event (plan_configure);
          break;
        case MQ_GENERATION_CUT_OFF:
        case MQ_GENERATION_REJOIN:
          break;
        }
    }
  g_array_unref (actions);
  uint64_t next = mq_generation_next_tick (&generation);
  if (next != UINT64_MAX && next < generation_tick_us)
    {
      generation_tick_us = next;
      post (next > event.now_us ? next - event.now_us : 0, [this, next] () {
        mq_generation_event tick = {};
        if (generation_tick_us == next)
          generation_tick_us = UINT64_MAX;
        tick.kind = MQ_GENERATION_TICK;
        generation_event (tick);
      });
    }
}

void
Router::fetch (const mq_generation_action &action)
{
  uint64_t peer = action.peer;
  auto got = [this] (uint64_t found) {
    mq_generation_event e = {};
    e.kind = found > 0 ? MQ_GENERATION_VALID : MQ_GENERATION_FETCH_FAILED;
    e.generation = found;
    generation_event (e);
  };

  if (peer == MQ_GENERATION_PLATFORM)
    {
      sim.store (client (), Step::Watch,
                 { StoreOp::Read, MQ_MANIFEST_OBJECT, "", 0 },
                 [got] (mq_store_reply reply) {
                   got (reply.result == MQ_STORE_OK
                            ? manifest_generation (reply.value)
                            : 0);
                 });
      return;
    }
  for (auto &each : sim.routers)
    {
      Router *from = each.get ();
      if (from->incarnation != peer || !from->alive || from->exited
          || from->paused || from->partitioned || partitioned)
        continue;
      uint64_t found = from->generation.in_force;
      post (2 * ROUTER_LATENCY_US, [got, found] () { got (found); });
      return;
    }
  post (STORE_TIMEOUT_US, [got] () { got (0); });
}

/* ---- Lease and orders.  */

void
Router::request_layers (uint32_t first, uint32_t end)
{
  mq_order_scope_event e = {};

  e.kind = MQ_ORDER_SCOPE_ORDERS;
  e.u.orders.kind = MQ_ORDERS_SET_TARGET;
  e.u.orders.u.target.engine = MQ_SPAN ("e6");
  e.u.orders.u.target.model = MQ_SPAN ("m");
  e.u.orders.u.target.version = MQ_SPAN ("v1");
  e.u.orders.u.target.first = first;
  e.u.orders.u.target.end = end;
  ordering_event (e);
}

void
Router::ordering_event (mq_order_scope_event event)
{
  GArray *lease_actions = mq_lease_actions_new ();
  GArray *order_actions = mq_orders_actions_new ();
  uint64_t now = sim.clock.now_us;

  event.u.lease.now_us = now;
  if (event.kind == MQ_ORDER_SCOPE_ORDERS)
    event.u.orders.now_us = now;
  mq_order_scope_handle (order_scope, &event, lease_actions, order_actions);
  act_ordering (lease_actions, order_actions);
  g_array_unref (lease_actions);
  g_array_unref (order_actions);
}

void
Router::act_ordering (GArray *lease_actions, GArray *order_actions)
{
  uint64_t now = sim.clock.now_us;

  for (guint i = 0; i < lease_actions->len; i++)
    {
      const mq_lease_action *a
          = &g_array_index (lease_actions, mq_lease_action, i);
      uint32_t step = a->step;
      if (a->kind != MQ_LEASE_READ && a->kind != MQ_LEASE_WRITE)
        continue;
      StoreOp op = a->kind == MQ_LEASE_READ ? StoreOp::Read
                   : a->version == 0        ? StoreOp::Create
                                            : StoreOp::Update;
      sim.store (
          client (), op == StoreOp::Update ? Step::LeaseRenewal : Step::Count,
          { op, LEASE_OBJECT, text (mq_str_span (a->value)), a->version },
          [this, step] (mq_store_reply reply) {
            mq_order_scope_event e = {};
            e.kind = MQ_ORDER_SCOPE_LEASE;
            e.u.lease.kind = MQ_LEASE_REPLY;
            e.u.lease.step = step;
            e.u.lease.reply = reply;
            ordering_event (e);
          });
    }
  for (guint i = 0; i < order_actions->len; i++)
    {
      const mq_orders_action *a
          = &g_array_index (order_actions, mq_orders_action, i);
      if (a->kind == MQ_ORDERS_SEND)
        send_order (*a);
      else if (a->kind == MQ_ORDERS_READ)
        read_engine (*a);
    }
  uint64_t next = mq_order_scope_next_tick (order_scope);
  if (next == UINT64_MAX || next >= ordering_tick_us)
    return;
  ordering_tick_us = next;
  post (next > now ? next - now : 0, [this, next] () {
    GArray *lease = mq_lease_actions_new ();
    GArray *orders = mq_orders_actions_new ();
    if (ordering_tick_us == next)
      ordering_tick_us = UINT64_MAX;
    mq_order_scope_tick (order_scope, sim.clock.now_us, lease, orders);
    act_ordering (lease, orders);
    g_array_unref (lease);
    g_array_unref (orders);
  });
}

/* The engine ignores the fencing token and obeys every order.  */
void
Router::send_order (const mq_orders_action &action)
{
  Delivery delivery = sim.inject (Step::Order, this);
  Engine *e = sim.engine (mq_str_cstr (action.engine));
  uint64_t order = action.order;
  uint32_t first = action.first, end = action.end;
  Simulation *w = &sim;
  auto reply = [this, order] (mq_order_reply said) {
    mq_order_scope_event ev = {};
    ev.kind = MQ_ORDER_SCOPE_ORDERS;
    ev.u.orders.kind = MQ_ORDERS_SEND_REPLY;
    ev.u.orders.u.sent.order = order;
    ev.u.orders.u.sent.reply = said;
    ordering_event (ev);
  };

  if (sim.clock.now_us > action.until_us)
    {
      post (0, [reply] () { reply (MQ_ORDER_NO_REPLY); });
      return;
    }
  for (int i = 0; i < (delivery == Delivery::Doubled ? 2 : 1); i++)
    sim.clock.at (ROUTER_LATENCY_US
                      + (delivery == Delivery::Late ? LATE_DELAY_US : 0),
                  [w, e, first, end] () {
                    if (!e->alive || (e->first == first && e->end == end))
                      return;
                    e->loading = true;
                    w->clock.at (LOAD_WEIGHTS_US, [e, first, end] () {
                      e->first = first;
                      e->end = end;
                      e->loading = false;
                    });
                  });
  bool lost
      = delivery == Delivery::Lost || delivery == Delivery::Late || !e->alive;
  post (lost ? STORE_TIMEOUT_US : 2 * ROUTER_LATENCY_US, [reply, lost] () {
    reply (lost ? MQ_ORDER_NO_REPLY : MQ_ORDER_ACCEPTED);
  });
}

void
Router::read_engine (const mq_orders_action &action)
{
  Engine *e = sim.engine (mq_str_cstr (action.engine));
  uint64_t order = action.order;

  post (2 * ROUTER_LATENCY_US, [this, e, order] () {
    mq_order_scope_event ev = {};
    ev.kind = MQ_ORDER_SCOPE_ORDERS;
    ev.u.orders.kind = MQ_ORDERS_READ_REPLY;
    ev.u.orders.u.holds.order = order;
    ev.u.orders.u.holds.known = e->alive && !e->hung;
    ev.u.orders.u.holds.holds.model = MQ_SPAN ("m");
    ev.u.orders.u.holds.holds.version = span (e->version);
    ev.u.orders.u.holds.holds.first = e->first;
    ev.u.orders.u.holds.holds.end = e->end;
    ev.u.orders.u.holds.holds.loading = e->loading;
    ordering_event (ev);
  });
}

/* ---- Operators.  */

Operator::Operator (Simulation &simulation, const std::string &name,
                    const std::string &file_is)
    : id (name), file_name (file_is), sim (simulation)
{
  mq_manifest_file file = {};
  gchar *digest
      = g_compute_checksum_for_string (G_CHECKSUM_SHA256, name.c_str (), -1);

  mq_change_request_init (&request);
  request.id = mq_str_new (span (name));
  request.kind = MQ_CHANGE_DROP;
  request.who = mq_str_new (MQ_SPAN ("operator"));
  request.why = mq_str_new (MQ_SPAN ("test"));
  file.name = mq_str_new (span (file_name));
  g_strlcpy (file.digest.hex, digest, sizeof file.digest.hex);
  file.size = 2;
  file_digest = digest;
  g_array_append_val (request.files, file);
  g_free (digest);
  change = mq_change_new (&request, CHANGE_TIMEOUT_US,
                          (uint32_t)mq_span_hash (span (name)));
}

Operator::~Operator ()
{
  mq_change_free (change);
  mq_change_request_finish (&request);
}

void
Operator::start ()
{
  mq_change_event e = {};

  e.kind = MQ_CHANGE_START;
  step (e);
}

void
Operator::step (mq_change_event event)
{
  event.now_us = sim.clock.now_us;
  act (mq_change_handle (change, &event));
}

void
Operator::store (Step at, StoreCall call, mq_change_event_kind kind)
{
  Client direct
      = { nullptr,
          [this] (uint64_t delay_us, std::function<void ()> callback) {
            sim.clock.at (delay_us, std::move (callback));
          },
          false };
  auto answered = std::make_shared<bool> (false);

  sim.store (direct, at, call, [this, kind, answered] (mq_store_reply reply) {
    mq_change_event e = {};
    /* Each action has one reply: the connection is closed after it.  */
    if (*answered)
      return;
    *answered = true;
    if (kind == MQ_CHANGE_READ_REPLY && first_read == 0
        && reply.result == MQ_STORE_OK)
      first_read = manifest_generation (reply.value);
    e.kind = kind;
    e.reply = reply;
    e.step = reply.result == MQ_STORE_OK || reply.result == MQ_STORE_CONFLICT
                 ? MQ_CHANGE_STEP_OK
                 : MQ_CHANGE_STEP_FAILED;
    step (e);
  });
}

void
Operator::act (const mq_change_action &a)
{
  mq_change_event e = {};

  switch (a.kind)
    {
    case MQ_CHANGE_READ:
      store (Step::Count, { StoreOp::Read, MQ_MANIFEST_OBJECT, "", 0 },
             MQ_CHANGE_READ_REPLY);
      break;
    case MQ_CHANGE_CHECK:
      e.kind = MQ_CHANGE_CHECKED;
      e.step = MQ_CHANGE_STEP_OK;
      sim.clock.at (0, [this, e] () { step (e); });
      break;
    case MQ_CHANGE_STORE:
      store (Step::Count, { StoreOp::Create, "config/files/" + id, "{}", 0 },
             MQ_CHANGE_STORED);
      break;
    case MQ_CHANGE_ARCHIVE:
      store (Step::Count,
             { StoreOp::Create, text (mq_str_span (a.name)),
               text (mq_str_span (a.value)), 0 },
             MQ_CHANGE_ARCHIVED);
      break;
    case MQ_CHANGE_WRITE:
      store (Step::ConfigWrite,
             { a.version > 0 ? StoreOp::Update : StoreOp::Create,
               MQ_MANIFEST_OBJECT, text (mq_str_span (a.value)), a.version },
             MQ_CHANGE_WRITE_REPLY);
      break;
    case MQ_CHANGE_WAIT:
      e.kind = MQ_CHANGE_TICK;
      sim.clock.at (
          a.until_us > sim.clock.now_us ? a.until_us - sim.clock.now_us : 0,
          [this, e] () { step (e); });
      break;
    case MQ_CHANGE_END:
      ended = true;
      result = a.result;
      generation = a.generation;
      landed_at_us = sim.clock.now_us;
      break;
    }
}

void
Simulation::start_operator (const std::string &id, const std::string &file)
{
  operators.emplace_back (new Operator (*this, id, file));
  Operator *o = operators.back ().get ();
  clock.at (0, [o] () { o->start (); });
}

/* ---- Checks: an accepted change comes into force everywhere and stays.  */

/* Returns true if a fault of this run may delay the propagation of a
   change.  */
bool
Simulation::may_delay_configuration () const
{
  for (const Cell &c : cells)
    switch (c.fault)
      {
      case Fault::PlatformDown:
      case Fault::PlatformSlow:
      case Fault::PausedPastLease:
      case Fault::RouterKilled:
      case Fault::Partition:
        return true;
      default:
        if (c.step == Step::Drain)
          return true;
        break;
      }
  return false;
}

/* A change that landed is in the manifest, unless a later change of the same
   file replaced it after having read it.  A change that was reported as not
   landed is not in the manifest.  */
void
Simulation::check_change (const Operator &o, const mq_manifest &m)
{
  mq_digest now = mq_manifest_digest (&m, span (o.file_name));
  bool there = o.file_digest == now.hex;
  bool replaced = false;

  for (auto &other : operators)
    {
      if (other.get () == &o || other->file_name != o.file_name)
        continue;
      replaced |= other->result == MQ_CHANGE_UNKNOWN;
      if (other->result != MQ_CHANGE_LANDED
          || other->generation <= o.generation)
        continue;
      replaced = true;
      if (o.result == MQ_CHANGE_LANDED && other->first_read < o.generation)
        add_finding (Promise::ConfigurationHolds,
                     other->id + " overwrote " + o.id
                         + " without having read it");
    }
  if (o.result == MQ_CHANGE_LANDED && !there && !replaced)
    add_finding (Promise::ConfigurationHolds,
                 o.id + " landed but is not in the manifest");
  if (o.result != MQ_CHANGE_LANDED && o.result != MQ_CHANGE_UNKNOWN && there)
    add_finding (Promise::ConfigurationHolds,
                 o.id + " is in the manifest but was reported as not landed");
}

void
Simulation::check_in_force (const Operator &o)
{
  for (auto &r : routers)
    {
      auto taken = r->generation_taken_us.lower_bound (o.generation);
      if (taken == r->generation_taken_us.end ()
          || taken->second > o.landed_at_us + MAX_PROPAGATION_US)
        add_finding (Promise::ConfigurationHolds,
                     o.id + " is not in force at " + r->name + " in time");
    }
}

void
Simulation::check_configuration ()
{
  mq_manifest m;

  if (mq_manifest_decode (span (objects[MQ_MANIFEST_OBJECT].value), &m, NULL)
      != 0)
    {
      add_finding (Promise::ConfigurationHolds,
                   "the manifest is not readable");
      return;
    }
  for (auto &o : operators)
    {
      if (!o->ended)
        add_finding (Promise::ConfigurationHolds, o->id + " did not end");
      check_change (*o, m);
      if (o->result == MQ_CHANGE_LANDED && !may_delay_configuration ())
        check_in_force (*o);
    }
  for (auto &r : routers)
    if (r->alive && !r->exited && r->generation.in_force != m.generation)
      add_finding (Promise::ConfigurationHolds,
                   r->name + " holds generation "
                       + std::to_string (r->generation.in_force) + " of "
                       + std::to_string (m.generation));
  mq_manifest_finish (&m);
}

} // namespace fault_test
