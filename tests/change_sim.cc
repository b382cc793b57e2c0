/* Simulation of configuration changes: see change_sim.h.  */

#include "change_sim.h"

#include <string.h>

namespace change_test
{

namespace
{

constexpr uint64_t give_up_us = 60000000;
const mq_span manifest_name = MQ_SPAN (MQ_MANIFEST_OBJECT);

mq_span
span_of (const std::string &s)
{
  return { s.data (), s.size () };
}

mq_digest
digest_of (const std::string &text)
{
  mq_digest d;

  mq_file_digest (span_of (text), d.hex);
  return d;
}

bool
same (const mq_digest &a, const mq_digest &b)
{
  return strcmp (a.hex, b.hex) == 0;
}

} // namespace

Operator::Operator (const std::string &name, const std::string &file_name,
                    const std::string &content, uint64_t now_us)
    : id (name), file (file_name), base{ "" }
{
  mq_change_event event = {};

  mq_change_request_init (&request);
  request.id = mq_str_new (span_of (name));
  request.who = mq_str_new (span_of (name));
  request.kind = content.empty () ? MQ_CHANGE_TAKE : MQ_CHANGE_DROP;
  mq_str *n = mq_str_new (span_of (file));
  if (content.empty ())
    request.take = n;
  else
    {
      mq_manifest_file f = { n, digest_of (content), content.size () };

      g_array_append_val (request.files, f);
    }
  change = mq_change_new (&request, give_up_us,
                          (uint32_t)mq_span_hash (span_of (name)));
  event.kind = MQ_CHANGE_START;
  event.now_us = now_us;
  action = mq_change_handle (change, &event);
}

Operator::~Operator ()
{
  mq_change_free (change);
  mq_change_request_finish (&request);
}

Simulation::Simulation () : store (mq_objects_new ())
{
  mq_manifest_init (&last);
}

Simulation::~Simulation ()
{
  mq_manifest_finish (&last);
  mq_objects_free (store);
}

void
Simulation::expect (bool holds, const std::string &description)
{
  if (!holds && violation.empty ())
    violation = description;
}

void
Simulation::start (const std::string &name, const std::string &file,
                   const std::string &content)
{
  operators.push_back (std::make_unique<Operator> (name, file, content, now));
}

void
Simulation::advance (uint64_t us)
{
  now += us;
}

mq_change_event
Simulation::reply_to_read (Operator &op, Fault fault)
{
  mq_change_event event = {};
  const mq_object *object = mq_objects_get (store, manifest_name);

  event.kind = MQ_CHANGE_READ_REPLY;
  if (fault == Fault::Refuse)
    event.reply.result = MQ_STORE_REFUSED;
  else if (fault != Fault::None)
    event.reply.result = MQ_STORE_UNKNOWN;
  else if (object == nullptr)
    event.reply.result = MQ_STORE_ABSENT;
  else
    {
      event.reply.version = object->version;
      event.reply.value = mq_str_span (object->value);
    }
  if (fault == Fault::None && !op.has_base)
    {
      op.has_base = true;
      op.base = mq_manifest_digest (&last, span_of (op.file));
    }
  return event;
}

/* The new manifest must be the last one with this change's effects only.  */
void
Simulation::check_effects (const Operator &op, const mq_manifest &next)
{
  mq_manifest expected;
  const mq_change_record *r = mq_manifest_find_change (&next, span_of (op.id));

  expect (r != nullptr && r->generation == next.generation,
          "a manifest lacks the change that made it");
  mq_manifest_copy (&expected, &last);
  for (guint i = 0; r != nullptr && i < r->effects->len; i++)
    {
      const mq_change_effect &e
          = g_array_index (r->effects, mq_change_effect, i);
      mq_span name = mq_str_span (e.name);

      expect (same (e.before, mq_manifest_digest (&last, name)),
              "an effect has a wrong digest before");
      expect (same (e.before, op.base), "a change was reverted silently");
      if (*e.after.hex == '\0')
        mq_manifest_remove (&expected, name);
      else
        mq_manifest_put (&expected, e.name, e.after, 0);
    }
  expect (expected.files->len == next.files->len,
          "a file is missing or duplicate");
  for (guint i = 0; i < next.files->len; i++)
    {
      const mq_manifest_file &f
          = g_array_index (next.files, mq_manifest_file, i);

      expect (same (f.digest,
                    mq_manifest_digest (&expected, mq_str_span (f.name))),
              "an unrelated file changed");
    }
  mq_manifest_finish (&expected);
}

void
Simulation::record_landed (size_t i, mq_span value)
{
  const Operator &op = *operators[i];
  mq_manifest next;

  if (mq_manifest_decode (value, &next, nullptr) < 0)
    {
      expect (false, "an invalid manifest was written");
      return;
    }
  expect (next.generation > last.generation, "the generation reverts");
  expect (times_landed (op.id) == 0, "a change landed twice");
  check_effects (op, next);
  history.push_back (
      { op.id, mq_str_cstr (op.request.who), next.generation, { op.file } });
  mq_manifest_finish (&last);
  last = next;
}

mq_store_result
Simulation::write (size_t i, uint64_t version, mq_span value)
{
  mq_object_condition c
      = { version > 0 ? MQ_OBJECT_IF_VERSION : MQ_OBJECT_IF_ABSENT, version };

  if (mq_objects_put (store, manifest_name, value, c) != MQ_OBJECT_OK)
    return MQ_STORE_CONFLICT;
  record_landed (i, value);
  return MQ_STORE_OK;
}

mq_change_event
Simulation::reply_to_write (size_t i, Fault fault)
{
  const mq_change_action &a = operators[i]->action;
  mq_span value = mq_str_span (a.value);
  mq_change_event event = {};

  event.kind = MQ_CHANGE_WRITE_REPLY;
  event.reply.result = MQ_STORE_UNKNOWN;
  switch (fault)
    {
    case Fault::None:
      event.reply.result = write (i, a.version, value);
      break;
    case Fault::LoseReply:
      write (i, a.version, value);
      break;
    case Fault::Delay:
      delayed.push_back (
          { a.version, std::string (value.data, value.size), i });
      break;
    case Fault::Refuse:
      event.reply.result = MQ_STORE_REFUSED;
      break;
    case Fault::Cut:
    case Fault::Count:
      break;
    }
  return event;
}

void
Simulation::step (size_t i, Fault fault)
{
  Operator &op = *operators[i];
  mq_change_event event = {};
  bool fails = fault != Fault::None;

  if (op.ended)
    return;
  switch (op.action.kind)
    {
    case MQ_CHANGE_READ:
      event = reply_to_read (op, fault);
      break;
    case MQ_CHANGE_CHECK:
      event.kind = MQ_CHANGE_CHECKED;
      event.step = fails ? MQ_CHANGE_STEP_FAILED : MQ_CHANGE_STEP_OK;
      break;
    case MQ_CHANGE_STORE:
      event.kind = MQ_CHANGE_STORED;
      event.step = fails ? MQ_CHANGE_STEP_FAILED : MQ_CHANGE_STEP_OK;
      break;
    case MQ_CHANGE_ARCHIVE:
      event.kind = MQ_CHANGE_ARCHIVED;
      event.reply.result = fails ? MQ_STORE_UNKNOWN : MQ_STORE_OK;
      break;
    case MQ_CHANGE_WRITE:
      event = reply_to_write (i, fault);
      break;
    case MQ_CHANGE_WAIT:
      event.kind = MQ_CHANGE_TICK;
      now = MAX (now, op.action.until_us);
      break;
    case MQ_CHANGE_END:
      return;
    }
  event.now_us = now;
  op.action = mq_change_handle (op.change, &event);
  op.ended = op.action.kind == MQ_CHANGE_END;
  if (op.ended && op.action.who != nullptr)
    {
      op.conflict_who = op.action.who;
      op.conflict_since = op.action.since;
    }
}

void
Simulation::deliver (size_t i)
{
  if (i >= delayed.size ())
    return;
  Delayed d = delayed[i];

  delayed.erase (delayed.begin () + (long)i);
  write (d.op, d.version, span_of (d.value));
}

size_t
Simulation::times_landed (const std::string &id) const
{
  size_t n = 0;

  for (const Landed &l : history)
    n += l.id == id;
  return n;
}

void
Simulation::check_result (const Operator &op)
{
  size_t landed = times_landed (op.id);
  bool found = false;

  switch (op.action.result)
    {
    case MQ_CHANGE_LANDED:
      expect (landed == 1, "reported landed, but it has not");
      return;
    case MQ_CHANGE_UNKNOWN:
      return;
    case MQ_CHANGE_CONFLICT:
      for (const Landed &l : history)
        found = found
                || (l.generation == op.conflict_since
                    && l.who == op.conflict_who && l.files.count (op.file));
      expect (found, "a conflict names the wrong change");
      break;
    case MQ_CHANGE_NOTHING:
    case MQ_CHANGE_MISSING:
    case MQ_CHANGE_INVALID:
    case MQ_CHANGE_TOO_LARGE:
    case MQ_CHANGE_UNAVAILABLE:
      break;
    }
  expect (landed == 0, std::string ("reported ")
                           + mq_change_result_name (op.action.result)
                           + ", but it landed");
}

void
Simulation::finish ()
{
  for (size_t i = 0; i < operators.size (); i++)
    for (int n = 0; !operators[i]->ended && n < 10000; n++)
      step (i, Fault::None);
  while (!delayed.empty ())
    deliver (0);
  for (const auto &op : operators)
    {
      expect (op->ended, "a change never ends");
      if (op->ended)
        check_result (*op);
    }
}

} // namespace change_test
