/* Sound engines that fall silent for a second or so and go on.

   An engine's silence, and what new connections to it meet meanwhile, are no
   reason to end an answer: the runs go on where they were.  Only what shows
   that a run is lost ends it, or a new run elsewhere that takes its place.  */

#include "support/silent_fleet.h"

#include <list>

using gateway::Answer;
using gateway::Door;
using gateway::doors;
using gateway::events;
using gateway::Kind;
using gateway::kinds;
using gateway::silences_s;
using gateway::SilentEngine;

namespace
{

/* The parameter: a new configuration comes with the silence.  */
class SilentEngines : public gateway::SilentFleet,
                      public ::testing::WithParamInterface<bool>
{
protected:
  void
  play ()
  {
    reconfigures = GetParam ();
    start_cases ();
    play_cases ();
  }

  /* Add cases whose paths have two stages.  The second one is silent, and so
     is the head, which waits for it.  REPORT sets what that reports.  */
  void
  add_stages (const std::string &place, const Function &report)
  {
    for (Kind kind : kinds)
      for (Door door : doors)
        for (double silence_s : silences_s)
          {
            if (!gateway::is_stream (kind))
              continue;
            Case &c = add_case (place, kind, door, silence_s);
            add_engine (c, "one", 0, 40);
            add_engine (c, "one", 40, 80);
            c.silence = [report] (Case &x) {
              x.engines[0]->fall_silent (Door::Reports);
              x.engines[1]->fall_silent (x.door);
              report (x);
            };
          }
  }
};

/* A client of a stream that reads when it is told to.  */
class SlowReader
{
public:
  SlowReader (unsigned port, const std::string &target, const std::string &id)
  {
    sockaddr_in to = {};
    int size = 4096;
    std::string request
        = "POST " + target
          + " HTTP/1.1\r\nHost: x.example\r\nMarjoramquay-Attempt-Id: " + id
          + "\r\nMarjoramquay-Time-Budget-Ms: 9000\r\n"
            "Marjoramquay-Token-Counts: 100,20\r\n"
            "Marjoramquay-Credential: key-1\r\nContent-Length: 0\r\n\r\n";

    to.sin_family = AF_INET;
    to.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
    to.sin_port = htons ((uint16_t)port);
    setsockopt (fd_, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
    EXPECT_EQ (connect (fd_, reinterpret_cast<sockaddr *> (&to), sizeof to),
               0);
    EXPECT_EQ (send (fd_, request.data (), request.size (), MSG_NOSIGNAL),
               (ssize_t)request.size ());
  }

  SlowReader (const SlowReader &) = delete;
  SlowReader &operator= (const SlowReader &) = delete;
  ~SlowReader () { close (fd_); }

  /* Read MAX bytes at most.  Returns false at the end.  */
  bool
  read_some (size_t max)
  {
    std::string buffer (max, 0);
    ssize_t n = recv (fd_, buffer.data (), max, MSG_DONTWAIT);

    if (n > 0)
      received_.append (buffer, 0, (size_t)n);
    return n > 0 || (n < 0 && errno == EAGAIN);
  }

  /* Read what is there.  Returns true when the response is complete, or its
     connection has ended.  */
  bool
  read_all ()
  {
    size_t before;

    do
      {
        before = received_.size ();
        if (!read_some (1 << 16))
          return true;
      }
    while (received_.size () > before);
    return received_.size () > 5
           && received_.compare (received_.size () - 5, 5, "0\r\n\r\n") == 0;
  }

  /* Returns true if the events 1 to LAST have arrived, each once.  */
  bool
  is_whole (unsigned last) const
  {
    size_t at = 0;

    for (unsigned i = 1; i <= last; i++)
      {
        std::string id = "id: " + std::to_string (i) + "\n";

        at = received_.find (id, at);
        if (at == std::string::npos)
          return false;
      }
    return received_.find ("id: ", at + 1) == std::string::npos
           && received_.find (" 200 ") < 16;
  }

private:
  int fd_ = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  std::string received_;
};

/* Several requests to one service.  */
class SilentService : public gateway::SilentFleet
{
protected:
  struct Request
  {
    Answer answer;
    std::string id;
    size_t size = 0;       /* Of what has arrived ... */
    ev_tstamp changed = 0; /* ... and when that grew.  */
    ev_tstamp longest_gap = 0;
    ev_tstamp ended = 0;
  };

  Request &
  send (const Case &c, const std::string &body)
  {
    requests.push_back (std::make_unique<Request> ());
    Request &r = *requests.back ();

    start_request (r.answer, c.kind == Kind::Safe ? "GET" : "POST", target (c),
                   gateway::key, c.kind == Kind::Safe ? "" : body, 0, "9000");
    r.id = "a" + std::to_string (serial);
    r.changed = ev_time ();
    return r;
  }

  /* Measure the gaps in what arrives.  Returns true if all requests have
     ended.  */
  bool
  watch ()
  {
    ev_tstamp now = ev_time ();
    bool ended = true;

    for (auto &r : requests)
      {
        if (r->size < r->answer.body.size ())
          {
            r->longest_gap = std::max (r->longest_gap, now - r->changed);
            r->size = r->answer.body.size ();
            r->changed = now;
          }
        ended = ended && r->answer.ended;
        if (r->answer.ended && r->ended == 0)
          r->ended = now;
      }
    return ended;
  }

  /* Returns the number of runs of R at the engines of C.  */
  static unsigned
  count_runs_of (const Case &c, const Request &r)
  {
    unsigned n = 0;

    for (SilentEngine *e : c.engines)
      n += e->count_runs (r.id);
    return n;
  }

  /* Returns the engine of C that runs R, or null.  */
  static SilentEngine *
  engine_of (const Case &c, const Request &r)
  {
    for (SilentEngine *e : c.engines)
      if (e->count_runs (r.id) > 0)
        return e;
    return nullptr;
  }

  /* Wait until the request of each case runs, and streams that are to fall
     silent between two events have begun.  */
  void
  await_runs ()
  {
    ASSERT_TRUE (until ([&] {
      bool all = true;

      watch ();
      for (size_t i = 0; i < cases.size (); i++)
        all = all && engine_of (*cases[i], *requests[i]) != nullptr
              && (requests[i]->size > 0 || cases[i]->kind == Kind::BeforeEvent
                  || !gateway::is_stream (cases[i]->kind));
      return all;
    }));
  }

  /* Add a chain of two stages, and an engine with all layers elsewhere.  */
  void
  add_chain_and_whole (Case &c)
  {
    add_engine (c, "one", 0, 40);
    add_engine (c, "one", 40, 80);
    add_engine (c, "two");
  }

  /* Send a request to each case, have SILENCE silence its engine for good, and
     check that it goes on elsewhere.  */
  void
  stay_silent (const std::function<void (Case &, SilentEngine *)> &silence)
  {
    const double patience_s = 2;

    start_cases ();
    for (auto &c : cases)
      send (*c, "prompt");
    await_runs ();
    for (size_t i = 0; i < cases.size (); i++)
      {
        ASSERT_FALSE (requests[i]->answer.ended) << cases[i]->name;
        silence (*cases[i], engine_of (*cases[i], *requests[i]));
      }
    EXPECT_TRUE (until ([&] { return watch (); }));
    for (size_t i = 0; i < cases.size (); i++)
      {
        EXPECT_EQ (fault_of (*cases[i], requests[i]->answer), "")
            << cases[i]->name;
        EXPECT_LE (requests[i]->longest_gap, patience_s) << cases[i]->name;
      }
  }

  std::vector<std::unique_ptr<Request> > requests;
};

} // namespace

/* The engine is the only one of its service, or the others do not run what
   they get.  */
TEST_P (SilentEngines, WithoutSubstitute)
{
  add_cases (
      "only engine", [&] (Case &c) { add_engine (c, "one"); },
      [] (Case &c) { c.running ()->fall_silent (c.door); });
  add_cases (
      "other refuses", [&] (Case &c) { add_pair (c); },
      [] (Case &c) { silence_running (c, SilentEngine::Conduct::Refuses); });
  add_cases (
      "other breaks", [&] (Case &c) { add_pair (c); },
      [] (Case &c) { silence_running (c, SilentEngine::Conduct::Breaks); });
  play ();
}

TEST_P (SilentEngines, Several)
{
  add_cases (
      "all of service", [&] (Case &c) { add_pair (c); },
      [] (Case &c) {
        for (SilentEngine *e : c.engines)
          e->fall_silent (c.door);
      });
  add_cases (
      "all of domain",
      [&] (Case &c) {
        add_pair (c);
        add_pair (c);
      },
      [] (Case &c) {
        std::string domain = c.running ()->domain;

        for (SilentEngine *e : c.engines)
          if (e->domain == domain)
            e->fall_silent (c.door);
      });
  play ();
}

/* A stage of a path is silent.  Its head reports nothing, or that it is
   stalled, or that one is stalled that leaves the list.  */
TEST_P (SilentEngines, StageOfPath)
{
  auto name_it
      = [] (Case &c) { c.engines[0]->stalled = { c.engines[1]->address }; };

  add_stages ("stage", [] (Case &) {});
  add_stages ("stage named", name_it);
  add_stages ("stage named, unlisted", [this, name_it] (Case &c) {
    name_it (c);
    store.remove ("servers", c.engines[1]->id);
    c.relists = true;
  });
  play ();
}

INSTANTIATE_TEST_SUITE_P (Silence, SilentEngines, ::testing::Bool (),
                          [] (const auto &p) {
                            return p.param ? "WithConfiguration" : "Alone";
                          });

/* More streams are silent at one engine than the retry budget allows to move.
   The rest waits for the engine; none is ended.  */
TEST_F (SilentService, StreamsBeyondRetryBudgetWait)
{
  constexpr unsigned n = 40;

  sends_slack = 4;
  sends_window_ms = 10000;
  for (Kind kind : { Kind::Resumable, Kind::BetweenEvents })
    for (Door door : doors)
      add_pair (add_case ("budget", kind, door, 1.9), n * 2);
  start_cases ();
  for (unsigned i = 0; i < n; i++)
    for (auto &c : cases)
      send (*c, "prompt " + std::to_string (i));
  ASSERT_TRUE (until ([&] {
    return std::all_of (requests.begin (), requests.end (),
                        [] (auto &r) { return !r->answer.body.empty (); });
  }));
  for (auto &c : cases)
    c->engines[0]->fall_silent (c->door);
  wait (1.9);
  for (auto &e : engines)
    e->go_on ();
  EXPECT_TRUE (until ([&] { return watch (); }));
  for (size_t i = 0; i < cases.size (); i++)
    {
      const Case &c = *cases[i];
      unsigned faults = 0, waited = 0;

      for (size_t j = i; j < requests.size (); j += cases.size ())
        {
          faults += !fault_of (c, requests[j]->answer).empty ();
          waited += c.engines[1]->count_runs (requests[j]->id) == 0;
        }
      EXPECT_EQ (faults, 0u) << "of " << n << ", " << c.name;
      EXPECT_GT (waited, 0u) << c.name;
    }
}

/* The client does not read, so that the router does not either.  This is no
   silence of the engine, and there is no reason for another run.  */
TEST_F (SilentService, SlowReaderIsNoSilenceOfEngine)
{
  for (Kind kind : { Kind::Resumable, Kind::BeforeEvent, Kind::BetweenEvents })
    {
      Case &c = add_case ("slow reader", kind, Door::Held, 1.9);

      add_pair (c);
      for (SilentEngine *e : c.engines)
        {
          e->padding = std::string (1 << 15, 'x');
          e->last_event = 1000;
          e->gap_s = 0.001;
        }
    }
  start_cases ();
  std::list<SlowReader> readers;
  for (auto &c : cases)
    {
      c->run_id = "slow-" + c->service;
      readers.emplace_back (clients_port, target (*c), c->run_id);
    }
  wait (0.2);
  for (SlowReader &r : readers)
    r.read_some (8192);
  wait (1.9);
  for (auto &e : engines)
    EXPECT_EQ (e->finished, 0u);
  size_t i = 0;
  for (SlowReader &r : readers)
    {
      const Case &c = *cases[i++];

      EXPECT_TRUE (until ([&] { return r.read_all (); })) << c.name;
      EXPECT_TRUE (r.is_whole (1000)) << c.name;
      EXPECT_EQ (count_runs (c), 1u) << c.name;
    }
}

/* Three engines fall silent in turn, each with a request of the same content
   that had just begun, and refuse connections meanwhile.  None has crashed.
 */
TEST_F (SilentService, SilenceIsNoCrashOfContent)
{
  for (Door door : { Door::Refused, Door::Reset, Door::Unanswered })
    {
      Case &c = add_case ("content", Kind::BeforeEvent, door, 1.0);

      for (const char *domain : { "one", "two", "three" })
        add_engine (c, domain);
    }
  start_cases ();
  for (unsigned round = 0; round < 3; round++)
    {
      requests.clear ();
      for (auto &c : cases)
        {
          for (unsigned i = 0; i < 3; i++)
            c->engines[i]->conduct = i == round
                                         ? SilentEngine::Conduct::Runs
                                         : SilentEngine::Conduct::Refuses;
          send (*c, "the same");
        }
      for (size_t i = 0; i < cases.size (); i++)
        {
          ASSERT_TRUE (until (
              [&] { return engine_of (*cases[i], *requests[i]) != nullptr; }));
          cases[i]->engines[round]->fall_silent (cases[i]->door);
        }
      wait (1.0);
      for (auto &c : cases)
        c->engines[round]->go_on ();
      EXPECT_TRUE (until ([&] { return watch (); }));
      for (size_t i = 0; i < cases.size (); i++)
        EXPECT_EQ (fault_of (*cases[i], requests[i]->answer), "")
            << cases[i]->name << ", round " << round;
    }
  requests.clear ();
  for (auto &c : cases)
    {
      for (SilentEngine *e : c->engines)
        e->conduct = SilentEngine::Conduct::Runs;
      send (*c, "the same");
    }
  EXPECT_TRUE (until ([&] { return watch (); }));
  for (size_t i = 0; i < cases.size (); i++)
    EXPECT_EQ (fault_of (*cases[i], requests[i]->answer), "")
        << cases[i]->name << ", after all";
  EXPECT_NE (fetch ("GET", "/metrics", {}, "", metrics_port)
                 .body.find ("marjoramquay_upstream_ends_total 0"),
             std::string::npos);
}

/* The end of a connection does show that its run is lost: it is left at
   once.  */
TEST_F (SilentService, EngineThatEndsIsLeftAtOnce)
{
  const double at_once_s = 0.5;
  ev_tstamp crashed;

  for (Kind kind : kinds)
    add_pair (add_case ("end of engine", kind, Door::Refused, 0));
  start_cases ();
  for (auto &c : cases)
    send (*c, "prompt");
  await_runs ();
  for (size_t i = 0; i < cases.size (); i++)
    {
      ASSERT_FALSE (requests[i]->answer.ended) << cases[i]->name;
      engine_of (*cases[i], *requests[i])->crash ();
    }
  crashed = ev_time ();
  EXPECT_TRUE (until ([&] { return watch (); }));
  for (size_t i = 0; i < cases.size (); i++)
    {
      const Case &c = *cases[i];
      const Request &r = *requests[i];

      EXPECT_LE (r.longest_gap, at_once_s) << c.name;
      if (gateway::may_repeat (c.kind))
        {
          EXPECT_EQ (fault_of (c, r.answer), "") << c.name;
          EXPECT_EQ (count_runs_of (c, r), 2u) << c.name;
          continue;
        }
      EXPECT_LE (r.ended - crashed, at_once_s) << c.name;
      EXPECT_EQ (count_runs_of (c, r), 1u) << c.name;
      EXPECT_NE (fault_of (c, r.answer), "") << c.name;
    }
}

/* An engine that stays silent does not hold what may run elsewhere: a stream
   goes on before its client leaves.  */
TEST_F (SilentService, EngineThatStaysSilentIsLeft)
{
  for (Kind kind : { Kind::Resumable, Kind::Safe })
    for (Door door : doors)
      if (door != Door::Reports)
        add_pair (add_case ("stays silent", kind, door, 9));
  for (Door door : doors)
    add_chain_and_whole (add_case ("stage", Kind::Resumable, door, 9));
  stay_silent ([] (Case &c, SilentEngine *head) {
    if (head->end != 40)
      head->fall_silent (c.door);
    else
      {
        head->fall_silent (Door::Reports);
        head->stalled = { c.engines[1]->address };
        c.engines[1]->fall_silent (c.door);
      }
  });
}

/* The same when reports of the engine are as usual.  */
TEST_F (SilentService, EngineThatReportsNothingIsLeft)
{
  add_pair (add_case ("head", Kind::Resumable, Door::Reports, 9));
  for (Door door : doors)
    add_chain_and_whole (add_case ("stage", Kind::Resumable, door, 9));
  stay_silent ([] (Case &c, SilentEngine *head) {
    head->fall_silent (Door::Reports);
    if (head->end == 40)
      c.engines[1]->fall_silent (c.door);
  });
}
