/* Exchange of configuration between routers: connects mq/config_source.h with
   mq/fleet_io.h.

   This module reports the generation of each peer to the source, fetches
   objects from peers, serves objects to them, and announces each new
   generation to the region.  It also decides whether this router is one of
   the few in the region that watch the platform's manifest.  The caller
   forwards every event of both sides to it.  */

#ifndef MQ_CONFIG_PEERS_H
#define MQ_CONFIG_PEERS_H

#include <glib.h>
#include <mq/config_source.h>
#include <mq/fleet_io.h>

G_BEGIN_DECLS

/* How many routers of a region watch the manifest.  */
#define MQ_CONFIG_WATCHERS 3

typedef struct mq_config_peers mq_config_peers;

/* SOURCE and FLEET are borrowed and must outlive the result.  */
mq_config_peers *mq_config_peers_new (mq_config_source *source,
                                      mq_fleet_io *fleet);
void mq_config_peers_free (mq_config_peers *peers);

/* Handle an event of either side; irrelevant events are ignored.  */
void mq_config_peers_on_fleet (mq_config_peers *peers,
                               const mq_fleet_io_event *event);
void mq_config_peers_on_source (mq_config_peers *peers,
                                const mq_config_source_event *event);

/* Returns true if this router is one of its region's watchers.  Routers with
   the same list of members agree on the watchers.  */
bool mq_config_peers_is_watcher (const mq_fleet *fleet);

G_END_DECLS

#endif
