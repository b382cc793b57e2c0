/* A world around one entry that a list of steps drives.

   The world answers what the entry asks for, in an order and with faults that
   the steps choose, and throws in events that are late, doubled, crossed or
   of nothing at all.  It is truthful: an upstream that is said not to have
   run did not run.  The checker looks on.  */

#ifndef MQ_TESTS_ENTRY_SIM_H
#define MQ_TESTS_ENTRY_SIM_H

#include "entry_fixture.h"

namespace entry_test
{

enum class Step
{
  ModelCall,
  PlainCall,
  Limit,
  Plan,
  Claim,
  Open,
  Token,
  WrongToken,
  StreamEnd,
  StreamFailed,
  Reply,
  SendFailed,
  CallerGone,
  Wait,
  Drain,
  Garbage,
  Configure,
  Count
};

struct Move
{
  Step step;
  uint8_t which; /* Of those that wait for such a step.  */
  uint8_t how;
};

class Simulation
{
public:
  explicit Simulation (bool expect_violations = false);
  void move (const Move &m);
  /* Let time pass until nothing is in flight.  */
  void finish ();

  Driver d;

private:
  struct Out
  {
    uint32_t attempt;
    uint32_t position;
    std::string version;
    bool plain;
  };
  void note_actions ();
  uint64_t pick (const std::map<uint64_t, uint32_t> &from, uint8_t which);
  uint64_t pick_out (bool plain, uint8_t which);
  void call (const mq_call &plain, uint8_t how);
  void plan (uint8_t which, uint8_t how);
  void claim (uint8_t which, uint8_t how);
  void token (uint8_t which);
  void wrong_token (uint8_t which, uint8_t how);
  void stream_end (uint8_t which, uint8_t how);
  void failed (bool plain, uint8_t which, uint8_t how);
  void reply (uint8_t which, uint8_t how);
  void garbage (uint8_t which, uint8_t how);

  uint64_t last_handle = 0;
  std::map<uint64_t, uint32_t> limits; /* Asked and not answered.  */
  std::map<uint64_t, uint32_t> plans;
  std::map<uint64_t, uint32_t> claims;
  std::map<uint64_t, std::string> keys;     /* Asked to claim, by handle.  */
  std::map<std::string, uint64_t> platform; /* Claims that stand.  */
  std::map<std::string, uint64_t> bodies;
  std::map<uint64_t, Out> out;
};

} // namespace entry_test

#endif
