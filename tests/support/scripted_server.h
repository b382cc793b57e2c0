/* A server stand-in that writes the bytes of its responses itself and closes
   each connection in order after them.  The loop runs it.  */

#ifndef MQ_TESTS_SCRIPTED_SERVER_H
#define MQ_TESTS_SCRIPTED_SERVER_H

#include "entry_text.h"
#include "loopback_listener.h"

#include <ev.h>

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace gateway
{

class ScriptedServer
{
  LoopbackListener listener_;

public:
  explicit ScriptedServer (struct ev_loop *loop) : loop_ (loop)
  {
    ev_timer_init (&timer_, on_timer, 0.001, 0.001);
    timer_.data = this;
    ev_timer_start (loop_, &timer_);
  }

  ScriptedServer (const ScriptedServer &) = delete;
  ScriptedServer &operator= (const ScriptedServer &) = delete;
  ~ScriptedServer () { close (); }

  /* To be called before the loop is destroyed.  */
  void
  close ()
  {
    ev_timer_stop (loop_, &timer_);
    for (auto &c : connections_)
      ::close (c.first);
    connections_.clear ();
    listener_.close ();
  }

  /* The entry of an instance of the service "app" here.  */
  std::string
  entry () const
  {
    return "{\"service\":\"app\",\"address\":\"" + address
           + "\",\"zone\":\"one\",\"slots\":8,\"state\":\"ready\""
           + entry_common + "}";
  }

  /* A response with STATUS, "200 OK", and BODY.  */
  static std::string
  response (const std::string &status, const std::string &body,
            const std::string &headers = "")
  {
    return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: "
           + std::to_string (body.size ()) + "\r\n\r\n" + body;
  }

  const std::string &address = listener_.address;
  unsigned connections = 0, requests = 0;
  bool stays_open = false; /* Keep the connection after a response.  */
  bool resets = false;     /* Reset connections in place of closing them.  */
  /* Returns the whole response to a request; nothing: it gets none, and its
     connection stays open.  */
  std::function<std::optional<std::string> (const std::string &request)> serve;

private:
  static void
  on_timer (struct ev_loop *, ev_timer *timer, int)
  {
    static_cast<ScriptedServer *> (timer->data)->poll ();
  }

  void
  poll ()
  {
    int fd;

    while ((fd = listener_.accept ()) >= 0)
      {
        connections++;
        connections_[fd] = "";
      }
    for (auto i = connections_.begin (); i != connections_.end ();)
      {
        bool open = read (i->first, i->second);

        if (!open)
          ::close (i->first);
        i = open ? std::next (i) : connections_.erase (i);
      }
  }

  /* Returns the size of the request that BYTES begin with, or 0 if it is not
     complete.  */
  static size_t
  request_size (const std::string &bytes)
  {
    const std::string name = "Content-Length: ";
    size_t end = bytes.find ("\r\n\r\n");
    size_t at = bytes.find (name);
    size_t body = at < end ? std::stoul (bytes.substr (at + name.size ())) : 0;

    return end != std::string::npos && bytes.size () >= end + 4 + body
               ? end + 4 + body
               : 0;
  }

  /* Read from FD into BYTES.  Returns false when the connection is to be
     closed.  */
  bool
  read (int fd, std::string &bytes)
  {
    char buffer[4096];
    ssize_t n = recv (fd, buffer, sizeof buffer, 0);

    if (n == 0)
      return false;
    if (n > 0)
      bytes.append (buffer, (size_t)n);
    if (request_size (bytes) == 0)
      return true;
    requests++;
    std::optional<std::string> made = serve (bytes);
    bytes.clear ();
    if (!made)
      return true;
    send (fd, made->data (), made->size (), MSG_NOSIGNAL);
    if (resets)
      {
        struct linger l = { 1, 0 };

        setsockopt (fd, SOL_SOCKET, SO_LINGER, &l, sizeof l);
      }
    return stays_open;
  }

  struct ev_loop *loop_;
  ev_timer timer_;
  std::map<int, std::string> connections_; /* Socket -> what arrived.  */
};

} // namespace gateway

#endif
