/* The fault matrix: every fault at every step, singly and in pairs.

   One table in fault_matrix.cc says which cells there are and why the others
   can't happen.  A run of a cell builds a small deployment of fakes around
   the real decisions (fault_world.h), lets callers work, strikes with the
   cell's faults when its steps are reached, and checks the seven promises of
   the brief.  */

#ifndef MQ_TESTS_FAULT_MATRIX_H
#define MQ_TESTS_FAULT_MATRIX_H

#include <string>
#include <vector>

namespace fault_test
{

enum class Fault
{
  StageDies,
  StageHangs,
  SlowLink,
  ReplyLost,
  Doubled,
  Late,
  PlatformDown,
  PlatformSlow,
  WriteReplyLost,
  PausedPastLease,
  VmLeaves,
  RouterKilled,
  VmJoins,
  OperatorsRace,
  Partition,
  Count
};

enum class Step
{
  Ask,
  Admit,
  OpenFirst,
  OpenMiddle,
  OpenLast,
  FirstToken,
  MidAnswer,
  LastToken,
  Reply,
  Claim,
  ConfigWrite,
  Watch,
  LeaseRenewal,
  Order,
  Drain,
  Count
};

enum class Promise
{
  LayersOnce,
  OwnWholeAnswer,
  NotRunIsTrue,
  AtMostOnce,
  LeavingGetsNothing,
  ShutdownCutsNothing,
  ConfigurationHolds,
  Count
};

struct Cell
{
  Fault fault;
  Step step;
};

const char *fault_name (Fault fault);
const char *step_name (Step step);
const char *promise_name (Promise promise);

/* A fault that happens to the message of its step.  */
bool is_message_fault (Fault fault);

/* Why a cell can't happen; NULL when it can.  */
const char *impossible (Cell cell);

/* All cells that can happen, in order.  */
std::vector<Cell> possible_cells ();

struct Finding
{
  Promise promise;
  std::string text;
};

/* What came of one run.  */
struct Result
{
  std::vector<Finding> findings;
  std::vector<Step> reached; /* Of the cells' steps.  */
  unsigned exchanges = 0;    /* Of callers.  */
  unsigned done = 0;         /* Told as done.  */
  unsigned recovered = 0;    /* Attempts after a loss.  */
};

/* Run the faults of CELLS together; none: a run without faults.  */
Result run_cells (const std::vector<Cell> &cells);

} // namespace fault_test

#endif
