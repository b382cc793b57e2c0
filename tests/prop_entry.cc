/* The entry keeps its invariants for any order of events and any faults.  */

#include "entry_sim.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

using namespace entry_test;

namespace entry_test
{

void
showValue (const Move &m, std::ostream &os)
{
  os << "{" << (int)m.step << "," << (int)m.which << "," << (int)m.how << "}";
}

} // namespace entry_test

namespace
{

/* Steps that advance requests are more frequent than faults, so that many
   requests reach their end.  */
rc::Gen<Step>
gen_step ()
{
  return rc::gen::weightedElement<Step> ({ { 4, Step::ModelCall },
                                           { 5, Step::PlainCall },
                                           { 10, Step::Limit },
                                           { 8, Step::Plan },
                                           { 5, Step::Claim },
                                           { 3, Step::Open },
                                           { 24, Step::Token },
                                           { 2, Step::InvalidToken },
                                           { 4, Step::StreamEnd },
                                           { 2, Step::StreamFailed },
                                           { 4, Step::Reply },
                                           { 3, Step::SendFailed },
                                           { 1, Step::CallerDisconnected },
                                           { 4, Step::AdvanceClock },
                                           { 1, Step::Drain },
                                           { 2, Step::StaleEvent },
                                           { 1, Step::Configure } });
}

rc::Gen<Move>
gen_move ()
{
  return rc::gen::construct<Move> (gen_step (), rc::gen::arbitrary<uint8_t> (),
                                   rc::gen::arbitrary<uint8_t> ());
}

} // namespace

RC_GTEST_PROP (EntryProperty, KeepsItsInvariants, ())
{
  const auto moves = *rc::gen::scale (
      4.0, rc::gen::container<std::vector<Move> > (gen_move ()));
  Simulation sim (true);

  for (const Move &m : moves)
    sim.move (m);
  sim.finish ();
  RC_TAG (sim.d.counters ().ended[MQ_OUTCOME_DONE] > 0 ? "some requests done"
                                                       : "no request done");
  if (sim.d.checker.broken ())
    RC_FAIL (sim.d.checker.report ());
}
