/* Claim logs: many claims in one write.

   A claim of its own object (mq/claim.h) costs a write each, and the
   platform takes several hundred a second.  Here the keys are spread by
   digest over a fixed number of shards; a shard is one object that lists its
   claims, changed by conditional update, and all claims that wait when a
   write begins go along in it.  Expired claims are left out of the next
   write, so they cost none.

   Any router may write any shard: exclusion comes from the object's version
   alone.  Writers that meet on a shard cost each other a conflict, a read
   and another write, so each shard should have one usual writer, such as its
   soft owner (mq/fleet.h); two for a moment do no harm.

   Invariants:
   - a claim is won only when its entry, by its own writer id, is known to
     stand in the object, before its time to give up;
   - an entry of another writer is believed only from a read that began after
     the claim was asked for; it may have been given back before;
   - an entry of this router whose call did not run, or which was given up,
     is left out of the next write.

   All routers of a system must use the same form of claims and the same
   number of shards.

   Pure: one value of this type is one shard; times are passed in.  The
   object is "mqclaim1" and then for each claim 48 bytes, integers in
   little-endian order:
     digest[16] | router:u64 | sequence:u64 | body:u64 | expires_ms:u64  */

#ifndef MQ_CLAIM_LOG_H
#define MQ_CLAIM_LOG_H

#include <glib.h>
#include <mq/claim.h>

G_BEGIN_DECLS

typedef enum mq_claim_log_action_kind
{
  MQ_CLAIM_LOG_READ,
  MQ_CLAIM_LOG_WRITE, /* If the object has VERSION; 0: if there is none.  */
  MQ_CLAIM_LOG_RESULT /* The last word for the handle.  */
} mq_claim_log_action_kind;

typedef struct mq_claim_log_action
{
  mq_claim_log_action_kind kind;
  uint32_t step;    /* READ and WRITE: to be told with the reply.  */
  uint64_t version; /* WRITE.  */
  mq_str *value;    /* WRITE; owned by the action.  */
  uint64_t handle;  /* RESULT.  */
  mq_claim_result result;
} mq_claim_log_action;

typedef struct mq_claim_log_options
{
  uint64_t router;     /* Incarnation of this process.  */
  uint64_t give_up_us; /* Until a claim is told as unavailable.  */
  uint64_t retry_us;   /* After a call that failed.  */
  uint64_t linger_us;  /* From one write to the next, at the least.  */
  uint64_t skew_ms;    /* How far two wall clocks may lie apart.  */
  size_t limit_bytes;  /* Of the object; what does not fit is unavailable. */
  uint32_t waiting;    /* Claims that wait; more are unavailable.  */
} mq_claim_log_options;

typedef struct mq_claim_log mq_claim_log;

/* The shard of KEY of ORGANISATION among N.  */
uint32_t mq_claim_log_shard (mq_span organisation, mq_span key, uint32_t n);

mq_claim_log *mq_claim_log_new (const mq_claim_log_options *options);
void mq_claim_log_free (mq_claim_log *log);

/* An empty list whose elements are cleared when they are removed.  */
GArray *mq_claim_log_actions_new (void);

/* Take EVENT, of the same form as for single claims (the claim's number of a
   REPLY is not looked at), and append the actions it calls for to ACTIONS.
   Each START has exactly one RESULT.  */
void mq_claim_log_handle (mq_claim_log *log, const mq_claims_event *event,
                          GArray *actions);

/* When the next TICK is due; UINT64_MAX: none.  */
uint64_t mq_claim_log_next_tick (const mq_claim_log *log);

/* Claims in the object as last known.  */
uint32_t mq_claim_log_count (const mq_claim_log *log);

G_END_DECLS

#endif
