/* A small world for the change of the configuration: one store, any number
   of operators, and a network that loses, delays and refuses.

   The world keeps the history of what landed, as seen by the store, and
   notes in `broken` the first promise that it finds broken.  */

#ifndef TESTS_CHANGE_WORLD_H
#define TESTS_CHANGE_WORLD_H

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
  LoseReply, /* Done, and the reply is lost.  */
  Cut,       /* Not done, and nobody can tell.  */
  Delay,     /* Done later, on its old condition.  */
  Refuse,    /* Not done, and said so.  */
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

class World
{
public:
  World ();
  ~World ();
  World (const World &) = delete;
  World &operator= (const World &) = delete;

  /* An operator drops FILE with CONTENT, or takes it out where that is "". */
  void start (const std::string &name, const std::string &file,
              const std::string &content);
  /* Do operator I's open action.  */
  void step (size_t i, Fault fault);
  /* Let the delayed write I have its effect.  */
  void deliver (size_t i);
  void advance (uint64_t us);
  /* Bring all operators to their end without further faults, deliver what is
     delayed, and check what they were told.  */
  void finish ();

  std::vector<std::unique_ptr<Operator> > operators;
  std::vector<Landed> history;
  std::string broken;

private:
  struct Delayed
  {
    uint64_t version;
    std::string value;
    size_t op;
  };

  mq_change_event answer_read (Operator &op, Fault fault);
  mq_change_event answer_write (size_t i, Fault fault);
  mq_store_result write (size_t i, uint64_t version, mq_span value);
  void note_landed (size_t i, mq_span value);
  void check_effects (const Operator &op, const mq_manifest &next);
  void check_told (const Operator &op);
  size_t times_landed (const std::string &id) const;
  void expect (bool kept, const std::string &promise);

  mq_objects *store;
  mq_manifest last; /* As the store has it.  */
  std::vector<Delayed> delayed;
  uint64_t now = 1000000;
};

} // namespace change_test

#endif
