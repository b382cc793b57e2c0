/* The registry of upstreams of a router in gateway mode.  It has one record
   for each id of a model engine or of an instance of a plain service.

   A record holds the facts that the platform publishes about the upstream and
   what this router observed of it.  When an upstream restarts under its id,
   all observations of the earlier run are discarded.

   Records are counted by reference: a request in flight keeps the record of
   its upstream after that upstream was removed from the registry.  Nothing
   here reads a clock; all times but born_ms are in microseconds of the
   caller's monotonic clock.  */

#ifndef MQ_UPSTREAM_H
#define MQ_UPSTREAM_H

#include <glib.h>
#include <mq/str.h>
#include <mq/upstream_limit.h>

G_BEGIN_DECLS

/* What the platform publishes.  The holder of the structure owns one reference
   to each string.  */
typedef struct mq_upstream_facts
{
  mq_str *id;           /* Of this incarnation.  */
  mq_str *service;      /* Name of the service.  */
  mq_str *address;      /* IP:PORT.  */
  mq_str *domain;       /* Failure domain.  */
  mq_str *card;         /* Kind of accelerator, or NULL.  */
  unsigned layer_first; /* Layers held: [first, end); equal when none.  */
  unsigned layer_end;
  uint64_t born_ms; /* Start time by the upstream's own clock, 0 if unknown.
                       A different value under the same id is a restart.  */
  bool draining;
} mq_upstream_facts;

/* The router whose observation a finding is.  */
typedef struct mq_finding_source
{
  uint64_t router; /* Hash of its name; 0: this router itself.  */
  bool remote;     /* The router is in another failure domain.  */
} mq_finding_source;

/* What this router has heard from an upstream itself.  Its entry is only what
   the platform's list says, in which others may write as well.  */
typedef enum mq_upstream_proof
{
  MQ_PROOF_NONE,     /* It has not been asked, or has yet to answer.  */
  MQ_PROOF_ANSWERED, /* It has answered.  */
  MQ_PROOF_SILENT,   /* It left a query unanswered, and never answered one.  */
  MQ_PROOF_LOST      /* Since its last answer it was ejected, or nothing
                        listened at its address.  */
} mq_upstream_proof;

typedef struct mq_upstream
{
  unsigned refs;
  mq_upstream_facts facts;
  bool listed;  /* Still in the registry.  */
  bool crashed; /* The process is believed to have crashed or exited.  */

  /* Observations of this router, and findings of its peers.  */
  unsigned in_flight;        /* Requests sent to it directly, as the head of a
                                path or as a plain service.  */
  uint64_t last_used_us;     /* Last send on a path through it; 0: none.  */
  unsigned failures;         /* Consecutive.  */
  uint64_t ejected_until_us; /* 0: not ejected.  */
  uint64_t reported_down_until_us; /* End of an ejection that is reported to
                                      peers.  */
  uint64_t unreachable_us;         /* When that ejection began if only failed
                                      connections of this router speak for it; 0:
                                      other engines do, or there is none.  */
  uint64_t ejection_duration_us;   /* Of the latest ejection.  */
  uint64_t peer_ejected_until_us;  /* End of the ejection that a peer
                                      reported ... */
  mq_finding_source peer_ejection_source; /* ... and that peer.  */
  uint64_t peer_ejection_refuted_us; /* Peers' ejections that end by then are
                                        void, as a request succeeded.  */
  double slowdown; /* 1: the nominal speed of its card; 0: unknown.  */
  uint64_t slowdown_until_us;        /* Validity of SLOWDOWN.  */
  mq_finding_source slowdown_source; /* Who queried the engine.  */
  uint64_t reported_us;              /* Last request for its load report.  */
  uint64_t probed_us;          /* Last probe of a path of which it is head.  */
  uint64_t saturated_until_us; /* No new requests before: work is queued.  */
  uint64_t rejected_us;        /* Last rejection of a request.  */
  uint64_t rejecting_duration_us; /* Pause of new work after REJECTED_US.  */
  uint64_t rejecting_since_us;    /* Every send since was rejected.  */
  uint64_t accepted_us; /* Send time of the latest accepted request; 0: none.
                         */
  uint64_t peer_rejecting_until_us; /* End of the pause that a peer reported
                                       ... */
  mq_finding_source peer_rejecting_source; /* ... and that peer.  */
  mq_upstream_limit limit; /* As its responses state it, here or to a peer ...
                            */
  mq_finding_source limit_source; /* ... which is this one.  */
  bool announced_leaving; /* It said so in a response, here or to a peer ... */
  mq_finding_source announced_leaving_source; /* ... which is this one.  */
  mq_upstream_proof proof;
  uint64_t listed_us;     /* When its present incarnation was listed.  */
  uint64_t restarted_us;  /* When its present incarnation was noticed; 0: it is
                             the first one known.  */
  uint64_t rest_until_us; /* It asked this router to send nothing before.  */
  unsigned retained_layers;   /* Layers held before it released some; their
                                 memory is counted as in use ... */
  uint64_t retained_until_us; /* ... until then.  */
  uint64_t orders; /* Orders accepted by this incarnation, as far as known. */
  uint64_t platform_layers_us;      /* Last change of the layers that the
                                       platform publishes.  */
  uint64_t orders_unknown_since_us; /* When ORDERS last became uncertain.  */
  bool orders_unknown; /* ORDERS may be wrong; query it before an order.  */
  bool orders_report_pending; /* A query of ORDERS is under way.  */
  bool stall_report_pending;  /* A query about stalled requests is.  */
  uint64_t progress_us;    /* Last event of a run that passes through it.  */
  const char *stalled_why; /* What its last ejection by gateway_stall.c rests
                              on, static; NULL: none, or refuted.  */
  uint64_t ordered_us;     /* Last order sent by this router; 0: none.  */
  uint64_t no_order_until_us; /* No order before, after a refusal.  */
  unsigned ordered_first;     /* Layers of the last order: [first, end).  */
  unsigned ordered_end;
} mq_upstream;

/* The upstreams of one service in one failure domain.  */
typedef struct mq_upstream_group
{
  mq_str *domain;       /* Owns one reference.  */
  GPtrArray *upstreams; /* mq_upstream sorted by id, one reference each.  */
} mq_upstream_group;

typedef struct mq_registry
{
  GHashTable *by_id;       /* Id -> mq_upstream, one reference each.  */
  uint64_t last_added_us;  /* Last addition or restart of an upstream.  */
  GHashTable *groups;      /* Service -> GPtrArray of mq_upstream_group.  */
  uint64_t indexed_change; /* The value of CHANGE when GROUPS was built.  */
  uint64_t change; /* Incremented whenever the choice of paths may change.  */
} mq_registry;

/* Release the strings of FACTS and clear it.  */
void mq_upstream_facts_finish (mq_upstream_facts *facts);

mq_upstream *mq_upstream_ref (mq_upstream *upstream);
void mq_upstream_unref (mq_upstream *upstream);

/* Set up an empty REGISTRY.  last_added_us is not set.  */
void mq_registry_init (mq_registry *registry);
void mq_registry_finish (mq_registry *registry);

/* Add the upstream of FACTS or update its record.  The registry takes the
   strings of FACTS, which is empty afterwards.  */
void mq_registry_put (mq_registry *registry, mq_upstream_facts *facts,
                      uint64_t now_us);

/* Largest age of what an engine reports: twice the usual lag of reports.  */
#define MQ_UPSTREAM_MAX_REPORT_LAG_US ((uint64_t)400 * 1000)

/* Note that UPSTREAM reports to hold layers [FIRST, END).  Returns true if
   this differs from its record.  Returns false, and changes nothing, if it
   does not, or if the platform published other layers within
   MQ_UPSTREAM_MAX_REPORT_LAG_US, so that the report may be older, or if FIRST
   exceeds END.  */
bool mq_registry_set_layers (mq_registry *registry, mq_upstream *upstream,
                             unsigned first, unsigned end, uint64_t now_us);
/* Remove the upstream called ID, if there is one.  */
void mq_registry_remove (mq_registry *registry, mq_span id);
/* Remove all upstreams whose ids are not in KEEP, a set of C strings.  */
void mq_registry_retain (mq_registry *registry, GHashTable *keep);

/* The upstream called ID, or NULL.  Borrowed.  */
mq_upstream *mq_registry_find (const mq_registry *registry, mq_span id);
/* The upstream at ADDRESS, or NULL.  Borrowed.  Linear in the number of
   upstreams.  */
mq_upstream *mq_registry_find_address (const mq_registry *registry,
                                       mq_span address);

/* The groups (mq_upstream_group) of SERVICE sorted by domain, or NULL when it
   has no upstream.  Borrowed until the registry changes.  The first call after
   a change rebuilds the index over all upstreams.  */
const GPtrArray *mq_registry_groups (mq_registry *registry, mq_span service);
/* The group of SERVICE in DOMAIN, or NULL.  Borrowed as above.  */
const mq_upstream_group *mq_registry_group (mq_registry *registry,
                                            mq_span service, mq_span domain);

/* Note that UPSTREAM said in a response to the router BY that it is leaving.
   That holds until it starts again.  */
void mq_registry_note_leaving (mq_registry *registry, mq_upstream *upstream,
                               mq_finding_source by);

/* Returns true if UPSTREAM is draining, by its entry or by what it said.  */
bool mq_upstream_is_draining (const mq_upstream *upstream);
/* Returns true if UPSTREAM is listed, not draining and not ejected.  */
bool mq_upstream_is_usable (const mq_upstream *upstream, uint64_t now_us);
/* Returns true if new work may go to UPSTREAM: it is usable, and neither this
   router nor a peer has recently been rejected by it.  */
bool mq_upstream_accepts_work (const mq_upstream *upstream, uint64_t now_us);
/* Returns true if UPSTREAM has rejected every request for so long that it must
   be draining, though the platform does not say so.  */
bool mq_upstream_is_leaving (const mq_upstream *upstream, uint64_t now_us);

/* Note the limit that UPSTREAM stated at AT_US in a response to the router BY:
   PER_S requests a second from all routers together, 0 for none.  PHASE is a
   random number in [0, 1).  Ignored when a newer statement is known, or an
   earlier incarnation made it.  */
void mq_upstream_apply_limit (mq_upstream *upstream, double per_s,
                              uint64_t at_us, mq_finding_source by,
                              double phase);

/* Note that UPSTREAM rejected a request and accepts nothing from this router
   for DURATION_US.  */
void mq_upstream_apply_rest (mq_upstream *upstream, uint64_t duration_us,
                             uint64_t now_us);
/* Returns true while it accepts nothing from this router.  */
bool mq_upstream_is_resting (const mq_upstream *upstream, uint64_t now_us);

/* An engine with at least this slowdown counts as slow.  */
#define MQ_UPSTREAM_SLOW_FACTOR 1.5

/* The slowdown of UPSTREAM: the factor by which it is slower than its card's
   nominal speed; at least 1, and 1 when unknown.  */
double mq_upstream_slowdown (const mq_upstream *upstream, uint64_t now_us);
/* Returns true if other routers need to know the slowdown of UPSTREAM: it is
   known and slower than its card's nominal speed.  */
bool mq_upstream_slowdown_is_news (const mq_upstream *upstream,
                                   uint64_t now_us);
/* Note that UPSTREAM itself reported SLOWDOWN.  */
void mq_upstream_set_slowdown (mq_upstream *upstream, double slowdown,
                               uint64_t now_us);

/* Note the SLOWDOWN that the router BY reported, valid for DURATION_US more.
   Ignored while a slowdown is already known.  */
void mq_upstream_apply_peer_slowdown (mq_upstream *upstream, double slowdown,
                                      uint64_t duration_us,
                                      mq_finding_source by, uint64_t now_us);

/* The number of layers that take memory on UPSTREAM.  Layers that an engine
   releases stay in memory until the requests that pass through them ended.  */
unsigned mq_upstream_resident_layers (const mq_upstream *upstream,
                                      uint64_t now_us);

/* Note that UPSTREAM runs a request that was sent at SENT_US.  This ends the
   pause after a rejection if that was earlier.  */
void mq_upstream_accepted (mq_upstream *upstream, uint64_t sent_us);
/* Note that a request sent at SENT_US succeeded.  This ends an ejection.  */
void mq_upstream_succeeded (mq_upstream *upstream, uint64_t sent_us);
/* Note that UPSTREAM itself answered a call of this router.  */
void mq_upstream_answered (mq_upstream *upstream);
/* Note that UPSTREAM left a call of this router for control unanswered.  */
void mq_upstream_unanswered (mq_upstream *upstream);
/* Note that nothing listened at the address of UPSTREAM when this router
   called it for control.  Ejects it, at the first time if it never answered.
 */
void mq_upstream_refused (mq_upstream *upstream, uint64_t now_us);
/* Note a failure that counts against UPSTREAM: a timeout, a broken connection
   or an invalid response.  Consecutive failures eject it.  */
void mq_upstream_failed (mq_upstream *upstream, uint64_t now_us);
/* Note that UPSTREAM rejected a request at once, since it is short of memory,
   releases layers or is about to drain.  It stays usable for the requests that
   it runs and for layer plans, but gets no new work for a pause that doubles
   with each further rejection.  A single rejection is not reported to peers.
   */
void mq_upstream_rejected (mq_upstream *upstream, uint64_t now_us);
/* How long UPSTREAM gets no new work, as it rejected repeatedly all that this
   router sent; 0 after a single rejection, which may only mean that it is
   momentarily full, or after an accepted request.  */
uint64_t mq_upstream_rejecting_us (const mq_upstream *upstream,
                                   uint64_t now_us);
/* Note that the router BY found UPSTREAM to reject all work for DURATION_US
   more.  Ignored when UPSTREAM recently accepted a request of this router.  */
void mq_upstream_apply_peer_rejecting (mq_upstream *upstream,
                                       uint64_t duration_us,
                                       mq_finding_source by, uint64_t now_us);
/* Note that UPSTREAM refused a connection, which means that nothing listens at
   its address.  Consecutive ones eject it and are reported to peers.  */
void mq_upstream_unreachable (mq_upstream *upstream, uint64_t now_us);
/* Withdraw all that failed connections of this router said against UPSTREAM:
   the router's own links were at fault.  Peers' findings stay.  */
void mq_upstream_retract_failures (mq_upstream *upstream);
/* Eject UPSTREAM, which is known to be down, for at least DURATION_US.  */
void mq_upstream_eject (mq_upstream *upstream, uint64_t now_us,
                        uint64_t duration_us);
/* Eject UPSTREAM for at least DURATION_US, as the router BY reported.  Ignored
   when a request refuted this report since.  */
void mq_upstream_apply_peer_ejection (mq_upstream *upstream,
                                      uint64_t duration_us,
                                      mq_finding_source by, uint64_t now_us);
/* Eject UPSTREAM for at least MIN_US, since another engine reported it as
   faulty; each time twice as long until a request through it succeeds.  Unlike
   failures of this router's own links, such a finding is reported to peers. */
void mq_upstream_reported_down (mq_upstream *upstream, uint64_t now_us,
                                uint64_t min_us);

G_END_DECLS

#endif
