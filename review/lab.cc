/* Stand-ins and checks of the review's scripts.

   One program plays the platform's store, engines, consumers and the part of
   the platform that starts and kills processes, all on loopback addresses.
   The routers under test are separate processes: the program of the deploy
   file with settings from its template.

   lab CASE RECORD    (environment: TROUBLE=0 leaves the disruption out)

   Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.  */

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace
{

using std::string;

constexpr int HELD = 0;
constexpr int BROKEN = 1;
constexpr int NOT_RUN = 2;

bool trouble = true;

/* ---- Time and record.  */

double
now_s ()
{
  using namespace std::chrono;
  static const auto start = steady_clock::now ();

  return duration<double> (steady_clock::now () - start).count ();
}

void
sleep_s (double s)
{
  std::this_thread::sleep_for (std::chrono::duration<double> (s));
}

std::mutex record_lock;
FILE *record_file;

__attribute__ ((format (printf, 1, 2))) void
record (const char *format, ...)
{
  std::lock_guard<std::mutex> hold (record_lock);
  va_list args;

  fprintf (record_file, "%9.3f ", now_s ());
  va_start (args, format);
  vfprintf (record_file, format, args);
  va_end (args);
  fputc ('\n', record_file);
  fflush (record_file);
}

/* ---- HTTP/1.1 on blocking sockets.  */

struct Message
{
  string line; /* Request or status line.  */
  std::vector<std::pair<string, string> > headers;
  string body;

  string
  get (const char *name) const
  {
    for (const auto &h : headers)
      if (strcasecmp (h.first.c_str (), name) == 0)
        return h.second;
    return "";
  }
  int
  status () const
  {
    return line.size () > 9 ? atoi (line.c_str () + 9) : 0;
  }
};

class Channel
{
public:
  explicit Channel (int fd) : fd_ (fd)
  {
    int on = 1;

    setsockopt (fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  Channel (const Channel &) = delete;
  Channel &operator= (const Channel &) = delete;
  ~Channel () { close (fd_); }

  static std::unique_ptr<Channel>
  connect_to (const string &ip, int port)
  {
    int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in a{};

    a.sin_family = AF_INET;
    a.sin_port = htons ((uint16_t)port);
    inet_pton (AF_INET, ip.c_str (), &a.sin_addr);
    if (connect (fd, (sockaddr *)&a, sizeof a) < 0)
      {
        close (fd);
        return nullptr;
      }
    return std::make_unique<Channel> (fd);
  }
  void
  set_timeout (double s)
  {
    timeval t = { (time_t)s, (suseconds_t)((s - (double)(time_t)s) * 1e6) };

    setsockopt (fd_, SOL_SOCKET, SO_RCVTIMEO, &t, sizeof t);
  }
  bool
  send (const string &text)
  {
    size_t at = 0;

    while (at < text.size ())
      {
        ssize_t n
            = ::send (fd_, text.data () + at, text.size () - at, MSG_NOSIGNAL);

        if (n <= 0)
          return false;
        at += (size_t)n;
      }
    return true;
  }
  /* Reads more bytes, at most LIMIT.  Returns false at the end, on an error
     and after the timeout.  */
  bool
  fill (size_t limit = 65536)
  {
    std::vector<char> block (limit);
    ssize_t n = recv (fd_, block.data (), block.size (), 0);

    if (n <= 0)
      {
        timed_out = n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
        return false;
      }
    buffer.append (block.data (), (size_t)n);
    return true;
  }
  bool
  read_head (Message *m)
  {
    size_t end;

    while ((end = buffer.find ("\r\n\r\n")) == string::npos)
      if (!fill ())
        return false;
    std::istringstream head (buffer.substr (0, end));
    string line;

    buffer.erase (0, end + 4);
    *m = Message ();
    std::getline (head, m->line);
    if (!m->line.empty () && m->line.back () == '\r')
      m->line.pop_back ();
    while (std::getline (head, line))
      {
        size_t colon = line.find (':');

        if (!line.empty () && line.back () == '\r')
          line.pop_back ();
        if (colon == string::npos)
          continue;
        size_t value = line.find_first_not_of (" \t", colon + 1);
        m->headers.emplace_back (line.substr (0, colon),
                                 value == string::npos ? ""
                                                       : line.substr (value));
      }
    return true;
  }
  bool
  read_body (Message *m)
  {
    if (!m->get ("Transfer-Encoding").empty ())
      return read_chunks (m);
    size_t length = strtoull (m->get ("Content-Length").c_str (), NULL, 10);

    while (buffer.size () < length)
      if (!fill ())
        return false;
    m->body = buffer.substr (0, length);
    buffer.erase (0, length);
    return true;
  }

  string buffer;
  bool timed_out = false;

private:
  bool
  read_line (string *line)
  {
    size_t end;

    while ((end = buffer.find ("\r\n")) == string::npos)
      if (!fill ())
        return false;
    *line = buffer.substr (0, end);
    buffer.erase (0, end + 2);
    return true;
  }
  bool
  read_chunks (Message *m)
  {
    string line;

    while (read_line (&line))
      {
        size_t n = strtoul (line.c_str (), NULL, 16);

        while (buffer.size () < n + 2)
          if (!fill ())
            return false;
        m->body += buffer.substr (0, n);
        buffer.erase (0, n + 2);
        if (n == 0)
          return true;
      }
    return false;
  }

  int fd_;
};

/* Serves each channel to IP in a thread of its own.  */
class Listener
{
public:
  Listener (const string &ip, std::function<void (Channel &)> serve)
  {
    int on = 1;
    sockaddr_in a{};
    socklen_t size = sizeof a;

    fd_ = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt (fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    a.sin_family = AF_INET;
    inet_pton (AF_INET, ip.c_str (), &a.sin_addr);
    if (bind (fd_, (sockaddr *)&a, sizeof a) < 0 || listen (fd_, 512) < 0)
      exit (NOT_RUN);
    getsockname (fd_, (sockaddr *)&a, &size);
    port = ntohs (a.sin_port);
    address = ip + ":" + std::to_string (port);
    std::thread ([this, serve] {
      int fd;

      while ((fd = accept4 (fd_, NULL, NULL, SOCK_CLOEXEC)) >= 0)
        std::thread ([fd, serve] {
          Channel c (fd);

          serve (c);
        }).detach ();
    }).detach ();
  }

  int port = 0;
  string address;

private:
  int fd_;
};

string
answer (int status, const string &headers, const string &body)
{
  return "HTTP/1.1 " + std::to_string (status) + " Status\r\n" + headers
         + "Content-Length: " + std::to_string (body.size ()) + "\r\n\r\n"
         + body;
}

/* ---- The platform's store.  */

class Store
{
public:
  explicit Store (const string &ip)
      : listener (ip, [this] (Channel &c) { serve (c); })
  {
  }

  /* What the operator, an engine or another writer puts.  */
  void
  put (const string &kind, const string &name, const string &spec)
  {
    std::lock_guard<std::mutex> hold (lock_);

    change (kind, name, spec, false);
  }
  void
  remove (const string &kind, const string &name)
  {
    std::lock_guard<std::mutex> hold (lock_);

    if (objects_[kind].count (name) > 0)
      change (kind, name, objects_[kind][name].spec, true);
  }

private:
  struct Object
  {
    uint64_t revision;
    string spec;
  };
  struct Change
  {
    uint64_t revision;
    string kind;
    string text; /* One element of "events".  */
  };

  static string
  object_text (const string &name, const Object &o)
  {
    return "{\"metadata\":{\"name\":\"" + name
           + "\",\"revision\":" + std::to_string (o.revision)
           + ",\"created\":1,\"finalizers\":[],\"deleting\":false},\"spec\":"
           + o.spec + ",\"status\":null}";
  }
  void
  change (const string &kind, const string &name, const string &spec,
          bool deleted)
  {
    Object o = { ++revision_, spec };

    if (deleted)
      objects_[kind].erase (name);
    else
      objects_[kind][name] = o;
    changes_.push_back (
        { revision_, kind,
          string ("{\"deleted\":") + (deleted ? "true" : "false")
              + ",\"object\":" + object_text (name, o) + "}" });
    changed_.notify_all ();
  }
  static string
  query (const string &target, const string &name)
  {
    size_t at = target.find ("?");

    while (at != string::npos)
      {
        size_t next = target.find ("&", at + 1);
        string part = target.substr (
            at + 1, next == string::npos ? next : next - at - 1);

        if (part.compare (0, name.size () + 1, name + "=") == 0)
          return part.substr (name.size () + 1);
        at = next;
      }
    return "";
  }
  string
  list (const string &kind)
  {
    string items;

    for (const auto &o : objects_[kind])
      items += (items.empty () ? "" : ",") + object_text (o.first, o.second);
    return "{\"items\":[" + items
           + "],\"hasMore\":false,\"at\":" + std::to_string (revision_) + "}";
  }
  string
  follow (const string &kind, uint64_t since, unsigned wait_ms,
          std::unique_lock<std::mutex> &hold)
  {
    string events;
    auto until = std::chrono::steady_clock::now ()
                 + std::chrono::milliseconds (wait_ms);

    do
      {
        events.clear ();
        for (const auto &c : changes_)
          if (c.revision > since && c.kind == kind)
            events += (events.empty () ? "" : ",") + c.text;
      }
    while (events.empty ()
           && changed_.wait_until (hold, until) == std::cv_status::no_timeout);
    return "{\"events\":[" + events + "],\"at\":" + std::to_string (revision_)
           + "}";
  }
  string
  write (const string &kind, const string &body)
  {
    static const string name_key = "\"name\":\"";
    static const string spec_key = "\"spec\":";
    size_t name = body.find (name_key);
    size_t spec = body.find (spec_key);

    if (name == string::npos || spec == string::npos)
      return answer (400, "", "{}");
    name += name_key.size ();
    spec += spec_key.size ();
    string text = body.substr (name, body.find ('"', name) - name);

    if (objects_[kind].count (text) > 0)
      return answer (409, "", object_text (text, objects_[kind][text]));
    change (kind, text, body.substr (spec, body.rfind ('}') - spec), false);
    return answer (201, "", object_text (text, objects_[kind][text]));
  }
  void
  serve (Channel &channel)
  {
    Message m;

    while (channel.read_head (&m) && channel.read_body (&m))
      {
        static const string root = "/objects/";
        size_t space = m.line.find (' ');
        string method = m.line.substr (0, space);
        string target
            = m.line.substr (space + 1, m.line.rfind (' ') - space - 1);
        string path = target.substr (0, target.find ('?'));
        string kind
            = path.size () > root.size () ? path.substr (root.size ()) : "";
        string since = query (target, "watch");
        string type = "Content-Type: application/json\r\n";
        string reply;
        std::unique_lock<std::mutex> hold (lock_);

        if (kind.find ('/') != string::npos)
          reply = answer (404, type, "{}");
        else if (method == "POST")
          reply = write (kind, m.body);
        else if (since.empty ())
          reply = answer (200, type, list (kind));
        else
          reply = answer (
              200, type,
              follow (kind, strtoull (since.c_str (), NULL, 10),
                      (unsigned)atoi (query (target, "waitMs").c_str ()),
                      hold));
        hold.unlock ();
        if (!channel.send (reply))
          return;
      }
  }

  std::mutex lock_;
  std::condition_variable changed_;
  uint64_t revision_ = 10;
  std::map<string, std::map<string, Object> > objects_;
  std::vector<Change> changes_;

public:
  Listener listener;
};

/* ---- Engines.  */

class Engine
{
public:
  Engine (const string &ip, const string &id)
      : id (id), listener (ip, [this] (Channel &c) { serve (c); })
  {
  }

  string
  entry (const char *state) const
  {
    return "{\"service\":\"app\",\"address\":\"" + listener.address
           + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":6,"
             "\"state\":\""
           + state + "\",\"coldRemainingMs\":0,\"sequence\":4}";
  }
  /* When the request ID arrived here, or -1.  */
  double
  arrived (const string &request)
  {
    std::lock_guard<std::mutex> hold (lock_);
    auto found = arrivals_.find (request);

    return found == arrivals_.end () ? -1 : found->second;
  }
  /* How many requests arrived after AT, and the last of these.  */
  size_t
  count_after (double at, double *last)
  {
    std::lock_guard<std::mutex> hold (lock_);
    size_t n = 0;

    for (const auto &a : arrivals_)
      if (a.second > at)
        {
          n++;
          *last = std::max (*last, a.second);
        }
    return n;
  }

  const string id;
  std::atomic<int> events{ 0 }; /* Above 0: the answer is a stream.  */

private:
  void
  serve (Channel &channel)
  {
    Message m;

    while (channel.read_head (&m))
      {
        string request = m.get ("Marjoramquay-Attempt-Id");
        string expected = m.get ("Marjoramquay-Expect-Instance");
        string own = "Marjoramquay-Instance-Id: " + id + "\r\n";
        bool other = !expected.empty () && expected != id;

        if (m.line.compare (0, 12, "GET /health ") == 0)
          {
            if (!channel.send (answer (200, own, "")))
              return;
            continue;
          }
        if (!other)
          note_arrival (request);
        if (!channel.read_body (&m))
          return;
        string echo = "Marjoramquay-Attempt-Id: " + request + "\r\n";

        if (other)
          {
            if (!channel.send (answer (
                    421, echo + own + "Marjoramquay-Not-Executed: 1\r\n", "")))
              return;
            continue;
          }
        record ("run      %s at %s: %s, %zu bytes of body", request.c_str (),
                id.c_str (), m.line.c_str (), m.body.size ());
        echo += "Marjoramquay-Response-Signature: 3e1b.07.5a2.600.0.c9f2\r\n";
        if (m.line.find (" /stream/") != string::npos
                ? !send_stream (channel, echo)
                : !channel.send (answer (200,
                                         echo + "Content-Type: text/plain\r\n",
                                         string (800, 'x'))))
          return;
      }
  }
  void
  note_arrival (const string &request)
  {
    std::lock_guard<std::mutex> hold (lock_);

    arrivals_[request] = now_s ();
  }
  bool
  send_stream (Channel &channel, const string &echo)
  {
    if (!channel.send ("HTTP/1.1 200 OK\r\n" + echo
                       + "Content-Type: text/event-stream\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n"))
      return false;
    for (int i = 1; i <= events; i++)
      {
        string e = "id: " + std::to_string (i) + "\ndata: " + string (60, 'y')
                   + "\n\n";
        char size[32];

        snprintf (size, sizeof size, "%zx\r\n", e.size ());
        if (!channel.send (size + e + "\r\n"))
          return false;
        sleep_s (0.005);
      }
    return channel.send ("0\r\n\r\n");
  }

  std::mutex lock_;
  std::map<string, double> arrivals_;

public:
  Listener listener;
};

/* ---- The platform: settings, processes and their memory.  */

string folder; /* Temporary.  */

int
free_port (const string &ip)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in a{};
  socklen_t size = sizeof a;

  a.sin_family = AF_INET;
  inet_pton (AF_INET, ip.c_str (), &a.sin_addr);
  if (bind (fd, (sockaddr *)&a, sizeof a) < 0)
    exit (NOT_RUN);
  getsockname (fd, (sockaddr *)&a, &size);
  close (fd);
  return ntohs (a.sin_port);
}

bool
port_is_free (const string &ip, int port)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in a{};

  a.sin_family = AF_INET;
  a.sin_port = htons ((uint16_t)port);
  inet_pton (AF_INET, ip.c_str (), &a.sin_addr);
  bool free = bind (fd, (sockaddr *)&a, sizeof a) == 0;
  close (fd);
  return free;
}

/* Address number N of this run; the metrics port is fixed by the deploy file,
   so each router has an address of its own.  */
string
own_ip (int n)
{
  static int net = -1;

  if (net < 0)
    for (net = getpid () % 200 + 20;
         !port_is_free ("127.90." + std::to_string (net) + ".1", 9464); net++)
      if (net > 250)
        exit (NOT_RUN);
  return "127.90." + std::to_string (net) + "." + std::to_string (n);
}

/* Figures of a site's sheet and of its site file.  */
struct Site
{
  const char *max_fds;
  const char *cpu_share;
  const char *budget_slack;
  unsigned call_deadline_ms;
  unsigned call_timeout_ms;
};

const Site fieldline = { "8192", "0.5", "348", 1500, 800 };
const Site halvorsen = { "4200", "0.25", "196", 4000, 2000 };
constexpr unsigned STREAM_DEADLINE_MS = 20000;

class Router
{
public:
  Router (const Site &site, const string &name, const string &ip,
          const Store &store, const string &seed_ip, int seed_port)
      : name (name), ip (ip)
  {
    front = free_port (ip);
    ready = free_port (ip);
    control = seed_port > 0 && seed_ip == ip ? seed_port : free_port (ip);
    auto at = [&] (int port) { return ip + ":" + std::to_string (port); };
    string seed = (seed_port > 0 ? seed_ip : ip) + ":"
                  + std::to_string (seed_port > 0 ? seed_port : control);

    fields_ = { { "node", name },
                { "region", "region-1" },
                { "zone", "zone-a" },
                { "listen.front", at (front) },
                { "listen.ready", at (ready) },
                { "listen.directory", at (free_port (ip)) },
                { "listen.control", at (control) },
                { "ip", ip },
                { "internalPorts.0", std::to_string (free_port (ip)) },
                { "platform.address", store.listener.address },
                { "seeds", "[\"" + seed + "\"]" },
                { "limits.maxFds", site.max_fds },
                { "limits.cpuShare", site.cpu_share },
                { "limits.cores", "1" },
                { "bounds.graceS", "8" },
                { "bounds.retryBudgetRatio", "0.2" },
                { "bounds.budgetSlack", site.budget_slack },
                { "bounds.budgetWindowS", "10" } };
  }
  ~Router () { stop (); }

  void
  start ()
  {
    string path = folder + "/" + name + ".settings";
    string log = folder + "/" + name + ".log";

    std::ofstream (path) << fill_template ();
    pid = fork ();
    if (pid == 0)
      {
        string node = "MARJORAMQUAY_NODE_FILE=" + path;
        char home[] = "HOME=/tmp";
        char lang[] = "LANG=C";
        char search[] = "PATH=/usr/bin:/bin";
        char *environment[] = { &node[0], home, lang, search, NULL };
        char program[] = "target/marjoramquay";
        char *arguments[] = { program, NULL };
        int fd = open (log.c_str (), O_WRONLY | O_CREAT | O_APPEND, 0600);

        prctl (PR_SET_PDEATHSIG, SIGKILL);
        dup2 (fd, STDOUT_FILENO);
        dup2 (fd, STDERR_FILENO);
        execve (program, arguments, environment);
        _exit (127);
      }
    record ("start    %s pid=%d front=%s:%d", name.c_str (), (int)pid,
            ip.c_str (), front);
  }
  /* Sends SIGNAL and, if that ends the process, waits for its end.  */
  void
  kill_with (int signal)
  {
    record ("signal   %s %s", name.c_str (), strsignal (signal));
    kill (pid, signal);
    if (signal == SIGKILL)
      has_ended (true);
  }
  bool
  has_ended (bool wait = false)
  {
    int status;

    std::lock_guard<std::mutex> hold (lock_);
    if (pid <= 0)
      return true;
    if (waitpid (pid, &status, wait ? 0 : WNOHANG) != pid)
      return false;
    record ("ended    %s status=%d signal=%d", name.c_str (),
            WIFEXITED (status) ? WEXITSTATUS (status) : -1,
            WIFSIGNALED (status) ? WTERMSIG (status) : 0);
    pid = 0;
    return true;
  }
  void
  stop ()
  {
    if (!has_ended ())
      kill_with (SIGKILL);
  }
  bool
  is_ready () const
  {
    auto c = Channel::connect_to (ip, ready);
    Message m;

    if (c == nullptr)
      return false;
    c->set_timeout (1);
    return c->send ("GET /ready HTTP/1.1\r\nHost: " + ip + "\r\n\r\n")
           && c->read_head (&m) && m.status () == 200;
  }
  bool
  await_ready (double seconds) const
  {
    double until = now_s () + seconds;

    while (now_s () < until)
      {
        if (is_ready ())
          return true;
        sleep_s (0.1);
      }
    return false;
  }

  const string name;
  const string ip;
  int front;
  int ready;
  int control;
  std::atomic<pid_t> pid{ 0 };

private:
  string
  fill_template () const
  {
    std::ifstream file ("deploy/node.template");
    std::stringstream text;
    string out;
    string rest;

    text << file.rdbuf ();
    rest = text.str ();
    if (rest.empty ())
      exit (NOT_RUN);
    for (size_t open; (open = rest.find ("{{")) != string::npos;)
      {
        size_t close = rest.find ("}}", open);
        string key = rest.substr (open + 2, close - open - 2);
        size_t bar = key.find ("|json");
        auto found = fields_.find (key.substr (0, bar));

        if (found == fields_.end ())
          {
            record ("no value for {{%s}}", key.c_str ());
            exit (NOT_RUN);
          }
        bool list = !found->second.empty () && found->second[0] == '[';

        out += rest.substr (0, open);
        out += bar == string::npos || list ? found->second
                                           : "\"" + found->second + "\"";
        rest.erase (0, close + 2);
      }
    return out + rest;
  }

  std::map<string, string> fields_;
  std::mutex lock_;
};

/* Starts ROUTER and waits until it is ready, and then for stableWindowMs.  */
void
start_in_touch (Router &router)
{
  router.start ();
  if (router.await_ready (15))
    return;
  record ("%s is not ready", router.name.c_str ());
  exit (NOT_RUN);
}

string
desired_state (const Site &site)
{
  auto route = [&] (const string &name, const string &prefix,
                    const string &kind_, unsigned ms, const string &more) {
    return "{\"name\":\"" + name
           + "\",\"host\":\"desk.example\",\"pathPrefix\":\"" + prefix
           + "\",\"kind\":\"" + kind_
           + "\",\"timeoutMs\":" + std::to_string (ms)
           + ",\"targetLatencyMs\":300,\"priority\":1,\"service\":\"app\","
             "\"maxAttempts\":1,\"allowAnonymous\":true"
           + more + "}";
  };

  return "{\"version\":7,\"routes\":["
         + route ("r-1", "/call/", "unsafe", site.call_timeout_ms, "") + ","
         + route ("r-2", "/stream/", "streaming", 20000,
                  ",\"resumable\":false,\"gapTargetMs\":200")
         + "],\"services\":[{\"name\":\"app\",\"healthCheck\":\"/health\","
           "\"maxConnections\":96,\"protocol\":\"h1\",\"tls\":false}],"
           "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
           "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
}

/* ---- Consumers.  */

string
request_head (const string &target, const string &id, unsigned deadline_ms,
              const string &headers)
{
  return "POST " + target + " HTTP/1.1\r\nHost: desk.example\r\n"
         + "Marjoramquay-Attempt-Id: " + id
         + "\r\nMarjoramquay-Time-Budget-Ms: " + std::to_string (deadline_ms)
         + "\r\n" + headers + "Content-Length: 3\r\n\r\n";
}

enum class Outcome
{
  ANSWERED,
  CLOSED, /* The channel ended without a whole answer.  */
  TIMED_OUT,
  NO_CHANNEL
};

struct Result
{
  Outcome outcome = Outcome::NO_CHANNEL;
  int status = 0;
  size_t bytes = 0; /* Of the body.  */
};

/* Sends HEAD and BODY on C and reads the answer.  */
Result
ask (Channel &c, const string &id, const string &head, const string &body)
{
  static const char *const names[]
      = { "answered", "channel closed", "timed out", "no channel" };
  Result r;
  Message m;

  record ("sent     %s, %zu bytes of head, %zu of body", id.c_str (),
          head.size (), body.size ());
  if (c.send (head + body) && c.read_head (&m))
    {
      r.status = m.status ();
      r.outcome = c.read_body (&m) ? Outcome::ANSWERED
                  : c.timed_out    ? Outcome::TIMED_OUT
                                   : Outcome::CLOSED;
      r.bytes = m.body.size ();
    }
  else
    r.outcome = c.timed_out ? Outcome::TIMED_OUT : Outcome::CLOSED;
  record ("consumer %s: %s, status %d, %zu bytes", id.c_str (),
          names[(int)r.outcome], r.status, r.bytes);
  return r;
}

/* ---- The cases.  */

/* Another writer puts an entry with a field of another type: "version" is a
   nested object.  Then an engine says that it drains.  */
int
case_entry ()
{
  const double drain_s = 3.0;  /* drainMs */
  const double window_s = 4.0; /* stableWindowMs */
  Store store (own_ip (1));
  Engine leaving (own_ip (1), "i-10");
  Engine staying (own_ip (1), "i-11");
  Router a (fieldline, "front-a", own_ip (2), store, "", 0);
  Router b (fieldline, "front-b", own_ip (3), store, a.ip, a.control);
  std::atomic<bool> done{ false };
  std::vector<std::thread> consumers;
  std::atomic<int> answered{ 0 };
  string nested = "\"v1\"";

  store.put ("config", "main", desired_state (fieldline));
  store.put ("servers", leaving.id, leaving.entry ("ready"));
  store.put ("servers", staying.id, staying.entry ("ready"));
  start_in_touch (a);
  start_in_touch (b);
  sleep_s (window_s);
  for (int i = 0; i < 30; i++)
    nested = "{\"of\":" + nested + "}";
  if (trouble)
    {
      record ("another writer puts servers/i-99, its field version nested 30"
              " deep");
      store.put ("servers", "i-99",
                 "{\"service\":\"app\",\"address\":\"" + own_ip (1) + ":"
                     + std::to_string (free_port (own_ip (1)))
                     + "\","
                       "\"zone\":\"zone-a\",\"version\":"
                     + nested
                     + ",\"slots\":6,\"state\":\"ready\","
                       "\"coldRemainingMs\":0,\"sequence\":4}");
    }
  sleep_s (2);
  for (Router *r : { &a, &b })
    consumers.emplace_back ([r, &done, &answered] {
      auto c = Channel::connect_to (r->ip, r->front);

      for (int i = 0; !done && c != nullptr; i++)
        {
          string id = r->name + "-" + std::to_string (i);

          c->set_timeout (5);
          if (ask (
                  *c, id,
                  request_head ("/call/x", id, fieldline.call_deadline_ms, ""),
                  "abc")
                  .outcome
              == Outcome::ANSWERED)
            answered++;
          else
            c = Channel::connect_to (r->ip, r->front);
          sleep_s (0.12); /* The site sends 16.8 a second.  */
        }
    });
  sleep_s (2);
  store.put ("servers", leaving.id, leaving.entry ("draining"));
  double told = now_s ();

  record ("the store acknowledges: %s is draining", leaving.id.c_str ());
  sleep_s (drain_s + 4);
  done = true;
  for (auto &c : consumers)
    c.join ();
  double last = 0;
  size_t late = leaving.count_after (told + drain_s, &last);

  record ("%d answered; %zu requests reached %s later than drainMs (%.0f ms)"
          " after that, the last %.0f ms after it",
          answered.load (), late, leaving.id.c_str (), drain_s * 1000,
          late > 0 ? (last - told) * 1000 : 0);
  a.kill_with (SIGKILL);
  b.kill_with (SIGKILL);
  a.start ();
  b.start ();
  for (const Router *r : { &a, &b })
    record ("%s, started again: %s within 10 s", r->name.c_str (),
            r->await_ready (10) ? "ready" : "NOT ready");
  if (answered < 60)
    return NOT_RUN;
  return late > 0 ? BROKEN : HELD;
}

/* Consumers send heads within maxHeaderBytes.  */
int
case_head ()
{
  const size_t head_limit = 16384; /* maxHeaderBytes */
  Store store (own_ip (1));
  Engine engine (own_ip (1), "i-30");
  Router a (halvorsen, "front-a", own_ip (2), store, "", 0);
  int unanswered = 0;
  int answered = 0;

  engine.events = 10;
  store.put ("config", "main", desired_state (halvorsen));
  store.put ("servers", engine.id, engine.entry ("ready"));
  start_in_touch (a);
  sleep_s (4);
  for (int i = 0; i < 24; i++)
    {
      bool stream = i % 2 == 1;
      unsigned deadline_ms
          = stream ? STREAM_DEADLINE_MS : halvorsen.call_deadline_ms;
      const char *target = stream ? "/stream/x" : "/call/x";
      const char *field
          = stream ? "Marjoramquay-Prompt-Prefix: " : "X-Form-State: ";
      /* 15,850 to 15,995 bytes, or half of that.  */
      size_t size = trouble ? 15850 + (size_t)i * 5 : 8000 + (size_t)i * 5;
      string small = "small-" + std::to_string (i);
      string large = "large-" + std::to_string (i);
      auto c = Channel::connect_to (a.ip, a.front);
      string value;
      string head;

      /* The site sends 5.44 calls a second.  */
      sleep_s (0.3);
      if (c == nullptr)
        return NOT_RUN;
      c->set_timeout (5);
      if (ask (*c, small,
               request_head ("/call/x", small, halvorsen.call_deadline_ms, ""),
               "abc")
              .status
          != 200)
        return NOT_RUN;
      size_t rest = size
                    - request_head (target, large, deadline_ms,
                                    field + string ("\r\n"))
                          .size ();

      while (value.size () < rest)
        value += stream ? "5c1e07a2:8," : "session=5c1e07a2; ";
      value.resize (rest, '0');
      value.back () = '0';
      head = request_head (target, large, deadline_ms, field + value + "\r\n");
      if (head.size () > head_limit)
        return NOT_RUN;
      Result r = ask (*c, large, head, "abc");

      if (r.outcome == Outcome::ANSWERED && r.status == 200)
        answered++;
      else if (r.outcome == Outcome::CLOSED && engine.arrived (large) >= 0)
        {
          unanswered++;
          record ("LOST     %s was run", large.c_str ());
        }
    }
  record ("%d answered, %d run and closed without an answer", answered,
          unanswered);
  return unanswered > 3 ? BROKEN : HELD;
}

/* Removes the temporary folder.  A router ends with the thread that started
   it.  */
void
remove_folder ()
{
  string clean = "rm -rf '" + folder + "'";

  (void)!system (clean.c_str ());
}

} // namespace

int
main (int argc, char **argv)
{
  static const std::map<string, int (*) ()> cases
      = { { "entry", case_entry }, { "head", case_head } };
  const char *off = getenv ("TROUBLE");
  const char *base = getenv ("TMPDIR");
  string pattern = string (base != NULL ? base : "/tmp") + "/review.XXXXXX";
  int result;

  if (argc != 3 || cases.count (argv[1]) == 0
      || (record_file = fopen (argv[2], "w")) == NULL)
    return NOT_RUN;
  if (mkdtemp (&pattern[0]) == NULL)
    return NOT_RUN;
  folder = pattern;
  atexit (remove_folder);
  signal (SIGPIPE, SIG_IGN);
  trouble = off == NULL || strcmp (off, "0") != 0;
  record ("case %s, %s the disruption", argv[1], trouble ? "with" : "without");
  result = cases.at (argv[1]) ();
  record ("result %d: %s", result,
          result == BROKEN ? "the rule was broken"
          : result == HELD ? "the rule held"
                           : "the case could not run");
  remove_folder ();
  fflush (NULL);
  _exit (result);
}
