/* Case 6: a router that is stopped leaves before a client has read its whole
   answer.  See review/6/claim.txt.  */

#include "standins.h"

using namespace review;

namespace
{

constexpr size_t ANSWER_BYTES = 8 * 1000 * 1000;
constexpr double BYTES_PER_S = 1.1e6; /* 8.8 Mbit/s.  */
constexpr double TERM_S = 0.5;        /* After the request was sent.  */
constexpr double GRACE_S = 8;
constexpr unsigned CLIENTS = 3;

} // namespace

int
main (int argc, char **argv)
{
  Script s (argc > 1 ? argv[1] : "record.txt");
  Engine engine;
  Router *router;
  std::vector<std::thread> threads;
  std::vector<Answer> answers (CLIENTS);
  std::atomic<unsigned> run{ 0 };
  unsigned lost = 0;
  double term_s = 0;
  int status = 0;

  if (!s.store.start (s.ip (1)))
    s.finish (NOT_RUN);
  s.store.put (
      "config", "main",
      configuration (1, route_text ("r-1", "/report/", "unsafe", "app", 20000),
                     plain_service_text ("app")));
  if (!engine.start (
          &s.store, s.ip (100), "i-1", "app", "zone-0", [&] (Request &r) {
            run++;
            RECORD ("the engine runs %s and answers %zu bytes",
                    r.header ("marjoramquay-attempt-id").c_str (),
                    ANSWER_BYTES);
            return reply (r.fd, 200, std::string (ANSWER_BYTES, 'b'),
                          engine.signed_headers (r));
          }))
    s.finish (NOT_RUN);
  router = s.add_router ("front-0", "zone-0", { s.ip (10) });
  if (router == nullptr || !router->wait_ready (20))
    s.finish (NOT_RUN);
  sleep_s (3); /* In touch: stableWindowMs since its start.  */
  for (unsigned i = 0; i < CLIENTS; i++)
    threads.emplace_back ([&, i] {
      Connection c;
      std::string id = "attempt-" + std::to_string (i);

      if (!c.open (router->front (), 65536))
        return;
      answers[i].sent_s = now_s ();
      RECORD ("client %u sends %s", i, id.c_str ());
      c.send_request ("POST", "/report/1",
                      { { "Marjoramquay-Attempt-Id", id },
                        { "Marjoramquay-Time-Budget-Ms", "20000" } },
                      "x");
      double sent = answers[i].sent_s;
      answers[i] = c.read_answer (BYTES_PER_S);
      answers[i].sent_s = sent;
      RECORD ("client %u has status %u and %zu of %zu bytes after %.2f s: %s",
              i, answers[i].status, answers[i].body.size (), ANSWER_BYTES,
              answers[i].ended_s - sent,
              answers[i].complete ? "complete" : "cut");
    });
  sleep_s (TERM_S);
  if (s.trouble)
    {
      term_s = now_s ();
      RECORD ("SIGTERM to the router");
      kill (router->pid, SIGTERM);
      while (now_s () < term_s + GRACE_S && !router->has_ended (&status))
        sleep_s (0.01);
      RECORD ("the router %s %.2f s after SIGTERM",
              router->pid > 0 ? "still runs" : "has ended", now_s () - term_s);
      router->end (); /* SIGKILL after graceS, as the platform does.  */
    }
  for (auto &t : threads)
    t.join ();
  if (run < CLIENTS)
    s.finish (NOT_RUN);
  /* RULES.md, "LOST": around a SIGTERM a channel ends without a complete
     answer once the request has been passed on to an engine.  */
  for (auto &a : answers)
    lost += a.connected && !a.complete;
  RECORD ("%u of %u answers were lost", lost, CLIENTS);
  s.finish (lost > 0 ? BROKEN : HELD);
}
