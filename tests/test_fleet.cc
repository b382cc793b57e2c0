/* The fleet with real processes: three routers detect each other, fail,
   recover, and agree on owners.  Waits end on conditions, not after fixed
   times, except where a test lets crashes be detected.  */

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

/* Three routers with the same pair of keys, all in the platform's list.  */
class ThreeRouters
{
public:
  explicit ThreeRouters (deployment::Options options = deployment::Options ())
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

  /* Puts router I into the platform's list with STATE.  */
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

  /* Starts another process with the name of router I that listens for peers on
     PORT.  */
  std::unique_ptr<programs::Program>
  start_replacement (size_t i, const std::string &port)
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

  /* Returns true if router I's reply to a discovery request lists router
     OTHER.  */
  bool
  lists (size_t i, size_t other)
  {
    std::string body = programs::get (router (i).url () + "/v1/entries").body;

    return body.find ("\"" + name (other) + "\"") != std::string::npos;
  }

  /* Waits until all of ROUTERS see N live members.  Returns false if they
     don't within the time limit.  */
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
expect_whole (ThreeRouters &fleet, size_t router, const std::string &prompt)
{
  Reply r = fetch (fleet.deployment ().completion (prompt, 8, true, router));

  EXPECT_EQ (r.status, 200);
  EXPECT_EQ (deployment::read_events (r.body).text,
             deployment::reference (prompt, 8));
}

} // namespace

TEST (Fleet, RoutersDetectEachOtherAndAgreeOnOwners)
{
  ThreeRouters fleet;
  std::string owner;

  ASSERT_TRUE (fleet.deployment ().ready ());
  ASSERT_TRUE (fleet.all_see ({ 0, 1, 2 }, 3));
  for (size_t i = 0; i < ROUTERS; i++)
    for (size_t k = 0; k < ROUTERS; k++)
      EXPECT_TRUE (fleet.lists (i, k)) << i << " names " << k;
  owner = fleet.status (0, "model_owners.m");
  EXPECT_FALSE (owner.empty ());
  EXPECT_EQ (fleet.status (1, "model_owners.m"), owner);
  EXPECT_EQ (fleet.status (2, "model_owners.m"), owner);
  /* Each router gets plans from the owner and releases them.  */
  for (size_t i = 0; i < ROUTERS; i++)
    expect_whole (fleet, i, "prompt " + std::to_string (i));
  for (size_t i = 0; i < ROUTERS; i++)
    {
      std::string metrics
          = programs::get (fleet.router (i).url () + "/metrics").body;

      EXPECT_NE (metrics.find ("peer_drops_total{why=\"garbage\"} 0\n"),
                 std::string::npos);
      EXPECT_TRUE (
          eventually ([&] { return fleet.status (i, "planned") == "0"; }));
    }
}

TEST (Fleet, KilledRouterIsNoLongerListed)
{
  ThreeRouters fleet;

  ASSERT_TRUE (fleet.all_see ({ 0, 1, 2 }, 3));
  fleet.router (2).kill (SIGKILL);
  EXPECT_TRUE (
      eventually ([&] { return !fleet.lists (0, 2) && !fleet.lists (1, 2); }));
  ASSERT_TRUE (fleet.all_see ({ 0, 1 }, 2));
  expect_whole (fleet, 0, "after a death");
  expect_whole (fleet, 1, "after a death");
}

TEST (Fleet, PausedRouterRejoins)
{
  ThreeRouters fleet;

  ASSERT_TRUE (fleet.all_see ({ 0, 1, 2 }, 3));
  fleet.router (1).kill (SIGSTOP);
  ASSERT_TRUE (fleet.all_see ({ 0, 2 }, 2));
  expect_whole (fleet, 0, "while one sleeps");
  fleet.router (1).kill (SIGCONT);
  ASSERT_TRUE (fleet.all_see ({ 0, 1, 2 }, 3));
  expect_whole (fleet, 1, "awake again");
}

TEST (Fleet, DrainIsAnnouncedAndCompletesStreams)
{
  ThreeRouters fleet;
  Reply last;
  std::thread client;
  bool started = false;

  ASSERT_TRUE (fleet.all_see ({ 0, 1, 2 }, 3));
  programs::Request r
      = fleet.deployment ().completion ("drained", 200, true, 2);
  r.progress = [&] (const std::string &) {
    if (started)
      return;
    started = true;
    fleet.router (2).kill (SIGTERM);
  };
  client = std::thread ([&] { last = fetch (r); });
  EXPECT_TRUE (
      eventually ([&] { return !fleet.lists (0, 2) && !fleet.lists (1, 2); }));
  client.join ();
  EXPECT_EQ (deployment::read_events (last.body).text,
             deployment::reference ("drained", 200));
  EXPECT_EQ (fleet.router (2).wait (), 0);
}

/* A draining router with a stream in flight is not ready, rejects new work as
   not run, and has each client close its connection.  */
TEST (Fleet, DrainingRouterRejectsNewWork)
{
  ThreeRouters fleet;
  Reply last;
  Reply ready;
  Reply refused;
  std::thread client;
  bool started = false;

  ASSERT_TRUE (fleet.all_see ({ 0, 1, 2 }, 3));
  EXPECT_NE (programs::get (fleet.router (2).url () + "/readyz")
                 .headers["connection"],
             "close");
  programs::Request r
      = fleet.deployment ().completion ("leaving", 400, true, 2);
  r.progress = [&] (const std::string &) {
    if (started)
      return;
    started = true;
    fleet.router (2).kill (SIGTERM);
    EXPECT_TRUE (eventually ([&] {
      ready = programs::get (fleet.router (2).url () + "/readyz");
      return ready.status == 503;
    }));
    refused = fetch (fleet.deployment ().booking ("POST", "/book", "{}", 2));
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
  EXPECT_EQ (fleet.router (2).wait (), 0);
}

/* An engine that the platform lists as leaving gets no new work, also from a
   router that reads the list before it has a configuration.  Its planner knows
   no engines then, so the state must be reported with each read of the list.
 */
TEST (Fleet, LeavingEngineGetsNoNewWork)
{
  ThreeRouters fleet;
  programs::Request r;
  auto refused = [&] (const std::string &url) {
    programs::Request c = fleet.deployment ().completion ("p", 2, true);
    c.url = url + "/v1/completions";
    return fetch (c).body.find ("\"no-pipeline\"") != std::string::npos;
  };

  ASSERT_TRUE (fleet.all_see ({ 0, 1, 2 }, 3));
  for (size_t i = 0; i < ROUTERS; i++)
    expect_whole (fleet, i, "before");
  r.method = "PUT";
  r.url = fleet.deployment ().platform ().url () + "/vms/e0";
  r.body = deployment::quoted ("{'address':'"
                               + fleet.deployment ().engine (0).address ()
                               + "','state':'leaving'}");
  EXPECT_EQ (fetch (r).status / 100, 2);
  for (size_t i = 0; i < ROUTERS; i++)
    EXPECT_TRUE (eventually ([&] {
      return refused (fleet.router (i).url ());
    })) << i;
  std::string port = fleet.peer_port (2);
  fleet.router (2).kill (SIGKILL);
  fleet.router (2).wait ();
  std::unique_ptr<programs::Program> fresh = fleet.start_replacement (2, port);
  ASSERT_TRUE (eventually ([&] {
    return programs::get (fresh->url () + "/readyz").status == 200;
  }));
  EXPECT_TRUE (eventually ([&] { return refused (fresh->url ()); }));
}

TEST (Fleet, RouterListedAsLeavingDrains)
{
  ThreeRouters fleet;

  ASSERT_TRUE (fleet.all_see ({ 0, 1, 2 }, 3));
  fleet.list (0, "leaving");
  EXPECT_EQ (fleet.router (0).wait (), 0);
  EXPECT_TRUE (
      eventually ([&] { return !fleet.lists (1, 0) && !fleet.lists (2, 0); }));
}

/* In the measured time W the fleet may admit RATE * (W + 1 s) requests, and
   one more for each router.  */
TEST (Fleet, OrganisationLimitHoldsAcrossRouters)
{
  deployment::Options options;
  const double rate = 5;

  options.organisation = ", 'limits': { 'requests_per_s': 5 }";
  ThreeRouters fleet (options);
  int done = 0;
  int refused = 0;

  ASSERT_TRUE (fleet.all_see ({ 0, 1, 2 }, 3));
  auto start = std::chrono::steady_clock::now ();
  while (refused < 60)
    {
      Reply r = fetch (fleet.deployment ().booking (
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

/* A router that starts while the platform is unreachable is contacted by its
   peers, which still know its address, and applies their configuration.  */
TEST (Fleet, RestartsWhilePlatformIsUnreachable)
{
  ThreeRouters fleet;

  ASSERT_TRUE (fleet.all_see ({ 0, 1, 2 }, 3));
  std::string generation = fleet.status (0, "generation");
  std::string port = fleet.peer_port (2);
  fleet.router (2).kill (SIGKILL);
  fleet.router (2).wait ();
  fleet.deployment ().platform ().kill (SIGKILL);
  fleet.deployment ().platform ().wait ();
  std::unique_ptr<programs::Program> fresh = fleet.start_replacement (2, port);
  EXPECT_TRUE (eventually ([&] {
    return json_text (programs::get (fresh->url () + "/v1/status").body,
                      "generation")
           == generation;
  }));
  ASSERT_TRUE (fleet.all_see ({ 0, 1 }, 3));
  programs::Request r = fleet.deployment ().completion ("back", 8, true);
  r.url = fresh->url () + "/v1/completions";
  EXPECT_EQ (deployment::read_events (fetch (r).body).text,
             deployment::reference ("back", 8));
}

/* Only the router that minted a ticket runs its call.  The others redirect to
   it while it is alive; after it has died they report the outcome unknown.  */
TEST (Fleet, RedirectsTicketsOfOtherRouters)
{
  ThreeRouters fleet;
  programs::Request discovery;

  ASSERT_TRUE (fleet.all_see ({ 0, 1, 2 }, 3));
  discovery.url = fleet.router (1).url () + "/v1/entries?tickets=1";
  discovery.headers
      = { std::string ("Authorization: Bearer ") + deployment::token };
  std::string list = json_text (fetch (discovery).body, "tickets");
  std::string ticket = list.substr (list.find ('"') + 1,
                                    list.rfind ('"') - list.find ('"') - 1);
  programs::Request book
      = fleet.deployment ().booking ("POST", "/book", "unit 7", 0);
  book.headers.push_back ("Marjoramquay-Ticket: " + ticket);

  /* Router 0 can't know whether the call ran at router 1 before.  */
  Reply remote = fetch (book);
  EXPECT_EQ (remote.status, 421);
  EXPECT_EQ (json_text (remote.body, "error.outcome"), "unknown");
  EXPECT_EQ (remote.headers["marjoramquay-router"],
             fleet.router (1).address ());
  fleet.router (1).kill (SIGKILL);
  EXPECT_TRUE (eventually (
      [&] { return fetch (book).headers["marjoramquay-router"].empty (); }));
  EXPECT_EQ (json_text (fetch (book).body, "error.outcome"), "unknown");
  EXPECT_EQ (programs::get (fleet.deployment ().plain ().url () + "/effects")
                 .body.find ("unit 7"),
             std::string::npos);
}

/* A call that crashed a service three times through one router is rejected by
   the others, and by one that starts later.  */
TEST (Fleet, CrashRecordsReachAllRouters)
{
  crashing::Service service;
  deployment::Options o;

  o.plain = service.url ();
  ThreeRouters fleet (o);
  auto send = [&] (size_t router) {
    return fetch (fleet.deployment ().booking ("POST", "/units",
                                               crashing::crash_body, router));
  };
  for (size_t i = 0; i < ROUTERS; i++)
    ASSERT_TRUE (
        eventually ([&] { return fleet.status (i, "reads_platform") != ""; }));
  ASSERT_TRUE (eventually ([&] { return fleet.lists (0, 1); }));
  for (int i = 0; i < 3; i++)
    {
      send (0);
      std::this_thread::sleep_for (std::chrono::milliseconds (1500));
    }
  unsigned before = service.arrivals;
  EXPECT_EQ (before, 3u);
  for (size_t i = 0; i < ROUTERS; i++)
    EXPECT_NE (send (i).body.find ("quarantined"), std::string::npos) << i;
  fleet.router (0).kill (SIGKILL);
  auto again = fleet.start_replacement (0, fleet.peer_port (0));
  programs::Request r = fleet.deployment ().booking ("POST", "/units",
                                                     crashing::crash_body, 1);
  r.url = again->url () + "/v1/services/booking/units";
  ASSERT_TRUE (eventually ([&] {
    return programs::get (again->url () + "/readyz").status == 200;
  }));
  std::this_thread::sleep_for (std::chrono::milliseconds (2500));
  EXPECT_NE (fetch (r).body.find ("quarantined"), std::string::npos);
  EXPECT_EQ (service.arrivals, before);
}
