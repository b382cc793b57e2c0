/* A client that sends as much as a connection takes, in one of many forms, and
   stays.  */

#ifndef MQ_TESTS_CROWD_CLIENT_H
#define MQ_TESTS_CROWD_CLIENT_H

#include "../raw_socket.hh"

#include <string>
#include <utility>

namespace crowd
{

/* What a client sends: HEAD, UNIT so many times, and TAIL.  */
struct Sending
{
  std::string head;
  std::string unit;
  size_t units = 0;
  std::string tail;

  size_t
  size () const
  {
    return head.size () + unit.size () * units + tail.size ();
  }

  /* Returns some of the bytes from OFFSET on.  */
  std::pair<const char *, size_t>
  at (size_t offset) const
  {
    if (offset < head.size ())
      return { head.data () + offset, head.size () - offset };
    offset -= head.size ();
    if (offset < unit.size () * units)
      {
        offset %= unit.size ();
        return { unit.data () + offset, unit.size () - offset };
      }
    offset -= unit.size () * units;
    return { tail.data () + offset, tail.size () - offset };
  }
};

/* One client of a crowd, which stays until the router closes.  */
class CrowdClient
{
public:
  CrowdClient (Socket socket, const Sending *sending)
      : socket_ (std::move (socket)), sending_ (sending)
  {
  }

  /* Send what the connection takes, up to LIMIT bytes.  */
  void
  write (size_t limit = SIZE_MAX)
  {
    while (!is_done () && limit > 0)
      {
        auto piece = sending_->at (sent_);
        ssize_t n = send (socket_.fd, piece.first,
                          std::min (piece.second, limit), MSG_NOSIGNAL);

        if (n < 0)
          {
            closed_ = errno != EAGAIN && errno != EINTR;
            return;
          }
        sent_ += (size_t)n;
        limit -= (size_t)n;
      }
  }

  /* Read what has arrived.  */
  void
  read ()
  {
    if (!closed_)
      received += socket_.read (&closed_);
  }

  /* Returns true if all is sent, or can't be.  */
  bool
  is_done () const
  {
    return closed_ || sent_ == sending_->size ();
  }

  std::string received;

private:
  Socket socket_;
  const Sending *sending_;
  size_t sent_ = 0;
  bool closed_ = false;
};

/* A chunk with SIZE bytes of data.  */
inline std::string
chunk (size_t size)
{
  char line[32];

  snprintf (line, sizeof line, "%zx\r\n", size);
  return line + std::string (size, 'x') + "\r\n";
}

/* A body of N chunks of SIZE bytes each, without its last chunk, after HEAD.
 */
inline Sending
chunked (const std::string &head, size_t size, size_t n)
{
  return { head, chunk (size), n, "" };
}

/* SIZE bytes after HEAD.  */
inline Sending
plain (const std::string &head, size_t size)
{
  const std::string unit (65536, 'x');

  return { head, unit, size / unit.size (),
           std::string (size % unit.size (), 'x') };
}

} // namespace crowd

#endif
