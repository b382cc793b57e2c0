/* The other routers that this router knows: their state, their ranks, the
   gossip exchanged with them, and the load that they report.

   In each failure domain the first few routers by capacity and name are the
   *relays*.  A relay follows the platform's store on behalf of its domain,
   receives the reports of the domain's routers, exchanges summaries with the
   relays of other domains, and sends digests to the domain's routers.

   There is no election: each router derives the relays from ranks and from
   which routers are alive.  Views may differ for a moment, so that a domain
   has one relay too many or too few.  The cost of that is more messages or
   counts that are a second older; correctness does not depend on it.

   A router finds its relays by the platform's member list, by the addresses
   in its settings, and by the introductions that routers at these addresses
   send.  The next router in rank replaces a relay that is no longer alive;
   digests name the replacement.

   The module is pure: it does no I/O, and times come in with the calls.  All
   times are monotonic microseconds.  "Alive" means that the last message of a
   router came within a multiple of the interval that it announced.  */

#ifndef MQ_CLUSTER_H
#define MQ_CLUSTER_H

#include <glib.h>
#include <mq/gossip.h>
#include <mq/propagation.h>
#include <mq/serving_set.h>

G_BEGIN_DECLS

/* Relays of a domain.  With three, the domain stays connected while one relay
   has crashed and another is cut off.  */
#define MQ_CLUSTER_RELAYS_PER_DOMAIN 3
/* Routers that a digest or an introduction names, in the order of rank: the
   relays and those that would replace them.  */
#define MQ_CLUSTER_MAX_CANDIDATES 6
/* Heartbeat interval of an active router: see mq_cluster_is_active.  */
#define MQ_CLUSTER_HEARTBEAT_MS 125

/* The lists of routers that were last sent in a digest or a summary.  */
typedef struct mq_gossip_sent_lists
{
  uint64_t at_us; /* 0: never.  */
  uint64_t hash;  /* Of the addresses in the lists.  */
} mq_gossip_sent_lists;

/* Another router.  Fields without a comment are as in mq_gossip_router and
   mq_gossip, from its last message.  */
typedef struct mq_cluster_member
{
  mq_str *name;         /* NULL: unknown.  */
  uint64_t name_hash;   /* Of NAME.  */
  mq_str *peer;         /* Key in the table of members.  */
  mq_str *client;       /* NULL: unknown.  */
  mq_str *domain;       /* NULL: only the peer address is known.  */
  unsigned tunnel_port; /* 0: it opens no tunnels.  */
  bool local;           /* It is in this router's failure domain.  */
  uint64_t incarnation;
  uint64_t sequence;
  unsigned capacity;
  unsigned used;
  unsigned interval_ms;
  unsigned counts_max_age_ms; /* Age that its counts may reach before the next
                                 message replaces them.  */
  bool ready;
  bool draining;
  bool store_reached;
  bool store_fails;
  bool follows;
  bool watches;
  bool reached;
  bool relays; /* It is a relay, as it announced itself or others did.  */
  uint64_t routing_version;
  uint64_t upstreams_digest;
  uint64_t upstreams_newest;
  uint64_t received_us; /* When its last message came; 0: never.  */
  uint64_t appeared_us; /* When the first message of its incarnation came.  */
  uint64_t change_dropped_us; /* Set by the owner: when a change to it was last
                                 dropped, soon after that; 0: none was.  */
  uint64_t list_dropped_us;   /* Set by the owner: the same of a list.  */
  uint64_t named_us; /* When another router or the platform last named it;
                        0: never.  */
  uint64_t unanswered_since_us;    /* First message to it since it was last
                                      received from; 0: none.  */
  uint64_t sent_us;                /* Last message to it.  */
  uint64_t digest_us;              /* Last digest to it.  */
  mq_gossip_sent_lists sent_lists; /* In digests to it.  */
  bool logged_alive;   /* Set by the owner: it was last logged as alive.  */
  mq_gossip_kind kind; /* Of the message that the counts below are from.  */
  unsigned busy;
  GArray *paths;     /* mq_path_tokens.  */
  GArray *sends;     /* mq_service_sends.  */
  GArray *isolated;  /* uint64_t.  */
  GArray *serving;   /* mq_gossip_router; texts are in SERVING_TEXTS.  */
  GArray *elsewhere; /* mq_gossip_router; texts are in SERVING_TEXTS.  */
  GStringChunk *serving_texts;
  GArray *previous_sends; /* mq_service_sends of its previous incarnation;
                             NULL: none is known.  */
  uint64_t replaced_us;   /* When that incarnation was replaced.  */
  mq_lag routing_lag;     /* Its configuration is older than ours.  */
  mq_lag upstreams_lag;   /* It lacks upstreams that we know.  */
} mq_cluster_member;

/* This router's own state, set by the owner before gossip is made.  Fields
   without a comment are as in mq_gossip.  */
typedef struct mq_cluster_self
{
  unsigned used;
  bool ready;
  bool draining;
  bool store_reached;
  bool store_fails;
  bool follows;
  bool watches;
  uint64_t routing_version;
  uint64_t upstreams_digest;
  uint64_t upstreams_newest;
  bool loaded; /* Several requests are in flight, or were a moment ago.  */
} mq_cluster_self;

typedef struct mq_cluster
{
  mq_str *name;
  uint64_t name_hash; /* Of NAME.  */
  mq_str *peer;
  mq_str *client;
  mq_str *domain;
  unsigned tunnel_port;
  uint64_t incarnation;
  unsigned capacity;  /* Thousandths of a processor.  */
  uint64_t sequence;  /* Of the last gossip made.  */
  uint64_t window_us; /* Sliding window over which sends are counted.  */
  uint64_t relay_not_before_us; /* This router becomes no relay earlier.  */
  uint64_t relay_since_us;      /* When it last became one; 0: never.  */
  uint64_t listed_us;  /* When the current member list was last read, or the
                          list found to be unavailable; 0: never.  */
  unsigned summary_ms; /* Interval of this relay's summaries.  */
  uint64_t summary_us; /* When the last summary was sent.  */
  mq_gossip_sent_lists sent_lists; /* In summaries.  */
  GHashTable *routers;  /* Peer address -> mq_cluster_member, owned.  */
  GHashTable *rankings; /* Domain -> its candidates by rank, private to
                           cluster_gossip.c.  */
  uint64_t ranked;      /* Rankings that were computed.  */
  bool relays;          /* This router is a relay.  */
  bool had_candidate;   /* At the last tick another router of the domain could
                           be alive.  */
  mq_cluster_self self;
  GArray *paths;    /* mq_path_tokens: this router's own.  */
  GArray *sends;    /* mq_service_sends: this router's own.  */
  GArray *isolated; /* uint64_t: hashes of the services that this router
                       does not reach itself.  */
  mq_serving_demand demand; /* Of this domain.  */
  GArray *other_paths;      /* mq_path_tokens: sums over all others.  */
  GArray *other_sends;      /* mq_service_sends: sums over all others.  */
  unsigned other_busy;      /* Others that had requests in the window.  */
  uint64_t summed_us;       /* When the sums were computed; 0: never.  */
} mq_cluster;

/* ---- Members (cluster.c).  */

/* Initialise CLUSTER for the router SELF, whose texts are copied.  WINDOW_US
   is the window of the retry budget.  */
void mq_cluster_init (mq_cluster *cluster, const mq_gossip_router *self,
                      uint64_t window_us, uint64_t now_us);
void mq_cluster_finish (mq_cluster *cluster);

/* Add the router at ADDRESS (IP:PORT for peers), as settings name it.  It is
   kept at least until a message comes from it.  */
void mq_cluster_add_address (mq_cluster *cluster, mq_span address);
/* Add or update ROUTER, as other routers or the platform name it.  RELAYS: it
   is named as a relay; this is ignored while it is alive, since it announces
   that itself.  */
void mq_cluster_add (mq_cluster *cluster, const mq_gossip_router *router,
                     bool relays, uint64_t now_us);
/* Add or update ROUTER from its own message; empty texts leave what is known.
   Returns the member, borrowed, or NULL if ROUTER is this router or has no
   peer address.  */
mq_cluster_member *mq_cluster_update_member (mq_cluster *cluster,
                                             const mq_gossip_router *router);
/* Returns the member with the peer address PEER, borrowed, or NULL.  */
mq_cluster_member *mq_cluster_find (const mq_cluster *cluster, mq_span peer);

/* Returns true if the last message of ROUTER came within its timeout, which
   follows from the interval that it announced.  */
bool mq_cluster_member_is_alive (const mq_cluster_member *router,
                                 uint64_t now_us);

/* Returns true if ROUTER does not reach the upstreams of some service over its
   own links.  */
bool mq_cluster_member_is_isolated (const mq_cluster_member *router);

/* Returns below 0 when A ranks before B, above 0 when after.  The larger
   capacity comes first, then the lower hash of the name, so that the first
   routers of a fleet are spread over domains.  */
int mq_cluster_compare_rank (unsigned capacity_a, mq_span name_a,
                             unsigned capacity_b, mq_span name_b);
/* The same for two members.  */
int mq_cluster_member_compare_rank (const mq_cluster_member *a,
                                    const mq_cluster_member *b);
/* Returns true if ROUTER can be a relay of DOMAIN: it belongs to DOMAIN, may
   be alive and is not draining.  */
bool mq_cluster_member_is_candidate (const mq_cluster_member *router,
                                     mq_span domain, uint64_t now_us);

/* Returns how many routers of this domain that may be alive rank before this
   router.  */
unsigned mq_cluster_rank_in_domain (const mq_cluster *cluster,
                                    uint64_t now_us);
/* Returns how many live relays of all domains rank before this router and are
   able to follow the store's upstreams, i.e. have no failing requests to the
   store.  */
unsigned mq_cluster_count_followers_before (const mq_cluster *cluster,
                                            uint64_t now_us);
/* The same for the store's configuration, which counts relays of this domain
   only.  */
unsigned mq_cluster_count_watchers_before (const mq_cluster *cluster,
                                           uint64_t now_us);
/* Returns how many live relays of all domains follow the store's upstreams and
   have failing requests to the store.  */
unsigned mq_cluster_count_failing_followers (const mq_cluster *cluster,
                                             uint64_t now_us);
/* The same for the store's configuration and relays of this domain.  */
unsigned mq_cluster_count_failing_watchers (const mq_cluster *cluster,
                                            uint64_t now_us);
/* Returns true if any live router other than EXCEPT (may be NULL) reaches the
   store or has announced that another router does.  */
bool mq_cluster_store_is_reachable (const mq_cluster *cluster,
                                    const mq_cluster_member *except,
                                    uint64_t now_us);
/* Append to ROUTERS (mq_cluster_member, borrowed) the first live relay by rank
   of each other domain.  */
void mq_cluster_first_remote_relays (mq_cluster *cluster, GPtrArray *routers,
                                     uint64_t now_us);
/* Returns the version of the newest change of upstreams that any live relay
   knows whose list does not have DIGEST, or 0.  Equal lists may name different
   versions: one that was read after a removal does not have that of the
   removal.  */
uint64_t mq_cluster_newest_upstreams (const mq_cluster *cluster,
                                      uint64_t digest, uint64_t now_us);
/* Returns how many other routers are alive.  */
unsigned mq_cluster_count_alive (const mq_cluster *cluster, uint64_t now_us);
/* Returns true if another router of this domain is a relay and alive.  */
bool mq_cluster_has_live_relay (const mq_cluster *cluster, uint64_t now_us);

/* Returns true if a live relay of DOMAIN reaches the store or has announced
   that another router does.  */
bool mq_cluster_domain_reaches_store (const mq_cluster *cluster,
                                      mq_span domain, uint64_t now_us);
/* The platform's member list was read, with all that was written to it so far
   if CURRENT is set.  SELF: it names this router, which was thus a relay
   before it restarted.  In that case, or if no other router is known, this
   router may become a relay at once.  */
void mq_cluster_note_member_list (mq_cluster *cluster, bool current, bool self,
                                  uint64_t now_us);
/* The platform's member list can't be read.  */
void mq_cluster_note_member_list_unavailable (mq_cluster *cluster,
                                              uint64_t now_us);
/* Returns true if the member list must be read, with all that was written to
   it so far, before this router may become a relay: it has found no other
   router of its domain.  */
bool mq_cluster_needs_member_list (const mq_cluster *cluster, uint64_t now_us);

/* Remove expired members and decide again whether this router is a relay.
   Returns true if that changed.  */
bool mq_cluster_tick (mq_cluster *cluster, uint64_t now_us);
/* The process was suspended for GAP_US, in which it could not receive.  Moves
   the times of receipt forward, up to NOW_US, so that members do not time out
   by it.  */
void mq_cluster_note_pause (mq_cluster *cluster, uint64_t gap_us,
                            uint64_t now_us);

/* Returns true if this router is to give the orders to engines.  That is the
   first by rank of all live, ready relays that reach the store.  If none does,
   it is the first of all live, ready relays, provided that it receives from
   most of the relays that it knew lately.  A router that has just become a
   relay waits until it has received from those that rank before it, for a
   bounded time: at a start each knows the others by the member list only, and
   would take the lead by itself.  Isolated routers lead only where all are.
   STORE: this router reaches the store, and has for long enough that the
   others' messages say whether they do.  */
bool mq_cluster_is_leader (const mq_cluster *cluster, bool store,
                           uint64_t now_us);

/* ---- Gossip (cluster_gossip.c).  */

/* Drop the rankings of candidates, which borrow members.  */
void mq_cluster_drop_rankings (mq_cluster *cluster);

/* The following append to ROUTERS the members (mq_cluster_member, borrowed)
   that a message is to be sent to now.  */

/* Those that receive this router's reports.  */
void mq_cluster_report_targets (mq_cluster *cluster, GPtrArray *routers,
                                uint64_t now_us);
/* Those that receive a digest from this relay: the live routers of its domain
   that are not relays.  Idle ones are left out between their intervals unless
   ALL is set.  */
void mq_cluster_digest_targets (mq_cluster *cluster, bool all,
                                GPtrArray *routers, uint64_t now_us);
/* All relays of other domains.  */
void mq_cluster_remote_relays (const mq_cluster *cluster, GPtrArray *routers,
                               uint64_t now_us);
/* Those that receive a summary from this relay: all relays of other domains,
   or none between the intervals unless ALL is set.  Notes NOW_US as the time
   of the summary.  */
void mq_cluster_summary_targets (mq_cluster *cluster, bool all,
                                 GPtrArray *routers, uint64_t now_us);
/* A message is being sent to ROUTER.  */
void mq_cluster_note_sent (mq_cluster_member *router, uint64_t now_us);

/* Fill GOSSIP, which was initialised with the kind concerned.  Its texts are
   borrowed from CLUSTER until that changes.  Findings and crash records are
   left to the caller.  */
void mq_cluster_make_report (mq_cluster *cluster, mq_gossip *gossip,
                             uint64_t now_us);
void mq_cluster_make_digest (mq_cluster *cluster, mq_cluster_member *to,
                             mq_gossip *gossip, uint64_t now_us);
void mq_cluster_make_summary (mq_cluster *cluster, mq_gossip *gossip,
                              uint64_t now_us);
void mq_cluster_make_introduction (mq_cluster *cluster,
                                   const mq_cluster_member *to,
                                   mq_gossip *gossip, uint64_t now_us);

typedef enum mq_gossip_result
{
  /* Delayed, from this router itself, or from one whose name and domain are
     not known yet; ignored.  */
  MQ_GOSSIP_STALE,
  MQ_GOSSIP_ACCEPTED,
  MQ_GOSSIP_ACCEPTED_FIRST /* The sender was not alive or not known before.  */
} mq_gossip_result;

/* Merge GOSSIP, which was received at NOW_US.  Unless it is stale, sets *FROM
   to the sender, borrowed, and *MISDIRECTED to whether the sender addressed
   the wrong router and is to be sent an introduction.  */
mq_gossip_result mq_cluster_receive (mq_cluster *cluster,
                                     const mq_gossip *gossip,
                                     mq_cluster_member **from,
                                     bool *misdirected, uint64_t now_us);

/* ---- Counts (cluster_load.c).  */

/* Returns true if this router is active, i.e. reports at each heartbeat: it is
   a relay, has requests, or is one of those that clients are sent to.  */
bool mq_cluster_is_active (mq_cluster *cluster, uint64_t now_us);
/* Returns true if ROUTER reports at each heartbeat.  */
bool mq_cluster_member_is_active (const mq_cluster_member *router);

/* Recompute the sums over all others if they are out of date.  */
void mq_cluster_update_sums (mq_cluster *cluster, uint64_t now_us);
/* Add to the counts of GOSSIP those of this domain's routers, including this
   one.  */
void mq_cluster_add_domain_sums (mq_cluster *cluster, mq_gossip *gossip,
                                 uint64_t now_us);
/* Add to the counts of GOSSIP those of all routers except TO.  */
void mq_cluster_add_sums_except (mq_cluster *cluster,
                                 const mq_cluster_member *to,
                                 mq_gossip *gossip, uint64_t now_us);
/* Returns the tokens that all other routers have in flight on PATH.  */
double mq_cluster_other_tokens (mq_cluster *cluster, uint64_t path,
                                uint64_t now_us);
/* Returns what all other routers sent for SERVICE in the window.  */
mq_send_counts mq_cluster_other_sends (mq_cluster *cluster, uint64_t service,
                                       uint64_t now_us);
/* Returns how many routers, including this one, share the retry budget: those
   that had requests in the window.  */
unsigned mq_cluster_count_busy (mq_cluster *cluster, uint64_t now_us);
/* Returns the age that the counts of others may have, in ms.  */
unsigned mq_cluster_counts_age_ms (const mq_cluster *cluster, uint64_t now_us);

/* Append to ROUTERS (mq_gossip_router) those other routers that reach the
   upstreams of SERVICE, a hash of its name, and open tunnels to them; those
   that are draining only if there are no others.  Name, peer and domain may be
   empty.  All texts are borrowed until CLUSTER changes.  */
void mq_cluster_list_tunnels (const mq_cluster *cluster, uint64_t service,
                              GArray *routers, uint64_t now_us);

/* Append to SERVING the routers of this domain that clients are sent to, and
   to ELSEWHERE some of other domains (mq_gossip_router).  Texts are borrowed
   until CLUSTER changes.  */
void mq_cluster_list_serving (mq_cluster *cluster, GArray *serving,
                              GArray *elsewhere, uint64_t now_us);

G_END_DECLS

#endif
