/* Follows the configuration in force, from the platform or from peers, and
   applies it to the router.

   Internal to this program.  */

#ifndef MQ_CONFIG_FEED_H
#define MQ_CONFIG_FEED_H

#include <mq/fleet_io.h>

#include "router.h"

mq_config_feed *mq_config_feed_new (mq_router *router);
void mq_config_feed_free (mq_config_feed *feed);

/* Starts to exchange configuration generations with the peers of FLEET, which
   is borrowed and must outlive FEED.  */
void mq_config_feed_set_fleet (mq_config_feed *feed, mq_fleet_io *fleet);
/* Handles an event of the fleet; ignored before mq_config_feed_set_fleet.  */
void mq_config_feed_on_fleet (mq_config_feed *feed,
                              const mq_fleet_io_event *event);

#endif
