/* A router in gateway mode as a process of its own, whose memory and log can
   be looked at.  */

#ifndef MQ_TESTS_ROUTER_PROCESS_H
#define MQ_TESTS_ROUTER_PROCESS_H

#include "programs.h"

#include <fcntl.h>

namespace gateway
{

class RouterProcess
{
public:
  explicit RouterProcess (const std::string &settings)
  {
    std::string program = programs::binary ("marjoramquay");
    std::string file = folder_.write ("settings", settings);
    std::string log = folder_.write ("log", "");

    pid_ = fork ();
    if (pid_ != 0)
      return;
    prctl (PR_SET_PDEATHSIG, SIGKILL);
    dup2 (open (log.c_str (), O_WRONLY | O_APPEND), STDOUT_FILENO);
    execl (program.c_str (), program.c_str (), "--settings", file.c_str (),
           nullptr);
    _exit (127);
  }

  RouterProcess (const RouterProcess &) = delete;
  RouterProcess &operator= (const RouterProcess &) = delete;

  ~RouterProcess ()
  {
    if (ended_)
      return;
    kill (pid_, SIGKILL);
    waitpid (pid_, nullptr, 0);
  }

  pid_t
  pid () const
  {
    return pid_;
  }

  void
  signal (int number)
  {
    kill (pid_, number);
  }

  /* Returns true if the process has ended by itself with status 0.  */
  bool
  has_ended ()
  {
    int status = 0;

    ended_ = ended_
             || (waitpid (pid_, &status, WNOHANG) == pid_ && WIFEXITED (status)
                 && WEXITSTATUS (status) == 0);
    return ended_;
  }

  /* The largest resident memory so far, in KiB; 0: it has ended.  */
  size_t
  peak_kib () const
  {
    std::ifstream file ("/proc/" + std::to_string (pid_) + "/status");
    std::string line;

    while (std::getline (file, line))
      if (line.compare (0, 6, "VmHWM:") == 0)
        return std::stoul (line.substr (6));
    return 0;
  }

  std::string
  log () const
  {
    return folder_.read ("log");
  }

private:
  programs::Folder folder_;
  pid_t pid_;
  bool ended_ = false;
};

} // namespace gateway

#endif
