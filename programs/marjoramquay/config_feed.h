/* Brings the configuration in force from the platform into the router.
   Internal to this program.  */

#ifndef MQ_CONFIG_FEED_H
#define MQ_CONFIG_FEED_H

#include <mq/fleet_io.h>

#include "router.h"

mq_config_feed *mq_config_feed_new (mq_router *router);
void mq_config_feed_free (mq_config_feed *feed);

/* This router has peers: pass generations on with them from now on.  FLEET is
   borrowed and must live longer.  */
void mq_config_feed_set_fleet (mq_config_feed *feed, mq_fleet_io *fleet);
/* What the fleet tells.  */
void mq_config_feed_on_fleet (mq_config_feed *feed,
                              const mq_fleet_io_event *event);

#endif
