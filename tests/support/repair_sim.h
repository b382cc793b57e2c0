/* Engines of failure domains that carry out orders as real engines do,
   simulated in virtual time.

   An engine accepts one order at a time.  Layers that it releases get no new
   requests at once; before it loads others, it waits until the requests that
   pass through them ended.  A load takes time in proportion to the number of
   layers, and longer when more engines load at once than the weight store
   serves.  Before `traffic_us` it takes a tenth, and no request is sent; after
   it, requests are sent along the best path of each domain at any time, and
   last `request_duration_us`.  */

#ifndef MQ_TESTS_REPAIR_SIM_H
#define MQ_TESTS_REPAIR_SIM_H

#include "chain_sim.h"

#include <mq/layer_order.h>
#include <mq/load_queue.h>

#include <algorithm>
#include <functional>
#include <stdexcept>

namespace repair
{

constexpr uint64_t s = 1000 * 1000;
constexpr uint64_t tick = s / 10;
constexpr uint64_t request_duration_us = 6 * s;

struct Engine
{
  std::string id, card, domain;
  unsigned first = 0, end = 0;
  unsigned target_first = 0, target_end = 0;
  unsigned layers_to_load = 0;
  uint64_t orders = 0;
  uint64_t last_used_us = 0;   /* Last request sent through it.  */
  uint64_t waits_until_us = 0; /* End of the requests that pass through it.  */
  double load_left = 0; /* Seconds of load left, when it loads alone.  */
  bool busy = false;
  bool draining = false;
  bool silent = false; /* Neither carries out an order nor reports.  */
};

class Domain
{
public:
  explicit Domain (unsigned max_concurrent_loads = 6)
  {
    g_array_index (service_.routing->services, mq_route_service, 0)
        .model.max_concurrent_loads
        = max_concurrent_loads;
    mq_registry_init (&registry_);
    mq_layer_plan_init (&plan_);
    mq_load_queue_init (&loads_);
  }
  Domain (const Domain &) = delete;
  Domain &operator= (const Domain &) = delete;
  ~Domain ()
  {
    mq_load_queue_finish (&loads_);
    mq_layer_plan_finish (&plan_);
    mq_registry_finish (&registry_);
  }

  Engine &
  add (const std::string &card, const std::string &domain = "one")
  {
    engines.push_back ({ "e" + std::to_string (++serial_), card, domain });
    first_chain_us.emplace (domain, 0);
    publish (engines.back ());
    return engines.back ();
  }

  void
  add (const std::string &card, unsigned count)
  {
    while (count-- > 0)
      add (card);
  }

  /* Have ENGINE accept no new work from now on and leave after 4 s.  */
  void
  drain (Engine &engine)
  {
    std::string id = engine.id;

    engine.draining = true;
    publish (engine);
    schedule (now + 4 * s, [this, id] { leave (id); });
  }

  /* Have ENGINE crash.  */
  void
  crash (Engine &engine)
  {
    leave (engine.id);
  }

  /* Replace ENGINE as a planned release does: it drains, and an empty engine
     with the same card joins 0.1 s later.  */
  void
  replace (Engine &engine)
  {
    std::string card = engine.card;

    drain (engine);
    schedule (now + tick, [this, card] { add (card); });
  }

  /* Another router becomes the leader.  It knows what the engines publish and
     report.  */
  void
  change_leader ()
  {
    mq_load_queue_finish (&loads_);
    mq_layer_plan_finish (&plan_);
    mq_layer_plan_init (&plan_);
    mq_load_queue_init (&loads_);
    for (Engine &e : engines)
      {
        mq_upstream *u = upstream (e);

        u->ordered_us = u->no_order_until_us = u->orders = 0;
        u->last_used_us = 0;
        mq_layer_order_mark_unknown (u, now);
      }
  }

  /* The first engine that holds LAYER and does not drain, or the first that
     does not drain when there is none.  */
  Engine &
  holder (unsigned layer)
  {
    Engine *any = nullptr;

    for (Engine &e : engines)
      {
        if (e.draining)
          continue;
        if (e.first <= layer && layer < e.end)
          return e;
        any = any ? any : &e;
      }
    return *any;
  }

  /* The engine that was added as the Nth, counted from 1.  Throws when it
   * left.  */
  Engine &
  number (unsigned n)
  {
    for (Engine &e : engines)
      if (e.id == "e" + std::to_string (n))
        return e;
    throw std::out_of_range ("no such engine");
  }

  /* Call FUNCTION at TIME.  */
  void
  schedule (uint64_t time, std::function<void ()> function)
  {
    script_.emplace_back (time, std::move (function));
  }

  void
  run (uint64_t span)
  {
    for (uint64_t end = now + span; now < end; now += tick)
      step ();
  }

  /* Assign the first layers to all engines before requests are sent, and reset
     the counts.  */
  void
  settle ()
  {
    traffic_us = now + 6 * s;
    run (12 * s);
    chainless_us = 0;
    tokens_sum = 0;
    ticks = 0;
    orders = 0;
  }

  double
  mean_tokens () const
  {
    return tokens_sum / ticks;
  }

  std::deque<Engine> engines;
  uint64_t now = s;
  uint64_t chainless_us = 0; /* Time without a whole chain.  */
  double tokens_sum = 0;     /* Over all ticks.  */
  unsigned ticks = 0;
  unsigned orders = 0;
  unsigned peak_open = 0; /* Orders that engines carried out at a time.  */
  uint64_t traffic_us = 0;
  bool queued = true; /* Loads are selected; otherwise sent as planned.  */
  bool shared_before_traffic = true; /* The store's rate is limited then.  */
  /* When each domain first had a whole chain; 0: not yet.  */
  std::map<std::string, uint64_t> first_chain_us;

private:
  void
  publish (const Engine &e)
  {
    mq_upstream_facts f = {};

    f.id = mq_str_new (mq_span_from (e.id.c_str ()));
    f.service = mq_str_new (MQ_SPAN ("model"));
    f.address = mq_str_printf ("%s:1", e.id.c_str ());
    f.domain = mq_str_new (mq_span_from (e.domain.c_str ()));
    f.card = mq_str_new (mq_span_from (e.card.c_str ()));
    f.layer_first = e.first;
    f.layer_end = e.end;
    f.draining = e.draining;
    mq_registry_put (&registry_, &f, now);
  }

  void
  leave (const std::string &id)
  {
    mq_registry_remove (&registry_, mq_span_from (id.c_str ()));
    engines.erase (
        std::remove_if (engines.begin (), engines.end (),
                        [&] (const Engine &e) { return e.id == id; }),
        engines.end ());
  }

  mq_upstream *
  upstream (const Engine &e)
  {
    return mq_registry_find (&registry_, mq_span_from (e.id.c_str ()));
  }

  Engine *
  find (const mq_upstream *u)
  {
    for (Engine &e : engines)
      if (e.id == u->facts.id->data)
        return &e;
    return nullptr;
  }

  void
  step ()
  {
    auto due = std::stable_partition (
        script_.begin (), script_.end (),
        [this] (const auto &e) { return e.first > now; });
    std::vector<std::pair<uint64_t, std::function<void ()> > > due_events (
        due, script_.end ());

    script_.erase (due, script_.end ());
    for (auto &e : due_events)
      e.second ();
    work ();
    plan ();
    serve ();
  }

  /* Advance the loads by one tick.  */
  void
  work ()
  {
    double loading = 0;
    bool quiet = now < traffic_us;
    double rate = quiet ? 10 : 1;

    for (Engine &e : engines)
      loading += e.busy && !e.silent && now >= e.waits_until_us;
    peak_open = std::max (peak_open, (unsigned)loading);
    if (!quiet || shared_before_traffic)
      rate
          /= std::max (1.0, loading / service_.model ()->max_concurrent_loads);
    for (Engine &e : engines)
      {
        if (!e.busy || e.silent || now < e.waits_until_us)
          continue;
        e.load_left -= (double)tick / s * rate;
        if (e.load_left > 0)
          continue;
        e.busy = false;
        e.first = e.target_first;
        e.end = e.target_end;
        publish (e);
      }
  }

  bool
  order (Engine &e, unsigned first, unsigned end)
  {
    unsigned kept_first = std::max (e.first, first);
    unsigned kept_end = std::min (e.end, end);
    bool releases;

    if (kept_end < kept_first)
      kept_first = kept_end = 0;
    releases = kept_end - kept_first < e.end - e.first;
    if (e.busy)
      return false;
    if (e.silent)
      return true;
    e.busy = true;
    e.orders++;
    e.target_first = first;
    e.target_end = end;
    e.load_left = service_.model ()->load_s
                  * ((end - first) - (kept_end - kept_first)) / chain::layers;
    e.waits_until_us = releases && e.last_used_us > 0
                           ? e.last_used_us + request_duration_us
                           : now;
    e.first = kept_first;
    e.end = kept_end;
    publish (e);
    return true;
  }

  void
  plan ()
  {
    std::vector<mq_layer_holder> holders;
    GArray *list = g_array_new (FALSE, FALSE, sizeof (mq_layer_order));
    uint64_t delay = queued ? mq_load_queue_delay_us (&loads_, now) : 0;
    bool any_held = false;

    for (Engine &e : engines)
      {
        mq_upstream *u = upstream (e);
        bool ask = false;

        if (!mq_upstream_is_usable (u, now))
          continue;
        mq_layer_order_delay (u, delay);
        holders.push_back (
            mq_layer_order_view (u, service_.model (), now, &ask));
        any_held = any_held || holders.back ().end > holders.back ().first;
        if ((ask || u->orders_unknown) && !e.silent)
          mq_layer_order_reported (u, e.orders, e.busy, now);
      }
    if (queued)
      mq_load_queue_reserve (&loads_, holders.data (), holders.size ());
    if (may_begin (any_held))
      mq_layer_plan_compute (&plan_, service_.model (), holders.data (),
                             holders.size (), now, list);
    if (queued)
      mq_load_queue_select (&loads_, service_.model (), holders.data (),
                            holders.size (), now >= traffic_us, now, list);
    for (guint i = 0; i < list->len; i++)
      {
        const mq_layer_order &o = g_array_index (list, mq_layer_order, i);
        mq_upstream *u = static_cast<mq_upstream *> (o.holder->user);

        if (o.holder->unknown)
          continue;
        orders++;
        mq_layer_order_sent (u, o.first, o.end, now);
        mq_layer_order_answered (u,
                                 order (*find (u), o.first, o.end)
                                     ? MQ_ORDER_STARTED
                                     : MQ_ORDER_REFUSED,
                                 now);
      }
    g_array_unref (list);
  }

  /* Returns true if the first layers may be assigned: without the queue, once
     no engine has registered for 1.5 s.  */
  bool
  may_begin (bool any_held)
  {
    if (traffic_us == 0)
      return true; /* All engines are there when the test begins.  */
    if (queued)
      return mq_load_queue_may_begin (&loads_, any_held,
                                      registry_.last_added_us, now);
    return any_held || now - registry_.last_added_us >= 3 * s / 2;
  }

  /* Send requests along the best path of each domain.  */
  void
  serve ()
  {
    ticks++;
    for (auto &d : first_chain_us)
      if (!serve (d.first))
        chainless_us += tick;
      else if (d.second == 0)
        d.second = now;
  }

  bool
  serve (const std::string &domain)
  {
    mq_layer_path p;

    if (!mq_layer_path_find (&p, &registry_, service_.service (),
                             mq_span_from (domain.c_str ()), now, nullptr))
      return false;
    tokens_sum += p.tokens;
    for (unsigned i = 0; i < p.n && now >= traffic_us; i++)
      {
        p.stages[i].upstream->last_used_us = now;
        find (p.stages[i].upstream)->last_used_us = now;
      }
    mq_layer_path_finish (&p);
    return true;
  }

  chain::Service service_;
  mq_registry registry_;
  mq_layer_plan plan_;
  mq_load_queue loads_;
  std::vector<std::pair<uint64_t, std::function<void ()> > > script_;
  unsigned serial_ = 0;
};

} // namespace repair

#endif
