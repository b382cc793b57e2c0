/* Case 5: streams are cut whose engine has ended them after a silence.  See
   review/5/claim.txt.  */

#include "standins.h"

using namespace review;

namespace
{

constexpr unsigned LAYERS = 80;
constexpr unsigned ENGINES = 6; /* Three in each of two zones.  */
constexpr unsigned CLIENTS = 6;
constexpr unsigned EVENTS = 20;
constexpr double EVENT_S = 0.03;
constexpr double PREFILL_S = 0.2; /* From a request to its answer's head.  */
/* Between the last event of a stream and its end.  */
constexpr double SILENCE_S = 1.5;
constexpr double USUAL_S = 0.1;
constexpr double GRACE_S = 8;

/* A model engine: it loads what it is ordered to at once, and answers streams
   with neither a length nor chunks.  */
struct ModelEngine
{
  Engine engine;
  std::mutex mutex;
  unsigned from = 0, target = 0, sequence = 0;
  double silence_s = 0;

  static unsigned
  number (const std::string &body, const std::string &name)
  {
    size_t at = body.find ("\"" + name + "\":");

    return at == std::string::npos
               ? 0
               : (unsigned)std::atoi (body.c_str () + at + name.size () + 3);
  }

  std::string
  layers () const
  {
    return "\"layers\":{\"from\":" + std::to_string (from)
           + ",\"target\":" + std::to_string (target) + ",\"version\":1}";
  }

  void
  set_entry ()
  {
    engine.more = ",\"kind\":\"h100\",\"stage\":\"both\",\"models\":[{"
                  "\"name\":\"m0\",\"version\":1,\"adapters\":[]}],"
                  + layers ();
  }

  bool
  report (const Request &r)
  {
    std::lock_guard<std::mutex> l (mutex);

    return reply (r.fd, 200,
                  "{\"stage\":\"both\",\"busy\":false,\"sequence\":"
                      + std::to_string (sequence)
                      + ",\"waiting\":0,\"running\":0,\"kvUsed\":0,"
                        "\"kvTotal\":8000000,\"pace\":1.0,\"stalled\":[],"
                      + layers () + "}",
                  { { "Content-Type", "application/json" } });
  }

  bool
  order (const Request &r)
  {
    std::lock_guard<std::mutex> l (mutex);

    if (number (r.body, "precondition") != sequence)
      return reply (r.fd, 409, "");
    from = number (r.body, "from");
    target = number (r.body, "target");
    sequence++;
    set_entry ();
    return reply (r.fd, 202, "");
  }

  /* Streams the events after the one that R names as its last.  */
  bool
  stream (const Request &r)
  {
    std::string id = r.header ("marjoramquay-attempt-id");
    unsigned last = (unsigned)std::atoi (r.header ("last-event-id").c_str ());
    std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                       "Connection: close\r\n";

    RECORD ("%s gets %s, after event %u", engine.id.c_str (), id.c_str (),
            last);
    for (auto &p : engine.signed_headers (r))
      head += p.first + ": " + p.second + "\r\n";
    sleep_s (PREFILL_S);
    if (!send_all (r.fd, head + "\r\n"))
      return false;
    for (unsigned n = last + 1; n <= EVENTS; n++)
      {
        if (!send_all (r.fd, "id: " + std::to_string (n)
                                 + "\ndata: " + std::to_string (n) + "\n\n"))
          return false;
        sleep_s (EVENT_S);
      }
    if (last < EVENTS)
      sleep_s (silence_s);
    RECORD ("%s ends its answer to %s in order", engine.id.c_str (),
            id.c_str ());
    return false; /* The answer ends with its connection.  */
  }

  bool
  handle (Request &r)
  {
    if (r.path == "/report")
      return report (r);
    return r.path == "/order" ? order (r) : stream (r);
  }
};

std::string
model_service ()
{
  return "{\"name\":\"llm\",\"healthCheck\":\"/health\",\"maxConnections\":"
         "968,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":192,"
         "\"kvCapacityTokens\":100000,\"kvTokenBytes\":590000,"
         "\"linkMbps\":480000.0,\"stride\":2,\"models\":[{\"name\":\"m0\","
         "\"pace\":1.0,\"loadS\":14.0,\"warmS\":1.0}],\"step_ms\":0.85,"
         "\"per_seq_ms\":0.00382,\"context_per_k\":0.00512,"
         "\"read_per_s\":196000.0,\"pairs_per_m\":0.166,\"chunk\":512,"
         "\"report_lag_ms\":200.0,\"loads_at_once\":6,"
         "\"usual\":{\"prompt\":772,\"answer\":172},\"layers\":"
         + std::to_string (LAYERS)
         + ",\"layerMb\":1750.0,\"actBytes\":29500,\"pipeMbps\":9000.0,"
           "\"kinds\":[{\"name\":\"h100\",\"mb\":72000.0,\"pace\":1.4,"
           "\"readX\":1.0}]}}";
}

bool
send_stream_request (Connection *c, const std::string &id)
{
  return c->send_request (
      "POST", "/draft/1",
      { { "Marjoramquay-Attempt-Id", id },
        { "Marjoramquay-Time-Budget-Ms", "20000" },
        { "Marjoramquay-Model", "m0" },
        { "Marjoramquay-Token-Counts", "800,80" },
        { "Marjoramquay-Prompt-Prefix", "5c1e07a2:40,91bd3f06:760" } },
      "x");
}

/* Returns true if A is a whole stream.  */
bool
is_whole (const Answer &a)
{
  std::string s;

  for (unsigned n = 1; n <= EVENTS; n++)
    s += "id: " + std::to_string (n) + "\ndata: " + std::to_string (n)
         + "\n\n";
  return a.status == 200 && a.complete && a.body == s;
}

/* Sends streams on channels that each had an answer before, and returns how
   many end without a complete answer.  With TERM_TO, SIGTERM goes to that
   process once the streams run.  */
unsigned
play (const Router *router, const std::string &name, pid_t term_to)
{
  std::vector<Connection> channels (CLIENTS);
  std::vector<Answer> answers (CLIENTS);
  std::vector<std::thread> threads;
  unsigned lost = 0;

  for (unsigned i = 0; i < CLIENTS; i++)
    if (!channels[i].open (router->front ())
        || !channels[i].send_request (
            "GET", "/none/",
            { { "Marjoramquay-Attempt-Id", name + "-first" } }, "")
        || channels[i].read_answer ().status != 404)
      return 0;
  for (unsigned i = 0; i < CLIENTS; i++)
    threads.emplace_back ([&, i] {
      std::string id = name + "-" + std::to_string (i);

      send_stream_request (&channels[i], id);
      answers[i] = channels[i].read_answer ();
      RECORD ("%s: status %u, %zu bytes, %s", id.c_str (), answers[i].status,
              answers[i].body.size (),
              is_whole (answers[i]) ? "whole" : "channel closed");
    });
  if (term_to > 0)
    {
      sleep_s (0.4);
      RECORD ("SIGTERM to the router");
      kill (term_to, SIGTERM);
    }
  for (auto &t : threads)
    t.join ();
  /* A refusal is a complete answer, too.  The deadline, which excuses, is far
     away.  */
  for (auto &a : answers)
    lost += a.connected && !a.complete;
  return lost;
}

} // namespace

int
main (int argc, char **argv)
{
  Script s (argc > 1 ? argv[1] : "record.txt");
  std::vector<std::unique_ptr<ModelEngine> > engines;
  Router *router;
  unsigned before;
  unsigned around;
  double until;
  bool served = false;

  if (!s.store.start (s.ip (1)))
    s.finish (NOT_RUN);
  s.store.put (
      "config", "main",
      configuration (1,
                     route_text ("r-1", "/draft/", "streaming", "llm", 20000,
                                 ",\"resumable\":true,"
                                 "\"sessionAffinity\":true,"
                                 "\"gapTargetMs\":200"),
                     model_service ()));
  for (unsigned i = 0; i < ENGINES; i++)
    {
      engines.emplace_back (new ModelEngine);
      ModelEngine *e = engines.back ().get ();

      e->silence_s = s.trouble ? SILENCE_S : USUAL_S;
      e->set_entry ();
      if (!e->engine.start (&s.store, s.ip (100 + i),
                            "i-" + std::to_string (i), "llm",
                            "zone-" + std::to_string (i % 2),
                            [e] (Request &r) { return e->handle (r); }))
        s.finish (NOT_RUN);
    }
  router = s.add_router ("front-0", "zone-0", { s.ip (10) });
  if (router == nullptr || !router->wait_ready (20))
    s.finish (NOT_RUN);
  until = now_s () + 20;
  while (!served && now_s () < until)
    {
      Connection c;

      served = c.open (router->front ()) && send_stream_request (&c, "early")
               && c.read_answer ().status == 200;
      if (!served)
        sleep_s (0.5);
    }
  if (!served)
    s.finish (NOT_RUN);
  RECORD ("streams are served");
  sleep_s (3); /* Both zones have their chains, and all is calm.  */
  before = play (router, "calm", 0);
  sleep_s (1);
  around = play (router, "stop", router->pid);
  /* RULES.md, "LOST": around a SIGTERM a channel ends without a complete
     answer once the request has been passed on to an engine.  */
  RECORD ("%u of %u streams were cut without a planned stop, %u of %u beside "
          "one, where the rule allows none",
          before, CLIENTS, around, CLIENTS);
  s.finish (around > 0 ? BROKEN : HELD);
}
