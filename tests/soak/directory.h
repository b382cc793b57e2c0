/* What a client of the soak learns from the directory, as PROTOCOL.md says: it
   asks a router, or soon after another one if that fails, keeps the answer for
   its time, and longer if it gets no new one.  */

#ifndef MQ_SOAK_DIRECTORY_H
#define MQ_SOAK_DIRECTORY_H

#include "message.h"

#include <ev.h>

#include <functional>
#include <set>

namespace soak
{

struct DirectoryPort
{
  std::function<unsigned ()> n_routers;
  std::function<unsigned (unsigned)> port_of;           /* For requests.  */
  std::function<unsigned (unsigned)> directory_port_of; /* For look-ups.  */
  /* A look-up has ended; WRONG says what is wrong with its answer, empty for
     nothing.  IS_ANSWERED: there is one.  */
  std::function<void (bool is_answered, const std::string &wrong)> on_end;
};

class Directory
{
public:
  Directory (struct ev_loop *loop, unsigned client, uint64_t seed,
             const DirectoryPort &port);
  Directory (const Directory &) = delete;
  Directory &operator= (const Directory &) = delete;
  ~Directory ();

  /* Do what is due at NOW.  MAY_BEGIN: start look-ups.  */
  void tick (double now, bool may_begin);
  /* Returns true if ROUTER may be used: it is listed, or nothing is known.  */
  bool lists (unsigned router) const;
  /* Returns a listed router other than AVOID, or any other one if there is
     none.  */
  unsigned choose (unsigned avoid);

private:
  void ask (double now);
  void end (bool is_answered, const std::string &wrong);
  void on_event (int events);
  std::string take (const Message &m);
  static void on_io (struct ev_loop *, ev_io *io, int events);

  struct ev_loop *loop_;
  ev_io io_;
  Random random_;
  DirectoryPort port_;
  double share_of_ttl_; /* Some clients keep an answer longer.  */
  int fd_ = -1;
  std::string in_, out_;
  double ask_at_ = 0, give_up_at_ = 0;
  std::set<unsigned> routers_; /* Listed; empty: nothing is known.  */
};

/* Reads an answer of the directory.  Returns false if TEXT is none.  */
bool directory_answer_parse (const std::string &text,
                             std::vector<unsigned> &ports, unsigned &ttl_s);

} // namespace soak

#endif
