/* A simulation in virtual time for the properties of claims, leases and
   orders: a versioned store, a network that loses, delays and duplicates
   messages, and actors that have clocks of their own and can be paused.  */

#ifndef STATE_SIM_H
#define STATE_SIM_H

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>
#include <mq/store.h>

namespace state_sim
{

constexpr uint64_t MS = 1000;
constexpr uint64_t S = 1000 * MS;
constexpr uint64_t STORE_TIMEOUT_US = 300 * MS;
/* Network delay to the store or back.  */
constexpr uint64_t ONE_WAY_US = 50 * MS;

inline std::string
text (const mq_str *s)
{
  return std::string (mq_str_cstr (s), mq_str_span (s).size);
}

/* The fault that affects the next request of an actor.  */
enum class Fault
{
  None,
  LoseRequest,
  LoseReply,  /* The request takes effect.  */
  Delayed,    /* It takes effect after the timeout.  */
  Duplicated, /* It arrives a second time later.  */
  PauseSender /* The sender is paused after sending it.  */
};

struct Simulation
{
  uint64_t now = 10 * S;
  std::multimap<uint64_t, std::function<void ()> > queue;
  std::function<void ()> check = [] {};

  void
  after (uint64_t delay, std::function<void ()> run)
  {
    queue.emplace (now + delay, std::move (run));
  }
};

/* A process with its own clock, its faults, and the replies that wait while it
   is paused.  */
struct Actor
{
  Simulation &sim;
  uint64_t rate; /* Speed of its clock, in percent of true time.  */
  uint64_t offset;
  bool paused = false;
  bool disconnected = false; /* Cannot reach the store.  */
  unsigned incarnation = 0;  /* Replies to an earlier one are dropped.  */
  Fault fault = Fault::None;
  uint64_t delay_us = 0;
  std::deque<std::function<void ()> > inbox;

  Actor (Simulation &sim, uint64_t r, uint64_t o)
      : sim (sim), rate (r), offset (o)
  {
  }
  virtual ~Actor () = default;
  virtual uint64_t next_tick () const = 0;
  virtual void tick () = 0;

  uint64_t
  clock () const
  {
    return offset + sim.now * rate / 100;
  }

  /* Returns the true time at which the clock shows TIME, or now if that has
     passed.  */
  uint64_t
  true_time (uint64_t time) const
  {
    if (time <= clock ())
      return sim.now;
    return (time - offset) * 100 / rate + 1;
  }

  /* Run RUN now, or once the actor resumes if it is paused; drop it if ASKER
     is an earlier incarnation.  */
  void
  deliver (unsigned asker, std::function<void ()> run)
  {
    if (asker != incarnation)
      return;
    if (paused)
      inbox.push_back (run);
    else
      run ();
  }

  void
  resume ()
  {
    paused = false;
    while (!inbox.empty () && !paused)
      {
        auto run = inbox.front ();

        inbox.pop_front ();
        run ();
      }
  }

  Fault
  next_fault ()
  {
    Fault f = fault;

    fault = Fault::None;
    return f;
  }
};

struct Request
{
  enum Kind
  {
    Read,
    Create,
    Update,
    Delete
  } kind;
  std::string name;
  std::string value;
  uint64_t version;
};

struct Reply
{
  mq_store_result result;
  uint64_t version;
  std::string value;
};

struct Store
{
  struct Object
  {
    uint64_t version;
    std::string value;
  };

  Simulation &sim;
  std::map<std::string, Object> objects;
  uint64_t version = 0;
  bool unavailable = false;
  unsigned writes = 0;

  explicit Store (Simulation &sim) : sim (sim) {}

  Reply
  apply (const Request &r)
  {
    auto it = objects.find (r.name);
    bool exists = it != objects.end ();

    if (r.kind == Request::Read)
      {
        if (!exists)
          return { MQ_STORE_ABSENT, 0, "" };
        return { MQ_STORE_OK, it->second.version, it->second.value };
      }
    writes++;
    if (!exists && r.kind != Request::Create)
      return { MQ_STORE_ABSENT, 0, "" };
    if (exists
        && (r.kind == Request::Create || it->second.version != r.version))
      return { MQ_STORE_CONFLICT, 0, "" };
    if (r.kind == Request::Delete)
      objects.erase (it);
    else
      objects[r.name] = { version + 1, r.value };
    return { MQ_STORE_OK, ++version, "" };
  }

  void
  call (Actor &from, const Request &r, std::function<void (Reply)> done)
  {
    auto replied = std::make_shared<bool> (false);
    unsigned incarnation = from.incarnation;
    auto reply_once = [&from, incarnation, replied, done] (Reply reply) {
      if (!*replied)
        from.deliver (incarnation, [done, reply] { done (reply); });
      *replied = true;
    };
    auto arrive = [this, r, reply_once, &from] (bool reply) {
      if (unavailable || from.disconnected)
        return;
      Reply a = apply (r);
      if (reply)
        sim.after (ONE_WAY_US, [a, reply_once] { reply_once (a); });
    };
    Fault f = from.next_fault ();

    if (f == Fault::PauseSender)
      from.paused = true;

    sim.after (STORE_TIMEOUT_US, [reply_once] {
      reply_once ({ MQ_STORE_UNKNOWN, 0, "" });
    });
    if (f == Fault::Delayed)
      sim.after (STORE_TIMEOUT_US + from.delay_us,
                 [arrive] { arrive (true); });
    else if (f != Fault::LoseRequest)
      sim.after (ONE_WAY_US, [arrive, f] { arrive (f != Fault::LoseReply); });
    if (f == Fault::Duplicated)
      sim.after (ONE_WAY_US + from.delay_us, [arrive] { arrive (true); });
  }
};

/* Run the simulation until TIME and check after each event.  */
inline void
run_until (Simulation &sim, const std::vector<Actor *> &actors, uint64_t time)
{
  unsigned ticks_at_same_time = 0;

  for (;;)
    {
      uint64_t next
          = sim.queue.empty () ? UINT64_MAX : sim.queue.begin ()->first;
      Actor *ticked = nullptr;

      for (Actor *a : actors)
        if (!a->paused && a->next_tick () != UINT64_MAX
            && a->true_time (a->next_tick ()) < next)
          {
            next = a->true_time (a->next_tick ());
            ticked = a;
          }
      if (next > time)
        break;
      ticks_at_same_time = next == sim.now ? ticks_at_same_time + 1 : 0;
      if (ticks_at_same_time > 10000)
        throw std::runtime_error (
            "virtual time does not advance: 10000 events at the same time");
      sim.now = next;
      if (ticked != nullptr)
        ticked->tick ();
      else
        {
          auto run = sim.queue.begin ()->second;

          sim.queue.erase (sim.queue.begin ());
          run ();
        }
      sim.check ();
    }
  sim.now = time;
  sim.check ();
}

} // namespace state_sim

#endif
