/* The promises of the users' pages (RULES.md), as code, by their names there.
   It knows what clients sent and received and what engines report about their
   runs.  No I/O.  */

#ifndef MQ_SOAK_CHECKER_H
#define MQ_SOAK_CHECKER_H

#include "message.h"

#include <map>
#include <set>

namespace soak
{

/* DEPLOY.md: stableWindowMs, for which a machine must have been sound;
   drainMs, after which nothing may reach an engine that leaves; and recoveryS,
   from the end of the final fault until requests are served.  */
constexpr double stable_s = 3;
constexpr double drain_s = 2;
constexpr double recovery_s = 12;

enum class Kind
{
  Safe,
  Unsafe,
  Stream,   /* Not to be repeated.  */
  Resumable /* A stream.  */
};

/* One attempt of a client.  */
struct Attempt
{
  enum class End
  {
    Answered,  /* Looks complete.  */
    Cut,       /* The connection ended inside the answer.  */
    Closed,    /* It ended before the first byte of one.  */
    Malformed, /* Bytes that are no HTTP.  */
    TimedOut,
    Left, /* The client gave up early.  */
    NotConnected
  };

  std::string id, method, target;
  uint64_t body_digest = 0;
  Kind kind = Kind::Safe;
  unsigned first = 1;  /* Event at which a stream begins.  */
  unsigned router = 0; /* That was asked.  */
  double sent_at = 0;  /* When its last byte was sent.  */
  double ended_at = 0;
  double timeout_s = 0;     /* Of its route.  */
  bool is_kept = false;     /* Sent on a connection that was used before.  */
  bool router_calm = false; /* Neither killed, started nor paused, from
                               stable_s before it to its end.  */
  bool store_calm = false;  /* The same for the store.  */
  bool router_stopping = false; /* SIGTERM came before its end.  */
  End end = End::Closed;
  Message answer; /* As far as it came.  */
};

const char *end_name (Attempt::End end);

/* The service of each path prefix.  */
using Routes = std::map<std::string, std::string>;

struct Finding
{
  std::string rule, attempt, text;
};

class Checker
{
public:
  explicit Checker (uint64_t seed) : seed_ (seed) {}

  /* The store acknowledged a configuration at AT, which is the one in force
     from then on.  */
  void add_configuration (double at, const Routes &routes);
  /* A client is about to send ATTEMPT.  */
  void add_sent (const Attempt &attempt);
  /* An engine reports a run, or that it has sent all of its answer, or that it
     resets the connection after that.  */
  void add_run (const Run &run);
  void add_done (const std::string &attempt, const std::string &signature);
  void add_reset (const std::string &attempt, const std::string &signature);
  /* The engine with ID was stopped, paused or killed.  */
  void add_engine_fault (const std::string &id, double at);
  /* The store acknowledged at AT that the engine with ID leaves, or that it is
     there (again).  */
  void add_engine_leaving (const std::string &id, double at);
  void add_engine_ready (const std::string &id, double at);
  /* The engine with ID is paused from FROM to TO.  */
  void add_engine_pause (const std::string &id, double from, double to);
  /* ROUTER was killed, started, paused or resumed.  */
  void add_router_fault (unsigned router, double at);
  /* The store began or ceased to fail.  */
  void add_store_fault (double at);
  /* Judge an attempt that has ended.  All reports that its engines made before
     have been added.  */
  void add_end (const Attempt &attempt);
  /* All routers were killed at FAULT_AT, after which nothing more was done,
     and were back at BACK_AT.  */
  void add_final_fault (double fault_at, double back_at);
  /* A look-up at the directory has ended; WRONG says what is wrong with its
     answer, empty for nothing.  */
  void add_look_up (bool is_answered, const std::string &wrong);
  /* Bytes came on a connection of a client on which no request waits.  */
  void add_unasked (const std::string &last_attempt, const std::string &bytes);
  /* Judge what can be judged only when nothing more runs.  */
  void finish ();

  std::vector<Finding> findings;
  std::map<std::string, unsigned> counts; /* Of what was seen, by name.  */
  /* Responses that end with their connection and whose engine was killed
     before their end, as clients saw them.  */
  unsigned unframed_kills = 0;
  std::vector<std::string> unframed_kills_complete; /* Their attempts.  */
  /* Complete answers whose engine ended them early, in order and without a
     length, which nobody can notice.  */
  unsigned early_unframed = 0;
  /* Judge what has a bound in time that a busy machine may exceed.  */
  bool has_bounds = true;

private:
  struct Known
  {
    Attempt attempt; /* Its answer without body.  */
    std::vector<Run> runs;
    bool has_ended = false;
  };

  /* What arrived for one service, by time.  */
  struct Load
  {
    std::vector<double> requests; /* Sent by clients.  */
    std::vector<double> further;  /* At engines, beyond the first.  */
  };

  void find (const char *rule, const Known &k, const std::string &text);
  const Run *run_of (const Known &k, const std::string &signature) const;
  void judge_success (Known &k, const Message &m);
  void judge_plain (Known &k, const Message &m, const Run &run);
  void judge_stream (Known &k, const Message &m, const Run &run,
                     bool complete);
  void judge_answer (Known &k, const Message &m);
  void judge_lost (const Known &k);
  void judge_configuration (const Known &k);
  void judge_drain (const Known &k);
  void judge_gone (const Known &k);
  void judge_budget ();
  void judge_recovery ();
  std::set<std::string> services_of (const Attempt &a) const;
  bool was_paused (const Run &run, double from) const;
  bool is_router_calm (unsigned router, double from, double to) const;

  uint64_t seed_;
  std::map<std::string, Known> known_;
  std::vector<std::pair<double, Routes> > configurations_;
  std::map<std::string, std::vector<double> > engine_faults_;
  /* When each engine was ready (true) or leaving (false), by time.  */
  std::map<std::string, std::vector<std::pair<double, bool> > > engine_states_;
  std::map<std::string, std::vector<std::pair<double, double> > >
      engine_pauses_;
  std::map<unsigned, std::vector<double> > router_faults_;
  std::vector<double> store_faults_;
  double final_fault_at_ = 0, back_at_ = 0; /* 0: there was none.  */
  std::vector<std::string> gone_; /* Attempts that were sent on too late.  */
  std::vector<std::pair<std::string, std::string> >
      lost_; /* Outside drains. */
};

} // namespace soak

#endif
