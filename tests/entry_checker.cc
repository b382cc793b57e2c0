/* The checker of entry invariants: see entry_checker.h.  */

#include "entry_checker.h"

namespace entry_test
{

namespace
{

std::string
text (mq_span s)
{
  return std::string (s.data ? s.data : "", s.size);
}

std::string
text (const mq_str *s)
{
  return text (mq_str_span (s));
}

/* Evaluates the configuration independently of the entry.  */
bool
is_repeatable (const mq_service *s, const mq_call &call)
{
  if (s->kind != MQ_SERVICE_PLAIN)
    return false;
  if (s->u.plain.honours_keys && call.guard == MQ_GUARD_KEY)
    return true;
  for (guint i = 0; i < s->u.plain.repeatable->len; i++)
    {
      const mq_repeatable_call *c
          = &g_array_index (s->u.plain.repeatable, mq_repeatable_call, i);
      if (text (c->method) == text (call.method)
          && text (call.path).rfind (text (c->path_prefix), 0) == 0)
        return true;
    }
  return false;
}

} // namespace

void
Checker::violate (uint64_t handle, const std::string &what)
{
  violations.push_back ("request " + std::to_string (handle) + ": " + what);
}

std::string
Checker::report () const
{
  std::string all;
  for (const std::string &v : violations)
    all += v + "\n";
  return all;
}

bool
Checker::may_have_run (const Request &r) const
{
  for (const auto &a : r.attempts)
    if (a.second.opened && !a.second.not_run)
      return true;
  return false;
}

bool
Checker::receipts_match (const Attempt &a) const
{
  const auto &t = event.u.token;
  uint32_t next = 0;

  if (t.n_receipts != a.stages.size ())
    return false;
  for (size_t i = 0; i < t.n_receipts; i++)
    {
      const mq_receipt &r = t.receipts[i];
      if (r.first != next || r.first != a.stages[i].first
          || r.end != a.stages[i].second || text (r.version) != a.version)
        return false;
      next = r.end;
    }
  return next == a.layers;
}

void
Checker::note_call (const mq_entry_event &e)
{
  const mq_call &c = e.u.call;
  Request r;
  const mq_service *s
      = config != nullptr ? mq_config_service (config, c.service) : nullptr;

  if (requests.count (e.handle) > 0 && !requests[e.handle].ended)
    return;
  if (s != nullptr)
    {
      r.model = s->kind == MQ_SERVICE_MODEL;
      r.repeatable = is_repeatable (s, c);
      r.claim_needed = c.guard == MQ_GUARD_KEY && !r.repeatable;
      r.guarded = c.guard == MQ_GUARD_TICKET || r.claim_needed;
      if (r.model)
        r.max_tokens = c.max_tokens ? c.max_tokens : s->u.model.max_tokens;
      r.deadline_us = e.now_us
                      + (c.deadline_us ? c.deadline_us
                                       : s->deadline_ms * UINT64_C (1000));
    }
  r.guard = std::to_string (c.guard) + "|" + text (c.organisation) + "|"
            + text (c.guard_value);
  r.body_hash = c.body_hash;
  requests[e.handle] = r;
}

/* Record an upstream event; only an open attempt can have any.  */
void
Checker::note_upstream (const mq_entry_event &e)
{
  auto found = requests.find (e.handle);
  if (found == requests.end ())
    return;
  auto a = found->second.attempts.find (e.attempt);
  if (a == found->second.attempts.end () || !a->second.opened
      || a->second.closed)
    return;
  switch (e.kind)
    {
    case MQ_ENTRY_STREAM_FAILED:
    case MQ_ENTRY_SEND_FAILED:
      a->second.closed = true;
      a->second.not_run = e.u.failure.said_not_run || !e.u.failure.maybe_sent;
      break;
    case MQ_ENTRY_STREAM_END:
      a->second.closed = true;
      a->second.done = e.u.stream_end.end == MQ_STREAM_DONE;
      break;
    case MQ_ENTRY_REPLY:
      a->second.closed = true;
      a->second.done = true;
      break;
    default:
      break;
    }
}

void
Checker::before (const mq_entry_event &e)
{
  event = e;
  now_us = e.now_us;
  switch (e.kind)
    {
    case MQ_ENTRY_CONFIG:
      config = e.u.config;
      break;
    case MQ_ENTRY_DRAIN:
      draining = true;
      break;
    case MQ_ENTRY_CALL:
      note_call (e);
      break;
    case MQ_ENTRY_CALLER_DISCONNECTED:
      if (requests.count (e.handle))
        requests[e.handle].caller_disconnected = true;
      break;
    case MQ_ENTRY_LIMITED:
      if (requests.count (e.handle) && !e.u.limited.allowed)
        requests[e.handle].limit_held = false;
      break;
    case MQ_ENTRY_PLANNED:
      if (requests.count (e.handle) && !e.u.planned.admitted)
        requests[e.handle].attempts[e.attempt].released = true;
      break;
    case MQ_ENTRY_CLAIMED:
      if (requests.count (e.handle) && requests[e.handle].claim_requested)
        requests[e.handle].claim_won |= e.u.claim == MQ_CLAIM_WON;
      break;
    default:
      note_upstream (e);
      break;
    }
}

/* Check that one more attempt of R may be sent.  */
void
Checker::check_send (uint64_t handle, Request &r, uint32_t attempt)
{
  for (const auto &a : r.attempts)
    if (a.second.opened && !a.second.closed)
      violate (handle, "two attempts out at once");
  if (attempt <= r.last_attempt && r.attempts[attempt].opened)
    violate (handle, "attempt number is used twice");
  if (r.claim_needed && !r.claim_won)
    violate (handle, "key run without its claim");
  if (r.guarded)
    {
      auto ran = runs.find (r.guard);
      if (ran != runs.end () && ran->second != handle
          && may_have_run (requests[ran->second]))
        violate (handle, "guarded call run twice");
      runs[r.guard] = handle;
    }
  r.last_attempt = attempt;
  r.attempts[attempt].opened = true;
}

void
Checker::check_open (uint64_t handle, Request &r,
                     const mq_entry_action &action)
{
  const mq_plan *p = action.u.open.plan;
  Attempt &a = r.attempts[action.attempt];
  uint32_t next = 0;

  check_send (handle, r, action.attempt);
  if (!a.plan_requested || a.released)
    violate (handle, "stream is opened without an admitted plan");
  for (uint32_t i = 0; i < p->n_stages; i++)
    {
      if (p->stages[i].first != next)
        violate (handle, "plan does not run each layer once, in order");
      next = p->stages[i].end;
      a.stages.emplace_back (p->stages[i].first, p->stages[i].end);
    }
  if (next != p->layers || p->n_stages == 0)
    violate (handle, "plan does not cover the layers");
  a.layers = p->layers;
  a.version = text (p->version);
  if (r.delivered > 0 && r.version != a.version)
    violate (handle, "tokens of one answer have two versions");
  if (action.u.open.sent_tokens != r.delivered)
    violate (handle,
             "attempt resumes at a position other than the delivered tokens");
}

void
Checker::check_deliver (uint64_t handle, Request &r,
                        const mq_entry_action &action)
{
  const auto &t = event.u.token;

  if (event.kind != MQ_ENTRY_TOKEN || event.handle != handle)
    {
      violate (handle, "delivered token belongs to another request");
      return;
    }
  if (event.attempt != r.last_attempt || r.attempts[r.last_attempt].closed)
    violate (handle, "token of an attempt that is not awaited");
  if (action.u.deliver.position != r.delivered
      || t.position != action.u.deliver.position)
    violate (handle, "token out of its position");
  if (!receipts_match (r.attempts[r.last_attempt]))
    violate (handle, "token whose layers did not each run once");
  if (action.u.deliver.text.data != t.text.data
      || action.u.deliver.text.size != t.text.size)
    violate (handle, "text of the delivered token differs from the event");
  if (r.delivered >= r.max_tokens)
    violate (handle, "more tokens are delivered than max_tokens");
  r.version = r.attempts[r.last_attempt].version;
  r.delivered++;
}

void
Checker::check_end (uint64_t handle, Request &r, const mq_entry_action &action)
{
  const auto &end = action.u.end;
  bool repeat = end.reason == MQ_REASON_TICKET_SPENT
                || end.reason == MQ_REASON_KEY_SPENT
                || end.reason == MQ_REASON_KEY_IN_FLIGHT;

  if (r.ended)
    violate (handle, "ended twice");
  r.ended = true;
  if (r.limit_held)
    violate (handle, "limit not released");
  for (const auto &a : r.attempts)
    {
      if (a.second.plan_requested && !a.second.released)
        violate (handle, "plan is not released at the end");
      if (a.second.opened && !a.second.closed)
        violate (handle, "stream or send is neither ended nor cancelled");
    }
  if (end.outcome == MQ_OUTCOME_NOT_RUN && may_have_run (r))
    violate (handle, "not-run said of what may have run");
  if (end.outcome == MQ_OUTCOME_NOT_RUN && r.guarded)
    {
      auto ran = runs.find (r.guard);
      if (ran != runs.end () && end.reason != MQ_REASON_KEY_MISMATCH
          && requests[ran->second].body_hash == r.body_hash
          && may_have_run (requests[ran->second]))
        violate (handle,
                 "guarded call that may have run is reported as not-run");
    }
  if (end.outcome == MQ_OUTCOME_DONE && !repeat)
    {
      const Attempt &a = r.attempts[r.last_attempt];
      if (r.model && !(a.done && r.delivered > 0)
          && !(r.delivered == r.max_tokens && r.delivered > 0))
        violate (handle, "incomplete answer is reported as done");
      if (!r.model && !(a.done && (r.forwarded || r.caller_disconnected)))
        violate (handle, "plain call is reported as done without a reply");
    }
  if (!repeat
      && (end.outcome == MQ_OUTCOME_DONE) != (end.reason == MQ_REASON_NONE))
    violate (handle, "outcome and reason do not match");
  if (r.model && end.tokens != r.delivered)
    violate (handle, "token count differs from the delivered tokens");
}

void
Checker::check_action (const mq_entry_action &action)
{
  uint64_t handle = action.handle;
  Request &r = requests[handle];

  if (action.kind == MQ_ENTRY_DRAINED)
    {
      requests.erase (handle);
      if (drained || !draining)
        violate (0, "DRAINED is emitted twice or without DRAIN");
      drained = true;
      return;
    }
  if (r.ended && action.kind != MQ_ENTRY_END)
    violate (handle, "action is emitted after END");
  switch (action.kind)
    {
    case MQ_ENTRY_REQUEST_LIMIT:
      if (draining)
        violate (handle, "work taken while leaving");
      r.accepted = true;
      r.limit_held = true;
      break;
    case MQ_ENTRY_RELEASE_LIMIT:
      if (!r.limit_held)
        violate (handle, "limit is released but not held");
      r.limit_held = false;
      break;
    case MQ_ENTRY_REQUEST_PLAN:
      if (r.attempts[action.attempt].plan_requested)
        violate (handle, "plan is requested twice for one attempt");
      r.attempts[action.attempt].plan_requested = true;
      break;
    case MQ_ENTRY_RELEASE_PLAN:
      if (!r.attempts[action.attempt].plan_requested
          || r.attempts[action.attempt].released)
        violate (handle, "plan is released but not held");
      r.attempts[action.attempt].released = true;
      break;
    case MQ_ENTRY_CLAIM:
      r.claim_requested = true;
      break;
    case MQ_ENTRY_OPEN_STREAM:
      check_open (handle, r, action);
      break;
    case MQ_ENTRY_SEND:
      if (may_have_run (r) && !r.repeatable)
        violate (handle, "sent again though it may have run");
      check_send (handle, r, action.attempt);
      break;
    case MQ_ENTRY_CANCEL_STREAM:
    case MQ_ENTRY_CANCEL_SEND:
      if (!r.attempts[action.attempt].opened
          || r.attempts[action.attempt].closed)
        violate (handle, "stream or send is cancelled but not open");
      r.attempts[action.attempt].closed = true;
      break;
    case MQ_ENTRY_DELIVER:
      check_deliver (handle, r, action);
      break;
    case MQ_ENTRY_SUSPECT:
      if (action.u.suspect.content == 0 || action.u.suspect.url.size == 0)
        violate (handle, "SUSPECT without content or upstream");
      break;
    case MQ_ENTRY_FORWARD_REPLY:
      if (event.kind != MQ_ENTRY_REPLY || event.handle != handle
          || event.attempt != r.last_attempt || r.forwarded)
        violate (handle,
                 "forwarded reply belongs to another request or attempt");
      r.forwarded = true;
      break;
    case MQ_ENTRY_END:
      check_end (handle, r, action);
      break;
    case MQ_ENTRY_DRAINED:
      break;
    }
}

void
Checker::after (const mq_entry *entry, const GArray *actions)
{
  uint32_t in_flight = 0;

  for (guint i = 0; i < actions->len; i++)
    check_action (g_array_index (actions, mq_entry_action, i));
  if (event.kind == MQ_ENTRY_CALL && !requests[event.handle].accepted
      && !requests[event.handle].ended)
    violate (event.handle, "call is neither accepted nor refused");
  for (const auto &r : requests)
    {
      bool open = r.second.accepted && !r.second.ended;
      in_flight += open;
      if (open && event.kind == MQ_ENTRY_TICK
          && r.second.deadline_us <= now_us)
        violate (r.first, "runs on after its deadline");
    }
  if (in_flight != mq_entry_in_flight (entry))
    violate (0, "mq_entry_in_flight differs from the open requests");
  if (draining && in_flight == 0 && !drained)
    violate (0, "DRAINED is not emitted");
}

void
Checker::finish (const mq_entry *entry)
{
  if (mq_entry_in_flight (entry) > 0)
    violate (0, "requests are still in flight at the end");
  for (const auto &r : requests)
    if (!r.second.ended)
      violate (r.first, "request has no END");
}

} // namespace entry_test
