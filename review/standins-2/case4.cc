/* Case 4: an entry of another writer ends every router in turn.  See
   review/4/claim.txt.  */

#include "standins.h"

using namespace review;

namespace
{

constexpr unsigned LAYERS = 80;
constexpr double ENTRY_S = 0.5;   /* The other writer writes, after ready.  */
constexpr double WATCH_S = 35;    /* Time of the traffic.  */
constexpr double RESTART_S = 1.0; /* Delay of the platform's restarts.  */
constexpr unsigned MACHINES = 3;
constexpr unsigned ENGINES = 3;
constexpr unsigned CLIENTS = 1; /* Of each machine.  */
constexpr double WORK_S = 0.06; /* Of a call, as on the site's sheet.  */
/* Between two calls of a client: with three clients as often as the sheet
   says, 8.44 a second.  */
constexpr double GAP_S = 0.3;
/* From the start of the machines to that of the traffic.  */
constexpr double LEAD_S = 10;
/* RULES.md, "Fault": on a tenth of the machines in use, two at least,
   processes end by themselves three times in the day.  */
constexpr unsigned MAX_MACHINES = 2;
constexpr unsigned MAX_ENDS = 3;

/* A model engine: it loads what it is ordered to at once.  */
struct ModelEngine
{
  Engine engine;
  std::mutex mutex;
  unsigned from = 0, target = 0, sequence = 0;

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
  handle (Request &r)
  {
    std::lock_guard<std::mutex> l (mutex);

    if (r.path == "/report")
      return reply (r.fd, 200,
                    "{\"stage\":\"both\",\"busy\":false,\"sequence\":"
                        + std::to_string (sequence)
                        + ",\"waiting\":0,\"running\":0,\"kvUsed\":0,"
                          "\"kvTotal\":8000000,\"pace\":1.0,\"stalled\":[],"
                        + layers () + "}",
                    { { "Content-Type", "application/json" } });
    if (r.path != "/order")
      return reply (r.fd, 500, "", engine.signed_headers (r));
    if (number (r.body, "precondition") != sequence)
      return reply (r.fd, 409, "");
    from = number (r.body, "from");
    target = number (r.body, "target");
    sequence++;
    set_entry ();
    RECORD ("%s is ordered to hold layers %u to %u", engine.id.c_str (), from,
            target);
    return reply (r.fd, 202, "");
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

/* What the other writer puts into the list of engines: its layers are real
   numbers, in bytes, where whole numbers of layers belong.  */
const char *const foreign
    = "{\"service\":\"llm\",\"address\":\"127.0.0.1:9\",\"zone\":\"zone-0\","
      "\"state\":\"ready\",\"kind\":\"h100\","
      "\"layers\":{\"from\":70.0e9,\"target\":71.75e9}}";

struct Watched
{
  Router *router;
  unsigned ends = 0;
  double restart_s = 0;
};

/* Restarts the routers that have ended, as the platform does.  */
void
watch (Script *script, std::vector<Watched> *list, double until)
{
  while (now_s () < until)
    {
      for (auto &w : *list)
        {
          int status = 0;

          if (w.restart_s > 0 && now_s () >= w.restart_s)
            {
              w.restart_s = 0;
              script->start_router (w.router);
            }
          if (!w.router->has_ended (&status))
            continue;
          w.ends++;
          w.restart_s = now_s () + RESTART_S;
          RECORD ("router %s ended by itself: %s %d", w.router->name.c_str (),
                  WIFSIGNALED (status) ? "signal" : "status",
                  WIFSIGNALED (status) ? WTERMSIG (status)
                                       : WEXITSTATUS (status));
        }
      sleep_s (0.02);
    }
}

/* What the clients have seen.  */
struct Seen
{
  std::mutex mutex;
  std::map<std::string, bool> passed_on; /* By attempt.  */
  std::atomic<unsigned> answered{ 0 };
  std::atomic<unsigned> closed{ 0 };
  std::atomic<bool> stop{ false };
};

Headers
attempt (const std::string &id)
{
  return { { "Marjoramquay-Attempt-Id", id },
           { "Marjoramquay-Time-Budget-Ms", "4000" } };
}

/* Sends one request after the other to ROUTER, on a channel that it keeps.  */
void
send_requests (const Router *router, const std::string &name, Seen *seen)
{
  Connection c;

  for (unsigned n = 0; !seen->stop; n++)
    {
      std::string id = name + "-" + std::to_string (n);
      Answer a;

      if (c.fd < 0
          && (!c.open (router->front ())
              || !c.send_request ("GET", "/status/1", attempt (id + "-first"),
                                  "")
              || !c.read_answer ().complete))
        {
          c.shut ();
          sleep_s (0.05);
          continue;
        }
      if (c.send_request ("POST", "/book/1", attempt (id), "x"))
        a = c.read_answer ();
      if (a.complete)
        {
          seen->answered += a.status == 200;
          sleep_s (GAP_S);
          continue;
        }
      c.shut ();
      std::lock_guard<std::mutex> l (seen->mutex);
      if (seen->passed_on.count (id) == 0)
        continue;
      seen->closed++;
      RECORD ("%s: passed on, and the channel closed without an answer",
              id.c_str ());
    }
}

} // namespace

int
main (int argc, char **argv)
{
  Script s (argc > 1 ? argv[1] : "record.txt");
  std::vector<std::unique_ptr<ModelEngine> > engines;
  std::vector<Watched> watched;
  std::vector<std::string> seeds;
  std::vector<std::thread> clients;
  Engine app;
  Seen seen;
  unsigned many = 0;
  bool broken;

  if (!s.store.start (s.ip (1)))
    s.finish (NOT_RUN);
  s.store.put (
      "config", "main",
      configuration (
          1,
          route_text ("r-1", "/draft/", "streaming", "llm", 20000,
                      ",\"resumable\":true,\"sessionAffinity\":true,"
                      "\"gapTargetMs\":200")
              + "," + route_text ("r-2", "/book/", "unsafe", "app", 2000) + ","
              + route_text ("r-3", "/status/", "safe", "app", 2000),
          model_service () + "," + plain_service_text ("app")));
  for (unsigned i = 0; i < ENGINES; i++)
    {
      engines.emplace_back (new ModelEngine);
      ModelEngine *e = engines.back ().get ();

      e->set_entry ();
      if (!e->engine.start (&s.store, s.ip (100 + i),
                            "i-" + std::to_string (i), "llm", "zone-0",
                            [e] (Request &r) { return e->handle (r); }))
        s.finish (NOT_RUN);
    }
  if (!app.start (
          &s.store, s.ip (150), "a-1", "app", "zone-0", [&] (Request &r) {
            if (r.path == "/book/1")
              {
                std::unique_lock<std::mutex> l (seen.mutex);

                seen.passed_on[r.header ("marjoramquay-attempt-id")] = true;
                l.unlock ();
                sleep_s (WORK_S);
              }
            return reply (r.fd, 200, "booked", app.signed_headers (r));
          }))
    s.finish (NOT_RUN);
  for (unsigned i = 0; i < MACHINES; i++)
    seeds.push_back (s.ip (10 + i));
  for (unsigned i = 0; i < MACHINES; i++)
    watched.push_back ({ s.add_router ("front-" + std::to_string (i),
                                       "zone-" + std::to_string (i), seeds) });
  for (auto &w : watched)
    if (w.router == nullptr || !w.router->wait_ready (20))
      s.finish (NOT_RUN);
  RECORD ("all routers are ready");
  watch (&s, &watched, now_s () + ENTRY_S);
  if (s.trouble)
    {
      RECORD ("another writer puts servers/other-1: %s", foreign);
      s.store.put ("servers", "other-1", foreign);
    }
  watch (&s, &watched, LEAD_S);
  for (auto &w : watched)
    {
      RECORD ("before the traffic router %s ended by itself %u times, which "
              "do not count",
              w.router->name.c_str (), w.ends);
      w.ends = 0;
    }
  for (auto &w : watched)
    for (unsigned i = 0; i < CLIENTS; i++)
      clients.emplace_back (send_requests, w.router,
                            w.router->name + "-client-" + std::to_string (i),
                            &seen);
  watch (&s, &watched, now_s () + WATCH_S);
  seen.stop = true;
  for (auto &t : clients)
    t.join ();
  for (auto &w : watched)
    {
      RECORD ("router %s ended by itself %u times", w.router->name.c_str (),
              w.ends);
      many += w.ends >= MAX_ENDS;
    }
  RECORD ("%u requests were answered", (unsigned)seen.answered);
  RECORD ("Fault: %u machines with %u ends or more; allowed are fewer than %u",
          many, MAX_ENDS, MAX_MACHINES);
  RECORD ("%u channels closed without an answer after their request had been "
          "passed on; the exit status does not go by this",
          (unsigned)seen.closed);
  broken = many >= MAX_MACHINES;
  s.finish (broken ? BROKEN : seen.answered == 0 ? NOT_RUN : HELD);
}
