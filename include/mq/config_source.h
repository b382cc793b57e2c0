/* The router's side of the configuration: finds a higher generation, fetches
   its files, builds the snapshot and hands it over.

   A few routers of a region watch the manifest; all others look at it seldom
   and learn of a new generation from their peers' heartbeats, and fetch it
   from them.  So the platform's load grows with the regions, not with the
   routers.  What to take, and when a router is cut off, is decided by
   mq/generation.h; this is the I/O around it.

   Objects are fetched by name, from the platform or a peer alike:
   MQ_MANIFEST_OBJECT, and MQ_MANIFEST_FILE_PREFIX with a digest.  A file is
   checked against its digest, so it matters not who gave it.  A peer gives
   the manifest without its list of changes, which routers don't need.

   All on one loop; the sink is called from the loop, and also from inside
   the mq_config_source_ functions, but never from inside _new.  */

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
  MQ_CONFIG_SOURCE_FETCH,    /* Ask PEER for the object NAME and answer by
                                mq_config_source_finish_fetch, not from inside the
                                sink.  */
  MQ_CONFIG_SOURCE_REJECTED, /* GENERATION can't be used; TEXT says why.  */
  MQ_CONFIG_SOURCE_CUT_OFF,  /* Take no new work.  */
  MQ_CONFIG_SOURCE_REJOINED  /* Take work again.  */
} mq_config_source_event_kind;

typedef struct mq_config_source_event
{
  mq_config_source_event_kind kind;
  mq_config *config; /* Borrowed, like all below.  */
  uint64_t generation;
  uint64_t peer;
  mq_span name;
  const char *text;
} mq_config_source_event;

typedef void (*mq_config_source_sink) (void *context,
                                       const mq_config_source_event *event);

typedef struct mq_config_source_options
{
  struct ev_loop *loop;
  mq_platform *platform;      /* Borrowed; must live longer.  */
  uint32_t seed;              /* For jitter.  */
  uint64_t watch_timeout_ms;  /* How long one watch waits; 0: 25000.  */
  uint64_t check_interval_ms; /* Between two looks of one that does not watch,
                        in a small fleet; 0: 15000.  */
  uint64_t full_read_interval_ms; /* Between two reads whatever the version, to
                       notice a platform that was set back; 0: 300000.  */
} mq_config_source_options;

typedef struct mq_config_source mq_config_source;

/* A new source, which begins to read the manifest at once.  It does not
   watch until told to.  */
mq_config_source *
mq_config_source_new (const mq_config_source_options *options,
                      mq_config_source_sink sink, void *context);
void mq_config_source_free (mq_config_source *source);

/* Watch the manifest, or look at it now and then.  */
void mq_config_source_set_watching (mq_config_source *source, bool watching);
/* How many routers of our region are live, ourselves among them.  Above 15,
   one that does not watch looks the more seldom the more there are, so that
   the looks of all together stay the same.  */
void mq_config_source_set_live_count (mq_config_source *source, uint32_t live);
/* How many other routers there should be.  Where there are any and none is
   heard, the platform is asked half-way to being cut off.  */
void mq_config_source_set_peer_count (mq_config_source *source,
                                      uint32_t peers);
/* PEER (not 0) was heard and holds GENERATION.  */
void mq_config_source_set_peer_generation (mq_config_source *source,
                                           uint64_t peer, uint64_t generation);
/* PEER's answer to a FETCH of NAME; NULL when it has no such object or does
   not answer.  The source waits a second for it.  */
void mq_config_source_finish_fetch (mq_config_source *source, uint64_t peer,
                                    mq_span name, mq_str *value);

/* The object NAME for a peer that asks, borrowed, or NULL.  */
mq_str *mq_config_source_object (const mq_config_source *source, mq_span name);
/* What is in force and why; borrowed.  */
const mq_generation *mq_config_source_state (const mq_config_source *source);

G_END_DECLS

#endif
