/* Upstreams that send bytes without end, which are no answer, in a head or a
   body, until the router closes.  The router must bound its memory, close the
   connection, and serve the request elsewhere where that may run twice, or
   else answer it in time.  */

#include "support/endless_engine.h"
#include "support/gateway_fixture.h"
#include "support/router_process.h"

#include <algorithm>

using gateway::Answer;
using gateway::EndlessEngine;
using gateway::EndlessScript;
using gateway::events;
using gateway::key;

namespace
{

/* The memory of a VM, all of which the router's process may not take.  */
constexpr size_t vm_kib = (size_t)260 * 1024;
/* The time that a request has, and its route's time limit.  */
constexpr unsigned budget_ms = 5000;

const std::string signed_head
    = "Marjoramquay-Attempt-Id: @ID@\r\nMarjoramquay-Response-Signature: "
      "s\r\n";
const std::string stream_head = "HTTP/1.1 200 OK\r\n" + signed_head
                                + "Content-Type: text/event-stream\r\n";
const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";

std::string
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

void
PrintTo (const Pattern &p, std::ostream *out)
{
  *out << p.name;
}

/* Heads without end.  */
const std::vector<Pattern> heads = {
  { "StatusLines", "", "HTTP/1.1 200 OK\r\n" },
  { "Interim", "", "HTTP/1.1 100 Continue\r\n\r\n" },
  { "EarlyHints", "", "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n" },
  { "HeaderLines", "HTTP/1.1 200 OK\r\n", "X-A: bbbbbbbb\r\n" },
  { "OneHeaderLine", "HTTP/1.1 200 OK\r\nX-A: ", "bbbbbbbb" },
  { "NoHttp", "", "no HTTP at all " },
};

/* Errors whose bodies have no end.  */
const std::vector<Pattern> errors = {
  { "ErrorWithLength",
    "HTTP/1.1 500 Error\r\n" + signed_head
        + "Content-Length: 999999999\r\n\r\n",
    "an error " },
  { "ErrorInChunks", "HTTP/1.1 500 Error\r\n" + signed_head + chunked,
    chunk ("an error ") },
  { "ErrorUnframed", "HTTP/1.1 500 Error\r\n" + signed_head + "\r\n",
    "an error " },
};

/* Bodies of streams, after their heads and any events, without further ones.
 */
const std::vector<Pattern> bodies = {
  { "Garbage", stream_head + chunked, chunk ("no events") },
  { "GarbageLines", stream_head + chunked, chunk ("no events\n\n") },
  { "EmptyLines", stream_head + chunked, chunk ("\n\n\n") },
  { "Comments", stream_head + chunked, chunk (": c\n\n") },
  { "CommentsWithoutEmptyLines", stream_head + chunked, chunk (": c\n") },
};

/* Bodies of answers to calls.  */
const std::string call_head = "HTTP/1.1 200 OK\r\n" + signed_head;
const std::vector<Pattern> answers = {
  { "WithLength", call_head + "Content-Length: 999999999\r\n\r\n",
    "an answer " },
  { "InChunks", call_head + chunked, chunk ("an answer ") },
  { "Unframed", call_head + "\r\n", "an answer " },
};

/* Parts of a body's framing that have no end.  */
const std::vector<Pattern> framings = {
  { "ChunkExtension", stream_head + chunked + "1;", "a=b;" },
  { "Trailers", stream_head + chunked + "0\r\n", "X-A: b\r\n" },
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
                      + long_route ("/long-unsafe/", "unsafe", "app") + ","
                      + long_route ("/long-stream/", "streaming", "model"));
    std::string text
        = settings_text (base, "vm-1", "http://" + store.server.address ());
    text.insert (text.find ("\"region\""), "\"memory_mb\":260,");
    router_process = std::make_unique<gateway::RouterProcess> (text);
    ASSERT_TRUE (until ([&] {
      return fetch ("GET", "/ready", {}, "", readiness_port).status == 200;
    }));
    wait (0.1);
    start_kib = router_process->peak_kib ();
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

class EndlessToStream : public EndlessBytes,
                        public testing::WithParamInterface<Pattern>
{
protected:
  /* N streams meet an engine that sends the pattern, PER_S bytes a second; a
     second engine is sound.  */
  void
  run_streams (unsigned n, double per_s, const std::string &first = "")
  {
    EndlessEngine &bad = add_bad (
        "model", { GetParam ().head + first, GetParam ().unit, per_s });

    add_engine ("model");
    start_process ();
    expect_served ("/long-stream/1", bad, events (1, 3), n);
  }
};

class EndlessToCall : public EndlessBytes,
                      public testing::WithParamInterface<Pattern>
{
protected:
  EndlessEngine &
  add_endless (double per_s)
  {
    return add_bad ("app", { GetParam ().head, GetParam ().unit, per_s });
  }

  /* N safe calls meet an engine that sends the pattern, PER_S bytes a second;
     a second engine is sound.  */
  void
  run_safe (unsigned n, double per_s)
  {
    EndlessEngine &bad = add_endless (per_s);

    add_engine ("app");
    start_process ();
    expect_served ("/long-safe/1", bad, "ok", n);
  }

  /* N unsafe calls, which have TIME_MS, meet only that engine.  Those that it
     got are answered with STATUS, others are refused, and none is sent twice.
   */
  void
  run_unsafe (unsigned n, double per_s, unsigned status,
              unsigned time_ms = budget_ms)
  {
    EndlessEngine &bad = add_endless (per_s);
    unsigned sent = 0;

    start_process ();
    for (auto &a : attempts ("/long-unsafe/1", n, time_ms))
      {
        EXPECT_EQ (a->result, MQ_HTTP_OK);
        EXPECT_TRUE (a->status == status || a->status == 503) << a->status;
        sent += a->status == status;
        served_s = std::max (served_s, ev_time () - a->sent);
      }
    EXPECT_GT (sent, 0u);
    EXPECT_EQ (sent, bad.count_runs ());
    for (auto &r : bad.runs ())
      EXPECT_EQ (r.second, 1u);
    expect_sound (bad);
  }
};

class EndlessErrorToStream : public EndlessToStream
{
};

class EndlessBodyToStream : public EndlessToStream
{
};

} // namespace

INSTANTIATE_TEST_SUITE_P (Head, EndlessToStream, testing::ValuesIn (heads),
                          test_name<Pattern>);
INSTANTIATE_TEST_SUITE_P (Framing, EndlessToStream,
                          testing::ValuesIn (framings), test_name<Pattern>);
INSTANTIATE_TEST_SUITE_P (Error, EndlessErrorToStream,
                          testing::ValuesIn (errors), test_name<Pattern>);
INSTANTIATE_TEST_SUITE_P (Body, EndlessBodyToStream,
                          testing::ValuesIn (bodies), test_name<Pattern>);

INSTANTIATE_TEST_SUITE_P (Body, EndlessToCall, testing::ValuesIn (answers),
                          test_name<Pattern>);
INSTANTIATE_TEST_SUITE_P (Error, EndlessToCall, testing::ValuesIn (errors),
                          test_name<Pattern>);

TEST_P (EndlessToCall, SafeIsServedElsewhere)
{
  run_safe (1, 0);
  EXPECT_TRUE (logged ("why=answer-too-large"));
}

TEST_P (EndlessToCall, ManySafeAreServedElsewhere) { run_safe (30, 0); }

TEST_P (EndlessToCall, SlowSafeIsServedElsewhere) { run_safe (1, 100); }

TEST_P (EndlessToCall, UnsafeIsAnsweredEarly)
{
  run_unsafe (1, 0, 502);
  EXPECT_LT (served_s, budget_ms / 1000.);
}

TEST_P (EndlessToCall, ManyUnsafeAreAnsweredEarly)
{
  run_unsafe (30, 0, 502);
  EXPECT_LT (served_s, budget_ms / 1000.);
}

TEST_P (EndlessToCall, SlowUnsafeIsAnsweredAtItsDeadline)
{
  run_unsafe (1, 100, 504, 1000);
}

TEST_P (EndlessErrorToStream, IsServedElsewhere)
{
  run_streams (1, 0);
  EXPECT_TRUE (logged ("why=error-too-large"));
}

TEST_P (EndlessErrorToStream, ManyAreServedElsewhere) { run_streams (30, 0); }

TEST_P (EndlessErrorToStream, SlowOneIsServedElsewhere)
{
  run_streams (1, 100);
}

TEST_P (EndlessBodyToStream, IsServedElsewhere) { run_streams (1, 0); }

TEST_P (EndlessBodyToStream, ManyAreServedElsewhere) { run_streams (30, 0); }

TEST_P (EndlessBodyToStream, SlowOneIsServedElsewhere)
{
  run_streams (1, 100);
}

/* The engine's first event is kept, and no byte after it.  */
TEST_P (EndlessBodyToStream, AfterFirstEventIsResumed)
{
  EndlessEngine &bad
      = add_bad ("model", { GetParam ().head + chunk (events (1, 1)),
                            GetParam ().unit, 0 });

  add_engine ("model");
  start_process ();
  Answer a;
  for (unsigned i = 0; i < 20 && bad.count_runs () == 0; i++)
    a = *attempts ("/long-stream/1", 1)[0];
  ASSERT_GT (bad.count_runs (), 0u);
  EXPECT_EQ (a.status, 200u);
  EXPECT_EQ (a.result, MQ_HTTP_OK);
  EXPECT_TRUE (a.body == events (1, 3)) << a.body.substr (0, 200);
  expect_sound (bad);
}

TEST_P (EndlessToStream, IsServedElsewhere) { run_streams (1, 0); }

/* Guards against dropping or changing comments of a sound stream, which are
   held until the next event or the end.  */
TEST_F (EndlessBytes, SoundCommentsReachClientUnchanged)
{
  const std::string body = ": before\n\n" + events (1, 1) + ": one\n\n\n"
                           + ": two\n\n" + events (2, 3) + "data: no id\n\n"
                           + ": after\n\n";
  EndlessEngine &engine = add_bad (
      "model", { stream_head + chunked + chunk (body) + "0\r\n\r\n", "", 0 });

  start_process ();
  Answer a = std::move (*attempts ("/long-stream/1", 1)[0]);
  EXPECT_EQ (a.status, 200u);
  EXPECT_EQ (a.body, body);
  EXPECT_EQ (engine.count_runs (), 1u);
}

/* Guards against a response that begins, and then breaks, before any event.
 */
TEST_F (EndlessBytes, CommentsDoNotBeginResponse)
{
  Answer a;

  add_bad ("model", { stream_head + chunked + chunk (": c\n\n"),
                      chunk (": c\n\n"), 100 });
  start_process ();
  start_request (a, "POST", "/long-stream/1", key, "", 0, "1000");
  EXPECT_TRUE (until ([&] { return a.ended; }));
  EXPECT_EQ (a.result, MQ_HTTP_OK);
  EXPECT_EQ (a.status, 504u);
}
