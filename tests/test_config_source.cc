/* The router's source of configuration (mq/config_source.h), against the
   platform's stand-in and a peer simulated by the test.  */

#include <mq/config_source.h>

#include "support/config_bundle.h"
#include "support/programs.h"

using programs::binary;
using programs::Program;

namespace
{

constexpr uint64_t peer = 77;

std::string
policy (int stall_ms)
{
  return "{\"policy\":{\"stall_ms\":" + std::to_string (stall_ms) + "}}";
}

class ConfigSource : public ::testing::Test
{
protected:
  ConfigSource ()
  {
    mq_config_source_options o = {};

    http = mq_http_client_new (loop, MQ_SPAN (""));
    client = mq_platform_new (http, mq_span_from (platform.url ().c_str ()),
                              1000);
    o.loop = loop;
    o.platform = client;
    o.seed = 1;
    o.check_interval_ms = 20;
    source = mq_config_source_new (&o, on_event, this);
  }

  ~ConfigSource () override
  {
    mq_config_source_free (source);
    mq_platform_free (client);
    mq_http_client_free (http);
    ev_loop_destroy (loop);
  }

  /* Write BUNDLE to the platform.  */
  void
  publish (const Bundle &bundle)
  {
    for (const auto &[name, value] : bundle.objects)
      {
        programs::Request r;

        r.method = "PUT";
        r.url = platform.url () + "/v1/objects/" + name;
        r.body = value;
        if (name != MQ_MANIFEST_OBJECT)
          r.headers = { "If-None-Match: *" };
        else
          {
            programs::Reply old = programs::get (r.url);
            r.headers
                = { old.status == 200 ? "If-Match: " + old.headers["etag"]
                                      : "If-None-Match: *" };
          }
        EXPECT_EQ (programs::fetch (r).status, 200);
      }
  }

  void
  outage (const std::string &ms)
  {
    programs::Request r;

    r.method = "POST";
    r.url = platform.url () + "/fault";
    r.body = "{\"outage_ms\":" + ms + "}";
    programs::fetch (r);
  }

  /* Returns the number of watch calls to the platform.  */
  uint64_t
  watches ()
  {
    std::string stats = programs::get (platform.url () + "/stats").body;
    std::string key = "\"watch\":";
    size_t at = stats.find (key);

    /* The statistics omit kinds without calls.  */
    return at == std::string::npos
               ? 0
               : std::stoull (stats.substr (at + key.size ()));
  }

  /* Run the loop until TEST holds.  */
  bool
  run_until (const std::function<bool ()> &test)
  {
    return programs::eventually ([&] {
      ev_run (loop, EVRUN_NOWAIT);
      answer_fetches ();
      return test ();
    });
  }

  bool
  run_until_applied (uint64_t generation)
  {
    return run_until ([&] { return in_force == generation; });
  }

  /* Reply to the requested objects as the peer.  */
  void
  answer_fetches ()
  {
    std::vector<std::string> names;

    names.swap (requested);
    for (const std::string &name : names)
      {
        auto found = peer_objects.find (name);
        mq_str *value = nullptr;

        if (found != peer_objects.end ())
          value
              = mq_str_new ({ found->second.data (), found->second.size () });
        mq_config_source_finish_fetch (source, peer,
                                       mq_span_from (name.c_str ()), value);
        mq_str_unref (value);
      }
  }

  static void
  on_event (void *context, const mq_config_source_event *event)
  {
    ConfigSource *t = static_cast<ConfigSource *> (context);

    switch (event->kind)
      {
      case MQ_CONFIG_SOURCE_APPLIED:
        EXPECT_GT (event->generation, t->in_force);
        EXPECT_EQ (event->config->generation, event->generation);
        t->in_force = event->generation;
        t->stall_ms = event->config->policy.stall_ms;
        t->from = event->peer;
        break;
      case MQ_CONFIG_SOURCE_FETCH:
        t->requested.emplace_back (event->name.data, event->name.size);
        break;
      case MQ_CONFIG_SOURCE_REJECTED:
        t->rejection = event->text;
        break;
      case MQ_CONFIG_SOURCE_CUT_OFF:
        t->cut_off = true;
        break;
      case MQ_CONFIG_SOURCE_REJOINED:
        t->cut_off = false;
        break;
      }
  }

  Program platform{ { binary ("mqstand"), "platform",
                      "--listen=127.0.0.1:0" } };
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  mq_http_client *http;
  mq_platform *client;
  mq_config_source *source;
  std::map<std::string, std::string> peer_objects; /* Objects of the peer.  */
  std::vector<std::string> requested;
  uint64_t in_force = 0;
  uint32_t stall_ms = 0;
  uint64_t from = 0;
  std::string rejection;
  bool cut_off = false;
};

} // namespace

TEST_F (ConfigSource, WatcherAppliesEachGenerationFromThePlatform)
{
  mq_config_source_set_watching (source, true);
  publish (Bundle (1, policy (101)));
  ASSERT_TRUE (run_until_applied (1));
  EXPECT_EQ (stall_ms, 101u);
  publish (Bundle (2, policy (102)));
  ASSERT_TRUE (run_until_applied (2));
  EXPECT_EQ (stall_ms, 102u);
  EXPECT_EQ (from, 0u);
}

TEST_F (ConfigSource, NonWatcherPollsPeriodically)
{
  publish (Bundle (1, policy (101)));
  ASSERT_TRUE (run_until_applied (1));
  publish (Bundle (2, policy (102)));
  ASSERT_TRUE (run_until_applied (2));
}

TEST_F (ConfigSource, FetchesFromPeerDuringPlatformOutage)
{
  outage ("600000");
  peer_objects = Bundle (5, policy (105)).objects;
  mq_config_source_set_peer_generation (source, peer, 5);
  ASSERT_TRUE (run_until_applied (5));
  EXPECT_EQ (from, peer);
  /* The router can now serve these objects to other peers.  */
  for (const auto &[name, value] : peer_objects)
    {
      mq_str *object
          = mq_config_source_object (source, mq_span_from (name.c_str ()));

      ASSERT_NE (object, nullptr) << name;
      EXPECT_EQ (std::string (object->data, object->size), value);
    }
  EXPECT_EQ (mq_config_source_object (source, MQ_SPAN ("config/files/x")),
             nullptr);
}

TEST_F (ConfigSource, IgnoresManifestOfLowerGeneration)
{
  publish (Bundle (7, policy (107)));
  ASSERT_TRUE (run_until_applied (7));
  publish (Bundle (3, policy (103)));
  ASSERT_TRUE (run_until (
      [&] { return mq_config_source_state (source)->lower_offers > 0; }));
  EXPECT_EQ (in_force, 7u);
  publish (Bundle (8, policy (108)));
  ASSERT_TRUE (run_until_applied (8));
}

TEST_F (ConfigSource, RejectsFileWithWrongDigest)
{
  outage ("600000");
  Bundle bundle (5, policy (105));
  peer_objects = bundle.objects;
  for (auto &[name, value] : peer_objects)
    if (name != MQ_MANIFEST_OBJECT)
      value = policy (666);
  mq_config_source_set_peer_generation (source, peer, 5);
  ASSERT_TRUE (run_until (
      [&] { return mq_config_source_state (source)->failures > 0; }));
  EXPECT_EQ (in_force, 0u);
  peer_objects = bundle.objects;
  ASSERT_TRUE (run_until ([&] {
    mq_config_source_set_peer_generation (source, peer, 5);
    return in_force == 5;
  }));
  EXPECT_EQ (stall_ms, 105u);
}

TEST_F (ConfigSource, FallsBackToThePlatformWhenPeerLacksObject)
{
  publish (Bundle (2, policy (102)));
  peer_objects.clear ();
  mq_config_source_set_peer_generation (source, peer, 2);
  ASSERT_TRUE (run_until_applied (2));
  EXPECT_EQ (from, 0u);
}

TEST_F (ConfigSource, ReportsInvalidConfigurationAndKeepsThePrevious)
{
  publish (Bundle (1, policy (101)));
  ASSERT_TRUE (run_until_applied (1));
  publish (Bundle (2, "{\"policy\":{\"newer_key\":1}}"));
  ASSERT_TRUE (run_until ([&] { return !rejection.empty (); }));
  EXPECT_NE (rejection.find ("policy.newer_key"), std::string::npos);
  EXPECT_EQ (in_force, 1u);
  EXPECT_EQ (mq_config_source_state (source)->refused, 2u);
  publish (Bundle (3, policy (103)));
  ASSERT_TRUE (run_until_applied (3));
}

TEST_F (ConfigSource, ReportsCutOffAndRejoins)
{
  publish (Bundle (1, "{\"policy\":{\"cut_off_ms\":300}}"));
  ASSERT_TRUE (run_until_applied (1));
  mq_config_source_set_peer_count (source, 6);
  outage ("600000");
  ASSERT_TRUE (run_until ([&] { return cut_off; }));
  outage ("0");
  ASSERT_TRUE (run_until ([&] { return !cut_off; }));
}

TEST_F (ConfigSource, PollsBeforeCutOffWithoutPeers)
{
  publish (Bundle (1, "{\"policy\":{\"cut_off_ms\":1000}}"));
  mq_config_source_set_watching (source, true);
  ASSERT_TRUE (run_until_applied (1));
  mq_config_source_set_peer_count (source, 6);
  /* No peer sends an offer, and a watch gives no reply for 25 s.  */
  uint64_t before = watches ();
  ASSERT_TRUE (run_until ([&] { return watches () >= before + 6; }));
  ASSERT_TRUE (run_until ([&] { return !cut_off; }));
}

TEST_F (ConfigSource, PollIntervalGrowsWithTheFleet)
{
  mq_config_source_set_live_count (source, 15 * 3600 * 1000);
  publish (Bundle (1, policy (101)));
  ASSERT_TRUE (run_until_applied (1));
  publish (Bundle (2, policy (102)));
  uint64_t before = watches ();
  gint64 end = g_get_monotonic_time () + 300000;
  run_until ([&] { return g_get_monotonic_time () >= end; });
  EXPECT_EQ (watches (), before);
  EXPECT_EQ (in_force, 1u);
  mq_config_source_set_live_count (source, 7);
  ASSERT_TRUE (run_until_applied (2));
}
