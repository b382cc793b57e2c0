/* What routers of the routing face tell one another of themselves.

   Four kinds, of one shape:
   - a *report*, from a router to the relays of its failure domain: that it
     lives, what it knows, and what it has in flight;
   - a *digest*, from a relay to a router of its domain: who the relays are,
     which routers serve, and what all others have in flight;
   - a *summary*, from a relay to the relays of other domains: the same of its
     whole domain in one sum;
   - an *introduction*, from any router to one of another domain that reports
     to it for want of a better one: the routers known of that domain.

   So what a router sends and hears grows with its domain's relays and, at a
   relay, with the number of domains, but not with the fleet.

   A news message borrows all its texts: from what was decoded, or from the
   roster that made it.  Its lists are its own.  */

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

/* A router as others are told of it.  */
typedef struct mq_gossip_router
{
  mq_span name;
  mq_span peer;   /* IP:PORT for other routers.  */
  mq_span client; /* IP:PORT for clients.  */
  mq_span domain; /* Failure domain.  */
  uint64_t incarnation;
  unsigned capacity; /* Thousandths of a processor.  */
} mq_gossip_router;

/* Tokens in flight on one path.  */
typedef struct mq_path_tokens
{
  uint64_t path; /* Hash of its key, the same in each router.  */
  double tokens;
} mq_path_tokens;

/* Requests and further sends of one service.  */
typedef struct mq_service_sends
{
  uint64_t service; /* Hash of its name.  */
  mq_send_counts counts;
} mq_service_sends;

/* What was found out about an engine.  */
typedef struct mq_gossip_finding
{
  mq_span upstream;  /* Its id.  */
  uint64_t aside_us; /* It is to be passed over for so long; 0: it is not.  */
  double pace;       /* So many times slower than its card; 0: not known.  */
  uint64_t pace_us;  /* That counts for so long.  */
  uint64_t refuses_us; /* It refuses all, and gets none for so long; 0: it does
                          not.  */
} mq_gossip_finding;

typedef struct mq_gossip
{
  mq_gossip_kind kind;
  mq_gossip_router from;
  uint64_t sequence;    /* Grows within an incarnation.  */
  unsigned interval_ms; /* Until the next of this kind, at most.  */
  unsigned used;        /* Of the processor, in thousandths of one.  */
  bool ready;
  bool draining;
  bool store_reached; /* The sender hears the platform's store ...  */
  bool store_fails;   /* ... or asks it in vain.  */
  bool follows;       /* It follows the store's upstreams itself ...  */
  bool watches;       /* ... and the store's configuration.  */
  bool reached;       /* Some router hears the store: of its domain in a
                         summary, of the fleet in a digest.  */
  bool relays;        /* It is a relay of its domain.  */
  uint64_t routing_version;
  uint64_t upstreams_digest; /* Of its list: mq_entry_list.  */
  uint64_t upstreams_newest; /* Version of its last change.  */
  /* In flight: the sender's own in a report, its domain's in a summary, and
     all but the receiver's in a digest.  */
  unsigned age_ms;  /* How old the oldest of these may be.  */
  unsigned busy;    /* Routers that had requests in the window.  */
  GArray *paths;    /* mq_path_tokens.  */
  GArray *sends;    /* mq_service_sends.  */
  GArray *findings; /* mq_gossip_finding.  */
  GArray *ends;     /* mq_quarantine_record: of upstreams under requests.  */
  bool listed;      /* The next three are told, and the sender's name, domain
                       and clients' address; else they are as before.  */
  /* Routers of the receiver's domain in a digest or an introduction, relays
     of the sender's in a summary.  */
  GArray *routers;   /* mq_gossip_router.  */
  GArray *serving;   /* mq_gossip_router: of the sender's domain.  */
  GArray *elsewhere; /* mq_gossip_router: serving in other domains; in an
                        introduction relays of these.  */
} mq_gossip;

/* Give NEWS its empty lists; all else is 0.  */
void mq_gossip_init (mq_gossip *gossip, mq_gossip_kind kind);
void mq_gossip_finish (mq_gossip *gossip);

/* The count of PATH in PATHS (mq_path_tokens), or 0.  */
double mq_path_tokens_get (const GArray *paths, uint64_t path);
/* Add TOKENS to the count of PATH.  */
void mq_path_tokens_add (GArray *paths, uint64_t path, double tokens);

/* The counts of SERVICE in SENDS (mq_service_sends), or zeros.  */
mq_send_counts mq_service_sends_get (const GArray *sends, uint64_t service);
void mq_service_sends_add (GArray *sends, uint64_t service,
                           mq_send_counts counts);
/* Take COUNTS out of those of SERVICE, down to zeros.  */
void mq_service_sends_subtract (GArray *sends, uint64_t service,
                                mq_send_counts counts);

G_END_DECLS

#endif
