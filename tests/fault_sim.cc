/* The simulated deployment: see fault_sim.h.  */

#include "fault_sim.h"
#include "entry_fixture.h"

namespace fault_test
{

namespace
{

constexpr uint64_t TOKEN_GAP_US = 50 * MS;
/* Time until a router that exited or was killed is replaced.  */
constexpr uint64_t ROUTER_REPLACEMENT_US = 500 * MS;
constexpr uint64_t LOAD_REPORT_INTERVAL_US = 250 * MS;
/* Durations of temporary faults.  */
constexpr uint64_t ENGINE_OUTAGE_US = 5 * SECOND;
constexpr uint64_t PLATFORM_OUTAGE_US = 3 * SECOND;
constexpr uint64_t PAUSE_US = 4 * SECOND;
constexpr uint64_t LEAVING_EXIT_US = 9 * SECOND;
/* Callers arrive in waves: during the fault, shortly after it, while a leaving
   router still generates its long answer, and long after.  */
constexpr uint64_t WAVES_US[] = { 0, 1 * SECOND, 5 * SECOND, 12 * SECOND };
constexpr int LAST_WAVE = 3;
constexpr uint64_t CHANGE_INTERVAL_US = 100 * MS;
constexpr uint64_t ORDER_REQUEST_US[] = { 300 * MS, 2500 * MS, 10 * SECOND };
constexpr uint64_t DRAIN_US = 600 * MS;
constexpr uint64_t END_US = 24 * SECOND;
constexpr unsigned MAX_RETRIES = 4;
constexpr uint64_t RETRY_US = 300 * MS;
/* Tolerance for a final answer after its deadline.  */
constexpr uint64_t ANSWER_GRACE_US = 50 * MS;

/* A token contains its exchange, its position, its attempt, a hash of the
   preceding answer and the layers that ran.  The attempt stands for random
   sampling: a token of one attempt does not continue the answer of
   another.  */
std::string
make_token_text (const std::string &exchange, uint32_t p, uint32_t attempt,
                 uint64_t before, const std::string &layers)
{
  return exchange + ":" + std::to_string (p) + ":" + std::to_string (attempt)
         + ":" + std::to_string (before) + ":" + layers;
}

/* The expected layers: each once, in order.  */
std::string
reference_layers ()
{
  return "0-4@v1,4-8@v1,8-12@v1,";
}

mq_config *
make_config_with_spares ()
{
  mq_config *c = entry_test::make_config ();

  for (int i = 6; i < 8; i++)
    {
      mq_engine spare = {};
      spare.name = mq_str_printf ("e%d", i);
      spare.url = mq_str_printf ("http://127.0.0.1:%d", 9000 + i);
      spare.model = entry_test::str ("m");
      spare.version = entry_test::str ("v1");
      spare.first = 4;
      spare.end = 8;
      spare.accelerator = entry_test::str ("a");
      spare.failure_domain = entry_test::str ("prince-george");
      spare.slots = 8;
      g_array_append_val (c->engines, spare);
    }
  for (guint i = 0; i < c->services->len; i++)
    {
      mq_service *s = &g_array_index (c->services, mq_service, i);
      s->deadline_ms = s->kind == MQ_SERVICE_MODEL ? 8000 : 5000;
      if (s->kind == MQ_SERVICE_PLAIN)
        s->u.plain.concurrent = 64;
    }
  for (guint i = 0; i < c->engines->len; i++)
    g_array_index (c->engines, mq_engine, i).step_us
        = (uint32_t)TOKEN_GAP_US / 3;
  return c;
}

} // namespace

/* ---- Clock.  */

void
Clock::at (uint64_t delay_us, std::function<void ()> callback)
{
  queue.emplace (now_us + delay_us, std::move (callback));
}

void
Clock::run_until (uint64_t end_us)
{
  while (!queue.empty () && queue.begin ()->first <= end_us)
    {
      auto first = queue.begin ();
      std::function<void ()> callback = std::move (first->second);
      now_us = first->first;
      queue.erase (first);
      callback ();
    }
  now_us = end_us;
}

/* ---- Simulation: faults.  */

Simulation::Simulation (const std::vector<Cell> &all)
    : cells (all), injected (all.size (), false)
{
  config = make_config_with_spares ();
  for (int i = 0; i < 6; i++)
    engines.push_back ({ "e" + std::to_string (i), 4 * (uint32_t)(i % 3),
                         4 * (uint32_t)(i % 3) + 4 });
  /* e6 holds no layers until it is ordered to load some; e7 joins by a
     fault.  */
  engines.push_back ({ "e6", 0, 0 });
  engines.push_back ({ "e7", 4, 8 });
  engines[7].joined = false;
  last_plan_engines[0] = "e0";
  last_plan_engines[1] = "e1";
  last_plan_engines[2] = "e2";
  mq_manifest first;
  mq_manifest_init (&first);
  first.generation = 1;
  mq_str *encoded = mq_manifest_encode (&first);
  objects[MQ_MANIFEST_OBJECT] = { ++version, text (mq_str_span (encoded)) };
  mq_str_unref (encoded);
  mq_manifest_finish (&first);
  for (const char *name : { "a", "b" })
    routers.emplace_back (new Router (*this, name, ++next_incarnation));
}

Simulation::~Simulation ()
{
  for (auto &s : streams)
    mq_plan_finish (&s->plan);
  operators.clear ();
  routers.clear ();
  mq_config_unref (config);
}

void
Simulation::add_finding (Promise promise, const std::string &text)
{
  result.findings.push_back ({ promise, text });
}

Delivery
Simulation::inject (Step step, Router *at, bool message)
{
  Delivery delivery = Delivery::Normal;

  for (size_t i = 0; i < cells.size (); i++)
    {
      if (injected[i] || cells[i].step != step
          || (!message && is_message_fault (cells[i].fault)))
        continue;
      injected[i] = true;
      last_fault_us = clock.now_us;
      result.reached.push_back (step);
      switch (cells[i].fault)
        {
        case Fault::ReplyLost:
          delivery = Delivery::Lost;
          break;
        case Fault::ReplyDoubled:
          delivery = Delivery::Doubled;
          break;
        case Fault::ReplyLate:
          delivery = Delivery::Late;
          break;
        default:
          apply_fault (cells[i].fault, step, at);
          break;
        }
    }
  return delivery;
}

void
Simulation::apply_fault (Fault fault, Step step, Router *at)
{
  unsigned stage = step == Step::OpenFirst  ? 0
                   : step == Step::OpenLast ? 2
                                            : 1;
  Engine *e = engine (last_plan_engines[stage]);
  Router *r = at != nullptr ? at : router ("a");

  switch (fault)
    {
    case Fault::StageDies:
      e->alive = false;
      clock.at (ENGINE_OUTAGE_US, [e] () { e->alive = true; });
      break;
    case Fault::StageHangs:
      e->hung = true;
      clock.at (ENGINE_OUTAGE_US, [e] () { e->hung = false; });
      break;
    case Fault::SlowLink:
      e->slowdown = 10;
      clock.at (ENGINE_OUTAGE_US, [e] () { e->slowdown = 1; });
      break;
    case Fault::PlatformDown:
      platform_down = true;
      list_unreadable_until_us = clock.now_us + PLATFORM_OUTAGE_US;
      clock.at (PLATFORM_OUTAGE_US, [this] () { platform_down = false; });
      break;
    case Fault::PlatformSlow:
      platform_slow = true;
      clock.at (PLATFORM_OUTAGE_US, [this] () { platform_slow = false; });
      break;
    case Fault::WriteReplyLost:
      lose_write_reply = true;
      break;
    case Fault::PausedPastLease:
      if (r != nullptr)
        {
          r->pause (PAUSE_US);
          list_unreadable_until_us = clock.now_us + PAUSE_US;
        }
      break;
    case Fault::VmLeaves:
      if (e->leaving_us != 0)
        break;
      e->leaving_us = clock.now_us;
      clock.at (LEAVING_EXIT_US, [e] () { e->alive = false; });
      break;
    case Fault::RouterKilled:
      if (r != nullptr)
        r->kill ();
      break;
    case Fault::VmJoins:
      engines[7].joined = true;
      break;
    case Fault::Partition:
      if (r != nullptr)
        {
          r->partitioned = true;
          list_unreadable_until_us = clock.now_us + PLATFORM_OUTAGE_US;
          clock.at (PLATFORM_OUTAGE_US, [r] () { r->partitioned = false; });
        }
      break;
    case Fault::OperatorsRace:
      for (int i = 0; i < 2; i++)
        start_operator ("race" + std::to_string (operators.size ()),
                        "shared.json");
      break;
    case Fault::ReplyLost:
    case Fault::ReplyDoubled:
    case Fault::ReplyLate:
    case Fault::Count:
      break;
    }
}

/* ---- Simulation: routers.  */

Router *
Simulation::router (const std::string &name)
{
  for (auto &r : routers)
    if (r->name == name && r->alive && !r->exited)
      return r.get ();
  return nullptr;
}

void
Simulation::router_ended (Router *ended)
{
  std::string name = ended->name;

  for (auto &s : streams)
    if (s->router == ended)
      s->over = true;
  for (auto &o : ended->open)
    {
      Exchange *x = o.second;
      clock.at (CALLER_LATENCY_US, [this, x] () {
        if (x->ended)
          return;
        x->broken = true;
        handle_end (x);
      });
    }
  ended->open.clear ();
  /* The VM is replaced.  */
  clock.at (ROUTER_REPLACEMENT_US, [this, name] () {
    routers.emplace_back (new Router (*this, name, ++next_incarnation));
    routers.back ()->start ();
  });
}

/* ---- Simulation: engines.  */

Engine *
Simulation::engine (const std::string &name)
{
  for (Engine &e : engines)
    if (e.name == name)
      return &e;
  return nullptr;
}

Engine *
Simulation::stage_engine (const mq_plan &plan, uint32_t stage)
{
  return engine (mq_str_cstr (plan.stages[stage].engine));
}

void
Simulation::report_loads ()
{
  for (auto &each : routers)
    for (Engine &e : engines)
      {
        Router *to = each.get ();
        mq_planner_event p = {};
        if (!e.joined)
          continue;
        p.kind = e.alive && !e.hung && !e.loading ? MQ_PLANNER_LOAD
                                                  : MQ_PLANNER_ENGINE_DOWN;
        if (p.kind == MQ_PLANNER_LOAD)
          {
            p.u.load.engine = span (e.name);
            p.u.load.version = span (e.version);
            p.u.load.first = e.first;
            p.u.load.end = e.end;
            p.u.load.step_us = (uint32_t)TOKEN_GAP_US / 3;
            p.u.load.kv_limit = 1 << 30;
            p.u.load.incarnation = 1;
          }
        else
          p.u.engine = span (e.name);
        to->post (0, [to, p] () { to->planner_event (p); });
      }
  clock.at (LOAD_REPORT_INTERVAL_US, [this] () { report_loads (); });
}

void
Simulation::break_stream (std::shared_ptr<Stream> s, bool maybe_sent)
{
  mq_entry_event e = {};
  Router *r = s->router;

  s->over = true;
  e.kind = MQ_ENTRY_STREAM_FAILED;
  e.handle = s->handle;
  e.attempt = s->attempt;
  e.u.failure.maybe_sent = maybe_sent;
  r->post (ROUTER_LATENCY_US + s->late_us, [r, e] () { r->entry_event (e); });
}

void
Simulation::open_stream (Router *r, const mq_entry_action &a)
{
  auto s = std::make_shared<Stream> ();
  static const Step steps[]
      = { Step::OpenFirst, Step::OpenMiddle, Step::OpenLast };
  Delivery delivery = Delivery::Normal;

  s->router = r;
  s->handle = a.handle;
  s->attempt = a.attempt;
  s->exchange = r->open[a.handle];
  mq_plan_copy (&s->plan, a.u.open.plan);
  s->position = a.u.open.sent_tokens;
  s->max_tokens = a.u.open.max_tokens;
  for (const std::string &t : s->exchange->tokens)
    s->before = mq_hash_mix (s->before, mq_span_hash (span (t)));
  streams.push_back (s);
  for (uint32_t i = 0; i < s->plan.n_stages; i++)
    {
      Engine *e = stage_engine (s->plan, i);
      if (i < 3)
        last_plan_engines[i] = e->name;
      if (e->leaving_us != 0
          && clock.now_us > MAX (e->leaving_us, list_unreadable_until_us)
                                + LEAVING_GRACE_US)
        add_finding (Promise::LeavingGetsNothing,
                     "new work for " + e->name + ", which is leaving");
    }
  for (uint32_t i = 0; i < s->plan.n_stages && i < 3; i++)
    {
      Delivery f = inject (steps[i], r);
      delivery = f != Delivery::Normal ? f : delivery;
    }
  if (!stage_engine (s->plan, 0)->alive)
    {
      break_stream (s, false);
      return;
    }
  s->exchange->executed = true;
  if (delivery == Delivery::Lost)
    {
      break_stream (s, true);
      return;
    }
  if (delivery == Delivery::Late)
    s->late_us = LATE_DELAY_US;
  mq_entry_event e = {};
  e.kind = MQ_ENTRY_STREAM_OPEN;
  e.handle = s->handle;
  e.attempt = s->attempt;
  if (!stage_engine (s->plan, 0)->hung)
    for (int i = 0; i < (delivery == Delivery::Doubled ? 2 : 1); i++)
      r->post (2 * ROUTER_LATENCY_US + s->late_us,
               [r, e] () { r->entry_event (e); });
  clock.at (TOKEN_GAP_US, [this, s] () { make_token (s); });
}

void
Simulation::cancel_stream (Router *r, uint64_t handle, uint32_t attempt)
{
  for (auto &s : streams)
    if (s->router == r && s->handle == handle && s->attempt == attempt)
      clock.at (ROUTER_LATENCY_US, [s] () { s->over = true; });
}

/* Runs one step of all stages, which yields a token unless a fault prevents
   it.  */
void
Simulation::make_token (std::shared_ptr<Stream> s)
{
  Router *r = s->router;
  std::string layers;
  std::vector<mq_receipt> receipts;
  std::vector<std::string> versions;
  unsigned slowdown = 1;

  if (s->over)
    return;
  for (uint32_t i = 0; i < s->plan.n_stages; i++)
    {
      Engine *e = stage_engine (s->plan, i);
      if (!e->alive)
        {
          mq_entry_event end = {};
          if (i == 0)
            {
              break_stream (s, true);
              return;
            }
          s->over = true;
          end.kind = MQ_ENTRY_STREAM_END;
          end.handle = s->handle;
          end.attempt = s->attempt;
          end.u.stream_end.end = MQ_STREAM_STAGE_LOST;
          end.u.stream_end.stage = i;
          r->post (ROUTER_LATENCY_US, [r, end] () { r->entry_event (end); });
          return;
        }
      if (e->hung)
        {
          clock.at (TOKEN_GAP_US, [this, s] () { make_token (s); });
          return;
        }
      slowdown = MAX (slowdown, e->slowdown);
      layers += std::to_string (e->first) + "-" + std::to_string (e->end) + "@"
                + e->version + ",";
      receipts.push_back ({ e->first, e->end, {} });
      versions.push_back (e->version);
    }
  bool last = s->position + 1 == s->max_tokens;
  Delivery delivery = s->position == 0 ? inject (Step::FirstToken, r)
                      : s->position == s->max_tokens / 2
                          ? inject (Step::MidAnswer, r)
                      : last ? inject (Step::LastToken, r)
                             : Delivery::Normal;
  if (delivery == Delivery::Lost)
    {
      break_stream (s, true);
      return;
    }
  /* A late token delays all that follows it.  */
  if (delivery == Delivery::Late)
    {
      s->late_us = LATE_DELAY_US;
      s->over = true;
    }
  uint32_t position = s->position++;
  std::string token = make_token_text (s->exchange->id, position, s->attempt,
                                       s->before, layers);
  s->before = mq_hash_mix (s->before, mq_span_hash (span (token)));
  for (int i = 0; i < (delivery == Delivery::Doubled ? 2 : 1); i++)
    r->post (ROUTER_LATENCY_US + s->late_us,
             [r, s, token, receipts, versions, position] () mutable {
               mq_entry_event e = {};
               for (size_t k = 0; k < receipts.size (); k++)
                 receipts[k].version = span (versions[k]);
               e.kind = MQ_ENTRY_TOKEN;
               e.handle = s->handle;
               e.attempt = s->attempt;
               e.u.token.position = position;
               e.u.token.text = span (token);
               e.u.token.receipts = receipts.data ();
               e.u.token.n_receipts = receipts.size ();
               r->entry_event (e);
             });
  if (s->over)
    return;
  if (!last)
    {
      clock.at (TOKEN_GAP_US * slowdown, [this, s] () { make_token (s); });
      return;
    }
  s->over = true;
  mq_entry_event done = {};
  done.kind = MQ_ENTRY_STREAM_END;
  done.handle = s->handle;
  done.attempt = s->attempt;
  done.u.stream_end.end = MQ_STREAM_DONE;
  r->post (ROUTER_LATENCY_US + s->late_us,
           [r, done] () { r->entry_event (done); });
}

/* ---- Simulation: the plain service.  */

void
Simulation::send (Router *r, const mq_entry_action &a)
{
  Exchange *x = r->open[a.handle];
  mq_entry_event e = {};

  e.handle = a.handle;
  e.attempt = a.attempt;
  clock.at (ROUTER_LATENCY_US, [this, r, x, e] () mutable {
    /* The call runs here, even if its reply is lost.  */
    x->executed = true;
    if (x->post)
      effects[x->work]++;
    Delivery delivery = x->post ? inject (Step::Reply, r) : Delivery::Normal;
    e.kind
        = delivery == Delivery::Lost ? MQ_ENTRY_SEND_FAILED : MQ_ENTRY_REPLY;
    if (delivery == Delivery::Lost)
      e.u.failure.maybe_sent = true;
    else
      e.u.status = 200;
    for (int i = 0; i < (delivery == Delivery::Doubled ? 2 : 1); i++)
      r->post (ROUTER_LATENCY_US
                   + (delivery == Delivery::Late ? LATE_DELAY_US : 0),
               [r, e] () { r->entry_event (e); });
  });
}

/* ---- Simulation: the platform's store.  */

/* Executes CALL and copies the value that it reads to *VALUE.  */
mq_store_reply
Simulation::apply (const StoreCall &call, std::string *value)
{
  mq_store_reply r = {};
  auto found = objects.find (call.name);
  bool there = found != objects.end ();

  if (platform_down)
    r.result = MQ_STORE_REFUSED;
  else if (call.op == StoreOp::Create ? there : !there)
    r.result = there ? MQ_STORE_CONFLICT : MQ_STORE_ABSENT;
  else if ((call.op == StoreOp::Update || call.op == StoreOp::Delete)
           && found->second.version != call.version)
    r.result = MQ_STORE_CONFLICT;
  else if (call.op == StoreOp::Read)
    {
      *value = found->second.value;
      r.version = found->second.version;
    }
  else if (call.op == StoreOp::Delete)
    objects.erase (found);
  else
    {
      objects[call.name] = { ++version, call.value };
      r.version = version;
    }
  return r;
}

void
Simulation::store (Client client, Step step, StoreCall call,
                   std::function<void (mq_store_reply)> reply, bool message)
{
  Delivery delivery = inject (step, client.router, message);
  uint64_t latency_us = platform_slow ? 900 * MS : STORE_LATENCY_US;
  auto no_reply = [reply] () {
    mq_store_reply unknown = {};
    unknown.result = MQ_STORE_UNKNOWN;
    reply (unknown);
  };

  if (client.partitioned)
    {
      client.post (STORE_TIMEOUT_US, no_reply);
      return;
    }
  clock.at (latency_us, [=] () {
    auto value = std::make_shared<std::string> ();
    mq_store_reply result = apply (call, value.get ());
    auto answer = [result, value, reply] () mutable {
      result.value = span (*value);
      reply (result);
    };
    bool lose = delivery == Delivery::Lost || delivery == Delivery::Late;
    if (call.op != StoreOp::Read && lose_write_reply)
      {
        lose_write_reply = false;
        lose = true;
      }
    if (lose)
      client.post (STORE_TIMEOUT_US, no_reply);
    else
      client.post (latency_us, answer);
    if (delivery == Delivery::Late || delivery == Delivery::Doubled)
      client.post (delivery == Delivery::Late ? LATE_DELAY_US : latency_us,
                   answer);
  });
}

/* ---- Simulation: callers.  */

Exchange *
Simulation::add (const std::string &work, bool model, bool post,
                 mq_guard_kind guard)
{
  exchanges.emplace_back (new Exchange ());
  Exchange *x = exchanges.back ().get ();

  x->work = work;
  x->id = work + "/" + std::to_string (++runs[work]);
  x->model = model;
  x->post = post;
  x->guard = guard;
  if (guard == MQ_GUARD_KEY)
    x->guard_value = "key-" + work;
  result.exchanges++;
  return x;
}

void
Simulation::start_callers (int wave)
{
  std::string n = std::to_string (wave);

  discover (add ("answer" + n, true, false, MQ_GUARD_NONE), 0);
  discover (add ("ticket" + n, false, true, MQ_GUARD_TICKET), 0);
  discover (add ("key" + n, false, true, MQ_GUARD_KEY), 0);
  discover (add ("plain" + n, false, true, MQ_GUARD_NONE), 0);
  discover (add ("lookup" + n, false, false, MQ_GUARD_NONE), 0);
  if (wave > 0)
    return;
  Exchange *x = add ("long", true, false, MQ_GUARD_NONE);
  x->max_tokens = LONG_ANSWER_TOKENS;
  start_call (x, "a");
}

/* Sends a discovery request to one router after the other until one replies
   with routers to use.  */
void
Simulation::discover (Exchange *x, unsigned tries)
{
  Router *at = router (tries % 2 ? "b" : "a");
  Delivery delivery = inject (Step::Discovery, at);

  if (tries > 20)
    return;
  if (at == nullptr || at->paused || delivery == Delivery::Lost)
    {
      clock.at (200 * MS, [this, x, tries] () { discover (x, tries + 1); });
      return;
    }
  at->post (CALLER_LATENCY_US
                + (delivery == Delivery::Late ? LATE_DELAY_US : 0),
            [this, x, at, tries] () {
              std::vector<std::string> entries = at->answer_discovery (x->id);
              bool ticket = x->guard == MQ_GUARD_TICKET;
              if (entries.empty () || (ticket && at->leaving_us != 0))
                {
                  clock.at (200 * MS,
                            [this, x, tries] () { discover (x, tries + 1); });
                  return;
                }
              /* A ticket is only valid at the router that minted it.  */
              if (ticket)
                entries = { at->name };
              if (ticket && x->guard_value.empty ())
                x->guard_value = at->mint ("acme");
              connect_first (x, entries);
            });
}

/* Calls the first router that accepts a connection.  */
void
Simulation::connect_first (Exchange *x, std::vector<std::string> entries)
{
  for (const std::string &name : entries)
    if (router (name) != nullptr)
      {
        start_call (x, name);
        return;
      }
  start_call (x, entries.front ());
}

void
Simulation::start_call (Exchange *x, const std::string &to)
{
  x->router = to;
  clock.at (CALLER_LATENCY_US, [this, x] () {
    Router *at = router (x->router);
    x->started_us = clock.now_us;
    x->deadline_us = clock.now_us + (x->model ? 8 : 5) * SECOND;
    if (at == nullptr)
      {
        x->broken = true;
        handle_end (x);
        return;
      }
    at->post (0, [at, x] () {
      if (!x->broken)
        at->call (x);
    });
    /* A caller waits a little longer than its deadline.  */
    clock.at (x->deadline_us - clock.now_us + 200 * MS, [this, x, at] () {
      if (x->ended || x->broken)
        return;
      x->broken = true;
      if (at->alive && !at->exited && !at->has_paused)
        add_finding (Promise::OwnWholeAnswer, x->id + " got no final answer");
      mq_entry_event disconnected = {};
      disconnected.kind = MQ_ENTRY_CALLER_DISCONNECTED;
      disconnected.handle = x->handle;
      at->post (0, [at, disconnected] () { at->entry_event (disconnected); });
      handle_end (x);
    });
  });
}

void
Simulation::receive_outcome (Exchange *x)
{
  bool late
      = clock.now_us > x->deadline_us + CALLER_LATENCY_US + ANSWER_GRACE_US;

  if (x->outcome == MQ_OUTCOME_DONE)
    result.done++;
  if (late && !(x->at != nullptr && x->at->has_paused))
    add_finding (Promise::OwnWholeAnswer,
                 x->id + " received its outcome late");
  handle_end (x);
}

/* Decides whether a caller retries.  Correct callers retry only what did not
   run, what is repeatable and what is guarded.  */
void
Simulation::handle_end (Exchange *x)
{
  if (x->ended && x->outcome == MQ_OUTCOME_DONE)
    return;
  if (x->ended && x->outcome == MQ_OUTCOME_FAILED)
    return;
  if (x->retries >= MAX_RETRIES)
    return;
  bool not_run = x->ended && x->outcome == MQ_OUTCOME_NOT_RUN;
  if (!not_run && x->post && x->guard == MQ_GUARD_NONE)
    return;
  clock.at (RETRY_US, [this, x] () { retry (x); });
}

void
Simulation::retry (Exchange *x)
{
  Exchange *again = add (x->work, x->model, x->post, x->guard);

  again->retries = x->retries + 1;
  again->max_tokens = x->max_tokens;
  if (x->guard == MQ_GUARD_TICKET && x->outcome != MQ_OUTCOME_NOT_RUN)
    {
      /* Retry with the same ticket, at the router that it names.  */
      again->guard_value = x->guard_value;
      start_call (again, x->router);
    }
  else
    discover (again, again->retries);
}

/* ---- Simulation: checks of the promises.  */

void
Simulation::check_exchange (const Exchange &x)
{
  uint64_t before = 0;

  for (uint32_t i = 0; i < x.tokens.size (); i++)
    {
      const std::string &t = x.tokens[i];
      std::string layers = t.substr (t.rfind (':') + 1);
      std::string own = x.id + ":" + std::to_string (i) + ":";
      std::string follows = ":" + std::to_string (before) + ":";
      if (t.rfind (own, 0) != 0 || t.find (follows) == std::string::npos)
        add_finding (Promise::OwnWholeAnswer,
                     x.id + " has '" + t + "' at " + std::to_string (i));
      if (layers != reference_layers ())
        add_finding (Promise::LayersOnce, x.id + " has '" + t + "'");
      before = mq_hash_mix (before, mq_span_hash (span (t)));
    }
  if (!x.ended)
    return;
  bool repeat
      = x.reason == MQ_REASON_TICKET_SPENT || x.reason == MQ_REASON_KEY_SPENT;
  if (x.outcome == MQ_OUTCOME_DONE && x.model
      && x.tokens.size () != x.max_tokens)
    add_finding (Promise::OwnWholeAnswer,
                 x.id + " done with " + std::to_string (x.tokens.size ())
                     + " tokens");
  if (x.outcome == MQ_OUTCOME_DONE && !x.model && !x.reply && !repeat)
    add_finding (Promise::OwnWholeAnswer, x.id + " is done without a reply");
  if (x.outcome == MQ_OUTCOME_NOT_RUN && x.executed)
    add_finding (Promise::NotRunIsTrue,
                 x.id + " was reported as not run but ran");
  if (x.outcome != MQ_OUTCOME_NOT_RUN || x.guard != MQ_GUARD_TICKET)
    return;
  for (auto &other : exchanges)
    if (other->guard_value == x.guard_value && other->executed)
      add_finding (Promise::NotRunIsTrue,
                   x.id + " was reported as not run but its ticket ran");
}

/* Long after the faults all calls succeed again, unless a fault was injected
   late.  */
void
Simulation::check_recovery (const std::set<std::string> &done)
{
  if (last_fault_us >= started_us + WAVES_US[LAST_WAVE])
    return;
  for (const char *work : { "answer", "ticket", "key", "plain", "lookup" })
    if (done.count (work + std::to_string (LAST_WAVE)) == 0)
      add_finding (Promise::OwnWholeAnswer,
                   std::string (work) + " not done long after the fault");
}

void
Simulation::check ()
{
  std::set<std::string> done;

  for (auto &x : exchanges)
    {
      check_exchange (*x);
      if (x->ended && x->outcome == MQ_OUTCOME_DONE)
        done.insert (x->work);
    }
  for (auto &e : effects)
    if (e.second > 1)
      add_finding (Promise::AtMostOnce,
                   e.first + " ran " + std::to_string (e.second) + " times");
  check_configuration ();
  check_recovery (done);
  for (auto &r : routers)
    {
      result.recoveries += r->recoveries;
      if (r->alive && !r->exited && mq_entry_in_flight (r->entry) > 0)
        add_finding (Promise::OwnWholeAnswer,
                     r->name + " still has requests in flight");
    }
}

Result
Simulation::run ()
{
  started_us = clock.now_us;
  report_loads ();
  for (auto &r : routers)
    r->start ();
  clock.at (CHANGE_INTERVAL_US,
            [this] () { start_operator ("change1", "one.json"); });
  clock.at (5 * CHANGE_INTERVAL_US,
            [this] () { start_operator ("change2", "two.json"); });
  /* The routers request different layers for the spare engine.  */
  for (uint64_t when : ORDER_REQUEST_US)
    clock.at (when, [this, when] () {
      Router *r = router (when == ORDER_REQUEST_US[0] ? "a" : "b");
      if (r != nullptr)
        r->post (0, [r, when] () {
          if (when == ORDER_REQUEST_US[0])
            r->request_layers (8, 12);
          else
            r->request_layers (4, 8);
        });
    });
  for (int wave = 0; wave <= LAST_WAVE; wave++)
    clock.at (WAVES_US[wave] + 10 * MS,
              [this, wave] () { start_callers (wave); });
  for (const Cell &c : cells)
    if (c.step == Step::Drain)
      {
        clock.at (DRAIN_US, [this] () {
          Router *a = router ("a");
          if (a == nullptr)
            return;
          Delivery delivery = inject (Step::Drain, a);
          a->leaving_us = clock.now_us;
          for (int i = 0; i < (delivery == Delivery::Doubled ? 2 : 1); i++)
            a->post (0, [a] () { a->leave (); });
        });
        break;
      }
  clock.run_until (started_us + END_US);
  check ();
  return result;
}

} // namespace fault_test
