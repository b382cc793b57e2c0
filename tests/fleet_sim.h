/* Several routers' fleets in virtual time: a bus of messages with a delay, cut
   links, pauses, deaths and restarts.  Used by the tests of membership,
   ownership and discovery.  */

#ifndef MQ_TESTS_FLEET_SIM_H
#define MQ_TESTS_FLEET_SIM_H

#include <functional>
#include <map>
#include <memory>
#include <mq/fleet.h>
#include <string>
#include <vector>

namespace fleet_sim
{

constexpr uint64_t MS = 1000;
constexpr uint64_t S = 1000 * MS;

inline mq_span
span (const std::string &text)
{
  return { text.data (), text.size () };
}

inline std::string
text (mq_span s)
{
  return std::string (s.data ? s.data : "", s.size);
}

/* A message, which owns its texts.  */
struct Message
{
  int from;
  int to;
  bool is_heartbeat;
  mq_heartbeat heartbeat;
  std::vector<std::string> texts;
  std::vector<mq_member_update> updates;
  uint64_t sender;
};

struct Change
{
  uint64_t at;
  int node;
  std::string vm;
  mq_member_state to;
  bool leaving;
  std::string why;
};

struct Node
{
  std::string name;
  std::string region;
  mq_fleet *fleet = nullptr;
  uint64_t incarnation = 0;
  bool running = true;
  bool paused = false;
  bool leave_requested = false;
  std::vector<Message> inbox;  /* Buffered while paused.  */
  std::vector<uint64_t> ended; /* From ROUTER_ENDED.  */
  int pauses = 0;
  int rejoins = 0;
  uint64_t sent = 0;
};

class Sim
{
public:
  uint64_t now = 1000 * S;
  uint64_t delay = 1 * MS;
  uint64_t generation = 1; /* With which a router starts.  */
  std::vector<Node> nodes;
  std::vector<Change> changes;
  /* Returns true if messages from the first node reach the second.  */
  std::function<bool (int, int)> link_is_up = [] (int, int) { return true; };
  /* The platform's list: name to leaving.  */
  std::map<std::string, bool> list;

  ~Sim ()
  {
    for (Node &n : nodes)
      mq_fleet_free (n.fleet);
  }

  int
  add (const std::string &region = "r1", bool listed = true)
  {
    Node n;
    char name[16];

    snprintf (name, sizeof name, "vm-%03zu", nodes.size ());
    n.name = name;
    n.region = region;
    nodes.push_back (n);
    if (listed)
      list[n.name] = false;
    start ((int)nodes.size () - 1);
    return (int)nodes.size () - 1;
  }

  /* Starts node I, or restarts it as another incarnation.  */
  void
  start (int i)
  {
    Node &n = nodes[i];
    std::string entry = "http://" + n.name;
    std::string domain = n.region + "-d" + std::to_string (i % 3);
    mq_fleet_options o = {};

    mq_fleet_free (n.fleet);
    n.incarnation = mq_fleet_incarnation (now / MS, (uint64_t)i);
    n.running = true;
    n.paused = false;
    n.inbox.clear ();
    o.vm = span (n.name);
    o.peer_address = span (n.name);
    o.entry_address = span (entry);
    o.failure_domain = span (domain);
    o.region = span (n.region);
    o.incarnation = n.incarnation;
    n.fleet = mq_fleet_new (&o);
    set_self (i, 0, generation);
  }

  void
  kill (int i)
  {
    nodes[i].running = false;
  }

  void
  pause (int i)
  {
    nodes[i].paused = true;
  }

  void
  resume (int i)
  {
    Node &n = nodes[i];
    std::vector<Message> inbox;

    n.paused = false;
    inbox.swap (n.inbox);
    for (Message &m : inbox)
      deliver (m);
  }

  /* Delivers the platform's list to node I, or to all that run.  */
  void
  deliver_list (int i)
  {
    std::vector<std::string> names;
    std::vector<mq_listed_vm> vms;
    mq_fleet_event e = {};

    for (auto &entry : list)
      names.push_back (entry.first);
    for (std::string &name : names)
      vms.push_back ({ span (name), span (name), list[name] });
    e.kind = MQ_FLEET_LIST;
    e.u.list.vms = vms.data ();
    e.u.list.n = vms.size ();
    handle (i, &e);
  }

  void
  deliver_list ()
  {
    for (size_t i = 0; i < nodes.size (); i++)
      if (nodes[i].running && !nodes[i].paused)
        deliver_list ((int)i);
  }

  void
  leave (int i)
  {
    mq_fleet_event e = {};

    e.kind = MQ_FLEET_LEAVE;
    handle (i, &e);
  }

  void
  set_self (int i, uint32_t load, uint64_t own_generation)
  {
    mq_fleet_event e = {};

    e.kind = MQ_FLEET_SELF;
    e.u.self.load = load;
    e.u.self.generation = own_generation;
    handle (i, &e);
  }

  /* Advances the time by DURATION.  */
  void
  run (uint64_t duration)
  {
    uint64_t end = now + duration;

    while (true)
      {
        uint64_t next = end + 1;
        int who = -1;

        if (!bus_.empty ())
          next = std::min (next, bus_.begin ()->first);
        for (size_t i = 0; i < nodes.size (); i++)
          {
            uint64_t t;

            if (!nodes[i].running || nodes[i].paused)
              continue;
            t = std::max (mq_fleet_next_tick (nodes[i].fleet), now);
            if (t < next)
              {
                next = t;
                who = (int)i;
              }
          }
        if (next > end)
          break;
        now = next;
        if (who >= 0)
          tick (who);
        else
          {
            Message m = bus_.begin ()->second;

            bus_.erase (bus_.begin ());
            deliver (m);
          }
      }
    now = end;
  }

  bool
  lists (int i, int other)
  {
    mq_discovery request = {};
    mq_discovery_reply reply;

    request.organisation = MQ_SPAN ("any");
    request.organisation_share = 1;
    request.ttl_ms = 5000;
    for (uint64_t caller = 0; caller < 20; caller++)
      {
        request.caller = caller;
        mq_discovery_reply_fill (&reply, nodes[i].fleet, &request);
        for (uint32_t k = 0; k < reply.n; k++)
          if (text (mq_str_span (reply.entries[k].vm)) == nodes[other].name)
            return true;
      }
    return false;
  }

  mq_member_state
  state (int i, int other)
  {
    const mq_member *m
        = mq_fleet_find (nodes[i].fleet, span (nodes[other].name));

    return m ? m->state : MQ_MEMBER_LISTED;
  }

  std::string
  owner (int i, mq_owned_kind kind, const std::string &name)
  {
    return text (
        mq_str_span (mq_fleet_owner (nodes[i].fleet, kind, span (name))->vm));
  }

private:
  std::multimap<uint64_t, Message> bus_;

  int
  index (const std::string &address)
  {
    for (size_t i = 0; i < nodes.size (); i++)
      if (nodes[i].name == address)
        return (int)i;
    return -1;
  }

  void
  tick (int i)
  {
    mq_fleet_event e = {};

    e.kind = MQ_FLEET_TICK;
    handle (i, &e);
  }

  void
  deliver (const Message &m)
  {
    Node &n = nodes[m.to];
    mq_fleet_event e = {};

    if (!n.running)
      return;
    if (n.paused)
      {
        n.inbox.push_back (m);
        return;
      }
    if (m.is_heartbeat)
      {
        e.kind = MQ_FLEET_HEARTBEAT;
        e.u.heartbeat = m.heartbeat;
        e.u.heartbeat.vm = span (m.texts[0]);
        e.u.heartbeat.peer_address = span (m.texts[1]);
        e.u.heartbeat.entry_address = span (m.texts[2]);
        e.u.heartbeat.failure_domain = span (m.texts[3]);
        e.u.heartbeat.region = span (m.texts[4]);
      }
    else
      {
        std::vector<mq_member_update> updates = m.updates;

        for (size_t i = 0; i < updates.size (); i++)
          {
            updates[i].vm = span (m.texts[2 * i]);
            updates[i].peer_address = span (m.texts[2 * i + 1]);
          }
        e.kind = MQ_FLEET_MEMBER_UPDATES;
        e.u.updates.sender = m.sender;
        e.u.updates.items = updates.data ();
        e.u.updates.n = updates.size ();
        handle (m.to, &e);
        return;
      }
    handle (m.to, &e);
  }

  static void
  add_update (Message &m, const mq_member *about)
  {
    m.texts.push_back (text (mq_str_span (about->vm)));
    m.texts.push_back (text (mq_str_span (about->peer_address)));
    m.updates.push_back ({ {},
                           {},
                           about->incarnation,
                           about->sequence,
                           about->state,
                           about->leaving });
  }

  void
  send (int i, const mq_fleet_action *a)
  {
    Node &n = nodes[i];
    Message m = {};

    m.from = i;
    m.to = index (text (mq_str_span (a->member->peer_address)));
    m.sender = n.incarnation;
    if (a->kind == MQ_FLEET_SEND_HEARTBEAT)
      {
        m.is_heartbeat = true;
        m.heartbeat = a->u.heartbeat;
        m.texts
            = { text (a->u.heartbeat.vm), text (a->u.heartbeat.peer_address),
                text (a->u.heartbeat.entry_address),
                text (a->u.heartbeat.failure_domain),
                text (a->u.heartbeat.region) };
      }
    else if (a->u.updates.self)
      add_update (m, mq_fleet_self (n.fleet));
    else if (a->u.updates.about)
      add_update (m, a->u.updates.about);
    else
      for (size_t k = 0; k < mq_fleet_size (n.fleet); k++)
        add_update (m, mq_fleet_member (n.fleet, k));
    n.sent++;
    if (m.to >= 0 && link_is_up (i, m.to))
      bus_.emplace (now + delay, m);
  }

  void
  handle (int i, mq_fleet_event *e)
  {
    GArray *actions = mq_fleet_actions_new ();

    e->now_us = now;
    mq_fleet_handle (nodes[i].fleet, e, actions);
    for (guint k = 0; k < actions->len; k++)
      {
        mq_fleet_action *a = &g_array_index (actions, mq_fleet_action, k);

        switch (a->kind)
          {
          case MQ_FLEET_SEND_HEARTBEAT:
          case MQ_FLEET_SEND_MEMBER_UPDATES:
            send (i, a);
            break;
          case MQ_FLEET_MEMBER_CHANGED:
            changes.push_back ({ now, i, text (mq_str_span (a->member->vm)),
                                 a->u.changed.to, a->member->leaving,
                                 a->u.changed.why });
            break;
          case MQ_FLEET_ROUTER_ENDED:
            nodes[i].ended.push_back (a->u.router);
            break;
          case MQ_FLEET_PAUSED:
            nodes[i].pauses++;
            break;
          case MQ_FLEET_REJOINED:
            nodes[i].rejoins++;
            break;
          case MQ_FLEET_LEAVE_REQUESTED:
            nodes[i].leave_requested = true;
            break;
          case MQ_FLEET_CONNECT:
          case MQ_FLEET_DISCONNECT:
          case MQ_FLEET_OWNERS_CHANGED:
            break;
          }
      }
    g_array_unref (actions);
  }
};

} // namespace fleet_sim

#endif
