#include "client.h"

#include "../raw_socket.hh"

#include <cerrno>

namespace soak
{

/* Patience for a plain request and for a stream, in seconds.  */
static constexpr double plain_deadline_s = 4, stream_deadline_s = 10;
/* The timeouts of the routes, as the configuration has them.  */
static constexpr double plain_timeout_s = 3, stream_timeout_s = 10;
static constexpr unsigned tries_max = 4;
/* Of the clients, those that ask the directory.  */
static constexpr double directory_share = 0.5;
/* PROTOCOL.md: the share of the time left that Retry-After is obeyed for.  */
static constexpr double retry_after_share = 1.0 / 3;

Client::Client (struct ev_loop *loop, unsigned number, uint64_t seed,
                const ClientPort &port)
    : loop_ (loop), number_ (number), seed_ (seed),
      random_ (digest ("client " + std::to_string (number), seed)),
      port_ (port)
{
  ev_init (&io_, on_io);
  io_.data = this;
  is_impatient_ = random_.chance (0.2);
  next_at_ = now_s () + random_.between (0, 0.5);
  if (port.has_directory
      && Random (digest ("uses directory " + std::to_string (number), seed))
             .chance (directory_share))
    directory_
        = std::make_unique<Directory> (loop, number, seed, port.routers);
}

Client::~Client () { close_connection (); }

bool
Client::is_busy () const
{
  return is_waiting_;
}

void
Client::close_connection ()
{
  if (fd_ < 0)
    return;
  ev_io_stop (loop_, &io_);
  close (fd_);
  fd_ = -1;
  in_.clear ();
  out_.clear ();
}

bool
Client::open_connection ()
{
  do
    router_ = (unsigned)random_.below (port_.routers.n_routers ());
  while (router_ == avoid_ && port_.routers.n_routers () > 1);
  if (directory_ != nullptr)
    router_ = directory_->choose (avoid_);
  fd_ = Socket::connecting ((uint16_t)port_.routers.port_of (router_))
            .release ();
  if (fd_ < 0)
    return false;
  has_used_ = false;
  send_error_ = 0;
  ev_io_set (&io_, fd_, EV_READ | EV_WRITE);
  ev_io_start (loop_, &io_);
  return true;
}

void
Client::begin_job (double now)
{
  static const char *const paths[]
      = { "/safe/", "/unsafe/", "/once/", "/stream/" };
  double draw = random_.between (0, 1);
  size_t size;

  job_ = Job ();
  job_.kind = draw < 0.3   ? Kind::Safe
              : draw < 0.6 ? Kind::Unsafe
              : draw < 0.8 ? Kind::Stream
                           : Kind::Resumable;
  job_.method
      = job_.kind == Kind::Safe && random_.chance (0.6) ? "GET" : "POST";
  const char *path = paths[(int)job_.kind];
  if (job_.kind == Kind::Safe && random_.chance (0.15))
    path = "/extra1/";
  job_.target = std::string (path) + "x"
                + std::to_string (random_.below (1000)) + "?q=1";
  if (job_.method == "POST")
    {
      size = random_.below (1500);
      while (job_.body.size () < size)
        job_.body += (char)('A' + random_.below (26));
      job_.is_chunked = random_.chance (0.3);
    }
  bool streams = job_.kind == Kind::Stream || job_.kind == Kind::Resumable;
  job_.timeout_s = streams ? stream_timeout_s : plain_timeout_s;
  job_.deadline = now + (streams ? stream_deadline_s : plain_deadline_s);
  has_job_ = true;
}

std::string
Client::request_text () const
{
  char size[32];
  int left_ms = (int)((job_.deadline - now_s ()) * 1000);
  std::string s = job_.method + " " + job_.target + " HTTP/1.1\r\n"
                  + "Host: x.example\r\nMarjoramquay-Attempt-Id: "
                  + attempt_.id + "\r\nMarjoramquay-Time-Budget-Ms: "
                  + std::to_string (std::max (left_ms, 1))
                  + "\r\nMarjoramquay-Credential: key-1\r\n";

  if (job_.kind == Kind::Stream || job_.kind == Kind::Resumable)
    s += "Marjoramquay-Model: m\r\nMarjoramquay-Token-Counts: 100,60\r\n"
         "Marjoramquay-Prompt-Prefix: aa:60,"
         + std::to_string (1000 + number_) + ":40\r\n";
  if (job_.first > 1)
    s += "Last-Event-Id: " + std::to_string (job_.first - 1) + "\r\n";
  if (job_.is_chunked)
    {
      s += "Transfer-Encoding: chunked\r\n\r\n";
      if (!job_.body.empty ())
        {
          snprintf (size, sizeof size, "%zx\r\n", job_.body.size ());
          s += size + job_.body + "\r\n";
        }
      return s + "0\r\n\r\n";
    }
  if (job_.method == "POST")
    s += "Content-Length: " + std::to_string (job_.body.size ()) + "\r\n";
  return s + "\r\n" + job_.body;
}

void
Client::begin_attempt (double now)
{
  /* A retry uses a new connection.  */
  if (job_.tries > 0)
    close_connection ();
  attempt_ = Attempt ();
  attempt_.id = "c" + std::to_string (number_) + "-"
                + std::to_string (job_.number) + "-"
                + std::to_string (++job_.tries);
  attempt_.kind = job_.kind;
  attempt_.method = job_.method;
  attempt_.target = job_.target;
  attempt_.body_digest = digest (job_.body);
  attempt_.first = job_.first;
  attempt_.timeout_s = job_.timeout_s;
  attempt_.sent_at = now;
  leave_at_ = random_.chance (0.06) ? now + random_.between (0.001, 0.5) : 0;
  is_waiting_ = true;
  bool is_open = fd_ >= 0 || open_connection ();
  attempt_.router = router_;
  attempt_.is_kept = is_open && has_used_;
  port_.on_sent (attempt_);
  if (!is_open)
    {
      end_attempt (Attempt::End::NotConnected);
      return;
    }
  out_ = request_text ();
  has_used_ = true;
  ev_io_stop (loop_, &io_);
  ev_io_set (&io_, fd_, EV_READ | EV_WRITE);
  ev_io_start (loop_, &io_);
}

void
Client::flush ()
{
  ssize_t n;

  while (!out_.empty ())
    {
      n = send (fd_, out_.data (), out_.size (), MSG_NOSIGNAL);
      if (n < 0 && errno != EAGAIN)
        {
          send_error_ = errno;
          out_.clear ();
        }
      if (n <= 0)
        break;
      out_.erase (0, (size_t)n);
      attempt_.sent_at = now_s ();
    }
  if (out_.empty ())
    {
      ev_io_stop (loop_, &io_);
      ev_io_set (&io_, fd_, EV_READ);
      ev_io_start (loop_, &io_);
    }
}

void
Client::receive ()
{
  char buffer[16384];
  bool in_order = false, is_closed = false, is_refused;
  ssize_t n;

  while ((n = recv (fd_, buffer, sizeof buffer, 0)) > 0)
    in_.append (buffer, (size_t)n);
  if (n == 0)
    {
      is_closed = true;
      in_order = send_error_ == 0;
    }
  else if (errno != EAGAIN)
    is_closed = true;
  is_refused = send_error_ == ECONNREFUSED || (n < 0 && errno == ECONNREFUSED);
  if (!is_waiting_)
    {
      if (!in_.empty ())
        port_.on_unasked (attempt_.id, in_);
      if (is_closed || !in_.empty ())
        close_connection ();
      return;
    }
  Message m = parse_message (in_, true);
  bool broken_event
      = m.header ("content-type") == "text/event-stream" && !m.body.empty ()
        && m.body.compare (m.body.size ()
                               - std::min<size_t> (2, m.body.size ()),
                           2, "\n\n")
               != 0;
  attempt_.answer = m;
  if (is_refused)
    end_attempt (Attempt::End::NotConnected);
  else if (m.state == Message::State::Bad)
    end_attempt (Attempt::End::Malformed);
  else if (m.state == Message::State::Whole)
    end_attempt (Attempt::End::Answered);
  else if (is_closed && in_order && m.to_close && !broken_event)
    end_attempt (Attempt::End::Answered);
  else if (is_closed)
    end_attempt (in_.empty () ? Attempt::End::Closed : Attempt::End::Cut);
}

void
Client::on_event (int events)
{
  if (events & EV_WRITE)
    flush ();
  if (fd_ >= 0 && (events & EV_READ))
    receive ();
}

void
Client::on_io (struct ev_loop *, ev_io *io, int events)
{
  static_cast<Client *> (io->data)->on_event (events);
}

/* Decide whether the request is sent again, and when.  */
void
Client::plan_retry (const Attempt &a)
{
  const Message &m = a.answer;
  double now = now_s (), left = job_.deadline - now;
  bool is_answered = a.end == Attempt::End::Answered;
  bool promised = is_answered
                  && (m.status == 429 || m.status == 503 || m.status == 408
                      || m.status == 421);
  bool is_final
      = is_answered
        && (m.status / 100 == 2 || m.status == 400 || m.status == 401
            || m.status == 404 || m.status == 413 || m.status == 431);
  bool repeatable = job_.kind == Kind::Safe || job_.kind == Kind::Resumable;
  double pause = random_.between (0.01, 0.1);

  next_at_ = now + random_.between (0.01, 0.3);
  has_job_ = false;
  if (is_final || a.end == Attempt::End::Left || job_.tries >= tries_max
      || left < 0.2
      || !(repeatable || promised || a.end == Attempt::End::NotConnected))
    return;
  if (job_.kind == Kind::Resumable)
    for (size_t at = 0; (at = m.body.find ("\n\n", at)) != std::string::npos;
         at += 2)
      job_.first++;
  if (job_.first > events_of (request_of (a.id), seed_))
    return;
  if (promised && !is_impatient_ && !m.header ("retry-after").empty ())
    pause = std::min (atof (m.header ("retry-after").c_str ()),
                      left * retry_after_share);
  has_job_ = true;
  next_at_ = now + pause;
}

void
Client::end_attempt (Attempt::End end)
{
  std::string rest;
  bool keep = end == Attempt::End::Answered && !attempt_.answer.to_close
              && attempt_.answer.header ("connection") != "close";

  is_waiting_ = false;
  attempt_.end = end;
  attempt_.ended_at = now_s ();
  attempt_.router = router_;
  if (end == Attempt::End::Answered)
    {
      if (!attempt_.answer.to_close)
        rest = in_.substr (attempt_.answer.consumed);
      avoid_ = ~0u;
    }
  else if (end != Attempt::End::Left)
    avoid_ = router_;
  in_.clear ();
  if (!keep)
    close_connection ();
  Attempt ended = attempt_;
  port_.on_end (ended);
  if (!rest.empty ())
    {
      port_.on_unasked (ended.id, rest);
      close_connection ();
    }
  plan_retry (ended);
  attempt_.answer = Message ();
}

void
Client::tick (double now, bool may_begin)
{
  if (directory_ != nullptr)
    directory_->tick (now, may_begin);
  if (is_waiting_)
    {
      if (leave_at_ > 0 && now >= leave_at_)
        end_attempt (Attempt::End::Left);
      else if (now >= job_.deadline)
        end_attempt (Attempt::End::TimedOut);
      return;
    }
  if (directory_ != nullptr && !directory_->lists (router_))
    close_connection ();
  if (now < next_at_ || (!may_begin && !has_job_))
    return;
  if (!has_job_)
    {
      unsigned number = job_.number + 1;

      begin_job (now);
      job_.number = number;
    }
  begin_attempt (now);
}

} // namespace soak
