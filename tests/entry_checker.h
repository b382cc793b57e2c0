/* Checks each event and action of an entry against the invariants that
   mq/entry.h lists.

   It keeps its own account of what was asked for, opened, sent and said, and
   looks at nothing inside the entry, so that it can't share its mistakes.
   What truly ran is taken from the events: a send or stream counts as run
   from the moment it is handed out until the one event that proves that it
   did not.  */

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
  /* Tell of EVENT before the entry handles it.  */
  void before (const mq_entry_event &event);
  /* Tell of the actions that it led to.  */
  void after (const mq_entry *entry, const GArray *actions);
  /* All is over: nothing may be left open.  */
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
    bool asked = false;
    bool released = false;
    bool opened = false;  /* Stream or send handed out.  */
    bool over = false;    /* Ended by itself or cancelled.  */
    bool not_run = false; /* Proven.  */
    bool done = false;    /* The head said so, or the reply came.  */
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
    bool claim_asked = false;
    bool claim_won = false;
    bool claim_needed = false;
    bool accepted = false;
    bool ended = false;
    bool caller_disconnected = false;
    bool passed = false;
    uint32_t delivered = 0;
    uint32_t last = 0;   /* Attempt.  */
    std::string version; /* That its tokens were made with.  */
    std::map<uint32_t, Attempt> attempts;
  };

  void violate (uint64_t handle, const std::string &what);
  void note_call (const mq_entry_event &event);
  void note_upstream (const mq_entry_event &event);
  void check_action (const mq_entry_action &action);
  void check_open (uint64_t handle, Request &r, const mq_entry_action &action);
  void check_out (uint64_t handle, Request &r, uint32_t attempt);
  void check_deliver (uint64_t handle, Request &r,
                      const mq_entry_action &action);
  void check_end (uint64_t handle, Request &r, const mq_entry_action &action);
  bool may_have_run (const Request &r) const;
  bool receipts_hold (const Attempt &a) const;

  std::map<uint64_t, Request> requests;
  /* The call that each guard ran for, and whether it may have run.  */
  std::map<std::string, uint64_t> runs;
  const mq_config *config = nullptr;
  bool draining = false;
  bool drained = false;
  uint64_t now_us = 0;
  mq_entry_event event = {};
};

} // namespace entry_test

#endif
