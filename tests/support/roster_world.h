/* A fleet of rosters in virtual time: routers in failure domains that send one
   another real parcels, over links with a delay.  Nothing else of a router is
   there: what each has in flight and knows of the store is set by the test. */

#ifndef MQ_TESTS_ROSTER_WORLD_H
#define MQ_TESTS_ROSTER_WORLD_H

#include <mq/news_codec.h>
#include <mq/roster.h>

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace roster
{

constexpr uint64_t ms = 1000;
constexpr uint64_t second = 1000 * ms;
constexpr uint64_t heartbeat = MQ_ROSTER_HEARTBEAT_MS * ms;

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
  mq_roster roster = {};
  bool up = false, reaches_store = true;
  uint64_t incarnation = 0;
  uint64_t next_us = 0, reported_us = 0;
  unsigned tokens = 0, used = 0; /* In flight; of the processor.  */
  uint64_t way = 1;
  uint64_t started_us = 0, told_us = 0;
  mq_quarantine quarantine = {};

  ~Router ()
  {
    if (!up)
      return;
    mq_roster_finish (&roster);
    mq_quarantine_finish (&quarantine);
  }
};

struct Traffic
{
  uint64_t messages = 0, bytes = 0, far_bytes = 0;
};

class World
{
public:
  /* N routers in DOMAINS, of which the first LARGE of each domain are large;
     three seeds in the first domains, as the users' platform gives them.  */
  World (unsigned n, unsigned domains, unsigned large = 3)
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
    mq_news_router self = { span (r.name),   span (r.peer),   span (r.client),
                            span (r.domain), ++incarnations_, r.capacity };

    mq_roster_init (&r.roster, &self, 10 * second, now);
    mq_quarantine_init (&r.quarantine, quarantine_us);
    r.up = true;
    r.started_us = now;
    r.incarnation = incarnations_;
    for (const std::string &s : seeds)
      mq_roster_add_address (&r.roster, span (s));
    for (const std::string &peer : listed)
      {
        const Router &o = *by_peer_[peer];
        mq_news_router m = {
          span (o.name), span (o.peer), span (o.client), span (o.domain), 0,
          o.capacity
        };

        mq_roster_add (&r.roster, &m, true, now);
      }
    mq_roster_listed (&r.roster,
                      std::find (listed.begin (), listed.end (), r.peer)
                          != listed.end (),
                      now);
    r.next_us = now + incarnations_ % 50 * ms;
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
    mq_roster_finish (&r.roster);
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
            beat (*r);
        now += 5 * ms;
      }
  }

  std::vector<Router *>
  relays (const std::string &domain = "")
  {
    std::vector<Router *> found;

    for (auto &r : routers)
      if (r->up && r->roster.relays
          && (domain.empty () || r->domain == domain))
        found.push_back (r.get ());
    return found;
  }

  /* Those that would give orders now.  */
  unsigned
  leaders ()
  {
    unsigned n = 0;

    for (auto &r : routers)
      n += r->up && mq_roster_leads (&r->roster, r->reaches_store, now);
    return n;
  }

  /* The names that R tells clients of its domain.  */
  std::vector<std::string>
  serving (Router &r)
  {
    GArray *serving = g_array_new (FALSE, FALSE, sizeof (mq_news_router));
    GArray *elsewhere = g_array_new (FALSE, FALSE, sizeof (mq_news_router));
    std::vector<std::string> found;

    mq_roster_serving (&r.roster, serving, elsewhere, now);
    for (guint i = 0; i < serving->len; i++)
      found.push_back (
          text (g_array_index (serving, mq_news_router, i).client));
    g_array_unref (serving);
    g_array_unref (elsewhere);
    return found;
  }

  std::vector<std::unique_ptr<Router> > routers;
  std::vector<std::string> seeds, listed;
  uint64_t now = second;
  uint64_t delay_us = 1 * ms;
  Traffic traffic;
  uint64_t quarantine_us = 600 * second;
  /* Does a message from the first get to the second?  */
  std::function<bool (const Router &, const Router &)> link
      = [] (const Router &, const Router &) { return true; };

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
  send (Router &from, mq_roster_router *to, const mq_news &news)
  {
    GString *out = g_string_new (nullptr);
    mq_parcel p = {};
    auto found = by_peer_.find (mq_str_cstr (to->peer));

    p.kind = MQ_PARCEL_NEWS;
    p.u.news = &news;
    mq_parcel_encode (&p, out);
    mq_roster_note_sent (to, now);
    traffic.messages++;
    traffic.bytes += out->len;
    if (found != by_peer_.end ())
      {
        if (found->second->domain != from.domain)
          traffic.far_bytes += out->len;
        if (link (from, *found->second))
          messages_.push ({ now + delay_us, &from, found->second,
                            std::string (out->str, out->len) });
      }
    g_string_free (out, TRUE);
  }

  /* One message to all of TO, or, by MAKE, one to each.  */
  template <typename Make>
  void
  send_each (Router &from, GPtrArray *to, mq_news_kind kind, bool same,
             Make make)
  {
    mq_news news;

    for (guint i = 0; i < to->len; i++)
      {
        auto *r = static_cast<mq_roster_router *> (g_ptr_array_index (to, i));

        if (i == 0 || !same)
          {
            mq_news_init (&news, kind);
            make (&news, r);
          }
        send (from, r, news);
        if (i + 1 == to->len || !same)
          mq_news_finish (&news);
      }
    g_ptr_array_set_size (to, 0);
  }

  void
  set_self (Router &r)
  {
    mq_path_tokens w = { r.way, (double)r.tokens };
    mq_service_sends s = { 1, { r.tokens / 100, 0, 0 } };

    r.roster.self = {};
    r.roster.self.ready = true;
    r.roster.self.store_reached = r.reaches_store && r.roster.relays;
    r.roster.self.used = r.used;
    r.roster.self.loaded = r.tokens > 0;
    g_array_set_size (r.roster.paths, 0);
    g_array_set_size (r.roster.sends, 0);
    if (r.tokens == 0)
      return;
    g_array_append_val (r.roster.paths, w);
    g_array_append_val (r.roster.sends, s);
  }

  /* What a gateway does at a heartbeat.  */
  void
  beat (Router &r)
  {
    GPtrArray *to = g_ptr_array_new ();
    bool fresh = mq_quarantine_is_fresh (&r.quarantine, now);
    bool often;

    r.next_us = now + heartbeat;
    set_self (r);
    (void)mq_roster_tick (&r.roster, now);
    often = fresh || mq_roster_is_active (&r.roster, now)
            || !mq_roster_hears_relay (&r.roster, now);
    if (often || now - r.reported_us + heartbeat / 2 >= second)
      {
        r.reported_us = now;
        mq_roster_report_to (&r.roster, to, now);
        send_each (r, to, MQ_NEWS_REPORT, true,
                   [&] (mq_news *n, mq_roster_router *) {
                     bool all = now - r.told_us >= second;

                     mq_roster_make_report (&r.roster, n, now);
                     if (all)
                       r.told_us = now;
                     mq_quarantine_tell (&r.quarantine, all, n->ends, now);
                   });
      }
    if (r.roster.relays)
      {
        mq_roster_digest_to (&r.roster, fresh, to, now);
        send_each (r, to, MQ_NEWS_DIGEST, false,
                   [&] (mq_news *n, mq_roster_router *o) {
                     mq_roster_make_digest (&r.roster, o, n, now);
                     mq_quarantine_tell (&r.quarantine, n->listed, n->ends,
                                         now);
                   });
        mq_roster_summary_to (&r.roster, fresh, to, now);
        send_each (r, to, MQ_NEWS_SUMMARY, true,
                   [&] (mq_news *n, mq_roster_router *) {
                     mq_roster_make_summary (&r.roster, n, now);
                     mq_quarantine_tell (&r.quarantine, n->listed, n->ends,
                                         now);
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
        mq_parcel_decoded d;
        mq_roster_router *from = nullptr;
        bool stranger = false;

        messages_.pop ();
        if (!m.to->up)
          continue;
        ASSERT_EQ (mq_parcel_decode (&d, span (m.bytes), nullptr), 0);
        bool heard = mq_roster_hear (&m.to->roster, d.parcel.u.news, &from,
                                     &stranger, now)
                     != MQ_HEARD_OLD;
        for (guint i = 0; heard && i < d.parcel.u.news->ends->len; i++)
          (void)mq_quarantine_hear (
              &m.to->quarantine,
              &g_array_index (d.parcel.u.news->ends, mq_quarantine_record, i),
              now);
        if (heard && stranger && now - from->sent_us >= 200 * ms)
          {
            mq_news news;

            mq_news_init (&news, MQ_NEWS_INTRODUCTION);
            mq_roster_make_introduction (&m.to->roster, from, &news, now);
            send (*m.to, from, news);
            mq_news_finish (&news);
          }
        mq_parcel_decoded_finish (&d);
      }
  }

  std::map<std::string, Router *> by_peer_;
  std::priority_queue<Message> messages_;
  uint64_t incarnations_ = 0;
};

} // namespace roster

#endif
