/* Who passes on what a router lacks.

   Any router that knows more than a peer could tell it; when all do, a
   configuration goes to each of N routers N times.  So each receiver has an
   order of all that may tell it, the same in every router's eyes, and only the
   first tells it at once; the next ones do when it still lacks it after a
   while.  Pure.  */

#ifndef MQ_PROPAGATION_H
#define MQ_PROPAGATION_H

#include <glib.h>
#include <mq/str.h>

G_BEGIN_DECLS

/* What one receiver lacks of one thing, as its news tell.  */
typedef struct mq_lag
{
  uint64_t since_us;  /* When it was first seen to lack it; 0: it does not.  */
  uint64_t passed_us; /* When this router last told it; 0: never.  */
} mq_lag;

/* Where OWN stands among itself and the N OTHERS that may tell RECEIVER: 0 is
   the first.  All are names of routers.  */
unsigned mq_propagation_rank (mq_span own, mq_span receiver,
                              const mq_span *others, size_t n);

/* How long who may tell a receiver waits.  */
typedef struct mq_propagation_delays
{
  uint64_t first_us;      /* For it to learn by itself.  */
  uint64_t next_us;       /* For its news to show that it was told.  */
  uint64_t not_before_us; /* Not before: what others' news say is as old as
                       they are, and this router may have learnt only just now,
                       or have only just heard the store again.  */
} mq_propagation_delays;

/* Should this router, of that RANK, tell the receiver now?  BEHIND: it lacks
   something.  */
bool mq_propagation_is_due (mq_lag *lag, bool behind, unsigned rank,
                            mq_propagation_delays delays, uint64_t now_us);

/* Digests that a list had lately, to tell a receiver that is a moment behind
   from one that lacks something.  */
#define MQ_DIGEST_LOG_SIZE 64

typedef struct mq_digest_log
{
  uint64_t digest[MQ_DIGEST_LOG_SIZE];
  uint64_t until_us[MQ_DIGEST_LOG_SIZE]; /* When it was replaced.  */
  unsigned n;                            /* Ever; the newest is at n - 1.  */
} mq_digest_log;

/* The list's digest is DIGEST at NOW_US.  */
void mq_digest_log_note (mq_digest_log *log, uint64_t digest, uint64_t now_us);
/* Was DIGEST that of the list at any moment since SINCE_US?  */
bool mq_digest_log_contains (const mq_digest_log *log, uint64_t digest,
                             uint64_t since_us);

G_END_DECLS

#endif
