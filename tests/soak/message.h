/* What the processes of the soak share: random numbers, HTTP messages as bytes
   and what an engine reports about a run.

   The soak parses HTTP itself: it must not judge the router by the router's
   own code.  */

#ifndef MQ_SOAK_MESSAGE_H
#define MQ_SOAK_MESSAGE_H

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace soak
{

/* A generator whose sequence depends on its seed alone (SplitMix64).  */
class Random
{
public:
  explicit Random (uint64_t seed) : state_ (seed) {}

  uint64_t next ();
  /* Less than N, which is not 0.  */
  size_t below (size_t n);
  double between (double low, double high);
  bool chance (double share);

private:
  uint64_t state_;
};

uint64_t digest (const std::string &s, uint64_t seed = 0);

/* The monotonic clock, in seconds; the same for all processes.  */
double now_s ();

/* The parts of LINE between its spaces.  */
std::vector<std::string> split (const std::string &line, char at = ' ');

/* An HTTP/1.1 request or response, as far as its bytes have arrived.  */
struct Message
{
  enum class State
  {
    Partial,
    Whole,
    Bad
  };

  State state = State::Partial;
  bool has_head = false;
  bool to_close = false; /* Its body ends with its connection.  */
  std::string start;     /* Its first line.  */
  unsigned status = 0;   /* Of a response.  */
  std::vector<std::pair<std::string, std::string> > headers; /* Lower case.  */
  std::string body;
  size_t consumed = 0; /* Bytes, when whole.  */

  /* The value of the header NAME, empty if it is missing.  */
  std::string header (const std::string &name) const;
  size_t count (const std::string &name) const;
};

Message parse_message (const std::string &bytes, bool is_response);

/* How an engine handled a request.  It reports this before it sends the first
   byte of its answer.  */
struct Run
{
  std::string service, engine, attempt, method, target;
  uint64_t body_digest = 0;
  std::string plan;      /* Name of what it answers.  */
  std::string signature; /* Unique.  */
  unsigned status = 0;
  bool has_run = false;
  bool is_whole = false; /* May count as a complete answer.  */
  bool to_close = false; /* Without a length or chunks.  */
  bool is_early = false; /* Ends in order before its last byte, without a
                            length, which nobody can notice.  */
  size_t size = 0;       /* Of the body of a plain answer.  */
  unsigned first = 0, last = 0; /* Events of a stream; last 0: no stream.  */
  bool is_done = false;         /* All of its bytes were sent.  */
  bool is_reset = false;        /* Then its engine reset the connection.  */
  double at = 0;
};

std::string run_to_line (const Run &run);
/* Returns false if LINE is malformed.  */
bool run_from_line (Run &run, const std::string &line);

/* The part of the id of an attempt that names its request.  */
std::string request_of (const std::string &attempt);
/* The event N of the stream of REQUEST, by the run with SIGNATURE.  */
std::string event_text (const std::string &request, unsigned n,
                        const std::string &signature);
/* The number of events that the stream of REQUEST has.  */
unsigned events_of (const std::string &request, uint64_t seed);
/* The whole body of RUN.  */
std::string body_of (const Run &run);

} // namespace soak

#endif
