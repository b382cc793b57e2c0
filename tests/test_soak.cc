/* The soak's own tests: that its checker reports each broken promise, and only
   those, and that bad input starts nothing.  */

#include "soak/answer.h"
#include "soak/checker.h"
#include "soak/directory.h"
#include "support/programs.h"

#include <dirent.h>

#include <filesystem>

using soak::Attempt;
using soak::Kind;
using soak::Message;

namespace
{

constexpr uint64_t seed = 1;
constexpr char id[] = "c1-1-1";

class SoakChecker : public ::testing::Test
{
protected:
  SoakChecker () : checker (seed)
  {
    checker.add_configuration (1, { { "/p/", "model" } });
    checker.add_configuration (2, { { "/p/", "app" }, { "/q/", "model" } });
    checker.has_bounds = false;
  }

  /* Send an attempt of KIND.  */
  void
  send (Kind kind)
  {
    attempt.id = id;
    attempt.kind = kind;
    attempt.method = "POST";
    attempt.target = "/p/x";
    attempt.sent_at = 10;
    attempt.ended_at = 10.1;
    attempt.timeout_s = 3;
    attempt.router_calm = true;
    checker.add_sent (attempt);
  }

  /* The N-th engine runs it and answers whole.  */
  soak::Run
  run (unsigned n = 1, bool is_stream = false)
  {
    soak::Run r;

    r.service = is_stream ? "model" : "app";
    r.engine = "e" + std::to_string (n);
    r.attempt = id;
    r.method = "POST";
    r.target = "/p/x";
    r.body_digest = attempt.body_digest;
    r.plan = "whole";
    r.signature = "s" + std::to_string (n);
    r.status = 200;
    r.has_run = r.is_whole = true;
    r.size = 50;
    r.first = 1;
    if (is_stream)
      r.last = last;
    return r;
  }

  /* The client gets STATUS and BODY with SIGNATURE, complete or not.  */
  void
  answer (unsigned status, const std::string &signature,
          const std::string &body, Attempt::End end = Attempt::End::Answered,
          const std::string &echo = id)
  {
    Message &m = attempt.answer;

    m.has_head = true;
    m.status = status;
    m.body = body;
    m.headers = { { "marjoramquay-attempt-id", echo } };
    if (!signature.empty ())
      m.headers.push_back ({ "marjoramquay-response-signature", signature });
    attempt.end = end;
    checker.add_end (attempt);
    checker.finish ();
  }

  std::string
  events (unsigned from, unsigned to, const std::string &signature) const
  {
    std::string s;

    for (unsigned i = from; i <= to; i++)
      s += soak::event_text (soak::request_of (id), i, signature);
    return s;
  }

  /* The client gets the whole answer of the first engine, which reads the
     request at AT.  */
  void
  answer_at (double at)
  {
    checker.has_bounds = true;
    send (Kind::Safe);
    soak::Run r = run ();
    r.at = at;
    checker.add_run (r);
    answer (200, r.signature, soak::body_of (r));
  }

  void leave (unsigned n, double at);
  void send_again (unsigned n, unsigned further);
  void serve (unsigned n, double at, unsigned served);

  /* Returns the rules that were found broken.  */
  std::string
  found () const
  {
    std::string s;

    for (auto &f : checker.findings)
      s += (s.empty () ? "" : " ") + f.rule;
    return s;
  }

  soak::Checker checker;
  Attempt attempt;
  unsigned last = soak::events_of (soak::request_of (id), seed);
};

/* Runs the soak with ARGUMENTS that are wrong.  Returns its exit status.  */
int
soak_status (const std::string &arguments)
{
  std::string command = programs::binary ("tests/mqsoak") + " " + arguments
                        + " > /dev/null 2>&1";
  int status = system (command.c_str ());

  return WIFEXITED (status) ? WEXITSTATUS (status) : -1;
}

} // namespace

TEST_F (SoakChecker, SoundAnswerIsNoFinding)
{
  send (Kind::Unsafe);
  soak::Run r = run ();
  checker.add_run (r);
  checker.add_done (id, r.signature);
  answer (200, r.signature, soak::body_of (r));
  EXPECT_EQ (found (), "");
}

TEST_F (SoakChecker, ShortBodyIsMixed)
{
  send (Kind::Safe);
  soak::Run r = run ();
  checker.add_run (r);
  answer (200, r.signature, soak::body_of (r).substr (0, 49));
  EXPECT_EQ (found (), "MIXED");
}

TEST_F (SoakChecker, BytesThatDifferAreMixed)
{
  send (Kind::Safe);
  soak::Run r = run ();
  checker.add_run (r);
  std::string body = soak::body_of (r);
  body[20] ^= 1;
  answer (200, r.signature, body);
  EXPECT_EQ (found (), "MIXED");
}

TEST_F (SoakChecker, SuccessOfMalformedAnswerIsMixed)
{
  send (Kind::Safe);
  soak::Run r = run ();
  r.is_whole = false;
  checker.add_run (r);
  answer (200, r.signature, soak::body_of (r));
  EXPECT_EQ (found (), "MIXED");
}

TEST_F (SoakChecker, SuccessWithoutSignatureIsMixed)
{
  send (Kind::Safe);
  soak::Run r = run ();
  checker.add_run (r);
  answer (200, "", soak::body_of (r));
  EXPECT_EQ (found (), "MIXED");
}

TEST_F (SoakChecker, SignatureOfAnotherRequestIsMixed)
{
  send (Kind::Safe);
  soak::Run r = run ();
  checker.add_run (r);
  answer (200, "s7", soak::body_of (r));
  EXPECT_EQ (found (), "MIXED");
}

TEST_F (SoakChecker, IdOfAnotherRequestIsMixed)
{
  send (Kind::Safe);
  soak::Run r = run ();
  checker.add_run (r);
  answer (200, r.signature, soak::body_of (r), Attempt::End::Answered,
          "c1-2-1");
  EXPECT_EQ (found (), "MIXED");
}

TEST_F (SoakChecker, FailureThatBecomesSuccessIsMixed)
{
  send (Kind::Safe);
  soak::Run r = run ();
  r.status = 500;
  checker.add_run (r);
  answer (200, r.signature, soak::body_of (r));
  EXPECT_EQ (found (), "MIXED");
}

TEST_F (SoakChecker, BytesWithoutRequestAreMixed)
{
  checker.add_unasked (id, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  EXPECT_EQ (found (), "MIXED");
}

/* Neither has a length; of the first the engine closed the connection in
   order, the second was cut by the end of its process.  */
TEST_F (SoakChecker, UnframedAnswerThatEndsInOrderIsNoFinding)
{
  send (Kind::Safe);
  soak::Run r = run ();
  r.is_whole = false;
  r.to_close = r.is_early = true;
  checker.add_run (r);
  answer (200, r.signature, soak::body_of (r).substr (0, 20));
  EXPECT_EQ (found (), "");
  EXPECT_EQ (checker.early_unframed, 1u);
}

TEST_F (SoakChecker, UnframedAnswerOfKilledEngineIsCountedApart)
{
  send (Kind::Safe);
  soak::Run r = run ();
  r.to_close = true;
  checker.add_run (r);
  answer (200, r.signature, soak::body_of (r).substr (0, 20));
  EXPECT_EQ (found (), "");
  EXPECT_EQ (checker.unframed_kills_complete.size (), 1u);
}

TEST_F (SoakChecker, UnframedAnswerThatWasResetIsMixed)
{
  send (Kind::Safe);
  soak::Run r = run ();
  r.to_close = true;
  r.is_whole = false;
  checker.add_run (r);
  checker.add_reset (id, r.signature);
  answer (200, r.signature, soak::body_of (r).substr (0, 20));
  EXPECT_EQ (found (), "MIXED");
}

TEST_F (SoakChecker, SecondRunOfUnsafeRequestIsTwice)
{
  send (Kind::Unsafe);
  checker.add_run (run (1));
  checker.add_run (run (2));
  EXPECT_EQ (found (), "TWICE");
}

TEST_F (SoakChecker, SecondRunOfStreamIsTwice)
{
  send (Kind::Stream);
  checker.add_run (run (1, true));
  checker.add_run (run (2, true));
  EXPECT_EQ (found (), "TWICE");
}

TEST_F (SoakChecker, RejectionBeforeRunIsNoFinding)
{
  send (Kind::Unsafe);
  soak::Run r = run (1);
  r.has_run = false;
  checker.add_run (r);
  checker.add_run (run (2));
  EXPECT_EQ (found (), "");
}

TEST_F (SoakChecker, RejectionAfterRunIsRefused)
{
  send (Kind::Unsafe);
  checker.add_run (run ());
  answer (503, "", "");
  EXPECT_EQ (found (), "REFUSED");
}

TEST_F (SoakChecker, RunAfterRejectionIsRefused)
{
  send (Kind::Unsafe);
  answer (429, "", "");
  checker.add_run (run ());
  EXPECT_EQ (found (), "REFUSED");
}

TEST_F (SoakChecker, WholeStreamIsNoFinding)
{
  send (Kind::Stream);
  soak::Run r = run (1, true);
  checker.add_run (r);
  answer (200, r.signature, events (1, last, r.signature));
  EXPECT_EQ (found (), "");
}

TEST_F (SoakChecker, MissingEventIsOrder)
{
  send (Kind::Stream);
  soak::Run r = run (1, true);
  checker.add_run (r);
  answer (200, r.signature,
          events (1, 1, r.signature) + events (3, last, r.signature));
  EXPECT_EQ (found (), "ORDER");
}

TEST_F (SoakChecker, RepeatedEventIsOrder)
{
  send (Kind::Stream);
  soak::Run r = run (1, true);
  checker.add_run (r);
  answer (200, r.signature,
          events (1, 2, r.signature) + events (2, last, r.signature));
  EXPECT_EQ (found (), "ORDER");
}

TEST_F (SoakChecker, StreamThatEndsEarlyIsOrder)
{
  send (Kind::Stream);
  soak::Run r = run (1, true);
  checker.add_run (r);
  answer (200, r.signature, events (1, last - 1, r.signature));
  EXPECT_EQ (found (), "ORDER");
}

TEST_F (SoakChecker, StreamThatIsCutIsNoFinding)
{
  send (Kind::Stream);
  soak::Run r = run (1, true);
  checker.add_run (r);
  answer (200, r.signature, events (1, 2, r.signature) + "id: 3\nda",
          Attempt::End::Cut);
  EXPECT_EQ (found (), "");
}

TEST_F (SoakChecker, EventsOfTwoRunsAreOrder)
{
  send (Kind::Resumable);
  checker.add_run (run (1, true));
  checker.add_run (run (2, true));
  answer (200, "s1", events (1, 2, "s1") + events (3, last, "s2"));
  EXPECT_EQ (found (), "ORDER");
}

TEST_F (SoakChecker, ResumedStreamIsNoFinding)
{
  send (Kind::Resumable);
  soak::Run r = run (2, true);
  r.first = 3;
  checker.add_run (run (1, true));
  checker.add_run (r);
  answer (200, "s1", events (1, 2, "s1") + events (3, last, "s2"));
  EXPECT_EQ (found (), "");
}

/* The first run gave all events and was cut before the end of its chunks.  */
TEST_F (SoakChecker, StreamResumedBehindItsLastEventIsNoFinding)
{
  send (Kind::Resumable);
  soak::Run one = run (1, true), two = run (2, true);
  one.is_whole = false;
  two.first = last + 1;
  checker.add_run (one);
  checker.add_run (two);
  answer (200, "s1", events (1, last, "s1"));
  EXPECT_EQ (found (), "");
}

TEST_F (SoakChecker, StreamWithoutItsEndIsMixed)
{
  send (Kind::Resumable);
  soak::Run r = run (1, true);
  r.is_whole = false;
  checker.add_run (r);
  answer (200, "s1", events (1, last, "s1"));
  EXPECT_EQ (found (), "MIXED");
}

TEST_F (SoakChecker, ClosedConnectionOfStoppedRouterIsLost)
{
  send (Kind::Unsafe);
  soak::Run r = run ();
  checker.add_run (r);
  attempt.router_stopping = true;
  attempt.end = Attempt::End::Closed;
  checker.add_end (attempt);
  checker.finish ();
  EXPECT_EQ (found (), "LOST");
}

TEST_F (SoakChecker, ConnectionThatItsEngineBrokeIsNoFinding)
{
  send (Kind::Unsafe);
  soak::Run r = run ();
  r.plan = "cut-length";
  checker.add_run (r);
  attempt.router_stopping = true;
  attempt.end = Attempt::End::Closed;
  checker.add_end (attempt);
  checker.finish ();
  EXPECT_EQ (found (), "");
}

TEST_F (SoakChecker, ConnectionOfKilledEngineIsNoFinding)
{
  send (Kind::Unsafe);
  soak::Run r = run ();
  checker.add_run (r);
  checker.add_engine_fault (r.engine, 10.05);
  attempt.router_stopping = true;
  attempt.end = Attempt::End::Closed;
  checker.add_end (attempt);
  checker.finish ();
  EXPECT_EQ (found (), "");
}

TEST_F (SoakChecker, OtherBodyIsUnasked)
{
  send (Kind::Safe);
  soak::Run r = run ();
  r.body_digest++;
  checker.add_run (r);
  EXPECT_EQ (found (), "UNASKED");
}

TEST_F (SoakChecker, ServiceOfNoConfigurationIsRoute)
{
  send (Kind::Safe);
  soak::Run r = run ();
  r.service = "other";
  checker.add_run (r);
  EXPECT_EQ (found (), "ROUTE");
}

/* The request is sent at 10.  */
TEST_F (SoakChecker, RunByOlderConfigurationIsConfig)
{
  for (double at : { 7.9, 8.1 })
    {
      soak::Checker c (seed);
      c.add_configuration (1, { { "/p/", "app" } });
      c.add_configuration (at, { { "/p/", "desk" } });
      send (Kind::Safe);
      attempt.store_calm = true;
      c.add_sent (attempt);
      c.add_run (run ());
      c.add_end (attempt);
      c.finish ();
      EXPECT_EQ (c.findings.size (), at < 8 ? 1u : 0u);
    }
}

TEST_F (SoakChecker, MissingRouteIsConfig)
{
  send (Kind::Safe);
  attempt.store_calm = true;
  checker.has_bounds = true;
  answer (404, "", "");
  EXPECT_EQ (found (), "CONFIG");
}

/* The request is sent at 10; the engine may get it until 2 s after it began to
   leave.  */
TEST_F (SoakChecker, RunAtLeavingEngineIsDrain)
{
  checker.add_engine_ready ("e1", 1);
  checker.add_engine_leaving ("e1", 7.9);
  answer_at (10.05);
  EXPECT_EQ (found (), "DRAIN");
}

TEST_F (SoakChecker, RunAtEngineThatHasJustLeftIsNoFinding)
{
  checker.add_engine_leaving ("e1", 8.2);
  answer_at (10.05);
  EXPECT_EQ (found (), "");
}

TEST_F (SoakChecker, RunAtEngineThatIsBackIsNoFinding)
{
  checker.add_engine_leaving ("e1", 5);
  checker.add_engine_ready ("e1", 9);
  answer_at (10.05);
  EXPECT_EQ (found (), "");
}

TEST_F (SoakChecker, RunAtLeavingEngineByDisturbedRouterIsNoFinding)
{
  checker.add_engine_leaving ("e1", 7);
  checker.add_router_fault (0, 6);
  answer_at (10.05);
  EXPECT_EQ (found (), "");
}

TEST_F (SoakChecker, RunAtLeavingEngineWithDisturbedStoreIsNoFinding)
{
  checker.add_engine_leaving ("e1", 7);
  checker.add_store_fault (6);
  answer_at (10.05);
  EXPECT_EQ (found (), "");
}

TEST_F (SoakChecker, RunThatWaitedForPausedEngineIsNoFinding)
{
  checker.add_engine_leaving ("e1", 7);
  checker.add_engine_pause ("e1", 9.5, 10.02);
  answer_at (10.05);
  EXPECT_EQ (found (), "");
}

/* Sends N requests whose clients leave at 10.1 and that reach an engine at
   AT.  */
void
SoakChecker::leave (unsigned n, double at)
{
  checker.has_bounds = true;
  for (unsigned i = 0; i < n; i++)
    {
      send (Kind::Safe);
      attempt.id = "c1-" + std::to_string (i) + "-1";
      attempt.end = Attempt::End::Left;
      checker.add_sent (attempt);
      checker.add_end (attempt);
      soak::Run r = run ();
      r.attempt = attempt.id;
      r.at = at;
      checker.add_run (r);
    }
  checker.finish ();
}

TEST_F (SoakChecker, ManyRunsAfterClientsHaveLeftAreGone)
{
  leave (4, 10.7);
  EXPECT_EQ (found (), "GONE GONE GONE GONE");
}

TEST_F (SoakChecker, FewRunsAfterClientsHaveLeftAreNoFinding)
{
  leave (3, 10.7);
  EXPECT_EQ (found (), "");
}

TEST_F (SoakChecker, RunsSoonAfterClientsHaveLeftAreNoFinding)
{
  leave (20, 10.5);
  EXPECT_EQ (found (), "");
}

/* Sends N requests, and each FURTHER more times to another engine.  */
void
SoakChecker::send_again (unsigned n, unsigned further)
{
  for (unsigned i = 0; i < n; i++)
    {
      send (Kind::Safe);
      attempt.id = "c1-" + std::to_string (i) + "-1";
      checker.add_sent (attempt);
      for (unsigned j = 0; j <= further; j++)
        {
          soak::Run r = run (j);
          r.attempt = attempt.id;
          r.at = 10 + 0.01 * j;
          checker.add_run (r);
        }
    }
  checker.finish ();
}

/* 0.2 of 100 requests and 196 are allowed.  */
TEST_F (SoakChecker, FurtherSendsOverBoundAreBudget)
{
  send_again (100, 3);
  EXPECT_EQ (found (), "BUDGET");
}

TEST_F (SoakChecker, FurtherSendsWithinBoundAreNoFinding)
{
  send_again (100, 2);
  EXPECT_EQ (found (), "");
}

TEST (SoakDirectory, AnswerIsRead)
{
  std::vector<unsigned> ports;
  unsigned ttl_s = 0;

  ASSERT_TRUE (soak::directory_answer_parse (
      "{\"addresses\":[\"127.0.0.1:80\",\"127.0.0.1:8081\"],\"ttlS\":2}",
      ports, ttl_s));
  EXPECT_EQ (ports, (std::vector<unsigned>{ 80, 8081 }));
  EXPECT_EQ (ttl_s, 2u);
}

TEST (SoakDirectory, BytesThatAreNoAnswerAreNoticed)
{
  std::vector<unsigned> ports;
  unsigned ttl_s = 0;

  for (const char *text :
       { "", "{}", "{\"addresses\":[\"127.0.0.1:80\"]}",
         "{\"addresses\":[\"127.0.0.1:80\"],\"ttlS\":2",
         "{\"addresses\":[\"nowhere\"],\"ttlS\":2}",
         "{\"addresses\":[\"127.0.0.1:80\"],\"ttlS\":2}{}" })
    EXPECT_FALSE (soak::directory_answer_parse (text, ports, ttl_s)) << text;
}

/* Sends N requests at AT of which SERVED are served.  */
void
SoakChecker::serve (unsigned n, double at, unsigned served)
{
  for (unsigned i = 0; i < n; i++)
    {
      soak::Run r = run ();

      attempt.id
          = "c1-" + std::to_string (at) + "." + std::to_string (i) + "-1";
      attempt.kind = Kind::Safe;
      attempt.method = "POST";
      attempt.target = "/p/x";
      attempt.sent_at = at;
      attempt.ended_at = at + 0.1;
      attempt.end = Attempt::End::NotConnected;
      attempt.answer = Message ();
      checker.add_sent (attempt);
      if (i < served)
        {
          r.attempt = attempt.id;
          checker.add_run (r);
          attempt.end = Attempt::End::Answered;
          attempt.answer.has_head = true;
          attempt.answer.status = 200;
          attempt.answer.body = soak::body_of (r);
          attempt.answer.headers
              = { { "marjoramquay-response-signature", r.signature } };
        }
      checker.add_end (attempt);
    }
}

/* All routers are killed at 20 and back at 21; 12 s later service is due.  */
TEST_F (SoakChecker, FleetThatDoesNotComeBackIsRecover)
{
  checker.add_final_fault (20, 21);
  serve (100, 10, 25);
  serve (100, 33.5, 24);
  checker.finish ();
  EXPECT_EQ (found (), "RECOVER");
}

TEST_F (SoakChecker, FleetThatComesBackInTimeIsNoFinding)
{
  checker.add_final_fault (20, 21);
  serve (100, 10, 90);
  serve (100, 32.5, 0);
  serve (100, 33.5, 25);
  checker.finish ();
  EXPECT_EQ (found (), "");
}

TEST_F (SoakChecker, FleetThatDidNotServeBeforeIsNoFinding)
{
  checker.add_final_fault (20, 21);
  serve (100, 10, 24);
  serve (100, 33.5, 0);
  checker.finish ();
  EXPECT_EQ (found (), "");
}

TEST_F (SoakChecker, WrongAnswerOfDirectoryIsFound)
{
  checker.add_look_up (true, "lists port 1, which is no router's");
  checker.add_look_up (false, "");
  checker.add_look_up (true, "");
  EXPECT_EQ (found (), "DIRECTORY");
}

/* Two runs from one seed must not differ in what they do.  */
TEST (SoakAnswer, DependsOnItsSeedAlone)
{
  soak::Run r;

  r.attempt = id;
  r.signature = "s";
  for (uint64_t i = 0; i < 500; i++)
    {
      soak::Random one (i), two (i);
      r.plan = soak::Faults (i).draw (one);
      soak::Faults (i).draw (two);
      auto a = soak::plan_answer (r, i % 2 == 0, seed, one);
      auto b = soak::plan_answer (r, i % 2 == 0, seed, two);
      std::string sent_a, sent_b;

      for (auto &s : a.steps)
        sent_a += s.bytes;
      for (auto &s : b.steps)
        sent_b += s.bytes;
      ASSERT_EQ (sent_a, sent_b);
      ASSERT_FALSE (a.steps.empty ());
    }
}

TEST (SoakProgram, BadInputStartsNothing)
{
  for (const char *arguments :
       { "--sead 1", "--seed", "--seed x", "--seed -1", "--minutes 0",
         "--minutes nan", "--routers 0", "--routers 1x", "--routers 900",
         "--bounds maybe", "--crowds maybe", "--directory maybe",
         "--router /nowhere", "--out /proc/none" })
    EXPECT_EQ (soak_status (arguments), 2) << arguments;
}

/* Returns how many processes have WORD in their command line.  */
static unsigned
count_processes (const std::string &word)
{
  unsigned n = 0;
  DIR *d = opendir ("/proc");

  while (dirent *e = readdir (d))
    {
      std::ifstream file ("/proc/" + std::string (e->d_name) + "/cmdline");
      std::string words ((std::istreambuf_iterator<char> (file)), {});

      n += words.find (word) != std::string::npos;
    }
  closedir (d);
  return n;
}

/* Returns what the soak with ARGUMENTS prints and writes to its journal.  */
std::string
soak_text (const std::string &arguments)
{
  programs::Folder folder;
  std::string printed = folder.write ("printed", "");
  std::string command = programs::binary ("tests/mqsoak") + " " + arguments
                        + " --crowds off --bounds off --out " + folder.path ()
                        + "/out > " + printed + " 2>&1";

  EXPECT_NE (system (command.c_str ()), -1);
  std::string text = folder.read ("printed") + folder.read ("out/journal");
  std::filesystem::remove_all (folder.path () + "/out");
  return text;
}

TEST (SoakProgram, RouterThatEndsByItselfIsFound)
{
  programs::Folder folder;
  std::string router
      = folder.write ("router", "#!/bin/sh\nsleep 0.5\nexit 3\n");

  std::filesystem::permissions (router, std::filesystem::perms::owner_all);
  EXPECT_NE (
      soak_text ("--seed 1 --minutes 0.02 --router " + router)
          .find ("BROKEN ENDED router-0: ended by itself with status 3"),
      std::string::npos);
}

/* The schedule of this seed kills engines before its end.  */
TEST (SoakProgram, WhatIsKilledIsStartedAgain)
{
  std::string text = soak_text ("--seed 1 --minutes 0.2");

  EXPECT_NE (text.find (" signal 9\n"), std::string::npos);
  size_t starts = 0;
  for (size_t at = 0; (at = text.find (" start ", at)) != std::string::npos;
       at++)
    starts++;
  EXPECT_GT (starts, 9u);
}

/* Routers must not outlive a soak that is interrupted or killed.  */
TEST (SoakProgram, ItsEndEndsWhatItStarted)
{
  for (int number : { SIGINT, SIGTERM, SIGKILL })
    {
      programs::Folder folder;
      std::string out = folder.path () + "/out";

      {
        programs::Program soak ({ programs::binary ("tests/mqsoak"), "--seed",
                                  "1", "--minutes", "5", "--out", out });

        EXPECT_TRUE (programs::eventually (
            [&] { return count_processes (out + "/router-") == 3; }));
        soak.kill (number);
        EXPECT_EQ (soak.wait (), number == SIGKILL ? -1 : 130);
      }
      EXPECT_TRUE (programs::eventually (
          [&] { return count_processes (out + "/router-") == 0; }));
      std::filesystem::remove_all (out);
    }
}
