/* Requests of several urgency levels that compete for memory, in virtual time.

   Clients choose a router at random.  Each router decides by
   mq_domain_choose, from its own tokens and from counts of the others that are
   refreshed every 250 ms, and, with levels, by mq_urgency_reserve.  A request
   of 1,000 tokens stays for 4 s on the average.  Rejected clients retry once,
   as Retry-After says; one in five retries at once instead.  */

#ifndef MQ_TESTS_URGENCY_SIM_H
#define MQ_TESTS_URGENCY_SIM_H

#include <mq/domain_load.h>
#include <mq/routing.h>
#include <mq/urgency_reserve.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <vector>

namespace urgency_sim
{

struct Burst
{
  int route;
  double from_s, to_s, factor;
};

struct Load
{
  unsigned routers;
  double rate; /* Requests per second, in equal parts over the routes.  */
  double fill; /* Share of the usable memory that these need.  */
  std::vector<Burst> bursts;
  double end_s;
  double refresh_s = 0.25; /* Interval of the counts of other routers.  */
};

struct Policy
{
  /* The level of each route, MQ_URGENCY_NONE where levels are not in force. */
  std::array<int, 3> levels;
  bool sooner = true; /* Retry-After by level.  */
  /* A rejected request of level 0 displaces a stream of level 2 of the same
     router, which costs a retry and resumes when there is room.  */
  bool cancel = false;
};

struct Count
{
  double requests = 0, in_time = 0, late = 0, lost = 0;

  void
  add (const Count &other)
  {
    requests += other.requests;
    in_time += other.in_time;
    late += other.late;
    lost += other.lost;
  }

  double
  in_time_share () const
  {
    return in_time / requests;
  }
  /* A late response has a quarter of the value.  */
  double
  credit () const
  {
    return (in_time + late / 4) / requests;
  }
};

struct Result
{
  std::array<Count, 3> all, burst; /* By route; arrivals in any burst.  */
  unsigned cancelled = 0, resumed = 0;
  uint64_t decisions = 0; /* Hash of all decisions in order.  */
};

class Sim
{
public:
  Sim (const Load &load, const Policy &policy, unsigned seed)
      : load_ (load), policy_ (policy), random_ (seed), own_ (load.routers),
        reserves_ (load.routers), requests_ (load.routers)
  {
    capacity_ = load.rate * stay_s * tokens / load.fill / usable / paths;
  }

  Result
  run ()
  {
    schedule_arrivals ();
    while (!events_.empty ())
      {
        Event e = events_.top ();

        events_.pop ();
        now_ = e.at;
        e.run ();
      }
    return result_;
  }

private:
  static constexpr unsigned paths = 3;
  static constexpr double tokens = 1000, stay_s = 4, usable = 0.92;
  static constexpr double timeout_s = 20, reread_s = 0.3;
  static constexpr double max_silence_s = 1.6, tick_s = 0.05;

  struct Event
  {
    double at;
    std::function<void ()> run;
    bool
    operator<(const Event &other) const
    {
      return at > other.at;
    }
  };

  struct Stream
  {
    unsigned router, path;
    int route;
    double since, end;
    bool open = true;
    unsigned run = 0; /* Grows with each cancellation.  */
  };

  void
  at (double when, std::function<void ()> run)
  {
    events_.push ({ when, std::move (run) });
  }

  double
  uniform ()
  {
    return std::uniform_real_distribution<> () (random_);
  }
  uint64_t
  now_us () const
  {
    return (uint64_t)((now_ + 100) * 1e6);
  }

  bool
  in_burst () const
  {
    return std::any_of (
        load_.bursts.begin (), load_.bursts.end (),
        [this] (const Burst &b) { return now_ >= b.from_s && now_ < b.to_s; });
  }

  void
  schedule_arrivals ()
  {
    for (int route = 0; route < 3; route++)
      for (double t = 0; t < load_.end_s;)
        {
          double rate = load_.rate / 3;

          for (auto &b : load_.bursts)
            if (b.route == route && t >= b.from_s && t < b.to_s)
              rate *= b.factor;
          t += std::exponential_distribution<> (rate) (random_);
          at (t, [this, route] { arrive (route, true, in_burst ()); });
        }
    for (double t = 0; t < load_.end_s + 30; t += load_.refresh_s)
      at (t, [this] { snapshot_ = own_; });
  }

  double
  used (unsigned router, unsigned path) const
  {
    double sum = own_[router][path];

    for (unsigned r = 0; r < load_.routers && !snapshot_.empty (); r++)
      if (r != router)
        sum += snapshot_[r][path];
    return sum;
  }

  mq_urgency_memory
  memory (unsigned router) const
  {
    double all = 0;

    for (double n : requests_)
      all += n;
    return { capacity_ * paths, usable,
             std::min (all / requests_[router], (double)load_.routers) };
  }

  int
  choose (unsigned router, mq_domain_rank rank, double limit)
  {
    std::array<mq_domain_choice, paths> choices;
    mq_domain_request request
        = { tokens, rank, 0, load_.refresh_s * 1000, random_ (), limit };
    int chosen;

    for (unsigned p = 0; p < paths; p++)
      choices[p] = { MQ_SPAN ("d"),
                     capacity_,
                     used (router, p),
                     10,
                     false,
                     p == router % paths,
                     0,
                     0 };
    chosen = mq_domain_choose (choices.data (), paths, &request);
    result_.decisions
        = mq_hash_mix (result_.decisions, (uint64_t)(int64_t)chosen);
    return chosen;
  }

  void
  hold (Stream *s, double amount)
  {
    own_[s->router][s->path] += amount;
    if (policy_.levels[(size_t)s->route] >= 0)
      mq_urgency_reserve_note_held (&reserves_[s->router],
                                    policy_.levels[(size_t)s->route], amount);
  }

  void
  start (unsigned router, unsigned path, int route)
  {
    auto s = std::make_shared<Stream> ();
    double stay = stay_s * (0.2 + 1.6 * uniform ());

    *s = { router, path, route, now_, now_ + stay };
    hold (s.get (), tokens);
    streams_.push_back (s);
    at (s->end, [this, s, run = s->run] { end (s, run); });
  }

  void
  end (const std::shared_ptr<Stream> &s, unsigned run)
  {
    int level = policy_.levels[(size_t)s->route];

    if (s->run != run)
      return;
    s->open = false;
    hold (s.get (), -tokens);
    if (level >= 0)
      mq_urgency_reserve_note_stay (&reserves_[s->router], level,
                                    (uint64_t)((now_ - s->since) * 1e6));
    streams_.erase (std::find (streams_.begin (), streams_.end (), s));
  }

  /* Cancel a stream of the least urgent route at ROUTER.  Returns false if
     there is none or the budget is spent.  */
  bool
  cancel_one (unsigned router)
  {
    while (!retries_.empty () && retries_.front () < now_ - 10)
      retries_.pop_front ();
    if ((double)retries_.size () >= 0.2 * load_.rate * 10 + 348)
      return false;
    for (auto &s : streams_)
      if (s->router == router && s->route == 2 && s->open && s->run == 0)
        {
          s->open = false;
          s->run++;
          hold (s.get (), -tokens);
          result_.cancelled++;
          at (now_ + tick_s, [this, s, since = now_] { resume (s, since); });
          return true;
        }
    return false;
  }

  void
  resume (const std::shared_ptr<Stream> &s, double since)
  {
    int path = choose (s->router, MQ_DOMAIN_NEW, 0);

    if (path >= 0)
      {
        retries_.push_back (now_);
        result_.resumed++;
        s->path = (unsigned)path;
        s->open = true;
        s->end += now_ - since + reread_s;
        hold (s.get (), tokens);
        at (s->end, [this, s, run = s->run] { end (s, run); });
      }
    else if (now_ - since < max_silence_s)
      at (now_ + tick_s, [this, s, since] { resume (s, since); });
    else
      {
        /* The client disconnects: what counted as in time is lost.  */
        result_.all[2].in_time--;
        result_.all[2].lost++;
        streams_.erase (std::find (streams_.begin (), streams_.end (), s));
      }
  }

  void
  arrive (int route, bool first, bool burst, bool at_once = false)
  {
    unsigned router = (unsigned)(random_ () % load_.routers);
    int level = policy_.levels[(size_t)route];
    mq_urgency_reserve *reserve = &reserves_[router];
    mq_domain_rank rank = first || at_once ? MQ_DOMAIN_NEW : MQ_DOMAIN_RETRY;
    double limit = 0;
    int path;

    requests_[router]++;
    if (level >= 0)
      {
        mq_urgency_memory m = memory (router);

        mq_urgency_reserve_note_request (reserve, level, tokens, now_us ());
        limit = mq_urgency_reserve_limit (reserve, level, &m, now_us ()).limit;
      }
    path = choose (router, rank, limit);
    if (path < 0 && policy_.cancel && route == 0 && cancel_one (router))
      path = choose (router, rank, limit);
    if (path >= 0)
      {
        if (level >= 0)
          mq_urgency_reserve_note_admitted (reserve, level, now_us ());
        start (router, (unsigned)path, route);
      }
    count (route, first, burst, at_once, path >= 0);
    if (path < 0 && first)
      retry (route, level, burst);
  }

  void
  count (int route, bool first, bool burst, bool at_once, bool served)
  {
    for (auto *counts : { &result_.all, &result_.burst })
      {
        Count &c = (*counts)[(size_t)route];

        if (counts == &result_.burst && !burst)
          continue;
        c.requests += first;
        if (served)
          (first || at_once ? c.in_time : c.late)++;
        else if (!first)
          c.lost++;
      }
  }

  void
  retry (int route, int level, bool burst)
  {
    bool at_once = uniform () < 0.2;
    unsigned ms
        = mq_domain_retry_after_ms ((uint64_t)(timeout_s * 1000), random_ ());

    if (level >= 0 && policy_.sooner)
      ms = mq_urgency_retry_ms (level, 3, ms);
    at (now_ + (at_once ? 0.02 : ms / 1000.0), [this, route, burst, at_once] {
      arrive (route, false, burst, at_once);
    });
  }

  Load load_;
  Policy policy_;
  std::mt19937_64 random_;
  std::vector<std::array<double, paths> > own_, snapshot_;
  std::vector<mq_urgency_reserve> reserves_;
  std::vector<double> requests_;
  double capacity_ = 0, now_ = 0;
  std::priority_queue<Event> events_;
  std::vector<std::shared_ptr<Stream> > streams_;
  std::deque<double> retries_;
  Result result_;
};

} // namespace urgency_sim

#endif
