/* Configuration between routers: joins mq/config_source.h with
   mq/fleet_io.h.

   It tells the source what generation each peer holds, fetches objects from
   peers and serves them, tells the region at once when a new generation is in
   force, and chooses the few routers of the region that watch the platform's
   manifest.  The user hands it every event of both sides.  */

#ifndef MQ_CONFIG_PEERS_H
#define MQ_CONFIG_PEERS_H

#include <glib.h>
#include <mq/config_source.h>
#include <mq/fleet_io.h>

G_BEGIN_DECLS

/* Routers of a region that watch the manifest.  */
#define MQ_CONFIG_WATCHERS 3

typedef struct mq_config_peers mq_config_peers;

/* Both are borrowed and must live longer.  */
mq_config_peers *mq_config_peers_new (mq_config_source *source,
                                      mq_fleet_io *fleet);
void mq_config_peers_free (mq_config_peers *peers);

/* An event of either side; what does not concern it is passed over.  */
void mq_config_peers_on_fleet (mq_config_peers *peers,
                               const mq_fleet_io_event *event);
void mq_config_peers_on_source (mq_config_peers *peers,
                                const mq_config_source_event *event);

/* Is this router one of the region's watchers?  The same on every router
   that sees the same members.  */
bool mq_config_peers_is_watcher (const mq_fleet *fleet);

G_END_DECLS

#endif
