/* Internal to the limiter: shared by limiter.c, limit_holder.c and
   limit_owner.c only.  */

#ifndef MQ_INTERNAL_LIMITER_H
#define MQ_INTERNAL_LIMITER_H

#include <mq/limiter.h>

G_BEGIN_DECLS

/* What an entry holds of one organisation's limits; see limit_holder.c.  */
typedef struct limit_holder
{
  mq_share share; /* Granted; invalid after UNTIL_US.  */
  uint64_t until_us;
  uint64_t renew_us; /* When to request the next; UINT64_MAX: with the next
                        ACQUIRE.  */
  bool contended;
  double requests; /* Levels of the two token buckets.  */
  double tokens;
  uint64_t filled_us;
  uint32_t in_flight;
  uint64_t requested_us; /* Last request for a share; 0: never.  */
  uint64_t granted_us;   /* Last grant received.  */
  uint64_t window_us;    /* Start of the window that measures demand.  */
  mq_share seen;         /* In this window; the rates hold counts.  */
  mq_share demand;       /* Of the last window, per second.  */
  GQueue waiting;        /* of limit_waiting, owned  */
} limit_holder;

/* Shares that an owner has granted of one organisation's limits.  */
typedef struct limit_owner
{
  GArray *allocations; /* of limit_allocation; NULL until the first request  */
} limit_owner;

/* Member counts of our region, as in MQ_LIMITER_MEMBERS.  */
typedef struct limit_members
{
  uint32_t live;
  uint32_t known;
} limit_members;

typedef struct limit_organisation
{
  mq_str *name;
  mq_limits limits;
  limit_holder holder;
  limit_owner owner;
  bool active; /* In the limiter's list of holders that need a tick.  */
} limit_organisation;

/* Returns the fraction PART of LIMITS.  */
mq_share limit_fraction (const mq_limits *limits, double part);

void limit_holder_init (limit_holder *holder);
void limit_holder_finish (limit_holder *holder);
void limit_holder_acquire (limit_organisation *o, const limit_members *members,
                           const mq_limiter_event *event, GArray *actions);
void limit_holder_release (limit_organisation *o,
                           const mq_limiter_event *event);
void limit_holder_cancel (limit_organisation *o, uint64_t handle);
void limit_holder_on_grant (limit_organisation *o,
                            const limit_members *members,
                            const mq_limiter_event *event, GArray *actions);
void limit_holder_tick (limit_organisation *o, const limit_members *members,
                        uint64_t now, GArray *actions);
/* Returns the time of the holder's next tick; UINT64_MAX: none.  */
uint64_t limit_holder_next_tick (const limit_organisation *o);

void limit_owner_init (limit_owner *owner);
void limit_owner_finish (limit_owner *owner);
void limit_owner_on_request (limit_organisation *o,
                             const limit_members *members,
                             const mq_limiter_event *event, GArray *actions);
void limit_owner_remove_holder (limit_organisation *o, uint64_t holder);

G_END_DECLS

#endif
