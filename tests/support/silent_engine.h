/* An engine stand-in that falls silent for a while and goes on.

   Its time is its own: it stands still while the engine is silent, so that
   each run goes on exactly where it was.  Open connections stay open all the
   while.  What new connections meet meanwhile is its door.  */

#ifndef MQ_TESTS_SILENT_ENGINE_H
#define MQ_TESTS_SILENT_ENGINE_H

#include "entry_text.h"
#include "gateway_standins.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <list>

namespace gateway
{

/* What new connections to a silent engine meet.  */
enum class Door
{
  Unanswered, /* No packet is answered.  */
  Reset,      /* They are accepted and reset.  */
  Refused,    /* Nothing listens.  */
  Held,       /* They are accepted, and nothing is read from them.  */
  Reports     /* Reports are answered; other requests wait.  */
};

inline const char *
door_name (Door door)
{
  const char *names[]
      = { "unanswered", "reset", "refused", "held", "reports" };

  return names[(int)door];
}

class SilentEngine
{
public:
  /* What the engine does with a request that has arrived.  */
  enum class Conduct
  {
    Runs,
    Refuses, /* It replies that it did not run.  */
    Breaks   /* It closes the connection in the middle of the response.  */
  };

  SilentEngine (std::string id, std::string service, std::string domain,
                unsigned first = 0, unsigned end = 0)
      : id (std::move (id)), service (std::move (service)),
        domain (std::move (domain)), first (first), end (end)
  {
    listen_again ();
  }

  SilentEngine (const SilentEngine &) = delete;
  SilentEngine &operator= (const SilentEngine &) = delete;

  ~SilentEngine ()
  {
    crash ();
    ::close (holder_);
  }

  /* The entry in the platform's list.  END is 0 for a plain service.  */
  std::string
  entry () const
  {
    std::string s = "{\"service\":\"" + service + "\",\"address\":\"" + address
                    + "\",\"zone\":\"" + domain
                    + "\",\"slots\":" + std::to_string (slots)
                    + ",\"state\":\"ready\"" + gateway::entry_common;

    if (end > 0)
      s += gateway::engine_members ("big", first, end);
    return s + "}";
  }

  /* Write nothing more, and read nothing but requests for reports at DOOR ==
     Reports, which name the addresses of `stalled'.  */
  void
  fall_silent (Door door)
  {
    silent_ = true;
    door_ = door;
    if (door == Door::Refused)
      close_listener ();
    else if (door == Door::Unanswered)
      fill_queue ();
  }

  void
  go_on ()
  {
    if (!silent_)
      return;
    silent_ = false;
    stalled.clear ();
    if (listener_ < 0)
      listen_again ();
    for (int fd : fillers_)
      ::close (fd);
    fillers_.clear ();
    if (listener_ >= 0)
      listen (listener_, queue_size);
  }

  bool
  is_silent () const
  {
    return silent_;
  }

  /* Close all sockets, as the end of the process would.  */
  void
  crash ()
  {
    for (auto &c : connections_)
      ::close (c.fd);
    connections_.clear ();
    for (int fd : fillers_)
      ::close (fd);
    fillers_.clear ();
    close_listener ();
  }

  /* Let SECONDS of the engine's time pass, unless it is silent, and handle
     what has arrived.  */
  void
  poll (double seconds)
  {
    accept_new ();
    if (!silent_)
      now_ += seconds;
    for (auto i = connections_.begin (); i != connections_.end ();)
      {
        bool open = serve (*i);

        if (!open)
          ::close (i->fd);
        i = open ? std::next (i) : connections_.erase (i);
      }
  }

  /* How often the request RUN_ID was begun here.  */
  unsigned
  count_runs (const std::string &run_id) const
  {
    auto i = runs.find (run_id);

    return i != runs.end () ? i->second : 0;
  }

  std::string id, service, domain, address;
  unsigned first, end; /* Its layers.  */
  unsigned slots = 8;
  Conduct conduct = Conduct::Runs;
  unsigned last_event = 40; /* Of a stream.  */
  double first_s = 0.05;    /* Time to the first event of a stream.  */
  double gap_s = 0.05;      /* Time between two events.  */
  double work_s = 0.05;     /* Time that a call takes.  */
  std::string padding;      /* Added to the data of each event.  */
  unsigned reports = 0;     /* Answered.  */
  unsigned finished = 0;    /* Whole responses.  */
  unsigned lost = 0;        /* Runs whose connection the router closed.  */
  std::vector<std::string> stalled;     /* Addresses that reports name.  */
  std::map<std::string, unsigned> runs; /* Request id -> runs.  */

private:
  static constexpr int queue_size = 128;

  struct Connection
  {
    explicit Connection (int fd) : fd (fd) {}

    int fd;
    std::string received;
    std::string unsent; /* Rest of what the socket had no room for.  */
    bool running = false, stream = false;
    bool begun = false; /* The head of the response is written.  */
    double due = 0;     /* Engine's time of the next step.  */
    unsigned next = 0;  /* Next event.  */
    std::string run_id;
  };

  static sockaddr_in
  loopback (unsigned port)
  {
    sockaddr_in at = {};

    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
    at.sin_port = htons ((uint16_t)port);
    return at;
  }

  /* Returns a socket that is bound to the port, or to a new one.  */
  int
  bind_port ()
  {
    sockaddr_in at = loopback (port_);
    socklen_t size = sizeof at;
    int on = 1;
    int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

    setsockopt (fd, SOL_SOCKET, SO_REUSEPORT, &on, sizeof on);
    EXPECT_EQ (bind (fd, reinterpret_cast<sockaddr *> (&at), size), 0) << id;
    getsockname (fd, reinterpret_cast<sockaddr *> (&at), &size);
    port_ = ntohs (at.sin_port);
    return fd;
  }

  /* Listen at the port of before, if there was one.  */
  void
  listen_again ()
  {
    listener_ = bind_port ();
    /* Keeps the port while nothing listens.  */
    if (holder_ < 0)
      holder_ = bind_port ();
    listen (listener_, queue_size);
    address = "127.0.0.1:" + std::to_string (port_);
  }

  void
  close_listener ()
  {
    if (listener_ >= 0)
      ::close (listener_);
    listener_ = -1;
  }

  /* Fill the queue of connections, so that further packets get no answer.  */
  void
  fill_queue ()
  {
    sockaddr_in at = loopback (port_);

    listen (listener_, 0);
    for (int i = 0; i < 4; i++)
      {
        fillers_.push_back (
            socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
        (void)connect (fillers_.back (), reinterpret_cast<sockaddr *> (&at),
                       sizeof at);
      }
  }

  void
  accept_new ()
  {
    linger hard = { 1, 0 };
    int fd;

    if (listener_ < 0
        || (silent_ && (door_ == Door::Unanswered || door_ == Door::Held)))
      return;
    while ((fd = accept4 (listener_, nullptr, nullptr, SOCK_NONBLOCK)) >= 0)
      if (silent_ && door_ == Door::Reset)
        {
          setsockopt (fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
          ::close (fd);
        }
      else
        connections_.emplace_back (fd);
  }

  void
  write (Connection &c, const std::string &bytes)
  {
    ssize_t n;

    c.unsent += bytes;
    n = send (c.fd, c.unsent.data (), c.unsent.size (), MSG_NOSIGNAL);
    if (n > 0)
      c.unsent.erase (0, (size_t)n);
  }

  /* Returns the value of the header NAME of REQUEST, or "".  */
  static std::string
  header (const std::string &request, const std::string &name)
  {
    size_t at = request.find ("\r\n" + name + ": ");

    if (at == std::string::npos)
      return "";
    at += name.size () + 4;
    return request.substr (at, request.find ("\r\n", at) - at);
  }

  /* Take the first whole request off C.  Returns "" when there is none.  */
  static std::string
  take_request (Connection &c)
  {
    size_t head = c.received.find ("\r\n\r\n");
    std::string request, length;

    if (head == std::string::npos)
      return "";
    head += 4;
    length = header (c.received, "Content-Length");
    if (!length.empty ())
      head += std::stoul (length);
    if (c.received.size () < head)
      return "";
    request = c.received.substr (0, head);
    c.received.erase (0, head);
    return request;
  }

  /* Read from C and step its run.  Returns false to close it.  */
  bool
  serve (Connection &c)
  {
    char buffer[4096];
    ssize_t n = 0;

    if (silent_ && door_ != Door::Reports)
      return true;
    while ((n = recv (c.fd, buffer, sizeof buffer, 0)) > 0)
      c.received.append (buffer, (size_t)n);
    if (n == 0 || errno != EAGAIN)
      {
        lost += c.running;
        return false;
      }
    if (!c.running)
      {
        std::string request = take_request (c);

        if (!request.empty ())
          return begin (c, request);
      }
    if (!c.unsent.empty ())
      write (c, "");
    while (!silent_ && c.running && c.unsent.empty () && c.due <= now_)
      if (!step (c))
        return false;
    return true;
  }

  /* Begin REQUEST, which arrived on C.  Returns false to close C.  */
  bool
  begin (Connection &c, const std::string &request)
  {
    std::string from = header (request, "Last-Event-Id");

    if (request.find ("GET /report ") == 0)
      {
        reports++;
        write (c, report ());
        return true;
      }
    c.run_id = header (request, "Marjoramquay-Attempt-Id");
    if (request.find ("POST /order ") == 0 || conduct == Conduct::Refuses)
      {
        write (c, "HTTP/1.1 503 Busy\r\nMarjoramquay-Not-Executed: 1\r\n"
                  "Marjoramquay-Attempt-Id: "
                      + c.run_id + "\r\nContent-Length: 0\r\n\r\n");
        return true;
      }
    c.running = true;
    c.begun = false;
    c.stream = request.find ("/stream") != std::string::npos;
    c.next = from.empty () ? 1 : (unsigned)std::stoul (from) + 1;
    c.due = now_ + (c.stream ? first_s : work_s);
    runs[c.run_id]++;
    if (conduct != Conduct::Breaks)
      return true;
    write (c, head (c));
    return false;
  }

  static std::string
  head (const Connection &c)
  {
    return "HTTP/1.1 200 OK\r\nMarjoramquay-Response-Signature: s\r\n"
           "Marjoramquay-Attempt-Id: "
           + c.run_id
           + (c.stream ? "\r\nContent-Type: text/event-stream"
                         "\r\nTransfer-Encoding: chunked\r\n\r\n"
                       : "\r\nContent-Length: 4\r\n\r\n");
  }

  static std::string
  chunk (const std::string &bytes)
  {
    char size[32];

    snprintf (size, sizeof size, "%zx\r\n", bytes.size ());
    return size + bytes + "\r\n";
  }

  /* Write what is due of C's response.  Returns false to close C.  */
  bool
  step (Connection &c)
  {
    std::string event;

    if (!c.stream)
      {
        write (c, head (c) + "done");
        c.running = false;
        finished++;
        return true;
      }
    event = Upstream::event (c.next);
    event.insert (event.size () - 2, padding);
    write (c, (c.begun ? "" : head (c)) + chunk (event));
    c.begun = true;
    c.due += gap_s;
    if (c.next++ < last_event)
      return true;
    write (c, "0\r\n\r\n");
    c.running = false;
    finished++;
    return true;
  }

  std::string
  report () const
  {
    std::string list;
    std::string body
        = "{\"busy\":false,\"sequence\":0,\"waiting\":0,\"running\":0,"
          "\"kvUsed\":0,\"kvTotal\":1,\"layers\":{\"from\":"
          + std::to_string (first) + ",\"target\":" + std::to_string (end)
          + "},\"stalled\":[";

    for (auto &a : stalled)
      list += std::string (list.empty () ? "" : ",")
              + "{\"id\":\"x\",\"address\":\"" + a + "\"}";
    body += list + "]}";
    return "HTTP/1.1 200 OK\r\nContent-Length: "
           + std::to_string (body.size ()) + "\r\n\r\n" + body;
  }

  bool silent_ = false;
  Door door_ = Door::Held;
  double now_ = 1; /* The engine's time.  */
  unsigned port_ = 0;
  int listener_ = -1, holder_ = -1;
  std::vector<int> fillers_; /* Connections that fill the queue.  */
  std::list<Connection> connections_;
};

} // namespace gateway

#endif
