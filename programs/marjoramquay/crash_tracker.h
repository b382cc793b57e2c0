/* Tracks upstreams that crash while they run requests, and quarantines the
   requests suspected of the crashes (mq/quarantine.h).

   When a call breaks off, its upstream is probed once.  If nothing listens
   there any more, the upstream has crashed and the call's request becomes a
   suspect.  The crash records are sent to all other routers at once, and
   resent to a few of them periodically for routers that start later.

   Internal to this program.  */

#ifndef MQ_CRASH_TRACKER_H
#define MQ_CRASH_TRACKER_H

#include <mq/entry.h>
#include <mq/peer_message.h>

#include "router.h"

mq_crash_tracker *mq_crash_tracker_new (mq_router *router);
void mq_crash_tracker_free (mq_crash_tracker *tracker);

/* Returns the quarantine, borrowed from TRACKER, for the entry to consult.  */
mq_quarantine *mq_crash_tracker_quarantine (mq_crash_tracker *tracker);
/* Carries out a MQ_ENTRY_SUSPECT action: probes the upstream of a call that
   broke off.  */
void mq_crash_tracker_suspect (mq_crash_tracker *tracker,
                               const mq_entry_action *action);
/* Merges the crash records that another router sent in MESSAGE, a
   MQ_PEER_CRASHES.  */
void mq_crash_tracker_receive (mq_crash_tracker *tracker,
                               const mq_peer_message *message);
/* Copies the counts into the router's metrics.  */
void mq_crash_tracker_update_metrics (const mq_crash_tracker *tracker);

#endif
