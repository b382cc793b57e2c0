/* A small world in virtual time for the properties of claims, leases and
   orders: a store with versions, a network that loses, delays and doubles,
   and actors with clocks of their own that can be paused.  */

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
constexpr uint64_t STORE_TIMEOUT = 300 * MS;
constexpr uint64_t ONE_WAY = 50 * MS; /* To the store or back.  */

inline std::string
text (const mq_str *s)
{
  return std::string (mq_str_cstr (s), mq_str_span (s).size);
}

/* What the network does to the next call of an actor.  */
enum class Fault
{
  None,
  LoseRequest,
  LoseReply, /* The write takes effect.  */
  Late,      /* It takes effect long after the caller gave up on it.  */
  Doubled,   /* It arrives again later.  */
  Sleep      /* The caller is paused once it has sent it.  */
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

/* One process: its own clock, its faults, and what waits while it sleeps. */
struct Actor
{
  Simulation &sim;
  uint64_t rate; /* Of its clock, in percent of the true one.  */
  uint64_t offset;
  bool paused = false;
  bool cut = false;  /* From the store.  */
  unsigned life = 0; /* Counts restarts: an answer to an earlier life is
                        dropped.  */
  Fault fault = Fault::None;
  uint64_t late = 0;
  std::deque<std::function<void ()> > inbox;

  Actor (Simulation &w, uint64_t r, uint64_t o) : sim (w), rate (r), offset (o)
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

  /* The true time at which the clock shows TIME, or now.  */
  uint64_t
  true_time (uint64_t time) const
  {
    if (time <= clock ())
      return sim.now;
    return (time - offset) * 100 / rate + 1;
  }

  /* Hand an answer to the life that asked, once it is awake.  */
  void
  deliver (unsigned asker, std::function<void ()> run)
  {
    if (asker != life)
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
  take_fault ()
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
  bool down = false;
  unsigned writes = 0;

  explicit Store (Simulation &w) : sim (w) {}

  Reply
  apply (const Request &r)
  {
    auto it = objects.find (r.name);
    bool there = it != objects.end ();

    if (r.kind == Request::Read)
      {
        if (!there)
          return { MQ_STORE_ABSENT, 0, "" };
        return { MQ_STORE_OK, it->second.version, it->second.value };
      }
    writes++;
    if (!there && r.kind != Request::Create)
      return { MQ_STORE_ABSENT, 0, "" };
    if (there
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
    auto answered = std::make_shared<bool> (false);
    unsigned life = from.life;
    auto answer = [&from, life, answered, done] (Reply reply) {
      if (!*answered)
        from.deliver (life, [done, reply] { done (reply); });
      *answered = true;
    };
    auto arrive = [this, r, answer, &from] (bool reply) {
      if (down || from.cut)
        return;
      Reply a = apply (r);
      if (reply)
        sim.after (ONE_WAY, [a, answer] { answer (a); });
    };
    Fault f = from.take_fault ();

    if (f == Fault::Sleep)
      from.paused = true;

    sim.after (STORE_TIMEOUT, [answer] {
      answer ({ MQ_STORE_UNKNOWN, 0, "" });
    });
    if (f == Fault::Late)
      sim.after (STORE_TIMEOUT + from.late, [arrive] { arrive (true); });
    else if (f != Fault::LoseRequest)
      sim.after (ONE_WAY, [arrive, f] { arrive (f != Fault::LoseReply); });
    if (f == Fault::Doubled)
      sim.after (ONE_WAY + from.late, [arrive] { arrive (true); });
  }
};

/* Run the world until TIME; each thing that happens is checked.  */
inline void
run_until (Simulation &sim, const std::vector<Actor *> &actors, uint64_t time)
{
  unsigned same = 0;

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
      same = next == sim.now ? same + 1 : 0;
      if (same > 10000)
        throw std::runtime_error ("time stands still");
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
