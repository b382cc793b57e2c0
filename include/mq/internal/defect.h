/* Internal: injected defects, which prove that the checkers of the tests
   detect what they are meant to.

   Each defect disables one safeguard of the code.  A test enables a defect and
   expects a checker to report a broken guarantee (tests/test_defects.cc).
   Defects exist only in builds with the option MQ_DEFECTS; release builds
   compile them out.  */

#ifndef MQ_INTERNAL_DEFECT_H
#define MQ_INTERNAL_DEFECT_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

typedef enum mq_defect
{
  MQ_DEFECT_NONE,
  MQ_DEFECT_ATTEMPT_NOT_COMPARED,   /* Tokens of an old attempt count.  */
  MQ_DEFECT_POSITION_NOT_COMPARED,  /* Duplicate tokens are delivered.  */
  MQ_DEFECT_RECEIPTS_NOT_CHECKED,   /* Stages' receipts are trusted.  */
  MQ_DEFECT_LAYER_GAP_ALLOWED,      /* A plan may lack layers.  */
  MQ_DEFECT_NOT_RUN_AFTER_SEND,     /* Unknown is reported as not-run.  */
  MQ_DEFECT_NON_REPEATABLE_RETRIED, /* Resent though it may have run.  */
  MQ_DEFECT_TICKET_RUN_TWICE,       /* Used tickets are accepted again.  */
  MQ_DEFECT_CLAIM_NOT_AWAITED,      /* A key runs without its claim.  */
  MQ_DEFECT_ENDS_TWICE,             /* The end is delivered twice.  */
  MQ_DEFECT_STREAM_LEFT_OPEN,       /* A stream is not cancelled.  */
  MQ_DEFECT_LIMIT_KEPT,             /* A limiter slot is not released.  */
  MQ_DEFECT_DRAIN_TAKES_WORK,       /* A draining VM accepts calls.  */
  MQ_DEFECT_DEADLINE_IGNORED,       /* Work runs past its deadline.  */
  MQ_DEFECT_CHANGE_ID_IGNORED,      /* A lost reply counts as failure.  */
  MQ_DEFECT_DOUBT_DENIED,           /* An unknown write counts as none. */
  MQ_DEFECT_RACE_OVERWRITES,        /* Others' changes are overwritten. */
  MQ_DEFECT_LOWER_GENERATION_TAKEN, /* An old generation is applied.  */
  MQ_DEFECT_FOREIGN_TICKET,         /* Another incarnation's is valid.  */
  MQ_DEFECT_LEASE_CLOCK_IGNORED,    /* An expired lease is still used. */
  MQ_DEFECT_CLAIM_LOST_REPLY_WON,   /* A lost reply counts as a win.  */
  MQ_DEFECT_COUNT
} mq_defect;

#ifdef MQ_DEFECTS
/* Returns true if DEFECT is enabled.  */
bool mq_defect_enabled (mq_defect defect);
/* Enable DEFECT and disable all others; MQ_DEFECT_NONE disables all.  */
void mq_defect_enable (mq_defect defect);
#else
#define mq_defect_enabled(defect) false
#endif

/* Returns the name of DEFECT, such as "attempt-not-compared".  */
const char *mq_defect_name (mq_defect defect);

G_END_DECLS

#endif
