/* The generation of the configuration that a router has in force, and whether
   it may serve with it.

   The platform and peers offer generations.  The router applies only one
   higher than its own, once its files are fetched and valid; so what is in
   force never reverts, whatever is offered.  A router without a configuration
   serves nothing.

   A router that has received neither from the platform nor from any peer for
   CUT_OFF_US is cut off: it can't know whether a change was accepted
   meanwhile.  It then takes no new work.  It resumes once it has received an
   offer again and has applied the highest generation that it knows of.  A
   router without peers is never cut off.  docs/design/configuration.md gives
   the reasons.

   Pure: times are passed in.  */

#ifndef MQ_GENERATION_H
#define MQ_GENERATION_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/* Value of PEER that means the platform.  */
#define MQ_GENERATION_PLATFORM 0

typedef enum mq_generation_event_kind
{
  MQ_GENERATION_OFFER,   /* PEER, or the platform, has GENERATION; 0: it has
                            none.  Also sent when nothing is new, as proof that
                            the sender is reachable.  */
  MQ_GENERATION_PEERS,   /* There should be COUNT other routers.  */
  MQ_GENERATION_VALID,   /* The fetched GENERATION is valid.  */
  MQ_GENERATION_INVALID, /* It is invalid for this router.  */
  MQ_GENERATION_FETCH_FAILED, /* The fetch failed.  */
  MQ_GENERATION_SET_CUT_OFF,  /* Set CUT_OFF_US; 0: never cut off.  */
  MQ_GENERATION_TICK
} mq_generation_event_kind;

typedef struct mq_generation_event
{
  mq_generation_event_kind kind;
  uint64_t now_us; /* Monotonic.  */
  uint64_t peer;
  uint64_t generation;
  uint32_t count;
  uint64_t cut_off_us;
} mq_generation_event;

typedef enum mq_generation_action_kind
{
  MQ_GENERATION_FETCH, /* Get GENERATION, or a higher one, from PEER.  Answered
                          by VALID, INVALID or FETCH_FAILED.  */
  MQ_GENERATION_APPLY, /* GENERATION is now in force.  */
  MQ_GENERATION_CUT_OFF, /* Take no new work.  */
  MQ_GENERATION_REJOIN   /* Take new work again.  */
} mq_generation_action_kind;

typedef struct mq_generation_action
{
  mq_generation_action_kind kind;
  uint64_t peer;
  uint64_t generation;
} mq_generation_action;

typedef struct mq_generation
{
  uint64_t in_force;
  uint64_t refused;     /* Highest that was invalid for this router.  */
  uint64_t platform;    /* Latest offer of the platform.  */
  uint64_t best;        /* Highest that a peer offered.  */
  uint64_t best_peer;   /* The peer that offered BEST.  */
  bool fetching;        /* A FETCH is open.  */
  uint64_t fetch_peer;  /* The source of that FETCH.  */
  uint64_t retry_us;    /* No FETCH before this time.  */
  uint32_t failures;    /* Consecutive FETCHes that failed.  */
  uint64_t received_us; /* Time of the last offer received from anyone.  */
  uint64_t cut_off_us;
  uint32_t peers;
  bool cut_off;
  uint64_t lower_offers; /* Offers of the platform below IN_FORCE.  */
} mq_generation;

void mq_generation_init (mq_generation *generation, uint64_t now_us,
                         uint64_t cut_off_us);

/* Handles EVENT and appends the resulting actions to ACTIONS, a GArray of
   mq_generation_action.  */
void mq_generation_handle (mq_generation *generation,
                           const mq_generation_event *event, GArray *actions);

/* Returns the time of the next MQ_GENERATION_TICK; UINT64_MAX: none.  */
uint64_t mq_generation_next_tick (const mq_generation *generation);

G_END_DECLS

#endif
