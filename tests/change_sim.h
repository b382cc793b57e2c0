/* Simulation of configuration changes: one store, any number of operators, and
   a network that loses, delays and refuses.

   It keeps the history of the changes that landed, as seen by the store, and
   stores the first violation of an invariant in VIOLATION.  */

#ifndef TESTS_CHANGE_SIM_H
#define TESTS_CHANGE_SIM_H

#include <memory>
#include <set>
#include <string>
#include <vector>

#include <mq/change.h>
#include <standin/objects.h>

namespace change_test
{

enum class Fault
{
  None,
  LoseReply, /* Executed, and the reply is lost.  */
  Cut,       /* Not executed, and the result is unknown.  */
  Delay,     /* Executed later, with its old condition.  */
  Refuse,    /* Not executed, and reported so.  */
  Count
};

struct Operator
{
  Operator (const std::string &name, const std::string &file,
            const std::string &content, uint64_t now_us);
  ~Operator ();
  Operator (const Operator &) = delete;
  Operator &operator= (const Operator &) = delete;

  std::string id;
  std::string file;
  mq_change_request request;
  mq_change *change;
  mq_change_action action;
  bool ended = false;
  bool has_base = false;
  mq_digest base; /* Of the file, when it was first read.  */
  std::string conflict_who;
  uint64_t conflict_since = 0;
};

struct Landed
{
  std::string id;
  std::string who;
  uint64_t generation;
  std::set<std::string> files;
};

class Simulation
{
public:
  Simulation ();
  ~Simulation ();
  Simulation (const Simulation &) = delete;
  Simulation &operator= (const Simulation &) = delete;

  /* An operator drops FILE with CONTENT, or takes it if CONTENT is "".  */
  void start (const std::string &name, const std::string &file,
              const std::string &content);
  /* Executes operator I's open action.  */
  void step (size_t i, Fault fault);
  /* Executes the delayed write I.  */
  void deliver (size_t i);
  void advance (uint64_t us);
  /* Runs all operators to their end without further faults, executes the
     delayed writes, and checks the results.  */
  void finish ();

  std::vector<std::unique_ptr<Operator> > operators;
  std::vector<Landed> history;
  std::string violation;

private:
  struct Delayed
  {
    uint64_t version;
    std::string value;
    size_t op;
  };

  mq_change_event reply_to_read (Operator &op, Fault fault);
  mq_change_event reply_to_write (size_t i, Fault fault);
  mq_store_result write (size_t i, uint64_t version, mq_span value);
  void record_landed (size_t i, mq_span value);
  void check_effects (const Operator &op, const mq_manifest &next);
  void check_result (const Operator &op);
  size_t times_landed (const std::string &id) const;
  void expect (bool holds, const std::string &description);

  mq_objects *store;
  mq_manifest last; /* As in the store.  */
  std::vector<Delayed> delayed;
  uint64_t now = 1000000;
};

} // namespace change_test

#endif
