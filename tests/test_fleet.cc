/* The fleet over real processes: three routers that find one another, lose
   one another, and share what they own.  Nothing here depends on speed: each
   wait ends by what happens.  */

#include "support/deployment.h"
#include "support/crashing_service.h"

#include <mq/peers.h>

using deployment::Answer;
using deployment::Deployment;
using programs::eventually;
using programs::fetch;
using programs::json_text;
using programs::Reply;

namespace
{

constexpr size_t ROUTERS = 3;

/* Three routers with one pair of keys, all in the platform's list.  */
class Yard
{
public:
  explicit Yard (deployment::Options options = deployment::Options ())
  {
    mq_peer_keys keys;
    std::string pair;
    std::string ring;

    mq_peer_keys_generate (&keys);
    pair = files_.write ("pair", std::string (keys.public_key) + "\n"
                                     + keys.secret_key + "\n");
    ring = files_.write ("ring", std::string (keys.public_key) + "\n");
    keys_ = "'key_file': '" + pair + "', 'ring_file': '" + ring + "'";
    options.routers = ROUTERS;
    options.settings
        += ", 'peers': { 'address': '127.0.0.1', 'port': 0, " + keys_ + " }";
    deployment_.reset (new Deployment (options));
    for (size_t i = 0; i < ROUTERS; i++)
      list (i, "live");
  }

  Deployment &
  deployment ()
  {
    return *deployment_;
  }

  programs::Program &
  router (size_t i)
  {
    return deployment_->router (i);
  }

  static std::string
  name (size_t i)
  {
    return "vm" + std::to_string (i);
  }

  /* Put router I into the platform's list.  */
  void
  list (size_t i, const std::string &state)
  {
    programs::Request r;

    if (peer_address_[i].empty ())
      peer_address_[i] = status (i, "peer_address");
    r.method = "PUT";
    r.url = deployment_->platform ().url () + "/vms/" + name (i);
    r.body = deployment::quoted ("{'address':'" + peer_address_[i]
                                 + "','state':'" + state + "'}");
    EXPECT_EQ (fetch (r).status / 100, 2);
  }

  std::string
  status (size_t i, const std::string &key)
  {
    return json_text (programs::get (router (i).url () + "/v1/status").body,
                      key);
  }

  std::string
  peer_port (size_t i)
  {
    return peer_address_[i].substr (peer_address_[i].rfind (':') + 1);
  }

  /* Another process at router I's name and peers' port.  */
  std::unique_ptr<programs::Program>
  start_again (size_t i, const std::string &port)
  {
    std::string path = files_.write (
        "again.settings",
        deployment::quoted (
            "{ 'name': '" + name (i) + "', 'region': 'bc-interior',"
            + " 'failure_domain': 'kamloops-yard',"
            + " 'callers': { 'address': '127.0.0.1', 'port': 0 },"
            + " 'platform': { 'url': '" + deployment_->platform ().url ()
            + "' }, 'peers': { 'address': '127.0.0.1', 'port': " + port + ", "
            + keys_ + " } }"));

    return std::unique_ptr<programs::Program> (new programs::Program (
        { programs::binary ("marjoramquay"), "--settings", path }));
  }

  /* Does router I's answer to an ask name router OTHER?  */
  bool
  asks_name (size_t i, size_t other)
  {
    std::string body = programs::get (router (i).url () + "/v1/entries").body;

    return body.find ("\"" + name (other) + "\"") != std::string::npos;
  }

  /* Do all of ROUTERS see N live members?  */
  bool
  all_see (std::vector<size_t> routers, unsigned n)
  {
    return eventually ([&] {
      for (size_t i : routers)
        if (status (i, "members_live") != std::to_string (n))
          return false;
      return true;
    });
  }

private:
  programs::Folder files_;
  std::string keys_;
  std::unique_ptr<Deployment> deployment_;
  std::string peer_address_[ROUTERS];
};

void
expect_whole (Yard &yard, size_t router, const std::string &prompt)
{
  Reply r = fetch (yard.deployment ().completion (prompt, 8, true, router));

  EXPECT_EQ (r.status, 200);
  EXPECT_EQ (deployment::read_events (r.body).text,
             deployment::reference (prompt, 8));
}

} // namespace

TEST (Fleet, RoutersFindOneAnotherAndShareOwners)
{
  Yard yard;
  std::string owner;

  ASSERT_TRUE (yard.deployment ().ready ());
  ASSERT_TRUE (yard.all_see ({ 0, 1, 2 }, 3));
  for (size_t i = 0; i < ROUTERS; i++)
    for (size_t k = 0; k < ROUTERS; k++)
      EXPECT_TRUE (yard.asks_name (i, k)) << i << " names " << k;
  owner = yard.status (0, "model_owners.m");
  EXPECT_FALSE (owner.empty ());
  EXPECT_EQ (yard.status (1, "model_owners.m"), owner);
  EXPECT_EQ (yard.status (2, "model_owners.m"), owner);
  /* Whoever owns it, each router gets plans, and gives the places back.  */
  for (size_t i = 0; i < ROUTERS; i++)
    expect_whole (yard, i, "prompt " + std::to_string (i));
  for (size_t i = 0; i < ROUTERS; i++)
    {
      std::string metrics
          = programs::get (yard.router (i).url () + "/metrics").body;

      EXPECT_NE (metrics.find ("peer_drops_total{why=\"garbage\"} 0\n"),
                 std::string::npos);
      EXPECT_TRUE (
          eventually ([&] { return yard.status (i, "planned") == "0"; }));
    }
}

TEST (Fleet, KilledRouterIsNoLongerNamed)
{
  Yard yard;

  ASSERT_TRUE (yard.all_see ({ 0, 1, 2 }, 3));
  yard.router (2).kill (SIGKILL);
  EXPECT_TRUE (eventually (
      [&] { return !yard.asks_name (0, 2) && !yard.asks_name (1, 2); }));
  ASSERT_TRUE (yard.all_see ({ 0, 1 }, 2));
  expect_whole (yard, 0, "after a death");
  expect_whole (yard, 1, "after a death");
}

TEST (Fleet, PausedRouterComesBack)
{
  Yard yard;

  ASSERT_TRUE (yard.all_see ({ 0, 1, 2 }, 3));
  yard.router (1).kill (SIGSTOP);
  ASSERT_TRUE (yard.all_see ({ 0, 2 }, 2));
  expect_whole (yard, 0, "while one sleeps");
  yard.router (1).kill (SIGCONT);
  ASSERT_TRUE (yard.all_see ({ 0, 1, 2 }, 3));
  expect_whole (yard, 1, "awake again");
}

TEST (Fleet, DrainTellsThePeersAndCutsNothing)
{
  Yard yard;
  Reply last;
  std::thread caller;
  bool begun = false;

  ASSERT_TRUE (yard.all_see ({ 0, 1, 2 }, 3));
  programs::Request r
      = yard.deployment ().completion ("drained", 200, true, 2);
  r.progress = [&] (const std::string &) {
    if (begun)
      return;
    begun = true;
    yard.router (2).kill (SIGTERM);
  };
  caller = std::thread ([&] { last = fetch (r); });
  EXPECT_TRUE (eventually (
      [&] { return !yard.asks_name (0, 2) && !yard.asks_name (1, 2); }));
  caller.join ();
  EXPECT_EQ (deployment::read_events (last.body).text,
             deployment::reference ("drained", 200));
  EXPECT_EQ (yard.router (2).wait (), 0);
}

/* Told to leave, a router with a stream under way is not ready, refuses new
   work as never run, and has each caller close its connection.  */
TEST (Fleet, LeavingRouterSendsItsCallersElsewhere)
{
  Yard yard;
  Reply last;
  Reply ready;
  Reply refused;
  std::thread caller;
  bool begun = false;

  ASSERT_TRUE (yard.all_see ({ 0, 1, 2 }, 3));
  EXPECT_NE (
      programs::get (yard.router (2).url () + "/readyz").headers["connection"],
      "close");
  programs::Request r
      = yard.deployment ().completion ("leaving", 400, true, 2);
  r.progress = [&] (const std::string &) {
    if (begun)
      return;
    begun = true;
    yard.router (2).kill (SIGTERM);
    EXPECT_TRUE (eventually ([&] {
      ready = programs::get (yard.router (2).url () + "/readyz");
      return ready.status == 503;
    }));
    refused = fetch (yard.deployment ().booking ("POST", "/book", "{}", 2));
  };
  last = fetch (r);
  EXPECT_EQ (ready.body, "leaving\n");
  EXPECT_EQ (ready.headers["connection"], "close");
  EXPECT_EQ (refused.status, 503);
  EXPECT_EQ (refused.headers["marjoramquay-outcome"], "not-run");
  EXPECT_EQ (refused.headers["connection"], "close");
  EXPECT_NE (refused.body.find ("\"leaving\""), std::string::npos);
  EXPECT_EQ (deployment::read_events (last.body).text,
             deployment::reference ("leaving", 400));
  EXPECT_EQ (yard.router (2).wait (), 0);
}

/* An engine on the platform's leaving list gets no new work, also from a
   router that read the list before it had a configuration: the planner knows
   no engines then, so that it must be told with each read of the list.  */
TEST (Fleet, EngineThatLeavesGetsNoNewWork)
{
  Yard yard;
  programs::Request r;
  auto refused = [&] (const std::string &url) {
    programs::Request c = yard.deployment ().completion ("p", 2, true);
    c.url = url + "/v1/completions";
    return fetch (c).body.find ("\"no-pipeline\"") != std::string::npos;
  };

  ASSERT_TRUE (yard.all_see ({ 0, 1, 2 }, 3));
  for (size_t i = 0; i < ROUTERS; i++)
    expect_whole (yard, i, "before");
  r.method = "PUT";
  r.url = yard.deployment ().platform ().url () + "/vms/e0";
  r.body = deployment::quoted ("{'address':'"
                               + yard.deployment ().engine (0).address ()
                               + "','state':'leaving'}");
  EXPECT_EQ (fetch (r).status / 100, 2);
  for (size_t i = 0; i < ROUTERS; i++)
    EXPECT_TRUE (eventually ([&] { return refused (yard.router (i).url ()); }))
        << i;
  std::string port = yard.peer_port (2);
  yard.router (2).kill (SIGKILL);
  yard.router (2).wait ();
  std::unique_ptr<programs::Program> fresh = yard.start_again (2, port);
  ASSERT_TRUE (eventually ([&] {
    return programs::get (fresh->url () + "/readyz").status == 200;
  }));
  EXPECT_TRUE (eventually ([&] { return refused (fresh->url ()); }));
}

TEST (Fleet, ThePlatformsListDrainsARouter)
{
  Yard yard;

  ASSERT_TRUE (yard.all_see ({ 0, 1, 2 }, 3));
  yard.list (0, "leaving");
  EXPECT_EQ (yard.router (0).wait (), 0);
  EXPECT_TRUE (eventually (
      [&] { return !yard.asks_name (1, 0) && !yard.asks_name (2, 0); }));
}

/* The stated error, from the time that truly passed: rate * (w + 1 s) and one
   request for each router.  */
TEST (Fleet, OrganisationLimitHoldsOverTheFleet)
{
  deployment::Options options;
  const double rate = 5;

  options.organisation = ", 'limits': { 'requests_per_s': 5 }";
  Yard yard (options);
  int done = 0;
  int refused = 0;

  ASSERT_TRUE (yard.all_see ({ 0, 1, 2 }, 3));
  auto start = std::chrono::steady_clock::now ();
  while (refused < 60)
    {
      Reply r = fetch (yard.deployment ().booking (
          "GET", "/units/7", "", (size_t)(done + refused) % ROUTERS));

      ASSERT_TRUE (r.status == 200 || r.status == 429) << r.body;
      done += r.status == 200;
      refused += r.status == 429;
      EXPECT_EQ (r.status == 429, !r.headers["retry-after"].empty ());
    }
  std::chrono::duration<double> w = std::chrono::steady_clock::now () - start;
  EXPECT_LE (done, rate * (w.count () + 1) + ROUTERS);
  EXPECT_GE (done, 1);
}

/* A router that starts while the platform is away finds its peers, which
   still know its address, and takes the configuration that they hold.  */
TEST (Fleet, RestartWhileThePlatformIsAway)
{
  Yard yard;

  ASSERT_TRUE (yard.all_see ({ 0, 1, 2 }, 3));
  std::string generation = yard.status (0, "generation");
  std::string port = yard.peer_port (2);
  yard.router (2).kill (SIGKILL);
  yard.router (2).wait ();
  yard.deployment ().platform ().kill (SIGKILL);
  yard.deployment ().platform ().wait ();
  std::unique_ptr<programs::Program> fresh = yard.start_again (2, port);
  EXPECT_TRUE (eventually ([&] {
    return json_text (programs::get (fresh->url () + "/v1/status").body,
                      "generation")
           == generation;
  }));
  ASSERT_TRUE (yard.all_see ({ 0, 1 }, 3));
  programs::Request r = yard.deployment ().completion ("back", 8, true);
  r.url = fresh->url () + "/v1/completions";
  EXPECT_EQ (deployment::read_events (fetch (r).body).text,
             deployment::reference ("back", 8));
}

/* Only the router that minted a ticket runs it.  The others say where to go
   while it lives, and after its death that nobody can know what came of it. */
TEST (Fleet, TicketsOfOtherRouters)
{
  Yard yard;
  programs::Request ask;

  ASSERT_TRUE (yard.all_see ({ 0, 1, 2 }, 3));
  ask.url = yard.router (1).url () + "/v1/entries?tickets=1";
  ask.headers = { std::string ("Authorization: Bearer ") + deployment::token };
  std::string list = json_text (fetch (ask).body, "tickets");
  std::string ticket = list.substr (list.find ('"') + 1,
                                    list.rfind ('"') - list.find ('"') - 1);
  programs::Request book
      = yard.deployment ().booking ("POST", "/book", "unit 7", 0);
  book.headers.push_back ("Marjoramquay-Ticket: " + ticket);

  /* This router can't know whether the call ran there before.  */
  Reply there = fetch (book);
  EXPECT_EQ (there.status, 421);
  EXPECT_EQ (json_text (there.body, "error.outcome"), "unknown");
  EXPECT_EQ (there.headers["marjoramquay-router"], yard.router (1).address ());
  yard.router (1).kill (SIGKILL);
  EXPECT_TRUE (eventually (
      [&] { return fetch (book).headers["marjoramquay-router"].empty (); }));
  EXPECT_EQ (json_text (fetch (book).body, "error.outcome"), "unknown");
  EXPECT_EQ (programs::get (yard.deployment ().plain ().url () + "/effects")
                 .body.find ("unit 7"),
             std::string::npos);
}

/* A call that ended a service three times by one router is refused by the
   others, and by one that starts later.  */
TEST (Fleet, WhatEndsAServiceIsKnownToAllRouters)
{
  crashing::Service service;
  deployment::Options o;

  o.plain = service.url ();
  Yard yard (o);
  auto send = [&] (size_t router) {
    return fetch (yard.deployment ().booking ("POST", "/units",
                                              crashing::crash_body, router));
  };
  for (size_t i = 0; i < ROUTERS; i++)
    ASSERT_TRUE (
        eventually ([&] { return yard.status (i, "reads_platform") != ""; }));
  ASSERT_TRUE (eventually ([&] { return yard.asks_name (0, 1); }));
  for (int i = 0; i < 3; i++)
    {
      send (0);
      std::this_thread::sleep_for (std::chrono::milliseconds (1500));
    }
  unsigned before = service.arrivals;
  EXPECT_EQ (before, 3u);
  for (size_t i = 0; i < ROUTERS; i++)
    EXPECT_NE (send (i).body.find ("quarantined"), std::string::npos) << i;
  yard.router (0).kill (SIGKILL);
  auto again = yard.start_again (0, yard.peer_port (0));
  programs::Request r
      = yard.deployment ().booking ("POST", "/units", crashing::crash_body, 1);
  r.url = again->url () + "/v1/services/booking/units";
  ASSERT_TRUE (eventually ([&] {
    return programs::get (again->url () + "/readyz").status == 200;
  }));
  std::this_thread::sleep_for (std::chrono::milliseconds (2500));
  EXPECT_NE (fetch (r).body.find ("quarantined"), std::string::npos);
  EXPECT_EQ (service.arrivals, before);
}
