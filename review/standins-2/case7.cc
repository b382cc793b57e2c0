/* Case 7: a router that is stopped takes a request late in its drain and
   leaves before the answer.  See review/7/claim.txt.  */

#include "standins.h"

using namespace review;

namespace
{

constexpr double WORK_S = 1.8;  /* Of the route's 2 s.  */
constexpr double SEND_S = 5.65; /* After SIGTERM.  */
constexpr double GRACE_S = 8;
constexpr double TIMEOUT_S = 2; /* Of the route.  */
constexpr unsigned CLIENTS = 4;
/* A stream that was begun before SIGTERM and goes on for 7 s.  */
constexpr unsigned EVENTS = 70;
constexpr double EVENT_S = 0.1;

Headers
attempt (const std::string &id)
{
  return { { "Marjoramquay-Attempt-Id", id },
           { "Marjoramquay-Time-Budget-Ms", "4000" } };
}

/* Sends a stream in answer to R.  */
bool
send_stream (const Engine &engine, const Request &r)
{
  std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                     "Transfer-Encoding: chunked\r\n";

  for (auto &p : engine.signed_headers (r))
    head += p.first + ": " + p.second + "\r\n";
  if (!send_all (r.fd, head + "\r\n"))
    return false;
  for (unsigned n = 1; n <= EVENTS; n++)
    {
      std::string event = "id: " + std::to_string (n) + "\ndata: x\n\n";
      char size[16];

      std::snprintf (size, sizeof size, "%zx\r\n", event.size ());
      if (!send_all (r.fd, size + event + "\r\n"))
        return false;
      sleep_s (EVENT_S);
    }
  return send_all (r.fd, "0\r\n\r\n");
}

} // namespace

int
main (int argc, char **argv)
{
  Script s (argc > 1 ? argv[1] : "record.txt");
  Engine engine;
  Router *router;
  std::vector<std::thread> threads;
  Connection channels[CLIENTS];
  Answer answers[CLIENTS];
  double sent_s[CLIENTS] = {};
  std::mutex mutex;
  std::map<std::string, bool> passed_on;
  Answer stream;
  std::atomic<unsigned> run{ 0 };
  unsigned lost = 0;
  double term_s;
  int status = 0;

  if (!s.store.start (s.ip (1)))
    s.finish (NOT_RUN);
  s.store.put (
      "config", "main",
      configuration (
          1,
          route_text ("r-1", "/book/", "unsafe", "app", 2000) + ","
              + route_text ("r-2", "/status/", "safe", "app", 2000) + ","
              + route_text ("r-3", "/draft/", "streaming", "app", 20000,
                            ",\"resumable\":true,"
                            "\"gapTargetMs\":200"),
          plain_service_text ("app")));
  if (!engine.start (
          &s.store, s.ip (100), "i-1", "app", "zone-0", [&] (Request &r) {
            std::string id = r.header ("marjoramquay-attempt-id");

            if (r.path == "/draft/1")
              return send_stream (engine, r);
            if (r.path == "/book/1")
              {
                std::unique_lock<std::mutex> l (mutex);

                run++;
                passed_on[id] = true;
                l.unlock ();
                RECORD ("the engine begins to run %s", id.c_str ());
                sleep_s (WORK_S);
                RECORD ("the engine answers %s", id.c_str ());
              }
            return reply (r.fd, 200, "booked", engine.signed_headers (r));
          }))
    s.finish (NOT_RUN);
  router = s.add_router ("front-0", "zone-0", { s.ip (10) });
  if (router == nullptr || !router->wait_ready (20))
    s.finish (NOT_RUN);
  sleep_s (3); /* In touch: stableWindowMs since its start.  */
  for (unsigned i = 0; i < CLIENTS; i++)
    if (!channels[i].open (router->front ())
        || !channels[i].send_request (
            "GET", "/status/1", attempt ("first-" + std::to_string (i)), "")
        || channels[i].read_answer ().status != 200)
      s.finish (NOT_RUN);
  RECORD ("%u clients keep their channels after an answer each", CLIENTS);
  threads.emplace_back ([&] {
    Connection c;

    if (!c.open (router->front ()))
      return;
    c.send_request ("POST", "/draft/1",
                    { { "Marjoramquay-Attempt-Id", "stream-1" },
                      { "Marjoramquay-Time-Budget-Ms", "20000" } },
                    "x");
    stream = c.read_answer ();
    RECORD ("the stream: status %u, %s", stream.status,
            stream.complete ? "complete" : "cut");
  });
  sleep_s (0.2);
  term_s = now_s ();
  if (s.trouble)
    {
      RECORD ("SIGTERM to the router");
      kill (router->pid, SIGTERM);
    }
  sleep_s (SEND_S);
  for (unsigned i = 0; i < CLIENTS; i++)
    threads.emplace_back ([&, i] {
      std::string id = "attempt-" + std::to_string (i);

      sent_s[i] = now_s ();
      RECORD ("client %u sends %s on its kept channel", i, id.c_str ());
      channels[i].send_request ("POST", "/book/1", attempt (id), "x");
      answers[i] = channels[i].read_answer ();
      RECORD ("client %u: status %u, %s, after %.2f s", i, answers[i].status,
              answers[i].complete ? "complete" : "no complete answer",
              now_s () - sent_s[i]);
    });
  if (s.trouble)
    {
      while (now_s () < term_s + GRACE_S && !router->has_ended (&status))
        sleep_s (0.01);
      RECORD ("the router %s %.2f s after SIGTERM",
              router->pid > 0 ? "still runs" : "has ended", now_s () - term_s);
      router->end (); /* SIGKILL after graceS, as the platform does.  */
    }
  for (auto &t : threads)
    t.join ();
  if (run == 0 && !s.trouble)
    s.finish (NOT_RUN);
  /* RULES.md, "LOST": around a SIGTERM a channel ends without a complete
     answer once the request has been passed on to an engine.  It is excused
     where the route's timeout, which comes before the deadline, was reached.
     The requests are sent later than 3 s after the SIGTERM, so that the work
     of their engine is no excuse.  */
  for (unsigned i = 0; i < CLIENTS; i++)
    lost += !answers[i].complete
            && passed_on.count ("attempt-" + std::to_string (i)) > 0
            && answers[i].ended_s - sent_s[i] < TIMEOUT_S;
  RECORD ("%u requests were passed on, %u got no answer", (unsigned)run, lost);
  s.finish (lost > 0 ? BROKEN : HELD);
}
