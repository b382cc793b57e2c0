/* The fault matrix: every fault at every step, singly and in pairs.

   A cell is a fault at a step.  A table in fault_matrix.cc lists the cells and
   gives the reason why the others are impossible.  A run of a cell builds a
   small simulated deployment (fault_sim.h), lets callers send requests,
   injects the cell's faults when their steps are reached, and checks the
   promises.  */

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
  ReplyDoubled,
  ReplyLate,
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
  Discovery,
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

/* Returns true if FAULT affects the message of its step.  */
bool is_message_fault (Fault fault);

/* Returns the reason why CELL is impossible, or NULL if it is possible.  */
const char *impossible_reason (Cell cell);

/* Returns all possible cells, in order of faults and steps.  */
std::vector<Cell> possible_cells ();

struct Finding
{
  Promise promise;
  std::string text;
};

/* The result of one run.  */
struct Result
{
  std::vector<Finding> findings;
  std::vector<Step> reached; /* Steps of the cells that were reached.  */
  unsigned exchanges = 0;    /* Calls of callers.  */
  unsigned done = 0;         /* Calls that ended as done.  */
  unsigned recoveries = 0;   /* Attempts that failed at a stage.  */
};

/* Runs the simulation with the faults of CELLS.  Without cells it runs without
   faults.  */
Result run_cells (const std::vector<Cell> &cells);

} // namespace fault_test

#endif
