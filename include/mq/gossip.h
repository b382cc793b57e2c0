/* Gossip: what routers in gateway mode report to one another about themselves.

   There are four kinds, which share one structure:
   - a *report*, from a router to the relays of its failure domain: that it is
     alive, which configuration and upstreams it knows, and what it has in
     flight;
   - a *digest*, from a relay to a router of its domain: which routers are the
     relays, which ones serve, and what all others have in flight;
   - a *summary*, from a relay to the relays of other domains: the same for the
     whole domain of the sender, summed;
   - an *introduction*, from any router to a sender that addressed the wrong
     one: the known routers of the receiver's domain, and relays of others.

   What a router sends and receives therefore grows with the number of relays
   in its domain and, at a relay, with the number of domains, but not with the
   number of routers.

   A gossip structure borrows all its texts, from the decoded message or from
   the mq_cluster that filled it.  It owns its lists.  */

#ifndef MQ_GOSSIP_H
#define MQ_GOSSIP_H

#include <glib.h>
#include <mq/quarantine.h>
#include <mq/send_budget.h>
#include <mq/str.h>

G_BEGIN_DECLS

typedef enum mq_gossip_kind
{
  MQ_GOSSIP_REPORT,
  MQ_GOSSIP_DIGEST,
  MQ_GOSSIP_SUMMARY,
  MQ_GOSSIP_INTRODUCTION
} mq_gossip_kind;

/* A router as it is named to others.  */
typedef struct mq_gossip_router
{
  mq_span name;
  mq_span peer;   /* IP:PORT for other routers.  */
  mq_span client; /* IP:PORT for clients.  */
  mq_span domain; /* Failure domain.  */
  uint64_t incarnation;
  unsigned capacity;    /* Thousandths of a processor.  */
  unsigned tunnel_port; /* Where it opens tunnels to upstreams for other
                           routers, at the IP address of CLIENT; 0: it opens
                           none.  */
} mq_gossip_router;

/* Tokens in flight on one path.  */
typedef struct mq_path_tokens
{
  uint64_t path; /* Hash of its key, the same on all routers.  */
  double tokens;
} mq_path_tokens;

/* Requests and retries of one service.  */
typedef struct mq_service_sends
{
  uint64_t service; /* Hash of its name.  */
  mq_send_counts counts;
} mq_service_sends;

/* What a router measured at an upstream.  */
typedef struct mq_gossip_finding
{
  mq_span upstream;      /* Its id.  */
  uint64_t ejected_us;   /* Remaining time of its ejection; 0: not ejected.  */
  double slowdown;       /* Factor by which it is slower than nominal for its
                            accelerator; 0: unknown.  */
  uint64_t slowdown_us;  /* Remaining validity of the slowdown.  */
  uint64_t rejecting_us; /* It rejects all requests, and is to receive none for
                            this long; 0: it does not.  */
  bool leaving;          /* It said that it is leaving, in the incarnation that
                            started at BORN_MS.  */
  uint64_t born_ms;      /* By its own clock; 0: unknown.  */
  bool limit_stated;     /* The next two are known.  */
  double limit_per_s;    /* Requests a second that it accepts from all routers
                            together; 0: it has no limit.  */
  uint64_t limit_age_us; /* Since it stated that.  */
} mq_gossip_finding;

typedef struct mq_gossip
{
  mq_gossip_kind kind;
  mq_gossip_router from;
  uint64_t sequence;    /* Increases within an incarnation.  */
  unsigned interval_ms; /* The next of this kind comes within this.  */
  unsigned used;        /* Of the processor, in thousandths of one.  */
  bool ready;
  bool draining;
  bool store_reached; /* The sender reaches the platform's store.  */
  bool store_fails;   /* Its requests to the store fail.  */
  bool follows;       /* It follows the store's upstreams itself.  */
  bool watches;       /* It follows the store's configuration itself.  */
  bool reached;       /* Some router reaches the store: of the sender's domain
                         in a summary, of the fleet in a digest.  */
  bool relays;        /* The sender is a relay of its domain.  */
  uint64_t routing_version;
  uint64_t upstreams_digest; /* Of its mq_entry_list.  */
  uint64_t upstreams_newest; /* Version of the last change in it.  */
  /* The next four are counts: the sender's own in a report, those of its
     domain in a summary, and those of all but the receiver in a digest.  */
  unsigned age_ms;  /* Age that the oldest of these may have.  */
  unsigned busy;    /* Routers that had requests in the window.  */
  GArray *paths;    /* mq_path_tokens.  */
  GArray *sends;    /* mq_service_sends.  */
  GArray *findings; /* mq_gossip_finding.  */
  GArray *crashes;  /* mq_quarantine_record: crash records.  */
  GArray *isolated; /* uint64_t: hashes of the names of the services whose
                       upstreams the sender does not reach over its own
                       links.  */
  bool listed; /* The next three lists and the name, domain, tunnel port and
                  client address of the sender are included; otherwise
                  they have not changed since the last message.  */
  /* Routers of the receiver's domain in a digest or an introduction, relays
     of the sender's in a summary.  */
  GArray *routers;   /* mq_gossip_router.  */
  GArray *serving;   /* mq_gossip_router: serving in the sender's domain.  */
  GArray *elsewhere; /* mq_gossip_router: serving in other domains, or, in an
                        introduction, relays of other domains.  */
} mq_gossip;

/* Initialise GOSSIP with empty lists and zeros.  */
void mq_gossip_init (mq_gossip *gossip, mq_gossip_kind kind);
void mq_gossip_finish (mq_gossip *gossip);

/* Returns the tokens on PATH in PATHS (mq_path_tokens), or 0.  */
double mq_path_tokens_get (const GArray *paths, uint64_t path);
/* Add TOKENS to those on PATH.  */
void mq_path_tokens_add (GArray *paths, uint64_t path, double tokens);

/* Returns the counts of SERVICE in SENDS (mq_service_sends), or zeros.  */
mq_send_counts mq_service_sends_get (const GArray *sends, uint64_t service);
void mq_service_sends_add (GArray *sends, uint64_t service,
                           mq_send_counts counts);
/* Subtract COUNTS from those of SERVICE; each stops at 0.  */
void mq_service_sends_subtract (GArray *sends, uint64_t service,
                                mq_send_counts counts);

G_END_DECLS

#endif
