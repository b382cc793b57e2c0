/* Polls engines for their load and their cache events, one engine at a time,
   within a bandwidth budget.

   Internal to this program.  */

#ifndef MQ_LOAD_POLLER_H
#define MQ_LOAD_POLLER_H

#include "router.h"

mq_load_poller *mq_load_poller_new (mq_router *router);
void mq_load_poller_free (mq_load_poller *poller);

/* Polls the engines of CONFIG from now on.  Takes a new reference to
   CONFIG.  */
void mq_load_poller_apply_config (mq_load_poller *poller, mq_config *config);

/* Polls ENGINE next, out of turn, since the layers that it holds have changed.
   Takes a new reference to the name ENGINE.  */
void mq_load_poller_poll_next (mq_load_poller *poller, mq_str *engine);

#endif
