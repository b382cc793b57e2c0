/* An upstream stand-in on raw sockets whose responses may have no end: a head,
   and bytes that are repeated until the caller closes.  It has a thread of its
   own.  */

#ifndef MQ_TESTS_ENDLESS_ENGINE_H
#define MQ_TESTS_ENDLESS_ENGINE_H

#include "entry_text.h"
#include "loopback_listener.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <poll.h>
#include <string>
#include <thread>
#include <vector>

namespace gateway
{

/* What an EndlessEngine sends in response to one request.  */
struct EndlessScript
{
  std::string head; /* Sent once; @ID@ stands for the request's id.  */
  std::string unit; /* Repeated without end; empty: HEAD is all.  */
  double per_s = 0; /* Bytes of units a second; 0: as fast as possible.  */
};

class EndlessEngine
{
  LoopbackListener listener_;

public:
  /* On one connection; more is not offered.  */
  static constexpr size_t max_bytes = (size_t)300 * 1024 * 1024;

  /* The response to a request.  Called in the thread of the engine.  */
  using Serve = std::function<EndlessScript (const std::string &request)>;

  explicit EndlessEngine (Serve serve)
      : address (listener_.address), serve_ (std::move (serve)),
        thread_ ([this] { run (); })
  {
  }

  EndlessEngine (const EndlessEngine &) = delete;
  EndlessEngine &operator= (const EndlessEngine &) = delete;

  ~EndlessEngine ()
  {
    stop_ = true;
    thread_.join ();
    for (auto &c : connections_)
      close (c.first);
  }

  /* Returns the value of the header NAME of REQUEST.  */
  static std::string
  header (const std::string &request, const std::string &name)
  {
    size_t at = request.find ("\r\n" + name + ": ");

    if (at == std::string::npos)
      return "";
    at += name.size () + 4;
    return request.substr (at, request.find ("\r\n", at) - at);
  }

  static EndlessScript
  sound_report ()
  {
    const std::string body
        = "{\"busy\":false,\"sequence\":0,\"waiting\":0,\"running\":0,"
          "\"kvUsed\":0,\"kvTotal\":1,\"layers\":{\"from\":0,\"target\":80}}";

    return { "HTTP/1.1 200 OK\r\nContent-Length: "
                 + std::to_string (body.size ()) + "\r\n\r\n" + body,
             "", 0 };
  }

  std::string
  entry (const std::string &service, const std::string &domain) const
  {
    std::string s = "{\"service\":\"" + service + "\",\"address\":\"" + address
                    + "\",\"zone\":\"" + domain
                    + "\",\"slots\":40,\"state\":\"ready\""
                    + gateway::entry_common;

    if (service == "model")
      s += gateway::engine_members ("big", 0, 80);
    return s + "}";
  }

  /* How often each request id arrived.  */
  std::map<std::string, unsigned>
  runs ()
  {
    std::lock_guard<std::mutex> lock (mutex_);

    return runs_;
  }

  unsigned
  count_runs ()
  {
    unsigned n = 0;

    for (auto &r : runs ())
      n += r.second;
    return n;
  }

  /* Connections that still are being sent a response without end.  */
  std::atomic<unsigned> sending{ 0 };
  std::atomic<size_t> sent{ 0 }; /* Bytes of units.  */
  std::string address;

private:
  using Clock = std::chrono::steady_clock;

  struct Connection
  {
    std::string received;
    std::string unsent;
    EndlessScript script;
    bool sends = false; /* Units.  */
    size_t sent = 0;    /* Bytes of units.  */
    Clock::time_point began;
  };

  /* Returns the length of the request that RECEIVED holds whole, or 0.  */
  static size_t
  request_size (const std::string &received)
  {
    size_t end = received.find ("\r\n\r\n");
    std::string body;

    if (end == std::string::npos)
      return 0;
    body = header (received, "Content-Length");
    end += 4 + (body.empty () ? 0 : std::stoul (body));
    return received.size () >= end ? end : 0;
  }

  void
  handle (Connection &c, const std::string &request)
  {
    std::lock_guard<std::mutex> lock (mutex_);
    const std::string id = header (request, "Marjoramquay-Attempt-Id");
    size_t at;

    c.script = serve_ (request);
    if (!id.empty ())
      runs_[id]++;
    c.unsent = c.script.head;
    while ((at = c.unsent.find ("@ID@")) != std::string::npos)
      c.unsent.replace (at, 4, id);
    if (c.script.unit.empty ())
      return;
    /* Long units need few calls.  */
    if (c.script.per_s == 0)
      for (const std::string one = c.script.unit;
           c.script.unit.size () < 64 * 1024;)
        c.script.unit += one;
    c.sends = true;
    c.began = Clock::now ();
    sending++;
  }

  /* Bytes of units that C may send now.  */
  static size_t
  due (const Connection &c)
  {
    std::chrono::duration<double> age = Clock::now () - c.began;
    size_t until = c.script.per_s == 0
                       ? max_bytes
                       : (size_t)(age.count () * c.script.per_s);

    return std::min (until, max_bytes) - std::min (c.sent, until);
  }

  /* Returns false when the connection is to be closed.  */
  bool
  write (int fd, Connection &c)
  {
    for (;;)
      {
        std::string piece = c.unsent;
        size_t n = due (c);
        ssize_t done;

        if (piece.empty () && c.sends && n > 0)
          {
            piece = c.script.unit.substr (c.sent % c.script.unit.size ());
            piece.resize (std::min (piece.size (), n));
          }
        if (piece.empty ())
          return true;
        done = send (fd, piece.data (), piece.size (), MSG_NOSIGNAL);
        if (done < 0)
          return errno == EAGAIN;
        if (!c.unsent.empty ())
          c.unsent.erase (0, (size_t)done);
        else
          {
            c.sent += (size_t)done;
            sent += (size_t)done;
          }
      }
  }

  /* Returns false when the connection is to be closed.  */
  bool
  read (int fd, Connection &c)
  {
    char buffer[4096];
    ssize_t n = recv (fd, buffer, sizeof buffer, 0);
    size_t size;

    if (n == 0 || (n < 0 && errno != EAGAIN))
      return false;
    if (n > 0)
      c.received.append (buffer, (size_t)n);
    size = request_size (c.received);
    if (size > 0)
      {
        handle (c, c.received.substr (0, size));
        c.received.erase (0, size);
      }
    return write (fd, c);
  }

  void
  run ()
  {
    while (!stop_)
      {
        std::vector<pollfd> fds = { { listener_.fd (), POLLIN, 0 } };
        int fd;

        for (auto &c : connections_)
          fds.push_back ({ c.first,
                           (short)(POLLIN
                                   | (c.second.sends && due (c.second) > 0
                                              && c.second.script.per_s == 0
                                          ? POLLOUT
                                          : 0)),
                           0 });
        poll (fds.data (), fds.size (), 10);
        while ((fd = listener_.accept ()) >= 0)
          connections_[fd];
        for (auto i = connections_.begin (); i != connections_.end ();)
          {
            if (read (i->first, i->second))
              {
                ++i;
                continue;
              }
            if (i->second.sends)
              sending--;
            close (i->first);
            i = connections_.erase (i);
          }
      }
  }

  Serve serve_;
  std::map<std::string, unsigned> runs_;
  std::map<int, Connection> connections_;
  std::mutex mutex_;
  std::atomic<bool> stop_{ false };
  std::thread thread_;
};

} // namespace gateway

#endif
