/* The driver of a soak: it runs the store and the clients on its event loop,
   starts routers and engines as processes, carries out the schedule, and hands
   what it sees to the checker.  */

#ifndef MQ_SOAK_DRIVER_H
#define MQ_SOAK_DRIVER_H

#include "../support/gateway_standins.h"
#include "../support/port_block.h"
#include "../support/process_usage.h"
#include "checker.h"
#include "client.h"
#include "crowd.h"
#include "schedule.h"

#include <fstream>
#include <memory>

namespace soak
{

struct Options
{
  uint64_t seed = 0;
  double minutes = 1;
  unsigned routers = 3, clients = 24;
  bool has_bounds = true;    /* Judge what a busy machine may exceed.  */
  bool has_crowds = true;    /* Of clients that don't behave.  */
  bool has_directory = true; /* Some clients ask it.  */
  unsigned apps = 3, desks = 2, models = 4; /* Engines by service.  */
  std::string router;                       /* Path of the program.  */
  std::string folder;                       /* For logs; exists.  */
};

class Driver
{
public:
  explicit Driver (const Options &options);
  Driver (const Driver &) = delete;
  Driver &operator= (const Driver &) = delete;
  ~Driver ();

  /* Run the soak.  Returns false if it was interrupted, or could not be run:
     `error' then says why.  */
  bool run ();
  std::string error;
  Checker checker;
  double first_finding_s = 0; /* After the start.  */

private:
  struct Process
  {
    pid_t pid = 0;              /* 0: does not run.  */
    bool is_stopping = false;   /* SIGTERM was sent.  */
    bool is_killed = false;     /* SIGKILL was sent.  */
    double kill_at = 0;         /* After SIGTERM; 0: never.  */
    double resume_at = 0;       /* Of a pause; 0: not paused.  */
    double start_at = 0;        /* When it does not run; 0: never.  */
    double restart_s = 0;       /* From its end to its next start.  */
    std::vector<double> faults; /* Kills, starts and pauses.  */
    double term_at = -1e9;
  };

  struct Router : Process
  {
    std::unique_ptr<ports::Block> ports;
    std::string settings, log;
    gateway::Store::Door *door = nullptr; /* Its way to the store.  */
    double hears_at = 0; /* End of the store's silence; 0: not silent.  */
    std::unique_ptr<gateway::ProcessUsage> usage; /* NULL: not watched.  */
  };

  struct PresentCrowd
  {
    std::unique_ptr<Crowd> crowd;
    double end_at;
  };

  struct Engine : Process
  {
    std::string name, service, domain, id, address;
    unsigned port = 0, starts = 0;
    uint64_t born_ms = 0;
    double remove_at = 0; /* Its entry; 0: not.  */
    double leave_at = 0;  /* SIGTERM after it said that it leaves.  */
  };

  void note (const std::string &line);
  void note_findings ();
  void configure ();
  bool prepare ();
  pid_t spawn (const std::vector<std::string> &arguments, int listener,
               int reports, const std::string &log);
  void start_router (Router &r);
  void start_engine (Engine &e);
  std::string entry (const Engine &e, bool is_leaving) const;
  void send_signal (Process &p, int number);
  void pause (Process &p, double seconds);
  void carry_out (const Action &a);
  void engine_action (const Action &a);
  void router_action (const Action &a);
  void advance_process (Process &p);
  void reap (Process &p, const std::string &name, bool is_router);
  void read_reports ();
  void on_end (Attempt &a);
  void watch_memory ();
  void tick_crowds ();
  void tick_final_fault ();
  void tick ();
  void end_all ();
  static void on_tick (struct ev_loop *, ev_timer *timer, int);
  static void on_signal (struct ev_loop *, ev_signal *signal, int);

  Options o_;
  struct ev_loop *loop_;
  std::unique_ptr<gateway::Store> store_;
  ev_timer timer_;
  ev_signal interrupt_, terminate_;
  bool is_interrupted_ = false;
  std::vector<std::unique_ptr<Router> > routers_;
  std::vector<std::unique_ptr<Engine> > engines_;
  std::vector<std::unique_ptr<Client> > clients_;
  std::vector<Action> schedule_;
  size_t next_action_ = 0, n_noted_ = 0;
  std::vector<CrowdPlan> crowd_plans_;
  size_t next_crowd_ = 0;
  std::list<PresentCrowd> crowds_;
  double watch_at_ = 0; /* When memory is looked at next.  */
  unsigned version_ = 1, odd_entries_ = 0;
  Random random_;
  std::vector<double> store_faults_;
  double final_fault_at_ = 0, back_at_ = 0; /* Of all routers.  */
  double start_ = 0, end_ = 0, stop_ = 0, store_back_at_ = 0;
  int reports_[2] = { -1, -1 };
  std::string report_text_;
  std::ofstream journal_;
};

} // namespace soak

#endif
