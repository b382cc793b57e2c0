#include "checker.h"

#include <algorithm>
#include <cmath>

namespace soak
{

/* RULES.md, LOST: more such losses than this break the rule.  */
static constexpr size_t losses_allowed = 3;
/* RULES.md, LOST: a request that has used this share of its time is not
   counted.  */
static constexpr double time_used_share = 0.7;
/* RULES.md, CONFIG: configApplyMs, after which only a newer configuration may
   decide on a request.  */
static constexpr double config_apply_s = 2;
/* RULES.md, GONE: so long after its client has left a request may still reach
   an engine, and more later ones than this break the rule.  */
static constexpr double gone_s = 0.5;
static constexpr size_t gone_allowed = 3;
/* RULES.md, BUDGET: budgetWindowS, retryBudgetRatio and budgetSlack.  */
static constexpr double budget_window_s = 10;
static constexpr double budget_ratio = 0.2;
static constexpr double budget_slack = 196;
/* RULES.md, RECOVER: the share of requests that is served, if it was before
   the final fault.  */
static constexpr double recovered_share = 0.25;

const char *
end_name (Attempt::End end)
{
  switch (end)
    {
    case Attempt::End::Answered:
      return "answered";
    case Attempt::End::Cut:
      return "cut";
    case Attempt::End::Closed:
      return "closed";
    case Attempt::End::Malformed:
      return "malformed";
    case Attempt::End::TimedOut:
      return "timed-out";
    case Attempt::End::Left:
      return "left";
    case Attempt::End::NotConnected:
      return "not-connected";
    }
  return "";
}

static bool
is_promise (unsigned status)
{
  return status == 429 || status == 503 || status == 408 || status == 421;
}

static bool
is_idempotent (Kind kind)
{
  return kind == Kind::Safe || kind == Kind::Resumable;
}

/* The engine of RUN ended before it could send the rest or reset the
   connection, which the kernel then closed in order.  */
static bool
was_killed_unframed (const Run &run)
{
  return run.to_close && !run.is_early
         && (run.is_whole ? !run.is_done : !run.is_reset);
}

void
Checker::find (const char *rule, const Known &k, const std::string &text)
{
  findings.push_back ({ rule, k.attempt.id, text });
}

void
Checker::add_configuration (double at, const Routes &routes)
{
  configurations_.push_back ({ at, routes });
}

/* Returns the service of TARGET by ROUTES, empty for none.  */
static std::string
service_of (const Routes &routes, const std::string &target)
{
  auto i = routes.find (target.substr (0, target.find ('/', 1) + 1));

  return i == routes.end () ? "" : i->second;
}

/* Returns the services that a configuration that may be in force has for A,
   one of them empty where one has no route.  */
std::set<std::string>
Checker::services_of (const Attempt &a) const
{
  std::set<std::string> services;

  for (size_t i = 0; i < configurations_.size (); i++)
    if (configurations_[i].first <= a.ended_at
        && (i + 1 == configurations_.size ()
            || configurations_[i + 1].first >= a.sent_at - config_apply_s))
      services.insert (service_of (configurations_[i].second, a.target));
  return services;
}

/* Judge whether a configuration that may be in force allows what was done with
   the request.  Only for a router and a store that are in order.  */
void
Checker::judge_configuration (const Known &k)
{
  const Attempt &a = k.attempt;
  std::set<std::string> services = services_of (a);

  if (!a.router_calm || !a.store_calm)
    return;
  counts["judged for CONFIG"]++;
  for (auto &r : k.runs)
    if (r.has_run && services.count (r.service) == 0)
      find ("CONFIG", k,
            r.engine
                + " runs it, as only an older configuration "
                  "allows");
  if (a.end == Attempt::End::Answered && a.answer.status == 404
      && services.count ("") == 0)
    find ("CONFIG", k, "status 404, though its route is there");
}

void
Checker::add_sent (const Attempt &attempt)
{
  known_[attempt.id].attempt = attempt;
  counts["sent"]++;
}

void
Checker::add_run (const Run &run)
{
  auto i = known_.find (run.attempt);

  counts["answer " + run.plan]++;
  if (i == known_.end ())
    {
      findings.push_back ({ "UNASKED", run.attempt,
                            "no client sent what " + run.engine + " runs" });
      return;
    }
  Known &k = i->second;
  const Attempt &a = k.attempt;
  if (run.method != a.method || run.target != a.target
      || run.body_digest != a.body_digest)
    find ("UNASKED", k,
          run.engine + " received another method, path or body: " + run.method
              + " " + run.target);
  if (std::none_of (configurations_.begin (), configurations_.end (),
                    [&] (auto &c) {
                      return service_of (c.second, run.target) == run.service;
                    }))
    find ("ROUTE", k,
          run.engine + " of " + run.service
              + ", which no configuration allows");
  k.runs.push_back (run);
  if (!run.has_run || is_idempotent (a.kind))
    return;
  if (std::count_if (k.runs.begin (), k.runs.end (),
                     [] (auto &r) { return r.has_run; })
      == 2)
    find ("TWICE", k, "runs at " + k.runs[0].engine + " and at " + run.engine);
  if (k.has_ended && a.end == Attempt::End::Answered
      && is_promise (a.answer.status))
    find ("REFUSED", k,
          "runs at " + run.engine + " after status "
              + std::to_string (a.answer.status));
}

void
Checker::add_done (const std::string &attempt, const std::string &signature)
{
  auto i = known_.find (attempt);

  if (i == known_.end ())
    return;
  for (auto &r : i->second.runs)
    r.is_done = r.is_done || r.signature == signature;
}

void
Checker::add_reset (const std::string &attempt, const std::string &signature)
{
  auto i = known_.find (attempt);

  if (i == known_.end ())
    return;
  for (auto &r : i->second.runs)
    r.is_reset = r.is_reset || r.signature == signature;
}

void
Checker::add_engine_fault (const std::string &id, double at)
{
  engine_faults_[id].push_back (at);
}

void
Checker::add_engine_leaving (const std::string &id, double at)
{
  engine_states_[id].push_back ({ at, false });
}

void
Checker::add_engine_ready (const std::string &id, double at)
{
  engine_states_[id].push_back ({ at, true });
}

void
Checker::add_engine_pause (const std::string &id, double from, double to)
{
  engine_pauses_[id].push_back ({ from, to });
}

void
Checker::add_router_fault (unsigned router, double at)
{
  router_faults_[router].push_back (at);
}

void
Checker::add_store_fault (double at)
{
  store_faults_.push_back (at);
}

const Run *
Checker::run_of (const Known &k, const std::string &signature) const
{
  for (auto &r : k.runs)
    if (r.has_run && r.signature == signature)
      return &r;
  return nullptr;
}

void
Checker::judge_plain (Known &k, const Message &m, const Run &run)
{
  std::string whole = body_of (run);

  if (m.body == whole && run.is_whole)
    return;
  if (run.is_early && whole.compare (0, m.body.size (), m.body) == 0)
    {
      early_unframed++;
      return;
    }
  if (was_killed_unframed (run)
      && whole.compare (0, m.body.size (), m.body) == 0)
    {
      unframed_kills_complete.push_back (k.attempt.id);
      return;
    }
  find ("MIXED", k,
        "status " + std::to_string (m.status) + " with "
            + std::to_string (m.body.size ()) + " of "
            + std::to_string (run.size) + " bytes of " + run.signature
            + ", answer " + run.plan
            + (m.body == whole ? ", which is malformed or cut" : ""));
}

/* Judge the events of a stream, which began with RUN.  */
void
Checker::judge_stream (Known &k, const Message &m, const Run &run,
                       bool complete)
{
  const std::string request = request_of (k.attempt.id);
  const unsigned last = events_of (request, seed_);
  const Run *now = &run;
  unsigned n = k.attempt.first;
  size_t at = 0, size;

  for (; at < m.body.size (); n++, at += size)
    {
      size_t end = m.body.find ("\n\n", at);
      std::string event
          = m.body.substr (at, end == std::string::npos ? end : end + 2 - at);
      std::string data
          = event.substr (0, event.find ('\n', event.find ("data:")));
      const Run *found = nullptr;

      size = event.size ();
      if (end == std::string::npos)
        {
          /* The beginning of an event.  */
          for (auto &r : k.runs)
            if (event_text (request, n, r.signature).compare (0, size, event)
                == 0)
              found = &r;
          if (found == nullptr || n > last)
            find ("ORDER", k,
                  "the bytes of event " + std::to_string (n)
                      + " are of no run: " + event);
          else if (complete)
            find ("MIXED", k, "complete inside event " + std::to_string (n));
          return;
        }
      for (auto &r : k.runs)
        if (event == event_text (request, n, r.signature))
          found = &r;
      if (found == nullptr)
        {
          find ("ORDER", k,
                "instead of event " + std::to_string (n) + ": " + event);
          return;
        }
      if (found != now
          && (k.attempt.kind != Kind::Resumable || found->first != n))
        {
          find ("ORDER", k,
                "event " + std::to_string (n) + " of " + found->signature
                    + " follows one of " + now->signature);
          return;
        }
      now = found;
    }
  /* A run that goes on behind the last event has none, and is the end.  */
  if (!complete
      || (n == last + 1
          && (now->is_whole
              || std::any_of (k.runs.begin (), k.runs.end (), [&] (auto &r) {
                   return r.is_whole && r.first == n
                          && k.attempt.kind == Kind::Resumable;
                 }))))
    return;
  if (now->is_early)
    early_unframed++;
  else if (was_killed_unframed (*now))
    unframed_kills_complete.push_back (k.attempt.id);
  else if (n <= last)
    find ("ORDER", k,
          "complete before event " + std::to_string (n) + " of "
              + std::to_string (last) + ", " + now->signature + ", answer "
              + now->plan);
  else
    find ("MIXED", k,
          "complete, though " + now->signature + " gave answer " + now->plan);
}

void
Checker::judge_success (Known &k, const Message &m)
{
  std::string signature = m.header ("marjoramquay-response-signature");
  const Run *run = run_of (k, signature);
  bool is_complete = k.attempt.end == Attempt::End::Answered;

  if (signature.empty ())
    {
      find ("MIXED", k, "a success without a signature");
      return;
    }
  if (run == nullptr)
    {
      find ("MIXED", k, "signature " + signature + " of no run of it");
      return;
    }
  if (m.status != run->status)
    {
      find ("MIXED", k,
            "status " + std::to_string (m.status) + ", but " + signature
                + " gave " + std::to_string (run->status));
      return;
    }
  if (was_killed_unframed (*run))
    unframed_kills++;
  if (run->last > 0)
    judge_stream (k, m, *run, is_complete);
  else if (is_complete)
    judge_plain (k, m, *run);
}

/* Judge an answer of which at least the head has come.  */
void
Checker::judge_answer (Known &k, const Message &m)
{
  std::string echo = m.header ("marjoramquay-attempt-id");
  bool has_run = std::any_of (k.runs.begin (), k.runs.end (),
                              [] (auto &r) { return r.has_run; });

  counts["status " + std::to_string (m.status)]++;
  if (!echo.empty () && echo != k.attempt.id)
    find ("MIXED", k, "an answer to " + echo);
  if (m.count ("marjoramquay-attempt-id") > 1
      || m.count ("marjoramquay-response-signature") > 1)
    find ("MIXED", k, "two ids or two signatures");
  if (m.status / 100 == 2
      || !m.header ("marjoramquay-response-signature").empty ())
    judge_success (k, m);
  if (!is_idempotent (k.attempt.kind) && is_promise (m.status) && has_run)
    find ("REFUSED", k,
          "status " + std::to_string (m.status) + " after a run at "
              + k.runs.back ().engine + ", answer " + k.runs.back ().plan);
}

/* Returns true if none of FAULTS was from FROM to TO.  */
static bool
is_calm (const std::vector<double> &faults, double from, double to)
{
  return std::none_of (faults.begin (), faults.end (),
                       [&] (double at) { return at > from && at < to; });
}

/* A request that was passed on to an engine that answers whole unless it is
   left, and that ends with its connection.  */
void
Checker::judge_lost (const Known &k)
{
  const Attempt &a = k.attempt;
  auto sound = [&] (const Run &r) {
    auto i = engine_faults_.find (r.engine);

    return r.plan == "whole"
           && (i == engine_faults_.end ()
               || is_calm (i->second, a.sent_at - 3, a.ended_at + 1));
  };

  if ((a.end != Attempt::End::Closed && a.end != Attempt::End::Cut)
      || !a.router_calm || k.runs.empty ()
      || a.ended_at - a.sent_at >= time_used_share * a.timeout_s
      || !std::all_of (k.runs.begin (), k.runs.end (), sound))
    return;
  counts["lost"]++;
  if (a.router_stopping)
    find ("LOST", k,
          std::string (end_name (a.end))
              + " by a router that was told to stop, though "
              + k.runs.back ().engine + " was answering");
  else if (a.is_kept)
    lost_.push_back ({ a.id, k.runs.back ().engine });
}

/* Returns true if nothing was done to ROUTER from FROM to TO.  */
bool
Checker::is_router_calm (unsigned router, double from, double to) const
{
  auto i = router_faults_.find (router);

  return i == router_faults_.end () || is_calm (i->second, from, to);
}

/* Returns true if the engine of RUN was paused after FROM and before it read
   the request, which may have reached it earlier then.  */
bool
Checker::was_paused (const Run &run, double from) const
{
  auto i = engine_pauses_.find (run.engine);

  return i != engine_pauses_.end ()
         && std::any_of (i->second.begin (), i->second.end (), [&] (auto &p) {
              return p.first < run.at && p.second > from;
            });
}

/* Judge whether a request reached an engine that was leaving.  Only for a
   router and a store that were in order from before that on.  */
void
Checker::judge_drain (const Known &k)
{
  for (auto &r : k.runs)
    {
      auto i = engine_states_.find (r.engine);
      double leaving_at = 0;

      if (i == engine_states_.end ())
        continue;
      for (auto &s : i->second)
        if (s.first < r.at)
          leaving_at = s.second ? 0 : s.first;
      if (leaving_at == 0 || was_paused (r, k.attempt.sent_at)
          || !is_router_calm (k.attempt.router, leaving_at - stable_s, r.at)
          || !is_calm (store_faults_, leaving_at - stable_s, r.at))
        continue;
      counts["reached an engine that leaves"]++;
      if (r.at > leaving_at + drain_s)
        find ("DRAIN", k,
              "reaches " + r.engine + " " + std::to_string (r.at - leaving_at)
                  + " s after it began to leave");
    }
}

/* See whether a request reached an engine long after its client had left.  */
void
Checker::judge_gone (const Known &k)
{
  const Attempt &a = k.attempt;

  if (a.end != Attempt::End::Left && a.end != Attempt::End::TimedOut)
    return;
  for (auto &r : k.runs)
    if (r.at > a.ended_at + gone_s && !was_paused (r, a.sent_at)
        && is_router_calm (a.router, a.sent_at - stable_s, r.at))
      gone_.push_back (a.id);
}

/* Returns how many of TIMES, which are sorted, are in the window that begins
   at FROM.  */
static size_t
count_in_window (const std::vector<double> &times, double from)
{
  return (size_t)(std::lower_bound (times.begin (), times.end (),
                                    from + budget_window_s)
                  - std::lower_bound (times.begin (), times.end (), from));
}

/* Judge what all routers together sent beyond the first of each request.  A
   window that breaks the rule can be moved until it begins with one of
   these.  */
void
Checker::judge_budget ()
{
  std::map<std::string, Load> loads;

  for (auto &i : known_)
    {
      const Known &k = i.second;
      std::map<std::string, unsigned> arrivals;

      for (auto &service : services_of (k.attempt))
        if (!service.empty ())
          loads[service].requests.push_back (k.attempt.sent_at);
      for (auto &r : k.runs)
        if (++arrivals[r.service] > 1)
          loads[r.service].further.push_back (r.at);
    }
  for (auto &i : loads)
    {
      Load &l = i.second;

      std::sort (l.requests.begin (), l.requests.end ());
      std::sort (l.further.begin (), l.further.end ());
      counts["sent again to " + i.first] += (unsigned)l.further.size ();
      for (double from : l.further)
        {
          size_t further = count_in_window (l.further, from);
          size_t requests = std::max (
              { count_in_window (l.requests, from),
                count_in_window (l.requests, from - budget_window_s),
                count_in_window (l.requests, from - budget_window_s / 2) });

          if ((double)further
              <= budget_ratio * (double)requests + budget_slack)
            continue;
          findings.push_back (
              { "BUDGET", "-",
                std::to_string (further) + " further sends to " + i.first
                    + " in " + std::to_string ((unsigned)budget_window_s)
                    + " s, for " + std::to_string (requests) + " requests" });
          break;
        }
    }
}

void
Checker::add_end (const Attempt &attempt)
{
  Known &k = known_[attempt.id];

  k.attempt = attempt;
  k.has_ended = true;
  counts[std::string ("end ") + end_name (attempt.end)]++;
  if (attempt.end == Attempt::End::Malformed)
    find ("MIXED", k, "bytes that are no answer: " + attempt.answer.start);
  else if (attempt.answer.has_head)
    judge_answer (k, attempt.answer);
  if (attempt.end == Attempt::End::Answered
      && attempt.answer.status / 100 == 2)
    counts[std::string ("served ")
           + (attempt.kind == Kind::Safe     ? "safe"
              : attempt.kind == Kind::Unsafe ? "unsafe"
              : attempt.kind == Kind::Stream ? "stream"
                                             : "resumable")]++;
  k.attempt.answer.body.clear ();
}

void
Checker::add_final_fault (double fault_at, double back_at)
{
  final_fault_at_ = fault_at;
  back_at_ = back_at;
}

void
Checker::add_look_up (bool is_answered, const std::string &wrong)
{
  counts[is_answered ? "look-ups answered" : "look-ups failed"]++;
  if (!wrong.empty ())
    findings.push_back ({ "DIRECTORY", "-", wrong });
}

void
Checker::add_unasked (const std::string &last_attempt,
                      const std::string &bytes)
{
  Message m = parse_message (bytes, true);

  /* A server may say that it closes an idle connection.  */
  if (m.has_head && m.status == 408)
    return;
  findings.push_back (
      { "MIXED", last_attempt,
        "no request waits, and there comes: " + bytes.substr (0, 200) });
}

/* Judge how many requests are served before the final fault, and long after
   it.  */
void
Checker::judge_recovery ()
{
  struct Request
  {
    double sent_at = HUGE_VAL; /* Its first attempt.  */
    bool is_served = false;
  };
  std::map<std::string, Request> requests;
  unsigned sent[2] = {}, served[2] = {}; /* Before and after.  */

  for (auto &i : known_)
    {
      const Attempt &a = i.second.attempt;
      Request &r = requests[request_of (a.id)];

      r.sent_at = std::min (r.sent_at, a.sent_at);
      r.is_served
          = r.is_served
            || (a.end == Attempt::End::Answered && a.answer.status / 100 == 2);
    }
  for (auto &i : requests)
    {
      const Request &r = i.second;
      bool is_after = r.sent_at > back_at_ + recovery_s;

      if (!is_after && r.sent_at >= final_fault_at_)
        continue;
      sent[is_after]++;
      served[is_after] += r.is_served;
    }
  counts["requests before the final fault"] = sent[0];
  counts["requests served before the final fault"] = served[0];
  counts["requests after it"] = sent[1];
  counts["requests served after it"] = served[1];
  if (served[0] >= recovered_share * sent[0]
      && served[1] < recovered_share * sent[1])
    findings.push_back ({ "RECOVER", "-",
                          std::to_string (served[1]) + " of "
                              + std::to_string (sent[1])
                              + " requests are served after the final fault, "
                              + std::to_string (served[0]) + " of "
                              + std::to_string (sent[0]) + " before" });
}

void
Checker::finish ()
{
  for (auto &k : known_)
    if (k.second.has_ended)
      {
        judge_lost (k.second);
        if (!has_bounds)
          continue;
        judge_configuration (k.second);
        judge_drain (k.second);
        judge_gone (k.second);
      }
  judge_budget ();
  if (final_fault_at_ > 0)
    judge_recovery ();
  counts["sent on after their clients had left"] = (unsigned)gone_.size ();
  if (gone_.size () > gone_allowed)
    for (auto &id : gone_)
      findings.push_back (
          { "GONE", id, "reaches an engine after its client has left" });
  if (lost_.size () > losses_allowed)
    for (auto &l : lost_)
      findings.push_back ({ "LOST", l.first,
                            "a kept connection is closed, though " + l.second
                                + " was answering" });
}

} // namespace soak
