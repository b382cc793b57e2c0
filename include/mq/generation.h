/* Which generation of the configuration a router holds, and whether it may
   serve by it.

   Generations are offered by the platform and by peers.  The router takes
   only a higher one than it holds, once its files are fetched and found
   right; so what is in force never reverts, whoever offers what.  A router
   with none serves nothing.

   A router that has heard neither the platform nor any peer for a while is
   cut off: a change may have been accepted that it can't know of.  It then
   takes no new work, and goes on once it has heard somebody again and holds
   the highest generation that it has heard of.  docs/design/configuration.md
   weighs this.  A router that has no peers is never cut off.

   Pure: times are passed in.  */

#ifndef MQ_GENERATION_H
#define MQ_GENERATION_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/* Stands for the platform where a peer is named.  */
#define MQ_GENERATION_PLATFORM 0

typedef enum mq_generation_event_kind
{
  MQ_GENERATION_OFFER,   /* PEER, or the platform, has GENERATION; 0: it has
                            none.  Also sent when it is nothing new, since it
                            shows that the sender was heard.  */
  MQ_GENERATION_PEERS,   /* COUNT other routers there should be.  */
  MQ_GENERATION_VALID,   /* The fetched GENERATION is right.  */
  MQ_GENERATION_INVALID, /* The fetched GENERATION is wrong for this router. */
  MQ_GENERATION_FETCH_FAILED, /* The fetch brought nothing.  */
  MQ_GENERATION_SET_CUT_OFF,  /* CUT_OFF_US is set anew; 0: never cut off.  */
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
  MQ_GENERATION_FETCH,   /* Get GENERATION, or higher, from PEER.  Answered
                            by LOADED, WRONG or FAILED.  */
  MQ_GENERATION_APPLY,   /* GENERATION is in force.  */
  MQ_GENERATION_CUT_OFF, /* Take no new work.  */
  MQ_GENERATION_REJOIN   /* Take work again.  */
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
  uint64_t refused;     /* The highest that was wrong for this router.  */
  uint64_t platform;    /* The highest that the platform offered.  */
  uint64_t best;        /* The highest that a peer offered,  */
  uint64_t best_peer;   /* and that peer.  */
  bool fetching;        /* A FETCH is open,  */
  uint64_t fetch_peer;  /* from here.  */
  uint64_t retry_us;    /* No FETCH before this moment.  */
  uint32_t failures;    /* FETCHes that failed in a row.  */
  uint64_t received_us; /* When anybody was heard last.  */
  uint64_t cut_off_us;
  uint32_t peers;
  bool cut_off;
  uint64_t lower_offers; /* Offers of the platform below what is in force. */
} mq_generation;

void mq_generation_init (mq_generation *generation, uint64_t now_us,
                         uint64_t cut_off_us);

/* Take EVENT and append the actions it calls for to ACTIONS, a GArray of
   mq_generation_action.  */
void mq_generation_handle (mq_generation *generation,
                           const mq_generation_event *event, GArray *actions);

/* When the next TICK is due; UINT64_MAX: none.  */
uint64_t mq_generation_next_tick (const mq_generation *generation);

G_END_DECLS

#endif
