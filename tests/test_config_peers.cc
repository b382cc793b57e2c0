/* Propagation of a configuration between routers (mq/config_peers.h): a few
   watchers fetch it from the platform, the others from peers, also during an
   outage of the platform.  All routers run on one loop, with real
   connections.  */

#include <sodium.h>

#include <mq/config_peers.h>

#include "support/config_bundle.h"
#include "support/programs.h"

using programs::binary;
using programs::Program;

namespace
{

struct Router
{
  Router (struct ev_loop *on, const mq_peer_keys *keys,
          const std::string &vm_name, const std::string &platform_url)
      : name (vm_name), loop (on)
  {
    mq_fleet_io_options f = {};
    mq_config_source_options o = {};
    GError *error = nullptr;

    f.bind_address = MQ_SPAN ("127.0.0.1");
    f.advertised = MQ_SPAN ("127.0.0.1");
    f.keys = keys;
    f.fleet.vm = mq_span_from (name.c_str ());
    f.fleet.entry_address = MQ_SPAN ("http://127.0.0.1:1");
    f.fleet.failure_domain = MQ_SPAN ("bole-hall");
    f.fleet.region = MQ_SPAN ("addis");
    f.fleet.incarnation = mq_fleet_incarnation (
        (uint64_t)g_get_real_time () / 1000, randombytes_random ());
    fleet = mq_fleet_io_new (loop, &f, on_fleet, this, &error);
    EXPECT_NE (fleet, nullptr) << (error ? error->message : "");
    http = mq_http_client_new (loop, MQ_SPAN (""));
    platform
        = mq_platform_new (http, mq_span_from (platform_url.c_str ()), 1000);
    o.loop = loop;
    o.platform = platform;
    o.seed = 1;
    /* Disable polls: only watches and peers may deliver a change.  */
    o.check_interval_ms = 3600000;
    o.full_read_interval_ms = 3600000;
    source = mq_config_source_new (&o, on_source, this);
    peers = mq_config_peers_new (source, fleet);
  }

  ~Router ()
  {
    mq_config_peers_free (peers);
    mq_config_source_free (source);
    mq_platform_free (platform);
    mq_http_client_free (http);
    mq_fleet_io_free (fleet);
  }

  Router (const Router &) = delete;
  Router &operator= (const Router &) = delete;

  static void
  on_fleet (void *context, const mq_fleet_io_event *event)
  {
    Router *r = static_cast<Router *> (context);

    if (event->kind == MQ_FLEET_IO_CHANGED
        || event->kind == MQ_FLEET_IO_PAUSED)
      r->membership_changes++;
    if (r->peers != nullptr)
      mq_config_peers_on_fleet (r->peers, event);
  }

  static void
  on_source (void *context, const mq_config_source_event *event)
  {
    Router *r = static_cast<Router *> (context);

    if (event->kind == MQ_CONFIG_SOURCE_APPLIED)
      {
        EXPECT_GT (event->generation, r->in_force);
        r->in_force = event->generation;
        r->from_peer = event->peer != MQ_GENERATION_PLATFORM;
        mq_fleet_io_set_self (r->fleet, 0, event->generation);
      }
    mq_config_peers_on_source (r->peers, event);
  }

  std::string
  peer_address () const
  {
    return "127.0.0.1:"
           + std::to_string (mq_peers_port (mq_fleet_io_peers (fleet)));
  }

  uint64_t
  calls () const
  {
    const mq_platform_counters *c = mq_platform_get_counters (platform);
    uint64_t n = 0;

    for (uint64_t calls : c->calls)
      n += calls;
    return n;
  }

  std::string name;
  struct ev_loop *loop;
  mq_fleet_io *fleet;
  mq_http_client *http;
  mq_platform *platform;
  mq_config_source *source;
  mq_config_peers *peers = nullptr;
  uint64_t in_force = 0;
  bool from_peer = false;
  unsigned membership_changes = 0; /* Member state changes and pauses.  */
};

class ConfigPeers : public ::testing::Test
{
protected:
  ConfigPeers () { mq_peer_keys_generate (&keys); }

  ~ConfigPeers () override
  {
    routers.clear ();
    ev_loop_destroy (loop);
  }

  void
  add_router ()
  {
    routers.push_back (std::make_unique<Router> (
        loop, &keys, "vm-" + std::to_string (routers.size ()),
        platform.url ()));
  }

  /* Pass the list of all routers to each, as the platform's list does.  */
  void
  list_all ()
  {
    std::vector<std::string> addresses;
    std::vector<mq_listed_vm> vms;

    for (const auto &r : routers)
      addresses.push_back (r->peer_address ());
    for (size_t i = 0; i < routers.size (); i++)
      {
        mq_listed_vm vm = {};

        vm.vm = mq_span_from (routers[i]->name.c_str ());
        vm.peer_address = mq_span_from (addresses[i].c_str ());
        vms.push_back (vm);
      }
    for (const auto &r : routers)
      mq_fleet_io_set_list (r->fleet, vms.data (), vms.size ());
  }

  bool
  run_until (const std::function<bool ()> &test)
  {
    return programs::eventually ([&] {
      ev_run (loop, EVRUN_NOWAIT);
      return test ();
    });
  }

  bool
  run_until_all_live ()
  {
    return run_until ([&] {
      for (const auto &r : routers)
        if (mq_fleet_live_count (mq_fleet_io_fleet (r->fleet))
            != routers.size ())
          return false;
      return true;
    });
  }

  bool
  run_until_all_hold (uint64_t generation)
  {
    return run_until ([&] {
      for (const auto &r : routers)
        if (r->in_force != generation)
          return false;
      return true;
    });
  }

  static void
  on_written (void *context, const mq_platform_reply *reply)
  {
    EXPECT_EQ (reply->result, MQ_PLATFORM_OK);
    *static_cast<uint64_t *> (context) = reply->version;
  }

  /* Publish GENERATION while the routers run.  */
  void
  publish (uint64_t generation)
  {
    Bundle bundle (generation, "{\"policy\":{\"stall_ms\":"
                                   + std::to_string (1000 + generation)
                                   + "}}");
    mq_platform *p = routers[0]->platform;

    /* Objects are sorted by name, so the file comes before the manifest.  */
    for (const auto &[name, value] : bundle.objects)
      {
        mq_span n = mq_span_from (name.c_str ());
        mq_span v = { value.data (), value.size () };
        uint64_t version = 0;

        if (name == MQ_MANIFEST_OBJECT && manifest_version > 0)
          mq_platform_put (p, n, manifest_version, v, on_written, &version);
        else
          mq_platform_create (p, n, v, on_written, &version);
        publish_calls++;
        ASSERT_TRUE (run_until ([&] { return version > 0; }));
        if (name == MQ_MANIFEST_OBJECT)
          manifest_version = version;
      }
    last_generation = generation;
  }

  /* Returns the platform calls of all routers, except those of publish.  */
  uint64_t
  router_calls () const
  {
    uint64_t n = 0;

    for (const auto &r : routers)
      n += r->calls ();
    return n - publish_calls;
  }

  unsigned
  all_membership_changes () const
  {
    unsigned n = 0;

    for (const auto &r : routers)
      n += r->membership_changes;
    return n;
  }

  Program platform{ { binary ("mqstand"), "platform",
                      "--listen=127.0.0.1:0" } };
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  mq_peer_keys keys;
  std::vector<std::unique_ptr<Router> > routers;
  uint64_t manifest_version = 0;
  uint64_t publish_calls = 0;
  uint64_t last_generation = 0;
};

} // namespace

/* A watcher makes two calls for each change: its watch, and the file.  Other
   routers make none.  If a busy machine makes routers consider each other
   dead, the watchers change, which costs further calls; such a round is
   repeated.  */
TEST_F (ConfigPeers, PlatformCallsDoNotGrowWithTheRouters)
{
  constexpr size_t n = 12;
  constexpr int changes = 5;
  uint64_t calls = 0;
  bool valid = false;

  for (size_t i = 0; i < n; i++)
    add_router ();
  list_all ();
  /* A router counts as a live member once it holds a configuration.  */
  publish (last_generation + 1);
  ASSERT_TRUE (run_until_all_hold (last_generation));
  for (int round = 0; round < 10 && !valid; round++)
    {
      ASSERT_TRUE (run_until_all_live ());
      publish (last_generation + 1);
      ASSERT_TRUE (run_until_all_hold (last_generation));
      unsigned membership_changes = all_membership_changes ();
      uint64_t before = router_calls ();
      for (int i = 0; i < changes; i++)
        {
          publish (last_generation + 1);
          ASSERT_TRUE (run_until_all_hold (last_generation));
        }
      calls = router_calls () - before;
      valid = all_membership_changes () == membership_changes;
    }
  if (!valid)
    GTEST_SKIP () << "the machine was too busy in ten rounds";
  RecordProperty ("calls", (int)calls);
  EXPECT_LE (calls, (uint64_t)MQ_CONFIG_WATCHERS * (2 * changes + 1));
  EXPECT_GE (calls, (uint64_t)changes);
  size_t watchers = 0;
  size_t from_peers = 0;
  for (const auto &r : routers)
    {
      watchers += mq_config_peers_is_watcher (mq_fleet_io_fleet (r->fleet));
      from_peers += r->from_peer;
    }
  EXPECT_EQ (watchers, (size_t)MQ_CONFIG_WATCHERS);
  EXPECT_GE (from_peers, n - MQ_CONFIG_WATCHERS);
}

TEST_F (ConfigPeers, PeersServeARouterStartedDuringAnOutage)
{
  for (int i = 0; i < 3; i++)
    add_router ();
  list_all ();
  publish (1);
  ASSERT_TRUE (run_until_all_hold (1));
  ASSERT_TRUE (run_until_all_live ());
  platform.kill (SIGKILL);
  platform.wait ();
  add_router ();
  list_all ();
  ASSERT_TRUE (run_until_all_hold (1));
  EXPECT_TRUE (routers.back ()->from_peer);
  /* The generation survives the replacement of all routers but one.  */
  routers.erase (routers.begin (), routers.begin () + 3);
  add_router ();
  list_all ();
  ASSERT_TRUE (run_until_all_hold (1));
}
