/* A small simulated deployment in virtual time, with fault injection.

   The decision modules are real: those of each router (entry, planner, claims,
   tickets, generation, lease, orders, membership and discovery) and of each
   operator's change.  Simulated are the engines, the plain service, the
   platform's store, the callers and the links between them.  Each message
   passes inject(), which applies the faults of the run's cells.  */

#ifndef MQ_TESTS_FAULT_SIM_H
#define MQ_TESTS_FAULT_SIM_H

#include "fault_matrix.h"

#include <functional>
#include <map>
#include <memory>
#include <mq/change.h>
#include <mq/claim.h>
#include <mq/entry.h>
#include <mq/fleet.h>
#include <mq/generation.h>
#include <mq/order_scope.h>
#include <mq/planner.h>
#include <mq/ticket.h>
#include <set>

namespace fault_test
{

constexpr uint64_t MS = 1000;
constexpr uint64_t SECOND = 1000 * MS;

/* Latencies, one way.  */
constexpr uint64_t ROUTER_LATENCY_US = 300;
constexpr uint64_t CALLER_LATENCY_US = 3 * MS;
constexpr uint64_t STORE_LATENCY_US = 1 * MS;
constexpr uint32_t ANSWER_TOKENS = 20;
constexpr uint32_t LONG_ANSWER_TOKENS = 100;
/* Delay of a late message.  It arrives after a stall was detected and before
   the first token of the attempt that replaced its own.  */
constexpr uint64_t LATE_DELAY_US = 980 * MS;
/* Timeout of a call to the platform.  */
constexpr uint64_t STORE_TIMEOUT_US = 400 * MS;
/* Time after which a router uses its own planner in place of the owner's.  */
constexpr uint64_t OWNER_TIMEOUT_US = 5 * MS;

/* Time after which a leaving VM must get no new work.  */
constexpr uint64_t LEAVING_GRACE_US = 3 * SECOND;

inline std::string
text (mq_span s)
{
  return std::string (s.data ? s.data : "", s.size);
}

inline mq_span
span (const std::string &s)
{
  return mq_span{ s.data (), s.size () };
}

/* A queue of callbacks in virtual time.  */
class Clock
{
public:
  void at (uint64_t delay_us, std::function<void ()> callback);
  void run_until (uint64_t end_us);
  uint64_t now_us = 1000 * SECOND;

private:
  std::multimap<uint64_t, std::function<void ()> > queue;
};

/* How one message is delivered.  */
enum class Delivery
{
  Normal,
  Lost,
  Doubled,
  Late
};

class Router;
class Simulation;

/* A client of the platform.  */
struct Client
{
  Router *router; /* NULL for an operator.  */
  /* Runs a callback after a delay, unless the client ended.  */
  std::function<void (uint64_t, std::function<void ()>)> post;
  bool partitioned; /* From the platform.  */
};

enum class StoreOp
{
  Read,
  Create,
  Update,
  Delete
};

struct StoreCall
{
  StoreOp op;
  std::string name;
  std::string value;
  uint64_t version; /* Update and Delete.  */
};

struct Engine
{
  std::string name;
  uint32_t first;
  uint32_t end;
  std::string version = "v1";
  bool joined = true;
  bool alive = true;
  bool hung = false;
  bool loading = false;
  unsigned slowdown = 1;
  uint64_t leaving_us = 0; /* When it began to leave; 0: it does not.  */
};

/* One call of one caller to one router.  */
struct Exchange
{
  std::string id;   /* Unique, such as "m1/2".  */
  std::string work; /* Shared with its retries, such as "m1".  */
  unsigned retries = 0;
  bool model = false;
  bool post = false;
  uint32_t max_tokens = ANSWER_TOKENS; /* Of a model's answer.  */
  mq_guard_kind guard = MQ_GUARD_NONE;
  std::string guard_value;
  std::string router;
  Router *at = nullptr; /* The router that accepted it.  */
  uint64_t handle = 0;
  uint64_t started_us = 0;
  uint64_t deadline_us = 0;
  std::vector<std::string> tokens;
  bool reply = false;
  bool ended = false;    /* The caller received its outcome.  */
  bool broken = false;   /* Its connection failed or it timed out.  */
  bool executed = false; /* An upstream began work for it.  */
  mq_outcome outcome = MQ_OUTCOME_UNKNOWN;
  mq_reason reason = MQ_REASON_NONE;
};

/* One router: the real decision modules and simulated adapters around
   them.  */
class Router
{
public:
  Router (Simulation &sim, const std::string &name, uint64_t incarnation);
  Router (const Router &) = delete;
  ~Router ();

  /* Runs CALLBACK after DELAY_US, or at the end of a pause.  It does not run
     once the router was killed or exited.  */
  void post (uint64_t delay_us, std::function<void ()> callback);
  Client client ();
  /* Starts to read the platform's list, to watch the configuration and to
     gossip.  */
  void start ();
  void call (Exchange *exchange);
  void request_layers (uint32_t first, uint32_t end);
  void entry_event (mq_entry_event event);
  void planner_event (mq_planner_event event);
  void pause (uint64_t for_us);
  void kill ();
  void leave ();
  std::vector<std::string> answer_discovery (const std::string &caller);
  std::string mint (const std::string &organisation);

  Simulation &sim;
  std::string name;
  uint64_t incarnation;
  bool alive = true;
  bool paused = false;
  bool has_paused = false;
  bool partitioned = false; /* From the platform and the other
                               routers.  */
  uint64_t leaving_us = 0;  /* When it began to leave; 0: it has not.  */
  bool exited = false;
  std::map<uint64_t, Exchange *> open;
  mq_entry *entry;
  mq_planner *planner;
  mq_claims *claims;
  mq_tickets *tickets;
  mq_order_scope *order_scope;
  mq_fleet *fleet;
  mq_generation generation;
  std::map<uint64_t, uint64_t> generation_taken_us; /* By generation.  */
  unsigned recoveries = 0;

private:
  void act (const mq_entry_action &action);
  void request_plan (const mq_entry_action &action);
  void answer_plan (uint64_t handle, uint32_t attempt,
                    const mq_planner_action &answer, bool from_own_planner);
  void release_plan (const mq_entry_action &action);
  void end (const mq_entry_action &action);
  void claims_event (mq_claims_event event);
  void act_claims (GArray *actions);
  void schedule_tick ();
  void start_fleet ();
  void fleet_event (mq_fleet_event event);
  void act_fleet (const mq_fleet_action &action);
  void send_heartbeat (const mq_fleet_action &action);
  void send_member_updates (const mq_fleet_action &action);
  void read_vm_list ();
  void report_leaving_engines ();
  Router *peer (const mq_member *member);
  Router *model_owner ();
  void watch ();
  void gossip ();
  void generation_event (mq_generation_event event);
  void fetch (const mq_generation_action &action);
  void ordering_event (mq_order_scope_event event);
  void act_ordering (GArray *lease_actions, GArray *order_actions);
  void send_order (const mq_orders_action &action);
  void read_engine (const mq_orders_action &action);

  std::vector<std::function<void ()> > deferred; /* Callbacks that came due
                                                    during a pause.  */
  uint64_t tick_us = UINT64_MAX;
  uint64_t claims_tick_us = UINT64_MAX;
  std::map<std::pair<uint64_t, uint32_t>, bool> plan_answered; /* By handle and
                                                                  attempt.  */
  GArray *planner_actions;
  unsigned last_watch_number = 0;
  uint64_t seen_version = 0; /* Of the manifest.  */
  uint64_t seen_generation = 0;
  uint64_t ordering_tick_us = UINT64_MAX;
  uint64_t generation_tick_us = UINT64_MAX;
  uint64_t fleet_tick_us = UINT64_MAX;
};

/* One operator's command.  */
class Operator
{
public:
  Operator (Simulation &sim, const std::string &id, const std::string &file);
  Operator (const Operator &) = delete;
  ~Operator ();
  void start ();

  std::string id;
  std::string file_name;
  std::string file_digest;
  uint64_t first_read = 0; /* The generation that it read first.  */
  mq_change_result result = MQ_CHANGE_NOTHING;
  bool ended = false;
  uint64_t generation = 0;
  uint64_t landed_at_us = 0;

private:
  void step (mq_change_event event);
  void act (const mq_change_action &action);
  void store (Step step, StoreCall call, mq_change_event_kind kind);

  Simulation &sim;
  mq_change_request request;
  mq_change *change;
};

struct Stream
{
  Router *router;
  uint64_t handle;
  uint32_t attempt;
  Exchange *exchange;
  mq_plan plan;
  uint32_t position;
  uint32_t max_tokens;
  uint64_t before = 0; /* Hash of the answer so far.  */
  uint64_t late_us = 0;
  bool over = false;
};

class Simulation
{
public:
  explicit Simulation (const std::vector<Cell> &cells);
  Simulation (const Simulation &) = delete;
  ~Simulation ();
  Result run ();

  /* Injects the faults that wait for STEP, which is reached at the router AT,
     and returns how the step's message is delivered.  Without MESSAGE the
     faults that affect a message keep waiting.  */
  Delivery inject (Step step, Router *at, bool message = true);

  Router *router (const std::string &name);

  void open_stream (Router *router, const mq_entry_action &action);
  void cancel_stream (Router *router, uint64_t handle, uint32_t attempt);
  void send (Router *router, const mq_entry_action &action);
  /* Sends a call to the platform's store.  */
  void store (Client client, Step step, StoreCall call,
              std::function<void (mq_store_reply)> reply, bool message = true);
  void router_ended (Router *router);
  void receive_outcome (Exchange *exchange);
  void add_finding (Promise promise, const std::string &text);

  Clock clock;
  mq_config *config;

private:
  friend class Router;
  friend class Operator;
  struct Object
  {
    uint64_t version;
    std::string value;
  };
  mq_store_reply apply (const StoreCall &call, std::string *value);
  void apply_fault (Fault fault, Step step, Router *at);
  void start_operator (const std::string &id, const std::string &file);
  bool may_delay_configuration () const;
  void check_change (const Operator &o, const mq_manifest &manifest);
  void check_in_force (const Operator &o);
  void check_configuration ();
  void start_callers (int wave);
  void discover (Exchange *exchange, unsigned tries);
  void start_call (Exchange *exchange, const std::string &router);
  void connect_first (Exchange *exchange, std::vector<std::string> entries);
  void handle_end (Exchange *exchange);
  void retry (Exchange *exchange);
  Exchange *add (const std::string &work, bool model, bool post,
                 mq_guard_kind guard);
  void make_token (std::shared_ptr<Stream> stream);
  void break_stream (std::shared_ptr<Stream> stream, bool maybe_sent);
  void report_loads ();
  Engine *engine (const std::string &name);
  Engine *stage_engine (const mq_plan &plan, uint32_t stage);
  void check_recovery (const std::set<std::string> &done);
  void check_exchange (const Exchange &exchange);
  void check ();

  std::vector<Cell> cells;
  std::vector<bool> injected;
  std::vector<std::unique_ptr<Router> > routers; /* Including those that
                                                    ended.  */
  std::vector<std::unique_ptr<Operator> > operators;
  std::vector<Engine> engines;
  std::vector<std::unique_ptr<Exchange> > exchanges;
  std::vector<std::shared_ptr<Stream> > streams;
  std::map<std::string, Object> objects;
  uint64_t version = 0;
  uint64_t next_handle = 0;
  uint64_t next_incarnation = 100;
  uint64_t started_us = 0;
  uint64_t last_fault_us = 0;
  uint64_t list_unreadable_until_us = 0; /* Until then a router may not read
                                            the list.  */
  bool platform_down = false;
  bool platform_slow = false;
  bool lose_write_reply = false;
  std::string last_plan_engines[3];        /* Of the last opened stream.  */
  std::map<std::string, unsigned> effects; /* Number of executions, by
                                              work.  */
  std::map<std::string, unsigned> runs;
  Result result;
};

} // namespace fault_test

#endif
