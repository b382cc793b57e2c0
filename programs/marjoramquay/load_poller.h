/* Asks engines for their load and their cache events, one engine after the
   other, within a byte budget.  Internal to this program.  */

#ifndef MQ_LOAD_POLLER_H
#define MQ_LOAD_POLLER_H

#include "router.h"

mq_load_poller *mq_load_poller_new (mq_router *router);
void mq_load_poller_free (mq_load_poller *loads);

/* A configuration is in force: ask the engines that it names.  */
void mq_load_poller_apply_config (mq_load_poller *loads, mq_config *config);

/* Ask ENGINE next, whoever's turn it is: it has just come to hold other
   layers.  */
void mq_load_poller_poll_next (mq_load_poller *loads, mq_str *engine);

#endif
