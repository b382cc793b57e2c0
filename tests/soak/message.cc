#include "message.h"

#include <ctime>

#include <algorithm>
#include <sstream>

namespace soak
{

uint64_t
Random::next ()
{
  uint64_t z = state_ += 0x9e3779b97f4a7c15u;

  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
  return z ^ (z >> 31);
}

size_t
Random::below (size_t n)
{
  return (size_t)(next () % n);
}

double
Random::between (double low, double high)
{
  return low + (high - low) * (double)(next () >> 11) / 9007199254740992.0;
}

bool
Random::chance (double share)
{
  return between (0, 1) < share;
}

uint64_t
digest (const std::string &s, uint64_t seed)
{
  uint64_t h = 0xcbf29ce484222325u ^ seed;

  for (char c : s)
    h = (h ^ (unsigned char)c) * 0x100000001b3u;
  return Random (h).next ();
}

double
now_s ()
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

std::vector<std::string>
split (const std::string &line, char at)
{
  std::vector<std::string> parts;
  std::istringstream in (line);
  std::string part;

  while (std::getline (in, part, at))
    parts.push_back (part);
  return parts;
}

std::string
Message::header (const std::string &name) const
{
  for (auto &h : headers)
    if (h.first == name)
      return h.second;
  return "";
}

size_t
Message::count (const std::string &name) const
{
  return (size_t)std::count_if (headers.begin (), headers.end (),
                                [&] (auto &h) { return h.first == name; });
}

static bool
parse_number (const std::string &s, unsigned base, size_t &n)
{
  const std::string digits = "0123456789abcdef";

  n = 0;
  for (char c : s)
    {
      size_t d = digits.find ((char)tolower (c));

      if (d >= base || n > 1u << 30)
        return false;
      n = n * base + d;
    }
  return !s.empty ();
}

/* Read the head of M from BYTES.  Returns its size, 0 if there is none yet. */
static size_t
parse_head (Message &m, const std::string &bytes, bool is_response)
{
  size_t end = bytes.find ("\r\n\r\n");
  size_t at = bytes.find ("\r\n");

  if (end == std::string::npos)
    return 0;
  m.start = bytes.substr (0, at);
  for (at += 2; at < end + 2;)
    {
      size_t stop = bytes.find ("\r\n", at);
      std::string line = bytes.substr (at, stop - at);
      size_t colon = line.find (':');
      size_t value = line.find_first_not_of (" \t", colon + 1);

      at = stop + 2;
      if (colon == std::string::npos || colon == 0)
        {
          m.state = Message::State::Bad;
          return end + 4;
        }
      std::string name = line.substr (0, colon);
      std::transform (name.begin (), name.end (), name.begin (), ::tolower);
      m.headers.push_back (
          { name, value == std::string::npos ? "" : line.substr (value) });
    }
  m.has_head = true;
  if (is_response)
    {
      size_t status = 0;

      if (m.start.compare (0, 9, "HTTP/1.1 ") != 0 || m.start.size () < 12
          || !parse_number (m.start.substr (9, 3), 10, status)
          || (m.start.size () > 12 && m.start[12] != ' '))
        m.state = Message::State::Bad;
      m.status = (unsigned)status;
    }
  return end + 4;
}

static void
parse_chunks (Message &m, const std::string &bytes, size_t at)
{
  for (;;)
    {
      size_t end = bytes.find ("\r\n", at), size;

      if (end == std::string::npos)
        return;
      std::string line = bytes.substr (at, end - at);
      if (!parse_number (line.substr (0, line.find (';')), 16, size))
        {
          m.state = Message::State::Bad;
          return;
        }
      at = end + 2;
      if (size == 0)
        {
          size_t stop = bytes.compare (at, 2, "\r\n") == 0
                            ? at
                            : bytes.find ("\r\n\r\n", at);

          if (stop == std::string::npos)
            return;
          m.consumed = bytes.compare (at, 2, "\r\n") == 0 ? at + 2 : stop + 4;
          m.state = Message::State::Whole;
          return;
        }
      m.body += bytes.substr (std::min (at, bytes.size ()), size);
      if (bytes.size () < at + size + 2)
        return;
      if (bytes.compare (at + size, 2, "\r\n") != 0)
        {
          m.state = Message::State::Bad;
          return;
        }
      at += size + 2;
    }
}

Message
parse_message (const std::string &bytes, bool is_response)
{
  Message m;
  size_t head = parse_head (m, bytes, is_response), size = 0;
  std::string length = m.header ("content-length");

  if (head == 0 || m.state == Message::State::Bad)
    return m;
  if (!m.header ("transfer-encoding").empty ())
    {
      if (m.header ("transfer-encoding") != "chunked" || !length.empty ())
        m.state = Message::State::Bad;
      else
        parse_chunks (m, bytes, head);
      return m;
    }
  if (is_response && length.empty () && m.status != 204)
    {
      m.to_close = true;
      m.body = bytes.substr (head);
      return m;
    }
  if (m.count ("content-length") > 1
      || (!length.empty () && !parse_number (length, 10, size)))
    {
      m.state = Message::State::Bad;
      return m;
    }
  m.body = bytes.substr (head, size);
  if (m.body.size () == size)
    {
      m.state = Message::State::Whole;
      m.consumed = head + size;
    }
  return m;
}

std::string
run_to_line (const Run &r)
{
  std::ostringstream s;

  s << "R " << r.service << ' ' << r.engine << ' ' << r.attempt << ' '
    << r.method << ' ' << r.target << ' ' << r.body_digest << ' ' << r.plan
    << ' ' << r.signature << ' ' << r.status << ' ' << r.has_run << ' '
    << r.is_whole << ' ' << r.to_close << ' ' << r.is_early << ' ' << r.size
    << ' ' << r.first << ' ' << r.last << ' ' << std::fixed << r.at;
  return s.str ();
}

bool
run_from_line (Run &r, const std::string &line)
{
  std::istringstream s (line);
  std::string tag;

  s >> tag >> r.service >> r.engine >> r.attempt >> r.method >> r.target
      >> r.body_digest >> r.plan >> r.signature >> r.status >> r.has_run
      >> r.is_whole >> r.to_close >> r.is_early >> r.size >> r.first >> r.last
      >> r.at;
  return !s.fail () && tag == "R";
}

std::string
request_of (const std::string &attempt)
{
  return attempt.substr (0, attempt.rfind ('-'));
}

std::string
event_text (const std::string &request, unsigned n,
            const std::string &signature)
{
  return "id: " + std::to_string (n) + "\ndata: " + request + " "
         + std::to_string (n) + " " + signature + "\n\n";
}

unsigned
events_of (const std::string &request, uint64_t seed)
{
  return 3 + (unsigned)(digest (request, seed) % 30);
}

std::string
body_of (const Run &r)
{
  std::string s;

  if (r.last > 0)
    {
      for (unsigned n = r.first; n <= r.last; n++)
        s += event_text (request_of (r.attempt), n, r.signature);
      return s;
    }
  s = r.attempt + " " + r.signature + " ";
  for (Random random (digest (r.signature)); s.size () < r.size;)
    s += (char)('a' + random.below (26));
  return s.substr (0, r.size);
}

} // namespace soak
