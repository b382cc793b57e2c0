/* The fleet: which routers there are, who owns what, and whom callers are
   sent to.

   Pure: it takes typed events with the time passed in and returns typed
   actions; no I/O, clock, global or random source inside.

   A router starts from the platform's list of VMs, which lags, and then
   trusts what it hears directly.  Each router sends heartbeats; a heartbeat
   promises when the next one comes, so that the receiver needs to know
   nothing of the sender's pace to judge its silence.  A few members of the
   region, the watchers of the sender, get heartbeats often; all others get
   them seldom.  A watcher that misses heartbeats tells the region, so the
   time to notice a death does not grow with the region while the bytes a
   second stay within a budget.

   Invariants:
   - a member that is leaving, suspect, dead or not heard from directly, or
     that has no configuration yet, is never listed for callers and owns
     nothing;
   - leaving is never taken back within one incarnation;
   - incarnations at one VM only grow; a message of an older one is dropped;
   - a router that did not run for a while (its own loop's gap, by the
     monotonic clock) decides nothing as an owner and lists itself to nobody
     until it has heard from its peers again or has waited for them;
   - two routers of a region that see the same live members name the same
     owners.  */

#ifndef MQ_FLEET_H
#define MQ_FLEET_H

#include <glib.h>
#include <mq/str.h>

G_BEGIN_DECLS

typedef enum mq_member_state
{
  MQ_MEMBER_LISTED, /* Known by name; no heartbeat of its own came yet.  */
  MQ_MEMBER_LIVE,
  MQ_MEMBER_SUSPECT, /* Some heartbeats are missing: no new work.  */
  MQ_MEMBER_DEAD     /* Too many are missing.  */
} mq_member_state;

/* "listed", "live", "suspect" or "dead".  */
const char *mq_member_state_name (mq_member_state state);

/* What one router knows of another.  Owned by the fleet.  */
typedef struct mq_member
{
  mq_str *vm;            /* Name; unique.  */
  mq_str *peer_address;  /* IP:PORT for peers.  */
  mq_str *entry_address; /* URL for callers; NULL until heard from.  */
  mq_str *failure_domain;
  mq_str *region;
  uint64_t incarnation; /* 0: not known.  */
  uint64_t sequence;    /* Of the last heartbeat.  */
  mq_member_state state;
  bool leaving;
  bool listed;           /* In the platform's last list.  */
  bool has_introduction; /* It has our introduction.  */
  uint32_t load;         /* Thousandths of what it can carry.  */
  uint64_t received_us;  /* When the last heartbeat came.  */
  uint64_t interval_us;  /* Until the next one, as promised; 0: none is.  */
  uint64_t generation;
  uint64_t next_send_us; /* When we owe it a heartbeat.  */
  uint64_t synced_us;    /* When we last sent it all we know.  */
  bool was_eligible;     /* Live, not leaving, configured, of our region.  */
  uint64_t changed_us;   /* When that last changed.  */
} mq_member;

/* Who we are.  */
typedef struct mq_fleet_options
{
  mq_span vm;
  mq_span peer_address;
  mq_span entry_address;
  mq_span failure_domain;
  mq_span region;
  uint64_t incarnation;     /* See mq_fleet_incarnation.  */
  uint32_t heartbeat_bytes; /* One on the wire with its acknowledgement; 0:
                               MQ_HEARTBEAT_WIRE_BYTES.  */
  uint64_t interval_us;     /* Between heartbeats to watchers; 0: worked out
                               from the byte budget.  */
} mq_fleet_options;

/* One heartbeat.  The texts are the introduction; they are empty once the
   receiver knows the sender's incarnation.  */
typedef struct mq_heartbeat
{
  mq_span vm;
  mq_span peer_address;
  mq_span entry_address;
  mq_span failure_domain;
  mq_span region;
  uint64_t incarnation;
  uint64_t sequence;
  uint64_t generation; /* Of the configuration in force.  */
  uint64_t interval_us;
  uint64_t members_hash;          /* Of what the sender holds for live.  */
  uint64_t receiver_incarnation;  /* 0: not introduced to the sender.  */
  uint64_t receiver_sequence;     /* The last the sender heard from it.  */
  mq_member_state receiver_state; /* As the sender sees it.  */
  uint32_t load;
  bool leaving;
} mq_heartbeat;

/* What one router tells another of a third.  */
typedef struct mq_member_update
{
  mq_span vm;
  mq_span peer_address;
  uint64_t incarnation;
  uint64_t sequence; /* The last that the teller heard.  */
  mq_member_state state;
  bool leaving;
} mq_member_update;

/* One line of the platform's list.  */
typedef struct mq_listed_vm
{
  mq_span vm;
  mq_span peer_address;
  bool leaving;
} mq_listed_vm;

typedef enum mq_fleet_event_kind
{
  MQ_FLEET_LIST,           /* The platform's list, whole.  */
  MQ_FLEET_HEARTBEAT,      /* From a peer.  */
  MQ_FLEET_MEMBER_UPDATES, /* From a peer, of others.  */
  MQ_FLEET_SELF,           /* Our own load or generation.  */
  MQ_FLEET_LEAVE,          /* We have been told to leave.  */
  MQ_FLEET_TICK
} mq_fleet_event_kind;

typedef struct mq_fleet_event
{
  mq_fleet_event_kind kind;
  uint64_t now_us; /* Monotonic.  */
  union
  {
    struct
    {
      const mq_listed_vm *vms; /* Borrowed.  */
      size_t n;
    } list;
    mq_heartbeat heartbeat; /* Spans are borrowed.  */
    struct
    {
      uint64_t sender; /* Incarnation.  */
      const mq_member_update *items;
      size_t n;
    } news;
    struct
    {
      uint32_t load;
      uint64_t generation;
    } self;
  } u;
} mq_fleet_event;

typedef enum mq_fleet_action_kind
{
  MQ_FLEET_CONNECT,             /* To the member's peer address.  */
  MQ_FLEET_DISCONNECT,          /* From ADDRESS.  */
  MQ_FLEET_SEND_HEARTBEAT,      /* To the member.  */
  MQ_FLEET_SEND_MEMBER_UPDATES, /* To the member.  */
  MQ_FLEET_MEMBER_CHANGED,      /* A member's state changed; for the audit.  */
  MQ_FLEET_ROUTER_ENDED,   /* An incarnation is no more (or is held for dead):
                             what it had in flight is over.  */
  MQ_FLEET_OWNERS_CHANGED, /* Ask again who owns what.  */
  MQ_FLEET_PAUSED,   /* We did not run for a while: forget what was counted as
                        an owner and decide nothing until REJOINED.  */
  MQ_FLEET_REJOINED, /* We take part again.  */
  MQ_FLEET_LEAVE_REQUESTED /* The platform's list says that we leave.  */
} mq_fleet_action_kind;

/* Texts and members are borrowed from the fleet until its next event.  */
typedef struct mq_fleet_action
{
  mq_fleet_action_kind kind;
  const mq_member *member; /* CONNECT, SEND_HEARTBEAT, SEND_NEWS, CHANGED.  */
  union
  {
    mq_heartbeat heartbeat;
    struct
    {
      const mq_member *about; /* NULL: all whom the fleet knows.  */
      bool self;              /* About ourselves: we are leaving.  */
    } news;
    struct
    {
      mq_member_state from;
      mq_member_state to;
      const char *why; /* Static text.  */
    } changed;
    uint64_t router; /* ROUTER_GONE.  */
    uint64_t gap_us; /* PAUSED.  */
    mq_str *address; /* DISCONNECT; owned by the action.  */
  } u;
} mq_fleet_action;

/* What a heartbeat costs on the wire, sender and receiver together counting
   it once each: message, ZeroMQ's framing, CURVE, TCP and IP headers and the
   acknowledgement.  Measured by mqbench_fleet; see docs/design/fleet.md.  */
#define MQ_HEARTBEAT_WIRE_BYTES 180

/* Members that get heartbeats often.  */
#define MQ_FLEET_MAX_WATCHERS 6

/* Heartbeats missing until a member is suspect, and until it is dead.  */
#define MQ_FLEET_SUSPECT_MISSES 3
#define MQ_FLEET_DEAD_MISSES 5

/* How often heartbeats go out.  */
typedef struct mq_heartbeat_intervals
{
  uint64_t watcher_us;      /* To the watchers.  */
  uint64_t other_us;        /* To the rest of the region.  */
  uint64_t region_relay_us; /* From region to region, between gateways.  */
} mq_heartbeat_intervals;

/* The pace that keeps a router within its byte budget, in a region of
   MEMBERS (with itself) among REGIONS.  */
mq_heartbeat_intervals mq_heartbeat_intervals_for (uint32_t members,
                                                   uint32_t regions,
                                                   uint32_t heartbeat_bytes);

/* An incarnation from the time since the epoch and 64 random bits: later
   starts have higher numbers.  Never 0.  */
uint64_t mq_fleet_incarnation (uint64_t epoch_ms, uint64_t random);

typedef struct mq_fleet mq_fleet;

mq_fleet *mq_fleet_new (const mq_fleet_options *options);
void mq_fleet_free (mq_fleet *fleet);

/* An empty list whose elements are cleared when they are removed.  */
GArray *mq_fleet_actions_new (void);

/* Take EVENT and append the actions it calls for to ACTIONS.  */
void mq_fleet_handle (mq_fleet *fleet, const mq_fleet_event *event,
                      GArray *actions);

/* When the next TICK is due.  */
uint64_t mq_fleet_next_tick (const mq_fleet *fleet);

/* What is known of others, sorted by name, without ourselves.  Borrowed until
   the next event.  */
size_t mq_fleet_size (const mq_fleet *fleet);
const mq_member *mq_fleet_member (const mq_fleet *fleet, size_t index);
const mq_member *mq_fleet_find (const mq_fleet *fleet, mq_span vm);
const mq_member *mq_fleet_find_incarnation (const mq_fleet *fleet,
                                            uint64_t incarnation);

/* Ourselves, as the others should see us.  */
const mq_member *mq_fleet_self (const mq_fleet *fleet);

/* May we decide as an owner?  False while rejoining.  */
bool mq_fleet_may_own (const mq_fleet *fleet);

/* Are we one of the few of our region that speak to other regions and read
   the platform for all?  */
bool mq_fleet_is_region_relay (const mq_fleet *fleet);

/* Members of our region that take work, ourselves among them, and all that
   may exist: listed or heard from lately.  Their ratio is the part of a limit
   that this side of a partition may hand out.  */
uint32_t mq_fleet_live_count (const mq_fleet *fleet);
uint32_t mq_fleet_known_count (const mq_fleet *fleet);

/* Messages that were dropped: of an older incarnation, doubled, or from
   somebody who has not introduced himself.  */
uint64_t mq_fleet_dropped (const mq_fleet *fleet);

/* ---- Ownership.  */

typedef enum mq_owned_kind
{
  MQ_OWNED_MODEL,       /* The planner of a model's pipelines.  */
  MQ_OWNED_ORGANISATION /* The limiter of an organisation.  */
} mq_owned_kind;

/* The rank of the member named VM for a thing; the highest owns it.  */
uint64_t mq_owner_rank (mq_owned_kind kind, mq_span name, mq_span vm);

/* Who owns it in our region.  Never NULL: with nobody else, ourselves.  */
const mq_member *mq_fleet_owner (const mq_fleet *fleet, mq_owned_kind kind,
                                 mq_span name);

/* Since when we own a thing that we own: what its former owner handed out may
   still be in use.  0: since before anything can be in use.  */
uint64_t mq_fleet_owner_since (const mq_fleet *fleet, mq_owned_kind kind,
                               mq_span name);

/* The owners of what this router uses, so that a change is noticed and what
   is in flight can be registered with the new owner.  */
typedef struct mq_ownership mq_ownership;

typedef struct mq_owner_change
{
  mq_owned_kind kind;
  mq_span name;  /* Borrowed from the ownership.  */
  uint64_t from; /* Incarnations.  */
  uint64_t to;
} mq_owner_change;

mq_ownership *mq_ownership_new (void);
void mq_ownership_free (mq_ownership *ownership);

/* Note the use of a thing; returns its owner's incarnation.  */
uint64_t mq_ownership_add (mq_ownership *ownership, const mq_fleet *fleet,
                           mq_owned_kind kind, mq_span name);

/* Nothing of it is used any more.  */
void mq_ownership_remove (mq_ownership *ownership, mq_owned_kind kind,
                          mq_span name);

/* After MQ_FLEET_OWNERS_CHANGED: append each change to CHANGES, a GArray of
   mq_owner_change, in the order of the names.  */
void mq_ownership_refresh (mq_ownership *ownership, const mq_fleet *fleet,
                           GArray *changes);

/* ---- The ask: which entries a caller should use.  */

#define MQ_DISCOVERY_MAX_ENTRIES 8

typedef struct mq_discovery
{
  mq_span organisation;
  double organisation_share; /* Its weight among all, 0 to 1.  */
  mq_span failure_domain;    /* The caller's, where it says so.  */
  uint64_t caller; /* A hash of who asks; others get another order.  */
  uint32_t ttl_ms; /* Of the policy.  */
} mq_discovery;

typedef struct mq_discovery_entry
{
  mq_str *vm; /* Borrowed from the fleet, as all below.  */
  mq_str *address;
  mq_str *failure_domain;
  uint32_t weight; /* Thousandths: how much more it can carry.  */
} mq_discovery_entry;

typedef struct mq_discovery_reply
{
  mq_discovery_entry entries[MQ_DISCOVERY_MAX_ENTRIES];
  uint32_t n;
  uint32_t ttl_ms; /* With a spread, so that callers do not come at once.  */
} mq_discovery_reply;

/* Answer ASK from what FLEET knows, best entry first.  The order is drawn by
   weighted rendezvous: each caller gets its own, each entry comes first in
   proportion to what it can still carry, and the callers of a dead entry
   scatter over all others.  */
void mq_discovery_reply_fill (mq_discovery_reply *reply, const mq_fleet *fleet,
                              const mq_discovery *request);

G_END_DECLS

#endif
