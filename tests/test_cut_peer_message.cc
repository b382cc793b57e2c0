/* Messages of another router that are cut, contradictory or malformed, sent to
   routers that serve.  None ends a process, changes what is served, or is
   taken in part.  */

#include "support/draining_fleet.h"

#include <mq/cluster_message.h>
#include <mq/peers.h>

#include <random>

namespace
{

class CutPeerMessage : public gateway::DrainingFleet
{
protected:
  CutPeerMessage ()
  {
    port_ = free_ports ();
    address_ = at (port_);
    peer_ = mq_peers_new (
        loop, MQ_SPAN ("127.0.0.1"), (uint16_t)port_, nullptr,
        [] (void *, mq_span) {}, nullptr, nullptr);
  }

  ~CutPeerMessage () override { mq_peers_free (peer_); }

  void
  connect ()
  {
    for (auto &r : routers)
      {
        std::string to = at (r->base + 3);

        mq_peers_connect (peer_, gateway::span (to));
      }
    wait (0.3);
  }

  /* Send BYTES to each router.  */
  void
  send (const std::string &bytes)
  {
    for (auto &r : routers)
      {
        std::string to = at (r->base + 3);

        /* The queue of messages is bounded.  */
        if (++sent_ % 50 == 0)
          wait (0.02);
        if (mq_peers_send (peer_, gateway::span (to), gateway::span (bytes))
            == 0)
          accepted_++;
      }
  }

  static std::string
  encode (const mq_cluster_message &m)
  {
    GString *out = g_string_new (nullptr);

    mq_cluster_message_encode (&m, out);
    std::string bytes (out->str, out->len);
    g_string_free (out, TRUE);
    return bytes;
  }

  std::string
  entries (bool whole, uint64_t revision,
           const std::vector<mq_platform_entry> &list)
  {
    mq_cluster_message m = {};

    m.kind = MQ_CLUSTER_MESSAGE_ENTRIES;
    m.u.entries = { whole, revision, list.data (), list.size () };
    return encode (m);
  }

  std::string
  layers (const std::string &upstream, unsigned first, unsigned end)
  {
    mq_cluster_message m = {};

    m.kind = MQ_CLUSTER_MESSAGE_LAYERS;
    m.u.layers = { gateway::span (upstream), first, end };
    return encode (m);
  }

  std::string
  routing (const std::string &text)
  {
    mq_cluster_message m = {};

    m.kind = MQ_CLUSTER_MESSAGE_ROUTING;
    m.u.routing = gateway::span (text);
    return encode (m);
  }

  /* Gossip of a router that has nothing to say, but what CHANGE adds.  */
  std::string
  gossip (const std::function<void (mq_gossip *)> &change)
  {
    mq_cluster_message m = {};
    mq_gossip g;

    mq_gossip_init (&g, MQ_GOSSIP_REPORT);
    g.from.name = MQ_SPAN ("vm-other");
    g.from.domain = MQ_SPAN ("one");
    g.from.peer = g.from.client = gateway::span (address_);
    g.from.incarnation = 1;
    g.sequence = ++sequence_;
    change (&g);
    m.kind = MQ_CLUSTER_MESSAGE_GOSSIP;
    m.u.gossip = &g;
    std::string bytes = encode (m);
    mq_gossip_finish (&g);
    return bytes;
  }

  unsigned
  unreadable (const Router &r)
  {
    std::string m = fetch ("GET", "/metrics", {}, "", r.base + 4).body;
    std::string name = "\nmarjoramquay_peer_unreadable_total ";
    size_t at = m.find (name);

    return at == std::string::npos
               ? 0
               : (unsigned)std::stoul (m.substr (at + name.size ()));
  }

  void
  expect_served_and_followed ()
  {
    for (auto &r : routers)
      {
        EXPECT_EQ (fetch ("GET", "/safe/1", gateway::key, "", r->base).status,
                   200u);
        EXPECT_EQ (
            fetch ("POST", "/stream/1", gateway::key, "p", r->base).status,
            200u);
      }
    gateway::Upstream &u = add ("app-new", "app");
    for (auto &r : routers)
      {
        size_t n = u.received_requests.size ();

        EXPECT_TRUE (until ([&] {
          fetch ("GET", "/safe/1", gateway::key, "", r->base);
          return u.received_requests.size () > n;
        }));
      }
    configure (1000, "," + route ("/new/", "safe", "app", 1));
    for (auto &r : routers)
      EXPECT_TRUE (until ([&] {
        return fetch ("GET", "/new/1", gateway::key, "", r->base).status
               == 200;
      }));
  }

  void
  start ()
  {
    add_instances ();
    add_chains (false);
    start_fleet ({ "two" });
    connect ();
  }

  /* A message of each kind that names upstreams in use.  */
  std::vector<std::string>
  messages ()
  {
    return {
      gossip ([] (mq_gossip *g) {
        mq_gossip_finding f = {};

        f.upstream = MQ_SPAN ("app-a");
        f.ejected_us = 1;
        g_array_append_val (g->findings, f);
        g_array_append_val (g->routers, g->from);
      }),
      routing ("{\"version\":900,\"routes\":[]}"),
      entries (true, 900,
               { { MQ_SPAN ("app-a"), 900, MQ_SPAN ("{}"), true } }),
      entries (false, 0, { { MQ_SPAN ("app-a"), 900, MQ_SPAN ("{}"), true } }),
      layers ("one0", 0, 80),
    };
  }

  unsigned accepted_ = 0;

private:
  unsigned port_;
  std::string address_;
  mq_peers *peer_;
  unsigned sent_ = 0;
  uint64_t sequence_ = 0;
};

} // namespace

TEST_F (CutPeerMessage, AtAnyByteHasNoEffect)
{
  unsigned n = 0;

  start ();
  for (const std::string &whole : messages ())
    for (size_t size = 1; size < whole.size (); size++, n++)
      send (whole.substr (0, size));
  EXPECT_EQ (accepted_, n * routers.size ());
  EXPECT_TRUE (until ([&] { return unreadable (*routers[0]) >= n; }))
      << unreadable (*routers[0]) << " of " << n;
  expect_served_and_followed ();
}

TEST_F (CutPeerMessage, ThatIsMalformedHasNoEffect)
{
  const uint64_t beyond = MQ_CLUSTER_MESSAGE_MAX_VERSION + 1;
  const mq_span value = MQ_SPAN ("{}");
  std::mt19937 random (20261205);
  std::vector<std::string> all = {
    entries (true, UINT64_MAX, {}),
    entries (true, beyond, {}),
    entries (true, 900, { { MQ_SPAN ("app-a"), 901, value, true } }),
    entries (true, 900, { { MQ_SPAN ("app-a"), 0, value, true } }),
    entries (false, 0, { { MQ_SPAN ("app-a"), UINT64_MAX, value, true } }),
    entries (false, 0, { { MQ_SPAN ("app-b"), beyond, value, false } }),
    layers ("one0", 40, 0),
    layers ("one0", UINT32_MAX, 0),
    gossip ([=] (mq_gossip *g) { g->routing_version = beyond; }),
    gossip ([=] (mq_gossip *g) { g->upstreams_newest = UINT64_MAX; }),
    gossip ([] (mq_gossip *g) { g->from.peer = MQ_SPAN ("127.0.0.1:99999"); }),
    gossip ([] (mq_gossip *g) { g->from.client = MQ_SPAN ("127.0.0.1:80x"); }),
    gossip ([] (mq_gossip *g) { g->from.incarnation = 0; }),
    std::string (1000, '\0'),
    std::string (1000, '\xff'),
  };
  std::vector<std::string> valid = messages ();

  for (const std::string &a : valid)
    for (const std::string &b : valid)
      all.push_back (a + b);
  for (unsigned i = 0; i < 200; i++)
    {
      std::string s (random () % 300 + 1, '\0');

      for (char &c : s)
        c = (char)random ();
      all.push_back (s);
    }
  start ();
  for (const std::string &s : all)
    send (s);
  EXPECT_TRUE (until ([&] { return unreadable (*routers[0]) >= all.size (); }))
      << unreadable (*routers[0]) << " of " << all.size ();
  expect_served_and_followed ();
}

/* Sound messages whose texts are none, or that name layers and elements that
   are none, cost no more than what they name.  */
TEST_F (CutPeerMessage, WithUnusableTextHasNoEffect)
{
  std::string deep (100000, '[');

  deep += std::string (100000, ']');
  start ();
  for (const std::string &text :
       { deep, std::string (), std::string ("{"),
         std::string ("{\"version\":"),
         std::string ("{\"version\":1e400,\"routes\":[]}"),
         std::string ("{\"version\":99999999999999999999999}"),
         std::string ("{\"version\":-1}"),
         "{\"version\":950,\"routes\":" + deep + "}" })
    {
      send (routing (text));
      send (entries (false, 0,
                     { { MQ_SPAN ("odd"), 1, gateway::span (text), false } }));
    }
  send (layers ("none", 0, 80));
  send (layers ("none", 0, UINT32_MAX));
  send (gossip ([] (mq_gossip *g) {
    mq_gossip_finding f = {};

    f.upstream = MQ_SPAN ("none");
    f.ejected_us = f.rejecting_us = f.slowdown_us = UINT64_MAX;
    f.limit_age_us = f.born_ms = UINT64_MAX;
    g_array_append_val (g->findings, f);
    g_array_append_val (g->findings, f);
    g->sequence = UINT64_MAX;
  }));
  wait (0.3);
  expect_served_and_followed ();
}
