/* Upstreams as the routing face knows them: one record for each id of a model
   engine or of a plain service's instance.  One that starts again under its id
   holds nothing, and nothing that was seen of it before counts.

   A record holds what the platform tells of the upstream and what this
   router has seen of it.  It is counted by reference: a request in flight
   keeps the record of its upstream after that has left the registry.  */

#ifndef MQ_UPSTREAM_H
#define MQ_UPSTREAM_H

#include <glib.h>
#include <mq/str.h>

G_BEGIN_DECLS

/* What the platform tells.  Strings are owned by whoever holds the fact.  */
typedef struct mq_upstream_facts
{
  mq_str *id;           /* Of this incarnation.  */
  mq_str *service;      /* Name of the service.  */
  mq_str *address;      /* IP:PORT.  */
  mq_str *domain;       /* Failure domain.  */
  mq_str *card;         /* Kind of accelerator, or NULL.  */
  unsigned layer_first; /* Layers held: [first, end); equal when none.  */
  unsigned layer_end;
  uint64_t born_ms; /* When it started, by its own clock; 0: not told.  Another
                       time under the same id is another start.  */
  bool draining;
} mq_upstream_facts;

/* Who found something out about an upstream.  */
typedef struct mq_finding_source
{
  uint64_t router; /* Hash of its name; 0: this router itself.  */
  bool elsewhere;  /* It came from another failure domain.  */
} mq_finding_source;

typedef struct mq_upstream
{
  unsigned refs;
  mq_upstream_facts facts;
  bool listed; /* Still in the registry.  */
  bool ended;  /* Nothing listened there any more, or it fell silent.  */
  /* What this router has seen.  */
  unsigned in_flight;        /* Requests, as the first of a path or alone.  */
  uint64_t last_used_us;     /* Last send on a path through it; 0: none.  */
  unsigned failures;         /* In a row.  */
  uint64_t ejected_until_us; /* Not chosen before; 0 when sound.  */
  uint64_t
      reported_down_until_us; /* The same, where engines themselves say so.  */
  uint64_t ejection_duration_us;  /* How long it was last ejected.  */
  uint64_t peer_ejected_until_us; /* Others say that it is to be passed over up
                             to then ... */
  mq_finding_source peer_ejection_source; /* ... and this one does.  */
  uint64_t peer_ejection_refuted_us; /* What others said of it up to then is
                          not so: a request through it ended well.  */
  double pace;                /* 1: as fast as its card; 0: not told.  */
  uint64_t slowdown_until_us; /* That long the pace counts.  */
  mq_finding_source slowdown_source; /* Who asked the engine for it.  */
  uint64_t reported_us;              /* When it was last asked how it does.  */
  uint64_t probed_us;          /* Last probe of a path that begins there.  */
  uint64_t saturated_until_us; /* Work waits there: nothing new before.  */
  uint64_t rejected_us; /* When it last turned a request away, alive.  */
  uint64_t rejecting_duration_us; /* For so long after it gets none.  */
  uint64_t rejecting_since_us;    /* All that was sent since was rejected.  */
  uint64_t accepted_us; /* When the last was sent that it took; 0: none.  */
  uint64_t peer_rejecting_until_us; /* Others say that it gets none up to then
                                       ... */
  mq_finding_source peer_rejecting_source; /* ... and this one does.  */
  unsigned retained_layers;   /* It held so many until lately ...  */
  uint64_t retained_until_us; /* ... and their memory is free by then.  */
  uint64_t orders; /* Accepted by this incarnation, as far as known.  */
  uint64_t platform_layers_us; /* When the platform told of other layers.  */
  uint64_t orders_unknown_since_us; /* Since when the count of orders is in
                                       doubt.  */
  bool orders_unknown; /* An order's fate is open: ask before the next.  */
  bool orders_report_pending; /* A report of that is under way.  */
  bool stall_report_pending;  /* A report about its requests' silence is.  */
  uint64_t ordered_us;        /* Last order sent by this router.  */
  uint64_t no_order_until_us; /* No order before: it refused one.  */
  unsigned ordered_first;     /* What that order asked for.  */
  unsigned ordered_end;
} mq_upstream;

/* The upstreams of one service in one failure domain.  */
typedef struct mq_upstream_group
{
  mq_str *domain;       /* One reference, as for each upstream.  */
  GPtrArray *upstreams; /* mq_upstream, sorted by id.  */
} mq_upstream_group;

/* All upstreams by id.  */
typedef struct mq_registry
{
  GHashTable *by_id; /* Id -> mq_upstream, one reference each.  */
  uint64_t
      last_added_us;  /* When an upstream was last seen for the first time. */
  GHashTable *groups; /* Service -> GPtrArray of mq_upstream_group.  */
  uint64_t indexed_change; /* The change that the groups are of.  */
  uint64_t change; /* Grows whenever the choice of paths may differ.  */
} mq_registry;

void mq_upstream_facts_finish (mq_upstream_facts *facts);

mq_upstream *mq_upstream_ref (mq_upstream *upstream);
void mq_upstream_unref (mq_upstream *upstream);

void mq_registry_init (mq_registry *registry);
void mq_registry_finish (mq_registry *registry);

/* Take FACTS, which become the registry's and are empty afterwards.  */
void mq_registry_put (mq_registry *registry, mq_upstream_facts *facts,
                      uint64_t now_us);
/* What an engine reports was true so long ago, at most: twice the usual lag of
   reports.  */
#define MQ_UPSTREAM_MAX_REPORT_LAG_US ((uint64_t)400 * 1000)

/* UPSTREAM holds layers [FIRST, END), as it reports itself.  Returns true when
   that is news, and false also when the platform told of other layers within
   the lag of a report.  */
bool mq_registry_set_layers (mq_registry *registry, mq_upstream *upstream,
                             unsigned first, unsigned end, uint64_t now_us);
/* The upstream of that id has left.  Unknown ids are passed over.  */
void mq_registry_remove (mq_registry *registry, mq_span id);
/* Drop all whose ids are not in KEEP, a set of C strings.  */
void mq_registry_retain (mq_registry *registry, GHashTable *keep);

/* Borrowed; NULL when unknown.  */
mq_upstream *mq_registry_find (const mq_registry *registry, mq_span id);
mq_upstream *mq_registry_find_address (const mq_registry *registry,
                                       mq_span address);

/* The groups of SERVICE, sorted by domain: mq_upstream_group.  Borrowed until
   the registry changes; NULL when it has none.  Costs a look at all upstreams
   after a change, and nothing else.  */
const GPtrArray *mq_registry_groups (mq_registry *registry, mq_span service);
/* The one of DOMAIN, or NULL.  */
const mq_upstream_group *mq_registry_group (mq_registry *registry,
                                            mq_span service, mq_span domain);

/* Is it there at NOW_US, as far as is known: neither leaving nor thought
   dead?  */
bool mq_upstream_is_usable (const mq_upstream *upstream, uint64_t now_us);
/* May new work go there: is it usable, and did it not turn any away just
   before?  */
bool mq_upstream_accepts_work (const mq_upstream *upstream, uint64_t now_us);
/* Has it refused all that came for so long that it must be leaving, though
   nobody said so?  */
bool mq_upstream_is_leaving (const mq_upstream *upstream, uint64_t now_us);

/* From here on an engine counts as slow.  */
#define MQ_UPSTREAM_SLOW_FACTOR 1.5

/* How many times slower than its card it works, as far as is known at NOW_US;
   1 at least.  */
double mq_upstream_slowdown (const mq_upstream *upstream, uint64_t now_us);
/* It said that it works PACE times slower than its card.  */
void mq_upstream_set_slowdown (mq_upstream *upstream, double pace,
                               uint64_t now_us);

/* The same, as BY found it out, for SPAN_US more; passed over while this
   router knows it.  */
void mq_upstream_apply_peer_slowdown (mq_upstream *upstream, double pace,
                                      uint64_t span_us, mq_finding_source by,
                                      uint64_t now_us);

/* Layers whose memory is taken at NOW_US.  An engine that lets layers go
   keeps them until all that passes through them has ended.  */
unsigned mq_upstream_resident_layers (const mq_upstream *upstream,
                                      uint64_t now_us);

/* It runs what was sent to it at SENT_US.  */
void mq_upstream_accepted (mq_upstream *upstream, uint64_t sent_us);
/* What became of a request: it was answered, having been sent at SENT_US; or
   it failed in a way that speaks against the upstream (silence, a broken
   connection, nonsense).  */
void mq_upstream_succeeded (mq_upstream *upstream, uint64_t sent_us);
void mq_upstream_failed (mq_upstream *upstream, uint64_t now_us);
/* It refused a request at once: short of memory, giving up layers, or about
   to leave.  It lives and may go on with what it has, so no other router and
   no plan of layers need know; new work goes elsewhere for a moment, for
   longer each time that it refuses again.  */
void mq_upstream_rejected (mq_upstream *upstream, uint64_t now_us);
/* For how long it gets nothing new, as it refused all that this router sent
   for a while; 0 when it took something since, or may only be full just now.
 */
uint64_t mq_upstream_rejecting_us (const mq_upstream *upstream,
                                   uint64_t now_us);
/* The same, for SPAN_US, as BY found out.  Passed over when this router found
   since that it takes work.  */
void mq_upstream_apply_peer_rejecting (mq_upstream *upstream, uint64_t span_us,
                                       mq_finding_source by, uint64_t now_us);
/* It refused a connection: nothing listens there.  Twice in a row, it is
   ejected, and others are told.  */
void mq_upstream_unreachable (mq_upstream *upstream, uint64_t now_us);
/* Known to be down: ejected at once for SPAN_US at least.  */
void mq_upstream_eject (mq_upstream *upstream, uint64_t now_us,
                        uint64_t span_us);
/* The same, as BY found it out; passed over where this router found since that
   it is not so.  */
void mq_upstream_apply_peer_ejection (mq_upstream *upstream, uint64_t span_us,
                                      mq_finding_source by, uint64_t now_us);
/* Another engine named it as the one at fault: ejected, longer each time
   until a request through it ends well.  Such a finding is no matter of this
   router's own links, so others are told.  */
void mq_upstream_reported_down (mq_upstream *upstream, uint64_t now_us,
                                uint64_t least_us);

G_END_DECLS

#endif
