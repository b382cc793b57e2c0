/* Asks engines for their load and their cache events, one engine after the
   other, within a byte budget.  Internal to this program.  */

#ifndef MQ_LOADS_H
#define MQ_LOADS_H

#include "router.h"

mq_loads *mq_loads_new (mq_router *router);
void mq_loads_free (mq_loads *loads);

/* A configuration is in force: ask the engines that it names.  */
void mq_loads_take_config (mq_loads *loads, mq_config *config);

/* Ask ENGINE next, whoever's turn it is: it has just come to hold other
   layers.  */
void mq_loads_ask_soon (mq_loads *loads, mq_str *engine);

#endif
