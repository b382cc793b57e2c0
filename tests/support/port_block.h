/* Ports for a program under test that must be configured with its
   addresses beforehand.

   A block lies below the range from which the kernel draws ports of its own
   accord (for outgoing connections and for those who ask for port 0), so that
   nobody is given a port of it by chance.  Its first port is held bound as
   long as the block lives, which keeps off other tests that look for a block
   at the same time; the others were free when the block was taken, also of
   connections that were closed a short while ago.  */

#ifndef MQ_TESTS_PORT_BLOCK_H
#define MQ_TESTS_PORT_BLOCK_H

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <fstream>
#include <stdexcept>
#include <vector>

namespace ports
{

/* Linux's own default, where the system does not say.  */
constexpr unsigned default_drawn_first = 32768;

/* The first port that the kernel may draw.  */
inline unsigned
drawn_first ()
{
  std::ifstream file ("/proc/sys/net/ipv4/ip_local_port_range");
  unsigned first;

  return file >> first ? first : default_drawn_first;
}

/* A socket bound to PORT of the loopback interface; -1 when it is taken.  */
inline int
bind_port (unsigned port)
{
  struct sockaddr_in a = {};
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  a.sin_family = AF_INET;
  a.sin_port = htons ((uint16_t)port);
  a.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  if (fd >= 0
      && bind (fd, reinterpret_cast<struct sockaddr *> (&a), sizeof a) != 0)
    {
      close (fd);
      fd = -1;
    }
  return fd;
}

/* COUNT ports in a row from BASE on, of which none is taken.  */
class Block
{
public:
  static constexpr unsigned count = 5;

  Block ()
  {
    for (unsigned at = lowest (); at + count < drawn_first (); at += count + 1)
      if (take (at))
        return;
    throw std::runtime_error ("no block of ports is free");
  }

  Block (const Block &) = delete;
  Block &operator= (const Block &) = delete;

  ~Block () { close (guard_); }

  unsigned
  base () const
  {
    return guard_port_ + 1;
  }

private:
  /* Well above those of services that a machine may run.  */
  static unsigned
  lowest ()
  {
    return drawn_first () / 2;
  }

  bool
  take (unsigned at)
  {
    std::vector<int> held;

    guard_ = bind_port (at);
    if (guard_ < 0)
      return false;
    while (held.size () < count)
      {
        int fd = bind_port (at + 1 + (unsigned)held.size ());

        if (fd < 0)
          break;
        held.push_back (fd);
      }
    for (int fd : held)
      close (fd);
    guard_port_ = at;
    if (held.size () == count)
      return true;
    close (guard_);
    return false;
  }

  int guard_ = -1;
  unsigned guard_port_ = 0;
};

} // namespace ports

#endif
