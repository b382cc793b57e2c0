/* Several limiters in virtual time, with an owner for the organisation and
   requests that arrive at a rate.  Used by the tests of the limiter.  */

#ifndef MQ_TESTS_LIMITER_SIM_H
#define MQ_TESTS_LIMITER_SIM_H

#include <cmath>
#include <map>
#include <mq/fleet.h>
#include <mq/limiter.h>
#include <set>
#include <string>
#include <vector>

namespace limiter_sim
{

constexpr uint64_t MS = 1000;
constexpr uint64_t S = 1000 * MS;

/* The requests at one entry.  */
struct Load
{
  double requests_per_s = 0;
  uint64_t duration_us = 100 * MS; /* How long a request runs.  */
  uint32_t tokens = 0;
};

class Sim
{
public:
  uint64_t now = 1000 * S;
  uint64_t delay = 1 * MS;
  uint32_t known;
  std::vector<mq_limiter *> limiters;
  std::vector<bool> running;
  std::vector<Load> loads;
  /* The owner as seen by each node.  */
  std::vector<int> owner;
  std::vector<uint64_t> owner_since;
  bool owner_replies = true;
  std::vector<uint64_t> allowed_at;
  std::vector<uint64_t> tokens_allowed;
  std::vector<uint64_t> allowed;
  std::vector<uint64_t> refused;
  uint64_t in_flight = 0;
  uint64_t max_in_flight = 0;
  uint64_t messages = 0;

  Sim (int n, mq_limits limits) : known (n)
  {
    mq_organisation o = {};

    config_ = mq_config_new (1);
    o.name = mq_str_new (MQ_SPAN ("club"));
    o.limits = limits;
    g_array_append_val (config_->organisations, o);
    for (int i = 0; i < n; i++)
      {
        limiters.push_back (mq_limiter_new ());
        running.push_back (true);
        loads.push_back ({});
        owner.push_back (0);
        owner_since.push_back (0);
        next_.push_back (now);
        allowed.push_back (0);
        refused.push_back (0);
        configure (i);
        members (i, n);
      }
  }

  ~Sim ()
  {
    for (mq_limiter *l : limiters)
      mq_limiter_free (l);
    mq_config_unref (config_);
  }

  void
  members (int i, uint32_t live)
  {
    mq_limiter_event e = {};

    e.kind = MQ_LIMITER_MEMBERS;
    e.u.members.live = live;
    e.u.members.known = known;
    handle (i, &e);
  }

  /* Makes TO the owner in every node's view.  */
  void
  move_owner (int to)
  {
    for (size_t i = 0; i < owner.size (); i++)
      owner[i] = to;
    owner_since[to] = now;
  }

  void
  run (uint64_t duration)
  {
    uint64_t end = now + duration;

    while (true)
      {
        uint64_t next = end + 1;
        int who = -1;
        bool arrival = false;

        if (!bus_.empty ())
          next = bus_.begin ()->first;
        for (size_t i = 0; i < limiters.size (); i++)
          {
            uint64_t tick;

            if (!running[i])
              continue;
            tick = std::max (mq_limiter_next_tick (limiters[i]), now);
            if (tick < next)
              next = tick, who = (int)i, arrival = false;
            if (loads[i].requests_per_s > 0 && next_[i] < next)
              next = next_[i], who = (int)i, arrival = true;
          }
        if (next > end)
          break;
        now = std::max (next, now);
        if (who < 0)
          deliver ();
        else if (arrival)
          arrive (who);
        else
          {
            mq_limiter_event e = {};

            e.kind = MQ_LIMITER_TICK;
            handle (who, &e);
          }
      }
    now = end;
  }

  /* Returns the most requests allowed within any WINDOW.  */
  uint64_t
  max_allowed_within (uint64_t window)
  {
    uint64_t max_count = 0;
    size_t first = 0;

    for (size_t i = 0; i < allowed_at.size (); i++)
      {
        while (allowed_at[i] - allowed_at[first] >= window)
          first++;
        max_count = std::max<uint64_t> (max_count, i - first + 1);
      }
    return max_count;
  }

  uint64_t
  allowed_since (uint64_t since)
  {
    uint64_t n = 0;

    for (uint64_t at : allowed_at)
      n += at >= since;
    return n;
  }

private:
  enum Kind
  {
    REQUEST,
    GRANT,
    END
  };
  struct Message
  {
    Kind kind;
    int from;
    int to;
    mq_limit_request request;
    mq_limit_grant grant;
  };
  std::multimap<uint64_t, Message> bus_;
  std::vector<uint64_t> next_;
  std::map<uint64_t, int> waiting_; /* Handle to entry.  */
  uint64_t handle_ = 0;
  uint64_t random_ = 1;
  mq_config *config_;

  void
  configure (int i)
  {
    mq_limiter_event e = {};

    e.kind = MQ_LIMITER_CONFIG;
    e.u.config = config_;
    handle (i, &e);
  }

  /* Returns exponentially distributed gaps from a fixed seed.  */
  uint64_t
  gap (double rate)
  {
    random_ = mq_hash_mix (random_, 99);
    double u = ((double)(random_ >> 11) + 0.5) / 9007199254740992.0;

    return (uint64_t)(-std::log (u) * 1e6 / rate);
  }

  void
  arrive (int i)
  {
    mq_limiter_event e = {};

    next_[i] = std::max (next_[i], now) + gap (loads[i].requests_per_s);
    e.kind = MQ_LIMITER_ACQUIRE;
    e.u.acquire.handle = ++handle_;
    e.u.acquire.organisation = MQ_SPAN ("club");
    e.u.acquire.tokens = loads[i].tokens;
    waiting_[handle_] = i;
    handle (i, &e);
  }

  void
  deliver ()
  {
    Message m = bus_.begin ()->second;
    mq_limiter_event e = {};

    bus_.erase (bus_.begin ());
    if (m.kind == END)
      in_flight--;
    if (!running[m.to])
      return;
    switch (m.kind)
      {
      case REQUEST:
        e.kind = MQ_LIMITER_SHARE_REQUEST;
        e.u.share_request.holder = (uint64_t)m.from + 1;
        e.u.share_request.owner_since_us = owner_since[m.to];
        e.u.share_request.request = m.request;
        if (!owner_replies)
          return;
        break;
      case GRANT:
        e.kind = MQ_LIMITER_SHARE_GRANT;
        e.u.share_grant = m.grant;
        break;
      case END:
        e.kind = MQ_LIMITER_RELEASE;
        e.u.release.organisation = MQ_SPAN ("club");
        e.u.release.tokens_reserved = loads[m.to].tokens;
        e.u.release.tokens_used = loads[m.to].tokens;
        break;
      }
    handle (m.to, &e);
  }

  void
  on_answer (int i, const mq_limiter_action *a)
  {
    int entry = waiting_.at (a->u.answer.handle);

    waiting_.erase (a->u.answer.handle);
    if (a->kind == MQ_LIMITER_REFUSE)
      {
        refused[entry]++;
        return;
      }
    allowed[entry]++;
    allowed_at.push_back (now);
    in_flight++;
    max_in_flight = std::max (max_in_flight, in_flight);
    bus_.emplace (now + loads[i].duration_us, Message{ END, i, i, {}, {} });
  }

  void
  handle (int i, mq_limiter_event *e)
  {
    GArray *actions = g_array_new (FALSE, FALSE, sizeof (mq_limiter_action));

    e->now_us = now;
    mq_limiter_handle (limiters[i], e, actions);
    for (guint k = 0; k < actions->len; k++)
      {
        mq_limiter_action *a = &g_array_index (actions, mq_limiter_action, k);

        switch (a->kind)
          {
          case MQ_LIMITER_ALLOW:
          case MQ_LIMITER_REFUSE:
            on_answer (i, a);
            break;
          case MQ_LIMITER_SEND_REQUEST:
            messages += owner[i] != i;
            bus_.emplace (now + (owner[i] == i ? 0 : delay),
                          Message{ REQUEST, i, owner[i], a->u.request, {} });
            break;
          case MQ_LIMITER_SEND_GRANT:
            {
              int to = (int)a->u.grant.holder - 1;

              messages += to != i;
              bus_.emplace (now + (to == i ? 0 : delay),
                            Message{ GRANT, i, to, {}, a->u.grant.grant });
              break;
            }
          }
      }
    g_array_unref (actions);
  }
};

} // namespace limiter_sim

#endif
