/* The simulated routers: heartbeats, member updates, the platform's list,
   ownership and discovery.  See fault_sim.h.  */

#include "fault_sim.h"

namespace fault_test
{

namespace
{

constexpr uint64_t LIST_INTERVAL_US = 1 * SECOND;
/* Lag of the platform's list.  */
constexpr uint64_t LIST_LAG_US = 1 * SECOND;

/* Copies of the strings that a message borrows, made before it is sent and
   attached when it arrives.  */
struct Texts
{
  std::vector<std::string> all;

  void
  copy (mq_span *s)
  {
    all.push_back (text (*s));
  }
  void
  attach (mq_span *s, size_t i) const
  {
    *s = span (all[i]);
  }
};

mq_member_update
to_member_update (const mq_member *m)
{
  mq_member_update n = {};

  n.vm = mq_str_span (m->vm);
  n.peer_address = mq_str_span (m->peer_address);
  n.incarnation = m->incarnation;
  n.sequence = m->sequence;
  n.state = m->state;
  n.leaving = m->leaving;
  return n;
}

} // namespace

void
Router::start_fleet ()
{
  mq_fleet_options o = {};
  std::string peer = "peer-" + name;
  std::string address = "http://" + name;

  o.vm = span (name);
  o.peer_address = span (peer);
  o.entry_address = span (address);
  o.failure_domain = MQ_SPAN ("kamloops-yard");
  o.region = MQ_SPAN ("bc-interior");
  o.incarnation = incarnation;
  o.interval_us = 200 * MS;
  fleet = mq_fleet_new (&o);
}

void
Router::fleet_event (mq_fleet_event event)
{
  GArray *actions = mq_fleet_actions_new ();

  event.now_us = sim.clock.now_us;
  mq_fleet_handle (fleet, &event, actions);
  for (guint i = 0; i < actions->len; i++)
    act_fleet (g_array_index (actions, mq_fleet_action, i));
  g_array_unref (actions);
  uint64_t next = mq_fleet_next_tick (fleet);
  if (next == UINT64_MAX || next >= fleet_tick_us)
    return;
  fleet_tick_us = next;
  post (next > event.now_us ? next - event.now_us : 0, [this, next] () {
    mq_fleet_event tick = {};
    if (fleet_tick_us == next)
      fleet_tick_us = UINT64_MAX;
    tick.kind = MQ_FLEET_TICK;
    fleet_event (tick);
  });
}

/* Returns the router that now runs on the member's VM, or nullptr if it is
   unreachable.  */
Router *
Router::peer (const mq_member *member)
{
  Router *to = sim.router (mq_str_cstr (member->vm));

  return to == nullptr || to == this || partitioned || to->partitioned
             ? nullptr
             : to;
}

void
Router::act_fleet (const mq_fleet_action &a)
{
  mq_planner_event removed = {};

  switch (a.kind)
    {
    case MQ_FLEET_SEND_HEARTBEAT:
      send_heartbeat (a);
      break;
    case MQ_FLEET_SEND_MEMBER_UPDATES:
      send_member_updates (a);
      break;
    case MQ_FLEET_ROUTER_ENDED:
      removed.kind = MQ_PLANNER_ROUTER_REMOVED;
      removed.u.router = a.u.router;
      planner_event (removed);
      break;
    case MQ_FLEET_LEAVE_REQUESTED:
      leave ();
      break;
    case MQ_FLEET_CONNECT:
    case MQ_FLEET_DISCONNECT:
    case MQ_FLEET_MEMBER_CHANGED:
    case MQ_FLEET_OWNERS_CHANGED:
    case MQ_FLEET_PAUSED:
    case MQ_FLEET_REJOINED:
      break;
    }
}

void
Router::send_heartbeat (const mq_fleet_action &a)
{
  Router *to = peer (a.member);
  mq_fleet_event e = {};
  Texts t;

  if (to == nullptr)
    return;
  e.kind = MQ_FLEET_HEARTBEAT;
  e.u.heartbeat = a.u.heartbeat;
  t.copy (&e.u.heartbeat.vm);
  t.copy (&e.u.heartbeat.peer_address);
  t.copy (&e.u.heartbeat.entry_address);
  t.copy (&e.u.heartbeat.failure_domain);
  t.copy (&e.u.heartbeat.region);
  to->post (ROUTER_LATENCY_US, [to, e, t] () mutable {
    t.attach (&e.u.heartbeat.vm, 0);
    t.attach (&e.u.heartbeat.peer_address, 1);
    t.attach (&e.u.heartbeat.entry_address, 2);
    t.attach (&e.u.heartbeat.failure_domain, 3);
    t.attach (&e.u.heartbeat.region, 4);
    to->fleet_event (e);
  });
}

void
Router::send_member_updates (const mq_fleet_action &a)
{
  Router *to = peer (a.member);
  std::vector<mq_member_update> items;
  uint64_t sender = incarnation;
  Texts t;

  if (to == nullptr)
    return;
  if (a.u.updates.self)
    items.push_back (to_member_update (mq_fleet_self (fleet)));
  else if (a.u.updates.about != NULL)
    items.push_back (to_member_update (a.u.updates.about));
  else
    for (size_t i = 0; i < mq_fleet_size (fleet); i++)
      items.push_back (to_member_update (mq_fleet_member (fleet, i)));
  for (mq_member_update &n : items)
    {
      t.copy (&n.vm);
      t.copy (&n.peer_address);
    }
  to->post (ROUTER_LATENCY_US, [to, items, t, sender] () mutable {
    mq_fleet_event e = {};
    for (size_t i = 0; i < items.size (); i++)
      {
        t.attach (&items[i].vm, 2 * i);
        t.attach (&items[i].peer_address, 2 * i + 1);
      }
    e.kind = MQ_FLEET_MEMBER_UPDATES;
    e.u.updates.sender = sender;
    e.u.updates.items = items.data ();
    e.u.updates.n = items.size ();
    to->fleet_event (e);
  });
}

/* Reports the engines that leave by the platform's list.  They are reported
   each time, since a planner without a configuration ignores them.  */
void
Router::report_leaving_engines ()
{
  for (Engine &e : sim.engines)
    {
      mq_planner_event leaving = {};
      if (e.leaving_us == 0 || sim.clock.now_us < e.leaving_us + LIST_LAG_US)
        continue;
      leaving.kind = MQ_PLANNER_LEAVING;
      leaving.u.engine = span (e.name);
      planner_event (leaving);
    }
}

/* Reads the platform's list periodically.  The list lags.  */
void
Router::read_vm_list ()
{
  std::vector<std::string> names, peers;
  std::vector<mq_listed_vm> vms;
  mq_fleet_event e = {};
  mq_fleet_event self = {};

  for (auto &r : sim.routers)
    if (r->alive && !r->exited)
      {
        names.push_back (r->name);
        peers.push_back ("peer-" + r->name);
      }
  for (size_t i = 0; i < names.size (); i++)
    {
      Router *r = sim.router (names[i]);
      bool leaves = r->leaving_us != 0
                    && sim.clock.now_us > r->leaving_us + LIST_LAG_US;
      vms.push_back ({ span (names[i]), span (peers[i]), leaves });
    }
  e.kind = MQ_FLEET_LIST;
  e.u.list.vms = vms.data ();
  e.u.list.n = vms.size ();
  if (!partitioned && !sim.platform_down)
    {
      fleet_event (e);
      report_leaving_engines ();
    }
  self.kind = MQ_FLEET_SELF;
  self.u.self.generation = generation.in_force;
  fleet_event (self);
  post (LIST_INTERVAL_US, [this] () { read_vm_list (); });
}

/* Drains the router, after a signal or by the platform's list.  */
void
Router::leave ()
{
  mq_entry_event drain = {};
  mq_fleet_event leave = {};

  if (leaving_us == 0)
    leaving_us = sim.clock.now_us;
  drain.kind = MQ_ENTRY_DRAIN;
  leave.kind = MQ_FLEET_LEAVE;
  fleet_event (leave);
  entry_event (drain);
}

/* Returns the router that this one considers the owner of the model's planner,
   or nullptr if it is unreachable.  */
Router *
Router::model_owner ()
{
  const mq_member *m = mq_fleet_owner (fleet, MQ_OWNED_MODEL, MQ_SPAN ("m"));

  return m == mq_fleet_self (fleet) ? this : peer (m);
}

/* Replies to a discovery request: the routers that a caller is to use, best
   first.  */
std::vector<std::string>
Router::answer_discovery (const std::string &caller)
{
  mq_discovery request = {};
  mq_discovery_reply answer = {};
  std::vector<std::string> all;

  request.organisation = MQ_SPAN ("acme");
  request.organisation_share = 0.5;
  request.caller = mq_span_hash (span (caller));
  request.ttl_ms = 5000;
  mq_discovery_reply_fill (&answer, fleet, &request);
  for (uint32_t i = 0; i < answer.n; i++)
    {
      Router *r = sim.router (mq_str_cstr (answer.entries[i].vm));
      all.push_back (mq_str_cstr (answer.entries[i].vm));
      if (r != nullptr && r->leaving_us != 0
          && sim.clock.now_us > r->leaving_us + LEAVING_GRACE_US)
        sim.add_finding (Promise::LeavingGetsNothing,
                         name + " names " + r->name + ", which is leaving");
    }
  return all;
}

} // namespace fault_test
