/* An upstream on loopback that writes the bytes of its responses itself, one
   thread a connection, and a model engine with all layers made of it, for
   tests of routers in native mode.  */

#ifndef MQ_TESTS_RAW_UPSTREAM_H
#define MQ_TESTS_RAW_UPSTREAM_H

#include "programs.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <atomic>
#include <mutex>

namespace raw_upstream
{

/* Receives a request and its socket, which is closed afterwards.  */
using Handler = std::function<void (int fd, const std::string &request)>;

inline void
sleep_ms (unsigned ms)
{
  std::this_thread::sleep_for (std::chrono::milliseconds (ms));
}

/* Returns false if the peer has closed the connection.  */
inline bool
send_all (int fd, const std::string &text)
{
  for (size_t at = 0; at < text.size ();)
    {
      ssize_t n
          = send (fd, text.data () + at, text.size () - at, MSG_NOSIGNAL);

      if (n <= 0)
        return false;
      at += (size_t)n;
    }
  return true;
}

/* Sends UNIT again and again, with PAUSE_MS after each, until BYTES are sent;
   is silent then until the peer closes the connection.  */
inline void
flood_until_closed (int fd, const std::string &unit, size_t bytes,
                    unsigned pause_ms)
{
  char byte;

  for (size_t sent = 0; sent < bytes; sent += unit.size ())
    {
      if (!send_all (fd, unit))
        return;
      if (pause_ms > 0)
        sleep_ms (pause_ms);
    }
  while (recv (fd, &byte, 1, 0) > 0)
    continue;
}

inline std::string
chunk (const std::string &text)
{
  char size[16];

  snprintf (size, sizeof size, "%zx\r\n", text.size ());
  return size + text + "\r\n";
}

/* Makes close reset the connection.  */
inline void
reset_on_close (int fd)
{
  struct linger l = { 1, 0 };

  setsockopt (fd, SOL_SOCKET, SO_LINGER, &l, sizeof l);
}

class Upstream
{
public:
  explicit Upstream (Handler handler) : handler_ (std::move (handler))
  {
    struct sockaddr_in a = {};
    socklen_t size = sizeof a;

    listener_ = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    a.sin_family = AF_INET;
    a.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
    if (bind (listener_, (struct sockaddr *)&a, sizeof a) != 0
        || listen (listener_, 64) != 0
        || getsockname (listener_, (struct sockaddr *)&a, &size) != 0)
      throw std::runtime_error ("listen");
    port_ = ntohs (a.sin_port);
    acceptor_ = std::thread ([this] { accept_all (); });
  }

  Upstream (const Upstream &) = delete;
  Upstream &operator= (const Upstream &) = delete;

  ~Upstream ()
  {
    shutdown (listener_, SHUT_RDWR);
    acceptor_.join ();
    {
      std::lock_guard<std::mutex> lock (mutex_);

      for (int fd : open_)
        shutdown (fd, SHUT_RDWR);
    }
    for (std::thread &t : threads_)
      t.join ();
    close (listener_);
  }

  std::string
  url () const
  {
    return "http://127.0.0.1:" + std::to_string (port_);
  }

private:
  void
  accept_all ()
  {
    int fd;

    while ((fd = accept4 (listener_, nullptr, nullptr, SOCK_CLOEXEC)) >= 0)
      {
        std::lock_guard<std::mutex> lock (mutex_);

        open_.push_back (fd);
        threads_.emplace_back ([this, fd] { serve (fd); });
      }
  }

  void
  serve (int fd)
  {
    std::string request = read_request (fd);

    if (!request.empty ())
      handler_ (fd, request);
    std::lock_guard<std::mutex> lock (mutex_);
    open_.erase (std::find (open_.begin (), open_.end (), fd));
    close (fd);
  }

  /* Returns the head and the body, whose length the head states.  */
  static std::string
  read_request (int fd)
  {
    std::string text;
    char piece[4096];
    ssize_t n;

    while ((n = recv (fd, piece, sizeof piece, 0)) > 0)
      {
        text.append (piece, (size_t)n);
        size_t end = text.find ("\r\n\r\n");
        size_t length = text.find ("Content-Length: ");

        if (end != std::string::npos
            && (length >= end
                || text.size ()
                       >= end + 4 + std::stoul (text.substr (length + 16))))
          return text;
      }
    return "";
  }

  Handler handler_;
  int listener_ = -1;
  uint16_t port_ = 0;
  std::mutex mutex_;
  std::vector<int> open_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

/* A stream's request, as an engine has received it.  */
struct Stream
{
  int fd;
  std::string id;
  std::string attempt;
  unsigned sent = 0; /* Tokens of earlier attempts.  */

  std::string
  line (const std::string &members) const
  {
    return "{\"request\":\"" + id + "\",\"attempt\":" + attempt + "," + members
           + "}\n";
  }

  std::string
  token (unsigned position) const
  {
    return line ("\"p\":" + std::to_string (position) + ",\"t\":\"t"
                 + std::to_string (position) + " \",\"s\":[[0,12,\"v1\"]]");
  }

  bool
  begin () const
  {
    return send_all (fd,
                     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  }

  /* Sends the tokens from FROM up to END.  */
  bool
  tokens (unsigned from, unsigned end) const
  {
    for (unsigned p = from; p < end; p++)
      if (!send_all (fd, chunk (token (p))))
        return false;
    return true;
  }

  bool
  end () const
  {
    return send_all (fd, chunk (line ("\"end\":\"done\"")) + "0\r\n\r\n");
  }
};

/* Returns the text of the tokens up to END.  */
inline std::string
text (unsigned end)
{
  std::string all;

  for (unsigned p = 0; p < end; p++)
    all += "t" + std::to_string (p) + " ";
  return all;
}

/* An engine that holds all layers.  Its streams are served by a function; it
   answers reports as long as REPORTS is true.  */
class Engine
{
public:
  using Serve = std::function<void (const Stream &stream)>;

  explicit Engine (Serve serve)
      : serve_ (std::move (serve)),
        upstream_ ([this] (int fd, const std::string &request) {
          handle (fd, request);
        })
  {
  }

  std::string
  url () const
  {
    return upstream_.url ();
  }

  std::atomic<bool> reports{ true };
  std::atomic<unsigned> streams{ 0 }; /* Streams that were requested.  */

private:
  void
  handle (int fd, const std::string &request)
  {
    if (request.compare (0, 16, "POST /v1/streams") != 0)
      {
        if (reports)
          send_all (fd, report ());
        else
          reset_on_close (fd);
        return;
      }
    Stream s;
    std::string body = request.substr (request.find ("\r\n\r\n") + 4);
    std::string sent = programs::json_text (body, "sent");

    s.fd = fd;
    s.id = programs::json_text (body, "request");
    s.attempt = programs::json_text (body, "attempt");
    for (size_t at = 0; (at = sent.find ("\"t", at)) != std::string::npos;
         at++)
      s.sent++;
    streams++;
    serve_ (s);
  }

  static std::string
  report ()
  {
    const std::string body
        = "{\"engine\":\"whole\",\"model\":\"m\",\"version\":\"v1\","
          "\"first\":0,\"end\":12,\"queue\":0,\"batch\":0,\"slots\":32,"
          "\"step_us\":1000,\"kv_used\":0,\"kv_limit\":1000000,\"age_ms\":0,"
          "\"incarnation\":1}";

    return "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: "
           + std::to_string (body.size ()) + "\r\n\r\n" + body;
  }

  Serve serve_;
  Upstream upstream_; /* Last, since its threads use the other members.  */
};

} // namespace raw_upstream

#endif
