/* A client of the soak, on the event loop of the driver.  It asks the
   directory for routers or tries them all, keeps a connection until the router
   closes it, sends one request at a time, retries as PROTOCOL.md says, and now
   and then gives up early.  */

#ifndef MQ_SOAK_CLIENT_H
#define MQ_SOAK_CLIENT_H

#include "checker.h"
#include "directory.h"

#include <ev.h>

#include <functional>
#include <memory>

namespace soak
{

/* A request, whatever its attempts.  */
struct Job
{
  Kind kind = Kind::Safe;
  std::string method, target, body;
  bool is_chunked = false;
  unsigned number = 0, tries = 0;
  unsigned first = 1; /* Next event of a stream.  */
  double deadline = 0, timeout_s = 0;
};

/* What a client needs from its surroundings.  */
struct ClientPort
{
  DirectoryPort routers;
  bool has_directory = true; /* Some clients ask it.  */
  std::function<void (const Attempt &)> on_sent;
  std::function<void (Attempt &)> on_end;
  std::function<void (const std::string &, const std::string &)> on_unasked;
};

class Client
{
public:
  Client (struct ev_loop *loop, unsigned number, uint64_t seed,
          const ClientPort &port);
  Client (const Client &) = delete;
  Client &operator= (const Client &) = delete;
  ~Client ();

  /* Do what is due at NOW.  MAY_BEGIN: start requests.  */
  void tick (double now, bool may_begin);
  bool is_busy () const;

private:
  void begin_job (double now);
  void begin_attempt (double now);
  bool open_connection ();
  void close_connection ();
  void on_event (int events);
  void flush ();
  void receive ();
  void end_attempt (Attempt::End end);
  void plan_retry (const Attempt &a);
  std::string request_text () const;
  static void on_io (struct ev_loop *, ev_io *io, int events);

  struct ev_loop *loop_;
  ev_io io_;
  unsigned number_;
  uint64_t seed_;
  Random random_;
  ClientPort port_;
  std::unique_ptr<Directory> directory_; /* NULL: it tries all routers.  */
  int fd_ = -1;
  unsigned router_ = 0;
  bool has_used_ = false; /* The connection.  */
  std::string in_, out_;
  int send_error_ = 0; /* Of the connection; recv does not repeat it.  */
  bool has_job_ = false, is_waiting_ = false;
  bool is_impatient_ = false; /* Ignores Retry-After.  */
  Job job_;
  Attempt attempt_;
  double next_at_ = 0, leave_at_ = 0;
  unsigned avoid_ = ~0u; /* The router that failed last.  */
};

} // namespace soak

#endif
