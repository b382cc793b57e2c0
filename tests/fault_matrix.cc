/* The table of cells: see fault_matrix.h.  */

#include "fault_matrix.h"
#include "fault_sim.h"

namespace fault_test
{

namespace
{

const char *const fault_names[] = {
  "stage dies",        "stage hangs",    "slow link",
  "reply lost",        "reply doubled",  "reply late",
  "platform down",     "platform slow",  "reply lost after the write",
  "paused past lease", "VM leaves",      "router killed",
  "VM joins",          "operators race", "partition",
};

const char *const step_names[] = {
  "ask",
  "admit",
  "open first stage",
  "open middle stage",
  "open last stage",
  "first token",
  "mid answer",
  "last token",
  "reply",
  "claim",
  "configuration write",
  "watch",
  "lease renewal",
  "order",
  "drain",
};

const char *const promise_names[] = {
  "each layer once, in order",
  "the whole answer to its own request",
  "not-run is true",
  "at most once",
  "a leaving VM gets no new work",
  "a shutdown cuts nothing",
  "an accepted configuration holds",
};

} // namespace

const char *
fault_name (Fault fault)
{
  return fault_names[(int)fault];
}

const char *
step_name (Step step)
{
  return step_names[(int)step];
}

const char *
promise_name (Promise promise)
{
  return promise_names[(int)promise];
}

bool
is_message_fault (Fault fault)
{
  return fault == Fault::ReplyLost || fault == Fault::ReplyDoubled
         || fault == Fault::ReplyLate;
}

const char *
impossible_reason (Cell cell)
{
  if (is_message_fault (cell.fault) && cell.step == Step::Drain)
    return cell.fault == Fault::ReplyDoubled
               ? NULL
               : "a signal has no reply, and it is not late to the process";
  if (cell.fault == Fault::WriteReplyLost
      && (cell.step == Step::Claim || cell.step == Step::ConfigWrite
          || cell.step == Step::LeaseRenewal))
    return "the same as the reply lost at this step: it is a write";
  return NULL;
}

std::vector<Cell>
possible_cells ()
{
  std::vector<Cell> all;

  for (int f = 0; f < (int)Fault::Count; f++)
    for (int s = 0; s < (int)Step::Count; s++)
      if (impossible_reason ({ (Fault)f, (Step)s }) == NULL)
        all.push_back ({ (Fault)f, (Step)s });
  return all;
}

Result
run_cells (const std::vector<Cell> &cells)
{
  Simulation sim (cells);

  return sim.run ();
}

} // namespace fault_test
