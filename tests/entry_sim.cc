/* The simulation around one entry: see entry_sim.h.  */

#include "entry_sim.h"

namespace entry_test
{

namespace
{

const char *const guards[] = { "k1", "k2", "k3" };

} // namespace

Simulation::Simulation (bool expect_violations)
{
  d.expect_violations = expect_violations;
}

void
Simulation::note_actions ()
{
  for (guint i = 0; i < d.actions->len; i++)
    {
      const mq_entry_action &a = d.at (i);

      switch (a.kind)
        {
        case MQ_ENTRY_REQUEST_LIMIT:
          limits[a.handle] = 0;
          break;
        case MQ_ENTRY_REQUEST_PLAN:
          plans[a.handle] = a.attempt;
          break;
        case MQ_ENTRY_RELEASE_PLAN:
          plans.erase (a.handle);
          break;
        case MQ_ENTRY_CLAIM:
          claims[a.handle] = 0;
          keys[a.handle]
              = std::string (a.u.claim.organisation.data,
                             a.u.claim.organisation.size)
                + "|" + std::string (a.u.claim.key.data, a.u.claim.key.size);
          bodies[std::to_string (a.handle)] = a.u.claim.body_hash;
          break;
        case MQ_ENTRY_OPEN_STREAM:
          sent[a.handle]
              = { a.attempt, a.u.open.sent_tokens,
                  std::string (mq_str_cstr (a.u.open.plan->version)), false };
          break;
        case MQ_ENTRY_SEND:
          sent[a.handle] = { a.attempt, 0, "", true };
          break;
        case MQ_ENTRY_CANCEL_STREAM:
        case MQ_ENTRY_CANCEL_SEND:
          sent.erase (a.handle);
          break;
        case MQ_ENTRY_END:
          limits.erase (a.handle);
          plans.erase (a.handle);
          claims.erase (a.handle);
          sent.erase (a.handle);
          if (keys.count (a.handle) && a.u.end.outcome == MQ_OUTCOME_NOT_RUN
              && platform.count (keys[a.handle])
              && platform[keys[a.handle]] == a.handle)
            platform.erase (keys[a.handle]);
          keys.erase (a.handle);
          break;
        default:
          break;
        }
    }
}

uint64_t
Simulation::pick (const std::map<uint64_t, uint32_t> &from, uint8_t which)
{
  if (from.empty ())
    return 0;
  auto i = from.begin ();
  std::advance (i, which % from.size ());
  return i->first;
}

uint64_t
Simulation::pick_sent (bool plain, uint8_t which)
{
  std::map<uint64_t, uint32_t> some;

  for (const auto &o : sent)
    if (o.second.plain == plain)
      some[o.first] = 0;
  return pick (some, which);
}

void
Simulation::call (const mq_call &plain, uint8_t how)
{
  mq_call c = plain;

  c.organisation = (how & 1) ? MQ_SPAN ("acme") : MQ_SPAN ("zeta");
  if ((how & 6) == 2)
    c = d.guarded (c, MQ_GUARD_TICKET, guards[(how >> 4) % 3], 1 + (how >> 7));
  if ((how & 6) == 4)
    c = d.guarded (c, MQ_GUARD_KEY, guards[(how >> 4) % 3], 1 + (how >> 7));
  d.call (++last_handle, c);
}

void
Simulation::plan (uint8_t which, uint8_t how)
{
  uint64_t id = pick (plans, which);
  static const mq_reason reasons[]
      = { MQ_REASON_DEADLINE_UNREACHABLE, MQ_REASON_OVERLOADED,
          MQ_REASON_NO_PIPELINE };

  if (id == 0)
    return;
  uint32_t attempt = plans[id];
  plans.erase (id);
  if (how % 8 == 7)
    d.refused (id, attempt, reasons[which % 3], 100 * MS);
  else
    {
      Plan p (how % 2 ? 3 : 0, how % 8 == 6 ? "v2" : "v1",
              how % 8 == 5 ? 5 : 4);
      d.planned (id, attempt, &p.plan);
    }
}

void
Simulation::claim (uint8_t which, uint8_t how)
{
  uint64_t id = pick (claims, which);
  mq_claim_result result = MQ_CLAIM_WON;

  if (id == 0)
    return;
  claims.erase (id);
  auto holder = platform.find (keys[id]);
  if (how % 4 == 3)
    result = MQ_CLAIM_UNAVAILABLE;
  else if (holder == platform.end ())
    platform[keys[id]] = id;
  else
    result = bodies[std::to_string (holder->second)]
                     == bodies[std::to_string (id)]
                 ? MQ_CLAIM_LOST
                 : MQ_CLAIM_MISMATCH;
  d.claimed (id, result);
}

void
Simulation::token (uint8_t which)
{
  uint64_t id = pick_sent (false, which);

  if (id == 0 || sent[id].position >= MAX_TOKENS)
    return;
  Sent o = sent[id];
  sent[id].position++;
  d.token (id, o.attempt, o.position, o.version.c_str ());
}

void
Simulation::invalid_token (uint8_t which, uint8_t how)
{
  uint64_t id = pick_sent (false, which);

  if (id == 0)
    return;
  Sent o = sent[id];
  switch (how % 5)
    {
    case 0: /* Of an earlier attempt.  */
      d.token (id, o.attempt - 1, o.position, o.version.c_str ());
      break;
    case 1: /* Duplicate.  */
      d.token (id, o.attempt, o.position - 1, o.version.c_str ());
      break;
    case 2: /* Skips a position.  */
      d.token (id, o.attempt, o.position + 1, o.version.c_str ());
      break;
    case 3: /* A different version.  */
      d.token (id, o.attempt, o.position, "v9");
      break;
    case 4: /* A layer that no stage ran.  */
      d.token (id, o.attempt, o.position, o.version.c_str (), 5);
      break;
    }
}

void
Simulation::stream_end (uint8_t which, uint8_t how)
{
  uint64_t id = pick_sent (false, which);

  if (id == 0)
    return;
  Sent o = sent[id];
  mq_stream_end end = (mq_stream_end)(how % 5);
  if (end == MQ_STREAM_DONE && o.position < MAX_TOKENS && how < 128)
    return;
  sent.erase (id);
  d.stream_end (id, o.attempt, end, how % 4);
}

void
Simulation::failed (bool plain, uint8_t which, uint8_t how)
{
  uint64_t id = pick_sent (plain, which);

  if (id == 0)
    return;
  uint32_t attempt = sent[id].attempt;
  sent.erase (id);
  d.failed (plain ? MQ_ENTRY_SEND_FAILED : MQ_ENTRY_STREAM_FAILED, id, attempt,
            how & 1, how & 2, how & 4);
}

void
Simulation::reply (uint8_t which, uint8_t how)
{
  uint64_t id = pick_sent (true, which);
  static const unsigned statuses[] = { 200, 200, 200, 409, 500, 503 };

  if (id == 0)
    return;
  uint32_t attempt = sent[id].attempt;
  sent.erase (id);
  d.reply (id, attempt, statuses[how % 6]);
}

/* Send an event of a request that has ended, or of an attempt that does not
   exist.  */
void
Simulation::stale_event (uint8_t which, uint8_t how)
{
  uint64_t id = 1 + which % (last_handle + 2);
  uint32_t attempt = sent.count (id) ? sent[id].attempt + 1 + how % 2 : 99;

  switch (how % 6)
    {
    case 0:
      d.token (id, attempt, how % MAX_TOKENS);
      break;
    case 1:
      d.stream_end (id, attempt, MQ_STREAM_DONE);
      break;
    case 2:
      d.failed (MQ_ENTRY_SEND_FAILED, id, attempt, false);
      break;
    case 3:
      d.reply (id, attempt);
      break;
    case 4:
      d.failed (MQ_ENTRY_STREAM_FAILED, id, attempt, false, true);
      break;
    case 5:
      d.send_event (MQ_ENTRY_STREAM_OPEN, id, attempt);
      break;
    }
}

void
Simulation::move (const Move &m)
{
  uint64_t id;

  g_array_set_size (d.actions, 0);
  switch (m.step)
    {
    case Step::ModelCall:
      call (d.model_call (), m.how);
      break;
    case Step::PlainCall:
      call (d.plain_call (m.which % 2 ? "POST" : "GET",
                          m.which % 3 ? "booking" : "quotes"),
            m.how);
      break;
    case Step::Limit:
      if ((id = pick (limits, m.which)) != 0)
        {
          limits.erase (id);
          d.limited (id, m.how % 8 != 0);
        }
      break;
    case Step::Plan:
      plan (m.which, m.how);
      break;
    case Step::Claim:
      claim (m.which, m.how);
      break;
    case Step::Open:
      if ((id = pick_sent (false, m.which)) != 0)
        d.send_event (MQ_ENTRY_STREAM_OPEN, id, sent[id].attempt);
      break;
    case Step::Token:
      token (m.which);
      break;
    case Step::InvalidToken:
      invalid_token (m.which, m.how);
      break;
    case Step::StreamEnd:
      stream_end (m.which, m.how);
      break;
    case Step::StreamFailed:
      failed (false, m.which, m.how);
      break;
    case Step::Reply:
      reply (m.which, m.how);
      break;
    case Step::SendFailed:
      failed (true, m.which, m.how);
      break;
    case Step::CallerDisconnected:
      if (last_handle > 0)
        d.send_event (MQ_ENTRY_CALLER_DISCONNECTED, 1 + m.which % last_handle);
      break;
    case Step::AdvanceClock:
      d.tick_at (d.now + m.which * (m.how % 4 ? MS : 20 * MS));
      break;
    case Step::Drain:
      if (m.how % 16 == 0)
        d.send_event (MQ_ENTRY_DRAIN);
      break;
    case Step::StaleEvent:
      stale_event (m.which, m.how);
      break;
    case Step::Configure:
      d.configure ();
      break;
    case Step::Count:
      break;
    }
  note_actions ();
}

void
Simulation::finish ()
{
  for (int i = 0; i < 100000 && mq_entry_in_flight (d.entry) > 0; i++)
    {
      uint64_t next = mq_entry_next_tick (d.entry);
      if (next == UINT64_MAX)
        break;
      d.tick_at (MAX (next, d.now));
      note_actions ();
    }
  d.checker.finish (d.entry);
}

} // namespace entry_test
