/* A TCP address behind which a test may put one server or another: bytes are
   copied to and from the server of the moment.  It has a thread of its own. */

#ifndef MQ_TESTS_SWITCHED_LINK_H
#define MQ_TESTS_SWITCHED_LINK_H

#include "loopback_listener.h"

#include <atomic>
#include <cerrno>
#include <list>
#include <mutex>
#include <poll.h>
#include <string>
#include <thread>
#include <vector>

namespace gateway
{

class SwitchedLink
{
  LoopbackListener listener_;

public:
  explicit SwitchedLink (std::string target)
      : address (listener_.address), target_ (std::move (target)),
        thread_ ([this] { run (); })
  {
  }

  SwitchedLink (const SwitchedLink &) = delete;
  SwitchedLink &operator= (const SwitchedLink &) = delete;

  ~SwitchedLink ()
  {
    stop_ = true;
    thread_.join ();
    close_all ();
  }

  /* Lead to TARGET from now on; open connections are closed.  */
  void
  set_target (const std::string &target)
  {
    std::lock_guard<std::mutex> lock (mutex_);

    target_ = target;
    close_all ();
  }

  std::string address;
  std::atomic<unsigned> accepted{ 0 };

private:
  /* A connection and that to the server.  */
  struct Pair
  {
    int fds[2];
    std::string unsent[2]; /* Read, not written to fds[i] yet.  */
  };

  void
  close_all ()
  {
    for (auto &p : pairs_)
      for (int fd : p.fds)
        close (fd);
    pairs_.clear ();
  }

  int
  connect_target () const
  {
    sockaddr_in at = {};
    size_t colon = target_.find (':');
    int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

    at.sin_family = AF_INET;
    at.sin_port = htons ((uint16_t)std::stoul (target_.substr (colon + 1)));
    inet_pton (AF_INET, target_.substr (0, colon).c_str (), &at.sin_addr);
    (void)connect (fd, reinterpret_cast<sockaddr *> (&at), sizeof at);
    return fd;
  }

  /* Copy from FDS[1 - TO] to FDS[TO].  Returns false at the end.  */
  static bool
  copy (Pair &p, int to)
  {
    char buffer[64 * 1024];
    ssize_t n;

    if (p.unsent[to].empty ())
      {
        n = recv (p.fds[1 - to], buffer, sizeof buffer, MSG_DONTWAIT);
        if (n == 0 || (n < 0 && errno != EAGAIN && errno != ENOTCONN))
          return false;
        if (n > 0)
          p.unsent[to].assign (buffer, (size_t)n);
      }
    if (p.unsent[to].empty ())
      return true;
    n = send (p.fds[to], p.unsent[to].data (), p.unsent[to].size (),
              MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n > 0)
      p.unsent[to].erase (0, (size_t)n);
    return n > 0 || errno == EAGAIN || errno == ENOTCONN;
  }

  static short
  wanted (const Pair &p, int i)
  {
    return (short)((p.unsent[1 - i].empty () ? POLLIN : 0)
                   | (p.unsent[i].empty () ? 0 : POLLOUT));
  }

  void
  run ()
  {
    while (!stop_)
      {
        std::vector<pollfd> fds = { { listener_.fd (), POLLIN, 0 } };

        {
          std::lock_guard<std::mutex> lock (mutex_);
          int fd;

          while ((fd = listener_.accept ()) >= 0)
            {
              pairs_.push_back ({ { fd, connect_target () }, {} });
              accepted++;
            }
          for (auto i = pairs_.begin (); i != pairs_.end ();)
            {
              if (copy (*i, 0) && copy (*i, 1))
                {
                  fds.push_back ({ i->fds[0], wanted (*i, 0), 0 });
                  fds.push_back ({ i->fds[1], wanted (*i, 1), 0 });
                  ++i;
                  continue;
                }
              close (i->fds[0]);
              close (i->fds[1]);
              i = pairs_.erase (i);
            }
        }
        poll (fds.data (), fds.size (), 10);
      }
  }

  std::string target_;
  std::list<Pair> pairs_;
  std::mutex mutex_;
  std::atomic<bool> stop_{ false };
  std::thread thread_;
};

} // namespace gateway

#endif
