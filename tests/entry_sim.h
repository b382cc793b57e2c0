/* A simulation of the environment of one entry, driven by a list of steps.

   It replies to the requests of the entry in an order and with faults that the
   steps choose, and sends events that are delayed, duplicated, reordered or
   invalid.  Its reports are true: an upstream that is reported as not run did
   not run.  The checker verifies each event and its actions.  */

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
  InvalidToken,
  StreamEnd,
  StreamFailed,
  Reply,
  SendFailed,
  CallerDisconnected,
  AdvanceClock,
  Drain,
  StaleEvent,
  Configure,
  Count
};

struct Move
{
  Step step;
  uint8_t which; /* Selects among the requests that wait for such a step.  */
  uint8_t how;   /* Selects the variant of the step.  */
};

class Simulation
{
public:
  explicit Simulation (bool expect_violations = false);
  void move (const Move &m);
  /* Advance the time until nothing is in flight.  */
  void finish ();

  Driver d;

private:
  struct Sent
  {
    uint32_t attempt;
    uint32_t position;
    std::string version;
    bool plain;
  };
  void note_actions ();
  uint64_t pick (const std::map<uint64_t, uint32_t> &from, uint8_t which);
  uint64_t pick_sent (bool plain, uint8_t which);
  void call (const mq_call &plain, uint8_t how);
  void plan (uint8_t which, uint8_t how);
  void claim (uint8_t which, uint8_t how);
  void token (uint8_t which);
  void invalid_token (uint8_t which, uint8_t how);
  void stream_end (uint8_t which, uint8_t how);
  void failed (bool plain, uint8_t which, uint8_t how);
  void reply (uint8_t which, uint8_t how);
  void stale_event (uint8_t which, uint8_t how);

  uint64_t last_handle = 0;
  std::map<uint64_t, uint32_t> limits; /* Requested, no reply yet.  */
  std::map<uint64_t, uint32_t> plans;
  std::map<uint64_t, uint32_t> claims;
  std::map<uint64_t, std::string> keys;     /* Claim requested, by handle.  */
  std::map<std::string, uint64_t> platform; /* Claims won and held.  */
  std::map<std::string, uint64_t> bodies;
  std::map<uint64_t, Sent> sent;
};

} // namespace entry_test

#endif
