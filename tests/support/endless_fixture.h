/* A test fixture: a router as a process of its own, before upstreams that send
   bytes without end, which are no answer, in a head or a body, until the
   router closes.  */

#ifndef MQ_TESTS_ENDLESS_FIXTURE_H
#define MQ_TESTS_ENDLESS_FIXTURE_H

#include "endless_engine.h"
#include "gateway_fixture.h"
#include "router_process.h"

#include <algorithm>

namespace gateway
{

/* The memory of a VM, all of which the router's process may not take.  */
inline constexpr size_t vm_kib = (size_t)260 * 1024;
/* The time that a request has, and its route's time limit.  */
inline constexpr unsigned budget_ms = 5000;

inline const std::string signed_head
    = "Marjoramquay-Attempt-Id: @ID@\r\nMarjoramquay-Response-Signature: "
      "s\r\n";
inline const std::string stream_head = "HTTP/1.1 200 OK\r\n" + signed_head
                                       + "Content-Type: text/event-stream\r\n";
inline const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";

inline std::string
chunk (const std::string &data)
{
  char size[16];

  snprintf (size, sizeof size, "%zx\r\n", data.size ());
  return size + data + "\r\n";
}

/* A response, or a part of one, that has no end.  */
struct Pattern
{
  const char *name;
  std::string head, unit;
};

inline void
PrintTo (const Pattern &p, std::ostream *out)
{
  *out << p.name;
}

/* Heads without end.  */
inline const std::vector<Pattern> heads = {
  { "StatusLines", "", "HTTP/1.1 200 OK\r\n" },
  { "Interim", "", "HTTP/1.1 100 Continue\r\n\r\n" },
  { "EarlyHints", "", "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n" },
  { "HeaderLines", "HTTP/1.1 200 OK\r\n", "X-A: bbbbbbbb\r\n" },
  { "OneHeaderLine", "HTTP/1.1 200 OK\r\nX-A: ", "bbbbbbbb" },
  { "NoHttp", "", "no HTTP at all " },
};

/* Errors whose bodies have no end.  */
inline const std::vector<Pattern> errors = {
  { "ErrorWithLength",
    "HTTP/1.1 500 Error\r\n" + signed_head
        + "Content-Length: 999999999\r\n\r\n",
    "an error " },
  { "ErrorInChunks", "HTTP/1.1 500 Error\r\n" + signed_head + chunked,
    chunk ("an error ") },
  { "ErrorUnframed", "HTTP/1.1 500 Error\r\n" + signed_head + "\r\n",
    "an error " },
};

class EndlessBytes : public gateway::Fixture
{
protected:
  ~EndlessBytes () override { router_process.reset (); }

  /* The response of a sound upstream.  */
  static EndlessScript
  serve_soundly (const std::string &request)
  {
    std::string last = EndlessEngine::header (request, "Last-Event-Id");

    if (request.find ("GET /report") == 0)
      return EndlessEngine::sound_report ();
    if (request.find ("POST /long-stream/") == 0)
      return { stream_head + chunked
                   + chunk (events (
                       last.empty () ? 1 : (unsigned)std::stoul (last) + 1, 3))
                   + "0\r\n\r\n",
               "", 0 };
    return { "HTTP/1.1 200 OK\r\n" + signed_head
                 + "Content-Length: 2\r\n\r\nok",
             "", 0 };
  }

  /* Add an upstream that serves requests of clients by SCRIPT.  */
  EndlessEngine &
  add_bad (const std::string &service, const EndlessScript &script)
  {
    return add_engine (service, [=] (const std::string &request) {
      return request.find ("POST /long-") == 0 ? script
                                               : serve_soundly (request);
    });
  }

  EndlessEngine &
  add_engine (const std::string &service,
              const EndlessEngine::Serve &serve = serve_soundly)
  {
    std::string id = "e-" + std::to_string (engines.size ());

    engines.push_back (std::make_unique<EndlessEngine> (serve));
    store.put (
        "servers", id,
        engines.back ()->entry (service, engines.size () % 2 ? "one" : "two"));
    return *engines.back ();
  }

  /* Start a router in a process of its own, with routes that have time.  */
  void
  start_process ()
  {
    unsigned base = free_ports ();

    clients_port = base;
    readiness_port = base + 1;
    metrics_port = base + 4;
    configure (1, "," + long_route ("/long-safe/", "safe", "app") + ","
                      + patient_route ("/long-patient/", "safe", "app") + ","
                      + long_route ("/long-unsafe/", "unsafe", "app") + ","
                      + long_route ("/long-stream/", "streaming", "model"));
    std::string text = settings_text (base, "vm-1", "http://" + store_address);
    text.insert (text.find ("\"region\""), "\"memory_mb\":260,");
    router_process = std::make_unique<gateway::RouterProcess> (text);
    ASSERT_TRUE (until ([&] {
      return fetch ("GET", "/ready", {}, "", readiness_port).status == 200;
    }));
    wait (0.1);
    start_kib = router_process->peak_kib ();
  }

  /* A route whose calls no slowness ends before their deadline.  */
  static std::string
  patient_route (const std::string &prefix, const std::string &kind,
                 const std::string &service)
  {
    std::string s = long_route (prefix, kind, service);
    const std::string old = "\"targetLatencyMs\":60";

    return s.replace (s.find (old), old.size (),
                      "\"targetLatencyMs\":" + std::to_string (budget_ms));
  }

  static std::string
  long_route (const std::string &prefix, const std::string &kind,
              const std::string &service)
  {
    std::string s = route (prefix, kind, service, 2);
    const std::string old = "\"timeoutMs\":1500";

    return s.replace (s.find (old), old.size (),
                      "\"timeoutMs\":" + std::to_string (budget_ms));
  }

  /* Send N requests for TARGET, which have TIME_MS, at once and wait for their
     answers.  */
  std::vector<std::unique_ptr<Answer> >
  attempts (const std::string &target, unsigned n,
            unsigned time_ms = budget_ms)
  {
    std::vector<std::unique_ptr<Answer> > all;

    for (unsigned i = 0; i < n; i++)
      {
        all.push_back (std::make_unique<Answer> ());
        start_request (*all.back (), "POST", target, key,
                       "body " + std::to_string (serial), 0,
                       std::to_string (time_ms));
      }
    EXPECT_TRUE (until ([&] {
      return std::all_of (all.begin (), all.end (),
                          [] (auto &a) { return a->ended; });
    }));
    return all;
  }

  /* Send N requests for TARGET, again until some got to BAD.  All must be
     served within their time, with BODY.  */
  void
  expect_served (const std::string &target, EndlessEngine &bad,
                 const std::string &body, unsigned n)
  {
    for (unsigned i = 0; i < 20 && bad.count_runs () == 0; i++)
      for (auto &a : attempts (target, n))
        {
          EXPECT_EQ (a->status, 200u);
          EXPECT_EQ (a->result, MQ_HTTP_OK);
          /* What it is not may be long.  */
          EXPECT_TRUE (a->body == body) << a->body.substr (0, 200);
          served_s = std::max (served_s, ev_time () - a->sent);
        }
    EXPECT_GT (bad.count_runs (), 0u);
    EXPECT_LT (served_s, budget_ms / 1000.);
    expect_sound (bad);
  }

  /* BAD's connections are closed, and the router's memory is bounded.  */
  void
  expect_sound (EndlessEngine &bad)
  {
    EXPECT_TRUE (until ([&] { return bad.sending == 0; }));
    EXPECT_GT (router_process->peak_kib (), 0u);
    RecordProperty ("peak_kib", std::to_string (router_process->peak_kib ()));
    /* Well within: half of it is others'.  */
    EXPECT_LT (router_process->peak_kib (), vm_kib / 2);
  }

  bool
  logged (const std::string &text) const
  {
    return router_process->log ().find (text) != std::string::npos;
  }

  std::string store_address = store.server.address (); /* The router's.  */
  std::vector<std::unique_ptr<EndlessEngine> > engines;
  std::unique_ptr<gateway::RouterProcess> router_process;
  size_t start_kib = 0;
  double served_s = 0; /* The longest that a request took.  */
};

/* Name of a test for a pattern.  */
template <typename T>
std::string
test_name (const testing::TestParamInfo<T> &info)
{
  return info.param.name;
}

} // namespace gateway

#endif
