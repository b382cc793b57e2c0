/* A listening socket on loopback, for stand-ins that read and write the bytes
   of their connections themselves.  */

#ifndef MQ_TESTS_LOOPBACK_LISTENER_H
#define MQ_TESTS_LOOPBACK_LISTENER_H

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace gateway
{

class LoopbackListener
{
public:
  LoopbackListener ()
  {
    sockaddr_in at = {};
    socklen_t size = sizeof at;

    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
    bind (fd_, reinterpret_cast<sockaddr *> (&at), size);
    listen (fd_, 16);
    getsockname (fd_, reinterpret_cast<sockaddr *> (&at), &size);
    address = "127.0.0.1:" + std::to_string (ntohs (at.sin_port));
  }

  LoopbackListener (const LoopbackListener &) = delete;
  LoopbackListener &operator= (const LoopbackListener &) = delete;
  ~LoopbackListener () { close (); }

  /* Returns a new connection, which does not block, or -1.  */
  int
  accept ()
  {
    return fd_ >= 0 ? accept4 (fd_, nullptr, nullptr, SOCK_NONBLOCK) : -1;
  }

  void
  close ()
  {
    if (fd_ >= 0)
      ::close (fd_);
    fd_ = -1;
  }

  bool
  is_closed () const
  {
    return fd_ < 0;
  }

  int
  fd () const
  {
    return fd_;
  }

  std::string address;

private:
  int fd_ = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
};

} // namespace gateway

#endif
