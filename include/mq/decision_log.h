/* What was decided of late: a bounded ring of typed records for `mqctl
   explain`.

   Each record holds the figures that the decision was made on.  When the
   ring is full the oldest record gives way.  */

#ifndef MQ_DECISION_LOG_H
#define MQ_DECISION_LOG_H

#include <glib.h>
#include <mq/outcome.h>
#include <mq/planner.h>

G_BEGIN_DECLS

typedef enum mq_decision_kind
{
  MQ_DECISION_REFUSED,  /* Before anything was sent.  */
  MQ_DECISION_ADMITTED, /* The first plan, or the first send.  */
  MQ_DECISION_MOVED,    /* An attempt was given up for another.  */
  MQ_DECISION_RETRIED,  /* A plain call was sent again.  */
  MQ_DECISION_ENDED     /* The last word.  */
} mq_decision_kind;

typedef struct mq_decision
{
  mq_decision_kind kind;
  uint64_t at_us;   /* Monotonic, of the event.  */
  mq_request_id id; /* Sequence 0: refused before it had a number.  */
  uint64_t handle;
  uint32_t attempt;
  uint32_t tokens;         /* With the caller.  */
  mq_attempt_end lost;     /* MOVED: why.  */
  uint32_t stage;          /* MOVED: the one at fault.  */
  mq_outcome outcome;      /* REFUSED and ENDED.  */
  mq_reason reason;        /* REFUSED and ENDED.  */
  uint64_t left_us;        /* To the deadline.  */
  uint64_t work_us;        /* Thought to be needed; 0: not known.  */
  uint64_t retry_after_us; /* REFUSED.  */
  mq_plan_figures figures; /* Of the planner; zero where it was not asked. */
} mq_decision;

typedef struct mq_decision_log mq_decision_log;

/* A log of the last CAPACITY records.  */
mq_decision_log *mq_decision_log_new (uint32_t capacity);
void mq_decision_log_free (mq_decision_log *log);

void mq_decision_log_add (mq_decision_log *log, const mq_decision *decision);

/* How many records there are, and the I-th of them, oldest first; borrowed
   until the next is added.  */
uint32_t mq_decision_log_count (const mq_decision_log *log);
const mq_decision *mq_decision_log_at (const mq_decision_log *log, uint32_t i);

/* "refused", "admitted", "moved", "retried" or "ended".  */
const char *mq_decision_kind_name (mq_decision_kind kind);

G_END_DECLS

#endif
