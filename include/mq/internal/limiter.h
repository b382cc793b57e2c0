/* Internal to the limiter: shared by limiter.c, limit_holder.c and
   limit_owner.c, and by nobody else.  */

#ifndef MQ_INTERNAL_LIMITER_H
#define MQ_INTERNAL_LIMITER_H

#include <mq/limiter.h>

G_BEGIN_DECLS

/* What an entry holds of one organisation's limits.  Plain memory of the
   organisation; see limit_holder.c.  */
typedef struct limit_holder
{
  mq_share share; /* Granted; void after UNTIL_US.  */
  uint64_t until_us;
  uint64_t renew_us; /* When to ask for the next; UINT64_MAX: when the next
                        request comes.  */
  bool contended;
  double requests; /* Levels of the two buckets.  */
  double tokens;
  uint64_t filled_us;
  uint32_t in_flight;
  uint64_t requested_us; /* 0: never.  */
  uint64_t granted_us;   /* The last grant.  */
  uint64_t window_us;    /* Start of the window that measures demand.  */
  mq_share seen;         /* In this window; the rates are counts.  */
  mq_share demand;       /* Of the last window, a second.  */
  GQueue waiting;        /* of limit_waiting, owned  */
} limit_holder;

/* Shares that an owner has handed out of one organisation's limits.  */
typedef struct limit_owner
{
  GArray *allocations; /* of limit_allocation; NULL until the first ask  */
} limit_owner;

/* The parts of the fleet that the two need.  */
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
  bool active; /* In the limiter's list of holders with work to do.  */
} limit_organisation;

/* A part of LIMITS.  */
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
/* When the holder wants a tick; UINT64_MAX: it has nothing to do.  */
uint64_t limit_holder_next_tick (const limit_organisation *o);

void limit_owner_init (limit_owner *owner);
void limit_owner_finish (limit_owner *owner);
void limit_owner_on_request (limit_organisation *o,
                             const limit_members *members,
                             const mq_limiter_event *event, GArray *actions);
void limit_owner_remove_holder (limit_organisation *o, uint64_t holder);

G_END_DECLS

#endif
