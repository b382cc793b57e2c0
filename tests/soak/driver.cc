#include "driver.h"
#include "answer.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstring>

namespace soak
{

/* DEPLOY.md: from SIGTERM to SIGKILL.  */
static constexpr double grace_s = 8;
/* RULES.md, LOST: planned work lasts until so long after the grace period.  */
static constexpr double planned_slack_s = 1;
/* A configuration that came while the store was in trouble may be late by
   maxSkewMs.  */
static constexpr double config_calm_s = 5;
/* How long the entry of an engine stays that ended without saying so.  */
static constexpr double entry_stays_s = 2;
/* What still runs when the clients are done gets so long to be reported.  */
static constexpr double settle_s = 2;
static constexpr double tick_s = 0.005;
/* The memory of a router's machine where there are crowds, and how often it is
   looked at.  */
static constexpr size_t memory_mb = 64;
static constexpr double watch_interval_s = 0.1;
/* How long routers stay down that are all killed at the end, and how long
   requests are sent once they must have recovered.  */
static constexpr double final_down_s = 0.5;
static constexpr double recovered_s = 4;

static const char *const domains[] = { "one", "two", "three" };

/* Not the default loop: that one reaps all children by itself.  */
Driver::Driver (const Options &options)
    : checker (options.seed), o_ (options), loop_ (ev_loop_new (EVFLAG_AUTO)),
      store_ (std::make_unique<gateway::Store> (loop_)),
      random_ (digest ("driver", options.seed)),
      journal_ (options.folder + "/journal")
{
  ev_init (&timer_, on_tick);
  timer_.data = this;
  ev_signal_init (&interrupt_, on_signal, SIGINT);
  ev_signal_init (&terminate_, on_signal, SIGTERM);
  interrupt_.data = terminate_.data = this;
  ev_signal_start (loop_, &interrupt_);
  ev_signal_start (loop_, &terminate_);
}

Driver::~Driver ()
{
  end_all ();
  clients_.clear ();
  crowds_.clear ();
  store_->close ();
  store_.reset ();
  for (int fd : reports_)
    if (fd >= 0)
      close (fd);
  ev_signal_stop (loop_, &interrupt_);
  ev_signal_stop (loop_, &terminate_);
  ev_loop_destroy (loop_);
}

void
Driver::note (const std::string &line)
{
  char at[32];

  snprintf (at, sizeof at, "%8.3f ", now_s () - start_);
  journal_ << at << line << "\n";
}

/* Write the new findings to the journal.  */
void
Driver::note_findings ()
{
  if (n_noted_ == 0)
    first_finding_s = now_s () - start_;
  for (; n_noted_ < checker.findings.size (); n_noted_++)
    {
      const Finding &f = checker.findings[n_noted_];

      note ("BROKEN " + f.rule + " " + f.attempt + ": " + f.text);
    }
}

void
Driver::on_signal (struct ev_loop *loop, ev_signal *signal, int)
{
  static_cast<Driver *> (signal->data)->is_interrupted_ = true;
  ev_break (loop, EVBREAK_ALL);
}

/* Start a program.  LISTENER and REPORTS become its descriptors 3 and 4 unless
   they are negative, and it has no others.  Returns its id, or -1.  */
pid_t
Driver::spawn (const std::vector<std::string> &arguments, int listener,
               int reports, const std::string &log)
{
  std::vector<char *> words;
  pid_t parent = getpid (), pid = fork ();
  sigset_t none;
  unsigned first = 3;
  int out;

  if (pid != 0)
    return pid;
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  if (getppid () != parent)
    _exit (1);
  setpgid (0, 0); /* An interrupt from a terminal is for the soak alone.  */
  sigemptyset (&none);
  sigprocmask (SIG_SETMASK, &none, nullptr);
  out = open (log.c_str (), O_WRONLY | O_APPEND | O_CREAT, 0644);
  dup2 (out, STDOUT_FILENO);
  dup2 (out, STDERR_FILENO);
  if (listener >= 0)
    {
      /* Away from the descriptors that they become.  */
      listener = fcntl (listener, F_DUPFD, 64);
      reports = fcntl (reports, F_DUPFD, 64);
      dup2 (listener, 3);
      dup2 (reports, 4);
      first = 5;
    }
  close_range (first, ~0u, 0);
  for (auto &a : arguments)
    words.push_back (const_cast<char *> (a.c_str ()));
  words.push_back (nullptr);
  execv (words[0], words.data ());
  _exit (127);
}

void
Driver::start_router (Router &r)
{
  r.pid = spawn ({ o_.router, "--settings", r.settings }, -1, -1, r.log);
  r.is_stopping = r.is_killed = false;
  r.start_at = r.kill_at = r.resume_at = 0;
  r.faults.push_back (now_s ());
  if (!o_.has_crowds)
    return;
  const unsigned base = r.ports->base ();
  r.usage = std::make_unique<gateway::ProcessUsage> (
      r.pid, std::vector<unsigned>{ base, base + 1, base + 2 });
}

/* Returns a listening socket at PORT, or at any port if that is taken.  */
static int
listen_at (unsigned &port)
{
  struct sockaddr_in at = {};
  socklen_t size = sizeof at;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int on = 1;

  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  at.sin_port = htons ((uint16_t)port);
  if (bind (fd, reinterpret_cast<struct sockaddr *> (&at), size) != 0)
    {
      at.sin_port = 0;
      if (bind (fd, reinterpret_cast<struct sockaddr *> (&at), size) != 0)
        {
          close (fd);
          return -1;
        }
    }
  listen (fd, 128);
  getsockname (fd, reinterpret_cast<struct sockaddr *> (&at), &size);
  port = ntohs (at.sin_port);
  return fd;
}

/* Start E: the first time, under its old id and address, or as another one. */
void
Driver::start_engine (Engine &e)
{
  int listener;

  if (e.starts == 0 || random_.chance (0.5))
    {
      if (e.starts > 0)
        store_->remove ("servers", e.id);
      e.id = e.name + "-" + std::to_string (e.starts);
      e.port = random_.chance (0.5) ? e.port : 0;
    }
  e.starts++;
  listener = listen_at (e.port);
  e.address = "127.0.0.1:" + std::to_string (e.port);
  e.born_ms = (uint64_t)(ev_time () * 1000);
  e.pid = spawn ({ "/proc/self/exe", "--engine", e.id, e.service,
                   e.service == "model" ? "1" : "0", std::to_string (o_.seed),
                   std::to_string (e.born_ms) },
                 listener, reports_[1], o_.folder + "/engines.log");
  close (listener);
  e.is_stopping = e.is_killed = false;
  e.start_at = e.kill_at = e.resume_at = e.remove_at = e.leave_at = 0;
  store_->put ("servers", e.id, entry (e, false));
  checker.add_engine_ready (e.id, now_s ());
  note ("start " + e.id + " at " + e.address + " pid "
        + std::to_string (e.pid));
}

std::string
Driver::entry (const Engine &e, bool is_leaving) const
{
  std::string s
      = "{\"service\":\"" + e.service + "\",\"address\":\"" + e.address
        + "\",\"zone\":\"" + e.domain + "\",\"slots\":64,\"state\":\""
        + (is_leaving ? "draining" : "ready") + "\"" + gateway::entry_common;

  if (e.service == "model")
    s += gateway::engine_members ("big", 0, 80);
  return s + ",\"born\":" + std::to_string (e.born_ms) + "}";
}

bool
Driver::prepare ()
{
  unsigned n = 0;
  std::string seeds;

  if (pipe2 (reports_, O_CLOEXEC) != 0
      || fcntl (reports_[0], F_SETFL, O_NONBLOCK) != 0)
    {
      error = std::string ("pipe: ") + strerror (errno);
      return false;
    }
  for (unsigned i = 0; i < o_.routers; i++)
    {
      auto r = std::make_unique<Router> ();
      std::string name = "router-" + std::to_string (i);

      r->door = &store_->add_door ();
      r->ports = std::make_unique<ports::Block> ();
      r->settings = o_.folder + "/" + name + ".json";
      r->log = o_.folder + "/" + name + ".log";
      if (i < 3)
        seeds += (seeds.empty () ? "\"127.0.0.1:" : ",\"127.0.0.1:")
                 + std::to_string (r->ports->base () + 3) + "\"";
      routers_.push_back (std::move (r));
    }
  for (unsigned i = 0; i < o_.routers; i++)
    {
      auto at = [&] (unsigned offset) {
        return "127.0.0.1:"
               + std::to_string (routers_[i]->ports->base () + offset);
      };

      std::ofstream (routers_[i]->settings)
          << "{\"gateway\":{\"name\":\"router-" << i
          << "\",\"region\":\"r\",\"failure_domain\":\"" << domains[i % 3]
          << "\",\"clients\":\"" << at (0) << "\",\"readiness\":\"" << at (1)
          << "\",\"directory\":\"" << at (2) << "\",\"peers\":\"" << at (3)
          << "\",\"platform_url\":\"http://"
          << routers_[i]->door->server.address () << "\",\"seeds\":[" << seeds
          << "],\"metrics_port\":" << routers_[i]->ports->base () + 4
          << (o_.has_crowds ? ",\"memory_mb\":" + std::to_string (memory_mb)
                            : "")
          << ",\"grace_ms\":" << (unsigned)(grace_s * 1000)
          << ",\"further_sends_slack\":196,\"further_sends_window_ms\":10000}}"
          << "\n";
    }
  for (auto &s :
       { std::make_pair ("app", o_.apps), std::make_pair ("desk", o_.desks),
         std::make_pair ("model", o_.models) })
    for (unsigned i = 0; i < s.second; i++)
      {
        engines_.push_back (std::make_unique<Engine> ());
        engines_.back ()->service = s.first;
        engines_.back ()->name
            = s.first + std::string ("-") + std::to_string (i);
        engines_.back ()->domain = domains[n++ % 3];
      }
  return true;
}

void
Driver::send_signal (Process &p, int number)
{
  if (p.pid > 0)
    kill (p.pid, number);
}

void
Driver::pause (Process &p, double seconds)
{
  if (p.resume_at > 0)
    return;
  send_signal (p, SIGSTOP);
  p.faults.push_back (now_s ());
  p.resume_at = now_s () + seconds;
}

void
Driver::engine_action (const Action &a)
{
  Engine &e = *engines_[a.target];

  if (e.pid == 0)
    return;
  checker.add_engine_fault (e.id, now_s ());
  if (a.what == Action::What::EnginePause)
    {
      pause (e, a.seconds);
      checker.add_engine_pause (e.id, now_s (), e.resume_at);
    }
  else if (a.what == Action::What::EngineKill)
    {
      e.is_killed = true;
      e.restart_s = a.seconds;
      e.remove_at = now_s () + entry_stays_s;
      send_signal (e, SIGKILL);
    }
  else if (e.leave_at == 0 && !e.is_stopping)
    {
      store_->put ("servers", e.id, entry (e, true));
      checker.add_engine_leaving (e.id, now_s ());
      e.leave_at = now_s () + drain_s + a.seconds;
      e.restart_s = a.seconds;
    }
}

void
Driver::router_action (const Action &a)
{
  Router &r = *routers_[a.target];
  double now = now_s ();

  if (r.pid == 0)
    return;
  r.restart_s = a.seconds;
  if (a.what == Action::What::RouterPause)
    pause (r, a.seconds);
  else if (a.what == Action::What::RouterKill)
    {
      r.is_killed = true;
      r.faults.push_back (now);
      send_signal (r, SIGKILL);
    }
  else if (!r.is_stopping)
    {
      r.is_stopping = true;
      r.term_at = now;
      r.kill_at = now + grace_s;
      send_signal (r, SIGTERM);
    }
}

/* Write the configuration with the present version.  */
void
Driver::configure ()
{
  Routes routes;
  std::string text = configuration_text (o_.seed, version_, routes);

  store_->put ("config", "main", text);
  checker.add_configuration (now_s (), routes);
}

void
Driver::carry_out (const Action &a)
{
  double now = now_s ();

  note ("do " + action_text (a));
  switch (a.what)
    {
    case Action::What::EngineKill:
    case Action::What::EnginePause:
    case Action::What::EngineLeave:
      engine_action (a);
      break;
    case Action::What::RouterStop:
    case Action::What::RouterKill:
    case Action::What::RouterPause:
      router_action (a);
      break;
    case Action::What::Configuration:
      version_ += 1 + (unsigned)random_.below (3);
      configure ();
      break;
    case Action::What::OddEntry:
      store_->put ("servers", "odd-" + std::to_string (odd_entries_++ % 5),
                   odd_entry_text (random_));
      break;
    case Action::What::StoreDown:
      store_->down = true;
      store_faults_.push_back (now);
      store_back_at_ = now + a.seconds;
      break;
    case Action::What::StoreSilent:
      routers_[a.target]->door->silent = true;
      routers_[a.target]->hears_at = now + a.seconds;
      store_faults_.push_back (now);
      break;
    case Action::What::StoreForgets:
      store_->drop_events ();
      store_faults_.push_back (now);
      break;
    }
}

void
Driver::advance_process (Process &p)
{
  double now = now_s ();

  if (p.resume_at > 0 && now >= p.resume_at)
    {
      p.resume_at = 0;
      p.faults.push_back (now);
      send_signal (p, SIGCONT);
    }
  if (p.pid > 0 && p.kill_at > 0 && now >= p.kill_at)
    {
      p.kill_at = 0;
      p.is_killed = true;
      p.faults.push_back (now);
      send_signal (p, SIGKILL);
    }
}

/* See whether P has ended, and plan its next start.  */
void
Driver::reap (Process &p, const std::string &name, bool is_router)
{
  int status = 0;
  bool expected;
  std::string how;

  if (p.pid <= 0 || waitpid (p.pid, &status, WNOHANG) != p.pid)
    return;
  /* SIGTERM may come before its handler is installed.  */
  expected = p.is_killed
             || (p.is_stopping
                 && (WIFEXITED (status) ? WEXITSTATUS (status) == 0
                                        : WTERMSIG (status) == SIGTERM));
  how = WIFSIGNALED (status)
            ? "signal " + std::to_string (WTERMSIG (status))
            : "status " + std::to_string (WEXITSTATUS (status));
  note ("end " + name + " " + how);
  if (!expected)
    checker.findings.push_back (
        { is_router ? "ENDED" : "SOAK", name, "ended by itself with " + how });
  if (is_router && p.is_stopping && p.is_killed && p.kill_at == 0)
    checker.counts["routers killed after the grace period"]++;
  p.pid = 0;
  p.resume_at = p.kill_at = 0;
  p.start_at = now_s () + p.restart_s;
}

/* Judge what each router has used of its memory.  */
void
Driver::watch_memory ()
{
  if (now_s () < watch_at_)
    return;
  watch_at_ = now_s () + watch_interval_s;
  for (size_t i = 0; i < routers_.size (); i++)
    {
      Router &r = *routers_[i];

      if (r.pid <= 0 || r.usage == nullptr)
        continue;
      r.usage->sample ();
      size_t mib = r.usage->peak_bytes () >> 20;
      unsigned &most = checker.counts["MiB that a router used at most"];

      most = std::max (most, (unsigned)mib);
      if (mib < memory_mb)
        continue;
      checker.findings.push_back (
          { "MEMORY", "router-" + std::to_string (i),
            "used " + std::to_string (mib) + " of "
                + std::to_string (memory_mb) + " MiB, of which "
                + std::to_string (r.usage->peak_unread () >> 20)
                + " were not read, pid " + std::to_string (r.pid)
                + (r.resume_at > 0 ? ", paused" : "") });
      r.usage.reset ();
    }
}

void
Driver::tick_crowds ()
{
  double now = now_s ();

  for (; next_crowd_ < crowd_plans_.size ()
         && now >= start_ + crowd_plans_[next_crowd_].at;
       next_crowd_++)
    {
      const CrowdPlan &p = crowd_plans_[next_crowd_];

      note ("do " + crowd_text (p));
      crowds_.emplace_back ();
      crowds_.back ().crowd = std::make_unique<Crowd> (
          p, routers_[p.router]->ports->base () + p.port);
      crowds_.back ().end_at = now + p.seconds;
    }
  crowds_.remove_if ([&] (auto &c) { return now >= c.end_at; });
  for (auto &c : crowds_)
    c.crowd->tick ();
}

void
Driver::read_reports ()
{
  char buffer[65536];
  ssize_t n;
  size_t end;

  while ((n = read (reports_[0], buffer, sizeof buffer)) > 0)
    report_text_.append (buffer, (size_t)n);
  while ((end = report_text_.find ('\n')) != std::string::npos)
    {
      std::string line = report_text_.substr (0, end);
      auto words = split (line);
      Run run;

      report_text_.erase (0, end + 1);
      journal_ << "         " << line << "\n";
      if (words[0] == "R" && run_from_line (run, line))
        checker.add_run (run);
      else if (words[0] == "D" && words.size () == 3)
        checker.add_done (words[1], words[2]);
      else if (words[0] == "E" && words.size () == 3)
        checker.add_reset (words[1], words[2]);
      else
        checker.findings.push_back (
            { "SOAK", "-", "an engine reports: " + line });
    }
}

void
Driver::on_end (Attempt &a)
{
  const Router &r = *routers_[a.router];

  read_reports ();
  a.router_calm = r.pid > 0 || r.is_stopping;
  for (double at : r.faults)
    a.router_calm
        = a.router_calm && (at < a.sent_at - stable_s || at > a.ended_at);
  a.store_calm = true;
  for (double at : store_faults_)
    a.store_calm
        = a.store_calm
          && (at < a.sent_at - stable_s - config_calm_s || at > a.ended_at);
  a.router_stopping = r.term_at > a.sent_at - grace_s - planned_slack_s
                      && r.term_at < a.ended_at;
  note ("attempt " + a.id + " at router-" + std::to_string (a.router) + " "
        + end_name (a.end) + " " + std::to_string (a.answer.status) + " "
        + a.answer.header ("marjoramquay-response-signature") + " "
        + std::to_string (a.answer.body.size ()) + " bytes");
  checker.add_end (a);
}

/* Kill all routers when the schedule is over, and see when they are back.  */
void
Driver::tick_final_fault ()
{
  double now = now_s ();

  if (!o_.has_bounds || now < start_ + o_.minutes * 60 || back_at_ > 0)
    return;
  if (final_fault_at_ == 0)
    {
      note ("do kill all routers");
      final_fault_at_ = now;
      for (auto &r : routers_)
        {
          r->is_killed = true;
          r->restart_s = final_down_s;
          r->faults.push_back (now);
          send_signal (*r, SIGKILL);
        }
      return;
    }
  if (now < final_fault_at_ + final_down_s
      || std::any_of (routers_.begin (), routers_.end (),
                      [] (auto &r) { return r->pid == 0 || r->is_killed; }))
    return;
  back_at_ = now;
  checker.add_final_fault (final_fault_at_, back_at_);
}

void
Driver::tick ()
{
  double now = now_s ();
  bool may_begin = now < end_, is_busy = false;

  read_reports ();
  for (; next_action_ < schedule_.size ()
         && now >= start_ + schedule_[next_action_].at;
       next_action_++)
    carry_out (schedule_[next_action_]);
  if (store_back_at_ > 0 && now >= store_back_at_)
    {
      store_->down = false;
      store_faults_.push_back (now);
      store_back_at_ = 0;
    }
  for (size_t i = 0; i < routers_.size (); i++)
    {
      Router &r = *routers_[i];

      advance_process (r);
      if (r.hears_at > 0 && now >= r.hears_at)
        {
          r.door->silent = false;
          r.hears_at = 0;
          store_faults_.push_back (now);
        }
      reap (r, "router-" + std::to_string (i), true);
      if (r.pid == 0 && now >= r.start_at)
        start_router (r);
    }
  for (auto &e : engines_)
    {
      advance_process (*e);
      if (e->remove_at > 0 && now >= e->remove_at)
        {
          store_->remove ("servers", e->id);
          e->remove_at = 0;
        }
      if (e->leave_at > 0 && now >= e->leave_at)
        {
          e->leave_at = 0;
          e->is_stopping = true;
          checker.add_engine_fault (e->id, now);
          e->kill_at = now + grace_s;
          send_signal (*e, SIGTERM);
        }
      reap (*e, e->id, false);
      if (e->pid == 0 && now >= e->start_at)
        start_engine (*e);
    }
  tick_final_fault ();
  tick_crowds ();
  watch_memory ();
  if (checker.findings.size () > n_noted_)
    note_findings ();
  for (auto &c : clients_)
    {
      c->tick (now, may_begin);
      is_busy = is_busy || c->is_busy ();
    }
  if (may_begin || is_busy)
    stop_ = now + settle_s;
  if (now >= stop_)
    ev_break (loop_, EVBREAK_ALL);
}

void
Driver::on_tick (struct ev_loop *, ev_timer *timer, int)
{
  static_cast<Driver *> (timer->data)->tick ();
}

/* End what is left, by its ids.  */
void
Driver::end_all ()
{
  auto end = [] (Process &p) {
    if (p.pid <= 0)
      return;
    kill (p.pid, SIGKILL);
    waitpid (p.pid, nullptr, 0);
    p.pid = 0;
  };

  ev_timer_stop (loop_, &timer_);
  for (auto &r : routers_)
    end (*r);
  for (auto &e : engines_)
    end (*e);
}

bool
Driver::run ()
{
  ClientPort port;

  start_ = now_s ();
  checker.has_bounds = o_.has_bounds;
  if (!prepare ())
    return false;
  schedule_ = draw_schedule (o_.seed, o_.minutes * 60, o_.routers,
                             (unsigned)engines_.size ());
  printf ("faults of engines: %s\n", Faults (o_.seed).text ().c_str ());
  for (auto &a : schedule_)
    printf ("%s\n", action_text (a).c_str ());
  if (o_.has_crowds)
    crowd_plans_ = draw_crowds (o_.seed, o_.minutes * 60, o_.routers);
  for (auto &p : crowd_plans_)
    printf ("%s\n", crowd_text (p).c_str ());
  fflush (stdout);
  configure ();
  port.has_directory = o_.has_directory;
  port.routers.n_routers = [this] { return o_.routers; };
  port.routers.port_of
      = [this] (unsigned i) { return routers_[i]->ports->base (); };
  port.routers.directory_port_of
      = [this] (unsigned i) { return routers_[i]->ports->base () + 2; };
  port.routers.on_end = [this] (bool is_answered, const std::string &wrong) {
    checker.add_look_up (is_answered, wrong);
  };
  port.on_sent = [this] (const Attempt &a) { checker.add_sent (a); };
  port.on_end = [this] (Attempt &a) { on_end (a); };
  port.on_unasked = [this] (const std::string &id, const std::string &bytes) {
    checker.add_unasked (id, bytes);
  };
  for (unsigned i = 0; i < o_.clients; i++)
    clients_.push_back (std::make_unique<Client> (loop_, i, o_.seed, port));
  end_ = start_ + o_.minutes * 60;
  if (o_.has_bounds)
    end_ += final_down_s + recovery_s + recovered_s;
  ev_timer_set (&timer_, tick_s, tick_s);
  ev_timer_start (loop_, &timer_);
  ev_run (loop_, 0);
  read_reports ();
  end_all ();
  read_reports ();
  for (unsigned i = 0; i < routers_.size (); i++)
    for (double at : routers_[i]->faults)
      checker.add_router_fault (i, at);
  for (double at : store_faults_)
    checker.add_store_fault (at);
  if (is_interrupted_)
    error = "interrupted";
  else
    checker.finish ();
  return !is_interrupted_;
}

} // namespace soak
