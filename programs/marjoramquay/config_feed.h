/* Brings the configuration in force from the platform into the router.
   Internal to this program.  */

#ifndef MQ_CONFIG_FEED_H
#define MQ_CONFIG_FEED_H

#include "router.h"

mq_config_feed *mq_config_feed_new (mq_router *router);
void mq_config_feed_free (mq_config_feed *feed);

#endif
