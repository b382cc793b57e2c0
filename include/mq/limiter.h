/* The limiter: what an organisation may use over the whole fleet.

   Pure: it takes typed events with the time passed in and returns typed
   actions; no I/O, clock, global or random source inside.

   Two parts in one object.  As a *holder*, an entry router admits requests of
   an organisation against a share of its limits: a rate of requests, a rate
   of tokens and a number of permits for requests at once, each until an
   expiry.  As an *owner* (mq/fleet.h says who that is), a router hands out
   shares by demand, so that what is out never sums to more than the limit.
   A share lasts some seconds, so the messages do not grow with the requests;
   docs/design/fleet.md weighs this against asking for each request.

   A holder without a share waits a few milliseconds for one and then goes by
   a conservative part of the limit.  An owner of a region of which some
   members are out of sight keeps back their part: on both sides of a
   partition together no more than the limit is handed out.

   Error, stated and tested: over any time w an organisation of limit r gets
   at most r * (w + 1 s) requests, plus one for each router that serves it;
   tokens the same; and at most one permit too many for each router while
   owners change, for MQ_LIMITER_SETTLE_US after the change.  */

#ifndef MQ_LIMITER_H
#define MQ_LIMITER_H

#include <glib.h>
#include <mq/config.h>

G_BEGIN_DECLS

/* How long shares last: when much of the limit is used, and when little.  */
#define MQ_LIMITER_SHORT_LIFETIME_US (UINT64_C (2) * 1000 * 1000)
#define MQ_LIMITER_LONG_LIFETIME_US (UINT64_C (4) * 1000 * 1000)
/* After so long an owner knows of every share that is out.  */
#define MQ_LIMITER_SETTLE_US MQ_LIMITER_LONG_LIFETIME_US
/* How long a request waits for a share.  */
#define MQ_LIMITER_MAX_WAIT_US (UINT64_C (20) * 1000)

/* A part of an organisation's limits, or what one would use.  */
typedef struct mq_share
{
  double requests_per_s;
  double tokens_per_s;
  uint32_t permits;
} mq_share;

/* What a holder tells the owner.  */
typedef struct mq_limit_request
{
  mq_span organisation;
  mq_share demand; /* Measured, refused requests included.  */
  mq_share held;   /* From an owner, not yet expired.  */
  uint32_t in_flight;
} mq_limit_request;

typedef struct mq_limit_grant
{
  mq_span organisation;
  mq_share share;
  uint64_t lifetime_us;
  bool contended; /* There is no more to be had now.  */
} mq_limit_grant;

typedef enum mq_limiter_event_kind
{
  MQ_LIMITER_CONFIG,
  MQ_LIMITER_ACQUIRE,       /* One request wants to run here.  */
  MQ_LIMITER_RELEASE,       /* It is over.  */
  MQ_LIMITER_CANCEL,        /* It is over before it was answered.  */
  MQ_LIMITER_SHARE_REQUEST, /* To us as an owner.  */
  MQ_LIMITER_SHARE_GRANT,   /* From the owner.  */
  MQ_LIMITER_MEMBERS,       /* Members came or went, or owners changed.  */
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
      uint64_t handle; /* Given back with the answer.  */
      mq_span organisation;
      uint32_t tokens; /* Asked for.  */
    } acquire;
    struct
    {
      mq_span organisation;
      uint32_t tokens_reserved;
      uint32_t tokens_used;
    } release;
    uint64_t handle; /* FORGET.  */
    struct
    {
      uint64_t holder;         /* Incarnation.  */
      uint64_t owner_since_us; /* See mq_fleet_owner_since.  */
      mq_limit_request request;
    } share_request;
    mq_limit_grant share_grant;
    struct
    {
      uint32_t live; /* Of our region, ourselves among them.  */
      uint32_t known;
    } members;
    uint64_t holder; /* HOLDER_GONE.  */
  } u;
} mq_limiter_event;

typedef enum mq_limiter_action_kind
{
  MQ_LIMITER_ALLOW,
  MQ_LIMITER_REFUSE,
  MQ_LIMITER_SEND_REQUEST, /* To the owner of the organisation; where that is
                          this router, hand it back as ASKED.  */
  MQ_LIMITER_SEND_GRANT    /* To a holder; where that is this router, hand it
                              back as GRANTED.  */
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

/* Take EVENT and append the actions it calls for to ACTIONS, a GArray of
   mq_limiter_action.  Each ACQUIRE is answered once, at the latest by the
   TICK after MQ_LIMITER_MAX_WAIT_US.  An organisation without limits is
   allowed at once and costs no message.  */
void mq_limiter_handle (mq_limiter *limiter, const mq_limiter_event *event,
                        GArray *actions);

/* When the next TICK is due; UINT64_MAX: none.  */
uint64_t mq_limiter_next_tick (const mq_limiter *limiter);

G_END_DECLS

#endif
