/* Claim logs: batch many claims into one write.

   A claim with its own object (mq/claim.h) costs one write, and the platform
   limits the rate of writes.  A claim log distributes the keys by digest over
   a fixed number of shards.  A shard is one object that lists its claims and
   is changed by conditional update; each write carries all claims that wait
   when it begins.  Expired claims are omitted from the next write, so that
   removing them costs no write.

   Any router may write any shard: exclusion relies on the version of the
   object alone.  Concurrent writers of a shard cost each other a conflict, a
   read and another write, so each shard should have one usual writer, such as
   its soft owner (mq/fleet.h).  Two writers at a time are safe.

   Invariants:
   - a claim is won only if the object is known to hold its entry, with its
     own writer id, before the timeout of the claim;
   - an entry of another writer decides a claim only if it comes from a read
     that began after the claim started, since the writer may have removed
     its entry in the meantime;
   - an entry of this router whose call did not run, or whose claim timed out,
     is omitted from the next write.

   All routers of a system must use the same form of claims and the same
   number of shards.

   The module is pure: the caller passes in the time.  One mq_claim_log is one
   shard.  The object consists of "mqclaim1" followed by 48 bytes for each
   claim, with integers in little-endian order:
     digest[16] | router:u64 | sequence:u64 | body:u64 | expires_ms:u64  */

#ifndef MQ_CLAIM_LOG_H
#define MQ_CLAIM_LOG_H

#include <glib.h>
#include <mq/claim.h>

G_BEGIN_DECLS

typedef enum mq_claim_log_action_kind
{
  MQ_CLAIM_LOG_READ,
  MQ_CLAIM_LOG_WRITE, /* Write VALUE if the object has VERSION; 0: if there is
                         no object.  */
  MQ_CLAIM_LOG_RESULT /* Report RESULT for HANDLE.  */
} mq_claim_log_action_kind;

typedef struct mq_claim_log_action
{
  mq_claim_log_action_kind kind;
  uint32_t step;          /* For READ and WRITE: repeated in the reply.  */
  uint64_t version;       /* For WRITE.  */
  mq_str *value;          /* For WRITE; owned by the action.  */
  uint64_t handle;        /* For RESULT.  */
  mq_claim_result result; /* For RESULT.  */
} mq_claim_log_action;

typedef struct mq_claim_log_options
{
  uint64_t router;     /* Incarnation of this process.  */
  uint64_t give_up_us; /* Timeout after which a claim is unavailable.  */
  uint64_t retry_us;   /* Pause after a failed read or write.  */
  uint64_t linger_us;  /* Minimum interval between two writes.  */
  uint64_t skew_ms;    /* Maximum difference between two wall clocks.  */
  size_t limit_bytes;  /* Maximum size of the object; claims that do not fit
                          are unavailable.  */
  uint32_t waiting;    /* Maximum claims that wait; further are
                          unavailable.  */
} mq_claim_log_options;

typedef struct mq_claim_log mq_claim_log;

/* Returns the shard, out of N, of KEY of ORGANISATION.  */
uint32_t mq_claim_log_shard (mq_span organisation, mq_span key, uint32_t n);

mq_claim_log *mq_claim_log_new (const mq_claim_log_options *options);
void mq_claim_log_free (mq_claim_log *log);

/* Returns a new empty GArray of mq_claim_log_action, which clears elements
   when they are removed.  */
GArray *mq_claim_log_actions_new (void);

/* Handle EVENT and append the resulting actions to ACTIONS.  The events are
   those of mq/claim.h; the claim number of a REPLY is ignored.  Each START
   leads to exactly one RESULT, in the same call or a later one.  */
void mq_claim_log_handle (mq_claim_log *log, const mq_claims_event *event,
                          GArray *actions);

/* Returns when the next TICK is due, or UINT64_MAX if none is due.  */
uint64_t mq_claim_log_next_tick (const mq_claim_log *log);

/* Returns the number of claims in the object as last known.  */
uint32_t mq_claim_log_count (const mq_claim_log *log);

G_END_DECLS

#endif
