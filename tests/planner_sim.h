/* A planner in virtual time, for the planner's tests: builds configurations,
   sends events and returns the resulting actions.  */

#ifndef PLANNER_SIM_H
#define PLANNER_SIM_H

#include <mq/planner.h>

#include <string>
#include <vector>

/* One planner with one service "s" of one model "m".  Engines are added before
   configure().  */
class PlannerSim
{
public:
  static constexpr uint32_t layers = 8;

  mq_config *config;
  mq_planner *planner;
  GArray *actions;
  uint64_t now = 1000000;
  uint64_t sequence = 0;

  PlannerSim ()
      : config (new_config (1)), planner (mq_planner_new (MQ_SPAN ("d1"), 1)),
        actions (mq_planner_actions_new ())
  {
  }

  ~PlannerSim ()
  {
    g_array_unref (actions);
    mq_planner_free (planner);
    mq_config_unref (config);
  }

  PlannerSim (const PlannerSim &) = delete;
  PlannerSim &operator= (const PlannerSim &) = delete;

  static mq_str *
  text (const std::string &s)
  {
    return mq_str_new (mq_span{ s.data (), s.size () });
  }

  static mq_span
  span (const std::string &s)
  {
    return mq_span{ s.data (), s.size () };
  }

  static mq_config *
  new_config (uint64_t generation)
  {
    mq_config *c = mq_config_new (generation);
    mq_model m = { text ("m"), text ("v1"), layers, 100, 1000 };
    mq_service s = {};

    g_array_append_val (c->models, m);
    s.name = text ("s");
    s.kind = MQ_SERVICE_MODEL;
    s.u.model.model = text ("m");
    s.u.model.max_tokens = 1000;
    g_array_append_val (c->services, s);
    return c;
  }

  void
  add_engine (const std::string &name, uint32_t first, uint32_t end,
              const std::string &domain = "d1", uint32_t step_us = 10000,
              uint32_t slots = 4)
  {
    mq_engine e = {};

    e.name = text (name);
    e.url = text ("http://127.0.0.1:1/" + name);
    e.model = text ("m");
    e.version = text ("v1");
    e.first = first;
    e.end = end;
    e.accelerator = text ("a");
    e.failure_domain = text (domain);
    e.slots = slots;
    e.step_us = step_us;
    g_array_append_val (config->engines, e);
  }

  void
  add_organisation (const std::string &name, uint32_t weight)
  {
    mq_organisation o = {};

    o.name = text (name);
    o.weight = weight;
    g_array_append_val (config->organisations, o);
  }

  void
  add_link (const std::string &from, const std::string &to, uint32_t us)
  {
    mq_link l = { text (from), text (to), us, 1000 };

    g_array_append_val (config->links, l);
  }

  mq_planner_event
  event (mq_planner_event_kind kind) const
  {
    mq_planner_event e = {};

    e.kind = kind;
    e.now_us = now;
    return e;
  }

  void
  handle (const mq_planner_event &e)
  {
    g_array_set_size (actions, 0);
    mq_planner_handle (planner, &e, actions);
  }

  void
  configure ()
  {
    mq_planner_event e = event (MQ_PLANNER_CONFIG);

    e.u.config = config;
    handle (e);
  }

  mq_plan_request
  make_request (const char *organisation = "o")
  {
    mq_plan_request a = {};

    a.id = { 1, ++sequence };
    a.attempt = 1;
    a.service = MQ_SPAN ("s");
    a.organisation = mq_span_from (organisation);
    a.prompt_tokens = 10;
    a.max_tokens = 20;
    a.deadline_us = 60000000;
    return a;
  }

  const mq_planner_action &
  request (const mq_plan_request &a)
  {
    mq_planner_event e = event (MQ_PLANNER_REQUEST);

    e.u.request = a;
    handle (e);
    if (actions->len != 1)
      throw std::string ("a request did not produce exactly one action");
    return g_array_index (actions, mq_planner_action, 0);
  }

  const mq_planner_action &
  request ()
  {
    return request (make_request ());
  }

  /* Makes a request that must be admitted and returns its id and its
     engines.  */
  std::pair<mq_request_id, std::vector<std::string> >
  admit ()
  {
    const mq_planner_action &a = request ();

    if (a.kind != MQ_PLANNER_ADMIT)
      throw std::string ("refused: ") + mq_reason_code (a.u.refuse.reason);
    return { a.id, engines (a) };
  }

  void
  release (mq_request_id id, mq_attempt_end end = MQ_ATTEMPT_DONE,
           uint32_t stage = 0, uint32_t tokens = 0, uint64_t first_us = 0,
           uint64_t gap_us = 0, uint32_t attempt = 1)
  {
    mq_planner_event e = event (MQ_PLANNER_RELEASE);

    e.u.release = { id, attempt, end, stage, tokens, first_us, gap_us };
    handle (e);
  }

  void
  load (const std::string &engine, uint32_t batch, uint32_t step_us,
        uint32_t queue = 0, uint64_t incarnation = 1, uint32_t first = 0,
        uint32_t end = 0)
  {
    mq_planner_event e = event (MQ_PLANNER_LOAD);

    e.u.load.engine = span (engine);
    e.u.load.batch = batch;
    e.u.load.queue = queue;
    e.u.load.step_us = step_us;
    e.u.load.incarnation = incarnation;
    e.u.load.first = first;
    e.u.load.end = end;
    handle (e);
  }

  void
  report_engine (mq_planner_event_kind kind, const std::string &engine)
  {
    mq_planner_event e = event (kind);

    e.u.engine = span (engine);
    handle (e);
  }

  void
  tick ()
  {
    handle (event (MQ_PLANNER_TICK));
  }

  mq_engine_view
  view (const std::string &engine) const
  {
    mq_engine_view v = {};

    mq_planner_engine (planner, span (engine), now, &v);
    return v;
  }

  static std::vector<std::string>
  engines (const mq_planner_action &a)
  {
    std::vector<std::string> names;

    for (uint32_t i = 0; i < a.u.plan.n_stages; i++)
      names.push_back (mq_str_cstr (a.u.plan.stages[i].engine));
    return names;
  }
};

#endif
