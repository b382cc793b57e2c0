/* The memory that is kept for more urgent requests of one service.

   When memory is short, a request that has not begun may use a path's memory
   only up to the headroom that more urgent levels (mq/urgency.h) need: the
   tokens that arrive at these levels, multiplied by the time that requests
   stay, less the tokens that they hold already, but at least what arrives in a
   quarter of a second and at most what arrives in half a second.  Headroom is
   a limit on how full a path may be, so it has no effect while memory is free
   or while no more urgent requests arrive.

   A level is never starved: if its admission rate (admitted divided by
   requested) over the last 10 s is below a third of that of all requests, no
   headroom is withheld from it.  That keeps the rate above a quarter.

   All observations are one router's, extrapolated to the fleet by the ratio
   of all routers' requests to its own.  A new router has none and keeps no
   headroom.  No I/O and no clock.  */

#ifndef MQ_URGENCY_RESERVE_H
#define MQ_URGENCY_RESERVE_H

#include <mq/urgency.h>
#include <stdint.h>

G_BEGIN_DECLS

#define MQ_URGENCY_SLICES 20

/* The requests of one level in one slice of time.  */
typedef struct mq_urgency_slice
{
  unsigned requested;
  unsigned admitted; /* Sent to an engine for the first time.  */
  double tokens;     /* Of those requested.  */
} mq_urgency_slice;

typedef struct mq_urgency_use
{
  mq_urgency_slice slices[MQ_URGENCY_SLICES];
  double held;    /* Tokens of the requests on paths.  */
  double stay_us; /* Moving average of the time on paths; 0: unknown.  */
} mq_urgency_use;

/* What a router has observed of a service.  Plain data; zero means that
   nothing has been observed.  */
typedef struct mq_urgency_reserve
{
  mq_urgency_use levels[MQ_URGENCY_LEVELS];
  uint64_t slice;    /* Number of the current slice.  */
  uint64_t since_us; /* First observation; 0: none.  */
} mq_urgency_reserve;

/* The memory for which requests compete.  */
typedef struct mq_urgency_memory
{
  double capacity; /* Tokens of all paths.  */
  double usable;   /* Share of it that any request may use.  */
  double ratio;    /* All routers' requests to this router's.  */
} mq_urgency_memory;

/* A limit, and the inputs that decided it.  */
typedef struct mq_urgency_limit
{
  double limit;         /* Share of each path's memory that may be in use with
                           the request, below USABLE; 1: no limit.  */
  double headroom;      /* Tokens withheld, of all routers.  */
  double demand;        /* Tokens that the more urgent levels need, ...  */
  double held;          /* ... and hold, at this router.  */
  double admission;     /* Admission rate of the request's own level ...  */
  double admission_all; /* ... and of all levels; 1 without requests.  */
  bool starved;         /* Nothing is withheld for that reason.  */
} mq_urgency_limit;

/* A request of LEVEL that will hold TOKENS has arrived.  */
void mq_urgency_reserve_note_request (mq_urgency_reserve *reserve, int level,
                                      double tokens, uint64_t now_us);
/* A request of LEVEL was sent for the first time.  */
void mq_urgency_reserve_note_admitted (mq_urgency_reserve *reserve, int level,
                                       uint64_t now_us);
/* A request of LEVEL begins to hold TOKENS; negative: it releases them.  */
void mq_urgency_reserve_note_held (mq_urgency_reserve *reserve, int level,
                                   double tokens);
/* An admitted request of LEVEL has ended STAY_US after its first send.  */
void mq_urgency_reserve_note_stay (mq_urgency_reserve *reserve, int level,
                                   uint64_t stay_us);

/* Returns the limit for a request of LEVEL that arrives now.  */
mq_urgency_limit mq_urgency_reserve_limit (mq_urgency_reserve *reserve,
                                           int level,
                                           const mq_urgency_memory *memory,
                                           uint64_t now_us);

/* The Retry-After, in ms, for a rejected request of LEVEL of LEVELS: a share
   of USUAL_MS, that of a request without a level, which grows with the level
   up to the whole for the last one.  More urgent requests get the memory that
   is released next, so less urgent ones have to wait longer for theirs.  */
unsigned mq_urgency_retry_ms (int level, unsigned levels, unsigned usual_ms);

G_END_DECLS

#endif
