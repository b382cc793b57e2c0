#include "answer.h"

#include <algorithm>
#include <cstdio>

namespace soak
{

/* Answers with a fault.  "cut-" ends after some byte of the head, of a body of
   a stated length, of chunks or of a body without either; "refused-cut" is a
   rejection of which only the beginning arrives, and promises nothing.  */
static const char *const fault_names[]
    = { "cut-head",   "cut-length", "cut-chunks",  "cut-unframed",
        "twice",      "twice-late", "extra",       "two-lengths",
        "bad-length", "bad-chunks", "bad-head",    "length-and-chunks",
        "failed",     "failed-cut", "refused",     "refused-cut",
        "silent",     "other-id",   "contradicts", "interim" };
static constexpr size_t n_faults = sizeof fault_names / sizeof *fault_names;

Faults::Faults (uint64_t seed)
{
  Random random (digest ("faults", seed));

  share_ = random.between (0.05, 0.5);
  for (size_t i = 0; i < n_faults; i++)
    weights_.push_back (random.chance (0.3) ? 0.1 : random.between (0.2, 2));
}

std::string
Faults::draw (Random &random) const
{
  double sum = 0, at;

  if (!random.chance (share_))
    return "whole";
  for (double w : weights_)
    sum += w;
  at = random.between (0, sum);
  for (size_t i = 0; i < n_faults; i++)
    if ((at -= weights_[i]) < 0)
      return fault_names[i];
  return fault_names[0];
}

std::string
Faults::text () const
{
  char number[32];
  std::string s;

  snprintf (number, sizeof number, "share %.2f", share_);
  s = number;
  for (size_t i = 0; i < n_faults; i++)
    {
      snprintf (number, sizeof number, " %.1f", weights_[i]);
      s += std::string (" ") + fault_names[i] + number;
    }
  return s;
}

namespace
{

enum class Framing
{
  Length,
  Chunks,
  None
};

class Planner
{
public:
  Planner (Run run, bool is_stream, Random &random)
      : is_stream_ (is_stream), random_ (random)
  {
    a_.run = std::move (run);
  }

  Answer plan (uint64_t seed);

private:
  bool
  is (const char *name) const
  {
    return a_.run.plan == name;
  }

  std::string head (const std::string &framing) const;
  std::string chunked (const std::string &body);
  std::string framed (Framing framing);
  void add_split (const std::string &bytes);
  void cut (const std::string &bytes, size_t from, size_t to);
  void plan_malformed ();
  void plan_refused ();
  void plan_contradiction (Framing framing);
  void plan_twice ();

  Answer a_;
  bool is_stream_;
  Random &random_;
  std::string body_, id_;
  bool closes_ = false; /* The answer says so.  */
};

std::string
Planner::head (const std::string &framing) const
{
  std::string s = "HTTP/1.1 " + std::to_string (a_.run.status)
                  + (a_.run.status < 300 ? " OK\r\n" : " Failed\r\n");

  s += "Marjoramquay-Attempt-Id: " + id_ + "\r\n";
  if (a_.run.has_run)
    s += "Marjoramquay-Response-Signature: " + a_.run.signature + "\r\n";
  else
    s += "Marjoramquay-Not-Executed: 1\r\n";
  if (is_stream_ && a_.run.status == 200)
    s += "Content-Type: text/event-stream\r\n";
  if (closes_)
    s += "Connection: close\r\n";
  return s + framing + "\r\n";
}

/* BODY in chunks of random sizes.  */
std::string
Planner::chunked (const std::string &body)
{
  std::string s;
  char size[32];

  for (size_t at = 0; at < body.size ();)
    {
      size_t n = 1 + random_.below (std::min<size_t> (body.size () - at, 300));

      snprintf (size, sizeof size,
                random_.chance (0.5) ? "%zx\r\n" : "%zX\r\n", n);
      s += size + body.substr (at, n) + "\r\n";
      at += n;
    }
  return s + "0\r\n\r\n";
}

/* The whole answer.  */
std::string
Planner::framed (Framing framing)
{
  if (framing == Framing::Chunks)
    return head ("Transfer-Encoding: chunked\r\n") + chunked (body_);
  if (framing == Framing::Length)
    return head ("Content-Length: " + std::to_string (body_.size ()) + "\r\n")
           + body_;
  closes_ = true;
  a_.run.to_close = true;
  a_.end = Answer::End::Close;
  return head ("") + body_;
}

/* Send BYTES, at times in pieces.  */
void
Planner::add_split (const std::string &bytes)
{
  size_t pieces
      = random_.chance (0.4) && !is_stream_ ? 1 : 2 + random_.below (10);
  size_t at = 0;

  for (size_t i = 0; i + 1 < pieces && at < bytes.size (); i++)
    {
      size_t left = bytes.size () - at;
      size_t most = std::min (left, 2 * bytes.size () / pieces);
      size_t n = 1 + random_.below (std::max<size_t> (most, 1));

      if (most == 0)
        n = left; /* Too few bytes for so many pieces.  */
      a_.steps.push_back ({ random_.between (0, 0.04), bytes.substr (at, n) });
      at += n;
    }
  if (at < bytes.size ())
    a_.steps.push_back ({ random_.between (0, 0.03), bytes.substr (at) });
}

/* Send BYTES up to one of [FROM, TO), and end the connection.  */
void
Planner::cut (const std::string &bytes, size_t from, size_t to)
{
  size_t at = from + random_.below (to - from);

  /* The first bytes behind a head and the last ones are special cases of
     parsers.  */
  if (random_.chance (0.15))
    at = from;
  else if (random_.chance (0.15))
    at = to - 1;
  a_.run.is_whole = false;
  add_split (bytes.substr (0, at));
  a_.end = random_.chance (0.6) ? Answer::End::Close : Answer::End::Reset;
  a_.end_delay_s = random_.chance (0.5)   ? 0
                   : random_.chance (0.7) ? random_.between (0, 0.2)
                                          : random_.between (0.5, 3);
}

void
Planner::plan_malformed ()
{
  const std::string n = std::to_string (body_.size ());
  /* Any other length than that of an empty body.  */
  const std::string less = std::to_string (
      body_.empty () ? random_.next () | 1 : random_.below (body_.size ()));
  const std::string more = std::to_string (body_.size () + 7);
  std::string s;

  a_.run.is_whole = false;
  if (is ("two-lengths"))
    {
      std::string first = random_.chance (0.5) ? n : less;
      std::string second
          = first == n ? (random_.chance (0.7) ? less : more) : n;

      s = head ("Content-Length: " + first
                + (random_.chance (0.5) ? "\r\nContent-Length: " : ", ")
                + second + "\r\n")
          + body_;
    }
  else if (is ("bad-length"))
    {
      const std::string values[] = { less + "x",
                                     "-" + n,
                                     "+" + n,
                                     "0x" + n,
                                     less + " " + n,
                                     "",
                                     "99999999999999999999999" };

      s = head ("Content-Length: " + values[random_.below (7)] + "\r\n")
          + body_;
    }
  else if (is ("bad-chunks"))
    {
      const std::string sizes[]
          = { "zz", "", "-5", "5 x", "fffffffffffffffffff", "0x10" };

      s = chunked (body_);
      s.replace (0, s.find ("\r\n"), sizes[random_.below (6)]);
      if (random_.chance (0.3))
        s = "5\r\nabcdeXX0\r\n\r\n";
      s = head ("Transfer-Encoding: chunked\r\n") + s;
    }
  else if (is ("length-and-chunks"))
    {
      a_.run.is_whole = true; /* RFC 9112 lets a recipient take either.  */
      s = head ("Content-Length: " + less
                + "\r\nTransfer-Encoding: chunked\r\n")
          + chunked (body_);
    }
  else
    {
      const std::string lines[]
          = { "HTTP/1.1 2x0 OK",  "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK",
              "HTTP/9 200 OK",    "200 OK",         "\x01\x02\x03\xff\xfe",
              "HTTP/1.1 200\rOK", "HTTP/1.1" };

      s = framed (Framing::Length);
      if (random_.chance (0.4))
        s.insert (s.find ("\r\n") + 2, "no colon in this line\r\n");
      else
        s.replace (0, s.find ("\r\n"), lines[random_.below (8)]);
    }
  add_split (s);
  a_.end = random_.chance (0.5)   ? Answer::End::Close
           : random_.chance (0.5) ? Answer::End::Reset
                                  : Answer::End::Keep;
}

/* A rejection.  One that is cut comes from an engine that has run the
   request, so that it can be seen whether it counts as a promise.  */
void
Planner::plan_refused ()
{
  std::string s;

  a_.run.status = 503;
  a_.run.has_run = false;
  body_ = random_.chance (0.5) ? "" : "no free slot";
  s = framed (random_.chance (0.7) ? Framing::Length : Framing::Chunks);
  a_.run.has_run = is ("refused-cut");
  if (a_.run.has_run)
    cut (s, 1, s.size ());
  else
    add_split (s);
}

/* An answer whose headers say two things.  */
void
Planner::plan_contradiction (Framing framing)
{
  const std::string second[]
      = { "Marjoramquay-Not-Executed: 1", "Marjoramquay-Attempt-Id: c0-0-0",
          "Marjoramquay-Response-Signature: another" };
  std::string s;

  a_.run.is_whole = false;
  if (!is_stream_ && random_.chance (0.3))
    a_.run.status = 500;
  s = framed (framing);
  s.insert (s.find ("\r\n") + 2,
            second[a_.run.status == 500 ? 0 : random_.below (3)] + "\r\n");
  add_split (s);
}

void
Planner::plan_twice ()
{
  std::string first
      = framed (random_.chance (0.6) ? Framing::Length : Framing::Chunks);
  std::string second = first;

  if (random_.chance (0.3))
    second = "HTTP/1.1 503 Failed\r\nMarjoramquay-Attempt-Id: " + id_
             + "\r\nMarjoramquay-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  if (random_.chance (0.4))
    second = second.substr (0, 1 + random_.below (second.size ()));
  add_split (first);
  if (is ("extra"))
    second = random_.chance (0.5) ? "\r\n\r\n" : "more bytes than stated";
  if (is ("twice-late"))
    a_.steps.push_back ({ random_.between (0.002, 0.6), second });
  else
    a_.steps.back ().bytes += second;
  if (random_.chance (0.2))
    a_.end = Answer::End::Close;
}

Answer
Planner::plan (uint64_t seed)
{
  Run &r = a_.run;
  /* Engines of some seeds mostly send answers without a length.  */
  double unframed = Random (digest ("unframed", seed)).between (0.05, 0.7);
  Framing framing = random_.chance (unframed) ? Framing::None
                    : random_.chance (0.5)    ? Framing::Length
                                              : Framing::Chunks;

  id_ = r.attempt;
  r.status = 200;
  r.has_run = true;
  r.is_whole = true;
  if (is ("failed") || is ("failed-cut"))
    r.status = random_.chance (0.7) ? 500 : 504;
  if (is_stream_ && r.status == 200)
    r.last = events_of (request_of (r.attempt), seed);
  else
    r.size = 40 + random_.below (random_.chance (0.8) ? 2000 : 30000);
  if (is_stream_ && framing == Framing::Length)
    framing = Framing::Chunks;
  body_ = body_of (r);
  closes_ = random_.chance (0.05);
  if (closes_)
    a_.end = Answer::End::Close;

  if (is ("refused") || is ("refused-cut"))
    plan_refused ();
  else if (body_.empty ())
    {
      /* A stream that is resumed behind its last event.  */
      r.plan = "whole";
      add_split (framed (Framing::Chunks));
    }
  else if (is ("cut-head"))
    {
      std::string s = framed (framing);

      cut (s, 1, s.find ("\r\n\r\n") + 4);
      r.to_close = false;
    }
  else if (is ("cut-length") || is ("cut-chunks") || is ("failed-cut"))
    {
      std::string s
          = framed (is ("cut-length") ? Framing::Length : Framing::Chunks);

      cut (s, s.find ("\r\n\r\n") + 4, s.size ());
    }
  else if (is ("cut-unframed"))
    {
      std::string s = framed (Framing::None);

      cut (s, s.find ("\r\n\r\n") + 4, s.size ());
      r.is_early = a_.end == Answer::End::Close;
    }
  else if (is ("twice") || is ("twice-late") || is ("extra"))
    plan_twice ();
  else if (is ("silent"))
    {
      add_split (framed (framing));
      a_.steps[random_.below (a_.steps.size ())].delay_s
          += random_.between (0.5, 3);
    }
  else if (is ("other-id"))
    {
      id_ = "c0-0-0";
      r.is_whole = false;
      add_split (framed (framing));
    }
  else if (is ("contradicts"))
    plan_contradiction (framing);
  else if (is ("interim"))
    add_split ("HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
               + framed (framing));
  else if (is ("whole") || is ("failed"))
    add_split (framed (framing));
  else
    plan_malformed ();
  return std::move (a_);
}

} // namespace

Answer
plan_answer (Run run, bool is_stream, uint64_t seed, Random &random)
{
  return Planner (std::move (run), is_stream, random).plan (seed);
}

} // namespace soak
