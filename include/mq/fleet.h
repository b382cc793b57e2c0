/* The fleet: membership of the routers, ownership of models and
   organisations, and the entries that clients are sent to.

   Pure: takes typed events with the time passed in and returns typed actions.
   It does no I/O and reads no clock, global or random source.

   A router starts from the platform's list of VMs, which lags, and then
   relies on heartbeats.  Each heartbeat states the interval until the next
   one, so the receiver can detect missed heartbeats without knowing the
   sender's settings.  A few members of the region, the watchers of the
   sender, receive heartbeats at a short interval; all others receive them at
   a long one.  A watcher that misses heartbeats notifies the region, so the
   detection time does not grow with the region while the traffic stays within
   a byte budget.

   Invariants:
   - a member that is leaving, suspect, dead, without a configuration or
     without a heartbeat received from it is never listed for clients and owns
     nothing;
   - leaving is never revoked within one incarnation;
   - incarnations at one VM only grow; a message of an older one is dropped;
   - a router whose own loop did not run for a while (judged by the monotonic
     clock) decides nothing as an owner and does not list itself until it has
     received replies from its peers or has waited for them;
   - two routers of a region that see the same live members compute the same
     owners.  */

#ifndef MQ_FLEET_H
#define MQ_FLEET_H

#include <glib.h>
#include <mq/str.h>

G_BEGIN_DECLS

typedef enum mq_member_state
{
  MQ_MEMBER_LISTED, /* In the platform's list; no heartbeat received yet.  */
  MQ_MEMBER_LIVE,
  MQ_MEMBER_SUSPECT, /* Some heartbeats were missed: no new work.  */
  MQ_MEMBER_DEAD     /* More were missed.  */
} mq_member_state;

/* Returns "listed", "live", "suspect" or "dead".  */
const char *mq_member_state_name (mq_member_state state);

/* What one router knows of another.  The fleet owns it and its strings.  */
typedef struct mq_member
{
  mq_str *vm;            /* Name; unique.  */
  mq_str *peer_address;  /* IP:PORT for peers.  */
  mq_str *entry_address; /* URL for clients; NULL until introduced.  */
  mq_str *failure_domain;
  mq_str *region;
  uint64_t incarnation; /* 0: unknown.  */
  uint64_t sequence;    /* Of the last heartbeat received.  */
  mq_member_state state;
  bool leaving;
  bool listed;           /* In the platform's latest list.  */
  bool has_introduction; /* It has received our introduction.  */
  uint32_t load;         /* Thousandths of its capacity.  */
  uint64_t received_us;  /* Time of the last heartbeat received.  */
  uint64_t interval_us;  /* Until its next heartbeat, as it announced; 0: it
                            announced none.  */
  uint64_t generation;
  uint64_t next_send_us; /* When the next heartbeat to it is due.  */
  uint64_t synced_us;    /* When views last agreed or we sent it all.  */
  bool was_eligible; /* Live, not leaving, configured and of our region, at the
                        last recompute.  */
  uint64_t changed_us; /* Last change of WAS_ELIGIBLE.  */
} mq_member;

/* The identity of this router.  Spans are copied.  */
typedef struct mq_fleet_options
{
  mq_span vm;
  mq_span peer_address;
  mq_span entry_address;
  mq_span failure_domain;
  mq_span region;
  uint64_t incarnation;     /* See mq_fleet_incarnation.  */
  uint32_t heartbeat_bytes; /* Size of one heartbeat on the wire with its
                               acknowledgement; 0: MQ_HEARTBEAT_WIRE_BYTES.  */
  uint64_t interval_us; /* Between heartbeats to watchers; 0: computed from the
                           byte budget.  */
} mq_fleet_options;

/* One heartbeat.  The spans are the introduction; they are empty once the
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
  uint64_t generation; /* Of the configuration in force; 0: none.  */
  uint64_t interval_us;
  uint64_t members_hash; /* Of the members that the sender considers live.  */
  uint64_t receiver_incarnation; /* 0: the sender needs an introduction.  */
  uint64_t receiver_sequence; /* Last one that the sender received from it.  */
  mq_member_state receiver_state; /* As seen by the sender.  */
  uint32_t load;
  bool leaving;
} mq_heartbeat;

/* What one router reports to another about a third.  */
typedef struct mq_member_update
{
  mq_span vm;
  mq_span peer_address;
  uint64_t incarnation;
  uint64_t sequence; /* Of the last heartbeat that the reporter received.  */
  mq_member_state state;
  bool leaving;
} mq_member_update;

/* One entry of the platform's list.  */
typedef struct mq_listed_vm
{
  mq_span vm;
  mq_span peer_address;
  bool leaving;
} mq_listed_vm;

typedef enum mq_fleet_event_kind
{
  MQ_FLEET_LIST,           /* The platform's complete list.  */
  MQ_FLEET_HEARTBEAT,      /* A peer's heartbeat.  */
  MQ_FLEET_MEMBER_UPDATES, /* A peer's reports about others.  */
  MQ_FLEET_SELF,           /* Our own load or generation changed.  */
  MQ_FLEET_LEAVE,          /* This router shall leave.  */
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
      uint64_t sender; /* Incarnation of the reporter.  */
      const mq_member_update *items;
      size_t n;
    } updates;
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
  MQ_FLEET_MEMBER_CHANGED,      /* A member's state or leaving changed; for the
                                   audit trail.  */
  MQ_FLEET_ROUTER_ENDED, /* An incarnation was replaced or is considered dead:
                            its requests in flight have ended.  */
  MQ_FLEET_OWNERS_CHANGED, /* Recompute owners.  */
  MQ_FLEET_PAUSED, /* This router did not run for a while: discard the state of
                      an owner and decide nothing until REJOINED.  */
  MQ_FLEET_REJOINED,       /* This router may decide as an owner again.  */
  MQ_FLEET_LEAVE_REQUESTED /* The platform's list says that we leave.  */
} mq_fleet_action_kind;

/* Texts and members are borrowed from the fleet until its next event.  */
typedef struct mq_fleet_action
{
  mq_fleet_action_kind kind;
  const mq_member *member; /* CONNECT, SEND_HEARTBEAT, SEND_MEMBER_UPDATES,
                              MEMBER_CHANGED, ROUTER_ENDED; else NULL.  */
  union
  {
    mq_heartbeat heartbeat;
    struct
    {
      const mq_member *about; /* NULL: all members that the fleet knows.  */
      bool self;              /* About this router, which is leaving.  */
    } updates;
    struct
    {
      mq_member_state from;
      mq_member_state to;
      const char *why; /* Static text.  */
    } changed;
    uint64_t router; /* ROUTER_ENDED: incarnation.  */
    uint64_t gap_us; /* PAUSED.  */
    mq_str *address; /* DISCONNECT; owned by the action.  */
  } u;
} mq_fleet_action;

/* Bytes of a heartbeat on the wire, counted once for sender and receiver each:
   message, ZeroMQ framing, CURVE, TCP and IP headers and the acknowledgement.
   mqbench_fleet measures it; see docs/design/fleet.md.  */
#define MQ_HEARTBEAT_WIRE_BYTES 180

/* Maximum of members that receive heartbeats at the short interval.  */
#define MQ_FLEET_MAX_WATCHERS 6

/* Intervals without a heartbeat after which a member is suspect or dead.  */
#define MQ_FLEET_SUSPECT_MISSES 3
#define MQ_FLEET_DEAD_MISSES 5

/* Intervals between heartbeats.  */
typedef struct mq_heartbeat_intervals
{
  uint64_t watcher_us;      /* To the watchers.  */
  uint64_t other_us;        /* To the other members of the region.  */
  uint64_t region_relay_us; /* Between the relays of two regions.  */
} mq_heartbeat_intervals;

/* Returns the intervals that keep a router within its byte budget, in a region
   of MEMBERS (itself included) among REGIONS.  */
mq_heartbeat_intervals mq_heartbeat_intervals_for (uint32_t members,
                                                   uint32_t regions,
                                                   uint32_t heartbeat_bytes);

/* Returns an incarnation made of the time since the epoch and the low bits of
   RANDOM: later starts have higher numbers.  Never 0.  */
uint64_t mq_fleet_incarnation (uint64_t epoch_ms, uint64_t random);

typedef struct mq_fleet mq_fleet;

mq_fleet *mq_fleet_new (const mq_fleet_options *options);
void mq_fleet_free (mq_fleet *fleet);

/* Returns an empty array of mq_fleet_action whose elements are cleared when
   they are removed.  */
GArray *mq_fleet_actions_new (void);

/* Handles EVENT and appends the resulting actions to ACTIONS.  */
void mq_fleet_handle (mq_fleet *fleet, const mq_fleet_event *event,
                      GArray *actions);

/* Returns the time of the next MQ_FLEET_TICK.  */
uint64_t mq_fleet_next_tick (const mq_fleet *fleet);

/* The other members, sorted by name, without this router.  Borrowed until the
   next event.  The find functions return NULL if there is no such member.  */
size_t mq_fleet_size (const mq_fleet *fleet);
const mq_member *mq_fleet_member (const mq_fleet *fleet, size_t index);
const mq_member *mq_fleet_find (const mq_fleet *fleet, mq_span vm);
const mq_member *mq_fleet_find_incarnation (const mq_fleet *fleet,
                                            uint64_t incarnation);

/* This router, as others should see it.  */
const mq_member *mq_fleet_self (const mq_fleet *fleet);

/* Returns true if this router may decide as an owner; false while it rejoins
   after a pause.  */
bool mq_fleet_may_own (const mq_fleet *fleet);

/* Returns true if this router is one of the few of its region that exchange
   heartbeats with other regions and read the platform for all.  */
bool mq_fleet_is_region_relay (const mq_fleet *fleet);

/* Number of members of this region, this router included, that take work
   (live), and that may exist: listed or received from lately (known).  Their
   ratio is the fraction of a limit that this side of a partition may grant. */
uint32_t mq_fleet_live_count (const mq_fleet *fleet);
uint32_t mq_fleet_known_count (const mq_fleet *fleet);

/* Number of messages dropped: of an older incarnation, duplicate, or from a
   sender that has not introduced itself.  */
uint64_t mq_fleet_dropped (const mq_fleet *fleet);

/* ---- Ownership.  */

typedef enum mq_owned_kind
{
  MQ_OWNED_MODEL,       /* The planner of a model's pipelines.  */
  MQ_OWNED_ORGANISATION /* The limiter of an organisation.  */
} mq_owned_kind;

/* Returns the rank of the member named VM for the object NAME; the member with
   the highest rank owns it.  */
uint64_t mq_owner_rank (mq_owned_kind kind, mq_span name, mq_span vm);

/* Returns the owner of NAME in this region, borrowed until the next event.
   Never NULL: without an eligible member, this router.  */
const mq_member *mq_fleet_owner (const mq_fleet *fleet, mq_owned_kind kind,
                                 mq_span name);

/* Returns the time since when this router owns NAME, which it owns: what the
   former owner granted may still be in use.  0: since the start.  */
uint64_t mq_fleet_owner_since (const mq_fleet *fleet, mq_owned_kind kind,
                               mq_span name);

/* The owners of the objects that this router uses.  It detects changes, so
   that requests in flight can be registered with the new owner.  */
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

/* Adds NAME unless it is there already; returns its owner's incarnation.  */
uint64_t mq_ownership_add (mq_ownership *ownership, const mq_fleet *fleet,
                           mq_owned_kind kind, mq_span name);

/* Removes NAME, which is no longer used.  */
void mq_ownership_remove (mq_ownership *ownership, mq_owned_kind kind,
                          mq_span name);

/* After MQ_FLEET_OWNERS_CHANGED: appends each change to CHANGES, a GArray of
   mq_owner_change, in the order of the names.  */
void mq_ownership_refresh (mq_ownership *ownership, const mq_fleet *fleet,
                           GArray *changes);

/* ---- Discovery: which entries a client should use.  */

#define MQ_DISCOVERY_MAX_ENTRIES 8

typedef struct mq_discovery
{
  mq_span organisation;
  double organisation_share; /* Its part of all weights, 0 to 1.  */
  mq_span failure_domain;    /* The client's; empty: unknown.  */
  uint64_t caller;           /* Hash of the client; selects its order.  */
  uint32_t ttl_ms;           /* From the policy.  */
} mq_discovery;

typedef struct mq_discovery_entry
{
  mq_str *vm; /* Borrowed from the fleet, as are the next two.  */
  mq_str *address;
  mq_str *failure_domain;
  uint32_t weight; /* Thousandths of its capacity that are free.  */
} mq_discovery_entry;

typedef struct mq_discovery_reply
{
  mq_discovery_entry entries[MQ_DISCOVERY_MAX_ENTRIES];
  uint32_t n;
  uint32_t ttl_ms; /* With jitter, so that clients do not retry at once.  */
} mq_discovery_reply;

/* Fills REPLY for REQUEST from the state of FLEET, best entry first.  The
   order is by weighted rendezvous hashing: each client has its own order, an
   entry comes first in proportion to its free capacity, and the clients of a
   dead entry are spread over all others.  */
void mq_discovery_reply_fill (mq_discovery_reply *reply, const mq_fleet *fleet,
                              const mq_discovery *request);

G_END_DECLS

#endif
