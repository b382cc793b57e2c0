/* A simulation in virtual time of routers in failure domains that exchange
   encoded cluster messages over links with a delay.  Of each router only the
   mq_cluster and the mq_quarantine are real: the test sets what it has in
   flight and whether it reaches the store.  */

#ifndef MQ_TESTS_CLUSTER_SIM_H
#define MQ_TESTS_CLUSTER_SIM_H

#include <mq/cluster_message.h>
#include <mq/cluster.h>

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace cluster
{

constexpr uint64_t ms = 1000;
constexpr uint64_t second = 1000 * ms;
constexpr uint64_t heartbeat = MQ_CLUSTER_HEARTBEAT_MS * ms;

inline mq_span
span (const std::string &s)
{
  return { s.data (), s.size () };
}

inline std::string
text (mq_span s)
{
  return std::string (s.size > 0 ? s.data : "", s.size);
}

/* One router.  */
struct Router
{
  std::string name, peer, client, domain;
  unsigned capacity = 120;
  mq_cluster cluster = {};
  bool up = false, reaches_store = true, draining = false;
  bool isolated = false;
  uint64_t incarnation = 0;
  uint64_t next_us = 0, reported_us = 0;
  unsigned tokens = 0, used = 0; /* In flight; thousandths of a processor.  */
  uint64_t path = 1;
  uint64_t started_us = 0, exported_us = 0;
  mq_quarantine quarantine = {};

  ~Router ()
  {
    if (!up)
      return;
    mq_cluster_finish (&cluster);
    mq_quarantine_finish (&quarantine);
  }
};

struct Traffic
{
  uint64_t messages = 0, bytes = 0, remote_bytes = 0;
};

class Simulation
{
public:
  /* N routers in DOMAINS domains.  The first LARGE routers of each domain have
     a larger capacity.  The first three routers are the seeds.  */
  Simulation (unsigned n, unsigned domains, unsigned large = 3)
  {
    for (unsigned i = 0; i < n; i++)
      {
        auto r = std::make_unique<Router> ();

        r->domain = "domain-" + std::to_string (i % domains);
        r->name = "vm-" + r->domain + "-" + std::to_string (i / domains);
        r->peer = "10." + std::to_string (i % domains) + ".0."
                  + std::to_string (i / domains) + ":1";
        r->client = r->peer + "0";
        r->capacity = i / domains < large ? 500 : 120;
        by_peer_[r->peer] = r.get ();
        routers.push_back (std::move (r));
      }
    for (unsigned i = 0; i < 3 && i < n; i++)
      seeds.push_back (routers[i]->peer);
  }

  void
  start (Router &r)
  {
    mq_gossip_router self = { span (r.name),
                              span (r.peer),
                              span (r.client),
                              span (r.domain),
                              ++last_incarnation_,
                              r.capacity,
                              8000 };

    mq_cluster_init (&r.cluster, &self, 10 * second, now);
    mq_quarantine_init (&r.quarantine, quarantine_us);
    r.up = true;
    r.started_us = now;
    r.incarnation = last_incarnation_;
    for (const std::string &s : seeds)
      mq_cluster_add_address (&r.cluster, span (s));
    read_member_list (r);
    r.next_us = now + last_incarnation_ % 50 * ms;
  }

  /* Have R read the member list as it was before all routers started.  */
  void
  read_member_list (Router &r)
  {
    for (const std::string &peer : member_list)
      name (r, *by_peer_[peer]);
    mq_cluster_note_member_list (
        &r.cluster, false,
        std::find (member_list.begin (), member_list.end (), r.peer)
            != member_list.end (),
        now);
  }

  /* Have TO know ROUTER from the member list.  */
  void
  name (Router &to, const Router &router)
  {
    mq_gossip_router m = { span (router.name),
                           span (router.peer),
                           span (router.client),
                           span (router.domain),
                           0,
                           router.capacity,
                           0 };

    mq_cluster_add (&to.cluster, &m, true, now);
  }

  void
  start_all ()
  {
    for (auto &r : routers)
      start (*r);
  }

  void
  stop (Router &r)
  {
    mq_cluster_finish (&r.cluster);
    mq_quarantine_finish (&r.quarantine);
    r.up = false;
  }

  void
  run (uint64_t us)
  {
    uint64_t end = now + us;

    while (now < end)
      {
        deliver ();
        for (auto &r : routers)
          if (r->up && now >= r->next_us)
            send_heartbeat (*r);
        now += 5 * ms;
      }
  }

  std::vector<Router *>
  relays (const std::string &domain = "")
  {
    std::vector<Router *> found;

    for (auto &r : routers)
      if (r->up && r->cluster.relays
          && (domain.empty () || r->domain == domain))
        found.push_back (r.get ());
    return found;
  }

  /* Returns how many routers are the leader in their own view.  */
  unsigned
  leaders ()
  {
    unsigned n = 0;

    for (auto &r : routers)
      n += r->up && mq_cluster_is_leader (&r->cluster, r->reaches_store, now);
    return n;
  }

  /* Returns the client addresses that R names to clients of its domain.  */
  std::vector<std::string>
  serving (Router &r)
  {
    GArray *serving = g_array_new (FALSE, FALSE, sizeof (mq_gossip_router));
    GArray *elsewhere = g_array_new (FALSE, FALSE, sizeof (mq_gossip_router));
    std::vector<std::string> found;

    mq_cluster_list_serving (&r.cluster, serving, elsewhere, now);
    for (guint i = 0; i < serving->len; i++)
      found.push_back (
          text (g_array_index (serving, mq_gossip_router, i).client));
    g_array_unref (serving);
    g_array_unref (elsewhere);
    return found;
  }

  std::vector<std::unique_ptr<Router> > routers;
  std::vector<std::string> seeds, member_list;
  std::set<const Router *> registered; /* Relays in the platform's store.  */
  uint64_t now = second;
  uint64_t delay_us = 1 * ms;
  Traffic traffic;
  uint64_t quarantine_us = 600 * second;
  /* Returns true if a message from the first router reaches the second.  */
  std::function<bool (const Router &, const Router &)> link
      = [] (const Router &, const Router &) { return true; };

  uint64_t service = 1; /* That isolated routers do not reach.  */

private:
  struct Message
  {
    uint64_t at_us;
    Router *from, *to;
    std::string bytes;
    bool
    operator<(const Message &o) const
    {
      return at_us > o.at_us;
    }
  };

  void
  send (Router &from, mq_cluster_member *to, const mq_gossip &gossip)
  {
    GString *out = g_string_new (nullptr);
    mq_cluster_message m = {};
    auto found = by_peer_.find (mq_str_cstr (to->peer));

    m.kind = MQ_CLUSTER_MESSAGE_GOSSIP;
    m.u.gossip = &gossip;
    mq_cluster_message_encode (&m, out);
    mq_cluster_note_sent (to, now);
    traffic.messages++;
    traffic.bytes += out->len;
    if (found != by_peer_.end ())
      {
        if (found->second->domain != from.domain)
          traffic.remote_bytes += out->len;
        if (link (from, *found->second))
          messages_.push ({ now + delay_us, &from, found->second,
                            std::string (out->str, out->len) });
      }
    g_string_free (out, TRUE);
  }

  /* Send a message that MAKE fills to each member of TO: the same one if
     SHARED is set, otherwise a new one for each.  */
  template <typename Make>
  void
  send_each (Router &from, GPtrArray *to, mq_gossip_kind kind, bool shared,
             Make make)
  {
    mq_gossip gossip;

    for (guint i = 0; i < to->len; i++)
      {
        auto *r = static_cast<mq_cluster_member *> (g_ptr_array_index (to, i));

        if (i == 0 || !shared)
          {
            mq_gossip_init (&gossip, kind);
            make (&gossip, r);
          }
        send (from, r, gossip);
        if (i + 1 == to->len || !shared)
          mq_gossip_finish (&gossip);
      }
    g_ptr_array_set_size (to, 0);
  }

  void
  update_self (Router &r)
  {
    mq_path_tokens p = { r.path, (double)r.tokens };
    mq_service_sends s = { 1, { r.tokens / 100, 0, 0 } };

    r.cluster.self = {};
    r.cluster.self.ready = true;
    r.cluster.self.draining = r.draining;
    r.cluster.self.store_reached = r.reaches_store && r.cluster.relays;
    r.cluster.self.used = r.used;
    r.cluster.self.loaded = r.tokens > 0;
    g_array_set_size (r.cluster.isolated, 0);
    if (r.isolated)
      g_array_append_val (r.cluster.isolated, service);
    g_array_set_size (r.cluster.paths, 0);
    g_array_set_size (r.cluster.sends, 0);
    if (r.tokens == 0)
      return;
    g_array_append_val (r.cluster.paths, p);
    g_array_append_val (r.cluster.sends, s);
  }

  /* Register a relay, and look up the registered ones where that is needed, as
     a gateway does in the platform's store.  */
  void
  use_member_list (Router &r)
  {
    if (r.cluster.relays && r.reaches_store)
      registered.insert (&r);
    if (!mq_cluster_needs_member_list (&r.cluster, now))
      return;
    if (!r.reaches_store)
      {
        mq_cluster_note_member_list_unavailable (&r.cluster, now);
        return;
      }
    for (const Router *o : registered)
      name (r, *o);
    mq_cluster_note_member_list (&r.cluster, true, registered.count (&r) > 0,
                                 now);
  }

  /* Send the gossip that a gateway sends at a heartbeat.  */
  void
  send_heartbeat (Router &r)
  {
    GPtrArray *to = g_ptr_array_new ();
    bool fresh = mq_quarantine_is_fresh (&r.quarantine, now);
    bool report_now;

    r.next_us = now + heartbeat;
    update_self (r);
    (void)mq_cluster_tick (&r.cluster, now);
    use_member_list (r);
    report_now = fresh || mq_cluster_is_active (&r.cluster, now)
                 || !mq_cluster_has_live_relay (&r.cluster, now);
    if (report_now || now - r.reported_us + heartbeat / 2 >= second)
      {
        r.reported_us = now;
        mq_cluster_report_targets (&r.cluster, to, now);
        send_each (r, to, MQ_GOSSIP_REPORT, true,
                   [&] (mq_gossip *n, mq_cluster_member *) {
                     bool all = now - r.exported_us >= second;

                     mq_cluster_make_report (&r.cluster, n, now);
                     if (all)
                       r.exported_us = now;
                     mq_quarantine_export (&r.quarantine, all, n->crashes,
                                           now);
                   });
      }
    if (r.cluster.relays)
      {
        mq_cluster_digest_targets (&r.cluster, fresh, to, now);
        send_each (r, to, MQ_GOSSIP_DIGEST, false,
                   [&] (mq_gossip *n, mq_cluster_member *o) {
                     mq_cluster_make_digest (&r.cluster, o, n, now);
                     mq_quarantine_export (&r.quarantine, n->listed,
                                           n->crashes, now);
                   });
        mq_cluster_summary_targets (&r.cluster, fresh, to, now);
        send_each (r, to, MQ_GOSSIP_SUMMARY, true,
                   [&] (mq_gossip *n, mq_cluster_member *) {
                     mq_cluster_make_summary (&r.cluster, n, now);
                     mq_quarantine_export (&r.quarantine, n->listed,
                                           n->crashes, now);
                   });
      }
    g_ptr_array_unref (to);
  }

  void
  deliver ()
  {
    while (!messages_.empty () && messages_.top ().at_us <= now)
      {
        Message m = messages_.top ();
        mq_cluster_message_decoded d;
        mq_cluster_member *from = nullptr;
        bool misdirected = false;

        messages_.pop ();
        if (!m.to->up)
          continue;
        ASSERT_EQ (mq_cluster_message_decode (&d, span (m.bytes), nullptr), 0);
        bool accepted = mq_cluster_receive (&m.to->cluster, d.message.u.gossip,
                                            &from, &misdirected, now)
                        != MQ_GOSSIP_STALE;
        for (guint i = 0; accepted && i < d.message.u.gossip->crashes->len;
             i++)
          (void)mq_quarantine_merge (
              &m.to->quarantine,
              &g_array_index (d.message.u.gossip->crashes,
                              mq_quarantine_record, i),
              now);
        if (accepted && misdirected && now - from->sent_us >= 200 * ms)
          {
            mq_gossip gossip;

            mq_gossip_init (&gossip, MQ_GOSSIP_INTRODUCTION);
            mq_cluster_make_introduction (&m.to->cluster, from, &gossip, now);
            send (*m.to, from, gossip);
            mq_gossip_finish (&gossip);
          }
        mq_cluster_message_decoded_finish (&d);
      }
  }

  std::map<std::string, Router *> by_peer_;
  std::priority_queue<Message> messages_;
  uint64_t last_incarnation_ = 0;
};

} // namespace cluster

#endif
