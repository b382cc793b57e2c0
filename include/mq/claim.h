/* Claims: how a caller's own Idempotency-Key runs at most once.

   A claim is an object of the platform that is created only if it is absent,
   under a name worked out from the organisation and the key, by a writer id
   that no other claim has.  A reply that was lost is made up for by reading
   the object back: whoever's writer id stands in it has won.  A claim that
   can't be decided in time is told as unavailable, and the call does not
   run.

   Invariants:
   - at most one claim for a name is won until it is given back or expires;
   - a claim is won only by this claim's own writer id, read from or
     acknowledged by the platform, before its time to give up;
   - a claim that was given up, or whose call did not run, is removed by its
     version, so that it never blocks the key for its whole lifetime.

   Pure: monotonic and wall time are passed in.  The wall clock is used for
   the expiry alone, which is counted in hours; the lifetime must be longer
   than the longest deadline of a call by far.

   The object is JSON:
     {"writer":"ROUTER-SEQUENCE","body":"HASH","expires_ms":N}  */

#ifndef MQ_CLAIM_H
#define MQ_CLAIM_H

#include <glib.h>
#include <mq/entry.h>
#include <mq/store.h>

G_BEGIN_DECLS

typedef enum mq_claims_event_kind
{
  MQ_CLAIMS_START,   /* Claim a key for a call.  */
  MQ_CLAIMS_REPLY,   /* The platform's reply to an action.  */
  MQ_CLAIMS_SETTLED, /* The call ended with this outcome.  */
  MQ_CLAIMS_TICK
} mq_claims_event_kind;

typedef struct mq_claims_event
{
  mq_claims_event_kind kind;
  uint64_t now_us;  /* Monotonic.  */
  uint64_t wall_ms; /* Since 1970.  */
  union
  {
    struct
    {
      uint64_t handle; /* The caller's name for it; told in the result.  */
      mq_span organisation;
      mq_span key;
      uint64_t body_hash;
      uint64_t lifetime_us;
    } start;
    struct
    {
      uint64_t claim; /* From the action.  */
      uint32_t step;  /* From the action.  */
      mq_store_reply reply;
    } reply;
    struct
    {
      uint64_t handle;
      mq_outcome outcome;
    } settled;
  } u;
} mq_claims_event;

typedef enum mq_claims_action_kind
{
  MQ_CLAIMS_CREATE, /* Write VALUE if there is no object.  */
  MQ_CLAIMS_UPDATE, /* Write VALUE if the object has VERSION.  */
  MQ_CLAIMS_READ,
  MQ_CLAIMS_DELETE, /* If the object has VERSION.  */
  MQ_CLAIMS_RESULT  /* The last word for the handle.  */
} mq_claims_action_kind;

typedef struct mq_claims_action
{
  mq_claims_action_kind kind;
  uint64_t claim;
  uint32_t step;    /* A reply to an older step is dropped.  */
  mq_str *name;     /* Owned by the action; NULL for RESULT.  */
  mq_str *value;    /* CREATE and UPDATE; owned.  */
  uint64_t version; /* UPDATE and DELETE.  */
  uint64_t handle;  /* RESULT.  */
  mq_claim_result result;
} mq_claims_action;

typedef struct mq_claims_options
{
  uint64_t router;     /* Incarnation of this process.  */
  uint64_t give_up_us; /* Until a claim is told as unavailable.  */
  uint64_t retry_us;   /* Between two tries at the platform.  */
  uint64_t late_us;    /* How late a write may still take effect.  */
  uint64_t skew_ms;    /* How far two wall clocks may lie apart.  */
  uint32_t limit;      /* Claims kept; more are told as unavailable.  */
} mq_claims_options;

typedef struct mq_claims mq_claims;

#define MQ_CLAIM_DIGEST_SIZE 32

/* A digest of KEY of ORGANISATION, the same in every router.  */
void mq_claim_digest (mq_span organisation, mq_span key,
                      unsigned char digest[MQ_CLAIM_DIGEST_SIZE]);

/* The name of the object for KEY of ORGANISATION, in place of what NAME
   held: "claims/" and a digest, so that neither stands in the platform.  */
void mq_claim_name (mq_span organisation, mq_span key, GString *name);

mq_claims *mq_claims_new (const mq_claims_options *options);
void mq_claims_free (mq_claims *claims);

/* An empty list whose elements are cleared when they are removed.  */
GArray *mq_claims_actions_new (void);

/* Take EVENT and append the actions it calls for to ACTIONS.  Each START has
   exactly one RESULT, in the same call or a later one.  */
void mq_claims_handle (mq_claims *claims, const mq_claims_event *event,
                       GArray *actions);

/* When the next TICK is due; UINT64_MAX: none.  */
uint64_t mq_claims_next_tick (const mq_claims *claims);

/* Claims kept, also those only waiting to expire.  */
uint32_t mq_claims_count (const mq_claims *claims);

G_END_DECLS

#endif
