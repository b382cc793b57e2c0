/* A small configuration, and a driver that sends events to an mq_entry.  */

#ifndef MQ_TESTS_ENTRY_FIXTURE_H
#define MQ_TESTS_ENTRY_FIXTURE_H

#include "entry_checker.h"
#include <gtest/gtest.h>
#include <mq/entry.h>
#include <string>
#include <vector>

namespace entry_test
{

constexpr uint64_t MS = 1000;
constexpr uint64_t SECOND = 1000 * MS;
constexpr uint32_t LAYERS = 12;
constexpr uint32_t MAX_TOKENS = 8; /* Of model_call.  */
constexpr uint32_t SERVICE_TOKENS = 200;

inline mq_str *
str (const char *text)
{
  return mq_str_new (mq_span_from (text));
}

inline mq_span
span (const std::string &text)
{
  return mq_span{ text.data (), text.size () };
}

/* A configuration with two organisations; one model in three stages with two
   engines each; the model service "chat"; the plain service "booking", which
   allows repeated GETs; and the plain service "quotes", which also honours
   idempotency keys.  */
inline mq_config *
make_config (uint64_t generation = 1)
{
  mq_config *c = mq_config_new (generation);
  auto add_organisation = [&] (const char *name) {
    mq_organisation o = {};
    o.name = str (name);
    o.weight = 1;
    g_array_append_val (c->organisations, o);
  };
  auto add_plain = [&] (const char *name, bool honours_keys) {
    mq_service s = {};
    s.name = str (name);
    s.kind = MQ_SERVICE_PLAIN;
    s.deadline_ms = 1000;
    s.retry_percent = 20;
    s.u.plain.instances = mq_config_instances_new ();
    s.u.plain.repeatable = mq_config_repeatable_new ();
    s.u.plain.honours_keys = honours_keys;
    s.u.plain.concurrent = 2;
    for (int i = 0; i < 2; i++)
      {
        mq_instance instance
            = { mq_str_printf ("http://127.0.0.1:%d", 9100 + i),
                str (i == 0 ? "kamloops-yard" : "surrey-office") };
        g_array_append_val (s.u.plain.instances, instance);
      }
    mq_repeatable_call r = { str ("GET"), str ("/") };
    g_array_append_val (s.u.plain.repeatable, r);
    g_array_append_val (c->services, s);
  };

  add_organisation ("acme");
  add_organisation ("zeta");
  mq_model m = {};
  m.name = str ("m");
  m.version = str ("v1");
  m.layers = LAYERS;
  g_array_append_val (c->models, m);
  for (int i = 0; i < 6; i++)
    {
      mq_engine e = {};
      e.name = mq_str_printf ("e%d", i);
      e.url = mq_str_printf ("http://127.0.0.1:%d", 9000 + i);
      e.model = str ("m");
      e.version = str ("v1");
      e.first = 4 * (uint32_t)(i % 3);
      e.end = e.first + 4;
      e.accelerator = str ("a");
      e.failure_domain = str (i < 3 ? "kamloops-yard" : "surrey-office");
      e.slots = 8;
      e.step_us = 2000;
      g_array_append_val (c->engines, e);
    }
  mq_service s = {};
  s.name = str ("chat");
  s.kind = MQ_SERVICE_MODEL;
  s.deadline_ms = 4000;
  s.max_deadline_ms = 60000;
  s.priority = 5;
  s.u.model.model = str ("m");
  s.u.model.max_tokens = SERVICE_TOKENS;
  g_array_append_val (c->services, s);
  add_plain ("booking", false);
  add_plain ("quotes", true);
  return c;
}

/* A plan over engines FIRST, FIRST + 1 and FIRST + 2.  */
class Plan
{
public:
  explicit Plan (int first = 0, const char *version = "v1",
                 uint32_t middle_first = 4)
  {
    mq_plan_init (&plan);
    plan.model = str ("m");
    plan.version = str (version);
    plan.layers = LAYERS;
    for (int i = 0; i < 3; i++)
      {
        mq_str *name = mq_str_printf ("e%d", first + i);
        mq_str *url = mq_str_printf ("http://127.0.0.1:%d", 9000 + first + i);
        uint32_t from = i == 1 ? middle_first : 4 * (uint32_t)i;
        mq_plan_add (&plan, name, url, from, 4 * (uint32_t)i + 4);
        mq_str_unref (name);
        mq_str_unref (url);
      }
  }
  Plan (const Plan &) = delete;
  ~Plan () { mq_plan_finish (&plan); }
  mq_plan plan;
};

/* An entry with its configuration, a clock and the actions of the last event;
   each event is checked against the invariants.  */
class Driver
{
public:
  explicit Driver (bool with_config = true)
  {
    mq_entry_options o = { 7, 42, MQ_SPAN ("kamloops-yard"), &quarantine };

    mq_quarantine_init (&quarantine, 600 * (uint64_t)1000000);
    entry = mq_entry_new (&o);
    actions = g_array_new (FALSE, TRUE, sizeof (mq_entry_action));
    config = make_config ();
    if (with_config)
      configure ();
  }
  Driver (const Driver &) = delete;
  ~Driver ()
  {
    if (!expect_violations)
      {
        EXPECT_FALSE (checker.broken ()) << checker.report ();
      }
    mq_entry_free (entry);
    mq_quarantine_finish (&quarantine);
    g_array_unref (actions);
    mq_config_unref (config);
  }

  void
  configure ()
  {
    mq_entry_event e = make_event (MQ_ENTRY_CONFIG, 0, 0);
    e.u.config = config;
    handle (e);
  }

  mq_entry_event
  make_event (mq_entry_event_kind kind, uint64_t handle, uint32_t attempt)
  {
    mq_entry_event e = {};
    e.kind = kind;
    e.now_us = now;
    e.handle = handle;
    e.attempt = attempt;
    return e;
  }

  void
  handle (const mq_entry_event &event)
  {
    g_array_set_size (actions, 0);
    checker.before (event);
    mq_entry_handle (entry, &event, actions);
    checker.after (entry, actions);
  }

  void
  send_event (mq_entry_event_kind kind, uint64_t id = 0, uint32_t attempt = 0)
  {
    handle (make_event (kind, id, attempt));
  }

  mq_call
  model_call ()
  {
    mq_call c = {};
    c.organisation = MQ_SPAN ("acme");
    c.service = MQ_SPAN ("chat");
    c.priority = -1;
    c.prompt_tokens = 10;
    c.max_tokens = MAX_TOKENS;
    return c;
  }

  mq_call
  plain_call (const char *method = "POST", const char *service = "booking")
  {
    mq_call c = {};
    c.organisation = MQ_SPAN ("acme");
    c.service = mq_span_from (service);
    c.priority = -1;
    c.method = mq_span_from (method);
    c.path = MQ_SPAN ("/units/7");
    return c;
  }

  mq_call
  guarded (mq_call call, mq_guard_kind kind, const char *value,
           uint64_t body = 1)
  {
    call.guard = kind;
    call.guard_value = mq_span_from (value);
    call.body_hash = body;
    return call;
  }

  void
  call (uint64_t id, const mq_call &c)
  {
    mq_entry_event e = make_event (MQ_ENTRY_CALL, id, 0);
    e.u.call = c;
    e.u.call.handle = id;
    handle (e);
  }

  void
  limited (uint64_t id, bool allowed = true)
  {
    mq_entry_event e = make_event (MQ_ENTRY_LIMITED, id, 0);
    e.u.limited.allowed = allowed;
    e.u.limited.retry_after_us = allowed ? 0 : 300 * MS;
    handle (e);
  }

  void
  back_pressure (uint64_t id, bool begins)
  {
    mq_entry_event e = make_event (MQ_ENTRY_BACK_PRESSURE, id, 0);
    e.u.held = begins;
    handle (e);
  }

  void
  planned (uint64_t id, uint32_t attempt, const mq_plan *plan)
  {
    mq_entry_event e = make_event (MQ_ENTRY_PLANNED, id, attempt);
    e.u.planned.admitted = true;
    e.u.planned.plan = plan;
    handle (e);
  }

  /* Admit with a plan that is predicted to take FIRST until the first of
     TOKENS and GAP between tokens.  */
  void
  planned_with (uint64_t id, uint32_t attempt, const mq_plan *plan,
                uint64_t first, uint64_t gap, uint32_t tokens)
  {
    mq_entry_event e = make_event (MQ_ENTRY_PLANNED, id, attempt);
    e.u.planned.admitted = true;
    e.u.planned.plan = plan;
    e.u.planned.figures.predicted_first_us = first;
    e.u.planned.figures.predicted_finish_us = first + gap * (tokens - 1);
    handle (e);
  }

  void
  refused (uint64_t id, uint32_t attempt, mq_reason reason,
           uint64_t retry_after_us = 0)
  {
    mq_entry_event e = make_event (MQ_ENTRY_PLANNED, id, attempt);
    e.u.planned.reason = reason;
    e.u.planned.retry_after_us = retry_after_us;
    handle (e);
  }

  void
  claimed (uint64_t id, mq_claim_result result)
  {
    mq_entry_event e = make_event (MQ_ENTRY_CLAIMED, id, 0);
    e.u.claim = result;
    handle (e);
  }

  void
  token (uint64_t id, uint32_t attempt, uint32_t position,
         const char *version = "v1", uint32_t middle_first = 4)
  {
    mq_receipt r[3] = { { 0, 4, mq_span_from (version) },
                        { middle_first, 8, mq_span_from (version) },
                        { 8, 12, mq_span_from (version) } };
    mq_entry_event e = make_event (MQ_ENTRY_TOKEN, id, attempt);
    e.u.token.position = position;
    e.u.token.text = MQ_SPAN ("word ");
    e.u.token.receipts = r;
    e.u.token.n_receipts = 3;
    handle (e);
  }

  void
  stream_end (uint64_t id, uint32_t attempt, mq_stream_end end,
              uint32_t stage = 0)
  {
    mq_entry_event e = make_event (MQ_ENTRY_STREAM_END, id, attempt);
    e.u.stream_end.end = end;
    e.u.stream_end.stage = stage;
    handle (e);
  }

  void
  failed (mq_entry_event_kind kind, uint64_t id, uint32_t attempt,
          bool maybe_sent, bool said_not_run = false, bool timed_out = false)
  {
    mq_entry_event e = make_event (kind, id, attempt);
    e.u.failure = { maybe_sent, said_not_run, timed_out };
    handle (e);
  }

  void
  reply (uint64_t id, uint32_t attempt, unsigned status = 200)
  {
    mq_entry_event e = make_event (MQ_ENTRY_REPLY, id, attempt);
    e.u.status = status;
    handle (e);
  }

  /* Advance the clock to NEXT and tick.  */
  void
  tick_at (uint64_t next)
  {
    now = next;
    send_event (MQ_ENTRY_TICK);
  }

  /* Advance the clock to the next tick that the entry requests.  */
  void
  tick ()
  {
    tick_at (mq_entry_next_tick (entry));
  }

  /* Bring a model call to an open stream by engines from FIRST on.  */
  void
  open (uint64_t id, const mq_call &c, int first = 0)
  {
    Plan p (first);
    call (id, c);
    limited (id);
    planned (id, 1, &p.plan);
    send_event (MQ_ENTRY_STREAM_OPEN, id, 1);
  }

  /* Send tokens [FROM, END) of an attempt, GAP apart.  */
  void
  tokens (uint64_t id, uint32_t attempt, uint32_t from, uint32_t end,
          uint64_t gap = 10 * MS)
  {
    for (uint32_t i = from; i < end && mq_entry_in_flight (entry) > 0; i++)
      {
        now += gap;
        token (id, attempt, i);
      }
  }

  /* Make a plain call that the limiter allows.  */
  void
  send (uint64_t id, const mq_call &c)
  {
    call (id, c);
    limited (id);
  }

  size_t
  count (mq_entry_action_kind kind) const
  {
    size_t n = 0;
    for (guint i = 0; i < actions->len; i++)
      n += at (i).kind == kind;
    return n;
  }

  const mq_entry_action &
  at (guint i) const
  {
    return g_array_index (actions, mq_entry_action, i);
  }

  /* Returns the first action of KIND after the last event.  */
  const mq_entry_action &
  find (mq_entry_action_kind kind) const
  {
    static const mq_entry_action none = {};
    for (guint i = 0; i < actions->len; i++)
      if (at (i).kind == kind)
        return at (i);
    ADD_FAILURE () << "the last event led to no action of kind " << kind;
    return none;
  }

  void
  expect_end (mq_outcome outcome, mq_reason reason) const
  {
    ASSERT_EQ (count (MQ_ENTRY_END), 1u);
    EXPECT_STREQ (mq_outcome_name (find (MQ_ENTRY_END).u.end.outcome),
                  mq_outcome_name (outcome));
    EXPECT_STREQ (mq_reason_code (find (MQ_ENTRY_END).u.end.reason),
                  mq_reason_code (reason));
  }

  const mq_entry_counters &
  counters () const
  {
    return *mq_entry_read_counters (entry);
  }

  mq_quarantine quarantine = {};
  mq_entry *entry;
  GArray *actions;
  mq_config *config;
  uint64_t now = 1000 * SECOND;
  Checker checker;
  bool expect_violations = false;
};

} // namespace entry_test

#endif
