/* Simulated engines of mixed accelerators that hold layers, for tests of layer
   plans and paths.  */

#ifndef MQ_TESTS_CHAIN_SIM_H
#define MQ_TESTS_CHAIN_SIM_H

#include <mq/layer_path.h>
#include <mq/layer_plan.h>
#include <mq/routing.h>
#include <mq/upstream.h>

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace chain
{

constexpr unsigned layers = 80;

/* Sets of cards.  */
enum class Cards
{
  first, /* h100, a100s, l4, t4: a chain needs most of them.  */
  mixed  /* a100, l40s, l4: the fast ones alone suffice for a chain.  */
};

/* A routing with one layered service called "model" and one plain service
   called "plain".  */
class Service
{
public:
  explicit Service (Cards cards = Cards::first) : routing (mq_routing_new (1))
  {
    mq_route_service model = {};
    mq_route_service plain = {};

    model.name = mq_str_new (MQ_SPAN ("model"));
    model.model.layers = layers;
    model.model.layer_mb = 1750;
    model.model.kv_mb_per_token = 0.59;
    model.model.step_ms = 0.85;
    model.model.request_step_ms = 0.00382;
    model.model.context_step_ms = 0.00512;
    model.model.prefill_tokens_per_ms = 196;
    model.model.load_s = 14;
    model.model.max_concurrent_loads = 6;
    model.model.mean_prompt_tokens = 772;
    model.model.mean_answer_tokens = 172;
    model.model.head_slots = 192;
    mq_layered_model_init (&model.model);
    switch (cards)
      {
      case Cards::first:
        add_card (model.model, "h100", 72000, 1.4, 1);
        add_card (model.model, "a100s", 36000, 3.1, 3.2);
        add_card (model.model, "t4", 14400, 15, 15);
        break;
      case Cards::mixed:
        model.model.kv_mb_per_token = 0.918;
        model.model.step_ms = 1.02;
        model.model.request_step_ms = 0.00714;
        model.model.context_step_ms = 0.00956;
        model.model.prefill_tokens_per_ms = 105;
        model.model.mean_answer_tokens = 204;
        add_card (model.model, "a100", 72000, 2.4, 3.2);
        add_card (model.model, "l40s", 43200, 5.6, 2.7);
        break;
      }
    add_card (model.model, "l4", 21600, 16, 8.2);
    plain.name = mq_str_new (MQ_SPAN ("plain"));
    g_array_append_val (routing->services, model);
    g_array_append_val (routing->services, plain);
    mq_routing_seal (routing);
  }

  Service (const Service &) = delete;
  Service &operator= (const Service &) = delete;
  ~Service () { mq_routing_unref (routing); }

  const mq_route_service *
  service () const
  {
    return mq_routing_find_service (routing, MQ_SPAN ("model"));
  }

  const mq_layered_model *
  model () const
  {
    return &service ()->model;
  }

  const mq_card *
  card_named (const std::string &name) const
  {
    return mq_layered_model_find_card (model (), mq_span_from (name.c_str ()));
  }

  mq_routing *routing;

private:
  static void
  add_card (mq_layered_model &model, const char *name, double memory_mb,
            double step_factor, double prefill_factor)
  {
    mq_card c = { mq_str_new (mq_span_from (name)), memory_mb, step_factor,
                  prefill_factor };

    g_array_append_val (model.cards, c);
  }
};

struct Engine
{
  std::string id;
  std::string domain;
  std::string card;
  unsigned first = 0;
  unsigned end = 0;
  bool fixed = false;
  bool awaited = false;
  bool used = false;
};

/* Engines that carry out the orders of a layer plan at once.  */
class Fleet
{
public:
  explicit Fleet (const Service &service) : service_ (service)
  {
    mq_layer_plan_init (&plan_);
  }

  Fleet (const Fleet &) = delete;
  Fleet &operator= (const Fleet &) = delete;
  ~Fleet () { mq_layer_plan_finish (&plan_); }

  void
  add (const std::string &domain, const std::string &card, unsigned count)
  {
    for (unsigned i = 0; i < count; i++)
      engines.push_back ({ "e" + std::to_string (++serial_), domain, card });
  }

  /* Add the engines of three failure domains.  */
  void
  add_all ()
  {
    add ("one", "a100s", 2);
    add ("one", "l4", 4);
    add ("one", "t4", 7);
    add ("two", "h100", 1);
    add ("two", "a100s", 1);
    add ("two", "l4", 5);
    add ("two", "t4", 7);
    add ("three", "a100s", 1);
    add ("three", "l4", 8);
    add ("three", "t4", 3);
  }

  /* Compute the plan once, a second after the last time, and carry out its
     orders.  Returns their number.  */
  unsigned
  plan ()
  {
    std::vector<mq_layer_holder> holders;
    GArray *orders = g_array_new (FALSE, FALSE, sizeof (mq_layer_order));
    unsigned n;

    for (Engine &e : engines)
      holders.push_back ({ mq_span_from (e.domain.c_str ()),
                           service_.card_named (e.card), e.first, e.end,
                           e.fixed, e.awaited, e.used, &e, e.awaited, false });
    now_us_ += 1000 * 1000;
    mq_layer_plan_compute (&plan_, service_.model (), holders.data (),
                           holders.size (), now_us_, orders);
    n = orders->len;
    for (guint i = 0; i < orders->len; i++)
      {
        const mq_layer_order &o = g_array_index (orders, mq_layer_order, i);
        Engine *e = static_cast<Engine *> (o.holder->user);

        e->first = o.first;
        e->end = o.end;
      }
    g_array_unref (orders);
    return n;
  }

  /* Plan until two rounds in a row have no order, as a plan waits after
     engines joined or left.  Returns the number of rounds with orders.  */
  unsigned
  settle ()
  {
    unsigned rounds = 0;

    for (unsigned idle_rounds = 0; rounds < 50 && idle_rounds < 2;)
      if (plan () > 0)
        {
          rounds++;
          idle_rounds = 0;
        }
      else
        idle_rounds++;
    return rounds;
  }

  /* The engines that all rounds so far looked at.  */
  uint64_t
  visits () const
  {
    return plan_.visits;
  }

  /* The token capacity of the best path of DOMAIN without the engine EXCLUDED;
     0 when there is no path.  */
  double
  tokens (const std::string &domain, const Engine *excluded = nullptr) const
  {
    mq_registry r;
    mq_layer_path p;
    double n = 0;

    mq_registry_init (&r);
    for (const Engine &e : engines)
      if (&e != excluded)
        put (r, e);
    if (mq_layer_path_find (&p, &r, service_.service (),
                            mq_span_from (domain.c_str ()), 1, nullptr))
      n = p.tokens;
    mq_layer_path_finish (&p);
    mq_registry_finish (&r);
    return n;
  }

  /* The token capacities of all paths of DOMAIN.  */
  std::vector<double>
  all_tokens (const std::string &domain) const
  {
    mq_registry r;
    mq_layer_path paths[8];
    std::vector<double> tokens;
    size_t n;

    mq_registry_init (&r);
    for (const Engine &e : engines)
      put (r, e);
    n = mq_layer_path_find_all (
        paths,
        mq_layer_path_target_count (&r, service_.service (),
                                    mq_span_from (domain.c_str ())),
        &r, service_.service (), mq_span_from (domain.c_str ()), 1);
    for (size_t i = 0; i < n; i++)
      {
        tokens.push_back (paths[i].tokens);
        mq_layer_path_finish (&paths[i]);
      }
    mq_registry_finish (&r);
    return tokens;
  }

  static void
  put (mq_registry &registry, const Engine &engine, uint64_t now_us = 0)
  {
    mq_upstream_facts f = {};

    f.id = mq_str_new (mq_span_from (engine.id.c_str ()));
    f.service = mq_str_new (MQ_SPAN ("model"));
    f.address = mq_str_printf ("%s:1", engine.id.c_str ());
    f.domain = mq_str_new (mq_span_from (engine.domain.c_str ()));
    f.card = mq_str_new (mq_span_from (engine.card.c_str ()));
    f.layer_first = engine.first;
    f.layer_end = engine.end;
    mq_registry_put (&registry, &f, now_us);
  }

  /* The engine with CARD in DOMAIN that holds the most layers, or null.  */
  Engine *
  find (const std::string &domain, const std::string &card)
  {
    Engine *best = nullptr;

    for (Engine &e : engines)
      if (e.domain == domain && e.card == card
          && (best == nullptr || e.end - e.first > best->end - best->first))
        best = &e;
    return best;
  }

  void
  remove (Engine *engine)
  {
    for (auto i = engines.begin (); i != engines.end (); ++i)
      if (&*i == engine)
        {
          engines.erase (i);
          return;
        }
  }

  /* Returns true if the layers of every engine fit in its memory.  */
  bool
  fits () const
  {
    for (const Engine &e : engines)
      if ((e.end - e.first) * service_.model ()->layer_mb
          > service_.card_named (e.card)->memory_mb)
        return false;
    return true;
  }

  std::deque<Engine> engines;

private:
  const Service &service_;
  mq_layer_plan plan_;
  uint64_t now_us_ = 0;
  unsigned serial_ = 0;
};

} // namespace chain

#endif
