/* Small stand-ins for the scripts of this review: the platform's store,
   engines, clients, and a router as a separate process.  They speak what the
   users' pages say, over HTTP/1.1 on loopback addresses, with one thread for
   each connection.  They use nothing of the project's own code.  */

#ifndef MQ_REVIEW_STANDINS_H
#define MQ_REVIEW_STANDINS_H

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review
{

using Clock = std::chrono::steady_clock;

inline Clock::time_point
start_time ()
{
  static const Clock::time_point t = Clock::now ();

  return t;
}

/* Seconds since the start of the script.  */
inline double
now_s ()
{
  return std::chrono::duration<double> (Clock::now () - start_time ())
      .count ();
}

inline void
sleep_s (double s)
{
  if (s > 0)
    std::this_thread::sleep_for (std::chrono::duration<double> (s));
}

/* ---- The record.  */

class Record
{
public:
  static Record &
  get ()
  {
    static Record r;

    return r;
  }

  void
  open (const std::string &path)
  {
    file_ = std::fopen (path.c_str (), "w");
  }

  void
  line (const char *format, ...) __attribute__ ((format (printf, 2, 3)))
  {
    std::lock_guard<std::mutex> l (mutex_);
    va_list args;

    if (file_ == nullptr)
      return;
    std::fprintf (file_, "%8.3f ", now_s ());
    va_start (args, format);
    std::vfprintf (file_, format, args);
    va_end (args);
    std::fputc ('\n', file_);
    std::fflush (file_);
  }

private:
  std::mutex mutex_;
  FILE *file_ = nullptr;
};

#define RECORD(...) review::Record::get ().line (__VA_ARGS__)

/* ---- Sockets.  */

struct Address
{
  std::string ip;
  unsigned port = 0;

  std::string
  text () const
  {
    return ip + ":" + std::to_string (port);
  }

  sockaddr_in
  raw () const
  {
    sockaddr_in a = {};

    a.sin_family = AF_INET;
    a.sin_port = htons ((uint16_t)port);
    inet_pton (AF_INET, ip.c_str (), &a.sin_addr);
    return a;
  }
};

/* Listens at ADDRESS, on a free port if that is 0, which is then filled in.
   Returns the socket or -1.  */
inline int
listen_at (Address *address)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  sockaddr_in a = address->raw ();
  socklen_t size = sizeof a;

  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (sockaddr *)&a, size) < 0 || listen (fd, 1024) < 0
      || getsockname (fd, (sockaddr *)&a, &size) < 0)
    {
      close (fd);
      return -1;
    }
  address->port = ntohs (a.sin_port);
  return fd;
}

inline bool
send_all (int fd, const std::string &s)
{
  size_t at = 0;

  while (at < s.size ())
    {
      ssize_t n = send (fd, s.data () + at, s.size () - at, MSG_NOSIGNAL);

      if (n <= 0)
        return false;
      at += (size_t)n;
    }
  return true;
}

inline std::string
lower (std::string s)
{
  for (char &c : s)
    c = (char)tolower ((unsigned char)c);
  return s;
}

inline std::string
trim (const std::string &s)
{
  size_t a = s.find_first_not_of (" \t\r");
  size_t b = s.find_last_not_of (" \t\r");

  return a == std::string::npos ? "" : s.substr (a, b - a + 1);
}

/* A message with a head; names of headers are in lower case.  */
struct Message
{
  std::string first; /* The request or status line.  */
  std::map<std::string, std::string> headers;
  std::string body;

  std::string
  header (const std::string &name) const
  {
    auto i = headers.find (lower (name));

    return i == headers.end () ? "" : i->second;
  }
};

/* Reads messages from a socket.  */
class Reader
{
public:
  explicit Reader (int fd) : fd_ (fd) {}

  /* Reads at most LIMIT bytes more.  Returns false at the end.  */
  bool
  fill (size_t limit = 65536)
  {
    std::vector<char> b (limit);
    ssize_t n = recv (fd_, b.data (), b.size (), 0);

    error = n < 0 ? errno : 0;
    if (n <= 0)
      return false;
    buffer.append (b.data (), (size_t)n);
    return true;
  }

  bool
  head (Message *m)
  {
    size_t end;
    size_t at;

    while ((end = buffer.find ("\r\n\r\n")) == std::string::npos)
      if (!fill ())
        return false;
    std::string h = buffer.substr (0, end + 2);
    buffer.erase (0, end + 4);
    at = h.find ("\r\n");
    m->first = h.substr (0, at);
    m->headers.clear ();
    m->body.clear ();
    for (at += 2; at < h.size ();)
      {
        size_t stop = h.find ("\r\n", at);
        std::string l = h.substr (at, stop - at);
        size_t colon = l.find (':');

        if (colon != std::string::npos)
          m->headers[lower (l.substr (0, colon))]
              = trim (l.substr (colon + 1));
        at = stop + 2;
      }
    return true;
  }

  bool
  bytes (size_t n, std::string *out)
  {
    while (buffer.size () < n)
      if (!fill ())
        return false;
    out->append (buffer, 0, n);
    buffer.erase (0, n);
    return true;
  }

  bool
  chunks (std::string *out)
  {
    for (;;)
      {
        size_t end;

        while ((end = buffer.find ("\r\n")) == std::string::npos)
          if (!fill ())
            return false;
        size_t n = std::strtoul (buffer.c_str (), nullptr, 16);
        buffer.erase (0, end + 2);
        std::string part;
        if (!bytes (n + 2, &part))
          {
            out->append (part);
            return false;
          }
        out->append (part, 0, n);
        if (n == 0)
          return true;
      }
  }

  std::string buffer;
  int error = 0;

private:
  int fd_;
};

/* ---- Servers.  */

using Headers = std::vector<std::pair<std::string, std::string> >;

struct Request : Message
{
  std::string method, path, query;
  int fd = -1;

  std::string
  argument (const std::string &name) const
  {
    size_t at = 0;

    while (at < query.size ())
      {
        size_t stop = std::min (query.find ('&', at), query.size ());
        std::string p = query.substr (at, stop - at);

        if (p.compare (0, name.size () + 1, name + "=") == 0)
          return p.substr (name.size () + 1);
        at = stop + 1;
      }
    return "";
  }
};

inline bool
reply (int fd, unsigned status, const std::string &body,
       const Headers &headers = {})
{
  std::string h = "HTTP/1.1 " + std::to_string (status) + " Status\r\n";

  for (auto &p : headers)
    h += p.first + ": " + p.second + "\r\n";
  h += "Content-Length: " + std::to_string (body.size ()) + "\r\n\r\n";
  return send_all (fd, h + body);
}

/* An HTTP server.  The handler returns false to close the connection.  */
class Server
{
public:
  using Handler = std::function<bool (Request &)>;

  bool
  start (const std::string &ip, Handler handler)
  {
    address.ip = ip;
    handler_ = std::move (handler);
    fd_ = listen_at (&address);
    if (fd_ < 0)
      return false;
    if (body_bytes_per_s > 0)
      {
        int size = 65536;

        setsockopt (fd_, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
      }
    std::thread ([this] { accept_all (); }).detach ();
    return true;
  }

  Address address;
  /* Bytes of a body that are read in a second; 0: no limit.  With one, the
     system buffers little.  To be set before the start.  */
  double body_bytes_per_s = 0;
  /* Called for the head of each request, before its body is read.  */
  std::function<void (const Request &)> on_head;

private:
  void
  accept_all ()
  {
    for (;;)
      {
        int fd = accept4 (fd_, nullptr, nullptr, SOCK_CLOEXEC);
        int on = 1;

        if (fd < 0)
          return;
        setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::thread ([this, fd] { serve (fd); }).detach ();
      }
  }

  void
  serve (int fd)
  {
    Reader in (fd);
    Request r;

    r.fd = fd;
    while (in.head (&r))
      {
        size_t a = r.first.find (' ');
        size_t b = r.first.find (' ', a + 1);
        std::string target = r.first.substr (a + 1, b - a - 1);
        size_t mark = target.find ('?');

        r.method = r.first.substr (0, a);
        r.path = target.substr (0, mark);
        r.query = mark == std::string::npos ? "" : target.substr (mark + 1);
        if (on_head)
          on_head (r);
        if (lower (r.header ("transfer-encoding")) == "chunked"
                ? !in.chunks (&r.body)
                : !read_length (
                    &in,
                    std::strtoul (r.header ("content-length").c_str (),
                                  nullptr, 10),
                    &r.body))
          break;
        if (!handler_ (r))
          break;
      }
    close (fd);
  }

  bool
  read_length (Reader *in, size_t size, std::string *out) const
  {
    double began = now_s ();

    while (body_bytes_per_s > 0 && in->buffer.size () < size)
      {
        sleep_s ((double)in->buffer.size () / body_bytes_per_s
                 - (now_s () - began));
        if (!in->fill (std::min<size_t> (size - in->buffer.size (), 65536)))
          return false;
      }
    return in->bytes (size, out);
  }

  Handler handler_;
  int fd_ = -1;
};

/* ---- The platform's store.  */

class Store
{
public:
  bool
  start (const std::string &ip)
  {
    return server.start (ip, [this] (Request &r) { return handle (r); });
  }

  /* Writes the object NAME of KIND, as the operator or an engine does.  */
  void
  put (const std::string &kind, const std::string &name,
       const std::string &spec)
  {
    std::lock_guard<std::mutex> l (mutex_);

    write (kind, name, spec);
  }

  void
  remove (const std::string &kind, const std::string &name)
  {
    std::lock_guard<std::mutex> l (mutex_);
    auto i = objects_[kind].find (name);

    if (i == objects_[kind].end ())
      return;
    revision_++;
    events_.push_back ({ revision_, kind,
                         "{\"deleted\":true,\"object\":"
                             + object (name, i->second.spec, revision_)
                             + "}" });
    objects_[kind].erase (i);
    changed_.notify_all ();
  }

  Server server;

private:
  struct Object
  {
    std::string spec;
    uint64_t revision;
  };

  struct Event
  {
    uint64_t revision;
    std::string kind, text;
  };

  static std::string
  object (const std::string &name, const std::string &spec, uint64_t revision)
  {
    return "{\"metadata\":{\"name\":\"" + name
           + "\",\"revision\":" + std::to_string (revision)
           + ",\"created\":1,\"finalizers\":[],\"deleting\":false},\"spec\":"
           + spec + ",\"status\":null}";
  }

  void
  write (const std::string &kind, const std::string &name,
         const std::string &spec)
  {
    revision_++;
    objects_[kind][name] = { spec, revision_ };
    events_.push_back ({ revision_, kind,
                         "{\"deleted\":false,\"object\":"
                             + object (name, spec, revision_) + "}" });
    changed_.notify_all ();
  }

  /* The value of the member "spec" of BODY, whose last member it is.  */
  static std::string
  spec_of (const std::string &body)
  {
    size_t at = body.find ("\"spec\":");

    return at == std::string::npos
               ? "null"
               : body.substr (at + 7, body.rfind ('}') - at - 7);
  }

  static std::string
  name_of (const std::string &body)
  {
    size_t at = body.find ("\"name\":\"");
    size_t from = at + 8;

    return at == std::string::npos
               ? ""
               : body.substr (from, body.find ('"', from) - from);
  }

  bool
  handle (Request &r)
  {
    const std::string base = "/objects/";
    std::string kind;
    std::string name;
    size_t slash;

    if (r.path.compare (0, base.size (), base) != 0)
      return reply (r.fd, 404, "");
    kind = r.path.substr (base.size ());
    slash = kind.find ('/');
    if (slash != std::string::npos)
      {
        name = kind.substr (slash + 1);
        kind.resize (slash);
      }
    if (r.method == "GET" && !r.argument ("watch").empty ())
      return watch (r, kind);
    if (r.method == "GET" && name.empty ())
      return list (r, kind);
    return change (r, kind, name);
  }

  bool
  list (Request &r, const std::string &kind)
  {
    std::string s = "{\"items\":[";
    std::unique_lock<std::mutex> l (mutex_);
    bool first = true;

    for (auto &p : objects_[kind])
      {
        s += (first ? "" : ",")
             + object (p.first, p.second.spec, p.second.revision);
        first = false;
      }
    s += "],\"hasMore\":false,\"at\":" + std::to_string (revision_) + "}";
    l.unlock ();
    return reply (r.fd, 200, s, json ());
  }

  bool
  watch (Request &r, const std::string &kind)
  {
    uint64_t from = std::strtoull (r.argument ("watch").c_str (), nullptr, 10);
    double wait = std::atof (r.argument ("waitMs").c_str ()) / 1000;
    std::unique_lock<std::mutex> l (mutex_);
    std::string s;

    changed_.wait_for (l, std::chrono::duration<double> (wait), [&] {
      s.clear ();
      for (auto &e : events_)
        if (e.kind == kind && e.revision > from)
          s += (s.empty () ? "" : ",") + e.text;
      return !s.empty ();
    });
    s = "{\"events\":[" + s + "],\"at\":" + std::to_string (revision_) + "}";
    l.unlock ();
    return reply (r.fd, 200, s, json ());
  }

  bool
  change (Request &r, const std::string &kind, std::string name)
  {
    std::unique_lock<std::mutex> l (mutex_);
    bool exists;

    if (name.empty ())
      name = name_of (r.body);
    exists = objects_[kind].count (name) > 0;
    if (r.method == "POST" && !exists)
      write (kind, name, spec_of (r.body));
    else if (r.method == "PUT" && exists)
      write (kind, name, spec_of (r.body));
    else if (r.method != "GET" || !exists)
      {
        l.unlock ();
        return reply (r.fd, r.method == "POST" ? 409 : 404, "{}", json ());
      }
    const Object &o = objects_[kind][name];
    std::string s = object (name, o.spec, o.revision);
    l.unlock ();
    return reply (r.fd, r.method == "POST" ? 201 : 200, s, json ());
  }

  static Headers
  json ()
  {
    return { { "Content-Type", "application/json" } };
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::map<std::string, Object> > objects_;
  std::vector<Event> events_;
  uint64_t revision_ = 100;
};

/* ---- Engines.  */

/* An engine, or an instance of a plain service.  It writes its entry about
   every HEARTBEAT_S, and serves requests for its health by itself.  */
class Engine
{
public:
  static constexpr double HEARTBEAT_S = 1.2;

  bool
  start (Store *store, const std::string &ip, const std::string &id,
         const std::string &service, const std::string &zone,
         Server::Handler handler)
  {
    this->id = id;
    service_ = service;
    zone_ = zone;
    if (!server.start (ip, [this, handler] (Request &r) {
          if (r.path == "/health")
            return reply (r.fd, 200, "",
                          { { "Marjoramquay-Instance-Id", this->id } });
          std::string expected = r.header ("marjoramquay-expect-instance");
          if (!expected.empty () && expected != this->id)
            return reply (r.fd, 421, "",
                          { { "Marjoramquay-Instance-Id", this->id } });
          return handler (r);
        }))
      return false;
    std::thread ([this, store] {
      for (unsigned n = 1;; n++)
        {
          store->put ("servers", this->id, entry (n));
          sleep_s (HEARTBEAT_S);
        }
    }).detach ();
    return true;
  }

  /* The headers of an answer of this engine to R.  */
  Headers
  signed_headers (const Request &r) const
  {
    return { { "Marjoramquay-Attempt-Id",
               r.header ("marjoramquay-attempt-id") },
             { "Marjoramquay-Response-Signature", "signed-by-" + id } };
  }

  std::string id;
  std::string more; /* Further members of its entry.  */
  Server server;

private:
  std::string
  entry (unsigned n) const
  {
    return "{\"service\":\"" + service_ + "\",\"address\":\""
           + server.address.text () + "\",\"zone\":\"" + zone_
           + "\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
             "\"coldRemainingMs\":0"
           + more + ",\"sequence\":" + std::to_string (n) + "}";
  }

  std::string service_, zone_;
};

/* ---- Clients.  */

struct Answer
{
  bool connected = false;
  bool complete = false; /* The whole answer, by its own framing.  */
  unsigned status = 0;   /* 0: no head.  */
  std::string signature;
  std::string framing; /* "length", "chunked" or "close".  */
  std::string connection;
  std::string body;
  int error = 0; /* errno at the end of the connection; 0: closed.  */
  double sent_s = 0, ended_s = 0;
};

/* A client's connection.  */
class Connection
{
public:
  ~Connection () { shut (); }

  bool
  open (const Address &to, int receive_buffer = 0)
  {
    sockaddr_in a = to.raw ();
    timeval limit = { 40, 0 };
    int on = 1;

    fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receive_buffer > 0)
      setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                  sizeof receive_buffer);
    setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (connect (fd, (sockaddr *)&a, sizeof a) == 0)
      return true;
    shut ();
    return false;
  }

  void
  shut ()
  {
    if (fd >= 0)
      close (fd);
    fd = -1;
  }

  bool
  send_request (const std::string &method, const std::string &path,
                const Headers &headers, const std::string &body)
  {
    std::string h = method + " " + path
                    + " HTTP/1.1\r\nHost: api.example\r\n"
                      "Marjoramquay-Credential: key-1\r\n";

    for (auto &p : headers)
      h += p.first + ": " + p.second + "\r\n";
    if (method != "GET")
      h += "Content-Length: " + std::to_string (body.size ()) + "\r\n";
    return send_all (fd, h + "\r\n" + body);
  }

  /* Reads the answer, with at most BYTES_PER_S of its body a second unless
     that is 0.  */
  Answer
  read_answer (double bytes_per_s = 0)
  {
    Answer a;
    Reader in (fd);
    Message m;

    a.connected = true;
    if (in.head (&m))
      {
        a.status = (unsigned)std::atoi (m.first.c_str () + 9);
        a.signature = m.header ("marjoramquay-response-signature");
        a.connection = m.header ("connection");
        if (lower (m.header ("transfer-encoding")) == "chunked")
          {
            a.framing = "chunked";
            a.complete = in.chunks (&a.body);
          }
        else if (!m.header ("content-length").empty ())
          {
            a.framing = "length";
            read_length (&in,
                         std::strtoul (m.header ("content-length").c_str (),
                                       nullptr, 10),
                         bytes_per_s, &a);
          }
        else
          {
            a.framing = "close";
            while (in.fill ())
              ;
            a.body = in.buffer;
            a.complete = in.error == 0;
          }
      }
    a.error = in.error;
    a.ended_s = now_s ();
    return a;
  }

  int fd = -1;

private:
  static void
  read_length (Reader *in, size_t size, double bytes_per_s, Answer *a)
  {
    double began = now_s ();
    size_t got = in->buffer.size ();

    while (got < size)
      {
        if (bytes_per_s > 0)
          sleep_s ((double)got / bytes_per_s - (now_s () - began));
        if (!in->fill (std::min<size_t> (size - got, 65536)))
          break;
        got = in->buffer.size ();
      }
    a->body = in->buffer.substr (0, size);
    a->complete = got >= size;
  }
};

/* ---- Routers.  */

/* A router as a process of its own, started by the command of the deploy file
   with the settings of its template.  */
class Router
{
public:
  std::string name, ip, zone;
  std::vector<std::string> seeds;
  pid_t pid = -1;
  static constexpr unsigned FRONT = 8227, READY = 8220, CONTROL = 8229,
                            DIRECTORY = 8224, INTERNAL = 7340;

  Address
  front () const
  {
    return { ip, FRONT };
  }

  /* Fills in TEMPLATE for this router.  */
  std::string
  settings (const std::string &text, const Address &store) const
  {
    auto at = [this] (unsigned port) {
      return quote (ip + ":" + std::to_string (port));
    };
    std::string list;
    std::map<std::string, std::string> values;
    std::string out;
    size_t from = 0;

    for (auto &s : seeds)
      list += (list.empty () ? "" : ",")
              + quote (s + ":" + std::to_string (CONTROL));
    values = { { "node|json", quote (name) },
               { "region|json", quote ("region-1") },
               { "zone|json", quote (zone) },
               { "listen.front|json", at (FRONT) },
               { "listen.ready|json", at (READY) },
               { "listen.directory|json", at (DIRECTORY) },
               { "listen.control|json", at (CONTROL) },
               { "ip", ip },
               { "internalPorts.0", std::to_string (INTERNAL) },
               { "platform.address", store.text () },
               { "seeds|json", "[" + list + "]" },
               { "limits.maxFds", "4200" },
               { "limits.cpuShare", "0.25" },
               { "limits.cores", "1" },
               { "bounds.graceS", "8" },
               { "bounds.retryBudgetRatio", "0.2" },
               { "bounds.budgetSlack", "196" },
               { "bounds.budgetWindowS", "10" } };
    for (;;)
      {
        size_t open = text.find ("{{", from);
        size_t stop = text.find ("}}", from);

        if (open == std::string::npos || stop == std::string::npos)
          return out + text.substr (from);
        out += text.substr (from, open - from)
               + values[text.substr (open + 2, stop - open - 2)];
        from = stop + 2;
      }
  }

  /* Starts the process, whose settings are in FILE and whose output goes to
     LOG.  */
  bool
  start (const std::string &file, const std::string &log)
  {
    pid = fork ();
    if (pid == 0)
      {
        int out = ::open (log.c_str (), O_WRONLY | O_CREAT | O_APPEND, 0644);

        prctl (PR_SET_PDEATHSIG, SIGKILL); /* It ends with the script.  */
        dup2 (out, 1);
        dup2 (out, 2);
        setenv ("MARJORAMQUAY_NODE_FILE", file.c_str (), 1);
        execl ("target/marjoramquay", "target/marjoramquay", (char *)nullptr);
        _exit (127);
      }
    return pid > 0;
  }

  /* Returns true once the process has ended by itself or by a signal, with
     its status in *STATUS.  */
  bool
  has_ended (int *status)
  {
    if (pid <= 0 || waitpid (pid, status, WNOHANG) != pid)
      return false;
    pid = -1;
    return true;
  }

  void
  end ()
  {
    if (pid <= 0)
      return;
    kill (pid, SIGKILL);
    waitpid (pid, nullptr, 0);
    pid = -1;
  }

  bool
  is_ready () const
  {
    Connection c;

    return c.open ({ ip, READY }) && c.send_request ("GET", "/ready", {}, "")
           && c.read_answer ().status == 200;
  }

  bool
  wait_ready (double seconds) const
  {
    double until = now_s () + seconds;

    while (now_s () < until)
      {
        if (is_ready ())
          return true;
        sleep_s (0.05);
      }
    return false;
  }

private:
  static std::string
  quote (const std::string &s)
  {
    return "\"" + s + "\"";
  }
};

/* ---- Scripts.  */

/* Exit statuses of a script.  */
enum
{
  HELD = 0,
  BROKEN = 1,
  NOT_RUN = 2
};

/* What each script has: its record, a temporary folder, a store, and a block
   of loopback addresses that no other run uses.  */
class Script
{
public:
  explicit Script (const std::string &record)
  {
    char path[] = "/tmp/mq-review-XXXXXX";
    const char *t = std::getenv ("TROUBLE");

    start_time ();
    signal (SIGPIPE, SIG_IGN);
    Record::get ().open (record);
    temporary = mkdtemp (path) != nullptr ? path : "";
    trouble = t == nullptr || std::string (t) != "0";
    base_ = "127." + std::to_string (20 + getpid () / 250 % 200) + "."
            + std::to_string (1 + getpid () % 250) + ".";
    RECORD ("trouble=%d", trouble);
  }

  /* Ends the routers and this process, whose threads still run, with
     STATUS.  */
  [[noreturn]] void
  finish (int status)
  {
    const char *keep = std::getenv ("KEEP");

    for (auto &r : routers)
      r->end ();
    if (!temporary.empty () && keep == nullptr)
      (void)!std::system (("rm -rf " + temporary).c_str ());
    RECORD ("exit status %d", status);
    _exit (status);
  }

  std::string
  ip (unsigned n) const
  {
    return base_ + std::to_string (n);
  }

  /* Adds and starts a router.  Returns null if it could not be started.  */
  Router *
  add_router (const std::string &name, const std::string &zone,
              const std::vector<std::string> &seeds)
  {
    std::unique_ptr<Router> r (new Router);

    r->name = name;
    r->zone = zone;
    r->ip = ip (10 + (unsigned)routers.size ());
    r->seeds = seeds;
    routers.push_back (std::move (r));
    return start_router (routers.back ().get ()) ? routers.back ().get ()
                                                 : nullptr;
  }

  bool
  start_router (Router *r)
  {
    std::string file = temporary + "/" + r->name + ".json";
    std::string text = read_file ("deploy/node.template");
    FILE *f = std::fopen (file.c_str (), "w");

    if (f == nullptr || text.empty ())
      return false;
    text = r->settings (text, store.server.address);
    std::fwrite (text.data (), 1, text.size (), f);
    std::fclose (f);
    RECORD ("router %s starts at %s", r->name.c_str (), r->ip.c_str ());
    return r->start (file, temporary + "/" + r->name + ".log");
  }

  static std::string
  read_file (const std::string &path)
  {
    FILE *f = std::fopen (path.c_str (), "r");
    std::string s;
    char b[4096];
    size_t n;

    if (f == nullptr)
      return s;
    while ((n = std::fread (b, 1, sizeof b, f)) > 0)
      s.append (b, n);
    std::fclose (f);
    return s;
  }

  bool trouble = true;
  std::string temporary;
  Store store;
  std::vector<std::unique_ptr<Router> > routers;

private:
  std::string base_;
};

inline std::string
route_text (const std::string &name, const std::string &prefix,
            const std::string &kind, const std::string &service,
            unsigned timeout_ms, const std::string &more = "")
{
  return "{\"name\":\"" + name
         + "\",\"host\":\"api.example\",\"pathPrefix\":\"" + prefix
         + "\",\"kind\":\"" + kind
         + "\",\"timeoutMs\":" + std::to_string (timeout_ms)
         + ",\"targetLatencyMs\":500,\"priority\":1,\"service\":\"" + service
         + "\",\"maxAttempts\":2,\"allowAnonymous\":false" + more + "}";
}

/* A desired state with ROUTES and SERVICES, lists without their brackets.  */
inline std::string
configuration (unsigned version, const std::string &routes,
               const std::string &services)
{
  return "{\"version\":" + std::to_string (version) + ",\"routes\":[" + routes
         + "],\"services\":[" + services
         + "],\"limits\":{\"maxHeaderBytes\":16384,"
           "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
           "\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"tenant-1\","
           "\"apiKeys\":[\"key-1\"],\"priority\":1}]}";
}

inline std::string
plain_service_text (const std::string &name)
{
  return "{\"name\":\"" + name
         + "\",\"healthCheck\":\"/health\",\"maxConnections\":96,"
           "\"protocol\":\"h1\",\"tls\":false}";
}

} // namespace review

#endif
