#include "engine.h"
#include "answer.h"

#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <list>
#include <map>

namespace soak
{

namespace
{

volatile sig_atomic_t stopped = 0;

struct Connection
{
  int fd = -1;
  std::string in, out;
  Answer answer;
  bool is_answering = false;
  size_t step = 0;
  double next_at = 0; /* Of the step, or of the end.  */
  bool is_closed = false;
};

class Engine
{
public:
  explicit Engine (const EngineOptions &o) : o_ (o), faults_ (o.seed) {}

  int run ();

private:
  void accept_all ();
  void read (Connection &c);
  void write (Connection &c);
  void advance (Connection &c);
  void handle (Connection &c, const Message &m);
  void report (Connection &c);
  void order (Connection &c, const Message &m);
  void reply (Connection &c, unsigned status, const std::string &headers,
              const std::string &body);
  void close_connection (Connection &c, bool reset);
  void send_line (const std::string &line);

  EngineOptions o_;
  Faults faults_;
  std::list<Connection> connections_;
  std::map<std::string, unsigned> tries_; /* Of each attempt.  */
  unsigned runs_ = 0, orders_ = 0, reports_ = 0;
  std::string layers_ = "\"from\":0,\"target\":80";
};

/* A line is shorter than PIPE_BUF, so that lines of engines do not mix.  */
void
Engine::send_line (const std::string &line)
{
  std::string s = line + "\n";

  if (::write (o_.reports, s.data (), s.size ()) != (ssize_t)s.size ())
    _exit (1); /* The soak has ended.  */
}

void
Engine::accept_all ()
{
  int fd;

  while ((fd = accept4 (o_.listener, nullptr, nullptr,
                        SOCK_NONBLOCK | SOCK_CLOEXEC))
         >= 0)
    {
      connections_.emplace_back ();
      connections_.back ().fd = fd;
    }
}

void
Engine::close_connection (Connection &c, bool reset)
{
  struct linger l = { 1, 0 };

  if (c.is_closed)
    return;
  if (reset)
    setsockopt (c.fd, SOL_SOCKET, SO_LINGER, &l, sizeof l);
  close (c.fd);
  c.is_closed = true;
}

void
Engine::reply (Connection &c, unsigned status, const std::string &headers,
               const std::string &body)
{
  c.out += "HTTP/1.1 " + std::to_string (status) + " Status\r\n" + headers
           + "Content-Length: " + std::to_string (body.size ()) + "\r\n\r\n"
           + body;
}

/* What an engine says about itself; every so often the answer is cut.  */
void
Engine::report (Connection &c)
{
  Random random (digest (o_.id + std::to_string (++reports_), o_.seed));

  reply (c, 200, "Content-Type: application/json\r\n",
         "{\"stage\":\"both\",\"busy\":false,\"sequence\":"
             + std::to_string (orders_)
             + ",\"waiting\":0,\"running\":0,\"kvUsed\":0,\"kvTotal\":100000,"
               "\"born\":"
             + std::to_string (o_.born_ms) + ",\"layers\":{" + layers_
             + ",\"version\":1},\"stalled\":[]}");
  if (!random.chance (0.1))
    return;
  c.out.resize (1 + random.below (c.out.size () - 1));
  write (c);
  close_connection (c, random.chance (0.5));
}

/* An engine of the soak accepts no order: it holds all layers for good.  */
void
Engine::order (Connection &c, const Message &)
{
  reply (c, 409, "", "");
}

void
Engine::handle (Connection &c, const Message &m)
{
  auto line = split (m.start);
  std::string expected = m.header ("marjoramquay-expect-instance");
  Run r;

  if (line.size () < 3 || line[1] == "/report")
    return report (c);
  if (line[1] == "/order")
    return order (c, m);
  if (line[1] == "/health")
    return reply (c, 200, "Marjoramquay-Instance-Id: " + o_.id + "\r\n", "");
  r.attempt = m.header ("marjoramquay-attempt-id");
  if (r.attempt.empty () || (!expected.empty () && expected != o_.id))
    return reply (c, r.attempt.empty () ? 400 : 421,
                  "Marjoramquay-Attempt-Id: " + r.attempt
                      + "\r\nMarjoramquay-Not-Executed: 1\r\n",
                  "");
  r.service = o_.service;
  r.engine = o_.id;
  r.method = line[0];
  r.target = line[1];
  r.body_digest = digest (m.body);
  r.signature = o_.id + "." + std::to_string (o_.born_ms) + "."
                + std::to_string (++runs_);
  r.first = 1;
  if (!m.header ("last-event-id").empty ())
    r.first = 1 + (unsigned)atoi (m.header ("last-event-id").c_str ());
  r.at = now_s ();
  Random random (digest (r.attempt + " " + o_.id + " "
                             + std::to_string (++tries_[r.attempt]),
                         o_.seed));
  r.plan = faults_.draw (random);
  c.answer = plan_answer (r, o_.is_model, o_.seed, random);
  send_line (run_to_line (c.answer.run));
  c.is_answering = true;
  c.step = 0;
  c.next_at = now_s () + c.answer.steps[0].delay_s;
}

void
Engine::write (Connection &c)
{
  ssize_t n;

  while (!c.is_closed && !c.out.empty ())
    {
      n = send (c.fd, c.out.data (), c.out.size (), MSG_NOSIGNAL);
      if (n <= 0)
        {
          if (errno != EAGAIN)
            close_connection (c, false);
          return;
        }
      c.out.erase (0, (size_t)n);
    }
}

/* Do what is due at C.  */
void
Engine::advance (Connection &c)
{
  while (!c.is_closed && c.is_answering && c.out.empty ()
         && now_s () >= c.next_at)
    {
      const Answer &a = c.answer;

      if (c.step < a.steps.size ())
        {
          c.out += a.steps[c.step++].bytes;
          write (c);
          if (c.step == a.steps.size () && c.out.empty ())
            send_line ("D " + a.run.attempt + " " + a.run.signature);
          c.next_at = now_s ()
                      + (c.step < a.steps.size () ? a.steps[c.step].delay_s
                                                  : a.end_delay_s);
          continue;
        }
      c.is_answering = false;
      if (a.end == Answer::End::Reset)
        send_line ("E " + a.run.attempt + " " + a.run.signature);
      if (a.end != Answer::End::Keep)
        close_connection (c, a.end == Answer::End::Reset);
    }
  while (!c.is_closed && !c.is_answering)
    {
      Message m = parse_message (c.in, false);

      if (m.state == Message::State::Bad)
        {
          send_line ("B " + o_.id);
          close_connection (c, true);
        }
      if (m.state != Message::State::Whole)
        break;
      c.in.erase (0, m.consumed);
      handle (c, m);
      write (c);
    }
}

void
Engine::read (Connection &c)
{
  char buffer[16384];
  ssize_t n;

  while ((n = recv (c.fd, buffer, sizeof buffer, 0)) > 0)
    c.in.append (buffer, (size_t)n);
  if (n == 0 || errno != EAGAIN)
    close_connection (c, false);
}

int
Engine::run ()
{
  while (!stopped || !connections_.empty ())
    {
      std::vector<struct pollfd> fds
          = { { o_.listener, (short)(stopped ? 0 : POLLIN), 0 } };
      double wait = 0.5;

      for (auto &c : connections_)
        {
          fds.push_back (
              { c.fd, (short)(POLLIN | (c.out.empty () ? 0 : POLLOUT)), 0 });
          if (c.is_answering && c.out.empty ())
            wait = std::min (wait, std::max (0.0, c.next_at - now_s ()));
        }
      if (poll (fds.data (), fds.size (), (int)(wait * 1000 + 0.999)) < 0
          && errno != EINTR)
        return 1;
      size_t i = 1;
      for (auto &c : connections_)
        {
          if (fds[i].revents & (POLLIN | POLLHUP | POLLERR))
            read (c);
          i++;
          write (c);
          advance (c);
          /* One that leaves ends what it has begun.  */
          if (stopped && !c.is_answering && c.out.empty ())
            close_connection (c, false);
        }
      connections_.remove_if ([] (Connection &c) { return c.is_closed; });
      if (fds[0].revents != 0)
        accept_all ();
    }
  return 0;
}

} // namespace

int
run_engine (const EngineOptions &options)
{
  signal (SIGTERM, [] (int) { stopped = 1; });
  signal (SIGINT, SIG_IGN); /* The soak ends its engines itself.  */
  return Engine (options).run ();
}

} // namespace soak
