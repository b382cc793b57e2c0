/* Case 5: bodies that engines read slowly exceed the memory of a router.  See
   review/5/claim.txt.  */

#include "standins.h"

using namespace review;

namespace
{

constexpr unsigned CLIENTS = 40;
constexpr double GAP_S = 0.1; /* Between two requests: 336 Mbit/s in all.  */
constexpr size_t BODY_BYTES = 4 * 1000 * 1000; /* maxBodyBytes: 4,194,304.  */
constexpr double ENGINE_BYTES_PER_S = 1e6;     /* Of one request.  */
constexpr long MEMORY_KB = 260 * 1024;         /* memoryMb = 260.  */
/* RULES.md, "LOST": more than three times.  */
constexpr unsigned MAX_CLOSED = 3;

long
memory_kb (pid_t pid)
{
  std::string s
      = Script::read_file ("/proc/" + std::to_string (pid) + "/status");
  size_t at = s.find ("VmRSS:");

  return at == std::string::npos ? 0 : std::atol (s.c_str () + at + 6);
}

Headers
attempt (const std::string &id)
{
  return { { "Marjoramquay-Attempt-Id", id },
           { "Marjoramquay-Time-Budget-Ms", "20000" } };
}

} // namespace

int
main (int argc, char **argv)
{
  Script s (argc > 1 ? argv[1] : ".");
  Engine engine;
  Router *router;
  std::vector<std::thread> threads;
  std::vector<Answer> answers (CLIENTS);
  std::mutex mutex;
  std::map<std::string, bool> passed_on;
  std::atomic<unsigned> left{ CLIENTS };
  std::atomic<bool> failed{ false };
  unsigned closed = 0;
  long most = 0;
  bool killed = false;

  if (!s.store.start (s.ip (1)))
    s.finish (NOT_RUN);
  s.store.put (
      "config", "main",
      configuration (1,
                     route_text ("r-1", "/book/", "unsafe", "app", 20000) + ","
                         + route_text ("r-2", "/status/", "safe", "app", 4000),
                     plain_service_text ("app")));
  engine.server.body_bytes_per_s = s.trouble ? ENGINE_BYTES_PER_S : 0;
  engine.server.on_head = [&] (const Request &r) {
    std::lock_guard<std::mutex> l (mutex);

    passed_on[r.header ("marjoramquay-attempt-id")] = true;
  };
  if (!engine.start (
          &s.store, s.ip (100), "i-1", "app", "zone-0", [&] (Request &r) {
            return reply (r.fd, 200, "booked", engine.signed_headers (r));
          }))
    s.finish (NOT_RUN);
  router = s.add_router ("front-0", "zone-0", { s.ip (10) });
  if (router == nullptr || !router->wait_ready (20))
    s.finish (NOT_RUN);
  sleep_s (3); /* In touch: stableWindowMs since its start.  */
  RECORD ("the router has %ld KB", memory_kb (router->pid));
  for (unsigned i = 0; i < CLIENTS; i++)
    threads.emplace_back ([&, i] {
      Connection c;
      std::string id = "attempt-" + std::to_string (i);

      if (!c.open (router->front ())
          || !c.send_request ("GET", "/status/1",
                              attempt ("first-" + std::to_string (i)), "")
          || c.read_answer ().status != 200)
        {
          failed = true;
          left--;
          return;
        }
      sleep_s (1 + i * GAP_S);
      RECORD ("client %u sends %s on its kept channel", i, id.c_str ());
      if (c.send_request ("POST", "/book/1", attempt (id),
                          std::string (BODY_BYTES, 'x')))
        answers[i] = c.read_answer ();
      RECORD ("client %u: status %u, %s", i, answers[i].status,
              answers[i].complete ? "complete" : "no answer");
      left--;
    });
  while (left > 0)
    {
      long kb = router->pid > 0 ? memory_kb (router->pid) : 0;

      most = std::max (most, kb);
      if (kb > MEMORY_KB)
        {
          RECORD ("the router has %ld KB: the platform kills it", kb);
          killed = true;
          router->end ();
        }
      sleep_s (0.02);
    }
  for (auto &t : threads)
    t.join ();
  RECORD ("the router had %ld KB at most, %skilled", most,
          killed ? "" : "not ");
  if (failed)
    s.finish (NOT_RUN);
  for (unsigned i = 0; i < CLIENTS; i++)
    closed += !answers[i].complete
              && passed_on.count ("attempt-" + std::to_string (i)) > 0;
  RECORD ("%u channels were closed without an answer after their request had "
          "been passed on; the rule allows %u",
          closed, MAX_CLOSED);
  s.finish (closed > MAX_CLOSED ? BROKEN : HELD);
}
