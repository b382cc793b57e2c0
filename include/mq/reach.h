/* Whether this router reaches the upstreams of a service over its own links.

   A connection that fails says either that an upstream is down or that this
   router is cut off from all of its service.  The two call for opposite
   decisions: in the first case the upstream is ejected and the other routers
   are notified, in the second the upstreams are sound and nothing may be said
   against them.

   Any failure raises a *suspicion*.  A *check* then connects to a sample of
   upstreams.  If it reaches fewer than half of the sample, the router is
   *isolated*; it stays so until two checks in a row have reached at least
   half.  Until a check that began after the last suspicion has ended, the
   router is not *sure* of its links.

   The module is pure; times come in with the calls, in monotonic
   microseconds.  */

#ifndef MQ_REACH_H
#define MQ_REACH_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

typedef struct mq_reach
{
  bool isolated;
  bool suspected;          /* Since the last check began.  */
  bool checking;           /* A check is in progress.  */
  unsigned restored;       /* Consecutive checks that found the links up.  */
  uint64_t check_began_us; /* Of the last check; 0: there was none.  */
  uint64_t sound_us;       /* When the last check that found the links up
                              began; 0: none did.  */
} mq_reach;

/* What a check found.  */
typedef struct mq_reach_sample
{
  unsigned open;    /* Upstreams that accepted the connection.  */
  unsigned refused; /* That refused it.  */
  unsigned silent;  /* That did not reply.  */
} mq_reach_sample;

/* A connection to an upstream failed or fell silent.  */
void mq_reach_suspect (mq_reach *reach);

/* Returns true if a check is to begin now.  */
bool mq_reach_check_is_due (const mq_reach *reach, uint64_t now_us);
void mq_reach_check_began (mq_reach *reach, uint64_t now_us);
/* The check in progress ended with SAMPLE; one without any upstream changes
   nothing.  Returns true if the router became isolated, or no longer is.  */
bool mq_reach_check_ended (mq_reach *reach, const mq_reach_sample *sample);

/* Returns true if the router reaches the upstreams and nothing has happened
   since the last check that casts doubt on it.  */
bool mq_reach_is_sure (const mq_reach *reach);
/* Returns true if a failure at AT_US is known not to be due to this router's
   links: a check that began later found them up.  */
bool mq_reach_confirms (const mq_reach *reach, uint64_t at_us);

G_END_DECLS

#endif
