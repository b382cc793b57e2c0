/* Checks each event and action of an entry against the invariants of
   mq/entry.h.

   The checker records on its own what was requested, opened, sent and
   reported, and does not read the state of the entry, so that it does not
   repeat its faults.  A send or stream counts as run from the action that
   starts it until an event proves that it did not run.  */

#ifndef MQ_TESTS_ENTRY_CHECKER_H
#define MQ_TESTS_ENTRY_CHECKER_H

#include <map>
#include <mq/entry.h>
#include <set>
#include <string>
#include <vector>

namespace entry_test
{

class Checker
{
public:
  /* Record EVENT before the entry handles it.  */
  void before (const mq_entry_event &event);
  /* Check the ACTIONS that ENTRY returned for the event.  */
  void after (const mq_entry *entry, const GArray *actions);
  /* Check at the end that nothing is left open.  */
  void finish (const mq_entry *entry);

  bool
  broken () const
  {
    return !violations.empty ();
  }
  std::string report () const;

  std::vector<std::string> violations;

private:
  struct Attempt
  {
    bool plan_requested = false;
    bool released = false;
    bool opened = false;  /* Stream opened or call sent.  */
    bool closed = false;  /* Ended by itself or cancelled.  */
    bool not_run = false; /* Proven not to have run.  */
    bool done = false;    /* Reported by the engine, or replied.  */
    uint32_t layers = 0;
    std::string version;
    std::vector<std::pair<uint32_t, uint32_t> > stages;
  };
  struct Request
  {
    bool model = false;
    bool repeatable = false;
    bool guarded = false;
    std::string guard;
    uint64_t body_hash = 0;
    uint64_t deadline_us = 0;
    uint32_t max_tokens = 0;
    bool limit_held = false;
    bool claim_requested = false;
    bool claim_won = false;
    bool claim_needed = false;
    bool accepted = false;
    bool ended = false;
    bool caller_disconnected = false;
    bool forwarded = false;
    uint32_t delivered = 0;
    uint32_t last_attempt = 0; /* Number of the last attempt.  */
    std::string version;       /* Version of its delivered tokens.  */
    std::map<uint32_t, Attempt> attempts;
  };

  void violate (uint64_t handle, const std::string &what);
  void note_call (const mq_entry_event &event);
  void note_upstream (const mq_entry_event &event);
  void check_action (const mq_entry_action &action);
  void check_open (uint64_t handle, Request &r, const mq_entry_action &action);
  void check_send (uint64_t handle, Request &r, uint32_t attempt);
  void check_deliver (uint64_t handle, Request &r,
                      const mq_entry_action &action);
  void check_end (uint64_t handle, Request &r, const mq_entry_action &action);
  bool may_have_run (const Request &r) const;
  bool receipts_match (const Attempt &a) const;

  std::map<uint64_t, Request> requests;
  /* The handle of the last call sent with each guard.  */
  std::map<std::string, uint64_t> runs;
  const mq_config *config = nullptr;
  bool draining = false;
  bool drained = false;
  uint64_t now_us = 0;
  mq_entry_event event = {};
};

} // namespace entry_test

#endif
