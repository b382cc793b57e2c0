/* The limiter: enforces the limits of an organisation over the whole fleet.

   Pure: takes typed events with the time passed in and returns typed actions.
   It does no I/O and reads no clock, global or random source.

   One object has two roles.  As a holder, an entry router admits requests of
   an organisation against a share of its limits: a request rate, a token rate
   and a number of permits for concurrent requests, each until an expiry.  As
   an owner (see mq/fleet.h), a router grants shares by demand, so that the sum
   of the shares granted never exceeds the limit.  A share lasts some seconds,
   so the number of messages does not grow with the requests;
   docs/design/fleet.md compares this with a message for each request.

   A holder without a share waits a few milliseconds for one and then admits
   against a conservative part of the limit.  An owner that does not see all
   members of its region keeps back their part: both sides of a partition
   together grant no more than the limit.

   Error bound, covered by tests: over any time w an organisation of limit r
   gets at most r * (w + 1 s) requests, plus one for each router that serves
   it; the same holds for tokens; and at most one permit too many for each
   router for MQ_LIMITER_SETTLE_US after a change of owner.  */

#ifndef MQ_LIMITER_H
#define MQ_LIMITER_H

#include <glib.h>
#include <mq/config.h>

G_BEGIN_DECLS

/* Lifetime of shares while the limit is mostly in use, and else.  */
#define MQ_LIMITER_SHORT_LIFETIME_US (UINT64_C (2) * 1000 * 1000)
#define MQ_LIMITER_LONG_LIFETIME_US (UINT64_C (4) * 1000 * 1000)
/* After that time a new owner knows of every unexpired share.  */
#define MQ_LIMITER_SETTLE_US MQ_LIMITER_LONG_LIFETIME_US
#define MQ_LIMITER_MAX_WAIT_US (UINT64_C (20) * 1000)

/* A part of an organisation's limits, or a demand.  */
typedef struct mq_share
{
  double requests_per_s;
  double tokens_per_s;
  uint32_t permits;
} mq_share;

/* A holder's request for a share.  */
typedef struct mq_limit_request
{
  mq_span organisation;
  mq_share demand; /* Measured, refused requests included.  */
  mq_share held;   /* Granted by an owner and not expired.  */
  uint32_t in_flight;
} mq_limit_request;

typedef struct mq_limit_grant
{
  mq_span organisation;
  mq_share share;
  uint64_t lifetime_us;
  bool contended; /* The demand exceeds the limit.  */
} mq_limit_grant;

typedef enum mq_limiter_event_kind
{
  MQ_LIMITER_CONFIG,
  MQ_LIMITER_ACQUIRE,       /* A request asks to be admitted here.  */
  MQ_LIMITER_RELEASE,       /* The request has ended.  */
  MQ_LIMITER_CANCEL,        /* The request ended before it was answered.  */
  MQ_LIMITER_SHARE_REQUEST, /* To this router as an owner.  */
  MQ_LIMITER_SHARE_GRANT,   /* To this router as a holder.  */
  MQ_LIMITER_MEMBERS,       /* The number of members or the owners changed.  */
  MQ_LIMITER_HOLDER_ENDED,
  MQ_LIMITER_TICK
} mq_limiter_event_kind;

typedef struct mq_limiter_event
{
  mq_limiter_event_kind kind;
  uint64_t now_us; /* Monotonic.  */
  union
  {
    mq_config *config; /* Borrowed.  */
    struct
    {
      uint64_t handle; /* Returned with the answer.  */
      mq_span organisation;
      uint32_t tokens; /* Maximum of tokens of the request.  */
    } acquire;
    struct
    {
      mq_span organisation;
      uint32_t tokens_reserved;
      uint32_t tokens_used;
    } release;
    uint64_t handle; /* CANCEL.  */
    struct
    {
      uint64_t holder;         /* Incarnation.  */
      uint64_t owner_since_us; /* See mq_fleet_owner_since.  */
      mq_limit_request request;
    } share_request;
    mq_limit_grant share_grant;
    struct
    {
      uint32_t live; /* Of our region, this router included.  */
      uint32_t known;
    } members;
    uint64_t holder; /* HOLDER_ENDED.  */
  } u;
} mq_limiter_event;

typedef enum mq_limiter_action_kind
{
  MQ_LIMITER_ALLOW,
  MQ_LIMITER_REFUSE,
  MQ_LIMITER_SEND_REQUEST, /* To the owner of the organisation; if that is this
                              router, hand it back as SHARE_REQUEST.  */
  MQ_LIMITER_SEND_GRANT /* To a holder; if that is this router, hand it back as
                           SHARE_GRANT.  */
} mq_limiter_action_kind;

/* Spans are borrowed from the limiter until its next CONFIG.  */
typedef struct mq_limiter_action
{
  mq_limiter_action_kind kind;
  union
  {
    struct
    {
      uint64_t handle;
      uint64_t retry_after_us; /* REFUSE.  */
    } answer;
    mq_limit_request request;
    struct
    {
      uint64_t holder;
      mq_limit_grant grant;
    } grant;
  } u;
} mq_limiter_action;

typedef struct mq_limiter mq_limiter;

mq_limiter *mq_limiter_new (void);
void mq_limiter_free (mq_limiter *limiter);

/* Handles EVENT and appends the resulting actions to ACTIONS, a GArray of
   mq_limiter_action.  Each ACQUIRE is answered once, at the latest by the TICK
   after MQ_LIMITER_MAX_WAIT_US.  An organisation without limits is allowed
   immediately and causes no message.  */
void mq_limiter_handle (mq_limiter *limiter, const mq_limiter_event *event,
                        GArray *actions);

/* Returns the time of the next MQ_LIMITER_TICK; UINT64_MAX: none.  */
uint64_t mq_limiter_next_tick (const mq_limiter *limiter);

G_END_DECLS

#endif
