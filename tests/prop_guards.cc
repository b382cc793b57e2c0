/* The table of guarded calls compared with a model, and the heap of requests
   compared with a map.  */

#include <gtest/gtest.h>
#include <map>
#include <mq/internal/idempotency.h>
#include <mq/internal/request_heap.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>
#include <rapidcheck/state.h>
#include <vector>

namespace
{

constexpr uint32_t LIMIT = 4;
constexpr uint64_t RETENTION_US = 100;

struct Record
{
  uint64_t body;
  bool running;
  mq_outcome outcome;
  uint64_t evict_us;
};

struct Model
{
  uint64_t now_us = 0;
  std::map<int, Record> records;
};

struct Table
{
  Table () : table (mq_idempotency_new (LIMIT, RETENTION_US)) {}
  Table (const Table &) = delete;
  ~Table () { mq_idempotency_free (table); }

  mq_idempotency *table;
};

typedef rc::state::Command<Model, Table> Command;

void
evict (Model &m)
{
  for (auto i = m.records.begin (); i != m.records.end ();)
    if (!i->second.running && i->second.evict_us <= m.now_us)
      i = m.records.erase (i);
    else
      ++i;
}

std::string
name_of (int value)
{
  return std::to_string (value);
}

mq_span
span (const std::string &s)
{
  return mq_span{ s.data (), s.size () };
}

struct Begin : Command
{
  int value = *rc::gen::inRange (0, 6);
  uint64_t body = *rc::gen::inRange (0, 2);

  mq_guard_verdict
  expect (const Model &m) const
  {
    auto k = m.records.find (value);
    if (k == m.records.end ())
      return m.records.size () >= LIMIT ? MQ_GUARD_FULL : MQ_GUARD_RUN;
    if (k->second.body != body)
      return MQ_GUARD_OTHER_BODY;
    return k->second.running ? MQ_GUARD_IN_FLIGHT : MQ_GUARD_FINISHED;
  }

  void
  apply (Model &m) const override
  {
    evict (m);
    if (expect (m) == MQ_GUARD_RUN)
      m.records[value] = { body, true, MQ_OUTCOME_UNKNOWN, 0 };
  }

  void
  run (const Model &before, Table &sut) const override
  {
    Model m = before;
    mq_outcome outcome = MQ_OUTCOME_UNKNOWN;
    std::string name = name_of (value);

    evict (m);
    RC_ASSERT (mq_idempotency_begin (sut.table, MQ_GUARD_TICKET,
                                     MQ_SPAN ("acme"), span (name), body,
                                     m.now_us, &outcome)
               == expect (m));
    if (expect (m) == MQ_GUARD_FINISHED)
      RC_ASSERT (outcome == m.records[value].outcome);
  }

  void
  show (std::ostream &os) const override
  {
    os << "Begin(" << value << "," << body << ")";
  }
};

struct Finish : Command
{
  int value = *rc::gen::inRange (0, 6);
  mq_outcome outcome = (mq_outcome)*rc::gen::inRange (0, 4);

  void
  apply (Model &m) const override
  {
    auto k = m.records.find (value);
    if (k == m.records.end () || !k->second.running)
      return;
    if (outcome == MQ_OUTCOME_NOT_RUN)
      m.records.erase (k);
    else
      k->second = { k->second.body, false, outcome, m.now_us + RETENTION_US };
  }

  void
  run (const Model &m, Table &sut) const override
  {
    std::string name = name_of (value);
    mq_idempotency_finish (sut.table, MQ_GUARD_TICKET, MQ_SPAN ("acme"),
                           span (name), outcome, m.now_us);
  }

  void
  show (std::ostream &os) const override
  {
    os << "Finish(" << value << "," << outcome << ")";
  }
};

struct Wait : Command
{
  uint64_t us = *rc::gen::inRange (1, 120);

  void
  apply (Model &m) const override
  {
    m.now_us += us;
  }

  void
  run (const Model &, Table &) const override
  {
  }

  void
  show (std::ostream &os) const override
  {
    os << "Wait(" << us << ")";
  }
};

} // namespace

RC_GTEST_PROP (IdempotencyProperty, IsAsItsModel, ())
{
  Model model;
  Table table;

  rc::state::check (model, table,
                    rc::state::gen::execOneOfWithArgs<Begin, Finish, Wait> ());
}

RC_GTEST_PROP (RequestHeapProperty, GivesTheEarliestFirst,
               (const std::vector<std::pair<uint8_t, uint8_t> > &moves))
{
  constexpr size_t N = 16;
  std::vector<mq_request> requests (N);
  std::map<size_t, uint64_t> model;
  GPtrArray *heap = g_ptr_array_new ();

  for (mq_request &r : requests)
    r.heap_index = SIZE_MAX;
  for (const auto &m : moves)
    {
      size_t i = m.first % N;
      if (m.second < 64)
        {
          mq_request_heap_remove (heap, &requests[i]);
          model.erase (i);
        }
      else
        {
          mq_request_heap_put (heap, &requests[i], m.second);
          model[i] = m.second;
        }
      uint64_t earliest = UINT64_MAX;
      for (const auto &k : model)
        earliest = std::min (earliest, k.second);
      const mq_request *first = mq_request_heap_first (heap);
      uint64_t found = first != nullptr ? first->heap_us : UINT64_MAX;
      RC_ASSERT (found == earliest);
      RC_ASSERT (heap->len == model.size ());
    }
  g_ptr_array_unref (heap);
}
