/* A simulation in virtual time of routers that share a retry budget.  Of each
   router only the mq_send_budget is real; gossip and transfers are modelled
   with the intervals, delays and losses that docs/design/routers.md gives.
   Each retry that arrives is recorded, and the bound is checked from outside,
   over all windows of arrivals.  */

#ifndef MQ_TESTS_BUDGET_SIM_H
#define MQ_TESTS_BUDGET_SIM_H

#include <mq/send_budget.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <vector>

namespace budget
{

constexpr uint64_t ms = 1000;
constexpr uint64_t second = 1000 * ms;
constexpr uint64_t window = 10 * second;
constexpr uint64_t step = 5 * ms;
constexpr uint64_t heartbeat = 125 * ms;

struct Options
{
  unsigned routers = 7, domains = 3;
  double requests_per_s = 100, ratio = 0.2, slack = 198;
  unsigned serving = 0; /* Routers with most requests; 0: all alike.  */
  double loss = 0.01;   /* Of messages.  */
  uint64_t max_delay_us = 5 * ms;
  uint64_t summary_us = heartbeat; /* Interval between domains.  */
  uint64_t counts_age_us = 375 * ms;
  unsigned seed = 1;
};

struct Router
{
  unsigned domain = 0;
  mq_send_budget budget = {};
  bool up = false, cut_off = false;
  unsigned incarnation = 0;
  uint64_t heartbeat_us = 0, requested_us = 0;
  uint64_t interval_us = 50 * ms; /* Between requests for budget.  */
  uint64_t heard_us = 0;          /* Last digest.  */
  unsigned asked = 0;             /* In the last one.  */
  unsigned need = 0;              /* Streams that wait for a retry.  */
  double weight = 1;              /* Of all requests.  */
  mq_send_counts others = {};     /* From the last digest ...  */
  unsigned busy = 1; /* ... with the routers that had requests.  */
};

/* What a domain's relays know of one router.  */
struct Report
{
  mq_send_counts counts = {}, previous = {};
  unsigned incarnation = 0;
  uint64_t at_us = 0, replaced_us = 0;
};

struct Summary
{
  mq_send_counts counts = {};
  unsigned busy = 0;
  uint64_t at_us = 0;
};

class Fleet
{
public:
  explicit Fleet (const Options &options)
      : o (options), routers (options.routers), random (options.seed),
        reports_ (options.routers),
        summaries_ (options.domains, std::vector<Summary> (options.domains)),
        relay_us_ (options.domains)
  {
    for (unsigned i = 0; i < o.routers; i++)
      {
        routers[i].domain = i % o.domains;
        if (o.serving > 0 && i >= o.serving)
          routers[i].weight = 0.02;
      }
    for (unsigned d = 0; d < o.domains; d++)
      relay_us_[d] = random () % heartbeat;
    start_all ();
  }

  void
  start (unsigned i)
  {
    Router &r = routers[i];

    mq_send_budget_init (&r.budget, o.ratio, o.slack, window, now);
    mq_send_budget_set_rounding (&r.budget, unit ());
    mq_send_budget_set_counts_age (&r.budget, o.counts_age_us);
    /* A process that has never heard others takes itself for the fleet, so
       none starts while it is cut off (docs/design/hard-load-budget.md).  */
    r.cut_off = false;
    r.up = true;
    r.incarnation = ++incarnations_;
    r.heartbeat_us = now + random () % heartbeat;
    r.others = {};
    r.heard_us = 0;
    r.busy = 1;
    r.need = 0;
  }

  void
  stop (unsigned i)
  {
    routers[i].up = false;
    routers[i].need = 0;
  }

  /* All start at once; nobody knows what was sent before.  */
  void
  start_all ()
  {
    for (auto &r : reports_)
      r = {};
    for (auto &d : summaries_)
      std::fill (d.begin (), d.end (), Summary{});
    for (unsigned i = 0; i < o.routers; i++)
      start (i);
  }

  void
  run (uint64_t us)
  {
    for (uint64_t end = now + us; now < end; now += step)
      {
        while (!events_.empty () && events_.top ().at_us <= now)
          {
            auto f = events_.top ().run;

            events_.pop ();
            f ();
          }
        take_requests ();
        for (unsigned i = 0; i < o.routers; i++)
          if (routers[i].up)
            tick (i);
        for (unsigned d = 0; d < o.domains; d++)
          relay (d);
      }
  }

  /* Largest excess over the bound in any window that ends at an arrival; and
     the largest part of the bound that was used, in USED.  */
  double
  excess (double *used = nullptr)
  {
    double worst = -1e9;
    size_t from = 0;

    std::sort (arrivals.begin (), arrivals.end ());
    for (size_t i = 0; i < arrivals.size (); i++)
      {
        uint64_t end = arrivals[i];

        while (arrivals[from] + window <= end)
          from++;
        double allowed = bound (end);
        double sent = (double)(i - from + 1);

        worst = std::max (worst, sent - allowed);
        if (used != nullptr)
          *used = std::max (*used, sent / allowed);
      }
    return worst;
  }

  /* Retries that the fleet may send in the window that ends at END.  */
  double
  bound (uint64_t end) const
  {
    return o.slack
           + o.ratio
                 * std::max ({ count (requests, end),
                               count (requests, end - window),
                               count (requests, end - window / 2) });
  }

  static unsigned
  count (const std::vector<uint64_t> &times, uint64_t end)
  {
    auto to = std::upper_bound (times.begin (), times.end (), end);
    auto from = std::upper_bound (times.begin (), times.end (),
                                  end < window ? 0 : end - window);

    return (unsigned)(to - from);
  }

  /* Retries of the last window, those under way included.  Arrivals are not
     in the order of time until excess sorts them.  */
  unsigned
  recent_retries () const
  {
    return (unsigned)std::count_if (
        arrivals.begin (), arrivals.end (),
        [this] (uint64_t at_us) { return at_us + window > now; });
  }

  unsigned
  waiting () const
  {
    unsigned n = 0;

    for (const Router &r : routers)
      n += r.need;
    return n;
  }

  double
  unit ()
  {
    return std::uniform_real_distribution<> (0, 1) (random);
  }

  const Options o;
  std::vector<Router> routers;
  std::mt19937 random;
  std::vector<uint64_t> requests, arrivals; /* Times.  */
  uint64_t now = 30 * second;
  bool gossip = true;    /* Between domains.  */
  uint64_t messages = 0; /* Of transfers.  */
  double rate = 1;       /* Factor of the requests.  */

private:
  struct Event
  {
    uint64_t at_us;
    std::function<void ()> run;
    bool
    operator<(const Event &e) const
    {
      return at_us > e.at_us;
    }
  };

  void
  later (std::function<void ()> run)
  {
    if (unit () >= o.loss)
      events_.push (
          { now + 500 + random () % o.max_delay_us, std::move (run) });
  }

  void
  take_requests ()
  {
    double sum = 0;
    std::vector<double> upto;

    for (const Router &r : routers)
      upto.push_back (sum += r.up ? r.weight : 0);
    if (sum <= 0)
      return;
    unsigned n = (unsigned)std::poisson_distribution<> (
        o.requests_per_s * rate * step / second) (random);
    for (unsigned k = 0; k < n; k++)
      {
        size_t i = (size_t)(std::upper_bound (upto.begin (), upto.end (),
                                              unit () * sum)
                            - upto.begin ());

        i = std::min (i, upto.size () - 1);
        requests.push_back (now);
        mq_send_budget_note_request (&routers[i].budget, o.routers, now);
      }
  }

  void
  send (Router &r)
  {
    while (r.need > 0
           && mq_send_budget_has_room (&r.budget, r.busy, r.others, now))
      {
        mq_send_budget_note_retry (&r.budget, now);
        r.need--;
        /* Some connections take long.  */
        arrivals.push_back (now + random () % (10 * ms)
                            + (random () % 20 == 0 ? 250 * ms : 0));
      }
  }

  void
  tick (unsigned i)
  {
    Router &r = routers[i];

    /* A router that hears from none knows so after a second.  */
    mq_send_budget_set_counts_age (&r.budget,
                                   r.heard_us > 0 && now - r.heard_us > second
                                       ? MQ_SEND_BUDGET_AGE_UNKNOWN
                                       : o.counts_age_us);
    send (r);
    if (now % (50 * ms) == 0)
      mq_send_budget_update (&r.budget, r.busy, r.others, now);
    if (r.need > 0 && now - r.requested_us >= r.interval_us)
      request (i);
    if (now < r.heartbeat_us)
      return;
    r.heartbeat_us = now + heartbeat;
    if (r.cut_off)
      return;
    mq_send_counts c = mq_send_budget_count (&r.budget, now);
    unsigned incarnation = r.incarnation;
    later ([this, i, c, incarnation] {
      Report &p = reports_[i];

      if (incarnation < p.incarnation)
        return;
      if (p.incarnation != 0 && p.incarnation != incarnation)
        {
          p.previous = p.counts;
          p.replaced_us = now;
        }
      p.counts = c;
      p.incarnation = incarnation;
      p.at_us = now;
    });
  }

  static void
  add (mq_send_counts &to, const mq_send_counts &c)
  {
    to.requests += c.requests;
    to.retries += c.retries;
    to.replaced += c.replaced;
  }

  /* The sum over the routers of DOMAIN, as cluster_load.c adds it up.  */
  Summary
  domain_sum (unsigned domain)
  {
    Summary s;
    double overdrawn = 0;

    for (unsigned i = domain; i < o.routers; i += o.domains)
      {
        const Report &p = reports_[i];
        mq_send_counts old = p.previous;

        old.replaced = old.retries;
        if (p.replaced_us > 0 && now - p.replaced_us <= window)
          {
            add (s.counts, old);
            overdrawn += old.requests;
          }
        if (p.at_us == 0 || now - p.at_us > window)
          continue;
        add (s.counts, p.counts);
        s.busy += p.counts.requests + p.counts.retries > 0;
        if (p.counts.replaced > 0)
          overdrawn += p.counts.requests;
      }
    if (s.counts.replaced > 0)
      s.counts.replaced = (unsigned)std::ceil (
          s.counts.replaced
          * std::min (s.counts.requests
                          / std::max (s.counts.requests - overdrawn, 1.),
                      8.));
    return s;
  }

  void
  relay (unsigned domain)
  {
    if (now < relay_us_[domain])
      return;
    relay_us_[domain] = now + heartbeat;
    Summary own = domain_sum (domain);
    if (gossip && now - summarized_us_[domain] >= o.summary_us)
      {
        summarized_us_[domain] = now;
        for (unsigned d = 0; d < o.domains; d++)
          if (d != domain)
            later ([this, d, domain, own] {
              summaries_[d][domain] = own;
              summaries_[d][domain].at_us = now;
            });
      }
    Summary all = own;
    for (unsigned d = 0; d < o.domains; d++)
      if (summaries_[domain][d].at_us > 0
          && now - summaries_[domain][d].at_us <= window)
        {
          add (all.counts, summaries_[domain][d].counts);
          all.busy += summaries_[domain][d].busy;
        }
    for (unsigned i = domain; i < o.routers; i += o.domains)
      {
        const mq_send_counts &c = reports_[i].counts;
        mq_send_counts rest = all.counts;

        if (!routers[i].up || routers[i].cut_off)
          continue;
        rest.requests -= std::min (rest.requests, c.requests);
        rest.retries -= std::min (rest.retries, c.retries);
        rest.replaced -= std::min (rest.replaced, c.replaced);
        unsigned incarnation = routers[i].incarnation;
        later ([this, i, rest, all, incarnation] {
          if (routers[i].incarnation != incarnation)
            return;
          routers[i].others = rest;
          routers[i].heard_us = now;
          routers[i].busy = std::max (all.busy, 1u);
        });
      }
  }

  /* Router I requests budget: of its domain's routers through a relay, and
     what these lack of the other domains.  */
  void
  request (unsigned i)
  {
    Router &r = routers[i];
    unsigned serial = ++serials_;

    /* Back off while nothing is granted.  */
    if (serial_.size () < o.routers || pending_[i] == 0)
      r.interval_us = 50 * ms;
    else if (pending_[i] == r.asked)
      r.interval_us = std::min (r.interval_us * 2, 400 * ms);
    else
      r.interval_us = 50 * ms;
    r.requested_us = now;
    if (r.cut_off)
      return;
    serial_.resize (o.routers);
    pending_.resize (o.routers);
    serial_[i] = serial;
    r.asked = pending_[i] = std::min (r.need, 1024u);
    unsigned domain = r.domain;
    later ([this, i, serial, domain] {
      unsigned missing = forward (i, serial, domain, pending_[i]);

      if (missing == 0 || !gossip || o.domains < 2)
        return;
      std::vector<double> unused (o.domains);
      double sum = 0;
      mq_send_counts all = domain_sum (domain).counts;
      for (unsigned d = 0; d < o.domains; d++)
        if (d != domain)
          add (all, summaries_[domain][d].counts);
      for (unsigned d = 0; d < o.domains; d++)
        if (d != domain)
          {
            const mq_send_counts &c = summaries_[domain][d].counts;
            mq_send_counts rest = all;

            rest.requests -= std::min (rest.requests, c.requests);
            rest.replaced -= std::min (rest.replaced, c.replaced);
            unused[d] = mq_send_budget_unused (&routers[i].budget, c,
                                               routers[i].busy, rest);
            sum += unused[d];
          }
      for (unsigned d = 0; d < o.domains; d++)
        if (d != domain && unused[d] > 0)
          later ([=, this] {
            (void)forward (i, serial, d,
                           (unsigned)std::ceil (missing * unused[d] / sum));
          });
    });
  }

  unsigned
  forward (unsigned borrower, unsigned serial, unsigned domain,
           unsigned wanted)
  {
    mq_send_counts all = domain_sum (domain).counts;

    for (unsigned d = 0; d < o.domains; d++)
      if (summaries_[domain][d].at_us > 0)
        add (all, summaries_[domain][d].counts);
    unsigned receivers = 0;
    unsigned n = (o.routers - domain + o.domains - 1) / o.domains;
    unsigned first = random () % n;
    for (unsigned k = 0; k < n && wanted > 0 && receivers < granters; k++)
      {
        unsigned j = domain + (first + k) % n * o.domains;
        mq_send_counts own = reports_[j].counts;
        mq_send_counts rest = all;

        if (j == borrower || reports_[j].at_us == 0
            || now - reports_[j].at_us > second)
          continue;
        rest.requests -= std::min (rest.requests, own.requests);
        rest.replaced -= std::min (rest.replaced, own.replaced);
        unsigned part
            = std::min (mq_send_budget_unused (&routers[borrower].budget, own,
                                               routers[borrower].busy, rest),
                        wanted);
        if (part == 0)
          continue;
        wanted -= part;
        reports_[j].counts.retries += part; /* Until the next report.  */
        receivers++;
        messages += 2;
        later ([=, this] { grant (j, borrower, serial, part); });
      }
    return wanted;
  }

  void
  grant (unsigned j, unsigned borrower, unsigned serial, unsigned wanted)
  {
    Router &r = routers[j];

    if (!r.up || r.cut_off || r.need > 0)
      return;
    unsigned n
        = mq_send_budget_grant (&r.budget, r.busy, r.others, wanted, now);
    if (n > 0)
      later ([=, this] {
        Router &b = routers[borrower];

        if (!b.up || b.cut_off || serial_[borrower] != serial)
          return;
        mq_send_budget_add_grant (&b.budget, std::min (n, pending_[borrower]),
                                  now);
        pending_[borrower] -= std::min (n, pending_[borrower]);
        send (b);
      });
  }

public:
  unsigned granters = 64; /* Routers that a relay forwards a request to.  */

private:
  std::vector<Report> reports_;
  std::vector<std::vector<Summary> > summaries_; /* By receiver, sender.  */
  std::vector<uint64_t> relay_us_;
  std::vector<uint64_t> summarized_us_ = std::vector<uint64_t> (o.domains);
  std::priority_queue<Event> events_;
  std::vector<unsigned> serial_, pending_;
  unsigned incarnations_ = 0, serials_ = 0;
};

} // namespace budget

#endif
