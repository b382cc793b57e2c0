/* A plain service in one process that crashes on a given request body.  */

#ifndef MQ_TESTS_MORTAL_SERVICE_H
#define MQ_TESTS_MORTAL_SERVICE_H

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <atomic>
#include <map>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace crashing
{

inline const std::string crash_body = "the call that ends services";

/* Crashes when a call contains crash_body, and listens at the same address
   again 1.2 s later.  Answers calls that contain "another".  Owns a thread. */
class Service
{
public:
  Service ()
  {
    listen_on (0);
    thread_ = std::thread ([this] { run (); });
  }

  ~Service ()
  {
    stop_ = true;
    thread_.join ();
    close_all ();
  }

  std::string
  url () const
  {
    return "http://127.0.0.1:" + std::to_string (port_);
  }

  std::atomic<unsigned> arrivals{ 0 }; /* Calls with crash_body.  */

private:
  void
  listen_on (unsigned port)
  {
    sockaddr_in a = {};
    socklen_t size = sizeof a;
    int on = 1;

    listener_ = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt (listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    a.sin_family = AF_INET;
    a.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
    a.sin_port = htons ((uint16_t)port);
    if (bind (listener_, reinterpret_cast<sockaddr *> (&a), size) != 0
        || listen (listener_, 16) != 0)
      throw std::runtime_error ("listen");
    getsockname (listener_, reinterpret_cast<sockaddr *> (&a), &size);
    port_ = ntohs (a.sin_port);
  }

  /* Close the listener first, like the kernel at the end of a process: it
     closes descriptors in the order of their numbers.  */
  void
  close_all ()
  {
    close (listener_);
    for (auto &c : callers_)
      close (c.first);
    callers_.clear ();
  }

  /* Reset all connections, like a process that crashes, and restart.  */
  void
  crash ()
  {
    linger hard = { 1, 0 };

    for (auto &c : callers_)
      setsockopt (c.first, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    close_all ();
    std::this_thread::sleep_for (std::chrono::milliseconds (1200));
    listen_on (port_);
  }

  /* Returns true when the call on FD contained crash_body.  */
  bool
  serve (int fd)
  {
    std::string &text = callers_[fd];
    char buffer[4096];
    ssize_t n = read (fd, buffer, sizeof buffer);

    if (n <= 0)
      {
        close (fd);
        callers_.erase (fd);
        return false;
      }
    text.append (buffer, (size_t)n);
    if (text.find (crash_body) != std::string::npos)
      return true;
    if (text.find ("another") != std::string::npos)
      {
        static const char reply[]
            = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

        EXPECT_GT (write (fd, reply, sizeof reply - 1), 0);
        text.clear ();
      }
    return false;
  }

  void
  run ()
  {
    while (!stop_)
      {
        std::vector<pollfd> fds = { { listener_, POLLIN, 0 } };

        for (auto &c : callers_)
          fds.push_back ({ c.first, POLLIN, 0 });
        if (poll (fds.data (), fds.size (), 50) <= 0)
          continue;
        if (fds[0].revents != 0)
          callers_[accept (listener_, nullptr, nullptr)] = "";
        for (size_t i = 1; i < fds.size (); i++)
          if (fds[i].revents != 0 && serve (fds[i].fd))
            {
              arrivals++;
              crash ();
              break;
            }
      }
  }

  std::thread thread_;
  std::atomic<bool> stop_{ false };
  std::map<int, std::string> callers_;
  int listener_ = -1;
  unsigned port_ = 0;
};

} // namespace crashing

#endif
