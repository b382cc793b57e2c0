/* Which router propagates a newer configuration or list of upstreams to one
   whose version lags.

   Any router with a newer version could send it; if all did, each of N routers
   would receive a configuration N times.  So the senders are ranked for each
   receiver by a hash that is the same on all routers.  Only the first sends at
   once; each next one does if the receiver still lags after a delay.

   The module is pure: it does no I/O, and times come in with the calls.  All
   times are in microseconds.  */

#ifndef MQ_PROPAGATION_H
#define MQ_PROPAGATION_H

#include <glib.h>
#include <mq/str.h>

G_BEGIN_DECLS

/* Whether one receiver lags in one respect, as its gossip says.  */
typedef struct mq_lag
{
  uint64_t since_us; /* When it was first seen to lag; 0: it does not.  */
  uint64_t sent_us;  /* When this router last sent to it; 0: never.  */
} mq_lag;

/* Returns the rank of OWN among itself and the N OTHERS as senders to
   RECEIVER; 0 is the first.  All are names of routers.  */
unsigned mq_propagation_rank (mq_span own, mq_span receiver,
                              const mq_span *others, size_t n);

/* How long a sender waits before it sends to a receiver that lags.  */
typedef struct mq_propagation_delays
{
  uint64_t first_us;      /* For the receiver to catch up by itself.  */
  uint64_t next_us;       /* For its gossip to show that it caught up.  */
  uint64_t not_before_us; /* Earliest time.  Gossip of others may be older than
                             this router's own update, or than its
                             reconnection to the store.  */
} mq_propagation_delays;

/* Returns true if this router, which has rank RANK for the receiver, is to
   send now, and then notes NOW_US in LAG.  LAGS: the receiver lags at
   present.  */
bool mq_propagation_is_due (mq_lag *lag, bool lags, unsigned rank,
                            mq_propagation_delays delays, uint64_t now_us);

/* Number of recent versions that are kept of a configuration.  */
#define MQ_VERSION_LOG_SIZE 64

/* Which versions this router had lately.  They distinguish a receiver whose
   gossip is older than its update from one that lacks the update, also when
   each version is soon followed by another.  */
typedef struct mq_version_log
{
  uint64_t version[MQ_VERSION_LOG_SIZE];
  uint64_t since_us[MQ_VERSION_LOG_SIZE];
  unsigned n; /* Noted in total; the newest is at N - 1, modulo the size.  */
} mq_version_log;

/* Note that this router has VERSION from NOW_US on.  */
void mq_version_log_note (mq_version_log *log, uint64_t version,
                          uint64_t now_us);
/* Returns the newest version that this router already had at US, or 0 if it
   had none or that is no longer known.  */
uint64_t mq_version_log_get (const mq_version_log *log, uint64_t us);

/* Number of recent digests that are kept of a list.  They distinguish a
   receiver that reported a recent state from one that lacks an entry.  */
#define MQ_DIGEST_LOG_SIZE 64

typedef struct mq_digest_log
{
  uint64_t digest[MQ_DIGEST_LOG_SIZE];
  uint64_t until_us[MQ_DIGEST_LOG_SIZE]; /* When it was replaced; UINT64_MAX:
                                            it was not.  */
  unsigned n; /* Noted in total; the newest is at N - 1, modulo the size.  */
} mq_digest_log;

/* Note that the list's digest is DIGEST at NOW_US.  */
void mq_digest_log_note (mq_digest_log *log, uint64_t digest, uint64_t now_us);
/* Returns true if the list had DIGEST at any time since SINCE_US.  */
bool mq_digest_log_contains (const mq_digest_log *log, uint64_t digest,
                             uint64_t since_us);

G_END_DECLS

#endif
