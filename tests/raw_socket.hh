/* A raw socket on loopback, for tests that read and write the bytes of a
   connection themselves.  */

#ifndef TESTS_RAW_SOCKET_HH
#define TESTS_RAW_SOCKET_HH

#include <gtest/gtest.h>

#include <algorithm>
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

/* Returns true if RECEIVED holds a complete response, with a length or in
   chunks.  */
inline bool
is_complete_response (const std::string &received)
{
  size_t end = received.find ("\r\n\r\n");
  size_t length = received.find ("Content-Length: ");

  if (end == std::string::npos)
    return false;
  if (length < end)
    return received.size ()
           >= end + 4 + std::stoul (received.substr (length + 16));
  return received.find ("0\r\n\r\n", end + 4) != std::string::npos;
}

/* A raw socket, to act as a misbehaving client or server.  */
class Socket
{
public:
  int fd;

  explicit Socket (int f) : fd (f) {}
  Socket (const Socket &) = delete;
  Socket &operator= (const Socket &) = delete;
  Socket (Socket &&other) noexcept : fd (other.fd) { other.fd = -1; }
  ~Socket () { close (); }

  /* Returns a socket connected to PORT on loopback, which receives as many
     bytes as RECEIVE_BUFFER before they are read unless that is 0.  */
  static Socket
  connected (uint16_t port, int receive_buffer = 0)
  {
    Socket s (socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    sockaddr_in a = address (port);

    if (receive_buffer > 0)
      setsockopt (s.fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                  sizeof receive_buffer);
    EXPECT_EQ (connect (s.fd, reinterpret_cast<sockaddr *> (&a), sizeof a), 0);
    fcntl (s.fd, F_SETFL, O_NONBLOCK);
    return s;
  }

  /* Returns a socket whose connection to PORT on loopback is under way, or one
     without a descriptor if there can't be one.  Checks nothing.  */
  static Socket
  connecting (uint16_t port)
  {
    Socket s (socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    sockaddr_in a = address (port);

    if (connect (s.fd, reinterpret_cast<sockaddr *> (&a), sizeof a) != 0
        && errno != EINPROGRESS)
      s.close ();
    return s;
  }

  /* Gives up the descriptor, which the caller closes.  */
  int
  release ()
  {
    return std::exchange (fd, -1);
  }

  /* Returns a socket that listens on a port chosen by the system.  */
  static Socket
  listening (int backlog)
  {
    Socket s (socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    sockaddr_in a = address (0);

    EXPECT_EQ (bind (s.fd, reinterpret_cast<sockaddr *> (&a), sizeof a), 0);
    EXPECT_EQ (listen (s.fd, backlog), 0);
    return s;
  }

  uint16_t
  port () const
  {
    sockaddr_in a;
    socklen_t size = sizeof a;

    getsockname (fd, reinterpret_cast<sockaddr *> (&a), &size);
    return ntohs (a.sin_port);
  }

  /* Returns the bytes received so far, at most LIMIT.  Sets CLOSED at the end
     of the stream.  */
  std::string
  read (bool *closed, size_t limit = SIZE_MAX)
  {
    std::string all;
    char buffer[65536];
    ssize_t n = 1;

    while (all.size () < limit
           && (n = recv (fd, buffer,
                         std::min (sizeof buffer, limit - all.size ()), 0))
                  > 0)
      all.append (buffer, static_cast<size_t> (n));
    if (n == 0 || (errno != EAGAIN && errno != EINTR))
      *closed = true;
    return all;
  }

  void
  write (const std::string &bytes)
  {
    send (fd, bytes.data (), bytes.size (), MSG_NOSIGNAL);
  }

  void
  close ()
  {
    if (fd >= 0)
      ::close (fd);
    fd = -1;
  }

private:
  static sockaddr_in
  address (uint16_t port)
  {
    sockaddr_in a = {};

    a.sin_family = AF_INET;
    a.sin_port = htons (port);
    a.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
    return a;
  }
};

#endif
