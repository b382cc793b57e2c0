/* Internal: deliberate defects that prove that the checks of the tests bite.

   Each names a mistake that the code guards against.  A test switches one on
   and expects the checker to find a promise broken (tests/test_defects.cc).
   They exist only where the build option MQ_DEFECTS is on; a release build
   has them compiled out, so that no switch can break a promise there.  */

#ifndef MQ_INTERNAL_DEFECT_H
#define MQ_INTERNAL_DEFECT_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

typedef enum mq_defect
{
  MQ_DEFECT_NONE,
  MQ_DEFECT_ATTEMPT_NOT_COMPARED,   /* Late tokens pass for awaited ones.  */
  MQ_DEFECT_POSITION_NOT_COMPARED,  /* Doubled tokens are delivered.  */
  MQ_DEFECT_RECEIPTS_NOT_CHECKED,   /* Whatever a stage ran is taken.  */
  MQ_DEFECT_LAYER_GAP_ALLOWED,      /* A plan need not cover all layers.  */
  MQ_DEFECT_NOT_RUN_AFTER_SEND,     /* Unknown is told as not-run.  */
  MQ_DEFECT_NON_REPEATABLE_RETRIED, /* Sent again though it may have run.  */
  MQ_DEFECT_TICKET_RUN_TWICE,       /* Spent tickets are not remembered.  */
  MQ_DEFECT_CLAIM_NOT_AWAITED,      /* A key runs without its claim.  */
  MQ_DEFECT_ENDS_TWICE,             /* The last word is said twice.  */
  MQ_DEFECT_STREAM_LEFT_OPEN,       /* A lost stream is not cancelled.  */
  MQ_DEFECT_LIMIT_KEPT,             /* The limiter is not told of an end.  */
  MQ_DEFECT_DRAIN_TAKES_WORK,       /* A leaving VM accepts calls.  */
  MQ_DEFECT_DEADLINE_IGNORED,       /* Late work runs on.  */
  MQ_DEFECT_CHANGE_ID_IGNORED,      /* A lost reply counts as not landed.  */
  MQ_DEFECT_DOUBT_DENIED,           /* A write in doubt is told as none.  */
  MQ_DEFECT_RACE_OVERWRITES,        /* Others' changes are undone unseen.  */
  MQ_DEFECT_LOWER_GENERATION_TAKEN, /* Whatever is loaded is in force.  */
  MQ_DEFECT_FOREIGN_TICKET,         /* One of another incarnation runs.  */
  MQ_DEFECT_LEASE_CLOCK_IGNORED,    /* The holder never looks at its clock. */
  MQ_DEFECT_CLAIM_LOST_REPLY_WON,   /* A claim without a reply counts as won */
  MQ_DEFECT_COUNT
} mq_defect;

#ifdef MQ_DEFECTS
bool mq_defect_enabled (mq_defect defect);
/* Switch DEFECT on, and all others off; MQ_DEFECT_NONE: all off.  */
void mq_defect_enable (mq_defect defect);
#else
#define mq_defect_enabled(defect) false
#endif

/* "attempt-not-compared" and so on.  */
const char *mq_defect_name (mq_defect defect);

G_END_DECLS

#endif
