/* Claims: run a call with an Idempotency-Key at most once.

   A claim is an object in the platform's store that is created only if it is
   absent.  Its name is derived from the organisation and the key; its value
   holds a writer id that is unique to the claim.  If the reply to a write is
   lost, the object is read back, and the claim whose writer id it holds has
   won.  A claim that is not decided in time is reported as unavailable, and
   the call does not run.

   Invariants:
   - at most one claim for a name is won until it is removed or expires;
   - a claim is won only if its own writer id was read from or acknowledged
     by the platform before its timeout;
   - a claim that timed out, or whose call did not run, is deleted at its
     version, so that it does not block the key for its whole lifetime.

   The module is pure: the caller passes in monotonic and wall time.  The wall
   clock is used for the expiry only, which is in hours; the lifetime must be
   much longer than the longest deadline of a call.

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
  MQ_CLAIMS_START,   /* Begin a claim of a key for a call.  */
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
      uint64_t handle; /* Chosen by the caller; repeated in the result.  */
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
  MQ_CLAIMS_DELETE, /* Delete the object if it has VERSION.  */
  MQ_CLAIMS_RESULT  /* Report RESULT for HANDLE.  */
} mq_claims_action_kind;

typedef struct mq_claims_action
{
  mq_claims_action_kind kind;
  uint64_t claim;
  uint32_t step;    /* Repeated in the reply; older steps are dropped.  */
  mq_str *name;     /* Owned by the action; NULL for RESULT.  */
  mq_str *value;    /* For CREATE and UPDATE; owned by the action.  */
  uint64_t version; /* For UPDATE and DELETE.  */
  uint64_t handle;  /* For RESULT.  */
  mq_claim_result result; /* For RESULT.  */
} mq_claims_action;

typedef struct mq_claims_options
{
  uint64_t router;     /* Incarnation of this process.  */
  uint64_t give_up_us; /* Timeout after which a claim is unavailable.  */
  uint64_t retry_us;   /* Pause between two requests to the platform.  */
  uint64_t late_us;    /* Maximum delay until a sent write takes effect.  */
  uint64_t skew_ms;    /* Maximum difference between two wall clocks.  */
  uint32_t limit;      /* Maximum claims kept; further are unavailable.  */
} mq_claims_options;

typedef struct mq_claims mq_claims;

#define MQ_CLAIM_DIGEST_SIZE 32

/* Compute the digest of KEY of ORGANISATION, which is the same in every
   router.  */
void mq_claim_digest (mq_span organisation, mq_span key,
                      unsigned char digest[MQ_CLAIM_DIGEST_SIZE]);

/* Set NAME to the object name for KEY of ORGANISATION: "claims/" and a
   digest, so that the store holds neither in clear text.  */
void mq_claim_name (mq_span organisation, mq_span key, GString *name);

mq_claims *mq_claims_new (const mq_claims_options *options);
void mq_claims_free (mq_claims *claims);

/* Returns a new empty GArray of mq_claims_action, which clears elements when
   they are removed.  */
GArray *mq_claims_actions_new (void);

/* Handle EVENT and append the resulting actions to ACTIONS.  Each START leads
   to exactly one RESULT, in the same call or a later one.  */
void mq_claims_handle (mq_claims *claims, const mq_claims_event *event,
                       GArray *actions);

/* Returns when the next TICK is due, or UINT64_MAX if none is due.  */
uint64_t mq_claims_next_tick (const mq_claims *claims);

/* Returns the number of claims kept, including those that wait to expire.  */
uint32_t mq_claims_count (const mq_claims *claims);

G_END_DECLS

#endif
