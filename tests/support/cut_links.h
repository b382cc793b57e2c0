/* Cuts one router of a test off from the addresses that it chooses.

   The routers of a test share a process.  The router that is to be cut off
   runs on an event loop of its own, and only while that loop runs do the
   functions of the C library that this file replaces act differently.  A file
   that includes it must be the only one of its program that does.  */

#ifndef MQ_TESTS_CUT_LINKS_H
#define MQ_TESTS_CUT_LINKS_H

#include <ev.h>

#include <arpa/inet.h>
#include <cerrno>
#include <dlfcn.h>
#include <set>
#include <sys/socket.h>
#include <unistd.h>

namespace cut
{

enum class Mode
{
  Up,    /* Not cut off.  */
  Hang,  /* Nothing gets through, neither on new nor on open connections.  */
  Reset, /* Open connections are reset, and new ones are refused.  */
  Refuse /* New connections are refused; open ones work.  */
};

inline Mode mode = Mode::Up;
inline bool inside = false;            /* The router's loop runs.  */
inline std::set<unsigned> ports;       /* That it can't reach.  */
inline std::set<int> open_connections; /* That it opened to these.  */
inline sockaddr_in black_hole;         /* Accepts no connection.  */

/* Open a listener whose queue is full.  */
inline void
open_black_hole ()
{
  socklen_t size = sizeof black_hole;
  int listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  black_hole = {};
  black_hole.sin_family = AF_INET;
  black_hole.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  bind (listener, reinterpret_cast<sockaddr *> (&black_hole), size);
  listen (listener, 0);
  getsockname (listener, reinterpret_cast<sockaddr *> (&black_hole), &size);
  for (int i = 0; i < 4; i++)
    {
      int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

      (void)connect (fd, reinterpret_cast<sockaddr *> (&black_hole), size);
    }
}

inline void
set (Mode next)
{
  mode = next;
  if (mode == Mode::Reset)
    for (int fd : open_connections)
      shutdown (fd, SHUT_RDWR);
}

/* Returns true if FD is a connection of the router that is cut off.  */
inline bool
covers (int fd)
{
  sockaddr_in at = {};
  socklen_t size = sizeof at;

  return inside && mode != Mode::Up
         && getpeername (fd, reinterpret_cast<sockaddr *> (&at), &size) == 0
         && at.sin_family == AF_INET && ports.count (ntohs (at.sin_port)) > 0;
}

template <typename F>
F
real (const char *name)
{
  return reinterpret_cast<F> (dlsym (RTLD_NEXT, name));
}

/* Runs the loop of the router to be cut off from a timer of another loop.  */
class Loop
{
public:
  explicit Loop (struct ev_loop *outer) : outer_ (outer)
  {
    ev_timer_init (&timer_, on_timer, 0.001, 0.001);
    timer_.data = this;
    ev_timer_start (outer_, &timer_);
  }

  Loop (const Loop &) = delete;
  Loop &operator= (const Loop &) = delete;

  ~Loop ()
  {
    ev_timer_stop (outer_, &timer_);
    ev_loop_destroy (loop);
  }

  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  bool paused = false; /* As if the process of its router did not run.  */

private:
  static void
  on_timer (struct ev_loop *, ev_timer *timer, int)
  {
    Loop *l = static_cast<Loop *> (timer->data);

    if (l->paused)
      return;
    inside = true;
    ev_run (l->loop, EVRUN_NOWAIT);
    inside = false;
  }

  struct ev_loop *outer_;
  ev_timer timer_;
};

} // namespace cut

extern "C" int
connect (int fd, const struct sockaddr *to, socklen_t size)
{
  using Connect = int (*) (int, const struct sockaddr *, socklen_t);
  static const Connect next = cut::real<Connect> ("connect");
  const auto *in = reinterpret_cast<const sockaddr_in *> (to);

  if (!cut::inside || in->sin_family != AF_INET
      || cut::ports.count (ntohs (in->sin_port)) == 0)
    return next (fd, to, size);
  switch (cut::mode)
    {
    case cut::Mode::Up:
      cut::open_connections.insert (fd);
      break;
    case cut::Mode::Hang:
      return next (fd, reinterpret_cast<sockaddr *> (&cut::black_hole),
                   sizeof cut::black_hole);
    case cut::Mode::Reset:
    case cut::Mode::Refuse:
      errno = ECONNREFUSED;
      return -1;
    }
  return next (fd, to, size);
}

extern "C" int
close (int fd)
{
  using Close = int (*) (int);
  static const Close next = cut::real<Close> ("close");

  cut::open_connections.erase (fd);
  return next (fd);
}

extern "C" ssize_t
send (int fd, const void *data, size_t size, int flags)
{
  using Send = ssize_t (*) (int, const void *, size_t, int);
  static const Send next = cut::real<Send> ("send");

  if (cut::mode == cut::Mode::Hang && cut::covers (fd))
    return (ssize_t)size;
  return next (fd, data, size, flags);
}

extern "C" ssize_t
recv (int fd, void *data, size_t size, int flags)
{
  using Recv = ssize_t (*) (int, void *, size_t, int);
  static const Recv next = cut::real<Recv> ("recv");

  if (cut::mode == cut::Mode::Hang && cut::covers (fd))
    {
      errno = EAGAIN;
      return -1;
    }
  return next (fd, data, size, flags);
}

#endif
