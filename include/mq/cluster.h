/* The other routers of the fleet, as one of them knows them.

   In each failure domain the first few routers by capacity and name are its
   *relays*: they follow the platform's store for the domain, hear the reports
   of its routers, exchange summaries with the relays of other domains, and
   tell the domain's routers in digests what these need to know.  Who the
   relays are follows from ranks and from who is heard: there is no election,
   and for a moment there may be one too many or too few, which costs messages
   or a second of older counts, and breaks nothing.

   A router finds its relays by the platform's list of members, by the
   addresses that its settings give, and by introductions of whoever answers
   there.  Relays that fall silent are replaced by the next in rank, of whom
   digests tell.

   Pure; times come in with the calls.  All times are monotonic microseconds.
 */

#ifndef MQ_CLUSTER_H
#define MQ_CLUSTER_H

#include <glib.h>
#include <mq/gossip.h>
#include <mq/propagation.h>
#include <mq/serving_set.h>

G_BEGIN_DECLS

/* Relays of a domain: one may die and another be cut off at a time, and the
   domain still hears.  */
#define MQ_CLUSTER_RELAYS_PER_DOMAIN 3
/* Routers that a digest or an introduction names, in the order of rank: the
   relays and who takes their places.  */
#define MQ_CLUSTER_MAX_CANDIDATES 6
/* From heartbeat to heartbeat of a router that is active: one that is a relay
   or has requests in flight or is among those that serve.  */
#define MQ_CLUSTER_HEARTBEAT_MS 125

/* When news last named routers, and which.  */
typedef struct mq_gossip_sent_lists
{
  uint64_t at_us; /* 0: never.  */
  uint64_t hash;
} mq_gossip_sent_lists;

/* Another router.  */
typedef struct mq_cluster_member
{
  mq_str *name;
  mq_str *peer;
  mq_str *client;
  mq_str *domain; /* NULL: known by its peer address only.  */
  bool local;     /* Of this router's own domain.  */
  uint64_t incarnation;
  uint64_t sequence;
  unsigned capacity;
  unsigned used;
  unsigned interval_ms;
  unsigned counts_max_age_ms; /* How old the counts that it told may get.  */
  bool ready;
  bool draining;
  bool store_reached;
  bool store_fails;
  bool follows;
  bool watches;
  bool reached;
  bool relays; /* It says so, or others do.  */
  uint64_t routing_version;
  uint64_t upstreams_digest;
  uint64_t upstreams_newest;
  uint64_t received_us; /* Its last news; 0: none.  */
  uint64_t named_us;    /* When it was last named by others; 0: never.  */
  uint64_t unanswered_since_us; /* First message to it since it was heard; 0:
                                   none.  */
  uint64_t sent_us;             /* Last message to it ...  */
  uint64_t digest_us;           /* ... and last digest.  */
  mq_gossip_sent_lists sent_lists; /* Of the digests to it.  */
  bool logged_alive;               /* The log says that it lives.  */
  mq_gossip_kind kind;             /* Of its news that the counts are from.  */
  unsigned busy;                   /* As in mq_gossip, like the next three.  */
  GArray *paths;
  GArray *sends;
  GArray *serving;   /* mq_gossip_router, whose texts are SERVING_TEXTS'.  */
  GArray *elsewhere; /* The same.  */
  GStringChunk *serving_texts;
  GArray *previous_sends; /* Of its incarnation before; NULL: none.  */
  uint64_t replaced_us;   /* When that was replaced.  */
  mq_lag routing_lag;     /* Its configuration is older than ours.  */
  mq_lag upstreams_lag;   /* It lacks upstreams that we know.  */
} mq_cluster_member;

/* What this router says of itself in its news.  */
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
  mq_str *peer;
  mq_str *client;
  mq_str *domain;
  uint64_t incarnation;
  unsigned capacity;
  uint64_t sequence;
  uint64_t window_us;           /* In which sends count.  */
  uint64_t relay_not_before_us; /* No relay before.  */
  unsigned summary_ms; /* From one of this relay's summaries to the next.  */
  uint64_t summary_us; /* When it sent the last.  */
  mq_gossip_sent_lists sent_lists; /* Of the summaries.  */
  GHashTable *routers; /* Peer address -> mq_cluster_member, owned.  */
  bool relays;         /* This router is a relay.  */
  bool had_candidate;  /* Another of the domain might live, last time.  */
  mq_cluster_self self;
  GArray *paths;            /* Own counts: mq_path_tokens ...  */
  GArray *sends;            /* ... and mq_service_sends.  */
  mq_serving_demand demand; /* Of the domain.  */
  GArray *other_paths;      /* Sums over all others, as of SUMMED_US.  */
  GArray *other_sends;
  unsigned other_busy;
  uint64_t summed_us; /* 0: not yet, or something changed.  */
} mq_cluster;

/* ---- The table (roster.c).  */

/* SELF says who this router is; texts are copied.  WINDOW_US is that of the
   budget of further sends.  */
void mq_cluster_init (mq_cluster *cluster, const mq_gossip_router *self,
                      uint64_t window_us, uint64_t now_us);
void mq_cluster_finish (mq_cluster *cluster);

/* Know the router at ADDRESS (IP:PORT for peers), as settings name it.  */
void mq_cluster_add_address (mq_cluster *cluster, mq_span address);
/* Know ROUTER, as others or the platform tell of it; RELAYS: as a relay of its
   domain.  */
void mq_cluster_add (mq_cluster *cluster, const mq_gossip_router *router,
                     bool relays, uint64_t now_us);
/* Learn ROUTER's name and addresses, as it tells itself.  Borrowed; NULL: it
   is this router.  */
mq_cluster_member *mq_cluster_update_member (mq_cluster *cluster,
                                             const mq_gossip_router *router);
/* Borrowed; NULL when unknown.  */
mq_cluster_member *mq_cluster_find (const mq_cluster *cluster, mq_span peer);

/* Was it heard within the time that it promised?  */
bool mq_cluster_member_is_alive (const mq_cluster_member *router,
                                 uint64_t now_us);

/* Below 0 when A comes before B: by capacity, then by a hash of the names, so
   that those that come first of a fleet lie in different domains.  */
int mq_cluster_compare_rank (unsigned capacity_a, mq_span name_a,
                             unsigned capacity_b, mq_span name_b);
/* May ROUTER be a relay of DOMAIN now, or become one: is it there, as far as
   is known, and not leaving?  */
bool mq_cluster_member_is_candidate (const mq_cluster_member *router,
                                     mq_span domain, uint64_t now_us);

/* How many routers of this domain that may be alive rank before this one.  */
unsigned mq_cluster_rank_in_domain (const mq_cluster *cluster,
                                    uint64_t now_us);
/* Relays that live, rank before this router, and follow the store's upstreams
   or would: they do not ask it in vain.  */
unsigned mq_cluster_count_followers_before (const mq_cluster *cluster,
                                            uint64_t now_us);
/* The same of this domain's, with the store's configuration.  */
unsigned mq_cluster_count_watchers_before (const mq_cluster *cluster,
                                           uint64_t now_us);
/* Does any other router hear the store, as far as this one is told?  BUT,
   which may be NULL, does not count.  */
bool mq_cluster_store_is_reachable (const mq_cluster *cluster,
                                    const mq_cluster_member *except,
                                    uint64_t now_us);
/* The first relay by rank of each other domain, as mq_cluster_member.  */
void mq_cluster_first_remote_relays (mq_cluster *cluster, GPtrArray *routers,
                                     uint64_t now_us);
/* Version of the newest change of upstreams that any relay knows.  */
uint64_t mq_cluster_newest_upstreams (const mq_cluster *cluster,
                                      uint64_t now_us);
/* How many other routers are heard.  */
unsigned mq_cluster_count_alive (const mq_cluster *cluster, uint64_t now_us);
/* Was any relay of this domain heard?  */
bool mq_cluster_has_live_relay (const mq_cluster *cluster, uint64_t now_us);

/* Does a relay of DOMAIN reach the store?  */
bool mq_cluster_domain_reaches_store (const mq_cluster *cluster,
                                      mq_span domain, uint64_t now_us);
/* The platform's list of members was read; SELF: it names this router, which
   was a relay before.  Then, or with nobody known, there is nobody to wait
   for.  */
void mq_cluster_note_member_list (mq_cluster *cluster, bool self,
                                  uint64_t now_us);

/* Work out this router's part anew.  Returns true when RELAYS has turned.  */
bool mq_cluster_tick (mq_cluster *cluster, uint64_t now_us);
/* The process did not run for GAP_US: what it did not hear meanwhile is no
   sign of anything.  */
void mq_cluster_note_pause (mq_cluster *cluster, uint64_t gap_us);

/* Should this router give the orders to engines?  The first by rank of all
   relays does that reach the store; or, when none does, of all, if most of the
   relays known lately are heard.  STORE: it reaches the store and has for long
   enough that others have said whether they do.  */
bool mq_cluster_is_leader (const mq_cluster *cluster, bool store,
                           uint64_t now_us);

/* ---- News (roster_news.c).  */

/* Routers to send something to now: mq_cluster_member, borrowed.  */
/* Those that get this router's reports.  */
void mq_cluster_report_targets (mq_cluster *cluster, GPtrArray *routers,
                                uint64_t now_us);
/* Routers of the domain that get a digest from this relay: all that live and
   are no relays, or, unless ALL, those that are active.  */
void mq_cluster_digest_targets (mq_cluster *cluster, bool all,
                                GPtrArray *routers, uint64_t now_us);
/* Relays of other domains; of these, the ones that get a summary now.  */
void mq_cluster_remote_relays (const mq_cluster *cluster, GPtrArray *routers,
                               uint64_t now_us);
void mq_cluster_summary_targets (mq_cluster *cluster, bool all,
                                 GPtrArray *routers, uint64_t now_us);
/* ROUTER is being sent something.  */
void mq_cluster_note_sent (mq_cluster_member *router, uint64_t now_us);

/* Fill NEWS, which was initialised and borrows from the roster.  Findings are
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
  MQ_GOSSIP_STALE, /* Held up on its way, or of this router itself.  */
  MQ_GOSSIP_ACCEPTED,
  MQ_GOSSIP_ACCEPTED_FIRST /* From one that was silent or unknown.  */
} mq_gossip_result;

/* Take in NEWS.  Sets *FROM unless it is old.  Sets *STRANGER when the sender
   should be told, by an introduction, whom to turn to.  */
mq_gossip_result mq_cluster_receive (mq_cluster *cluster,
                                     const mq_gossip *gossip,
                                     mq_cluster_member **from, bool *stranger,
                                     uint64_t now_us);

/* ---- Counts (roster_load.c).  */

/* Is this router to send news at each heartbeat: a relay, one that has
   requests or that clients are sent to?  */
bool mq_cluster_is_active (mq_cluster *cluster, uint64_t now_us);
/* Does ROUTER report at each heartbeat?  */
bool mq_cluster_member_is_active (const mq_cluster_member *router);

/* Work out the sums over all others anew, where they are old.  */
void mq_cluster_update_sums (mq_cluster *cluster, uint64_t now_us);
/* Add to NEWS what this domain's routers have in flight, this one among them;
   or what all routers have but TO.  */
void mq_cluster_add_domain_sums (mq_cluster *cluster, mq_gossip *gossip,
                                 uint64_t now_us);
void mq_cluster_add_sums_except (mq_cluster *cluster,
                                 const mq_cluster_member *to,
                                 mq_gossip *gossip, uint64_t now_us);
/* What all other routers have in flight on PATH.  */
double mq_cluster_other_tokens (mq_cluster *cluster, uint64_t path,
                                uint64_t now_us);
/* What all others sent of SERVICE in the window.  */
mq_send_counts mq_cluster_other_sends (mq_cluster *cluster, uint64_t service,
                                       uint64_t now_us);
/* Routers that share the budget of further sends, with this one.  */
unsigned mq_cluster_count_busy (mq_cluster *cluster, uint64_t now_us);
/* How old others' counts are at most, in ms.  */
unsigned mq_cluster_counts_age_ms (const mq_cluster *cluster, uint64_t now_us);

/* The routers of this domain that serve, and some elsewhere, as
   mq_gossip_router in SERVING and ELSEWHERE; texts are borrowed until the
   roster changes.  */
void mq_cluster_list_serving (mq_cluster *cluster, GArray *serving,
                              GArray *elsewhere, uint64_t now_us);

G_END_DECLS

#endif
