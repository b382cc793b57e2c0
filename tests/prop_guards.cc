/* The memory of guarded calls against a model of it, and the heap of due
   times against a sorted list.  */

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
constexpr uint64_t MEMORY_US = 100;

struct Known
{
  uint64_t body;
  bool running;
  mq_outcome outcome;
  uint64_t forget_us;
};

struct Model
{
  uint64_t now_us = 0;
  std::map<int, Known> known;
};

struct Memory
{
  Memory () : memory (mq_idempotency_new (LIMIT, MEMORY_US)) {}
  Memory (const Memory &) = delete;
  ~Memory () { mq_idempotency_free (memory); }

  mq_idempotency *memory;
};

typedef rc::state::Command<Model, Memory> Command;

void
forget (Model &m)
{
  for (auto i = m.known.begin (); i != m.known.end ();)
    if (!i->second.running && i->second.forget_us <= m.now_us)
      i = m.known.erase (i);
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
    auto k = m.known.find (value);
    if (k == m.known.end ())
      return m.known.size () >= LIMIT ? MQ_GUARD_FULL : MQ_GUARD_RUN;
    if (k->second.body != body)
      return MQ_GUARD_OTHER_BODY;
    return k->second.running ? MQ_GUARD_IN_FLIGHT : MQ_GUARD_FINISHED;
  }

  void
  apply (Model &m) const override
  {
    forget (m);
    if (expect (m) == MQ_GUARD_RUN)
      m.known[value] = { body, true, MQ_OUTCOME_UNKNOWN, 0 };
  }

  void
  run (const Model &before, Memory &sut) const override
  {
    Model m = before;
    mq_outcome outcome = MQ_OUTCOME_UNKNOWN;
    std::string name = name_of (value);

    forget (m);
    RC_ASSERT (mq_idempotency_begin (sut.memory, MQ_GUARD_TICKET,
                                     MQ_SPAN ("acme"), span (name), body,
                                     m.now_us, &outcome)
               == expect (m));
    if (expect (m) == MQ_GUARD_FINISHED)
      RC_ASSERT (outcome == m.known[value].outcome);
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
    auto k = m.known.find (value);
    if (k == m.known.end () || !k->second.running)
      return;
    if (outcome == MQ_OUTCOME_NOT_RUN)
      m.known.erase (k);
    else
      k->second = { k->second.body, false, outcome, m.now_us + MEMORY_US };
  }

  void
  run (const Model &m, Memory &sut) const override
  {
    std::string name = name_of (value);
    mq_idempotency_finish (sut.memory, MQ_GUARD_TICKET, MQ_SPAN ("acme"),
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
  run (const Model &, Memory &) const override
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
  Memory memory;

  rc::state::check (model, memory,
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
