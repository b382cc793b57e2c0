/* Upstreams that end under requests, as this router sees and hears, and the
   quarantine that follows from them (mq/quarantine.h).

   The upstream of a call that broke off is tried once: when nothing listens
   there any more, the call stood at its end.  Other routers are told at once,
   and a few of them again and again, so that those that start later learn it
   too.

   Internal to this program.  */

#ifndef MQ_CRASH_TRACKER_H
#define MQ_CRASH_TRACKER_H

#include <mq/entry.h>
#include <mq/peer_message.h>

#include "router.h"

mq_crash_tracker *mq_crash_tracker_new (mq_router *router);
void mq_crash_tracker_free (mq_crash_tracker *ends);

/* Borrowed: for the entry.  */
mq_quarantine *mq_crash_tracker_quarantine (mq_crash_tracker *ends);
/* Carry out a MQ_ENTRY_SUSPECT.  */
void mq_crash_tracker_suspect (mq_crash_tracker *ends,
                               const mq_entry_action *action);
/* Another router tells of ends.  */
void mq_crash_tracker_receive (mq_crash_tracker *ends,
                               const mq_peer_message *message);
/* Bring the metrics up to date.  */
void mq_crash_tracker_update_metrics (const mq_crash_tracker *ends);

#endif
