/* What a process uses of its machine, seen from outside.  */

#ifndef MQ_TESTS_PROCESS_USAGE_H
#define MQ_TESTS_PROCESS_USAGE_H

#include <algorithm>
#include <dirent.h>
#include <fstream>
#include <set>
#include <sstream>
#include <string>
#include <sys/types.h>
#include <unistd.h>
#include <vector>

namespace gateway
{

class ProcessUsage
{
public:
  /* Watch the process PID, which listens on PORTS.  */
  ProcessUsage (pid_t pid, std::vector<unsigned> ports)
      : folder_ ("/proc/" + std::to_string (pid)), ports_ (std::move (ports))
  {
  }

  /* Look at what is used now.  */
  void
  sample ()
  {
    size_t waiting = unread ();
    size_t now = status ("VmRSS:") + waiting;

    if (now > bytes_)
      {
        bytes_ = now;
        unread_ = waiting;
      }
    if (size_t most = status ("VmHWM:"); most > bytes_)
      {
        bytes_ = most;
        unread_ = 0;
      }
    files_ = std::max (files_, count_files ());
  }

  /* The most bytes of memory seen so far, with those that were received and
     not yet read.  */
  size_t
  peak_bytes () const
  {
    return bytes_;
  }

  /* Of these, the bytes that were not yet read.  */
  size_t
  peak_unread () const
  {
    return unread_;
  }

  /* The most open descriptors seen so far.  */
  size_t
  peak_files () const
  {
    return files_;
  }

private:
  size_t
  status (const std::string &key) const
  {
    std::ifstream file (folder_ + "/status");
    std::string line;

    while (std::getline (file, line))
      if (line.compare (0, key.size (), key) == 0)
        return std::stoul (line.substr (key.size ())) * 1024;
    return 0;
  }

  /* Returns the inodes of the sockets that the process has open.  */
  std::set<std::string>
  sockets () const
  {
    const std::string folder = folder_ + "/fd/";
    std::set<std::string> all;
    DIR *d = opendir (folder.c_str ());
    char link[64];

    if (d == nullptr)
      return all;
    for (dirent *e = readdir (d); e != nullptr; e = readdir (d))
      {
        ssize_t n
            = readlink ((folder + e->d_name).c_str (), link, sizeof link);
        const std::string target (link, n > 0 ? (size_t)n : 0);

        if (target.compare (0, 8, "socket:[") == 0)
          all.insert (target.substr (8, target.size () - 9));
      }
    closedir (d);
    return all;
  }

  /* Returns the bytes that wait to be read at the process's connections, and
     at those to its ports that it hasn't accepted.  */
  size_t
  unread () const
  {
    const std::set<std::string> own = sockets ();
    std::ifstream file ("/proc/net/tcp");
    std::string line;
    size_t sum = 0;

    std::getline (file, line);
    while (std::getline (file, line))
      {
        std::istringstream in (line);
        std::string slot, local, remote, state, queues, skip, inode;

        in >> slot >> local >> remote >> state >> queues;
        in >> skip >> skip >> skip >> skip >> inode;
        unsigned port = (unsigned)std::stoul (
            local.substr (local.find (':') + 1), nullptr, 16);
        bool listed = std::find (ports_.begin (), ports_.end (), port)
                      != ports_.end ();
        /* A listener's queue is its backlog.  */
        if (state != "0A"
            && (own.count (inode) > 0 || (listed && inode == "0")))
          sum += std::stoul (queues.substr (queues.find (':') + 1), nullptr,
                             16);
      }
    return sum;
  }

  size_t
  count_files () const
  {
    DIR *d = opendir ((folder_ + "/fd").c_str ());
    size_t n = 0;

    if (d == nullptr)
      return 0;
    while (readdir (d) != nullptr)
      n++;
    closedir (d);
    return n > 2 ? n - 2 : 0;
  }

  std::string folder_;
  std::vector<unsigned> ports_;
  size_t bytes_ = 0;
  size_t unread_ = 0; /* Of BYTES_.  */
  size_t files_ = 0;
};

} // namespace gateway

#endif
