/* Properties of tickets, claims, leases and orders under pauses, lost replies,
   outages, and delayed and duplicated messages.  RC_PARAMS fixes the seed.  */

#include <gtest/gtest.h>
#include <memory>
#include <mq/claim.h>
#include <mq/claim_log.h>
#include <mq/internal/defect.h>
#include <mq/order_scope.h>
#include <mq/ticket.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>
#include <rapidcheck/state.h>
#include <set>
#include "state_sim.h"

using namespace state_sim;

namespace
{

/* --- Steps common to all simulations.  */

enum class Act
{
  Advance,
  Pause,
  Resume,
  Down,
  Up,
  Fault,
  Restart,
  Start, /* Begin an order to an engine, or a claim of a key.  */
  DelayedOrder,
  Settle /* End the call of a claim that was won.  */
};

struct Step
{
  Act act;
  unsigned who;
  unsigned amount;
};

std::ostream &
operator<< (std::ostream &os, const Step &s)
{
  static const char *names[]
      = { "advance", "pause",   "resume", "down",          "up",
          "fault",   "restart", "start",  "delayed-order", "settle" };

  return os << names[(int)s.act] << "(" << s.who << "," << s.amount << ")";
}

rc::Gen<std::vector<Step> >
steps (std::vector<Act> acts)
{
  auto act = rc::gen::weightedElement<Act> (
      { { 6, Act::Advance }, { 1, acts[0] }, { 1, acts[1] } });
  auto any = rc::gen::oneOf (act, rc::gen::elementOf (acts));

  return rc::gen::container<std::vector<Step> > (
      rc::gen::construct<Step> (any, rc::gen::inRange<unsigned> (0, 3),
                                rc::gen::inRange<unsigned> (0, 1000)));
}

/* Execute the steps that are the same for every actor.  */
template <typename A>
void
common_step (Simulation &sim, Store &store,
             std::vector<std::unique_ptr<A> > &actors, const Step &s)
{
  std::vector<Actor *> list;
  A &a = *actors[s.who];

  for (auto &p : actors)
    list.push_back (p.get ());
  switch (s.act)
    {
    case Act::Advance:
      run_until (sim, list, sim.now + s.amount * s.amount * 40);
      break;
    case Act::Pause:
      a.paused = true;
      break;
    case Act::Resume:
      a.resume ();
      break;
    case Act::Down:
      (s.amount % 2 == 0 ? store.unavailable : a.disconnected) = true;
      break;
    case Act::Up:
      (s.amount % 2 == 0 ? store.unavailable : a.disconnected) = false;
      break;
    case Act::Fault:
      a.fault = static_cast<Fault> (1 + s.amount % 5);
      a.delay_us = s.amount * 20 * MS;
      break;
    default:
      break;
    }
}

template <typename A>
void
run_without_faults (Simulation &sim, Store &store,
                    std::vector<std::unique_ptr<A> > &actors, uint64_t for_us)
{
  std::vector<Actor *> list;

  store.unavailable = false;
  for (auto &p : actors)
    {
      p->fault = Fault::None;
      p->disconnected = false;
      p->resume ();
      list.push_back (p.get ());
    }
  run_until (sim, list, sim.now + for_us);
}

/* --- Claims.  */

constexpr uint64_t CLAIM_LIFETIME_US = 24 * 3600 * S;

/* The common part of single claims and claim logs.  */
struct ClaimActor : Actor
{
  Store &store;
  uint64_t router;
  uint64_t next_handle = 0;
  std::map<uint64_t, int> keys; /* Handle to key, undecided.  */
  std::vector<std::pair<uint64_t, int> > running; /* Won, not settled.  */
  std::map<int, int> &runs; /* Key to number of calls that ran.  */

  ClaimActor (Simulation &sim, Store &s, unsigned i, std::map<int, int> &r)
      : Actor (sim, 100, i * 77 * S), store (s), router (100 + i), runs (r)
  {
  }
  virtual void start () = 0;
  virtual void handle (mq_claims_event e) = 0;

  void
  restart ()
  {
    incarnation++;
    inbox.clear ();
    router += 1000;
    keys.clear ();
    running.clear ();
    start ();
  }

  void
  stamp (mq_claims_event &e) const
  {
    e.now_us = clock ();
    e.wall_ms = sim.now / MS;
  }

  void
  call (const Request &request, uint64_t id, uint32_t step)
  {
    store.call (*this, request, [this, id, step] (Reply r) {
      mq_claims_event e = {};

      e.kind = MQ_CLAIMS_REPLY;
      e.u.reply.claim = id;
      e.u.reply.step = step;
      e.u.reply.reply
          = { r.result, r.version, { r.value.data (), r.value.size () } };
      handle (e);
    });
  }

  void
  on_result (uint64_t handle_, mq_claim_result result)
  {
    auto it = keys.find (handle_);

    RC_ASSERT (it != keys.end ());
    if (result == MQ_CLAIM_WON)
      running.push_back ({ handle_, it->second });
    keys.erase (it);
  }

  void
  claim (int key)
  {
    std::string k = "key" + std::to_string (key);
    mq_claims_event e = {};

    e.kind = MQ_CLAIMS_START;
    e.u.start.handle = ++next_handle;
    e.u.start.organisation = MQ_SPAN ("tekle");
    e.u.start.key = { k.data (), k.size () };
    e.u.start.body_hash = 7;
    e.u.start.lifetime_us = CLAIM_LIFETIME_US;
    keys[next_handle] = key;
    handle (e);
  }

  /* End the oldest call, which ran or was refused before it ran.  */
  void
  settle (bool ran)
  {
    mq_claims_event e = {};

    if (running.empty ())
      return;
    if (ran)
      runs[running.front ().second]++;
    e.kind = MQ_CLAIMS_SETTLED;
    e.u.settled.handle = running.front ().first;
    e.u.settled.outcome = ran ? MQ_OUTCOME_DONE : MQ_OUTCOME_NOT_RUN;
    running.erase (running.begin ());
    handle (e);
  }

  void
  tick () override
  {
    mq_claims_event e = {};

    e.kind = MQ_CLAIMS_TICK;
    handle (e);
  }
};

struct SingleActor : ClaimActor
{
  mq_claims *claims = nullptr;

  SingleActor (Simulation &sim, Store &s, unsigned i, std::map<int, int> &r)
      : ClaimActor (sim, s, i, r)
  {
    SingleActor::start ();
  }
  ~SingleActor () override { mq_claims_free (claims); }

  void
  start () override
  {
    mq_claims_options o = {};

    o.router = router;
    o.give_up_us = 2 * S;
    o.retry_us = 100 * MS;
    o.late_us = 60 * S;
    o.skew_ms = 60 * 1000;
    o.limit = 1000;
    mq_claims_free (claims);
    claims = mq_claims_new (&o);
  }

  void
  handle (mq_claims_event e) override
  {
    static const Request::Kind kinds[]
        = { Request::Create, Request::Update, Request::Read, Request::Delete };
    GArray *actions = mq_claims_actions_new ();

    stamp (e);
    mq_claims_handle (claims, &e, actions);
    for (guint i = 0; i < actions->len; i++)
      {
        const mq_claims_action &a
            = g_array_index (actions, mq_claims_action, i);

        if (a.kind == MQ_CLAIMS_RESULT)
          on_result (a.handle, a.result);
        else
          call ({ kinds[a.kind], text (a.name), text (a.value), a.version },
                a.claim, a.step);
      }
    g_array_unref (actions);
  }

  uint64_t
  next_tick () const override
  {
    return mq_claims_next_tick (claims);
  }

  /* Returns the number of keys that cannot be claimed now.  */
  static size_t
  blocked (const Store &s)
  {
    return s.objects.size ();
  }
};

struct LogActor : ClaimActor
{
  mq_claim_log *log = nullptr;

  LogActor (Simulation &sim, Store &s, unsigned i, std::map<int, int> &r)
      : ClaimActor (sim, s, i, r)
  {
    LogActor::start ();
  }
  ~LogActor () override { mq_claim_log_free (log); }

  void
  start () override
  {
    mq_claim_log_options o = {};

    o.router = router;
    o.give_up_us = 2 * S;
    o.retry_us = 100 * MS;
    o.linger_us = 20 * MS;
    o.skew_ms = 60 * 1000;
    o.limit_bytes = 1000;
    o.waiting = 100;
    mq_claim_log_free (log);
    log = mq_claim_log_new (&o);
  }

  void
  handle (mq_claims_event e) override
  {
    GArray *actions = mq_claim_log_actions_new ();

    stamp (e);
    mq_claim_log_handle (log, &e, actions);
    for (guint i = 0; i < actions->len; i++)
      {
        const mq_claim_log_action &a
            = g_array_index (actions, mq_claim_log_action, i);
        Request r = { Request::Read, "shard", text (a.value), a.version };

        if (a.kind == MQ_CLAIM_LOG_RESULT)
          {
            on_result (a.handle, a.result);
            continue;
          }
        if (a.kind == MQ_CLAIM_LOG_WRITE)
          r.kind = a.version == 0 ? Request::Create : Request::Update;
        call (r, 0, a.step);
      }
    g_array_unref (actions);
  }

  uint64_t
  next_tick () const override
  {
    return mq_claim_log_next_tick (log);
  }

  static size_t
  blocked (const Store &s)
  {
    auto it = s.objects.find ("shard");

    return it == s.objects.end () ? 0 : (it->second.value.size () - 8) / 48;
  }
};

/* Fails by RC_ASSERT if a key is held or has run twice, or if it stays blocked
   although its call did not run.  */
template <typename A>
void
claims_simulation (const std::vector<Step> &script)
{
  Simulation sim;
  Store store (sim);
  std::map<int, int> runs;
  std::vector<std::unique_ptr<A> > actors;
  bool restarted = false;

  for (unsigned i = 0; i < 3; i++)
    actors.push_back (std::make_unique<A> (sim, store, i, runs));
  sim.check = [&] {
    std::map<int, int> once = runs;

    for (auto &a : actors)
      for (auto &r : a->running)
        once[r.second]++;
    for (auto &r : once)
      RC_ASSERT (r.second <= 1);
  };
  for (const Step &s : script)
    {
      A &a = *actors[s.who];

      common_step (sim, store, actors, s);
      if (s.act == Act::Restart)
        {
          /* Its calls may have run, so count them as run.  */
          for (auto &r : a.running)
            runs[r.second]++;
          restarted = true;
          a.restart ();
        }
      else if (s.act == Act::Start && !a.paused)
        a.claim ((int)s.amount % 2);
      else if (s.act == Act::Settle && !a.paused)
        a.settle (s.amount % 3 != 0);
    }
  run_without_faults (sim, store, actors, 600 * S);
  for (auto &a : actors)
    {
      RC_ASSERT (a->keys.empty ()); /* Each claim was decided.  */
      while (!a->running.empty ())
        a->settle (false);
    }
  run_without_faults (sim, store, actors, 600 * S);
  sim.check ();
  /* A call that did not run must not block its key, except for claims of a
     router that was killed.  */
  if (!restarted)
    RC_ASSERT (A::blocked (store) == runs.size ());
}

const std::vector<Act> claim_acts
    = { Act::Start,  Act::Settle, Act::Fault, Act::Pause,
        Act::Resume, Act::Down,   Act::Up,    Act::Restart };

/* --- Leases and orders.  */

struct Engine
{
  bool checks_fencing;
  std::string version = "none";
  uint64_t fencing = 0;
};

constexpr uint64_t FLIGHT_US = 4 * S;
constexpr uint64_t VERIFY_US = 10 * S;

struct OrderActor : Actor
{
  Store &store;
  std::vector<Engine> &engines;
  unsigned index;
  uint64_t router;
  mq_order_scope *order_scope = nullptr;
  uint64_t order_delay_us = 0;
  std::string desired_version;
  bool reached[2] = {};

  OrderActor (Simulation &sim, Store &s, std::vector<Engine> &e, unsigned i)
      : Actor (sim, 96 + 4 * i, i * 91 * S), store (s), engines (e), index (i),
        router (100 + i)
  {
    start ();
  }
  ~OrderActor () override { mq_order_scope_free (order_scope); }

  void
  start ()
  {
    mq_order_scope_options o = {};

    desired_version = "v" + std::to_string (router);
    o.lease.router = router;
    o.lease.duration_us = 6 * S;
    o.lease.retry_us = 1 * S;
    o.lease.timeout_us = 1 * S;
    o.lease.margin_percent = 10;
    o.orders.max_in_flight_us = FLIGHT_US;
    o.orders.poll_interval_us = 500 * MS;
    o.orders.verify_interval_us = VERIFY_US;
    o.orders.load_timeout_us = 30 * S;
    o.orders.target_timeout_us = 3600 * S;
    mq_order_scope_free (order_scope);
    order_scope = mq_order_scope_new (&o);
  }

  void
  restart ()
  {
    incarnation++;
    inbox.clear ();
    router += 1000;
    start ();
  }

  uint64_t
  fencing () const
  {
    return mq_order_scope_fencing (order_scope, clock ());
  }

  void
  handle (const std::function<void (GArray *, GArray *)> &call)
  {
    GArray *la = mq_lease_actions_new ();
    GArray *oa = mq_orders_actions_new ();

    call (la, oa);
    for (guint i = 0; i < la->len; i++)
      lease_action (g_array_index (la, mq_lease_action, i));
    for (guint i = 0; i < oa->len; i++)
      order_action (g_array_index (oa, mq_orders_action, i));
    g_array_unref (la);
    g_array_unref (oa);
  }

  void
  orders_event (mq_orders_event o)
  {
    mq_order_scope_event e = {};

    o.now_us = clock ();
    e.kind = MQ_ORDER_SCOPE_ORDERS;
    e.u.orders = o;
    handle ([&] (GArray *la, GArray *oa) {
      mq_order_scope_handle (order_scope, &e, la, oa);
    });
  }

  void
  lease_action (const mq_lease_action &a)
  {
    Request r = { Request::Read, "lease", text (a.value), a.version };
    uint32_t step = a.step;

    if (a.kind == MQ_LEASE_HELD || a.kind == MQ_LEASE_LOST)
      {
        reached[0] = reached[1] = false;
        return;
      }
    if (a.kind == MQ_LEASE_WRITE)
      r.kind = a.version == 0 ? Request::Create : Request::Update;
    store.call (*this, r, [this, step] (Reply reply) {
      mq_order_scope_event e = {};

      e.kind = MQ_ORDER_SCOPE_LEASE;
      e.u.lease.kind = MQ_LEASE_REPLY;
      e.u.lease.now_us = clock ();
      e.u.lease.step = step;
      e.u.lease.reply = { reply.result,
                          reply.version,
                          { reply.value.data (), reply.value.size () } };
      handle ([&] (GArray *la, GArray *oa) {
        mq_order_scope_handle (order_scope, &e, la, oa);
      });
    });
  }

  void
  order_action (const mq_orders_action &a)
  {
    unsigned n = text (a.engine) == "e0" ? 0 : 1;
    uint64_t order = a.order;

    if (a.kind == MQ_ORDERS_SEND)
      send (n, order, a.fencing, text (a.version));
    else if (a.kind == MQ_ORDERS_REACHED)
      reached[n] = true;
    else if (a.kind == MQ_ORDERS_READ)
      sim.after (2 * MS, [this, n, order, asker = incarnation] {
        Engine e = engines[n];

        deliver (asker, [this, e, order] { on_held (e, order); });
      });
  }

  void
  send (unsigned n, uint64_t order, uint64_t number, std::string version)
  {
    uint64_t delay_us = order_delay_us;

    RC_ASSERT (fencing () != 0);
    order_delay_us = 0;
    sim.after (2 * MS + delay_us, [this, n, order, number, version,
                                   asker = incarnation] {
      Engine &e = engines[n];
      bool taken = !e.checks_fencing || number >= e.fencing;

      if (taken)
        {
          e.version = version;
          e.fencing = e.checks_fencing ? number : 0;
        }
      deliver (asker, [this, order, taken] {
        mq_orders_event o = {};

        o.kind = MQ_ORDERS_SEND_REPLY;
        o.u.sent.order = order;
        o.u.sent.reply = taken ? MQ_ORDER_ACCEPTED : MQ_ORDER_FENCED;
        orders_event (o);
      });
    });
  }

  void
  on_held (const Engine &e, uint64_t order)
  {
    mq_orders_event o = {};

    o.kind = MQ_ORDERS_READ_REPLY;
    o.u.holds.order = order;
    o.u.holds.known = true;
    o.u.holds.holds.model = MQ_SPAN ("m");
    o.u.holds.holds.version = { e.version.data (), e.version.size () };
    o.u.holds.holds.end = 8;
    o.u.holds.holds.fencing = e.fencing;
    orders_event (o);
  }

  void
  order (unsigned n)
  {
    mq_orders_event o = {};

    o.kind = MQ_ORDERS_SET_TARGET;
    o.u.target.engine = n == 0 ? MQ_SPAN ("e0") : MQ_SPAN ("e1");
    o.u.target.model = MQ_SPAN ("m");
    o.u.target.version = { desired_version.data (), desired_version.size () };
    o.u.target.end = 8;
    o.u.target.checks_fencing = engines[n].checks_fencing;
    orders_event (o);
  }

  uint64_t
  next_tick () const override
  {
    return mq_order_scope_next_tick (order_scope);
  }

  void
  tick () override
  {
    handle ([&] (GArray *la, GArray *oa) {
      mq_order_scope_tick (order_scope, clock (), la, oa);
    });
  }
};

/* Orders are delayed by at most MAX_DELAY_US.  */
void
orders_simulation (const std::vector<Step> &script, uint64_t max_delay_us)
{
  Simulation sim;
  Store store (sim);
  std::vector<Engine> engines (2);
  std::vector<std::unique_ptr<OrderActor> > actors;
  uint64_t highest_fencing = 0;

  engines[0].checks_fencing = true;
  engines[1].checks_fencing = false;
  for (unsigned i = 0; i < 3; i++)
    actors.push_back (std::make_unique<OrderActor> (sim, store, engines, i));
  sim.check = [&] {
    unsigned holders = 0;

    for (auto &a : actors)
      if (a->fencing () != 0)
        {
          holders++;
          /* The fencing number of a successor exceeds all before it.  */
          RC_ASSERT (a->fencing () >= highest_fencing);
          highest_fencing = a->fencing ();
        }
    RC_ASSERT (holders <= 1U);
    /* A reached version remains while the lease is held: always on an engine
       that checks fencing, and on one that does not if no order is delayed by
       FLIGHT_US or more.  */
    for (auto &a : actors)
      for (unsigned n = 0; n < 2; n++)
        if (a->fencing () != 0 && a->reached[n]
            && (n == 0 || max_delay_us < FLIGHT_US))
          RC_ASSERT (engines[n].version == a->desired_version);
  };
  for (const Step &s : script)
    {
      OrderActor &a = *actors[s.who];

      common_step (sim, store, actors, s);
      if (s.act == Act::Restart)
        a.restart ();
      else if (s.act == Act::Start && !a.paused)
        a.order (s.amount % 2);
      else if (s.act == Act::DelayedOrder)
        a.order_delay_us = s.amount * max_delay_us / 1000;
    }
  /* The planners repeat the orders that they still need.  */
  run_without_faults (sim, store, actors, 0);
  for (auto &a : actors)
    for (unsigned n = 0; n < 2; n++)
      a->order (n);
  run_without_faults (sim, store, actors, 180 * S);
  for (auto &a : actors)
    if (a->fencing () != 0)
      {
        RC_ASSERT (engines[0].version == a->desired_version);
        RC_ASSERT (engines[1].version == a->desired_version);
        return;
      }
  RC_FAIL ("no router holds the lease after 180 s without faults");
}

const std::vector<Act> order_acts
    = { Act::Start,  Act::DelayedOrder, Act::Fault, Act::Pause,
        Act::Resume, Act::Down,         Act::Up,    Act::Restart };

/* --- Tickets, compared with a model.  */

struct TicketModel
{
  std::vector<uint64_t> minted; /* The time of each minting.  */
  std::set<size_t> running;
  std::set<size_t> spent;
  uint64_t now = 0;
};

struct TicketSut
{
  mq_tickets *own;
  mq_tickets *other;
  std::vector<std::string> texts;
  std::vector<uint64_t> numbers;

  TicketSut ()
  {
    mq_tickets_options o = {};

    o.router = 1;
    o.address = MQ_SPAN ("127.0.0.1:8001");
    o.lifetime_us = 100;
    o.limit = 1000000;
    memset (o.key, 1, sizeof o.key);
    own = mq_tickets_new (&o);
    o.router = 2;
    memset (o.key, 2, sizeof o.key);
    other = mq_tickets_new (&o);
  }
  ~TicketSut ()
  {
    mq_tickets_free (own);
    mq_tickets_free (other);
  }
};

using TicketCommand = rc::state::Command<TicketModel, TicketSut>;

struct Mint : TicketCommand
{
  void
  apply (TicketModel &m) const override
  {
    m.minted.push_back (m.now);
  }
  void
  run (const TicketModel &m, TicketSut &s) const override
  {
    GString *t = g_string_new (NULL);

    RC_ASSERT (mq_tickets_mint (s.own, m.now, MQ_SPAN ("org"), t, NULL) == 0);
    mq_ticket ticket;
    RC_ASSERT (mq_tickets_open (s.own, m.now, MQ_SPAN ("org"),
                                { t->str, t->len }, &ticket)
               == MQ_TICKET_OK);
    s.texts.push_back (t->str);
    s.numbers.push_back (ticket.number);
    g_string_free (t, TRUE);
  }
};

struct AdvanceClock : TicketCommand
{
  uint64_t amount = *rc::gen::inRange<uint64_t> (0, 40);

  void
  apply (TicketModel &m) const override
  {
    m.now += amount;
  }
};

struct BeginTicket : TicketCommand
{
  size_t which = *rc::gen::inRange<size_t> (0, 30);

  void
  checkPreconditions (const TicketModel &m) const override
  {
    RC_PRE (which < m.minted.size ());
  }
  bool
  live (const TicketModel &m) const
  {
    return m.now < m.minted[which] + 100;
  }
  void
  apply (TicketModel &m) const override
  {
    if (live (m) && m.spent.count (which) == 0)
      m.running.insert (which);
  }
  void
  run (const TicketModel &m, TicketSut &s) const override
  {
    mq_span text = { s.texts[which].data (), s.texts[which].size () };
    mq_ticket t;
    mq_ticket_check c
        = mq_tickets_open (s.own, m.now, MQ_SPAN ("org"), text, &t);

    RC_ASSERT (mq_tickets_open (s.other, m.now, MQ_SPAN ("org"), text, &t)
               == MQ_TICKET_OTHER_ROUTER);
    RC_ASSERT (c == (live (m) ? MQ_TICKET_OK : MQ_TICKET_EXPIRED));
    if (c != MQ_TICKET_OK)
      return;
    mq_ticket_state state = mq_tickets_begin (s.own, m.now, t.number);
    bool fresh = m.running.count (which) + m.spent.count (which) == 0;
    RC_ASSERT ((state == MQ_TICKET_FRESH) == fresh);
  }
};

struct EndTicket : TicketCommand
{
  size_t which = *rc::gen::inRange<size_t> (0, 30);
  bool ran = *rc::gen::arbitrary<bool> ();

  void
  apply (TicketModel &m) const override
  {
    if (m.running.erase (which) > 0 && ran)
      m.spent.insert (which);
  }
  void
  run (const TicketModel &, TicketSut &s) const override
  {
    if (which < s.numbers.size ())
      mq_tickets_settle (s.own, s.numbers[which],
                         ran ? MQ_OUTCOME_DONE : MQ_OUTCOME_NOT_RUN);
  }
};

/* Returns true if PROPERTY fails while DEFECT is enabled.  */
template <typename P>
bool
detects (mq_defect defect, P property)
{
  std::ostringstream log;

  mq_defect_enable (defect);
  rc::detail::TestResult result = rc::detail::checkTestable (property);
  mq_defect_enable (MQ_DEFECT_NONE);
  return !result.is<rc::detail::SuccessResult> ();
}

} // namespace

RC_GTEST_PROP (PropTicket, RunsAtMostOnce, ())
{
  TicketModel model;
  TicketSut sut;

  rc::state::check (
      model, sut,
      rc::state::gen::execOneOfWithArgs<Mint, AdvanceClock, BeginTicket,
                                        BeginTicket, EndTicket> ());
}

RC_GTEST_PROP (PropClaim, AtMostOneWinsAndRuns, ())
{
  claims_simulation<SingleActor> (*steps (claim_acts));
}

RC_GTEST_PROP (PropClaimLog, AtMostOneWinsAndRuns, ())
{
  claims_simulation<LogActor> (*steps (claim_acts));
}

RC_GTEST_PROP (PropOrder, LastHoldersEndRemains, ())
{
  orders_simulation (*steps (order_acts), 60 * S);
}

RC_GTEST_PROP (PropOrder, ReachedEndStaysWhileHeld, ())
{
  orders_simulation (*steps (order_acts), 3 * S);
}

TEST (PropDefect, DetectsAcceptedForeignTicket)
{
  EXPECT_TRUE (detects (MQ_DEFECT_FOREIGN_TICKET, [] {
    TicketModel model;
    TicketSut sut;

    rc::state::check (
        model, sut,
        rc::state::gen::execOneOfWithArgs<Mint, AdvanceClock, BeginTicket,
                                          BeginTicket, EndTicket> ());
  }));
}

TEST (PropDefect, DetectsClaimWonWithoutReply)
{
  EXPECT_TRUE (detects (MQ_DEFECT_CLAIM_LOST_REPLY_WON, [] {
    claims_simulation<SingleActor> (*steps (claim_acts));
  }));
}

TEST (PropDefect, DetectsIgnoredLeaseClock)
{
  EXPECT_TRUE (detects (MQ_DEFECT_LEASE_CLOCK_IGNORED, [] {
    orders_simulation (*steps (order_acts), 60 * S);
  }));
}
