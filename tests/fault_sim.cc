/* The deployment of fakes: see fault_world.h.  */

#include "fault_sim.h"
#include "entry_fixture.h"

namespace fault_test
{

namespace
{

constexpr uint64_t TOKEN_GAP_US = 50 * MS;
/* Until a router that is gone is replaced.  */
constexpr uint64_t REPLACED_US = 500 * MS;
constexpr uint64_t LOAD_EVERY_US = 250 * MS;
/* How long faults that pass last.  */
constexpr uint64_t ENGINE_OUTAGE_US = 5 * SECOND;
constexpr uint64_t PLATFORM_OUTAGE_US = 3 * SECOND;
constexpr uint64_t PAUSE_US = 4 * SECOND;
constexpr uint64_t LEAVING_EXIT_US = 9 * SECOND;
/* Callers come in waves: into the fault, shortly after it, while a leaving
   router still has its long answer to make, long after.  */
constexpr uint64_t WAVES_US[] = { 0, 1 * SECOND, 5 * SECOND, 12 * SECOND };
constexpr int LAST_WAVE = 3;
constexpr uint64_t CHANGE_US = 100 * MS;
constexpr uint64_t WANT_US[] = { 300 * MS, 2500 * MS, 10 * SECOND };
constexpr uint64_t DRAIN_US = 600 * MS;
constexpr uint64_t END_US = 24 * SECOND;
constexpr unsigned RETRIES_MAX = 4;
constexpr uint64_t RETRY_US = 300 * MS;
/* How late a final answer may be after its deadline.  */
constexpr uint64_t ANSWER_GRACE_US = 50 * MS;

/* A token names its exchange, its position, the attempt that drew it, a hash
   of the answer before it and the layers that ran.  An attempt draws its own
   tokens, as a model that samples does, so that one of another attempt does
   not fit in.  */
std::string
make_text (const std::string &exchange, uint32_t p, uint32_t attempt,
           uint64_t before, const std::string &layers)
{
  return exchange + ":" + std::to_string (p) + ":" + std::to_string (attempt)
         + ":" + std::to_string (before) + ":" + layers;
}

/* The layers that are to run, each once, in order.  */
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
Clock::at (uint64_t delay_us, std::function<void ()> what)
{
  queue.emplace (now_us + delay_us, std::move (what));
}

void
Clock::run_until (uint64_t end_us)
{
  while (!queue.empty () && queue.begin ()->first <= end_us)
    {
      auto first = queue.begin ();
      std::function<void ()> what = std::move (first->second);
      now_us = first->first;
      queue.erase (first);
      what ();
    }
  now_us = end_us;
}

/* ---- World: faults.  */

Simulation::Simulation (const std::vector<Cell> &all)
    : cells (all), struck (all.size (), false)
{
  config = make_config_with_spares ();
  for (int i = 0; i < 6; i++)
    engines.push_back ({ "e" + std::to_string (i), 4 * (uint32_t)(i % 3),
                         4 * (uint32_t)(i % 3) + 4 });
  /* One holds nothing until it is ordered; one joins by a fault.  */
  engines.push_back ({ "e6", 0, 0 });
  engines.push_back ({ "e7", 4, 8 });
  engines[7].joined = false;
  stage_at_risk[0] = "e0";
  stage_at_risk[1] = "e1";
  stage_at_risk[2] = "e2";
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
Simulation::find (Promise promise, const std::string &what)
{
  result.findings.push_back ({ promise, what });
}

Fate
Simulation::strike (Step step, Router *at, bool message)
{
  Fate fate = Fate::Normal;

  for (size_t i = 0; i < cells.size (); i++)
    {
      if (struck[i] || cells[i].step != step
          || (!message && is_message_fault (cells[i].fault)))
        continue;
      struck[i] = true;
      last_strike_us = clock.now_us;
      result.reached.push_back (step);
      switch (cells[i].fault)
        {
        case Fault::ReplyLost:
          fate = Fate::Lost;
          break;
        case Fault::Doubled:
          fate = Fate::Doubled;
          break;
        case Fault::Late:
          fate = Fate::Late;
          break;
        default:
          hit (cells[i].fault, step, at);
          break;
        }
    }
  return fate;
}

void
Simulation::hit (Fault fault, Step step, Router *at)
{
  unsigned stage = step == Step::OpenFirst  ? 0
                   : step == Step::OpenLast ? 2
                                            : 1;
  Engine *e = engine (stage_at_risk[stage]);
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
      e->slowness = 10;
      clock.at (ENGINE_OUTAGE_US, [e] () { e->slowness = 1; });
      break;
    case Fault::PlatformDown:
      platform_down = true;
      blind_until_us = clock.now_us + PLATFORM_OUTAGE_US;
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
          blind_until_us = clock.now_us + PAUSE_US;
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
          r->cut = true;
          blind_until_us = clock.now_us + PLATFORM_OUTAGE_US;
          clock.at (PLATFORM_OUTAGE_US, [r] () { r->cut = false; });
        }
      break;
    case Fault::OperatorsRace:
      for (int i = 0; i < 2; i++)
        operate ("race" + std::to_string (operators.size ()), "shared.json");
      break;
    case Fault::ReplyLost:
    case Fault::Doubled:
    case Fault::Late:
    case Fault::Count:
      break;
    }
}

/* ---- World: routers.  */

Router *
Simulation::router (const std::string &name)
{
  for (auto &r : routers)
    if (r->name == name && r->alive && !r->exited)
      return r.get ();
  return nullptr;
}

void
Simulation::router_gone (Router *gone)
{
  std::string name = gone->name;

  for (auto &s : streams)
    if (s->router == gone)
      s->over = true;
  for (auto &o : gone->open)
    {
      Exchange *x = o.second;
      clock.at (CALLER_US, [this, x] () {
        if (x->ended)
          return;
        x->broken = true;
        finish (x);
      });
    }
  gone->open.clear ();
  /* The VM is replaced.  */
  clock.at (REPLACED_US, [this, name] () {
    routers.emplace_back (new Router (*this, name, ++next_incarnation));
    routers.back ()->start ();
  });
}

/* ---- World: engines.  */

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
  clock.at (LOAD_EVERY_US, [this] () { report_loads (); });
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
  r->post (NEAR_US + s->late_us, [r, e] () { r->entry_event (e); });
}

void
Simulation::open_stream (Router *r, const mq_entry_action &a)
{
  auto s = std::make_shared<Stream> ();
  static const Step steps[]
      = { Step::OpenFirst, Step::OpenMiddle, Step::OpenLast };
  Fate fate = Fate::Normal;

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
        stage_at_risk[i] = e->name;
      if (e->leaving_us != 0
          && clock.now_us
                 > MAX (e->leaving_us, blind_until_us) + LEAVING_GRACE_US)
        find (Promise::LeavingGetsNothing,
              "new work for " + e->name + ", which leaves");
    }
  for (uint32_t i = 0; i < s->plan.n_stages && i < 3; i++)
    {
      Fate f = strike (steps[i], r);
      fate = f != Fate::Normal ? f : fate;
    }
  if (!stage_engine (s->plan, 0)->alive)
    {
      break_stream (s, false);
      return;
    }
  s->exchange->worked = true;
  if (fate == Fate::Lost)
    {
      break_stream (s, true);
      return;
    }
  if (fate == Fate::Late)
    s->late_us = LATE_US;
  mq_entry_event e = {};
  e.kind = MQ_ENTRY_STREAM_OPEN;
  e.handle = s->handle;
  e.attempt = s->attempt;
  if (!stage_engine (s->plan, 0)->hung)
    for (int i = 0; i < (fate == Fate::Doubled ? 2 : 1); i++)
      r->post (2 * NEAR_US + s->late_us, [r, e] () { r->entry_event (e); });
  clock.at (TOKEN_GAP_US, [this, s] () { make_token (s); });
}

void
Simulation::cancel_stream (Router *r, uint64_t handle, uint32_t attempt)
{
  for (auto &s : streams)
    if (s->router == r && s->handle == handle && s->attempt == attempt)
      clock.at (NEAR_US, [s] () { s->over = true; });
}

/* One step of all stages: a token, or what came in its way.  */
void
Simulation::make_token (std::shared_ptr<Stream> s)
{
  Router *r = s->router;
  std::string layers;
  std::vector<mq_receipt> receipts;
  std::vector<std::string> versions;
  unsigned slowness = 1;

  if (s->over)
    return;
  for (uint32_t i = 0; i < s->plan.n_stages; i++)
    {
      Engine *e = stage_engine (s->plan, i);
      if (!e->alive)
        {
          mq_entry_event lost = {};
          if (i == 0)
            {
              break_stream (s, true);
              return;
            }
          s->over = true;
          lost.kind = MQ_ENTRY_STREAM_END;
          lost.handle = s->handle;
          lost.attempt = s->attempt;
          lost.u.stream_end.end = MQ_STREAM_STAGE_LOST;
          lost.u.stream_end.stage = i;
          r->post (NEAR_US, [r, lost] () { r->entry_event (lost); });
          return;
        }
      if (e->hung)
        {
          clock.at (TOKEN_GAP_US, [this, s] () { make_token (s); });
          return;
        }
      slowness = MAX (slowness, e->slowness);
      layers += std::to_string (e->first) + "-" + std::to_string (e->end) + "@"
                + e->version + ",";
      receipts.push_back ({ e->first, e->end, {} });
      versions.push_back (e->version);
    }
  bool last = s->position + 1 == s->max_tokens;
  Fate fate = s->position == 0                   ? strike (Step::FirstToken, r)
              : s->position == s->max_tokens / 2 ? strike (Step::MidAnswer, r)
              : last                             ? strike (Step::LastToken, r)
                                                 : Fate::Normal;
  if (fate == Fate::Lost)
    {
      break_stream (s, true);
      return;
    }
  /* What follows a late token hangs with it.  */
  if (fate == Fate::Late)
    {
      s->late_us = LATE_US;
      s->over = true;
    }
  uint32_t position = s->position++;
  std::string token
      = make_text (s->exchange->id, position, s->attempt, s->before, layers);
  s->before = mq_hash_mix (s->before, mq_span_hash (span (token)));
  for (int i = 0; i < (fate == Fate::Doubled ? 2 : 1); i++)
    r->post (NEAR_US + s->late_us,
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
      clock.at (TOKEN_GAP_US * slowness, [this, s] () { make_token (s); });
      return;
    }
  s->over = true;
  mq_entry_event done = {};
  done.kind = MQ_ENTRY_STREAM_END;
  done.handle = s->handle;
  done.attempt = s->attempt;
  done.u.stream_end.end = MQ_STREAM_DONE;
  r->post (NEAR_US + s->late_us, [r, done] () { r->entry_event (done); });
}

/* ---- World: the plain service.  */

void
Simulation::send (Router *r, const mq_entry_action &a)
{
  Exchange *x = r->open[a.handle];
  mq_entry_event e = {};

  e.handle = a.handle;
  e.attempt = a.attempt;
  clock.at (NEAR_US, [this, r, x, e] () mutable {
    /* The call runs here, whatever comes of its reply.  */
    x->worked = true;
    if (x->post)
      effects[x->work]++;
    Fate fate = x->post ? strike (Step::Reply, r) : Fate::Normal;
    e.kind = fate == Fate::Lost ? MQ_ENTRY_SEND_FAILED : MQ_ENTRY_REPLY;
    if (fate == Fate::Lost)
      e.u.failure.maybe_sent = true;
    else
      e.u.status = 200;
    for (int i = 0; i < (fate == Fate::Doubled ? 2 : 1); i++)
      r->post (NEAR_US + (fate == Fate::Late ? LATE_US : 0),
               [r, e] () { r->entry_event (e); });
  });
}

/* ---- World: the platform's store.  */

/* Carry CALL out, and copy what it reads to *VALUE.  */
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
  Fate fate = strike (step, client.router, message);
  uint64_t way = platform_slow ? 900 * MS : STORE_US;
  auto lost = [reply] () {
    mq_store_reply unknown = {};
    unknown.result = MQ_STORE_UNKNOWN;
    reply (unknown);
  };

  if (client.cut)
    {
      client.post (STORE_TIMEOUT_US, lost);
      return;
    }
  clock.at (way, [=] () {
    auto value = std::make_shared<std::string> ();
    mq_store_reply result = apply (call, value.get ());
    auto answer = [result, value, reply] () mutable {
      result.value = span (*value);
      reply (result);
    };
    bool lose = fate == Fate::Lost || fate == Fate::Late;
    if (call.op != StoreOp::Read && lose_write_reply)
      {
        lose_write_reply = false;
        lose = true;
      }
    if (lose)
      client.post (STORE_TIMEOUT_US, lost);
    else
      client.post (way, answer);
    if (fate == Fate::Late || fate == Fate::Doubled)
      client.post (fate == Fate::Late ? LATE_US : way, answer);
  });
}

/* ---- World: callers.  */

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

  ask (add ("answer" + n, true, false, MQ_GUARD_NONE), 0);
  ask (add ("ticket" + n, false, true, MQ_GUARD_TICKET), 0);
  ask (add ("key" + n, false, true, MQ_GUARD_KEY), 0);
  ask (add ("plain" + n, false, true, MQ_GUARD_NONE), 0);
  ask (add ("lookup" + n, false, false, MQ_GUARD_NONE), 0);
  if (wave > 0)
    return;
  Exchange *x = add ("long", true, false, MQ_GUARD_NONE);
  x->max_tokens = LONG_TOKENS;
  begin (x, "a");
}

/* Ask one router after the other which to use.  */
void
Simulation::ask (Exchange *x, unsigned tries)
{
  Router *at = router (tries % 2 ? "b" : "a");
  Fate fate = strike (Step::Ask, at);

  if (tries > 20)
    return;
  if (at == nullptr || at->paused || fate == Fate::Lost)
    {
      clock.at (200 * MS, [this, x, tries] () { ask (x, tries + 1); });
      return;
    }
  at->post (
      CALLER_US + (fate == Fate::Late ? LATE_US : 0), [this, x, at, tries] () {
        std::vector<std::string> entries = at->answer_ask (x->id);
        bool ticket = x->guard == MQ_GUARD_TICKET;
        if (entries.empty () || (ticket && at->leaving_us != 0))
          {
            clock.at (200 * MS, [this, x, tries] () { ask (x, tries + 1); });
            return;
          }
        /* A ticket is run by the router that minted it.  */
        if (ticket)
          entries = { at->name };
        if (ticket && x->guard_value.empty ())
          x->guard_value = at->mint ("acme");
        go (x, entries);
      });
}

/* Take the first entry that accepts a connection.  */
void
Simulation::go (Exchange *x, std::vector<std::string> entries)
{
  for (const std::string &name : entries)
    if (router (name) != nullptr)
      {
        begin (x, name);
        return;
      }
  begin (x, entries.front ());
}

void
Simulation::begin (Exchange *x, const std::string &to)
{
  x->router = to;
  clock.at (CALLER_US, [this, x] () {
    Router *at = router (x->router);
    x->started_us = clock.now_us;
    x->deadline_us = clock.now_us + (x->model ? 8 : 5) * SECOND;
    if (at == nullptr)
      {
        x->broken = true;
        finish (x);
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
      if (at->alive && !at->exited && !at->was_paused)
        find (Promise::OwnWholeAnswer, x->id + " got no final answer");
      mq_entry_event gone = {};
      gone.kind = MQ_ENTRY_CALLER_GONE;
      gone.handle = x->handle;
      at->post (0, [at, gone] () { at->entry_event (gone); });
      finish (x);
    });
  });
}

void
Simulation::told (Exchange *x)
{
  bool late = clock.now_us > x->deadline_us + CALLER_US + ANSWER_GRACE_US;

  if (x->outcome == MQ_OUTCOME_DONE)
    result.done++;
  if (late && !(x->at != nullptr && x->at->was_paused))
    find (Promise::OwnWholeAnswer, x->id + " was told late");
  finish (x);
}

/* What a caller does next.  It follows what it was told: only what did not
   run, or may be repeated, or is guarded, is sent again.  */
void
Simulation::finish (Exchange *x)
{
  if (x->ended && x->outcome == MQ_OUTCOME_DONE)
    return;
  if (x->ended && x->outcome == MQ_OUTCOME_FAILED)
    return;
  if (x->retries >= RETRIES_MAX)
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
      /* The same ticket, at the router that it names.  */
      again->guard_value = x->guard_value;
      begin (again, x->router);
    }
  else
    ask (again, again->retries);
}

/* ---- World: the promises.  */

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
        find (Promise::OwnWholeAnswer,
              x.id + " has '" + t + "' at " + std::to_string (i));
      if (layers != reference_layers ())
        find (Promise::LayersOnce, x.id + " has '" + t + "'");
      before = mq_hash_mix (before, mq_span_hash (span (t)));
    }
  if (!x.ended)
    return;
  bool repeat
      = x.reason == MQ_REASON_TICKET_SPENT || x.reason == MQ_REASON_KEY_SPENT;
  if (x.outcome == MQ_OUTCOME_DONE && x.model
      && x.tokens.size () != x.max_tokens)
    find (Promise::OwnWholeAnswer, x.id + " done with "
                                       + std::to_string (x.tokens.size ())
                                       + " tokens");
  if (x.outcome == MQ_OUTCOME_DONE && !x.model && !x.reply && !repeat)
    find (Promise::OwnWholeAnswer, x.id + " done without its reply");
  if (x.outcome == MQ_OUTCOME_NOT_RUN && x.worked)
    find (Promise::NotRunIsTrue, x.id + " was told not-run and ran");
  if (x.outcome != MQ_OUTCOME_NOT_RUN || x.guard != MQ_GUARD_TICKET)
    return;
  for (auto &other : exchanges)
    if (other->guard_value == x.guard_value && other->worked)
      find (Promise::NotRunIsTrue,
            x.id + " was told not-run of a ticket that ran");
}

/* Long after the faults all works again, unless they struck just now.  */
void
Simulation::check_recovery (const std::set<std::string> &done)
{
  if (last_strike_us >= started_us + WAVES_US[LAST_WAVE])
    return;
  for (const char *work : { "answer", "ticket", "key", "plain", "lookup" })
    if (done.count (work + std::to_string (LAST_WAVE)) == 0)
      find (Promise::OwnWholeAnswer,
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
      find (Promise::AtMostOnce,
            e.first + " ran " + std::to_string (e.second) + " times");
  check_configuration ();
  check_recovery (done);
  for (auto &r : routers)
    {
      result.recovered += r->recovered;
      if (r->alive && !r->exited && mq_entry_in_flight (r->entry) > 0)
        find (Promise::OwnWholeAnswer, r->name + " has requests left over");
    }
}

Result
Simulation::run ()
{
  started_us = clock.now_us;
  report_loads ();
  for (auto &r : routers)
    r->start ();
  clock.at (CHANGE_US, [this] () { operate ("change1", "one.json"); });
  clock.at (5 * CHANGE_US, [this] () { operate ("change2", "two.json"); });
  /* The two do not want the same of the spare engine.  */
  for (uint64_t when : WANT_US)
    clock.at (when, [this, when] () {
      Router *r = router (when == WANT_US[0] ? "a" : "b");
      if (r != nullptr)
        r->post (0, [r, when] () {
          if (when == WANT_US[0])
            r->want (8, 12);
          else
            r->want (4, 8);
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
          Fate fate = strike (Step::Drain, a);
          a->leaving_us = clock.now_us;
          for (int i = 0; i < (fate == Fate::Doubled ? 2 : 1); i++)
            a->post (0, [a] () { a->leave (); });
        });
        break;
      }
  clock.run_until (started_us + END_US);
  check ();
  return result;
}

} // namespace fault_test
