#include "directory.h"

#include "../raw_socket.hh"

#include <algorithm>
#include <cerrno>
#include <regex>

namespace soak
{

/* PROTOCOL.md: the time for one router, the part of `ttlS' that counts, and
   how much longer some clients keep an answer.  */
static constexpr double look_up_s = 1;
static constexpr unsigned ttl_max_s = 5;
static constexpr double long_share = 3;
/* From a look-up that failed to the next one.  */
static constexpr double again_s = 0.2;

bool
directory_answer_parse (const std::string &text, std::vector<unsigned> &ports,
                        unsigned &ttl_s)
{
  static const std::regex whole (
      "\\{\"addresses\":\\[((?:\"127\\.0\\.0\\.1:[0-9]{1,5}\",?)*)\\],"
      "\"ttlS\":([0-9]{1,5})\\}\\s*");
  static const std::regex address ("\"127\\.0\\.0\\.1:([0-9]+)\"");
  std::smatch m;

  ports.clear ();
  if (!std::regex_match (text, m, whole))
    return false;
  const std::string list = m[1];
  ttl_s = (unsigned)std::stoul (m[2]);
  for (std::sregex_iterator i (list.begin (), list.end (), address), end;
       i != end; ++i)
    ports.push_back ((unsigned)std::stoul ((*i)[1]));
  return true;
}

Directory::Directory (struct ev_loop *loop, unsigned client, uint64_t seed,
                      const DirectoryPort &port)
    : loop_ (loop),
      random_ (digest ("directory " + std::to_string (client), seed)),
      port_ (port), share_of_ttl_ (random_.chance (0.2) ? long_share : 1)
{
  ev_init (&io_, on_io);
  io_.data = this;
}

Directory::~Directory ()
{
  if (fd_ < 0)
    return;
  ev_io_stop (loop_, &io_);
  close (fd_);
}

bool
Directory::lists (unsigned router) const
{
  return routers_.empty () || routers_.count (router) > 0;
}

unsigned
Directory::choose (unsigned avoid)
{
  std::vector<unsigned> choices;
  unsigned n = port_.n_routers ();

  for (unsigned i = 0; i < n; i++)
    if (lists (i) && i != avoid)
      choices.push_back (i);
  for (unsigned i = 0; choices.empty () && i < n; i++)
    if (i != avoid || n == 1)
      choices.push_back (i);
  return choices[random_.below (choices.size ())];
}

void
Directory::end (bool is_answered, const std::string &wrong)
{
  ev_io_stop (loop_, &io_);
  close (fd_);
  fd_ = -1;
  in_.clear ();
  out_.clear ();
  port_.on_end (is_answered, wrong);
}

/* Take over what the answer M says.  Returns what is wrong with it.  */
std::string
Directory::take (const Message &m)
{
  std::vector<unsigned> ports;
  std::set<unsigned> routers;
  unsigned ttl_s = 0, n = port_.n_routers ();

  if (!directory_answer_parse (m.body, ports, ttl_s))
    return "no answer of a directory: " + m.body;
  for (unsigned p : ports)
    {
      unsigned i = 0;

      while (i < n && port_.port_of (i) != p)
        i++;
      if (i == n)
        return "lists port " + std::to_string (p) + ", which is no router's";
      if (!routers.insert (i).second)
        return "lists port " + std::to_string (p) + " twice";
    }
  /* An answer without addresses counts as a failure.  */
  if (routers.empty ())
    return "";
  routers_ = routers;
  ask_at_ = now_s () + share_of_ttl_ * std::min (ttl_s, ttl_max_s);
  return "";
}

void
Directory::on_event (int events)
{
  char buffer[4096];
  ssize_t n;

  if (events & EV_WRITE)
    {
      n = send (fd_, out_.data (), out_.size (), MSG_NOSIGNAL);
      if (n > 0)
        out_.erase (0, (size_t)n);
      if (out_.empty ())
        {
          ev_io_stop (loop_, &io_);
          ev_io_set (&io_, fd_, EV_READ);
          ev_io_start (loop_, &io_);
        }
      else if (n < 0 && errno != EAGAIN)
        {
          end (false, "");
          return;
        }
    }
  while ((n = recv (fd_, buffer, sizeof buffer, 0)) > 0)
    in_.append (buffer, (size_t)n);
  bool is_closed = n == 0 || errno != EAGAIN;
  Message m = parse_message (in_, true);
  if (m.state == Message::State::Whole)
    end (m.status == 200, m.status == 200 ? take (m) : "");
  else if (m.state == Message::State::Bad)
    end (true, "bytes that are no answer: " + in_.substr (0, 200));
  else if (is_closed)
    end (false, "");
}

void
Directory::on_io (struct ev_loop *, ev_io *io, int events)
{
  static_cast<Directory *> (io->data)->on_event (events);
}

void
Directory::ask (double now)
{
  unsigned router = (unsigned)random_.below (port_.n_routers ());

  ask_at_ = now + again_s;
  give_up_at_ = now + look_up_s;
  fd_ = Socket::connecting ((uint16_t)port_.directory_port_of (router))
            .release ();
  if (fd_ < 0)
    {
      port_.on_end (false, "");
      return;
    }
  out_ = "GET /resolve?name=x.example&region=r&zone=one HTTP/1.1\r\n"
         "Host: x.example\r\nConnection: close\r\n\r\n";
  ev_io_set (&io_, fd_, EV_READ | EV_WRITE);
  ev_io_start (loop_, &io_);
}

void
Directory::tick (double now, bool may_begin)
{
  if (fd_ >= 0 && now >= give_up_at_)
    end (false, "");
  if (fd_ < 0 && may_begin && now >= ask_at_)
    ask (now);
}

} // namespace soak
