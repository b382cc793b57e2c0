/* The router's source of configuration: detects a higher generation, fetches
   its files, builds a snapshot and reports it.

   A few routers of a region watch the manifest.  All others poll it at a long
   interval; they learn of a new generation from the heartbeats of their peers
   and fetch it from a peer.  The platform's load thus grows with the number
   of regions, not with the number of routers.  mq/generation.h decides which
   generation to fetch and when a router is cut off; this module does the I/O.

   Objects are fetched by name, from the platform or from a peer:
   MQ_MANIFEST_OBJECT, and MQ_MANIFEST_FILE_PREFIX followed by a digest.  Each
   file is verified against its digest, so its origin need not be trusted.  A
   peer sends the manifest without its list of changes, which routers don't
   need.

   All calls run on one loop.  The sink is called from the loop, and also from
   inside the mq_config_source_ functions, but never from inside _new.  */

#ifndef MQ_CONFIG_SOURCE_H
#define MQ_CONFIG_SOURCE_H

#include <ev.h>
#include <glib.h>
#include <mq/config.h>
#include <mq/generation.h>
#include <mq/platform.h>

G_BEGIN_DECLS

typedef enum mq_config_source_event_kind
{
  MQ_CONFIG_SOURCE_APPLIED,  /* CONFIG is in force.  */
  MQ_CONFIG_SOURCE_FETCH,    /* Request the object NAME from PEER and call
                                mq_config_source_finish_fetch, but not from
                                inside the sink.  */
  MQ_CONFIG_SOURCE_REJECTED, /* GENERATION is invalid; TEXT is the reason.  */
  MQ_CONFIG_SOURCE_CUT_OFF,  /* Accept no new requests.  */
  MQ_CONFIG_SOURCE_REJOINED  /* Accept requests again.  */
} mq_config_source_event_kind;

typedef struct mq_config_source_event
{
  mq_config_source_event_kind kind;
  mq_config *config; /* Borrowed, as are the pointers below.  */
  uint64_t generation;
  uint64_t peer;    /* FETCH: from whom.  APPLIED: origin; 0: the platform.  */
  mq_span name;     /* FETCH.  */
  const char *text; /* REJECTED.  */
} mq_config_source_event;

typedef void (*mq_config_source_sink) (void *context,
                                       const mq_config_source_event *event);

typedef struct mq_config_source_options
{
  struct ev_loop *loop;
  mq_platform *platform;      /* Borrowed; must outlive the source.  */
  uint32_t seed;              /* For jitter.  */
  uint64_t watch_timeout_ms;  /* How long one watch waits; 0 means 25000.  */
  uint64_t check_interval_ms; /* Between two polls of a router that does not
                               watch, in a small fleet; 0 means 15000.  */
  uint64_t full_read_interval_ms; /* Between two unconditional reads, which
                                  detect a platform restored to an older
                                  version; 0 means 300000.  */
} mq_config_source_options;

typedef struct mq_config_source mq_config_source;

/* Creates a source, which begins to read the manifest at once.  It does not
   watch until mq_config_source_set_watching.  OPTIONS is copied.  */
mq_config_source *
mq_config_source_new (const mq_config_source_options *options,
                      mq_config_source_sink sink, void *context);
void mq_config_source_free (mq_config_source *source);

/* Watches the manifest if WATCHING is true, else polls it.  */
void mq_config_source_set_watching (mq_config_source *source, bool watching);
/* Sets the number of live routers in the region, this one included.  Above
   15, the poll interval grows in proportion, so that the total rate of polls
   stays constant.  */
void mq_config_source_set_live_count (mq_config_source *source, uint32_t live);
/* Sets the number of other known routers.  With at least one, and nothing
   received from any, the platform is polled after half of the time until this
   router counts as cut off.  */
void mq_config_source_set_peer_count (mq_config_source *source,
                                      uint32_t peers);
/* Records that PEER, which is not 0, has GENERATION in force.  */
void mq_config_source_set_peer_generation (mq_config_source *source,
                                           uint64_t peer, uint64_t generation);
/* Passes PEER's reply to a FETCH of NAME.  VALUE is borrowed; NULL means that
   PEER has no such object.  A fetch without a reply fails after a second.  */
void mq_config_source_finish_fetch (mq_config_source *source, uint64_t peer,
                                    mq_span name, mq_str *value);

/* Returns the object NAME, which a peer requested, or NULL.  Borrowed.  */
mq_str *mq_config_source_object (const mq_config_source *source, mq_span name);
/* Returns which generation is in force and why; borrowed.  */
const mq_generation *mq_config_source_state (const mq_config_source *source);

G_END_DECLS

#endif
